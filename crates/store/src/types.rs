//! What a store is configured with, takes and returns.

/// How large a store may become, and what it may drop.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The size of a segment, in bytes.
    pub segment_size: u64,
    /// The size of all segments, in bytes. Past it, the oldest segment is cleaned before more is written.
    pub budget: u64,
    /// By kind: how long after its time a record is kept, in the unit of that time. Other kinds are kept for ever.
    pub retention: Vec<(u8, u64)>,
    /// The kinds whose oldest records are dropped if the budget is spent and no record has expired.
    pub evictable_kinds: Vec<u8>,
    /// Sync every commit. Without it a commit survives a kill of the process, and may be lost in a power cut.
    pub sync: bool,
    /// The number of sealed segments past the checkpoint from which on another checkpoint is written.
    pub max_uncovered_segments: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_size: 4 << 20,
            budget: 256 << 20,
            retention: Vec::new(),
            evictable_kinds: Vec::new(),
            sync: true,
            max_uncovered_segments: 8,
        }
    }
}

/// One operation of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Store a value, in place of any that the key has.
    Put {
        /// The kind of record, a namespace of keys.
        kind: u8,
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// The time of the record, from which it expires.
        at: u64,
    },
    /// Remove a key.
    Remove {
        /// The kind of record.
        kind: u8,
        /// The key.
        key: Vec<u8>,
    },
}

/// A stored record without its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The kind of record.
    pub kind: u8,
    /// The key.
    pub key: Vec<u8>,
    /// The time of the record.
    pub at: u64,
}

/// The size of a store, and what it has done since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Stored records.
    pub records: usize,
    /// Segments.
    pub segments: usize,
    /// The size of all segments, in bytes.
    pub bytes: u64,
    /// Bytes of keys and values that were committed.
    pub committed_bytes: u64,
    /// Bytes that were written for them.
    pub written_bytes: u64,
    /// Syncs of files.
    pub syncs: u64,
    /// Segments that were cleaned.
    pub cleaned: u64,
    /// Records that were dropped before they expired, for want of space.
    pub evicted: u64,
}

/// A damaged place of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub file: String,
    /// The offset in it.
    pub offset: u64,
    /// What is damaged.
    pub reason: String,
}
