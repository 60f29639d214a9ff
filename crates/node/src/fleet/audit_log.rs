//! The audit log of a process, written to the history file that the configuration names, if there is one. A coordinator
//! writes its lines synchronously; a node passes them to a thread that writes them.

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

/// Appends lines to a history file synchronously, each in one write call, so that an event is in the file before any of
/// its consequences.
pub struct AuditWriter {
    /// The history file; without one, lines are dropped.
    file: Option<File>,
    /// The name of the process.
    process: String,
    /// The run of the process.
    run_number: u64,
}

impl AuditWriter {
    /// Opens the file, if one is configured, and writes the line that the process has started. `process` is the name of
    /// the process in the lines.
    ///
    /// # Errors
    ///
    /// The file can't be opened for appending.
    pub fn open(path: Option<&Path>, process: &str, run_number: u64) -> io::Result<Self> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        let file = path.map(open).transpose()?;
        let mut writer = Self { file, process: process.to_owned(), run_number };
        writer.write(super::monotonic(), HistoryEvent::Started);
        Ok(writer)
    }

    /// Appends an event with this time of the machine's monotonic clock, in nanoseconds.
    pub fn write(&mut self, at: u64, event: HistoryEvent) {
        if let Some(file) = &mut self.file {
            // Errors are ignored: a process continues to serve even if its history can't be written.
            let _ = Line::new(at, &self.process, self.run_number, event).write(file);
        }
    }
}

/// The audit log of a node. A thread writes the lines, because the node's coroutines must not wait for a disk.
pub struct AuditLog {
    /// The queue of events, each with its time on the machine's monotonic clock.
    events: Sender<(u64, HistoryEvent)>,
    /// The id of the submission that each client waits for.
    pending: Mutex<HashMap<ClientId, Bytes>>,
    /// The reading of the node's clock minus that of the machine's monotonic clock, in nanoseconds.
    offset: u64,
}

impl AuditLog {
    /// Opens the file and starts the thread that writes to it. `process` is the name of the process in the lines; `now`
    /// is the current time of the node's clock.
    ///
    /// # Errors
    ///
    /// The file can't be opened for appending.
    pub fn open(path: &Path, process: &str, run_number: u64, now: u64) -> io::Result<Self> {
        let mut writer = AuditWriter::open(Some(path), process, run_number)?;
        let (events, queue) = channel();
        std::thread::spawn(move || queue.iter().for_each(|(at, event)| writer.write(at, event)));
        Ok(Self { events, pending: Mutex::default(), offset: now - super::monotonic() })
    }

    /// Queues an event with this time of the node's clock.
    pub fn write(&self, at: u64, event: HistoryEvent) {
        let _ = self.events.send((at - self.offset, event));
    }

    /// Converts a time of the node's clock to the machine's monotonic clock.
    pub fn machine_time(&self, time: u64) -> u64 {
        time.saturating_sub(self.offset)
    }

    /// Returns the client and the id of the submission, if the input is a submission.
    pub(crate) fn pending_submission(&self, input: &Input) -> Option<(ClientId, Bytes)> {
        match input {
            Input::Submitted { client, submission } => Some((*client, submission.request.id.clone())),
            _ => None,
        }
    }

    /// Writes the effects of an input of the reducer. `submission` is what [`AuditLog::pending_submission`] returned
    /// for the input. `accepted_version` is the policy version under which the submission was accepted; `None` if it
    /// was rejected.
    pub(crate) fn record_effects(
        &self,
        now: u64,
        submission: Option<(ClientId, Bytes)>,
        accepted_version: Option<u64>,
        effects: &[Effect],
    ) {
        let text = |id: &Bytes| String::from_utf8_lossy(id).into_owned();
        let mut pending = lock(&self.pending);
        if let Some((client, id)) = submission {
            match accepted_version {
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
