//! Executions: jobs are sent to executors, wait, run and are answered.

use bytes::Bytes;
use linestack_core::{Broken, Input, Nanos, Outcome as ExecutionOutcome, Shipment};
use linestack_dispatch::types::{Health, Report};
use rand::Rng as _;

use super::event::Event;
use super::{MILLISECOND, World};
use crate::executor::{ConnectionId, Job};
use crate::scenario::{Repeats, millis, seconds};

/// A group remembers a key for its span after it last had to do with it, and while it holds a copy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IdempotencyRecord {
    pub(super) ran: bool,
    pub(super) held: u32,
    pub(super) until: Nanos,
}

impl IdempotencyRecord {
    pub(super) fn known(&self, now: Nanos) -> bool {
        self.ran && (self.held > 0 || self.until > now)
    }
}

impl World<'_> {
    pub(super) fn send(&mut self, connection: ConnectionId, shipment: &Shipment) {
        let id = std::str::from_utf8(&shipment.id).ok().and_then(|id| id.parse::<usize>().ok());
        let Some(attempt) = id.filter(|a| *a < self.attempts.len()) else { return };
        let Some(c) = self.connections.get_mut(&connection) else { return };
        (c.busy, c.answered) = (Some(Some(attempt)), false);
        let executor = c.executor;
        let (group, zone) = (self.executors[executor].group, self.executors[executor].zone);
        self.judge.sent(attempt, connection, executor, group, self.now);
        self.outcome.executions += 1;
        self.outcome.crossings += u64::from(zone != self.nodes[connection.node].zone);
        if self.executors[executor].is_cold(self.now) && self.executors[executor].alive {
            let request = &self.requests[self.attempts[attempt].request];
            // By what a job of the product takes on average: nobody is told that this one is an outlier.
            let work = self.scenario.products[request.product].work_ms / 1e3;
            let capacity = self.executors[executor].capacity(self.now);
            if self.judge.cold(executor, work, capacity, self.now) {
                self.executors[executor].collapsed = true;
                self.executor_ends(executor, true);
                self.announce(executor, Health::Gone, true);
            }
        }
        if self.reset_rate > 0.0 && self.rng.random::<f64>() < self.reset_rate {
            let how = self.rng.random_range(0..3);
            let broken =
                Broken { begun: true, written: how > 0, answered: false, here: false, spoilt: false };
            if how == 2 {
                self.pass_to_executor(connection, Event::JobAtExecutor { connection, attempt });
            }
            let down = Event::DisconnectedAtNode { connection, broken: Some(broken) };
            return self.schedule_after(3 * MILLISECOND, down);
        }
        self.pass_to_executor(connection, Event::JobAtExecutor { connection, attempt });
    }

    pub(super) fn request(&mut self, connection: ConnectionId, attempt: usize) {
        let now = self.now;
        let Some(c) = self.connections.get(&connection) else { return };
        let (executor, incarnation, idle_since) = (c.executor, c.incarnation, c.idle_since);
        let e = &self.executors[executor];
        // The reset is under way, or nobody is there to send one.
        if incarnation != Some(e.incarnation) || e.faults.inbound_cut || e.faults.unreachable {
            return;
        }
        if now > idle_since + seconds(self.scenario.executors[e.spec].idle_s) {
            return self.pass_to_node(connection, Event::DisconnectedAtNode { connection, broken: None });
        }
        let (faults, draining, spec) = (e.faults.clone(), e.draining, e.spec);
        let request = &self.requests[self.attempts[attempt].request];
        let (product, work) = (request.product, request.work);
        let p = &self.scenario.products[product];
        if faults.hangs {
            // Taken, and nothing comes of it while it lasts.
            return self.enqueue(executor, connection, attempt, work, p.slots);
        }
        let fails = faults.error_rate.max(self.scenario.executors[spec].error_rate);
        if draining || (faults.refusal_rate > 0.0 && self.rng.random::<f64>() < faults.refusal_rate) {
            return self.reply_later(executor, connection, attempt, ExecutionOutcome::Full);
        }
        if (fails > 0.0 && self.rng.random::<f64>() < fails) || (faults.product_fails && product == 0) {
            return self.reply_later(executor, connection, attempt, ExecutionOutcome::Error);
        }
        if faults.loss_rate > 0.0 && self.rng.random::<f64>() < faults.loss_rate {
            return;
        }
        let key = (self.executors[executor].group, self.attempts[attempt].request);
        if p.repeats == Repeats::Stamped && self.idempotency.get(&key).is_some_and(|m| m.known(now)) {
            // Seen before: not carried out again.
            return self.reply_later(executor, connection, attempt, ExecutionOutcome::Satisfied);
        }
        let e = &self.executors[executor];
        let full = e.in_use + p.slots > e.slots || !e.waiting.is_empty();
        if p.slots > e.slots || (full && e.waiting.len() >= e.queue) {
            return self.reply_later(executor, connection, attempt, ExecutionOutcome::Full);
        }
        self.enqueue(executor, connection, attempt, work, p.slots);
    }

    pub(super) fn enqueue(
        &mut self,
        executor: usize,
        connection: ConnectionId,
        attempt: usize,
        left: f64,
        slots: f64,
    ) {
        if let Some(c) = self.connections.get_mut(&connection) {
            c.answered = true;
        }
        let key = (self.executors[executor].group, self.attempts[attempt].request);
        self.idempotency.entry(key).or_default().held += 1;
        let e = &mut self.executors[executor];
        e.advance(self.now);
        e.waiting.push_back(Job { connection, attempt, left, slots, started: 0 });
        self.turn(executor);
    }

    /// Lets an executor go on: what is done is answered, what fits is started, and it is woken when more is.
    pub(super) fn turn(&mut self, executor: usize) {
        let now = self.now;
        let e = &mut self.executors[executor];
        e.advance(now);
        let done = if e.is_stalled() { Vec::new() } else { e.done() };
        let before = e.start(now);
        let began: Vec<(ConnectionId, usize)> =
            e.running.iter().skip(before.min(e.running.len())).map(|j| (j.connection, j.attempt)).collect();
        let incarnation = e.incarnation;
        for (connection, attempt) in began {
            self.began(executor, incarnation, connection, attempt);
        }
        for job in done {
            self.let_go(executor, &job);
            self.reply_later(executor, job.connection, job.attempt, ExecutionOutcome::Satisfied);
        }
        let e = &mut self.executors[executor];
        e.wake += 1;
        let wake = e.wake;
        if let Some(at) = e.next(now) {
            self.schedule_at(at, Event::ExecutorWakes { executor, wake });
        }
        if !self.executors[executor].is_cold(now) {
            self.judge.warm(executor);
        }
        self.reflect(executor);
    }

    /// An executor holds a job no longer.
    pub(super) fn let_go(&mut self, executor: usize, job: &Job) {
        let request = self.attempts[job.attempt].request;
        let memory = seconds(self.scenario.products[self.requests[request].product].memory_s);
        let until = self.now + memory;
        if let Some(key) = self.idempotency.get_mut(&(self.executors[executor].group, request)) {
            key.held = key.held.saturating_sub(1);
            key.until = key.until.max(until);
        }
    }

    /// All that it holds is gone.
    pub(super) fn clear(&mut self, executor: usize) {
        let e = &mut self.executors[executor];
        let held: Vec<Job> = e.running.drain(..).chain(e.waiting.drain(..)).collect();
        e.clear();
        held.iter().for_each(|job| self.let_go(executor, job));
    }

    pub(super) fn began(
        &mut self,
        executor: usize,
        incarnation: u32,
        connection: ConnectionId,
        attempt: usize,
    ) {
        let request = self.attempts[attempt].request;
        let p = &self.scenario.products[self.requests[request].product];
        if p.repeats == Repeats::Stamped {
            let key = (self.executors[executor].group, request);
            if self.idempotency.get(&key).is_some_and(|m| m.known(self.now)) {
                // Its twin began while it waited.
                let e = &mut self.executors[executor];
                if let Some(job) = e.running.iter_mut().find(|j| j.connection == connection) {
                    job.left = 0.0;
                }
                return;
            }
            let key = self.idempotency.entry(key).or_default();
            (key.ran, key.until) = (true, self.now + seconds(p.memory_s));
        }
        self.judge.ran(attempt, self.now);
        if p.repeats == Repeats::OneShot {
            let request = &mut self.requests[request];
            request.began += 1;
            self.outcome.ran_again += u64::from(request.began == 2);
        }
        if self.scenario.tells_start {
            self.pass_to_node(connection, Event::NoticeAtNode { connection, attempt });
        }
        if self.scenario.progress_s > 0.0 {
            let next = Event::ProgressDue { executor, incarnation, connection, attempt };
            self.schedule_after(seconds(self.scenario.progress_s), next);
        }
    }

    pub(super) fn reply_later(
        &mut self,
        executor: usize,
        connection: ConnectionId,
        attempt: usize,
        outcome: ExecutionOutcome,
    ) {
        let report = self.report(executor);
        let garbage = self.executors[executor].faults.garbage_rate;
        if garbage > 0.0 && self.rng.random::<f64>() < garbage {
            let broken = Broken { begun: true, written: true, answered: true, here: false, spoilt: false };
            return self
                .pass_to_node(connection, Event::DisconnectedAtNode { connection, broken: Some(broken) });
        }
        let now = self.now;
        if let Some(c) = self.connections.get_mut(&connection) {
            c.idle_since = now;
        }
        self.pass_to_node(connection, Event::ReplyAtNode { connection, attempt, outcome, report });
    }

    pub(super) fn report(&mut self, executor: usize) -> Option<Report> {
        let r = &self.scenario.reports;
        let (period, delay) = (millis(r.period_ms), millis(r.delay_ms));
        let e = &mut self.executors[executor];
        r.told.then(|| e.report(self.now, period, delay, r.noise, &mut self.rng))
    }

    pub(super) fn reply(
        &mut self,
        connection: ConnectionId,
        attempt: usize,
        outcome: ExecutionOutcome,
        report: Option<Report>,
    ) {
        if !self.heard(connection) {
            return;
        }
        match outcome {
            ExecutionOutcome::Satisfied => self.judge.made(attempt),
            ExecutionOutcome::Full => self.judge.never_ran(attempt, connection),
            _ => {}
        }
        let (link, result) = (connection.link, Bytes::from_static(b"done"));
        self.feed(connection.node, connection.incarnation, Input::Ended { link, outcome, result, report });
        self.feed(connection.node, connection.incarnation, Input::Freed { link, named: true });
    }

    pub(super) fn probe(&mut self, connection: ConnectionId) {
        let Some(c) = self.connections.get(&connection) else { return };
        let (executor, incarnation) = (c.executor, c.incarnation);
        let e = &mut self.executors[executor];
        if incarnation != Some(e.incarnation) || e.faults.inbound_cut || e.is_stalled() {
            return;
        }
        let cost = self.scenario.executors[e.spec].probe_ms / 1e3;
        e.add_overhead(self.now, cost);
        self.turn(executor);
        let report = self.report(executor);
        self.pass_to_node(connection, Event::ProbeReplyAtNode { connection, answered: Some(true), report });
    }
}
