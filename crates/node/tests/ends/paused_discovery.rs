//! A node that is paused while discovery announces a drain. What discovery sent meanwhile lies unread in the node's socket, and
//! must be read before a request is sent on and before the connection is given up.

use std::collections::HashMap;
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::harness::{
    Connection, FakeServer, Node, WATCH_HEAD, configuration, done_response, entry, exchange, job, list_chunk,
    read_message, send, status,
};

/// The grace period of a drain in the settings of these tests, and what the machine may take besides.
const GRACE: Duration = Duration::from_millis(20);
const TOLERANCE: Duration = Duration::from_millis(50);
/// How long the node is paused before and after a drain is announced. The second is longer than [`GRACE`] and [`TOLERANCE`].
const PAUSE_BEFORE: Duration = Duration::from_millis(6);
const PAUSE_AFTER: Duration = Duration::from_millis(140);
const TRIES: u32 = 40;

/// When the executor received each request, by its id.
type Arrivals = Arc<Mutex<HashMap<u32, Instant>>>;

/// Completes the requests to an executor for the rest of the test run, and records when they arrived.
fn record_arrivals(server: FakeServer) -> Arrivals {
    let arrivals = Arrivals::default();
    let recorded = Arc::clone(&arrivals);
    std::thread::spawn(move || {
        for socket in server.listener().incoming().map_while(Result::ok) {
            let recorded = Arc::clone(&recorded);
            std::thread::spawn(move || {
                let mut connection = Connection(BufReader::new(socket));
                while let Some(id) = connection.read_request_id() {
                    recorded.lock().unwrap().insert(id, Instant::now());
                    connection.send(&done_response(id, "r"));
                }
            });
        }
    });
    arrivals
}

/// Returns the configuration of a node with one executor that follows the list of `discovery`.
fn node_configuration(executor: SocketAddr, discovery: SocketAddr) -> String {
    let grace = format!("\"drainGraceMs\": {}.0", GRACE.as_millis());
    configuration(&[executor], discovery, &[("\"drainGraceMs\": 500.0", &grace)])
}

/// Answers the node's request for the list with the executor as active.
fn answer_watch(watch: &mut Connection, index: u32, executor: SocketAddr) {
    watch.send(&format!("{WATCH_HEAD}{}", list_chunk(index, true, &[entry("w0", executor)])));
}

/// Announces that the executor drains.
fn announce_drain(watch: &mut Connection, index: u32, executor: SocketAddr) {
    let draining = entry("w0", executor).replace("active", "draining");
    watch.send(&list_chunk(index, false, &[draining]));
}

/// Sends requests with ids from `first_id` on until one is served: the node knows by then that the executor is active.
fn wait_until_served(node: &Node, client: &mut BufReader<TcpStream>, mut first_id: u32) {
    let start = Instant::now();
    while status(exchange(client, &job(first_id, "look", 5_000))) != 200 {
        assert!(start.elapsed() < crate::harness::WAIT_LIMIT, "not served");
        node.barrier();
        first_id += 1;
    }
}

/// Waits for a moment that is more precise than a sleep.
fn wait_until(moment: Instant) {
    while Instant::now() < moment {
        std::hint::spin_loop();
    }
}

/// The offset of an attempt's moment within `spread`; the attempts cover it evenly and in no order.
fn offset_within(spread: Duration, attempt: u32) -> Duration {
    spread * (attempt * 37 % TRIES) / TRIES
}

// The node is paused at any moment while it sends a request on, and the drain is announced during the pause. Guards against a
// request that is sent on after the pause although the drain lies in the watch's socket: the list was read only when the watch's
// turn came, after that of the request. Only what was checked before the pause and is written after it can't be helped, and the
// node reports each such write.
#[test]
fn a_drain_announced_as_a_request_is_sent_on_is_respected() {
    const SPREAD: Duration = Duration::from_micros(600);
    let (discovery, server) = (FakeServer::open(), FakeServer::open());
    let executor = server.address;
    let arrivals = record_arrivals(server);
    let node = Node::start_with(&node_configuration(executor, discovery.address));
    let mut watch = discovery.accept();
    watch.read_head().unwrap();
    let mut index = 1;
    answer_watch(&mut watch, index, executor);
    let mut late = Vec::new();
    for attempt in 0..TRIES {
        let mut client = node.client();
        wait_until_served(&node, &mut client, 1_000 + 1_000 * attempt);
        let id = 1 + attempt;
        let sent = Instant::now();
        send(&mut client, &job(id, "look", 5_000));
        wait_until(sent + offset_within(SPREAD, attempt));
        node.signal_now(Signal::STOP);
        std::thread::sleep(PAUSE_BEFORE);
        index += 2;
        announce_drain(&mut watch, index - 1, executor);
        let announced = Instant::now();
        std::thread::sleep(PAUSE_AFTER);
        node.signal_now(Signal::CONT);
        assert!(read_message(&mut client).is_some(), "no answer");
        let arrived = arrivals.lock().unwrap().get(&id).copied();
        if arrived.is_some_and(|at| at > announced + GRACE + TOLERANCE) {
            late.push(id);
        }
        watch.send(&list_chunk(index, false, &[entry("w0", executor)]));
    }
    let reported: Vec<String> = node.log.try_iter().filter(|line| line.contains("stood still")).collect();
    late.retain(|id| !reported.iter().any(|line| line.contains(&format!("id={id} "))));
    assert!(late.is_empty(), "sent to a draining executor: {late:?}; reported: {reported:?}");
}

/// Returns whether the other end has closed this connection.
fn is_closed(connection: &mut Connection) -> bool {
    let socket = connection.0.get_mut();
    socket.set_nonblocking(true).unwrap();
    let closed = matches!(socket.read(&mut [0]), Ok(0));
    socket.set_nonblocking(false).unwrap();
    closed
}

// The node is told by SIGHUP to follow another discovery and is paused at any moment while it does so; the old discovery
// announces a drain during the pause. Guards against a watch that is closed with lists unread: the node went by its old list
// until the new discovery answered.
#[test]
fn a_drain_that_is_unread_when_discovery_changes_is_respected() {
    const SPREAD: Duration = Duration::from_micros(1_200);
    let (mut current, mut next, server) = (FakeServer::open(), FakeServer::open(), FakeServer::open());
    let executor = server.address;
    let arrivals = record_arrivals(server);
    let node = Node::start_with(&node_configuration(executor, current.address));
    let mut watch = current.accept();
    watch.read_head().unwrap();
    answer_watch(&mut watch, 1, executor);
    let mut ignored = Vec::new();
    let mut announced_drains = 0;
    for attempt in 0..TRIES {
        let mut client = node.client();
        wait_until_served(&node, &mut client, 1_000 + 1_000 * attempt);
        node.replace_configuration(&node_configuration(executor, next.address));
        let signalled = Instant::now();
        node.signal_now(Signal::HUP);
        wait_until(signalled + offset_within(SPREAD, attempt));
        node.signal_now(Signal::STOP);
        std::thread::sleep(PAUSE_BEFORE);
        let announced = !is_closed(&mut watch);
        if announced {
            announce_drain(&mut watch, 2, executor);
            announced_drains += 1;
        }
        std::thread::sleep(PAUSE_AFTER);
        node.signal_now(Signal::CONT);
        // The new discovery has the node's request and does not answer yet.
        let mut next_watch = next.accept();
        next_watch.read_head().unwrap();
        let id = 1 + attempt;
        let answer = status(exchange(&mut client, &job(id, "look", 5_000)));
        if announced && (answer != 503 || arrivals.lock().unwrap().contains_key(&id)) {
            ignored.push(id);
        }
        answer_watch(&mut next_watch, 1, executor);
        (current, next) = (next, current);
        watch = next_watch;
    }
    drop((current, next));
    assert!(ignored.is_empty(), "of {announced_drains} announced drains these were ignored: {ignored:?}");
}
