//! Results of plays: tables for people, lines of JSON, and the exit code.

use std::io::Write as _;
use std::process::ExitCode;

use crate::play::{Played, mean};
use crate::policies::Policy;

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// Writes them to standard output, a line of JSON each.
///
/// # Errors
///
/// Nobody reads it any more.
pub fn lines(played: &[Played]) -> Fallible<()> {
    let mut out = std::io::stdout().lock();
    for p in played {
        serde_json::to_writer(&mut out, p)?;
        writeln!(out)?;
    }
    Ok(())
}

/// A broken rule makes the exit code 1.
#[must_use]
pub fn verdict(played: &[Played]) -> ExitCode {
    ExitCode::from(u8::from(played.iter().any(|p| p.outcome.broken > 0)))
}

/// One row a play, with the rules that were broken.
#[must_use]
pub fn table(played: &[Played]) -> String {
    let mut text = String::from(
        "seed        score  goodput  in time  dismissed (room)  aborted  lost  p50 s   p99 s   probes  crossed  waste  rules broken\n",
    );
    for p in played {
        let o = &p.outcome;
        let rules: Vec<String> = o.rules().iter().map(|r| format!("{r:?}")).collect();
        let part = |n: u64| n as f64 / o.submissions.max(1) as f64;
        text += &format!(
            "{:<10}  {:.3}  {:.3}    {:.3}    {:<7} {:<8}  {:<7}  {:<4}  {:.3}   {:.3}   {:.2}    {:.2}     {:.2}   {}\n",
            o.seed,
            p.score,
            o.goodput,
            part(o.in_time),
            o.dismissed,
            format!("({})", o.dismissed_with_room),
            o.aborted,
            o.unanswered,
            o.p50_s,
            o.p99_s,
            part(o.probes),
            part(o.crossings),
            o.waste,
            if rules.is_empty() { "none".into() } else { rules.join(" ") }
        );
        for b in o.breaches.iter().take(5) {
            text += &format!("  {:?} at {:.3} s: {}\n", b.rule, b.at_s, b.detail);
        }
        for r in &o.recoveries {
            let after = r.after_s.map_or("not within the run".into(), |s| format!("{s:.0} s"));
            text += &format!("  {:?} until {:.0} s: recovered after {after}\n", r.fault, r.ended_s);
        }
    }
    text
}

/// One row a policy, and what each scores less the first on the same seeds.
#[must_use]
pub fn comparison(played: &[Played], policies: &[Policy]) -> String {
    let of = |p: Policy, f: &dyn Fn(&Played) -> f64| -> Vec<f64> {
        played.iter().filter(|x| x.policy == p).map(f).collect()
    };
    let score = |x: &Played| x.score;
    let reference = of(policies[0], &score);
    let mut text = String::from(
        "policy            score           less the first   goodput  p99 s   dismissed  probes  rules broken\n",
    );
    for p in policies {
        let scores = of(*p, &score);
        let less: Vec<f64> = scores.iter().zip(&reference).map(|(a, b)| a - b).collect();
        let ask = |f: &dyn Fn(&Played) -> f64| mean(&of(*p, f)).mean;
        let part = |n: u64, x: &Played| n as f64 / x.outcome.submissions.max(1) as f64;
        text += &format!(
            "{:<16}  {:<14}  {:<15}  {:.3}    {:.3}   {:.3} ({:.3})          {:.2}    {}\n",
            p.name(),
            mean(&scores).to_string(),
            if p == &policies[0] { "-".into() } else { mean(&less).to_string() },
            ask(&|x| x.outcome.goodput),
            ask(&|x| x.outcome.p99_s),
            ask(&|x| part(x.outcome.dismissed, x)),
            ask(&|x| part(x.outcome.dismissed_with_room, x)),
            ask(&|x| part(x.outcome.probes, x)),
            of(*p, &|x| x.outcome.broken as f64).iter().sum::<f64>(),
        );
    }
    text
}
