//! Nodes: their processes start, handle inputs as processor time allows, stop and are killed.

use std::collections::VecDeque;
use std::sync::Arc;

use linestack_core::{ConnectionId as CoreConnectionId, Input, Nanos, PersistTicket, StoredOutcomes};
use linestack_dispatch::types::ListKind;
use linestack_recovery::start::{StagedStart, StartConditions, StartJitter, StartLimits};
use linestack_recovery::{OutcomeRecord, OutcomeTable};
use rand::Rng as _;

use super::event::{ClientOutcome, Event};
use super::fleet::executor_at;
use super::{MILLISECOND, SECOND, World, lock};
use crate::executor::{ConnectionId, NodeProcess};
use crate::scenario::seconds_to_nanos;
use crate::{NodeSetup, SimulatedNode};

/// The delay after a node's start at which the load balancer checks its health.
const HEALTH_CHECK_AFTER_START: Nanos = 10 * MILLISECOND;

/// The delay after a node was told to stop at which the load balancer checks its health.
const HEALTH_CHECK_AFTER_STOP: Nanos = 300 * MILLISECOND;

/// The time after which a client notices that its node's process has ended.
const PROCESS_END_NOTICE_DELAY: Nanos = MILLISECOND;

/// How long nodes keep stored outcomes.
const OUTCOME_RETENTION: Nanos = 3600 * SECOND;

/// The maximum durations of the stages `List` (getting a list of executors), `Known` (contacting them) and
/// `Share` (taking on a share of the load) of a staged start.
const START_LIST_TIMEOUT: Nanos = 3 * SECOND;
const START_KNOWN_TIMEOUT: Nanos = 3 * SECOND;
const START_SHARE_TIMEOUT: Nanos = 10 * SECOND;

/// How far the worker indices of a node may exceed the number of executors, since workers may have joined
/// since the node last got the list.
const WORKER_INDEX_MARGIN: u32 = 64;

/// A node, across all incarnations of its process.
pub(super) struct NodeState {
    /// The process, while it runs.
    pub(super) process: Option<Box<dyn SimulatedNode>>,
    /// The number of starts of the process.
    pub(super) incarnation: u32,
    pub(super) zone: u16,
    /// Whether the load balancer sends clients to it.
    pub(super) in_rotation: bool,
    /// Whether it was told to stop.
    stopping: bool,
    /// The time of its earliest timer event; [`Nanos::MAX`] if none is scheduled.
    timer_at: Nanos,
    /// It handles no input before this time.
    pub(super) busy_until: Nanos,
    /// It is paused until this time; lists that it gets meanwhile count from then.
    pub(super) paused_until: Nanos,
    /// The inputs that it has not handled yet.
    pub(super) inbox: VecDeque<Input>,
    resume_scheduled: bool,
    pub(super) watch: DiscoveryWatch,
    /// The processor time per input, in nanoseconds.
    pub(super) cpu_per_input: f64,
    /// The records on its disk, oldest first.
    persisted: Vec<OutcomeRecord>,
}

impl NodeState {
    /// Creates a node that has not started yet. `cpu_us` is the processor time per input, in microseconds.
    pub(super) fn new(zone: u16, cpu_us: f64) -> Self {
        Self {
            process: None,
            incarnation: 0,
            zone,
            in_rotation: false,
            stopping: false,
            timer_at: Nanos::MAX,
            busy_until: 0,
            paused_until: 0,
            inbox: VecDeque::new(),
            resume_scheduled: false,
            watch: DiscoveryWatch::Off,
            cpu_per_input: cpu_us * 1e3,
            persisted: Vec::new(),
        }
    }

    /// Resets the state for a new process. The records on its disk stay.
    fn reset(&mut self, cpu_us: f64) {
        self.incarnation += 1;
        self.stopping = false;
        self.resume_scheduled = false;
        self.timer_at = Nanos::MAX;
        self.busy_until = 0;
        self.watch = DiscoveryWatch::Off;
        self.cpu_per_input = cpu_us * 1e3;
        self.inbox.clear();
    }

    /// Returns whether this incarnation of its process runs.
    fn is_running(&self, incarnation: u32) -> bool {
        self.incarnation == incarnation && self.process.is_some()
    }
}

/// A node's subscription to changes of the list of executors.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscoveryWatch {
    Off,
    /// The whole list was requested, and the request is in flight.
    Requested,
    On,
}

impl World<'_> {
    /// Puts an input into a node's inbox, if this incarnation of it runs.
    pub(super) fn give_input(&mut self, node: usize, incarnation: u32, input: Input) {
        if self.nodes[node].is_running(incarnation) {
            self.nodes[node].inbox.push_back(input);
            self.process_inbox(node);
        }
    }

    pub(super) fn node_resumes(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].incarnation == incarnation {
            self.nodes[node].resume_scheduled = false;
            self.process_inbox(node);
        }
    }

    pub(super) fn node_timer(&mut self, node: usize, incarnation: u32, at: Nanos) {
        let state = &mut self.nodes[node];
        if state.incarnation == incarnation && state.timer_at == at {
            state.timer_at = Nanos::MAX;
            self.give_input(node, incarnation, Input::Tick);
        }
    }

    /// Lets a node handle its pending inputs in order, as far as it has processor time.
    fn process_inbox(&mut self, node: usize) {
        while let Some(input) = self.next_input(node) {
            self.process_input(node, input);
        }
    }

    /// Returns the next input if the node has processor time now. Otherwise schedules when it resumes.
    fn next_input(&mut self, node: usize) -> Option<Input> {
        let state = &mut self.nodes[node];
        if state.inbox.is_empty() {
            return None;
        }
        if state.busy_until > self.now {
            let (at, incarnation) = (state.busy_until, state.incarnation);
            if !std::mem::replace(&mut state.resume_scheduled, true) {
                self.schedule_at(at, Event::NodeResumes { node, incarnation });
            }
            return None;
        }
        let input = state.inbox.pop_front();
        input.filter(|_| state.process.is_some())
    }

    fn process_input(&mut self, node: usize, input: Input) {
        let state = &mut self.nodes[node];
        let Some(process) = &mut state.process else { return };
        state.busy_until = self.now + state.cpu_per_input as Nanos;
        let incarnation = state.incarnation;
        let is_list = matches!(input, Input::ListReceived { .. });
        if let Input::Submitted { client, .. } = &input {
            self.attempts[*client as usize].read_at = Some(self.now);
        }
        let mut effects = std::mem::take(&mut self.effects);
        process.handle(self.now, input, &mut effects);
        let due = process.next_due();
        if is_list {
            self.record_worker_executors(node);
        }
        self.set_timer(node, due);
        for effect in effects.drain(..) {
            self.carry_out(node, incarnation, effect);
        }
        self.effects = effects;
    }

    /// Records the executor of each of a node's workers, for reference policies that may see the ground
    /// truth.
    fn record_worker_executors(&mut self, node: usize) {
        let Some(process) = &self.nodes[node].process else { return };
        let workers = 0..self.executors.len() as u32 + WORKER_INDEX_MARGIN;
        let executors = workers.map(|worker| process.address(worker).map(executor_at)).collect();
        lock(&self.ground_truth).executor_of_worker[node] = executors;
    }

    /// Schedules a node's timer, unless one is scheduled for the same time or earlier.
    fn set_timer(&mut self, node: usize, due: Nanos) {
        let state = &mut self.nodes[node];
        if due >= state.timer_at {
            return;
        }
        let at = due.max(self.now + 1);
        state.timer_at = at;
        let incarnation = state.incarnation;
        self.schedule_at(at, Event::NodeTimer { node, incarnation, at });
    }

    /// Starts a node's process, with a cached list of executors.
    pub(super) fn node_starts(&mut self, node: usize) {
        let settings_seed = self.rng.random();
        self.nodes[node].reset(self.scenario.nodes.cpu_us);
        let staged_start = self.scenario.nodes.starts.on.then(|| self.staged_start());
        let setup = NodeSetup {
            now: self.now,
            staged_start,
            stored_outcomes: self.scenario.nodes.store.then(|| self.stored_outcomes(node)),
            node,
            settings: self.scenario.settings(self.nodes[node].zone, settings_seed),
            max_connections: self.scenario.nodes.sockets,
            memory_limit_bytes: self.scenario.nodes.memory_mb << 20,
            ground_truth: Arc::clone(&self.ground_truth),
        };
        self.nodes[node].process = Some((self.make_node)(setup));
        let input = Input::ListReceived { kind: ListKind::Cached, endpoints: self.listed_endpoints() };
        self.give_input(node, self.nodes[node].incarnation, input);
        self.schedule_after(HEALTH_CHECK_AFTER_START, Event::HealthChecked { node });
    }

    fn staged_start(&mut self) -> StagedStart {
        let starts = &self.scenario.nodes.starts;
        let limits = StartLimits {
            nodes: self.scenario.nodes.count,
            connects_per_s: starts.connects_per_s,
            lists_per_s: starts.lists_per_s,
            sessions_per_s: 0.0,
            list_timeout: START_LIST_TIMEOUT,
            executors_timeout: START_KNOWN_TIMEOUT,
            ramp_up_timeout: START_SHARE_TIMEOUT,
        };
        let conditions =
            StartConditions { settings_confirmed: true, list_is_fresh: true, has_old_list: false };
        let jitter = StartJitter { connection: self.rng.random(), list_request: self.rng.random() };
        StagedStart::new(limits, conditions, jitter, self.now)
    }

    /// Returns the outcomes that earlier incarnations of a node have stored.
    fn stored_outcomes(&self, node: usize) -> StoredOutcomes {
        let persisted = &self.nodes[node].persisted;
        let mut outcomes = OutcomeTable::new(OUTCOME_RETENTION, usize::MAX, usize::MAX);
        outcomes.restore(persisted.iter().cloned());
        let store_time = persisted.iter().map(|record| record.at + 1).max().unwrap_or(0);
        StoredOutcomes {
            outcomes,
            store_time,
            started_at: self.now,
            by_idempotency_key: true,
            incomplete_until: 0,
        }
    }

    /// A record is on a node's disk. A record whose write was in progress when the node was killed is lost.
    pub(super) fn record_persisted(
        &mut self,
        node: usize,
        incarnation: u32,
        record: OutcomeRecord,
        ticket: Option<PersistTicket>,
    ) {
        if !self.nodes[node].is_running(incarnation) {
            return;
        }
        self.nodes[node].persisted.push(record);
        if let Some(ticket) = ticket {
            self.give_input(node, incarnation, Input::Persisted { ticket, durable: true });
        }
    }

    /// The load balancer checks a node's health, and takes it into or out of rotation.
    pub(super) fn check_health(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.in_rotation = state.process.as_ref().is_some_and(|process| process.ready(self.now));
    }

    /// A node is told to stop. It is killed later if it still runs.
    pub(super) fn node_stops(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.process.is_none() || state.stopping {
            return;
        }
        state.stopping = true;
        let incarnation = state.incarnation;
        self.give_input(node, incarnation, Input::Stop);
        self.schedule_after(HEALTH_CHECK_AFTER_STOP, Event::HealthChecked { node });
        let kill_delay = seconds_to_nanos(self.scenario.nodes.kill_after_s);
        self.schedule_after(kill_delay, Event::NodeKilled { node, incarnation });
    }

    pub(super) fn node_killed(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].is_running(incarnation) {
            self.node_ends(node);
        }
    }

    /// A node's process ends, for any reason, and is started again later.
    pub(super) fn node_ends(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.nodes[node].process = None;
        self.judge.process_ended(NodeProcess { node, incarnation });
        self.close_connections_of(node, incarnation);
        self.fail_attempts_at(node, incarnation);
        let notice_delay = seconds_to_nanos(self.scenario.clients.notice_s);
        self.schedule_after(notice_delay, Event::HealthChecked { node });
        let restart_delay = seconds_to_nanos(self.scenario.nodes.back_after_s);
        self.schedule_after(restart_delay, Event::NodeStarts { node });
    }

    fn close_connections_of(&mut self, node: usize, incarnation: u32) {
        let first = ConnectionId { node, incarnation, number: 0 };
        let last = ConnectionId { node, incarnation, number: CoreConnectionId::MAX };
        let ids: Vec<ConnectionId> = self.connections.range(first..=last).map(|(id, _)| *id).collect();
        for connection in ids {
            if let Some(state) = self.connections.get_mut(&connection) {
                state.closed = true;
            }
            self.send_to_executor(connection, Event::ClosedAtExecutor { connection });
        }
    }

    /// Clients whose submissions the process had accepted see their connections close.
    fn fail_attempts_at(&mut self, node: usize, incarnation: u32) {
        let outcome = ClientOutcome::NoAnswer;
        for attempt in 0..self.attempts.len() {
            let state = &self.attempts[attempt];
            let accepted_here = state
                .assigned
                .is_some_and(|a| (a.node, a.incarnation) == (node, incarnation) && a.accepted_at.is_some());
            if accepted_here && !state.client_done && !state.answered {
                self.schedule_after(PROCESS_END_NOTICE_DELAY, Event::ResponseAtClient { attempt, outcome });
            }
        }
    }
}
