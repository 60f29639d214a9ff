//! Checks processes: none exits by itself, each becomes ready in time, and once all faults are over requests are served.

use super::{Facts, NodeProcess, OBSERVATION_SLACK, Rule, Violation, whole_millis};
use crate::history::{Event, Nanos, NodeEvent};
use crate::millis_to_nanos;

/// Each process that starts is ready within this time.
const READY_LIMIT: Nanos = 30_000_000_000;
/// Most processes that start are ready within this time.
const READY_SOON_LIMIT: Nanos = 10_000_000_000;
/// How many starts of ten must be ready within [`READY_SOON_LIMIT`].
const MIN_READY_SOON_OF_TEN: usize = 9;
/// The driver sends SIGKILL this long after the longest deadline, counted from SIGTERM.
const KILL_AFTER: Nanos = 700_000_000;
/// The share of requests that must be served once all faults are over.
const SERVED_SHARE: f64 = 0.95;
/// With fewer requests, the share is not judged.
const MIN_REQUESTS: usize = 50;

pub(super) fn judge(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    let last = facts.case.history.last().map_or(0, |entry| entry.at);
    let mut start_times = Vec::new();
    for ((node, life), process) in &facts.processes {
        let mut add = |rule, at, description: &str| {
            violations.push(Violation {
                rule,
                at,
                description: format!("node {node} life {life}: {description}"),
            });
        };
        check_exits(facts, process, &mut add);
        start_times.extend(check_ready(process, last, &mut add));
    }
    let ready_soon = start_times.iter().filter(|wait| **wait <= READY_SOON_LIMIT).count();
    if ready_soon * 10 < start_times.len() * MIN_READY_SOON_OF_TEN {
        let description = format!("{ready_soon} of {} starts were ready within 10 s", start_times.len());
        violations.push(Violation { rule: Rule::Ready, at: last, description });
    }
    check_recovery(facts, violations);
}

fn check_exits(facts: &Facts<'_>, process: &NodeProcess, add: &mut impl FnMut(Rule, Nanos, &str)) {
    let stopped = process.time_of(|node_event| *node_event == NodeEvent::Stopped);
    for (at, node_event) in &process.events {
        match node_event {
            NodeEvent::ErrorLogged { line } => add(Rule::Crash, *at, line),
            NodeEvent::Ended { code } if stopped.is_none() => {
                add(Rule::Crash, *at, &format!("it ended by itself, code {code:?}"));
            }
            NodeEvent::Ended { code } if *code != Some(0) => {
                add(Rule::Exit, *at, &format!("told to end, it ended with code {code:?}"));
            }
            NodeEvent::Killed => {
                let Some(stopped) = stopped else { continue };
                let due = stopped + millis_to_nanos(facts.case.settings.deadline_ms) + KILL_AFTER;
                if *at >= due && process.paused_time(stopped, *at) == 0 {
                    add(Rule::Exit, *at, "told to end, it was there when the kill came");
                }
            }
            _ => {}
        }
    }
}

/// Returns how long a start took, or none if the process did not become ready.
fn check_ready(process: &NodeProcess, last: Nanos, add: &mut impl FnMut(Rule, Nanos, &str)) -> Option<Nanos> {
    let started = process.time_of(|node_event| matches!(node_event, NodeEvent::Started { .. }))?;
    let ready = process.time_of(|node_event| *node_event == NodeEvent::Ready);
    let ended = process.time_of(|node_event| {
        matches!(node_event, NodeEvent::Stopped | NodeEvent::Killed | NodeEvent::Ended { .. })
    });
    let until = ready.or(ended).unwrap_or(last);
    let wait = (until - started).saturating_sub(process.paused_time(started, until));
    if wait > READY_LIMIT + OBSERVATION_SLACK {
        add(Rule::Ready, until, &format!("it was not ready in {} ms", whole_millis(wait)));
    }
    ready.map(|_| wait)
}

fn check_recovery(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    let Some(calm) = facts.calm_since else { return };
    let sent_after_calm =
        || facts.requests.values().filter(|request| request.sent_at > calm && !request.endings.is_empty());
    let is_served = |end: &(Nanos, Event)| matches!(end.1, Event::Answered { status: 200, .. });
    let (all, served_count) = (
        sent_after_calm().count(),
        sent_after_calm().filter(|request| request.endings.iter().any(is_served)).count(),
    );
    if all >= MIN_REQUESTS && (served_count as f64) < SERVED_SHARE * all as f64 {
        let description = format!("{served_count} of {all} were served after all troubles were over");
        violations.push(Violation { rule: Rule::Recovered, at: calm, description });
    }
}
