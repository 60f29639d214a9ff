//! The request ids of submissions that are over and may have run, without their clients knowing how they ended.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// The memory in bytes that an id takes beside its own length: its places in the set and in the queue, and the allocation.
const ENTRY_BYTES: usize = 128;

/// Request ids, of which the oldest are forgotten when they take more memory than they may.
pub(crate) struct RecentIds {
    ids: BTreeSet<Arc<[u8]>>,
    /// The ids in the order in which they were added.
    order: VecDeque<Arc<[u8]>>,
    used_bytes: usize,
    max_bytes: usize,
}

impl RecentIds {
    /// Creates an empty set that takes up to `max_bytes` bytes of memory.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { ids: BTreeSet::new(), order: VecDeque::new(), used_bytes: 0, max_bytes }
    }

    /// Returns whether this id was added and is not forgotten yet.
    pub(crate) fn contains(&self, id: &[u8]) -> bool {
        self.ids.contains(id)
    }

    /// Adds an id.
    pub(crate) fn add(&mut self, id: &[u8]) {
        if self.ids.contains(id) {
            return;
        }
        let id = Arc::<[u8]>::from(id);
        self.used_bytes += ENTRY_BYTES + id.len();
        self.ids.insert(Arc::clone(&id));
        self.order.push_back(id);
        self.forget_oldest();
    }

    /// Forgets the oldest ids until the others take no more memory than they may.
    fn forget_oldest(&mut self) {
        while self.used_bytes > self.max_bytes {
            let Some(id) = self.order.pop_front() else { return };
            self.used_bytes -= ENTRY_BYTES + id.len();
            self.ids.remove(&id);
        }
    }
}
