//! Coming back: most processes killed at once, with what they had stored, without it, or with another's; and what a node
//! makes of a store that is not what it should be.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;

use linestack_history::What;
use linestack_rig::http::get_status;
use linestack_rig::plan::Plan;
use linestack_rig::process::{Process, copy_folder};
use linestack_rig::run::{Outcome, run};
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Product, Repeats, Scenario, Tenant};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linestack");

/// One fleet at a time: the machine is to be fast enough for what is promised.
static TURN: Mutex<()> = Mutex::new(());

fn play(steps: &str) -> Outcome {
    let text = format!(
        "nodes = 10\ncoordinators = 3\nlease-ms = 1000\nstore = true\nexecutors = 6\nslots = 6\ntail-ms = 1500\n\
         cold-ms = 2000.0\nstarts = {{ on = true, connects-per-s = 120, lists-per-s = 40, sessions-per-s = 80 }}\n\
         load = {{ rate = 150, clients = 24, tries = 6, ask-when-unknown = true, same-node = true }}\n{steps}"
    );
    let plan = Plan::read(&text).unwrap();
    let turn = TURN.lock();
    let folder = tempfile::tempdir().unwrap();
    let outcome = run(&plan, Path::new(PROGRAM), folder.path()).unwrap();
    drop(turn);
    outcome
}

fn step(words: &str) -> String {
    format!("[[steps]]\n{words}\n")
}

fn sound(outcome: &Outcome) {
    assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
    assert!(outcome.findings.is_empty(), "{:?}", outcome.findings);
    let lost = |w: &What| matches!(w, What::Unknown { .. } | What::Unsent { .. });
    assert!(outcome.lines.iter().any(|l| lost(&l.what)), "nobody noticed the kill");
}

const SEVEN: &str = "to = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\", \"n5\", \"n6\"]";

// Ways, discovery and executors have faults of their own while seven of ten come back.
#[rstest]
#[case::alone("", "")]
#[case::coordinators_not_heard(
    "do = \"cut\"\nto = [\"n0>c*\"]\nsides = [\"back\"]",
    "do = \"heal\"\nto = [\"n0>c*\"]"
)]
#[case::a_slow_peer(
    "do = \"throttle\"\nto = [\"n0>c*\", \"n0>d\", \"c0>c1\"]\nbytes = 2000",
    "do = \"heal\"\nto = [\"*>*\"]"
)]
#[case::discovery_silent("do = \"cut\"\nto = [\"n*>d\"]", "do = \"heal\"\nto = [\"n*>d\"]")]
#[case::discovery_overbooked("do = \"overbook\"\nms = 150", "do = \"overbook\"\nms = 0")]
#[case::a_third_of_executors_gone(
    "do = \"ail\"\nfault = \"hang\"\nto = [\"e0\", \"e1\"]",
    "do = \"well\"\nfault = \"hang\"\nto = [\"e0\", \"e1\"]"
)]
#[case::a_third_of_executors_cold("do = \"renew\"\nto = [\"e0\", \"e1\"]", "")]
fn seven_of_ten(#[case] fault: &str, #[case] end: &str) {
    let kill = step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN}"));
    let start = step(&format!("after-ms = 300\ndo = \"start\"\n{SEVEN}"));
    let (fault, end) = (step(fault), step(&format!("after-ms = 1000\n{end}")));
    let outcome = play(&format!("{kill}{fault}{start}{end}"));
    sound(&outcome);
}

#[rstest]
#[case::with_all_stored("start", "start")]
#[case::with_nothing_stored("start-empty", "start-empty")]
#[case::half_of_them_with_nothing("start-empty", "start")]
fn all_and_the_coordinators(#[case] some: &str, #[case] others: &str) {
    let outcome = play(&format!(
        "{}{}{}{}[[steps]]\nafter-ms = 2500\n",
        step("after-ms = 1200\ndo = \"kill\"\nto = [\"*\"]"),
        step("after-ms = 300\ndo = \"start\"\nto = [\"c*\"]"),
        step(&format!("do = \"{some}\"\nto = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"]")),
        step(&format!("do = \"{others}\"\nto = [\"n5\", \"n6\", \"n7\", \"n8\", \"n9\"]")),
    ));
    sound(&outcome);
}

// Each has the other's store, and neither may go by it.
#[test]
fn two_swapped() {
    let pair = "to = [\"n0\", \"n1\"]";
    let outcome = play(&format!(
        "{}{}{}{}{}{}",
        step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN}")),
        step(&format!("do = \"swap\"\n{pair}")),
        step("do = \"start\"\nto = [\"n2\", \"n3\", \"n4\", \"n5\", \"n6\"]"),
        step(&format!("do = \"start\"\nrefused = true\n{pair}")),
        step(&format!("do = \"swap\"\n{pair}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{pair}")),
    ));
    sound(&outcome);
}

#[test]
fn killed_again_in_the_middle() {
    let other = "to = [\"n3\", \"n4\", \"n5\", \"n6\", \"n7\", \"n8\", \"n9\"]";
    let outcome = play(&format!(
        "{}{}{}{}",
        step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{SEVEN}")),
        step(&format!("log = \"stage=\\\"known\\\"\"\nby = \"n4\"\ndo = \"kill\"\n{other}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{other}")),
    ));
    sound(&outcome);
}

#[rstest]
fn killed_at_each_stage(#[values("version", "list", "known", "share", "full")] stage: &str) {
    let outcome = play(&format!(
        "{}{}{}{}",
        step(&format!("after-ms = 1200\ndo = \"kill\"\n{SEVEN}")),
        step(&format!("after-ms = 200\ndo = \"start\"\n{SEVEN}")),
        step(&format!("log = \"stage=\\\"{stage}\\\"\"\nby = \"n0\"\ndo = \"kill\"\nto = [\"n0\"]")),
        step("after-ms = 100\ndo = \"start\"\nto = [\"n0\"]"),
    ));
    sound(&outcome);
}

// One comes back among executors of which a third is hung, and is told of it by one that runs.
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
    let (folder, _turn) = (tempfile::tempdir().unwrap(), TURN.lock());
    sound(&run(&Plan::read(&text).unwrap(), Path::new(PROGRAM), folder.path()).unwrap());
}

/// Answers whoever asks with these bytes, and closes; or with nothing, and does not.
fn peer(bytes: Option<Vec<u8>>) -> std::net::SocketAddr {
    use std::io::{Read as _, Write as _};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for mut socket in listener.incoming().flatten() {
            let _ = socket.read(&mut [0; 1024]);
            match &bytes {
                Some(bytes) => drop(socket.write_all(bytes)),
                None => held.push(socket),
            }
        }
    });
    address
}

fn tale(items: &str, form: u8) -> Vec<u8> {
    let body = format!("{{\"form\":{form},\"teller\":\"n9\",\"items\":[{items}]}}");
    linestack_frames::encode(linestack_frames::kind_number("tale").unwrap(), body.as_bytes()).unwrap()
}

/// All of the stand-ins' executors, as somebody would have them who means no good.
fn lies(age_ms: u64, silent: bool, slots: &str) -> Vec<u8> {
    let figures = format!("{{\"free_slots\":{slots},\"free_memory\":null,\"waiting\":0,\"in_hand\":0}}");
    let one =
        |i| format!("{{\"name\":\"e{i}\",\"age_ms\":{age_ms},\"silent\":{silent},\"figures\":{figures}}}");
    tale(&(0..8).map(one).collect::<Vec<_>>().join(","), 1)
}

// Peers that are slow, old, cut, of another time, or lie: a node starts and serves all the same.
#[rstest]
#[case::nobody_there(None, true)]
#[case::silent(None, false)]
#[case::no_frame(Some(b"HTTP/1.1 200 OK\r\n\r\n".to_vec()), false)]
#[case::another_kind(Some(linestack_frames::encode(0, b"{}").unwrap()), false)]
#[case::no_tale(Some(linestack_frames::encode(14, b"[[[[").unwrap()), false)]
#[case::cut(Some(lies(0, false, "1")[..60].to_vec()), false)]
#[case::of_another_form(Some(tale("", 9)), false)]
#[case::all_silent(Some(lies(0, true, "0")), false)]
#[case::all_full(Some(lies(0, false, "0")), false)]
#[case::endless_room(Some(lies(0, false, "1e30")), false)]
#[case::old(Some(lies(20_000, false, "9")), false)]
fn a_peer_that_is_no_help(#[case] says: Option<Vec<u8>>, #[case] gone: bool) {
    let mut node = Node::new();
    let peer = if gone { "127.0.0.1:1".parse().unwrap() } else { peer(says) };
    let file = node.folder.path().join("peers.toml");
    std::fs::write(&file, format!("[peers]\nfleet = \"f\"\nlisten = \"127.0.0.1:0\"\nask = [\"{peer}\"]\n"))
        .unwrap();
    node.process.variables.push(("PROXY_PEERS".into(), file.display().to_string()));
    let address = node.starts().unwrap();
    serves(address);
    (0..8).for_each(|i| assert_eq!(post(address, &i.to_string()), 200));
    // Its own listener is asked by strangers.
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

// All processes of a fleet may start at once and ask the same running one: who comes while as many are told as it tells at
// a time waits for its turn. It was closed on.
#[test]
fn who_asks_a_busy_peer_waits_for_its_turn() {
    use std::io::{Read as _, Write as _};
    let mut node = Node::new();
    let file = node.folder.path().join("peers.toml");
    std::fs::write(&file, "[peers]\nfleet = \"f\"\nlisten = \"127.0.0.1:0\"\n").unwrap();
    node.process.variables.push(("PROXY_PEERS".into(), file.display().to_string()));
    serves(node.starts().unwrap());
    let listener: std::net::SocketAddr = node.process.log_value("peers_at=", 0).unwrap().parse().unwrap();
    let connect = || {
        let socket = std::net::TcpStream::connect(listener).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        socket
    };
    // These say nothing until their time is over.
    let silent: Vec<_> = (0..40).map(|_| connect()).collect();
    let mut socket = connect();
    let ask = br#"{"form":1,"fleet":"f","node":"x"}"#;
    socket.write_all(&linestack_frames::encode(13, ask).unwrap()).unwrap();
    let mut answer = [0; linestack_frames::HEADER_LENGTH];
    socket.read_exact(&mut answer).expect("not told");
    assert_eq!(answer[4], linestack_frames::kind_number("tale").unwrap());
    drop(silent);
}

#[rstest]
#[case::a_thousand(1_024, true)]
#[case::more(1_025, false)]
fn peers_to_ask(#[case] count: usize, #[case] fine: bool) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("peers.toml");
    let ask = vec!["\"127.0.0.1:1\""; count].join(",");
    std::fs::write(&file, format!("[peers]\nfleet = \"f\"\nask = [{ask}]\n")).unwrap();
    let read = linestack::peers::read_config(&file);
    assert_eq!(
        read.as_ref().map(|c| c.addresses.len()).map_err(|e| e.contains("peers.ask")),
        if fine { Ok(count) } else { Err(true) }
    );
}

/// A node with a store, and what it takes to start it.
struct Node {
    process: Process,
    folder: tempfile::TempDir,
    _fleet: StandInFleet,
}

impl Node {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let job = Product { repeats: Repeats::OneShot, ..Product::default() };
        let all = Tenant { name: "all".into(), ..Tenant::default() };
        let s = Scenario { products: vec![job], tenants: vec![all], ..Scenario::default() };
        let fleet = StandInFleet::start(&s).unwrap();
        let at = folder.path();
        std::fs::write(at.join("node.json"), fleet.configuration("n0", 1).to_string()).unwrap();
        let kept = at.join("kept");
        assert_eq!(linestack(&["store", "init", kept.to_str().unwrap()]).0, 0);
        let text = format!("[store]\nfolder = {kept:?}\nsame-by = \"req-id\"\n");
        std::fs::write(at.join("store.toml"), text).unwrap();
        let mut process = Process::new("n0", at.join("run"), Path::new(PROGRAM), &[]);
        for (key, file) in [("PROXY_CONFIG", "node.json"), ("PROXY_STORE", "store.toml")] {
            process.variables.push((key.into(), at.join(file).display().to_string()));
        }
        Self { process, folder, _fleet: fleet }
    }

    fn kept(&self) -> PathBuf {
        self.folder.path().join("kept")
    }

    /// Starts it. What it said if it does not listen.
    fn starts(&mut self) -> Result<std::net::SocketAddr, String> {
        let from = std::fs::metadata(self.process.log()).map_or(0, |m| m.len());
        self.process.start().unwrap();
        self.process.wait_until_listening(from).map_err(|e| e.to_string())
    }

    fn stops(&mut self) {
        self.process.kill().unwrap();
    }
}

fn linestack(words: &[&str]) -> (i32, String) {
    let output = Command::new(PROGRAM).args(words).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

fn serves(address: std::net::SocketAddr) {
    let begin = std::time::Instant::now();
    while get_status(address, "/healthz", Duration::from_secs(5)).unwrap() != 200 {
        assert!(begin.elapsed() < Duration::from_secs(20), "it does not serve");
    }
}

// What a store can be that it should not be, what is said of it, and how it is taken back in.
#[rstest]
#[case::gone(|f: &Path| std::fs::remove_dir_all(f).unwrap(), "there is no store here", &["init", "--lost"])]
#[case::emptied(|f: &Path| { std::fs::remove_dir_all(f).unwrap(); std::fs::create_dir(f).unwrap(); }, "there is no store here", &["init", "--lost"])]
#[case::a_restored_copy(|f: &Path| { let c = f.with_file_name("c"); copy_folder(f, &c).unwrap(); std::fs::remove_dir_all(f).unwrap(); std::fs::rename(c, f).unwrap(); }, "a copy", &["adopt"])]
#[case::half_copied(|f: &Path| std::fs::remove_file(f.join("manifest")).unwrap(), "damaged", &["repair"])]
#[case::cut_short(|f: &Path| { let s = f.join("000000000001.segment"); std::fs::write(&s, &std::fs::read(&s).unwrap()[..99]).unwrap(); }, "damaged", &["repair"])]
#[case::of_a_newer_form(|f: &Path| { let m = f.join("manifest"); let mut b = std::fs::read(&m).unwrap(); b[4] = 9; std::fs::write(&m, b).unwrap(); }, "of form 9", &[])]
#[case::unreadable(|f: &Path| { let m = f.join("manifest"); std::fs::remove_file(&m).unwrap(); std::fs::create_dir(m).unwrap(); }, "store.folder", &[])]
#[case::no_folder_at_all(|f: &Path| { std::fs::remove_dir_all(f).unwrap(); std::fs::write(f, "x").unwrap(); }, "store.folder", &[])]
fn not_what_it_should_be(#[case] change: fn(&Path), #[case] says: &str, #[case] remedy: &[&str]) {
    let mut node = Node::new();
    node.starts().unwrap();
    node.stops();
    change(&node.kept());
    let why = node.starts().unwrap_err();
    assert!(why.contains(says) && why.contains("store.folder"), "{why}");
    if !remedy.is_empty() {
        let at = node.kept();
        let words: Vec<&str> =
            ["store"].into_iter().chain(remedy.iter().copied()).chain(at.to_str()).collect();
        let (code, text) = linestack(&words);
        assert_eq!(code, 0, "{text}");
        node.starts().unwrap();
    }
}

// A record that ends each start that reads it: after some tries the store is set aside with its bytes, and the node
// serves, as one that has lost its store.
#[test]
fn a_poisoned_record() {
    let mut node = Node::new();
    let address = node.starts().unwrap();
    serves(address);
    assert_eq!(post(address, "poison"), 200);
    node.stops();
    node.process.variables.push(("LINESTACK_FAULT".into(), "dies-reading=poison".into()));
    for _ in 0..3 {
        node.starts().unwrap_err();
    }
    let address = node.starts().unwrap();
    let aside = node.kept().join("set-aside-1");
    assert!(aside.join("manifest").exists() && aside.join("000000000001.segment").exists());
    // What is not known may have run.
    serves(address);
    assert_eq!(post(address, "other"), 502);
    node.stops();
    // Starts that are killed later do not count.
    for _ in 0..4 {
        node.starts().unwrap();
        node.stops();
    }
    assert!(!node.kept().join("set-aside-2").exists());
}

/// Hands in a one-shot, and returns the status of its answer.
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

// With few descriptors a node starts, or says what it lacks: it does not hang, and does not panic.
#[rstest]
fn few_descriptors(#[values(4, 8, 16, 32, 48, 64)] most: u32) {
    let node = Node::new();
    let at = node.folder.path();
    let limited = format!("ulimit -n {most}; exec {PROGRAM}");
    let mut process = Process::new("n0", at.join("limited"), Path::new("/bin/sh"), &["-c", &limited]);
    process.variables.clone_from(&node.process.variables);
    process.start().unwrap();
    let listens = process.wait_until_listening(0);
    let log = std::fs::read_to_string(process.log()).unwrap();
    assert!(!log.contains("panicked"), "{log}");
    assert!(listens.is_ok() || log.contains("ERROR") || log.contains("open files"), "{log}");
}
