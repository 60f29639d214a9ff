//! Stand-in executors and a stand-in discovery on loopback.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use linestack_history::HistoryEvent;
use linestack_world::executor_model::{ExecutorModel, JobId, Offer};
use linestack_world::{FaultSpec, RepeatPolicy, Scenario};
use serde_json::{Value, json};

use crate::http::{PEER_TIMEOUT, header, read_message};
use crate::load::MAX_CLIENTS;
use crate::lock;

/// For each job that is not answered yet: the connection for its answer, and its id.
type PendingAnswers = HashMap<JobId, (TcpStream, String)>;

/// The state of a stand-in executor, shared by the threads of its connections and of its timers.
struct Executor {
    model: Mutex<(ExecutorModel, PendingAnswers)>,
    changed: Condvar,
    next_ticket: AtomicU64,
    start: Instant,
    stop: Arc<AtomicBool>,
    observer: Option<Observer>,
}

/// Receives an event for each execution that an executor accepted, for each that it dropped before it had begun, and
/// for each that exceeded its cold capacity.
pub type Observer = Arc<dyn Fn(HistoryEvent) + Send + Sync>;

impl Executor {
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64 + 1
    }

    /// Returns the load report as JSON; empty if the executor reports none.
    fn load(model: &mut ExecutorModel, now: u64) -> String {
        model.report(now).map_or(String::new(), |r| {
            let value = |f: Option<f32>| f.unwrap_or(0.0);
            let (x0, queue, inflight) = (value(r.free_slots), value(r.queued_jobs), value(r.active_jobs));
            format!("{{\"x0\":{x0},\"queue\":{queue},\"inflight\":{inflight}}}")
        })
    }

    /// Returns a whole answer with the state of a job.
    fn answer(model: &mut ExecutorModel, now: u64, id: &str, state: &str) -> String {
        let load = Self::load(model, now);
        let load = if load.is_empty() { load } else { format!(",\"load\":{load}") };
        let (from, result) = (model.name(), if state == "done" { ",\"result\":\"ok\"" } else { "" });
        let line = format!("{{\"id\":\"{id}\",\"from\":\"{from}\",\"state\":\"{state}\"{result}{load}}}\n");
        let length = line.len();
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{line}\r\n0\r\n\r\n")
    }

    /// Answers jobs when they are done, until the stand-in stops.
    fn run_timers(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            let mut guard = lock(&self.model);
            let now = self.now();
            let (done, next) = guard.0.advance(now);
            let mut answers = Vec::with_capacity(done.len());
            for ticket in done {
                if let Some((socket, id)) = guard.1.remove(&ticket) {
                    let answer = Self::answer(&mut guard.0, now, &id, "done");
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
        socket.set_read_timeout(Some(PEER_TIMEOUT))?;
        socket.set_write_timeout(Some(PEER_TIMEOUT))?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut socket = socket;
        let mut pending = None;
        let end = loop {
            let (head, body) = match read_message(&mut reader) {
                Ok(Some(message)) => message,
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            };
            if head.starts_with("GET") {
                let mut guard = lock(&self.model);
                if guard.0.is_responsive() {
                    let load = Self::load(&mut guard.0, self.now());
                    drop(guard);
                    let length = load.len();
                    write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{load}")?;
                }
                continue;
            }
            let id = header(&head, "req-id").unwrap_or("").to_owned();
            let kind = header(&head, "req-kind").unwrap_or("").to_owned();
            let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
            let mut guard = lock(&self.model);
            let now = self.now();
            let answer = match guard.0.offer(now, ticket, &kind) {
                Offer::Queued => {
                    if let Some(observer) = &self.observer {
                        let (executor, key) = (guard.0.name().to_owned(), String::from_utf8_lossy(&body));
                        if guard.0.record_cold_job(now, &kind) {
                            observer(HistoryEvent::PushedOver { executor: executor.clone() });
                        }
                        observer(HistoryEvent::Took { id: id.clone(), key: key.into_owned(), executor });
                    }
                    guard.1.insert(ticket, (socket.try_clone()?, id));
                    pending = Some(ticket);
                    None
                }
                Offer::Lost => None,
                Offer::Overloaded => Some(Self::answer(&mut guard.0, now, &id, "returned")),
                Offer::Failed => Some(Self::answer(&mut guard.0, now, &id, "failed")),
            };
            drop(guard);
            match answer {
                Some(answer) => socket.write_all(answer.as_bytes())?,
                None => self.changed.notify_one(),
            }
        };
        if let Some(ticket) = pending {
            let mut guard = lock(&self.model);
            if let Some((_, id)) = guard.1.remove(&ticket) {
                let unbegun = guard.0.cancel(self.now(), ticket);
                if let Some(observer) = self.observer.as_ref().filter(|_| unbegun) {
                    observer(HistoryEvent::Unbegun { id });
                }
                self.changed.notify_one();
            }
        }
        end
    }
}

/// Listens on a loopback port that the system chooses, and serves each connection in its own thread, at most
/// [`MAX_CLIENTS`] at a time.
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
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_CLIENTS as u64 {
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

/// The stand-in executors and discovery of a scenario, which run on loopback until this is dropped.
pub struct StandInFleet {
    /// The address of the first discovery, whose list has the executors' own addresses.
    pub discovery: SocketAddr,
    /// The address of each executor.
    pub executors: Vec<SocketAddr>,
    states: Vec<Arc<Executor>>,
    scenario: Scenario,
    stop: Arc<AtomicBool>,
    executor_list: Arc<ExecutorList>,
    /// The addresses of all discoveries.
    discoveries: Mutex<Vec<SocketAddr>>,
    /// The number of requests for the list so far.
    pub list_calls: Arc<AtomicU64>,
}

/// The state of discovery: the current version, and each entry of the list with the version of its last change.
struct ExecutorList {
    entries: Mutex<(u64, Vec<(u64, Value)>)>,
    changed: Condvar,
    /// The time that a request takes, and when the next one can begin: discovery serves requests one at a time.
    request_queue: Mutex<(Duration, Instant)>,
}

/// A request that would wait longer is rejected with 503.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(1);

impl ExecutorList {
    /// Returns the current version and all entries that changed after the given one, with the addresses that the
    /// node is to use.
    fn since(&self, after: u64, addresses: &[SocketAddr]) -> (u64, Vec<Value>) {
        let entries = lock(&self.entries);
        let changed = entries.1.iter().zip(addresses).filter(|((at, _), _)| *at > after);
        let visible = changed.map(|((_, entry), address)| {
            let mut entry = entry.clone();
            entry["address"] = json!(address.to_string());
            entry
        });
        (entries.0, visible.collect())
    }

    /// Changes an entry under a new version and wakes the watches.
    fn change(&self, place: usize, change: impl FnOnce(&mut Value)) {
        let mut entries = lock(&self.entries);
        entries.0 += 1;
        let version = entries.0;
        if let Some(line) = entries.1.get_mut(place) {
            change(&mut line.1);
            line.0 = version;
        }
        drop(entries);
        self.changed.notify_all();
    }

    /// Waits until a request has been served. Returns false if it would have to wait too long for its turn.
    fn wait_for_turn(&self) -> bool {
        let mut queue = lock(&self.request_queue);
        let at = queue.1.max(Instant::now());
        let wait = at.saturating_duration_since(Instant::now());
        if wait > MAX_QUEUE_DELAY {
            return false;
        }
        queue.1 = at + queue.0;
        let wait = wait + queue.0;
        drop(queue);
        std::thread::sleep(wait);
        true
    }
}

impl Drop for StandInFleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes the threads that wait for the next connection.
        for address in self.executors.iter().chain(lock(&self.discoveries).iter()) {
            let _ = TcpStream::connect_timeout(address, Duration::from_millis(100));
        }
    }
}

impl StandInFleet {
    /// Starts the executors of the scenario and discovery.
    ///
    /// # Errors
    ///
    /// The system has no address or descriptor left.
    pub fn start(scenario: &Scenario) -> io::Result<Self> {
        Self::start_observed(scenario, None)
    }

    /// Starts a fleet as [`StandInFleet::start`] does, with an observer of the executors.
    ///
    /// # Errors
    ///
    /// The system has no address or descriptor left.
    pub fn start_observed(scenario: &Scenario, observer: Option<Observer>) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let count: u32 = scenario.executors.iter().map(|e| e.count).sum();
        let (mut states, mut executors, mut endpoints) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count as usize {
            let model = ExecutorModel::new(scenario, index);
            let entry = json!({"name": model.name(), "zone": format!("z{}", model.zone()), "type": model.kind(),
                "group": model.group(), "status": "active", "weight": 1.0, "since_ms": 0});
            let executor = Arc::new(Executor {
                model: Mutex::new((model, HashMap::new())),
                changed: Condvar::new(),
                next_ticket: AtomicU64::new(1),
                start: Instant::now(),
                stop: Arc::clone(&stop),
                observer: observer.clone(),
            });
            let serving = Arc::clone(&executor);
            let address = accept(&stop, move |socket| serving.serve(socket))?;
            let timed = Arc::clone(&executor);
            std::thread::spawn(move || timed.run_timers());
            let mut entry = entry;
            entry["address"] = json!(address.to_string());
            endpoints.push(entry);
            executors.push(address);
            states.push(executor);
        }
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let executor_list = ExecutorList {
            entries: Mutex::new((1, endpoints.into_iter().map(|entry| (1, entry)).collect())),
            changed: Condvar::new(),
            request_queue: Mutex::new((Duration::ZERO, Instant::now())),
        };
        let mut fleet = Self {
            discovery: nowhere,
            executors,
            states,
            scenario: scenario.clone(),
            stop,
            executor_list: Arc::new(executor_list),
            discoveries: Mutex::default(),
            list_calls: Arc::default(),
        };
        fleet.discovery = fleet.discovery_with(&fleet.executors.clone())?;
        Ok(fleet)
    }

    /// Starts a discovery whose list has these addresses in place of the executors' own, and returns its address.
    ///
    /// # Errors
    ///
    /// The system has no address left.
    pub fn discovery_with(&self, addresses: &[SocketAddr]) -> io::Result<SocketAddr> {
        let (executor_list, addresses) = (Arc::clone(&self.executor_list), addresses.to_vec());
        let stop = Arc::clone(&self.stop);
        let calls = Arc::clone(&self.list_calls);
        let discovery = accept(&self.stop, move |socket| {
            socket.set_read_timeout(Some(PEER_TIMEOUT))?;
            let mut reader = BufReader::new(socket.try_clone()?);
            let mut socket = socket;
            while let Some((head, _)) = read_message(&mut reader)? {
                calls.fetch_add(1, Ordering::Relaxed);
                if !executor_list.wait_for_turn() {
                    socket
                        .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
                    break;
                }
                let after =
                    head.split_once("&after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
                let (mut version, entries) = executor_list.since(after.unwrap_or(0), &addresses);
                let message = |version: u64, whole: bool, entries: Vec<Value>| {
                    json!({"index": version, "snapshot": whole, "endpoints": entries}).to_string()
                };
                let first = message(version, after.is_none(), entries);
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
                while !stop.load(Ordering::Relaxed) {
                    let current = lock(&executor_list.entries);
                    if current.0 == version {
                        drop(executor_list.changed.wait_timeout(current, Duration::from_secs(1)));
                    } else {
                        drop(current);
                    }
                    let (newer, entries) = executor_list.since(version, &addresses);
                    version = newer;
                    let line =
                        if entries.is_empty() { String::new() } else { message(version, false, entries) };
                    write!(socket, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
                }
            }
            Ok(())
        })?;
        lock(&self.discoveries).push(discovery);
        Ok(discovery)
    }

    /// Sets the time that discovery takes for each request for the list. Requests are served one at a time.
    pub fn set_list_delay(&self, delay: Duration) {
        lock(&self.executor_list.request_queue).0 = delay;
    }

    /// Replaces an executor's process by a cold one without active jobs. Connections over a proxied link are left for
    /// the caller to break.
    pub fn replace_executor(&self, place: usize) {
        let Some(executor) = self.states.get(place) else { return };
        let mut guard = lock(&executor.model);
        let mut model = ExecutorModel::new(&self.scenario, place);
        model.mark_started(executor.now());
        guard.0 = model;
        for (socket, _) in guard.1.drain().map(|(_, pending)| pending) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
        drop(guard);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.executor_list.change(place, |line| line["since_ms"] = json!(unix.as_secs_f64() * 1e3));
    }

    /// Sets the status that discovery reports for an executor: `active`, `draining` or `left`.
    pub fn set_status(&self, place: usize, status: &str) {
        self.executor_list.change(place, |line| line["status"] = json!(status));
    }

    /// Begins or ends a fault at one executor.
    pub fn set_executor_fault(&self, place: usize, kind: linestack_world::Fault, size: f64, begins: bool) {
        let Some(executor) = self.states.get(place) else { return };
        let now = executor.now();
        lock(&executor.model).0.set_fault(now, kind, size, begins);
        executor.changed.notify_one();
    }

    /// Begins or ends a fault at the first executors that make up its share of the fleet. Returns their number.
    pub fn set_fault(&self, t: &FaultSpec, begins: bool) -> usize {
        let count = ((self.states.len() as f64 * t.part).round() as usize).clamp(1, self.states.len());
        (0..count).for_each(|place| self.set_executor_fault(place, t.kind, t.size, begins));
        count
    }

    /// Carries out the scenario's faults at their times, counted from now.
    pub fn run_faults(self: &Arc<Self>) {
        for t in self.scenario.faults.clone() {
            let fleet = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(t.at_s));
                fleet.set_fault(&t, true);
                std::thread::sleep(Duration::from_secs_f64(t.for_s));
                fleet.set_fault(&t, false);
            });
        }
    }

    /// Returns the configuration file of a node.
    #[must_use]
    pub fn configuration(&self, name: &str, seed: u64) -> Value {
        let s = &self.scenario;
        let effect = |r: RepeatPolicy| match r {
            RepeatPolicy::Idempotent => "pure",
            RepeatPolicy::Stamped => "token",
            RepeatPolicy::OneShot => "side_effect",
        };
        let products: Vec<Value> = s.products.iter().map(|p| {
            json!({"name": p.name, "agreedTimeMs": p.latency_target_ms, "aimStretch": p.latency_target_factor, "cutOffMs": p.deadline_ms,
                "effect": effect(p.repeats), "dedupScope": "cell", "memorySpanMs": p.dedup_window_s * 1e3,
                "payoff": p.payoff, "latePayoff": p.late_payoff})
        }).collect();
        let total_share: f64 = s.tenants.iter().map(|t| t.share).sum();
        let tenants: Vec<Value> = s
            .tenants
            .iter()
            .map(|t| json!({"name": t.name, "quotaPerS": s.rate() * t.share / total_share.max(1e-9)}))
            .collect();
        let minimum = |f: &dyn Fn(&linestack_world::Executors) -> f64| {
            s.executors.iter().map(f).fold(f64::INFINITY, f64::min)
        };
        let kinds: Vec<&str> = s.executors.iter().map(|e| e.kind.as_str()).collect();
        let zones: Vec<String> = (0..s.zones).map(|z| format!("z{z}")).collect();
        let cold_s = s.executors.iter().map(|e| e.cold_s).fold(0.0, f64::max);
        let limits = &s.limits;
        json!({"name": name, "seed": format!("{seed:x}"), "listen": "127.0.0.1:0",
            "discovery": self.discovery.to_string(),
            "limits": {"memory_mb": s.nodes.memory_mb, "sockets": s.nodes.sockets},
            "settings": {
                "az": 0, "balancers": s.nodes.count, "discovery": "push", "excessPayoff": limits.excess_payoff,
                "deductions": {"probe": limits.probe_cost, "crossZone": limits.zone_crossing_cost},
                "familyInfo": {"progressMs": s.progress_s * 1e3, "reportX0": "free slots", "tellsStart": false},
                "invariants": {"answerSlackMs": limits.deadline_margin_ms, "coldFrom": minimum(&|e| e.cold_capacity_share),
                    "coldMs": cold_s * 1e3, "drainGraceMs": s.rules.drain_grace_ms,
                    "fallMs": s.rules.overload_window_ms, "fallMultiple": s.rules.overload_factor},
                "kinds": kinds, "zones": zones,
                "limits": {"cancel": limits.may_cancel, "connIdleMs": minimum(&|e| e.idle_s) * 1e3,
                    "connectTimeoutMs": limits.connect_ms, "maxExecutions": limits.max_executions,
                    "maxRetryAfterMs": limits.max_retry_after_ms, "mayDuplicate": limits.may_duplicate,
                    "mayProbe": limits.may_probe, "retryAfter": limits.max_retry_after_ms > 0.0},
                "products": products,
                "report": {"fields": if s.reports.enabled { vec!["x0", "backlog", "outstanding"] } else { vec![] }},
                "tenants": tenants}})
    }
}
