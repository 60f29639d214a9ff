//! Checks cold executors: all nodes together send an executor that has just started no more than its reduced capacity, with
//! an allowance for random variation.

use super::{Facts, Rule, Violation, ms};
use crate::history::{Event, Nanos};
use crate::millis;
use crate::settings::{COLD_CAPACITY_SHARE, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS, SLOW_START_MS};

/// Below this number of requests, the allowance for random variation is wider.
const SMALL_SAMPLE: f64 = 30.0;

pub(super) fn judge(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    for entry in facts.case.history {
        let Event::Listed { executor, started, .. } = entry.event else { continue };
        if started == 0 {
            continue;
        }
        let Some((slots, work_ms)) = facts.case.capacities.get(executor).copied() else { continue };
        if let Some((at, sent, most)) = overload(facts, executor, started, slots as f64, work_ms) {
            let age = ms(at.saturating_sub(started));
            let description =
                format!("executor {executor}, {age} ms old: {sent} requests in the window, {most:.1} borne");
            violations.push(Violation { rule: Rule::Cold, at, description });
        }
    }
}

/// Returns the first time at which an executor got more requests than its limit, how many it got, and the limit.
fn overload(
    facts: &Facts<'_>,
    executor: usize,
    started: Nanos,
    slots: f64,
    work_ms: f64,
) -> Option<(Nanos, usize, f64)> {
    let (cold, window) = (millis(SLOW_START_MS as u64), millis(OVERLOAD_WINDOW_MS as u64));
    let executions = facts.requests.values().flat_map(|request| &request.executions);
    let here =
        executions.filter(|e| e.executor == executor && (started..started + cold).contains(&e.received));
    let mut times: Vec<Nanos> = here.map(|execution| execution.received).collect();
    times.sort_unstable();
    for (last, at) in times.iter().enumerate() {
        let first = times.partition_point(|time| time + window < *at);
        let sent = last + 1 - first;
        let age_share = (at - started) as f64 / cold as f64;
        let capacity_share = COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * age_share;
        let limit = OVERLOAD_FACTOR * capacity_share * slots * OVERLOAD_WINDOW_MS / work_ms;
        let allowance =
            if limit < SMALL_SAMPLE { 3.0 * limit.sqrt() + 3.0 } else { 2.0 * limit.sqrt() + 2.0 };
        if sent as f64 > limit + allowance {
            return Some((*at, sent, limit + allowance));
        }
    }
    None
}
