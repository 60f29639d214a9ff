//! What a store can fail with.

use std::io;

use thiserror::Error;

use crate::format::{FORM, LARGEST};

/// Why a store can't be opened, read or written.
#[derive(Debug, Error)]
pub enum Fault {
    /// The file system's error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file is not as it was written.
    #[error("{file}: damaged at byte {at}: {why}")]
    Damaged {
        /// The file.
        file: String,
        /// The offset of the damage.
        at: u64,
        /// What is damaged.
        why: &'static str,
    },
    /// A file has another format version.
    #[error("{file}: of form {found}, and this reads {FORM}")]
    Form {
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
    There,
    /// A record is too large; the bytes of its key and value.
    #[error("a record of {0} bytes, {LARGEST} at most")]
    Large(usize),
    /// A write or a sync failed before. What is on the disk is not known, so the store takes nothing more.
    #[error("the store has failed")]
    Failed,
}

/// A [`Fault::Damaged`].
pub(crate) fn damaged(file: &str, at: u64, why: &'static str) -> Fault {
    Fault::Damaged { file: file.to_owned(), at, why }
}
