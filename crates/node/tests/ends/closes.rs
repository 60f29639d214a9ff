//! Clients' connections that the node closes.

use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rstest::rstest;
use socket2::{Domain, Socket, Type};

use crate::stand::{LONG, Node, Place, done, job, message, nobody, send, status, willing};

/// A client that takes hardly anything at a time, so that what it is sent is still on its way when it has been sent.
fn slow(address: SocketAddr) -> BufReader<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(2_048).unwrap();
    socket.connect(&address.into()).unwrap();
    let socket = TcpStream::from(socket);
    socket.set_read_timeout(Some(LONG)).unwrap();
    socket.set_nodelay(true).unwrap();
    BufReader::new(socket)
}

const BIG: &str = {
    static TEXT: [u8; 60_000] = [b'r'; 60_000];
    match std::str::from_utf8(&TEXT) {
        Ok(text) => text,
        Err(_) => "",
    }
};

// The idle close let go of the connection at once, and what crossed it reset an answer that was on its way.
#[rstest]
#[case::nothing("")]
#[case::half_a_request("POST /api HTTP/1.1\r\nHost: h\r\n")]
#[case::a_request(&job(2, "look", 1_500))]
fn what_crosses_an_idle_close_costs_no_answer(#[case] crossing: &str) {
    let executor = willing(Place::open(), BIG);
    let node = Node::start(&[executor], &[]);
    let mut witness = node.client();
    send(&mut witness, &job(9, "look", 1_500));
    assert_eq!(status(message(&mut witness)), 200);
    let mut client = slow(node.address);
    send(&mut client, &job(1, "look", 1_500));
    // All of the answer has left the node, as far as it can tell, when it counts the client as idle: another request
    // is read then, and its answer follows.
    let start = Instant::now();
    assert!(client.get_ref().peek(&mut [0; 16]).unwrap() > 0 && start.elapsed() < LONG);
    node.fence();
    node.signal("-TERM");
    // Idle ones are closed together; this one has nothing to read but that.
    assert_eq!(witness.read(&mut [0]).unwrap(), 0);
    let _ = std::io::Write::write_all(client.get_mut(), crossing.as_bytes());
    let (_, body) = message(&mut client).expect("the answer was cut");
    assert_eq!(body.len(), BIG.len());
    // A request that came before its connection's turn is answered too, and then wholly.
    if let Some((head, body)) = message(&mut client) {
        assert!(head.contains("Connection: close") && body.len() == BIG.len(), "{head}");
    }
}

// Its time ran out just as its last byte came, and a request that was whole was dropped without an answer.
#[test]
fn a_request_that_becomes_whole_as_its_time_runs_out_is_answered() {
    let executor = willing(Place::open(), "r");
    let node = Node::start(&[executor], &[]);
    let whole = |id| job(id, "look", 1_500);
    let mut clients: Vec<_> = (0..16).map(|_| node.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        let text = whole(id);
        send(client, &text[..text.len() - 1]);
    }
    node.fence();
    // A newcomer has 2.5 s. They run out while the node stands still, and so comes the last byte.
    node.held(|| {
        std::thread::sleep(Duration::from_millis(2_600));
        clients.iter_mut().for_each(|client| send(client, "y"));
    });
    for client in &mut clients {
        // Served, or dismissed where the one executor has no room: a whole answer to a whole request.
        let status = status(message(client));
        assert!([200, 503].contains(&status), "{status}");
    }
}

// It is told so; a plain end would leave it to guess.
#[test]
fn half_a_request_is_turned_down_when_its_time_is_over() {
    let node = Node::start(&[nobody()], &[]);
    let mut client = node.client();
    let start = Instant::now();
    send(&mut client, &job(1, "look", 1_500)[..40]);
    assert_eq!(status(message(&mut client)), 408);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    assert!(start.elapsed() < Duration::from_secs(3));
}

// Of what a client sends ahead only so much is kept. All that was kept whole is answered before the connection is closed for
// what was not; only the first was.
#[test]
fn all_that_was_read_ahead_is_answered_before_a_close_for_what_was_not() {
    const AHEAD: u32 = 1_000;
    const READ_AHEAD: usize = 64 * 1024;
    let place = Place::open();
    let node = Node::start(&[place.address], &[]);
    let mut client = node.client();
    let requests: Vec<String> = (1..=AHEAD).map(|id| job(id, "look", 8_000)).collect();
    send(&mut client, &requests.concat());
    let mut call = place.take();
    let first = call.id().unwrap();
    // All the rest has been read, and what is beyond dropped.
    (0..50).for_each(|_| node.fence());
    call.say(&done(first, "r"));
    std::thread::spawn(move || {
        while let Some(id) = call.id() {
            call.say(&done(id, "r"));
        }
    });
    let (mut answered, mut closes) = (0, false);
    while let Some((head, _)) = message(&mut client) {
        assert!(!closes, "an answer behind the last");
        assert!(head.starts_with("HTTP/1.1 200 ") || head.starts_with("HTTP/1.1 503 "), "{head}");
        closes = head.contains("Connection: close");
        answered += 1;
    }
    assert!(closes);
    assert!(answered >= READ_AHEAD / requests[0].len(), "{answered}");
}
