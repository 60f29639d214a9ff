//! Recovery after most processes were killed at once: with their own stores, without them, or with another node's store. Also how a
//! node reacts to a missing, copied, damaged or unsupported store, and to peers that give it nothing or false data.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;

use linestack_history::HistoryEvent;
use linestack_rig::http::get_status;
use linestack_rig::plan::Plan;
use linestack_rig::process::{Process, copy_folder};
use linestack_rig::run::{Outcome, run};
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Product, RepeatPolicy, Scenario, Tenant};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linestack");

/// Fleets run one at a time, so that the machine is fast enough for the time limits under test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_steps(steps: &str) -> Outcome {
    let text = format!(
        "nodes = 10\ncoordinators = 3\nlease-ms = 1000\nstore = true\nexecutors = 6\nslots = 6\ntail-ms = 1500\n\
         cold-ms = 2000.0\nstarts = {{ on = true, connects-per-s = 120, lists-per-s = 40, sessions-per-s = 80 }}\n\
         load = {{ rate = 150, clients = 24, tries = 6, ask-when-unknown = true, same-node = true }}\n{steps}"
    );
    let plan = Plan::read(&text).unwrap();
    let guard = ONE_AT_A_TIME.lock();
    let folder = tempfile::tempdir().unwrap();
    let outcome = run(&plan, Path::new(PROGRAM), folder.path()).unwrap();
    drop(guard);
    outcome
}

fn step(words: &str) -> String {
    format!("[[steps]]\n{words}\n")
}

fn assert_sound(outcome: &Outcome) {
    assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
    assert!(outcome.findings.is_empty(), "{:?}", outcome.findings);
    let lost = |w: &HistoryEvent| matches!(w, HistoryEvent::Unknown { .. } | HistoryEvent::Unsent { .. });
    assert!(outcome.lines.iter().any(|l| lost(&l.what)), "no request was affected by the kill");
}

const SEVEN_NODES: &str = "to = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\", \"n5\", \"n6\"]";

// Connections, discovery or executors have faults of their own while seven of ten nodes recover.
#[rstest]
#[case::no_other_fault("", "")]
#[case::coordinators_unreachable(
    "do = \"cut\"\nto = [\"n0>c*\"]\nsides = [\"back\"]",
    "do = \"heal\"\nto = [\"n0>c*\"]"
)]
#[case::a_slow_peer(
    "do = \"throttle\"\nto = [\"n0>c*\", \"n0>d\", \"c0>c1\"]\nbytes = 2000",
    "do = \"heal\"\nto = [\"*>*\"]"
)]
#[case::discovery_silent("do = \"cut\"\nto = [\"n*>d\"]", "do = \"heal\"\nto = [\"n*>d\"]")]
#[case::discovery_overbooked("do = \"overbook\"\nms = 150", "do = \"overbook\"\nms = 0")]
#[case::a_third_of_executors_hung(
    "do = \"ail\"\nfault = \"hang\"\nto = [\"e0\", \"e1\"]",
    "do = \"well\"\nfault = \"hang\"\nto = [\"e0\", \"e1\"]"
)]
#[case::a_third_of_executors_cold("do = \"renew\"\nto = [\"e0\", \"e1\"]", "")]
fn seven_of_ten_recover(#[case] fault: &str, #[case] end: &str) {
    let kill = step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN_NODES}"));
    let start = step(&format!("after-ms = 300\ndo = \"start\"\n{SEVEN_NODES}"));
    let (fault, end) = (step(fault), step(&format!("after-ms = 1000\n{end}")));
    let outcome = run_steps(&format!("{kill}{fault}{start}{end}"));
    assert_sound(&outcome);
}

#[rstest]
#[case::with_all_stored("start", "start")]
#[case::with_nothing_stored("start-empty", "start-empty")]
#[case::half_of_them_with_nothing("start-empty", "start")]
fn all_nodes_and_coordinators_recover(#[case] some: &str, #[case] others: &str) {
    let outcome = run_steps(&format!(
        "{}{}{}{}[[steps]]\nafter-ms = 2500\n",
        step("after-ms = 1200\ndo = \"kill\"\nto = [\"*\"]"),
        step("after-ms = 300\ndo = \"start\"\nto = [\"c*\"]"),
        step(&format!("do = \"{some}\"\nto = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"]")),
        step(&format!("do = \"{others}\"\nto = [\"n5\", \"n6\", \"n7\", \"n8\", \"n9\"]")),
    ));
    assert_sound(&outcome);
}

// Two nodes have each other's stores, and both must refuse them.
#[test]
fn swapped_stores_are_refused() {
    let pair = "to = [\"n0\", \"n1\"]";
    let outcome = run_steps(&format!(
        "{}{}{}{}{}{}",
        step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN_NODES}")),
        step(&format!("do = \"swap\"\n{pair}")),
        step("do = \"start\"\nto = [\"n2\", \"n3\", \"n4\", \"n5\", \"n6\"]"),
        step(&format!("do = \"start\"\nrefused = true\n{pair}")),
        step(&format!("do = \"swap\"\n{pair}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{pair}")),
    ));
    assert_sound(&outcome);
}

#[test]
fn killed_again_during_recovery() {
    let other = "to = [\"n3\", \"n4\", \"n5\", \"n6\", \"n7\", \"n8\", \"n9\"]";
    let outcome = run_steps(&format!(
        "{}{}{}{}",
        step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN_NODES}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{SEVEN_NODES}")),
        step(&format!("log = \"stage=\\\"known\\\"\"\nby = \"n4\"\ndo = \"kill\"\n{other}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{other}")),
    ));
    assert_sound(&outcome);
}

#[rstest]
fn killed_at_each_stage(#[values("version", "list", "known", "share", "full")] stage: &str) {
    let outcome = run_steps(&format!(
        "{}{}{}{}",
        step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN_NODES}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{SEVEN_NODES}")),
        step(&format!("log = \"stage=\\\"{stage}\\\"\"\nby = \"n0\"\ndo = \"kill\"\nto = [\"n0\"]")),
        step("after-ms = 100\ndo = \"start\"\nto = [\"n0\"]"),
    ));
    assert_sound(&outcome);
}

// A node recovers while a third of the executors hang, and learns of it from a running node.
#[test]
fn learned_from_a_running_node() {
    let text = format!(
        "nodes = 4\npeers = true\nstore = true\nexecutors = 6\nslots = 6\ntail-ms = 1500\nstarts = {{ on = true }}\n\
         load = {{ rate = 150, clients = 24, tries = 6, ask-when-unknown = true, same-node = true }}\n{}{}{}{}",
        step("after-ms = 800\ndo = \"ail\"\nfault = \"hang\"\nto = [\"e0\", \"e1\"]"),
        step("after-ms = 800\ndo = \"kill\"\nto = [\"n0\"]"),
        step("after-ms = 100\ndo = \"start\"\nto = [\"n0\"]"),
        step("log = \"heard from a peer\"\nby = \"n0\""),
    );
    let (folder, _guard) = (tempfile::tempdir().unwrap(), ONE_AT_A_TIME.lock());
    assert_sound(&run(&Plan::read(&text).unwrap(), Path::new(PROGRAM), folder.path()).unwrap());
}

/// Starts a peer that answers each request with these bytes and closes, or that keeps the connection open without an answer.
fn start_peer(bytes: Option<Vec<u8>>) -> std::net::SocketAddr {
    use std::io::{Read as _, Write as _};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut socket in listener.incoming().flatten() {
            let _ = socket.read(&mut [0; 1024]);
            match &bytes {
                Some(bytes) => drop(socket.write_all(bytes)),
                None => open.push(socket),
            }
        }
    });
    address
}

fn snapshot_frame(items: &str, format_version: u8) -> Vec<u8> {
    let body = format!("{{\"form\":{format_version},\"teller\":\"n9\",\"items\":[{items}]}}");
    linestack_frames::encode(linestack_frames::kind_number("tale").unwrap(), body.as_bytes()).unwrap()
}

/// Returns a peer snapshot with the same false observation of all of the fake executors.
fn false_snapshot(age_ms: u64, silent: bool, slots: &str) -> Vec<u8> {
    let figures = format!("{{\"free_slots\":{slots},\"free_memory\":null,\"waiting\":0,\"in_hand\":0}}");
    let one =
        |i| format!("{{\"name\":\"e{i}\",\"age_ms\":{age_ms},\"silent\":{silent},\"figures\":{figures}}}");
    snapshot_frame(&(0..8).map(one).collect::<Vec<_>>().join(","), 1)
}

// Peers that are slow, outdated or of another version, or that send truncated or false data: a node starts and serves all the same.
#[rstest]
#[case::unreachable(None, true)]
#[case::no_answer(None, false)]
#[case::no_frame(Some(b"HTTP/1.1 200 OK\r\n\r\n".to_vec()), false)]
#[case::another_kind(Some(linestack_frames::encode(0, b"{}").unwrap()), false)]
#[case::not_a_snapshot(Some(linestack_frames::encode(14, b"[[[[").unwrap()), false)]
#[case::truncated(Some(false_snapshot(0, false, "1")[..60].to_vec()), false)]
#[case::another_format_version(Some(snapshot_frame("", 9)), false)]
#[case::all_unresponsive(Some(false_snapshot(0, true, "0")), false)]
#[case::all_full(Some(false_snapshot(0, false, "0")), false)]
#[case::unlimited_slots(Some(false_snapshot(0, false, "1e30")), false)]
#[case::old(Some(false_snapshot(20_000, false, "9")), false)]
fn a_node_starts_without_help_from_its_peer(#[case] answer: Option<Vec<u8>>, #[case] unreachable: bool) {
    let mut node = Node::new();
    let peer = if unreachable { "127.0.0.1:1".parse().unwrap() } else { start_peer(answer) };
    let file = node.folder.path().join("peers.toml");
    std::fs::write(&file, format!("[peers]\nfleet = \"f\"\nlisten = \"127.0.0.1:0\"\nask = [\"{peer}\"]\n"))
        .unwrap();
    node.process.variables.push(("PROXY_PEERS".into(), file.display().to_string()));
    let address = node.start().unwrap();
    wait_until_ready(address);
    (0..8).for_each(|i| assert_eq!(post(address, &i.to_string()), 200));
    // The node's own listener for peers gets invalid requests.
    let own: std::net::SocketAddr = node.process.log_value("peers_at=", 0).unwrap().parse().unwrap();
    for bytes in
        [b"garbage".to_vec(), linestack_frames::encode(13, br#"{"form":1,"fleet":"g","node":"x"}"#).unwrap()]
    {
        use std::io::{Read as _, Write as _};
        let mut socket = std::net::TcpStream::connect(own).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
        socket.write_all(&bytes).unwrap();
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer);
        assert!(answer.is_empty());
    }
    assert_eq!(post(address, "last"), 200);
}

// All processes of a fleet may start at once and ask the same running node. A request beyond the number that it answers at a time
// must wait for its turn; its connection was closed.
#[test]
fn a_request_to_a_busy_peer_waits_for_its_turn() {
    use std::io::{Read as _, Write as _};
    let mut node = Node::new();
    let file = node.folder.path().join("peers.toml");
    std::fs::write(&file, "[peers]\nfleet = \"f\"\nlisten = \"127.0.0.1:0\"\n").unwrap();
    node.process.variables.push(("PROXY_PEERS".into(), file.display().to_string()));
    wait_until_ready(node.start().unwrap());
    let listener: std::net::SocketAddr = node.process.log_value("peers_at=", 0).unwrap().parse().unwrap();
    let connect = || {
        let socket = std::net::TcpStream::connect(listener).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        socket
    };
    // These connections send nothing until they time out.
    let silent: Vec<_> = (0..40).map(|_| connect()).collect();
    let mut socket = connect();
    let ask = br#"{"form":1,"fleet":"f","node":"x"}"#;
    socket.write_all(&linestack_frames::encode(13, ask).unwrap()).unwrap();
    let mut answer = [0; linestack_frames::HEADER_LENGTH];
    socket.read_exact(&mut answer).expect("no snapshot");
    assert_eq!(answer[4], linestack_frames::kind_number("tale").unwrap());
    drop(silent);
}

#[rstest]
#[case::at_the_limit(1_024, true)]
#[case::above_the_limit(1_025, false)]
fn the_number_of_configured_peers_is_limited(#[case] count: usize, #[case] accepted: bool) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("peers.toml");
    let ask = vec!["\"127.0.0.1:1\""; count].join(",");
    std::fs::write(&file, format!("[peers]\nfleet = \"f\"\nask = [{ask}]\n")).unwrap();
    let read = linestack::peers::read_config(&file);
    assert_eq!(
        read.as_ref().map(|c| c.addresses.len()).map_err(|e| e.contains("peers.ask")),
        if accepted { Ok(count) } else { Err(true) }
    );
}

/// A node with a store, and the files and the fleet that it needs to start.
struct Node {
    process: Process,
    folder: tempfile::TempDir,
    _fleet: StandInFleet,
}

impl Node {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let job = Product { repeats: RepeatPolicy::OneShot, ..Product::default() };
        let all = Tenant { name: "all".into(), ..Tenant::default() };
        let s = Scenario { products: vec![job], tenants: vec![all], ..Scenario::default() };
        let fleet = StandInFleet::start(&s).unwrap();
        let at = folder.path();
        std::fs::write(at.join("node.json"), fleet.configuration("n0", 1).to_string()).unwrap();
        let store = at.join("kept");
        assert_eq!(linestack(&["store", "init", store.to_str().unwrap()]).0, 0);
        let text = format!("[store]\nfolder = {store:?}\nsame-by = \"req-id\"\n");
        std::fs::write(at.join("store.toml"), text).unwrap();
        let mut process = Process::new("n0", at.join("run"), Path::new(PROGRAM), &[]);
        for (key, file) in [("PROXY_CONFIG", "node.json"), ("PROXY_STORE", "store.toml")] {
            process.variables.push((key.into(), at.join(file).display().to_string()));
        }
        Self { process, folder, _fleet: fleet }
    }

    fn store(&self) -> PathBuf {
        self.folder.path().join("kept")
    }

    /// Starts the node. Returns its address, or its error output if it does not listen.
    fn start(&mut self) -> Result<std::net::SocketAddr, String> {
        let from = std::fs::metadata(self.process.log_file()).map_or(0, |m| m.len());
        self.process.start().unwrap();
        self.process.wait_until_listening(from).map_err(|e| e.to_string())
    }

    fn kill(&mut self) {
        self.process.kill().unwrap();
    }
}

fn linestack(words: &[&str]) -> (i32, String) {
    let output = Command::new(PROGRAM).args(words).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

fn wait_until_ready(address: std::net::SocketAddr) {
    let begin = std::time::Instant::now();
    while get_status(address, "/healthz", Duration::from_secs(5)).unwrap() != 200 {
        assert!(begin.elapsed() < Duration::from_secs(20), "not ready");
    }
}

// Stores that a node must refuse: the change that makes it so, the expected error, and the command that makes the store usable
// again.
#[rstest]
#[case::removed(|f: &Path| std::fs::remove_dir_all(f).unwrap(), "there is no store here", &["init", "--lost"])]
#[case::emptied(|f: &Path| { std::fs::remove_dir_all(f).unwrap(); std::fs::create_dir(f).unwrap(); }, "there is no store here", &["init", "--lost"])]
#[case::a_restored_copy(|f: &Path| { let c = f.with_file_name("c"); copy_folder(f, &c).unwrap(); std::fs::remove_dir_all(f).unwrap(); std::fs::rename(c, f).unwrap(); }, "a copy", &["adopt"])]
#[case::half_copied(|f: &Path| std::fs::remove_file(f.join("manifest")).unwrap(), "damaged", &["repair"])]
#[case::cut_short(|f: &Path| { let s = f.join("000000000001.segment"); std::fs::write(&s, &std::fs::read(&s).unwrap()[..99]).unwrap(); }, "damaged", &["repair"])]
#[case::newer_format_version(|f: &Path| { let m = f.join("manifest"); let mut b = std::fs::read(&m).unwrap(); b[4] = 9; std::fs::write(&m, b).unwrap(); }, "format version 9", &[])]
#[case::unreadable(|f: &Path| { let m = f.join("manifest"); std::fs::remove_file(&m).unwrap(); std::fs::create_dir(m).unwrap(); }, "store.folder", &[])]
#[case::not_a_folder(|f: &Path| { std::fs::remove_dir_all(f).unwrap(); std::fs::write(f, "x").unwrap(); }, "store.folder", &[])]
fn an_unusable_store_is_refused(#[case] change: fn(&Path), #[case] expected: &str, #[case] remedy: &[&str]) {
    let mut node = Node::new();
    node.start().unwrap();
    node.kill();
    change(&node.store());
    let error = node.start().unwrap_err();
    assert!(error.contains(expected) && error.contains("store.folder"), "{error}");
    if !remedy.is_empty() {
        let at = node.store();
        let words: Vec<&str> =
            ["store"].into_iter().chain(remedy.iter().copied()).chain(at.to_str()).collect();
        let (code, text) = linestack(&words);
        assert_eq!(code, 0, "{text}");
        node.start().unwrap();
    }
}

// A record on which every start fails: after some attempts the store is moved aside with its contents, and the node serves like
// one that has lost its store.
#[test]
fn a_store_with_a_record_that_fails_every_start_is_moved_aside() {
    let mut node = Node::new();
    let address = node.start().unwrap();
    wait_until_ready(address);
    assert_eq!(post(address, "poison"), 200);
    node.kill();
    node.process.variables.push(("LINESTACK_FAULT".into(), "dies-reading=poison".into()));
    for _ in 0..3 {
        node.start().unwrap_err();
    }
    let address = node.start().unwrap();
    let moved = node.store().join("set-aside-1");
    assert!(moved.join("manifest").exists() && moved.join("000000000001.segment").exists());
    // A request without a record may have run before, so it is aborted.
    wait_until_ready(address);
    assert_eq!(post(address, "other"), 502);
    node.kill();
    // Processes killed after a successful start do not count.
    for _ in 0..4 {
        node.start().unwrap();
        node.kill();
    }
    assert!(!node.store().join("set-aside-2").exists());
}

/// Sends a one-shot, and returns the status of the response.
fn post(address: std::net::SocketAddr, id: &str) -> u16 {
    use std::io::{Read as _, Write as _};
    let mut socket = std::net::TcpStream::connect(address).unwrap();
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: job\r\nReq-Owner: all\r\nReq-Deadline-Ms: 5000\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    socket.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

// With few descriptors a node starts or reports what is missing; it neither hangs nor panics.
#[rstest]
fn few_descriptors(#[values(4, 8, 16, 32, 48, 64)] limit: u32) {
    let node = Node::new();
    let at = node.folder.path();
    let limited = format!("ulimit -n {limit}; exec {PROGRAM}");
    let mut process = Process::new("n0", at.join("limited"), Path::new("/bin/sh"), &["-c", &limited]);
    process.variables.clone_from(&node.process.variables);
    process.start().unwrap();
    let listens = process.wait_until_listening(0);
    let log = std::fs::read_to_string(process.log_file()).unwrap();
    assert!(!log.contains("panicked"), "{log}");
    assert!(listens.is_ok() || log.contains("ERROR") || log.contains("open files"), "{log}");
}
