//! The open connection of a watch, from the request on: it receives lists and passes them to the reducer.
//!
//! Not only the watch's own coroutine receives here. A process may stand still at any point, for example when its machine is
//! busy, and lists that came meanwhile wait in the socket; the coroutine that sends a request may then run before that of the
//! watch. So whoever must know all that has been announced receives what is there first. That never waits for the peer.

use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::{Arc, Mutex};

use bytes::BytesMut;
use linestack_dispatch::types::Nanos;
use may::net::TcpStream;

use super::discovery::List;
use super::list_stream::{ListStream, MAX_LIST_BYTES, Message};
use super::watch::WatchError;
use super::{Node, lock};
use crate::http::{self, BodyDecoder};
use linestack_core::{Input, ListClocks};

/// A watch that receives neither a complete list nor a heartbeat for this time has failed, even if its connection is
/// open and bytes arrive. While nothing changes, discovery sends a heartbeat every 2 s, and it may queue a request for
/// 3 s. A node must know a change within 6 s after discovery does, and within 4 s after the discovery address changed.
/// The reducer's `MAX_LIST_CALL_DELAY` depends on this value.
pub(super) const MESSAGE_TIMEOUT_NS: Nanos = 3_000_000_000;
/// The longest time until the first message. It is a little longer than [`MESSAGE_TIMEOUT_NS`], so that the node still
/// receives the status if discovery rejects the request after queueing it for 3 s.
const FIRST_MESSAGE_TIMEOUT_NS: Nanos = 3_250_000_000;
/// The most bytes that are received at once: the longest list. Without a limit, a peer that sends without end would hold
/// up whoever receives.
const MAX_RECEIVED_BYTES: usize = MAX_LIST_BYTES;

/// The connection of a watch whose request is being sent, or was sent.
pub(crate) struct WatchConnection {
    pub(super) socket: TcpStream,
    generation: u64,
    response: Mutex<WatchResponse>,
}

/// What was received of the response to a watch's request.
struct WatchResponse {
    /// The received bytes that are not decoded yet.
    input: BytesMut,
    /// The decoder of the body, once the head is complete.
    body: Option<BodyDecoder>,
    lists: ListStream,
    /// Whether the next list is the first one, and complete whatever it says.
    first_is_whole: bool,
    /// When the last message was received, or else when the request was made.
    last_message: Nanos,
    /// When the next message must have been received.
    due: Nanos,
    /// Why nothing more can be received, if that was found by another coroutine than the watch's own.
    failure: Option<WatchError>,
}

/// How much of what had arrived was received.
pub(super) enum Received {
    /// Everything: the socket reports when more arrives.
    All,
    /// As much as may be received at once.
    Part,
}

impl WatchConnection {
    /// Wraps the connection of a watch of this generation. `known_index` is the version of the list that the request names;
    /// if it names none, the first list is the complete one.
    pub(super) fn new(
        socket: TcpStream,
        generation: u64,
        known_index: Option<u64>,
        requested_at: Nanos,
    ) -> Self {
        let response = WatchResponse {
            input: BytesMut::new(),
            body: None,
            lists: ListStream::default(),
            first_is_whole: known_index.is_none(),
            last_message: requested_at,
            due: requested_at + FIRST_MESSAGE_TIMEOUT_NS,
            failure: None,
        };
        Self { socket, generation, response: Mutex::new(response) }
    }

    /// Returns when the last message was received, or else when the request was made.
    pub(super) fn last_message(&self) -> Nanos {
        lock(&self.response).last_message
    }

    /// Returns when the next message must have been received.
    pub(super) fn due(&self) -> Nanos {
        lock(&self.response).due
    }

    /// Receives what has arrived and passes the lists in it to the reducer. For the watch's own coroutine.
    ///
    /// # Errors
    ///
    /// The reason why nothing more can be received.
    pub(super) fn receive(&self, node: &Arc<Node>) -> Result<Received, WatchError> {
        let mut response = lock(&self.response);
        match response.failure.take() {
            Some(failure) => Err(failure),
            None => response.receive(node, self),
        }
    }

    /// As [`WatchConnection::receive`], for other coroutines and threads: a failure is left to the watch's coroutine.
    pub(super) fn receive_for_others(&self, node: &Arc<Node>) {
        let mut response = lock(&self.response);
        if response.failure.is_some() {
            return;
        }
        if let Err(failure) = response.receive(node, self) {
            response.failure = Some(failure);
            // Wakes the watch's coroutine.
            self.close();
        }
    }

    /// Closes the connection for a watch that takes the place of this one, and passes the lists that arrived before to the
    /// reducer. Nothing is received afterwards.
    pub(super) fn close_and_receive(&self, node: &Arc<Node>) {
        let mut response = lock(&self.response);
        self.close();
        if response.failure.is_none() {
            while matches!(response.receive(node, self), Ok(Received::Part)) {}
            response.failure = Some(WatchError::Replaced);
        }
    }

    /// Closes the connection, which ends the wait of the watch's coroutine.
    pub(super) fn close(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

impl WatchResponse {
    fn receive(&mut self, node: &Arc<Node>, connection: &WatchConnection) -> Result<Received, WatchError> {
        let mut piece = [0; 4096];
        let mut received = 0;
        while received < MAX_RECEIVED_BYTES {
            match connection.socket.inner().read(&mut piece) {
                Ok(0) => return Err(WatchError::Ended),
                Ok(length) => {
                    received += length;
                    self.input.extend_from_slice(&piece[..length]);
                    self.process_input(node, connection.generation)?;
                }
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return Ok(Received::All),
                    io::ErrorKind::Interrupted => {}
                    io::ErrorKind::TimedOut => return Err(WatchError::TimedOut),
                    _ => return Err(WatchError::ConnectionBroken(error)),
                },
            }
        }
        Ok(Received::Part)
    }

    /// Decodes the bytes in `input`, as far as they are complete.
    fn process_input(&mut self, node: &Arc<Node>, generation: u64) -> Result<(), WatchError> {
        if self.body.is_some() {
            node.record_discovery_message(None);
        } else {
            self.body = self.decode_head()?;
        }
        let Some(body) = &mut self.body else { return Ok(()) };
        let mut decoded = BytesMut::new();
        let body_complete = body
            .decode(&mut self.input, &mut decoded)
            .map_err(|error| WatchError::InvalidResponse(error.reason))?;
        self.lists.push(&decoded);
        while let Some(message) = self.lists.next_message()? {
            self.process_message(node, generation, message)?;
        }
        if body_complete { Err(WatchError::Ended) } else { Ok(()) }
    }

    /// Returns a decoder for the response's body, once its head is complete.
    fn decode_head(&mut self) -> Result<Option<BodyDecoder>, WatchError> {
        let parsed =
            http::parse_response(&self.input).map_err(|error| WatchError::InvalidResponse(error.reason))?;
        let Some(head) = parsed else { return Ok(None) };
        if head.status != 200 {
            return Err(WatchError::Status(head.status));
        }
        let _ = self.input.split_to(head.length);
        Ok(Some(BodyDecoder::new(head.framing)))
    }

    fn process_message(
        &mut self,
        node: &Arc<Node>,
        generation: u64,
        message: Message,
    ) -> Result<(), WatchError> {
        self.last_message = node.clock.now();
        self.due = self.last_message + MESSAGE_TIMEOUT_NS;
        if let Message::List(mut list) = message {
            list.whole |= std::mem::take(&mut self.first_is_whole) && !list.endpoints.is_empty();
            deliver(node, generation, list)?;
        }
        let mut watch = lock(&node.watch);
        if watch.generation != generation {
            return Err(WatchError::Replaced);
        }
        watch.last_message = self.last_message;
        Ok(())
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
