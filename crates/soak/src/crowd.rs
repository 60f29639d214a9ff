//! A crowd at one node: many connections that occupy its file descriptors, each stopped at some point of a request.

use std::io::{self, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::http::read_message;

use crate::client::next_client_connection;
use crate::history::{Event, Misbehavior, Recorder};
use crate::settings::{Class, TENANT};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client of a crowd waits for the answer to its first request.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a client waits for an error or a close after half a request; longer than the node's limit, so that a late
/// reaction is observed too.
const REACTION_TIMEOUT: Duration = Duration::from_secs(8);
/// The number of bytes of an answer that a slow reader reads.
const PARTIAL_ANSWER_BYTES: usize = 9;

/// Numbers the requests of crowds, which are not judged.
static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// The number of connections of each kind in a crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrowdSize {
    /// Connections that have completed one request and stop in the middle of the next.
    pub half: usize,
    /// Connections that stop in the middle of reading the answer to their first request.
    pub unread: usize,
    /// Connections that have completed one request and stay idle.
    pub idle: usize,
}

/// Opens and holds the connections of a crowd.
pub struct CrowdRunner {
    /// The index of the node.
    pub node: usize,
    /// The number of the node's current process.
    pub life: u64,
    /// The address of the node.
    pub address: SocketAddr,
    /// The deadline of its requests, in milliseconds.
    pub deadline_ms: u64,
    /// Records how the node reacts to half requests.
    pub recorder: Arc<Recorder>,
}

impl CrowdRunner {
    /// Opens the connections of a crowd and holds them for a span.
    pub fn hold(self, crowd: CrowdSize, span: Duration) {
        let runner = Arc::new(self);
        let mut held = Vec::new();
        let mut watchers = Vec::new();
        for number in 0..crowd.half + crowd.unread + crowd.idle {
            let reads_half = number >= crowd.half && number < crowd.half + crowd.unread;
            // A client that gets no connection or no answer is left out.
            let Ok(client) = runner.connect(reads_half) else {
                continue;
            };
            if number < crowd.half {
                let runner = Arc::clone(&runner);
                watchers.push(std::thread::spawn(move || runner.stop_halfway(client, span)));
            } else {
                held.push(client);
            }
        }
        std::thread::sleep(span);
        drop(held);
        for watcher in watchers {
            let _ = watcher.join();
        }
    }

    /// Returns the text of a new request.
    fn request(&self) -> String {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let (id, class, deadline) = (format!("crowd-{number}"), Class::Look.name(), self.deadline_ms);
        format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: {TENANT}\r\n\
             Req-Deadline-Ms: {deadline}\r\nContent-Length: 4\r\n\r\nbody"
        )
    }

    /// Opens a connection and completes one request on it, or, for a slow reader, reads only the start of the answer.
    fn connect(&self, reads_half: bool) -> io::Result<BufReader<TcpStream>> {
        let socket = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(FIRST_ANSWER_TIMEOUT))?;
        socket.set_write_timeout(Some(FIRST_ANSWER_TIMEOUT))?;
        let mut client = BufReader::with_capacity(PARTIAL_ANSWER_BYTES, socket);
        client.get_mut().write_all(self.request().as_bytes())?;
        if reads_half {
            client.read_exact(&mut [0; PARTIAL_ANSWER_BYTES])?;
        } else {
            read_message(&mut client)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        }
        Ok(client)
    }

    /// Sends half a request, records the node's reaction and keeps the connection open for the span of the crowd.
    fn stop_halfway(&self, mut client: BufReader<TcpStream>, span: Duration) {
        let request = self.request();
        if client.get_mut().write_all(&request.as_bytes()[..request.len() / 2]).is_err() {
            return;
        }
        let client_connection = next_client_connection();
        let (node, life, how) = (self.node, self.life, Misbehavior::Half);
        self.recorder.record(Event::Misbehaved { client_connection, node, life, how });
        let start = Instant::now();
        let _ = client.get_ref().set_read_timeout(Some(REACTION_TIMEOUT));
        let reaction = client.read(&mut [0; 64]);
        let timed_out =
            |e: &io::Error| matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
        if !reaction.is_err_and(|e| timed_out(&e)) {
            self.recorder.record(Event::MisbehaviorAnswered { client_connection });
        }
        std::thread::sleep(span.saturating_sub(start.elapsed()));
    }
}
