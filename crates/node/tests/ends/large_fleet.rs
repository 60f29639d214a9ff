//! One process of a fleet of 350, with 1,100 executors.

use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::{
    FakeServer, Node, WAIT_LIMIT, answer_all, configuration, done_response, entry, exchange, job,
    read_message, send, status,
};

const PROCESSES: &str = "\"balancers\": 350";
const EXECUTORS: usize = 1_100;
/// Number of listeners that the executors share.
const LISTENERS: usize = 4;
/// Limit of the process's resident memory, with its list and its jobs.
const MEMORY_LIMIT_KB: u64 = 128 * 1024;
const CLIENTS: u32 = 16;
const JOBS_PER_CLIENT: u32 = 50;
/// Limit of the wait for a log line; counts are logged every 10 s.
const COUNTS_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of the heartbeats; several of them fall within the interval that is required.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// Starts a discovery that sends the text in `list` to each watch, again whenever it changes, with heartbeats between.
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
                // Chunk boundaries are independent of lines and lists.
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

fn indented(index: u32, whole: bool, entries: impl Iterator<Item = String>) -> String {
    let entries: Vec<_> = entries.collect();
    let text = format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{}]}}", entries.join(","));
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

fn name(number: usize) -> String {
    format!("executor-{number:0>60}")
}

/// Returns a memory figure from the process's /proc/PID/status, in KiB.
fn memory_kb(node: &Node, what: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix(what)?.strip_prefix(':')).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Sends jobs over several connections, each after the answer to the previous one, and counts those that were done.
fn load(node: &Node) -> u32 {
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
    let shared: Vec<_> = (0..LISTENERS).map(|_| answer_all(FakeServer::open(), "r")).collect();
    let last = FakeServer::open();
    let others = |status: &'static str| {
        let entry = move |(number, address): (usize, &SocketAddr)| {
            entry(&name(number), *address).replace("\"active\"", status)
        };
        shared.iter().cycle().take(EXECUTORS - 1).enumerate().map(entry)
    };
    let own = std::iter::once(entry(&name(EXECUTORS - 1), last.address));
    let text = indented(5, true, others("\"active\"").chain(own));
    println!("list of {} bytes", text.len());
    let list = Arc::new(Mutex::new(text));
    let changes = [("\"balancers\": 2", PROCESSES), ("\"quotaPerS\": 50.0", "\"quotaPerS\": 1000000.0")];
    let address = discovery(FakeServer::open(), Arc::clone(&list));
    let node = Node::start_with(&configuration(&[], address, &changes));
    let start = Instant::now();
    while status(exchange(&mut node.client(), "GET /healthz HTTP/1.1\r\n\r\n")) != 200 {
        assert!(start.elapsed() < WAIT_LIMIT, "not ready");
    }
    // The last executor does not answer on its own.
    let done_jobs = load(&node);
    // All but the last executor drain: it gets all requests from then on.
    *list.lock().unwrap() = indented(6, false, others("\"leaving\""));
    let applied = |line: &String| line.contains("index=6");
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(COUNTS_TIMEOUT).ok());
    lines.find(applied).expect("the change was not logged");
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
    let (now, most) = (memory_kb(&node, "VmRSS"), memory_kb(&node, "VmHWM"));
    println!(
        "{done_jobs} of {} jobs done, {now} KiB resident, {most} KiB at the peak",
        CLIENTS * JOBS_PER_CLIENT
    );
    assert!(counts.contains(&format!("workers={EXECUTORS} ")), "{counts}");
    assert!(now <= most && most < MEMORY_LIMIT_KB, "{now} {most}");
    assert!(done_jobs >= CLIENTS * JOBS_PER_CLIENT * 9 / 10, "{done_jobs}");
}
