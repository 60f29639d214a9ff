//! The lab: worlds played and compared, and real nodes loaded on loopback.

pub mod file;
pub mod play;
pub mod policies;
