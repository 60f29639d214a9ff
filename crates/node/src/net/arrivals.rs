//! When the bytes came that a connection has read ahead. The time that a client waits counts from the last byte of its
//! request, and one that was sent behind another may have waited for its turn since.

use std::collections::VecDeque;

use linestack_dispatch::types::Nanos;

/// Reads in a row that are kept apart. What comes in more counts as having come with the last of these: earlier than it
/// did, so that no executor is told more time than its client has left.
const MOST_MARKS: usize = 64;
/// Reads so shortly after one another count as one.
const TOGETHER: Nanos = 1_000_000;

/// All bytes up to a place had come by a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    upto: u64,
    at: Nanos,
}

/// The arrival times of what was read and not consumed yet.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    marks: VecDeque<Mark>,
    received: u64,
}

impl ArrivalTimes {
    /// So many bytes were read now.
    pub fn read(&mut self, bytes: usize, now: Nanos) {
        if bytes == 0 {
            return;
        }
        self.received += bytes as u64;
        let upto = self.received;
        let crowded = self.marks.len() >= MOST_MARKS;
        match self.marks.back_mut() {
            Some(last) if crowded || now.saturating_sub(last.at) < TOGETHER => last.upto = upto,
            _ => self.marks.push_back(Mark { upto, at: now }),
        }
    }

    /// When the last byte came of all but the last `unconsumed` of what was read.
    pub fn arrival_of_consumed(&mut self, unconsumed: usize, now: Nanos) -> Nanos {
        let consumed = self.received.saturating_sub(unconsumed as u64);
        while self.marks.front().is_some_and(|mark| mark.upto < consumed) {
            self.marks.pop_front();
        }
        self.marks.front().map_or(now, |mark| mark.at)
    }
}
