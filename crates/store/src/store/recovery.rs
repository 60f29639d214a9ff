//! Creating a store, and opening one after a shutdown, a kill or a power failure.

use crate::disk::Disk;
use crate::error::{StoreError, damaged};
use crate::format::{Manifest, SEGMENT_HEADER, SegmentEntry, decode_manifest, decode_segment_header};
use crate::segment::{Extent, MANIFEST, MANIFEST_NEW, Segment, checkpoint_name, is_store_file, segment_name};
use crate::types::{Limits, OpenMode};

use super::{Location, Store};

/// The smallest size of a segment, in bytes.
const MIN_SEGMENT_SIZE: u64 = 4096;
/// The largest size of a segment, in bytes.
const MAX_SEGMENT_SIZE: u64 = 1 << 30;
/// The size of a segment is a multiple of this page size, in bytes.
const PAGE_SIZE: u64 = 4096;

impl<D: Disk> Store<D> {
    /// Opens the store on this disk or creates one. `seed` is any number that other stores are unlikely to have; it is
    /// used only when a store is created.
    ///
    /// # Errors
    ///
    /// There is no store to open, or there is one already where one is to be created; the store is damaged, in which case
    /// nothing was changed; errors of the disk.
    pub fn open(disk: D, limits: Limits, mode: OpenMode, seed: u64) -> Result<Self, StoreError> {
        let names = disk.list()?;
        if !names.iter().any(|name| name == MANIFEST) {
            check_never_created(&disk, &names)?;
            return match mode {
                OpenMode::Create => Self::create(disk, limits, seed),
                OpenMode::Existing => Err(StoreError::Missing),
            };
        }
        if mode == OpenMode::Create {
            return Err(StoreError::AlreadyExists);
        }
        let bytes = disk.read(MANIFEST, 0, usize::MAX)?;
        let manifest = decode_manifest(MANIFEST, &bytes)?;
        let mut store = Self::with_manifest(disk, limits, manifest);
        store.load()?;
        store.remove_unlisted(&names)?;
        Ok(store)
    }

    pub(super) fn create(disk: D, limits: Limits, seed: u64) -> Result<Self, StoreError> {
        let segment_size =
            limits.segment_size.clamp(MIN_SEGMENT_SIZE, MAX_SEGMENT_SIZE).next_multiple_of(PAGE_SIZE);
        let manifest = Manifest { number: seed, segment_size, ..Manifest::default() };
        let mut store = Self::with_manifest(disk, limits, manifest);
        store.begin_segment()?;
        Ok(store)
    }

    /// Fills the index from the checkpoint and from the segments that the checkpoint does not cover.
    fn load(&mut self) -> Result<(), StoreError> {
        let covered = self.load_checkpoint();
        let last = self.last_segment();
        for SegmentEntry { number, used } in self.manifest.segments.clone() {
            if number == last {
                self.load_last_segment(number)?;
            } else if number <= covered {
                self.load_salt(number)?;
            } else {
                self.load_segment(number, Extent::Known(used))?;
            }
        }
        Ok(())
    }

    /// Loads the checkpoint and returns the number of the last segment that it covers, or 0 if there is none. Its content is
    /// in the segments, too, so a checkpoint that can't be read is ignored.
    fn load_checkpoint(&mut self) -> u64 {
        let Some(checkpoint) = self.manifest.checkpoint else { return 0 };
        if self.read_checkpoint(&checkpoint_name(checkpoint.number)).is_some() {
            return checkpoint.covers;
        }
        self.index.clear();
        0
    }

    /// Reads the salt of a segment that the checkpoint covers from its header. Its records are not read.
    fn load_salt(&mut self, number: u64) -> Result<(), StoreError> {
        let name = segment_name(number);
        self.check_segment_length(&name)?;
        let header = self.disk.read(&name, 0, SEGMENT_HEADER)?;
        let salt = decode_segment_header(&name, &header, number)?;
        self.salts.insert(number, salt);
        Ok(())
    }

    /// Indexes all records of a segment. Returns the segment and the offset at which its records end.
    fn load_segment(&mut self, number: u64, extent: Extent) -> Result<(Segment, usize), StoreError> {
        let segment = self.read_segment(number)?;
        self.salts.insert(number, segment.salt);
        let end = segment.scan(extent, |found| {
            let location = Location::new(number, found.offset, found.size, found.record.time);
            self.index_record(&found.record, location);
        })?;
        Ok((segment, end))
    }

    /// Loads the segment that is written to, and erases an interrupted write: otherwise its bytes could be read as a
    /// record once other records precede them.
    fn load_last_segment(&mut self, number: u64) -> Result<(), StoreError> {
        let (segment, end) = self.load_segment(number, Extent::Unknown)?;
        self.append_offset = end as u64;
        if segment.bytes[end..].iter().any(|byte| *byte != 0) {
            let zeros = vec![0; segment.bytes.len() - end];
            self.disk.write(&segment.name, self.append_offset, &zeros)?;
            self.disk.sync(&segment.name)?;
        }
        Ok(())
    }

    /// Removes files that the manifest does not list: they were never part of the store, or no longer are.
    fn remove_unlisted(&mut self, names: &[String]) -> Result<(), StoreError> {
        let segments = self.manifest.segments.iter().map(|segment| segment_name(segment.number));
        let checkpoint = self.manifest.checkpoint.map(|checkpoint| checkpoint_name(checkpoint.number));
        let mut listed: Vec<String> = segments.chain(checkpoint).collect();
        listed.push(MANIFEST.to_owned());
        for name in names {
            if is_store_file(name) && !listed.contains(name) {
                self.disk.remove(name)?;
            }
        }
        Ok(())
    }
}

/// Fails if the files without a manifest are more than the remains of an interrupted creation: a manifest that was not
/// renamed yet, and a first segment without records.
fn check_never_created<D: Disk>(disk: &D, names: &[String]) -> Result<(), StoreError> {
    let first_segment = segment_name(1);
    let mut files = names.iter().filter(|name| is_store_file(name));
    let mut is_incomplete_creation = files.all(|name| name == MANIFEST_NEW || *name == first_segment);
    if is_incomplete_creation && names.contains(&first_segment) {
        let records = disk.read(&first_segment, SEGMENT_HEADER as u64, usize::MAX)?;
        is_incomplete_creation = records.iter().all(|byte| *byte == 0);
    }
    if is_incomplete_creation {
        Ok(())
    } else {
        Err(damaged(MANIFEST, 0, "missing, though there are segments"))
    }
}
