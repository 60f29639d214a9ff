//! Locates the preloaded library that makes a process's system calls fail (`crates/shim`).

use std::io;
use std::path::PathBuf;

/// The environment variable that lists libraries to load before all others.
pub const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
/// The environment variable with the plan of failures.
pub const PLAN_VARIABLE: &str = "LINESTACK_SHIM";

const LIBRARY_NAME: &str = "liblinestack_shim.so";

/// Returns the path of the built library: in the folder of this program, in its `deps`, or in the parent folder, since
/// test programs are in `deps` themselves.
///
/// # Errors
///
/// The library has not been built.
pub fn library_path() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().ok_or(io::Error::other("the program's path has no parent folder"))?;
    let parent = folder.parent().unwrap_or(folder);
    let candidates =
        [folder.join(LIBRARY_NAME), folder.join("deps").join(LIBRARY_NAME), parent.join(LIBRARY_NAME)];
    let found = candidates.into_iter().find(|path| path.exists());
    found.ok_or_else(|| {
        io::Error::other(format!("{LIBRARY_NAME} not found; build it with `cargo build --workspace`"))
    })
}
