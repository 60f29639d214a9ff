//! Connections to executors, kept and opened.

use super::*;

impl Core {
    /// An idle connection, the last used first. A job gets none that has been idle for so long that others
    /// were closed at the other end by then: what is written to one of those may have run, for all that is
    /// known here. For a probe any will do, since it can be asked again; and it tells how long they last.
    pub(crate) fn take_idle_connection(
        &mut self,
        worker: Worker,
        exchange: Exchange,
    ) -> Option<ConnectionId> {
        let (links, now) = (&self.connections, self.now);
        let idle = &mut self.workers.get_mut(worker as usize)?.idle_connections;
        let worker_state = idle
            .iter()
            .rposition(|connection| links.get(connection).is_some_and(|l| l.reusable_at <= now))?;
        let idled = now - links.get(&idle[worker_state])?.since;
        if exchange != Exchange::Probe && idled > self.max_reuse_idle {
            return None;
        }
        Some(idle.remove(worker_state))
    }

    /// An idle connection proved good, or was found closed, after so long.
    pub(crate) fn learn_reuse_idle(&mut self, idled: Nanos, good: bool) {
        if !good {
            self.max_reuse_idle = self.max_reuse_idle.min(idled / 2);
        } else if idled >= self.max_reuse_idle / 2 {
            // Slowly, for a job lost costs far more than a connection made anew.
            self.max_reuse_idle =
                (self.max_reuse_idle + self.max_reuse_idle / REUSE_GROWTH_DIVISOR + REUSE_GROWTH_STEP)
                    .min(self.idle_timeout);
        }
    }

    pub(crate) fn open_connection(&mut self, worker: Worker, exchange: Exchange) {
        if self.connections.len() >= self.max_connections {
            let idle = self.connections.iter().filter(|(_, l)| l.phase == ConnectionPhase::Idle);
            match idle
                .min_by_key(|(connection, l)| (l.since, **connection))
                .map(|(connection, _)| *connection)
            {
                Some(connection) => self.close_connection(connection),
                None => return self.not_sent(worker, exchange),
            }
        }
        let connection = self.next_connection;
        self.next_connection += 1;
        let mut limit = self.connect_timeout;
        if let Exchange::Execution(submission, execution) = exchange {
            let now = self.now;
            if let Some(attempt) = self.attempt(submission, execution) {
                attempt.connection = Some(connection);
                limit = limit.min(attempt.deadline.saturating_sub(now));
            }
        }
        self.stats.links_opened += 1;
        let (phase, since) = (ConnectionPhase::Opening, self.now);
        let address = self.workers[worker as usize].address;
        let state = ConnectionState {
            worker,
            address,
            phase,
            exchange: Some(exchange),
            close_after_exchange: false,
            reusable_at: 0,
            established: false,
            idle_before_exchange: None,
            since,
            limit: Limit::NONE,
        };
        self.connections.insert(connection, state);
        self.workers[worker as usize].open_connections += 1;
        let turn = self.next_connect_time();
        self.limit_connection(connection, turn + limit);
        if turn > self.now {
            return self.set_timer(turn, Timer::OpenConnection(connection));
        }
        self.effects.push(Effect::OpenConnection { connection, address, timeout: limit });
    }

    /// What was not sent, and could not be, for a reason that is not the worker's.
    pub(crate) fn not_sent(&mut self, worker: Worker, exchange: Exchange) {
        match exchange {
            Exchange::Execution(submission, execution) => {
                self.execution_ended(submission, execution, Outcome::NotSent, None, None);
            }
            Exchange::Probe => self.probe_ended(worker, None, None),
        }
    }

    /// Whether an order that has waited for this connection may still be sent.
    pub(crate) fn is_still_permitted(&self, state: &ConnectionState, exchange: Exchange) -> bool {
        let Exchange::Execution(submission, execution) = exchange else { return true };
        self.may_begin(state.worker, state.address, submission, execution).is_ok()
    }

    /// Sends the order over a connection that is up and carries nothing.
    pub(crate) fn assign(&mut self, connection: ConnectionId, exchange: Exchange) {
        let Some(state) = self.connections.get_mut(&connection) else {
            ensure!(self, false, "an idle connection that is not known");
            return;
        };
        ensure!(
            self,
            state.exchange.is_none() && state.phase != ConnectionPhase::Busy,
            "two orders on one connection"
        );
        let (worker, connection_address) = (state.worker, state.address);
        if self.permit(Occasion::Connected, worker, connection_address, exchange).is_err() {
            self.make_idle(connection);
            return self.not_sent(worker, exchange);
        }
        let now = self.now;
        let until = match exchange {
            Exchange::Probe => {
                self.effects.push(Effect::Probe { connection });
                now + self.connect_timeout / 2
            }
            Exchange::Execution(submission, execution) => {
                let Some(attempt) = self.attempt(submission, execution) else { return };
                attempt.connection = Some(connection);
                let until = attempt.deadline;
                if !self.persist_before_send(connection, submission, execution) {
                    let accepted = self.accepted[submission as usize]
                        .as_ref()
                        .map(|t| (t.request.clone(), t.settings_version));
                    let (request, version) = accepted.unwrap_or_default();
                    self.effects.push(Effect::Send { connection, request, timeout: until - now, version });
                }
                until
            }
        };
        if let Some(state) = self.connections.get_mut(&connection) {
            state.idle_before_exchange = (state.phase == ConnectionPhase::Idle).then_some(now - state.since);
            (state.phase, state.exchange) = (ConnectionPhase::Busy, Some(exchange));
        }
        self.limit_connection(connection, until);
    }

    /// The outcome of what the connection carries is known.
    pub(crate) fn finish_exchange(&mut self, connection: ConnectionId) -> Option<Exchange> {
        let state = self.connections.get_mut(&connection)?;
        let exchange = state.exchange.take();
        let idled = state.idle_before_exchange.take();
        state.phase = ConnectionPhase::Finishing;
        self.workers[state.worker as usize].failure_signs.unanswered = false;
        if let Some(idled) = idled {
            self.learn_reuse_idle(idled, true);
        }
        self.limit_connection(connection, self.now + self.connect_timeout);
        exchange
    }

    /// A connection that is up has nothing to carry.
    pub(crate) fn make_idle(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let worker_state = &mut self.workers[state.worker as usize];
        if worker_state.health == Health::Gone
            || worker_state.address != state.address
            || state.close_after_exchange
        {
            return self.close_connection(connection);
        }
        (state.phase, state.exchange, state.since) = (ConnectionPhase::Idle, None, self.now);
        worker_state.idle_connections.push(connection);
        // Twice what jobs may find it at: a probe then shows whether they could.
        let limit = self.idle_timeout.min(MIN_IDLE_TIMEOUT.max(2 * self.max_reuse_idle));
        self.limit_connection(connection, self.now + limit);
    }

    pub(crate) fn connection_established(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let signs = &mut self.workers[state.worker as usize].failure_signs;
        (signs.established, signs.failed_connects) = (signs.established + 1, 0);
        state.established = true;
        match state.exchange.take() {
            Some(exchange) => self.assign(connection, exchange),
            None => self.make_idle(connection),
        }
    }

    pub(crate) fn connection_lost(&mut self, connection: ConnectionId, disconnect: Disconnect) {
        let Some(state) = self.remove_connection(connection) else { return };
        if !disconnect.local_fault {
            self.detect_process_loss(&state, disconnect.response_started);
        }
        let Some(exchange) = state.exchange else {
            let told = state.phase == ConnectionPhase::Idle && !disconnect.unexpected_data;
            if told && self.workers[state.worker as usize].health == Health::Ready {
                self.learn_reuse_idle(self.now - state.since, false);
            }
            return;
        };
        let opening = state.phase == ConnectionPhase::Opening;
        if disconnect.local_fault || (opening && !self.is_still_permitted(&state, exchange)) {
            return self.not_sent(state.worker, exchange);
        }
        // Closed at the other end while it was idle, which says nothing of the worker. Before the last byte
        // was written, and for a probe at any time, a new one does as well.
        if let Some(idled) = state.idle_before_exchange.filter(|_| !disconnect.response_started) {
            if !disconnect.unexpected_data {
                self.learn_reuse_idle(idled, false);
            }
            self.stats.stale += 1;
            return match (exchange, disconnect.request_written) {
                (Exchange::Execution(submission, execution), true) => {
                    self.execution_ended(submission, execution, Outcome::Stale, None, None);
                }
                _ if self.permit(Occasion::Reconnect, state.worker, state.address, exchange).is_ok() => {
                    self.open_connection(state.worker, exchange)
                }
                _ => self.not_sent(state.worker, exchange),
            };
        }
        match exchange {
            Exchange::Probe => self.probe_ended(state.worker, Some(false), None),
            Exchange::Execution(submission, execution) => {
                // After the last byte nobody can tell whether it ran.
                let outcome =
                    if disconnect.request_written { Outcome::Reset } else { Outcome::ConnectFailed };
                self.execution_ended(submission, execution, outcome, None, None);
            }
        }
    }

    /// Whether what broke, with what broke just before, or could not be made, tells that the process was lost.
    /// One connection that breaks tells nothing, nor do idle ones that were closed at the other end.
    pub(crate) fn detect_process_loss(&mut self, state: &ConnectionState, answered: bool) {
        let now = self.now;
        let signs = &mut self.workers[state.worker as usize].failure_signs;
        let lost = if state.established {
            if now > signs.last_disconnect + PROCESS_LOSS_WINDOW {
                (signs.recent_disconnects, signs.exchange_interrupted) = (0, false);
            }
            (signs.recent_disconnects, signs.last_disconnect) = (signs.recent_disconnects + 1, now);
            // Before any answer it may have been closed while it was idle.
            signs.exchange_interrupted |= state.exchange.is_some() && answered;
            signs.unanswered || (signs.exchange_interrupted && signs.recent_disconnects > 1)
        } else {
            // One may be refused for other reasons, such as a full table.
            signs.failed_connects += 1;
            signs.failed_connects >= PROCESS_LOSS_CONNECT_FAILURES
        };
        if lost && signs.established == 0 {
            (signs.recent_disconnects, signs.failed_connects) = (0, 0);
            self.stats.died += 1;
            self.pending_events.push_back(Event::Died { worker: state.worker });
        }
    }

    pub(crate) fn remove_connection(&mut self, connection: ConnectionId) -> Option<ConnectionState> {
        let state = self.connections.remove(&connection)?;
        let worker_state = &mut self.workers[state.worker as usize];
        worker_state.open_connections -= 1;
        worker_state.failure_signs.established -= usize::from(state.established);
        if state.phase == ConnectionPhase::Idle {
            self.workers[state.worker as usize].idle_connections.retain(|l| *l != connection);
        }
        Some(state)
    }

    pub(crate) fn close_connection(&mut self, connection: ConnectionId) {
        if self.remove_connection(connection).is_some() {
            self.effects.push(Effect::CloseConnection { connection });
        }
    }
}
