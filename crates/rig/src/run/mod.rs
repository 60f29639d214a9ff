//! Runs a plan: starts the processes, carries out the steps under load, collects the histories and checks them.
//!
//! | module | what it does |
//! | --- | --- |
//! | `setup` | opens the links and writes the configuration of each process |
//! | `processes` | starts and ends processes, and sets the targets of links to them |
//! | `observations`, `timeline` | observed frames, log and history lines; the steps that wait for them |
//! | `actions`, `operator` | actions on links, executors and processes; an operator's commands |
//! | `histories` | reads the histories that the processes write |
//! | `seconds`, `recovery`, `outcome` | the results of the run |

mod actions;
mod histories;
mod observations;
mod operator;
mod outcome;
mod processes;
mod recovery;
mod seconds;
mod setup;
mod timeline;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use linestack_history::Line;
use serde_json::Value;

use self::observations::{LogTails, Observations};
use self::seconds::{OpenedConnections, Sample, per_second};
use crate::check::{Guarantees, count_duplicates, find_violations};
use crate::link::Link;
use crate::plan::Plan;
use crate::process::Process;
use crate::stand_ins::{Observer, StandInFleet};
use crate::{clients, lock, monotonic_nanos};

pub use self::outcome::Outcome;
pub use self::recovery::Recovery;
pub use self::seconds::Second;
pub use self::setup::scenario;

/// The interval at which logs, histories and health are checked while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The allowance in nanoseconds for clock drift and for delays on a busy machine.
const CLOCK_AND_MACHINE_SLACK_NS: u64 = 250_000_000;

/// The maximum number of findings in an outcome.
const MAX_FINDINGS: usize = 100;

const NANOS_PER_MS: u64 = 1_000_000;

/// A run in progress.
struct Rig<'a> {
    plan: &'a Plan,
    program: PathBuf,
    folder: PathBuf,
    fleet_name: String,
    /// Stand-in executors and discovery.
    stand_ins: StandInFleet,
    /// The links by name, such as `n0>c1`.
    links: BTreeMap<String, Arc<Link>>,
    processes: BTreeMap<String, Process>,
    /// The listen addresses of the running processes.
    addresses: HashMap<String, SocketAddr>,
    /// What was observed since the previous step.
    observations: Arc<Observations>,
    /// The parts of the processes' logs and histories that have been read.
    log_tails: LogTails,
    /// The number of connections made over the links.
    opened: Arc<OpenedConnections>,
    /// Receives the lines that the rig itself writes into the merged history.
    history: Sender<Line>,
    /// The settings of policy 1, with which the fleet starts.
    first_policy: Value,
    /// The threads of operators' commands that may still run.
    operators: Vec<JoinHandle<()>>,
    /// By node: the number of the policy in its own file, if that is not the first policy.
    file_policies: HashMap<String, u64>,
}

/// The addresses of a started fleet.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The addresses of the coordinators for operators.
    pub coordinators: Vec<String>,
    /// The addresses of the nodes for clients.
    pub nodes: Vec<String>,
}

/// The results of the steps, and the samples taken while they ran.
struct StepResults {
    /// The time at which each step was completed, or the error of a step.
    steps: io::Result<Vec<u64>>,
    samples: Vec<Sample>,
}

/// Runs a plan with the program, in a folder that is empty or does not exist yet.
///
/// # Errors
///
/// The plan is invalid, or the fleet cannot be set up, started or stopped. The error of a step goes into the outcome.
pub fn run(plan: &Plan, program: &Path, folder: &Path) -> io::Result<Outcome> {
    run_with_endpoints(plan, program, folder, &|_| {})
}

/// Runs a plan as [`run`] does, and calls `on_started` with the addresses of the fleet once it serves.
///
/// # Errors
///
/// The same as those of [`run`].
pub fn run_with_endpoints(
    plan: &Plan,
    program: &Path,
    folder: &Path,
    on_started: &dyn Fn(&Endpoints),
) -> io::Result<Outcome> {
    plan.validate().map_err(io::Error::other)?;
    let (history, received) = channel();
    let mut rig = Rig::set_up(plan, program, folder, history.clone())?;
    rig.start(&plan.processes())?;
    rig.wait_until_serving()?;
    on_started(&rig.endpoints());
    let load_began_at = monotonic_nanos();
    let StepResults { steps, samples } = rig.run_under_load(&observer(&history, "clients"));
    let (steps_done_at, mut faults) = match steps {
        Ok(done) => (done, Vec::new()),
        Err(error) => (Vec::new(), vec![error.to_string()]),
    };
    faults.extend(rig.stop_all()?);
    let lines = rig.collect_history(&received, &mut faults);
    let mut findings = find_violations(&lines, &guarantees(plan));
    findings.truncate(MAX_FINDINGS);
    let late_after_ns = plan.load.deadline_ms * NANOS_PER_MS / 2;
    let seconds = per_second(&lines, &samples, load_began_at, late_after_ns);
    Ok(Outcome {
        duplicates: count_duplicates(&lines),
        findings,
        lines,
        seconds,
        faults,
        steps_done_at,
        load_began_at,
    })
}

/// Returns the guarantees of a fleet under a plan.
fn guarantees(plan: &Plan) -> Guarantees {
    let coordinated = plan.coordinators > 0;
    Guarantees {
        coordinated,
        // A lease that was granted just before the decision, and the allowance.
        stale_version_limit_ns: plan.lease_ms * NANOS_PER_MS + CLOCK_AND_MACHINE_SLACK_NS,
        strict: coordinated && plan.strict,
        remembered: plan.store && plan.load.same_node,
        retried_when_unknown: plan.load.retry_when_unknown,
    }
}

/// Returns an observer that writes events into the merged history under a name.
fn observer(history: &Sender<Line>, by: &'static str) -> Observer {
    let history = Mutex::new(history.clone());
    Arc::new(move |what| drop(lock(&history).send(Line::new(monotonic_nanos(), by, 0, what))))
}

/// Returns whether `wanted` accepts the name of the target of a link, such as `c1` of `n0>c1`.
fn leads_to(link: &str, wanted: impl Fn(&str) -> bool) -> bool {
    link.split_once('>').is_some_and(|(_, target)| wanted(target))
}

impl Rig<'_> {
    /// Carries out the plan's steps under load, and samples the counters.
    fn run_under_load(&mut self, observer: &Observer) -> StepResults {
        let plan = self.plan;
        let client_links: Vec<Arc<Link>> =
            (0..plan.nodes).map(|n| Arc::clone(&self.links[&format!("k>n{n}")])).collect();
        let nodes: Vec<&Link> = client_links.iter().map(|link| &**link).collect();
        let (stop, samples) = (AtomicBool::new(false), Mutex::new(Vec::new()));
        let (list_calls, opened) = (Arc::clone(&self.stand_ins.list_calls), Arc::clone(&self.opened));
        let steps = std::thread::scope(|scope| {
            for number in 0..plan.load.clients {
                let (nodes, stop) = (&nodes, &stop);
                scope
                    .spawn(move || clients::run_client(number, &plan.load, plan.seed, nodes, stop, observer));
            }
            scope.spawn(|| seconds::take_samples(&samples, &list_calls, &opened, &stop));
            let steps = self.run_steps();
            stop.store(true, Ordering::Relaxed);
            self.observations.stop();
            steps
        });
        let samples = std::mem::take(&mut *lock(&samples));
        StepResults { steps, samples }
    }

    fn endpoints(&self) -> Endpoints {
        let addresses = |start: &str| -> Vec<String> {
            let links = self.links.iter().filter(|(name, _)| name.starts_with(start));
            links.map(|(_, link)| link.address.to_string()).collect()
        };
        Endpoints { coordinators: addresses("o>"), nodes: addresses("k>") }
    }
}
