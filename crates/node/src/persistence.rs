//! The store of a node: a thread that writes records durably in group commits, and the state that is restored from them
//! when the node starts again. Off unless PROXY_STORE names a configuration file.
//!
//! The store holds the outcomes of one-shots, which are submissions that must not be executed twice, and the list of
//! executors. If a store is lost, the one that replaces it is marked, so that the node does not execute a one-shot that
//! it may have executed before.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use linestack_core::{Core, Input, Nanos, PersistTicket, StoredOutcomes};
use linestack_recovery::start::{BootTimestamp, is_fresh};
use linestack_recovery::{OutcomeRecord, OutcomeTable, StoreTime, StoredOutcome};
use linestack_store::{
    Damage, Folder, Limits, MAX_RECORD_LENGTH, Op, OpenMode, Retention, Store, StoreError, repair,
};
use serde::{Deserialize, Serialize};

use crate::fleet::store::{FileIdentity, file_identity, same_file};
use crate::net::Node;
use crate::net::discovery::List;
use crate::{NANOS_PER_MS, NANOS_PER_S, http, staged_start, start_attempts};

/// The kind of a record with the outcome of a one-shot. There is one record for each one-shot, and at most one record of
/// each other kind.
const KIND_OUTCOME: u8 = 1;
/// The kind of the record with the list of executors.
const KIND_LIST: u8 = 2;
/// The kind of the record with the time at which discovery last confirmed the list.
const KIND_LIST_CONFIRMED: u8 = 3;
/// The kind of the record that names the node that the store belongs to.
const KIND_OWNER: u8 = 4;
/// The kind of the record that marks the store as the replacement of one that was lost.
const KIND_REPLACES_LOST: u8 = 5;
/// The maximum number of records in one commit.
const MAX_GROUP_SIZE: usize = 512;
// The largest result must fit into a record, because a record that is too large would fail the store.
const _: () = assert!(http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES < MAX_RECORD_LENGTH);
/// The bytes of a record that are left for the key of the list.
const LIST_KEY_ROOM_BYTES: usize = 64;
/// Stored outcomes may use one part in this many of the program's memory.
const OUTCOMES_MEMORY_DIVISOR: usize = 8;

/// The request header by which repeated submissions of a one-shot are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DedupKey {
    /// The header `Req-Id`.
    ReqId,
    /// The header `Idempotency-Key`.
    IdempotencyKey,
}

/// What the node does when its store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFailed {
    /// The node dismisses one-shots, and handles everything else as before.
    Dismiss,
    /// The node answers the submissions that it has accepted, and stops.
    Stop,
}

/// When commits are synced to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sync {
    /// Each commit is synced. Records that arrive during a commit go into the next one together.
    Group,
    /// Syncing is left to the operating system. Nothing is lost if the process is killed; a power failure loses what was
    /// not yet written.
    None,
}

/// The configuration of a node's store.
#[derive(Clone, Debug)]
pub struct Config {
    /// The folder of the store.
    pub folder: PathBuf,
    /// The header by which repeated submissions are recognized.
    pub dedup_key: DedupKey,
    /// How long outcomes are stored, in seconds.
    pub remember_s: u64,
    /// How much of the disk the store may use, in MiB.
    pub budget_mb: u64,
    /// When commits are synced.
    pub sync: Sync,
    /// What the node does when the store fails.
    pub when_failed: WhenFailed,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    store: Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Table {
    folder: PathBuf,
    #[serde(rename = "same-by")]
    dedup_key: DedupKey,
    #[serde(default = "default_remember_s")]
    remember_s: u64,
    #[serde(default = "default_budget_mb")]
    budget_mb: u64,
    #[serde(default = "default_sync")]
    sync: Sync,
    #[serde(default = "default_when_failed")]
    when_failed: WhenFailed,
}

fn default_remember_s() -> u64 {
    3600
}

fn default_budget_mb() -> u64 {
    256
}

fn default_sync() -> Sync {
    Sync::Group
}

fn default_when_failed() -> WhenFailed {
    WhenFailed::Dismiss
}

/// Reads the configuration file of a store.
///
/// # Errors
///
/// Returns why the file can't be read, or its first error, with its key.
pub fn read_config(path: &Path) -> Result<Config, String> {
    let error = |reason: String| format!("{}: {reason}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    let File { store: table } = crate::fleet::config::parse_table(path, &text)?;
    if !(10..=1_000_000).contains(&table.remember_s) {
        return Err(error("store.remember-s: from 10 to 1,000,000".into()));
    }
    if !(16..=1_000_000).contains(&table.budget_mb) {
        return Err(error("store.budget-mb: from 16 to 1,000,000".into()));
    }
    let Table { folder, dedup_key, remember_s, budget_mb, sync, when_failed } = table;
    Ok(Config { folder, dedup_key, remember_s, budget_mb, sync, when_failed })
}

fn limits(retention: StoreTime, budget_mb: u64, sync: Sync) -> Limits {
    let sync = sync == Sync::Group;
    Limits {
        budget: budget_mb << 20,
        retention: vec![Retention { kind: KIND_OUTCOME, duration: retention }],
        sync,
        ..Limits::default()
    }
}

/// A record to be written to the store.
pub enum StoreRecord {
    /// The outcome of a one-shot.
    Outcome {
        /// The outcome with its key and time.
        record: OutcomeRecord,
        /// The reducer's ticket, if it waits for the record to be durable.
        ticket: Option<PersistTicket>,
    },
    /// The current list of executors.
    List(List),
    /// Discovery has confirmed that the list is current.
    ListConfirmed,
}

/// The owner of a store. The names of the fields in the record are the format.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    /// The name of the node that the store belongs to.
    node: String,
    /// The lock file in the store's folder, by which a copy of the folder is detected.
    #[serde(rename = "place")]
    lock_file: FileIdentity,
}

/// The stored form of a [`BootTimestamp`].
#[derive(Serialize, Deserialize)]
struct StoredTimestamp {
    boot: u128,
    at: u64,
}

impl StoredTimestamp {
    /// Returns the current time as JSON.
    fn now() -> Vec<u8> {
        let BootTimestamp { boot, at } = staged_start::boot_timestamp();
        serde_json::to_vec(&Self { boot, at }).unwrap_or_default()
    }
}

/// The opened store of a node, with the records that were read from it.
pub struct NodeStore {
    store: Store<Folder>,
    config: Config,
    /// The store's time at this start: just after that of the newest outcome.
    time: StoreTime,
    outcomes: Vec<OutcomeRecord>,
    list: Option<List>,
    /// When discovery last confirmed the list.
    list_confirmed: Option<BootTimestamp>,
    /// Whether the store replaces one that was lost, so that it is unknown what the node has executed before.
    replaces_lost: bool,
}

/// The stored list of executors.
pub struct StoredList {
    pub list: List,
    /// Whether discovery has confirmed the list recently enough for it to be used at once.
    pub is_fresh: bool,
}

/// Returns the operation that marks the store as the replacement of one that was lost.
fn mark_as_replacement() -> Op {
    Op::Put { kind: KIND_REPLACES_LOST, key: b"lost".to_vec(), value: Vec::new(), at: 0 }
}

/// Returns the operation that makes the store belong to this node.
fn set_owner(node: &str, lock_file: FileIdentity) -> Op {
    let value = serde_json::to_vec(&Owner { node: node.to_owned(), lock_file }).unwrap_or_default();
    Op::Put { kind: KIND_OWNER, key: b"owner".to_vec(), value, at: 0 }
}

/// Returns the value of the only record of this kind.
fn only_record(store: &Store<Folder>, kind: u8) -> Option<Vec<u8>> {
    let entry = store.entries().find(|e| e.kind == kind)?;
    store.get(kind, &entry.key).ok().flatten()
}

impl NodeStore {
    /// Opens the store and reads its records.
    ///
    /// # Errors
    ///
    /// There is no store, another process has locked it, it is damaged, or it belongs to another node. The message tells
    /// the operator what to do.
    pub fn open(config: Config, node: &str) -> Result<Self, String> {
        let shown_path = config.folder.display().to_string();
        let message = |error: &StoreError| {
            let remedy = match error {
                StoreError::Missing => format!("; `linestack store init {shown_path}` creates one"),
                StoreError::Damaged { .. } => {
                    format!("; `linestack store verify {shown_path}` shows the damage")
                }
                _ => String::new(),
            };
            format!("store.folder: {shown_path}: {error}{remedy}")
        };
        let path = config.folder.clone();
        let folder = Folder::open(&path).map_err(|e| message(&e.into()))?;
        let limits = || limits(config.remember_s * NANOS_PER_S, config.budget_mb, config.sync);
        let failed_starts = start_attempts::record_attempt(&path).map_err(|e| message(&e.into()))?;
        let (mut store, mut outcomes) = if failed_starts >= start_attempts::MAX_FAILED_STARTS {
            let is_content = |name: &str| name != "lock" && name != "tries";
            let quarantine =
                start_attempts::quarantine_files(&path, is_content).map_err(|e| message(&e.into()))?;
            tracing::error!(
                aside = %quarantine.display(),
                "repeated starts crashed while reading the store; its files were moved aside and a new store was created"
            );
            let mut store = Store::open(folder, limits(), OpenMode::Create, crate::fleet::random_u64())
                .map_err(|e| message(&e))?;
            store.commit(&[mark_as_replacement()], 0).map_err(|e| message(&e))?;
            (store, Vec::new())
        } else {
            let opened = Store::open(folder, limits(), OpenMode::Existing, 0);
            let store =
                opened.inspect_err(|_| start_attempts::clear_attempts(&path)).map_err(|e| message(&e))?;
            let outcomes = read_outcomes(&store)
                .inspect_err(|_| start_attempts::clear_attempts(&path))
                .map_err(|e| message(&e))?;
            (store, outcomes)
        };
        start_attempts::clear_attempts(&path);
        let lock_file = file_identity(&path.join("lock")).map_err(|e| message(&e.into()))?;
        match only_record(&store, KIND_OWNER).map(|text| serde_json::from_slice::<Owner>(&text).ok()) {
            None => store.commit(&[set_owner(node, lock_file)], 0).map_err(|e| message(&e))?,
            Some(Some(owner)) if owner.node == node && same_file(&owner.lock_file, &lock_file) => {}
            Some(owner) => {
                let reason = match owner {
                    Some(owner) if owner.node == node => {
                        "a copy, which lacks what was sent since it was made".to_owned()
                    }
                    Some(owner) => format!("it belongs to node {}, not to {node}", owner.node),
                    None => "its owner can't be read".to_owned(),
                };
                return Err(format!(
                    "store.folder: {shown_path}: {reason}; `linestack store adopt {shown_path}` takes it over"
                ));
            }
        }
        outcomes.sort_by_key(|record| record.at);
        let list = only_record(&store, KIND_LIST).and_then(|text| List::read(&text).ok());
        let timestamp: Option<StoredTimestamp> =
            only_record(&store, KIND_LIST_CONFIRMED).and_then(|text| serde_json::from_slice(&text).ok());
        let list_confirmed = timestamp.map(|StoredTimestamp { boot, at }| BootTimestamp { boot, at });
        // The wall clock is not used: the store's time advances only while a node runs.
        let time = outcomes.iter().map(|record| record.at).max().map_or(0, |at| at + 1);
        let replaces_lost = only_record(&store, KIND_REPLACES_LOST).is_some();
        if replaces_lost {
            remove_never_sent(&mut store, &mut outcomes, time).map_err(|e| message(&e))?;
        }
        Ok(Self { store, config, time, outcomes, list, list_confirmed, replaces_lost })
    }

    /// Returns the stored list, unless it is empty. The list is fresh if discovery has confirmed it less than `max_age`
    /// nanoseconds ago.
    #[must_use]
    pub fn list(&self, max_age: u64) -> Option<StoredList> {
        let list = self.list.clone().filter(|l| !l.endpoints.is_empty())?;
        let age = self.list_confirmed.and_then(|confirmed| confirmed.age(&staged_start::boot_timestamp()));
        tracing::info!(entries = list.endpoints.len(), age_ms = age.map(|a| a / NANOS_PER_MS), "list read");
        Some(StoredList { list, is_fresh: is_fresh(age, max_age) })
    }

    /// Restores the outcomes into the reducer. `memory` is the memory that the program may use, in bytes.
    pub fn restore_into(&mut self, core: &mut Core, memory: usize, now: Nanos, longest_deadline: Nanos) {
        let retention = self.config.remember_s * NANOS_PER_S;
        let mut outcomes = OutcomeTable::new(retention, usize::MAX, memory / OUTCOMES_MEMORY_DIVISOR);
        outcomes.restore(std::mem::take(&mut self.outcomes));
        outcomes.expire(self.time);
        tracing::info!(known = outcomes.len(), folder = %self.config.folder.display(), "store read");
        let by_idempotency_key = self.config.dedup_key == DedupKey::IdempotencyKey;
        // Clients of the previous process detect at once that it has ended, and retry within their own deadlines.
        // So after the longest deadline no client retries a submission whose outcome was in the lost store.
        let incomplete_until =
            if self.replaces_lost { now + longest_deadline + LOST_STORE_SLACK_NS } else { 0 };
        if self.replaces_lost {
            tracing::error!(
                "an earlier store was lost; one-shots are aborted until all its executions are over"
            );
        }
        core.enable_outcome_store(StoredOutcomes {
            outcomes,
            store_time: self.time,
            started_at: now,
            by_idempotency_key,
            incomplete_until,
        });
    }

    /// Returns the writer of the store, and the channel to send it records.
    pub fn into_writer(self) -> (Sender<StoreRecord>, StoreWriter) {
        let (sender, records) = channel();
        (sender, StoreWriter { node_store: self, records })
    }
}

/// Writes records to the store of a node, in a thread of its own.
pub struct StoreWriter {
    node_store: NodeStore,
    records: Receiver<StoreRecord>,
}

/// After a store was lost, one-shots are aborted for the longest deadline plus this time, which allows for delays of
/// clients and networks.
const LOST_STORE_SLACK_NS: Nanos = 1_000_000_000;
/// The shortest time between two writes of [`KIND_LIST_CONFIRMED`].
const LIST_CONFIRMED_INTERVAL: Duration = Duration::from_millis(500);

/// Reads all stored outcomes.
fn read_outcomes(store: &Store<Folder>) -> Result<Vec<OutcomeRecord>, StoreError> {
    // A fault that a test injects: the process aborts when it reads a record whose key begins with this.
    let fatal_key =
        crate::fleet::injected_fault().and_then(|f| f.strip_prefix("dies-reading=").map(str::to_owned));
    let mut outcomes = Vec::new();
    store.for_each(|entry, value| {
        if fatal_key
            .as_ref()
            .is_some_and(|key| entry.kind == KIND_OUTCOME && entry.key.starts_with(key.as_bytes()))
        {
            std::process::abort();
        }
        if entry.kind == KIND_OUTCOME {
            // An outcome in a newer format can't be decoded, so the submission counts as one that may have run.
            let outcome = StoredOutcome::from_bytes(&value).unwrap_or(StoredOutcome::MayHaveRun);
            outcomes.push(OutcomeRecord { key: entry.key.into(), outcome, at: entry.at });
        }
    })?;
    Ok(outcomes)
}

/// Removes the records of one-shots that were never sent, from a store whose later records were lost: an execution of such
/// a one-shot may be among those. That one may have run, or has completed, no later record contradicts.
fn remove_never_sent(
    store: &mut Store<Folder>,
    outcomes: &mut Vec<OutcomeRecord>,
    now: StoreTime,
) -> Result<(), StoreError> {
    let removed: Vec<Op> = outcomes
        .extract_if(.., |record| record.outcome == StoredOutcome::NeverSent)
        .map(|record| Op::Remove { kind: KIND_OUTCOME, key: record.key.to_vec() })
        .collect();
    removed.chunks(MAX_GROUP_SIZE).try_for_each(|group| store.commit(group, now))
}

impl StoreWriter {
    /// Starts the thread, which writes for as long as the program runs. No coroutine waits for it.
    pub fn start(self, node: Arc<Node>) {
        std::thread::spawn(move || self.run(&node));
    }

    fn run(self, node: &Arc<Node>) {
        let Self { mut node_store, records } = self;
        let mut encoder = RecordEncoder { newest_time: node_store.time, list_confirmed: None };
        let mut failure: Option<Failure> = None;
        loop {
            let Some(group) = next_group(&records, failure.as_ref()) else { return };
            if failure
                .as_mut()
                .is_some_and(|failure| failure.try_recover(&mut node_store.store, encoder.newest_time))
            {
                tracing::info!("store accepts records again");
                failure = None;
                node.handle_input(Input::StoreRecovered);
            }
            let mut ops: Vec<Op> = group.iter().filter_map(|record| encoder.encode(record)).collect();
            if node_store.replaces_lost && failure.is_none() && node.outcomes_complete() {
                node_store.replaces_lost = false;
                ops.push(Op::Remove { kind: KIND_REPLACES_LOST, key: b"lost".to_vec() });
            }
            if !ops.is_empty()
                && failure.is_none()
                && let Err(error) = node_store.store.commit(&ops, encoder.newest_time)
            {
                tracing::error!(why = %error, "store failed; one-shots are dismissed until it accepts records again");
                failure = Some(Failure::new());
                if node_store.config.when_failed == WhenFailed::Stop {
                    let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
                }
            }
            for record in group {
                match record {
                    StoreRecord::Outcome { ticket: Some(ticket), .. } => {
                        node.handle_input(Input::Persisted { ticket, durable: failure.is_none() });
                    }
                    StoreRecord::Outcome { record, ticket: None } => {
                        if let Some(failure) = &mut failure {
                            failure.defer(&record);
                        }
                    }
                    StoreRecord::List(_) | StoreRecord::ListConfirmed => {}
                }
            }
        }
    }
}

/// Waits for the next records to be committed together: all that arrived during the previous commit, up to
/// [`MAX_GROUP_SIZE`]. While the store fails, an empty group is returned when a retry is due. Returns `None` once all
/// senders are dropped.
fn next_group(records: &Receiver<StoreRecord>, failure: Option<&Failure>) -> Option<Vec<StoreRecord>> {
    let first = match failure {
        None => records.recv().ok()?,
        Some(failure) => match records.recv_timeout(failure.retry_pause) {
            Ok(first) => first,
            Err(RecvTimeoutError::Timeout) => return Some(Vec::new()),
            Err(RecvTimeoutError::Disconnected) => return None,
        },
    };
    Some(std::iter::once(first).chain(records.try_iter().take(MAX_GROUP_SIZE - 1)).collect())
}

fn put(kind: u8, key: &[u8], value: Vec<u8>, at: StoreTime) -> Op {
    Op::Put { kind, key: key.to_vec(), value, at }
}

/// Converts records into operations of the store.
struct RecordEncoder {
    /// The latest time of an outcome so far.
    newest_time: StoreTime,
    /// When [`KIND_LIST_CONFIRMED`] was last written.
    list_confirmed: Option<Instant>,
}

impl RecordEncoder {
    /// Returns the operation for a record, or `None` if the record is not written.
    fn encode(&mut self, record: &StoreRecord) -> Option<Op> {
        match record {
            StoreRecord::Outcome { record, .. } => {
                self.newest_time = self.newest_time.max(record.at);
                Some(put(KIND_OUTCOME, &record.key, record.outcome.to_bytes(), record.at))
            }
            StoreRecord::List(list) => {
                let text = list.write();
                if text.len() + LIST_KEY_ROOM_BYTES < MAX_RECORD_LENGTH {
                    return Some(put(KIND_LIST, b"list", text, self.newest_time));
                }
                tracing::warn!(bytes = text.len(), "the list is too long to be stored");
                None
            }
            StoreRecord::ListConfirmed
                if self.list_confirmed.is_some_and(|at| at.elapsed() < LIST_CONFIRMED_INTERVAL) =>
            {
                None
            }
            StoreRecord::ListConfirmed => {
                self.list_confirmed = Some(Instant::now());
                Some(put(KIND_LIST_CONFIRMED, b"heard", StoredTimestamp::now(), self.newest_time))
            }
        }
    }
}

/// The pause before the first retry after the store failed. It doubles with each retry.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between two retries.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The maximum number of outcomes that are held in memory while the store fails. Further outcomes are dropped: in the
/// store, their submissions remain recorded as ones that may have run.
const MAX_DEFERRED_OUTCOMES: usize = 4096;

/// The state while the store fails.
struct Failure {
    retry_pause: Duration,
    last_retry: Instant,
    /// Outcomes that arrived since, to be written when the store works again.
    deferred: Vec<Op>,
}

impl Failure {
    fn new() -> Self {
        Self { retry_pause: MIN_RETRY_PAUSE, last_retry: Instant::now(), deferred: Vec::new() }
    }

    /// Holds an outcome in memory until the store works again.
    fn defer(&mut self, record: &OutcomeRecord) {
        if self.deferred.len() < MAX_DEFERRED_OUTCOMES {
            self.deferred.push(put(KIND_OUTCOME, &record.key, record.outcome.to_bytes(), record.at));
        }
    }

    /// Tries to write the deferred outcomes, if the pause is over. Returns whether the store works again.
    fn try_recover(&mut self, store: &mut Store<Folder>, now: StoreTime) -> bool {
        if self.last_retry.elapsed() < self.retry_pause {
            return false;
        }
        let resumed = store.resume().and_then(|()| store.commit(&self.deferred, now));
        (self.last_retry, self.retry_pause) = (Instant::now(), (2 * self.retry_pause).min(MAX_RETRY_PAUSE));
        resumed.is_ok()
    }
}

/// The subcommands of `linestack store`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Create a store in a folder that has none.
    Init {
        folder: PathBuf,
        /// The store replaces one that was lost: one-shots are aborted until the executions of the lost one are over.
        #[arg(long)]
        lost: bool,
    },
    /// Let the store belong to the node that starts with it next. Without `--moved` it is marked as the
    /// replacement of a lost store, because a copy lacks what was sent since it was made.
    Adopt {
        folder: PathBuf,
        /// No node has run on the original since it was copied.
        #[arg(long)]
        moved: bool,
    },
    /// Read the whole store, and report what is damaged.
    Verify { folder: PathBuf },
    /// Print the records, one a line.
    Dump { folder: PathBuf },
    /// Free the space of records that are no longer needed.
    Compact { folder: PathBuf },
    /// Create a store from what can still be read of a damaged one. The old files are kept as `lost-...`.
    Repair { folder: PathBuf },
}

/// Runs a subcommand of `linestack store`.
///
/// # Errors
///
/// Returns a message for the operator.
pub fn run(command: &Command) -> Result<(), String> {
    let unlimited = || limits(u64::MAX, 1 << 20, Sync::Group);
    let seed = crate::fleet::random_u64();
    let folder = |path: &Path| Folder::open(path).map_err(|e| format!("{}: {e}", path.display()));
    let message = |path: &Path, e: &StoreError| format!("{}: {e}", path.display());
    match command {
        Command::Init { folder: path, lost } => {
            let mut store = Store::open(folder(path)?, unlimited(), OpenMode::Create, seed)
                .map_err(|e| message(path, &e))?;
            if *lost {
                store.commit(&[mark_as_replacement()], 0).map_err(|e| message(path, &e))?;
            }
            println!("{}: created", path.display());
        }
        Command::Adopt { folder: path, moved } => {
            let mut store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let mut ops = vec![Op::Remove { kind: KIND_OWNER, key: b"owner".to_vec() }];
            ops.extend((!moved).then(mark_as_replacement));
            store.commit(&ops, 0).map_err(|e| message(path, &e))?;
            println!("{}: belongs to the node that starts with it next", path.display());
        }
        Command::Verify { folder: path } => {
            let store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let damage = store.verify().map_err(|e| message(path, &e))?;
            let stats = store.stats();
            println!("{}: {} records in {} segments", path.display(), stats.records, stats.segments);
            if !damage.is_empty() {
                return Err(format_damage(&damage));
            }
        }
        Command::Dump { folder: path } => {
            let store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let mut entries = Vec::new();
            store.for_each(|entry, value| entries.push((entry, value))).map_err(|e| message(path, &e))?;
            entries.sort_by(|(a, _), (b, _)| (a.at, &a.key).cmp(&(b.at, &b.key)));
            for (entry, value) in entries {
                let key = String::from_utf8_lossy(&entry.key);
                let text = match entry.kind {
                    KIND_OUTCOME => {
                        StoredOutcome::from_bytes(&value).map_or("not understood", |f| f.as_str()).to_owned()
                    }
                    _ => String::from_utf8_lossy(&value).into_owned(),
                };
                println!("{:.3} {} {key} {text}", entry.at as f64 / 1e9, entry.kind);
            }
        }
        Command::Compact { folder: path } => {
            let mut store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let before = store.stats().bytes;
            // No record expires here, because the retention time is in the node's configuration, which is not read.
            store.compact(0).and_then(|()| store.checkpoint()).map_err(|e| message(path, &e))?;
            println!("{}: {before} bytes before, {} now", path.display(), store.stats().bytes);
        }
        Command::Repair { folder: path } => {
            let damage =
                Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed).and_then(|s| s.verify());
            match damage {
                Ok(damage) if damage.is_empty() => {
                    return Err(format!(
                        "{}: the store is whole, there is nothing to repair",
                        path.display()
                    ));
                }
                Err(StoreError::Missing) => {
                    return Err(format!("{}: there is no store here", path.display()));
                }
                _ => {}
            }
            let (mut store, lost) =
                repair(folder(path)?, unlimited(), seed).map_err(|e| message(path, &e))?;
            // Missing files can't be detected, so the store always counts as the replacement of a lost one.
            store.commit(&[mark_as_replacement()], 0).map_err(|e| message(path, &e))?;
            println!("{}: {} records", path.display(), store.stats().records);
            if lost.is_empty() {
                println!("no known record was lost");
            } else {
                println!("lost:\n{}", format_damage(&lost));
                println!(
                    "a one-shot that may have run may be among them, so a node that starts with this store treats it as the replacement of a lost one"
                );
            }
        }
    }
    Ok(())
}

/// Formats the damaged ranges, one a line.
fn format_damage(damage: &[Damage]) -> String {
    let lines: Vec<String> =
        damage.iter().map(|d| format!("  {} at byte {}: {}", d.file, d.offset, d.reason)).collect();
    lines.join("\n")
}
