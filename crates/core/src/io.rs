//! The inputs of the reducer and the effects that it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use linestack_dispatch::types::{Health, ListKind, Nanos, Outcome, ProbeOutcome, Report};
use linestack_peers::Observation;
use linestack_recovery::OutcomeRecord;
use linestack_recovery::start::Stage;
use linestack_settings::Settings;

use crate::outcomes::PersistTicket;
use crate::permission::{Occasion, Refusal, Refusals};
use crate::start_times::ListClocks;

/// Identifies a client's connection. The node numbers connections and never reuses a number.
pub type ClientId = u64;
/// Identifies a connection to an executor. The reducer numbers connections and never reuses a number.
pub type ConnectionId = u64;

/// An entry in the list of executors, as discovery gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub health: Health,
    /// When the executor started last, on the node's clock; 0 for long ago.
    pub started: Nanos,
    /// The executor's size, or the free part of it where weights are live; 0 if the list gives none.
    pub weight: f32,
}

/// The parts of a client's request that are forwarded to the executor unchanged.
#[derive(Debug, Default)]
pub struct ForwardedRequest {
    pub method: Bytes,
    pub path: Bytes,
    pub host: Bytes,
    /// The value of `Req-Id`.
    pub id: Bytes,
    /// The value of `Idempotency-Key`.
    pub idempotency_key: Option<Bytes>,
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Returns a copy without the body, which shares the bytes of the head.
    pub(crate) fn without_body(&self) -> Self {
        let Self { method, path, host, id, idempotency_key, body: _ } = self;
        Self {
            method: method.clone(),
            path: path.clone(),
            host: host.clone(),
            id: id.clone(),
            idempotency_key: idempotency_key.clone(),
            body: Bytes::new(),
        }
    }
}

/// A submission as it arrives from a client.
#[derive(Debug)]
pub struct NewSubmission {
    pub product: u8,
    pub tenant: u16,
    /// How long the client waits for the answer.
    pub timeout: Nanos,
    pub slots: f64,
    pub memory: f64,
    pub request: Arc<ForwardedRequest>,
}

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPhase {
    /// No request is being read or answered.
    Idle,
    /// A request is being received.
    Reading,
    /// A response is being sent.
    Answering,
    /// The last response has been sent, and whatever the client still sends is discarded.
    Closing,
}

/// How far the exchange on a connection to an executor had come when the connection broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disconnect {
    /// The first byte of the request was written.
    pub request_started: bool,
    /// The last byte of the request was written.
    pub request_written: bool,
    /// Part of a response had arrived.
    pub response_started: bool,
    /// The failure is local: this machine had no file descriptor left.
    pub local_fault: bool,
    /// Data arrived that was not a response to any request.
    pub unexpected_data: bool,
}

/// An input of the reducer.
#[derive(Debug)]
pub enum Input {
    /// Other settings are in force from now on; the caller has checked with [`Settings::key_needing_restart`] that no restart
    /// is needed. Submissions accepted before keep the version under which they were accepted.
    SettingsChanged { settings: Box<Settings>, version: u64 },
    /// Submissions may be accepted until this time, unless the lease is renewed. A node that never gets this input may accept
    /// them for ever.
    Lease { until: Nanos },
    /// The record of an [`Effect::Persist`] is durable, or could not be made so.
    Persisted { ticket: PersistTicket, durable: bool },
    /// The state of the clocks by which the start times in the next list are interpreted.
    ListClocks(ListClocks),
    /// Records can be made durable again after a failure.
    StoreRecovered,
    /// A list, or changes to it, came from discovery or from the configuration.
    ListReceived { kind: ListKind, endpoints: Vec<Endpoint> },
    /// A list call failed or a watch ended.
    ListFailed {
        /// How long ago discovery may have had the first change that this node has missed.
        silent_for: Nanos,
        /// Discovery turned the call away.
        overloaded: bool,
    },
    /// The usable part of what a running peer has reported about executors.
    PeerObservations { observations: Vec<Observation> },
    /// A client has connected.
    ClientConnected { client: ClientId },
    /// A client's connection has entered another phase.
    ClientPhase { client: ClientId, phase: ClientPhase },
    /// A client's connection has ended.
    ClientDisconnected { client: ClientId },
    /// A client's request was invalid. The client gets an error, and its connection is then closed.
    RequestRejected { client: ClientId },
    /// A client has sent a submission.
    Submitted { client: ClientId, submission: NewSubmission },
    /// A connection to an executor is established.
    ExecutorConnected { connection: ConnectionId },
    /// A connection to an executor broke, or could not be opened.
    ExecutorDisconnected { connection: ConnectionId, disconnect: Disconnect },
    /// The executor reported that the execution has started or made progress.
    Progressed { connection: ConnectionId },
    /// An execution has ended with a response.
    Ended { connection: ConnectionId, outcome: Outcome, result: Bytes, report: Option<Report> },
    /// A probe has ended.
    Probed { connection: ConnectionId, outcome: ProbeOutcome, report: Option<Report> },
    /// The last byte of an exchange was received, and the connection can carry another.
    ConnectionReusable {
        connection: ConnectionId,
        /// The response named its submission, so that a duplicate can be told from the next response.
        identified: bool,
    },
    /// The time of [`Core::next_due`](crate::Core::next_due) has come.
    Tick,
    /// The node is to finish its work and exit.
    Stop,
}

/// The final answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The executor's result.
    Completed(Bytes),
    /// Not executed, with the promise that a retry is harmless, and perhaps the time after which to retry.
    Dismissed(Option<Nanos>),
    /// Not completed, without that promise.
    Aborted,
    /// Not accepted, because a submission with the same id or key is open on this node.
    DuplicateId,
}

/// What the reducer asks the node to do.
#[derive(Debug)]
pub enum Effect {
    /// Send an answer to a client.
    Answer {
        client: ClientId,
        answer: Answer,
        /// The connection is to be closed after the answer.
        last: bool,
        /// The version of the settings under which the submission was accepted or refused.
        version: u64,
    },
    /// Shut down the sending side and wait until the client closes the connection, unless a request is coming in on it.
    CloseClient { client: ClientId },
    /// The connection has reached its time limit or must make room: reject a request that is partly received, and otherwise
    /// close the connection at once.
    DropClient { client: ClientId },
    /// Open a connection to an executor.
    OpenConnection { connection: ConnectionId, address: SocketAddr, timeout: Nanos },
    /// Send a request over a connection.
    Send {
        connection: ConnectionId,
        request: Arc<ForwardedRequest>,
        /// How long the execution may take.
        timeout: Nanos,
        /// The version of the settings under which the submission was accepted.
        version: u64,
    },
    /// Send a probe over a connection.
    Probe { connection: ConnectionId },
    /// Close a connection to an executor.
    CloseConnection { connection: ConnectionId },
    /// Ask discovery for the list, or watch it for changes.
    RequestList,
    /// Make this record durable. With a ticket, an execution waits for it: report with [`Input::Persisted`].
    Persist { record: OutcomeRecord, ticket: Option<PersistTicket> },
    /// The staged start has reached this stage.
    Stage(Stage),
    /// An execution was not begun. The refusal has been counted.
    Refused { id: Bytes, refusal: Refusal, occasion: Occasion },
    /// An invariant was violated. The violation has been counted.
    InvariantBroken(&'static str),
    /// Log the statistics.
    LogStats(Stats),
    /// End the process.
    Exit,
}

/// Statistics, counted since the start unless said otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Submissions accepted.
    pub taken: u64,
    /// Submissions completed.
    pub satisfied: u64,
    /// Accepted submissions dismissed.
    pub dismissed: u64,
    /// Accepted submissions aborted.
    pub aborted: u64,
    /// Clients that disconnected before their answer.
    pub left: u64,
    /// Submissions dismissed without being accepted, because the node had no lease.
    pub fenced: u64,
    /// Submissions of one-shots answered from a stored outcome, rejected because a one-shot with the same key is open, or
    /// dismissed because their outcome could not be stored.
    pub remembered: u64,
    /// Requests rejected as invalid or for a duplicate request id.
    pub turned_down: u64,
    /// Client connections closed to make room.
    pub evicted: u64,
    /// Submissions dismissed because a start may not accept them yet.
    pub held_back: u64,
    /// Executions that the dispatcher started, including those that were refused or not sent.
    pub executions: u64,
    /// Executions refused by the check before they begin.
    pub refused: Refusals,
    /// Executions whose connection broke after the request was written.
    pub resets: u64,
    /// Idle connections found closed when something was sent over them.
    pub stale: u64,
    /// Executions whose connection could not be opened, or broke before the request was written.
    pub connect_failed: u64,
    /// Executors whose process or machine was lost, as observed from their connections.
    pub died: u64,
    /// Executions that timed out.
    pub timed_out: u64,
    /// Executions that were not sent for a reason other than the executor.
    pub not_sent: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that did not succeed: without an answer, answered with an error, turned away by the executor, or not sent.
    pub probes_failed: u64,
    /// Connections to executors opened.
    pub links_opened: u64,
    /// Lists received.
    pub lists: u64,
    /// List calls that failed, and watches that ended.
    pub list_failures: u64,
    /// Violated invariants.
    pub broken: u64,
    /// Client connections that are open now.
    pub clients: usize,
    /// Connections to executors that are open now.
    pub links: usize,
    /// Indices of executors in use, including those of executors that have left and are remembered, and free ones.
    pub workers: usize,
    /// Submissions accepted and not forgotten yet, now.
    pub open: usize,
}
