//! Starts while discovery does not answer.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::stand::{Call, Node, Place, ask, configuration, entry, hang, nobody, status, turn_away};

const READY: Duration = Duration::from_secs(10);

fn health(node: &Node) -> u16 {
    status(ask(&mut node.client(), "GET /healthz HTTP/1.1\r\n\r\n"))
}

// Who knows nobody is not ready, whatever happens, and is as soon as a call gets through: within 10 s, though the first
// one fails as slowly as it can.
#[rstest]
#[case::turned_away(turn_away)]
#[case::hangs(hang)]
fn an_empty_node_is_ready_as_soon_as_it_can_serve(#[case] how: fn(Call) -> Option<Call>) {
    let start = Instant::now();
    let discovery = Place::open();
    let text = configuration(&[], discovery.address, &[("\"balancers\": 2", "\"balancers\": 300")]);
    let node = Node::start_with(&text);
    let kept = how(discovery.take());
    assert_eq!(health(&node), 503);
    let mut call = discovery.take();
    call.asked().unwrap();
    assert_eq!(health(&node), 503);
    let list = format!("{{\"index\":5,\"snapshot\":true,\"endpoints\":[{}]}}\n", entry("w0", nobody()));
    let chunk = format!("{:x}\r\n{list}\r\n", list.len());
    call.say(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"));
    while health(&node) != 200 {
        assert!(start.elapsed() < READY);
    }
    assert!(start.elapsed() < READY, "{:?}", start.elapsed());
    drop(kept);
}

// Who knows some serves at once, whoever can't be asked.
#[rstest]
#[case::down(None)]
#[case::hangs(Some(Place::open()))]
fn a_node_that_knows_executors_is_ready_at_once(#[case] discovery: Option<Place>) {
    let address = discovery.as_ref().map_or_else(nobody, |d| d.address);
    let start = Instant::now();
    let node = Node::start_with(&configuration(&[nobody()], address, &[]));
    while health(&node) != 200 {}
    assert!(start.elapsed() < READY, "{:?}", start.elapsed());
}
