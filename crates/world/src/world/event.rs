//! What happens in a world, and the queue that orders it.

use linestack_core::{Broken, Input, Nanos, Outcome as Ended, Ticket};
use linestack_dispatch::types::{Health, Report};
use linestack_recovery::Keep;

use crate::executor::Line;

#[derive(Debug)]
pub(super) enum Happening {
    Arrives,
    Asks { client: usize },
    AtNode { attempt: usize },
    Back { attempt: usize, ending: Ending },
    GivesUp { attempt: usize, leaves: bool },
    Again { first: usize },
    Feed { node: usize, life: u32, input: Input },
    Resume { node: usize, life: u32 },
    Tick { node: usize, life: u32, at: Nanos },
    Syn { line: Line },
    Up { line: Line },
    Down { line: Line, broken: Option<Broken> },
    Fin { line: Line },
    Request { line: Line, attempt: usize },
    Probe { line: Line },
    Probed { line: Line, answered: Option<bool>, report: Option<Report> },
    Reply { line: Line, attempt: usize, ended: Ended, report: Option<Report> },
    Note { line: Line, attempt: usize },
    Progress { executor: usize, life: u32, line: Line, attempt: usize },
    Wake { executor: usize, wake: u64 },
    Trouble { which: usize, begins: bool },
    Step { which: usize, executor: usize, on: bool },
    Publish { executor: usize, health: Health, started: Nanos },
    Call { node: usize, life: u32 },
    Starts { node: usize },
    Kill { node: usize, life: u32 },
    Stops { node: usize },
    Notice { node: usize },
    Drains { executor: usize },
    Leaves { executor: usize },
    Joins { spec: usize, zone: u16 },
    Flood { which: usize, node: usize },
    Kept { node: usize, life: u32, keep: Keep, ticket: Option<Ticket> },
    Sweep,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ending {
    Satisfied,
    Dismissed(Option<Nanos>),
    Aborted,
    /// No answer, and none will come.
    Lost,
    /// Nobody took it.
    Refused,
}

pub(super) struct Item {
    pub(super) at: Nanos,
    pub(super) number: u64,
    pub(super) what: Happening,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
