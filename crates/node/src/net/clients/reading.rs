//! Bytes that clients send, up to what may be kept of them.

use std::io::{self, Read as _};

use bytes::BytesMut;
use may::net::TcpStream;

use crate::http;

/// What may be read ahead.
pub(super) const KEPT: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// What becomes of bytes beyond those that may be read ahead.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Beyond {
    /// They wait in the socket, and what follows them is not seen.
    Waits,
    /// They are dropped: behind them the client's end must be seen.
    Dropped,
    /// What comes from now on is dropped, and what was read stays.
    NewDropped,
    /// All are dropped.
    AllDropped,
}

pub(super) enum Read {
    /// Nothing is left in the socket.
    All,
    Some,
    Ended,
}

/// Reads what there is, up to what may be kept.
pub(super) fn read(socket: &mut TcpStream, input: &mut BytesMut, beyond: Beyond) -> io::Result<Read> {
    let mut piece = [0; 4096];
    let mut taken = 0;
    loop {
        if beyond == Beyond::AllDropped {
            input.clear();
        }
        let full = input.len() > KEPT;
        // One that never stops sending must not keep the others from being read.
        if taken > KEPT || (full && beyond == Beyond::Waits) {
            return Ok(Read::Some);
        }
        match socket.inner_mut().read(&mut piece) {
            Ok(0) => return Ok(Read::Ended),
            Ok(n) => {
                taken += n;
                if !full && beyond < Beyond::NewDropped {
                    input.extend_from_slice(&piece[..n]);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Read::All),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
