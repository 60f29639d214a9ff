//! Load generation: a bounded number of clients that send requests to nodes or executors on loopback.

use std::fmt::Write as _;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use linestack_world::Scenario;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::http::{PEER_TIMEOUT, header, read_message};

/// The maximum number of clients of a load, and of connections to a stand-in.
pub const MAX_CLIENTS: usize = 4096;

/// The time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay of a client after a connection attempt that failed.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The stack size in bytes of a client's thread.
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// The parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The number of clients. Without a rate, each sends its next request once the previous one is answered.
    pub clients: usize,
    /// Requests per second from all clients together; `None` for a closed loop.
    pub rate: Option<f64>,
    /// The duration of the load after the ramp.
    pub duration: Duration,
    /// The time over which clients start one after the other. Answers within it are not counted.
    pub ramp: Duration,
}

/// The answers to a load, by kind, and their latencies.
#[derive(Debug)]
pub struct LoadResult {
    /// Answers with a result.
    pub satisfied: u64,
    /// Answers that rejected a request.
    pub dismissed: u64,
    /// All other answers.
    pub failed: u64,
    /// Connections that failed or broke, and malformed answers.
    pub broken: u64,
    /// The time in seconds over which answers were counted.
    pub seconds: f64,
    /// Latencies of satisfied requests in microseconds. At a fixed rate they are measured from the time at which a
    /// request was due, so that delays by a slow previous answer are included.
    pub latencies: Histogram<u64>,
}

impl LoadResult {
    /// Returns the satisfied requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.satisfied as f64 / self.seconds
    }
}

/// Sends load to nodes, or to executors directly, and returns its result at the end. Each client keeps one connection.
///
/// # Errors
///
/// There is no address or one outside loopback, the number of clients is not in 1 to [`MAX_CLIENTS`], or a client
/// thread cannot be started or panics.
pub fn load(scenario: &Scenario, to: &[SocketAddr], plan: &LoadPlan, seed: u64) -> io::Result<LoadResult> {
    if to.is_empty() || to.iter().any(|a| !a.ip().is_loopback()) {
        return Err(io::Error::other("a load needs at least one address, and all must be on loopback"));
    }
    if plan.clients == 0 || plan.clients > MAX_CLIENTS {
        return Err(io::Error::other(format!("a load has from 1 to {MAX_CLIENTS} clients")));
    }
    let begin = Instant::now();
    let count_from = begin + plan.ramp;
    let end = count_from + plan.duration;
    let scenario = Arc::new(scenario.clone());
    let mut threads = Vec::new();
    for client in 0..plan.clients {
        let (scenario, to, plan) = (Arc::clone(&scenario), to[client % to.len()], plan.clone());
        let thread = std::thread::Builder::new().stack_size(THREAD_STACK_BYTES);
        threads.push(
            thread.spawn(move || run_client(&scenario, to, &plan, client, seed, begin, count_from, end))?,
        );
    }
    let mut total = LoadResult {
        satisfied: 0,
        dismissed: 0,
        failed: 0,
        broken: 0,
        seconds: plan.duration.as_secs_f64(),
        latencies: histogram(),
    };
    for thread in threads {
        let Ok(one) = thread.join() else { return Err(io::Error::other("a client thread panicked")) };
        total.satisfied += one.satisfied;
        total.dismissed += one.dismissed;
        total.failed += one.failed;
        total.broken += one.broken;
        let _ = total.latencies.add(&one.latencies);
    }
    Ok(total)
}

fn histogram() -> Histogram<u64> {
    // Three significant digits from a microsecond to two minutes; with these valid bounds it cannot fail.
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

#[allow(clippy::too_many_arguments)]
fn run_client(
    scenario: &Scenario,
    to: SocketAddr,
    plan: &LoadPlan,
    client: usize,
    seed: u64,
    begin: Instant,
    count_from: Instant,
    end: Instant,
) -> LoadResult {
    let (mut rng, latencies) = (Pcg64Mcg::seed_from_u64(seed ^ (client as u64) << 20), histogram());
    let mut result = LoadResult { satisfied: 0, dismissed: 0, failed: 0, broken: 0, seconds: 0.0, latencies };
    std::thread::sleep(plan.ramp.mul_f64(client as f64 / plan.clients as f64));
    let interval = plan.rate.map(|r| Duration::from_secs_f64(plan.clients as f64 / r));
    let mut due = Instant::now() + interval.unwrap_or_default().mul_f64(rng.random());
    let mut socket: Option<BufReader<TcpStream>> = None;
    let mut number = 0_u64;
    let weights: f64 = scenario.products.iter().map(|p| p.share).sum();
    while Instant::now() < end {
        if let Some(interval) = interval {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if due >= end {
                break;
            }
            due += interval;
        }
        let sent = if interval.is_some() { due - interval.unwrap_or_default() } else { Instant::now() };
        if socket.is_none() {
            let new = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).and_then(|socket| {
                socket.set_nodelay(true)?;
                socket.set_read_timeout(Some(PEER_TIMEOUT))?;
                Ok(BufReader::new(socket))
            });
            let Ok(new) = new else {
                result.broken += 1;
                std::thread::sleep(CONNECT_RETRY_DELAY);
                continue;
            };
            socket = Some(new);
        }
        let Some(open) = &mut socket else { continue };
        number += 1;
        let mut draw = rng.random::<f64>() * weights;
        let product = scenario.products.iter().find(|p| {
            draw -= p.share;
            draw < 0.0
        });
        let product = product.unwrap_or(&scenario.products[0]);
        let tenant = &scenario.tenants[rng.random_range(0..scenario.tenants.len())];
        let mut text = String::with_capacity(256);
        let id = format!("{seed:x}-{client:x}-{number:x}");
        let _ = write!(
            text,
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n\
             Idempotency-Key: {id}\r\nReq-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            product.name, tenant.name, product.deadline_ms as u64
        );
        let answered = open.get_mut().write_all(text.as_bytes()).and_then(|()| read_message(open));
        let is_counted = Instant::now() >= count_from && sent >= begin;
        match answered {
            Ok(Some((head, body))) => {
                let status = head.split(' ').nth(1).unwrap_or("");
                // An executor that is loaded directly reports a rejection as the state in its body.
                let returned = body.windows(10).any(|w| w == b"\"returned\"");
                if is_counted {
                    match status {
                        "200" if !returned => {
                            result.satisfied += 1;
                            let _ = result.latencies.record(sent.elapsed().as_micros().max(1) as u64);
                        }
                        "200" | "429" | "503" => result.dismissed += 1,
                        _ => result.failed += 1,
                    }
                }
                if header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                    socket = None;
                }
            }
            Ok(None) | Err(_) => {
                result.broken += u64::from(is_counted);
                let _ = open.get_ref().shutdown(Shutdown::Both);
                socket = None;
            }
        }
    }
    result
}
