//! Checks executions: no effect happens twice, no executed request is refused, nothing begins for a client that has left, no
//! deadline exceeds the client's, and a bound product stays in its zone.

use super::{Execution, Facts, OBSERVATION_SLACK, Request, Rule, Violation, whole_millis};
use crate::history::{Event, Nanos};
use crate::millis_to_nanos;
use crate::settings::{BOUND_ZONE, Class, Effect};

/// An execution may begin up to this long after its client has left.
const CLIENT_LEFT_GRACE: Nanos = 100_000_000;
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
        check_repeats(facts, request, &mut add);
        check_refusal(request, &mut add);
        for (number, execution) in request.executions.iter().enumerate() {
            check_client_left(request, number, execution, &mut add);
            check_deadline(facts, request, execution, &mut add);
            check_zone(facts, request, execution, &mut add);
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

fn check_repeats(facts: &Facts<'_>, request: &Request, add: &mut impl FnMut(Rule, Nanos, String)) {
    let settings = facts.case.settings;
    let all = &request.executions;
    if let Some(last) = all.get(settings.max_executions) {
        add(Rule::TooMany, last.first_byte_at, format!("{} executions", all.len()));
    }
    let first = not_declined(request).next();
    let after_first =
        |first: &Execution| all.iter().filter(|e| e.received_at > first.received_at).collect::<Vec<_>>();
    if let Some(first) = first {
        for again in after_first(first) {
            let apart = whole_millis(again.first_byte_at.saturating_sub(first.received_at));
            let to = format!("executor {} then {}, {apart} ms later", first.executor, again.executor);
            match request.class.effect() {
                Effect::Pure => {}
                Effect::OneShot => add(Rule::Twice, again.first_byte_at, to),
                Effect::Keyed => {
                    let group =
                        |e: &Execution| facts.case.locations.get(e.executor).map(|location| location.group);
                    let is_late = again.received_at
                        > first.received_at
                            + millis_to_nanos(settings.dedup_window_ms)
                            + SOCKET_SLACK
                            + OBSERVATION_SLACK;
                    if group(first) != group(again) {
                        add(Rule::Twice, again.first_byte_at, format!("outside its group: {to}"));
                    } else if is_late {
                        add(Rule::Twice, again.first_byte_at, format!("after its window: {to}"));
                    }
                }
            }
        }
    }
    if !settings.may_duplicate {
        for pair in all.windows(2) {
            let overlap =
                pair[0].ended_at.is_none_or(|finished| finished > pair[1].received_at + OBSERVATION_SLACK);
            if overlap {
                let description = format!("executors {} and {}", pair[0].executor, pair[1].executor);
                add(Rule::TwoOut, pair[1].first_byte_at, description);
            }
        }
    }
}

/// A refusal promises that a retry is harmless, so the request must not have been executed.
fn check_refusal(request: &Request, add: &mut impl FnMut(Rule, Nanos, String)) {
    if request.class.effect() == Effect::Pure {
        return;
    }
    let refusal = |(_, end): &&(Nanos, Event)| matches!(end, Event::Answered { status: 429 | 503, .. });
    let Some((at, _)) = request.endings.iter().find(refusal) else { return };
    if let Some(execution) = not_declined(request).next() {
        add(Rule::RefusedAndRun, *at, format!("refused, and executor {} got it", execution.executor));
    }
}

fn check_client_left(
    request: &Request,
    number: usize,
    execution: &Execution,
    add: &mut impl FnMut(Rule, Nanos, String),
) {
    let Some(left_at) = request.client_left_at else { return };
    if execution.first_byte_at > left_at + CLIENT_LEFT_GRACE + OBSERVATION_SLACK {
        let late_ms = whole_millis(execution.first_byte_at - left_at);
        add(
            Rule::ForNobody,
            execution.first_byte_at,
            format!("execution {number} began {late_ms} ms after its client left"),
        );
    }
}

fn check_deadline(
    facts: &Facts<'_>,
    request: &Request,
    execution: &Execution,
    add: &mut impl FnMut(Rule, Nanos, String),
) {
    let Some(sent_ms) = execution.deadline_header_ms else { return };
    let time_left = request.deadline.saturating_sub(execution.first_byte_at);
    let paused = facts
        .process(request)
        .map_or(0, |process| process.paused_time(request.sent_at, execution.first_byte_at));
    // A process that was paused while a request arrived can't know how long the request had waited.
    if paused > 0 {
        return;
    }
    let max_ms = whole_millis(time_left + OBSERVATION_SLACK) + DEADLINE_SLACK_MS;
    if sent_ms > max_ms {
        let behind = request.requests_before;
        add(
            Rule::Deadline,
            execution.first_byte_at,
            format!("told {sent_ms} ms, {} left, {behind} before it", whole_millis(time_left)),
        );
    }
}

fn check_zone(
    facts: &Facts<'_>,
    request: &Request,
    execution: &Execution,
    add: &mut impl FnMut(Rule, Nanos, String),
) {
    let zone = facts.case.locations.get(execution.executor).map(|location| location.zone);
    if request.class == Class::Local && zone.is_some_and(|zone| zone != BOUND_ZONE) {
        add(Rule::Placement, execution.first_byte_at, format!("executor {}", execution.executor));
    }
}
