//! Checks merged histories against the guarantees of a fleet, without knowledge of how the fleet provides them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use linestack_history::{Ended, HistoryEvent, Line};

/// The guarantees that a fleet was set up to give.
#[derive(Clone, Debug)]
pub struct Guarantees {
    /// Coordinators run, so nodes agree on policy versions.
    pub coordinated: bool,
    /// Time in nanoseconds after a decision from which no process accepts a submission under an older version.
    pub stale_version_limit_ns: u64,
    /// Nodes that cannot prove that their policy is current accept no submissions.
    pub strict: bool,
    /// Nodes keep a store and clients retry at the same node, so no job that the node sent is started twice.
    pub remembered: bool,
    /// Clients also retry when the first attempt may have run, so duplicate executions are counted, not reported.
    pub retried_when_unknown: bool,
}

/// A kind of broken guarantee. The names appear in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A node accepted a submission under a version although a newer one was decided longer ago than the limit.
    OldVersion,
    /// A node applied a version that was not decided yet, or never was.
    Undecided,
    /// A version has two contents, or a change has two outcomes.
    TwoOutcomes,
    /// An operator received an outcome that differs from the actual outcome of the change.
    WrongWord,
    /// A coordinator granted a lease after another coordinator had become the leader.
    OldCoordinator,
    /// A node accepted a submission without a valid lease.
    Unfenced,
    /// A submission was sent or answered under a version other than the one it was accepted under, or was sent
    /// without having been accepted.
    VersionChanged,
    /// A submission was answered twice, or sent to an executor after its answer.
    AnsweredTwice,
    /// A process that kept running accepted a submission and never answered it.
    Unanswered,
    /// A client got no answer although no fault affected the node or the link to it.
    NoAnswer,
    /// A one-shot job was started more than once.
    Twice,
    /// All nodes together sent a cold executor more than its current capacity.
    PushedOver,
}

/// One occurrence of a broken guarantee.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The guarantee that was broken.
    pub violation: Violation,
    /// The time of the history line in nanoseconds on the monotonic clock.
    pub at: u64,
    /// The process that wrote the history line.
    pub by: String,
    /// A description of the observed violation.
    pub reason: String,
}

/// The time in which a fault affected a process or link.
#[derive(Clone, Copy)]
struct FaultInterval {
    from: u64,
    /// `u64::MAX` if the fault did not end.
    to: u64,
}

/// Returns the intervals in which a fault affected each process or link, by its name.
fn fault_intervals(lines: &[Line]) -> HashMap<String, Vec<FaultInterval>> {
    let mut all: HashMap<String, Vec<FaultInterval>> = HashMap::new();
    // When each fault began that is not over yet, by its target and whether that is a link.
    let mut ongoing: HashMap<(String, bool), u64> = HashMap::new();
    for line in lines {
        let HistoryEvent::Did { deed, to } = &line.what else { continue };
        // A fault on a link from clients to a node counts as a fault of the node.
        let is_link = to.contains('>');
        let name = to.strip_prefix("k>").unwrap_or(to).to_owned();
        match deed.as_str() {
            "kill" | "pause" | "stop" | "cut" | "delay" | "throttle" => {
                ongoing.entry((name, is_link)).or_insert(line.at);
            }
            "start" | "start-empty" | "start-older" | "start-rolled-back" | "replace" | "resume" | "heal" => {
                if let Some(from) = ongoing.remove(&(name.clone(), is_link)) {
                    all.entry(name).or_default().push(FaultInterval { from, to: line.at });
                }
            }
            "reset" | "cut-at" => {
                all.entry(name).or_default().push(FaultInterval { from: line.at, to: line.at })
            }
            _ => {}
        }
    }
    for ((name, _), from) in ongoing {
        all.entry(name).or_default().push(FaultInterval { from, to: u64::MAX });
    }
    all
}

/// Returns all violations that the merged histories show, ordered by time. The lines may be in any order.
#[must_use]
pub fn find_violations(lines: &[Line], guarantees: &Guarantees) -> Vec<Finding> {
    let mut lines = lines.to_vec();
    lines.sort_by_key(|l| l.at);
    let mut found = Vec::new();
    if guarantees.coordinated {
        check_agreement(&lines, guarantees, &mut found);
    }
    check_submissions(&lines, guarantees, &mut found);
    check_clients(&lines, &mut found);
    found.sort_by_key(|f: &Finding| f.at);
    found
}

fn add_finding(found: &mut Vec<Finding>, violation: Violation, line: &Line, reason: String) {
    found.push(Finding { violation, at: line.at, by: line.by.clone(), reason });
}

/// The first line that shows a version as decided.
#[derive(Clone, Copy)]
struct Decision {
    at: u64,
    /// The digest of the version's content.
    digest: u32,
}

/// Whether a proposed change was decided, or dropped, and its version.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ChangeOutcome {
    decided: bool,
    version: u64,
}

/// A round of the coordinators and its leader. A higher round is newer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Leadership<'a> {
    round: u64,
    leader: &'a str,
}

/// Checks policy versions, leases, and the outcomes that operators received.
fn check_agreement(lines: &[Line], guarantees: &Guarantees, found: &mut Vec<Finding>) {
    // By version.
    let mut decided: BTreeMap<u64, Decision> = BTreeMap::new();
    // By request.
    let mut outcomes: HashMap<&str, ChangeOutcome> = HashMap::new();
    let mut newest = Leadership { round: 0, leader: "" };
    // For each process run: the time at which its lease expires.
    let mut lease_expiry: HashMap<(&str, u64), u64> = HashMap::new();
    let mut dropped: BTreeSet<u64> = BTreeSet::new();
    for line in lines {
        let by = line.by.as_str();
        match &line.what {
            HistoryEvent::Decided { request, version, digest } => {
                let known = decided.entry(*version).or_insert(Decision { at: line.at, digest: *digest });
                if known.digest != *digest || dropped.contains(version) {
                    add_finding(
                        found,
                        Violation::TwoOutcomes,
                        line,
                        format!("version {version} has two texts or two ends"),
                    );
                }
                // The initial policy has no request.
                let outcome = ChangeOutcome { decided: true, version: *version };
                if !request.is_empty() && *outcomes.entry(request).or_insert(outcome) != outcome {
                    add_finding(
                        found,
                        Violation::TwoOutcomes,
                        line,
                        format!("{request} ended otherwise before"),
                    );
                }
            }
            HistoryEvent::Dropped { request, version, .. } => {
                dropped.insert(*version);
                let outcome = ChangeOutcome { decided: false, version: *version };
                let differs = *outcomes.entry(request).or_insert(outcome) != outcome;
                if differs || decided.contains_key(version) {
                    add_finding(
                        found,
                        Violation::TwoOutcomes,
                        line,
                        format!("{request} ended otherwise before"),
                    );
                }
            }
            HistoryEvent::Established { round } => {
                newest = newest.max(Leadership { round: *round, leader: by })
            }
            HistoryEvent::Granted { round, member, version } if guarantees.strict => {
                if (Leadership { round: *round, leader: by }) < newest {
                    let reason = format!(
                        "let {member} serve in round {round}, but {} speaks in {}",
                        newest.leader, newest.round
                    );
                    add_finding(found, Violation::OldCoordinator, line, reason);
                }
                if !decided.contains_key(version) {
                    add_finding(
                        found,
                        Violation::Undecided,
                        line,
                        format!("let {member} serve under {version}"),
                    );
                }
            }
            HistoryEvent::Active { version, digest } => match decided.get(version) {
                Some(decision) if decision.digest == *digest => {}
                Some(_) => add_finding(
                    found,
                    Violation::TwoOutcomes,
                    line,
                    format!("version {version} with another text"),
                ),
                None => add_finding(found, Violation::Undecided, line, format!("goes by version {version}")),
            },
            HistoryEvent::Leased { until, .. } => {
                lease_expiry.insert((by, line.life), *until);
            }
            HistoryEvent::Taken { id, version } if guarantees.strict && *version > 0 => {
                match lease_expiry.get(&(by, line.life)) {
                    Some(until) if line.at < *until => {}
                    Some(until) => {
                        let late_us = (line.at - until) / 1000;
                        add_finding(
                            found,
                            Violation::Unfenced,
                            line,
                            format!("took {id} {late_us} us after its leave was over"),
                        );
                    }
                    None => add_finding(found, Violation::Unfenced, line, format!("took {id} without leave")),
                }
                if !decided.contains_key(version) {
                    add_finding(found, Violation::Undecided, line, format!("took {id} under {version}"));
                }
                let newer = decided.range(version + 1..).map(|(newer, decision)| (decision.at, *newer)).min();
                if let Some((at, newer)) = newer
                    && line.at > at + guarantees.stale_version_limit_ns
                {
                    let late_ms = (line.at - at) / 1_000_000;
                    let reason = format!("took {id} under {version}, {late_ms} ms after {newer} was decided");
                    add_finding(found, Violation::OldVersion, line, reason);
                }
            }
            HistoryEvent::Heard { request, outcome } => {
                let actual = outcomes.get(request.as_str()).map(|change| change.decided);
                let wrong = match outcome.as_str() {
                    "decided" => actual != Some(true),
                    "dropped" => actual != Some(false),
                    // A refused request is never proposed to the coordinators.
                    "refused" => actual.is_some(),
                    _ => false,
                };
                if wrong {
                    add_finding(found, Violation::WrongWord, line, format!("{request}: told {outcome}"));
                }
            }
            _ => {}
        }
    }
    // A request that an operator was told is refused must not be decided later.
    for line in lines {
        if let HistoryEvent::Heard { request, outcome } = &line.what
            && outcome == "refused"
            && outcomes.get(request.as_str()).is_some_and(|change| change.decided)
        {
            add_finding(found, Violation::WrongWord, line, format!("{request}: told refused, and decided"));
        }
    }
}

/// Checks that each accepted submission is sent and answered as guaranteed, and that executions are not duplicated.
fn check_submissions(lines: &[Line], guarantees: &Guarantees, found: &mut Vec<Finding>) {
    struct Accepted<'a> {
        line: &'a Line,
        version: u64,
        answered: bool,
    }
    struct Execution<'a> {
        line: &'a Line,
        /// The id of the submission.
        id: &'a str,
    }
    // By process, run of the process, and id of the submission.
    let mut accepted: HashMap<(&str, u64, &str), Accepted> = HashMap::new();
    for line in lines {
        match &line.what {
            HistoryEvent::Taken { id, version } => {
                let submission = Accepted { line, version: *version, answered: false };
                accepted.insert((&line.by, line.life, id), submission);
            }
            HistoryEvent::Sent { id, version } => {
                match accepted.get(&(line.by.as_str(), line.life, id.as_str())) {
                    Some(submission) if submission.answered => {
                        add_finding(
                            found,
                            Violation::AnsweredTwice,
                            line,
                            format!("sent {id} after its answer"),
                        );
                    }
                    Some(submission) if submission.version == *version => {}
                    Some(submission) => {
                        let reason =
                            format!("{id}: taken under {}, sent under {version}", submission.version);
                        add_finding(found, Violation::VersionChanged, line, reason);
                    }
                    None => add_finding(
                        found,
                        Violation::VersionChanged,
                        line,
                        format!("sent {id}, which it had not taken"),
                    ),
                }
            }
            HistoryEvent::Answered { id, version, ended } if *ended != Ended::Repeated => {
                match accepted.get_mut(&(line.by.as_str(), line.life, id.as_str())) {
                    Some(submission) if submission.answered => {
                        add_finding(found, Violation::AnsweredTwice, line, format!("answered {id} twice"));
                    }
                    Some(submission) => {
                        submission.answered = true;
                        if submission.version != *version {
                            let reason =
                                format!("{id}: taken under {}, answered under {version}", submission.version);
                            add_finding(found, Violation::VersionChanged, line, reason);
                        }
                    }
                    None => {}
                }
            }
            _ => {}
        }
    }
    // No answer is due to a client that disconnected, which its own history shows.
    let disconnected: BTreeSet<&str> = lines
        .iter()
        .filter_map(|l| match &l.what {
            HistoryEvent::Unknown { id } | HistoryEvent::Unsent { id } => Some(id.as_str()),
            _ => None,
        })
        .collect();
    let faults = fault_intervals(lines);
    for ((by, _, id), submission) in &accepted {
        let excused = faults.get(*by).into_iter().flatten().any(|fault| fault.to >= submission.line.at);
        if !submission.answered && !excused && !disconnected.contains(id) {
            add_finding(found, Violation::Unanswered, submission.line, format!("{id} was never answered"));
        }
    }
    // Executions that began, by the key of the job.
    let one_shots: BTreeSet<&str> = lines
        .iter()
        .filter_map(|l| match &l.what {
            HistoryEvent::Asked { key, one_shot: true, .. } => Some(key.as_str()),
            _ => None,
        })
        .collect();
    let mut began: HashMap<&str, Vec<Execution>> = HashMap::new();
    for line in lines {
        match &line.what {
            HistoryEvent::Took { id, key, .. } if one_shots.contains(key.as_str()) => {
                began.entry(key).or_default().push(Execution { line, id });
            }
            HistoryEvent::PushedOver { executor } => {
                add_finding(
                    found,
                    Violation::PushedOver,
                    line,
                    format!("{executor} is cold and was handed more than it bears"),
                );
            }
            HistoryEvent::Unbegun { id } => {
                began.values_mut().for_each(|executions| executions.retain(|execution| execution.id != id))
            }
            _ => {}
        }
    }
    if !guarantees.retried_when_unknown || guarantees.remembered {
        for (key, executions) in began.iter().filter(|(_, executions)| executions.len() > 1) {
            add_finding(
                found,
                Violation::Twice,
                executions[1].line,
                format!("{key} began {} times", executions.len()),
            );
        }
    }
}

/// Returns the number of one-shot jobs that were started more than once.
#[must_use]
pub fn count_duplicates(lines: &[Line]) -> usize {
    let guarantees = Guarantees {
        coordinated: false,
        stale_version_limit_ns: 0,
        strict: false,
        remembered: false,
        retried_when_unknown: false,
    };
    let mut found = Vec::new();
    check_submissions(lines, &guarantees, &mut found);
    found.iter().filter(|f| f.violation == Violation::Twice).count()
}

/// Checks that each client got exactly one answer unless a fault affected the node or the link to it.
fn check_clients(lines: &[Line], found: &mut Vec<Finding>) {
    let faults = fault_intervals(lines);
    let mut asked: HashMap<&str, (&Line, &str)> = HashMap::new();
    let mut answered: BTreeSet<&str> = BTreeSet::new();
    for line in lines {
        match &line.what {
            HistoryEvent::Asked { id, node, .. } => {
                asked.insert(id, (line, node));
            }
            HistoryEvent::Told { id, .. } => {
                let is_first = answered.insert(id);
                (!is_first).then(|| {
                    add_finding(found, Violation::AnsweredTwice, line, format!("{id} was told twice"))
                });
            }
            HistoryEvent::Unknown { id } => {
                let Some((sent, node)) = asked.get(id.as_str()) else { continue };
                let overlaps = |fault: &FaultInterval| fault.from <= line.at && fault.to >= sent.at;
                if !faults.get(*node).into_iter().flatten().any(overlaps) {
                    add_finding(
                        found,
                        Violation::NoAnswer,
                        line,
                        format!("{id} at {node}, which nothing had befallen"),
                    );
                }
            }
            _ => {}
        }
    }
}
