//! The record of a case: what was sent, answered and run, with the time since the case began.

use std::fs;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Returns the seconds since the case began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Returns a moment in seconds since the case began.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Adds a line with the current time.
    pub fn add(&self, line: String) {
        self.add_at(self.now(), line);
    }

    /// Adds a line with this time.
    pub fn add_at(&self, at: f64, line: String) {
        self.lines.lock().unwrap().push((at, line));
    }

    /// Writes all lines to `record.txt` in this folder, ordered by time, and then these findings.
    pub fn write(&self, folder: &Path, findings: &[String]) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = fs::File::create(folder.join("record.txt")).expect("record.txt");
        for (at, line) in lines {
            let _ = writeln!(file, "{at:9.3} {line}");
        }
        for finding in findings {
            let _ = writeln!(file, "{finding}");
            println!("{finding}");
        }
    }
}
