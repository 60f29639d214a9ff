//! What a dispatcher remembers: plain records, with no decision in them.

use std::ops::{Index, IndexMut};

use crate::types::{Execution, Health, Job, Nanos, Product, Report, Submission, Worker, WorkerEntry};

/// A sum that loses its past: what was added `span` ago counts 1/e.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decaying {
    sum: f64,
    at: Nanos,
}

impl Decaying {
    pub(crate) fn read(&self, now: Nanos, span: f64) -> f64 {
        self.sum * (-((now - self.at) as f64) / span).exp()
    }

    pub(crate) fn add(&mut self, now: Nanos, span: f64, amount: f64) {
        (self.sum, self.at) = (self.read(now, span) + amount, now);
    }
}

/// How often something happens, in the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate(Decaying);

impl Rate {
    const SPAN: f64 = 4e9;

    /// A nanosecond's.
    pub(crate) fn read(&self, now: Nanos) -> f64 {
        self.0.read(now, Self::SPAN) / Self::SPAN
    }

    pub(crate) fn add(&mut self, now: Nanos) {
        self.0.add(now, Self::SPAN, 1.0);
    }
}

/// An execution that has not ended.
#[derive(Debug)]
pub(crate) struct Out {
    pub(crate) submission: Submission,
    pub(crate) execution: Execution,
    pub(crate) sent: Nanos,
    /// When it last gave a sign.
    pub(crate) heard: Nanos,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    /// What an answer took as a rule when it was sent.
    pub(crate) usual: f64,
    /// For how long the connection that it took had stood idle, 0 if it was new.
    pub(crate) idled: Nanos,
    /// When another worker was last looked for.
    pub(crate) looked: Nanos,
    /// It has not started, as far as is known.
    pub(crate) waits: bool,
}

/// What is known of one worker.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    pub(crate) listing: WorkerEntry,
    pub(crate) report: Report,
    pub(crate) reported: Option<Nanos>,
    /// The most slots that its reports have shown it to have.
    pub(crate) slots: f64,
    /// What this node has there, the oldest first.
    pub(crate) out: Vec<Out>,
    pub(crate) own_slots: f64,
    pub(crate) own_memory: f64,
    /// When a job of ours there last gave a sign.
    pub(crate) heard: Nanos,
    /// Its answers lately, and their times as multiples of what was usual.
    pub(crate) answers: Decaying,
    pub(crate) paces: Decaying,
    /// Since when a connection stands idle there.
    pub(crate) linked: Option<Nanos>,
    /// The probe that is out.
    pub(crate) probed: Option<Nanos>,
    /// It is among the workers of which something is known now.
    pub(crate) watched: bool,
    /// Answered probes still wanted before it gets work again.
    pub(crate) aside: u32,
    pub(crate) strikes: u32,
    /// Probes in a row that it did not answer, and when it may be asked again.
    pub(crate) unanswered: u32,
    pub(crate) ask_at: Nanos,
    pub(crate) served: u32,
    /// A connection broke, and a probe after it failed: it lost its process, so it will be cold, whatever the
    /// list still says.
    pub(crate) suspected: bool,
    pub(crate) died: bool,
}

impl Desk {
    pub(crate) fn send(&mut self, out: Out) {
        if self.out.is_empty() {
            self.heard = out.sent;
        }
        self.own_slots += out.slots;
        self.own_memory += out.memory;
        self.out.push(out);
    }

    /// Set aside, and there to be asked: one that drains would answer in vain.
    pub(crate) fn wants(&self, now: Nanos) -> bool {
        self.aside > 0 && self.listing.health == Health::Ready && now >= self.ask_at
    }

    /// Its answer times lately, as a multiple of what was usual; four usual ones are taken as given. What is out
    /// for longer than usual counts as it stands: of a worker that slows down answers come too late to tell.
    pub(crate) fn pace(&self, now: Nanos, span: Nanos) -> f64 {
        let span = span as f64;
        let out = self.out.iter().map(|o| (now - o.sent) as f64 / o.usual).filter(|pace| *pace > 1.0);
        let (sum, n) = out.fold((4.0, 4.0), |(sum, n), pace| (sum + pace, n + 1.0));
        (self.paces.read(now, span) + sum) / (self.answers.read(now, span) + n)
    }

    pub(crate) fn paced(&mut self, now: Nanos, span: Nanos, pace: f64) {
        self.paces.add(now, span as f64, pace);
        self.answers.add(now, span as f64, 1.0);
    }

    /// Notes a report. If it names fewer jobs than we hold there, it was taken before the newest of them
    /// arrived: the age that this proves is returned.
    pub(crate) fn take_report(&mut self, mut report: Report, now: Nanos) -> Option<Nanos> {
        let free = report.free_slots.map_or(0.0, whole);
        // Where reports do not count the jobs in hand, the most that was ever free or started of ours is the
        // best that is known: added up, a late report would make a worker look larger than it is.
        let started = || self.out.iter().filter(|o| !o.waits).map(|o| o.slots).sum::<f64>().max(free);
        // What waits is in hand as well, and noise grows with it: counted as slots, a long queue would make a
        // worker look the larger the less it can take.
        let queued = report.queued_jobs.map_or(free < 1.0, |w| whole(w) > 0.0);
        let seen = report.active_jobs.map_or_else(started, |n| if queued { 0.0 } else { free + whole(n) });
        if report.free_slots.is_some() {
            self.slots = self.slots.max(seen);
        }
        if let (None, Some(n)) = (report.queued_jobs, report.active_jobs) {
            let beyond = if queued && self.slots > 0.0 { f64::from(n) - self.slots } else { 0.0 };
            report.queued_jobs = Some(beyond.max(0.0) as f32);
        }
        (self.report, self.reported) = (report, Some(now));
        self.out.get(whole(report.active_jobs?) as usize).map(|missed| now - missed.sent)
    }

    /// Of what we hold there, the part sent since its last report was taken, which was `lag` before it came.
    pub(crate) fn since(&self, lag: Nanos, part: fn(&Out) -> f64) -> f64 {
        let taken_at = self.reported.map_or(0, |r| r.saturating_sub(lag));
        self.out.iter().filter(|o| o.sent > taken_at).map(part).sum()
    }

    /// A connection to it stands idle, for less than `kept`.
    pub(crate) fn is_linked(&self, now: Nanos, kept: f64) -> bool {
        self.linked.is_some_and(|l| ((now - l) as f64) < kept)
    }

    pub(crate) fn restarted(&mut self) {
        self.linked = None;
        (self.reported, self.suspected, self.died) = (None, false, false);
        (self.unanswered, self.ask_at) = (0, 0);
    }

    /// Whether it lost its process before it came back; where nobody could ask, a suspicion must do.
    pub(crate) fn take_death(&mut self, unasked: bool) -> bool {
        let died = self.suspected && (self.died || unasked);
        (self.suspected, self.died) = (false, false);
        died
    }

    /// The memory that is left there, if other nodes' jobs take what ours do.
    pub(crate) fn memory_left(&self, lag: Nanos, per_slot: f64) -> f64 {
        let free = self.report.free_slots.map_or(0.0, whole);
        let others = (self.slots - free - self.own_slots).max(0.0) * per_slot;
        let told = self.report.free_memory.map(|m| f64::from(m) - self.since(lag, |o| o.memory));
        told.unwrap_or(self.slots - self.own_memory - others)
    }

    /// A job of ours has started or made progress. Returns how long it waited, if that was not known before,
    /// and how long its connection had stood idle.
    pub(crate) fn noted(
        &mut self,
        submission: Submission,
        execution: Execution,
        now: Nanos,
    ) -> Option<(Nanos, Nanos)> {
        let mut out = self.out.iter_mut();
        let out = out.find(|o| o.submission == submission && o.execution == execution)?;
        (out.heard, self.heard) = (now, now);
        std::mem::replace(&mut out.waits, false).then(|| (now - out.sent, out.idled))
    }

    /// Whether a job of ours is gone without a word: no sign of it for the time of two progress notes, and a
    /// report that came a note's time after the last one counts fewer jobs than we sent so long before it. What
    /// was sent just now may be missing in it, and says nothing of the others.
    pub(crate) fn lost(&self, out: &Out, every: Option<Nanos>, now: Nanos) -> bool {
        let (Some(every), Some(reported)) = (every, self.reported) else { return false };
        let settled = self.out.iter().filter(|o| reported > o.sent + every).count();
        let denied = self.report.active_jobs.is_some_and(|n| whole(n) < settled as f64);
        denied && now > out.heard + 2 * every && reported > out.heard + every
    }

    pub(crate) fn end(&mut self, submission: Submission, execution: Execution) -> Option<Out> {
        let i = self.out.iter().position(|o| o.submission == submission && o.execution == execution)?;
        let out = self.out.remove(i);
        // Summed anew, so that no rounding is carried along.
        self.own_slots = self.out.iter().map(|o| o.slots).sum();
        self.own_memory = self.out.iter().map(|o| o.memory).sum();
        Some(out)
    }
}

/// What is known of one submission, until its last execution has ended.
#[derive(Debug, Default)]
pub(crate) struct Held {
    pub(crate) job: Job,
    pub(crate) known: bool,
    pub(crate) open: bool,
    pub(crate) streaming: bool,
    pub(crate) executions: Execution,
    pub(crate) out: u16,
    /// An ended execution may have run.
    pub(crate) perhaps_ran: bool,
    /// The first execution that may have run or still may: its worker and when it was sent.
    pub(crate) anchor: Option<(Worker, Nanos)>,
    pub(crate) tried: Vec<Worker>,
}

impl Held {
    pub(crate) fn send(
        &mut self,
        submission: Submission,
        worker: Worker,
        sent: Nanos,
        waits: bool,
        usual: f64,
    ) -> Out {
        let (execution, Job { slots, memory, .. }) = (self.executions, self.job);
        self.anchor.get_or_insert((worker, sent));
        self.executions += 1;
        self.out += 1;
        self.tried.push(worker);
        Out { submission, execution, sent, heard: sent, usual, looked: 0, slots, memory, waits, idled: 0 }
    }

    pub(crate) fn ended(&mut self, perhaps_ran: bool) {
        self.out -= 1;
        self.perhaps_ran |= perhaps_ran;
        if self.out == 0 && !self.perhaps_ran {
            self.anchor = None;
        }
    }

    pub(crate) fn take(&mut self, job: Job) {
        let mut tried = std::mem::take(&mut self.tried);
        tried.clear();
        *self = Self { job, known: true, open: true, tried, ..Self::default() };
    }
}

/// The slots at which a threshold starts before anything was seen.
pub(crate) const MODEST: f64 = 8.0;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) threshold: f64,
    pub(crate) run: u32,
    /// Slots that its workers were seen to have, and how many workers were seen.
    pub(crate) slots: f64,
    pub(crate) seen: f64,
}

impl Kind {
    /// Where its threshold starts, and what it never passes.
    pub(crate) fn start(&self) -> f64 {
        self.mean().max(MODEST)
    }

    /// The slots that one of its workers was seen to have, on average.
    pub(crate) fn mean(&self) -> f64 {
        self.slots / self.seen.max(1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tenant {
    pub(crate) sent: Decaying,
    pub(crate) within: Decaying,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTime {
    pub(crate) seen: f64,
    pub(crate) mean: f64,
    pub(crate) shortest: f64,
}

impl AnswerTime {
    /// Before any answer was seen.
    pub(crate) fn expected(agreed: Nanos) -> Self {
        Self { mean: agreed as f64, shortest: agreed as f64, ..Self::default() }
    }

    pub(crate) fn add(&mut self, took: f64) {
        self.seen = (self.seen + 1.0).min(128.0);
        self.mean += (took - self.mean) / self.seen;
        // A mean of few answers may be far too short, and what follows it would never recover.
        let drifted = self.shortest + (self.mean - self.shortest) / 2048.0;
        self.shortest = if self.seen < 32.0 { self.mean } else { self.mean.min(drifted) };
    }
}

/// Every worker that was listed and not retired.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) desks: Vec<Desk>,
    pub(crate) kinds: Vec<Option<Kind>>,
    /// Those listed as ready.
    pub(crate) ready: Vec<Worker>,
    /// Those of which something is known now.
    pub(crate) watched: Vec<Worker>,
    pub(crate) turn: usize,
    /// The largest size listed, 0 where the list tells none.
    pub(crate) largest: f64,
    /// The mean of the ready workers' sizes, and those of them that were cold when the list last told.
    pub(crate) mean_size: f64,
    pub(crate) young: Vec<Worker>,
    /// Some worker has reported.
    pub(crate) told: bool,
    /// Workers that answered probes lately, and those of them that had room.
    pub(crate) asked: Decaying,
    pub(crate) free: Decaying,
}

impl Fleet {
    pub(crate) fn get_mut(&mut self, worker: Worker) -> Option<&mut Desk> {
        self.desks.get_mut(worker as usize)
    }

    pub(crate) fn kind(&self, desk: &Desk) -> Option<&Kind> {
        self.kinds.get(usize::from(desk.listing.kind))?.as_ref()
    }

    /// What workers like this one were seen to have, one slot at least.
    pub(crate) fn mean_slots(&self, desk: &Desk) -> f64 {
        self.kind(desk).map_or(1.0, |k| k.mean().max(1.0))
    }

    /// Its size as a part of the largest listed, where the list tells sizes.
    pub(crate) fn size(&self, desk: &Desk) -> f64 {
        let told = f64::from(desk.listing.weight);
        if self.largest > 0.0 && told > 0.0 { (told / self.largest).min(1.0) } else { 1.0 }
    }

    /// What all ready workers together may hold, as far as their kinds are known: half as much again may wait.
    pub(crate) fn room(&self) -> f64 {
        let known = self.kinds.iter().flatten();
        let (sum, seen) = known
            .fold((0.0, 0.0), |(sum, seen), k| (sum + (1.5 * k.mean()).max(MODEST) * k.seen, seen + k.seen));
        self.ready.len() as f64 * if seen > 0.0 { sum / seen } else { MODEST }
    }

    /// How many ready workers are open to a product.
    pub(crate) fn open(&self, product: &Product) -> usize {
        let open = |w: &&Worker| product.allows(&self[**w].listing);
        if product.is_restricted() { self.ready.iter().filter(open).count() } else { self.ready.len() }
    }

    /// What this node holds at those.
    pub(crate) fn own_slots(&self, product: &Product) -> f64 {
        let open = self.watched.iter().map(|w| &self[*w]).filter(|d| product.allows(&d.listing));
        open.map(|d| d.own_slots).sum()
    }

    /// The next ready worker in turn whose report is so old, noted as probed.
    pub(crate) fn next_older(&mut self, now: Nanos, old: f64) -> Option<Worker> {
        for _ in 0..self.ready.len() {
            self.turn = self.turn.wrapping_add(1) % self.ready.len();
            let worker = self.ready[self.turn];
            let desk = &self[worker];
            if desk.probed.is_none()
                && desk.aside == 0
                && desk.reported.is_none_or(|r| (now - r) as f64 > old)
            {
                self.watch(worker).probed = Some(now);
                return Some(worker);
            }
        }
        None
    }

    pub(crate) fn mean_threshold(&self) -> Option<f64> {
        let known = self.kinds.iter().flatten();
        let (sum, n) = known.fold((0.0, 0.0), |(sum, n), k| (sum + k.threshold, n + 1.0));
        (n > 0.0).then(|| sum / n)
    }

    pub(crate) fn meet(&mut self, kind: u16, threshold: f64) {
        at(&mut self.kinds, kind.into()).get_or_insert(Kind { threshold, run: 0, slots: 0.0, seen: 0.0 });
    }

    /// The executions of a submission that have not ended, among the workers that it was sent to.
    pub(crate) fn out(&self, submission: Submission, tried: &[Worker]) -> impl Iterator<Item = Execution> {
        let out = tried.iter().flat_map(|w| &self[*w].out);
        out.filter(move |o| o.submission == submission).map(|o| o.execution)
    }

    pub(crate) fn all_gone(&mut self) {
        self.desks.iter_mut().for_each(|d| d.listing.health = Health::Gone);
        self.ready.clear();
    }

    /// Sums up what the list has told: the mean size, and who is cold.
    pub(crate) fn take_stock(&mut self, now: Nanos, cold_for: Nanos) {
        let sizes = self.ready.iter().map(|w| self.size(&self[*w])).sum::<f64>();
        self.mean_size = (sizes / self.ready.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let cold = |w: &&Worker| now < self[**w].listing.started.saturating_add(cold_for);
        self.young = self.ready.iter().filter(cold).copied().collect();
    }

    /// Follows a line of the list. True if it tells of a new start.
    pub(crate) fn follow(&mut self, listing: WorkerEntry, sized: bool) -> bool {
        let desk = at(&mut self.desks, listing.worker);
        match (desk.listing.health == Health::Ready, listing.health == Health::Ready) {
            (false, true) => self.ready.push(listing.worker),
            (true, false) => self.ready.retain(|w| *w != listing.worker),
            _ => {}
        }
        let before = std::mem::replace(&mut desk.listing, listing).started;
        desk.listing.started = listing.started.max(before);
        if sized && listing.weight.is_finite() {
            self.largest = self.largest.max(listing.weight.into());
        }
        listing.started > before
    }

    /// Forgets a worker that is gone; what holds a job of ours or answers a probe still is kept.
    pub(crate) fn retire(&mut self, worker: Worker) {
        let Some(desk) = self.desks.get_mut(worker as usize) else { return };
        if desk.listing.health == Health::Gone && desk.out.is_empty() && desk.probed.is_none() {
            *desk = Desk::default();
            self.watched.retain(|w| *w != worker);
        }
    }

    pub(crate) fn watch(&mut self, worker: Worker) -> &mut Desk {
        let desk = &mut self.desks[worker as usize];
        if !std::mem::replace(&mut desk.watched, true) {
            self.watched.push(worker);
        }
        desk
    }

    /// Notes what a probe tells of all workers.
    pub(crate) fn surveyed(&mut self, report: Option<Report>, now: Nanos) {
        let Some((report, free)) = report.and_then(|r| Some((r, r.free_slots?))) else { return };
        let room = whole(free) - report.queued_jobs.map_or(0.0, whole) >= 1.0;
        self.asked.add(now, Rate::SPAN, 1.0);
        self.free.add(now, Rate::SPAN, f64::from(u8::from(room)));
    }

    /// The part of the workers that have room, as far as was seen lately; one with room is taken as given.
    pub(crate) fn roomy(&self, now: Nanos) -> f64 {
        (self.free.read(now, Rate::SPAN) + 1.0) / (self.asked.read(now, Rate::SPAN) + 1.0)
    }

    /// Notes a report, and the slots that it shows. Returns the age that it proves, 0 for none.
    pub(crate) fn report(&mut self, worker: Worker, report: Option<Report>, now: Nanos) -> Nanos {
        let Some(report) = report.filter(|_| (worker as usize) < self.desks.len()) else { return 0 };
        self.told = true;
        let desk = self.watch(worker);
        let before = desk.slots;
        let age = desk.take_report(report, now);
        let (place, after) = (usize::from(desk.listing.kind), desk.slots);
        if let Some(Some(kind)) = self.kinds.get_mut(place) {
            // A start that was not known before: what was lost since by full answers stays lost.
            let start = kind.start();
            kind.slots += after - before;
            kind.seen += f64::from(u8::from(before == 0.0 && after > 0.0));
            kind.threshold += kind.start() - start;
        }
        age.unwrap_or(0)
    }
}

impl Index<Worker> for Fleet {
    type Output = Desk;

    fn index(&self, worker: Worker) -> &Desk {
        &self.desks[worker as usize]
    }
}

impl IndexMut<Worker> for Fleet {
    fn index_mut(&mut self, worker: Worker) -> &mut Desk {
        &mut self.desks[worker as usize]
    }
}

/// What an answer takes as a rule, over all products.
pub(crate) fn usual(answers: &[AnswerTime]) -> f64 {
    answers.iter().map(|a| a.mean).sum::<f64>() / answers.len().max(1) as f64
}

/// What an answer of the slowest product takes.
pub(crate) fn longest(answers: &[AnswerTime]) -> f64 {
    answers.iter().map(|a| a.mean).fold(0.0, f64::max)
}

/// A report's figure without its noise.
pub(crate) fn whole(figure: f32) -> f64 {
    f64::from(figure).round()
}

/// The median of some values, each as heavy as its weight.
pub(crate) fn median(weights: &[f64], value: impl Fn(usize) -> f64) -> f64 {
    let half = weights.iter().sum::<f64>() / 2.0;
    let up_to =
        |limit: f64| (0..weights.len()).filter(|&i| value(i) <= limit).map(|i| weights[i]).sum::<f64>();
    (0..weights.len()).map(&value).filter(|v| up_to(*v) >= half).fold(f64::INFINITY, f64::min)
}

/// The entry at a small index, made if it is new.
pub(crate) fn at<T: Default>(entries: &mut Vec<T>, index: u32) -> &mut T {
    let index = index as usize;
    if index >= entries.len() {
        entries.resize_with(index + 1, T::default);
    }
    &mut entries[index]
}

/// A worker drawn for a submission, how many are below threshold, and as which part of the known ones.
#[derive(Debug, Default)]
pub(crate) struct Choice {
    pub(crate) room: f64,
    pub(crate) members: usize,
    pub(crate) pick: Option<Worker>,
    /// The ready workers open to it, and what each of them holds of ours on average.
    pub(crate) open: usize,
    pub(crate) mean: f64,
}

/// A uniformly random one of those with the lowest rank offered.
#[derive(Debug, Default)]
pub(crate) struct Draw {
    pub(crate) offered: usize,
    pub(crate) pick: Option<Worker>,
    rank: u8,
    alike: usize,
}

impl Draw {
    pub(crate) fn offer_if(&mut self, fits: bool, worker: Worker, rank: u8, chance: &mut fastrand::Rng) {
        if !fits {
            return;
        }
        self.offered += 1;
        if self.pick.is_none() || rank < self.rank {
            (self.rank, self.alike) = (rank, 0);
        }
        if rank == self.rank {
            self.alike += 1;
            if chance.usize(..self.alike) == 0 {
                self.pick = Some(worker);
            }
        }
    }
}

/// What passes through the node.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) arrivals: Rate,
    /// Those of the last moments.
    pub(crate) lately: Decaying,
    pub(crate) in_flight: f64,
    /// How much of the ready workers' room this node may fill.
    pub(crate) limit: f64,
    /// Answer times as multiples of their products' shortest.
    pub(crate) stretch: f64,
    pub(crate) memory_per_slot: f64,
    /// The slots that a submission asks for on average, product by product, and over how many submissions.
    pub(crate) slots: Vec<f64>,
    pub(crate) averaged: f64,
    /// For how long idle connections are good, as far as was seen.
    pub(crate) kept: f64,
    /// And at most: the settings' time.
    pub(crate) idle: f64,
    /// The part of the executions that started at once.
    pub(crate) prompt: f64,
    pub(crate) lag: (Nanos, Nanos),
    /// Probes that refreshing may send now, and since when.
    pub(crate) probes: (f64, Nanos),
}

impl Flow {
    pub(crate) fn new(idle: Nanos, products: usize) -> Self {
        Self { kept: idle as f64, idle: idle as f64, slots: vec![0.0; products], ..Self::default() }
    }

    const MOMENTS: f64 = 0.25e9;
    /// Submissions over which the slots that they ask for are averaged.
    const AVERAGED: f64 = 64.0;

    /// How old reports are at arrival: as was last proved, fading until it is proved again.
    pub(crate) fn lag(&self, now: Nanos) -> Nanos {
        self.lag.0.saturating_sub((now - self.lag.1) / 8)
    }

    /// How often submissions come, a nanosecond; more as soon as they come faster than chance explains. What is drawn
    /// by a part of the usual would all come in the burst.
    pub(crate) fn rush(&self, now: Nanos) -> f64 {
        let seen = self.lately.read(now, Self::MOMENTS);
        self.arrivals.read(now).max((seen - 2.0 * seen.sqrt()) / Self::MOMENTS)
    }

    /// Until anything was seen, this rate is taken as given.
    pub(crate) fn expect(&mut self, now: Nanos, rate: f64) {
        self.arrivals.0.add(now, Rate::SPAN, rate * Rate::SPAN);
    }

    /// Saves up probes, up to the most.
    pub(crate) fn save(&mut self, now: Nanos, rate: f64, most: f64) {
        self.probes = ((self.probes.0 + rate * (now - self.probes.1) as f64).min(most), now);
    }

    /// What a submission takes of a worker's slots on average, waiting left out, by what answers take now: where few
    /// submissions come, most of those averaged came before any answer had.
    pub(crate) fn work(&self, answers: &[AnswerTime]) -> f64 {
        self.slots.iter().zip(answers).map(|(slots, answer)| slots * answer.shortest).sum()
    }

    /// A submission has come.
    pub(crate) fn pass(&mut self, now: Nanos, job: Job) {
        self.arrivals.add(now);
        self.lately.add(now, Self::MOMENTS, 1.0);
        self.memory_per_slot += (job.memory / job.slots - self.memory_per_slot) / 16.0;
        self.averaged = (self.averaged + 1.0).min(Self::AVERAGED);
        for (product, slots) in self.slots.iter_mut().enumerate() {
            let asked = if product == usize::from(job.product) { job.slots } else { 0.0 };
            *slots += (asked - *slots) / self.averaged;
        }
    }

    /// An execution started at once or did not, on a connection that had stood idle so long: it may have been
    /// dropped unseen.
    pub(crate) fn started(&mut self, at_once: bool, idled: Nanos) {
        self.prompt += (f64::from(u8::from(at_once)) - self.prompt) / 16.0;
        if idled > 0 {
            let kept = self.kept * if at_once { 1.0 + 1.0 / 16.0 } else { 1.0 - 1.0 / 8.0 };
            self.kept = kept.min(self.idle);
        }
    }

    pub(crate) fn proved(&mut self, age: Nanos, now: Nanos) {
        if age > 0 && age >= self.lag(now) {
            self.lag = (age, now);
        }
    }
}

impl Default for Flow {
    fn default() -> Self {
        let arrivals = Rate::default();
        let (lag, probes) = ((0, 0), (0.0, 0));
        let (in_flight, limit, stretch, memory_per_slot) = (0.0, 1.0, 1.0, 1.0);
        Self {
            arrivals,
            lately: Decaying::default(),
            in_flight,
            limit,
            stretch,
            memory_per_slot,
            slots: Vec::new(),
            averaged: 0.0,
            kept: 0.0,
            idle: 0.0,
            prompt: 1.0,
            lag,
            probes,
        }
    }
}
