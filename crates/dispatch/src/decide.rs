//! All decisions of a node. Make one [`Dispatcher`] from the standing orders, hand it whatever happens
//! through [`Dispatcher::decide`] in the order in which it happened, and carry out the returned orders
//! in theirs. The interface is `types.rs`. Nothing here reads a clock or shares anything.
//!
//! The ordinary path is the design's: a random worker below threshold, else a random ready one. Beside it:
//! 1. executor health: set aside on failure or silence, back after answered probes;
//! 2. overdue executions: a copy elsewhere where the product bears a repeat, or the same by way of a cancel;
//! 3. cold budget: by chance, so that all nodes together stay below what a worker just started bears;
//! 4. limits: in flight by shortest over present answer time, and no late queue;
//! 5. fairness: room is kept from what a tenant sends beyond its share, and from what pays less;
//! 6. following the list, refreshing reports by probes as far as their price bears, idle connections let go.

use std::borrow::Cow;

use crate::types::{
    Action, DedupScope, DispatchConfig, Ending, Event, Health, ListKind, Nanos, Outcome, RepeatPolicy,
    Submission, Worker, WorkerEntry,
};
use crate::worker_stats::{
    AnswerTime, Choice, Desk, Draw, Fleet, Flow, Held, MODEST, Out, Tenant, at, longest, median, usual, whole,
};

const THRESHOLD_FLOOR: f64 = 2.0;
const RUN: u32 = 4; // Served jobs in a row after which a kind's threshold regains a slot.
const MAX_STRIKES: u32 = 6; // How often set-asides in a row may double the probes asked for.
const PROBE_SPEND: f64 = 0.015; // Points of the result that refreshing reports may cost.
const RESERVE: f64 = 0.2; // The part of the workers kept for the products that pay best.
const SLOW: f64 = 1.1; // A worker that takes so many times the mean for the same jobs is drawn after others,
const CRAWLS: f64 = 2.0; // and one that takes so many times, after those that cost a crossing too.
const REMEMBERED: f64 = 2.0; // Answer times after which a report tells nothing,
const FRESH: f64 = 0.25; // and in which it is fresh where not all are known.
const MOST_OWED: f64 = 8.0; // Probes that may be owed.
const PROMPT: f64 = 0.25; // The part of the jobs that must start at once for one that waits to move.
const BLIND: f64 = 0.5; // Drawn without knowing, room is found only by chance.
const LEAST: f64 = 0.1; // The room below which any may be turned away.
const STRANGER_DRAWS: usize = 16;
const ENOUGH: f64 = 64.0; // Submissions over which tenants' shares are judged at least.
const CROWD: f64 = 4.0; // So many nodes for each of its slots are a crowd to a worker,
const IDLE_BEARS: f64 = 2.0; // and so many answer times one of them may keep an idle connection to it.

pub struct Dispatcher {
    pub(crate) terms: DispatchConfig,
    pub(crate) chance: fastrand::Rng,
    pub(crate) now: Nanos,
    pub(crate) fleet: Fleet,
    pub(crate) held: Vec<Held>,
    tenants: Vec<Tenant>,
    answers: Vec<AnswerTime>,
    pub(crate) flow: Flow,
    pub(crate) next_pulse: Nanos,
    pub(crate) subscribe_at: Nanos,
    /// Calls for the list that failed, in a row.
    pub(crate) unheard: u32,
    /// The best payoff, and the points that reports may cost: starts tell at once what reports tell late.
    best: f64,
    spend: f64,
    todo: Vec<Action>,
}

impl Dispatcher {
    #[must_use]
    pub fn new(terms: DispatchConfig) -> Self {
        Self {
            chance: fastrand::Rng::with_seed(terms.seed),
            now: 0,
            fleet: Fleet::default(),
            held: Vec::new(),
            tenants: vec![Tenant::default(); terms.quotas.len()],
            answers: terms.products.iter().map(|p| AnswerTime::expected(p.latency_target)).collect(),
            flow: Flow::new(terms.idle_timeout, terms.products.len()),
            next_pulse: 0,
            subscribe_at: Nanos::MAX,
            unheard: 0,
            best: terms.products.iter().map(|p| p.payoff).fold(f64::MIN_POSITIVE, f64::max),
            spend: if terms.reports_start { PROBE_SPEND / 10.0 } else { PROBE_SPEND },
            todo: Vec::new(),
            terms,
        }
    }

    /// Takes one thing that happened, returns what is to be done, in order.
    pub fn decide(&mut self, now: Nanos, event: Event<'_>) -> &[Action] {
        self.todo.clear();
        if self.now == 0 {
            // Until arrivals were seen, this node's part of all shares is what it expects.
            let expected = self.terms.quotas.iter().sum::<f64>() / f64::from(self.terms.nodes);
            self.flow.expect(now, expected.max(1.0) / 1e9);
            self.fleet.turn = self.chance.usize(..);
        }
        self.now = self.now.max(now);
        if self.now >= self.next_pulse {
            self.pulse();
        }
        match event {
            Event::ListReceived { kind, entries } => self.listed(kind, entries),
            Event::Submitted { submission, job } => {
                at(&mut self.held, submission).take(job);
                self.submitted(submission);
            }
            Event::ClientLeft { submission } => self.close(submission),
            Event::Streaming { submission, .. } => {
                self.held.get_mut(submission as usize).into_iter().for_each(|h| h.streaming = true);
            }
            Event::Progressed { submission, execution } => {
                let held = self.held.get(submission as usize);
                let worker = held.and_then(|h| h.tried.get(usize::from(execution))).copied();
                if let Some((waited, idled)) =
                    worker.and_then(|w| self.fleet[w].noted(submission, execution, self.now))
                {
                    let at_once = waited <= self.terms.connect_timeout / 5;
                    self.flow.started(at_once, idled);
                }
            }
            Event::Ended(ending) => {
                self.ended(&ending);
                self.flow.proved(self.fleet.report(ending.worker, ending.report, self.now), self.now);
                self.let_go(ending.worker);
                self.settle(ending.submission);
                self.forget(ending.submission);
            }
            Event::Probed { worker, answered, report } => {
                if let Some(desk) = self.fleet.get_mut(worker) {
                    desk.probed = None;
                    match answered {
                        Some(true) => self.come_closer(worker),
                        Some(false) => {
                            (desk.aside, desk.died) = (desk.aside.max(1), desk.suspected);
                            desk.unanswered += 1;
                        }
                        None => {}
                    }
                    self.flow.proved(self.fleet.report(worker, report, self.now), self.now);
                    self.fleet.surveyed(report, self.now);
                    self.let_go(worker);
                }
            }
            // Back at once, it would be sent as much as a warm one before the list tells of its start.
            Event::ProcessLost { worker } => self.fleet.get_mut(worker).into_iter().for_each(|desk| {
                (desk.aside, desk.suspected, desk.died) = (desk.aside.max(1), true, true);
            }),
            Event::Retired { worker } => self.fleet.retire(worker),
            Event::TimerFired { .. } => {} // The pulse was seen to above; a stale timer calls for nothing.
        }
        &self.todo
    }

    /// Many nodes would fill a worker with idle connections, and it pays for each: one is kept only if it is
    /// likely to be used before it closes by itself, and where nodes are a crowd, within two answer times.
    fn let_go(&mut self, worker: Worker) {
        let Some(desk) = self.fleet.desks.get(worker as usize).filter(|d| d.out.is_empty()) else { return };
        let many = f64::from(self.terms.nodes) > CROWD * self.fleet.mean_slots(desk);
        let kept = if many { IDLE_BEARS * longest(&self.answers) } else { self.terms.idle_timeout as f64 };
        let seldom = self.flow.arrivals.read(self.now) * kept < self.fleet.ready.len() as f64;
        // Where a new one is priced, what is kept is used first.
        if seldom && self.terms.connection_cost <= 0.0 {
            self.todo.push(Action::CloseIdleConnections { worker });
        }
    }

    fn listed(&mut self, kind: ListKind, entries: &[WorkerEntry]) {
        if let (Some(within), ListKind::Failed | ListKind::Cached) = (self.terms.list_refresh_limit, kind) {
            // A list not asked for would count as told of drains that were never heard of; but what all nodes
            // ask together, or again at once, fails together, and a herd of calls keeps the changes from all.
            self.unheard = if kind == ListKind::Failed { (self.unheard + 1).min(MAX_STRIKES) } else { 0 };
            let each = (self.terms.connect_timeout / 4) << self.unheard;
            let spread = each.saturating_mul(self.terms.nodes.into());
            let wait = if kind == ListKind::Failed { within / 10 } else { 0 };
            self.subscribe_at = self.now + wait + self.chance.u64(..spread.clamp(1, within / 2 + 1));
            self.pulse_at(self.subscribe_at);
        } else {
            self.unheard = 0;
        }
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            self.fleet.all_gone();
        }
        let threshold = self.fleet.mean_threshold().unwrap_or(MODEST);
        for &listing in entries {
            self.fleet.meet(listing.kind, threshold);
            if self.fleet.follow(listing, self.terms.weights_are_sizes) {
                self.fleet[listing.worker].restarted();
            }
        }
        self.fleet.take_stock(self.now, self.terms.slow_start_duration);
    }

    fn submitted(&mut self, submission: Submission) {
        let held = &self.held[submission as usize];
        let job = held.job;
        self.flow.pass(self.now, job);
        if usize::from(job.product) >= self.terms.products.len() {
            return self.finish(submission, false);
        }
        let excess = self.beyond_share(usize::from(job.tenant));
        let choice = self.choose(submission);
        let behind = 1.0 - self.terms.products[usize::from(job.product)].payoff / self.best;
        let reserve = (excess / 3.0).max(RESERVE * behind);
        let (ready, open) = (self.fleet.ready.len().max(1) as f64, choice.open as f64);
        let limit = (self.flow.limit * self.fleet.room() / ready).max(1.0) * open;
        let full = choice.members == 0 && choice.mean * open + job.slots > limit;
        // While hardly any job starts at once all would come late: some are turned away, by chance.
        let least = if self.terms.reports_start { LEAST * self.chance.f64() } else { 0.0 };
        if choice.room < reserve.max(least) || full {
            return self.finish(submission, excess > 0.0);
        }
        self.execute(submission, &choice);
    }

    /// How far a tenant sends past its share here, up to twice it. This node's part of all traffic is not
    /// told: it is taken from the median tenant, lest one that sends far too much widens its own share.
    fn beyond_share(&mut self, tenant: usize) -> f64 {
        if tenant >= self.tenants.len() || self.terms.excess_payoff >= 1.0 {
            return 0.0;
        }
        let now = self.now;
        let span = f64::max(2e9, ENOUGH / self.flow.arrivals.read(now));
        self.tenants[tenant].sent.add(now, span, 1.0);
        let (quotas, sent) = (&self.terms.quotas, &self.tenants);
        let part = median(quotas, |t| sent[t].sent.read(now, span) / quotas[t].max(f64::MIN_POSITIVE));
        let part = part.max(span / 1e9 / f64::from(self.terms.nodes));
        let (share, sent) = (part * quotas[tenant], self.tenants[tenant].sent.read(now, span));
        // Where a node sees few of a tenant, chance alone brings more than its share now and then.
        if self.tenants[tenant].within.read(now, span) < share || sent < share + share.sqrt() {
            self.tenants[tenant].within.add(now, span, 1.0);
            return 0.0;
        }
        (sent / share - 1.0).clamp(0.0, 1.0)
    }

    /// The design: a random member of the set below threshold, else a random ready worker.
    fn choose(&mut self, submission: Submission) -> Choice {
        let (held, fleet) = (&self.held[submission as usize], &self.fleet);
        let product = &self.terms.products[usize::from(held.job.product)];
        let open = fleet.open(product);
        let own = if product.is_restricted() { fleet.own_slots(product) } else { self.flow.in_flight };
        let mean = own / open.max(1) as f64;
        // Where many are not known at all, what was heard of long ago is neither free nor full.
        let sparse = fleet.watched.len() < fleet.ready.len();
        let fresh = FRESH * longest(&self.answers) + self.flow.lag(self.now) as f64;
        let stale = |d: &Desk| d.reported.is_none_or(|r| (self.now - r) as f64 > fresh);
        let linked = |d: &Desk| self.terms.connection_cost > 0.0 && d.is_linked(self.now, self.flow.kept);
        let near = |d: &Desk| self.terms.zone_crossing_cost <= 0.0 || d.listing.zone == self.terms.zone;
        let terms = self.answers.iter().zip(&self.terms.products);
        let waits = terms
            .map(|(a, p)| p.latency_target as f64 + (p.latency_target_factor - 1.0).max(0.0) * a.shortest);
        let bears = waits.fold(f64::INFINITY, f64::min) / usual(&self.answers);
        let [mut members, mut others, mut aside]: [Draw; 3] = Default::default();
        let (mut known, mut roomy, mut strangers, mut chance) = (0, 0, open, self.chance.clone());
        for &worker in &fleet.watched {
            let desk = &fleet[worker];
            if !product.allows(&desk.listing) {
                continue;
            }
            strangers -= usize::from(desk.listing.health == Health::Ready);
            if held.tried.contains(&worker) || !self.allowed(held, worker) {
                continue;
            }
            let (fit, warm) = (self.fit(desk), self.slow_start(desk).is_none());
            known += usize::from(fit);
            // What is linked costs nothing new to try, and a job that does not start there moves.
            let good = linked(desk) && desk.out.is_empty();
            let below = fit && (good && stale(desk) || self.below_threshold(desk, held, mean));
            // One that lost its process is cold when it is back, though the list does not tell yet.
            aside.offer_if(warm && !fit && !desk.died, worker, 0, &mut chance);
            // A crossing costs less than an answer that comes late for sure.
            let pace = desk.pace(self.now, self.terms.slow_start_duration);
            let crawls = u8::from(pace > CRAWLS);
            others.offer_if(fit && warm && self.in_time(desk, bears), worker, crawls, &mut chance);
            if below && warm {
                roomy += 1;
                let (far, slow) = (u8::from(!near(desk)), u8::from(pace > SLOW));
                let new = u8::from(self.terms.connection_cost > 0.0 && !linked(desk));
                let rank = 8 * crawls + 4 * far + 2 * new + slow;
                members.offer_if(!sparse || !stale(desk) || good, worker, rank, &mut chance);
            }
        }
        // With most workers set aside, the few left must not collapse under everybody's work.
        let left = known + strangers;
        if left < aside.offered && chance.usize(..left + aside.offered) >= left {
            others.pick = aside.pick;
        }
        // Of few that a repeat may go to, hardly one would come up among all.
        let few = held.anchor.is_some() && product.repeat_policy.limits_retries();
        let group = || fleet.ready.iter().copied().filter(|w| self.allowed(held, *w)).collect::<Vec<_>>();
        let ready = &*if few { Cow::Owned(group()) } else { Cow::Borrowed(&fleet.ready) };
        let strangers = strangers.min(ready.len());
        let mut stranger = None;
        for _ in 0..if members.pick.is_some() || strangers == 0 { 0 } else { STRANGER_DRAWS } {
            let worker = ready[chance.usize(..ready.len())];
            let (desk, tried) = (&fleet[worker], held.tried.contains(&worker));
            let unknown =
                desk.out.is_empty() && stale(desk) && self.fit(desk) && self.slow_start(desk).is_none();
            // Of what is not known the expected room is the chance to be drawn.
            if unknown && !tried && self.allowed(held, worker) && chance.f64() < fleet.size(desk) {
                stranger = Some(worker);
                if near(desk) {
                    break;
                }
            }
        }
        let mut pick = members.pick.or(stranger).or(others.pick);
        // A cold one is drawn by its own part and no more, and by first executions alone: when all others are
        // full, each submission asks again and again, and what is left would get the part of all.
        let mut left_over = chance.f64();
        for &worker in fleet.young.iter().filter(|_| held.executions == 0) {
            let desk = &fleet[worker];
            let Some(bears) = self.slow_start(desk) else { continue };
            let empty =
                if stale(desk) { desk.out.is_empty() } else { self.below_threshold(desk, held, mean) };
            let wanted = self.fit(desk) && (near(desk) || members.pick.is_none());
            let alike = (members.offered + strangers).max(1) as f64;
            let share = bears.min(fleet.size(desk) / fleet.mean_size / alike);
            left_over -= if empty && wanted && self.allowed(held, worker) { share } else { 0.0 };
            if left_over < 0.0 {
                pick = Some(worker);
                break;
            }
        }
        // Those known just now are largely those that hold our jobs or turned some away.
        let more = strangers as f64;
        let likely = if self.terms.reports_start { BLIND * self.flow.prompt } else { fleet.roomy(self.now) };
        let room = (roomy as f64 + more * likely) / (known as f64 + more).max(1.0);
        let members = members.offered + usize::from(pick.is_some() && pick != others.pick);
        self.chance = chance;
        Choice { room, members, pick, open, mean }
    }

    fn below_threshold(&self, desk: &Desk, held: &Held, mean: f64) -> bool {
        let (job, own) = (&held.job, desk.own_slots);
        let threshold = self.fleet.kind(desk).map_or(0.0, |k| k.threshold);
        let waits = self.terms.reports_start && desk.out.iter().any(|o| o.waits);
        if own + job.slots > threshold || own > mean + job.slots || waits {
            return false;
        }
        // Reports older than the jobs they count say nothing of now; what we hold there ourselves does.
        if self.flow.lag(self.now) as f64 > longest(&self.answers) {
            return own <= mean;
        }
        // Before its first report one job is the feeler; where answers come and never a report, none will.
        if desk.reported.is_none() {
            return desk.out.is_empty() || (!self.fleet.told && self.answers.iter().any(|a| a.seen > 0.0));
        }
        // A late report misses what was sent before it came, and what we hold is never free.
        let (free, waiting) = (desk.report.free_slots.map(whole), desk.report.queued_jobs.map_or(0.0, whole));
        let since = desk.since(self.flow.lag(self.now), |o| o.slots);
        if free.is_some_and(|f| (f - waiting - since).min(desk.slots - own) < job.slots) {
            return false;
        }
        // What is larger than a worker's memory may look can only run alone.
        let left = desk.memory_left(self.flow.lag(self.now), self.flow.memory_per_slot);
        !self.terms.counts_memory || left >= job.memory || free.is_some_and(|f| f >= desk.slots)
    }

    /// Whether the jobs ahead there leave the least agreed time: else queues would fill until every answer is
    /// late, or the most patient product would fill them until the others get nothing.
    fn in_time(&self, desk: &Desk, bears: f64) -> bool {
        let since = desk.since(self.flow.lag(self.now), |o| o.slots);
        let (free, waiting) = (desk.report.free_slots, desk.report.queued_jobs);
        let ahead = waiting.map_or(0.0, whole) + since - free.map_or(0.0, whole);
        ahead / desk.slots.max(1.0) <= bears
    }

    /// Gets work: ready, not set aside, and no probe unanswered for too long.
    fn fit(&self, desk: &Desk) -> bool {
        let silent = desk.probed.is_some_and(|p| self.now - p > self.terms.connect_timeout / 4);
        desk.listing.health == Health::Ready && desk.aside == 0 && !silent
    }

    /// The rules on executions; asked again by `execute`, the only place that orders one.
    fn allowed(&self, held: &Held, worker: Worker) -> bool {
        let desk = &self.fleet[worker];
        let product = &self.terms.products[usize::from(held.job.product)];
        let over = !held.open || held.streaming || held.executions >= self.terms.max_executions;
        let late = self.now + self.terms.deadline_margin >= held.job.deadline;
        let closed = !product.allows(&desk.listing);
        if over || late || closed || desk.listing.health != Health::Ready {
            return false;
        }
        match (held.anchor, product.repeat_policy) {
            (None, _) | (_, RepeatPolicy::Idempotent) => true,
            (Some(_), RepeatPolicy::OneShot) => false,
            (Some((first, sent)), RepeatPolicy::Stamped { scope: group, dedup_window: memory }) => {
                // A copy must reach them while they remember, connecting included.
                let same = group.covers(&self.fleet[first].listing, &desk.listing);
                same && self.now + self.terms.connect_timeout < sent + memory
            }
        }
    }

    /// The jobs that a cold worker may be sent from here for each submission. All nodes hear of its start at
    /// once: the part of each is spent by chance, and their mean kept far below what it bears in a window.
    fn slow_start(&self, desk: &Desk) -> Option<f64> {
        let age = self.now.saturating_sub(desk.listing.started);
        if desk.listing.started == 0 || age >= self.terms.slow_start_duration {
            return None;
        }
        let warmth = age as f64 / self.terms.slow_start_duration as f64;
        let present = self.terms.cold_capacity_share + (1.0 - self.terms.cold_capacity_share) * warmth;
        let window = self.terms.overload_window as f64;
        let bears = self.terms.overload_factor * present * self.fleet.mean_slots(desk) * window;
        let jobs = bears / self.flow.work(&self.answers);
        // The mean that stays below it with three deviations of chance.
        let mean = ((jobs + 2.25).sqrt() - 1.5).powi(2);
        Some(mean / f64::from(self.terms.nodes) / (self.flow.rush(self.now) * window))
    }

    /// The only place that orders an execution; with none to order and none out, the submission is over.
    fn execute(&mut self, submission: Submission, choice: &Choice) {
        let held = &self.held[submission as usize];
        let second = held.out > 0 && !self.terms.may_duplicate;
        let Some(worker) = choice.pick.filter(|w| !second && self.allowed(held, *w)) else {
            return self.finish(submission, false);
        };
        let (now, held) = (self.now, &mut self.held[submission as usize]);
        let usual = self.answers[usize::from(held.job.product)].mean;
        self.flow.in_flight += held.job.slots;
        let mut out = held.send(submission, worker, now, self.terms.reports_start, usual);
        let desk = self.fleet.watch(worker);
        // One that stood idle for too long may have been dropped unseen, and a job sent on it is lost.
        match desk.linked.take().map(|since| now - since) {
            Some(idled) if (idled as f64) < self.flow.kept => out.idled = idled,
            Some(_) => self.todo.push(Action::CloseIdleConnections { worker }),
            None => {}
        }
        desk.send(out);
        let timeout = held.job.deadline - now - self.terms.deadline_margin / 2;
        self.todo.push(Action::Execute { submission, worker, timeout });
        self.pulse_at(now + self.terms.connect_timeout / 5);
    }

    /// The only place that gives a final answer: dismissed where a retry is harmless, else aborted.
    fn finish(&mut self, submission: Submission, excess: bool) {
        let held = &self.held[submission as usize];
        if !held.open || held.out > 0 {
            return;
        }
        let repeats = self.terms.products.get(usize::from(held.job.product)).map(|p| p.repeat_policy);
        let free = matches!(
            repeats,
            Some(RepeatPolicy::Idempotent | RepeatPolicy::Stamped { scope: DedupScope::All, .. })
        );
        if free || held.anchor.is_none() {
            let come_back = self.terms.retry_after.map(|most| if excess { most } else { most / 8 });
            self.todo.push(Action::Dismiss { submission, retry_after: come_back });
        } else {
            self.todo.push(Action::Abort { submission });
        }
        self.close(submission);
    }

    /// Nothing more is owed, and what is still out is in vain.
    fn close(&mut self, submission: Submission) {
        let Some(held) = self.held.get_mut(submission as usize).filter(|h| h.open) else { return };
        held.open = false;
        if self.terms.may_cancel && held.out > 0 {
            let out = self.fleet.out(submission, &held.tried);
            self.todo.extend(out.map(|execution| Action::Cancel { submission, execution }));
        }
        self.forget(submission);
    }

    fn forget(&mut self, submission: Submission) {
        let held = self.held.get_mut(submission as usize).filter(|h| !h.open && h.out == 0);
        if held.is_some_and(|h| std::mem::take(&mut h.known)) {
            self.todo.push(Action::Forget { submission });
        }
    }

    fn ended(&mut self, ending: &Ending) {
        let (now, outcome) = (self.now, ending.outcome);
        let Some(desk) = self.fleet.desks.get_mut(ending.worker as usize) else { return };
        let Some(held) = self.held.get_mut(ending.submission as usize) else { return };
        let Some(out) = desk.end(ending.submission, ending.execution) else { return };
        held.ended(!outcome.never_ran());
        self.flow.in_flight = (self.flow.in_flight - out.slots).max(0.0);
        let (product, took) = (usize::from(held.job.product), ending.took as f64);
        let harmless = self.terms.products[product].repeat_policy == RepeatPolicy::Idempotent;
        let kind = self.fleet.kinds.get_mut(usize::from(desk.listing.kind));
        let Some(Some(kind)) = kind else { return };
        match outcome {
            Outcome::Completed => {
                (desk.heard, desk.served, desk.linked) = (now, desk.served + 1, Some(now));
                desk.paced(now, self.terms.slow_start_duration, took / self.answers[product].mean);
                desk.strikes -= u32::from(desk.strikes > 0 && desk.served % (2 * RUN) == 0);
                kind.run += 1;
                if kind.run >= RUN {
                    // Never past its start: what its workers have, for fewer would leave large ones idle.
                    (kind.run, kind.threshold) = (0, (kind.threshold + 1.0).min(kind.start()));
                }
            }
            Outcome::Overloaded => {
                desk.heard = now;
                if desk.listing.health == Health::Ready {
                    (kind.run, kind.threshold) = (0, (kind.threshold - out.slots).max(THRESHOLD_FLOOR));
                }
            }
            // It looks empty and would draw all the work; but where a repeat makes good, it still does some.
            Outcome::Error if harmless => desk.aside = desk.aside.max(1),
            Outcome::Error => set_aside(desk, false),
            Outcome::InvalidSubmission => held.executions = self.terms.max_executions,
            // Dropped unseen while it stood idle, it says nothing of the worker.
            Outcome::Reset if out.idled > 0 && out.waits && ending.took < self.terms.connect_timeout / 5 => {
                self.flow.started(false, out.idled);
            }
            Outcome::Reset | Outcome::ConnectFailed => set_aside(desk, true),
            Outcome::TimedOut if desk.heard <= out.sent => set_aside(desk, false),
            Outcome::TimedOut | Outcome::StaleConnection | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if ending.closed {
            self.close(ending.submission);
        }
        if outcome == Outcome::Completed {
            self.answers[product].add(took);
            self.flow.stretch += (took / self.answers[product].shortest - self.flow.stretch) / 32.0;
            let most = self.fleet.room();
            let limit = self.flow.limit.min(1.0) * most;
            let wanted = limit * (1.5 / self.flow.stretch).clamp(0.5, 1.0) + limit.sqrt();
            self.flow.limit = (limit + (wanted - limit) / 16.0) / most.max(1.0);
        }
    }

    /// A further execution if there is a point, else the final answer.
    fn settle(&mut self, submission: Submission) {
        if !self.held.get(submission as usize).is_some_and(|h| h.open && h.out == 0) {
            return;
        }
        let choice = self.choose(submission);
        self.execute(submission, &choice);
    }

    fn pulse_at(&mut self, at: Nanos) {
        if at < self.next_pulse {
            self.next_pulse = at;
            self.todo.push(Action::SetTimer { at, timer_id: 0 });
        }
    }

    fn pulse(&mut self) {
        self.next_pulse = Nanos::MAX;
        if self.now >= self.subscribe_at {
            self.subscribe_at = Nanos::MAX;
            self.todo.push(Action::Subscribe);
        }
        let (now, period, took) = (self.now, self.terms.connect_timeout / 5, longest(&self.answers));
        let silence = 2.0 * (self.terms.progress_interval.unwrap_or(0) as f64 + took) + period as f64;
        let remembered = REMEMBERED * took + self.flow.lag(self.now) as f64;
        // Asked less often where a probe is dear: no job costs more of them than refreshing may.
        let dear = took * self.terms.probe_cost / self.spend;
        let unheard = (2 * self.terms.connect_timeout).max(dear as Nanos);
        let owed = -self.flow.probes.0;
        let (mut known, mut full, mut next) = (0.0, 0.5, self.subscribe_at);
        for i in (0..self.fleet.watched.len()).rev() {
            let worker = self.fleet.watched[i];
            let desk = &mut self.fleet[worker];
            let busy = !desk.out.is_empty();
            if busy && (now - desk.heard) as f64 > silence {
                desk.heard = now;
                set_aside(desk, false);
            }
            // A hung worker is only found by asking: what holds jobs of ours is not left unasked for long.
            let unasked = busy && desk.aside == 0 && desk.reported.is_none_or(|r| now - r > unheard);
            if desk.listing.health == Health::Gone {
                desk.aside = 0;
            } else if !self.terms.may_probe {
                self.come_closer(worker);
            } else if desk.probed.is_none() && (unasked || (desk.wants(now) && owed < MOST_OWED)) {
                // All nodes ask what is down, each at its own moments and ever more seldom.
                let wait = period << desk.unanswered.min(MAX_STRIKES);
                (desk.probed, desk.ask_at) = (Some(now), now + wait / 2 + self.chance.u64(..=wait));
                self.flow.probes.0 -= f64::from(u8::from(!unasked));
                self.todo.push(Action::Probe { worker });
            }
            for j in 0..self.fleet[worker].out.len() {
                self.rescue(worker, j);
            }
            let desk = &mut self.fleet[worker];
            let told = desk.reported.is_some_and(|r| ((now - r) as f64) < remembered);
            let counts = f64::from(u8::from(told && desk.listing.health == Health::Ready));
            known += counts;
            full += counts * f64::from(desk.report.free_slots.is_none_or(|f| f < 1.0));
            if !desk.out.is_empty() || desk.aside > 0 || desk.probed.is_some() {
                next = next.min(now + period);
            } else if !(told || self.terms.connection_cost > 0.0 && desk.is_linked(now, self.flow.kept)) {
                desk.watched = false;
                self.fleet.watched.swap_remove(i);
            }
        }
        let wait = if self.terms.may_probe { self.refresh(full / f64::max(known, 1.0)) } else { f64::MAX };
        self.pulse_at(next.min(now + wait.min(64e9) as Nanos).max(now + period));
    }

    /// Probes workers in turn, in proportion to how many look full. Returns when the next is due.
    fn refresh(&mut self, full: f64) -> f64 {
        let (now, ready) = (self.now, self.fleet.ready.len());
        let bearable = self.spend / self.terms.probe_cost.max(self.spend / 64.0);
        let rate = self.flow.arrivals.read(now) * bearable * full;
        let old = (ready as f64 / rate).max(self.flow.lag(self.now) as f64);
        self.flow.save(now, rate, 1.0 + rate * (2 * self.terms.connect_timeout / 5) as f64);
        while self.flow.probes.0 >= 1.0 {
            let Some(worker) = self.fleet.next_older(now, old) else { break };
            self.flow.probes.0 -= 1.0;
            self.todo.push(Action::Probe { worker });
        }
        (1.0 - self.flow.probes.0).max(0.0) / rate
    }

    fn come_closer(&mut self, worker: Worker) {
        let desk = &mut self.fleet[worker];
        (desk.aside, desk.unanswered) = (desk.aside.saturating_sub(1), 0);
        if desk.aside == 0 && desk.take_death(!self.terms.may_probe) {
            (desk.listing.started, desk.reported) = (self.now, None);
            self.fleet.take_stock(self.now, self.terms.slow_start_duration);
        }
    }

    /// What a silent worker holds is copied, and what was not started in time called off, to be sent on when
    /// that is known, where the product bears a repeat and another has room.
    fn rescue(&mut self, worker: Worker, out: usize) {
        let (desk, now) = (&self.fleet[worker], self.now);
        let Some(job) = desk.out.get(out) else { return };
        let &Out { submission, execution, waits, sent, looked, idled, .. } = job;
        // Held for there, a lost job would fill a worker that is free, and make reports look as old as it.
        if self.terms.may_cancel && desk.lost(job, self.terms.progress_interval, now) {
            self.flow.lag = (0, now);
            return self.todo.push(Action::Cancel { submission, execution });
        }
        let held = &self.held[submission as usize];
        let product = &self.terms.products[usize::from(held.job.product)];
        let patience = product.latency_target / 2;
        // Some go on where they were called off: what pays less moves only while the more start at once.
        let prompt = self.flow.prompt > PROMPT.max(1.0 - product.payoff / self.best);
        let stuck = waits && now - sent > patience && prompt && self.terms.may_cancel;
        let copied = !self.fit(desk) && self.terms.may_duplicate;
        if !held.open || held.out != 1 || !(stuck || copied) || now - looked < patience / 4 {
            return;
        }
        self.fleet[worker].out[out].looked = now;
        let choice = self.choose(submission);
        if choice.members > 0 && stuck {
            self.flow.started(false, idled);
            self.todo.push(Action::Cancel { submission, execution });
        } else if choice.members > 0 {
            self.execute(submission, &choice);
        }
    }
}

/// Failures in a row ask for ever more probes. A break is no death till one fails, or few would stay warm.
fn set_aside(desk: &mut Desk, suspected: bool) {
    if desk.aside == 0 {
        desk.strikes = (desk.strikes + 1).min(MAX_STRIKES);
    }
    (desk.aside, desk.served) = (1 << desk.strikes, 0);
    desk.suspected |= suspected;
}
