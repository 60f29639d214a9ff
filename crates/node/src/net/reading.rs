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

/// Reads the available bytes, up to [`READ_STEP_BYTES`] and for as long as at most `max_stored` bytes are stored.
pub(super) fn read_step(
    socket: &TcpStream,
    input: &mut ReceiveBuffer,
    max_stored: usize,
) -> io::Result<ReadStatus> {
    let mut piece = [0; 4096];
    let mut length = 0;
    while length < READ_STEP_BYTES && input.len() <= max_stored {
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
    Ok(ReadStatus::MoreAvailable)
}
