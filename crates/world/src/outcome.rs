//! The result of a simulation run.

use serde::Serialize;

use crate::judge::{Breach, Rule};
use crate::scenario::{Fault, FaultSpec, Scenario};

/// The cost of wasted work in the score, as a fraction of the payoff.
const WASTE_COST: f64 = 0.02;

/// A second is as good as before the first fault if the earned fraction of the payoff is at least this share
/// of its earlier mean.
const RECOVERED_SHARE: f64 = 0.9;
/// The fleet counts as recovered after this many consecutive good seconds.
const RECOVERED_SECONDS: usize = 3;

/// How long after a fault the earned payoff was back at its earlier level.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// The fault.
    #[serde(rename = "trouble")]
    pub fault: Fault,
    /// When the fault ended, in seconds.
    pub ended_s: f64,
    /// Seconds from the end of the fault to the recovery; none if the fleet did not recover during the run.
    pub after_s: Option<f64>,
}

/// The result of a simulation run. Fields are counts unless documented otherwise.
///
/// A submission is what a client wants done; each try of it, the first one and the retries, is counted
/// separately where the documentation says "tries".
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of the run.
    pub seed: u64,
    /// Submissions that clients made, without their retries.
    #[serde(rename = "asked")]
    pub submissions: u64,
    /// Submissions and their retries.
    pub tries: u64,
    /// Tries that nodes accepted.
    pub taken: u64,
    /// Tries that were answered with a result.
    pub satisfied: u64,
    /// Submissions whose result came within the latency target.
    pub in_time: u64,
    /// Tries that were dismissed.
    pub dismissed: u64,
    /// Tries that were dismissed while a warm, available executor had free slots for them.
    pub dismissed_with_room: u64,
    /// Tries that were aborted: answered without a result, and without the promise that they did not run.
    pub aborted: u64,
    /// Tries that ended without an answer: the node's process ended, no node was reachable, or the client
    /// left.
    pub unanswered: u64,
    /// Executions that nodes sent to executors.
    pub executions: u64,
    /// Executions that went to another zone.
    pub crossings: u64,
    /// Probes that nodes sent.
    pub probes: u64,
    /// Connections that nodes opened to executors.
    pub handshakes: u64,
    /// One-shot submissions that started to run more than once, because their clients retried them.
    #[serde(rename = "ran_again")]
    pub one_shots_run_again: u64,
    /// By second: connections that nodes opened to executors.
    pub handshakes_by_second: Vec<u64>,
    /// By second: requests for the whole list.
    pub lists_by_second: Vec<u64>,
    /// The payoff of all submissions, if each were answered in time.
    #[serde(rename = "worth")]
    pub offered_payoff: f64,
    /// The earned fraction of the offered payoff. A late result earns the late payoff.
    pub goodput: f64,
    /// The offered payoff, by the second of the first try.
    #[serde(rename = "asked_by_second")]
    pub offered_payoff_by_second: Vec<f64>,
    /// The earned payoff, by the second of the first try.
    #[serde(rename = "won_by_second")]
    pub earned_payoff_by_second: Vec<f64>,
    /// The earned payoff, by product.
    pub by_product: Vec<f64>,
    /// The earned payoff, by tenant.
    pub by_tenant: Vec<f64>,
    /// Seconds from the first try to the result, of satisfied submissions, in the order of the answers.
    #[serde(skip)]
    pub answer_times: Vec<f32>,
    /// The median of these times.
    pub p50_s: f64,
    /// Their 99th percentile.
    pub p99_s: f64,
    /// Seconds of work done by each executor.
    pub work_by_executor: Vec<f64>,
    /// The fraction of all executed work that did not contribute to a result.
    pub waste: f64,
    /// The recovery after each fault, in the order of the scenario.
    pub recoveries: Vec<Recovery>,
    /// The number of breaches of rules.
    pub broken: u64,
    /// The first breaches, with their details.
    pub breaches: Vec<Breach>,
    /// Simulated events, which show the cost of a run.
    pub events: u64,
}

impl Outcome {
    /// Returns the goodput minus the costs of zone crossings, probes and wasted work: the single figure by
    /// which policies are compared.
    #[must_use]
    pub fn score(&self, s: &Scenario) -> f64 {
        let per_submission = 1.0 / (self.submissions.max(1)) as f64;
        let crossing_cost = self.crossings as f64 * per_submission * s.limits.zone_crossing_cost;
        let probe_cost = self.probes as f64 * per_submission * s.limits.probe_cost;
        self.goodput - crossing_cost - probe_cost - WASTE_COST * self.waste
    }

    /// Returns the rules that were broken, without duplicates, in the order of [`Rule`].
    #[must_use]
    pub fn rules(&self) -> Vec<Rule> {
        let mut rules: Vec<Rule> = self.breaches.iter().map(|b| b.rule).collect();
        rules.sort_unstable();
        rules.dedup();
        rules
    }

    /// Computes the figures that follow from the counts, after the end of the run.
    pub(crate) fn compute_figures(&mut self, s: &Scenario) {
        let earned: f64 = self.earned_payoff_by_second.iter().sum();
        self.goodput = if self.offered_payoff > 0.0 { earned / self.offered_payoff } else { 0.0 };
        let mut times = self.answer_times.clone();
        times.sort_unstable_by(f32::total_cmp);
        self.p50_s = quantile(&times, 0.5);
        self.p99_s = quantile(&times, 0.99);
        self.recoveries = self.find_recoveries(s);
    }

    /// Returns the recovery after each fault of the scenario.
    fn find_recoveries(&self, s: &Scenario) -> Vec<Recovery> {
        let first_fault = s.faults.iter().map(|t| t.at_s).fold(s.span_s, f64::min) as usize;
        let before: Vec<f64> = (0..first_fault).filter_map(|second| self.earned_share(second)).collect();
        let usual_share = before.iter().sum::<f64>() / before.len().max(1) as f64;
        let recovery = |fault: &FaultSpec| {
            let ended_s = fault.at_s + fault.for_s;
            let after_s = if before.is_empty() { None } else { self.recovered_after(ended_s, usual_share) };
            Recovery { fault: fault.kind, ended_s, after_s }
        };
        s.faults.iter().map(recovery).collect()
    }

    /// Returns the seconds from the end of a fault to the start of the first consecutive seconds that earn
    /// nearly as much as usual. `usual_share` is the mean earned fraction before the first fault.
    fn recovered_after(&self, ended_s: f64, usual_share: f64) -> Option<f64> {
        let ended = ended_s.ceil() as usize;
        let is_good = |second: usize| {
            self.earned_share(second).is_none_or(|share| share >= RECOVERED_SHARE * usual_share)
        };
        let stays_good = |from: &usize| (*from..*from + RECOVERED_SECONDS).all(is_good);
        let recovered = (ended..self.offered_payoff_by_second.len()).find(stays_good)?;
        Some((recovered - ended) as f64)
    }

    /// Returns the earned fraction of the payoff offered in a second, or none if none was offered.
    fn earned_share(&self, second: usize) -> Option<f64> {
        let offered = self.offered_payoff_by_second.get(second).copied().unwrap_or(0.0);
        (offered > 0.0).then(|| self.earned_payoff_by_second[second] / offered)
    }
}

/// Returns the quantile of sorted values, or 0 if there are none.
fn quantile(sorted: &[f32], fraction: f64) -> f64 {
    let index = ((sorted.len() as f64 * fraction) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |value| f64::from(*value))
}
