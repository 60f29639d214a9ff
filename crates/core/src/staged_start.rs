//! A start in stages, where an operator asks for one: what may be taken, and when connections are made and lists
//! asked for. Without it a node takes what comes as soon as it has a list.

use linestack_recovery::start::{Stage, StagedStart};

use super::*;

pub(crate) struct Starting {
    start: StagedStart,
    /// A list of an age that is not known, for when discovery stays silent.
    old: Vec<Endpoint>,
    armed: Nanos,
}

impl Core {
    /// From now on the start goes by stages; `old` is a list of an age that is not known. To be called before anything
    /// else.
    pub fn start_in_stages(&mut self, now: Nanos, start: StagedStart, old: Vec<Endpoint>) {
        self.now = self.now.max(now);
        self.effects.push(Effect::Stage(start.stage()));
        self.start = Some(Starting { start, old, armed: 0 });
    }

    /// How far the start has come; none where it does not go by stages.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        self.start.as_ref().map(|s| s.start.stage())
    }

    pub(crate) fn proved(&mut self) {
        let (now, leave) = (self.now, self.leave);
        if let Some(s) = self.start.as_mut().filter(|_| now < leave) {
            s.start.confirm_settings();
        }
    }

    pub(crate) fn go_on_starting(&mut self) {
        let Some(Starting { start, old, armed }) = &mut self.start else { return };
        while let Some(stage) = start.advance(self.now) {
            self.effects.push(Effect::Stage(stage));
        }
        let due = start.next_due();
        let rearm = due < Nanos::MAX && (*armed <= self.now || due < *armed);
        if rearm {
            *armed = due.max(self.now + 1);
        }
        let (at, by_old) =
            (*armed, if start.should_use_old_list() { std::mem::take(old) } else { Vec::new() });
        if rearm {
            self.arm(at, Timer::Stage);
        }
        if !by_old.is_empty() {
            // When they started nobody knows: they bear what one does that has just started.
            let now = self.now;
            let endpoints = by_old.into_iter().map(|e| Endpoint { started: now, ..e }).collect();
            self.listed(ListKind::Cached, endpoints);
        }
    }

    pub(crate) fn told_at_start(&mut self, kind: ListKind, ready: usize) {
        if let Some(s) = &mut self.start {
            s.start.list_received(kind != ListKind::Cached, ready);
        }
    }

    pub(crate) fn seen_at_start(&mut self, worker: Worker, outcome: Outcome) {
        let Some(Starting { start, .. }) = &mut self.start else { return };
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

    /// The come-back time for one more, where there are too many for a start. They are spread, lest the repeats come
    /// as one wave.
    pub(crate) fn too_many_yet(&mut self) -> Option<Option<Nanos>> {
        let s = self.start.as_mut()?;
        if s.start.admits(self.now, self.ids.len()) {
            return None;
        }
        self.stats.held_back += 1;
        Some(self.spread_come_back())
    }

    /// From an eighth to five eighths of the longest come-back time that may be named.
    pub(crate) fn spread_come_back(&mut self) -> Option<Nanos> {
        self.come_back.map(|most| most / 8 + self.chance.u64(..=most / 2))
    }

    /// When the next connection may be made.
    pub(crate) fn turn(&mut self) -> Nanos {
        self.start.as_mut().map_or(self.now, |s| s.start.schedule_connect(self.now))
    }

    pub(crate) fn turn_came(&mut self, connection: ConnectionId) {
        let Some(line) = self.links.get(&connection) else { return };
        let (address, limit) = (line.address, line.limit.until);
        let limit = limit.saturating_sub(self.now);
        self.effects.push(Effect::OpenConnection { connection, address, timeout: limit });
    }

    /// When the list may be asked for, where that is later.
    pub(crate) fn list_in(&mut self) -> Option<Nanos> {
        let at = self.start.as_mut()?.start.schedule_list_request(self.now);
        (at > self.now).then_some(at)
    }
}
