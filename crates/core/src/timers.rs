//! Time limits.

use super::*;

impl Core {
    pub(crate) fn arm(&mut self, at: Nanos, timer: Timer) {
        self.next_timer += 1;
        self.timers.push(Reverse((at, self.next_timer, timer)));
    }

    pub(crate) fn limit_link(&mut self, connection: ConnectionId, until: Nanos) {
        let Some(line) = self.links.get_mut(&connection) else { return };
        line.limit.until = until;
        if until < line.limit.armed {
            line.limit.armed = until;
            self.arm(until, Timer::Link(connection));
        }
    }

    pub(crate) fn limit_client(&mut self, client: ClientId, until: Nanos) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        state.limit.until = until;
        if until < state.limit.armed {
            state.limit.armed = until;
            self.arm(until, Timer::Client(client));
        }
    }

    pub(crate) fn tick(&mut self) {
        while let Some(Reverse((at, _, timer))) = self.timers.peek().copied() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            self.ring(at, timer);
            self.settle();
        }
    }

    pub(crate) fn ring(&mut self, at: Nanos, timer: Timer) {
        match timer {
            Timer::Ring(token) => self.pending.push_back(Event::TimerFired { timer_id: token }),
            Timer::Link(connection) => {
                let Some(line) = self.links.get_mut(&connection).filter(|l| l.limit.armed == at) else {
                    return;
                };
                line.limit.armed = Nanos::MAX;
                let until = line.limit.until;
                if until > self.now {
                    self.limit_link(connection, until);
                } else {
                    self.overdue(connection);
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
            Timer::CutOff(submission, number) => {
                let taken = self.taken.get(submission as usize).and_then(Option::as_ref);
                if taken.is_some_and(|t| t.number == number && t.client.is_some() && t.cut_off <= self.now) {
                    must!(self, false, "a submission unanswered at its cut-off");
                    self.answer(submission, Answer::Aborted);
                    self.pending.push_back(Event::ClientLeft { submission });
                }
            }
            // Another time may have been settled since.
            Timer::Watch if self.call_at != Some(at) => {}
            Timer::Watch => match self.list_in() {
                Some(later) => self.call_at(later),
                None => {
                    self.call_at = None;
                    self.effects.push(Effect::RequestList);
                }
            },
            // The reducer looks where the start is after each input.
            Timer::Stage => {}
            Timer::Open(connection) => self.turn_came(connection),
            Timer::Room => self.make_room_in_time(),
            Timer::Leave => self.leaving = true,
            Timer::LastCall => {
                // Taken before the stop, with a cut-off that lies after the kill: unanswered, they would be lost
                // with the process.
                let open = (0..).zip(&self.taken).filter_map(|(i, t)| Some((i, t.as_ref()?.client?)));
                for (submission, _) in open.collect::<Vec<(Submission, ClientId)>>() {
                    self.answer(submission, Answer::Aborted);
                    self.pending.push_back(Event::ClientLeft { submission });
                }
            }
            Timer::End => self.effects.push(Effect::Exit),
            Timer::Refuse => {
                self.refusing = true;
                self.arm(self.now + STAY, Timer::Leave);
                let resting = self.clients.iter().filter(|(_, g)| g.submission.is_none());
                let resting = resting.filter(|(_, g)| matches!(g.phase, Phase::Idle | Phase::Leaving));
                let mut resting: Vec<ClientId> = resting.map(|(c, _)| *c).collect();
                resting.sort_unstable();
                resting.into_iter().for_each(|client| self.send_off(client));
            }
            Timer::Report => {
                self.forget_fates();
                self.effects.push(Effect::Report(self.stats()));
                self.arm(self.now.max(at) + REPORT_EVERY, Timer::Report);
            }
        }
    }

    /// A connection has used up its time.
    pub(crate) fn overdue(&mut self, connection: ConnectionId) {
        let Some(line) = self.links.get(&connection) else { return };
        let (worker, stage, load) = (line.worker, line.stage, line.load);
        if load.is_some() {
            self.workers[worker as usize].seen.silent = true;
        }
        let Some(line) = self.forget_link(connection) else { return };
        self.effects.push(Effect::CloseConnection { connection });
        if stage == Stage::Opening {
            self.broke(&line, false);
        }
        match load {
            None => {}
            Some(Load::Probe) => self.probed(worker, Some(false), None),
            Some(Load::Execution(submission, execution)) => {
                let outcome = match stage {
                    Stage::Opening if self.stands(&line, Load::Execution(submission, execution)) => {
                        Outcome::ConnectFailed
                    }
                    Stage::Opening => Outcome::NotSent,
                    _ => Outcome::TimedOut,
                };
                self.ended(submission, execution, outcome, None, None);
            }
        }
    }
}
