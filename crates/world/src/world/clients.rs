//! Clients: the node that they choose, how long they wait, and when they retry.

use std::sync::Arc;

use bytes::Bytes;
use linestack_core::{ClientId, ForwardedRequest, Input, Nanos, NewSubmission};
use rand::Rng as _;

use super::event::{ClientOutcome, Event, GiveUp};
use super::nodes::NodeState;
use super::{MILLISECOND, SECOND, World};
use crate::executor::NodeProcess;
use crate::judge::Rule;
use crate::scenario::{Backoff, RepeatPolicy, millis_to_nanos, seconds_to_nanos};

/// The maximum number of further nodes that a client tries, without a back-off, when nodes refuse its
/// connection.
const MAX_REFUSALS: u32 = 3;

/// The time after which a client notices that its connection failed or was refused.
const FAILURE_NOTICE_DELAY: Nanos = MILLISECOND;

/// The interval at which a client retries a node that currently accepts no connections.
const ACCEPT_RETRY_INTERVAL: Nanos = 2 * MILLISECOND;

/// The maximum number of times that the exponential back-off doubles.
const MAX_DOUBLINGS: u32 = 10;

/// A client's request, across all its attempts.
pub(super) struct ClientRequest {
    pub(super) product: usize,
    pub(super) tenant: usize,
    /// Seconds of work at speed 1.
    pub(super) work_s: f64,
    pub(super) zone: u16,
    pub(super) created_at: Nanos,
    pub(super) retries_left: u32,
    pub(super) tries: u32,
    pub(super) satisfied: bool,
    /// The closed-loop client that made it and submits again once it is answered, if there is one.
    pub(super) closed_client: Option<usize>,
    /// The node of the latest attempt.
    pub(super) last_node: Option<usize>,
    /// The number of its executions that have started.
    pub(super) executions_started: u32,
}

/// One try of a request at one node. The index of the attempt is the client's number at the node.
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) sent_at: Nanos,
    /// The number of nodes that refused this try before.
    pub(super) refusals: u32,
    pub(super) assigned: Option<Assignment>,
    /// When the node read it.
    pub(super) read_at: Option<Nanos>,
    /// The client has its answer, or has given up.
    pub(super) client_done: bool,
    /// The node has answered.
    pub(super) answered: bool,
}

/// The node process that an attempt was sent to.
#[derive(Clone, Copy)]
pub(super) struct Assignment {
    pub(super) node: usize,
    pub(super) incarnation: u32,
    /// When the node accepted it; none until then.
    pub(super) accepted_at: Option<Nanos>,
}

impl World<'_> {
    /// Sends a request to a node. `refusals` is the number of nodes that refused this try before.
    pub(super) fn start_attempt(&mut self, request: usize, refusals: u32) {
        if refusals == 0 {
            self.requests[request].tries += 1;
            self.outcome.tries += 1;
        }
        let candidates = self.nodes_for(self.requests[request].zone);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            sent_at: self.now,
            refusals,
            assigned: None,
            read_at: None,
            client_done: false,
            answered: false,
        });
        self.schedule_give_up(attempt);
        let same_node = self.requests[request].last_node.filter(|_| self.scenario.clients.same_node);
        let drawn_node = self.draw_node(&candidates);
        let Some(node) = same_node.or(drawn_node) else {
            let outcome = ClientOutcome::NoAnswer;
            return self.schedule_after(FAILURE_NOTICE_DELAY, Event::ResponseAtClient { attempt, outcome });
        };
        self.requests[request].last_node = Some(node);
        let incarnation = self.nodes[node].incarnation;
        self.attempts[attempt].assigned = Some(Assignment { node, incarnation, accepted_at: None });
        let delay = self.draw_client_delay();
        self.schedule_after(delay, Event::RequestAtNode { attempt });
    }

    /// Returns the nodes of a zone that are in rotation, or those of all zones if it has none.
    fn nodes_for(&self, zone: u16) -> Vec<usize> {
        let in_zone = self.nodes_in_rotation(|node| node.zone == zone);
        if in_zone.is_empty() { self.nodes_in_rotation(|_| true) } else { in_zone }
    }

    fn nodes_in_rotation(&self, wanted: impl Fn(&NodeState) -> bool) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter(|(_, node)| node.in_rotation && wanted(node)).map(|(index, _)| index).collect()
    }

    fn draw_node(&mut self, candidates: &[usize]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.rng.random_range(0..candidates.len())])
    }

    /// Schedules the deadline of an attempt, and for some clients an earlier time at which they leave.
    fn schedule_give_up(&mut self, attempt: usize) {
        let product = self.requests[self.attempts[attempt].request].product;
        let time_limit = millis_to_nanos(self.scenario.products[product].deadline_ms);
        let reason = GiveUp::DeadlinePassed;
        self.schedule_after(time_limit, Event::ClientGivesUp { attempt, reason });
        let leaving_share = self.scenario.clients.leave;
        if leaving_share > 0.0 && self.rng.random::<f64>() < leaving_share {
            let leaves_after = self.rng.random_range(0..time_limit.max(1));
            self.schedule_after(leaves_after, Event::ClientGivesUp { attempt, reason: GiveUp::Leaves });
        }
    }

    /// Draws the delay of a message between a client and a node.
    pub(super) fn draw_client_delay(&mut self) -> Nanos {
        let jitter = 1.0 + self.scenario.network.jitter * self.rng.random::<f64>();
        millis_to_nanos(self.scenario.network.client_ms * jitter)
    }

    /// A submission reaches its node, which accepts it, makes it wait for a connection, or does not run.
    pub(super) fn request_at_node(&mut self, attempt: usize) {
        if self.attempts[attempt].client_done {
            return;
        }
        let Some(Assignment { node, .. }) = self.attempts[attempt].assigned else { return };
        let state = &self.nodes[node];
        let Some(process) = &state.process else {
            let outcome = ClientOutcome::Refused;
            return self.schedule_after(FAILURE_NOTICE_DELAY, Event::ResponseAtClient { attempt, outcome });
        };
        if process.is_at_client_limit() {
            return self.schedule_after(ACCEPT_RETRY_INTERVAL, Event::RequestAtNode { attempt });
        }
        self.submit(attempt, node, state.incarnation);
    }

    fn submit(&mut self, attempt: usize, node: usize, incarnation: u32) {
        let accepted_at = Some(self.now);
        self.attempts[attempt].assigned = Some(Assignment { node, incarnation, accepted_at });
        self.outcome.taken += 1;
        let product = &self.scenario.products[self.requests[self.attempts[attempt].request].product];
        let submission = self.new_submission(attempt);
        // The node counts the deadline from the moment it reads the submission; it does not know an earlier
        // time.
        let deadline = self.now + submission.timeout;
        let dedup_window = seconds_to_nanos(product.dedup_window_s);
        let process = NodeProcess { node, incarnation };
        self.judge.accepted(attempt, process, product.repeats, dedup_window, deadline);
        let client = attempt as ClientId;
        self.give_input(node, incarnation, Input::ClientConnected { client });
        self.give_input(node, incarnation, Input::Submitted { client, submission });
    }

    /// Builds the submission that the node gets.
    fn new_submission(&self, attempt: usize) -> NewSubmission {
        let index = self.attempts[attempt].request;
        let request = &self.requests[index];
        let product = &self.scenario.products[request.product];
        let stamped = product.repeats == RepeatPolicy::Stamped || self.scenario.nodes.store;
        let idempotency_key = stamped.then(|| index.to_string().into());
        let id = Bytes::from(attempt.to_string());
        NewSubmission {
            product: request.product as u8,
            tenant: request.tenant as u16,
            timeout: millis_to_nanos(product.deadline_ms),
            slots: product.slots,
            memory: 0.0,
            request: Arc::new(ForwardedRequest { id, idempotency_key, ..ForwardedRequest::default() }),
        }
    }

    /// A client stops waiting, unless it has its answer.
    pub(super) fn client_gives_up(&mut self, attempt: usize, reason: GiveUp) {
        if std::mem::replace(&mut self.attempts[attempt].client_done, true) {
            return;
        }
        let assigned = self.attempts[attempt].assigned;
        if let Some(assignment) = assigned.filter(|a| a.accepted_at.is_some()) {
            if !self.attempts[attempt].answered {
                self.judge_unanswered(attempt, assignment, reason);
            }
            let gone = Input::ClientDisconnected { client: attempt as ClientId };
            self.give_input(assignment.node, assignment.incarnation, gone);
        }
        self.outcome.unanswered += 1;
        let request = self.attempts[attempt].request;
        if reason == GiveUp::Leaves {
            self.requests[request].retries_left = 0;
        }
        self.retry_or_end(request, ClientOutcome::NoAnswer);
    }

    /// A client gave up on a node that had accepted its submission. Reports a breach if the node is to blame.
    fn judge_unanswered(&mut self, attempt: usize, assignment: Assignment, reason: GiveUp) {
        let Assignment { node, incarnation, .. } = assignment;
        // The node is not to blame if it read the submission late, by the client's clock, or if the client
        // left early.
        let latest_read = self.attempts[attempt].sent_at + millis_to_nanos(self.scenario.rules.tolerance_ms);
        let read_in_time = self.attempts[attempt].read_at.is_some_and(|read_at| read_at <= latest_read);
        // A paused node cannot act; the other rules still apply to what it does later.
        let paused = self.nodes[node].busy_until > self.now;
        let same_process = self.nodes[node].incarnation == incarnation;
        if reason == GiveUp::DeadlinePassed && !paused && read_in_time && same_process {
            self.judge.record_breach(Rule::Lost, self.now, format!("{attempt}: its client gave up"));
        }
        self.judge.excuse(attempt);
    }

    /// A response, or the end of the connection, reaches a client, which may no longer be waiting.
    pub(super) fn response_at_client(&mut self, attempt: usize, outcome: ClientOutcome) {
        if std::mem::replace(&mut self.attempts[attempt].client_done, true) {
            return;
        }
        let Attempt { request, refusals, .. } = self.attempts[attempt];
        match outcome {
            ClientOutcome::Satisfied => {
                self.count_satisfied(request);
                self.end_request(request);
            }
            ClientOutcome::Refused if refusals < MAX_REFUSALS => self.start_attempt(request, refusals + 1),
            ClientOutcome::NoAnswer | ClientOutcome::Refused => {
                self.outcome.unanswered += 1;
                self.retry_or_end(request, outcome);
            }
            ClientOutcome::Dismissed(_) | ClientOutcome::Aborted => self.retry_or_end(request, outcome),
        }
    }

    /// Counts the payoff of a satisfied request, once.
    fn count_satisfied(&mut self, request: usize) {
        let request = &mut self.requests[request];
        if std::mem::replace(&mut request.satisfied, true) {
            return;
        }
        let product = &self.scenario.products[request.product];
        let latency_s = (self.now - request.created_at) as f64 / 1e9;
        let in_time =
            latency_s <= product.latency_target_ms / 1e3 + product.latency_target_factor * request.work_s;
        let payoff = if in_time { product.payoff } else { product.payoff * product.late_payoff };
        self.outcome.in_time += u64::from(in_time);
        self.outcome.earned_payoff_by_second[(request.created_at / SECOND) as usize] += payoff;
        self.outcome.by_product[request.product] += payoff;
        self.outcome.by_tenant[request.tenant] += payoff;
        self.outcome.answer_times.push(latency_s as f32);
        self.useful_work_s += request.work_s;
    }

    /// Lets a client retry after its back-off, if it has retries left.
    fn retry_or_end(&mut self, request: usize, outcome: ClientOutcome) {
        if self.requests[request].satisfied || self.requests[request].retries_left == 0 {
            return self.end_request(request);
        }
        self.requests[request].retries_left -= 1;
        let backoff = self.draw_backoff(self.requests[request].tries);
        let wait = match outcome {
            ClientOutcome::Dismissed(Some(retry_after)) if self.draw_heeds_retry_after() => {
                retry_after.max(backoff)
            }
            _ => backoff,
        };
        self.schedule_after(wait, Event::ClientRetries { request });
    }

    fn draw_backoff(&mut self, tries: u32) -> Nanos {
        let clients = &self.scenario.clients;
        let doubled = f64::from(1 << (tries - 1).min(MAX_DOUBLINGS));
        let mean_ms = match clients.backoff {
            Backoff::None => 0.0,
            Backoff::Fixed => clients.wait_ms,
            Backoff::Exponential => clients.wait_ms * doubled,
        };
        millis_to_nanos(mean_ms * self.rng.random_range(0.5..1.5))
    }

    fn draw_heeds_retry_after(&mut self) -> bool {
        self.rng.random::<f64>() < self.scenario.clients.heed_retry_after
    }

    fn end_request(&mut self, request: usize) {
        self.open_requests -= 1;
        if let Some(client) = self.requests[request].closed_client {
            let think = millis_to_nanos(self.scenario.load.think_ms);
            self.schedule_after(think, Event::ClosedClientSubmits { client });
        }
    }
}
