//! Case 8: bodies of requests whose clients have left, bad clients and spoilt answers together exceed a node's memory.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::client::{Client, Request};
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, with_trouble, Random, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `ctenka-loans-cz.toml`, in the names of the wire; attempts can't be cancelled.
const SETTINGS: &str = include_str!("../ctenka-loans-cz.json");
/// The least memory that the pages name, in MiB.
const MEMORY_MB: u64 = 32;
const EXECUTORS: usize = 200;
/// The longest body.
const BODY: usize = 64 * 1024;
/// Requests a second of the usual clients.
const RATE: f64 = 60.0;
const CLIENTS: usize = 30;
const BAD_CLIENTS: usize = 90;
const SILENT_CLIENTS: usize = 150;
const TROUBLE: Duration = Duration::from_secs(20);

fn head(id: u64, kind: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id:016x}\r\nReq-Kind: {kind}\r\nReq-Owner: univ-vltava\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: {BODY}\r\n\r\n"
    )
}

fn key(random: &mut Random) -> String {
    format!("Idempotency-Key: {:016x}{:016x}\r\n", random.next(), random.next())
}

/// Hands in requests with the longest body. In the trouble it gives up after 300 ms, else it waits for the answer.
fn usual_client(index: usize, node: SocketAddr, trouble: &AtomicBool, stop: &AtomicBool, counts: &Counts, record: &Record) {
    let mut random = Random(100 + index as u64);
    let body = vec![b'b'; BODY];
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_secs_f64(2.0 * CLIENTS as f64 / RATE * random.unit()));
        let Ok(mut socket) = TcpStream::connect(node) else { continue };
        let id = random.next();
        let text = head(id, "package-file", &key(&mut random), 20000);
        if socket.write_all(text.as_bytes()).and_then(|()| socket.write_all(&body)).is_err() {
            record.add(format!("client could not send {id:016x}"));
            continue;
        }
        record.add(format!("client sends {id:016x}"));
        counts.sent.fetch_add(1, Ordering::SeqCst);
        let patience = if trouble.load(Ordering::SeqCst) { ms(300) } else { ms(21_000) };
        let _ = socket.set_read_timeout(Some(patience));
        let mut answer = [0; 64];
        let result = socket.read(&mut answer);
        record.add(match &result {
            Ok(count) => format!("client answered {id:016x} {}", String::from_utf8_lossy(&answer[..*count]).lines().next().unwrap_or("")),
            Err(_) => format!("client gives up {id:016x}"),
        });
        match result {
            Ok(count) if answer[..count].starts_with(b"HTTP/1.1 200") => counts.served.fetch_add(1, Ordering::SeqCst),
            Ok(_) => counts.other.fetch_add(1, Ordering::SeqCst),
            Err(_) => counts.left.fetch_add(1, Ordering::SeqCst),
        };
    }
}

/// Sends a request but for its last byte, waits to be turned away, and does the same again.
fn bad_client(index: usize, node: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut random = Random(900 + index as u64);
    let body = vec![b'b'; BODY - 1];
    while !stop.load(Ordering::SeqCst) {
        if let Ok(mut socket) = TcpStream::connect(node) {
            let id = random.next();
            let text = head(id, "package-file", &key(&mut random), 20000);
            let sent = socket.write_all(text.as_bytes()).and_then(|()| socket.write_all(&body));
            record.add(format!("bad client sends {id:016x} but for its last byte: {}", sent.is_ok()));
            let _ = socket.set_read_timeout(Some(ms(4000)));
            let mut answer = [0; 64];
            let count = socket.read(&mut answer).unwrap_or(0);
            let line = String::from_utf8_lossy(&answer[..count]).lines().next().unwrap_or("a close, or nothing").to_owned();
            record.add(format!("bad client gets {id:016x}: {line}"));
        }
        thread::sleep(ms(100));
    }
}

/// Connects and says nothing, until the connection is closed, and does the same again.
fn silent_client(node: SocketAddr, stop: &AtomicBool, record: &Record) {
    while !stop.load(Ordering::SeqCst) {
        if let Ok(mut socket) = TcpStream::connect(node) {
            record.add("silent client connects".into());
            let _ = socket.set_read_timeout(Some(ms(4000)));
            let _ = socket.read(&mut [0; 64]);
        }
        thread::sleep(ms(100));
    }
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    other: AtomicU64,
    left: AtomicU64,
}

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let trouble = Arc::new(AtomicBool::new(false));
    let spoiling = Arc::clone(&trouble);
    let spoilt = AtomicU64::new(0);
    let executors = Executors::start(EXECUTORS, true, &record, "\"util\":0.2,\"eps\":0.0,\"x0\":3", move |_, _| {
        // Three of four answers are spoilt.
        if spoiling.load(Ordering::SeqCst) && spoilt.fetch_add(1, Ordering::SeqCst) % 4 != 0 {
            Treatment::Spoil(ms(300), 20 * 1024)
        } else {
            Treatment::Run(ms(400))
        }
    });
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, a)| Entry::new(&format!("s-{i}"), *a, "praha-holesovice", "dual-fast", i as u32 / 4)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-8");
    let known = discovery.known();
    let settings = SETTINGS.replace("\"cancel\": true", "\"cancel\": false");
    let mut node = Node::start(&NodeStart {
        root: &root,
        folder: &temp.0,
        name: "n1",
        address: free_address(),
        discovery: discovery.address,
        known: &known,
        settings: &settings,
        memory_mb: MEMORY_MB,
        variables: &[],
    });
    if !node.wait_until_ready(Duration::from_secs(30)) {
        record.write(&folder, &["the node did not become ready".into()]);
        drop((node, temp));
        std::process::exit(COULD_NOT_RUN);
    }
    record.add(format!("the node is ready and has {} KiB", node.own_memory_kb()));
    let (stop, counts, address) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()), node.address);
    let mut threads = Vec::new();
    for index in 0..CLIENTS {
        let (trouble, stop, counts, record) = (Arc::clone(&trouble), Arc::clone(&stop), Arc::clone(&counts), record.clone());
        threads.push(thread::spawn(move || usual_client(index, address, &trouble, &stop, &counts, &record)));
    }
    // A client that checks that the node serves.
    let mut peak = 0;
    let mut watch = |node: &Node, record: &Record, length: Duration| {
        let (start, mut noted) = (Instant::now(), Instant::now());
        while start.elapsed() < length {
            thread::sleep(ms(20));
            let memory = node.own_memory_kb();
            if memory > peak || noted.elapsed() > ms(500) {
                peak = peak.max(memory);
                noted = Instant::now();
                record.add(format!("the node has {memory} KiB, peak {peak} KiB"));
            }
        }
        peak
    };
    watch(&node, &record, Duration::from_secs(5));
    if with_trouble() {
        record.add("trouble begins: clients give up early, three of four answers are spoilt".into());
        trouble.store(true, Ordering::SeqCst);
        watch(&node, &record, Duration::from_secs(12));
        record.add("bad clients begin".into());
        for index in 0..BAD_CLIENTS {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            threads.push(thread::spawn(move || bad_client(index, address, &stop, &record)));
        }
        for _ in 0..SILENT_CLIENTS {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            threads.push(thread::spawn(move || silent_client(address, &stop, &record)));
        }
    }
    let peak = watch(&node, &record, TROUBLE);
    stop.store(true, Ordering::SeqCst);
    trouble.store(false, Ordering::SeqCst);
    let mut last = Client::new(address);
    thread::sleep(Duration::from_secs(9));
    let request = Request { id: "00000000000000aa".into(), kind: "issue-loan", owner: "univ-vltava".into(), deadline_ms: 5000, key: None };
    let after = last.send(&request, &record).status;
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let crashed = node.has_ended();
    for line in std::fs::read_to_string(&node.log).unwrap_or_default().lines().filter(|line| line.contains("counts")) {
        record.add(format!("log: {line}"));
    }
    drop(node);
    drop(temp);
    let limit = MEMORY_MB * 1024;
    let count = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let findings = vec![
        format!(
            "requests of usual clients: {}, served {}, answered otherwise {}, given up {}",
            count(&counts.sent), count(&counts.served), count(&counts.other), count(&counts.left)
        ),
        format!("a request after the trouble was answered {after}"),
        format!("the node's own memory at its peak: {peak} KiB, its limit: {limit} KiB"),
    ];
    record.write(&folder, &findings);
    let code = if count(&counts.sent) < 100 || executors.received.lock().unwrap().is_empty() {
        COULD_NOT_RUN
    } else if peak > limit || crashed {
        BROKEN
    } else {
        HELD
    };
    std::process::exit(code);
}
