//! Power failures, failing calls and flipped bits at every point: opening the store afterwards either restores an
//! earlier state that includes all successful commits, or reports an error. The tests run a sample; STORE_FULL=1 runs
//! all cases.

mod common;

use std::collections::BTreeMap;

use common::{DiskFault, SimulatedDisk};
use fastrand::Rng;
use linestack_store::{Disk, Limits, Op, OpenMode, Retention, Store, StoreError, repair};
use proptest::prelude::*;
use rstest::rstest;

/// The content of a store: the value of each kind and key.
type Map = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

/// Limits so small that a few dozen commits fill several segments.
fn limits() -> Limits {
    Limits { segment_size: 4096, budget: 10 * 4096, max_uncovered_segments: 3, ..Limits::default() }
}

/// Whether all cases are run rather than a sample.
fn runs_all_cases() -> bool {
    std::env::var_os("STORE_FULL").is_some()
}

/// Returns commits of a few operations each, over few keys, so that most records are replaced.
fn commits(seed: u64, count: usize) -> Vec<Vec<Op>> {
    let mut rng = Rng::with_seed(seed);
    let op = |rng: &mut Rng| {
        let (kind, key) = (rng.u8(0..2), vec![rng.u8(0..30); 8]);
        if rng.u8(0..5) == 0 {
            return Op::Remove { kind, key };
        }
        let length = if rng.u8(0..10) == 0 { rng.usize(500..1500) } else { rng.usize(0..40) };
        // Some values are all zeros, since such a record must not be read as unwritten space.
        let value = if rng.bool() { vec![0; length] } else { (0..length).map(|_| rng.u8(..)).collect() };
        Op::Put { kind, key, value, at: rng.u64(0..100) }
    };
    (0..count).map(|_| (0..rng.usize(1..6)).map(|_| op(&mut rng)).collect()).collect()
}

/// Applies an operation to the expected content.
fn apply(map: &mut Map, op: &Op) {
    match op {
        Op::Put { kind, key, value, .. } => drop(map.insert((*kind, key.clone()), value.clone())),
        Op::Remove { kind, key } => drop(map.remove(&(*kind, key.clone()))),
    }
}

/// Reads the content of a store in both ways that it offers, which must agree.
fn contents<D: Disk>(store: &Store<D>) -> Result<Map, StoreError> {
    let entries: Vec<_> = store.entries().collect();
    let mut all = Map::new();
    store.for_each(|entry, value| drop(all.insert((entry.kind, entry.key), value)))?;
    let by_key: Map = entries
        .into_iter()
        .map(|e| {
            Ok((
                (e.kind, e.key.clone()),
                store.get(e.kind, &e.key)?.expect("the key is listed, so it has a value"),
            ))
        })
        .collect::<Result<_, StoreError>>()?;
    assert_eq!(all, by_key);
    Ok(all)
}

/// The result of a series of commits.
struct Run {
    /// The store, if it could be opened.
    store: Option<Store<SimulatedDisk>>,
    /// The number of operations whose commits succeeded.
    committed: usize,
    /// The number of operations whose commits were begun.
    begun: usize,
}

/// Opens a store and commits these operations until a commit fails. The whole store is compacted at times.
fn run(disk: SimulatedDisk, all: &[Vec<Op>], mode: OpenMode) -> Run {
    let Ok(mut store) = Store::open(disk, limits(), mode, 7) else {
        return Run { store: None, committed: 0, begun: 0 };
    };
    let (mut committed, mut begun) = (0, 0);
    for (i, ops) in all.iter().enumerate() {
        begun += ops.len();
        if store.commit(ops, 0).is_err() {
            assert!(
                matches!(store.commit(ops, 0), Err(StoreError::Failed)),
                "the store accepts a commit after a failure"
            );
            return Run { store: Some(store), committed, begun };
        }
        committed += ops.len();
        // Compact the whole store at every 17th commit.
        if i % 17 == 16 && store.compact(0).is_err() {
            return Run { store: Some(store), committed, begun };
        }
    }
    Run { store: Some(store), committed, begun }
}

/// Whether a map is the result of the first n operations, where n lies between the number of operations that were
/// committed and the number that were begun.
fn is_possible_state(map: &Map, all: &[Vec<Op>], committed: usize, begun: usize) -> bool {
    let mut model = Map::new();
    let ops: Vec<&Op> = all.iter().flatten().collect();
    ops[..committed].iter().for_each(|op| apply(&mut model, op));
    for op in &ops[committed..begun] {
        if *map == model {
            return true;
        }
        apply(&mut model, op);
    }
    *map == model
}

/// Runs commits without a fault. Returns the disk, the commits and the content of the store.
fn run_to_end(seed: u64, count: usize) -> (SimulatedDisk, Vec<Vec<Op>>, Map) {
    let all = commits(seed, count);
    let Run { store, committed, begun } = run(SimulatedDisk::default(), &all, OpenMode::Create);
    let store = store.unwrap();
    assert_eq!(committed, begun);
    let map = contents(&store).unwrap();
    assert!(is_possible_state(&map, &all, committed, begun));
    assert!(store.stats().cleaned > 3 && store.stats().segments > 3, "{:?}", store.stats());
    (store.close(), all, map)
}

// The power fails at every step, and within every write after a random number of bytes; any part of the unsynced data
// is lost.
#[test]
fn a_power_failure_or_kill_at_every_step() {
    let all = commits(1, 60);
    let total_steps = run(SimulatedDisk::default(), &all, OpenMode::Create).store.unwrap().close().steps;
    let (mut rng, mut refused, mut opened) = (Rng::with_seed(5), 0, 0);
    for step in 1..=total_steps {
        for _ in 0..if runs_all_cases() { 40 } else { 4 } {
            let bytes = if rng.bool() { rng.usize(0..64) } else { rng.usize(0..4096) };
            let disk = SimulatedDisk::with_fault(step, DiskFault::PowerFailure(bytes));
            let Run { store, committed, begun } = run(disk, &all, OpenMode::Create);
            let Some(store) = store else { continue };
            let disk = store.close();
            let (disk, is_power_failure) = if rng.bool() {
                (disk.after_power_failure(&mut rng), true)
            } else {
                (disk.after_kill(), false)
            };
            let reopened = match Store::open(disk, limits(), OpenMode::Existing, 7) {
                Ok(store) => store,
                // The store was not created yet. Any other error must report damage, at least after a kill.
                Err(StoreError::Missing) if committed == 0 => continue,
                Err(error) => {
                    assert!(
                        is_power_failure || matches!(error, StoreError::Damaged { .. }),
                        "step {step}: {error}"
                    );
                    refused += 1;
                    continue;
                }
            };
            opened += 1;
            let map = contents(&reopened).unwrap();
            assert!(
                is_possible_state(&map, &all, committed, begun),
                "step {step}, power failure {is_power_failure}: {committed} of {begun} were committed"
            );
            assert_eq!(reopened.verify().unwrap(), []);
        }
    }
    println!("{total_steps} steps, {opened} opened, {refused} refused");
    assert!(opened > 20 * refused, "too few stores were opened: {opened}, {refused} refused");
}

// Each call of the disk fails in turn. The store then accepts no more commits, and all successful commits are restored.
#[test]
fn every_call_fails_in_turn() {
    let all = commits(2, 60);
    let total_steps = run(SimulatedDisk::default(), &all, OpenMode::Create).store.unwrap().close().steps;
    for step in 1..=total_steps {
        let disk = SimulatedDisk::with_fault(step, DiskFault::CallFails);
        let Run { store, committed, begun } = run(disk, &all, OpenMode::Create);
        let Some(store) = store else { continue };
        let reopened = match Store::open(store.close().after_kill(), limits(), OpenMode::Existing, 7) {
            Ok(reopened) => reopened,
            Err(StoreError::Missing) if committed == 0 => continue,
            Err(error) => panic!("step {step}: {error}"),
        };
        assert!(is_possible_state(&contents(&reopened).unwrap(), &all, committed, begun), "step {step}");
    }
}

// With any file truncated at any byte, opening either restores all records or reports damage. Only a truncated
// checkpoint is ignored.
#[test]
fn every_file_truncated_at_every_byte() {
    let (disk, _, map) = run_to_end(3, 150);
    let mut refused = 0;
    for (name, length) in disk.files() {
        let step = if runs_all_cases() { 1 } else { 23 };
        for cut in (0..length).step_by(step) {
            let mut truncated = disk.after_kill();
            truncated.truncate_file(&name, cut);
            match Store::open(truncated, limits(), OpenMode::Existing, 7) {
                Ok(store) => assert_eq!(contents(&store).unwrap(), map, "{name} at {cut}"),
                Err(StoreError::Damaged { .. }) => refused += 1,
                Err(error) => panic!("{name} at {cut}: {error}"),
            }
        }
    }
    assert!(refused > 100);
}

// With any bit of any file flipped, either all records are restored, or the damage is reported when the store is opened
// or the record is read.
#[test]
fn every_bit_flipped() {
    let (disk, _, map) = run_to_end(4, 110);
    let (mut refused, mut restored) = (0, 0);
    for (name, length) in disk.files() {
        let step = if runs_all_cases() { 1 } else { 31 };
        for bit in (0..length * 8).step_by(step) {
            let mut flipped = disk.after_kill();
            flipped.flip_bit(&name, bit);
            match Store::open(flipped, limits(), OpenMode::Existing, 7).and_then(|s| contents(&s)) {
                Ok(found) => {
                    restored += 1;
                    assert_eq!(found, map, "{name}, bit {bit}");
                }
                Err(StoreError::Damaged { .. } | StoreError::FormatVersion { .. }) => refused += 1,
                Err(error) => panic!("{name}, bit {bit}: {error}"),
            }
        }
    }
    assert!(refused > 500 && restored > 500, "{refused} refused, {restored} restored");
}

#[test]
fn a_missing_file_is_reported() {
    let (disk, _, map) = run_to_end(5, 110);
    for (name, _) in disk.files() {
        let mut incomplete = disk.after_kill();
        incomplete.remove_name(&name);
        match Store::open(incomplete, limits(), OpenMode::Existing, 7) {
            Ok(store) => {
                assert!(name.starts_with("checkpoint"), "the missing {name} is not reported");
                assert_eq!(contents(&store).unwrap(), map);
            }
            Err(StoreError::Damaged { .. }) => {}
            Err(error) => panic!("{name}: {error}"),
        }
    }
}

// Only the later part of an unfinished commit may have reached the disk. It must not be read as a record once other
// records precede it.
#[test]
fn an_unfinished_commit_is_never_restored() {
    // Each record occupies 512 bytes.
    let put = |key: u8| Op::Put { kind: 1, key: vec![key; 8], value: vec![key; 475], at: 0 };
    let mut store = Store::open(SimulatedDisk::default(), limits(), OpenMode::Create, 7).unwrap();
    store.commit(&[put(1)], 0).unwrap();
    store.commit(&[put(2), put(3)], 0).unwrap();
    let mut disk = store.close().after_kill();
    disk.zero("000000000001.segment", 32 + 512, 32 + 1024);
    let mut store = Store::open(disk, limits(), OpenMode::Existing, 7).unwrap();
    assert_eq!(store.entries().count(), 1);
    store.commit(&[put(4)], 0).unwrap();
    let reopened = Store::open(store.close().after_kill(), limits(), OpenMode::Existing, 7).unwrap();
    let mut keys: Vec<u8> = reopened.entries().map(|e| e.key[0]).collect();
    keys.sort_unstable();
    assert_eq!(keys, [1, 4]);
}

// A repair restores only records that were committed, and reports damage unless it restores all current records.
#[test]
fn repair_restores_only_committed_records() {
    let (disk, all, map) = run_to_end(6, 110);
    let all_ops: Vec<&Op> = all.iter().flatten().collect();
    for (name, length) in disk.files().into_iter().filter(|(n, _)| n.ends_with(".segment")) {
        for at in (0..length).step_by(97) {
            let mut broken = disk.after_kill();
            (0..5).for_each(|i| broken.flip_bit(&name, (at * 8 + i * 13) % (length * 8)));
            let (store, lost) = repair(broken, limits(), 9).unwrap();
            let found = contents(&store).unwrap();
            for ((kind, key), value) in &found {
                let matches_record = |op: &&&Op| matches!(op, Op::Put { kind: k, key: n, value: v, .. } if k == kind && n == key && v == value);
                assert!(
                    all_ops.iter().any(|op| matches_record(&op)),
                    "{name} at {at}: a record was restored that was never committed"
                );
            }
            assert!(
                found == map || !lost.is_empty(),
                "{name} at {at}: a record is missing, but no damage was reported"
            );
            assert!(store.close().list().unwrap().iter().any(|n| n.starts_with("lost-")));
        }
    }
}

#[rstest]
#[case::too_large(Op::Put { kind: 1, key: vec![1], value: vec![0; 5000], at: 0 })]
fn a_record_that_does_not_fit_is_rejected_with_its_commit(#[case] op: Op) {
    let mut store = Store::open(SimulatedDisk::default(), limits(), OpenMode::Create, 7).unwrap();
    let valid = Op::Put { kind: 1, key: vec![2], value: vec![], at: 0 };
    assert!(matches!(store.commit(&[valid.clone(), op], 0), Err(StoreError::TooLarge(_))));
    assert_eq!(store.entries().count(), 0);
    store.commit(&[valid], 0).unwrap();
    assert_eq!(store.entries().count(), 1);
}

// To keep the budget, the store drops expired records first, then the oldest records of evictable kinds, and never
// other records.
#[test]
fn the_oldest_records_of_evictable_kinds_are_dropped() {
    let limits =
        Limits { retention: vec![Retention { kind: 1, duration: 50 }], evictable_kinds: vec![2], ..limits() };
    let mut store = Store::open(SimulatedDisk::default(), limits, OpenMode::Create, 7).unwrap();
    let put = |kind, i: u64| Op::Put { kind, key: i.to_le_bytes().to_vec(), value: vec![9; 100], at: i };
    store.commit(&[put(3, 0), put(1, 1)], 1).unwrap();
    for i in 2..2_000 {
        store.commit(&[put(2, i)], i).unwrap();
    }
    let stats = store.stats();
    assert!(stats.bytes <= 11 * 4096 && stats.evicted > 1_000, "{stats:?}");
    assert!(
        store.get(3, &0_u64.to_le_bytes()).unwrap().is_some(),
        "a record that neither expires nor is evictable was dropped"
    );
    assert!(store.get(1, &1_u64.to_le_bytes()).unwrap().is_none(), "an expired record was not dropped");
    assert!(store.get(2, &1_999_u64.to_le_bytes()).unwrap().is_some());
    assert!(store.get(2, &2_u64.to_le_bytes()).unwrap().is_none());
}

// Guards against an index that keeps expired records until the budget on the disk is spent, and so fills the memory of a process that
// commits for hours, and of the next one that opens its store. The process is killed now and then.
#[test]
fn expired_records_take_neither_memory_nor_disk() {
    const RETENTION: u64 = 200;
    /// Far more than a record takes on the disk; its key and value have 108 bytes.
    const MAX_RECORD_SIZE: u64 = 192;
    let limits = || Limits {
        budget: 1 << 30,
        retention: vec![Retention { kind: 1, duration: RETENTION }],
        ..limits()
    };
    let put = |kind, i: u64| Op::Put { kind, key: i.to_le_bytes().to_vec(), value: vec![9; 100], at: i };
    let mut store = Store::open(SimulatedDisk::default(), limits(), OpenMode::Create, 7).unwrap();
    store.commit(&[put(2, 0)], 0).unwrap();
    for now in 1..10_000 {
        store.commit(&[put(1, now)], now).unwrap();
        if now % 1_234 == 0 {
            store = Store::open(store.close().after_kill(), limits(), OpenMode::Existing, 7).unwrap();
        }
        // Beside the records that have not expired there are those of one segment, in the index, and of three, on the disk: the one
        // that is written, the oldest, part of which is still needed, and one more after a cleaning. The records of each
        // segment that a restart finds expired are dropped when the next segment is begun.
        let stats = store.stats();
        let in_index = RETENTION + 2 * 4096 / 128;
        let on_disk = RETENTION * MAX_RECORD_SIZE + 3 * 4096;
        assert!(stats.records as u64 <= in_index && stats.bytes <= on_disk, "{now}: {stats:?}");
    }
    for number in 9_999 - RETENTION..10_000 {
        assert!(store.get(1, &number.to_le_bytes()).unwrap().is_some(), "{number} was dropped too early");
    }
    assert!(store.get(2, &0_u64.to_le_bytes()).unwrap().is_some(), "a record that never expires was dropped");
    assert_eq!(store.verify().unwrap(), []);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    // Random commits with kills and power failures leave the store in the same state as a plain map.
    #[test]
    fn like_a_plain_map(seed in any::<u64>(), faults in prop::collection::vec((1_usize..120, any::<bool>()), 1..6)) {
        let mut rng = Rng::with_seed(seed);
        let (mut disk, mut mode, mut history) = (SimulatedDisk::default(), OpenMode::Create, Vec::new());
        for (round, (step, is_power_failure)) in faults.into_iter().enumerate() {
            let more = commits(seed.wrapping_add(round as u64), 30);
            disk.fault = Some((step, DiskFault::PowerFailure(rng.usize(0..600))));
            let before: Vec<Vec<Op>> = history.clone();
            let opened = Store::open(disk.clone(), limits(), mode, 7);
            let Ok(mut store) = opened else { disk = disk.after_kill(); continue };
            let committed: usize = before.iter().map(Vec::len).sum();
            let (mut committed, mut begun) = (committed, committed);
            for ops in &more {
                begun += ops.len();
                history.push(ops.clone());
                if store.commit(ops, 0).is_err() {
                    break;
                }
                committed += ops.len();
            }
            disk = store.close();
            disk = if is_power_failure { disk.after_power_failure(&mut rng) } else { disk.after_kill() };
            match Store::open(disk.clone(), limits(), OpenMode::Existing, 7) {
                Ok(reopened) => {
                    mode = OpenMode::Existing;
                    let map = contents(&reopened).unwrap();
                    prop_assert!(is_possible_state(&map, &history, committed, begun));
                    // The next round starts from the restored state.
                    let put = |((kind, key), value): (&(u8, Vec<u8>), &Vec<u8>)| Op::Put { kind: *kind, key: key.clone(), value: value.clone(), at: 0 };
                    history = vec![map.iter().map(put).collect()];
                    disk = reopened.close();
                }
                Err(StoreError::Missing) if committed == 0 => return Ok(()),
                Err(StoreError::Damaged { .. }) if is_power_failure => return Ok(()),
                Err(error) => return Err(TestCaseError::fail(error.to_string())),
            }
        }
    }

    // Kills and power failures at any step while expired segments are removed cost no record that has not expired.
    #[test]
    fn no_needed_record_is_lost_while_expired_ones_are_dropped(
        seed in any::<u64>(),
        faults in prop::collection::vec((1_usize..400, any::<bool>()), 1..6),
    ) {
        const RETENTION: u64 = 60;
        let limits = || Limits { budget: 1 << 30, retention: vec![Retention { kind: 1, duration: RETENTION }], ..limits() };
        /// Many times what fits into a segment.
        const MAX_COMMITS: usize = 600;
        let mut rng = Rng::with_seed(seed);
        let mut disk = Store::open(SimulatedDisk::default(), limits(), OpenMode::Create, 7).unwrap().close();
        let (mut now, mut committed) = (0_u64, Vec::new());
        for (step, is_power_failure) in faults {
            let mut store = Store::open(disk, limits(), OpenMode::Existing, 7).unwrap();
            for commit in 0..MAX_COMMITS {
                if commit == MAX_COMMITS / 3 {
                    disk = store.close();
                    disk.fault = Some((disk.steps + step, DiskFault::PowerFailure(rng.usize(0..600))));
                    store = Store::open(disk, limits(), OpenMode::Existing, 7).unwrap();
                }
                now += 1;
                let put = Op::Put { kind: 1, key: now.to_le_bytes().to_vec(), value: vec![9; 100], at: now };
                if store.commit(&[put], now).is_err() {
                    break;
                }
                committed.push(now);
            }
            disk = store.close();
            disk = if is_power_failure { disk.after_power_failure(&mut rng) } else { disk.after_kill() };
            match Store::open(disk.clone(), limits(), OpenMode::Existing, 7) {
                Ok(store) => {
                    for number in committed.iter().filter(|number| **number + RETENTION >= now) {
                        prop_assert!(store.get(1, &number.to_le_bytes()).unwrap().is_some(), "{number} is lost at {now}");
                    }
                    disk = store.close();
                }
                Err(StoreError::Damaged { .. }) if is_power_failure => return Ok(()),
                Err(error) => return Err(TestCaseError::fail(error.to_string())),
            }
        }
    }
}
