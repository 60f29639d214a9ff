//! The events of a run, as observed by the simulated clients, executors and discovery and by the driver. The judge knows
//! nothing else.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::settings::Class;

/// Nanoseconds on the machine's monotonic clock.
pub type Nanos = u64;
/// The number of a client's connection, unique within the run.
pub type ClientConnectionId = u64;
/// The number of a connection to an executor, unique within the run.
pub type ExecutorConnectionId = u64;

/// Why a client got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingAnswer {
    /// The connection was closed or broke.
    Closed,
    /// No byte of an answer arrived until long after the deadline.
    Silence,
    /// The received bytes are no valid answer.
    Garbled,
}

/// The ways in which a client misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehavior {
    /// Connects and sends nothing.
    Silent,
    /// Sends half a request and keeps the connection open.
    Half,
    /// Sends a request byte by byte with long pauses.
    Dripping,
    /// Sends bytes that are no HTTP request.
    Garbage,
    /// Sends many bytes at once and resets the connection.
    Flood,
}

#[allow(missing_docs, reason = "the fields are described with their variant")]
/// An event of a run. The field `life` is the number of a node's process, which counts the node's starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Event {
    /// A client has written the last byte of a request.
    #[serde(rename = "asked")]
    RequestSent {
        id: String,
        node: usize,
        life: u64,
        class: Class,
        #[serde(rename = "conversation")]
        client_connection: ClientConnectionId,
        deadline_ms: u64,
        /// Whether the request is the first on its connection.
        first: bool,
        /// The number of unanswered requests that were sent before this one on its connection.
        behind: usize,
    },
    /// A client received a complete answer.
    Answered { id: String, status: u16, result: String },
    /// A client received bytes on a connection without an outstanding request.
    #[serde(rename = "unasked")]
    UnexpectedBytes {
        #[serde(rename = "conversation")]
        client_connection: ClientConnectionId,
    },
    /// A client received no answer.
    Unanswered { id: String, how: MissingAnswer },
    /// A client closed or reset its connection while this request was in flight.
    #[serde(rename = "left")]
    ClientLeft { id: String },
    /// A client started to misbehave on a connection.
    Misbehaved {
        #[serde(rename = "conversation")]
        client_connection: ClientConnectionId,
        node: usize,
        life: u64,
        how: Misbehavior,
    },
    /// A client that misbehaved got an error, or its connection was closed.
    #[serde(rename = "rebuked")]
    MisbehaviorAnswered {
        #[serde(rename = "conversation")]
        client_connection: ClientConnectionId,
    },
    /// An executor received a complete request.
    Received {
        id: String,
        executor: usize,
        connection: ExecutorConnectionId,
        /// When its first byte arrived.
        first_byte: Nanos,
        /// The value of its deadline header, in milliseconds.
        #[serde(rename = "told-ms")]
        deadline_header_ms: Option<u64>,
    },
    /// An executor declined a request without beginning it.
    Declined { id: String, connection: ExecutorConnectionId },
    /// An execution is no longer in flight: it was answered, or its connection is gone.
    #[serde(rename = "over")]
    ExecutionEnded { id: String, connection: ExecutorConnectionId },
    /// An executor received a malformed request.
    Malformed { executor: usize, why: String },
    /// Discovery lists an executor with this status as of this version of the list.
    Listed { version: u64, executor: usize, status: Status, started: Nanos },
    /// Discovery has sent the list up to this version to a node.
    #[serde(rename = "told")]
    ListSent { node: usize, life: u64, version: u64 },
    /// A node's watch became permanently silent.
    #[serde(rename = "muted")]
    WatchSilenced { node: usize, life: u64 },
    /// A fault that impairs discovery has begun, or one is over. Such faults may overlap.
    Discovery { reachable: bool },
    /// Something happened to a node's process.
    Node {
        node: usize,
        life: u64,
        #[serde(rename = "deed")]
        node_event: NodeEvent,
    },
    /// The driver performed another action.
    #[serde(rename = "did")]
    DriverAction {
        #[serde(rename = "what-was-done")]
        action: String,
    },
    /// The driver itself was delayed by this long: violations around this time are not counted.
    #[serde(rename = "late")]
    DriverDelayed { by: Nanos },
    /// All faults are over; from now on nearly all requests must be served.
    Calm,
}

/// The status under which discovery lists an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Accepts work.
    Active,
    /// Drains: finishes its current work.
    Leaving,
    /// Has left.
    Left,
}

#[allow(missing_docs, reason = "the fields are described with their variant")]
/// An event of a node's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeEvent {
    /// It was started with this shim plan, by which its system calls fail.
    Started { shim: String },
    /// `/healthz` answered 200 for the first time.
    Ready,
    /// It was sent SIGTERM.
    Stopped,
    /// It was sent SIGKILL.
    Killed,
    /// It was sent SIGSTOP.
    Paused,
    /// It was sent SIGCONT.
    Resumed,
    /// It was sent SIGHUP, to read its configuration again.
    Reloaded,
    /// It exited, with this code; none if a signal ended it.
    Ended { code: Option<i32> },
    /// Its log contains a line that reports a bug.
    #[serde(rename = "complained")]
    ErrorLogged { line: String },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When the event was observed.
    pub at: Nanos,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Collects events from all threads of a run.
#[derive(Debug, Default)]
pub struct Recorder {
    entries: Mutex<Vec<Entry>>,
}

impl Recorder {
    /// Records an event at the current time.
    pub fn record(&self, event: Event) {
        self.record_at(linestack_rig::monotonic_nanos(), event);
    }

    /// Records an event at the given time.
    pub fn record_at(&self, at: Nanos, event: Event) {
        crate::lock(&self.entries).push(Entry { at, event });
    }

    /// Returns all recorded events, ordered by time.
    #[must_use]
    pub fn history(&self) -> Vec<Entry> {
        let mut entries = crate::lock(&self.entries).clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}
