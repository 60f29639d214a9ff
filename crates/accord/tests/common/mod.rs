//! Coordinators and members on a simulated network that loses, duplicates, delays and reorders messages, with the
//! invariants that must hold.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};

use linestack_accord::*;
use linestack_member::{self as member, Member, Output as MemberOutput};

pub const HOLD: Nanos = 40;
pub const LEASE: Nanos = 120;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Destination {
    Coordinator(CoordinatorId),
    Member(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Envelope(CoordinatorId, Envelope),
    Request(ClientSession, Request),
    Reply(Reply),
}

#[derive(Clone, Debug, Hash)]
pub struct SentMessage {
    pub to: Destination,
    pub message: Message,
}

struct Disk<'a>(&'a mut Record);

impl Storage for Disk<'_> {
    type Error = Infallible;

    fn persist(&mut self, record: &Record) -> Result<(), Infallible> {
        *self.0 = record.clone();
        Ok(())
    }
}

/// The faults that are injected.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub coordinator: Option<InjectedFault>,
    pub member: Option<member::InjectedFault>,
}

/// A decided version.
#[derive(Clone, Copy, Hash)]
pub struct Decision {
    pub at: Nanos,
    /// The digest of the policy's text.
    pub digest: u32,
}

/// The coordinators, members and network, and what is needed to check the invariants.
#[derive(Clone)]
pub struct World {
    pub now: Nanos,
    pub coordinators: Vec<Option<Coordinator>>,
    pub disks: Vec<Record>,
    pub members: Vec<Member>,
    /// The coordinator that each member is connected to.
    pub connected_to: Vec<CoordinatorId>,
    /// The messages in transit.
    pub network: Vec<SentMessage>,
    /// The decision of each version, by the version.
    pub decided: BTreeMap<u64, Decision>,
    /// The outcome of each version that was dropped, by the version.
    pub dropped: BTreeMap<u64, String>,
    pub faults: Faults,
    /// All replies to operators.
    pub operator_replies: Vec<Reply>,
    /// The latest invariant that was violated.
    pub violation: Option<String>,
}

fn accept_all(_: &str, _: &str) -> Result<(), Vec<String>> {
    Ok(())
}

impl World {
    pub fn new(coordinators: usize, members: usize, faults: Faults) -> Self {
        let disks = vec![Record { state: State::initial("1".into()), ..Record::default() }; coordinators];
        let mut world = Self {
            now: 1000,
            coordinators: vec![None; coordinators],
            disks,
            members: Vec::new(),
            connected_to: vec![0; members],
            network: Vec::new(),
            decided: BTreeMap::new(),
            dropped: BTreeMap::new(),
            faults,
            operator_replies: Vec::new(),
            violation: None,
        };
        (0..coordinators).for_each(|c| world.start(c));
        for m in 0..members {
            let incarnation = Incarnation { store_id: m as u64, run_number: 1 };
            world
                .members
                .push(Member::new(incarnation, 0, LEASE, 0, None).with_injected_fault(faults.member));
            world.step_member(m, member::Input::SessionOpened);
        }
        world
    }

    pub fn start(&mut self, c: usize) {
        let config = ConsensusConfig {
            id: c as CoordinatorId,
            coordinators: self.coordinators.len() as u8,
            hold: HOLD,
            lease: LEASE,
            drift: 0,
            check: accept_all,
            injected_fault: self.faults.coordinator,
        };
        self.coordinators[c] = Some(Coordinator::new(config, self.disks[c].clone(), self.now));
    }

    /// Replaces a coordinator that is down by one with an empty store. Returns whether the replacement was committed.
    pub fn replace(&mut self, c: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let before = self.coordinators[leader]
            .as_ref()
            .and_then(|s| s.committed_state())
            .map_or(0, |s| s.seat(c as CoordinatorId));
        let request = OperatorRequest::Replace { coordinator: c as CoordinatorId };
        self.step_coordinator(
            leader,
            Input::Request { client: ClientSession::Operator(2), request: Request::Operator(request) },
        );
        self.run_for(HOLD / 2);
        let after = self
            .leader()
            .and_then(|s| Some(self.coordinators[s].as_ref()?.committed_state()?.seat(c as CoordinatorId)));
        if after != Some(before + 1) || self.coordinators[c].is_some() {
            return false;
        }
        self.disks[c] = Record { seat: before + 1, learning: true, ..Record::default() };
        self.start(c);
        true
    }

    pub fn crash(&mut self, c: usize) {
        self.coordinators[c] = None;
    }

    pub fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.coordinators, &self.disks, &self.members, &self.decided, &self.dropped).hash(&mut hasher);
        // All times are absolute, so the current time is a part of the state.
        self.now.hash(&mut hasher);
        let mut messages: Vec<u64> = self
            .network
            .iter()
            .map(|s| {
                let mut h = DefaultHasher::new();
                s.hash(&mut h);
                h.finish()
            })
            .collect();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        hasher.finish()
    }

    pub fn step_coordinator(&mut self, c: usize, input: Input) {
        let now = self.now;
        let Some(coordinator) = &mut self.coordinators[c] else { return };
        let Ok(outputs) = coordinator.handle(now, input).finish(&mut Disk(&mut self.disks[c]));
        for output in outputs {
            match output {
                Output::Send { to, envelope } => {
                    self.send(Destination::Coordinator(to), Message::Envelope(c as CoordinatorId, envelope));
                }
                Output::Reply { client: ClientSession::Member(name), reply } => {
                    let m: usize = name.parse().unwrap_or(0);
                    self.send(Destination::Member(m), Message::Reply(reply));
                }
                Output::Reply { reply, .. } => self.operator_replies.push(reply),
                Output::Audit(entry) => self.record_audit(entry),
                Output::Halt => self.crash(c),
            }
        }
        self.check_invariants();
    }

    fn send(&mut self, to: Destination, message: Message) {
        self.network.push(SentMessage { to, message });
    }

    fn record_audit(&mut self, entry: AuditEntry) {
        match entry {
            AuditEntry::Decided { version, digest, .. } => {
                let first = !self.decided.contains_key(&version);
                let known = self.decided.entry(version).or_insert(Decision { at: self.now, digest });
                if known.digest != digest {
                    self.violation = Some(format!("version {version} has two texts"));
                }
                if self.dropped.contains_key(&version) {
                    self.violation = Some(format!("version {version} was dropped and decided"));
                }
                if first {
                    for (m, member) in self.members.iter().enumerate() {
                        if member.may_serve(self.now) && !member.has_version(version) {
                            self.violation = Some(format!(
                                "version {version} was decided, but member {m} may serve without it"
                            ));
                        }
                    }
                }
            }
            AuditEntry::Dropped { version, end, .. } => {
                if self.decided.contains_key(&version) {
                    self.violation = Some(format!("version {version} was decided and dropped"));
                }
                self.dropped.insert(version, format!("{end:?}"));
            }
            _ => {}
        }
    }

    pub fn step_member(&mut self, m: usize, input: member::Input) {
        let (now, mut outputs) = (self.now, Vec::new());
        self.members[m].handle(now, input, &mut outputs);
        // Changes are stored and activated without delay.
        let mut next = 0;
        while next < outputs.len() {
            match outputs[next].clone() {
                MemberOutput::Send(renew) => {
                    let to = Destination::Coordinator(self.connected_to[m]);
                    self.send(
                        to,
                        Message::Request(ClientSession::Member(m.to_string()), Request::Renew(renew)),
                    );
                }
                MemberOutput::Stage(policy) => {
                    let done = member::Input::Staged { version: policy.version, result: Ok(()) };
                    self.members[m].handle(now, done, &mut outputs);
                }
                MemberOutput::Activate(policy) => {
                    let done = member::Input::Activated { version: policy.version, result: Ok(()) };
                    self.members[m].handle(now, done, &mut outputs);
                }
                MemberOutput::TryAnotherCoordinator => {
                    self.connected_to[m] =
                        (self.connected_to[m] + 1) % self.coordinators.len() as CoordinatorId;
                    self.members[m].handle(now, member::Input::SessionOpened, &mut outputs);
                }
                MemberOutput::Serve { .. } | MemberOutput::Notify(_) => {}
            }
            next += 1;
        }
        self.check_invariants();
    }

    pub fn deliver(&mut self, sent: SentMessage) {
        match (sent.to, sent.message) {
            (Destination::Coordinator(c), Message::Envelope(from, envelope)) => {
                self.step_coordinator(c as usize, Input::Message { from, envelope });
            }
            (Destination::Coordinator(c), Message::Request(client, request)) => {
                self.step_coordinator(c as usize, Input::Request { client, request });
            }
            (Destination::Member(m), Message::Reply(reply)) => {
                self.step_member(m, member::Input::Reply(reply))
            }
            _ => {}
        }
    }

    pub fn propose(&mut self, c: usize, request: &str, text: &str, give_up: Option<Nanos>) {
        let committed_states = self.coordinators.iter().flatten().filter_map(|c| c.committed_state());
        let base_version = committed_states.map(|s| s.policy.version).max().unwrap_or(0);
        let (request, text) = (request.to_owned(), text.to_owned());
        let request = OperatorRequest::Propose {
            request,
            base_version,
            text,
            require_all: false,
            give_up_after: give_up,
        };
        self.step_coordinator(
            c,
            Input::Request { client: ClientSession::Operator(1), request: Request::Operator(request) },
        );
    }

    /// Checks the invariants that must hold at all times.
    pub fn check_invariants(&mut self) {
        for (m, member) in self.members.iter().enumerate() {
            if !member.may_serve(self.now) || self.violation.is_some() {
                continue;
            }
            let version = member.active();
            if !self.decided.contains_key(&version) {
                self.violation = Some(format!("member {m} serves under {version}, which was not decided"));
            }
            for (newer, decision) in self.decided.range(version + 1..) {
                if self.now > decision.at + LEASE {
                    self.violation = Some(format!("member {m} serves under {version}, long after {newer}"));
                }
            }
        }
    }

    /// Returns when the next tick of a running coordinator or member is due, except for members that are `paused`.
    pub fn next_due(&self, paused: &[bool]) -> Nanos {
        let coordinators = self.coordinators.iter().flatten().map(Coordinator::next_due);
        let members =
            self.members.iter().enumerate().filter(|(m, _)| !paused.get(*m).copied().unwrap_or(false));
        coordinators
            .chain(members.map(|(_, m)| m.next_due()))
            .min()
            .unwrap_or(Nanos::MAX)
            .clamp(self.now + 1, self.now + LEASE)
    }

    /// Advances the time, and ticks the coordinators and members that are due, except for members that are `paused`.
    pub fn advance_to(&mut self, to: Nanos, paused: &[bool]) {
        self.now = to;
        for c in 0..self.coordinators.len() {
            if self.coordinators[c].as_ref().is_some_and(|c| c.next_due() <= to) {
                self.step_coordinator(c, Input::Tick);
            }
        }
        for m in 0..self.members.len() {
            if !paused.get(m).copied().unwrap_or(false) && self.members[m].next_due() <= to {
                self.step_member(m, member::Input::Tick);
            }
        }
        self.check_invariants();
    }

    /// Delivers all messages in order until this much time has passed.
    pub fn run_for(&mut self, duration: Nanos) {
        let end = self.now + duration;
        while self.now < end && self.violation.is_none() {
            for sent in std::mem::take(&mut self.network) {
                self.deliver(sent);
            }
            if self.network.is_empty() {
                self.advance_to(self.next_due(&[]).min(end), &[]);
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.coordinators.iter().position(|c| c.as_ref().is_some_and(|c| c.is_leader(self.now)))
    }
}
