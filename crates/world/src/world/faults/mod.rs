//! The faults of a scenario. Each has a method of its name in the module of what it takes: executors, nodes
//! or discovery; resets of connections are here.

mod discovery;
mod executors;
mod nodes;

use rand::seq::SliceRandom as _;

use super::World;
use super::event::FaultPhase;
use crate::scenario::{Fault, FaultSpec};

/// What a fault is done to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetKind {
    Executors,
    Nodes,
}

fn target_kind(fault: Fault) -> TargetKind {
    match fault {
        Fault::NodeKill
        | Fault::NodeRoll
        | Fault::NodePause
        | Fault::NodeSlow
        | Fault::Flood
        | Fault::Switch => TargetKind::Nodes,
        _ => TargetKind::Executors,
    }
}

impl World<'_> {
    /// A fault of the scenario begins, and draws whom it takes; or it ends for those.
    pub(in crate::world) fn fault_changes(&mut self, fault: usize, phase: FaultPhase) {
        let trouble = self.scenario.faults[fault].clone();
        if phase.begins() {
            self.fault_targets[fault] = self.draw_targets(&trouble);
        }
        let targets = self.fault_targets[fault].clone();
        match (trouble.kind, phase) {
            (Fault::DiscoveryDown, _) => self.discovery_down(phase),
            (Fault::DiscoveryFlaps, _) => self.discovery_flaps(phase),
            (Fault::Resets, _) => self.resets(&trouble, phase),
            (Fault::Grow, FaultPhase::Begins) => self.grow(&trouble),
            (Fault::Roll, FaultPhase::Begins) => self.roll(&trouble, &targets),
            (Fault::NodeRoll, FaultPhase::Begins) => self.node_roll(&trouble, &targets),
            (Fault::NodeKill, FaultPhase::Begins) => self.node_kill(&targets),
            (Fault::NodePause, FaultPhase::Begins) => self.node_pause(&trouble, &targets),
            (Fault::NodeSlow, _) => self.node_slow(&trouble, &targets, phase),
            (Fault::Switch, _) => self.switch(&targets, phase),
            (Fault::Flood, FaultPhase::Begins) => self.flood(fault, &targets),
            (
                Fault::Grow
                | Fault::Roll
                | Fault::NodeRoll
                | Fault::NodeKill
                | Fault::NodePause
                | Fault::Flood,
                FaultPhase::Ends,
            ) => {}
            _ => targets.into_iter().for_each(|executor| self.executor_fault(fault, executor, phase)),
        }
    }

    /// Draws the part of the nodes or executors that a fault takes, one at least if there is one.
    fn draw_targets(&mut self, trouble: &FaultSpec) -> Vec<usize> {
        let mut candidates = match target_kind(trouble.kind) {
            TargetKind::Nodes => (0..self.nodes.len()).collect(),
            TargetKind::Executors => self.executors_open_to(trouble),
        };
        let most = candidates.len();
        candidates.shuffle(&mut self.rng);
        let wanted = (most as f64 * trouble.part).round() as usize;
        candidates.truncate(wanted.clamp(1, most.max(1)));
        candidates
    }

    /// Executors that run, do not drain and lie in the fault's zone, if it names one.
    fn executors_open_to(&self, trouble: &FaultSpec) -> Vec<usize> {
        let executors = self.executors.iter().enumerate();
        executors
            .filter(|(_, e)| e.alive && !e.draining && trouble.zone.is_none_or(|zone| zone == e.zone))
            .map(|(index, _)| index)
            .collect()
    }

    /// [`Fault::Resets`]
    fn resets(&mut self, trouble: &FaultSpec, phase: FaultPhase) {
        self.reset_rate = if phase.begins() { trouble.size } else { 0.0 };
    }
}
