//! The fleet of executors: they join, start, drain and end.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use linestack_dispatch::types::Health;
use rand::Rng as _;

use super::event::Event;
use super::{World, lock};
use crate::executor::{ConnectionId, Executor};

pub(super) fn address(executor: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + executor as u32), 80))
}

pub(super) fn executor_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (u32::from(*v4.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl World<'_> {
    pub(super) fn join(&mut self, spec: usize, zone: u16) -> usize {
        let e = &self.scenario.executors[spec];
        let index = self.executors.len();
        let speed = e.speed * (1.0 + e.speed_spread * self.rng.random_range(-1.0..=1.0));
        // Groups lie in one zone.
        let group = (index / usize::from(self.scenario.zones) / e.group as usize)
            * usize::from(self.scenario.zones)
            + usize::from(zone);
        let name = format!("e{index}");
        self.executors.push(Executor::new(name, spec, e, zone, group as u16, speed, self.now));
        self.reflect(index);
        index
    }

    pub(super) fn executor_ends(&mut self, executor: usize, resets: bool) {
        let e = &mut self.executors[executor];
        e.advance(self.now);
        e.alive = false;
        e.incarnation += 1;
        e.wake += 1;
        self.clear(executor);
        if resets {
            self.reset_all(executor);
        }
        self.reflect(executor);
    }

    /// Every connection to it is reset.
    pub(super) fn reset_all(&mut self, executor: usize) {
        let here = self.connections.iter().filter(|(_, c)| c.executor == executor && c.incarnation.is_some());
        let connections: Vec<ConnectionId> = here.map(|(l, _)| *l).collect();
        for connection in connections {
            self.pass_to_node(connection, Event::DisconnectedAtNode { connection, broken: None });
        }
    }

    pub(super) fn executor_starts(&mut self, executor: usize) {
        let now = self.now;
        let e = &mut self.executors[executor];
        if e.collapsed {
            return;
        }
        e.advance(now);
        (e.alive, e.draining, e.started) = (true, false, now);
        e.faults = crate::executor::ActiveFaults::default();
        self.judge.warm(executor);
        self.announce(executor, Health::Ready, false);
        self.turn(executor);
    }

    pub(super) fn drains(&mut self, executor: usize) {
        self.executors[executor].draining = true;
        self.reflect(executor);
        self.announce(executor, Health::Draining, false);
    }

    pub(super) fn reflect(&mut self, executor: usize) {
        let e = &self.executors[executor];
        let now = self.now;
        let state = (!e.is_stalled() && !e.draining, e.free(), e.capacity(now));
        let mut truth = lock(&self.truth);
        if truth.executors.len() <= executor {
            truth.executors.resize(executor + 1, (false, 0.0, 0.0));
        }
        truth.executors[executor] = state;
    }
}
