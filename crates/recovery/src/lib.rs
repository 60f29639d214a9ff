//! What is known of one-shot submissions after a restart. A submission is identified by a key that its client keeps when
//! it retries. Before the first byte of an execution is sent, the record that the submission may have run is durable;
//! every later record only makes its outcome more certain. A submission without a record is new.

pub mod start;

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

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
    /// The key by which the submission is recognized when it is retried.
    pub key: Bytes,
    pub outcome: StoredOutcome,
    /// When the outcome was recorded.
    pub at: StoreTime,
}

/// The outcomes that a node remembers, bounded in time, number and memory.
#[derive(Debug)]
pub struct OutcomeTable {
    /// The latest outcome of each key.
    latest: HashMap<Bytes, LatestOutcome>,
    /// Every recorded outcome, the oldest first. An entry that a later one for the same key has superseded is skipped when
    /// it expires.
    expiry_queue: VecDeque<ExpiryEntry>,
    /// How long an outcome is remembered; clients do not retry later than that.
    retention: StoreTime,
    max_entries: usize,
    /// The bytes of all keys and results.
    used_bytes: usize,
    max_bytes: usize,
}

/// The latest outcome of a key.
#[derive(Debug)]
struct LatestOutcome {
    outcome: StoredOutcome,
    recorded_at: StoreTime,
}

/// An outcome that was recorded for this key, for the order of expiry.
#[derive(Debug)]
struct ExpiryEntry {
    recorded_at: StoreTime,
    key: Bytes,
}

/// Returns the number of bytes that an outcome counts against the table's limit.
fn entry_size(key: &Bytes, outcome: &StoredOutcome) -> usize {
    key.len() + if let StoredOutcome::Completed(result) = outcome { result.len() } else { 0 }
}

impl OutcomeTable {
    /// Creates a table that remembers each outcome for `retention`, and is full at `max_entries` or `max_bytes`.
    #[must_use]
    pub fn new(retention: StoreTime, max_entries: usize, max_bytes: usize) -> Self {
        Self {
            latest: HashMap::new(),
            expiry_queue: VecDeque::new(),
            retention,
            max_entries,
            used_bytes: 0,
            max_bytes,
        }
    }

    /// Loads stored records, in any order.
    pub fn restore(&mut self, records: impl IntoIterator<Item = OutcomeRecord>) {
        let mut records: Vec<OutcomeRecord> = records.into_iter().collect();
        records.sort_by_key(|r| r.at);
        records.into_iter().for_each(|r| self.insert(r));
    }

    fn insert(&mut self, record: OutcomeRecord) {
        let OutcomeRecord { key, outcome, at: recorded_at } = record;
        self.used_bytes += entry_size(&key, &outcome);
        self.expiry_queue.push_back(ExpiryEntry { recorded_at, key: key.clone() });
        if let Some(previous) = self.latest.insert(key.clone(), LatestOutcome { outcome, recorded_at }) {
            self.used_bytes = self.used_bytes.saturating_sub(entry_size(&key, &previous.outcome));
        }
    }

    /// Drops the outcomes that are past their retention time.
    pub fn expire(&mut self, now: StoreTime) {
        while let Some(oldest) = self.expiry_queue.front() {
            if oldest.recorded_at.saturating_add(self.retention) >= now {
                return;
            }
            let Some(ExpiryEntry { recorded_at, key }) = self.expiry_queue.pop_front() else { return };
            if self.latest.get(&key).is_some_and(|latest| latest.recorded_at == recorded_at)
                && let Some(expired) = self.latest.remove(&key)
            {
                self.used_bytes = self.used_bytes.saturating_sub(entry_size(&key, &expired.outcome));
            }
        }
    }

    /// Returns whether there is no room for another submission, which must then be rejected: forgetting a submission that
    /// may have run would let it run twice.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.latest.len() >= self.max_entries || self.used_bytes >= self.max_bytes
    }

    /// Returns the outcome recorded for a key.
    #[must_use]
    pub fn outcome(&self, key: &[u8]) -> Option<&StoredOutcome> {
        self.latest.get(key).map(|latest| &latest.outcome)
    }

    /// Returns the number of keys whose outcome is remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Returns whether no outcome is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Records that an execution is about to be sent. The returned record must be durable before the first byte of the
    /// execution is sent.
    pub fn record_sending(&mut self, key: &Bytes, now: StoreTime) -> OutcomeRecord {
        self.record(key, StoredOutcome::MayHaveRun, now)
    }

    /// Records the outcome of a submission and returns the record to be stored. Does nothing and returns none if no
    /// outcome is remembered for the submission: no execution of it was sent, or the record has expired.
    pub fn record_outcome(
        &mut self,
        key: &Bytes,
        outcome: StoredOutcome,
        now: StoreTime,
    ) -> Option<OutcomeRecord> {
        self.latest.contains_key(key).then(|| self.record(key, outcome, now))
    }

    fn record(&mut self, key: &Bytes, outcome: StoredOutcome, at: StoreTime) -> OutcomeRecord {
        let record = OutcomeRecord { key: key.clone(), outcome, at };
        self.insert(record.clone());
        record
    }
}
