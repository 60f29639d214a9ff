//! `linestack-lab soak`: many real processes under overlapping troubles, judged by the invariants.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use linestack_rig::node_process::NodeProcess;
use linestack_soak::generator::{Size, generate};
use linestack_soak::judge::{Case, Verdict, judge};
use linestack_soak::plan::Plan;
use linestack_soak::run::{RunRecord, run};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// Violations that are printed of one run.
const PRINTED: usize = 20;

/// Play many real processes under overlapping troubles, drawn from seeds, and judge them by the invariants. Exits with 1 if
/// one was broken; the plan is kept then.
#[derive(clap::Args)]
pub struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds in all; a run that has begun is played to its end.
    #[arg(long, default_value_t = 600.0)]
    time_limit: f64,
    /// Play these plans, as they are, and no seeds.
    #[arg(long)]
    plan: Vec<PathBuf>,
    /// Processes of the program.
    #[arg(long, default_value_t = Size::default().nodes)]
    nodes: usize,
    #[arg(long, default_value_t = Size::default().executors)]
    executors: usize,
    #[arg(long, default_value_t = Size::default().clients)]
    clients: usize,
    /// Seconds in which troubles may happen, in each run.
    #[arg(long, default_value_t = 15.0)]
    span: f64,
    /// Where plans that fail are kept.
    #[arg(long, default_value = "scenarios/soak")]
    out: PathBuf,
    /// Keep logs and histories here.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Another build of the program.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Plays them.
///
/// # Errors
///
/// A plan makes no sense, or could not be played.
pub fn soak(arguments: &Arguments) -> Fallible<ExitCode> {
    let program = arguments.program.clone().map_or_else(NodeProcess::program_path, Ok)?;
    let limit = Duration::try_from_secs_f64(arguments.time_limit)?;
    let begun = Instant::now();
    let (mut played, mut broken) = (0, 0);
    for (name, plan) in plans(arguments)? {
        if begun.elapsed() >= limit {
            println!("the time is over: {played} runs were played");
            break;
        }
        played += 1;
        let verdict = play(&name, &plan, &program, arguments.keep.as_deref())?;
        if !verdict.violations.is_empty() {
            broken += 1;
            keep_plan(&name, &plan, &arguments.out)?;
        }
    }
    println!("{played} runs, {broken} with a rule broken, {:.0} s", begun.elapsed().as_secs_f64());
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn plans(arguments: &Arguments) -> Fallible<Vec<(String, Plan)>> {
    if !arguments.plan.is_empty() {
        let read = |path: &PathBuf| -> Fallible<(String, Plan)> {
            let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
            Ok((name, Plan::read(&std::fs::read_to_string(path)?)?))
        };
        return arguments.plan.iter().map(read).collect();
    }
    let span = Duration::try_from_secs_f64(arguments.span)?;
    let size = Size {
        nodes: arguments.nodes,
        executors: arguments.executors,
        clients: arguments.clients,
        span_ms: u64::try_from(span.as_millis())?,
    };
    let seeds = arguments.seed..arguments.seed + arguments.seeds;
    Ok(seeds.map(|seed| (format!("seed-{seed}"), generate(seed, size))).collect())
}

fn play(name: &str, plan: &Plan, program: &Path, keep: Option<&Path>) -> Fallible<Verdict> {
    let scratch = tempfile::tempdir()?;
    let folder = keep.map_or_else(|| scratch.path().to_owned(), |keep| keep.join(name));
    if keep.is_some() && folder.exists() {
        return Err(format!("{}: is there already", folder.display()).into());
    }
    let begun = Instant::now();
    let played = run(plan, program, &folder)?;
    if keep.is_some() {
        write_history(&played, &folder)?;
        std::fs::write(folder.join("plan.toml"), plan.write()?)?;
    }
    let verdict = judge(&Case::of(plan, &played));
    print(name, &played, &verdict, begun.elapsed());
    Ok(verdict)
}

fn print(name: &str, played: &RunRecord, verdict: &Verdict, took: Duration) {
    let c = &verdict.counts;
    println!(
        "{name}: asked {} served {} refused {} failed {} left {} executions {} starts {}; {} broken, {} doubtful, {:.0} s",
        c.asked,
        c.served,
        c.refused,
        c.failed,
        c.left,
        c.executions,
        c.starts,
        verdict.violations.len(),
        verdict.doubtful.len(),
        took.as_secs_f64()
    );
    let begun = played.history.first().map_or(0, |entry| entry.at);
    for violation in verdict.violations.iter().take(PRINTED) {
        let at = violation.at.saturating_sub(begun) / 1_000_000;
        println!("  {:?} at {at} ms: {}", violation.rule, violation.description);
    }
    let more = verdict.violations.len().saturating_sub(PRINTED);
    if more > 0 {
        println!("  and {more} more");
    }
}

fn write_history(played: &RunRecord, folder: &Path) -> Fallible<()> {
    let mut text = String::new();
    for entry in &played.history {
        text.push_str(&serde_json::to_string(entry)?);
        text.push('\n');
    }
    std::fs::write(folder.join("history.jsonl"), text)?;
    Ok(())
}

fn keep_plan(name: &str, plan: &Plan, out: &Path) -> Fallible<()> {
    std::fs::create_dir_all(out)?;
    let file = out.join(format!("{name}.toml"));
    std::fs::write(&file, plan.write()?)?;
    println!("  kept as {}", file.display());
    Ok(())
}
