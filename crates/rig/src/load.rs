//! Bounded clients that load nodes or executors on loopback.

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

/// The most connections that a load holds, and a stand-in too.
pub const MAX_CLIENTS: usize = 4096;

/// How a load goes about it.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Each asks again once it is answered; or, with a rate, they take turns at a fixed pace.
    pub clients: usize,
    /// Requests a second of all clients together; none: closed loop.
    pub rate: Option<f64>,
    /// How long the load lasts after the ramp.
    pub duration: Duration,
    /// Clients begin one after the other over this time, and what is answered in it does not count.
    pub ramp: Duration,
}

/// What came of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// Answers with a result.
    pub satisfied: u64,
    /// Answers that turned a request away.
    pub dismissed: u64,
    /// All other answers.
    pub failed: u64,
    /// Connections that broke, or answers that made no sense.
    pub broken: u64,
    /// For how long it was counted.
    pub seconds: f64,
    /// Microseconds of what was satisfied. At a fixed pace they count from when a request was due, so that
    /// waiting for a slow answer before it hides nothing.
    pub latencies: Histogram<u64>,
}

impl LoadResult {
    /// Satisfied requests a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.satisfied as f64 / self.seconds
    }
}

/// Loads nodes, or executors directly, and returns when the time is over. Each client keeps one connection.
///
/// # Errors
///
/// An address off loopback, more than [`MAX_CLIENTS`] clients, or no client could be started.
pub fn load(scenario: &Scenario, to: &[SocketAddr], plan: &LoadPlan, seed: u64) -> io::Result<LoadResult> {
    if to.is_empty() || to.iter().any(|a| !a.ip().is_loopback()) {
        return Err(io::Error::other("loads go to addresses on loopback only, one at least"));
    }
    if plan.clients == 0 || plan.clients > MAX_CLIENTS {
        return Err(io::Error::other(format!("from 1 to {MAX_CLIENTS} clients")));
    }
    let begin = Instant::now();
    let counted = begin + plan.ramp;
    let end = counted + plan.duration;
    let scenario = Arc::new(scenario.clone());
    let mut threads = Vec::new();
    for client in 0..plan.clients {
        let (scenario, to, plan) = (Arc::clone(&scenario), to[client % to.len()], plan.clone());
        let thread = std::thread::Builder::new().stack_size(128 * 1024);
        threads
            .push(thread.spawn(move || one_client(&scenario, to, &plan, client, seed, begin, counted, end))?);
    }
    let mut all = LoadResult {
        satisfied: 0,
        dismissed: 0,
        failed: 0,
        broken: 0,
        seconds: plan.duration.as_secs_f64(),
        latencies: histogram(),
    };
    for thread in threads {
        let Ok(one) = thread.join() else { return Err(io::Error::other("a client ended before its time")) };
        all.satisfied += one.satisfied;
        all.dismissed += one.dismissed;
        all.failed += one.failed;
        all.broken += one.broken;
        let _ = all.latencies.add(&one.latencies);
    }
    Ok(all)
}

fn histogram() -> Histogram<u64> {
    // Three digits from a microsecond to two minutes; the bounds are sound, so it can't fail.
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| unreachable!("sound bounds"))
}

#[allow(clippy::too_many_arguments)]
fn one_client(
    s: &Scenario,
    to: SocketAddr,
    plan: &LoadPlan,
    client: usize,
    seed: u64,
    begin: Instant,
    counted: Instant,
    end: Instant,
) -> LoadResult {
    let (mut rng, latencies) = (Pcg64Mcg::seed_from_u64(seed ^ (client as u64) << 20), histogram());
    let mut all = LoadResult { satisfied: 0, dismissed: 0, failed: 0, broken: 0, seconds: 0.0, latencies };
    std::thread::sleep(plan.ramp.mul_f64(client as f64 / plan.clients as f64));
    let gap = plan.rate.map(|r| Duration::from_secs_f64(plan.clients as f64 / r));
    let mut due = Instant::now() + gap.unwrap_or_default().mul_f64(rng.random());
    let mut socket: Option<BufReader<TcpStream>> = None;
    let mut number = 0_u64;
    let weights: f64 = s.products.iter().map(|p| p.share).sum();
    while Instant::now() < end {
        if let Some(gap) = gap {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if due >= end {
                break;
            }
            due += gap;
        }
        let sent = if gap.is_some() { due - gap.unwrap_or_default() } else { Instant::now() };
        if socket.is_none() {
            let new = TcpStream::connect_timeout(&to, Duration::from_secs(1)).and_then(|socket| {
                socket.set_nodelay(true)?;
                socket.set_read_timeout(Some(PEER_TIMEOUT))?;
                Ok(BufReader::new(socket))
            });
            let Ok(new) = new else {
                all.broken += 1;
                std::thread::sleep(Duration::from_millis(10));
                continue;
            };
            socket = Some(new);
        }
        let Some(open) = &mut socket else { continue };
        number += 1;
        let mut draw = rng.random::<f64>() * weights;
        let product = s.products.iter().find(|p| {
            draw -= p.share;
            draw < 0.0
        });
        let product = product.unwrap_or(&s.products[0]);
        let tenant = &s.tenants[rng.random_range(0..s.tenants.len())];
        let mut text = String::with_capacity(256);
        let id = format!("{seed:x}-{client:x}-{number:x}");
        let _ = write!(
            text,
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n\
             Idempotency-Key: {id}\r\nReq-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            product.name, tenant.name, product.cut_off_ms as u64
        );
        let answered = open.get_mut().write_all(text.as_bytes()).and_then(|()| read_message(open));
        let counts = Instant::now() >= counted && sent >= begin;
        match answered {
            Ok(Some((head, body))) => {
                let status = head.split(' ').nth(1).unwrap_or("");
                // What executors answer themselves tells the outcome in its line.
                let returned = body.windows(10).any(|w| w == b"\"returned\"");
                if counts {
                    match status {
                        "200" if !returned => {
                            all.satisfied += 1;
                            let _ = all.latencies.record(sent.elapsed().as_micros().max(1) as u64);
                        }
                        "200" | "429" | "503" => all.dismissed += 1,
                        _ => all.failed += 1,
                    }
                }
                if header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                    socket = None;
                }
            }
            Ok(None) | Err(_) => {
                all.broken += u64::from(counts);
                let _ = open.get_ref().shutdown(Shutdown::Both);
                socket = None;
            }
        }
    }
    all
}
