//! Checks answers: each accepted request gets one, in time, with its executor's result, and no bytes follow it.

use super::{Facts, NodeProcess, OBSERVATION_SLACK, Request, Rule, Violation, whole_millis};
use crate::generator::BROKEN_CONNECTIONS_RULE;
use crate::history::{Event, Misbehavior, MissingAnswer, Nanos, NodeEvent};

/// An answer that comes up to this long after the deadline earns no payoff, but violates no rule.
const LATE_ANSWER_LIMIT: Nanos = 500_000_000;
/// SIGKILL later than this after SIGTERM does not excuse an unanswered request. The documentation of the protocol sets
/// the time.
const KILL_EXCUSED_WITHIN: Nanos = 700_000_000;
/// Tolerance, in addition to [`OBSERVATION_SLACK`], for the time at which a misbehaving client observes the reaction.
const REACTION_SLACK: Nanos = 100_000_000;
/// A client that misbehaves gets an error, or its connection is closed, within this time.
const MISBEHAVIOR_ANSWER_LIMIT: Nanos = 3_000_000_000;

pub(super) fn judge(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    for (id, request) in &facts.requests {
        check_answers(facts, id, request, violations);
    }
    check_unexpected_bytes(facts, violations);
    check_misbehaving_clients(facts, violations);
}

fn check_answers(facts: &Facts<'_>, id: &str, request: &Request, violations: &mut Vec<Violation>) {
    let mut add = |rule, at, description: String| {
        violations.push(Violation { rule, at, description: format!("{id}: {description}") })
    };
    let answers = request.endings.iter().filter(|(_, end)| matches!(end, Event::Answered { .. })).count();
    if answers > 1 {
        add(Rule::Answer, request.sent_at, format!("answered {answers} times"));
    }
    for (at, end) in &request.endings {
        match end {
            Event::Answered { status: 200, result, .. } if *result != format!("r-{id}") => {
                add(Rule::OwnAnswer, *at, format!("served with {result:?}"));
            }
            Event::Answered { status, .. } => {
                if let Some(late) = late_by(facts, request, *at) {
                    add(
                        Rule::Answer,
                        *at,
                        format!("answered {status} {} ms after its deadline", whole_millis(late)),
                    );
                }
            }
            Event::Unanswered { how, .. } if !is_excused(facts.process(request), request, *how, *at) => {
                add(Rule::Answer, *at, describe_missing_answer(request, *how, *at));
            }
            _ => {}
        }
    }
}

fn describe_missing_answer(request: &Request, how: MissingAnswer, at: Nanos) -> String {
    let Request { node, life, requests_before: behind, .. } = request;
    let waited = whole_millis(at.saturating_sub(request.sent_at));
    let connection = if request.first_on_connection { "new" } else { "kept" };
    format!("{how:?} after {waited} ms, node {node} life {life}, {connection} connection, {behind} before it")
}

/// Returns how long after its deadline an answer came, or none if that is within the limit. A request that was pipelined behind
/// others is not judged.
fn late_by(facts: &Facts<'_>, request: &Request, at: Nanos) -> Option<Nanos> {
    if request.requests_before > 0 {
        return None;
    }
    let paused = facts.process(request).map_or(0, |process| process.paused_time(request.sent_at, at));
    let late = at.checked_sub(request.deadline + LATE_ANSWER_LIMIT + paused + OBSERVATION_SLACK)?;
    Some(late + LATE_ANSWER_LIMIT)
}

/// Returns whether a missing answer violates no rule. A request cannot be answered if the shim broke its connection. A process
/// that got SIGKILL owes no answers, unless it had got SIGTERM long enough before and was not paused since.
fn is_excused(process: Option<&NodeProcess>, request: &Request, how: MissingAnswer, at: Nanos) -> bool {
    let Some(process) = process else { return true };
    let killed =
        process.time_of(|node_event| *node_event == NodeEvent::Killed).filter(|killed| *killed <= at);
    let stopped =
        process.time_of(|node_event| *node_event == NodeEvent::Stopped).filter(|stopped| *stopped <= at);
    let had_no_time = |stopped: Nanos, killed: Nanos| {
        killed <= stopped + KILL_EXCUSED_WITHIN || process.paused_time(stopped, at) > 0
    };
    if killed.is_some_and(|killed| stopped.is_none_or(|stopped| had_no_time(stopped, killed))) {
        return true;
    }
    if process.shim().contains(BROKEN_CONNECTIONS_RULE) && how == MissingAnswer::Closed {
        return true;
    }
    // Whether a pipelined request was read before a close can't be observed from outside.
    let partly_read = !process.shim().is_empty() || stopped.is_some();
    request.requests_before > 0 && how == MissingAnswer::Closed && partly_read
}

fn check_unexpected_bytes(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    for entry in facts.case.history {
        if let Event::UnexpectedBytes { client_connection } = &entry.event {
            let description = format!("connection {client_connection}: something came behind the answer");
            violations.push(Violation { rule: Rule::Unasked, at: entry.at, description });
        }
    }
}

fn check_misbehaving_clients(facts: &Facts<'_>, violations: &mut Vec<Violation>) {
    let last = facts.case.history.last().map_or(0, |entry| entry.at);
    for entry in facts.case.history {
        let Event::Misbehaved { client_connection, node, life, how } = &entry.event else { continue };
        if *how == Misbehavior::Flood {
            continue;
        }
        let answer = Event::MisbehaviorAnswered { client_connection: *client_connection };
        let answered = facts.case.history.iter().find(|later| later.event == answer).map(|later| later.at);
        let process = facts.processes.get(&(*node, *life));
        let paused = process.map_or(0, |process| process.paused_time(entry.at, answered.unwrap_or(last)));
        let due = entry.at + MISBEHAVIOR_ANSWER_LIMIT + paused + OBSERVATION_SLACK + REACTION_SLACK;
        let gone = process.and_then(|process| {
            process.time_of(|node_event| matches!(node_event, NodeEvent::Killed | NodeEvent::Ended { .. }))
        });
        if gone.is_some_and(|gone| gone <= due) || answered.is_none() && last <= due {
            continue;
        }
        if answered.is_none_or(|answered| answered > due) {
            let waited =
                answered.map_or("never".to_owned(), |at| format!("{} ms later", whole_millis(at - entry.at)));
            let description =
                format!("{how:?} at node {node} life {life}: an error or a close came {waited}");
            violations.push(Violation { rule: Rule::BadClient, at: entry.at, description });
        }
    }
}
