//! Draws the failures of calls from the plan's seed.

use std::cell::Cell;
use std::ffi::CStr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::plan::{Call, ClockStep, Plan};

/// The largest number of failures that are logged; later ones are not.
const MAX_LOGGED_FAILURES: u64 = 10_000;
const NANOS_PER_S: i64 = 1_000_000_000;
const NANOS_PER_MS: u64 = 1_000_000;
/// The exit code of a process whose plan is invalid.
const EXIT_INVALID_PLAN: i32 = 97;

/// The plan of this process and the state of its execution.
pub struct Faults {
    plan: Plan,
    /// The time of the first intercepted call, which counts as the start of the process, in nanoseconds of the monotonic
    /// clock.
    started_at: u64,
    /// The number of random draws so far.
    draws: AtomicU64,
    /// The number of failures so far, including those beyond the limit of the log. Without a log they are not counted.
    failures: AtomicU64,
    /// The descriptor of the log, negative if there is none.
    log: i32,
}

thread_local! {
    /// Whether this thread is inside this library. The library's own calls never fail.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

impl Faults {
    /// Returns the faults of this process, or `None` if it has no plan.
    pub fn get() -> Option<&'static Self> {
        static FAULTS: OnceLock<Option<Faults>> = OnceLock::new();
        FAULTS.get_or_init(Self::from_environment).as_ref()
    }

    fn from_environment() -> Option<Self> {
        // SAFETY: the name ends in a zero byte, and the environment is not changed by the programs under test.
        let text = unsafe { libc::getenv(c"LINESTACK_SHIM".as_ptr()) };
        if text.is_null() {
            return None;
        }
        // SAFETY: the string that getenv returns ends in a zero byte and stays valid.
        let text = unsafe { CStr::from_ptr(text) }.to_str().unwrap_or("?");
        let plan = Plan::parse(text).unwrap_or_else(|_| {
            // SAFETY: _exit terminates the process immediately and has no preconditions.
            unsafe { libc::_exit(EXIT_INVALID_PLAN) }
        });
        let log = plan.log.as_ref().map_or(-1, |path| {
            let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
            // SAFETY: the path ends in a zero byte.
            unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644) as i32 }
        });
        let started_at = monotonic_now();
        Some(Self { plan, started_at, draws: AtomicU64::new(0), failures: AtomicU64::new(0), log })
    }

    /// Draws whether this call fails. Returns its error if it does.
    pub fn draw_error(&self, call: Call) -> Option<i32> {
        let elapsed = monotonic_now().saturating_sub(self.started_at);
        let mut rules =
            self.plan.rules.iter().filter(|r| r.call == call && (r.from..r.until).contains(&elapsed));
        let rule = rules.find(|rule| self.random_fraction() < rule.rate)?;
        let index = (self.random_fraction() * rule.errors.len() as f64) as usize;
        let error = rule.errors.get(index).copied().unwrap_or(libc::EINTR);
        self.log_failure(elapsed, call, error);
        Some(error)
    }

    /// Draws a part of a length, at least 1.
    pub fn draw_length(&self, length: usize) -> usize {
        1 + (self.random_fraction() * length.saturating_sub(1) as f64) as usize
    }

    /// Returns the current offset of the wall clock, in nanoseconds.
    pub fn clock_offset(&self) -> i64 {
        let elapsed = monotonic_now().saturating_sub(self.started_at);
        let past_steps = self.plan.steps.iter().filter(|ClockStep { at, .. }| *at <= elapsed);
        past_steps.map(|step| step.by).sum()
    }

    /// Returns a random number from 0 to 1 (exclusive), by splitmix64 over the seed and the number of draws.
    fn random_fraction(&self) -> f64 {
        let count = self.draws.fetch_add(1, Ordering::Relaxed);
        let mut z = self.plan.seed.wrapping_add(count.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Writes a line with the time in milliseconds, the name of the call and the number of the error.
    fn log_failure(&self, elapsed: u64, call: Call, error: i32) {
        if self.log < 0 || self.failures.fetch_add(1, Ordering::Relaxed) >= MAX_LOGGED_FAILURES {
            return;
        }
        let line = format!("{} {call:?} {error}\n", elapsed / NANOS_PER_MS);
        // SAFETY: the line outlives the call.
        unsafe { libc::syscall(libc::SYS_write, self.log, line.as_ptr(), line.len()) };
    }
}

/// Calls a function with the faults of this process. Returns `None` without a plan, or if this thread is already inside
/// the library.
pub fn with_faults<T>(function: impl FnOnce(&'static Faults) -> Option<T>) -> Option<T> {
    if INSIDE.get() {
        return None;
    }
    INSIDE.set(true);
    let result = Faults::get().and_then(function);
    INSIDE.set(false);
    result
}

/// Returns the time on the monotonic clock, in nanoseconds.
fn monotonic_now() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a timespec of this frame.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    (now.tv_sec * NANOS_PER_S + now.tv_nsec).unsigned_abs()
}

/// Adds a number of nanoseconds to a time.
pub fn shift_time(time: libc::timespec, by: i64) -> libc::timespec {
    let nanos = time.tv_sec * NANOS_PER_S + time.tv_nsec + by;
    libc::timespec { tv_sec: nanos.div_euclid(NANOS_PER_S), tv_nsec: nanos.rem_euclid(NANOS_PER_S) }
}
