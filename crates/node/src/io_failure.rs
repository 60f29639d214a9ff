//! Where the cause of a failed system call lies, and tries again while it is this machine's for a moment.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// For how long a start bears calls that fail for want of something on this machine. It has to be ready within 10 s.
pub const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
const AGAIN: Duration = Duration::from_millis(20);

/// Where the cause of a failed call lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoFailure {
    /// A resource of this machine or process, which may be had again in a moment.
    LocalResource,
    /// This machine knows no way there: at once its own trouble, for long the other's.
    LocalRoute,
    /// Nobody was found, or nobody answered in time: the way there, or whoever was to answer. It is no refusal, and one
    /// such failure does not tell which.
    Unreachable,
    /// What was asked for, or whoever was to answer.
    Other,
}

impl IoFailure {
    /// That of this error.
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

/// Whether a call that opens something may succeed when it is made again a moment later. A process at its own limit of
/// descriptors stays there while nothing else runs in it.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    let passing = [Errno::AGAIN, Errno::INTR, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| passing.contains(&errno))
}

/// Makes a call again, on this thread, for as long as its failure may pass and `patience` lasts.
///
/// # Errors
///
/// The last failure.
pub fn retry_transient<T>(patience: Duration, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && begun.elapsed() < patience => std::thread::sleep(AGAIN),
            done => return done,
        }
    }
}
