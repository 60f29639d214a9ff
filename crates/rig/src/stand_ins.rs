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

/// The longest time for which an executor's timer thread sleeps before it checks whether the stand-in stops.
const MAX_TIMER_WAIT_NS: u64 = 100_000_000;
/// The shortest time for which an executor's timer thread sleeps when no job is done.
const MIN_TIMER_WAIT_NS: u64 = 20_000;

/// The time limit for the connection that wakes a listening thread when the stand-ins are dropped.
const WAKE_TIMEOUT: Duration = Duration::from_millis(100);

/// The longest time for which a watch of discovery sleeps before it writes an empty line, or stops.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A job that is not answered yet.
struct PendingAnswer {
    /// The connection for the answer.
    socket: TcpStream,
    /// The id of the request.
    id: String,
}

/// The model of an executor, and the answers that it owes.
struct ExecutorState {
    model: ExecutorModel,
    pending: HashMap<JobId, PendingAnswer>,
}

/// A stand-in executor, shared by the threads of its connections and its timer thread.
struct Executor {
    state: Mutex<ExecutorState>,
    /// Notified when a job was offered or cancelled, or a fault changed.
    changed: Condvar,
    next_job: AtomicU64,
    start: Instant,
    stop: Arc<AtomicBool>,
    observer: Option<Observer>,
}

/// Receives an event for each execution that an executor accepted, for each that it dropped before it had begun, and
/// for each that overloaded it while it was cold.
pub type Observer = Arc<dyn Fn(HistoryEvent) + Send + Sync>;

impl Executor {
    /// Returns the time in nanoseconds on the clock of the model, which is never 0.
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

    /// Returns the text of an HTTP response with the state of a job.
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
            let mut guard = lock(&self.state);
            let now = self.now();
            let (done, next) = guard.model.advance(now);
            let mut answers = Vec::with_capacity(done.len());
            for job in done {
                if let Some(PendingAnswer { socket, id }) = guard.pending.remove(&job) {
                    let answer = Self::answer(&mut guard.model, now, &id, "done");
                    answers.push((socket, answer));
                }
            }
            if answers.is_empty() {
                let wait = next.map_or(MAX_TIMER_WAIT_NS, |at| at.saturating_sub(now));
                let wait = wait.clamp(MIN_TIMER_WAIT_NS, MAX_TIMER_WAIT_NS);
                drop(self.changed.wait_timeout(guard, Duration::from_nanos(wait)));
            } else {
                drop(guard);
                for (mut socket, answer) in answers {
                    let _ = socket.write_all(answer.as_bytes());
                }
            }
        }
    }

    /// Serves the requests of a connection one after the other. A job whose connection ends before its answer is
    /// cancelled.
    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(PEER_TIMEOUT))?;
        socket.set_write_timeout(Some(PEER_TIMEOUT))?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut socket = socket;
        let mut last_queued = None;
        let end = loop {
            let (head, body) = match read_message(&mut reader) {
                Ok(Some(message)) => message,
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            };
            if head.starts_with("GET") {
                let mut guard = lock(&self.state);
                if guard.model.is_responsive() {
                    let load = Self::load(&mut guard.model, self.now());
                    drop(guard);
                    let length = load.len();
                    write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{load}")?;
                }
                continue;
            }
            let id = header(&head, "req-id").unwrap_or("").to_owned();
            let product = header(&head, "req-kind").unwrap_or("").to_owned();
            let job = self.next_job.fetch_add(1, Ordering::Relaxed);
            let mut guard = lock(&self.state);
            let now = self.now();
            let answer = match guard.model.offer(now, job, &product) {
                Offer::Queued => {
                    if let Some(observer) = &self.observer {
                        let (executor, key) = (guard.model.name().to_owned(), String::from_utf8_lossy(&body));
                        if guard.model.record_cold_job(now, &product) {
                            observer(HistoryEvent::PushedOver { executor: executor.clone() });
                        }
                        observer(HistoryEvent::Took { id: id.clone(), key: key.into_owned(), executor });
                    }
                    guard.pending.insert(job, PendingAnswer { socket: socket.try_clone()?, id });
                    last_queued = Some(job);
                    None
                }
                Offer::Lost => None,
                Offer::Overloaded => Some(Self::answer(&mut guard.model, now, &id, "returned")),
                Offer::Failed => Some(Self::answer(&mut guard.model, now, &id, "failed")),
            };
            drop(guard);
            match answer {
                Some(answer) => socket.write_all(answer.as_bytes())?,
                None => self.changed.notify_one(),
            }
        };
        if let Some(job) = last_queued {
            let mut guard = lock(&self.state);
            if let Some(PendingAnswer { id, .. }) = guard.pending.remove(&job) {
                let unbegun = guard.model.cancel(self.now(), job);
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
fn listen_and_serve(
    stop: &Arc<AtomicBool>,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (stop, serve, open) = (Arc::clone(stop), Arc::new(serve), Arc::new(AtomicU64::new(0)));
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let Ok(socket) = socket else { continue };
            if open.fetch_add(1, Ordering::Relaxed) >= MAX_CLIENTS as u64 {
                open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (serve, open) = (Arc::clone(&serve), Arc::clone(&open));
            std::thread::spawn(move || {
                let _ = serve(socket);
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    Ok(address)
}

/// The stand-in executors and discovery of a scenario, which run on loopback until this is dropped.
pub struct StandInFleet {
    /// The address of the first discovery server, whose list has the executors' own addresses.
    pub discovery: SocketAddr,
    /// The address of each executor.
    pub executors: Vec<SocketAddr>,
    stand_ins: Vec<Arc<Executor>>,
    scenario: Scenario,
    stop: Arc<AtomicBool>,
    executor_list: Arc<ExecutorList>,
    /// The addresses of all discovery servers.
    discoveries: Mutex<Vec<SocketAddr>>,
    /// The number of requests for the list so far.
    pub list_calls: Arc<AtomicU64>,
}

/// The list of executors, shared by all discovery servers of a fleet.
struct ExecutorList {
    list: Mutex<VersionedList>,
    /// Notified when the list changes.
    changed: Condvar,
    request_queue: Mutex<RequestQueue>,
}

/// The entries of the list. Each change has a version of its own.
struct VersionedList {
    version: u64,
    entries: Vec<VersionedEntry>,
}

/// An entry of the list, and the version of its last change.
struct VersionedEntry {
    version: u64,
    /// The entry as discovery writes it, with the executor's own address.
    json: Value,
}

/// Requests for the list, which are served one at a time.
struct RequestQueue {
    /// The time that each request takes.
    service_time: Duration,
    /// When the last waiting request will have been served.
    free_at: Instant,
}

/// A request for the list that would have to wait longer for its turn is rejected with status 503.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(1);

impl ExecutorList {
    /// Returns the current version and all entries that changed after version `after`, with these addresses in place
    /// of the executors' own.
    fn changes_after(&self, after: u64, addresses: &[SocketAddr]) -> (u64, Vec<Value>) {
        let list = lock(&self.list);
        let changed = list.entries.iter().zip(addresses).filter(|(entry, _)| entry.version > after);
        let with_addresses = changed.map(|(entry, address)| {
            let mut json = entry.json.clone();
            json["address"] = json!(address.to_string());
            json
        });
        (list.version, with_addresses.collect())
    }

    /// Changes the entry of an executor under a new version and wakes the watches.
    fn change(&self, executor: usize, change: impl FnOnce(&mut Value)) {
        let mut list = lock(&self.list);
        list.version += 1;
        let version = list.version;
        if let Some(entry) = list.entries.get_mut(executor) {
            change(&mut entry.json);
            entry.version = version;
        }
        drop(list);
        self.changed.notify_all();
    }

    /// Waits for the turn of a request, and for the time that it takes. Returns false at once if its turn would come
    /// too late.
    fn wait_until_served(&self) -> bool {
        let mut queue = lock(&self.request_queue);
        let begins_at = queue.free_at.max(Instant::now());
        let wait = begins_at.saturating_duration_since(Instant::now());
        if wait > MAX_QUEUE_DELAY {
            return false;
        }
        queue.free_at = begins_at + queue.service_time;
        let wait = wait + queue.service_time;
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
            let _ = TcpStream::connect_timeout(address, WAKE_TIMEOUT);
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
        let (mut stand_ins, mut executors, mut endpoints) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count as usize {
            let model = ExecutorModel::new(scenario, index);
            let entry = json!({"name": model.name(), "zone": format!("z{}", model.zone()), "type": model.kind(),
                "group": model.group(), "status": "active", "weight": 1.0, "since_ms": 0});
            let executor = Arc::new(Executor {
                state: Mutex::new(ExecutorState { model, pending: HashMap::new() }),
                changed: Condvar::new(),
                next_job: AtomicU64::new(1),
                start: Instant::now(),
                stop: Arc::clone(&stop),
                observer: observer.clone(),
            });
            let serving = Arc::clone(&executor);
            let address = listen_and_serve(&stop, move |socket| serving.serve(socket))?;
            let timed = Arc::clone(&executor);
            std::thread::spawn(move || timed.run_timers());
            let mut entry = entry;
            entry["address"] = json!(address.to_string());
            endpoints.push(entry);
            executors.push(address);
            stand_ins.push(executor);
        }
        let first_version = |json: Value| VersionedEntry { version: 1, json };
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let executor_list = ExecutorList {
            list: Mutex::new(VersionedList {
                version: 1,
                entries: endpoints.into_iter().map(first_version).collect(),
            }),
            changed: Condvar::new(),
            request_queue: Mutex::new(RequestQueue { service_time: Duration::ZERO, free_at: Instant::now() }),
        };
        let mut fleet = Self {
            discovery: unset,
            executors,
            stand_ins,
            scenario: scenario.clone(),
            stop,
            executor_list: Arc::new(executor_list),
            discoveries: Mutex::default(),
            list_calls: Arc::default(),
        };
        fleet.discovery = fleet.discovery_with(&fleet.executors.clone())?;
        Ok(fleet)
    }

    /// Starts a discovery server whose list has these addresses in place of the executors' own. Returns its address.
    ///
    /// # Errors
    ///
    /// The system has no address left.
    pub fn discovery_with(&self, addresses: &[SocketAddr]) -> io::Result<SocketAddr> {
        let (executor_list, addresses) = (Arc::clone(&self.executor_list), addresses.to_vec());
        let stop = Arc::clone(&self.stop);
        let calls = Arc::clone(&self.list_calls);
        let discovery = listen_and_serve(&self.stop, move |socket| {
            socket.set_read_timeout(Some(PEER_TIMEOUT))?;
            let mut reader = BufReader::new(socket.try_clone()?);
            let mut socket = socket;
            while let Some((head, _)) = read_message(&mut reader)? {
                calls.fetch_add(1, Ordering::Relaxed);
                if !executor_list.wait_until_served() {
                    socket
                        .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
                    break;
                }
                let after =
                    head.split_once("&after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
                let (mut version, entries) = executor_list.changes_after(after.unwrap_or(0), &addresses);
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
                    let current = lock(&executor_list.list);
                    if current.version == version {
                        drop(executor_list.changed.wait_timeout(current, HEARTBEAT_INTERVAL));
                    } else {
                        drop(current);
                    }
                    let (newer, entries) = executor_list.changes_after(version, &addresses);
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
        lock(&self.executor_list.request_queue).service_time = delay;
    }

    /// Replaces an executor's process by a cold one without active jobs. Connections over a proxied link are left for
    /// the caller to break.
    pub fn replace_executor(&self, index: usize) {
        let Some(executor) = self.stand_ins.get(index) else { return };
        let mut guard = lock(&executor.state);
        let mut model = ExecutorModel::new(&self.scenario, index);
        model.mark_started(executor.now());
        guard.model = model;
        for PendingAnswer { socket, .. } in guard.pending.drain().map(|(_, pending)| pending) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
        drop(guard);
        let since_epoch =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.executor_list.change(index, |entry| entry["since_ms"] = json!(since_epoch.as_secs_f64() * 1e3));
    }

    /// Sets the status that discovery reports for an executor: `active`, `draining` or `left`.
    pub fn set_status(&self, index: usize, status: &str) {
        self.executor_list.change(index, |entry| entry["status"] = json!(status));
    }

    /// Begins or ends a fault at one executor.
    pub fn set_executor_fault(&self, index: usize, kind: linestack_world::Fault, size: f64, begins: bool) {
        let Some(executor) = self.stand_ins.get(index) else { return };
        let now = executor.now();
        lock(&executor.state).model.set_fault(now, kind, size, begins);
        executor.changed.notify_one();
    }

    /// Begins or ends a fault at the first executors that make up its share of the fleet. Returns their number.
    pub fn set_fault(&self, fault: &FaultSpec, begins: bool) -> usize {
        let count =
            ((self.stand_ins.len() as f64 * fault.part).round() as usize).clamp(1, self.stand_ins.len());
        (0..count).for_each(|index| self.set_executor_fault(index, fault.kind, fault.size, begins));
        count
    }

    /// Begins and ends the scenario's faults at their times, counted from now, in threads of their own.
    pub fn run_faults(self: &Arc<Self>) {
        for fault in self.scenario.faults.clone() {
            let fleet = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(fault.at_s));
                fleet.set_fault(&fault, true);
                std::thread::sleep(Duration::from_secs_f64(fault.for_s));
                fleet.set_fault(&fault, false);
            });
        }
    }

    /// Returns the content of a node's configuration file. `seed` is the seed of its dispatch decisions.
    #[must_use]
    pub fn configuration(&self, name: &str, seed: u64) -> Value {
        let s = &self.scenario;
        let effect = |policy: RepeatPolicy| match policy {
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
