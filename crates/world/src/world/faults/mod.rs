//! The faults of a scenario. Each has a method of its name in the module of what it affects: executors, nodes
//! or discovery; resets of connections are in this module.

mod discovery;
mod executors;
mod nodes;

use rand::seq::SliceRandom as _;

use super::World;
use super::event::FaultPhase;
use crate::scenario::{Fault, FaultSpec};

/// What a fault affects.
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
    /// A fault of the scenario begins, for targets that are drawn now, or ends for the same targets.
    pub(in crate::world) fn fault_changes(&mut self, fault: usize, phase: FaultPhase) {
        let spec = self.scenario.faults[fault].clone();
        if phase.begins() {
            self.fault_targets[fault] = self.draw_targets(&spec);
        }
        let targets = self.fault_targets[fault].clone();
        match (spec.kind, phase) {
            (Fault::DiscoveryDown, _) => self.discovery_down(phase),
            (Fault::DiscoveryFlaps, _) => self.discovery_flaps(phase),
            (Fault::Resets, _) => self.resets(&spec, phase),
            (Fault::Grow, FaultPhase::Begins) => self.grow(&spec),
            (Fault::Roll, FaultPhase::Begins) => self.roll(&spec, &targets),
            (Fault::NodeRoll, FaultPhase::Begins) => self.node_roll(&spec, &targets),
            (Fault::NodeKill, FaultPhase::Begins) => self.node_kill(&targets),
            (Fault::NodePause, FaultPhase::Begins) => self.node_pause(&spec, &targets),
            (Fault::NodeSlow, _) => self.node_slow(&spec, &targets, phase),
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

    /// Draws the nodes or executors that a fault affects: the given fraction, but at least one if there is
    /// any.
    fn draw_targets(&mut self, spec: &FaultSpec) -> Vec<usize> {
        let mut candidates = match target_kind(spec.kind) {
            TargetKind::Nodes => (0..self.nodes.len()).collect(),
            TargetKind::Executors => self.fault_candidates(spec),
        };
        let total = candidates.len();
        candidates.shuffle(&mut self.rng);
        let wanted = (total as f64 * spec.part).round() as usize;
        candidates.truncate(wanted.clamp(1, total.max(1)));
        candidates
    }

    /// Returns the executors that run, do not drain and are in the zone of the fault, if it has one.
    fn fault_candidates(&self, spec: &FaultSpec) -> Vec<usize> {
        let executors = self.executors.iter().enumerate();
        executors
            .filter(|(_, e)| e.alive && !e.draining && spec.zone.is_none_or(|zone| zone == e.zone))
            .map(|(index, _)| index)
            .collect()
    }

    /// Applies [`Fault::Resets`].
    fn resets(&mut self, spec: &FaultSpec, phase: FaultPhase) {
        self.reset_rate = if phase.begins() { spec.size } else { 0.0 };
    }
}
