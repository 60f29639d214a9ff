//! Executions: jobs wait in executors, run and complete.

use super::World;
use super::event::Event;
use crate::executor::{ConnectionId, Job};
use crate::scenario::{RepeatPolicy, seconds_to_nanos};
use linestack_core::Outcome as ExecutionOutcome;

impl World<'_> {
    /// An executor accepts a job, acknowledges it and puts it into its queue.
    pub(super) fn enqueue(&mut self, index: usize, connection: ConnectionId, attempt: usize) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.acknowledged = true;
        }
        self.add_copy(index, attempt);
        let request = &self.requests[self.attempts[attempt].request];
        let slots = self.scenario.products[request.product].slots;
        let executor = &mut self.executors[index];
        executor.advance(self.now);
        executor.waiting.push_back(Job {
            connection,
            attempt,
            remaining_work_s: request.work_s,
            slots,
            started: 0,
        });
        self.run_executor(index);
    }

    /// Simulates an executor up to now: answers the jobs that are done, starts the jobs that fit, and schedules its next
    /// wake-up. Must be called after every change of its state.
    pub(super) fn run_executor(&mut self, index: usize) {
        let now = self.now;
        let executor = &mut self.executors[index];
        executor.advance(now);
        let done = if executor.is_stalled() { Vec::new() } else { executor.take_done() };
        for job in executor.start_waiting_jobs(now) {
            self.job_starts(index, &job);
        }
        for job in done {
            self.release_job(index, &job);
            self.send_reply(index, job.connection, job.attempt, ExecutionOutcome::Completed);
        }
        self.schedule_wake(index);
        if !self.executors[index].is_cold(now) {
            self.judge.reset_cold_work(index);
        }
        self.update_ground_truth(index);
    }

    /// Schedules a wake-up for when the next job may be done. Earlier wake-ups are ignored then.
    fn schedule_wake(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        executor.wake_number += 1;
        let wake_number = executor.wake_number;
        if let Some(at) = executor.next_completion(self.now) {
            self.schedule_at(at, Event::ExecutorWakes { executor: index, wake_number });
        }
    }

    pub(super) fn executor_wakes(&mut self, index: usize, wake_number: u64) {
        if self.executors[index].wake_number == wake_number {
            self.run_executor(index);
        }
    }

    /// A job starts to run. If its group executed a copy of it while it waited, it completes without running.
    fn job_starts(&mut self, index: usize, job: &Job) {
        let (connection, attempt) = (job.connection, job.attempt);
        let request = self.attempts[attempt].request;
        let repeats = self.scenario.products[self.requests[request].product].repeats;
        if repeats == RepeatPolicy::Stamped {
            if self.is_duplicate(index, attempt) {
                return self.executors[index].complete_without_work(connection);
            }
            self.mark_executed(index, attempt);
        }
        self.judge.execution_started(attempt, self.now);
        if repeats == RepeatPolicy::OneShot {
            let request = &mut self.requests[request];
            request.executions_started += 1;
            self.outcome.one_shots_run_again += u64::from(request.executions_started == 2);
        }
        if self.scenario.reports_start {
            self.send_to_node(connection, Event::ProgressAtNode { connection, attempt });
        }
        if self.scenario.progress_s > 0.0 {
            let incarnation = self.executors[index].incarnation;
            self.schedule_progress(index, incarnation, connection, attempt);
        }
    }

    fn schedule_progress(
        &mut self,
        executor: usize,
        incarnation: u32,
        connection: ConnectionId,
        attempt: usize,
    ) {
        let period = seconds_to_nanos(self.scenario.progress_s);
        self.schedule_after(period, Event::ProgressDue { executor, incarnation, connection, attempt });
    }

    /// An executor reports the progress of a job unless it is stalled, and schedules the next report while
    /// the job runs.
    pub(super) fn progress_due(
        &mut self,
        index: usize,
        incarnation: u32,
        connection: ConnectionId,
        attempt: usize,
    ) {
        let executor = &self.executors[index];
        if executor.incarnation != incarnation || !executor.is_running(connection, attempt) {
            return;
        }
        if !executor.is_stalled() {
            self.send_to_node(connection, Event::ProgressAtNode { connection, attempt });
        }
        self.schedule_progress(index, incarnation, connection, attempt);
    }

    /// An executor loses all its jobs.
    pub(super) fn drop_all_jobs(&mut self, index: usize) {
        let dropped = self.executors[index].clear();
        dropped.iter().for_each(|job| self.release_job(index, job));
    }
}
