//! A model of an executor: cores shared by the running jobs, slots, a first-in-first-out queue, a cold start
//! and load reports.

use std::collections::VecDeque;

use linestack_core::{ConnectionId as CoreConnectionId, Nanos};
use linestack_dispatch::types::Report;
use rand::Rng as _;

use crate::scenario::Executors;

/// The minimum fraction of the speed that slowed executors keep, so that their jobs make progress.
pub(crate) const MIN_SPEED_SHARE: f64 = 0.01;

/// The minimum number of cores that another program leaves, so that jobs always make progress.
const MIN_AVAILABLE_CORES: f64 = 0.05;

/// The maximum time, in seconds, for which a completion estimate of a cold executor is used.
const COLD_ESTIMATE_LIMIT_S: f64 = 0.25;

/// Tolerance for rounding errors in slots and in seconds of work.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// One run of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeProcess {
    pub(crate) node: usize,
    pub(crate) incarnation: u32,
}

/// A connection, identified by the node that opened it, the incarnation of its process, and the number that
/// the node gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId {
    pub(crate) node: usize,
    pub(crate) incarnation: u32,
    pub(crate) number: CoreConnectionId,
}

/// A waiting or running job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) connection: ConnectionId,
    pub(crate) attempt: usize,
    /// Remaining seconds of work, at speed 1.
    pub(crate) remaining_work_s: f64,
    pub(crate) slots: f64,
    /// When it started to run; 0 while it waits.
    pub(crate) started: Nanos,
}

/// The faults that are currently active on an executor. Rates are fractions of all jobs, from 0 to 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveFaults {
    /// It accepts jobs and does nothing.
    pub(crate) hangs: bool,
    pub(crate) paused: bool,
    /// Its machine has vanished from the network.
    pub(crate) unreachable: bool,
    /// It runs at this fraction of its speed.
    pub(crate) slowed_to: Option<f64>,
    /// The fraction of its cores that another program on the machine takes while that program is active.
    pub(crate) neighbour_share: f64,
    pub(crate) neighbour_active: bool,
    pub(crate) error_rate: f64,
    /// Jobs of the first product fail.
    pub(crate) product_fails: bool,
    pub(crate) loss_rate: f64,
    pub(crate) refusal_rate: f64,
    /// The rate of malformed answers.
    pub(crate) garbage_rate: f64,
    /// Its load reports show all slots free.
    pub(crate) reports_idle: bool,
    pub(crate) report_delay: Nanos,
    /// Messages from nodes are lost.
    pub(crate) inbound_cut: bool,
    /// Messages to nodes are lost.
    pub(crate) outbound_cut: bool,
}

/// An executor, across all incarnations of its process.
#[derive(Clone, Debug)]
pub(crate) struct Executor {
    pub(crate) name: String,
    /// Its index in the scenario's list of executor kinds.
    pub(crate) kind_index: usize,
    pub(crate) zone: u16,
    /// The group of executors that share their memory of idempotency keys.
    pub(crate) group: u16,
    /// Seconds of work that a core does per second when warm and without faults.
    pub(crate) speed: f64,
    pub(crate) cores: f64,
    pub(crate) slots: f64,
    /// The maximum number of waiting jobs.
    pub(crate) max_waiting: usize,
    /// The fraction of its capacity that it has right after a start.
    pub(crate) cold_capacity_share: f64,
    /// The time from a start until it has its full capacity.
    pub(crate) cold_duration: Nanos,
    /// Whether its process runs.
    pub(crate) alive: bool,
    pub(crate) draining: bool,
    /// It was overloaded while cold, and stays down.
    pub(crate) collapsed: bool,
    /// The number of times that its process has ended.
    pub(crate) incarnation: u32,
    /// When its process started; 0 if it ran from the beginning of the simulation, in which case it is warm.
    pub(crate) started: Nanos,
    pub(crate) faults: ActiveFaults,
    pub(crate) connections: usize,
    pub(crate) running: Vec<Job>,
    pub(crate) waiting: VecDeque<Job>,
    /// Slots taken by running jobs.
    pub(crate) used_slots: f64,
    /// Remaining seconds of work for handshakes and probes.
    overhead_s: f64,
    /// The time up to which work has been simulated.
    advanced_to: Nanos,
    /// The number of the latest scheduled wake-up. Events of earlier wake-ups are ignored.
    pub(crate) wake_number: u64,
    /// Past load reports, the newest last.
    reports: VecDeque<TimedReport>,
    /// Total seconds of work done.
    pub(crate) done_work_s: f64,
}

/// A load report and the time at which it was made.
#[derive(Clone, Copy, Debug)]
struct TimedReport {
    at: Nanos,
    report: Report,
}

impl Executor {
    pub(crate) fn new(
        name: String,
        kind_index: usize,
        kind: &Executors,
        zone: u16,
        group: u16,
        speed: f64,
        now: Nanos,
    ) -> Self {
        Self {
            name,
            kind_index,
            zone,
            group,
            speed,
            cores: kind.cores,
            slots: f64::from(kind.slots),
            max_waiting: kind.queue as usize,
            cold_capacity_share: kind.cold_capacity_share,
            cold_duration: crate::scenario::seconds_to_nanos(kind.cold_s),
            alive: true,
            draining: false,
            collapsed: false,
            incarnation: 0,
            started: 0,
            faults: ActiveFaults::default(),
            connections: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            used_slots: 0.0,
            overhead_s: 0.0,
            advanced_to: now,
            wake_number: 0,
            reports: VecDeque::new(),
            done_work_s: 0.0,
        }
    }

    /// Returns whether its process runs on a machine that is connected to the network.
    pub(crate) fn is_reachable(&self) -> bool {
        self.alive && !self.faults.unreachable
    }

    /// Returns whether it currently does no work.
    pub(crate) fn is_stalled(&self) -> bool {
        !self.alive || self.faults.unreachable || self.faults.hangs || self.faults.paused
    }

    /// Returns whether it does not have its full capacity yet.
    pub(crate) fn is_cold(&self, now: Nanos) -> bool {
        self.started > 0 && now < self.started + self.cold_duration
    }

    /// Returns the fraction of its capacity that it currently has. It grows linearly after a start.
    pub(crate) fn warm_share(&self, now: Nanos) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / self.cold_duration as f64;
        self.cold_capacity_share + (1.0 - self.cold_capacity_share) * age
    }

    /// Returns the seconds of work that it can do per second.
    pub(crate) fn capacity(&self, now: Nanos) -> f64 {
        self.speed * self.cores.min(self.slots) * self.warm_share(now)
    }

    /// Returns the seconds of work that one core currently does per second.
    fn core_speed(&self, now: Nanos) -> f64 {
        self.speed * self.faults.slowed_to.unwrap_or(1.0) * self.warm_share(now)
    }

    /// Returns the number of cores that another program on the machine leaves.
    fn available_cores(&self) -> f64 {
        let taken_share = if self.faults.neighbour_active { self.faults.neighbour_share } else { 0.0 };
        (self.cores * (1.0 - taken_share)).max(MIN_AVAILABLE_CORES)
    }

    /// Returns the seconds of work done per second on each running job.
    fn job_speed(&self, now: Nanos) -> f64 {
        self.core_speed(now) * (self.available_cores() / self.running.len().max(1) as f64).min(1.0)
    }

    /// Simulates its work up to now. Must be called before anything that changes its speed.
    pub(crate) fn advance(&mut self, now: Nanos) {
        let span_s = now.saturating_sub(self.advanced_to) as f64 / 1e9;
        let (job_speed, total_speed) =
            (self.job_speed(self.advanced_to), self.core_speed(self.advanced_to) * self.available_cores());
        self.advanced_to = now;
        if self.is_stalled() || span_s <= 0.0 {
            return;
        }
        let overhead_done_s = self.overhead_s.min(total_speed * span_s);
        self.overhead_s -= overhead_done_s;
        let span_s = span_s - overhead_done_s / total_speed;
        for job in &mut self.running {
            job.remaining_work_s -= job_speed * span_s;
            self.done_work_s += job_speed * span_s;
        }
    }

    /// Adds work that belongs to no job, such as a handshake. It is done before the work of jobs.
    pub(crate) fn add_overhead_work(&mut self, now: Nanos, work_s: f64) {
        self.advance(now);
        self.overhead_s += work_s;
    }

    /// Returns when the next job will be done if nothing changes.
    pub(crate) fn next_completion(&self, now: Nanos) -> Option<Nanos> {
        if self.is_stalled() {
            return None;
        }
        let remaining_s = self.running.iter().map(|j| j.remaining_work_s).fold(f64::INFINITY, f64::min);
        if !remaining_s.is_finite() {
            return None;
        }
        let total_speed = self.core_speed(now) * self.available_cores();
        let span_s = remaining_s.max(0.0) / self.job_speed(now) + self.overhead_s / total_speed;
        // A cold executor speeds up over time, so the estimate is renewed after a short while.
        let span_s = if self.is_cold(now) { span_s.min(COLD_ESTIMATE_LIMIT_S) } else { span_s };
        Some(now + (span_s * 1e9).ceil().min(1e18) as Nanos + 1)
    }

    /// Starts waiting jobs in order, as long as the first one fits into the free slots. Returns copies of the
    /// started jobs.
    pub(crate) fn start_waiting_jobs(&mut self, now: Nanos) -> Vec<Job> {
        let mut started = Vec::new();
        if self.is_stalled() {
            return started;
        }
        while let Some(job) = self.waiting.front() {
            if self.used_slots + job.slots > self.slots + ROUNDING_TOLERANCE {
                break;
            }
            let Some(mut job) = self.waiting.pop_front() else { break };
            job.started = now;
            self.used_slots += job.slots;
            started.push(job.clone());
            self.running.push(job);
        }
        started
    }

    /// Removes and returns the jobs that are done.
    pub(crate) fn take_done(&mut self) -> Vec<Job> {
        let mut done = Vec::new();
        let mut i = 0;
        while i < self.running.len() {
            if self.running[i].remaining_work_s <= ROUNDING_TOLERANCE {
                done.push(self.running.remove(i));
            } else {
                i += 1;
            }
        }
        self.recount_used_slots();
        done
    }

    /// Recomputes the slots taken by running jobs.
    pub(crate) fn recount_used_slots(&mut self) {
        self.used_slots = self.running.iter().map(|j| j.slots).sum();
    }

    /// Drops its state, as at the end of a process. Returns its jobs: the running ones, then the waiting
    /// ones.
    pub(crate) fn clear(&mut self) -> Vec<Job> {
        let jobs = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        (self.used_slots, self.overhead_s, self.connections) = (0.0, 0.0, 0);
        self.reports.clear();
        jobs
    }

    /// Removes and returns the waiting jobs of a connection, and also the running ones if `cancels` is set.
    pub(crate) fn drop_jobs_of(&mut self, connection: ConnectionId, cancels: bool) -> Vec<Job> {
        let is_of_connection = |job: &&Job| job.connection == connection;
        let mut dropped: Vec<Job> = self.waiting.iter().filter(is_of_connection).cloned().collect();
        self.waiting.retain(|job| job.connection != connection);
        if cancels {
            dropped.extend(self.running.iter().filter(is_of_connection).cloned());
            self.running.retain(|job| job.connection != connection);
            self.recount_used_slots();
        }
        dropped
    }

    /// Returns whether a job with this number of slots may start or wait here.
    pub(crate) fn admits(&self, slots: f64) -> bool {
        let must_wait = self.used_slots + slots > self.slots || !self.waiting.is_empty();
        let queue_full = self.waiting.len() >= self.max_waiting;
        slots <= self.slots && !(must_wait && queue_full)
    }

    /// Returns whether the job of an attempt runs here for a connection.
    pub(crate) fn is_running(&self, connection: ConnectionId, attempt: usize) -> bool {
        self.running.iter().any(|job| job.attempt == attempt && job.connection == connection)
    }

    /// Completes the running job of a connection without doing its work.
    pub(crate) fn complete_without_work(&mut self, connection: ConnectionId) {
        if let Some(job) = self.running.iter_mut().find(|job| job.connection == connection) {
            job.remaining_work_s = 0.0;
        }
    }

    /// Returns the slots that neither running nor waiting jobs need.
    pub(crate) fn free_slots(&self) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|j| j.slots).sum();
        (self.slots - self.used_slots - waiting).max(0.0)
    }

    /// Returns the load report that an answer sent now contains. Reports are renewed once per `period` and
    /// become visible `delay` late; with both at 0 each answer has a fresh report. `noise` is the maximum
    /// relative error of each figure.
    pub(crate) fn report(
        &mut self,
        now: Nanos,
        period: Nanos,
        delay: Nanos,
        noise: f64,
        rng: &mut rand_pcg::Pcg64Mcg,
    ) -> Report {
        let mut noisy = |figure: f64| (figure * (1.0 + noise * rng.random_range(-1.0..=1.0))) as f32;
        let (free, waiting) = ((self.slots - self.used_slots).max(0.0), self.waiting.len() as f64);
        let active = (self.running.len() + self.waiting.len()) as f64;
        let current = Report {
            free_slots: Some(noisy(if self.faults.reports_idle { self.slots } else { free })),
            queued_jobs: Some(noisy(if self.faults.reports_idle { 0.0 } else { waiting })),
            active_jobs: Some(noisy(if self.faults.reports_idle { 0.0 } else { active })),
            free_memory: None,
        };
        let delay = delay + self.faults.report_delay;
        if period == 0 && delay == 0 {
            return current;
        }
        if self.reports.back().is_none_or(|last| now >= last.at + period) {
            self.reports.push_back(TimedReport { at: now, report: current });
        }
        while self.reports.len() > 1 && self.reports[1].at + delay <= now {
            self.reports.pop_front();
        }
        self.reports[0].report
    }
}
