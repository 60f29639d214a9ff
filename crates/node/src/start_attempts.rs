//! Detects starts that crash while they read the same stored files. A start records an attempt before it reads the files,
//! and clears the count once it has read them. After [`MAX_FAILED_STARTS`] attempts the caller quarantines the files: it
//! moves them into a subfolder, unchanged.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// The number of consecutive starts that may crash while they read the files, before the files are quarantined.
pub const MAX_FAILED_STARTS: u32 = 3;
/// The file that holds the number of attempts since the last successful one, as decimal digits.
const FILE_NAME: &str = "tries";

/// Records an attempt to read this folder. Returns the number of earlier attempts that were not cleared.
///
/// # Errors
///
/// Returns the I/O error if the count cannot be written.
pub fn record_attempt(folder: &Path) -> io::Result<u32> {
    let path = folder.join(FILE_NAME);
    let earlier = fs::read_to_string(&path).ok().and_then(|t| t.trim().parse().ok()).unwrap_or(0);
    let mut file = File::create(path)?;
    write!(file, "{}", earlier + 1)?;
    file.sync_all()?;
    Ok(earlier)
}

/// Clears the count. Called once the folder was read, or could not be read because of an error: neither is a crash.
pub fn clear_attempts(folder: &Path) {
    let _ = fs::remove_file(folder.join(FILE_NAME));
}

/// Moves the files whose names `should_move` selects into a new subfolder. Returns the path of the subfolder.
///
/// # Errors
///
/// Returns the I/O error if the subfolder cannot be created or a file cannot be moved.
pub fn quarantine_files(folder: &Path, should_move: impl Fn(&str) -> bool) -> io::Result<PathBuf> {
    let free = (1..).map(|n| folder.join(format!("set-aside-{n}"))).find(|p| !p.exists());
    let quarantine = free.ok_or_else(|| io::Error::other("no free folder name is left"))?;
    fs::create_dir(&quarantine)?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        if entry.file_type()?.is_file() && should_move(&name.to_string_lossy()) {
            fs::rename(entry.path(), quarantine.join(name))?;
        }
    }
    File::open(folder)?.sync_all()?;
    Ok(quarantine)
}
