//! The events of a world, and the queue that orders them by time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use linestack_core::{Disconnect, Input, Nanos, Outcome as ExecutionOutcome, PersistTicket};
use linestack_dispatch::types::{Health, Report};
use linestack_recovery::OutcomeRecord;

use crate::executor::ConnectionId;

/// Something that happens at a time. Indices point into the lists of [`World`](super::World).
///
/// An event for a process names its incarnation: one that comes for an earlier incarnation is dropped.
#[derive(Debug)]
pub(super) enum Event {
    /// An open-loop client may come.
    ClientArrives,
    /// A closed-loop client asks for its next submission.
    ClientAsks { client: usize },
    /// A client's submission reaches its node.
    RequestAtNode { attempt: usize },
    /// A response, or the end of the connection, reaches the client.
    ResponseAtClient { attempt: usize, outcome: ClientOutcome },
    /// A client stops waiting for a response.
    ClientGivesUp { attempt: usize, reason: GiveUp },
    /// A client's wait before a retry is over.
    ClientRetries { request: usize },
    /// An input is put into a node's inbox.
    NodeInput { node: usize, incarnation: u32, input: Input },
    /// A node has processor time again.
    NodeResumes { node: usize, incarnation: u32 },
    /// The timer that a node set for this time.
    NodeTimer { node: usize, incarnation: u32, at: Nanos },
    /// A node's connection attempt reaches the executor.
    ConnectAtExecutor { connection: ConnectionId },
    /// The executor's acceptance of a connection reaches the node.
    ConnectedAtNode { connection: ConnectionId },
    /// The end of a connection reaches the node.
    DisconnectedAtNode { connection: ConnectionId, broken: Option<Disconnect> },
    /// The node's closing of a connection reaches the executor.
    ClosedAtExecutor { connection: ConnectionId },
    /// A job reaches the executor.
    JobAtExecutor { connection: ConnectionId, attempt: usize },
    /// A probe reaches the executor.
    ProbeAtExecutor { connection: ConnectionId },
    /// The answer to a probe reaches the node.
    ProbeReplyAtNode { connection: ConnectionId, answered: Option<bool>, report: Option<Report> },
    /// The result of a job reaches the node.
    ReplyAtNode {
        connection: ConnectionId,
        attempt: usize,
        outcome: ExecutionOutcome,
        report: Option<Report>,
    },
    /// A notice of a job's start or progress reaches the node.
    ProgressAtNode { connection: ConnectionId, attempt: usize },
    /// An executor's next notice of a running job's progress is due.
    ProgressDue { executor: usize, incarnation: u32, connection: ConnectionId, attempt: usize },
    /// Some job of an executor may be done. Meant only if no later wake-up was set.
    ExecutorWakes { executor: usize, wake: u64 },
    /// A fault of the scenario begins or ends.
    FaultChanges { fault: usize, phase: FaultPhase },
    /// An intermittent fault of one executor comes or goes while it lasts.
    FaultToggles { fault: usize, executor: usize, on: bool },
    /// Discovery has noticed a change and tells the nodes.
    DiscoveryPublishes { executor: usize, health: Health, started: Nanos },
    /// A node's request for the whole list reaches discovery.
    DiscoveryCall { node: usize, incarnation: u32 },
    /// A node's process starts.
    NodeStarts { node: usize },
    /// A node that was told to stop is killed if it still runs.
    NodeKilled { node: usize, incarnation: u32 },
    /// A node is told to stop.
    NodeStops { node: usize },
    /// The front looks whether a node wants clients.
    HealthChecked { node: usize },
    /// An executor announces that it drains.
    ExecutorDrains { executor: usize },
    /// An executor leaves for good.
    ExecutorLeaves { executor: usize },
    /// A new executor joins.
    ExecutorJoins { spec: usize, zone: u16 },
    /// A silent client of a flood connects to a node.
    FloodConnects { fault: usize, node: usize },
    /// A record that a node wanted persisted is on its disk.
    RecordPersisted { node: usize, incarnation: u32, keep: OutcomeRecord, ticket: Option<PersistTicket> },
    /// Whatever is long over is dropped, and whatever is overdue is found.
    Sweep,
}

/// How a client's attempt ended, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientOutcome {
    /// The result came.
    Satisfied,
    /// Turned away, with the time after which to retry if one was named.
    Dismissed(Option<Nanos>),
    /// Taken, and ended without a result.
    Aborted,
    /// No answer, and none will come.
    NoAnswer,
    /// Nobody took it.
    Refused,
}

/// Why a client stops waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GiveUp {
    /// Its deadline has passed.
    DeadlinePassed,
    /// It leaves early and does not come again.
    Leaves,
}

/// Which end of a fault's span an event stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultPhase {
    Begins,
    Ends,
}

impl FaultPhase {
    pub(super) fn begins(self) -> bool {
        self == Self::Begins
    }
}

/// Events to come, in the order of their times; those of one time in the order in which they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    pushed: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Nanos, event: Event) {
        self.pushed += 1;
        self.heap.push(Reverse(Scheduled { at, number: self.pushed, event }));
    }

    /// The next event and its time.
    pub(super) fn pop(&mut self) -> Option<(Nanos, Event)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}

struct Scheduled {
    at: Nanos,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
