//! Reading records, and verifying all of them.

use crate::disk::Disk;
use crate::error::{StoreError, damaged};
use crate::format::{Found, SegmentEntry, decode};
use crate::segment::{Located, segment_name};
use crate::types::{Damage, Entry};

use super::{Key, Store};

impl<D: Disk> Store<D> {
    /// The value that is stored under this key.
    ///
    /// # Errors
    ///
    /// The record is damaged; the disk's.
    pub fn get(&self, kind: u8, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_usable()?;
        let Some(location) = self.index.get(&Key::new(kind, key)) else { return Ok(None) };
        let name = segment_name(location.segment);
        let offset = location.offset as usize;
        // The record's checksum includes its offset, so zeros stand for what lies before it.
        let mut bytes = vec![0; offset];
        bytes.extend(self.disk.read(&name, u64::from(location.offset), location.size as usize)?);
        let damaged = |reason| damaged(&name, u64::from(location.offset), reason);
        match decode(&bytes, offset, self.salt_of(location.segment)) {
            Found::Record { record, .. } if record.key == key && record.kind == kind => {
                Ok(Some(record.value))
            }
            Found::Damage(reason) => Err(damaged(reason)),
            Found::Record { .. } | Found::End => Err(damaged("not the record that was kept")),
        }
    }

    /// All stored records without their values, in no order.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.index.iter().map(|(key, location)| Entry {
            kind: key.kind,
            key: key.bytes.to_vec(),
            at: location.time,
        })
    }

    /// Visits all stored records with their values, by reading each segment once.
    ///
    /// # Errors
    ///
    /// A segment is damaged; the disk's.
    pub fn for_each(&self, mut seen: impl FnMut(Entry, Vec<u8>)) -> Result<(), StoreError> {
        self.check_usable()?;
        for segment in &self.manifest.segments {
            self.scan_segment(segment, |found| {
                let record = found.record;
                if self.is_current(&Key::of(&record), segment.number, found.offset) {
                    seen(Entry { kind: record.kind, key: record.key, at: record.time }, record.value);
                }
            })?;
        }
        Ok(())
    }

    /// Reads everything, and returns what is damaged.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn verify(&self) -> Result<Vec<Damage>, StoreError> {
        let mut all = Vec::new();
        for segment in &self.manifest.segments {
            match self.scan_segment(segment, |_| {}) {
                Ok(()) => {}
                Err(StoreError::Damaged { file, offset, reason }) => {
                    all.push(Damage { file, offset, reason: reason.into() })
                }
                Err(other) => return Err(other),
            }
        }
        Ok(all)
    }

    fn scan_segment(&self, entry: &SegmentEntry, visit: impl FnMut(Located)) -> Result<(), StoreError> {
        let extent = self.extent_of(entry.number, entry.used);
        self.read_segment(entry.number)?.scan(extent, visit)?;
        Ok(())
    }
}
