//! The start times of executors, from lists whose times come from wall clocks.
//!
//! A list gives start times in Unix time, by a clock that may be stepped at any moment. The node's own clock runs on evenly from
//! the wall clock's time at the node's start. Of the times that a listed start may mean, the latest that is not in the future
//! counts: an executor that seems younger than it is gets a little less work for a while, but one that seems older than it is
//! gets overloaded.

use super::*;

/// A start up to this far in the future counts as one that has just happened, since clocks always differ a little.
const MAX_CLOCK_SKEW: Nanos = 60 * SECOND;
/// How long after a start discovery may first report it: a node must comply with it 6 s after discovery knew, at the latest,
/// and the last message before that is up to 3 s old. A start that is reported later still was read from another clock.
const MAX_START_REPORT_DELAY: Nanos = 10 * SECOND;

/// What is known about the clocks from which the times of a list were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListClocks {
    /// A time at which discovery was in contact and had not reported any of the starts that it reports now; 0 if it is unknown.
    pub known_until: Nanos,
    /// How far this machine's wall clock has moved against the node's own clock since the node started, in nanoseconds.
    pub wall_clock_shift: i64,
}

/// The start time of an executor, as listed and as interpreted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartTime {
    listed: Nanos,
    interpreted: Nanos,
}

impl StartTime {
    /// Interprets a listed start time. A listed time that has not changed means the same start, whatever the clocks have done
    /// since.
    pub(crate) fn update(&mut self, listed: Nanos, now: Nanos, clocks: ListClocks) -> Nanos {
        if self.listed != listed {
            *self = Self { listed, interpreted: interpret(listed, now, clocks) };
        }
        self.interpreted
    }

    /// The start on the node's clock, 0 for long ago.
    pub(crate) fn at(self) -> Nanos {
        self.interpreted
    }
}

/// Converts a listed start time to the node's clock.
fn interpret(listed: Nanos, now: Nanos, clocks: ListClocks) -> Nanos {
    if listed == 0 {
        return 0;
    }
    let by_current_wall_clock = listed.saturating_add_signed(clocks.wall_clock_shift.saturating_neg());
    let possible = [listed, by_current_wall_clock].into_iter().filter(|start| *start <= now + MAX_CLOCK_SKEW);
    let start = possible.max().unwrap_or(now).min(now);
    if start + MAX_START_REPORT_DELAY < clocks.known_until { clocks.known_until } else { start }
}
