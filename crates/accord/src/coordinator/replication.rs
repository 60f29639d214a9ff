//! Replication: Paxos phase 2, and the heartbeats by which the leader maintains its leadership.

use std::collections::BTreeSet;

use crate::config::InjectedFault;
use crate::message::PeerMessage;
use crate::state::{Ballot, CoordinatorId, Nanos, State};

use super::Coordinator;
use super::leadership::InFlight;
use super::role::{LeaderLease, Replica, Role};

impl Coordinator {
    pub(super) fn tick_as_leader(&mut self, now: Nanos) {
        let Role::Leader(leadership) = &self.role else { return };
        let lost_quorum = now >= leadership.valid_until(&self.config);
        let first_hold_is_over = now >= leadership.elected_at + self.config.hold;
        if lost_quorum && first_hold_is_over && !self.config.injects(InjectedFault::StaleLeader) {
            return self.step_down(now);
        }
        if now >= leadership.next_heartbeat {
            self.send_heartbeats(now);
        }
        self.write_next(now);
    }

    /// Starts the next write, if there is one, this coordinator is the leader, and no write is in progress.
    pub(super) fn write_next(&mut self, now: Nanos) {
        if !self.is_leader(now) {
            return;
        }
        let Role::Leader(leadership) = &mut self.role else { return };
        if let Some(state) = leadership.next_state(now, &self.config) {
            self.replicate(now, state);
        }
    }

    /// Accepts a state under the leader's own ballot, and requests its acceptance from the followers.
    pub(super) fn replicate(&mut self, now: Nanos, state: State) {
        let Role::Leader(leadership) = &mut self.role else { return };
        self.record.accepted = leadership.ballot;
        self.record.state = state.clone();
        self.record_changed = true;
        leadership.in_flight = Some(InFlight { state, accepted_by: BTreeSet::from([self.config.id]) });
        self.send_heartbeats(now);
        self.commit_if_accepted(now);
    }

    /// Sends each follower a heartbeat, or the write that it has not accepted yet.
    fn send_heartbeats(&mut self, now: Nanos) {
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.next_heartbeat = now + self.config.heartbeat_interval();
        let messages: Vec<(CoordinatorId, PeerMessage)> =
            self.config.peers().map(|follower| (follower, leadership.heartbeat_for(follower, now))).collect();
        for (follower, message) in messages {
            self.send(follower, message);
        }
    }

    /// Handles the leader's request to accept `state`. `at` is the leader's clock, which the reply echoes.
    pub(super) fn on_accept(
        &mut self,
        now: Nanos,
        from: CoordinatorId,
        ballot: Ballot,
        state: State,
        at: Nanos,
        committed: bool,
    ) {
        let seat = state.seat(self.config.id);
        if committed && seat > self.record.seat {
            // This coordinator was replaced by another one.
            return self.halt();
        }
        if !self.follow(now, from, ballot) {
            return;
        }
        if self.record.learning {
            // A replacement has a vote only once it has received the committed state.
            if !committed || seat != self.record.seat {
                return;
            }
            self.record.learning = false;
            self.record_changed = true;
        }
        self.accept(from, ballot, state, at);
    }

    /// Accepts a state unless a newer one was accepted before.
    fn accept(&mut self, from: CoordinatorId, ballot: Ballot, state: State, at: Nanos) {
        let revision = state.revision;
        let current = (self.record.accepted, self.record.state.revision);
        if (ballot, revision) > current {
            self.record.promised = ballot;
            self.record.accepted = ballot;
            self.record.state = state;
            self.record_changed = true;
        }
        if (ballot, revision) >= current {
            self.send(from, PeerMessage::Accepted { ballot, revision, at });
        }
    }

    /// Handles a follower's acceptance. `at` is this coordinator's clock when it sent the state.
    pub(super) fn on_accepted(
        &mut self,
        now: Nanos,
        from: Replica,
        ballot: Ballot,
        revision: u64,
        at: Nanos,
    ) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.ballot != ballot || !leadership.has_vote(from) {
            return;
        }
        leadership.acknowledge(from.id, at);
        if leadership.accept(from.id, revision) {
            self.commit_if_accepted(now);
        }
    }

    /// Handles a leader's heartbeat. `at` is the leader's clock, which the acknowledgement echoes.
    pub(super) fn on_heartbeat(&mut self, now: Nanos, from: CoordinatorId, ballot: Ballot, at: Nanos) {
        if self.follow(now, from, ballot) && !self.record.learning {
            self.send(from, PeerMessage::HeartbeatAck { ballot, at });
        }
    }

    /// Handles a follower's acknowledgement. `at` is this coordinator's clock when it sent the heartbeat.
    pub(super) fn on_heartbeat_ack(&mut self, from: Replica, ballot: Ballot, at: Nanos) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.ballot != ballot {
            return;
        }
        let Some(committed) = &leadership.committed else { return };
        if committed.seat(from.id) == from.seat {
            leadership.acknowledge(from.id, at);
        }
    }

    /// Follows this leader for the next `hold`, unless a higher ballot was promised. Returns whether this coordinator
    /// follows.
    fn follow(&mut self, now: Nanos, leader: CoordinatorId, ballot: Ballot) -> bool {
        self.observe_round(ballot);
        if ballot < self.record.promised {
            self.send(leader, PeerMessage::OutdatedBallot { promised: self.record.promised });
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.step_down(now);
        }
        self.leader_lease = LeaderLease { holder: Some(leader), until: now + self.config.hold };
        true
    }
}
