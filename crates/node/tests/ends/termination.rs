//! Termination by SIGTERM.

use std::io::Read;
use std::time::Duration;

use crate::harness::{FakeServer, Node, answer_all, chunked, done_response, job, read_message, send, status};

/// The longest deadline in the settings counts as 3 s at most, and SIGKILL may follow 0.7 s after that.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

// A request with a deadline after the SIGKILL was still in flight and unanswered when the signal came.
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
    // The execution has started; nothing more follows.
    connection.send(&chunked("{\"id\":\"1\",\"state\":\"started\"}\n").replace("0\r\n\r\n", ""));
    node.signal("-TERM");
    node.signal("-HUP");
    let (code, _) = node.exit_within(KILL_AFTER).expect("still running at the time of the kill");
    assert_eq!(code, Some(0));
    assert_eq!(status(read_message(&mut client)), 502);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

// A client that reads no responses had 5 s for each of them, longer than the time until SIGKILL.
#[test]
fn a_client_that_reads_nothing_does_not_delay_the_exit() {
    let text = "r".repeat(60_000).leak();
    let executor = answer_all(FakeServer::open(), text);
    let mut node = Node::start(&[executor], &[]);
    let mut client = node.client();
    // More than all buffers on the path can hold.
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
    // The node answers the rest until the buffers are full.
    node.barrier();
    node.signal("-TERM");
    let (code, _) = node.exit_within(KILL_AFTER).expect("still running at the time of the kill");
    assert_eq!(code, Some(0));
}

// Idle clients' connections are closed, and the node exits soon after without waiting for the clients' side.
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
    // The clients don't close their end: the node does not wait for them.
    let (code, _) = node.exit_within(Duration::from_millis(1_500)).expect("the node waits for idle clients");
    assert_eq!(code, Some(0));
    drop(clients);
}

// A stopping node closed the connection after the first response, so pipelined requests that it had read were dropped
// without an answer.
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
    // Longer than a stopping node serves clients on connections that stay open.
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
