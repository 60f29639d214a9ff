//! Reading of all records of a segment, and the names of the store's files.

use crate::error::{StoreError, damaged};
use crate::format::{Decoded, MIXING_MULTIPLIER, Record, SEGMENT_HEADER, decode};

/// The file that lists the segments and the checkpoint of the store.
pub(crate) const MANIFEST: &str = "manifest";
/// A manifest that is still being written.
pub(crate) const MANIFEST_NEW: &str = "manifest.new";
const CHECKPOINT: &str = "checkpoint";

/// Returns the file name of a segment.
pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:012}.segment")
}

/// Parses the number of a segment from its file name.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    name.strip_suffix(".segment")?.parse().ok()
}

/// Returns the file name of a checkpoint.
pub(crate) fn checkpoint_name(number: u64) -> String {
    format!("{CHECKPOINT}.{number:012}")
}

/// Whether a file of this name belongs to a store.
pub(crate) fn is_store_file(name: &str) -> bool {
    name.ends_with(".segment") || name.starts_with(MANIFEST) || name.starts_with(CHECKPOINT)
}

/// Derives the salt of a new segment, which keeps records of other segments and stores from being read as records of this
/// one. It only has to differ between them.
pub(crate) fn new_salt(number: u64, seed: u64) -> u64 {
    let mixed = (number ^ seed.rotate_left(32)).wrapping_mul(MIXING_MULTIPLIER);
    mixed ^ mixed >> 29 | 1
}

/// A segment that was read into memory completely.
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) bytes: Vec<u8>,
    pub(crate) salt: u64,
}

/// Where the records of a segment end.
#[derive(Clone, Copy)]
pub(crate) enum Extent {
    /// Exactly at this offset.
    Known(u64),
    /// At the first offset from which nothing was written, or at an interrupted write.
    Unknown,
}

/// A record with its offset and size in its segment.
pub(crate) struct LocatedRecord {
    pub(crate) record: Record,
    pub(crate) offset: usize,
    pub(crate) size: usize,
}

impl Segment {
    /// Visits all records in order. Returns the offset at which they end.
    pub(crate) fn scan(
        &self,
        extent: Extent,
        mut visit: impl FnMut(LocatedRecord),
    ) -> Result<usize, StoreError> {
        let end = match extent {
            Extent::Known(end) => end as usize,
            Extent::Unknown => self.bytes.len(),
        };
        let mut offset = SEGMENT_HEADER;
        while offset < end {
            match decode(&self.bytes, offset, self.salt) {
                Decoded::Record { record, size } => {
                    visit(LocatedRecord { record, offset, size });
                    offset += size;
                }
                Decoded::End if matches!(extent, Extent::Unknown) => return Ok(offset),
                Decoded::End => {
                    return Err(
                        self.damaged(offset, "the records end before the recorded end of the segment")
                    );
                }
                Decoded::Damage(reason) => return Err(self.damaged(offset, reason)),
            }
        }
        if offset == end {
            Ok(offset)
        } else {
            Err(self.damaged(offset, "a record extends beyond the recorded end of the segment"))
        }
    }

    fn damaged(&self, offset: usize, reason: &'static str) -> StoreError {
        damaged(&self.name, offset as u64, reason)
    }
}
