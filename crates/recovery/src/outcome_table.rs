//! The outcomes that a node remembers, for a limited time and in limited memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;

use crate::{OutcomeRecord, StoreTime, StoredOutcome};

/// The outcomes that a node remembers, bounded in time, number and memory.
#[derive(Debug)]
pub struct OutcomeTable {
    /// The latest outcome of each key.
    latest: BTreeMap<Arc<[u8]>, LatestOutcome>,
    /// One entry for each key in `latest`, the next to expire first.
    expiry_order: BTreeSet<ExpiryEntry>,
    /// How long an outcome is remembered; clients do not retry later than that.
    retention: StoreTime,
    max_entries: usize,
    /// The memory that all entries take, in bytes.
    used_bytes: usize,
    max_bytes: usize,
}

/// The latest outcome of a key.
#[derive(Debug)]
struct LatestOutcome {
    outcome: StoredOutcome,
    recorded_at: StoreTime,
}

/// The order of expiry: by time, and by key among those of the same time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryEntry {
    recorded_at: StoreTime,
    key: Arc<[u8]>,
}

/// What the allocator takes for itself with each allocation, in bytes.
const ALLOCATION_OVERHEAD: usize = 16;
/// The two counts before the bytes of a shared slice.
const SHARED_SLICE_HEADER: usize = 2 * size_of::<usize>();
/// What [`Bytes`] allocates when it is cloned: a pointer, a capacity and a count.
const CLONED_BYTES_HEADER: usize = 3 * size_of::<usize>();
/// The memory of one entry in both trees, in bytes. At least five of the eleven places of a B-tree's node are in use, and a node
/// has links besides, so an entry takes up to two and a half times its own size.
const TREE_ENTRY: usize =
    (size_of::<Arc<[u8]>>() + size_of::<LatestOutcome>() + size_of::<ExpiryEntry>()) * 5 / 2;

/// Returns the memory that an outcome takes, in bytes.
fn entry_size(key: &[u8], outcome: &StoredOutcome) -> usize {
    let key_size = SHARED_SLICE_HEADER + key.len() + ALLOCATION_OVERHEAD;
    let result_size = match outcome {
        StoredOutcome::Completed(result) => {
            result.len() + ALLOCATION_OVERHEAD + CLONED_BYTES_HEADER + ALLOCATION_OVERHEAD
        }
        StoredOutcome::MayHaveRun | StoredOutcome::NeverSent => 0,
    };
    TREE_ENTRY + key_size + result_size
}

impl OutcomeTable {
    /// Creates a table that remembers each outcome for `retention`, and is full at `max_entries` or `max_bytes`.
    #[must_use]
    pub fn new(retention: StoreTime, max_entries: usize, max_bytes: usize) -> Self {
        Self {
            latest: BTreeMap::new(),
            expiry_order: BTreeSet::new(),
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
        self.remove(&key);
        self.used_bytes += entry_size(&key, &outcome);
        self.expiry_order.insert(ExpiryEntry { recorded_at, key: Arc::clone(&key) });
        self.latest.insert(key, LatestOutcome { outcome, recorded_at });
    }

    fn remove(&mut self, key: &Arc<[u8]>) {
        if let Some(LatestOutcome { outcome, recorded_at }) = self.latest.remove(key) {
            self.used_bytes -= entry_size(key, &outcome);
            self.expiry_order.remove(&ExpiryEntry { recorded_at, key: Arc::clone(key) });
        }
    }

    /// Drops the outcomes that are past their retention time.
    pub fn expire(&mut self, now: StoreTime) {
        while let Some(oldest) = self.expiry_order.first() {
            if oldest.recorded_at.saturating_add(self.retention) >= now {
                return;
            }
            let key = Arc::clone(&oldest.key);
            self.remove(&key);
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
    pub fn record_sending(&mut self, key: &[u8], now: StoreTime) -> OutcomeRecord {
        self.record(key, StoredOutcome::MayHaveRun, now)
    }

    /// Records the outcome of a submission and returns the record to be stored. Does nothing and returns none if no
    /// outcome is remembered for the submission, because no execution of it was sent or the record has expired, or if there
    /// is no memory for the result: the submission then remains one that may have run.
    pub fn record_outcome(
        &mut self,
        key: &[u8],
        outcome: StoredOutcome,
        now: StoreTime,
    ) -> Option<OutcomeRecord> {
        let previous = entry_size(key, &self.latest.get(key)?.outcome);
        let size = entry_size(key, &outcome);
        let fits = size <= previous || self.used_bytes - previous + size <= self.max_bytes;
        fits.then(|| self.record(key, outcome, now))
    }

    /// Records an outcome. The key and the result are copied, because they may be slices of the buffer that a whole message
    /// was received in, and a slice keeps all of its buffer in memory.
    fn record(&mut self, key: &[u8], outcome: StoredOutcome, at: StoreTime) -> OutcomeRecord {
        let key =
            self.latest.get_key_value(key).map_or_else(|| Arc::from(key), |(known, _)| Arc::clone(known));
        let outcome = match outcome {
            StoredOutcome::Completed(result) => StoredOutcome::Completed(Bytes::copy_from_slice(&result)),
            other => other,
        };
        let record = OutcomeRecord { key, outcome, at };
        self.insert(record.clone());
        record
    }
}
