//! Clients that behave: one request at a time on a connection, kept from one to the next. Some leave before they are
//! answered, some send several requests ahead.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::http::message;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::history::{ClientConnectionId, Event, MissingAnswer, Recorder};
use crate::network::{has_bytes, is_closed, reset};
use crate::nodes::NodeDirectory;
use crate::settings::{Class, RunSettings, TENANT};

/// How long a client listens beyond its deadline before it takes an answer for lost.
const PATIENCE: Duration = Duration::from_secs(4);
/// A connection that ends so soon after a request that was written to it at rest was being closed as the request came.
const CROSSING: Duration = Duration::from_millis(150);
const CONNECT: Duration = Duration::from_secs(1);
/// Of its requests, a client leaves this part before they are answered,
const LEAVES: f64 = 0.06;
/// and sends this part with others behind.
const SENDS_AHEAD: f64 = 0.04;
const MOST_AHEAD: usize = 4;

/// Numbers connections of clients.
static CONVERSATIONS: AtomicU64 = AtomicU64::new(1);

/// The next connection's number.
pub(crate) fn next_client_connection() -> ClientConnectionId {
    CONVERSATIONS.fetch_add(1, Ordering::Relaxed)
}

/// What all clients of a run share.
pub struct ClientContext {
    /// Where nodes can be found.
    pub directory: Arc<NodeDirectory>,
    /// Where clients note what they saw.
    pub recorder: Arc<Recorder>,
    /// What they may ask for.
    pub settings: RunSettings,
    /// The run is over.
    pub finished: Arc<AtomicBool>,
    /// Clients are not to misbehave any more, nor to leave.
    pub calm: Arc<AtomicBool>,
}

/// One client.
pub struct Client {
    number: usize,
    rng: Pcg64Mcg,
    context: Arc<ClientContext>,
    count: u64,
    open: Option<Open>,
}

/// A connection to a node.
struct Open {
    reader: BufReader<TcpStream>,
    node: usize,
    life: u64,
    client_connection: ClientConnectionId,
    used: bool,
}

struct Request {
    id: String,
    class: Class,
    text: String,
}

enum Answer {
    Whole { status: u16, result: String, closes: bool },
    Ended,
    Silence,
    Garbled,
}

impl Client {
    /// One that asks from now on when it is run.
    #[must_use]
    pub fn new(number: usize, seed: u64, context: Arc<ClientContext>) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 20);
        Self { number, rng, context, count: 0, open: None }
    }

    /// Asks at this pace until the run is over.
    pub fn run(mut self, gap: Duration) {
        let mut due = Instant::now() + gap.mul_f64(self.rng.random());
        while !self.context.finished.load(Ordering::Relaxed) {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            due = (due + gap.mul_f64(self.rng.random_range(0.5..1.5))).max(Instant::now());
            let calm = self.context.calm.load(Ordering::Relaxed);
            if !calm && self.rng.random_bool(SENDS_AHEAD) {
                let ahead = self.rng.random_range(2..=MOST_AHEAD);
                self.ask_ahead(ahead);
            } else {
                let leaves = !calm && self.rng.random_bool(LEAVES);
                self.ask(leaves);
            }
        }
    }

    fn request(&mut self) -> Request {
        self.count += 1;
        let class = Class::ALL[self.rng.random_range(0..Class::ALL.len())];
        let id = format!("{:x}-{:x}", self.number, self.count);
        let (deadline, name) = (self.context.settings.deadline_ms, class.name());
        let length = id.len() + 2;
        let text = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {name}\r\nReq-Owner: {TENANT}\r\n\
             Idempotency-Key: {id}\r\nReq-Deadline-Ms: {deadline}\r\nContent-Length: {length}\r\n\r\nr-{id}"
        );
        Request { id, class, text }
    }

    /// A connection that can be written to; none if no node takes one now.
    fn connection(&mut self) -> Option<&mut Open> {
        if self.open.as_ref().is_some_and(|open| is_closed(open.reader.get_ref())) {
            self.open = None;
        }
        if let Some(open) = self.open.as_ref().filter(|open| open.used && has_bytes(open.reader.get_ref())) {
            self.context.recorder.now(Event::UnexpectedBytes { client_connection: open.client_connection });
            self.open = None;
        }
        // Now and then a client goes elsewhere.
        if self.rng.random_bool(0.05) {
            self.open = None;
        }
        if self.open.is_none() {
            self.open = self.connect().ok();
        }
        self.open.as_mut()
    }

    fn connect(&mut self) -> io::Result<Open> {
        let choice: f64 = self.rng.random();
        let none = || io::Error::other("no node takes clients");
        let (node, life, address) = self.context.directory.choose(choice).ok_or_else(none)?;
        let socket = TcpStream::connect_timeout(&address, CONNECT)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(PATIENCE))?;
        let client_connection = next_client_connection();
        Ok(Open { reader: BufReader::new(socket), node, life, client_connection, used: false })
    }

    fn asked(&self, request: &Request, open: &Open, behind: usize) {
        self.context.recorder.now(Event::RequestSent {
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

    /// Sends one request, and listens for its answer or leaves.
    fn ask(&mut self, leaves: bool) {
        let request = self.request();
        loop {
            if self.connection().is_none() {
                return;
            }
            let Some(mut open) = self.open.take() else { return };
            if open.reader.get_mut().write_all(request.text.as_bytes()).is_err() {
                continue;
            }
            self.asked(&request, &open, 0);
            let (asked, rested) = (Instant::now(), open.used);
            if leaves {
                return self.leave(&request, &open);
            }
            let answer = answer(&mut open.reader, self.wait());
            let closed =
                matches!(answer, Answer::Ended) && self.context.directory.is_alive(open.node, open.life);
            let crossed = rested && closed && asked.elapsed() < CROSSING;
            if crossed && !self.context.finished.load(Ordering::Relaxed) {
                // It is sent once more, on a new connection.
                continue;
            }
            if self.note(&request.id, &answer) {
                open.used = true;
                self.open = Some(open);
            }
            return;
        }
    }

    fn wait(&self) -> Duration {
        Duration::from_millis(self.context.settings.deadline_ms) + PATIENCE
    }

    fn leave(&mut self, request: &Request, open: &Open) {
        let most = Duration::from_millis(self.context.settings.deadline_ms);
        std::thread::sleep(most.mul_f64(self.rng.random_range(0.0..0.5)));
        self.context.recorder.now(Event::ClientLeft { id: request.id.clone() });
        if self.rng.random_bool(0.5) {
            reset(open.reader.get_ref());
        }
    }

    /// Notes how a request ended. True if its connection can be used again.
    fn note(&self, id: &str, answer: &Answer) -> bool {
        let id = id.to_owned();
        let event = match answer {
            Answer::Whole { status, result, .. } => {
                Event::Answered { id, status: *status, result: result.clone() }
            }
            Answer::Ended => Event::Unanswered { id, how: MissingAnswer::Closed },
            Answer::Silence => Event::Unanswered { id, how: MissingAnswer::Silence },
            Answer::Garbled => Event::Unanswered { id, how: MissingAnswer::Garbled },
        };
        self.context.recorder.now(event);
        matches!(answer, Answer::Whole { closes: false, .. })
    }

    /// Sends several requests at once, and listens for all answers, in their order.
    fn ask_ahead(&mut self, count: usize) {
        let requests: Vec<Request> = (0..count).map(|_| self.request()).collect();
        if self.connection().is_none() {
            return;
        }
        let Some(mut open) = self.open.take() else { return };
        // On one at rest, a close that crosses is no loss, and that can't be told for those behind the first.
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
            self.asked(request, &open, behind);
        }
        for request in &requests {
            let answer = answer(&mut open.reader, self.wait());
            if !self.note(&request.id, &answer) && !matches!(answer, Answer::Whole { .. }) {
                // The rest can't be told from what was cut off with it: each is noted by itself.
                continue;
            }
        }
    }
}

fn answer(reader: &mut BufReader<TcpStream>, wait: Duration) -> Answer {
    let _ = reader.get_ref().set_read_timeout(Some(wait));
    match message(reader) {
        Ok(Some((head, body))) => {
            let status = head.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
            let closes = head.to_ascii_lowercase().contains("\r\nconnection: close\r\n");
            match (status, String::from_utf8(body)) {
                (Some(status), Ok(result)) => Answer::Whole { status, result, closes },
                _ => Answer::Garbled,
            }
        }
        Ok(None) => Answer::Ended,
        Err(e) => match e.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::Silence,
            io::ErrorKind::Other => Answer::Garbled,
            _ => Answer::Ended,
        },
    }
}
