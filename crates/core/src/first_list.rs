//! The wait for the first list of executors after a start.
//!
//! A process starts with the list in its configuration, whose age is unknown: the executors in it may have drained, left or
//! been replaced since. The list counts as outdated until discovery has answered, and nothing is executed on its basis.
//! Answers to probes are no substitute: an executor that is back at its address may answer them while the list still says
//! that it is gone.
//!
//! No failure of discovery, however long, makes the configured list evidence that an executor still accepts work. Where lists
//! are pushed, a process must comply with what discovery knows from its first moment. Where lists are asked for, it must do so
//! 6 s after discovery knew it and could be reached, even if a call has failed. These 6 s may be over long before the process
//! starts.

use super::staged_start::StartRefusal;
use super::*;

/// The first calls of processes that start together are spread over at most this time. In a small fleet they are spread over
/// less, since no process serves before its call is answered.
const MAX_FIRST_CALL_SPREAD: Nanos = SECOND;
/// They are spread over the connect timeout divided by this, for each node.
const FIRST_CALL_SPREAD_DIVISOR: Nanos = 4;
/// A process must be ready within 6 s after its start, even in an outage of discovery. From then on it admits clients, but
/// refuses their submissions at once until discovery has answered.
const FIRST_LIST_TIMEOUT: Nanos = SECOND * 11 / 2;

/// Whether the list may be used to choose executors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListState {
    /// No list is known.
    Missing,
    /// Only the configured list is known, and discovery has not confirmed it.
    Outdated,
    /// The list came from discovery, or the staged start allows its use.
    Current,
}

impl Core {
    /// Handles the list from the configuration.
    pub(crate) fn configured_list(&mut self, empty: bool) {
        if self.staged_start.is_some() {
            // The staged start decides how old a list may be used.
            if !empty {
                self.list_state = ListState::Current;
            }
            return;
        }
        if !empty {
            self.list_state = ListState::Outdated;
            self.first_list_due = self.now + FIRST_LIST_TIMEOUT;
        }
        if self.list_on_request {
            let first = self.now + self.rng.u64(..self.first_call_spread);
            self.schedule_list_call(first);
        }
    }

    /// Whether the state of the list allows the node to report itself ready. In a long outage of discovery the node does so
    /// before it executes anything, and refuses submissions at once.
    pub(crate) fn list_admits_clients(&self, now: Nanos) -> bool {
        match self.list_state {
            ListState::Missing => false,
            ListState::Outdated => now >= self.first_list_due,
            ListState::Current => true,
        }
    }

    /// Refuses a submission that arrives before the first list. Nothing has been executed, so a retry is harmless. The retry
    /// delays are random, so that the retries don't arrive as one wave.
    pub(crate) fn refused_before_first_list(&mut self) -> Option<StartRefusal> {
        if self.list_state != ListState::Outdated {
            return None;
        }
        self.stats.held_back += 1;
        Some(StartRefusal { retry_after: self.random_retry_after() })
    }
}

/// The time over which a fleet of this many nodes spreads its first calls.
pub(crate) fn first_call_spread(nodes: u32, connect_timeout: Nanos) -> Nanos {
    let per_node = connect_timeout / FIRST_CALL_SPREAD_DIVISOR;
    per_node.saturating_mul(nodes.into()).clamp(1, MAX_FIRST_CALL_SPREAD)
}
