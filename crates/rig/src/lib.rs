//! Runs many processes of the program on loopback, with stand-in executors, discovery and clients, and with a proxy on
//! every link between them that injects faults.

#![warn(missing_docs)]

use std::sync::{Mutex, MutexGuard, PoisonError};

pub mod check;
pub mod clients;
pub mod draw;
pub mod http;
pub mod link;
pub mod load;
pub mod node_process;
pub mod plan;
pub mod process;
pub mod run;
pub mod shim;
pub mod stand_ins;

/// Locks a mutex and ignores poisoning: its holders leave the data consistent even if they panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the time of the machine's monotonic clock in nanoseconds. All processes on the machine share this clock.
#[must_use]
pub fn monotonic_nanos() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec.unsigned_abs() * 1_000_000_000 + now.tv_nsec.unsigned_abs()
}
