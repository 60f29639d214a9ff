//! A linestack node that serves HTTP/1.1 on sockets: I/O, configuration and storage around the state machine of
//! [`linestack_core`], which decides by [`linestack_dispatch`] where each submission is executed.

pub mod config;
pub mod fleet;
pub mod http;
pub mod io_failure;
pub mod net;
pub mod peers;
pub mod persistence;
pub mod staged_start;
pub mod start_attempts;

pub(crate) const NANOS_PER_MS: u64 = 1_000_000;
pub(crate) const NANOS_PER_S: u64 = 1_000_000_000;
