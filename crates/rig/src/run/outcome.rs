//! What came of a run.

use std::collections::BTreeMap;

use linestack_history::{HistoryEvent, Line};

use super::Second;
use crate::check::Finding;

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Promises that the histories show to be broken.
    pub findings: Vec<Finding>,
    /// The merged histories, by time.
    pub lines: Vec<Line>,
    /// By second from the start of the load.
    pub seconds: Vec<Second>,
    /// One-shots that began more than once.
    pub doubled: usize,
    /// Processes that ended though nobody told them to, and what stood in the way of the plan.
    pub faults: Vec<String>,
    /// Nanoseconds on the monotonic clock at which each step was done.
    pub done: Vec<u64>,
    /// Nanoseconds on the monotonic clock at which the load began.
    pub began: u64,
}

impl Outcome {
    /// Whether no promise was broken and the plan was played as it stands.
    #[must_use]
    pub fn sound(&self) -> bool {
        self.findings.is_empty() && self.faults.is_empty()
    }

    /// For how long nodes went by different versions, in all, in nanoseconds; none if they still do.
    #[must_use]
    pub fn mixed(&self) -> Option<u64> {
        let mut active: BTreeMap<&str, u64> = BTreeMap::new();
        let mut mixed_since = None;
        let mut mixed_for = 0;
        for line in &self.lines {
            let under_load = line.at >= self.began;
            match &line.what {
                HistoryEvent::Active { version, .. } => drop(active.insert(&line.by, *version)),
                // One that is dead goes by nothing; one that is paused may wake at any moment.
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
