//! Plays a plan: starts the processes, does what is planned, collects the histories, and has them judged.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, Read as _, Seek as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use linestack_history::{Line, What, read};
use linestack_world::{Executors, Product, Repeats, Scenario, Tenant};
use rustix::process::Signal;
use serde::Serialize;
use serde_json::{Value, json};

use crate::check::{Finding, Promise, check, doubled};
use crate::clients;
use crate::link::{FrameFault, Link, Side};
use crate::plan::{DOWN, Deed, Plan, SPEAKER, Starts, Step, meant};
use crate::process::{PATIENCE, Process, copy};
use crate::stand::Fleet;
use crate::{lock, monotonic};

/// How often logs and histories are looked at for what a step waits for.
const LOOK: Duration = Duration::from_millis(2);
/// Drift that clocks are allowed, and what a busy machine adds to every bound, in nanoseconds.
const MACHINE: u64 = 250_000_000;

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    pub findings: Vec<Finding>,
    pub lines: Vec<Line>,
    /// By second from the start of the load.
    pub seconds: Vec<Second>,
    /// One-shots that began more than once.
    pub doubled: usize,
    /// Processes that ended though nobody told them to, and what stood in the way of the plan.
    pub faults: Vec<String>,
    /// Nanoseconds on the monotonic clock at which each step was done.
    pub done: Vec<u64>,
    pub began: u64,
}

/// Whether a fleet serves in full again: how it did before, and from when on it does so again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Back {
    /// Satisfied a second, and the 99th of a hundred answer times in ms, in the span before the first process was killed.
    pub before: (f64, f64),
    /// Seconds from the last process being up to the first span of full service; none if there was none.
    pub after_s: Option<f64>,
    /// Made in the second with most, from the kill on: connections by clients, to executors, to coordinators, and calls
    /// for the list; and the same in a second before the kill, on average.
    pub peak: [u64; 4],
    pub steady: [f64; 4],
    /// Submissions that were not satisfied at their first try, from the kill to full service.
    pub missed: u64,
}

/// Full service holds for so long on end.
const ON_END: u64 = 5_000_000_000;
/// Windows are looked at in steps of this.
const STEP: u64 = 100_000_000;
/// The rate, and the 99th of a hundred answer times, are within this part of what they were; and times within what a
/// machine's timers are good for.
const WITHIN: f64 = 0.05;
const TIMERS_MS: f64 = 5.0;

impl Outcome {
    /// How long it took to come back, where processes were killed and started again and the plan leaves room to see it.
    #[must_use]
    pub fn back(&self) -> Option<Back> {
        let did = |line: &Line, which: &dyn Fn(&str) -> bool| match &line.what {
            What::Did { deed, .. } if which(deed) => Some(line.at),
            _ => None,
        };
        let killed = self.lines.iter().find_map(|l| did(l, &|d| d == "kill"))?;
        let started = |d: &str| d.starts_with("start") || d == "replace";
        let last = self.lines.iter().filter_map(|l| did(l, &started)).max()?;
        // The step is done when all that it started listen.
        let up = self.done.iter().copied().filter(|at| *at >= last).min().unwrap_or(last);
        let mut asked: HashMap<&str, u64> = HashMap::new();
        let mut answers: Vec<(u64, f64)> = Vec::new();
        let mut first_tries: HashMap<&str, (u64, bool)> = HashMap::new();
        for line in &self.lines {
            match &line.what {
                What::Asked { id, .. } => {
                    asked.insert(id, line.at);
                    if id.ends_with("-0") {
                        first_tries.insert(id, (line.at, false));
                    }
                }
                What::Told { id, status: 200 } => {
                    let from = asked.get(id.as_str()).copied().unwrap_or(line.at);
                    answers.push((line.at, (line.at - from) as f64 / 1e6));
                    if let Some(first) = first_tries.get_mut(id.as_str()) {
                        first.1 = true;
                    }
                }
                _ => {}
            }
        }
        let window = |from: u64, to: u64| {
            let mut times: Vec<f64> =
                answers.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, t)| *t).collect();
            times.sort_by(f64::total_cmp);
            let p99 = times
                .get((times.len() * 99 / 100).min(times.len().saturating_sub(1)))
                .copied()
                .unwrap_or(f64::INFINITY);
            (times.len() as f64 / ((to - from) as f64 / 1e9), p99)
        };
        let before = window(killed.saturating_sub(ON_END).max(self.began), killed);
        let end = answers.last()?.0;
        let full = |from: u64| {
            let (rate, p99) = window(from, from + ON_END);
            rate >= before.0 * (1.0 - WITHIN) && p99 <= before.1 * (1.0 + WITHIN) + TIMERS_MS
        };
        let first =
            (0..).map(|i| up + i * STEP).take_while(|from| from + ON_END <= end).find(|from| full(*from));
        let until = first.unwrap_or(end);
        let missed = first_tries.values().filter(|(at, told)| !told && (killed..until).contains(at)).count();
        let second = |at: u64| (at.saturating_sub(self.began) / 1_000_000_000) as usize;
        let after = self.seconds.get(second(killed)..).unwrap_or_default();
        // The first second is that of those who connect for the first time.
        let steady = self.seconds.get(second(killed).min(1)..second(killed)).unwrap_or_default();
        let each = [Second::connections, Second::connects, Second::sessions, Second::list_calls];
        Some(Back {
            before,
            after_s: first.map(|from| (from - up) as f64 / 1e9),
            peak: each.map(|of| after.iter().map(of).max().unwrap_or(0)),
            steady: each.map(|of| steady.iter().map(of).sum::<u64>() as f64 / steady.len().max(1) as f64),
            missed: missed as u64,
        })
    }

    #[must_use]
    pub fn sound(&self) -> bool {
        self.findings.is_empty() && self.faults.is_empty()
    }

    /// For how long nodes went by different versions, in all, in nanoseconds; none if they still do.
    #[must_use]
    pub fn mixed(&self) -> Option<u64> {
        let mut active: BTreeMap<&str, u64> = BTreeMap::new();
        let (mut since, mut sum) = (None, 0);
        let begun = |line: &&Line| line.at >= self.began || matches!(line.what, What::Active { .. });
        for line in self.lines.iter().filter(begun) {
            match &line.what {
                What::Active { version, .. } => drop(active.insert(&line.by, *version)),
                // One that is dead goes by nothing; one that is paused may wake at any moment.
                What::Did { deed, to } if deed == "kill" => drop(active.remove(to.as_str())),
                _ => continue,
            }
            let mixed = active.values().min() != active.values().max();
            match (mixed && line.at >= self.began, since) {
                (true, None) => since = Some(line.at),
                (false, Some(from)) => {
                    sum += line.at - from;
                    since = None;
                }
                _ => {}
            }
        }
        since.is_none().then_some(sum)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    pub asked: u64,
    pub satisfied: u64,
    pub dismissed: u64,
    pub aborted: u64,
    pub unknown: u64,
    pub unsent: u64,
    /// Satisfied after half of the cut-off.
    pub late: u64,
    pub list_calls: u64,
    /// Connections made by clients to nodes, by nodes to executors, and to coordinators.
    pub connections: u64,
    pub connects: u64,
    pub sessions: u64,
    pub executions: u64,
}

impl Second {
    fn connections(&self) -> u64 {
        self.connections
    }

    fn connects(&self) -> u64 {
        self.connects
    }

    fn sessions(&self) -> u64 {
        self.sessions
    }

    fn list_calls(&self) -> u64 {
        self.list_calls
    }
}

/// Connections made to nodes, executors and coordinators.
type Opened = [AtomicU64; 3];

/// What has happened since a step began to be waited for.
#[derive(Default)]
struct Seen {
    frames: HashMap<(String, Side, u8), u64>,
    lines: Vec<(String, String)>,
    logs: Vec<(String, String)>,
    /// Set while a step waits for a frame: the way on which it passes waits until the step is done.
    waited: Option<(String, Side, u8, u64)>,
    busy: bool,
}

struct Bus {
    seen: Mutex<Seen>,
    changed: Condvar,
    stop: AtomicBool,
}

impl Bus {
    fn frame(&self, way: &str, side: Side, kind: u8) {
        let mut seen = lock(&self.seen);
        *seen.frames.entry((way.to_owned(), side, kind)).or_default() += 1;
        if seen.reached() {
            seen.busy = true;
            self.changed.notify_all();
            let begin = Instant::now();
            while seen.busy && !self.stop.load(Ordering::Relaxed) && begin.elapsed() < PATIENCE {
                let waited = self.changed.wait_timeout(seen, Duration::from_millis(20));
                seen = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
    }
}

impl Seen {
    fn reached(&self) -> bool {
        let Some((way, side, kind, count)) = &self.waited else { return false };
        let passed = self.frames.iter().filter(|((w, s, k), _)| meant(way, w) && s == side && k == kind);
        passed.map(|(_, n)| n).sum::<u64>() >= *count
    }
}

struct Rig<'a> {
    plan: &'a Plan,
    program: PathBuf,
    folder: PathBuf,
    fleet: Fleet,
    ways: BTreeMap<String, Arc<Link>>,
    /// Those from clients to nodes.
    doors: Vec<Arc<Link>>,
    processes: BTreeMap<String, Process>,
    addresses: HashMap<String, SocketAddr>,
    bus: Arc<Bus>,
    lines: Sender<Line>,
    /// Text of the policy that the fleet begins with.
    policy: Value,
    operators: Vec<std::thread::JoinHandle<()>>,
    /// Which terms stand in each node's own file, where they are not the first.
    filed: HashMap<String, u64>,
}

/// Plays a plan with the program, in a folder that is empty or not there yet.
///
/// # Errors
///
/// The plan could not be played: a process did not start, or what a step waits for never came.
pub fn run(plan: &Plan, program: &Path, folder: &Path) -> io::Result<Outcome> {
    run_told(plan, program, folder, &|_| {})
}

/// Where a fleet that has started can be reached.
#[derive(Clone, Debug)]
pub struct Up {
    pub coordinators: Vec<String>,
    pub nodes: Vec<String>,
}

/// As [`run`]; `told` hears where the fleet is, once it serves.
///
/// # Errors
///
/// As there.
pub fn run_told(plan: &Plan, program: &Path, folder: &Path, told: &dyn Fn(&Up)) -> io::Result<Outcome> {
    let up = told;
    plan.check().map_err(io::Error::other)?;
    let (lines, told) = channel();
    let observe = |by: &'static str| -> crate::stand::Observer {
        let lines = Mutex::new(lines.clone());
        Arc::new(move |what| drop(lock(&lines).send(Line::new(monotonic(), by, 0, what))))
    };
    let fleet = Fleet::start_seen(&scenario(plan), Some(observe("executors")))?;
    let bus = Arc::new(Bus { seen: Mutex::default(), changed: Condvar::new(), stop: AtomicBool::new(false) });
    let mut rig = Rig {
        plan,
        program: program.to_owned(),
        folder: folder.to_owned(),
        policy: fleet.configuration("any", 1)["settings"].clone(),
        fleet,
        ways: BTreeMap::new(),
        doors: Vec::new(),
        processes: BTreeMap::new(),
        addresses: HashMap::new(),
        bus,
        lines: lines.clone(),
        operators: Vec::new(),
        filed: HashMap::new(),
    };
    rig.prepare()?;
    rig.start(&plan.processes())?;
    rig.serving()?;
    let reach = |start: &str| -> Vec<String> {
        let named = rig.ways.iter().filter(|(name, _)| name.starts_with(start));
        named.map(|(_, w)| w.address.to_string()).collect()
    };
    up(&Up { coordinators: reach("o>"), nodes: reach("k>") });
    let (counted, seconds) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let began = monotonic();
    let stop = Arc::new(AtomicBool::new(false));
    let seen = observe("clients");
    let ways = std::mem::take(&mut rig.doors);
    let nodes: Vec<&Link> = ways.iter().map(|w| &**w).collect();
    let done = std::thread::scope(|scope| {
        for number in 0..plan.load.clients {
            let (nodes, stop, seen) = (&nodes, &stop, &seen);
            scope.spawn(move || clients::ask(number, &plan.load, plan.seed, nodes, stop, seen));
        }
        let (calls, made) = (Arc::clone(&rig.fleet.list_calls), Arc::clone(&seconds));
        let ended = Arc::clone(&counted);
        let opened = Arc::new([AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0)]);
        let told = Arc::clone(&opened);
        scope.spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let [a, b, c] = [0, 1, 2].map(|i: usize| told[i].load(Ordering::Relaxed));
                lock(&made).push((monotonic(), [calls.load(Ordering::Relaxed), a, b, c]));
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        let done = rig.steps(&opened);
        stop.store(true, Ordering::Relaxed);
        rig.bus.stop.store(true, Ordering::Relaxed);
        counted.store(true, Ordering::Relaxed);
        done
    });
    let counts = lock(&seconds).clone();
    let (done, mut faults) = match done {
        Ok(done) => (done, Vec::new()),
        Err(why) => (Vec::new(), vec![why.to_string()]),
    };
    faults.extend(rig.end()?);
    drop(seen);
    let lines = collect(&rig, &told, &mut faults);
    let promise = Promise {
        coordinated: plan.coordinators > 0,
        // The lease of whoever was granted one just before, and what a busy machine adds.
        bound: plan.lease_ms * 1_000_000 + MACHINE,
        strict: plan.coordinators > 0 && plan.strict,
        remembered: plan.store && plan.load.same_node,
        asked_when_unknown: plan.load.ask_when_unknown,
    };
    let mut findings = check(&lines, &promise);
    findings.truncate(100);
    let seconds = by_second(&lines, &counts, began, plan.load.cut_off_ms * 500_000);
    Ok(Outcome { doubled: doubled(&lines), findings, lines, seconds, faults, done, began })
}

/// What the stand-ins are.
#[must_use]
pub fn scenario(plan: &Plan) -> Scenario {
    let product = |name: &str, repeats| Product {
        name: name.into(),
        work_ms: plan.work_ms,
        agreed_ms: plan.load.cut_off_ms as f64 / 2.0,
        cut_off_ms: plan.load.cut_off_ms as f64,
        repeats,
        ..Product::default()
    };
    let executors = Executors {
        count: plan.executors,
        slots: plan.slots,
        cores: f64::from(plan.slots),
        cold_from: plan.cold_from,
        cold_s: plan.cold_ms / 1e3,
        ..Executors::default()
    };
    let mut s = Scenario {
        seed: plan.seed,
        executors: vec![executors],
        products: vec![
            product(clients::ONE_SHOT, Repeats::OneShot),
            product(clients::HARMLESS, Repeats::Harmless),
        ],
        tenants: vec![Tenant { name: "all".into(), ..Tenant::default() }],
        ..Scenario::default()
    };
    s.nodes.count = plan.nodes as u32;
    s.load.per_s = plan.load.rate;
    s
}

/// Everything that was told, merged by time.
fn collect(rig: &Rig<'_>, told: &Receiver<Line>, faults: &mut Vec<String>) -> Vec<Line> {
    let mut lines: Vec<Line> = told.try_iter().collect();
    for process in rig.processes.values() {
        if let Ok(file) = fs::File::open(process.folder.join("history")) {
            match read(&mut io::BufReader::new(file)) {
                Ok(more) => lines.extend(more),
                Err(why) => faults.push(format!("history of {}: {why}", process.name)),
            }
        }
    }
    lines.sort_by_key(|l| l.at);
    lines
}

/// At a time: calls for the list, and connections by clients, to executors and to coordinators, since the beginning.
type Counted = (u64, [u64; 4]);

fn by_second(lines: &[Line], counts: &[Counted], began: u64, late: u64) -> Vec<Second> {
    let mut seconds: Vec<Second> = Vec::new();
    let mut at = |time: u64, add: &dyn Fn(&mut Second)| {
        let place = (time.saturating_sub(began) / 1_000_000_000) as usize;
        if place < 3600 {
            if seconds.len() <= place {
                seconds.resize(place + 1, Second::default());
            }
            add(&mut seconds[place]);
        }
    };
    let mut asked: HashMap<&str, u64> = HashMap::new();
    for line in lines.iter().filter(|l| l.at >= began) {
        match &line.what {
            What::Asked { id, .. } => {
                asked.insert(id, line.at);
                at(line.at, &|s| s.asked += 1);
            }
            What::Told { id, status } => {
                let took = asked.get(id.as_str()).map_or(0, |from| line.at - from);
                at(line.at, &|s| match status {
                    200 => {
                        s.satisfied += 1;
                        s.late += u64::from(took > late);
                    }
                    429 | 503 => s.dismissed += 1,
                    _ => s.aborted += 1,
                });
            }
            What::Unknown { .. } => at(line.at, &|s| s.unknown += 1),
            What::Unsent { .. } => at(line.at, &|s| s.unsent += 1),
            What::Took { .. } => at(line.at, &|s| s.executions += 1),
            _ => {}
        }
    }
    for pair in counts.windows(2) {
        at(pair[1].0, &|s| {
            let more = |i: usize| pair[1].1[i].saturating_sub(pair[0].1[i]);
            s.list_calls += more(0);
            s.connections += more(1);
            s.connects += more(2);
            s.sessions += more(3);
        });
    }
    seconds
}

impl Rig<'_> {
    /// Opens the ways, and writes down what each process is told.
    fn prepare(&mut self) -> io::Result<()> {
        for name in self.plan.ways() {
            let bus = Arc::clone(&self.bus);
            let framed = name.split_once('>').is_some_and(|(_, to)| to.starts_with('c'));
            let way = Link::open(&name, framed, Arc::new(move |w, s, k| bus.frame(w, s, k)))?;
            self.ways.insert(name, Arc::new(way));
        }
        let plan = self.plan;
        self.doors = (0..plan.nodes).map(|n| Arc::clone(&self.ways[&format!("k>n{n}")])).collect();
        for (e, address) in self.fleet.executors.iter().enumerate() {
            for n in 0..plan.nodes {
                self.ways[&format!("n{n}>e{e}")].set_target(Some(*address));
            }
        }
        let coordinators = |from: &str| -> Vec<String> {
            let address = |c| self.ways.get(&format!("{from}>c{c}")).map(|w| w.address.to_string());
            (0..plan.coordinators).map(|c| address(c).unwrap_or_default()).collect()
        };
        for n in 0..plan.nodes {
            let name = format!("n{n}");
            let mut process = Process::new(&name, self.folder.join(&name), &self.program, &[]);
            fs::create_dir_all(process.store())?;
            let executors: Vec<SocketAddr> =
                (0..plan.executors).map(|e| self.ways[&format!("{name}>e{e}")].address).collect();
            let list = &self.ways[&format!("{name}>d")];
            list.set_target(Some(self.fleet.discovery_with(&executors)?));
            let mut file = self.fleet.configuration(&name, n as u64 + 1);
            file["discovery"] = json!(list.address.to_string());
            let path = process.folder.join("node.json");
            fs::write(&path, file.to_string())?;
            process.variables.push(("PROXY_CONFIG".into(), path.display().to_string()));
            if plan.store {
                let kept = process.store().join("kept");
                let told =
                    json!({"store": {"folder": kept, "same-by": "idempotency-key", "remember-s": 600}});
                let path = process.folder.join("store.toml");
                fs::write(&path, toml::to_string(&told).map_err(io::Error::other)?)?;
                process.variables.push(("PROXY_STORE".into(), path.display().to_string()));
                self.init(&kept, false)?;
            }
            if plan.peers {
                let others = (0..plan.nodes).filter(|p| *p != n);
                let ask: Vec<String> =
                    others.map(|p| self.ways[&format!("{name}>p{p}")].address.to_string()).collect();
                let told = json!({"peers": {"fleet": "rig", "listen": "127.0.0.1:0", "ask": ask}});
                let path = process.folder.join("peers.toml");
                fs::write(&path, toml::to_string(&told).map_err(io::Error::other)?)?;
                process.variables.push(("PROXY_PEERS".into(), path.display().to_string()));
            }
            if plan.starts.on {
                let Starts { connects_per_s, lists_per_s, sessions_per_s, .. } = plan.starts;
                let told = json!({"start": {"connects-per-s": connects_per_s, "lists-per-s": lists_per_s,
                    "sessions-per-s": sessions_per_s}});
                let path = process.folder.join("start.toml");
                fs::write(&path, toml::to_string(&told).map_err(io::Error::other)?)?;
                process.variables.push(("PROXY_START".into(), path.display().to_string()));
            }
            if plan.coordinators > 0 {
                let told = json!({"fleet": {"id": "rig", "member": name, "coordinators": coordinators(&name),
                    "folder": process.store(), "mode": if plan.strict { "strict" } else { "available" },
                    "history": process.folder.join("history")}});
                let path = process.folder.join("fleet.toml");
                fs::write(&path, toml::to_string(&told).map_err(io::Error::other)?)?;
                process.variables.push(("PROXY_FLEET".into(), path.display().to_string()));
            }
            self.processes.insert(name, process);
        }
        for c in 0..plan.coordinators {
            let name = format!("c{c}");
            let folder = self.folder.join(&name);
            let path = folder.join("coordinator.toml");
            let file = path.display().to_string();
            let mut process = Process::new(&name, folder.clone(), &self.program, &["coordinate", &file]);
            process.once.push("--first".into());
            fs::create_dir_all(process.store())?;
            let first = folder.join("policy.json");
            fs::write(&first, self.terms(1).to_string())?;
            let told = json!({"coordinator": {"fleet": "rig", "number": c, "listen": "127.0.0.1:0",
                "peers": coordinators(&name), "folder": process.store(), "first-policy": first,
                "lease-ms": plan.lease_ms, "hold-ms": (plan.lease_ms / 4).max(100),
                "history": folder.join("history")}});
            fs::write(&path, toml::to_string(&told).map_err(io::Error::other)?)?;
            self.processes.insert(name, process);
        }
        Ok(())
    }

    /// Makes a node's store, as an operator does.
    fn init(&self, folder: &Path, lost: bool) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.args(["store", "init"]).args(lost.then_some("--lost"));
        let made = command.arg(folder).output()?;
        let why = || io::Error::other(String::from_utf8_lossy(&made.stderr).into_owned());
        made.status.success().then_some(()).ok_or_else(why)
    }

    /// The settings of these terms: they differ in what traffic beyond a share is worth.
    fn terms(&self, number: u64) -> Value {
        let mut policy = self.policy.clone();
        if let Some(policy) = policy.as_object_mut() {
            policy.remove("az");
        }
        // Terms 0 can't be taken: they have another product.
        match number {
            0 => policy["products"][0]["name"] = json!("other"),
            _ => policy["excessPayoff"] = json!((0.5 + 0.001 * number as f64).min(1.0)),
        }
        policy
    }

    fn note(&self, deed: &str, to: &str) {
        let what = What::Did { deed: deed.to_owned(), to: to.to_owned() };
        let _ = self.lines.send(Line::new(monotonic(), "rig", 0, what));
    }

    /// Starts them all, and then waits until each listens. Those that do not are told, the rest runs.
    fn start(&mut self, names: &[String]) -> io::Result<()> {
        let failed = self.start_some(names)?;
        if failed.is_empty() { Ok(()) } else { Err(io::Error::other(failed.join("; "))) }
    }

    fn start_some(&mut self, names: &[String]) -> io::Result<Vec<String>> {
        let mut began = Vec::new();
        for name in names {
            let process = self.processes.get_mut(name).ok_or(io::Error::other("no such process"))?;
            let from = fs::metadata(process.log()).map_or(0, |m| m.len());
            process.start()?;
            // Whoever was there before is gone, and so is its address.
            self.lead(name, None);
            began.push((name, from));
        }
        let mut failed = Vec::new();
        for (name, from) in began {
            let process = self.processes.get_mut(name).ok_or(io::Error::other("no such process"))?;
            match process.listens(from) {
                Ok(address) => {
                    let peers = process.word("peers_at=", from).and_then(|at| at.parse().ok());
                    self.lead(name, Some(address));
                    let end = format!("p{}", name.trim_start_matches('n'));
                    let told =
                        self.ways.iter().filter(|(w, _)| w.split_once('>').is_some_and(|(_, to)| to == end));
                    told.for_each(|(_, w)| w.set_target(peers));
                }
                Err(why) => {
                    failed.push(why.to_string());
                    continue;
                }
            }
            if self.plan.coordinators == 0 {
                let version = self.filed.get(name).copied().unwrap_or(1);
                let line = Line::new(monotonic(), name, 0, What::Active { version, digest: 0 });
                let _ = self.lines.send(line);
            }
        }
        Ok(failed)
    }

    fn lead(&mut self, name: &str, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.addresses.insert(name.to_owned(), address),
            None => self.addresses.remove(name),
        };
        for (way, w) in &self.ways {
            if way.split_once('>').is_some_and(|(_, to)| to == name) {
                w.set_target(address);
            }
        }
    }

    /// Waits until every node says that clients should come.
    fn serving(&mut self) -> io::Result<()> {
        let begin = Instant::now();
        for n in 0..self.plan.nodes {
            let name = format!("n{n}");
            while !self.healthy(&name) {
                if begin.elapsed() > PATIENCE {
                    return Err(io::Error::other(format!("{name} does not serve")));
                }
                std::thread::sleep(LOOK);
            }
        }
        Ok(())
    }

    fn healthy(&self, name: &str) -> bool {
        let Some(address) = self.addresses.get(name) else { return false };
        crate::http::get(*address, "/healthz", Duration::from_secs(1)).is_ok_and(|status| status == 200)
    }

    fn steps(&mut self, opened: &Opened) -> io::Result<Vec<u64>> {
        let mut done = Vec::new();
        let mut tails: HashMap<PathBuf, u64> = HashMap::new();
        let plan = self.plan;
        for step in &plan.steps {
            self.wait_for(step, &mut tails, opened)?;
            let result = self.carry_out(step);
            let mut seen = lock(&self.bus.seen);
            *seen = Seen::default();
            drop(seen);
            self.bus.changed.notify_all();
            result?;
            done.push(monotonic());
        }
        let until = Instant::now() + Duration::from_millis(plan.tail_ms);
        while Instant::now() < until {
            self.tail(&mut tails, opened)?;
            std::thread::sleep(LOOK);
        }
        Ok(done)
    }

    /// Reads what logs and histories have grown by.
    fn tail(&mut self, tails: &mut HashMap<PathBuf, u64>, opened: &Opened) -> io::Result<()> {
        for (count, to) in opened.iter().zip(["n", "e", "c"]) {
            let there = |way: &str| way.split_once('>').is_some_and(|(_, end)| end.starts_with(to));
            let made = self.ways.iter().filter(|(name, _)| there(name)).map(|(_, w)| w.opened());
            count.store(made.sum(), Ordering::Relaxed);
        }
        for (name, process) in &self.processes {
            for (file, history) in [(process.log(), false), (process.folder.join("history"), true)] {
                let Ok(mut open) = fs::File::open(&file) else { continue };
                let at = tails.entry(file).or_default();
                if open.metadata()?.len() <= *at {
                    continue;
                }
                open.seek(io::SeekFrom::Start(*at))?;
                let mut text = Vec::new();
                open.read_to_end(&mut text)?;
                let whole = text.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
                *at += whole as u64;
                let mut seen = lock(&self.bus.seen);
                for line in String::from_utf8_lossy(&text[..whole]).lines() {
                    if history {
                        let kind = line.split_once("\"what\":\"").and_then(|(_, l)| l.split_once('"'));
                        seen.lines.push((name.clone(), kind.map_or("", |(kind, _)| kind).to_owned()));
                    } else {
                        // Nodes without coordinators have no history: their log tells that they go by others.
                        if self.plan.coordinators == 0 && line.contains("settings taken over") {
                            let version = self.filed.get(name).copied().unwrap_or(1);
                            let what = What::Active { version, digest: 0 };
                            let _ = self.lines.send(Line::new(monotonic(), name, 0, what));
                        }
                        seen.logs.push((name.clone(), line.to_owned()));
                    }
                }
            }
        }
        Ok(())
    }

    fn wait_for(
        &mut self,
        step: &Step,
        tails: &mut HashMap<PathBuf, u64>,
        opened: &Opened,
    ) -> io::Result<()> {
        if let Some(kind) = step.frame.as_deref().and_then(linestack_frames::kind) {
            let way = step.way.clone().unwrap_or_else(|| "*>*".into());
            lock(&self.bus.seen).waited = Some((way, step.side, kind, step.count));
        }
        let begin = Instant::now();
        loop {
            self.tail(tails, opened)?;
            let seen = lock(&self.bus.seen);
            let by = |name: &str| step.by.as_ref().is_none_or(|by| meant(by, name));
            let count = if let Some(line) = &step.line {
                seen.lines.iter().filter(|(n, kind)| by(n) && kind == line).count() as u64
            } else if let Some(log) = &step.log {
                seen.logs.iter().filter(|(n, text)| by(n) && text.contains(log.as_str())).count() as u64
            } else if step.frame.is_some() {
                if seen.reached() { step.count } else { 0 }
            } else {
                step.count
            };
            drop(seen);
            if count >= step.count {
                break;
            }
            if begin.elapsed() > PATIENCE {
                let what = step.line.as_ref().or(step.log.as_ref()).or(step.frame.as_ref());
                return Err(io::Error::other(format!("{:?} never came for {:?}", what, step.r#do)));
            }
            std::thread::sleep(LOOK);
        }
        let until = Instant::now() + Duration::from_millis(step.after_ms);
        while Instant::now() < until {
            self.tail(tails, opened)?;
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn carry_out(&mut self, step: &Step) -> io::Result<()> {
        let deed = serde_json::to_value(step.r#do)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default();
        if step.r#do.on_ways() {
            let span = Duration::from_millis(step.ms);
            let kind = step.frame_for().unwrap_or(u8::MAX);
            for (name, way) in &self.ways {
                if !step.to.iter().any(|to| meant(to, name)) {
                    continue;
                }
                self.note(&deed, name);
                match step.r#do {
                    Deed::Cut => way.cut(&step.sides),
                    Deed::Heal => way.heal(),
                    Deed::Delay => way.delay(&step.sides, span),
                    Deed::Throttle => way.throttle(&step.sides, step.bytes),
                    Deed::Reset => way.reset(),
                    Deed::CutAt => {
                        way.fail_next_frame(step.side, kind, FrameFault::CutAt(step.bytes as usize))
                    }
                    Deed::Repeat => way.fail_next_frame(step.side, kind, FrameFault::Repeat),
                    Deed::Hold => way.fail_next_frame(step.side, kind, FrameFault::Hold),
                    Deed::Release => way.release(),
                    _ => {}
                }
            }
            return Ok(());
        }
        match step.r#do {
            Deed::Propose => return self.propose(step),
            Deed::Abort => return self.abort(step),
            Deed::Overbook => {
                self.note(&deed, "d");
                self.fleet.overbook(Duration::from_millis(step.ms));
                return Ok(());
            }
            Deed::Swap => return self.swap(&step.to),
            Deed::Refound => return self.refound(&step.to[0]),
            on if on.on_executors() => {
                for place in 0..self.plan.executors as usize {
                    let name = format!("e{place}");
                    if !step.to.iter().any(|to| meant(to, &name)) {
                        continue;
                    }
                    self.note(&deed, &name);
                    match (on, step.trouble()) {
                        (Deed::Renew, _) => {
                            self.fleet.renew(place);
                            let ways = self.ways.iter().filter(|(way, _)| meant(&format!("*>{name}"), way));
                            ways.for_each(|(_, way)| way.reset());
                        }
                        (on, Some(kind)) => self.fleet.ail(place, kind, step.size, on == Deed::Ail),
                        _ => {}
                    }
                }
                return Ok(());
            }
            _ => {}
        }
        let to: Vec<String> =
            step.to.iter().map(|to| if to == SPEAKER { self.speaker() } else { to.clone() }).collect();
        let named: Vec<String> = self
            .processes
            .iter()
            .filter(|(n, p)| to.iter().any(|to| meant(to, n) || (to == DOWN && !p.running())))
            .map(|(n, _)| n.clone())
            .collect();
        let starts = [Deed::Start, Deed::StartEmpty, Deed::StartOlder, Deed::StartRolledBack, Deed::Replace];
        // One that runs needs no start.
        let named: Vec<String> = match starts.contains(&step.r#do) {
            true => named.into_iter().filter(|n| !self.processes[n].running()).collect(),
            false => named,
        };
        // What is done to many is done to all of them at once, as far as that can be.
        for name in &named {
            let began = matches!(step.r#do, Deed::Kill | Deed::Pause | Deed::Stop);
            if began {
                self.note(&deed, name);
            }
            let process = self.processes.get_mut(name).ok_or(io::Error::other("no such process"))?;
            let older = process.folder.join("older");
            match step.r#do {
                Deed::Kill => process.kill()?,
                Deed::Pause => process.pause(true)?,
                Deed::Resume => process.pause(false)?,
                Deed::Stop => {
                    process.signal(Signal::TERM)?;
                    if process.wait(PATIENCE)?.is_none_or(|s| !s.success()) {
                        return Err(io::Error::other(format!("{name} did not end with 0")));
                    }
                }
                Deed::Copy => {
                    let _ = fs::remove_dir_all(&older);
                    copy(&process.store(), &older)?;
                }
                Deed::Replace => {
                    let number = name.trim_start_matches('c').to_owned();
                    let seat = self.replaced(&number)?;
                    let process = self.processes.get_mut(name).ok_or(io::Error::other("no such process"))?;
                    fs::remove_dir_all(process.store())?;
                    process.once = vec!["--replacement".into(), seat.to_string()];
                }
                Deed::Gone => {
                    let failed = process.wait(PATIENCE)?.is_some_and(|s| !s.success());
                    failed
                        .then_some(())
                        .ok_or_else(|| io::Error::other(format!("{name} did not end by itself")))?;
                }
                Deed::Start | Deed::StartEmpty | Deed::StartOlder | Deed::StartRolledBack => {
                    if matches!(step.r#do, Deed::StartEmpty | Deed::StartOlder) {
                        fs::remove_dir_all(process.store())?;
                    }
                    if matches!(step.r#do, Deed::StartOlder | Deed::StartRolledBack) {
                        copy(&older, &process.store())?;
                    }
                    process.variables.retain(|(k, _)| k != "LINESTACK_FAULT");
                    if !step.fault.is_empty() {
                        process.variables.push(("LINESTACK_FAULT".into(), step.fault.clone()));
                    }
                }
                Deed::Terms => {
                    let path = process.folder.join("node.json");
                    let mut file: Value = serde_json::from_slice(&fs::read(&path)?)?;
                    let az = file["settings"]["az"].clone();
                    let mut terms = self.terms(step.terms);
                    terms["az"] = az;
                    file["settings"] = terms;
                    fs::write(&path, file.to_string())?;
                    self.filed.insert(name.clone(), step.terms);
                    let process = self.processes.get(name).filter(|p| p.running());
                    process.map_or(Ok(()), |p| p.signal(Signal::HUP))?;
                }
                _ => {}
            }
            if !began {
                self.note(&deed, name);
            }
        }
        if !starts.contains(&step.r#do) {
            return Ok(());
        }
        if step.r#do == Deed::StartEmpty && self.plan.store {
            for name in named.iter().filter(|n| n.starts_with('n')) {
                let kept = self.processes[name].store().join("kept");
                self.init(&kept, true)?;
            }
        }
        if !step.refused {
            return self.start(&named);
        }
        let failed = self.start_some(&named)?;
        let all = failed.len() == named.len();
        all.then_some(())
            .ok_or_else(|| io::Error::other(format!("of {named:?} only these failed: {failed:?}")))
    }

    /// Goes on from one coordinator's store, as an operator does when the others have lost theirs.
    fn refound(&mut self, from: &str) -> io::Result<()> {
        let names: Vec<String> = (0..self.plan.coordinators).map(|c| format!("c{c}")).collect();
        let (out, file) = (self.folder.join("foundation"), self.folder.join(from).join("coordinator.toml"));
        let lost: Vec<&str> =
            names.iter().filter(|n| *n != from).map(|n| n.trim_start_matches('c')).collect();
        self.note("refound", from);
        let mut command = Command::new(&self.program);
        command.arg("coordinate").arg(file).arg("--refound").arg(&out).args(["--lost", &lost.join(",")]);
        let done = command.output()?;
        if !done.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&done.stderr).into_owned()));
        }
        for name in names.iter().filter(|n| *n != from) {
            let process = self.processes.get_mut(name).ok_or(io::Error::other("no such process"))?;
            fs::remove_dir_all(process.store())?;
            process.once = vec!["--refounded".into(), out.display().to_string()];
            self.note("start-empty", name);
        }
        self.note("start", from);
        self.start(&names)
    }

    /// What two that do not run have stored changes places.
    fn swap(&self, to: &[String]) -> io::Result<()> {
        let [a, b] = to else { return Err(io::Error::other("two change places")) };
        let store = |name: &String| self.processes.get(name).filter(|p| !p.running()).map(Process::store);
        let (Some(a), Some(b)) = (store(a), store(b)) else { return Err(io::Error::other("both are down")) };
        let aside = a.with_file_name("swapped");
        fs::rename(&a, &aside)?;
        fs::rename(&b, &a)?;
        fs::rename(&aside, &b)
    }

    /// The last one of which a history says that it speaks; the first, where none does.
    fn speaker(&self) -> String {
        let mut newest = (0, "c0".to_owned());
        for line in self.histories("c") {
            if let What::Established { round } = line.what
                && round >= newest.0
            {
                newest = (round, line.by);
            }
        }
        newest.1
    }

    /// What is written so far by processes whose names begin so.
    fn histories(&self, start: &str) -> Vec<Line> {
        let named = self.processes.iter().filter(|(name, _)| name.starts_with(start));
        let files = named.filter_map(|(_, p)| fs::File::open(p.folder.join("history")).ok());
        files.flat_map(|f| read(&mut io::BufReader::new(f)).unwrap_or_default()).collect()
    }

    /// Once faults are over every wait is: all nodes that run serve, by the version that was decided last.
    fn rested(&self) -> Vec<String> {
        let begin = Instant::now();
        loop {
            let decided =
                |l: &Line| if let What::Decided { version, .. } = l.what { Some(version) } else { None };
            let last = self.histories("c").iter().filter_map(decided).max().unwrap_or(0);
            let mut active: HashMap<String, u64> = HashMap::new();
            let mut stages: HashMap<String, String> = HashMap::new();
            for line in self.histories("n") {
                match line.what {
                    What::Active { version, .. } => drop(active.insert(line.by, version)),
                    What::Stage { stage } => drop(stages.insert(line.by, stage)),
                    What::Started => drop(stages.remove(&line.by)),
                    _ => {}
                }
            }
            let full = |n: &String| !self.plan.starts.on || stages.get(n).is_some_and(|s| s == "full");
            let nodes = self.processes.iter().filter(|(n, p)| n.starts_with('n') && p.running() && !p.paused);
            let restless: Vec<String> = nodes
                .filter(|(n, _)| active.get(*n) != Some(&last) || !full(n) || !self.healthy(n))
                .map(|(n, _)| {
                    let (active, stage, healthy) = (active.get(n), stages.get(n), self.healthy(n));
                    format!("{n} goes by {active:?} of {last}, at stage {stage:?}, healthy: {healthy}")
                })
                .collect();
            if restless.is_empty() || begin.elapsed() > PATIENCE {
                return restless;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn operator(&self, words: &[String], request: &str) -> std::thread::JoinHandle<()> {
        let mut command = Command::new(&self.program);
        let addresses: Vec<String> =
            (0..self.plan.coordinators).map(|c| self.ways[&format!("o>c{c}")].address.to_string()).collect();
        command
            .args(["fleet", "--fleet", "rig", "--json", "--coordinators", &addresses.join(",")])
            .args(words);
        let (lines, request) = (self.lines.clone(), request.to_owned());
        std::thread::spawn(move || {
            let outcome = match command.output() {
                Ok(output) => match output.status.code() {
                    Some(0) => "decided".to_owned(),
                    Some(3) => "refused".to_owned(),
                    Some(4) => "dropped".to_owned(),
                    Some(5) => "unknown".to_owned(),
                    code => format!("failed with {code:?}: {}", String::from_utf8_lossy(&output.stderr)),
                },
                Err(why) => format!("failed: {why}"),
            };
            let _ = lines.send(Line::new(monotonic(), "operator", 0, What::Heard { request, outcome }));
        })
    }

    /// Has a coordinator's number given to another, and returns which one of that number it is.
    fn replaced(&self, number: &str) -> io::Result<u64> {
        let addresses: Vec<String> =
            (0..self.plan.coordinators).map(|c| self.ways[&format!("o>c{c}")].address.to_string()).collect();
        let begin = Instant::now();
        loop {
            let mut command = Command::new(&self.program);
            command.args(["fleet", "--fleet", "rig", "--json", "--coordinators", &addresses.join(",")]);
            let output = command.args(["replace", number]).output()?;
            let told: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            if let Some(seat) = told["replacement"].as_u64() {
                return Ok(seat);
            }
            // It may have been heard a moment ago.
            if begin.elapsed() > PATIENCE {
                return Err(io::Error::other(format!("coordinator {number} was not replaced: {told}")));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn propose(&mut self, step: &Step) -> io::Result<()> {
        let path = self.folder.join(format!("change-{}.json", step.request));
        fs::write(&path, self.terms(step.terms).to_string())?;
        let mut words: Vec<String> = vec!["propose".into(), path.display().to_string()];
        words.extend(["--base".into(), step.base.to_string(), "--request".into(), step.request.clone()]);
        if step.all {
            words.push("--all".into());
        }
        if step.give_up_ms > 0 {
            words.extend(["--give-up-ms".into(), step.give_up_ms.to_string()]);
        }
        self.note("propose", &step.request);
        let thread = self.operator(&words, &step.request);
        self.operators.push(thread);
        Ok(())
    }

    fn abort(&mut self, step: &Step) -> io::Result<()> {
        self.note("abort", &step.request);
        let thread =
            self.operator(&["abort".into(), step.request.clone()], &format!("abort of {}", step.request));
        self.operators.push(thread);
        Ok(())
    }

    /// Ends all that runs, nodes first, and tells of those that had ended by themselves.
    fn end(&mut self) -> io::Result<Vec<String>> {
        let mut faults = Vec::new();
        for thread in self.operators.drain(..) {
            let _ = thread.join();
        }
        if self.plan.coordinators > 0 {
            faults.extend(self.rested());
        }
        let names = self.plan.processes();
        for name in &names {
            let Some(process) = self.processes.get_mut(name) else { continue };
            if process.paused {
                process.pause(false)?;
            }
            if let Some(status) = process.ended()? {
                faults.push(format!("{name} ended by itself: {status}"));
            } else if process.running() {
                process.signal(Signal::TERM)?;
            }
        }
        for name in &names {
            let Some(process) = self.processes.get_mut(name) else { continue };
            if process.running() {
                match process.wait(PATIENCE)? {
                    Some(status) if status.success() => {}
                    other => faults.push(format!("{name} was told to stop: {other:?}")),
                }
            }
        }
        Ok(faults)
    }
}
