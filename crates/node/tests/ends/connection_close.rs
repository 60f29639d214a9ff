//! Closing of client connections by the node: idle ones, incomplete requests and excess data.

use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rstest::rstest;
use socket2::{Domain, Socket, Type};

use crate::harness::{
    FakeServer, Node, WAIT_LIMIT, answer_all, done_response, job, read_message, send, status, unused_address,
};

/// Connects a client with a small receive buffer, so that a response is still in transit after the node has sent it.
fn connect_with_small_buffer(address: SocketAddr) -> BufReader<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(2_048).unwrap();
    socket.connect(&address.into()).unwrap();
    let socket = TcpStream::from(socket);
    socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    socket.set_nodelay(true).unwrap();
    BufReader::new(socket)
}

/// A result larger than the receive buffer of [`connect_with_small_buffer`], so that its end waits in the node's send buffer.
const LARGE_RESULT: &str = {
    static TEXT: [u8; 60_000] = [b'r'; 60_000];
    match std::str::from_utf8(&TEXT) {
        Ok(text) => text,
        Err(_) => "",
    }
};

// Guards against an idle close that drops the connection at once: data from the client that arrives after it then causes a reset,
// and a response in transit is lost.
#[rstest]
#[case::nothing("")]
#[case::partial_request("POST /api HTTP/1.1\r\nHost: h\r\n")]
#[case::whole_request(&job(2, "look", 1_500))]
fn data_that_crosses_an_idle_close_loses_no_answer(#[case] crossing: &str) {
    let executor = answer_all(FakeServer::open(), LARGE_RESULT);
    let node = Node::start(&[executor], &[]);
    let mut other_idle_client = node.client();
    send(&mut other_idle_client, &job(9, "look", 1_500));
    assert_eq!(status(read_message(&mut other_idle_client)), 200);
    let mut client = connect_with_small_buffer(node.address);
    send(&mut client, &job(1, "look", 1_500));
    // The node counts the client as idle once it has written the whole response to its socket, of which the client has received
    // only the beginning. It then reads a further request and answers it after the first.
    let start = Instant::now();
    assert!(client.get_ref().peek(&mut [0; 16]).unwrap() > 0 && start.elapsed() < WAIT_LIMIT);
    node.barrier();
    node.signal("-TERM");
    // The node closes all idle connections at once, so the other idle client's close shows that this client's has begun.
    assert_eq!(other_idle_client.read(&mut [0]).unwrap(), 0);
    let _ = std::io::Write::write_all(client.get_mut(), crossing.as_bytes());
    let (_, body) = read_message(&mut client).expect("the answer was cut short");
    assert_eq!(body.len(), LARGE_RESULT.len());
    // A request that arrived before the close is answered too, and in full.
    if let Some((head, body)) = read_message(&mut client) {
        assert!(head.contains("Connection: close") && body.len() == LARGE_RESULT.len(), "{head}");
    }
}

// Guards against a complete request that is dropped without an answer because the time to complete it ran out just as its last
// byte arrived.
#[test]
fn a_request_completed_as_its_read_timeout_expires_is_answered() {
    let executor = answer_all(FakeServer::open(), "r");
    let node = Node::start(&[executor], &[]);
    let request = |id| job(id, "look", 1_500);
    let mut clients: Vec<_> = (0..16).map(|_| node.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        let text = request(id);
        send(client, &text[..text.len() - 1]);
    }
    node.barrier();
    // A new client has 2.5 s to send its request. This time runs out while the node is paused, and the last byte arrives then, too.
    node.while_paused(|| {
        std::thread::sleep(Duration::from_millis(2_600));
        clients.iter_mut().for_each(|client| send(client, "y"));
    });
    for client in &mut clients {
        // Each complete request is served, or dismissed if the only executor has no free slot.
        let status = status(read_message(client));
        assert!([200, 503].contains(&status), "{status}");
    }
}

// The client gets a 408, because a close without a response would give it no reason.
#[test]
fn a_partial_request_is_rejected_when_its_read_timeout_expires() {
    let node = Node::start(&[unused_address()], &[]);
    let mut client = node.client();
    let start = Instant::now();
    send(&mut client, &job(1, "look", 1_500)[..40]);
    assert_eq!(status(read_message(&mut client)), 408);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    assert!(start.elapsed() < Duration::from_secs(3));
}

// Only a limited amount of pipelined data is buffered, and more of it closes the connection. Guards against a close before every
// completely buffered request is answered.
#[test]
fn all_buffered_requests_are_answered_before_a_close_for_excess_data() {
    const PIPELINED: u32 = 1_000;
    /// The least amount of data that the node buffers for a client.
    const READ_AHEAD_BYTES: usize = 64 * 1024;
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    let requests: Vec<String> = (1..=PIPELINED).map(|id| job(id, "look", 8_000)).collect();
    send(&mut client, &requests.concat());
    let mut connection = server.accept();
    let first = connection.read_request_id().unwrap();
    // After the barriers the node has read the rest, and dropped what exceeds its buffer.
    (0..50).for_each(|_| node.barrier());
    connection.send(&done_response(first, "r"));
    std::thread::spawn(move || {
        while let Some(id) = connection.read_request_id() {
            connection.send(&done_response(id, "r"));
        }
    });
    let (mut answered, mut announced_close) = (0, false);
    while let Some((head, _)) = read_message(&mut client) {
        assert!(!announced_close, "an answer after the last");
        assert!(head.starts_with("HTTP/1.1 200 ") || head.starts_with("HTTP/1.1 503 "), "{head}");
        announced_close = head.contains("Connection: close");
        answered += 1;
    }
    assert!(announced_close);
    assert!(answered >= READ_AHEAD_BYTES / requests[0].len(), "{answered}");
}
