//! The store: an index in memory over append-only segments on a disk.
//!
//! [`Store`] holds the state; its operations are in the submodules:
//!
//! - `append`: commits, and the start of new segments;
//! - `recovery`: creating and opening a store;
//! - `checkpoint`: writing the index to a file, for a faster start;
//! - `compaction`: dropping replaced and expired records;
//! - `expiry`: dropping expired records before the budget is spent;
//! - `read`: reading records, and verifying the whole store;
//! - `repair`: creating a new store from the readable records of a damaged one.

mod append;
mod checkpoint;
mod compaction;
mod expiry;
mod read;
mod recovery;
mod repair;

use std::collections::HashMap;
use std::io;

use crate::disk::Disk;
use crate::error::{StoreError, damaged};
use crate::format::{Manifest, Record, decode_segment_header};
use crate::segment::{Extent, Segment, segment_name};
use crate::types::{Limits, Stats};

pub use repair::repair;

/// An embedded store of records by kind and key.
pub struct Store<D: Disk> {
    disk: D,
    limits: Limits,
    manifest: Manifest,
    /// The salt of each segment, by segment number.
    salts: HashMap<u64, u64>,
    /// The offset in the last segment at which the next record is written.
    append_offset: u64,
    index: Index,
    /// The last segment when expired records were last dropped from the index.
    expired_dropped_in: u64,
    /// Whether a write or a sync failed, after which the state of the disk is unknown.
    failed: bool,
    stats: Stats,
}

type Index = HashMap<Key, Location, foldhash::fast::RandomState>;

/// The kind and key that identify a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    kind: u8,
    bytes: Box<[u8]>,
}

/// The location of the current record of a key.
#[derive(Clone, Copy, Debug)]
struct Location {
    segment: u64,
    offset: u32,
    size: u32,
    /// The time of the record.
    time: u64,
}

impl Key {
    fn new(kind: u8, bytes: &[u8]) -> Self {
        Self { kind, bytes: bytes.into() }
    }

    fn of(record: &Record) -> Self {
        Self::new(record.kind, &record.key)
    }
}

impl Location {
    fn new(segment: u64, offset: usize, size: usize, time: u64) -> Self {
        Self { segment, offset: offset as u32, size: size as u32, time }
    }

    fn is_at(&self, segment: u64, offset: usize) -> bool {
        self.segment == segment && self.offset as usize == offset
    }
}

impl<D: Disk> Store<D> {
    /// Creates a store whose index is still empty.
    fn with_manifest(disk: D, limits: Limits, manifest: Manifest) -> Self {
        let limits = Limits { segment_size: manifest.segment_size, ..limits };
        Self {
            disk,
            limits,
            manifest,
            salts: HashMap::new(),
            append_offset: 0,
            index: Index::default(),
            expired_dropped_in: 0,
            failed: false,
            stats: Stats::default(),
        }
    }

    /// Returns the size of the store, and counters since it was opened.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let segments = self.manifest.segments.len();
        Stats { records: self.index.len(), segments, bytes: self.size(), ..self.stats }
    }

    /// Closes the store and returns its disk.
    pub fn close(self) -> D {
        self.disk
    }

    /// Returns the size of all segments, in bytes.
    fn size(&self) -> u64 {
        self.manifest.segments.len() as u64 * self.manifest.segment_size
    }

    /// Returns the number of the segment that is written to.
    fn last_segment(&self) -> u64 {
        self.manifest.segments.last().map_or(0, |segment| segment.number)
    }

    fn salt_of(&self, segment: u64) -> u64 {
        self.salts.get(&segment).copied().unwrap_or_default()
    }

    /// Points the index to a record that was read or written, or removes the key if the record is a tombstone.
    fn index_record(&mut self, record: &Record, location: Location) {
        let key = Key::of(record);
        if record.tombstone {
            self.index.remove(&key);
        } else {
            self.index.insert(key, location);
        }
    }

    /// Whether the index points to the record at this location.
    fn is_current(&self, key: &Key, segment: u64, offset: usize) -> bool {
        self.index.get(key).is_some_and(|location| location.is_at(segment, offset))
    }

    /// Fails if an earlier write or sync has failed.
    fn check_usable(&self) -> Result<(), StoreError> {
        if self.failed { Err(StoreError::Failed) } else { Ok(()) }
    }

    /// Makes a change to the disk. If it fails, the store accepts no more operations.
    fn modify<T>(&mut self, change: impl FnOnce(&mut D) -> io::Result<T>) -> Result<T, StoreError> {
        self.check_usable()?;
        change(&mut self.disk).map_err(|error| {
            self.failed = true;
            error.into()
        })
    }

    fn sync(&mut self, name: &str) -> Result<(), StoreError> {
        self.stats.syncs += 1;
        self.modify(|disk| disk.sync(name))
    }

    /// Fails if the file of a segment is missing or has another length.
    fn check_segment_length(&self, name: &str) -> Result<(), StoreError> {
        let length = self.disk.length(name).map_err(|_| damaged(name, 0, "missing"))?;
        if length == self.manifest.segment_size {
            Ok(())
        } else {
            Err(damaged(name, 0, "unexpected file length"))
        }
    }

    fn read_segment(&self, number: u64) -> Result<Segment, StoreError> {
        let name = segment_name(number);
        self.check_segment_length(&name)?;
        let bytes = self.disk.read(&name, 0, usize::MAX)?;
        let salt = decode_segment_header(&name, &bytes, number)?;
        Ok(Segment { name, bytes, salt })
    }

    /// Returns where the records of a segment end. The manifest has the end of all segments but the last.
    fn extent_of(&self, number: u64, used: u64) -> Extent {
        Extent::Known(if number == self.last_segment() { self.append_offset } else { used })
    }
}
