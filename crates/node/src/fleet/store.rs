//! Durable storage of a single record, in a folder that one process locks at a time. The record is JSON with a format
//! version, kept in an embedded database.

use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt as _;
use std::path::Path;

use redb::{Database, ReadableDatabase as _, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the format of the stored record.
const VERSION: u32 = 1;
const TABLE: TableDefinition<u8, &[u8]> = TableDefinition::new("record");
const RECORD: u8 = 0;
const FILE: &str = "state.redb";

/// Why a record can't be opened, loaded or saved.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has locked the folder.
    #[error("another process holds this folder")]
    Locked,
    /// The folder has no store.
    #[error("there is no store here")]
    Missing,
    /// The folder has a store, and a new one was to be created.
    #[error("there is a store here already")]
    AlreadyExists,
    /// The record was written to another file, of which this one is a copy.
    #[error(
        "the file is not the one that was written here: it was copied or restored, and may be older than promises made since"
    )]
    Copied,
    /// The record has another format version.
    #[error("format version {0}, but this program reads version {VERSION}")]
    FormatVersion(u32),
    /// The record belongs to another process, which is given.
    #[error("the store belongs to {0}, not to this process")]
    WrongOwner(String),
    /// The record, the database, or the file that a first record is made from can't be read.
    #[error("can't be read: {0}")]
    Damaged(String),
    /// An error of the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::Io(error) => Self::Io(error),
            other => Self::Damaged(other.to_string()),
        }
    }
}

/// The identity of a file: its device, its inode number, and its creation time in nanoseconds, 0 where the file system
/// does not tell it. The creation time is needed because inode numbers are reused.
pub(crate) type FileIdentity = (u64, u64, u64);

/// Whether both identities are of one file. Where the creation time is known, the device is not compared, because a
/// restart of the machine may give the device another number.
#[must_use]
pub fn same_file(one: &FileIdentity, other: &FileIdentity) -> bool {
    (one.1, one.2) == (other.1, other.2) && (one.2 > 0 || one.0 == other.0)
}

/// Reads the identity of a file.
pub(crate) fn file_identity(path: &Path) -> io::Result<FileIdentity> {
    let meta = fs::metadata(path)?;
    let created = meta.created().ok().and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok());
    Ok((meta.dev(), meta.ino(), created.map_or(0, |at| at.as_nanos() as u64)))
}

/// The record with what identifies it. The names of the fields in the file are the format.
#[derive(Serialize, Deserialize)]
struct StoredRecord<T> {
    #[serde(rename = "form")]
    format_version: u32,
    owner: String,
    /// The file that this was written to, by which a copy is detected.
    file: FileIdentity,
    record: T,
}

/// The format version alone, which is read before the rest is parsed.
#[derive(Deserialize)]
struct FormatVersion {
    #[serde(rename = "form")]
    format_version: u32,
}

/// An open store of one record.
pub struct RecordStore {
    database: Database,
    owner: String,
    file: FileIdentity,
    /// Locked for as long as the store is open.
    _lock: File,
    /// How many writes are left before one fails, if a test injects that.
    writes_left: Option<u32>,
}

/// Returns the number of writes after which they fail, if a test has injected a fault such as `disk-full-after=3`.
fn fails_after() -> Option<u32> {
    super::injected_fault()?.strip_prefix("disk-full-after=")?.parse().ok()
}

impl RecordStore {
    /// Opens the existing store, or creates one if `new`. `owner` names the process that the record belongs to.
    ///
    /// # Errors
    ///
    /// The folder is locked or not accessible, there is no store, or there is one although `new`.
    pub fn open(folder: &Path, owner: &str, new: bool) -> Result<Self, StoreError> {
        fs::create_dir_all(folder)?;
        let lock = File::create(folder.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        let path = folder.join(FILE);
        match (path.exists(), new) {
            (false, false) => return Err(StoreError::Missing),
            (true, true) => return Err(StoreError::AlreadyExists),
            _ => {}
        }
        let database = Database::create(&path).map_err(redb::Error::from)?;
        if new {
            // The entry in the folder must be as durable as the file.
            File::open(folder)?.sync_all()?;
        }
        let file = file_identity(&path)?;
        let owner = owner.to_owned();
        Ok(Self { database, owner, file, _lock: lock, writes_left: fails_after() })
    }

    /// Loads the record that was saved last, if there is one.
    ///
    /// # Errors
    ///
    /// The record belongs to another process, is a copy, has another format version, or is damaged.
    pub fn load<T: DeserializeOwned>(&self) -> Result<Option<T>, StoreError> {
        let read = self.database.begin_read().map_err(redb::Error::from)?;
        let table = match read.open_table(TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(redb::Error::from(error).into()),
        };
        let Some(bytes) = table.get(RECORD).map_err(redb::Error::from)? else { return Ok(None) };
        let damaged = |e: serde_json::Error| StoreError::Damaged(e.to_string());
        let FormatVersion { format_version } = serde_json::from_slice(bytes.value()).map_err(damaged)?;
        if format_version != VERSION {
            return Err(StoreError::FormatVersion(format_version));
        }
        let stored: StoredRecord<T> = serde_json::from_slice(bytes.value()).map_err(damaged)?;
        if stored.owner != self.owner {
            return Err(StoreError::WrongOwner(stored.owner));
        }
        if !same_file(&stored.file, &self.file) {
            return Err(StoreError::Copied);
        }
        Ok(Some(stored.record))
    }

    /// Saves the record, and returns when it is durable.
    ///
    /// # Errors
    ///
    /// The record may or may not be durable; the caller must rely on neither.
    pub fn save<T: Serialize>(&mut self, record: &T) -> Result<(), StoreError> {
        if let Some(left) = &mut self.writes_left {
            if *left == 0 {
                return Err(io::Error::from(io::ErrorKind::StorageFull).into());
            }
            *left -= 1;
        }
        let stored =
            StoredRecord { format_version: VERSION, owner: self.owner.clone(), file: self.file, record };
        let bytes = serde_json::to_vec(&stored).map_err(|e| StoreError::Damaged(e.to_string()))?;
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
