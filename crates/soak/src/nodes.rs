//! The nodes of a run: real processes, started, stopped, killed and held still, and the front that deals clients out.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linestack_rig::http::get;
use linestack_rig::process::Process;
use linestack_rig::shim;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::generator::BREAKS;
use crate::history::{Event, NodeEvent, Recorder};
use crate::lock;
use crate::network::Network;

/// How soon the front sees whether a node that was started is ready.
const LOOK: Duration = Duration::from_millis(20);
/// How long the front waits for a node at most.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// When clients stop coming to a node that was told to end,
const STOP_NOTICED: Duration = Duration::from_millis(300);
/// and to one that was killed.
const KILL_NOTICED: Duration = Duration::from_millis(1_000);
/// A kill comes so long after the longest deadline, counted from SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// No program has a handler in the moment in which it begins, and a signal ends it.
const HANDLERS_THERE: Duration = Duration::from_millis(100);
/// A process that starts reads its configuration within this; one that makes no sense ends it then, as it should.
const CONFIGURATION_READ: Duration = Duration::from_secs(1);
/// Lines that no log should have.
const COMPLAINTS: [&str; 2] = ["invariant broken", "panicked"];

/// What clients know of the nodes.
#[derive(Debug)]
pub struct NodeDirectory {
    nodes_state: Vec<NodeState>,
}

#[derive(Debug)]
struct NodeState {
    address: SocketAddr,
    open: AtomicBool,
    /// Its process was killed, or has ended.
    dead: AtomicBool,
    /// Its connections break by the shim.
    breaks: AtomicBool,
    life: Arc<AtomicU64>,
}

impl NodeDirectory {
    /// A node that takes clients, drawn by a number from 0 to 1.
    #[must_use]
    pub fn choose(&self, choice: f64) -> Option<(usize, u64, SocketAddr)> {
        let open: Vec<usize> = (0..self.nodes_state.len())
            .filter(|state| self.nodes_state[*state].open.load(Ordering::SeqCst))
            .collect();
        let node = *open.get((choice * open.len() as f64) as usize)?;
        let state = &self.nodes_state[node];
        Some((node, state.life.load(Ordering::SeqCst), state.address))
    }

    /// Whether this process of a node is there: a connection that it ends was closed by it, and not by its death.
    #[must_use]
    pub fn is_alive(&self, node: usize, life: u64) -> bool {
        let state = &self.nodes_state[node];
        let stays = !state.dead.load(Ordering::SeqCst) && !state.breaks.load(Ordering::SeqCst);
        stays && state.life.load(Ordering::SeqCst) == life
    }

    /// How many nodes take clients.
    #[must_use]
    pub fn open(&self) -> usize {
        self.nodes_state.iter().filter(|state| state.open.load(Ordering::SeqCst)).count()
    }
}

/// What all nodes of a run are made of.
pub struct NodeSetup {
    /// The program.
    pub program: PathBuf,
    /// Where each node has a folder.
    pub folder: PathBuf,
    /// Whose addresses they have.
    pub network: Network,
    /// Their settings.
    pub settings: Value,
    /// The list that all know at their start, however old it is by then.
    pub known: Value,
    /// The longest that a client waits.
    pub deadline: Duration,
    /// Where all is noted.
    pub recorder: Arc<Recorder>,
}

/// All nodes.
pub struct Nodes {
    setup: NodeSetup,
    directory: Arc<NodeDirectory>,
    nodes: Vec<Mutex<Node>>,
    ending: AtomicBool,
}

struct Node {
    process: Process,
    /// Which discovery its configuration names.
    discovery: u16,
    /// How much of its log was looked at.
    read: usize,
    /// When its process was started last.
    started: Option<Instant>,
}

impl Node {
    fn started_within(&self, span: Duration) -> bool {
        self.started.is_some_and(|started| started.elapsed() < span)
    }
}

impl Nodes {
    /// As many as are wanted; none of them runs yet.
    #[must_use]
    pub fn new(setup: NodeSetup, count: usize) -> Self {
        let state = |node: usize| NodeState {
            address: setup.network.node(node),
            open: AtomicBool::new(false),
            dead: AtomicBool::new(true),
            breaks: AtomicBool::new(false),
            life: Arc::default(),
        };
        let directory = Arc::new(NodeDirectory { nodes_state: (0..count).map(state).collect() });
        let nodes = (0..count).map(|node| {
            let name = format!("n{node}");
            let folder = setup.folder.join(&name);
            let process = Process::new(&name, folder, &setup.program, &[]);
            Mutex::new(Node { process, discovery: 0, read: 0, started: None })
        });
        let nodes = nodes.collect();
        Self { setup, directory, nodes, ending: AtomicBool::new(false) }
    }

    /// What clients know of them.
    #[must_use]
    pub fn directory(&self) -> Arc<NodeDirectory> {
        Arc::clone(&self.directory)
    }

    /// Counts the processes of a node.
    #[must_use]
    pub fn life(&self, node: usize) -> Arc<AtomicU64> {
        Arc::clone(&self.directory.nodes_state[node].life)
    }

    fn note(&self, node: usize, node_event: NodeEvent) {
        let life = self.directory.nodes_state[node].life.load(Ordering::SeqCst);
        self.setup.recorder.now(Event::Node { node, life, node_event });
    }

    fn configuration(&self, node: usize, discovery: u16) -> Value {
        json!({
            "name": format!("n{node}"),
            "listen": self.directory.nodes_state[node].address.to_string(),
            "discovery": self.setup.network.discovery(node, discovery).to_string(),
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
        // In one step, so that a process never reads half of it.
        let new = file.with_extension("new");
        fs::write(&new, text)?;
        fs::rename(&new, &file)
    }

    /// Starts a node, whose system calls fail by this plan if it is not empty, and lets clients come once it is ready.
    ///
    /// # Errors
    ///
    /// The process can't be started.
    pub fn start(&self, node: usize, plan: &str) -> io::Result<()> {
        let mut own = lock(&self.nodes[node]);
        if own.process.running() {
            // Another trouble that it had at the same time has started it.
            return Ok(());
        }
        let folder = own.process.folder.clone();
        fs::create_dir_all(&folder)?;
        let configuration = self.configuration(node, own.discovery);
        self.write_configuration(node, &configuration.to_string())?;
        let file = self.configuration_file(node).display().to_string();
        let mut variables = vec![("PROXY_CONFIG".to_owned(), file)];
        if !plan.is_empty() {
            let log = folder.join("shim.log");
            variables.push((shim::PRELOAD.to_owned(), shim::library()?.display().to_string()));
            variables.push((shim::PLAN.to_owned(), format!("{plan}; log={}", log.display())));
        }
        own.process.variables = variables;
        let life = self.directory.nodes_state[node].life.fetch_add(1, Ordering::SeqCst) + 1;
        own.process.start()?;
        own.started = Some(Instant::now());
        self.directory.nodes_state[node].dead.store(false, Ordering::SeqCst);
        self.directory.nodes_state[node].breaks.store(plan.contains(BREAKS), Ordering::SeqCst);
        drop(own);
        self.note(node, NodeEvent::Started { shim: plan.to_owned() });
        self.wait_until_ready(node, life);
        Ok(())
    }

    fn wait_until_ready(&self, node: usize, life: u64) {
        let state = &self.directory.nodes_state[node];
        let begun = Instant::now();
        while begun.elapsed() < READY_WITHIN && !self.ending.load(Ordering::Relaxed) {
            if state.life.load(Ordering::SeqCst) != life {
                return;
            }
            if get(state.address, "/healthz", Duration::from_millis(500)).is_ok_and(|status| status == 200) {
                state.open.store(true, Ordering::SeqCst);
                return self.note(node, NodeEvent::Ready);
            }
            self.check_exit_and_log(node);
            std::thread::sleep(LOOK);
        }
    }

    /// Notes it if a node has ended by itself, and what its log complains of.
    pub fn check_exit_and_log(&self, node: usize) {
        let mut own = lock(&self.nodes[node]);
        if let Ok(Some(status)) = own.process.ended() {
            self.directory.nodes_state[node].open.store(false, Ordering::SeqCst);
            self.note(node, NodeEvent::Ended { code: status.code() });
        }
        self.read_log(node, &mut own);
    }

    fn read_log(&self, node: usize, own: &mut Node) {
        let text = fs::read(own.process.log()).unwrap_or_default();
        let new = String::from_utf8_lossy(text.get(own.read..).unwrap_or_default()).into_owned();
        let whole = new.rfind('\n').map_or(0, |end| end + 1);
        own.read += whole;
        for line in new[..whole].lines().filter(|line| COMPLAINTS.iter().any(|bad| line.contains(bad))) {
            self.note(node, NodeEvent::ErrorLogged { line: line.to_owned() });
        }
    }

    /// Tells a node to end, kills it if it has not in time, and starts it again after a while.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn stop(&self, node: usize, back_after: Option<Duration>, plan: &str) -> io::Result<()> {
        {
            let own = lock(&self.nodes[node]);
            if !own.process.running() || own.process.paused {
                return Ok(());
            }
            self.note(node, NodeEvent::Stopped);
            own.process.signal(Signal::TERM)?;
        }
        self.wait_for_exit(node, Instant::now(), back_after, plan)
    }

    /// Tells a node to end while it stands still, and lets it go on after a while.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn stop_while_paused(&self, node: usize, paused: Duration, back_after: Duration) -> io::Result<()> {
        {
            let mut own = lock(&self.nodes[node]);
            if !own.process.running() || own.process.paused {
                return Ok(());
            }
            own.process.pause(true)?;
            self.note(node, NodeEvent::Paused);
            self.note(node, NodeEvent::Stopped);
            own.process.signal(Signal::TERM)?;
        }
        let begun = Instant::now();
        std::thread::sleep(paused);
        {
            let mut own = lock(&self.nodes[node]);
            if own.process.running() && own.process.paused {
                self.note(node, NodeEvent::Resumed);
                own.process.pause(false)?;
            }
        }
        self.wait_for_exit(node, begun, Some(back_after), "")
    }

    /// Has the process of this count read a configuration so long after it was started.
    pub fn reload_at_start(&self, node: usize, life: u64, after: Duration) {
        let begun = Instant::now();
        while self.directory.nodes_state[node].life.load(Ordering::SeqCst) < life {
            if begun.elapsed() > READY_WITHIN || self.ending.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(LOOK);
        }
        std::thread::sleep(after);
        let _ = self.reload(node, true);
    }

    /// Waits for a node that was told to end, kills it as soon as that may come, and starts it again after a while.
    fn wait_for_exit(
        &self,
        node: usize,
        begun: Instant,
        back_after: Option<Duration>,
        plan: &str,
    ) -> io::Result<()> {
        let last = self.setup.deadline + KILL_AFTER;
        while begun.elapsed() < last {
            if begun.elapsed() > STOP_NOTICED {
                self.directory.nodes_state[node].open.store(false, Ordering::SeqCst);
            }
            self.check_exit_and_log(node);
            if !lock(&self.nodes[node]).process.running() {
                break;
            }
            std::thread::sleep(LOOK / 4);
        }
        self.directory.nodes_state[node].open.store(false, Ordering::SeqCst);
        if lock(&self.nodes[node]).process.running() {
            self.directory.nodes_state[node].dead.store(true, Ordering::SeqCst);
            self.note(node, NodeEvent::Killed);
            lock(&self.nodes[node]).process.kill()?;
        }
        let Some(back_after) = back_after else { return Ok(()) };
        std::thread::sleep(back_after);
        self.start(node, plan)
    }

    /// Kills a node outright, and starts it again after a while.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn kill(&self, node: usize, back_after: Duration, plan: &str) -> io::Result<()> {
        {
            let mut own = lock(&self.nodes[node]);
            if !own.process.running() {
                return Ok(());
            }
            self.directory.nodes_state[node].dead.store(true, Ordering::SeqCst);
            self.note(node, NodeEvent::Killed);
            own.process.kill()?;
        }
        std::thread::sleep(KILL_NOTICED.min(back_after));
        self.directory.nodes_state[node].open.store(false, Ordering::SeqCst);
        std::thread::sleep(back_after.saturating_sub(KILL_NOTICED));
        self.start(node, plan)
    }

    /// Holds a node still for a while.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn pause(&self, node: usize, span: Duration) -> io::Result<()> {
        {
            let mut own = lock(&self.nodes[node]);
            if !own.process.running() || own.process.paused {
                return Ok(());
            }
            own.process.pause(true)?;
            self.note(node, NodeEvent::Paused);
        }
        std::thread::sleep(span);
        let mut own = lock(&self.nodes[node]);
        if own.process.running() && own.process.paused {
            self.note(node, NodeEvent::Resumed);
            own.process.pause(false)?;
        }
        Ok(())
    }

    /// Has a node read a configuration that names the other discovery, or one that makes no sense.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn reload(&self, node: usize, sense: bool) -> io::Result<()> {
        let mut own = lock(&self.nodes[node]);
        if !sense && own.started_within(CONFIGURATION_READ) {
            return Ok(());
        }
        if sense {
            own.discovery = 1 - own.discovery;
            let configuration = self.configuration(node, own.discovery);
            self.write_configuration(node, &configuration.to_string())?;
        } else {
            self.write_configuration(node, "{\"name\": \"n\", \"discovery\": 7}")?;
        }
        if own.process.running() && !own.started_within(HANDLERS_THERE) {
            self.note(node, NodeEvent::Reloaded);
            own.process.signal(Signal::HUP)?;
        }
        Ok(())
    }

    /// All run and serve, or were waited for long enough.
    #[must_use]
    pub fn wait_until_all_ready(&self, within: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < within {
            if self.directory.open() == self.nodes.len() {
                return true;
            }
            std::thread::sleep(LOOK);
        }
        false
    }

    /// Tells all to end, and waits until they have.
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

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// The log of a node.
    #[must_use]
    pub fn log(folder: &Path, node: usize) -> PathBuf {
        folder.join(format!("n{node}")).join("log")
    }
}
