//! Processes of a fleet: coordinators that agree on a policy, and nodes that hold leases to serve under it. A node
//! that is not configured for a fleet starts no listener and no thread of this module, and allocates nothing for it.

pub mod audit_log;
pub mod config;
pub mod coordinate;
pub mod operate;
pub mod policy;
pub mod session;
pub mod store;
pub mod wire;

use std::hash::{BuildHasher as _, RandomState};

use crate::NANOS_PER_S;

/// Reads the machine's monotonic clock, in nanoseconds. All processes on the machine read the same clock, and it does
/// not jump.
#[must_use]
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec.unsigned_abs() * NANOS_PER_S + now.tv_nsec.unsigned_abs()
}

/// Reads the machine's boot-time clock, in nanoseconds. Unlike [`monotonic`], it also counts the time for which the
/// machine is suspended. Leases and other promises between processes are timed by it.
#[must_use]
pub fn boottime() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec.unsigned_abs() * NANOS_PER_S + now.tv_nsec.unsigned_abs()
}

/// The longest time that may pass between the readings of two clocks that are compared. It is far below the clock drift
/// that every lease allows for.
const MAX_READING_GAP_NS: u64 = 200_000;

/// Returns for how long, in nanoseconds, the machine has been suspended since it was started, to within 0.2 ms.
#[must_use]
pub fn time_suspended() -> u64 {
    loop {
        let (before, boot, after) = (monotonic(), boottime(), monotonic());
        // If the process was stopped between two readings, the result would be too small and a lease would appear to
        // last longer than it does.
        if after - before <= MAX_READING_GAP_NS {
            return boot.saturating_sub(after);
        }
    }
}

/// Returns a random number other than 0, which differs between processes.
#[must_use]
pub fn random_u64() -> u64 {
    // `RandomState` is keyed by the randomness of the operating system.
    let seed = RandomState::new().hash_one(monotonic());
    fastrand::Rng::with_seed(seed).u64(1..)
}

/// Returns the fault that tests inject into this process by the environment variable `LINESTACK_FAULT`. Always `None`
/// in builds without the feature `faults`, which include all production builds.
#[must_use]
pub fn injected_fault() -> Option<String> {
    if cfg!(feature = "faults") { std::env::var("LINESTACK_FAULT").ok() } else { None }
}
