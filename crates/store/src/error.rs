//! The error type of the store.

use std::io;

use thiserror::Error;

use crate::format::{FORMAT_VERSION, MAX_RECORD_LENGTH};

/// An error from opening, reading or writing a store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// An error of the file system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The content of a file differs from what was written.
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
    #[error("{file}: format version {found}, but only {FORMAT_VERSION} is supported")]
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
    /// A record is too large for the store or for one segment. Holds the length of its key and value in bytes.
    #[error("a record of {0} bytes is too large, {MAX_RECORD_LENGTH} at most are allowed")]
    TooLarge(usize),
    /// An earlier write or sync failed. The state of the disk is unknown, so the store accepts no more operations.
    #[error("an earlier write to the store failed")]
    Failed,
}

/// Creates a [`StoreError::Damaged`].
pub(crate) fn damaged(file: &str, offset: u64, reason: &'static str) -> StoreError {
    StoreError::Damaged { file: file.to_owned(), offset, reason }
}
