//! Reads the bytes that clients send, up to the limit of what may be read ahead.

use may::net::TcpStream;

use crate::http;
use crate::net::reading::{ReadStep, read_step};
use crate::net::receive_buffer::ReceiveBuffer;

/// The number of unprocessed bytes above which no more are stored: the longest head and the longest body.
pub(super) const READ_AHEAD_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// What is done with the bytes that are received.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Received {
    /// They are kept, and what exceeds [`READ_AHEAD_BYTES`] stays in the socket.
    Kept,
    /// All bytes are dropped, those read before too.
    Dropped,
}

/// Reads a step of the available bytes, for as long as at most [`READ_AHEAD_BYTES`] are stored.
pub(super) fn read(socket: &TcpStream, input: &mut ReceiveBuffer, received: Received) -> ReadStep {
    if received == Received::Dropped {
        drop(input.take());
    }
    let step = read_step(socket, input, READ_AHEAD_BYTES);
    if received == Received::Dropped {
        drop(input.take());
    }
    step
}
