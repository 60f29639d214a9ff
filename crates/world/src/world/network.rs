//! The network: connections between nodes and executors, and event passes on them in order.

use linestack_core::{Broken, Input, Nanos};
use rand::Rng as _;

use super::World;
use super::event::Event;
use crate::executor::{ConnectionId, Job};
use crate::scenario::millis;

pub(super) struct Connection {
    pub(super) executor: usize,
    /// Which incarnation of the executor it was made in; none until it is up there.
    pub(super) incarnation: Option<u32>,
    /// What the node has sent on it and not heard the end of.
    pub(super) busy: Option<Option<usize>>,
    /// The executor has taken event is on it, and has said so.
    pub(super) answered: bool,
    /// It is up at the node, and the node has not closed it.
    pub(super) up: bool,
    pub(super) closed: bool,
    pub(super) to_node: Nanos,
    pub(super) to_executor: Nanos,
    pub(super) idle_since: Nanos,
}

impl World<'_> {
    pub(super) fn way(&mut self, connection: ConnectionId, executor: usize) -> Nanos {
        let same = self.nodes[connection.node].zone == self.executors[executor].zone;
        let ms = if same { self.scenario.network.same_ms } else { self.scenario.network.cross_ms };
        millis(ms * (1.0 + self.scenario.network.jitter * self.rng.random::<f64>())).max(1)
    }

    /// In order on each connection.
    pub(super) fn pass_to_executor(&mut self, connection: ConnectionId, event: Event) {
        let Some(executor) = self.connections.get(&connection).map(|c| c.executor) else { return };
        let at = self.now + self.way(connection, executor);
        let Some(c) = self.connections.get_mut(&connection) else { return };
        c.to_executor = at.max(c.to_executor + 1);
        let at = c.to_executor;
        self.schedule_at(at, event);
    }

    pub(super) fn pass_to_node(&mut self, connection: ConnectionId, event: Event) {
        let Some(executor) = self.connections.get(&connection).map(|c| c.executor) else { return };
        let e = &self.executors[executor];
        if e.faults.outbound_cut || e.faults.unreachable {
            return;
        }
        let at = self.now + self.way(connection, executor);
        let Some(c) = self.connections.get_mut(&connection) else { return };
        c.to_node = at.max(c.to_node + 1);
        let at = c.to_node;
        self.schedule_at(at, event);
    }

    pub(super) fn syn(&mut self, connection: ConnectionId) {
        let Some(c) = self.connections.get(&connection) else { return };
        let executor = c.executor;
        let e = &mut self.executors[executor];
        if e.faults.inbound_cut || e.faults.unreachable {
            return;
        }
        let spec = &self.scenario.executors[e.spec];
        if !e.alive || e.connections >= spec.connections as usize {
            return self.pass_to_node(connection, Event::DisconnectedAtNode { connection, broken: None });
        }
        e.connections += 1;
        let incarnation = e.incarnation;
        e.add_overhead(self.now, spec.handshake_ms / 1e3);
        if let Some(c) = self.connections.get_mut(&connection) {
            c.incarnation = Some(incarnation);
        }
        self.turn(executor);
        self.pass_to_node(connection, Event::ConnectedAtNode { connection });
    }

    /// A connection is down at the node.
    pub(super) fn down(&mut self, connection: ConnectionId, broken: Option<Broken>) {
        let Some(c) = self.connections.remove(&connection) else { return };
        if c.closed {
            return;
        }
        // What was out on it had been written: the last byte leaves a node when it is sent.
        let out = c.busy.is_some();
        let answered = out && c.answered;
        let broken =
            broken.unwrap_or(Broken { begun: out, written: out, answered, here: false, spoilt: false });
        if let (Some(Some(attempt)), false) = (c.busy, broken.written) {
            self.judge.never_ran(attempt, connection);
        }
        self.feed(connection.node, connection.incarnation, Input::LinkDown { link: connection.link, broken });
    }

    /// The executor hears that the node has closed it.
    pub(super) fn fin(&mut self, connection: ConnectionId) {
        let Some(c) = self.connections.remove(&connection) else { return };
        self.hang_up(connection, &c);
    }

    /// What an executor held for a connection that is gone.
    pub(super) fn hang_up(&mut self, connection: ConnectionId, c: &Connection) {
        let now = self.now;
        let e = &mut self.executors[c.executor];
        if c.incarnation != Some(e.incarnation) || e.faults.inbound_cut || e.faults.unreachable {
            return;
        }
        e.advance(now);
        e.connections = e.connections.saturating_sub(1);
        let mut dropped: Vec<Job> =
            e.waiting.iter().filter(|j| j.connection == connection).cloned().collect();
        e.waiting.retain(|j| j.connection != connection);
        if self.scenario.executors[e.spec].cancels {
            dropped.extend(e.running.iter().filter(|j| j.connection == connection).cloned());
            e.running.retain(|j| j.connection != connection);
            e.count();
        }
        dropped.iter().for_each(|job| self.let_go(c.executor, job));
        self.turn(c.executor);
    }

    pub(super) fn heard(&mut self, connection: ConnectionId) -> bool {
        let now = self.now;
        let c = self.connections.get_mut(&connection).filter(|c| !c.closed && c.busy.is_some());
        c.map(|c| (c.busy, c.idle_since) = (None, now)).is_some()
    }
}
