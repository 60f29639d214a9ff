//! Histories: audit logs of the events that each process of a fleet caused and observed, as JSON Lines. Every line is
//! complete in itself and contains the format version, so that the histories of several processes can be merged by time
//! and checked by another program.

use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the format. A reader rejects any other version.
pub const FORMAT_VERSION: u8 = 2;
/// The longest line that a reader accepts, in bytes.
pub const MAX_LINE_LENGTH: usize = 64 * 1024;

/// One line of a history: an event with its time and process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The format version.
    pub v: u8,
    /// The time in nanoseconds on the machine's monotonic clock, which is the same for all processes of the machine.
    pub at: u64,
    /// The name of the process: a node (`n3`), a coordinator (`c0`), an `operator`, or the `rig` that tests them, with its
    /// `clients` and `executors`.
    pub by: String,
    /// A number that distinguishes this run of the process from earlier runs.
    pub life: u64,
    /// The event.
    #[serde(flatten)]
    pub what: HistoryEvent,
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ended {
    /// Answered with the result of an execution.
    Satisfied,
    /// Answered with the promise that a retry is harmless.
    Dismissed,
    /// Answered without that promise.
    Aborted,
    /// Rejected because a submission with the same id was still open at this node.
    Repeated,
}

/// An event that a process caused or observed.
///
/// `id` identifies a submission; a retry is another submission. `version` identifies a version of the policy, `digest` its
/// text, and `request` a change of the policy that an operator requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum HistoryEvent {
    /// A process started.
    Started,
    /// A node reached the stage of its start that has this name.
    Stage { stage: String },
    /// A node accepted a submission under this version of the policy.
    Taken { id: String, version: u64 },
    /// A node rejected a submission because it is not allowed to serve under any version.
    TurnedAway { id: String },
    /// A node passed an execution to a connection.
    Sent { id: String, version: u64 },
    /// A node gave the final answer to a submission.
    Answered { id: String, version: u64, ended: Ended },
    /// A node's lease allows it to serve under this version until the time `until`, on the same clock as `at`.
    Leased { version: u64, until: u64 },
    /// A node activated this version of the policy.
    Active { version: u64, digest: u32 },
    /// A node persisted a change that is not decided yet.
    Staged { version: u64, digest: u32 },
    /// A node can't apply a change because of this key.
    Declined { version: u64, key: String },
    /// A coordinator became the leader in this round of the consensus protocol.
    Established { round: u64 },
    /// A coordinator granted a member a lease under a version.
    Granted { member: String, round: u64, version: u64 },
    /// A coordinator learned that a change was proposed to the fleet.
    Pending { request: String, version: u64 },
    /// A coordinator learned that a change was decided.
    Decided { request: String, version: u64, digest: u32 },
    /// A coordinator learned that a change will never take effect, with the reason.
    Dropped { request: String, version: u64, why: String },
    /// An operator received the outcome of a change.
    Heard { request: String, outcome: String },
    /// A client sent a submission. `key` identifies its work and is the same in a retry.
    Asked { id: String, key: String, node: String, one_shot: bool },
    /// A client received this status.
    Told { id: String, status: u16 },
    /// A client has sent a submission but received no status, so it can't know whether the submission was accepted.
    Unknown { id: String },
    /// A client has not sent its request completely, so the submission was not accepted.
    Unsent { id: String },
    /// An executor accepted an execution.
    Took { id: String, key: String, executor: String },
    /// An executor dropped an execution that it had not begun.
    Unbegun { id: String },
    /// All nodes together sent a cold executor more than it can take.
    PushedOver { executor: String },
    /// The test rig performed an action on a process or a connection.
    Did { deed: String, to: String },
}

impl Line {
    /// Creates a line of the current format version.
    #[must_use]
    pub fn new(at: u64, by: &str, life: u64, what: HistoryEvent) -> Self {
        Self { v: FORMAT_VERSION, at, by: by.to_owned(), life, what }
    }

    /// Writes the line and its line feed in one call.
    ///
    /// # Errors
    ///
    /// Errors of the writer.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        let mut text = serde_json::to_vec(self)?;
        text.push(b'\n');
        to.write_all(&text)
    }
}

/// An error from reading a history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// A line is too long or is not a valid event.
    #[error("line {line}: {reason}")]
    InvalidLine { line: usize, reason: String },
    /// A line has another format version.
    #[error("line {line}: format version {found}, but only {FORMAT_VERSION} is supported")]
    UnsupportedVersion { line: usize, found: u64 },
    /// An error of the reader.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The format version of a line, which is read before the other fields, since those may differ in another version.
#[derive(Deserialize)]
struct VersionField {
    v: u64,
}

/// Reads a history. A last line without a line feed is omitted: the process was killed while it wrote the line.
///
/// # Errors
///
/// The first invalid line, with its number, or an error of the reader.
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
        let invalid =
            |e: serde_json::Error| HistoryError::InvalidLine { line: number, reason: e.to_string() };
        let VersionField { v } = serde_json::from_slice(&text).map_err(invalid)?;
        if v != u64::from(FORMAT_VERSION) {
            return Err(HistoryError::UnsupportedVersion { line: number, found: v });
        }
        lines.push(serde_json::from_slice(&text).map_err(invalid)?);
    }
}
