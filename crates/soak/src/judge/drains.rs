//! Checks drains: an executor that drains or has left gets nothing new once the node knows of it and the grace period is over.

use super::{Facts, NodeProcess, OBSERVATION_SLACK, Rule, Violation, whole_millis};
use crate::history::{Event, Nanos, NodeEvent, Status};
use crate::millis_to_nanos;

/// Whatever else failed, a node must know a change once discovery has had it, and has been reachable, for this long.
const MAX_KNOWLEDGE_DELAY: Nanos = 6_000_000_000;
/// Tolerance added to time limits that are observed on sockets.
const SOCKET_SLACK: Nanos = 50_000_000;

/// A span in which an executor was listed as leaving or left, until it was listed as active again.
struct LeavingSpan {
    executor: usize,
    /// The version of the list with the change; 0 if the next change of the list includes it.
    version: u64,
    at: Nanos,
    until: Nanos,
}

pub(super) fn judge(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    let leaving_spans = leaving_spans(facts);
    for (id, request) in &facts.requests {
        let Some(process) = facts.process(request) else { continue };
        for execution in &request.executions {
            let here = leaving_spans.iter().filter(|leaving| leaving.executor == execution.executor);
            for leaving in
                here.filter(|leaving| (leaving.at..leaving.until).contains(&execution.first_byte_at))
            {
                let Some(known_from) = known_from(facts, process, leaving) else { continue };
                let last_allowed = known_from
                    + millis_to_nanos(facts.case.settings.drain_grace_ms)
                    + SOCKET_SLACK
                    + OBSERVATION_SLACK;
                if execution.first_byte_at > last_allowed {
                    let description = format!(
                        "{id}: node {} life {} sent to executor {} {} ms after it was told that it leaves",
                        request.node,
                        request.life,
                        leaving.executor,
                        whole_millis(execution.first_byte_at - known_from)
                    );
                    violations.push(Violation {
                        rule: Rule::Drained,
                        at: execution.first_byte_at,
                        description,
                    });
                    break;
                }
            }
        }
    }
}

/// Returns the spans in which executors were listed as leaving or left, in the order of their starts.
fn leaving_spans(facts: &Facts<'_>) -> Vec<LeavingSpan> {
    let mut all: Vec<LeavingSpan> = Vec::new();
    for entry in facts.case.history {
        let Event::Listed { version, executor, status, .. } = &entry.event else { continue };
        if *status == Status::Active {
            let open = all.iter_mut().filter(|l| l.executor == *executor && l.until == Nanos::MAX);
            open.for_each(|leaving| leaving.until = entry.at);
        } else if !all.iter().any(|l| l.executor == *executor && l.until == Nanos::MAX) {
            // An executor that was replaced under its name is listed with version 0: the change has the version of the
            // replacement, which is the next event.
            all.push(LeavingSpan { executor: *executor, version: *version, at: entry.at, until: Nanos::MAX });
        }
    }
    all
}

/// Returns when a process is expected to know a change.
fn known_from(facts: &Facts<'_>, process: &NodeProcess, leaving: &LeavingSpan) -> Option<Nanos> {
    let version = if leaving.version == 0 { version_after(facts, leaving.at)? } else { leaving.version };
    let sent = process.lists_sent.iter().find(|(_, listed)| *listed >= version).map(|(at, _)| *at);
    let started = process.time_of(|node_event| matches!(node_event, NodeEvent::Started { .. }))?;
    // A change that discovery had for this long before the process started counts from the start of the process.
    let at_latest = reachable_from(facts, leaving.at).map(|from| (from + MAX_KNOWLEDGE_DELAY).max(started));
    let pushed = (facts.case.settings.pushed && leaving.at < started).then_some(started);
    // A change that a silent watch missed counts from when the watch fell silent, if discovery stayed reachable for another.
    let unbroken = |silenced: &Nanos| reachable_from(facts, *silenced) == Some(*silenced);
    let missed = |silenced: &Nanos| (*silenced..*silenced + MAX_KNOWLEDGE_DELAY).contains(&leaving.at);
    let silent =
        process.watch_silenced.filter(missed).filter(unbroken).map(|silenced| silenced + MAX_KNOWLEDGE_DELAY);
    [sent, at_latest, pushed, silent].into_iter().flatten().min()
}

/// Returns the version of the first change at or after a time.
fn version_after(facts: &Facts<'_>, at: Nanos) -> Option<u64> {
    let later = facts.case.history.iter().filter(|entry| entry.at >= at);
    later
        .filter_map(
            |entry| if let Event::Listed { version, .. } = entry.event { Some(version) } else { None },
        )
        .find(|version| *version > 0)
}

/// Returns the time at or after `at` from which discovery could be reached without interruption for [`MAX_KNOWLEDGE_DELAY`].
fn reachable_from(facts: &Facts<'_>, at: Nanos) -> Option<Nanos> {
    let mut outages = 0_usize;
    let mut from = Some(at);
    for entry in facts.case.history {
        let Event::Discovery { reachable } = entry.event else { continue };
        if from.is_some_and(|from| entry.at >= from + MAX_KNOWLEDGE_DELAY) {
            break;
        }
        outages = if reachable { outages.saturating_sub(1) } else { outages + 1 };
        from = (outages == 0).then_some(entry.at.max(at));
    }
    from
}
