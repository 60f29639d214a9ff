//! Compaction: the current records of the oldest segment are appended again, and the segment is removed.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{Record, SegmentEntry};
use crate::segment::{Extent, segment_name};

use super::{Key, Store};

/// The current records of a segment that is cleaned, by whether they are kept.
#[derive(Default)]
struct SortedRecords {
    /// Records that are appended again.
    kept: Vec<Record>,
    /// Keys of the records that are dropped.
    dropped: Vec<Key>,
    /// The number of records that are dropped before they expire.
    evicted: u64,
}

impl<D: Disk> Store<D> {
    /// Appends the current records of the oldest segment again and removes the segment. With `over_budget`, records of
    /// evictable kinds are dropped instead.
    ///
    /// # Errors
    ///
    /// The segment is damaged, in which case it is kept; errors of the disk.
    pub fn clean(&mut self, now: u64, over_budget: bool) -> Result<(), StoreError> {
        self.check_usable()?;
        if self.manifest.segments.len() < 2 {
            return Ok(());
        }
        let oldest = self.manifest.segments[0];
        let sorted = self.sort_records(oldest, now, over_budget)?;
        self.stats.evicted += sorted.evicted;
        // The records are durable in their new location before the old segment is removed.
        self.append(&sorted.kept)?;
        let mut manifest = self.manifest.clone();
        manifest.segments.remove(0);
        self.replace_manifest(manifest)?;
        for key in &sorted.dropped {
            self.index.remove(key);
        }
        self.salts.remove(&oldest.number);
        self.stats.cleaned += 1;
        self.modify(|disk| disk.remove(&segment_name(oldest.number)))
    }

    /// Cleans every sealed segment once.
    ///
    /// # Errors
    ///
    /// As [`Store::clean`].
    pub fn compact(&mut self, now: u64) -> Result<(), StoreError> {
        for _ in 1..self.manifest.segments.len() {
            self.clean(now, false)?;
        }
        Ok(())
    }

    /// Cleans the oldest segments as long as the store exceeds its budget and each cleaning makes it smaller.
    pub(super) fn enforce_budget(&mut self, now: u64) -> Result<(), StoreError> {
        while self.size() > self.limits.budget && self.manifest.segments.len() > 2 {
            let before = self.size();
            self.clean(now, true)?;
            if self.size() >= before {
                break;
            }
        }
        Ok(())
    }

    fn sort_records(
        &self,
        entry: SegmentEntry,
        now: u64,
        over_budget: bool,
    ) -> Result<SortedRecords, StoreError> {
        let segment = self.read_segment(entry.number)?;
        let mut sorted = SortedRecords::default();
        segment.scan(Extent::Known(entry.used), |found| {
            let record = found.record;
            let key = Key::of(&record);
            if !self.is_current(&key, entry.number, found.offset) {
                return;
            }
            if self.is_expired(&record, now) {
                sorted.dropped.push(key);
            } else if over_budget && self.limits.evictable_kinds.contains(&record.kind) {
                sorted.evicted += 1;
                sorted.dropped.push(key);
            } else {
                sorted.kept.push(record);
            }
        })?;
        Ok(sorted)
    }

    fn is_expired(&self, record: &Record, now: u64) -> bool {
        let retention = self.limits.retention.iter().find(|retention| retention.kind == record.kind);
        retention.is_some_and(|retention| record.time.saturating_add(retention.duration) < now)
    }
}
