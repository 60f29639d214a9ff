//! The store of a node: a thread that makes records last, in groups, and what a node knows when it comes back. Off unless
//! PROXY_STORE names a file.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use linestack_core::{Core, Input, Nanos, PersistTicket, StoredOutcomes};
use linestack_recovery::start::{BootTimestamp, is_fresh};
use linestack_recovery::{OutcomeRecord, OutcomeTable, StoreTime, StoredOutcome};
use linestack_store::{Damage, Fault, Folder, LARGEST, Limits, Op, Store, repair};
use serde::{Deserialize, Serialize};

use crate::fleet::store::{FileIdentity, file_identity, same_file};
use crate::net::Node;
use crate::net::discovery::List;
use crate::{http, staged_start, start_attempts};

/// Kinds of record: a one-shot's fate, the list of executors, when discovery was heard last, whose store it is, and
/// that one before it was lost. But for fates there is one of each.
const FATE: u8 = 1;
const LIST: u8 = 2;
const HEARD: u8 = 3;
const OWNER: u8 = 4;
const LOST: u8 = 5;
/// Starts in a row that died while they read the store, before it is set aside.
const TRIES: u32 = 3;
/// Records that go in one commit, at most.
const GROUP: usize = 512;
/// A result that did not fit would fail the store.
const _: () = assert!(http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES < LARGEST);
/// Of the memory, what fates may take.
const MEMORY_PART: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DedupKey {
    ReqId,
    IdempotencyKey,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFailed {
    /// One-shots are dismissed, all else goes on.
    Dismiss,
    /// The node answers what it has taken, and ends.
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sync {
    /// Each commit is synced, with all that came while the one before was at the disk.
    Group,
    /// Left to the system: a kill loses nothing, a power cut what was not written.
    None,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub folder: PathBuf,
    pub dedup_key: DedupKey,
    pub remember_s: u64,
    pub budget_mb: u64,
    pub sync: Sync,
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
    #[serde(default = "remember_s")]
    remember_s: u64,
    #[serde(default = "budget_mb")]
    budget_mb: u64,
    #[serde(default = "group")]
    sync: Sync,
    #[serde(default = "dismiss")]
    when_failed: WhenFailed,
}

fn remember_s() -> u64 {
    3600
}

fn budget_mb() -> u64 {
    256
}

fn group() -> Sync {
    Sync::Group
}

fn dismiss() -> WhenFailed {
    WhenFailed::Dismiss
}

/// Reads an operator's file.
///
/// # Errors
///
/// What is wrong with it, by its key.
pub fn read_config(path: &Path) -> Result<Config, String> {
    let fault = |why: String| format!("{}: {why}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
    let File { store: t } = crate::fleet::config::parse_table(path, &text)?;
    if !(10..=1_000_000).contains(&t.remember_s) {
        return Err(fault("store.remember-s: from 10 to 1,000,000".into()));
    }
    if !(16..=1_000_000).contains(&t.budget_mb) {
        return Err(fault("store.budget-mb: from 16 to 1,000,000".into()));
    }
    let Table { folder, dedup_key, remember_s, budget_mb, sync, when_failed } = t;
    Ok(Config { folder, dedup_key, remember_s, budget_mb, sync, when_failed })
}

fn limits(span: StoreTime, budget_mb: u64, sync: Sync) -> Limits {
    let sync = sync == Sync::Group;
    Limits { budget: budget_mb << 20, spans: vec![(FATE, span)], sync, ..Limits::default() }
}

/// What is to be kept.
pub enum StoreRecord {
    Outcome(OutcomeRecord, Option<PersistTicket>),
    /// The list as it stands now.
    List(List),
    /// Discovery was heard, and the list stands.
    ListConfirmed,
}

/// Whose store it is, and which folder it was made in: a copy is another.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    node: String,
    place: FileIdentity,
}

/// When something was kept.
#[derive(Serialize, Deserialize)]
struct Stamp {
    boot: u128,
    at: u64,
}

impl Stamp {
    fn now() -> Vec<u8> {
        let BootTimestamp { boot, at } = staged_start::boot_timestamp();
        serde_json::to_vec(&Self { boot, at }).unwrap_or_default()
    }
}

pub struct NodeStore {
    store: Store<Folder>,
    config: Config,
    age: StoreTime,
    fates: Vec<OutcomeRecord>,
    list: Option<List>,
    heard: Option<BootTimestamp>,
    /// One before it was lost: what that one sent is not known.
    lost: bool,
}

/// That a store stands for one that was lost.
fn lost_mark() -> Op {
    Op::Put { kind: LOST, key: b"lost".to_vec(), value: Vec::new(), at: 0 }
}

fn owner_mark(node: &str, place: FileIdentity) -> Op {
    let value = serde_json::to_vec(&Owner { node: node.to_owned(), place }).unwrap_or_default();
    Op::Put { kind: OWNER, key: b"owner".to_vec(), value, at: 0 }
}

/// The only record of a kind.
fn only(store: &Store<Folder>, kind: u8) -> Option<Vec<u8>> {
    let entry = store.entries().find(|e| e.kind == kind)?;
    store.get(kind, &entry.key).ok().flatten()
}

impl NodeStore {
    /// Opens the store, and reads what it holds.
    ///
    /// # Errors
    ///
    /// There is none, another process holds it, or it is damaged or another's: with what to do.
    pub fn open(config: Config, node: &str) -> Result<Self, String> {
        let place = config.folder.display().to_string();
        let fault = |why: &Fault| {
            let remedy = match why {
                Fault::Missing => format!("; `linestack store init {place}` makes one"),
                Fault::Damaged { .. } => format!("; `linestack store verify {place}` tells more"),
                _ => String::new(),
            };
            format!("store.folder: {place}: {why}{remedy}")
        };
        let path = config.folder.clone();
        let folder = Folder::open(&path).map_err(|e| fault(&e.into()))?;
        let limits = || limits(config.remember_s * 1_000_000_000, config.budget_mb, config.sync);
        let died = start_attempts::record_attempt(&path).map_err(|e| fault(&e.into()))?;
        let (mut store, mut fates) = if died >= TRIES {
            let whole = |name: &str| name != "lock" && name != "tries";
            let aside = start_attempts::quarantine_files(&path, whole).map_err(|e| fault(&e.into()))?;
            tracing::error!(aside = %aside.display(), "starts died reading the store: set aside, a new one is begun");
            let mut store =
                Store::open(folder, limits(), true, crate::fleet::random_u64()).map_err(|e| fault(&e))?;
            store.commit(&[lost_mark()], 0).map_err(|e| fault(&e))?;
            (store, Vec::new())
        } else {
            let opened = Store::open(folder, limits(), false, 0);
            let store =
                opened.inspect_err(|_| start_attempts::clear_attempts(&path)).map_err(|e| fault(&e))?;
            let fates = fates_of(&store)
                .inspect_err(|_| start_attempts::clear_attempts(&path))
                .map_err(|e| fault(&e))?;
            (store, fates)
        };
        start_attempts::clear_attempts(&path);
        let place_now = file_identity(&path.join("lock")).map_err(|e| fault(&e.into()))?;
        match only(&store, OWNER).map(|known| serde_json::from_slice::<Owner>(&known).ok()) {
            None => store.commit(&[owner_mark(node, place_now)], 0).map_err(|e| fault(&e))?,
            Some(Some(o)) if o.node == node && same_file(&o.place, &place_now) => {}
            Some(known) => {
                let whose = match known {
                    Some(o) if o.node == node => {
                        "a copy: what was sent since it was made is not in it".to_owned()
                    }
                    Some(o) => format!("of node {}, not of {node}", o.node),
                    None => "of a node that is not understood".to_owned(),
                };
                return Err(format!(
                    "store.folder: {place}: {whose}; `linestack store adopt {place}` takes it over"
                ));
            }
        }
        fates.sort_by_key(|k| k.at);
        let list = only(&store, LIST).and_then(|text| List::read(&text).ok());
        let heard: Option<Stamp> = only(&store, HEARD).and_then(|text| serde_json::from_slice(&text).ok());
        let heard = heard.map(|Stamp { boot, at }| BootTimestamp { boot, at });
        let lost = only(&store, LOST).is_some();
        // No clock of day is asked: only the time in which nodes ran makes anything old.
        let age = fates.iter().map(|k| k.at).max().map_or(0, |at| at + 1);
        Ok(Self { store, config, age, fates, list, heard, lost })
    }

    /// The list that was kept, and whether it is as young as one just told.
    #[must_use]
    pub fn list(&self, within: u64) -> Option<(List, bool)> {
        let list = self.list.clone().filter(|l| !l.endpoints.is_empty())?;
        let age = self.heard.and_then(|kept| kept.age(&staged_start::boot_timestamp()));
        tracing::info!(entries = list.endpoints.len(), age_ms = age.map(|a| a / 1_000_000), "list read");
        Some((list, is_fresh(age, within)))
    }

    /// What the reducer is to know of it. `memory` is what the program may have, in bytes.
    pub fn restore_into(&mut self, core: &mut Core, memory: usize, now: Nanos, longest_cut_off: Nanos) {
        let span = self.config.remember_s * 1_000_000_000;
        let mut fates = OutcomeTable::new(span, usize::MAX, memory / MEMORY_PART);
        fates.restore(std::mem::take(&mut self.fates));
        fates.expire(self.age);
        tracing::info!(known = fates.len(), folder = %self.config.folder.display(), "store read");
        let by_stamp = self.config.dedup_key == DedupKey::IdempotencyKey;
        // Whoever waits for what the one before had taken notices at once, and asks again within its own cut-off.
        let doubtful = if self.lost { now + longest_cut_off + LOST_SLACK } else { 0 };
        if self.lost {
            tracing::error!("an earlier store was lost: one-shots are aborted until what it sent is over");
        }
        core.enable_outcome_store(StoredOutcomes {
            outcomes: fates,
            age: self.age,
            now,
            by_stamp,
            incomplete_until: doubtful,
        });
    }

    /// Runs the thread that writes, and returns where to send what is to be written.
    pub fn into_writer(self) -> (Sender<StoreRecord>, StoreWriter) {
        let (to, from) = channel();
        (to, StoreWriter { keeper: self, from })
    }
}

pub struct StoreWriter {
    keeper: NodeStore,
    from: Receiver<StoreRecord>,
}

/// Beyond the longest cut-off, for clients and networks.
const LOST_SLACK: Nanos = 1_000_000_000;
/// How often it is written down that discovery was heard.
const STAMPED: Duration = Duration::from_millis(500);

/// The fates that are kept.
fn fates_of(store: &Store<Folder>) -> Result<Vec<OutcomeRecord>, Fault> {
    let poisoned =
        crate::fleet::injected_fault().and_then(|f| f.strip_prefix("dies-reading=").map(str::to_owned));
    let mut fates = Vec::new();
    store.each(|entry, value| {
        if poisoned.as_ref().is_some_and(|key| entry.kind == FATE && entry.key.starts_with(key.as_bytes())) {
            std::process::abort();
        }
        if entry.kind == FATE {
            // Of a later version: it may have run, for all that this one can tell.
            let fate = StoredOutcome::from_bytes(&value).unwrap_or(StoredOutcome::MayHaveRun);
            fates.push(OutcomeRecord { key: entry.key.into(), outcome: fate, at: entry.at });
        }
    })?;
    Ok(fates)
}

impl StoreWriter {
    /// Writes for as long as the program runs; nothing in a coroutine waits for it.
    pub fn start(self, node: Arc<Node>) {
        std::thread::spawn(move || self.work(&node));
    }

    fn work(self, node: &Arc<Node>) {
        let Self { mut keeper, from } = self;
        let mut record = Record { last: keeper.age, stamped: None };
        let mut failure: Option<Failure> = None;
        loop {
            let Some(group) = next_group(&from, failure.as_ref()) else { return };
            if failure.as_mut().is_some_and(|failure| failure.may_be_over(&mut keeper.store, record.last)) {
                tracing::info!("store takes records again");
                failure = None;
                node.handle_input(Input::StoreRecovered);
            }
            let mut ops: Vec<Op> = group.iter().filter_map(|note| record.op(note)).collect();
            if keeper.lost && failure.is_none() && node.outcomes_complete() {
                keeper.lost = false;
                ops.push(Op::Remove { kind: LOST, key: b"lost".to_vec() });
            }
            if !ops.is_empty()
                && failure.is_none()
                && let Err(why) = keeper.store.commit(&ops, record.last)
            {
                tracing::error!(%why, "store failed: one-shots are dismissed until it is back");
                failure = Some(Failure::new());
                if keeper.config.when_failed == WhenFailed::Stop {
                    let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
                }
            }
            for note in group {
                match note {
                    StoreRecord::Outcome(_, Some(ticket)) => {
                        node.handle_input(Input::Persisted { ticket, durable: failure.is_none() });
                    }
                    StoreRecord::Outcome(keep, None) => {
                        if let Some(failure) = &mut failure {
                            failure.owe(&keep);
                        }
                    }
                    StoreRecord::List(_) | StoreRecord::ListConfirmed => {}
                }
            }
        }
    }
}

/// All that came while the group before was at the disk goes together. While the store has failed it may be empty: then it
/// is time to look whether the disk is back. None once nobody is left who writes.
fn next_group(from: &Receiver<StoreRecord>, failure: Option<&Failure>) -> Option<Vec<StoreRecord>> {
    let first = match failure {
        None => from.recv().ok()?,
        Some(failure) => match from.recv_timeout(failure.pause) {
            Ok(first) => first,
            Err(RecvTimeoutError::Timeout) => return Some(Vec::new()),
            Err(RecvTimeoutError::Disconnected) => return None,
        },
    };
    Some(std::iter::once(first).chain(from.try_iter().take(GROUP - 1)).collect())
}

fn put(kind: u8, key: &[u8], value: Vec<u8>, at: StoreTime) -> Op {
    Op::Put { kind, key: key.to_vec(), value, at }
}

/// Makes records of notes.
struct Record {
    /// The age of the youngest.
    last: StoreTime,
    /// When it was last written down that discovery was heard.
    stamped: Option<Instant>,
}

impl Record {
    fn op(&mut self, note: &StoreRecord) -> Option<Op> {
        match note {
            StoreRecord::Outcome(keep, _) => {
                self.last = self.last.max(keep.at);
                Some(put(FATE, &keep.key, keep.outcome.to_bytes(), keep.at))
            }
            StoreRecord::List(list) => {
                let text = list.write();
                if text.len() + 64 < LARGEST {
                    return Some(put(LIST, b"list", text, self.last));
                }
                tracing::warn!(bytes = text.len(), "the list is too long to be kept");
                None
            }
            StoreRecord::ListConfirmed if self.stamped.is_some_and(|at| at.elapsed() < STAMPED) => None,
            StoreRecord::ListConfirmed => {
                self.stamped = Some(Instant::now());
                Some(put(HEARD, b"heard", Stamp::now(), self.last))
            }
        }
    }
}

/// How soon after a failure the disk is tried again, and how seldom in the end.
const TRY_AGAIN: Duration = Duration::from_millis(50);
const TRY_SELDOM: Duration = Duration::from_millis(500);
/// Outcomes that are kept in memory while the disk fails. Of those beyond it stays written that they may have run.
const MOST_OWED: usize = 4096;

/// The disk fails.
struct Failure {
    pause: Duration,
    tried: Instant,
    /// Outcomes that came meanwhile.
    owed: Vec<Op>,
}

impl Failure {
    fn new() -> Self {
        Self { pause: TRY_AGAIN, tried: Instant::now(), owed: Vec::new() }
    }

    fn owe(&mut self, keep: &OutcomeRecord) {
        if self.owed.len() < MOST_OWED {
            self.owed.push(put(FATE, &keep.key, keep.outcome.to_bytes(), keep.at));
        }
    }

    /// Tries whether the disk takes what came meanwhile, if it is time. True if it does.
    fn may_be_over(&mut self, store: &mut Store<Folder>, now: StoreTime) -> bool {
        if self.tried.elapsed() < self.pause {
            return false;
        }
        let resumed = store.resume().and_then(|()| store.commit(&self.owed, now));
        (self.tried, self.pause) = (Instant::now(), (2 * self.pause).min(TRY_SELDOM));
        resumed.is_ok()
    }
}

/// `linestack store`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Make a store where there is none.
    Init {
        folder: PathBuf,
        /// There was one, and it is gone: until what it sent is over, one-shots are aborted.
        #[arg(long)]
        lost: bool,
    },
    /// Let this folder's store be the store of whichever node starts with it next. Without `--moved` it counts as lost:
    /// a copy does not know what was sent since it was made.
    Adopt {
        folder: PathBuf,
        /// No node has run on the original since it was copied.
        #[arg(long)]
        moved: bool,
    },
    /// Read all of it, and tell what is damaged.
    Verify { folder: PathBuf },
    /// What is in it, one record a line.
    Dump { folder: PathBuf },
    /// Give back the room of what is no longer needed.
    Compact { folder: PathBuf },
    /// Make a store of what can still be read of a damaged one. Old files stay, as `lost-...`.
    Repair { folder: PathBuf },
}

/// # Errors
///
/// What went wrong, for people.
pub fn run(command: &Command) -> Result<(), String> {
    let any = || limits(u64::MAX, 1 << 20, Sync::Group);
    let seed = crate::fleet::random_u64();
    let folder = |path: &Path| Folder::open(path).map_err(|e| format!("{}: {e}", path.display()));
    let told = |path: &Path, e: &Fault| format!("{}: {e}", path.display());
    match command {
        Command::Init { folder: path, lost } => {
            let mut store = Store::open(folder(path)?, any(), true, seed).map_err(|e| told(path, &e))?;
            if *lost {
                store.commit(&[lost_mark()], 0).map_err(|e| told(path, &e))?;
            }
            println!("{}: made", path.display());
        }
        Command::Adopt { folder: path, moved } => {
            let mut store = Store::open(folder(path)?, any(), false, seed).map_err(|e| told(path, &e))?;
            let mut ops = vec![Op::Remove { kind: OWNER, key: b"owner".to_vec() }];
            ops.extend((!moved).then(lost_mark));
            store.commit(&ops, 0).map_err(|e| told(path, &e))?;
            println!("{}: belongs to the node that starts with it next", path.display());
        }
        Command::Verify { folder: path } => {
            let store = Store::open(folder(path)?, any(), false, seed).map_err(|e| told(path, &e))?;
            let damage = store.verify().map_err(|e| told(path, &e))?;
            let stats = store.stats();
            println!("{}: {} records in {} segments", path.display(), stats.records, stats.segments);
            if !damage.is_empty() {
                return Err(lines(&damage));
            }
        }
        Command::Dump { folder: path } => {
            let store = Store::open(folder(path)?, any(), false, seed).map_err(|e| told(path, &e))?;
            let mut entries = Vec::new();
            store.each(|entry, value| entries.push((entry, value))).map_err(|e| told(path, &e))?;
            entries.sort_by(|(a, _), (b, _)| (a.at, &a.key).cmp(&(b.at, &b.key)));
            for (entry, value) in entries {
                let key = String::from_utf8_lossy(&entry.key);
                let word = match entry.kind {
                    FATE => {
                        StoredOutcome::from_bytes(&value).map_or("not understood", |f| f.as_str()).to_owned()
                    }
                    _ => String::from_utf8_lossy(&value).into_owned(),
                };
                println!("{:.3} {} {key} {word}", entry.at as f64 / 1e9, entry.kind);
            }
        }
        Command::Compact { folder: path } => {
            let mut store = Store::open(folder(path)?, any(), false, seed).map_err(|e| told(path, &e))?;
            let before = store.stats().bytes;
            // Nothing is forgotten here: how long records count is the node's to say.
            store.compact(0).and_then(|()| store.checkpoint()).map_err(|e| told(path, &e))?;
            println!("{}: {before} bytes before, {} now", path.display(), store.stats().bytes);
        }
        Command::Repair { folder: path } => {
            let whole = Store::open(folder(path)?, any(), false, seed).and_then(|s| s.verify());
            match whole {
                Ok(damage) if damage.is_empty() => return Err(format!("{}: it is whole", path.display())),
                Err(Fault::Missing) => return Err(format!("{}: there is no store here", path.display())),
                _ => {}
            }
            let (mut store, lost) = repair(folder(path)?, any(), seed).map_err(|e| told(path, &e))?;
            // Whole files may be gone, of which nothing tells.
            store.commit(&[lost_mark()], 0).map_err(|e| told(path, &e))?;
            println!("{}: {} records", path.display(), store.stats().records);
            if lost.is_empty() {
                println!("nothing that is known of was lost");
            } else {
                println!("lost:\n{}", lines(&lost));
                println!(
                    "a one-shot that may have run may be among them: the node that starts on it counts as one that lost its store"
                );
            }
        }
    }
    Ok(())
}

fn lines(damage: &[Damage]) -> String {
    let all: Vec<String> =
        damage.iter().map(|d| format!("  {} at byte {}: {}", d.file, d.at, d.why)).collect();
    all.join("\n")
}
