//! The state of a leader: the write in progress, the followers, the members' sessions, and the changes to be written
//! next.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::ConsensusConfig;
use crate::message::PeerMessage;
use crate::state::{Ballot, CoordinatorId, Incarnation, Nanos, State};

use super::change::{PendingSince, ProposedChange};
use super::lease::Session;
use super::membership::{Removal, Replacement};
use super::role::Replica;

/// The state of a leader.
#[derive(Clone, Debug, Hash)]
pub(super) struct Leadership {
    pub(super) ballot: Ballot,
    /// The newest state that a quorum has accepted under this ballot; none until the first write is committed.
    pub(super) committed: Option<State>,
    /// The write in progress.
    pub(super) in_flight: Option<InFlight>,
    /// For each follower, the latest reading of this coordinator's clock that it has acknowledged.
    pub(super) acknowledged_at: BTreeMap<CoordinatorId, Nanos>,
    pub(super) elected_at: Nanos,
    /// The time until which members may hold leases granted by an earlier leader.
    pub(super) earlier_leases_until: Nanos,
    pub(super) next_heartbeat: Nanos,
    pub(super) sessions: BTreeMap<String, Session>,
    /// The members to be registered.
    pub(super) joining: BTreeMap<String, Incarnation>,
    /// The members to be removed.
    pub(super) removals: Vec<Removal>,
    /// The coordinator to be replaced.
    pub(super) replacement: Option<Replacement>,
    /// For each follower, the latest revision that it has accepted under this ballot.
    pub(super) accepted_revision: BTreeMap<CoordinatorId, u64>,
    /// The policy change to be proposed to the members.
    pub(super) proposed: Option<ProposedChange>,
    /// The name of the change to be aborted.
    pub(super) abort: Option<String>,
    /// When the pending change became pending, for its timeout.
    pub(super) pending_since: PendingSince,
}

/// A write that is being replicated.
#[derive(Clone, Debug, Hash)]
pub(super) struct InFlight {
    pub(super) state: State,
    pub(super) accepted_by: BTreeSet<CoordinatorId>,
}

impl Leadership {
    /// Creates the state of a newly elected leader, with the sessions from an earlier term.
    pub(super) fn new(
        ballot: Ballot,
        now: Nanos,
        earlier_leases_until: Nanos,
        sessions: BTreeMap<String, Session>,
    ) -> Self {
        Self {
            ballot,
            committed: None,
            in_flight: None,
            acknowledged_at: BTreeMap::new(),
            elected_at: now,
            earlier_leases_until,
            next_heartbeat: now,
            sessions,
            joining: BTreeMap::new(),
            removals: Vec::new(),
            replacement: None,
            accepted_revision: BTreeMap::new(),
            proposed: None,
            abort: None,
            pending_since: PendingSince { version: 0, at: now },
        }
    }

    /// Returns the time until which a quorum elects no other leader, by this coordinator's clock.
    pub(super) fn valid_until(&self, config: &ConsensusConfig) -> Nanos {
        let followers_needed = config.majority() - 1;
        if followers_needed == 0 {
            return Nanos::MAX;
        }
        let mut acknowledged: Vec<Nanos> = self.acknowledged_at.values().copied().collect();
        acknowledged.sort_unstable_by(|a, b| b.cmp(a));
        let hold = config.hold - config.hold * config.drift / 1000;
        acknowledged.get(followers_needed - 1).map_or(0, |at| at + hold)
    }

    /// Returns when the next tick is due, for a heartbeat or for the timeout of a pending change.
    pub(super) fn next_due(&self, config: &ConsensusConfig) -> Nanos {
        let last_heartbeat = self.next_heartbeat - config.heartbeat_interval();
        let give_up = self.give_up_at().filter(|at| *at > last_heartbeat);
        self.next_heartbeat.min(give_up.unwrap_or(Nanos::MAX))
    }

    /// Returns the message that a follower is sent at each heartbeat.
    pub(super) fn heartbeat_for(&self, follower: CoordinatorId, now: Nanos) -> PeerMessage {
        let ballot = self.ballot;
        let heartbeat = PeerMessage::Heartbeat { ballot, at: now };
        if let Some(write) = &self.in_flight {
            if write.accepted_by.contains(&follower) {
                return heartbeat;
            }
            return PeerMessage::Accept { ballot, state: write.state.clone(), at: now, committed: false };
        }
        match &self.committed {
            // The follower has missed a write, or is a replacement.
            Some(state) if self.lags_behind(follower, state.revision) => {
                PeerMessage::Accept { ballot, state: state.clone(), at: now, committed: true }
            }
            _ => heartbeat,
        }
    }

    fn lags_behind(&self, follower: CoordinatorId, revision: u64) -> bool {
        self.accepted_revision.get(&follower).is_none_or(|accepted| *accepted < revision)
    }

    /// Records that a follower has acknowledged the reading `at` of this coordinator's clock.
    pub(super) fn acknowledge(&mut self, follower: CoordinatorId, at: Nanos) {
        let acknowledged = self.acknowledged_at.entry(follower).or_default();
        *acknowledged = (*acknowledged).max(at);
    }

    /// Records a follower's acceptance of a write. Returns whether it is for the write in progress.
    pub(super) fn accept(&mut self, follower: CoordinatorId, revision: u64) -> bool {
        let accepted = self.accepted_revision.entry(follower).or_default();
        *accepted = (*accepted).max(revision);
        match self.in_flight.as_mut().filter(|write| write.state.revision == revision) {
            Some(write) => {
                write.accepted_by.insert(follower);
                true
            }
            None => false,
        }
    }

    /// Returns whether this replica has the vote of its id. A replacement has none before it is committed.
    pub(super) fn has_vote(&self, replica: Replica) -> bool {
        let written = self.in_flight.as_ref().map(|write| &write.state);
        let state = self.committed.as_ref().or(written);
        state.is_some_and(|state| state.seat(replica.id) == replica.seat)
    }

    /// Returns whether members may still hold leases granted by an earlier leader.
    pub(super) fn in_grace_period(&self, now: Nanos) -> bool {
        now < self.earlier_leases_until
    }

    /// Returns the run under which a member is registered in the committed state.
    pub(super) fn registered(&self, member: &str) -> Option<Incarnation> {
        self.committed.as_ref()?.members.get(member).copied()
    }

    /// Returns the state to be written next, if it differs from the committed one and no write is in progress.
    pub(super) fn next_state(&mut self, now: Nanos, config: &ConsensusConfig) -> Option<State> {
        if self.in_flight.is_some() {
            return None;
        }
        let committed = self.committed.clone()?;
        let mut state = committed.clone();
        self.write_memberships(now, &mut state);
        self.write_change(now, config, &mut state);
        if state == committed {
            return None;
        }
        state.revision += 1;
        Some(state)
    }
}
