//! What is known of one-shot submissions after a restart. A submission is identified by a key that its client keeps when
//! it retries. Before the first byte of an execution is sent, the record that the submission may have run is durable;
//! every later record only makes its outcome more certain. A submission without a record is new.

mod outcome_table;
pub mod start;

use std::sync::Arc;

use bytes::Bytes;

pub use outcome_table::OutcomeTable;

/// A time in nanoseconds on the clock of a store, which counts the total time for which nodes have run on this store.
/// Downtime therefore does not make records expire, and steps of the wall clock have no effect.
pub type StoreTime = u64;

/// The outcome of a submission, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredOutcome {
    /// An execution was sent, or is about to be, and its result is unknown.
    MayHaveRun,
    /// No execution was started, so that a retry is harmless.
    NeverSent,
    /// An execution completed with this result.
    Completed(Bytes),
}

// The first byte of an encoded outcome.
const CODE_MAY_HAVE_RUN: u8 = 1;
const CODE_NEVER_SENT: u8 = 2;
const CODE_COMPLETED: u8 = 3;

impl StoredOutcome {
    /// Encodes the outcome for the store.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        match self {
            Self::MayHaveRun => vec![CODE_MAY_HAVE_RUN],
            Self::NeverSent => vec![CODE_NEVER_SENT],
            Self::Completed(result) => [&[CODE_COMPLETED], &result[..]].concat(),
        }
    }

    /// Decodes a stored outcome. Returns none for an encoding that this version does not know; the caller must not assume
    /// any particular outcome then.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first()? {
            (&CODE_MAY_HAVE_RUN, []) => Some(Self::MayHaveRun),
            (&CODE_NEVER_SENT, []) => Some(Self::NeverSent),
            (&CODE_COMPLETED, result) => Some(Self::Completed(Bytes::copy_from_slice(result))),
            _ => None,
        }
    }

    /// Returns the name of the outcome, as it is shown to operators and clients.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::MayHaveRun => "may have run",
            Self::NeverSent => "unsent",
            Self::Completed(_) => "satisfied",
        }
    }
}

/// A record for the store: the outcome of one submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeRecord {
    /// The key by which the submission is recognized when it is retried, in an allocation of its own.
    pub key: Arc<[u8]>,
    pub outcome: StoredOutcome,
    /// When the outcome was recorded.
    pub at: StoreTime,
}
