//! The interface of the decisions: the events that go in, the actions that come out, and the configuration.
//!
//! Times are nanoseconds on the caller's monotonic clock. Submissions and workers are identified by small
//! indices that the caller assigns. A submission keeps its index until its last execution has ended, and a
//! worker keeps its index until [`Event::Retired`].

/// A time or a duration in nanoseconds.
pub type Nanos = u64;
/// The index of a submission.
pub type Submission = u32;
/// The index of a worker.
pub type Worker = u32;
/// An execution of a submission, numbered from 0 in the order of the [`Action::Execute`]s.
pub type Execution = u16;

/// Whether a submission may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It carries an id by which the workers within `scope` drop repeats for the length of `dedup_window`.
    Stamped { scope: DedupScope, dedup_window: Nanos },
    /// It must never run twice.
    OneShot,
}

/// The set of workers among which repeats of a stamped submission are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    /// Those of the same zone.
    Zone,
    /// Those of the same [`WorkerEntry::cell`].
    Cell,
}

impl RepeatPolicy {
    /// Returns whether a retry may go to only some of the workers.
    #[must_use]
    pub fn limits_retries(self) -> bool {
        matches!(self, Self::Stamped { scope: DedupScope::Zone | DedupScope::Cell, .. })
    }
}

impl DedupScope {
    /// Returns whether each of the two workers drops repeats of what the other has executed.
    #[must_use]
    pub fn covers(self, one: &WorkerEntry, other: &WorkerEntry) -> bool {
        match self {
            Self::All => true,
            Self::Zone => one.zone == other.zone,
            Self::Cell => one.cell == other.cell,
        }
    }
}

/// The requirements and the value of one class of submissions.
#[derive(Clone, Debug)]
pub struct Product {
    pub repeat_policy: RepeatPolicy,
    /// The time within which an answer earns the full payoff.
    pub latency_target: Nanos,
    /// The multiple of a submission's own running time that is added to its latency target.
    pub latency_target_factor: f64,
    pub payoff: f64,
    /// The part of the payoff that an answer after the latency target still earns.
    pub late_payoff: f64,
    /// The kinds of worker that may execute it, or `None` for all kinds.
    pub allowed_kinds: Option<Vec<u16>>,
    /// The zones in which it may be executed, or `None` for all zones.
    pub allowed_zones: Option<Vec<u16>>,
}

impl Product {
    /// Returns whether a worker of this kind and zone may execute the product. The restriction holds even if
    /// every allowed worker is down.
    #[must_use]
    pub fn allows(&self, worker: &WorkerEntry) -> bool {
        let within =
            |allowed: &Option<Vec<u16>>, value: u16| allowed.as_ref().is_none_or(|a| a.contains(&value));
        within(&self.allowed_kinds, worker.kind) && within(&self.allowed_zones, worker.zone)
    }

    /// Returns whether the product is restricted to some kinds or zones.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.allowed_kinds.is_some() || self.allowed_zones.is_some()
    }
}

/// The configuration of a node's decisions. [`Decide::reconfigure`] replaces it while the node runs.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Seeds the random number generator of this node's decisions.
    pub seed: u64,
    /// The number of nodes that share the workers.
    pub nodes: u32,
    /// The zone of this node.
    pub zone: u16,
    pub products: Vec<Product>,
    /// The submissions per second within each tenant's share, for all nodes together.
    pub quotas: Vec<f64>,
    /// The value of a submission beyond its tenant's share, as a part of its payoff.
    pub excess_payoff: f64,
    /// The points lost per submission for each probe.
    pub probe_cost: f64,
    /// The points lost per submission for each execution in another zone.
    pub zone_crossing_cost: f64,
    /// The points lost per submission for each new connection.
    pub connection_cost: f64,
    /// The most executions of a submission.
    pub max_executions: u16,
    /// Whether a submission may have several executions in flight.
    pub may_duplicate: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    /// The longest Retry-After that clients honour, or `None` if they get none.
    pub retry_after: Option<Nanos>,
    pub connect_timeout: Nanos,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Nanos,
    /// The time before a submission's deadline at which no execution is begun any more.
    pub deadline_margin: Nanos,
    /// The part of its capacity that a worker has right after its start.
    pub cold_capacity_share: f64,
    /// The time from a worker's start until it has its whole capacity.
    pub slow_start_duration: Nanos,
    /// A worker collapses when it gets more than this multiple of its capacity within `overload_window`.
    pub overload_factor: f64,
    pub overload_window: Nanos,
    /// The longest time between two requests for the list, or `None` if discovery pushes changes.
    pub list_refresh_limit: Option<Nanos>,
    /// The time between two progress messages of a job, or `None` if workers send none.
    pub progress_interval: Option<Nanos>,
    /// Whether workers report that a job has started.
    pub reports_start: bool,
    /// Whether the weights in the list are the workers' sizes.
    pub weights_are_sizes: bool,
    /// Whether jobs take a part of a worker's memory that must be accounted for.
    pub counts_memory: bool,
}

/// The state of a worker in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One worker in the list that discovery sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerEntry {
    pub worker: Worker,
    pub health: Health,
    pub kind: u16,
    pub zone: u16,
    /// The group of workers that drop repeats of what any of them has executed.
    pub cell: u16,
    /// The time of the last start, or 0 if it was long ago.
    pub started: Nanos,
    /// The worker's size, or the free part of it where weights are live; 0 if the list gives none.
    pub weight: f32,
}

/// What the entries of an [`Event::ListReceived`] stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All entries. A worker that is missing is gone.
    Whole,
    /// All entries as they were last stored, perhaps long ago.
    Cached,
    /// A request failed or the subscription broke; the previous list stays valid.
    Failed,
}

/// A worker's load report. A figure that is missing or invalid is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub free_slots: Option<f32>,
    /// In the unit of [`Job::memory`].
    pub free_memory: Option<f32>,
    pub queued_jobs: Option<f32>,
    /// The jobs that the worker holds, the queued ones among them.
    pub active_jobs: Option<f32>,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    /// The worker refused the job for lack of capacity, without looking at it.
    Overloaded,
    Error,
    /// The worker can't process the job: the submission is at fault, not the worker.
    InvalidSubmission,
    TimedOut,
    ConnectFailed,
    Reset,
    /// The other end had closed the reused connection. The job may have run, and the failure says nothing
    /// about the worker.
    StaleConnection,
    Cancelled,
    NotSent,
}

impl Outcome {
    /// Returns whether the worker has certainly not begun the job.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Overloaded | Self::ConnectFailed | Self::NotSent)
    }
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Answered,
    /// The worker did not answer, or answered with an error.
    Failed,
    /// The probe says nothing about the worker's health: the worker refused it because it gets too many, or it
    /// was not sent.
    Inconclusive,
}

/// The requirements of a submission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Job {
    pub product: u8,
    pub tenant: u16,
    /// The time by which the client must be answered.
    pub deadline: Nanos,
    /// The slots of a worker that it takes while it is executed.
    pub slots: f64,
    /// The memory that it takes. A worker that reports no memory is assumed to have one unit per slot.
    pub memory: f64,
}

/// The end of an execution.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub submission: Submission,
    pub execution: Execution,
    pub worker: Worker,
    pub outcome: Outcome,
    /// Whether the submission is over, by this end or earlier.
    pub closed: bool,
    /// The time since the execution was started.
    pub took: Nanos,
    pub report: Option<Report>,
}

/// An input to the decisions.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    ListReceived {
        kind: ListKind,
        entries: &'a [WorkerEntry],
    },
    Submitted {
        submission: Submission,
        job: Job,
    },
    /// The client left, or was answered by another node. The submission needs no answer any more.
    ClientLeft {
        submission: Submission,
    },
    /// The answer has begun to arrive; the deadline no longer applies.
    Streaming {
        submission: Submission,
        execution: Execution,
    },
    /// The job has started or made progress.
    Progressed {
        submission: Submission,
        execution: Execution,
    },
    Ended(Ending),
    Probed {
        worker: Worker,
        outcome: ProbeOutcome,
        report: Option<Report>,
    },
    /// The state of all connections to the worker shows that its process or machine was lost: the worker is
    /// gone, or it has restarted and is cold.
    ProcessLost {
        worker: Worker,
    },
    TimerFired {
        timer_id: u64,
    },
    /// The worker is gone, and no submission that is still known was ever sent to it. Its index will be
    /// assigned to another worker.
    Retired {
        worker: Worker,
    },
}

/// An output of the decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Execute {
        submission: Submission,
        worker: Worker,
        timeout: Nanos,
    },
    Cancel {
        submission: Submission,
        execution: Execution,
    },
    /// Final: answers the client with the promise that a retry is harmless.
    Dismiss {
        submission: Submission,
        retry_after: Option<Nanos>,
    },
    /// Final: answers the client without that promise.
    Abort {
        submission: Submission,
    },
    Probe {
        worker: Worker,
    },
    CloseIdleConnections {
        worker: Worker,
    },
    /// Requests the list and its changes from now on.
    Subscribe,
    /// The submission is over and its last execution has ended. Its index is free again.
    Forget {
        submission: Submission,
    },
    /// Asks for an [`Event::TimerFired`] with the same id at `at`.
    SetTimer {
        at: Nanos,
        timer_id: u64,
    },
}

/// A dispatcher: takes events in the order in which they happen and returns the actions to carry out.
pub trait Decide {
    /// Handles one event and returns the actions to carry out, in order.
    fn decide(&mut self, now: Nanos, event: Event<'_>) -> &[Action];

    /// Replaces the configuration. Everything learned or held so far is kept as far as it means the same
    /// under the new configuration.
    fn reconfigure(&mut self, config: DispatchConfig);
}
