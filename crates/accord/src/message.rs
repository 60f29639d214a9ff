//! Messages between coordinators, and between a coordinator and its clients: members and operators.
//!
//! The serialized names of variants and fields are the wire format. A `rename` attribute keeps the wire name where the
//! Rust name differs.

use serde::{Deserialize, Serialize};

use crate::state::{Ballot, CoordinatorId, EndedChange, Incarnation, Nanos, Policy, State};

/// A message between coordinators, with the write counts by which a rolled-back record is detected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The number of times that the sender has persisted its record.
    #[serde(rename = "mark")]
    pub write_count: u64,
    /// The highest write count that the sender has received from the receiver.
    #[serde(rename = "seen")]
    pub observed_write_count: u64,
    /// The seat that the receiver had when it reported `observed_write_count`.
    #[serde(rename = "of")]
    pub observed_seat: u32,
    /// The seat of the sender; see [`State::seat`].
    pub seat: u32,
    /// The message itself.
    #[serde(rename = "peer")]
    pub message: PeerMessage,
}

/// The messages between coordinators.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Phase 1 of Paxos: a candidate requests a promise.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
    },
    /// The sender votes for the candidate and rejects all lower ballots from now on.
    Promise {
        /// The candidate's ballot.
        ballot: Ballot,
        /// The ballot under which the sender has accepted `state`.
        accepted: Ballot,
        /// The state that the sender accepted last.
        state: State,
    },
    /// Phase 2: the leader requests the acceptance of a state.
    Accept {
        /// The leader's ballot.
        ballot: Ballot,
        /// The state to be accepted.
        state: State,
        /// The leader's clock, which the reply echoes.
        at: Nanos,
        /// Whether the state is already committed.
        #[serde(rename = "agreed")]
        committed: bool,
    },
    /// The sender has accepted a state.
    Accepted {
        /// The leader's ballot.
        ballot: Ballot,
        /// The revision of the state.
        #[serde(rename = "rev")]
        revision: u64,
        /// The leader's clock when it sent the state.
        at: Nanos,
    },
    /// A heartbeat of the leader.
    #[serde(rename = "beat")]
    Heartbeat {
        /// The leader's ballot.
        ballot: Ballot,
        /// The leader's clock, which the acknowledgement echoes.
        at: Nanos,
    },
    /// The acknowledgement of a heartbeat: the sender votes for no other candidate during the next `hold`.
    #[serde(rename = "beaten")]
    HeartbeatAck {
        /// The leader's ballot.
        ballot: Ballot,
        /// The leader's clock when it sent the heartbeat.
        at: Nanos,
    },
    /// The reply to a message with an outdated ballot.
    #[serde(rename = "behind")]
    OutdatedBallot {
        /// The higher ballot that the sender has promised.
        promised: Ballot,
    },
    /// A client's request, forwarded to the leader.
    #[serde(rename = "relay")]
    ForwardRequest {
        /// The client, which is connected to the sender.
        #[serde(rename = "guest")]
        client: ClientSession,
        /// The client's request.
        request: Request,
    },
    /// The reply to a forwarded request.
    #[serde(rename = "back")]
    ForwardReply {
        /// The client, which is connected to the receiver.
        #[serde(rename = "guest")]
        client: ClientSession,
        /// The reply to the client.
        reply: Reply,
    },
}

/// A client with a session at a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientSession {
    /// A member, by its name.
    Member(String),
    /// An operator's connection, by the number that its coordinator has assigned to it.
    Operator(u64),
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// A member requests a lease.
    Renew(Renew),
    /// An operator's request.
    #[serde(rename = "ask")]
    Operator(OperatorRequest),
}

/// A member's request for a lease or its renewal, with a report of the member's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renew {
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The member's clock when it sent the request. Its lease counts from this time.
    #[serde(rename = "at")]
    pub requested_at: Nanos,
    /// The policy version that is active at the member.
    pub active: u64,
    /// The version of the change that the member has staged, 0 for none.
    pub staged: u64,
    /// The version of a change that the member can't apply, and the policy key that prevents it, in this order.
    pub declined: Option<(u64, String)>,
    /// The stage of the member's start, as shown to operators; empty if there is none to report.
    #[serde(default)]
    pub stage: String,
}

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRequest {
    /// Proposes a change of the policy.
    Propose {
        /// The operator's name for the change.
        request: String,
        /// The version that the change is based on, which must be the active one.
        #[serde(rename = "base")]
        base_version: u64,
        /// The text of the new policy.
        text: String,
        /// Whether members whose leases have expired must stage the change, too.
        #[serde(rename = "all")]
        require_all: bool,
        /// The time after which the change is dropped if it is not decided.
        #[serde(rename = "give_up")]
        give_up_after: Option<Nanos>,
    },
    /// Asks for the outcome of a change.
    Outcome {
        /// The operator's name for the change.
        request: String,
    },
    /// Drops a change that is pending.
    Abort {
        /// The operator's name for the change.
        request: String,
    },
    /// Removes a member whose lease has expired.
    Forget {
        /// The name of the member.
        member: String,
    },
    /// Assigns the id of a coordinator that is down for good, or has lost its store, to a replacement.
    Replace {
        /// The id of the coordinator.
        #[serde(rename = "seat")]
        coordinator: CoordinatorId,
    },
    /// Asks for the state of the fleet.
    Status,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// A lease.
    Grant(Grant),
    /// The policy, the pending change or the membership has changed: the member must renew its lease now.
    #[serde(rename = "nudge")]
    RenewNow,
    /// This coordinator knows of no leader; the client tries another coordinator, or retries later.
    #[serde(rename = "nobody")]
    NoLeader,
    /// The member was refused, for this reason.
    Refused(String),
    /// The change is pending: it was proposed to the members and is not decided.
    #[serde(rename = "taken")]
    Pending {
        /// The version that the change gets if it is decided.
        version: u64,
    },
    /// The request was rejected, with one line for each reason.
    #[serde(rename = "turned-down")]
    Rejected(Vec<String>),
    /// The change has ended.
    Ended(EndedChange),
    /// No change or member of this name is known.
    #[serde(rename = "unheard")]
    Unknown,
    /// The member was removed.
    #[serde(rename = "done")]
    Removed,
    /// The coordinator was replaced.
    #[serde(rename = "seat")]
    Replaced {
        /// The seat that the replacement must be started with.
        #[serde(rename = "number")]
        seat: u32,
    },
    /// The state of the fleet.
    Status(Box<Status>),
}

/// A lease: the member may serve under this policy version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The incarnation that the lease is for, since two processes may use one name.
    pub incarnation: Incarnation,
    /// The member's clock when it sent the request. The lease counts from this time.
    #[serde(rename = "at")]
    pub requested_at: Nanos,
    /// The duration of the lease.
    #[serde(rename = "span")]
    pub duration: Nanos,
    /// The active version.
    pub version: u64,
    /// The active policy, if another one is active at the member.
    pub policy: Option<Policy>,
    /// A pending change, which the member must stage but not activate yet.
    pub change: Option<Policy>,
}

/// The state of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The leader.
    #[serde(rename = "speaker")]
    pub leader: CoordinatorId,
    /// The round of the leader's ballot.
    pub round: u32,
    /// The revision of the committed state.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The active version.
    pub version: u64,
    /// The digest of the active policy's text.
    pub digest: u32,
    /// The name and the version of the pending change, in this order.
    pub pending: Option<(String, u64)>,
    /// All registered members.
    pub members: Vec<MemberStatus>,
    /// The outcomes of the latest changes, oldest first.
    pub ended: Vec<EndedChange>,
}

/// The state of one member, as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the member.
    pub name: String,
    /// The registered incarnation.
    pub incarnation: Incarnation,
    /// Whether the member holds a lease of this leader.
    pub live: bool,
    /// The version that is active at the member; none if it has not reported to this leader.
    pub active: Option<u64>,
    /// The version of the change that the member has staged, 0 for none.
    pub staged: u64,
    /// The version of a change that the member can't apply, and the policy key that prevents it, in this order.
    pub declined: Option<(u64, String)>,
    /// The stage of the member's start, as shown to operators.
    #[serde(default)]
    pub stage: String,
}
