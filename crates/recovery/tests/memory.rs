//! The memory that the table of outcomes takes, by an allocator that counts.

use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use linestack_recovery::{OutcomeTable, StoreTime, StoredOutcome};
use rstest::rstest;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The counts are those of the whole process, so one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the system's allocator takes for itself with each allocation, in bytes.
const ALLOCATION_OVERHEAD: usize = 16;

/// Returns the memory that was allocated in the region and is still in use, in bytes.
fn used_bytes(region: &Region<'_, System>) -> usize {
    let change = region.change();
    let allocations = change.allocations.saturating_sub(change.deallocations);
    change.bytes_allocated.saturating_sub(change.bytes_deallocated) + allocations * ALLOCATION_OVERHEAD
}

/// Returns a key of this length. Keys of successive numbers are in order of their bytes if `in_order`.
fn key(number: u64, length: usize, in_order: bool) -> Vec<u8> {
    // The multiplier is odd, so that different numbers have different keys.
    let number = if in_order { number } else { number.wrapping_mul(0x9E37_79B9_7F4A_7C15) };
    let mut key = number.to_be_bytes().to_vec();
    key.resize(length, 0);
    key
}

/// Records a one-shot that is sent and then declined, with the key `number`.
fn record_declined(table: &mut OutcomeTable, number: u64, now: StoreTime) {
    let key = number.to_le_bytes();
    table.record_sending(&key, now);
    table.record_outcome(&key, StoredOutcome::NeverSent, now);
}

// Guards against a table that keeps an entry for each record of a key, so that a client that repeats one submission fills the memory
// of a table that never says that it is full.
#[test]
fn a_repeated_submission_takes_no_more_memory() {
    const LIMIT: usize = 4096;
    let _alone = alone();
    let region = Region::new(ALLOCATOR);
    let mut table = OutcomeTable::new(StoreTime::MAX, usize::MAX, LIMIT);
    for now in 0..100_000 {
        record_declined(&mut table, 7, now);
    }
    assert_eq!(table.outcome(&7_u64.to_le_bytes()), Some(&StoredOutcome::NeverSent));
    let used = used_bytes(&region);
    assert!(used <= LIMIT, "{used} bytes for one submission");
}

// Guards against a table that counts its keys and results alone, and so takes many times the memory that it may take before it says
// that it is full.
#[rstest]
#[case::results_of_a_few_words(32, 44, false)]
#[case::results_of_a_few_words_and_keys_in_order(32, 44, true)]
#[case::empty_results_and_short_keys(8, 0, false)]
#[case::empty_results_and_short_keys_in_order(8, 0, true)]
#[case::long_results(32, 3_000, false)]
#[case::long_keys(1_000, 0, false)]
fn a_full_table_takes_no_more_memory_than_it_may(
    #[case] key_length: usize,
    #[case] result_length: usize,
    #[case] in_order: bool,
) {
    const LIMIT: usize = 1 << 20;
    /// More than the last entry, which is recorded just before the table is full.
    const LAST_ENTRY: usize = 8 << 10;
    /// How often the older half of the table expires before it is filled again.
    const ROUNDS: usize = 6;
    let _alone = alone();
    let region = Region::new(ALLOCATOR);
    // The time is the number of the submission.
    let (mut table, mut now) = (OutcomeTable::new(0, usize::MAX, LIMIT), 0);
    for _ in 0..ROUNDS {
        while !table.is_full() {
            now += 1;
            let key = key(now, key_length, in_order);
            table.record_sending(&key, now);
            let result = Bytes::from(vec![b'r'; result_length]);
            drop(table.record_outcome(&key, StoredOutcome::Completed(result), now));
            // A client that repeats its submission is answered with a clone of the result.
            drop(table.outcome(&key).cloned());
        }
        let used = used_bytes(&region);
        assert!(used <= LIMIT + LAST_ENTRY, "{used} bytes for {} submissions", table.len());
        table.expire(now - table.len() as u64 / 2);
        assert!(!table.is_full());
    }
}

// Guards against results of submissions that were accepted before the table was full, all of which it takes in without a limit.
#[test]
fn results_that_do_not_fit_are_not_remembered() {
    const LIMIT: usize = 1 << 20;
    const RESULT_LENGTH: usize = 64 << 10;
    const SUBMISSIONS: u64 = 200;
    let _alone = alone();
    let region = Region::new(ALLOCATOR);
    let mut table = OutcomeTable::new(StoreTime::MAX, usize::MAX, LIMIT);
    for number in 0..SUBMISSIONS {
        assert!(!table.is_full());
        drop(table.record_sending(&key(number, 32, false), number));
    }
    let completed = |number: &u64, table: &mut OutcomeTable| {
        let result = Bytes::from(vec![b'r'; RESULT_LENGTH]);
        table.record_outcome(&key(*number, 32, false), StoredOutcome::Completed(result), *number).is_some()
    };
    let remembered = (0..SUBMISSIONS).filter(|number| completed(number, &mut table)).count();
    let used = used_bytes(&region);
    assert!(used <= LIMIT && remembered >= LIMIT / RESULT_LENGTH - 2, "{used} bytes, {remembered} results");
    // Nothing is forgotten: an execution whose result is not remembered may have run.
    for number in 0..SUBMISSIONS {
        let outcome = table.outcome(&key(number, 32, false));
        assert!(matches!(outcome, Some(StoredOutcome::MayHaveRun | StoredOutcome::Completed(_))));
    }
    // An outcome that takes no more memory is recorded all the same.
    let declined = key(SUBMISSIONS - 1, 32, false);
    assert!(table.record_outcome(&declined, StoredOutcome::NeverSent, SUBMISSIONS).is_some());
}
