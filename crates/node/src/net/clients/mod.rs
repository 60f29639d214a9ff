//! Clients' connections: requests in, final answers out, one at a time on each.

mod answer;
mod reading;
mod request;

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use socket2::{Domain, Socket, Type};

use super::arrivals::ArrivalTimes;
use super::{Mailbox, Node, YIELD_PAUSE, spawn};
use crate::http::{self, HttpError, WriteQueue};
use linestack_core::{Answer, ClientId, Input, Nanos, Phase};

use answer::{CONTINUE, answered, bare};
use reading::{Beyond, KEPT, Read, read};
use request::{Asked, Incoming, next};

const NANOS_PER_MS: u64 = 1_000_000;
/// How long to leave the listener alone when no descriptor or room is left.
const BREATH: Duration = Duration::from_millis(2);
/// After so many newcomers in a row those that are there get their turn: what they have sent tells them from
/// a flood of silent ones.
const AT_ONCE: u32 = 8;
/// A newcomer that was waited for so long had not been there before.
const AT_LEAST_WAITED: Nanos = NANOS_PER_MS / 2;
/// Of the requests turned down one is logged in this time, however many come.
pub(crate) const REJECTION_LOG_INTERVAL: u64 = 1_000 * NANOS_PER_MS;

pub(crate) enum Message {
    Answer { answer: Answer, last: bool },
    CloseIfIdle,
    Drop,
}

/// Takes in clients for as long as the program runs.
/// Returns the address that it listens on.
pub fn accept(node: &Arc<Node>, listen: SocketAddr) -> io::Result<SocketAddr> {
    // may shares its ports, so a second node at the same address would take a part of the first one's
    // clients and nobody would be told. A socket that does not share finds out.
    let alone = Socket::new(Domain::for_address(listen), Type::STREAM, None)?;
    alone.set_reuse_address(true)?;
    alone.bind(&listen.into())?;
    drop(alone);
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let node = Arc::clone(node);
    spawn(move || {
        let mut at_once = 0;
        let mut last = 0;
        // Nobody was waiting to be let in then.
        let mut nobody_waited = node.clock.now();
        loop {
            if node.crowded() {
                node.alarm.sleep(BREATH);
                continue;
            }
            let asked = node.clock.now();
            match listener.accept() {
                Ok((socket, _)) => {
                    let now = node.clock.now();
                    if now - asked >= AT_LEAST_WAITED {
                        nobody_waited = now;
                    }
                    at_once = if now - last < YIELD_PAUSE.as_nanos() as u64 { at_once + 1 } else { 1 };
                    last = now;
                    let (client, mailbox) = node.register_client();
                    node.handle_input(Input::ClientConnected { client });
                    let served = Arc::clone(&node);
                    spawn(move || serve(&served, client, socket, nobody_waited, &mailbox));
                    if at_once >= AT_ONCE {
                        at_once = 0;
                        node.alarm.sleep(YIELD_PAUSE);
                    }
                }
                // No descriptor left, or a client that was gone again: the others still wait.
                Err(why) => {
                    if node.may_log() {
                        tracing::warn!(%why, "accept failed");
                    }
                    node.alarm.sleep(BREATH);
                }
            }
        }
    });
    Ok(address)
}

/// What a connection is doing.
enum State {
    Reading {
        head: Option<Box<Incoming>>,
        body: BytesMut,
    },
    /// The submission is with the reducer.
    Waiting {
        last: bool,
        size: usize,
    },
    Answering {
        out: WriteQueue,
        last: bool,
    },
    /// Answered for good; what still comes is read and dropped, lest a reset overtake the answer.
    Lingering,
    /// Shut while it rested; the client's end is waited for, and nothing more is read.
    Closing,
}

impl State {
    fn reading() -> Self {
        Self::Reading { head: None, body: BytesMut::new() }
    }

    fn beyond(&self) -> Beyond {
        match self {
            Self::Reading { .. } | Self::Answering { .. } => Beyond::Waits,
            Self::Waiting { .. } => Beyond::Dropped,
            Self::Lingering | Self::Closing => Beyond::AllDropped,
        }
    }

    /// Bytes that it holds.
    fn size(&self) -> usize {
        match self {
            Self::Reading { body, .. } => body.len(),
            Self::Waiting { size, .. } => *size,
            Self::Answering { out, .. } => out.remaining(),
            Self::Lingering | Self::Closing => 0,
        }
    }
}

/// `since` is when it connected, at the earliest.
fn serve(
    node: &Arc<Node>,
    client: ClientId,
    mut socket: TcpStream,
    since: Nanos,
    mailbox: &Mailbox<Message>,
) {
    // However this ends, by a panic too, the reducer hears of it.
    let _gone = Gone { node, client };
    mailbox.wake(&socket);
    let _ = socket.set_nodelay(true);
    converse(node, client, &mut socket, since, mailbox);
}

struct Gone<'a> {
    node: &'a Arc<Node>,
    client: ClientId,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.node.remove_client(self.client);
        self.node.handle_input(Input::ClientDisconnected { client: self.client });
    }
}

/// Returns when the connection is to be closed.
fn converse(
    node: &Arc<Node>,
    client: ClientId,
    socket: &mut TcpStream,
    since: Nanos,
    mailbox: &Mailbox<Message>,
) {
    // What is there already may have come while it waited to be let in; what comes later comes when it is read.
    let mut waited_since = Some(since);
    let mut input = BytesMut::new();
    let mut state = State::reading();
    let mut close = false;
    let mut cut = false;
    let mut go_ahead = WriteQueue::default();
    let mut arrivals = ArrivalTimes::default();
    let mut holding = node.client_memory.holding();
    loop {
        let mut over = false;
        while let Some(message) = mailbox.next() {
            match message {
                // Its time is over, but what came just before is still owed: it is read first. What the reducer
                // has taken meanwhile is answered, whatever was ordered before.
                Message::Drop => (over, close) = (true, true),
                // A request may have come in meanwhile; it is answered first.
                Message::CloseIfIdle => close = true,
                Message::Answer { answer, last } => {
                    // What was read behind it is owed an answer too, unless the client wants none.
                    let last = matches!(state, State::Waiting { last: true, .. })
                        || ((last || close) && !http::has_request(&input));
                    state = State::Answering { out: answered(answer, last), last };
                }
            }
        }
        if matches!(state, State::Closing) {
            // A request that crosses is not read, or it would be taken and lost: its client sees the end and sends
            // it once more. The reset that a close over unread bytes makes waits until the client has had the time
            // to take its last answer.
            match socket.inner().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                Ok(0) => return,
                _ if over => return,
                _ => socket.wait_io(),
            };
            continue;
        }
        let before = input.len();
        let beyond = if cut { state.beyond().max(Beyond::NewDropped) } else { state.beyond() };
        let more = match read(socket, &mut input, beyond) {
            // A client that closes has gone away.
            Ok(Read::Ended) | Err(_) => return,
            Ok(Read::Some) => true,
            Ok(Read::All) => false,
        };
        let came = waited_since.take().unwrap_or_else(|| node.clock.now());
        arrivals.read(input.len().saturating_sub(before), came);
        if over && matches!(state, State::Answering { .. } | State::Lingering) {
            return;
        }
        if input.len() > KEPT && matches!(state, State::Waiting { .. }) {
            // What it sends beyond is not kept, so what follows can't be told from the middle of a request. Those that
            // were read whole are answered, and then it is closed.
            (cut, close) = (true, true);
        }
        // Many that bring much and never end would fill the memory, which ends the node.
        if !holding.set(input.len() + state.size()) && matches!(state, State::Reading { .. }) {
            input = BytesMut::new();
            state = turned_down(node, client, HttpError { status: 503, reason: "no memory left" });
        }
        loop {
            match &mut state {
                State::Reading { head, body } => {
                    let begun = head.is_some() || !input.is_empty();
                    if !begun {
                        if close {
                            // Closed outright, bytes that cross would reset it, and with it an answer that is
                            // still on its way.
                            if leave(node, client, socket).is_err() {
                                return;
                            }
                            state = State::Closing;
                        }
                        break;
                    }
                    match next(node, &mut input, head, body) {
                        Ok(false) if over => {
                            state = turned_down(node, client, HttpError { status: 408, reason: "too slow" });
                        }
                        Ok(false) => {
                            node.handle_input(Input::ClientPhase { client, phase: Phase::Reading });
                            if let Some(incoming) = head
                                && std::mem::take(&mut incoming.expects)
                                && input.is_empty()
                            {
                                go_ahead.push(CONTINUE);
                            }
                            if go_ahead.write(socket.inner_mut()).is_err() {
                                return;
                            }
                            break;
                        }
                        Ok(true) => {
                            let Some(incoming) = head.take() else { break };
                            match incoming.asked {
                                Asked::Execution(mut intake, last) => {
                                    let size = body.len();
                                    let now = node.clock.now();
                                    let waited =
                                        now.saturating_sub(arrivals.arrival_of_consumed(input.len(), now));
                                    intake.timeout = intake.timeout.saturating_sub(waited);
                                    if let Some(shipment) = Arc::get_mut(&mut intake.request) {
                                        shipment.body = body.split().freeze();
                                    }
                                    state = State::Waiting { last, size };
                                    node.handle_input(Input::Submitted { client, submission: intake });
                                }
                                Asked::Health(out, last) => state = State::Answering { out, last },
                            }
                        }
                        Err(fault) => state = turned_down(node, client, fault),
                    }
                }
                State::Waiting { .. } => break,
                State::Answering { out, last } => match write_after(&mut go_ahead, out, socket.inner_mut()) {
                    Ok(false) => break,
                    Err(_) => return,
                    Ok(true) if *last => {
                        if leave(node, client, socket).is_err() {
                            return;
                        }
                        input = BytesMut::new();
                        state = State::Lingering;
                    }
                    Ok(true) => {
                        state = State::reading();
                        if input.is_empty() {
                            // What it asked for is not kept in memory while it asks for nothing.
                            input = BytesMut::new();
                        }
                        node.handle_input(Input::ClientPhase { client, phase: Phase::Idle });
                    }
                },
                State::Lingering | State::Closing => break,
            }
        }
        // What was left in the socket makes no event; it is read once there is room for it, and not before
        // the others had their turn.
        if more && (input.len() <= KEPT || cut || state.beyond() != Beyond::Waits) {
            node.alarm.sleep(YIELD_PAUSE);
        } else {
            socket.wait_io();
        }
    }
}

/// Writes an answer behind a go-ahead that may not be quite out. True once all is written.
fn write_after(
    go_ahead: &mut WriteQueue,
    answer: &mut WriteQueue,
    socket: &mut impl io::Write,
) -> io::Result<bool> {
    Ok(go_ahead.write(socket)? && answer.write(socket)?)
}

/// Nothing more is written to the client, which has a while to close too.
fn leave(node: &Arc<Node>, client: ClientId, socket: &TcpStream) -> io::Result<()> {
    socket.shutdown(Shutdown::Write)?;
    node.handle_input(Input::ClientPhase { client, phase: Phase::Leaving });
    Ok(())
}

fn turned_down(node: &Arc<Node>, client: ClientId, error: HttpError) -> State {
    if node.may_log() {
        tracing::warn!(status = error.status, why = error.reason, "request turned down");
    }
    node.handle_input(Input::RequestRejected { client });
    State::Answering { out: bare(error.status, true), last: true }
}
