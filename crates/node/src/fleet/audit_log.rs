//! A process's history, where one is asked for: lines go to a file by a thread of their own, or at once.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};

use bytes::Bytes;
use linestack_core::{Answer, ClientId, Effect, Input};
use linestack_history::{Ended, Line, What};

use crate::net::lock;

/// Writes lines at once, each in one call: what follows from a line never comes before it.
pub struct AuditWriter {
    file: Option<File>,
    by: String,
    life: u64,
}

impl AuditWriter {
    /// # Errors
    ///
    /// The file can't be written.
    pub fn open(path: Option<&Path>, by: &str, life: u64) -> io::Result<Self> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        let mut diary = Self { file: path.map(open).transpose()?, by: by.to_owned(), life };
        diary.write(super::monotonic(), What::Started);
        Ok(diary)
    }

    pub fn write(&mut self, at: u64, what: What) {
        if let Some(file) = &mut self.file {
            // A history that can't be written is no reason to stop serving.
            let _ = Line::new(at, &self.by, self.life, what).write(file);
        }
    }
}

/// A node's history. Its coroutines must not wait for a disk.
pub struct AuditLog {
    lines: Sender<(u64, What)>,
    /// What each client waits for.
    asked: Mutex<HashMap<ClientId, Bytes>>,
    /// From the node's clock to the machine's.
    offset: u64,
}

impl AuditLog {
    /// # Errors
    ///
    /// The file can't be written.
    pub fn open(path: &Path, by: &str, life: u64, now: u64) -> io::Result<Self> {
        let mut diary = AuditWriter::open(Some(path), by, life)?;
        let (lines, told) = channel();
        std::thread::spawn(move || told.iter().for_each(|(at, what)| diary.write(at, what)));
        Ok(Self { lines, asked: Mutex::default(), offset: now - super::monotonic() })
    }

    /// By the node's clock.
    pub fn write(&self, now: u64, what: What) {
        let _ = self.lines.send((now - self.offset, what));
    }

    /// A time of the node's clock on the machine's.
    pub fn machine_time(&self, time: u64) -> u64 {
        time.saturating_sub(self.offset)
    }

    /// What is about to go into the reducer.
    pub(crate) fn pending_submission(&self, input: &Input) -> Option<(ClientId, Bytes)> {
        match input {
            Input::Submitted { client, submission: intake } => Some((*client, intake.request.id.clone())),
            _ => None,
        }
    }

    /// What came of it. `taken` tells whether a submission was, and under which version.
    pub(crate) fn record_effects(
        &self,
        now: u64,
        asked: Option<(ClientId, Bytes)>,
        taken: Option<u64>,
        effects: &[Effect],
    ) {
        let text = |id: &Bytes| String::from_utf8_lossy(id).into_owned();
        let mut open = lock(&self.asked);
        if let Some((client, id)) = asked {
            match taken {
                Some(version) => {
                    self.write(now, What::Taken { id: text(&id), version });
                    open.insert(client, id);
                }
                None => self.write(now, What::TurnedAway { id: text(&id) }),
            }
        }
        for effect in effects {
            match effect {
                Effect::Send { request: shipment, version, .. } => {
                    self.write(now, What::Sent { id: text(&shipment.id), version: *version });
                }
                Effect::Answer { client, answer, version, .. } => {
                    let Some(id) = open.remove(client) else { continue };
                    let ended = match answer {
                        Answer::Completed(_) => Ended::Satisfied,
                        Answer::Dismissed(_) => Ended::Dismissed,
                        Answer::Aborted => Ended::Aborted,
                        Answer::DuplicateId => Ended::Repeated,
                    };
                    self.write(now, What::Answered { id: text(&id), version: *version, ended });
                }
                _ => {}
            }
        }
    }
}
