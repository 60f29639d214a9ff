//! The event loop: event the nodes ask for goes into the world, event happens there comes back to them.

mod clients;
mod discovery;
mod effects;
mod event;
mod execution;
mod faults;
mod fleet;
mod network;
mod nodes;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use linestack_core::{Client, Effect, Input, Nanos};
use linestack_dispatch::types::Health;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::executor::{ConnectionId, Executor};
use crate::judge::Judge;
use crate::outcome::Outcome;
use crate::scenario::{Scenario, millis, seconds};
use crate::{Machine, Seat, Truth};
use clients::{Attempt, ClientRequest};
use event::{Event, Scheduled};
use execution::IdempotencyRecord;
use network::Connection;
use nodes::{DiscoveryWatch, NodeState};

const MILLISECOND: Nanos = 1_000_000;

const SECOND: Nanos = 1_000 * MILLISECOND;

/// Silent clients are numbered from here on.
const FLOOD_CLIENTS_FROM: Client = 1 << 60;

/// After the last client came, what still runs is waited for so long at most.
const GRACE_AFTER_SPAN: Nanos = 60 * SECOND;

struct World<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    now: Nanos,
    queue: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
    nodes: Vec<NodeState>,
    executors: Vec<Executor>,
    connections: BTreeMap<ConnectionId, Connection>,
    requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    /// Stamped work that a group remembers.
    idempotency: HashMap<(u16, usize), IdempotencyRecord>,
    listings: Vec<(Health, Nanos)>,
    discovery_down: bool,
    discovery_flaps: bool,
    discovery_busy_until: Nanos,
    reset_rate: f64,
    fault_targets: Vec<Vec<usize>>,
    judge: Judge,
    outcome: Outcome,
    truth: Arc<Mutex<Truth>>,
    maker: &'a dyn Fn(Seat) -> Box<dyn Machine>,
    effects: Vec<Effect>,
    next_flood_client: Client,
    useful_work: f64,
    open_requests: usize,
}

/// Plays a scenario that [`Scenario::check`] finds no fault with. `maker` makes the nodes.
pub fn run(s: &Scenario, maker: &dyn Fn(Seat) -> Box<dyn Machine>) -> Outcome {
    let mut world = World::new(s, maker);
    world.start();
    let end = seconds(s.span_s);
    while let Some(Reverse(item)) = world.queue.pop() {
        if item.at > end + GRACE_AFTER_SPAN || (item.at > end && world.open_requests == 0) {
            break;
        }
        world.now = item.at;
        world.outcome.events += 1;
        world.handle(item.event);
    }
    world.finish()
}

fn count(seconds: &mut Vec<u64>, at: Nanos) {
    let second = (at / SECOND) as usize;
    if seconds.len() <= second {
        seconds.resize(second + 1, 0);
    }
    seconds[second] += 1;
}

impl<'a> World<'a> {
    fn new(s: &'a Scenario, maker: &'a dyn Fn(Seat) -> Box<dyn Machine>) -> Self {
        let rules = &s.rules;
        let judge = Judge::new(
            millis(rules.drain_grace_ms),
            millis(rules.slack_ms),
            millis(rules.fall_window_ms),
            rules.fall_multiple,
        );
        let out = Outcome {
            scenario: s.name.clone(),
            seed: s.seed,
            by_product: vec![0.0; s.products.len()],
            by_tenant: vec![0.0; s.tenants.len()],
            ..Outcome::default()
        };
        Self {
            scenario: s,
            rng: Pcg64Mcg::seed_from_u64(s.seed),
            now: SECOND,
            queue: BinaryHeap::new(),
            number: 0,
            nodes: Vec::new(),
            executors: Vec::new(),
            connections: BTreeMap::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            idempotency: HashMap::new(),
            listings: Vec::new(),
            discovery_down: false,
            discovery_flaps: false,
            discovery_busy_until: 0,
            reset_rate: 0.0,
            fault_targets: vec![Vec::new(); s.troubles.len()],
            judge,
            outcome: out,
            truth: Arc::default(),
            maker,
            effects: Vec::new(),
            next_flood_client: FLOOD_CLIENTS_FROM,
            useful_work: 0.0,
            open_requests: 0,
        }
    }

    fn schedule_at(&mut self, at: Nanos, event: Event) {
        self.number += 1;
        let item = Scheduled { at: at.max(self.now), number: self.number, event };
        self.queue.push(Reverse(item));
    }

    fn schedule_after(&mut self, span: Nanos, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    fn start(&mut self) {
        // A small part of a second is left before the request client, for lists and probes.
        self.now = 0;
        for (spec, e) in self.scenario.executors.iter().enumerate() {
            for i in 0..e.count {
                let zone = ((i as usize + spec) % usize::from(self.scenario.zones)) as u16;
                self.join(spec, zone);
            }
        }
        self.listings = self.executors.iter().map(|_| (Health::Ready, 0)).collect();
        for node in 0..self.scenario.nodes.count as usize {
            let zone = (node % usize::from(self.scenario.zones)) as u16;
            self.nodes.push(NodeState {
                machine: None,
                incarnation: 0,
                zone,
                in_rotation: false,
                stopping: false,
                timer_at: Nanos::MAX,
                busy_until: 0,
                paused_until: 0,
                inbox: VecDeque::new(),
                resume_scheduled: false,
                watch: DiscoveryWatch::Off,
                cpu_per_input: self.scenario.nodes.cpu_us * 1e3,
                persisted: Vec::new(),
            });
            lock(&self.truth).places.push(Vec::new());
            let spread = self.rng.random_range(0..100 * MILLISECOND);
            self.schedule_after(spread, Event::NodeStarts { node });
        }
        let begins = 200 * MILLISECOND;
        if self.scenario.load.closed > 0 {
            for client in 0..self.scenario.load.closed as usize {
                let spread = self.rng.random_range(0..100 * MILLISECOND);
                self.schedule_at(begins + spread, Event::ClientAsks { client });
            }
        } else {
            self.schedule_at(begins, Event::ClientArrives);
        }
        for (fault, t) in self.scenario.troubles.iter().enumerate() {
            self.schedule_at(seconds(t.at_s), Event::FaultChanges { fault, begins: true });
            self.schedule_at(seconds(t.at_s + t.for_s), Event::FaultChanges { fault, begins: false });
        }
        self.schedule_at(SECOND, Event::JudgeSweeps);
    }

    fn finish(mut self) -> Outcome {
        self.judge.sweep(self.now + GRACE_AFTER_SPAN);
        self.outcome.breaches = std::mem::take(&mut self.judge.breaches);
        self.outcome.broken = self.judge.broken;
        self.outcome.work_by_executor = self.executors.iter().map(|e| e.worked).collect();
        let worked: f64 = self.outcome.work_by_executor.iter().sum();
        self.outcome.waste = if worked > 0.0 { (1.0 - self.useful_work / worked).max(0.0) } else { 0.0 };
        self.outcome.finish(self.scenario);
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientArrives => self.arrives(),
            Event::ClientAsks { client } => {
                if self.now < seconds(self.scenario.span_s) {
                    self.ask(Some(client));
                }
            }
            Event::RequestAtNode { attempt } => self.at_node(attempt),
            Event::ResponseAtClient { attempt, outcome } => self.back(attempt, outcome),
            Event::ClientGivesUp { attempt, leaves } => self.gives_up(attempt, leaves),
            Event::ClientRetries { request } => self.attempt(request, 0),
            Event::NodeInput { node, incarnation, input } => self.feed(node, incarnation, input),
            Event::NodeResumes { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.nodes[node].resume_scheduled = false;
                    self.work(node);
                }
            }
            Event::NodeTimer { node, incarnation, at } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].timer_at == at {
                    self.nodes[node].timer_at = Nanos::MAX;
                    self.feed(node, incarnation, Input::Tick);
                }
            }
            Event::ConnectAtExecutor { connection } => self.syn(connection),
            Event::ConnectedAtNode { connection } => {
                let up = self.connections.get_mut(&connection).filter(|c| !c.closed);
                if up.map(|c| c.up = true).is_some() {
                    self.feed(
                        connection.node,
                        connection.incarnation,
                        Input::LinkUp { link: connection.link },
                    );
                }
            }
            Event::DisconnectedAtNode { connection, broken } => self.down(connection, broken),
            Event::ClosedAtExecutor { connection } => self.fin(connection),
            Event::JobAtExecutor { connection, attempt } => self.request(connection, attempt),
            Event::ProbeAtExecutor { connection } => self.probe(connection),
            Event::ProbeReplyAtNode { connection, answered, report } => {
                if self.heard(connection) {
                    let link = connection.link;
                    self.feed(
                        connection.node,
                        connection.incarnation,
                        Input::Probed { link, answered, report },
                    );
                    self.feed(connection.node, connection.incarnation, Input::Freed { link, named: true });
                }
            }
            Event::ReplyAtNode { connection, attempt, outcome, report } => {
                self.reply(connection, attempt, outcome, report)
            }
            Event::NoticeAtNode { connection, attempt } => {
                let on = self.connections.get(&connection).is_some_and(|c| c.busy == Some(Some(attempt)));
                if on {
                    self.feed(
                        connection.node,
                        connection.incarnation,
                        Input::Noted { link: connection.link },
                    );
                }
            }
            Event::ProgressDue { executor, incarnation, connection, attempt } => {
                let e = &self.executors[executor];
                let running = e.incarnation == incarnation
                    && e.running.iter().any(|j| j.attempt == attempt && j.connection == connection);
                if running {
                    if !e.is_stalled() {
                        self.pass_to_node(connection, Event::NoticeAtNode { connection, attempt });
                    }
                    let again = Event::ProgressDue { executor, incarnation, connection, attempt };
                    self.schedule_after(seconds(self.scenario.progress_s), again);
                }
            }
            Event::ExecutorWakes { executor, wake } => {
                if self.executors[executor].wake == wake {
                    self.turn(executor);
                }
            }
            Event::FaultChanges { fault, begins } => self.trouble(fault, begins),
            Event::FaultToggles { fault, executor, on } => self.step(fault, executor, on),
            Event::DiscoveryPublishes { executor, health, started } => {
                self.publish(executor, health, started)
            }
            Event::DiscoveryCall { node, incarnation } => self.call(node, incarnation),
            Event::NodeStarts { node } => self.starts(node),
            Event::NodeKilled { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].machine.is_some() {
                    self.node_ends(node);
                }
            }
            Event::NodeStops { node } => self.stops(node),
            Event::HealthChecked { node } => {
                let state = &mut self.nodes[node];
                state.in_rotation = state.machine.as_ref().is_some_and(|m| m.ready(self.now));
            }
            Event::ExecutorDrains { executor } => self.drains(executor),
            Event::ExecutorLeaves { executor } => {
                self.executor_ends(executor, true);
                self.announce(executor, Health::Gone, false);
            }
            Event::ExecutorJoins { spec, zone } => {
                let executor = self.join(spec, zone);
                self.executors[executor].started = self.now;
                self.announce(executor, Health::Ready, false);
            }
            Event::FloodConnects { fault, node } => self.flood(fault, node),
            Event::RecordPersisted { node, incarnation, keep, ticket } => {
                // What a kill finds on its way to the disk is lost.
                if self.nodes[node].incarnation == incarnation && self.nodes[node].machine.is_some() {
                    self.nodes[node].persisted.push(keep);
                    if let Some(ticket) = ticket {
                        self.feed(node, incarnation, Input::Kept { ticket, lasts: true });
                    }
                }
            }
            Event::JudgeSweeps => {
                self.judge.sweep(self.now);
                let now = self.now;
                self.idempotency.retain(|_, m| m.held > 0 || m.until > now);
                self.schedule_after(SECOND, Event::JudgeSweeps);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
