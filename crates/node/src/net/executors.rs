//! Connections to executors: one coroutine each. It connects, sends what its mailbox brings, and tells the
//! reducer what came back, and how far it had got when the connection broke.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use linestack_dispatch::types::{Nanos, Outcome, Report};
use may::io::WaitIo;
use may::net::TcpStream;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::connect::{ConnectError, connect};
use super::{Mailbox, Node, YIELD_PAUSE, parse_object};
use crate::http::{self, BodyDecoder, Response, WriteQueue};
use linestack_core::{ConnectionId, Disconnect, ForwardedRequest, Input};

/// The longest line or probe's answer.
const LINE: usize = 2 * http::MAX_BODY_BYTES;
/// What may wait to be parsed: a whole answer.
const UNREAD: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

pub(crate) enum Message {
    Send { shipment: Arc<ForwardedRequest> },
    Probe,
    Close,
}

/// What is on the connection.
struct Exchange {
    /// What is to be executed; none for a probe.
    shipment: Option<Arc<ForwardedRequest>>,
    /// The submission's id; none for a probe.
    id: Option<Bytes>,
    /// That of the one before, which may be answered a second time.
    before: Option<Bytes>,
    /// The answer that is coming in is that second one.
    stale: bool,
    out: WriteQueue,
    written: bool,
    head: Option<Response>,
    body: Option<BodyDecoder>,
    text: BytesMut,
    /// The reducer has the outcome.
    told: bool,
}

enum Step {
    More,
    /// The exchange is over, and the connection may be used again.
    Free,
    Close,
}

/// Tells the reducer that the connection is down, however that came: after a panic too, and then the worst.
struct Down<'a> {
    node: &'a Arc<Node>,
    link: ConnectionId,
    broken: Option<Disconnect>,
}

impl Drop for Down<'_> {
    fn drop(&mut self) {
        self.node.remove_connection(self.link);
        if let Some(broken) = self.broken {
            self.node.handle_input(Input::ExecutorDisconnected { connection: self.link, disconnect: broken });
        }
    }
}

pub(crate) fn run(
    node: &Arc<Node>,
    link: ConnectionId,
    address: SocketAddr,
    limit: Nanos,
    mailbox: &Mailbox<Message>,
) {
    let worst = Disconnect {
        request_started: true,
        request_written: true,
        response_started: true,
        local_fault: false,
        unexpected_data: false,
    };
    let mut down = Down { node, link, broken: Some(worst) };
    // The reducer forgets a connection that it closes.
    let wanted = || node.has_connection(link);
    let mut socket = match connect(node, address, Duration::from_nanos(limit), link, wanted) {
        Ok(socket) => socket,
        Err(why) => {
            tracing::debug!(link, %address, %why, "no connection");
            let here = matches!(why, ConnectError::Local(_));
            down.broken = Some(Disconnect { local_fault: here, ..Disconnect::default() });
            return;
        }
    };
    mailbox.wake(&socket);
    let _ = socket.set_nodelay(true);
    node.handle_input(Input::ExecutorConnected { connection: link });
    let mut exchange: Option<Exchange> = None;
    let (wanted, spoilt) = match converse(node, link, &mut socket, mailbox, &mut exchange) {
        End::Wanted => (true, false),
        End::Broke => (false, false),
        End::Spoilt => (false, true),
    };
    let broken =
        exchange.map_or(Disconnect { unexpected_data: spoilt, ..Disconnect::default() }, |e| Disconnect {
            request_started: e.out.written > 0,
            request_written: e.written,
            response_started: e.head.is_some(),
            local_fault: false,
            unexpected_data: spoilt,
        });
    if !wanted {
        tracing::debug!(%address, ?broken, "connection closed at the other end");
    }
    down.broken = Some(broken).filter(|_| !wanted);
    // The socket is closed before the reducer hears of it.
    drop(socket);
}

enum End {
    /// The reducer had it closed.
    Wanted,
    /// It broke, or is of no further use.
    Broke,
    /// Something came that nothing had asked for.
    Spoilt,
}

fn converse(
    node: &Arc<Node>,
    link: ConnectionId,
    socket: &mut TcpStream,
    mailbox: &Mailbox<Message>,
    exchange: &mut Option<Exchange>,
) -> End {
    let mut input = BytesMut::new();
    let mut holding = node.executor_memory.holding();
    let mut before: Option<Bytes> = None;
    loop {
        while let Some(message) = mailbox.next() {
            let (shipment, out) = match message {
                Message::Close => return End::Wanted,
                Message::Send { shipment } => (Some(shipment), WriteQueue::default()),
                Message::Probe => (None, probe(node)),
            };
            let id = shipment.as_ref().map(|shipment| shipment.id.clone());
            let (head, body, text) = (None, None, BytesMut::new());
            let (before, stale, written, told) = (before.take(), false, false, false);
            *exchange = Some(Exchange { shipment, id, before, stale, out, written, head, body, text, told });
        }
        let ended = read(socket, &mut input);
        let full = input.len() > UNREAD;
        // What there is no room for is not understood, and counts as what may have run.
        if !holding.set(input.len() + exchange.as_ref().map_or(0, |e| e.text.len())) {
            return End::Broke;
        }
        let asked = exchange.as_ref().is_some_and(|e| e.out.written > 0);
        if !asked && !input.is_empty() {
            // Nothing was asked, so nothing should come. What is to be sent now would be answered by it.
            return End::Spoilt;
        }
        if !asked && ended {
            // Closed while it was idle: not a byte may follow, or the reducer could not send it elsewhere.
            return End::Broke;
        }
        let Some(current) = exchange else {
            socket.wait_io();
            continue;
        };
        if !current.written && !ended {
            // Until its first byte is written it is judged anew each time.
            if current.out.written == 0
                && let Some(shipment) = &current.shipment
            {
                match node.begin_execution(link) {
                    Ok(left) => current.out = request(shipment, left),
                    Err(_) => {
                        before = exchange.take().and_then(|exchange| exchange.before);
                        continue;
                    }
                }
            }
            match current.out.write(socket.inner_mut()) {
                Ok(done) => current.written = done,
                Err(_) => return End::Broke,
            }
        }
        match current.take(node, link, &mut input, ended) {
            Step::More if ended => return End::Broke,
            // What was left in the socket makes no event; the others have their turn first.
            Step::More if full => node.alarm.sleep(YIELD_PAUSE),
            Step::More => {
                socket.wait_io();
            }
            Step::Free if !ended && current.written && input.is_empty() => {
                let named = current.id.is_some() && current.head.as_ref().is_some_and(|h| h.status == 200);
                before = exchange.take().and_then(|e| e.id);
                input = BytesMut::new();
                node.handle_input(Input::ConnectionReusable { connection: link, identified: named });
            }
            Step::Free | Step::Close => return End::Broke,
        }
    }
}

/// Reads what there is. True at the end of the connection, a reset too: what came before it still counts.
fn read(socket: &mut TcpStream, input: &mut BytesMut) -> bool {
    let mut piece = [0; 4096];
    loop {
        if input.len() > UNREAD {
            return false;
        }
        match socket.inner_mut().read(&mut piece) {
            Ok(0) => return true,
            Ok(n) => input.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return true,
        }
    }
}

impl Exchange {
    /// Goes through what has come. What is not understood ends the connection; the reducer then counts
    /// the execution as one that may have run.
    fn take(&mut self, node: &Arc<Node>, link: ConnectionId, input: &mut BytesMut, ended: bool) -> Step {
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
                    Ok(None) => return Step::More,
                    Err(_) => return Step::Close,
                }
            }
        }
        let (Some(head), Some(body)) = (&self.head, &mut self.body) else { return Step::Close };
        let Ok(whole) = body.decode(input, &mut self.text) else { return Step::Close };
        let whole = whole || (ended && body.ends_with_connection());
        let close = head.close;
        let fine = if self.id.is_none() {
            self.probed(node, link, whole)
        } else if self.head.as_ref().is_some_and(|h| h.status == 200) {
            self.lines(node, link, whole)
        } else {
            self.turned_away(node, link);
            self.text.clear();
            true
        };
        if self.stale && whole && fine {
            // The answer to this one is still to come.
            (self.head, self.body, self.stale, self.before) = (None, None, false, None);
            self.text.clear();
            return if input.is_empty() { Step::More } else { self.take(node, link, input, ended) };
        }
        match (fine, whole) {
            (false, _) => Step::Close,
            (true, false) => Step::More,
            // Without a last line it may have run, and the connection is given up.
            (true, true) if close || !self.told => Step::Close,
            (true, true) => Step::Free,
        }
    }

    fn tell(
        &mut self,
        node: &Arc<Node>,
        link: ConnectionId,
        outcome: Outcome,
        result: Bytes,
        report: Option<Report>,
    ) {
        if !std::mem::replace(&mut self.told, true) {
            node.handle_input(Input::Ended { connection: link, outcome, result, report });
        }
    }

    /// An answer that ended the execution by its head.
    fn turned_away(&mut self, node: &Arc<Node>, link: ConnectionId) {
        let Some(head) = &self.head else { return };
        let report = head.load.as_deref().and_then(|text| text_report(node, text));
        let outcome = match head.status {
            503 | 504 if head.declined => Outcome::Overloaded,
            400..500 => Outcome::InvalidSubmission,
            _ => Outcome::Error,
        };
        self.tell(node, link, outcome, Bytes::new(), report);
    }

    fn probed(&mut self, node: &Arc<Node>, link: ConnectionId, whole: bool) -> bool {
        let Some(head) = self.head.as_ref().filter(|_| whole) else { return self.text.len() <= LINE };
        let line =
            self.text[..].split(|b| *b == b'\n').next().and_then(|line| parse_object::<Line>(line).ok());
        if line.is_some_and(|line| self.before.as_deref() == Some(line.id.as_bytes())) {
            self.stale = true;
            return true;
        }
        if !std::mem::replace(&mut self.told, true) {
            let answered = match head.status {
                200 => Some(true),
                // Turned away for there being too many probes: it says nothing of the executor.
                429 | 503 if head.declined => None,
                _ => Some(false),
            };
            let body = std::str::from_utf8(&self.text).unwrap_or("");
            let report = json_report(node, body).or_else(|| text_report(node, body));
            let report = report.or_else(|| head.load.as_deref().and_then(|text| text_report(node, text)));
            node.handle_input(Input::Probed { connection: link, answered, report });
        }
        true
    }

    /// Goes through the whole lines. False if one is not understood.
    fn lines(&mut self, node: &Arc<Node>, link: ConnectionId, whole: bool) -> bool {
        loop {
            let line = match self.text.iter().position(|b| *b == b'\n') {
                Some(end) => self.text.split_to(end + 1),
                None if whole && !self.text.is_empty() => self.text.split(),
                None => return self.text.len() <= LINE,
            };
            if line.trim_ascii().is_empty() || self.told {
                continue;
            }
            let Ok(line) = parse_object::<Line>(&line) else { return false };
            if Some(line.id.as_bytes()) != self.id.as_deref() {
                self.stale = self.before.as_deref() == Some(line.id.as_bytes());
                if self.stale {
                    continue;
                }
                return false;
            }
            // What began as another's answer is not this one's.
            if self.stale {
                return false;
            }
            let outcome = match &*line.state {
                "done" => Outcome::Completed,
                "failed" => Outcome::Error,
                "returned" => Outcome::Overloaded,
                "lost" => Outcome::Reset,
                _ => {
                    node.handle_input(Input::Progressed { connection: link });
                    continue;
                }
            };
            let Some(result) = line.result.or_else(|| (outcome != Outcome::Completed).then(String::new))
            else {
                return false;
            };
            let head = self.head.as_ref().and_then(|h| h.load.as_deref());
            let report = line.load.and_then(|load| json_report(node, load.get()));
            let report = report.or_else(|| head.and_then(|text| text_report(node, text)));
            self.tell(node, link, outcome, Bytes::from(result), report);
        }
    }
}

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

/// The name that a figure has in reports on sockets, where it differs from that in the settings.
fn plain(name: &str) -> &str {
    match name {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        other => other,
    }
}

fn text_report(node: &Node, text: &str) -> Option<Report> {
    node.layout.report(|place| {
        let name = node.names.report_fields.get(place)?;
        http::text_figure(text, name).or_else(|| http::text_figure(text, plain(name)))
    })
}

/// The figures stay text until they are asked for: read as a tree, what is nested a hundred levels deep
/// would fill the stack.
fn json_report(node: &Node, load: &str) -> Option<Report> {
    let load: BTreeMap<Cow<'_, str>, &RawValue> = parse_object(load.as_bytes()).ok()?;
    node.layout.report(|place| {
        let name = node.names.report_fields.get(place)?;
        let figure = load.get(name.as_str()).or_else(|| load.get(plain(name)))?;
        figure.get().parse().ok()
    })
}

fn request(shipment: &ForwardedRequest, wait: Nanos) -> WriteQueue {
    let mut out = WriteQueue::default();
    let mut push = |piece: &Bytes| out.push(piece.clone());
    push(&shipment.method);
    push(&Bytes::from_static(b" "));
    push(&shipment.path);
    push(&Bytes::from_static(b" HTTP/1.1\r\nHost: "));
    push(&shipment.host);
    push(&Bytes::from_static(b"\r\nReq-Id: "));
    push(&shipment.id);
    if let Some(stamp) = &shipment.stamp {
        push(&Bytes::from_static(b"\r\nIdempotency-Key: "));
        push(stamp);
    }
    let (wait, length) = ((wait / 1_000_000).max(1), shipment.body.len());
    push(&Bytes::from(format!("\r\nReq-Deadline-Ms: {wait}\r\nContent-Length: {length}\r\n\r\n")));
    push(&shipment.body);
    out
}

fn probe(node: &Node) -> WriteQueue {
    let path = if node.names.report_fields.is_empty() { "/healthz" } else { "/load" };
    let mut out = WriteQueue::default();
    out.push(Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: executor\r\n\r\n")));
    out
}
