//! `linestack-lab fleet`: plans for several processes, played, hunted and played again.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use linestack_rig::draw::{draw, shrink};
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome, run};
use linestack_rig::started::Started;

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
        /// Plays that shrinking one may take.
        #[arg(long, default_value_t = 30)]
        tries: usize,
        /// Where the plans that fail go.
        #[arg(long, default_value = "found")]
        out: PathBuf,
    },
    /// Play plans again, as they are. Exits with 1 if a promise was broken.
    Replay {
        #[arg(required = true)]
        plans: Vec<PathBuf>,
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

fn read(path: &Path) -> Fallible<Plan> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let place = |e: linestack_rig::plan::Fault| {
        let lines: Vec<String> = e.to_string().lines().map(|l| format!("{}: {l}", path.display())).collect();
        lines.join("\n")
    };
    Ok(Plan::read(&text).map_err(place)?)
}

fn play(plan: &Plan, program: &Path, keep: Option<&Path>) -> Fallible<Outcome> {
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
    let mixed = outcome.mixed();
    if json {
        let found: Vec<String> =
            outcome.findings.iter().map(|f| format!("{:?}: {}", f.broken, f.why)).collect();
        let line = serde_json::json!({"plan": plan.name, "seed": plan.seed, "broken": found, "faults": outcome.faults,
            "doubled": outcome.doubled, "mixed_ms": mixed.map(|m| m as f64 / 1e6), "seconds": outcome.seconds});
        println!("{line}");
        return;
    }
    println!("{} (seed {}): {} nodes, {} coordinators", plan.name, plan.seed, plan.nodes, plan.coordinators);
    println!(
        "  s  asked  satisfied  late  dismissed  aborted  unknown  unsent  lists  connections  executions"
    );
    for (i, s) in outcome.seconds.iter().enumerate() {
        println!(
            "{i:>3}  {:>5}  {:>9}  {:>4}  {:>9}  {:>7}  {:>7}  {:>6}  {:>5}  {:>11}  {:>10}",
            s.asked,
            s.satisfied,
            s.late,
            s.dismissed,
            s.aborted,
            s.unknown,
            s.unsent,
            s.list_calls,
            s.connections,
            s.executions
        );
    }
    let at = |t: u64| t.saturating_sub(outcome.began) as f64 / 1e9;
    for (step, done) in plan.steps.iter().zip(&outcome.done) {
        println!("{:>8.3} s  {:?} {}", at(*done), step.r#do, step.to.join(" "));
    }
    match mixed {
        Some(mixed) => println!("versions mixed for {:.3} s", mixed as f64 / 1e9),
        None => println!("versions mixed at the end still"),
    }
    println!("one-shots begun more than once: {}", outcome.doubled);
    outcome.faults.iter().for_each(|f| println!("fault: {f}"));
    for f in &outcome.findings {
        println!("{:>8.3} s  broken: {:?} by {}: {}", at(f.at), f.broken, f.by, f.why);
    }
}

/// # Errors
///
/// A plan that makes no sense, or a process that could not be started.
pub fn go(command: &Command, json: bool) -> Fallible<ExitCode> {
    let program = |given: &Option<PathBuf>| given.clone().map_or_else(Started::program, Ok);
    match command {
        Command::Run { plan, program: given, keep, seeds } => {
            let (plan, program) = (read(plan)?, program(given)?);
            let mut sound = true;
            for seed in plan.seed..plan.seed + (*seeds).max(1) {
                let plan = Plan { seed, ..plan.clone() };
                let outcome = play(&plan, &program, keep.as_deref())?;
                told(&plan, &outcome, json);
                sound &= outcome.sound();
            }
            Ok(ExitCode::from(u8::from(!sound)))
        }
        Command::Hunt { seeds, from, program: given, tries, out } => {
            let program = program(given)?;
            let mut failed = 0;
            for seed in *from..from + seeds {
                let plan = draw(seed);
                let outcome = play(&plan, &program, None)?;
                if outcome.sound() {
                    continue;
                }
                failed += 1;
                told(&plan, &outcome, json);
                let fails = |p: &Plan| play(p, &program, None).is_ok_and(|o| !o.sound());
                let small = shrink(&plan, fails, *tries);
                std::fs::create_dir_all(out)?;
                let path = out.join(format!("{}.toml", plan.name));
                std::fs::write(&path, toml::to_string(&small)?)?;
                println!("{}", path.display());
            }
            println!("{seeds} plans from seed {from}: {failed} with a broken promise");
            Ok(ExitCode::from(u8::from(failed > 0)))
        }
        Command::Replay { plans, program: given } => {
            let program = program(given)?;
            let plans = plans.iter().map(|p| read(p)).collect::<Fallible<Vec<_>>>()?;
            let mut sound = true;
            for plan in plans {
                let outcome = play(&plan, &program, None)?;
                told(&plan, &outcome, json);
                sound &= outcome.sound();
            }
            Ok(ExitCode::from(u8::from(!sound)))
        }
    }
}
