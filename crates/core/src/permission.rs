//! The check whether an execution may begin now, in one place.
//!
//! The check is made when the dispatcher starts an execution, when a connection for it is established, when its record is
//! durable, when it moves to another connection, and before its first byte is written. Between any two of these, the client
//! may have disconnected, the deadline may have passed or the list may have announced a drain, however short the wait was
//! meant to be.

use super::*;

/// Why an execution may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It was cancelled, or its submission is no longer known.
    Withdrawn,
    /// Its submission has been answered.
    Answered,
    /// Its client has disconnected.
    ClientLeft,
    /// Its deadline has passed.
    DeadlinePassed,
    /// Its executor is draining, according to the list.
    ExecutorDraining,
    /// Its executor has left, according to the list.
    ExecutorLeft,
    /// Its executor has another address now, according to the list.
    ExecutorMoved,
    /// Its product may not run in that zone or on that kind of executor.
    ProductNotAllowed,
    /// Another execution of its submission is in flight, and the settings forbid copies.
    SecondCopy,
    /// Another execution of its submission may have run, and its product must not run twice.
    MayHaveRun,
    /// Another execution may have run on an executor outside the group that drops repeats of each other's executions.
    OutsideGroup,
    /// Another execution may have run, and its executors may have forgotten it.
    WindowPassed,
}

impl Refusal {
    /// The name in logs and metrics.
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
            Self::ProductNotAllowed => "not-open",
            Self::SecondCopy => "second-copy",
            Self::MayHaveRun => "may-have-run",
            Self::OutsideGroup => "outside-group",
            Self::WindowPassed => "window-passed",
        }
    }
}

/// When the check is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occasion {
    /// The dispatcher starts an execution.
    Requested,
    /// A connection is available for it.
    Connected,
    /// The record that it may have run is durable.
    Durable,
    /// The connection that it was assigned to was found closed.
    Reconnect,
    /// Its first byte is about to be written.
    FirstByte,
}

impl Occasion {
    /// The name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Requested => "order",
            Self::Connected => "connected",
            Self::Durable => "durable",
            Self::Reconnect => "reconnect",
            Self::FirstByte => "first-byte",
        }
    }
}

/// The numbers of refused executions since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// The submission was answered, or the execution cancelled.
    pub over: u64,
    /// The client had disconnected.
    pub client_left: u64,
    /// The deadline had passed, or the time within which executors recognize a repeat.
    pub deadline_passed: u64,
    /// The executor was draining, or had left, moved or changed its group.
    pub executor_leaving: u64,
    /// The settings forbid the place or the copy; a correct dispatcher never starts such an execution.
    pub forbidden: u64,
}

impl Refusals {
    fn count(&mut self, refusal: Refusal) {
        let count = match refusal {
            Refusal::Withdrawn | Refusal::Answered => &mut self.over,
            Refusal::ClientLeft => &mut self.client_left,
            Refusal::DeadlinePassed | Refusal::WindowPassed => &mut self.deadline_passed,
            // The dispatcher starts a repeat in the group of the first execution; an executor leaves the group by the list.
            Refusal::ExecutorDraining
            | Refusal::ExecutorLeft
            | Refusal::ExecutorMoved
            | Refusal::OutsideGroup => &mut self.executor_leaving,
            Refusal::ProductNotAllowed | Refusal::SecondCopy | Refusal::MayHaveRun => &mut self.forbidden,
        };
        *count += 1;
    }
}

impl Core {
    /// Returns how long an execution may take if it begins now, or why it may not begin. `address` is where its connection
    /// leads.
    pub(crate) fn may_begin(
        &self,
        worker: Worker,
        address: SocketAddr,
        submission: Submission,
        execution: Execution,
    ) -> Result<Nanos, Refusal> {
        let accepted = self.accepted.get(submission as usize).and_then(Option::as_ref);
        let accepted = accepted.ok_or(Refusal::Withdrawn)?;
        let attempt = accepted.executions.get(usize::from(execution)).ok_or(Refusal::Withdrawn)?;
        if accepted.client.is_none() {
            return Err(if accepted.client_left { Refusal::ClientLeft } else { Refusal::Answered });
        }
        let remaining = attempt.deadline.saturating_sub(self.now);
        if remaining == 0 {
            return Err(Refusal::DeadlinePassed);
        }
        let worker_state = &self.workers[worker as usize];
        match worker_state.health {
            Health::Ready => {}
            Health::Draining => return Err(Refusal::ExecutorDraining),
            Health::Gone => return Err(Refusal::ExecutorLeft),
        }
        if worker_state.address != address {
            return Err(Refusal::ExecutorMoved);
        }
        let place = self.place_of(worker);
        if !self.products.get(usize::from(accepted.product)).is_none_or(|product| product.allows(&place)) {
            return Err(Refusal::ProductNotAllowed);
        }
        let others = accepted.executions.iter().enumerate().filter(|(i, _)| *i != usize::from(execution));
        if !self.may_duplicate && others.clone().any(|(_, other)| other.connection.is_some()) {
            return Err(Refusal::SecondCopy);
        }
        self.repeat_allowed_until(accepted, worker, execution)?;
        Ok(remaining)
    }

    /// Returns whether an executor may be probed at this address.
    fn may_probe_at(&self, worker: Worker, address: SocketAddr) -> Result<(), Refusal> {
        let state = &self.workers[worker as usize];
        if state.health == Health::Gone {
            return Err(Refusal::ExecutorLeft);
        }
        if state.address == address { Ok(()) } else { Err(Refusal::ExecutorMoved) }
    }

    /// Returns whether an exchange that has waited for this connection may still be sent.
    pub(crate) fn is_still_permitted(&self, state: &ConnectionState, exchange: Exchange) -> bool {
        match exchange {
            Exchange::Probe => self.may_probe_at(state.worker, state.address).is_ok(),
            Exchange::Execution(submission, execution) => {
                self.may_begin(state.worker, state.address, submission, execution).is_ok()
            }
        }
    }

    /// As [`Core::may_begin`], but also counts and reports a refusal. A probe has no time limit here.
    pub(crate) fn permit(
        &mut self,
        occasion: Occasion,
        worker: Worker,
        address: SocketAddr,
        exchange: Exchange,
    ) -> Result<Nanos, Refusal> {
        let Exchange::Execution(submission, execution) = exchange else {
            return self.may_probe_at(worker, address).map(|()| Nanos::MAX);
        };
        let permission = self.may_begin(worker, address, submission, execution);
        if let Err(refusal) = permission {
            self.stats.refused.count(refusal);
            let accepted = self.accepted.get(submission as usize).and_then(Option::as_ref);
            let id = accepted.map(|a| a.request.id.clone()).unwrap_or_default();
            self.effects.push(Effect::Refused { id, refusal, occasion });
        }
        permission
    }

    /// Returns the client that waits for the execution on this connection, if there is one.
    #[must_use]
    pub fn waiting_client(&self, connection: ConnectionId) -> Option<ClientId> {
        let Some(Exchange::Execution(submission, _)) = self.connections.get(&connection)?.exchange else {
            return None;
        };
        self.accepted.get(submission as usize)?.as_ref()?.client
    }

    /// Returns the time limit to send to the executor, when the first byte of a request is about to be written.
    /// `disconnected_client` is the client that waits for it, if that has disconnected. If the execution may not begin any
    /// more, the connection becomes idle, and what follows from that is appended to `effects`.
    ///
    /// # Errors
    ///
    /// The reason why nothing may be written.
    pub fn begin_send(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        disconnected_client: Option<ClientId>,
        effects: &mut Vec<Effect>,
    ) -> Result<Nanos, Refusal> {
        self.now = self.now.max(now);
        if let Some(client) = disconnected_client {
            self.client_disconnected(client);
        }
        let state = self.connections.get(&connection);
        let assigned = state.and_then(|state| Some((state.worker, state.address, state.exchange?)));
        let Some((worker, address, exchange)) = assigned else { return Err(Refusal::Withdrawn) };
        let permission = self.permit(Occasion::FirstByte, worker, address, exchange);
        if permission.is_err() {
            if let Some(state) = self.connections.get_mut(&connection) {
                (state.exchange, state.idle_before_exchange) = (None, None);
            }
            self.make_idle(connection);
            self.not_sent(worker, exchange);
            self.process_events();
        }
        effects.append(&mut self.effects);
        permission
    }
}
