//! When an executor started, from what a wall clock told of it.
//!
//! The list tells starts in Unix time, by a clock that may be stepped at any moment; the node's own clock goes on evenly from
//! the wall clock's time at its start. Of the times that a told start may mean, the latest one that is not in the future
//! counts: an executor taken for younger than it is gets a little less for a while, and one taken for older is pushed over.

use super::*;

/// What is called a start later than now by less than this is one that has just been: clocks are never quite alike.
const SKEW: Nanos = 60 * SECOND;
/// Discovery may tell of a start as long after it: what it has to tell counts as told 6 s later at the latest, and its last
/// word before that is up to 3 s old. One that it tells of later still was told by another clock.
const TOLD_WITHIN: Nanos = 10 * SECOND;

/// What is known of the clocks that a list's times were read from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListClocks {
    /// Discovery was heard at this time, and told of no start that it tells of now; 0 if that is not known.
    pub known_until: Nanos,
    /// By how much this machine's wall clock has moved against the node's own since the node began, in nanoseconds.
    pub wall_clock_shift: i64,
}

/// A start as it was told, and what that is taken for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Started {
    told: Nanos,
    taken_for: Nanos,
}

impl Started {
    /// Takes in what a list tells; the same told again is the same start, whatever the clocks have done since.
    pub(crate) fn hear(&mut self, told: Nanos, now: Nanos, clocks: ListClocks) -> Nanos {
        if self.told != told {
            *self = Self { told, taken_for: meant(told, now, clocks) };
        }
        self.taken_for
    }

    /// On the node's clock, 0 for long ago.
    pub(crate) fn at(self) -> Nanos {
        self.taken_for
    }
}

fn meant(told: Nanos, now: Nanos, clocks: ListClocks) -> Nanos {
    if told == 0 {
        return 0;
    }
    let by_present_wall_clock = told.saturating_add_signed(clocks.wall_clock_shift.saturating_neg());
    let possible = [told, by_present_wall_clock].into_iter().filter(|start| *start <= now + SKEW);
    let start = possible.max().unwrap_or(now).min(now);
    if start + TOLD_WITHIN < clocks.known_until { clocks.known_until } else { start }
}
