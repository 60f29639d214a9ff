//! What the reducer is told and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use linestack_dispatch::types::{Health, ListKind, Nanos, Outcome, Report};
use linestack_peers::Heard;
use linestack_recovery::Keep;
use linestack_recovery::start::Stage;
use linestack_settings::Settings;

use crate::outcomes::Ticket;
use crate::permission::{Occasion, Refusal, Refusals};
use crate::start_times::ListClocks;

/// A client's connection, numbered by the node and never again.
pub type Client = u64;
/// A connection to an executor, numbered likewise.
pub type Link = u64;

/// A line of the list of executors, as discovery words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u16,
    pub health: Health,
    /// Its last start on the node's clock, 0 for long ago.
    pub started: Nanos,
    pub weight: f32,
}

/// What goes on unchanged to the executor.
#[derive(Debug, Default)]
pub struct Shipment {
    pub method: Bytes,
    pub path: Bytes,
    pub host: Bytes,
    pub id: Bytes,
    pub stamp: Option<Bytes>,
    pub body: Bytes,
}

/// A submission as the door took it in.
#[derive(Debug)]
pub struct Intake {
    pub product: u8,
    pub tenant: u16,
    /// How long the client waits.
    pub patience: Nanos,
    pub slots: f64,
    pub memory: f64,
    pub shipment: Arc<Shipment>,
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
pub struct Broken {
    /// A byte of the request was written.
    pub begun: bool,
    /// Its last byte was written.
    pub written: bool,
    /// Something of an answer had come.
    pub answered: bool,
    /// This machine, not the other, is at fault: no descriptor was left.
    pub here: bool,
    /// Something came that nothing had asked for.
    pub spoilt: bool,
}

#[derive(Debug)]
pub enum Input {
    /// Other settings hold from now on; [`Settings::restart_for`] has found nothing against it. What was taken
    /// before keeps the version that it was taken under.
    Terms {
        settings: Box<Settings>,
        version: u64,
    },
    /// Nothing may be taken from then on, unless this is said again. A node that was never told so has leave for
    /// ever.
    Leave {
        until: Nanos,
    },
    /// What [`Effect::Keep`] asked for lasts, or can't be made to.
    Kept {
        ticket: Ticket,
        lasts: bool,
    },
    /// By which clocks the list is told that comes next.
    ListClocks(ListClocks),
    /// What is to last can be made to again.
    StoreBack,
    Listed {
        kind: ListKind,
        endpoints: Vec<Endpoint>,
    },
    /// A call for the list failed, or a watch ended. Discovery may have had something to tell for so long.
    Unheard {
        lost: Nanos,
        /// It turned the call away.
        busy: bool,
    },
    /// What may be gone by of what a running node told.
    Heard {
        items: Vec<Heard>,
    },
    ClientUp {
        client: Client,
    },
    ClientPhase {
        client: Client,
        phase: Phase,
    },
    ClientGone {
        client: Client,
    },
    /// What the client asked for makes no sense; it is told so and then let go.
    TurnedDown {
        client: Client,
    },
    Submitted {
        client: Client,
        intake: Intake,
    },
    LinkUp {
        link: Link,
    },
    LinkDown {
        link: Link,
        broken: Broken,
    },
    Noted {
        link: Link,
    },
    Ended {
        link: Link,
        outcome: Outcome,
        result: Bytes,
        report: Option<Report>,
    },
    Probed {
        link: Link,
        answered: Option<bool>,
        report: Option<Report>,
    },
    /// The exchange is over to its last byte; the connection can carry another.
    Freed {
        link: Link,
        /// The answer named what it was for: a second one like it can be told from the next one's.
        named: bool,
    },
    Tick,
    Stop,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Satisfied(Bytes),
    Dismissed(Option<Nanos>),
    Aborted,
    /// Not taken: its id is another's that is still open here.
    Repeated,
}

#[derive(Debug)]
pub enum Effect {
    Answer {
        client: Client,
        answer: Answer,
        last: bool,
        /// What it was taken under.
        version: u64,
    },
    /// Tell it that nothing more comes, and wait until it closes, unless a request is coming in on it.
    CloseClient {
        client: Client,
    },
    /// Its time is over: a request half read is turned down, an answer half taken or a wait for its end given up.
    DropClient {
        client: Client,
    },
    Open {
        link: Link,
        address: SocketAddr,
        limit: Nanos,
    },
    Send {
        link: Link,
        shipment: Arc<Shipment>,
        wait: Nanos,
        version: u64,
    },
    Probe {
        link: Link,
    },
    CloseLink {
        link: Link,
    },
    Watch,
    /// Write this down durably; with a ticket, say when it lasts: something waits for it.
    Keep {
        keep: Keep,
        ticket: Option<Ticket>,
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
    Fault(&'static str),
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
