//! The executor model for other clocks than the world's: a stand-in on sockets feeds it with real time.

use std::collections::HashMap;

use linestack_core::Nanos;
use linestack_dispatch::types::Report;
use rand::{Rng as _, SeedableRng as _};
use rand_distr::{Distribution as _, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::cold::{ColdTerms, RecentWork};
use crate::executor::{ConnectionId, Executor, Job};
use crate::scenario::{Fault, Scenario, millis};

/// A job's number, given out by the caller and never again.
pub type JobId = u64;

/// What becomes of a job that is offered to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It will be among those that [`ExecutorModel::advance`] returns.
    Queued,
    /// Turned away unseen.
    Overloaded,
    /// Failed at once.
    Failed,
    /// Lost without a word.
    Lost,
}

/// One executor, in real or any other time that only goes forward, in nanoseconds.
pub struct ExecutorModel {
    executor: Executor,
    scenario: Scenario,
    rng: Pcg64Mcg,
    products: HashMap<String, usize>,
    /// Work that it was sent while it was cold.
    recent: RecentWork,
}

impl ExecutorModel {
    /// Executor `index` of the scenario, counted over all kinds.
    #[must_use]
    pub fn new(s: &Scenario, index: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(s.seed ^ (index as u64) << 32);
        let (mut spec, mut left) = (0, index);
        while spec + 1 < s.executors.len() && left >= s.executors[spec].count as usize {
            left -= s.executors[spec].count as usize;
            spec += 1;
        }
        let e = &s.executors[spec];
        let speed = e.speed * (1.0 + e.speed_spread * rng.random_range(-1.0..=1.0));
        let zone = (index % usize::from(s.zones)) as u16;
        let group = (index / e.group as usize) as u16;
        let products = s.products.iter().enumerate().map(|(i, p)| (p.name.clone(), i)).collect();
        Self {
            executor: Executor::new(format!("e{index}"), spec, e, zone, group, speed, 0),
            scenario: s.clone(),
            rng,
            products,
            recent: RecentWork::default(),
        }
    }

    /// Its process began at this time: it is cold.
    pub fn mark_started(&mut self, now: Nanos) {
        self.executor.started = now.max(1);
    }

    /// A job of a product is on its way to it. True if that is more than it bears, cold as it is.
    pub fn record_cold_job(&mut self, now: Nanos, product: &str) -> bool {
        if !self.executor.is_cold(now) {
            return false;
        }
        let place = self.products.get(product).copied().unwrap_or(0);
        let (rules, work) = (&self.scenario.rules, self.scenario.products[place].work_ms / 1e3);
        let terms = ColdTerms { multiple: rules.overload_factor, window: millis(rules.overload_window_ms) };
        self.recent.add(now, work, terms.window);
        self.recent.exceeds(terms.bearable(self.executor.capacity(now)))
    }

    /// Its name in discovery.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.executor.name
    }

    /// The kind that discovery lists it as.
    #[must_use]
    pub fn kind(&self) -> &str {
        &self.scenario.executors[self.executor.spec].kind
    }

    /// Its zone.
    #[must_use]
    pub fn zone(&self) -> u16 {
        self.executor.zone
    }

    /// The group of executors that share the memory of idempotency keys.
    #[must_use]
    pub fn group(&self) -> u16 {
        self.executor.group
    }

    /// Offers a job of a product; one that is not known counts as the first.
    pub fn offer(&mut self, now: Nanos, ticket: JobId, product: &str) -> Offer {
        let place = self.products.get(product).copied().unwrap_or(0);
        let p = &self.scenario.products[place];
        let faults = &self.executor.faults;
        if !faults.hangs {
            if self.executor.draining || self.rng.random::<f64>() < faults.refusal_rate {
                return Offer::Overloaded;
            }
            if self.rng.random::<f64>() < faults.error_rate || (faults.product_fails && place == 0) {
                return Offer::Failed;
            }
            if self.rng.random::<f64>() < faults.loss_rate {
                return Offer::Lost;
            }
        }
        // Those that wait here may only not have been looked at yet.
        let ahead: f64 = self.executor.waiting.iter().map(|j| j.slots).sum();
        let full = self.executor.in_use + ahead + p.slots > self.executor.slots;
        if p.slots > self.executor.slots || (full && self.queued() >= self.executor.queue) {
            return Offer::Overloaded;
        }
        let mean = p.work_ms / 1e3;
        let left = if p.cv > 0.0 {
            let variance = (1.0 + p.cv * p.cv).ln();
            let spread = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt());
            spread.map_or(mean, |d| d.sample(&mut self.rng))
        } else {
            mean
        };
        self.executor.advance(now);
        let connection = ConnectionId { node: 0, incarnation: 0, link: ticket };
        self.executor.waiting.push_back(Job { connection, attempt: 0, left, slots: p.slots, started: 0 });
        Offer::Queued
    }

    /// How many wait beyond the slots.
    fn queued(&self) -> usize {
        let mut free = self.executor.slots - self.executor.in_use;
        let waits = |j: &&Job| {
            free -= j.slots;
            free < 0.0
        };
        self.executor.waiting.iter().filter(waits).count()
    }

    /// Its client has gone away. Whether it had not begun.
    pub fn cancel(&mut self, now: Nanos, ticket: JobId) -> bool {
        self.executor.advance(now);
        let waited = self.executor.waiting.len();
        self.executor.waiting.retain(|j| j.connection.link != ticket);
        if self.scenario.executors[self.executor.spec].cancels {
            self.executor.running.retain(|j| j.connection.link != ticket);
            self.executor.count();
        }
        self.executor.waiting.len() < waited
    }

    /// What is done by now, and when to look again.
    pub fn advance(&mut self, now: Nanos) -> (Vec<JobId>, Option<Nanos>) {
        self.executor.advance(now);
        let done = if self.executor.is_stalled() { Vec::new() } else { self.executor.done() };
        self.executor.start(now);
        (done.into_iter().map(|j| j.connection.link).collect(), self.executor.next(now))
    }

    /// The load report of an answer that is sent now, if executors report at all.
    pub fn report(&mut self, now: Nanos) -> Option<Report> {
        let r = &self.scenario.reports;
        let (period, delay) = (millis(r.period_ms), millis(r.delay_ms));
        r.enabled.then(|| self.executor.report(now, period, delay, r.noise, &mut self.rng))
    }

    /// Whether it answers anything, probes too.
    #[must_use]
    pub fn is_responsive(&self) -> bool {
        !self.executor.is_stalled()
    }

    /// A trouble begins or ends. False for one that is not an executor's own.
    pub fn set_fault(&mut self, now: Nanos, kind: Fault, size: f64, begins: bool) -> bool {
        self.executor.advance(now);
        let part = if begins { size } else { 0.0 };
        let faults = &mut self.executor.faults;
        match kind {
            Fault::Hang => faults.hangs = begins,
            Fault::Pauses => faults.paused = begins,
            Fault::Slow => faults.slowed_to = begins.then_some(size.max(0.01)),
            Fault::Neighbour => (faults.neighbour_share, faults.neighbour_active) = (part, begins),
            Fault::FastErrors => faults.error_rate = part,
            Fault::ProductFails => faults.product_fails = begins,
            Fault::Lose => faults.loss_rate = part,
            Fault::Refuse => faults.refusal_rate = part,
            Fault::Lie => faults.reports_idle = begins,
            _ => return false,
        }
        true
    }
}
