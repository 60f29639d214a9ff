//! Tests links and their faults, the validation of plans, and drawn plans.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use linestack_frames::{HEADER_LENGTH, encode};
use linestack_rig::draw::{draw, shrink};
use linestack_rig::link::{Direction, FrameFault, Link};
use linestack_rig::plan::{Action, Plan};
use rstest::rstest;

/// Returns a link to a listener, a connection over it, and the bytes that arrive at the far end.
fn connected_link(framed: bool) -> (Link, TcpStream, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::open("a>b", framed, Arc::new(|_, _, _| {})).unwrap();
    link.set_target(Some(listener.local_addr().unwrap()));
    let near = TcpStream::connect(link.address).unwrap();
    let (mut far, _) = listener.accept().unwrap();
    let (sender, received) = channel();
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(length) = far.read(&mut buffer) {
            let _ = sender.send(buffer[..length].to_vec());
            if length == 0 {
                return;
            }
        }
    });
    (link, near, received)
}

const TIMEOUT: Duration = Duration::from_secs(10);
/// Long enough for bytes that are not held back to arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(150);

fn receive(received: &Receiver<Vec<u8>>, length: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < length {
        bytes.extend(received.recv_timeout(TIMEOUT).unwrap());
    }
    bytes
}

#[test]
fn a_cut_link_keeps_its_bytes_until_it_is_healed() {
    let (link, mut near, received) = connected_link(false);
    link.cut(&[Direction::Forward]);
    near.write_all(b"late").unwrap();
    assert!(received.recv_timeout(ARRIVAL_TIME).is_err());
    link.heal();
    assert_eq!(receive(&received, 4), b"late");
}

#[test]
fn a_throttled_link_limits_the_rate() {
    let (link, mut near, received) = connected_link(false);
    link.throttle(&[Direction::Forward], 2_000);
    let begin = Instant::now();
    near.write_all(&[7; 512]).unwrap();
    assert_eq!(receive(&received, 512).len(), 512);
    assert!(begin.elapsed() >= Duration::from_millis(250));
}

#[rstest]
#[case::unchanged(None, b"onetwo")]
#[case::repeated(Some(FrameFault::Repeat), b"oneonetwo")]
#[case::held_and_released(Some(FrameFault::Hold), b"twoone")]
fn faults_affect_single_frames(#[case] fault: Option<FrameFault>, #[case] order: &[u8]) {
    let (link, mut near, received) = connected_link(true);
    if let Some(fault) = fault {
        link.fail_next_frame(Direction::Forward, 4, fault);
    }
    let frames = [encode(4, b"one").unwrap(), encode(4, b"two").unwrap()].concat();
    near.write_all(&frames).unwrap();
    let count = order.len() / 3;
    let expected = (HEADER_LENGTH + 3) * if fault == Some(FrameFault::Hold) { 1 } else { count };
    let mut bytes = receive(&received, expected);
    if fault == Some(FrameFault::Hold) {
        link.release();
        bytes.extend(receive(&received, HEADER_LENGTH + 3));
    }
    let bodies: Vec<u8> = bytes.chunks(HEADER_LENGTH + 3).flat_map(|f| f[HEADER_LENGTH..].to_vec()).collect();
    assert_eq!(bodies, order);
}

#[test]
fn a_frame_is_cut_at_a_byte() {
    let (link, mut near, received) = connected_link(true);
    link.fail_next_frame(Direction::Forward, 4, FrameFault::CutAt(5));
    near.write_all(&encode(4, b"one").unwrap()).unwrap();
    let bytes: Vec<u8> = received.iter().flatten().collect();
    assert!(bytes.len() <= 5, "{bytes:?}");
}

#[rstest]
#[case::no_nodes("nodes = 0", "nodes: ")]
#[case::two_coordinators("coordinators = 2", "coordinators: ")]
#[case::unknown_key("node = 3", "node")]
#[case::no_target("[[steps]]\ndo = \"kill\"", "steps[0].to: ")]
#[case::unknown_target("[[steps]]\ndo = \"kill\"\nto = [\"n7\"]", "steps[0].to: ")]
#[case::unknown_frame("[[steps]]\nframe = \"fax\"", "steps[0].frame: ")]
#[case::no_coordinator("[[steps]]\ndo = \"propose\"\nrequest = \"r\"", "steps[0].do: ")]
fn invalid_plans_are_rejected_by_key(#[case] text: &str, #[case] key: &str) {
    let error = Plan::read(text).unwrap_err().to_string();
    assert!(error.contains(key), "{error}");
}

#[rstest]
#[case::nodes("nodes")]
#[case::executors("executors")]
fn plans_may_have_1024_nodes_or_executors(#[case] key: &str) {
    Plan::read(&format!("{key} = 1024")).unwrap();
    let error = Plan::read(&format!("{key} = 1025")).unwrap_err().to_string();
    assert!(error.contains(&format!("{key}: from 1 to 1,024")), "{error}");
}

#[test]
fn all_problems_of_a_plan_are_reported_at_once() {
    assert_eq!(Plan::read("nodes = 0\nexecutors = 0").unwrap_err().to_string().lines().count(), 2);
}

#[test]
fn drawn_plans_are_valid_and_reproducible() {
    for seed in 0..300 {
        let plan = draw(seed);
        plan.validate().unwrap();
        assert_eq!(plan, draw(seed));
        // A plan is unchanged after it is written to a file and read again.
        assert_eq!(Plan::read(&toml::to_string(&plan).unwrap()).unwrap(), plan);
    }
}

#[test]
fn shrinking_removes_irrelevant_steps() {
    let plan = (0..100).map(draw).find(|p| p.steps.iter().any(|s| s.action == Action::Reset)).unwrap();
    let fails = |p: &Plan| p.steps.iter().any(|s| s.action == Action::Reset);
    let shrunk = shrink(&plan, fails, 1000);
    assert!(fails(&shrunk) && shrunk.steps.len() < plan.steps.len(), "{shrunk:?}");
}
