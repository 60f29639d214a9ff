//! `linestack-lab fleet`: plans for several processes, played, hunted and played again.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use linestack_rig::draw::{draw, shrink};
use linestack_rig::node_process::NodeProcess;
use linestack_rig::plan::{Load, Plan};
use linestack_rig::run::{Endpoints, Outcome, run, run_with_endpoints};
use rayon::prelude::*;

use crate::agree::{self, Held, Size};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

#[derive(Subcommand)]
pub enum Command {
    /// Play a plan. Exits with 1 if a promise was broken.
    Run {
        plan: PathBuf,
        /// Another build of the program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Keep folders, logs and the merged history here.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Seeds, from the plan's own on.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Draw plans from seeds, and shrink each one that fails. Exits with 1 if one did.
    Hunt {
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Plans played side by side.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Plays that shrinking one may take.
        #[arg(long, default_value_t = 30)]
        tries: usize,
        /// Where the plans that fail go.
        #[arg(long, default_value = "found")]
        out: PathBuf,
    },
    /// A fleet on this machine for some minutes, with executors, discovery and a light load, to try commands on.
    Up {
        #[arg(long, default_value_t = 4)]
        nodes: usize,
        #[arg(long, default_value_t = 3)]
        coordinators: usize,
        /// Seconds until it ends by itself.
        #[arg(long, default_value_t = 600)]
        span: u64,
        /// Where its folders, logs and files are; an empty one.
        #[arg(long)]
        keep: PathBuf,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// How long a change takes to hold, and what is sent for it, in simulated time.
    Size {
        #[arg(long, default_value_t = 1000)]
        members: usize,
        #[arg(long, default_value_t = 5)]
        coordinators: u8,
        /// Parts of the members that fall silent, each played.
        #[arg(long, value_delimiter = ',', default_value = "0,0.01,0.1")]
        bad: Vec<f64>,
        #[arg(long, default_value_t = 3000)]
        lease_ms: u64,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Bytes of the policy.
        #[arg(long, default_value_t = 2000)]
        policy: usize,
    },
    /// How long plans that kill and start take to full service, over seeds, and what they draw on meanwhile.
    Back {
        #[arg(required = true)]
        plans: Vec<PathBuf>,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Plans played side by side.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Another build, played on the same plans and seeds.
        #[arg(long)]
        against: Option<PathBuf>,
    },
    /// Play plans again, as they are. Exits with 1 if a promise was broken.
    Replay {
        #[arg(required = true)]
        plans: Vec<PathBuf>,
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

/// # Errors
///
/// It can't be read, or makes no sense.
pub fn read(path: &Path) -> Fallible<Plan> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let place = |e: linestack_rig::plan::PlanError| {
        let lines: Vec<String> = e.to_string().lines().map(|l| format!("{}: {l}", path.display())).collect();
        lines.join("\n")
    };
    Ok(Plan::read(&text).map_err(place)?)
}

/// # Errors
///
/// The plan could not be played.
pub fn play(plan: &Plan, program: &Path, keep: Option<&Path>) -> Fallible<Outcome> {
    let folder = tempfile::tempdir()?;
    let place = keep.unwrap_or(folder.path());
    let outcome = run(plan, program, place)?;
    if let Some(keep) = keep {
        let mut file = std::io::BufWriter::new(std::fs::File::create(keep.join("merged"))?);
        outcome.lines.iter().try_for_each(|l| l.write(&mut file))?;
    }
    Ok(outcome)
}

fn told(plan: &Plan, outcome: &Outcome, json: bool) {
    let mixed = outcome.mixed_version_time();
    if json {
        let found: Vec<String> =
            outcome.findings.iter().map(|f| format!("{:?}: {}", f.violation, f.reason)).collect();
        let line = serde_json::json!({"plan": plan.name, "seed": plan.seed, "broken": found, "faults": outcome.faults,
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
    let at = |t: u64| t.saturating_sub(outcome.load_began_at) as f64 / 1e9;
    for (step, done) in plan.steps.iter().zip(&outcome.steps_done_at) {
        println!("{:>8.3} s  {:?} {}", at(*done), step.action, step.to.join(" "));
    }
    match mixed {
        Some(mixed) => println!("versions mixed for {:.3} s", mixed as f64 / 1e9),
        None => println!("versions mixed at the end still"),
    }
    if let Some(back) = outcome.recovery() {
        let after = back
            .after_s
            .map_or("not within the plan".to_owned(), |s| format!("{s:.1} s after the last was up"));
        println!(
            "full service {after}; before {:.0} a second, p99 {:.1} ms; {} missed; steady a second and at the peak: \
             clients' connections {:.0}, {}; to executors {:.1}, {}; to coordinators {:.1}, {}; list calls {:.1}, {}",
            back.before.0,
            back.before.1,
            back.missed,
            back.steady[0],
            back.peak[0],
            back.steady[1],
            back.peak[1],
            back.steady[2],
            back.peak[2],
            back.steady[3],
            back.peak[3]
        );
    }
    println!("one-shots begun more than once: {}", outcome.duplicates);
    outcome.faults.iter().for_each(|f| println!("fault: {f}"));
    for f in &outcome.findings {
        println!("{:>8.3} s  broken: {:?} by {}: {}", at(f.at), f.violation, f.by, f.reason);
    }
}

/// # Errors
///
/// A plan that makes no sense, or a process that could not be started.
pub fn go(command: &Command, json: bool) -> Fallible<ExitCode> {
    let program = |given: &Option<PathBuf>| given.clone().map_or_else(NodeProcess::program_path, Ok);
    match command {
        Command::Run { plan, program: given, keep, seeds } => {
            let (plan, program) = (read(plan)?, program(given)?);
            let mut sound = true;
            for seed in plan.seed..plan.seed + (*seeds).max(1) {
                let plan = Plan { seed, ..plan.clone() };
                let outcome = play(&plan, &program, keep.as_deref())?;
                told(&plan, &outcome, json);
                sound &= outcome.passed();
            }
            Ok(ExitCode::from(u8::from(!sound)))
        }
        Command::Hunt { seeds, from, program: given, jobs, tries, out } => {
            let program = program(given)?;
            let pool = rayon::ThreadPoolBuilder::new().num_threads((*jobs).clamp(1, 32)).build()?;
            let bar = indicatif::ProgressBar::new(*seeds);
            let played: Vec<(Plan, Result<Outcome, String>)> = pool.install(|| {
                let one = |seed| {
                    let plan = draw(seed);
                    let outcome = play(&plan, &program, None).map_err(|e| e.to_string());
                    bar.inc(1);
                    (plan, outcome)
                };
                let broken = |(_, o): &(Plan, Result<Outcome, String>)| {
                    o.as_ref().is_ok_and(|o| !o.passed()) || o.is_err()
                };
                (*from..from + seeds)
                    .collect::<Vec<u64>>()
                    .into_par_iter()
                    .with_max_len(1)
                    .map(one)
                    .filter(broken)
                    .collect()
            });
            bar.finish_and_clear();
            let failed = played.len();
            for (plan, outcome) in played {
                match outcome {
                    Ok(outcome) => told(&plan, &outcome, json),
                    Err(why) => println!("{}: {why}", plan.name),
                }
                let fails = |p: &Plan| play(p, &program, None).is_ok_and(|o| !o.passed());
                let small = shrink(&plan, fails, *tries);
                std::fs::create_dir_all(out)?;
                let path = out.join(format!("{}.toml", plan.name));
                std::fs::write(&path, toml::to_string(&small)?)?;
                println!("{}", path.display());
            }
            println!("{seeds} plans from seed {from}: {failed} with a broken promise");
            Ok(ExitCode::from(u8::from(failed > 0)))
        }
        Command::Back { plans, seeds, jobs, program: given, against } => {
            let pool = rayon::ThreadPoolBuilder::new().num_threads((*jobs).clamp(1, 16)).build()?;
            let mut programs = vec![("this", program(given)?)];
            programs.extend(against.clone().map(|p| ("other", p)));
            if !json {
                println!(
                    "{:<16} {:<5} {:>6}  full service s: least median most  none   missed  to executors  clients  sessions  \
                     lists  twice  broken",
                    "plan", "build", "seeds"
                );
            }
            let mut sound = true;
            for path in plans {
                let plan = read(path)?;
                for (build, program) in &programs {
                    let one = |seed| {
                        let plan = Plan { seed, ..plan.clone() };
                        play(&plan, program, None).map_err(|e| e.to_string())
                    };
                    let outcomes: Vec<Outcome> = pool.install(|| {
                        let seeds: Vec<u64> = (plan.seed..plan.seed + seeds).collect();
                        seeds.into_par_iter().with_max_len(1).map(one).collect::<Result<_, String>>()
                    })?;
                    sound &= *build != "this" || outcomes.iter().all(Outcome::passed);
                    let backs: Vec<_> = outcomes.iter().filter_map(Outcome::recovery).collect();
                    if json {
                        println!("{}", serde_json::json!({"plan": plan.name, "build": build, "back": backs}));
                        continue;
                    }
                    let mut after: Vec<f64> = backs.iter().filter_map(|b| b.after_s).collect();
                    after.sort_by(f64::total_cmp);
                    let at =
                        |q: f64| after.get(((after.len().max(1) - 1) as f64 * q).round() as usize).copied();
                    let told = |q| at(q).map_or("-".to_owned(), |s| format!("{s:.1}"));
                    let median = |of: &dyn Fn(&linestack_rig::run::Recovery) -> u64| {
                        let mut all: Vec<u64> = backs.iter().map(of).collect();
                        all.sort_unstable();
                        all.get(all.len() / 2).copied().unwrap_or(0)
                    };
                    println!(
                        "{:<16} {build:<5} {:>6}  {:>21} {:>6} {:>4}  {:>4}   {:>6}  {:>12}  {:>7}  {:>8}  {:>5}  {:>5}  {:>6}",
                        plan.name,
                        outcomes.len(),
                        told(0.0),
                        told(0.5),
                        told(1.0),
                        outcomes.len() - after.len(),
                        median(&|b| b.missed),
                        median(&|b| b.peak[1]),
                        median(&|b| b.peak[0]),
                        median(&|b| b.peak[2]),
                        median(&|b| b.peak[3]),
                        outcomes.iter().map(|o| o.duplicates).sum::<usize>(),
                        outcomes.iter().filter(|o| !o.passed()).count()
                    );
                }
            }
            Ok(ExitCode::from(u8::from(!sound)))
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
            let told = |up: &Endpoints| {
                println!("export LINESTACK_FLEET=rig LINESTACK_COORDINATORS={}", up.coordinators.join(","));
                println!("# the policy that it began with: {}", keep.join("c0/policy.json").display());
                println!("# logs: {}", keep.join("*/log").display());
                println!("# nodes: {}", up.nodes.join(" "));
            };
            let outcome = run_with_endpoints(&plan, &program(given)?, keep, &told)?;
            outcome.faults.iter().for_each(|f| println!("fault: {f}"));
            Ok(ExitCode::from(u8::from(!outcome.passed())))
        }
        Command::Size { members, coordinators, bad, lease_ms, seeds, policy } => {
            let sound = (1..=2048).contains(members) && [1, 3, 5].contains(coordinators);
            if !sound || *lease_ms < 100 || *policy > 100_000 || bad.iter().any(|b| !(0.0..=1.0).contains(b))
            {
                return Err(
                    "members from 1 to 2,048, coordinators 1, 3 or 5, lease-ms 100 at least, policy 100,000 \
                            bytes at most, bad from 0 to 1"
                        .into(),
                );
            }
            if !json {
                println!(
                    "  bad   decided ms: median  99th   everywhere: median  99th   messages   bytes      speaker's  idle a second"
                );
            }
            for bad in bad {
                let (lease, hold) = (lease_ms * 1_000_000, lease_ms * 250_000);
                let size = Size {
                    members: *members,
                    coordinators: *coordinators,
                    bad: *bad,
                    lease,
                    hold,
                    latency: 500_000,
                    sync: 2_000_000,
                    policy: *policy,
                };
                let held: Vec<Option<Held>> =
                    (1..=*seeds).into_par_iter().map(|s| agree::play(&size, s)).collect();
                let held = held
                    .into_iter()
                    .collect::<Option<Vec<_>>>()
                    .ok_or("a change did not take hold in a minute")?;
                if json {
                    for h in &held {
                        println!("{}", serde_json::json!({"bad": bad, "members": members, "held": h}));
                    }
                    continue;
                }
                let at = |f: &dyn Fn(&Held) -> f64, q: f64| {
                    let mut all: Vec<f64> = held.iter().map(f).collect();
                    all.sort_by(f64::total_cmp);
                    all[((all.len() - 1) as f64 * q).round() as usize]
                };
                println!(
                    "{bad:>5}   {:>18.1}  {:>5.1}   {:>18.1}  {:>5.1}   {:>8}   {:>9}  {:>9}  {} ({} bytes)",
                    at(&|h| h.decided_ms, 0.5),
                    at(&|h| h.decided_ms, 0.99),
                    at(&|h| h.everywhere_ms, 0.5),
                    at(&|h| h.everywhere_ms, 0.99),
                    at(&|h| h.messages as f64, 0.5),
                    at(&|h| h.bytes as f64, 0.5),
                    at(&|h| h.speaker_bytes as f64, 0.5),
                    at(&|h| h.idle_messages as f64, 0.5),
                    at(&|h| h.idle_bytes as f64, 0.5),
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Replay { plans, program: given } => {
            let program = program(given)?;
            let plans = plans.iter().map(|p| read(p)).collect::<Fallible<Vec<_>>>()?;
            let mut sound = true;
            for plan in plans {
                let outcome = play(&plan, &program, None)?;
                told(&plan, &outcome, json);
                sound &= outcome.passed();
            }
            Ok(ExitCode::from(u8::from(!sound)))
        }
    }
}
