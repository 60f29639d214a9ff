//! The configuration of one coordinator, and the faults that tests can inject into it.

use crate::state::{CoordinatorId, Nanos};

/// Validates a policy change: takes the active policy text and the proposed one, in this order, and returns one line for
/// each error.
pub type PolicyCheck = fn(&str, &str) -> Result<(), Vec<String>>;

/// The configuration of one coordinator.
#[derive(Clone, Copy, Debug)]
pub struct ConsensusConfig {
    /// The id of this coordinator.
    pub id: CoordinatorId,
    /// The number of coordinators, including this one.
    pub coordinators: u8,
    /// For how long after a heartbeat a follower votes for no other candidate.
    pub hold: Nanos,
    /// The duration of a member's lease.
    pub lease: Nanos,
    /// The maximum relative difference between the rates of two clocks, in thousandths.
    pub drift: u64,
    /// Validates a proposed policy.
    pub check: PolicyCheck,
    /// The fault that is injected, for tests that must detect it.
    pub injected_fault: Option<InjectedFault>,
}

/// Faults that can be injected. Each is detected by the state-space search over these state machines, or by the
/// fault-injection rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// A promise is sent before it is persisted.
    UnpersistedPromise,
    /// A change is decided once a majority of the members has staged it, even if other members hold leases.
    MajorityDecides,
    /// A leader grants leases although its followers may have elected another leader since.
    StaleLeader,
    /// A new leader treats members that have not reported to it as if their leases had expired.
    NoGracePeriod,
}

impl ConsensusConfig {
    /// Returns the number of coordinators that form a quorum.
    pub(crate) fn majority(&self) -> usize {
        usize::from(self.coordinators) / 2 + 1
    }

    /// Returns the ids of the other coordinators.
    pub(crate) fn peers(&self) -> impl Iterator<Item = CoordinatorId> + use<> {
        let own_id = self.id;
        (0..self.coordinators).filter(move |id| *id != own_id)
    }

    /// Returns the interval between two heartbeats of a leader.
    pub(crate) fn heartbeat_interval(&self) -> Nanos {
        (self.hold / 4).max(1)
    }

    /// Returns how long a follower without a leader waits at least before it starts an election.
    pub(crate) fn min_election_delay(&self) -> Nanos {
        self.hold / 2
    }

    /// Returns by how much the elections of this coordinator are delayed. The delays differ by id, so that candidates do
    /// not outbid each other forever.
    pub(crate) fn election_stagger(&self) -> Nanos {
        self.hold / 4 * Nanos::from(self.id)
    }

    /// Returns after what time a candidate requests missing promises again. The times differ by id, too.
    pub(crate) fn campaign_retry_delay(&self) -> Nanos {
        self.hold / 2 + self.hold / 8 * Nanos::from(self.id)
    }

    /// Returns whether this fault is injected.
    pub(crate) fn injects(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }
}
