//! One coordinator: a replica of the register that votes in elections, and leads the others when it is elected.
//!
//! [`Coordinator`] holds the state and dispatches inputs. The submodules handle them, each for one part of the protocol:
//!
//! - `election`: Paxos phase 1, and how a leader steps down;
//! - `replication`: Paxos phase 2, and heartbeats;
//! - `apply`: the effects of a committed write;
//! - `lease`: leases of members;
//! - `membership`: registration and removal of members, and replacement of coordinators;
//! - `change`: changes of the policy, from the proposal to the outcome;
//! - `operator`: requests of operators;
//! - `role`: the state of each role; `leadership`: the state of a leader.

mod apply;
mod change;
mod election;
mod leadership;
mod lease;
mod membership;
mod operator;
mod replication;
mod role;

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use crate::config::{ConsensusConfig, InjectedFault};
use crate::message::{ClientSession, Envelope, PeerMessage, Reply, Request};
use crate::state::{CoordinatorId, Nanos, Record, State};
use crate::step::{Input, Output, Step};

use self::lease::Session;
use self::role::{LeaderLease, Promise, Replica, ReplyTo, Role};

/// A coordinator. Only the [`Record`] is preserved across restarts of the process.
#[derive(Clone, Debug)]
pub struct Coordinator {
    config: ConsensusConfig,
    record: Record,
    /// Whether the record differs from the one that was persisted last.
    record_changed: bool,
    role: Role,
    /// The time until which this coordinator votes for no other leader.
    leader_lease: LeaderLease,
    /// The highest round in any message so far.
    highest_round: u32,
    /// The sessions from an earlier term as the leader, which are used again after a re-election.
    former_sessions: BTreeMap<String, Session>,
    /// The highest write count that each replica has reported.
    observed_writes: BTreeMap<Replica, u64>,
    halted: bool,
    outputs: Vec<Output>,
}

impl Hash for Coordinator {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.record.hash(hasher);
        self.role.hash(hasher);
        self.leader_lease.hash(hasher);
        self.highest_round.hash(hasher);
        self.former_sessions.hash(hasher);
        self.halted.hash(hasher);
    }
}

impl Coordinator {
    /// Creates a coordinator from the record that it persisted last. It votes for no candidate during the first `hold`,
    /// because it may have acknowledged a heartbeat just before it stopped.
    #[must_use]
    pub fn new(config: ConsensusConfig, record: Record, now: Nanos) -> Self {
        let highest_round = record.promised.round;
        Self {
            config,
            record,
            record_changed: false,
            role: Role::Follower,
            leader_lease: LeaderLease { holder: None, until: now + config.hold },
            highest_round,
            former_sessions: BTreeMap::new(),
            observed_writes: BTreeMap::new(),
            halted: false,
            outputs: Vec::new(),
        }
    }

    /// Returns the record as of the last input.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the newest committed state that this coordinator knows of, if it is the leader.
    #[must_use]
    pub fn committed_state(&self) -> Option<&State> {
        match &self.role {
            Role::Leader(leadership) => leadership.committed.as_ref(),
            Role::Follower | Role::Candidate(_) => None,
        }
    }

    /// Returns whether this coordinator is the leader and no other one can have been elected yet.
    #[must_use]
    pub fn is_leader(&self, now: Nanos) -> bool {
        match &self.role {
            Role::Leader(leadership) => {
                leadership.committed.is_some() && now < leadership.valid_until(&self.config)
            }
            Role::Follower | Role::Candidate(_) => false,
        }
    }

    /// Returns when the next [`Input::Tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> Nanos {
        if self.halted {
            return Nanos::MAX;
        }
        match &self.role {
            Role::Follower if self.record.learning => Nanos::MAX,
            Role::Follower => self.election_due(),
            Role::Candidate(candidacy) => candidacy.retry_at,
            Role::Leader(leadership) => leadership.next_due(&self.config),
        }
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Nanos, input: Input) -> Step {
        if !self.halted {
            self.dispatch_input(now, input);
        }
        let record = self.changed_record();
        let mut outputs = std::mem::take(&mut self.outputs);
        self.add_write_counts(&mut outputs);
        if self.config.injects(InjectedFault::UnpersistedPromise) && outputs.iter().any(is_promise) {
            return Step::new(None, outputs);
        }
        Step::new(record, outputs)
    }

    fn dispatch_input(&mut self, now: Nanos, input: Input) {
        match input {
            Input::Message { from, envelope } => self.receive(now, from, envelope),
            Input::Request { client, request } => {
                let client = ReplyTo { via: None, client };
                self.handle_request(now, client, request);
            }
            Input::Tick => self.tick(now),
        }
    }

    /// Counts the write and returns the record, if the record has to be persisted.
    fn changed_record(&mut self) -> Option<Record> {
        if !std::mem::take(&mut self.record_changed) {
            return None;
        }
        self.record.write_count += 1;
        Some(self.record.clone())
    }

    /// Fills in the seats and write counts of outgoing messages, by which a rolled-back record is detected.
    fn add_write_counts(&self, outputs: &mut [Output]) {
        for output in outputs {
            if let Output::Send { to, envelope } = output {
                let receiver = Replica { id: *to, seat: self.record.state.seat(*to) };
                envelope.write_count = self.record.write_count;
                envelope.seat = self.record.seat;
                envelope.observed_write_count = self.observed_writes.get(&receiver).copied().unwrap_or(0);
                envelope.observed_seat = receiver.seat;
            }
        }
    }

    fn tick(&mut self, now: Nanos) {
        match &self.role {
            Role::Follower => {
                if now >= self.election_due() && !self.record.learning {
                    self.campaign(now);
                }
            }
            Role::Candidate(candidacy) => {
                if now >= candidacy.retry_at {
                    self.campaign(now);
                }
            }
            Role::Leader(_) => self.tick_as_leader(now),
        }
    }

    fn receive(&mut self, now: Nanos, from: CoordinatorId, envelope: Envelope) {
        if from >= self.config.coordinators || from == self.config.id {
            return;
        }
        if self.is_rolled_back(&envelope) {
            return self.halt();
        }
        if envelope.seat < self.record.state.seat(from) {
            // The sender was replaced. It learns this from the committed state.
            return;
        }
        let sender = Replica { id: from, seat: envelope.seat };
        self.observe_writes(sender, envelope.write_count);
        match envelope.message {
            PeerMessage::Prepare { ballot } => self.on_prepare(now, from, ballot),
            PeerMessage::Promise { ballot, accepted, state } => {
                self.on_promise(now, from, ballot, Promise { accepted, state, seat: sender.seat });
            }
            PeerMessage::Accept { ballot, state, at, committed } => {
                self.on_accept(now, from, ballot, state, at, committed);
            }
            PeerMessage::Accepted { ballot, revision, at } => {
                self.on_accepted(now, sender, ballot, revision, at)
            }
            PeerMessage::Heartbeat { ballot, at } => self.on_heartbeat(now, from, ballot, at),
            PeerMessage::HeartbeatAck { ballot, at } => self.on_heartbeat_ack(sender, ballot, at),
            PeerMessage::OutdatedBallot { promised } => self.on_outdated(now, promised),
            PeerMessage::ForwardRequest { client, request } => {
                let client = ReplyTo { via: Some(from), client };
                self.handle_request(now, client, request);
            }
            PeerMessage::ForwardReply { client, reply } => self.outputs.push(Output::Reply { client, reply }),
        }
    }

    /// Returns whether the sender has observed a later write of this record than the one that was loaded.
    fn is_rolled_back(&self, envelope: &Envelope) -> bool {
        // Writes observed from a predecessor with the same id are unrelated to this record.
        let of_this_replica = envelope.observed_seat == self.record.seat;
        of_this_replica
            && envelope.observed_write_count > self.record.write_count
            && !self.config.injects(InjectedFault::UnpersistedPromise)
    }

    fn observe_writes(&mut self, sender: Replica, count: u64) {
        let observed = self.observed_writes.entry(sender).or_default();
        *observed = (*observed).max(count);
    }

    fn halt(&mut self) {
        self.halted = true;
        self.outputs.push(Output::Halt);
    }

    fn handle_request(&mut self, now: Nanos, client: ReplyTo, request: Request) {
        if !self.can_serve_clients(now) {
            return self.forward(now, client, request);
        }
        match (client.client, request) {
            (ClientSession::Member(member), Request::Renew(renew)) => {
                self.renew_lease(now, client.via, member, renew);
            }
            (operator @ ClientSession::Operator(_), Request::Operator(request)) => {
                self.handle_operator_request(now, ReplyTo { via: client.via, client: operator }, request);
            }
            _ => {}
        }
    }

    fn can_serve_clients(&self, now: Nanos) -> bool {
        self.is_leader(now)
            || (self.config.injects(InjectedFault::StaleLeader) && self.committed_state().is_some())
    }

    /// Forwards a request to the leader. A request is forwarded only once: a receiver that is not the leader replies
    /// [`Reply::NoLeader`].
    fn forward(&mut self, now: Nanos, client: ReplyTo, request: Request) {
        match self.leader_lease.holder {
            Some(leader) if client.via.is_none() && now < self.leader_lease.until => {
                self.send(leader, PeerMessage::ForwardRequest { client: client.client, request });
            }
            _ => self.reply(client, Reply::NoLeader),
        }
    }

    fn send(&mut self, to: CoordinatorId, message: PeerMessage) {
        // `add_write_counts` fills in the seats and counts.
        let envelope =
            Envelope { write_count: 0, observed_write_count: 0, observed_seat: 0, seat: 0, message };
        self.outputs.push(Output::Send { to, envelope });
    }

    fn reply(&mut self, to: ReplyTo, reply: Reply) {
        match to.via {
            None => self.outputs.push(Output::Reply { client: to.client, reply }),
            Some(coordinator) => {
                self.send(coordinator, PeerMessage::ForwardReply { client: to.client, reply })
            }
        }
    }
}

fn is_promise(output: &Output) -> bool {
    matches!(output, Output::Send { envelope, .. } if matches!(envelope.message, PeerMessage::Promise { .. }))
}
