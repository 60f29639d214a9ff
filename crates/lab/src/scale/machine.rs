//! What this machine has, and what a process of it uses, as `/proc` tells.

use std::fs;
use std::io;

use rustix::process::{Resource, getrlimit};
use serde::Serialize;

/// Clock ticks a second in `/proc/PID/stat`: 100 on every Linux that this runs on.
const TICKS_PER_SECOND: f64 = 100.0;
/// In `/proc/PID/stat`, counted from after the program's name: processor time of the program and of the kernel for it.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    pub processor_s: f64,
    pub resident_bytes: u64,
    pub threads: u64,
    pub descriptors: u64,
}

/// What there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Machine {
    pub memory_bytes: u64,
    /// Open descriptors that a process may have.
    pub descriptors: u64,
    pub cores: usize,
}

fn unclear(what: &str) -> io::Error {
    io::Error::other(format!("/proc: no {what}"))
}

/// A figure in a file such as `/proc/meminfo`, as it stands there.
fn figure(text: &str, key: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(':'));
    let word = line.and_then(|l| l.split_whitespace().next());
    word.and_then(|w| w.parse().ok()).ok_or_else(|| unclear(key))
}

impl Machine {
    /// # Errors
    ///
    /// The system does not tell.
    pub fn read() -> io::Result<Self> {
        let memory = fs::read_to_string("/proc/meminfo")?;
        let memory_bytes = figure(&memory, "MemTotal")? * 1024;
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let cores = std::thread::available_parallelism()?.get();
        Ok(Self { memory_bytes, descriptors, cores })
    }
}

impl Usage {
    /// # Errors
    ///
    /// There is no such process.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, behind_name) = stat.rsplit_once(')').ok_or_else(|| unclear("stat"))?;
        let fields: Vec<&str> = behind_name.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
        let user = ticks(USER_TIME).ok_or_else(|| unclear("processor time"))?;
        let system = ticks(SYSTEM_TIME).ok_or_else(|| unclear("processor time"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            processor_s: (user + system) / TICKS_PER_SECOND,
            resident_bytes: figure(&status, "VmRSS")? * 1024,
            threads: figure(&status, "Threads")?,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64,
        })
    }

    /// Of this process.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn own() -> io::Result<Self> {
        Self::of(std::process::id())
    }
}
