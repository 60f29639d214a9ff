//! `linestack-lab scale`: measures fleets of in-process members with real coordinators, and a dispatching node, at the
//! sizes that a scale file lists. Fits lines over the sizes, and checks limits on counts.

pub mod coordinators;
pub mod dispatch;
pub mod file;
pub mod fit;
pub mod fleet;
pub mod machine;
pub mod members;
pub mod nodes;
pub mod operator;
pub mod policy;
pub mod report;
pub mod stop;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;

use file::ScaleFile;
use linestack_rig::node_process::NodeProcess;
use machine::Machine;
use report::Report;
use stop::{Stop, Stopped};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// Exit code of a run that was interrupted or reached its time limit.
const EXIT_STOPPED: u8 = 3;

/// Arguments of `linestack-lab scale`.
#[derive(Args)]
pub struct Arguments {
    /// The scale file that lists what to measure; see `scenarios/scale`.
    file: PathBuf,
    /// Path of another build of the node's program.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Arguments of `linestack-lab scale-node`.
#[derive(Args)]
pub struct NodeArguments {
    workers: usize,
    in_hand: usize,
    submissions: usize,
    lists: usize,
}

/// Measures what the scale file lists, and calls `on_progress` before each measurement. `program` is the path of the
/// node's program, `lab` that of this one.
///
/// # Errors
///
/// Returns an error if the run must end, or if a measurement fails. All processes that were started have been ended
/// then.
pub fn run(
    scale: &ScaleFile,
    machine: Machine,
    program: &Path,
    lab: &Path,
    stop: &Stop,
    on_progress: &dyn Fn(&str),
) -> Fallible<Report> {
    let (mut fleets, mut nodes) = (Vec::new(), Vec::new());
    if let Some(members) = &scale.members {
        for count in &members.sizes {
            on_progress(&format!("{count} members"));
            fleets.push(fleet::measure(members, *count, program, stop)?);
        }
    }
    if let Some(dispatch) = &scale.dispatch {
        for in_hand in &dispatch.in_hand {
            for workers in &dispatch.workers {
                on_progress(&format!("a node with {workers} workers and {in_hand} jobs in hand"));
                nodes.push(dispatch::measure_in_child(dispatch, *workers, *in_hand, lab, stop)?);
            }
        }
    }
    Ok(Report::new(scale.name.clone(), machine, &scale.limits, fleets, nodes))
}

/// Runs `scale`. Returns exit code 0 if all limits hold, 1 if a limit is exceeded, and 3 if the run ended early.
///
/// # Errors
///
/// Returns an error if the scale file is invalid, if this machine cannot run it, or if a measurement fails.
pub fn execute(arguments: &Arguments, json: bool, quiet: bool) -> Fallible<ExitCode> {
    let machine = Machine::read()?;
    let scale = file::read(&arguments.file, &machine)?;
    let program = match (&arguments.program, &scale.members) {
        (Some(program), _) => program.clone(),
        (None, Some(_)) => NodeProcess::program_path()?,
        (None, None) => PathBuf::new(),
    };
    let stop = Stop::after(scale.time_limit);
    stop.on_signals()?;
    let print_progress = |message: &str| {
        if !quiet {
            eprintln!("{message}");
        }
    };
    let report = match run(&scale, machine, &program, &std::env::current_exe()?, &stop, &print_progress) {
        Ok(report) => report,
        Err(error) if error.is::<Stopped>() => {
            eprintln!("linestack-lab: {error}");
            return Ok(ExitCode::from(EXIT_STOPPED));
        }
        Err(error) => return Err(error),
    };
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", report.text());
    }
    Ok(ExitCode::from(u8::from(!report.holds())))
}

/// Runs `scale-node`: measures one dispatching node in this process, and prints its cost as JSON.
///
/// # Errors
///
/// Returns an error if the measurement fails.
pub fn execute_node(arguments: &NodeArguments) -> Fallible<ExitCode> {
    let NodeArguments { workers, in_hand, submissions, lists } = *arguments;
    let cost = dispatch::measure(workers, in_hand, submissions, lists)?;
    println!("{}", serde_json::to_string(&cost)?);
    Ok(ExitCode::SUCCESS)
}
