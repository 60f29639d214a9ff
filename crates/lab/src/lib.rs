//! The lab: worlds played and compared, and real nodes loaded on loopback.

pub mod consensus_sim;
pub mod draw;
pub mod file;
pub mod fleet;
pub mod hunt;
pub mod loads;
pub mod play;
pub mod policies;
pub mod report;
pub mod scale;
pub mod soak;
pub mod starts;
pub mod store_benchmark;
pub mod sweep;
pub mod tables;
