//! `linestack-lab fleet`: runs plans with several real processes, searches for failing plans, and measures recovery.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use linestack_rig::draw::{draw, shrink};
use linestack_rig::node_process::NodeProcess;
use linestack_rig::plan::{Load, Plan};
use linestack_rig::run::{Endpoints, Outcome, Recovery, run, run_with_endpoints};
use rayon::prelude::*;

use crate::consensus_sim::{self, ChangeCost, SimulationConfig};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// The most plans that `hunt` runs in parallel.
const MAX_HUNT_JOBS: usize = 32;
/// The most plans that `back` runs in parallel.
const MAX_BACK_JOBS: usize = 16;
/// The one-way network latency that `size` simulates.
const SIMULATED_LATENCY_NS: u64 = 500_000;
/// The time to write a record to disk that `size` simulates.
const SIMULATED_SYNC_NS: u64 = 2_000_000;
/// The most members that `size` simulates.
const MAX_SIMULATED_MEMBERS: usize = 2048;
/// The largest policy that `size` simulates.
const MAX_POLICY_BYTES: usize = 100_000;
/// The shortest lease that `size` simulates.
const MIN_LEASE_MS: u64 = 100;

/// The subcommands of `linestack-lab fleet`.
#[derive(Subcommand)]
pub enum Command {
    /// Run a plan. Exits with 1 if a guarantee was violated or the plan could not be carried out.
    Run {
        plan: PathBuf,
        /// The path of the program; by default the one in the folder of this tool.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The folder for the folders of the processes, logs and the merged history; they are deleted by default.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// The number of consecutive seeds, starting with that of the plan.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Draw plans from seeds, run them, and shrink each one that fails. Exits with 1 if one did.
    Hunt {
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// The path of the program; by default the one in the folder of this tool.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The number of plans that run in parallel.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// The maximum number of runs for shrinking one plan.
        #[arg(long, default_value_t = 30)]
        tries: usize,
        /// The folder for the plans that fail.
        #[arg(long, default_value = "found")]
        out: PathBuf,
    },
    /// Run a fleet on this machine for some minutes, with executors, discovery and a light load, to try out operator
    /// commands.
    Up {
        #[arg(long, default_value_t = 4)]
        nodes: usize,
        #[arg(long, default_value_t = 3)]
        coordinators: usize,
        /// Seconds until the fleet stops.
        #[arg(long, default_value_t = 600)]
        span: u64,
        /// An empty folder for the folders of the processes, logs and files.
        #[arg(long)]
        keep: PathBuf,
        /// The path of the program; by default the one in the folder of this tool.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure, in simulated time, the time from a policy change until no member serves under the previous policy, and
    /// the messages that are sent for it.
    Size {
        #[arg(long, default_value_t = 1000)]
        members: usize,
        #[arg(long, default_value_t = 5)]
        coordinators: u8,
        /// The shares of the members that do not respond during the change; each is measured.
        #[arg(long, value_delimiter = ',', default_value = "0,0.01,0.1")]
        bad: Vec<f64>,
        /// The lease of the members, in milliseconds.
        #[arg(long, default_value_t = 3000)]
        lease_ms: u64,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// The size of the policy, in bytes.
        #[arg(long, default_value_t = 2000)]
        policy: usize,
    },
    /// Measure, over several seeds, how long plans that kill and start processes take to return to full service, and
    /// their connections and list requests meanwhile.
    Back {
        #[arg(required = true)]
        plans: Vec<PathBuf>,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// The number of plans that run in parallel.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// The path of the program; by default the one in the folder of this tool.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The path of another build of the program, for a comparison on the same plans and seeds.
        #[arg(long)]
        against: Option<PathBuf>,
    },
    /// Run recorded plans again, each with its own seed. Exits with 1 if a guarantee was violated or a plan could not
    /// be carried out.
    Replay {
        #[arg(required = true)]
        plans: Vec<PathBuf>,
        /// The path of the program; by default the one in the folder of this tool.
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

/// Reads a plan from a file. An error names the file.
///
/// # Errors
///
/// The file cannot be read, or the plan is invalid.
pub fn read_plan(path: &Path) -> Fallible<Plan> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let with_path = |e: linestack_rig::plan::PlanError| {
        let lines: Vec<String> = e.to_string().lines().map(|l| format!("{}: {l}", path.display())).collect();
        lines.join("\n")
    };
    Ok(Plan::read(&text).map_err(with_path)?)
}

/// Runs a plan. With `keep`, its files stay in that folder, with the merged history in `merged`.
///
/// # Errors
///
/// The plan could not be run, or the history could not be written.
pub fn run_plan(plan: &Plan, program: &Path, keep: Option<&Path>) -> Fallible<Outcome> {
    let scratch = tempfile::tempdir()?;
    let folder = keep.unwrap_or(scratch.path());
    let outcome = run(plan, program, folder)?;
    if let Some(keep) = keep {
        let mut file = std::io::BufWriter::new(std::fs::File::create(keep.join("merged"))?);
        outcome.lines.iter().try_for_each(|l| l.write(&mut file))?;
    }
    Ok(outcome)
}

/// Prints the outcome of a run: as a line of JSON, or as a table of its seconds and a summary.
fn print_outcome(plan: &Plan, outcome: &Outcome, json: bool) {
    let mixed = outcome.mixed_version_time();
    if json {
        let violations: Vec<String> =
            outcome.findings.iter().map(|f| format!("{:?}: {}", f.violation, f.reason)).collect();
        let line = serde_json::json!({"plan": plan.name, "seed": plan.seed, "broken": violations, "faults": outcome.faults,
            "doubled": outcome.duplicates, "mixed_ms": mixed.map(|m| m as f64 / 1e6), "back": outcome.recovery(), "seconds": outcome.seconds});
        println!("{line}");
        return;
    }
    println!("{} (seed {}): {} nodes, {} coordinators", plan.name, plan.seed, plan.nodes, plan.coordinators);
    println!(
        "  s  asked  satisfied  late  dismissed  aborted  unknown  unsent  lists  connections  to executors  to \
         coordinators  executions"
    );
    for (i, s) in outcome.seconds.iter().enumerate() {
        println!(
            "{i:>3}  {:>5}  {:>9}  {:>4}  {:>9}  {:>7}  {:>7}  {:>6}  {:>5}  {:>11}  {:>12}  {:>15}  {:>10}",
            s.asked,
            s.satisfied,
            s.late,
            s.dismissed,
            s.aborted,
            s.unknown,
            s.unsent,
            s.list_calls,
            s.connections,
            s.connects,
            s.sessions,
            s.executions
        );
    }
    let seconds_at = |t: u64| t.saturating_sub(outcome.load_began_at) as f64 / 1e9;
    for (step, done_at) in plan.steps.iter().zip(&outcome.steps_done_at) {
        println!("{:>8.3} s  {:?} {}", seconds_at(*done_at), step.action, step.to.join(" "));
    }
    match mixed {
        Some(mixed) => println!("nodes applied different versions for {:.3} s", mixed as f64 / 1e9),
        None => println!("nodes still applied different versions at the end"),
    }
    if let Some(recovery) = outcome.recovery() {
        let after = recovery
            .after_s
            .map_or("not within the plan".to_owned(), |s| format!("{s:.1} s after the last process was up"));
        println!(
            "full service {after}; before: {:.0} satisfied per second, p99 {:.1} ms; {} not satisfied at the first attempt; \
             average per second before and maximum after: connections from clients {:.0}, {}; to executors {:.1}, {}; \
             to coordinators {:.1}, {}; list requests {:.1}, {}",
            recovery.before.0,
            recovery.before.1,
            recovery.missed,
            recovery.steady[0],
            recovery.peak[0],
            recovery.steady[1],
            recovery.peak[1],
            recovery.steady[2],
            recovery.peak[2],
            recovery.steady[3],
            recovery.peak[3]
        );
    }
    println!("one-shot jobs started more than once: {}", outcome.duplicates);
    outcome.faults.iter().for_each(|f| println!("fault: {f}"));
    for f in &outcome.findings {
        println!("{:>8.3} s  violated: {:?} by {}: {}", seconds_at(f.at), f.violation, f.by, f.reason);
    }
}

/// Runs a subcommand of `linestack-lab fleet`.
///
/// # Errors
///
/// An argument or a plan is invalid, or a process could not be started.
pub fn run_command(command: &Command, json: bool) -> Fallible<ExitCode> {
    let program = |given: &Option<PathBuf>| given.clone().map_or_else(NodeProcess::program_path, Ok);
    match command {
        Command::Run { plan, program: given, keep, seeds } => {
            let (plan, program) = (read_plan(plan)?, program(given)?);
            let mut passed = true;
            for seed in plan.seed..plan.seed + (*seeds).max(1) {
                let plan = Plan { seed, ..plan.clone() };
                let outcome = run_plan(&plan, &program, keep.as_deref())?;
                print_outcome(&plan, &outcome, json);
                passed &= outcome.passed();
            }
            Ok(ExitCode::from(u8::from(!passed)))
        }
        Command::Hunt { seeds, from, program: given, jobs, tries, out } => {
            let program = program(given)?;
            let pool =
                rayon::ThreadPoolBuilder::new().num_threads((*jobs).clamp(1, MAX_HUNT_JOBS)).build()?;
            let bar = indicatif::ProgressBar::new(*seeds);
            let failed: Vec<(Plan, Result<Outcome, String>)> = pool.install(|| {
                let run_seed = |seed| {
                    let plan = draw(seed);
                    let outcome = run_plan(&plan, &program, None).map_err(|e| e.to_string());
                    bar.inc(1);
                    (plan, outcome)
                };
                let has_failed = |(_, o): &(Plan, Result<Outcome, String>)| {
                    o.as_ref().is_ok_and(|o| !o.passed()) || o.is_err()
                };
                (*from..from + seeds)
                    .collect::<Vec<u64>>()
                    .into_par_iter()
                    .with_max_len(1)
                    .map(run_seed)
                    .filter(has_failed)
                    .collect()
            });
            bar.finish_and_clear();
            let failures = failed.len();
            for (plan, outcome) in failed {
                match outcome {
                    Ok(outcome) => print_outcome(&plan, &outcome, json),
                    Err(why) => println!("{}: {why}", plan.name),
                }
                let fails = |p: &Plan| run_plan(p, &program, None).is_ok_and(|o| !o.passed());
                let small = shrink(&plan, fails, *tries);
                std::fs::create_dir_all(out)?;
                let path = out.join(format!("{}.toml", plan.name));
                std::fs::write(&path, toml::to_string(&small)?)?;
                println!("{}", path.display());
            }
            println!("{seeds} plans from seed {from}: {failures} failed");
            Ok(ExitCode::from(u8::from(failures > 0)))
        }
        Command::Back { plans, seeds, jobs, program: given, against } => {
            let pool =
                rayon::ThreadPoolBuilder::new().num_threads((*jobs).clamp(1, MAX_BACK_JOBS)).build()?;
            let mut programs = vec![("this", program(given)?)];
            programs.extend(against.clone().map(|p| ("other", p)));
            if !json {
                println!(
                    "{:<16} {:<5} {:>6}  full service s: least median most  none   missed  to executors  clients  sessions  \
                     lists  twice  broken",
                    "plan", "build", "seeds"
                );
            }
            let mut passed = true;
            for path in plans {
                let plan = read_plan(path)?;
                for (build, program) in &programs {
                    let run_seed = |seed| {
                        let plan = Plan { seed, ..plan.clone() };
                        run_plan(&plan, program, None).map_err(|e| e.to_string())
                    };
                    let outcomes: Vec<Outcome> = pool.install(|| {
                        let seeds: Vec<u64> = (plan.seed..plan.seed + seeds).collect();
                        seeds.into_par_iter().with_max_len(1).map(run_seed).collect::<Result<_, String>>()
                    })?;
                    passed &= *build != "this" || outcomes.iter().all(Outcome::passed);
                    let recoveries: Vec<_> = outcomes.iter().filter_map(Outcome::recovery).collect();
                    if json {
                        println!(
                            "{}",
                            serde_json::json!({"plan": plan.name, "build": build, "back": recoveries})
                        );
                        continue;
                    }
                    let mut after: Vec<f64> = recoveries.iter().filter_map(|r| r.after_s).collect();
                    after.sort_by(f64::total_cmp);
                    let quantile =
                        |q: f64| after.get(((after.len().max(1) - 1) as f64 * q).round() as usize).copied();
                    let shown = |q| quantile(q).map_or("-".to_owned(), |s| format!("{s:.1}"));
                    let median = |count: &dyn Fn(&Recovery) -> u64| {
                        let mut all: Vec<u64> = recoveries.iter().map(count).collect();
                        all.sort_unstable();
                        all.get(all.len() / 2).copied().unwrap_or(0)
                    };
                    println!(
                        "{:<16} {build:<5} {:>6}  {:>21} {:>6} {:>4}  {:>4}   {:>6}  {:>12}  {:>7}  {:>8}  {:>5}  {:>5}  {:>6}",
                        plan.name,
                        outcomes.len(),
                        shown(0.0),
                        shown(0.5),
                        shown(1.0),
                        outcomes.len() - after.len(),
                        median(&|r| r.missed),
                        median(&|r| r.peak[1]),
                        median(&|r| r.peak[0]),
                        median(&|r| r.peak[2]),
                        median(&|r| r.peak[3]),
                        outcomes.iter().map(|o| o.duplicates).sum::<usize>(),
                        outcomes.iter().filter(|o| !o.passed()).count()
                    );
                }
            }
            Ok(ExitCode::from(u8::from(!passed)))
        }
        Command::Up { nodes, coordinators, span, keep, program: given } => {
            let plan = Plan {
                name: "up".into(),
                nodes: *nodes,
                coordinators: *coordinators,
                lease_ms: 3000,
                load: Load { rate: 20.0, clients: 8, ..Load::default() },
                tail_ms: span.saturating_mul(1000),
                ..Plan::default()
            };
            let print_endpoints = |endpoints: &Endpoints| {
                println!(
                    "export LINESTACK_FLEET=rig LINESTACK_COORDINATORS={}",
                    endpoints.coordinators.join(",")
                );
                println!("# initial policy: {}", keep.join("c0/policy.json").display());
                println!("# logs: {}", keep.join("*/log").display());
                println!("# nodes: {}", endpoints.nodes.join(" "));
            };
            let outcome = run_with_endpoints(&plan, &program(given)?, keep, &print_endpoints)?;
            outcome.faults.iter().for_each(|f| println!("fault: {f}"));
            Ok(ExitCode::from(u8::from(!outcome.passed())))
        }
        Command::Size { members, coordinators, bad, lease_ms, seeds, policy } => {
            let valid = (1..=MAX_SIMULATED_MEMBERS).contains(members) && [1, 3, 5].contains(coordinators);
            if !valid
                || *lease_ms < MIN_LEASE_MS
                || *policy > MAX_POLICY_BYTES
                || bad.iter().any(|b| !(0.0..=1.0).contains(b))
            {
                return Err(
                    format!(
                        "expected members from 1 to {MAX_SIMULATED_MEMBERS}, coordinators 1, 3 or 5, lease-ms at least \
                         {MIN_LEASE_MS}, policy at most {MAX_POLICY_BYTES} and bad from 0 to 1; found members {members}, coordinators {coordinators}, lease-ms \
                         {lease_ms}, policy {policy}, bad {bad:?}"
                    )
                    .into(),
                );
            }
            if !json {
                println!(
                    "  bad   decided ms: median  99th   everywhere: median  99th   messages   bytes      speaker's  idle a second"
                );
            }
            for bad in bad {
                // In nanoseconds; the vote hold of the coordinators is a quarter of the lease.
                let (lease, hold) = (lease_ms * 1_000_000, lease_ms * 250_000);
                let size = SimulationConfig {
                    members: *members,
                    coordinators: *coordinators,
                    silent_share: *bad,
                    lease,
                    hold,
                    latency: SIMULATED_LATENCY_NS,
                    sync_latency: SIMULATED_SYNC_NS,
                    policy_bytes: *policy,
                };
                let held: Vec<Option<ChangeCost>> =
                    (1..=*seeds).into_par_iter().map(|s| consensus_sim::simulate_change(&size, s)).collect();
                let held = held
                    .into_iter()
                    .collect::<Option<Vec<_>>>()
                    .ok_or("there was no leader, or the previous policy was still in use 60 simulated seconds after a change")?;
                if json {
                    for h in &held {
                        println!("{}", serde_json::json!({"bad": bad, "members": members, "held": h}));
                    }
                    continue;
                }
                let quantile = |value: &dyn Fn(&ChangeCost) -> f64, q: f64| {
                    let mut all: Vec<f64> = held.iter().map(value).collect();
                    all.sort_by(f64::total_cmp);
                    all[((all.len() - 1) as f64 * q).round() as usize]
                };
                println!(
                    "{bad:>5}   {:>18.1}  {:>5.1}   {:>18.1}  {:>5.1}   {:>8}   {:>9}  {:>9}  {} ({} bytes)",
                    quantile(&|h| h.decided_ms, 0.5),
                    quantile(&|h| h.decided_ms, 0.99),
                    quantile(&|h| h.everywhere_ms, 0.5),
                    quantile(&|h| h.everywhere_ms, 0.99),
                    quantile(&|h| h.messages as f64, 0.5),
                    quantile(&|h| h.bytes as f64, 0.5),
                    quantile(&|h| h.leader_bytes as f64, 0.5),
                    quantile(&|h| h.idle_messages as f64, 0.5),
                    quantile(&|h| h.idle_bytes as f64, 0.5),
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Replay { plans, program: given } => {
            let program = program(given)?;
            let plans = plans.iter().map(|p| read_plan(p)).collect::<Fallible<Vec<_>>>()?;
            let mut passed = true;
            for plan in plans {
                let outcome = run_plan(&plan, &program, None)?;
                print_outcome(&plan, &outcome, json);
                passed &= outcome.passed();
            }
            Ok(ExitCode::from(u8::from(!passed)))
        }
    }
}
