//! The watch on discovery: a request whose response is the list of executors, followed by each change to it.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linestack_dispatch::types::Nanos;
use may::io::WaitIo;
use thiserror::Error;

use super::connect::{ConnectError, connect};
use super::event_loop::Priority;
use super::watch_connection::{Received, WatchConnection};
use super::{Node, list_stream, lock, spawn};
use crate::http::WriteQueue;
use linestack_core::Input;

/// The longest time for connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
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
    /// The connection of the running watch, while it is open.
    connection: Option<Arc<WatchConnection>>,
}

impl WatchState {
    /// The state before the first watch. `index` is the version of the list that is known.
    pub(crate) fn new(discovery: SocketAddr, index: Option<u64>) -> Self {
        Self {
            discovery,
            generation: 0,
            index,
            last_message: 0,
            retry_until: 0,
            running: false,
            connection: None,
        }
    }
}

impl Node {
    /// Receives the lists that have arrived, for a decision that must know them.
    pub(crate) fn receive_lists(self: &Arc<Self>) {
        let connection = lock(&self.watch).connection.clone();
        if let Some(connection) = connection {
            connection.receive_for_others(self);
        }
    }

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
                watch.running = false;
            }
            is_current
        };
        if is_current {
            self.handle_input(Input::ListFailed { silent_for, overloaded });
        }
        is_current
    }

    /// Changes the address of discovery. The known list and all executions are unaffected, and what the old discovery has
    /// sent is received first. The complete list is requested from the new address at once, since its versions may be
    /// unrelated to the old ones.
    pub fn change_discovery(self: &Arc<Self>, discovery: SocketAddr) {
        let old_connection = {
            let mut watch = lock(&self.watch);
            if watch.discovery == discovery {
                return;
            }
            watch.connection.take()
        };
        if let Some(connection) = old_connection {
            connection.close_and_receive(self);
        }
        let generation = self.replace_watch(discovery);
        let node = Arc::clone(self);
        spawn(move || run(&node, generation));
    }

    /// Begins a watch of the next generation and returns that.
    fn replace_watch(&self, discovery: SocketAddr) -> u64 {
        let mut watch = lock(&self.watch);
        // The old watch may have connected only now.
        if let Some(connection) = watch.connection.take() {
            connection.close();
        }
        let generation = watch.generation + 1;
        let retry_until = self.clock.now() + DISCOVERY_CHANGE_RETRY_NS;
        *watch = WatchState { generation, retry_until, running: true, ..WatchState::new(discovery, None) };
        generation
    }
}

/// Follows discovery's list and passes each list to the reducer, until the watch ends.
pub(crate) fn run(node: &Arc<Node>, generation: u64) {
    loop {
        let called_at = node.clock.now();
        // When the last message from discovery was received; `called_at` if none was.
        let mut last_message = called_at;
        let Err(error) = follow(node, generation, &mut last_message);
        if matches!(error, WatchError::Replaced) {
            return;
        }
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
fn follow(node: &Arc<Node>, generation: u64, last_message: &mut Nanos) -> Result<Infallible, WatchError> {
    let (discovery, known_index) = watch_target(node, generation)?;
    let still_current = || watch_target(node, generation).is_ok();
    let socket = connect(node, discovery, CONNECT_TIMEOUT, generation, still_current)?;
    let connection = Arc::new(WatchConnection::new(socket, generation, known_index, *last_message));
    set_connection(node, generation, Some(&connection))?;
    let followed = send_request(node, &connection, discovery, known_index)
        .and_then(|()| follow_connection(node, &connection, last_message));
    set_connection(node, generation, None)?;
    followed
}

/// Sets the connection that others receive lists from, if this is still the current watch.
fn set_connection(
    node: &Node,
    generation: u64,
    connection: Option<&Arc<WatchConnection>>,
) -> Result<(), WatchError> {
    let mut watch = lock(&node.watch);
    if watch.generation != generation {
        return Err(WatchError::Replaced);
    }
    watch.connection = connection.cloned();
    Ok(())
}

/// Sends the request for the list, and for its changes from then on.
fn send_request(
    node: &Node,
    connection: &WatchConnection,
    discovery: SocketAddr,
    known_index: Option<u64>,
) -> Result<(), WatchError> {
    let version = known_index.map_or(String::new(), |index| format!("&after={index}"));
    let mut request = WriteQueue::default();
    request.push(format!("GET /v1/servers?watch=1{version} HTTP/1.1\r\nHost: {discovery}\r\n\r\n"));
    while !request.write(&mut connection.socket.inner()).map_err(WatchError::ConnectionBroken)? {
        if node.clock.now() >= connection.due() {
            return Err(WatchError::TimedOut);
        }
        node.pause(Priority::High);
    }
    Ok(())
}

/// Receives lists from a connection until it fails.
fn follow_connection(
    node: &Arc<Node>,
    connection: &WatchConnection,
    last_message: &mut Nanos,
) -> Result<Infallible, WatchError> {
    let mut next_wake = 0;
    loop {
        node.event_loop.begin_step(Priority::High);
        let received = connection.receive(node);
        *last_message = connection.last_message();
        if matches!(received?, Received::Part) {
            node.pause(Priority::High);
            continue;
        }
        let due = connection.due();
        if node.clock.now() >= due {
            return Err(WatchError::TimedOut);
        }
        if due != next_wake {
            next_wake = due;
            node.alarm.wake_socket_at(due, &connection.socket);
        }
        connection.socket.wait_io();
    }
}
