//! Temporary failures of system calls in the node, and steps of its wall clock.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rstest::rstest;

use crate::harness::{
    FakeServer, Node, WATCH_HEAD, answer_all, configuration, confirming_discovery, done_response, entry,
    exchange, job, list_chunk, read_message, send, status, unused_address,
};

/// Answers one request per connection to this executor and closes it, so that every execution needs a new connection. Returns the
/// executor's address.
fn answer_and_close(server: FakeServer) -> SocketAddr {
    let address = server.address;
    std::thread::spawn(move || {
        loop {
            let mut connection = server.accept();
            std::thread::spawn(move || {
                if let Some(id) = connection.read_request_id() {
                    let answer = done_response(id, "r").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                    let answer = answer.replacen("0\r\nConnection: close\r\n\r\n", "0\r\n\r\n", 1);
                    let _ = std::io::Write::write_all(connection.0.get_mut(), answer.as_bytes());
                }
            });
        }
    });
    address
}

// Connects that fail on the node's own machine say nothing about the executors. Guards against executors that are ejected for such
// failures until none is in service, so that nearly all requests are dismissed although every second attempt would succeed.
#[test]
fn connects_that_fail_on_this_machine_eject_no_executor() {
    const REQUESTS: u32 = 100;
    let executors: Vec<_> = (0..4).map(|_| answer_and_close(FakeServer::open())).collect();
    let text = configuration(&executors, confirming_discovery(), &[]);
    let node = Node::start_with_faults(&text, "seed=1; connect=0.5:EADDRNOTAVAIL,ENETUNREACH,ENOBUFS");
    node.wait_until_ready();
    let mut client = node.client();
    let served =
        (1..=REQUESTS).filter(|id| status(exchange(&mut client, &job(*id, "look", 1_500))) == 200).count();
    assert!(served >= 90, "{served} of {REQUESTS}");
}

/// Answers every request and every probe to this executor at once, for the rest of the test run. Returns the executor's address.
fn answer_all_and_probes(server: FakeServer) -> SocketAddr {
    let address = server.address;
    std::thread::spawn(move || {
        loop {
            let mut connection = server.accept();
            std::thread::spawn(move || {
                while let Some(head) = connection.read_head() {
                    let id = head.lines().find_map(|l| l.strip_prefix("Req-Id: ")?.parse().ok());
                    let answer = id.map_or(HEALTHY.to_owned(), |id| done_response(id, "r"));
                    if std::io::Write::write_all(connection.0.get_mut(), answer.as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// The response to a probe.
const HEALTHY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// Half of the connects fail with the error, for all executors alike. All of them are healthy, and every second attempt succeeds, so
// a failure says nothing about a single executor. Guards against a node that does not retry within the connect timeout: one failure
// ejected an executor and two in a row declared it dead, and the node's counts were connect_failed=9 died=8 for five healthy
// executors. With retries both counts stay 0.
#[rstest]
#[case::no_host_found("EHOSTUNREACH", "false")]
#[case::no_host_found_with_probes("EHOSTUNREACH", "true")]
#[case::timed_out("ETIMEDOUT", "false")]
#[case::timed_out_with_probes("ETIMEDOUT", "true")]
fn connects_that_fail_to_all_executors_alike_leave_them_in_service(
    #[case] error: &str,
    #[case] probes: &str,
) {
    const REQUESTS: u32 = 300;
    const CLIENTS: u32 = 6;
    let executors: Vec<_> = (0..5).map(|_| answer_all_and_probes(FakeServer::open())).collect();
    let probing = format!("\"mayProbe\": {probes}");
    let text = configuration(&executors, confirming_discovery(), &[("\"mayProbe\": false", &probing)]);
    let node = Node::start_with_faults(&text, &format!("seed=7; connect=0.5:{error}"));
    node.wait_until_ready();
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| node.client()).collect();
    let mut served = 0;
    for round in 0..REQUESTS / CLIENTS {
        for (index, client) in clients.iter_mut().enumerate() {
            send(client, &job(round * CLIENTS + index as u32 + 1, "look", 1_500));
        }
        served += clients.iter_mut().map(|client| status(read_message(client))).filter(|s| *s == 200).count();
        std::thread::sleep(Duration::from_millis(40));
    }
    assert!(served >= 270, "{served} of {REQUESTS}");
}

// For 0.4 s no connect succeeds. Requests that arrive in that time are served afterwards, and no executor is ejected.
#[test]
fn a_short_time_without_connects_loses_no_answer() {
    let executors: Vec<_> = (0..4).map(|_| answer_and_close(FakeServer::open())).collect();
    let begin = Instant::now();
    let text = configuration(&executors, confirming_discovery(), &[]);
    let node = Node::start_with_faults(&text, "seed=4; connect=1:ENFILE,EADDRNOTAVAIL,ENOBUFS@1500..1900");
    node.wait_until_ready();
    std::thread::sleep(Duration::from_millis(1_550).saturating_sub(begin.elapsed()));
    let mut clients: Vec<_> = (1..=4).map(|id| (id, node.client())).collect();
    for (id, client) in &mut clients {
        send(client, &job(*id, "look", 1_500));
    }
    for (id, client) in &mut clients {
        assert_eq!(status(read_message(client)), 200, "{id}");
    }
}

/// Starts a node whose system calls fail according to `fault_plan` while it requests its first list, and checks that it does not
/// use its configured list. A request to discovery that could not be sent, or was interrupted, says nothing about discovery. Guards
/// against a node that takes it for a failed first request: the node then uses its configured list, and sends requests to an
/// executor that has left.
fn check_that_a_local_failure_leaves_the_configured_list_unused(fault_plan: &str) {
    let (discovery, left) = (FakeServer::open(), FakeServer::open());
    let node = Node::start_with_faults(&configuration(&[left.address], discovery.address, &[]), fault_plan);
    let mut client = node.client();
    let send_job = |client: &mut _, id| status(exchange(client, &job(id, "look", 1_500)));
    let mut connection = discovery.accept();
    connection.read_head().unwrap();
    let start = Instant::now();
    for id in 1.. {
        if start.elapsed() > Duration::from_secs(1) {
            break;
        }
        assert_eq!(send_job(&mut client, id), 503);
        std::thread::sleep(Duration::from_millis(10));
    }
    let left_entry = entry("w0", left.address).replace("active", "left");
    connection.send(&format!("{WATCH_HEAD}{}", list_chunk(9, false, &[left_entry])));
    node.wait_until_ready();
    assert_eq!(send_job(&mut client, 100_000), 503);
    assert!(!left.has_pending_connection());
}

#[test]
fn a_failed_first_connect_to_discovery_leaves_the_configured_list_unused() {
    check_that_a_local_failure_leaves_the_configured_list_unused("connect=1:ENETUNREACH@0..400");
}

// The failure lasts longer than the connect timeout, so that the whole first attempt fails.
#[test]
fn a_missing_route_to_discovery_leaves_the_configured_list_unused() {
    check_that_a_local_failure_leaves_the_configured_list_unused("connect=1:ENETUNREACH@0..1500");
}

#[test]
fn an_interrupted_first_read_from_discovery_leaves_the_configured_list_unused() {
    check_that_a_local_failure_leaves_the_configured_list_unused("seed=2; read=0.6");
}

// Short reads, short writes and interrupted calls must not corrupt a connection's data.
#[test]
fn short_and_interrupted_reads_and_writes_corrupt_no_message() {
    let executors: Vec<_> =
        (0..2).map(|_| answer_all(FakeServer::open(), "a result of some length")).collect();
    let fault_plan = "seed=5; short=0.9; read=0.2; write=0.2; wait=0.2; accept=0.3";
    let node = Node::start_with_faults(&configuration(&executors, confirming_discovery(), &[]), fault_plan);
    node.wait_until_ready();
    for round in 0..5 {
        let mut client = node.client();
        for id in 1..=10 {
            let (head, body) = exchange(&mut client, &job(round * 100 + id, "pay", 5_000)).unwrap();
            assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
            assert_eq!(body, "a result of some length");
        }
    }
}

// Guards against a short write of the `100 Continue` response whose rest is dropped, so that the bytes that follow are not a valid
// response.
#[test]
fn a_100_continue_response_is_written_whole_despite_short_writes() {
    let node = Node::start_with_faults(
        &configuration(&[answer_all(FakeServer::open(), "r")], confirming_discovery(), &[]),
        "seed=3; short=1",
    );
    node.wait_until_ready();
    let mut client = node.client();
    let request = job(1, "look", 5_000);
    let (head, body) = request.split_at(request.len() - 4);
    send(&mut client, &head.replace("Host: h\r\n", "Host: h\r\nExpect: 100-continue\r\n"));
    let interim = read_message(&mut client).unwrap().0;
    assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
    send(&mut client, body);
    assert_eq!(read_message(&mut client).unwrap().1, "r");
}

// No file can be opened when SIGHUP tells the node to read its new configuration, because no file descriptor is free. Guards
// against a read that is never retried, so that the old discovery stays in use.
#[rstest]
#[case::the_machine_has_none_left("ENFILE")]
#[case::the_process_has_none_left("EMFILE")]
fn a_new_configuration_that_can_not_be_read_at_once_is_read_again(#[case] error: &str) {
    let (old, new) = (FakeServer::open(), FakeServer::open());
    let text = configuration(&[unused_address()], old.address, &[]);
    let begin = Instant::now();
    let node = Node::start_with_faults(&text, &format!("open=1:{error}@1500..2500"));
    old.accept().read_head().unwrap();
    node.replace_configuration(&text.replace(&old.address.to_string(), &new.address.to_string()));
    std::thread::sleep(Duration::from_millis(1_700).saturating_sub(begin.elapsed()));
    node.signal("-HUP");
    new.accept().read_head().unwrap();
    assert!(begin.elapsed() < Duration::from_secs(4), "{:?}", begin.elapsed());
}

// Guards against a node that exits because no file descriptor is free during the first moments of its start.
#[test]
fn a_start_tolerates_calls_that_fail_for_a_moment() {
    let executor = answer_all(FakeServer::open(), "r");
    let text = configuration(&[executor], confirming_discovery(), &[]);
    let node = Node::start_with_faults(&text, "socket=1:ENFILE,ENOBUFS@0..300; open=1:ENFILE@0..300");
    node.wait_until_ready();
    assert_eq!(status(exchange(&mut node.client(), &job(1, "look", 1_500))), 200);
}

/// Answers each request to this executor after `duration`, and adds the requests to `count`. Returns the executor's address.
fn answer_after(server: FakeServer, duration: Duration, count: Arc<AtomicU32>) -> SocketAddr {
    let address = server.address;
    std::thread::spawn(move || {
        loop {
            let mut connection = server.accept();
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                while let Some(id) = connection.read_request_id() {
                    count.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(duration);
                    if std::io::Write::write_all(connection.0.get_mut(), done_response(id, "r").as_bytes())
                        .is_err()
                    {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// The duration of each job in the tests of cold executors.
const COLD_TEST_JOB_DURATION: Duration = Duration::from_millis(100);
/// The limit of the requests to a cold executor in its first second. By the settings it can take the work of 2.5 x 0.3 slots, which
/// is 7.5 jobs; the tolerance is 3 times the square root of that, plus 3.
const MAX_COLD_REQUESTS: u32 = 18;

/// Starts ten clients that each send one request after the other until `stop` is set.
fn spawn_request_loops(node: &Node, stop: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<()>> {
    let client = |number: u32| {
        let (mut client, stop) = (node.client(), Arc::clone(stop));
        std::thread::spawn(move || {
            let mut id = number * 100_000 + 1;
            while !stop.load(Ordering::Relaxed) {
                assert!(status(exchange(&mut client, &job(id, "look", 1_500))) > 0);
                id += 1;
            }
        })
    };
    (0..10).map(client).collect()
}

// A node that starts while its machine's clock is an hour fast has no other clock to compare the list's times with. Guards against
// its taking an executor of its first list that has just started for a warm one.
#[test]
fn what_has_just_started_is_cold_to_a_process_that_starts_under_a_wrong_clock() {
    let warm: Vec<_> =
        (0..2).map(|_| answer_after(FakeServer::open(), COLD_TEST_JOB_DURATION, Arc::default())).collect();
    let sent = Arc::new(AtomicU32::new(0));
    let cold = answer_after(FakeServer::open(), COLD_TEST_JOB_DURATION, Arc::clone(&sent));
    let discovery = FakeServer::open();
    let node = Node::start_with_faults(&configuration(&warm, discovery.address, &[]), "clock=3600000@0");
    let mut connection = discovery.accept();
    connection.read_head().unwrap();
    let mut entries: Vec<_> = (0..2).map(|i| entry(&format!("w{i}"), warm[i])).collect();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1e3;
    entries.push(entry("w9", cold).replace('}', &format!(",\"since_ms\":{now}}}")));
    connection.send(&format!("{WATCH_HEAD}{}", list_chunk(5, true, &entries)));
    node.wait_until_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = spawn_request_loops(&node, &stop);
    std::thread::sleep(Duration::from_secs(1));
    let sent = sent.load(Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert!(sent <= MAX_COLD_REQUESTS, "{sent}");
}

// After the wall clock is stepped back by an hour, a new executor is listed with a start time that is an hour ago by the clock
// before the step. Guards against its being taken for warm and sent its full share of requests at once.
#[test]
fn an_executor_started_after_a_step_of_the_wall_clock_is_cold() {
    const HOUR_MS: f64 = 3_600_000.0;
    let warm: Vec<_> =
        (0..2).map(|_| answer_after(FakeServer::open(), COLD_TEST_JOB_DURATION, Arc::default())).collect();
    let sent = Arc::new(AtomicU32::new(0));
    let cold = answer_after(FakeServer::open(), COLD_TEST_JOB_DURATION, Arc::clone(&sent));
    let discovery = FakeServer::open();
    let node = Node::start_with_faults(
        &configuration(&warm, discovery.address, &[]),
        &format!("clock=-{HOUR_MS}@1500"),
    );
    let begin = Instant::now();
    let mut connection = discovery.accept();
    connection.read_head().unwrap();
    let entries: Vec<_> = (0..2).map(|i| entry(&format!("w{i}"), warm[i])).collect();
    connection.send(&format!("{WATCH_HEAD}{}", list_chunk(5, true, &entries)));
    node.wait_until_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = spawn_request_loops(&node, &stop);
    std::thread::sleep(Duration::from_millis(2_000).saturating_sub(begin.elapsed()));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1e3;
    let started = entry("w9", cold).replace('}', &format!(",\"since_ms\":{}}}", now - HOUR_MS));
    connection.send(&list_chunk(6, false, &[started]));
    std::thread::sleep(Duration::from_secs(1));
    let sent = sent.load(Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert!(sent <= MAX_COLD_REQUESTS, "{sent}");
}

// Guards against a list that came while the store failed and is never written: the confirmations that are written later would make the
// older list look fresh, and a restarted node would send to an executor that has left.
#[test]
fn a_list_that_comes_while_the_store_fails_is_written_later() {
    let folder = tempfile::tempdir().unwrap();
    let (store, file) = (folder.path().join("store"), folder.path().join("store.toml"));
    let program = env!("CARGO_BIN_EXE_linestack");
    assert!(Command::new(program).args(["store", "init"]).arg(&store).status().unwrap().success());
    std::fs::write(&file, format!("[store]\nfolder = {store:?}\nsame-by = \"req-id\"\n")).unwrap();
    let (discovery, executor) = (FakeServer::open(), FakeServer::open());
    let begin = Instant::now();
    let sleep_until = |ms| std::thread::sleep(Duration::from_millis(ms).saturating_sub(begin.elapsed()));
    let text = configuration(&[executor.address], discovery.address, &[]);
    let node = Node::start_with_store(&text, "sync=1:EIO@1500..2500", Some(&file));
    let mut watch = discovery.accept();
    watch.read_head().unwrap();
    let active = entry("w0", executor.address);
    watch.send(&format!("{WATCH_HEAD}{}", list_chunk(5, true, std::slice::from_ref(&active))));
    node.wait_until_ready();
    sleep_until(1_700);
    watch.send(&list_chunk(6, false, &[active.replace("active", "leaving")]));
    sleep_until(2_600);
    // Heartbeats confirm the list.
    for _ in 0..3 {
        watch.send("1\r\n\n\r\n");
        std::thread::sleep(Duration::from_millis(600));
    }
    drop(node);
    let dump = Command::new(program).args(["store", "dump"]).arg(&store).output().unwrap();
    let dump = String::from_utf8(dump.stdout).unwrap();
    assert!(dump.contains("\"index\":6"), "{dump}");
}

// Guards against a store that accepts no one-shots after one failed write or sync until an operator restarts the node.
#[test]
fn a_store_accepts_one_shots_again_after_its_folder_failed_for_a_while() {
    for fault in ["sync=1:EIO", "file-write=1:ENOSPC"] {
        let folder = tempfile::tempdir().unwrap();
        let (store, file) = (folder.path().join("store"), folder.path().join("store.toml"));
        let mut init = Command::new(env!("CARGO_BIN_EXE_linestack"));
        assert!(init.args(["store", "init"]).arg(&store).status().unwrap().success());
        std::fs::write(&file, format!("[store]\nfolder = {store:?}\nsame-by = \"req-id\"\n")).unwrap();
        let executed = Arc::new(AtomicU32::new(0));
        let executor = answer_after(FakeServer::open(), Duration::ZERO, Arc::clone(&executed));
        let begin = Instant::now();
        let text = configuration(&[executor], confirming_discovery(), &[]);
        let node = Node::start_with_store(&text, &format!("{fault}@1500..2500"), Some(&file));
        node.wait_until_ready();
        let mut client = node.client();
        let mut pay = |id| status(exchange(&mut client, &job(id, "pay", 1_500)));
        assert_eq!(pay(1), 200, "{fault}");
        std::thread::sleep(Duration::from_millis(1_600).saturating_sub(begin.elapsed()));
        // The store cannot persist the request, so it is refused and not sent.
        assert_eq!(pay(2), 503, "{fault}");
        assert_eq!(executed.load(Ordering::Relaxed), 1, "{fault}");
        // Requests that need no persistence are still served.
        assert_eq!(status(exchange(&mut node.client(), &job(3, "look", 1_500))), 200, "{fault}");
        std::thread::sleep(Duration::from_millis(2_500).saturating_sub(begin.elapsed()));
        let mut id = 10;
        while pay(id) != 200 {
            assert!(begin.elapsed() < Duration::from_millis(4_500), "{fault}: not accepted again");
            std::thread::sleep(Duration::from_millis(20));
            id += 1;
        }
        // The restarted node has the records of the requests accepted before and after the failure, and executes neither again.
        let before = executed.load(Ordering::Relaxed);
        drop(node);
        let node = Node::start_with_store(&text, "", Some(&file));
        node.wait_until_ready();
        let mut client = node.client();
        for known in [1, id] {
            let (head, result) = exchange(&mut client, &job(known, "pay", 1_500)).unwrap();
            assert!(
                head.starts_with("HTTP/1.1 200 ") && result == "r" || head.starts_with("HTTP/1.1 502 "),
                "{head}"
            );
        }
        assert_eq!(executed.load(Ordering::Relaxed), before, "{fault}: executed again");
    }
}
