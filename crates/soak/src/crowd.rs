//! A crowd at one node: connections that hold its descriptors, each in the middle of something.

use std::io::{self, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::http::message;

use crate::client::next_client_connection;
use crate::history::{Event, Misbehavior, Recorder};
use crate::settings::{Class, TENANT};

const CONNECT: Duration = Duration::from_millis(500);
/// A member of a crowd waits so long for the answer to its first request.
const FIRST_ANSWER: Duration = Duration::from_secs(3);
/// How long it is seen to whether a half request gets its error or its close.
const REBUKE_PATIENCE: Duration = Duration::from_secs(8);
/// Bytes of an answer that a slow reader takes.
const TAKEN_OF_ANSWER: usize = 9;

/// Numbers the requests of crowds, which nobody judges.
static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// How many connections a crowd has of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrowdSize {
    /// They have asked before, and stop in the middle of their next request.
    pub half: usize,
    /// They have asked, and stop in the middle of reading the answer.
    pub unread: usize,
    /// They have asked before, and rest.
    pub idle: usize,
}

/// Where a crowd gathers.
pub struct CrowdRunner {
    /// The node,
    pub node: usize,
    /// its process,
    pub life: u64,
    /// and its address.
    pub address: SocketAddr,
    /// What its clients say they wait for, in milliseconds.
    pub deadline_ms: u64,
    /// Where it is noted what half requests got.
    pub recorder: Arc<Recorder>,
}

impl CrowdRunner {
    /// Holds a crowd together for a while.
    pub fn hold(self, crowd: CrowdSize, span: Duration) {
        let gathering = Arc::new(self);
        let mut kept = Vec::new();
        let mut watchers = Vec::new();
        for number in 0..crowd.half + crowd.unread + crowd.idle {
            // One that finds no room or no answer is not part of it.
            let Ok(client) = gathering.join(number >= crowd.half && number < crowd.half + crowd.unread)
            else {
                continue;
            };
            if number < crowd.half {
                let gathering = Arc::clone(&gathering);
                watchers.push(std::thread::spawn(move || gathering.stop_halfway(client, span)));
            } else {
                kept.push(client);
            }
        }
        std::thread::sleep(span);
        drop(kept);
        for watcher in watchers {
            let _ = watcher.join();
        }
    }

    fn request(&self) -> String {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let (id, class, deadline) = (format!("crowd-{number}"), Class::Look.name(), self.deadline_ms);
        format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: {TENANT}\r\n\
             Req-Deadline-Ms: {deadline}\r\nContent-Length: 4\r\n\r\nbody"
        )
    }

    /// A connection on which a request was answered, or, of a slow reader, half of the answer was taken.
    fn join(&self, reads_half: bool) -> io::Result<BufReader<TcpStream>> {
        let socket = TcpStream::connect_timeout(&self.address, CONNECT)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(FIRST_ANSWER))?;
        socket.set_write_timeout(Some(FIRST_ANSWER))?;
        let mut client = BufReader::with_capacity(TAKEN_OF_ANSWER, socket);
        client.get_mut().write_all(self.request().as_bytes())?;
        if reads_half {
            client.read_exact(&mut [0; TAKEN_OF_ANSWER])?;
        } else {
            message(&mut client)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        }
        Ok(client)
    }

    /// Sends half a request and stays, for as long as the crowd does and until it is known what comes of it.
    fn stop_halfway(&self, mut client: BufReader<TcpStream>, span: Duration) {
        let request = self.request();
        if client.get_mut().write_all(&request.as_bytes()[..request.len() / 2]).is_err() {
            return;
        }
        let client_connection = next_client_connection();
        let (node, life, how) = (self.node, self.life, Misbehavior::Half);
        self.recorder.now(Event::Misbehaved { client_connection, node, life, how });
        let begun = Instant::now();
        let _ = client.get_ref().set_read_timeout(Some(REBUKE_PATIENCE));
        let told = client.read(&mut [0; 64]);
        let silent = |e: &io::Error| matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
        if !told.is_err_and(|e| silent(&e)) {
            self.recorder.now(Event::MisbehaviorAnswered { client_connection });
        }
        std::thread::sleep(span.saturating_sub(begun.elapsed()));
    }
}
