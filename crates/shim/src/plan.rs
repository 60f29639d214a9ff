//! The plan: which calls fail, how often, when, and with which error.
//!
//! It is the text of the environment variable `LINESTACK_SHIM`, which consists of rules separated by semicolons:
//!
//! ```text
//! seed=7; connect=0.5:EADDRNOTAVAIL,ENETUNREACH@0..500; short=0.3; clock=-3600000@2000; log=/tmp/faults
//! ```
//!
//! A rule has a call, the fraction of these calls that fail, the errors to draw from, and, after `@`, its start and end
//! in milliseconds since the start of the process; without an end the rule stays active. `clock` steps the wall clock
//! by a number of milliseconds at a given time. An invalid plan terminates the process, since otherwise a test could
//! pass because no call failed.

use std::ffi::CString;

/// A system call, or a group of calls that fail in the same way. The names of the variants appear in the log.
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
    /// Reads of a socket that fail but leave it usable, as with EINTR.
    Read,
    /// Writes to a socket that fail but leave it usable, as with EINTR.
    Write,
    /// Reads and writes of a socket that transfer only a part of the bytes.
    Short,
    /// Broken connections: from the first failure on, every read and write of the socket fails.
    Broken,
    /// `open` of a file for reading.
    Open,
    /// Writes to a regular file.
    FileWrite,
    /// `fsync`, `fdatasync`.
    Sync,
}

/// A rule by which calls fail.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The calls that fail.
    pub call: Call,
    /// The fraction of the calls that fail.
    pub rate: f64,
    /// The errors, one of which is drawn for each failure.
    pub errors: Vec<i32>,
    /// The start of the rule, in nanoseconds since the start of the process.
    pub from: u64,
    /// The end of the rule (exclusive), in nanoseconds since the start of the process.
    pub until: u64,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockStep {
    /// The time of the step, in nanoseconds since the start of the process.
    pub at: u64,
    /// The size of the step, in nanoseconds.
    pub by: i64,
}

/// The failures of one process.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The seed of the random draws.
    pub seed: u64,
    /// The rules by which calls fail.
    pub rules: Vec<Rule>,
    /// The steps of the wall clock.
    pub steps: Vec<ClockStep>,
    /// The file in which each failure is logged, one a line.
    pub log: Option<CString>,
}

const NANOS_PER_MS: f64 = 1e6;

impl Plan {
    /// Parses a plan.
    ///
    /// # Errors
    ///
    /// The text of the first invalid rule.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut plan = Self::default();
        for rule in text.split(';').map(str::trim).filter(|rule| !rule.is_empty()) {
            plan.add_rule(rule).ok_or_else(|| rule.to_owned())?;
        }
        Ok(plan)
    }

    fn add_rule(&mut self, rule: &str) -> Option<()> {
        let (key, value) = rule.split_once('=')?;
        match key.trim() {
            "seed" => self.seed = value.trim().parse().ok()?,
            "log" => self.log = Some(CString::new(value.trim()).ok()?),
            "clock" => self.steps.push(parse_step(value)?),
            key => self.rules.push(parse_rule(parse_call(key)?, value)?),
        }
        Some(())
    }
}

/// Parses a number of milliseconds and returns it in nanoseconds.
fn parse_millis(text: &str) -> Option<u64> {
    let millis: f64 = text.trim().parse().ok()?;
    (millis >= 0.0).then_some((millis * NANOS_PER_MS) as u64)
}

/// Parses the value of `clock`: the size of the step, and its time after `@`.
fn parse_step(value: &str) -> Option<ClockStep> {
    let (size, at) = value.split_once('@').unwrap_or((value, "0"));
    let size: f64 = size.trim().parse().ok()?;
    Some(ClockStep { at: parse_millis(at)?, by: (size * NANOS_PER_MS) as i64 })
}

/// Parses the value of a rule: the rate, the errors after `:`, and the start and end after `@`.
fn parse_rule(call: Call, value: &str) -> Option<Rule> {
    let (failure, period) = value.split_once('@').unwrap_or((value, "0.."));
    let (from, until) = period.split_once("..")?;
    let until = if until.trim().is_empty() { u64::MAX } else { parse_millis(until)? };
    let (rate, errors) = failure.split_once(':').unwrap_or((failure, ""));
    let rate: f64 = rate.trim().parse().ok()?;
    let error_names = errors.split(',').map(str::trim).filter(|name| !name.is_empty());
    let errors = error_names.map(parse_errno).collect::<Option<Vec<i32>>>()?;
    let errors = if errors.is_empty() { default_errors(call) } else { errors };
    (0.0..=1.0).contains(&rate).then_some(Rule { call, rate, errors, from: parse_millis(from)?, until })
}

fn parse_call(key: &str) -> Option<Call> {
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

/// Returns the errors that are drawn if the rule names none.
fn default_errors(call: Call) -> Vec<i32> {
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

fn parse_errno(name: &str) -> Option<i32> {
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
