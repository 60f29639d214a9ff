//! Reads what has arrived on a connection, a bounded step at a time.

use std::io::{self, Read as _};

use may::net::TcpStream;

use super::receive_buffer::ReceiveBuffer;

/// The number of bytes that are read in a step, before others are served.
const READ_STEP_BYTES: usize = 16 * 1024;

/// The state of the socket after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadStatus {
    /// Nothing is left in the socket.
    Drained,
    /// More bytes may be available.
    MoreAvailable,
    /// The other end has closed the connection.
    Ended,
}

/// What a step has read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadStep {
    /// The number of bytes.
    pub(super) length: usize,
    pub(super) status: ReadStatus,
}

/// Reads the available bytes, up to [`READ_STEP_BYTES`] and for as long as at most `max_stored` bytes are stored. A broken
/// connection has ended; the bytes before the break are valid.
pub(super) fn read_step(socket: &TcpStream, input: &mut ReceiveBuffer, max_stored: usize) -> ReadStep {
    let mut piece = [0; 4096];
    let mut length = 0;
    let status = loop {
        if length >= READ_STEP_BYTES || input.len() > max_stored {
            break ReadStatus::MoreAvailable;
        }
        match socket.inner().read(&mut piece) {
            Ok(0) => break ReadStatus::Ended,
            Ok(n) => {
                length += n;
                input.push(&piece[..n]);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break ReadStatus::Drained,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => break ReadStatus::Ended,
        }
    };
    ReadStep { length, status }
}
