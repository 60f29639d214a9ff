//! The preloaded library that fails a process's system calls (`crates/shim`).

use std::io;
use std::path::PathBuf;

/// The variable that names libraries to load before all others.
pub const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
/// The variable that holds the plan of what fails.
pub const PLAN_VARIABLE: &str = "LINESTACK_SHIM";

const NAME: &str = "liblinestack_shim.so";

/// Where the library was built: beside this program, or above or below it as tests lie.
///
/// # Errors
///
/// It is not there: it wants to be built first.
pub fn library_path() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().ok_or(io::Error::other("a program without a folder"))?;
    let above = folder.parent().unwrap_or(folder);
    let places = [folder.join(NAME), folder.join("deps").join(NAME), above.join(NAME)];
    let found = places.into_iter().find(|place| place.exists());
    found.ok_or_else(|| io::Error::other(format!("{NAME}: not there; `cargo build --workspace` makes it")))
}
