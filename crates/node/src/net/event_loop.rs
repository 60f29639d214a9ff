//! Shares the event loop among the coroutines, so that its sockets are polled at short intervals however much there is to do.
//!
//! The scheduler of `may` polls its sockets only when no coroutine can run. While one always can, no event is received: no
//! answer of an executor, no message of discovery, no new connection. So whoever has more to do waits for the next poll:
//! after a burst of its own, and once the last poll is too long ago. Those that wait are resumed after the events that the
//! poll has found, in the order in which they began to wait.
//!
//! An eventfd that is polled with the sockets tells when a poll happens. It is signalled only after some work, or when a
//! coroutine waits, so that an idle process does nothing for it.

use std::collections::VecDeque;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use linestack_dispatch::types::Nanos;
use may::coroutine::{self, Coroutine};
use may::io::{CoIo, WaitIo};
use nix::errno::Errno;
use nix::sys::eventfd::{EfdFlags, EventFd};

use super::clock::{Clock, park_until};
use super::lock;
use crate::NANOS_PER_MS;

/// The number of steps of work after which the next poll is requested.
const STEPS_PER_SIGNAL: u32 = 64;
/// The bytes that are as much work as a step: a few requests, or lines of a response.
const BYTES_PER_STEP: usize = 1024;
/// The time from the request of a poll for which work goes on, and the time after a poll for which turns are granted.
const ROUND_NS: Nanos = 2 * NANOS_PER_MS;
/// A longer time without a poll is reported in the log: new clients and answers of executors waited for as long.
const MAX_POLL_DELAY: Duration = Duration::from_millis(100);

/// The order in which coroutines continue after a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Timers, executors, discovery, answers that are owed, and the next request of a client that had nothing to do: all
    /// continue after each poll.
    High,
    /// Further requests of clients, and executors that send much: they continue in turn, for as long as the round lasts.
    Normal,
}

/// The coroutines of one priority that wait for a poll, the first one in front.
#[derive(Default)]
struct WaitQueue {
    coroutines: VecDeque<Coroutine>,
    /// The ticket of the first one. Tickets are numbers in the order of arrival.
    first_ticket: u64,
}

impl WaitQueue {
    /// Adds a coroutine and returns its ticket.
    fn push(&mut self, coroutine: Coroutine) -> u64 {
        self.coroutines.push_back(coroutine);
        self.first_ticket + self.coroutines.len() as u64 - 1
    }

    /// Removes the first coroutine, which may continue.
    fn pop(&mut self) -> Option<Coroutine> {
        let coroutine = self.coroutines.pop_front()?;
        self.first_ticket += 1;
        Some(coroutine)
    }

    fn is_waiting(&self, ticket: u64) -> bool {
        ticket >= self.first_ticket
    }
}

/// The event loop, as the coroutines see it that it runs.
pub struct EventLoop {
    clock: Clock,
    /// Readable from the time at which it is signalled until the next poll.
    signal: CoIo<EventFd>,
    /// The number of steps since the last poll that was observed.
    steps: AtomicU32,
    /// When the eventfd was signalled; 0 if a poll has been observed since.
    signalled_at: AtomicU64,
    high: Mutex<WaitQueue>,
    normal: Mutex<WaitQueue>,
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
            high: Mutex::default(),
            normal: Mutex::default(),
            longest_poll_delay: AtomicU64::new(0),
        })
    }

    /// Called by a coroutine before each step of work: a bounded amount that it does without waiting. Waits for a poll if
    /// one is due.
    pub(crate) fn begin_step(&self, priority: Priority) {
        if self.is_poll_due() {
            self.wait_for_poll(priority);
        }
    }

    /// Counts bytes that were received, each [`BYTES_PER_STEP`] of which are as much work as a step.
    pub(crate) fn count_received(&self, length: usize) {
        let steps = u32::try_from(length / BYTES_PER_STEP).unwrap_or(STEPS_PER_SIGNAL);
        self.steps.fetch_add(steps, Ordering::Relaxed);
    }

    /// Suspends the calling coroutine until the sockets have been polled and it is its turn.
    pub(crate) fn wait_for_poll(&self, priority: Priority) {
        let queue = self.queue(priority);
        let ticket = lock(queue).push(coroutine::current());
        self.request_poll();
        park_until(|| !lock(queue).is_waiting(ticket));
    }

    /// Returns the longest observed time without a poll, in nanoseconds.
    pub(crate) fn longest_poll_delay(&self) -> Nanos {
        self.longest_poll_delay.load(Ordering::Relaxed)
    }

    /// Resumes the coroutines that wait, after each poll that was requested. Never returns.
    pub fn run(&self) {
        loop {
            self.signal.wait_io();
            if self.take_signal() {
                self.record_poll();
                self.grant_turns();
            }
        }
    }

    fn queue(&self, priority: Priority) -> &Mutex<WaitQueue> {
        match priority {
            Priority::High => &self.high,
            Priority::Normal => &self.normal,
        }
    }

    /// Counts a step. Returns whether the sockets must be polled before it.
    fn is_poll_due(&self) -> bool {
        let signalled_at = self.signalled_at.load(Ordering::Relaxed);
        if signalled_at > 0 {
            return self.clock.now().saturating_sub(signalled_at) >= ROUND_NS;
        }
        if self.steps.fetch_add(1, Ordering::Relaxed) + 1 >= STEPS_PER_SIGNAL {
            self.request_poll();
        }
        false
    }

    /// Makes the next poll wake [`EventLoop::run`].
    fn request_poll(&self) {
        let now = self.clock.now();
        if self.signalled_at.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).is_err() {
            return;
        }
        // An eventfd that is reset at each signal is always writable.
        while self.signal.inner().write(1) == Err(Errno::EINTR) {}
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

    /// Resumes all coroutines of high priority that wait, and one after the other of the rest until the round is over.
    fn grant_turns(&self) {
        let round_end = self.clock.now() + ROUND_NS;
        while let Some(coroutine) = { lock(&self.high).pop() } {
            coroutine.unpark();
        }
        let turns = lock(&self.normal).coroutines.len();
        for _ in 0..turns {
            if let Some(coroutine) = { lock(&self.normal).pop() } {
                coroutine.unpark();
            }
            // The resumed coroutine runs meanwhile.
            coroutine::yield_now();
            if self.clock.now() >= round_end {
                break;
            }
        }
        if self.has_waiting() {
            self.request_poll();
        }
    }

    fn has_waiting(&self) -> bool {
        [&self.high, &self.normal].into_iter().any(|queue| !lock(queue).coroutines.is_empty())
    }
}
