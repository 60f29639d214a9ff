//! Stand-in executors and discovery on loopback.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use linestack_history::HistoryEvent;
use linestack_world::standin::{Offer, StandIn, Ticket};
use linestack_world::{Repeats, Scenario, Trouble};
use serde_json::{Value, json};

use crate::http::{PATIENCE, header, message};
use crate::load::MOST;
use crate::lock;

/// Where the answer to each job that is held goes, and the id that it names.
type Waiting = HashMap<Ticket, (TcpStream, String)>;

/// A stand-in executor's state, shared by its connections and its clock.
struct Stand {
    model: Mutex<(StandIn, Waiting)>,
    changed: Condvar,
    next: AtomicU64,
    start: Instant,
    stop: Arc<AtomicBool>,
    seen: Option<Observer>,
}

/// Told of each execution that an executor took, and of each that it dropped before it had begun.
pub type Observer = Arc<dyn Fn(HistoryEvent) + Send + Sync>;

impl Stand {
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64 + 1
    }

    fn load(model: &mut StandIn, now: u64) -> String {
        model.report(now).map_or(String::new(), |r| {
            let figure = |f: Option<f32>| f.unwrap_or(0.0);
            let (x0, queue, inflight) = (figure(r.free_slots), figure(r.queued_jobs), figure(r.active_jobs));
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
            let (head, body) = match message(&mut reader) {
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
                    if let Some(seen) = &self.seen {
                        let (executor, key) = (guard.0.name().to_owned(), String::from_utf8_lossy(&body));
                        if guard.0.pushed_over(now, &kind) {
                            seen(HistoryEvent::PushedOver { executor: executor.clone() });
                        }
                        seen(HistoryEvent::Took { id: id.clone(), key: key.into_owned(), executor });
                    }
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
            if let Some((_, id)) = guard.1.remove(&ticket) {
                let unbegun = guard.0.withdraw(self.now(), ticket);
                if let Some(seen) = self.seen.as_ref().filter(|_| unbegun) {
                    seen(HistoryEvent::Unbegun { id });
                }
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
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where each executor listens.
    pub executors: Vec<SocketAddr>,
    stands: Vec<Arc<Stand>>,
    scenario: Scenario,
    stop: Arc<AtomicBool>,
    board: Arc<Board>,
    /// Where lists are told.
    lists: Mutex<Vec<SocketAddr>>,
    /// How often a list was asked for.
    pub list_calls: Arc<AtomicU64>,
}

/// What discovery knows: the lines of the list, and with which version each changed last.
struct Board {
    lines: Mutex<(u64, Vec<(u64, Value)>)>,
    changed: Condvar,
    /// What a call takes, and when the next one is looked at: discovery does one after the other.
    each: Mutex<(Duration, Instant)>,
}

/// A call that would wait longer is turned away.
const QUEUED: Duration = Duration::from_secs(1);

impl Board {
    /// All lines that changed after this version, with addresses as one node is to see them.
    fn since(&self, after: u64, addresses: &[SocketAddr]) -> (u64, Vec<Value>) {
        let lines = lock(&self.lines);
        let named = lines.1.iter().zip(addresses).filter(|((at, _), _)| *at > after);
        let lines_of = named.map(|((_, line), address)| {
            let mut line = line.clone();
            line["address"] = json!(address.to_string());
            line
        });
        (lines.0, lines_of.collect())
    }

    fn change(&self, place: usize, change: impl FnOnce(&mut Value)) {
        let mut lines = lock(&self.lines);
        lines.0 += 1;
        let version = lines.0;
        if let Some(line) = lines.1.get_mut(place) {
            change(&mut line.1);
            line.0 = version;
        }
        drop(lines);
        self.changed.notify_all();
    }

    /// Waits until a call's turn has come. False if there are too many before it.
    fn turn(&self) -> bool {
        let mut each = lock(&self.each);
        let at = each.1.max(Instant::now());
        let wait = at.saturating_duration_since(Instant::now());
        if wait > QUEUED {
            return false;
        }
        each.1 = at + each.0;
        let wait = wait + each.0;
        drop(each);
        std::thread::sleep(wait);
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes those that wait for the next connection.
        for address in self.executors.iter().chain(lock(&self.lists).iter()) {
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
        Self::start_seen(scenario, None)
    }

    /// As [`Fleet::start`], with somebody who is told what executors take.
    ///
    /// # Errors
    ///
    /// As there.
    pub fn start_seen(scenario: &Scenario, seen: Option<Observer>) -> io::Result<Self> {
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
                seen: seen.clone(),
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
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let board = Board {
            lines: Mutex::new((1, endpoints.into_iter().map(|line| (1, line)).collect())),
            changed: Condvar::new(),
            each: Mutex::new((Duration::ZERO, Instant::now())),
        };
        let mut fleet = Self {
            discovery: nowhere,
            executors,
            stands,
            scenario: scenario.clone(),
            stop,
            board: Arc::new(board),
            lists: Mutex::default(),
            list_calls: Arc::default(),
        };
        fleet.discovery = fleet.discovery_with(&fleet.executors.clone())?;
        Ok(fleet)
    }

    /// A discovery whose list names these addresses in place of the executors' own.
    ///
    /// # Errors
    ///
    /// No address is left.
    pub fn discovery_with(&self, addresses: &[SocketAddr]) -> io::Result<SocketAddr> {
        let (board, addresses) = (Arc::clone(&self.board), addresses.to_vec());
        let stopped = Arc::clone(&self.stop);
        let calls = Arc::clone(&self.list_calls);
        let discovery = accept(&self.stop, move |socket| {
            socket.set_read_timeout(Some(PATIENCE))?;
            let mut reader = BufReader::new(socket.try_clone()?);
            let mut socket = socket;
            while let Some((head, _)) = message(&mut reader)? {
                calls.fetch_add(1, Ordering::Relaxed);
                if !board.turn() {
                    socket
                        .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
                    break;
                }
                let after =
                    head.split_once("&after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
                let (mut version, lines) = board.since(after.unwrap_or(0), &addresses);
                let list = |version: u64, whole: bool, lines: Vec<Value>| {
                    json!({"index": version, "snapshot": whole, "endpoints": lines}).to_string()
                };
                let first = list(version, after.is_none(), lines);
                if !head.contains("watch=1") {
                    let length = first.len();
                    write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{first}")?;
                    continue;
                }
                let length = first.len() + 1;
                write!(
                    socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{first}\n\r\n"
                )?;
                while !stopped.load(Ordering::Relaxed) {
                    let known = lock(&board.lines);
                    if known.0 == version {
                        drop(board.changed.wait_timeout(known, Duration::from_secs(1)));
                    } else {
                        drop(known);
                    }
                    let (newer, lines) = board.since(version, &addresses);
                    version = newer;
                    let line = if lines.is_empty() { String::new() } else { list(version, false, lines) };
                    write!(socket, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
                }
            }
            Ok(())
        })?;
        lock(&self.lists).push(discovery);
        Ok(discovery)
    }

    /// From now on each call for the list takes so long, one after the other.
    pub fn overbook(&self, each: Duration) {
        lock(&self.board.each).0 = each;
    }

    /// An executor's process is another from now on, cold and with nothing in hand. Its connections are for whoever
    /// has the ways to break.
    pub fn renew(&self, place: usize) {
        let Some(stand) = self.stands.get(place) else { return };
        let mut guard = lock(&stand.model);
        let mut model = StandIn::new(&self.scenario, place);
        model.begun(stand.now());
        guard.0 = model;
        for (socket, _) in guard.1.drain().map(|(_, held)| held) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
        drop(guard);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.board.change(place, |line| line["since_ms"] = json!(unix.as_secs_f64() * 1e3));
    }

    /// Discovery tells this of an executor from now on: `active`, `draining`, `left`.
    pub fn tell(&self, place: usize, status: &str) {
        self.board.change(place, |line| line["status"] = json!(status));
    }

    /// Begins or ends a trouble at one executor.
    pub fn ail(&self, place: usize, kind: linestack_world::Fault, size: f64, begins: bool) {
        let Some(stand) = self.stands.get(place) else { return };
        let now = stand.now();
        lock(&stand.model).0.ail(now, kind, size, begins);
        stand.changed.notify_one();
    }

    /// Begins or ends a trouble at the first executors that make up its part.
    pub fn trouble(&self, t: &Trouble, begins: bool) -> usize {
        let count = ((self.stands.len() as f64 * t.part).round() as usize).clamp(1, self.stands.len());
        (0..count).for_each(|place| self.ail(place, t.kind, t.size, begins));
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
