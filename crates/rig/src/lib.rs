//! The rig: many processes of the real program on loopback, among stand-in executors, discovery and clients,
//! with a proxy on every link between them that can be told to fail.

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

/// Locks a mutex whose holders keep it consistent between statements.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The machine's monotonic clock, in nanoseconds: all processes on it read the same.
#[must_use]
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec.unsigned_abs() * 1_000_000_000 + now.tv_nsec.unsigned_abs()
}
