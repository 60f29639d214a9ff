//! The fleet of executors: joining, starting, draining and ending.

use std::net::{Ipv4Addr, SocketAddr};

use linestack_core::Nanos;
use linestack_dispatch::types::Health;
use rand::Rng as _;

use super::discovery::Detection;
use super::{World, lock};
use crate::ExecutorTruth;
use crate::executor::{ActiveFaults, ConnectionId, Executor};

/// Executors have consecutive addresses from 10.0.0.0, by index.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const EXECUTOR_PORT: u16 = 80;

/// Returns the address of an executor.
pub(super) fn address_of(executor: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_ADDRESS + executor as u32), EXECUTOR_PORT))
}

/// Returns the index of the executor with an address.
pub(super) fn executor_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (u32::from(*v4.ip()) - FIRST_ADDRESS) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl World<'_> {
    /// Creates the executors of the scenario, spread over the zones. Discovery lists them from the beginning.
    pub(super) fn set_up_executors(&mut self) {
        for (kind_index, executors) in self.scenario.executors.iter().enumerate() {
            for index in 0..executors.count as usize {
                let zone = ((index + kind_index) % usize::from(self.scenario.zones)) as u16;
                self.add_executor(kind_index, zone, self.now);
            }
        }
        self.discovery.list_all_ready(self.executors.len());
    }

    /// A new executor starts, cold, and is announced to discovery.
    pub(super) fn executor_joins(&mut self, kind_index: usize, zone: u16) {
        let index = self.add_executor(kind_index, zone, self.now);
        self.executors[index].started = self.now;
        self.schedule_discovery_change(index, Health::Ready, Detection::Announced);
    }

    fn add_executor(&mut self, kind_index: usize, zone: u16, now: Nanos) -> usize {
        let index = self.executors.len();
        let kind = &self.scenario.executors[kind_index];
        let speed = kind.speed * (1.0 + kind.speed_spread * self.rng.random_range(-1.0..=1.0));
        let group = self.group_of(index, kind.group as usize, zone);
        let name = format!("e{index}");
        self.executors.push(Executor::new(name, kind_index, kind, zone, group, speed, now));
        self.update_ground_truth(index);
        index
    }

    /// Returns the group of an executor. All members of a group are in the same zone.
    fn group_of(&self, index: usize, size: usize, zone: u16) -> u16 {
        let zones = usize::from(self.scenario.zones);
        let group_in_zone = index / zones / size;
        (group_in_zone * zones + usize::from(zone)) as u16
    }

    /// An executor's process ends: its jobs are lost and its connections are reset.
    pub(super) fn executor_ends(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        executor.advance(self.now);
        executor.alive = false;
        executor.incarnation += 1;
        executor.wake_number += 1;
        self.drop_all_jobs(index);
        self.reset_connections_of(index);
        self.update_ground_truth(index);
    }

    /// Resets all connections that an executor has accepted.
    pub(super) fn reset_connections_of(&mut self, index: usize) {
        let accepted = self
            .connections
            .iter()
            .filter(|(_, state)| state.executor == index && state.executor_incarnation.is_some());
        let ids: Vec<ConnectionId> = accepted.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|connection| self.reset_from_executor(connection));
    }

    /// An executor's process starts again, cold. An executor that has collapsed stays down.
    pub(super) fn executor_starts(&mut self, index: usize) {
        let now = self.now;
        let executor = &mut self.executors[index];
        if executor.collapsed {
            return;
        }
        executor.advance(now);
        executor.alive = true;
        executor.draining = false;
        executor.started = now;
        executor.faults = ActiveFaults::default();
        self.judge.reset_cold_work(index);
        self.schedule_discovery_change(index, Health::Ready, Detection::Announced);
        self.run_executor(index);
    }

    /// An executor starts to drain: it accepts no new jobs from now on.
    pub(super) fn executor_drains(&mut self, index: usize) {
        self.executors[index].draining = true;
        self.update_ground_truth(index);
        self.schedule_discovery_change(index, Health::Draining, Detection::Announced);
    }

    /// An executor leaves for good.
    pub(super) fn executor_leaves(&mut self, index: usize) {
        self.executor_ends(index);
        self.schedule_discovery_change(index, Health::Gone, Detection::Announced);
    }

    /// Updates the state of an executor for reference policies that may see the ground truth.
    pub(super) fn update_ground_truth(&mut self, index: usize) {
        let executor = &self.executors[index];
        let available = !executor.is_stalled() && !executor.draining;
        let state = ExecutorTruth {
            available,
            free_slots: executor.free_slots(),
            capacity: executor.capacity(self.now),
        };
        let mut truth = lock(&self.ground_truth);
        if truth.executors.len() <= index {
            truth.executors.resize(index + 1, ExecutorTruth::default());
        }
        truth.executors[index] = state;
    }
}
