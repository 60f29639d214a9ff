//! Paths that end something, on real sockets: for each the instant in which something is still owed is forced.

#[path = "../common/mod.rs"]
mod common;

mod closes;
mod cold;
mod descriptors;
mod discovery;
mod fleet_size;
mod gone;
mod held;
mod links;
mod machine;
mod stand;
mod starts;
mod termination;
