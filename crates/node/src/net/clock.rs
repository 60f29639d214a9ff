//! The node's clock, and the alarm that wakes the reducer when a timer is due.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use linestack_dispatch::types::Nanos;
use may::coroutine::{self, Coroutine};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;

use super::lock;

/// A monotonic clock that starts at the Unix time of the node's start, so that the start times of executors, which are in
/// Unix time, can be compared with it. Later changes of the system's clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The Unix time at `started_at`.
    base: Nanos,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), base: unix.as_nanos() as Nanos }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.base + self.started_at.elapsed().as_nanos() as Nanos
    }

    /// Returns by how much the system's clock has moved relative to this one since the start, in nanoseconds.
    #[must_use]
    pub fn wall_clock_shift(&self) -> i64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos;
        wall.wrapping_sub(self.now()).cast_signed()
    }
}

/// Wakes coroutines at given times, from its own thread. The timers of `may` are not used: they treat a timeout of less
/// than a millisecond as none, and lose a timeout that expires while the coroutine is still being suspended. In both
/// cases the coroutine would never be resumed, and the node's timeouts would stop working.
struct Waker {
    waiting: Mutex<BinaryHeap<Reverse<Wake>>>,
    /// Notified when a wake is added that is due before all others.
    earlier_wake: Condvar,
}

/// A coroutine to be woken at a given time.
struct Wake {
    at: Nanos,
    sleeper: Sleeper,
}

/// What a coroutine that is to be woken waits for besides.
enum Sleeper {
    /// Nothing: it is parked.
    Parked(Coroutine),
    /// An event on its socket.
    OnSocket(WaitIoWaker),
}

impl Sleeper {
    fn wake(&self) {
        match self {
            Self::Parked(coroutine) => coroutine.unpark(),
            Self::OnSocket(waker) => waker.wakeup(),
        }
    }
}

impl PartialEq for Wake {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Wake {}

impl PartialOrd for Wake {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Wake {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.cmp(&other.at)
    }
}

impl Waker {
    fn start(clock: Clock) -> Arc<Self> {
        let waker = Arc::new(Self { waiting: Mutex::default(), earlier_wake: Condvar::new() });
        let thread = Arc::clone(&waker);
        std::thread::spawn(move || thread.run(clock));
        waker
    }

    fn run(&self, clock: Clock) {
        let mut waiting = lock(&self.waiting);
        loop {
            let now = clock.now();
            while waiting.peek().is_some_and(|Reverse(wake)| wake.at <= now) {
                if let Some(Reverse(wake)) = waiting.pop() {
                    wake.sleeper.wake();
                }
            }
            let wait = waiting.peek().map_or(MAX_WAIT, |Reverse(wake)| Duration::from_nanos(wake.at - now));
            let woken = self.earlier_wake.wait_timeout(waiting, wait.min(MAX_WAIT));
            waiting = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn schedule(&self, at: Nanos, sleeper: Sleeper) {
        let mut waiting = lock(&self.waiting);
        let earliest = waiting.peek().is_none_or(|Reverse(wake)| at < wake.at);
        waiting.push(Reverse(Wake { at, sleeper }));
        if earliest {
            self.earlier_wake.notify_one();
        }
    }
}

/// The longest that the waker's thread waits at a time.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Wakes the coroutine that runs the reducer's timers when one is due.
pub struct Alarm {
    clock: Clock,
    state: Mutex<AlarmState>,
    /// The coroutine that runs the reducer's timers, once it has called [`Alarm::wait`].
    timer_coroutine: OnceLock<Coroutine>,
    waker: Arc<Waker>,
}

struct AlarmState {
    /// When the next timer is due.
    due: Nanos,
    /// The earliest time for which a wake is scheduled; `Nanos::MAX` if there is none in the future.
    scheduled: Nanos,
}

impl Alarm {
    /// Creates an alarm and starts its thread.
    #[must_use]
    pub fn start(clock: Clock) -> Self {
        let state = Mutex::new(AlarmState { due: 0, scheduled: Nanos::MAX });
        Self { clock, state, timer_coroutine: OnceLock::new(), waker: Waker::start(clock) }
    }

    /// Sets the time at which the next timer is due.
    pub fn set(&self, due: Nanos) {
        let mut state = lock(&self.state);
        state.due = due;
        self.schedule_wake(&mut state);
    }

    fn schedule_wake(&self, state: &mut AlarmState) {
        if state.due < state.scheduled
            && let Some(coroutine) = self.timer_coroutine.get()
        {
            state.scheduled = state.due;
            self.waker.schedule(state.due, Sleeper::Parked(coroutine.clone()));
        }
    }

    /// Waits until a timer is due. Only one coroutine may wait here.
    pub fn wait(&self) {
        self.timer_coroutine.get_or_init(coroutine::current);
        while !self.is_due() {
            coroutine::park();
        }
    }

    fn is_due(&self) -> bool {
        let (mut state, now) = (lock(&self.state), self.clock.now());
        if state.scheduled <= now {
            state.scheduled = Nanos::MAX;
        }
        if state.due > now {
            self.schedule_wake(&mut state);
        }
        state.due <= now
    }

    /// Ends the wait for an event on this socket at a given time, if it lasts until then.
    pub fn wake_socket_at(&self, at: Nanos, socket: &TcpStream) {
        self.waker.schedule(at, Sleeper::OnSocket(socket.waker()));
    }

    /// Suspends the calling coroutine for a time.
    pub fn sleep(&self, duration: Duration) {
        let until = self.clock.now() + duration.as_nanos() as Nanos;
        self.waker.schedule(until, Sleeper::Parked(coroutine::current()));
        park_until(|| self.clock.now() >= until);
    }
}

/// Parks the calling coroutine until a wake after which `condition` holds.
pub(super) fn park_until(condition: impl Fn() -> bool) {
    while !condition() {
        coroutine::park();
    }
    // If the wake occurs while `may` is parking the coroutine, `may` resumes the coroutine from within its own call of
    // `park`. If the coroutine ended there, that call would wait for itself, and no coroutine would run any more. After a
    // yield the coroutine runs from the scheduler's queue instead.
    coroutine::yield_now();
}
