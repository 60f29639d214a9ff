//! Reading whole segments, and the names of files.

use crate::error::{StoreError, damaged};
use crate::format::{Found, Record, SEGMENT_HEADER, decode};

/// The list of what belongs to the store.
pub(crate) const MANIFEST: &str = "manifest";
/// A manifest that is still being written.
pub(crate) const MANIFEST_NEW: &str = "manifest.new";
const CHECKPOINT: &str = "checkpoint";

/// The file of a segment.
pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:012}.segment")
}

/// The number of a segment, from the name of its file.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    name.strip_suffix(".segment")?.parse().ok()
}

/// The file of a checkpoint.
pub(crate) fn checkpoint_name(number: u64) -> String {
    format!("{CHECKPOINT}.{number:012}")
}

/// Whether a file of this name is a store's.
pub(crate) fn is_store_file(name: &str) -> bool {
    name.ends_with(".segment") || name.starts_with(MANIFEST) || name.starts_with(CHECKPOINT)
}

/// The salt of a new segment. Its value does not matter, as long as it differs from segment to segment and from store
/// to store.
pub(crate) fn new_salt(number: u64, seed: u64) -> u64 {
    let mixed = (number ^ seed.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ mixed >> 29 | 1
}

/// A segment that was read whole.
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) bytes: Vec<u8>,
    pub(crate) salt: u64,
}

/// How far the records of a segment reach.
#[derive(Clone, Copy)]
pub(crate) enum Extent {
    /// Exactly up to this offset.
    Known(u64),
    /// Up to the first offset at which nothing was written.
    Unknown,
}

/// A record and where it lies in its segment.
pub(crate) struct Located {
    pub(crate) record: Record,
    pub(crate) offset: usize,
    pub(crate) size: usize,
}

impl Segment {
    /// Visits all records in order. Returns the offset at which they end.
    pub(crate) fn scan(&self, extent: Extent, mut visit: impl FnMut(Located)) -> Result<usize, StoreError> {
        let end = match extent {
            Extent::Known(end) => end as usize,
            Extent::Unknown => self.bytes.len(),
        };
        let mut offset = SEGMENT_HEADER;
        while offset < end {
            match decode(&self.bytes, offset, self.salt) {
                Found::Record { record, size } => {
                    visit(Located { record, offset, size });
                    offset += size;
                }
                Found::End if matches!(extent, Extent::Unknown) => return Ok(offset),
                Found::End => return Err(self.damaged(offset, "ends before its end")),
                Found::Damage(reason) => return Err(self.damaged(offset, reason)),
            }
        }
        if offset == end { Ok(offset) } else { Err(self.damaged(offset, "a record beyond what is in use")) }
    }

    fn damaged(&self, offset: usize, reason: &'static str) -> StoreError {
        damaged(&self.name, offset as u64, reason)
    }
}
