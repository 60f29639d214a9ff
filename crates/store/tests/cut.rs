//! Cut everywhere, failed everywhere, flipped everywhere: what comes back is a state that was, with all that was told
//! to last, or a refusal. A sample is played here; STORE_FULL=1 plays all of it.

mod common;

use std::collections::BTreeMap;

use common::{Memory, Trouble};
use fastrand::Rng;
use linestack_store::{Disk, Limits, Op, Store, StoreError, repair};
use proptest::prelude::*;
use rstest::rstest;

type Map = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

fn limits() -> Limits {
    Limits { segment_size: 4096, budget: 10 * 4096, max_uncovered_segments: 3, ..Limits::default() }
}

fn full() -> bool {
    std::env::var_os("STORE_FULL").is_some()
}

/// Commits of some records each, over few keys, so that most are replaced.
fn commits(seed: u64, count: usize) -> Vec<Vec<Op>> {
    let mut rng = Rng::with_seed(seed);
    let op = |rng: &mut Rng| {
        let (kind, key) = (rng.u8(0..2), vec![rng.u8(0..30); 8]);
        if rng.u8(0..5) == 0 {
            return Op::Remove { kind, key };
        }
        let length = if rng.u8(0..10) == 0 { rng.usize(500..1500) } else { rng.usize(0..40) };
        // Zeros too, since a record of zeros must not look like nothing.
        let value = if rng.bool() { vec![0; length] } else { (0..length).map(|_| rng.u8(..)).collect() };
        Op::Put { kind, key, value, at: rng.u64(0..100) }
    };
    (0..count).map(|_| (0..rng.usize(1..6)).map(|_| op(&mut rng)).collect()).collect()
}

fn apply(map: &mut Map, op: &Op) {
    match op {
        Op::Put { kind, key, value, .. } => drop(map.insert((*kind, key.clone()), value.clone())),
        Op::Remove { kind, key } => drop(map.remove(&(*kind, key.clone()))),
    }
}

fn contents<D: Disk>(store: &Store<D>) -> Result<Map, StoreError> {
    let entries: Vec<_> = store.entries().collect();
    // One by one and all at once is the same.
    let mut all = Map::new();
    store.for_each(|entry, value| drop(all.insert((entry.kind, entry.key), value)))?;
    let one_by_one: Map = entries
        .into_iter()
        .map(|e| Ok(((e.kind, e.key.clone()), store.get(e.kind, &e.key)?.expect("it is listed"))))
        .collect::<Result<_, StoreError>>()?;
    assert_eq!(all, one_by_one);
    Ok(all)
}

/// Commits until one fails. Returns how many operations were told to last and how many were begun.
fn play(disk: Memory, all: &[Vec<Op>], new: bool) -> (Option<Store<Memory>>, usize, usize) {
    let Ok(mut store) = Store::open(disk, limits(), new, 7) else { return (None, 0, 0) };
    let (mut kept, mut begun) = (0, 0);
    for (i, ops) in all.iter().enumerate() {
        begun += ops.len();
        if store.commit(ops, 0).is_err() {
            assert!(matches!(store.commit(ops, 0), Err(StoreError::Failed)), "it goes on after a failure");
            return (Some(store), kept, begun);
        }
        kept += ops.len();
        // Now and then all of the rest.
        if i % 17 == 16 && store.compact(0).is_err() {
            return (Some(store), kept, begun);
        }
    }
    (Some(store), kept, begun)
}

/// Whether a map is what some of the operations make, from those that were told to last up to those that were begun.
fn was(map: &Map, all: &[Vec<Op>], kept: usize, begun: usize) -> bool {
    let mut model = Map::new();
    let ops: Vec<&Op> = all.iter().flatten().collect();
    ops[..kept].iter().for_each(|op| apply(&mut model, op));
    for op in &ops[kept..begun] {
        if *map == model {
            return true;
        }
        apply(&mut model, op);
    }
    *map == model
}

/// A store that was played to its end, and its disk.
fn whole(seed: u64, count: usize) -> (Memory, Vec<Vec<Op>>, Map) {
    let all = commits(seed, count);
    let (store, kept, begun) = play(Memory::default(), &all, true);
    let store = store.unwrap();
    assert_eq!(kept, begun);
    let map = contents(&store).unwrap();
    assert!(was(&map, &all, kept, begun));
    assert!(store.stats().cleaned > 3 && store.stats().segments > 3, "{:?}", store.stats());
    (store.close(), all, map)
}

// The power is cut at every step, and within every write at some byte; what was not synced is lost in any part.
#[test]
fn cut_at_every_step() {
    let all = commits(1, 60);
    let total = play(Memory::default(), &all, true).0.unwrap().close().steps;
    let (mut rng, mut refused, mut opened) = (Rng::with_seed(5), 0, 0);
    for step in 1..=total {
        for _ in 0..if full() { 40 } else { 4 } {
            let bytes = if rng.bool() { rng.usize(0..64) } else { rng.usize(0..4096) };
            let disk = Memory::with(step, Trouble::Cut(bytes));
            let (store, kept, begun) = play(disk, &all, true);
            let Some(store) = store else { continue };
            let disk = store.close();
            let (lost, power) =
                if rng.bool() { (disk.after_cut(&mut rng), true) } else { (disk.after_kill(), false) };
            let again = match Store::open(lost, limits(), false, 7) {
                Ok(store) => store,
                // A store that was never made; or a loud refusal.
                Err(StoreError::Missing) if kept == 0 => continue,
                Err(why) => {
                    assert!(power || matches!(why, StoreError::Damaged { .. }), "step {step}: {why}");
                    refused += 1;
                    continue;
                }
            };
            opened += 1;
            let map = contents(&again).unwrap();
            assert!(was(&map, &all, kept, begun), "step {step}, power {power}: {kept} of {begun} were kept");
            assert_eq!(again.verify().unwrap(), []);
        }
    }
    println!("{total} steps, {opened} opened, {refused} refused");
    assert!(opened > 20 * refused, "hardly anything was opened: {opened}, {refused}");
}

// Each call of the disk fails in turn. The store takes nothing more; what was told to last is there.
#[test]
fn every_call_fails_in_turn() {
    let all = commits(2, 60);
    let total = play(Memory::default(), &all, true).0.unwrap().close().steps;
    for step in 1..=total {
        let disk = Memory::with(step, Trouble::Fails);
        let (store, kept, begun) = play(disk, &all, true);
        let Some(store) = store else { continue };
        let again = match Store::open(store.close().after_kill(), limits(), false, 7) {
            Ok(again) => again,
            Err(StoreError::Missing) if kept == 0 => continue,
            Err(why) => panic!("step {step}: {why}"),
        };
        assert!(was(&contents(&again).unwrap(), &all, kept, begun), "step {step}");
    }
}

// Any file cut at any byte: all of it, or a refusal. Only a checkpoint may be done without.
#[test]
fn cut_at_every_byte_of_every_file() {
    let (disk, _, map) = whole(3, 150);
    let mut refused = 0;
    for (name, length) in disk.files() {
        let step = if full() { 1 } else { 23 };
        for cut in (0..length).step_by(step) {
            let mut cut_disk = disk.after_kill();
            cut_disk.cut_file(&name, cut);
            match Store::open(cut_disk, limits(), false, 7) {
                Ok(store) => assert_eq!(contents(&store).unwrap(), map, "{name} at {cut}"),
                Err(StoreError::Damaged { .. }) => refused += 1,
                Err(why) => panic!("{name} at {cut}: {why}"),
            }
        }
    }
    assert!(refused > 100);
}

// Any bit of any file turned: all of it, or a refusal, at the start or when the record is read.
#[test]
fn every_bit_flipped() {
    let (disk, _, map) = whole(4, 110);
    let (mut refused, mut fine) = (0, 0);
    for (name, length) in disk.files() {
        let step = if full() { 1 } else { 31 };
        for bit in (0..length * 8).step_by(step) {
            let mut flipped = disk.after_kill();
            flipped.flip(&name, bit);
            match Store::open(flipped, limits(), false, 7).and_then(|s| contents(&s)) {
                Ok(found) => {
                    fine += 1;
                    assert_eq!(found, map, "{name}, bit {bit}");
                }
                Err(StoreError::Damaged { .. } | StoreError::FormatVersion { .. }) => refused += 1,
                Err(why) => panic!("{name}, bit {bit}: {why}"),
            }
        }
    }
    assert!(refused > 500 && fine > 500, "{refused} {fine}");
}

#[test]
fn a_file_that_vanished_is_missed() {
    let (disk, _, map) = whole(5, 110);
    for (name, _) in disk.files() {
        let mut less = disk.after_kill();
        less.vanish(&name);
        match Store::open(less, limits(), false, 7) {
            Ok(store) => {
                assert!(name.starts_with("checkpoint"), "{name} is not missed");
                assert_eq!(contents(&store).unwrap(), map);
            }
            Err(StoreError::Damaged { .. }) => {}
            Err(why) => panic!("{name}: {why}"),
        }
    }
}

// Of a commit that was never finished the later part may have reached the disk. It must not come to life once other
// records lie before it.
#[test]
fn what_was_never_finished_stays_so() {
    // A record of 512 bytes each.
    let put = |key: u8| Op::Put { kind: 1, key: vec![key; 8], value: vec![key; 475], at: 0 };
    let mut store = Store::open(Memory::default(), limits(), true, 7).unwrap();
    store.commit(&[put(1)], 0).unwrap();
    store.commit(&[put(2), put(3)], 0).unwrap();
    let mut disk = store.close().after_kill();
    disk.zero("000000000001.segment", 32 + 512, 32 + 1024);
    let mut store = Store::open(disk, limits(), false, 7).unwrap();
    assert_eq!(store.entries().count(), 1);
    store.commit(&[put(4)], 0).unwrap();
    let again = Store::open(store.close().after_kill(), limits(), false, 7).unwrap();
    let mut keys: Vec<u8> = again.entries().map(|e| e.key[0]).collect();
    keys.sort_unstable();
    assert_eq!(keys, [1, 4]);
}

// What a repair brings back was there; and it is all there but for what is told to be lost.
#[test]
fn repair_invents_nothing() {
    let (disk, all, map) = whole(6, 110);
    let ever: Vec<&Op> = all.iter().flatten().collect();
    for (name, length) in disk.files().into_iter().filter(|(n, _)| n.ends_with(".segment")) {
        for at in (0..length).step_by(97) {
            let mut broken = disk.after_kill();
            (0..5).for_each(|i| broken.flip(&name, (at * 8 + i * 13) % (length * 8)));
            let (store, lost) = repair(broken, limits(), 9).unwrap();
            let found = contents(&store).unwrap();
            for ((kind, key), value) in &found {
                let was = |op: &&&Op| matches!(op, Op::Put { kind: k, key: n, value: v, .. } if k == kind && n == key && v == value);
                assert!(ever.iter().any(|op| was(&op)), "{name} at {at}: invented");
            }
            assert!(found == map || !lost.is_empty(), "{name} at {at}: lost without a word");
            assert!(store.close().list().unwrap().iter().any(|n| n.starts_with("lost-")));
        }
    }
}

#[rstest]
#[case::too_large(Op::Put { kind: 1, key: vec![1], value: vec![0; 5000], at: 0 })]
fn what_does_not_fit_is_refused_and_nothing_is_done(#[case] op: Op) {
    let mut store = Store::open(Memory::default(), limits(), true, 7).unwrap();
    let fine = Op::Put { kind: 1, key: vec![2], value: vec![], at: 0 };
    assert!(matches!(store.commit(&[fine.clone(), op], 0), Err(StoreError::TooLarge(_))));
    assert_eq!(store.entries().count(), 0);
    store.commit(&[fine], 0).unwrap();
    assert_eq!(store.entries().count(), 1);
}

// A store within its budget: what has run out goes first, then the oldest of what yields, and never what must stay.
#[test]
fn the_oldest_go_by_kind() {
    let limits = Limits { retention: vec![(1, 50)], evictable_kinds: vec![2], ..limits() };
    let mut store = Store::open(Memory::default(), limits, true, 7).unwrap();
    let put = |kind, i: u64| Op::Put { kind, key: i.to_le_bytes().to_vec(), value: vec![9; 100], at: i };
    store.commit(&[put(3, 0), put(1, 1)], 1).unwrap();
    for i in 2..2_000 {
        store.commit(&[put(2, i)], i).unwrap();
    }
    let stats = store.stats();
    assert!(stats.bytes <= 11 * 4096 && stats.evicted > 1_000, "{stats:?}");
    assert!(store.get(3, &0_u64.to_le_bytes()).unwrap().is_some(), "what must stay is gone");
    assert!(store.get(1, &1_u64.to_le_bytes()).unwrap().is_none(), "what has run out is there");
    assert!(store.get(2, &1_999_u64.to_le_bytes()).unwrap().is_some());
    assert!(store.get(2, &2_u64.to_le_bytes()).unwrap().is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    // Any commits, with kills and power cuts between and among them, against a plain map.
    #[test]
    fn like_a_plain_map(seed in any::<u64>(), cuts in prop::collection::vec((1_usize..120, any::<bool>()), 1..6)) {
        let mut rng = Rng::with_seed(seed);
        let (mut disk, mut new, mut done) = (Memory::default(), true, Vec::new());
        for (round, (step, power)) in cuts.into_iter().enumerate() {
            let more = commits(seed.wrapping_add(round as u64), 30);
            disk.trouble = Some((step, Trouble::Cut(rng.usize(0..600))));
            let before: Vec<Vec<Op>> = done.clone();
            let opened = Store::open(disk.clone(), limits(), new, 7);
            let Ok(mut store) = opened else { disk = disk.after_kill(); continue };
            let kept: usize = before.iter().map(Vec::len).sum();
            let (mut kept, mut begun) = (kept, kept);
            for ops in &more {
                begun += ops.len();
                done.push(ops.clone());
                if store.commit(ops, 0).is_err() {
                    break;
                }
                kept += ops.len();
            }
            disk = store.close();
            disk = if power { disk.after_cut(&mut rng) } else { disk.after_kill() };
            match Store::open(disk.clone(), limits(), false, 7) {
                Ok(again) => {
                    new = false;
                    let map = contents(&again).unwrap();
                    prop_assert!(was(&map, &done, kept, begun));
                    // From here on the state is what it is.
                    let put = |((kind, key), value): (&(u8, Vec<u8>), &Vec<u8>)| Op::Put { kind: *kind, key: key.clone(), value: value.clone(), at: 0 };
                    done = vec![map.iter().map(put).collect()];
                    disk = again.close();
                }
                Err(StoreError::Missing) if kept == 0 => return Ok(()),
                Err(StoreError::Damaged { .. }) if power => return Ok(()),
                Err(why) => return Err(TestCaseError::fail(why.to_string())),
            }
        }
    }
}
