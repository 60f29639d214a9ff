//! The reducer: all that the node knows beside the decisions. It takes one input at a time, asks the
//! dispatcher, and returns the effects that sockets and clocks are to carry out. It does no I/O itself.

/// What must hold: asserted in debug builds, counted in release builds.
macro_rules! must {
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
    Action, Decide, Ending, Event, Execution, Health, Job, ListKind, Product, Report, Submission, Worker,
    WorkerEntry,
};
use linestack_settings::Settings;

use linestack_recovery::start::Stage as Step;

use first_list::ListState;

pub use io::*;
pub use linestack_dispatch::types::{Nanos, Outcome};
pub use outcomes::{PersistTicket, StoredOutcomes};
pub use permission::{Occasion, Refusal, Refusals};
pub use start_times::ListClocks;

const SECOND: Nanos = 1_000_000_000;
const DAY: Nanos = 86_400 * SECOND;
/// A client may take this long to take its answer, and to hand in a request: a newcomer from when it
/// connected, silent or not, lest those that never ask take the place of those that do.
const CLIENT_PATIENCE: Nanos = 5 * SECOND;
const HANDING_IN: Nanos = SECOND * 5 / 2;
/// A client that asks for nothing for so long has been forgotten by whatever was between.
const CLIENT_IDLE: Nanos = 300 * SECOND;
/// After SIGTERM new connections go on coming for up to 0.4 s, and clients go on using those that they have.
/// What crosses the closing of an idle one is sent once more, so the node stays a little longer than that.
const STOP_GRACE: Nanos = SECOND * 9 / 20;
const STAY: Nanos = SECOND / 4;
/// The node is not killed sooner than the longest cut-off after this, and that counts as so long at most. An
/// answer must be out some time before.
const KILLED_AFTER: Nanos = SECOND * 7 / 10;
const KILLED_AT_MOST: Nanos = 3 * SECOND;
const KILL_MARGIN: Nanos = SECOND / 5;
/// For how long a connection stands idle at least, and by what part and what step a good one raises the time
/// at which jobs may find it.
const IDLE_AT_LEAST: Nanos = SECOND / 4;
const KEPT_REGAINS: Nanos = 32;
const KEPT_STEP: Nanos = SECOND / 1000;
const REPORT_EVERY: Nanos = 10 * SECOND;
/// Where changes are pushed: how soon a watch that ended is opened again, at the earliest.
const WATCH_AGAIN: Nanos = SECOND / 2;
/// Where the list is asked for, what discovery has counts as told 6 s after it had it and could be reached. The next
/// call begins at most `CALL_WITHIN` after the last moment from which nothing can have been missed: the call that
/// failed at once, the last line of a watch that fell silent, the start of a call that hung (3.25 s of it are gone
/// then). That leaves 1.25 s for the answer.
const CALL_WITHIN: Nanos = SECOND * 19 / 4;
const CALL_PAUSE: Nanos = SECOND / 4;
/// Discovery bears little more calls than the settings' time for asking spreads over all nodes, works on those that
/// were given up too, and fails those that waited: the first calls after an end are spread by chance, and each node
/// keeps its place from then on. One that waited for so long and was turned away had too many others before it,
/// and is spread anew, after a pause.
const CALL_WAITED: Nanos = SECOND / 2;
const CALL_TURNED_AWAY: Nanos = SECOND;
/// A second answer may come some milliseconds after the first. One that names no submission, read as the next one's,
/// could say of what runs that it never did.
const SECOND_ANSWER: Nanos = SECOND / 20;
/// A process that ends breaks all its connections within this.
const TOGETHER: Nanos = SECOND / 50;
/// So many that could not be made, and none in between that could, tell of its end.
const UNMADE: u32 = 2;
/// Bytes that a connection takes: of its stack, what is touched, and the first of its buffers.
const CONNECTION: usize = 20 * 1024;
/// A client may say that it waits this many times as long as the longest cut-off; more is remembered in vain.
const LONGER: Nanos = 4;
/// Names that a list may bring beyond those of the settings.
const MOST_NAMES: usize = 1024;
/// Executors that have left and are kept beside as many as are there: all of a large fleet, should a list leave them out.
const KEPT_LEFT: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Ring(u64),
    Link(ConnectionId),
    Client(ClientId),
    CutOff(Submission, u64),
    Watch,
    Refuse,
    Leave,
    /// All that was taken must be answered now,
    LastCall,
    /// and whatever is not over by then would be killed.
    End,
    Report,
    /// The start may go on by time alone.
    Stage,
    /// A connection's turn has come.
    Open(ConnectionId),
    /// Clients hold all the room.
    Room,
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
    /// When it connected, until it has handed in something that was taken.
    newcomer: Option<Nanos>,
    /// It was told to go, so that others have room.
    evicted: bool,
    limit: Limit,
}

#[derive(Debug)]
struct Taken {
    /// Told apart from those that had this index before.
    number: u64,
    client: Option<ClientId>,
    /// It left before it was answered.
    client_left: bool,
    /// Of the terms that held when it was taken; it keeps it to its end.
    version: u64,
    /// That it may have run is written down, where it has to be.
    kept: bool,
    product: u8,
    cut_off: Nanos,
    request: Arc<ForwardedRequest>,
    executions: Vec<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    worker: Worker,
    at: Nanos,
    until: Nanos,
    connection: Option<ConnectionId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    Execution(Submission, Execution),
    Probe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opening,
    Busy,
    /// The outcome is known, the last bytes are not in.
    Finishing,
    Idle,
}

#[derive(Debug)]
struct Line {
    worker: Worker,
    /// Where it leads: the executor of this name may be elsewhere by now.
    address: SocketAddr,
    stage: Stage,
    load: Option<Load>,
    /// Nothing more is wanted of it than what it carries.
    last: bool,
    /// Until then a second answer may come that nobody could tell from the next one's.
    doubtful: Nanos,
    /// It was made.
    up: bool,
    /// For how long it had stood idle before what it carries now: it may have been closed at the other end.
    idled: Option<Nanos>,
    since: Nanos,
    limit: Limit,
}

#[derive(Debug)]
struct Place {
    name: Arc<str>,
    address: SocketAddr,
    health: Health,
    kind: u16,
    zone: u16,
    cell: u16,
    weight: f32,
    started: start_times::Started,
    idle: Vec<ConnectionId>,
    /// Connections to it, and executions there of submissions that are still known: while there are any, its
    /// index can mean no other.
    lines: usize,
    known: usize,
    /// It waits in `left`.
    left: bool,
    seen: Seen,
    /// When something was seen of it last, whether it answered, and its report if it told one.
    said: Option<(Nanos, bool, Option<Report>)>,
}

/// What was seen of an executor's connections, as far as it tells whether its process was lost.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Those that are up.
    up: usize,
    /// How many broke together, until when, and whether one of them carried something.
    breaks: usize,
    broke: Nanos,
    busy: bool,
    /// How many in a row could not be made.
    unmade: u32,
    /// Nothing has answered since something went unanswered.
    silent: bool,
}

pub struct Core {
    dispatcher: Box<dyn Decide + Send>,
    connect_timeout: Nanos,
    idle: Nanos,
    /// How long a connection may have been idle and still get a job, as far as was seen.
    kept: Nanos,
    asks: bool,
    may_probe: bool,
    may_duplicate: bool,
    products: Vec<Product>,
    longest_wait: Nanos,
    /// The version of the terms, and until when anything may be taken.
    version: u64,
    leave: Nanos,
    /// The longest come-back time that may be named.
    come_back: Option<Nanos>,
    book: Option<outcomes::Book>,
    start: Option<staged_start::Starting>,
    /// How long it may go on after it was told to stop.
    last_span: Nanos,
    /// When all that is taken from now on must be answered.
    last_call: Nanos,
    most_clients: usize,
    room: eviction::Room,
    most_links: usize,
    zones: Vec<String>,
    kinds: Vec<String>,
    chance: fastrand::Rng,
    now: Nanos,
    workers: Vec<Place>,
    names: HashMap<Arc<str>, Worker>,
    /// Those that are gone, the first first, and the indices that mean nobody.
    left: VecDeque<Worker>,
    vacant: Vec<Worker>,
    /// How many are not gone.
    present: usize,
    taken: Vec<Option<Taken>>,
    /// Those taken, by their ids.
    ids: HashSet<Bytes>,
    free: Vec<Submission>,
    clients: HashMap<ClientId, ClientState>,
    links: HashMap<ConnectionId, Line>,
    next_link: ConnectionId,
    timers: BinaryHeap<Reverse<(Nanos, u64, Timer)>>,
    next_timer: u64,
    pending: VecDeque<Event<'static>>,
    effects: Vec<Effect>,
    stats: Stats,
    list_state: ListState,
    /// When clients are admitted whether or not discovery has answered.
    first_list_due: Nanos,
    list_clocks: ListClocks,
    first_call_spread: Nanos,
    /// When the list is asked for next, if that is settled, and how often in a row that failed.
    call_at: Option<Nanos>,
    unheard: u32,
    stopping: bool,
    refusing: bool,
    leaving: bool,
}

/// How long a connection may stand idle, how long a node told to stop may go on, and how long a client may say
/// that it waits.
fn spans(idle: Nanos, longest_cut_off: Nanos) -> (Nanos, Nanos, Nanos) {
    // The executor closes it after that, and what is written to it from then on is lost.
    let idle = if idle > 0 { idle / 2 } else { SECOND };
    // Where they name none, it may be any.
    let longest = Some(longest_cut_off).filter(|l| *l > 0);
    let last = longest.unwrap_or(KILLED_AT_MOST).min(KILLED_AT_MOST) + KILLED_AFTER - KILL_MARGIN;
    (idle, last, longest.map_or(DAY, |l| l * LONGER))
}

impl Core {
    /// `sockets` is the limit on descriptors, `memory` that on bytes.
    #[must_use]
    pub fn new(settings: Settings, sockets: usize, memory: usize) -> Self {
        let dispatcher = Box::new(Dispatcher::new(settings.dispatch.clone()));
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
        let (orders, names) = (settings.dispatch, settings.names);
        let (idle, last_span, longest_wait) = spans(orders.idle_timeout, settings.longest_deadline);
        // The rest is for the listener, the watch, the signals, and what is just being closed.
        let spare = sockets.saturating_sub(16);
        // An eighth of the memory for what each client's connection takes, as much for executors'.
        let most = memory / 8 / CONNECTION;
        let mut core = Self {
            connect_timeout: orders.connect_timeout,
            idle,
            kept: idle,
            asks: orders.list_refresh_limit.is_some(),
            may_probe: orders.may_probe,
            may_duplicate: orders.may_duplicate,
            products: orders.products,
            last_span,
            longest_wait,
            version: 0,
            leave: Nanos::MAX,
            come_back: orders.retry_after,
            book: None,
            start: None,
            last_call: Nanos::MAX,
            most_clients: most.min(spare / 2),
            room: eviction::Room::default(),
            most_links: most.min(spare * 3 / 8),
            zones: names.zones,
            kinds: names.kinds,
            chance: fastrand::Rng::with_seed(orders.seed),
            dispatcher,
            now: 0,
            workers: Vec::new(),
            names: HashMap::new(),
            left: VecDeque::new(),
            vacant: Vec::new(),
            present: 0,
            taken: Vec::new(),
            ids: HashSet::new(),
            free: Vec::new(),
            clients: HashMap::new(),
            links: HashMap::new(),
            next_link: 0,
            timers: BinaryHeap::new(),
            next_timer: 0,
            pending: VecDeque::new(),
            effects: Vec::new(),
            stats: Stats::default(),
            list_state: ListState::Missing,
            first_list_due: Nanos::MAX,
            list_clocks: ListClocks::default(),
            first_call_spread: first_list::first_call_spread(orders.nodes, orders.connect_timeout),
            call_at: None,
            unheard: 0,
            stopping: false,
            refusing: false,
            leaving: false,
        };
        core.arm(0, Timer::Report);
        if !core.asks {
            core.call_at(0);
        }
        core
    }

    /// What is held, in flight and known stays; see the dispatcher's `go_on_under`.
    fn go_on_under(&mut self, settings: Settings) {
        let orders = settings.dispatch;
        self.dispatcher.reconfigure(orders.clone());
        (self.connect_timeout, self.may_probe) = (orders.connect_timeout, orders.may_probe);
        self.may_duplicate = orders.may_duplicate;
        self.come_back = orders.retry_after;
        (self.idle, self.last_span, self.longest_wait) =
            spans(orders.idle_timeout, settings.longest_deadline);
        self.kept = self.kept.min(self.idle);
        self.products = orders.products;
    }

    /// Whether clients should come.
    #[must_use]
    pub fn ready(&self, now: Nanos) -> bool {
        self.list_admits_clients(now)
            && !self.stopping
            && now < self.leave
            && self.stage().is_none_or(Step::serves)
    }

    /// Submissions taken since the start.
    #[must_use]
    pub fn submissions_accepted(&self) -> u64 {
        self.stats.taken
    }

    /// The version of the terms that hold.
    #[must_use]
    pub fn settings_version(&self) -> u64 {
        self.version
    }

    /// Whether no further client can be let in.
    #[must_use]
    pub fn is_at_client_limit(&self) -> bool {
        self.clients.len() >= self.most_clients
    }

    #[must_use]
    pub fn next_due(&self) -> Nanos {
        self.timers.peek().map_or(Nanos::MAX, |Reverse((at, ..))| *at)
    }

    #[must_use]
    pub fn stats(&self) -> Stats {
        let (clients, links, workers) = (self.clients.len(), self.links.len(), self.workers.len());
        Stats { clients, links, workers, open: self.taken.iter().flatten().count(), ..self.stats }
    }

    /// Takes one input and adds to `effects` what is to be done, in order.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match input {
            Input::SettingsChanged { settings, version } => {
                self.version = version;
                self.go_on_under(*settings);
            }
            Input::Lease { until } => {
                self.leave = until;
                self.proved();
            }
            Input::Persisted { ticket, durable: lasts } => self.kept(ticket, lasts),
            Input::StoreRecovered => self.store_back(),
            Input::ListClocks(clocks) => self.list_clocks = clocks,
            Input::ListReceived { kind, endpoints } => self.listed(kind, endpoints),
            Input::ListFailed { silent_for: lost, overloaded: busy } => self.unheard(lost, busy),
            Input::PeerObservations { observations: items } => self.heard(items),
            Input::ClientConnected { client } => self.client_up(client),
            Input::ClientPhase { client, phase } => self.client_phase(client, phase),
            Input::ClientDisconnected { client } => self.client_gone(client),
            Input::RequestRejected { client } => {
                self.stats.turned_down += 1;
                self.client_phase(client, Phase::Answering);
            }
            Input::Submitted { client, submission: intake } => self.submitted(client, intake),
            Input::ExecutorConnected { connection } => self.link_up(connection),
            Input::ExecutorDisconnected { connection, disconnect } => self.link_down(connection, disconnect),
            Input::Progressed { connection } => {
                if let Some(Load::Execution(submission, execution)) =
                    self.links.get(&connection).and_then(|l| l.load)
                {
                    self.pending.push_back(Event::Progressed { submission, execution });
                }
            }
            Input::Ended { connection, outcome, result, report } => {
                if let Some(Load::Execution(submission, execution)) = self.unload(connection) {
                    self.ended(submission, execution, outcome, Some(result), report);
                }
            }
            Input::Probed { connection, answered, report } => {
                let worker = self.links.get(&connection).map(|l| l.worker);
                if let (Some(worker), Some(Load::Probe)) = (worker, self.unload(connection)) {
                    self.probed(worker, answered, report);
                }
            }
            Input::ConnectionReusable { connection, identified: named } => {
                if let Some(line) = self.links.get_mut(&connection).filter(|l| l.stage == Stage::Finishing) {
                    line.doubtful = if named { 0 } else { self.now + SECOND_ANSWER };
                    self.rest(connection);
                }
            }
            Input::Tick => self.tick(),
            Input::Stop => {
                if !std::mem::replace(&mut self.stopping, true) {
                    // Its clients have nobody else until they are told to go, and where nodes restart in turn
                    // the one before may not be back. It serves them for half of the time that it has; what it
                    // takes from now on must be done in all of it, for a kill would lose it.
                    self.last_call = self.now + self.last_span;
                    self.arm(self.now + STOP_GRACE.max(self.last_span / 2), Timer::Refuse);
                    self.arm(self.last_call, Timer::LastCall);
                    self.arm(self.last_call + KILL_MARGIN / 2, Timer::End);
                }
            }
        }
        self.settle();
        self.go_on_starting();
        if self.leaving && self.clients.is_empty() {
            self.effects.push(Effect::Exit);
        }
        effects.append(&mut self.effects);
    }

    /// Hands the dispatcher what has happened, until nothing more follows from it.
    /// Where the worker with this index can be reached, if it means one.
    #[must_use]
    pub fn address(&self, worker: Worker) -> Option<SocketAddr> {
        let place = self.workers.get(worker as usize)?;
        self.names.contains_key(&place.name).then_some(place.address)
    }

    pub(crate) fn settle(&mut self) {
        while let Some(event) = self.pending.pop_front() {
            self.decide(event);
        }
    }

    pub(crate) fn decide(&mut self, event: Event<'_>) {
        let orders = self.dispatcher.decide(self.now, event).to_vec();
        for order in orders {
            self.carry_out(order);
        }
    }

    pub(crate) fn carry_out(&mut self, order: Action) {
        match order {
            Action::Execute { submission, worker, timeout } => self.execute(submission, worker, timeout),
            Action::Cancel { submission, execution } => self.cancel(submission, execution),
            Action::Dismiss { submission, retry_after: come_back } => {
                self.answer(submission, Answer::Dismissed(come_back));
            }
            Action::Abort { submission } => self.answer(submission, Answer::Aborted),
            Action::Probe { worker } => {
                must!(self, self.may_probe, "a probe where none may be sent");
                if !self.may_probe {
                    return;
                }
                self.stats.probes += 1;
                match self.pooled(worker, Load::Probe) {
                    Some(connection) => self.hand(connection, Load::Probe),
                    None => self.open(worker, Load::Probe),
                }
            }
            Action::CloseIdleConnections { worker } => {
                let idle = self.workers.get_mut(worker as usize).map(|w| std::mem::take(&mut w.idle));
                idle.into_iter().flatten().for_each(|connection| self.close_link(connection));
                // The one whose end led to this is not idle yet: its last bytes are not in.
                let here = self.links.values_mut().filter(|l| l.worker == worker);
                here.filter(|l| l.stage == Stage::Finishing).for_each(|l| l.last = true);
            }
            // The reducer times the next call itself where it knows how the last one ended.
            Action::Subscribe if self.call_at.is_some() => {}
            Action::Subscribe => self.effects.push(Effect::RequestList),
            Action::Forget { submission } => {
                let taken = self.taken.get_mut(submission as usize).and_then(Option::take);
                if let Some(taken) = &taken {
                    self.ids.remove(&taken.request.id);
                    self.hold_key(taken.product, &taken.request, false);
                }
                let over = taken.as_ref().is_some_and(|t| {
                    t.client.is_none() && t.executions.iter().all(|a| a.connection.is_none())
                });
                must!(self, over, "forgotten while something was owed or out");
                for sent in taken.iter().flat_map(|t| &t.executions) {
                    self.workers[sent.worker as usize].known -= 1;
                }
                self.free.push(submission);
            }
            Action::SetTimer { at, timer_id: token } => self.arm(at, Timer::Ring(token)),
        }
    }
}
