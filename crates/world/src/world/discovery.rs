//! Discovery: it notices changes late, tells the nodes that watch it, and answers calls for the whole list.

use linestack_core::{Endpoint, Input, Nanos};
use linestack_dispatch::types::{Health, ListKind};
use rand::Rng as _;

use super::event::Event;
use super::fleet::{address_of, executor_at};
use super::nodes::DiscoveryWatch;
use super::{MILLISECOND, SECOND, World, count_in_second};
use crate::scenario::seconds;

/// A message from discovery takes this time and up to twice as much again.
const MESSAGE_DELAY: Nanos = MILLISECOND;

/// A call that would have to wait longer for its turn fails.
const MAX_CALL_WAIT: Nanos = 2 * SECOND;

/// What a call costs beside the executors that it lists, in lines.
const LINES_PER_CALL: usize = 40;

/// The state of discovery.
#[derive(Default)]
pub(super) struct Discovery {
    /// By executor: what the list says of it.
    listings: Vec<Listing>,
    pub(super) down: bool,
    /// Changes are told more than once, or not at all.
    pub(super) flaps: bool,
    /// Calls are answered in turn; the last that waits is answered by this time.
    busy_until: Nanos,
}

/// What the list says of an executor.
#[derive(Clone, Copy, Debug)]
struct Listing {
    health: Health,
    /// When its process started; 0 for one that was there from the beginning.
    started: Nanos,
}

impl Listing {
    const GONE: Self = Self { health: Health::Gone, started: 0 };
}

impl Discovery {
    /// Lists so many executors as ready from the beginning.
    pub(super) fn list_all_ready(&mut self, executors: usize) {
        self.listings = vec![Listing { health: Health::Ready, started: 0 }; executors];
    }
}

/// How discovery comes to know of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Detection {
    /// The process tells of it.
    Announced,
    /// Discovery must find out by itself.
    Silent,
}

impl World<'_> {
    /// The state of an executor has changed, and discovery will notice.
    pub(super) fn announce(&mut self, executor: usize, health: Health, detection: Detection) {
        let discovery = &self.scenario.discovery;
        let mean_s = match detection {
            Detection::Announced => discovery.late_s,
            Detection::Silent => discovery.silent_late_s,
        };
        let delay_s = mean_s * (0.5 + self.rng.random::<f64>());
        let started = self.executors[executor].started;
        self.schedule_after(seconds(delay_s), Event::DiscoveryPublishes { executor, health, started });
    }

    /// Discovery has noticed a change: the list has it, and nodes that watch are told.
    pub(super) fn discovery_publishes(&mut self, index: usize, health: Health, started: Nanos) {
        let executor = &self.executors[index];
        // Found out too late: it is back.
        if health == Health::Gone && executor.is_reachable() && !executor.draining {
            return;
        }
        let listings = &mut self.discovery.listings;
        if listings.len() <= index {
            listings.resize(index + 1, Listing::GONE);
        }
        listings[index] = Listing { health, started };
        let repeats: u32 = if self.discovery.flaps { self.rng.random_range(0..=2) } else { 1 };
        for _ in 0..repeats {
            self.tell_watchers_of(index);
        }
    }

    fn tell_watchers_of(&mut self, executor: usize) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].watch == DiscoveryWatch::On {
                let endpoints = vec![self.endpoint(executor)];
                self.tell(node, ListKind::Changes, endpoints);
            }
        }
    }

    /// Sends a list to a node.
    pub(super) fn tell(&mut self, node: usize, kind: ListKind, endpoints: Vec<Endpoint>) {
        let arrives = self.now + MESSAGE_DELAY + self.rng.random_range(0..2 * MESSAGE_DELAY);
        let incarnation = self.nodes[node].incarnation;
        // A paused node hears nothing.
        let heard = arrives.max(self.nodes[node].paused_until);
        self.judge_hears_of(node, &endpoints, heard);
        let input = Input::ListReceived { kind, endpoints };
        self.schedule_at(arrives, Event::NodeInput { node, incarnation, input });
    }

    /// Has the judge know what a node knows of executors from some time on.
    fn judge_hears_of(&mut self, node: usize, endpoints: &[Endpoint], from: Nanos) {
        for endpoint in endpoints {
            self.judge.health_received(node, executor_at(endpoint.address), endpoint.health, from);
        }
    }

    /// An executor as the list has it.
    fn endpoint(&self, index: usize) -> Endpoint {
        let executor = &self.executors[index];
        let Listing { health, started } = self.discovery.listings[index];
        Endpoint {
            name: executor.name.clone(),
            address: address_of(index),
            zone: format!("z{}", executor.zone),
            kind: self.scenario.executors[executor.spec].kind.clone(),
            cell: executor.group,
            health,
            started,
            weight: 1.0,
        }
    }

    /// The whole list: all executors that are not gone.
    pub(super) fn listed_endpoints(&self) -> Vec<Endpoint> {
        let listings = self.discovery.listings.iter().enumerate();
        let present = listings.filter(|(_, listing)| listing.health != Health::Gone);
        present.map(|(index, _)| self.endpoint(index)).collect()
    }

    /// A node's call for the whole list reaches discovery, which answers calls in turn at its rate.
    pub(super) fn discovery_call(&mut self, node: usize, incarnation: u32) {
        let state = &self.nodes[node];
        if state.incarnation != incarnation || state.watch != DiscoveryWatch::Calling {
            return;
        }
        count_in_second(&mut self.outcome.lists_by_second, self.now);
        let endpoints = self.listed_endpoints();
        let lines = LINES_PER_CALL + endpoints.len();
        let service = seconds(lines as f64 / self.scenario.discovery.lines_per_s);
        let begins = self.discovery.busy_until.max(self.now);
        if self.discovery.down || begins > self.now + MAX_CALL_WAIT {
            self.nodes[node].watch = DiscoveryWatch::Off;
            return self.discovery_fails(node, incarnation);
        }
        let answered = begins + service;
        self.discovery.busy_until = answered;
        self.nodes[node].watch = DiscoveryWatch::On;
        self.judge_hears_of_missing(node, answered);
        self.judge_hears_of(node, &endpoints, answered);
        let input = Input::ListReceived { kind: ListKind::Whole, endpoints };
        self.schedule_at(answered, Event::NodeInput { node, incarnation, input });
    }

    /// Executors that a whole list lacks have left, for the node that gets it.
    fn judge_hears_of_missing(&mut self, node: usize, from: Nanos) {
        for (executor, listing) in self.discovery.listings.iter().enumerate() {
            if listing.health == Health::Gone {
                self.judge.health_received(node, executor, Health::Gone, from);
            }
        }
    }

    /// A node sees that its call or its watch has failed.
    pub(super) fn discovery_fails(&mut self, node: usize, incarnation: u32) {
        let input = Input::ListReceived { kind: ListKind::Failed, endpoints: Vec::new() };
        self.schedule_after(MESSAGE_DELAY, Event::NodeInput { node, incarnation, input });
    }
}
