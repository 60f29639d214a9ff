//! The list of executors that simulated discovery serves, with versions.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::history::{Event, Nanos, Recorder, Status};
use crate::lock;
use crate::settings::{KIND, ZONES};

/// A listed executor.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The index of the simulated executor.
    pub executor: usize,
    /// The name, the same at every node.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The index of its zone.
    pub zone: usize,
    /// The group that shares idempotency keys.
    pub group: usize,
    /// The listed status.
    pub status: Status,
    /// When its process started, in Unix milliseconds; 0 for long ago.
    pub since_ms: f64,
    /// The version of the list in which it last changed.
    version: u64,
}

#[derive(Debug)]
struct List {
    version: u64,
    entries: Vec<Entry>,
}

/// The list, with a notification when it changes.
#[derive(Debug)]
pub struct ExecutorList {
    list: Mutex<List>,
    changed: Condvar,
    recorder: Arc<Recorder>,
}

impl ExecutorList {
    /// Creates an empty list.
    #[must_use]
    pub fn new(recorder: Arc<Recorder>) -> Self {
        let list = Mutex::new(List { version: 0, entries: Vec::new() });
        Self { list, changed: Condvar::new(), recorder }
    }

    /// Changes the list under a new version and records the change. `edit` returns the position of the changed entry, or none
    /// if there is nothing to change. `started` is when a new process of the executor started, if one did.
    fn edit(
        &self,
        executor: usize,
        started: Option<Nanos>,
        edit: impl FnOnce(&mut Vec<Entry>) -> Option<usize>,
    ) {
        let mut list = lock(&self.list);
        let version = list.version + 1;
        let Some(position) = edit(&mut list.entries) else { return };
        list.version = version;
        let entry = &mut list.entries[position];
        entry.version = version;
        if started.is_some() {
            entry.since_ms = unix_ms();
        }
        let (status, started) = (entry.status, started.unwrap_or(0));
        self.recorder.record(Event::Listed { version, executor, status, started });
        drop(list);
        self.changed.notify_all();
    }

    /// Adds an executor; `started` is when its process started, none for long ago.
    pub fn add(&self, entry: Entry, started: Option<Nanos>) {
        self.edit(entry.executor, started, |entries| {
            entries.push(entry);
            Some(entries.len() - 1)
        });
    }

    /// Sets the status of an executor.
    pub fn set_status(&self, executor: usize, status: Status) {
        self.edit(executor, None, |entries| {
            let position = entries.iter().position(|entry| entry.executor == executor)?;
            entries[position].status = status;
            Some(position)
        });
    }

    /// Lists an executor with a new process at the same address.
    pub fn mark_restarted(&self, executor: usize, started: Nanos) {
        self.edit(executor, Some(started), |entries| {
            entries.iter().position(|entry| entry.executor == executor)
        });
    }

    /// Replaces the executor `old` by `new`, at another address but under the same name.
    pub fn replace(&self, old: usize, new: usize, address: SocketAddr, started: Nanos) {
        self.recorder.record(Event::Listed { version: 0, executor: old, status: Status::Left, started: 0 });
        self.edit(new, Some(started), |entries| {
            let position = entries.iter().position(|entry| entry.executor == old)?;
            let entry = &mut entries[position];
            (entry.executor, entry.address, entry.status) = (new, address, Status::Active);
            Some(position)
        });
    }

    /// Returns the version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        lock(&self.list).version
    }

    /// Returns the entry of an executor.
    #[must_use]
    pub fn entry(&self, executor: usize) -> Option<Entry> {
        lock(&self.list).entries.iter().find(|entry| entry.executor == executor).cloned()
    }

    /// Returns the version of the list and, as JSON, the entries that changed after a version; all entries without one.
    #[must_use]
    pub fn changes_after(&self, after: Option<u64>) -> (u64, Value) {
        let list = lock(&self.list);
        let changed = list.entries.iter().filter(|entry| after.is_none_or(|after| entry.version > after));
        let endpoints: Vec<Value> = changed.map(endpoint).collect();
        (list.version, json!({"index": list.version, "snapshot": after.is_none(), "endpoints": endpoints}))
    }

    /// Waits until the list is newer than this version, at most for `limit`.
    pub fn wait_for_change(&self, version: u64, limit: Duration) {
        let list: MutexGuard<'_, List> = lock(&self.list);
        if list.version == version {
            drop(self.changed.wait_timeout(list, limit));
        }
    }
}

impl Entry {
    /// Creates an active entry.
    #[must_use]
    pub fn new(executor: usize, name: String, address: SocketAddr, zone: usize, group: usize) -> Self {
        Self { executor, name, address, zone, group, status: Status::Active, since_ms: 0.0, version: 0 }
    }
}

/// Returns an entry as discovery writes it.
fn endpoint(entry: &Entry) -> Value {
    let status = match entry.status {
        Status::Active => "active",
        Status::Leaving => "leaving",
        Status::Left => "left",
    };
    json!({"name": entry.name, "address": entry.address.to_string(), "zone": ZONES[entry.zone], "type": KIND,
        "group": entry.group, "status": status, "weight": 1.0, "since_ms": entry.since_ms})
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3
}
