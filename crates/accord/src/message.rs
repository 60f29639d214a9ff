//! What coordinators say to each other, to members and to operators.

use serde::{Deserialize, Serialize};

use crate::state::{Ballot, Ended, Id, Incarnation, Nanos, Policy, State};

/// Between coordinators.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    /// How often the sender has kept its record.
    pub mark: u64,
    /// The highest such count that the sender has seen of the receiver.
    pub seen: u64,
    /// Of which one of the receiver's number that is.
    pub of: u32,
    /// Which one of the sender's number it is.
    pub seat: u32,
    pub peer: Peer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Peer {
    /// Paxos, phase 1.
    Prepare {
        ballot: Ballot,
    },
    Promise {
        ballot: Ballot,
        accepted: Ballot,
        state: State,
    },
    /// Phase 2. `at` is the sender's clock, which the answer brings back; `agreed`, that most have accepted it before.
    Accept {
        ballot: Ballot,
        state: State,
        at: Nanos,
        agreed: bool,
    },
    Accepted {
        ballot: Ballot,
        rev: u64,
        at: Nanos,
    },
    /// Keeps others from being heard for a while.
    Beat {
        ballot: Ballot,
        at: Nanos,
    },
    Beaten {
        ballot: Ballot,
        at: Nanos,
    },
    /// A higher ballot was promised.
    Behind {
        promised: Ballot,
    },
    /// A member's or an operator's words, passed on to who speaks for the fleet, and back.
    Relay {
        guest: Guest,
        request: Request,
    },
    Back {
        guest: Guest,
        reply: Reply,
    },
}

/// Somebody with a session at a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guest {
    Member(String),
    /// An operator's connection, numbered by the coordinator that has it.
    Operator(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    Renew(Renew),
    Ask(Ask),
}

/// A member asks to serve for a while, and tells how it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renew {
    pub incarnation: Incarnation,
    /// Its own clock when it asked: its leave counts from here.
    pub at: Nanos,
    pub active: u64,
    /// The change that it has kept, 0 for none.
    pub staged: u64,
    pub declined: Option<(u64, String)>,
    /// How far its start has come, for people; empty where that is nothing to tell.
    #[serde(default)]
    pub stage: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    Propose {
        request: String,
        base: u64,
        text: String,
        all: bool,
        give_up: Option<Nanos>,
    },
    Outcome {
        request: String,
    },
    Abort {
        request: String,
    },
    /// Takes a member that is away off the list.
    Forget {
        member: String,
    },
    /// Gives the number of a coordinator that is down for good, or has lost its store, to another.
    Replace {
        seat: Id,
    },
    Status,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    Grant(Grant),
    /// Something is new: ask now.
    Nudge,
    /// Nobody speaks for the fleet here now; try another coordinator, or later.
    Nobody,
    /// Not as this member.
    Refused(String),
    /// The change was put before the members.
    Taken {
        version: u64,
    },
    /// Nothing was put before the members, and why, one line a fault.
    TurnedDown(Vec<String>),
    Ended(Ended),
    /// No change of this name is known.
    Unheard,
    Done,
    /// Whoever takes the place of the coordinator is to be started as this one of its number.
    Seat {
        number: u32,
    },
    Status(Box<Status>),
}

/// A member may serve under this version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Whom it is for: two processes may claim one name.
    pub incarnation: Incarnation,
    /// The member's clock, as it asked.
    pub at: Nanos,
    pub span: Nanos,
    pub version: u64,
    /// The policy, where the member goes by another.
    pub policy: Option<Policy>,
    /// A change to keep and not to go by yet.
    pub change: Option<Policy>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    pub speaker: Id,
    pub round: u32,
    pub rev: u64,
    pub version: u64,
    pub digest: u32,
    pub pending: Option<(String, u64)>,
    pub members: Vec<Standing>,
    pub ended: Vec<Ended>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Standing {
    pub name: String,
    pub incarnation: Incarnation,
    /// It may serve now, as far as the speaker knows.
    pub live: bool,
    /// None where it has not been heard since the speaker began.
    pub active: Option<u64>,
    pub staged: u64,
    pub declined: Option<(u64, String)>,
    #[serde(default)]
    pub stage: String,
}
