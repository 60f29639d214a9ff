//! Faults of nodes.

use linestack_core::Input;
use rand::Rng as _;

use crate::scenario::{FaultSpec, seconds_to_nanos};
use crate::world::World;
use crate::world::event::{Event, FaultPhase};

/// The minimum processor time per input, in microseconds, of a node that is slowed.
const MIN_CPU_OF_SLOW_NODE_US: f64 = 50.0;

/// The maximum fraction of a node's processor time that others take.
const MAX_CPU_SHARE_TAKEN: f64 = 0.95;

/// The cost of a connection under the changed settings.
const SWITCHED_CONNECTION_COST: f64 = 0.08;

/// The minimum number of clients per second of a flood.
const MIN_FLOOD_CLIENTS_PER_S: f64 = 1e-3;

impl World<'_> {
    /// Applies [`Fault::NodeKill`](crate::Fault::NodeKill).
    pub(super) fn node_kill(&mut self, targets: &[usize]) {
        for &node in targets {
            if self.nodes[node].process.is_some() {
                self.node_ends(node);
            }
        }
    }

    /// Applies [`Fault::NodeRoll`](crate::Fault::NodeRoll).
    pub(super) fn node_roll(&mut self, spec: &FaultSpec, targets: &[usize]) {
        let gap_s = spec.for_s / targets.len() as f64;
        for (index, &node) in targets.iter().enumerate() {
            self.schedule_after(seconds_to_nanos(gap_s * index as f64), Event::NodeStops { node });
        }
    }

    /// Applies [`Fault::NodePause`](crate::Fault::NodePause).
    pub(super) fn node_pause(&mut self, spec: &FaultSpec, targets: &[usize]) {
        let until = self.now + seconds_to_nanos(spec.for_s);
        for &node in targets {
            self.nodes[node].busy_until = until;
            self.nodes[node].paused_until = until;
        }
    }

    /// [`Fault::NodeSlow`](crate::Fault::NodeSlow): others take the fraction `size` of the
    /// processor time, so that each input takes correspondingly longer.
    pub(super) fn node_slow(&mut self, spec: &FaultSpec, targets: &[usize], phase: FaultPhase) {
        let normal_us = self.scenario.nodes.cpu_us;
        let share_left = 1.0 - spec.size.min(MAX_CPU_SHARE_TAKEN);
        let cpu_per_input = match phase {
            FaultPhase::Begins => normal_us.max(MIN_CPU_OF_SLOW_NODE_US) * 1e3 / share_left,
            FaultPhase::Ends => normal_us * 1e3,
        };
        for &node in targets {
            self.nodes[node].cpu_per_input = cpu_per_input;
        }
    }

    /// Applies [`Fault::Switch`](crate::Fault::Switch).
    pub(super) fn switch(&mut self, targets: &[usize], phase: FaultPhase) {
        for &node in targets {
            let seed = self.rng.random();
            let mut settings = Box::new(self.scenario.settings(self.nodes[node].zone, seed));
            if phase.begins() {
                settings.dispatch.may_probe = false;
                settings.dispatch.may_duplicate = false;
                settings.dispatch.connection_cost = SWITCHED_CONNECTION_COST;
            }
            let incarnation = self.nodes[node].incarnation;
            self.give_input(node, incarnation, Input::SettingsChanged { settings, version: 0 });
        }
    }

    /// Applies [`Fault::Flood`](crate::Fault::Flood).
    pub(super) fn flood(&mut self, fault: usize, targets: &[usize]) {
        for &node in targets {
            self.schedule_after(0, Event::FloodConnects { fault, node });
        }
    }

    /// A client that sends nothing connects to a node. The next one is scheduled while the flood lasts.
    pub(in crate::world) fn flood_connects(&mut self, fault: usize, node: usize) {
        let spec = &self.scenario.faults[fault];
        if self.now >= seconds_to_nanos(spec.at_s + spec.for_s) {
            return;
        }
        let client = self.next_flood_client;
        self.next_flood_client += 1;
        let state = &self.nodes[node];
        let incarnation = state.incarnation;
        if state.process.as_ref().is_some_and(|process| !process.is_at_client_limit()) {
            self.give_input(node, incarnation, Input::ClientConnected { client });
        }
        let gap = seconds_to_nanos(1.0 / spec.size.max(MIN_FLOOD_CLIENTS_PER_S));
        self.schedule_after(gap, Event::FloodConnects { fault, node });
    }
}
