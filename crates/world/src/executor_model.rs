//! The executor model for use outside the simulation: a caller, such as a simulated executor on real sockets,
//! drives it with its own clock.

use std::collections::HashMap;

use linestack_core::Nanos;
use linestack_dispatch::types::Report;
use rand::{Rng as _, SeedableRng as _};
use rand_distr::{Distribution as _, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::cold::{ColdLoadLimit, RecentWork};
use crate::executor::{ConnectionId, Executor, Job, MIN_SPEED_SHARE};
use crate::scenario::{Fault, Scenario, millis_to_nanos};

/// The number of a job. The caller assigns it and never reuses it.
pub type JobId = u64;

/// What happens to a job that is offered to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The executor accepted it; [`ExecutorModel::advance`] returns it once it is done.
    Queued,
    /// The executor rejected it without executing it.
    Overloaded,
    /// It failed at once.
    Failed,
    /// It was lost without an answer.
    Lost,
}

/// One executor, driven by any clock that only moves forward. Times are in nanoseconds.
pub struct ExecutorModel {
    executor: Executor,
    scenario: Scenario,
    rng: Pcg64Mcg,
    products: HashMap<String, usize>,
    /// The work that it was recently sent while it was cold.
    recent_work: RecentWork,
}

impl ExecutorModel {
    /// Creates executor `index` of the scenario, counted over all kinds.
    #[must_use]
    pub fn new(s: &Scenario, index: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(s.seed ^ (index as u64) << 32);
        let (mut kind_index, mut index_in_kind) = (0, index);
        while kind_index + 1 < s.executors.len() && index_in_kind >= s.executors[kind_index].count as usize {
            index_in_kind -= s.executors[kind_index].count as usize;
            kind_index += 1;
        }
        let kind = &s.executors[kind_index];
        let speed = kind.speed * (1.0 + kind.speed_spread * rng.random_range(-1.0..=1.0));
        let zone = (index % usize::from(s.zones)) as u16;
        let group = (index / kind.group as usize) as u16;
        let products = s.products.iter().enumerate().map(|(i, p)| (p.name.clone(), i)).collect();
        Self {
            executor: Executor::new(format!("e{index}"), kind_index, kind, zone, group, speed, 0),
            scenario: s.clone(),
            rng,
            products,
            recent_work: RecentWork::default(),
        }
    }

    /// Sets the start time of its process, from which it is cold.
    pub fn mark_started(&mut self, now: Nanos) {
        self.executor.started = now.max(1);
    }

    /// Records a job of a product that is sent to it. Returns true if it is cold and now overloaded.
    pub fn record_cold_job(&mut self, now: Nanos, product: &str) -> bool {
        if !self.executor.is_cold(now) {
            return false;
        }
        let index = self.products.get(product).copied().unwrap_or(0);
        let (rules, work_s) = (&self.scenario.rules, self.scenario.products[index].work_ms / 1e3);
        let limit = ColdLoadLimit {
            overload_factor: rules.overload_factor,
            window: millis_to_nanos(rules.overload_window_ms),
        };
        self.recent_work.add(now, work_s, limit.window);
        self.recent_work.exceeds(limit.max_work_s(self.executor.capacity(now)))
    }

    /// Returns its name in discovery.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.executor.name
    }

    /// Returns the kind that discovery lists it as.
    #[must_use]
    pub fn kind(&self) -> &str {
        &self.scenario.executors[self.executor.kind_index].kind
    }

    /// Returns its zone.
    #[must_use]
    pub fn zone(&self) -> u16 {
        self.executor.zone
    }

    /// Returns its group. The executors of a group share their memory of idempotency keys.
    #[must_use]
    pub fn group(&self) -> u16 {
        self.executor.group
    }

    /// Offers a job of a product. An unknown product counts as the first one.
    pub fn offer(&mut self, now: Nanos, job: JobId, product: &str) -> Offer {
        let index = self.products.get(product).copied().unwrap_or(0);
        let p = &self.scenario.products[index];
        let faults = &self.executor.faults;
        if !faults.hangs {
            if self.executor.draining || self.rng.random::<f64>() < faults.refusal_rate {
                return Offer::Overloaded;
            }
            if self.rng.random::<f64>() < faults.error_rate || (faults.product_fails && index == 0) {
                return Offer::Failed;
            }
            if self.rng.random::<f64>() < faults.loss_rate {
                return Offer::Lost;
            }
        }
        // Jobs in the queue may fit into free slots: they start only at the next `advance`.
        let slots_ahead: f64 = self.executor.waiting.iter().map(|j| j.slots).sum();
        let must_wait = self.executor.used_slots + slots_ahead + p.slots > self.executor.slots;
        if p.slots > self.executor.slots || (must_wait && self.queued_count() >= self.executor.max_waiting) {
            return Offer::Overloaded;
        }
        let mean_s = p.work_ms / 1e3;
        let remaining_work_s = if p.cv > 0.0 {
            let variance = (1.0 + p.cv * p.cv).ln();
            let distribution = LogNormal::new(mean_s.ln() - variance / 2.0, variance.sqrt());
            distribution.map_or(mean_s, |d| d.sample(&mut self.rng))
        } else {
            mean_s
        };
        self.executor.advance(now);
        let connection = ConnectionId { node: 0, incarnation: 0, number: job };
        self.executor.waiting.push_back(Job {
            connection,
            attempt: 0,
            remaining_work_s,
            slots: p.slots,
            started: 0,
        });
        Offer::Queued
    }

    /// Returns the number of waiting jobs that do not fit into free slots.
    fn queued_count(&self) -> usize {
        let mut free = self.executor.slots - self.executor.used_slots;
        let waits = |j: &&Job| {
            free -= j.slots;
            free < 0.0
        };
        self.executor.waiting.iter().filter(waits).count()
    }

    /// Cancels a job whose client has gone. Returns whether the job had not started.
    pub fn cancel(&mut self, now: Nanos, job: JobId) -> bool {
        self.executor.advance(now);
        let waited = self.executor.waiting.len();
        self.executor.waiting.retain(|j| j.connection.number != job);
        if self.scenario.executors[self.executor.kind_index].cancels {
            self.executor.running.retain(|j| j.connection.number != job);
            self.executor.recount_used_slots();
        }
        self.executor.waiting.len() < waited
    }

    /// Advances to a time. Returns the jobs that are done, and when to call again.
    pub fn advance(&mut self, now: Nanos) -> (Vec<JobId>, Option<Nanos>) {
        self.executor.advance(now);
        let done = if self.executor.is_stalled() { Vec::new() } else { self.executor.take_done() };
        self.executor.start_waiting_jobs(now);
        (done.into_iter().map(|j| j.connection.number).collect(), self.executor.next_completion(now))
    }

    /// Returns the load report for an answer sent now, if executors send reports.
    pub fn report(&mut self, now: Nanos) -> Option<Report> {
        let r = &self.scenario.reports;
        let (period, delay) = (millis_to_nanos(r.period_ms), millis_to_nanos(r.delay_ms));
        r.enabled.then(|| self.executor.report(now, period, delay, r.noise, &mut self.rng))
    }

    /// Returns whether it currently answers jobs and probes.
    #[must_use]
    pub fn is_responsive(&self) -> bool {
        !self.executor.is_stalled()
    }

    /// Begins or ends a fault of the given size. Returns false for a fault that does not affect a single
    /// executor. [`Fault::Pauses`] and [`Fault::Neighbour`] last without interruption here.
    pub fn set_fault(&mut self, now: Nanos, kind: Fault, size: f64, begins: bool) -> bool {
        self.executor.advance(now);
        let active_size = if begins { size } else { 0.0 };
        let faults = &mut self.executor.faults;
        match kind {
            Fault::Hang => faults.hangs = begins,
            Fault::Pauses => faults.paused = begins,
            Fault::Slow => faults.slowed_to = begins.then_some(size.max(MIN_SPEED_SHARE)),
            Fault::Neighbour => (faults.neighbour_share, faults.neighbour_active) = (active_size, begins),
            Fault::FastErrors => faults.error_rate = active_size,
            Fault::ProductFails => faults.product_fails = begins,
            Fault::Lose => faults.loss_rate = active_size,
            Fault::Refuse => faults.refusal_rate = active_size,
            Fault::Lie => faults.reports_idle = begins,
            _ => return false,
        }
        true
    }
}
