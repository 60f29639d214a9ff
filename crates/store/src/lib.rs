//! A small embedded store of records: append-only segments with checksums, an index in memory, checkpoints of the
//! index, and compaction.
//!
//! Once [`Store::commit`] has returned, its records are durable, even if the process is killed or the power fails. Any
//! bytes that can't be distinguished from damage are reported, never skipped. The file format is in `docs/store.md`.
//!
//! The store reads and writes through [`Disk`]; [`Folder`] implements it for the file system.

#![warn(missing_docs)]

mod disk;
mod error;
mod format;
mod segment;
mod store;
mod types;

pub use disk::{Disk, Folder};
pub use error::StoreError;
pub use format::{FORMAT_VERSION, MAX_RECORD_LENGTH};
pub use store::{Store, repair};
pub use types::{Damage, Entry, Eviction, Limits, Op, OpenMode, Retention, Stats};
