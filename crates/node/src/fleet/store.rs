//! Durable storage of a single record, in a folder that one process locks at a time. The record is JSON with a format
//! version, stored in an embedded database.

use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt as _;
use std::path::Path;

use redb::{Database, ReadableDatabase as _, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the format of the stored record.
const FORMAT_VERSION: u32 = 1;
/// The only table of the database.
const TABLE: TableDefinition<u8, &[u8]> = TableDefinition::new("record");
/// The key of the only record in the table.
const RECORD_KEY: u8 = 0;
const FILE_NAME: &str = "state.redb";

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
    /// The record has this other format version.
    #[error("format version {0}, but this program reads version {FORMAT_VERSION}")]
    FormatVersion(u32),
    /// The record belongs to this other process.
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

/// The identity of a file, stored as an array of the three numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct FileIdentity {
    /// The number of the device.
    pub device: u64,
    /// The inode number, which may be reused after the file was deleted.
    pub inode: u64,
    /// The creation time in nanoseconds, which distinguishes files with the same inode number; 0 if the file system does
    /// not report it.
    pub created_at: u64,
}

impl From<(u64, u64, u64)> for FileIdentity {
    fn from((device, inode, created_at): (u64, u64, u64)) -> Self {
        Self { device, inode, created_at }
    }
}

impl From<FileIdentity> for (u64, u64, u64) {
    fn from(identity: FileIdentity) -> Self {
        (identity.device, identity.inode, identity.created_at)
    }
}

/// Returns whether both identities are of the same file. Where the creation time is known, the device is not compared,
/// because a restart of the machine may give the device another number.
#[must_use]
pub fn same_file(one: &FileIdentity, other: &FileIdentity) -> bool {
    (one.inode, one.created_at) == (other.inode, other.created_at)
        && (one.created_at > 0 || one.device == other.device)
}

/// Reads the identity of a file.
pub(crate) fn file_identity(path: &Path) -> io::Result<FileIdentity> {
    let meta = fs::metadata(path)?;
    let created = meta.created().ok().and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok());
    let created_at = created.map_or(0, |at| at.as_nanos() as u64);
    Ok(FileIdentity { device: meta.dev(), inode: meta.ino(), created_at })
}

/// The stored record with its format version, owner and file. The names of the fields in the file are the format.
#[derive(Serialize, Deserialize)]
struct StoredRecord<T> {
    #[serde(rename = "form")]
    format_version: u32,
    owner: String,
    /// The file that the record was written to, by which a copy is detected.
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
    /// The number of writes that succeed before all others fail; `None` unless a test injects this fault.
    successful_writes_left: Option<u32>,
}

/// Returns the number of writes that succeed before all others fail, if a test injects a fault such as
/// `disk-full-after=3`.
fn injected_write_limit() -> Option<u32> {
    super::injected_fault()?.strip_prefix("disk-full-after=")?.parse().ok()
}

impl RecordStore {
    /// Opens an existing store. `owner` names the process that the record belongs to.
    ///
    /// # Errors
    ///
    /// The folder is locked or not accessible, or there is no store in it.
    pub fn open(folder: &Path, owner: &str) -> Result<Self, StoreError> {
        Self::open_or_create(folder, owner, false)
    }

    /// Creates a store without a record. `owner` names the process that the record will belong to.
    ///
    /// # Errors
    ///
    /// The folder is locked or not accessible, or there is a store in it already.
    pub fn create(folder: &Path, owner: &str) -> Result<Self, StoreError> {
        Self::open_or_create(folder, owner, true)
    }

    fn open_or_create(folder: &Path, owner: &str, new: bool) -> Result<Self, StoreError> {
        fs::create_dir_all(folder)?;
        let lock = File::create(folder.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        let path = folder.join(FILE_NAME);
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
        Ok(Self { database, owner, file, _lock: lock, successful_writes_left: injected_write_limit() })
    }

    /// Loads the record that was saved last; `None` if none was saved.
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
        let Some(bytes) = table.get(RECORD_KEY).map_err(redb::Error::from)? else { return Ok(None) };
        let damaged = |e: serde_json::Error| StoreError::Damaged(e.to_string());
        let FormatVersion { format_version } = serde_json::from_slice(bytes.value()).map_err(damaged)?;
        if format_version != FORMAT_VERSION {
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
    /// The record may or may not be durable.
    pub fn save<T: Serialize>(&mut self, record: &T) -> Result<(), StoreError> {
        if let Some(left) = &mut self.successful_writes_left {
            if *left == 0 {
                return Err(io::Error::from(io::ErrorKind::StorageFull).into());
            }
            *left -= 1;
        }
        let stored = StoredRecord {
            format_version: FORMAT_VERSION,
            owner: self.owner.clone(),
            file: self.file,
            record,
        };
        let bytes = serde_json::to_vec(&stored).map_err(|e| StoreError::Damaged(e.to_string()))?;
        let write = self.database.begin_write().map_err(redb::Error::from)?;
        write
            .open_table(TABLE)
            .map_err(redb::Error::from)?
            .insert(RECORD_KEY, bytes.as_slice())
            .map_err(redb::Error::from)?;
        write.commit().map_err(redb::Error::from)?;
        Ok(())
    }
}
