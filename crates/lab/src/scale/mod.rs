//! `linestack-lab scale`: hollow members beside real coordinators, and a dispatching node, at the sizes that a file
//! names; lines through what was measured, and limits on counts.

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

use file::Scale;
use linestack_rig::node_process::NodeProcess;
use machine::Machine;
use report::Report;
use stop::{Stop, Stopped};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// The run ended before its work was done.
const STOPPED: u8 = 3;

/// What `scale` is told.
#[derive(Args)]
pub struct Arguments {
    /// What to measure: a file as in `scenarios/scale`.
    file: PathBuf,
    /// Another build of the program.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// What `scale-node` is told.
#[derive(Args)]
pub struct NodeArguments {
    workers: usize,
    in_hand: usize,
    submissions: usize,
    lists: usize,
}

/// Measures what the file names. `program` is a node's, and `lab` this one.
///
/// # Errors
///
/// The run is to end, or something did not work. Nothing that was started runs any longer.
pub fn run(
    scale: &Scale,
    machine: Machine,
    program: &Path,
    lab: &Path,
    stop: &Stop,
    told: &dyn Fn(&str),
) -> Fallible<Report> {
    let (mut fleets, mut nodes) = (Vec::new(), Vec::new());
    if let Some(members) = &scale.members {
        for count in &members.sizes {
            told(&format!("{count} members"));
            fleets.push(fleet::measure(members, *count, program, stop)?);
        }
    }
    if let Some(dispatch) = &scale.dispatch {
        for in_hand in &dispatch.in_hand {
            for workers in &dispatch.workers {
                told(&format!("a node with {workers} workers and {in_hand} jobs in hand"));
                nodes.push(dispatch::measure_apart(dispatch, *workers, *in_hand, lab, stop)?);
            }
        }
    }
    Ok(Report::new(scale.name.clone(), machine, &scale.limits, fleets, nodes))
}

/// Carries out `scale`. 0 where all limits hold, 1 where one does not, 3 where it ended early.
///
/// # Errors
///
/// The file makes no sense or does not fit, or something did not work.
pub fn go(arguments: &Arguments, json: bool, quiet: bool) -> Fallible<ExitCode> {
    let machine = Machine::read()?;
    let scale = file::read(&arguments.file, &machine)?;
    let program = match (&arguments.program, &scale.members) {
        (Some(program), _) => program.clone(),
        (None, Some(_)) => NodeProcess::program_path()?,
        (None, None) => PathBuf::new(),
    };
    let stop = Stop::after(scale.span);
    stop.on_signals()?;
    let told = |what: &str| {
        if !quiet {
            eprintln!("{what}");
        }
    };
    let report = match run(&scale, machine, &program, &std::env::current_exe()?, &stop, &told) {
        Ok(report) => report,
        Err(why) if why.is::<Stopped>() => {
            eprintln!("linestack-lab: {why}");
            return Ok(ExitCode::from(STOPPED));
        }
        Err(why) => return Err(why),
    };
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", report.text());
    }
    Ok(ExitCode::from(u8::from(!report.holds())))
}

/// Carries out `scale-node`: measures one dispatching node in this process.
///
/// # Errors
///
/// It can't be measured.
pub fn go_node(arguments: &NodeArguments) -> Fallible<ExitCode> {
    let NodeArguments { workers, in_hand, submissions, lists } = *arguments;
    let cost = dispatch::measure(workers, in_hand, submissions, lists)?;
    println!("{}", serde_json::to_string(&cost)?);
    Ok(ExitCode::SUCCESS)
}
