//! A link from one process to another: a TCP proxy that passes everything on until it is told to fail.

use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use linestack_frames::{Reader, encode};
use serde::{Deserialize, Serialize};

use crate::lock;

/// How often a connection that waits for a cut to end looks whether it is still wanted.
const CUT_POLL: Duration = Duration::from_millis(20);
/// The same for one that waits for bytes: it is woken when its connection is broken, and there are thousands.
const READ_POLL: Duration = Duration::from_millis(250);
/// How long a link waits for its target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The most connections on one link at a time; those beyond it are closed at once. A link to a coordinator carries one
/// of every node.
const MAX_CONNECTIONS: u64 = 4096;
/// Bytes of the stack of a thread that passes bytes on: its read buffer, and room to spare. A connection takes two.
const THREAD_STACK: usize = 256 * 1024;
/// Bytes that are read at once.
const READ_BUFFER: usize = 16 * 1024;
/// Bytes that a throttled link passes on at once.
const THROTTLED_CHUNK: usize = 64;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the one that connects to the one that listens.
    #[serde(rename = "forth")]
    Forward,
    /// From the one that listens to the one that connects.
    #[serde(rename = "back")]
    Backward,
}

/// What is to happen to the next frame of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameFault {
    /// Pass this many of its bytes, then break the connection.
    CutAt(usize),
    /// Pass it twice.
    Repeat,
    /// Hold it until [`Link::release`], and pass what comes after it first.
    Hold,
}

/// Called with the link's name, the side and the frame's kind for each frame that has passed. The
/// connection stands still until it returns.
pub type FrameObserver = Arc<dyn Fn(&str, Direction, u8) + Send + Sync>;

/// The proxy, which runs until it is dropped.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    proxy: Arc<Proxy>,
}

struct Proxy {
    name: String,
    framed: bool,
    target: Mutex<Option<SocketAddr>>,
    faults: Mutex<Faults>,
    faults_changed: Condvar,
    connections: Mutex<HashMap<ConnectionNumber, SocketPair>>,
    /// Addresses of connecting sockets whose connection reached the target.
    reached: Mutex<HashSet<SocketAddr>>,
    opened: AtomicU64,
    open: AtomicU64,
    stop: AtomicBool,
    observer: FrameObserver,
}

type ConnectionNumber = u64;

/// Both sockets of a connection over the link.
struct SocketPair {
    /// To the one that connected.
    near: TcpStream,
    /// To the target.
    far: TcpStream,
}

/// The faults that are in force now. Arrays are indexed by [`index_of`].
#[derive(Default)]
struct Faults {
    cut: [bool; 2],
    delay: [Duration; 2],
    /// Bytes a second; 0 is no limit.
    rate: [u64; 2],
    next_frames: Vec<PendingFrameFault>,
    held: Vec<HeldFrame>,
}

/// A fault that the next frame of a kind on a side will see.
struct PendingFrameFault {
    side: Direction,
    kind: u8,
    fault: FrameFault,
}

struct HeldFrame {
    connection: ConnectionNumber,
    side: Direction,
    bytes: Vec<u8>,
}

/// The connection can't go on, or is no longer wanted.
struct Disconnected;

fn index_of(side: Direction) -> usize {
    usize::from(side == Direction::Backward)
}

impl Drop for Link {
    fn drop(&mut self) {
        self.proxy.stop.store(true, Ordering::Relaxed);
        self.proxy.faults_changed.notify_all();
        self.reset();
        // Wakes the listening thread.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

impl Link {
    /// Opens a link that leads nowhere yet. `framed` says that frames pass here, which can be told apart.
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
            opened: AtomicU64::new(0),
            open: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            observer,
        });
        let listening = Arc::clone(&proxy);
        std::thread::spawn(move || listening.listen(&listener));
        Ok(Self { address, proxy })
    }

    /// Connections lead to this address from now on. With none they are refused.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *lock(&self.proxy.target) = target;
    }

    /// Whether the connection from this address ever reached the target. Where not, it was refused: only
    /// that the refusal comes a moment late.
    #[must_use]
    pub fn reached_target(&self, from: SocketAddr) -> bool {
        lock(&self.proxy.reached).contains(&from)
    }

    /// Connections made so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.proxy.opened.load(Ordering::Relaxed)
    }

    fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.proxy.faults));
        self.proxy.faults_changed.notify_all();
    }

    /// Nothing passes on these sides until the link is healed; what comes meanwhile waits, as with a network
    /// that is cut and sends again.
    pub fn cut(&self, sides: &[Direction]) {
        self.change_faults(|f| sides.iter().for_each(|s| f.cut[index_of(*s)] = true));
    }

    /// All faults end. Frames that are held stay so.
    pub fn heal(&self) {
        self.change_faults(|f| *f = Faults { held: std::mem::take(&mut f.held), ..Faults::default() });
    }

    /// Everything that passes on these sides is delayed by this time, read by read.
    pub fn delay(&self, sides: &[Direction], by: Duration) {
        self.change_faults(|f| sides.iter().for_each(|s| f.delay[index_of(*s)] = by));
    }

    /// These sides pass so many bytes a second.
    pub fn throttle(&self, sides: &[Direction], rate: u64) {
        self.change_faults(|f| sides.iter().for_each(|s| f.rate[index_of(*s)] = rate));
    }

    /// The next frame of a kind sees this fault. Does nothing where no frames pass.
    pub fn fail_next_frame(&self, side: Direction, kind: u8, fault: FrameFault) {
        self.change_faults(|f| f.next_frames.push(PendingFrameFault { side, kind, fault }));
    }

    /// What was held goes out, each frame on its connection if that is still there.
    pub fn release(&self) {
        let held = std::mem::take(&mut lock(&self.proxy.faults).held);
        for frame in held {
            if let Some(pair) = lock(&self.proxy.connections).get(&frame.connection) {
                let mut to = if frame.side == Direction::Forward { &pair.far } else { &pair.near };
                let _ = to.write_all(&frame.bytes);
            }
        }
    }

    /// Breaks all its connections by a reset.
    pub fn reset(&self) {
        for SocketPair { near, far } in lock(&self.proxy.connections).values() {
            for socket in [near, far] {
                let _ = reset_on_close(socket);
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Has a socket end by a reset when it is closed.
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
            let connection = self.opened.fetch_add(1, Ordering::Relaxed);
            if self.open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
                self.open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let proxy = Arc::clone(self);
            let thread = std::thread::Builder::new().stack_size(THREAD_STACK).spawn(move || {
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
        // The port may have been another's before.
        lock(&self.reached).remove(&near.peer_addr()?);
        let Some(far) = self.connect() else {
            // Nobody listens there: as a machine that is up says so.
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
        let thread = std::thread::Builder::new().stack_size(THREAD_STACK);
        let back = thread.spawn(move || proxy.pump(connection, Direction::Backward, back_from, back_to))?;
        self.pump(connection, Direction::Forward, near, far);
        let _ = back.join();
        lock(&self.connections).remove(&connection);
        Ok(())
    }

    fn connect(&self) -> Option<TcpStream> {
        let target = (*lock(&self.target))?;
        TcpStream::connect_timeout(&target, CONNECT_TIMEOUT).ok()
    }

    /// Passes one side of a connection on until it ends, and then passes on how it ended.
    fn pump(&self, connection: ConnectionNumber, side: Direction, mut from: TcpStream, mut to: TcpStream) {
        let ended = self.pass_all(connection, side, &mut from, &mut to);
        // The end is something that passes, too.
        if ended.is_ok() && self.wait_until_uncut(connection, side).is_ok() {
            let _ = to.shutdown(Shutdown::Write);
        } else {
            let _ = reset_on_close(&to);
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        }
    }

    /// Passes on what is read, up to an orderly end.
    fn pass_all(
        &self,
        connection: ConnectionNumber,
        side: Direction,
        from: &mut TcpStream,
        to: &mut TcpStream,
    ) -> Result<(), Disconnected> {
        let (mut buffer, mut reader) = ([0; READ_BUFFER], Reader::default());
        let _ = from.set_read_timeout(Some(READ_POLL));
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
                self.pass_frames(connection, side, &mut reader, to)?;
            } else {
                self.pass(connection, side, &buffer[..length], to)?;
            }
        }
    }

    /// Passes on the whole frames that a reader holds, with the faults that wait for them.
    fn pass_frames(
        &self,
        connection: ConnectionNumber,
        side: Direction,
        reader: &mut Reader,
        to: &mut TcpStream,
    ) -> Result<(), Disconnected> {
        loop {
            let frame = match reader.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                // No frame: whoever reads it is to find out.
                Err(_) => return self.pass(connection, side, std::mem::take(reader).buffered(), to),
            };
            let bytes = encode(frame.kind, &frame.body).map_err(|_| Disconnected)?;
            match self.take_frame_fault(side, frame.kind) {
                None => self.pass(connection, side, &bytes, to)?,
                Some(FrameFault::Repeat) => {
                    self.pass(connection, side, &[&bytes[..], &bytes].concat(), to)?;
                }
                Some(FrameFault::CutAt(at)) => {
                    self.pass(connection, side, &bytes[..at.min(bytes.len())], to)?;
                    return Err(Disconnected);
                }
                Some(FrameFault::Hold) => {
                    lock(&self.faults).held.push(HeldFrame { connection, side, bytes });
                }
            }
            (self.observer)(&self.name, side, frame.kind);
        }
    }

    /// The fault that the next frame of a kind is to see, if any; it is then no longer pending.
    fn take_frame_fault(&self, side: Direction, kind: u8) -> Option<FrameFault> {
        let pending = &mut lock(&self.faults).next_frames;
        let found = pending.iter().position(|p| (p.side, p.kind) == (side, kind))?;
        Some(pending.remove(found).fault)
    }

    /// Passes bytes on as the faults in force have it.
    fn pass(
        &self,
        connection: ConnectionNumber,
        side: Direction,
        bytes: &[u8],
        to: &mut TcpStream,
    ) -> Result<(), Disconnected> {
        let (delay, rate) = {
            let faults = lock(&self.faults);
            (faults.delay[index_of(side)], faults.rate[index_of(side)])
        };
        std::thread::sleep(delay);
        self.wait_until_uncut(connection, side)?;
        if rate == 0 {
            return to.write_all(bytes).map_err(|_| Disconnected);
        }
        for chunk in bytes.chunks(THROTTLED_CHUNK) {
            std::thread::sleep(Duration::from_secs_f64(chunk.len() as f64 / rate as f64));
            if self.stopped() {
                return Err(Disconnected);
            }
            to.write_all(chunk).map_err(|_| Disconnected)?;
        }
        Ok(())
    }

    /// Waits until nothing is cut on this side. Fails if the connection is no longer wanted.
    fn wait_until_uncut(&self, connection: ConnectionNumber, side: Direction) -> Result<(), Disconnected> {
        let mut faults = lock(&self.faults);
        while faults.cut[index_of(side)] {
            if self.stopped() || !lock(&self.connections).contains_key(&connection) {
                return Err(Disconnected);
            }
            let waited = self.faults_changed.wait_timeout(faults, CUT_POLL);
            faults = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if self.stopped() { Err(Disconnected) } else { Ok(()) }
    }
}
