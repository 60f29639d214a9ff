//! Records the arrival times of the bytes that a connection has read ahead. A client's deadline counts from the arrival
//! of the last byte of its request, which may be long before a pipelined request is processed.

use std::collections::VecDeque;

use linestack_dispatch::types::Nanos;

/// The maximum number of reads whose times are recorded separately. The bytes of later reads count as having arrived with
/// the last of these, earlier than they did, so that no executor is given a longer deadline than its client has left.
const MAX_MARKS: usize = 64;
/// Reads within this time after the first of them count as one.
const MERGE_WINDOW_NS: Nanos = 1_000_000;

/// All bytes up to the position `end` had arrived at the time `at`.
#[derive(Clone, Copy, Debug)]
struct Mark {
    end: u64,
    at: Nanos,
}

/// The arrival times of the bytes that were read and not consumed yet.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    marks: VecDeque<Mark>,
    /// The number of bytes read since the connection opened.
    received: u64,
}

impl ArrivalTimes {
    /// Records that this many bytes arrived at `now`.
    pub fn record_read(&mut self, bytes: usize, now: Nanos) {
        if bytes == 0 {
            return;
        }
        self.received += bytes as u64;
        let end = self.received;
        let full = self.marks.len() >= MAX_MARKS;
        match self.marks.back_mut() {
            Some(last) if full || now.saturating_sub(last.at) < MERGE_WINDOW_NS => last.end = end,
            _ => self.marks.push_back(Mark { end, at: now }),
        }
    }

    /// Forgets the last bytes that were received, which are not going to be consumed.
    pub fn forget_last(&mut self, bytes: usize) {
        self.received = self.received.saturating_sub(bytes as u64);
        while let Some(last) = self.marks.pop_back() {
            let begin = self.marks.back().map_or(0, |mark| mark.end);
            if begin < self.received {
                self.marks.push_back(Mark { end: last.end.min(self.received), ..last });
                return;
            }
        }
    }

    /// Returns when the last consumed byte arrived. All bytes that were read are consumed except the last `unconsumed`.
    pub fn arrival_of_consumed(&mut self, unconsumed: usize, now: Nanos) -> Nanos {
        let consumed = self.received.saturating_sub(unconsumed as u64);
        while self.marks.front().is_some_and(|mark| mark.end < consumed) {
            self.marks.pop_front();
        }
        self.marks.front().map_or(now, |mark| mark.at)
    }
}
