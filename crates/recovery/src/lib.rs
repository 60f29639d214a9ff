//! What is known of one-shots after a restart. A submission goes by a key that its client keeps when it asks again.
//! "It may have run" is on the disk before the first byte of an execution leaves; everything that is said later only
//! makes it more certain. What is not known is new.

pub mod start;

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

/// Nanoseconds in which nodes on this store ran, all runs together: time that passes while none runs does not make
/// anything forgotten, and no clock of day can.
pub type StoreTime = u64;

/// How a submission stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredOutcome {
    /// It was sent, or is about to be, and nobody knows more.
    MayHaveRun,
    /// No execution of it was ever begun: asking again is harmless.
    NeverSent,
    Completed(Bytes),
}

impl StoredOutcome {
    /// As it is kept.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        match self {
            Self::MayHaveRun => vec![1],
            Self::NeverSent => vec![2],
            Self::Completed(result) => [&[3], &result[..]].concat(),
        }
    }

    /// None for what this version does not know: it must not be taken for anything.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first()? {
            (1, []) => Some(Self::MayHaveRun),
            (2, []) => Some(Self::NeverSent),
            (3, result) => Some(Self::Completed(Bytes::copy_from_slice(result))),
            _ => None,
        }
    }

    /// For people.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::MayHaveRun => "may have run",
            Self::NeverSent => "unsent",
            Self::Completed(_) => "satisfied",
        }
    }
}

/// Something to be kept, under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeRecord {
    pub key: Bytes,
    pub outcome: StoredOutcome,
    pub at: StoreTime,
}

/// The fates that a node knows, within bounds.
#[derive(Debug)]
pub struct OutcomeTable {
    known: HashMap<Bytes, (StoredOutcome, StoreTime)>,
    /// Oldest first; one that was told again since is passed over.
    order: VecDeque<(StoreTime, Bytes)>,
    /// For how long a outcome is kept: no client asks again later.
    span: StoreTime,
    most: usize,
    /// Bytes of results and keys.
    held: usize,
    most_bytes: usize,
}

impl OutcomeTable {
    /// Remembers each for `span`, `most` of them and `most_bytes` in all.
    #[must_use]
    pub fn new(span: StoreTime, most: usize, most_bytes: usize) -> Self {
        Self { known: HashMap::new(), order: VecDeque::new(), span, most, held: 0, most_bytes }
    }

    /// Takes in what was kept, the oldest first.
    pub fn restore(&mut self, kept: impl IntoIterator<Item = OutcomeRecord>) {
        let mut kept: Vec<OutcomeRecord> = kept.into_iter().collect();
        kept.sort_by_key(|k| k.at);
        kept.into_iter().for_each(|k| self.set(k));
    }

    fn set(&mut self, keep: OutcomeRecord) {
        let OutcomeRecord { key, outcome, at } = keep;
        let size = |outcome: &StoredOutcome| {
            key.len() + if let StoredOutcome::Completed(r) = outcome { r.len() } else { 0 }
        };
        self.held += size(&outcome);
        self.order.push_back((at, key.clone()));
        if let Some((before, _)) = self.known.insert(key.clone(), (outcome, at)) {
            self.held = self.held.saturating_sub(size(&before));
        }
    }

    /// Forgets what nobody asks for any more.
    pub fn expire(&mut self, now: StoreTime) {
        while let Some((at, _)) = self.order.front() {
            if at.saturating_add(self.span) >= now {
                return;
            }
            let Some((at, key)) = self.order.pop_front() else { return };
            if self.known.get(&key).is_some_and(|(_, latest)| *latest == at)
                && let Some((outcome, _)) = self.known.remove(&key)
            {
                let result = if let StoredOutcome::Completed(r) = outcome { r.len() } else { 0 };
                self.held = self.held.saturating_sub(key.len() + result);
            }
        }
    }

    /// Whether there is no room for another: forgetting one that may have run would be worse than turning one away.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.known.len() >= self.most || self.held >= self.most_bytes
    }

    #[must_use]
    pub fn outcome(&self, key: &[u8]) -> Option<&StoredOutcome> {
        self.known.get(key).map(|(outcome, _)| outcome)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// An execution is about to be sent. What is returned is to be durable before its first byte leaves.
    pub fn record_sending(&mut self, key: &Bytes, now: StoreTime) -> OutcomeRecord {
        self.tell(key, StoredOutcome::MayHaveRun, now)
    }

    /// How it ended, where something was kept of it.
    pub fn record_outcome(
        &mut self,
        key: &Bytes,
        outcome: StoredOutcome,
        now: StoreTime,
    ) -> Option<OutcomeRecord> {
        self.known.contains_key(key).then(|| self.tell(key, outcome, now))
    }

    fn tell(&mut self, key: &Bytes, outcome: StoredOutcome, at: StoreTime) -> OutcomeRecord {
        let keep = OutcomeRecord { key: key.clone(), outcome, at };
        self.set(keep.clone());
        keep
    }
}
