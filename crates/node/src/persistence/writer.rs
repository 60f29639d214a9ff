//! The thread that writes records durably in group commits, and tries again while the store fails.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use linestack_core::{Input, PersistTicket};
use linestack_recovery::{OutcomeRecord, StoreTime};
use linestack_store::{Folder, MAX_RECORD_LENGTH, Op, Store};

use super::{
    KIND_LIST, KIND_LIST_CONFIRMED, KIND_OUTCOME, KIND_REPLACES_LOST, MAX_GROUP_SIZE, NodeStore,
    StoredTimestamp, WhenFailed,
};
use crate::net::Node;
use crate::net::discovery::List;

/// The key of the record with the list.
const LIST_KEY: &[u8] = b"list";
/// The bytes of a record that are left for the key of the list.
const LIST_KEY_ROOM_BYTES: usize = 64;
/// The shortest time between two writes of [`KIND_LIST_CONFIRMED`].
const LIST_CONFIRMED_INTERVAL: Duration = Duration::from_millis(500);

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

/// Writes records to the store of a node, in a thread of its own.
pub struct StoreWriter {
    pub(super) node_store: NodeStore,
    pub(super) records: Receiver<StoreRecord>,
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
                    StoreRecord::List(list) => {
                        if let Some(failure) = &mut failure {
                            failure.deferred_list = Some(encoder.encode_list(&list));
                        }
                    }
                    StoreRecord::ListConfirmed => {}
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
            StoreRecord::List(list) => Some(self.encode_list(list)),
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

    /// Returns the operation that stores a list in place of the one before. If the list is too long, no list is stored: the
    /// confirmations that follow must not refer to an older one.
    fn encode_list(&self, list: &List) -> Op {
        let text = list.write();
        if text.len() + LIST_KEY_ROOM_BYTES < MAX_RECORD_LENGTH {
            return put(KIND_LIST, LIST_KEY, text, self.newest_time);
        }
        tracing::warn!(bytes = text.len(), "the list is too long to be stored");
        Op::Remove { kind: KIND_LIST, key: LIST_KEY.to_vec() }
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
    /// The latest list that arrived since. It is written before any confirmation of it.
    deferred_list: Option<Op>,
}

impl Failure {
    fn new() -> Self {
        Self {
            retry_pause: MIN_RETRY_PAUSE,
            last_retry: Instant::now(),
            deferred: Vec::new(),
            deferred_list: None,
        }
    }

    /// Holds an outcome in memory until the store works again.
    fn defer(&mut self, record: &OutcomeRecord) {
        if self.deferred.len() < MAX_DEFERRED_OUTCOMES {
            self.deferred.push(put(KIND_OUTCOME, &record.key, record.outcome.to_bytes(), record.at));
        }
    }

    /// Tries to write what was deferred, if the pause is over. Returns whether the store works again.
    fn try_recover(&mut self, store: &mut Store<Folder>, now: StoreTime) -> bool {
        if self.last_retry.elapsed() < self.retry_pause {
            return false;
        }
        let deferred: Vec<Op> = self.deferred.iter().chain(&self.deferred_list).cloned().collect();
        let resumed = store.resume().and_then(|()| store.commit(&deferred, now));
        (self.last_retry, self.retry_pause) = (Instant::now(), (2 * self.retry_pause).min(MAX_RETRY_PAUSE));
        resumed.is_ok()
    }
}
