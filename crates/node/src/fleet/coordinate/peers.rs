//! Sends messages to the other coordinators, to each over a connection of its own.

use std::io::{ErrorKind, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use linestack_accord::Envelope;

use crate::fleet::wire::{self, Body, FrameEncoder, SenderInfo};

/// The number of messages that may be queued for another coordinator. All members may send a request at once, and each is
/// forwarded in a message of its own.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// The pause before the next attempt to connect to a coordinator that could not be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// All senders of the queue were dropped, because the process ends.
struct QueueClosed;

/// Starts the thread that sends messages to another coordinator. Messages that can't be sent are dropped: the protocol
/// repeats them for as long as they matter.
pub(super) fn connect(address: SocketAddr, sender: SenderInfo) -> SyncSender<Envelope> {
    let (envelopes, queue) = sync_channel::<Envelope>(MAX_QUEUED_MESSAGES);
    thread::spawn(move || {
        loop {
            let Ok((socket, _, encoder)) = wire::connect_session(address, &sender) else {
                thread::sleep(RECONNECT_PAUSE);
                // Messages that were queued meanwhile are outdated.
                while queue.try_recv().is_ok() {}
                continue;
            };
            if send_all(socket, encoder, &queue).is_err() {
                return;
            }
        }
    });
    envelopes
}

/// Sends queued messages until the connection ends, or the queue is closed.
fn send_all(
    mut socket: TcpStream,
    mut encoder: FrameEncoder,
    queue: &Receiver<Envelope>,
) -> Result<(), QueueClosed> {
    loop {
        let envelope = queue.recv().map_err(|_| QueueClosed)?;
        let Ok(bytes) = encoder.encode(Body::Envelope(envelope)) else { continue };
        if is_closed(&socket) || socket.write_all(&bytes).is_err() {
            return Ok(());
        }
    }
}

/// Returns whether the other end has closed the connection, on which it sends nothing after the handshake.
fn is_closed(socket: &TcpStream) -> bool {
    let peeked = socket.set_nonblocking(true).and_then(|()| socket.peek(&mut [0]));
    let is_open = matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
    !is_open || socket.set_nonblocking(false).is_err()
}
