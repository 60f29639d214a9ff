//! Reads the bytes that clients send, up to the limit of what may be read ahead.

use std::io::{self, Read as _};

use may::net::TcpStream;

use crate::http;
use crate::net::receive_buffer::ReceiveBuffer;

/// The number of unprocessed bytes above which no more are stored: the longest head and the longest body.
pub(super) const READ_AHEAD_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// The number of bytes that are read in a step, before others are served.
const READ_STEP_BYTES: usize = 16 * 1024;

/// What is done with the bytes that are received.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Received {
    /// They are kept, and what exceeds [`READ_AHEAD_BYTES`] stays in the socket.
    Kept,
    /// All bytes are dropped, those read before too.
    Dropped,
}

/// The state of the socket after a read.
pub(super) enum ReadStatus {
    /// Nothing is left in the socket.
    Drained,
    /// More bytes may be available.
    MoreAvailable,
    /// The client has closed the connection.
    Ended,
}

/// Reads the available bytes, up to [`READ_STEP_BYTES`] and for as long as at most [`READ_AHEAD_BYTES`] are stored.
pub(super) fn read(
    socket: &TcpStream,
    input: &mut ReceiveBuffer,
    received: Received,
) -> io::Result<ReadStatus> {
    let mut piece = [0; 4096];
    let mut length = 0;
    loop {
        if received == Received::Dropped {
            drop(input.take());
        }
        // A client that never stops sending must not prevent other connections from being read.
        if length >= READ_STEP_BYTES || input.len() > READ_AHEAD_BYTES {
            return Ok(ReadStatus::MoreAvailable);
        }
        match socket.inner().read(&mut piece) {
            Ok(0) => return Ok(ReadStatus::Ended),
            Ok(n) => {
                length += n;
                input.push(&piece[..n]);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(ReadStatus::Drained),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
