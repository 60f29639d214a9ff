//! Exhaustive search over all orders of events up to a depth, from several initial states, and long random walks. Each
//! injected fault must be found by a walk.

mod common;

use std::collections::{HashMap, HashSet};

use common::{Faults, HOLD, LEASE, World};
use fastrand::Rng;
use linestack_accord::{
    ClientSession, Coordinator, InjectedFault, Input, OperatorRequest, Record, Reply, Request, State,
};
use linestack_member as member;
use proptest::prelude::*;
use rstest::rstest;

/// A settled fleet of three coordinators and two members, with two new proposals whose messages are not delivered yet.
fn two_proposals() -> World {
    let mut world = World::new(3, 2, Faults::default());
    world.run_for(4 * LEASE);
    let leader = world.leader().unwrap();
    world.propose(leader, "r1", "2", Some(2 * LEASE));
    world.propose(leader, "r2", "3", Some(2 * LEASE));
    world
}

/// All coordinators start at the same time, and there is no leader.
fn no_leader() -> World {
    let mut world = World::new(3, 2, Faults::default());
    world.now += HOLD;
    world
}

/// The leader has written the decision of a change to its own record, and no other coordinator has received it.
fn deciding() -> World {
    let mut world = two_proposals();
    for _ in 0..200 {
        let accepted = world.disks.iter().filter(|d| d.state.policy.version == 2).count();
        if accepted > 0 {
            return world;
        }
        match world.network.is_empty() {
            true => world.advance_to(world.next_due(&[]), &[]),
            false => {
                let sent = world.network.remove(0);
                world.deliver(sent);
            }
        }
    }
    panic!("the change is never decided")
}

/// The leader has crashed in the middle of a change.
fn leader_lost() -> World {
    let mut world = deciding();
    let leader = world.leader().unwrap();
    world.crash(leader);
    world
}

/// Returns all states that can follow: any message is delivered, with or without a duplicate left in the network; a
/// coordinator crashes, unless it is the last one that runs, or restarts; time advances to the next due tick, or by the
/// duration of a lease.
fn successors(world: &World) -> Vec<World> {
    let mut all = Vec::new();
    let mut seen = Vec::new();
    for (at, sent) in world.network.iter().enumerate() {
        if seen.contains(&(&sent.to, &sent.message)) {
            continue;
        }
        seen.push((&sent.to, &sent.message));
        let mut delivered = world.clone();
        let sent = delivered.network.remove(at);
        let mut duplicated = world.clone();
        delivered.deliver(sent.clone());
        duplicated.deliver(sent);
        all.extend([delivered, duplicated]);
    }
    for c in 0..world.coordinators.len() {
        let mut other = world.clone();
        match &world.coordinators[c] {
            None => other.start(c),
            Some(_) if world.coordinators.iter().flatten().count() > 1 => other.crash(c),
            Some(_) => continue,
        }
        all.push(other);
    }
    let mut later = world.clone();
    later.advance_to(world.next_due(&[]), &[]);
    all.push(later);
    // Messages may be delayed by any time, here by as long as a lease.
    let mut expired = world.clone();
    expired.advance_to(world.now + LEASE, &[]);
    all.push(expired);
    all
}

#[rstest]
#[case::no_leader("no leader", no_leader(), 5)]
#[case::two_proposals("two proposals", two_proposals(), 5)]
#[case::deciding("deciding", deciding(), 5)]
#[case::leader_lost("leader lost", leader_lost(), 5)]
fn all_orders_of_events(#[case] name: &str, #[case] world: World, #[case] depth: usize) {
    let depth = std::env::var("SEARCH_DEPTH").map_or(depth, |d| d.parse().unwrap());
    let mut seen = HashMap::new();
    // The search is depth-first and holds only the states along one path, because all of them would not fit into memory.
    let mut path = vec![vec![world]];
    while let Some(worlds) = path.last_mut() {
        let Some(world) = worlds.pop() else {
            path.pop();
            continue;
        };
        assert_eq!(world.violation, None);
        let left = depth + 1 - path.len();
        if left > 0 && seen.insert(world.hash(), left).is_none_or(|before| before < left) {
            path.push(successors(&world));
        }
    }
    println!("{name}: {} states to depth {depth}", seen.len());
    assert!(seen.len() > 300, "too few states were searched");
}

/// The route of a message, by the numbers of coordinators and members.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Route {
    BetweenCoordinators {
        from: usize,
        to: usize,
    },
    /// The requests of a member, to any coordinator.
    FromMember(usize),
    /// The replies to a member, from any coordinator.
    ToMember(usize),
    /// An operator's requests to a coordinator.
    FromOperator(usize),
}

/// Runs random steps with message loss, duplication, pauses, partitions and crashes. At the end all coordinators run, the
/// partitions and pauses are over, and the fleet has time to settle.
fn random_walk(seed: u64, faults: Faults, steps: usize) -> World {
    let mut rng = Rng::with_seed(seed);
    let (count, members) = (3, rng.usize(2..4));
    let mut world = World::new(count, members, faults);
    if rng.bool() {
        world.run_for(4 * LEASE);
    }
    let mut paused = vec![false; members];
    let mut blocked = HashSet::new();
    let mut requests = 0;
    for _ in 0..steps {
        if world.violation.is_some() {
            return world;
        }
        // With more than eight messages in transit only deliveries are drawn, so that not all of them become outdated.
        let draw = if world.network.len() > 8 { rng.u32(0..600) } else { rng.u32(0..1000) };
        match draw {
            0..600 if !world.network.is_empty() => {
                // Mostly the oldest message.
                let at = if rng.u32(0..4) > 0 { 0 } else { rng.usize(..world.network.len()) };
                let is_duplicate = rng.u32(0..30) == 0;
                let sent = if is_duplicate { world.network[at].clone() } else { world.network.remove(at) };
                let route = match (&sent.to, &sent.message) {
                    (common::Destination::Coordinator(c), common::Message::Envelope(from, _)) => {
                        Route::BetweenCoordinators { from: *from as usize, to: *c as usize }
                    }
                    (
                        common::Destination::Coordinator(_),
                        common::Message::Request(ClientSession::Member(m), _),
                    ) => Route::FromMember(m.parse().unwrap()),
                    (common::Destination::Coordinator(c), _) => Route::FromOperator(*c as usize),
                    (common::Destination::Member(m), _) => Route::ToMember(*m),
                };
                let is_paused = matches!(&sent.to, common::Destination::Member(m) if paused[*m]);
                if is_paused {
                    // The message waits until the member continues.
                    world.network.push(sent);
                } else if !blocked.contains(&route) {
                    world.deliver(sent);
                }
            }
            0..960 => {
                let to = world.next_due(&paused);
                world.advance_to(to, &paused);
            }
            960..968 => {
                let route = match rng.u32(0..5) {
                    // The coordinator is cut off from all others, but not from members.
                    4 => {
                        let c = rng.usize(..count);
                        blocked.extend((0..count).flat_map(|other| {
                            [
                                Route::BetweenCoordinators { from: c, to: other },
                                Route::BetweenCoordinators { from: other, to: c },
                            ]
                        }));
                        continue;
                    }
                    0 => Route::FromMember(rng.usize(..members)),
                    1 => Route::ToMember(rng.usize(..members)),
                    _ => Route::BetweenCoordinators { from: rng.usize(..count), to: rng.usize(..count) },
                };
                if !blocked.remove(&route) {
                    blocked.insert(route);
                }
            }
            968..971 => {
                let c = rng.usize(..count);
                match world.coordinators[c] {
                    Some(_) => world.crash(c),
                    None => world.start(c),
                }
            }
            971..974 => {
                let m = rng.usize(..members);
                paused[m] = !paused[m];
            }
            974..976 => {
                let m = rng.usize(..members);
                world.connected_to[m] = rng.u8(..count as u8);
            }
            976..986 => {
                blocked.clear();
                (0..count)
                    .filter(|c| world.coordinators[*c].is_none())
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|c| world.start(c));
            }
            986 => {
                let c = rng.usize(..count);
                if world.coordinators[c].is_none() && world.coordinators.iter().flatten().count() == count - 1
                {
                    world.replace(c);
                }
            }
            987 => {
                let to = world.now + rng.u64(1..2 * LEASE);
                world.advance_to(to, &paused);
            }
            _ => {
                requests += 1;
                let (c, text) = (rng.usize(..count), format!("t{requests}"));
                let give_up = rng.bool().then(|| rng.u64(1..LEASE));
                world.propose(c, &format!("r{requests}"), &text, give_up);
            }
        }
    }
    // All coordinators run again, and the network delivers everything.
    (0..count).for_each(|c| {
        if world.coordinators[c].is_none() {
            world.start(c);
        }
    });
    world.run_for(20 * LEASE);
    world
}

/// Checks that the fleet has settled: there is a leader, all members may serve under the decided version, and no change
/// is pending.
fn check_settled(world: &World) -> Result<(), String> {
    let leader = world.leader().ok_or("there is no leader")?;
    let state = world.coordinators[leader]
        .as_ref()
        .and_then(Coordinator::committed_state)
        .ok_or("the leader has no committed state")?;
    if state.pending.is_some() {
        return Err(format!("pending: {:?}", state.pending));
    }
    for (m, member) in world.members.iter().enumerate() {
        if !member.may_serve(world.now) || member.active() != state.policy.version {
            return Err(format!("member {m} is at {} of {}", member.active(), state.policy.version));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn random_walks(seed in any::<u64>()) {
        let world = random_walk(seed, Faults::default(), 1500);
        prop_assert_eq!(&world.violation, &None);
        prop_assert_eq!(check_settled(&world), Ok(()));
    }
}

fn coordinator_fault(fault: InjectedFault) -> Faults {
    Faults { coordinator: Some(fault), member: None }
}

fn member_fault(fault: member::InjectedFault) -> Faults {
    Faults { coordinator: None, member: Some(fault) }
}

// Two of three coordinators know of a decided change. One of them loses its store and the other one crashes: if the empty
// store had a vote, it would form a quorum with the third coordinator, which does not know the change.
#[rstest]
#[case::learning(true)]
#[case::voting(false)]
fn an_empty_store_must_not_vote(#[case] learning: bool) {
    let mut world = World::new(3, 0, Faults::default());
    world.run_for(4 * LEASE);
    let leader = world.leader().unwrap();
    let (informed, uninformed) = ((leader + 1) % 3, (leader + 2) % 3);
    world.crash(uninformed);
    world.propose(leader, "r1", "one", None);
    world.run_for(2 * HOLD);
    assert_eq!(world.decided.len(), 2);
    world.crash(leader);
    world.crash(informed);
    // No message is left that would report an observed write count to the coordinator with the empty store.
    world.network.clear();
    world.disks[informed] = Record { learning, state: State::initial("1".into()), ..Record::default() };
    world.start(informed);
    world.start(uninformed);
    world.run_for(4 * LEASE);
    let Some(leader) = world.leader() else {
        assert!(learning, "two coordinators with votes must elect a leader");
        return;
    };
    assert!(!learning);
    world.propose(leader, "r2", "two", None);
    world.run_for(2 * HOLD);
    assert_eq!(world.violation.as_deref(), Some("version 2 has two texts"));
}

// A coordinator that lost its store has no vote until its replacement is committed and has received the committed state.
// Then the replacement counts for quorums as its predecessor did.
#[test]
fn a_lost_store_is_replaced() {
    let mut world = World::new(3, 2, Faults::default());
    world.run_for(4 * LEASE);
    let lost = (world.leader().unwrap() + 1) % 3;
    assert!(!world.replace(lost), "the coordinator still responds");
    world.crash(lost);
    world.run_for(8 * HOLD);
    world.propose(world.leader().unwrap(), "r1", "one", None);
    world.run_for(2 * LEASE);
    let old = world.disks[lost].clone();
    assert!(world.replace(lost));
    assert!(world.disks[lost].learning);
    world.run_for(4 * HOLD);
    assert!(!world.disks[lost].learning && world.disks[lost].state.policy.version == 2);
    // The replacement and the remaining coordinator form a quorum, and know the committed state.
    world.crash(world.leader().unwrap());
    world.run_for(4 * LEASE);
    world.propose(world.leader().unwrap(), "r2", "two", None);
    world.run_for(2 * LEASE);
    assert_eq!((world.violation.clone(), world.decided.len()), (None, 3));
    // The old store comes back: its coordinator halts, and its messages have no effect.
    world.crash(lost);
    world.disks[lost] = old;
    let down: Vec<usize> = (0..3).filter(|c| world.coordinators[*c].is_none()).collect();
    down.into_iter().for_each(|c| world.start(c));
    world.run_for(4 * LEASE);
    assert!(world.coordinators[lost].is_none());
    assert_eq!((world.violation.clone(), check_settled(&world)), (None, Ok(())));
}

// One of five coordinators is stopped while another one is replaced. Its messages to the replacement carry the write
// count that it observed of the predecessor, which must not look like a rolled-back record.
#[test]
fn observations_of_a_predecessor_do_not_halt_its_replacement() {
    let mut world = World::new(5, 1, Faults::default());
    world.run_for(4 * LEASE);
    // The leader is replaced, since the others have observed its write count.
    let lost = world.leader().unwrap();
    let absent = (lost + 4) % 5;
    for number in 0..3 {
        world.propose(lost, &format!("r{number}"), "text", None);
        world.run_for(2 * LEASE);
    }
    world.crash(lost);
    let stopped = world.coordinators[absent].take();
    world.run_for(8 * HOLD);
    assert!(world.replace(lost));
    world.run_for(4 * HOLD);
    assert!(!world.disks[lost].learning);
    world.coordinators[absent] = stopped;
    // The absent coordinator starts an election before it receives any message.
    world.advance_to(world.now, &[]);
    world.run_for(4 * LEASE);
    assert!(world.coordinators[lost].is_some(), "the replacement has halted");
    assert_eq!((world.violation.clone(), check_settled(&world)), (None, Ok(())));
}

// An operator's removal of a member is confirmed only after a quorum has accepted it.
#[test]
fn removal_is_confirmed_once_it_is_committed() {
    let mut world = World::new(3, 2, Faults::default());
    world.run_for(4 * LEASE);
    let leader = world.leader().unwrap();
    let forget = |world: &mut World| {
        let (client, request) = (ClientSession::Operator(3), OperatorRequest::Forget { member: "1".into() });
        world.step_coordinator(leader, Input::Request { client, request: Request::Operator(request) });
        world.operator_replies.clone()
    };
    assert!(matches!(forget(&mut world)[..], [Reply::Rejected(_)]), "the member may still serve");
    // The member is never heard from again.
    world.members[1].handle(world.now, member::Input::SessionClosed, &mut Vec::new());
    world.run_for(2 * LEASE);
    world.operator_replies.clear();
    assert_eq!(forget(&mut world), []);
    world.run_for(HOLD);
    assert_eq!(world.operator_replies, [Reply::Removed]);
    let state = world.coordinators[leader].as_ref().and_then(Coordinator::committed_state).unwrap();
    assert!(!state.members.contains_key("1") && state.members.contains_key("0"));
}

#[test]
fn random_walks_make_progress() {
    let all: Vec<World> = (0..40).map(|seed| random_walk(seed, Faults::default(), 1500)).collect();
    let decided: usize = all.iter().map(|w| w.decided.len() - 1).sum();
    let dropped: usize = all.iter().map(|w| w.dropped.len()).sum();
    let rounds: u32 = all.iter().flat_map(|w| w.disks.iter().map(|d| d.promised.round).max()).sum();
    println!("40 walks: {decided} changes decided, {dropped} dropped, {rounds} rounds");
    assert!(decided > 40 && dropped > 10 && rounds > 80);
}

/// A coordinator sends a promise and crashes. After its restart, a candidate with a lower ballot requests a promise
/// from it.
fn lower_ballot_after_restart(faults: Faults) -> World {
    let mut world = World::new(3, 0, faults);
    // Coordinator 0 starts elections whose messages are lost, which raises its ballot.
    for _ in 0..8 {
        world.crash(0);
        world.start(0);
        world.advance_to(world.now + HOLD, &[true]);
        world.network.clear();
        world.crash(1);
        world.start(1);
        world.crash(2);
        world.start(2);
    }
    world.advance_to(world.now + HOLD, &[]);
    let deliver_between = |world: &mut World, from: usize, to: usize| {
        while let Some(at) = world.network.iter().position(|s| {
            let is_from = matches!(&s.message, common::Message::Envelope(by, _) if *by as usize == from);
            is_from && s.to == common::Destination::Coordinator(to as u8)
        }) {
            let sent = world.network.remove(at);
            world.deliver(sent);
        }
    };
    deliver_between(&mut world, 0, 2);
    deliver_between(&mut world, 2, 0);
    // Coordinator 0 is the leader, and its first write is delayed.
    let late = std::mem::take(&mut world.network);
    let stopped = world.coordinators[0].take();
    world.crash(2);
    world.start(2);
    for _ in 0..40 {
        world.advance_to(world.now + HOLD / 8, &[]);
        deliver_between(&mut world, 1, 2);
        deliver_between(&mut world, 2, 1);
        world.network.clear();
    }
    world.propose(1, "r1", "one", None);
    for _ in 0..4 {
        deliver_between(&mut world, 1, 2);
        deliver_between(&mut world, 2, 1);
    }
    world.crash(1);
    (world.network, world.coordinators[0]) = (late, stopped);
    for _ in 0..40 {
        deliver_between(&mut world, 0, 2);
        deliver_between(&mut world, 2, 0);
        world.advance_to(world.now + HOLD / 8, &[]);
    }
    world.propose(0, "r2", "two", None);
    for _ in 0..8 {
        deliver_between(&mut world, 0, 2);
        deliver_between(&mut world, 2, 0);
    }
    world
}

#[test]
fn promises_survive_a_restart() {
    let without_fault = lower_ballot_after_restart(Faults::default());
    assert_eq!(without_fault.violation, None);
    assert!(!without_fault.decided.is_empty());
    let violation =
        lower_ballot_after_restart(coordinator_fault(InjectedFault::UnpersistedPromise)).violation;
    assert_eq!(violation.as_deref(), Some("version 2 has two texts"));
}

#[rstest]
#[case::majority_decides(coordinator_fault(InjectedFault::MajorityDecides))]
#[case::stale_leader(coordinator_fault(InjectedFault::StaleLeader))]
#[case::no_grace_period(coordinator_fault(InjectedFault::NoGracePeriod))]
#[case::lease_from_receipt(member_fault(member::InjectedFault::LeaseFromReceipt))]
#[case::activate_undecided(member_fault(member::InjectedFault::ActivateUndecided))]
#[case::lease_never_ends(member_fault(member::InjectedFault::LeaseNeverEnds))]
fn injected_faults_are_found(#[case] faults: Faults) {
    let found = (0..3_000)
        .find_map(|seed| random_walk(seed, faults, 1500).violation.map(|violation| (seed, violation)));
    println!("{found:?}");
    assert!(found.is_some());
}
