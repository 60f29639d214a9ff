//! Timers and time limits.

use super::*;

impl Core {
    /// Sets a timer. Timers of the same time fire in the order in which they were set.
    pub(crate) fn set_timer(&mut self, at: Nanos, timer: Timer) {
        self.timers.set(at, timer);
    }

    /// Moves the time limit of a connection to an executor.
    pub(crate) fn limit_connection(&mut self, connection: ConnectionId, until: Nanos) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.limit.set(until, &mut self.timers, Timer::Connection(connection));
    }

    /// Moves the time limit of a client connection.
    pub(crate) fn limit_client(&mut self, client: ClientId, until: Nanos) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        state.limit.set(until, &mut self.timers, Timer::Client(client));
    }

    /// Fires all timers that are due.
    pub(crate) fn tick(&mut self) {
        while let Some((at, timer)) = self.timers.pop_due(self.now) {
            self.timer_fired(at, timer);
            self.process_events();
        }
    }

    /// Does what is due at a timer that was set for `at`.
    pub(crate) fn timer_fired(&mut self, at: Nanos, timer: Timer) {
        match timer {
            Timer::Dispatcher(timer_id) => self.pending_events.push_back(Event::TimerFired { timer_id }),
            Timer::Connection(connection) => {
                let Some(state) = self.connections.get_mut(&connection) else { return };
                state.limit.timer = None;
                let until = state.limit.until;
                if until > self.now {
                    self.limit_connection(connection, until);
                } else {
                    self.connection_timed_out(connection);
                }
            }
            Timer::Client(client) => {
                let Some(state) = self.clients.get_mut(&client) else { return };
                state.limit.timer = None;
                let (until, phase) = (state.limit.until, state.phase);
                if until == Nanos::MAX {
                    // The client waits for the answer to its submission.
                } else if until > self.now {
                    self.limit_client(client, until);
                } else if phase == ClientPhase::Idle {
                    self.effects.push(Effect::CloseClient { client });
                } else {
                    self.effects.push(Effect::DropClient { client });
                }
            }
            Timer::Deadline(submission) => {
                let accepted = self.accepted.get(submission as usize).and_then(Option::as_ref);
                if accepted.is_some_and(|a| a.client.is_some()) {
                    check_invariant!(self, false, "submission unanswered at its deadline");
                    self.answer(submission, Answer::Aborted);
                    self.pending_events.push_back(Event::ClientLeft { submission });
                }
            }
            // The call may have been rescheduled since the timer was set.
            Timer::ListCall if self.next_list_call != Some(at) => {}
            Timer::ListCall => match self.postponed_list_call() {
                Some(later) => self.schedule_list_call(later),
                None => {
                    self.next_list_call = None;
                    self.effects.push(Effect::RequestList);
                }
            },
            // The start is advanced after each input, so nothing is left to do here.
            Timer::StagedStart => {}
            Timer::OpenConnection(connection) => self.connect_time_reached(connection),
            Timer::ClientRoom => self.make_room_when_full(),
            Timer::ExitWhenEmpty => self.exit_when_empty = true,
            Timer::AnswerDeadline => {
                // These submissions were accepted before the stop, with deadlines after the kill. If they were not answered now,
                // they would be lost with the process.
                let open = (0..).zip(&self.accepted).filter_map(|(i, a)| Some((i, a.as_ref()?.client?)));
                for (submission, _) in open.collect::<Vec<(Submission, ClientId)>>() {
                    self.answer(submission, Answer::Aborted);
                    self.pending_events.push_back(Event::ClientLeft { submission });
                }
            }
            Timer::Exit => self.effects.push(Effect::Exit),
            Timer::CloseClients => {
                self.closing_clients = true;
                self.set_timer(self.now + CLOSE_GRACE, Timer::ExitWhenEmpty);
                let idle = self.clients.iter().filter(|(_, c)| c.submission.is_none());
                let idle = idle.filter(|(_, c)| matches!(c.phase, ClientPhase::Idle | ClientPhase::Closing));
                let mut idle: Vec<ClientId> = idle.map(|(client, _)| *client).collect();
                idle.sort_unstable();
                idle.into_iter().for_each(|client| self.close_when_idle(client));
            }
            Timer::Stats => {
                self.expire_outcomes();
                self.effects.push(Effect::LogStats(self.stats()));
                self.set_timer(self.now.max(at) + STATS_INTERVAL, Timer::Stats);
            }
        }
    }

    /// Closes a connection that has reached its time limit, and ends its exchange.
    pub(crate) fn connection_timed_out(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (worker, phase, exchange) = (state.worker, state.phase, state.exchange);
        if exchange.is_some() {
            self.workers[worker as usize].failure_signs.unanswered = true;
        }
        let Some(state) = self.remove_connection(connection) else { return };
        self.effects.push(Effect::CloseConnection { connection });
        if phase == ConnectionPhase::Opening {
            self.detect_process_loss(&state, false);
        }
        match exchange {
            None => {}
            Some(Exchange::Probe) => self.probe_ended(worker, ProbeOutcome::Failed, None),
            Some(Exchange::Execution(submission, execution)) => {
                let outcome = match phase {
                    ConnectionPhase::Opening
                        if self.is_still_permitted(&state, Exchange::Execution(submission, execution)) =>
                    {
                        Outcome::ConnectFailed
                    }
                    ConnectionPhase::Opening => Outcome::NotSent,
                    _ => Outcome::TimedOut,
                };
                self.execution_ended(submission, execution, outcome, None, None);
            }
        }
    }
}
