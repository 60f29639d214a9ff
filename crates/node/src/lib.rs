//! A linestack node on sockets: the decisions of `linestack_dispatch` behind HTTP/1.1.

pub mod config;
pub mod fleet;
pub mod http;
pub mod io_failure;
pub mod net;
pub mod peers;
pub mod persistence;
pub mod staged_start;
pub mod start_attempts;
