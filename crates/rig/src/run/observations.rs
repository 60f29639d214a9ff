//! Observations of processes and links since the previous step: frames, and new lines of logs and histories.

use std::collections::HashMap;
use std::fs;
use std::io::{self, Read as _, Seek as _};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::link::Direction;
use crate::lock;
use crate::plan::name_matches;
use crate::process::PROCESS_TIMEOUT;

/// The interval at which a link that was stopped by an awaited frame checks whether the run has ended.
const STOPPED_LINK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The observations, shared with the links.
#[derive(Default)]
pub(super) struct Observations {
    observed: Mutex<StepObservations>,
    changed: Condvar,
    stop: AtomicBool,
}

/// The observations since the previous step was completed.
#[derive(Default)]
pub(super) struct StepObservations {
    /// The number of frames that have passed, by link, direction and kind.
    frames: HashMap<PassedFrame, u64>,
    /// The kinds of the new history lines.
    pub(super) history: Vec<SeenLine>,
    /// The new log lines.
    pub(super) logs: Vec<SeenLine>,
    /// The frames that the current step waits for, if any.
    awaited: Option<AwaitedFrames>,
    /// Whether the awaited frames have passed and the step's action is not completed. Their link forwards nothing
    /// meanwhile.
    action_in_progress: bool,
}

/// A log line, or the kind of a history line, of a process.
pub(super) struct SeenLine {
    pub(super) process: String,
    pub(super) text: String,
}

#[derive(PartialEq, Eq, Hash)]
struct PassedFrame {
    link: String,
    direction: Direction,
    kind: u8,
}

/// The frames that a step waits for.
pub(super) struct AwaitedFrames {
    /// A pattern of link names.
    pub(super) link: String,
    pub(super) direction: Direction,
    pub(super) kind: u8,
    pub(super) count: u64,
}

impl Observations {
    /// Counts a frame that has passed. If it is the last one that a step waits for, blocks until that step is completed.
    pub(super) fn frame_passed(&self, link: &str, direction: Direction, kind: u8) {
        let mut observed = lock(&self.observed);
        *observed.frames.entry(PassedFrame { link: link.to_owned(), direction, kind }).or_default() += 1;
        if !observed.awaited_frames_passed() {
            return;
        }
        observed.action_in_progress = true;
        self.changed.notify_all();
        let begin = Instant::now();
        while observed.action_in_progress
            && !self.stop.load(Ordering::Relaxed)
            && begin.elapsed() < PROCESS_TIMEOUT
        {
            let waited = self.changed.wait_timeout(observed, STOPPED_LINK_POLL_INTERVAL);
            observed = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Sets the frames to wait for. Once they have passed, their link forwards nothing until the step is completed.
    pub(super) fn await_frames(&self, frames: AwaitedFrames) {
        lock(&self.observed).awaited = Some(frames);
    }

    /// Completes a step: links continue, and the observations are cleared.
    pub(super) fn step_done(&self) {
        *lock(&self.observed) = StepObservations::default();
        self.changed.notify_all();
    }

    /// Lets all links continue permanently.
    pub(super) fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Reads or changes the observations.
    pub(super) fn with<T>(&self, access: impl FnOnce(&mut StepObservations) -> T) -> T {
        access(&mut lock(&self.observed))
    }
}

impl StepObservations {
    /// Returns whether the awaited number of frames has passed.
    pub(super) fn awaited_frames_passed(&self) -> bool {
        let Some(awaited) = &self.awaited else { return false };
        let fits = |frame: &PassedFrame| {
            name_matches(&awaited.link, &frame.link)
                && frame.direction == awaited.direction
                && frame.kind == awaited.kind
        };
        let passed: u64 = self.frames.iter().filter(|(f, _)| fits(f)).map(|(_, count)| count).sum();
        passed >= awaited.count
    }
}

/// The position up to which each log and history has been read.
#[derive(Default)]
pub(super) struct LogTails {
    /// By file: the number of bytes that have been read.
    read: HashMap<PathBuf, u64>,
}

impl LogTails {
    /// Returns the complete lines that were added to a file since the last call; none if it does not exist yet.
    pub(super) fn new_lines(&mut self, file: &Path) -> io::Result<Vec<String>> {
        let Ok(mut open) = fs::File::open(file) else { return Ok(Vec::new()) };
        let read = self.read.entry(file.to_owned()).or_default();
        if open.metadata()?.len() <= *read {
            return Ok(Vec::new());
        }
        open.seek(io::SeekFrom::Start(*read))?;
        let mut bytes = Vec::new();
        open.read_to_end(&mut bytes)?;
        let complete = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        *read += complete as u64;
        Ok(String::from_utf8_lossy(&bytes[..complete]).lines().map(str::to_owned).collect())
    }
}
