//! What a dispatcher remembers: plain records, with no decision in them.

use crate::types::{Execution, Job, Listing, Nanos, Report, Submission, Worker};

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

/// An execution that has not ended.
#[derive(Debug)]
pub(crate) struct Out {
    pub(crate) submission: Submission,
    pub(crate) execution: Execution,
    pub(crate) sent: Nanos,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    /// It has not started, as far as is known.
    pub(crate) waits: bool,
}

/// What is known of one worker.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    pub(crate) listing: Listing,
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
    /// The probe that is out.
    pub(crate) probed: Option<Nanos>,
    /// Answered probes still wanted before it gets work again.
    pub(crate) aside: u32,
    pub(crate) strikes: u32,
    pub(crate) served: u32,
    /// It lost its process, so it will be cold, whatever the list still says.
    pub(crate) died: bool,
    /// Slots sent while cold, less what its budget has paid off.
    pub(crate) pushed: f64,
    pub(crate) pushed_at: Nanos,
}

impl Desk {
    pub(crate) fn send(&mut self, out: Out) {
        self.own_slots += out.slots;
        self.own_memory += out.memory;
        self.out.push(out);
    }

    /// Its answer times lately, as a multiple of what was usual; four usual ones are taken as given.
    pub(crate) fn pace(&self, now: Nanos, span: f64) -> f64 {
        (self.paces.read(now, span) + 4.0) / (self.answers.read(now, span) + 4.0)
    }

    pub(crate) fn paced(&mut self, now: Nanos, span: f64, pace: f64) {
        self.paces.add(now, span, pace);
        self.answers.add(now, span, 1.0);
    }

    /// Notes a report. If it names fewer jobs than we hold there, it was taken before the newest of them
    /// arrived: the age that this proves is returned.
    pub(crate) fn take_report(&mut self, report: Report, now: Nanos) -> Option<Nanos> {
        (self.report, self.reported) = (report, Some(now));
        let in_hand = whole(report.in_hand?);
        let busy = in_hand - report.waiting.map_or(0.0, whole);
        self.slots = report.free_slots.map_or(self.slots, |free| self.slots.max(whole(free) + busy));
        self.out.get(in_hand as usize).map(|missed| now - missed.sent)
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
    pub(crate) taken: Nanos,
    pub(crate) executions: Execution,
    pub(crate) out: u16,
    /// An ended execution may have run.
    pub(crate) perhaps_ran: bool,
    /// The first execution that may have run or still may: its worker and when it was sent.
    pub(crate) anchor: Option<(Worker, Nanos)>,
    pub(crate) tried: Vec<Worker>,
}

impl Held {
    /// The time that the job will hold its slots.
    pub(crate) fn work(&self, answers: &[AnswerTime]) -> f64 {
        self.job.slots * answers.get(usize::from(self.job.product)).map_or(0.0, |a| a.mean)
    }

    pub(crate) fn take(&mut self, job: Job, now: Nanos) {
        let mut tried = std::mem::take(&mut self.tried);
        tried.clear();
        *self = Self { job, known: true, open: true, taken: now, tried, ..Self::default() };
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) threshold: f64,
    pub(crate) run: u32,
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
        Self { mean: agreed as f64, ..Self::default() }
    }

    pub(crate) fn add(&mut self, took: f64) {
        self.seen = (self.seen + 1.0).min(128.0);
        self.mean += (took - self.mean) / self.seen;
        // A mean of few answers may be far too short, and what follows it would never recover.
        let drifted = self.shortest + (self.mean - self.shortest) / 2048.0;
        self.shortest = if self.seen < 32.0 { self.mean } else { self.mean.min(drifted) };
    }
}

/// What an answer takes as a rule, over all products.
pub(crate) fn usual(answers: &[AnswerTime]) -> f64 {
    answers.iter().map(|a| a.mean).sum::<f64>() / answers.len().max(1) as f64
}

/// The slots that workers of a kind were seen to have, one at least.
pub(crate) fn mean_slots(desks: &[Option<Desk>], kind: u16) -> f64 {
    let like = desks.iter().flatten().filter(|d| d.listing.kind == kind && d.slots > 0.0);
    let (slots, n) = like.fold((0.0, 0.0), |(sum, n), d| (sum + d.slots, n + 1.0));
    (slots / f64::max(n, 1.0)).max(1.0)
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

/// A worker drawn for a submission, out of how many below threshold and how many that get work at all.
#[derive(Debug, Default)]
pub(crate) struct Choice {
    pub(crate) members: usize,
    pub(crate) ready: usize,
    pub(crate) pick: Option<Worker>,
}

/// A uniformly random one of however many are offered.
#[derive(Debug, Default)]
pub(crate) struct Draw {
    pub(crate) offered: usize,
    pub(crate) pick: Option<Worker>,
}

impl Draw {
    pub(crate) fn offer(&mut self, worker: Worker, chance: &mut fastrand::Rng) {
        self.offered += 1;
        if chance.usize(..self.offered) == 0 {
            self.pick = Some(worker);
        }
    }
}
