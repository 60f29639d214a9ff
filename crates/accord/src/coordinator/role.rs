//! The roles of a coordinator, and the small types that several parts of the protocol share.

use std::collections::BTreeMap;

use crate::message::ClientSession;
use crate::state::{Ballot, CoordinatorId, Nanos, State};

use super::leadership::Leadership;

/// The current role of a coordinator.
#[derive(Clone, Debug, Hash)]
pub(super) enum Role {
    /// Votes, and follows the leader whose messages it receives.
    Follower,
    /// Requests promises from the others.
    Candidate(Candidacy),
    /// Was elected by a quorum.
    Leader(Box<Leadership>),
}

/// The state of a candidate.
#[derive(Clone, Debug, Hash)]
pub(super) struct Candidacy {
    pub(super) ballot: Ballot,
    pub(super) promises: BTreeMap<CoordinatorId, Promise>,
    /// When missing promises are requested again.
    pub(super) retry_at: Nanos,
}

/// A coordinator's promise, with the state that it had accepted by then.
#[derive(Clone, Debug, Hash)]
pub(super) struct Promise {
    pub(super) accepted: Ballot,
    pub(super) state: State,
    /// The seat of the coordinator when it made the promise.
    pub(super) seat: u32,
}

/// The time until which this coordinator votes for no other leader than `holder`.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct LeaderLease {
    /// The leader or the candidate that this coordinator supports, if there is one.
    pub(super) holder: Option<CoordinatorId>,
    pub(super) until: Nanos,
}

/// One coordinator process among those that have had the same id: the original or a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Replica {
    pub(super) id: CoordinatorId,
    pub(super) seat: u32,
}

/// The destination of a reply.
#[derive(Clone, Debug, Hash)]
pub(super) struct ReplyTo {
    /// The coordinator that the client is connected to, if it is not this one.
    pub(super) via: Option<CoordinatorId>,
    pub(super) client: ClientSession,
}

impl Candidacy {
    /// Returns the newest state in any of the promises.
    pub(super) fn newest_state(&self) -> State {
        let newest = self.promises.values().max_by_key(|promise| (promise.accepted, promise.state.revision));
        newest.map(|promise| promise.state.clone()).unwrap_or_default()
    }

    /// Returns the number of valid promises. A coordinator that has been replaced has no vote, because its promises were
    /// lost with its store.
    pub(super) fn votes(&self, state: &State) -> usize {
        self.promises.iter().filter(|(id, promise)| state.seat(**id) == promise.seat).count()
    }
}
