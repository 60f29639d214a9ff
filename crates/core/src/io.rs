//! What the reducer is told and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use linestack_dispatch::types::{Health, ListKind, Nanos, Outcome, Report};
use linestack_peers::Observation;
use linestack_recovery::OutcomeRecord;
use linestack_recovery::start::Stage;
use linestack_settings::Settings;

use crate::outcomes::PersistTicket;
use crate::permission::{Occasion, Refusal, Refusals};
use crate::start_times::ListClocks;

/// A client's connection, numbered by the node and never again.
pub type ClientId = u64;
/// A connection to an executor, numbered likewise.
pub type ConnectionId = u64;

/// A line of the list of executors, as discovery words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub health: Health,
    /// Its last start on the node's clock, 0 for long ago.
    pub started: Nanos,
    pub weight: f32,
}

/// What goes on unchanged to the executor.
#[derive(Debug, Default)]
pub struct ForwardedRequest {
    pub method: Bytes,
    pub path: Bytes,
    pub host: Bytes,
    pub id: Bytes,
    pub stamp: Option<Bytes>,
    pub body: Bytes,
}

/// A submission as the door took it in.
#[derive(Debug)]
pub struct NewSubmission {
    pub product: u8,
    pub tenant: u16,
    /// How long the client waits.
    pub timeout: Nanos,
    pub slots: f64,
    pub memory: f64,
    pub request: Arc<ForwardedRequest>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Idle,
    Reading,
    Answering,
    /// Answered for good; the rest of what it sends is dropped.
    Leaving,
}

/// What a connection to an executor had done when it broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disconnect {
    /// A byte of the request was written.
    pub request_started: bool,
    /// Its last byte was written.
    pub request_written: bool,
    /// Something of an answer had come.
    pub response_started: bool,
    /// This machine, not the other, is at fault: no descriptor was left.
    pub local_fault: bool,
    /// Something came that nothing had asked for.
    pub unexpected_data: bool,
}

#[derive(Debug)]
pub enum Input {
    /// Other settings hold from now on; [`Settings::key_needing_restart`] has found nothing against it. What was taken
    /// before keeps the version that it was taken under.
    SettingsChanged {
        settings: Box<Settings>,
        version: u64,
    },
    /// Nothing may be taken from then on, unless this is said again. A node that was never told so has leave for
    /// ever.
    Lease {
        until: Nanos,
    },
    /// What [`Effect::Persist`] asked for lasts, or can't be made to.
    Persisted {
        ticket: PersistTicket,
        durable: bool,
    },
    /// By which clocks the list is told that comes next.
    ListClocks(ListClocks),
    /// What is to last can be made to again.
    StoreRecovered,
    ListReceived {
        kind: ListKind,
        endpoints: Vec<Endpoint>,
    },
    /// A call for the list failed, or a watch ended. Discovery may have had something to tell for so long.
    ListFailed {
        silent_for: Nanos,
        /// It turned the call away.
        overloaded: bool,
    },
    /// What may be gone by of what a running node told.
    PeerObservations {
        observations: Vec<Observation>,
    },
    ClientConnected {
        client: ClientId,
    },
    ClientPhase {
        client: ClientId,
        phase: Phase,
    },
    ClientDisconnected {
        client: ClientId,
    },
    /// What the client asked for makes no sense; it is told so and then let go.
    RequestRejected {
        client: ClientId,
    },
    Submitted {
        client: ClientId,
        submission: NewSubmission,
    },
    ExecutorConnected {
        connection: ConnectionId,
    },
    ExecutorDisconnected {
        connection: ConnectionId,
        disconnect: Disconnect,
    },
    Progressed {
        connection: ConnectionId,
    },
    Ended {
        connection: ConnectionId,
        outcome: Outcome,
        result: Bytes,
        report: Option<Report>,
    },
    Probed {
        connection: ConnectionId,
        answered: Option<bool>,
        report: Option<Report>,
    },
    /// The exchange is over to its last byte; the connection can carry another.
    ConnectionReusable {
        connection: ConnectionId,
        /// The answer named what it was for: a second one like it can be told from the next one's.
        identified: bool,
    },
    Tick,
    Stop,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Completed(Bytes),
    Dismissed(Option<Nanos>),
    Aborted,
    /// Not taken: its id is another's that is still open here.
    DuplicateId,
}

#[derive(Debug)]
pub enum Effect {
    Answer {
        client: ClientId,
        answer: Answer,
        last: bool,
        /// What it was taken under.
        version: u64,
    },
    /// Tell it that nothing more comes, and wait until it closes, unless a request is coming in on it.
    CloseClient {
        client: ClientId,
    },
    /// Its time is over: a request half read is turned down, an answer half taken or a wait for its end given up.
    DropClient {
        client: ClientId,
    },
    OpenConnection {
        connection: ConnectionId,
        address: SocketAddr,
        timeout: Nanos,
    },
    Send {
        connection: ConnectionId,
        request: Arc<ForwardedRequest>,
        timeout: Nanos,
        version: u64,
    },
    Probe {
        connection: ConnectionId,
    },
    CloseConnection {
        connection: ConnectionId,
    },
    RequestList,
    /// Write this down durably; with a ticket, say when it lasts: something waits for it.
    Persist {
        record: OutcomeRecord,
        ticket: Option<PersistTicket>,
    },
    /// The start has come so far.
    Stage(Stage),
    /// An execution was not begun; it has been counted.
    Refused {
        id: Bytes,
        refusal: Refusal,
        occasion: Occasion,
    },
    /// Something that must hold did not; it has been counted.
    InvariantBroken(&'static str),
    Report(Stats),
    Exit,
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    pub taken: u64,
    pub satisfied: u64,
    pub dismissed: u64,
    pub aborted: u64,
    pub left: u64,
    /// Dismissed without being taken, since there was no leave to take them.
    pub fenced: u64,
    /// Answered from what was remembered of them, or dismissed since they could not be remembered.
    pub remembered: u64,
    /// Requests that were not taken, and connections closed to make room.
    pub turned_down: u64,
    pub evicted: u64,
    /// Turned away for being more than a start may take yet.
    pub held_back: u64,
    pub executions: u64,
    pub refused: Refusals,
    pub resets: u64,
    /// Kept connections that were found closed when something was to be sent.
    pub stale: u64,
    pub connect_failed: u64,
    /// Executors whose process or machine was lost, by what was seen of their connections.
    pub died: u64,
    pub timed_out: u64,
    pub not_sent: u64,
    pub probes: u64,
    pub probes_failed: u64,
    pub links_opened: u64,
    pub lists: u64,
    pub list_failures: u64,
    /// Times that something which must hold did not.
    pub broken: u64,
    pub clients: usize,
    pub links: usize,
    /// Executors' indices in use or kept for those that left lately.
    pub workers: usize,
    pub open: usize,
}
