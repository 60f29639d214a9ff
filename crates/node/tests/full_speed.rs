//! Several clients that send prepared requests as fast as they can, beside others whose answers must come in time.

mod common;
#[allow(dead_code, reason = "other tests use the rest")]
#[path = "ends/harness.rs"]
mod harness;

use std::io::{BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rstest::rstest;

use harness::{
    Connection, FakeServer, Node, WATCH_HEAD, chunked, configuration, done_response, entry, exchange, job,
    list_chunk, status,
};

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
/// The grace of a drain in the settings, and the slack of the rule.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// The time from SIGTERM to the earliest SIGKILL: the longest deadline in the settings, of which 3 s count at most, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
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
/// The ids of requests whose executors report their progress without end.
const TALKATIVE_IDS: Range<u32> = 500..500 + TALKATIVE_REQUESTS;
const TALKATIVE_REQUESTS: u32 = 16;
/// The deadline of those requests: the end of the load.
const TALKATIVE_DEADLINE_MS: u32 = 4_000;
/// The first id of the clients at full speed, whose ids have eight digits.
const FIRST_LOAD_ID: u32 = 10_000_000;
/// The ids that each client at full speed may use.
const IDS_PER_CLIENT: u32 = 1_000_000;

/// An executor that completes every request.
struct Executor {
    address: SocketAddr,
    /// When the last request arrived.
    last_arrival: Arc<Mutex<Instant>>,
}

impl Executor {
    fn start() -> Self {
        let (server, last_arrival) = (FakeServer::open(), Arc::new(Mutex::new(Instant::now())));
        let (address, recorded) = (server.address, Arc::clone(&last_arrival));
        std::thread::spawn(move || {
            for socket in server.listener().incoming().map_while(Result::ok) {
                let recorded = Arc::clone(&recorded);
                std::thread::spawn(move || serve(Connection(BufReader::new(socket)), &recorded));
            }
        });
        Self { address, last_arrival }
    }

    fn last_arrival(&self) -> Instant {
        *self.last_arrival.lock().unwrap()
    }
}

/// Completes the requests of a connection.
fn serve(mut connection: Connection, last_arrival: &Mutex<Instant>) {
    while let Some(id) = connection.read_request_id() {
        *last_arrival.lock().unwrap() = Instant::now();
        let response = done_response(id, "r");
        if TALKATIVE_IDS.contains(&id) {
            talk(&mut connection, id);
        }
        let slow = id <= SLOW_REQUESTS;
        std::thread::sleep(if slow { SLOW_EXECUTION_TIME } else { EXECUTION_TIME });
        if connection.0.get_mut().write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reports progress as fast as the node takes it, until it closes the connection.
fn talk(connection: &mut Connection, id: u32) {
    let line = format!("{{\"id\":\"{id}\",\"state\":\"running\",\"share\":0.5}}\n");
    let text = chunked(&line.repeat(BATCH));
    let (head, chunk) = text.strip_suffix("0\r\n\r\n").unwrap().split_once("\r\n\r\n").unwrap();
    let socket = connection.0.get_mut();
    let mut written = socket.write_all(format!("{head}\r\n\r\n").as_bytes());
    while written.is_ok() {
        written = socket.write_all(chunk.as_bytes());
    }
}

/// Requests that are written at once, whose ids are replaced in place.
#[derive(Clone)]
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

/// What clients at full speed do with the answers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answers {
    Read,
    Unread,
}

/// Clients at full speed, each with a connection of its own.
struct Load {
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(address: SocketAddr, clients: u32, request: fn(u32) -> String, answers: Answers) -> Self {
        let (ended, prepared) = (Arc::<AtomicBool>::default(), Batch::new(request));
        let clients = (0..clients).map(|number| {
            let (ended, mut batch) = (Arc::clone(&ended), prepared.clone());
            let mut next_id = FIRST_LOAD_ID + number * IDS_PER_CLIENT;
            std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    send_batches(address, &mut batch, &mut next_id, answers, &ended);
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

/// Writes batches on one connection until the load or the connection ends.
fn send_batches(
    address: SocketAddr,
    batch: &mut Batch,
    next_id: &mut u32,
    answers: Answers,
    ended: &AtomicBool,
) {
    let Ok(mut socket) = TcpStream::connect(address) else { return };
    socket.set_write_timeout(Some(REQUEST_PAUSE)).unwrap();
    let mut reader = socket.try_clone().unwrap();
    let reading = std::thread::spawn(move || {
        while answers == Answers::Read && reader.read(&mut [0; 65536]).is_ok_and(|n| n > 0) {}
    });
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

/// The answers to sound requests, of which some were sent before the load.
struct SoundAnswers {
    begun: Vec<Answer>,
    asked: Vec<Answer>,
    health_checks: Vec<Answer>,
}

/// Sends sound requests to the node, some of them before `start_load` and the others beside the load that it starts.
fn ask_beside<T>(node: &Node, start_load: impl FnOnce() -> T, stop_load: impl FnOnce(T)) -> SoundAnswers {
    let begun: Vec<_> =
        (1..=SLOW_REQUESTS).map(|id| ask(node, sound_request(id, SLOW_DEADLINE_MS))).collect();
    std::thread::sleep(SLOW_EXECUTION_TIME / 5);
    let (load, start) = (start_load(), Instant::now());
    let (mut asked, mut health_checks) = (Vec::new(), Vec::new());
    for id in FIRST_ID.. {
        if start.elapsed() > LOAD_LENGTH {
            break;
        }
        asked.push(ask(node, sound_request(id, DEADLINE_MS)));
        health_checks.push(ask(node, "GET /healthz HTTP/1.1\r\n\r\n".to_owned()));
        std::thread::sleep(REQUEST_PAUSE);
    }
    let join = |threads: Vec<JoinHandle<Answer>>| -> Vec<Answer> {
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    };
    stop_load(load);
    SoundAnswers { begun: join(begun), asked: join(asked), health_checks: join(health_checks) }
}

/// Checks that the answers came in time, and that what had been sent before the load was served.
fn check(answers: &SoundAnswers) {
    let SoundAnswers { begun, asked, health_checks } = answers;
    let served = asked.iter().filter(|(status, _)| *status == 200).count();
    println!("begun before: {begun:?}");
    println!("{served} of {} served, the slowest after {:?}", asked.len(), slowest(asked));
    println!("health checks: {}, the slowest after {:?}", health_checks.len(), slowest(health_checks));
    assert_eq!(late(begun, SLOW_DEADLINE_MS), [], "begun before");
    assert!(begun.iter().all(|(status, _)| *status == 200), "{begun:?}");
    assert_eq!(late(asked, DEADLINE_MS), [], "of {}", asked.len());
    assert_eq!(late(health_checks, 0), [], "health checks");
}

fn start_executors() -> (Vec<Executor>, Vec<SocketAddr>) {
    let executors: Vec<Executor> = (0..EXECUTORS).map(|_| Executor::start()).collect();
    let addresses = executors.iter().map(|executor| executor.address).collect();
    (executors, addresses)
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
    let node = Node::start(&start_executors().1, &[]);
    let start_load = || Load::start(node.address, clients, request, Answers::Read);
    check(&ask_beside(&node, start_load, Load::stop));
}

// Guards against connections with full send buffers that keep the event loop from its sockets.
#[rstest]
#[case::requests_with_little_time_left(8, |id| job(id, "look", 150))]
#[case::new_paths(32, |id| format!("GET /{id} HTTP/1.1\r\n\r\n"))]
fn answers_come_in_time_beside_clients_that_read_nothing(
    #[case] clients: u32,
    #[case] request: fn(u32) -> String,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let node = Node::start(&start_executors().1, &[]);
    let start_load = || Load::start(node.address, clients, request, Answers::Unread);
    check(&ask_beside(&node, start_load, Load::stop));
}

// Guards against executors' connections that keep the event loop from its sockets.
#[test]
fn answers_come_in_time_beside_executors_at_full_speed() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let node = Node::start(&start_executors().1, &[]);
    let start_load = || -> Vec<JoinHandle<Answer>> {
        TALKATIVE_IDS.map(|id| ask(&node, job(id, "pay", TALKATIVE_DEADLINE_MS))).collect()
    };
    let stop_load = |answers: Vec<JoinHandle<Answer>>| answers.into_iter().for_each(|a| drop(a.join()));
    check(&ask_beside(&node, start_load, stop_load));
}

// Guards against a stop that gives up what executors complete in time, or ends too late, since no socket is polled.
#[rstest]
#[case::requests_with_a_millisecond_left(8, |id| job(id, "look", 1))]
#[case::keyed_requests(8, |id| job(id, "top-up", 60_000))]
#[case::new_paths(32, |id| format!("GET /{id} HTTP/1.1\r\n\r\n"))]
fn a_stop_beside_clients_at_full_speed_answers_what_is_owed(
    #[case] clients: u32,
    #[case] request: fn(u32) -> String,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut node = Node::start(&start_executors().1, &[]);
    let begun: Vec<_> =
        (1..=SLOW_REQUESTS).map(|id| ask(&node, sound_request(id, SLOW_DEADLINE_MS))).collect();
    std::thread::sleep(SLOW_EXECUTION_TIME / 5);
    let load = Load::start(node.address, clients, request, Answers::Read);
    std::thread::sleep(SLOW_EXECUTION_TIME / 5);
    node.signal("-TERM");
    let exit = node.exit_within(KILL_AFTER);
    load.stop();
    let begun: Vec<Answer> = begun.into_iter().map(|thread| thread.join().unwrap()).collect();
    println!("{exit:?}, begun before: {begun:?}");
    assert!(begun.iter().all(|(status, _)| *status == 200), "{begun:?}");
    let (code, _) = exit.expect("still running at the time of the kill");
    assert_eq!(code, Some(0));
}

// Guards against a stop that ends too late where deadlines, and so the time until the kill, are short.
#[rstest]
#[case::requests_with_a_millisecond_left(8, |id| job(id, "look", 1))]
#[case::new_paths(32, |id| format!("GET /{id} HTTP/1.1\r\n\r\n"))]
fn a_stop_with_short_deadlines_beside_clients_at_full_speed_ends_before_the_kill(
    #[case] clients: u32,
    #[case] request: fn(u32) -> String,
) {
    const LONGEST_DEADLINE: Duration = Duration::from_millis(500);
    /// What the threads of the test may be late, as in the judge of the soak.
    const OWN_DELAY: Duration = Duration::from_millis(100);
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let deadline = format!("\"cutOffMs\": {}.0, \"agreedTimeMs\": 400.0", LONGEST_DEADLINE.as_millis());
    let mut node = Node::start(&start_executors().1, &[("\"agreedTimeMs\": 400.0", &deadline)]);
    let load = Load::start(node.address, clients, request, Answers::Read);
    std::thread::sleep(SLOW_EXECUTION_TIME / 5);
    let begun: Vec<_> = (FIRST_ID..FIRST_ID + SLOW_REQUESTS)
        .map(|id| ask(&node, sound_request(id, LONGEST_DEADLINE.as_millis() as u32)))
        .collect();
    node.signal("-TERM");
    let exit = node.exit_within(LONGEST_DEADLINE + Duration::from_millis(700) + OWN_DELAY);
    load.stop();
    let begun: Vec<Answer> = begun.into_iter().map(|thread| thread.join().unwrap()).collect();
    println!("{exit:?}, begun before: {begun:?}");
    assert!(begun.iter().all(|(status, _)| *status == 200), "{begun:?}");
    let (code, _) = exit.expect("still running at the time of the kill");
    assert_eq!(code, Some(0));
}

// Guards against a drain that lies unread in the socket of the watch.
#[rstest]
#[case::keyed_requests(8, |id| job(id, "top-up", 60_000))]
#[case::one_shots(32, |id| job(id, "pay", 60_000))]
fn a_drain_beside_clients_at_full_speed_is_respected(
    #[case] clients: u32,
    #[case] request: fn(u32) -> String,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (executors, addresses) = start_executors();
    let discovery = FakeServer::open();
    let node = Node::start_with(&configuration(&addresses, discovery.address, &[]));
    let mut watch = discovery.accept();
    watch.read_head().unwrap();
    let entries: Vec<String> =
        addresses.iter().enumerate().map(|(i, address)| entry(&format!("w{i}"), *address)).collect();
    watch.send(&format!("{WATCH_HEAD}{}", list_chunk(2, true, &entries)));
    node.wait_until_ready();
    let load = Load::start(node.address, clients, request, Answers::Read);
    std::thread::sleep(LOAD_LENGTH / 4);
    let half = EXECUTORS / 2;
    let draining: Vec<String> =
        entries[..half].iter().map(|entry| entry.replace("active", "leaving")).collect();
    watch.send(&list_chunk(3, false, &draining));
    let told_at = Instant::now();
    std::thread::sleep(LOAD_LENGTH / 2);
    load.stop();
    let last_arrivals: Vec<Duration> =
        executors.iter().map(|e| e.last_arrival().saturating_duration_since(told_at)).collect();
    println!("last arrivals after the drain was told: {last_arrivals:?}");
    let (drained, others) = last_arrivals.split_at(half);
    assert!(drained.iter().all(|after| *after <= DRAIN_GRACE), "{drained:?}");
    assert!(others.iter().any(|after| *after > LOAD_LENGTH / 4), "{others:?}");
}
