//! Tests on real sockets of how connections, watches, drains, processes and the supply of descriptors end. Each test forces the
//! critical moment, at which an answer or a message is still outstanding.

#[path = "../common/mod.rs"]
mod common;

mod client_disconnects;
mod cold_executor;
mod connection_close;
mod connections;
mod descriptors;
mod discovery;
mod flood;
mod harness;
mod large_fleet;
mod machine;
mod memory;
mod paused_discovery;
mod paused_process;
mod restored_store;
mod startup;
mod termination;
