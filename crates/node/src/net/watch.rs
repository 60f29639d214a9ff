//! The watch on discovery: a request whose response is the list of executors, followed by each change to it.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use linestack_dispatch::types::Nanos;
use thiserror::Error;

use super::connect::{ConnectError, connect};
use super::discovery::List;
use super::list_stream::{self, ListStream, Message};
use super::{Node, lock, spawn};
use crate::http;
use linestack_core::{Input, ListClocks};

/// The longest time for connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A watch that receives neither a complete list nor a heartbeat for this time has failed, even if its connection is
/// open and bytes arrive. While nothing changes, discovery sends a heartbeat every 2 s, and it may queue a request for
/// 3 s. A node must know a change within 6 s after discovery does, and within 4 s after the discovery address changed.
/// The reducer's `MAX_LIST_CALL_DELAY` depends on this value.
const MESSAGE_TIMEOUT_NS: Nanos = 3_000_000_000;
/// The longest time until the first message. It is a little longer than [`MESSAGE_TIMEOUT_NS`], so that the node still
/// receives the status if discovery rejects the request after queueing it for 3 s.
const FIRST_MESSAGE_TIMEOUT_NS: Nanos = 3_250_000_000;
/// The time after a change of the discovery address during which a failed watch is retried after [`RETRY_PAUSE`].
const DISCOVERY_CHANGE_RETRY_NS: Nanos = 4_000_000_000;
/// The pause before a watch is retried without the reducer: after a change of the discovery address, or after a failure
/// on this machine.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a watch on discovery ended.
#[derive(Debug, Error)]
pub enum WatchError {
    #[error("no connection: {0}")]
    Connect(#[from] ConnectError),
    #[error("the connection broke: {0}")]
    ConnectionBroken(io::Error),
    #[error("neither a list nor a heartbeat came in time")]
    TimedOut,
    #[error("discovery answered {0}")]
    Status(u16),
    #[error("invalid response: {0}")]
    InvalidResponse(&'static str),
    #[error("invalid list: {0}")]
    InvalidList(#[from] list_stream::ListStreamError),
    #[error("the watch ended")]
    Ended,
    #[error("replaced by a watch on another discovery address")]
    Replaced,
}

/// The state of the watch on discovery's list.
pub(crate) struct WatchState {
    pub(crate) discovery: SocketAddr,
    /// Increases by one with each change of the address; results of a watch of an earlier generation are ignored.
    pub(crate) generation: u64,
    /// The version of the last list that was received; `None` to request the complete list.
    pub(crate) index: Option<u64>,
    /// When the last message from discovery was received; 0 if none was.
    pub(crate) last_message: Nanos,
    /// After a change of the address: the time until which a watch that fails is retried without the reducer.
    pub(crate) retry_until: Nanos,
    /// Whether a coroutine follows the list at present.
    pub(crate) running: bool,
    /// A handle to the running watch's connection, used to shut it down.
    pub(crate) socket: Option<std::net::TcpStream>,
}

impl Node {
    /// Reports the end of a watch to the reducer, which may request another one. `silent_for` is for how long this node
    /// may have missed a change; `overloaded` is whether discovery rejected the request. Returns false, and reports
    /// nothing, if the watch is of an earlier generation.
    pub(crate) fn watch_ended(
        self: &Arc<Self>,
        generation: u64,
        silent_for: Nanos,
        overloaded: bool,
    ) -> bool {
        let is_current = {
            let mut watch = lock(&self.watch);
            let is_current = watch.generation == generation;
            if is_current {
                (watch.running, watch.socket) = (false, None);
            }
            is_current
        };
        if is_current {
            self.handle_input(Input::ListFailed { silent_for, overloaded });
        }
        is_current
    }

    /// Changes the address of discovery. The known list and all executions are unaffected. The complete list is requested
    /// from the new address at once, since its versions may be unrelated to the old ones.
    pub fn change_discovery(self: &Arc<Self>, discovery: SocketAddr) {
        let mut watch = lock(&self.watch);
        if watch.discovery == discovery {
            return;
        }
        if let Some(old) = watch.socket.take() {
            let _ = old.shutdown(std::net::Shutdown::Both);
        }
        let generation = watch.generation + 1;
        let retry_until = self.clock.now() + DISCOVERY_CHANGE_RETRY_NS;
        *watch = WatchState {
            discovery,
            generation,
            index: None,
            last_message: 0,
            retry_until,
            running: true,
            socket: None,
        };
        drop(watch);
        let node = Arc::clone(self);
        spawn(move || run(&node, generation));
    }
}

/// Follows discovery's list and passes each list to the reducer, until the watch ends.
pub(crate) fn run(node: &Arc<Node>, generation: u64) {
    loop {
        let called_at = node.clock.now();
        // When the last message from discovery was received; `called_at` if none was.
        let mut last_message = called_at;
        let Err(error) = follow(node, generation, &mut last_message);
        let retry_now = {
            let watch = lock(&node.watch);
            watch.generation == generation && watch.index.is_none() && node.clock.now() < watch.retry_until
        };
        if retry_now {
            tracing::warn!(why = %error, "new discovery does not answer yet");
            node.alarm.sleep(RETRY_PAUSE);
        } else if matches!(error, WatchError::Connect(ConnectError::Local(_) | ConnectError::NoRoute(_))) {
            // The failure is on this machine. A retry costs discovery nothing, and discovery may have a change to report.
            if node.may_log() {
                tracing::warn!(why = %error, "discovery cannot be reached from this machine");
            }
            node.alarm.sleep(RETRY_PAUSE);
        } else {
            // A connection on which messages arrived and that ended visibly has delivered all that discovery sent.
            let nothing_missed = last_message > called_at
                && matches!(error, WatchError::Ended | WatchError::ConnectionBroken(_));
            let silent_for = if nothing_missed { 0 } else { node.clock.now().saturating_sub(last_message) };
            if node.watch_ended(generation, silent_for, matches!(error, WatchError::Status(_))) {
                tracing::warn!(why = %error, "watch ended");
            }
            return;
        }
    }
}

/// Returns discovery's address and the known version of the list, if this is still the current watch.
fn watch_target(node: &Node, generation: u64) -> Result<(SocketAddr, Option<u64>), WatchError> {
    let watch = lock(&node.watch);
    if watch.generation == generation {
        Ok((watch.discovery, watch.index))
    } else {
        Err(WatchError::Replaced)
    }
}

/// Opens a watch and follows it until it fails. `last_message` is set to the time of each message.
fn follow(
    node: &Arc<Node>,
    generation: u64,
    last_message: &mut Nanos,
) -> Result<std::convert::Infallible, WatchError> {
    let (discovery, after) = watch_target(node, generation)?;
    let still_current = || watch_target(node, generation).is_ok();
    let mut socket = connect(node, discovery, CONNECT_TIMEOUT, generation, still_current)?;
    let watch_error = |e: io::Error| match e.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => WatchError::TimedOut,
        _ => WatchError::ConnectionBroken(e),
    };
    {
        let mut watch = lock(&node.watch);
        if watch.generation != generation {
            return Err(WatchError::Replaced);
        }
        // By this handle a replaced watch is shut down, which would otherwise end only at its next message.
        watch.socket = socket.inner().try_clone().ok();
    }
    socket.set_write_timeout(Some(Duration::from_nanos(MESSAGE_TIMEOUT_NS))).map_err(watch_error)?;
    let version = after.map_or(String::new(), |index| format!("&after={index}"));
    let request = format!("GET /v1/servers?watch=1{version} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
    socket.write_all(request.as_bytes()).map_err(watch_error)?;
    let (mut input, mut decoded) = (BytesMut::new(), BytesMut::new());
    let mut body: Option<http::BodyDecoder> = None;
    let mut lists = ListStream::default();
    let mut due = *last_message + FIRST_MESSAGE_TIMEOUT_NS;
    // If the request names no known version, the first list is the complete one.
    let mut first_is_whole = after.is_none();
    loop {
        let mut piece = [0; 4096];
        // `may` treats a timeout of less than a millisecond as none at all.
        let left = due.saturating_sub(node.clock.now());
        let left = Duration::from_nanos(left).max(Duration::from_millis(1));
        socket.set_read_timeout(Some(left)).map_err(watch_error)?;
        let n = match socket.read(&mut piece) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            read => read.map_err(watch_error)?,
        };
        watch_target(node, generation)?;
        if n == 0 {
            return Err(WatchError::Ended);
        }
        input.extend_from_slice(&piece[..n]);
        if body.is_some() {
            node.record_discovery_message(None);
        } else {
            let Some(head) =
                http::parse_response(&input).map_err(|error| WatchError::InvalidResponse(error.reason))?
            else {
                if node.clock.now() > due {
                    return Err(WatchError::TimedOut);
                }
                continue;
            };
            if head.status != 200 {
                return Err(WatchError::Status(head.status));
            }
            let _ = input.split_to(head.length);
            body = Some(http::BodyDecoder::new(head.framing));
        }
        let Some(body) = &mut body else { continue };
        let body_complete = body
            .decode(&mut input, &mut decoded)
            .map_err(|error| WatchError::InvalidResponse(error.reason))?;
        lists.push(&decoded.split());
        while let Some(message) = lists.next_message()? {
            *last_message = node.clock.now();
            due = *last_message + MESSAGE_TIMEOUT_NS;
            if let Message::List(mut list) = message {
                list.whole |= std::mem::take(&mut first_is_whole) && !list.endpoints.is_empty();
                deliver(node, generation, list)?;
            }
            let mut watch = lock(&node.watch);
            if watch.generation == generation {
                watch.last_message = *last_message;
            }
        }
        if node.clock.now() > due {
            return Err(WatchError::TimedOut);
        }
        if body_complete {
            return Err(WatchError::Ended);
        }
    }
}

/// Passes a list to the reducer, if this is still the current watch.
fn deliver(node: &Arc<Node>, generation: u64, list: List) -> Result<(), WatchError> {
    let (index, whole, entries) = (list.index, list.whole, list.endpoints.len());
    let known_until = {
        let mut watch = lock(&node.watch);
        if watch.generation != generation {
            return Err(WatchError::Replaced);
        }
        watch.index = Some(index);
        watch.last_message
    };
    tracing::info!(index, whole, entries, "list");
    node.handle_input(Input::ListClocks(ListClocks {
        known_until,
        wall_clock_shift: node.clock.wall_clock_shift(),
    }));
    node.handle_input(list.into());
    node.record_discovery_message(Some(index));
    Ok(())
}
