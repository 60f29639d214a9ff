//! Clients' connections and what they hand in.

use linestack_recovery::StoredOutcome;

use super::*;

impl Core {
    pub(crate) fn client_up(&mut self, client: ClientId) {
        let (since, newcomer) = (self.now, Some(self.now));
        let state = ClientState {
            submission: None,
            phase: Phase::Idle,
            since,
            newcomer,
            evicted: false,
            limit: Limit::NONE,
        };
        self.clients.insert(client, state);
        self.client_phase(client, Phase::Idle);
        self.make_room_behind(client);
    }

    /// Lets one go that rests while the node stops: a newcomer once the request that it came for should be here.
    pub(crate) fn send_off(&mut self, client: ClientId) {
        let Some(state) = self.clients.get(&client) else { return };
        let until = match (state.phase, state.newcomer) {
            (Phase::Leaving, _) => state.limit.until.min(self.now + STAY),
            (_, Some(since)) => since + STAY,
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
        let until = match (phase, state.newcomer) {
            (Phase::Idle | Phase::Reading, Some(since)) => since + HANDING_IN,
            (Phase::Idle, None) => self.now + CLIENT_IDLE,
            (Phase::Reading | Phase::Leaving, _) => self.now + HANDING_IN,
            (Phase::Answering, _) => self.now + CLIENT_PATIENCE,
        };
        self.limit_client(client, until);
        if self.refusing && matches!(phase, Phase::Idle | Phase::Leaving) {
            self.send_off(client);
        }
    }

    pub(crate) fn client_gone(&mut self, client: ClientId) {
        let Some(state) = self.clients.remove(&client) else { return };
        self.note_room();
        if let Some(submission) = state.submission {
            self.stats.left += 1;
            self.release(submission);
            if let Some(taken) = self.taken.get_mut(submission as usize).and_then(Option::as_mut) {
                taken.client_left = true;
            }
            self.pending.push_back(Event::ClientLeft { submission });
        }
    }

    pub(crate) fn submitted(&mut self, client: ClientId, intake: NewSubmission) {
        let settled = self.settled(&intake);
        let too_early = if settled.is_none() {
            self.refused_before_first_list().or_else(|| self.too_many_yet())
        } else {
            None
        };
        let Some(state) = self.clients.get_mut(&client) else { return };
        must!(self, state.submission.is_none(), "two submissions at once on a connection");
        // Checked here and by the time that this input came with, lest a node that was asleep takes what it may
        // not before anybody has told it.
        if self.now >= self.leave {
            self.stats.fenced += 1;
            state.newcomer = None;
            self.client_phase(client, Phase::Answering);
            let answer = Answer::Dismissed(self.come_back.map(|most| most / 8));
            let (last, version) = (self.refusing, self.version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(answer) = settled {
            self.stats.remembered += 1;
            state.newcomer = None;
            self.client_phase(client, Phase::Answering);
            let (last, version) = (self.refusing, self.version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(come_back) = too_early {
            state.newcomer = None;
            self.client_phase(client, Phase::Answering);
            let (last, version, answer) = (self.refusing, self.version, Answer::Dismissed(come_back));
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        // It would be a second copy of what its holder has out, and an executor that is asked twice for one
        // id looks as if it failed.
        if !self.ids.insert(intake.request.id.clone()) {
            self.stats.turned_down += 1;
            self.client_phase(client, Phase::Answering);
            return self.effects.push(Effect::Answer {
                client,
                answer: Answer::DuplicateId,
                last: true,
                version: self.version,
            });
        }
        let submission = self.free.pop().unwrap_or(self.taken.len() as Submission);
        if submission as usize == self.taken.len() {
            self.taken.push(None);
        }
        (state.submission, state.phase, state.newcomer) = (Some(submission), Phase::Reading, None);
        state.limit.until = Nanos::MAX;
        self.stats.taken += 1;
        let cut_off = (self.now + intake.timeout.min(self.longest_wait)).min(self.last_call);
        let NewSubmission { product, tenant, slots, memory, request, .. } = intake;
        self.hold_key(product, &request, true);
        let (number, client, executions) = (self.stats.taken, Some(client), Vec::new());
        self.taken[submission as usize] = Some(Taken {
            number,
            client,
            client_left: false,
            version: self.version,
            kept: false,
            product,
            cut_off,
            request,
            executions,
        });
        self.arm(cut_off, Timer::CutOff(submission, number));
        let job = Job { product, tenant, deadline: cut_off, slots, memory };
        self.pending.push_back(Event::Submitted { submission, job });
    }

    /// The client is no longer owed an answer.
    pub(crate) fn release(&mut self, submission: Submission) -> Option<ClientId> {
        let client = self.taken.get_mut(submission as usize)?.as_mut()?.client.take();
        if let Some(state) = client.and_then(|c| self.clients.get_mut(&c)) {
            state.submission = None;
        }
        client
    }

    pub(crate) fn answer(&mut self, submission: Submission, answer: Answer) {
        let version = self.taken.get(submission as usize).and_then(Option::as_ref).map_or(0, |t| t.version);
        let Some(client) = self.release(submission) else {
            must!(self, false, "a second final answer");
            return;
        };
        match answer {
            Answer::Completed(_) => self.stats.satisfied += 1,
            Answer::Dismissed(_) => self.stats.dismissed += 1,
            Answer::Aborted => self.stats.aborted += 1,
            Answer::DuplicateId => {}
        }
        if matches!(answer, Answer::Dismissed(_)) {
            self.fated(submission, StoredOutcome::NeverSent);
        }
        self.client_phase(client, Phase::Answering);
        self.effects.push(Effect::Answer { client, answer, last: self.refusing, version });
    }
}
