//! A small embedded store of records: append-only segments with checksums, an index in memory, checkpoints of it, and
//! compaction.
//!
//! Once [`Store::commit`] has returned, its records last, wherever the process is killed or the power is cut. Whatever
//! can't be told apart from damage is reported, never skipped. The file format is in `docs/store.md`.
//!
//! The store reads and writes through [`Disk`]; [`Folder`] is the one of the file system.

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
pub use types::{Damage, Entry, Limits, Op, Stats};
