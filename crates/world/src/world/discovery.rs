//! Discovery: who is listed, and who is told of it when.

use linestack_core::{Endpoint, Input, Nanos};
use linestack_dispatch::types::{Health, ListKind};
use rand::Rng as _;

use super::event::Event;
use super::fleet::{address, executor_at};
use super::nodes::DiscoveryWatch;
use super::{MILLISECOND, SECOND, World, count};
use crate::scenario::seconds;

impl World<'_> {
    pub(super) fn announce(&mut self, executor: usize, health: Health, silent: bool) {
        let d = &self.scenario.discovery;
        let late = if silent { d.silent_late_s } else { d.late_s };
        let late = late * (0.5 + self.rng.random::<f64>());
        let started = self.executors[executor].started;
        self.schedule_after(seconds(late), Event::DiscoveryPublishes { executor, health, started });
    }

    pub(super) fn publish(&mut self, executor: usize, health: Health, started: Nanos) {
        // Found out too late: it is back.
        if health == Health::Gone
            && self.executors[executor].is_reachable()
            && !self.executors[executor].draining
        {
            return;
        }
        if self.listings.len() <= executor {
            self.listings.resize(executor + 1, (Health::Gone, 0));
        }
        self.listings[executor] = (health, started);
        let mut times = 1;
        if self.discovery_flaps {
            times = self.rng.random_range(0..=2);
        }
        for _ in 0..times {
            for node in 0..self.nodes.len() {
                if self.nodes[node].watch == DiscoveryWatch::On {
                    let endpoints = vec![self.endpoint(executor)];
                    self.tell(node, ListKind::Changes, endpoints);
                }
            }
        }
    }

    pub(super) fn tell(&mut self, node: usize, kind: ListKind, endpoints: Vec<Endpoint>) {
        let at = self.now + MILLISECOND + self.rng.random_range(0..2 * MILLISECOND);
        let incarnation = self.nodes[node].incarnation;
        // Paused, it can hear nothing.
        let told = at.max(self.nodes[node].paused_until);
        for e in &endpoints {
            self.judge.told(node, executor_at(e.address), e.health, told);
        }
        self.schedule_at(
            at,
            Event::NodeInput { node, incarnation, input: Input::Listed { kind, endpoints } },
        );
    }

    pub(super) fn endpoint(&self, executor: usize) -> Endpoint {
        let e = &self.executors[executor];
        let (health, started) = self.listings[executor];
        Endpoint {
            name: e.name.clone(),
            address: address(executor),
            zone: format!("z{}", e.zone),
            kind: self.scenario.executors[e.spec].kind.clone(),
            group: e.group,
            health,
            started,
            weight: 1.0,
        }
    }

    pub(super) fn list(&self) -> Vec<Endpoint> {
        let there = |i: &usize| self.listings[*i].0 != Health::Gone;
        (0..self.listings.len()).filter(there).map(|i| self.endpoint(i)).collect()
    }

    pub(super) fn call(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].watch != DiscoveryWatch::Calling {
            return;
        }
        count(&mut self.outcome.lists_by_second, self.now);
        let list = self.list();
        let service = seconds((40 + list.len()) as f64 / self.scenario.discovery.lines_per_s);
        let start = self.discovery_busy_until.max(self.now);
        if self.discovery_down || start > self.now + 2 * SECOND {
            self.nodes[node].watch = DiscoveryWatch::Off;
            let input = Input::Listed { kind: ListKind::Failed, endpoints: Vec::new() };
            return self.schedule_after(MILLISECOND, Event::NodeInput { node, incarnation, input });
        }
        self.discovery_busy_until = start + service;
        self.nodes[node].watch = DiscoveryWatch::On;
        // What a whole list lacks has left.
        for executor in 0..self.listings.len() {
            if self.listings[executor].0 == Health::Gone {
                self.judge.told(node, executor, Health::Gone, start + service);
            }
        }
        for e in &list {
            self.judge.told(node, executor_at(e.address), e.health, start + service);
        }
        let input = Input::Listed { kind: ListKind::Whole, endpoints: list };
        self.schedule_at(start + service, Event::NodeInput { node, incarnation, input });
    }
}
