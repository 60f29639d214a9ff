//! Clients that disconnect while a request of theirs is in flight.

use std::io::BufReader;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::{FakeServer, Node, chunked, done_response, job, read_message, reset, send};

fn close(client: BufReader<TcpStream>) {
    drop(client);
}

fn reset_connection(client: BufReader<TcpStream>) {
    reset(client);
}

/// More than the node reads ahead of an answer.
fn flood() -> String {
    "x".repeat(200_000)
}

// The disconnect of a client that had sent more than the node reads ahead was never noticed: its request continued, and further
// executions were begun for it.
#[rstest]
#[case::closed(String::new(), close)]
#[case::reset(String::new(), reset_connection)]
#[case::closed_behind_a_partial_request(job(2, "look", 1_500)[..60].to_owned(), close)]
#[case::closed_behind_a_request(job(2, "look", 1_500), close)]
#[case::closed_behind_a_flood(flood(), close)]
#[case::reset_behind_a_flood(flood(), reset_connection)]
fn executions_for_a_disconnected_client_are_cancelled(
    #[case] behind: String,
    #[case] disconnect: fn(BufReader<TcpStream>),
) {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    send(&mut client, &job(1, "look", 10_000));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    send(&mut client, &behind);
    let start = Instant::now();
    disconnect(client);
    assert!(connection.closed_without_data());
    // At the request's deadline the execution would be cancelled anyway. The required bound is 0.1 s; this one tolerates a machine
    // that is busy with other tests.
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    assert!(!server.has_pending_connection());
}

// The same where executions may not be cancelled: when the one in flight ends, no further execution begins.
#[rstest]
#[case::closed(String::new(), close)]
#[case::reset(String::new(), reset_connection)]
#[case::closed_behind_a_flood(flood(), close)]
#[case::reset_behind_a_flood(flood(), reset_connection)]
fn no_further_execution_begins_for_a_disconnected_client(
    #[case] behind: String,
    #[case] disconnect: fn(BufReader<TcpStream>),
) {
    let (first, second) = (FakeServer::open(), FakeServer::open());
    let node = Node::start(&[first.address, second.address], &[("\"cancel\": true", "\"cancel\": false")]);
    let mut client = node.client();
    send(&mut client, &job(1, "look", 10_000));
    let (mut connection, other) = loop {
        if let Some(connection) = first.try_accept() {
            break (connection, &second);
        }
        if let Some(connection) = second.try_accept() {
            break (connection, &first);
        }
        std::thread::yield_now();
    };
    assert_eq!(connection.read_request_id(), Some(1));
    send(&mut client, &behind);
    disconnect(client);
    // The flood is read in turns of a millisecond; each barrier gives the node several turns.
    (0..20).for_each(|_| node.barrier());
    connection.send(&chunked("{\"id\":\"1\",\"state\":\"returned\"}\n"));
    (0..5).for_each(|_| node.barrier());
    assert!(!other.has_pending_connection(), "sent on for a client that is gone");
    // The node's state is consistent: the next client is served.
    let mut next = node.client();
    send(&mut next, &job(3, "look", 1_500));
    let mut answered = false;
    while !answered {
        if let Some(mut new) = other.try_accept() {
            assert_eq!(new.read_request_id(), Some(3));
            new.send(&done_response(3, "r"));
            answered = true;
        } else if connection.0.buffer().is_empty() && connection.has_data() {
            assert_eq!(connection.read_request_id(), Some(3));
            connection.send(&done_response(3, "r"));
            answered = true;
        }
    }
    assert_eq!(read_message(&mut next).unwrap().1, "r");
}
