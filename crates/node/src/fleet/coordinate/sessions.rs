//! Sessions of the processes that connect: members, operators and other coordinators.

use std::io::Write as _;
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use crate::fleet::wire::{self, Body, FrameReader, SenderInfo, WireError};

use super::event::{Event, Session};

/// The maximum number of sessions at a time.
const MAX_SESSIONS: usize = 3072;
/// The maximum number of frames that are queued for a process that reads slowly. A full queue closes the session.
const MAX_QUEUED_FRAMES: usize = 64;
/// A session ends if nothing is received for this time. Members renew their leases far more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause after a connection could not be accepted, usually because no file descriptor was left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// The stack size of a thread that reads a session.
const READER_STACK_BYTES: usize = 256 * 1024;
/// The stack size of a thread that writes to a session.
const WRITER_STACK_BYTES: usize = 128 * 1024;

/// Accepts connections from the local host and from the allowed addresses, and serves each with threads of its own.
pub(super) fn accept(
    listener: &TcpListener,
    sender: &SenderInfo,
    allowed: &[IpAddr],
    events: &Sender<Event>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut connection = 0;
    for socket in listener.incoming() {
        let Ok(socket) = socket else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        if let Err(reason) = admit(&socket, allowed, open.load(Ordering::Relaxed)) {
            let _ = events.send(Event::Refused { reason });
            continue;
        }
        connection += 1;
        open.fetch_add(1, Ordering::Relaxed);
        let (events, sender, counter) = (events.clone(), sender.clone(), Arc::clone(&open));
        let reader = thread::Builder::new().stack_size(READER_STACK_BYTES).spawn(move || {
            serve(connection, socket, &sender, &events);
            counter.fetch_sub(1, Ordering::Relaxed);
        });
        if reader.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Checks whether a connection may open a session, and returns the reason if it may not. `open_sessions` is the number of
/// other sessions.
fn admit(socket: &TcpStream, allowed: &[IpAddr], open_sessions: usize) -> Result<(), &'static str> {
    let address = socket.peer_addr().map(|address| address.ip());
    if !address.is_ok_and(|address| address.is_loopback() || allowed.contains(&address)) {
        return Err("address");
    }
    if open_sessions >= MAX_SESSIONS {
        return Err("too many sessions");
    }
    Ok(())
}

/// Reads a session until it ends, and reports the frames received.
fn serve(connection: u64, mut socket: TcpStream, sender: &SenderInfo, events: &Sender<Event>) {
    let refuse = |error: &WireError| drop(events.send(Event::Refused { reason: error.reason() }));
    let (identity, incarnation, mut reader, encoder) = match wire::accept_session(&mut socket, sender) {
        Ok(accepted) => accepted,
        Err(error) => return refuse(&error),
    };
    let Some(frames) = start_writer(&socket) else { return };
    if socket.set_read_timeout(Some(IDLE_TIMEOUT)).is_err() {
        return;
    }
    let session = Session { identity, incarnation, encoder, frames };
    let _ = events.send(Event::Opened { connection, session });
    let received = |body| drop(events.send(Event::Received { connection, body }));
    let error = read_frames(&mut reader, &mut socket, received);
    if !matches!(error, WireError::Closed | WireError::Io(_)) {
        refuse(&error);
    }
    let _ = socket.shutdown(Shutdown::Both);
    let _ = events.send(Event::Closed { connection });
}

/// Reads frames until the session ends, and returns the reason.
fn read_frames(reader: &mut FrameReader, socket: &mut TcpStream, received: impl Fn(Body)) -> WireError {
    loop {
        match reader.next_frame() {
            Ok(Some(frame)) => received(frame.body),
            Ok(None) => match reader.read(socket) {
                Ok(true) => {}
                Ok(false) => return WireError::Closed,
                Err(error) => return error,
            },
            Err(error) => return error,
        }
    }
}

/// Starts the thread that writes to a connection, and returns its queue; `None` if it can't be started.
fn start_writer(socket: &TcpStream) -> Option<SyncSender<Vec<u8>>> {
    let (frames, queue) = sync_channel::<Vec<u8>>(MAX_QUEUED_FRAMES);
    let socket = socket.try_clone().ok()?;
    let writer = thread::Builder::new().stack_size(WRITER_STACK_BYTES);
    writer.spawn(move || write_frames(socket, &queue)).ok()?;
    Some(frames)
}

/// Writes the queued frames, and closes the connection once the queue is closed.
fn write_frames(mut socket: TcpStream, queue: &Receiver<Vec<u8>>) {
    let _ = queue.iter().try_for_each(|bytes| socket.write_all(&bytes));
    let _ = socket.shutdown(Shutdown::Both);
}
