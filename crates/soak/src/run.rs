//! Runs a plan and returns its history.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::bad_client;
use crate::client::{Client, ClientContext};
use crate::delay_monitor;
use crate::discovery::{Discovery, DiscoveryFaults};
use crate::executor::Executor;
use crate::executor_list::{Entry, ExecutorList};
use crate::fault_injector::FaultInjector;
use crate::history::{Entry as HistoryEntry, Event, Recorder};
use crate::network::Network;
use crate::nodes::{NodeSetup, Nodes};
use crate::plan::Plan;
use crate::settings::ZONES;

/// The number of executors in a group.
const GROUP_SIZE: usize = 3;
/// The longest wait for all nodes to be ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest wait for all nodes to be ready after the last fault.
const RESTART_TIMEOUT: Duration = Duration::from_secs(20);
/// The wait after the last fault until no executor is cold or ejected any more.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// The longest wait at the end for answers that are outstanding.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(6_500);
/// The interval at which the last answers are waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time limit for a connection that wakes a listener at the end.
const WAKE_TIMEOUT: Duration = Duration::from_millis(100);
/// The number of discovery servers per node, which configurations name in turn.
const DISCOVERY_SERVERS: u16 = 2;

/// An error by which a plan could not be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A system call failed.
    #[error("{what}: {reason}")]
    System {
        /// What failed.
        what: &'static str,
        /// The error of the system call.
        reason: io::Error,
    },
    /// Some nodes did not become ready before the first fault.
    #[error("{ready} of {all} nodes were ready at the start")]
    Start {
        /// The number of nodes that became ready.
        ready: usize,
        /// The number of all nodes.
        all: usize,
    },
}

/// All executors of a run, including those that were replaced.
pub struct Executors {
    /// By index.
    pub(crate) all: Mutex<Vec<Arc<Executor>>>,
    /// The zone and group of each executor, by index.
    pub(crate) locations: Mutex<Vec<Location>>,
    seed: u64,
    idle_timeout: Duration,
    recorder: Arc<Recorder>,
    finished: Arc<AtomicBool>,
}

impl Executors {
    /// Adds an executor, which does not listen yet.
    pub(crate) fn add(&self, location: Location) -> Arc<Executor> {
        let mut all = crate::lock(&self.all);
        let (recorder, finished) = (Arc::clone(&self.recorder), Arc::clone(&self.finished));
        let executor = Executor::new(all.len(), self.seed, self.idle_timeout, recorder, finished);
        all.push(Arc::clone(&executor));
        crate::lock(&self.locations).push(location);
        executor
    }

    /// Returns the executor with this index.
    #[must_use]
    pub fn get(&self, index: usize) -> Arc<Executor> {
        Arc::clone(&crate::lock(&self.all)[index])
    }

    /// Returns the capacity of each executor, by index.
    #[must_use]
    pub fn capacities(&self) -> Vec<ExecutorCapacity> {
        let capacity = |executor: &Arc<Executor>| ExecutorCapacity {
            slots: executor.slots,
            mean_job_ms: executor.mean_job_ms,
        };
        crate::lock(&self.all).iter().map(capacity).collect()
    }
}

/// The record of a run, which is judged.
pub struct RunRecord {
    /// All events, ordered by time.
    pub history: Vec<HistoryEntry>,
    /// The capacity of each executor, by index.
    pub capacities: Vec<ExecutorCapacity>,
    /// The zone and group of each executor, by index.
    pub locations: Vec<Location>,
}

/// The capacity of a warm executor, from which the judge calculates that of a cold one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExecutorCapacity {
    /// The number of jobs that it executes at once.
    pub slots: usize,
    /// The average duration of a job, in milliseconds.
    pub mean_job_ms: f64,
}

/// The zone and group of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The index of its zone.
    pub zone: usize,
    /// The group that shares idempotency keys.
    pub group: usize,
}

/// Runs a plan with this program. The folders of the nodes are created in `folder`.
///
/// # Errors
///
/// The run could not be started. Violations of rules are no errors here.
pub fn run(plan: &Plan, program: &Path, folder: &Path) -> Result<RunRecord, RunError> {
    let system = |what: &'static str| move |reason: io::Error| RunError::System { what, reason };
    fs::create_dir_all(folder).map_err(system("cannot create the folder of the run"))?;
    let (recorder, finished) = (Arc::new(Recorder::default()), Arc::new(AtomicBool::new(false)));
    let network = Network::next();
    let executor_list = Arc::new(ExecutorList::new(Arc::clone(&recorder)));
    let discovery_faults = Arc::new(DiscoveryFaults::default());
    let executors = Arc::new(Executors {
        all: Mutex::default(),
        locations: Mutex::default(),
        seed: plan.seed,
        idle_timeout: Duration::from_millis(plan.settings.idle_ms),
        recorder: Arc::clone(&recorder),
        finished: Arc::clone(&finished),
    });
    for index in 0..plan.executors {
        let location = Location { zone: index % ZONES.len(), group: index / GROUP_SIZE };
        let (executor, address) = (executors.add(location), network.executor_address(index, 0));
        executor.listen(address).map_err(system("an executor cannot listen"))?;
        executor_list
            .add(Entry::new(index, format!("e{index}"), address, location.zone, location.group), None);
    }
    let setup = NodeSetup {
        program: program.to_owned(),
        folder: folder.to_owned(),
        network,
        settings: plan.settings.node_settings(plan.nodes),
        known: executor_list.changes_after(None).1,
        deadline: Duration::from_millis(plan.settings.deadline_ms),
        recorder: Arc::clone(&recorder),
    };
    let nodes = Arc::new(Nodes::new(setup, plan.nodes));
    for node in 0..plan.nodes {
        for number in 0..DISCOVERY_SERVERS {
            let discovery = Discovery {
                node,
                life: nodes.life(node),
                executor_list: Arc::clone(&executor_list),
                discovery_faults: Arc::clone(&discovery_faults),
                recorder: Arc::clone(&recorder),
                finished: Arc::clone(&finished),
            };
            discovery
                .start(network.discovery_address(node, number))
                .map_err(system("discovery cannot listen"))?;
        }
    }
    delay_monitor::start(&recorder, &finished).map_err(system("the delay monitor cannot listen"))?;
    start_all(plan, &nodes);
    if !nodes.wait_until_all_ready(START_TIMEOUT) {
        let ready = nodes.directory().open_count();
        finished.store(true, Ordering::SeqCst);
        nodes.end();
        return Err(RunError::Start { ready, all: plan.nodes });
    }
    let calm = Arc::new(AtomicBool::new(false));
    let clients_finished = Arc::new(AtomicBool::new(false));
    let context = Arc::new(ClientContext {
        directory: nodes.directory(),
        recorder: Arc::clone(&recorder),
        settings: plan.settings.clone(),
        finished: Arc::clone(&clients_finished),
        calm: Arc::clone(&calm),
    });
    let mut clients = start_clients(plan, &context);
    let injector = Arc::new(FaultInjector {
        nodes: Arc::clone(&nodes),
        executors: Arc::clone(&executors),
        executor_list,
        discovery_faults,
        network,
        deadline_ms: plan.settings.deadline_ms,
        recorder: Arc::clone(&recorder),
        finished: Arc::clone(&finished),
    });
    let start = Instant::now();
    injector.run(&plan.faults);
    std::thread::sleep(Duration::from_millis(plan.span_ms).saturating_sub(start.elapsed()));
    calm.store(true, Ordering::SeqCst);
    let _ = nodes.wait_until_all_ready(RESTART_TIMEOUT);
    std::thread::sleep(SETTLE_TIME);
    (0..nodes.count()).for_each(|node| nodes.check_exit_and_log(node));
    recorder.record(Event::Calm);
    std::thread::sleep(Duration::from_millis(plan.calm_ms));
    clients_finished.store(true, Ordering::SeqCst);
    let waited = Instant::now();
    while clients.iter().any(|client| !client.is_finished()) && waited.elapsed() < LAST_ANSWERS_TIMEOUT {
        std::thread::sleep(POLL_INTERVAL);
    }
    clients.retain(|client| !client.is_finished());
    nodes.end();
    finished.store(true, Ordering::SeqCst);
    wake_listeners(plan, network, &executors, &injector.executor_list);
    let locations = crate::lock(&executors.locations).clone();
    Ok(RunRecord { history: recorder.history(), capacities: executors.capacities(), locations })
}

fn start_all(plan: &Plan, nodes: &Arc<Nodes>) {
    for node in 0..plan.nodes {
        let shim = plan.shims.iter().find(|shim| shim.node == node).map(|shim| shim.plan.clone());
        let nodes = Arc::clone(nodes);
        std::thread::spawn(move || drop(nodes.start(node, &shim.unwrap_or_default())));
    }
}

fn start_clients(plan: &Plan, context: &Arc<ClientContext>) -> Vec<std::thread::JoinHandle<()>> {
    let interval = Duration::from_secs_f64(plan.clients as f64 / plan.rate.max(1.0));
    let seed = plan.seed;
    for number in 0..plan.bad_clients {
        let context = Arc::clone(context);
        std::thread::spawn(move || bad_client::run(number, seed, &context));
    }
    let client = |number: usize| {
        let client = Client::new(number, seed, Arc::clone(context));
        std::thread::spawn(move || client.run(interval))
    };
    (0..plan.clients).map(client).collect()
}

/// Wakes all listeners, which then see that the run is over and close their sockets.
fn wake_listeners(plan: &Plan, network: Network, executors: &Executors, executor_list: &ExecutorList) {
    let wake = |address| drop(std::net::TcpStream::connect_timeout(&address, WAKE_TIMEOUT));
    for node in 0..plan.nodes {
        (0..DISCOVERY_SERVERS).for_each(|number| wake(network.discovery_address(node, number)));
    }
    let count = crate::lock(&executors.all).len();
    (0..count).filter_map(|index| executor_list.entry(index)).for_each(|entry| wake(entry.address));
}
