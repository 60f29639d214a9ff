//! Simulated executors: they execute the requests that they receive, record each execution, and misbehave as the plan says.

use std::collections::HashMap;
use std::io::{self, BufRead as _, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linestack_rig::http::{header, read_message};
use linestack_rig::monotonic_nanos;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::history::{Event, ExecutorConnectionId, Recorder};
use crate::lock;
use crate::network::{is_closed, reset};
use crate::plan::ExecutorFault;

/// The interval at which a working executor checks whether its client has disconnected or its process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// The time limit for the connection that wakes a listener when its process ends.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the rest of a request may take once its first byte has arrived.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The interval at which an idle connection checks whether it must close.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The longest idle time of a connection under [`ExecutorFault::Forgets`].
const FORGETFUL_IDLE_TIMEOUT: Duration = Duration::from_millis(30);
/// The delay of a repeated answer after the first.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(8);
/// The size of the pieces in which an answer is sent under [`ExecutorFault::Drips`].
const DRIP_PIECE_BYTES: usize = 7;

/// The share of requests that each fault of an executor affects, from 0 to 1.
#[derive(Debug, Default)]
struct FaultRates {
    /// By the number of the fault's variant.
    rates: HashMap<u8, f64>,
}

impl FaultRates {
    fn rate(&self, how: ExecutorFault) -> f64 {
        self.rates.get(&(how as u8)).copied().unwrap_or(0.0)
    }
}

/// A simulated executor.
pub struct Executor {
    /// Its index among all executors of the run.
    pub index: usize,
    /// The number of jobs that it executes at once.
    pub slots: usize,
    /// The average duration of a job, in milliseconds.
    pub mean_job_ms: f64,
    /// The time after which it closes an idle connection.
    pub idle_timeout: Duration,
    fault_rates: Mutex<FaultRates>,
    rng: Mutex<Pcg64Mcg>,
    /// The number of jobs that it executes now.
    busy: Mutex<usize>,
    /// The open connections of the current process.
    sockets: Mutex<HashMap<ExecutorConnectionId, TcpStream>>,
    next_connection: AtomicU64,
    /// The number of its current process; incremented when the process starts and when it ends.
    process: AtomicU64,
    recorder: Arc<Recorder>,
    finished: Arc<AtomicBool>,
}

/// A job or a probe that was received completely.
struct Request {
    id: String,
    deadline_header_ms: Option<u64>,
    body: Vec<u8>,
    /// The path of a probe; none for a job.
    probe_path: Option<String>,
}

/// How the execution of a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobOutcome {
    Done,
    Declined,
    Failed,
    Reset,
    Garbled,
    /// It ended without an answer: its client disconnected, or this process ended.
    Gone,
}

impl Executor {
    /// Creates an executor that does not listen yet.
    #[must_use]
    pub fn new(
        index: usize,
        seed: u64,
        idle_timeout: Duration,
        recorder: Arc<Recorder>,
        finished: Arc<AtomicBool>,
    ) -> Arc<Self> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9E37_79B9));
        let (slots, mean_job_ms) = (rng.random_range(4..=12), rng.random_range(10.0..40.0));
        Arc::new(Self {
            index,
            slots,
            mean_job_ms,
            idle_timeout,
            fault_rates: Mutex::default(),
            rng: Mutex::new(rng),
            busy: Mutex::new(0),
            sockets: Mutex::default(),
            next_connection: AtomicU64::new((index as u64) << 32),
            process: AtomicU64::new(0),
            recorder,
            finished,
        })
    }

    /// Starts its process at this address.
    ///
    /// # Errors
    ///
    /// The address is in use.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let process = self.process.fetch_add(1, Ordering::SeqCst) + 1;
        let executor = Arc::clone(self);
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                if executor.has_ended(process) {
                    return;
                }
                let Ok(socket) = socket else { continue };
                let executor = Arc::clone(&executor);
                std::thread::spawn(move || executor.handle_connection(&socket, process));
            }
        });
        Ok(())
    }

    /// Ends its process: its connections are reset, and new ones are refused.
    pub fn end(&self, address: SocketAddr) {
        self.process.fetch_add(1, Ordering::SeqCst);
        for (_, socket) in lock(&self.sockets).drain() {
            reset(&socket);
        }
        // Wakes the listener, which then closes its socket.
        let _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
    }

    /// Sets the share of requests that a fault affects from now on; 0 ends the fault.
    pub fn set_fault_rate(&self, how: ExecutorFault, rate: f64) {
        lock(&self.fault_rates).rates.insert(how as u8, rate);
    }

    fn draws_fault(&self, how: ExecutorFault) -> bool {
        let rate = lock(&self.fault_rates).rate(how);
        rate > 0.0 && lock(&self.rng).random_bool(rate.min(1.0))
    }

    fn hangs(&self) -> bool {
        lock(&self.fault_rates).rate(ExecutorFault::Hangs) > 0.0
    }

    fn has_ended(&self, process: u64) -> bool {
        self.finished.load(Ordering::Relaxed) || self.process.load(Ordering::SeqCst) != process
    }

    fn handle_connection(&self, socket: &TcpStream, process: u64) {
        let connection = self.next_connection.fetch_add(1, Ordering::Relaxed);
        let Ok(own) = socket.try_clone() else { return };
        lock(&self.sockets).insert(connection, own);
        let _ = self.serve(socket, connection, process);
        lock(&self.sockets).remove(&connection);
        let _ = socket.shutdown(std::net::Shutdown::Both);
    }

    fn serve(&self, socket: &TcpStream, connection: ExecutorConnectionId, process: u64) -> io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(REQUEST_TIMEOUT))?;
        let mut reader = BufReader::new(socket.try_clone()?);
        loop {
            let Some(first_byte) = self.wait_for_request(&mut reader, process)? else { return Ok(()) };
            socket.set_read_timeout(Some(REQUEST_TIMEOUT))?;
            let Some((head, body)) = read_message(&mut reader)? else { return Ok(()) };
            if !head.ends_with("\r\n\r\n") {
                // The connection was closed in the middle of the request.
                return Ok(());
            }
            let request = match parse_request(&head, body) {
                Ok(request) => request,
                Err(why) => {
                    self.recorder.record(Event::Malformed { executor: self.index, why });
                    return Ok(());
                }
            };
            if let Some(path) = &request.probe_path {
                self.answer_probe(socket, path)?;
                continue;
            }
            self.recorder.record(Event::Received {
                id: request.id.clone(),
                executor: self.index,
                connection,
                first_byte,
                deadline_header_ms: request.deadline_header_ms,
            });
            if !self.execute(socket, connection, &request, process)? {
                return Ok(());
            }
        }
    }

    /// Waits for the next request and returns when its first byte arrived; none if the connection ends before.
    fn wait_for_request(&self, reader: &mut BufReader<TcpStream>, process: u64) -> io::Result<Option<u64>> {
        let start = Instant::now();
        let forgets = self.draws_fault(ExecutorFault::Forgets);
        let idle_timeout =
            if forgets { self.idle_timeout.min(FORGETFUL_IDLE_TIMEOUT) } else { self.idle_timeout };
        reader.get_ref().set_read_timeout(Some(IDLE_POLL_INTERVAL))?;
        loop {
            match reader.fill_buf() {
                Ok([]) => return Ok(None),
                Ok(_) => return Ok(Some(monotonic_nanos())),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
            if self.has_ended(process) {
                return Ok(None);
            }
            if start.elapsed() >= idle_timeout {
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
        let text = if path == "/load" { self.load_report() } else { String::new() };
        let length = text.len();
        socket.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}").as_bytes())
    }

    fn load_report(&self) -> String {
        let busy = *lock(&self.busy);
        format!("{{\"x0\":{},\"queue\":0,\"inflight\":{busy}}}", self.slots.saturating_sub(busy))
    }

    /// Executes one request. Returns false if the connection must be closed afterwards.
    fn execute(
        &self,
        socket: &TcpStream,
        connection: ExecutorConnectionId,
        request: &Request,
        process: u64,
    ) -> io::Result<bool> {
        let outcome = self.run_job(socket, process);
        let id = request.id.clone();
        if outcome == JobOutcome::Declined {
            self.recorder.record(Event::Declined { id: id.clone(), connection });
        }
        // Recorded before the answer is sent, since the next request may follow it at once.
        self.recorder.record(Event::ExecutionEnded { id, connection });
        match outcome {
            JobOutcome::Gone => return Ok(false),
            JobOutcome::Reset => {
                reset(socket);
                return Ok(false);
            }
            JobOutcome::Garbled => {
                self.write(socket, self.draw_garbage().as_bytes())?;
                return Ok(false);
            }
            JobOutcome::Done | JobOutcome::Declined | JobOutcome::Failed => {}
        }
        let answer = self.answer_text(&request.id, &request.body, outcome);
        self.write(socket, answer.as_bytes())?;
        if outcome == JobOutcome::Done && self.draws_fault(ExecutorFault::Repeats) {
            std::thread::sleep(SECOND_ANSWER_DELAY);
            self.write(socket, answer.as_bytes())?;
        }
        Ok(true)
    }

    /// Executes a job, and returns how it ended by the active faults.
    fn run_job(&self, socket: &TcpStream, process: u64) -> JobOutcome {
        if self.draws_fault(ExecutorFault::Declines) || !self.take_slot() {
            return JobOutcome::Declined;
        }
        let outcome = if self.draws_fault(ExecutorFault::Resets) {
            JobOutcome::Reset
        } else if self.draws_fault(ExecutorFault::Garbles) {
            JobOutcome::Garbled
        } else if self.draws_fault(ExecutorFault::Fails) {
            JobOutcome::Failed
        } else {
            JobOutcome::Done
        };
        let is_completed = self.work(socket, process);
        *lock(&self.busy) -= 1;
        if is_completed { outcome } else { JobOutcome::Gone }
    }

    fn take_slot(&self) -> bool {
        let mut busy = lock(&self.busy);
        let free = *busy < self.slots;
        *busy += usize::from(free);
        free
    }

    /// Works for the duration of a job, or longer while the executor hangs. Returns false if the client has disconnected or
    /// the process has ended.
    fn work(&self, socket: &TcpStream, process: u64) -> bool {
        let factor: f64 = lock(&self.rng).random_range(0.3..2.0);
        let until = Instant::now() + Duration::from_secs_f64(self.mean_job_ms * factor / 1e3);
        while Instant::now() < until || self.hangs() {
            if self.has_ended(process) || is_closed(socket) {
                return false;
            }
            std::thread::sleep(
                POLL_INTERVAL.min(until.saturating_duration_since(Instant::now()).max(POLL_INTERVAL / 4)),
            );
        }
        !is_closed(socket)
    }

    fn answer_text(&self, id: &str, body: &[u8], outcome: JobOutcome) -> String {
        if outcome == JobOutcome::Declined && lock(&self.rng).random_bool(0.5) {
            return "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        let state = match outcome {
            JobOutcome::Declined => "returned",
            JobOutcome::Failed => "failed",
            _ => "done",
        };
        let result = String::from_utf8_lossy(body);
        let result =
            if outcome == JobOutcome::Done { format!(",\"result\":\"{result}\"") } else { String::new() };
        let load = self.load_report();
        let line =
            format!("{{\"id\":\"{id}\",\"from\":\"e\",\"state\":\"{state}\"{result},\"load\":{load}}}\n");
        let started = format!("{{\"id\":\"{id}\",\"from\":\"e\",\"state\":\"started\"}}\n");
        let lines = if outcome == JobOutcome::Done { format!("{started}{line}") } else { line };
        let length = lines.len();
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{lines}\r\n0\r\n\r\n")
    }

    fn draw_garbage(&self) -> String {
        let forms = [
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"id\"",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json\n",
            "SSH-2.0-OpenSSH_9.2\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "",
        ];
        let index = lock(&self.rng).random_range(0..forms.len());
        forms[index].to_owned()
    }

    fn write(&self, mut socket: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        if !self.draws_fault(ExecutorFault::Drips) {
            return socket.write_all(bytes);
        }
        for piece in bytes.chunks(DRIP_PIECE_BYTES) {
            socket.write_all(piece)?;
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

/// Parses a request. Returns why it is malformed otherwise.
fn parse_request(head: &str, body: Vec<u8>) -> Result<Request, String> {
    if let Some(path) = head.strip_prefix("GET ") {
        let path = path.split(' ').next().unwrap_or("").to_owned();
        return Ok(Request { id: String::new(), deadline_header_ms: None, body, probe_path: Some(path) });
    }
    let id = header(head, "req-id").ok_or_else(|| format!("no id: {}", head.lines().next().unwrap_or("")))?;
    let deadline_header_ms = header(head, "req-deadline-ms").and_then(|value| value.parse().ok());
    Ok(Request { id: id.to_owned(), deadline_header_ms, body, probe_path: None })
}
