//! How much work a cold executor can be sent before it is overloaded.

use std::collections::VecDeque;

use linestack_core::Nanos;

/// Factor by which the limit may be exceeded: several nodes that choose independently can hit one executor
/// together by chance.
const CHANCE_ALLOWANCE: f64 = 1.25;

/// The load above which a cold executor counts as overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdLoadLimit {
    /// The tolerated load, as a multiple of the executor's current capacity.
    pub(crate) overload_factor: f64,
    /// The sliding window over which the load is summed.
    pub(crate) window: Nanos,
}

impl ColdLoadLimit {
    /// Returns the seconds of work per window that an executor tolerates if it can do `capacity` seconds of
    /// work per second.
    pub(crate) fn max_work_s(self, capacity: f64) -> f64 {
        CHANCE_ALLOWANCE * self.overload_factor * capacity * self.window as f64 / 1e9
    }
}

/// The work that was recently sent to a cold executor.
#[derive(Debug, Default)]
pub(crate) struct RecentWork {
    jobs: VecDeque<SentJob>,
}

#[derive(Clone, Copy, Debug)]
struct SentJob {
    at: Nanos,
    work_s: f64,
}

impl RecentWork {
    /// Adds a job with its seconds of work, and drops the jobs older than the window.
    pub(crate) fn add(&mut self, now: Nanos, work_s: f64, window: Nanos) {
        self.jobs.push_back(SentJob { at: now, work_s });
        while self.jobs.front().is_some_and(|job| job.at + window < now) {
            self.jobs.pop_front();
        }
    }

    /// Returns the seconds of work in the window.
    pub(crate) fn total(&self) -> f64 {
        self.jobs.iter().map(|job| job.work_s).sum()
    }

    /// Returns whether the work exceeds `max_work_s`. A single job never counts as an overload.
    pub(crate) fn exceeds(&self, max_work_s: f64) -> bool {
        self.total() > max_work_s && self.jobs.len() > 1
    }
}
