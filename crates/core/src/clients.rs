//! Client connections and the submissions that arrive on them.

use linestack_recovery::StoredOutcome;

use super::staged_start::StartRefusal;
use super::*;

impl Core {
    /// Registers a new connection of a client, and makes room for the next one if room is short.
    pub(crate) fn client_connected(&mut self, client: ClientId) {
        let state = ClientState {
            submission: None,
            phase: ClientPhase::Idle,
            since: self.now,
            new_since: Some(self.now),
            evicted: false,
            limit: Limit::NONE,
        };
        self.clients.insert(client, state);
        self.set_client_phase(client, ClientPhase::Idle);
        self.make_room_after(client);
    }

    /// Closes an idle connection while the node stops. A client that has just connected is given [`CLOSE_GRACE`] first,
    /// because its request is probably in transit.
    pub(crate) fn close_when_idle(&mut self, client: ClientId) {
        let Some(state) = self.clients.get(&client) else { return };
        let close_at = match (state.phase, state.new_since) {
            (ClientPhase::Closing, _) => state.limit.until.min(self.now + CLOSE_GRACE),
            (_, Some(since)) => since + CLOSE_GRACE,
            (_, None) => self.now,
        };
        if close_at > self.now {
            self.limit_client(client, close_at);
        } else {
            self.effects.push(Effect::CloseClient { client });
        }
    }

    /// Records which phase a client connection is in, and sets the time limit of that phase.
    pub(crate) fn set_client_phase(&mut self, client: ClientId, phase: ClientPhase) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        if phase == ClientPhase::Reading && state.phase == ClientPhase::Reading {
            // A client that sends a byte now and then gets no more time.
            return;
        }
        (state.phase, state.since) = (phase, self.now);
        state.evicted &= phase != ClientPhase::Closing;
        let until = match (phase, state.new_since) {
            (ClientPhase::Idle | ClientPhase::Reading, Some(since)) => since + REQUEST_READ_TIMEOUT,
            (ClientPhase::Idle, None) => self.now + CLIENT_IDLE_TIMEOUT,
            (ClientPhase::Reading | ClientPhase::Closing, _) => self.now + REQUEST_READ_TIMEOUT,
            (ClientPhase::Answering, _) => self.now + RESPONSE_READ_TIMEOUT,
        };
        self.limit_client(client, until);
        if self.closing_clients && matches!(phase, ClientPhase::Idle | ClientPhase::Closing) {
            self.close_when_idle(client);
        }
    }

    /// Removes a client connection; an open submission of it is abandoned.
    pub(crate) fn client_disconnected(&mut self, client: ClientId) {
        let Some(mut state) = self.clients.remove(&client) else { return };
        state.limit.cancel(&mut self.timers);
        self.update_room();
        if let Some(submission) = state.submission {
            self.stats.left += 1;
            self.release_client(submission);
            if let Some(accepted) = self.accepted.get_mut(submission as usize).and_then(Option::as_mut) {
                accepted.client_left = true;
            }
            self.pending_events.push_back(Event::ClientLeft { submission });
        }
    }

    /// Accepts a submission and passes it to the dispatcher, or answers it at once.
    pub(crate) fn submitted(&mut self, client: ClientId, new: NewSubmission) {
        let stored_answer = self.answer_from_store(&new);
        let refused_during_start = if stored_answer.is_none() {
            self.refused_before_first_list().or_else(|| self.refused_by_start())
        } else {
            None
        };
        let Some(state) = self.clients.get_mut(&client) else { return };
        check_invariant!(self, state.submission.is_none(), "two open submissions on one client connection");
        // The lease is checked here, against the time of this very input: a node whose machine was suspended would otherwise
        // accept submissions after its lease has expired and before any input has informed it of this.
        if self.now >= self.lease_until {
            self.stats.fenced += 1;
            state.new_since = None;
            self.set_client_phase(client, ClientPhase::Answering);
            let answer = Answer::Dismissed(self.short_retry_after());
            let (last, version) = (self.closing_clients, self.settings_version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(answer) = stored_answer {
            self.stats.remembered += 1;
            state.new_since = None;
            self.set_client_phase(client, ClientPhase::Answering);
            let (last, version) = (self.closing_clients, self.settings_version);
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        if let Some(StartRefusal { retry_after }) = refused_during_start {
            state.new_since = None;
            self.set_client_phase(client, ClientPhase::Answering);
            let (last, version, answer) =
                (self.closing_clients, self.settings_version, Answer::Dismissed(retry_after));
            return self.effects.push(Effect::Answer { client, answer, last, version });
        }
        // A second submission with an id that is still open, or that may have run without its client knowing how it ended,
        // would be a copy of the first, and an executor that is asked twice for one id answers with an error, which would
        // count as a failure of the executor.
        let id = &new.request.id;
        if self.recent_ids.contains(id) || !self.open_ids.insert(id.clone()) {
            self.stats.turned_down += 1;
            self.set_client_phase(client, ClientPhase::Answering);
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
        (state.submission, state.phase, state.new_since) = (Some(submission), ClientPhase::Reading, None);
        state.limit.until = Nanos::MAX;
        self.stats.taken += 1;
        let deadline = (self.now + new.timeout.min(self.max_client_timeout)).min(self.answer_deadline);
        let NewSubmission { product, tenant, slots, memory, request, .. } = new;
        self.set_key_open(product, &request, true);
        let (serial, client, executions) = (self.stats.taken, Some(client), Vec::new());
        let deadline_timer = self.timers.set(deadline, Timer::Deadline(submission));
        self.accepted[submission as usize] = Some(AcceptedSubmission {
            serial,
            client,
            client_left: false,
            aborted: false,
            settings_version: self.settings_version,
            persisted: false,
            product,
            deadline_timer,
            request,
            executions,
        });
        let job = Job { product, tenant, deadline, slots, memory };
        self.pending_events.push_back(Event::Submitted { submission, job });
    }

    /// Detaches a submission from its client and drops its body. Returns the client, if it still waits for an answer.
    pub(crate) fn release_client(&mut self, submission: Submission) -> Option<ClientId> {
        let accepted = self.accepted.get_mut(submission as usize)?.as_mut()?;
        let client = accepted.client.take();
        self.timers.cancel(accepted.deadline_timer);
        // Nothing is sent for this submission any more, and an execution may last long after its client has left.
        if !accepted.request.body.is_empty() {
            accepted.request = Arc::new(accepted.request.without_body());
        }
        if let Some(state) = client.and_then(|c| self.clients.get_mut(&c)) {
            state.submission = None;
        }
        client
    }

    /// Sends the final answer to the client of a submission.
    pub(crate) fn answer(&mut self, submission: Submission, answer: Answer) {
        let version =
            self.accepted.get(submission as usize).and_then(Option::as_ref).map_or(0, |a| a.settings_version);
        let Some(client) = self.release_client(submission) else {
            check_invariant!(self, false, "second final answer to a submission");
            return;
        };
        match answer {
            Answer::Completed(_) => self.stats.satisfied += 1,
            Answer::Dismissed(_) => self.stats.dismissed += 1,
            Answer::Aborted => {
                self.stats.aborted += 1;
                if let Some(accepted) = self.accepted.get_mut(submission as usize).and_then(Option::as_mut) {
                    accepted.aborted = true;
                }
            }
            Answer::DuplicateId => {}
        }
        if matches!(answer, Answer::Dismissed(_)) {
            self.record_outcome(submission, StoredOutcome::NeverSent);
        }
        self.set_client_phase(client, ClientPhase::Answering);
        self.effects.push(Effect::Answer { client, answer, last: self.closing_clients, version });
    }
}
