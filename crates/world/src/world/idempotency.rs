//! What groups of executors remember of stamped work, so that a repeat is not carried out again.

use linestack_core::Nanos;

use super::World;
use crate::executor::Job;
use crate::scenario::seconds;

/// A client's request, as one group of executors knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct IdempotencyKey {
    group: u16,
    request: usize,
}

/// A group remembers a key for its span after it last had to do with it, and while it holds a copy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IdempotencyRecord {
    executed: bool,
    /// Copies that wait or run in the group.
    held: u32,
    expires: Nanos,
}

impl IdempotencyRecord {
    fn is_known(&self, now: Nanos) -> bool {
        self.executed && (self.held > 0 || self.expires > now)
    }
}

impl World<'_> {
    /// Whether an executor's group has executed an attempt's request and still remembers it.
    pub(super) fn is_duplicate(&self, executor: usize, attempt: usize) -> bool {
        let key = self.idempotency_key(executor, attempt);
        self.idempotency.get(&key).is_some_and(|record| record.is_known(self.now))
    }

    /// A copy of an attempt's request comes into an executor's group.
    pub(super) fn hold_key(&mut self, executor: usize, attempt: usize) {
        let key = self.idempotency_key(executor, attempt);
        self.idempotency.entry(key).or_default().held += 1;
    }

    /// An executor begins to execute an attempt's request.
    pub(super) fn mark_executed(&mut self, executor: usize, attempt: usize) {
        let key = self.idempotency_key(executor, attempt);
        let expires = self.now + self.memory_of(attempt);
        let record = self.idempotency.entry(key).or_default();
        record.executed = true;
        record.expires = expires;
    }

    /// An executor holds a job no longer.
    pub(super) fn release_job(&mut self, executor: usize, job: &Job) {
        let key = self.idempotency_key(executor, job.attempt);
        let expires = self.now + self.memory_of(job.attempt);
        if let Some(record) = self.idempotency.get_mut(&key) {
            record.held = record.held.saturating_sub(1);
            record.expires = record.expires.max(expires);
        }
    }

    pub(super) fn forget_expired_keys(&mut self) {
        let now = self.now;
        self.idempotency.retain(|_, record| record.held > 0 || record.expires > now);
    }

    fn idempotency_key(&self, executor: usize, attempt: usize) -> IdempotencyKey {
        let group = self.executors[executor].group;
        IdempotencyKey { group, request: self.attempts[attempt].request }
    }

    /// For how long a group remembers work of an attempt's product.
    fn memory_of(&self, attempt: usize) -> Nanos {
        let request = &self.requests[self.attempts[attempt].request];
        seconds(self.scenario.products[request.product].dedup_window_s)
    }
}
