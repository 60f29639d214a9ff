//! A node's session with the coordinators: a thread of its own that asks for leave, keeps changes, and tells the
//! reducer by what it goes and until when.

use std::io::Write as _;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linestack_accord::{Guest, Incarnation, Policy, Request};
use linestack_core::Input as CoreInput;
use linestack_history::What;
use linestack_member::{InjectedFault, Input, Member, Notice, Output};
use linestack_recovery::start::{StartLimits, session_delay};
use linestack_settings::Settings;
use serde::{Deserialize, Serialize};

use super::config::{FleetConfig, Mode};
use super::policy::settings_for_zone;
use super::store::{RecordStore, StoreError};
use super::wire::{self, Body, FrameEncoder, FrameReader, Identity, SenderInfo};
use crate::net::Node;
use crate::start_attempts;

/// Thousandths by which clocks may differ in rate, and how long a leave is taken to last before the first.
const DRIFT: u64 = 10;
const SPAN: u64 = 1_500_000_000;
/// After one that does not answer, before the next is tried.
const AGAIN: Duration = Duration::from_millis(20);
/// A line of the same kind is logged so often at most.
const QUIET: Duration = Duration::from_secs(1);
/// Starts in a row that died while they read what was kept, before it is set aside.
const TRIES: u32 = 3;

/// What a member must not forget.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberRecord {
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    pub active: Policy,
    pub staged: Option<Policy>,
}

/// What a node of a fleet begins with.
pub struct FleetMember {
    fleet: FleetConfig,
    store: RecordStore,
    pub record: MemberRecord,
}

impl FleetMember {
    /// Opens the node's store, and counts this run in it.
    ///
    /// # Errors
    ///
    /// It is another's, damaged, or can't be written.
    pub fn open(fleet: FleetConfig) -> Result<Self, StoreError> {
        let owner = format!("member {} of {}", fleet.member, fleet.id);
        let open = |folder: &Path| match RecordStore::open(folder, &owner, false) {
            Err(StoreError::Missing) => RecordStore::open(folder, &owner, true),
            other => other,
        };
        let mut store = open(&fleet.folder)?;
        if start_attempts::record_attempt(&fleet.folder)? >= TRIES {
            // It comes back as a new run that knows nothing: coordinators tell it all again.
            drop(store);
            let aside = start_attempts::quarantine_files(&fleet.folder, |name| name.ends_with(".redb"))?;
            tracing::error!(aside = %aside.display(), "starts died reading what this member kept: set aside");
            store = open(&fleet.folder)?;
        }
        let loaded = store.load();
        if super::injected_fault().as_deref() == Some("dies-loading") && matches!(loaded, Ok(Some(_))) {
            std::process::abort();
        }
        let mut record: MemberRecord = match loaded {
            Ok(record) => record.unwrap_or_default(),
            // What it had kept is asked for again; but it may be the second of its kind.
            Err(StoreError::Copied) => MemberRecord::default(),
            Err(why) => {
                start_attempts::clear_attempts(&fleet.folder);
                return Err(why);
            }
        };
        if record.incarnation.home == 0 {
            record.incarnation = Incarnation { home: super::random_u64(), life: 0 };
        }
        record.incarnation.life += 1;
        store.save(&record)?;
        Ok(Self { fleet, store, record })
    }

    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.fleet
    }

    /// The terms that it went by last, if it can still go by them.
    #[must_use]
    pub fn last_settings(&self, own: &Settings, seed: u64) -> Option<Settings> {
        let known = &self.record.active;
        let settings =
            settings_for_zone(&known.text, own.dispatch.zone, seed).ok().filter(|_| known.version > 0);
        start_attempts::clear_attempts(&self.fleet.folder);
        let settings = settings?;
        own.key_needing_restart(&settings).is_none().then_some(settings)
    }

    /// Runs the session for as long as the program does.
    pub fn run(
        self,
        node: Arc<Node>,
        present: Settings,
        seed: u64,
        active: u64,
        bounds: Option<StartLimits>,
    ) {
        let Self { fleet, store, record } = self;
        let broken = super::injected_fault().and_then(|f| match f.as_str() {
            "early" => Some(InjectedFault::ActivateUndecided),
            "from-receipt" => Some(InjectedFault::LeaseFromReceipt),
            "unfenced" => Some(InjectedFault::LeaseNeverEnds),
            _ => None,
        });
        let staged = record.staged.clone();
        let member = Member::new(record.incarnation, DRIFT, SPAN, active, staged).with_injected_fault(broken);
        let own = SenderInfo {
            fleet: fleet.id.clone(),
            identity: Identity::Member(fleet.member.clone()),
            incarnation: record.incarnation,
        };
        let session =
            Session { node, fleet, store, record, member, present, seed, own, told: None, broken, bounds };
        std::thread::spawn(move || session.run());
    }
}

struct Session {
    node: Arc<Node>,
    fleet: FleetConfig,
    store: RecordStore,
    record: MemberRecord,
    member: Member,
    present: Settings,
    seed: u64,
    own: SenderInfo,
    told: Option<(Notice, Instant)>,
    broken: Option<InjectedFault>,
    /// What the fleet's coordinators bear, where that is bounded.
    bounds: Option<StartLimits>,
}

/// Far over what two readings of the clocks lie apart, and far under any sleep.
const READING: u64 = 50_000_000;

impl Session {
    /// The member's clock: the node's, and it goes on while the machine sleeps. By the node's alone a leave would
    /// outlast a sleep, and coordinators would take the member's clock for a slow one ever after.
    fn now(&self) -> u64 {
        self.node.clock.now() + super::time_suspended()
    }

    fn run(mut self) {
        let mut at = self.seed as usize % self.fleet.coordinators.len();
        let mut quiet = Instant::now() - QUIET;
        // Others may have started in the same instant.
        let mut chance = fastrand::Rng::with_seed(self.seed ^ super::random_u64());
        let mut turn = |terms: &Option<StartLimits>, again: Duration| {
            let wait = terms.map_or(0, |terms| session_delay(&terms, chance.f64()));
            std::thread::sleep(again.max(Duration::from_nanos(wait)));
        };
        turn(&self.bounds, Duration::ZERO);
        loop {
            let to = self.fleet.coordinators[at];
            match wire::connect_session(to, &self.own) {
                Ok((socket, reader, encoder)) => {
                    let why = self.converse(socket, reader, encoder);
                    tracing::info!(coordinator = %to, why, "session ended");
                }
                Err(why) if quiet.elapsed() >= QUIET => {
                    quiet = Instant::now();
                    tracing::warn!(coordinator = %to, %why, "no session");
                }
                Err(_) => {}
            }
            let mut none = Vec::new();
            self.member.handle(self.now(), Input::SessionClosed, &mut none);
            at = (at + 1) % self.fleet.coordinators.len();
            turn(&self.bounds, AGAIN);
        }
    }

    /// Returns why it is over.
    fn converse(
        &mut self,
        mut socket: TcpStream,
        mut reader: FrameReader,
        mut encoder: FrameEncoder,
    ) -> String {
        let mut outs = Vec::new();
        self.member.handle(self.now(), Input::SessionOpened, &mut outs);
        loop {
            let mut at = 0;
            while at < outs.len() {
                match self.carry_out(outs[at].clone(), &mut socket, &mut encoder) {
                    Ok(None) => {}
                    Ok(Some(input)) => self.member.handle(self.now(), input, &mut outs),
                    Err(why) => return why,
                }
                at += 1;
            }
            outs.clear();
            match reader.next_frame() {
                Ok(Some(frame)) => {
                    if let Body::Reply(reply) = frame.body {
                        self.member.handle(self.now(), Input::Reply(reply), &mut outs);
                        continue;
                    }
                    return "not what was due".into();
                }
                Ok(None) => {}
                Err(why) => return why.to_string(),
            }
            if let Some(stage) = self.node.stage() {
                self.member.set_start_stage(stage.as_str());
            }
            let wait = self.member.next_due().saturating_sub(self.now());
            // A time limit of nothing would be none.
            let wait = Duration::from_nanos(wait).clamp(Duration::from_millis(1), Duration::from_secs(1));
            if let Err(why) = socket.set_read_timeout(Some(wait)) {
                return why.to_string();
            }
            if let Err(why) = reader.read(&mut socket) {
                return why.to_string();
            }
            self.member.handle(self.now(), Input::Tick, &mut outs);
        }
    }

    fn carry_out(
        &mut self,
        out: Output,
        socket: &mut TcpStream,
        encoder: &mut FrameEncoder,
    ) -> Result<Option<Input>, String> {
        let now = self.node.clock.now();
        match out {
            Output::Send(renew) => {
                let bytes =
                    encoder.encode(Body::Request(Request::Renew(renew))).map_err(|e| e.to_string())?;
                socket.write_all(&bytes).map_err(|e| e.to_string())?;
            }
            Output::TryAnotherCoordinator => return Err("no answer in time".into()),
            Output::Stage(policy) => {
                let version = policy.version;
                let result = self.stage(policy);
                match &result {
                    Ok(()) => tracing::info!(version, "change kept, not decided"),
                    Err(key) => {
                        tracing::error!(version, key, "change can't be taken");
                        self.write(now, What::Declined { version, key: key.clone() });
                    }
                }
                return Ok(Some(Input::Staged { version, result }));
            }
            Output::Activate(policy) => {
                let version = policy.version;
                let result = self.activate(policy);
                if let Err(key) = &result {
                    self.tell(Notice::CannotActivate { version, key: key.clone() });
                }
                return Ok(Some(Input::Activated { version, result }));
            }
            Output::Serve { version, until } => {
                if self.fleet.mode == Mode::Strict {
                    // On the node's clock it lasts for as long as the machine does not sleep again.
                    let suspended = super::time_suspended();
                    let until = until.saturating_sub(suspended);
                    // Told to the history first: what is taken by this leave must not come before it there.
                    if let Some(trail) = &self.node.audit_log {
                        trail.write(now, What::Leased { version, until: trail.machine_time(until) });
                    }
                    let until =
                        if self.broken == Some(InjectedFault::LeaseNeverEnds) { u64::MAX } else { until };
                    self.node.end_lease_after_sleep(suspended + READING);
                    self.node.handle_input(CoreInput::Lease { until });
                }
            }
            Output::Notify(told) => self.tell(told),
        }
        Ok(None)
    }

    fn write(&self, now: u64, what: What) {
        if let Some(trail) = &self.node.audit_log {
            trail.write(now, what);
        }
    }

    fn tell(&mut self, told: Notice) {
        if self.told.as_ref().is_some_and(|(last, at)| *last == told && at.elapsed() < QUIET) {
            return;
        }
        match &told {
            Notice::Refused(why) => tracing::warn!(why, "not let in by the coordinators"),
            Notice::CoordinatorsBehind { own: mine, theirs } => {
                tracing::error!(
                    mine,
                    theirs,
                    "the coordinators have lost what was decided; nothing is taken"
                );
            }
            Notice::CannotActivate { version, key } => {
                tracing::error!(
                    version,
                    key,
                    "what was decided can't be taken by this node; nothing is taken"
                );
            }
        }
        self.told = Some((told, Instant::now()));
    }

    fn read(&self, policy: &Policy) -> Result<Settings, String> {
        let settings = settings_for_zone(&policy.text, self.present.dispatch.zone, self.seed)?;
        match self.present.key_needing_restart(&settings) {
            None => Ok(settings),
            Some(key) => Err(key.to_owned()),
        }
    }

    fn stage(&mut self, policy: Policy) -> Result<(), String> {
        self.read(&policy)?;
        let (version, digest) = (policy.version, policy.digest());
        let record = MemberRecord { staged: Some(policy), ..self.record.clone() };
        self.store.save(&record).map_err(|e| format!("store: {e}"))?;
        self.record = record;
        self.write(self.node.clock.now(), What::Staged { version, digest });
        Ok(())
    }

    fn activate(&mut self, policy: Policy) -> Result<(), String> {
        let settings = self.read(&policy)?;
        let (version, digest) = (policy.version, policy.digest());
        let staged = self.record.staged.clone().filter(|s| s.version > version);
        let record = MemberRecord { active: policy, staged, ..self.record.clone() };
        self.store.save(&record).map_err(|e| format!("store: {e}"))?;
        self.record = record;
        self.present = settings.clone();
        self.write(self.node.clock.now(), What::Active { version, digest });
        self.node.handle_input(CoreInput::SettingsChanged { settings: Box::new(settings), version });
        tracing::info!(version, digest, "policy taken over");
        Ok(())
    }
}

/// Who asks, to the coordinators.
#[must_use]
pub fn client_session(identity: &Identity, connection: u64) -> Option<Guest> {
    match identity {
        Identity::Member(name) => Some(Guest::Member(name.clone())),
        Identity::Operator => Some(Guest::Operator(connection)),
        Identity::Coordinator(_) => None,
    }
}
