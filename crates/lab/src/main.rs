//! The program `linestack-lab`.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand};
use linestack_lab::file;
use linestack_lab::hunt::{Prey, search, shrink, to_file};
use linestack_lab::play::{Played, mean, play_all, seeds};
use linestack_lab::policies::Policy;

/// Plays worlds of whole nodes in simulated time, and loads real nodes on loopback.
#[derive(Parser)]
#[command(version, about, propagate_version = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// No progress bars.
    #[arg(long, short, global = true)]
    quiet: bool,
    /// Results as JSON Lines on standard output, one world a line.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario, and tell what came of it. Exits with 1 if a rule was broken.
    Run {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, value_enum, default_value = "linestack")]
        policy: Policy,
    },
    /// Play a scenario by several policies on the same seeds.
    Compare {
        scenario: PathBuf,
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// All, if none is named.
        #[arg(long, value_enum, value_delimiter = ',')]
        policies: Vec<Policy>,
    },
    /// Search random small worlds for a broken rule, or for the largest loss against a policy; what is found
    /// is cut down to the smallest scenario that shows it. Exits with 1 if a rule was broken.
    Hunt {
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Look for losses against this policy too.
        #[arg(long, value_enum)]
        against: Option<Policy>,
        /// How many of the largest losses to keep.
        #[arg(long, default_value_t = 1)]
        most: usize,
        /// Plays that cutting down may take, for each find.
        #[arg(long, default_value_t = 2000)]
        tries: usize,
        /// Where the scenarios go.
        #[arg(long, default_value = "found")]
        out: PathBuf,
    },
    /// Play scenario files again, as they are. Exits with 1 if a rule was broken.
    Replay { scenarios: Vec<PathBuf> },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match go(&arguments) {
        Ok(code) => code,
        Err(why) => {
            for line in why.to_string().lines() {
                eprintln!("linestack-lab: {line}");
            }
            ExitCode::from(2)
        }
    }
}

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

fn go(arguments: &Arguments) -> Fallible<ExitCode> {
    match &arguments.command {
        Command::Run { scenario, seeds: count, policy } => {
            let s = file::read(scenario)?;
            let started = Instant::now();
            let played = play_all(&seeds(&s, *count), &[*policy], arguments.quiet || *count < 2);
            let took = started.elapsed().as_secs_f64();
            if arguments.json {
                lines(&played)?;
            } else {
                print!("{}", table(&played));
                let simulated = s.span_s * *count as f64;
                let events: u64 = played.iter().map(|p| p.outcome.events).sum();
                println!(
                    "{simulated:.0} simulated s in {took:.2} s ({:.0} times real time), {events} events",
                    simulated / took
                );
            }
            Ok(verdict(&played))
        }
        Command::Compare { scenario, seeds: count, policies } => {
            let s = file::read(scenario)?;
            let all: Vec<Policy> = <Policy as clap::ValueEnum>::value_variants().to_vec();
            let policies = if policies.is_empty() { all } else { policies.clone() };
            let played = play_all(&seeds(&s, *count), &policies, arguments.quiet);
            if arguments.json {
                lines(&played)?;
            } else {
                print!("{}", comparison(&played, &policies));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Hunt { seeds, from, against, most, tries, out } => {
            found(*from, *seeds, *against, *most, *tries, out, arguments.quiet)
        }
        Command::Replay { scenarios } => {
            let all = scenarios.iter().map(|p| file::read(p)).collect::<Result<Vec<_>, _>>()?;
            let played = play_all(&all, &[Policy::Linestack], arguments.quiet);
            if arguments.json {
                lines(&played)?;
            } else {
                print!("{}", table(&played));
            }
            Ok(verdict(&played))
        }
    }
}

fn found(
    from: u64,
    count: u64,
    against: Option<Policy>,
    most: usize,
    tries: usize,
    out: &std::path::Path,
    quiet: bool,
) -> Fallible<ExitCode> {
    let (broken, found) = search(from, count, against, most, quiet);
    println!("{count} worlds from seed {from}: {broken} with a broken rule");
    for find in &found {
        let small = shrink(find, tries);
        std::fs::create_dir_all(out)?;
        let what = match find.prey {
            Prey::Broken(rule) => format!("{rule:?}"),
            Prey::Loss(other, _) => format!("loss-{}", other.name()),
        };
        let path = out.join(format!("{}-{}.toml", what.to_lowercase(), small.seed));
        std::fs::write(&path, to_file(&small))?;
        println!("{what}: {}", path.display());
        let policies: Vec<Policy> = match find.prey {
            Prey::Broken(_) => vec![Policy::Linestack],
            Prey::Loss(other, _) => vec![Policy::Linestack, other],
        };
        print!("{}", table(&play_all(&[small], &policies, true)));
    }
    Ok(ExitCode::from(u8::from(broken > 0)))
}

fn lines(played: &[Played]) -> Fallible<()> {
    let mut out = std::io::stdout().lock();
    for p in played {
        serde_json::to_writer(&mut out, p)?;
        writeln!(out)?;
    }
    Ok(())
}

/// A broken rule makes the exit code 1.
fn verdict(played: &[Played]) -> ExitCode {
    ExitCode::from(u8::from(played.iter().any(|p| p.outcome.broken > 0)))
}

fn table(played: &[Played]) -> String {
    let mut text = String::from(
        "seed        score  goodput  in time  dismissed (room)  aborted  lost  p50 s   p99 s   probes  crossed  waste  rules broken\n",
    );
    for p in played {
        let o = &p.outcome;
        let rules: Vec<String> = o.rules().iter().map(|r| format!("{r:?}")).collect();
        let part = |n: u64| n as f64 / o.asked.max(1) as f64;
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
            text += &format!("  {:?} at {:.3} s: {}\n", b.rule, b.at_s, b.what);
        }
        for r in &o.recoveries {
            let after = r.after_s.map_or("not within the run".into(), |s| format!("{s:.0} s"));
            text += &format!("  {:?} until {:.0} s: recovered after {after}\n", r.trouble, r.ended_s);
        }
    }
    text
}

fn comparison(played: &[Played], policies: &[Policy]) -> String {
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
        let part = |n: u64, x: &Played| n as f64 / x.outcome.asked.max(1) as f64;
        text += &format!(
            "{:<16}  {:<14}  {:<15}  {:.3}    {:.3}   {:.3}      {:.2}    {}\n",
            p.name(),
            mean(&scores).to_string(),
            if p == &policies[0] { "-".into() } else { mean(&less).to_string() },
            ask(&|x| x.outcome.goodput),
            ask(&|x| x.outcome.p99_s),
            ask(&|x| part(x.outcome.dismissed, x)),
            ask(&|x| part(x.outcome.probes, x)),
            of(*p, &|x| x.outcome.broken as f64).iter().sum::<f64>(),
        );
    }
    text
}
