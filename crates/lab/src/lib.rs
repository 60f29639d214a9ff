//! Experiments with linestack: simulations of whole nodes, their comparison and search for violated rules, and
//! measurements of real processes on loopback. The program `linestack-lab` is built on this library.

pub mod consensus_sim;
pub mod fleet;
pub mod generator;
pub mod hunt;
pub mod loads;
pub mod policies;
pub mod report;
pub mod runs;
pub mod scale;
pub mod scenario_file;
pub mod soak;
pub mod starts;
pub mod store_benchmark;
pub mod sweep;
pub mod tables;
