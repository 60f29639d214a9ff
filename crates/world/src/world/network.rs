//! The network: connections between nodes and executors, which deliver messages in order and with a delay.

use linestack_core::{Disconnect, Input, Nanos};
use rand::Rng as _;

use super::World;
use super::event::Event;
use crate::executor::{ConnectionId, Job};
use crate::scenario::millis_to_nanos;

/// A connection from a node to an executor.
pub(super) struct Connection {
    pub(super) executor: usize,
    /// The incarnation of the executor that accepted it; none until it is accepted.
    pub(super) executor_incarnation: Option<u32>,
    /// The message that the node has sent and that is not answered yet.
    pub(super) in_flight: Option<InFlight>,
    /// Whether the executor has acknowledged the job in flight.
    pub(super) acknowledged: bool,
    /// Whether the node has closed it.
    pub(super) closed: bool,
    /// When the last message to the node arrives.
    last_node_arrival: Nanos,
    /// When the last message to the executor arrives.
    last_executor_arrival: Nanos,
    /// When a reply was last sent or received on it, or when it was opened.
    pub(super) idle_since: Nanos,
}

/// A message of a node that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InFlight {
    Probe,
    Job { attempt: usize },
}

impl Connection {
    /// Creates a connection that a node starts to open now.
    pub(super) fn new(executor: usize, now: Nanos) -> Self {
        Self {
            executor,
            executor_incarnation: None,
            in_flight: None,
            acknowledged: false,
            closed: false,
            last_node_arrival: 0,
            last_executor_arrival: 0,
            idle_since: now,
        }
    }
}

impl World<'_> {
    /// Sends a message to the executor's end of a connection. It arrives after all earlier ones.
    pub(super) fn send_to_executor(&mut self, connection: ConnectionId, message: Event) {
        let Some(state) = self.connections.get(&connection) else { return };
        let arrives_at = self.now + self.draw_delay(connection, state.executor);
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.last_executor_arrival = arrives_at.max(state.last_executor_arrival + 1);
        let at = state.last_executor_arrival;
        self.schedule_at(at, message);
    }

    /// Sends a message to the node's end of a connection. It arrives after all earlier ones. It is lost if
    /// the executor is unreachable or its outbound messages are cut.
    pub(super) fn send_to_node(&mut self, connection: ConnectionId, message: Event) {
        let Some(state) = self.connections.get(&connection) else { return };
        let executor = state.executor;
        let faults = &self.executors[executor].faults;
        if faults.outbound_cut || faults.unreachable {
            return;
        }
        let arrives_at = self.now + self.draw_delay(connection, executor);
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.last_node_arrival = arrives_at.max(state.last_node_arrival + 1);
        let at = state.last_node_arrival;
        self.schedule_at(at, message);
    }

    /// Draws the delay of a message, which depends on the zones, with jitter.
    fn draw_delay(&mut self, connection: ConnectionId, executor: usize) -> Nanos {
        let network = &self.scenario.network;
        let same_zone = self.nodes[connection.node].zone == self.executors[executor].zone;
        let ms = if same_zone { network.same_ms } else { network.cross_ms };
        millis_to_nanos(ms * (1.0 + network.jitter * self.rng.random::<f64>())).max(1)
    }

    /// A connection attempt reaches the executor, which accepts it if it is up and below its limit of
    /// connections.
    pub(super) fn connect_at_executor(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let index = state.executor;
        let executor = &mut self.executors[index];
        if executor.faults.inbound_cut || executor.faults.unreachable {
            return;
        }
        let kind = &self.scenario.executors[executor.kind_index];
        if !executor.alive || executor.connections >= kind.connections as usize {
            return self.reset_from_executor(connection);
        }
        executor.connections += 1;
        state.executor_incarnation = Some(executor.incarnation);
        executor.add_overhead_work(self.now, kind.handshake_ms / 1e3);
        self.run_executor(index);
        self.send_to_node(connection, Event::ConnectedAtNode { connection });
    }

    /// The node learns that a connection is established, unless it has closed it meanwhile.
    pub(super) fn connected_at_node(&mut self, connection: ConnectionId) {
        if self.connections.get(&connection).is_some_and(|state| !state.closed) {
            let input = Input::ExecutorConnected { connection: connection.number };
            self.give_input(connection.node, connection.incarnation, input);
        }
    }

    /// The executor's end of a connection is reset.
    pub(super) fn reset_from_executor(&mut self, connection: ConnectionId) {
        self.send_to_node(connection, Event::DisconnectedAtNode { connection, disconnect: None });
    }

    /// The node learns that a connection is down. `disconnect` says how far a send got, if that is known.
    pub(super) fn disconnected_at_node(&mut self, connection: ConnectionId, disconnect: Option<Disconnect>) {
        let Some(state) = self.connections.remove(&connection) else { return };
        if state.closed {
            return;
        }
        // A request in flight has been written completely, since the model sends all its bytes at once.
        let was_sent = state.in_flight.is_some();
        let disconnect = disconnect.unwrap_or(Disconnect {
            request_started: was_sent,
            request_written: was_sent,
            response_started: was_sent && state.acknowledged,
            local_fault: false,
            unexpected_data: false,
        });
        if let (Some(InFlight::Job { attempt }), false) = (state.in_flight, disconnect.request_written) {
            self.judge.never_ran(attempt, connection);
        }
        let input = Input::ExecutorDisconnected { connection: connection.number, disconnect };
        self.give_input(connection.node, connection.incarnation, input);
    }

    /// The executor learns that the node has closed a connection, and drops its jobs.
    pub(super) fn closed_at_executor(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.remove(&connection) else { return };
        let now = self.now;
        let executor = &mut self.executors[state.executor];
        let same_process = state.executor_incarnation == Some(executor.incarnation);
        if !same_process || executor.faults.inbound_cut || executor.faults.unreachable {
            return;
        }
        executor.advance(now);
        executor.connections = executor.connections.saturating_sub(1);
        let cancels = self.scenario.executors[executor.kind_index].cancels;
        let dropped: Vec<Job> = executor.drop_jobs_of(connection, cancels);
        dropped.iter().for_each(|job| self.release_job(state.executor, job));
        self.run_executor(state.executor);
    }

    /// A reply reaches the node. Returns false if the node no longer waits for one on this connection.
    pub(super) fn accept_reply(&mut self, connection: ConnectionId) -> bool {
        let now = self.now;
        let Some(state) = self.connections.get_mut(&connection) else { return false };
        if state.closed || state.in_flight.is_none() {
            return false;
        }
        state.in_flight = None;
        state.idle_since = now;
        true
    }
}
