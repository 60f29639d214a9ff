//! Connections to other machines, and whose failure it was if none came up.
//!
//! What fails on this machine (no descriptor, no port, no buffer, no route) says nothing of the other one. It is tried again
//! by a short, jittered backoff for as long as the caller can wait, and told apart when that is over.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use may::net::TcpStream;
use thiserror::Error;

use super::Node;
use crate::io_failure::IoFailure;

const FIRST_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(50);
/// may takes a wait of under a millisecond for one without an end.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1);

/// Why no connection came up. Not a byte was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine had not what it takes, for as long as it was tried. Nothing is known of the other one.
    #[error("not tried, for want of something on this machine: {0}")]
    Local(io::Error),
    /// This machine knew no way there, for as long as it was tried. Whose trouble that is nobody can tell.
    #[error("no route: {0}")]
    NoRoute(io::Error),
    /// Nobody could be reached there.
    #[error("{0}")]
    Remote(io::Error),
    /// It is no longer wanted.
    #[error("no longer wanted")]
    Cancelled,
}

/// Waits between tries: twice as long each time, half of it by chance.
struct Backoff {
    pause: Duration,
    chance: fastrand::Rng,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Self { pause: FIRST_PAUSE, chance: fastrand::Rng::with_seed(seed) }
    }

    fn next(&mut self) -> Duration {
        let pause = self.pause.mul_f64(0.5 + self.chance.f64() / 2.0);
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
        pause
    }
}

/// Connects within a time. Where this machine fails, or nobody is found, it tries again for three quarters of that, so that its
/// caller hears of it before its own limit ends the wait: taken for the other's end at once, a loss on the way there that
/// lasts for milliseconds, to all executors alike, would put every one of them out of service. `seed` is of the backoff's chance; `wanted` is asked before each try.
///
/// # Errors
///
/// Whose failure it was, or that it is no longer wanted.
pub fn connect(
    node: &Arc<Node>,
    address: SocketAddr,
    within: Duration,
    seed: u64,
    wanted: impl Fn() -> bool,
) -> Result<TcpStream, ConnectError> {
    let begun = node.clock.now();
    let elapsed = || Duration::from_nanos(node.clock.now().saturating_sub(begun));
    let mut backoff = Backoff::new(seed);
    loop {
        let left = within.saturating_sub(elapsed()).max(SHORTEST_TIMEOUT);
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
        if elapsed() + pause > within / 4 * 3 {
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
