//! One-shots that may have run, where the node keeps them over a restart. "It may have run" lasts before the first byte
//! of an execution leaves; what asks again under the same key is answered from what is known, and never run twice.

use linestack_dispatch::types::Repeats;
use linestack_recovery::{Age, Fate, Fates};

use super::*;

/// So many records that wait for the disk mean that it does not keep up: one-shots are dismissed until it does.
const MAX_PENDING_RECORDS: usize = 256;

/// What a node that remembers is told at its start.
pub struct StoredOutcomes {
    pub outcomes: Fates,
    /// How old the store is at the time that the node starts.
    pub age: Age,
    pub now: Nanos,
    /// Clients keep `Idempotency-Key` when they ask again, or else `Req-Id`.
    pub by_stamp: bool,
    /// What an earlier store knew is lost: until then a one-shot that is not known may have run.
    pub incomplete_until: Nanos,
}

pub(crate) struct OutcomeStore {
    fates: Fates,
    age: Age,
    since: Nanos,
    by_stamp: bool,
    doubtful: Nanos,
    waiting: usize,
    /// Keys of one-shots that are held here: until one is about to be sent nothing else tells of it.
    open: HashSet<Bytes>,
    /// The disk has failed: nothing more can be made to last.
    failed: bool,
}

/// An execution that waits until it is written down that it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistTicket {
    connection: ConnectionId,
    submission: Submission,
    serial: u64,
    execution: Execution,
}

impl Core {
    /// From now on one-shots are remembered over a restart. To be called before anything is accepted.
    pub fn enable_outcome_store(&mut self, remembered: StoredOutcomes) {
        let StoredOutcomes { outcomes: fates, age, now, by_stamp, incomplete_until: doubtful } = remembered;
        let open = HashSet::new();
        self.outcome_store = Some(OutcomeStore {
            fates,
            age,
            since: now,
            by_stamp,
            doubtful,
            waiting: 0,
            open,
            failed: false,
        });
    }

    /// Whether all that may have run is known.
    #[must_use]
    pub fn outcomes_complete(&self) -> bool {
        self.outcome_store.as_ref().is_none_or(|b| b.doubtful <= self.now)
    }

    /// How a submission with this key stands, for whoever asks.
    #[must_use]
    pub fn stored_outcome(&self, key: &[u8]) -> Option<&Fate> {
        self.outcome_store.as_ref()?.fates.fate(key)
    }

    /// Whether one-shots can be accepted, where they are to be remembered.
    #[must_use]
    pub fn can_store_outcomes(&self) -> bool {
        self.outcome_store.as_ref().is_none_or(|b| !b.failed)
    }

    fn outcome_key(&self, request: &ForwardedRequest) -> Option<Bytes> {
        let store = self.outcome_store.as_ref()?;
        if store.by_stamp { request.stamp.clone() } else { Some(request.id.clone()) }
    }

    fn is_one_shot(&self, product: u8) -> bool {
        self.products.get(usize::from(product)).is_some_and(|p| p.repeats == Repeats::OneShot)
    }

    /// The answer to one that asks again, or that can't be remembered; none where it is to be accepted.
    pub(crate) fn answer_from_store(&self, intake: &NewSubmission) -> Option<Answer> {
        let store = self.outcome_store.as_ref().filter(|_| self.is_one_shot(intake.product))?;
        // Without a key it could not be known again, and would run again.
        let turned_away = Answer::Dismissed(self.max_retry_after.map(|most| most / 8));
        let Some(key) = self.outcome_key(&intake.request) else { return Some(turned_away) };
        if store.open.contains(&key) {
            // Both would be attempt, and neither has an end yet.
            return Some(Answer::DuplicateId);
        }
        match store.fates.fate(&key) {
            Some(Fate::Satisfied(result)) => Some(Answer::Completed(result.clone())),
            Some(Fate::MayHaveRun) => Some(Answer::Aborted),
            // Dismissed, it would be told that asking again is harmless.
            None if self.now < store.doubtful => Some(Answer::Aborted),
            _ if store.failed || store.waiting >= MAX_PENDING_RECORDS || store.fates.full() => {
                Some(turned_away)
            }
            Some(Fate::Unsent) | None => None,
        }
    }

    /// A submission is held from now on, or no more.
    pub(crate) fn set_key_open(&mut self, product: u8, request: &ForwardedRequest, held: bool) {
        if !self.is_one_shot(product) {
            return;
        }
        if let (Some(key), Some(store)) = (self.outcome_key(request), &mut self.outcome_store) {
            if held {
                store.open.insert(key)
            } else {
                store.open.remove(&key)
            };
        }
    }

    fn store_age(&self) -> Age {
        self.outcome_store.as_ref().map_or(0, |b| b.age + self.now.saturating_sub(b.since))
    }

    /// Whether an execution has to wait until it is written down; it is asked for then.
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
        let (Some(key), now) = (self.outcome_key(&request), self.store_age()) else { return false };
        let Some(store) = &mut self.outcome_store else { return false };
        store.waiting += 1;
        let keep = store.fates.sending(&key, now);
        let ticket = Some(PersistTicket { connection, submission, serial, execution });
        self.effects.push(Effect::Persist { record: keep, ticket });
        true
    }

    /// It is written down, or can't be.
    pub(crate) fn persisted(&mut self, ticket: PersistTicket, lasts: bool) {
        let PersistTicket { connection, submission, serial, execution } = ticket;
        if let Some(store) = &mut self.outcome_store {
            store.waiting -= 1;
            store.failed |= !lasts;
        }
        let exchange = Exchange::Execution(submission, execution);
        let accepted = self.accepted.get_mut(submission as usize).and_then(Option::as_mut);
        let Some(accepted) = accepted.filter(|t| t.serial == serial) else { return };
        accepted.persisted |= lasts;
        let (request, version) = (Arc::clone(&accepted.request), accepted.settings_version);
        // The connection may have broken meanwhile, or the order been called off.
        let Some(state) = self.connections.get_mut(&connection).filter(|l| l.exchange == Some(exchange))
        else {
            return;
        };
        let (worker, address) = (state.worker, state.address);
        if lasts && self.permit(Occasion::Durable, worker, address, exchange).is_ok() {
            let until = self.attempt(submission, execution).map_or(0, |attempt| attempt.deadline);
            let wait = until.saturating_sub(self.now);
            return self.effects.push(Effect::Send { connection, request, timeout: wait, version });
        }
        if let Some(state) = self.connections.get_mut(&connection) {
            state.exchange = None;
        }
        self.make_idle(connection);
        self.not_sent(worker, exchange);
    }

    /// The disk takes records again.
    pub(crate) fn store_recovered(&mut self) {
        if let Some(store) = &mut self.outcome_store {
            store.failed = false;
        }
    }

    /// How a submission that was written down ended, as far as that makes it more certain.
    pub(crate) fn record_outcome(&mut self, submission: Submission, fate: Fate) {
        let Some(accepted) = self.accepted.get(submission as usize).and_then(Option::as_ref) else { return };
        if !self.is_one_shot(accepted.product) {
            return;
        }
        let (Some(key), now) = (self.outcome_key(&accepted.request), self.store_age()) else { return };
        if let Some(keep) = self.outcome_store.as_mut().and_then(|b| b.fates.ended(&key, fate, now)) {
            self.effects.push(Effect::Persist { record: keep, ticket: None });
        }
    }

    pub(crate) fn expire_outcomes(&mut self) {
        let now = self.store_age();
        if let Some(store) = &mut self.outcome_store {
            store.fates.forget(now);
        }
    }
}
