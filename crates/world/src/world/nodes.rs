//! Nodes: their processes start, take inputs as they have processor time, stop and are killed.

use std::collections::VecDeque;
use std::sync::Arc;

use linestack_core::{ConnectionId as CoreConnectionId, Input, Nanos, PersistTicket, StoredOutcomes};
use linestack_dispatch::types::ListKind;
use linestack_recovery::start::{StagedStart, StartConditions, StartLimits};
use linestack_recovery::{OutcomeRecord, OutcomeTable};
use rand::Rng as _;

use super::event::{ClientOutcome, Event};
use super::fleet::executor_at;
use super::{MILLISECOND, SECOND, World, lock};
use crate::executor::{ConnectionId, NodeProcess};
use crate::scenario::seconds;
use crate::{NodeSetup, SimulatedNode};

/// The front looks at a node's health this long after its start.
const HEALTH_CHECK_AFTER_START: Nanos = 10 * MILLISECOND;

/// The front looks at a node's health this long after the node was told to stop.
const HEALTH_CHECK_AFTER_STOP: Nanos = 300 * MILLISECOND;

/// A client sees after this time that its node's process has ended.
const END_SEEN_AFTER: Nanos = MILLISECOND;

/// Nodes remember persisted records for this long after a start.
const RECORDS_REMEMBERED_FOR: Nanos = 3600 * SECOND;

/// Stages of a start last at most this long: for the list, for one executor to be known, for a share.
const LIST_WITHIN: Nanos = 3 * SECOND;
const KNOWN_WITHIN: Nanos = 3 * SECOND;
const SHARE_WITHIN: Nanos = 10 * SECOND;

/// Workers that joined since a node heard of the fleet may have indices this far beyond it.
const WORKER_INDEX_MARGIN: u32 = 64;

/// A node's place, over all incarnations of its process.
pub(super) struct NodeState {
    /// The process, while it runs.
    pub(super) machine: Option<Box<dyn SimulatedNode>>,
    /// Counts the starts of the process.
    pub(super) incarnation: u32,
    pub(super) zone: u16,
    /// The front sends clients to it.
    pub(super) in_rotation: bool,
    /// It was told to stop.
    stopping: bool,
    /// When its earliest timer event comes; [`Nanos::MAX`] where none is scheduled.
    timer_at: Nanos,
    /// It takes no input before this time.
    pub(super) busy_until: Nanos,
    /// It is paused until this time, and what discovery tells it counts from then.
    pub(super) paused_until: Nanos,
    /// What has come and was not taken yet.
    pub(super) inbox: VecDeque<Input>,
    resume_scheduled: bool,
    pub(super) watch: DiscoveryWatch,
    /// Nanoseconds of processor time that each input takes.
    pub(super) cpu_per_input: f64,
    /// The records on its disk, oldest first.
    persisted: Vec<OutcomeRecord>,
}

impl NodeState {
    /// A node that has not started yet. `cpu_us` is the time that each input takes, in microseconds.
    pub(super) fn new(zone: u16, cpu_us: f64) -> Self {
        Self {
            machine: None,
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

    /// Makes it ready for a new process. What is on its disk stays.
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

    /// Whether this incarnation of its process runs.
    fn runs(&self, incarnation: u32) -> bool {
        self.incarnation == incarnation && self.machine.is_some()
    }
}

/// A node's subscription to changes of the list of executors.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscoveryWatch {
    Off,
    /// The whole list was asked for, and the call is under way.
    Requested,
    On,
}

impl World<'_> {
    /// Puts an input into a node's inbox, if that incarnation of it runs.
    pub(super) fn give_input(&mut self, node: usize, incarnation: u32, input: Input) {
        if self.nodes[node].runs(incarnation) {
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

    /// Lets a node take what has come, in order, as far as it has processor time.
    fn process_inbox(&mut self, node: usize) {
        while let Some(input) = self.next_input(node) {
            self.process_input(node, input);
        }
    }

    /// The next input, if the node has time for it now; otherwise it resumes when it has.
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
        input.filter(|_| state.machine.is_some())
    }

    fn process_input(&mut self, node: usize, input: Input) {
        let state = &mut self.nodes[node];
        let Some(machine) = &mut state.machine else { return };
        state.busy_until = self.now + state.cpu_per_input as Nanos;
        let incarnation = state.incarnation;
        let lists_executors = matches!(input, Input::ListReceived { .. });
        if let Input::Submitted { client, .. } = &input {
            self.attempts[*client as usize].read_at = Some(self.now);
        }
        let mut effects = std::mem::take(&mut self.effects);
        machine.handle(self.now, input, &mut effects);
        let due = machine.next_due();
        if lists_executors {
            self.record_worker_places(node);
        }
        self.set_timer(node, due);
        for effect in effects.drain(..) {
            self.carry_out(node, incarnation, effect);
        }
        self.effects = effects;
    }

    /// Writes down which executor each of a node's workers is, for policies that may see the truth.
    fn record_worker_places(&mut self, node: usize) {
        let Some(machine) = &self.nodes[node].machine else { return };
        let workers = 0..self.executors.len() as u32 + WORKER_INDEX_MARGIN;
        let places = workers.map(|worker| machine.address(worker).map(executor_at)).collect();
        lock(&self.truth).executor_of_worker[node] = places;
    }

    /// Schedules a node's timer, if none comes as early.
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

    /// Starts a node's process, with the list of executors as it was last known.
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
            sockets: self.scenario.nodes.sockets,
            memory: self.scenario.nodes.memory_mb << 20,
            truth: Arc::clone(&self.truth),
        };
        self.nodes[node].machine = Some((self.make_node)(setup));
        let input = Input::ListReceived { kind: ListKind::Cached, endpoints: self.listed_endpoints() };
        self.give_input(node, self.nodes[node].incarnation, input);
        self.schedule_after(HEALTH_CHECK_AFTER_START, Event::HealthChecked { node });
    }

    fn staged_start(&mut self) -> StagedStart {
        let starts = &self.scenario.nodes.starts;
        let terms = StartLimits {
            nodes: self.scenario.nodes.count,
            connects_per_s: starts.connects_per_s,
            lists_per_s: starts.lists_per_s,
            sessions_per_s: 0.0,
            list_timeout: LIST_WITHIN,
            known_timeout: KNOWN_WITHIN,
            share_timeout: SHARE_WITHIN,
        };
        let found = StartConditions { settings_confirmed: true, list_is_fresh: true, has_old_list: false };
        StagedStart::new(terms, found, [self.rng.random(), self.rng.random()], self.now)
    }

    /// What a node's disk has of earlier incarnations.
    fn stored_outcomes(&self, node: usize) -> StoredOutcomes {
        let persisted = &self.nodes[node].persisted;
        let mut fates = OutcomeTable::new(RECORDS_REMEMBERED_FOR, usize::MAX, usize::MAX);
        fates.restore(persisted.iter().cloned());
        let age = persisted.iter().map(|k| k.at + 1).max().unwrap_or(0);
        StoredOutcomes { outcomes: fates, age, now: self.now, by_stamp: true, incomplete_until: 0 }
    }

    /// A record is on a node's disk. One that was under way when the node was killed is lost.
    pub(super) fn record_persisted(
        &mut self,
        node: usize,
        incarnation: u32,
        record: OutcomeRecord,
        ticket: Option<PersistTicket>,
    ) {
        if !self.nodes[node].runs(incarnation) {
            return;
        }
        self.nodes[node].persisted.push(record);
        if let Some(ticket) = ticket {
            self.give_input(node, incarnation, Input::Persisted { ticket, durable: true });
        }
    }

    /// The front looks whether a node wants clients.
    pub(super) fn check_health(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.in_rotation = state.machine.as_ref().is_some_and(|m| m.ready(self.now));
    }

    /// A node is told to stop, and is killed later if it still runs.
    pub(super) fn node_stops(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.machine.is_none() || state.stopping {
            return;
        }
        state.stopping = true;
        let incarnation = state.incarnation;
        self.give_input(node, incarnation, Input::Stop);
        self.schedule_after(HEALTH_CHECK_AFTER_STOP, Event::HealthChecked { node });
        let kill_after = seconds(self.scenario.nodes.kill_after_s);
        self.schedule_after(kill_after, Event::NodeKilled { node, incarnation });
    }

    pub(super) fn node_killed(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].runs(incarnation) {
            self.node_ends(node);
        }
    }

    /// A node's process ends, however that came, and is started again later.
    pub(super) fn node_ends(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.nodes[node].machine = None;
        self.judge.process_ended(NodeProcess { node, incarnation });
        self.close_connections_of(node, incarnation);
        self.fail_attempts_at(node, incarnation);
        let notice_after = seconds(self.scenario.clients.notice_s);
        self.schedule_after(notice_after, Event::HealthChecked { node });
        let back_after = seconds(self.scenario.nodes.back_after_s);
        self.schedule_after(back_after, Event::NodeStarts { node });
    }

    fn close_connections_of(&mut self, node: usize, incarnation: u32) {
        let first = ConnectionId { node, incarnation, number: 0 };
        let last = ConnectionId { node, incarnation, number: CoreConnectionId::MAX };
        let ids: Vec<ConnectionId> = self.connections.range(first..=last).map(|(id, _)| *id).collect();
        for connection in ids {
            if let Some(state) = self.connections.get_mut(&connection) {
                state.closed = true;
            }
            self.pass_to_executor(connection, Event::ClosedAtExecutor { connection });
        }
    }

    /// Clients whose submissions a process had accepted see their connections end.
    fn fail_attempts_at(&mut self, node: usize, incarnation: u32) {
        let outcome = ClientOutcome::NoAnswer;
        for attempt in 0..self.attempts.len() {
            let state = &self.attempts[attempt];
            let accepted_here = state
                .assigned
                .is_some_and(|a| (a.node, a.incarnation) == (node, incarnation) && a.accepted_at.is_some());
            if accepted_here && !state.over && !state.answered {
                self.schedule_after(END_SEEN_AFTER, Event::ResponseAtClient { attempt, outcome });
            }
        }
    }
}
