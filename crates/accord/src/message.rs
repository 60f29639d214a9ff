//! Messages between coordinators, and between a coordinator and its clients: members and operators.
//!
//! The names of variants and fields are the wire format.

use serde::{Deserialize, Serialize};

use crate::state::{Ballot, Ended, Id, Incarnation, Nanos, Policy, State};

/// A message between coordinators, with the counts by which a record that was rolled back is detected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    /// How often the sender has persisted its record.
    pub mark: u64,
    /// The highest such count that the sender has seen of the receiver.
    pub seen: u64,
    /// The receiver's seat that `seen` was reported for.
    pub of: u32,
    /// The sender's seat.
    pub seat: u32,
    /// The message itself.
    pub peer: Peer,
}

/// What coordinators tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Peer {
    /// Phase 1 of Paxos: a candidate asks for a promise.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
    },
    /// The sender votes for the candidate, and accepts no lower ballot from now on.
    Promise {
        /// The candidate's ballot.
        ballot: Ballot,
        /// The ballot under which the sender has accepted `state`.
        accepted: Ballot,
        /// The state that the sender has accepted last.
        state: State,
    },
    /// Phase 2: the leader asks for a state to be accepted.
    Accept {
        /// The leader's ballot.
        ballot: Ballot,
        /// The state.
        state: State,
        /// The leader's clock, which the answer repeats.
        at: Nanos,
        /// The state is committed already.
        agreed: bool,
    },
    /// The sender has accepted a state.
    Accepted {
        /// The leader's ballot.
        ballot: Ballot,
        /// The state's revision.
        rev: u64,
        /// The leader's clock when it sent the state.
        at: Nanos,
    },
    /// A heartbeat of the leader.
    Beat {
        /// The leader's ballot.
        ballot: Ballot,
        /// The leader's clock, which the answer repeats.
        at: Nanos,
    },
    /// The acknowledgement of a heartbeat: the sender elects nobody else for a whole `hold`.
    Beaten {
        /// The leader's ballot.
        ballot: Ballot,
        /// The leader's clock when it sent the heartbeat.
        at: Nanos,
    },
    /// The answer to an outdated ballot.
    Behind {
        /// The higher ballot that the sender has promised.
        promised: Ballot,
    },
    /// A client's request, forwarded to the leader.
    Relay {
        /// The client, which is connected to the sender.
        guest: Guest,
        /// Its request.
        request: Request,
    },
    /// The reply to a forwarded request.
    Back {
        /// The client, which is connected to the receiver.
        guest: Guest,
        /// The reply to it.
        reply: Reply,
    },
}

/// A client with a session at a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guest {
    /// A member, by its name.
    Member(String),
    /// An operator's connection, by the number that its coordinator has given it.
    Operator(u64),
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// A member asks for a lease.
    Renew(Renew),
    /// An operator's request.
    Ask(Ask),
}

/// A member asks for a lease or its renewal, and reports its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renew {
    /// The run of the member.
    pub incarnation: Incarnation,
    /// The member's clock when it asked, from which its lease counts.
    pub at: Nanos,
    /// The policy version that it goes by.
    pub active: u64,
    /// The change that it has staged, 0 for none.
    pub staged: u64,
    /// The change that it can't go by, and the key at which it fails.
    pub declined: Option<(u64, String)>,
    /// How far its start has come, for people; empty if there is nothing to tell.
    #[serde(default)]
    pub stage: String,
}

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    /// Propose a change of the policy.
    Propose {
        /// The operator's name for the change.
        request: String,
        /// The version that it builds on, which must be the active one.
        base: u64,
        /// The text of the policy.
        text: String,
        /// Members whose leases are over have to stage it, too.
        all: bool,
        /// After which time it is dropped if it is not decided.
        give_up: Option<Nanos>,
    },
    /// Tell how a change ended.
    Outcome {
        /// The operator's name for the change.
        request: String,
    },
    /// Drop a change that is pending.
    Abort {
        /// The operator's name for the change.
        request: String,
    },
    /// Remove a member whose lease is over.
    Forget {
        /// The member.
        member: String,
    },
    /// Give the id of a coordinator that is down for good, or has lost its store, to another.
    Replace {
        /// The id.
        seat: Id,
    },
    /// Tell the state of the fleet.
    Status,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// A lease.
    Grant(Grant),
    /// Something has changed: the member is to renew its lease now.
    Nudge,
    /// No leader is known here; try another coordinator, or later.
    Nobody,
    /// The member is refused, and why.
    Refused(String),
    /// The change was put before the members.
    Taken {
        /// The version that it becomes if it is decided.
        version: u64,
    },
    /// The request was rejected, and why, one line a fault.
    TurnedDown(Vec<String>),
    /// The change ended.
    Ended(Ended),
    /// No change or member of this name is known.
    Unheard,
    /// The member was removed.
    Done,
    /// The coordinator was replaced.
    Seat {
        /// The seat that the replacement is to be started with.
        number: u32,
    },
    /// The state of the fleet.
    Status(Box<Status>),
}

/// A lease: the member may serve under this version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The run that it is for: two processes may claim one name.
    pub incarnation: Incarnation,
    /// The member's clock when it asked, from which the lease counts.
    pub at: Nanos,
    /// How long the lease lasts.
    pub span: Nanos,
    /// The active version.
    pub version: u64,
    /// The active policy, if the member goes by another.
    pub policy: Option<Policy>,
    /// A pending change, to be staged and not to be gone by yet.
    pub change: Option<Policy>,
}

/// The state of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The leader.
    pub speaker: Id,
    /// The round of its ballot.
    pub round: u32,
    /// The revision of the committed state.
    pub rev: u64,
    /// The active version.
    pub version: u64,
    /// The digest of its text.
    pub digest: u32,
    /// The name and the version of the change that is pending.
    pub pending: Option<(String, u64)>,
    /// All registered members.
    pub members: Vec<Standing>,
    /// How the latest changes ended, oldest first.
    pub ended: Vec<Ended>,
}

/// The state of one member, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Standing {
    /// Its name.
    pub name: String,
    /// The run that is registered.
    pub incarnation: Incarnation,
    /// It holds a lease of this leader.
    pub live: bool,
    /// The version that it goes by; none if this leader has not heard it.
    pub active: Option<u64>,
    /// The change that it has staged, 0 for none.
    pub staged: u64,
    /// The change that it can't go by, and the key at which it fails.
    pub declined: Option<(u64, String)>,
    /// How far its start has come, for people.
    #[serde(default)]
    pub stage: String,
}
