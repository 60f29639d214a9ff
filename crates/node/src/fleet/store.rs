//! One record that lasts, in a folder that one process holds at a time. The form is JSON with a version, in an
//! embedded store that is durable when it says so.

use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt as _;
use std::path::Path;

use redb::{Database, ReadableDatabase as _, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Of the form of what is stored.
const VERSION: u32 = 1;
const TABLE: TableDefinition<u8, &[u8]> = TableDefinition::new("record");
const RECORD: u8 = 0;
const FILE: &str = "state.redb";

#[derive(Debug, Error)]
pub enum StoreError {
    #[error("another process holds this folder")]
    Locked,
    #[error("there is no store here")]
    Missing,
    #[error("there is a store here already")]
    AlreadyExists,
    #[error(
        "the file is not the one that was written here: it was copied or restored, and may be older than what it promised"
    )]
    Copied,
    #[error("of form {0}, and this reads {VERSION}")]
    FormatVersion(u32),
    #[error("of {0}, not of this process")]
    WrongOwner(String),
    #[error("not understood: {0}")]
    Damaged(String),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<redb::Error> for StoreError {
    fn from(why: redb::Error) -> Self {
        match why {
            redb::Error::Io(why) => Self::Io(why),
            other => Self::Damaged(other.to_string()),
        }
    }
}

/// Which file it is: its device, its number there, and when it was made. Numbers are given out again.
pub(crate) type FileIdentity = (u64, u64, u64);

/// Whether both are one file. Where it is told when a file was made its number and that say so alone: a machine that was
/// started again may have given the device another number.
#[must_use]
pub fn same_file(one: &FileIdentity, other: &FileIdentity) -> bool {
    (one.1, one.2) == (other.1, other.2) && (one.2 > 0 || one.0 == other.0)
}

pub(crate) fn file_identity(path: &Path) -> io::Result<FileIdentity> {
    let meta = fs::metadata(path)?;
    let made = meta.created().ok().and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok());
    Ok((meta.dev(), meta.ino(), made.map_or(0, |at| at.as_nanos() as u64)))
}

/// Beside the record: what it is of.
#[derive(Serialize, Deserialize)]
struct Kept<T> {
    form: u32,
    owner: String,
    /// The file that this was written into. A copy is another.
    file: FileIdentity,
    record: T,
}

#[derive(Deserialize)]
struct Form {
    form: u32,
}

pub struct RecordStore {
    database: Database,
    owner: String,
    file: FileIdentity,
    /// Held for as long as the process runs.
    _lock: File,
    /// Writes until the one that fails, in tests.
    left: Option<u32>,
}

/// Of a test's fault such as `disk-full-after=3`.
fn fails_after() -> Option<u32> {
    super::injected_fault()?.strip_prefix("disk-full-after=")?.parse().ok()
}

impl RecordStore {
    /// Opens what is there, or makes it where `new`. `owner` tells whose it is.
    ///
    /// # Errors
    ///
    /// It can't be had, or is not what it should be.
    pub fn open(folder: &Path, owner: &str, new: bool) -> Result<Self, StoreError> {
        fs::create_dir_all(folder)?;
        let lock = File::create(folder.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(why)) => return Err(why.into()),
        }
        let path = folder.join(FILE);
        match (path.exists(), new) {
            (false, false) => return Err(StoreError::Missing),
            (true, true) => return Err(StoreError::AlreadyExists),
            _ => {}
        }
        let database = Database::create(&path).map_err(redb::Error::from)?;
        if new {
            // The folder's entry must last as long as the file.
            File::open(folder)?.sync_all()?;
        }
        let file = file_identity(&path)?;
        let owner = owner.to_owned();
        Ok(Self { database, owner, file, _lock: lock, left: fails_after() })
    }

    /// What was kept last, if anything was.
    ///
    /// # Errors
    ///
    /// It is another's, a copy, of another form, or damaged.
    pub fn load<T: DeserializeOwned>(&self) -> Result<Option<T>, StoreError> {
        let read = self.database.begin_read().map_err(redb::Error::from)?;
        let table = match read.open_table(TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(why) => return Err(redb::Error::from(why).into()),
        };
        let Some(bytes) = table.get(RECORD).map_err(redb::Error::from)? else { return Ok(None) };
        let damaged = |e: serde_json::Error| StoreError::Damaged(e.to_string());
        let Form { form } = serde_json::from_slice(bytes.value()).map_err(damaged)?;
        if form != VERSION {
            return Err(StoreError::FormatVersion(form));
        }
        let kept: Kept<T> = serde_json::from_slice(bytes.value()).map_err(damaged)?;
        if kept.owner != self.owner {
            return Err(StoreError::WrongOwner(kept.owner));
        }
        if !same_file(&kept.file, &self.file) {
            return Err(StoreError::Copied);
        }
        Ok(Some(kept.record))
    }

    /// Returns when it is durable.
    ///
    /// # Errors
    ///
    /// Whether it is kept is not known; nothing may be built on either.
    pub fn save<T: Serialize>(&mut self, record: &T) -> Result<(), StoreError> {
        if let Some(left) = &mut self.left {
            if *left == 0 {
                return Err(io::Error::from(io::ErrorKind::StorageFull).into());
            }
            *left -= 1;
        }
        let kept = Kept { form: VERSION, owner: self.owner.clone(), file: self.file, record };
        let bytes = serde_json::to_vec(&kept).map_err(|e| StoreError::Damaged(e.to_string()))?;
        let write = self.database.begin_write().map_err(redb::Error::from)?;
        write
            .open_table(TABLE)
            .map_err(redb::Error::from)?
            .insert(RECORD, bytes.as_slice())
            .map_err(redb::Error::from)?;
        write.commit().map_err(redb::Error::from)?;
        Ok(())
    }
}
