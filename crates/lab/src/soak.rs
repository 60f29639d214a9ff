//! `linestack-lab soak`: runs of many real processes under overlapping faults, checked against the invariants.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use linestack_rig::node_process::NodeProcess;
use linestack_soak::generator::{Size, generate};
use linestack_soak::judge::{Case, Verdict, judge};
use linestack_soak::plan::Plan;
use linestack_soak::run::{RunRecord, run};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// The violations that are printed for each run.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Run many real processes under overlapping faults, drawn from seeds, and check them against the invariants. Exits
/// with 1 if one was violated; the plan is written to a file in that case.
#[derive(clap::Args)]
pub struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds after which no further run begins.
    #[arg(long, default_value_t = 600.0)]
    time_limit: f64,
    /// Run these plan files instead of plans drawn from seeds.
    #[arg(long)]
    plan: Vec<PathBuf>,
    /// The number of node processes.
    #[arg(long, default_value_t = Size::default().nodes)]
    nodes: usize,
    /// The number of executors.
    #[arg(long, default_value_t = Size::default().executors)]
    executors: usize,
    /// The number of clients.
    #[arg(long, default_value_t = Size::default().clients)]
    clients: usize,
    /// Seconds of each run in which faults may occur.
    #[arg(long, default_value_t = 15.0)]
    span: f64,
    /// The folder for the plans of failed runs.
    #[arg(long, default_value = "scenarios/soak")]
    out: PathBuf,
    /// The folder for logs and histories; they are deleted by default.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The path of the program; by default the one in the folder of this tool.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Runs the plans one after the other, and writes those that violate an invariant to files.
///
/// # Errors
///
/// A plan is invalid or could not be run.
pub fn soak(arguments: &Arguments) -> Fallible<ExitCode> {
    let program = arguments.program.clone().map_or_else(NodeProcess::program_path, Ok)?;
    let limit = Duration::try_from_secs_f64(arguments.time_limit)?;
    let started = Instant::now();
    let (mut runs, mut failed) = (0, 0);
    for (name, plan) in named_plans(arguments)? {
        if started.elapsed() >= limit {
            println!("time limit of {} s reached after {runs} runs", arguments.time_limit);
            break;
        }
        runs += 1;
        let verdict = run_and_judge(&name, &plan, &program, arguments.keep.as_deref())?;
        if !verdict.violations.is_empty() {
            failed += 1;
            write_failed_plan(&name, &plan, &arguments.out)?;
        }
    }
    println!("{runs} runs, {failed} with a violation, {:.0} s", started.elapsed().as_secs_f64());
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the plans to run, and a name for each.
fn named_plans(arguments: &Arguments) -> Fallible<Vec<(String, Plan)>> {
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

/// Runs a plan, prints its verdict and returns it. `keep` is the parent of the folder that stays.
fn run_and_judge(name: &str, plan: &Plan, program: &Path, keep: Option<&Path>) -> Fallible<Verdict> {
    let scratch = tempfile::tempdir()?;
    let folder = keep.map_or_else(|| scratch.path().to_owned(), |keep| keep.join(name));
    if keep.is_some() && folder.exists() {
        return Err(
            format!("{}: exists already; expected a new folder for this run", folder.display()).into()
        );
    }
    let started = Instant::now();
    let record = run(plan, program, &folder)?;
    if keep.is_some() {
        write_history(&record, &folder)?;
        std::fs::write(folder.join("plan.toml"), plan.write()?)?;
    }
    let verdict = judge(&Case::of(plan, &record));
    print_verdict(name, &record, &verdict, started.elapsed());
    Ok(verdict)
}

fn print_verdict(name: &str, record: &RunRecord, verdict: &Verdict, took: Duration) {
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
    let began_at = record.history.first().map_or(0, |entry| entry.at);
    for violation in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let at = violation.at.saturating_sub(began_at) / 1_000_000;
        println!("  {:?} at {at} ms: {}", violation.rule, violation.description);
    }
    let more = verdict.violations.len().saturating_sub(MAX_PRINTED_VIOLATIONS);
    if more > 0 {
        println!("  and {more} more");
    }
}

fn write_history(record: &RunRecord, folder: &Path) -> Fallible<()> {
    let mut text = String::new();
    for entry in &record.history {
        text.push_str(&serde_json::to_string(entry)?);
        text.push('\n');
    }
    std::fs::write(folder.join("history.jsonl"), text)?;
    Ok(())
}

fn write_failed_plan(name: &str, plan: &Plan, out: &Path) -> Fallible<()> {
    std::fs::create_dir_all(out)?;
    let file = out.join(format!("{name}.toml"));
    std::fs::write(&file, plan.write()?)?;
    println!("  plan written to {}", file.display());
    Ok(())
}
