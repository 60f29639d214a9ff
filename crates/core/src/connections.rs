//! The pool of connections to executors: opening, reusing and closing them.

use super::*;

impl Core {
    /// Takes an idle connection from the pool, the most recently used one first.
    ///
    /// A job never gets a connection that has been idle longer than `max_reuse_idle`: the executor may have closed it
    /// already, and whether a request written to a closed connection has run is unknown. A probe may use any of them, since
    /// it can be repeated, and its result shows how long idle connections last.
    pub(crate) fn take_idle_connection(
        &mut self,
        worker: Worker,
        exchange: Exchange,
    ) -> Option<ConnectionId> {
        let (connections, now) = (&self.connections, self.now);
        let idle = &mut self.workers.get_mut(worker as usize)?.idle_connections;
        let position = idle
            .iter()
            .rposition(|connection| connections.get(connection).is_some_and(|c| c.reusable_at <= now))?;
        let idle_time = now - connections.get(&idle[position])?.since;
        if exchange != Exchange::Probe && idle_time > self.max_reuse_idle {
            return None;
        }
        Some(idle.remove(position))
    }

    /// Adjusts `max_reuse_idle` after a connection that had been idle for `idle_time` was found usable or closed.
    pub(crate) fn learn_reuse_idle(&mut self, idle_time: Nanos, usable: bool) {
        if !usable {
            self.max_reuse_idle = self.max_reuse_idle.min(idle_time / REUSE_REDUCTION_DIVISOR);
        } else if idle_time >= self.max_reuse_idle / REUSE_EVIDENCE_DIVISOR {
            // The limit grows slowly, because a lost job costs far more than a new connection.
            self.max_reuse_idle =
                (self.max_reuse_idle + self.max_reuse_idle / REUSE_GROWTH_DIVISOR + REUSE_GROWTH_STEP)
                    .min(self.idle_timeout);
        }
    }

    /// Makes room for another connection: at the limit, the one that has been idle longest is closed. Returns whether there is
    /// room.
    fn make_room_for_connection(&mut self) -> bool {
        if self.connections.len() < self.max_connections {
            return true;
        }
        let idle = self.connections.iter().filter(|(_, c)| c.phase == ConnectionPhase::Idle);
        let longest_idle = idle.min_by_key(|(connection, c)| (c.since, **connection));
        let Some(connection) = longest_idle.map(|(connection, _)| *connection) else { return false };
        self.close_connection(connection);
        true
    }

    /// Opens a connection for an exchange. If there is no room for one, or a staged start puts it off until the exchange may
    /// not begin any more, the exchange is reported as not sent.
    pub(crate) fn open_connection(&mut self, worker: Worker, exchange: Exchange) {
        let begin_by = self.latest_begin(worker, exchange);
        if self.next_connect_time() >= begin_by || !self.make_room_for_connection() {
            return self.not_sent(worker, exchange);
        }
        let connection = self.next_connection;
        self.next_connection += 1;
        if let Exchange::Execution(submission, execution) = exchange
            && let Some(attempt) = self.attempt_mut(submission, execution)
        {
            attempt.connection = Some(connection);
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
        let connect_at = self.reserve_connect_time();
        let connect_by = (connect_at + self.connect_timeout).min(begin_by);
        self.limit_connection(connection, connect_by);
        if connect_at > self.now {
            return self.set_timer(connect_at, Timer::OpenConnection(connection));
        }
        let timeout = connect_by - connect_at;
        self.effects.push(Effect::OpenConnection { connection, address, timeout });
    }

    /// Reports an exchange that could not be sent for a reason that does not lie with the executor.
    pub(crate) fn not_sent(&mut self, worker: Worker, exchange: Exchange) {
        match exchange {
            Exchange::Execution(submission, execution) => {
                self.execution_ended(submission, execution, Outcome::NotSent, None, None);
            }
            Exchange::Probe => self.probe_ended(worker, ProbeOutcome::Inconclusive, None),
        }
    }

    /// Starts an exchange on an established connection that carries none.
    pub(crate) fn assign(&mut self, connection: ConnectionId, exchange: Exchange) {
        let Some(state) = self.connections.get_mut(&connection) else {
            check_invariant!(self, false, "exchange assigned to an unknown connection");
            return;
        };
        check_invariant!(
            self,
            state.exchange.is_none() && state.phase != ConnectionPhase::Busy,
            "two exchanges on one connection"
        );
        let (worker, connection_address) = (state.worker, state.address);
        if self.permit(Occasion::Connected, worker, connection_address, exchange).is_err() {
            self.make_idle(connection);
            return self.not_sent(worker, exchange);
        }
        let now = self.now;
        let deadline = match exchange {
            Exchange::Probe => {
                self.effects.push(Effect::Probe { connection });
                now + self.connect_timeout / PROBE_TIMEOUT_DIVISOR
            }
            Exchange::Execution(submission, execution) => {
                let Some(attempt) = self.attempt_mut(submission, execution) else { return };
                attempt.connection = Some(connection);
                let deadline = attempt.deadline;
                if !self.persist_before_send(connection, submission, execution) {
                    let accepted = self.accepted[submission as usize]
                        .as_ref()
                        .map(|a| (a.request.clone(), a.settings_version));
                    let (request, version) = accepted.unwrap_or_default();
                    let timeout = deadline - now;
                    self.record_send(submission, execution);
                    self.effects.push(Effect::Send { connection, request, timeout, version });
                }
                deadline
            }
        };
        if let Some(state) = self.connections.get_mut(&connection) {
            state.idle_before_exchange = (state.phase == ConnectionPhase::Idle).then_some(now - state.since);
            (state.phase, state.exchange) = (ConnectionPhase::Busy, Some(exchange));
        }
        self.limit_connection(connection, deadline);
    }

    /// Takes the exchange off a connection once its outcome is known; the rest of the response may still be coming in.
    pub(crate) fn finish_exchange(&mut self, connection: ConnectionId) -> Option<Exchange> {
        let state = self.connections.get_mut(&connection)?;
        let exchange = state.exchange.take();
        let idle_time = state.idle_before_exchange.take();
        state.phase = ConnectionPhase::Finishing;
        self.workers[state.worker as usize].failure_signs.unanswered = false;
        if let Some(idle_time) = idle_time {
            self.learn_reuse_idle(idle_time, true);
        }
        self.limit_connection(connection, self.now + self.connect_timeout);
        exchange
    }

    /// Returns an established connection to the pool. The connection is closed instead if its executor has left or moved, or
    /// if it was to be closed after its last exchange.
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
        let idle_time = self.idle_timeout.min(MIN_IDLE_TIMEOUT.max(KEPT_IDLE_FACTOR * self.max_reuse_idle));
        self.limit_connection(connection, self.now + idle_time);
    }

    /// Handles a connection that has come up: starts the exchange that waits for it, if there is one.
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

    /// Handles a connection that broke, was closed by the executor or could not be opened.
    pub(crate) fn connection_lost(&mut self, connection: ConnectionId, disconnect: Disconnect) {
        let Some(state) = self.remove_connection(connection) else { return };
        if !disconnect.local_fault {
            self.detect_process_loss(&state, disconnect.response_started);
        }
        let Some(exchange) = state.exchange else {
            let closed_idle = state.phase == ConnectionPhase::Idle && !disconnect.unexpected_data;
            if closed_idle && self.workers[state.worker as usize].health == Health::Ready {
                self.learn_reuse_idle(self.now - state.since, false);
            }
            return;
        };
        let opening = state.phase == ConnectionPhase::Opening;
        if disconnect.local_fault || (opening && !self.is_still_permitted(&state, exchange)) {
            return self.not_sent(state.worker, exchange);
        }
        // The executor closed the connection while it was idle, which says nothing about the executor's health. If the last
        // byte of the request was not written yet, and for a probe in any case, a new connection serves as well.
        if let Some(idle_time) = state.idle_before_exchange.filter(|_| !disconnect.response_started) {
            if !disconnect.unexpected_data {
                self.learn_reuse_idle(idle_time, false);
            }
            self.stats.stale += 1;
            return match (exchange, disconnect.request_written) {
                (Exchange::Execution(submission, execution), true) => {
                    self.execution_ended(submission, execution, Outcome::StaleConnection, None, None);
                }
                _ if self.permit(Occasion::Reconnect, state.worker, state.address, exchange).is_ok() => {
                    self.open_connection(state.worker, exchange)
                }
                _ => self.not_sent(state.worker, exchange),
            };
        }
        match exchange {
            Exchange::Probe => self.probe_ended(state.worker, ProbeOutcome::Failed, None),
            Exchange::Execution(submission, execution) => {
                // Once the last byte is written, whether the job ran is unknown.
                let outcome =
                    if disconnect.request_written { Outcome::Reset } else { Outcome::ConnectFailed };
                self.execution_ended(submission, execution, outcome, None, None);
            }
        }
    }

    /// Reports the executor's process as lost if this disconnect, together with the preceding ones, shows it.
    ///
    /// A single broken connection is no evidence, and neither are idle connections that the executor closed.
    pub(crate) fn detect_process_loss(&mut self, state: &ConnectionState, response_started: bool) {
        let now = self.now;
        let signs = &mut self.workers[state.worker as usize].failure_signs;
        let lost = if state.established {
            if now > signs.last_disconnect + PROCESS_LOSS_WINDOW {
                (signs.recent_disconnects, signs.exchange_interrupted) = (0, false);
            }
            (signs.recent_disconnects, signs.last_disconnect) = (signs.recent_disconnects + 1, now);
            // Before any part of a response, the connection may have been closed while it was idle.
            signs.exchange_interrupted |= state.exchange.is_some() && response_started;
            signs.unanswered || (signs.exchange_interrupted && signs.recent_disconnects > 1)
        } else {
            // A single connection may be refused for other reasons, such as a full table.
            signs.failed_connects += 1;
            signs.failed_connects >= PROCESS_LOSS_CONNECT_FAILURES
        };
        if lost && signs.established == 0 {
            (signs.recent_disconnects, signs.failed_connects) = (0, 0);
            self.stats.died += 1;
            self.pending_events.push_back(Event::ProcessLost { worker: state.worker });
        }
    }

    /// Removes a connection from the records; the socket is not touched.
    pub(crate) fn remove_connection(&mut self, connection: ConnectionId) -> Option<ConnectionState> {
        let mut state = self.connections.remove(&connection)?;
        state.limit.cancel(&mut self.timers);
        let worker_state = &mut self.workers[state.worker as usize];
        worker_state.open_connections -= 1;
        worker_state.failure_signs.established -= usize::from(state.established);
        if state.phase == ConnectionPhase::Idle {
            self.workers[state.worker as usize].idle_connections.retain(|idle| *idle != connection);
        }
        Some(state)
    }

    /// Removes a connection from the records and closes its socket.
    pub(crate) fn close_connection(&mut self, connection: ConnectionId) {
        if self.remove_connection(connection).is_some() {
            self.effects.push(Effect::CloseConnection { connection });
        }
    }
}
