//! All decisions of a node. Make one [`Dispatcher`] from the standing orders, hand it whatever happens
//! through [`Dispatcher::decide`] in the order in which it happened, and carry out the returned orders
//! in theirs. The interface is `types.rs`. Nothing here reads a clock or shares anything.
//!
//! The ordinary path is the design's: a random worker below threshold, else a random ready one. Beside it:
//! 1. executor health: set aside on failure or silence, back after answered probes;
//! 2. overdue executions: a copy elsewhere where the product bears a repeat;
//! 3. cold budget: this node's part of what all nodes together may send a worker that has just started;
//! 4. in-flight limit: follows the shortest answer time over the present one; no queue that answers late;
//! 5. fairness: room is kept from what a tenant sends beyond its share, and from what pays less;
//! 6. following the list, and refreshing old reports by probes as far as their price bears.

use crate::books::{
    AnswerTime, Choice, Decaying, Desk, Draw, Held, Kind, Out, Tenant, at, mean_slots, median, usual, whole,
};
use crate::types::{
    Ending, Event, Group, Health, ListKind, Listing, Nanos, Order, Outcome, Repeats, Report, StandingOrders,
    Submission, Worker,
};

const THRESHOLD_START: f64 = 8.0;
const THRESHOLD_FLOOR: f64 = 2.0;
/// Served jobs in a row after which a kind's threshold regains a slot.
const RUN: u32 = 4;
/// The most that set-asides in a row may double the probes asked for.
const MAX_STRIKES: u32 = 6;
/// Points of the result that refreshing reports may cost.
const PROBE_SPEND: f64 = 0.015;
/// The part of the workers kept for the products that pay best.
const RESERVE: f64 = 0.2;
/// A worker that takes this many times the workers' mean for the same jobs is drawn after the others.
const SLOW: f64 = 1.1;
const SECOND: f64 = 1e9;

pub struct Dispatcher {
    terms: StandingOrders,
    chance: fastrand::Rng,
    now: Nanos,
    desks: Vec<Option<Desk>>,
    kinds: Vec<Option<Kind>>,
    held: Vec<Held>,
    tenants: Vec<Tenant>,
    answers: Vec<AnswerTime>,
    /// Answer times as multiples of their products' shortest.
    stretch: f64,
    limit: f64,
    in_flight: f64,
    arrivals: Decaying,
    memory_per_slot: f64,
    /// How old reports are known to be at arrival, and when that was seen.
    lag: (Nanos, Nanos),
    next_pulse: Nanos,
    subscribe_at: Nanos,
    todo: Vec<Order>,
}

impl Dispatcher {
    #[must_use]
    pub fn new(terms: StandingOrders) -> Self {
        Self {
            chance: fastrand::Rng::with_seed(terms.seed),
            now: 0,
            desks: Vec::new(),
            kinds: Vec::new(),
            held: Vec::new(),
            tenants: vec![Tenant::default(); terms.quotas.len()],
            answers: terms.products.iter().map(|p| AnswerTime::expected(p.agreed)).collect(),
            stretch: 1.0,
            limit: f64::INFINITY,
            in_flight: 0.0,
            arrivals: Decaying::default(),
            memory_per_slot: 1.0,
            lag: (0, 0),
            next_pulse: 0,
            subscribe_at: 0,
            todo: Vec::new(),
            terms,
        }
    }

    /// Takes one thing that happened, returns what is to be done, in order.
    pub fn decide(&mut self, now: Nanos, event: Event<'_>) -> &[Order] {
        self.todo.clear();
        self.now = self.now.max(now);
        if self.now >= self.next_pulse {
            self.pulse();
        }
        match event {
            Event::Listed { kind, entries } => self.listed(kind, entries),
            Event::Submitted { submission, job } => {
                at(&mut self.held, submission).take(job, self.now);
                self.submitted(submission);
                self.forget(submission);
            }
            Event::Left { submission } => {
                if let Some(held) = self.held.get_mut(submission as usize).filter(|h| h.open) {
                    held.open = false;
                    self.call_off(submission);
                    self.forget(submission);
                }
            }
            Event::Streaming { submission, .. } => {
                if let Some(held) = self.held.get_mut(submission as usize) {
                    held.streaming = true;
                }
            }
            Event::Noted { submission, execution } => {
                for desk in self.desks.iter_mut().flatten() {
                    let mut outs = desk.out.iter_mut();
                    if let Some(out) = outs.find(|o| o.submission == submission && o.execution == execution) {
                        (out.waits, desk.heard) = (false, self.now);
                    }
                }
            }
            Event::Ended(ending) => {
                self.ended(&ending);
                self.reported(ending.worker, ending.report);
                self.settle(ending.submission);
                self.forget(ending.submission);
            }
            Event::Probed { worker, answered, report } => {
                if let Some(Some(desk)) = self.desks.get_mut(worker as usize) {
                    desk.probed = None;
                    match answered {
                        Some(true) => self.come_closer(worker as usize),
                        Some(false) => desk.aside = desk.aside.max(1),
                        None => {}
                    }
                    self.reported(worker, report);
                }
            }
            // The pulse was seen to above; a stale timer calls for nothing.
            Event::Rang { .. } => {}
        }
        &self.todo
    }

    fn listed(&mut self, kind: ListKind, entries: &[Listing]) {
        if kind == ListKind::Failed {
            // A list not asked for again would count as told of drains that were never heard of.
            self.subscribe_at = self.now + self.terms.ask_within.unwrap_or(0) / 10;
            return;
        }
        if kind != ListKind::Changes {
            self.desks.iter_mut().flatten().for_each(|d| d.listing.health = Health::Gone);
        }
        let usual = usual(&self.answers);
        for &listing in entries {
            if at(&mut self.kinds, listing.kind.into()).is_none() {
                let known = self.kinds.iter().flatten();
                let (sum, n) = known.fold((0.0, 0.0), |(sum, n), k| (sum + k.threshold, n + 1.0));
                let threshold = if n > 0.0 { sum / n } else { THRESHOLD_START };
                self.kinds[usize::from(listing.kind)] = Some(Kind { threshold, run: 0 });
            }
            let desk = at(&mut self.desks, listing.worker).get_or_insert_default();
            if listing.started > desk.listing.started {
                // What it reported belongs to a process that is no more.
                (desk.reported, desk.died) = (None, false);
                (desk.pushed, desk.pushed_at) = (self.chance.f64() * usual, self.now);
            }
            let started = listing.started.max(desk.listing.started);
            desk.listing = Listing { started, ..listing };
        }
    }

    fn submitted(&mut self, submission: Submission) {
        self.arrivals.add(self.now, SECOND, 1.0);
        let job = self.held[submission as usize].job;
        self.memory_per_slot += (job.memory / job.slots - self.memory_per_slot) / 16.0;
        if usize::from(job.product) >= self.terms.products.len() {
            return self.finish(submission, false);
        }
        let excess = self.beyond_share(usize::from(job.tenant));
        let choice = self.choose(submission);
        let room = self.reserve(usize::from(job.product), excess) * choice.ready as f64;
        let limit = self.limit.max(choice.ready as f64);
        let full = choice.members == 0 && self.in_flight + job.slots > limit;
        if (choice.members as f64) < room || full {
            return self.finish(submission, excess > 0.0);
        }
        self.execute_or_finish(submission, &choice);
    }

    fn execute_or_finish(&mut self, submission: Submission, choice: &Choice) {
        self.execute(submission, choice);
        if self.held[submission as usize].out == 0 {
            self.finish(submission, false);
        }
    }

    /// The part of the ready workers that must have room before this is taken: room is kept for products that
    /// pay more, and for tenants inside their shares.
    fn reserve(&self, product: usize, excess: f64) -> f64 {
        let best = self.terms.products.iter().map(|p| p.payoff).fold(f64::MIN_POSITIVE, f64::max);
        (excess / 3.0).max(RESERVE * (1.0 - self.terms.products[product].payoff / best))
    }

    /// How far a tenant sends past its share here, up to twice it. This node's part of all traffic is not told: it is taken
    /// from the median tenant, so that one that sends far too much does not widen its own share.
    fn beyond_share(&mut self, tenant: usize) -> f64 {
        if tenant >= self.tenants.len() || self.terms.excess_payoff >= 1.0 {
            return 0.0;
        }
        let (now, span) = (self.now, 2.0 * SECOND);
        self.tenants[tenant].sent.add(now, span, 1.0);
        let (quotas, sent) = (&self.terms.quotas, &self.tenants);
        let part = median(quotas, |t| sent[t].sent.read(now, span) / quotas[t].max(f64::MIN_POSITIVE));
        let part = part.max(span / SECOND / f64::from(self.terms.nodes));
        let share = part * quotas[tenant];
        if self.tenants[tenant].within.read(now, span) < share {
            self.tenants[tenant].within.add(now, span, 1.0);
            return 0.0;
        }
        (self.tenants[tenant].sent.read(now, span) / share - 1.0).clamp(0.0, 1.0)
    }

    /// The design: a random member of the set below threshold, else a random ready worker.
    fn choose(&mut self, submission: Submission) -> Choice {
        let held = &self.held[submission as usize];
        let fit = self.desks.iter().flatten().filter(|d| self.fit(d));
        let span = self.terms.cold_for as f64;
        let sum = |(own, pace, n), d: &Desk| (own + d.own_slots, pace + d.pace(self.now, span), n + 1);
        let (own, pace, ready) = fit.fold((0.0, 0.0, 0), sum);
        let (mean, pace) = (own / ready.max(1) as f64, pace / ready.max(1) as f64);
        let (mut members, mut others, mut aside) = (Draw::default(), Draw::default(), Draw::default());
        let (mut near, mut quick) = (Draw::default(), Draw::default());
        let (mut fits, mut chance) = (0, self.chance.clone());
        for (i, desk) in self.desks.iter().enumerate() {
            let worker = i as Worker;
            let Some(desk) = desk.as_ref().filter(|_| !held.tried.contains(&worker)) else { continue };
            if !self.allowed(held, worker) {
                continue;
            }
            if !self.fit(desk) {
                aside.offer(worker, &mut chance);
                continue;
            }
            fits += 1;
            if self.in_time(desk) {
                others.offer(worker, &mut chance);
            }
            if self.below_threshold(desk, held, mean) {
                members.offer(worker, &mut chance);
                if self.terms.crossing_price <= 0.0 || desk.listing.zone == self.terms.zone {
                    near.offer(worker, &mut chance);
                    if desk.pace(self.now, span) <= SLOW * pace {
                        quick.offer(worker, &mut chance);
                    }
                }
            }
        }
        // With most workers set aside, the few left must not collapse under everybody's work; else a worker
        // set aside is no refuge from the queues of the others.
        if fits < aside.offered && chance.usize(..fits + aside.offered) >= fits {
            others.pick = aside.pick;
        }
        self.chance = chance;
        let pick = quick.pick.or(near.pick).or(members.pick).or(others.pick);
        Choice { members: members.offered, ready, pick }
    }

    fn below_threshold(&self, desk: &Desk, held: &Held, mean: f64) -> bool {
        let (job, own) = (&held.job, desk.own_slots);
        let threshold = self.kinds[usize::from(desk.listing.kind)].map_or(0.0, |k| k.threshold);
        if own + job.slots > threshold || own > mean + job.slots {
            return false;
        }
        if self.terms.tells_start && desk.out.iter().any(|o| o.waits) {
            return false;
        }
        // Reports older than the jobs they count say nothing of now; what we hold there ourselves does.
        if self.lag() as f64 > self.answers.iter().map(|a| a.mean).fold(0.0, f64::max) {
            return own <= mean;
        }
        // Nothing is known of a worker before its first report: one job at a time is the feeler.
        let Some(reported) = desk.reported else { return desk.out.is_empty() };
        // A late report misses jobs that were sent before it came: what is younger than the reports' known
        // age counts as sent since, and what we hold is never free.
        let taken_at = reported.saturating_sub(self.lag());
        let since =
            |part: fn(&Out) -> f64| desk.out.iter().filter(|o| o.sent > taken_at).map(part).sum::<f64>();
        let (free, waiting) = (desk.report.free_slots.map(whole), desk.report.waiting.map_or(0.0, whole));
        if free.is_some_and(|f| (f - waiting - since(|o| o.slots)).min(desk.slots - own) < job.slots) {
            return false;
        }
        let others = (desk.slots - free.unwrap_or(0.0) - own).max(0.0) * self.memory_per_slot;
        let left = desk.report.free_memory.map(|m| f64::from(m) - since(|o| o.memory));
        let left = left.unwrap_or(desk.slots - desk.own_memory - others);
        // What is larger than a worker's memory may look can only run alone.
        !self.terms.counts_memory || left >= job.memory || free.is_some_and(|f| f >= desk.slots)
    }

    /// Whether the jobs ahead there leave the agreed time. Where work piles up faster than it is done, queues
    /// would fill until every answer is late; and if each product waited for as long as its own agreed time
    /// bears, the most patient would fill them until the others get nothing.
    fn in_time(&self, desk: &Desk) -> bool {
        let taken_at = desk.reported.map_or(0, |r| r.saturating_sub(self.lag()));
        let since = desk.out.iter().filter(|o| o.sent > taken_at).map(|o| o.slots).sum::<f64>();
        let (free, waiting) = (desk.report.free_slots, desk.report.waiting);
        let ahead = waiting.map_or(0.0, whole) + since - free.map_or(0.0, whole);
        let terms = self.answers.iter().zip(&self.terms.products);
        let bears = terms.map(|(a, p)| p.agreed as f64 + (p.stretch - 1.0).max(0.0) * a.shortest);
        let seen = self.answers.iter().filter(|a| a.seen > 0.0);
        let each = seen.clone().map(|a| a.mean).sum::<f64>() / seen.count().max(1) as f64;
        ahead * each / desk.slots.max(1.0) <= bears.fold(f64::INFINITY, f64::min)
    }

    fn lag(&self) -> Nanos {
        self.lag.0.saturating_sub((self.now - self.lag.1) / 8)
    }

    /// Gets work: ready, not set aside, and no probe unanswered for too long.
    fn fit(&self, desk: &Desk) -> bool {
        let silent = desk.probed.is_some_and(|p| self.now - p > self.terms.connect_timeout / 4);
        desk.listing.health == Health::Ready && desk.aside == 0 && !silent
    }

    /// The rules on executions; asked again by `execute`, the only place that orders one.
    fn allowed(&self, held: &Held, worker: Worker) -> bool {
        let Some(Some(desk)) = self.desks.get(worker as usize) else { return false };
        let product = &self.terms.products[usize::from(held.job.product)];
        let over = !held.open || held.streaming || held.executions >= self.terms.max_executions;
        let late = self.now + self.terms.answer_slack >= held.job.cut_off;
        let second = held.out > 0 && !self.terms.may_duplicate;
        let stranger = product.kind.is_some_and(|k| k != desk.listing.kind);
        if over || late || second || stranger || desk.listing.health != Health::Ready {
            return false;
        }
        let repeat = match (held.anchor, product.repeats) {
            (None, _) | (_, Repeats::Harmless) => true,
            (Some(_), Repeats::OneShot) => false,
            (Some((first, sent)), Repeats::Stamped { group, memory }) => {
                let same = self.desks[first as usize].as_ref().is_some_and(|f| match group {
                    Group::All => true,
                    Group::Zone => f.listing.zone == desk.listing.zone,
                    Group::Cell => f.listing.cell == desk.listing.cell,
                });
                // A copy must reach them while they remember, connecting included.
                same && self.now + self.terms.connect_timeout < sent + memory
            }
        };
        let (level, depth) = self.cold_budget(desk);
        repeat && (level <= 0.0 || level + held.work(&self.answers) <= depth)
    }

    /// The work that a cold worker has been pushed with and the most that this may be. Three quarters of this
    /// node's part flow off, and one is the depth, since a window can hold both. A part may be less than one
    /// job: each node starts as if it had sent a random part of one, lest all of them send their first at once.
    fn cold_budget(&self, desk: &Desk) -> (f64, f64) {
        let age = self.now.saturating_sub(desk.listing.started);
        if desk.listing.started == 0 || age >= self.terms.cold_for {
            return (0.0, f64::INFINITY);
        }
        let warmth = age as f64 / self.terms.cold_for as f64;
        let present = self.terms.cold_from + (1.0 - self.terms.cold_from) * warmth;
        let part = self.terms.fall_multiple * present / f64::from(self.terms.nodes);
        let budget = part * mean_slots(&self.desks, desk.listing.kind);
        let paid = (self.now - desk.pushed_at) as f64 * budget * 0.75;
        ((desk.pushed - paid).max(0.0), budget * 0.25 * self.terms.fall_window as f64)
    }

    fn execute(&mut self, submission: Submission, choice: &Choice) {
        let Some(worker) = choice.pick.filter(|w| self.allowed(&self.held[submission as usize], *w)) else {
            return;
        };
        let waits = self.terms.tells_start;
        let level = self.desks[worker as usize].as_ref().map_or(0.0, |d| self.cold_budget(d).0);
        let work = self.held[submission as usize].work(&self.answers);
        let (now, held) = (self.now, &mut self.held[submission as usize]);
        let Some(desk) = &mut self.desks[worker as usize] else { return };
        (desk.pushed, desk.pushed_at) = (level + work, now);
        if desk.out.is_empty() {
            desk.heard = now;
        }
        let (execution, slots, memory) = (held.executions, held.job.slots, held.job.memory);
        desk.send(Out { submission, execution, sent: now, slots, memory, waits });
        held.anchor.get_or_insert((worker, now));
        held.executions += 1;
        held.out += 1;
        held.tried.push(worker);
        self.in_flight += slots;
        let timeout = held.job.cut_off - now - self.terms.answer_slack / 2;
        self.todo.push(Order::Execute { submission, worker, timeout });
    }

    /// The only place that gives a final answer: dismissed where a retry is harmless, else aborted.
    fn finish(&mut self, submission: Submission, excess: bool) {
        let held = &mut self.held[submission as usize];
        if !std::mem::take(&mut held.open) {
            return;
        }
        let repeats = self.terms.products.get(usize::from(held.job.product)).map(|p| p.repeats);
        let harmless =
            matches!(repeats, Some(Repeats::Harmless | Repeats::Stamped { group: Group::All, .. }));
        if harmless || held.anchor.is_none() {
            let come_back = self.terms.come_back.map(|most| if excess { most } else { most / 8 });
            self.todo.push(Order::Dismiss { submission, come_back });
        } else {
            self.todo.push(Order::Abort { submission });
        }
        self.call_off(submission);
    }

    fn forget(&mut self, submission: Submission) {
        let held = self.held.get_mut(submission as usize).filter(|h| h.known && !h.open && h.out == 0);
        if let Some(held) = held {
            held.known = false;
            self.todo.push(Order::Forget { submission });
        }
    }

    fn call_off(&mut self, submission: Submission) {
        if self.terms.may_cancel && self.held[submission as usize].out > 0 {
            let out = self.desks.iter().flatten().flat_map(|d| &d.out).filter(|o| o.submission == submission);
            self.todo.extend(out.map(|o| Order::Cancel { submission, execution: o.execution }));
        }
    }

    fn ended(&mut self, ending: &Ending) {
        let (now, outcome) = (self.now, ending.outcome);
        let Some(Some(desk)) = self.desks.get_mut(ending.worker as usize) else { return };
        let Some(held) = self.held.get_mut(ending.submission as usize) else { return };
        let Some(out) = desk.end(ending.submission, ending.execution) else { return };
        held.out -= 1;
        held.perhaps_ran |= !outcome.never_ran();
        if held.out == 0 && !held.perhaps_ran {
            held.anchor = None;
        }
        self.in_flight = (self.in_flight - out.slots).max(0.0);
        let (product, took) = (usize::from(held.job.product), ending.took as f64);
        let harmless = self.terms.products[product].repeats == Repeats::Harmless;
        let Some(kind) = &mut self.kinds[usize::from(desk.listing.kind)] else { return };
        match outcome {
            Outcome::Satisfied => {
                (desk.heard, desk.served) = (now, desk.served + 1);
                if self.answers[product].seen > 0.0 {
                    desk.paced(now, self.terms.cold_for as f64, took / self.answers[product].mean);
                }
                if desk.served >= RUN * 2 {
                    (desk.served, desk.strikes) = (0, desk.strikes.saturating_sub(1));
                }
                kind.run += 1;
                if kind.run >= RUN {
                    (kind.run, kind.threshold) = (0, (kind.threshold + 1.0).min(THRESHOLD_START));
                }
            }
            Outcome::Full => {
                desk.heard = now;
                if desk.listing.health == Health::Ready {
                    (kind.run, kind.threshold) = (0, (kind.threshold - out.slots).max(THRESHOLD_FLOOR));
                }
            }
            // A fast-failing worker looks empty and would draw all the work; but where a repeat makes good for
            // an error, to miss the part that it still does would cost more.
            Outcome::Error if harmless => desk.aside = desk.aside.max(1),
            Outcome::Error => set_aside(desk, false),
            Outcome::Reset | Outcome::ConnectFailed => set_aside(desk, true),
            Outcome::TimedOut if desk.heard <= out.sent => set_aside(desk, false),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if ending.closed && std::mem::take(&mut held.open) {
            self.call_off(ending.submission);
        }
        if outcome == Outcome::Satisfied {
            self.answered(product, took);
        }
    }

    /// Lets the limit follow the shortest answer time over the present one.
    fn answered(&mut self, product: usize, took: f64) {
        self.answers[product].add(took);
        self.stretch += (took / self.answers[product].shortest - self.stretch) / 32.0;
        let most = self.desks.len() as f64 * THRESHOLD_START;
        let limit = self.limit.min(most);
        let wanted = limit * (1.5 / self.stretch).clamp(0.5, 1.0) + limit.sqrt();
        self.limit = limit + (wanted - limit) / 16.0;
    }

    /// After an execution has ended: a further one if it may and there is a point, else the final answer.
    fn settle(&mut self, submission: Submission) {
        let Some(held) = self.held.get(submission as usize).filter(|h| h.open && h.out == 0) else { return };
        let product = &self.terms.products[usize::from(held.job.product)];
        let pointless = product.late_payoff == 0.0 && self.now > held.taken + 4 * product.agreed;
        let choice = if pointless { Choice::default() } else { self.choose(submission) };
        self.execute_or_finish(submission, &choice);
    }

    fn reported(&mut self, worker: Worker, report: Option<Report>) {
        let lag = self.lag();
        let Some(Some(desk)) = self.desks.get_mut(worker as usize) else { return };
        if let Some(age) = report.and_then(|r| desk.take_report(r, self.now)).filter(|age| *age >= lag) {
            self.lag = (age, self.now);
        }
    }

    fn pulse(&mut self) {
        let period = (self.terms.connect_timeout / 5).max(1_000_000);
        self.next_pulse = self.now + period;
        self.todo.push(Order::Ring { at: self.next_pulse, token: 0 });
        if self.terms.ask_within.is_some() && self.now >= self.subscribe_at {
            self.subscribe_at = Nanos::MAX;
            self.todo.push(Order::Subscribe);
        }
        let ready = self.desks.iter().flatten().filter(|d| d.listing.health == Health::Ready);
        let full = |d: &Desk| f64::from(d.report.free_slots.is_none_or(|f| f < 1.0));
        let (listed, full) = ready.fold((0.0, 0.5), |(n, sum), d| (n + 1.0, sum + full(d)));
        let bearable = self.arrivals.read(self.now, SECOND).max(1.0) * PROBE_SPEND / self.terms.probe_price;
        let spread = SECOND * listed / bearable * listed / full;
        // Asking more often than reports are renewed brings nothing new.
        let refresh = spread.max(self.lag() as f64);
        let took = self.answers.iter().map(|a| a.mean).fold(0.0, f64::max);
        let silence = 2.0 * (self.terms.progress_every.unwrap_or(0) as f64 + took) + period as f64;
        for i in 0..self.desks.len() {
            let desk = self.desks[i].as_mut().filter(|d| d.listing.health != Health::Gone);
            let Some(desk) = desk else { continue };
            if !desk.out.is_empty() && (self.now - desk.heard) as f64 > silence {
                // Probes may still be answered where jobs are not.
                desk.heard = self.now;
                set_aside(desk, false);
            }
            // A hung worker is only found by asking: what holds jobs of ours is not left unasked for long.
            let most = if desk.out.is_empty() { f64::MAX } else { 2.0 * self.terms.connect_timeout as f64 };
            let old = desk.reported.is_none_or(|r| (self.now - r) as f64 > refresh.min(most));
            if !self.terms.may_probe {
                self.come_closer(i);
            } else if desk.probed.is_none() && (desk.aside > 0 || old) {
                desk.probed = Some(self.now);
                self.todo.push(Order::Probe { worker: i as Worker });
            }
            for j in 0..self.desks[i].as_ref().map_or(0, |d| d.out.len()) {
                self.rescue(i, j);
            }
        }
    }

    /// A probe was answered.
    fn come_closer(&mut self, worker: usize) {
        let first = self.chance.f64() * usual(&self.answers);
        let Some(desk) = &mut self.desks[worker] else { return };
        desk.aside = desk.aside.saturating_sub(1);
        if desk.aside == 0 && std::mem::take(&mut desk.died) {
            // The list tells of the new start late; until then this is the best that is known of it.
            (desk.listing.started, desk.reported) = (self.now, None);
            (desk.pushed, desk.pushed_at) = (first, self.now);
        }
    }

    /// A copy of what a silent worker holds, or has not started in time, where the product bears a repeat and
    /// another has room.
    fn rescue(&mut self, desk: usize, out: usize) {
        let Some((desk, out)) = self.desks[desk].as_ref().and_then(|d| Some((d, d.out.get(out)?))) else {
            return;
        };
        let (submission, execution, held) =
            (out.submission, out.execution, &self.held[out.submission as usize]);
        let agreed = self.terms.products[usize::from(held.job.product)].agreed;
        let (waits, stuck) = (out.waits, out.waits && self.now - out.sent > agreed / 2);
        if !held.open || held.out != 1 || (self.fit(desk) && !stuck) {
            return;
        }
        let choice = self.choose(submission);
        if choice.members > 0 {
            self.execute(submission, &choice);
            if waits && self.terms.may_cancel && self.held[submission as usize].out > 1 {
                self.todo.push(Order::Cancel { submission, execution });
            }
        }
    }
}

/// Failures in a row ask for ever more answered probes: a probe does not show that jobs succeed.
fn set_aside(desk: &mut Desk, died: bool) {
    if desk.aside == 0 {
        desk.strikes = (desk.strikes + 1).min(MAX_STRIKES);
    }
    (desk.aside, desk.served) = (1 << desk.strikes, 0);
    desk.died |= died;
}
