//! Termination of a node by SIGTERM.

use std::io::Read;
use std::time::Duration;

use crate::harness::{FakeServer, Node, answer_all, chunked, done_response, job, read_message, send, status};

/// The time from SIGTERM to the earliest SIGKILL: the longest deadline in the settings, of which 3 s count at most, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

// Guards against a request that is still in flight and unanswered at the SIGKILL because its deadline is later.
#[test]
fn a_request_with_a_deadline_after_the_kill_is_answered_before_it() {
    let server = FakeServer::open();
    let mut node = Node::start(
        &[server.address],
        &[("\"agreedTimeMs\": 400.0", "\"cutOffMs\": 8000.0, \"agreedTimeMs\": 400.0")],
    );
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 8_000));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    // The executor reports the start of the execution, and then sends nothing more.
    connection.send(&chunked("{\"id\":\"1\",\"state\":\"started\"}\n").replace("0\r\n\r\n", ""));
    node.signal("-TERM");
    node.signal("-HUP");
    let (code, _) = node.exit_within(KILL_AFTER).expect("still running at the time of the kill");
    assert_eq!(code, Some(0));
    assert_eq!(status(read_message(&mut client)), 502);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

// Guards against a stop that gives a client that reads no responses 5 s for each of them, longer than the time until SIGKILL.
#[test]
fn a_client_that_reads_nothing_does_not_delay_the_exit() {
    let large_result = "r".repeat(60_000).leak();
    let executor = answer_all(FakeServer::open(), large_result);
    let mut node = Node::start(&[executor], &[]);
    let mut client = node.client();
    // Requests whose responses exceed all buffers between node and client.
    let sender = client.get_ref().try_clone().unwrap();
    std::thread::spawn(move || {
        let mut sender = std::io::BufReader::new(sender);
        for id in 1..400 {
            if std::io::Write::write_all(sender.get_mut(), job(id, "look", 8_000).as_bytes()).is_err() {
                break;
            }
        }
    });
    assert_eq!(status(read_message(&mut client)), 200);
    // The node answers the other requests until the buffers are full.
    node.barrier();
    node.signal("-TERM");
    let (code, _) = node.exit_within(KILL_AFTER).expect("still running at the time of the kill");
    assert_eq!(code, Some(0));
}

// The node closes the connections of idle clients and exits soon after, without waiting for the clients to close their side.
#[test]
fn idle_connections_are_closed_and_the_node_exits_soon_after() {
    let executor = answer_all(FakeServer::open(), "r");
    let mut node = Node::start(&[executor], &[]);
    let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        send(client, &job(id, "look", 1_500));
        assert_eq!(status(read_message(client)), 200);
    }
    node.signal("-TERM");
    for client in &mut clients {
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }
    // The clients still keep their side open.
    let (code, _) = node.exit_within(Duration::from_millis(1_500)).expect("the node waits for idle clients");
    assert_eq!(code, Some(0));
    drop(clients);
}

// Guards against a stopping node that closes a connection after the first response, and so drops pipelined requests that it
// has already read.
#[test]
fn all_pipelined_requests_are_answered_at_a_stop() {
    let server = FakeServer::open();
    let mut node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    send(&mut client, &(job(1, "look", 8_000) + &job(2, "look", 8_000) + &job(3, "look", 8_000)));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    node.barrier();
    node.signal("-TERM");
    // Longer than the time for which a stopping node serves clients on open connections.
    std::thread::sleep(Duration::from_millis(2_200));
    connection.send(&done_response(1, "r"));
    for id in 1..=3 {
        let answer = read_message(&mut client).unwrap_or_else(|| panic!("{id} has no answer"));
        assert!(matches!(status(Some(answer)), 200 | 502 | 503), "{id}");
        while id < 3 && connection.has_data() {
            let next = connection.read_request_id().unwrap();
            connection.send(&done_response(next, "r"));
        }
    }
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    let (code, _) = node.exit_within(KILL_AFTER).expect("still running at the time of the kill");
    assert_eq!(code, Some(0));
}
