//! Judges merged histories. It knows what is promised and nothing of how it is kept.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use linestack_history::{Ended, HistoryEvent, Line};

/// What was promised.
#[derive(Clone, Debug)]
pub struct Promise {
    /// There are coordinators: versions are agreed on.
    pub coordinated: bool,
    /// Nanoseconds after a decision from which no process takes anything under the version before.
    pub bound: u64,
    /// Nodes that can't prove their terms current take nothing.
    pub strict: bool,
    /// Nodes keep a store, and clients come back to the node that they asked: none of what it sent begins twice.
    pub remembered: bool,
    /// Clients ask again also when the first try may have run, so that doubles are counted and not judged.
    pub asked_when_unknown: bool,
}

/// A promise that was not kept, and by what it shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Broken {
    /// A submission was taken under a version after another had been decided for longer than the bound.
    OldVersion,
    /// A node went by a version that was not decided yet, or never.
    Undecided,
    /// One version with two texts, one change with two ends, or decisions out of order.
    TwoOutcomes,
    /// An operator was told another end than the change had.
    WrongWord,
    /// A coordinator granted after another spoke for the fleet.
    OldCoordinator,
    /// A node took a submission after its leave to serve was over.
    Unfenced,
    /// A submission changed its version on the way.
    VersionChanged,
    /// Answered twice, or handed out after its answer.
    AnsweredTwice,
    /// Taken and never answered by a process that lived on.
    Unanswered,
    /// A client that no fault kept from its answer did not get one.
    NoAnswer,
    /// A one-shot was executed twice.
    Twice,
    /// A cold executor was handed more than it bears, by all nodes together.
    PushedOver,
}

/// A promise that was not kept once.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Which one.
    pub broken: Broken,
    /// When, in nanoseconds on the monotonic clock.
    pub at: u64,
    /// Whose line of the history shows it.
    pub by: String,
    /// What shows it.
    pub why: String,
}

/// Intervals in which a process or its ways were not whole, by its name.
fn troubled(lines: &[Line]) -> HashMap<String, Vec<(u64, u64)>> {
    let mut all: HashMap<String, Vec<(u64, u64)>> = HashMap::new();
    let mut open: HashMap<(String, bool), u64> = HashMap::new();
    for line in lines {
        let HistoryEvent::Did { deed, to } = &line.what else { continue };
        // A way from clients to a node is the node's.
        let way = to.contains('>');
        let who = to.strip_prefix("k>").unwrap_or(to).to_owned();
        match deed.as_str() {
            "kill" | "pause" | "stop" | "cut" | "delay" | "throttle" => {
                open.entry((who, way)).or_insert(line.at);
            }
            "start" | "start-empty" | "start-older" | "start-rolled-back" | "replace" | "resume" | "heal" => {
                if let Some(from) = open.remove(&(who.clone(), way)) {
                    all.entry(who).or_default().push((from, line.at));
                }
            }
            "reset" | "cut-at" => all.entry(who).or_default().push((line.at, line.at)),
            _ => {}
        }
    }
    for ((who, _), from) in open {
        all.entry(who).or_default().push((from, u64::MAX));
    }
    all
}

/// All that the histories show to be broken. The lines may come in any order.
#[must_use]
pub fn check(lines: &[Line], promise: &Promise) -> Vec<Finding> {
    let mut lines = lines.to_vec();
    lines.sort_by_key(|l| l.at);
    let mut found = Vec::new();
    if promise.coordinated {
        agreement(&lines, promise, &mut found);
    }
    submissions(&lines, promise, &mut found);
    clients(&lines, promise, &mut found);
    found.sort_by_key(|f: &Finding| f.at);
    found
}

fn add(found: &mut Vec<Finding>, broken: Broken, line: &Line, why: String) {
    found.push(Finding { broken, at: line.at, by: line.by.clone(), why });
}

fn agreement(lines: &[Line], promise: &Promise, found: &mut Vec<Finding>) {
    // Version: when it was first known to be decided, and the digest of its text.
    let mut decided: BTreeMap<u64, (u64, u32)> = BTreeMap::new();
    let mut ends: HashMap<&str, (bool, u64)> = HashMap::new();
    let mut newest: (u64, &str) = (0, "");
    let mut leased: HashMap<(&str, u64), (u64, u64)> = HashMap::new();
    let mut dropped: BTreeSet<u64> = BTreeSet::new();
    for line in lines {
        let by = line.by.as_str();
        match &line.what {
            HistoryEvent::Decided { request, version, digest } => {
                let known = decided.entry(*version).or_insert((line.at, *digest));
                if known.1 != *digest || dropped.contains(version) {
                    add(
                        found,
                        Broken::TwoOutcomes,
                        line,
                        format!("version {version} has two texts or two ends"),
                    );
                }
                // The first terms of all are nobody's request.
                if !request.is_empty() && *ends.entry(request).or_insert((true, *version)) != (true, *version)
                {
                    add(found, Broken::TwoOutcomes, line, format!("{request} ended otherwise before"));
                }
            }
            HistoryEvent::Dropped { request, version, .. } => {
                dropped.insert(*version);
                let other = *ends.entry(request).or_insert((false, *version)) != (false, *version);
                if other || decided.contains_key(version) {
                    add(found, Broken::TwoOutcomes, line, format!("{request} ended otherwise before"));
                }
            }
            HistoryEvent::Established { round } => newest = newest.max((*round, by)),
            HistoryEvent::Granted { round, member, version } if promise.strict => {
                if (*round, by) < newest {
                    let why = format!(
                        "let {member} serve in round {round}, but {} speaks in {}",
                        newest.1, newest.0
                    );
                    add(found, Broken::OldCoordinator, line, why);
                }
                if !decided.contains_key(version) {
                    add(found, Broken::Undecided, line, format!("let {member} serve under {version}"));
                }
            }
            HistoryEvent::Active { version, digest } => match decided.get(version) {
                Some((_, text)) if text == digest => {}
                Some(_) => {
                    add(found, Broken::TwoOutcomes, line, format!("version {version} with another text"))
                }
                None => add(found, Broken::Undecided, line, format!("goes by version {version}")),
            },
            HistoryEvent::Leased { version, until } => {
                leased.insert((by, line.life), (*version, *until));
            }
            HistoryEvent::Taken { id, version } if promise.strict && *version > 0 => {
                match leased.get(&(by, line.life)) {
                    Some((_, until)) if line.at < *until => {}
                    Some((_, until)) => {
                        let over = (line.at - until) / 1000;
                        add(
                            found,
                            Broken::Unfenced,
                            line,
                            format!("took {id} {over} us after its leave was over"),
                        );
                    }
                    None => add(found, Broken::Unfenced, line, format!("took {id} without leave")),
                }
                if !decided.contains_key(version) {
                    add(found, Broken::Undecided, line, format!("took {id} under {version}"));
                }
                let newer = decided.range(version + 1..).map(|(v, (at, _))| (*at, *v)).min();
                if let Some((at, v)) = newer
                    && line.at > at + promise.bound
                {
                    let late = (line.at - at) / 1_000_000;
                    let why = format!("took {id} under {version}, {late} ms after {v} was decided");
                    add(found, Broken::OldVersion, line, why);
                }
            }
            HistoryEvent::Heard { request, outcome } => {
                let end = ends.get(request.as_str()).map(|(decided, _)| *decided);
                let wrong = match outcome.as_str() {
                    "decided" => end != Some(true),
                    "dropped" => end != Some(false),
                    // Refused at once: it was never put before the fleet, now or later.
                    "refused" => end.is_some(),
                    _ => false,
                };
                if wrong {
                    add(found, Broken::WrongWord, line, format!("{request}: told {outcome}"));
                }
            }
            _ => {}
        }
    }
    // Whatever was told first, a request that was refused may not be decided later.
    for line in lines {
        if let HistoryEvent::Heard { request, outcome } = &line.what
            && outcome == "refused"
            && ends.get(request.as_str()).is_some_and(|(decided, _)| *decided)
        {
            add(found, Broken::WrongWord, line, format!("{request}: told refused, and decided"));
        }
    }
}

fn submissions(lines: &[Line], promise: &Promise, found: &mut Vec<Finding>) {
    struct Held<'a> {
        line: &'a Line,
        version: u64,
        answered: bool,
    }
    let mut held: HashMap<(&str, u64, &str), Held> = HashMap::new();
    for line in lines {
        match &line.what {
            HistoryEvent::Taken { id, version } => {
                let taken = Held { line, version: *version, answered: false };
                held.insert((&line.by, line.life, id), taken);
            }
            HistoryEvent::Sent { id, version } => match held.get(&(line.by.as_str(), line.life, id.as_str()))
            {
                Some(h) if h.answered => {
                    add(found, Broken::AnsweredTwice, line, format!("sent {id} after its answer"));
                }
                Some(h) if h.version == *version => {}
                Some(h) => {
                    let why = format!("{id}: taken under {}, sent under {version}", h.version);
                    add(found, Broken::VersionChanged, line, why);
                }
                None => {
                    add(found, Broken::VersionChanged, line, format!("sent {id}, which it had not taken"))
                }
            },
            HistoryEvent::Answered { id, version, ended } if *ended != Ended::Repeated => {
                match held.get_mut(&(line.by.as_str(), line.life, id.as_str())) {
                    Some(h) if h.answered => {
                        add(found, Broken::AnsweredTwice, line, format!("answered {id} twice"));
                    }
                    Some(h) => {
                        h.answered = true;
                        if h.version != *version {
                            let why = format!("{id}: taken under {}, answered under {version}", h.version);
                            add(found, Broken::VersionChanged, line, why);
                        }
                    }
                    None => {}
                }
            }
            _ => {}
        }
    }
    // A client that left is owed nothing; that it left shows in its own history.
    let left: BTreeSet<&str> = lines
        .iter()
        .filter_map(|l| match &l.what {
            HistoryEvent::Unknown { id } | HistoryEvent::Unsent { id } => Some(id.as_str()),
            _ => None,
        })
        .collect();
    let troubles = troubled(lines);
    for ((by, _, id), h) in &held {
        let excused = troubles.get(*by).into_iter().flatten().any(|(_, to)| *to >= h.line.at);
        if !h.answered && !excused && !left.contains(id) {
            add(found, Broken::Unanswered, h.line, format!("{id} was never answered"));
        }
    }
    // Executions that began, by what they are about.
    let one_shots: BTreeSet<&str> = lines
        .iter()
        .filter_map(|l| match &l.what {
            HistoryEvent::Asked { key, one_shot: true, .. } => Some(key.as_str()),
            _ => None,
        })
        .collect();
    let mut began: HashMap<&str, Vec<(&Line, &str)>> = HashMap::new();
    for line in lines {
        match &line.what {
            HistoryEvent::Took { id, key, .. } if one_shots.contains(key.as_str()) => {
                began.entry(key).or_default().push((line, id));
            }
            HistoryEvent::PushedOver { executor } => {
                add(
                    found,
                    Broken::PushedOver,
                    line,
                    format!("{executor} is cold and was handed more than it bears"),
                );
            }
            HistoryEvent::Unbegun { id } => {
                began.values_mut().for_each(|b| b.retain(|(_, other)| other != id))
            }
            _ => {}
        }
    }
    if !promise.asked_when_unknown || promise.remembered {
        for (key, began) in began.iter().filter(|(_, b)| b.len() > 1) {
            add(found, Broken::Twice, began[1].0, format!("{key} began {} times", began.len()));
        }
    }
}

/// How many one-shots began more than once.
#[must_use]
pub fn doubled(lines: &[Line]) -> usize {
    let promise =
        Promise { coordinated: false, bound: 0, strict: false, remembered: false, asked_when_unknown: false };
    let mut found = Vec::new();
    submissions(lines, &promise, &mut found);
    found.iter().filter(|f| f.broken == Broken::Twice).count()
}

fn clients(lines: &[Line], _: &Promise, found: &mut Vec<Finding>) {
    let troubles = troubled(lines);
    let mut asked: HashMap<&str, (&Line, &str)> = HashMap::new();
    let mut told: BTreeSet<&str> = BTreeSet::new();
    for line in lines {
        match &line.what {
            HistoryEvent::Asked { id, node, .. } => {
                asked.insert(id, (line, node));
            }
            HistoryEvent::Told { id, .. } => {
                let first = told.insert(id);
                (!first).then(|| add(found, Broken::AnsweredTwice, line, format!("{id} was told twice")));
            }
            HistoryEvent::Unknown { id } => {
                let Some((from, node)) = asked.get(id.as_str()) else { continue };
                let hit = |(start, end): &(u64, u64)| *start <= line.at && *end >= from.at;
                if !troubles.get(*node).into_iter().flatten().any(hit) {
                    add(found, Broken::NoAnswer, line, format!("{id} at {node}, which nothing had befallen"));
                }
            }
            _ => {}
        }
    }
}
