//! Sessions of processes that connect: members, operators and other coordinators.

use std::io::Write as _;
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use crate::fleet::wire::{self, Body, FrameReader, SenderInfo};

use super::event::{Event, Session};

/// The largest number of sessions at a time.
const MOST_SESSIONS: usize = 3072;
/// The frames that may be queued for a process that reads slowly, before its session is closed.
const QUEUED_FRAMES: usize = 64;
/// A session is over if nothing comes for so long. Members renew their leases far more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause after a connection could not be accepted, for want of a file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// The stack of a thread that reads a session, in bytes.
const READER_STACK: usize = 256 * 1024;
/// The stack of a thread that writes to a session, in bytes.
const WRITER_STACK: usize = 128 * 1024;

/// Accepts connections from loopback and from these addresses, and serves each by threads of its own.
pub(super) fn accept(listener: &TcpListener, own: &SenderInfo, allowed: &[IpAddr], events: &Sender<Event>) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut connection = 0;
    for socket in listener.incoming() {
        let Ok(socket) = socket else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        if let Err(why) = admit(&socket, allowed, open.load(Ordering::Relaxed)) {
            let _ = events.send(Event::Refused { why });
            continue;
        }
        connection += 1;
        open.fetch_add(1, Ordering::Relaxed);
        let (events, own, counter) = (events.clone(), own.clone(), Arc::clone(&open));
        let reader = thread::Builder::new().stack_size(READER_STACK).spawn(move || {
            serve(connection, socket, &own, &events);
            counter.fetch_sub(1, Ordering::Relaxed);
        });
        if reader.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Whether a connection may begin a session.
fn admit(socket: &TcpStream, allowed: &[IpAddr], open: usize) -> Result<(), &'static str> {
    let address = socket.peer_addr().map(|address| address.ip());
    if !address.is_ok_and(|address| address.is_loopback() || allowed.contains(&address)) {
        return Err("address");
    }
    if open >= MOST_SESSIONS {
        return Err("too many sessions");
    }
    Ok(())
}

/// Reads a session to its end, and reports what comes.
fn serve(connection: u64, mut socket: TcpStream, own: &SenderInfo, events: &Sender<Event>) {
    let refuse = |fault: &wire::WireError| drop(events.send(Event::Refused { why: fault.reason() }));
    let (identity, incarnation, mut reader, encoder) = match wire::accept_session(&mut socket, own) {
        Ok(greeted) => greeted,
        Err(why) => return refuse(&why),
    };
    let Some(frames) = start_writer(&socket) else { return };
    if socket.set_read_timeout(Some(IDLE_TIMEOUT)).is_err() {
        return;
    }
    let session = Session { identity, incarnation, encoder, frames };
    let _ = events.send(Event::Opened { connection, session });
    let received = |body| drop(events.send(Event::Received { connection, body }));
    let why = read_frames(&mut reader, &mut socket, received);
    if !matches!(why, wire::WireError::Closed | wire::WireError::Io(_)) {
        refuse(&why);
    }
    let _ = socket.shutdown(Shutdown::Both);
    let _ = events.send(Event::Closed { connection });
}

/// Reads frames until the session ends, and returns why it does.
fn read_frames(reader: &mut FrameReader, socket: &mut TcpStream, received: impl Fn(Body)) -> wire::WireError {
    loop {
        match reader.next_frame() {
            Ok(Some(frame)) => received(frame.body),
            Ok(None) => match reader.read(socket) {
                Ok(true) => {}
                Ok(false) => return wire::WireError::Closed,
                Err(why) => return why,
            },
            Err(why) => return why,
        }
    }
}

/// Starts the thread that writes to a connection; none if it can't be started.
fn start_writer(socket: &TcpStream) -> Option<SyncSender<Vec<u8>>> {
    let (frames, queue) = sync_channel::<Vec<u8>>(QUEUED_FRAMES);
    let socket = socket.try_clone().ok()?;
    let writer = thread::Builder::new().stack_size(WRITER_STACK);
    writer.spawn(move || write_frames(socket, &queue)).ok()?;
    Some(frames)
}

/// Writes what is queued, and closes the connection once nobody sends to it any more.
fn write_frames(mut socket: TcpStream, queue: &Receiver<Vec<u8>>) {
    let _ = queue.iter().try_for_each(|bytes| socket.write_all(&bytes));
    let _ = socket.shutdown(Shutdown::Both);
}
