//! Executions: jobs are sent to executors, wait, run and are answered.

use bytes::Bytes;
use linestack_core::{Broken, Input, Nanos, Outcome as Ended, Shipment};
use linestack_dispatch::types::{Health, Report};
use rand::Rng as _;

use super::event::Happening;
use super::{MS, World};
use crate::executor::{Job, Line};
use crate::scenario::{Repeats, millis, seconds};

/// A group remembers a mark for its span after it last had to do with it, and while it holds a copy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mark {
    pub(super) ran: bool,
    pub(super) held: u32,
    pub(super) until: Nanos,
}

impl Mark {
    pub(super) fn known(&self, now: Nanos) -> bool {
        self.ran && (self.held > 0 || self.until > now)
    }
}

impl World<'_> {
    pub(super) fn send(&mut self, line: Line, shipment: &Shipment) {
        let id = std::str::from_utf8(&shipment.id).ok().and_then(|id| id.parse::<usize>().ok());
        let Some(attempt) = id.filter(|a| *a < self.attempts.len()) else { return };
        let Some(c) = self.connections.get_mut(&line) else { return };
        (c.busy, c.answered) = (Some(Some(attempt)), false);
        let executor = c.executor;
        let (group, zone) = (self.executors[executor].group, self.executors[executor].zone);
        self.judge.sent(attempt, line, executor, group, self.now);
        self.out.executions += 1;
        self.out.crossings += u64::from(zone != self.nodes[line.node].zone);
        if self.executors[executor].cold(self.now) && self.executors[executor].alive {
            let first = &self.firsts[self.attempts[attempt].first];
            // By what a job of the product takes on average: nobody is told that this one is an outlier.
            let work = self.s.products[first.product].work_ms / 1e3;
            let capacity = self.executors[executor].capacity(self.now);
            if self.judge.cold(executor, work, capacity, self.now) {
                self.executors[executor].fallen = true;
                self.executor_ends(executor, true);
                self.announce(executor, Health::Gone, true);
            }
        }
        if self.resets > 0.0 && self.rng.random::<f64>() < self.resets {
            let how = self.rng.random_range(0..3);
            let broken =
                Broken { begun: true, written: how > 0, answered: false, here: false, spoilt: false };
            if how == 2 {
                self.pass_to_executor(line, Happening::Request { line, attempt });
            }
            let down = Happening::Down { line, broken: Some(broken) };
            return self.after(3 * MS, down);
        }
        self.pass_to_executor(line, Happening::Request { line, attempt });
    }

    pub(super) fn request(&mut self, line: Line, attempt: usize) {
        let now = self.now;
        let Some(c) = self.connections.get(&line) else { return };
        let (executor, life, idle_since) = (c.executor, c.life, c.idle_since);
        let e = &self.executors[executor];
        // The reset is under way, or nobody is there to send one.
        if life != Some(e.life) || e.ills.deaf || e.ills.vanished {
            return;
        }
        if now > idle_since + seconds(self.s.executors[e.spec].idle_s) {
            return self.pass_to_node(line, Happening::Down { line, broken: None });
        }
        let (ills, draining, spec) = (e.ills.clone(), e.draining, e.spec);
        let first = &self.firsts[self.attempts[attempt].first];
        let (product, work) = (first.product, first.work);
        let p = &self.s.products[product];
        if ills.hung {
            // Taken, and nothing comes of it while it lasts.
            return self.enqueue(executor, line, attempt, work, p.slots);
        }
        let fails = ills.fails.max(self.s.executors[spec].error_rate);
        if draining || (ills.refuses > 0.0 && self.rng.random::<f64>() < ills.refuses) {
            return self.reply_later(executor, line, attempt, Ended::Full);
        }
        if (fails > 0.0 && self.rng.random::<f64>() < fails) || (ills.product_fails && product == 0) {
            return self.reply_later(executor, line, attempt, Ended::Error);
        }
        if ills.loses > 0.0 && self.rng.random::<f64>() < ills.loses {
            return;
        }
        let mark = (self.executors[executor].group, self.attempts[attempt].first);
        if p.repeats == Repeats::Stamped && self.marks.get(&mark).is_some_and(|m| m.known(now)) {
            // Seen before: not carried out again.
            return self.reply_later(executor, line, attempt, Ended::Satisfied);
        }
        let e = &self.executors[executor];
        let full = e.in_use + p.slots > e.slots || !e.waiting.is_empty();
        if p.slots > e.slots || (full && e.waiting.len() >= e.queue) {
            return self.reply_later(executor, line, attempt, Ended::Full);
        }
        self.enqueue(executor, line, attempt, work, p.slots);
    }

    pub(super) fn enqueue(&mut self, executor: usize, line: Line, attempt: usize, left: f64, slots: f64) {
        if let Some(c) = self.connections.get_mut(&line) {
            c.answered = true;
        }
        let mark = (self.executors[executor].group, self.attempts[attempt].first);
        self.marks.entry(mark).or_default().held += 1;
        let e = &mut self.executors[executor];
        e.advance(self.now);
        e.waiting.push_back(Job { line, attempt, left, slots, started: 0 });
        self.turn(executor);
    }

    /// Lets an executor go on: what is done is answered, what fits is started, and it is woken when more is.
    pub(super) fn turn(&mut self, executor: usize) {
        let now = self.now;
        let e = &mut self.executors[executor];
        e.advance(now);
        let done = if e.halted() { Vec::new() } else { e.done() };
        let before = e.start(now);
        let began: Vec<(Line, usize)> =
            e.running.iter().skip(before.min(e.running.len())).map(|j| (j.line, j.attempt)).collect();
        let life = e.life;
        for (line, attempt) in began {
            self.began(executor, life, line, attempt);
        }
        for job in done {
            self.let_go(executor, &job);
            self.reply_later(executor, job.line, job.attempt, Ended::Satisfied);
        }
        let e = &mut self.executors[executor];
        e.wake += 1;
        let wake = e.wake;
        if let Some(at) = e.next(now) {
            self.at(at, Happening::Wake { executor, wake });
        }
        if !self.executors[executor].cold(now) {
            self.judge.warm(executor);
        }
        self.reflect(executor);
    }

    /// An executor holds a job no longer.
    pub(super) fn let_go(&mut self, executor: usize, job: &Job) {
        let first = self.attempts[job.attempt].first;
        let memory = seconds(self.s.products[self.firsts[first].product].memory_s);
        let until = self.now + memory;
        if let Some(mark) = self.marks.get_mut(&(self.executors[executor].group, first)) {
            mark.held = mark.held.saturating_sub(1);
            mark.until = mark.until.max(until);
        }
    }

    /// All that it holds is gone.
    pub(super) fn clear(&mut self, executor: usize) {
        let e = &mut self.executors[executor];
        let held: Vec<Job> = e.running.drain(..).chain(e.waiting.drain(..)).collect();
        e.clear();
        held.iter().for_each(|job| self.let_go(executor, job));
    }

    pub(super) fn began(&mut self, executor: usize, life: u32, line: Line, attempt: usize) {
        let first = self.attempts[attempt].first;
        let p = &self.s.products[self.firsts[first].product];
        if p.repeats == Repeats::Stamped {
            let mark = (self.executors[executor].group, first);
            if self.marks.get(&mark).is_some_and(|m| m.known(self.now)) {
                // Its twin began while it waited.
                let e = &mut self.executors[executor];
                if let Some(job) = e.running.iter_mut().find(|j| j.line == line) {
                    job.left = 0.0;
                }
                return;
            }
            let mark = self.marks.entry(mark).or_default();
            (mark.ran, mark.until) = (true, self.now + seconds(p.memory_s));
        }
        self.judge.ran(attempt, self.now);
        if p.repeats == Repeats::OneShot {
            let first = &mut self.firsts[first];
            first.began += 1;
            self.out.ran_again += u64::from(first.began == 2);
        }
        if self.s.tells_start {
            self.pass_to_node(line, Happening::Note { line, attempt });
        }
        if self.s.progress_s > 0.0 {
            let next = Happening::Progress { executor, life, line, attempt };
            self.after(seconds(self.s.progress_s), next);
        }
    }

    pub(super) fn reply_later(&mut self, executor: usize, line: Line, attempt: usize, ended: Ended) {
        let report = self.report(executor);
        let garbage = self.executors[executor].ills.garbage;
        if garbage > 0.0 && self.rng.random::<f64>() < garbage {
            let broken = Broken { begun: true, written: true, answered: true, here: false, spoilt: false };
            return self.pass_to_node(line, Happening::Down { line, broken: Some(broken) });
        }
        let now = self.now;
        if let Some(c) = self.connections.get_mut(&line) {
            c.idle_since = now;
        }
        self.pass_to_node(line, Happening::Reply { line, attempt, ended, report });
    }

    pub(super) fn report(&mut self, executor: usize) -> Option<Report> {
        let r = &self.s.reports;
        let (period, delay) = (millis(r.period_ms), millis(r.delay_ms));
        let e = &mut self.executors[executor];
        r.told.then(|| e.report(self.now, period, delay, r.noise, &mut self.rng))
    }

    pub(super) fn reply(&mut self, line: Line, attempt: usize, ended: Ended, report: Option<Report>) {
        if !self.heard(line) {
            return;
        }
        match ended {
            Ended::Satisfied => self.judge.made(attempt),
            Ended::Full => self.judge.never_ran(attempt, line),
            _ => {}
        }
        let (link, result) = (line.link, Bytes::from_static(b"done"));
        self.feed(line.node, line.life, Input::Ended { link, outcome: ended, result, report });
        self.feed(line.node, line.life, Input::Freed { link, named: true });
    }

    pub(super) fn probe(&mut self, line: Line) {
        let Some(c) = self.connections.get(&line) else { return };
        let (executor, life) = (c.executor, c.life);
        let e = &mut self.executors[executor];
        if life != Some(e.life) || e.ills.deaf || e.halted() {
            return;
        }
        let cost = self.s.executors[e.spec].probe_ms / 1e3;
        e.owe(self.now, cost);
        self.turn(executor);
        let report = self.report(executor);
        self.pass_to_node(line, Happening::Probed { line, answered: Some(true), report });
    }
}
