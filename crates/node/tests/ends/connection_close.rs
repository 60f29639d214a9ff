//! Closing of client connections by the node: idle ones, incomplete requests and excess data.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rstest::rstest;
use socket2::{Domain, Socket, Type};

use crate::harness::{
    FakeServer, Node, WAIT_LIMIT, answer_all, done_response, exchange, job, read_message, send, status,
    unused_address,
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

// Guards against a complete request that is given up because more of it arrived in the meantime than is read in one step.
#[test]
fn a_large_request_completed_as_its_read_timeout_expires_is_answered() {
    const BODY_LENGTH: usize = 60_000;
    const CLIENTS: u32 = 48;
    let executor = answer_all(FakeServer::open(), "r");
    let node = Node::start(&[executor], &[]);
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| node.client()).collect();
    let requests: Vec<String> = (1..=CLIENTS)
        .map(|id| {
            let length = format!("Content-Length: {BODY_LENGTH}");
            let head = job(id, "look", 1_500).replace("Content-Length: 4", &length);
            format!("{}{}", head.strip_suffix("body").unwrap(), "x".repeat(BODY_LENGTH))
        })
        .collect();
    for (client, request) in clients.iter_mut().zip(&requests) {
        send(client, &request[..40]);
    }
    node.barrier();
    // A new client has 2.5 s to send its request. This time runs out while the node is paused, and the rest arrives then, too.
    node.while_paused(|| {
        std::thread::sleep(Duration::from_millis(2_600));
        for (client, request) in clients.iter_mut().zip(&requests) {
            send(client, &request[40..]);
        }
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

// Only a limited amount of pipelined data is buffered. Guards against requests behind it that are read and never answered: every
// request that the client has written gets its answer, however many there are and however large. Then the connection is usable as before.
#[rstest]
#[case::many_small(1_000, "")]
#[case::few_large(8, &"x".repeat(20 * 1024))]
fn all_pipelined_requests_are_answered(#[case] count: u32, #[case] filler: &str) {
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    let request = |id| {
        let text = job(id, "look", 8_000);
        let length = format!("Content-Length: {}", "body".len() + filler.len());
        text.replace("Content-Length: 4", &length) + filler
    };
    let requests: Vec<String> = (1..=count).map(request).collect();
    let mut writer = client.get_ref().try_clone().unwrap();
    std::thread::spawn(move || writer.write_all(requests.concat().as_bytes()));
    let mut connection = server.accept();
    let first = connection.read_request_id().unwrap();
    // After the barriers the node has read as much as it buffers.
    (0..50).for_each(|_| node.barrier());
    connection.send(&done_response(first, "r"));
    std::thread::spawn(move || {
        while let Some(id) = connection.read_request_id() {
            connection.send(&done_response(id, "r"));
        }
    });
    for number in 1..=count {
        let Some((head, _)) = read_message(&mut client) else { panic!("no answer to request {number}") };
        assert!(head.starts_with("HTTP/1.1 200 ") || head.starts_with("HTTP/1.1 503 "), "{head}");
        assert!(!head.contains("Connection: close"), "{head}");
    }
    for id in [count + 1, count + 2] {
        assert_eq!(status(exchange(&mut client, &job(id, "look", 8_000))), 200);
    }
}

// What follows the requests that are buffered: a request that asks for a close, after whose answer nothing comes, or bytes that are no
// request, which are answered with an error.
#[rstest]
#[case::a_close("Connection: close\r\n", 503)]
#[case::no_request("no colon\r\n", 400)]
fn the_end_of_excess_requests_is_answered(#[case] last_header: &str, #[case] last_status: u16) {
    const LARGE: u32 = 7;
    let server = FakeServer::open();
    let node = Node::start(&[server.address], &[]);
    let mut client = node.client();
    let filler = "x".repeat(20 * 1024);
    let length = format!("Content-Length: {}", "body".len() + filler.len());
    let large = |id| job(id, "look", 8_000).replace("Content-Length: 4", &length) + &filler;
    let mut requests: Vec<String> = (1..=LARGE).map(large).collect();
    requests.push(job(LARGE + 1, "look", 8_000).replace("Host: h\r\n", &format!("Host: h\r\n{last_header}")));
    requests.push(job(LARGE + 2, "look", 8_000));
    let mut writer = client.get_ref().try_clone().unwrap();
    std::thread::spawn(move || writer.write_all(requests.concat().as_bytes()));
    let mut connection = server.accept();
    assert_eq!(connection.read_request_id(), Some(1));
    (0..50).for_each(|_| node.barrier());
    connection.send(&done_response(1, "r"));
    std::thread::spawn(move || {
        while let Some(id) = connection.read_request_id() {
            connection.send(&done_response(id, "r"));
        }
    });
    let statuses: Vec<u16> = (0..=LARGE).map(|_| status(read_message(&mut client))).collect();
    assert!(statuses[..LARGE as usize].iter().all(|s| [200, 503].contains(s)), "{statuses:?}");
    assert_eq!(statuses[LARGE as usize], last_status);
    assert!(read_message(&mut client).is_none(), "an answer after the last");
}
