//! One process of a fleet of 350, with 1,100 executors.

use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stand::{LONG, Node, Place, ask, configuration, done, entry, job, message, send, status, willing};

const PROCESSES: &str = "\"balancers\": 350";
const EXECUTORS: usize = 1_100;
/// Listeners that the executors share.
const LISTENERS: usize = 4;
/// What the process may take of the machine's memory, by its list and its jobs.
const MOST_KB: u64 = 128 * 1024;
const CLIENTS: u32 = 16;
const JOBS_EACH: u32 = 50;
/// Counts are logged every 10 s.
const COUNTED: Duration = Duration::from_secs(60);
/// Some times between two heartbeats that are due.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// Discovery that tells each call what stands here, indented, anew when it changes, and sends heartbeats meanwhile.
fn discovery(place: Place, list: Arc<Mutex<String>>) -> SocketAddr {
    let address = place.address;
    std::thread::spawn(move || {
        loop {
            let Some(mut call) = place.taken() else {
                std::thread::sleep(HEARTBEAT);
                continue;
            };
            let _ = call.asked();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let (mut said, mut told) = (call.0.get_mut().write_all(head.as_bytes()), String::new());
            while said.is_ok() {
                let now = list.lock().unwrap().clone();
                let text = if now == told { "\n" } else { &now };
                // A chunk ends where it likes.
                said = text.as_bytes().chunks(1_000).try_for_each(|part| {
                    let head = format!("{:x}\r\n", part.len());
                    call.0.get_mut().write_all(&[head.as_bytes(), part, b"\r\n"].concat())
                });
                told = now;
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

/// What the system says of the process's memory, in KiB.
fn memory_kb(node: &Node, what: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix(what)?.strip_prefix(':')).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Hands in jobs over several connections, each after the answer to the one before, and counts those that were done.
fn load(node: &Node) -> u32 {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = node.client();
            std::thread::spawn(move || {
                let ids = number * JOBS_EACH..(number + 1) * JOBS_EACH;
                ids.filter(|id| status(ask(&mut client, &job(*id, "look", 1_500))) == 200).count()
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().unwrap() as u32).sum()
}

#[test]
fn a_process_of_350_serves_with_1_100_executors_within_128_mb() {
    let shared: Vec<_> = (0..LISTENERS).map(|_| willing(Place::open(), "r")).collect();
    let last = Place::open();
    let others = |status: &'static str| {
        let entry = move |(number, address): (usize, &SocketAddr)| {
            entry(&name(number), *address).replace("\"active\"", status)
        };
        shared.iter().cycle().take(EXECUTORS - 1).enumerate().map(entry)
    };
    let own = std::iter::once(entry(&name(EXECUTORS - 1), last.address));
    let text = indented(5, true, others("\"active\"").chain(own));
    println!("a list of {} bytes", text.len());
    let list = Arc::new(Mutex::new(text));
    let changes = [("\"balancers\": 2", PROCESSES), ("\"quotaPerS\": 50.0", "\"quotaPerS\": 1000000.0")];
    let address = discovery(Place::open(), Arc::clone(&list));
    let node = Node::start_with(&configuration(&[], address, &changes));
    let start = Instant::now();
    while status(ask(&mut node.client(), "GET /healthz HTTP/1.1\r\n\r\n")) != 200 {
        assert!(start.elapsed() < LONG, "not ready");
    }
    // The last one does not answer by itself.
    let done_jobs = load(&node);
    // All drain but that one: it gets what comes from then on.
    *list.lock().unwrap() = indented(6, false, others("\"leaving\""));
    let heard = |line: &String| line.contains("index=6");
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(COUNTED).ok());
    lines.find(heard).expect("the change was not heard");
    while let Some(call) = last.taken() {
        call.reset();
    }
    let mut client = node.client();
    send(&mut client, &job(1_000_000, "look", 5_000));
    let mut executor = last.take();
    assert_eq!(executor.id(), Some(1_000_000));
    executor.say(&done(1_000_000, "r"));
    assert_eq!(status(message(&mut client)), 200);
    let counts = lines.find(|line| line.contains("workers=")).expect("nothing was counted");
    println!("{counts}");
    let (now, most) = (memory_kb(&node, "VmRSS"), memory_kb(&node, "VmHWM"));
    println!("{done_jobs} of {} jobs done, {now} KiB resident, {most} KiB at the most", CLIENTS * JOBS_EACH);
    assert!(counts.contains(&format!("workers={EXECUTORS} ")), "{counts}");
    assert!(now <= most && most < MOST_KB, "{now} {most}");
    assert!(done_jobs >= CLIENTS * JOBS_EACH * 9 / 10, "{done_jobs}");
}
