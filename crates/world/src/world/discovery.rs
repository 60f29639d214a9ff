//! Discovery: it detects changes with a delay, sends them to the nodes that watch it, and answers requests
//! for the whole list.

use linestack_core::{Endpoint, Input, Nanos};
use linestack_dispatch::types::{Health, ListKind};
use rand::Rng as _;

use super::event::Event;
use super::fleet::{address_of, executor_at};
use super::nodes::DiscoveryWatch;
use super::{MILLISECOND, SECOND, World, count_in_second};
use crate::scenario::seconds_to_nanos;

/// The minimum delay of a message from discovery. List changes take up to twice as much in addition.
const MESSAGE_DELAY: Nanos = MILLISECOND;

/// A request that would have to wait longer for its turn fails.
const MAX_REQUEST_WAIT: Nanos = 2 * SECOND;

/// The fixed cost of a request, in lines, in addition to one line per listed executor.
const LINES_PER_REQUEST: usize = 40;

/// The state of discovery.
#[derive(Default)]
pub(super) struct Discovery {
    /// By executor: its entry in the list.
    entries: Vec<ListEntry>,
    pub(super) down: bool,
    /// Changes are sent more than once, or not at all.
    pub(super) flaps: bool,
    /// Requests are answered one after the other; the last waiting one is answered at this time.
    busy_until: Nanos,
}

/// The entry of an executor in the list.
#[derive(Clone, Copy, Debug)]
struct ListEntry {
    health: Health,
    /// When its process started; 0 if it ran from the beginning of the simulation.
    started: Nanos,
}

impl ListEntry {
    const GONE: Self = Self { health: Health::Gone, started: 0 };
}

impl Discovery {
    /// Lists this number of executors as ready from the beginning.
    pub(super) fn list_all_ready(&mut self, executors: usize) {
        self.entries = vec![ListEntry { health: Health::Ready, started: 0 }; executors];
    }
}

/// How discovery learns of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Detection {
    /// The process announces it.
    Announced,
    /// The process cannot announce it, so discovery must detect it.
    Unannounced,
}

impl World<'_> {
    /// Schedules when discovery publishes a change of an executor's state, after a drawn delay.
    pub(super) fn schedule_discovery_change(
        &mut self,
        executor: usize,
        health: Health,
        detection: Detection,
    ) {
        let discovery = &self.scenario.discovery;
        let mean_s = match detection {
            Detection::Announced => discovery.late_s,
            Detection::Unannounced => discovery.silent_late_s,
        };
        let delay_s = mean_s * (0.5 + self.rng.random::<f64>());
        let started = self.executors[executor].started;
        self.schedule_after(
            seconds_to_nanos(delay_s),
            Event::DiscoveryPublishes { executor, health, started },
        );
    }

    /// Discovery has detected a change: updates the list, and sends the change to the nodes that watch it.
    pub(super) fn discovery_publishes(&mut self, index: usize, health: Health, started: Nanos) {
        let executor = &self.executors[index];
        // The detection is outdated: the executor is back.
        if health == Health::Gone && executor.is_reachable() && !executor.draining {
            return;
        }
        let entries = &mut self.discovery.entries;
        if entries.len() <= index {
            entries.resize(index + 1, ListEntry::GONE);
        }
        entries[index] = ListEntry { health, started };
        let repetitions: u32 = if self.discovery.flaps { self.rng.random_range(0..=2) } else { 1 };
        for _ in 0..repetitions {
            self.notify_watchers(index);
        }
    }

    fn notify_watchers(&mut self, executor: usize) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].watch == DiscoveryWatch::On {
                let endpoints = vec![self.endpoint(executor)];
                self.send_list(node, ListKind::Changes, endpoints);
            }
        }
    }

    /// Sends a list to a node.
    pub(super) fn send_list(&mut self, node: usize, kind: ListKind, endpoints: Vec<Endpoint>) {
        let arrives_at = self.now + MESSAGE_DELAY + self.rng.random_range(0..2 * MESSAGE_DELAY);
        let incarnation = self.nodes[node].incarnation;
        // A paused node handles no messages.
        let known_from = arrives_at.max(self.nodes[node].paused_until);
        self.record_known_health(node, &endpoints, known_from);
        let input = Input::ListReceived { kind, endpoints };
        self.schedule_at(arrives_at, Event::NodeInput { node, incarnation, input });
    }

    /// Tells the judge from when on a node knows the health of these executors.
    fn record_known_health(&mut self, node: usize, endpoints: &[Endpoint], from: Nanos) {
        for endpoint in endpoints {
            self.judge.health_received(node, executor_at(endpoint.address), endpoint.health, from);
        }
    }

    /// Returns the entry of an executor as nodes receive it.
    fn endpoint(&self, index: usize) -> Endpoint {
        let executor = &self.executors[index];
        let ListEntry { health, started } = self.discovery.entries[index];
        Endpoint {
            name: executor.name.clone(),
            address: address_of(index),
            zone: format!("z{}", executor.zone),
            kind: self.scenario.executors[executor.kind_index].kind.clone(),
            cell: executor.group,
            health,
            started,
            weight: 1.0,
        }
    }

    /// Returns the whole list: all executors that are not gone.
    pub(super) fn listed_endpoints(&self) -> Vec<Endpoint> {
        let entries = self.discovery.entries.iter().enumerate();
        let present = entries.filter(|(_, entry)| entry.health != Health::Gone);
        present.map(|(index, _)| self.endpoint(index)).collect()
    }

    /// A node's request for the whole list reaches discovery, which answers requests one after the other at
    /// its rate.
    pub(super) fn list_requested(&mut self, node: usize, incarnation: u32) {
        let state = &self.nodes[node];
        if state.incarnation != incarnation || state.watch != DiscoveryWatch::Requested {
            return;
        }
        count_in_second(&mut self.outcome.lists_by_second, self.now);
        let endpoints = self.listed_endpoints();
        let lines = LINES_PER_REQUEST + endpoints.len();
        let service_time = seconds_to_nanos(lines as f64 / self.scenario.discovery.lines_per_s);
        let begins_at = self.discovery.busy_until.max(self.now);
        if self.discovery.down || begins_at > self.now + MAX_REQUEST_WAIT {
            self.nodes[node].watch = DiscoveryWatch::Off;
            return self.discovery_fails(node, incarnation);
        }
        let answered_at = begins_at + service_time;
        self.discovery.busy_until = answered_at;
        self.nodes[node].watch = DiscoveryWatch::On;
        self.record_known_absence(node, answered_at);
        self.record_known_health(node, &endpoints, answered_at);
        let input = Input::ListReceived { kind: ListKind::Whole, endpoints };
        self.schedule_at(answered_at, Event::NodeInput { node, incarnation, input });
    }

    /// Tells the judge that a node which gets a whole list knows that the executors missing in it are gone.
    fn record_known_absence(&mut self, node: usize, from: Nanos) {
        for (executor, entry) in self.discovery.entries.iter().enumerate() {
            if entry.health == Health::Gone {
                self.judge.health_received(node, executor, Health::Gone, from);
            }
        }
    }

    /// A node learns that its request or its watch has failed.
    pub(super) fn discovery_fails(&mut self, node: usize, incarnation: u32) {
        let input = Input::ListReceived { kind: ListKind::Failed, endpoints: Vec::new() };
        self.schedule_after(MESSAGE_DELAY, Event::NodeInput { node, incarnation, input });
    }
}
