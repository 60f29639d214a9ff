//! A cold executor (one that has just started and takes fewer requests at first) that several nodes send requests to.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::harness::{
    FakeServer, Node, configuration, confirming_discovery, done_response, entry, exchange, job, status,
};

const PROCESSES: u32 = 5;
/// The duration of every job, on the cold executor and on the others: the limit on the cold one assumes jobs of mean duration.
const JOB_DURATION: Duration = Duration::from_millis(40);
/// The share of its capacity that a cold executor has at its start: `coldFrom` in the settings.
const COLD_START_SHARE: f64 = 0.3;
/// The time until a cold executor has its full capacity: `coldMs` in the settings.
const COLD_DURATION_S: f64 = 9.0;
/// The multiple of its capacity that an executor can take within one second: `fallMultiple` and `fallMs` in the settings.
const LOAD_FACTOR: f64 = 2.5;
const TEST_DURATION: Duration = Duration::from_secs(6);

/// Starts an executor that answers each job after [`JOB_DURATION`] and sends the job's arrival time to `sender`, if there is one.
fn start_executor(sender: Option<std::sync::mpsc::Sender<Instant>>) -> std::net::SocketAddr {
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

// Each node limits its own requests to the cold executor; their sum must stay below what the executor can take in any second. One
// node is replaced during the cold phase, and its successor does not know which requests were sent before.
#[test]
fn several_processes_together_do_not_overload_a_cold_executor() {
    let (sender, arrivals) = channel();
    let warm: Vec<_> = (0..6).map(|_| start_executor(None)).collect();
    let cold = start_executor(Some(sender));
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let start = Instant::now();
    let balancers = format!("\"balancers\": {PROCESSES}");
    let changes = [("\"balancers\": 2", &*balancers), ("\"quotaPerS\": 50.0", "\"quotaPerS\": 300.0")];
    let text = configuration(&warm, confirming_discovery(), &changes);
    let cold_entry = entry("cold", cold).replace("\"status\"", &format!("\"since_ms\":{started},\"status\""));
    let text = text.replacen("\"endpoints\":[", &format!("\"endpoints\":[{cold_entry},"), 1);
    let (finished, ids) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(1)));
    let start_clients = |node: &Node| {
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
    nodes.iter().for_each(start_clients);
    let (mut arrival_times, mut replaced) = (Vec::new(), false);
    while start.elapsed() < TEST_DURATION {
        if let Ok(at) = arrivals.recv_timeout(Duration::from_millis(100)) {
            arrival_times.push((at - start).as_secs_f64());
        }
        if start.elapsed() > TEST_DURATION / 3 && !std::mem::replace(&mut replaced, true) {
            // Kills a node and starts another in its place.
            drop(nodes.remove(0));
            let node = Node::start_with(&text);
            start_clients(&node);
            nodes.push(node);
        }
    }
    finished.store(true, Ordering::Relaxed);
    // The number of requests that the executor can take within the second that begins `at` seconds after its start. As far
    // as the nodes know, it has one slot.
    let max_requests = |at: f64| {
        LOAD_FACTOR * (COLD_START_SHARE + (1.0 - COLD_START_SHARE) * (at / COLD_DURATION_S).min(1.0))
            / JOB_DURATION.as_secs_f64()
    };
    // The requests of the busiest second as a share of the allowed number, with a tolerance of twice its square root plus 2.
    let mut worst_ratio: f64 = 0.0;
    for (i, at) in arrival_times.iter().enumerate() {
        let first = arrival_times[..=i].partition_point(|s| *s <= at - 1.0);
        let limit = max_requests((at - 1.0).max(0.0));
        worst_ratio = worst_ratio.max((i + 1 - first) as f64 / (limit + 2.0 * limit.sqrt() + 2.0));
    }
    let total_limit: f64 = (0..TEST_DURATION.as_secs()).map(|s| max_requests(s as f64)).sum();
    let used_share = arrival_times.len() as f64 / total_limit;
    println!(
        "worst second: {worst_ratio:.2} of the allowed requests; {used_share:.2} of all allowed requests used"
    );
    assert!(worst_ratio <= 1.0, "{worst_ratio:.2}");
    assert!(used_share > 0.05, "starved: {used_share:.2}");
}
