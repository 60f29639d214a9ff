//! The judge. It sees what crossed the wires and what executors ran, and trusts no node.

use std::collections::{BTreeMap, HashMap};

use linestack_core::{Answer, Nanos};
use linestack_dispatch::types::Health;
use serde::Serialize;

use crate::cold::{ColdTerms, RecentWork};
use crate::executor::{ConnectionId, NodeProcess};
use crate::scenario::RepeatPolicy;

/// The rules, by what breaks them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Taken, and no final answer before the deadline.
    Lost,
    /// A second final answer.
    AnsweredTwice,
    /// Satisfied with what no executor made for it.
    MadeUp,
    /// Something new was sent after the final answer.
    SentAfterAnswer,
    /// One that must not run twice ran twice.
    RanTwice,
    /// Sent again although it may have run.
    ResentMayHaveRun,
    /// A repeat went to those who do not know its mark, or know it no longer.
    OutsideGroup,
    /// Dismissed although it may have run.
    DismissedMayHaveRun,
    /// Sent to an executor that drains or is gone, after the grace.
    SentToDrained,
    /// A cold executor was sent more than it bears.
    ColdPushedOver,
    /// A node found that something which must hold did not.
    Invariant,
}

/// A rule that was broken once.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which one.
    pub rule: Rule,
    /// When, in seconds.
    pub at_s: f64,
    /// What was broken, and how.
    pub what: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ran {
    /// Nothing proves that it did not.
    MayHave,
    Never,
}

#[derive(Clone, Debug)]
struct Sent {
    connection: ConnectionId,
    group: u16,
    at: Nanos,
    ran: Ran,
}

/// A submission that a node took.
#[derive(Clone, Debug)]
struct Case {
    process: NodeProcess,
    repeats: RepeatPolicy,
    memory: Nanos,
    deadline: Nanos,
    answered: Option<Nanos>,
    /// The client left, or the node died: nothing is owed.
    excused: bool,
    sent: Vec<Sent>,
    runs: u32,
    made: bool,
}

/// An executor, as one node hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Listed {
    node: usize,
    executor: usize,
}

/// What a node last heard of an executor, and when.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Nanos,
    health: Health,
}

/// Compares what nodes do with the rules.
#[derive(Debug, Default)]
pub struct Judge {
    pub breaches: Vec<Breach>,
    pub broken: u64,
    cases: BTreeMap<usize, Case>,
    heard: HashMap<Listed, Heard>,
    /// By executor that is cold.
    cold: HashMap<usize, RecentWork>,
    grace: Nanos,
    slack: Nanos,
    cold_terms: ColdTerms,
}

/// The most breaches that are described; the rest are counted.
const MAX_DESCRIBED: usize = 64;
/// What is over is forgotten so long after its deadline: whatever may still come has come by then.
const FORGOTTEN_AFTER: Nanos = 20_000_000_000;

impl Judge {
    /// `grace` is the time in which jobs may still be sent to an executor that drains, `slack` what is added
    /// to every bound.
    pub(crate) fn new(grace: Nanos, slack: Nanos, cold_terms: ColdTerms) -> Self {
        Self { grace, slack, cold_terms, ..Self::default() }
    }

    pub(crate) fn breach(&mut self, rule: Rule, now: Nanos, what: String) {
        self.broken += 1;
        if self.breaches.len() < MAX_DESCRIBED {
            self.breaches.push(Breach { rule, at_s: now as f64 / 1e9, what });
        }
    }

    pub(crate) fn taken(
        &mut self,
        attempt: usize,
        process: NodeProcess,
        repeats: RepeatPolicy,
        memory: Nanos,
        deadline: Nanos,
    ) {
        let (answered, excused, sent, runs, made) = (None, false, Vec::new(), 0, false);
        let case = Case { process, repeats, memory, deadline, answered, excused, sent, runs, made };
        self.cases.insert(attempt, case);
    }

    pub(crate) fn excuse(&mut self, attempt: usize) {
        self.cases.get_mut(&attempt).into_iter().for_each(|c| c.excused = true);
    }

    /// A node died or ended: what it holds is left to the clients.
    pub(crate) fn died(&mut self, process: NodeProcess) {
        self.cases.values_mut().filter(|c| c.process == process).for_each(|c| c.excused = true);
        self.heard.retain(|listed, _| listed.node != process.node);
    }

    pub(crate) fn answered(&mut self, attempt: usize, answer: &Answer, now: Nanos) {
        let Some(case) = self.cases.get_mut(&attempt) else {
            return self.breach(Rule::AnsweredTwice, now, format!("{attempt}: not taken, or long over"));
        };
        let second = case.answered.replace(now).is_some();
        let late = now > case.deadline + self.slack && !case.excused;
        let may_have = case.sent.iter().any(|s| s.ran == Ran::MayHave);
        let harmful = case.repeats != RepeatPolicy::Idempotent && may_have;
        let made = case.made;
        if second {
            self.breach(Rule::AnsweredTwice, now, format!("{attempt}"));
        }
        if late {
            self.breach(Rule::Lost, now, format!("{attempt}: answered after its cut-off"));
        }
        match answer {
            Answer::Completed(_) if !made => self.breach(Rule::MadeUp, now, format!("{attempt}")),
            Answer::Dismissed(_) if harmful => {
                self.breach(Rule::DismissedMayHaveRun, now, format!("{attempt}"));
            }
            _ => {}
        }
    }

    /// The first byte of an execution left a node.
    pub(crate) fn sent(
        &mut self,
        attempt: usize,
        connection: ConnectionId,
        executor: usize,
        group: u16,
        now: Nanos,
    ) {
        if let Some(heard) = self.heard.get(&Listed { node: connection.node, executor })
            && heard.health != Health::Ready
            && now > heard.at + self.grace + self.slack
        {
            let ago_s = (now - heard.at) as f64 / 1e9;
            let what = format!("{attempt} to {executor}, told {ago_s:.2} s before");
            self.breach(Rule::SentToDrained, now, what);
        }
        let Some(case) = self.cases.get_mut(&attempt) else {
            return self.breach(Rule::SentAfterAnswer, now, format!("{attempt}: long over"));
        };
        let answered = case.answered.is_some();
        let earlier: Vec<_> = case.sent.iter().filter(|s| s.ran == Ran::MayHave).cloned().collect();
        case.sent.push(Sent { connection, group, at: now, ran: Ran::MayHave });
        let (repeats, memory) = (case.repeats, case.memory);
        if answered {
            self.breach(Rule::SentAfterAnswer, now, format!("{attempt}"));
        }
        match (repeats, earlier.first()) {
            (RepeatPolicy::OneShot, Some(_)) => {
                self.breach(Rule::ResentMayHaveRun, now, format!("{attempt}"));
            }
            (RepeatPolicy::Stamped, Some(first)) if first.group != group || now > first.at + memory => {
                self.breach(Rule::OutsideGroup, now, format!("{attempt}"));
            }
            _ => {}
        }
    }

    /// What went over the connection is proved not to have run.
    pub(crate) fn never_ran(&mut self, attempt: usize, connection: ConnectionId) {
        let case = self.cases.get_mut(&attempt);
        let sent = case.and_then(|c| c.sent.iter_mut().rfind(|s| s.connection == connection));
        sent.into_iter().for_each(|s| s.ran = Ran::Never);
    }

    /// An executor began to carry it out.
    pub(crate) fn ran(&mut self, attempt: usize, now: Nanos) {
        let Some(case) = self.cases.get_mut(&attempt) else { return };
        case.runs += 1;
        if case.runs > 1 && case.repeats != RepeatPolicy::Idempotent {
            self.breach(Rule::RanTwice, now, format!("{attempt}"));
        }
    }

    /// An executor's result reached the node.
    pub(crate) fn made(&mut self, attempt: usize) {
        self.cases.get_mut(&attempt).into_iter().for_each(|c| c.made = true);
    }

    /// Discovery told a node of an executor.
    pub(crate) fn heard(&mut self, node: usize, executor: usize, health: Health, at: Nanos) {
        let heard = self.heard.entry(Listed { node, executor }).or_insert(Heard { at, health });
        // Of what takes an executor out of service, the first counts.
        if heard.health == Health::Ready || health == Health::Ready {
            *heard = Heard { at, health };
        }
    }

    /// Work on its way to a cold executor that can do `capacity` seconds of it in a second. True if it
    /// falls over.
    pub(crate) fn cold(&mut self, executor: usize, work: f64, capacity: f64, now: Nanos) -> bool {
        let recent = self.cold.entry(executor).or_default();
        recent.add(now, work, self.cold_terms.window);
        let bearable = self.cold_terms.bearable(capacity);
        let over = recent.exceeds(bearable);
        if over {
            let total = recent.total();
            let what = format!("{executor}: {total:.2} s of work in a window, bears {bearable:.2}");
            self.breach(Rule::ColdPushedOver, now, what);
        }
        over
    }

    pub(crate) fn warm(&mut self, executor: usize) {
        self.cold.remove(&executor);
    }

    /// What is long over is forgotten; what is overdue is found out.
    pub(crate) fn sweep(&mut self, now: Nanos) {
        let slack = self.slack;
        let late: Vec<usize> = self
            .cases
            .iter()
            .filter(|(_, c)| c.answered.is_none() && !c.excused && now > c.deadline + slack)
            .map(|(a, _)| *a)
            .collect();
        for attempt in late {
            self.breach(Rule::Lost, now, format!("{attempt}: no answer"));
            self.excuse(attempt);
        }
        self.cases.retain(|_, c| now < c.deadline + FORGOTTEN_AFTER);
    }
}
