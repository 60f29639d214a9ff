//! A linestack node on sockets: the decisions of `linestack_dispatch` behind HTTP/1.1.

pub mod begin;
pub mod cause;
pub mod config;
pub mod fleet;
pub mod http;
pub mod net;
pub mod peers;
pub mod persistence;
pub mod tries;
