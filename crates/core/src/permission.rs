//! The one place that decides whether an execution may begin now.
//!
//! It is asked when an execution is ordered, when a connection for it has come up, when it has been made durable, when it is
//! to go over another connection, and at its first byte: in between, its client may have left, its time may have run out or
//! a drain may have been told, however short the wait was meant to be.

use super::*;

/// Why an execution may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It was called off, or its submission is no longer known.
    Withdrawn,
    /// Its submission has its final answer.
    Answered,
    /// Its client has left.
    ClientLeft,
    /// No answer could come in time.
    DeadlinePassed,
    /// The list says that its executor drains.
    ExecutorDraining,
    /// The list says that its executor has left.
    ExecutorLeft,
    /// The list says that its executor is at another address now.
    ExecutorMoved,
    /// Its product may not go to that zone or kind.
    NotOpen,
    /// Another execution of its submission is out, and two may not be.
    SecondCopy,
}

impl Refusal {
    /// As logs and metrics name it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::Answered => "answered",
            Self::ClientLeft => "client-left",
            Self::DeadlinePassed => "deadline-passed",
            Self::ExecutorDraining => "executor-draining",
            Self::ExecutorLeft => "executor-left",
            Self::ExecutorMoved => "executor-moved",
            Self::NotOpen => "not-open",
            Self::SecondCopy => "second-copy",
        }
    }
}

/// On which occasion it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occasion {
    /// An execution is ordered.
    Order,
    /// A connection is there to carry it.
    Connected,
    /// That it may run has been made durable.
    Durable,
    /// The connection that it was for was found closed.
    Reconnect,
    /// Its first byte is about to be written.
    FirstByte,
}

impl Occasion {
    /// As logs name it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::Connected => "connected",
            Self::Durable => "durable",
            Self::Reconnect => "reconnect",
            Self::FirstByte => "first-byte",
        }
    }
}

/// Executions that were refused, by reason, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// The submission was over, or the execution called off.
    pub over: u64,
    /// The client had left.
    pub client_left: u64,
    /// The deadline had passed.
    pub deadline_passed: u64,
    /// The executor drained, had left or was elsewhere.
    pub executor_leaving: u64,
    /// By the rules on places and copies; the decisions should never lead there.
    pub forbidden: u64,
}

impl Refusals {
    fn count(&mut self, refusal: Refusal) {
        let count = match refusal {
            Refusal::Withdrawn | Refusal::Answered => &mut self.over,
            Refusal::ClientLeft => &mut self.client_left,
            Refusal::DeadlinePassed => &mut self.deadline_passed,
            Refusal::ExecutorDraining | Refusal::ExecutorLeft | Refusal::ExecutorMoved => {
                &mut self.executor_leaving
            }
            Refusal::NotOpen | Refusal::SecondCopy => &mut self.forbidden,
        };
        *count += 1;
    }
}

impl Core {
    /// How long an execution may take if it begins now at an address that was its executor's, or why it may not.
    pub(crate) fn may_begin(
        &self,
        worker: Worker,
        address: SocketAddr,
        submission: Submission,
        execution: Execution,
    ) -> Result<Nanos, Refusal> {
        let taken = self.taken.get(submission as usize).and_then(Option::as_ref);
        let taken = taken.ok_or(Refusal::Withdrawn)?;
        let sent = taken.executions.get(usize::from(execution)).ok_or(Refusal::Withdrawn)?;
        if taken.client.is_none() {
            return Err(if taken.client_left { Refusal::ClientLeft } else { Refusal::Answered });
        }
        let left = sent.until.saturating_sub(self.now);
        if left == 0 {
            return Err(Refusal::DeadlinePassed);
        }
        let place = &self.workers[worker as usize];
        match place.health {
            Health::Ready => {}
            Health::Draining => return Err(Refusal::ExecutorDraining),
            Health::Gone => return Err(Refusal::ExecutorLeft),
        }
        if place.address != address {
            return Err(Refusal::ExecutorMoved);
        }
        let at = WorkerEntry { kind: place.kind, zone: place.zone, ..WorkerEntry::default() };
        if !self.products.get(usize::from(taken.product)).is_none_or(|p| p.allows(&at)) {
            return Err(Refusal::NotOpen);
        }
        let others = taken.executions.iter().enumerate().filter(|(i, _)| *i != usize::from(execution));
        if !self.may_duplicate && others.clone().any(|(_, other)| other.connection.is_some()) {
            return Err(Refusal::SecondCopy);
        }
        Ok(left)
    }

    /// As [`Core::may_begin`], and a refusal is counted and told.
    pub(crate) fn permit(
        &mut self,
        occasion: Occasion,
        worker: Worker,
        address: SocketAddr,
        load: Load,
    ) -> Result<Nanos, Refusal> {
        let Load::Execution(submission, execution) = load else { return Ok(Nanos::MAX) };
        let permission = self.may_begin(worker, address, submission, execution);
        if let Err(refusal) = permission {
            self.stats.refused.count(refusal);
            let taken = self.taken.get(submission as usize).and_then(Option::as_ref);
            let id = taken.map(|t| t.request.id.clone()).unwrap_or_default();
            self.effects.push(Effect::Refused { id, refusal, occasion });
        }
        permission
    }

    /// The first byte of what a connection carries is about to be written: how long its executor may be told to take.
    /// Where it may not begin any more, the connection is at rest, and what follows from that is among the effects.
    ///
    /// # Errors
    ///
    /// Why nothing may be written.
    pub fn begin_send(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Result<Nanos, Refusal> {
        self.now = self.now.max(now);
        let line = self.links.get(&connection);
        let carried = line.and_then(|line| Some((line.worker, line.address, line.load?)));
        let Some((worker, address, load)) = carried else { return Err(Refusal::Withdrawn) };
        let permission = self.permit(Occasion::FirstByte, worker, address, load);
        if permission.is_err() {
            if let Some(line) = self.links.get_mut(&connection) {
                (line.load, line.idled) = (None, None);
            }
            self.rest(connection);
            self.unsent(worker, load);
            self.settle();
        }
        effects.append(&mut self.effects);
        permission
    }
}
