//! Discovery: who is listed, and who is told of it when.

use linestack_core::{Endpoint, Input, Nanos};
use linestack_dispatch::types::{Health, ListKind};
use rand::Rng as _;

use super::event::Happening;
use super::fleet::{address, executor_at};
use super::nodes::Watch;
use super::{MS, SECOND, World, count};
use crate::scenario::seconds;

impl World<'_> {
    pub(super) fn announce(&mut self, executor: usize, health: Health, silent: bool) {
        let d = &self.s.discovery;
        let late = if silent { d.silent_late_s } else { d.late_s };
        let late = late * (0.5 + self.rng.random::<f64>());
        let started = self.executors[executor].started;
        self.after(seconds(late), Happening::Publish { executor, health, started });
    }

    pub(super) fn publish(&mut self, executor: usize, health: Health, started: Nanos) {
        // Found out too late: it is back.
        if health == Health::Gone && self.executors[executor].serves() && !self.executors[executor].draining {
            return;
        }
        if self.listed.len() <= executor {
            self.listed.resize(executor + 1, (Health::Gone, 0));
        }
        self.listed[executor] = (health, started);
        let mut times = 1;
        if self.discovery_flaps {
            times = self.rng.random_range(0..=2);
        }
        for _ in 0..times {
            for node in 0..self.nodes.len() {
                if self.nodes[node].watch == Watch::On {
                    let endpoints = vec![self.endpoint(executor)];
                    self.tell(node, ListKind::Changes, endpoints);
                }
            }
        }
    }

    pub(super) fn tell(&mut self, node: usize, kind: ListKind, endpoints: Vec<Endpoint>) {
        let at = self.now + MS + self.rng.random_range(0..2 * MS);
        let life = self.nodes[node].life;
        // Paused, it can hear nothing.
        let told = at.max(self.nodes[node].paused_until);
        for e in &endpoints {
            self.judge.told(node, executor_at(e.address), e.health, told);
        }
        self.at(at, Happening::Feed { node, life, input: Input::Listed { kind, endpoints } });
    }

    pub(super) fn endpoint(&self, executor: usize) -> Endpoint {
        let e = &self.executors[executor];
        let (health, started) = self.listed[executor];
        Endpoint {
            name: e.name.clone(),
            address: address(executor),
            zone: format!("z{}", e.zone),
            kind: self.s.executors[e.spec].kind.clone(),
            group: e.group,
            health,
            started,
            weight: 1.0,
        }
    }

    pub(super) fn list(&self) -> Vec<Endpoint> {
        let there = |i: &usize| self.listed[*i].0 != Health::Gone;
        (0..self.listed.len()).filter(there).map(|i| self.endpoint(i)).collect()
    }

    pub(super) fn call(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life || self.nodes[node].watch != Watch::Calling {
            return;
        }
        count(&mut self.out.lists_by_second, self.now);
        let list = self.list();
        let service = seconds((40 + list.len()) as f64 / self.s.discovery.lines_per_s);
        let start = self.discovery_busy.max(self.now);
        if self.discovery_down || start > self.now + 2 * SECOND {
            self.nodes[node].watch = Watch::Off;
            let input = Input::Listed { kind: ListKind::Failed, endpoints: Vec::new() };
            return self.after(MS, Happening::Feed { node, life, input });
        }
        self.discovery_busy = start + service;
        self.nodes[node].watch = Watch::On;
        // What a whole list lacks has left.
        for executor in 0..self.listed.len() {
            if self.listed[executor].0 == Health::Gone {
                self.judge.told(node, executor, Health::Gone, start + service);
            }
        }
        for e in &list {
            self.judge.told(node, executor_at(e.address), e.health, start + service);
        }
        let input = Input::Listed { kind: ListKind::Whole, endpoints: list };
        self.at(start + service, Happening::Feed { node, life, input });
    }
}
