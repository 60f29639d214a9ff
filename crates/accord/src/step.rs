//! The inputs and outputs of a coordinator, and the rule that the record is persisted before anything is sent.

use crate::message::{ClientSession, Envelope, Reply, Request};
use crate::state::{CoordinatorId, End, Record};

/// An event that a coordinator reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another coordinator.
    Message {
        /// The coordinator that sent the message.
        from: CoordinatorId,
        /// The message.
        envelope: Envelope,
    },
    /// A request from a client that is connected to this coordinator.
    Request {
        /// The client.
        client: ClientSession,
        /// The client's request.
        request: Request,
    },
    /// The time of [`Coordinator::next_due`](crate::Coordinator::next_due) is reached.
    Tick,
}

/// An action that the caller carries out after the record is persisted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another coordinator.
    Send {
        /// The receiver.
        to: CoordinatorId,
        /// The message.
        envelope: Envelope,
    },
    /// Send a reply to a client that is connected to this coordinator.
    Reply {
        /// The client.
        client: ClientSession,
        /// The reply.
        reply: Reply,
    },
    /// Append an entry to the audit log.
    Audit(AuditEntry),
    /// Stop: the stored record is older than a version that other coordinators have observed. Promises are lost, so this
    /// coordinator must not vote.
    Halt,
}

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditEntry {
    /// This coordinator became the leader.
    Established {
        /// The round of its ballot.
        round: u32,
    },
    /// A member's lease was granted or renewed.
    Granted {
        /// The name of the member.
        member: String,
        /// The round of the leader's ballot.
        round: u32,
        /// The policy version of the lease.
        version: u64,
    },
    /// A change was proposed to the members.
    Pending {
        /// The operator's name for the change.
        request: String,
        /// The version that the change gets if it is decided.
        version: u64,
    },
    /// A change was decided.
    Decided {
        /// The operator's name for the change; empty for the first policy of a fleet.
        request: String,
        /// The version that is active from now on.
        version: u64,
        /// The digest of the policy's text.
        digest: u32,
    },
    /// A change was dropped.
    Dropped {
        /// The operator's name for the change.
        request: String,
        /// The version that the change would have got.
        version: u64,
        /// The outcome of the change.
        end: End,
    },
    /// A member was refused.
    Refused {
        /// The name that the member gave.
        member: String,
        /// The reason.
        reason: &'static str,
    },
}

/// The persistent storage of a coordinator's record.
pub trait Storage {
    /// The error of a failed write.
    type Error;

    /// Stores the record, and returns when it is durable.
    ///
    /// # Errors
    ///
    /// The record may or may not be durable. The coordinator must stop.
    fn persist(&mut self, record: &Record) -> Result<(), Self::Error>;
}

/// The effect of one input. Its actions are available only through [`Step::finish`], which persists the record first.
#[must_use]
#[derive(Clone, Debug, Default)]
pub struct Step {
    record: Option<Record>,
    outputs: Vec<Output>,
}

impl Step {
    /// Creates a step that persists `record`, if it has changed, and then returns `outputs`.
    pub(crate) fn new(record: Option<Record>, outputs: Vec<Output>) -> Self {
        Self { record, outputs }
    }

    /// Persists the record if it has changed, and then returns the actions, in order.
    ///
    /// # Errors
    ///
    /// The error of the storage. Nothing may be sent, and the coordinator must stop.
    pub fn finish<S: Storage>(self, storage: &mut S) -> Result<Vec<Output>, S::Error> {
        if let Some(record) = &self.record {
            storage.persist(record)?;
        }
        Ok(self.outputs)
    }
}
