//! Stand-in discovery: a listener for each node, so that it is known whom it told what.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::http::message;

use crate::executor_list::ExecutorList;
use crate::history::{Event, Recorder};
use crate::network::{is_closed, reset};

const HEARTBEAT: Duration = Duration::from_secs(2);
/// How soon a watch sees that it is to end or to fall silent.
const LOOK: Duration = Duration::from_millis(50);
const PIECE: usize = 97;

/// How discovery fares; shared by all its listeners.
#[derive(Debug, Default)]
pub struct DiscoveryFaults {
    /// Troubles that overlap, each of which has it down,
    down: AtomicU64,
    /// and what those that make it slow add up to.
    slow_ms: AtomicU64,
    /// Watches of an earlier count are to be reset, or are silent.
    resets: AtomicU64,
    mutes: AtomicU64,
}

impl DiscoveryFaults {
    /// Discovery is down, until [`DiscoveryFaults::end_outage`].
    pub fn begin_outage(&self) {
        self.down.fetch_add(1, Ordering::SeqCst);
        self.reset_watches();
    }

    /// One of those that had it down is over.
    pub fn end_outage(&self) {
        self.down.fetch_sub(1, Ordering::SeqCst);
    }

    /// Each call is answered so much later, until [`DiscoveryFaults::end_slowdown`].
    pub fn begin_slowdown(&self, ms: u64) {
        self.slow_ms.fetch_add(ms, Ordering::SeqCst);
    }

    /// One of those that made it slow is over.
    pub fn end_slowdown(&self, ms: u64) {
        self.slow_ms.fetch_sub(ms, Ordering::SeqCst);
    }

    /// All watches that are open now are reset.
    pub fn reset_watches(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// All watches that are open now fall silent for good.
    pub fn silence_watches(&self) {
        self.mutes.fetch_add(1, Ordering::SeqCst);
    }
}

/// One listener, for one node.
pub struct Discovery {
    /// The node that it is for.
    pub node: usize,
    /// Counts the node's processes.
    pub life: Arc<AtomicU64>,
    /// What it tells.
    pub executor_list: Arc<ExecutorList>,
    /// How it fares.
    pub discovery_faults: Arc<DiscoveryFaults>,
    /// Where it notes what it told.
    pub recorder: Arc<Recorder>,
    /// The run is over.
    pub finished: Arc<AtomicBool>,
}

impl Discovery {
    /// Listens until the run is over.
    ///
    /// # Errors
    ///
    /// The address is taken.
    pub fn start(self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let discovery = Arc::new(self);
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                if discovery.finished.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(socket) = socket else { continue };
                let discovery = Arc::clone(&discovery);
                std::thread::spawn(move || drop(discovery.serve(socket)));
            }
        });
        Ok(())
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        let discovery_faults = &self.discovery_faults;
        let life = self.life.load(Ordering::SeqCst);
        if discovery_faults.down.load(Ordering::SeqCst) > 0 {
            reset(&socket);
            return Ok(());
        }
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(10)))?;
        socket.set_write_timeout(Some(Duration::from_secs(10)))?;
        let (resets, mutes) =
            (discovery_faults.resets.load(Ordering::SeqCst), discovery_faults.mutes.load(Ordering::SeqCst));
        let Some((head, _)) = message(&mut BufReader::new(socket.try_clone()?))? else { return Ok(()) };
        std::thread::sleep(Duration::from_millis(discovery_faults.slow_ms.load(Ordering::SeqCst)));
        let after = head.split_once("&after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        self.watch(&socket, life, after, resets, mutes)
    }

    fn watch(
        &self,
        socket: &TcpStream,
        life: u64,
        after: Option<u64>,
        resets: u64,
        mutes: u64,
    ) -> io::Result<()> {
        let discovery_faults = &self.discovery_faults;
        let (mut version, list) = self.executor_list.since(after);
        let mut writer = socket;
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        self.tell(writer, life, version, &list)?;
        let mut last_line = Instant::now();
        loop {
            self.executor_list.wait(version, LOOK);
            if self.finished.load(Ordering::Relaxed) || is_closed(socket) {
                return Ok(());
            }
            if discovery_faults.resets.load(Ordering::SeqCst) != resets {
                reset(socket);
                return Ok(());
            }
            if discovery_faults.mutes.load(Ordering::SeqCst) != mutes {
                self.recorder.now(Event::WatchSilenced { node: self.node, life });
                return self.stay_silent(socket);
            }
            let (newer, list) = self.executor_list.since(Some(version));
            if newer != version {
                version = newer;
                self.tell(writer, life, version, &list)?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= HEARTBEAT {
                writer.write_all(b"1\r\n\n\r\n")?;
                last_line = Instant::now();
            }
        }
    }

    /// What is written counts as told from then on. Lists come indented and in pieces at every other node.
    fn tell(
        &self,
        mut writer: &TcpStream,
        life: u64,
        version: u64,
        list: &serde_json::Value,
    ) -> io::Result<()> {
        let odd = self.node % 2 == 1;
        let text = if odd { format!("{list:#}\n") } else { format!("{list}\n") };
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if odd {
            for piece in chunk.as_bytes().chunks(PIECE) {
                writer.write_all(piece)?;
            }
        } else {
            writer.write_all(chunk.as_bytes())?;
        }
        self.recorder.now(Event::ListSent { node: self.node, life, version });
        Ok(())
    }

    fn stay_silent(&self, socket: &TcpStream) -> io::Result<()> {
        while !self.finished.load(Ordering::Relaxed) && !is_closed(socket) {
            std::thread::sleep(LOOK);
        }
        Ok(())
    }
}
