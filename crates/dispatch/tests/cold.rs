//! A cold worker among many independent dispatchers. In each overload window, all of them together may send it
//! the N jobs that it can handle, plus 2 * sqrt(N) + 2 for chance; and they use a part of this budget.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use linestack_dispatch::decide::Dispatcher;
use linestack_dispatch::types::*;
use rstest::rstest;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const BASE: Nanos = 5_000 * SECOND;
const ANSWER_TIME: Nanos = 300 * MS;
/// Longer than the latency target, which is a node's estimate of the answer time before the first answer.
const LONG_ANSWER_TIME: Nanos = 900 * MS;
const SLOTS: f32 = 4.0;
const WARM_WORKERS: Worker = 24;
const COLD_WORKER: Worker = WARM_WORKERS;
const SLOW_START: Nanos = 8 * SECOND;
const COLD_CAPACITY_SHARE: f64 = 0.3;
const OVERLOAD_FACTOR: f64 = 2.5;
const OVERLOAD_WINDOW: Nanos = SECOND;
/// When the cold worker starts: after the nodes have measured the answer times.
const COLD_START_AT: Nanos = 12 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    Even,
    /// One node in ten gets eight times the submissions of another.
    Uneven,
    /// Every third second has six times the submissions of the others, at all nodes at once.
    Bursts,
    /// Most of a second's submissions come within 100 ms, at all nodes at once.
    Spikes,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    None,
    /// Half of the nodes restart one second after the cold worker has started.
    Restarts,
    /// A third of the nodes learns of the cold worker and its start 2 s late.
    LateList,
    /// Most other workers are full and refuse jobs, so that each submission is retried again and again.
    Full,
    /// All nodes restart half a second after the cold worker has started, and their quotas are a fifth of what is
    /// submitted.
    LowQuotas,
}

/// The part of the submissions that the quotas account for under [`Disturbance::LowQuotas`].
const LOW_QUOTA_SHARE: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
struct Workload {
    took: Nanos,
    /// The submitted work as a part of the warm workers' capacity.
    load: f64,
}

const TYPICAL_WORKLOAD: Workload = Workload { took: ANSWER_TIME, load: 0.6 };
/// More than the warm workers can handle, so that the cold one gets all that slow start allows.
const LONG_WORKLOAD: Workload = Workload { took: LONG_ANSWER_TIME, load: 1.5 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Submit(usize),
    End { node: usize, submission: Submission, execution: Execution, worker: Worker, refused: bool },
    Timer(usize),
    List(usize),
    Restart(usize),
}

struct Node {
    dispatcher: Dispatcher,
    next_submission: Submission,
    /// The number of executions of each submission.
    executions: Vec<Execution>,
}

impl Node {
    fn executions_of(&mut self, submission: Submission) -> &mut Execution {
        let at = submission as usize;
        if self.executions.len() <= at {
            self.executions.resize(at + 1, 0);
        }
        &mut self.executions[at]
    }
}

struct Simulation {
    /// Jobs are not separated by the restarts of their node: the end of an earlier job may go to the restarted
    /// node, which doesn't know the job or takes it for its own.
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Occurrence)>>,
    next_sequence: u64,
    /// The jobs that each worker holds.
    active_jobs: Vec<f32>,
    /// When the cold worker was sent each of its jobs.
    sent: Vec<Nanos>,
    took: Nanos,
    disturbance: Disturbance,
}

fn config(seed: u64, nodes: u32, rate: f64) -> DispatchConfig {
    let product = Product {
        repeat_policy: RepeatPolicy::Idempotent,
        latency_target: 400 * MS,
        latency_target_factor: 1.25,
        payoff: 1.0,
        late_payoff: 0.5,
        allowed_kinds: None,
        allowed_zones: None,
    };
    DispatchConfig {
        seed,
        nodes,
        zone: 0,
        products: vec![product],
        quotas: vec![rate],
        excess_payoff: 0.2,
        probe_cost: 0.002,
        zone_crossing_cost: 0.0,
        connection_cost: 0.0,
        max_executions: 3,
        may_duplicate: true,
        may_probe: true,
        may_cancel: true,
        retry_after: Some(2 * SECOND),
        connect_timeout: 250 * MS,
        idle_timeout: 60 * SECOND,
        deadline_margin: 16 * MS,
        cold_capacity_share: COLD_CAPACITY_SHARE,
        slow_start_duration: SLOW_START,
        overload_factor: OVERLOAD_FACTOR,
        overload_window: OVERLOAD_WINDOW,
        list_refresh_limit: None,
        progress_interval: Some(SECOND),
        reports_start: false,
        weights_are_sizes: false,
        counts_memory: false,
    }
}

fn entry(worker: Worker) -> WorkerEntry {
    let started = if worker == COLD_WORKER { BASE + COLD_START_AT } else { 0 };
    WorkerEntry { worker, health: Health::Ready, started, ..WorkerEntry::default() }
}

impl Simulation {
    fn schedule(&mut self, at: Nanos, occurrence: Occurrence) {
        self.next_sequence += 1;
        self.queue.push(Reverse((at, self.next_sequence, occurrence)));
    }

    fn decide(&mut self, now: Nanos, node: usize, event: Event<'_>) {
        let actions = self.nodes[node].dispatcher.decide(BASE + now, event).to_vec();
        for action in actions {
            match action {
                Action::Execute { submission, worker, .. } => {
                    let executions = self.nodes[node].executions_of(submission);
                    let execution = *executions;
                    *executions += 1;
                    if worker == COLD_WORKER {
                        self.sent.push(now);
                    }
                    let crowded =
                        self.disturbance == Disturbance::Full && now > COLD_START_AT && worker % 4 != 0;
                    let refused = worker != COLD_WORKER
                        && (crowded || self.active_jobs[worker as usize] >= 2.0 * SLOTS);
                    self.active_jobs[worker as usize] += f32::from(u8::from(!refused));
                    let took = if refused { 2 * MS } else { self.took };
                    self.schedule(
                        now + took,
                        Occurrence::End { node, submission, execution, worker, refused },
                    );
                }
                Action::Probe { worker } => {
                    let report = Some(self.report(worker));
                    self.decide(now, node, Event::Probed { worker, outcome: ProbeOutcome::Answered, report });
                }
                Action::SetTimer { at, .. } => {
                    self.schedule((at - BASE).max(now + 1), Occurrence::Timer(node))
                }
                _ => {}
            }
        }
    }

    fn report(&self, worker: Worker) -> Report {
        let active_jobs = self.active_jobs[worker as usize];
        let (free, queued) = ((SLOTS - active_jobs).max(0.0), (active_jobs - SLOTS).max(0.0));
        Report {
            free_slots: Some(free),
            queued_jobs: Some(queued),
            active_jobs: Some(active_jobs),
            free_memory: None,
        }
    }
}

/// Returns when nodes restart under a disturbance that restarts any.
fn restart_at(disturbance: Disturbance) -> Nanos {
    COLD_START_AT + if disturbance == Disturbance::LowQuotas { SECOND / 2 } else { SECOND }
}

/// Returns the jobs that the cold worker can handle in a window that begins at `at`.
fn permitted_jobs(at: Nanos, took: Nanos) -> f64 {
    let warmth = (at.saturating_sub(COLD_START_AT) as f64 / SLOW_START as f64).min(1.0);
    let capacity_share = COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * warmth;
    OVERLOAD_FACTOR * capacity_share * f64::from(SLOTS) * OVERLOAD_WINDOW as f64 / took as f64
}

struct BudgetUse {
    /// The largest ratio of sent to permitted jobs in any window.
    worst_window: f64,
    /// The part of the budget that was used.
    used: f64,
}

/// Simulates the nodes and workers, and returns what the nodes sent to the cold worker.
fn simulate(
    seed: u64,
    nodes: usize,
    traffic: Traffic,
    disturbance: Disturbance,
    workload: Workload,
) -> BudgetUse {
    let mut rng = fastrand::Rng::with_seed(seed);
    let rate = workload.load * f64::from(WARM_WORKERS) * f64::from(SLOTS) * 1e9 / workload.took as f64;
    let quota_share = if disturbance == Disturbance::LowQuotas { LOW_QUOTA_SHARE } else { 1.0 };
    let new_node = |seed, cold| {
        let mut dispatcher = Dispatcher::new(config(seed, nodes as u32, rate * quota_share));
        let entries: Vec<_> = (0..WARM_WORKERS + u32::from(cold)).map(entry).collect();
        let now = BASE + if cold { restart_at(disturbance) } else { 1 };
        let _ = dispatcher.decide(now, Event::ListReceived { kind: ListKind::Cached, entries: &entries });
        Node { dispatcher, next_submission: 0, executions: Vec::new() }
    };
    let mut simulation = Simulation {
        nodes: (0..nodes).map(|i| new_node(seed * 1_000 + i as u64, false)).collect(),
        queue: BinaryHeap::new(),
        next_sequence: 0,
        active_jobs: vec![0.0; WARM_WORKERS as usize + 1],
        sent: Vec::new(),
        took: workload.took,
        disturbance,
    };
    let weights: Vec<f64> =
        (0..nodes).map(|i| if traffic == Traffic::Uneven && i % 10 == 0 { 8.0 } else { 1.0 }).collect();
    let total_weight: f64 = weights.iter().sum();
    let end = COLD_START_AT + SLOW_START;
    // Arrivals are drawn for all nodes together, and each is then assigned to one.
    let mut at = 0.0;
    while (at as Nanos) < end {
        let rate_factor = match traffic {
            Traffic::Even | Traffic::Uneven => 1.0,
            Traffic::Bursts if ((at / 1e9) as u64).is_multiple_of(3) => 2.25,
            Traffic::Bursts => 0.375,
            Traffic::Spikes if ((at / 1e8) as u64).is_multiple_of(10) => 7.0,
            Traffic::Spikes => 0.333,
        };
        at += -rng.f64().max(1e-12).ln() * 1e9 / (rate * rate_factor);
        let mut remaining = rng.f64() * total_weight;
        let node = weights.iter().position(|w| {
            remaining -= w;
            remaining < 0.0
        });
        simulation.schedule(at as Nanos, Occurrence::Submit(node.unwrap_or(0)));
    }
    for node in 0..nodes {
        let late = disturbance == Disturbance::LateList && node % 3 == 0;
        simulation.schedule(COLD_START_AT + if late { 2 * SECOND } else { 0 }, Occurrence::List(node));
        if disturbance == Disturbance::LowQuotas || disturbance == Disturbance::Restarts && node % 2 == 0 {
            simulation.schedule(restart_at(disturbance), Occurrence::Restart(node));
        }
    }
    while let Some(Reverse((now, _, occurrence))) = simulation.queue.pop() {
        if now > end {
            break;
        }
        match occurrence {
            Occurrence::Submit(node) => {
                let submission = simulation.nodes[node].next_submission;
                simulation.nodes[node].next_submission += 1;
                let job =
                    Job { product: 0, tenant: 0, deadline: BASE + now + 4 * SECOND, slots: 1.0, memory: 0.0 };
                simulation.decide(now, node, Event::Submitted { submission, job });
            }
            Occurrence::End { node, submission, execution, worker, refused } => {
                simulation.active_jobs[worker as usize] -= f32::from(u8::from(!refused));
                let report = Some(simulation.report(worker));
                let outcome = if refused { Outcome::Overloaded } else { Outcome::Completed };
                let ending = Ending {
                    submission,
                    execution,
                    worker,
                    outcome,
                    closed: !refused,
                    took: workload.took,
                    report,
                };
                // An end is dropped if the node was restarted and has no such submission since.
                if (submission as usize) < simulation.nodes[node].executions.len() {
                    simulation.decide(now, node, Event::Ended(ending));
                }
            }
            Occurrence::Timer(node) => simulation.decide(now, node, Event::TimerFired { timer_id: 0 }),
            Occurrence::List(node) => {
                let entries = [entry(COLD_WORKER)];
                simulation.decide(
                    now,
                    node,
                    Event::ListReceived { kind: ListKind::Changes, entries: &entries },
                );
            }
            Occurrence::Restart(node) => simulation.nodes[node] = new_node(seed * 7_000 + node as u64, true),
        }
    }
    let mut window = VecDeque::new();
    let mut worst: f64 = 0.0;
    for &at in &simulation.sent {
        window.push_back(at);
        while window.front().is_some_and(|first| first + OVERLOAD_WINDOW <= at) {
            window.pop_front();
        }
        let n = permitted_jobs(at.saturating_sub(OVERLOAD_WINDOW).max(COLD_START_AT), workload.took);
        worst = worst.max(window.len() as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    let budget: f64 = (0..SLOW_START / OVERLOAD_WINDOW)
        .map(|w| permitted_jobs(COLD_START_AT + w * OVERLOAD_WINDOW, workload.took))
        .sum();
    BudgetUse { worst_window: worst, used: simulation.sent.len() as f64 / budget }
}

#[rstest]
fn all_nodes_together_stay_within_the_budget_and_use_it(
    #[values(2, 3, 20, 30, 300)] nodes: usize,
    #[values(Traffic::Even, Traffic::Uneven, Traffic::Bursts, Traffic::Spikes)] traffic: Traffic,
    #[values(
        Disturbance::None,
        Disturbance::Restarts,
        Disturbance::LateList,
        Disturbance::Full,
        Disturbance::LowQuotas
    )]
    disturbance: Disturbance,
) {
    let results: Vec<_> =
        (1..=10).map(|seed| simulate(seed, nodes, traffic, disturbance, TYPICAL_WORKLOAD)).collect();
    let worst = results.iter().map(|r| r.worst_window).fold(0.0, f64::max);
    let used = results.iter().map(|r| r.used).sum::<f64>() / results.len() as f64;
    println!(
        "{nodes:4} {traffic:?} {disturbance:?}: worst window {worst:.2} of the permitted jobs, {used:.2} of the budget used"
    );
    assert!(worst <= 1.0, "worst window {worst:.2}");
    assert!(used >= 0.15, "used {used:.2}");
}

/// If each node gets few submissions and answers, its initial estimate of a job's work must not persist once
/// answers come.
#[rstest]
fn long_jobs_of_which_each_node_gets_few_stay_within_the_budget(
    #[values(Traffic::Even, Traffic::Uneven, Traffic::Bursts)] traffic: Traffic,
    #[values(Disturbance::None, Disturbance::Restarts, Disturbance::LateList)] disturbance: Disturbance,
) {
    let results: Vec<_> =
        (1..=40).map(|seed| simulate(seed, 100, traffic, disturbance, LONG_WORKLOAD)).collect();
    let worst = results.iter().map(|r| r.worst_window).fold(0.0, f64::max);
    let used = results.iter().map(|r| r.used).sum::<f64>() / results.len() as f64;
    println!(
        "{traffic:?} {disturbance:?}: worst window {worst:.2} of the permitted jobs, {used:.2} of the budget used"
    );
    assert!(worst <= 1.0, "worst window {worst:.2}");
    assert!(used >= 0.15, "used {used:.2}");
}
