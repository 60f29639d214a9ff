//! Many worlds at once, and what they say together.

use indicatif::{ProgressBar, ProgressStyle};
use linestack_world::{Outcome, Scenario, run};
use rayon::prelude::*;
use serde::Serialize;

use crate::policies::Policy;

/// One world played by one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    pub policy: Policy,
    pub score: f64,
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Plays one world. A node that breaks an assertion is an outcome too: it is reported as a broken rule.
#[must_use]
pub fn play(scenario: &Scenario, policy: Policy) -> Played {
    let outcome = run(scenario, &|seat| policy.make(seat));
    Played { policy, score: outcome.score(scenario), outcome }
}

/// Plays every scenario by every policy, side by side on all cores; the order of the results is that of the
/// arguments, whatever ends first.
#[must_use]
pub fn play_all(scenarios: &[Scenario], policies: &[Policy], quiet: bool) -> Vec<Played> {
    let bar = bar((scenarios.len() * policies.len()) as u64, quiet);
    let jobs: Vec<(&Scenario, Policy)> =
        scenarios.iter().flat_map(|s| policies.iter().map(move |p| (s, *p))).collect();
    let played = jobs
        .into_par_iter()
        .map(|(s, p)| {
            let played = play(s, p);
            bar.inc(1);
            played
        })
        .collect();
    bar.finish_and_clear();
    played
}

#[must_use]
pub fn bar(length: u64, quiet: bool) -> ProgressBar {
    if quiet {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} worlds, {eta} left");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// The same scenario with so many seeds, from its own on.
#[must_use]
pub fn seeds(scenario: &Scenario, count: u64) -> Vec<Scenario> {
    let seed = |i| Scenario { seed: scenario.seed.wrapping_add(i), ..scenario.clone() };
    (0..count).map(seed).collect()
}

/// A mean with the half width of its 95 % confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Mean {
    pub mean: f64,
    pub within: f64,
}

/// Student's t for 95 %, two-sided, by degrees of freedom.
const STUDENT: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// Of one value alone nothing can be said but itself: its interval has no bound.
#[must_use]
pub fn mean(values: &[f64]) -> Mean {
    let n = values.len();
    let mean = values.iter().sum::<f64>() / n.max(1) as f64;
    if n < 2 {
        return Mean { mean, within: f64::INFINITY };
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    let t = STUDENT.get(n - 2).copied().unwrap_or(1.96);
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
