//! Reading records, and verifying the whole store.

use crate::disk::Disk;
use crate::error::{StoreError, damaged};
use crate::format::{Decoded, SegmentEntry, decode};
use crate::segment::{LocatedRecord, segment_name};
use crate::types::{Damage, Entry};

use super::{Key, Store};

impl<D: Disk> Store<D> {
    /// Returns the value that is stored under this key.
    ///
    /// # Errors
    ///
    /// The record is damaged; errors of the disk.
    pub fn get(&self, kind: u8, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_usable()?;
        let Some(location) = self.index.get(&Key::new(kind, key)) else { return Ok(None) };
        let name = segment_name(location.segment);
        let offset = location.offset as usize;
        // The checksum includes the record's offset, so zeros take the place of the bytes before the record.
        let mut bytes = vec![0; offset];
        bytes.extend(self.disk.read(&name, u64::from(location.offset), location.size as usize)?);
        let damaged = |reason| damaged(&name, u64::from(location.offset), reason);
        match decode(&bytes, offset, self.salt_of(location.segment)) {
            Decoded::Record { record, .. } if record.key == key && record.kind == kind => {
                Ok(Some(record.value))
            }
            Decoded::Damage(reason) => Err(damaged(reason)),
            Decoded::Record { .. } | Decoded::End => Err(damaged("not the record that the index refers to")),
        }
    }

    /// Returns all stored records without their values, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.index.iter().map(|(key, location)| Entry {
            kind: key.kind,
            key: key.bytes.to_vec(),
            at: location.time,
        })
    }

    /// Visits all stored records with their values. Each segment is read once.
    ///
    /// # Errors
    ///
    /// A segment is damaged; errors of the disk.
    pub fn for_each(&self, mut visit: impl FnMut(Entry, Vec<u8>)) -> Result<(), StoreError> {
        self.check_usable()?;
        for segment in &self.manifest.segments {
            self.scan_segment(segment, |found| {
                let record = found.record;
                if self.is_current(&Key::of(&record), segment.number, found.offset) {
                    visit(Entry { kind: record.kind, key: record.key, at: record.time }, record.value);
                }
            })?;
        }
        Ok(())
    }

    /// Reads all segments and returns the damage found.
    ///
    /// # Errors
    ///
    /// Errors of the disk.
    pub fn verify(&self) -> Result<Vec<Damage>, StoreError> {
        let mut damage = Vec::new();
        for segment in &self.manifest.segments {
            match self.scan_segment(segment, |_| {}) {
                Ok(()) => {}
                Err(StoreError::Damaged { file, offset, reason }) => {
                    damage.push(Damage { file, offset, reason: reason.into() })
                }
                Err(error) => return Err(error),
            }
        }
        Ok(damage)
    }

    fn scan_segment(&self, entry: &SegmentEntry, visit: impl FnMut(LocatedRecord)) -> Result<(), StoreError> {
        let extent = self.extent_of(entry.number, entry.used);
        self.read_segment(entry.number)?.scan(extent, visit)?;
        Ok(())
    }
}
