//! What happens in a world, and the queue that orders it.

use linestack_core::{Broken, Input, Nanos, Outcome as ExecutionOutcome, Ticket};
use linestack_dispatch::types::{Health, Report};
use linestack_recovery::Keep;

use crate::executor::ConnectionId;

#[derive(Debug)]
pub(super) enum Event {
    ClientArrives,
    ClientAsks {
        client: usize,
    },
    RequestAtNode {
        attempt: usize,
    },
    ResponseAtClient {
        attempt: usize,
        outcome: ClientOutcome,
    },
    ClientGivesUp {
        attempt: usize,
        leaves: bool,
    },
    ClientRetries {
        request: usize,
    },
    NodeInput {
        node: usize,
        incarnation: u32,
        input: Input,
    },
    NodeResumes {
        node: usize,
        incarnation: u32,
    },
    NodeTimer {
        node: usize,
        incarnation: u32,
        at: Nanos,
    },
    ConnectAtExecutor {
        connection: ConnectionId,
    },
    ConnectedAtNode {
        connection: ConnectionId,
    },
    DisconnectedAtNode {
        connection: ConnectionId,
        broken: Option<Broken>,
    },
    ClosedAtExecutor {
        connection: ConnectionId,
    },
    JobAtExecutor {
        connection: ConnectionId,
        attempt: usize,
    },
    ProbeAtExecutor {
        connection: ConnectionId,
    },
    ProbeReplyAtNode {
        connection: ConnectionId,
        answered: Option<bool>,
        report: Option<Report>,
    },
    ReplyAtNode {
        connection: ConnectionId,
        attempt: usize,
        outcome: ExecutionOutcome,
        report: Option<Report>,
    },
    NoticeAtNode {
        connection: ConnectionId,
        attempt: usize,
    },
    ProgressDue {
        executor: usize,
        incarnation: u32,
        connection: ConnectionId,
        attempt: usize,
    },
    ExecutorWakes {
        executor: usize,
        wake: u64,
    },
    FaultChanges {
        fault: usize,
        begins: bool,
    },
    FaultToggles {
        fault: usize,
        executor: usize,
        on: bool,
    },
    DiscoveryPublishes {
        executor: usize,
        health: Health,
        started: Nanos,
    },
    DiscoveryCall {
        node: usize,
        incarnation: u32,
    },
    NodeStarts {
        node: usize,
    },
    NodeKilled {
        node: usize,
        incarnation: u32,
    },
    NodeStops {
        node: usize,
    },
    HealthChecked {
        node: usize,
    },
    ExecutorDrains {
        executor: usize,
    },
    ExecutorLeaves {
        executor: usize,
    },
    ExecutorJoins {
        spec: usize,
        zone: u16,
    },
    FloodConnects {
        fault: usize,
        node: usize,
    },
    RecordPersisted {
        node: usize,
        incarnation: u32,
        keep: Keep,
        ticket: Option<Ticket>,
    },
    JudgeSweeps,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientOutcome {
    Satisfied,
    Dismissed(Option<Nanos>),
    Aborted,
    /// No answer, and none will come.
    NoAnswer,
    /// Nobody took it.
    Refused,
}

pub(super) struct Scheduled {
    pub(super) at: Nanos,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
