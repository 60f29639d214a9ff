//! The roles of a coordinator, and the small types that several parts of the protocol share.

use std::collections::BTreeMap;

use crate::message::ClientSession;
use crate::state::{Ballot, CoordinatorId, Nanos, State};

use super::leadership::Leadership;

/// What a coordinator is at present.
#[derive(Clone, Debug, Hash)]
pub(super) enum Role {
    /// It votes, and follows whichever leader it hears.
    Follower,
    /// It asks the others for their promises.
    Candidate(Candidacy),
    /// It was elected.
    Leader(Box<Leadership>),
}

/// The state of a candidate.
#[derive(Clone, Debug, Hash)]
pub(super) struct Candidacy {
    pub(super) ballot: Ballot,
    pub(super) promises: BTreeMap<CoordinatorId, Promise>,
    /// When the promises that are missing are asked for again.
    pub(super) retry_at: Nanos,
}

/// A coordinator's promise, with what it had accepted by then.
#[derive(Clone, Debug, Hash)]
pub(super) struct Promise {
    pub(super) accepted: Ballot,
    pub(super) state: State,
    /// The seat that the coordinator had.
    pub(super) seat: u32,
}

/// Until when this coordinator's vote belongs to the leader that it heard last.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct LeaderLease {
    /// The leader, where it is known.
    pub(super) holder: Option<CoordinatorId>,
    pub(super) until: Nanos,
}

/// One of the coordinators that have had an id one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Replica {
    pub(super) id: CoordinatorId,
    pub(super) seat: u32,
}

/// Where a reply goes.
#[derive(Clone, Debug, Hash)]
pub(super) struct ReplyTo {
    /// The coordinator that the client is connected to, where that is another.
    pub(super) via: Option<CoordinatorId>,
    pub(super) client: ClientSession,
}

impl Candidacy {
    /// The newest state that any of the promises carries.
    pub(super) fn newest_state(&self) -> State {
        let newest = self.promises.values().max_by_key(|promise| (promise.accepted, promise.state.revision));
        newest.map(|promise| promise.state.clone()).unwrap_or_default()
    }

    /// How many promises count. A coordinator that was replaced by then has no vote: its promises were lost with its
    /// store.
    pub(super) fn votes(&self, state: &State) -> usize {
        self.promises.iter().filter(|(id, promise)| state.seat(**id) == promise.seat).count()
    }
}
