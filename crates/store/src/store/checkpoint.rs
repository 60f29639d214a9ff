//! Checkpoints: the index of all sealed segments in a file, so that these need not be read when the store is opened.
//!
//! A checkpoint consists of the magic number, the number of entries, the entries, and a checksum of all preceding
//! bytes. An entry consists of the location, the kind, the length of the key, and the key.

use std::collections::HashSet;

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{CheckpointEntry, Manifest};
use crate::segment::checkpoint_name;

use super::{Key, Location, Store};

const MAGIC: &[u8; 4] = b"LSTC";
/// The size of an entry without its key, in bytes: segment (8), time (8), offset (4), size (4), kind (1), length of the key
/// (2).
const ENTRY_HEADER: usize = 27;

impl<D: Disk> Store<D> {
    /// Writes a checkpoint of all sealed segments.
    ///
    /// # Errors
    ///
    /// Errors of the disk.
    pub fn checkpoint(&mut self) -> Result<(), StoreError> {
        self.check_usable()?;
        let Some(last_sealed) = self.manifest.segments.iter().rev().nth(1) else { return Ok(()) };
        let covers = last_sealed.number;
        let previous = self.manifest.checkpoint;
        let number = previous.map_or(1, |checkpoint| checkpoint.number + 1);
        self.write_checkpoint(&checkpoint_name(number), covers)?;
        let checkpoint = Some(CheckpointEntry { number, covers });
        self.replace_manifest(Manifest { checkpoint, ..self.manifest.clone() })?;
        match previous {
            Some(previous) => self.modify(|disk| disk.remove(&checkpoint_name(previous.number))),
            None => Ok(()),
        }
    }

    /// Writes a checkpoint if more sealed segments than the limit are not covered by the current one.
    pub(super) fn checkpoint_if_due(&mut self) -> Result<(), StoreError> {
        let covered = self.manifest.checkpoint.map_or(0, |checkpoint| checkpoint.covers);
        let uncovered = self.manifest.segments.iter().filter(|segment| segment.number > covered).count();
        // The last segment is not sealed and is never part of a checkpoint.
        if uncovered > self.limits.max_uncovered_segments + 1 { self.checkpoint() } else { Ok(()) }
    }

    fn write_checkpoint(&mut self, name: &str, covers: u64) -> Result<(), StoreError> {
        let bytes = self.encode_checkpoint(covers);
        self.stats.written_bytes += bytes.len() as u64;
        self.modify(|disk| disk.create(name, bytes.len() as u64))?;
        self.modify(|disk| disk.write(name, 0, &bytes))?;
        self.sync(name)?;
        self.modify(|disk| disk.sync_folder())
    }

    /// Encodes the index of the segments up to this one. When the store is opened, later segments are read, and their records
    /// override the checkpoint.
    fn encode_checkpoint(&self, covers: u64) -> Vec<u8> {
        let mut count = 0_u64;
        let mut entries = Vec::new();
        for (key, location) in self.index.iter().filter(|(_, location)| location.segment <= covers) {
            count += 1;
            encode_entry(&mut entries, key, location);
        }
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&count.to_le_bytes());
        bytes.append(&mut entries);
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Fills the index from a checkpoint. Returns `None` if the checkpoint can't be read; the index may then be
    /// partially filled.
    pub(super) fn read_checkpoint(&mut self, name: &str) -> Option<()> {
        let bytes = self.disk.read(name, 0, usize::MAX).ok()?;
        let (body, checksum) = bytes.split_last_chunk::<4>()?;
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
            return None;
        }
        let mut reader = CheckpointReader { rest: body.strip_prefix(MAGIC)? };
        let count = reader.read_u64()?;
        // A damaged count may pass the checksum, so the reservation is limited to the entries that the file can hold.
        let max_entries = body.len() / ENTRY_HEADER;
        self.index.reserve(usize::try_from(count).unwrap_or(0).min(max_entries));
        let segments: HashSet<u64> = self.manifest.segments.iter().map(|segment| segment.number).collect();
        for _ in 0..count {
            let (key, location) = reader.read_entry()?;
            // The current records of a segment that was cleaned after the checkpoint are in a later segment.
            if segments.contains(&location.segment) {
                self.index.insert(key, location);
            }
        }
        Some(())
    }
}

fn encode_entry(bytes: &mut Vec<u8>, key: &Key, location: &Location) {
    bytes.extend_from_slice(&location.segment.to_le_bytes());
    bytes.extend_from_slice(&location.time.to_le_bytes());
    bytes.extend_from_slice(&location.offset.to_le_bytes());
    bytes.extend_from_slice(&location.size.to_le_bytes());
    bytes.push(key.kind);
    bytes.extend_from_slice(&(key.bytes.len() as u16).to_le_bytes());
    bytes.extend_from_slice(&key.bytes);
}

/// Reads the fields of a checkpoint in order.
struct CheckpointReader<'a> {
    rest: &'a [u8],
}

impl CheckpointReader<'_> {
    fn read_array<const LENGTH: usize>(&mut self) -> Option<[u8; LENGTH]> {
        let (array, rest) = self.rest.split_first_chunk()?;
        self.rest = rest;
        Some(*array)
    }

    fn read_u16(&mut self) -> Option<u16> {
        self.read_array().map(u16::from_le_bytes)
    }

    fn read_u32(&mut self) -> Option<u32> {
        self.read_array().map(u32::from_le_bytes)
    }

    fn read_u64(&mut self) -> Option<u64> {
        self.read_array().map(u64::from_le_bytes)
    }

    fn read_entry(&mut self) -> Option<(Key, Location)> {
        let segment = self.read_u64()?;
        let time = self.read_u64()?;
        let offset = self.read_u32()?;
        let size = self.read_u32()?;
        let [kind] = self.read_array()?;
        let key_length = usize::from(self.read_u16()?);
        let (key, rest) = self.rest.split_at_checked(key_length)?;
        self.rest = rest;
        Some((Key::new(kind, key), Location { segment, offset, size, time }))
    }
}
