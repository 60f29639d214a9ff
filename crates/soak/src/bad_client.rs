//! Clients that misbehave. A node must answer them with an error or close their connection within 3 s, and other clients must
//! not suffer.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::client::{ClientContext, next_client_connection};
use crate::history::{Event, Misbehavior};
use crate::network::reset;
use crate::nodes::ChosenNode;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits for an error or a close; longer than the 3 s within which a node must react, so that a late
/// reaction is observed too.
const REACTION_TIMEOUT: Duration = Duration::from_secs(8);
/// The number of bytes that a flood sends.
const FLOOD_BYTES: usize = 200_000;
/// The time between two bytes of a dripping client.
const DRIP_INTERVAL: Duration = Duration::from_millis(250);
/// The ways of misbehaving, one of which is drawn for each connection.
const MISBEHAVIORS: [Misbehavior; 5] =
    [Misbehavior::Silent, Misbehavior::Half, Misbehavior::Dripping, Misbehavior::Garbage, Misbehavior::Flood];

/// Misbehaves in one random way after another until the faults or the run are over.
pub fn run(number: usize, seed: u64, context: &Arc<ClientContext>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xBAD ^ (number as u64) << 24);
    let continues = || !context.finished.load(Ordering::Relaxed) && !context.calm.load(Ordering::Relaxed);
    while continues() {
        std::thread::sleep(Duration::from_millis(rng.random_range(50..600)));
        let Some(ChosenNode { node, life, address }) = context.directory.choose(rng.random()) else {
            continue;
        };
        let how = MISBEHAVIORS[rng.random_range(0..MISBEHAVIORS.len())];
        let Ok(socket) = connect(address) else { continue };
        let client_connection = next_client_connection();
        context.recorder.record(Event::Misbehaved { client_connection, node, life, how });
        if misbehave(&socket, how).unwrap_or(true) {
            context.recorder.record(Event::MisbehaviorAnswered { client_connection });
        }
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(REACTION_TIMEOUT))?;
    socket.set_read_timeout(Some(REACTION_TIMEOUT))?;
    Ok(socket)
}

/// Returns whether the node reacted with an error or a close; true for a flood, to which it need not react.
fn misbehave(mut socket: &TcpStream, how: Misbehavior) -> io::Result<bool> {
    const HALF_REQUEST: &[u8] = b"POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: half\r\nContent-Le";
    match how {
        Misbehavior::Silent => {}
        Misbehavior::Half => socket.write_all(HALF_REQUEST)?,
        Misbehavior::Garbage => socket.write_all(b"\x16\x03\x01\x02\x00 not a request\r\n\r\n")?,
        Misbehavior::Flood => {
            let _ = socket.write_all(&vec![b'x'; FLOOD_BYTES]);
            reset(socket);
            return Ok(true);
        }
        Misbehavior::Dripping => return drip(socket, HALF_REQUEST),
    }
    reacts(socket)
}

/// Returns whether the node answers or closes the connection before the read timeout.
fn reacts(mut socket: &TcpStream) -> io::Result<bool> {
    match socket.read(&mut [0; 64]) {
        Ok(_) => Ok(true),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Ok(false),
        Err(_) => Ok(true),
    }
}

/// Sends `text` byte by byte, again and again. Returns whether the node reacted with an error or a close.
fn drip(mut socket: &TcpStream, text: &[u8]) -> io::Result<bool> {
    let start = Instant::now();
    socket.set_read_timeout(Some(DRIP_INTERVAL))?;
    for byte in text.iter().cycle() {
        if start.elapsed() > REACTION_TIMEOUT {
            return Ok(false);
        }
        socket.write_all(&[*byte])?;
        if reacts(socket)? {
            return Ok(true);
        }
    }
    Ok(false)
}
