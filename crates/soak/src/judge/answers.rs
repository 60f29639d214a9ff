//! Answers: one for each request taken, in time, by an executor's result, and nothing after it.

use super::{Facts, Life, Request, Rule, SLACK, Violation, ms};
use crate::generator::BREAKS;
use crate::history::{Event, Misbehavior, MissingAnswer, Nanos, NodeEvent};
use crate::millis;

/// Up to so long after its deadline an answer only earns nothing.
const LATE_BY: Nanos = 500_000_000;
/// What a kill finds unanswered is lost if it comes later than this after SIGTERM: the protocol page, "Figures".
const KILL_LOSES_AFTER: Nanos = 700_000_000;
/// A client that misbehaves gets an error or a close within this.
const REBUKED_WITHIN: Nanos = 3_000_000_000;

pub(super) fn judge(facts: &Facts<'_>, found: &mut Vec<Violation>) {
    for (id, request) in &facts.requests {
        answered(facts, id, request, found);
    }
    unasked(facts, found);
    bad_clients(facts, found);
}

fn answered(facts: &Facts<'_>, id: &str, request: &Request, found: &mut Vec<Violation>) {
    let mut add = |rule, at, description: String| {
        found.push(Violation { rule, at, description: format!("{id}: {description}") })
    };
    let answers = request.ends.iter().filter(|(_, end)| matches!(end, Event::Answered { .. })).count();
    if answers > 1 {
        add(Rule::Answer, request.asked, format!("answered {answers} times"));
    }
    for (at, end) in &request.ends {
        match end {
            Event::Answered { status: 200, result, .. } if *result != format!("r-{id}") => {
                add(Rule::OwnAnswer, *at, format!("served with {result:?}"));
            }
            Event::Answered { status, .. } => {
                if let Some(late) = late_by(facts, request, *at) {
                    add(Rule::Answer, *at, format!("answered {status} {} ms after its deadline", ms(late)));
                }
            }
            Event::Unanswered { how, .. } if !excused(facts.life(request), request, *how, *at) => {
                add(Rule::Answer, *at, unanswered(request, *how, *at));
            }
            _ => {}
        }
    }
}

fn unanswered(request: &Request, how: MissingAnswer, at: Nanos) -> String {
    let Request { node, life, behind, .. } = request;
    let waited = ms(at.saturating_sub(request.asked));
    let connection = if request.first { "new" } else { "kept" };
    format!("{how:?} after {waited} ms, node {node} life {life}, {connection} connection, {behind} before it")
}

/// By how much an answer came too late; none if it did not. Those that waited behind others are not judged.
fn late_by(facts: &Facts<'_>, request: &Request, at: Nanos) -> Option<Nanos> {
    if request.behind > 0 {
        return None;
    }
    let paused = facts.life(request).map_or(0, |life| life.paused(request.asked, at));
    let late = at.checked_sub(request.deadline + LATE_BY + paused + SLACK)?;
    Some(late + LATE_BY)
}

/// Nobody can be answered whose connection was broken by the shim. A process that was killed outright owes nothing, unless it
/// had been told to end for long enough and was not held still since.
fn excused(life: Option<&Life>, request: &Request, how: MissingAnswer, at: Nanos) -> bool {
    let Some(life) = life else { return true };
    let killed = life.when(|node_event| *node_event == NodeEvent::Killed).filter(|killed| *killed <= at);
    let stopped = life.when(|node_event| *node_event == NodeEvent::Stopped).filter(|stopped| *stopped <= at);
    let no_time =
        |stopped: Nanos, killed: Nanos| killed <= stopped + KILL_LOSES_AFTER || life.paused(stopped, at) > 0;
    if killed.is_some_and(|killed| stopped.is_none_or(|stopped| no_time(stopped, killed))) {
        return true;
    }
    if life.shim().contains(BREAKS) && how == MissingAnswer::Closed {
        return true;
    }
    // Of those behind another it can't be told from outside whether they were read before a close.
    let partly_read = !life.shim().is_empty() || stopped.is_some();
    request.behind > 0 && how == MissingAnswer::Closed && partly_read
}

fn unasked(facts: &Facts<'_>, found: &mut Vec<Violation>) {
    for entry in facts.case.history {
        if let Event::UnexpectedBytes { client_connection } = &entry.event {
            let description = format!("connection {client_connection}: something came behind the answer");
            found.push(Violation { rule: Rule::Unasked, at: entry.at, description });
        }
    }
}

fn bad_clients(facts: &Facts<'_>, found: &mut Vec<Violation>) {
    let last = facts.case.history.last().map_or(0, |entry| entry.at);
    for entry in facts.case.history {
        let Event::Misbehaved { client_connection, node, life, how } = &entry.event else { continue };
        if *how == Misbehavior::Flood {
            continue;
        }
        let wanted = Event::MisbehaviorAnswered { client_connection: *client_connection };
        let rebuked = facts.case.history.iter().find(|later| later.event == wanted).map(|later| later.at);
        let life_of = facts.lives.get(&(*node, *life));
        let paused = life_of.map_or(0, |l| l.paused(entry.at, rebuked.unwrap_or(last)));
        let due = entry.at + REBUKED_WITHIN + paused + SLACK + millis(100);
        let gone = life_of.and_then(|l| {
            l.when(|node_event| matches!(node_event, NodeEvent::Killed | NodeEvent::Ended { .. }))
        });
        if gone.is_some_and(|gone| gone <= due) || rebuked.is_none() && last <= due {
            continue;
        }
        if rebuked.is_none_or(|rebuked| rebuked > due) {
            let waited = rebuked.map_or("never".to_owned(), |at| format!("{} ms later", ms(at - entry.at)));
            let description =
                format!("{how:?} at node {node} life {life}: an error or a close came {waited}");
            found.push(Violation { rule: Rule::BadClient, at: entry.at, description });
        }
    }
}
