//! What the threads of a coordinator report to the one that holds its state.

use std::sync::mpsc::SyncSender;

use linestack_accord::Incarnation;

use crate::fleet::wire::{Body, FrameEncoder, Identity};

/// A report about a connection, numbered in the order in which they were accepted.
pub(super) enum Event {
    /// A process has begun a session.
    Opened { connection: u64, session: Session },
    /// A frame has come.
    Received { connection: u64, body: Body },
    /// A session is over.
    Closed { connection: u64 },
    /// A connection was refused or ended, for a reason to be counted.
    Refused { why: &'static str },
    /// The process is to stop.
    Stop,
}

/// A session with a process that has connected.
pub(super) struct Session {
    pub(super) identity: Identity,
    /// The run of the process.
    pub(super) incarnation: Incarnation,
    /// Makes the frames that are sent.
    pub(super) encoder: FrameEncoder,
    /// Frames to be written. Once it is dropped, the connection is closed.
    pub(super) frames: SyncSender<Vec<u8>>,
}
