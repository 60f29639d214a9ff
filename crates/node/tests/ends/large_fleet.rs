//! One node of a fleet of 350, with 1,100 executors.

use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::{
    FakeServer, Node, WAIT_LIMIT, answer_all, configuration, done_response, entry, exchange, job, memory_kb,
    read_message, send, status,
};

/// The setting for the number of nodes in the fleet.
const FLEET_SIZE_SETTING: &str = "\"balancers\": 350";
const EXECUTORS: usize = 1_100;
/// The number of listeners that the executors other than the last share.
const LISTENERS: usize = 4;
/// The limit of the node's resident memory, with its list and its jobs.
const MEMORY_LIMIT_KB: u64 = 128 * 1024;
const CLIENTS: u32 = 16;
const JOBS_PER_CLIENT: u32 = 50;
/// The limit of the wait for a log line. The node logs its counts every 10 s.
const LOG_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval of the heartbeats and of the checks for a changed list. It is much shorter than the interval that a node requires.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// Starts a discovery that sends `list` to each watch at its start and whenever it changes, and heartbeats otherwise. It serves one
/// watch at a time.
fn discovery(server: FakeServer, list: Arc<Mutex<String>>) -> SocketAddr {
    let address = server.address;
    std::thread::spawn(move || {
        loop {
            let Some(mut connection) = server.try_accept() else {
                std::thread::sleep(HEARTBEAT);
                continue;
            };
            let _ = connection.read_head();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let (mut result, mut previous) =
                (connection.0.get_mut().write_all(head.as_bytes()), String::new());
            while result.is_ok() {
                let now = list.lock().unwrap().clone();
                let text = if now == previous { "\n" } else { &now };
                // The chunks have a fixed size, so their boundaries may fall anywhere within a line.
                result = text.as_bytes().chunks(1_000).try_for_each(|part| {
                    let head = format!("{:x}\r\n", part.len());
                    connection.0.get_mut().write_all(&[head.as_bytes(), part, b"\r\n"].concat())
                });
                previous = now;
                std::thread::sleep(HEARTBEAT);
            }
        }
    });
    address
}

/// Returns a list, formatted over several lines. A `snapshot` contains all executors, any other list only those that have changed.
fn indented_list(index: u32, snapshot: bool, entries: impl Iterator<Item = String>) -> String {
    let entries: Vec<_> = entries.collect();
    let text = format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","));
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

fn executor_name(number: usize) -> String {
    format!("executor-{number:0>60}")
}

/// Sends jobs from several clients, each after the answer to the client's previous one. Returns the number of jobs that were done.
fn run_jobs(node: &Node) -> u32 {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = node.client();
            std::thread::spawn(move || {
                let ids = number * JOBS_PER_CLIENT..(number + 1) * JOBS_PER_CLIENT;
                ids.filter(|id| status(exchange(&mut client, &job(*id, "look", 1_500))) == 200).count()
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().unwrap() as u32).sum()
}

#[test]
fn a_process_of_350_serves_with_1_100_executors_within_128_mb() {
    let shared_addresses: Vec<_> = (0..LISTENERS).map(|_| answer_all(FakeServer::open(), "r")).collect();
    let last = FakeServer::open();
    let other_entries = |status: &'static str| {
        let entry = move |(number, address): (usize, &SocketAddr)| {
            entry(&executor_name(number), *address).replace("\"active\"", status)
        };
        shared_addresses.iter().cycle().take(EXECUTORS - 1).enumerate().map(entry)
    };
    let last_entry = std::iter::once(entry(&executor_name(EXECUTORS - 1), last.address));
    let text = indented_list(5, true, other_entries("\"active\"").chain(last_entry));
    println!("list of {} bytes", text.len());
    let list = Arc::new(Mutex::new(text));
    let changes =
        [("\"balancers\": 2", FLEET_SIZE_SETTING), ("\"quotaPerS\": 50.0", "\"quotaPerS\": 1000000.0")];
    let address = discovery(FakeServer::open(), Arc::clone(&list));
    let node = Node::start_with(&configuration(&[], address, &changes));
    let start = Instant::now();
    while status(exchange(&mut node.client(), "GET /healthz HTTP/1.1\r\n\r\n")) != 200 {
        assert!(start.elapsed() < WAIT_LIMIT, "not ready");
    }
    // The last executor answers no jobs until the test makes it do so.
    let done_jobs = run_jobs(&node);
    // All other executors drain, so the last one gets all requests from then on.
    *list.lock().unwrap() = indented_list(6, false, other_entries("\"leaving\""));
    let change_applied = |line: &String| line.contains("index=6");
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LOG_TIMEOUT).ok());
    lines.find(change_applied).expect("the change was not logged");
    while let Some(connection) = last.try_accept() {
        connection.reset();
    }
    let mut client = node.client();
    send(&mut client, &job(1_000_000, "look", 5_000));
    let mut executor = last.accept();
    assert_eq!(executor.read_request_id(), Some(1_000_000));
    executor.send(&done_response(1_000_000, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    let counts = lines.find(|line| line.contains("workers=")).expect("no counts were logged");
    println!("{counts}");
    let (resident_kb, peak_kb) = (memory_kb(&node, "VmRSS"), memory_kb(&node, "VmHWM"));
    println!(
        "{done_jobs} of {} jobs done, {resident_kb} KiB resident, {peak_kb} KiB at the peak",
        CLIENTS * JOBS_PER_CLIENT
    );
    assert!(counts.contains(&format!("workers={EXECUTORS} ")), "{counts}");
    assert!(resident_kb <= peak_kb && peak_kb < MEMORY_LIMIT_KB, "{resident_kb} {peak_kb}");
    assert!(done_jobs >= CLIENTS * JOBS_PER_CLIENT * 9 / 10, "{done_jobs}");
}
