//! A cold executor that receives requests from several processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::harness::{
    FakeServer, Node, configuration, confirming_discovery, done_response, entry, exchange, job, status,
};

const PROCESSES: u32 = 5;
/// Duration of a job, cold or warm: the budget is counted in jobs of mean duration.
const JOB_DURATION: Duration = Duration::from_millis(40);
// From the settings: the initial share of the executor's capacity, the duration of the cold phase in seconds, and the multiple of
// the capacity that it can take within one second.
const COLD_START_SHARE: f64 = 0.3;
const COLD_DURATION_S: f64 = 9.0;
const LOAD_FACTOR: f64 = 2.5;
const TEST_DURATION: Duration = Duration::from_secs(6);

/// Accepts all connections and answers each job after [`JOB_DURATION`]. Sends the arrival time of each job to `sender`.
fn executor(sender: Option<std::sync::mpsc::Sender<Instant>>) -> std::net::SocketAddr {
    let server = FakeServer::open();
    let address = server.address;
    std::thread::spawn(move || {
        loop {
            let Some(mut connection) = server.try_accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let sender = sender.clone();
            std::thread::spawn(move || {
                while let Some(id) = connection.read_request_id() {
                    if let Some(sender) = &sender {
                        let _ = sender.send(Instant::now());
                    }
                    std::thread::sleep(JOB_DURATION);
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

// Each process limits its own requests to the cold executor; their sum must stay below what the executor can take in any second.
// One process is replaced during the cold phase, and its successor knows nothing of the requests sent before.
#[test]
fn several_processes_together_do_not_overload_a_cold_executor() {
    let (sender, arrivals) = channel();
    let warm: Vec<_> = (0..6).map(|_| executor(None)).collect();
    let cold = executor(Some(sender));
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let start = Instant::now();
    let balancers = format!("\"balancers\": {PROCESSES}");
    let changes = [("\"balancers\": 2", &*balancers), ("\"quotaPerS\": 50.0", "\"quotaPerS\": 300.0")];
    let text = configuration(&warm, confirming_discovery(), &changes);
    let cold_entry = entry("cold", cold).replace("\"status\"", &format!("\"since_ms\":{started},\"status\""));
    let text = text.replacen("\"endpoints\":[", &format!("\"endpoints\":[{cold_entry},"), 1);
    let (finished, ids) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(1)));
    let clients = |node: &Node| {
        let address = node.address;
        for _ in 0..16 {
            let (finished, ids) = (Arc::clone(&finished), Arc::clone(&ids));
            std::thread::spawn(move || {
                let socket = std::net::TcpStream::connect(address).unwrap();
                let mut socket = std::io::BufReader::new(socket);
                while !finished.load(Ordering::Relaxed) {
                    let id = ids.fetch_add(1, Ordering::Relaxed);
                    if status(exchange(&mut socket, &job(id, "look", 1_000))) == 0 {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
    };
    let mut nodes: Vec<_> = (0..PROCESSES).map(|_| Node::start_with(&text)).collect();
    nodes.iter().for_each(clients);
    let (mut sent, mut replaced) = (Vec::new(), false);
    while start.elapsed() < TEST_DURATION {
        if let Ok(at) = arrivals.recv_timeout(Duration::from_millis(100)) {
            sent.push((at - start).as_secs_f64());
        }
        if start.elapsed() > TEST_DURATION / 3 && !std::mem::replace(&mut replaced, true) {
            // Kills a process and starts another in its place.
            drop(nodes.remove(0));
            let node = Node::start_with(&text);
            clients(&node);
            nodes.push(node);
        }
    }
    finished.store(true, Ordering::Relaxed);
    // The executor has one slot, as far as the processes know, and all jobs have the mean duration.
    let allowed = |at: f64| {
        LOAD_FACTOR * (COLD_START_SHARE + (1.0 - COLD_START_SHARE) * (at / COLD_DURATION_S).min(1.0))
            / JOB_DURATION.as_secs_f64()
    };
    let mut most: f64 = 0.0;
    for (i, at) in sent.iter().enumerate() {
        let first = sent[..=i].partition_point(|s| *s <= at - 1.0);
        let n = allowed((at - 1.0).max(0.0));
        most = most.max((i + 1 - first) as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    let budget: f64 = (0..TEST_DURATION.as_secs()).map(|s| allowed(s as f64)).sum();
    let used = sent.len() as f64 / budget;
    println!("worst second: {most:.2} of the allowed requests; {used:.2} of the budget used");
    assert!(most <= 1.0, "{most:.2}");
    assert!(used > 0.05, "starved: {used:.2}");
}
