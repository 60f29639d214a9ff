//! What the decisions are told, what they order, and what is read once at start.
//!
//! Times are nanoseconds on the caller's clock, which only goes forward. Submissions and workers are
//! small indices that the caller hands out; a submission keeps its index until its last execution
//! has ended, and a worker keeps its own until it is retired.

pub type Nanos = u64;
pub type Submission = u32;
pub type Worker = u32;
/// An execution of a submission, numbered from 0 in the order of the [`Order::Execute`]s.
pub type Execution = u16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// May run any number of times.
    Harmless,
    /// Carries a mark by which the workers of one group drop repeats for `memory`.
    Stamped { group: Group, memory: Nanos },
    /// Must never run twice.
    OneShot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Repeats {
    /// A repeat may go to some of the workers only.
    #[must_use]
    pub fn is_grouped(self) -> bool {
        matches!(self, Self::Stamped { group: Group::Zone | Group::Cell, .. })
    }
}

impl Group {
    /// Whether both drop repeats of what the other has seen.
    #[must_use]
    pub fn joins(self, one: &Listing, other: &Listing) -> bool {
        match self {
            Self::All => true,
            Self::Zone => one.zone == other.zone,
            Self::Cell => one.cell == other.cell,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Product {
    pub repeats: Repeats,
    pub agreed: Nanos,
    /// By how many times its own running time the agreed time grows.
    pub stretch: f64,
    pub payoff: f64,
    /// The part of the payoff that is left after the agreed time.
    pub late_payoff: f64,
    /// The kinds of worker and the zones that are open to it; `None` where all are.
    pub kinds: Option<Vec<u16>>,
    pub zones: Option<Vec<u16>>,
}

impl Product {
    /// Whether it may be sent there at all. One that is not open to it stays so when all others are down.
    #[must_use]
    pub fn open_to(&self, place: &Listing) -> bool {
        let within = |open: &Option<Vec<u16>>, is: u16| open.as_ref().is_none_or(|open| open.contains(&is));
        within(&self.kinds, place.kind) && within(&self.zones, place.zone)
    }

    #[must_use]
    pub fn is_bound(&self) -> bool {
        self.kinds.is_some() || self.zones.is_some()
    }
}

/// The terms under which a node works, read once at start.
#[derive(Clone, Debug)]
pub struct StandingOrders {
    pub seed: u64,
    pub nodes: u32,
    pub zone: u16,
    pub products: Vec<Product>,
    /// Submissions a second within each tenant's share, for all nodes together.
    pub quotas: Vec<f64>,
    /// What a submission beyond its tenant's share is worth, as a part of the payoff.
    pub excess_payoff: f64,
    /// Points lost for each probe a submission, and for each crossing of zones.
    pub probe_price: f64,
    pub crossing_price: f64,
    /// And for each new connection a submission.
    pub connection_price: f64,
    pub max_executions: u16,
    pub may_duplicate: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    /// The longest come-back time that clients heed, where they are given one.
    pub come_back: Option<Nanos>,
    pub connect_timeout: Nanos,
    /// An idle connection closes by itself after this.
    pub idle: Nanos,
    pub answer_slack: Nanos,
    pub cold_from: f64,
    pub cold_for: Nanos,
    pub fall_multiple: f64,
    pub fall_window: Nanos,
    /// Where the list must be asked for: how long a node may go without asking.
    pub ask_within: Option<Nanos>,
    /// Time between progress notes, where workers send them.
    pub progress_every: Option<Nanos>,
    pub tells_start: bool,
    /// The list's weights are the workers' sizes.
    pub listed_sizes: bool,
    pub counts_memory: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub worker: Worker,
    pub health: Health,
    pub kind: u16,
    pub zone: u16,
    pub cell: u16,
    /// The last start, 0 if long ago.
    pub started: Nanos,
    /// Its size, or what of it is free where weights are live; 0 if the list gives none.
    pub weight: f32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Whole,
    /// The whole list as it was once known, perhaps long ago.
    Cached,
    /// A call failed or the subscription broke; the old list stands.
    Failed,
}

/// A worker's load report. A figure that is not told, or makes no sense, is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub free_slots: Option<f32>,
    pub free_memory: Option<f32>,
    pub waiting: Option<f32>,
    pub in_hand: Option<f32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Satisfied,
    /// Turned away unseen.
    Full,
    Error,
    /// The worker can't make use of it: the submission is at fault, not the worker.
    Unusable,
    TimedOut,
    ConnectFailed,
    Reset,
    /// The connection was closed at the other end before: it may have run, and tells nothing of the worker.
    Stale,
    Cancelled,
    NotSent,
}

impl Outcome {
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent)
    }
}

/// What a submission asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Job {
    pub product: u8,
    pub tenant: u16,
    pub cut_off: Nanos,
    pub slots: f64,
    pub memory: f64,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub submission: Submission,
    pub execution: Execution,
    pub worker: Worker,
    pub outcome: Outcome,
    /// The submission is over, by this ending or before it.
    pub closed: bool,
    pub took: Nanos,
    pub report: Option<Report>,
}

#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    Listed {
        kind: ListKind,
        entries: &'a [Listing],
    },
    Submitted {
        submission: Submission,
        job: Job,
    },
    /// The client left, or was answered by others; nothing more is owed.
    Left {
        submission: Submission,
    },
    /// The answer has begun; no cut-off runs any longer.
    Streaming {
        submission: Submission,
        execution: Execution,
    },
    /// The job has started or made progress.
    Noted {
        submission: Submission,
        execution: Execution,
    },
    Ended(Ending),
    Probed {
        worker: Worker,
        /// `None` when the worker turned the probe away, having too many of them.
        answered: Option<bool>,
        report: Option<Report>,
    },
    /// All that was seen of its connections says that its process or machine was lost: it is gone, or back
    /// and cold.
    Died {
        worker: Worker,
    },
    Rang {
        token: u64,
    },
    /// The worker is gone, and no submission that is still known was ever sent to it: its index will mean
    /// another one.
    Retired {
        worker: Worker,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    Execute {
        submission: Submission,
        worker: Worker,
        timeout: Nanos,
    },
    Cancel {
        submission: Submission,
        execution: Execution,
    },
    /// Final: turned away, with the promise that a retry is harmless.
    Dismiss {
        submission: Submission,
        come_back: Option<Nanos>,
    },
    /// Final: not done, with no promise.
    Abort {
        submission: Submission,
    },
    Probe {
        worker: Worker,
    },
    /// Close the idle connections to it.
    Release {
        worker: Worker,
    },
    /// Ask for the changes of the list from now on.
    Subscribe,
    /// The submission is over and its last execution has ended: its index is free again.
    Forget {
        submission: Submission,
    },
    Ring {
        at: Nanos,
        token: u64,
    },
}

/// Who decides: what happened goes in, in the order in which it happened; what is to be done comes out.
pub trait Decide {
    fn decide(&mut self, now: Nanos, event: Event<'_>) -> &[Order];

    /// Other terms hold from now on; what was learned and is held stays, as far as it means the same.
    fn go_on_under(&mut self, terms: StandingOrders);
}
