//! The resources of this machine, and the resource usage of its processes, as reported by `/proc`.

use std::fs;
use std::io;

use rustix::process::{Resource, getrlimit};
use serde::Serialize;

/// Clock ticks per second in `/proc/PID/stat`: 100 on every Linux platform that this program supports.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields of `/proc/PID/stat` that follow the program's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among these fields.
const SYSTEM_TIME_FIELD: usize = 12;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// User and system time since the start of the process.
    pub processor_s: f64,
    pub resident_bytes: u64,
    pub threads: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// Resources of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Machine {
    pub memory_bytes: u64,
    /// Maximum number of open file descriptors of a process.
    pub descriptors: u64,
    /// Number of threads that the machine runs in parallel.
    pub cores: usize,
}

fn missing(field: &str) -> io::Error {
    io::Error::other(format!("/proc: {field} is missing or not a number"))
}

/// Returns the number of a key in a file such as `/proc/meminfo`, in the unit of the file.
fn number_of(text: &str, key: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(':'));
    let word = line.and_then(|l| l.split_whitespace().next());
    word.and_then(|w| w.parse().ok()).ok_or_else(|| missing(key))
}

impl Machine {
    /// Reads the resources of this machine.
    ///
    /// # Errors
    ///
    /// Returns an error if `/proc` or the number of cores cannot be read.
    pub fn read() -> io::Result<Self> {
        let memory = fs::read_to_string("/proc/meminfo")?;
        let memory_bytes = number_of(&memory, "MemTotal")? * 1024;
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let cores = std::thread::available_parallelism()?.get();
        Ok(Self { memory_bytes, descriptors, cores })
    }
}

impl Usage {
    /// Reads the resource usage of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process, or if `/proc` cannot be read.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, after_name) = stat.rsplit_once(')').ok_or_else(|| missing("stat"))?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
        let user = ticks(USER_TIME_FIELD).ok_or_else(|| missing("processor time"))?;
        let system = ticks(SYSTEM_TIME_FIELD).ok_or_else(|| missing("processor time"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            processor_s: (user + system) / TICKS_PER_SECOND,
            resident_bytes: number_of(&status, "VmRSS")? * 1024,
            threads: number_of(&status, "Threads")?,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64,
        })
    }

    /// Reads the resource usage of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if `/proc` cannot be read.
    pub fn own() -> io::Result<Self> {
        Self::of(std::process::id())
    }
}
