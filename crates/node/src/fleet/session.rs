//! The session of a node with the coordinators: a thread that renews the node's lease, stores policy changes, and reports
//! to the reducer which settings are active and until when the node may serve.

use std::io::Write as _;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linestack_accord::{ClientSession, Incarnation, Policy, Request};
use linestack_core::Input as CoreInput;
use linestack_history::HistoryEvent;
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

/// The maximum relative difference between the rates of two clocks, in thousandths.
const CLOCK_DRIFT_THOUSANDTHS: u64 = 10;
/// The assumed duration of a lease until the first one is granted.
const INITIAL_LEASE_NS: u64 = 1_500_000_000;
/// The shortest pause between two attempts to open a session.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The shortest time between two log lines of the same kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The state of a member that must survive a restart.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The run of this process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The policy that is active at this member.
    pub active: Policy,
    /// The change that is staged: stored, but not decided.
    pub staged: Option<Policy>,
}

/// A node as a member of a fleet, with its opened store, before its session begins.
pub struct FleetMember {
    fleet: FleetConfig,
    store: RecordStore,
    /// The stored record, in which this run is counted.
    pub record: MemberRecord,
}

impl FleetMember {
    /// Opens the member's store, creating it if there is none, and counts this run in it.
    ///
    /// # Errors
    ///
    /// The store belongs to another process, is damaged, or can't be written.
    pub fn open(fleet: FleetConfig) -> Result<Self, StoreError> {
        let owner = format!("member {} of {}", fleet.member, fleet.id);
        let open = |folder: &Path| match RecordStore::open(folder, &owner) {
            Err(StoreError::Missing) => RecordStore::create(folder, &owner),
            other => other,
        };
        let mut store = open(&fleet.folder)?;
        if start_attempts::record_attempt(&fleet.folder)? >= start_attempts::MAX_FAILED_STARTS {
            // The member starts with an empty store under a new identity, and receives all policies from the coordinators
            // again.
            drop(store);
            let quarantine = start_attempts::quarantine_files(&fleet.folder, |name| name.ends_with(".redb"))?;
            tracing::error!(
                aside = %quarantine.display(),
                "repeated starts crashed while reading this member's store; its files were moved aside"
            );
            store = open(&fleet.folder)?;
        }
        let loaded = store.load();
        if super::injected_fault().as_deref() == Some("dies-loading") && matches!(loaded, Ok(Some(_))) {
            std::process::abort();
        }
        let mut record: MemberRecord = match loaded {
            Ok(record) => record.unwrap_or_default(),
            // The policies are received again. The run gets a new identity, because the member that this store was copied
            // from may still be running.
            Err(StoreError::Copied) => MemberRecord::default(),
            Err(error) => {
                start_attempts::clear_attempts(&fleet.folder);
                return Err(error);
            }
        };
        if record.incarnation.store_id == 0 {
            record.incarnation = Incarnation { store_id: super::random_u64(), run_number: 0 };
        }
        record.incarnation.run_number += 1;
        store.save(&record)?;
        Ok(Self { fleet, store, record })
    }

    /// Returns the fleet configuration of the node.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.fleet
    }

    /// Returns the settings of the policy that was active last, if there was one and the node can run under it.
    /// `own_settings` are those in the node's own configuration. Clears the count of start attempts, because the stored
    /// policy was parsed without a crash.
    #[must_use]
    pub fn last_settings(&self, own_settings: &Settings, seed: u64) -> Option<Settings> {
        let policy = &self.record.active;
        let settings = settings_for_zone(&policy.text, own_settings.dispatch.zone, seed)
            .ok()
            .filter(|_| policy.version > 0);
        start_attempts::clear_attempts(&self.fleet.folder);
        let settings = settings?;
        own_settings.key_needing_restart(&settings).is_none().then_some(settings)
    }

    /// Starts the thread of the session, which runs for as long as the program does. `settings` are those that the node
    /// runs under, of the policy version `active_version`, which is 0 if they are from the node's own configuration.
    /// `start_limits` bound the rate at which starting nodes open sessions.
    pub fn run(
        self,
        node: Arc<Node>,
        settings: Settings,
        seed: u64,
        active_version: u64,
        start_limits: Option<StartLimits>,
    ) {
        let Self { fleet, store, record } = self;
        let injected_fault = super::injected_fault().and_then(|f| match f.as_str() {
            "early" => Some(InjectedFault::ActivateUndecided),
            "from-receipt" => Some(InjectedFault::LeaseFromReceipt),
            "unfenced" => Some(InjectedFault::LeaseNeverEnds),
            _ => None,
        });
        let staged = record.staged.clone();
        let member = Member::new(
            record.incarnation,
            CLOCK_DRIFT_THOUSANDTHS,
            INITIAL_LEASE_NS,
            active_version,
            staged,
        )
        .with_injected_fault(injected_fault);
        let sender = SenderInfo {
            fleet: fleet.id.clone(),
            identity: Identity::Member(fleet.member.clone()),
            incarnation: record.incarnation,
        };
        let session = Session {
            node,
            fleet,
            store,
            record,
            member,
            settings,
            seed,
            sender,
            last_notice: None,
            injected_fault,
            start_limits,
        };
        std::thread::spawn(move || session.run());
    }
}

/// The state of the session's thread.
struct Session {
    node: Arc<Node>,
    fleet: FleetConfig,
    store: RecordStore,
    record: MemberRecord,
    member: Member,
    /// The settings that the node runs under.
    settings: Settings,
    seed: u64,
    sender: SenderInfo,
    /// The notice that was logged last, and when it was logged.
    last_notice: Option<(Notice, Instant)>,
    /// The fault that a test injects.
    injected_fault: Option<InjectedFault>,
    /// The bounds on the rate at which starting nodes open sessions, if there are any.
    start_limits: Option<StartLimits>,
}

/// By how much the total time of suspension may grow before the lease ends. It is far above the inaccuracy of
/// [`super::time_suspended`], and far below any suspension of the machine.
const SUSPEND_TOLERANCE_NS: u64 = 50_000_000;

impl Session {
    /// Returns the time of the member's clock: the node's clock plus the time for which the machine was suspended. By the
    /// node's clock alone a lease would outlast a suspension, and from then on the coordinators would treat the member's
    /// clock as slow.
    fn now(&self) -> u64 {
        self.node.clock.now() + super::time_suspended()
    }

    fn run(mut self) {
        let mut index = self.seed as usize % self.fleet.coordinators.len();
        let mut last_logged = Instant::now() - LOG_INTERVAL;
        // A random number is mixed in, so that nodes that start at the same instant wait for different times.
        let mut rng = fastrand::Rng::with_seed(self.seed ^ super::random_u64());
        let mut wait_for_turn = |limits: &Option<StartLimits>, min_pause: Duration| {
            let delay = limits.map_or(0, |limits| session_delay(&limits, rng.f64()));
            std::thread::sleep(min_pause.max(Duration::from_nanos(delay)));
        };
        wait_for_turn(&self.start_limits, Duration::ZERO);
        loop {
            let address = self.fleet.coordinators[index];
            match wire::connect_session(address, &self.sender) {
                Ok((socket, reader, encoder)) => {
                    let reason = self.serve_connection(socket, reader, encoder);
                    tracing::info!(coordinator = %address, why = reason, "session ended");
                }
                Err(error) if last_logged.elapsed() >= LOG_INTERVAL => {
                    last_logged = Instant::now();
                    tracing::warn!(coordinator = %address, why = %error, "no session");
                }
                Err(_) => {}
            }
            let mut outputs = Vec::new();
            self.member.handle(self.now(), Input::SessionClosed, &mut outputs);
            index = (index + 1) % self.fleet.coordinators.len();
            wait_for_turn(&self.start_limits, RECONNECT_PAUSE);
        }
    }

    /// Runs a session until it ends, and returns the reason.
    fn serve_connection(
        &mut self,
        mut socket: TcpStream,
        mut reader: FrameReader,
        mut encoder: FrameEncoder,
    ) -> String {
        let mut outputs = Vec::new();
        self.member.handle(self.now(), Input::SessionOpened, &mut outputs);
        loop {
            // Carrying out an output may add more.
            let mut next = 0;
            while next < outputs.len() {
                match self.carry_out(outputs[next].clone(), &mut socket, &mut encoder) {
                    Ok(None) => {}
                    Ok(Some(input)) => self.member.handle(self.now(), input, &mut outputs),
                    Err(reason) => return reason,
                }
                next += 1;
            }
            outputs.clear();
            match reader.next_frame() {
                Ok(Some(frame)) => {
                    if let Body::Reply(reply) = frame.body {
                        self.member.handle(self.now(), Input::Reply(reply), &mut outputs);
                        continue;
                    }
                    return "unexpected frame".into();
                }
                Ok(None) => {}
                Err(error) => return error.to_string(),
            }
            if let Some(stage) = self.node.stage() {
                self.member.set_start_stage(stage.as_str());
            }
            let wait = self.member.next_due().saturating_sub(self.now());
            // A read timeout of zero is not allowed.
            let wait = Duration::from_nanos(wait).clamp(Duration::from_millis(1), Duration::from_secs(1));
            if let Err(error) = socket.set_read_timeout(Some(wait)) {
                return error.to_string();
            }
            if let Err(error) = reader.read(&mut socket) {
                return error.to_string();
            }
            self.member.handle(self.now(), Input::Tick, &mut outputs);
        }
    }

    /// Carries out an output of the member. Returns the input that follows from it, or the reason why the session ends.
    fn carry_out(
        &mut self,
        output: Output,
        socket: &mut TcpStream,
        encoder: &mut FrameEncoder,
    ) -> Result<Option<Input>, String> {
        let now = self.node.clock.now();
        match output {
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
                    Ok(()) => tracing::info!(version, "change stored, not decided yet"),
                    Err(key) => {
                        tracing::error!(version, key, "change declined: this node can't run under it");
                        self.write_audit(now, HistoryEvent::Declined { version, key: key.clone() });
                    }
                }
                return Ok(Some(Input::Staged { version, result }));
            }
            Output::Activate(policy) => {
                let version = policy.version;
                let result = self.activate(policy);
                if let Err(key) = &result {
                    self.log_notice(Notice::CannotActivate { version, key: key.clone() });
                }
                return Ok(Some(Input::Activated { version, result }));
            }
            Output::Serve { version, until } => {
                if self.fleet.mode == Mode::Strict {
                    // On the node's clock the lease ends at this time, unless the machine is suspended again.
                    let suspended = super::time_suspended();
                    let until = until.saturating_sub(suspended);
                    // The lease is written to the audit log before any submission that is accepted under it.
                    if let Some(audit_log) = &self.node.audit_log {
                        audit_log.write(
                            now,
                            HistoryEvent::Leased { version, until: audit_log.machine_time(until) },
                        );
                    }
                    let until = if self.injected_fault == Some(InjectedFault::LeaseNeverEnds) {
                        u64::MAX
                    } else {
                        until
                    };
                    self.node.end_lease_after_suspension(suspended + SUSPEND_TOLERANCE_NS);
                    self.node.handle_input(CoreInput::Lease { until });
                }
            }
            Output::Notify(notice) => self.log_notice(notice),
        }
        Ok(None)
    }

    fn write_audit(&self, now: u64, event: HistoryEvent) {
        if let Some(audit_log) = &self.node.audit_log {
            audit_log.write(now, event);
        }
    }

    /// Logs a notice, unless the same one was logged within [`LOG_INTERVAL`].
    fn log_notice(&mut self, notice: Notice) {
        if self.last_notice.as_ref().is_some_and(|(last, at)| *last == notice && at.elapsed() < LOG_INTERVAL)
        {
            return;
        }
        match &notice {
            Notice::Refused(reason) => tracing::warn!(why = reason, "refused by the coordinators"),
            Notice::CoordinatorsBehind { own, theirs } => {
                tracing::error!(
                    mine = own,
                    theirs,
                    "the coordinators have lost decided changes: their policy is older than this node's; it takes no submissions"
                );
            }
            Notice::CannotActivate { version, key } => {
                tracing::error!(
                    version,
                    key,
                    "this node can't run under the decided policy; it takes no submissions"
                );
            }
        }
        self.last_notice = Some((notice, Instant::now()));
    }

    /// Returns the settings of a policy, or the key that prevents the node from running under it.
    fn settings_of(&self, policy: &Policy) -> Result<Settings, String> {
        let settings = settings_for_zone(&policy.text, self.settings.dispatch.zone, self.seed)?;
        match self.settings.key_needing_restart(&settings) {
            None => Ok(settings),
            Some(key) => Err(key.to_owned()),
        }
    }

    /// Stages a change: stores it, without applying it. Returns the key or the storage error that prevents this.
    fn stage(&mut self, policy: Policy) -> Result<(), String> {
        self.settings_of(&policy)?;
        let (version, digest) = (policy.version, policy.digest());
        let record = MemberRecord { staged: Some(policy), ..self.record.clone() };
        self.store.save(&record).map_err(|e| format!("store: {e}"))?;
        self.record = record;
        self.write_audit(self.node.clock.now(), HistoryEvent::Staged { version, digest });
        Ok(())
    }

    /// Stores a decided policy, and applies it to the node. Returns the key or the storage error that prevents this.
    fn activate(&mut self, policy: Policy) -> Result<(), String> {
        let settings = self.settings_of(&policy)?;
        let (version, digest) = (policy.version, policy.digest());
        let staged = self.record.staged.clone().filter(|s| s.version > version);
        let record = MemberRecord { active: policy, staged, ..self.record.clone() };
        self.store.save(&record).map_err(|e| format!("store: {e}"))?;
        self.record = record;
        self.settings = settings.clone();
        self.write_audit(self.node.clock.now(), HistoryEvent::Active { version, digest });
        self.node.handle_input(CoreInput::SettingsChanged { settings: Box::new(settings), version });
        tracing::info!(version, digest, "policy activated");
        Ok(())
    }
}

/// Returns the client that a session with a coordinator belongs to; `None` if it belongs to another coordinator.
/// `connection` is the number of the connection.
#[must_use]
pub fn client_session(identity: &Identity, connection: u64) -> Option<ClientSession> {
    match identity {
        Identity::Member(name) => Some(ClientSession::Member(name.clone())),
        Identity::Operator => Some(ClientSession::Operator(connection)),
        Identity::Coordinator(_) => None,
    }
}
