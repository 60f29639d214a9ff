//! A node that is paused while its inputs change: a dispatch decided before the pause, or right after it, must respect the state
//! at the time when the request is sent. Also pipelined requests that wait while the one before them is executed.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::harness::{
    FakeServer, Node, WATCH_HEAD, chunked, configuration, done_response, entry, exchange, job, list_chunk,
    read_message, send, status,
};

/// Longer than the grace period of a drain (0.5 s in the settings) and the time within which a disconnect must be noticed.
const PAUSE: Duration = Duration::from_secs(1);

/// Returns the deadline in the head of a request that an executor received, in milliseconds.
fn forwarded_deadline_ms(head: &str) -> u64 {
    head.lines().find_map(|l| l.strip_prefix("Req-Deadline-Ms: ")?.parse().ok()).unwrap()
}

// The request arrives before the list with the drain, and the node finds both when it continues. Guards against a request that is
// dispatched by the old list but whose first byte is sent after the new list was read.
#[test]
fn a_drain_announced_while_the_process_is_paused_is_respected() {
    let (discovery, executor) = (FakeServer::open(), FakeServer::open());
    let node = Node::start_with(&configuration(&[executor.address], discovery.address, &[]));
    let mut watch = discovery.accept();
    watch.read_head().unwrap();
    watch.send(&format!("{WATCH_HEAD}{}", list_chunk(5, true, &[entry("w0", executor.address)])));
    node.wait_until_ready();
    let mut client = node.client();
    send(&mut client, &job(1, "look", 1_500));
    let mut connection = executor.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    connection.send(&done_response(1, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    node.barrier();
    node.while_paused(|| {
        send(&mut client, &job(2, "look", 5_000));
        std::thread::sleep(Duration::from_millis(50));
        let leaving = entry("w0", executor.address).replace("active", "leaving");
        watch.send(&list_chunk(6, false, &[leaving]));
        std::thread::sleep(PAUSE);
    });
    assert_eq!(status(read_message(&mut client)), 503);
    assert!(!connection.has_data() && !executor.has_pending_connection(), "sent to a draining executor");
}

// While the node is paused, an executor returns the job unstarted and then the client disconnects: no further execution may begin.
#[test]
fn a_client_that_disconnects_while_the_process_is_paused_gets_no_further_execution() {
    let servers = [FakeServer::open(), FakeServer::open()];
    let addresses = [servers[0].address, servers[1].address];
    let node = Node::start(&addresses, &[]);
    let mut connections = Vec::new();
    let mut client = node.client();
    // Two requests at once give each executor a connection from the node, which is idle afterwards.
    let mut id = 0;
    while connections.len() < 2 {
        id += 1;
        let mut clients = [node.client(), node.client()];
        send(&mut clients[0], &job(id, "look", 5_000));
        id += 1;
        send(&mut clients[1], &job(id, "look", 5_000));
        let mut round: Vec<_> = (0..2)
            .map(|_| {
                loop {
                    if let Some(connection) = servers.iter().find_map(FakeServer::try_accept) {
                        break connection;
                    }
                    std::thread::yield_now();
                }
            })
            .collect();
        for connection in &mut round {
            let id = connection.read_request_id().unwrap();
            connection.send(&done_response(id, "r"));
        }
        for client in &mut clients {
            assert_eq!(status(read_message(client)), 200);
        }
        connections = round;
    }
    send(&mut client, &job(900, "look", 10_000));
    let busy = loop {
        if let Some(busy) = connections.iter().position(|connection| connection.has_data()) {
            break busy;
        }
        std::thread::yield_now();
    };
    assert_eq!(connections[busy].read_request_id(), Some(900));
    node.while_paused(|| {
        connections[busy].send(&chunked("{\"id\":\"900\",\"state\":\"returned\"}\n"));
        std::thread::sleep(Duration::from_millis(50));
        drop(client);
        std::thread::sleep(PAUSE);
    });
    (0..5).for_each(|_| node.barrier());
    assert!(
        !connections[1 - busy].has_data() && servers.iter().all(|server| !server.has_pending_connection()),
        "sent on for a client that is gone"
    );
}

// Guards against a pipelined request's deadline that is counted from the start of its execution instead of its arrival: the
// executor is then told more time than the client has left.
#[test]
fn a_pipelined_request_is_forwarded_with_the_remaining_time() {
    const TIMEOUT_MS: u64 = 2_000;
    let executor = FakeServer::open();
    let node = Node::start(&[executor.address], &[]);
    let mut client = node.client();
    let sent = Instant::now();
    send(&mut client, &(job(1, "look", TIMEOUT_MS as u32) + &job(2, "look", TIMEOUT_MS as u32)));
    let mut connection = executor.accept();
    assert!(connection.read_head().unwrap().contains("Req-Id: 1\r\n"));
    std::thread::sleep(PAUSE);
    connection.send(&done_response(1, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    let head = connection.read_head().unwrap();
    assert!(head.contains("Req-Id: 2\r\n"));
    let left_ms = TIMEOUT_MS.saturating_sub(sent.elapsed().as_millis() as u64);
    assert!(
        forwarded_deadline_ms(&head) <= left_ms + 150,
        "{} ms forwarded, {left_ms} left",
        forwarded_deadline_ms(&head)
    );
    connection.send(&done_response(2, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
}

// A pipelined request whose deadline has passed when its turn comes is refused at once and never sent.
#[test]
fn a_pipelined_request_past_its_deadline_is_refused() {
    let executor = FakeServer::open();
    let node = Node::start(&[executor.address], &[]);
    let mut client = node.client();
    send(&mut client, &(job(1, "look", 3_000) + &job(2, "look", 500)));
    let mut connection = executor.accept();
    assert!(connection.read_head().unwrap().contains("Req-Id: 1\r\n"));
    std::thread::sleep(PAUSE);
    connection.send(&done_response(1, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    assert_eq!(status(read_message(&mut client)), 503);
    assert!(!connection.has_data());
    // The connection stays usable.
    send(&mut client, &job(3, "look", 1_500));
    assert!(connection.read_head().unwrap().contains("Req-Id: 3\r\n"));
    connection.send(&done_response(3, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    assert_eq!(status(exchange(&mut client, "GET /healthz HTTP/1.1\r\n\r\n")), 200);
}

/// When executors received each request, by its id.
type Arrivals = Arc<Mutex<Vec<(u32, Instant)>>>;

/// Requests with ids from here on are returned by the first executor that receives them; all others are completed.
const FIRST_RETURNED_ID: u32 = 1_000;
/// How long an executor holds a request that it returns.
const HOLD_TIME: Duration = Duration::from_millis(20);
/// The time within which the node must notice that a client has left.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(100);

/// Answers the requests to an executor for the rest of the test run, and records when they arrived.
fn record_arrivals(server: FakeServer, arrivals: Arrivals) {
    std::thread::spawn(move || {
        loop {
            let mut connection = server.accept();
            let arrivals = Arc::clone(&arrivals);
            std::thread::spawn(move || {
                while let Some(id) = connection.read_request_id() {
                    let is_first = {
                        let mut arrivals = arrivals.lock().unwrap();
                        arrivals.push((id, Instant::now()));
                        arrivals.iter().filter(|(other, _)| *other == id).count() == 1
                    };
                    if id >= FIRST_RETURNED_ID && is_first {
                        std::thread::sleep(HOLD_TIME);
                        connection.send(&chunked(&format!("{{\"id\":\"{id}\",\"state\":\"returned\"}}\n")));
                    } else {
                        connection.send(&done_response(id, "r"));
                    }
                }
            });
        }
    });
}

// The node is paused at any moment around the one at which it receives a returned request and sends it on, and the client leaves
// meanwhile. Guards against an execution for a client that has left: only what was checked before the pause and is written after
// it can't be helped, and the node reports each such write.
#[test]
fn a_client_that_disconnects_as_its_request_is_sent_on_gets_no_further_execution() {
    const TRIES: u32 = 40;
    /// The pauses begin within this time around the return of the request.
    const SPREAD: Duration = Duration::from_micros(600);
    let arrivals = Arrivals::default();
    let servers: Vec<FakeServer> = (0..4).map(|_| FakeServer::open()).collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    servers.into_iter().for_each(|server| record_arrivals(server, Arc::clone(&arrivals)));
    let node = Node::start(&addresses, &[]);
    let mut late = Vec::new();
    for attempt in 0..TRIES {
        // Requests that are completed keep some connections at hand.
        for other in 0..4 {
            let id = 100 + attempt * 4 + other;
            assert_eq!(status(exchange(&mut node.client(), &job(id, "look", 5_000))), 200);
        }
        let id = FIRST_RETURNED_ID + attempt;
        let arrived =
            || arrivals.lock().unwrap().iter().filter(|(other, _)| *other == id).map(|(_, at)| *at).max();
        let mut client = node.client();
        send(&mut client, &job(id, "look", 5_000));
        let first = loop {
            if let Some(at) = arrived() {
                break at;
            }
            std::thread::sleep(Duration::from_micros(200));
        };
        let pause_at = first + HOLD_TIME - SPREAD / 2 + SPREAD * (attempt * 37 % TRIES) / TRIES;
        std::thread::sleep(pause_at.saturating_duration_since(Instant::now() + Duration::from_millis(1)));
        while Instant::now() < pause_at {
            std::hint::spin_loop();
        }
        node.signal_now(Signal::STOP);
        std::thread::sleep(Duration::from_millis(6));
        let closed_at = Instant::now();
        drop(client);
        std::thread::sleep(Duration::from_millis(140));
        node.signal_now(Signal::CONT);
        std::thread::sleep(Duration::from_millis(40));
        if arrived().is_some_and(|at| at.saturating_duration_since(closed_at) > DISCONNECT_LIMIT) {
            late.push(id);
        }
    }
    node.barrier();
    let reported: Vec<String> = node.log.try_iter().filter(|line| line.contains("stood still")).collect();
    late.retain(|id| !reported.iter().any(|line| line.contains(&format!("id={id} "))));
    assert!(late.is_empty(), "sent on for clients that were gone: {late:?}; reported: {reported:?}");
}
