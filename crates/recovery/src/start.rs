//! The stages of a start: what a node has, what it waits for, what it may take meanwhile, and how fast it may draw on
//! what the whole fleet shares. It knows nothing of who else starts: each keeps its part of a budget that is the fleet's.

use std::collections::BTreeSet;

pub type Nanos = u64;
const SECOND: f64 = 1e9;

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It is not proved that the terms are current: nothing is taken.
    Version,
    /// There is no list that may be gone by: nothing is taken.
    List,
    /// Executors are met: what is in hand is bounded by what they have answered.
    Known,
    /// Its part of the load is taken on, as fast as executors answer.
    Share,
    Full,
}

impl Stage {
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::List => "list",
            Self::Known => "known",
            Self::Share => "share",
            Self::Full => "full",
        }
    }

    /// Whether clients should come.
    #[must_use]
    pub fn serves(self) -> bool {
        self >= Self::Known
    }

    /// What it waits for.
    #[must_use]
    pub fn why(self) -> &'static str {
        match self {
            Self::Version => "no coordinator has proved the terms current",
            Self::List => "discovery has told no list",
            Self::Known => "executors are being met",
            Self::Share => "load is taken on as executors answer",
            Self::Full => "nothing",
        }
    }
}

/// What a start keeps to. Rates are the whole fleet's, a second; 0 is no bound.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How many may start at once, at the most.
    pub nodes: u32,
    /// At first; it doubles each half second.
    pub connects_per_s: f64,
    pub lists_per_s: f64,
    pub sessions_per_s: f64,
    /// After so long without discovery's word an old list is gone by, where there is one.
    pub list_within: Nanos,
    /// After so long in a stage the next one begins though its evidence is not there.
    pub known_within: Nanos,
    pub share_within: Nanos,
}

/// In hand at first, whatever executors have answered; one more for each answer.
const FIRST: f64 = 4.0;
/// While executors are met: what may be in hand for each that has answered.
const EACH: f64 = 4.0;
/// The share is taken once nothing was turned away for so long.
const CALM: Nanos = 500_000_000;
/// Connections that wait for their turn longer than this keep more from being taken.
const QUEUED: Nanos = 250_000_000;

/// Keeps a rate: one after the other, each at its time. The first comes at a time drawn, so that those who begin
/// together do not come together. With a ramp the rate doubles each time that it has passed: how many a node needs
/// where nothing starts is known to nobody, and a rate below that would hold it for good.
#[derive(Clone, Copy, Debug)]
struct Pace {
    gap: Nanos,
    next: Nanos,
    ramp: Nanos,
    /// When the first had its turn.
    begun: Option<Nanos>,
}

/// The rate of connections doubles after so long.
const RAMP: Nanos = 500_000_000;

impl Pace {
    fn new(per_s: f64, nodes: u32, now: Nanos, drawn: f64) -> Self {
        let gap = if per_s > 0.0 { (f64::from(nodes.max(1)) / per_s * SECOND) as Nanos } else { 0 };
        Self { gap, next: now + (gap as f64 * drawn) as Nanos, ramp: Nanos::MAX, begun: None }
    }

    fn ramped(self) -> Self {
        Self { ramp: RAMP, ..self }
    }

    fn gap(&self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.begun.unwrap_or(now)) / self.ramp;
        self.gap >> passed.min(63)
    }

    /// When the next may come.
    fn turn(&mut self, now: Nanos) -> Nanos {
        let at = self.next.max(now);
        self.begun.get_or_insert(at);
        self.next = at + self.gap(at);
        at
    }
}

#[derive(Clone, Debug)]
pub struct Start {
    terms: Terms,
    stage: Stage,
    since: Nanos,
    proved: bool,
    listed: bool,
    /// The list that it is given at first is as young as one just told.
    fresh: bool,
    /// An older one is there to go on by.
    old: bool,
    /// How many executors the list has ready.
    ready: usize,
    met: BTreeSet<u32>,
    /// What may be in hand, and when it was last too little.
    limit: f64,
    short: Nanos,
    turned_away: u64,
    connects: Pace,
    lists: Pace,
    /// The turn that the next call for the list has.
    call: Option<Nanos>,
}

/// What a start finds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Found {
    /// It is in no fleet that has to prove its terms.
    pub proved: bool,
    /// The list that it is given at first is as young as one just told.
    pub fresh: bool,
    /// An old list is there to go on by, should discovery stay silent.
    pub old: bool,
}

impl Start {
    /// One that begins now; `drawn` are numbers from 0 to 1 by chance.
    #[must_use]
    pub fn new(terms: Terms, found: Found, drawn: [f64; 2], now: Nanos) -> Self {
        let Found { proved, fresh, old } = found;
        Self {
            terms,
            stage: Stage::Version,
            since: now,
            proved,
            listed: false,
            fresh,
            old,
            ready: 0,
            met: BTreeSet::new(),
            limit: FIRST,
            short: now,
            turned_away: 0,
            connects: Pace::new(terms.connects_per_s, terms.nodes, now, drawn[0]).ramped(),
            lists: Pace::new(terms.lists_per_s, terms.nodes, now, drawn[1]),
            call: None,
        }
    }

    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Submissions turned away since the start for being too many at its stage.
    #[must_use]
    pub fn turned_away(&self) -> u64 {
        self.turned_away
    }

    /// Whether the old list is to be gone by, since discovery has told none in time. Asked once.
    pub fn by_old(&mut self) -> bool {
        self.stage >= Stage::Known && !self.listed && std::mem::take(&mut self.old)
    }

    /// Goes on to the next stage if evidence or time allow it. Returns the stage that was reached.
    pub fn step(&mut self, now: Nanos) -> Option<Stage> {
        let waited = now.saturating_sub(self.since);
        let (on, next) = match self.stage {
            // No time makes old terms current: the way on is the coordinators' alone.
            Stage::Version => (self.proved, Stage::List),
            Stage::List => (self.listed || (self.old && waited >= self.terms.list_within), Stage::Known),
            Stage::Known => {
                let met = 2 * self.met.len() >= self.ready.max(1);
                (met || waited >= self.terms.known_within, Stage::Share)
            }
            Stage::Share => {
                let calm = now.saturating_sub(self.short.max(self.since)) >= CALM;
                (calm || waited >= self.terms.share_within, Stage::Full)
            }
            Stage::Full => (false, Stage::Full),
        };
        if on {
            (self.stage, self.since) = (next, now);
        }
        on.then_some(next)
    }

    /// When time alone may bring it on.
    #[must_use]
    pub fn next_due(&self) -> Nanos {
        match self.stage {
            Stage::List if self.old => self.since + self.terms.list_within,
            Stage::Known => self.since + self.terms.known_within,
            Stage::Share => (self.short.max(self.since) + CALM).min(self.since + self.terms.share_within),
            Stage::Version | Stage::List | Stage::Full => Nanos::MAX,
        }
    }

    /// The terms are proved current.
    pub fn proved(&mut self) {
        self.proved = true;
    }

    /// A list came, with so many ready: told by discovery, or kept from before.
    pub fn listed(&mut self, told: bool, ready: usize) {
        self.listed |= told || (self.fresh && ready > 0);
        self.ready = ready;
    }

    /// An executor answered an execution.
    pub fn answered(&mut self, executor: u32) {
        if self.stage < Stage::Full {
            self.met.insert(executor);
            self.limit += 1.0;
        }
    }

    /// One turned an execution away, or did not answer it: there is less room than was hoped for.
    pub fn refused(&mut self) {
        self.limit = (self.limit / 2.0).max(FIRST);
    }

    /// Whether another may be taken, with so many in hand.
    pub fn admits(&mut self, now: Nanos, in_hand: usize) -> bool {
        let most = match self.stage {
            Stage::Full => return true,
            Stage::Version | Stage::List => 0.0,
            Stage::Known => self.limit.min(FIRST + EACH * self.met.len() as f64),
            Stage::Share => self.limit,
        };
        let fits = (in_hand as f64) < most && self.connects.next <= now + self.connects.gap(now) + QUEUED;
        if !fits {
            (self.short, self.turned_away) = (now, self.turned_away + 1);
        }
        fits
    }

    /// When the next connection to an executor may be made.
    pub fn connect_at(&mut self, now: Nanos) -> Nanos {
        if self.stage == Stage::Full { now } else { self.connects.turn(now) }
    }

    /// When the list may be asked for: now, or at a time at which this is to be asked again.
    pub fn list_at(&mut self, now: Nanos) -> Nanos {
        if self.stage == Stage::Full {
            return now;
        }
        let turn = self.call.take().unwrap_or_else(|| self.lists.turn(now));
        self.call = (turn > now).then_some(turn);
        turn.max(now)
    }
}

/// Before a session with coordinators is opened, or opened again: by a number drawn from 0 to 1.
#[must_use]
pub fn session_after(terms: &Terms, drawn: f64) -> Nanos {
    Pace::new(terms.sessions_per_s, terms.nodes, 0, drawn).next
}

/// When something was kept, by a clock that goes on over a restart of the process, and which run of the machine's
/// that clock counts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kept {
    pub boot: u128,
    pub at: Nanos,
}

impl Kept {
    /// How old it is now; none where no clock tells: the machine was started since, or the clock is behind.
    #[must_use]
    pub fn age(&self, now: &Self) -> Option<Nanos> {
        (self.boot == now.boot && self.boot != 0).then(|| now.at.checked_sub(self.at)).flatten()
    }
}

/// Something that was kept is gone by as if it were known now only while it is younger than this; one of an age that
/// nobody knows never is.
#[must_use]
pub fn fresh(age: Option<Nanos>, within: Nanos) -> bool {
    age.is_some_and(|age| age < within)
}
