//! The operator's part: puts a change before the members.

use std::io;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use linestack::fleet::boottime;
use linestack::fleet::wire::{self, Body, FrameReader, Identity, SenderInfo};
use linestack_accord::{Incarnation, Nanos, OperatorRequest, Reply, Request};

use super::coordinators::FLEET;

/// How long an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_millis(20);

/// When a change was put, and when it was written down that it is.
#[derive(Clone, Copy, Debug)]
pub struct Put {
    pub begin: Nanos,
    pub taken: Nanos,
}

/// Puts a change to this policy, over any coordinator that is answered by whoever leads.
///
/// # Errors
///
/// It was turned down, or nobody answered.
pub fn propose(coordinators: &[SocketAddr], base: u64, text: &str) -> io::Result<Put> {
    let own = SenderInfo {
        fleet: FLEET.to_owned(),
        identity: Identity::Operator,
        incarnation: Incarnation { store_id: 1, run_number: base },
    };
    let request = format!("to-{}", base + 1);
    let ask = OperatorRequest::Propose {
        request,
        base_version: base,
        text: text.to_owned(),
        require_all: false,
        give_up_after: None,
    };
    let started = Instant::now();
    for to in coordinators.iter().cycle() {
        if started.elapsed() > PATIENCE {
            break;
        }
        let Ok((mut socket, mut reader, mut encoder)) = wire::connect_session(*to, &own) else { continue };
        socket.set_read_timeout(Some(PATIENCE))?;
        let bytes =
            encoder.encode(Body::Request(Request::Operator(ask.clone()))).map_err(io::Error::other)?;
        let begin = boottime();
        socket.write_all(&bytes)?;
        match answer(&mut socket, &mut reader)? {
            Reply::Pending { .. } => return Ok(Put { begin, taken: boottime() }),
            Reply::NoLeader => std::thread::sleep(AGAIN),
            other => return Err(io::Error::other(format!("the change was not put: {other:?}"))),
        }
    }
    Err(io::Error::other("no coordinator took the change"))
}

fn answer(socket: &mut TcpStream, reader: &mut FrameReader) -> io::Result<Reply> {
    loop {
        match reader.next_frame().map_err(io::Error::other)? {
            Some(frame) => match frame.body {
                Body::Reply(reply) => return Ok(reply),
                _ => return Err(io::Error::other("not what was due")),
            },
            None if reader.read(socket).map_err(io::Error::other)? => {}
            None => return Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    }
}
