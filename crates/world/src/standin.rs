//! The executor model for other clocks than the world's: a stand-in on sockets feeds it with real time.

use std::collections::{HashMap, VecDeque};

use linestack_core::Nanos;
use linestack_dispatch::types::Report;
use rand::{Rng as _, SeedableRng as _};
use rand_distr::{Distribution as _, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::executor::{ConnectionId, Executor, Job};
use crate::judge::bears;
use crate::scenario::{Fault, Scenario, millis};

/// A job's number, given out by the caller and never again.
pub type Ticket = u64;

/// What becomes of a job that is offered to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It will be among those that [`StandIn::turn`] returns.
    Taken,
    /// Turned away unseen.
    Full,
    /// Failed at once.
    Failed,
    /// Lost without a word.
    Lost,
}

/// One executor, in real or any other time that only goes forward, in nanoseconds.
pub struct StandIn {
    e: Executor,
    s: Scenario,
    rng: Pcg64Mcg,
    products: HashMap<String, usize>,
    /// Work that it was sent while it was cold.
    pushes: VecDeque<(Nanos, f64)>,
}

impl StandIn {
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
            e: Executor::new(format!("e{index}"), spec, e, zone, group, speed, 0),
            s: s.clone(),
            rng,
            products,
            pushes: VecDeque::new(),
        }
    }

    /// Its process began at this time: it is cold.
    pub fn begun(&mut self, now: Nanos) {
        self.e.started = now.max(1);
    }

    /// A job of a product is on its way to it. True if that is more than it bears, cold as it is.
    pub fn pushed_over(&mut self, now: Nanos, product: &str) -> bool {
        if !self.e.is_cold(now) {
            return false;
        }
        let place = self.products.get(product).copied().unwrap_or(0);
        let window = millis(self.s.rules.fall_window_ms);
        self.pushes.push_back((now, self.s.products[place].work_ms / 1e3));
        while self.pushes.front().is_some_and(|(at, _)| at + window < now) {
            self.pushes.pop_front();
        }
        let sum: f64 = self.pushes.iter().map(|(_, work)| work).sum();
        let bears = bears(self.s.rules.fall_multiple, self.e.capacity(now), window);
        sum > bears && self.pushes.len() > 1
    }

    /// Its name in discovery.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.e.name
    }

    /// The kind that discovery lists it as.
    #[must_use]
    pub fn kind(&self) -> &str {
        &self.s.executors[self.e.spec].kind
    }

    /// Its zone.
    #[must_use]
    pub fn zone(&self) -> u16 {
        self.e.zone
    }

    /// The group of executors that share the memory of idempotency keys.
    #[must_use]
    pub fn group(&self) -> u16 {
        self.e.group
    }

    /// Offers a job of a product; one that is not known counts as the first.
    pub fn offer(&mut self, now: Nanos, ticket: Ticket, product: &str) -> Offer {
        let place = self.products.get(product).copied().unwrap_or(0);
        let p = &self.s.products[place];
        let faults = &self.e.faults;
        if !faults.hangs {
            if self.e.draining || self.rng.random::<f64>() < faults.refusal_rate {
                return Offer::Full;
            }
            if self.rng.random::<f64>() < faults.error_rate || (faults.product_fails && place == 0) {
                return Offer::Failed;
            }
            if self.rng.random::<f64>() < faults.loss_rate {
                return Offer::Lost;
            }
        }
        // Those that wait here may only not have been looked at yet.
        let ahead: f64 = self.e.waiting.iter().map(|j| j.slots).sum();
        let full = self.e.in_use + ahead + p.slots > self.e.slots;
        if p.slots > self.e.slots || (full && self.queued() >= self.e.queue) {
            return Offer::Full;
        }
        let mean = p.work_ms / 1e3;
        let left = if p.cv > 0.0 {
            let variance = (1.0 + p.cv * p.cv).ln();
            let spread = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt());
            spread.map_or(mean, |d| d.sample(&mut self.rng))
        } else {
            mean
        };
        self.e.advance(now);
        let connection = ConnectionId { node: 0, incarnation: 0, link: ticket };
        self.e.waiting.push_back(Job { connection, attempt: 0, left, slots: p.slots, started: 0 });
        Offer::Taken
    }

    /// How many wait beyond the slots.
    fn queued(&self) -> usize {
        let mut free = self.e.slots - self.e.in_use;
        let waits = |j: &&Job| {
            free -= j.slots;
            free < 0.0
        };
        self.e.waiting.iter().filter(waits).count()
    }

    /// Its client has gone away. Whether it had not begun.
    pub fn withdraw(&mut self, now: Nanos, ticket: Ticket) -> bool {
        self.e.advance(now);
        let waited = self.e.waiting.len();
        self.e.waiting.retain(|j| j.connection.link != ticket);
        if self.s.executors[self.e.spec].cancels {
            self.e.running.retain(|j| j.connection.link != ticket);
            self.e.count();
        }
        self.e.waiting.len() < waited
    }

    /// What is done by now, and when to look again.
    pub fn turn(&mut self, now: Nanos) -> (Vec<Ticket>, Option<Nanos>) {
        self.e.advance(now);
        let done = if self.e.is_stalled() { Vec::new() } else { self.e.done() };
        self.e.start(now);
        (done.into_iter().map(|j| j.connection.link).collect(), self.e.next(now))
    }

    /// The load report of an answer that is sent now, if executors report at all.
    pub fn report(&mut self, now: Nanos) -> Option<Report> {
        let r = &self.s.reports;
        let (period, delay) = (millis(r.period_ms), millis(r.delay_ms));
        r.told.then(|| self.e.report(now, period, delay, r.noise, &mut self.rng))
    }

    /// Whether it answers anything, probes too.
    #[must_use]
    pub fn answers(&self) -> bool {
        !self.e.is_stalled()
    }

    /// A trouble begins or ends. False for one that is not an executor's own.
    pub fn ail(&mut self, now: Nanos, kind: Fault, size: f64, begins: bool) -> bool {
        self.e.advance(now);
        let part = if begins { size } else { 0.0 };
        let faults = &mut self.e.faults;
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
