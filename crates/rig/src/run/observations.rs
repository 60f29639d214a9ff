//! What has been seen of processes and links since a step began to wait: frames, and new lines of logs and
//! histories.

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

/// How often a frame that is held back looks whether the run has ended.
const HELD_FRAME_POLL: Duration = Duration::from_millis(20);

/// What has been seen, shared with the links.
#[derive(Default)]
pub(super) struct Observations {
    seen: Mutex<Seen>,
    changed: Condvar,
    stop: AtomicBool,
}

/// What has been seen since the step before was done.
#[derive(Default)]
pub(super) struct Seen {
    frames: HashMap<PassedFrame, u64>,
    /// Kinds of the histories' new lines.
    pub(super) history: Vec<SeenLine>,
    /// The logs' new lines.
    pub(super) logs: Vec<SeenLine>,
    /// Set while a step waits for frames.
    awaited: Option<AwaitedFrames>,
    /// The awaited frames have passed; their link stands still until the step is done.
    step_under_way: bool,
}

/// Something that a process wrote.
pub(super) struct SeenLine {
    pub(super) process: String,
    pub(super) text: String,
}

#[derive(PartialEq, Eq, Hash)]
struct PassedFrame {
    link: String,
    side: Direction,
    kind: u8,
}

/// Frames that a step waits for.
pub(super) struct AwaitedFrames {
    /// A pattern of link names.
    pub(super) link: String,
    pub(super) side: Direction,
    pub(super) kind: u8,
    pub(super) count: u64,
}

impl Observations {
    /// Counts a frame that has passed. If a step waits for it, returns when that step is done.
    pub(super) fn frame_passed(&self, link: &str, side: Direction, kind: u8) {
        let mut seen = lock(&self.seen);
        *seen.frames.entry(PassedFrame { link: link.to_owned(), side, kind }).or_default() += 1;
        if !seen.awaited_frames_passed() {
            return;
        }
        seen.step_under_way = true;
        self.changed.notify_all();
        let begin = Instant::now();
        while seen.step_under_way && !self.stop.load(Ordering::Relaxed) && begin.elapsed() < PROCESS_TIMEOUT {
            let waited = self.changed.wait_timeout(seen, HELD_FRAME_POLL);
            seen = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// From now on the link on which these frames have passed stands still until the step is done.
    pub(super) fn await_frames(&self, frames: AwaitedFrames) {
        lock(&self.seen).awaited = Some(frames);
    }

    /// The step is done: links go on, and what was seen counts no more.
    pub(super) fn step_done(&self) {
        *lock(&self.seen) = Seen::default();
        self.changed.notify_all();
    }

    /// Lets all links go on, for good.
    pub(super) fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Looks at or adds to what has been seen.
    pub(super) fn with<T>(&self, look: impl FnOnce(&mut Seen) -> T) -> T {
        look(&mut lock(&self.seen))
    }
}

impl Seen {
    /// Whether as many frames have passed as the step waits for.
    pub(super) fn awaited_frames_passed(&self) -> bool {
        let Some(awaited) = &self.awaited else { return false };
        let fits = |frame: &PassedFrame| {
            name_matches(&awaited.link, &frame.link)
                && frame.side == awaited.side
                && frame.kind == awaited.kind
        };
        let passed: u64 = self.frames.iter().filter(|(f, _)| fits(f)).map(|(_, count)| count).sum();
        passed >= awaited.count
    }
}

/// How far each log and history has been read.
#[derive(Default)]
pub(super) struct LogTails {
    read: HashMap<PathBuf, u64>,
}

impl LogTails {
    /// The whole lines by which a file has grown since the last call; none if it isn't there yet.
    pub(super) fn new_lines(&mut self, file: &Path) -> io::Result<Vec<String>> {
        let Ok(mut open) = fs::File::open(file) else { return Ok(Vec::new()) };
        let read = self.read.entry(file.to_owned()).or_default();
        if open.metadata()?.len() <= *read {
            return Ok(Vec::new());
        }
        open.seek(io::SeekFrom::Start(*read))?;
        let mut bytes = Vec::new();
        open.read_to_end(&mut bytes)?;
        let whole = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        *read += whole as u64;
        Ok(String::from_utf8_lossy(&bytes[..whole]).lines().map(str::to_owned).collect())
    }
}
