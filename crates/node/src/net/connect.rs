//! Opens connections to other machines, and distinguishes local failures from remote ones.
//!
//! A failure on this machine (no file descriptor, port, buffer or route) does not mean that the remote host has failed.
//! Such an attempt is repeated with a short, jittered backoff for as long as the caller can wait, and reported as local
//! after that.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use may::net::TcpStream;
use thiserror::Error;

use super::Node;
use crate::io_failure::IoFailure;

/// The first pause between two attempts to connect, of which half is random.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// The longest pause between two attempts to connect.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// `may` treats a timeout of less than a millisecond as none at all.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Why no connection was opened. No byte was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine lacked a resource during all attempts. The state of the remote host is unknown.
    #[error("not attempted: this machine lacks a resource: {0}")]
    Local(io::Error),
    /// This machine had no route during all attempts. Which side is at fault is unknown.
    #[error("no route: {0}")]
    NoRoute(io::Error),
    /// The remote host could not be reached, or refused the connection.
    #[error("{0}")]
    Remote(io::Error),
    /// The caller no longer wants the connection.
    #[error("no longer wanted")]
    Cancelled,
}

/// The pauses between attempts: their upper limit doubles each time, and half of each is random.
struct Backoff {
    pause: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Self { pause: MIN_PAUSE, rng: fastrand::Rng::with_seed(seed) }
    }

    fn next(&mut self) -> Duration {
        let pause = self.pause.mul_f64(0.5 + self.rng.f64() / 2.0);
        self.pause = (2 * self.pause).min(MAX_PAUSE);
        pause
    }
}

/// Connects within `timeout`. After a local failure, or if the remote host is unreachable, attempts are repeated for
/// three quarters of that time, so that the caller learns of the failure before its own timeout. Without the retries, a
/// loss of the network for milliseconds would look like the failure of every executor and put them all out of service.
/// `seed` is for the backoff's random part; `wanted` is called before each further attempt and returns whether the caller
/// still wants the connection.
///
/// # Errors
///
/// Returns which side failed, or that the connection is no longer wanted.
pub fn connect(
    node: &Arc<Node>,
    address: SocketAddr,
    timeout: Duration,
    seed: u64,
    wanted: impl Fn() -> bool,
) -> Result<TcpStream, ConnectError> {
    let started_at = node.clock.now();
    let elapsed = || Duration::from_nanos(node.clock.now().saturating_sub(started_at));
    let mut backoff = Backoff::new(seed);
    loop {
        let left = timeout.saturating_sub(elapsed()).max(MIN_TIMEOUT);
        let error = match TcpStream::connect_timeout(&address, left) {
            Ok(socket) => return Ok(socket),
            Err(error) => error,
        };
        let cause = IoFailure::of(&error);
        if cause == IoFailure::Other {
            return Err(ConnectError::Remote(error));
        }
        if cause != IoFailure::Unreachable {
            node.local_failures.fetch_add(1, Ordering::Relaxed);
        }
        let pause = backoff.next();
        if elapsed() + pause > timeout / 4 * 3 {
            return Err(match cause {
                IoFailure::LocalRoute => ConnectError::NoRoute(error),
                IoFailure::Unreachable => ConnectError::Remote(error),
                _ => ConnectError::Local(error),
            });
        }
        node.alarm.sleep(pause);
        if !wanted() {
            return Err(ConnectError::Cancelled);
        }
    }
}
