//! Starts that die at the same place: what is read then is set aside after some, its bytes kept. A start counts itself
//! before it reads what may kill it, and takes that back when it has.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

const FILE: &str = "tries";

/// Counts a try in this folder. Returns how many before it did not come back.
///
/// # Errors
///
/// The system's.
pub fn record_attempt(folder: &Path) -> io::Result<u32> {
    let path = folder.join(FILE);
    let before = fs::read_to_string(&path).ok().and_then(|t| t.trim().parse().ok()).unwrap_or(0);
    let mut file = File::create(path)?;
    write!(file, "{}", before + 1)?;
    file.sync_all()?;
    Ok(before)
}

/// What was read did no harm, or was refused in good order.
pub fn clear_attempts(folder: &Path) {
    let _ = fs::remove_file(folder.join(FILE));
}

/// Moves the files of these names' kinds into a folder of their own beside them. Returns where they are now.
///
/// # Errors
///
/// The system's.
pub fn quarantine_files(folder: &Path, moves: impl Fn(&str) -> bool) -> io::Result<PathBuf> {
    let free = (1..).map(|n| folder.join(format!("set-aside-{n}"))).find(|p| !p.exists());
    let aside = free.ok_or_else(|| io::Error::other("no name is left"))?;
    fs::create_dir(&aside)?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        if entry.file_type()?.is_file() && moves(&name.to_string_lossy()) {
            fs::rename(entry.path(), aside.join(name))?;
        }
    }
    File::open(folder)?.sync_all()?;
    Ok(aside)
}
