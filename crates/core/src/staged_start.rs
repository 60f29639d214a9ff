//! A start in stages, where an operator asks for one: what may be accepted, and when connections are made and lists
//! asked for. Without it a node takes what comes as soon as it has a list.

use linestack_recovery::start::{Stage, Start};

use super::*;

pub(crate) struct StagedStart {
    start: Start,
    /// A list of an age that is not known, for when discovery stays silent.
    old: Vec<Endpoint>,
    armed: Nanos,
}

impl Core {
    /// From now on the start goes by stages; `old` is a list of an age that is not known. To be called before anything
    /// else.
    pub fn start_in_stages(&mut self, now: Nanos, start: Start, old: Vec<Endpoint>) {
        self.now = self.now.max(now);
        self.effects.push(Effect::Stage(start.stage()));
        self.staged_start = Some(StagedStart { start, old, armed: 0 });
    }

    /// How far the start has come; none where it does not go by stages.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        self.staged_start.as_ref().map(|s| s.start.stage())
    }

    pub(crate) fn lease_received(&mut self) {
        let (now, leave) = (self.now, self.lease_until);
        if let Some(s) = self.staged_start.as_mut().filter(|_| now < leave) {
            s.start.proved();
        }
    }

    pub(crate) fn advance_start(&mut self) {
        let Some(StagedStart { start, old, armed }) = &mut self.staged_start else { return };
        while let Some(stage) = start.step(self.now) {
            self.effects.push(Effect::Stage(stage));
        }
        let due = start.next_due();
        let rearm = due < Nanos::MAX && (*armed <= self.now || due < *armed);
        if rearm {
            *armed = due.max(self.now + 1);
        }
        let (at, by_old) = (*armed, if start.by_old() { std::mem::take(old) } else { Vec::new() });
        if rearm {
            self.set_timer(at, Timer::StagedStart);
        }
        if !by_old.is_empty() {
            // When they started nobody knows: they bear what one does that has just started.
            let now = self.now;
            let endpoints = by_old.into_iter().map(|e| Endpoint { started: now, ..e }).collect();
            self.list_received(ListKind::Cached, endpoints);
        }
    }

    pub(crate) fn start_list_received(&mut self, kind: ListKind, ready: usize) {
        if let Some(s) = &mut self.staged_start {
            s.start.listed(kind != ListKind::Cached, ready);
        }
    }

    pub(crate) fn start_execution_ended(&mut self, worker: Worker, outcome: Outcome) {
        let Some(StagedStart { start, .. }) = &mut self.staged_start else { return };
        match outcome {
            Outcome::Satisfied | Outcome::Error | Outcome::Unusable => start.answered(worker),
            Outcome::Full | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => start.refused(),
            Outcome::Stale | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// The come-back time for one more, where there are too many for a start. They are spread, lest the repeats come
    /// as one wave.
    pub(crate) fn refused_by_start(&mut self) -> Option<Option<Nanos>> {
        let s = self.staged_start.as_mut()?;
        if s.start.admits(self.now, self.open_ids.len()) {
            return None;
        }
        self.stats.held_back += 1;
        Some(self.random_retry_after())
    }

    /// From an eighth to five eighths of the longest come-back time that may be named.
    pub(crate) fn random_retry_after(&mut self) -> Option<Nanos> {
        self.max_retry_after.map(|most| most / 8 + self.rng.u64(..=most / 2))
    }

    /// When the next connection may be made.
    pub(crate) fn next_connect_time(&mut self) -> Nanos {
        self.staged_start.as_mut().map_or(self.now, |s| s.start.connect_at(self.now))
    }

    pub(crate) fn connect_time_reached(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (address, limit) = (state.address, state.limit.until);
        let limit = limit.saturating_sub(self.now);
        self.effects.push(Effect::OpenConnection { connection, address, timeout: limit });
    }

    /// When the list may be asked for, where that is later.
    pub(crate) fn postponed_list_call(&mut self) -> Option<Nanos> {
        let at = self.staged_start.as_mut()?.start.list_at(self.now);
        (at > self.now).then_some(at)
    }
}
