//! The state that the decisions rest on: statistics per worker, kind, tenant and product, and the
//! submissions.
//!
//! These are plain records; the decisions themselves are in `decide.rs`.

use std::ops::{Index, IndexMut};

use crate::types::{Execution, Health, Job, Nanos, Product, Report, Submission, Worker, WorkerEntry};

/// The number of answers at the mean that are assumed of each worker, so that one or two answers do not decide
/// its rank.
const ASSUMED_MEAN_ANSWERS: f64 = 4.0;
/// The number of answers over which a product's mean answer time is averaged.
const MEAN_ANSWER_SAMPLES: f64 = 128.0;
/// The number of answers from which a product's shortest mean answer time is kept. The mean of fewer may be far
/// too short, and the shortest one would hardly recover from it.
const MIN_SHORTEST_SAMPLES: f64 = 32.0;
/// The number of answers over which the shortest mean answer time drifts to the current mean.
const SHORTEST_DRIFT_ANSWERS: f64 = 2048.0;
/// The jobs that a worker may hold, running and queued, for each of its slots.
const HELD_JOBS_PER_SLOT: f64 = 1.5;
/// The time constant of [`TrafficStats::recent_arrivals`].
const RECENT_ARRIVALS_NS: f64 = 0.25e9;
/// The number of standard deviations by which the recent arrivals must exceed a mean to count as a burst.
const BURST_DEVIATIONS: f64 = 2.0;
/// The number of submissions over which the slots that they need are averaged.
const SLOTS_AVERAGE_SUBMISSIONS: f64 = 64.0;
/// The number of submissions over which the memory per slot is averaged.
const MEMORY_AVERAGE_SUBMISSIONS: f64 = 16.0;
/// The number of executions over which the share of prompt starts is averaged.
const PROMPT_SHARE_EXECUTIONS: f64 = 16.0;
/// The proved report delay fades by the time since then divided by this.
const REPORT_DELAY_FADE_DIVISOR: Nanos = 8;
/// The factor for the idle lifetime of connections after a job started at once on an idle connection.
const IDLE_LIFETIME_GROWTH: f64 = 1.0 + 1.0 / 16.0;
/// The factor for it after a job did not.
const IDLE_LIFETIME_REDUCTION: f64 = 1.0 - 1.0 / 8.0;

/// An exponentially decaying sum: an amount added one `time_constant` ago counts 1/e.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    at: Nanos,
}

impl DecayingSum {
    pub(crate) fn read(&self, now: Nanos, time_constant: f64) -> f64 {
        self.sum * (-((now - self.at) as f64) / time_constant).exp()
    }

    pub(crate) fn add(&mut self, now: Nanos, time_constant: f64, amount: f64) {
        (self.sum, self.at) = (self.read(now, time_constant) + amount, now);
    }
}

/// The rate of an event over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate(DecayingSum);

impl Rate {
    /// The time over which events are counted, also for the share of probed workers with room.
    const TIME_CONSTANT_NS: f64 = 4e9;

    /// Returns the events per nanosecond.
    pub(crate) fn read(&self, now: Nanos) -> f64 {
        self.0.read(now, Self::TIME_CONSTANT_NS) / Self::TIME_CONSTANT_NS
    }

    pub(crate) fn add(&mut self, now: Nanos) {
        self.0.add(now, Self::TIME_CONSTANT_NS, 1.0);
    }
}

/// An execution that has not ended.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) submission: Submission,
    pub(crate) execution: Execution,
    pub(crate) sent_at: Nanos,
    /// When the worker last sent a message about it; until then, when it was sent.
    pub(crate) last_progress: Nanos,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    /// The mean answer time of its product when it was sent.
    pub(crate) expected_duration: f64,
    /// How long its connection had been idle before, 0 if the connection was new.
    pub(crate) connection_idle_time: Nanos,
    /// When another worker was last searched for.
    pub(crate) last_search: Nanos,
    /// The worker reports starts and has not yet reported this one.
    pub(crate) unstarted: bool,
}

/// The first sign that a worker has started a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobStart {
    /// The time since the job was sent.
    pub(crate) waited: Nanos,
    /// How long the job's connection had been idle before, 0 if the connection was new.
    pub(crate) connection_idle_time: Nanos,
}

/// The state of one worker as far as it is known here.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    pub(crate) entry: WorkerEntry,
    pub(crate) report: Report,
    pub(crate) reported_at: Option<Nanos>,
    /// The most slots that its reports have shown so far.
    pub(crate) known_slots: f64,
    /// This node's executions there, the oldest first.
    pub(crate) in_flight: Vec<InFlight>,
    /// The slots that these executions take.
    pub(crate) own_slots: f64,
    /// The memory that they take.
    pub(crate) own_memory: f64,
    /// When one of this node's jobs there last sent a message.
    pub(crate) last_progress: Nanos,
    /// The number of recent answers.
    pub(crate) recent_answers: DecayingSum,
    /// The sum of the recent answers' times, each as a multiple of the mean at that time.
    pub(crate) recent_ratios: DecayingSum,
    /// The time since which a connection to the worker has been idle.
    pub(crate) idle_since: Option<Nanos>,
    /// When the outstanding probe was sent.
    pub(crate) probe_sent_at: Option<Nanos>,
    /// The worker is in [`Fleet::tracked`].
    pub(crate) tracked: bool,
    /// The answered probes that are still needed before the worker gets work again. The worker is ejected
    /// while this is not 0.
    pub(crate) probes_to_return: u32,
    /// How often the worker was ejected recently; each ejection doubles the probes needed.
    pub(crate) recent_ejections: u32,
    /// The consecutive probes that the worker did not answer.
    pub(crate) unanswered_probes: u32,
    /// The earliest time of the next probe while it is ejected.
    pub(crate) next_probe_at: Nanos,
    /// Jobs completed since the last ejection.
    pub(crate) completed_jobs: u32,
    /// A connection broke. If a probe fails after that, the process was lost.
    pub(crate) loss_suspected: bool,
    /// A probe failed after the break: the process was lost, so the worker will be cold when it is back, even
    /// if the list does not show the new start yet.
    pub(crate) process_lost: bool,
    /// The jobs that this node has sent to the worker since its last start while it was cold.
    pub(crate) jobs_sent_cold: u32,
}

impl WorkerState {
    /// Adds an execution that this node sends to the worker.
    pub(crate) fn add_execution(&mut self, execution: InFlight) {
        if self.in_flight.is_empty() {
            self.last_progress = execution.sent_at;
        }
        self.own_slots += execution.slots;
        self.own_memory += execution.memory;
        self.in_flight.push(execution);
    }

    /// Returns whether the worker is ejected and due for a probe. A draining worker gets no work even if it
    /// answers, so it is not probed.
    pub(crate) fn is_due_for_probe(&self, now: Nanos) -> bool {
        self.probes_to_return > 0 && self.entry.health == Health::Ready && now >= self.next_probe_at
    }

    /// Returns the worker's recent answer times as a multiple of the mean; see [`ASSUMED_MEAN_ANSWERS`]. An
    /// execution that already takes longer than the mean counts with its time so far, because the answers of a
    /// worker that slows down come too late to show it.
    pub(crate) fn answer_time_ratio(&self, now: Nanos, time_constant: Nanos) -> f64 {
        let time_constant = time_constant as f64;
        let overdue = self
            .in_flight
            .iter()
            .map(|e| (now - e.sent_at) as f64 / e.expected_duration)
            .filter(|ratio| *ratio > 1.0);
        let (sum, n) = overdue
            .fold((ASSUMED_MEAN_ANSWERS, ASSUMED_MEAN_ANSWERS), |(sum, n), ratio| (sum + ratio, n + 1.0));
        (self.recent_ratios.read(now, time_constant) + sum)
            / (self.recent_answers.read(now, time_constant) + n)
    }

    pub(crate) fn record_answer_time_ratio(&mut self, now: Nanos, time_constant: Nanos, ratio: f64) {
        self.recent_ratios.add(now, time_constant as f64, ratio);
        self.recent_answers.add(now, time_constant as f64, 1.0);
    }

    /// Stores a report. If the report counts fewer jobs than this node has in flight at the worker, it was
    /// taken before the newest of these jobs arrived. Returns the minimum age of the report that follows.
    pub(crate) fn apply_report(&mut self, mut report: Report, now: Nanos) -> Option<Nanos> {
        let free = report.free_slots.map_or(0.0, rounded);
        // If reports have no count of active jobs, the size is estimated by the largest figure of free slots
        // or of this node's started slots. Their sum would overestimate it when a report is late.
        let started =
            || self.in_flight.iter().filter(|e| !e.unstarted).map(|e| e.slots).sum::<f64>().max(free);
        // Queued jobs are active too, and the noise grows with their number. If they were counted as slots, a
        // worker would look larger the longer its queue is.
        let queued = report.queued_jobs.map_or(free < 1.0, |w| rounded(w) > 0.0);
        let seen = report.active_jobs.map_or_else(started, |n| if queued { 0.0 } else { free + rounded(n) });
        if report.free_slots.is_some() {
            self.known_slots = self.known_slots.max(seen);
        }
        if let (None, Some(n)) = (report.queued_jobs, report.active_jobs) {
            let excess = if queued && self.known_slots > 0.0 { f64::from(n) - self.known_slots } else { 0.0 };
            report.queued_jobs = Some(excess.max(0.0) as f32);
        }
        (self.report, self.reported_at) = (report, Some(now));
        self.in_flight.get(rounded(report.active_jobs?) as usize).map(|missed| now - missed.sent_at)
    }

    /// Sums `part` over this node's executions that the last report does not include: those sent after the
    /// report was taken, which was `delay` before it arrived.
    pub(crate) fn sent_since_report(&self, delay: Nanos, part: fn(&InFlight) -> f64) -> f64 {
        let taken_at = self.reported_at.map_or(0, |r| r.saturating_sub(delay));
        self.in_flight.iter().filter(|e| e.sent_at > taken_at).map(part).sum()
    }

    /// Returns whether a connection to it has been idle for less than `lifetime`.
    pub(crate) fn has_idle_connection(&self, now: Nanos, lifetime: f64) -> bool {
        self.idle_since.is_some_and(|since| ((now - since) as f64) < lifetime)
    }

    /// Resets what applied only to the worker's process before its restart.
    pub(crate) fn reset_after_restart(&mut self) {
        self.idle_since = None;
        (self.reported_at, self.loss_suspected, self.process_lost) = (None, false, false);
        (self.unanswered_probes, self.next_probe_at, self.jobs_sent_cold) = (0, 0, 0);
    }

    /// Returns whether the worker lost its process before it was available again, and clears
    /// `loss_suspected` and `process_lost`. Without probes, a suspected loss counts as one.
    pub(crate) fn take_process_loss(&mut self, without_probes: bool) -> bool {
        let lost = self.loss_suspected && (self.process_lost || without_probes);
        (self.loss_suspected, self.process_lost) = (false, false);
        lost
    }

    /// Returns the memory left at the worker, on the assumption that the jobs of other nodes need as much as
    /// this node's.
    pub(crate) fn memory_left(&self, report_delay: Nanos, memory_per_slot: f64) -> f64 {
        let free = self.report.free_slots.map_or(0.0, rounded);
        let others = (self.known_slots - free - self.own_slots).max(0.0) * memory_per_slot;
        let reported = self
            .report
            .free_memory
            .map(|m| f64::from(m) - self.sent_since_report(report_delay, |e| e.memory));
        reported.unwrap_or(self.known_slots - self.own_memory - others)
    }

    /// Records that one of this node's jobs has started or made progress. If this is the first sign of its
    /// start, returns when it started.
    pub(crate) fn record_progress(
        &mut self,
        submission: Submission,
        execution: Execution,
        now: Nanos,
    ) -> Option<JobStart> {
        let mut in_flight = self.in_flight.iter_mut();
        let found = in_flight.find(|e| e.submission == submission && e.execution == execution)?;
        (found.last_progress, self.last_progress) = (now, now);
        std::mem::replace(&mut found.unstarted, false).then(|| JobStart {
            waited: now - found.sent_at,
            connection_idle_time: found.connection_idle_time,
        })
    }

    /// Returns whether the worker has dropped a job of this node without an answer. This holds if the job
    /// sent no message for two progress intervals, and a report that came at least one interval after its
    /// last message counts fewer jobs than this node had sent one interval before the report. Jobs sent later
    /// may be missing in the report and prove nothing.
    pub(crate) fn has_lost(
        &self,
        execution: &InFlight,
        progress_interval: Option<Nanos>,
        now: Nanos,
    ) -> bool {
        let (Some(interval), Some(reported_at)) = (progress_interval, self.reported_at) else { return false };
        let settled = self.in_flight.iter().filter(|e| reported_at > e.sent_at + interval).count();
        let missing = self.report.active_jobs.is_some_and(|n| rounded(n) < settled as f64);
        missing
            && now > execution.last_progress + 2 * interval
            && reported_at > execution.last_progress + interval
    }

    /// Removes an execution that has ended, and returns it.
    pub(crate) fn remove_execution(
        &mut self,
        submission: Submission,
        execution: Execution,
    ) -> Option<InFlight> {
        let i = self.in_flight.iter().position(|e| e.submission == submission && e.execution == execution)?;
        let ended = self.in_flight.remove(i);
        // The sums are computed anew so that rounding errors do not accumulate.
        self.own_slots = self.in_flight.iter().map(|e| e.slots).sum();
        self.own_memory = self.in_flight.iter().map(|e| e.memory).sum();
        Some(ended)
    }
}

/// The state of one submission until its last execution has ended.
#[derive(Debug, Default)]
pub(crate) struct SubmissionState {
    pub(crate) job: Job,
    /// The index is in use: [`crate::types::Action::Forget`] has not been returned for it.
    pub(crate) known: bool,
    /// No final answer has been given.
    pub(crate) open: bool,
    pub(crate) streaming: bool,
    pub(crate) executions: Execution,
    /// The number of executions that have not ended.
    pub(crate) in_flight: u16,
    /// An ended execution may have run.
    pub(crate) may_have_run: bool,
    pub(crate) first_possible_run: Option<PossibleRun>,
    /// The workers of all executions so far, in their order.
    pub(crate) tried: Vec<Worker>,
}

/// An execution that may have run or may still run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) worker: Worker,
    pub(crate) sent_at: Nanos,
}

impl SubmissionState {
    /// Begins the next execution, on this worker, and returns it.
    pub(crate) fn begin_execution(
        &mut self,
        submission: Submission,
        worker: Worker,
        sent_at: Nanos,
        unstarted: bool,
        expected_duration: f64,
    ) -> InFlight {
        let (execution, Job { slots, memory, .. }) = (self.executions, self.job);
        self.first_possible_run.get_or_insert(PossibleRun { worker, sent_at });
        self.executions += 1;
        self.in_flight += 1;
        self.tried.push(worker);
        InFlight {
            submission,
            execution,
            sent_at,
            last_progress: sent_at,
            expected_duration,
            last_search: 0,
            slots,
            memory,
            unstarted,
            connection_idle_time: 0,
        }
    }

    pub(crate) fn execution_ended(&mut self, may_have_run: bool) {
        self.in_flight -= 1;
        self.may_have_run |= may_have_run;
        if self.in_flight == 0 && !self.may_have_run {
            self.first_possible_run = None;
        }
    }

    /// Makes this the state of a new submission.
    pub(crate) fn reset(&mut self, job: Job) {
        let mut tried = std::mem::take(&mut self.tried);
        tried.clear();
        *self = Self { job, known: true, open: true, tried, ..Self::default() };
    }
}

/// The threshold in slots of a kind of which no worker has reported yet.
pub(crate) const DEFAULT_THRESHOLD_SLOTS: f64 = 8.0;

/// Statistics of one kind of worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindStats {
    /// The most slots that this node may have in flight at a worker of the kind that counts as below
    /// threshold.
    pub(crate) threshold: f64,
    /// Completed jobs since the threshold last changed.
    pub(crate) completed_jobs: u32,
    /// The sum of the slots that its workers were seen to have.
    pub(crate) slots: f64,
    /// The number of workers whose slots are known.
    pub(crate) workers: f64,
}

impl KindStats {
    /// Returns the value at which the threshold starts and which it never exceeds.
    pub(crate) fn initial_threshold(&self) -> f64 {
        self.mean_slots().max(DEFAULT_THRESHOLD_SLOTS)
    }

    /// Returns the mean number of slots that its workers were seen to have.
    pub(crate) fn mean_slots(&self) -> f64 {
        self.slots / self.workers.max(1.0)
    }
}

/// Statistics of one tenant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TenantStats {
    pub(crate) sent: DecayingSum,
    /// The submissions that counted as within the tenant's share.
    pub(crate) within_share: DecayingSum,
}

/// Statistics of one product's answer times, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTime {
    pub(crate) samples: f64,
    pub(crate) mean: f64,
    /// The lowest mean; it drifts slowly towards the current mean.
    pub(crate) shortest: f64,
}

impl AnswerTime {
    /// Returns the estimate before the first answer.
    pub(crate) fn expected(latency_target: Nanos) -> Self {
        Self { mean: latency_target as f64, shortest: latency_target as f64, ..Self::default() }
    }

    pub(crate) fn add(&mut self, took: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_ANSWER_SAMPLES);
        self.mean += (took - self.mean) / self.samples;
        let drifted = self.shortest + (self.mean - self.shortest) / SHORTEST_DRIFT_ANSWERS;
        self.shortest = if self.samples < MIN_SHORTEST_SAMPLES { self.mean } else { self.mean.min(drifted) };
    }
}

/// All workers that were listed and not retired.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) workers: Vec<WorkerState>,
    pub(crate) kinds: Vec<Option<KindStats>>,
    /// The workers listed as ready.
    pub(crate) ready: Vec<Worker>,
    /// The workers of which something current is known: a recent report, a job, a probe or an idle
    /// connection.
    pub(crate) tracked: Vec<Worker>,
    /// The position in `ready` of the worker last probed in turn.
    pub(crate) probe_cursor: usize,
    /// The largest size in the list, 0 if the list gives no sizes.
    pub(crate) largest_size: f64,
    /// The mean relative size of the ready workers.
    pub(crate) mean_size: f64,
    /// The ready workers that were cold when the list was last received.
    pub(crate) cold: Vec<Worker>,
    /// Whether any worker has sent a report.
    pub(crate) any_reported: bool,
    /// The number of workers that recently answered a probe with a report.
    pub(crate) probed: DecayingSum,
    /// The number of those that had a free slot.
    pub(crate) probed_with_room: DecayingSum,
}

impl Fleet {
    pub(crate) fn get_mut(&mut self, worker: Worker) -> Option<&mut WorkerState> {
        self.workers.get_mut(worker as usize)
    }

    pub(crate) fn kind(&self, worker: &WorkerState) -> Option<&KindStats> {
        self.kinds.get(usize::from(worker.entry.kind))?.as_ref()
    }

    /// Returns the mean number of slots of workers of its kind, at least one.
    pub(crate) fn mean_slots(&self, worker: &WorkerState) -> f64 {
        self.kind(worker).map_or(1.0, |k| k.mean_slots().max(1.0))
    }

    /// Returns its size as a part of the largest in the list, or 1 if the list gives no sizes.
    pub(crate) fn relative_size(&self, worker: &WorkerState) -> f64 {
        let weight = f64::from(worker.entry.weight);
        if self.largest_size > 0.0 && weight > 0.0 { (weight / self.largest_size).min(1.0) } else { 1.0 }
    }

    /// Returns the slots that the jobs of all ready workers together may take, running and queued, estimated
    /// from the kinds that are known.
    pub(crate) fn capacity(&self) -> f64 {
        let known = self.kinds.iter().flatten();
        let (sum, workers) = known.fold((0.0, 0.0), |(sum, workers), k| {
            (
                sum + (HELD_JOBS_PER_SLOT * k.mean_slots()).max(DEFAULT_THRESHOLD_SLOTS) * k.workers,
                workers + k.workers,
            )
        });
        self.ready.len() as f64 * if workers > 0.0 { sum / workers } else { DEFAULT_THRESHOLD_SLOTS }
    }

    /// Returns the number of ready workers that a product may go to.
    pub(crate) fn count_ready_for(&self, product: &Product) -> usize {
        let allowed = |w: &&Worker| product.allows(&self[**w].entry);
        if product.is_restricted() { self.ready.iter().filter(allowed).count() } else { self.ready.len() }
    }

    /// Returns the slots that this node has in flight at the workers that a product may go to.
    pub(crate) fn own_slots(&self, product: &Product) -> f64 {
        let allowed = self.tracked.iter().map(|w| &self[*w]).filter(|w| product.allows(&w.entry));
        allowed.map(|w| w.own_slots).sum()
    }

    /// Returns the next ready worker in turn whose report is older than `max_age`, and marks it as probed.
    pub(crate) fn next_to_probe(&mut self, now: Nanos, max_age: f64) -> Option<Worker> {
        for _ in 0..self.ready.len() {
            self.probe_cursor = self.probe_cursor.wrapping_add(1) % self.ready.len();
            let worker = self.ready[self.probe_cursor];
            let state = &self[worker];
            if state.probe_sent_at.is_none()
                && state.probes_to_return == 0
                && state.reported_at.is_none_or(|r| (now - r) as f64 > max_age)
            {
                self.track(worker).probe_sent_at = Some(now);
                return Some(worker);
            }
        }
        None
    }

    pub(crate) fn mean_threshold(&self) -> Option<f64> {
        let known = self.kinds.iter().flatten();
        let (sum, n) = known.fold((0.0, 0.0), |(sum, n), k| (sum + k.threshold, n + 1.0));
        (n > 0.0).then(|| sum / n)
    }

    pub(crate) fn add_kind(&mut self, kind: u16, threshold: f64) {
        entry_at(&mut self.kinds, kind.into()).get_or_insert(KindStats {
            threshold,
            completed_jobs: 0,
            slots: 0.0,
            workers: 0.0,
        });
    }

    /// Returns the executions of a submission that have not ended, at the workers that it was sent to.
    pub(crate) fn in_flight(
        &self,
        submission: Submission,
        tried: &[Worker],
    ) -> impl Iterator<Item = Execution> {
        let in_flight = tried.iter().flat_map(|w| &self[*w].in_flight);
        in_flight.filter(move |e| e.submission == submission).map(|e| e.execution)
    }

    pub(crate) fn mark_all_gone(&mut self) {
        self.workers.iter_mut().for_each(|w| w.entry.health = Health::Gone);
        self.ready.clear();
    }

    /// Updates what is derived from the list: the mean size and the cold workers.
    pub(crate) fn summarize(&mut self, now: Nanos, slow_start_duration: Nanos) {
        let sizes = self.ready.iter().map(|w| self.relative_size(&self[*w])).sum::<f64>();
        self.mean_size = (sizes / self.ready.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let cold = |w: &&Worker| now < self[**w].entry.started.saturating_add(slow_start_duration);
        self.cold = self.ready.iter().filter(cold).copied().collect();
    }

    /// Applies one entry of the list. Returns whether it shows a new start of the worker.
    pub(crate) fn apply_entry(&mut self, entry: WorkerEntry, weights_are_sizes: bool) -> bool {
        let state = entry_at(&mut self.workers, entry.worker);
        match (state.entry.health == Health::Ready, entry.health == Health::Ready) {
            (false, true) => self.ready.push(entry.worker),
            (true, false) => self.ready.retain(|w| *w != entry.worker),
            _ => {}
        }
        let before = std::mem::replace(&mut state.entry, entry).started;
        state.entry.started = entry.started.max(before);
        if weights_are_sizes && entry.weight.is_finite() {
            self.largest_size = self.largest_size.max(entry.weight.into());
        }
        entry.started > before
    }

    /// Forgets a worker that is gone, unless it still holds a job of this node or has a probe outstanding.
    pub(crate) fn retire(&mut self, worker: Worker) {
        let Some(state) = self.workers.get_mut(worker as usize) else { return };
        if state.entry.health == Health::Gone && state.in_flight.is_empty() && state.probe_sent_at.is_none() {
            *state = WorkerState::default();
            self.tracked.retain(|w| *w != worker);
        }
    }

    pub(crate) fn track(&mut self, worker: Worker) -> &mut WorkerState {
        let state = &mut self.workers[worker as usize];
        if !std::mem::replace(&mut state.tracked, true) {
            self.tracked.push(worker);
        }
        state
    }

    /// Counts a probe's report in the estimate of how many workers have a free slot.
    pub(crate) fn record_probe_report(&mut self, report: Option<Report>, now: Nanos) {
        let Some((report, free)) = report.and_then(|r| Some((r, r.free_slots?))) else { return };
        let room = rounded(free) - report.queued_jobs.map_or(0.0, rounded) >= 1.0;
        self.probed.add(now, Rate::TIME_CONSTANT_NS, 1.0);
        self.probed_with_room.add(now, Rate::TIME_CONSTANT_NS, f64::from(u8::from(room)));
    }

    /// Returns the part of the recently probed workers that had a free slot; one with a free slot is assumed
    /// to begin with.
    pub(crate) fn share_with_room(&self, now: Nanos) -> f64 {
        (self.probed_with_room.read(now, Rate::TIME_CONSTANT_NS) + 1.0)
            / (self.probed.read(now, Rate::TIME_CONSTANT_NS) + 1.0)
    }

    /// Stores a report and the slots that it shows. Returns the minimum age of the report as far as this
    /// node's own jobs prove it, else 0.
    pub(crate) fn apply_report(&mut self, worker: Worker, report: Option<Report>, now: Nanos) -> Nanos {
        let Some(report) = report.filter(|_| (worker as usize) < self.workers.len()) else { return 0 };
        self.any_reported = true;
        let state = self.track(worker);
        let before = state.known_slots;
        let age = state.apply_report(report, now);
        let (kind, after) = (usize::from(state.entry.kind), state.known_slots);
        if let Some(Some(kind)) = self.kinds.get_mut(kind) {
            // The threshold changes by as much as its initial value does. Reductions because of overloaded
            // workers are kept.
            let initial = kind.initial_threshold();
            kind.slots += after - before;
            kind.workers += f64::from(u8::from(before == 0.0 && after > 0.0));
            kind.threshold += kind.initial_threshold() - initial;
        }
        age.unwrap_or(0)
    }
}

impl Index<Worker> for Fleet {
    type Output = WorkerState;

    fn index(&self, worker: Worker) -> &WorkerState {
        &self.workers[worker as usize]
    }
}

impl IndexMut<Worker> for Fleet {
    fn index_mut(&mut self, worker: Worker) -> &mut WorkerState {
        &mut self.workers[worker as usize]
    }
}

/// Returns the mean answer time over all products.
pub(crate) fn mean_answer_time(answer_times: &[AnswerTime]) -> f64 {
    answer_times.iter().map(|a| a.mean).sum::<f64>() / answer_times.len().max(1) as f64
}

/// Returns the mean answer time of the slowest product.
pub(crate) fn slowest_answer_time(answer_times: &[AnswerTime]) -> f64 {
    answer_times.iter().map(|a| a.mean).fold(0.0, f64::max)
}

/// Rounds a figure of a report, which removes its noise.
pub(crate) fn rounded(figure: f32) -> f64 {
    f64::from(figure).round()
}

/// Returns the weighted median of `value(i)` over the indices of `weights`.
pub(crate) fn weighted_median(weights: &[f64], value: impl Fn(usize) -> f64) -> f64 {
    let half = weights.iter().sum::<f64>() / 2.0;
    let up_to =
        |limit: f64| (0..weights.len()).filter(|&i| value(i) <= limit).map(|i| weights[i]).sum::<f64>();
    (0..weights.len()).map(&value).filter(|v| up_to(*v) >= half).fold(f64::INFINITY, f64::min)
}

/// Returns the entry at an index; grows the vector if the index is new.
pub(crate) fn entry_at<T: Default>(entries: &mut Vec<T>, index: u32) -> &mut T {
    let index = index as usize;
    if index >= entries.len() {
        entries.resize_with(index + 1, T::default);
    }
    &mut entries[index]
}

/// The result of choosing a worker for a submission.
#[derive(Debug, Default)]
pub(crate) struct Choice {
    /// The estimated part of the workers that are below threshold.
    pub(crate) room_share: f64,
    /// The number of workers found below threshold.
    pub(crate) workers_below_threshold: usize,
    pub(crate) pick: Option<Worker>,
    /// The number of ready workers that the submission may go to.
    pub(crate) allowed_workers: usize,
    /// The mean number of slots that this node has in flight at each of those.
    pub(crate) mean_own_slots: f64,
}

/// A uniformly random choice among the workers offered with the lowest rank.
#[derive(Debug, Default)]
pub(crate) struct RankedDraw {
    /// The number of workers offered, of any rank.
    pub(crate) offered: usize,
    pub(crate) pick: Option<Worker>,
    rank: u8,
    /// The number of workers offered with the lowest rank.
    ties: usize,
}

impl RankedDraw {
    pub(crate) fn offer_if(&mut self, eligible: bool, worker: Worker, rank: u8, rng: &mut fastrand::Rng) {
        if !eligible {
            return;
        }
        self.offered += 1;
        if self.pick.is_none() || rank < self.rank {
            (self.rank, self.ties) = (rank, 0);
        }
        if rank == self.rank {
            self.ties += 1;
            if rng.usize(..self.ties) == 0 {
                self.pick = Some(worker);
            }
        }
    }
}

/// Statistics of all submissions that pass through the node.
#[derive(Debug)]
pub(crate) struct TrafficStats {
    pub(crate) arrivals: Rate,
    /// The recent arrivals, with the time constant [`RECENT_ARRIVALS_NS`].
    pub(crate) recent_arrivals: DecayingSum,
    /// The slots of all executions in flight.
    pub(crate) slots_in_flight: f64,
    /// The part of the ready workers' capacity that this node may fill.
    pub(crate) load_limit: f64,
    /// The mean of the answer times as multiples of their products' shortest.
    pub(crate) answer_time_ratio: f64,
    pub(crate) memory_per_slot: f64,
    /// By product, its contribution to the mean number of slots that a submission needs.
    pub(crate) slots_by_product: Vec<f64>,
    /// The number of submissions in that average, at most [`SLOTS_AVERAGE_SUBMISSIONS`].
    pub(crate) averaged_submissions: f64,
    /// How long idle connections were found to stay usable, at most `idle_timeout`.
    pub(crate) idle_lifetime: f64,
    pub(crate) idle_timeout: f64,
    /// The part of the executions that started at once.
    pub(crate) prompt_share: f64,
    pub(crate) proved_report_delay: ProvedReportDelay,
    pub(crate) probe_budget: ProbeBudget,
}

/// How old a report was at least when it arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProvedReportDelay {
    pub(crate) delay: Nanos,
    pub(crate) proved_at: Nanos,
}

/// How many probes may be sent now to refresh reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeBudget {
    /// Negative for a debt.
    pub(crate) probes: f64,
    pub(crate) updated_at: Nanos,
}

impl TrafficStats {
    pub(crate) fn new(idle_timeout: Nanos, products: usize) -> Self {
        Self {
            idle_lifetime: idle_timeout as f64,
            idle_timeout: idle_timeout as f64,
            slots_by_product: vec![0.0; products],
            ..Self::default()
        }
    }

    /// Returns how old reports are when they arrive: the last proved delay, which fades until it is proved
    /// again.
    pub(crate) fn report_delay(&self, now: Nanos) -> Nanos {
        let ProvedReportDelay { delay, proved_at } = self.proved_report_delay;
        delay.saturating_sub((now - proved_at) / REPORT_DELAY_FADE_DIVISOR)
    }

    /// Returns the submissions per nanosecond, raised as soon as more arrive than chance explains. Without
    /// this, a choice made with a probability set for the mean rate would be made too often during a burst.
    pub(crate) fn burst_rate(&self, now: Nanos) -> f64 {
        let seen = self.recent_arrivals.read(now, RECENT_ARRIVALS_NS);
        self.arrivals.read(now).max((seen - BURST_DEVIATIONS * seen.sqrt()) / RECENT_ARRIVALS_NS)
    }

    /// Assumes an arrival rate until arrivals have been seen.
    pub(crate) fn assume_rate(&mut self, now: Nanos, rate: f64) {
        self.arrivals.0.add(now, Rate::TIME_CONSTANT_NS, rate * Rate::TIME_CONSTANT_NS);
    }

    /// Adds to the probe budget for the time since the last call, up to `max`.
    pub(crate) fn grow_probe_budget(&mut self, now: Nanos, rate: f64, max: f64) {
        let ProbeBudget { probes, updated_at } = self.probe_budget;
        let probes = (probes + rate * (now - updated_at) as f64).min(max);
        self.probe_budget = ProbeBudget { probes, updated_at: now };
    }

    /// Returns the slot time that a submission takes on average, without waiting. It uses the current answer
    /// times: at a low rate, most of the averaged submissions came before the first answer.
    pub(crate) fn mean_work(&self, answer_times: &[AnswerTime]) -> f64 {
        self.slots_by_product.iter().zip(answer_times).map(|(slots, answer)| slots * answer.shortest).sum()
    }

    pub(crate) fn record_submission(&mut self, now: Nanos, job: Job) {
        self.arrivals.add(now);
        self.recent_arrivals.add(now, RECENT_ARRIVALS_NS, 1.0);
        self.memory_per_slot += (job.memory / job.slots - self.memory_per_slot) / MEMORY_AVERAGE_SUBMISSIONS;
        self.averaged_submissions = (self.averaged_submissions + 1.0).min(SLOTS_AVERAGE_SUBMISSIONS);
        for (product, slots) in self.slots_by_product.iter_mut().enumerate() {
            let needed = if product == usize::from(job.product) { job.slots } else { 0.0 };
            *slots += (needed - *slots) / self.averaged_submissions;
        }
    }

    /// Records whether an execution started at once. If its connection had been idle before, a late start may
    /// mean that the other end had silently dropped the connection.
    pub(crate) fn record_start(&mut self, at_once: bool, connection_idle_time: Nanos) {
        self.prompt_share += (f64::from(u8::from(at_once)) - self.prompt_share) / PROMPT_SHARE_EXECUTIONS;
        if connection_idle_time > 0 {
            let lifetime =
                self.idle_lifetime * if at_once { IDLE_LIFETIME_GROWTH } else { IDLE_LIFETIME_REDUCTION };
            self.idle_lifetime = lifetime.min(self.idle_timeout);
        }
    }

    pub(crate) fn record_report_age(&mut self, age: Nanos, now: Nanos) {
        if age > 0 && age >= self.report_delay(now) {
            self.proved_report_delay = ProvedReportDelay { delay: age, proved_at: now };
        }
    }
}

impl Default for TrafficStats {
    fn default() -> Self {
        Self {
            arrivals: Rate::default(),
            recent_arrivals: DecayingSum::default(),
            slots_in_flight: 0.0,
            load_limit: 1.0,
            answer_time_ratio: 1.0,
            memory_per_slot: 1.0,
            slots_by_product: Vec::new(),
            averaged_submissions: 0.0,
            idle_lifetime: 0.0,
            idle_timeout: 0.0,
            prompt_share: 1.0,
            proved_report_delay: ProvedReportDelay::default(),
            probe_budget: ProbeBudget::default(),
        }
    }
}
