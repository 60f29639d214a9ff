//! Faults: what a trouble does when it begins and when it ends.

use linestack_core::Input;
use linestack_dispatch::types::{Health, ListKind};
use rand::{Rng as _, seq::SliceRandom as _};

use super::event::Happening;
use super::nodes::Watch;
use super::{MS, SECOND, World};
use crate::scenario::{Fault, seconds};

impl World<'_> {
    pub(super) fn pick(&mut self, which: usize) -> Vec<usize> {
        let t = &self.s.troubles[which];
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

    pub(super) fn trouble(&mut self, which: usize, begins: bool) {
        let t = self.s.troubles[which].clone();
        let victims = if begins {
            let victims = self.pick(which);
            self.victims[which].clone_from(&victims);
            victims
        } else {
            self.victims[which].clone()
        };
        match t.kind {
            Fault::DiscoveryDown => {
                self.discovery_down = begins;
                for node in 0..self.nodes.len() {
                    if begins && std::mem::replace(&mut self.nodes[node].watch, Watch::Off) == Watch::On {
                        let life = self.nodes[node].life;
                        let input = Input::Listed { kind: ListKind::Failed, endpoints: Vec::new() };
                        self.after(MS, Happening::Feed { node, life, input });
                    }
                }
            }
            Fault::DiscoveryFlaps => {
                self.discovery_flaps = begins;
                for node in 0..self.nodes.len() {
                    if !begins && self.nodes[node].watch == Watch::On {
                        let list = self.list();
                        self.tell(node, ListKind::Whole, list);
                    }
                }
            }
            Fault::Resets => self.resets = if begins { t.size } else { 0.0 },
            Fault::Grow if begins => {
                let new = (self.executors.len() as f64 * t.part).round().max(1.0) as usize;
                for i in 0..new {
                    let e = &self.executors[i % self.executors.len()];
                    let (spec, zone) = (e.spec, e.zone);
                    let at = seconds(t.for_s * i as f64 / new as f64);
                    self.after(at, Happening::Joins { spec, zone });
                }
            }
            Fault::Roll if begins => {
                let gap = t.for_s / victims.len() as f64;
                for (i, executor) in victims.into_iter().enumerate() {
                    let at = seconds(gap * i as f64);
                    let (spec, zone) = (self.executors[executor].spec, self.executors[executor].zone);
                    self.after(at, Happening::Joins { spec, zone });
                    self.after(at + SECOND, Happening::Drains { executor });
                    self.after(at + 5 * SECOND, Happening::Leaves { executor });
                }
            }
            Fault::NodeRoll if begins => {
                let gap = t.for_s / victims.len() as f64;
                for (i, node) in victims.into_iter().enumerate() {
                    self.after(seconds(gap * i as f64), Happening::Stops { node });
                }
            }
            Fault::NodeKill if begins => {
                for node in victims {
                    if self.nodes[node].machine.is_some() {
                        self.node_ends(node);
                    }
                }
            }
            Fault::Switch => {
                for node in victims {
                    let (life, seed) = (self.nodes[node].life, self.rng.random());
                    let mut settings = Box::new(self.s.settings(self.nodes[node].zone, seed));
                    if begins {
                        (settings.orders.may_probe, settings.orders.may_duplicate) = (false, false);
                        settings.orders.connection_price = 0.08;
                    }
                    self.feed(node, life, Input::Terms { settings, version: 0 });
                }
            }
            Fault::NodePause if begins => {
                for node in victims {
                    let until = self.now + seconds(t.for_s);
                    let slot = &mut self.nodes[node];
                    (slot.busy_until, slot.paused_until) = (until, until);
                }
            }
            Fault::NodeSlow => {
                // With `size` of its time gone, each thing takes so much longer.
                let cpu = self.s.nodes.cpu_us.max(50.0) * 1e3 / (1.0 - t.size.min(0.95));
                let cpu = if begins { cpu } else { self.s.nodes.cpu_us * 1e3 };
                victims.into_iter().for_each(|node| self.nodes[node].cpu = cpu);
            }
            Fault::Flood if begins => {
                for node in victims {
                    self.after(0, Happening::Flood { which, node });
                }
            }
            Fault::Grow
            | Fault::Roll
            | Fault::NodeRoll
            | Fault::NodeKill
            | Fault::NodePause
            | Fault::Flood => {}
            _ => victims.into_iter().for_each(|executor| self.ail(which, executor, begins)),
        }
    }

    /// A trouble of one executor begins or ends.
    pub(super) fn ail(&mut self, which: usize, executor: usize, begins: bool) {
        let (t, now) = (self.s.troubles[which].clone(), self.now);
        let e = &mut self.executors[executor];
        if e.fallen {
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
                e.ills.vanished = true;
                self.reflect(executor);
                return self.announce(executor, Health::Gone, true);
            }
            Fault::Vanish => {
                // Its connections are reset when it is back; what it had is gone.
                e.ills.vanished = false;
                self.executor_ends(executor, true);
                return self.executor_starts(executor);
            }
            Fault::Crash => return self.executor_starts(executor),
            Fault::Drain if begins => return self.drains(executor),
            Fault::Drain => {
                self.executor_ends(executor, true);
                return self.announce(executor, Health::Gone, false);
            }
            Fault::Hang => e.ills.hung = begins,
            Fault::Pauses | Fault::Neighbour => {
                if begins {
                    self.after(0, Happening::Step { which, executor, on: true });
                } else {
                    e.ills.paused = false;
                    e.ills.neighbour_on = false;
                }
            }
            Fault::Slow => e.ills.slow = begins.then_some(t.size.max(0.01)),
            Fault::FastErrors => e.ills.fails = part,
            Fault::ProductFails => e.ills.product_fails = begins,
            Fault::Lose => e.ills.loses = part,
            Fault::Refuse => e.ills.refuses = part,
            Fault::Garbage => e.ills.garbage = part,
            Fault::Lie => e.ills.lies = begins,
            Fault::ReportsLate => e.ills.late = seconds(part),
            Fault::Cut => {
                e.ills.deaf = begins && t.size != 1.0;
                e.ills.mute = begins && t.size != 2.0;
                if !begins {
                    // Neither side knows what the other missed; what is left is reset.
                    self.reset_all(executor);
                    self.clear(executor);
                    self.executors[executor].life += 1;
                }
            }
            _ => {}
        }
        self.turn(executor);
    }

    /// Pauses and neighbours come and go while they last.
    pub(super) fn step(&mut self, which: usize, executor: usize, on: bool) {
        let t = self.s.troubles[which].clone();
        let over = self.now >= seconds(t.at_s + t.for_s);
        let e = &mut self.executors[executor];
        e.advance(self.now);
        let (on, span) = (on && !over, self.rng.random_range(0.5..1.5));
        let next = if t.kind == Fault::Pauses {
            e.ills.paused = on;
            if on { t.size } else { 1.5 * span }
        } else {
            (e.ills.neighbour, e.ills.neighbour_on) = (t.size.min(1.0), on);
            2.0 * span
        };
        self.turn(executor);
        if !over {
            self.after(seconds(next.max(0.001)), Happening::Step { which, executor, on: !on });
        }
    }

    pub(super) fn flood(&mut self, which: usize, node: usize) {
        let t = &self.s.troubles[which];
        if self.now >= seconds(t.at_s + t.for_s) {
            return;
        }
        let (life, client) = (self.nodes[node].life, self.flood);
        self.flood += 1;
        if self.nodes[node].machine.as_ref().is_some_and(|m| !m.crowded()) {
            self.feed(node, life, Input::ClientUp { client });
        }
        self.after(seconds(1.0 / t.size.max(1e-3)), Happening::Flood { which, node });
    }
}
