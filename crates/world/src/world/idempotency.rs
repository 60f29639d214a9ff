//! The memory of idempotency keys in groups of executors, by which a stamped job is not executed twice.

use linestack_core::Nanos;

use super::World;
use crate::executor::Job;
use crate::scenario::seconds_to_nanos;

/// The key of a client's request in one group of executors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct IdempotencyKey {
    group: u16,
    request: usize,
}

/// A group's record of a key. It is kept while the group holds a copy of the job, and for the deduplication
/// window after the last copy started or ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IdempotencyRecord {
    executed: bool,
    /// The number of copies that wait or run in the group.
    copies: u32,
    expires: Nanos,
}

impl IdempotencyRecord {
    fn is_known(&self, now: Nanos) -> bool {
        self.executed && (self.copies > 0 || self.expires > now)
    }
}

impl World<'_> {
    /// Returns whether an executor's group has executed the request of an attempt and still remembers it.
    pub(super) fn is_duplicate(&self, executor: usize, attempt: usize) -> bool {
        let key = self.idempotency_key(executor, attempt);
        self.idempotency.get(&key).is_some_and(|record| record.is_known(self.now))
    }

    /// Records that an executor's group holds a further copy of the request of an attempt.
    pub(super) fn add_copy(&mut self, executor: usize, attempt: usize) {
        let key = self.idempotency_key(executor, attempt);
        self.idempotency.entry(key).or_default().copies += 1;
    }

    /// Records that an executor starts to execute the request of an attempt.
    pub(super) fn mark_executed(&mut self, executor: usize, attempt: usize) {
        let key = self.idempotency_key(executor, attempt);
        let expires = self.now + self.dedup_window_of(attempt);
        let record = self.idempotency.entry(key).or_default();
        record.executed = true;
        record.expires = expires;
    }

    /// Records that an executor no longer holds a job.
    pub(super) fn release_job(&mut self, executor: usize, job: &Job) {
        let key = self.idempotency_key(executor, job.attempt);
        let expires = self.now + self.dedup_window_of(job.attempt);
        if let Some(record) = self.idempotency.get_mut(&key) {
            record.copies = record.copies.saturating_sub(1);
            record.expires = record.expires.max(expires);
        }
    }

    /// Drops the keys whose deduplication window is over.
    pub(super) fn drop_expired_keys(&mut self) {
        let now = self.now;
        self.idempotency.retain(|_, record| record.copies > 0 || record.expires > now);
    }

    fn idempotency_key(&self, executor: usize, attempt: usize) -> IdempotencyKey {
        let group = self.executors[executor].group;
        IdempotencyKey { group, request: self.attempts[attempt].request }
    }

    /// Returns the deduplication window of the product of an attempt.
    fn dedup_window_of(&self, attempt: usize) -> Nanos {
        let request = &self.requests[self.attempts[attempt].request];
        seconds_to_nanos(self.scenario.products[request.product].dedup_window_s)
    }
}
