//! What a store can fail with.

use std::io;

use thiserror::Error;

use crate::format::{FORMAT_VERSION, MAX_RECORD_LENGTH};

/// Why a store can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file system's error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file is not as it was written.
    #[error("{file}: damaged at byte {offset}: {reason}")]
    Damaged {
        /// The file.
        file: String,
        /// The offset of the damage.
        offset: u64,
        /// What is damaged.
        reason: &'static str,
    },
    /// A file has another format version.
    #[error("{file}: of form {found}, and this reads {FORMAT_VERSION}")]
    FormatVersion {
        /// The file.
        file: String,
        /// Its format version.
        found: u16,
    },
    /// There is no store in the folder.
    #[error("there is no store here")]
    Missing,
    /// There is a store in the folder, where none was expected.
    #[error("there is a store here already")]
    AlreadyExists,
    /// A record is too large; the bytes of its key and value.
    #[error("a record of {0} bytes, {MAX_RECORD_LENGTH} at most")]
    TooLarge(usize),
    /// A write or a sync failed before. What is on the disk is not known, so the store takes nothing more.
    #[error("the store has failed")]
    Failed,
}

/// A [`StoreError::Damaged`].
pub(crate) fn damaged(file: &str, offset: u64, reason: &'static str) -> StoreError {
    StoreError::Damaged { file: file.to_owned(), offset, reason }
}
