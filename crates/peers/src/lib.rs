//! The observations of executors that a starting node takes over from a running one. A node sends only its own
//! observations, each with its age by the sender's clock; the receiver adds the whole time between its request and the
//! reply. An observation is dropped if it is too old, if the receiver has a newer one of its own, or if the executor is
//! not ready on the receiver's own list.
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
/// The maximum number of executors in a snapshot.
pub const MAX_EXECUTORS: usize = 8192;
/// The maximum length of an executor's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// At most one in this many of the ready executors may be marked unresponsive on a peer's report.
const MAX_UNRESPONSIVE_DIVISOR: usize = 3;
const NANOS_PER_MS: Nanos = 1_000_000;

/// The figures of an executor's load report; `None` where the report has no such figure.
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
    /// The name of the executor.
    pub name: String,
    /// The time since the sender made this observation, in milliseconds.
    pub age_ms: u64,
    /// Whether the executor did not answer.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// The latest load report, if there is one.
    pub figures: Option<LoadFigures>,
}

/// The observations that a running node sends to a starting one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerSnapshot {
    #[serde(rename = "form")]
    pub format_version: u8,
    /// The name of the sending node.
    #[serde(rename = "teller")]
    pub sender: String,
    #[serde(rename = "items")]
    pub observations: Vec<ExecutorObservation>,
}

/// The receiver's own knowledge of an executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalKnowledge {
    /// Whether the executor is ready on the receiver's list.
    pub ready: bool,
    /// When the receiver last observed the executor itself; `None` if it has not.
    pub last_observed: Option<Nanos>,
}

/// An observation taken over from a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The name of the executor.
    pub name: String,
    /// Whether the executor did not answer.
    pub unresponsive: bool,
    /// The latest load report; `None` if there is none, or if the executor is unresponsive.
    pub figures: Option<LoadFigures>,
}

/// When a snapshot was requested and received, by the receiver's clock.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotTimes {
    pub requested_at: Nanos,
    pub received_at: Nanos,
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

/// Returns the observations of a snapshot that the node `own_name` may use: those younger than `max_age`. `local` returns
/// the local knowledge of an executor, and `ready_executors` is the number of ready executors on the local list.
///
/// # Errors
///
/// The whole snapshot is unusable.
pub fn usable_observations(
    snapshot: &PeerSnapshot,
    own_name: &str,
    times: SnapshotTimes,
    max_age: Nanos,
    local: impl Fn(&str) -> LocalKnowledge,
    ready_executors: usize,
) -> Result<Vec<Observation>, SnapshotError> {
    if snapshot.format_version != FORMAT_VERSION {
        return Err(SnapshotError::FormatVersion(snapshot.format_version));
    }
    if snapshot.sender == own_name {
        return Err(SnapshotError::OwnSnapshot);
    }
    if snapshot.observations.len() > MAX_EXECUTORS {
        return Err(SnapshotError::TooManyExecutors(snapshot.observations.len()));
    }
    let (mut usable, mut names) = (Vec::new(), BTreeSet::new());
    let round_trip = times.received_at.saturating_sub(times.requested_at);
    for observation in &snapshot.observations {
        // The snapshot may have been created at any time since it was requested.
        let age = observation.age_ms.saturating_mul(NANOS_PER_MS).saturating_add(round_trip);
        let known = local(&observation.name);
        let local_is_newer =
            known.last_observed.is_some_and(|seen| seen.saturating_add(age) >= times.received_at);
        if age >= max_age
            || !known.ready
            || local_is_newer
            || observation.name.len() > MAX_NAME_BYTES
            || !names.insert(&observation.name)
        {
            continue;
        }
        let (name, unresponsive) = (observation.name.clone(), observation.unresponsive);
        let figures = observation.figures.filter(|_| !unresponsive).map(LoadFigures::valid);
        usable.push(Observation { name, unresponsive, figures });
    }
    // If more executors than this are reported as unresponsive, none of these reports is used: avoiding that many would
    // overload the rest.
    if usable.iter().filter(|o| o.unresponsive).count() > ready_executors / MAX_UNRESPONSIVE_DIVISOR {
        usable.retain(|o| !o.unresponsive);
    }
    Ok(usable)
}
