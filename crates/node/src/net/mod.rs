//! Sockets and clocks: they feed the reducer and carry out its effects. Every connection has a coroutine
//! of its own, which waits for its socket and for its mailbox.

mod arrivals;
pub mod clients;
pub mod clock;
mod connect;
pub mod discovery;
pub mod executors;
pub mod list_stream;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicIsize, AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use linestack_dispatch::types::Nanos;
use linestack_history::What;
use linestack_settings::{Names, ReportLayout};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use serde::Deserialize;

use crate::fleet::audit_log::AuditLog;
use crate::fleet::time_suspended;
use crate::persistence::StoreRecord;
use clock::{Alarm, Clock};
use linestack_core::{ClientId, ConnectionId, Core, Effect, Input, Refusal};
use linestack_peers::{ExecutorObservation, Observation, PeerSnapshot, SnapshotError, usable_observations};
use linestack_recovery::StoredOutcome;
use linestack_recovery::start::Stage;

/// A pause for a connection that brings more than one message's worth at once. Giving way would not do: may
/// looks at its sockets only when no coroutine can run.
pub(crate) const YIELD_PAUSE: Duration = Duration::from_millis(1);

/// Connections that wait in a listener's queue to be accepted, where all of a fleet may come at once. The standard
/// library asks the system for 128.
pub(crate) const BACKLOG: i32 = 1024;

/// Starts a coroutine.
#[allow(unsafe_code)]
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    // SAFETY: may asks that no thread-local is held over a point where the coroutine may move to another
    // thread, and that the stack suffices. Nothing here holds one, and `STACK_WORDS` in the program's start
    // is several times what was measured.
    drop(unsafe { may::coroutine::spawn(work) });
}

/// Locks a mutex whose holders keep it consistent between statements.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads a JSON object. An array would do for its fields in their order, and is not what anybody means.
pub(crate) fn parse_object<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, serde_json::Error> {
    if text.trim_ascii_start().first() != Some(&b'{') {
        return Err(serde::de::Error::custom("not an object"));
    }
    serde_json::from_slice(text)
}

/// Messages to a connection's coroutine.
pub(crate) struct Mailbox<T> {
    messages: Mutex<VecDeque<T>>,
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

    pub(crate) fn next(&self) -> Option<T> {
        lock(&self.messages).pop_front()
    }

    /// From now on messages wake whoever waits for this socket.
    pub(crate) fn wake(&self, socket: &TcpStream) {
        *lock(&self.waker) = Some(socket.waker());
    }
}

/// Bytes that connections may hold in all beside what each has for itself.
pub(crate) struct MemoryBudget(AtomicIsize);

impl MemoryBudget {
    /// What each may hold without asking: it is reckoned with the connection.
    const FREE: usize = 4 * 1024;

    fn new(bytes: usize) -> Self {
        Self(AtomicIsize::new(isize::try_from(bytes).unwrap_or(isize::MAX)))
    }

    pub(crate) fn holding(&self) -> MemoryReservation<'_> {
        MemoryReservation { room: self, size: 0 }
    }
}

/// The part of the room that one connection has.
pub(crate) struct MemoryReservation<'a> {
    room: &'a MemoryBudget,
    size: usize,
}

impl MemoryReservation<'_> {
    /// Notes how much is held now. False if that is more than before and there is no room for it. Buffers
    /// double as they grow, so up to twice the bytes in them are held.
    pub(crate) fn set(&mut self, bytes: usize) -> bool {
        let size = 2 * bytes.saturating_sub(MemoryBudget::FREE);
        let more = size.cast_signed() - self.size.cast_signed();
        self.size = size;
        let left = self.room.0.fetch_sub(more, Ordering::Relaxed) - more;
        more <= 0 || left >= 0
    }
}

impl Drop for MemoryReservation<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}

struct NodeState {
    core: Core,
    effects: Vec<Effect>,
    links: HashMap<ConnectionId, Arc<Mailbox<executors::Message>>>,
    clients: HashMap<ClientId, Arc<Mailbox<clients::Message>>>,
    next_client: ClientId,
}

pub struct Node {
    inner: Mutex<NodeState>,
    pub clock: Clock,
    pub(crate) alarm: Alarm,
    pub names: Names,
    pub layout: ReportLayout,
    /// Whether stamped products' marks are asked for, by product.
    pub stamped: Vec<bool>,
    pub(crate) watch: Mutex<WatchState>,
    pub(crate) audit_log: Option<AuditLog>,
    store_records: Option<Sender<StoreRecord>>,
    /// A leave to take submissions is over once the machine has slept for longer than this in all; 0: there is no
    /// leave to end.
    awake: AtomicU64,
    logged: Mutex<Nanos>,
    /// Tries to connect that failed on this machine.
    pub(crate) local_failures: AtomicU64,
    /// For what clients send and are sent, and for what executors answer.
    pub(crate) client_memory: MemoryBudget,
    pub(crate) executor_memory: MemoryBudget,
    exit: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

/// Where the list comes from, and how far it is known.
pub(crate) struct WatchState {
    pub(crate) discovery: SocketAddr,
    /// Counts the discoveries: a watch on an earlier one has nothing more to say.
    pub(crate) number: u64,
    /// The last list understood; none if the whole list is wanted.
    pub(crate) index: Option<u64>,
    /// When discovery was heard last, 0 if never.
    pub(crate) last_word: Nanos,
    /// When an answer must have come, where one is waited for after a change of discovery.
    pub(crate) hurry: Nanos,
    running: bool,
    /// A handle to the running watch's connection, to end it by.
    pub(crate) socket: Option<std::net::TcpStream>,
}

/// What a node is made of beside the reducer.
pub struct NodeParts {
    pub clock: Clock,
    pub names: Names,
    pub layout: ReportLayout,
    pub stamped: Vec<bool>,
    pub discovery: SocketAddr,
    /// The version of the list that is known at the start.
    pub index: Option<u64>,
    /// Bytes that the program may have.
    pub memory: usize,
    /// Where a history of this node goes, if one is kept.
    pub audit_log: Option<AuditLog>,
    /// Where what must last goes, if anything does.
    pub store_records: Option<Sender<StoreRecord>>,
    /// Called when the node has stopped and answered what it had taken.
    pub exit: Box<dyn FnOnce() + Send>,
}

impl Node {
    #[must_use]
    pub fn new(core: Core, parts: NodeParts) -> Arc<Self> {
        let NodeParts {
            clock,
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
        let (effects, links, clients) = (Vec::new(), HashMap::new(), HashMap::new());
        Arc::new(Self {
            inner: Mutex::new(NodeState { core, effects, links, clients, next_client: 0 }),
            clock,
            alarm: Alarm::start(clock),
            names,
            layout,
            stamped,
            watch: Mutex::new(WatchState {
                discovery,
                number: 0,
                index,
                last_word: 0,
                hurry: 0,
                running: false,
                socket: None,
            }),
            audit_log,
            store_records,
            awake: AtomicU64::new(0),
            logged: Mutex::new(0),
            local_failures: AtomicU64::new(0),
            client_memory: MemoryBudget::new(memory / 4),
            executor_memory: MemoryBudget::new(memory / 4),
            exit: Mutex::new(Some(exit)),
        })
    }

    /// Hands the reducer an input and carries out what it asks for. Nothing in here waits: the lock is
    /// never held while a coroutine gives way.
    pub fn handle_input(self: &Arc<Self>, input: Input) {
        let awake = self.awake.load(Ordering::Relaxed);
        if awake > 0 && matches!(input, Input::Submitted { .. }) && time_suspended() > awake {
            self.awake.store(0, Ordering::Relaxed);
            self.handle_input(Input::Lease { until: 0 });
        }
        let mut inner = lock(&self.inner);
        let inner = &mut *inner;
        let mut effects = std::mem::take(&mut inner.effects);
        match &self.audit_log {
            None => inner.core.handle(self.clock.now(), input, &mut effects),
            Some(audit_log) => {
                let (now, asked) = (self.clock.now(), audit_log.pending_submission(&input));
                let (version, taken) = (inner.core.settings_version(), inner.core.submissions_accepted());
                inner.core.handle(now, input, &mut effects);
                audit_log.record_effects(
                    now,
                    asked,
                    (inner.core.submissions_accepted() > taken).then_some(version),
                    &effects,
                );
            }
        }
        for effect in effects.drain(..) {
            self.apply_effect(inner, effect);
        }
        inner.effects = effects;
        self.alarm.set(inner.core.next_due());
    }

    /// The first byte of what this connection carries is about to be written: how long its executor may be told to take.
    pub(crate) fn begin_execution(self: &Arc<Self>, link: ConnectionId) -> Result<Nanos, Refusal> {
        let mut inner = lock(&self.inner);
        let inner = &mut *inner;
        let mut effects = std::mem::take(&mut inner.effects);
        let permission = inner.core.begin_send(self.clock.now(), link, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(inner, effect);
        }
        inner.effects = effects;
        self.alarm.set(inner.core.next_due());
        permission
    }

    /// Whether one-shots can be taken, and how one stands; none where nothing is remembered.
    pub(crate) fn stored_outcome(&self, key: &[u8]) -> Option<(bool, Option<StoredOutcome>)> {
        self.store_records.as_ref()?;
        let inner = lock(&self.inner);
        Some((inner.core.can_store_outcomes(), inner.core.stored_outcome(key).cloned()))
    }

    /// Whether all that may have run before is known.
    pub(crate) fn outcomes_complete(&self) -> bool {
        lock(&self.inner).core.outcomes_complete()
    }

    /// How far its start has come, where that goes by stages.
    pub fn stage(&self) -> Option<Stage> {
        lock(&self.inner).core.stage()
    }

    /// What one that starts is told.
    pub(crate) fn peer_snapshot(&self) -> Vec<ExecutorObservation> {
        lock(&self.inner).core.peer_snapshot(self.clock.now())
    }

    /// What may be gone by of what a peer told.
    pub(crate) fn evaluate_peer_snapshot(
        &self,
        tale: &PeerSnapshot,
        me: &str,
        asked: Nanos,
        young: Nanos,
    ) -> Result<Vec<Observation>, SnapshotError> {
        let inner = lock(&self.inner);
        let own = |name: &str| inner.core.local_knowledge(name);
        usable_observations(tale, me, (asked, self.clock.now()), young, own, inner.core.ready_workers())
    }

    /// Discovery was heard; with a version of the list, it is another one from now on.
    pub(crate) fn discovery_heard(&self, index: Option<u64>) {
        let Some(store_records) = &self.store_records else { return };
        if let Some(index) = index {
            let endpoints = lock(&self.inner).core.endpoints();
            let _ = store_records.send(StoreRecord::List(discovery::List { index, whole: true, endpoints }));
        }
        let _ = store_records.send(StoreRecord::ListConfirmed);
    }

    /// Where its history goes, if one is kept.
    pub fn audit_log(&self) -> Option<&AuditLog> {
        self.audit_log.as_ref()
    }

    /// From now on leave is over once the machine has slept for longer than this in all.
    pub fn end_lease_after_sleep(&self, slept: u64) {
        self.awake.store(slept.max(1), Ordering::Relaxed);
    }

    pub fn ready(&self) -> bool {
        lock(&self.inner).core.ready(self.clock.now())
    }

    /// Whether a line that clients can cause may be logged now. Written out each time, it would be clients
    /// who decide what time the node has for others.
    pub(crate) fn may_log(&self) -> bool {
        let (now, mut last) = (self.clock.now(), lock(&self.logged));
        let may = now.saturating_sub(*last) >= clients::REJECTION_LOG_INTERVAL;
        if may {
            *last = now;
        }
        may
    }

    pub(crate) fn crowded(&self) -> bool {
        lock(&self.inner).core.is_at_client_limit()
    }

    /// The watch ended, or could not be had, when discovery may have had something to tell for as long as `lost`;
    /// it may be asked for again. False if it was on an earlier discovery, of which nobody wants to hear.
    pub(crate) fn watch_ended(self: &Arc<Self>, number: u64, lost: Nanos, busy: bool) -> bool {
        let present = {
            let mut watch = lock(&self.watch);
            let present = watch.number == number;
            if present {
                (watch.running, watch.socket) = (false, None);
            }
            present
        };
        if present {
            self.handle_input(Input::ListFailed { silent_for: lost, overloaded: busy });
        }
        present
    }

    /// From now on the list comes from another discovery. All that is known and in flight stays; the new
    /// list is asked for at once and taken as whole, for its versions may have nothing to do with the old.
    pub fn change_discovery(self: &Arc<Self>, discovery: SocketAddr) {
        let mut watch = lock(&self.watch);
        if watch.discovery == discovery {
            return;
        }
        if let Some(old) = watch.socket.take() {
            let _ = old.shutdown(std::net::Shutdown::Both);
        }
        let number = watch.number + 1;
        let hurry = self.clock.now() + discovery::DISCOVERY_CHANGE_RETRY;
        *watch =
            WatchState { discovery, number, index: None, last_word: 0, hurry, running: true, socket: None };
        drop(watch);
        let node = Arc::clone(self);
        spawn(move || discovery::watch(&node, number));
    }

    fn register_client(&self) -> (ClientId, Arc<Mailbox<clients::Message>>) {
        let mut inner = lock(&self.inner);
        let client = inner.next_client;
        inner.next_client += 1;
        let mailbox = Arc::default();
        inner.clients.insert(client, Arc::clone(&mailbox));
        (client, mailbox)
    }

    fn remove_client(&self, client: ClientId) {
        lock(&self.inner).clients.remove(&client);
    }

    /// Whether the reducer still wants this connection.
    pub(crate) fn has_connection(&self, link: ConnectionId) -> bool {
        lock(&self.inner).links.contains_key(&link)
    }

    fn remove_connection(&self, link: ConnectionId) {
        lock(&self.inner).links.remove(&link);
    }

    fn apply_effect(self: &Arc<Self>, inner: &mut NodeState, effect: Effect) {
        let client = |client: ClientId, message: clients::Message| {
            if let Some(mailbox) = inner.clients.get(&client) {
                mailbox.send(message);
            }
        };
        let link = |link: ConnectionId, message: executors::Message| {
            if let Some(mailbox) = inner.links.get(&link) {
                mailbox.send(message);
            }
        };
        match effect {
            Effect::Answer { client: to, answer, last, .. } => {
                client(to, clients::Message::Answer { answer, last })
            }
            Effect::CloseClient { client: to } => client(to, clients::Message::CloseIfIdle),
            Effect::DropClient { client: to } => client(to, clients::Message::Drop),
            Effect::Send { connection: to, request: shipment, .. } => {
                link(to, executors::Message::Send { shipment })
            }
            Effect::Probe { connection: to } => link(to, executors::Message::Probe),
            Effect::CloseConnection { connection: to } => {
                link(to, executors::Message::Close);
                inner.links.remove(&to);
            }
            Effect::OpenConnection { connection: link, address, timeout: limit } => {
                let mailbox = Arc::<Mailbox<_>>::default();
                inner.links.insert(link, Arc::clone(&mailbox));
                let node = Arc::clone(self);
                spawn(move || executors::run(&node, link, address, limit, &mailbox));
            }
            Effect::RequestList => {
                let mut watch = lock(&self.watch);
                if !std::mem::replace(&mut watch.running, true) {
                    let (node, number) = (Arc::clone(self), watch.number);
                    spawn(move || discovery::watch(&node, number));
                }
            }
            Effect::Persist { record: keep, ticket } => {
                if let Some(store_records) = &self.store_records {
                    let _ = store_records.send(StoreRecord::Outcome(keep, ticket));
                }
            }
            Effect::Stage(stage) => {
                tracing::info!(stage = stage.as_str(), waits_for = stage.waits_for(), "start");
                if let Some(audit_log) = &self.audit_log {
                    let stage = stage.as_str().to_owned();
                    audit_log.write(self.clock.now(), What::Stage { stage });
                }
            }
            Effect::Refused { id, refusal, occasion } => {
                let id = String::from_utf8_lossy(&id);
                let (why, when) = (refusal.as_str(), occasion.as_str());
                tracing::debug!(%id, why, when, "execution not begun");
            }
            Effect::InvariantBroken(what) => tracing::error!(what, "invariant broken"),
            Effect::Report(stats) => {
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

    /// Rings the reducer's timers, for ever.
    pub fn run_timers(self: &Arc<Self>) {
        loop {
            self.alarm.wait();
            self.handle_input(Input::Tick);
        }
    }
}
