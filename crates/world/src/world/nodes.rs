//! Nodes: their processes, their inboxes and their clocks.

use std::collections::VecDeque;
use std::sync::Arc;

use linestack_core::{Input, Link, Nanos, Remembered};
use linestack_dispatch::types::ListKind;
use linestack_recovery::start::{Found, Start, Terms};
use linestack_recovery::{Fates, Keep};
use rand::Rng as _;

use super::event::{ClientOutcome, Event};
use super::fleet::executor_at;
use super::{MILLISECOND, SECOND, World, lock};
use crate::executor::ConnectionId;
use crate::scenario::seconds;
use crate::{Machine, Seat};

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscoveryWatch {
    Off,
    Calling,
    On,
}

pub(super) struct NodeState {
    pub(super) machine: Option<Box<dyn Machine>>,
    pub(super) incarnation: u32,
    pub(super) zone: u16,
    /// The front sends clients to it.
    pub(super) in_rotation: bool,
    pub(super) stopping: bool,
    pub(super) timer_at: Nanos,
    pub(super) busy_until: Nanos,
    pub(super) paused_until: Nanos,
    pub(super) inbox: VecDeque<Input>,
    pub(super) resume_scheduled: bool,
    pub(super) watch: DiscoveryWatch,
    pub(super) cpu_per_input: f64,
    /// What its disk has, and how old that is.
    pub(super) persisted: Vec<Keep>,
}

impl World<'_> {
    pub(super) fn feed(&mut self, node: usize, incarnation: u32, input: Input) {
        if self.nodes[node].incarnation == incarnation && self.nodes[node].machine.is_some() {
            self.nodes[node].inbox.push_back(input);
            self.work(node);
        }
    }

    /// Lets a node take what has come, one thing after the other, as it has time.
    pub(super) fn work(&mut self, node: usize) {
        loop {
            let state = &mut self.nodes[node];
            if state.inbox.is_empty() {
                return;
            }
            if state.busy_until > self.now {
                if !std::mem::replace(&mut state.resume_scheduled, true) {
                    let (at, incarnation) = (state.busy_until, state.incarnation);
                    self.schedule_at(at, Event::NodeResumes { node, incarnation });
                }
                return;
            }
            let (Some(input), Some(machine)) = (state.inbox.pop_front(), &mut state.machine) else { return };
            state.busy_until = self.now + state.cpu_per_input as Nanos;
            let incarnation = state.incarnation;
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
            if due < state.timer_at {
                let at = due.max(self.now + 1);
                state.timer_at = at;
                self.schedule_at(at, Event::NodeTimer { node, incarnation, at });
            }
            for effect in effects.drain(..) {
                self.carry_out(node, incarnation, effect);
            }
            self.effects = effects;
        }
    }

    pub(super) fn starts(&mut self, node: usize) {
        let seed = self.rng.random();
        let state = &mut self.nodes[node];
        state.incarnation += 1;
        let (incarnation, zone) = (state.incarnation, state.zone);
        (state.stopping, state.resume_scheduled, state.timer_at) = (false, false, Nanos::MAX);
        (state.busy_until, state.watch, state.cpu_per_input) =
            (0, DiscoveryWatch::Off, self.scenario.nodes.cpu_us * 1e3);
        state.inbox.clear();
        let settings = self.scenario.settings(zone, seed);
        let starts = &self.scenario.nodes.starts;
        let start = starts.on.then(|| {
            let terms = Terms {
                nodes: self.scenario.nodes.count,
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
        let remembered = self.scenario.nodes.store.then(|| {
            let mut fates = Fates::new(3600 * SECOND, usize::MAX, usize::MAX);
            let persisted = &self.nodes[node].persisted;
            fates.restore(persisted.iter().cloned());
            let age = persisted.iter().map(|k| k.at + 1).max().unwrap_or(0);
            Remembered { fates, age, now: self.now, by_stamp: true, doubtful: 0 }
        });
        let state = &mut self.nodes[node];
        let seat = Seat {
            now: self.now,
            start,
            remembered,
            node,
            settings,
            sockets: self.scenario.nodes.sockets,
            memory: self.scenario.nodes.memory_mb << 20,
            truth: Arc::clone(&self.truth),
        };
        state.machine = Some((self.maker)(seat));
        // The list as it was last known.
        let known = self.list();
        self.feed(node, incarnation, Input::Listed { kind: ListKind::Cached, endpoints: known });
        self.schedule_after(10 * MILLISECOND, Event::HealthChecked { node });
    }

    pub(super) fn stops(&mut self, node: usize) {
        if self.nodes[node].machine.is_none() || self.nodes[node].stopping {
            return;
        }
        self.nodes[node].stopping = true;
        let incarnation = self.nodes[node].incarnation;
        self.feed(node, incarnation, Input::Stop);
        self.schedule_after(300 * MILLISECOND, Event::HealthChecked { node });
        let kill = seconds(self.scenario.nodes.kill_after_s);
        self.schedule_after(kill, Event::NodeKilled { node, incarnation });
    }

    /// A node's process ends, however that came, and is started again later.
    pub(super) fn node_ends(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.nodes[node].machine = None;
        self.judge.died((node, incarnation));
        let (from, to) = (
            ConnectionId { node, incarnation, link: 0 },
            ConnectionId { node, incarnation, link: Link::MAX },
        );
        let connections: Vec<ConnectionId> = self.connections.range(from..=to).map(|(l, _)| *l).collect();
        for connection in connections {
            if let Some(c) = self.connections.get_mut(&connection) {
                c.closed = true;
            }
            self.pass_to_executor(connection, Event::ClosedAtExecutor { connection });
        }
        for attempt in 0..self.attempts.len() {
            let a = &self.attempts[attempt];
            if !a.over
                && !a.answered
                && a.at.is_some_and(|(n, l, taken)| (n, l) == (node, incarnation) && taken > 0)
            {
                self.schedule_after(
                    MILLISECOND,
                    Event::ResponseAtClient { attempt, outcome: ClientOutcome::NoAnswer },
                );
            }
        }
        let notice = seconds(self.scenario.clients.notice_s);
        self.schedule_after(notice, Event::HealthChecked { node });
        let back = seconds(self.scenario.nodes.back_after_s);
        self.schedule_after(back, Event::NodeStarts { node });
    }
}
