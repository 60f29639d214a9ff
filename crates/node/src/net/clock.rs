//! One clock, and the alarm that wakes the reducer when something is due.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use linestack_dispatch::types::Nanos;
use may::coroutine::{self, Coroutine};

use super::lock;

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

    /// By how much the system's clock has moved against this one since the start, in nanoseconds.
    #[must_use]
    pub fn wall_moved(&self) -> i64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos;
        wall.wrapping_sub(self.now()).cast_signed()
    }
}

/// Wakes coroutines at their times, from a thread of its own. may's own timers won't do: it counts a wait
/// of under a millisecond as one without an end, and one that runs out while the coroutine is still being
/// put to sleep is lost. Both ways nothing would ever be given up again.
struct Waker {
    waiting: Mutex<BinaryHeap<Reverse<Wake>>>,
    sooner: Condvar,
}

struct Wake {
    at: Nanos,
    sleeper: Coroutine,
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
        let waker = Arc::new(Self { waiting: Mutex::default(), sooner: Condvar::new() });
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
                    wake.sleeper.unpark();
                }
            }
            let wait = waiting.peek().map_or(LONGEST, |Reverse(wake)| Duration::from_nanos(wake.at - now));
            let woken = self.sooner.wait_timeout(waiting, wait.min(LONGEST));
            waiting = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn wake(&self, at: Nanos, sleeper: Coroutine) {
        let mut waiting = lock(&self.waiting);
        let sooner = waiting.peek().is_none_or(|Reverse(wake)| at < wake.at);
        waiting.push(Reverse(Wake { at, sleeper }));
        if sooner {
            self.sooner.notify_one();
        }
    }
}

const LONGEST: Duration = Duration::from_secs(60);

/// Rings when the reducer has something due.
pub struct Alarm {
    clock: Clock,
    set: Mutex<Set>,
    sleeper: OnceLock<Coroutine>,
    waker: Arc<Waker>,
}

struct Set {
    due: Nanos,
    /// The earliest time for which a wake has been asked and has not come.
    asked: Nanos,
}

impl Alarm {
    #[must_use]
    pub fn start(clock: Clock) -> Self {
        let set = Mutex::new(Set { due: 0, asked: Nanos::MAX });
        Self { clock, set, sleeper: OnceLock::new(), waker: Waker::start(clock) }
    }

    /// Something is due then, and nothing earlier.
    pub fn set(&self, due: Nanos) {
        let mut set = lock(&self.set);
        set.due = due;
        self.ask(&mut set);
    }

    fn ask(&self, set: &mut Set) {
        if set.due < set.asked
            && let Some(sleeper) = self.sleeper.get()
        {
            set.asked = set.due;
            self.waker.wake(set.due, sleeper.clone());
        }
    }

    /// Waits until something is due. Only one coroutine may wait here.
    pub fn wait(&self) {
        self.sleeper.get_or_init(coroutine::current);
        while !self.is_due() {
            coroutine::park();
        }
    }

    fn is_due(&self) -> bool {
        let (mut set, now) = (lock(&self.set), self.clock.now());
        if set.asked <= now {
            set.asked = Nanos::MAX;
        }
        if set.due > now {
            self.ask(&mut set);
        }
        set.due <= now
    }

    /// Lets the calling coroutine sleep.
    pub fn sleep(&self, span: Duration) {
        let until = self.clock.now() + span.as_nanos() as Nanos;
        self.waker.wake(until, coroutine::current());
        while self.clock.now() < until {
            coroutine::park();
        }
        // A wake that comes while may puts a coroutine to sleep is answered by running it from within its own
        // park. If it ended there, its park would wait for itself to be over, and no coroutine would run any
        // more. Once it has given way it runs from the queue.
        coroutine::yield_now();
    }
}
