//! The operator's part of a scale run: proposes a policy change.

use std::io;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use linestack::fleet::boottime;
use linestack::fleet::wire::{self, Body, FrameReader, Identity, SenderInfo};
use linestack_accord::{Incarnation, Nanos, OperatorRequest, Reply, Request};

use super::coordinators::FLEET_ID;

/// Time limit of one answer, and of finding a coordinator that accepts the change.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next coordinator is tried while none leads.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The times of a proposal that was accepted.
#[derive(Clone, Copy, Debug)]
pub struct Proposal {
    /// When the request was sent.
    pub sent_at: Nanos,
    /// When the answer arrived that the change is pending.
    pub pending_at: Nanos,
}

/// Proposes a change from version `base` to the policy `text`. Tries the coordinators in turn until one of them accepts
/// it for the leader.
///
/// # Errors
///
/// Returns an error if a coordinator answers with anything but acceptance, or if no coordinator accepts it in time.
pub fn propose(coordinators: &[SocketAddr], base: u64, text: &str) -> io::Result<Proposal> {
    let sender = SenderInfo {
        fleet: FLEET_ID.to_owned(),
        identity: Identity::Operator,
        incarnation: Incarnation { store_id: 1, run_number: base },
    };
    let request = format!("to-{}", base + 1);
    let proposal = OperatorRequest::Propose {
        request,
        base_version: base,
        text: text.to_owned(),
        require_all: false,
        give_up_after: None,
    };
    let search_begin = Instant::now();
    for to in coordinators.iter().cycle() {
        if search_begin.elapsed() > ANSWER_TIMEOUT {
            break;
        }
        let Ok((mut socket, mut reader, mut encoder)) = wire::connect_session(*to, &sender) else { continue };
        socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let bytes =
            encoder.encode(Body::Request(Request::Operator(proposal.clone()))).map_err(io::Error::other)?;
        let sent_at = boottime();
        socket.write_all(&bytes)?;
        match read_reply(&mut socket, &mut reader)? {
            Reply::Pending { .. } => return Ok(Proposal { sent_at, pending_at: boottime() }),
            Reply::NoLeader => std::thread::sleep(RETRY_DELAY),
            other => {
                return Err(io::Error::other(format!(
                    "the coordinator did not accept the change: {other:?}"
                )));
            }
        }
    }
    Err(io::Error::other(format!("no coordinator accepted the change within {ANSWER_TIMEOUT:?}")))
}

fn read_reply(socket: &mut TcpStream, reader: &mut FrameReader) -> io::Result<Reply> {
    loop {
        match reader.next_frame().map_err(io::Error::other)? {
            Some(frame) => match frame.body {
                Body::Reply(reply) => return Ok(reply),
                _ => {
                    return Err(io::Error::other(
                        "expected a reply from the coordinator, got another kind of message",
                    ));
                }
            },
            None if reader.read(socket).map_err(io::Error::other)? => {}
            None => return Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    }
}
