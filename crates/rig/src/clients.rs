//! Clients that tell what they asked, what they were told, and what they can't know.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use linestack_history::HistoryEvent;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::http::{header, message};
use crate::link::Link;
use crate::plan::Load;

/// Beyond the cut-off, before a client gives up on its connection.
const SLACK: Duration = Duration::from_millis(1500);
/// A client that was told to come back does, after this at most.
const COME_BACK: Duration = Duration::from_millis(300);

/// The product whose jobs must not be executed twice.
pub const ONE_SHOT: &str = "once";
/// The product whose jobs may be executed any number of times.
pub const HARMLESS: &str = "look";

/// Told of everything that a client does and sees.
pub type Observer = Arc<dyn Fn(HistoryEvent) + Send + Sync>;

enum Told {
    Status(u16, Option<Duration>),
    Unknown,
    Unsent,
}

/// One client, until it is told to stop. It asks nodes by chance, one submission at a time, at its pace.
pub fn ask(number: usize, load: &Load, seed: u64, nodes: &[&Link], stop: &AtomicBool, seen: &Observer) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 24);
    let gap = Duration::from_secs_f64(load.clients as f64 / load.rate);
    let mut due = Instant::now() + gap.mul_f64(rng.random());
    let mut sockets: Vec<Option<BufReader<TcpStream>>> = nodes.iter().map(|_| None).collect();
    let mut count = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        // What was missed is not made up for: the pace is a bound.
        due = (due + gap).max(Instant::now());
        count += 1;
        let one_shot = rng.random::<f64>() < load.one_shot_share;
        let key = format!("k{number}-{count}");
        let mut node = rng.random_range(0..nodes.len());
        for again in 0..load.tries {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            if !load.same_node {
                node = rng.random_range(0..nodes.len());
            }
            let id = format!("{number:x}-{count:x}-{again:x}");
            seen(HistoryEvent::Asked {
                id: id.clone(),
                key: key.clone(),
                node: format!("n{node}"),
                one_shot,
            });
            let told = once(&mut sockets[node], nodes[node], load, &id, &key, one_shot, again > 0);
            if matches!(told, Told::Unknown | Told::Unsent) {
                sockets[node] = None;
            }
            match told {
                Told::Status(status, wait) => {
                    seen(HistoryEvent::Told { id, status });
                    if !matches!(status, 429 | 503) {
                        break;
                    }
                    std::thread::sleep(wait.unwrap_or_default().min(COME_BACK));
                }
                Told::Unknown => {
                    seen(HistoryEvent::Unknown { id });
                    if !load.ask_when_unknown {
                        break;
                    }
                }
                Told::Unsent => {
                    seen(HistoryEvent::Unsent { id });
                    // A node that is down refuses at once, and must not be asked in a loop.
                    std::thread::sleep(Duration::from_millis(if load.same_node { 100 } else { 10 }));
                }
            }
        }
    }
}

fn connect(to: SocketAddr, wait: Duration) -> io::Result<BufReader<TcpStream>> {
    let socket = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(wait))?;
    socket.set_write_timeout(Some(wait))?;
    Ok(BufReader::new(socket))
}

fn once(
    socket: &mut Option<BufReader<TcpStream>>,
    link: &Link,
    load: &Load,
    id: &str,
    key: &str,
    one_shot: bool,
    again: bool,
) -> Told {
    let wait = Duration::from_millis(load.cut_off_ms) + SLACK;
    if socket.as_ref().is_some_and(closed) {
        *socket = None;
    }
    if socket.is_none() {
        *socket = connect(link.address, wait).ok();
    }
    let Some(open) = socket else { return Told::Unsent };
    let (product, retry) =
        (if one_shot { ONE_SHOT } else { HARMLESS }, if again { "Req-Retry: 1\r\n" } else { "" });
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {product}\r\nReq-Owner: all\r\n\
         Req-Key: {key}\r\nIdempotency-Key: {key}\r\n{retry}Req-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{key}",
        load.cut_off_ms,
        key.len()
    );
    if open.get_mut().write_all(text.as_bytes()).is_err() {
        // Some of it may be there, but not all of it.
        return Told::Unsent;
    }
    match message(open) {
        Ok(Some((head, _))) => {
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let wait = header(&head, "retry-after").and_then(|w| w.parse().ok()).map(Duration::from_secs_f64);
            if header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                *socket = None;
            }
            Told::Status(status, wait)
        }
        _ => match open.get_ref().local_addr() {
            // Nobody was there to take it.
            Ok(near) if !link.reached_target(near) => Told::Unsent,
            _ => Told::Unknown,
        },
    }
}

/// Whether the other end has closed it while it stood idle.
fn closed(socket: &BufReader<TcpStream>) -> bool {
    let socket = socket.get_ref();
    let seen = socket.set_nonblocking(true).and_then(|()| socket.peek(&mut [0]));
    let open = matches!(&seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
    !open || socket.set_nonblocking(false).is_err()
}
