//! Nodes: their processes, their inboxes and their clocks.

use std::collections::VecDeque;
use std::sync::Arc;

use linestack_core::{Input, Link, Nanos, Remembered};
use linestack_dispatch::types::ListKind;
use linestack_recovery::start::{Found, Start, Terms};
use linestack_recovery::{Fates, Keep};
use rand::Rng as _;

use super::event::{Ending, Happening};
use super::fleet::executor_at;
use super::{MS, SECOND, World, lock};
use crate::executor::Line;
use crate::scenario::seconds;
use crate::{Machine, Seat};

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Watch {
    Off,
    Calling,
    On,
}

pub(super) struct Slot {
    pub(super) machine: Option<Box<dyn Machine>>,
    pub(super) life: u32,
    pub(super) zone: u16,
    /// The front sends clients to it.
    pub(super) admitted: bool,
    pub(super) stopping: bool,
    pub(super) armed: Nanos,
    pub(super) busy_until: Nanos,
    pub(super) paused_until: Nanos,
    pub(super) inbox: VecDeque<Input>,
    pub(super) resuming: bool,
    pub(super) watch: Watch,
    pub(super) cpu: f64,
    /// What its disk has, and how old that is.
    pub(super) kept: Vec<Keep>,
}

impl World<'_> {
    pub(super) fn feed(&mut self, node: usize, life: u32, input: Input) {
        if self.nodes[node].life == life && self.nodes[node].machine.is_some() {
            self.nodes[node].inbox.push_back(input);
            self.work(node);
        }
    }

    /// Lets a node take what has come, one thing after the other, as it has time.
    pub(super) fn work(&mut self, node: usize) {
        loop {
            let slot = &mut self.nodes[node];
            if slot.inbox.is_empty() {
                return;
            }
            if slot.busy_until > self.now {
                if !std::mem::replace(&mut slot.resuming, true) {
                    let (at, life) = (slot.busy_until, slot.life);
                    self.at(at, Happening::Resume { node, life });
                }
                return;
            }
            let (Some(input), Some(machine)) = (slot.inbox.pop_front(), &mut slot.machine) else { return };
            slot.busy_until = self.now + slot.cpu as Nanos;
            let life = slot.life;
            let listed = matches!(input, Input::Listed { .. });
            if let Input::Submitted { client, .. } = &input {
                self.attempts[*client as usize].read = Some(self.now);
            }
            let mut effects = std::mem::take(&mut self.effects);
            machine.take(self.now, input, &mut effects);
            let due = machine.next_due();
            if listed {
                let known = self.executors.len() as u32 + 64;
                let place = |w| machine.address(w).map(executor_at);
                lock(&self.truth).places[node] = (0..known).map(place).collect();
            }
            if due < slot.armed {
                let at = due.max(self.now + 1);
                slot.armed = at;
                self.at(at, Happening::Tick { node, life, at });
            }
            for effect in effects.drain(..) {
                self.carry_out(node, life, effect);
            }
            self.effects = effects;
        }
    }

    pub(super) fn starts(&mut self, node: usize) {
        let seed = self.rng.random();
        let slot = &mut self.nodes[node];
        slot.life += 1;
        let (life, zone) = (slot.life, slot.zone);
        (slot.stopping, slot.resuming, slot.armed) = (false, false, Nanos::MAX);
        (slot.busy_until, slot.watch, slot.cpu) = (0, Watch::Off, self.s.nodes.cpu_us * 1e3);
        slot.inbox.clear();
        let settings = self.s.settings(zone, seed);
        let starts = &self.s.nodes.starts;
        let start = starts.on.then(|| {
            let terms = Terms {
                nodes: self.s.nodes.count,
                connects_per_s: starts.connects_per_s,
                lists_per_s: starts.lists_per_s,
                sessions_per_s: 0.0,
                list_within: 3 * SECOND,
                known_within: 3 * SECOND,
                share_within: 10 * SECOND,
            };
            let found = Found { proved: true, fresh: true, old: false };
            Start::new(terms, found, [self.rng.random(), self.rng.random()], self.now)
        });
        let remembered = self.s.nodes.store.then(|| {
            let mut fates = Fates::new(3600 * SECOND, usize::MAX, usize::MAX);
            let kept = &self.nodes[node].kept;
            fates.restore(kept.iter().cloned());
            let age = kept.iter().map(|k| k.at + 1).max().unwrap_or(0);
            Remembered { fates, age, now: self.now, by_stamp: true, doubtful: 0 }
        });
        let slot = &mut self.nodes[node];
        let seat = Seat {
            now: self.now,
            start,
            remembered,
            node,
            settings,
            sockets: self.s.nodes.sockets,
            memory: self.s.nodes.memory_mb << 20,
            truth: Arc::clone(&self.truth),
        };
        slot.machine = Some((self.maker)(seat));
        // The list as it was last known.
        let known = self.list();
        self.feed(node, life, Input::Listed { kind: ListKind::Cached, endpoints: known });
        self.after(10 * MS, Happening::Notice { node });
    }

    pub(super) fn stops(&mut self, node: usize) {
        if self.nodes[node].machine.is_none() || self.nodes[node].stopping {
            return;
        }
        self.nodes[node].stopping = true;
        let life = self.nodes[node].life;
        self.feed(node, life, Input::Stop);
        self.after(300 * MS, Happening::Notice { node });
        let kill = seconds(self.s.nodes.kill_after_s);
        self.after(kill, Happening::Kill { node, life });
    }

    /// A node's process ends, however that came, and is started again later.
    pub(super) fn node_ends(&mut self, node: usize) {
        let life = self.nodes[node].life;
        self.nodes[node].machine = None;
        self.judge.died((node, life));
        let (from, to) = (Line { node, life, link: 0 }, Line { node, life, link: Link::MAX });
        let lines: Vec<Line> = self.connections.range(from..=to).map(|(l, _)| *l).collect();
        for line in lines {
            if let Some(c) = self.connections.get_mut(&line) {
                c.closed = true;
            }
            self.pass_to_executor(line, Happening::Fin { line });
        }
        for attempt in 0..self.attempts.len() {
            let a = &self.attempts[attempt];
            if !a.over && !a.answered && a.at.is_some_and(|(n, l, taken)| (n, l) == (node, life) && taken > 0)
            {
                self.after(MS, Happening::Back { attempt, ending: Ending::Lost });
            }
        }
        let notice = seconds(self.s.clients.notice_s);
        self.after(notice, Happening::Notice { node });
        let back = seconds(self.s.nodes.back_after_s);
        self.after(back, Happening::Starts { node });
    }
}
