//! Clients that disconnect while a request of theirs is in flight.

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;
use socket2::SockRef;

use crate::harness::{
    FakeServer, Node, chunked, done_response, exchange, job, read_message, reset, send, status,
};

fn close_connection(client: BufReader<TcpStream>) {
    drop(client);
}

fn reset_connection(client: BufReader<TcpStream>) {
    reset(client);
}

/// Returns more data than the node buffers while a request is in flight.
fn excess_data() -> String {
    "x".repeat(200_000)
}

// Guards against a disconnect that is never noticed because the client has sent more than the node buffers: its request continues,
// and further executions begin for it.
#[rstest]
#[case::closed(String::new(), close_connection)]
#[case::reset(String::new(), reset_connection)]
#[case::closed_behind_a_partial_request(job(2, "look", 1_500)[..60].to_owned(), close_connection)]
#[case::closed_behind_a_request(job(2, "look", 1_500), close_connection)]
#[case::closed_behind_a_flood(excess_data(), close_connection)]
#[case::reset_behind_a_flood(excess_data(), reset_connection)]
fn executions_for_a_disconnected_client_are_cancelled(
    #[case] further_data: String,
    #[case] disconnect: fn(BufReader<TcpStream>),
) {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    send(&mut client, &job(1, "look", 10_000));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    send(&mut client, &further_data);
    let start = Instant::now();
    disconnect(client);
    assert!(connection.closed_without_data());
    // Well before the request's deadline, at which the execution is cancelled anyway. The node must cancel it within 0.1 s; the
    // bound here tolerates a machine that is busy with other tests.
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    assert!(!server.has_pending_connection());
}

// Guards against the same fault under settings that do not allow cancelling: the execution in flight continues, but no further one
// may begin when it ends.
#[rstest]
#[case::closed(String::new(), close_connection)]
#[case::reset(String::new(), reset_connection)]
#[case::closed_behind_a_flood(excess_data(), close_connection)]
#[case::reset_behind_a_flood(excess_data(), reset_connection)]
fn no_further_execution_begins_for_a_disconnected_client(
    #[case] further_data: String,
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
    send(&mut client, &further_data);
    disconnect(client);
    // The node reads the excess data in parts, one per millisecond. Each barrier gives it time for several parts.
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

// Guards against an id that is run twice because it comes again after its client has left, whether or not its execution was cancelled.
#[rstest]
fn an_id_that_comes_again_after_its_client_has_left_is_not_run_again(
    #[values("look", "top-up", "pay")] kind: &str,
    #[values("\"cancel\": true", "\"cancel\": false")] cancel: &str,
    #[values(close_connection, reset_connection)] disconnect: fn(BufReader<TcpStream>),
) {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[("\"cancel\": true", cancel)]);
    let mut client = node.client();
    send(&mut client, &job(1, kind, 10_000));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    disconnect(client);
    (0..5).for_each(|_| node.barrier());
    if cancel.ends_with("false") {
        connection.send(&done_response(1, "r"));
        node.barrier();
    }
    assert_eq!(status(exchange(&mut node.client(), &job(1, kind, 1_500))), 409);
    node.barrier();
    assert!(!server.has_pending_connection());
    // Neither is it sent over the connection that is there.
    assert!(!connection.has_data());
}

// Guards against requests that are sent on although their client has closed its connection behind them, with much of what it sent unread.
#[rstest]
#[case::small("body".to_owned(), 4_000, close_connection)]
#[case::large("x".repeat(60_000), 40, close_connection)]
#[case::reset("body".to_owned(), 4_000, reset_connection)]
fn unread_requests_of_a_disconnected_client_are_not_sent_on(
    #[case] body: String,
    #[case] count: u32,
    #[case] disconnect: fn(BufReader<TcpStream>),
) {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[("\"quotaPerS\": 50.0", "\"quotaPerS\": 1000000.0")]);
    let requests: String = (1..=count)
        .map(|id| {
            let text = job(id, "look", 10_000);
            let (head, _) = text.split_once("\r\n\r\n").unwrap();
            let head = head.replace("Content-Length: 4", &format!("Content-Length: {}", body.len()));
            format!("{head}\r\n\r\n{body}")
        })
        .collect();
    let mut client = node.client();
    let mut writer = client.get_ref().try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let _ = writer.write_all(requests.as_bytes());
    });
    // The first request is in hand and the others lie behind it, some of them unread, when the client leaves.
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    std::thread::sleep(Duration::from_millis(50));
    client.get_mut().shutdown(std::net::Shutdown::Both).unwrap();
    writing.join().unwrap();
    disconnect(client);
    assert!(connection.closed_without_data());
    (0..50).for_each(|_| node.barrier());
    assert!(!server.has_pending_connection(), "sent on for a client that is gone");
}

// Guards against a request of which the executor had received a part when its client left, and whose last bytes are written long after:
// an executor begins a request with its last byte.
#[rstest]
fn a_partly_written_request_is_not_completed_for_a_disconnected_client(
    #[values("\"cancel\": true", "\"cancel\": false")] cancel: &str,
) {
    /// So small that the node can't write the whole request before the executor reads.
    const RECEIVE_BUFFER: usize = 2 * 1024;
    let server = FakeServer::open();
    SockRef::from(server.listener()).set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    let node = Node::start(&[server.address], &[("\"cancel\": true", cancel)]);
    let mut client = node.client();
    send(
        &mut client,
        &job(1, "look", 10_000)
            .replace("Content-Length: 4", "Content-Length: 65504")
            .replace("body", &"x".repeat(65504)),
    );
    let mut connection = server.accept();
    std::thread::sleep(Duration::from_millis(100));
    drop(client);
    (0..5).for_each(|_| node.barrier());
    assert!(connection.read_head().is_none(), "the executor begins the request");
}
