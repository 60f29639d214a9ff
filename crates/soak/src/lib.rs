//! The soak test: a few dozen processes of the real program run on loopback, with simulated executors, discovery and clients,
//! some of which misbehave, under overlapping faults. A judge checks what was observed from outside against the invariants
//! (`docs/invariants.md`).
//!
//! A run follows a [`plan::Plan`], which is generated from a seed or read from a file. [`judge::judge`] checks its history.

#![warn(missing_docs)]

use std::sync::{Mutex, MutexGuard, PoisonError};

pub mod bad_client;
pub mod client;
pub mod crowd;
mod delay_monitor;
pub mod discovery;
pub mod executor;
pub mod executor_list;
pub mod fault_injector;
pub mod generator;
pub mod history;
pub mod judge;
pub mod network;
pub mod nodes;
pub mod plan;
pub mod run;
pub mod settings;

/// Locks a mutex, also a poisoned one: its holders keep the data consistent between statements.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts milliseconds to nanoseconds.
#[must_use]
pub(crate) fn millis_to_nanos(ms: u64) -> u64 {
    ms * 1_000_000
}
