//! Plays a plan: starts the processes, does what is planned while clients ask, collects the histories, and
//! has them judged.
//!
//! | module | what it does |
//! | --- | --- |
//! | `setup` | opens the links and writes the configuration of each process |
//! | `processes` | starts and ends processes, and has links lead to them |
//! | `observations`, `timeline` | what has been seen of the processes; the steps that wait for it |
//! | `actions`, `operator` | what a step does to links, executors and processes; an operator's commands |
//! | `histories` | reads what the processes wrote down |
//! | `seconds`, `recovery`, `outcome` | what came of the run |

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
use crate::check::{Guarantees, check, count_duplicates};
use crate::link::Link;
use crate::plan::Plan;
use crate::process::Process;
use crate::stand_ins::{Observer, StandInFleet};
use crate::{clients, lock, monotonic};

pub use self::outcome::Outcome;
pub use self::recovery::Recovery;
pub use self::seconds::Second;
pub use self::setup::scenario;

/// How often logs, histories and health are looked at for what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Drift that clocks are allowed, and what a busy machine adds to every bound, in nanoseconds.
const CLOCK_AND_MACHINE_SLACK: u64 = 250_000_000;

/// The most findings that an outcome holds.
const MAX_FINDINGS: usize = 100;

const NANOS_PER_MS: u64 = 1_000_000;

/// A run under way.
struct Rig<'a> {
    plan: &'a Plan,
    program: PathBuf,
    folder: PathBuf,
    fleet_name: String,
    /// Stand-in executors and discovery.
    fleet: StandInFleet,
    /// By name, such as `n0>c1`.
    links: BTreeMap<String, Arc<Link>>,
    processes: BTreeMap<String, Process>,
    /// Where the processes that run listen.
    addresses: HashMap<String, SocketAddr>,
    observations: Arc<Observations>,
    tails: LogTails,
    opened: Arc<OpenedConnections>,
    /// Takes what the rig itself writes into the merged history.
    history: Sender<Line>,
    /// The settings that the fleet begins with.
    first_policy: Value,
    /// Operators' commands that may still run.
    operators: Vec<JoinHandle<()>>,
    /// Which policy stands in each node's own file, where it is not the first.
    file_policies: HashMap<String, u64>,
}

/// Where a fleet that has started can be reached.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Addresses of the coordinators, for operators.
    pub coordinators: Vec<String>,
    /// Addresses of the nodes, for clients.
    pub nodes: Vec<String>,
}

/// What the load and the steps left behind.
struct Played {
    /// When each step was done, or why a step could not be.
    steps: io::Result<Vec<u64>>,
    samples: Vec<Sample>,
}

/// Plays a plan with the program, in a folder that is empty or not there yet.
///
/// # Errors
///
/// The plan could not be played: a process did not start, or what a step waits for never came.
pub fn run(plan: &Plan, program: &Path, folder: &Path) -> io::Result<Outcome> {
    run_with_endpoints(plan, program, folder, &|_| {})
}

/// As [`run`]; `told` hears where the fleet is, once it serves.
///
/// # Errors
///
/// As there.
pub fn run_with_endpoints(
    plan: &Plan,
    program: &Path,
    folder: &Path,
    told: &dyn Fn(&Endpoints),
) -> io::Result<Outcome> {
    plan.check().map_err(io::Error::other)?;
    let (history, received) = channel();
    let mut rig = Rig::set_up(plan, program, folder, history.clone())?;
    rig.start(&plan.processes())?;
    rig.wait_until_serving()?;
    told(&rig.reachable_at());
    let began = monotonic();
    let Played { steps, samples } = rig.play(&observer(&history, "clients"));
    let (done, mut faults) = match steps {
        Ok(done) => (done, Vec::new()),
        Err(why) => (Vec::new(), vec![why.to_string()]),
    };
    faults.extend(rig.end()?);
    let lines = rig.collect(&received, &mut faults);
    let mut findings = check(&lines, &guarantees(plan));
    findings.truncate(MAX_FINDINGS);
    let late_after = plan.load.deadline_ms * NANOS_PER_MS / 2;
    let seconds = per_second(&lines, &samples, began, late_after);
    Ok(Outcome {
        duplicates: count_duplicates(&lines),
        findings,
        lines,
        seconds,
        faults,
        steps_done_at: done,
        load_began_at: began,
    })
}

/// What a fleet under a plan promises.
fn guarantees(plan: &Plan) -> Guarantees {
    let coordinated = plan.coordinators > 0;
    Guarantees {
        coordinated,
        // The lease of whoever was granted one just before, and what a busy machine adds.
        bound: plan.lease_ms * NANOS_PER_MS + CLOCK_AND_MACHINE_SLACK,
        strict: coordinated && plan.strict,
        remembered: plan.store && plan.load.same_node,
        retried_when_unknown: plan.load.retry_when_unknown,
    }
}

/// An observer that writes what it sees into the merged history under a name.
fn observer(history: &Sender<Line>, by: &'static str) -> Observer {
    let history = Mutex::new(history.clone());
    Arc::new(move |what| drop(lock(&history).send(Line::new(monotonic(), by, 0, what))))
}

/// Whether a link leads to an end that `wanted` accepts.
fn leads_to(link: &str, wanted: impl Fn(&str) -> bool) -> bool {
    link.split_once('>').is_some_and(|(_, end)| wanted(end))
}

impl Rig<'_> {
    /// Goes through the plan's steps while clients ask, and takes samples of the counters.
    fn play(&mut self, seen: &Observer) -> Played {
        let plan = self.plan;
        let client_links: Vec<Arc<Link>> =
            (0..plan.nodes).map(|n| Arc::clone(&self.links[&format!("k>n{n}")])).collect();
        let nodes: Vec<&Link> = client_links.iter().map(|link| &**link).collect();
        let (stop, samples) = (AtomicBool::new(false), Mutex::new(Vec::new()));
        let (list_calls, opened) = (Arc::clone(&self.fleet.list_calls), Arc::clone(&self.opened));
        let steps = std::thread::scope(|scope| {
            for number in 0..plan.load.clients {
                let (nodes, stop) = (&nodes, &stop);
                scope.spawn(move || clients::run_client(number, &plan.load, plan.seed, nodes, stop, seen));
            }
            scope.spawn(|| seconds::take_samples(&samples, &list_calls, &opened, &stop));
            let steps = self.play_steps();
            stop.store(true, Ordering::Relaxed);
            self.observations.stop();
            steps
        });
        let samples = std::mem::take(&mut *lock(&samples));
        Played { steps, samples }
    }

    fn reachable_at(&self) -> Endpoints {
        let addresses = |start: &str| -> Vec<String> {
            let links = self.links.iter().filter(|(name, _)| name.starts_with(start));
            links.map(|(_, link)| link.address.to_string()).collect()
        };
        Endpoints { coordinators: addresses("o>"), nodes: addresses("k>") }
    }
}
