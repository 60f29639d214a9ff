//! Slow start during the first seconds of this process.
//!
//! The probability with which a cold worker is drawn follows from the rate of submissions. Until that is measured, a part
//! of the quotas is assumed, and if far more is submitted, all processes that start together send the worker too much.
//! So meanwhile the number of jobs is limited as well, to this node's part of what the worker can handle.

use crate::decide::Dispatcher;
use crate::types::Nanos;
use crate::worker_stats::WorkerState;

/// The time in nanoseconds after which the rate of submissions counts as measured.
const RATE_SETTLING_TIME: Nanos = 2_000_000_000;

/// The start of a process, as far as slow start depends on it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartupBudget {
    started_at: Nanos,
    /// A random number from 0 to 1. The budgets of nodes grow by whole jobs, and without this those of nodes that start
    /// together would do so in the same moments.
    phase: f64,
}

impl StartupBudget {
    pub(crate) fn new(now: Nanos, seed: u64) -> Self {
        Self { started_at: now, phase: fastrand::Rng::with_seed(!seed).f64() }
    }
}

impl Dispatcher {
    /// Returns whether this node may send a cold worker another job, if that can handle `max_jobs` of all nodes in an
    /// overload window. Once the rate of submissions is measured, this sets no limit.
    pub(crate) fn is_within_startup_budget(&self, worker: &WorkerState, max_jobs: f64) -> bool {
        let StartupBudget { started_at, phase } = self.startup_budget;
        if self.now - started_at >= RATE_SETTLING_TIME {
            return true;
        }
        let cold_since = started_at.max(worker.entry.started);
        let windows = self.now.saturating_sub(cold_since) as f64 / self.config.overload_window as f64;
        let budget = max_jobs / f64::from(self.config.nodes) * windows + phase;
        f64::from(worker.jobs_sent_cold) < budget.floor()
    }
}
