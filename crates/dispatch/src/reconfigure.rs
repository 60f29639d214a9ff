//! Replaces the configuration of a running dispatcher.
//!
//! State whose meaning does not depend on the configuration is kept: the list, the starts, the health and the
//! ejections of the workers, the slots that each was seen to have, the submissions and their executions in
//! flight, and the time of the next request for the list. Reports, shares, limits, thresholds and
//! answer times were measured under the previous configuration and start anew.

use crate::decide::Dispatcher;
use crate::startup_budget::StartupBudget;
use crate::types::{DispatchConfig, Nanos};
use crate::worker_stats::Fleet;

impl Dispatcher {
    /// Continues under another configuration. The lists that give products, tenants, kinds and zones their
    /// indices must be the same, and so must the products' repeat policies; the caller ensures this.
    pub fn reconfigure(&mut self, config: DispatchConfig) {
        let (weights_are_sizes, slow_start_duration) = (config.weights_are_sizes, config.slow_start_duration);
        let old = std::mem::replace(self, Self::new(config));
        self.now = old.now;
        self.rng = old.rng;
        self.fleet = reset_measurements(old.fleet, old.now, weights_are_sizes, slow_start_duration);
        self.submissions = old.submissions;
        self.traffic.slots_in_flight = old.traffic.slots_in_flight;
        self.assume_quota_rate(self.now);
        self.startup_budget = StartupBudget::new(self.now, self.config.seed);
        (self.next_tick, self.subscribe_at, self.failed_list_requests) =
            (old.next_tick, old.subscribe_at, old.failed_list_requests);
    }
}

fn reset_measurements(
    mut fleet: Fleet,
    now: Nanos,
    weights_are_sizes: bool,
    slow_start_duration: Nanos,
) -> Fleet {
    for worker in &mut fleet.workers {
        (worker.reported_at, worker.idle_since, worker.jobs_sent_cold) = (None, None, 0);
        (worker.recent_answers, worker.recent_ratios, worker.completed_jobs) = Default::default();
        // A job in flight may have started before starts were reported. It must not be cancelled as
        // unstarted.
        worker.in_flight.iter_mut().for_each(|e| e.unstarted = false);
    }
    for kind in fleet.kinds.iter_mut().flatten() {
        (kind.threshold, kind.completed_jobs) = (kind.initial_threshold(), 0);
    }
    let weights = fleet.workers.iter().map(|w| f64::from(w.entry.weight)).filter(|w| w.is_finite());
    fleet.largest_size = if weights_are_sizes { weights.fold(0.0, f64::max) } else { 0.0 };
    (fleet.any_reported, fleet.probed, fleet.probed_with_room) = Default::default();
    fleet.summarize(now, slow_start_duration);
    fleet
}
