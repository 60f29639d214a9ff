//! The form of files, as `docs/store.md` has it. All figures stand with the little end first.

use std::io;

use thiserror::Error;

/// Of all files. Others are refused.
pub const FORM: u16 = 1;
/// Bytes of a key and a value together, at most: a list of 1,024 executors with 2 KB each. Nothing is set aside for it.
pub const LARGEST: usize = 2 << 20;
/// Records begin at multiples of this, so that no head lies across the end of a sector.
pub(crate) const ALIGN: usize = 16;
/// Of a disk: written whole or not at all, as far as a store counts on it.
pub(crate) const SECTOR: usize = 512;
pub(crate) const SEGMENT_HEAD: usize = 32;
pub(crate) const RECORD_HEAD: usize = 16;
/// The last byte of a record. What was never written is 0.
const END: u8 = 0xff;

#[derive(Debug, Error)]
pub enum Fault {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("{file}: damaged at byte {at}: {why}")]
    Damaged { file: String, at: u64, why: &'static str },
    #[error("{file}: of form {found}, and this reads {FORM}")]
    Form { file: String, found: u16 },
    #[error("there is no store here")]
    Missing,
    #[error("there is a store here already")]
    There,
    #[error("a record of {0} bytes, {LARGEST} at most")]
    Large(usize),
    /// A write or a sync failed before: what is on the disk is not known.
    #[error("the store has failed")]
    Failed,
}

pub(crate) fn damaged(file: &str, at: u64, why: &'static str) -> Fault {
    Fault::Damaged { file: file.to_owned(), at, why }
}

fn word(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn long(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

/// Bytes that stand for nothing by themselves: a stretch of zeros in a record would look like a sector that was never
/// written.
fn whiten(bytes: &mut [u8], salt: u64, at: u64) {
    let mut state = salt ^ at.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for piece in bytes.chunks_mut(8) {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        for (byte, mask) in piece.iter_mut().zip(state.to_le_bytes()) {
            *byte ^= mask;
        }
    }
}

/// A segment's head: its number and its salt.
pub(crate) fn segment_head(number: u64, salt: u64) -> [u8; SEGMENT_HEAD] {
    let mut head = [0; SEGMENT_HEAD];
    head[..4].copy_from_slice(b"LSTO");
    head[4..6].copy_from_slice(&FORM.to_le_bytes());
    head[8..16].copy_from_slice(&number.to_le_bytes());
    head[16..24].copy_from_slice(&salt.to_le_bytes());
    let sum = crc32fast::hash(&head[..28]);
    head[28..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// The salt of a segment, from its head.
pub(crate) fn read_segment_head(file: &str, head: &[u8], number: u64) -> Result<u64, Fault> {
    if head.len() < SEGMENT_HEAD || &head[..4] != b"LSTO" {
        return Err(damaged(file, 0, "no segment"));
    }
    // Told before the sum: another form may keep its sum elsewhere.
    let form = u16::from_le_bytes([head[4], head[5]]);
    if form != FORM {
        return Err(Fault::Form { file: file.to_owned(), found: form });
    }
    if crc32fast::hash(&head[..28]) != word(head, 28) {
        return Err(damaged(file, 0, "its head"));
    }
    if long(head, 8) != number {
        return Err(damaged(file, 8, "another segment"));
    }
    Ok(long(head, 16))
}

/// A record as it lies in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) kind: u8,
    pub(crate) gone: bool,
    pub(crate) at: u64,
    pub(crate) key: Vec<u8>,
    pub(crate) value: Vec<u8>,
}

/// Bytes that a record of this key and value takes.
pub(crate) fn size(key: usize, value: usize) -> usize {
    (RECORD_HEAD + 12 + key + value + 1).next_multiple_of(ALIGN)
}

/// A record's bytes, for this place in the segment.
pub(crate) fn encode(r: &Record, salt: u64, place: u64) -> Vec<u8> {
    let mut body = Vec::with_capacity(12 + r.key.len() + r.value.len());
    body.push(r.kind);
    body.push(u8::from(r.gone));
    body.extend_from_slice(&(r.key.len() as u16).to_le_bytes());
    body.extend_from_slice(&r.at.to_le_bytes());
    body.extend_from_slice(&r.key);
    body.extend_from_slice(&r.value);
    let mut bytes = Vec::with_capacity(size(r.key.len(), r.value.len()));
    // The place is in the sum: a record that lies elsewhere is none.
    let mut sum = crc32fast::Hasher::new();
    sum.update(&place.to_le_bytes());
    sum.update(&body);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&sum.finalize().to_le_bytes());
    bytes.extend_from_slice(&(salt as u32).to_le_bytes());
    let head = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&head.to_le_bytes());
    whiten(&mut body, salt, place);
    bytes.extend_from_slice(&body);
    bytes.resize(size(r.key.len(), r.value.len()), END);
    bytes
}

/// What lies at a place of a segment.
pub(crate) enum Found {
    Record(Record, usize),
    /// Nothing was written from here on, or not all of what was begun.
    End,
    Damage(&'static str),
}

/// Reads what lies at `place` of a segment that was read whole.
pub(crate) fn decode(segment: &[u8], place: usize, salt: u64) -> Found {
    let rest = segment.get(place..).unwrap_or_default();
    let Some(head) = rest.get(..RECORD_HEAD) else { return Found::End };
    if head.iter().all(|b| *b == 0) {
        return Found::End;
    }
    if crc32fast::hash(&head[..12]) != word(head, 12) || word(head, 8) != salt as u32 {
        return if complete(segment) { Found::Damage("a record's head") } else { Found::End };
    }
    let length = word(head, 0) as usize;
    let whole = (RECORD_HEAD + length + 1).next_multiple_of(ALIGN);
    if !(12..=LARGEST + 12).contains(&length) {
        return Found::Damage("a record's length");
    }
    let Some(bytes) = rest.get(..whole) else { return Found::Damage("a record beyond the end") };
    let mut body = bytes[RECORD_HEAD..RECORD_HEAD + length].to_vec();
    whiten(&mut body, salt, place as u64);
    let mut sum = crc32fast::Hasher::new();
    sum.update(&(place as u64).to_le_bytes());
    sum.update(&body);
    let key = usize::from(u16::from_le_bytes([body[2], body[3]]));
    let padded = bytes[RECORD_HEAD + length..].iter().all(|b| *b == END);
    if sum.finalize() != word(head, 4) || !padded || 12 + key > length {
        // Sectors of it that were never written tell that it was never kept.
        let sectors = (place / SECTOR * SECTOR..place + whole).step_by(SECTOR);
        let missing = sectors.into_iter().any(|at| {
            let from = at.max(place + RECORD_HEAD);
            let to = (at + SECTOR).min(place + whole);
            to > from && segment[from..to].iter().all(|b| *b == 0)
        });
        return if missing || !complete(segment) { Found::End } else { Found::Damage("a record") };
    }
    let value = body.split_off(12 + key);
    let name = body.split_off(12);
    let record = Record { kind: body[0], gone: body[1] != 0, at: long(&body, 4), key: name, value };
    Found::Record(record, whole)
}

/// Whether what was written last was written to its end: a record's last byte is hardly anything else, though a bit of
/// it may have turned.
fn complete(segment: &[u8]) -> bool {
    segment
        .iter()
        .rposition(|b| *b != 0)
        .is_some_and(|at| at % ALIGN == ALIGN - 1 && segment[at].count_ones() >= 7)
}

/// The list of what belongs to a store. It is replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Manifest {
    /// Counts its replacements.
    pub(crate) number: u64,
    pub(crate) segment_size: u64,
    /// In their order; all but the last are sealed, and have so many bytes in use.
    pub(crate) segments: Vec<(u64, u64)>,
    /// The checkpoint that there is, and up to which segment it reaches.
    pub(crate) checkpoint: Option<(u64, u64)>,
}

pub(crate) fn encode_manifest(m: &Manifest) -> Vec<u8> {
    let mut bytes = b"LSTM".to_vec();
    bytes.extend_from_slice(&FORM.to_le_bytes());
    bytes.extend_from_slice(&(m.segments.len() as u16).to_le_bytes());
    bytes.extend_from_slice(&m.number.to_le_bytes());
    bytes.extend_from_slice(&m.segment_size.to_le_bytes());
    let (checkpoint, reach) = m.checkpoint.unwrap_or((0, 0));
    bytes.extend_from_slice(&checkpoint.to_le_bytes());
    bytes.extend_from_slice(&reach.to_le_bytes());
    for (number, used) in &m.segments {
        bytes.extend_from_slice(&number.to_le_bytes());
        bytes.extend_from_slice(&used.to_le_bytes());
    }
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

pub(crate) fn decode_manifest(file: &str, bytes: &[u8]) -> Result<Manifest, Fault> {
    let Some((body, sum)) =
        bytes.split_last_chunk::<4>().filter(|(b, _)| b.len() >= 40 && &b[..4] == b"LSTM")
    else {
        return Err(damaged(file, 0, "no manifest"));
    };
    // As in a segment's head: before the sum.
    let form = u16::from_le_bytes([body[4], body[5]]);
    if form != FORM {
        return Err(Fault::Form { file: file.to_owned(), found: form });
    }
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return Err(damaged(file, 0, "its checksum"));
    }
    let count = usize::from(u16::from_le_bytes([body[6], body[7]]));
    if body.len() != 40 + 16 * count || count == 0 {
        return Err(damaged(file, 6, "its length"));
    }
    let segments = (0..count).map(|i| (long(body, 40 + 16 * i), long(body, 48 + 16 * i))).collect();
    let checkpoint = Some((long(body, 24), long(body, 32))).filter(|(number, _)| *number > 0);
    Ok(Manifest { number: long(body, 8), segment_size: long(body, 16), segments, checkpoint })
}
