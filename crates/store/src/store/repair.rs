//! Repair: creating a new store from the readable records of a damaged one.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{ALIGN, Decoded, Record, SEGMENT_HEADER, decode, decode_segment_header};
use crate::segment::{Segment, segment_number};
use crate::types::{Damage, Limits};

use super::Store;

/// The prefix that the names of the damaged store's files get.
const LOST_PREFIX: &str = "lost-";

/// The file of a segment.
struct SegmentFile {
    number: u64,
    name: String,
}

/// The records read from a damaged store, and the damage.
#[derive(Default)]
struct Salvage {
    records: Vec<Record>,
    damage: Vec<Damage>,
    /// The error of a segment that has another format version.
    unsupported: Option<StoreError>,
}

/// Creates a new store from the readable records of a damaged one. Every record in it was written by an earlier commit.
/// The damaged files are kept under names that begin with `lost-`. Returns the store and the damage found.
///
/// # Errors
///
/// There is no store; it has another format version; errors of the disk.
pub fn repair<D: Disk>(
    mut disk: D,
    limits: Limits,
    seed: u64,
) -> Result<(Store<D>, Vec<Damage>), StoreError> {
    let names = disk.list()?;
    let segments = segment_files(&names);
    if segments.is_empty() {
        return Err(StoreError::Missing);
    }
    let salvage = Salvage::read(&disk, &segments)?;
    // The version in a single header may be damaged. If no segment is readable and a version differs, the store has
    // another version.
    if let Some(error) = salvage.unsupported.filter(|_| salvage.damage.len() == segments.len()) {
        return Err(error);
    }
    for name in names.iter().filter(|name| !name.starts_with(LOST_PREFIX)) {
        disk.rename(name, &format!("{LOST_PREFIX}{name}"))?;
    }
    disk.sync_folder()?;
    let mut store = Store::create(disk, limits, seed)?;
    store.append(&salvage.records)?;
    Ok((store, salvage.damage))
}

/// Returns the segments among these files, in order.
fn segment_files(names: &[String]) -> Vec<SegmentFile> {
    let file = |name: &String| Some(SegmentFile { number: segment_number(name)?, name: name.clone() });
    let mut files: Vec<SegmentFile> = names.iter().filter_map(file).collect();
    files.sort_by(|a, b| (a.number, &a.name).cmp(&(b.number, &b.name)));
    files
}

impl Salvage {
    fn read<D: Disk>(disk: &D, files: &[SegmentFile]) -> Result<Self, StoreError> {
        let mut salvage = Self::default();
        for file in files {
            let name = file.name.clone();
            let bytes = disk.read(&name, 0, usize::MAX)?;
            match decode_segment_header(&name, &bytes, file.number) {
                Ok(salt) => salvage.read_segment(&Segment { name, bytes, salt }),
                Err(error) => salvage.add_lost_segment(name, error),
            }
        }
        Ok(salvage)
    }

    fn add_lost_segment(&mut self, file: String, error: StoreError) {
        if matches!(error, StoreError::FormatVersion { .. }) {
            self.unsupported = Some(error);
        }
        self.damage.push(Damage { file, offset: 0, reason: "the whole segment: invalid header".into() });
    }

    /// Reads all records of a segment, including those after damaged bytes.
    fn read_segment(&mut self, segment: &Segment) {
        let mut offset = SEGMENT_HEADER;
        while offset < segment.bytes.len() {
            match decode(&segment.bytes, offset, segment.salt) {
                Decoded::Record { record, size } => {
                    self.records.push(record);
                    offset += size;
                }
                Decoded::End | Decoded::Damage(_) => {
                    let next = next_record(segment, offset);
                    self.add_lost_bytes(segment, offset, next);
                    offset = next;
                }
            }
        }
    }

    /// Adds a range without a valid record to the damage, unless it was never written.
    fn add_lost_bytes(&mut self, segment: &Segment, from: usize, to: usize) {
        if segment.bytes[from..to].iter().any(|byte| *byte != 0) {
            let reason = format!("{} bytes without a valid record", to - from);
            self.damage.push(Damage { file: segment.name.clone(), offset: from as u64, reason });
        }
    }
}

/// Returns the offset of the next valid record after this offset, or the end of the segment.
fn next_record(segment: &Segment, offset: usize) -> usize {
    let is_record = |at: &usize| matches!(decode(&segment.bytes, *at, segment.salt), Decoded::Record { .. });
    let mut offsets = (offset + ALIGN..segment.bytes.len()).step_by(ALIGN);
    offsets.find(is_record).unwrap_or(segment.bytes.len())
}
