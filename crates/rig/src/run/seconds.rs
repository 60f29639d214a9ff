//! What happened in each second of a run.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use linestack_history::{HistoryEvent, Line};
use serde::Serialize;

use crate::{lock, monotonic};

/// Counters are read once in this time.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// What happens after so many seconds is not counted.
const MAX_SECONDS: usize = 3600;

const NANOS_PER_S: u64 = 1_000_000_000;

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Tries that clients made.
    pub asked: u64,
    /// Answers with a result.
    pub satisfied: u64,
    /// Answers that turned a submission away.
    pub dismissed: u64,
    /// All other answers.
    pub aborted: u64,
    /// Tries without an answer that may have run.
    pub unknown: u64,
    /// Tries that no node can have read.
    pub unsent: u64,
    /// Satisfied after half of the deadline.
    pub late: u64,
    /// Calls of nodes for the whole list.
    pub list_calls: u64,
    /// Connections made by clients to nodes.
    pub connections: u64,
    /// Connections made by nodes to executors.
    pub connects: u64,
    /// Connections made to coordinators.
    pub sessions: u64,
    /// Executions that executors took.
    pub executions: u64,
}

/// Connections made so far, by what they lead to.
#[derive(Default)]
pub(super) struct OpenedConnections {
    pub(super) to_nodes: AtomicU64,
    pub(super) to_executors: AtomicU64,
    pub(super) to_coordinators: AtomicU64,
}

/// Counters since the beginning, as they stood at a time.
#[derive(Clone, Copy)]
pub(super) struct Sample {
    at: u64,
    list_calls: u64,
    to_nodes: u64,
    to_executors: u64,
    to_coordinators: u64,
}

/// Takes samples until told to stop.
pub(super) fn take_samples(
    samples: &Mutex<Vec<Sample>>,
    list_calls: &AtomicU64,
    opened: &OpenedConnections,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        let sample = Sample {
            at: monotonic(),
            list_calls: list_calls.load(Ordering::Relaxed),
            to_nodes: opened.to_nodes.load(Ordering::Relaxed),
            to_executors: opened.to_executors.load(Ordering::Relaxed),
            to_coordinators: opened.to_coordinators.load(Ordering::Relaxed),
        };
        lock(samples).push(sample);
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

/// Seconds from the beginning of the load, as far as something happened.
struct Seconds {
    began: u64,
    seconds: Vec<Second>,
}

impl Seconds {
    /// Counts something in the second of a time.
    fn count(&mut self, at: u64, add: impl FnOnce(&mut Second)) {
        let index = (at.saturating_sub(self.began) / NANOS_PER_S) as usize;
        if index >= MAX_SECONDS {
            return;
        }
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        add(&mut self.seconds[index]);
    }

    fn count_lines(&mut self, lines: &[Line], late_after: u64) {
        let mut asked: HashMap<&str, u64> = HashMap::new();
        let began = self.began;
        for line in lines.iter().filter(|line| line.at >= began) {
            match &line.what {
                HistoryEvent::Asked { id, .. } => {
                    asked.insert(id, line.at);
                    self.count(line.at, |s| s.asked += 1);
                }
                HistoryEvent::Told { id, status } => {
                    let took = asked.get(id.as_str()).map_or(0, |from| line.at - from);
                    self.count(line.at, |s| count_answer(s, *status, took > late_after));
                }
                HistoryEvent::Unknown { .. } => self.count(line.at, |s| s.unknown += 1),
                HistoryEvent::Unsent { .. } => self.count(line.at, |s| s.unsent += 1),
                HistoryEvent::Took { .. } => self.count(line.at, |s| s.executions += 1),
                _ => {}
            }
        }
    }

    fn count_samples(&mut self, samples: &[Sample]) {
        for pair in samples.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            self.count(after.at, |s| {
                s.list_calls += after.list_calls.saturating_sub(before.list_calls);
                s.connections += after.to_nodes.saturating_sub(before.to_nodes);
                s.connects += after.to_executors.saturating_sub(before.to_executors);
                s.sessions += after.to_coordinators.saturating_sub(before.to_coordinators);
            });
        }
    }
}

fn count_answer(second: &mut Second, status: u16, late: bool) {
    match status {
        200 => {
            second.satisfied += 1;
            second.late += u64::from(late);
        }
        429 | 503 => second.dismissed += 1,
        _ => second.aborted += 1,
    }
}

/// What happened in each second from `began` on. `late_after` is in nanoseconds.
pub(super) fn per_second(lines: &[Line], samples: &[Sample], began: u64, late_after: u64) -> Vec<Second> {
    let mut seconds = Seconds { began, seconds: Vec::new() };
    seconds.count_lines(lines, late_after);
    seconds.count_samples(samples);
    seconds.seconds
}
