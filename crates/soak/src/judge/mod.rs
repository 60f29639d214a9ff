//! Checks a history against the invariants of `docs/invariants.md`. The judge sees only what was
//! observed from outside the program and knows nothing of how the program implements a rule.

mod answers;
mod cold;
mod drains;
mod executions;
mod processes;

use std::collections::{BTreeMap, HashMap};

use crate::history::{ClientConnectionId, Entry, Event, ExecutorConnectionId, Nanos, NodeEvent};
use crate::millis_to_nanos;
use crate::plan::Plan;
use crate::run::{ExecutorCapacity, Location, RunRecord};
use crate::settings::{Class, RunSettings};

/// An invariant, under the name that it has in `docs/invariants.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted request gets exactly one final answer, in time.
    Answer,
    /// The answer is the result that an executor produced for this request.
    OwnAnswer,
    /// A client receives no bytes that it did not ask for.
    Unasked,
    /// No effect happens twice.
    Twice,
    /// A refused request has not been executed.
    RefusedAndRun,
    /// Two executions of a submission are in flight at once only if the settings allow it.
    TwoOut,
    /// A submission has no more executions than the settings allow.
    TooMany,
    /// An executor that drains or has left gets no new executions.
    Drained,
    /// No cold executor is overloaded.
    Cold,
    /// No execution begins for a client that has disconnected.
    ForNobody,
    /// The deadline sent to an executor is not later than the client's deadline.
    Deadline,
    /// A product that is bound to a zone is executed only there.
    Placement,
    /// Executors get only well-formed requests.
    Malformed,
    /// Clients that misbehave get an error, or their connection is closed.
    BadClient,
    /// No process exits by itself, and no log contains a line that reports a bug.
    Crash,
    /// A process that gets SIGTERM exits cleanly and in time.
    Exit,
    /// A process that starts becomes ready in time.
    Ready,
    /// Once all faults are over, nearly all requests are served.
    Recovered,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation was observed.
    pub at: Nanos,
    /// Which request, process or executor violated the rule, and how.
    pub description: String,
}

/// The input of the judge.
pub struct Case<'a> {
    /// All events, ordered by time.
    pub history: &'a [Entry],
    /// The settings of the run.
    pub settings: &'a RunSettings,
    /// The zone and group of each executor, by index.
    pub locations: &'a [Location],
    /// The capacity of each executor, by index.
    pub capacities: &'a [ExecutorCapacity],
}

impl<'a> Case<'a> {
    /// Builds the judge's input from a plan and the record of its run.
    #[must_use]
    pub fn of(plan: &'a Plan, record: &'a RunRecord) -> Self {
        Self {
            history: &record.history,
            settings: &plan.settings,
            locations: &record.locations,
            capacities: &record.capacities,
        }
    }
}

/// The result of judging a case.
#[derive(Debug, Default)]
pub struct Verdict {
    /// All violations, ordered by time.
    pub violations: Vec<Violation>,
    /// Apparent violations around a delay of the driver itself. They are not counted.
    pub doubtful: Vec<Violation>,
    /// Totals of the run.
    pub counts: Counts,
}

/// Totals of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that clients sent.
    pub asked: usize,
    /// Answers with status 200.
    pub served: usize,
    /// Answers with status 429 or 503.
    pub refused: usize,
    /// All other answers, and requests that got none.
    pub failed: usize,
    /// Requests whose client disconnected before the answer.
    pub left: usize,
    /// Executions that executors received.
    pub executions: usize,
    /// Starts of node processes.
    pub starts: usize,
}

/// Tolerance for late observations: the simulated clients and executors are threads on a busy machine.
pub(crate) const OBSERVATION_SLACK: Nanos = 100_000_000;
/// No event within this span before or after a delay of the driver is judged.
const DOUBTFUL_SPAN: Nanos = 400_000_000;

/// A request, as observed by its client and its executors.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: Class,
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) client_connection: ClientConnectionId,
    pub(crate) sent_at: Nanos,
    pub(crate) deadline: Nanos,
    pub(crate) first_on_connection: bool,
    /// The number of unanswered requests that were sent before it on its connection.
    pub(crate) requests_before: usize,
    /// The events [`Event::Answered`] and [`Event::Unanswered`] of the request, with their times.
    pub(crate) endings: Vec<(Nanos, Event)>,
    /// When its client disconnected before the answer.
    pub(crate) client_left_at: Option<Nanos>,
    pub(crate) executions: Vec<Execution>,
}

/// An execution, as observed by its executor.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    pub(crate) executor: usize,
    pub(crate) connection: ExecutorConnectionId,
    pub(crate) first_byte_at: Nanos,
    /// When the request had arrived completely.
    pub(crate) received_at: Nanos,
    pub(crate) deadline_header_ms: Option<u64>,
    pub(crate) declined: bool,
    /// When it was answered, or its connection was gone.
    pub(crate) ended_at: Option<Nanos>,
}

/// The observations of one process of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeProcess {
    pub(crate) events: Vec<(Nanos, NodeEvent)>,
    /// The versions of the list that discovery sent to it, with their times.
    pub(crate) lists_sent: Vec<(Nanos, u64)>,
    /// When its watch last became permanently silent.
    pub(crate) watch_silenced: Option<Nanos>,
}

impl NodeProcess {
    /// Returns when the first event that `matches` accepts happened.
    pub(crate) fn time_of(&self, matches: impl Fn(&NodeEvent) -> bool) -> Option<Nanos> {
        self.events.iter().find(|(_, node_event)| matches(node_event)).map(|(at, _)| *at)
    }

    /// Returns the shim plan by which system calls of this process fail.
    pub(crate) fn shim(&self) -> &str {
        let shims = self.events.iter().filter_map(|(_, node_event)| match node_event {
            NodeEvent::Started { shim } => Some(shim.as_str()),
            _ => None,
        });
        shims.fold("", |_, latest| latest)
    }

    /// Returns for how long in total the process was paused between two times.
    pub(crate) fn paused_time(&self, from: Nanos, until: Nanos) -> Nanos {
        let mut paused = 0;
        let mut since = None;
        for (at, node_event) in &self.events {
            match (node_event, since) {
                (NodeEvent::Paused, _) => since = Some(*at),
                (NodeEvent::Resumed | NodeEvent::Killed | NodeEvent::Ended { .. }, Some(start)) => {
                    paused += (*at).min(until).saturating_sub(start.max(from));
                    since = None;
                }
                _ => {}
            }
        }
        paused + since.map_or(0, |start| until.saturating_sub(start.max(from)))
    }
}

/// A history, grouped by requests and processes.
pub(crate) struct Facts<'a> {
    pub(crate) case: &'a Case<'a>,
    pub(crate) requests: BTreeMap<String, Request>,
    /// By the index of the node and the number of its process.
    pub(crate) processes: HashMap<(usize, u64), NodeProcess>,
    /// When all faults were over.
    pub(crate) calm_since: Option<Nanos>,
}

/// Checks all rules against the history of a run.
#[must_use]
pub fn judge(case: &Case<'_>) -> Verdict {
    let facts = Facts::from_case(case);
    let mut violations = Vec::new();
    answers::judge(&facts, &mut violations);
    executions::judge(&facts, &mut violations);
    drains::judge(&facts, &mut violations);
    cold::judge(&facts, &mut violations);
    processes::judge(&facts, &mut violations);
    violations.sort_by_key(|violation| violation.at);
    let delays: Vec<(Nanos, Nanos)> = case.history.iter().filter_map(|entry| entry.doubtful_span()).collect();
    let is_doubtful = |at: Nanos| delays.iter().any(|(from, until)| (*from..*until).contains(&at));
    let (doubtful, violations) = violations.into_iter().partition(|violation| is_doubtful(violation.at));
    Verdict { violations, doubtful, counts: facts.counts() }
}

impl Entry {
    /// Returns the span that is not judged because the driver was delayed; none for any other event.
    fn doubtful_span(&self) -> Option<(Nanos, Nanos)> {
        let Event::DriverDelayed { by } = self.event else { return None };
        Some((self.at.saturating_sub(by + DOUBTFUL_SPAN), self.at + DOUBTFUL_SPAN))
    }
}

impl<'a> Facts<'a> {
    fn from_case(case: &'a Case<'a>) -> Self {
        let mut facts = Self { case, requests: BTreeMap::new(), processes: HashMap::new(), calm_since: None };
        for entry in case.history {
            facts.record(entry.at, &entry.event);
        }
        facts
    }

    fn record(&mut self, at: Nanos, event: &Event) {
        match event {
            Event::RequestSent { id, node, life, class, client_connection, deadline_ms, first, behind } => {
                let request = self.requests.entry(id.clone()).or_insert_with(|| Request {
                    class: *class,
                    node: *node,
                    life: *life,
                    client_connection: *client_connection,
                    sent_at: at,
                    deadline: 0,
                    first_on_connection: *first,
                    requests_before: *behind,
                    endings: Vec::new(),
                    client_left_at: None,
                    executions: Vec::new(),
                });
                // A request is sent again if the node closed its connection as the request arrived; the last attempt counts.
                (request.node, request.life, request.client_connection) = (*node, *life, *client_connection);
                (request.sent_at, request.first_on_connection, request.requests_before) =
                    (at, *first, *behind);
                request.deadline = at + millis_to_nanos(*deadline_ms);
            }
            Event::Answered { id, .. } | Event::Unanswered { id, .. } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.endings.push((at, event.clone()));
                }
            }
            Event::ClientLeft { id } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.client_left_at = Some(at);
                }
            }
            Event::Received { id, executor, connection, first_byte, deadline_header_ms } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.executions.push(Execution {
                        executor: *executor,
                        connection: *connection,
                        first_byte_at: *first_byte,
                        received_at: at,
                        deadline_header_ms: *deadline_header_ms,
                        declined: false,
                        ended_at: None,
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
                    execution.ended_at = Some(at);
                }
            }
            Event::ListSent { node, life, version } => {
                self.processes.entry((*node, *life)).or_default().lists_sent.push((at, *version));
            }
            Event::WatchSilenced { node, life } => {
                self.processes.entry((*node, *life)).or_default().watch_silenced = Some(at);
            }
            Event::Node { node, life, node_event } => {
                self.processes.entry((*node, *life)).or_default().events.push((at, node_event.clone()));
            }
            Event::Calm => self.calm_since = Some(at),
            _ => {}
        }
    }

    /// Returns the last execution of a request on a connection.
    fn execution(&mut self, id: &str, connection: ExecutorConnectionId) -> Option<&mut Execution> {
        let executions = &mut self.requests.get_mut(id)?.executions;
        executions.iter_mut().rev().find(|execution| execution.connection == connection)
    }

    /// Returns the process to which a request was sent, if anything was observed of it.
    pub(crate) fn process(&self, request: &Request) -> Option<&NodeProcess> {
        self.processes.get(&(request.node, request.life))
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts { asked: self.requests.len(), ..Counts::default() };
        for request in self.requests.values() {
            counts.left += usize::from(request.client_left_at.is_some());
            counts.executions += request.executions.len();
            for (_, end) in &request.endings {
                match end {
                    Event::Answered { status: 200, .. } => counts.served += 1,
                    Event::Answered { status: 429 | 503, .. } => counts.refused += 1,
                    _ => counts.failed += 1,
                }
            }
        }
        let started = |(_, node_event): &&(Nanos, NodeEvent)| matches!(node_event, NodeEvent::Started { .. });
        counts.starts =
            self.processes.values().flat_map(|process| process.events.iter().filter(started)).count();
        counts
    }
}

/// Converts nanoseconds to milliseconds, rounded down.
pub(crate) fn whole_millis(span: Nanos) -> u64 {
    span / 1_000_000
}
