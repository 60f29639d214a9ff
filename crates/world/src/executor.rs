//! A model of an executor: cores that jobs share, slots, a queue in order, a cold start, load reports.

use std::collections::VecDeque;

use linestack_core::{ConnectionId as CoreConnectionId, Nanos};
use linestack_dispatch::types::Report;
use rand::Rng as _;

use crate::scenario::Executors;

/// One run of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeProcess {
    pub(crate) node: usize,
    pub(crate) incarnation: u32,
}

/// A connection, by the node that opened it, the incarnation of its process, and the node's own number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId {
    pub(crate) node: usize,
    pub(crate) incarnation: u32,
    pub(crate) link: CoreConnectionId,
}

/// A job that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) connection: ConnectionId,
    pub(crate) attempt: usize,
    /// Seconds of work left, at speed 1.
    pub(crate) left: f64,
    pub(crate) slots: f64,
    /// When it began to run; 0 while it waits.
    pub(crate) started: Nanos,
}

/// What is wrong with an executor now. Rates are parts of all jobs, 0 to 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveFaults {
    /// It takes jobs and does nothing.
    pub(crate) hangs: bool,
    pub(crate) paused: bool,
    /// Its machine has vanished.
    pub(crate) unreachable: bool,
    /// It runs at this part of its speed.
    pub(crate) slowed_to: Option<f64>,
    /// The part of its cores that another program takes while it is active.
    pub(crate) neighbour_share: f64,
    pub(crate) neighbour_active: bool,
    pub(crate) error_rate: f64,
    /// Jobs of the first product fail.
    pub(crate) product_fails: bool,
    pub(crate) loss_rate: f64,
    pub(crate) refusal_rate: f64,
    /// Answers that make no sense.
    pub(crate) garbage_rate: f64,
    /// Its load reports show all slots free.
    pub(crate) reports_idle: bool,
    pub(crate) report_delay: Nanos,
    /// Messages from nodes are lost.
    pub(crate) inbound_cut: bool,
    /// Messages to nodes are lost.
    pub(crate) outbound_cut: bool,
}

/// An executor, over all incarnations of its process.
#[derive(Clone, Debug)]
pub(crate) struct Executor {
    pub(crate) name: String,
    /// Its kind, by its place in the scenario.
    pub(crate) spec: usize,
    pub(crate) zone: u16,
    /// The group that shares the memory of idempotency keys.
    pub(crate) group: u16,
    /// Seconds of work that a core does in a second.
    pub(crate) speed: f64,
    pub(crate) cores: f64,
    pub(crate) slots: f64,
    /// Jobs that may wait.
    pub(crate) queue: usize,
    /// The part of its capacity that it has right after a start.
    pub(crate) cold_from: f64,
    /// The time until its capacity is whole.
    pub(crate) cold_for: Nanos,
    /// Its process runs.
    pub(crate) alive: bool,
    pub(crate) draining: bool,
    /// Sent too much while it was cold; it stays down.
    pub(crate) collapsed: bool,
    /// Counts the ends of its process.
    pub(crate) incarnation: u32,
    /// When its process started; 0 for one that was there from the beginning, which is warm.
    pub(crate) started: Nanos,
    pub(crate) faults: ActiveFaults,
    pub(crate) connections: usize,
    pub(crate) running: Vec<Job>,
    pub(crate) waiting: VecDeque<Job>,
    /// Slots of running jobs.
    pub(crate) in_use: f64,
    /// Seconds of work that handshakes and probes still want.
    overhead: f64,
    /// Work has been done up to this time.
    updated: Nanos,
    /// The number of the last wake-up; earlier ones are void.
    pub(crate) wake: u64,
    /// Load reports as they stood, the newest last.
    reports: VecDeque<TimedReport>,
    /// Seconds of work done in all.
    pub(crate) worked: f64,
}

/// A load report, and when it was made.
#[derive(Clone, Copy, Debug)]
struct TimedReport {
    at: Nanos,
    report: Report,
}

impl Executor {
    pub(crate) fn new(
        name: String,
        spec: usize,
        e: &Executors,
        zone: u16,
        group: u16,
        speed: f64,
        now: Nanos,
    ) -> Self {
        Self {
            name,
            spec,
            zone,
            group,
            speed,
            cores: e.cores,
            slots: f64::from(e.slots),
            queue: e.queue as usize,
            cold_from: e.cold_from,
            cold_for: crate::scenario::seconds(e.cold_s),
            alive: true,
            draining: false,
            collapsed: false,
            incarnation: 0,
            started: 0,
            faults: ActiveFaults::default(),
            connections: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            in_use: 0.0,
            overhead: 0.0,
            updated: now,
            wake: 0,
            reports: VecDeque::new(),
            worked: 0.0,
        }
    }

    /// Whether its process runs on a machine that is there.
    pub(crate) fn is_reachable(&self) -> bool {
        self.alive && !self.faults.unreachable
    }

    /// Whether no work is done.
    pub(crate) fn is_stalled(&self) -> bool {
        !self.alive || self.faults.unreachable || self.faults.hangs || self.faults.paused
    }

    /// Whether its capacity is not whole yet.
    pub(crate) fn is_cold(&self, now: Nanos) -> bool {
        self.started > 0 && now < self.started + self.cold_for
    }

    /// The part of its capacity that it has now.
    pub(crate) fn warmth(&self, now: Nanos) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / self.cold_for as f64;
        self.cold_from + (1.0 - self.cold_from) * age
    }

    /// Seconds of work that it can do in a second.
    pub(crate) fn capacity(&self, now: Nanos) -> f64 {
        self.speed * self.cores.min(self.slots) * self.warmth(now)
    }

    fn core_speed(&self, now: Nanos) -> f64 {
        self.speed * self.faults.slowed_to.unwrap_or(1.0) * self.warmth(now)
    }

    fn cores_left(&self) -> f64 {
        let taken = if self.faults.neighbour_active { self.faults.neighbour_share } else { 0.0 };
        (self.cores * (1.0 - taken)).max(0.05)
    }

    /// How fast each running job goes on.
    fn pace(&self, now: Nanos) -> f64 {
        self.core_speed(now) * (self.cores_left() / self.running.len().max(1) as f64).min(1.0)
    }

    /// Lets it work until now. Whatever changes its pace must call this before.
    pub(crate) fn advance(&mut self, now: Nanos) {
        let span = now.saturating_sub(self.updated) as f64 / 1e9;
        let (pace, all) = (self.pace(self.updated), self.core_speed(self.updated) * self.cores_left());
        self.updated = now;
        if self.is_stalled() || span <= 0.0 {
            return;
        }
        let spent = self.overhead.min(all * span);
        self.overhead -= spent;
        let span = span - spent / all;
        for job in &mut self.running {
            job.left -= pace * span;
            self.worked += pace * span;
        }
    }

    /// Adds work that is not a job's, and is done before that of jobs.
    pub(crate) fn add_overhead(&mut self, now: Nanos, work: f64) {
        self.advance(now);
        self.overhead += work;
    }

    /// When something will be done, if it goes on as now.
    pub(crate) fn next(&self, now: Nanos) -> Option<Nanos> {
        if self.is_stalled() {
            return None;
        }
        let left = self.running.iter().map(|j| j.left).fold(f64::INFINITY, f64::min);
        if !left.is_finite() {
            return None;
        }
        let all = self.core_speed(now) * self.cores_left();
        let span = left.max(0.0) / self.pace(now) + self.overhead / all;
        // A cold one gets faster: it is looked at again before.
        let span = if self.is_cold(now) { span.min(0.25) } else { span };
        Some(now + (span * 1e9).ceil().min(1e18) as Nanos + 1)
    }

    /// Starts what fits, in order; the head waits until it does. Returns copies of what was started.
    pub(crate) fn start(&mut self, now: Nanos) -> Vec<Job> {
        let mut started = Vec::new();
        if self.is_stalled() {
            return started;
        }
        while let Some(job) = self.waiting.front() {
            if self.in_use + job.slots > self.slots + 1e-9 {
                break;
            }
            let Some(mut job) = self.waiting.pop_front() else { break };
            job.started = now;
            self.in_use += job.slots;
            started.push(job.clone());
            self.running.push(job);
        }
        started
    }

    /// Takes out what is done.
    pub(crate) fn done(&mut self) -> Vec<Job> {
        let mut done = Vec::new();
        let mut i = 0;
        while i < self.running.len() {
            if self.running[i].left <= 1e-9 {
                done.push(self.running.remove(i));
            } else {
                i += 1;
            }
        }
        self.count();
        done
    }

    /// Counts the slots of running jobs anew.
    pub(crate) fn count(&mut self) {
        self.in_use = self.running.iter().map(|j| j.slots).sum();
    }

    /// Forgets all that it holds, as at the end of a process, and returns it: what ran, then what waited.
    pub(crate) fn clear(&mut self) -> Vec<Job> {
        let held = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        (self.in_use, self.overhead, self.connections) = (0.0, 0.0, 0);
        self.reports.clear();
        held
    }

    /// Takes out the jobs of a connection that wait, and those that run if `cancels` says so.
    pub(crate) fn drop_jobs_of(&mut self, connection: ConnectionId, cancels: bool) -> Vec<Job> {
        let of_it = |job: &&Job| job.connection == connection;
        let mut dropped: Vec<Job> = self.waiting.iter().filter(of_it).cloned().collect();
        self.waiting.retain(|job| job.connection != connection);
        if cancels {
            dropped.extend(self.running.iter().filter(of_it).cloned());
            self.running.retain(|job| job.connection != connection);
            self.count();
        }
        dropped
    }

    /// Whether a job that wants so many slots may start or wait here.
    pub(crate) fn admits(&self, slots: f64) -> bool {
        let must_wait = self.in_use + slots > self.slots || !self.waiting.is_empty();
        let queue_full = self.waiting.len() >= self.queue;
        slots <= self.slots && !(must_wait && queue_full)
    }

    /// Whether an attempt's job runs here for a connection.
    pub(crate) fn is_running(&self, connection: ConnectionId, attempt: usize) -> bool {
        self.running.iter().any(|job| job.attempt == attempt && job.connection == connection)
    }

    /// Ends the running job of a connection without its work being done.
    pub(crate) fn skip(&mut self, connection: ConnectionId) {
        if let Some(job) = self.running.iter_mut().find(|job| job.connection == connection) {
            job.left = 0.0;
        }
    }

    /// Slots that neither running nor waiting jobs want.
    pub(crate) fn free(&self) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|j| j.slots).sum();
        (self.slots - self.in_use - waiting).max(0.0)
    }

    /// The report that an answer holds now: fresh, or the one made last, that many nanoseconds late.
    pub(crate) fn report(
        &mut self,
        now: Nanos,
        period: Nanos,
        delay: Nanos,
        noise: f64,
        rng: &mut rand_pcg::Pcg64Mcg,
    ) -> Report {
        let mut noisy = |f: f64| (f * (1.0 + noise * rng.random_range(-1.0..=1.0))) as f32;
        let (free, waiting) = ((self.slots - self.in_use).max(0.0), self.waiting.len() as f64);
        let in_hand = (self.running.len() + self.waiting.len()) as f64;
        let present = Report {
            free_slots: Some(noisy(if self.faults.reports_idle { self.slots } else { free })),
            queued_jobs: Some(noisy(if self.faults.reports_idle { 0.0 } else { waiting })),
            active_jobs: Some(noisy(if self.faults.reports_idle { 0.0 } else { in_hand })),
            free_memory: None,
        };
        let delay = delay + self.faults.report_delay;
        if period == 0 && delay == 0 {
            return present;
        }
        if self.reports.back().is_none_or(|last| now >= last.at + period) {
            self.reports.push_back(TimedReport { at: now, report: present });
        }
        while self.reports.len() > 1 && self.reports[1].at + delay <= now {
            self.reports.pop_front();
        }
        self.reports[0].report
    }
}
