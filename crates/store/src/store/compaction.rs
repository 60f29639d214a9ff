//! Compaction: what still counts of the oldest segment moves to the end, and the segment goes.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{Record, SegmentEntry};
use crate::segment::{Extent, segment_name};

use super::{Key, Store};

/// What becomes of the current records of a segment that is cleaned.
#[derive(Default)]
struct Sorted {
    /// Records that move to the end.
    kept: Vec<Record>,
    /// Keys of the records that go.
    dropped: Vec<Key>,
    /// How many of those go before they expire.
    evicted: u64,
}

impl<D: Disk> Store<D> {
    /// Moves what still counts of the oldest segment to the end, and removes the segment. With `full`, kinds that yield
    /// are dropped instead.
    ///
    /// # Errors
    ///
    /// The segment is damaged, in which case it stays; the disk's.
    pub fn clean(&mut self, now: u64, full: bool) -> Result<(), StoreError> {
        self.check_usable()?;
        if self.manifest.segments.len() < 2 {
            return Ok(());
        }
        let oldest = self.manifest.segments[0];
        let sorted = self.sort_records(oldest, now, full)?;
        self.stats.evicted += sorted.evicted;
        // The records last in their new place before the old one goes.
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

    /// Cleans the oldest segments while the store is larger than its budget and that makes it smaller.
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

    fn sort_records(&self, entry: SegmentEntry, now: u64, full: bool) -> Result<Sorted, StoreError> {
        let segment = self.read_segment(entry.number)?;
        let mut sorted = Sorted::default();
        segment.scan(Extent::Known(entry.used), |found| {
            let record = found.record;
            let key = Key::of(&record);
            if !self.is_current(&key, entry.number, found.offset) {
                return;
            }
            if self.is_expired(&record, now) {
                sorted.dropped.push(key);
            } else if full && self.limits.evictable_kinds.contains(&record.kind) {
                sorted.evicted += 1;
                sorted.dropped.push(key);
            } else {
                sorted.kept.push(record);
            }
        })?;
        Ok(sorted)
    }

    fn is_expired(&self, record: &Record, now: u64) -> bool {
        let span = self.limits.retention.iter().find(|(kind, _)| *kind == record.kind);
        span.is_some_and(|(_, span)| record.time.saturating_add(*span) < now)
    }
}
