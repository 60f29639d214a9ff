//! Measures how long the event loop goes without polling its sockets.
//!
//! The scheduler of `may` polls its sockets only when no coroutine can run. While one always can, no event is received: no
//! answer of an executor, no message of discovery, no new connection. An eventfd that is polled with the sockets tells when
//! a poll happens; it is signalled only after some work, so that an idle process does nothing for it.

use std::io;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use linestack_dispatch::types::Nanos;
use may::io::{CoIo, WaitIo};

use nix::errno::Errno;
use nix::sys::eventfd::{EfdFlags, EventFd};

use super::clock::Clock;
use crate::NANOS_PER_MS;

/// The number of steps of work after which the next poll is measured.
const STEPS_PER_SIGNAL: u32 = 64;
/// A longer time without a poll is reported in the log: new clients and answers of executors waited for as long.
const MAX_POLL_DELAY: Duration = Duration::from_millis(100);

/// The event loop, as the coroutines see it that it runs.
pub struct EventLoop {
    clock: Clock,
    /// Readable from the time at which it is signalled until the next poll.
    signal: CoIo<EventFd>,
    /// The number of steps since the last poll that was measured.
    steps: AtomicU32,
    /// When the eventfd was signalled; 0 if a poll has happened since.
    signalled_at: AtomicU64,
    longest_poll_delay: AtomicU64,
}

impl EventLoop {
    /// Registers an eventfd with the event loop.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub fn new(clock: Clock) -> io::Result<Self> {
        let signal = EventFd::from_flags(EfdFlags::EFD_NONBLOCK | EfdFlags::EFD_CLOEXEC)?;
        Ok(Self {
            clock,
            signal: CoIo::new(signal)?,
            steps: AtomicU32::new(0),
            signalled_at: AtomicU64::new(0),
            longest_poll_delay: AtomicU64::new(0),
        })
    }

    /// Counts a step of work: a bounded amount that a coroutine does without waiting.
    pub(crate) fn count_step(&self) {
        if self.signalled_at.load(Ordering::Relaxed) == 0
            && self.steps.fetch_add(1, Ordering::Relaxed) + 1 >= STEPS_PER_SIGNAL
        {
            self.signal();
        }
    }

    /// Returns the longest measured time without a poll, in nanoseconds.
    pub(crate) fn longest_poll_delay(&self) -> Nanos {
        self.longest_poll_delay.load(Ordering::Relaxed)
    }

    /// Receives the signals. Never returns.
    pub fn run(&self) {
        loop {
            self.signal.wait_io();
            if self.take_signal() {
                self.record_poll();
            }
        }
    }

    /// Makes the next poll wake [`EventLoop::run`].
    fn signal(&self) {
        let now = self.clock.now();
        if self.signalled_at.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).is_ok()
            && self.signal.inner().write(1).is_err()
        {
            self.signalled_at.store(0, Ordering::Relaxed);
        }
    }

    /// Returns whether the eventfd was signalled, and resets it.
    fn take_signal(&self) -> bool {
        loop {
            match self.signal.inner().read() {
                Ok(_) => return true,
                Err(Errno::EINTR) => {}
                Err(_) => return false,
            }
        }
    }

    fn record_poll(&self) {
        self.steps.store(0, Ordering::Relaxed);
        let signalled_at = self.signalled_at.swap(0, Ordering::Relaxed);
        let delay = self.clock.now().saturating_sub(signalled_at);
        self.longest_poll_delay.fetch_max(delay, Ordering::Relaxed);
        if delay > MAX_POLL_DELAY.as_nanos() as Nanos {
            tracing::warn!(
                after_ms = delay / NANOS_PER_MS,
                "no socket was polled while others had work to do"
            );
        }
    }
}
