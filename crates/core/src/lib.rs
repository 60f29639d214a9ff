//! The reducer: all that the node knows beside the decisions. It takes one input at a time, asks the
//! dispatcher, and returns the effects that sockets and clocks are to carry out. It does no I/O itself.

/// What must hold: asserted in debug builds, counted in release builds.
macro_rules! ensure {
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
mod staged_start;
mod start_times;
mod timers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use linestack_dispatch::decide::Dispatcher;
use linestack_dispatch::types::{
    Decide, Ending, Event, Execution, Health, Job, ListKind, Listing, Order, Product, Report, Submission,
    Worker,
};
use linestack_settings::Settings;

use linestack_recovery::start::Stage;

use first_list::ListState;

pub use io::*;
pub use linestack_dispatch::types::{Nanos, Outcome};
pub use outcomes::{PersistTicket, StoredOutcomes};
pub use permission::{Occasion, Refusal, Refusals};
pub use start_times::ListClocks;

const SECOND: Nanos = 1_000_000_000;
const DAY: Nanos = 86_400 * SECOND;
/// A client may take this long to take its answer, and to hand in a request: a newcomer from when it
/// connected, silent or not, lest those that never ask take the worker_state of those that do.
const RESPONSE_READ_TIMEOUT: Nanos = 5 * SECOND;
const REQUEST_READ_TIMEOUT: Nanos = SECOND * 5 / 2;
/// A client that asks for nothing for so long has been forgotten by whatever was between.
const CLIENT_IDLE_TIMEOUT: Nanos = 300 * SECOND;
/// After SIGTERM new connections go on coming for up to 0.4 s, and clients go on using those that they have.
/// What crosses the closing of an idle one is sent once more, so the node stays a little longer than that.
const STOP_GRACE: Nanos = SECOND * 9 / 20;
const CLOSE_GRACE: Nanos = SECOND / 4;
/// The node is not killed sooner than the longest cut-off after this, and that counts as so long at most. An
/// answer must be out some time before.
const KILL_DELAY: Nanos = SECOND * 7 / 10;
const MAX_KILL_DEADLINE: Nanos = 3 * SECOND;
const KILL_MARGIN: Nanos = SECOND / 5;
/// For how long a connection stands idle at least, and by what part and what step a good one raises the time
/// at which jobs may find it.
const MIN_IDLE_TIMEOUT: Nanos = SECOND / 4;
const REUSE_GROWTH_DIVISOR: Nanos = 32;
const REUSE_GROWTH_STEP: Nanos = SECOND / 1000;
const REPORT_INTERVAL: Nanos = 10 * SECOND;
/// Where changes are pushed: how soon a watch that ended is opened again, at the earliest.
const WATCH_RETRY_DELAY: Nanos = SECOND / 2;
/// Where the list is asked for, what discovery has counts as told 6 s after it had it and could be reached. The next
/// call begins at most `MAX_LIST_CALL_DELAY` after the last moment from which nothing can have been missed: the call that
/// failed at once, the last state of a watch that fell silent, the start of a call that hung (3.25 s of it are gone
/// then). That leaves 1.25 s for the answer.
const MAX_LIST_CALL_DELAY: Nanos = SECOND * 19 / 4;
const MIN_LIST_CALL_DELAY: Nanos = SECOND / 4;
/// Discovery bears little more calls than the settings' time for asking spreads over all nodes, works on those that
/// were given up too, and fails those that waited: the first calls after an end are spread by chance, and each node
/// keeps its worker_state from then on. One that waited for so long and was turned away had too many others before it,
/// and is spread anew, after a pause.
const LONG_CALL_WAIT: Nanos = SECOND / 2;
const OVERLOADED_CALL_DELAY: Nanos = SECOND;
/// A second answer may come some milliseconds after the first. One that names no submission, read as the next one's,
/// could say of what runs that it never did.
const DUPLICATE_RESPONSE_WINDOW: Nanos = SECOND / 20;
/// A process that ends breaks all its connections within this.
const PROCESS_LOSS_WINDOW: Nanos = SECOND / 50;
/// So many that could not be made, and none in between that could, tell of its end.
const PROCESS_LOSS_CONNECT_FAILURES: u32 = 2;
/// Bytes that a connection takes: of its stack, what is touched, and the first of its buffers.
const CONNECTION_BYTES: usize = 20 * 1024;
/// A client may say that it waits this many times as long as the longest cut-off; more is remembered in vain.
const MAX_TIMEOUT_FACTOR: Nanos = 4;
/// Names that a list may bring beyond those of the settings.
const MAX_NAMES: usize = 1024;
/// Executors that have left and are kept beside as many as are there: all of a large fleet, should a list leave them out.
const MAX_EXTRA_DEPARTED: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Dispatcher(u64),
    Connection(ConnectionId),
    Client(ClientId),
    Deadline(Submission, u64),
    ListCall,
    CloseClients,
    ExitWhenEmpty,
    /// All that was accepted must be answered now,
    AnswerDeadline,
    /// and whatever is not over by then would be killed.
    Exit,
    Report,
    /// The start may go on by time alone.
    StagedStart,
    /// A connection's turn has come.
    OpenConnection(ConnectionId),
    /// Clients hold all the room.
    ClientRoom,
}

/// A time limit that is moved often and seldom reached: one timer stands for all its moves.
#[derive(Clone, Copy, Debug)]
struct Limit {
    until: Nanos,
    armed: Nanos,
}

impl Limit {
    const NONE: Self = Self { until: Nanos::MAX, armed: Nanos::MAX };
}

#[derive(Debug)]
struct ClientState {
    submission: Option<Submission>,
    phase: Phase,
    since: Nanos,
    /// When it connected, until it has handed in something that was accepted.
    newcomer_since: Option<Nanos>,
    /// It was told to go, so that others have room.
    evicted: bool,
    limit: Limit,
}

#[derive(Debug)]
struct AcceptedSubmission {
    /// Told apart from those that had this index before.
    serial: u64,
    client: Option<ClientId>,
    /// It left before it was answered.
    client_left: bool,
    /// Of the terms that held when it was accepted; it keeps it to its end.
    settings_version: u64,
    /// That it may have run is written down, where it has to be.
    persisted: bool,
    product: u8,
    deadline: Nanos,
    request: Arc<ForwardedRequest>,
    executions: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    worker: Worker,
    started_at: Nanos,
    deadline: Nanos,
    connection: Option<ConnectionId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    Execution(Submission, Execution),
    Probe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    Opening,
    Busy,
    /// The outcome is known, the last bytes are not in.
    Finishing,
    Idle,
}

#[derive(Debug)]
struct ConnectionState {
    worker: Worker,
    /// Where it leads: the executor of this name may be elsewhere by now.
    address: SocketAddr,
    phase: ConnectionPhase,
    exchange: Option<Exchange>,
    /// Nothing more is wanted of it than what it carries.
    close_after_exchange: bool,
    /// Until then a second answer may come that nobody could tell from the next one's.
    reusable_at: Nanos,
    /// It was made.
    established: bool,
    /// For how long it had stood idle before what it carries now: it may have been closed at the other end.
    idle_before_exchange: Option<Nanos>,
    since: Nanos,
    limit: Limit,
}

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
    /// Connections to it, and executions there of submissions that are still known: while there are any, its
    /// index can mean no other.
    open_connections: usize,
    known_executions: usize,
    /// It waits in `left`.
    is_departed: bool,
    failure_signs: FailureSigns,
    /// When something was seen of it last, whether it answered, and its report if it told one.
    last_observation: Option<(Nanos, bool, Option<Report>)>,
}

/// What was seen of an executor's connections, as far as it tells whether its process was lost.
#[derive(Clone, Copy, Debug, Default)]
struct FailureSigns {
    /// Those that are up.
    established: usize,
    /// How many broke together, until when, and whether one of them carried something.
    recent_disconnects: usize,
    last_disconnect: Nanos,
    exchange_interrupted: bool,
    /// How many in a row could not be made.
    failed_connects: u32,
    /// Nothing has answered since something went unanswered.
    unanswered: bool,
}

pub struct Core {
    dispatcher: Box<dyn Decide + Send>,
    connect_timeout: Nanos,
    idle_timeout: Nanos,
    /// How long a connection may have been idle and still get a job, as far as was seen.
    max_reuse_idle: Nanos,
    list_on_request: bool,
    may_probe: bool,
    may_duplicate: bool,
    products: Vec<Product>,
    max_client_timeout: Nanos,
    /// The version of the terms, and until when anything may be accepted.
    settings_version: u64,
    lease_until: Nanos,
    /// The longest come-back time that may be named.
    max_retry_after: Option<Nanos>,
    outcome_store: Option<outcomes::OutcomeStore>,
    staged_start: Option<staged_start::StagedStart>,
    /// How long it may go on after it was told to stop.
    stop_duration: Nanos,
    /// When all that is accepted from now on must be answered.
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
    /// Those that are gone, the first first, and the indices that mean nobody.
    departed: VecDeque<Worker>,
    free_workers: Vec<Worker>,
    /// How many are not gone.
    present_workers: usize,
    accepted: Vec<Option<AcceptedSubmission>>,
    /// Those accepted, by their ids.
    open_ids: HashSet<Bytes>,
    free_submissions: Vec<Submission>,
    clients: HashMap<ClientId, ClientState>,
    connections: HashMap<ConnectionId, ConnectionState>,
    next_connection: ConnectionId,
    timers: BinaryHeap<Reverse<(Nanos, u64, Timer)>>,
    next_timer: u64,
    pending_events: VecDeque<Event<'static>>,
    effects: Vec<Effect>,
    stats: Stats,
    list_state: ListState,
    /// When clients are admitted whether or not discovery has answered.
    first_list_due: Nanos,
    list_clocks: ListClocks,
    first_call_spread: Nanos,
    /// When the list is asked for next, if that is settled, and how often in a row that failed.
    next_list_call: Option<Nanos>,
    failed_list_calls: u32,
    stopping: bool,
    closing_clients: bool,
    exit_when_empty: bool,
}

/// How long a connection may stand idle, how long a node told to stop may go on, and how long a client may say
/// that it waits.
fn time_limits(idle: Nanos, longest_cut_off: Nanos) -> (Nanos, Nanos, Nanos) {
    // The executor closes it after that, and what is written to it from then on is lost.
    let idle = if idle > 0 { idle / 2 } else { SECOND };
    // Where they name none, it may be any.
    let longest = Some(longest_cut_off).filter(|l| *l > 0);
    let last = longest.unwrap_or(MAX_KILL_DEADLINE).min(MAX_KILL_DEADLINE) + KILL_DELAY - KILL_MARGIN;
    (idle, last, longest.map_or(DAY, |l| l * MAX_TIMEOUT_FACTOR))
}

impl Core {
    /// `sockets` is the limit on descriptors, `memory` that on bytes.
    #[must_use]
    pub fn new(settings: Settings, sockets: usize, memory: usize) -> Self {
        let dispatcher = Box::new(Dispatcher::new(settings.orders.clone()));
        Self::with_dispatcher(dispatcher, settings, sockets, memory)
    }

    /// With decisions of another's making: for comparison, and for tests.
    #[must_use]
    pub fn with_dispatcher(
        dispatcher: Box<dyn Decide + Send>,
        settings: Settings,
        sockets: usize,
        memory: usize,
    ) -> Self {
        let (orders, names) = (settings.orders, settings.names);
        let (idle_timeout, stop_duration, max_client_timeout) =
            time_limits(orders.idle, settings.longest_cut_off);
        // The rest is for the listener, the watch, the signals, and what is just being closed.
        let spare = sockets.saturating_sub(16);
        // An eighth of the memory for what each client's connection takes, as much for executors'.
        let most = memory / 8 / CONNECTION_BYTES;
        let mut core = Self {
            connect_timeout: orders.connect_timeout,
            idle_timeout,
            max_reuse_idle: idle_timeout,
            list_on_request: orders.ask_within.is_some(),
            may_probe: orders.may_probe,
            may_duplicate: orders.may_duplicate,
            products: orders.products,
            stop_duration,
            max_client_timeout,
            settings_version: 0,
            lease_until: Nanos::MAX,
            max_retry_after: orders.come_back,
            outcome_store: None,
            staged_start: None,
            answer_deadline: Nanos::MAX,
            max_clients: most.min(spare / 2),
            client_room: eviction::ClientRoom::default(),
            max_connections: most.min(spare * 3 / 8),
            zones: names.zones,
            kinds: names.kinds,
            rng: fastrand::Rng::with_seed(orders.seed),
            dispatcher,
            now: 0,
            workers: Vec::new(),
            workers_by_name: HashMap::new(),
            departed: VecDeque::new(),
            free_workers: Vec::new(),
            present_workers: 0,
            accepted: Vec::new(),
            open_ids: HashSet::new(),
            free_submissions: Vec::new(),
            clients: HashMap::new(),
            connections: HashMap::new(),
            next_connection: 0,
            timers: BinaryHeap::new(),
            next_timer: 0,
            pending_events: VecDeque::new(),
            effects: Vec::new(),
            stats: Stats::default(),
            list_state: ListState::Missing,
            first_list_due: Nanos::MAX,
            list_clocks: ListClocks::default(),
            first_call_spread: first_list::first_call_spread(orders.nodes, orders.connect_timeout),
            next_list_call: None,
            failed_list_calls: 0,
            stopping: false,
            closing_clients: false,
            exit_when_empty: false,
        };
        core.set_timer(0, Timer::Report);
        if !core.list_on_request {
            core.schedule_list_call(0);
        }
        core
    }

    /// What is held, in flight and known stays; see the dispatcher's `go_on_under`.
    fn apply_settings(&mut self, settings: Settings) {
        let orders = settings.orders;
        self.dispatcher.go_on_under(orders.clone());
        (self.connect_timeout, self.may_probe) = (orders.connect_timeout, orders.may_probe);
        self.may_duplicate = orders.may_duplicate;
        self.max_retry_after = orders.come_back;
        (self.idle_timeout, self.stop_duration, self.max_client_timeout) =
            time_limits(orders.idle, settings.longest_cut_off);
        self.max_reuse_idle = self.max_reuse_idle.min(self.idle_timeout);
        self.products = orders.products;
    }

    /// Whether clients should come.
    #[must_use]
    pub fn ready(&self, now: Nanos) -> bool {
        self.list_admits_clients(now)
            && !self.stopping
            && now < self.lease_until
            && self.stage().is_none_or(Stage::serves)
    }

    /// Submissions accepted since the start.
    #[must_use]
    pub fn submissions_accepted(&self) -> u64 {
        self.stats.taken
    }

    /// The version of the terms that hold.
    #[must_use]
    pub fn settings_version(&self) -> u64 {
        self.settings_version
    }

    /// Whether no further client can be let in.
    #[must_use]
    pub fn is_at_client_limit(&self) -> bool {
        self.clients.len() >= self.max_clients
    }

    #[must_use]
    pub fn next_due(&self) -> Nanos {
        self.timers.peek().map_or(Nanos::MAX, |Reverse((at, ..))| *at)
    }

    #[must_use]
    pub fn stats(&self) -> Stats {
        let (clients, links, workers) = (self.clients.len(), self.connections.len(), self.workers.len());
        Stats { clients, links, workers, open: self.accepted.iter().flatten().count(), ..self.stats }
    }

    /// Takes one input and adds to `effects` what is to be done, in order.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match input {
            Input::SettingsChanged { settings, version } => {
                self.settings_version = version;
                self.apply_settings(*settings);
            }
            Input::Lease { until } => {
                self.lease_until = until;
                self.lease_received();
            }
            Input::Persisted { ticket, durable: lasts } => self.persisted(ticket, lasts),
            Input::StoreRecovered => self.store_recovered(),
            Input::ListClocks(clocks) => self.list_clocks = clocks,
            Input::ListReceived { kind, endpoints } => self.list_received(kind, endpoints),
            Input::ListFailed { silent_for: lost, overloaded: busy } => self.list_failed(lost, busy),
            Input::PeerObservations { observations: items } => self.peer_observations(items),
            Input::ClientConnected { client } => self.client_connected(client),
            Input::ClientPhase { client, phase } => self.client_phase(client, phase),
            Input::ClientDisconnected { client } => self.client_disconnected(client),
            Input::RequestRejected { client } => {
                self.stats.turned_down += 1;
                self.client_phase(client, Phase::Answering);
            }
            Input::Submitted { client, submission: intake } => self.submitted(client, intake),
            Input::ExecutorConnected { connection } => self.connection_established(connection),
            Input::ExecutorDisconnected { connection, disconnect } => {
                self.connection_lost(connection, disconnect)
            }
            Input::Progressed { connection } => {
                if let Some(Exchange::Execution(submission, execution)) =
                    self.connections.get(&connection).and_then(|l| l.exchange)
                {
                    self.pending_events.push_back(Event::Noted { submission, execution });
                }
            }
            Input::Ended { connection, outcome, result, report } => {
                if let Some(Exchange::Execution(submission, execution)) = self.finish_exchange(connection) {
                    self.execution_ended(submission, execution, outcome, Some(result), report);
                }
            }
            Input::Probed { connection, answered, report } => {
                let worker = self.connections.get(&connection).map(|l| l.worker);
                if let (Some(worker), Some(Exchange::Probe)) = (worker, self.finish_exchange(connection)) {
                    self.probe_ended(worker, answered, report);
                }
            }
            Input::ConnectionReusable { connection, identified: named } => {
                if let Some(state) =
                    self.connections.get_mut(&connection).filter(|l| l.phase == ConnectionPhase::Finishing)
                {
                    state.reusable_at = if named { 0 } else { self.now + DUPLICATE_RESPONSE_WINDOW };
                    self.make_idle(connection);
                }
            }
            Input::Tick => self.tick(),
            Input::Stop => {
                if !std::mem::replace(&mut self.stopping, true) {
                    // Its clients have nobody else until they are told to go, and where nodes restart in turn
                    // the one before may not be back. It serves them for half of the time that it has; what it
                    // takes from now on must be done in all of it, for a kill would lose it.
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

    /// Hands the dispatcher what has happened, until nothing more follows from it.
    /// Where the worker with this index can be reached, if it means one.
    #[must_use]
    pub fn address(&self, worker: Worker) -> Option<SocketAddr> {
        let worker_state = self.workers.get(worker as usize)?;
        self.workers_by_name.contains_key(&worker_state.name).then_some(worker_state.address)
    }

    pub(crate) fn process_events(&mut self) {
        while let Some(event) = self.pending_events.pop_front() {
            self.dispatch_event(event);
        }
    }

    pub(crate) fn dispatch_event(&mut self, event: Event<'_>) {
        let orders = self.dispatcher.decide(self.now, event).to_vec();
        for order in orders {
            self.carry_out(order);
        }
    }

    pub(crate) fn carry_out(&mut self, order: Order) {
        match order {
            Order::Execute { submission, worker, timeout } => self.execute(submission, worker, timeout),
            Order::Cancel { submission, execution } => self.cancel(submission, execution),
            Order::Dismiss { submission, come_back } => {
                self.answer(submission, Answer::Dismissed(come_back));
            }
            Order::Abort { submission } => self.answer(submission, Answer::Aborted),
            Order::Probe { worker } => {
                ensure!(self, self.may_probe, "a probe where none may be attempt");
                if !self.may_probe {
                    return;
                }
                self.stats.probes += 1;
                match self.take_idle_connection(worker, Exchange::Probe) {
                    Some(connection) => self.assign(connection, Exchange::Probe),
                    None => self.open_connection(worker, Exchange::Probe),
                }
            }
            Order::Release { worker } => {
                let idle =
                    self.workers.get_mut(worker as usize).map(|w| std::mem::take(&mut w.idle_connections));
                idle.into_iter().flatten().for_each(|connection| self.close_connection(connection));
                // The one whose end led to this is not idle yet: its last bytes are not in.
                let here = self.connections.values_mut().filter(|l| l.worker == worker);
                here.filter(|l| l.phase == ConnectionPhase::Finishing)
                    .for_each(|l| l.close_after_exchange = true);
            }
            // The reducer times the next call itself where it knows how the last one ended.
            Order::Subscribe if self.next_list_call.is_some() => {}
            Order::Subscribe => self.effects.push(Effect::RequestList),
            Order::Forget { submission } => {
                let accepted = self.accepted.get_mut(submission as usize).and_then(Option::take);
                if let Some(accepted) = &accepted {
                    self.open_ids.remove(&accepted.request.id);
                    self.set_key_open(accepted.product, &accepted.request, false);
                }
                let over = accepted.as_ref().is_some_and(|t| {
                    t.client.is_none() && t.executions.iter().all(|a| a.connection.is_none())
                });
                ensure!(self, over, "forgotten while something was owed or out");
                for attempt in accepted.iter().flat_map(|t| &t.executions) {
                    self.workers[attempt.worker as usize].known_executions -= 1;
                }
                self.free_submissions.push(submission);
            }
            Order::Ring { at, token } => self.set_timer(at, Timer::Dispatcher(token)),
        }
    }
}
