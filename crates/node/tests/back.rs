//! Recovery after most processes of a fleet were killed at once: with their own stores, without them, or with another node's store.
//! Also starts of a node with a missing, copied, damaged or unsupported store, with peers that send nothing or false data, and with
//! few file descriptors.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;

use linestack_history::{HistoryEvent, Line};
use linestack_rig::http::get_status;
use linestack_rig::plan::Plan;
use linestack_rig::process::{Process, copy_folder};
use linestack_rig::run::{Outcome, run};
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Product, RepeatPolicy, Scenario, Tenant};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linestack");

/// Fleets run one at a time: side by side they would exceed the time limits under test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs these steps on a fleet of ten nodes with stores and three coordinators.
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

/// Returns a step with these keys, in the format of the files in scenarios/fleet.
fn step(keys: &str) -> String {
    format!("[[steps]]\n{keys}\n")
}

/// Checks that no guarantee was violated, that the whole plan was carried out, and that the kill affected some request.
fn assert_sound(outcome: &Outcome) {
    assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
    assert!(outcome.findings.is_empty(), "{}", describe_findings(outcome));
    let affected =
        |event: &HistoryEvent| matches!(event, HistoryEvent::Unknown { .. } | HistoryEvent::Unsent { .. });
    assert!(outcome.lines.iter().any(|l| affected(&l.what)), "no request was affected by the kill");
}

/// How long before and after a finding the history of its node is shown.
const SHOWN_AROUND_NS: u64 = 4_000_000_000;

/// Returns the findings with the lines of the history that explain them: actions and starts, and all requests of clients at the node of a
/// finding around that time.
fn describe_findings(outcome: &Outcome) -> String {
    let mut text = format!("{:?}\n", outcome.findings);
    let is_near = |line: &Line| outcome.findings.iter().any(|f| f.at.abs_diff(line.at) < SHOWN_AROUND_NS);
    let node_of = |line: &Line| match &line.what {
        HistoryEvent::Asked { id, node, .. } => Some((id.clone(), node.clone())),
        _ => None,
    };
    let asked: HashMap<String, String> = outcome.lines.iter().filter_map(node_of).collect();
    let reasons: Vec<&str> = outcome.findings.iter().map(|finding| finding.reason.as_str()).collect();
    let named = |word: &str| reasons.iter().any(|reason| reason.split([' ', ':', ',']).any(|w| w == word));
    for line in &outcome.lines {
        let shown = match &line.what {
            HistoryEvent::Did { .. } | HistoryEvent::Started | HistoryEvent::Stage { .. } => true,
            HistoryEvent::Took { key, .. } => named(key),
            HistoryEvent::Asked { id, .. }
            | HistoryEvent::Told { id, .. }
            | HistoryEvent::Unknown { id }
            | HistoryEvent::Unsent { id }
            | HistoryEvent::Taken { id, .. }
            | HistoryEvent::TurnedAway { id }
            | HistoryEvent::Answered { id, .. } => {
                named(id) || (is_near(line) && asked.get(id).is_some_and(|node| named(node)))
            }
            _ => false,
        };
        if shown {
            text += &format!("{} {} {:?}\n", line.at, line.by, line.what);
        }
    }
    text
}

/// The targets of a step that affects seven of the ten nodes.
const SEVEN_NODES: &str = "to = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\", \"n5\", \"n6\"]";

// While seven of ten nodes recover, there is a further fault in connections, discovery or executors, which the step `end` ends.
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
fn all_nodes_and_coordinators_recover(#[case] start_of_five: &str, #[case] start_of_others: &str) {
    let outcome = run_steps(&format!(
        "{}{}{}{}[[steps]]\nafter-ms = 2500\n",
        step("after-ms = 1200\ndo = \"kill\"\nto = [\"*\"]"),
        step("after-ms = 300\ndo = \"start\"\nto = [\"c*\"]"),
        step(&format!("do = \"{start_of_five}\"\nto = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"]")),
        step(&format!("do = \"{start_of_others}\"\nto = [\"n5\", \"n6\", \"n7\", \"n8\", \"n9\"]")),
    ));
    assert_sound(&outcome);
}

// Two nodes are started with each other's stores and must refuse to start; with their own stores they start again.
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
    let other_seven_nodes = "to = [\"n3\", \"n4\", \"n5\", \"n6\", \"n7\", \"n8\", \"n9\"]";
    let outcome = run_steps(&format!(
        "{}{}{}{}",
        step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN_NODES}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{SEVEN_NODES}")),
        step(&format!("log = \"stage=\\\"known\\\"\"\nby = \"n4\"\ndo = \"kill\"\n{other_seven_nodes}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{other_seven_nodes}")),
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

// A node starts while a third of the executors hang, and learns of them from a running node.
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

/// Waits until a process has logged its address and has ended since, and listens at that address in its place.
fn take_over_port(log: &Path) -> std::net::TcpListener {
    let address: std::net::SocketAddr = loop {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let found = text.split_once("listen=").and_then(|(_, rest)| rest.split_once(' ')?.0.parse().ok());
        if let Some(address) = found {
            break address;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    loop {
        if let Ok(listener) = std::net::TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

// Guards against requests that the test rig sends to a stranger: the port of a killed node is free, and another test's process that gets
// it answered the node's clients, or left them without an answer, which counted as the node's fault.
#[test]
fn clients_of_a_killed_node_reach_no_other_process_at_its_port() {
    let text = format!(
        "nodes = 2\nexecutors = 2\nslots = 6\nload = {{ rate = 150, clients = 24, same-node = true }}\n{}{}",
        step("after-ms = 500\ndo = \"kill\"\nto = [\"n1\"]"),
        step("after-ms = 1500\ndo = \"start\"\nto = [\"n1\"]"),
    );
    let (folder, _guard) = (tempfile::tempdir().unwrap(), ONE_AT_A_TIME.lock());
    let log = folder.path().join("n1").join("log");
    let stranger = std::thread::spawn(move || {
        let listener = take_over_port(&log);
        listener.set_nonblocking(true).unwrap();
        std::thread::sleep(Duration::from_millis(1_000));
        std::iter::from_fn(|| listener.accept().ok()).count()
    });
    let outcome = run(&Plan::read(&text).unwrap(), Path::new(PROGRAM), folder.path()).unwrap();
    assert_eq!(stranger.join().unwrap(), 0, "connections at the port of the killed node");
    assert_sound(&outcome);
}

/// The number of the frame kind `ask`, a request to a peer.
const PEER_REQUEST: u8 = 13;
/// The number of the frame kind `tale`, a peer's answer with its snapshot.
const PEER_SNAPSHOT: u8 = 14;

/// Starts a peer that answers each request with `answer` and closes the connection, or without an answer keeps it open.
fn start_peer(answer: Option<Vec<u8>>) -> std::net::SocketAddr {
    use std::io::{Read as _, Write as _};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut socket in listener.incoming().flatten() {
            let _ = socket.read(&mut [0; 1024]);
            match &answer {
                Some(answer) => drop(socket.write_all(answer)),
                None => open.push(socket),
            }
        }
    });
    address
}

/// Returns the frame of a peer snapshot with these observations, in JSON, and this format version.
fn snapshot_frame(observations: &str, format_version: u8) -> Vec<u8> {
    let body = format!("{{\"form\":{format_version},\"teller\":\"n9\",\"items\":[{observations}]}}");
    linestack_frames::encode(linestack_frames::kind_number("tale").unwrap(), body.as_bytes()).unwrap()
}

/// Returns the frame of a peer snapshot with the same false observation of each of the fake executors.
fn false_snapshot(age_ms: u64, silent: bool, slots: &str) -> Vec<u8> {
    let figures = format!("{{\"free_slots\":{slots},\"free_memory\":null,\"waiting\":0,\"in_hand\":0}}");
    let observation =
        |i| format!("{{\"name\":\"e{i}\",\"age_ms\":{age_ms},\"silent\":{silent},\"figures\":{figures}}}");
    snapshot_frame(&(0..8).map(observation).collect::<Vec<_>>().join(","), 1)
}

// A node starts and serves even if its peer is unreachable or does not answer, or sends data that is invalid, truncated, old or
// false.
#[rstest]
#[case::unreachable(None, true)]
#[case::no_answer(None, false)]
#[case::no_frame(Some(b"HTTP/1.1 200 OK\r\n\r\n".to_vec()), false)]
#[case::another_kind(Some(linestack_frames::encode(0, b"{}").unwrap()), false)]
#[case::not_a_snapshot(Some(linestack_frames::encode(PEER_SNAPSHOT, b"[[[[").unwrap()), false)]
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
    // The node's own listener for peers closes connections with invalid requests without an answer.
    let listener: std::net::SocketAddr = node.process.log_value("peers_at=", 0).unwrap().parse().unwrap();
    for bytes in [
        b"garbage".to_vec(),
        linestack_frames::encode(PEER_REQUEST, br#"{"form":1,"fleet":"g","node":"x"}"#).unwrap(),
    ] {
        use std::io::{Read as _, Write as _};
        let mut socket = std::net::TcpStream::connect(listener).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
        socket.write_all(&bytes).unwrap();
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer);
        assert!(answer.is_empty());
    }
    assert_eq!(post(address, "last"), 200);
}

// All nodes of a fleet may start at once and send requests to the same running node, more than it answers at a time. Guards against
// a further request's connection being closed: the request must wait for its turn.
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
    // The node serves these connections first, until they time out, because they send nothing.
    let silent: Vec<_> = (0..40).map(|_| connect()).collect();
    let mut socket = connect();
    let ask = br#"{"form":1,"fleet":"f","node":"x"}"#;
    socket.write_all(&linestack_frames::encode(PEER_REQUEST, ask).unwrap()).unwrap();
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

/// A node with a store, and what it needs to start: its files, and stand-ins for discovery and executors.
struct Node {
    process: Process,
    /// Holds the configuration files, the store and the process's output.
    folder: tempfile::TempDir,
    _fleet: StandInFleet,
}

impl Node {
    /// Writes the files of a node with an empty store, without starting it.
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let job = Product { repeats: RepeatPolicy::OneShot, ..Product::default() };
        let all = Tenant { name: "all".into(), ..Tenant::default() };
        let scenario = Scenario { products: vec![job], tenants: vec![all], ..Scenario::default() };
        let fleet = StandInFleet::start(&scenario).unwrap();
        let path = folder.path();
        std::fs::write(path.join("node.json"), fleet.configuration("n0", 1).to_string()).unwrap();
        let store = path.join("kept");
        assert_eq!(linestack(&["store", "init", store.to_str().unwrap()]).0, 0);
        let text = format!("[store]\nfolder = {store:?}\nsame-by = \"req-id\"\n");
        std::fs::write(path.join("store.toml"), text).unwrap();
        let mut process = Process::new("n0", path.join("run"), Path::new(PROGRAM), &[]);
        for (key, file) in [("PROXY_CONFIG", "node.json"), ("PROXY_STORE", "store.toml")] {
            process.variables.push((key.into(), path.join(file).display().to_string()));
        }
        Self { process, folder, _fleet: fleet }
    }

    /// Returns the store's folder.
    fn store(&self) -> PathBuf {
        self.folder.path().join("kept")
    }

    /// Starts the node and waits until it listens. Returns its address, or its error output if it does not start.
    fn start(&mut self) -> Result<std::net::SocketAddr, String> {
        let log_length = std::fs::metadata(self.process.log_file()).map_or(0, |m| m.len());
        self.process.start().unwrap();
        self.process.wait_until_listening(log_length).map_err(|e| e.to_string())
    }

    fn kill(&mut self) {
        self.process.kill().unwrap();
    }
}

/// Runs the program with these arguments. Returns its exit code, and its standard output followed by its error output.
fn linestack(arguments: &[&str]) -> (i32, String) {
    let output = Command::new(PROGRAM).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

/// Waits until the node's health check reports that it is ready.
fn wait_until_ready(address: std::net::SocketAddr) {
    let begin = std::time::Instant::now();
    while get_status(address, "/healthz", Duration::from_secs(5)).unwrap() != 200 {
        assert!(begin.elapsed() < Duration::from_secs(20), "not ready");
    }
}

fn remove_store(store: &Path) {
    std::fs::remove_dir_all(store).unwrap();
}

fn empty_store(store: &Path) {
    std::fs::remove_dir_all(store).unwrap();
    std::fs::create_dir(store).unwrap();
}

fn replace_by_a_copy(store: &Path) {
    let copy = store.with_file_name("c");
    copy_folder(store, &copy).unwrap();
    std::fs::remove_dir_all(store).unwrap();
    std::fs::rename(copy, store).unwrap();
}

fn remove_manifest(store: &Path) {
    std::fs::remove_file(store.join("manifest")).unwrap();
}

fn truncate_segment(store: &Path) {
    let segment = store.join("000000000001.segment");
    std::fs::write(&segment, &std::fs::read(&segment).unwrap()[..99]).unwrap();
}

fn set_format_version_9(store: &Path) {
    let manifest = store.join("manifest");
    let mut bytes = std::fs::read(&manifest).unwrap();
    bytes[4] = 9;
    std::fs::write(&manifest, bytes).unwrap();
}

fn replace_manifest_by_a_folder(store: &Path) {
    let manifest = store.join("manifest");
    std::fs::remove_file(&manifest).unwrap();
    std::fs::create_dir(manifest).unwrap();
}

fn replace_store_by_a_file(store: &Path) {
    std::fs::remove_dir_all(store).unwrap();
    std::fs::write(store, "x").unwrap();
}

// Stores that a node must refuse: the change that makes a store unusable, the expected error, and the `store` command that makes it
// usable again, if there is one.
#[rstest]
#[case::removed(remove_store, "there is no store here", &["init", "--lost"])]
#[case::emptied(empty_store, "there is no store here", &["init", "--lost"])]
#[case::a_restored_copy(replace_by_a_copy, "a copy", &["adopt"])]
#[case::half_copied(remove_manifest, "damaged", &["repair"])]
#[case::cut_short(truncate_segment, "damaged", &["repair"])]
#[case::newer_format_version(set_format_version_9, "format version 9", &[])]
#[case::unreadable(replace_manifest_by_a_folder, "store.folder", &[])]
#[case::not_a_folder(replace_store_by_a_file, "store.folder", &[])]
fn an_unusable_store_is_refused(
    #[case] change: fn(&Path),
    #[case] expected_error: &str,
    #[case] repair_command: &[&str],
) {
    let mut node = Node::new();
    node.start().unwrap();
    node.kill();
    change(&node.store());
    let error = node.start().unwrap_err();
    assert!(error.contains(expected_error) && error.contains("store.folder"), "{error}");
    if !repair_command.is_empty() {
        let store = node.store();
        let arguments: Vec<&str> =
            ["store"].into_iter().chain(repair_command.iter().copied()).chain(store.to_str()).collect();
        let (code, text) = linestack(&arguments);
        assert_eq!(code, 0, "{text}");
        node.start().unwrap();
    }
}

// A record that makes every start fail: after three attempts the store is moved aside with its contents, and the node serves like
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
    // The records of earlier requests are gone, so any one-shot may have run before and is aborted.
    wait_until_ready(address);
    assert_eq!(post(address, "other"), 502);
    node.kill();
    // Kills after a successful start do not count as failed starts.
    for _ in 0..4 {
        node.start().unwrap();
        node.kill();
    }
    assert!(!node.store().join("set-aside-2").exists());
}

/// Sends a one-shot with this id, and returns the status of the response.
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

// With few file descriptors a node either starts or exits with an error in its log; it neither hangs nor panics.
#[rstest]
fn few_descriptors(#[values(4, 8, 16, 32, 48, 64)] limit: u32) {
    let node = Node::new();
    let script = format!("ulimit -n {limit}; exec {PROGRAM}");
    let run_folder = node.folder.path().join("limited");
    let mut process = Process::new("n0", run_folder, Path::new("/bin/sh"), &["-c", &script]);
    process.variables.clone_from(&node.process.variables);
    process.start().unwrap();
    let address = process.wait_until_listening(0);
    let log = std::fs::read_to_string(process.log_file()).unwrap();
    assert!(!log.contains("panicked"), "{log}");
    assert!(address.is_ok() || log.contains("ERROR") || log.contains("open files"), "{log}");
}
