//! What a starting node may learn from a running one. A node sends only its own observations of executors, each with its
//! age by the sender's clock; the receiver adds the whole time between its request and the reply. An observation is
//! dropped if it is too old, older than the receiver's own knowledge, or about an executor that is not ready on the
//! receiver's own list.
//!
//! A peer that sends wrong data can make a node prefer or avoid executors that the node has not contacted yet, until it
//! contacts them. At most a third of the ready executors can be reported as unresponsive in this way, and peers have no
//! influence on discovery, drains or the settings.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A duration, or a time on the local clock, in nanoseconds.
pub type Nanos = u64;
/// The version of the snapshot format.
pub const FORMAT_VERSION: u8 = 1;
/// The largest number of executors in a snapshot.
pub const MAX_EXECUTORS: usize = 8192;
/// The longest name of an executor, in bytes.
pub const MAX_NAME_LENGTH: usize = 256;
/// At most one in this many of the ready executors may be marked unresponsive on a peer's report.
const MAX_UNRESPONSIVE_DIVISOR: usize = 3;

/// The figures of an executor's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadFigures {
    pub free_slots: Option<f32>,
    pub free_memory: Option<f32>,
    #[serde(rename = "waiting")]
    pub queued_jobs: Option<f32>,
    #[serde(rename = "in_hand")]
    pub active_jobs: Option<f32>,
}

impl LoadFigures {
    /// Drops negative figures and those that are not finite.
    fn valid(self) -> Self {
        let valid = |f: Option<f32>| f.filter(|f| f.is_finite() && *f >= 0.0);
        Self {
            free_slots: valid(self.free_slots),
            free_memory: valid(self.free_memory),
            queued_jobs: valid(self.queued_jobs),
            active_jobs: valid(self.active_jobs),
        }
    }
}

/// The latest observation of one executor by the sending node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutorObservation {
    pub name: String,
    /// The time since the sender made this observation, in milliseconds.
    pub age_ms: u64,
    /// Whether the executor did not answer.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    pub figures: Option<LoadFigures>,
}

/// The observations that a running node sends to a starting one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerSnapshot {
    #[serde(rename = "form")]
    pub format_version: u8,
    #[serde(rename = "teller")]
    pub sender: String,
    #[serde(rename = "items")]
    pub observations: Vec<ExecutorObservation>,
}

/// What the receiver itself knows of an executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalKnowledge {
    /// Whether the executor is ready on the receiver's list.
    pub ready: bool,
    /// When the receiver last observed the executor itself.
    pub last_observed: Option<Nanos>,
}

/// An observation taken over from a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub name: String,
    pub unresponsive: bool,
    pub figures: Option<LoadFigures>,
}

/// The reason why a whole snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    #[error("unsupported snapshot format {0}; this version reads {FORMAT_VERSION}")]
    FormatVersion(u8),
    #[error("the snapshot was sent by this node itself")]
    OwnSnapshot,
    #[error("the snapshot has {0} executors, more than {MAX_EXECUTORS}")]
    TooManyExecutors(usize),
}

/// Returns the observations of a snapshot that `me` may use. The snapshot was requested and received at the given times
/// of the local clock; only observations younger than `max_age` count. `local` returns the local knowledge of an
/// executor, and `ready` is the number of ready executors on the local list.
///
/// # Errors
///
/// The whole snapshot is unusable.
pub fn usable_observations(
    snapshot: &PeerSnapshot,
    me: &str,
    (requested, received): (Nanos, Nanos),
    max_age: Nanos,
    local: impl Fn(&str) -> LocalKnowledge,
    ready: usize,
) -> Result<Vec<Observation>, SnapshotError> {
    if snapshot.format_version != FORMAT_VERSION {
        return Err(SnapshotError::FormatVersion(snapshot.format_version));
    }
    if snapshot.sender == me {
        return Err(SnapshotError::OwnSnapshot);
    }
    if snapshot.observations.len() > MAX_EXECUTORS {
        return Err(SnapshotError::TooManyExecutors(snapshot.observations.len()));
    }
    let (mut taken, mut names) = (Vec::new(), BTreeSet::new());
    for observation in &snapshot.observations {
        // The snapshot may have been made at any time since it was requested.
        let age =
            observation.age_ms.saturating_mul(1_000_000).saturating_add(received.saturating_sub(requested));
        let known = local(&observation.name);
        let local_is_newer = known.last_observed.is_some_and(|at| at.saturating_add(age) >= received);
        if age >= max_age
            || !known.ready
            || local_is_newer
            || observation.name.len() > MAX_NAME_LENGTH
            || !names.insert(&observation.name)
        {
            continue;
        }
        let (name, unresponsive) = (observation.name.clone(), observation.unresponsive);
        let figures = observation.figures.filter(|_| !unresponsive).map(LoadFigures::valid);
        taken.push(Observation { name, unresponsive, figures });
    }
    // More unresponsive executors than this are not believed: avoiding them all would overload the rest.
    if taken.iter().filter(|o| o.unresponsive).count() > ready / MAX_UNRESPONSIVE_DIVISOR {
        taken.retain(|o| !o.unresponsive);
    }
    Ok(taken)
}
