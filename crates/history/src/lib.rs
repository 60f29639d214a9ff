//! Histories: what each process of a fleet did and saw, as JSON Lines. Every line stands for itself and tells
//! its form's version, so that histories of several processes can be merged by time and judged from outside.

use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Of the form. A reader refuses any other.
pub const FORMAT_VERSION: u8 = 2;
/// The longest line that a reader takes, in bytes.
pub const MAX_LINE_LENGTH: usize = 64 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub v: u8,
    /// Nanoseconds on the machine's monotonic clock, which all its processes read alike.
    pub at: u64,
    /// The process: `n3`, `c0`, `clients`, `executors`, `rig`.
    pub by: String,
    /// Tells this run of the process from earlier ones.
    pub life: u64,
    #[serde(flatten)]
    pub what: HistoryEvent,
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ended {
    Satisfied,
    Dismissed,
    Aborted,
    /// Its id was still open here; it was not taken.
    Repeated,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum HistoryEvent {
    /// A process has begun.
    Started,
    /// A node's start has come so far.
    Stage { stage: String },
    /// A node took a submission, under this version of the policy.
    Taken { id: String, version: u64 },
    /// A node turned one away because it may serve nothing.
    TurnedAway { id: String },
    /// A node handed an execution to a connection.
    Sent { id: String, version: u64 },
    /// A node gave the final answer.
    Answered { id: String, version: u64, ended: Ended },
    /// A node may serve under this version until then, on the same clock as `at`.
    Leased { version: u64, until: u64 },
    /// A node goes by this version from now on.
    Active { version: u64, digest: u32 },
    /// A node has kept a change that is not decided.
    Staged { version: u64, digest: u32 },
    /// A node can't take a change, by this key.
    Declined { version: u64, key: String },
    /// A coordinator speaks for the fleet from now on.
    Established { round: u64 },
    /// A coordinator let a member serve under a version.
    Granted { member: String, round: u64, version: u64 },
    /// A coordinator knows that a change was put before the fleet.
    Pending { request: String, version: u64 },
    /// A coordinator knows that a change was decided.
    Decided { request: String, version: u64, digest: u32 },
    /// A coordinator knows that a change will never hold, and why.
    Dropped { request: String, version: u64, why: String },
    /// An operator was told how the change ended.
    Heard { request: String, outcome: String },
    /// A client handed in a submission; `key` is what it is about.
    Asked { id: String, key: String, node: String, one_shot: bool },
    /// A client got this status.
    Told { id: String, status: u16 },
    /// A client can't know whether it was taken.
    Unknown { id: String },
    /// A client's request never got as far as being whole.
    Unsent { id: String },
    /// An executor took an execution.
    Took { id: String, key: String, executor: String },
    /// An executor dropped one that had not begun.
    Unbegun { id: String },
    /// A cold executor was handed more than it bears by all nodes together.
    PushedOver { executor: String },
    /// The rig did something to a process or a way.
    Did { deed: String, to: String },
}

impl Line {
    #[must_use]
    pub fn new(at: u64, by: &str, life: u64, what: HistoryEvent) -> Self {
        Self { v: FORMAT_VERSION, at, by: by.to_owned(), life, what }
    }

    /// Writes it, with its end, in one call.
    ///
    /// # Errors
    ///
    /// Those of the writer.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        let mut text = serde_json::to_vec(self)?;
        text.push(b'\n');
        to.write_all(&text)
    }
}

#[derive(Debug, Error)]
pub enum HistoryError {
    #[error("line {line}: {reason}")]
    InvalidLine { line: usize, reason: String },
    #[error("line {line}: form {found}, and this reads {FORMAT_VERSION}")]
    UnsupportedVersion { line: usize, found: u64 },
    #[error(transparent)]
    Io(#[from] io::Error),
}

#[derive(Deserialize)]
struct Form {
    v: u64,
}

/// Reads a history. A last line without an end was cut by a kill and is left out.
///
/// # Errors
///
/// The first line that is not understood, by its number.
pub fn read(from: &mut impl BufRead) -> Result<Vec<Line>, HistoryError> {
    let (mut lines, mut number, mut text) = (Vec::new(), 0, Vec::new());
    loop {
        text.clear();
        number += 1;
        if io::Read::take(&mut *from, MAX_LINE_LENGTH as u64).read_until(b'\n', &mut text)? == 0 {
            return Ok(lines);
        }
        if text.last() != Some(&b'\n') {
            if text.len() == MAX_LINE_LENGTH {
                return Err(HistoryError::InvalidLine {
                    line: number,
                    reason: format!("longer than {MAX_LINE_LENGTH} bytes"),
                });
            }
            return Ok(lines);
        }
        let fault = |e: serde_json::Error| HistoryError::InvalidLine { line: number, reason: e.to_string() };
        let Form { v } = serde_json::from_slice(&text).map_err(fault)?;
        if v != u64::from(FORMAT_VERSION) {
            return Err(HistoryError::UnsupportedVersion { line: number, found: v });
        }
        lines.push(serde_json::from_slice(&text).map_err(fault)?);
    }
}
