//! The wait for the first list of executors after a start.
//!
//! A process starts with the list in its configuration, and nobody knows how old that is: the executors in it may have
//! drained, left or been replaced since. It counts as outdated until discovery has answered, and nothing is executed by it.
//! Probes are not accepted for discovery's word: an executor that is back at its address may answer them while the list
//! still names it as gone.
//!
//! No failure of discovery makes the configured list evidence that an executor still takes work, however long the outage:
//! where lists are pushed, what discovery had counts as told from the first moment of a process; where they are asked for,
//! 6 s after discovery had it and could be reached, whatever a failed call allows. That may be long before a start.

use super::*;

/// The first calls of processes that start together are spread over this time at most, and over less by a fleet that is
/// small: none of them serves before its call is answered.
const FIRST_CALL_SPREAD: Nanos = SECOND;
/// A process that starts has to be ready within 6 s, also in an outage of discovery: from then on it admits clients, and
/// refuses what they ask for at once until discovery has answered.
const FIRST_LIST_TIMEOUT: Nanos = SECOND * 11 / 2;

/// Whether executors may be chosen by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListState {
    /// None is known.
    Missing,
    /// Only the one of the configuration is known, and whether it still holds has to be heard from discovery.
    Outdated,
    /// Discovery has told it, or the stages of the start allow it.
    Current,
}

impl Core {
    /// The list of the configuration was read; it may be empty.
    pub(crate) fn configured_list(&mut self, empty: bool) {
        if self.staged_start.is_some() {
            // The stages of the start decide how old a list may be that is served by.
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

    /// Whether clients may be sent here, as far as the list goes. In a long outage they may before anything is executed:
    /// what they ask for is refused at once.
    pub(crate) fn list_admits_clients(&self, now: Nanos) -> bool {
        match self.list_state {
            ListState::Missing => false,
            ListState::Outdated => now >= self.first_list_due,
            ListState::Current => true,
        }
    }

    /// The come-back time for a submission that comes before the first list. Nothing has begun, so a retry is harmless;
    /// the times are spread, lest the retries come as one wave.
    pub(crate) fn refused_before_first_list(&mut self) -> Option<Option<Nanos>> {
        if self.list_state != ListState::Outdated {
            return None;
        }
        self.stats.held_back += 1;
        Some(self.random_retry_after())
    }
}

/// Over how long the first calls are spread by a fleet of so many nodes.
pub(crate) fn first_call_spread(nodes: u32, connect_timeout: Nanos) -> Nanos {
    let each = connect_timeout / 4;
    each.saturating_mul(nodes.into()).clamp(1, FIRST_CALL_SPREAD)
}
