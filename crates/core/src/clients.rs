//! Clients' connections and what they hand in.

use linestack_recovery::Fate;

use super::*;

impl Core {
    pub(crate) fn client_connected(&mut self, client: ClientId) {
        let (since, newcomer_since) = (self.now, Some(self.now));
        let state = ClientState {
            submission: None,
            phase: Phase::Idle,
            since,
            newcomer_since,
            evicted: false,
            limit: Limit::NONE,
        };
        self.clients.insert(client, state);
        self.client_phase(client, Phase::Idle);
        self.make_room_after(client);
    }

    /// Lets one go that rests while the node stops: a newcomer once the request that it came for should be here.
    pub(crate) fn close_when_idle(&mut self, client: ClientId) {
        let Some(state) = self.clients.get(&client) else { return };
        let until = match (state.phase, state.newcomer_since) {
            (Phase::Leaving, _) => state.limit.until.min(self.now + CLOSE_GRACE),
            (_, Some(since)) => since + CLOSE_GRACE,
            (_, None) => self.now,
        };
        if until > self.now {
            self.limit_client(client, until);
        } else {
            self.effects.push(Effect::CloseClient { client });
        }
    }

    pub(crate) fn client_phase(&mut self, client: ClientId, phase: Phase) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        if phase == Phase::Reading && state.phase == Phase::Reading {
            // A byte now and then buys no time.
            return;
        }
        (state.phase, state.since) = (phase, self.now);
        state.evicted &= phase != Phase::Leaving;
        let until = match (phase, state.newcomer_since) {
            (Phase::Idle | Phase::Reading, Some(since)) => since + REQUEST_READ_TIMEOUT,
            (Phase::Idle, None) => self.now + CLIENT_IDLE_TIMEOUT,
            (Phase::Reading | Phase::Leaving, _) => self.now + REQUEST_READ_TIMEOUT,
            (Phase::Answering, _) => self.now + RESPONSE_READ_TIMEOUT,
        };
        self.limit_client(client, until);
        if self.closing_clients && matches!(phase, Phase::Idle | Phase::Leaving) {
            self.close_when_idle(client);
        }
    }

    pub(crate) fn client_disconnected(&mut self, client: ClientId) {
        let Some(state) = self.clients.remove(&client) else { return };
        self.update_room();
        if let Some(submission) = state.submission {
            self.stats.left += 1;
            self.release_client(submission);
            if let Some(accepted) = self.accepted.get_mut(submission as usize).and_then(Option::as_mut) {
                accepted.client_left = true;
            }
            self.pending_events.push_back(Event::Left { submission });
        }
    }

    pub(crate) fn submitted(&mut self, client: ClientId, intake: NewSubmission) {
        let settled = self.answer_from_store(&intake);
        let too_early = if settled.is_none() {
            self.refused_before_first_list().or_else(|| self.refused_by_start())
        } else {
            None
        };
        let Some(state) = self.clients.get_mut(&client) else { return };
        ensure!(self, state.submission.is_none(), "two submissions at once on a connection");
        // Checked here and by the time that this input came with, lest a node that was asleep takes what it may
        // not before anybody has told it.
        if self.now >= self.lease_until {
            self.stats.fenced += 1;
            state.newcomer_since = None;
            self.client_phase(client, Phase::Answering);
            let answer = Answer::Dismissed(self.max_retry_after.map(|most| most / 8));
            let (last, version) = (self.closing_clients, self.settings_version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(answer) = settled {
            self.stats.remembered += 1;
            state.newcomer_since = None;
            self.client_phase(client, Phase::Answering);
            let (last, version) = (self.closing_clients, self.settings_version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(come_back) = too_early {
            state.newcomer_since = None;
            self.client_phase(client, Phase::Answering);
            let (last, version, answer) =
                (self.closing_clients, self.settings_version, Answer::Dismissed(come_back));
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        // It would be a second copy of what its holder has out, and an executor that is asked twice for one
        // id looks as if it failed.
        if !self.open_ids.insert(intake.request.id.clone()) {
            self.stats.turned_down += 1;
            self.client_phase(client, Phase::Answering);
            return self.effects.push(Effect::Answer {
                client,
                answer: Answer::DuplicateId,
                last: true,
                version: self.settings_version,
            });
        }
        let submission = self.free_submissions.pop().unwrap_or(self.accepted.len() as Submission);
        if submission as usize == self.accepted.len() {
            self.accepted.push(None);
        }
        (state.submission, state.phase, state.newcomer_since) = (Some(submission), Phase::Reading, None);
        state.limit.until = Nanos::MAX;
        self.stats.taken += 1;
        let deadline = (self.now + intake.timeout.min(self.max_client_timeout)).min(self.answer_deadline);
        let NewSubmission { product, tenant, slots, memory, request, .. } = intake;
        self.set_key_open(product, &request, true);
        let (serial, client, executions) = (self.stats.taken, Some(client), Vec::new());
        self.accepted[submission as usize] = Some(AcceptedSubmission {
            serial,
            client,
            client_left: false,
            settings_version: self.settings_version,
            persisted: false,
            product,
            deadline,
            request,
            executions,
        });
        self.set_timer(deadline, Timer::Deadline(submission, serial));
        let job = Job { product, tenant, cut_off: deadline, slots, memory };
        self.pending_events.push_back(Event::Submitted { submission, job });
    }

    /// The client is no longer owed an answer.
    pub(crate) fn release_client(&mut self, submission: Submission) -> Option<ClientId> {
        let client = self.accepted.get_mut(submission as usize)?.as_mut()?.client.take();
        if let Some(state) = client.and_then(|c| self.clients.get_mut(&c)) {
            state.submission = None;
        }
        client
    }

    pub(crate) fn answer(&mut self, submission: Submission, answer: Answer) {
        let version =
            self.accepted.get(submission as usize).and_then(Option::as_ref).map_or(0, |t| t.settings_version);
        let Some(client) = self.release_client(submission) else {
            ensure!(self, false, "a second final answer");
            return;
        };
        match answer {
            Answer::Completed(_) => self.stats.satisfied += 1,
            Answer::Dismissed(_) => self.stats.dismissed += 1,
            Answer::Aborted => self.stats.aborted += 1,
            Answer::DuplicateId => {}
        }
        if matches!(answer, Answer::Dismissed(_)) {
            self.record_outcome(submission, Fate::Unsent);
        }
        self.client_phase(client, Phase::Answering);
        self.effects.push(Effect::Answer { client, answer, last: self.closing_clients, version });
    }
}
