//! Leader election: Paxos phase 1, and how a leader steps down.

use std::collections::BTreeMap;

use crate::config::InjectedFault;
use crate::message::PeerMessage;
use crate::state::{Ballot, CoordinatorId, Nanos};

use super::Coordinator;
use super::leadership::Leadership;
use super::role::{Candidacy, LeaderLease, Promise, Role};

impl Coordinator {
    /// Returns when this coordinator starts an election unless it receives a message of a leader.
    pub(super) fn election_due(&self) -> Nanos {
        self.leader_lease.until + self.config.election_stagger()
    }

    /// Starts an election, or requests missing promises again.
    pub(super) fn campaign(&mut self, now: Nanos) {
        let retry_at = now + self.config.campaign_retry_delay();
        let ballot = match self.continue_candidacy(retry_at) {
            Some(ballot) => ballot,
            None => self.begin_candidacy(retry_at),
        };
        for peer in self.config.peers() {
            self.send(peer, PeerMessage::Prepare { ballot });
        }
        self.lead_if_elected(now);
    }

    /// Continues with the current ballot if no higher one is known.
    fn continue_candidacy(&mut self, retry_at: Nanos) -> Option<Ballot> {
        let Role::Candidate(candidacy) = &mut self.role else { return None };
        let ballot = candidacy.ballot;
        if ballot.round < self.highest_round || ballot != self.record.promised {
            return None;
        }
        candidacy.retry_at = retry_at;
        Some(ballot)
    }

    /// Creates a ballot that is higher than all known ones, and promises it.
    fn begin_candidacy(&mut self, retry_at: Nanos) -> Ballot {
        let own_id = self.config.id;
        let round = self.highest_round.max(self.record.promised.round) + 1;
        let ballot = Ballot { round, candidate: own_id };
        self.highest_round = round;
        self.record.promised = ballot;
        self.record_changed = true;
        let own = Promise {
            accepted: self.record.accepted,
            state: self.record.state.clone(),
            seat: self.record.seat,
        };
        self.role =
            Role::Candidate(Candidacy { ballot, promises: BTreeMap::from([(own_id, own)]), retry_at });
        ballot
    }

    /// Becomes the leader if a quorum has promised.
    fn lead_if_elected(&mut self, now: Nanos) {
        let Role::Candidate(candidacy) = &self.role else { return };
        let ballot = candidacy.ballot;
        let state = candidacy.newest_state();
        if candidacy.votes(&state) < self.config.majority() {
            return;
        }
        let grace = if self.config.injects(InjectedFault::NoGracePeriod) { 0 } else { self.config.lease };
        let sessions = std::mem::take(&mut self.former_sessions);
        let leadership = Leadership::new(ballot, now, now + grace, sessions);
        self.role = Role::Leader(Box::new(leadership));
        // The state may or may not be committed, so it is written again under the new ballot before it takes effect.
        self.replicate(now, state);
    }

    pub(super) fn on_prepare(&mut self, now: Nanos, from: CoordinatorId, ballot: Ballot) {
        self.observe_round(ballot);
        if self.record.learning || self.supports_another_leader(now, from) {
            return;
        }
        if ballot < self.record.promised {
            return self.send(from, PeerMessage::OutdatedBallot { promised: self.record.promised });
        }
        if ballot > self.record.promised {
            self.promise(now, from, ballot);
        }
        let accepted = self.record.accepted;
        let state = self.record.state.clone();
        self.send(from, PeerMessage::Promise { ballot, accepted, state });
    }

    /// Returns whether this coordinator is the leader, or has acknowledged another leader than the candidate recently.
    fn supports_another_leader(&self, now: Nanos, candidate: CoordinatorId) -> bool {
        let leased = now < self.leader_lease.until && self.leader_lease.holder != Some(candidate);
        self.is_leader(now) || leased
    }

    fn promise(&mut self, now: Nanos, candidate: CoordinatorId, ballot: Ballot) {
        self.record.promised = ballot;
        self.record_changed = true;
        if !matches!(self.role, Role::Follower) {
            self.step_down(now);
        }
        // The candidate has this time to send its first heartbeat.
        self.leader_lease =
            LeaderLease { holder: Some(candidate), until: now + self.config.min_election_delay() };
    }

    pub(super) fn on_promise(&mut self, now: Nanos, from: CoordinatorId, ballot: Ballot, promise: Promise) {
        if let Role::Candidate(candidacy) = &mut self.role
            && candidacy.ballot == ballot
        {
            candidacy.promises.insert(from, promise);
            self.lead_if_elected(now);
        }
    }

    /// Handles the report that another coordinator has promised a higher ballot.
    pub(super) fn on_outdated(&mut self, now: Nanos, promised: Ballot) {
        self.observe_round(promised);
        let Role::Leader(leadership) = &self.role else { return };
        if promised <= leadership.ballot {
            return;
        }
        let still_valid = self.is_leader(now);
        self.step_down(now);
        if still_valid {
            self.campaign(now);
        }
    }

    pub(super) fn observe_round(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// Becomes a follower that waits for at least `min_election_delay` before it starts an election.
    pub(super) fn step_down(&mut self, now: Nanos) {
        if let Role::Leader(leadership) = std::mem::replace(&mut self.role, Role::Follower) {
            self.former_sessions = leadership.sessions;
        }
        let until = self.leader_lease.until.max(now + self.config.min_election_delay());
        self.leader_lease = LeaderLease { holder: None, until };
    }
}
