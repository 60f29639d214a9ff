//! The audit log of a process, written where the configuration names a history file. A coordinator writes its lines
//! synchronously; a node hands them to a thread of its own.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};

use bytes::Bytes;
use linestack_core::{Answer, ClientId, Effect, Input};
use linestack_history::{Ended, HistoryEvent, Line};

use crate::net::lock;

/// Appends lines to a history file synchronously, each in one write call, so that a line is in the file before any of
/// its consequences.
pub struct AuditWriter {
    file: Option<File>,
    by: String,
    life: u64,
}

impl AuditWriter {
    /// Opens the file, if one is configured, and writes the line that the process has started.
    ///
    /// # Errors
    ///
    /// The file can't be opened for appending.
    pub fn open(path: Option<&Path>, by: &str, life: u64) -> io::Result<Self> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        let mut writer = Self { file: path.map(open).transpose()?, by: by.to_owned(), life };
        writer.write(super::monotonic(), HistoryEvent::Started);
        Ok(writer)
    }

    /// Appends a line with this time of the machine's monotonic clock, in nanoseconds.
    pub fn write(&mut self, at: u64, what: HistoryEvent) {
        if let Some(file) = &mut self.file {
            // Errors are ignored: a process keeps serving even if its history can't be written.
            let _ = Line::new(at, &self.by, self.life, what).write(file);
        }
    }
}

/// The audit log of a node. A thread writes the lines, because the node's coroutines must not wait for a disk.
pub struct AuditLog {
    lines: Sender<(u64, HistoryEvent)>,
    /// The submission that each client waits for.
    pending: Mutex<HashMap<ClientId, Bytes>>,
    /// The reading of the node's clock minus that of the machine's monotonic clock, in nanoseconds.
    offset: u64,
}

impl AuditLog {
    /// Opens the file and starts the thread that writes to it. `now` is the current time of the node's clock.
    ///
    /// # Errors
    ///
    /// The file can't be opened for appending.
    pub fn open(path: &Path, by: &str, life: u64, now: u64) -> io::Result<Self> {
        let mut writer = AuditWriter::open(Some(path), by, life)?;
        let (lines, queue) = channel();
        std::thread::spawn(move || queue.iter().for_each(|(at, what)| writer.write(at, what)));
        Ok(Self { lines, pending: Mutex::default(), offset: now - super::monotonic() })
    }

    /// Queues a line with this time of the node's clock.
    pub fn write(&self, now: u64, what: HistoryEvent) {
        let _ = self.lines.send((now - self.offset, what));
    }

    /// Converts a time of the node's clock to the machine's monotonic clock.
    pub fn machine_time(&self, time: u64) -> u64 {
        time.saturating_sub(self.offset)
    }

    /// Returns the client and the id of the submission, if this input of the reducer is one.
    pub(crate) fn pending_submission(&self, input: &Input) -> Option<(ClientId, Bytes)> {
        match input {
            Input::Submitted { client, submission } => Some((*client, submission.request.id.clone())),
            _ => None,
        }
    }

    /// Writes what the reducer did with an input. `submission` is what [`AuditLog::pending_submission`] returned for the
    /// input; `taken` is the policy version under which the submission was taken, and `None` if it was turned away.
    pub(crate) fn record_effects(
        &self,
        now: u64,
        submission: Option<(ClientId, Bytes)>,
        taken: Option<u64>,
        effects: &[Effect],
    ) {
        let text = |id: &Bytes| String::from_utf8_lossy(id).into_owned();
        let mut pending = lock(&self.pending);
        if let Some((client, id)) = submission {
            match taken {
                Some(version) => {
                    self.write(now, HistoryEvent::Taken { id: text(&id), version });
                    pending.insert(client, id);
                }
                None => self.write(now, HistoryEvent::TurnedAway { id: text(&id) }),
            }
        }
        for effect in effects {
            match effect {
                Effect::Send { request, version, .. } => {
                    self.write(now, HistoryEvent::Sent { id: text(&request.id), version: *version });
                }
                Effect::Answer { client, answer, version, .. } => {
                    let Some(id) = pending.remove(client) else { continue };
                    let ended = match answer {
                        Answer::Completed(_) => Ended::Satisfied,
                        Answer::Dismissed(_) => Ended::Dismissed,
                        Answer::Aborted => Ended::Aborted,
                        Answer::DuplicateId => Ended::Repeated,
                    };
                    self.write(now, HistoryEvent::Answered { id: text(&id), version: *version, ended });
                }
                _ => {}
            }
        }
    }
}
