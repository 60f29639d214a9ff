//! A link from one process to another: a TCP proxy that forwards all bytes and injects faults on request.

use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use linestack_frames::{Reader, encode};
use serde::{Deserialize, Serialize};

use crate::lock;

/// The interval at which a connection that waits for the end of a cut checks whether it was closed.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The same interval for a connection that waits for bytes. It is longer because a broken connection wakes its reader,
/// and there are thousands of connections.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The time limit for the connection that wakes the listening thread when the link is dropped.
const WAKE_TIMEOUT: Duration = Duration::from_millis(100);
/// The time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of connections on one link at a time; connections beyond it are closed at once. A link to a
/// coordinator may carry one connection from each node.
const MAX_CONNECTIONS: u64 = 4096;
/// The stack size in bytes of a forwarding thread: its read buffer and a reserve. Each connection has two such threads.
const THREAD_STACK_BYTES: usize = 256 * 1024;
/// The size in bytes of a read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The number of bytes that a throttled link forwards at once.
const THROTTLED_CHUNK_BYTES: usize = 64;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the connecting process to the listening process.
    #[serde(rename = "forth")]
    Forward,
    /// From the listening process to the connecting process.
    #[serde(rename = "back")]
    Backward,
}

/// A fault for the next frame of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameFault {
    /// Forwards this many of its bytes, then breaks the connection.
    CutAt(usize),
    /// Forwards it twice.
    Repeat,
    /// Holds it until [`Link::release`] while later frames pass.
    Hold,
}

/// Called with the link's name, the direction and the kind of each frame that has passed. The connection forwards
/// nothing in that direction until the call returns.
pub type FrameObserver = Arc<dyn Fn(&str, Direction, u8) + Send + Sync>;

/// A proxied link, which runs until it is dropped.
pub struct Link {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    proxy: Arc<Proxy>,
}

struct Proxy {
    name: String,
    /// Whether the link carries frames.
    framed: bool,
    /// The address to which new connections lead; without one they are refused.
    target: Mutex<Option<SocketAddr>>,
    faults: Mutex<Faults>,
    faults_changed: Condvar,
    connections: Mutex<HashMap<ConnectionNumber, SocketPair>>,
    /// Addresses of connecting sockets whose connection reached the target.
    reached: Mutex<HashSet<SocketAddr>>,
    /// The number of connections accepted so far.
    accepted: AtomicU64,
    /// The number of connections that are open now.
    open: AtomicU64,
    stop: AtomicBool,
    observer: FrameObserver,
}

type ConnectionNumber = u64;

/// Both sockets of a connection over the link.
struct SocketPair {
    /// The socket to the process that connected.
    near: TcpStream,
    /// The socket to the target.
    far: TcpStream,
}

/// The active faults. Arrays are indexed by [`index_of`].
#[derive(Default)]
struct Faults {
    cut: [bool; 2],
    delay: [Duration; 2],
    /// 0 means unlimited.
    bytes_per_s: [u64; 2],
    next_frames: Vec<PendingFrameFault>,
    held: Vec<HeldFrame>,
}

/// A fault that the next frame of a kind in a direction will see.
struct PendingFrameFault {
    direction: Direction,
    kind: u8,
    fault: FrameFault,
}

struct HeldFrame {
    connection: ConnectionNumber,
    direction: Direction,
    bytes: Vec<u8>,
}

/// The connection is broken, or the link was reset or dropped.
struct Disconnected;

fn index_of(direction: Direction) -> usize {
    usize::from(direction == Direction::Backward)
}

impl Drop for Link {
    fn drop(&mut self) {
        self.proxy.stop.store(true, Ordering::Relaxed);
        self.proxy.faults_changed.notify_all();
        self.reset();
        // Wakes the listening thread.
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
    }
}

impl Link {
    /// Opens a link without a target. `framed` says that the link carries frames, so that faults can affect single
    /// frames.
    ///
    /// # Errors
    ///
    /// The system has no address or no thread left.
    pub fn open(name: &str, framed: bool, observer: FrameObserver) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let proxy = Arc::new(Proxy {
            name: name.to_owned(),
            framed,
            target: Mutex::new(None),
            faults: Mutex::default(),
            faults_changed: Condvar::new(),
            connections: Mutex::default(),
            reached: Mutex::default(),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            observer,
        });
        let listening = Arc::clone(&proxy);
        std::thread::spawn(move || listening.listen(&listener));
        Ok(Self { address, proxy })
    }

    /// Sets the address to which new connections lead. Without one, connections are refused.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *lock(&self.proxy.target) = target;
    }

    /// Returns whether the connection from this address reached the target. If not, the proxy accepted it, could not
    /// connect to the target, and reset it.
    #[must_use]
    pub fn reached_target(&self, from: SocketAddr) -> bool {
        lock(&self.proxy.reached).contains(&from)
    }

    /// Returns the number of connections that processes have made over the link so far.
    #[must_use]
    pub fn connections_made(&self) -> u64 {
        self.proxy.accepted.load(Ordering::Relaxed)
    }

    fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.proxy.faults));
        self.proxy.faults_changed.notify_all();
    }

    /// Stops forwarding in these directions until the link is healed. Bytes are kept meanwhile, as TCP retransmits them
    /// after a network outage.
    pub fn cut(&self, directions: &[Direction]) {
        self.change_faults(|faults| directions.iter().for_each(|d| faults.cut[index_of(*d)] = true));
    }

    /// Ends all faults. Held frames stay held.
    pub fn heal(&self) {
        self.change_faults(|f| *f = Faults { held: std::mem::take(&mut f.held), ..Faults::default() });
    }

    /// Delays the bytes of each read in these directions by this time.
    pub fn delay(&self, directions: &[Direction], by: Duration) {
        self.change_faults(|faults| directions.iter().for_each(|d| faults.delay[index_of(*d)] = by));
    }

    /// Limits these directions to a number of bytes per second. 0 removes the limit.
    pub fn throttle(&self, directions: &[Direction], bytes_per_s: u64) {
        self.change_faults(|faults| {
            directions.iter().for_each(|d| faults.bytes_per_s[index_of(*d)] = bytes_per_s)
        });
    }

    /// Applies a fault to the next frame of a kind. Has no effect on a link that is not framed.
    pub fn fail_next_frame(&self, direction: Direction, kind: u8, fault: FrameFault) {
        self.change_faults(|faults| faults.next_frames.push(PendingFrameFault { direction, kind, fault }));
    }

    /// Forwards the held frames, each on its connection if that still exists.
    pub fn release(&self) {
        let held = std::mem::take(&mut lock(&self.proxy.faults).held);
        for frame in held {
            if let Some(pair) = lock(&self.proxy.connections).get(&frame.connection) {
                let mut to = if frame.direction == Direction::Forward { &pair.far } else { &pair.near };
                let _ = to.write_all(&frame.bytes);
            }
        }
    }

    /// Resets all connections of the link.
    pub fn reset(&self) {
        for SocketPair { near, far } in lock(&self.proxy.connections).values() {
            for socket in [near, far] {
                let _ = reset_on_close(socket);
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Makes a socket send a reset when it is closed.
fn reset_on_close(socket: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))
}

impl Proxy {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Accepts connections until the link is dropped, each served by threads of its own.
    fn listen(self: &Arc<Self>, listener: &TcpListener) {
        for near in listener.incoming() {
            if self.stopped() {
                return;
            }
            let Ok(near) = near else { continue };
            let connection = self.accepted.fetch_add(1, Ordering::Relaxed);
            if self.open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
                self.open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let proxy = Arc::clone(self);
            let thread = std::thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(move || {
                let _ = proxy.serve(connection, near);
                proxy.open.fetch_sub(1, Ordering::Relaxed);
            });
            if thread.is_err() {
                self.open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    /// Connects to the target and passes bytes in both directions until the connection ends.
    fn serve(self: &Arc<Self>, connection: ConnectionNumber, near: TcpStream) -> io::Result<()> {
        // The port may have been used by an earlier connection.
        lock(&self.reached).remove(&near.peer_addr()?);
        let Some(far) = self.connect() else {
            // Nothing listens at the target: resets the connection, as a running machine refuses one.
            return reset_on_close(&near);
        };
        for socket in [&near, &far] {
            socket.set_nodelay(true)?;
        }
        lock(&self.reached).insert(near.peer_addr()?);
        let pair = SocketPair { near: near.try_clone()?, far: far.try_clone()? };
        lock(&self.connections).insert(connection, pair);
        let (back_from, back_to) = (far.try_clone()?, near.try_clone()?);
        let proxy = Arc::clone(self);
        let thread = std::thread::Builder::new().stack_size(THREAD_STACK_BYTES);
        let back = thread
            .spawn(move || proxy.forward_direction(connection, Direction::Backward, back_from, back_to))?;
        self.forward_direction(connection, Direction::Forward, near, far);
        let _ = back.join();
        lock(&self.connections).remove(&connection);
        Ok(())
    }

    fn connect(&self) -> Option<TcpStream> {
        let target = (*lock(&self.target))?;
        TcpStream::connect_timeout(&target, CONNECT_TIMEOUT).ok()
    }

    /// Forwards one direction of a connection until it ends, and then forwards its end: an orderly close or a reset.
    fn forward_direction(
        &self,
        connection: ConnectionNumber,
        direction: Direction,
        mut from: TcpStream,
        mut to: TcpStream,
    ) {
        let ended = self.forward_stream(connection, direction, &mut from, &mut to);
        // The end of the stream is held back by a cut, too.
        if ended.is_ok() && self.wait_while_cut(connection, direction).is_ok() {
            let _ = to.shutdown(Shutdown::Write);
        } else {
            let _ = reset_on_close(&to);
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        }
    }

    /// Forwards bytes until the end of the stream.
    fn forward_stream(
        &self,
        connection: ConnectionNumber,
        direction: Direction,
        from: &mut TcpStream,
        to: &mut TcpStream,
    ) -> Result<(), Disconnected> {
        let (mut buffer, mut reader) = ([0; READ_BUFFER_BYTES], Reader::default());
        let _ = from.set_read_timeout(Some(READ_POLL_INTERVAL));
        loop {
            if self.stopped() {
                return Err(Disconnected);
            }
            let length = match from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(length) => length,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Err(Disconnected),
            };
            if self.framed {
                reader.push(&buffer[..length]);
                self.forward_frames(connection, direction, &mut reader, to)?;
            } else {
                self.forward(connection, direction, &buffer[..length], to)?;
            }
        }
    }

    /// Forwards the complete frames in a reader's buffer and applies pending frame faults.
    fn forward_frames(
        &self,
        connection: ConnectionNumber,
        direction: Direction,
        reader: &mut Reader,
        to: &mut TcpStream,
    ) -> Result<(), Disconnected> {
        loop {
            let frame = match reader.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                // The bytes are not a frame: the receiver is left to detect that.
                Err(_) => return self.forward(connection, direction, std::mem::take(reader).buffered(), to),
            };
            let bytes = encode(frame.kind, &frame.body).map_err(|_| Disconnected)?;
            match self.take_frame_fault(direction, frame.kind) {
                None => self.forward(connection, direction, &bytes, to)?,
                Some(FrameFault::Repeat) => {
                    self.forward(connection, direction, &[&bytes[..], &bytes].concat(), to)?;
                }
                Some(FrameFault::CutAt(at)) => {
                    self.forward(connection, direction, &bytes[..at.min(bytes.len())], to)?;
                    return Err(Disconnected);
                }
                Some(FrameFault::Hold) => {
                    lock(&self.faults).held.push(HeldFrame { connection, direction, bytes });
                }
            }
            (self.observer)(&self.name, direction, frame.kind);
        }
    }

    /// Removes and returns the pending fault for a frame of this kind, if any.
    fn take_frame_fault(&self, direction: Direction, kind: u8) -> Option<FrameFault> {
        let pending = &mut lock(&self.faults).next_frames;
        let found = pending.iter().position(|p| (p.direction, p.kind) == (direction, kind))?;
        Some(pending.remove(found).fault)
    }

    /// Forwards bytes subject to the active delay, cut and rate limit.
    fn forward(
        &self,
        connection: ConnectionNumber,
        direction: Direction,
        bytes: &[u8],
        to: &mut TcpStream,
    ) -> Result<(), Disconnected> {
        let (delay, bytes_per_s) = {
            let faults = lock(&self.faults);
            (faults.delay[index_of(direction)], faults.bytes_per_s[index_of(direction)])
        };
        std::thread::sleep(delay);
        self.wait_while_cut(connection, direction)?;
        if bytes_per_s == 0 {
            return to.write_all(bytes).map_err(|_| Disconnected);
        }
        for chunk in bytes.chunks(THROTTLED_CHUNK_BYTES) {
            std::thread::sleep(Duration::from_secs_f64(chunk.len() as f64 / bytes_per_s as f64));
            if self.stopped() {
                return Err(Disconnected);
            }
            to.write_all(chunk).map_err(|_| Disconnected)?;
        }
        Ok(())
    }

    /// Waits until this direction is not cut. Fails if the connection was closed or the link stopped.
    fn wait_while_cut(&self, connection: ConnectionNumber, direction: Direction) -> Result<(), Disconnected> {
        let mut faults = lock(&self.faults);
        while faults.cut[index_of(direction)] {
            if self.stopped() || !lock(&self.connections).contains_key(&connection) {
                return Err(Disconnected);
            }
            let waited = self.faults_changed.wait_timeout(faults, CUT_POLL_INTERVAL);
            faults = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if self.stopped() { Err(Disconnected) } else { Ok(()) }
    }
}
