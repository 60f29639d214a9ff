//! Output of simulation results: tables, JSON Lines and the exit code.

use std::io::Write as _;
use std::process::ExitCode;

use crate::policies::Policy;
use crate::runs::{RunResult, mean};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// The breaches of rules that a table lists for each run.
const MAX_LISTED_BREACHES: usize = 5;

/// Writes the results to standard output as JSON Lines.
///
/// # Errors
///
/// Standard output cannot be written, for example because its reader has closed it.
pub fn write_json_lines(results: &[RunResult]) -> Fallible<()> {
    let mut out = std::io::stdout().lock();
    for result in results {
        serde_json::to_writer(&mut out, result)?;
        writeln!(out)?;
    }
    Ok(())
}

/// Returns the exit code: 1 if a rule was violated, or else 0.
#[must_use]
pub fn exit_code(results: &[RunResult]) -> ExitCode {
    ExitCode::from(u8::from(results.iter().any(|r| r.outcome.broken > 0)))
}

/// Returns a table with one row per run, followed by its first breaches and its recoveries.
#[must_use]
pub fn result_table(results: &[RunResult]) -> String {
    let mut text = String::from(
        "seed        score  goodput  in time  dismissed (room)  aborted  lost  p50 s   p99 s   probes  crossed  waste  rules broken\n",
    );
    for result in results {
        let o = &result.outcome;
        let rules: Vec<String> = o.rules().iter().map(|r| format!("{r:?}")).collect();
        let share = |n: u64| n as f64 / o.submissions.max(1) as f64;
        text += &format!(
            "{:<10}  {:.3}  {:.3}    {:.3}    {:<7} {:<8}  {:<7}  {:<4}  {:.3}   {:.3}   {:.2}    {:.2}     {:.2}   {}\n",
            o.seed,
            result.score,
            o.goodput,
            share(o.in_time),
            o.dismissed,
            format!("({})", o.dismissed_with_room),
            o.aborted,
            o.unanswered,
            o.p50_s,
            o.p99_s,
            share(o.probes),
            share(o.crossings),
            o.waste,
            if rules.is_empty() { "none".into() } else { rules.join(" ") }
        );
        for breach in o.breaches.iter().take(MAX_LISTED_BREACHES) {
            text += &format!("  {:?} at {:.3} s: {}\n", breach.rule, breach.at_s, breach.detail);
        }
        for recovery in &o.recoveries {
            let recovered = recovery
                .after_s
                .map_or("not recovered within the run".into(), |s| format!("recovered after {s:.0} s"));
            text += &format!("  {:?} until {:.0} s: {recovered}\n", recovery.fault, recovery.ended_s);
        }
    }
    text
}

/// Returns a table with one row per policy, with the difference of its score from that of the first policy on the
/// same seeds.
#[must_use]
pub fn comparison_table(results: &[RunResult], policies: &[Policy]) -> String {
    let values_of = |policy: Policy, value: &dyn Fn(&RunResult) -> f64| -> Vec<f64> {
        results.iter().filter(|r| r.policy == policy).map(value).collect()
    };
    let score = |r: &RunResult| r.score;
    let reference = values_of(policies[0], &score);
    let mut text = String::from(
        "policy            score           less the first   goodput  p99 s   dismissed  probes  rules broken\n",
    );
    for policy in policies {
        let scores = values_of(*policy, &score);
        let differences: Vec<f64> = scores.iter().zip(&reference).map(|(a, b)| a - b).collect();
        let mean_of = |value: &dyn Fn(&RunResult) -> f64| mean(&values_of(*policy, value)).mean;
        let share = |n: u64, r: &RunResult| n as f64 / r.outcome.submissions.max(1) as f64;
        text += &format!(
            "{:<16}  {:<14}  {:<15}  {:.3}    {:.3}   {:.3} ({:.3})          {:.2}    {}\n",
            policy.name(),
            mean(&scores).to_string(),
            if policy == &policies[0] { "-".into() } else { mean(&differences).to_string() },
            mean_of(&|r| r.outcome.goodput),
            mean_of(&|r| r.outcome.p99_s),
            mean_of(&|r| share(r.outcome.dismissed, r)),
            mean_of(&|r| share(r.outcome.dismissed_with_room, r)),
            mean_of(&|r| share(r.outcome.probes, r)),
            values_of(*policy, &|r| r.outcome.broken as f64).iter().sum::<f64>(),
        );
    }
    text
}
