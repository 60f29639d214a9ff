//! What a node asks for is carried out in the world.

use linestack_core::{Answer, Client, Effect, Input, Link, Phase};

use super::event::{ClientOutcome, Event};
use super::fleet::executor_at;
use super::network::Connection;
use super::nodes::DiscoveryWatch;
use super::{FLOOD_CLIENTS_FROM, MILLISECOND, World, count};
use crate::executor::{ConnectionId, Executor};
use crate::judge::Rule;
use crate::scenario::millis;

impl World<'_> {
    pub(super) fn carry_out(&mut self, node: usize, incarnation: u32, effect: Effect) {
        let id = |link: Link| ConnectionId { node, incarnation, link };
        match effect {
            Effect::Answer { client, answer, .. } => self.answer(node, incarnation, client, &answer),
            Effect::CloseClient { client } | Effect::DropClient { client } => {
                if client < FLOOD_CLIENTS_FROM && !self.attempts[client as usize].answered {
                    // The connection ends with no whole answer.
                    self.schedule_after(
                        MILLISECOND,
                        Event::ResponseAtClient {
                            attempt: client as usize,
                            outcome: ClientOutcome::NoAnswer,
                        },
                    );
                }
                self.nodes[node].inbox.push_back(Input::ClientGone { client });
            }
            Effect::Open { link, address, .. } => {
                let executor = executor_at(address);
                let connection = Connection {
                    executor,
                    incarnation: None,
                    busy: None,
                    answered: false,
                    up: false,
                    closed: false,
                    to_node: 0,
                    to_executor: 0,
                    idle_since: self.now,
                };
                self.connections.insert(id(link), connection);
                self.outcome.handshakes += 1;
                count(&mut self.outcome.handshakes_by_second, self.now);
                self.pass_to_executor(id(link), Event::ConnectAtExecutor { connection: id(link) });
            }
            Effect::Send { link, shipment, .. } => self.send(id(link), &shipment),
            Effect::Probe { link } => {
                self.outcome.probes += 1;
                if let Some(c) = self.connections.get_mut(&id(link)) {
                    c.busy = Some(None);
                }
                self.pass_to_executor(id(link), Event::ProbeAtExecutor { connection: id(link) });
            }
            Effect::CloseLink { link } => {
                if let Some(c) = self.connections.get_mut(&id(link)) {
                    c.closed = true;
                    c.busy = None;
                    self.pass_to_executor(id(link), Event::ClosedAtExecutor { connection: id(link) });
                }
            }
            Effect::Watch => {
                if self.nodes[node].watch == DiscoveryWatch::Off {
                    self.nodes[node].watch = DiscoveryWatch::Calling;
                    self.schedule_after(MILLISECOND, Event::DiscoveryCall { node, incarnation });
                }
            }
            Effect::Fault(what) => self.judge.breach(Rule::Invariant, self.now, what.into()),
            Effect::Report(_) | Effect::Stage(_) => {}
            Effect::Keep { keep, ticket } => {
                let sync = millis(self.scenario.nodes.sync_ms);
                self.schedule_after(sync, Event::RecordPersisted { node, incarnation, keep, ticket });
            }
            Effect::Exit => self.node_ends(node),
        }
    }

    pub(super) fn answer(&mut self, node: usize, incarnation: u32, client: Client, answer: &Answer) {
        let Some(a) = self.attempts.get_mut(client as usize) else { return };
        a.answered = true;
        self.judge.answered(client as usize, answer, self.now);
        let outcome = match answer {
            Answer::Satisfied(_) => {
                self.outcome.satisfied += 1;
                ClientOutcome::Satisfied
            }
            Answer::Dismissed(come_back) => {
                self.outcome.dismissed += 1;
                let request = &self.requests[self.attempts[client as usize].request];
                let slots = self.scenario.products[request.product].slots;
                let now = self.now;
                let room =
                    |e: &Executor| !e.is_stalled() && !e.draining && !e.is_cold(now) && e.free() >= slots;
                self.outcome.dismissed_with_room += u64::from(self.executors.iter().any(room));
                ClientOutcome::Dismissed(*come_back)
            }
            Answer::Aborted | Answer::Repeated => {
                self.outcome.aborted += 1;
                ClientOutcome::Aborted
            }
        };
        let way = self.client_way();
        self.schedule_after(way, Event::ResponseAtClient { attempt: client as usize, outcome });
        if self.nodes[node].incarnation == incarnation {
            self.nodes[node].inbox.push_back(Input::ClientPhase { client, phase: Phase::Idle });
            self.nodes[node].inbox.push_back(Input::ClientGone { client });
        }
    }
}
