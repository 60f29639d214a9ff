//! Whether a call fails now, drawn from the plan's seed.

use std::cell::Cell;
use std::ffi::CStr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::plan::{Call, Plan, Step};

/// Failures that are told in the log at most.
const TOLD: u64 = 10_000;
const NANOS_PER_S: i64 = 1_000_000_000;
const EXIT_BAD_PLAN: i32 = 97;

/// The plan of this process, and what is counted by it.
pub struct Faults {
    plan: Plan,
    begun: u64,
    draws: AtomicU64,
    told: AtomicU64,
    log: i32,
}

thread_local! {
    /// The library's own calls, made while it looks at one of the program's, are passed on.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

impl Faults {
    /// Those of this process; none without a plan.
    pub fn get() -> Option<&'static Self> {
        static FAULTS: OnceLock<Option<Faults>> = OnceLock::new();
        FAULTS.get_or_init(Self::begin).as_ref()
    }

    fn begin() -> Option<Self> {
        // SAFETY: the name ends in a zero byte, and the environment is not changed by the programs under test.
        let text = unsafe { libc::getenv(c"LINESTACK_SHIM".as_ptr()) };
        if text.is_null() {
            return None;
        }
        // SAFETY: what getenv returns ends in a zero byte and stays.
        let text = unsafe { CStr::from_ptr(text) }.to_str().unwrap_or("?");
        let plan = Plan::read(text).unwrap_or_else(|_| {
            // SAFETY: ends the process at once, whatever else goes on in it.
            unsafe { libc::_exit(EXIT_BAD_PLAN) }
        });
        let log = plan.log.as_ref().map_or(-1, |path| {
            let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
            // SAFETY: the path ends in a zero byte.
            unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644) as i32 }
        });
        let begun = monotonic();
        Some(Self { plan, begun, draws: AtomicU64::new(0), told: AtomicU64::new(0), log })
    }

    /// The error with which this call fails, if it does.
    pub fn error(&self, call: Call) -> Option<i32> {
        let age = monotonic().saturating_sub(self.begun);
        let mut rules = self.plan.rules.iter().filter(|r| r.call == call && (r.from..r.until).contains(&age));
        let rule = rules.find(|rule| self.chance() < rule.rate)?;
        let place = (self.chance() * rule.errors.len() as f64) as usize;
        let error = rule.errors.get(place).copied().unwrap_or(libc::EINTR);
        self.tell(age, call, error);
        Some(error)
    }

    /// A part of a length, one at least.
    pub fn part(&self, length: usize) -> usize {
        1 + (self.chance() * length.saturating_sub(1) as f64) as usize
    }

    /// By how much the wall clock is off now, in nanoseconds.
    pub fn clock_offset(&self) -> i64 {
        let age = monotonic().saturating_sub(self.begun);
        let passed = self.plan.steps.iter().filter(|Step { at, .. }| *at <= age);
        passed.map(|step| step.by).sum()
    }

    /// From 0 to 1, by splitmix64 over the seed and a count.
    fn chance(&self) -> f64 {
        let count = self.draws.fetch_add(1, Ordering::Relaxed);
        let mut z = self.plan.seed.wrapping_add(count.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn tell(&self, age: u64, call: Call, error: i32) {
        if self.log < 0 || self.told.fetch_add(1, Ordering::Relaxed) >= TOLD {
            return;
        }
        let line = format!("{} {call:?} {error}\n", age / 1_000_000);
        // SAFETY: the line outlives the call.
        unsafe { libc::syscall(libc::SYS_write, self.log, line.as_ptr(), line.len()) };
    }
}

/// Does something unless the library is at work in this thread already.
pub fn outside<T>(work: impl FnOnce(&'static Faults) -> Option<T>) -> Option<T> {
    if INSIDE.get() {
        return None;
    }
    INSIDE.set(true);
    let done = Faults::get().and_then(work);
    INSIDE.set(false);
    done
}

fn monotonic() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a timespec of this frame.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    (now.tv_sec * NANOS_PER_S + now.tv_nsec).unsigned_abs()
}

/// Moves a time by so many nanoseconds.
pub fn moved(time: libc::timespec, by: i64) -> libc::timespec {
    let nanos = time.tv_sec * NANOS_PER_S + time.tv_nsec + by;
    libc::timespec { tv_sec: nanos.div_euclid(NANOS_PER_S), tv_nsec: nanos.rem_euclid(NANOS_PER_S) }
}
