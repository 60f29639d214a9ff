//! The plan: which calls fail, how often, when, and with what.
//!
//! It is text in the environment variable `LINESTACK_SHIM`, rules separated by semicolons:
//!
//! ```text
//! seed=7; connect=0.5:EADDRNOTAVAIL,ENETUNREACH@0..500; short=0.3; clock=-3600000@2000; log=/tmp/faults
//! ```
//!
//! A rule names a call, the part of its calls that fail, the errors to draw from, and, after `@`, from when to when in
//! milliseconds since the process began; without an end it lasts. `clock` steps the wall clock by so many milliseconds at
//! a time. A plan that is not understood ends the process: a test must not pass because nothing failed.

use std::ffi::CString;

/// A system call, or a group of calls that fail alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept`, `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `epoll_wait`: fails with EINTR.
    Wait,
    /// Reads of a socket that fail without harm to it, as with EINTR.
    Read,
    /// Writes to a socket, likewise.
    Write,
    /// Reads and writes of a socket that carry a part of what they could.
    Short,
    /// Connections that break: from then on every read and write of the socket fails.
    Broken,
    /// `open` of a file for reading.
    Open,
    /// Writes to a regular file.
    FileWrite,
    /// `fsync`, `fdatasync`.
    Sync,
}

/// One kind of failure.
#[derive(Clone, Debug)]
pub struct Rule {
    /// What fails.
    pub call: Call,
    /// How many of its calls do, as a part of all.
    pub rate: f64,
    /// One of these is drawn.
    pub errors: Vec<i32>,
    /// From then on, in nanoseconds since the process began,
    pub from: u64,
    /// and until then.
    pub until: u64,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// When, in nanoseconds since the process began.
    pub at: u64,
    /// By how many nanoseconds.
    pub by: i64,
}

/// All that fails in one process.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Of the draws.
    pub seed: u64,
    /// What fails.
    pub rules: Vec<Rule>,
    /// How the wall clock moves.
    pub steps: Vec<Step>,
    /// Each failure is told in this file, a line each.
    pub log: Option<CString>,
}

const NANOS_PER_MS: f64 = 1e6;

impl Plan {
    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// The rule that is not understood.
    pub fn read(text: &str) -> Result<Self, String> {
        let mut plan = Self::default();
        for rule in text.split(';').map(str::trim).filter(|rule| !rule.is_empty()) {
            plan.add(rule).ok_or_else(|| rule.to_owned())?;
        }
        Ok(plan)
    }

    fn add(&mut self, rule: &str) -> Option<()> {
        let (key, value) = rule.split_once('=')?;
        match key.trim() {
            "seed" => self.seed = value.trim().parse().ok()?,
            "log" => self.log = Some(CString::new(value.trim()).ok()?),
            "clock" => self.steps.push(step(value)?),
            key => self.rules.push(rule_of(call(key)?, value)?),
        }
        Some(())
    }
}

fn millis(text: &str) -> Option<u64> {
    let millis: f64 = text.trim().parse().ok()?;
    (millis >= 0.0).then_some((millis * NANOS_PER_MS) as u64)
}

fn step(value: &str) -> Option<Step> {
    let (by, at) = value.split_once('@').unwrap_or((value, "0"));
    let by: f64 = by.trim().parse().ok()?;
    Some(Step { at: millis(at)?, by: (by * NANOS_PER_MS) as i64 })
}

fn rule_of(call: Call, value: &str) -> Option<Rule> {
    let (what, when) = value.split_once('@').unwrap_or((value, "0.."));
    let (from, until) = when.split_once("..")?;
    let until = if until.trim().is_empty() { u64::MAX } else { millis(until)? };
    let (rate, errors) = what.split_once(':').unwrap_or((what, ""));
    let rate: f64 = rate.trim().parse().ok()?;
    let named = errors.split(',').map(str::trim).filter(|name| !name.is_empty());
    let errors = named.map(errno).collect::<Option<Vec<i32>>>()?;
    let errors = if errors.is_empty() { usual(call) } else { errors };
    (0.0..=1.0).contains(&rate).then_some(Rule { call, rate, errors, from: millis(from)?, until })
}

fn call(key: &str) -> Option<Call> {
    Some(match key {
        "accept" => Call::Accept,
        "socket" => Call::Socket,
        "connect" => Call::Connect,
        "wait" => Call::Wait,
        "read" => Call::Read,
        "write" => Call::Write,
        "short" => Call::Short,
        "broken" => Call::Broken,
        "open" => Call::Open,
        "file-write" => Call::FileWrite,
        "sync" => Call::Sync,
        _ => return None,
    })
}

/// The errors that a call fails with where a plan names none.
fn usual(call: Call) -> Vec<i32> {
    match call {
        Call::Accept => vec![libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS],
        Call::Socket => vec![libc::ENFILE, libc::ENOBUFS],
        Call::Connect => vec![libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS],
        Call::Wait | Call::Read | Call::Write | Call::Short => vec![libc::EINTR],
        Call::Broken => vec![libc::ETIMEDOUT, libc::EHOSTUNREACH],
        Call::Open => vec![libc::ENFILE],
        Call::FileWrite => vec![libc::ENOSPC, libc::EIO],
        Call::Sync => vec![libc::EIO],
    }
}

fn errno(name: &str) -> Option<i32> {
    Some(match name {
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "EAGAIN" => libc::EAGAIN,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "EINTR" => libc::EINTR,
        "EIO" => libc::EIO,
        "EMFILE" => libc::EMFILE,
        "ENETUNREACH" => libc::ENETUNREACH,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "ENOSPC" => libc::ENOSPC,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        _ => return None,
    })
}
