//! Recovery: whether and when a fleet is back in full service after processes were killed and started.

use std::collections::HashMap;

use linestack_history::{HistoryEvent, Line};
use serde::Serialize;

use super::{Outcome, Second};

/// The time in nanoseconds for which full service must last without interruption.
const WINDOW_NS: u64 = 5_000_000_000;
/// The distance in nanoseconds between the starts of successive windows.
const WINDOW_STEP_NS: u64 = 100_000_000;
/// In full service, the rate of satisfied submissions is at most this share below its value before the kill, and the
/// 99th percentile of latencies at most this share above.
const RELATIVE_TOLERANCE: f64 = 0.05;
/// The additional allowance in milliseconds for the precision of the machine's timers.
const TIMER_TOLERANCE_MS: f64 = 5.0;
const NANOS_PER_S: f64 = 1e9;
const NANOS_PER_MS: f64 = 1e6;
/// The suffix of the ids of first attempts; see [`crate::clients`].
const FIRST_ATTEMPT_SUFFIX: &str = "-0";

/// The recovery of a fleet: its service before the kill, and the time until it was back in full service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// Satisfied submissions per second and the 99th percentile of latencies in ms, in the window before the first
    /// process was killed.
    pub before: (f64, f64),
    /// Seconds from the time at which the last process was up to the first window of full service, if there was one.
    pub after_s: Option<f64>,
    /// The maxima per second from the kill on: connections from clients, to executors and to coordinators, and
    /// requests for the list.
    pub peak: [u64; 4],
    /// The averages per second of the same counts before the kill.
    pub steady: [f64; 4],
    /// Submissions that were not satisfied at their first attempt, from the kill to full service.
    pub missed: u64,
}

/// An answer with a result, and its latency.
struct Answer {
    at: u64,
    took_ms: f64,
}

struct FirstAttempt {
    at: u64,
    satisfied: bool,
}

/// The answers and first attempts of a run as clients recorded them.
struct ClientView {
    answers: Vec<Answer>,
    first_attempts: Vec<FirstAttempt>,
}

/// The service over a window of time.
#[derive(Clone, Copy)]
struct Service {
    satisfied_per_s: f64,
    p99_ms: f64,
}

impl Service {
    /// Returns whether the service is as good as before, within the tolerances.
    fn is_full(self, before: Self) -> bool {
        let rate_holds = self.satisfied_per_s >= before.satisfied_per_s * (1.0 - RELATIVE_TOLERANCE);
        rate_holds && self.p99_ms <= before.p99_ms * (1.0 + RELATIVE_TOLERANCE) + TIMER_TOLERANCE_MS
    }
}

impl ClientView {
    fn of(lines: &[Line]) -> Self {
        let mut asked: HashMap<&str, u64> = HashMap::new();
        let mut first_attempts: HashMap<&str, FirstAttempt> = HashMap::new();
        let mut answers = Vec::new();
        for line in lines {
            match &line.what {
                HistoryEvent::Asked { id, .. } => {
                    asked.insert(id, line.at);
                    if id.ends_with(FIRST_ATTEMPT_SUFFIX) {
                        first_attempts.insert(id, FirstAttempt { at: line.at, satisfied: false });
                    }
                }
                HistoryEvent::Told { id, status: 200 } => {
                    let from = asked.get(id.as_str()).copied().unwrap_or(line.at);
                    answers.push(Answer { at: line.at, took_ms: (line.at - from) as f64 / NANOS_PER_MS });
                    if let Some(first) = first_attempts.get_mut(id.as_str()) {
                        first.satisfied = true;
                    }
                }
                _ => {}
            }
        }
        Self { answers, first_attempts: first_attempts.into_values().collect() }
    }

    /// Returns the service from one time up to another.
    fn service(&self, from: u64, to: u64) -> Service {
        let within = self.answers.iter().filter(|a| (from..to).contains(&a.at));
        let mut times: Vec<f64> = within.map(|a| a.took_ms).collect();
        times.sort_by(f64::total_cmp);
        let p99 = (times.len() * 99 / 100).min(times.len().saturating_sub(1));
        Service {
            satisfied_per_s: times.len() as f64 / ((to - from) as f64 / NANOS_PER_S),
            p99_ms: times.get(p99).copied().unwrap_or(f64::INFINITY),
        }
    }

    /// Returns the number of unsatisfied first attempts from one time up to another.
    fn missed(&self, from: u64, to: u64) -> usize {
        let missed = |first: &&FirstAttempt| !first.satisfied && (from..to).contains(&first.at);
        self.first_attempts.iter().filter(missed).count()
    }
}

/// Returns the times of the actions that `wanted` accepts.
fn times_of<'a>(lines: &'a [Line], wanted: impl Fn(&str) -> bool + 'a) -> impl Iterator<Item = u64> + 'a {
    lines.iter().filter_map(move |line| match &line.what {
        HistoryEvent::Did { deed, .. } if wanted(deed) => Some(line.at),
        _ => None,
    })
}

impl Outcome {
    /// Returns the recovery of the fleet if processes were killed and started again and a client got an answer.
    #[must_use]
    pub fn recovery(&self) -> Option<Recovery> {
        let killed = times_of(&self.lines, |action| action == "kill").next()?;
        let started =
            times_of(&self.lines, |action| action.starts_with("start") || action == "replace").max()?;
        // A start step is completed when all processes that it started listen.
        let up = self.steps_done_at.iter().copied().filter(|at| *at >= started).min().unwrap_or(started);
        let view = ClientView::of(&self.lines);
        let before = view.service(killed.saturating_sub(WINDOW_NS).max(self.load_began_at), killed);
        let end = view.answers.last()?.at;
        let mut windows =
            (0..).map(|step| up + step * WINDOW_STEP_NS).take_while(|from| from + WINDOW_NS <= end);
        let full_from = windows.find(|from| view.service(*from, from + WINDOW_NS).is_full(before));
        let missed = view.missed(killed, full_from.unwrap_or(end));
        let (peak, steady) = self.connections_around(killed);
        Some(Recovery {
            before: (before.satisfied_per_s, before.p99_ms),
            after_s: full_from.map(|from| (from - up) as f64 / NANOS_PER_S),
            peak,
            steady,
            missed: missed as u64,
        })
    }

    /// Returns the counts of [`Recovery`]: their maxima per second from a time on, and their averages before it.
    fn connections_around(&self, at: u64) -> ([u64; 4], [f64; 4]) {
        let second = (at.saturating_sub(self.load_began_at) / 1_000_000_000) as usize;
        let after = self.seconds.get(second..).unwrap_or_default();
        // The first second is left out, as all clients and nodes make their first connections in it.
        let before = self.seconds.get(second.min(1)..second).unwrap_or_default();
        let figures: [fn(&Second) -> u64; 4] =
            [|s| s.connections, |s| s.connects, |s| s.sessions, |s| s.list_calls];
        let peak = figures.map(|of| after.iter().map(of).max().unwrap_or(0));
        let steady = figures.map(|of| before.iter().map(of).sum::<u64>() as f64 / before.len().max(1) as f64);
        (peak, steady)
    }
}
