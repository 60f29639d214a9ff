//! The timers that are set, in the order in which they fire.

use std::collections::BTreeMap;

use linestack_dispatch::types::{Nanos, Submission};

use crate::{ClientId, ConnectionId};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A timer of the dispatcher, with its identifier.
    Dispatcher(u64),
    /// The time limit of a connection to an executor.
    Connection(ConnectionId),
    /// The time limit of a client's connection.
    Client(ClientId),
    /// The deadline of a submission.
    Deadline(Submission),
    /// The list of executors is to be asked for.
    ListCall,
    /// A stopping node closes the connections of its clients.
    CloseClients,
    /// A stopping node exits as soon as it has no clients.
    ExitWhenEmpty,
    /// A stopping node answers all open submissions.
    AnswerDeadline,
    /// A stopping node exits, before it is killed.
    Exit,
    /// The statistics are to be logged.
    Stats,
    /// A staged start may proceed because time has passed.
    StagedStart,
    /// A staged start allows this connection to be opened.
    OpenConnection(ConnectionId),
    /// Room for clients is to be checked, since the limit was reached.
    ClientRoom,
}

/// Identifies a timer that is set. Timers of the same time fire in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerKey {
    pub(crate) at: Nanos,
    number: u64,
}

/// The timers that are set. One that is not needed any more is cancelled, so that the queue holds no more timers than there are
/// things that wait.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer>,
    last_number: u64,
}

impl TimerQueue {
    /// Sets a timer.
    pub(crate) fn set(&mut self, at: Nanos, timer: Timer) -> TimerKey {
        self.last_number += 1;
        let key = TimerKey { at, number: self.last_number };
        self.timers.insert(key, timer);
        key
    }

    /// Cancels a timer; one that has fired is ignored.
    pub(crate) fn cancel(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// When the next timer fires; [`Nanos::MAX`] if none is set.
    pub(crate) fn next_due(&self) -> Nanos {
        self.timers.first_key_value().map_or(Nanos::MAX, |(key, _)| key.at)
    }

    /// Removes and returns the first timer that is due, with the time for which it was set.
    pub(crate) fn pop_due(&mut self, now: Nanos) -> Option<(Nanos, Timer)> {
        let first = self.timers.first_entry().filter(|first| first.key().at <= now)?;
        let (key, timer) = first.remove_entry();
        Some((key.at, timer))
    }
}
