//! Several clients that send prepared requests as fast as they can, beside others whose answers must come in time.

use std::io::{BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::{Connection, FakeServer, Node, done_response, exchange, job, status};

/// How long the clients send at full speed.
const LOAD_LENGTH: Duration = Duration::from_secs(4);
/// The load takes some cores of the machine, so that one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
/// How late an answer may be after the deadline of its request, and to a health check, which is due at once.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// The pause between two sound requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// The number of requests that a client at full speed writes at once.
const BATCH: usize = 200;
/// The number of executors.
const EXECUTORS: usize = 8;
/// How long an executor takes.
const EXECUTION_TIME: Duration = Duration::from_millis(50);
/// How long an executor takes for the requests that were sent before the load.
const SLOW_EXECUTION_TIME: Duration = Duration::from_millis(1_500);
/// The deadline of the requests that were sent before the load, in milliseconds.
const SLOW_DEADLINE_MS: u32 = 2_500;
/// The deadline of the sound requests under the load, in milliseconds.
const DEADLINE_MS: u32 = 1_000;
/// The ids of the requests that were sent before the load are from 1 to this.
const SLOW_REQUESTS: u32 = 3;
/// The first id of the sound requests under the load.
const FIRST_ID: u32 = 1_000;
/// The first id of the clients at full speed, whose ids have eight digits.
const FIRST_LOAD_ID: u32 = 10_000_000;
/// The ids that each client at full speed may use.
const IDS_PER_CLIENT: u32 = 1_000_000;

/// Starts an executor that completes every request. Returns its address.
fn start_executor() -> SocketAddr {
    let server = FakeServer::open();
    let address = server.address;
    std::thread::spawn(move || {
        for socket in server.listener().incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut connection = Connection(BufReader::new(socket));
                while let Some(id) = connection.read_request_id() {
                    let slow = id <= SLOW_REQUESTS;
                    std::thread::sleep(if slow { SLOW_EXECUTION_TIME } else { EXECUTION_TIME });
                    if connection.0.get_mut().write_all(done_response(id, "r").as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// Requests that are written at once, whose ids are replaced in place.
struct Batch {
    text: Vec<u8>,
    /// Where the ids are, with the number of the request that each belongs to.
    ids: Vec<(usize, u32)>,
}

impl Batch {
    fn new(request: fn(u32) -> String) -> Self {
        let (mut text, mut ids) = (Vec::new(), Vec::new());
        for number in 0..BATCH as u32 {
            let id = FIRST_LOAD_ID + number;
            let piece = request(id);
            ids.extend(piece.match_indices(&id.to_string()).map(|(at, _)| (text.len() + at, number)));
            text.extend_from_slice(piece.as_bytes());
        }
        Self { text, ids }
    }

    /// Gives the requests the ids from `first_id` on.
    fn renumber(&mut self, first_id: u32) {
        for (at, number) in &self.ids {
            let mut rest = first_id + number;
            for digit in self.text[*at..*at + 8].iter_mut().rev() {
                *digit = b'0' + (rest % 10) as u8;
                rest /= 10;
            }
        }
    }
}

/// Clients at full speed, each with a connection of its own.
struct Load {
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(address: SocketAddr, clients: u32, request: fn(u32) -> String) -> Self {
        let ended = Arc::<AtomicBool>::default();
        let clients = (0..clients).map(|number| {
            let (ended, mut batch) = (Arc::clone(&ended), Batch::new(request));
            let mut next_id = FIRST_LOAD_ID + number * IDS_PER_CLIENT;
            std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    send_batches(address, &mut batch, &mut next_id, &ended);
                }
            })
        });
        Self { clients: clients.collect(), ended }
    }

    fn stop(self) {
        self.ended.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
    }
}

/// Writes batches on one connection and reads whatever comes back, until the load or the connection ends.
fn send_batches(address: SocketAddr, batch: &mut Batch, next_id: &mut u32, ended: &AtomicBool) {
    let Ok(mut socket) = TcpStream::connect(address) else { return };
    socket.set_write_timeout(Some(REQUEST_PAUSE)).unwrap();
    let mut reader = socket.try_clone().unwrap();
    let reading = std::thread::spawn(move || while reader.read(&mut [0; 65536]).is_ok_and(|n| n > 0) {});
    let mut open = true;
    while open && !ended.load(Ordering::Relaxed) {
        batch.renumber(*next_id);
        *next_id += BATCH as u32;
        let mut rest = &batch.text[..];
        while open && !rest.is_empty() && !ended.load(Ordering::Relaxed) {
            match socket.write(rest) {
                Ok(length) => rest = &rest[length..],
                Err(error) => open = error.kind() == std::io::ErrorKind::WouldBlock,
            }
        }
    }
    let _ = socket.shutdown(Shutdown::Both);
    reading.join().unwrap();
}

/// An answer: its status and how long it took.
type Answer = (u16, Duration);

/// Sends a request on a new connection in a thread of its own.
fn ask(node: &Node, text: String) -> JoinHandle<Answer> {
    let (mut client, start) = (node.client(), Instant::now());
    std::thread::spawn(move || (status(exchange(&mut client, &text)), start.elapsed()))
}

/// A request of the tenant that doesn't send at full speed.
fn sound_request(id: u32, deadline_ms: u32) -> String {
    job(id, "look", deadline_ms).replace("Req-Owner: first", "Req-Owner: second")
}

fn slowest(answers: &[Answer]) -> Duration {
    answers.iter().map(|(_, time)| *time).max().unwrap_or_default()
}

fn late(answers: &[Answer], deadline_ms: u32) -> Vec<Answer> {
    let due = Duration::from_millis(deadline_ms.into()) + MAX_LATENESS;
    answers.iter().copied().filter(|(status, time)| *status == 0 || *time > due).collect()
}

// Guards against an event loop that polls no socket while any connection has something to do.
#[rstest]
#[case::nobody_else(0, |id| job(id, "look", 1))]
#[case::requests_with_a_millisecond_left(8, |id| job(id, "look", 1))]
#[case::requests_with_little_time_left(8, |id| job(id, "look", 150))]
#[case::keyed_requests(8, |id| job(id, "top-up", 60_000))]
#[case::one_shots(8, |id| job(id, "pay", 60_000))]
#[case::new_paths(32, |id| format!("GET /{id} HTTP/1.1\r\n\r\n"))]
#[case::many_one_shots(32, |id| job(id, "pay", 60_000))]
#[case::sixty_four_clients_with_new_paths(64, |id| format!("GET /{id} HTTP/1.1\r\n\r\n"))]
#[case::sixty_four_clients_with_requests_dismissed_at_once(64, |id| job(id, "look", 0))]
fn answers_come_in_time_beside_clients_at_full_speed(
    #[case] clients: u32,
    #[case] request: fn(u32) -> String,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let executors: Vec<SocketAddr> = (0..EXECUTORS).map(|_| start_executor()).collect();
    let node = Node::start(&executors, &[]);
    let begun: Vec<_> =
        (1..=SLOW_REQUESTS).map(|id| ask(&node, sound_request(id, SLOW_DEADLINE_MS))).collect();
    std::thread::sleep(SLOW_EXECUTION_TIME / 5);
    let (load, start) = (Load::start(node.address, clients, request), Instant::now());
    let (mut asked, mut health_checks) = (Vec::new(), Vec::new());
    for id in FIRST_ID.. {
        if start.elapsed() > LOAD_LENGTH {
            break;
        }
        asked.push(ask(&node, sound_request(id, DEADLINE_MS)));
        health_checks.push(ask(&node, "GET /healthz HTTP/1.1\r\n\r\n".to_owned()));
        std::thread::sleep(REQUEST_PAUSE);
    }
    let join = |threads: Vec<JoinHandle<Answer>>| -> Vec<Answer> {
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    };
    load.stop();
    let (begun, asked, health_checks) = (join(begun), join(asked), join(health_checks));
    let served = asked.iter().filter(|(status, _)| *status == 200).count();
    println!("begun before: {begun:?}");
    println!("{served} of {} served, the slowest after {:?}", asked.len(), slowest(&asked));
    println!("health checks: {}, the slowest after {:?}", health_checks.len(), slowest(&health_checks));
    assert_eq!(late(&begun, SLOW_DEADLINE_MS), [], "begun before");
    assert!(begun.iter().all(|(status, _)| *status == 200), "{begun:?}");
    assert_eq!(late(&asked, DEADLINE_MS), [], "of {}", asked.len());
    assert_eq!(late(&health_checks, 0), [], "health checks");
}
