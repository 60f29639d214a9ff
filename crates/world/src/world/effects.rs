//! What a node asks for is carried out in the world.

use linestack_core::{Answer, Client, Effect, Input, Link, Phase};

use super::event::{Ending, Happening};
use super::fleet::executor_at;
use super::network::Connection;
use super::nodes::Watch;
use super::{FLOOD, MS, World, count};
use crate::executor::{Executor, Line};
use crate::judge::Rule;
use crate::scenario::millis;

impl World<'_> {
    pub(super) fn carry_out(&mut self, node: usize, life: u32, effect: Effect) {
        let line = |link: Link| Line { node, life, link };
        match effect {
            Effect::Answer { client, answer, .. } => self.answer(node, life, client, &answer),
            Effect::CloseClient { client } | Effect::DropClient { client } => {
                if client < FLOOD && !self.attempts[client as usize].answered {
                    // The connection ends with no whole answer.
                    self.after(MS, Happening::Back { attempt: client as usize, ending: Ending::Lost });
                }
                self.nodes[node].inbox.push_back(Input::ClientGone { client });
            }
            Effect::Open { link, address, .. } => {
                let executor = executor_at(address);
                let connection = Connection {
                    executor,
                    life: None,
                    busy: None,
                    answered: false,
                    up: false,
                    closed: false,
                    to_node: 0,
                    to_executor: 0,
                    idle_since: self.now,
                };
                self.connections.insert(line(link), connection);
                self.out.handshakes += 1;
                count(&mut self.out.handshakes_by_second, self.now);
                self.pass_to_executor(line(link), Happening::Syn { line: line(link) });
            }
            Effect::Send { link, shipment, .. } => self.send(line(link), &shipment),
            Effect::Probe { link } => {
                self.out.probes += 1;
                if let Some(c) = self.connections.get_mut(&line(link)) {
                    c.busy = Some(None);
                }
                self.pass_to_executor(line(link), Happening::Probe { line: line(link) });
            }
            Effect::CloseLink { link } => {
                if let Some(c) = self.connections.get_mut(&line(link)) {
                    c.closed = true;
                    c.busy = None;
                    self.pass_to_executor(line(link), Happening::Fin { line: line(link) });
                }
            }
            Effect::Watch => {
                if self.nodes[node].watch == Watch::Off {
                    self.nodes[node].watch = Watch::Calling;
                    self.after(MS, Happening::Call { node, life });
                }
            }
            Effect::Fault(what) => self.judge.breach(Rule::Invariant, self.now, what.into()),
            Effect::Report(_) | Effect::Stage(_) => {}
            Effect::Keep { keep, ticket } => {
                let sync = millis(self.s.nodes.sync_ms);
                self.after(sync, Happening::Kept { node, life, keep, ticket });
            }
            Effect::Exit => self.node_ends(node),
        }
    }

    pub(super) fn answer(&mut self, node: usize, life: u32, client: Client, answer: &Answer) {
        let Some(a) = self.attempts.get_mut(client as usize) else { return };
        a.answered = true;
        self.judge.answered(client as usize, answer, self.now);
        let ending = match answer {
            Answer::Satisfied(_) => {
                self.out.satisfied += 1;
                Ending::Satisfied
            }
            Answer::Dismissed(come_back) => {
                self.out.dismissed += 1;
                let first = &self.firsts[self.attempts[client as usize].first];
                let slots = self.s.products[first.product].slots;
                let now = self.now;
                let room = |e: &Executor| !e.halted() && !e.draining && !e.cold(now) && e.free() >= slots;
                self.out.dismissed_with_room += u64::from(self.executors.iter().any(room));
                Ending::Dismissed(*come_back)
            }
            Answer::Aborted | Answer::Repeated => {
                self.out.aborted += 1;
                Ending::Aborted
            }
        };
        let way = self.client_way();
        self.after(way, Happening::Back { attempt: client as usize, ending });
        if self.nodes[node].life == life {
            self.nodes[node].inbox.push_back(Input::ClientPhase { client, phase: Phase::Idle });
            self.nodes[node].inbox.push_back(Input::ClientGone { client });
        }
    }
}
