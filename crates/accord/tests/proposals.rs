//! The answers to an operator who proposes the same change again before its outcome is known.

#[allow(dead_code, reason = "the search uses the rest")]
mod common;

use common::{Faults, HOLD, LEASE, World};
use linestack_accord::{ClientSession, End, Input, OperatorRequest, Reply, Request};
use rstest::rstest;

const REQUEST: &str = "raise-limit";

/// Returns a fleet of three coordinators and a member, with its leader.
fn started_fleet() -> (World, usize) {
    let mut world = World::new(3, 1, Faults::default());
    world.run_for(4 * LEASE);
    let leader = world.leader().expect("no leader was elected");
    (world, leader)
}

/// Has the leader answer a request of an operator, while no message between coordinators arrives.
fn answer(world: &mut World, leader: usize, request: OperatorRequest) -> Vec<Reply> {
    world.operator_replies.clear();
    let client = ClientSession::Operator(2);
    world.step_coordinator(leader, Input::Request { client, request: Request::Operator(request) });
    std::mem::take(&mut world.operator_replies)
}

fn propose_again(world: &mut World, leader: usize) -> Vec<Reply> {
    world.operator_replies.clear();
    world.propose(leader, REQUEST, "2", None);
    std::mem::take(&mut world.operator_replies)
}

// Guards against an operator who is told that a change was refused, although the leader has it and it is decided a moment later. The
// change is being written, or waits until another write is accepted.
#[rstest]
#[case::being_written(false)]
#[case::queued(true)]
fn a_change_that_is_under_way_is_not_refused(#[case] other_write_first: bool) {
    let (mut world, leader) = started_fleet();
    if other_write_first {
        let silent = (0..3).find(|c| *c != leader).unwrap();
        world.crash(silent);
        world.run_for(8 * HOLD);
        let replace = OperatorRequest::Replace { coordinator: silent as u8 };
        assert_eq!(answer(&mut world, leader, replace), []);
    }
    assert_eq!(propose_again(&mut world, leader), [], "the first proposal is answered once it is written");
    let version = 2;
    assert_eq!(propose_again(&mut world, leader), [Reply::Pending { version }]);
    let outcome = OperatorRequest::Outcome { request: REQUEST.to_owned() };
    assert_eq!(answer(&mut world, leader, outcome.clone()), [Reply::Pending { version }]);
    world.run_for(4 * LEASE);
    let ended = answer(&mut world, leader, outcome);
    assert!(matches!(&ended[..], [Reply::Ended(ended)] if ended.end == End::Decided), "{ended:?}");
}

// Another change is still refused meanwhile, and nothing of it is put before anybody.
#[test]
fn another_change_is_refused_meanwhile() {
    let (mut world, leader) = started_fleet();
    propose_again(&mut world, leader);
    world.propose(leader, "another", "3", None);
    assert!(matches!(&world.operator_replies[..], [Reply::Rejected(_)]), "{:?}", world.operator_replies);
    world.run_for(4 * LEASE);
    let outcome = OperatorRequest::Outcome { request: "another".to_owned() };
    assert_eq!(answer(&mut world, leader, outcome), [Reply::Unknown]);
}
