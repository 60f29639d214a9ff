//! Classifies failed system calls by where the cause lies, and retries those that fail for a transient lack of local
//! resources.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// For how long calls that fail because this machine lacks a resource are retried at the start of the process, which
/// has to be ready within 10 s.
pub const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Where the cause of a failed call lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoFailure {
    /// A resource of this machine or process was not available; it may be available again a moment later.
    LocalResource,
    /// This machine has no route to the address. A short failure points to this machine, a long one to the remote
    /// network.
    LocalRoute,
    /// The remote host was not found or did not answer in time. A single failure of this kind does not show whether the
    /// network or the host is at fault, and it is not a refusal.
    Unreachable,
    /// The cause is the request itself or the remote host.
    Other,
}

impl IoFailure {
    /// Classifies an I/O error.
    #[must_use]
    pub fn of(error: &io::Error) -> Self {
        let Some(errno) = Errno::from_io_error(error) else { return Self::Other };
        match errno {
            Errno::ACCESS
            | Errno::ADDRINUSE
            | Errno::ADDRNOTAVAIL
            | Errno::AGAIN
            | Errno::INTR
            | Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::PERM => Self::LocalResource,
            Errno::NETDOWN | Errno::NETUNREACH => Self::LocalRoute,
            Errno::HOSTDOWN | Errno::HOSTUNREACH | Errno::TIMEDOUT => Self::Unreachable,
            _ => Self::Other,
        }
    }
}

/// Returns whether a call that opens a resource may succeed when it is repeated a moment later. `EMFILE` is not
/// included: during the start nothing else runs in the process that could free a descriptor.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    let transient = [Errno::AGAIN, Errno::INTR, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| transient.contains(&errno))
}

/// As [`is_transient`], for a running node, in which each connection that ends frees a descriptor.
#[must_use]
pub fn is_transient_while_running(error: &io::Error) -> bool {
    is_transient(error) || Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// Repeats a call on this thread until it succeeds, fails permanently, or `timeout` is over.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub fn retry_transient<T>(timeout: Duration, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started_at = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && started_at.elapsed() < timeout => {
                std::thread::sleep(RETRY_INTERVAL)
            }
            result => return result,
        }
    }
}
