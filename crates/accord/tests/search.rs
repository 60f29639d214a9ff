//! Every order of what can happen, up to a depth, from several beginnings; and long walks by chance. Known
//! mistakes are switched on one at a time and must be found.

mod common;

use std::collections::{HashMap, HashSet};

use common::{HOLD, LEASE, Mistakes, World};
use fastrand::Rng;
use linestack_accord::{Ask, Broken, Coordinator, Guest, Input, Record, Reply, Request, State};
use linestack_member as member;
use proptest::prelude::*;
use rstest::rstest;

/// Three coordinators and two members, settled, with a change put before them that has not got anywhere.
fn two_changes() -> World {
    let mut world = World::new(3, 2, Mistakes::default());
    world.settle(4 * LEASE);
    let speaker = world.speaker().unwrap();
    world.propose(speaker, "r1", "2", Some(2 * LEASE));
    world.propose(speaker, "r2", "3", Some(2 * LEASE));
    world
}

/// All start together, and nobody speaks.
fn start() -> World {
    let mut world = World::new(3, 2, Mistakes::default());
    world.now += HOLD;
    world
}

/// The speaker has decided, and nobody else knows.
fn deciding() -> World {
    let mut world = two_changes();
    for _ in 0..200 {
        let flying = world.disks.iter().filter(|d| d.state.policy.version == 2).count();
        if flying > 0 {
            return world;
        }
        match world.net.is_empty() {
            true => world.pass(world.due(&[]), &[]),
            false => {
                let sent = world.net.remove(0);
                world.deliver(sent);
            }
        }
    }
    panic!("it is never decided")
}

/// Whoever speaks has just died in the middle of a change.
fn orphaned() -> World {
    let mut world = deciding();
    let speaker = world.speaker().unwrap();
    world.crash(speaker);
    world
}

/// Everything that can happen next: any message comes, and may come again; one of the coordinators dies, or is
/// back; time passes to when somebody wants it.
fn next(world: &World, crashes: bool) -> Vec<World> {
    let mut all = Vec::new();
    let mut seen = Vec::new();
    for (at, sent) in world.net.iter().enumerate() {
        if seen.contains(&(&sent.to, &sent.message)) {
            continue;
        }
        seen.push((&sent.to, &sent.message));
        let mut once = world.clone();
        let sent = once.net.remove(at);
        let mut again = world.clone();
        once.deliver(sent.clone());
        again.deliver(sent);
        all.extend([once, again]);
    }
    for c in 0..world.coordinators.len() {
        let mut other = world.clone();
        match &world.coordinators[c] {
            None => other.start(c),
            Some(_) if crashes && world.coordinators.iter().flatten().count() > 1 => other.crash(c),
            Some(_) => continue,
        }
        all.push(other);
    }
    let mut later = world.clone();
    later.pass(world.due(&[]), &[]);
    all.push(later);
    // All messages that are on their way may be late by any time, and lost if it is long.
    let mut far = world.clone();
    far.pass(world.now + LEASE, &[]);
    all.push(far);
    all
}

#[rstest]
#[case::start("start", start(), 5)]
#[case::two_changes("two changes", two_changes(), 5)]
#[case::deciding("deciding", deciding(), 5)]
#[case::orphaned("orphaned", orphaned(), 5)]
fn every_order(#[case] name: &str, #[case] world: World, #[case] depth: usize) {
    let depth = std::env::var("SEARCH_DEPTH").map_or(depth, |d| d.parse().unwrap());
    let mut seen = HashMap::new();
    // Worlds are held along one path only: their number is far over what memory holds.
    let mut path = vec![vec![world]];
    while let Some(worlds) = path.last_mut() {
        let Some(world) = worlds.pop() else {
            path.pop();
            continue;
        };
        assert_eq!(world.broken, None);
        let left = depth + 1 - path.len();
        if left > 0 && seen.insert(world.hash(), left).is_none_or(|before| before < left) {
            path.push(next(&world, true));
        }
    }
    println!("{name}: {} states to depth {depth}", seen.len());
    assert!(seen.len() > 300, "nothing was searched");
}

/// What a walk by chance does at each step. Faults come and go; at the end all is whole.
fn walk(seed: u64, mistakes: Mistakes, steps: usize) -> World {
    let mut rng = Rng::with_seed(seed);
    let (count, members) = (3, rng.usize(2..4));
    let mut world = World::new(count, members, mistakes);
    if rng.bool() {
        world.settle(4 * LEASE);
    }
    let mut paused = vec![false; members];
    // From coordinator to coordinator, and between members and coordinators.
    let mut cut = HashSet::new();
    let mut requests = 0;
    for _ in 0..steps {
        if world.broken.is_some() {
            return world;
        }
        // What is on its way mostly comes before time passes, lest all that is said is old.
        let lot = if world.net.len() > 8 { rng.u32(0..600) } else { rng.u32(0..1000) };
        match lot {
            0..600 if !world.net.is_empty() => {
                // Mostly the oldest.
                let at = if rng.u32(0..4) > 0 { 0 } else { rng.usize(..world.net.len()) };
                let again = rng.u32(0..30) == 0;
                let sent = if again { world.net[at].clone() } else { world.net.remove(at) };
                let ends = match (&sent.to, &sent.message) {
                    (common::To::Coordinator(c), common::Message::Letter(from, _)) => {
                        (*from as usize, *c as usize)
                    }
                    (common::To::Coordinator(_), common::Message::Guest(Guest::Member(m), _)) => {
                        (10, m.parse().unwrap())
                    }
                    (common::To::Coordinator(c), _) => (30, *c as usize),
                    (common::To::Member(m), _) => (20, *m),
                };
                let asleep = matches!(&sent.to, common::To::Member(m) if paused[*m]);
                if asleep {
                    // It waits for whoever sleeps.
                    world.net.push(sent);
                } else if !cut.contains(&ends) {
                    world.deliver(sent);
                }
            }
            0..960 => {
                let to = world.due(&paused);
                world.pass(to, &paused);
            }
            960..968 => {
                let ends = match rng.u32(0..5) {
                    // One that only members reach.
                    4 => {
                        let c = rng.usize(..count);
                        cut.extend((0..count).flat_map(|d| [(c, d), (d, c)]));
                        continue;
                    }
                    0 => (10, rng.usize(..members)),
                    1 => (20, rng.usize(..members)),
                    _ => (rng.usize(..count), rng.usize(..count)),
                };
                if !cut.remove(&ends) {
                    cut.insert(ends);
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
                world.asks[m] = rng.u8(..count as u8);
            }
            976..986 => {
                cut.clear();
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
                world.pass(to, &paused);
            }
            _ => {
                requests += 1;
                let (c, text) = (rng.usize(..count), format!("t{requests}"));
                let give_up = rng.bool().then(|| rng.u64(1..LEASE));
                world.propose(c, &format!("r{requests}"), &text, give_up);
            }
        }
    }
    // Once faults end, every wait ends.
    (0..count).for_each(|c| {
        if world.coordinators[c].is_none() {
            world.start(c);
        }
    });
    world.settle(20 * LEASE);
    world
}

/// Whether all came to rest: one speaks, all may serve under what is decided, and nothing is pending for ever.
fn at_rest(world: &World) -> Result<(), String> {
    let speaker = world.speaker().ok_or("nobody speaks")?;
    let state =
        world.coordinators[speaker].as_ref().and_then(Coordinator::chosen).ok_or("nothing is agreed")?;
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
    fn walks(seed in any::<u64>()) {
        let world = walk(seed, Mistakes::default(), 1500);
        prop_assert_eq!(&world.broken, &None);
        prop_assert_eq!(at_rest(&world), Ok(()));
    }
}

fn coordinator(broken: Broken) -> Mistakes {
    Mistakes { coordinator: Some(broken), member: None }
}

fn by_member(broken: member::InjectedFault) -> Mistakes {
    Mistakes { coordinator: None, member: Some(broken) }
}

// A change that two of three know is decided. One of them loses its store, the other dies: were the empty one to vote, the
// third would go on without the change.
#[rstest]
#[case::learning(true)]
#[case::voting(false)]
fn an_empty_store_must_not_vote(#[case] learning: bool) {
    let mut world = World::new(3, 0, Mistakes::default());
    world.settle(4 * LEASE);
    let speaker = world.speaker().unwrap();
    let (knows, misses) = ((speaker + 1) % 3, (speaker + 2) % 3);
    world.crash(misses);
    world.propose(speaker, "r1", "one", None);
    world.settle(2 * HOLD);
    assert_eq!(world.decided.len(), 2);
    world.crash(speaker);
    world.crash(knows);
    // Nothing is left on the way by which it would hear how much it had kept.
    world.net.clear();
    world.disks[knows] = Record { learning, state: State::first("1".into()), ..Record::default() };
    world.start(knows);
    world.start(misses);
    world.settle(4 * LEASE);
    let Some(speaker) = world.speaker() else {
        assert!(learning, "they would have to agree");
        return;
    };
    assert!(!learning);
    world.propose(speaker, "r2", "two", None);
    world.settle(2 * HOLD);
    assert_eq!(world.broken.as_deref(), Some("version 2 has two texts"));
}

// One that lost its store has no vote until another in its place was agreed on and told what is agreed; then it counts
// as the one before did.
#[test]
fn a_lost_store_is_replaced_by_agreement() {
    let mut world = World::new(3, 2, Mistakes::default());
    world.settle(4 * LEASE);
    let lost = (world.speaker().unwrap() + 1) % 3;
    assert!(!world.replace(lost), "it is heard");
    world.crash(lost);
    world.settle(8 * HOLD);
    world.propose(world.speaker().unwrap(), "r1", "one", None);
    world.settle(2 * LEASE);
    let old = world.disks[lost].clone();
    assert!(world.replace(lost));
    assert!(world.disks[lost].learning);
    world.settle(4 * HOLD);
    assert!(!world.disks[lost].learning && world.disks[lost].state.policy.version == 2);
    // The one that is new and the one that is left are most of three, and know what was agreed.
    world.crash(world.speaker().unwrap());
    world.settle(4 * LEASE);
    world.propose(world.speaker().unwrap(), "r2", "two", None);
    world.settle(2 * LEASE);
    assert_eq!((world.broken.clone(), world.decided.len()), (None, 3));
    // The old store comes back: it ends, and has said nothing that counts.
    world.crash(lost);
    world.disks[lost] = old;
    let down: Vec<usize> = (0..3).filter(|c| world.coordinators[*c].is_none()).collect();
    down.into_iter().for_each(|c| world.start(c));
    world.settle(4 * LEASE);
    assert!(world.coordinators[lost].is_none());
    assert_eq!((world.broken.clone(), at_rest(&world)), (None, Ok(())));
}

// One of five was cut off while another's place was given away, and asks it by what it saw of the one before.
#[test]
fn what_was_seen_of_the_one_before_is_no_older_copy() {
    let mut world = World::new(5, 1, Mistakes::default());
    world.settle(4 * LEASE);
    // The one that spoke: it is whom the others have seen.
    let lost = world.speaker().unwrap();
    let away = (lost + 4) % 5;
    for number in 0..3 {
        world.propose(lost, &format!("r{number}"), "text", None);
        world.settle(2 * LEASE);
    }
    world.crash(lost);
    let asleep = world.coordinators[away].take();
    world.settle(8 * HOLD);
    assert!(world.replace(lost));
    world.settle(4 * HOLD);
    assert!(!world.disks[lost].learning);
    world.coordinators[away] = asleep;
    // It asks before it has been told anything.
    world.pass(world.now, &[]);
    world.settle(4 * LEASE);
    assert!(world.coordinators[lost].is_some(), "the one that is new has ended");
    assert_eq!((world.broken.clone(), at_rest(&world)), (None, Ok(())));
}

// Whoever wants a member off the list is told so when it is, and not before most know.
#[test]
fn forgotten_is_told_once_it_is_agreed() {
    let mut world = World::new(3, 2, Mistakes::default());
    world.settle(4 * LEASE);
    let speaker = world.speaker().unwrap();
    let ask = |world: &mut World| {
        let (guest, ask) = (Guest::Operator(3), Ask::Forget { member: "1".into() });
        world.coordinator(speaker, Input::Guest { guest, request: Request::Ask(ask) });
        world.heard.clone()
    };
    assert!(matches!(ask(&mut world)[..], [Reply::TurnedDown(_)]), "it may serve");
    // It is never heard again.
    world.members[1].handle(world.now, member::Input::SessionClosed, &mut Vec::new());
    world.settle(2 * LEASE);
    world.heard.clear();
    assert_eq!(ask(&mut world), []);
    world.settle(HOLD);
    assert_eq!(world.heard, [Reply::Done]);
    let state = world.coordinators[speaker].as_ref().and_then(Coordinator::chosen).unwrap();
    assert!(!state.members.contains_key("1") && state.members.contains_key("0"));
}

#[test]
fn walks_get_somewhere() {
    let all: Vec<World> = (0..40).map(|seed| walk(seed, Mistakes::default(), 1500)).collect();
    let decided: usize = all.iter().map(|w| w.decided.len() - 1).sum();
    let dropped: usize = all.iter().map(|w| w.dropped.len()).sum();
    let rounds: u32 = all.iter().flat_map(|w| w.disks.iter().map(|d| d.promised.round).max()).sum();
    println!("40 walks: {decided} changes decided, {dropped} dropped, {rounds} rounds");
    assert!(decided > 40 && dropped > 10 && rounds > 80);
}

/// A coordinator answers that it will hear nobody lower, and dies. Another, lower one asks it when it is back.
fn lower_after_a_death(mistakes: Mistakes) -> World {
    let mut world = World::new(3, 0, mistakes);
    // Asks some times, and is heard once.
    for _ in 0..8 {
        world.crash(0);
        world.start(0);
        world.pass(world.now + HOLD, &[true]);
        world.net.clear();
        world.crash(1);
        world.start(1);
        world.crash(2);
        world.start(2);
    }
    world.pass(world.now + HOLD, &[]);
    let only = |world: &mut World, from: usize, to: usize| {
        while let Some(at) = world.net.iter().position(|s| {
            let letter = matches!(&s.message, common::Message::Letter(by, _) if *by as usize == from);
            letter && s.to == common::To::Coordinator(to as u8)
        }) {
            let sent = world.net.remove(at);
            world.deliver(sent);
        }
    };
    only(&mut world, 0, 2);
    only(&mut world, 2, 0);
    // It speaks, and what it writes is on its way for long.
    let late = std::mem::take(&mut world.net);
    let asleep = world.coordinators[0].take();
    world.crash(2);
    world.start(2);
    for _ in 0..40 {
        world.pass(world.now + HOLD / 8, &[]);
        only(&mut world, 1, 2);
        only(&mut world, 2, 1);
        world.net.clear();
    }
    world.propose(1, "r1", "one", None);
    for _ in 0..4 {
        only(&mut world, 1, 2);
        only(&mut world, 2, 1);
    }
    world.crash(1);
    (world.net, world.coordinators[0]) = (late, asleep);
    for _ in 0..40 {
        only(&mut world, 0, 2);
        only(&mut world, 2, 0);
        world.pass(world.now + HOLD / 8, &[]);
    }
    world.propose(0, "r2", "two", None);
    for _ in 0..8 {
        only(&mut world, 0, 2);
        only(&mut world, 2, 0);
    }
    world
}

#[test]
fn what_was_promised_is_kept_over_a_death() {
    let sound = lower_after_a_death(Mistakes::default());
    assert_eq!(sound.broken, None);
    assert!(!sound.decided.is_empty());
    let broken = lower_after_a_death(coordinator(Broken::Forgets)).broken;
    assert_eq!(broken.as_deref(), Some("version 2 has two texts"));
}

#[rstest]
#[case::majority(coordinator(Broken::Majority))]
#[case::old_speaker(coordinator(Broken::OldSpeaker))]
#[case::not_blind(coordinator(Broken::NotBlind))]
#[case::from_receipt(by_member(member::InjectedFault::LeaseFromReceipt))]
#[case::early(by_member(member::InjectedFault::ActivateUndecided))]
#[case::unfenced(by_member(member::InjectedFault::LeaseNeverEnds))]
fn known_mistakes_are_found(#[case] mistakes: Mistakes) {
    let found = (0..3_000).find_map(|seed| walk(seed, mistakes, 1500).broken.map(|b| (seed, b)));
    println!("{found:?}");
    assert!(found.is_some());
}
