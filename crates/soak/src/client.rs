//! Well-behaved clients. A client sends one request at a time and reuses its connection. Some disconnect before the answer,
//! and some pipeline several requests.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::http::read_message;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::history::{ClientConnectionId, Event, MissingAnswer, Recorder};
use crate::network::{has_bytes, is_closed, reset};
use crate::nodes::{ChosenNode, NodeDirectory};
use crate::settings::{Class, RunSettings, TENANT};

/// How long after its deadline a client still waits for an answer before it records silence.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// A reused connection that is closed this soon after a request counts as closed before the request was read.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(150);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The share of requests before which the client moves to another node.
const MOVE_SHARE: f64 = 0.05;
/// The share of requests whose client disconnects before the answer.
const LEAVE_SHARE: f64 = 0.06;
/// The share of sends that pipeline several requests.
const PIPELINE_SHARE: f64 = 0.04;
const MAX_PIPELINED: usize = 4;

/// Numbers the connections of clients.
static CLIENT_CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// Returns the number of the next connection.
pub(crate) fn next_client_connection() -> ClientConnectionId {
    CLIENT_CONNECTIONS.fetch_add(1, Ordering::Relaxed)
}

/// The state that all clients of a run share.
pub struct ClientContext {
    /// The nodes that accept clients.
    pub directory: Arc<NodeDirectory>,
    /// Records what clients observe.
    pub recorder: Arc<Recorder>,
    /// The settings of the run.
    pub settings: RunSettings,
    /// Set when clients must stop.
    pub finished: Arc<AtomicBool>,
    /// Set when faults are over: clients must not misbehave or disconnect early any more.
    pub calm: Arc<AtomicBool>,
}

/// A well-behaved client.
pub struct Client {
    number: usize,
    rng: Pcg64Mcg,
    context: Arc<ClientContext>,
    /// The number of requests that it has made.
    request_count: u64,
    open: Option<OpenConnection>,
}

/// An open connection to a node.
struct OpenConnection {
    reader: BufReader<TcpStream>,
    node: usize,
    life: u64,
    client_connection: ClientConnectionId,
    /// Whether an answer has arrived on it.
    used: bool,
}

struct Request {
    id: String,
    class: Class,
    text: String,
}

/// What a client receives for a request.
enum Answer {
    /// `closes` says that the node closes the connection after it.
    Complete {
        status: u16,
        result: String,
        closes: bool,
    },
    Closed,
    Silence,
    Garbled,
}

impl Client {
    /// Creates a client; [`Client::run`] sends its requests.
    #[must_use]
    pub fn new(number: usize, seed: u64, context: Arc<ClientContext>) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 20);
        Self { number, rng, context, request_count: 0, open: None }
    }

    /// Sends requests at this average interval until the run is over.
    pub fn run(mut self, interval: Duration) {
        let mut due = Instant::now() + interval.mul_f64(self.rng.random());
        while !self.context.finished.load(Ordering::Relaxed) {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            due = (due + interval.mul_f64(self.rng.random_range(0.5..1.5))).max(Instant::now());
            let calm = self.context.calm.load(Ordering::Relaxed);
            if !calm && self.rng.random_bool(PIPELINE_SHARE) {
                let count = self.rng.random_range(2..=MAX_PIPELINED);
                self.send_pipelined(count);
            } else {
                let leaves = !calm && self.rng.random_bool(LEAVE_SHARE);
                self.send(leaves);
            }
        }
    }

    /// Makes a request of a random class.
    fn next_request(&mut self) -> Request {
        self.request_count += 1;
        let class = Class::ALL[self.rng.random_range(0..Class::ALL.len())];
        let id = format!("{:x}-{:x}", self.number, self.request_count);
        let (deadline, name) = (self.context.settings.deadline_ms, class.name());
        let length = id.len() + 2;
        let text = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {name}\r\nReq-Owner: {TENANT}\r\n\
             Idempotency-Key: {id}\r\nReq-Deadline-Ms: {deadline}\r\nContent-Length: {length}\r\n\r\nr-{id}"
        );
        Request { id, class, text }
    }

    /// Returns the open connection, or a new one if it is closed or the client moves to another node. Returns none if no
    /// node accepts a connection.
    fn connection(&mut self) -> Option<&mut OpenConnection> {
        if self.open.as_ref().is_some_and(|open| is_closed(open.reader.get_ref())) {
            self.open = None;
        }
        if let Some(open) = self.open.as_ref().filter(|open| open.used && has_bytes(open.reader.get_ref())) {
            self.context
                .recorder
                .record(Event::UnexpectedBytes { client_connection: open.client_connection });
            self.open = None;
        }
        if self.rng.random_bool(MOVE_SHARE) {
            self.open = None;
        }
        if self.open.is_none() {
            self.open = self.connect().ok();
        }
        self.open.as_mut()
    }

    fn connect(&mut self) -> io::Result<OpenConnection> {
        let point: f64 = self.rng.random();
        let no_node = || io::Error::other("no node accepts clients");
        let ChosenNode { node, life, address } = self.context.directory.choose(point).ok_or_else(no_node)?;
        let socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(ANSWER_TIMEOUT))?;
        let client_connection = next_client_connection();
        Ok(OpenConnection { reader: BufReader::new(socket), node, life, client_connection, used: false })
    }

    fn record_sent(&self, request: &Request, open: &OpenConnection, behind: usize) {
        self.context.recorder.record(Event::RequestSent {
            id: request.id.clone(),
            node: open.node,
            life: open.life,
            class: request.class,
            client_connection: open.client_connection,
            deadline_ms: self.context.settings.deadline_ms,
            first: !open.used,
            behind,
        });
    }

    /// Sends one request and waits for its answer, or disconnects if `leaves`.
    fn send(&mut self, leaves: bool) {
        let request = self.next_request();
        loop {
            if self.connection().is_none() {
                return;
            }
            let Some(mut open) = self.open.take() else { return };
            if open.reader.get_mut().write_all(request.text.as_bytes()).is_err() {
                continue;
            }
            self.record_sent(&request, &open, 0);
            let (sent_at, reused) = (Instant::now(), open.used);
            if leaves {
                return self.leave(&request, &open);
            }
            let answer = read_answer(&mut open.reader, self.answer_timeout());
            let node_closed =
                matches!(answer, Answer::Closed) && self.context.directory.is_alive(open.node, open.life);
            let close_race = reused && node_closed && sent_at.elapsed() < CLOSE_RACE_WINDOW;
            if close_race && !self.context.finished.load(Ordering::Relaxed) {
                // The request is sent again on a new connection.
                continue;
            }
            if self.record_end(&request.id, &answer) {
                open.used = true;
                self.open = Some(open);
            }
            return;
        }
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.context.settings.deadline_ms) + ANSWER_TIMEOUT
    }

    fn leave(&mut self, request: &Request, open: &OpenConnection) {
        let deadline = Duration::from_millis(self.context.settings.deadline_ms);
        std::thread::sleep(deadline.mul_f64(self.rng.random_range(0.0..0.5)));
        self.context.recorder.record(Event::ClientLeft { id: request.id.clone() });
        if self.rng.random_bool(0.5) {
            reset(open.reader.get_ref());
        }
    }

    /// Records how a request ended. Returns whether its connection can be reused.
    fn record_end(&self, id: &str, answer: &Answer) -> bool {
        let id = id.to_owned();
        let event = match answer {
            Answer::Complete { status, result, .. } => {
                Event::Answered { id, status: *status, result: result.clone() }
            }
            Answer::Closed => Event::Unanswered { id, how: MissingAnswer::Closed },
            Answer::Silence => Event::Unanswered { id, how: MissingAnswer::Silence },
            Answer::Garbled => Event::Unanswered { id, how: MissingAnswer::Garbled },
        };
        self.context.recorder.record(event);
        matches!(answer, Answer::Complete { closes: false, .. })
    }

    /// Sends several requests at once and waits for all answers, in their order.
    fn send_pipelined(&mut self, count: usize) {
        let requests: Vec<Request> = (0..count).map(|_| self.next_request()).collect();
        if self.connection().is_none() {
            return;
        }
        let Some(mut open) = self.open.take() else { return };
        // A reused connection may be closed as the requests arrive. For those after the first, that can't be told apart from a
        // lost answer, so a new connection is opened.
        if open.used {
            match self.connect() {
                Ok(new) => open = new,
                Err(_) => return,
            }
        }
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        if open.reader.get_mut().write_all(text.as_bytes()).is_err() {
            return;
        }
        for (behind, request) in requests.iter().enumerate() {
            self.record_sent(request, &open, behind);
        }
        for request in &requests {
            let answer = read_answer(&mut open.reader, self.answer_timeout());
            if !self.record_end(&request.id, &answer) && !matches!(answer, Answer::Complete { .. }) {
                // The remaining requests failed with this one; the end of each is recorded separately.
                continue;
            }
        }
    }
}

fn read_answer(reader: &mut BufReader<TcpStream>, timeout: Duration) -> Answer {
    let _ = reader.get_ref().set_read_timeout(Some(timeout));
    match read_message(reader) {
        Ok(Some((head, body))) => {
            let status = head.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
            let closes = head.to_ascii_lowercase().contains("\r\nconnection: close\r\n");
            match (status, String::from_utf8(body)) {
                (Some(status), Ok(result)) => Answer::Complete { status, result, closes },
                _ => Answer::Garbled,
            }
        }
        Ok(None) => Answer::Closed,
        Err(e) => match e.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::Silence,
            io::ErrorKind::Other => Answer::Garbled,
            _ => Answer::Closed,
        },
    }
}
