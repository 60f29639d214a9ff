//! One-shots that may have run, where the node keeps them over a restart. "It may have run" lasts before the first byte
//! of an execution leaves; what asks again under the same key is answered from what is known, and never run twice.

use linestack_dispatch::types::RepeatPolicy;
use linestack_recovery::{OutcomeTable, StoreTime, StoredOutcome};

use super::*;

/// So many records that wait for the disk mean that it does not keep up: one-shots are dismissed until it does.
const STALLED: usize = 256;

/// What a node that remembers is told at its start.
pub struct StoredOutcomes {
    pub outcomes: OutcomeTable,
    /// How old the store is at the time that the node starts.
    pub age: StoreTime,
    pub now: Nanos,
    /// Clients keep `Idempotency-Key` when they ask again, or else `Req-Id`.
    pub by_stamp: bool,
    /// What an earlier store knew is lost: until then a one-shot that is not known may have run.
    pub incomplete_until: Nanos,
}

pub(crate) struct Book {
    fates: OutcomeTable,
    age: StoreTime,
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
    number: u64,
    execution: Execution,
}

impl Core {
    /// From now on one-shots are remembered over a restart. To be called before anything is taken.
    pub fn enable_outcome_store(&mut self, remembered: StoredOutcomes) {
        let StoredOutcomes { outcomes: fates, age, now, by_stamp, incomplete_until: doubtful } = remembered;
        let open = HashSet::new();
        self.book =
            Some(Book { fates, age, since: now, by_stamp, doubtful, waiting: 0, open, failed: false });
    }

    /// Whether all that may have run is known.
    #[must_use]
    pub fn outcomes_complete(&self) -> bool {
        self.book.as_ref().is_none_or(|b| b.doubtful <= self.now)
    }

    /// How a submission with this key stands, for whoever asks.
    #[must_use]
    pub fn stored_outcome(&self, key: &[u8]) -> Option<&StoredOutcome> {
        self.book.as_ref()?.fates.outcome(key)
    }

    /// Whether one-shots can be taken, where they are to be remembered.
    #[must_use]
    pub fn can_store_outcomes(&self) -> bool {
        self.book.as_ref().is_none_or(|b| !b.failed)
    }

    fn key(&self, request: &ForwardedRequest) -> Option<Bytes> {
        let book = self.book.as_ref()?;
        if book.by_stamp { request.stamp.clone() } else { Some(request.id.clone()) }
    }

    fn one_shot(&self, product: u8) -> bool {
        self.products.get(usize::from(product)).is_some_and(|p| p.repeat_policy == RepeatPolicy::OneShot)
    }

    /// The answer to one that asks again, or that can't be remembered; none where it is to be taken.
    pub(crate) fn settled(&self, intake: &NewSubmission) -> Option<Answer> {
        let book = self.book.as_ref().filter(|_| self.one_shot(intake.product))?;
        // Without a key it could not be known again, and would run again.
        let turned_away = Answer::Dismissed(self.come_back.map(|most| most / 8));
        let Some(key) = self.key(&intake.request) else { return Some(turned_away) };
        if book.open.contains(&key) {
            // Both would be sent, and neither has an end yet.
            return Some(Answer::DuplicateId);
        }
        match book.fates.outcome(&key) {
            Some(StoredOutcome::Completed(result)) => Some(Answer::Completed(result.clone())),
            Some(StoredOutcome::MayHaveRun) => Some(Answer::Aborted),
            // Dismissed, it would be told that asking again is harmless.
            None if self.now < book.doubtful => Some(Answer::Aborted),
            _ if book.failed || book.waiting >= STALLED || book.fates.is_full() => Some(turned_away),
            Some(StoredOutcome::NeverSent) | None => None,
        }
    }

    /// A submission is held from now on, or no more.
    pub(crate) fn hold_key(&mut self, product: u8, request: &ForwardedRequest, held: bool) {
        if !self.one_shot(product) {
            return;
        }
        if let (Some(key), Some(book)) = (self.key(request), &mut self.book) {
            if held {
                book.open.insert(key)
            } else {
                book.open.remove(&key)
            };
        }
    }

    fn age_now(&self) -> StoreTime {
        self.book.as_ref().map_or(0, |b| b.age + self.now.saturating_sub(b.since))
    }

    /// Whether an execution has to wait until it is written down; it is asked for then.
    pub(crate) fn waits(
        &mut self,
        connection: ConnectionId,
        submission: Submission,
        execution: Execution,
    ) -> bool {
        let Some(taken) = self.taken.get(submission as usize).and_then(Option::as_ref) else { return false };
        if taken.kept || !self.one_shot(taken.product) {
            return false;
        }
        let (number, request) = (taken.number, Arc::clone(&taken.request));
        let (Some(key), now) = (self.key(&request), self.age_now()) else { return false };
        let Some(book) = &mut self.book else { return false };
        book.waiting += 1;
        let keep = book.fates.record_sending(&key, now);
        let ticket = Some(PersistTicket { connection, submission, number, execution });
        self.effects.push(Effect::Persist { record: keep, ticket });
        true
    }

    /// It is written down, or can't be.
    pub(crate) fn kept(&mut self, ticket: PersistTicket, lasts: bool) {
        let PersistTicket { connection, submission, number, execution } = ticket;
        if let Some(book) = &mut self.book {
            book.waiting -= 1;
            book.failed |= !lasts;
        }
        let load = Load::Execution(submission, execution);
        let taken = self.taken.get_mut(submission as usize).and_then(Option::as_mut);
        let Some(taken) = taken.filter(|t| t.number == number) else { return };
        taken.kept |= lasts;
        let (request, version) = (Arc::clone(&taken.request), taken.version);
        // The connection may have broken meanwhile, or the order been called off.
        let Some(line) = self.links.get_mut(&connection).filter(|l| l.load == Some(load)) else { return };
        let (worker, address) = (line.worker, line.address);
        if lasts && self.permit(Occasion::Durable, worker, address, load).is_ok() {
            let until = self.sent(submission, execution).map_or(0, |sent| sent.until);
            let wait = until.saturating_sub(self.now);
            return self.effects.push(Effect::Send { connection, request, timeout: wait, version });
        }
        if let Some(line) = self.links.get_mut(&connection) {
            line.load = None;
        }
        self.rest(connection);
        self.unsent(worker, load);
    }

    /// The disk takes records again.
    pub(crate) fn store_back(&mut self) {
        if let Some(book) = &mut self.book {
            book.failed = false;
        }
    }

    /// How a submission that was written down ended, as far as that makes it more certain.
    pub(crate) fn fated(&mut self, submission: Submission, fate: StoredOutcome) {
        let Some(taken) = self.taken.get(submission as usize).and_then(Option::as_ref) else { return };
        if !self.one_shot(taken.product) {
            return;
        }
        let (Some(key), now) = (self.key(&taken.request), self.age_now()) else { return };
        if let Some(keep) = self.book.as_mut().and_then(|b| b.fates.record_outcome(&key, fate, now)) {
            self.effects.push(Effect::Persist { record: keep, ticket: None });
        }
    }

    pub(crate) fn forget_fates(&mut self) {
        let now = self.age_now();
        if let Some(book) = &mut self.book {
            book.fates.expire(now);
        }
    }
}
