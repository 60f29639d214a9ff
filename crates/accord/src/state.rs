//! What the coordinators agree on: one small register, bounded in all its parts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub type Nanos = u64;
/// A coordinator's number.
pub type Id = u8;

/// Bytes of a policy's text at most. Two of them and all members fit into one frame.
pub const LARGEST_TEXT: usize = 128 * 1024;
/// Members at most, and characters of a name or a request.
pub const MOST_MEMBERS: usize = 2048;
pub const LONGEST_NAME: usize = 64;
/// Changes of which the end is remembered.
pub const REMEMBERED: usize = 64;

/// Orders those who speak for the fleet: a later one has a higher round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u32,
    pub by: Id,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// From 1, ever higher; 0 is none.
    pub version: u64,
    pub text: String,
}

impl Policy {
    /// For comparing at a glance; the version alone says which it is.
    #[must_use]
    pub fn digest(&self) -> u32 {
        crc32fast::hash(self.text.as_bytes())
    }
}

/// One run of a member. A home is where its store lies, which one process holds at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    pub home: u64,
    /// Counts the runs from this home.
    pub life: u64,
}

impl Incarnation {
    /// Whether the other can no longer run: its home is held by this one.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.home == other.home && self.life > other.life
    }
}

/// A change that was put before the members and is not decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pending {
    /// The operator's name for it, by which its end can be asked for.
    pub request: String,
    pub policy: Policy,
    /// Every member that is known has to take it, also those that are away.
    pub all: bool,
    /// It is dropped when it is not decided by then, counted by whoever speaks for the fleet.
    pub give_up: Option<Nanos>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    Decided,
    /// A member can't take it, by this key.
    Declined {
        member: String,
        key: String,
    },
    GivenUp,
    Aborted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    pub request: String,
    pub version: u64,
    pub end: End,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// Counts the writes.
    pub rev: u64,
    pub policy: Policy,
    /// The highest version that a change was ever given: none is given twice.
    pub last: u64,
    pub pending: Option<Pending>,
    pub members: BTreeMap<String, Incarnation>,
    /// The latest last.
    pub ended: Vec<Ended>,
    /// How often the coordinator with each number was replaced by another with an empty store; none counts as never.
    #[serde(default)]
    pub seats: BTreeMap<Id, u32>,
}

impl State {
    /// Which coordinator of this number has a vote.
    #[must_use]
    pub fn seat(&self, id: Id) -> u32 {
        self.seats.get(&id).copied().unwrap_or(0)
    }

    /// What a fleet begins with.
    #[must_use]
    pub fn first(text: String) -> Self {
        Self { policy: Policy { version: 1, text }, last: 1, ..Self::default() }
    }

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

/// What a coordinator must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Counts what was kept: others remember it, so that an older copy is known for one.
    pub mark: u64,
    /// How many had this number before.
    #[serde(default)]
    pub seat: u32,
    /// It took the place of one that had lost its store, and has not yet been told what is agreed: it has no vote.
    #[serde(default)]
    pub learning: bool,
    pub promised: Ballot,
    pub accepted: Ballot,
    pub state: State,
}
