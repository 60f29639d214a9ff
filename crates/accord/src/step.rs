//! The inputs and outputs of a coordinator, and the rule that state is persisted before anything is sent.

use crate::message::{Guest, Letter, Reply, Request};
use crate::state::{End, Id, Record};

/// An event that a coordinator reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of another coordinator.
    Letter {
        /// The coordinator that sent it.
        from: Id,
        /// The message.
        letter: Letter,
    },
    /// A request of a client that is connected to this coordinator.
    Guest {
        /// The client.
        guest: Guest,
        /// Its request.
        request: Request,
    },
    /// Time has passed.
    Tick,
}

/// An action that the caller carries out once the record is persisted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send a message to another coordinator.
    Letter {
        /// The receiver.
        to: Id,
        /// The message.
        letter: Letter,
    },
    /// Send a reply to a client that is connected to this coordinator.
    Guest {
        /// The client.
        guest: Guest,
        /// The reply.
        reply: Reply,
    },
    /// Append an entry to the audit log.
    Note(Note),
    /// Stop: the stored record is older than what other coordinators have seen of it. Promises are lost, so this
    /// coordinator must not vote.
    Halt,
}

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// This coordinator leads.
    Established {
        /// The round of its ballot.
        round: u32,
    },
    /// A member's lease was granted or renewed.
    Granted {
        /// The member.
        member: String,
        /// The round of the leader's ballot.
        round: u32,
        /// The policy version of the lease.
        version: u64,
    },
    /// A change was put before the members.
    Pending {
        /// The operator's name for the change.
        request: String,
        /// The version that it becomes if it is decided.
        version: u64,
    },
    /// A change was decided.
    Decided {
        /// The operator's name for the change; empty for the first policy of a fleet.
        request: String,
        /// The version that is active from now on.
        version: u64,
        /// The digest of its text.
        digest: u32,
    },
    /// A change was dropped.
    Dropped {
        /// The operator's name for the change.
        request: String,
        /// The version that it would have become.
        version: u64,
        /// Why it was dropped.
        end: End,
    },
    /// A member was refused.
    Refused {
        /// The name that it gave.
        member: String,
        /// The reason.
        why: &'static str,
    },
}

/// Persistent storage of a coordinator's record.
pub trait Keep {
    /// What storing can fail with.
    type Fault;

    /// Stores the record, and returns when it is durable.
    ///
    /// # Errors
    ///
    /// The record may or may not be durable. The coordinator must not go on.
    fn keep(&mut self, record: &Record) -> Result<(), Self::Fault>;
}

/// The effect of one input. Its actions are available only through [`Step::finish`], which persists the record first.
#[must_use]
#[derive(Clone, Debug, Default)]
pub struct Step {
    record: Option<Record>,
    outputs: Vec<Out>,
}

impl Step {
    /// A step that persists `record`, if it has changed, and then yields `outputs`.
    pub(crate) fn new(record: Option<Record>, outputs: Vec<Out>) -> Self {
        Self { record, outputs }
    }

    /// Persists the record if it has changed, and then returns the actions, in order.
    ///
    /// # Errors
    ///
    /// The storage's. Nothing may be sent, and the coordinator must stop.
    pub fn finish<K: Keep>(self, keep: &mut K) -> Result<Vec<Out>, K::Fault> {
        if let Some(record) = &self.record {
            keep.keep(record)?;
        }
        Ok(self.outputs)
    }
}
