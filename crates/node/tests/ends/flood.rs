//! One client that sends requests as fast as it can, beside others that must still be served in time.

use std::io::{BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::{Connection, FakeServer, Node, done_response, exchange, job, memory_kb, status};

/// How long the client sends.
const FLOOD_LENGTH: Duration = Duration::from_secs(2);
/// A flood takes some cores of the machine, so that one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
/// How long another client may wait for an answer that its executor gives at once: the time that requests agree on.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(400);
/// The pause of another client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// The number of requests that the flooding client writes at once.
const BATCH: u32 = 500;
/// What the node may take beside its connections for a client that floods it, in KiB: what one client may send ahead, the
/// buffers of the answers, and what the allocator keeps.
const MAX_GROWTH_KB: u64 = 4 * 1024;
/// The id of a submission that its executor completes after [`SLOW_ANSWER_TIME`]. All others are completed at once.
const SLOW_ID: u32 = 1;
const SLOW_ANSWER_TIME: Duration = Duration::from_secs(1);
/// The first id that the other client uses.
const FIRST_ID: u32 = 1_000;
/// The first id that the flooding client uses.
const FIRST_FLOOD_ID: u32 = 1_000_000;

/// Starts an executor that completes every request. Returns its address.
fn start_executor() -> SocketAddr {
    let server = FakeServer::open();
    let address = server.address;
    std::thread::spawn(move || {
        for socket in server.listener().incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut connection = Connection(BufReader::new(socket));
                while let Some(id) = connection.read_request_id() {
                    if id == SLOW_ID {
                        std::thread::sleep(SLOW_ANSWER_TIME);
                    }
                    if connection.0.get_mut().write_all(done_response(id, "r").as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// Writes batches of requests to the node for [`FLOOD_LENGTH`] and reads whatever comes back. Connects again if the node closes the
/// connection.
fn flood(address: SocketAddr, beginning: &str, request: fn(u32) -> String) {
    let (start, mut next_id) = (Instant::now(), FIRST_FLOOD_ID);
    while start.elapsed() < FLOOD_LENGTH {
        let Ok(mut socket) = TcpStream::connect(address) else { continue };
        let mut reader = socket.try_clone().unwrap();
        let reading = std::thread::spawn(move || while reader.read(&mut [0; 65536]).is_ok_and(|n| n > 0) {});
        let mut written = socket.write_all(beginning.as_bytes());
        while written.is_ok() && start.elapsed() < FLOOD_LENGTH {
            let batch: String = (next_id..next_id + BATCH).map(request).collect();
            next_id += BATCH;
            written = socket.write_all(batch.as_bytes());
        }
        let _ = socket.shutdown(Shutdown::Both);
        reading.join().unwrap();
    }
}

// Guards against a node that serves one client's requests without a pause for others, or keeps something for each of them, so that
// others get no answer in time or the memory grows for as long as the client goes on.
#[rstest]
#[case::requests_answered_at_once("", |_| "GET /none HTTP/1.1\r\n\r\n".to_owned())]
#[case::ever_new_paths("", |id| format!("GET /v1/submissions/{id} HTTP/1.1\r\n\r\n"))]
#[case::behind_a_request_in_hand(&job(SLOW_ID, "look", 60_000), |_| "GET /none HTTP/1.1\r\n\r\n".to_owned())]
#[case::ever_new_ids("", |id| job(id, "look", 60_000))]
#[case::dismissed_requests("", |id| job(id, "look", 0))]
#[case::ever_new_kinds("", |id| job(id, &format!("kind-{id}"), 60_000))]
#[case::unsound_requests("", |_| "\x01\r\n\r\n".to_owned())]
fn a_client_that_floods_the_node_delays_no_other(
    #[case] beginning: &str,
    #[case] request: fn(u32) -> String,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let changes = [
        ("\"quotaPerS\": 50.0", "\"quotaPerS\": 1000000.0"),
        ("\"agreedTimeMs\": 400.0", "\"agreedTimeMs\": 60000.0"),
    ];
    let node = Node::start(&[start_executor(), start_executor()], &changes);
    node.barrier();
    let before = memory_kb(&node, "RssAnon");
    let (address, text, done) = (node.address, beginning.to_owned(), Arc::new(AtomicBool::new(false)));
    let flooding = {
        let done = Arc::clone(&done);
        std::thread::spawn(move || {
            flood(address, &text, request);
            done.store(true, Ordering::Relaxed);
        })
    };
    let (mut slowest, mut served, mut peak) = (Duration::ZERO, 0, 0);
    let next_id = AtomicU32::new(FIRST_ID);
    while !done.load(Ordering::Relaxed) {
        let (mut client, start) = (node.client(), Instant::now());
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let answer = status(exchange(&mut client, &job(id, "look", 5_000)));
        slowest = slowest.max(start.elapsed());
        assert_eq!(answer, 200, "after {:?}", start.elapsed());
        served += 1;
        peak = peak.max(memory_kb(&node, "RssAnon"));
        std::thread::sleep(REQUEST_PAUSE);
    }
    flooding.join().unwrap();
    println!("{served} served, the slowest after {slowest:?}; {peak} KiB at the most, {before} KiB before");
    assert!(slowest < MAX_ANSWER_TIME, "{slowest:?}");
    assert!(peak < before + MAX_GROWTH_KB, "{peak} KiB at the most, {before} KiB before");
}
