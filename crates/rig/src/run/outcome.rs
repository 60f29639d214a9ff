//! The outcome of a run.

use std::collections::BTreeMap;

use linestack_history::{HistoryEvent, Line};

use super::Second;
use crate::check::Finding;

/// The outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The violations of guarantees that the histories show.
    pub findings: Vec<Finding>,
    /// The merged histories, ordered by time.
    pub lines: Vec<Line>,
    /// The counts of each second from the start of the load.
    pub seconds: Vec<Second>,
    /// The number of one-shot jobs that were started more than once.
    pub duplicates: usize,
    /// Descriptions of processes that ended unexpectedly, and of errors that prevented parts of the plan.
    pub faults: Vec<String>,
    /// The time at which each step was completed, in nanoseconds on the monotonic clock.
    pub steps_done_at: Vec<u64>,
    /// The time at which the load began, in nanoseconds on the monotonic clock.
    pub load_began_at: u64,
}

impl Outcome {
    /// Returns whether no guarantee was violated and the whole plan was carried out.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.findings.is_empty() && self.faults.is_empty()
    }

    /// Returns the total time in nanoseconds during which nodes applied different versions, or `None` if they still do
    /// at the end.
    #[must_use]
    pub fn mixed_version_time(&self) -> Option<u64> {
        let mut active: BTreeMap<&str, u64> = BTreeMap::new();
        let mut mixed_since = None;
        let mut mixed_for = 0;
        for line in &self.lines {
            let under_load = line.at >= self.load_began_at;
            match &line.what {
                HistoryEvent::Active { version, .. } => drop(active.insert(&line.by, *version)),
                // A killed node applies no version; a paused node may resume at any moment and still counts.
                HistoryEvent::Did { deed, to } if deed == "kill" && under_load => {
                    active.remove(to.as_str());
                }
                _ => continue,
            }
            let mixed = under_load && active.values().min() != active.values().max();
            match (mixed, mixed_since) {
                (true, None) => mixed_since = Some(line.at),
                (false, Some(since)) => {
                    mixed_for += line.at - since;
                    mixed_since = None;
                }
                _ => {}
            }
        }
        mixed_since.is_none().then_some(mixed_for)
    }
}
