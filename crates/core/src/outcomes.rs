//! The outcomes of one-shots, for nodes that keep them over a restart.
//!
//! That a one-shot may have run is durable before the first byte of its first execution is sent. A repeated submission with
//! the same key is answered from the stored outcome and never runs twice.

use linestack_dispatch::types::RepeatPolicy;
use linestack_recovery::{OutcomeTable, StoreTime, StoredOutcome};

use super::*;

/// With this many records waiting to be written, the disk is too slow, and one-shots are dismissed until it catches up.
const MAX_PENDING_RECORDS: usize = 256;

/// The outcomes that a node has restored from its store when it starts.
pub struct StoredOutcomes {
    /// The outcomes by key.
    pub outcomes: OutcomeTable,
    /// The time of the store when the node starts. The times of records are times of the store.
    pub store_time: StoreTime,
    /// The time of the start on the node's clock.
    pub started_at: Nanos,
    /// Whether a repeated submission is recognized by its `Idempotency-Key`, which clients keep in a retry; otherwise by its
    /// `Req-Id`.
    pub by_idempotency_key: bool,
    /// An earlier store was lost. Until this time a one-shot that is not in the store may have run.
    pub incomplete_until: Nanos,
}

/// The outcomes of one-shots, and the state of their store.
pub(crate) struct OutcomeStore {
    outcomes: OutcomeTable,
    /// The time of the store when the node started.
    store_time_at_start: StoreTime,
    /// The time of the start on the node's clock.
    started_at: Nanos,
    by_idempotency_key: bool,
    incomplete_until: Nanos,
    /// The number of records that executions wait for.
    pending_records: usize,
    /// Keys of the open one-shots. There is no record of a one-shot before its first execution is about to be sent.
    open_keys: HashSet<Bytes>,
    /// Writing has failed, so nothing can be made durable.
    failed: bool,
}

/// Identifies an execution that waits until the record that it may have run is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistTicket {
    connection: ConnectionId,
    submission: Submission,
    serial: u64,
    execution: Execution,
}

impl Core {
    /// Keeps the outcomes of one-shots over restarts from now on. Must be called before anything is accepted.
    pub fn enable_outcome_store(&mut self, stored: StoredOutcomes) {
        let StoredOutcomes { outcomes, store_time, started_at, by_idempotency_key, incomplete_until } =
            stored;
        self.outcome_store = Some(OutcomeStore {
            outcomes,
            store_time_at_start: store_time,
            started_at,
            by_idempotency_key,
            incomplete_until,
            pending_records: 0,
            open_keys: HashSet::new(),
            failed: false,
        });
    }

    /// Whether the store knows every one-shot that may have run.
    #[must_use]
    pub fn outcomes_complete(&self) -> bool {
        self.outcome_store.as_ref().is_none_or(|store| store.incomplete_until <= self.now)
    }

    /// The stored outcome of the submission with this key.
    #[must_use]
    pub fn stored_outcome(&self, key: &[u8]) -> Option<&StoredOutcome> {
        self.outcome_store.as_ref()?.outcomes.outcome(key)
    }

    /// Whether one-shots can be accepted: their outcomes can be stored, or need not be.
    #[must_use]
    pub fn can_store_outcomes(&self) -> bool {
        self.outcome_store.as_ref().is_none_or(|store| !store.failed)
    }

    /// The key by which a repeated submission is recognized; `None` if the request carries none.
    fn outcome_key(&self, request: &ForwardedRequest) -> Option<Bytes> {
        let store = self.outcome_store.as_ref()?;
        if store.by_idempotency_key { request.idempotency_key.clone() } else { Some(request.id.clone()) }
    }

    fn is_one_shot(&self, product: u8) -> bool {
        self.products.get(usize::from(product)).is_some_and(|p| p.repeat_policy == RepeatPolicy::OneShot)
    }

    /// The answer to a one-shot that is repeated or whose outcome can't be stored; `None` if it is to be accepted.
    pub(crate) fn answer_from_store(&self, new: &NewSubmission) -> Option<Answer> {
        let store = self.outcome_store.as_ref().filter(|_| self.is_one_shot(new.product))?;
        let dismissed = Answer::Dismissed(self.short_retry_after());
        // Without a key a repeated submission could not be recognized and would run again.
        let Some(key) = self.outcome_key(&new.request) else { return Some(dismissed) };
        if store.open_keys.contains(&key) {
            // Neither of the two has an outcome yet, so both would be sent.
            return Some(Answer::DuplicateId);
        }
        match store.outcomes.outcome(&key) {
            Some(StoredOutcome::Completed(result)) => Some(Answer::Completed(result.clone())),
            Some(StoredOutcome::MayHaveRun) => Some(Answer::Aborted),
            // Dismissing it would promise that a retry is harmless.
            None if self.now < store.incomplete_until => Some(Answer::Aborted),
            _ if store.failed || store.pending_records >= MAX_PENDING_RECORDS || store.outcomes.is_full() => {
                Some(dismissed)
            }
            Some(StoredOutcome::NeverSent) | None => None,
        }
    }

    /// Records that a one-shot is open, or no longer is.
    pub(crate) fn set_key_open(&mut self, product: u8, request: &ForwardedRequest, open: bool) {
        if !self.is_one_shot(product) {
            return;
        }
        if let (Some(key), Some(store)) = (self.outcome_key(request), &mut self.outcome_store) {
            if open {
                store.open_keys.insert(key)
            } else {
                store.open_keys.remove(&key)
            };
        }
    }

    /// The time of the store now.
    fn store_time(&self) -> StoreTime {
        self.outcome_store
            .as_ref()
            .map_or(0, |store| store.store_time_at_start + self.now.saturating_sub(store.started_at))
    }

    /// Whether an execution must wait until the record that it may have run is durable. If so, asks for the record to be
    /// written.
    pub(crate) fn persist_before_send(
        &mut self,
        connection: ConnectionId,
        submission: Submission,
        execution: Execution,
    ) -> bool {
        let Some(accepted) = self.accepted.get(submission as usize).and_then(Option::as_ref) else {
            return false;
        };
        if accepted.persisted || !self.is_one_shot(accepted.product) {
            return false;
        }
        let (serial, request) = (accepted.serial, Arc::clone(&accepted.request));
        let (Some(key), now) = (self.outcome_key(&request), self.store_time()) else { return false };
        let Some(store) = &mut self.outcome_store else { return false };
        store.pending_records += 1;
        let record = store.outcomes.record_sending(&key, now);
        let ticket = Some(PersistTicket { connection, submission, serial, execution });
        self.effects.push(Effect::Persist { record, ticket });
        true
    }

    /// Sends the execution that waited for a record, or gives it up if the record could not be made durable.
    pub(crate) fn persisted(&mut self, ticket: PersistTicket, durable: bool) {
        let PersistTicket { connection, submission, serial, execution } = ticket;
        if let Some(store) = &mut self.outcome_store {
            store.pending_records -= 1;
            store.failed |= !durable;
        }
        let exchange = Exchange::Execution(submission, execution);
        let accepted = self.accepted.get_mut(submission as usize).and_then(Option::as_mut);
        let Some(accepted) = accepted.filter(|a| a.serial == serial) else { return };
        accepted.persisted |= durable;
        let (request, version) = (Arc::clone(&accepted.request), accepted.settings_version);
        // Meanwhile the connection may have broken, or the execution may have been cancelled.
        let Some(state) = self.connections.get_mut(&connection).filter(|c| c.exchange == Some(exchange))
        else {
            return;
        };
        let (worker, address) = (state.worker, state.address);
        if durable && self.permit(Occasion::Durable, worker, address, exchange).is_ok() {
            let deadline = self.attempt_mut(submission, execution).map_or(0, |attempt| attempt.deadline);
            let timeout = deadline.saturating_sub(self.now);
            self.record_send(submission, execution);
            return self.effects.push(Effect::Send { connection, request, timeout, version });
        }
        if let Some(state) = self.connections.get_mut(&connection) {
            state.exchange = None;
        }
        self.make_idle(connection);
        self.not_sent(worker, exchange);
    }

    /// Records can be written again.
    pub(crate) fn store_recovered(&mut self) {
        if let Some(store) = &mut self.outcome_store {
            store.failed = false;
        }
    }

    /// Stores the outcome of a one-shot, if it says more than the record that is there.
    pub(crate) fn record_outcome(&mut self, submission: Submission, outcome: StoredOutcome) {
        let Some(accepted) = self.accepted.get(submission as usize).and_then(Option::as_ref) else { return };
        if !self.is_one_shot(accepted.product) {
            return;
        }
        let (Some(key), now) = (self.outcome_key(&accepted.request), self.store_time()) else { return };
        let store = self.outcome_store.as_mut();
        if let Some(record) = store.and_then(|store| store.outcomes.record_outcome(&key, outcome, now)) {
            self.effects.push(Effect::Persist { record, ticket: None });
        }
    }

    /// Forgets the outcomes that are past their retention time.
    pub(crate) fn expire_outcomes(&mut self) {
        let now = self.store_time();
        if let Some(store) = &mut self.outcome_store {
            store.outcomes.expire(now);
        }
    }
}
