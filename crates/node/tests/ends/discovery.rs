//! The node's requests to discovery, and the ways in which a watch ends. A node must follow a change within 6 s from when discovery
//! has it and is reachable. To get its answer in this time, the node must request the list again within 4.75 s after the last data,
//! or after a request that got no answer.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::{
    Connection, DiscoveryFailure, FakeServer, Node, WATCH_HEAD, configuration, done_response, entry,
    exchange, job, list_chunk, never_reply, read_message, reject, send, status,
};

/// The limit of 4.75 s until the next request, plus a tolerance for a machine that is busy with other tests.
const RECONNECT_LIMIT: Duration = Duration::from_millis(4_750 + 500);

/// Returns `text` as a chunk of a response body.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Reads a request and resets the connection.
fn reset_without_response(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    connection.reset();
    None
}

/// Sends the beginning of a response's head, and then nothing more.
fn send_half_head(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    connection.send("HTTP/1.1 200 OK\r\nTransf");
    Some(connection)
}

/// Sends a list without changes, and then nothing more.
fn send_list_then_stall(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    connection.send(&format!("{WATCH_HEAD}{}", chunk("{\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n")));
    Some(connection)
}

/// Sends a blank every 500 ms, and never a complete line.
fn trickle_blanks(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    connection.send(WATCH_HEAD);
    std::thread::spawn(move || {
        while std::io::Write::write_all(connection.0.get_mut(), chunk(" ").as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    None
}

/// Sends the beginning of a list, and then a newline every 500 ms within it.
fn trickle_newlines_within_list(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    connection.send(&format!("{WATCH_HEAD}{}", chunk("{\"index\":1,\"endpoints\":[")));
    std::thread::spawn(move || {
        while std::io::Write::write_all(connection.0.get_mut(), chunk("\n").as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    None
}

/// Closes the connection in the middle of a list.
fn close_within_line(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    connection.send(&format!("{WATCH_HEAD}40\r\n{{\"index\":"));
    None
}

// Guards against a late or missing next request. A failed request delayed the next one by up to 6 s, a request without an answer or
// a silent watch by up to 9 s, and a watch on which some bytes kept arriving was never ended.
#[rstest]
#[case::refused(reset_without_response)]
#[case::rejected(reject)]
#[case::hangs(never_reply)]
#[case::partial_head(send_half_head)]
#[case::stalls_after_a_list(send_list_then_stall)]
#[case::trickles_blanks(trickle_blanks)]
#[case::trickles_newlines_within_a_list(trickle_newlines_within_list)]
#[case::closes_within_a_line(close_within_line)]
fn the_list_is_requested_again_in_time(#[case] failure: DiscoveryFailure) {
    let discovery = FakeServer::open();
    // Nodes spread their requests at random, the more widely the larger the fleet; with 300 nodes the spread is at its maximum.
    let text = configuration(&[], discovery.address, &[("\"balancers\": 2", "\"balancers\": 300")]);
    let node = Node::start_with(&text);
    let mut connection = discovery.accept();
    for _ in 0..3 {
        let last = Instant::now();
        let open = failure(connection);
        connection = discovery.accept();
        assert!(last.elapsed() < RECONNECT_LIMIT, "{:?}", last.elapsed());
        drop(open);
    }
    // The list in the next answer is applied.
    let server = FakeServer::open();
    connection.read_head().unwrap();
    let list = format!("{{\"index\":5,\"snapshot\":true,\"endpoints\":[{}]}}\n", entry("w0", server.address));
    connection.send(&format!("{WATCH_HEAD}{}", chunk(&list)));
    while status(exchange(&mut node.client(), "GET /healthz HTTP/1.1\r\n\r\n")) != 200 {}
    let mut client = node.client();
    send(&mut client, &job(1, "look", 1_500));
    let mut executor = server.accept();
    assert_eq!(executor.read_request_id(), Some(1));
    executor.send(&done_response(1, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
}

/// Formats a JSON value over several lines.
fn indented(text: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// Returns a full list of one executor, formatted over several lines.
fn indented_list(index: u32, entry: &str) -> String {
    indented(&format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{entry}]}}"))
}

// Guards against lists over several lines that are rejected at their first line, which ends the watch.
#[test]
fn indented_lists_that_arrive_in_pieces_are_applied() {
    let discovery = FakeServer::open();
    let node = Node::start_with(&configuration(&[], discovery.address, &[]));
    let mut connection = discovery.accept();
    connection.read_head().unwrap();
    connection.send(WATCH_HEAD);
    let (first, second) = (FakeServer::open(), FakeServer::open());
    let lists = [
        indented_list(5, &entry("w0", first.address)),
        format!("{}\n", indented_list(6, &entry("w1", second.address))),
    ];
    for (id, (server, list)) in (1..).zip([first, second].into_iter().zip(&lists)) {
        // The node reads each part before the next is sent.
        for part in list.as_bytes().chunks(list.len().div_ceil(4)) {
            for piece in part.chunks(7) {
                connection.send(&chunk(std::str::from_utf8(piece).unwrap()));
            }
            node.barrier();
        }
        let mut client = node.client();
        send(&mut client, &job(id, "look", 1_500));
        let mut executor = server.accept();
        assert_eq!(executor.read_request_id(), Some(id));
        executor.send(&done_response(id, "r"));
        assert_eq!(status(read_message(&mut client)), 200);
    }
    // The first watch is still in use.
    assert!(!discovery.has_pending_connection() && !connection.has_data());
}

// A drain is announced while a dispatched request waits for its connection to the draining executor: the request must not be sent
// on that connection.
#[test]
fn a_connection_established_after_a_drain_was_announced_is_not_used() {
    let discovery = FakeServer::open();
    let (draining, queued) = FakeServer::with_full_accept_queue();
    let other = FakeServer::open();
    let changes = [("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": 6000.0")];
    let text = configuration(&[draining.address], discovery.address, &changes);
    let node = Node::start_with(&text);
    let mut connection = discovery.accept();
    connection.read_head().unwrap();
    // No change since the configured list.
    connection.send(&format!("{WATCH_HEAD}{}", chunk("{\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n")));
    node.wait_until_ready();
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 5_000));
    node.barrier();
    let leaving = entry("w0", draining.address).replace("active", "leaving");
    let list = format!(
        "{{\"index\":2,\"snapshot\":false,\"endpoints\":[{leaving},{}]}}\n",
        entry("w1", other.address)
    );
    connection.send(&chunk(&list));
    node.barrier();
    queued.iter().for_each(|_| drop(draining.accept()));
    let mut late = draining.accept();
    // The request goes to the other executor instead.
    let mut executor = other.accept();
    assert_eq!(executor.read_request_id(), Some(1));
    executor.send(&done_response(1, "r"));
    assert_eq!(status(read_message(&mut client)), 200);
    drop(node);
    assert_eq!(late.read_head(), None);
}

// A node must follow a change that discovery has written, even if discovery resets the connection right after it: the kernel
// delivers the received data before the error, and the node must process it.
#[test]
fn a_change_written_right_before_its_watch_is_reset_is_applied() {
    let (discovery, leaving) = (FakeServer::open(), FakeServer::open());
    let node = Node::start_with(&configuration(&[leaving.address], discovery.address, &[]));
    let mut watch = discovery.accept();
    watch.read_head().unwrap();
    watch.send(&format!("{WATCH_HEAD}{}", list_chunk(1, false, &[])));
    node.wait_until_ready();
    node.while_paused(|| {
        let change = entry("w0", leaving.address).replace("active", "leaving");
        watch.send(&list_chunk(2, false, &[change]));
        watch.reset();
    });
    let mut client = node.client();
    // Requests may still go to the draining executor until the drain's grace period of 0.5 s ends.
    std::thread::sleep(Duration::from_millis(600));
    for id in 1..=20 {
        assert_eq!(status(exchange(&mut client, &job(id, "look", 300))), 503, "{id}");
        assert!(!leaving.has_pending_connection(), "{id}");
    }
}
