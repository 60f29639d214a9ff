//! What came of a world.

use serde::Serialize;

use crate::judge::{Breach, Rule};
use crate::scenario::{Fault, FaultSpec, Scenario};

/// What waste costs in the score, as a part of the worth.
const WASTE_PRICE: f64 = 0.02;

/// A world has come back when this part of what usually is answered in time is so again,
const RECOVERED_PART: f64 = 0.9;
/// for so many seconds on end.
const RECOVERED_SECONDS: usize = 3;

/// How long after a trouble the worth answered in time was what it had been.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// Which one.
    pub trouble: Fault,
    /// When it ended.
    pub ended_s: f64,
    /// Seconds from its end; none if it was not within the run.
    pub after_s: Option<f64>,
}

/// Counts, unless the name says otherwise. Tries are submissions; a client's retries belong to its first.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// The seed that it was played with.
    pub seed: u64,
    /// Submissions that clients made, without their retries.
    pub asked: u64,
    /// The same with their retries.
    pub tries: u64,
    /// Tries that nodes accepted.
    pub taken: u64,
    /// Tries that were answered with a result.
    pub satisfied: u64,
    /// Submissions of which a result came in time.
    pub in_time: u64,
    /// Tries that were turned away.
    pub dismissed: u64,
    /// Dismissed while some executor that was up and warm had room for it.
    pub dismissed_with_room: u64,
    /// Tries that were answered without a result, though they had been sent to executors.
    pub aborted: u64,
    /// Tries that ended with no answer: the node died, could not be reached, or the client left.
    pub unanswered: u64,
    /// Jobs that nodes sent to executors.
    pub executions: u64,
    /// Those of them that went to another zone.
    pub crossings: u64,
    /// Probes that nodes sent.
    pub probes: u64,
    /// Connections that nodes opened to executors.
    pub handshakes: u64,
    /// One-shots of which more than one execution began, by their clients' asking again.
    pub ran_again: u64,
    /// By second: connections that nodes opened to executors.
    pub handshakes_by_second: Vec<u64>,
    /// By second: calls for the whole list.
    pub lists_by_second: Vec<u64>,
    /// What all submissions were worth.
    pub worth: f64,
    /// The part of it that was answered in time (late, as far as that pays).
    pub goodput: f64,
    /// What was asked for, by second of the first try.
    pub asked_by_second: Vec<f64>,
    /// What was answered, by second of the first try.
    pub won_by_second: Vec<f64>,
    /// What was answered, by product.
    pub by_product: Vec<f64>,
    /// What was answered, by tenant.
    pub by_tenant: Vec<f64>,
    /// Seconds from the first try to the answer, of what was satisfied, in the order of answers.
    #[serde(skip)]
    pub answer_times: Vec<f32>,
    /// The median of these times.
    pub p50_s: f64,
    /// Their 99th percentile.
    pub p99_s: f64,
    /// Seconds of work done by each executor.
    pub work_by_executor: Vec<f64>,
    /// The part of all work that answered nothing.
    pub waste: f64,
    /// How the world came back after each trouble.
    pub recoveries: Vec<Recovery>,
    /// How often a rule was broken.
    pub broken: u64,
    /// The first of these, with what was broken.
    pub breaches: Vec<Breach>,
    /// Things that happened, for the cost of a world.
    pub events: u64,
}

impl Outcome {
    /// Goodput less the prices of crossings, probes and waste: the one figure to compare by.
    #[must_use]
    pub fn score(&self, s: &Scenario) -> f64 {
        let each = 1.0 / (self.asked.max(1)) as f64;
        let crossings = self.crossings as f64 * each * s.limits.zone_crossing_cost;
        let probes = self.probes as f64 * each * s.limits.probe_cost;
        self.goodput - crossings - probes - WASTE_PRICE * self.waste
    }

    /// The rules that were broken, each once, in their order.
    #[must_use]
    pub fn rules(&self) -> Vec<Rule> {
        let mut rules: Vec<Rule> = self.breaches.iter().map(|b| b.rule).collect();
        rules.sort_unstable();
        rules.dedup();
        rules
    }

    /// Works out what follows from the counts, once the world has ended.
    pub(crate) fn finish(&mut self, s: &Scenario) {
        let won: f64 = self.won_by_second.iter().sum();
        self.goodput = if self.worth > 0.0 { won / self.worth } else { 0.0 };
        let mut times = self.answer_times.clone();
        times.sort_unstable_by(f32::total_cmp);
        self.p50_s = quantile(&times, 0.5);
        self.p99_s = quantile(&times, 0.99);
        self.recoveries = self.find_recoveries(s);
    }

    /// How the world came back after each trouble.
    fn find_recoveries(&self, s: &Scenario) -> Vec<Recovery> {
        let first_trouble = s.troubles.iter().map(|t| t.at_s).fold(s.span_s, f64::min) as usize;
        let before: Vec<f64> = (0..first_trouble).filter_map(|second| self.won_part(second)).collect();
        let usual = before.iter().sum::<f64>() / before.len().max(1) as f64;
        let recovery = |t: &FaultSpec| {
            let ended_s = t.at_s + t.for_s;
            let after_s = if before.is_empty() { None } else { self.back_after(ended_s, usual) };
            Recovery { trouble: t.kind, ended_s, after_s }
        };
        s.troubles.iter().map(recovery).collect()
    }

    /// Seconds from the end of a trouble to the first of some seconds on end that are nearly as good as usual.
    fn back_after(&self, ended_s: f64, usual: f64) -> Option<f64> {
        let ended = ended_s.ceil() as usize;
        let is_good = |second: usize| self.won_part(second).is_none_or(|part| part >= RECOVERED_PART * usual);
        let stays_good = |from: &usize| (*from..*from + RECOVERED_SECONDS).all(is_good);
        let back = (ended..self.asked_by_second.len()).find(stays_good)?;
        Some((back - ended) as f64)
    }

    /// The part of what was asked for in a second that was answered; none if nothing was.
    fn won_part(&self, second: usize) -> Option<f64> {
        let asked = self.asked_by_second.get(second).copied().unwrap_or(0.0);
        (asked > 0.0).then(|| self.won_by_second[second] / asked)
    }
}

/// The value under which a part of all sorted values lie; 0 where there is none.
fn quantile(sorted: &[f32], part: f64) -> f64 {
    let place = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(place).map_or(0.0, |value| f64::from(*value))
}
