//! Stand-ins for clients, executors and discovery on loopback, and control of the processes under test. They follow the
//! users' pages; nothing here is part of the product.

pub mod executor;
pub mod http;
pub mod link;
pub mod platform;
pub mod settings;

use std::fs::File;
use std::io::Write as _;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The case could not run.
pub type Failure = String;

/// Locks a mutex and ignores poisoning.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps for this many milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: a line for each thing that was sent, answered or run, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file `record.txt` in the case's folder.
    pub fn create() -> Result<Self, Failure> {
        let folder = PathBuf::from(std::env::var("CASE").map_err(|_| "CASE names the case's folder")?);
        let file = File::create(folder.join("record.txt")).map_err(|e| format!("record.txt: {e}"))?;
        Ok(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    /// Writes a line.
    pub fn write(&self, text: &str) {
        let line = format!("{:9.1} ms  {text}\n", self.start.elapsed().as_secs_f64() * 1e3);
        let _ = lock(&self.file).write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Whether the disruption happens: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Runs a case and ends the process with the status that the result stands for.
pub fn run_case(case: impl FnOnce(&std::sync::Arc<Record>) -> Result<Verdict, Failure>) {
    let status = match Record::create().map(std::sync::Arc::new) {
        Err(failure) => {
            eprintln!("{failure}");
            2
        }
        Ok(record) => match case(&record) {
            Ok(Verdict::Held) => {
                record.write("verdict: the rule held");
                0
            }
            Ok(Verdict::Broken(how)) => {
                record.write(&format!("verdict: the rule was broken: {how}"));
                1
            }
            Err(failure) => {
                record.write(&format!("verdict: the case could not run: {failure}"));
                2
            }
        },
    };
    std::process::exit(status);
}
