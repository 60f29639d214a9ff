//! Clients: when they come, where they go, and when they come again.

use std::sync::Arc;

use bytes::Bytes;
use linestack_core::{Client, Input, Intake, Nanos, Shipment};
use rand::Rng as _;
use rand_distr::{Distribution as _, LogNormal};

use super::event::{ClientOutcome, Event};
use super::{MILLISECOND, SECOND, World};
use crate::judge::Rule;
use crate::scenario::{Backoff, Repeats, Scenario, Shape, millis, seconds};

/// How many nodes a client tries at once when they refuse it.
const REFUSALS: u32 = 3;

/// What a client wants, with its retries.
pub(super) struct ClientRequest {
    pub(super) product: usize,
    pub(super) tenant: usize,
    pub(super) work: f64,
    pub(super) zone: u16,
    pub(super) born: Nanos,
    pub(super) retries: u32,
    pub(super) tries: u32,
    pub(super) done: bool,
    /// Which of the clients that ask again once they are answered.
    pub(super) closed: Option<usize>,
    /// The node that was asked last, and how many executions of it began.
    pub(super) node: Option<usize>,
    pub(super) began: u32,
}

pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) sent: Nanos,
    pub(super) refusals: u32,
    /// The node that holds it, and when it took it.
    pub(super) at: Option<(usize, u32, Nanos)>,
    /// When the node came to read it.
    pub(super) read: Option<Nanos>,
    /// The client has its answer, or has given up.
    pub(super) over: bool,
    /// The node has answered.
    pub(super) answered: bool,
}

impl World<'_> {
    pub(super) fn times(&self, now: Nanos) -> f64 {
        let t = now as f64 / 1e9;
        let load = &self.scenario.load;
        let step = load.steps.iter().rev().find(|s| s.at_s <= t).map_or(1.0, |s| s.times);
        let turn = t / load.period_s;
        let swing = match load.shape {
            Shape::Steady => 1.0,
            Shape::Bursty if turn.fract() < 0.5 => 1.0 + load.swing,
            Shape::Bursty => 1.0 - load.swing,
            Shape::Wave => 1.0 + load.swing * (turn * std::f64::consts::TAU).sin(),
        };
        step * swing
    }

    pub(super) fn arrives(&mut self) {
        if self.now >= seconds(self.scenario.span_s) {
            return;
        }
        let most = self.scenario.load.steps.iter().map(|s| s.times).fold(1.0, f64::max)
            * (1.0 + self.scenario.load.swing);
        let shares: f64 = self.scenario.tenants.iter().map(|t| t.share).sum();
        let sent: f64 = self.scenario.tenants.iter().map(|t| t.share * t.usage).sum();
        let rate = self.scenario.rate() * sent / shares.max(1e-9) * most;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule_after(seconds(gap), Event::ClientArrives);
        if self.rng.random::<f64>() * most < self.times(self.now) {
            self.ask(None);
        }
    }

    pub(super) fn ask(&mut self, closed: Option<usize>) {
        let product = self.weighted(|s| s.products.iter().map(|p| p.share).collect());
        let tenant = self.weighted(|s| s.tenants.iter().map(|t| t.share * t.usage).collect());
        let p = &self.scenario.products[product];
        let work = if p.cv > 0.0 {
            let variance = (1.0 + p.cv * p.cv).ln();
            let spread = LogNormal::new((p.work_ms / 1e3).ln() - variance / 2.0, variance.sqrt());
            spread.map_or(p.work_ms / 1e3, |d| d.sample(&mut self.rng))
        } else {
            p.work_ms / 1e3
        };
        let zone = self.rng.random_range(0..self.scenario.zones);
        let (born, retries) = (self.now, self.scenario.clients.retries);
        self.requests.push(ClientRequest {
            product,
            tenant,
            work,
            zone,
            born,
            retries,
            tries: 0,
            done: false,
            closed,
            node: None,
            began: 0,
        });
        self.open_requests += 1;
        self.outcome.asked += 1;
        self.outcome.worth += p.payoff;
        let second = (born / SECOND) as usize;
        if self.outcome.asked_by_second.len() <= second {
            self.outcome.asked_by_second.resize(second + 1, 0.0);
            self.outcome.won_by_second.resize(second + 1, 0.0);
        }
        self.outcome.asked_by_second[second] += p.payoff;
        self.attempt(self.requests.len() - 1, 0);
    }

    pub(super) fn weighted(&mut self, weights: impl Fn(&Scenario) -> Vec<f64>) -> usize {
        let weights = weights(self.scenario);
        let mut draw = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (i, weight) in weights.iter().enumerate() {
            draw -= weight;
            if draw < 0.0 {
                return i;
            }
        }
        weights.len() - 1
    }

    /// A try of a client: it goes to a node of its zone, if one is there.
    pub(super) fn attempt(&mut self, request: usize, refusals: u32) {
        let zone = self.requests[request].zone;
        if refusals == 0 {
            self.requests[request].tries += 1;
            self.outcome.tries += 1;
        }
        let near = |w: &Self, near: bool| -> Vec<usize> {
            let in_rotation = |n: &usize| w.nodes[*n].in_rotation && (!near || w.nodes[*n].zone == zone);
            (0..w.nodes.len()).filter(in_rotation).collect()
        };
        let mut nodes = near(self, true);
        if nodes.is_empty() {
            nodes = near(self, false);
        }
        let attempt = self.attempts.len();
        let (sent, at) = (self.now, None);
        self.attempts.push(Attempt { request, sent, refusals, at, read: None, over: false, answered: false });
        let deadline = millis(self.scenario.products[self.requests[request].product].cut_off_ms);
        self.schedule_after(deadline, Event::ClientGivesUp { attempt, leaves: false });
        if self.scenario.clients.leave > 0.0 && self.rng.random::<f64>() < self.scenario.clients.leave {
            let span = self.rng.random_range(0..deadline.max(1));
            self.schedule_after(span, Event::ClientGivesUp { attempt, leaves: true });
        }
        let again = self.requests[request].node.filter(|_| self.scenario.clients.same_node);
        let drawn = (!nodes.is_empty()).then(|| nodes[self.rng.random_range(0..nodes.len())]);
        let Some(node) = again.or(drawn) else {
            return self.schedule_after(
                MILLISECOND,
                Event::ResponseAtClient { attempt, outcome: ClientOutcome::NoAnswer },
            );
        };
        self.requests[request].node = Some(node);
        self.attempts[attempt].at = Some((node, self.nodes[node].incarnation, 0));
        let way = self.client_way();
        self.schedule_after(way, Event::RequestAtNode { attempt });
    }

    pub(super) fn client_way(&mut self) -> Nanos {
        let jitter = 1.0 + self.scenario.network.jitter * self.rng.random::<f64>();
        millis(self.scenario.network.client_ms * jitter)
    }

    pub(super) fn at_node(&mut self, attempt: usize) {
        let Some((node, _, _)) = self.attempts[attempt].at.filter(|_| !self.attempts[attempt].over) else {
            return;
        };
        let state = &self.nodes[node];
        let Some(machine) = &state.machine else {
            return self.schedule_after(
                MILLISECOND,
                Event::ResponseAtClient { attempt, outcome: ClientOutcome::Refused },
            );
        };
        if machine.crowded() {
            return self.schedule_after(2 * MILLISECOND, Event::RequestAtNode { attempt });
        }
        let (incarnation, request) = (state.incarnation, &self.requests[self.attempts[attempt].request]);
        let p = &self.scenario.products[request.product];
        let (product, tenant) = (request.product as u8, request.tenant as u16);
        let marked = p.repeats == Repeats::Stamped || self.scenario.nodes.store;
        let stamp = marked.then(|| self.attempts[attempt].request.to_string().into());
        let id = Bytes::from(attempt.to_string());
        let shipment = Arc::new(Shipment { id, stamp, ..Shipment::default() });
        let patience = millis(p.cut_off_ms);
        let intake = Intake { product, tenant, patience, slots: p.slots, memory: 0.0, shipment };
        self.attempts[attempt].at = Some((node, incarnation, self.now));
        self.outcome.taken += 1;
        let memory = seconds(p.memory_s);
        // The node counts from when it reads it, for nothing tells it more.
        self.judge.taken(attempt, (node, incarnation), p.repeats, memory, self.now + patience);
        let client = attempt as Client;
        self.feed(node, incarnation, Input::ClientUp { client });
        self.feed(node, incarnation, Input::Submitted { client, intake });
    }

    pub(super) fn gives_up(&mut self, attempt: usize, leaves: bool) {
        let a = &self.attempts[attempt];
        if a.over {
            return;
        }
        let (answered, at) = (a.answered, a.at);
        self.attempts[attempt].over = true;
        if let Some((node, incarnation, _)) = at.filter(|(_, _, taken)| *taken > 0) {
            if !answered {
                // What was taken late, by the client's clock, or is left early is nobody's fault.
                let in_turn = self.attempts[attempt].sent + millis(self.scenario.rules.slack_ms);
                let read = self.attempts[attempt].read.is_some_and(|read| read <= in_turn);
                // Paused, it can do nothing; what it has not come to is still to be judged by others' rules.
                let paused = self.nodes[node].busy_until > self.now;
                if !leaves && !paused && read && self.nodes[node].incarnation == incarnation {
                    self.judge.breach(Rule::Lost, self.now, format!("{attempt}: its client gave up"));
                }
                self.judge.excuse(attempt);
            }
            self.feed(node, incarnation, Input::ClientGone { client: attempt as Client });
        }
        self.outcome.unanswered += 1;
        let request = self.attempts[attempt].request;
        if leaves {
            self.requests[request].retries = 0;
        }
        self.once_more(request, ClientOutcome::NoAnswer);
    }

    pub(super) fn back(&mut self, attempt: usize, outcome: ClientOutcome) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (request, refusals) = (a.request, a.refusals);
        match outcome {
            ClientOutcome::Satisfied => {
                let f = &mut self.requests[request];
                if !std::mem::replace(&mut f.done, true) {
                    let p = &self.scenario.products[f.product];
                    let took = (self.now - f.born) as f64 / 1e9;
                    let in_time = took <= p.agreed_ms / 1e3 + p.stretch * f.work;
                    let worth = if in_time { p.payoff } else { p.payoff * p.late_payoff };
                    self.outcome.in_time += u64::from(in_time);
                    self.outcome.won_by_second[(f.born / SECOND) as usize] += worth;
                    self.outcome.by_product[f.product] += worth;
                    self.outcome.by_tenant[f.tenant] += worth;
                    self.outcome.answer_times.push(took as f32);
                    self.useful_work += f.work;
                }
                self.over(request);
            }
            ClientOutcome::Refused if refusals < REFUSALS => {
                self.attempt(request, refusals + 1);
            }
            _ => {
                if matches!(outcome, ClientOutcome::NoAnswer | ClientOutcome::Refused) {
                    self.outcome.unanswered += 1;
                }
                self.once_more(request, outcome);
            }
        }
    }

    pub(super) fn once_more(&mut self, request: usize, outcome: ClientOutcome) {
        let (f, c) = (&mut self.requests[request], &self.scenario.clients);
        if f.done || f.retries == 0 {
            return self.over(request);
        }
        f.retries -= 1;
        let doubled = f64::from(1 << (f.tries - 1).min(10));
        let own = match c.backoff {
            Backoff::None => 0.0,
            Backoff::Fixed => c.wait_ms,
            Backoff::Exponential => c.wait_ms * doubled,
        };
        let own = millis(own * self.rng.random_range(0.5..1.5));
        let wait = match outcome {
            ClientOutcome::Dismissed(Some(come_back)) if self.rng.random::<f64>() < c.heed => {
                come_back.max(own)
            }
            _ => own,
        };
        self.schedule_after(wait, Event::ClientRetries { request });
    }

    pub(super) fn over(&mut self, request: usize) {
        self.open_requests -= 1;
        if let Some(client) = self.requests[request].closed {
            let think = millis(self.scenario.load.think_ms);
            self.schedule_after(think, Event::ClientAsks { client });
        }
    }
}
