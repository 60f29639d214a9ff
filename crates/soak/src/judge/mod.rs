//! Holds a history against the invariants of `docs/invariants.md`, one rule a function. It knows what was seen from outside
//! and nothing of how the program keeps a rule.

mod answers;
mod cold;
mod drains;
mod executions;
mod processes;

use std::collections::{BTreeMap, HashMap};

use crate::history::{ClientConnectionId, Entry, Event, ExecutorConnectionId, Nanos, NodeEvent};
use crate::millis;
use crate::plan::Plan;
use crate::run::{Location, RunRecord};
use crate::settings::{Class, RunSettings};

/// A rule of the page, by the name that it has there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request taken gets one final answer, in time.
    Answer,
    /// The answer is what an executor made for this request.
    OwnAnswer,
    /// Nothing comes that nobody asked for.
    Unasked,
    /// No effect twice.
    Twice,
    /// A refusal promises that nothing has run.
    RefusedAndRun,
    /// Two executions are out at once only where that is allowed.
    TwoOut,
    /// No more executions than allowed.
    TooMany,
    /// Nothing new to a draining or gone executor.
    Drained,
    /// No cold executor is pushed over.
    Cold,
    /// Nothing begins for a client that has left.
    ForNobody,
    /// No executor is told more time than its client has left.
    Deadline,
    /// A bound product goes only where it may.
    Placement,
    /// Executors get what makes sense.
    Malformed,
    /// Clients that misbehave get an error or a close.
    BadClient,
    /// No process ends by itself, or has a line in its log that it should never have.
    Crash,
    /// A process that is told to end does, in time.
    Exit,
    /// Processes that start are ready in time.
    Ready,
    /// When all troubles are over, all is served.
    Recovered,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When it showed.
    pub at: Nanos,
    /// By which request, process or executor, and how.
    pub description: String,
}

/// What is judged.
pub struct Case<'a> {
    /// All that happened, by time.
    pub history: &'a [Entry],
    /// The terms of the run.
    pub settings: &'a RunSettings,
    /// Where executors are.
    pub locations: &'a [Location],
    /// Their slots, and milliseconds of a job.
    pub capacities: &'a [(usize, f64)],
}

impl<'a> Case<'a> {
    /// A plan that was played.
    #[must_use]
    pub fn of(plan: &'a Plan, played: &'a RunRecord) -> Self {
        Self {
            history: &played.history,
            settings: &plan.settings,
            locations: &played.locations,
            capacities: &played.capacities,
        }
    }
}

/// What came of a case.
#[derive(Debug, Default)]
pub struct Verdict {
    /// All that was broken, by time.
    pub violations: Vec<Violation>,
    /// What looked broken while the driver itself was late, and is not counted.
    pub doubtful: Vec<Violation>,
    /// What the run had in it.
    pub counts: Counts,
}

/// How much of everything a run had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that clients sent.
    pub asked: usize,
    /// Answers 200,
    pub served: usize,
    /// 429 and 503,
    pub refused: usize,
    /// and others.
    pub failed: usize,
    /// Requests whose client left.
    pub left: usize,
    /// Executions that executors saw.
    pub executions: usize,
    /// Starts of nodes.
    pub starts: usize,
}

/// The stand-ins are threads of a busy machine: they may see things so late.
pub(crate) const SLACK: Nanos = 100_000_000;
/// For so long around a time at which the driver was late nothing is judged.
const DOUBT: Nanos = 400_000_000;

/// A request, as its client and its executors saw it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: Class,
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) client_connection: ClientConnectionId,
    pub(crate) asked: Nanos,
    pub(crate) deadline: Nanos,
    pub(crate) first: bool,
    pub(crate) behind: usize,
    pub(crate) ends: Vec<(Nanos, Event)>,
    pub(crate) left: Option<Nanos>,
    pub(crate) executions: Vec<Execution>,
}

/// An execution, as its executor saw it.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    pub(crate) executor: usize,
    pub(crate) connection: ExecutorConnectionId,
    pub(crate) first_byte: Nanos,
    pub(crate) received: Nanos,
    pub(crate) deadline_header_ms: Option<u64>,
    pub(crate) declined: bool,
    pub(crate) finished: Option<Nanos>,
}

/// One process of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Life {
    pub(crate) events: Vec<(Nanos, NodeEvent)>,
    pub(crate) told: Vec<(Nanos, u64)>,
    pub(crate) muted: Option<Nanos>,
}

impl Life {
    pub(crate) fn when(&self, wanted: impl Fn(&NodeEvent) -> bool) -> Option<Nanos> {
        self.events.iter().find(|(_, node_event)| wanted(node_event)).map(|(at, _)| *at)
    }

    /// What fails in it.
    pub(crate) fn shim(&self) -> &str {
        let shims = self.events.iter().filter_map(|(_, node_event)| match node_event {
            NodeEvent::Started { shim } => Some(shim.as_str()),
            _ => None,
        });
        shims.fold("", |_, latest| latest)
    }

    /// For how long in all it stood still between two times.
    pub(crate) fn paused(&self, from: Nanos, until: Nanos) -> Nanos {
        let mut paused = 0;
        let mut since = None;
        for (at, node_event) in &self.events {
            match (node_event, since) {
                (NodeEvent::Paused, _) => since = Some(*at),
                (NodeEvent::Resumed | NodeEvent::Killed | NodeEvent::Ended { .. }, Some(begun)) => {
                    paused += (*at).min(until).saturating_sub(begun.max(from));
                    since = None;
                }
                _ => {}
            }
        }
        paused + since.map_or(0, |begun| until.saturating_sub(begun.max(from)))
    }
}

/// A history, put in order by requests and processes.
pub(crate) struct Facts<'a> {
    pub(crate) case: &'a Case<'a>,
    pub(crate) requests: BTreeMap<String, Request>,
    pub(crate) lives: HashMap<(usize, u64), Life>,
    pub(crate) calm: Option<Nanos>,
}

/// Judges a run.
#[must_use]
pub fn judge(case: &Case<'_>) -> Verdict {
    let facts = Facts::gather(case);
    let mut found = Vec::new();
    answers::judge(&facts, &mut found);
    executions::judge(&facts, &mut found);
    drains::judge(&facts, &mut found);
    cold::judge(&facts, &mut found);
    processes::judge(&facts, &mut found);
    found.sort_by_key(|violation| violation.at);
    let late: Vec<(Nanos, Nanos)> = case.history.iter().filter_map(|entry| entry.late()).collect();
    let doubted = |at: Nanos| late.iter().any(|(from, until)| (*from..*until).contains(&at));
    let (doubtful, violations) = found.into_iter().partition(|violation| doubted(violation.at));
    Verdict { violations, doubtful, counts: facts.counts() }
}

impl Entry {
    /// Around which times nothing is judged, since the driver was late then.
    fn late(&self) -> Option<(Nanos, Nanos)> {
        let Event::DriverDelayed { by } = self.event else { return None };
        Some((self.at.saturating_sub(by + DOUBT), self.at + DOUBT))
    }
}

impl<'a> Facts<'a> {
    fn gather(case: &'a Case<'a>) -> Self {
        let mut facts = Self { case, requests: BTreeMap::new(), lives: HashMap::new(), calm: None };
        for entry in case.history {
            facts.take(entry.at, &entry.event);
        }
        facts
    }

    fn take(&mut self, at: Nanos, event: &Event) {
        match event {
            Event::RequestSent { id, node, life, class, client_connection, deadline_ms, first, behind } => {
                let request = self.requests.entry(id.clone()).or_insert_with(|| Request {
                    class: *class,
                    node: *node,
                    life: *life,
                    client_connection: *client_connection,
                    asked: at,
                    deadline: 0,
                    first: *first,
                    behind: *behind,
                    ends: Vec::new(),
                    left: None,
                    executions: Vec::new(),
                });
                // Sent once more after a close that crossed it: what counts is the last.
                (request.node, request.life, request.client_connection) = (*node, *life, *client_connection);
                (request.asked, request.first, request.behind) = (at, *first, *behind);
                request.deadline = at + millis(*deadline_ms);
            }
            Event::Answered { id, .. } | Event::Unanswered { id, .. } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.ends.push((at, event.clone()));
                }
            }
            Event::ClientLeft { id } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.left = Some(at);
                }
            }
            Event::Received { id, executor, connection, first_byte, deadline_header_ms } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.executions.push(Execution {
                        executor: *executor,
                        connection: *connection,
                        first_byte: *first_byte,
                        received: at,
                        deadline_header_ms: *deadline_header_ms,
                        declined: false,
                        finished: None,
                    });
                }
            }
            Event::Declined { id, connection } => {
                if let Some(execution) = self.execution(id, *connection) {
                    execution.declined = true;
                }
            }
            Event::ExecutionEnded { id, connection } => {
                if let Some(execution) = self.execution(id, *connection) {
                    execution.finished = Some(at);
                }
            }
            Event::ListSent { node, life, version } => {
                self.lives.entry((*node, *life)).or_default().told.push((at, *version));
            }
            Event::WatchSilenced { node, life } => {
                self.lives.entry((*node, *life)).or_default().muted = Some(at);
            }
            Event::Node { node, life, node_event } => {
                self.lives.entry((*node, *life)).or_default().events.push((at, node_event.clone()));
            }
            Event::Calm => self.calm = Some(at),
            _ => {}
        }
    }

    fn execution(&mut self, id: &str, connection: ExecutorConnectionId) -> Option<&mut Execution> {
        let executions = &mut self.requests.get_mut(id)?.executions;
        executions.iter_mut().rev().find(|execution| execution.connection == connection)
    }

    pub(crate) fn life(&self, request: &Request) -> Option<&Life> {
        self.lives.get(&(request.node, request.life))
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts { asked: self.requests.len(), ..Counts::default() };
        for request in self.requests.values() {
            counts.left += usize::from(request.left.is_some());
            counts.executions += request.executions.len();
            for (_, end) in &request.ends {
                match end {
                    Event::Answered { status: 200, .. } => counts.served += 1,
                    Event::Answered { status: 429 | 503, .. } => counts.refused += 1,
                    _ => counts.failed += 1,
                }
            }
        }
        let started = |(_, node_event): &&(Nanos, NodeEvent)| matches!(node_event, NodeEvent::Started { .. });
        counts.starts = self.lives.values().flat_map(|life| life.events.iter().filter(started)).count();
        counts
    }
}

/// A span in milliseconds, for people.
pub(crate) fn ms(span: Nanos) -> u64 {
    span / 1_000_000
}
