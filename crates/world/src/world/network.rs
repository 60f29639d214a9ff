//! The network: connections between nodes and executors, and what passes on them in order.

use linestack_core::{Broken, Input, Nanos};
use rand::Rng as _;

use super::World;
use super::event::Happening;
use crate::executor::{Job, Line};
use crate::scenario::millis;

pub(super) struct Connection {
    pub(super) executor: usize,
    /// Which life of the executor it was made in; none until it is up there.
    pub(super) life: Option<u32>,
    /// What the node has sent on it and not heard the end of.
    pub(super) busy: Option<Option<usize>>,
    /// The executor has taken what is on it, and has said so.
    pub(super) answered: bool,
    /// It is up at the node, and the node has not closed it.
    pub(super) up: bool,
    pub(super) closed: bool,
    pub(super) to_node: Nanos,
    pub(super) to_executor: Nanos,
    pub(super) idle_since: Nanos,
}

impl World<'_> {
    pub(super) fn way(&mut self, line: Line, executor: usize) -> Nanos {
        let same = self.nodes[line.node].zone == self.executors[executor].zone;
        let ms = if same { self.s.network.same_ms } else { self.s.network.cross_ms };
        millis(ms * (1.0 + self.s.network.jitter * self.rng.random::<f64>())).max(1)
    }

    /// In order on each connection.
    pub(super) fn pass_to_executor(&mut self, line: Line, what: Happening) {
        let Some(executor) = self.connections.get(&line).map(|c| c.executor) else { return };
        let at = self.now + self.way(line, executor);
        let Some(c) = self.connections.get_mut(&line) else { return };
        c.to_executor = at.max(c.to_executor + 1);
        let at = c.to_executor;
        self.at(at, what);
    }

    pub(super) fn pass_to_node(&mut self, line: Line, what: Happening) {
        let Some(executor) = self.connections.get(&line).map(|c| c.executor) else { return };
        let e = &self.executors[executor];
        if e.ills.mute || e.ills.vanished {
            return;
        }
        let at = self.now + self.way(line, executor);
        let Some(c) = self.connections.get_mut(&line) else { return };
        c.to_node = at.max(c.to_node + 1);
        let at = c.to_node;
        self.at(at, what);
    }

    pub(super) fn syn(&mut self, line: Line) {
        let Some(c) = self.connections.get(&line) else { return };
        let executor = c.executor;
        let e = &mut self.executors[executor];
        if e.ills.deaf || e.ills.vanished {
            return;
        }
        let spec = &self.s.executors[e.spec];
        if !e.alive || e.connections >= spec.connections as usize {
            return self.pass_to_node(line, Happening::Down { line, broken: None });
        }
        e.connections += 1;
        let life = e.life;
        e.owe(self.now, spec.handshake_ms / 1e3);
        if let Some(c) = self.connections.get_mut(&line) {
            c.life = Some(life);
        }
        self.turn(executor);
        self.pass_to_node(line, Happening::Up { line });
    }

    /// A connection is down at the node.
    pub(super) fn down(&mut self, line: Line, broken: Option<Broken>) {
        let Some(c) = self.connections.remove(&line) else { return };
        if c.closed {
            return;
        }
        // What was out on it had been written: the last byte leaves a node when it is sent.
        let out = c.busy.is_some();
        let answered = out && c.answered;
        let broken =
            broken.unwrap_or(Broken { begun: out, written: out, answered, here: false, spoilt: false });
        if let (Some(Some(attempt)), false) = (c.busy, broken.written) {
            self.judge.never_ran(attempt, line);
        }
        self.feed(line.node, line.life, Input::LinkDown { link: line.link, broken });
    }

    /// The executor hears that the node has closed it.
    pub(super) fn fin(&mut self, line: Line) {
        let Some(c) = self.connections.remove(&line) else { return };
        self.hang_up(line, &c);
    }

    /// What an executor held for a connection that is gone.
    pub(super) fn hang_up(&mut self, line: Line, c: &Connection) {
        let now = self.now;
        let e = &mut self.executors[c.executor];
        if c.life != Some(e.life) || e.ills.deaf || e.ills.vanished {
            return;
        }
        e.advance(now);
        e.connections = e.connections.saturating_sub(1);
        let mut dropped: Vec<Job> = e.waiting.iter().filter(|j| j.line == line).cloned().collect();
        e.waiting.retain(|j| j.line != line);
        if self.s.executors[e.spec].cancels {
            dropped.extend(e.running.iter().filter(|j| j.line == line).cloned());
            e.running.retain(|j| j.line != line);
            e.count();
        }
        dropped.iter().for_each(|job| self.let_go(c.executor, job));
        self.turn(c.executor);
    }

    pub(super) fn heard(&mut self, line: Line) -> bool {
        let now = self.now;
        let c = self.connections.get_mut(&line).filter(|c| !c.closed && c.busy.is_some());
        c.map(|c| (c.busy, c.idle_since) = (None, now)).is_some()
    }
}
