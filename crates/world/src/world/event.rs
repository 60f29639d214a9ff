//! The events of a simulation, and the queue that orders them by time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use linestack_core::{Disconnect, Input, Nanos, Outcome as ExecutionOutcome, PersistTicket};
use linestack_dispatch::types::{Health, ProbeOutcome, Report};
use linestack_recovery::OutcomeRecord;

use crate::executor::ConnectionId;

/// An event. Indices refer to the vectors of [`World`](super::World).
///
/// Events for a process contain its incarnation; an event for an earlier incarnation is dropped.
#[derive(Debug)]
pub(super) enum Event {
    /// The next candidate arrival of the open-loop load; see `client_arrives`.
    ClientArrives,
    /// A closed-loop client makes its next submission.
    ClosedClientSubmits { client: usize },
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
    /// A node's timer for this time fires.
    NodeTimer { node: usize, incarnation: u32, at: Nanos },
    /// A node's connection attempt reaches the executor.
    ConnectAtExecutor { connection: ConnectionId },
    /// The executor's acceptance of a connection reaches the node.
    ConnectedAtNode { connection: ConnectionId },
    /// The end of a connection reaches the node.
    DisconnectedAtNode { connection: ConnectionId, disconnect: Option<Disconnect> },
    /// The node's closing of a connection reaches the executor.
    ClosedAtExecutor { connection: ConnectionId },
    /// A job reaches the executor.
    JobAtExecutor { connection: ConnectionId, attempt: usize },
    /// A probe reaches the executor.
    ProbeAtExecutor { connection: ConnectionId },
    /// The answer to a probe reaches the node.
    ProbeReplyAtNode { connection: ConnectionId, outcome: ProbeOutcome, report: Option<Report> },
    /// The result of a job reaches the node.
    ReplyAtNode {
        connection: ConnectionId,
        attempt: usize,
        outcome: ExecutionOutcome,
        report: Option<Report>,
    },
    /// A message about a job's start or progress reaches the node.
    ProgressAtNode { connection: ConnectionId, attempt: usize },
    /// An executor's next progress message for a running job is due.
    ProgressDue { executor: usize, incarnation: u32, connection: ConnectionId, attempt: usize },
    /// A job of an executor may be done. Ignored if a later wake-up was scheduled.
    ExecutorWakes { executor: usize, wake_number: u64 },
    /// A fault of the scenario begins or ends.
    FaultChanges { fault: usize, phase: FaultPhase },
    /// An intermittent fault of one executor starts or stops during its span.
    FaultToggles { fault: usize, executor: usize, on: bool },
    /// Discovery has detected a change and publishes it to the nodes.
    DiscoveryPublishes { executor: usize, health: Health, started: Nanos },
    /// A node's request for the whole list reaches discovery.
    ListRequested { node: usize, incarnation: u32 },
    /// A node's process starts.
    NodeStarts { node: usize },
    /// A node that was told to stop is killed if it still runs.
    NodeKilled { node: usize, incarnation: u32 },
    /// A node is told to stop.
    NodeStops { node: usize },
    /// The load balancer checks a node's health.
    HealthChecked { node: usize },
    /// An executor starts to drain.
    ExecutorDrains { executor: usize },
    /// An executor leaves for good.
    ExecutorLeaves { executor: usize },
    /// A new executor joins.
    ExecutorJoins { kind_index: usize, zone: u16 },
    /// A client of a flood, which sends nothing, connects to a node.
    FloodConnects { fault: usize, node: usize },
    /// A record that a node persists is on its disk.
    RecordPersisted { node: usize, incarnation: u32, record: OutcomeRecord, ticket: Option<PersistTicket> },
    /// Drops expired state, and reports overdue submissions.
    Sweep,
}

/// How a client's attempt ended, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientOutcome {
    /// It got the result.
    Satisfied,
    /// The node dismissed it, with a retry-after time if it gave one.
    Dismissed(Option<Nanos>),
    /// The node aborted it.
    Aborted,
    /// It got no answer, and none will come.
    NoAnswer,
    /// The node refused the connection.
    Refused,
}

/// Why a client stops waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GiveUp {
    /// Its deadline has passed.
    DeadlinePassed,
    /// It leaves early and does not retry.
    Leaves,
}

/// Whether a fault begins or ends.
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

/// Pending events, ordered by time; events of the same time are ordered as they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    /// The number of events pushed so far.
    pushed_count: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Nanos, event: Event) {
        self.pushed_count += 1;
        self.heap.push(Reverse(Scheduled { at, sequence_number: self.pushed_count, event }));
    }

    /// Removes and returns the next event with its time.
    pub(super) fn pop(&mut self) -> Option<(Nanos, Event)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}

struct Scheduled {
    at: Nanos,
    sequence_number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence_number == other.sequence_number
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
        (self.at, self.sequence_number).cmp(&(other.at, other.sequence_number))
    }
}
