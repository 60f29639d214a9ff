//! Connections to executors, with one coroutine each. The coroutine connects, sends the requests from its mailbox, and
//! reports the responses to the reducer, or how far an exchange had proceeded when the connection broke.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use linestack_dispatch::types::{Nanos, Outcome, ProbeOutcome, Report};
use may::io::WaitIo;
use may::net::TcpStream;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::connect::{ConnectError, connect};
use super::event_loop::Priority;
use super::permission::report_late_write;
use super::reading::{ReadStatus, read_step};
use super::receive_buffer::ReceiveBuffer;
use super::{Mailbox, Node, parse_object};
use crate::NANOS_PER_MS;
use crate::http::{self, BodyDecoder, Response, WriteQueue};
use linestack_core::{ConnectionId, Disconnect, ForwardedRequest, Input};

/// The longest line of a response, and the longest response to a probe.
const MAX_LINE_BYTES: usize = 2 * http::MAX_BODY_BYTES;
/// The most bytes that may wait to be parsed: a complete response.
const MAX_UNPARSED_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// A message to a connection's coroutine.
pub(crate) enum Message {
    /// Send this request, once the reducer permits it.
    Send { request: Arc<ForwardedRequest> },
    /// Send a probe.
    Probe,
    /// Close the connection without a report to the reducer.
    Close,
}

/// The request that a connection carries, and what was received of its response.
struct Exchange {
    /// The request to execute, until its first byte is written; none for a probe.
    request: Option<Arc<ForwardedRequest>>,
    /// The submission's id; none for a probe.
    id: Option<Bytes>,
    /// The id of the previous submission on this connection, to which the executor may send a second response.
    previous_id: Option<Bytes>,
    /// Whether the response that is being received is such a second response.
    stale: bool,
    /// The bytes of the request. Empty until the reducer permits an execution to be sent.
    out: WriteQueue,
    /// Whether the whole request is written.
    fully_written: bool,
    /// The head of the response, once it is complete.
    head: Option<Response>,
    body: Option<BodyDecoder>,
    /// The decoded bytes of the response's body that are not processed yet.
    text: BytesMut,
    /// Whether the outcome was reported to the reducer.
    outcome_reported: bool,
}

/// How an exchange continues after the received bytes were processed.
enum Progress {
    /// Wait for more bytes.
    NeedMore,
    /// The exchange is over, and the connection may be reused.
    Reusable,
    /// The connection is closed, because the response was invalid or was the last one on this connection.
    Close,
}

/// Reports to the reducer, when dropped, that the connection has ended, unless `disconnect` is `None`. After a panic the
/// worst case is reported.
struct DisconnectGuard<'a> {
    node: &'a Arc<Node>,
    connection: ConnectionId,
    disconnect: Option<Disconnect>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.node.remove_connection(self.connection);
        if let Some(disconnect) = self.disconnect {
            self.node.handle_input(Input::ExecutorDisconnected { connection: self.connection, disconnect });
        }
    }
}

/// Opens a connection to an executor and serves it until it ends. `timeout` is the time to connect within.
pub(crate) fn run(
    node: &Arc<Node>,
    connection: ConnectionId,
    address: SocketAddr,
    timeout: Nanos,
    mailbox: &Mailbox<Message>,
) {
    let worst_case = Disconnect {
        request_started: true,
        request_written: true,
        response_started: true,
        local_fault: false,
        unexpected_data: false,
    };
    let mut guard = DisconnectGuard { node, connection, disconnect: Some(worst_case) };
    // The reducer removes a connection that it closes.
    let wanted = || node.has_connection(connection);
    let mut socket = match connect(node, address, Duration::from_nanos(timeout), connection, wanted) {
        Ok(socket) => socket,
        Err(error) => {
            tracing::debug!(link = connection, %address, why = %error, "no connection");
            let local_fault = matches!(error, ConnectError::Local(_));
            guard.disconnect = Some(Disconnect { local_fault, ..Disconnect::default() });
            return;
        }
    };
    mailbox.wake_on_message(&socket);
    let _ = socket.set_nodelay(true);
    node.handle_input(Input::ExecutorConnected { connection });
    let mut exchange: Option<Exchange> = None;
    let end = run_exchanges(node, connection, &mut socket, mailbox, &mut exchange);
    let closed_by_reducer = matches!(end, ConnectionEnd::ClosedByReducer);
    let unexpected_data = matches!(end, ConnectionEnd::UnexpectedData);
    let disconnect =
        exchange.map_or(Disconnect { unexpected_data, ..Disconnect::default() }, |e| Disconnect {
            request_started: e.out.written > 0,
            request_written: e.fully_written,
            response_started: e.head.is_some(),
            local_fault: false,
            unexpected_data,
        });
    if !closed_by_reducer {
        tracing::debug!(%address, broken = ?disconnect, "connection to the executor lost");
    }
    guard.disconnect = Some(disconnect).filter(|_| !closed_by_reducer);
    // The socket is closed before the guard reports to the reducer.
    drop(socket);
}

/// How a connection ended.
enum ConnectionEnd {
    ClosedByReducer,
    /// The connection broke, or cannot be used any further.
    Broken,
    /// Bytes were received although no request was sent.
    UnexpectedData,
}

/// Sends the requests from the mailbox and processes the responses, until the connection ends. `exchange` is then the one
/// that was in progress, if there was one.
fn run_exchanges(
    node: &Arc<Node>,
    connection: ConnectionId,
    socket: &mut TcpStream,
    mailbox: &Mailbox<Message>,
    exchange: &mut Option<Exchange>,
) -> ConnectionEnd {
    let mut input = ReceiveBuffer::default();
    let mut reservation = node.executor_memory.reservation();
    let mut previous_id: Option<Bytes> = None;
    // The number of bytes that were read since the connection last paused or waited.
    let mut read_length = 0;
    loop {
        node.event_loop.begin_step(Priority::High);
        while let Some(message) = mailbox.next() {
            let (request, out) = match message {
                Message::Close => return ConnectionEnd::ClosedByReducer,
                Message::Send { request } => (Some(request), WriteQueue::default()),
                Message::Probe => (None, encode_probe(node)),
            };
            *exchange = Some(Exchange {
                id: request.as_ref().map(|request| request.id.clone()),
                request,
                previous_id: previous_id.take(),
                stale: false,
                out,
                fully_written: false,
                head: None,
                body: None,
                text: BytesMut::new(),
                outcome_reported: false,
            });
        }
        let received = read_step(socket, &mut input, MAX_UNPARSED_BYTES);
        let ended = received.status == ReadStatus::Ended;
        node.event_loop.count_received(received.length);
        read_length += received.length;
        // Without memory for its response the connection is closed, and the execution counts as one that may have
        // run.
        if !reservation.resize(allocated(&input, previous_id.as_ref(), exchange.as_ref())) {
            return ConnectionEnd::Broken;
        }
        let request_started = exchange.as_ref().is_some_and(|e| e.out.written > 0);
        if !request_started && !input.is_empty() {
            // These bytes would be mistaken for the response to the next request.
            return ConnectionEnd::UnexpectedData;
        }
        if !request_started && ended {
            // The executor has closed an idle connection. If a request is waiting, none of it may be written: the reducer
            // sends it to another executor only if no byte was written.
            return ConnectionEnd::Broken;
        }
        let Some(current) = exchange else {
            socket.wait_io();
            continue;
        };
        if !current.fully_written && !ended {
            // Until the first byte is written, permission is requested again before each attempt to write.
            let mut checked_at = None;
            if current.out.written == 0
                && let Some(request) = &current.request
            {
                let Ok(permission) = node.begin_execution(connection) else {
                    previous_id = exchange.take().and_then(|exchange| exchange.previous_id);
                    continue;
                };
                current.out = encode_request(request, permission.time_left);
                checked_at = permission.check(node);
                if checked_at.is_none() {
                    continue;
                }
            }
            let written = current.out.write(socket.inner_mut());
            if let (Some(checked_at), Some(id)) = (checked_at, &current.id) {
                report_late_write(node, id, checked_at);
            }
            if current.out.written > 0 {
                // The bytes that are not written yet are in `out`.
                current.request = None;
            }
            match written {
                Ok(done) => current.fully_written = done,
                Err(_) => return ConnectionEnd::Broken,
            }
        }
        let progress = current.process(node, connection, &mut input, ended);
        input.release_consumed();
        match progress {
            Progress::NeedMore if ended => return ConnectionEnd::Broken,
            // Bytes left in the socket cause no further event, so the socket is read again, after a pause for other
            // coroutines if it was much.
            Progress::NeedMore if received.status == ReadStatus::MoreAvailable => {
                if read_length.max(input.len()) > MAX_UNPARSED_BYTES {
                    read_length = 0;
                    node.pause(Priority::Normal);
                }
            }
            Progress::NeedMore => {
                read_length = 0;
                // Without this, what is processed would count until the next event.
                reservation.resize(allocated(&input, previous_id.as_ref(), exchange.as_ref()));
                socket.wait_io();
            }
            Progress::Reusable if !ended && current.fully_written && input.is_empty() => {
                let identified =
                    current.id.is_some() && current.head.as_ref().is_some_and(|h| h.status == 200);
                // A copy, since the id is a slice of its request's head, which would otherwise stay in memory.
                previous_id = exchange.take().and_then(|e| e.id).map(|id| Bytes::copy_from_slice(&id));
                node.handle_input(Input::ConnectionReusable { connection, identified });
            }
            Progress::Reusable | Progress::Close => return ConnectionEnd::Broken,
        }
    }
}

/// Returns the number of bytes that a connection has allocated.
fn allocated(input: &ReceiveBuffer, previous_id: Option<&Bytes>, exchange: Option<&Exchange>) -> usize {
    input.allocated() + previous_id.map_or(0, Bytes::len) + exchange.map_or(0, Exchange::allocated)
}

impl Exchange {
    /// Returns the number of bytes that are allocated, beside those of the request, which has a reservation of its own.
    fn allocated(&self) -> usize {
        self.text.capacity() + self.previous_id.as_ref().map_or(0, Bytes::len)
    }

    /// Processes the bytes received. A response that cannot be parsed ends the connection, and the reducer counts the
    /// execution as one that may have run.
    fn process(
        &mut self,
        node: &Arc<Node>,
        connection: ConnectionId,
        input: &mut BytesMut,
        ended: bool,
    ) -> Progress {
        if self.head.is_none() {
            loop {
                match http::parse_response(input) {
                    Ok(Some(head)) if head.status / 100 == 1 => drop(input.split_to(head.length)),
                    Ok(Some(head)) => {
                        let _ = input.split_to(head.length);
                        self.body = Some(BodyDecoder::new(head.framing));
                        self.head = Some(head);
                        break;
                    }
                    Ok(None) => return Progress::NeedMore,
                    Err(_) => return Progress::Close,
                }
            }
        }
        let (Some(head), Some(body)) = (&self.head, &mut self.body) else { return Progress::Close };
        let Ok(complete) = body.decode(input, &mut self.text) else { return Progress::Close };
        let complete = complete || (ended && body.ends_with_connection());
        let close = head.close;
        let valid = if self.id.is_none() {
            self.process_probe_response(node, connection, complete)
        } else if self.head.as_ref().is_some_and(|h| h.status == 200) {
            self.process_lines(node, connection, complete)
        } else {
            self.process_status(node, connection);
            self.text.clear();
            true
        };
        if self.stale && complete && valid {
            // The response to the current request is not received yet.
            (self.head, self.body, self.stale, self.previous_id) = (None, None, false, None);
            self.text.clear();
            return if input.is_empty() {
                Progress::NeedMore
            } else {
                self.process(node, connection, input, ended)
            };
        }
        match (valid, complete) {
            (false, _) => Progress::Close,
            (true, false) => Progress::NeedMore,
            // The response ended without an outcome: the execution may have run, and the connection is closed.
            (true, true) if close || !self.outcome_reported => Progress::Close,
            (true, true) => Progress::Reusable,
        }
    }

    /// Reports the outcome to the reducer, once.
    fn report_outcome(
        &mut self,
        node: &Arc<Node>,
        connection: ConnectionId,
        outcome: Outcome,
        result: Bytes,
        report: Option<Report>,
    ) {
        if !std::mem::replace(&mut self.outcome_reported, true) {
            node.handle_input(Input::Ended { connection, outcome, result, report });
        }
    }

    /// Processes a response whose status is not 200: the status is the outcome.
    fn process_status(&mut self, node: &Arc<Node>, connection: ConnectionId) {
        let Some(head) = &self.head else { return };
        let report = head.load.as_deref().and_then(|text| text_report(node, text));
        let outcome = match head.status {
            503 | 504 if head.declined => Outcome::Overloaded,
            400..500 => Outcome::InvalidSubmission,
            _ => Outcome::Error,
        };
        self.report_outcome(node, connection, outcome, Bytes::new(), report);
    }

    /// Processes the response to a probe. Returns false if it is too long.
    fn process_probe_response(&mut self, node: &Arc<Node>, connection: ConnectionId, complete: bool) -> bool {
        let Some(head) = self.head.as_ref().filter(|_| complete) else {
            return self.text.len() <= MAX_LINE_BYTES;
        };
        let line =
            self.text[..].split(|b| *b == b'\n').next().and_then(|line| parse_object::<Line>(line).ok());
        if line.is_some_and(|line| self.previous_id.as_deref() == Some(line.id.as_bytes())) {
            self.stale = true;
            return true;
        }
        if !std::mem::replace(&mut self.outcome_reported, true) {
            let outcome = match head.status {
                200 => ProbeOutcome::Answered,
                // The executor declined the probe because it receives too many; its health remains unknown.
                429 | 503 if head.declined => ProbeOutcome::Inconclusive,
                _ => ProbeOutcome::Failed,
            };
            let body = std::str::from_utf8(&self.text).unwrap_or("");
            let report = json_report(node, body).or_else(|| text_report(node, body));
            let report = report.or_else(|| head.load.as_deref().and_then(|text| text_report(node, text)));
            node.handle_input(Input::Probed { connection, outcome, report });
        }
        true
    }

    /// Processes the complete lines of a response. Returns false if one is invalid.
    fn process_lines(&mut self, node: &Arc<Node>, connection: ConnectionId, complete: bool) -> bool {
        let valid = self.process_complete_lines(node, connection, complete);
        if self.text.capacity() > 2 * self.text.len() {
            // The lines that were processed would keep their memory until the end of the response.
            self.text = BytesMut::from(&self.text[..]);
        }
        valid
    }

    /// Takes the complete lines off `text` and processes them. Returns false if one is invalid.
    fn process_complete_lines(&mut self, node: &Arc<Node>, connection: ConnectionId, complete: bool) -> bool {
        loop {
            let line = match self.text.iter().position(|b| *b == b'\n') {
                Some(end) => self.text.split_to(end + 1),
                None if complete && !self.text.is_empty() => self.text.split(),
                None => return self.text.len() <= MAX_LINE_BYTES,
            };
            if line.trim_ascii().is_empty() || self.outcome_reported {
                continue;
            }
            let Ok(line) = parse_object::<Line>(&line) else { return false };
            if Some(line.id.as_bytes()) != self.id.as_deref() {
                self.stale = self.previous_id.as_deref() == Some(line.id.as_bytes());
                if self.stale {
                    continue;
                }
                return false;
            }
            // A response that began with lines for the previous request must not continue with lines for this one.
            if self.stale {
                return false;
            }
            let outcome = match &*line.state {
                "done" => Outcome::Completed,
                "failed" => Outcome::Error,
                "returned" => Outcome::Overloaded,
                "lost" => Outcome::Reset,
                _ => {
                    node.handle_input(Input::Progressed { connection });
                    continue;
                }
            };
            let Some(result) = line.result.or_else(|| (outcome != Outcome::Completed).then(String::new))
            else {
                return false;
            };
            let header = self.head.as_ref().and_then(|h| h.load.as_deref());
            let report = line.load.and_then(|load| json_report(node, load.get()));
            let report = report.or_else(|| header.and_then(|text| text_report(node, text)));
            self.report_outcome(node, connection, outcome, Bytes::from(result), report);
        }
    }
}

/// A line of an executor's response.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(default)]
    result: Option<String>,
    #[serde(borrow, default)]
    load: Option<&'a RawValue>,
}

/// Returns the name that executors report a figure under, for the name that the settings use.
fn reported_name(name: &str) -> &str {
    match name {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        other => other,
    }
}

/// Parses a load report in text form.
fn text_report(node: &Node, text: &str) -> Option<Report> {
    node.layout.report(|place| {
        let name = node.names.report_fields.get(place)?;
        http::text_figure(text, name).or_else(|| http::text_figure(text, reported_name(name)))
    })
}

/// Parses a load report in JSON. Figures that are not used are not parsed: a tree of values nested a hundred levels deep
/// could overflow the stack.
fn json_report(node: &Node, load: &str) -> Option<Report> {
    let load: BTreeMap<Cow<'_, str>, &RawValue> = parse_object(load.as_bytes()).ok()?;
    node.layout.report(|place| {
        let name = node.names.report_fields.get(place)?;
        let figure = load.get(name.as_str()).or_else(|| load.get(reported_name(name)))?;
        figure.get().parse().ok()
    })
}

/// Encodes a request for an executor. `time_left` is the time until its deadline.
fn encode_request(request: &ForwardedRequest, time_left: Nanos) -> WriteQueue {
    let mut out = WriteQueue::default();
    let mut push = |piece: &Bytes| out.push(piece.clone());
    push(&request.method);
    push(&Bytes::from_static(b" "));
    push(&request.path);
    push(&Bytes::from_static(b" HTTP/1.1\r\nHost: "));
    push(&request.host);
    push(&Bytes::from_static(b"\r\nReq-Id: "));
    push(&request.id);
    if let Some(key) = &request.idempotency_key {
        push(&Bytes::from_static(b"\r\nIdempotency-Key: "));
        push(key);
    }
    let (wait_ms, length) = ((time_left / NANOS_PER_MS).max(1), request.body.len());
    push(&Bytes::from(format!("\r\nReq-Deadline-Ms: {wait_ms}\r\nContent-Length: {length}\r\n\r\n")));
    push(&request.body);
    out
}

/// Encodes a probe: a request for the load if the settings name any figures, otherwise for the health.
fn encode_probe(node: &Node) -> WriteQueue {
    let path = if node.names.report_fields.is_empty() { "/healthz" } else { "/load" };
    let mut out = WriteQueue::default();
    out.push(Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: executor\r\n\r\n")));
    out
}
