//! A way from one process to another: a proxy that passes everything on until it is told to fail.

use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use linestack_frames::{Reader, encode};
use serde::{Deserialize, Serialize};

use crate::lock;

/// How often a pump that waits looks whether it is still wanted.
const LOOK: Duration = Duration::from_millis(20);
/// And one that waits for bytes: it is woken when its line is broken, and there are thousands of them.
const IDLE: Duration = Duration::from_millis(250);
/// The most connections on one way at a time: a way to a coordinator carries one of every node.
const MOST: u64 = 4096;
/// Bytes of the stack of a thread that passes bytes on: its buffer of 16 KiB, and room to spare. Two stand on a connection.
const STACK: usize = 256 * 1024;
/// Bytes that a throttled way passes on at once.
const SIP: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// From the one that connects to the one that listens.
    Forth,
    Back,
}

/// What is to happen to the next frame of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trick {
    /// Pass this many of its bytes, then break the connection.
    CutAt(usize),
    /// Pass it twice.
    Repeat,
    /// Keep it until the way is told to release it, and pass what comes after it first.
    Hold,
}

#[derive(Default)]
struct Faults {
    cut: [bool; 2],
    delay: [Duration; 2],
    /// Bytes a second; 0 is no limit.
    rate: [u64; 2],
    tricks: Vec<(Side, u8, Trick)>,
    held: Vec<(u64, Side, Vec<u8>)>,
}

/// Told of each frame that has passed; the way waits until it returns.
pub type Observer = Arc<dyn Fn(&str, Side, u8) + Send + Sync>;

struct Inner {
    name: String,
    framed: bool,
    target: Mutex<Option<SocketAddr>>,
    faults: Mutex<Faults>,
    changed: Condvar,
    lines: Mutex<HashMap<u64, (TcpStream, TcpStream)>>,
    /// Near ends of connections that came to somebody at the far end.
    led: Mutex<HashSet<SocketAddr>>,
    opened: AtomicU64,
    open: AtomicU64,
    stop: AtomicBool,
    seen: Observer,
}

/// The way, until it is dropped.
pub struct Way {
    /// Where its near end listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Drop for Way {
    fn drop(&mut self) {
        self.inner.stop.store(true, Ordering::Relaxed);
        self.inner.changed.notify_all();
        self.reset();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

fn place(side: Side) -> usize {
    usize::from(side == Side::Back)
}

impl Way {
    /// `framed` says that frames pass here, which can be told apart.
    ///
    /// # Errors
    ///
    /// No address is left.
    pub fn open(name: &str, framed: bool, seen: Observer) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            framed,
            target: Mutex::new(None),
            faults: Mutex::default(),
            changed: Condvar::new(),
            lines: Mutex::default(),
            led: Mutex::default(),
            opened: AtomicU64::new(0),
            open: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            seen,
        });
        let served = Arc::clone(&inner);
        std::thread::spawn(move || {
            for near in listener.incoming() {
                if served.stop.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(near) = near else { continue };
                let number = served.opened.fetch_add(1, Ordering::Relaxed);
                if served.open.fetch_add(1, Ordering::Relaxed) >= MOST {
                    served.open.fetch_sub(1, Ordering::Relaxed);
                    continue;
                }
                let line = Arc::clone(&served);
                let pump = std::thread::Builder::new().stack_size(STACK).spawn(move || {
                    let _ = line.connect(number, near);
                    line.open.fetch_sub(1, Ordering::Relaxed);
                });
                if pump.is_err() {
                    served.open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        });
        Ok(Self { address, inner })
    }

    /// Where its far end connects to from now on.
    pub fn lead_to(&self, target: Option<SocketAddr>) {
        *lock(&self.inner.target) = target;
    }

    /// Whether the connection with this near end ever came to somebody. Where not, it was refused: only that the
    /// refusal comes a moment late.
    #[must_use]
    pub fn led(&self, near: SocketAddr) -> bool {
        lock(&self.inner.led).contains(&near)
    }

    /// Connections made so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.inner.opened.load(Ordering::Relaxed)
    }

    fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.inner.faults));
        self.inner.changed.notify_all();
    }

    /// Nothing passes on these sides until it is healed; what comes meanwhile waits, as with a network that is
    /// cut and sends again.
    pub fn cut(&self, sides: &[Side]) {
        self.change(|f| sides.iter().for_each(|s| f.cut[place(*s)] = true));
    }

    /// All faults end but what is held.
    pub fn heal(&self) {
        self.change(|f| *f = Faults { held: std::mem::take(&mut f.held), ..Faults::default() });
    }

    pub fn delay(&self, sides: &[Side], by: Duration) {
        self.change(|f| sides.iter().for_each(|s| f.delay[place(*s)] = by));
    }

    /// Bytes a second.
    pub fn throttle(&self, sides: &[Side], rate: u64) {
        self.change(|f| sides.iter().for_each(|s| f.rate[place(*s)] = rate));
    }

    /// What is to happen to the next frame of a kind. Does nothing where no frames pass.
    pub fn trick(&self, side: Side, kind: u8, trick: Trick) {
        self.change(|f| f.tricks.push((side, kind, trick)));
    }

    /// What was held goes out, each on its connection if that is still there.
    pub fn release(&self) {
        let held = std::mem::take(&mut lock(&self.inner.faults).held);
        for (number, side, bytes) in held {
            if let Some((near, far)) = lock(&self.inner.lines).get(&number) {
                let mut to = if side == Side::Forth { far } else { near };
                let _ = to.write_all(&bytes);
            }
        }
    }

    /// Breaks all its connections by a reset.
    pub fn reset(&self) {
        for (near, far) in lock(&self.inner.lines).values() {
            for socket in [near, far] {
                let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }
}

impl Inner {
    /// Waits until nothing is cut on this side. False if the line is no longer wanted.
    fn clear(&self, side: Side, number: u64) -> bool {
        let mut faults = lock(&self.faults);
        while faults.cut[place(side)] {
            if self.stop.load(Ordering::Relaxed) || !lock(&self.lines).contains_key(&number) {
                return false;
            }
            let waited = self.changed.wait_timeout(faults, LOOK);
            faults = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        !self.stop.load(Ordering::Relaxed)
    }

    fn connect(self: &Arc<Self>, number: u64, near: TcpStream) -> io::Result<()> {
        // The port may have been another's before.
        lock(&self.led).remove(&near.peer_addr()?);
        let Some(target) = *lock(&self.target) else {
            // Nobody listens there: as a machine that is up says so.
            socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO))?;
            return Ok(());
        };
        let far = TcpStream::connect_timeout(&target, Duration::from_secs(1));
        let Ok(far) = far else {
            socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO))?;
            return Ok(());
        };
        for socket in [&near, &far] {
            socket.set_nodelay(true)?;
        }
        lock(&self.led).insert(near.peer_addr()?);
        lock(&self.lines).insert(number, (near.try_clone()?, far.try_clone()?));
        let (back_from, back_to) = (far.try_clone()?, near.try_clone()?);
        let line = Arc::clone(self);
        let pump = std::thread::Builder::new().stack_size(STACK);
        let back = pump.spawn(move || line.pump(number, Side::Back, back_from, back_to))?;
        self.pump(number, Side::Forth, near, far);
        let _ = back.join();
        lock(&self.lines).remove(&number);
        Ok(())
    }

    fn pump(&self, number: u64, side: Side, mut from: TcpStream, mut to: TcpStream) {
        let (mut piece, mut reader) = ([0; 16 * 1024], Reader::default());
        let _ = from.set_read_timeout(Some(IDLE));
        let passed = loop {
            if self.stop.load(Ordering::Relaxed) {
                break Err(());
            }
            let length = match from.read(&mut piece) {
                Ok(0) => break Ok(()),
                Ok(length) => length,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => break Err(()),
            };
            let fine = if self.framed {
                reader.push(&piece[..length]);
                self.frames(number, side, &mut reader, &mut to)
            } else {
                self.pass(number, side, &piece[..length], &mut to)
            };
            if !fine {
                break Err(());
            }
        };
        // The end is something that passes, too.
        if passed.is_ok() && self.clear(side, number) {
            let _ = to.shutdown(Shutdown::Write);
        } else {
            let _ = socket2::SockRef::from(&to).set_linger(Some(Duration::ZERO));
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        }
    }

    fn frames(&self, number: u64, side: Side, reader: &mut Reader, to: &mut TcpStream) -> bool {
        loop {
            let frame = match reader.take() {
                Ok(Some(frame)) => frame,
                Ok(None) => return true,
                // No frame: whoever reads it is to find out.
                Err(_) => return self.pass(number, side, std::mem::take(reader).held(), to),
            };
            let Ok(bytes) = encode(frame.kind, &frame.body) else { return false };
            let trick = {
                let mut faults = lock(&self.faults);
                let found = faults.tricks.iter().position(|(s, k, _)| (*s, *k) == (side, frame.kind));
                found.map(|at| faults.tricks.remove(at).2)
            };
            let fine = match trick {
                None => self.pass(number, side, &bytes, to),
                Some(Trick::Repeat) => self.pass(number, side, &[&bytes[..], &bytes].concat(), to),
                Some(Trick::CutAt(at)) => {
                    self.pass(number, side, &bytes[..at.min(bytes.len())], to);
                    return false;
                }
                Some(Trick::Hold) => {
                    lock(&self.faults).held.push((number, side, bytes));
                    true
                }
            };
            if !fine {
                return false;
            }
            (self.seen)(&self.name, side, frame.kind);
        }
    }

    fn pass(&self, number: u64, side: Side, bytes: &[u8], to: &mut TcpStream) -> bool {
        let (delay, rate) = {
            let faults = lock(&self.faults);
            (faults.delay[place(side)], faults.rate[place(side)])
        };
        std::thread::sleep(delay);
        if !self.clear(side, number) {
            return false;
        }
        if rate == 0 {
            return to.write_all(bytes).is_ok();
        }
        bytes.chunks(SIP).all(|sip| {
            std::thread::sleep(Duration::from_secs_f64(sip.len() as f64 / rate as f64));
            !self.stop.load(Ordering::Relaxed) && to.write_all(sip).is_ok()
        })
    }
}
