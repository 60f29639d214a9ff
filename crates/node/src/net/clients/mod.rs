//! Clients' connections. Each carries one request at a time and its final answer.

mod answer;
mod excess;
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
use super::event_loop::Priority;
use super::reading::ReadStatus;
use super::receive_buffer::ReceiveBuffer;
use super::{Mailbox, Node, YIELD_PAUSE, spawn};
use crate::NANOS_PER_MS;
use crate::http::{self, HttpError, WriteQueue};
use linestack_core::{Answer, ClientId, ClientPhase, Input, Nanos};

use answer::{CONTINUE, empty_response, encode_answer};
use excess::{ExcessRequests, Rejection};
use reading::{READ_AHEAD_BYTES, Received, read};
use request::{Incoming, RequestAction, read_request};

/// The pause before the next accept when no file descriptor is left or the limit of clients is reached.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// After accepting this many connections in a row the listener pauses, so that the accepted ones are read: only the bytes
/// that they have sent distinguish clients from a flood of idle connections.
const ACCEPT_BURST: u32 = 8;
/// If an accept blocked for at least this long, the listener's queue was empty before.
const MIN_ACCEPT_WAIT_NS: Nanos = NANOS_PER_MS / 2;
/// After answering this many requests that had arrived before the answers, a connection pauses for others.
const ANSWER_BURST: u32 = 16;
/// The shortest time between two log lines that clients can cause, such as that of a rejected request.
pub(crate) const REJECTION_LOG_INTERVAL_NS: Nanos = 1_000 * NANOS_PER_MS;

/// The answer to a request that is not complete when its time limit is reached.
const NOT_IN_TIME: HttpError = HttpError { status: 408, reason: "request not completed in time" };

/// The answer to a request for which no memory is left.
const NO_MEMORY: HttpError = HttpError { status: 503, reason: "no memory left for requests" };

/// A message to a client connection's coroutine.
pub(crate) enum Message {
    /// Send the answer to the current submission, and close the connection then if `close_after`.
    Answer { answer: Answer, close_after: bool },
    /// Close the connection once the requests that were received are answered.
    CloseIfIdle,
    /// Close the connection, because the client has timed out or is evicted. A submission that the reducer has accepted
    /// meanwhile is answered first.
    Drop,
}

/// Starts a coroutine that accepts clients for as long as the program runs. Returns the address that it listens on.
pub fn accept(node: &Arc<Node>, listen: SocketAddr) -> io::Result<SocketAddr> {
    // `may` sets SO_REUSEPORT, so a second node at the same address would silently take some of the first one's clients.
    // Binding a socket without that option first reports that the address is in use.
    let exclusive = Socket::new(Domain::for_address(listen), Type::STREAM, None)?;
    exclusive.set_reuse_address(true)?;
    exclusive.bind(&listen.into())?;
    drop(exclusive);
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let node = Arc::clone(node);
    spawn(move || {
        let mut burst = 0;
        let mut last_accept = 0;
        // The last time at which the listener's queue is known to have been empty.
        let mut queue_empty_at = node.clock.now();
        loop {
            if node.is_at_client_limit() {
                node.alarm.sleep(ACCEPT_RETRY_PAUSE);
                continue;
            }
            node.event_loop.begin_step(Priority::High);
            let called_at = node.clock.now();
            match listener.accept() {
                Ok((socket, _)) => {
                    let now = node.clock.now();
                    if now - called_at >= MIN_ACCEPT_WAIT_NS {
                        queue_empty_at = now;
                    }
                    burst = if now - last_accept < YIELD_PAUSE.as_nanos() as u64 { burst + 1 } else { 1 };
                    last_accept = now;
                    let socket = Arc::new(socket);
                    let (client, mailbox) = node.register_client(&socket);
                    node.handle_input(Input::ClientConnected { client });
                    let node_of_client = Arc::clone(&node);
                    spawn(move || serve(&node_of_client, client, &socket, queue_empty_at, &mailbox));
                    if burst >= ACCEPT_BURST {
                        burst = 0;
                        node.pause(Priority::High);
                    }
                }
                // No file descriptor is left, or the client has closed already; others may still wait in the queue.
                Err(error) => {
                    if node.may_log() {
                        tracing::warn!(why = %error, "accept failed");
                    }
                    node.alarm.sleep(ACCEPT_RETRY_PAUSE);
                }
            }
        }
    });
    Ok(address)
}

/// The state of a client's connection.
enum State {
    /// A request is being received, or the connection is idle.
    Reading {
        /// The request, once its head is complete.
        head: Option<Box<Incoming>>,
        body: BytesMut,
    },
    /// The reducer has the submission, with its own reservation. The client has requested to close the connection after
    /// the answer if `close_after`.
    Waiting { close_after: bool },
    /// An answer is being written, after which the connection is closed if `close_after`.
    Answering { out: WriteQueue, close_after: bool },
    /// The last answer is written. Further bytes are read and dropped, since a close over unread bytes would reset the
    /// connection, and the reset could overtake the answer.
    Lingering,
    /// The sending side was shut down while the connection was idle. Nothing more is read until the client closes.
    Closing,
}

impl State {
    fn reading() -> Self {
        Self::Reading { head: None, body: BytesMut::new() }
    }

    /// Returns what is done with the bytes that are received in this state.
    fn received(&self) -> Received {
        match self {
            Self::Reading { .. } | Self::Waiting { .. } | Self::Answering { .. } => Received::Kept,
            Self::Lingering | Self::Closing => Received::Dropped,
        }
    }

    /// Returns the number of bytes that the state has allocated without a reservation of their own.
    fn allocated(&self) -> usize {
        match self {
            Self::Reading { body, .. } => body.capacity(),
            Self::Answering { out, .. } => out.allocated(),
            Self::Waiting { .. } | Self::Lingering | Self::Closing => 0,
        }
    }
}

/// Serves a client until its connection ends. `earliest_connect` is the earliest time at which it can have connected.
fn serve(
    node: &Arc<Node>,
    client: ClientId,
    socket: &TcpStream,
    earliest_connect: Nanos,
    mailbox: &Mailbox<Message>,
) {
    // The guard reports the end of the connection to the reducer, after a panic too.
    let _guard = DisconnectGuard { node, client };
    mailbox.wake_on_message(socket);
    let _ = socket.set_nodelay(true);
    run_requests(node, client, socket, earliest_connect, mailbox);
}

/// Reports to the reducer that the client has disconnected when dropped.
struct DisconnectGuard<'a> {
    node: &'a Arc<Node>,
    client: ClientId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.node.remove_client(self.client);
        self.node.handle_input(Input::ClientDisconnected { client: self.client });
    }
}

/// Serves requests. Returns when the connection is to be closed.
fn run_requests(
    node: &Arc<Node>,
    client: ClientId,
    socket: &TcpStream,
    earliest_connect: Nanos,
    mailbox: &Mailbox<Message>,
) {
    // The bytes of the first read may have arrived while the connection waited to be accepted, so they count as having
    // arrived at the earliest possible time. Later bytes count as having arrived when the connection was ready to read them.
    let mut first_arrival = Some(earliest_connect);
    let mut input = ReceiveBuffer::default();
    let mut state = State::reading();
    // Whether the connection is to be closed once the requests that were read are answered.
    let mut close = false;
    // The requests after `input`, if those that were read ahead are too many.
    let mut excess: Option<ExcessRequests> = None;
    let mut continue_response = WriteQueue::default();
    let mut arrivals = ArrivalTimes::default();
    let mut reservation = node.client_memory.reservation();
    // Whether the connection is to be dropped once the requests that have arrived are answered.
    let mut dropped = false;
    // The number of requests that were answered since the connection last paused, or had nothing to do.
    let mut burst = 0;
    // The number of bytes that were read since then.
    let mut read_length = 0;
    loop {
        while let Some(message) = mailbox.next() {
            match message {
                // The client has timed out or is evicted. Bytes that arrived just before are read first, since a request
                // among them must be answered. A submission that the reducer has accepted meanwhile is answered in any
                // case.
                Message::Drop => (dropped, close) = (true, true),
                // A request may have arrived meanwhile; it is answered first.
                Message::CloseIfIdle => close = true,
                Message::Answer { answer, close_after } => {
                    // A complete request that was read after this one must be answered too, unless the client has
                    // requested that the connection is closed.
                    let more_to_answer =
                        http::has_request(&input) || excess.as_ref().is_some_and(ExcessRequests::has_request);
                    let close_after = matches!(state, State::Waiting { close_after: true, .. })
                        || ((close_after || close) && !more_to_answer);
                    state = State::Answering { out: encode_answer(answer, close_after), close_after };
                }
            }
        }
        if matches!(state, State::Closing) {
            if wait_for_close(socket, std::mem::take(&mut dropped)) {
                return;
            }
            continue;
        }
        // What is read after a wait for others may have arrived before it.
        let arrival = first_arrival.take().unwrap_or_else(|| node.clock.now());
        // Answers that are owed, and clients that had nothing to do, go before the further requests of others.
        let priority = match state {
            State::Answering { .. } => Priority::High,
            State::Reading { .. } if burst == 0 && excess.is_none() => Priority::High,
            _ => Priority::Normal,
        };
        node.event_loop.begin_step(priority);
        let length_before = input.len();
        let mut excess_input = ReceiveBuffer::default();
        let target = if excess.is_some() { &mut excess_input } else { &mut input };
        let received = read(socket, target, state.received());
        // A client that closes its sending side has left.
        if received.status == ReadStatus::Ended {
            return;
        }
        let more_available = received.status == ReadStatus::MoreAvailable;
        node.event_loop.count_received(received.length);
        read_length += received.length;
        // Whether the rest of a request may lie in the socket, within what may be read ahead.
        let rest_follows = more_available && read_length <= READ_AHEAD_BYTES;
        arrivals.record_read(input.len().saturating_sub(length_before), arrival);
        if dropped && matches!(state, State::Answering { .. } | State::Lingering) {
            return;
        }
        if let Some(excess) = &mut excess {
            excess.push(&excess_input);
        } else if input.len() > READ_AHEAD_BYTES && matches!(state, State::Waiting { .. }) {
            let length = input.len();
            excess = Some(ExcessRequests::split_off(&mut input));
            arrivals.forget_last(length - input.len());
        }
        input.release_consumed();
        // Many large requests that are never completed, or that wait for others, would exhaust the memory and so end the
        // process.
        if !reservation.resize(allocated(&input, &state, excess.as_ref())) && !input.is_empty() {
            arrivals.forget_last(input.len());
            state = shed_input(node, client, state, &input.take(), more_available, &mut excess);
        }
        while burst < ANSWER_BURST {
            if burst > 0 && matches!(state, State::Reading { .. }) {
                node.event_loop.begin_step(Priority::Normal);
            }
            match &mut state {
                State::Reading { head, body } => {
                    let request_started = head.is_some() || !input.is_empty();
                    if !request_started && let Some(requests) = &mut excess {
                        match requests.next_rejection() {
                            Rejection::Request { close_after } => {
                                node.handle_input(Input::RequestRejected { client });
                                let out = encode_answer(Answer::Dismissed(None), close_after);
                                state = State::Answering { out, close_after };
                            }
                            Rejection::Invalid(error) => state = reject(node, client, error),
                            Rejection::AwaitBody if dropped && !rest_follows => {
                                state = reject(node, client, NOT_IN_TIME);
                            }
                            Rejection::AwaitBody => {
                                node.handle_input(Input::ClientPhase { client, phase: ClientPhase::Reading });
                                break;
                            }
                            Rejection::Finished(next) => {
                                arrivals.record_read(next.len(), arrival);
                                (input, excess) = (next.into(), None);
                            }
                        }
                        continue;
                    }
                    if !request_started {
                        if close {
                            // Only the sending side is closed: after a full close, bytes that the client has just sent
                            // would reset the connection, and the client could lose an answer that is still in transit.
                            if shut_down_write(node, client, socket).is_err() {
                                return;
                            }
                            state = State::Closing;
                        }
                        break;
                    }
                    match read_request(node, &mut input, head, body) {
                        Ok(false) if dropped && !rest_follows => {
                            state = reject(node, client, NOT_IN_TIME);
                        }
                        Ok(false) => {
                            node.handle_input(Input::ClientPhase { client, phase: ClientPhase::Reading });
                            if let Some(incoming) = head
                                && std::mem::take(&mut incoming.expects_continue)
                                && input.is_empty()
                            {
                                continue_response.push(CONTINUE);
                            }
                            if continue_response.write(&mut socket.inner()).is_err() {
                                return;
                            }
                            break;
                        }
                        Ok(true) => {
                            let Some(incoming) = head.take() else { break };
                            match incoming.action {
                                RequestAction::Execute { mut submission, close_after } => {
                                    let now = node.clock.now();
                                    let waited =
                                        now.saturating_sub(arrivals.arrival_of_consumed(input.len(), now));
                                    submission.timeout = submission.timeout.saturating_sub(waited);
                                    if let Some(request) = Arc::get_mut(&mut submission.request) {
                                        request.body = node.client_memory.reserved_copy(body);
                                    }
                                    state = State::Waiting { close_after };
                                    node.handle_input(Input::Submitted { client, submission });
                                }
                                RequestAction::Respond { response, close_after } => {
                                    state = State::Answering { out: response, close_after };
                                }
                            }
                        }
                        Err(error) => state = reject(node, client, error),
                    }
                }
                State::Waiting { .. } => break,
                State::Answering { out, close_after } => {
                    match write_after(&mut continue_response, out, &mut socket.inner()) {
                        Ok(false) => break,
                        Err(_) => return,
                        Ok(true) if *close_after => {
                            if shut_down_write(node, client, socket).is_err() {
                                return;
                            }
                            (input, excess) = (ReceiveBuffer::default(), None);
                            state = State::Lingering;
                        }
                        Ok(true) => {
                            burst += 1;
                            state = State::reading();
                            node.handle_input(Input::ClientPhase { client, phase: ClientPhase::Idle });
                        }
                    }
                }
                State::Lingering | State::Closing => break,
            }
        }
        input.release_consumed();
        // Bytes left in the socket or in `input` cause no further event, so they are read again once there is room for them,
        // after a pause for other coroutines.
        let may_read = more_available && (input.len() <= READ_AHEAD_BYTES || excess.is_some());
        // What is left in `input` after a burst, or in the socket after a part of a request, is still processed as what arrived
        // before a drop.
        dropped &= burst == ANSWER_BURST || (rest_follows && matches!(state, State::Reading { .. }));
        if burst == ANSWER_BURST || (may_read && read_length > READ_AHEAD_BYTES) {
            (burst, read_length) = (0, 0);
            node.pause(Priority::Normal);
        } else if !may_read {
            if input.is_empty() && excess.is_none() {
                (burst, read_length) = (0, 0);
            }
            // Without this, what is processed would count until the next event.
            reservation.resize(allocated(&input, &state, excess.as_ref()));
            socket.wait_io();
        }
    }
}

/// Returns the number of bytes that a connection has allocated without a reservation of their own.
fn allocated(input: &ReceiveBuffer, state: &State, excess: Option<&ExcessRequests>) -> usize {
    input.allocated() + state.allocated() + excess.map_or(0, ExcessRequests::allocated)
}

/// Waits for the client of a connection whose sending side is shut down; not if the connection is `dropped`. Returns true
/// once the connection is over.
///
/// A request that arrives after the shutdown is not read, since it would be lost without an answer: the client sees the end
/// of the connection and sends the request again. A close over unread bytes resets the connection, so it waits until the
/// client has had the time to receive its last answer.
fn wait_for_close(socket: &TcpStream, dropped: bool) -> bool {
    match socket.inner().peek(&mut [0]) {
        Err(e) if e.kind() == io::ErrorKind::Interrupted => false,
        Err(e) if e.kind() != io::ErrorKind::WouldBlock => true,
        Ok(0) => true,
        _ if dropped => true,
        _ => {
            socket.wait_io();
            false
        }
    }
}

/// Drops what a client has sent, because no memory is left for it. Complete requests are rejected in their turn; a request
/// of which only a part has arrived is rejected at once; if more is available, its rest is read first, so that the requests
/// behind it are found. Returns the new state.
fn shed_input(
    node: &Arc<Node>,
    client: ClientId,
    state: State,
    input: &[u8],
    more_available: bool,
    excess: &mut Option<ExcessRequests>,
) -> State {
    if let Some(excess) = excess {
        excess.prepend(input);
        return state;
    }
    let (state, shed) = match state {
        State::Reading { head: Some(head), .. } => {
            (State::reading(), ExcessRequests::after_head(head.body, input))
        }
        state => {
            let mut shed = ExcessRequests::default();
            shed.push(input);
            (state, shed)
        }
    };
    if !shed.has_request() && !more_available && matches!(state, State::Reading { .. }) {
        return reject(node, client, NO_MEMORY);
    }
    *excess = Some(shed);
    state
}

/// Writes an answer after a `100 Continue` that may not be written completely. Returns true once everything is written.
fn write_after(
    continue_response: &mut WriteQueue,
    answer: &mut WriteQueue,
    socket: &mut impl io::Write,
) -> io::Result<bool> {
    Ok(continue_response.write(socket)? && answer.write(socket)?)
}

/// Closes the sending side of the connection. The reducer limits the time for the client to close its side.
fn shut_down_write(node: &Arc<Node>, client: ClientId, socket: &TcpStream) -> io::Result<()> {
    socket.shutdown(Shutdown::Write)?;
    node.handle_input(Input::ClientPhase { client, phase: ClientPhase::Closing });
    Ok(())
}

/// Rejects a request and returns the state that sends the error.
fn reject(node: &Arc<Node>, client: ClientId, error: HttpError) -> State {
    if node.may_log() {
        tracing::warn!(status = error.status, why = error.reason, "request rejected");
    }
    node.handle_input(Input::RequestRejected { client });
    State::Answering { out: empty_response(error.status, true), close_after: true }
}
