//! Real sockets on loopback: stand-in executors and discovery, bounded clients, and the demonstration.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use linestack_world::standin::{Offer, StandIn, Ticket};
use linestack_world::{Repeats, Scenario, Trouble};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// No stand-in reads more of a head or a body, nor waits longer for a peer.
const LARGEST: usize = 80 * 1024;
const PATIENCE: Duration = Duration::from_secs(60);
/// The most connections that a stand-in or a load holds.
pub const MOST: usize = 4096;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A message's head, and what its body holds. None at the end of the connection.
fn message(socket: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Vec<u8>)>> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if socket.by_ref().take(LARGEST as u64).read_line(&mut head)? == 0 {
            return Ok(None);
        }
        if head.len() > LARGEST {
            return Err(io::Error::other("head too large"));
        }
        if head.len() - before <= 2 {
            break;
        }
    }
    let mut body = Vec::new();
    if let Some(length) = header(&head, "content-length") {
        let length = length.parse::<usize>().map_err(io::Error::other)?;
        if length > LARGEST {
            return Err(io::Error::other("body too large"));
        }
        body.resize(length, 0);
        socket.read_exact(&mut body)?;
    } else if header(&head, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            socket.by_ref().take(64).read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            if length > LARGEST {
                return Err(io::Error::other("chunk too large"));
            }
            let start = body.len();
            body.resize(start + length + 2, 0);
            socket.read_exact(&mut body[start..])?;
            body.truncate(start + length);
            if length == 0 {
                break;
            }
        }
    }
    Ok(Some((head, body)))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Where the answer to each job that is held goes, and the id that it names.
type Waiting = HashMap<Ticket, (TcpStream, String)>;

/// A stand-in executor's state, shared by its connections and its clock.
struct Stand {
    model: Mutex<(StandIn, Waiting)>,
    changed: Condvar,
    next: AtomicU64,
    start: Instant,
    stop: Arc<AtomicBool>,
}

impl Stand {
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64 + 1
    }

    fn load(model: &mut StandIn, now: u64) -> String {
        model.report(now).map_or(String::new(), |r| {
            let figure = |f: Option<f32>| f.unwrap_or(0.0);
            let (x0, queue, inflight) = (figure(r.free_slots), figure(r.waiting), figure(r.in_hand));
            format!("{{\"x0\":{x0},\"queue\":{queue},\"inflight\":{inflight}}}")
        })
    }

    fn line(model: &mut StandIn, now: u64, id: &str, state: &str) -> String {
        let load = Self::load(model, now);
        let load = if load.is_empty() { load } else { format!(",\"load\":{load}") };
        let (from, result) = (model.name(), if state == "done" { ",\"result\":\"ok\"" } else { "" });
        let line = format!("{{\"id\":\"{id}\",\"from\":\"{from}\",\"state\":\"{state}\"{result}{load}}}\n");
        let length = line.len();
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{line}\r\n0\r\n\r\n")
    }

    /// Answers what is done when it is, for as long as the stand-in runs.
    fn keep_time(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            let mut guard = lock(&self.model);
            let now = self.now();
            let (done, next) = guard.0.turn(now);
            let mut answers = Vec::with_capacity(done.len());
            for ticket in done {
                if let Some((socket, id)) = guard.1.remove(&ticket) {
                    let answer = Self::line(&mut guard.0, now, &id, "done");
                    answers.push((socket, answer));
                }
            }
            if answers.is_empty() {
                let wait = next.map_or(100_000_000, |at| at.saturating_sub(now)).clamp(20_000, 100_000_000);
                drop(self.changed.wait_timeout(guard, Duration::from_nanos(wait)));
            } else {
                drop(guard);
                for (mut socket, answer) in answers {
                    let _ = socket.write_all(answer.as_bytes());
                }
            }
        }
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(PATIENCE))?;
        socket.set_write_timeout(Some(PATIENCE))?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut socket = socket;
        let mut held = None;
        let end = loop {
            let (head, _) = match message(&mut reader) {
                Ok(Some(message)) => message,
                Ok(None) => break Ok(()),
                Err(why) => break Err(why),
            };
            if head.starts_with("GET") {
                let mut guard = lock(&self.model);
                if guard.0.answers() {
                    let load = Self::load(&mut guard.0, self.now());
                    drop(guard);
                    let length = load.len();
                    write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{load}")?;
                }
                continue;
            }
            let id = header(&head, "req-id").unwrap_or("").to_owned();
            let kind = header(&head, "req-kind").unwrap_or("").to_owned();
            let ticket = self.next.fetch_add(1, Ordering::Relaxed);
            let mut guard = lock(&self.model);
            let now = self.now();
            let answer = match guard.0.offer(now, ticket, &kind) {
                Offer::Taken => {
                    guard.1.insert(ticket, (socket.try_clone()?, id));
                    held = Some(ticket);
                    None
                }
                Offer::Lost => None,
                Offer::Full => Some(Self::line(&mut guard.0, now, &id, "returned")),
                Offer::Failed => Some(Self::line(&mut guard.0, now, &id, "failed")),
            };
            drop(guard);
            match answer {
                Some(answer) => socket.write_all(answer.as_bytes())?,
                None => self.changed.notify_one(),
            }
        };
        if let Some(ticket) = held {
            let mut guard = lock(&self.model);
            if guard.1.remove(&ticket).is_some() {
                guard.0.withdraw(self.now(), ticket);
                self.changed.notify_one();
            }
        }
        end
    }
}

/// Accepts on a loopback port of the system's choice, and gives each connection a thread, [`MOST`] at most.
fn accept(
    stop: &Arc<AtomicBool>,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (stop, serve, count) = (Arc::clone(stop), Arc::new(serve), Arc::new(AtomicU64::new(0)));
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let Ok(socket) = socket else { continue };
            if count.fetch_add(1, Ordering::Relaxed) >= MOST as u64 {
                count.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (serve, count) = (Arc::clone(&serve), Arc::clone(&count));
            std::thread::spawn(move || {
                let _ = serve(socket);
                count.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    Ok(address)
}

/// Stand-in executors and discovery of a scenario, on loopback, until they are dropped.
pub struct Fleet {
    pub discovery: SocketAddr,
    pub executors: Vec<SocketAddr>,
    stands: Vec<Arc<Stand>>,
    scenario: Scenario,
    stop: Arc<AtomicBool>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes those that wait for the next connection.
        for address in self.executors.iter().chain([&self.discovery]) {
            let _ = TcpStream::connect_timeout(address, Duration::from_millis(100));
        }
    }
}

impl Fleet {
    /// Starts as many as the scenario has.
    ///
    /// # Errors
    ///
    /// No address or descriptor is left.
    pub fn start(scenario: &Scenario) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let count: u32 = scenario.executors.iter().map(|e| e.count).sum();
        let (mut stands, mut executors, mut endpoints) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count as usize {
            let model = StandIn::new(scenario, index);
            let entry = json!({"name": model.name(), "zone": format!("z{}", model.zone()), "type": model.kind(),
                "group": model.group(), "status": "active", "weight": 1.0, "since_ms": 0});
            let stand = Arc::new(Stand {
                model: Mutex::new((model, HashMap::new())),
                changed: Condvar::new(),
                next: AtomicU64::new(1),
                start: Instant::now(),
                stop: Arc::clone(&stop),
            });
            let served = Arc::clone(&stand);
            let address = accept(&stop, move |socket| served.serve(socket))?;
            let timed = Arc::clone(&stand);
            std::thread::spawn(move || timed.keep_time());
            let mut entry = entry;
            entry["address"] = json!(address.to_string());
            endpoints.push(entry);
            executors.push(address);
            stands.push(stand);
        }
        let list = json!({"index": 1, "snapshot": true, "endpoints": endpoints}).to_string();
        let stopped = Arc::clone(&stop);
        let discovery = accept(&stop, move |socket| {
            socket.set_read_timeout(Some(PATIENCE))?;
            let mut reader = BufReader::new(socket.try_clone()?);
            let mut socket = socket;
            while let Some((head, _)) = message(&mut reader)? {
                if !head.contains("watch=1") {
                    let length = list.len();
                    write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}")?;
                    continue;
                }
                let length = list.len() + 1;
                write!(
                    socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{list}\n\r\n"
                )?;
                while !stopped.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_secs(1));
                    socket.write_all(b"1\r\n\n\r\n")?;
                }
            }
            Ok(())
        })?;
        Ok(Self { discovery, executors, stands, scenario: scenario.clone(), stop })
    }

    /// Begins or ends a trouble at the first executors that make up its part.
    pub fn trouble(&self, t: &Trouble, begins: bool) -> usize {
        let count = ((self.stands.len() as f64 * t.part).round() as usize).clamp(1, self.stands.len());
        for stand in &self.stands[..count] {
            let now = stand.now();
            lock(&stand.model).0.ail(now, t.kind, t.size, begins);
            stand.changed.notify_one();
        }
        count
    }

    /// Plays the scenario's troubles at their times, counted from now.
    pub fn play(self: &Arc<Self>) {
        for t in self.scenario.troubles.clone() {
            let fleet = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(t.at_s));
                fleet.trouble(&t, true);
                std::thread::sleep(Duration::from_secs_f64(t.for_s));
                fleet.trouble(&t, false);
            });
        }
    }

    /// The file that a node is started with.
    #[must_use]
    pub fn configuration(&self, name: &str, seed: u64) -> Value {
        let s = &self.scenario;
        let effect = |r: Repeats| match r {
            Repeats::Harmless => "pure",
            Repeats::Stamped => "token",
            Repeats::OneShot => "side_effect",
        };
        let products: Vec<Value> = s.products.iter().map(|p| {
            json!({"name": p.name, "agreedTimeMs": p.agreed_ms, "aimStretch": p.stretch, "cutOffMs": p.cut_off_ms,
                "effect": effect(p.repeats), "dedupScope": "cell", "memorySpanMs": p.memory_s * 1e3,
                "payoff": p.payoff, "latePayoff": p.late_payoff})
        }).collect();
        let shares: f64 = s.tenants.iter().map(|t| t.share).sum();
        let tenants: Vec<Value> = s
            .tenants
            .iter()
            .map(|t| json!({"name": t.name, "quotaPerS": s.rate() * t.share / shares.max(1e-9)}))
            .collect();
        let least = |f: &dyn Fn(&linestack_world::Executors) -> f64| {
            s.executors.iter().map(f).fold(f64::INFINITY, f64::min)
        };
        let kinds: Vec<&str> = s.executors.iter().map(|e| e.kind.as_str()).collect();
        let zones: Vec<String> = (0..s.zones).map(|z| format!("z{z}")).collect();
        let cold_s = s.executors.iter().map(|e| e.cold_s).fold(0.0, f64::max);
        let l = &s.limits;
        json!({"name": name, "seed": format!("{seed:x}"), "listen": "127.0.0.1:0",
            "discovery": self.discovery.to_string(),
            "limits": {"memory_mb": s.nodes.memory_mb, "sockets": s.nodes.sockets},
            "settings": {
                "az": 0, "balancers": s.nodes.count, "discovery": "push", "excessPayoff": l.excess_payoff,
                "deductions": {"probe": l.probe_price, "crossZone": l.crossing_price},
                "familyInfo": {"progressMs": s.progress_s * 1e3, "reportX0": "free slots", "tellsStart": false},
                "invariants": {"answerSlackMs": l.answer_slack_ms, "coldFrom": least(&|e| e.cold_from),
                    "coldMs": cold_s * 1e3, "drainGraceMs": s.rules.drain_grace_ms,
                    "fallMs": s.rules.fall_window_ms, "fallMultiple": s.rules.fall_multiple},
                "kinds": kinds, "zones": zones,
                "limits": {"cancel": l.may_cancel, "connIdleMs": least(&|e| e.idle_s) * 1e3,
                    "connectTimeoutMs": l.connect_ms, "maxExecutions": l.max_executions,
                    "maxRetryAfterMs": l.come_back_ms, "mayDuplicate": l.may_duplicate,
                    "mayProbe": l.may_probe, "retryAfter": l.come_back_ms > 0.0},
                "products": products,
                "report": {"fields": if s.reports.told { vec!["x0", "backlog", "outstanding"] } else { vec![] }},
                "tenants": tenants}})
    }
}

/// How a load goes about it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Each asks again once it is answered; or, with a rate, they take turns at a fixed pace.
    pub clients: usize,
    pub rate: Option<f64>,
    pub span: Duration,
    /// Clients begin one after the other over this time, and what is answered in it does not count.
    pub ramp: Duration,
}

/// What came of a load.
#[derive(Debug)]
pub struct Loaded {
    pub satisfied: u64,
    pub dismissed: u64,
    pub failed: u64,
    /// Connections that broke, or answers that made no sense.
    pub broken: u64,
    pub seconds: f64,
    /// Microseconds of what was satisfied. At a fixed pace they count from when a request was due, so that
    /// waiting for a slow answer before it hides nothing.
    pub times: Histogram<u64>,
}

impl Loaded {
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.satisfied as f64 / self.seconds
    }
}

/// Loads nodes, or executors directly, and returns when the time is over. Each client keeps one connection.
///
/// # Errors
///
/// An address off loopback, more than [`MOST`] clients, or no client could be started.
pub fn load(scenario: &Scenario, to: &[SocketAddr], plan: &Plan, seed: u64) -> io::Result<Loaded> {
    if to.is_empty() || to.iter().any(|a| !a.ip().is_loopback()) {
        return Err(io::Error::other("loads go to addresses on loopback only, one at least"));
    }
    if plan.clients == 0 || plan.clients > MOST {
        return Err(io::Error::other(format!("from 1 to {MOST} clients")));
    }
    let begin = Instant::now();
    let counted = begin + plan.ramp;
    let end = counted + plan.span;
    let scenario = Arc::new(scenario.clone());
    let mut threads = Vec::new();
    for client in 0..plan.clients {
        let (scenario, to, plan) = (Arc::clone(&scenario), to[client % to.len()], plan.clone());
        let thread = std::thread::Builder::new().stack_size(128 * 1024);
        threads
            .push(thread.spawn(move || one_client(&scenario, to, &plan, client, seed, begin, counted, end))?);
    }
    let mut all = Loaded {
        satisfied: 0,
        dismissed: 0,
        failed: 0,
        broken: 0,
        seconds: plan.span.as_secs_f64(),
        times: histogram(),
    };
    for thread in threads {
        let Ok(one) = thread.join() else { return Err(io::Error::other("a client ended before its time")) };
        all.satisfied += one.satisfied;
        all.dismissed += one.dismissed;
        all.failed += one.failed;
        all.broken += one.broken;
        let _ = all.times.add(&one.times);
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
    plan: &Plan,
    client: usize,
    seed: u64,
    begin: Instant,
    counted: Instant,
    end: Instant,
) -> Loaded {
    let (mut rng, times) = (Pcg64Mcg::seed_from_u64(seed ^ (client as u64) << 20), histogram());
    let mut all = Loaded { satisfied: 0, dismissed: 0, failed: 0, broken: 0, seconds: 0.0, times };
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
                socket.set_read_timeout(Some(PATIENCE))?;
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
        let answered = open.get_mut().write_all(text.as_bytes()).and_then(|()| message(open));
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
                            let _ = all.times.record(sent.elapsed().as_micros().max(1) as u64);
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

/// A real node, ended when it is dropped.
pub struct Started {
    process: Child,
    pub address: SocketAddr,
    file: PathBuf,
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Started {
    /// Starts the program at `program` with this configuration, and waits until it listens.
    ///
    /// # Errors
    ///
    /// It can't be started, or ends before it listens.
    pub fn start(program: &Path, configuration: &Value) -> io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("linestack-lab-{}-{number}.json", std::process::id()));
        std::fs::write(&file, configuration.to_string())?;
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", &file).env_remove("PROXY_LISTEN").env_remove("PROXY_DISCOVERY");
        command.env_remove("PROXY_NAME").env_remove("PROXY_LOG").stderr(Stdio::piped());
        let mut process = command.spawn()?;
        let Some(log) = process.stderr.take() else { return Err(io::Error::other("no log")) };
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let address = lines.find_map(|l| l.split_once("listen=")?.1.split(' ').next()?.parse().ok());
        std::thread::spawn(move || lines.for_each(drop));
        let Some(address) = address else {
            let _ = process.kill();
            let _ = process.wait();
            let _ = std::fs::remove_file(&file);
            return Err(io::Error::other(format!("{} ended before it listened", program.display())));
        };
        Ok(Self { process, address, file })
    }

    /// The node's program beside this one.
    ///
    /// # Errors
    ///
    /// It is not there: it wants to be built first.
    pub fn program() -> io::Result<PathBuf> {
        let path = std::env::current_exe()?.with_file_name("linestack");
        if path.exists() {
            return Ok(path);
        }
        let why = format!("{}: not there; `cargo build --release` makes it", path.display());
        Err(io::Error::other(why))
    }
}
