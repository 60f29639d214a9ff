//! What is known of one-shots after a restart. A submission goes by a key that its client keeps when it asks again.
//! "It may have run" is on the disk before the first byte of an execution leaves; everything that is said later only
//! makes it more certain. What is not known is new.

pub mod start;

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

/// Nanoseconds in which nodes on this store ran, all runs together: time that passes while none runs does not make
/// anything forgotten, and no clock of day can.
pub type Age = u64;

/// How a submission stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was sent, or is about to be, and nobody knows more.
    MayHaveRun,
    /// No execution of it was ever begun: asking again is harmless.
    Unsent,
    Satisfied(Bytes),
}

impl Fate {
    /// As it is kept.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        match self {
            Self::MayHaveRun => vec![1],
            Self::Unsent => vec![2],
            Self::Satisfied(result) => [&[3], &result[..]].concat(),
        }
    }

    /// None for what this version does not know: it must not be taken for anything.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first()? {
            (1, []) => Some(Self::MayHaveRun),
            (2, []) => Some(Self::Unsent),
            (3, result) => Some(Self::Satisfied(Bytes::copy_from_slice(result))),
            _ => None,
        }
    }

    /// For people.
    #[must_use]
    pub fn word(&self) -> &'static str {
        match self {
            Self::MayHaveRun => "may have run",
            Self::Unsent => "unsent",
            Self::Satisfied(_) => "satisfied",
        }
    }
}

/// Something to be kept, under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keep {
    pub key: Bytes,
    pub fate: Fate,
    pub at: Age,
}

/// The fates that a node knows, within bounds.
#[derive(Debug)]
pub struct Fates {
    known: HashMap<Bytes, (Fate, Age)>,
    /// Oldest first; one that was told again since is passed over.
    order: VecDeque<(Age, Bytes)>,
    /// For how long a fate is kept: no client asks again later.
    span: Age,
    most: usize,
    /// Bytes of results and keys.
    held: usize,
    most_bytes: usize,
}

impl Fates {
    /// Remembers each for `span`, `most` of them and `most_bytes` in all.
    #[must_use]
    pub fn new(span: Age, most: usize, most_bytes: usize) -> Self {
        Self { known: HashMap::new(), order: VecDeque::new(), span, most, held: 0, most_bytes }
    }

    /// Takes in what was kept, the oldest first.
    pub fn restore(&mut self, kept: impl IntoIterator<Item = Keep>) {
        let mut kept: Vec<Keep> = kept.into_iter().collect();
        kept.sort_by_key(|k| k.at);
        kept.into_iter().for_each(|k| self.set(k));
    }

    fn set(&mut self, keep: Keep) {
        let Keep { key, fate, at } = keep;
        let size = |fate: &Fate| key.len() + if let Fate::Satisfied(r) = fate { r.len() } else { 0 };
        self.held += size(&fate);
        self.order.push_back((at, key.clone()));
        if let Some((before, _)) = self.known.insert(key.clone(), (fate, at)) {
            self.held = self.held.saturating_sub(size(&before));
        }
    }

    /// Forgets what nobody asks for any more.
    pub fn forget(&mut self, now: Age) {
        while let Some((at, _)) = self.order.front() {
            if at.saturating_add(self.span) >= now {
                return;
            }
            let Some((at, key)) = self.order.pop_front() else { return };
            if self.known.get(&key).is_some_and(|(_, latest)| *latest == at)
                && let Some((fate, _)) = self.known.remove(&key)
            {
                let result = if let Fate::Satisfied(r) = fate { r.len() } else { 0 };
                self.held = self.held.saturating_sub(key.len() + result);
            }
        }
    }

    /// Whether there is no room for another: forgetting one that may have run would be worse than turning one away.
    #[must_use]
    pub fn full(&self) -> bool {
        self.known.len() >= self.most || self.held >= self.most_bytes
    }

    #[must_use]
    pub fn fate(&self, key: &[u8]) -> Option<&Fate> {
        self.known.get(key).map(|(fate, _)| fate)
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
    pub fn sending(&mut self, key: &Bytes, now: Age) -> Keep {
        self.tell(key, Fate::MayHaveRun, now)
    }

    /// How it ended, where something was kept of it.
    pub fn ended(&mut self, key: &Bytes, fate: Fate, now: Age) -> Option<Keep> {
        self.known.contains_key(key).then(|| self.tell(key, fate, now))
    }

    fn tell(&mut self, key: &Bytes, fate: Fate, at: Age) -> Keep {
        let keep = Keep { key: key.clone(), fate, at };
        self.set(keep.clone());
        keep
    }
}
