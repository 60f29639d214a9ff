//! Stand-in executors: they do the work that they are sent, note each execution, and misbehave as a plan says.

use std::collections::HashMap;
use std::io::{self, BufRead as _, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linestack_rig::http::{header, read_message};
use linestack_rig::monotonic;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::history::{Connection, Event, Recorder};
use crate::lock;
use crate::network::{is_closed, reset};
use crate::plan::Ailment;

/// How soon a stand-in at work sees that its client has gone, or that it is to end.
const LOOK: Duration = Duration::from_millis(4);
/// How long the rest of a request may take, once its first byte has come.
const REQUEST_PATIENCE: Duration = Duration::from_secs(8);
/// When a second answer follows the first.
const SECOND_AFTER: Duration = Duration::from_millis(8);
const PIECE: usize = 7;

/// What an executor does beside its work.
#[derive(Debug, Default)]
struct Mood {
    ailments: HashMap<u8, f64>,
}

impl Mood {
    fn rate(&self, how: Ailment) -> f64 {
        self.ailments.get(&(how as u8)).copied().unwrap_or(0.0)
    }
}

/// One executor.
pub struct Executor {
    /// Its place among all of the run.
    pub index: usize,
    /// Jobs that it does at once.
    pub slots: usize,
    /// What a job takes on average, in milliseconds.
    pub work_ms: f64,
    /// After how long it closes a connection that rests.
    pub idle: Duration,
    mood: Mutex<Mood>,
    rng: Mutex<Pcg64Mcg>,
    busy: Mutex<usize>,
    sockets: Mutex<HashMap<Connection, TcpStream>>,
    next: AtomicU64,
    /// Its process is there. A later process has a later number.
    process: AtomicU64,
    recorder: Arc<Recorder>,
    over: Arc<AtomicBool>,
}

/// A request that has come whole.
struct Request {
    id: String,
    told_ms: Option<u64>,
    body: Vec<u8>,
    probe: Option<String>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Done,
    Declined,
    Failed,
    Reset,
    Garbled,
    /// It ended unanswered: its client went, or this process did.
    Gone,
}

impl Executor {
    /// One that does not listen yet.
    #[must_use]
    pub fn new(
        index: usize,
        seed: u64,
        idle: Duration,
        recorder: Arc<Recorder>,
        over: Arc<AtomicBool>,
    ) -> Arc<Self> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9E37_79B9));
        let (slots, work_ms) = (rng.random_range(4..=12), rng.random_range(10.0..40.0));
        Arc::new(Self {
            index,
            slots,
            work_ms,
            idle,
            mood: Mutex::default(),
            rng: Mutex::new(rng),
            busy: Mutex::new(0),
            sockets: Mutex::default(),
            next: AtomicU64::new((index as u64) << 32),
            process: AtomicU64::new(0),
            recorder,
            over,
        })
    }

    /// Its process begins at this address.
    ///
    /// # Errors
    ///
    /// The address is taken.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let number = self.process.fetch_add(1, Ordering::SeqCst) + 1;
        let executor = Arc::clone(self);
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                if executor.is_over(number) {
                    return;
                }
                let Ok(socket) = socket else { continue };
                let executor = Arc::clone(&executor);
                std::thread::spawn(move || executor.converse(&socket, number));
            }
        });
        Ok(())
    }

    /// Its process ends: its connections break, and new ones are refused.
    pub fn end(&self, address: SocketAddr) {
        self.process.fetch_add(1, Ordering::SeqCst);
        for (_, socket) in lock(&self.sockets).drain() {
            reset(&socket);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&address, Duration::from_millis(200));
    }

    /// It misbehaves from now on for this part of what it gets; 0 ends it.
    pub fn ail(&self, how: Ailment, rate: f64) {
        lock(&self.mood).ailments.insert(how as u8, rate);
    }

    fn ails(&self, how: Ailment) -> bool {
        let rate = lock(&self.mood).rate(how);
        rate > 0.0 && lock(&self.rng).random_bool(rate.min(1.0))
    }

    fn hangs(&self) -> bool {
        lock(&self.mood).rate(Ailment::Hangs) > 0.0
    }

    fn is_over(&self, number: u64) -> bool {
        self.over.load(Ordering::Relaxed) || self.process.load(Ordering::SeqCst) != number
    }

    fn converse(&self, socket: &TcpStream, number: u64) {
        let connection = self.next.fetch_add(1, Ordering::Relaxed);
        let Ok(own) = socket.try_clone() else { return };
        lock(&self.sockets).insert(connection, own);
        let _ = self.serve(socket, connection, number);
        lock(&self.sockets).remove(&connection);
        let _ = socket.shutdown(std::net::Shutdown::Both);
    }

    fn serve(&self, socket: &TcpStream, connection: Connection, number: u64) -> io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(REQUEST_PATIENCE))?;
        let mut reader = BufReader::new(socket.try_clone()?);
        loop {
            let Some(first_byte) = self.first_byte(&mut reader, number)? else { return Ok(()) };
            socket.set_read_timeout(Some(REQUEST_PATIENCE))?;
            let Some((head, body)) = read_message(&mut reader)? else { return Ok(()) };
            if !head.ends_with("\r\n\r\n") {
                // Its connection ended in the middle of it.
                return Ok(());
            }
            let request = match read(&head, body) {
                Ok(request) => request,
                Err(why) => {
                    self.recorder.now(Event::Malformed { executor: self.index, why });
                    return Ok(());
                }
            };
            if let Some(path) = &request.probe {
                self.answer_probe(socket, path)?;
                continue;
            }
            self.recorder.now(Event::Received {
                id: request.id.clone(),
                executor: self.index,
                connection,
                first_byte,
                told_ms: request.told_ms,
            });
            if !self.execute(socket, connection, &request, number)? {
                return Ok(());
            }
        }
    }

    /// When the first byte of the next request comes; none if the connection is over before that.
    fn first_byte(&self, reader: &mut BufReader<TcpStream>, number: u64) -> io::Result<Option<u64>> {
        let begun = Instant::now();
        let forgets = self.ails(Ailment::Forgets);
        let idle = if forgets { self.idle.min(Duration::from_millis(30)) } else { self.idle };
        reader.get_ref().set_read_timeout(Some(Duration::from_millis(50)))?;
        loop {
            match reader.fill_buf() {
                Ok([]) => return Ok(None),
                Ok(_) => return Ok(Some(monotonic())),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
            if self.is_over(number) {
                return Ok(None);
            }
            if begun.elapsed() >= idle {
                if forgets && lock(&self.rng).random_bool(0.5) {
                    reset(reader.get_ref());
                }
                return Ok(None);
            }
        }
    }

    fn answer_probe(&self, mut socket: &TcpStream, path: &str) -> io::Result<()> {
        if self.hangs() {
            return Ok(());
        }
        let text = if path == "/load" { self.load() } else { String::new() };
        let length = text.len();
        socket.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}").as_bytes())
    }

    fn load(&self) -> String {
        let busy = *lock(&self.busy);
        format!("{{\"x0\":{},\"queue\":0,\"inflight\":{busy}}}", self.slots.saturating_sub(busy))
    }

    /// Does one job. False if the connection is to be closed behind it.
    fn execute(
        &self,
        socket: &TcpStream,
        connection: Connection,
        request: &Request,
        number: u64,
    ) -> io::Result<bool> {
        let fate = self.fate(socket, number);
        let id = request.id.clone();
        if fate == Fate::Declined {
            self.recorder.now(Event::Declined { id: id.clone(), connection });
        }
        // Noted before the answer goes out: with it another may come at once.
        self.recorder.now(Event::Over { id, connection });
        match fate {
            Fate::Gone => return Ok(false),
            Fate::Reset => {
                reset(socket);
                return Ok(false);
            }
            Fate::Garbled => {
                self.write(socket, self.garbage().as_bytes())?;
                return Ok(false);
            }
            Fate::Done | Fate::Declined | Fate::Failed => {}
        }
        let answer = self.answer(&request.id, &request.body, fate);
        self.write(socket, answer.as_bytes())?;
        if fate == Fate::Done && self.ails(Ailment::Repeats) {
            std::thread::sleep(SECOND_AFTER);
            self.write(socket, answer.as_bytes())?;
        }
        Ok(true)
    }

    fn fate(&self, socket: &TcpStream, number: u64) -> Fate {
        if self.ails(Ailment::Declines) || !self.take_slot() {
            return Fate::Declined;
        }
        let fate = if self.ails(Ailment::Resets) {
            Fate::Reset
        } else if self.ails(Ailment::Garbles) {
            Fate::Garbled
        } else if self.ails(Ailment::Fails) {
            Fate::Failed
        } else {
            Fate::Done
        };
        let stayed = self.work(socket, number);
        *lock(&self.busy) -= 1;
        if stayed { fate } else { Fate::Gone }
    }

    fn take_slot(&self) -> bool {
        let mut busy = lock(&self.busy);
        let free = *busy < self.slots;
        *busy += usize::from(free);
        free
    }

    /// Works for as long as a job takes, and longer while it hangs. False if its client has gone.
    fn work(&self, socket: &TcpStream, number: u64) -> bool {
        let part: f64 = lock(&self.rng).random_range(0.3..2.0);
        let until = Instant::now() + Duration::from_secs_f64(self.work_ms * part / 1e3);
        while Instant::now() < until || self.hangs() {
            if self.is_over(number) || is_closed(socket) {
                return false;
            }
            std::thread::sleep(LOOK.min(until.saturating_duration_since(Instant::now()).max(LOOK / 4)));
        }
        !is_closed(socket)
    }

    fn answer(&self, id: &str, body: &[u8], fate: Fate) -> String {
        if fate == Fate::Declined && lock(&self.rng).random_bool(0.5) {
            return "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        let state = match fate {
            Fate::Declined => "returned",
            Fate::Failed => "failed",
            _ => "done",
        };
        let result = String::from_utf8_lossy(body);
        let result = if fate == Fate::Done { format!(",\"result\":\"{result}\"") } else { String::new() };
        let load = self.load();
        let line =
            format!("{{\"id\":\"{id}\",\"from\":\"e\",\"state\":\"{state}\"{result},\"load\":{load}}}\n");
        let started = format!("{{\"id\":\"{id}\",\"from\":\"e\",\"state\":\"started\"}}\n");
        let lines = if fate == Fate::Done { format!("{started}{line}") } else { line };
        let length = lines.len();
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{lines}\r\n0\r\n\r\n")
    }

    fn garbage(&self) -> String {
        let forms = [
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"id\"",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json\n",
            "SSH-2.0-OpenSSH_9.2\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "",
        ];
        let place = lock(&self.rng).random_range(0..forms.len());
        forms[place].to_owned()
    }

    fn write(&self, mut socket: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        if !self.ails(Ailment::Drips) {
            return socket.write_all(bytes);
        }
        for piece in bytes.chunks(PIECE) {
            socket.write_all(piece)?;
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

fn read(head: &str, body: Vec<u8>) -> Result<Request, String> {
    if let Some(path) = head.strip_prefix("GET ") {
        let path = path.split(' ').next().unwrap_or("").to_owned();
        return Ok(Request { id: String::new(), told_ms: None, body, probe: Some(path) });
    }
    let id = header(head, "req-id").ok_or_else(|| format!("no id: {}", head.lines().next().unwrap_or("")))?;
    let told_ms = header(head, "req-deadline-ms").and_then(|told| told.parse().ok());
    Ok(Request { id: id.to_owned(), told_ms, body, probe: None })
}
