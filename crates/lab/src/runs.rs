//! Parallel simulation runs, and statistics over their results.

use indicatif::{ProgressBar, ProgressStyle};
use linestack_world::{Outcome, Scenario, run};
use rayon::prelude::*;
use serde::Serialize;

use crate::policies::Policy;

/// The result of one scenario under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    pub policy: Policy,
    /// The goodput minus the costs of zone crossings, probes and wasted work.
    pub score: f64,
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Runs one scenario. An invariant that a node reports as broken is part of the outcome, as a violated rule.
#[must_use]
pub fn run_scenario(scenario: &Scenario, policy: Policy) -> RunResult {
    let outcome = run(scenario, &|setup| policy.build_node(setup));
    RunResult { policy, score: outcome.score(scenario), outcome }
}

/// Runs every scenario under every policy, in parallel on all cores. The results are in the order of the
/// arguments, whichever run ends first.
#[must_use]
pub fn run_all(scenarios: &[Scenario], policies: &[Policy], quiet: bool) -> Vec<RunResult> {
    let bar = progress_bar((scenarios.len() * policies.len()) as u64, quiet);
    let runs: Vec<(&Scenario, Policy)> =
        scenarios.iter().flat_map(|s| policies.iter().map(move |p| (s, *p))).collect();
    let results = runs
        .into_par_iter()
        .map(|(scenario, policy)| {
            let result = run_scenario(scenario, policy);
            bar.inc(1);
            result
        })
        .collect();
    bar.finish_and_clear();
    results
}

/// Returns a progress bar of this length, or a hidden one if `quiet`.
#[must_use]
pub fn progress_bar(length: u64, quiet: bool) -> ProgressBar {
    if quiet {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len}, {eta} left");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Returns the scenario with `count` consecutive seeds, starting with its own.
#[must_use]
pub fn with_seeds(scenario: &Scenario, count: u64) -> Vec<Scenario> {
    let with_seed = |i| Scenario { seed: scenario.seed.wrapping_add(i), ..scenario.clone() };
    (0..count).map(with_seed).collect()
}

/// A sample mean with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Mean {
    pub mean: f64,
    /// Half the width of the interval; infinite for fewer than two values.
    pub within: f64,
}

/// The two-sided 95 % quantiles of Student's t distribution, for 1 to 30 degrees of freedom.
const STUDENT_T_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];
/// The two-sided 95 % quantile of the normal distribution, used beyond 30 degrees of freedom.
const NORMAL_95: f64 = 1.96;

/// Returns the mean of a sample and its confidence interval.
#[must_use]
pub fn mean(values: &[f64]) -> Mean {
    let n = values.len();
    let mean = values.iter().sum::<f64>() / n.max(1) as f64;
    if n < 2 {
        return Mean { mean, within: f64::INFINITY };
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    let t = STUDENT_T_95.get(n - 2).copied().unwrap_or(NORMAL_95);
    Mean { mean, within: t * (variance / n as f64).sqrt() }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.within.is_finite() {
            write!(f, "{:.3} ±{:.3}", self.mean, self.within)
        } else {
            write!(f, "{:.3}", self.mean)
        }
    }
}
