//! Simple dispatch policies that the production policy is compared with. Each runs inside a whole node, in place of
//! the production policy. They obey the rules on repeated executions, and ignore that some executors are cold.

use std::sync::{Arc, Mutex};

use clap::ValueEnum;
use linestack_core::Nanos;
use linestack_dispatch::types::{
    Action, Decide, DedupScope, DispatchConfig, Ending, Event, Health, Job, ListKind, Outcome, RepeatPolicy,
    Report, Submission, Worker, WorkerEntry,
};
use linestack_world::{ExecutorTruth, GroundTruth, NodeSetup, SimulatedNode, production_node};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// A dispatch policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The production policy.
    Linestack,
    /// A random worker.
    Random,
    /// Each worker in turn.
    RoundRobin,
    /// The worker with the fewest jobs from this node.
    LeastInFlight,
    /// Of two random workers the one with fewer jobs from this node.
    TwoChoices,
    /// The worker with the shortest queue by its last report, plus the jobs sent since.
    LeastReported,
    /// The least loaded worker by the true state of all executors, which no real policy can see.
    TrueState,
}

impl Policy {
    /// Returns the name of the policy on the command line.
    #[must_use]
    pub fn name(self) -> String {
        self.to_possible_value().map(|v| v.get_name().to_owned()).unwrap_or_default()
    }

    /// Builds a whole node that dispatches by this policy.
    #[must_use]
    pub fn build_node(self, setup: NodeSetup) -> Box<dyn SimulatedNode> {
        if self == Self::Linestack {
            return production_node(setup);
        }
        let dispatcher = ReferenceDispatcher::new(
            self,
            setup.settings.dispatch.clone(),
            setup.node,
            Arc::clone(&setup.ground_truth),
        );
        setup.build_with(Box::new(dispatcher))
    }
}

/// The most free slots of a report that count in [`Policy::LeastReported`].
const MAX_COUNTED_FREE_SLOTS: f64 = 4.0;
/// Replaces a capacity of 0 in divisions.
const MIN_CAPACITY: f64 = 1e-6;
/// The part of the longest Retry-After that dismissed clients get, as a divisor.
const RETRY_AFTER_DIVISOR: Nanos = 8;
/// The part of the list refresh limit after which a failed list request is repeated, as a divisor.
const LIST_RETRY_DIVISOR: Nanos = 10;
/// The timer for the repetition of a failed list request.
const LIST_RETRY_TIMER: u64 = 1;

/// A worker as the dispatcher knows it.
#[derive(Clone, Default)]
struct KnownWorker {
    entry: WorkerEntry,
    /// The slots of this node's executions that have not ended.
    own_slots: f64,
    report: Option<Report>,
    /// The slots of the executions sent since the last report.
    slots_since_report: f64,
}

/// An execution of a submission.
#[derive(Clone)]
struct Attempt {
    worker: Worker,
    running: bool,
}

/// The first execution of a submission, unless all executions so far certainly did not run.
#[derive(Clone, Copy)]
struct FirstAttempt {
    worker: Worker,
    sent: Nanos,
}

/// A submission that the node has not forgotten.
#[derive(Clone, Default)]
struct TrackedSubmission {
    job: Job,
    /// It still needs an answer.
    open: bool,
    /// The node still knows its index: [`Action::Forget`] has not been returned.
    known: bool,
    /// The number of executions that have not ended.
    running: u32,
    executions: u16,
    first: Option<FirstAttempt>,
    may_have_run: bool,
    attempts: Vec<Attempt>,
}

/// A dispatcher that chooses a worker by one of the reference policies.
struct ReferenceDispatcher {
    policy: Policy,
    config: DispatchConfig,
    /// The index of the node, for the ground truth.
    node: usize,
    truth: Arc<Mutex<GroundTruth>>,
    rng: Pcg64Mcg,
    now: Nanos,
    /// By worker index.
    workers: Vec<KnownWorker>,
    /// By submission index.
    submissions: Vec<TrackedSubmission>,
    /// The counter of [`Policy::RoundRobin`].
    turn: usize,
    /// The actions of the current event.
    actions: Vec<Action>,
}

impl ReferenceDispatcher {
    fn new(policy: Policy, config: DispatchConfig, node: usize, truth: Arc<Mutex<GroundTruth>>) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        let (workers, submissions, actions) = (Vec::new(), Vec::new(), Vec::new());
        Self { policy, config, node, truth, rng, now: 0, workers, submissions, turn: 0, actions }
    }

    /// Returns whether the submission may be executed by the worker now.
    fn may_execute(&self, tracked: &TrackedSubmission, worker: Worker) -> bool {
        let known = &self.workers[worker as usize];
        let product = &self.config.products[usize::from(tracked.job.product)];
        let too_late = self.now + self.config.deadline_margin >= tracked.job.deadline;
        if known.entry.health != Health::Ready || too_late || tracked.executions >= self.config.max_executions
        {
            return false;
        }
        match (tracked.first, product.repeat_policy) {
            (None, _) | (_, RepeatPolicy::Idempotent) => !tracked.attempts.iter().any(|a| a.worker == worker),
            (Some(_), RepeatPolicy::OneShot) => false,
            (Some(first), RepeatPolicy::Stamped { scope, dedup_window }) => {
                let covered = scope.covers(&self.workers[first.worker as usize].entry, &known.entry);
                covered && self.now + self.config.connect_timeout < first.sent + dedup_window
            }
        }
    }

    /// Chooses a worker by the policy, if there is one that may execute the submission.
    fn choose_worker(&mut self, tracked: &TrackedSubmission) -> Option<Worker> {
        let allowed: Vec<Worker> =
            (0..self.workers.len() as Worker).filter(|w| self.may_execute(tracked, *w)).collect();
        if allowed.is_empty() {
            return None;
        }
        let random = |rng: &mut Pcg64Mcg| allowed[rng.random_range(0..allowed.len())];
        let own_slots = |w: &Worker| self.workers[*w as usize].own_slots;
        // One of the least loaded workers at random.
        let least = |load: &dyn Fn(Worker) -> f64, rng: &mut Pcg64Mcg| {
            let min = allowed.iter().map(|w| load(*w)).fold(f64::INFINITY, f64::min);
            let ties: Vec<Worker> = allowed.iter().copied().filter(|w| load(*w) <= min).collect();
            ties[rng.random_range(0..ties.len())]
        };
        let mut rng = self.rng.clone();
        let chosen = match self.policy {
            Policy::Random | Policy::Linestack => random(&mut rng),
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                allowed[self.turn % allowed.len()]
            }
            Policy::LeastInFlight => least(&|w| own_slots(&w), &mut rng),
            Policy::TwoChoices => {
                let (a, b) = (random(&mut rng), random(&mut rng));
                if own_slots(&b) < own_slots(&a) { b } else { a }
            }
            Policy::LeastReported => {
                let load = |w: Worker| {
                    let known = &self.workers[w as usize];
                    let reported = known.report.map_or(0.0, |r| {
                        f64::from(r.queued_jobs.unwrap_or(0.0))
                            - f64::from(r.free_slots.unwrap_or(0.0)).min(MAX_COUNTED_FREE_SLOTS)
                    });
                    reported + known.slots_since_report
                };
                least(&load, &mut rng)
            }
            Policy::TrueState => {
                let truth = self.truth.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let executor_of_worker = &truth.executor_of_worker[self.node];
                let load = |w: Worker| {
                    let executor = executor_of_worker.get(w as usize).copied().flatten();
                    let state = executor.and_then(|e| truth.executors.get(e));
                    // Free slots count as negative load. Executors that are down come last.
                    state.map_or(f64::MAX, |ExecutorTruth { available: up, free_slots: free, capacity }| {
                        if *up {
                            (self.workers[w as usize].slots_since_report - free) / capacity.max(MIN_CAPACITY)
                        } else {
                            f64::MAX
                        }
                    })
                };
                least(&load, &mut rng)
            }
        };
        self.rng = rng;
        Some(chosen)
    }

    /// Starts the next execution, or gives up if no worker may execute the submission. Does nothing while an
    /// execution is running.
    fn execute_next(&mut self, submission: Submission) {
        let tracked = self.submissions[submission as usize].clone();
        if !tracked.open || tracked.running > 0 {
            return;
        }
        let Some(worker) = self.choose_worker(&tracked) else { return self.give_up(submission) };
        let (now, slack) = (self.now, self.config.deadline_margin / 2);
        let tracked = &mut self.submissions[submission as usize];
        tracked.executions += 1;
        tracked.running += 1;
        tracked.attempts.push(Attempt { worker, running: true });
        tracked.first.get_or_insert(FirstAttempt { worker, sent: now });
        let known = &mut self.workers[worker as usize];
        known.own_slots += tracked.job.slots;
        known.slots_since_report += tracked.job.slots;
        let timeout = tracked.job.deadline - now - slack;
        self.actions.push(Action::Execute { submission, worker, timeout });
    }

    /// Answers the client without a result: dismisses the submission if a retry is harmless, and aborts it if not.
    fn give_up(&mut self, submission: Submission) {
        let tracked = &self.submissions[submission as usize];
        let repeat_policy =
            self.config.products.get(usize::from(tracked.job.product)).map(|p| p.repeat_policy);
        let may_repeat = matches!(
            repeat_policy,
            Some(RepeatPolicy::Idempotent | RepeatPolicy::Stamped { scope: DedupScope::All, .. })
        );
        let action = if may_repeat || tracked.first.is_none() {
            let retry_after = self.config.retry_after.map(|longest| longest / RETRY_AFTER_DIVISOR);
            Action::Dismiss { submission, retry_after }
        } else {
            Action::Abort { submission }
        };
        self.actions.push(action);
        self.close(submission);
    }

    /// The submission needs no answer any more: cancels its running executions.
    fn close(&mut self, submission: Submission) {
        let Some(tracked) = self.submissions.get_mut(submission as usize) else { return };
        tracked.open = false;
        if self.config.may_cancel {
            for (execution, _) in tracked.attempts.iter().enumerate().filter(|(_, a)| a.running) {
                self.actions.push(Action::Cancel { submission, execution: execution as u16 });
            }
        }
        self.forget_if_over(submission);
    }

    /// Forgets a submission that is closed and has no running execution.
    fn forget_if_over(&mut self, submission: Submission) {
        let tracked = &mut self.submissions[submission as usize];
        if !tracked.open && tracked.running == 0 && std::mem::take(&mut tracked.known) {
            self.actions.push(Action::Forget { submission });
        }
    }

    fn execution_ended(&mut self, ending: &Ending) {
        let Some(tracked) = self.submissions.get_mut(ending.submission as usize) else { return };
        let Some(attempt) = tracked.attempts.get_mut(usize::from(ending.execution)).filter(|a| a.running)
        else {
            return;
        };
        attempt.running = false;
        tracked.running -= 1;
        tracked.may_have_run |= !ending.outcome.never_ran();
        if tracked.running == 0 && !tracked.may_have_run {
            tracked.first = None;
        }
        let slots = tracked.job.slots;
        self.workers[ending.worker as usize].own_slots -= slots;
        self.record_report(ending.worker, ending.report);
        if ending.closed || ending.outcome == Outcome::Completed {
            self.close(ending.submission);
        } else if self.submissions[ending.submission as usize].open {
            self.execute_next(ending.submission);
        }
        self.forget_if_over(ending.submission);
    }

    fn record_report(&mut self, worker: Worker, report: Option<Report>) {
        if let (Some(known), Some(report)) = (self.workers.get_mut(worker as usize), report) {
            (known.report, known.slots_since_report) = (Some(report), 0.0);
        }
    }
}

impl Decide for ReferenceDispatcher {
    fn reconfigure(&mut self, config: DispatchConfig) {
        self.config = config;
    }

    fn decide(&mut self, now: Nanos, event: Event<'_>) -> &[Action] {
        self.actions.clear();
        self.now = now;
        match event {
            Event::ListReceived { kind, entries } => {
                if matches!(kind, ListKind::Whole | ListKind::Cached) {
                    self.workers.iter_mut().for_each(|w| w.entry.health = Health::Gone);
                }
                for entry in entries {
                    let index = entry.worker as usize;
                    if self.workers.len() <= index {
                        self.workers.resize(index + 1, KnownWorker::default());
                    }
                    self.workers[index].entry = *entry;
                }
                if let Some(limit) = self.config.list_refresh_limit {
                    match kind {
                        ListKind::Cached => self.actions.push(Action::Subscribe),
                        ListKind::Failed => self.actions.push(Action::SetTimer {
                            at: now + limit / LIST_RETRY_DIVISOR,
                            timer_id: LIST_RETRY_TIMER,
                        }),
                        _ => {}
                    }
                }
            }
            Event::Submitted { submission, job } => {
                let index = submission as usize;
                if self.submissions.len() <= index {
                    self.submissions.resize(index + 1, TrackedSubmission::default());
                }
                self.submissions[index] =
                    TrackedSubmission { job, open: true, known: true, ..TrackedSubmission::default() };
                self.execute_next(submission);
            }
            Event::ClientLeft { submission } => self.close(submission),
            Event::Ended(ending) => self.execution_ended(&ending),
            Event::Probed { worker, report, .. } => self.record_report(worker, report),
            Event::TimerFired { timer_id: LIST_RETRY_TIMER } => self.actions.push(Action::Subscribe),
            Event::Retired { worker } => {
                self.workers.get_mut(worker as usize).into_iter().for_each(|w| *w = KnownWorker::default());
            }
            Event::TimerFired { .. }
            | Event::Streaming { .. }
            | Event::Progressed { .. }
            | Event::ProcessLost { .. } => {}
        }
        &self.actions
    }
}
