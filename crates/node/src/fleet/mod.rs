//! What a process does as part of a fleet: agreement on the policy, and leave to serve under it. Nothing of it is
//! there in a node that was not told of a fleet: no listener, no thread, no allocation.

pub mod audit_log;
pub mod config;
pub mod coordinate;
pub mod operate;
pub mod policy;
pub mod session;
pub mod store;
pub mod wire;

use std::hash::{BuildHasher as _, RandomState};

/// The machine's monotonic clock, in nanoseconds: all processes on it read the same, and it does not jump.
#[must_use]
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec.unsigned_abs() * 1_000_000_000 + now.tv_nsec.unsigned_abs()
}

/// As [`monotonic`], and it goes on while the machine sleeps. What is promised to others is counted by it.
#[must_use]
pub fn boottime() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1_000_000_000 + now.tv_nsec.unsigned_abs()
}

/// What two readings of clocks may lie apart: far less than the drift that every leave allows for.
const MAX_READING_GAP: u64 = 200_000;

/// For how long the machine has slept since it was started, within [`MAX_READING_GAP`].
#[must_use]
pub fn time_suspended() -> u64 {
    loop {
        let (before, boot, after) = (monotonic(), boottime(), monotonic());
        // A process that was stopped between two readings would take the stop for less sleep, and a leave for longer.
        if after - before <= MAX_READING_GAP {
            return boot.saturating_sub(after);
        }
    }
}

/// Drawn anew in each process.
#[must_use]
pub fn random_u64() -> u64 {
    // Keyed by the system's randomness.
    let seed = RandomState::new().hash_one(monotonic());
    fastrand::Rng::with_seed(seed).u64(1..)
}

/// A fault or a known mistake that this process was started with, for the tests that must notice it. There is none
/// in a build for service.
#[must_use]
pub fn injected_fault() -> Option<String> {
    if cfg!(feature = "faults") { std::env::var("LINESTACK_FAULT").ok() } else { None }
}
