//! Whether and when a fleet serves in full again after processes were killed and started.

use std::collections::HashMap;

use linestack_history::{HistoryEvent, Line};
use serde::Serialize;

use super::{Outcome, Second};

/// Full service holds for so long on end, in nanoseconds.
const WINDOW: u64 = 5_000_000_000;
/// Windows are looked at in steps of this, in nanoseconds.
const WINDOW_STEP: u64 = 100_000_000;
/// In full service the rate and the 99th percentile are within this part of what they were.
const TOLERANCE: f64 = 0.05;
/// And times are within what a machine's timers are good for, in milliseconds.
const TIMER_TOLERANCE_MS: f64 = 5.0;
const NANOS_PER_S: f64 = 1e9;
const NANOS_PER_MS: f64 = 1e6;
/// The identifiers of first tries end so; see [`crate::clients`].
const FIRST_TRY: &str = "-0";

/// Whether a fleet serves in full again: how it did before, and from when on it does so again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Back {
    /// Satisfied a second, and the 99th percentile of answer times in ms, in the span before the first process
    /// was killed.
    pub before: (f64, f64),
    /// Seconds from the last process being up to the first span of full service; none if there was none.
    pub after_s: Option<f64>,
    /// Made in the second with most, from the kill on: connections by clients, to executors, to coordinators,
    /// and calls for the list.
    pub peak: [u64; 4],
    /// The same in a second before the kill, on average.
    pub steady: [f64; 4],
    /// Submissions that were not satisfied at their first try, from the kill to full service.
    pub missed: u64,
}

/// An answer with a result.
struct Answer {
    at: u64,
    took_ms: f64,
}

struct FirstTry {
    at: u64,
    satisfied: bool,
}

/// What clients saw of a run.
struct ClientView {
    answers: Vec<Answer>,
    first_tries: Vec<FirstTry>,
}

/// Service over a span of time.
#[derive(Clone, Copy)]
struct Service {
    satisfied_per_s: f64,
    p99_ms: f64,
}

impl Service {
    /// Whether this is as good as it was, within the tolerances.
    fn is_full(self, before: Self) -> bool {
        let rate_holds = self.satisfied_per_s >= before.satisfied_per_s * (1.0 - TOLERANCE);
        rate_holds && self.p99_ms <= before.p99_ms * (1.0 + TOLERANCE) + TIMER_TOLERANCE_MS
    }
}

impl ClientView {
    fn of(lines: &[Line]) -> Self {
        let mut asked: HashMap<&str, u64> = HashMap::new();
        let mut first_tries: HashMap<&str, FirstTry> = HashMap::new();
        let mut answers = Vec::new();
        for line in lines {
            match &line.what {
                HistoryEvent::Asked { id, .. } => {
                    asked.insert(id, line.at);
                    if id.ends_with(FIRST_TRY) {
                        first_tries.insert(id, FirstTry { at: line.at, satisfied: false });
                    }
                }
                HistoryEvent::Told { id, status: 200 } => {
                    let from = asked.get(id.as_str()).copied().unwrap_or(line.at);
                    answers.push(Answer { at: line.at, took_ms: (line.at - from) as f64 / NANOS_PER_MS });
                    if let Some(first) = first_tries.get_mut(id.as_str()) {
                        first.satisfied = true;
                    }
                }
                _ => {}
            }
        }
        Self { answers, first_tries: first_tries.into_values().collect() }
    }

    /// Service from one time up to another.
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

    /// First tries made from one time up to another that were not satisfied.
    fn missed(&self, from: u64, to: u64) -> usize {
        let missed = |first: &&FirstTry| !first.satisfied && (from..to).contains(&first.at);
        self.first_tries.iter().filter(missed).count()
    }
}

/// The times at which a deed that `wanted` accepts was done.
fn times_of<'a>(lines: &'a [Line], wanted: impl Fn(&str) -> bool + 'a) -> impl Iterator<Item = u64> + 'a {
    lines.iter().filter_map(move |line| match &line.what {
        HistoryEvent::Did { deed, .. } if wanted(deed) => Some(line.at),
        _ => None,
    })
}

impl Outcome {
    /// How long it took to come back, where processes were killed and started again and the plan leaves room
    /// to see it.
    #[must_use]
    pub fn back(&self) -> Option<Back> {
        let killed = times_of(&self.lines, |deed| deed == "kill").next()?;
        let started = times_of(&self.lines, |deed| deed.starts_with("start") || deed == "replace").max()?;
        // The step is done when all that it started listen.
        let up = self.done.iter().copied().filter(|at| *at >= started).min().unwrap_or(started);
        let view = ClientView::of(&self.lines);
        let before = view.service(killed.saturating_sub(WINDOW).max(self.began), killed);
        let end = view.answers.last()?.at;
        let mut windows = (0..).map(|step| up + step * WINDOW_STEP).take_while(|from| from + WINDOW <= end);
        let full_from = windows.find(|from| view.service(*from, from + WINDOW).is_full(before));
        let missed = view.missed(killed, full_from.unwrap_or(end));
        let (peak, steady) = self.connections_around(killed);
        Some(Back {
            before: (before.satisfied_per_s, before.p99_ms),
            after_s: full_from.map(|from| (from - up) as f64 / NANOS_PER_S),
            peak,
            steady,
            missed: missed as u64,
        })
    }

    /// Connections and calls as [`Back`] has them: in the busiest second from a time on, and in one before it.
    fn connections_around(&self, at: u64) -> ([u64; 4], [f64; 4]) {
        let second = (at.saturating_sub(self.began) / 1_000_000_000) as usize;
        let after = self.seconds.get(second..).unwrap_or_default();
        // The first second is that of those who connect for the first time.
        let before = self.seconds.get(second.min(1)..second).unwrap_or_default();
        let figures: [fn(&Second) -> u64; 4] =
            [|s| s.connections, |s| s.connects, |s| s.sessions, |s| s.list_calls];
        let peak = figures.map(|of| after.iter().map(of).max().unwrap_or(0));
        let steady = figures.map(|of| before.iter().map(of).sum::<u64>() as f64 / before.len().max(1) as f64);
        (peak, steady)
    }
}
