//! Executions of submissions, from the order to the outcome.

use linestack_recovery::StoredOutcome;

use super::*;

impl Core {
    pub(crate) fn execute(&mut self, submission: Submission, worker: Worker, timeout: Nanos) {
        let Some(taken) = self.taken.get_mut(submission as usize).and_then(Option::as_mut) else {
            must!(self, false, "an execution of what is not held");
            return;
        };
        let execution = taken.executions.len() as Execution;
        let until = self.now + timeout;
        taken.executions.push(Sent { worker, at: self.now, until, connection: None });
        self.workers[worker as usize].known += 1;
        self.stats.executions += 1;
        let load = Load::Execution(submission, execution);
        let address = self.workers[worker as usize].address;
        let permission = self.permit(Occasion::Order, worker, address, load);
        // The pulse of the decisions comes before the event that it runs with, and may order a copy of what that one ends.
        let overtaken = matches!(permission, Err(Refusal::Answered | Refusal::ClientLeft));
        must!(self, permission.is_ok() || overtaken, "an execution was ordered that may not begin");
        if permission.is_err() {
            return self.unsent(worker, load);
        }
        match self.pooled(worker, load) {
            Some(connection) => self.hand(connection, load),
            None => self.open(worker, load),
        }
    }

    pub(crate) fn sent(&mut self, submission: Submission, execution: Execution) -> Option<&mut Sent> {
        let taken = self.taken.get_mut(submission as usize)?.as_mut()?;
        taken.executions.get_mut(usize::from(execution))
    }

    pub(crate) fn cancel(&mut self, submission: Submission, execution: Execution) {
        let Some(connection) = self.sent(submission, execution).and_then(|a| a.connection) else { return };
        let Some(line) = self.links.get_mut(&connection) else { return };
        if line.stage == Stage::Opening {
            // Nothing was sent; the connection is as good for the next.
            line.load = None;
            self.ended(submission, execution, Outcome::NotSent, None, None);
        } else {
            self.close_link(connection);
            self.ended(submission, execution, Outcome::Cancelled, None, None);
        }
    }

    /// An execution is over, with what an executor answered or with none.
    pub(crate) fn ended(
        &mut self,
        submission: Submission,
        execution: Execution,
        outcome: Outcome,
        result: Option<Bytes>,
        report: Option<Report>,
    ) {
        let now = self.now;
        let Some(sent) = self.sent(submission, execution) else { return };
        sent.connection = None;
        let (worker, took) = (sent.worker, now - sent.at);
        self.seen_at_start(worker, outcome);
        match outcome {
            Outcome::Completed | Outcome::Overloaded => {
                self.workers[worker as usize].said = Some((now, true, report))
            }
            Outcome::TimedOut => self.workers[worker as usize].said = Some((now, false, None)),
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
            self.fated(submission, StoredOutcome::Completed(result.clone()));
        }
        let owed = |core: &Self| core.taken[submission as usize].as_ref().is_some_and(|t| t.client.is_some());
        if let (Outcome::Completed, Some(result), true) = (outcome, result, owed(self)) {
            self.answer(submission, Answer::Completed(result));
        }
        let closed = !owed(self);
        let ending = Ending { submission, execution, worker, outcome, closed, took, report };
        self.pending.push_back(Event::Ended(ending));
    }

    pub(crate) fn probed(&mut self, worker: Worker, answered: Option<bool>, report: Option<Report>) {
        self.stats.probes_failed += u64::from(answered != Some(true));
        if let Some(answered) = answered {
            self.workers[worker as usize].said = Some((self.now, answered, report.filter(|_| answered)));
        }
        self.pending.push_back(Event::Probed { worker, answered, report });
    }
}
