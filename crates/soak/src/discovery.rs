//! Simulated discovery, with a listener for each node, so that it is known which list each node received.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::http::read_message;

use crate::executor_list::ExecutorList;
use crate::history::{Event, Recorder};
use crate::network::{is_closed, reset};

/// The time without changes after which a watch sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The interval at which a watch checks whether it must end or become silent.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time limit for reading a request and for each write.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(10);
/// The size of the pieces in which nodes with an odd index get a list.
const PIECE_BYTES: usize = 97;

/// The current faults of discovery, shared by all its listeners.
#[derive(Debug, Default)]
pub struct DiscoveryFaults {
    /// The number of current outages, which may overlap.
    outages: AtomicU64,
    /// The sum of the current delays of answers.
    delay_ms: AtomicU64,
    /// The number of resets of all watches. A watch that began at a lower number must be reset.
    resets: AtomicU64,
    /// The number of times that all watches were silenced. A watch that began at a lower number must become silent.
    silencings: AtomicU64,
}

impl DiscoveryFaults {
    /// Begins an outage, which ends with [`DiscoveryFaults::end_outage`].
    pub fn begin_outage(&self) {
        self.outages.fetch_add(1, Ordering::SeqCst);
        self.reset_watches();
    }

    /// Ends one of the current outages.
    pub fn end_outage(&self) {
        self.outages.fetch_sub(1, Ordering::SeqCst);
    }

    /// Delays each answer by `ms` more, until [`DiscoveryFaults::end_slowdown`].
    pub fn begin_slowdown(&self, ms: u64) {
        self.delay_ms.fetch_add(ms, Ordering::SeqCst);
    }

    /// Ends a delay of `ms`.
    pub fn end_slowdown(&self, ms: u64) {
        self.delay_ms.fetch_sub(ms, Ordering::SeqCst);
    }

    /// Resets all watches that are open now.
    pub fn reset_watches(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Makes all watches that are open now permanently silent.
    pub fn silence_watches(&self) {
        self.silencings.fetch_add(1, Ordering::SeqCst);
    }
}

/// A discovery server for one node.
pub struct Discovery {
    /// The index of the node.
    pub node: usize,
    /// The number of the node's current process.
    pub life: Arc<AtomicU64>,
    /// The list that it serves.
    pub executor_list: Arc<ExecutorList>,
    /// Its current faults.
    pub discovery_faults: Arc<DiscoveryFaults>,
    /// Records which versions of the list were sent.
    pub recorder: Arc<Recorder>,
    /// Set when the run is over.
    pub finished: Arc<AtomicBool>,
}

impl Discovery {
    /// Listens until the run is over.
    ///
    /// # Errors
    ///
    /// The address is in use.
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
        if discovery_faults.outages.load(Ordering::SeqCst) > 0 {
            reset(&socket);
            return Ok(());
        }
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(SOCKET_TIMEOUT))?;
        socket.set_write_timeout(Some(SOCKET_TIMEOUT))?;
        let (resets, silencings) = (
            discovery_faults.resets.load(Ordering::SeqCst),
            discovery_faults.silencings.load(Ordering::SeqCst),
        );
        let Some((head, _)) = read_message(&mut BufReader::new(socket.try_clone()?))? else { return Ok(()) };
        std::thread::sleep(Duration::from_millis(discovery_faults.delay_ms.load(Ordering::SeqCst)));
        let after = head.split_once("&after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        self.watch(&socket, life, after, resets, silencings)
    }

    /// Sends the changes after a version, or the whole list without one, and then each change until the watch must end.
    /// `resets` and `silencings` are the counts of [`DiscoveryFaults`] when the request arrived.
    fn watch(
        &self,
        socket: &TcpStream,
        life: u64,
        after: Option<u64>,
        resets: u64,
        silencings: u64,
    ) -> io::Result<()> {
        let discovery_faults = &self.discovery_faults;
        let (mut version, list) = self.executor_list.changes_after(after);
        let mut writer = socket;
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        self.send(writer, life, version, &list)?;
        let mut last_line = Instant::now();
        loop {
            self.executor_list.wait_for_change(version, POLL_INTERVAL);
            if self.finished.load(Ordering::Relaxed) || is_closed(socket) {
                return Ok(());
            }
            if discovery_faults.resets.load(Ordering::SeqCst) != resets {
                reset(socket);
                return Ok(());
            }
            if discovery_faults.silencings.load(Ordering::SeqCst) != silencings {
                self.recorder.record(Event::WatchSilenced { node: self.node, life });
                return self.stay_silent(socket);
            }
            let (newer, list) = self.executor_list.changes_after(Some(version));
            if newer != version {
                version = newer;
                self.send(writer, life, version, &list)?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= HEARTBEAT_INTERVAL {
                writer.write_all(b"1\r\n\n\r\n")?;
                last_line = Instant::now();
            }
        }
    }

    /// Sends a list and records it as sent. Nodes with an odd index get it indented and in small pieces.
    fn send(
        &self,
        mut writer: &TcpStream,
        life: u64,
        version: u64,
        list: &serde_json::Value,
    ) -> io::Result<()> {
        let in_pieces = self.node % 2 == 1;
        let text = if in_pieces { format!("{list:#}\n") } else { format!("{list}\n") };
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if in_pieces {
            for piece in chunk.as_bytes().chunks(PIECE_BYTES) {
                writer.write_all(piece)?;
            }
        } else {
            writer.write_all(chunk.as_bytes())?;
        }
        self.recorder.record(Event::ListSent { node: self.node, life, version });
        Ok(())
    }

    /// Keeps the connection open without sending anything.
    fn stay_silent(&self, socket: &TcpStream) -> io::Result<()> {
        while !self.finished.load(Ordering::Relaxed) && !is_closed(socket) {
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}
