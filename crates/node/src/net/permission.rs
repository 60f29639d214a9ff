//! The permission to write the first byte of a request to an executor, which is valid for a moment only.
//!
//! A process may stand still at any point, for example when its machine is busy. What its clients and discovery did meanwhile
//! waits in their sockets, and their coroutines may run after that of the executor. So the lists that have arrived are
//! received before the permission is granted, and the client's socket itself is asked, immediately before the request is
//! written.

use std::os::fd::AsFd;
use std::sync::Arc;

use linestack_core::Refusal;
use linestack_dispatch::types::Nanos;
use may::net::TcpStream;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::Node;
use crate::NANOS_PER_MS;

/// A permission that is older than this is requested again, since time limits may have passed and lists arrived.
const MAX_AGE_NS: Nanos = 5 * NANOS_PER_MS;
/// A write that ends this long after the last check is reported: the process stood still in between, where nothing can be
/// checked any more.
const MAX_WRITE_DELAY_NS: Nanos = 50 * NANOS_PER_MS;

/// The permission to write the first byte of a request.
pub(crate) struct SendPermission {
    /// The time that the executor may take.
    pub(crate) time_left: Nanos,
    /// When it was asked for. What has happened since is not considered.
    asked_at: Nanos,
    /// The socket of the client that waits for the execution.
    client: Option<Arc<TcpStream>>,
}

impl SendPermission {
    pub(crate) fn new(
        granted: Result<Nanos, Refusal>,
        asked_at: Nanos,
        client: Option<Arc<TcpStream>>,
    ) -> Result<Self, Refusal> {
        granted.map(|time_left| Self { time_left, asked_at, client })
    }

    /// Checks that the permission is still valid. Returns the time of the check, or `None` if it must be requested again.
    pub(crate) fn check(&self, node: &Node) -> Option<Nanos> {
        let now = node.clock.now();
        let is_valid = now.saturating_sub(self.asked_at) <= MAX_AGE_NS
            && !self.client.as_deref().is_some_and(has_disconnected);
        is_valid.then_some(now)
    }
}

/// Reports a request whose first byte may have been written long after it was last checked that it may be.
pub(crate) fn report_late_write(node: &Node, id: &[u8], checked_at: Nanos) {
    let delay = node.clock.now().saturating_sub(checked_at);
    if delay > MAX_WRITE_DELAY_NS {
        let id = String::from_utf8_lossy(id);
        tracing::warn!(%id, after_ms = delay / NANOS_PER_MS, "the process stood still while it wrote a request");
    }
}

/// Returns whether the other end has closed its sending side or the connection has broken, even if bytes that it sent
/// before are not read yet.
pub(crate) fn has_disconnected(socket: &TcpStream) -> bool {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::from_borrowed_fd(socket.inner().as_fd(), PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut polled, Some(&now)).is_ok() && polled[0].revents().intersects(ended)
}
