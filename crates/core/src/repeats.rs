//! The rule for repeats: whether an execution may begin although another one of its submission may have run.

use linestack_dispatch::types::RepeatPolicy;

use super::*;

impl Core {
    /// Returns until when an execution may begin on this executor, as far as the other executions of its submission are
    /// concerned; [`Nanos::MAX`] if they set no limit.
    ///
    /// # Errors
    ///
    /// Another execution may have run, and this one would not be recognized as its repeat.
    pub(crate) fn repeat_allowed_until(
        &self,
        accepted: &AcceptedSubmission,
        worker: Worker,
        execution: Execution,
    ) -> Result<Nanos, Refusal> {
        let others = accepted.executions.iter().enumerate().filter(|(i, _)| *i != usize::from(execution));
        let possible_runs = others.filter_map(|(_, other)| Some((other.sent_at?, other.worker)));
        let Some((first_sent_at, first_worker)) = possible_runs.min() else { return Ok(Nanos::MAX) };
        let product = self.products.get(usize::from(accepted.product));
        match product.map(|product| product.repeat_policy) {
            None | Some(RepeatPolicy::Idempotent) => Ok(Nanos::MAX),
            Some(RepeatPolicy::OneShot) => Err(Refusal::MayHaveRun),
            Some(RepeatPolicy::Stamped { scope, dedup_window }) => {
                if !scope.covers(&self.place_of(first_worker), &self.place_of(worker)) {
                    return Err(Refusal::OutsideGroup);
                }
                let until = first_sent_at + dedup_window;
                if self.now < until { Ok(until) } else { Err(Refusal::WindowPassed) }
            }
        }
    }

    /// Returns the time before which an exchange must begin; 0 if it may not begin any more.
    pub(crate) fn latest_begin(&self, worker: Worker, exchange: Exchange) -> Nanos {
        let Exchange::Execution(submission, execution) = exchange else { return Nanos::MAX };
        let accepted = self.accepted.get(submission as usize).and_then(Option::as_ref);
        let attempt = accepted.and_then(|a| Some((a, a.executions.get(usize::from(execution))?)));
        let Some((accepted, attempt)) = attempt else { return 0 };
        let repeat_until = self.repeat_allowed_until(accepted, worker, execution);
        repeat_until.map_or(0, |until| until.min(attempt.deadline))
    }

    /// Records that the request of an execution is passed to a connection, so that it may run from now on.
    pub(crate) fn record_send(&mut self, submission: Submission, execution: Execution) {
        let now = self.now;
        if let Some(attempt) = self.attempt_mut(submission, execution) {
            attempt.sent_at.get_or_insert(now);
        }
    }

    /// Returns the kind, zone and cell of an executor.
    pub(crate) fn place_of(&self, worker: Worker) -> WorkerEntry {
        let state = &self.workers[worker as usize];
        WorkerEntry { kind: state.kind, zone: state.zone, cell: state.cell, ..WorkerEntry::default() }
    }
}
