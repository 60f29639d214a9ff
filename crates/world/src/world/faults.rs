//! Faults: what a trouble does when it begins and when it ends.

use linestack_core::Input;
use linestack_dispatch::types::{Health, ListKind};
use rand::{Rng as _, seq::SliceRandom as _};

use super::event::Event;
use super::nodes::DiscoveryWatch;
use super::{MILLISECOND, SECOND, World};
use crate::scenario::{Fault, seconds};

impl World<'_> {
    pub(super) fn pick(&mut self, fault: usize) -> Vec<usize> {
        let t = &self.scenario.troubles[fault];
        let of_nodes = matches!(
            t.kind,
            Fault::NodeKill
                | Fault::NodeRoll
                | Fault::NodePause
                | Fault::NodeSlow
                | Fault::Flood
                | Fault::Switch
        );
        let mut all: Vec<usize> = if of_nodes {
            (0..self.nodes.len()).collect()
        } else {
            let fits = |i: &usize| {
                let e = &self.executors[*i];
                e.alive && !e.draining && t.zone.is_none_or(|z| z == e.zone)
            };
            (0..self.executors.len()).filter(fits).collect()
        };
        let most = all.len();
        all.shuffle(&mut self.rng);
        all.truncate(((most as f64 * t.part).round() as usize).clamp(1, most.max(1)));
        all
    }

    pub(super) fn trouble(&mut self, fault: usize, begins: bool) {
        let t = self.scenario.troubles[fault].clone();
        let targets = if begins {
            let targets = self.pick(fault);
            self.fault_targets[fault].clone_from(&targets);
            targets
        } else {
            self.fault_targets[fault].clone()
        };
        match t.kind {
            Fault::DiscoveryDown => {
                self.discovery_down = begins;
                for node in 0..self.nodes.len() {
                    if begins
                        && std::mem::replace(&mut self.nodes[node].watch, DiscoveryWatch::Off)
                            == DiscoveryWatch::On
                    {
                        let incarnation = self.nodes[node].incarnation;
                        let input = Input::Listed { kind: ListKind::Failed, endpoints: Vec::new() };
                        self.schedule_after(MILLISECOND, Event::NodeInput { node, incarnation, input });
                    }
                }
            }
            Fault::DiscoveryFlaps => {
                self.discovery_flaps = begins;
                for node in 0..self.nodes.len() {
                    if !begins && self.nodes[node].watch == DiscoveryWatch::On {
                        let list = self.list();
                        self.tell(node, ListKind::Whole, list);
                    }
                }
            }
            Fault::Resets => self.reset_rate = if begins { t.size } else { 0.0 },
            Fault::Grow if begins => {
                let new = (self.executors.len() as f64 * t.part).round().max(1.0) as usize;
                for i in 0..new {
                    let e = &self.executors[i % self.executors.len()];
                    let (spec, zone) = (e.spec, e.zone);
                    let at = seconds(t.for_s * i as f64 / new as f64);
                    self.schedule_after(at, Event::ExecutorJoins { spec, zone });
                }
            }
            Fault::Roll if begins => {
                let gap = t.for_s / targets.len() as f64;
                for (i, executor) in targets.into_iter().enumerate() {
                    let at = seconds(gap * i as f64);
                    let (spec, zone) = (self.executors[executor].spec, self.executors[executor].zone);
                    self.schedule_after(at, Event::ExecutorJoins { spec, zone });
                    self.schedule_after(at + SECOND, Event::ExecutorDrains { executor });
                    self.schedule_after(at + 5 * SECOND, Event::ExecutorLeaves { executor });
                }
            }
            Fault::NodeRoll if begins => {
                let gap = t.for_s / targets.len() as f64;
                for (i, node) in targets.into_iter().enumerate() {
                    self.schedule_after(seconds(gap * i as f64), Event::NodeStops { node });
                }
            }
            Fault::NodeKill if begins => {
                for node in targets {
                    if self.nodes[node].machine.is_some() {
                        self.node_ends(node);
                    }
                }
            }
            Fault::Switch => {
                for node in targets {
                    let (incarnation, seed) = (self.nodes[node].incarnation, self.rng.random());
                    let mut settings = Box::new(self.scenario.settings(self.nodes[node].zone, seed));
                    if begins {
                        (settings.orders.may_probe, settings.orders.may_duplicate) = (false, false);
                        settings.orders.connection_price = 0.08;
                    }
                    self.feed(node, incarnation, Input::Terms { settings, version: 0 });
                }
            }
            Fault::NodePause if begins => {
                for node in targets {
                    let until = self.now + seconds(t.for_s);
                    let state = &mut self.nodes[node];
                    (state.busy_until, state.paused_until) = (until, until);
                }
            }
            Fault::NodeSlow => {
                // With `size` of its time gone, each thing takes so much longer.
                let cpu = self.scenario.nodes.cpu_us.max(50.0) * 1e3 / (1.0 - t.size.min(0.95));
                let cpu = if begins { cpu } else { self.scenario.nodes.cpu_us * 1e3 };
                targets.into_iter().for_each(|node| self.nodes[node].cpu_per_input = cpu);
            }
            Fault::Flood if begins => {
                for node in targets {
                    self.schedule_after(0, Event::FloodConnects { fault, node });
                }
            }
            Fault::Grow
            | Fault::Roll
            | Fault::NodeRoll
            | Fault::NodeKill
            | Fault::NodePause
            | Fault::Flood => {}
            _ => targets.into_iter().for_each(|executor| self.ail(fault, executor, begins)),
        }
    }

    /// A trouble of one executor begins or ends.
    pub(super) fn ail(&mut self, fault: usize, executor: usize, begins: bool) {
        let (t, now) = (self.scenario.troubles[fault].clone(), self.now);
        let e = &mut self.executors[executor];
        if e.collapsed {
            return;
        }
        e.advance(now);
        let part = if begins { t.size } else { 0.0 };
        match t.kind {
            Fault::Crash if begins => {
                self.executor_ends(executor, true);
                return self.announce(executor, Health::Gone, true);
            }
            Fault::Vanish if begins => {
                e.faults.unreachable = true;
                self.reflect(executor);
                return self.announce(executor, Health::Gone, true);
            }
            Fault::Vanish => {
                // Its connections are reset when it is back; what it had is gone.
                e.faults.unreachable = false;
                self.executor_ends(executor, true);
                return self.executor_starts(executor);
            }
            Fault::Crash => return self.executor_starts(executor),
            Fault::Drain if begins => return self.drains(executor),
            Fault::Drain => {
                self.executor_ends(executor, true);
                return self.announce(executor, Health::Gone, false);
            }
            Fault::Hang => e.faults.hangs = begins,
            Fault::Pauses | Fault::Neighbour => {
                if begins {
                    self.schedule_after(0, Event::FaultToggles { fault, executor, on: true });
                } else {
                    e.faults.paused = false;
                    e.faults.neighbour_active = false;
                }
            }
            Fault::Slow => e.faults.slowed_to = begins.then_some(t.size.max(0.01)),
            Fault::FastErrors => e.faults.error_rate = part,
            Fault::ProductFails => e.faults.product_fails = begins,
            Fault::Lose => e.faults.loss_rate = part,
            Fault::Refuse => e.faults.refusal_rate = part,
            Fault::Garbage => e.faults.garbage_rate = part,
            Fault::Lie => e.faults.reports_idle = begins,
            Fault::ReportsLate => e.faults.report_delay = seconds(part),
            Fault::Cut => {
                e.faults.inbound_cut = begins && t.size != 1.0;
                e.faults.outbound_cut = begins && t.size != 2.0;
                if !begins {
                    // Neither side knows what the other missed; what is left is reset.
                    self.reset_all(executor);
                    self.clear(executor);
                    self.executors[executor].incarnation += 1;
                }
            }
            _ => {}
        }
        self.turn(executor);
    }

    /// Pauses and neighbours come and go while they last.
    pub(super) fn step(&mut self, fault: usize, executor: usize, on: bool) {
        let t = self.scenario.troubles[fault].clone();
        let over = self.now >= seconds(t.at_s + t.for_s);
        let e = &mut self.executors[executor];
        e.advance(self.now);
        let (on, span) = (on && !over, self.rng.random_range(0.5..1.5));
        let next = if t.kind == Fault::Pauses {
            e.faults.paused = on;
            if on { t.size } else { 1.5 * span }
        } else {
            (e.faults.neighbour_share, e.faults.neighbour_active) = (t.size.min(1.0), on);
            2.0 * span
        };
        self.turn(executor);
        if !over {
            self.schedule_after(seconds(next.max(0.001)), Event::FaultToggles { fault, executor, on: !on });
        }
    }

    pub(super) fn flood(&mut self, fault: usize, node: usize) {
        let t = &self.scenario.troubles[fault];
        if self.now >= seconds(t.at_s + t.for_s) {
            return;
        }
        let (incarnation, client) = (self.nodes[node].incarnation, self.next_flood_client);
        self.next_flood_client += 1;
        if self.nodes[node].machine.as_ref().is_some_and(|m| !m.crowded()) {
            self.feed(node, incarnation, Input::ClientUp { client });
        }
        self.schedule_after(seconds(1.0 / t.size.max(1e-3)), Event::FloodConnects { fault, node });
    }
}
