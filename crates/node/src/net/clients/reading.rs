//! Reads the bytes that clients send, up to the limit of what may be read ahead.

use std::io::{self, Read as _};

use bytes::BytesMut;
use may::net::TcpStream;

use crate::http;

/// The number of unprocessed bytes above which no more are stored: the longest head and the longest body.
pub(super) const READ_AHEAD_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// What is done with bytes in excess of those that may be read ahead. The variants are ordered by how much is dropped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Overflow {
    /// They stay in the socket, and an end of the connection after them is not detected.
    LeaveInSocket,
    /// They are dropped, so that an end of the connection after them is detected.
    DropExcess,
    /// All bytes from now on are dropped, but not those read before.
    DropNew,
    /// All bytes are dropped, those read before too.
    DropAll,
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

/// Reads the available bytes, up to [`READ_AHEAD_BYTES`].
pub(super) fn read(socket: &TcpStream, input: &mut BytesMut, overflow: Overflow) -> io::Result<ReadStatus> {
    let mut piece = [0; 4096];
    let mut received = 0;
    loop {
        if overflow == Overflow::DropAll {
            input.clear();
        }
        let full = input.len() > READ_AHEAD_BYTES;
        // A client that never stops sending must not prevent other connections from being read.
        if received > READ_AHEAD_BYTES || (full && overflow == Overflow::LeaveInSocket) {
            return Ok(ReadStatus::MoreAvailable);
        }
        match socket.inner().read(&mut piece) {
            Ok(0) => return Ok(ReadStatus::Ended),
            Ok(n) => {
                received += n;
                if !full && overflow < Overflow::DropNew {
                    input.extend_from_slice(&piece[..n]);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(ReadStatus::Drained),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
