//! Clients that record each request, its answer, and whether an unanswered request may have run.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use linestack_history::HistoryEvent;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::http::{header, read_message};
use crate::link::Link;
use crate::plan::Load;

/// How long after the deadline of a submission its client still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_millis(1500);
/// The upper limit on the delay before a retry, whatever `Retry-After` says.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The delay before a retry at another node when no node can have read the request.
const UNSENT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The delay before a retry at the same node in that case. A node that is down refuses connections at once, and the
/// delay avoids a busy loop.
const UNSENT_RETRY_DELAY_SAME_NODE: Duration = Duration::from_millis(100);
/// The time limit for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The product whose jobs must not be executed twice.
pub const ONE_SHOT: &str = "once";
/// The product whose jobs are idempotent.
pub const IDEMPOTENT: &str = "look";

/// Receives an event for everything that a client sends and receives, and for each attempt without an answer.
pub type Observer = Arc<dyn Fn(HistoryEvent) + Send + Sync>;

/// The outcome of one attempt, as its client knows it.
enum AttemptOutcome {
    /// An answer with this status and `Retry-After`.
    Answered(u16, Option<Duration>),
    /// No answer, although a node may have read the request.
    Unknown,
    /// No node can have read the whole request.
    Unsent,
}

/// Runs one client until `stop` is set. It sends one submission at a time to randomly chosen nodes, at no
/// more than its share of the rate of the load.
pub fn run_client(
    number: usize,
    load: &Load,
    seed: u64,
    nodes: &[&Link],
    stop: &AtomicBool,
    observer: &Observer,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 24);
    let interval = Duration::from_secs_f64(load.clients as f64 / load.rate);
    let mut due = Instant::now() + interval.mul_f64(rng.random());
    let mut sockets: Vec<Option<BufReader<TcpStream>>> = nodes.iter().map(|_| None).collect();
    let mut submission = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        // The rate is an upper bound: a client that is behind schedule does not catch up.
        due = (due + interval).max(Instant::now());
        submission += 1;
        let one_shot = rng.random::<f64>() < load.one_shot_share;
        let key = format!("k{number}-{submission}");
        let mut node = rng.random_range(0..nodes.len());
        for attempt in 0..load.tries {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            if !load.same_node {
                node = rng.random_range(0..nodes.len());
            }
            let id = format!("{number:x}-{submission:x}-{attempt:x}");
            observer(HistoryEvent::Asked {
                id: id.clone(),
                key: key.clone(),
                node: format!("n{node}"),
                one_shot,
            });
            let outcome = send_once(&mut sockets[node], nodes[node], load, &id, &key, one_shot, attempt > 0);
            if matches!(outcome, AttemptOutcome::Unknown | AttemptOutcome::Unsent) {
                sockets[node] = None;
            }
            match outcome {
                AttemptOutcome::Answered(status, retry_after) => {
                    observer(HistoryEvent::Told { id, status });
                    if !matches!(status, 429 | 503) {
                        break;
                    }
                    std::thread::sleep(retry_after.unwrap_or_default().min(MAX_RETRY_DELAY));
                }
                AttemptOutcome::Unknown => {
                    observer(HistoryEvent::Unknown { id });
                    if !load.retry_when_unknown {
                        break;
                    }
                }
                AttemptOutcome::Unsent => {
                    observer(HistoryEvent::Unsent { id });
                    std::thread::sleep(if load.same_node {
                        UNSENT_RETRY_DELAY_SAME_NODE
                    } else {
                        UNSENT_RETRY_DELAY
                    });
                }
            }
        }
    }
}

fn connect(to: SocketAddr, timeout: Duration) -> io::Result<BufReader<TcpStream>> {
    let socket = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.set_write_timeout(Some(timeout))?;
    Ok(BufReader::new(socket))
}

/// Sends one request and waits for its answer.
fn send_once(
    socket: &mut Option<BufReader<TcpStream>>,
    link: &Link,
    load: &Load,
    id: &str,
    key: &str,
    one_shot: bool,
    is_retry: bool,
) -> AttemptOutcome {
    let timeout = Duration::from_millis(load.deadline_ms) + ANSWER_GRACE;
    if socket.as_ref().is_some_and(is_closed) {
        *socket = None;
    }
    if socket.is_none() {
        *socket = connect(link.address, timeout).ok();
    }
    let Some(open) = socket else { return AttemptOutcome::Unsent };
    let (product, retry) =
        (if one_shot { ONE_SHOT } else { IDEMPOTENT }, if is_retry { "Req-Retry: 1\r\n" } else { "" });
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {product}\r\nReq-Owner: all\r\n\
         Req-Key: {key}\r\nIdempotency-Key: {key}\r\n{retry}Req-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{key}",
        load.deadline_ms,
        key.len()
    );
    if open.get_mut().write_all(text.as_bytes()).is_err() {
        // The node may have read a part of the request, but not all of it.
        return AttemptOutcome::Unsent;
    }
    match read_message(open) {
        Ok(Some((head, _))) => {
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let retry_after =
                header(&head, "retry-after").and_then(|w| w.parse().ok()).map(Duration::from_secs_f64);
            if header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                *socket = None;
            }
            AttemptOutcome::Answered(status, retry_after)
        }
        _ => match open.get_ref().local_addr() {
            // The connection never reached the node.
            Ok(near) if !link.reached_target(near) => AttemptOutcome::Unsent,
            _ => AttemptOutcome::Unknown,
        },
    }
}

/// Returns whether the other end has closed an idle connection.
fn is_closed(socket: &BufReader<TcpStream>) -> bool {
    let socket = socket.get_ref();
    let peeked = socket.set_nonblocking(true).and_then(|()| socket.peek(&mut [0]));
    let open = matches!(&peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
    !open || socket.set_nonblocking(false).is_err()
}
