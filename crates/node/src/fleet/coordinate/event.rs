//! The events that the other threads of a coordinator send to the thread that owns its state.

use std::sync::mpsc::SyncSender;

use linestack_accord::Incarnation;

use crate::fleet::wire::{Body, FrameEncoder, Identity};

/// An event from another thread. Connections are numbered in the order in which they were accepted.
pub(super) enum Event {
    /// A process has opened a session.
    Opened { connection: u64, session: Session },
    /// A frame was received.
    Received { connection: u64, body: Body },
    /// A session has ended.
    Closed { connection: u64 },
    /// A connection was refused or ended; the reason is counted.
    Refused { reason: &'static str },
    /// The process must stop.
    Stop,
}

/// A session with a process that has connected.
pub(super) struct Session {
    pub(super) identity: Identity,
    /// The run of the process.
    pub(super) incarnation: Incarnation,
    /// Encodes the frames to be sent.
    pub(super) encoder: FrameEncoder,
    /// The queue of frames to be written. Once it is dropped, the connection is closed.
    pub(super) frames: SyncSender<Vec<u8>>,
}
