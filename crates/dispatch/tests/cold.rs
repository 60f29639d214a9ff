//! A cold worker among many independent dispatchers: what all of them send it together stays within the budget of N jobs
//! in the stated window, of which chance may pass 2 x root of N + 2, and the budget is used.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use linestack_dispatch::decide::Dispatcher;
use linestack_dispatch::types::*;
use rstest::rstest;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const BASE: Nanos = 5_000 * SECOND;
const TOOK: Nanos = 300 * MS;
/// Longer than the agreed time, which is all that a node knows of a product before its first answer.
const TOOK_LONG: Nanos = 900 * MS;
const SLOTS: f32 = 4.0;
const WARM: Worker = 24;
const COLD: Worker = WARM;
const COLD_FOR: Nanos = 8 * SECOND;
const COLD_FROM: f64 = 0.3;
const MULTIPLE: f64 = 2.5;
const WINDOW: Nanos = SECOND;
/// The cold one starts then, after the nodes have learned what jobs take.
const START: Nanos = 12 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    Even,
    /// One node in ten gets eight times what another gets.
    Uneven,
    /// A second in three brings six times what the others bring, to all at once.
    Bursts,
    /// Silence, and then a whole second's worth in 100 ms, at all at once.
    Volleys,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Half of the processes start afresh, a second into the ramp.
    Restarts,
    /// A third hears of the start 2 s late, of the worker with it.
    LateList,
    /// Most others are full and turn jobs away, so that each is asked for again and again.
    Full,
}

/// What is submitted.
#[derive(Clone, Copy, Debug)]
struct Jobs {
    took: Nanos,
    /// As a part of what the warm ones can do.
    load: f64,
}

const USUAL: Jobs = Jobs { took: TOOK, load: 0.6 };
/// More than the others can take, so that the cold one gets all that slow start allows.
const LONG: Jobs = Jobs { took: TOOK_LONG, load: 1.5 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Submit(usize),
    End(usize, Submission, Execution, Worker, bool),
    Ring(usize),
    List(usize),
    Restart(usize),
}

struct World {
    nodes: Vec<(Dispatcher, Submission, Vec<Nanos>)>,
    /// Each with its next submission, and how often each was executed. Whether a job belongs to an earlier life of its node
    /// is not followed: its end may be told to the later one, which knows nothing of it or takes it for its own.
    queue: BinaryHeap<Reverse<(Nanos, u64, Happening)>>,
    next: u64,
    held: Vec<f32>,
    sent: Vec<Nanos>,
    took: Nanos,
    trouble: Trouble,
}

fn terms(seed: u64, nodes: u32, rate: f64) -> DispatchConfig {
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
        cold_capacity_share: COLD_FROM,
        slow_start_duration: COLD_FOR,
        overload_factor: MULTIPLE,
        overload_window: WINDOW,
        list_refresh_limit: None,
        progress_interval: Some(SECOND),
        reports_start: false,
        weights_are_sizes: false,
        counts_memory: false,
    }
}

fn listing(worker: Worker) -> WorkerEntry {
    let started = if worker == COLD { BASE + START } else { 0 };
    WorkerEntry { worker, health: Health::Ready, started, ..WorkerEntry::default() }
}

impl World {
    fn at(&mut self, at: Nanos, what: Happening) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, what)));
    }

    fn decide(&mut self, now: Nanos, node: usize, event: Event<'_>) {
        let orders = self.nodes[node].0.decide(BASE + now, event).to_vec();
        for order in orders {
            match order {
                Action::Execute { submission, worker, .. } => {
                    let tried = self.nodes[node].2.entry(submission);
                    let execution = *tried as Execution;
                    *tried += 1;
                    if worker == COLD {
                        self.sent.push(now);
                    }
                    let crowded = self.trouble == Trouble::Full && now > START && worker % 4 != 0;
                    let full = worker != COLD && (crowded || self.held[worker as usize] >= 2.0 * SLOTS);
                    self.held[worker as usize] += f32::from(u8::from(!full));
                    let took = if full { 2 * MS } else { self.took };
                    self.at(now + took, Happening::End(node, submission, execution, worker, full));
                }
                Action::Probe { worker } => {
                    let report = Some(self.report(worker));
                    self.decide(now, node, Event::Probed { worker, answered: Some(true), report });
                }
                Action::SetTimer { at, .. } => self.at((at - BASE).max(now + 1), Happening::Ring(node)),
                _ => {}
            }
        }
    }

    fn report(&self, worker: Worker) -> Report {
        let held = self.held[worker as usize];
        let (free, waiting) = ((SLOTS - held).max(0.0), (held - SLOTS).max(0.0));
        Report {
            free_slots: Some(free),
            queued_jobs: Some(waiting),
            active_jobs: Some(held),
            free_memory: None,
        }
    }
}

/// How often each submission was executed.
trait Tries {
    fn entry(&mut self, submission: Submission) -> &mut Nanos;
}

impl Tries for Vec<Nanos> {
    fn entry(&mut self, submission: Submission) -> &mut Nanos {
        let at = submission as usize;
        if self.len() <= at {
            self.resize(at + 1, 0);
        }
        &mut self[at]
    }
}

/// What the settings allow the cold one in a window that begins then.
fn allowed(at: Nanos, took: Nanos) -> f64 {
    let warmth = (at.saturating_sub(START) as f64 / COLD_FOR as f64).min(1.0);
    let present = COLD_FROM + (1.0 - COLD_FROM) * warmth;
    MULTIPLE * present * f64::from(SLOTS) * WINDOW as f64 / took as f64
}

/// The worst window, as what was sent over what may be, and the part of the budget that was used.
fn play(seed: u64, nodes: usize, traffic: Traffic, trouble: Trouble, jobs: Jobs) -> (f64, f64) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let rate = jobs.load * f64::from(WARM) * f64::from(SLOTS) * 1e9 / jobs.took as f64;
    let fresh = |seed, cold| {
        let mut dispatcher = Dispatcher::new(terms(seed, nodes as u32, rate));
        let entries: Vec<_> = (0..WARM + u32::from(cold)).map(listing).collect();
        let now = BASE + if cold { START + SECOND } else { 1 };
        let _ = dispatcher.decide(now, Event::ListReceived { kind: ListKind::Cached, entries: &entries });
        (dispatcher, 0, Vec::new())
    };
    let mut world = World {
        nodes: (0..nodes).map(|i| fresh(seed * 1_000 + i as u64, false)).collect(),
        queue: BinaryHeap::new(),
        next: 0,
        held: vec![0.0; WARM as usize + 1],
        sent: Vec::new(),
        took: jobs.took,
        trouble,
    };
    let weights: Vec<f64> =
        (0..nodes).map(|i| if traffic == Traffic::Uneven && i % 10 == 0 { 8.0 } else { 1.0 }).collect();
    let whole: f64 = weights.iter().sum();
    let end = START + COLD_FOR;
    // Arrivals: drawn over all nodes, then dealt out.
    let mut at = 0.0;
    while (at as Nanos) < end {
        let swing = match traffic {
            Traffic::Even | Traffic::Uneven => 1.0,
            Traffic::Bursts if ((at / 1e9) as u64).is_multiple_of(3) => 2.25,
            Traffic::Bursts => 0.375,
            Traffic::Volleys if ((at / 1e8) as u64).is_multiple_of(10) => 7.0,
            Traffic::Volleys => 0.333,
        };
        at += -chance.f64().max(1e-12).ln() * 1e9 / (rate * swing);
        let mut draw = chance.f64() * whole;
        let node = weights.iter().position(|w| {
            draw -= w;
            draw < 0.0
        });
        world.at(at as Nanos, Happening::Submit(node.unwrap_or(0)));
    }
    for node in 0..nodes {
        let late = trouble == Trouble::LateList && node % 3 == 0;
        world.at(START + if late { 2 * SECOND } else { 0 }, Happening::List(node));
        if trouble == Trouble::Restarts && node % 2 == 0 {
            world.at(START + SECOND, Happening::Restart(node));
        }
    }
    while let Some(Reverse((now, _, what))) = world.queue.pop() {
        if now > end {
            break;
        }
        match what {
            Happening::Submit(node) => {
                let submission = world.nodes[node].1;
                world.nodes[node].1 += 1;
                let job =
                    Job { product: 0, tenant: 0, deadline: BASE + now + 4 * SECOND, slots: 1.0, memory: 0.0 };
                world.decide(now, node, Event::Submitted { submission, job });
            }
            Happening::End(node, submission, execution, worker, full) => {
                world.held[worker as usize] -= f32::from(u8::from(!full));
                let report = Some(world.report(worker));
                let outcome = if full { Outcome::Overloaded } else { Outcome::Completed };
                let ending =
                    Ending { submission, execution, worker, outcome, closed: !full, took: jobs.took, report };
                // What a life before this one sent is nobody's.
                if (submission as usize) < world.nodes[node].2.len() {
                    world.decide(now, node, Event::Ended(ending));
                }
            }
            Happening::Ring(node) => world.decide(now, node, Event::TimerFired { timer_id: 0 }),
            Happening::List(node) => {
                let entries = [listing(COLD)];
                world.decide(now, node, Event::ListReceived { kind: ListKind::Changes, entries: &entries });
            }
            Happening::Restart(node) => world.nodes[node] = fresh(seed * 7_000 + node as u64, true),
        }
    }
    let mut window = VecDeque::new();
    let mut worst: f64 = 0.0;
    for &at in &world.sent {
        window.push_back(at);
        while window.front().is_some_and(|first| first + WINDOW <= at) {
            window.pop_front();
        }
        let n = allowed(at.saturating_sub(WINDOW).max(START), jobs.took);
        worst = worst.max(window.len() as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    let budget: f64 = (0..COLD_FOR / WINDOW).map(|w| allowed(START + w * WINDOW, jobs.took)).sum();
    (worst, world.sent.len() as f64 / budget)
}

#[rstest]
fn all_together_stay_within_the_budget_and_use_it(
    #[values(2, 3, 20, 30, 300)] nodes: usize,
    #[values(Traffic::Even, Traffic::Uneven, Traffic::Bursts, Traffic::Volleys)] traffic: Traffic,
    #[values(Trouble::None, Trouble::Restarts, Trouble::LateList, Trouble::Full)] trouble: Trouble,
) {
    let played: Vec<_> = (1..=10).map(|seed| play(seed, nodes, traffic, trouble, USUAL)).collect();
    let worst = played.iter().map(|p| p.0).fold(0.0, f64::max);
    let used = played.iter().map(|p| p.1).sum::<f64>() / played.len() as f64;
    println!(
        "{nodes:4} {traffic:?} {trouble:?}: worst window {worst:.2} of what it bears, {used:.2} of the budget used"
    );
    assert!(worst <= 1.0, "worst window {worst:.2}");
    assert!(used >= 0.15, "used {used:.2}");
}

/// Where each node sees few submissions and few answers, what it first took for a job's work must not outlast the answers.
#[rstest]
fn long_jobs_seen_seldom_by_each_node_stay_within_the_budget(
    #[values(Traffic::Even, Traffic::Uneven, Traffic::Bursts)] traffic: Traffic,
    #[values(Trouble::None, Trouble::Restarts, Trouble::LateList)] trouble: Trouble,
) {
    let played: Vec<_> = (1..=40).map(|seed| play(seed, 100, traffic, trouble, LONG)).collect();
    let worst = played.iter().map(|p| p.0).fold(0.0, f64::max);
    let used = played.iter().map(|p| p.1).sum::<f64>() / played.len() as f64;
    println!(
        "{traffic:?} {trouble:?}: worst window {worst:.2} of what it bears, {used:.2} of the budget used"
    );
    assert!(worst <= 1.0, "worst window {worst:.2}");
    assert!(used >= 0.15, "used {used:.2}");
}
