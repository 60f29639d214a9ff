//! What happened in a run, as the stand-ins and the driver saw it. The judge knows nothing else.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::settings::Class;

/// Nanoseconds on the machine's monotonic clock.
pub type Nanos = u64;
/// A client's connection, numbered by the run.
pub type ClientConnectionId = u64;
/// An executor's connection, numbered by the run.
pub type ExecutorConnectionId = u64;

/// How a client's wait for an answer ended without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingAnswer {
    /// The connection ended or broke.
    Closed,
    /// Nothing came, long after the deadline.
    Silence,
    /// What came was no answer.
    Garbled,
}

/// What a client does that no client should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehavior {
    /// Connects and says nothing.
    Silent,
    /// Sends half a request and stays.
    Half,
    /// Sends a byte now and then.
    Dripping,
    /// Sends what is no request.
    Garbage,
    /// Sends much at once and goes.
    Flood,
}

#[allow(missing_docs, reason = "the fields are told with what they are of")]
/// Something that happened.
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
        /// It is the first request on its connection.
        first: bool,
        /// How many were sent before it on its connection and are not answered.
        behind: usize,
    },
    /// A client got an answer, to its last byte.
    Answered { id: String, status: u16, result: String },
    /// A client got something more on a connection on which nothing was owed.
    #[serde(rename = "unasked")]
    UnexpectedBytes {
        #[serde(rename = "conversation")]
        client_connection: ClientConnectionId,
    },
    /// A client got no answer.
    Unanswered { id: String, how: MissingAnswer },
    /// A client closed or reset its connection with this request out.
    #[serde(rename = "left")]
    ClientLeft { id: String },
    /// A client that misbehaves begins.
    Misbehaved {
        #[serde(rename = "conversation")]
        client_connection: ClientConnectionId,
        node: usize,
        life: u64,
        how: Misbehavior,
    },
    /// It got an error or a close.
    #[serde(rename = "rebuked")]
    MisbehaviorAnswered {
        #[serde(rename = "conversation")]
        client_connection: ClientConnectionId,
    },
    /// An executor saw the first byte of a request whose head and body then came whole.
    Received {
        id: String,
        executor: usize,
        connection: ExecutorConnectionId,
        /// When its first byte came.
        first_byte: Nanos,
        /// The deadline that it was told, in milliseconds.
        #[serde(rename = "told-ms")]
        deadline_header_ms: Option<u64>,
    },
    /// An executor said that it never began it.
    Declined { id: String, connection: ExecutorConnectionId },
    /// An execution is no longer out: it was answered, or its connection is gone.
    #[serde(rename = "over")]
    ExecutionEnded { id: String, connection: ExecutorConnectionId },
    /// An executor got a request that it can't make sense of.
    Malformed { executor: usize, why: String },
    /// Discovery knows an executor from now on, under this version of the list.
    Listed { version: u64, executor: usize, status: Status, started: Nanos },
    /// Discovery has written the list up to this version to a node.
    #[serde(rename = "told")]
    ListSent { node: usize, life: u64, version: u64 },
    /// A node's watch fell silent for good.
    #[serde(rename = "muted")]
    WatchSilenced { node: usize, life: u64 },
    /// A trouble has begun by which discovery can't be reached properly, or one is over; they may overlap.
    Discovery { reachable: bool },
    /// The driver did something to a node.
    Node {
        node: usize,
        life: u64,
        #[serde(rename = "deed")]
        node_event: NodeEvent,
    },
    /// The driver did something else.
    #[serde(rename = "did")]
    DriverAction {
        #[serde(rename = "what-was-done")]
        action: String,
    },
    /// The driver itself was late by so much: what was seen around then is not judged.
    #[serde(rename = "late")]
    DriverDelayed { by: Nanos },
    /// All troubles are over; from now on everything has to be served.
    Calm,
}

/// What an executor is listed as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Takes work.
    Active,
    /// Finishes what it has.
    Leaving,
    /// Is gone.
    Left,
}

#[allow(missing_docs, reason = "the fields are told with what they are of")]
/// What happens to a node's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeEvent {
    /// It was started; its system calls fail by this plan.
    Started { shim: String },
    /// `/healthz` answered 200 for the first time.
    Ready,
    /// It was sent SIGTERM.
    Stopped,
    /// It was killed outright.
    Killed,
    /// It stands still.
    Paused,
    /// It goes on.
    Resumed,
    /// It was told to read its configuration again.
    Reloaded,
    /// It ended by itself, with this code; none for a signal.
    Ended { code: Option<i32> },
    /// Its log has a line that it should never have.
    #[serde(rename = "complained")]
    ErrorLogged { line: String },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it was seen.
    pub at: Nanos,
    /// What it was.
    #[serde(flatten)]
    pub event: Event,
}

/// Takes what happens, from all threads of a run.
#[derive(Debug, Default)]
pub struct Recorder {
    entries: Mutex<Vec<Entry>>,
}

impl Recorder {
    /// Something has happened now.
    pub fn now(&self, event: Event) {
        self.at(linestack_rig::monotonic(), event);
    }

    /// Something happened at this time.
    pub fn at(&self, at: Nanos, event: Event) {
        crate::lock(&self.entries).push(Entry { at, event });
    }

    /// All that was recorded, by time.
    #[must_use]
    pub fn history(&self) -> Vec<Entry> {
        let mut entries = crate::lock(&self.entries).clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}
