//! The judge: checks the invariants against the simulated wire traffic and the executions. It uses no
//! information that a node reports about itself.

use std::collections::{BTreeMap, HashMap};

use linestack_core::{Answer, Nanos};
use linestack_dispatch::types::Health;
use serde::Serialize;

use crate::cold::{ColdLoadLimit, RecentWork};
use crate::executor::{ConnectionId, NodeProcess};
use crate::scenario::RepeatPolicy;

/// The rules, each named after the violation that breaks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A node accepted a submission and gave no final answer before the deadline.
    Lost,
    /// A submission got a second final answer.
    AnsweredTwice,
    /// A submission was answered with a result that no executor produced for it.
    MadeUp,
    /// A new execution was sent after the final answer.
    SentAfterAnswer,
    /// A submission that must not run twice ran twice.
    RanTwice,
    /// A one-shot submission was sent again although it may have run.
    ResentMayHaveRun,
    /// A stamped submission was sent again to an executor outside the group that knows its idempotency key,
    /// or after the deduplication window.
    OutsideGroup,
    /// A submission was dismissed although it may have run.
    DismissedMayHaveRun,
    /// A job was sent to an executor that was draining or gone, after the grace period.
    SentToDrained,
    /// A cold executor was sent more work than it tolerates.
    ColdPushedOver,
    /// A node reported that one of its own invariants was broken.
    Invariant,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// The simulated time, in seconds.
    pub at_s: f64,
    /// The submission or executor concerned, and what happened.
    #[serde(rename = "what")]
    pub detail: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStatus {
    /// Nothing proves that it did not run.
    MayHaveRun,
    NeverRan,
}

/// One execution that a node sent.
#[derive(Clone, Debug)]
struct SentExecution {
    connection: ConnectionId,
    group: u16,
    at: Nanos,
    run_status: RunStatus,
}

/// A submission that a node accepted.
#[derive(Clone, Debug)]
struct SubmissionRecord {
    process: NodeProcess,
    repeats: RepeatPolicy,
    dedup_window: Nanos,
    deadline: Nanos,
    /// When it was answered.
    answered: Option<Nanos>,
    /// No answer is required any more: the client left, or the node's process ended.
    excused: bool,
    sent: Vec<SentExecution>,
    /// The number of its executions that have started.
    runs: u32,
    /// An executor's result for it has reached the node.
    has_result: bool,
}

/// An executor in the list that one node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ListKey {
    node: usize,
    executor: usize,
}

/// The health of an executor that discovery last sent to a node, and when.
#[derive(Clone, Copy, Debug)]
struct ListedHealth {
    at: Nanos,
    health: Health,
}

/// Checks the actions of the nodes against the rules.
///
/// Submissions are identified by the index of their attempt, executors by their index.
#[derive(Debug, Default)]
pub struct Judge {
    /// The first breaches, with their details.
    pub breaches: Vec<Breach>,
    /// The number of all breaches, including those without details.
    pub breach_count: u64,
    submissions: BTreeMap<usize, SubmissionRecord>,
    listed_health: HashMap<ListKey, ListedHealth>,
    /// By cold executor: the work that it was recently sent.
    cold_work: HashMap<usize, RecentWork>,
    /// How long after a node learnt that an executor drains or is gone it may still send jobs to it.
    drain_grace: Nanos,
    /// Added to every time limit.
    tolerance: Nanos,
    cold_limit: ColdLoadLimit,
}

/// The maximum number of breaches kept with their details; further ones are only counted.
const MAX_DESCRIBED_BREACHES: usize = 64;
/// A submission is dropped this long after its deadline: no message about it can arrive later.
const RETENTION_AFTER_DEADLINE: Nanos = 20_000_000_000;

impl Judge {
    /// Creates a judge. `drain_grace` is the time for which jobs may still be sent to a draining executor;
    /// `tolerance` is added to every time limit.
    pub(crate) fn new(drain_grace: Nanos, tolerance: Nanos, cold_limit: ColdLoadLimit) -> Self {
        Self { drain_grace, tolerance, cold_limit, ..Self::default() }
    }

    /// Counts a breach, and keeps its details unless there are too many already.
    pub(crate) fn record_breach(&mut self, rule: Rule, now: Nanos, detail: String) {
        self.breach_count += 1;
        if self.breaches.len() < MAX_DESCRIBED_BREACHES {
            self.breaches.push(Breach { rule, at_s: now as f64 / 1e9, detail });
        }
    }

    /// A node accepted a submission.
    pub(crate) fn accepted(
        &mut self,
        attempt: usize,
        process: NodeProcess,
        repeats: RepeatPolicy,
        dedup_window: Nanos,
        deadline: Nanos,
    ) {
        let (answered, excused, sent, runs, has_result) = (None, false, Vec::new(), 0, false);
        let submission = SubmissionRecord {
            process,
            repeats,
            dedup_window,
            deadline,
            answered,
            excused,
            sent,
            runs,
            has_result,
        };
        self.submissions.insert(attempt, submission);
    }

    /// No answer to this submission is required any more.
    pub(crate) fn excuse(&mut self, attempt: usize) {
        self.submissions.get_mut(&attempt).into_iter().for_each(|submission| submission.excused = true);
    }

    /// A node's process ended. Its open submissions need no answer: the clients see their connections close
    /// and decide about retries themselves.
    pub(crate) fn process_ended(&mut self, process: NodeProcess) {
        self.submissions
            .values_mut()
            .filter(|submission| submission.process == process)
            .for_each(|submission| submission.excused = true);
        self.listed_health.retain(|key, _| key.node != process.node);
    }

    /// A node gave a final answer.
    pub(crate) fn answered(&mut self, attempt: usize, answer: &Answer, now: Nanos) {
        let Some(submission) = self.submissions.get_mut(&attempt) else {
            return self.record_breach(
                Rule::AnsweredTwice,
                now,
                format!("{attempt}: not taken, or long over"),
            );
        };
        let is_second = submission.answered.replace(now).is_some();
        let is_late = now > submission.deadline + self.tolerance && !submission.excused;
        let may_have_run = submission.sent.iter().any(|s| s.run_status == RunStatus::MayHaveRun);
        let repeat_is_harmful = submission.repeats != RepeatPolicy::Idempotent && may_have_run;
        let has_result = submission.has_result;
        if is_second {
            self.record_breach(Rule::AnsweredTwice, now, format!("{attempt}"));
        }
        if is_late {
            self.record_breach(Rule::Lost, now, format!("{attempt}: answered after its cut-off"));
        }
        match answer {
            Answer::Completed(_) if !has_result => {
                self.record_breach(Rule::MadeUp, now, format!("{attempt}"))
            }
            Answer::Dismissed(_) if repeat_is_harmful => {
                self.record_breach(Rule::DismissedMayHaveRun, now, format!("{attempt}"));
            }
            _ => {}
        }
    }

    /// A node sent the first byte of an execution.
    pub(crate) fn sent(
        &mut self,
        attempt: usize,
        connection: ConnectionId,
        executor: usize,
        group: u16,
        now: Nanos,
    ) {
        if let Some(listed) = self.listed_health.get(&ListKey { node: connection.node, executor })
            && listed.health != Health::Ready
            && now > listed.at + self.drain_grace + self.tolerance
        {
            let ago_s = (now - listed.at) as f64 / 1e9;
            let detail = format!("{attempt} to {executor}, told {ago_s:.2} s before");
            self.record_breach(Rule::SentToDrained, now, detail);
        }
        let Some(submission) = self.submissions.get_mut(&attempt) else {
            return self.record_breach(Rule::SentAfterAnswer, now, format!("{attempt}: long over"));
        };
        let answered = submission.answered.is_some();
        let earlier: Vec<_> =
            submission.sent.iter().filter(|s| s.run_status == RunStatus::MayHaveRun).cloned().collect();
        submission.sent.push(SentExecution { connection, group, at: now, run_status: RunStatus::MayHaveRun });
        let (repeats, dedup_window) = (submission.repeats, submission.dedup_window);
        if answered {
            self.record_breach(Rule::SentAfterAnswer, now, format!("{attempt}"));
        }
        match (repeats, earlier.first()) {
            (RepeatPolicy::OneShot, Some(_)) => {
                self.record_breach(Rule::ResentMayHaveRun, now, format!("{attempt}"));
            }
            (RepeatPolicy::Stamped, Some(first)) if first.group != group || now > first.at + dedup_window => {
                self.record_breach(Rule::OutsideGroup, now, format!("{attempt}"));
            }
            _ => {}
        }
    }

    /// The execution sent over this connection provably did not run.
    pub(crate) fn never_ran(&mut self, attempt: usize, connection: ConnectionId) {
        let submission = self.submissions.get_mut(&attempt);
        let sent = submission
            .and_then(|submission| submission.sent.iter_mut().rfind(|s| s.connection == connection));
        sent.into_iter().for_each(|s| s.run_status = RunStatus::NeverRan);
    }

    /// An executor started to run a submission.
    pub(crate) fn execution_started(&mut self, attempt: usize, now: Nanos) {
        let Some(submission) = self.submissions.get_mut(&attempt) else { return };
        submission.runs += 1;
        if submission.runs > 1 && submission.repeats != RepeatPolicy::Idempotent {
            self.record_breach(Rule::RanTwice, now, format!("{attempt}"));
        }
    }

    /// An executor's result reached the node.
    pub(crate) fn result_received(&mut self, attempt: usize) {
        self.submissions.get_mut(&attempt).into_iter().for_each(|submission| submission.has_result = true);
    }

    /// Discovery sent a node the health of an executor.
    pub(crate) fn health_received(&mut self, node: usize, executor: usize, health: Health, at: Nanos) {
        let listed =
            self.listed_health.entry(ListKey { node, executor }).or_insert(ListedHealth { at, health });
        // When an executor goes from draining to gone, the grace period counts from the first of the two.
        if listed.health == Health::Ready || health == Health::Ready {
            *listed = ListedHealth { at, health };
        }
    }

    /// Records work sent to a cold executor that can do `capacity` seconds of work per second. Returns true
    /// if the executor is overloaded by it.
    pub(crate) fn cold_work_sent(&mut self, executor: usize, work_s: f64, capacity: f64, now: Nanos) -> bool {
        let recent = self.cold_work.entry(executor).or_default();
        recent.add(now, work_s, self.cold_limit.window);
        let max_work_s = self.cold_limit.max_work_s(capacity);
        let overloaded = recent.exceeds(max_work_s);
        if overloaded {
            let total = recent.total();
            let detail = format!("{executor}: {total:.2} s of work in a window, bears {max_work_s:.2}");
            self.record_breach(Rule::ColdPushedOver, now, detail);
        }
        overloaded
    }

    /// An executor is no longer cold, or has started anew.
    pub(crate) fn reset_cold_work(&mut self, executor: usize) {
        self.cold_work.remove(&executor);
    }

    /// Reports the submissions that are overdue, and drops those whose retention is over.
    pub(crate) fn sweep(&mut self, now: Nanos) {
        let tolerance = self.tolerance;
        let overdue: Vec<usize> = self
            .submissions
            .iter()
            .filter(|(_, submission)| {
                submission.answered.is_none() && !submission.excused && now > submission.deadline + tolerance
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in overdue {
            self.record_breach(Rule::Lost, now, format!("{attempt}: no answer"));
            self.excuse(attempt);
        }
        self.submissions.retain(|_, submission| now < submission.deadline + RETENTION_AFTER_DEADLINE);
    }
}
