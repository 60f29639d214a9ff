//! The nodes of a run: real processes that are started, stopped, killed and paused, and the directory by which clients choose
//! among them.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linestack_rig::http::get_status;
use linestack_rig::process::Process;
use linestack_rig::shim;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::generator::BROKEN_CONNECTIONS_RULE;
use crate::history::{Event, NodeEvent, Recorder};
use crate::lock;
use crate::network::Network;

/// The interval at which a started node is checked for readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time limit for the answer to a readiness check.
const READINESS_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for a started node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The time after which clients no longer choose a node that got SIGTERM.
const STOP_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// The time after which clients no longer choose a node that got SIGKILL.
const KILL_NOTICE_DELAY: Duration = Duration::from_millis(1_000);
/// SIGKILL is sent this long after the longest deadline, counted from SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// The time after a start in which no SIGHUP is sent: the program has no signal handlers yet, and the signal would end it.
const HANDLER_INSTALL_TIME: Duration = Duration::from_millis(100);
/// The time after a start in which no invalid configuration is written: a process that reads one at its start exits, as
/// intended.
const CONFIGURATION_READ_TIME: Duration = Duration::from_secs(1);
/// Messages that report a bug; no log may contain them.
const BUG_MESSAGES: [&str; 2] = ["invariant broken", "panicked"];

/// The states of all nodes, by which clients choose among them.
#[derive(Debug)]
pub struct NodeDirectory {
    states: Vec<NodeState>,
}

#[derive(Debug)]
struct NodeState {
    address: SocketAddr,
    /// Whether clients choose it.
    accepts_clients: AtomicBool,
    /// Its process was killed, or has not been started.
    dead: AtomicBool,
    /// The shim breaks its connections.
    breaks_connections: AtomicBool,
    /// The number of its current process, which counts its starts.
    life: Arc<AtomicU64>,
}

impl NodeDirectory {
    /// Returns the node at a point from 0 to 1 among those that accept clients, or none if no node does.
    #[must_use]
    pub fn choose(&self, point: f64) -> Option<ChosenNode> {
        let open: Vec<usize> = (0..self.states.len())
            .filter(|node| self.states[*node].accepts_clients.load(Ordering::SeqCst))
            .collect();
        let node = *open.get((point * open.len() as f64) as usize)?;
        let state = &self.states[node];
        Some(ChosenNode { node, life: state.life.load(Ordering::SeqCst), address: state.address })
    }

    /// Returns whether this process of a node still runs without broken connections, so that a closed connection was closed by
    /// the process itself.
    #[must_use]
    pub fn is_alive(&self, node: usize, life: u64) -> bool {
        let state = &self.states[node];
        let is_reliable =
            !state.dead.load(Ordering::SeqCst) && !state.breaks_connections.load(Ordering::SeqCst);
        is_reliable && state.life.load(Ordering::SeqCst) == life
    }

    /// Returns how many nodes accept clients.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.states.iter().filter(|state| state.accepts_clients.load(Ordering::SeqCst)).count()
    }
}

/// The node that a client has chosen.
#[derive(Clone, Copy, Debug)]
pub struct ChosenNode {
    /// The index of the node.
    pub node: usize,
    /// The number of its current process.
    pub life: u64,
    /// The address on which it listens for clients.
    pub address: SocketAddr,
}

/// The configuration that all nodes of a run share.
pub struct NodeSetup {
    /// The path of the program.
    pub program: PathBuf,
    /// The folder in which each node has a folder of its own.
    pub folder: PathBuf,
    /// The network that provides their addresses.
    pub network: Network,
    /// Their settings.
    pub settings: Value,
    /// The executor list in their configuration, possibly outdated when they start.
    pub known: Value,
    /// The longest deadline of a client.
    pub deadline: Duration,
    /// Records the events of the nodes.
    pub recorder: Arc<Recorder>,
}

/// All nodes of a run.
pub struct Nodes {
    setup: NodeSetup,
    directory: Arc<NodeDirectory>,
    nodes: Vec<Mutex<Node>>,
    /// Set when the run ends: starts no longer wait until the node is ready.
    ending: AtomicBool,
}

struct Node {
    process: Process,
    /// The number of the discovery server in its configuration.
    discovery: u16,
    /// The number of bytes of its log that have been checked.
    log_checked: usize,
    /// When its process was last started.
    started: Option<Instant>,
}

impl Node {
    fn started_within(&self, span: Duration) -> bool {
        self.started.is_some_and(|started| started.elapsed() < span)
    }
}

impl Nodes {
    /// Creates the nodes without starting them.
    #[must_use]
    pub fn new(setup: NodeSetup, count: usize) -> Self {
        let state = |node: usize| NodeState {
            address: setup.network.node_address(node),
            accepts_clients: AtomicBool::new(false),
            dead: AtomicBool::new(true),
            breaks_connections: AtomicBool::new(false),
            life: Arc::default(),
        };
        let directory = Arc::new(NodeDirectory { states: (0..count).map(state).collect() });
        let nodes = (0..count).map(|node| {
            let name = format!("n{node}");
            let folder = setup.folder.join(&name);
            let process = Process::new(&name, folder, &setup.program, &[]);
            Mutex::new(Node { process, discovery: 0, log_checked: 0, started: None })
        });
        let nodes = nodes.collect();
        Self { setup, directory, nodes, ending: AtomicBool::new(false) }
    }

    /// Returns the directory by which clients choose nodes.
    #[must_use]
    pub fn directory(&self) -> Arc<NodeDirectory> {
        Arc::clone(&self.directory)
    }

    /// Returns the number of a node's current process, which counts its starts.
    #[must_use]
    pub fn life(&self, node: usize) -> Arc<AtomicU64> {
        Arc::clone(&self.directory.states[node].life)
    }

    fn record(&self, node: usize, node_event: NodeEvent) {
        let life = self.directory.states[node].life.load(Ordering::SeqCst);
        self.setup.recorder.record(Event::Node { node, life, node_event });
    }

    fn configuration(&self, node: usize, discovery: u16) -> Value {
        json!({
            "name": format!("n{node}"),
            "listen": self.directory.states[node].address.to_string(),
            "discovery": self.setup.network.discovery_address(node, discovery).to_string(),
            "seed": format!("{:x}", node + 1),
            "limits": {"sockets": 256, "memory_mb": 64},
            "known": self.setup.known,
            "settings": self.setup.settings,
        })
    }

    fn configuration_file(&self, node: usize) -> PathBuf {
        self.setup.folder.join(format!("n{node}")).join("configuration.json")
    }

    fn write_configuration(&self, node: usize, text: &str) -> io::Result<()> {
        let file = self.configuration_file(node);
        // The file is replaced atomically, so that a process never reads half of it.
        let new = file.with_extension("new");
        fs::write(&new, text)?;
        fs::rename(&new, &file)
    }

    /// Starts a node, with a shim plan unless that is empty, and lets clients choose it once it is ready.
    ///
    /// # Errors
    ///
    /// The process can't be started.
    pub fn start(&self, node: usize, shim_plan: &str) -> io::Result<()> {
        let mut locked = lock(&self.nodes[node]);
        if locked.process.is_running() {
            // Another fault at the same time has already started the node.
            return Ok(());
        }
        let folder = locked.process.folder.clone();
        fs::create_dir_all(&folder)?;
        let configuration = self.configuration(node, locked.discovery);
        self.write_configuration(node, &configuration.to_string())?;
        let file = self.configuration_file(node).display().to_string();
        let mut variables = vec![("PROXY_CONFIG".to_owned(), file)];
        if !shim_plan.is_empty() {
            let log = folder.join("shim.log");
            variables.push((shim::PRELOAD_VARIABLE.to_owned(), shim::library_path()?.display().to_string()));
            variables.push((shim::PLAN_VARIABLE.to_owned(), format!("{shim_plan}; log={}", log.display())));
        }
        locked.process.variables = variables;
        let life = self.directory.states[node].life.fetch_add(1, Ordering::SeqCst) + 1;
        locked.process.start()?;
        locked.started = Some(Instant::now());
        self.directory.states[node].dead.store(false, Ordering::SeqCst);
        self.directory.states[node]
            .breaks_connections
            .store(shim_plan.contains(BROKEN_CONNECTIONS_RULE), Ordering::SeqCst);
        drop(locked);
        self.record(node, NodeEvent::Started { shim: shim_plan.to_owned() });
        self.wait_until_ready(node, life);
        Ok(())
    }

    fn wait_until_ready(&self, node: usize, life: u64) {
        let state = &self.directory.states[node];
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT && !self.ending.load(Ordering::Relaxed) {
            if state.life.load(Ordering::SeqCst) != life {
                return;
            }
            if get_status(state.address, "/healthz", READINESS_CHECK_TIMEOUT)
                .is_ok_and(|status| status == 200)
            {
                state.accepts_clients.store(true, Ordering::SeqCst);
                return self.record(node, NodeEvent::Ready);
            }
            self.check_exit_and_log(node);
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Records whether a node has exited, and the bugs that its log reports.
    pub fn check_exit_and_log(&self, node: usize) {
        let mut locked = lock(&self.nodes[node]);
        if let Ok(Some(status)) = locked.process.poll_exit() {
            self.directory.states[node].accepts_clients.store(false, Ordering::SeqCst);
            self.record(node, NodeEvent::Ended { code: status.code() });
        }
        self.read_log(node, &mut locked);
    }

    fn read_log(&self, node: usize, locked: &mut Node) {
        let text = fs::read(locked.process.log_file()).unwrap_or_default();
        let new = String::from_utf8_lossy(text.get(locked.log_checked..).unwrap_or_default()).into_owned();
        let complete = new.rfind('\n').map_or(0, |end| end + 1);
        locked.log_checked += complete;
        for line in
            new[..complete].lines().filter(|line| BUG_MESSAGES.iter().any(|message| line.contains(message)))
        {
            self.record(node, NodeEvent::ErrorLogged { line: line.to_owned() });
        }
    }

    /// Sends SIGTERM to a node, kills it if it does not exit in time, and starts it again after `back_after`, if any.
    ///
    /// # Errors
    ///
    /// A signal can't be sent, or the node can't be started.
    pub fn stop(&self, node: usize, back_after: Option<Duration>, shim_plan: &str) -> io::Result<()> {
        {
            let locked = lock(&self.nodes[node]);
            if !locked.process.is_running() || locked.process.paused {
                return Ok(());
            }
            self.record(node, NodeEvent::Stopped);
            locked.process.signal(Signal::TERM)?;
        }
        self.wait_for_exit(node, Instant::now(), back_after, shim_plan)
    }

    /// Sends SIGTERM to a node while it is paused, and resumes it after `paused`.
    ///
    /// # Errors
    ///
    /// A signal can't be sent, or the node can't be started.
    pub fn stop_while_paused(&self, node: usize, paused: Duration, back_after: Duration) -> io::Result<()> {
        {
            let mut locked = lock(&self.nodes[node]);
            if !locked.process.is_running() || locked.process.paused {
                return Ok(());
            }
            locked.process.set_paused(true)?;
            self.record(node, NodeEvent::Paused);
            self.record(node, NodeEvent::Stopped);
            locked.process.signal(Signal::TERM)?;
        }
        let start = Instant::now();
        std::thread::sleep(paused);
        {
            let mut locked = lock(&self.nodes[node]);
            if locked.process.is_running() && locked.process.paused {
                self.record(node, NodeEvent::Resumed);
                locked.process.set_paused(false)?;
            }
        }
        self.wait_for_exit(node, start, Some(back_after), "")
    }

    /// Waits for the process with number `life` to start and has it reload its configuration `after` later.
    pub fn reload_at_start(&self, node: usize, life: u64, after: Duration) {
        let start = Instant::now();
        while self.directory.states[node].life.load(Ordering::SeqCst) < life {
            if start.elapsed() > READY_TIMEOUT || self.ending.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        std::thread::sleep(after);
        let _ = self.reload(node, true);
    }

    /// Waits for a node that got SIGTERM to exit, kills it at its time limit, and starts it again after `back_after`, if any.
    fn wait_for_exit(
        &self,
        node: usize,
        start: Instant,
        back_after: Option<Duration>,
        shim_plan: &str,
    ) -> io::Result<()> {
        let limit = self.setup.deadline + KILL_AFTER;
        while start.elapsed() < limit {
            if start.elapsed() > STOP_NOTICE_DELAY {
                self.directory.states[node].accepts_clients.store(false, Ordering::SeqCst);
            }
            self.check_exit_and_log(node);
            if !lock(&self.nodes[node]).process.is_running() {
                break;
            }
            std::thread::sleep(POLL_INTERVAL / 4);
        }
        self.directory.states[node].accepts_clients.store(false, Ordering::SeqCst);
        if lock(&self.nodes[node]).process.is_running() {
            self.directory.states[node].dead.store(true, Ordering::SeqCst);
            self.record(node, NodeEvent::Killed);
            lock(&self.nodes[node]).process.kill()?;
        }
        let Some(back_after) = back_after else { return Ok(()) };
        std::thread::sleep(back_after);
        self.start(node, shim_plan)
    }

    /// Sends SIGKILL to a node and starts it again after `back_after`.
    ///
    /// # Errors
    ///
    /// The signal can't be sent, or the node can't be started.
    pub fn kill(&self, node: usize, back_after: Duration, shim_plan: &str) -> io::Result<()> {
        {
            let mut locked = lock(&self.nodes[node]);
            if !locked.process.is_running() {
                return Ok(());
            }
            self.directory.states[node].dead.store(true, Ordering::SeqCst);
            self.record(node, NodeEvent::Killed);
            locked.process.kill()?;
        }
        std::thread::sleep(KILL_NOTICE_DELAY.min(back_after));
        self.directory.states[node].accepts_clients.store(false, Ordering::SeqCst);
        std::thread::sleep(back_after.saturating_sub(KILL_NOTICE_DELAY));
        self.start(node, shim_plan)
    }

    /// Pauses a node for a span.
    ///
    /// # Errors
    ///
    /// A signal can't be sent.
    pub fn pause(&self, node: usize, span: Duration) -> io::Result<()> {
        {
            let mut locked = lock(&self.nodes[node]);
            if !locked.process.is_running() || locked.process.paused {
                return Ok(());
            }
            locked.process.set_paused(true)?;
            self.record(node, NodeEvent::Paused);
        }
        std::thread::sleep(span);
        let mut locked = lock(&self.nodes[node]);
        if locked.process.is_running() && locked.process.paused {
            self.record(node, NodeEvent::Resumed);
            locked.process.set_paused(false)?;
        }
        Ok(())
    }

    /// Has a node reload a configuration that names the other discovery server, or an invalid one.
    ///
    /// # Errors
    ///
    /// The configuration can't be written, or the signal can't be sent.
    pub fn reload(&self, node: usize, valid: bool) -> io::Result<()> {
        let mut locked = lock(&self.nodes[node]);
        if !valid && locked.started_within(CONFIGURATION_READ_TIME) {
            return Ok(());
        }
        if valid {
            locked.discovery = 1 - locked.discovery;
            let configuration = self.configuration(node, locked.discovery);
            self.write_configuration(node, &configuration.to_string())?;
        } else {
            self.write_configuration(node, "{\"name\": \"n\", \"discovery\": 7}")?;
        }
        if locked.process.is_running() && !locked.started_within(HANDLER_INSTALL_TIME) {
            self.record(node, NodeEvent::Reloaded);
            locked.process.signal(Signal::HUP)?;
        }
        Ok(())
    }

    /// Waits until all nodes accept clients, and returns whether they do within the time limit.
    #[must_use]
    pub fn wait_until_all_ready(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if self.directory.open_count() == self.nodes.len() {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Stops all nodes and waits until they have exited.
    pub fn end(self: &Arc<Self>) {
        self.ending.store(true, Ordering::SeqCst);
        let stops: Vec<_> = (0..self.nodes.len())
            .map(|node| {
                let nodes = Arc::clone(self);
                std::thread::spawn(move || drop(nodes.stop(node, None, "")))
            })
            .collect();
        for stop in stops {
            let _ = stop.join();
        }
        (0..self.nodes.len()).for_each(|node| self.check_exit_and_log(node));
    }

    /// Returns the number of nodes.
    #[must_use]
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the path of a node's log file.
    #[must_use]
    pub fn log_file(folder: &Path, node: usize) -> PathBuf {
        folder.join(format!("n{node}")).join("log")
    }
}
