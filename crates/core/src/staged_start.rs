//! The staged start of a node, which operators may ask for. It limits how many submissions are accepted, and schedules
//! connections and list calls. Without it a node accepts submissions as soon as it has a list.

use linestack_recovery::start::{ListSource, Stage, StagedStart};

use super::*;

/// A staged start, with what the reducer needs to carry it out.
pub(crate) struct StartState {
    start: StagedStart,
    /// A list of unknown age, which is used if discovery does not answer.
    old_list: Vec<Endpoint>,
    /// When the timer that was set last fires.
    timer_at: Nanos,
}

/// A submission is refused because the node is still starting.
pub(crate) struct StartRefusal {
    /// The retry delay for the client; `None` if clients are given none.
    pub(crate) retry_after: Option<Nanos>,
}

impl Core {
    /// Makes the node start in stages; `old_list` is a list of unknown age. Must be called before anything else.
    pub fn start_in_stages(&mut self, now: Nanos, start: StagedStart, old_list: Vec<Endpoint>) {
        self.now = self.now.max(now);
        self.effects.push(Effect::Stage(start.stage()));
        self.staged_start = Some(StartState { start, old_list, timer_at: 0 });
    }

    /// The stage that the start has reached; `None` if the node does not start in stages.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        self.staged_start.as_ref().map(|s| s.start.stage())
    }

    /// Informs the staged start of a lease.
    pub(crate) fn inform_start_of_lease(&mut self) {
        let (now, lease_until) = (self.now, self.lease_until);
        if let Some(s) = self.staged_start.as_mut().filter(|_| now < lease_until) {
            s.start.confirm_settings();
        }
    }

    /// Moves the start to the stages that it has reached, and uses the old list where the start allows it.
    pub(crate) fn advance_start(&mut self) {
        let Some(StartState { start, old_list, timer_at }) = &mut self.staged_start else { return };
        while let Some(stage) = start.advance(self.now) {
            self.effects.push(Effect::Stage(stage));
        }
        let due = start.next_due();
        let set_timer = due < Nanos::MAX && (*timer_at <= self.now || due < *timer_at);
        if set_timer {
            *timer_at = due.max(self.now + 1);
        }
        let fires_at = *timer_at;
        let old_list = if start.should_use_old_list() { std::mem::take(old_list) } else { Vec::new() };
        if set_timer {
            self.set_timer(fires_at, Timer::StagedStart);
        }
        if !old_list.is_empty() {
            // When these executors started is unknown, so they are treated as if they had just started.
            let now = self.now;
            let endpoints = old_list.into_iter().map(|e| Endpoint { started: now, ..e }).collect();
            self.list_received(ListKind::Cached, endpoints);
        }
    }

    /// Informs the staged start of a list with this many ready executors.
    pub(crate) fn inform_start_of_list(&mut self, kind: ListKind, ready: usize) {
        if let Some(s) = &mut self.staged_start {
            let source = if kind == ListKind::Cached { ListSource::Store } else { ListSource::Discovery };
            s.start.list_received(source, ready);
        }
    }

    /// Informs the staged start of the outcome of an execution.
    pub(crate) fn inform_start_of_outcome(&mut self, worker: Worker, outcome: Outcome) {
        let Some(StartState { start, .. }) = &mut self.staged_start else { return };
        match outcome {
            Outcome::Completed | Outcome::Error | Outcome::InvalidSubmission => {
                start.executor_answered(worker)
            }
            Outcome::Overloaded | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                start.execution_rejected()
            }
            Outcome::StaleConnection | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Refuses a submission if a staged start accepts no more yet. The retry delays are random, so that the retries don't
    /// arrive as one wave.
    pub(crate) fn refused_by_start(&mut self) -> Option<StartRefusal> {
        let s = self.staged_start.as_mut()?;
        if s.start.admits(self.now, self.open_ids.len()) {
            return None;
        }
        self.stats.held_back += 1;
        Some(StartRefusal { retry_after: self.random_retry_after() })
    }

    /// The short retry delay for a refused submission; `None` if clients are given none.
    pub(crate) fn short_retry_after(&self) -> Option<Nanos> {
        self.max_retry_after.map(|longest| longest / RETRY_AFTER_DIVISOR)
    }

    /// A random retry delay, from the one of [`Core::short_retry_after`] upwards.
    pub(crate) fn random_retry_after(&mut self) -> Option<Nanos> {
        self.max_retry_after.map(|longest| {
            longest / RETRY_AFTER_DIVISOR + self.rng.u64(..=longest / RANDOM_RETRY_AFTER_DIVISOR)
        })
    }

    /// When the next connection may be opened.
    pub(crate) fn next_connect_time(&self) -> Nanos {
        self.staged_start.as_ref().map_or(self.now, |s| s.start.next_connect(self.now))
    }

    /// Reserves the time at which the next connection may be opened.
    pub(crate) fn reserve_connect_time(&mut self) -> Nanos {
        self.staged_start.as_mut().map_or(self.now, |s| s.start.schedule_connect(self.now))
    }

    /// Opens a connection that had to wait, unless its exchange was cancelled or may not begin any more.
    pub(crate) fn connect_time_reached(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (worker, exchange) = (state.worker, state.exchange);
        if exchange.is_some_and(|exchange| self.is_still_permitted(state, exchange)) {
            let (address, timeout) = (state.address, state.limit.until.saturating_sub(self.now));
            return self.effects.push(Effect::OpenConnection { connection, address, timeout });
        }
        self.remove_connection(connection);
        if let Some(exchange) = exchange {
            self.not_sent(worker, exchange);
        }
    }

    /// When the list may be asked for, if a staged start delays the call.
    pub(crate) fn postponed_list_call(&mut self) -> Option<Nanos> {
        let at = self.staged_start.as_mut()?.start.schedule_list_request(self.now);
        (at > self.now).then_some(at)
    }
}
