//! The store of a node: a thread that writes records durably in group commits, and the state that is restored from them
//! when the node starts again. Off unless PROXY_STORE names a configuration file.
//!
//! The store holds the outcomes of one-shots, which are submissions that must not be executed twice, and the list of
//! executors. If a store is lost, the one that replaces it is marked, so that the node does not execute a one-shot that
//! it may have executed before.

mod commands;
mod config;
mod writer;

use std::sync::mpsc::{Sender, channel};

use linestack_core::{Core, Nanos, StoredOutcomes};
use linestack_recovery::start::{BootTimestamp, is_fresh};
use linestack_recovery::{OutcomeRecord, OutcomeTable, StoreTime, StoredOutcome};
use linestack_store::{Folder, Limits, MAX_RECORD_LENGTH, Op, OpenMode, Retention, Store, StoreError};
use serde::{Deserialize, Serialize};

use crate::fleet::store::{FileIdentity, file_identity, same_file};
use crate::net::discovery::List;
use crate::{NANOS_PER_MS, NANOS_PER_S, http, staged_start, start_attempts};

pub use commands::{Command, run};
pub use config::{Config, DedupKey, Sync, WhenFailed, read_config};
pub use writer::{StoreRecord, StoreWriter};

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
/// Stored outcomes may use one part in this many of the program's memory.
const OUTCOMES_MEMORY_DIVISOR: usize = 8;

fn limits(retention: StoreTime, budget_mb: u64, sync: Sync) -> Limits {
    let sync = sync == Sync::Group;
    Limits {
        budget: budget_mb << 20,
        retention: vec![Retention { kind: KIND_OUTCOME, duration: retention }],
        sync,
        ..Limits::default()
    }
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

/// After a store was lost, one-shots are aborted for the longest deadline plus this time, which allows for delays of
/// clients and networks.
const LOST_STORE_SLACK_NS: Nanos = 1_000_000_000;

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
