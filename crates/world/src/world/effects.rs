//! The effects of nodes, carried out in the simulation.

use std::net::SocketAddr;

use linestack_core::{Answer, ClientId, ClientPhase, ConnectionId as CoreConnectionId, Effect, Input, Nanos};

use super::event::{ClientOutcome, Event};
use super::fleet::executor_at;
use super::network::{Connection, InFlight};
use super::nodes::DiscoveryWatch;
use super::{FIRST_FLOOD_CLIENT, MILLISECOND, World, count_in_second};
use crate::executor::{ConnectionId, Executor};
use crate::judge::Rule;
use crate::scenario::millis_to_nanos;

/// The time after which a client notices that its node closed the connection without an answer.
const CLOSE_NOTICE_DELAY: Nanos = MILLISECOND;

/// The delay of a node's request to discovery.
const DISCOVERY_REQUEST_DELAY: Nanos = MILLISECOND;

impl World<'_> {
    /// Carries out one effect of a node.
    pub(super) fn carry_out(&mut self, node: usize, incarnation: u32, effect: Effect) {
        let id = |number: CoreConnectionId| ConnectionId { node, incarnation, number };
        match effect {
            Effect::Answer { client, answer, .. } => self.answer(node, incarnation, client, &answer),
            Effect::CloseClient { client } | Effect::DropClient { client } => self.close_client(node, client),
            Effect::OpenConnection { connection, address, .. } => {
                self.open_connection(id(connection), address)
            }
            Effect::Send { connection, request, .. } => self.send_job(id(connection), &request),
            Effect::Probe { connection } => self.send_probe(id(connection)),
            Effect::CloseConnection { connection } => self.close_connection(id(connection)),
            Effect::RequestList => self.request_list(node, incarnation),
            Effect::InvariantBroken(message) => {
                self.judge.record_breach(Rule::Invariant, self.now, message.into())
            }
            Effect::LogStats(_) | Effect::Stage(_) | Effect::Refused { .. } => {}
            Effect::Persist { record, ticket } => {
                let sync = millis_to_nanos(self.scenario.nodes.sync_ms);
                self.schedule_after(sync, Event::RecordPersisted { node, incarnation, record, ticket });
            }
            Effect::Exit => self.node_ends(node),
        }
    }

    /// A node answers a client, which ends the client's connection.
    fn answer(&mut self, node: usize, incarnation: u32, client: ClientId, answer: &Answer) {
        let attempt = client as usize;
        let Some(state) = self.attempts.get_mut(attempt) else { return };
        state.answered = true;
        self.judge.answered(attempt, answer, self.now);
        let outcome = self.count_answer(attempt, answer);
        let delay = self.draw_client_delay();
        self.schedule_after(delay, Event::ResponseAtClient { attempt, outcome });
        let state = &mut self.nodes[node];
        if state.incarnation == incarnation {
            state.inbox.push_back(Input::ClientPhase { client, phase: ClientPhase::Idle });
            state.inbox.push_back(Input::ClientDisconnected { client });
        }
    }

    fn count_answer(&mut self, attempt: usize, answer: &Answer) -> ClientOutcome {
        match answer {
            Answer::Completed(_) => {
                self.outcome.satisfied += 1;
                ClientOutcome::Satisfied
            }
            Answer::Dismissed(retry_after) => {
                self.outcome.dismissed += 1;
                self.outcome.dismissed_with_room += u64::from(self.has_room_for(attempt));
                ClientOutcome::Dismissed(*retry_after)
            }
            Answer::Aborted | Answer::DuplicateId => {
                self.outcome.aborted += 1;
                ClientOutcome::Aborted
            }
        }
    }

    /// Returns whether a warm, available executor has free slots for the job of an attempt.
    fn has_room_for(&self, attempt: usize) -> bool {
        let request = &self.requests[self.attempts[attempt].request];
        let slots = self.scenario.products[request.product].slots;
        let available = |e: &Executor| !e.is_stalled() && !e.draining && !e.is_cold(self.now);
        self.executors.iter().any(|e| available(e) && e.free_slots() >= slots)
    }

    /// A node closes a client's connection. A client without an answer notices it and will get none.
    fn close_client(&mut self, node: usize, client: ClientId) {
        let attempt = client as usize;
        if client < FIRST_FLOOD_CLIENT && !self.attempts[attempt].answered {
            let outcome = ClientOutcome::NoAnswer;
            self.schedule_after(CLOSE_NOTICE_DELAY, Event::ResponseAtClient { attempt, outcome });
        }
        self.nodes[node].inbox.push_back(Input::ClientDisconnected { client });
    }

    fn open_connection(&mut self, connection: ConnectionId, address: SocketAddr) {
        let state = Connection::new(executor_at(address), self.now);
        self.connections.insert(connection, state);
        self.outcome.handshakes += 1;
        count_in_second(&mut self.outcome.handshakes_by_second, self.now);
        self.send_to_executor(connection, Event::ConnectAtExecutor { connection });
    }

    fn send_probe(&mut self, connection: ConnectionId) {
        self.outcome.probes += 1;
        if let Some(state) = self.connections.get_mut(&connection) {
            state.in_flight = Some(InFlight::Probe);
        }
        self.send_to_executor(connection, Event::ProbeAtExecutor { connection });
    }

    fn close_connection(&mut self, connection: ConnectionId) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.closed = true;
            state.in_flight = None;
            self.send_to_executor(connection, Event::ClosedAtExecutor { connection });
        }
    }

    fn request_list(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].watch == DiscoveryWatch::Off {
            self.nodes[node].watch = DiscoveryWatch::Requested;
            self.schedule_after(DISCOVERY_REQUEST_DELAY, Event::ListRequested { node, incarnation });
        }
    }
}
