//! Delivery of jobs and probes to executors, admission there, and the replies.

use bytes::Bytes;
use linestack_core::{Disconnect, ForwardedRequest, Input, Nanos, Outcome as ExecutionOutcome};
use linestack_dispatch::types::{Health, ProbeOutcome, Report};
use rand::Rng as _;

use super::discovery::Detection;
use super::event::Event;
use super::network::InFlight;
use super::{MILLISECOND, World};
use crate::executor::ConnectionId;
use crate::scenario::{RepeatPolicy, millis_to_nanos, seconds_to_nanos};

/// The delay after which a node notices that its connection was reset while it was sending.
const RESET_NOTICE_DELAY: Nanos = 3 * MILLISECOND;

/// What an executor does with a job that reaches it.
enum Admission {
    Queued,
    /// Answered at once, without being executed.
    Answered(ExecutionOutcome),
    /// Lost without an answer.
    Lost,
}

impl World<'_> {
    /// A node sends a job over a connection.
    pub(super) fn send_job(&mut self, connection: ConnectionId, request: &ForwardedRequest) {
        let id = std::str::from_utf8(&request.id).ok().and_then(|id| id.parse::<usize>().ok());
        let Some(attempt) = id.filter(|a| *a < self.attempts.len()) else { return };
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.in_flight = Some(InFlight::Job { attempt });
        state.acknowledged = false;
        let index = state.executor;
        let executor = &self.executors[index];
        self.judge.sent(attempt, connection, index, executor.group, self.now);
        self.outcome.executions += 1;
        self.outcome.crossings += u64::from(executor.zone != self.nodes[connection.node].zone);
        if executor.alive && executor.is_cold(self.now) {
            self.load_cold_executor(index, attempt);
        }
        if self.reset_rate > 0.0 && self.rng.random::<f64>() < self.reset_rate {
            return self.reset_while_sending(connection, attempt);
        }
        self.send_to_executor(connection, Event::JobAtExecutor { connection, attempt });
    }

    /// A job is sent to a cold executor, which collapses if it is overloaded by it.
    fn load_cold_executor(&mut self, index: usize, attempt: usize) {
        let request = &self.requests[self.attempts[attempt].request];
        // The mean work of the product counts: nodes cannot know that a single job is an outlier.
        let work_s = self.scenario.products[request.product].work_ms / 1e3;
        let capacity = self.executors[index].capacity(self.now);
        if self.judge.cold_work_sent(index, work_s, capacity, self.now) {
            self.executors[index].collapsed = true;
            self.executor_ends(index);
            self.schedule_discovery_change(index, Health::Gone, Detection::Unannounced);
        }
    }

    /// A connection is reset before, during or after the last byte of a job.
    fn reset_while_sending(&mut self, connection: ConnectionId, attempt: usize) {
        const BEFORE_LAST_BYTE: u32 = 0;
        const AFTER_LAST_BYTE: u32 = 2;
        let moment: u32 = self.rng.random_range(0..3);
        if moment == AFTER_LAST_BYTE {
            self.send_to_executor(connection, Event::JobAtExecutor { connection, attempt });
        }
        let written = moment > BEFORE_LAST_BYTE;
        let disconnect = Disconnect {
            request_started: true,
            request_written: written,
            response_started: false,
            local_fault: false,
            unexpected_data: false,
        };
        let event = Event::DisconnectedAtNode { connection, disconnect: Some(disconnect) };
        self.schedule_after(RESET_NOTICE_DELAY, event);
    }

    /// A job reaches an executor.
    pub(super) fn job_at_executor(&mut self, connection: ConnectionId, attempt: usize) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (index, idle_since) = (state.executor, state.idle_since);
        let executor = &self.executors[index];
        let same_process = state.executor_incarnation == Some(executor.incarnation);
        // Either a reset is already on its way to the node, or the executor cannot send one.
        if !same_process || executor.faults.inbound_cut || executor.faults.unreachable {
            return;
        }
        if self.now > idle_since + seconds_to_nanos(self.scenario.executors[executor.kind_index].idle_s) {
            return self.reset_from_executor(connection);
        }
        match self.admit(index, attempt) {
            Admission::Queued => self.enqueue(index, connection, attempt),
            Admission::Answered(outcome) => self.send_reply(index, connection, attempt, outcome),
            Admission::Lost => {}
        }
    }

    /// Decides what an executor does with a job that has reached it, by its faults and its queue.
    fn admit(&mut self, index: usize, attempt: usize) -> Admission {
        let executor = &self.executors[index];
        let faults = executor.faults.clone();
        let draining = executor.draining;
        let error_rate = faults.error_rate.max(self.scenario.executors[executor.kind_index].error_rate);
        let product_index = self.requests[self.attempts[attempt].request].product;
        let product = &self.scenario.products[product_index];
        if faults.hangs {
            return Admission::Queued;
        }
        if draining || self.happens_at_rate(faults.refusal_rate) {
            return Admission::Answered(ExecutionOutcome::Overloaded);
        }
        if self.happens_at_rate(error_rate) || (faults.product_fails && product_index == 0) {
            return Admission::Answered(ExecutionOutcome::Error);
        }
        if self.happens_at_rate(faults.loss_rate) {
            return Admission::Lost;
        }
        if product.repeats == RepeatPolicy::Stamped && self.is_duplicate(index, attempt) {
            return Admission::Answered(ExecutionOutcome::Completed);
        }
        if !self.executors[index].admits(product.slots) {
            return Admission::Answered(ExecutionOutcome::Overloaded);
        }
        Admission::Queued
    }

    /// Draws whether an event of this probability happens. A rate of 0 draws no random number, so that
    /// scenarios without a fault keep their random sequence.
    fn happens_at_rate(&mut self, rate: f64) -> bool {
        rate > 0.0 && self.rng.random::<f64>() < rate
    }

    /// An executor replies to a job, with its load report.
    pub(super) fn send_reply(
        &mut self,
        index: usize,
        connection: ConnectionId,
        attempt: usize,
        outcome: ExecutionOutcome,
    ) {
        let report = self.load_report(index);
        if self.happens_at_rate(self.executors[index].faults.garbage_rate) {
            let disconnect = Disconnect {
                request_started: true,
                request_written: true,
                response_started: true,
                local_fault: false,
                unexpected_data: false,
            };
            let event = Event::DisconnectedAtNode { connection, disconnect: Some(disconnect) };
            return self.send_to_node(connection, event);
        }
        let now = self.now;
        if let Some(state) = self.connections.get_mut(&connection) {
            state.idle_since = now;
        }
        self.send_to_node(connection, Event::ReplyAtNode { connection, attempt, outcome, report });
    }

    /// Returns the load report for an executor's answer, if executors send reports.
    fn load_report(&mut self, index: usize) -> Option<Report> {
        let reports = &self.scenario.reports;
        let (period, delay) = (millis_to_nanos(reports.period_ms), millis_to_nanos(reports.delay_ms));
        let executor = &mut self.executors[index];
        reports.enabled.then(|| executor.report(self.now, period, delay, reports.noise, &mut self.rng))
    }

    /// The reply to a job reaches the node. It is dropped if the node no longer waits for it.
    pub(super) fn reply_at_node(
        &mut self,
        connection: ConnectionId,
        attempt: usize,
        outcome: ExecutionOutcome,
        report: Option<Report>,
    ) {
        if !self.accept_reply(connection) {
            return;
        }
        match outcome {
            ExecutionOutcome::Completed => self.judge.result_received(attempt),
            ExecutionOutcome::Overloaded => self.judge.never_ran(attempt, connection),
            _ => {}
        }
        let ConnectionId { node, incarnation, number } = connection;
        let result = Bytes::from_static(b"done");
        self.give_input(node, incarnation, Input::Ended { connection: number, outcome, result, report });
        self.give_input(
            node,
            incarnation,
            Input::ConnectionReusable { connection: number, identified: true },
        );
    }

    /// A progress message for a job reaches the node. It is dropped if the node no longer waits for that job.
    pub(super) fn progress_at_node(&mut self, connection: ConnectionId, attempt: usize) {
        let job = Some(InFlight::Job { attempt });
        if self.connections.get(&connection).is_some_and(|state| state.in_flight == job) {
            let input = Input::Progressed { connection: connection.number };
            self.give_input(connection.node, connection.incarnation, input);
        }
    }

    /// A probe reaches an executor, which answers with its load report.
    pub(super) fn probe_at_executor(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get(&connection) else { return };
        let index = state.executor;
        let executor = &mut self.executors[index];
        let same_process = state.executor_incarnation == Some(executor.incarnation);
        if !same_process || executor.faults.inbound_cut || executor.is_stalled() {
            return;
        }
        let cost = self.scenario.executors[executor.kind_index].probe_ms / 1e3;
        executor.add_overhead_work(self.now, cost);
        self.run_executor(index);
        let (outcome, report) = (ProbeOutcome::Answered, self.load_report(index));
        self.send_to_node(connection, Event::ProbeReplyAtNode { connection, outcome, report });
    }

    /// The answer to a probe reaches the node. It is dropped if the node no longer waits for it.
    pub(super) fn probe_reply_at_node(
        &mut self,
        connection: ConnectionId,
        outcome: ProbeOutcome,
        report: Option<Report>,
    ) {
        if !self.accept_reply(connection) {
            return;
        }
        let ConnectionId { node, incarnation, number } = connection;
        self.give_input(node, incarnation, Input::Probed { connection: number, outcome, report });
        self.give_input(
            node,
            incarnation,
            Input::ConnectionReusable { connection: number, identified: true },
        );
    }
}
