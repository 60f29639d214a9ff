//! The configuration of one coordinator, and the faults that tests can inject into it.

use crate::state::{Id, Nanos};

/// Validates a policy change: takes the active policy text and the proposed one, and returns one line for each fault.
pub type Check = fn(&str, &str) -> Result<(), Vec<String>>;

/// The configuration of one coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The id of this coordinator.
    pub me: Id,
    /// How many coordinators there are, this one included.
    pub count: u8,
    /// How long a follower refuses to elect another leader after a heartbeat.
    pub hold: Nanos,
    /// How long a member's lease lasts.
    pub lease: Nanos,
    /// By how much the rates of two clocks may differ, in thousandths.
    pub drift: u64,
    /// Validates a proposed policy.
    pub check: Check,
    /// A deliberate fault, for the tests that must detect it.
    pub broken: Option<Broken>,
}

/// Deliberate faults. Each is detected by the state-space search over these state machines, or by the rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    /// A promise is sent before it is persisted.
    Forgets,
    /// A change is decided once a majority of the members has staged it, whoever else holds a lease.
    Majority,
    /// A leader grants leases although its followers may have elected another by now.
    OldSpeaker,
    /// A new leader treats members that it has not heard of as if their leases were over.
    NotBlind,
}

impl Terms {
    /// The number of coordinators that make a quorum.
    pub(crate) fn majority(&self) -> usize {
        usize::from(self.count) / 2 + 1
    }

    /// The ids of the other coordinators.
    pub(crate) fn peers(&self) -> impl Iterator<Item = Id> + use<> {
        let me = self.me;
        (0..self.count).filter(move |id| *id != me)
    }

    /// The time between two heartbeats of a leader.
    pub(crate) fn heartbeat_interval(&self) -> Nanos {
        (self.hold / 4).max(1)
    }

    /// Whether this fault is injected.
    pub(crate) fn injects(&self, fault: Broken) -> bool {
        self.broken == Some(fault)
    }
}
