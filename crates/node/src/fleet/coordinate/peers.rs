//! Sending to the other coordinators, each over a connection of its own.

use std::io::{ErrorKind, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use linestack_accord::Letter;

use crate::fleet::wire::{self, Body, FrameEncoder, SenderInfo};

/// Messages that wait for another coordinator: all members may ask at once, and each question is passed on in one.
const QUEUED_MESSAGES: usize = 1024;
/// The pause before a coordinator that could not be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// The receiving end is gone: the process ends.
struct Stopped;

/// Starts the thread that sends to another coordinator. Messages that can't be sent are dropped: the protocol repeats
/// them for as long as they matter.
pub(super) fn connect(to: SocketAddr, own: SenderInfo) -> SyncSender<Letter> {
    let (letters, queue) = sync_channel::<Letter>(QUEUED_MESSAGES);
    thread::spawn(move || {
        loop {
            let Ok((socket, _, encoder)) = wire::connect_session(to, &own) else {
                thread::sleep(RECONNECT_PAUSE);
                // What was queued meanwhile is outdated.
                while queue.try_recv().is_ok() {}
                continue;
            };
            if send_all(socket, encoder, &queue).is_err() {
                return;
            }
        }
    });
    letters
}

/// Sends what is queued until the connection ends.
fn send_all(
    mut socket: TcpStream,
    mut encoder: FrameEncoder,
    queue: &Receiver<Letter>,
) -> Result<(), Stopped> {
    loop {
        let letter = queue.recv().map_err(|_| Stopped)?;
        let Ok(bytes) = encoder.encode(Body::Envelope(letter)) else { continue };
        if is_closed(&socket) || socket.write_all(&bytes).is_err() {
            return Ok(());
        }
    }
}

/// Whether the other end has closed the connection, on which it never sends anything.
fn is_closed(socket: &TcpStream) -> bool {
    let seen = socket.set_nonblocking(true).and_then(|()| socket.peek(&mut [0]));
    let is_open = matches!(&seen, Err(e) if e.kind() == ErrorKind::WouldBlock);
    !is_open || socket.set_nonblocking(false).is_err()
}
