//! What linestack is compared with: plain policies behind the interface of its decisions, each in the whole
//! node. They keep the rules on repeats; of cold executors they know nothing.

use std::sync::{Arc, Mutex};

use clap::ValueEnum;
use linestack_core::Nanos;
use linestack_dispatch::types::{
    Action, Decide, DedupScope, DispatchConfig, Ending, Event, Health, Job, ListKind, Outcome, RepeatPolicy,
    Report, Submission, Worker, WorkerEntry,
};
use linestack_world::{ExecutorTruth, GroundTruth, NodeSetup, SimulatedNode, production_node};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The decisions that are served.
    Linestack,
    Random,
    RoundRobin,
    /// The fewest jobs of this node's own.
    LeastInFlight,
    /// The one of two drawn that holds fewer jobs of this node's own.
    TwoChoices,
    /// The shortest queue by the last report, less what was sent since.
    LeastReported,
    /// Sees the true state of all executors, which no real one can.
    TrueState,
}

impl Policy {
    #[must_use]
    pub fn name(self) -> String {
        self.to_possible_value().map(|v| v.get_name().to_owned()).unwrap_or_default()
    }

    /// Makes a whole node that decides by this policy.
    #[must_use]
    pub fn make(self, seat: NodeSetup) -> Box<dyn SimulatedNode> {
        if self == Self::Linestack {
            return production_node(seat);
        }
        let plain =
            Plain::new(self, seat.settings.dispatch.clone(), seat.node, Arc::clone(&seat.ground_truth));
        seat.build_with(Box::new(plain))
    }
}

#[derive(Clone, Default)]
struct Desk {
    listing: WorkerEntry,
    own: f64,
    report: Option<Report>,
    since: f64,
}

#[derive(Clone, Default)]
struct Held {
    job: Job,
    open: bool,
    known: bool,
    out: u32,
    executions: u16,
    anchor: Option<(Worker, Nanos)>,
    perhaps_ran: bool,
    tried: Vec<(Worker, bool)>,
}

struct Plain {
    policy: Policy,
    terms: DispatchConfig,
    node: usize,
    truth: Arc<Mutex<GroundTruth>>,
    rng: Pcg64Mcg,
    now: Nanos,
    desks: Vec<Desk>,
    held: Vec<Held>,
    turn: usize,
    orders: Vec<Action>,
}

impl Plain {
    fn new(policy: Policy, terms: DispatchConfig, node: usize, truth: Arc<Mutex<GroundTruth>>) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(terms.seed);
        let (desks, held, orders) = (Vec::new(), Vec::new(), Vec::new());
        Self { policy, terms, node, truth, rng, now: 0, desks, held, turn: 0, orders }
    }

    fn allowed(&self, held: &Held, worker: Worker) -> bool {
        let desk = &self.desks[worker as usize];
        let product = &self.terms.products[usize::from(held.job.product)];
        let late = self.now + self.terms.deadline_margin >= held.job.deadline;
        if desk.listing.health != Health::Ready || late || held.executions >= self.terms.max_executions {
            return false;
        }
        match (held.anchor, product.repeat_policy) {
            (None, _) | (_, RepeatPolicy::Idempotent) => !held.tried.iter().any(|(w, _)| *w == worker),
            (Some(_), RepeatPolicy::OneShot) => false,
            (Some((first, sent)), RepeatPolicy::Stamped { scope: group, dedup_window: memory }) => {
                let joined = group.covers(&self.desks[first as usize].listing, &desk.listing);
                joined && self.now + self.terms.connect_timeout < sent + memory
            }
        }
    }

    fn pick(&mut self, held: &Held) -> Option<Worker> {
        let fits: Vec<Worker> = (0..self.desks.len() as Worker).filter(|w| self.allowed(held, *w)).collect();
        if fits.is_empty() {
            return None;
        }
        let draw = |rng: &mut Pcg64Mcg| fits[rng.random_range(0..fits.len())];
        let own = |w: &Worker| self.desks[*w as usize].own;
        let least = |load: &dyn Fn(Worker) -> f64, rng: &mut Pcg64Mcg| {
            let best = fits.iter().map(|w| load(*w)).fold(f64::INFINITY, f64::min);
            let alike: Vec<Worker> = fits.iter().copied().filter(|w| load(*w) <= best).collect();
            alike[rng.random_range(0..alike.len())]
        };
        let mut rng = self.rng.clone();
        let pick = match self.policy {
            Policy::Random | Policy::Linestack => draw(&mut rng),
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                fits[self.turn % fits.len()]
            }
            Policy::LeastInFlight => least(&|w| own(&w), &mut rng),
            Policy::TwoChoices => {
                let (a, b) = (draw(&mut rng), draw(&mut rng));
                if own(&b) < own(&a) { b } else { a }
            }
            Policy::LeastReported => {
                let load = |w: Worker| {
                    let desk = &self.desks[w as usize];
                    let told = desk.report.map_or(0.0, |r| {
                        f64::from(r.queued_jobs.unwrap_or(0.0))
                            - f64::from(r.free_slots.unwrap_or(0.0)).min(4.0)
                    });
                    told + desk.since
                };
                least(&load, &mut rng)
            }
            Policy::TrueState => {
                let truth = self.truth.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let executor_of_worker = &truth.executor_of_worker[self.node];
                let load = |w: Worker| {
                    let executor = executor_of_worker.get(w as usize).copied().flatten();
                    let state = executor.and_then(|e| truth.executors.get(e));
                    // Free slots count down from nothing; one that is down comes last.
                    state.map_or(f64::MAX, |ExecutorTruth { available: up, free_slots: free, capacity }| {
                        if *up {
                            (self.desks[w as usize].since - free) / capacity.max(1e-6)
                        } else {
                            f64::MAX
                        }
                    })
                };
                least(&load, &mut rng)
            }
        };
        self.rng = rng;
        Some(pick)
    }

    fn go_on(&mut self, submission: Submission) {
        let held = self.held[submission as usize].clone();
        if !held.open || held.out > 0 {
            return;
        }
        let Some(worker) = self.pick(&held) else { return self.finish(submission) };
        let (now, slack) = (self.now, self.terms.deadline_margin / 2);
        let held = &mut self.held[submission as usize];
        held.executions += 1;
        held.out += 1;
        held.tried.push((worker, true));
        held.anchor.get_or_insert((worker, now));
        let desk = &mut self.desks[worker as usize];
        desk.own += held.job.slots;
        desk.since += held.job.slots;
        let timeout = held.job.deadline - now - slack;
        self.orders.push(Action::Execute { submission, worker, timeout });
    }

    fn finish(&mut self, submission: Submission) {
        let held = &self.held[submission as usize];
        let repeats = self.terms.products.get(usize::from(held.job.product)).map(|p| p.repeat_policy);
        let free = matches!(
            repeats,
            Some(RepeatPolicy::Idempotent | RepeatPolicy::Stamped { scope: DedupScope::All, .. })
        );
        let order = if free || held.anchor.is_none() {
            Action::Dismiss { submission, retry_after: self.terms.retry_after.map(|most| most / 8) }
        } else {
            Action::Abort { submission }
        };
        self.orders.push(order);
        self.close(submission);
    }

    fn close(&mut self, submission: Submission) {
        let Some(held) = self.held.get_mut(submission as usize) else { return };
        held.open = false;
        if self.terms.may_cancel {
            for (execution, _) in held.tried.iter().enumerate().filter(|(_, (_, out))| *out) {
                self.orders.push(Action::Cancel { submission, execution: execution as u16 });
            }
        }
        self.forget(submission);
    }

    fn forget(&mut self, submission: Submission) {
        let held = &mut self.held[submission as usize];
        if !held.open && held.out == 0 && std::mem::take(&mut held.known) {
            self.orders.push(Action::Forget { submission });
        }
    }

    fn ended(&mut self, e: &Ending) {
        let Some(held) = self.held.get_mut(e.submission as usize) else { return };
        let Some(tried) = held.tried.get_mut(usize::from(e.execution)).filter(|t| t.1) else { return };
        tried.1 = false;
        held.out -= 1;
        held.perhaps_ran |= !e.outcome.never_ran();
        if held.out == 0 && !held.perhaps_ran {
            held.anchor = None;
        }
        let slots = held.job.slots;
        self.desks[e.worker as usize].own -= slots;
        self.report(e.worker, e.report);
        if e.closed || e.outcome == Outcome::Completed {
            self.close(e.submission);
        } else if self.held[e.submission as usize].open {
            self.go_on(e.submission);
        }
        self.forget(e.submission);
    }

    fn report(&mut self, worker: Worker, report: Option<Report>) {
        if let (Some(desk), Some(report)) = (self.desks.get_mut(worker as usize), report) {
            (desk.report, desk.since) = (Some(report), 0.0);
        }
    }
}

impl Decide for Plain {
    fn reconfigure(&mut self, terms: DispatchConfig) {
        self.terms = terms;
    }

    fn decide(&mut self, now: Nanos, event: Event<'_>) -> &[Action] {
        self.orders.clear();
        self.now = now;
        match event {
            Event::ListReceived { kind, entries } => {
                if matches!(kind, ListKind::Whole | ListKind::Cached) {
                    self.desks.iter_mut().for_each(|d| d.listing.health = Health::Gone);
                }
                for listing in entries {
                    let place = listing.worker as usize;
                    if self.desks.len() <= place {
                        self.desks.resize(place + 1, Desk::default());
                    }
                    self.desks[place].listing = *listing;
                }
                if let Some(within) = self.terms.list_refresh_limit {
                    match kind {
                        ListKind::Cached => self.orders.push(Action::Subscribe),
                        ListKind::Failed => {
                            self.orders.push(Action::SetTimer { at: now + within / 10, timer_id: 1 })
                        }
                        _ => {}
                    }
                }
            }
            Event::Submitted { submission, job } => {
                let place = submission as usize;
                if self.held.len() <= place {
                    self.held.resize(place + 1, Held::default());
                }
                self.held[place] = Held { job, open: true, known: true, ..Held::default() };
                self.go_on(submission);
            }
            Event::ClientLeft { submission } => self.close(submission),
            Event::Ended(ending) => self.ended(&ending),
            Event::Probed { worker, report, .. } => self.report(worker, report),
            Event::TimerFired { timer_id: 1 } => self.orders.push(Action::Subscribe),
            Event::Retired { worker } => {
                self.desks.get_mut(worker as usize).into_iter().for_each(|d| *d = Desk::default());
            }
            Event::TimerFired { .. }
            | Event::Streaming { .. }
            | Event::Progressed { .. }
            | Event::ProcessLost { .. } => {}
        }
        &self.orders
    }
}
