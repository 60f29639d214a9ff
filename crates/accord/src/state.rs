//! The replicated register, which is bounded in all its parts, and the record that a coordinator persists.
//!
//! The names of variants and fields are the format on the wire and on disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A clock reading or a span of time, in nanoseconds.
pub type Nanos = u64;
/// The number of a coordinator, from 0.
pub type Id = u8;

/// The largest text of a policy, in bytes. Two of them and all members fit into one frame.
pub const LARGEST_TEXT: usize = 128 * 1024;
/// The largest number of members.
pub const MOST_MEMBERS: usize = 2048;
/// The longest name of a member or a request, in bytes.
pub const LONGEST_NAME: usize = 64;
/// The number of changes whose end is remembered.
pub const REMEMBERED: usize = 64;

/// A leader's term. A later leader has a higher ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Ordered first.
    pub round: u32,
    /// The coordinator that stands for election, which makes the ballot unique.
    pub by: Id,
}

/// The settings that all members go by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// From 1, and never given twice; 0 stands for none.
    pub version: u64,
    /// The settings as their file has them.
    pub text: String,
}

impl Policy {
    /// A checksum of the text, for people to compare. The version alone identifies the policy.
    #[must_use]
    pub fn digest(&self) -> u32 {
        crc32fast::hash(self.text.as_bytes())
    }
}

/// One run of a member's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identifies the folder of its store, which one process holds at a time.
    pub home: u64,
    /// Counts the runs from this folder.
    pub life: u64,
}

impl Incarnation {
    /// Whether the other run is over, because this one holds its folder.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.home == other.home && self.life > other.life
    }
}

/// A change of the policy that was put before the members and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pending {
    /// The operator's name for the change.
    pub request: String,
    /// The policy that is active once the change is decided.
    pub policy: Policy,
    /// Members whose leases are over have to stage it, too.
    pub all: bool,
    /// After which time it is dropped if it is not decided. Each leader counts it anew.
    pub give_up: Option<Nanos>,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It is the active policy, or was.
    Decided,
    /// A member can't go by it.
    Declined {
        /// The member.
        member: String,
        /// The key at which it fails.
        key: String,
    },
    /// It was not decided in time.
    GivenUp,
    /// An operator aborted it.
    Aborted,
}

/// A change that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// The operator's name for the change.
    pub request: String,
    /// The version that it had or would have had.
    pub version: u64,
    /// How it ended.
    pub end: End,
}

/// The replicated register. Every write replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// The revision, which counts the writes.
    pub rev: u64,
    /// The active policy.
    pub policy: Policy,
    /// The highest version that a change was ever given.
    pub last: u64,
    /// The change that is pending.
    pub pending: Option<Pending>,
    /// The registered run of each member.
    pub members: BTreeMap<String, Incarnation>,
    /// How the latest changes ended, oldest first, [`REMEMBERED`] at most.
    pub ended: Vec<Ended>,
    /// How often the coordinator of each id was replaced by another with an empty store; 0 where it is missing.
    #[serde(default)]
    pub seats: BTreeMap<Id, u32>,
}

impl State {
    /// The seat of the coordinator that has the vote of this id: 0 for the first, and one more for each replacement.
    #[must_use]
    pub fn seat(&self, id: Id) -> u32 {
        self.seats.get(&id).copied().unwrap_or(0)
    }

    /// The state that a new fleet begins with.
    #[must_use]
    pub fn first(text: String) -> Self {
        Self { policy: Policy { version: 1, text }, last: 1, ..Self::default() }
    }

    /// Ends the pending change, and makes its policy the active one if it was decided.
    pub(crate) fn end(&mut self, end: End) {
        let Some(pending) = self.pending.take() else { return };
        let Pending { request, policy, .. } = pending;
        self.ended.push(Ended { request, version: policy.version, end: end.clone() });
        if self.ended.len() > REMEMBERED {
            self.ended.remove(0);
        }
        if end == End::Decided {
            self.policy = policy;
        }
    }
}

/// What a coordinator persists. It must never be lost or rolled back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Counts the writes of this record. Other coordinators remember it, so that an older copy is detected.
    pub mark: u64,
    /// How many coordinators had this id before.
    #[serde(default)]
    pub seat: u32,
    /// This coordinator replaces another, and has no vote until it is sent the committed state.
    #[serde(default)]
    pub learning: bool,
    /// The highest ballot that was promised.
    pub promised: Ballot,
    /// The ballot under which `state` was accepted.
    pub accepted: Ballot,
    /// The state that was accepted last.
    pub state: State,
}
