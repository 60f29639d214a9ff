//! The disk operations that a store needs, as a trait, so that tests can substitute a faulty disk.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};

/// A folder of files. The content of a file is durable once the file is synced; the creation, renaming or removal of a
/// file is durable once the folder is synced.
///
/// Every method fails with the file system's error.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Errors of the file system, as in the other methods.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the length of a file.
    fn length(&self, name: &str) -> io::Result<u64>;
    /// Reads `length` bytes from the offset `at` on, or fewer at the end of the file.
    fn read(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Creates a file of `length` zeros, replacing an existing file of this name.
    fn create(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Writes bytes to the offset `at` of a file.
    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names of all files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// The file by which a process locks a folder. It is not part of the store.
const LOCK_FILE: &str = "lock";

/// A folder of the file system, which one process at a time can open.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The files that are open for writing.
    open: HashMap<String, File>,
    /// Holds the lock on the folder as long as it is open.
    _lock: File,
}

impl Folder {
    /// Locks a folder. It is created if it is missing.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if another process has locked the folder; errors of the file system.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), open: HashMap::new(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                Err(io::Error::new(io::ErrorKind::WouldBlock, "another process has locked this folder"))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Returns a file, open for writing.
    fn writer(&mut self, name: &str) -> io::Result<&File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().write(true).open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get(name).ok_or(io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE && entry.file_type()?.is_file() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path.join(name))?.len())
    }

    fn read(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let available = usize::try_from(file.metadata()?.len().saturating_sub(at)).unwrap_or(usize::MAX);
        let mut bytes = vec![0; length.min(available)];
        file.read_exact_at(&mut bytes, at)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = OpenOptions::new().create(true).truncate(true).write(true).open(self.path.join(name))?;
        // The zeros are written rather than left as a hole, so that later writes neither change the length nor allocate
        // space.
        let zeros = [0; 64 * 1024];
        let mut at = 0;
        while at < length {
            let chunk = zeros.len().min(usize::try_from(length - at).unwrap_or(zeros.len()));
            file.write_all_at(&zeros[..chunk], at)?;
            at += chunk as u64;
        }
        self.open.insert(name.to_owned(), file);
        Ok(())
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.writer(name)?.write_all_at(bytes, at)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.writer(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(to);
        if let Some(file) = self.open.remove(from) {
            self.open.insert(to.to_owned(), file);
        }
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
