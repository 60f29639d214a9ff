//! Faults of discovery.

use linestack_dispatch::types::ListKind;

use crate::world::World;
use crate::world::event::FaultPhase;
use crate::world::nodes::DiscoveryWatch;

impl World<'_> {
    /// [`Fault::DiscoveryDown`](crate::Fault::DiscoveryDown): all watches break, and requests fail
    /// while it lasts.
    pub(super) fn discovery_down(&mut self, phase: FaultPhase) {
        self.discovery.down = phase.begins();
        if phase == FaultPhase::Ends {
            return;
        }
        for node in 0..self.nodes.len() {
            let state = &mut self.nodes[node];
            let incarnation = state.incarnation;
            let previous = std::mem::replace(&mut state.watch, DiscoveryWatch::Off);
            if previous == DiscoveryWatch::On {
                self.discovery_fails(node, incarnation);
            }
        }
    }

    /// [`Fault::DiscoveryFlaps`](crate::Fault::DiscoveryFlaps): when it is over, the nodes that watch
    /// get the whole list.
    pub(super) fn discovery_flaps(&mut self, phase: FaultPhase) {
        self.discovery.flaps = phase.begins();
        if phase == FaultPhase::Begins {
            return;
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].watch == DiscoveryWatch::On {
                let endpoints = self.listed_endpoints();
                self.send_list(node, ListKind::Whole, endpoints);
            }
        }
    }
}
