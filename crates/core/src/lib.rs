//! The reducer, which holds all state of a node except that of the dispatcher.
//!
//! It handles one input at a time, asks the dispatcher for decisions, and returns the effects that the node's sockets and
//! clocks carry out. It does no I/O itself.

/// Checks an invariant: a violation panics in debug builds, and is counted and reported in release builds.
macro_rules! check_invariant {
    ($core:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $core.stats.broken += 1;
            $core.effects.push(Effect::InvariantBroken($what));
        }
    };
}

mod clients;
mod connections;
mod eviction;
mod executions;
mod first_list;
mod io;
mod list;
mod outcomes;
mod peer_observations;
mod permission;
mod recent_ids;
mod repeats;
mod staged_start;
mod start_times;
mod timer_queue;
mod timers;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use linestack_dispatch::decide::Dispatcher;
use linestack_dispatch::types::{
    Action, Decide, Ending, Event, Execution, Health, Job, ListKind, Product, Report, Submission, Worker,
    WorkerEntry,
};
use linestack_settings::Settings;

use linestack_recovery::start::Stage;

use first_list::ListState;
use recent_ids::RecentIds;
use timer_queue::{Timer, TimerKey, TimerQueue};

pub use io::*;
pub use linestack_dispatch::types::{Nanos, Outcome, ProbeOutcome};
pub use outcomes::{PersistTicket, StoredOutcomes};
pub use permission::{Occasion, Refusal, Refusals};
pub use start_times::ListClocks;

const SECOND: Nanos = 1_000_000_000;
const DAY: Nanos = 86_400 * SECOND;
/// How long a client may take to read its response.
const RESPONSE_READ_TIMEOUT: Nanos = 5 * SECOND;
/// How long a client may take to send a request. For a new connection the time counts from the moment it was established, even
/// if nothing arrives, so that clients that never send a request do not keep out those that do.
const REQUEST_READ_TIMEOUT: Nanos = SECOND * 5 / 2;
/// How long a client's connection may be idle. After this time, network devices on the path have probably dropped their state
/// of the connection.
const CLIENT_IDLE_TIMEOUT: Nanos = 300 * SECOND;
/// The least time for which a stopping node serves its clients. New connections arrive for up to 0.4 s after SIGTERM,
/// and clients go on using their connections.
const STOP_GRACE: Nanos = SECOND * 9 / 20;
/// How long a stopping node waits for a request on a connection that is new or being closed, and how long it goes on after it
/// has begun to close idle connections. A client whose request was in transit when its connection was closed sends the request
/// again.
const CLOSE_GRACE: Nanos = SECOND / 4;
/// A stopping node is not killed before its longest deadline and this delay have passed.
const KILL_DELAY: Nanos = SECOND * 7 / 10;
/// A longer deadline than this does not postpone the kill any further.
const MAX_KILL_DEADLINE: Nanos = 3 * SECOND;
/// All submissions must be answered this long before the node may be killed.
const KILL_MARGIN: Nanos = SECOND / 5;
/// The lower bound of the time for which an idle connection is kept, unless the idle timeout is shorter.
const MIN_IDLE_TIMEOUT: Nanos = SECOND / 4;
/// A connection is kept idle for this many times as long as jobs may reuse it, so that probes can show whether jobs may reuse
/// it for longer.
const KEPT_IDLE_FACTOR: Nanos = 2;
/// Executors close an idle connection after the idle timeout of the settings. The node closes it after that time divided by
/// this, since what is written to a closed connection is lost.
const IDLE_TIMEOUT_DIVISOR: Nanos = 2;
/// An idle connection found closed lowers the longest idle time after which jobs may reuse one to its own idle time divided by
/// this.
const REUSE_REDUCTION_DIVISOR: Nanos = 2;
/// Only a connection that was idle for at least that longest time divided by this raises it.
const REUSE_EVIDENCE_DIVISOR: Nanos = 2;
/// Each idle connection that proves usable raises the longest idle time after which jobs may reuse one: by this fraction of it
/// (one part in 32) plus [`REUSE_GROWTH_STEP`].
const REUSE_GROWTH_DIVISOR: Nanos = 32;
/// The fixed part of each such raise.
const REUSE_GROWTH_STEP: Nanos = SECOND / 1000;
/// How often the statistics are logged.
const STATS_INTERVAL: Nanos = 10 * SECOND;
/// The shortest delay before a watch that ended is opened again, where discovery pushes changes.
const MIN_WATCH_RETRY_DELAY: Nanos = SECOND / 2;
/// The longest delay of a list call after the last moment at which nothing can have been missed, where the list is asked for:
/// the time of a call that failed at once, of the last line of a watch that fell silent, or of the start of a call that hung
/// (of which 3.25 s have passed by then).
///
/// A node must comply with what discovery knows 6 s after discovery knew it and could be reached, so 1.25 s are left for the
/// answer.
const MAX_LIST_CALL_DELAY: Nanos = SECOND * 19 / 4;
/// The shortest delay before the list is asked for again.
const MIN_LIST_CALL_DELAY: Nanos = SECOND / 4;
/// A call that waited at least this long before discovery turned it away had too many other calls ahead of it.
///
/// Discovery can handle little more than the calls of all nodes spread evenly over the list refresh limit; it also works on
/// calls that were abandoned, and fails those that waited. So the first calls after a failure are spread at random, and each
/// node keeps its time slot from then on. A call that waited for this long and was turned away gets a new random
/// time slot after [`MIN_OVERLOADED_CALL_DELAY`].
const LONG_CALL_WAIT: Nanos = SECOND / 2;
/// The shortest delay before the list is asked for again after discovery was overloaded.
const MIN_OVERLOADED_CALL_DELAY: Nanos = SECOND;
/// How long a connection is not reused after a response that names no submission. An executor may send a second response some
/// milliseconds after the first; taken for the response to the next execution, it could say of a running job that it never
/// ran.
const DUPLICATE_RESPONSE_WINDOW: Nanos = SECOND / 20;
/// A process that ends breaks all its connections within this time.
const PROCESS_LOSS_WINDOW: Nanos = SECOND / 50;
/// This many failed connection attempts in a row show that the executor's process has ended.
const PROCESS_LOSS_CONNECT_FAILURES: u32 = 2;
/// A probe must be answered within the connect timeout divided by this.
const PROBE_TIMEOUT_DIVISOR: Nanos = 2;
/// A refused submission is given the longest retry delay divided by this, unless its delay is random.
const RETRY_AFTER_DIVISOR: Nanos = 8;
/// Where retries must not arrive together, a random time of up to the longest retry delay divided by this is added.
const RANDOM_RETRY_AFTER_DIVISOR: Nanos = 2;
/// File descriptors set aside for the listener, the watch of the list, the signals and sockets that are being closed.
const RESERVED_SOCKETS: usize = 16;
/// Of the other descriptors, clients may use the number divided by this.
const CLIENT_SOCKETS_DIVISOR: usize = 2;
/// Connections to executors may use this many eighths of them.
const EXECUTOR_SOCKETS_EIGHTHS: usize = 3;
/// The connections of clients may use the memory divided by this, and so may those to executors.
const CONNECTIONS_MEMORY_DIVISOR: usize = 8;
/// Bytes of memory for one connection: the part of its stack that is touched, and its initial buffers.
const CONNECTION_BYTES: usize = 20 * 1024;
/// The ids in [`Core::recent_ids`] may use the memory divided by this.
const RECENT_IDS_MEMORY_DIVISOR: usize = 64;
/// A client's timeout is capped at this many times the longest deadline; holding a submission for longer serves no purpose.
const MAX_TIMEOUT_FACTOR: Nanos = 4;
/// The most names of zones, and of kinds, that are kept; lists may bring names that the settings do not have.
const MAX_NAMES: usize = 1024;
/// Executors that have left are remembered up to the number of those present plus this: a whole large fleet, in case a list
/// leaves it out by mistake.
const MAX_EXTRA_DEPARTED: usize = 1024;

/// A time limit that is moved often and seldom reached. Only one timer is set for it, which is set again when it fires early.
#[derive(Clone, Copy, Debug)]
struct Limit {
    until: Nanos,
    /// The timer that is set, which fires at `until` or before.
    timer: Option<TimerKey>,
}

impl Limit {
    const NONE: Self = Self { until: Nanos::MAX, timer: None };

    /// Moves the limit. The timer is replaced if it would fire too late.
    fn set(&mut self, until: Nanos, timers: &mut TimerQueue, timer: Timer) {
        self.until = until;
        if self.timer.is_none_or(|set| until < set.at) {
            self.cancel(timers);
            self.timer = Some(timers.set(until, timer));
        }
    }

    /// Cancels the timer, if one is set.
    fn cancel(&mut self, timers: &mut TimerQueue) {
        if let Some(timer) = self.timer.take() {
            timers.cancel(timer);
        }
    }
}

/// A connection of a client.
#[derive(Debug)]
struct ClientState {
    submission: Option<Submission>,
    phase: ClientPhase,
    /// When the phase began.
    since: Nanos,
    /// When the client connected, while it is new; `None` once a submission of it was accepted or answered.
    new_since: Option<Nanos>,
    /// The connection is being closed to make room for others.
    evicted: bool,
    limit: Limit,
}

/// A submission that was accepted and is not over yet.
#[derive(Debug)]
struct AcceptedSubmission {
    /// Tells the submission apart from those that had this index before.
    serial: u64,
    /// The client that waits for the answer.
    client: Option<ClientId>,
    /// The client disconnected before it was answered.
    client_left: bool,
    /// The client was told that the outcome is unknown.
    aborted: bool,
    /// The version of the settings under which the submission was accepted; it holds to the end.
    settings_version: u64,
    /// The record that the submission may have run is durable.
    persisted: bool,
    product: u8,
    /// The timer of its deadline.
    deadline_timer: TimerKey,
    /// Without its body once there is no client any more.
    request: Arc<ForwardedRequest>,
    executions: Vec<Attempt>,
}

impl AcceptedSubmission {
    /// Whether an execution may have run, but the client does not know how it ended and may hand in the same again.
    fn may_have_run_unknown_to_client(&self) -> bool {
        (self.client_left || self.aborted) && self.executions.iter().any(|attempt| attempt.sent_at.is_some())
    }
}

/// One execution of a submission.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    worker: Worker,
    started_at: Nanos,
    /// When its request was first passed to a connection; `None` if it has certainly not run.
    sent_at: Option<Nanos>,
    deadline: Nanos,
    /// The connection that carries the execution, or will; `None` when the execution has ended.
    connection: Option<ConnectionId>,
}

/// What a connection carries, or is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    Execution(Submission, Execution),
    Probe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    Opening,
    Busy,
    /// The outcome of the exchange is known, but the end of the response has not arrived.
    Finishing,
    Idle,
}

/// A connection to an executor.
#[derive(Debug)]
struct ConnectionState {
    worker: Worker,
    /// The address that it was opened to; the executor may have moved since.
    address: SocketAddr,
    phase: ConnectionPhase,
    exchange: Option<Exchange>,
    /// The connection is not to be reused after its current exchange.
    close_after_exchange: bool,
    /// Until then a duplicate response may arrive that could be taken for the response to the next exchange.
    reusable_at: Nanos,
    established: bool,
    /// How long the connection had been idle before the current exchange; the executor may have closed it in that time.
    idle_before_exchange: Option<Nanos>,
    /// When it was opened or became idle.
    since: Nanos,
    limit: Limit,
}

/// An executor, with the reducer's own observations of it.
#[derive(Debug)]
struct WorkerState {
    name: Arc<str>,
    address: SocketAddr,
    health: Health,
    kind: u16,
    zone: u16,
    cell: u16,
    weight: f32,
    start_time: start_times::StartTime,
    idle_connections: Vec<ConnectionId>,
    /// The number of connections to it. While there are any, its index is not given to another executor.
    open_connections: usize,
    /// The number of executions on it of submissions that are not forgotten yet. While there are any, its index is not given
    /// to another executor.
    known_executions: usize,
    /// Its index is in [`Core::departed`].
    is_departed: bool,
    failure_signs: FailureSigns,
    last_observation: Option<LastObservation>,
}

/// What was last observed of an executor.
#[derive(Clone, Copy, Debug)]
struct LastObservation {
    at: Nanos,
    answered: bool,
    /// The report that came with the answer.
    report: Option<Report>,
}

/// Observations of an executor's connections that show whether its process was lost.
#[derive(Clone, Copy, Debug, Default)]
struct FailureSigns {
    /// The number of established connections.
    established: usize,
    /// How many connections broke within [`PROCESS_LOSS_WINDOW`] of each other.
    recent_disconnects: usize,
    /// When the last of them broke.
    last_disconnect: Nanos,
    /// One of them broke in the middle of a response.
    exchange_interrupted: bool,
    /// How many connections in a row could not be opened.
    failed_connects: u32,
    /// An exchange timed out, and none has been answered since.
    unanswered: bool,
}

/// The state of a node. See the [module documentation](self).
pub struct Core {
    dispatcher: Box<dyn Decide + Send>,
    connect_timeout: Nanos,
    idle_timeout: Nanos,
    /// The longest idle time after which a connection may still carry a job, learned from connections found closed.
    max_reuse_idle: Nanos,
    /// Whether the list of executors must be asked for; otherwise discovery pushes changes.
    list_on_request: bool,
    may_probe: bool,
    may_duplicate: bool,
    products: Vec<Product>,
    max_client_timeout: Nanos,
    settings_version: u64,
    /// Submissions are accepted until this time only.
    lease_until: Nanos,
    /// The longest retry delay that clients may be given; `None` if they are given none.
    max_retry_after: Option<Nanos>,
    outcome_store: Option<outcomes::OutcomeStore>,
    staged_start: Option<staged_start::StartState>,
    /// How long the node may continue after [`Input::Stop`].
    stop_duration: Nanos,
    /// When a stopping node must have answered everything.
    answer_deadline: Nanos,
    max_clients: usize,
    client_room: eviction::ClientRoom,
    max_connections: usize,
    zones: Vec<String>,
    kinds: Vec<String>,
    rng: fastrand::Rng,
    now: Nanos,
    workers: Vec<WorkerState>,
    workers_by_name: HashMap<Arc<str>, Worker>,
    /// Executors that are gone from the list, in the order in which they left.
    departed: VecDeque<Worker>,
    /// Indices that belong to no executor.
    free_workers: Vec<Worker>,
    /// The number of executors that are not gone.
    present_workers: usize,
    accepted: Vec<Option<AcceptedSubmission>>,
    /// The request ids of accepted submissions.
    open_ids: HashSet<Bytes>,
    /// The request ids of submissions that are over and may have run, without their clients knowing how they ended.
    recent_ids: RecentIds,
    free_submissions: Vec<Submission>,
    clients: HashMap<ClientId, ClientState>,
    connections: HashMap<ConnectionId, ConnectionState>,
    next_connection: ConnectionId,
    timers: TimerQueue,
    pending_events: VecDeque<Event<'static>>,
    effects: Vec<Effect>,
    stats: Stats,
    list_state: ListState,
    /// When the node reports itself ready although discovery has not answered.
    first_list_due: Nanos,
    list_clocks: ListClocks,
    first_call_spread: Nanos,
    /// When the list is asked for next, if the reducer has scheduled that itself.
    next_list_call: Option<Nanos>,
    /// How many list calls in a row have failed.
    failed_list_calls: u32,
    /// The node has received [`Input::Stop`].
    stopping: bool,
    /// Client connections are closed as soon as they are idle.
    closing_clients: bool,
    /// The node exits when its last client has disconnected.
    exit_when_empty: bool,
}

/// Time limits that follow from the settings.
struct TimeLimits {
    /// How long a connection to an executor may be idle.
    idle_timeout: Nanos,
    /// How long a node may continue after [`Input::Stop`].
    stop_duration: Nanos,
    /// The longest timeout that a client may ask for.
    max_client_timeout: Nanos,
}

/// Returns the time limits for settings with this idle timeout and this longest deadline.
fn time_limits(idle: Nanos, longest_deadline: Nanos) -> TimeLimits {
    let idle_timeout = if idle > 0 { idle / IDLE_TIMEOUT_DIVISOR } else { SECOND };
    // Settings without a longest deadline allow any.
    let longest = Some(longest_deadline).filter(|longest| *longest > 0);
    let stop_duration =
        longest.unwrap_or(MAX_KILL_DEADLINE).min(MAX_KILL_DEADLINE) + KILL_DELAY - KILL_MARGIN;
    let max_client_timeout = longest.map_or(DAY, |longest| longest * MAX_TIMEOUT_FACTOR);
    TimeLimits { idle_timeout, stop_duration, max_client_timeout }
}

impl Core {
    /// Creates the reducer of a node with the dispatcher that the settings configure. `sockets` is the limit on file
    /// descriptors, `memory` the limit on memory in bytes.
    #[must_use]
    pub fn new(settings: Settings, sockets: usize, memory: usize) -> Self {
        let dispatcher = Box::new(Dispatcher::new(settings.dispatch.clone()));
        Self::with_dispatcher(dispatcher, settings, sockets, memory)
    }

    /// Creates the reducer with another dispatcher, for comparisons and tests.
    #[must_use]
    pub fn with_dispatcher(
        dispatcher: Box<dyn Decide + Send>,
        settings: Settings,
        sockets: usize,
        memory: usize,
    ) -> Self {
        let (dispatch, names) = (settings.dispatch, settings.names);
        let TimeLimits { idle_timeout, stop_duration, max_client_timeout } =
            time_limits(dispatch.idle_timeout, settings.longest_deadline);
        let available = sockets.saturating_sub(RESERVED_SOCKETS);
        let max_by_memory = memory / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
        let mut core = Self {
            connect_timeout: dispatch.connect_timeout,
            idle_timeout,
            max_reuse_idle: idle_timeout,
            list_on_request: dispatch.list_refresh_limit.is_some(),
            may_probe: dispatch.may_probe,
            may_duplicate: dispatch.may_duplicate,
            products: dispatch.products,
            stop_duration,
            max_client_timeout,
            settings_version: 0,
            lease_until: Nanos::MAX,
            max_retry_after: dispatch.retry_after,
            outcome_store: None,
            staged_start: None,
            answer_deadline: Nanos::MAX,
            max_clients: max_by_memory.min(available / CLIENT_SOCKETS_DIVISOR),
            client_room: eviction::ClientRoom::default(),
            max_connections: max_by_memory.min(available * EXECUTOR_SOCKETS_EIGHTHS / 8),
            zones: names.zones,
            kinds: names.kinds,
            rng: fastrand::Rng::with_seed(dispatch.seed),
            dispatcher,
            now: 0,
            workers: Vec::new(),
            workers_by_name: HashMap::new(),
            departed: VecDeque::new(),
            free_workers: Vec::new(),
            present_workers: 0,
            accepted: Vec::new(),
            open_ids: HashSet::new(),
            recent_ids: RecentIds::new(memory / RECENT_IDS_MEMORY_DIVISOR),
            free_submissions: Vec::new(),
            clients: HashMap::new(),
            connections: HashMap::new(),
            next_connection: 0,
            timers: TimerQueue::default(),
            pending_events: VecDeque::new(),
            effects: Vec::new(),
            stats: Stats::default(),
            list_state: ListState::Missing,
            first_list_due: Nanos::MAX,
            list_clocks: ListClocks::default(),
            first_call_spread: first_list::first_call_spread(dispatch.nodes, dispatch.connect_timeout),
            next_list_call: None,
            failed_list_calls: 0,
            stopping: false,
            closing_clients: false,
            exit_when_empty: false,
        };
        core.set_timer(0, Timer::Stats);
        if !core.list_on_request {
            core.schedule_list_call(0);
        }
        core
    }

    /// Applies changed settings. Open submissions, executions in flight and everything learned stay; see
    /// [`Decide::reconfigure`].
    fn apply_settings(&mut self, settings: Settings) {
        let dispatch = settings.dispatch;
        self.dispatcher.reconfigure(dispatch.clone());
        (self.connect_timeout, self.may_probe) = (dispatch.connect_timeout, dispatch.may_probe);
        self.may_duplicate = dispatch.may_duplicate;
        self.max_retry_after = dispatch.retry_after;
        let limits = time_limits(dispatch.idle_timeout, settings.longest_deadline);
        (self.idle_timeout, self.stop_duration, self.max_client_timeout) =
            (limits.idle_timeout, limits.stop_duration, limits.max_client_timeout);
        self.max_reuse_idle = self.max_reuse_idle.min(self.idle_timeout);
        self.products = dispatch.products;
    }

    /// Whether the node is ready for submissions from clients.
    #[must_use]
    pub fn ready(&self, now: Nanos) -> bool {
        self.list_admits_clients(now)
            && !self.stopping
            && now < self.lease_until
            && self.stage().is_none_or(Stage::serves)
    }

    /// The number of submissions accepted since the start.
    #[must_use]
    pub fn submissions_accepted(&self) -> u64 {
        self.stats.taken
    }

    /// The version of the settings in force.
    #[must_use]
    pub fn settings_version(&self) -> u64 {
        self.settings_version
    }

    /// Whether the limit of client connections is reached.
    #[must_use]
    pub fn is_at_client_limit(&self) -> bool {
        self.clients.len() >= self.max_clients
    }

    /// When [`Input::Tick`] is due next.
    #[must_use]
    pub fn next_due(&self) -> Nanos {
        self.timers.next_due()
    }

    /// The statistics as of now.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let (clients, links, workers) = (self.clients.len(), self.connections.len(), self.workers.len());
        Stats { clients, links, workers, open: self.accepted.iter().flatten().count(), ..self.stats }
    }

    /// Handles one input and appends to `effects` what is to be done, in order.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match input {
            Input::SettingsChanged { settings, version } => {
                self.settings_version = version;
                self.apply_settings(*settings);
            }
            Input::Lease { until } => {
                self.lease_until = until;
                self.inform_start_of_lease();
            }
            Input::Persisted { ticket, durable } => self.persisted(ticket, durable),
            Input::StoreRecovered => self.store_recovered(),
            Input::ListClocks(clocks) => self.list_clocks = clocks,
            Input::ListReceived { kind, endpoints } => self.list_received(kind, endpoints),
            Input::ListFailed { silent_for, overloaded } => self.list_failed(silent_for, overloaded),
            Input::PeerObservations { observations } => self.peer_observations(observations),
            Input::ClientConnected { client } => self.client_connected(client),
            Input::ClientPhase { client, phase } => self.set_client_phase(client, phase),
            Input::ClientDisconnected { client } => self.client_disconnected(client),
            Input::RequestRejected { client } => {
                self.stats.turned_down += 1;
                self.set_client_phase(client, ClientPhase::Answering);
            }
            Input::Submitted { client, submission } => self.submitted(client, submission),
            Input::ExecutorConnected { connection } => self.connection_established(connection),
            Input::ExecutorDisconnected { connection, disconnect } => {
                self.connection_lost(connection, disconnect)
            }
            Input::Progressed { connection } => {
                if let Some(Exchange::Execution(submission, execution)) =
                    self.connections.get(&connection).and_then(|c| c.exchange)
                {
                    self.pending_events.push_back(Event::Progressed { submission, execution });
                }
            }
            Input::Ended { connection, outcome, result, report } => {
                if let Some(Exchange::Execution(submission, execution)) = self.finish_exchange(connection) {
                    self.execution_ended(submission, execution, outcome, Some(result), report);
                }
            }
            Input::Probed { connection, outcome, report } => {
                let worker = self.connections.get(&connection).map(|c| c.worker);
                if let (Some(worker), Some(Exchange::Probe)) = (worker, self.finish_exchange(connection)) {
                    self.probe_ended(worker, outcome, report);
                }
            }
            Input::ConnectionReusable { connection, identified } => {
                if let Some(state) =
                    self.connections.get_mut(&connection).filter(|c| c.phase == ConnectionPhase::Finishing)
                {
                    state.reusable_at = if identified { 0 } else { self.now + DUPLICATE_RESPONSE_WINDOW };
                    self.make_idle(connection);
                }
            }
            Input::Tick => self.tick(),
            Input::Stop => {
                if !std::mem::replace(&mut self.stopping, true) {
                    // The clients have no other node until their connections are closed, and in a rolling restart the
                    // previous node may not be back yet. So the node serves them for half of the time that it has.
                    // Submissions accepted from now on must be answered within the whole of it, since a kill would lose
                    // them.
                    self.answer_deadline = self.now + self.stop_duration;
                    self.set_timer(self.now + STOP_GRACE.max(self.stop_duration / 2), Timer::CloseClients);
                    self.set_timer(self.answer_deadline, Timer::AnswerDeadline);
                    self.set_timer(self.answer_deadline + KILL_MARGIN / 2, Timer::Exit);
                }
            }
        }
        self.process_events();
        self.advance_start();
        if self.exit_when_empty && self.clients.is_empty() {
            self.effects.push(Effect::Exit);
        }
        effects.append(&mut self.effects);
    }

    /// The address of the executor with this index, if there is one.
    #[must_use]
    pub fn address(&self, worker: Worker) -> Option<SocketAddr> {
        let worker_state = self.workers.get(worker as usize)?;
        self.workers_by_name.contains_key(&worker_state.name).then_some(worker_state.address)
    }

    /// Passes all pending events to the dispatcher, including those that its actions cause.
    pub(crate) fn process_events(&mut self) {
        while let Some(event) = self.pending_events.pop_front() {
            self.dispatch_event(event);
        }
    }

    /// Passes one event to the dispatcher and carries out its actions.
    pub(crate) fn dispatch_event(&mut self, event: Event<'_>) {
        let actions = self.dispatcher.decide(self.now, event).to_vec();
        for action in actions {
            self.carry_out(action);
        }
    }

    pub(crate) fn carry_out(&mut self, action: Action) {
        match action {
            Action::Execute { submission, worker, timeout } => self.execute(submission, worker, timeout),
            Action::Cancel { submission, execution } => self.cancel(submission, execution),
            Action::Dismiss { submission, retry_after } => {
                self.answer(submission, Answer::Dismissed(retry_after));
            }
            Action::Abort { submission } => self.answer(submission, Answer::Aborted),
            Action::Probe { worker } => {
                check_invariant!(self, self.may_probe, "dispatcher sent a probe that the settings forbid");
                if !self.may_probe {
                    return;
                }
                self.stats.probes += 1;
                match self.take_idle_connection(worker, Exchange::Probe) {
                    Some(connection) => self.assign(connection, Exchange::Probe),
                    None => self.open_connection(worker, Exchange::Probe),
                }
            }
            Action::CloseIdleConnections { worker } => {
                let idle =
                    self.workers.get_mut(worker as usize).map(|w| std::mem::take(&mut w.idle_connections));
                idle.into_iter().flatten().for_each(|connection| self.close_connection(connection));
                // The connection whose exchange led to this action is not idle yet, because the end of the response has not
                // arrived.
                let to_worker = self.connections.values_mut().filter(|c| c.worker == worker);
                to_worker
                    .filter(|c| c.phase == ConnectionPhase::Finishing)
                    .for_each(|c| c.close_after_exchange = true);
            }
            // After a failed call the reducer schedules the next one itself.
            Action::Subscribe if self.next_list_call.is_some() => {}
            Action::Subscribe => self.effects.push(Effect::RequestList),
            Action::Forget { submission } => {
                let accepted = self.accepted.get_mut(submission as usize).and_then(Option::take);
                if let Some(accepted) = &accepted {
                    self.open_ids.remove(&accepted.request.id);
                    if accepted.may_have_run_unknown_to_client() {
                        self.recent_ids.add(&accepted.request.id);
                    }
                    self.set_key_open(accepted.product, &accepted.request, false);
                }
                let is_over = accepted.as_ref().is_some_and(|accepted| {
                    accepted.client.is_none() && accepted.executions.iter().all(|a| a.connection.is_none())
                });
                check_invariant!(
                    self,
                    is_over,
                    "submission forgotten before its answer or its last execution"
                );
                for attempt in accepted.iter().flat_map(|accepted| &accepted.executions) {
                    self.workers[attempt.worker as usize].known_executions -= 1;
                }
                self.free_submissions.push(submission);
            }
            Action::SetTimer { at, timer_id } => self.set_timer(at, Timer::Dispatcher(timer_id)),
        }
    }
}
