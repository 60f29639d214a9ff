//! Checks executions: no effect happens twice, no executed request is refused, nothing begins for a client that has left, no
//! deadline exceeds the client's, and a bound product stays in its zone.

use super::{Execution, Facts, OBSERVATION_SLACK, Request, Rule, Violation, ms};
use crate::history::{Event, Nanos};
use crate::millis;
use crate::settings::{BOUND_ZONE, Class, Effect};

/// An execution may begin up to this long after its client has left.
const LEFT_GRACE: Nanos = 100_000_000;
/// The deadline sent to an executor may exceed the client's by this much.
const DEADLINE_SLACK_MS: u64 = 150;
/// Tolerance added to time limits that are observed on sockets.
const SOCKET_SLACK: Nanos = 50_000_000;

pub(super) fn judge(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    for (id, request) in &facts.requests {
        let mut add = |rule, at, description: String| {
            violations.push(Violation {
                rule,
                at,
                description: format!("{id} ({}): {description}", request.class.name()),
            })
        };
        repeated(facts, request, &mut add);
        refused_and_run(request, &mut add);
        for (number, execution) in request.executions.iter().enumerate() {
            for_nobody(request, number, execution, &mut add);
            deadline(facts, request, execution, &mut add);
            placement(facts, request, execution, &mut add);
        }
    }
    for entry in facts.case.history {
        if let Event::Malformed { executor, why } = &entry.event {
            let description = format!("executor {executor}: {why}");
            violations.push(Violation { rule: Rule::Malformed, at: entry.at, description });
        }
    }
}

/// Returns the executions that may have had an effect, in order.
fn not_declined(request: &Request) -> impl Iterator<Item = &Execution> {
    request.executions.iter().filter(|execution| !execution.declined)
}

fn repeated(facts: &Facts<'_>, request: &Request, add: &mut impl FnMut(Rule, Nanos, String)) {
    let settings = facts.case.settings;
    let all = &request.executions;
    if let Some(last) = all.get(settings.max_executions) {
        add(Rule::TooMany, last.first_byte, format!("{} executions", all.len()));
    }
    let first = not_declined(request).next();
    let after_first =
        |first: &Execution| all.iter().filter(|e| e.received > first.received).collect::<Vec<_>>();
    if let Some(first) = first {
        for again in after_first(first) {
            let apart = ms(again.first_byte.saturating_sub(first.received));
            let to = format!("executor {} then {}, {apart} ms later", first.executor, again.executor);
            match request.class.effect() {
                Effect::Pure => {}
                Effect::OneShot => add(Rule::Twice, again.first_byte, to),
                Effect::Keyed => {
                    let group =
                        |e: &Execution| facts.case.locations.get(e.executor).map(|location| location.group);
                    let late = again.received
                        > first.received
                            + millis(settings.dedup_window_ms)
                            + SOCKET_SLACK
                            + OBSERVATION_SLACK;
                    if group(first) != group(again) {
                        add(Rule::Twice, again.first_byte, format!("outside its group: {to}"));
                    } else if late {
                        add(Rule::Twice, again.first_byte, format!("after its window: {to}"));
                    }
                }
            }
        }
    }
    if !settings.may_duplicate {
        for pair in all.windows(2) {
            let out = pair[0].finished.is_none_or(|finished| finished > pair[1].received + OBSERVATION_SLACK);
            if out {
                let description = format!("executors {} and {}", pair[0].executor, pair[1].executor);
                add(Rule::TwoOut, pair[1].first_byte, description);
            }
        }
    }
}

/// A refusal promises that a retry is harmless, so the request must not have been executed.
fn refused_and_run(request: &Request, add: &mut impl FnMut(Rule, Nanos, String)) {
    if request.class.effect() == Effect::Pure {
        return;
    }
    let refusal = |(_, end): &&(Nanos, Event)| matches!(end, Event::Answered { status: 429 | 503, .. });
    let Some((at, _)) = request.ends.iter().find(refusal) else { return };
    if let Some(execution) = not_declined(request).next() {
        add(Rule::RefusedAndRun, *at, format!("refused, and executor {} got it", execution.executor));
    }
}

fn for_nobody(
    request: &Request,
    number: usize,
    execution: &Execution,
    add: &mut impl FnMut(Rule, Nanos, String),
) {
    let Some(left) = request.left else { return };
    if execution.first_byte > left + LEFT_GRACE + OBSERVATION_SLACK {
        let late = ms(execution.first_byte - left);
        add(
            Rule::ForNobody,
            execution.first_byte,
            format!("execution {number} began {late} ms after its client left"),
        );
    }
}

fn deadline(
    facts: &Facts<'_>,
    request: &Request,
    execution: &Execution,
    add: &mut impl FnMut(Rule, Nanos, String),
) {
    let Some(sent_ms) = execution.deadline_header_ms else { return };
    let left = request.deadline.saturating_sub(execution.first_byte);
    let paused =
        facts.process(request).map_or(0, |process| process.paused(request.asked, execution.first_byte));
    // A process that was paused while a request arrived can't know how long the request had waited.
    if paused > 0 {
        return;
    }
    let most = ms(left + OBSERVATION_SLACK) + DEADLINE_SLACK_MS;
    if sent_ms > most {
        let behind = request.behind;
        add(
            Rule::Deadline,
            execution.first_byte,
            format!("told {sent_ms} ms, {} left, {behind} before it", ms(left)),
        );
    }
}

fn placement(
    facts: &Facts<'_>,
    request: &Request,
    execution: &Execution,
    add: &mut impl FnMut(Rule, Nanos, String),
) {
    let zone = facts.case.locations.get(execution.executor).map(|location| location.zone);
    if request.class == Class::Local && zone.is_some_and(|zone| zone != BOUND_ZONE) {
        add(Rule::Placement, execution.first_byte, format!("executor {}", execution.executor));
    }
}
