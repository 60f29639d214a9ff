//! How much work a cold executor bears.

use std::collections::VecDeque;

use linestack_core::Nanos;

/// A little more than what a cold executor bears is let pass, for chance.
const ALLOWANCE_FOR_CHANCE: f64 = 1.25;

/// The terms by which a cold executor is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdTerms {
    /// It bears this multiple of its capacity.
    pub(crate) multiple: f64,
    /// The window over which that counts.
    pub(crate) window: Nanos,
}

impl ColdTerms {
    /// Seconds of work in a window that an executor bears which can do `capacity` seconds of it in a second.
    pub(crate) fn bearable(self, capacity: f64) -> f64 {
        ALLOWANCE_FOR_CHANCE * self.multiple * capacity * self.window as f64 / 1e9
    }
}

/// Work that was sent to a cold executor lately.
#[derive(Debug, Default)]
pub(crate) struct RecentWork {
    jobs: VecDeque<SentJob>,
}

#[derive(Clone, Copy, Debug)]
struct SentJob {
    at: Nanos,
    work: f64,
}

impl RecentWork {
    /// Adds a job's seconds of work, and forgets what is older than the window.
    pub(crate) fn add(&mut self, now: Nanos, work: f64, window: Nanos) {
        self.jobs.push_back(SentJob { at: now, work });
        while self.jobs.front().is_some_and(|job| job.at + window < now) {
            self.jobs.pop_front();
        }
    }

    /// Seconds of work in the window.
    pub(crate) fn total(&self) -> f64 {
        self.jobs.iter().map(|job| job.work).sum()
    }

    /// Whether it is more than `bearable`. A single job is nobody's overload.
    pub(crate) fn exceeds(&self, bearable: f64) -> bool {
        self.total() > bearable && self.jobs.len() > 1
    }
}
