//! The file format, as `docs/store.md` describes it. All integers are little-endian.

use crate::error::{StoreError, damaged};

/// The version of the format. Files of another version are refused.
pub const FORMAT_VERSION: u16 = 1;
/// The greatest length of a key and its value together, in bytes. A list of 1,024 executors of 2 KB each fits in it. No
/// memory is allocated in advance for it.
pub const MAX_RECORD_LENGTH: usize = 2 << 20;
/// Records begin at multiples of this number of bytes, so that no record header crosses a sector boundary.
pub(crate) const ALIGN: usize = 16;
/// The unit in bytes that a disk is assumed to write atomically.
const SECTOR: usize = 512;
/// The size of a segment's header, in bytes.
pub(crate) const SEGMENT_HEADER: usize = 32;
/// The size of a record's header, in bytes: the body's length and checksum, the salt and the header's checksum, each of 4
/// bytes.
const RECORD_HEADER: usize = 16;
// The offsets of the fields of a record's header.
const BODY_LENGTH_AT: usize = 0;
const BODY_CHECKSUM_AT: usize = 4;
const RECORD_SALT_AT: usize = 8;
const HEADER_CHECKSUM_AT: usize = 12;
/// The size of a record's body without key and value, in bytes: kind (1), tombstone flag (1), length of the key (2), time
/// (8).
const BODY_HEADER: usize = 12;
/// The last byte of a record, and its padding. Space that was never written holds zeros.
const TERMINATOR: u8 = 0xff;
const SEGMENT_MAGIC: &[u8; 4] = b"LSTO";
/// The offset of the checksum in a segment's header.
const SEGMENT_CHECKSUM_AT: usize = 28;
const MANIFEST_MAGIC: &[u8; 4] = b"LSTM";
/// The size of a manifest without its list of segments and its checksum, in bytes: magic number (4), format version (2),
/// number of segments (2), number of the manifest (8), size of a segment (8), number of the checkpoint (8), last segment
/// that the checkpoint covers (8).
const MANIFEST_HEADER: usize = 40;
/// The size of a segment's entry in a manifest, in bytes: number (8), offset at which the records end (8).
const MANIFEST_ENTRY: usize = 16;

/// 2^64 divided by the golden ratio. A multiplication by it spreads consecutive numbers over all bits.
pub(crate) const MIXING_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A record as stored in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) kind: u8,
    /// Whether the record marks the removal of its key.
    pub(crate) tombstone: bool,
    pub(crate) time: u64,
    pub(crate) key: Vec<u8>,
    pub(crate) value: Vec<u8>,
}

/// The result of decoding at an offset of a segment.
pub(crate) enum Decoded {
    Record {
        record: Record,
        size: usize,
    },
    /// Nothing was written from this offset on, or a write was interrupted.
    End,
    /// The bytes are damaged, with the reason.
    Damage(&'static str),
}

/// The list of the files that belong to a store. It is replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Manifest {
    /// Incremented by each replacement of the manifest. It starts at the store's seed.
    pub(crate) number: u64,
    pub(crate) segment_size: u64,
    /// The segments in the order in which they were written. All but the last are sealed.
    pub(crate) segments: Vec<SegmentEntry>,
    pub(crate) checkpoint: Option<CheckpointEntry>,
}

/// A segment as listed in a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentEntry {
    pub(crate) number: u64,
    /// The offset at which the records end. It is set when the segment is sealed.
    pub(crate) used: u64,
}

/// The checkpoint as listed in a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CheckpointEntry {
    pub(crate) number: u64,
    /// The number of the last segment that the checkpoint covers.
    pub(crate) covers: u64,
}

impl Record {
    /// Returns the number of bytes that the record occupies in a segment.
    pub(crate) fn size(&self) -> usize {
        record_size(BODY_HEADER + self.key.len() + self.value.len())
    }

    /// Encodes the record for this offset of a segment.
    pub(crate) fn encode(&self, salt: u64, offset: u64) -> Vec<u8> {
        let mut body = self.encode_body();
        let mut bytes = Vec::with_capacity(self.size());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&body_checksum(offset, &body).to_le_bytes());
        bytes.extend_from_slice(&(salt as u32).to_le_bytes());
        let header_checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&header_checksum.to_le_bytes());
        whiten(&mut body, salt, offset);
        bytes.extend_from_slice(&body);
        bytes.resize(self.size(), TERMINATOR);
        bytes
    }

    fn encode_body(&self) -> Vec<u8> {
        let mut body = Vec::with_capacity(BODY_HEADER + self.key.len() + self.value.len());
        body.push(self.kind);
        body.push(u8::from(self.tombstone));
        body.extend_from_slice(&(self.key.len() as u16).to_le_bytes());
        body.extend_from_slice(&self.time.to_le_bytes());
        body.extend_from_slice(&self.key);
        body.extend_from_slice(&self.value);
        body
    }

    /// Decodes a body whose checksum was verified. Returns `None` if the key length exceeds the body.
    fn decode_body(mut body: Vec<u8>) -> Option<Self> {
        let key_length = usize::from(u16::from_le_bytes([body[2], body[3]]));
        if BODY_HEADER + key_length > body.len() {
            return None;
        }
        let value = body.split_off(BODY_HEADER + key_length);
        let key = body.split_off(BODY_HEADER);
        Some(Self { kind: body[0], tombstone: body[1] != 0, time: read_u64(&body, 4), key, value })
    }
}

/// Returns the number of bytes that a record with a body of this length occupies.
fn record_size(body_length: usize) -> usize {
    (RECORD_HEADER + body_length + 1).next_multiple_of(ALIGN)
}

/// Computes the checksum of a body. It includes the offset, so that a copy of a record at another offset is not valid.
fn body_checksum(offset: u64, body: &[u8]) -> u32 {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&offset.to_le_bytes());
    checksum.update(body);
    checksum.finalize()
}

/// Decodes the record at an offset of a segment. `segment` holds all bytes of the segment. Bytes that are
/// not a valid record are damage, unless an interrupted write can have left them.
pub(crate) fn decode(segment: &[u8], offset: usize, salt: u64) -> Decoded {
    let rest = segment.get(offset..).unwrap_or_default();
    let Some(header) = rest.get(..RECORD_HEADER) else { return Decoded::End };
    if is_zero(header) {
        return Decoded::End;
    }
    if !is_record_header(header, salt) {
        return if ends_complete(segment) { Decoded::Damage("invalid record header") } else { Decoded::End };
    }
    let body_length = read_u32(header, BODY_LENGTH_AT) as usize;
    if !(BODY_HEADER..=MAX_RECORD_LENGTH + BODY_HEADER).contains(&body_length) {
        return Decoded::Damage("invalid record length");
    }
    let size = record_size(body_length);
    let Some(bytes) = rest.get(..size) else {
        return Decoded::Damage("a record extends beyond the end of the segment");
    };
    match decode_record(bytes, offset, salt) {
        Some(record) => Decoded::Record { record, size },
        None if has_unwritten_sector(segment, offset, size) || !ends_complete(segment) => Decoded::End,
        None => Decoded::Damage("invalid record"),
    }
}

fn is_record_header(header: &[u8], salt: u64) -> bool {
    crc32fast::hash(&header[..HEADER_CHECKSUM_AT]) == read_u32(header, HEADER_CHECKSUM_AT)
        && read_u32(header, RECORD_SALT_AT) == salt as u32
}

/// Decodes a record from all of its bytes. Returns `None` if they differ from what was written.
fn decode_record(bytes: &[u8], offset: usize, salt: u64) -> Option<Record> {
    let (header, rest) = bytes.split_at(RECORD_HEADER);
    let (body, padding) = rest.split_at(read_u32(header, BODY_LENGTH_AT) as usize);
    let mut body = body.to_vec();
    whiten(&mut body, salt, offset as u64);
    let is_padded = padding.iter().all(|byte| *byte == TERMINATOR);
    if body_checksum(offset as u64, &body) != read_u32(header, BODY_CHECKSUM_AT) || !is_padded {
        return None;
    }
    Record::decode_body(body)
}

/// Whether a sector of the record was never written, which means that the record was never committed.
fn has_unwritten_sector(segment: &[u8], offset: usize, size: usize) -> bool {
    let first = offset / SECTOR * SECTOR;
    (first..offset + size).step_by(SECTOR).any(|sector| {
        let from = sector.max(offset + RECORD_HEADER);
        let to = (sector + SECTOR).min(offset + size);
        to > from && is_zero(&segment[from..to])
    })
}

/// Whether the last write to a segment was completed, in which case the last byte that is not zero is a record's
/// terminator. One flipped bit in the terminator is tolerated.
fn ends_complete(segment: &[u8]) -> bool {
    let last = segment.iter().rposition(|byte| *byte != 0);
    last.is_some_and(|at| at % ALIGN == ALIGN - 1 && segment[at].count_ones() >= 7)
}

/// XORs bytes with a pseudorandom sequence; a second call restores them. Without this, a run of zeros in a record would
/// look like a sector that was never written.
fn whiten(bytes: &mut [u8], salt: u64, offset: u64) {
    let mut state = salt ^ offset.wrapping_mul(MIXING_MULTIPLIER) | 1;
    for chunk in bytes.chunks_mut(8) {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        for (byte, mask) in chunk.iter_mut().zip(state.to_le_bytes()) {
            *byte ^= mask;
        }
    }
}

/// Encodes the header of a segment.
pub(crate) fn encode_segment_header(number: u64, salt: u64) -> [u8; SEGMENT_HEADER] {
    let mut header = [0; SEGMENT_HEADER];
    header[..4].copy_from_slice(SEGMENT_MAGIC);
    header[4..6].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header[8..16].copy_from_slice(&number.to_le_bytes());
    header[16..24].copy_from_slice(&salt.to_le_bytes());
    let checksum = crc32fast::hash(&header[..SEGMENT_CHECKSUM_AT]);
    header[SEGMENT_CHECKSUM_AT..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Verifies the header of a segment and returns its salt.
pub(crate) fn decode_segment_header(file: &str, header: &[u8], number: u64) -> Result<u64, StoreError> {
    if header.len() < SEGMENT_HEADER || &header[..4] != SEGMENT_MAGIC {
        return Err(damaged(file, 0, "not a segment file"));
    }
    check_format_version(file, header)?;
    if crc32fast::hash(&header[..SEGMENT_CHECKSUM_AT]) != read_u32(header, SEGMENT_CHECKSUM_AT) {
        return Err(damaged(file, 0, "segment header checksum mismatch"));
    }
    if read_u64(header, 8) != number {
        return Err(damaged(file, 8, "the segment number differs from the file name"));
    }
    Ok(read_u64(header, 16))
}

/// Rejects another version of the format. This is checked before the checksum, whose position may differ in another
/// version.
fn check_format_version(file: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let found = u16::from_le_bytes([bytes[4], bytes[5]]);
    if found == FORMAT_VERSION {
        Ok(())
    } else {
        Err(StoreError::FormatVersion { file: file.to_owned(), found })
    }
}

/// Encodes a manifest.
pub(crate) fn encode_manifest(manifest: &Manifest) -> Vec<u8> {
    let mut bytes = MANIFEST_MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(manifest.segments.len() as u16).to_le_bytes());
    bytes.extend_from_slice(&manifest.number.to_le_bytes());
    bytes.extend_from_slice(&manifest.segment_size.to_le_bytes());
    // Checkpoints are numbered from 1; 0 stands for none.
    let checkpoint = manifest.checkpoint.unwrap_or(CheckpointEntry { number: 0, covers: 0 });
    bytes.extend_from_slice(&checkpoint.number.to_le_bytes());
    bytes.extend_from_slice(&checkpoint.covers.to_le_bytes());
    for segment in &manifest.segments {
        bytes.extend_from_slice(&segment.number.to_le_bytes());
        bytes.extend_from_slice(&segment.used.to_le_bytes());
    }
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Verifies and decodes a manifest.
pub(crate) fn decode_manifest(file: &str, bytes: &[u8]) -> Result<Manifest, StoreError> {
    let not_a_manifest = || damaged(file, 0, "not a manifest");
    let (body, checksum) = bytes.split_last_chunk::<4>().ok_or_else(not_a_manifest)?;
    if body.len() < MANIFEST_HEADER || &body[..4] != MANIFEST_MAGIC {
        return Err(not_a_manifest());
    }
    check_format_version(file, body)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(damaged(file, 0, "manifest checksum mismatch"));
    }
    let count = usize::from(u16::from_le_bytes([body[6], body[7]]));
    if body.len() != MANIFEST_HEADER + MANIFEST_ENTRY * count || count == 0 {
        return Err(damaged(file, 6, "the manifest's length differs from its number of segments"));
    }
    let entries = body[MANIFEST_HEADER..].chunks_exact(MANIFEST_ENTRY);
    let segment = |entry: &[u8]| SegmentEntry { number: read_u64(entry, 0), used: read_u64(entry, 8) };
    let checkpoint = CheckpointEntry { number: read_u64(body, 24), covers: read_u64(body, 32) };
    Ok(Manifest {
        number: read_u64(body, 8),
        segment_size: read_u64(body, 16),
        segments: entries.map(segment).collect(),
        checkpoint: Some(checkpoint).filter(|checkpoint| checkpoint.number > 0),
    })
}

fn is_zero(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}
