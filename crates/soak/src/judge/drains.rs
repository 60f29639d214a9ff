//! Drains: nothing new to an executor that drains or has left, once that was told and the grace is over.

use super::{Facts, Life, Rule, SLACK, Violation, ms};
use crate::history::{Event, Nanos, NodeEvent, Status};
use crate::millis;

/// Whatever failed, a change counts as told so long after discovery had it and could be reached.
const TOLD_AT_LAST: Nanos = 6_000_000_000;
/// Time limits are this much longer on sockets.
const SOCKETS: Nanos = 50_000_000;

/// An executor was listed as draining or gone from then on, until it was listed as active again.
struct Leaving {
    executor: usize,
    version: u64,
    at: Nanos,
    until: Nanos,
}

pub(super) fn judge(facts: &Facts<'_>, found: &mut Vec<Violation>) {
    let leavings = leavings(facts);
    for (id, request) in &facts.requests {
        let Some(life) = facts.life(request) else { continue };
        for execution in &request.executions {
            let here = leavings.iter().filter(|leaving| leaving.executor == execution.executor);
            for leaving in here.filter(|leaving| (leaving.at..leaving.until).contains(&execution.first_byte))
            {
                let Some(told) = told(facts, life, leaving) else { continue };
                let last = told + millis(facts.case.settings.drain_grace_ms) + SOCKETS + SLACK;
                if execution.first_byte > last {
                    let description = format!(
                        "{id}: node {} life {} sent to executor {} {} ms after it was told that it leaves",
                        request.node,
                        request.life,
                        leaving.executor,
                        ms(execution.first_byte - told)
                    );
                    found.push(Violation { rule: Rule::Drained, at: execution.first_byte, description });
                    break;
                }
            }
        }
    }
}

fn leavings(facts: &Facts<'_>) -> Vec<Leaving> {
    let mut all: Vec<Leaving> = Vec::new();
    for entry in facts.case.history {
        let Event::Listed { version, executor, status, .. } = &entry.event else { continue };
        if *status == Status::Active {
            let open = all.iter_mut().filter(|l| l.executor == *executor && l.until == Nanos::MAX);
            open.for_each(|leaving| leaving.until = entry.at);
        } else if !all.iter().any(|l| l.executor == *executor && l.until == Nanos::MAX) {
            // Replaced under its name, it has the version of the one that took its place, which comes next.
            all.push(Leaving { executor: *executor, version: *version, at: entry.at, until: Nanos::MAX });
        }
    }
    all
}

/// When a process counts as told of a change.
fn told(facts: &Facts<'_>, life: &Life, leaving: &Leaving) -> Option<Nanos> {
    let version = if leaving.version == 0 { version_after(facts, leaving.at)? } else { leaving.version };
    let written = life.told.iter().find(|(_, told)| *told >= version).map(|(at, _)| *at);
    let started = life.when(|node_event| matches!(node_event, NodeEvent::Started { .. }))?;
    // What discovery had for so long before a process began counts for it from its first moment.
    let at_last = reachable_from(facts, leaving.at).map(|from| (from + TOLD_AT_LAST).max(started));
    let pushed = (facts.case.settings.pushed && leaving.at < started).then_some(started);
    // What a silent watch misses counts from when it fell silent, if another could be had meanwhile.
    let unbroken = |muted: &Nanos| reachable_from(facts, *muted) == Some(*muted);
    let missed = |muted: &Nanos| (*muted..*muted + TOLD_AT_LAST).contains(&leaving.at);
    let silent = life.muted.filter(missed).filter(unbroken).map(|muted| muted + TOLD_AT_LAST);
    [written, at_last, pushed, silent].into_iter().flatten().min()
}

/// The version of the first change from then on.
fn version_after(facts: &Facts<'_>, at: Nanos) -> Option<u64> {
    let later = facts.case.history.iter().filter(|entry| entry.at >= at);
    later
        .filter_map(
            |entry| if let Event::Listed { version, .. } = entry.event { Some(version) } else { None },
        )
        .find(|version| *version > 0)
}

/// From when on discovery could be reached without a break for as long as a change may take to count as told.
fn reachable_from(facts: &Facts<'_>, at: Nanos) -> Option<Nanos> {
    let mut faults = 0_usize;
    let mut from = Some(at);
    for entry in facts.case.history {
        let Event::Discovery { reachable } = entry.event else { continue };
        if from.is_some_and(|from| entry.at >= from + TOLD_AT_LAST) {
            break;
        }
        faults = if reachable { faults.saturating_sub(1) } else { faults + 1 };
        from = (faults == 0).then_some(entry.at.max(at));
    }
    from
}
