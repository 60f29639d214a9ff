//! Executions of submissions, from the dispatcher's action to the outcome.

use linestack_recovery::StoredOutcome;

use super::*;

impl Core {
    /// Starts an execution that the dispatcher asked for.
    pub(crate) fn execute(&mut self, submission: Submission, worker: Worker, timeout: Nanos) {
        let Some(accepted) = self.accepted.get_mut(submission as usize).and_then(Option::as_mut) else {
            check_invariant!(self, false, "execution of an unknown submission");
            return;
        };
        let execution = accepted.executions.len() as Execution;
        let deadline = self.now + timeout;
        accepted.executions.push(Attempt {
            worker,
            started_at: self.now,
            sent_at: None,
            deadline,
            connection: None,
        });
        self.workers[worker as usize].known_executions += 1;
        self.stats.executions += 1;
        let exchange = Exchange::Execution(submission, execution);
        let address = self.workers[worker as usize].address;
        let permission = self.permit(Occasion::Requested, worker, address, exchange);
        // The dispatcher's periodic work runs before the event that triggers it, so it may start a copy of a submission that
        // this very event completes.
        let completed_by_event = matches!(permission, Err(Refusal::Answered | Refusal::ClientLeft));
        check_invariant!(
            self,
            permission.is_ok() || completed_by_event,
            "dispatcher started an execution that may not begin"
        );
        if permission.is_err() {
            return self.not_sent(worker, exchange);
        }
        match self.take_idle_connection(worker, exchange) {
            Some(connection) => self.assign(connection, exchange),
            None => self.open_connection(worker, exchange),
        }
    }

    /// The record of one execution of a submission.
    pub(crate) fn attempt_mut(
        &mut self,
        submission: Submission,
        execution: Execution,
    ) -> Option<&mut Attempt> {
        let accepted = self.accepted.get_mut(submission as usize)?.as_mut()?;
        accepted.executions.get_mut(usize::from(execution))
    }

    /// Cancels an execution that waits for its connection or is in flight.
    pub(crate) fn cancel(&mut self, submission: Submission, execution: Execution) {
        let Some(connection) = self.attempt_mut(submission, execution).and_then(|a| a.connection) else {
            return;
        };
        let Some(state) = self.connections.get_mut(&connection) else { return };
        if state.phase == ConnectionPhase::Opening {
            // Nothing was sent; the connection can carry another exchange once it is established.
            state.exchange = None;
            self.execution_ended(submission, execution, Outcome::NotSent, None, None);
        } else {
            self.close_connection(connection);
            self.execution_ended(submission, execution, Outcome::Cancelled, None, None);
        }
    }

    /// Records the end of an execution, answers its client if it completed, and informs the dispatcher. `result` is the
    /// executor's response, if there is one.
    pub(crate) fn execution_ended(
        &mut self,
        submission: Submission,
        execution: Execution,
        outcome: Outcome,
        result: Option<Bytes>,
        report: Option<Report>,
    ) {
        let now = self.now;
        let Some(attempt) = self.attempt_mut(submission, execution) else { return };
        attempt.connection = None;
        if outcome.never_ran() {
            attempt.sent_at = None;
        }
        let (worker, duration) = (attempt.worker, now - attempt.started_at);
        self.inform_start_of_outcome(worker, outcome);
        let last_observation = &mut self.workers[worker as usize].last_observation;
        match outcome {
            Outcome::Completed | Outcome::Overloaded => {
                *last_observation = Some(LastObservation { at: now, answered: true, report })
            }
            Outcome::TimedOut => {
                *last_observation = Some(LastObservation { at: now, answered: false, report: None })
            }
            _ => {}
        }
        match outcome {
            Outcome::Reset => self.stats.resets += 1,
            Outcome::ConnectFailed => self.stats.connect_failed += 1,
            Outcome::TimedOut => self.stats.timed_out += 1,
            Outcome::NotSent => self.stats.not_sent += 1,
            _ => {}
        }
        if let (Outcome::Completed, Some(result)) = (outcome, &result) {
            self.record_outcome(submission, StoredOutcome::Completed(result.clone()));
        }
        let client_waits =
            |core: &Self| core.accepted[submission as usize].as_ref().is_some_and(|a| a.client.is_some());
        if let (Outcome::Completed, Some(result), true) = (outcome, result, client_waits(self)) {
            self.answer(submission, Answer::Completed(result));
        }
        let closed = !client_waits(self);
        let ending = Ending { submission, execution, worker, outcome, closed, took: duration, report };
        self.pending_events.push_back(Event::Ended(ending));
    }

    /// Records the end of a probe and informs the dispatcher.
    pub(crate) fn probe_ended(&mut self, worker: Worker, outcome: ProbeOutcome, report: Option<Report>) {
        self.stats.probes_failed += u64::from(outcome != ProbeOutcome::Answered);
        let at = self.now;
        let last_observation = &mut self.workers[worker as usize].last_observation;
        match outcome {
            ProbeOutcome::Answered => {
                *last_observation = Some(LastObservation { at, answered: true, report })
            }
            ProbeOutcome::Failed => {
                *last_observation = Some(LastObservation { at, answered: false, report: None })
            }
            ProbeOutcome::Inconclusive => {}
        }
        self.pending_events.push_back(Event::Probed { worker, outcome, report });
    }
}
