//! Commits: records are appended to the last segment and are durable once it is synced.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{
    MAX_RECORD_LENGTH, Manifest, Record, SEGMENT_HEADER, SegmentEntry, encode_manifest, encode_segment_header,
};
use crate::segment::{MANIFEST, MANIFEST_NEW, new_salt, segment_name};
use crate::types::Op;

use super::{Location, Store};

impl<D: Disk> Store<D> {
    /// Commits these operations in order. They are durable once this returns. After an error of the disk, each of them
    /// may or may not be durable, and the store accepts no more operations.
    ///
    /// # Errors
    ///
    /// A record is too large, in which case nothing was written; errors of the disk.
    pub fn commit(&mut self, ops: &[Op], now: u64) -> Result<(), StoreError> {
        self.check_usable()?;
        let records = self.records_of(ops, now)?;
        self.append(&records)?;
        self.drop_expired_if_due(now)?;
        self.enforce_budget(now)?;
        self.checkpoint_if_due()
    }

    /// Accepts commits again after a write or a sync failed. Bytes written after the last successful commit are not
    /// relied on, even if a later sync succeeds: the segment is sealed at the end of that commit, and another segment
    /// is begun.
    ///
    /// # Errors
    ///
    /// Errors of the disk. The store then still accepts no operations.
    pub fn resume(&mut self) -> Result<(), StoreError> {
        self.failed = false;
        self.begin_segment()
    }

    /// Converts operations to records. Fails if one of them is too large.
    fn records_of(&mut self, ops: &[Op], now: u64) -> Result<Vec<Record>, StoreError> {
        let mut records = Vec::with_capacity(ops.len());
        for op in ops {
            let record = record_of(op, now);
            let length = record.key.len() + record.value.len();
            let fits = record.size() + SEGMENT_HEADER <= self.manifest.segment_size as usize;
            if !fits || length > MAX_RECORD_LENGTH || record.key.len() > usize::from(u16::MAX) {
                return Err(StoreError::TooLarge(length));
            }
            self.stats.committed_bytes += length as u64;
            records.push(record);
        }
        Ok(records)
    }

    /// Appends records, with one write and one sync for all records in the same segment.
    pub(super) fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut batch = Vec::new();
        let mut locations = Vec::with_capacity(records.len());
        for record in records {
            let batch_end = self.append_offset + batch.len() as u64;
            if batch_end + record.size() as u64 > self.manifest.segment_size {
                self.flush(&batch)?;
                batch.clear();
                self.begin_segment()?;
            }
            locations.push(self.encode_to(&mut batch, record));
        }
        self.flush(&batch)?;
        for (record, location) in records.iter().zip(locations) {
            self.index_record(record, location);
        }
        Ok(())
    }

    /// Adds a record to the batch that is written next, and returns its future location.
    fn encode_to(&self, batch: &mut Vec<u8>, record: &Record) -> Location {
        let segment = self.last_segment();
        let offset = self.append_offset + batch.len() as u64;
        batch.extend(record.encode(self.salt_of(segment), offset));
        Location::new(segment, offset as usize, record.size(), record.time)
    }

    /// Writes bytes at the end of the last segment.
    fn flush(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        if bytes.is_empty() {
            return self.check_usable();
        }
        let name = segment_name(self.last_segment());
        let offset = self.append_offset;
        self.stats.written_bytes += bytes.len() as u64;
        self.modify(|disk| disk.write(&name, offset, bytes))?;
        if self.limits.sync {
            self.sync(&name)?;
        }
        self.append_offset = offset + bytes.len() as u64;
        Ok(())
    }

    /// Begins another segment. The previous segment is sealed by the same replacement of the manifest.
    pub(super) fn begin_segment(&mut self) -> Result<(), StoreError> {
        let mut manifest = self.manifest.clone();
        let number = self.last_segment() + 1;
        if let Some(last) = manifest.segments.last_mut() {
            last.used = self.append_offset;
            if !self.limits.sync {
                // The manifest will state that the records up to this end are durable.
                self.sync(&segment_name(last.number))?;
            }
        }
        manifest.segments.push(SegmentEntry { number, used: 0 });
        let salt = new_salt(number, self.manifest.number);
        self.create_segment(number, salt)?;
        self.replace_manifest(manifest)?;
        self.salts.insert(number, salt);
        self.append_offset = SEGMENT_HEADER as u64;
        Ok(())
    }

    fn create_segment(&mut self, number: u64, salt: u64) -> Result<(), StoreError> {
        let name = segment_name(number);
        let length = self.manifest.segment_size;
        self.modify(|disk| disk.create(&name, length))?;
        self.modify(|disk| disk.write(&name, 0, &encode_segment_header(number, salt)))?;
        self.sync(&name)?;
        self.modify(|disk| disk.sync_folder())
    }

    /// Replaces the manifest atomically: after a failure at any point the disk has either the old or the new manifest.
    pub(super) fn replace_manifest(&mut self, mut manifest: Manifest) -> Result<(), StoreError> {
        manifest.number = manifest.number.wrapping_add(1);
        let bytes = encode_manifest(&manifest);
        self.stats.written_bytes += bytes.len() as u64;
        self.modify(|disk| disk.create(MANIFEST_NEW, bytes.len() as u64))?;
        self.modify(|disk| disk.write(MANIFEST_NEW, 0, &bytes))?;
        self.sync(MANIFEST_NEW)?;
        self.modify(|disk| disk.rename(MANIFEST_NEW, MANIFEST))?;
        self.modify(|disk| disk.sync_folder())?;
        self.manifest = manifest;
        Ok(())
    }
}

fn record_of(op: &Op, now: u64) -> Record {
    match op {
        Op::Put { kind, key, value, at } => {
            Record { kind: *kind, tombstone: false, time: *at, key: key.clone(), value: value.clone() }
        }
        Op::Remove { kind, key } => {
            Record { kind: *kind, tombstone: true, time: now, key: key.clone(), value: Vec::new() }
        }
    }
}
