//! One clock, and the alarm that wakes the reducer when something is due.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use linestack_dispatch::types::Nanos;
use may::coroutine::{self, Coroutine};

/// Goes on evenly from the system's time at the start, so that an executor's start, told in Unix time,
/// is a time on it. What happens to the system's clock later does not touch it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    from: Instant,
    base: Nanos,
}

impl Clock {
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { from: Instant::now(), base: unix.as_nanos() as Nanos }
    }

    #[must_use]
    pub fn now(&self) -> Nanos {
        self.base + self.from.elapsed().as_nanos() as Nanos
    }
}

/// The longest sleep, and the step in which sleeps are counted: may keeps a list for each length.
const LONGEST: Duration = Duration::from_secs(1);
const STEP: Nanos = 250_000;

#[derive(Default)]
pub struct Alarm {
    due: AtomicU64,
    sleeper: OnceLock<Coroutine>,
}

impl Alarm {
    /// Something is due then, and nothing earlier.
    pub fn set(&self, due: Nanos) {
        let before = self.due.swap(due, Ordering::AcqRel);
        if due < before
            && let Some(sleeper) = self.sleeper.get()
        {
            sleeper.unpark();
        }
    }

    /// Waits until it is due. Only one coroutine may wait.
    pub fn wait(&self, clock: &Clock) {
        self.sleeper.get_or_init(coroutine::current);
        loop {
            let left = self.due.load(Ordering::Acquire).saturating_sub(clock.now());
            if left == 0 {
                return;
            }
            let left = Duration::from_nanos(left.div_ceil(STEP).saturating_mul(STEP));
            coroutine::park_timeout(left.min(LONGEST));
            // A time-out resumes the coroutine on may's timer thread; this brings it back to the worker.
            coroutine::yield_now();
        }
    }
}
