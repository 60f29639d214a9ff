//! What discovery knows: the list of executors, with versions.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::history::{Event, Nanos, Recorder, Status};
use crate::lock;
use crate::settings::{KIND, ZONES};

/// An executor as it is listed.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The stand-in behind it.
    pub executor: usize,
    /// The same at every node.
    pub name: String,
    /// Where it can be reached.
    pub address: SocketAddr,
    /// Its place among the zones.
    pub zone: usize,
    /// The group that shares idempotency keys.
    pub group: usize,
    /// What it is listed as.
    pub status: Status,
    /// When its process began, in Unix milliseconds; 0 for long ago.
    pub since_ms: f64,
    version: u64,
}

#[derive(Debug)]
struct List {
    version: u64,
    entries: Vec<Entry>,
}

/// The list, and who waits for it to change.
#[derive(Debug)]
pub struct ExecutorList {
    list: Mutex<List>,
    changed: Condvar,
    recorder: Arc<Recorder>,
}

impl ExecutorList {
    /// An empty list.
    #[must_use]
    pub fn new(recorder: Arc<Recorder>) -> Self {
        let list = Mutex::new(List { version: 0, entries: Vec::new() });
        Self { list, changed: Condvar::new(), recorder }
    }

    fn edit(
        &self,
        executor: usize,
        started: Option<Nanos>,
        edit: impl FnOnce(&mut Vec<Entry>) -> Option<usize>,
    ) {
        let mut list = lock(&self.list);
        let version = list.version + 1;
        let Some(place) = edit(&mut list.entries) else { return };
        list.version = version;
        let entry = &mut list.entries[place];
        entry.version = version;
        if started.is_some() {
            entry.since_ms = unix_ms();
        }
        let (status, started) = (entry.status, started.unwrap_or(0));
        self.recorder.now(Event::Listed { version, executor, status, started });
        drop(list);
        self.changed.notify_all();
    }

    /// An executor is there; `started` is when its process began, none for long ago.
    pub fn add(&self, entry: Entry, started: Option<Nanos>) {
        self.edit(entry.executor, started, |entries| {
            entries.push(entry);
            Some(entries.len() - 1)
        });
    }

    /// An executor drains or has left.
    pub fn set_status(&self, executor: usize, status: Status) {
        self.edit(executor, None, |entries| {
            let place = entries.iter().position(|entry| entry.executor == executor)?;
            entries[place].status = status;
            Some(place)
        });
    }

    /// An executor's process is another from now on, at its address.
    pub fn restarted(&self, executor: usize, started: Nanos) {
        self.edit(executor, Some(started), |entries| {
            entries.iter().position(|entry| entry.executor == executor)
        });
    }

    /// Another stand-in goes by the name of one that is there, at its own address.
    pub fn renamed(&self, old: usize, new: usize, address: SocketAddr, started: Nanos) {
        self.recorder.now(Event::Listed { version: 0, executor: old, status: Status::Left, started: 0 });
        self.edit(new, Some(started), |entries| {
            let place = entries.iter().position(|entry| entry.executor == old)?;
            let entry = &mut entries[place];
            (entry.executor, entry.address, entry.status) = (new, address, Status::Active);
            Some(place)
        });
    }

    /// The version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        lock(&self.list).version
    }

    /// The entry of an executor.
    #[must_use]
    pub fn entry(&self, executor: usize) -> Option<Entry> {
        lock(&self.list).entries.iter().find(|entry| entry.executor == executor).cloned()
    }

    /// The list as JSON, of what changed after a version, and its version; the whole list without one.
    #[must_use]
    pub fn since(&self, after: Option<u64>) -> (u64, Value) {
        let list = lock(&self.list);
        let changed = list.entries.iter().filter(|entry| after.is_none_or(|after| entry.version > after));
        let endpoints: Vec<Value> = changed.map(endpoint).collect();
        (list.version, json!({"index": list.version, "snapshot": after.is_none(), "endpoints": endpoints}))
    }

    /// Waits until the list is newer than this version, or for so long.
    pub fn wait(&self, version: u64, most: Duration) {
        let list: MutexGuard<'_, List> = lock(&self.list);
        if list.version == version {
            drop(self.changed.wait_timeout(list, most));
        }
    }
}

impl Entry {
    /// A new one.
    #[must_use]
    pub fn new(executor: usize, name: String, address: SocketAddr, zone: usize, group: usize) -> Self {
        Self { executor, name, address, zone, group, status: Status::Active, since_ms: 0.0, version: 0 }
    }
}

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
