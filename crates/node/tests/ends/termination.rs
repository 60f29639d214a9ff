//! SIGTERM.

use std::io::Read;
use std::time::Duration;

use crate::stand::{Node, Place, chunked, done, job, message, send, status, willing};

/// The longest cut-off of the settings counts as 3 s at most, and a kill may come 0.7 s after that.
const KILL: Duration = Duration::from_millis(3_700);

// What had been taken with a later cut-off than the kill was still out when the kill came.
#[test]
fn what_would_outlast_the_kill_is_answered_before_it() {
    let place = Place::open();
    let mut node = Node::start(
        &[place.address],
        &[("\"agreedTimeMs\": 400.0", "\"cutOffMs\": 8000.0, \"agreedTimeMs\": 400.0")],
    );
    let mut client = node.client();
    send(&mut client, &job(1, "pay", 8_000));
    let mut call = place.take();
    assert_eq!(call.id(), Some(1));
    // It started, and then nothing more comes.
    call.say(&chunked("{\"id\":\"1\",\"state\":\"started\"}\n").replace("0\r\n\r\n", ""));
    node.signal("-TERM");
    node.signal("-HUP");
    let (code, _) = node.exit_within(KILL).expect("still there when the kill comes");
    assert_eq!(code, Some(0));
    assert_eq!(status(message(&mut client)), 502);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

// Who takes no answers had 5 s for each, more than there is until the kill.
#[test]
fn a_client_that_takes_nothing_does_not_hold_the_exit_up() {
    let text = "r".repeat(60_000).leak();
    let executor = willing(Place::open(), text);
    let mut node = Node::start(&[executor], &[]);
    let mut client = node.client();
    // More than all buffers on the way hold.
    let asker = client.get_ref().try_clone().unwrap();
    std::thread::spawn(move || {
        let mut asker = std::io::BufReader::new(asker);
        for id in 1..400 {
            if std::io::Write::write_all(asker.get_mut(), job(id, "look", 8_000).as_bytes()).is_err() {
                break;
            }
        }
    });
    assert_eq!(status(message(&mut client)), 200);
    // The rest is answered until nothing more fits.
    node.fence();
    node.signal("-TERM");
    let (code, _) = node.exit_within(KILL).expect("still there when the kill comes");
    assert_eq!(code, Some(0));
}

// It stays as long as clients come, and no longer; who rests is told to go.
#[test]
fn clients_that_rest_are_told_and_the_node_is_gone_soon_after() {
    let executor = willing(Place::open(), "r");
    let mut node = Node::start(&[executor], &[]);
    let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        send(client, &job(id, "look", 1_500));
        assert_eq!(status(message(client)), 200);
    }
    node.signal("-TERM");
    for client in &mut clients {
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }
    // They don't close: the node does not wait for them.
    let (code, _) = node.exit_within(Duration::from_millis(1_500)).expect("waits for who rests");
    assert_eq!(code, Some(0));
    drop(clients);
}

// What had been sent behind another on its connection was read, and dropped without an answer when the connection was closed
// behind the first answer of a node that stops.
#[test]
fn all_that_was_read_on_a_connection_is_answered_at_a_stop() {
    let place = Place::open();
    let mut node = Node::start(&[place.address], &[]);
    let mut client = node.client();
    send(&mut client, &(job(1, "look", 8_000) + &job(2, "look", 8_000) + &job(3, "look", 8_000)));
    let mut call = place.take();
    assert_eq!(call.id(), Some(1));
    node.fence();
    node.signal("-TERM");
    // Longer than clients are still served on connections that stay open.
    std::thread::sleep(Duration::from_millis(2_200));
    call.say(&done(1, "r"));
    for id in 1..=3 {
        let answer = message(&mut client).unwrap_or_else(|| panic!("{id} has no answer"));
        assert!(matches!(status(Some(answer)), 200 | 502 | 503), "{id}");
        while id < 3 && call.ready() {
            let next = call.id().unwrap();
            call.say(&done(next, "r"));
        }
    }
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    let (code, _) = node.exit_within(KILL).expect("still there when the kill comes");
    assert_eq!(code, Some(0));
}
