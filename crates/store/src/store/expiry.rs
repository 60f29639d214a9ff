//! Expired records: they leave the index each time a segment is begun, and segments that hold little else are removed. So the
//! memory of the index and the time to open the store follow what is still needed, not the budget on the disk.

use std::collections::HashMap;

use crate::disk::Disk;
use crate::error::StoreError;
use crate::types::{Eviction, Limits};

use super::Store;

/// A segment is cleaned early if at most one part in this many of it is still needed, so that cleaning appends little.
const NEEDED_PART_DIVISOR: u64 = 8;
/// The maximum number of segments that are cleaned early each time a segment is begun: more than one, so that a store with
/// many expired segments becomes smaller, and few, so that no commit takes long.
const MAX_EARLY_CLEANINGS: usize = 2;

impl Limits {
    /// Returns whether a record of this kind and time has expired.
    pub(super) fn is_expired(&self, kind: u8, time: u64, now: u64) -> bool {
        let retention = self.retention.iter().find(|retention| retention.kind == kind);
        retention.is_some_and(|retention| time.saturating_add(retention.duration) < now)
    }
}

impl<D: Disk> Store<D> {
    /// Drops what has expired, if a segment was begun since the last time.
    pub(super) fn drop_expired_if_due(&mut self, now: u64) -> Result<(), StoreError> {
        let last = self.last_segment();
        if self.limits.retention.is_empty() || self.expired_dropped_in == last {
            return Ok(());
        }
        self.expired_dropped_in = last;
        self.index.retain(|key, location| !self.limits.is_expired(key.kind, location.time, now));
        self.clean_expired_segments(now)
    }

    /// Cleans the oldest segments that hold hardly any records that are still needed.
    fn clean_expired_segments(&mut self, now: u64) -> Result<(), StoreError> {
        let mut needed: HashMap<u64, u64> = HashMap::new();
        for location in self.index.values() {
            *needed.entry(location.segment).or_default() += u64::from(location.size);
        }
        let is_needed = |segment: u64| {
            needed.get(&segment).copied().unwrap_or(0) > self.manifest.segment_size / NEEDED_PART_DIVISOR
        };
        let sealed = &self.manifest.segments[..self.manifest.segments.len().saturating_sub(1)];
        let count = sealed.iter().take_while(|segment| !is_needed(segment.number)).count();
        for _ in 0..count.min(MAX_EARLY_CLEANINGS) {
            match self.clean(now, Eviction::Forbidden) {
                // The damage does no harm before the records that are still needed are read.
                Err(StoreError::Damaged { .. }) => break,
                result => result?,
            }
        }
        Ok(())
    }
}
