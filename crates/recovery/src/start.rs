//! The staged start of a node: which evidence the node has, what it waits for, how many submissions it may take in the
//! meantime, and how fast it may use resources that the whole fleet shares. A node does not know which others are
//! starting; each keeps to its share of a fleet-wide budget.

use std::collections::BTreeSet;

/// A duration, or a time on the local clock, in nanoseconds.
pub type Nanos = u64;
const NANOS_PER_SECOND: f64 = 1e9;

/// How far a start has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Waits until the settings are confirmed as current. No submission is taken.
    AwaitingSettings,
    /// Waits for a usable list of executors. No submission is taken.
    AwaitingList,
    /// Waits until half of the ready executors have answered. The number of active submissions is bounded by the number
    /// of executors that have answered.
    AwaitingExecutors,
    /// Waits until no submission is rejected any more. The number of active submissions may grow with each answer of an
    /// executor.
    RampingUp,
    /// The start is complete: the start sets no limits any more.
    Full,
}

impl Stage {
    /// Returns the name of the stage, as it is logged and sent to coordinators.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AwaitingSettings => "version",
            Self::AwaitingList => "list",
            Self::AwaitingExecutors => "known",
            Self::RampingUp => "share",
            Self::Full => "full",
        }
    }

    /// Returns whether a node in this stage takes submissions.
    #[must_use]
    pub fn serves(self) -> bool {
        self >= Self::AwaitingExecutors
    }

    /// Returns what a node in this stage waits for, for the log.
    #[must_use]
    pub fn waits_for(self) -> &'static str {
        match self {
            Self::AwaitingSettings => "no coordinator has proved the terms current",
            Self::AwaitingList => "discovery has told no list",
            Self::AwaitingExecutors => "executors are being met",
            Self::RampingUp => "load is taken on as executors answer",
            Self::Full => "nothing",
        }
    }
}

/// The limits of a staged start. Rates are per second and hold for the whole fleet; 0 means no limit.
#[derive(Clone, Copy, Debug)]
pub struct StartLimits {
    /// The largest number of nodes that may start at once.
    pub nodes: u32,
    /// The initial rate of connections to executors; it doubles every half second.
    pub connects_per_s: f64,
    /// The rate of requests to discovery for the list.
    pub lists_per_s: f64,
    /// The rate of new sessions with coordinators.
    pub sessions_per_s: f64,
    /// After this time without a list from discovery the node uses a stored list, if it has one.
    pub list_timeout: Nanos,
    /// The longest time in [`Stage::AwaitingExecutors`]; the next stage then begins even if too few executors have answered.
    pub executors_timeout: Nanos,
    /// The longest time in [`Stage::RampingUp`]; the next stage then begins even if submissions are still rejected.
    pub ramp_up_timeout: Nanos,
}

/// The limit of active submissions before any executor has answered. Each answer raises the limit by one.
const INITIAL_SUBMISSION_LIMIT: f64 = 4.0;
/// In [`Stage::AwaitingExecutors`], the number of active submissions allowed for each executor that has answered.
const SUBMISSIONS_PER_EXECUTOR: f64 = 4.0;
/// [`Stage::RampingUp`] ends once no submission has been rejected for this long.
const NO_REJECTION_PERIOD: Nanos = 500_000_000;
/// While new connections are delayed by more than this, no further submissions are taken.
const MAX_CONNECT_DELAY: Nanos = 250_000_000;

/// A rate limiter that spaces events evenly. The first event has a random delay within one interval, so that nodes that
/// start together do not act together. A limiter may double its rate periodically: the rate that a node needs once no
/// node is starting is unknown, and a fixed rate below it would slow the node permanently.
#[derive(Clone, Copy, Debug)]
struct RateLimiter {
    /// The initial time between two events.
    interval: Nanos,
    /// The next free time slot.
    next: Nanos,
    /// The rate doubles each time this period has passed; `Nanos::MAX` for a constant rate.
    doubling_period: Nanos,
    /// The time slot of the first event, from which the doublings are counted.
    first_at: Option<Nanos>,
}

/// The period after which the rate of connections doubles.
const CONNECT_RATE_DOUBLING_PERIOD: Nanos = 500_000_000;

impl RateLimiter {
    /// Creates the limiter of one of `nodes` nodes that together have a rate of `per_s`. `random` is a random number from 0
    /// to 1.
    fn new(per_s: f64, nodes: u32, now: Nanos, random: f64) -> Self {
        let interval =
            if per_s > 0.0 { (f64::from(nodes.max(1)) / per_s * NANOS_PER_SECOND) as Nanos } else { 0 };
        Self {
            interval,
            next: now + (interval as f64 * random) as Nanos,
            doubling_period: Nanos::MAX,
            first_at: None,
        }
    }

    fn doubling_every(self, doubling_period: Nanos) -> Self {
        Self { doubling_period, ..self }
    }

    /// Returns the time between two events at this time.
    fn interval(&self, now: Nanos) -> Nanos {
        let doublings = now.saturating_sub(self.first_at.unwrap_or(now)) / self.doubling_period;
        // 63 bits are the largest valid shift.
        self.interval >> doublings.min(63)
    }

    /// Reserves the next free time slot and returns it.
    fn reserve(&mut self, now: Nanos) -> Nanos {
        let at = self.next.max(now);
        self.first_at.get_or_insert(at);
        self.next = at + self.interval(at);
        at
    }
}

/// The state machine of a staged start.
#[derive(Clone, Debug)]
pub struct StagedStart {
    limits: StartLimits,
    stage: Stage,
    /// When the current stage began.
    stage_began_at: Nanos,
    settings_confirmed: bool,
    /// A list that counts as current has been received.
    has_current_list: bool,
    /// The stored list is recent enough to count as one just received from discovery.
    list_is_fresh: bool,
    /// There is a stored list that is not recent or of unknown age, and it was not used yet.
    has_old_list: bool,
    /// The number of ready executors on the list.
    ready_executors: usize,
    /// The executors that have answered.
    answered: BTreeSet<u32>,
    /// The number of submissions that may be active.
    submission_limit: f64,
    /// When a submission was last rejected.
    last_rejection: Nanos,
    rejected_submissions: u64,
    connections: RateLimiter,
    list_requests: RateLimiter,
    /// The time slot reserved for the next request for the list.
    list_request_at: Option<Nanos>,
}

/// The conditions under which a start begins.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartConditions {
    /// The node belongs to no fleet whose coordinators would have to confirm the settings.
    pub settings_confirmed: bool,
    /// The stored list is recent enough to count as one just received from discovery.
    pub list_is_fresh: bool,
    /// There is a stored list that is not recent or of unknown age, to be used if discovery does not answer.
    pub has_old_list: bool,
}

/// Random numbers from 0 to 1 that delay the first events of a start, as fractions of the interval between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartJitter {
    /// For the first connection to an executor.
    pub connection: f64,
    /// For the first request for the list.
    pub list_request: f64,
}

/// Where a list of executors comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Discovery has sent it.
    Discovery,
    /// The node has read it from its store.
    Store,
}

impl StagedStart {
    /// Begins a start now.
    #[must_use]
    pub fn new(limits: StartLimits, conditions: StartConditions, jitter: StartJitter, now: Nanos) -> Self {
        let StartConditions { settings_confirmed, list_is_fresh, has_old_list } = conditions;
        Self {
            limits,
            stage: Stage::AwaitingSettings,
            stage_began_at: now,
            settings_confirmed,
            has_current_list: false,
            list_is_fresh,
            has_old_list,
            ready_executors: 0,
            answered: BTreeSet::new(),
            submission_limit: INITIAL_SUBMISSION_LIMIT,
            last_rejection: now,
            rejected_submissions: 0,
            connections: RateLimiter::new(limits.connects_per_s, limits.nodes, now, jitter.connection)
                .doubling_every(CONNECT_RATE_DOUBLING_PERIOD),
            list_requests: RateLimiter::new(limits.lists_per_s, limits.nodes, now, jitter.list_request),
            list_request_at: None,
        }
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns how many submissions were rejected since the start because of the limit of their stage.
    #[must_use]
    pub fn rejected_submissions(&self) -> u64 {
        self.rejected_submissions
    }

    /// Returns whether the old list is to be used now because discovery sent none in time. Returns true only once.
    pub fn should_use_old_list(&mut self) -> bool {
        self.stage >= Stage::AwaitingExecutors
            && !self.has_current_list
            && std::mem::take(&mut self.has_old_list)
    }

    /// Moves on to the next stage if evidence or time allow it. Returns the stage reached, or none if it did not move.
    pub fn advance(&mut self, now: Nanos) -> Option<Stage> {
        let waited = now.saturating_sub(self.stage_began_at);
        let (done, next) = match self.stage {
            // There is no time-out here: old settings do not become current by waiting. Only the coordinators can
            // confirm them.
            Stage::AwaitingSettings => (self.settings_confirmed, Stage::AwaitingList),
            Stage::AwaitingList => (
                self.has_current_list || (self.has_old_list && waited >= self.limits.list_timeout),
                Stage::AwaitingExecutors,
            ),
            Stage::AwaitingExecutors => {
                let half_answered = 2 * self.answered.len() >= self.ready_executors.max(1);
                (half_answered || waited >= self.limits.executors_timeout, Stage::RampingUp)
            }
            Stage::RampingUp => {
                let no_rejections =
                    now.saturating_sub(self.last_rejection.max(self.stage_began_at)) >= NO_REJECTION_PERIOD;
                (no_rejections || waited >= self.limits.ramp_up_timeout, Stage::Full)
            }
            Stage::Full => (false, Stage::Full),
        };
        if done {
            (self.stage, self.stage_began_at) = (next, now);
        }
        done.then_some(next)
    }

    /// Returns the next time at which [`advance`](Self::advance) may move on without further evidence.
    #[must_use]
    pub fn next_due(&self) -> Nanos {
        match self.stage {
            Stage::AwaitingList if self.has_old_list => self.stage_began_at + self.limits.list_timeout,
            Stage::AwaitingExecutors => self.stage_began_at + self.limits.executors_timeout,
            Stage::RampingUp => (self.last_rejection.max(self.stage_began_at) + NO_REJECTION_PERIOD)
                .min(self.stage_began_at + self.limits.ramp_up_timeout),
            Stage::AwaitingSettings | Stage::AwaitingList | Stage::Full => Nanos::MAX,
        }
    }

    /// Records that the settings are confirmed as current.
    pub fn confirm_settings(&mut self) {
        self.settings_confirmed = true;
    }

    /// Records that there is a list with this number of ready executors.
    pub fn list_received(&mut self, source: ListSource, ready_executors: usize) {
        self.has_current_list |=
            source == ListSource::Discovery || (self.list_is_fresh && ready_executors > 0);
        self.ready_executors = ready_executors;
    }

    /// Records that an executor answered an execution.
    pub fn executor_answered(&mut self, executor: u32) {
        if self.stage < Stage::Full {
            self.answered.insert(executor);
            self.submission_limit += 1.0;
        }
    }

    /// Records that an executor rejected an execution or did not answer it: there is less capacity than assumed.
    pub fn execution_rejected(&mut self) {
        self.submission_limit = (self.submission_limit / 2.0).max(INITIAL_SUBMISSION_LIMIT);
    }

    /// Returns whether another submission may be taken while `active` of them are active. Counts a rejection if not.
    pub fn admits(&mut self, now: Nanos, active: usize) -> bool {
        let limit = match self.stage {
            Stage::Full => return true,
            Stage::AwaitingSettings | Stage::AwaitingList => 0.0,
            Stage::AwaitingExecutors => self
                .submission_limit
                .min(INITIAL_SUBMISSION_LIMIT + SUBMISSIONS_PER_EXECUTOR * self.answered.len() as f64),
            Stage::RampingUp => self.submission_limit,
        };
        // A submission may need a new connection, so none is taken while connections are delayed for too long.
        let is_admitted = (active as f64) < limit
            && self.connections.next <= now + self.connections.interval(now) + MAX_CONNECT_DELAY;
        if !is_admitted {
            (self.last_rejection, self.rejected_submissions) = (now, self.rejected_submissions + 1);
        }
        is_admitted
    }

    /// Returns the time slot that the next connection to an executor would get.
    #[must_use]
    pub fn next_connect(&self, now: Nanos) -> Nanos {
        if self.stage == Stage::Full { now } else { self.connections.next.max(now) }
    }

    /// Reserves the time slot of the next connection to an executor and returns it.
    pub fn schedule_connect(&mut self, now: Nanos) -> Nanos {
        if self.stage == Stage::Full { now } else { self.connections.reserve(now) }
    }

    /// Returns `now` if the list may be requested at once, or else the time at which this is to be called again.
    pub fn schedule_list_request(&mut self, now: Nanos) -> Nanos {
        if self.stage == Stage::Full {
            return now;
        }
        let slot = self.list_request_at.take().unwrap_or_else(|| self.list_requests.reserve(now));
        self.list_request_at = (slot > now).then_some(slot);
        slot.max(now)
    }
}

/// Returns how long to wait before a session with coordinators is opened or reopened; `random` is a random number from 0
/// to 1.
#[must_use]
pub fn session_delay(limits: &StartLimits, random: f64) -> Nanos {
    RateLimiter::new(limits.sessions_per_s, limits.nodes, 0, random).next
}

/// A time on a clock that keeps running while the process is down, together with the boot of the machine since which
/// that clock counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootTimestamp {
    /// The id of the machine's boot; 0 if it is unknown.
    pub boot: u128,
    /// Nanoseconds since that boot.
    pub at: Nanos,
}

impl BootTimestamp {
    /// Returns the time passed since this timestamp, or none if it can't be known: the machine was rebooted since, its
    /// boot id is unknown, or `now` is earlier.
    #[must_use]
    pub fn age(&self, now: &Self) -> Option<Nanos> {
        (self.boot == now.boot && self.boot != 0).then(|| now.at.checked_sub(self.at)).flatten()
    }
}

/// Returns whether stored data of this age may be used as if it were current: only if it is younger than `max_age`. Data
/// of unknown age never is.
#[must_use]
pub fn is_fresh(age: Option<Nanos>, max_age: Nanos) -> bool {
    age.is_some_and(|age| age < max_age)
}
