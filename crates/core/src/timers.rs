//! Time limits.

use super::*;

impl Core {
    pub(crate) fn set_timer(&mut self, at: Nanos, timer: Timer) {
        self.next_timer += 1;
        self.timers.push(Reverse((at, self.next_timer, timer)));
    }

    pub(crate) fn limit_connection(&mut self, connection: ConnectionId, until: Nanos) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.limit.until = until;
        if until < state.limit.armed {
            state.limit.armed = until;
            self.set_timer(until, Timer::Connection(connection));
        }
    }

    pub(crate) fn limit_client(&mut self, client: ClientId, until: Nanos) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        state.limit.until = until;
        if until < state.limit.armed {
            state.limit.armed = until;
            self.set_timer(until, Timer::Client(client));
        }
    }

    pub(crate) fn tick(&mut self) {
        while let Some(Reverse((at, _, timer))) = self.timers.peek().copied() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            self.timer_fired(at, timer);
            self.process_events();
        }
    }

    pub(crate) fn timer_fired(&mut self, at: Nanos, timer: Timer) {
        match timer {
            Timer::Dispatcher(token) => self.pending_events.push_back(Event::Rang { token }),
            Timer::Connection(connection) => {
                let Some(state) = self.connections.get_mut(&connection).filter(|l| l.limit.armed == at)
                else {
                    return;
                };
                state.limit.armed = Nanos::MAX;
                let until = state.limit.until;
                if until > self.now {
                    self.limit_connection(connection, until);
                } else {
                    self.connection_timed_out(connection);
                }
            }
            Timer::Client(client) => {
                let Some(state) = self.clients.get_mut(&client).filter(|g| g.limit.armed == at) else {
                    return;
                };
                state.limit.armed = Nanos::MAX;
                let (until, phase) = (state.limit.until, state.phase);
                if until == Nanos::MAX {
                } else if until > self.now {
                    self.limit_client(client, until);
                } else if phase == Phase::Idle {
                    self.effects.push(Effect::CloseClient { client });
                } else {
                    self.effects.push(Effect::DropClient { client });
                }
            }
            Timer::Deadline(submission, serial) => {
                let accepted = self.accepted.get(submission as usize).and_then(Option::as_ref);
                if accepted
                    .is_some_and(|t| t.serial == serial && t.client.is_some() && t.deadline <= self.now)
                {
                    ensure!(self, false, "a submission unanswered at its cut-off");
                    self.answer(submission, Answer::Aborted);
                    self.pending_events.push_back(Event::Left { submission });
                }
            }
            // Another time may have been settled since.
            Timer::ListCall if self.next_list_call != Some(at) => {}
            Timer::ListCall => match self.postponed_list_call() {
                Some(later) => self.schedule_list_call(later),
                None => {
                    self.next_list_call = None;
                    self.effects.push(Effect::RequestList);
                }
            },
            // The reducer looks where the start is after each input.
            Timer::StagedStart => {}
            Timer::OpenConnection(connection) => self.connect_time_reached(connection),
            Timer::ClientRoom => self.make_room_when_full(),
            Timer::ExitWhenEmpty => self.exit_when_empty = true,
            Timer::AnswerDeadline => {
                // AcceptedSubmission before the stop, with a cut-off that lies after the kill: unanswered, they would be lost
                // with the process.
                let open = (0..).zip(&self.accepted).filter_map(|(i, t)| Some((i, t.as_ref()?.client?)));
                for (submission, _) in open.collect::<Vec<(Submission, ClientId)>>() {
                    self.answer(submission, Answer::Aborted);
                    self.pending_events.push_back(Event::Left { submission });
                }
            }
            Timer::Exit => self.effects.push(Effect::Exit),
            Timer::CloseClients => {
                self.closing_clients = true;
                self.set_timer(self.now + CLOSE_GRACE, Timer::ExitWhenEmpty);
                let resting = self.clients.iter().filter(|(_, g)| g.submission.is_none());
                let resting = resting.filter(|(_, g)| matches!(g.phase, Phase::Idle | Phase::Closing));
                let mut resting: Vec<ClientId> = resting.map(|(c, _)| *c).collect();
                resting.sort_unstable();
                resting.into_iter().for_each(|client| self.close_when_idle(client));
            }
            Timer::Report => {
                self.expire_outcomes();
                self.effects.push(Effect::Report(self.stats()));
                self.set_timer(self.now.max(at) + REPORT_INTERVAL, Timer::Report);
            }
        }
    }

    /// A connection has used up its time.
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
            Some(Exchange::Probe) => self.probe_ended(worker, Some(false), None),
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
