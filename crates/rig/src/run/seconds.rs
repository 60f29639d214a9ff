//! Counts of each second of a run.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use linestack_history::{HistoryEvent, Line};
use serde::Serialize;

use crate::{lock, monotonic_nanos};

/// The interval at which counters are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The number of seconds from the start of the load after which nothing is counted.
const MAX_SECONDS: usize = 3600;

const NANOS_PER_S: u64 = 1_000_000_000;

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Attempts by clients.
    pub asked: u64,
    /// Answers with a result.
    pub satisfied: u64,
    /// Answers that rejected a submission.
    pub dismissed: u64,
    /// All other answers.
    pub aborted: u64,
    /// Attempts without an answer that may have run.
    pub unknown: u64,
    /// Attempts that no node can have read completely.
    pub unsent: u64,
    /// Submissions that were satisfied after more than half of the deadline.
    pub late: u64,
    /// Requests of nodes for the list.
    pub list_calls: u64,
    /// Connections made by clients to nodes.
    pub connections: u64,
    /// Connections made by nodes to executors.
    pub connects: u64,
    /// Connections made to coordinators.
    pub sessions: u64,
    /// Executions that executors accepted.
    pub executions: u64,
}

/// The number of connections made so far, by target.
#[derive(Default)]
pub(super) struct OpenedConnections {
    pub(super) to_nodes: AtomicU64,
    pub(super) to_executors: AtomicU64,
    pub(super) to_coordinators: AtomicU64,
}

/// The values of the counters at one time.
#[derive(Clone, Copy)]
pub(super) struct Sample {
    at: u64,
    list_calls: u64,
    to_nodes: u64,
    to_executors: u64,
    to_coordinators: u64,
}

/// Takes samples until `stop` is set.
pub(super) fn take_samples(
    samples: &Mutex<Vec<Sample>>,
    list_calls: &AtomicU64,
    opened: &OpenedConnections,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        let sample = Sample {
            at: monotonic_nanos(),
            list_calls: list_calls.load(Ordering::Relaxed),
            to_nodes: opened.to_nodes.load(Ordering::Relaxed),
            to_executors: opened.to_executors.load(Ordering::Relaxed),
            to_coordinators: opened.to_coordinators.load(Ordering::Relaxed),
        };
        lock(samples).push(sample);
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

/// The counts of each second from the start of the load up to the last event.
struct Seconds {
    /// The start of the load.
    load_began_at: u64,
    seconds: Vec<Second>,
}

impl Seconds {
    /// Applies `add` to the counts of the second that contains a time.
    fn count(&mut self, at: u64, add: impl FnOnce(&mut Second)) {
        let index = (at.saturating_sub(self.load_began_at) / NANOS_PER_S) as usize;
        if index >= MAX_SECONDS {
            return;
        }
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        add(&mut self.seconds[index]);
    }

    fn count_lines(&mut self, lines: &[Line], late_after_ns: u64) {
        let mut asked: HashMap<&str, u64> = HashMap::new();
        let load_began_at = self.load_began_at;
        for line in lines.iter().filter(|line| line.at >= load_began_at) {
            match &line.what {
                HistoryEvent::Asked { id, .. } => {
                    asked.insert(id, line.at);
                    self.count(line.at, |s| s.asked += 1);
                }
                HistoryEvent::Told { id, status } => {
                    let took_ns = asked.get(id.as_str()).map_or(0, |from| line.at - from);
                    self.count(line.at, |s| count_answer(s, *status, took_ns > late_after_ns));
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

/// Returns the counts of each second from the start of the load. An answer is late after `late_after_ns`.
pub(super) fn per_second(
    lines: &[Line],
    samples: &[Sample],
    load_began_at: u64,
    late_after_ns: u64,
) -> Vec<Second> {
    let mut seconds = Seconds { load_began_at, seconds: Vec::new() };
    seconds.count_lines(lines, late_after_ns);
    seconds.count_samples(samples);
    seconds.seconds
}
