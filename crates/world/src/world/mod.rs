//! The simulation loop: effects of nodes are carried out on a model of their environment, whose events become
//! inputs of the nodes.
//!
//! | module | what it models |
//! | --- | --- |
//! | `event`, `dispatch` | the event queue, and routing of events to handlers |
//! | `load`, `clients` | when submissions are made, and how clients wait and retry |
//! | `nodes`, `effects` | the nodes' processes, and their effects |
//! | `network` | connections between nodes and executors |
//! | `delivery`, `execution`, `idempotency` | delivery and execution of jobs, and the memory of idempotency keys |
//! | `fleet` | executors joining, starting, draining and ending |
//! | `discovery` | the list of executors, and who receives changes |
//! | `faults` | the faults of a scenario |

mod clients;
mod delivery;
mod discovery;
mod dispatch;
mod effects;
mod event;
mod execution;
mod faults;
mod fleet;
mod idempotency;
mod load;
mod network;
mod nodes;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use linestack_core::{ClientId, Effect, Nanos};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use self::clients::{Attempt, ClientRequest};
use self::discovery::Discovery;
use self::event::{Event, EventQueue, FaultPhase};
use self::idempotency::{IdempotencyKey, IdempotencyRecord};
use self::network::Connection;
use self::nodes::NodeState;
use crate::cold::ColdLoadLimit;
use crate::executor::{ConnectionId, Executor};
use crate::judge::Judge;
use crate::outcome::Outcome;
use crate::scenario::{Rules, Scenario, millis_to_nanos, seconds_to_nanos};
use crate::{GroundTruth, NodeSetup, SimulatedNode};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// The number of the first client of a flood, above all indices of attempts.
const FIRST_FLOOD_CLIENT: ClientId = 1 << 60;

/// The maximum time that the simulation continues after the span, for submissions that are still open.
const MAX_TIME_AFTER_SPAN: Nanos = 60 * SECOND;

/// Nodes and closed-loop clients start at random times within this interval, not all at once.
const START_SPREAD: Nanos = 100 * MILLISECOND;

/// The time of the first submission. Until then nodes get their lists and probe executors.
const LOAD_START: Nanos = 200 * MILLISECOND;

/// The state of a simulation.
struct World<'a> {
    scenario: &'a Scenario,
    /// The only source of random numbers.
    rng: Pcg64Mcg,
    now: Nanos,
    queue: EventQueue,
    nodes: Vec<NodeState>,
    executors: Vec<Executor>,
    connections: BTreeMap<ConnectionId, Connection>,
    requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    /// The idempotency keys that groups of executors remember.
    idempotency: HashMap<IdempotencyKey, IdempotencyRecord>,
    discovery: Discovery,
    /// The fraction of sends whose connection is reset.
    reset_rate: f64,
    /// By fault of the scenario: the nodes or executors that were drawn when it began.
    fault_targets: Vec<Vec<usize>>,
    judge: Judge,
    outcome: Outcome,
    ground_truth: Arc<Mutex<GroundTruth>>,
    make_node: &'a dyn Fn(NodeSetup) -> Box<dyn SimulatedNode>,
    /// An empty buffer for a node's effects, kept to reuse its allocation.
    effects: Vec<Effect>,
    next_flood_client: ClientId,
    /// The seconds of work of the satisfied submissions.
    useful_work_s: f64,
    /// The number of submissions that are neither satisfied nor given up by their clients.
    open_requests: usize,
}

/// Simulates a scenario, which must pass [`Scenario::validate`]. `make_node` builds the nodes.
///
/// The same scenario with the same kind of nodes gives the same outcome, byte for byte.
pub fn run(s: &Scenario, make_node: &dyn Fn(NodeSetup) -> Box<dyn SimulatedNode>) -> Outcome {
    let mut world = World::new(s, make_node);
    world.set_up();
    let end = seconds_to_nanos(s.span_s);
    while let Some((at, event)) = world.queue.pop() {
        let all_ended = at > end && world.open_requests == 0;
        if all_ended || at > end + MAX_TIME_AFTER_SPAN {
            break;
        }
        world.now = at;
        world.outcome.events += 1;
        world.handle(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, make_node: &'a dyn Fn(NodeSetup) -> Box<dyn SimulatedNode>) -> Self {
        Self {
            scenario,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            now: 0,
            queue: EventQueue::default(),
            nodes: Vec::new(),
            executors: Vec::new(),
            connections: BTreeMap::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            idempotency: HashMap::new(),
            discovery: Discovery::default(),
            reset_rate: 0.0,
            fault_targets: vec![Vec::new(); scenario.faults.len()],
            judge: new_judge(&scenario.rules),
            outcome: empty_outcome(scenario),
            ground_truth: Arc::default(),
            make_node,
            effects: Vec::new(),
            next_flood_client: FIRST_FLOOD_CLIENT,
            useful_work_s: 0.0,
            open_requests: 0,
        }
    }

    /// Schedules an event. If its time has passed, it happens now.
    fn schedule_at(&mut self, at: Nanos, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    fn schedule_after(&mut self, delay: Nanos, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Creates executors and nodes, and schedules the first events.
    fn set_up(&mut self) {
        self.set_up_executors();
        self.set_up_nodes();
        self.set_up_load();
        self.set_up_faults();
        self.schedule_at(SECOND, Event::Sweep);
    }

    fn set_up_nodes(&mut self) {
        for node in 0..self.scenario.nodes.count as usize {
            let zone = (node % usize::from(self.scenario.zones)) as u16;
            self.nodes.push(NodeState::new(zone, self.scenario.nodes.cpu_us));
            lock(&self.ground_truth).executor_of_worker.push(Vec::new());
            let offset = self.rng.random_range(0..START_SPREAD);
            self.schedule_after(offset, Event::NodeStarts { node });
        }
    }

    fn set_up_load(&mut self) {
        if self.scenario.load.closed == 0 {
            return self.schedule_at(LOAD_START, Event::ClientArrives);
        }
        for client in 0..self.scenario.load.closed as usize {
            let offset = self.rng.random_range(0..START_SPREAD);
            self.schedule_at(LOAD_START + offset, Event::ClosedClientSubmits { client });
        }
    }

    fn set_up_faults(&mut self) {
        for (fault, spec) in self.scenario.faults.iter().enumerate() {
            let (begin, end) = (seconds_to_nanos(spec.at_s), seconds_to_nanos(spec.at_s + spec.for_s));
            self.schedule_at(begin, Event::FaultChanges { fault, phase: FaultPhase::Begins });
            self.schedule_at(end, Event::FaultChanges { fault, phase: FaultPhase::Ends });
        }
    }

    /// Drops expired state and lets the judge report overdue submissions, once per second.
    fn sweep(&mut self) {
        self.judge.sweep(self.now);
        self.drop_expired_keys();
        self.schedule_after(SECOND, Event::Sweep);
    }

    fn finish(mut self) -> Outcome {
        self.judge.sweep(self.now + MAX_TIME_AFTER_SPAN);
        self.outcome.breaches = std::mem::take(&mut self.judge.breaches);
        self.outcome.broken = self.judge.breach_count;
        self.outcome.work_by_executor = self.executors.iter().map(|e| e.done_work_s).collect();
        self.outcome.waste = self.wasted_share();
        self.outcome.compute_figures(self.scenario);
        self.outcome
    }

    /// Returns the fraction of all executed work that did not contribute to a result.
    fn wasted_share(&self) -> f64 {
        let done_work_s: f64 = self.outcome.work_by_executor.iter().sum();
        if done_work_s > 0.0 { (1.0 - self.useful_work_s / done_work_s).max(0.0) } else { 0.0 }
    }
}

fn new_judge(rules: &Rules) -> Judge {
    let cold_limit = ColdLoadLimit {
        overload_factor: rules.overload_factor,
        window: millis_to_nanos(rules.overload_window_ms),
    };
    Judge::new(millis_to_nanos(rules.drain_grace_ms), millis_to_nanos(rules.tolerance_ms), cold_limit)
}

fn empty_outcome(scenario: &Scenario) -> Outcome {
    Outcome {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        by_product: vec![0.0; scenario.products.len()],
        by_tenant: vec![0.0; scenario.tenants.len()],
        ..Outcome::default()
    }
}

/// Increments the count of the second that contains `at`.
fn count_in_second(counts: &mut Vec<u64>, at: Nanos) {
    let second = (at / SECOND) as usize;
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    counts[second] += 1;
}

/// Locks a mutex whose holders keep it consistent between statements.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
