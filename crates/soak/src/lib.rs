//! The soak: a few dozen processes of the real program on loopback, among executors, discovery and clients that misbehave,
//! under troubles that overlap, and a judge that holds what was seen from outside against the invariants
//! (`docs/invariants.md`).
//!
//! A run follows a [`plan::Plan`], which is drawn from a seed or read from a file. Its history is judged by [`judge::judge`].

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

/// Locks a mutex whose holders keep it consistent between statements.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Nanoseconds of so many milliseconds.
#[must_use]
pub(crate) fn millis(ms: u64) -> u64 {
    ms * 1_000_000
}
