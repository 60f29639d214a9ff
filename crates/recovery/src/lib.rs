//! What is known of one-shot submissions after a restart. A submission is identified by a key that its client keeps when
//! it retries. Before the first byte of an execution is sent, the record that the submission may have run is durable;
//! every later record only makes its outcome more certain. A submission without a record is new.

pub mod start;

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

/// A time in nanoseconds, counted only while a node runs on this store, over all its runs. Downtime does not make records
/// expire, and the wall clock has no influence.
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

impl StoredOutcome {
    /// Encodes the outcome for the store.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        match self {
            Self::MayHaveRun => vec![1],
            Self::NeverSent => vec![2],
            Self::Completed(result) => [&[3], &result[..]].concat(),
        }
    }

    /// Decodes a stored outcome. Returns none for an encoding that this version does not know; the caller must not assume
    /// any particular outcome then.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first()? {
            (1, []) => Some(Self::MayHaveRun),
            (2, []) => Some(Self::NeverSent),
            (3, result) => Some(Self::Completed(Bytes::copy_from_slice(result))),
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
    pub key: Bytes,
    pub outcome: StoredOutcome,
    /// When the outcome was recorded.
    pub at: StoreTime,
}

/// The outcomes that a node remembers, bounded in time, number and memory.
#[derive(Debug)]
pub struct OutcomeTable {
    known: HashMap<Bytes, (StoredOutcome, StoreTime)>,
    /// The keys in the order in which outcomes were recorded, the oldest first. An entry that was superseded by a later
    /// one for the same key is skipped when it expires.
    order: VecDeque<(StoreTime, Bytes)>,
    /// How long an outcome is remembered; clients do not retry later than that.
    retention: StoreTime,
    max_entries: usize,
    /// The bytes of all keys and results.
    used_bytes: usize,
    max_bytes: usize,
}

impl OutcomeTable {
    /// Creates a table that remembers each outcome for `retention`, and is full at `max_entries` or `max_bytes`.
    #[must_use]
    pub fn new(retention: StoreTime, max_entries: usize, max_bytes: usize) -> Self {
        Self {
            known: HashMap::new(),
            order: VecDeque::new(),
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
        records.into_iter().for_each(|r| self.set(r));
    }

    fn set(&mut self, record: OutcomeRecord) {
        let OutcomeRecord { key, outcome, at } = record;
        let size = |outcome: &StoredOutcome| {
            key.len() + if let StoredOutcome::Completed(r) = outcome { r.len() } else { 0 }
        };
        self.used_bytes += size(&outcome);
        self.order.push_back((at, key.clone()));
        if let Some((before, _)) = self.known.insert(key.clone(), (outcome, at)) {
            self.used_bytes = self.used_bytes.saturating_sub(size(&before));
        }
    }

    /// Drops the outcomes that are past their retention time.
    pub fn expire(&mut self, now: StoreTime) {
        while let Some((at, _)) = self.order.front() {
            if at.saturating_add(self.retention) >= now {
                return;
            }
            let Some((at, key)) = self.order.pop_front() else { return };
            if self.known.get(&key).is_some_and(|(_, latest)| *latest == at)
                && let Some((outcome, _)) = self.known.remove(&key)
            {
                let result = if let StoredOutcome::Completed(r) = outcome { r.len() } else { 0 };
                self.used_bytes = self.used_bytes.saturating_sub(key.len() + result);
            }
        }
    }

    /// Returns whether there is no room for another submission, which must then be rejected: forgetting a submission that
    /// may have run would let it run twice.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.known.len() >= self.max_entries || self.used_bytes >= self.max_bytes
    }

    /// Returns the outcome recorded for a key.
    #[must_use]
    pub fn outcome(&self, key: &[u8]) -> Option<&StoredOutcome> {
        self.known.get(key).map(|(outcome, _)| outcome)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records that an execution is about to be sent. The returned record must be durable before the first byte of the
    /// execution is sent.
    pub fn record_sending(&mut self, key: &Bytes, now: StoreTime) -> OutcomeRecord {
        self.record(key, StoredOutcome::MayHaveRun, now)
    }

    /// Records the outcome of a submission and returns the record to be stored, or none if nothing was recorded of the
    /// submission before.
    pub fn record_outcome(
        &mut self,
        key: &Bytes,
        outcome: StoredOutcome,
        now: StoreTime,
    ) -> Option<OutcomeRecord> {
        self.known.contains_key(key).then(|| self.record(key, outcome, now))
    }

    fn record(&mut self, key: &Bytes, outcome: StoredOutcome, at: StoreTime) -> OutcomeRecord {
        let record = OutcomeRecord { key: key.clone(), outcome, at };
        self.set(record.clone());
        record
    }
}
