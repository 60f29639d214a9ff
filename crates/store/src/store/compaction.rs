//! Compaction: a segment is cleaned, which means that its current records are appended again and that it is removed.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{Record, SegmentEntry};
use crate::segment::{Extent, segment_name};
use crate::types::Eviction;

use super::{Key, Store};

/// The current records of a segment that is cleaned, by whether they are kept.
#[derive(Default)]
struct ClassifiedRecords {
    /// Records that are appended again.
    kept: Vec<Record>,
    /// Keys of the records that are dropped.
    dropped: Vec<Key>,
    /// The number of records that are dropped before they expire.
    evicted: u64,
}

impl<D: Disk> Store<D> {
    /// Appends the current records of the oldest segment again, except for expired and evicted ones, and removes the
    /// segment.
    ///
    /// # Errors
    ///
    /// The segment is damaged, in which case it is kept; errors of the disk.
    pub fn clean(&mut self, now: u64, eviction: Eviction) -> Result<(), StoreError> {
        self.check_usable()?;
        if self.manifest.segments.len() < 2 {
            return Ok(());
        }
        let oldest = self.manifest.segments[0];
        let records = self.classify_records(oldest, now, eviction)?;
        self.stats.evicted += records.evicted;
        // The records are durable in their new location before the old segment is removed.
        self.append(&records.kept)?;
        let mut manifest = self.manifest.clone();
        manifest.segments.remove(0);
        self.replace_manifest(manifest)?;
        for key in &records.dropped {
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
            self.clean(now, Eviction::Forbidden)?;
        }
        Ok(())
    }

    /// Cleans the oldest segments as long as the store exceeds its budget and each cleaning makes it smaller.
    pub(super) fn enforce_budget(&mut self, now: u64) -> Result<(), StoreError> {
        while self.size() > self.limits.budget && self.manifest.segments.len() > 2 {
            let before = self.size();
            self.clean(now, Eviction::Allowed)?;
            if self.size() >= before {
                break;
            }
        }
        Ok(())
    }

    fn classify_records(
        &self,
        entry: SegmentEntry,
        now: u64,
        eviction: Eviction,
    ) -> Result<ClassifiedRecords, StoreError> {
        let segment = self.read_segment(entry.number)?;
        let mut classified = ClassifiedRecords::default();
        segment.scan(Extent::Known(entry.used), |found| {
            let record = found.record;
            let key = Key::of(&record);
            if !self.is_current(&key, entry.number, found.offset) {
                return;
            }
            if self.limits.is_expired(record.kind, record.time, now) {
                classified.dropped.push(key);
            } else if eviction == Eviction::Allowed && self.limits.evictable_kinds.contains(&record.kind) {
                classified.evicted += 1;
                classified.dropped.push(key);
            } else {
                classified.kept.push(record);
            }
        })?;
        Ok(classified)
    }
}
