//! The binary protocol of the simulator: batches of events come in, replies with actions go out. Numbers are big-endian.
//!
//! A batch has a header, event records of a fixed length and a tail, to which records refer by offset and length. A reply
//! has a header and action records of a fixed length. A record begins with the code of the event or action in its first
//! byte and the number of the instance in the next two; the other fields are at offsets that depend on the code.
//!
//! Ids are passed on as the simulator gives them, also `call`, its id of a submission; the host maps them to linestack's
//! small indices.

use std::io::{self, Read, Write};

use linestack_dispatch::types::{Health, Job, ListKind, Nanos, Outcome, ProbeOutcome};
use linestack_settings::{Settings, nanos_from_millis};
use thiserror::Error;

/// The length of a batch's header, in bytes.
const BATCH_HEADER_LENGTH: usize = 20;
/// The length of an event record, in bytes.
const EVENT_LENGTH: usize = 56;
/// The length of an action record, in bytes.
const ACTION_LENGTH: usize = 24;
/// The length of a list entry in the tail, in bytes.
const LIST_ENTRY_LENGTH: usize = 23;

/// The status of a completed execution or an answered probe.
const STATUS_OK: u16 = 200;
/// The status of an execution or a probe that the executor rejected for lack of capacity.
const STATUS_TOO_MANY: u16 = 429;

/// An error in the input. `batch` is the number of the batch, `after` that of the last complete one before the error, and
/// `record` the index of the event in its batch.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input ends within a batch.
    #[error("the frame after batch {after} is cut short: {found} of {wanted} bytes")]
    Truncated { after: u32, found: usize, wanted: usize },
    /// The number of records in the header contradicts the length of the batch.
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    RecordsTooLong { batch: u32, records: u32, length: u32 },
    /// A record has an unknown code.
    #[error("batch {batch}: record {record} has the unknown event code {code}")]
    UnknownEvent { batch: u32, record: u32, code: u8 },
    /// A record refers to bytes beyond the tail of the batch.
    #[error("batch {batch}: record {record} points outside the tail ({offset} + {length} of {tail} bytes)")]
    OutsideTail { batch: u32, record: u32, offset: u32, length: u64, tail: usize },
    /// The settings in a start event are invalid.
    #[error("batch {batch}: the start text is not usable: {error}")]
    Settings { batch: u32, error: linestack_settings::SettingsError },
    /// A field of a record has an unknown value.
    #[error("batch {batch}: record {record} has the unknown {field} {value}")]
    UnknownValue { batch: u32, record: u32, field: &'static str, value: u8 },
    /// The input can't be read.
    #[error("after batch {after}: {error}")]
    Io { after: u32, error: io::Error },
}

/// An entry of a list of executors, with the executor's id on the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListEntry {
    pub executor: u32,
    pub health: Health,
    pub kind: u16,
    pub zone: u16,
    pub cell: u16,
    /// The time at which the executor last started.
    pub started: Nanos,
    /// The executor's size, or the free part of it where weights are live (`scale` in the simulator's protocol); 0 if the
    /// entry has a negative number or one that is not finite.
    pub weight: f32,
}

/// Up to four figures of a load report, in the order of the report fields in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportFigures {
    /// The number of figures in the report.
    count: u8,
    values: [f32; 4],
}

/// An event from the simulator.
#[derive(Debug)]
pub enum Incoming {
    /// The instance starts with these settings.
    Start(Box<Settings>),
    /// The instance was killed; its state is dropped.
    Killed,
    /// Discovery has sent a list, its changes or a failure.
    ListReceived { kind: ListKind, entries: Vec<ListEntry> },
    /// A client has sent a submission.
    Submitted { call: u64, job: Job },
    /// The client left, or was answered by another node.
    ClientLeft { call: u64 },
    /// The answer has begun; the deadline does not apply any longer.
    Streaming { call: u64, execution: u16 },
    /// The job has started or made progress.
    Progressed { call: u64, execution: u16 },
    /// An execution has ended.
    Ended {
        call: u64,
        execution: u16,
        executor: u32,
        outcome: Outcome,
        /// Whether the submission is over, by this end or earlier.
        closed: bool,
        /// How long the execution took.
        took: Nanos,
        figures: ReportFigures,
    },
    /// A probe has ended.
    Probed { executor: u32, outcome: ProbeOutcome, figures: ReportFigures },
    /// A timer has fired that [`Outgoing::SetTimer`] has set.
    TimerFired { timer_id: u64 },
    /// A message from another node. It is not handled.
    PeerMessage,
}

/// An action for the simulator.
#[derive(Clone, Copy, Debug)]
pub enum Outgoing {
    /// Cancel an execution.
    Cancel { call: u64, execution: u16 },
    /// Send an [`Incoming::TimerFired`] with the same id at this time.
    SetTimer { at: Nanos, timer_id: u64 },
    /// Probe an executor.
    Probe { executor: u32 },
    /// Answer the client without the promise that a retry is harmless.
    Abort { call: u64 },
    /// Send a submission to an executor.
    Execute { call: u64, timeout: Nanos, executor: u32 },
    /// Close the unused connections to an executor.
    CloseIdleConnections { executor: u32 },
    /// Request the list and its changes from now on.
    Subscribe,
    /// Answer the client with the promise that a retry is harmless.
    Dismiss {
        call: u64,
        /// How long the client should wait before it retries; 0 if it is not told.
        retry_after: Nanos,
    },
}

/// A batch of events at one time of the simulator's clock.
#[derive(Default)]
pub struct Batch {
    /// The simulator's time.
    pub clock: Nanos,
    /// The number of the batch, which its reply repeats.
    pub number: u32,
    /// The number of event records.
    records: u32,
    /// The event records and the tail.
    body: Vec<u8>,
}

impl Batch {
    /// Replaces this batch by the next one of the input. Returns false at the regular end of the input.
    ///
    /// # Errors
    ///
    /// The input fails or ends within a batch, or the lengths in the header contradict each other.
    pub fn read(&mut self, input: &mut impl Read) -> Result<bool, WireError> {
        let after = self.number;
        // Reads this number of bytes, or fewer at the end of the input.
        let mut fill = |body: &mut Vec<u8>, wanted: usize| {
            body.clear();
            let found = input
                .by_ref()
                .take(wanted as u64)
                .read_to_end(body)
                .map_err(|error| WireError::Io { after, error })?;
            Ok(found)
        };
        let found = fill(&mut self.body, BATCH_HEADER_LENGTH)?;
        if found == 0 {
            return Ok(false);
        }
        if found < BATCH_HEADER_LENGTH {
            return Err(WireError::Truncated { after, found, wanted: BATCH_HEADER_LENGTH });
        }
        let header = Fields(&self.body);
        let (clock, length, records, number) = (header.f64(0), header.u32(8), header.u32(12), header.u32(16));
        (self.clock, self.records, self.number) = (nanos_from_millis(clock), records, number);
        if u64::from(records) * EVENT_LENGTH as u64 > u64::from(length) {
            return Err(WireError::RecordsTooLong { batch: number, records, length });
        }
        let found = fill(&mut self.body, length as usize)?;
        if found < length as usize {
            return Err(WireError::Truncated { after, found, wanted: length as usize });
        }
        Ok(true)
    }

    /// Decodes the events. Each comes with the number of the instance that it is for.
    pub fn events(&self) -> impl Iterator<Item = Result<(u16, Incoming), WireError>> {
        (0..self.records).map(|record| self.event(record))
    }

    fn event(&self, record: u32) -> Result<(u16, Incoming), WireError> {
        let f = Fields(&self.body[record as usize * EVENT_LENGTH..][..EVENT_LENGTH]);
        let unknown = |field, value| WireError::UnknownValue { batch: self.number, record, field, value };
        let event = match f.u8(0) {
            1 => Incoming::Submitted {
                call: f.u64(3),
                job: Job {
                    product: f.u8(11),
                    tenant: f.u16(12),
                    deadline: nanos_from_millis(f.f64(22)),
                    slots: non_negative(f.f32(38)).filter(|s| *s > 0.0).unwrap_or(1.0).into(),
                    memory: non_negative(f.f32(42)).unwrap_or(0.0).into(),
                },
            },
            2 => Incoming::Probed {
                executor: f.u32(3),
                outcome: match f.u16(7) {
                    STATUS_OK => ProbeOutcome::Answered,
                    STATUS_TOO_MANY => ProbeOutcome::Inconclusive,
                    _ => ProbeOutcome::Failed,
                },
                figures: f.figures(17),
            },
            3 => Incoming::Killed,
            4 => Incoming::Ended {
                call: f.u64(3),
                execution: f.u16(11),
                executor: f.u32(28),
                outcome: outcome(f.u16(13)),
                closed: f.u8(19) != 0,
                took: nanos_from_millis(f.f64(20)),
                figures: f.figures(32),
            },
            5 => Incoming::Progressed { call: f.u64(3), execution: f.u16(11) },
            6 => {
                let kind = match f.u8(3) {
                    0 => ListKind::Changes,
                    1 => ListKind::Whole,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(unknown("kind of list", other)),
                };
                let bytes = self.tail(record, f.u32(8), u64::from(f.u32(12)) * LIST_ENTRY_LENGTH as u64)?;
                let entries = bytes.chunks_exact(LIST_ENTRY_LENGTH).map(|entry| {
                    let e = Fields(entry);
                    let health = match e.u8(6) {
                        1 => Health::Draining,
                        2 => Health::Ready,
                        3 => Health::Gone,
                        other => return Err(unknown("health", other)),
                    };
                    Ok(ListEntry {
                        executor: e.u32(15),
                        health,
                        kind: e.u16(4),
                        zone: e.u16(21),
                        cell: e.u16(19),
                        started: nanos_from_millis(e.f64(7)),
                        weight: non_negative(e.f32(0)).unwrap_or(0.0),
                    })
                });
                Incoming::ListReceived { kind, entries: entries.collect::<Result<_, _>>()? }
            }
            7 => {
                let text = self.tail(record, f.u32(11), u64::from(f.u32(15)))?;
                let start = linestack_settings::read(text, f.u64(3));
                let start = start.map_err(|error| WireError::Settings { batch: self.number, error })?;
                Incoming::Start(Box::new(start))
            }
            8 => {
                self.tail(record, f.u32(7), u64::from(f.u32(11)))?;
                Incoming::PeerMessage
            }
            9 => Incoming::Streaming { call: f.u64(3), execution: f.u16(15) },
            10 => Incoming::TimerFired { timer_id: f.u64(3) },
            11 => Incoming::ClientLeft { call: f.u64(3) },
            code => return Err(WireError::UnknownEvent { batch: self.number, record, code }),
        };
        Ok((f.u16(1), event))
    }

    /// Returns the bytes of the tail to which a record refers.
    fn tail(&self, record: u32, offset: u32, length: u64) -> Result<&[u8], WireError> {
        let tail = &self.body[self.records as usize * EVENT_LENGTH..];
        let (from, to) = (u64::from(offset), u64::from(offset) + length);
        if length == 0 {
            return Ok(&[]);
        }
        if to > tail.len() as u64 {
            return Err(WireError::OutsideTail {
                batch: self.number,
                record,
                offset,
                length,
                tail: tail.len(),
            });
        }
        Ok(&tail[from as usize..to as usize])
    }
}

/// The reply to one batch: the actions of all instances, collected before they are written.
#[derive(Default)]
pub struct Reply {
    /// The number of action records.
    records: u32,
    /// The action records.
    body: Vec<u8>,
}

impl Reply {
    /// Adds an action of the instance with this number.
    pub fn push(&mut self, instance: u16, action: Outgoing) {
        let mut record = [0; ACTION_LENGTH];
        record[1..3].copy_from_slice(&instance.to_be_bytes());
        let mut put = |at: usize, bytes: &[u8]| record[at..at + bytes.len()].copy_from_slice(bytes);
        let code = match action {
            Outgoing::Cancel { call, execution } => {
                put(3, &call.to_be_bytes());
                put(11, &execution.to_be_bytes());
                1
            }
            Outgoing::SetTimer { at, timer_id } => {
                put(3, &millis(at).to_be_bytes());
                put(11, &timer_id.to_be_bytes());
                2
            }
            Outgoing::Probe { executor } => {
                put(3, &executor.to_be_bytes());
                4
            }
            Outgoing::Abort { call } => {
                put(3, &call.to_be_bytes());
                5
            }
            Outgoing::CloseIdleConnections { executor } => {
                put(3, &executor.to_be_bytes());
                7
            }
            Outgoing::Execute { call, timeout, executor } => {
                put(3, &call.to_be_bytes());
                put(11, &millis(timeout).to_be_bytes());
                put(19, &executor.to_be_bytes());
                8
            }
            Outgoing::Subscribe => {
                put(3, &[1]);
                10
            }
            Outgoing::Dismiss { call, retry_after } => {
                put(3, &call.to_be_bytes());
                put(11, &millis(retry_after).to_be_bytes());
                12
            }
        };
        record[0] = code;
        self.records += 1;
        self.body.extend_from_slice(&record);
    }

    /// Writes the reply to the batch with this number and clears it for the next one.
    ///
    /// # Errors
    ///
    /// The output fails.
    pub fn write(&mut self, batch: u32, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&self.records.to_be_bytes())?;
        output.write_all(&(self.body.len() as u32).to_be_bytes())?;
        output.write_all(&batch.to_be_bytes())?;
        output.write_all(&self.body)?;
        output.flush()?;
        self.records = 0;
        self.body.clear();
        Ok(())
    }
}

/// Reads big-endian numbers at byte offsets of a header, a record or a list entry.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        std::array::from_fn(|i| self.0[at + i])
    }

    fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }

    fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }

    fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }

    fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }

    fn f32(&self, at: usize) -> f32 {
        f32::from_be_bytes(self.bytes(at))
    }

    fn f64(&self, at: usize) -> f64 {
        f64::from_be_bytes(self.bytes(at))
    }

    /// Reads the number of figures and then four figures.
    fn figures(&self, at: usize) -> ReportFigures {
        ReportFigures { count: self.u8(at), values: std::array::from_fn(|i| self.f32(at + 1 + 4 * i)) }
    }
}

impl ReportFigures {
    /// Returns the figure at this index, if the report has it.
    #[must_use]
    pub fn get(&self, index: usize) -> Option<f32> {
        self.values.get(index).filter(|_| index < usize::from(self.count)).copied()
    }
}

/// Returns the outcome for the status of an execution.
fn outcome(status: u16) -> Outcome {
    match status {
        STATUS_OK => Outcome::Completed,
        STATUS_TOO_MANY => Outcome::Overloaded,
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent,
        // After an unknown status the execution may have run, as after `Error`.
        _ => Outcome::Error,
    }
}

/// Returns the number, or none if it is negative or not finite.
fn non_negative(number: f32) -> Option<f32> {
    (number.is_finite() && number >= 0.0).then_some(number)
}

const NANOS_PER_MILLI: f64 = 1e6;

fn millis(nanos: Nanos) -> f64 {
    nanos as f64 / NANOS_PER_MILLI
}
