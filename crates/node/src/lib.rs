//! A linestack node that serves HTTP/1.1 on sockets. `linestack_dispatch` makes its decisions.

pub mod config;
pub mod fleet;
pub mod http;
pub mod io_failure;
pub mod net;
pub mod peers;
pub mod persistence;
pub mod staged_start;
pub mod start_attempts;
