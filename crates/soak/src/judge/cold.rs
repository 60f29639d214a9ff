//! Checks cold executors: all nodes together send an executor that has just started no more than its reduced capacity, with
//! an allowance for random variation.

use super::{Facts, Rule, Violation, whole_millis};
use crate::history::{Event, Nanos};
use crate::millis_to_nanos;
use crate::run::ExecutorCapacity;
use crate::settings::{COLD_CAPACITY_SHARE, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS, SLOW_START_MS};

/// Below a limit of this many requests, the allowance for random variation is wider.
const SMALL_LIMIT_REQUESTS: f64 = 30.0;

pub(super) fn judge(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    for entry in facts.case.history {
        let Event::Listed { executor, started, .. } = entry.event else { continue };
        if started == 0 {
            continue;
        }
        let Some(capacity) = facts.case.capacities.get(executor).copied() else { continue };
        if let Some(Overload { at, sent, limit }) = first_overload(facts, executor, started, capacity) {
            let age = whole_millis(at.saturating_sub(started));
            let description =
                format!("executor {executor}, {age} ms old: {sent} requests in the window, {limit:.1} borne");
            violations.push(Violation { rule: Rule::Cold, at, description });
        }
    }
}

/// A window in which a cold executor got more requests than its limit.
struct Overload {
    /// When the request that exceeded the limit arrived.
    at: Nanos,
    /// The number of requests in the window.
    sent: usize,
    /// The limit, with the allowance for random variation.
    limit: f64,
}

/// Returns the first overload of an executor that has started at this time.
fn first_overload(
    facts: &Facts<'_>,
    executor: usize,
    started: Nanos,
    capacity: ExecutorCapacity,
) -> Option<Overload> {
    let ExecutorCapacity { slots, mean_job_ms } = capacity;
    let (cold, window) = (millis_to_nanos(SLOW_START_MS as u64), millis_to_nanos(OVERLOAD_WINDOW_MS as u64));
    let executions = facts.requests.values().flat_map(|request| &request.executions);
    let here =
        executions.filter(|e| e.executor == executor && (started..started + cold).contains(&e.received_at));
    let mut times: Vec<Nanos> = here.map(|execution| execution.received_at).collect();
    times.sort_unstable();
    for (last, at) in times.iter().enumerate() {
        let first = times.partition_point(|time| time + window < *at);
        let sent = last + 1 - first;
        let age_share = (at - started) as f64 / cold as f64;
        let capacity_share = COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * age_share;
        let limit = OVERLOAD_FACTOR * capacity_share * slots as f64 * OVERLOAD_WINDOW_MS / mean_job_ms;
        let allowance =
            if limit < SMALL_LIMIT_REQUESTS { 3.0 * limit.sqrt() + 3.0 } else { 2.0 * limit.sqrt() + 2.0 };
        if sent as f64 > limit + allowance {
            return Some(Overload { at: *at, sent, limit: limit + allowance });
        }
    }
    None
}
