//! The memory that the table of outcomes takes, by an allocator that counts.

use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};

use linestack_recovery::{OutcomeTable, StoreTime, StoredOutcome};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The counts are those of the whole process, so one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the bytes that were allocated in the region and are still in use.
fn used_bytes(region: &Region<'_, System>) -> usize {
    let change = region.change();
    change.bytes_allocated.saturating_sub(change.bytes_deallocated)
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
