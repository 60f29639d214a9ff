//! The configuration of a store, and the types of its operations and results.

/// The limits on a store's size, and the rules by which it drops records.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The size of a segment, in bytes. An existing store keeps the size that it was created with.
    pub segment_size: u64,
    /// The size of all segments, in bytes. When a commit exceeds it, the oldest segments are cleaned: what is still needed of
    /// them is appended again, and they are removed.
    pub budget: u64,
    /// The kinds whose records expire. Records of other kinds never expire.
    pub retention: Vec<Retention>,
    /// The kinds whose records may be dropped before they expire, oldest segment first, when the store exceeds its
    /// budget.
    pub evictable_kinds: Vec<u8>,
    /// Whether every commit is synced. Without a sync, a commit survives a kill of the process but may be lost in a
    /// power failure.
    pub sync: bool,
    /// The largest number of sealed segments that the checkpoint does not cover. With more, another checkpoint is
    /// written.
    pub max_uncovered_segments: usize,
}

/// How long records of one kind are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// The kind of record.
    pub kind: u8,
    /// How long after its time a record is kept, in the unit of that time.
    pub duration: u64,
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

/// Whether a store is created or must exist already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenMode {
    /// Creates a store; fails if there is one already.
    Create,
    /// Opens the existing store; fails if there is none.
    Existing,
}

/// Whether records of evictable kinds are dropped when a segment is cleaned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// They are dropped, because the store exceeds its budget.
    Allowed,
    /// They are kept until they expire.
    Forbidden,
}

/// One operation of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Stores a value, replacing an existing value of the key.
    Put {
        /// The kind of record. Each kind has its own namespace of keys.
        kind: u8,
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// The time of the record, from which its retention is counted.
        at: u64,
    },
    /// Removes a key.
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

/// The size of a store, and counters since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// The number of stored records.
    pub records: usize,
    /// The number of segments.
    pub segments: usize,
    /// The size of all segments, in bytes.
    pub bytes: u64,
    /// Bytes of the keys and values in commits.
    pub committed_bytes: u64,
    /// Bytes that were written to the disk, including headers, padding, checkpoints and compaction.
    pub written_bytes: u64,
    /// The number of syncs of files.
    pub syncs: u64,
    /// The number of segments that were cleaned.
    pub cleaned: u64,
    /// The number of records that were dropped before they expired, because the store exceeded its budget.
    pub evicted: u64,
}

/// A damaged part of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub file: String,
    /// The offset in the file.
    pub offset: u64,
    /// What is damaged.
    pub reason: String,
}
