//! What a leader knows: the write in progress, its followers, its members' sessions, and what is to be written next.

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
    /// The newest state that a quorum has accepted under this ballot; none at first.
    pub(super) committed: Option<State>,
    /// The write in progress.
    pub(super) in_flight: Option<InFlight>,
    /// For each follower, the newest of this coordinator's clock readings that it has acknowledged.
    pub(super) acknowledged_at: BTreeMap<CoordinatorId, Nanos>,
    pub(super) elected_at: Nanos,
    /// Until then members may hold leases that an earlier leader has granted.
    pub(super) earlier_leases_until: Nanos,
    pub(super) next_heartbeat: Nanos,
    pub(super) sessions: BTreeMap<String, Session>,
    /// Members to be registered.
    pub(super) joining: BTreeMap<String, Incarnation>,
    /// Members to be removed.
    pub(super) removals: Vec<Removal>,
    /// The coordinator to be replaced.
    pub(super) replacement: Option<Replacement>,
    /// For each follower, the newest write that it has accepted under this ballot.
    pub(super) accepted_revision: BTreeMap<CoordinatorId, u64>,
    /// The policy change to be put before the members.
    pub(super) proposed: Option<ProposedChange>,
    /// The name of the change to be aborted.
    pub(super) abort: Option<String>,
    pub(super) pending_since: PendingSince,
}

/// A write that is being replicated.
#[derive(Clone, Debug, Hash)]
pub(super) struct InFlight {
    pub(super) state: State,
    pub(super) accepted_by: BTreeSet<CoordinatorId>,
}

impl Leadership {
    /// A leader that has just been elected, with the sessions that it knows from an earlier term.
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

    /// Until when a quorum elects nobody else, by this coordinator's clock.
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

    /// When the next tick is due: for a heartbeat, or to give a change up.
    pub(super) fn next_due(&self, config: &ConsensusConfig) -> Nanos {
        let last_heartbeat = self.next_heartbeat - config.heartbeat_interval();
        let give_up = self.give_up_at().filter(|at| *at > last_heartbeat);
        self.next_heartbeat.min(give_up.unwrap_or(Nanos::MAX))
    }

    /// What a follower is sent at each heartbeat.
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
            // It has missed a write, or is another's replacement.
            Some(state) if self.lags_behind(follower, state.revision) => {
                PeerMessage::Accept { ballot, state: state.clone(), at: now, committed: true }
            }
            _ => heartbeat,
        }
    }

    fn lags_behind(&self, follower: CoordinatorId, revision: u64) -> bool {
        self.accepted_revision.get(&follower).is_none_or(|accepted| *accepted < revision)
    }

    pub(super) fn acknowledge(&mut self, follower: CoordinatorId, at: Nanos) {
        let acknowledged = self.acknowledged_at.entry(follower).or_default();
        *acknowledged = (*acknowledged).max(at);
    }

    /// Counts a follower's acceptance of a write. Returns whether it is of the write in progress.
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

    /// Whether this replica has the vote of its id. While a replacement is being written, it has none yet.
    pub(super) fn has_vote(&self, replica: Replica) -> bool {
        let written = self.in_flight.as_ref().map(|write| &write.state);
        let state = self.committed.as_ref().or(written);
        state.is_some_and(|state| state.seat(replica.id) == replica.seat)
    }

    /// Whether the leases of an earlier leader may still be held.
    pub(super) fn in_grace_period(&self, now: Nanos) -> bool {
        now < self.earlier_leases_until
    }

    /// The run under which a member is registered, by the committed state.
    pub(super) fn registered(&self, member: &str) -> Option<Incarnation> {
        self.committed.as_ref()?.members.get(member).copied()
    }

    /// What is to be written next, if anything is and no write is in progress.
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
