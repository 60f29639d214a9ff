//! The replicated register, all parts of which are bounded, and the record that a coordinator persists.
//!
//! The serialized names of variants and fields are the format on the wire and on disk. A `rename` attribute keeps that
//! name where the Rust name differs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A clock reading or a duration, in nanoseconds.
pub type Nanos = u64;
/// The id of a coordinator, counted from 0.
pub type CoordinatorId = u8;

/// The maximum size of a policy's text, in bytes. Two texts and all members fit into one frame.
pub const MAX_POLICY_BYTES: usize = 128 * 1024;
/// The maximum number of members.
pub const MAX_MEMBERS: usize = 2048;
/// The maximum length of the name of a member or a change, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The maximum number of changes whose outcome is stored.
pub const MAX_ENDED_CHANGES: usize = 64;

/// A leader's term. A later leader has a higher ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round, by which ballots are ordered first.
    pub round: u32,
    /// The candidate, which makes the ballot unique.
    #[serde(rename = "by")]
    pub candidate: CoordinatorId,
}

/// The settings that apply to all members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// The version, counted from 1 and never reused; 0 stands for none.
    pub version: u64,
    /// The settings, as they are written in their file.
    pub text: String,
}

impl Policy {
    /// Returns a checksum of the text, for people to compare. The version alone identifies the policy.
    #[must_use]
    pub fn digest(&self) -> u32 {
        crc32fast::hash(self.text.as_bytes())
    }
}

/// One run of a member's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identifies the member's store, which only one process can hold at a time.
    #[serde(rename = "home")]
    pub store_id: u64,
    /// Counts the runs from this store.
    #[serde(rename = "life")]
    pub run_number: u64,
}

impl Incarnation {
    /// Returns whether the other run has ended, because this one holds its store.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.store_id == other.store_id && self.run_number > other.run_number
    }
}

/// A change of the policy that was proposed to the members and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// The operator's name for the change.
    pub request: String,
    /// The policy that becomes active when the change is decided.
    pub policy: Policy,
    /// Whether members whose leases have expired must stage the change, too.
    #[serde(rename = "all")]
    pub require_all: bool,
    /// The time after which the change is dropped if it is not decided. It starts again with each new leader.
    #[serde(rename = "give_up")]
    pub give_up_after: Option<Nanos>,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The change became the active policy.
    Decided,
    /// A member can't apply the change.
    Declined {
        /// The name of the member.
        member: String,
        /// The policy key that the member can't apply.
        key: String,
    },
    /// The change was not decided in time.
    GivenUp,
    /// An operator aborted the change.
    Aborted,
}

/// A change that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedChange {
    /// The operator's name for the change.
    pub request: String,
    /// The version that the change got, or would have got.
    pub version: u64,
    /// The outcome of the change.
    pub end: End,
}

/// The replicated register. Every write replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// The revision, which counts the writes.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The active policy.
    pub policy: Policy,
    /// The highest version that was ever assigned to a change.
    #[serde(rename = "last")]
    pub last_version: u64,
    /// The pending change.
    pub pending: Option<PendingChange>,
    /// The registered incarnation of each member.
    pub members: BTreeMap<String, Incarnation>,
    /// The outcomes of the latest changes, oldest first, at most [`MAX_ENDED_CHANGES`].
    pub ended: Vec<EndedChange>,
    /// The current seat of each coordinator id; an id without an entry has seat 0.
    #[serde(default)]
    pub seats: BTreeMap<CoordinatorId, u32>,
}

impl State {
    /// Returns the seat of the coordinator that votes under this id. The seat counts the replacements of the id: 0 is the
    /// first coordinator, and each replacement, which starts with an empty store, gets the next number.
    #[must_use]
    pub fn seat(&self, id: CoordinatorId) -> u32 {
        self.seats.get(&id).copied().unwrap_or(0)
    }

    /// Returns the initial state of a new fleet.
    #[must_use]
    pub fn initial(text: String) -> Self {
        Self { policy: Policy { version: 1, text }, last_version: 1, ..Self::default() }
    }

    /// Ends the pending change, and activates its policy if the change was decided.
    pub(crate) fn end_pending(&mut self, end: End) {
        let Some(pending) = self.pending.take() else { return };
        let PendingChange { request, policy, .. } = pending;
        self.ended.push(EndedChange { request, version: policy.version, end: end.clone() });
        if self.ended.len() > MAX_ENDED_CHANGES {
            self.ended.remove(0);
        }
        if end == End::Decided {
            self.policy = policy;
        }
    }
}

/// The persistent data of a coordinator. It must never be lost or rolled back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Counts the writes of this record. Other coordinators store the count that they observed last, so that a record
    /// that was rolled back is detected.
    #[serde(rename = "mark")]
    pub write_count: u64,
    /// The seat of this coordinator: the number of coordinators that had its id before.
    #[serde(default)]
    pub seat: u32,
    /// Whether this coordinator is a replacement that has not received the committed state, and so has no vote yet.
    #[serde(default)]
    pub learning: bool,
    /// The highest ballot that was promised.
    pub promised: Ballot,
    /// The ballot under which `state` was accepted.
    pub accepted: Ballot,
    /// The state that was accepted last.
    pub state: State,
}
