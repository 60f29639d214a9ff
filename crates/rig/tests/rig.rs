//! Ways do what they are told to, and plans that make no sense are refused by key.

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

/// A way to a listener, a connection over it, and what comes out at the far end.
fn over(framed: bool) -> (Link, TcpStream, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let way = Link::open("a>b", framed, Arc::new(|_, _, _| {})).unwrap();
    way.set_target(Some(listener.local_addr().unwrap()));
    let near = TcpStream::connect(way.address).unwrap();
    let (mut far, _) = listener.accept().unwrap();
    let (out, come) = channel();
    std::thread::spawn(move || {
        let mut piece = [0; 4096];
        while let Ok(length) = far.read(&mut piece) {
            let _ = out.send(piece[..length].to_vec());
            if length == 0 {
                return;
            }
        }
    });
    (way, near, come)
}

const SOON: Duration = Duration::from_secs(10);
/// Long enough for what passes to have passed.
const QUIET: Duration = Duration::from_millis(150);

fn all(come: &Receiver<Vec<u8>>, length: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < length {
        bytes.extend(come.recv_timeout(SOON).unwrap());
    }
    bytes
}

#[test]
fn a_cut_way_keeps_what_it_has_until_it_is_healed() {
    let (way, mut near, come) = over(false);
    way.cut(&[Direction::Forward]);
    near.write_all(b"late").unwrap();
    assert!(come.recv_timeout(QUIET).is_err());
    way.heal();
    assert_eq!(all(&come, 4), b"late");
}

#[test]
fn a_throttled_way_takes_its_time() {
    let (way, mut near, come) = over(false);
    way.throttle(&[Direction::Forward], 2_000);
    let begin = Instant::now();
    near.write_all(&[7; 512]).unwrap();
    assert_eq!(all(&come, 512).len(), 512);
    assert!(begin.elapsed() >= Duration::from_millis(250));
}

#[rstest]
#[case::as_they_are(None, b"onetwo")]
#[case::repeated(Some(FrameFault::Repeat), b"oneonetwo")]
#[case::held_and_let_go(Some(FrameFault::Hold), b"twoone")]
fn frames_are_told_apart(#[case] trick: Option<FrameFault>, #[case] order: &[u8]) {
    let (way, mut near, come) = over(true);
    if let Some(trick) = trick {
        way.fail_next_frame(Direction::Forward, 4, trick);
    }
    let frames = [encode(4, b"one").unwrap(), encode(4, b"two").unwrap()].concat();
    near.write_all(&frames).unwrap();
    let count = order.len() / 3;
    let expected = (HEADER_LENGTH + 3) * if trick == Some(FrameFault::Hold) { 1 } else { count };
    let mut bytes = all(&come, expected);
    if trick == Some(FrameFault::Hold) {
        way.release();
        bytes.extend(all(&come, HEADER_LENGTH + 3));
    }
    let bodies: Vec<u8> = bytes.chunks(HEADER_LENGTH + 3).flat_map(|f| f[HEADER_LENGTH..].to_vec()).collect();
    assert_eq!(bodies, order);
}

#[test]
fn a_frame_is_cut_at_a_byte() {
    let (way, mut near, come) = over(true);
    way.fail_next_frame(Direction::Forward, 4, FrameFault::CutAt(5));
    near.write_all(&encode(4, b"one").unwrap()).unwrap();
    let bytes: Vec<u8> = come.iter().flatten().collect();
    assert!(bytes.len() <= 5, "{bytes:?}");
}

#[rstest]
#[case::no_nodes("nodes = 0", "nodes: ")]
#[case::two_coordinators("coordinators = 2", "coordinators: ")]
#[case::unknown_key("node = 3", "node")]
#[case::nobody("[[steps]]\ndo = \"kill\"", "steps[0].to: ")]
#[case::nobody_of_this_name("[[steps]]\ndo = \"kill\"\nto = [\"n7\"]", "steps[0].to: ")]
#[case::no_such_frame("[[steps]]\nframe = \"fax\"", "steps[0].frame: ")]
#[case::no_coordinator("[[steps]]\ndo = \"propose\"\nrequest = \"r\"", "steps[0].do: ")]
fn plans_are_refused_by_key(#[case] text: &str, #[case] key: &str) {
    let fault = Plan::read(text).unwrap_err().to_string();
    assert!(fault.contains(key), "{fault}");
}

#[rstest]
#[case::nodes("nodes")]
#[case::executors("executors")]
fn plans_of_a_thousand_processes_or_executors_make_sense(#[case] key: &str) {
    Plan::read(&format!("{key} = 1024")).unwrap();
    let fault = Plan::read(&format!("{key} = 1025")).unwrap_err().to_string();
    assert!(fault.contains(&format!("{key}: from 1 to 1,024")), "{fault}");
}

#[test]
fn all_faults_are_told_at_once() {
    assert_eq!(Plan::read("nodes = 0\nexecutors = 0").unwrap_err().to_string().lines().count(), 2);
}

#[test]
fn drawn_plans_make_sense_and_are_the_same_again() {
    for seed in 0..300 {
        let plan = draw(seed);
        plan.check().unwrap();
        assert_eq!(plan, draw(seed));
        // What a file keeps of it is the plan.
        assert_eq!(Plan::read(&toml::to_string(&plan).unwrap()).unwrap(), plan);
    }
}

#[test]
fn what_does_not_matter_is_left_out() {
    let plan = (0..100).map(draw).find(|p| p.steps.iter().any(|s| s.action == Action::Reset)).unwrap();
    let fails = |p: &Plan| p.steps.iter().any(|s| s.action == Action::Reset);
    let small = shrink(&plan, fails, 1000);
    assert!(fails(&small) && small.steps.len() < plan.steps.len(), "{small:?}");
}
