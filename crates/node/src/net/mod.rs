//! Sockets and timers: they pass inputs to the reducer and apply its effects. Every connection has its own coroutine,
//! which waits for its socket and its mailbox.

mod arrivals;
pub mod clients;
pub mod clock;
mod connect;
pub mod discovery;
pub mod event_loop;
pub mod executors;
pub mod list_stream;
mod memory;
mod permission;
mod reading;
mod receive_buffer;
pub(crate) mod watch;
mod watch_connection;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use linestack_dispatch::types::Nanos;
use linestack_history::HistoryEvent;
use linestack_settings::{Names, ReportLayout};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use serde::Deserialize;

use crate::NANOS_PER_MS;
use crate::fleet::audit_log::AuditLog;
use crate::fleet::time_suspended;
use crate::persistence::StoreRecord;
use clock::{Alarm, Clock};
use event_loop::{EventLoop, Priority};
use linestack_core::{ClientId, ConnectionId, Core, Effect, Input, Refusal};
use linestack_peers::{
    ExecutorObservation, Observation, PeerSnapshot, SnapshotError, SnapshotTimes, usable_observations,
};
use linestack_recovery::StoredOutcome;
use linestack_recovery::start::Stage;
use memory::MemoryBudget;
use permission::{SendPermission, has_disconnected};
use watch::WatchState;

/// The pause of a coroutine that has more to read, accept or answer after a burst, so that others run.
pub(crate) const YIELD_PAUSE: Duration = Duration::from_millis(1);

/// The length of the accept queue of a listener to which a whole fleet may connect at once. The standard library's value
/// of 128 is too short for that.
pub(crate) const BACKLOG: i32 = 1024;

/// The buffers of all clients, and those of all executors, may each use one part in this many of the program's memory. The
/// connections themselves, the store and the program need the rest.
const BUFFER_MEMORY_DIVISOR: usize = 6;

/// Starts a coroutine.
#[allow(unsafe_code)]
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    // SAFETY: `may` requires that no reference to a thread-local is held over a point where the coroutine may move to
    // another thread, and that the stack suffices. No code here holds one, and `STACK_WORDS` in the program's start is
    // several times the measured use.
    drop(unsafe { may::coroutine::spawn(work) });
}

/// Locks a mutex and ignores poisoning: the value is consistent wherever a holder may panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Parses a JSON object. Serde would also accept an array of the fields in their order, which is rejected here.
pub(crate) fn parse_object<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, serde_json::Error> {
    if text.trim_ascii_start().first() != Some(&b'{') {
        return Err(serde::de::Error::custom("not an object"));
    }
    serde_json::from_slice(text)
}

/// A queue of messages to a connection's coroutine, which are received by polling.
pub(crate) struct Mailbox<T> {
    messages: Mutex<VecDeque<T>>,
    /// Wakes the coroutine from its wait for the socket; `None` until [`Mailbox::wake_on_message`] is called.
    waker: Mutex<Option<WaitIoWaker>>,
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Self { messages: Mutex::new(VecDeque::new()), waker: Mutex::new(None) }
    }
}

impl<T> Mailbox<T> {
    fn send(&self, message: T) {
        lock(&self.messages).push_back(message);
        if let Some(waker) = &*lock(&self.waker) {
            waker.wakeup();
        }
    }

    /// Removes and returns the oldest message, if there is one.
    pub(crate) fn next(&self) -> Option<T> {
        lock(&self.messages).pop_front()
    }

    /// Makes each further message wake the coroutine that waits for this socket.
    pub(crate) fn wake_on_message(&self, socket: &TcpStream) {
        *lock(&self.waker) = Some(socket.waker());
    }
}

/// A client's connection, as others than its coroutine see it.
struct ClientHandle {
    mailbox: Arc<Mailbox<clients::Message>>,
    socket: Arc<TcpStream>,
}

/// The reducer and the mailboxes of the connections.
struct NodeState {
    core: Core,
    /// An empty buffer, which is used again for the effects of each input.
    effects: Vec<Effect>,
    connections: HashMap<ConnectionId, Arc<Mailbox<executors::Message>>>,
    clients: HashMap<ClientId, ClientHandle>,
    next_client: ClientId,
}

/// A node: the reducer, and the sockets and timers that serve it.
pub struct Node {
    state: Mutex<NodeState>,
    pub clock: Clock,
    pub(crate) alarm: Alarm,
    pub(crate) event_loop: EventLoop,
    /// The names of products, tenants and load figures in the settings.
    pub names: Names,
    /// The figures in the load reports of executors that the settings use.
    pub layout: ReportLayout,
    /// For each product, whether its submissions must carry an idempotency key.
    pub stamped: Vec<bool>,
    pub(crate) watch: Mutex<WatchState>,
    pub(crate) audit_log: Option<AuditLog>,
    store_records: Option<Sender<StoreRecord>>,
    /// The current lease ends once the machine has been suspended for longer than this in total, in nanoseconds; 0 if
    /// there is no lease to end.
    lease_suspend_limit: AtomicU64,
    /// When the last log line that clients can cause was written.
    last_logged: Mutex<Nanos>,
    /// The number of attempts to connect that failed on this machine.
    pub(crate) local_failures: AtomicU64,
    /// The memory budget for requests of clients, also of those that have left, and the responses to them.
    pub(crate) client_memory: Arc<MemoryBudget>,
    /// The memory budget for responses of executors.
    pub(crate) executor_memory: Arc<MemoryBudget>,
    /// Called once, on [`Effect::Exit`].
    exit: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

/// The parts of a node other than the reducer.
pub struct NodeParts {
    pub clock: Clock,
    pub event_loop: EventLoop,
    /// As in [`Node::names`].
    pub names: Names,
    /// As in [`Node::layout`].
    pub layout: ReportLayout,
    /// As in [`Node::stamped`].
    pub stamped: Vec<bool>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The version of the list that is known at the start; `None` to request the complete list.
    pub index: Option<u64>,
    /// The memory in bytes that the process may use.
    pub memory: usize,
    /// The audit log of this node, if one is configured.
    pub audit_log: Option<AuditLog>,
    /// The channel to the store's writer, if the node has a store.
    pub store_records: Option<Sender<StoreRecord>>,
    /// Called when the node has stopped and has answered all accepted submissions.
    pub exit: Box<dyn FnOnce() + Send>,
}

impl Node {
    /// Creates a node from the reducer and its other parts.
    #[must_use]
    pub fn new(core: Core, parts: NodeParts) -> Arc<Self> {
        let NodeParts {
            clock,
            event_loop,
            names,
            layout,
            stamped,
            discovery,
            index,
            memory,
            audit_log,
            store_records,
            exit,
        } = parts;
        let (effects, connections, clients) = (Vec::new(), HashMap::new(), HashMap::new());
        Arc::new(Self {
            state: Mutex::new(NodeState { core, effects, connections, clients, next_client: 0 }),
            clock,
            alarm: Alarm::start(clock),
            event_loop,
            names,
            layout,
            stamped,
            watch: Mutex::new(WatchState::new(discovery, index)),
            audit_log,
            store_records,
            lease_suspend_limit: AtomicU64::new(0),
            last_logged: Mutex::new(0),
            local_failures: AtomicU64::new(0),
            client_memory: Arc::new(MemoryBudget::new(memory / BUFFER_MEMORY_DIVISOR)),
            executor_memory: Arc::new(MemoryBudget::new(memory / BUFFER_MEMORY_DIVISOR)),
            exit: Mutex::new(Some(exit)),
        })
    }

    /// Passes an input to the reducer and applies the effects. This never blocks, so the lock is not held while a
    /// coroutine yields.
    pub fn handle_input(self: &Arc<Self>, input: Input) {
        let suspend_limit = self.lease_suspend_limit.load(Ordering::Relaxed);
        if suspend_limit > 0 && matches!(input, Input::Submitted { .. }) && time_suspended() > suspend_limit {
            self.lease_suspend_limit.store(0, Ordering::Relaxed);
            self.handle_input(Input::Lease { until: 0 });
        }
        let mut state = lock(&self.state);
        let state = &mut *state;
        let mut effects = std::mem::take(&mut state.effects);
        match &self.audit_log {
            None => state.core.handle(self.clock.now(), input, &mut effects),
            Some(audit_log) => {
                let (now, submission) = (self.clock.now(), audit_log.pending_submission(&input));
                let (version, accepted_before) =
                    (state.core.settings_version(), state.core.submissions_accepted());
                state.core.handle(now, input, &mut effects);
                audit_log.record_effects(
                    now,
                    submission,
                    (state.core.submissions_accepted() > accepted_before).then_some(version),
                    &effects,
                );
            }
        }
        for effect in effects.drain(..) {
            self.apply_effect(state, effect);
        }
        state.effects = effects;
        self.alarm.set(state.core.next_due());
    }

    /// Requests permission to write the first byte of the request that this connection carries.
    pub(crate) fn begin_execution(
        self: &Arc<Self>,
        connection: ConnectionId,
    ) -> Result<SendPermission, Refusal> {
        let asked_at = self.clock.now();
        self.receive_lists();
        let mut state = lock(&self.state);
        let state = &mut *state;
        let mut effects = std::mem::take(&mut state.effects);
        let client = state.core.waiting_client(connection);
        let socket = client.and_then(|client| state.clients.get(&client)).map(|c| Arc::clone(&c.socket));
        let disconnected = client.filter(|_| socket.as_deref().is_some_and(has_disconnected));
        let granted = state.core.begin_send(self.clock.now(), connection, disconnected, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(state, effect);
        }
        state.effects = effects;
        self.alarm.set(state.core.next_due());
        SendPermission::new(granted, asked_at, socket)
    }

    /// Returns whether the node has a store for the outcomes of one-shots.
    pub(crate) fn has_store(&self) -> bool {
        self.store_records.is_some()
    }

    /// Returns whether the node has a store that accepts no outcomes at present.
    pub(crate) fn has_failed_store(&self) -> bool {
        self.has_store() && !lock(&self.state).core.can_store_outcomes()
    }

    /// Returns the outcome stored for a key; `None` if there is none, or the node has no store.
    pub(crate) fn stored_outcome(&self, key: &[u8]) -> Option<StoredOutcome> {
        self.store_records.as_ref()?;
        lock(&self.state).core.stored_outcome(key).cloned()
    }

    /// Returns whether the outcome of every one-shot that may have run is known, which is not so after a store was lost.
    pub(crate) fn outcomes_complete(&self) -> bool {
        lock(&self.state).core.outcomes_complete()
    }

    /// Returns the stage of a staged start; `None` if the node does not start in stages.
    pub fn stage(&self) -> Option<Stage> {
        lock(&self.state).core.stage()
    }

    /// Returns this node's observations of executors, for a peer that starts.
    pub(crate) fn peer_snapshot(&self) -> Vec<ExecutorObservation> {
        lock(&self.state).core.peer_snapshot(self.clock.now())
    }

    /// Returns the observations in a peer's snapshot that may be used: those younger than `max_age`. `queried_at` is when
    /// the peer was queried.
    pub(crate) fn evaluate_peer_snapshot(
        &self,
        snapshot: &PeerSnapshot,
        own_name: &str,
        queried_at: Nanos,
        max_age: Nanos,
    ) -> Result<Vec<Observation>, SnapshotError> {
        let state = lock(&self.state);
        let local_knowledge = |name: &str| state.core.local_knowledge(name);
        usable_observations(
            snapshot,
            own_name,
            SnapshotTimes { requested_at: queried_at, received_at: self.clock.now() },
            max_age,
            local_knowledge,
            state.core.ready_workers(),
        )
    }

    /// Records a message from discovery in the store, and the current list too if `index` gives its new version.
    pub(crate) fn record_discovery_message(&self, index: Option<u64>) {
        let Some(store_records) = &self.store_records else { return };
        if let Some(index) = index {
            let endpoints = lock(&self.state).core.endpoints();
            let _ = store_records.send(StoreRecord::List(discovery::List { index, whole: true, endpoints }));
        }
        let _ = store_records.send(StoreRecord::ListConfirmed);
    }

    /// Returns the audit log, if one is configured.
    pub fn audit_log(&self) -> Option<&AuditLog> {
        self.audit_log.as_ref()
    }

    /// Makes the lease end once the machine has been suspended for longer than this in total, in nanoseconds.
    pub fn end_lease_after_suspension(&self, suspend_limit: u64) {
        self.lease_suspend_limit.store(suspend_limit.max(1), Ordering::Relaxed);
    }

    /// Returns whether the node is ready for clients.
    pub fn ready(&self) -> bool {
        lock(&self.state).core.ready(self.clock.now())
    }

    /// Returns whether a log line that clients can cause may be written now. Without a limit, a client could use up the
    /// node's time with such lines.
    pub(crate) fn may_log(&self) -> bool {
        let (now, mut last_logged) = (self.clock.now(), lock(&self.last_logged));
        let allowed = now.saturating_sub(*last_logged) >= clients::REJECTION_LOG_INTERVAL_NS;
        if allowed {
            *last_logged = now;
        }
        allowed
    }

    /// Returns whether no further client can be accepted.
    pub(crate) fn is_at_client_limit(&self) -> bool {
        lock(&self.state).core.is_at_client_limit()
    }

    fn register_client(&self, socket: &Arc<TcpStream>) -> (ClientId, Arc<Mailbox<clients::Message>>) {
        let mut state = lock(&self.state);
        let client = state.next_client;
        state.next_client += 1;
        let mailbox = Arc::default();
        let handle = ClientHandle { mailbox: Arc::clone(&mailbox), socket: Arc::clone(socket) };
        state.clients.insert(client, handle);
        (client, mailbox)
    }

    fn remove_client(&self, client: ClientId) {
        lock(&self.state).clients.remove(&client);
    }

    /// Returns whether the reducer has this connection open or is opening it.
    pub(crate) fn has_connection(&self, connection: ConnectionId) -> bool {
        lock(&self.state).connections.contains_key(&connection)
    }

    fn remove_connection(&self, connection: ConnectionId) {
        lock(&self.state).connections.remove(&connection);
    }

    fn apply_effect(self: &Arc<Self>, state: &mut NodeState, effect: Effect) {
        let to_client = |client: ClientId, message: clients::Message| {
            if let Some(handle) = state.clients.get(&client) {
                handle.mailbox.send(message);
            }
        };
        let to_connection = |connection: ConnectionId, message: executors::Message| {
            if let Some(mailbox) = state.connections.get(&connection) {
                mailbox.send(message);
            }
        };
        match effect {
            Effect::Answer { client, answer, last, .. } => {
                to_client(client, clients::Message::Answer { answer, close_after: last })
            }
            Effect::CloseClient { client } => to_client(client, clients::Message::CloseIfIdle),
            Effect::DropClient { client } => to_client(client, clients::Message::Drop),
            Effect::Send { connection, request, .. } => {
                to_connection(connection, executors::Message::Send { request })
            }
            Effect::Probe { connection } => to_connection(connection, executors::Message::Probe),
            Effect::CloseConnection { connection } => {
                to_connection(connection, executors::Message::Close);
                state.connections.remove(&connection);
            }
            Effect::OpenConnection { connection, address, timeout } => {
                let mailbox = Arc::<Mailbox<_>>::default();
                state.connections.insert(connection, Arc::clone(&mailbox));
                let node = Arc::clone(self);
                spawn(move || executors::run(&node, connection, address, timeout, &mailbox));
            }
            Effect::RequestList => {
                let mut watch = lock(&self.watch);
                if !std::mem::replace(&mut watch.running, true) {
                    let (node, generation) = (Arc::clone(self), watch.generation);
                    spawn(move || watch::run(&node, generation));
                }
            }
            Effect::Persist { record, ticket } => {
                if let Some(store_records) = &self.store_records {
                    let _ = store_records.send(StoreRecord::Outcome { record, ticket });
                }
            }
            Effect::Stage(stage) => {
                tracing::info!(stage = stage.as_str(), waits_for = stage.waits_for(), "start");
                if let Some(audit_log) = &self.audit_log {
                    let stage = stage.as_str().to_owned();
                    audit_log.write(self.clock.now(), HistoryEvent::Stage { stage });
                }
            }
            Effect::Refused { id, refusal, occasion } => {
                let id = String::from_utf8_lossy(&id);
                tracing::debug!(%id, why = refusal.as_str(), when = occasion.as_str(), "execution not begun");
            }
            Effect::InvariantBroken(what) => tracing::error!(what, "invariant broken"),
            Effect::LogStats(stats) => {
                tracing::info!(
                    taken = stats.taken,
                    satisfied = stats.satisfied,
                    dismissed = stats.dismissed,
                    aborted = stats.aborted,
                    left = stats.left,
                    fenced = stats.fenced,
                    remembered = stats.remembered,
                    turned_down = stats.turned_down,
                    evicted = stats.evicted,
                    held_back = stats.held_back,
                    executions = stats.executions,
                    refused_over = stats.refused.over,
                    refused_client_left = stats.refused.client_left,
                    refused_deadline_passed = stats.refused.deadline_passed,
                    refused_executor_leaving = stats.refused.executor_leaving,
                    refused_forbidden = stats.refused.forbidden,
                    resets = stats.resets,
                    stale = stats.stale,
                    connect_failed = stats.connect_failed,
                    died = stats.died,
                    timed_out = stats.timed_out,
                    not_sent = stats.not_sent,
                    probes = stats.probes,
                    probes_failed = stats.probes_failed,
                    local_failures = self.local_failures.load(Ordering::Relaxed),
                    links_opened = stats.links_opened,
                    lists = stats.lists,
                    list_failures = stats.list_failures,
                    broken = stats.broken,
                    clients = stats.clients,
                    links = stats.links,
                    workers = stats.workers,
                    open = stats.open,
                    client_memory = self.client_memory.reserved(),
                    executor_memory = self.executor_memory.reserved(),
                    longest_poll_delay_ms = self.event_loop.longest_poll_delay() / NANOS_PER_MS,
                    "counts"
                );
            }
            Effect::Exit => {
                if let Some(exit) = lock(&self.exit).take() {
                    exit();
                }
            }
        }
    }

    /// Passes a tick to the reducer whenever a timer is due. Never returns.
    pub fn run_timers(self: &Arc<Self>) {
        loop {
            self.alarm.wait();
            self.event_loop.begin_step(Priority::High);
            self.handle_input(Input::Tick);
        }
    }

    /// Suspends the calling coroutine, which has more to do after a burst, until others have run and the sockets have
    /// been polled.
    pub(crate) fn pause(&self, priority: Priority) {
        self.alarm.sleep(YIELD_PAUSE);
        self.event_loop.wait_for_poll(priority);
    }

    /// Resumes the coroutines that wait for a poll of the sockets. Never returns.
    pub fn run_event_loop(&self) {
        self.event_loop.run();
    }
}
