//! The thread that holds a coordinator's state: it passes events on to the state machine, and carries out what follows.

use std::collections::HashMap;
use std::process::ExitCode;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

use linestack_accord::{Coordinator, Guest, Id, Input, Letter, Note, Out, Reply, Request};
use linestack_history::What;

use crate::fleet::audit_log::AuditWriter;
use crate::fleet::session::client_session;
use crate::fleet::wire::{Body, Identity};
use crate::fleet::{boottime, monotonic};

use super::event::{Event, Session};
use super::storage::Disk;

/// The shortest time between two log lines about refusals. All are counted.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two log lines of the counters.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);

/// The state of a coordinator's process.
pub(super) struct Server {
    coordinator: Coordinator,
    disk: Disk,
    audit_log: AuditWriter,
    /// The queues of messages to the other coordinators, by their ids.
    peers: Vec<Option<SyncSender<Letter>>>,
    /// The open sessions, by their connections.
    sessions: HashMap<u64, Session>,
    /// The connection over which each client has sent its last request.
    routes: HashMap<Guest, u64>,
    counts: Counts,
}

/// Counters since the start.
#[derive(Default)]
struct Counts {
    /// Frames received.
    frames: u64,
    /// Leases granted.
    granted: u64,
    /// Records persisted.
    kept: u64,
    /// Connections and frames refused, by the reason.
    refused: HashMap<&'static str, u64>,
    /// When a refusal was logged last.
    refusal_logged: Option<Instant>,
}

impl Server {
    pub(super) fn new(
        coordinator: Coordinator,
        disk: Disk,
        audit_log: AuditWriter,
        peers: Vec<Option<SyncSender<Letter>>>,
    ) -> Self {
        Self {
            coordinator,
            disk,
            audit_log,
            peers,
            sessions: HashMap::new(),
            routes: HashMap::new(),
            counts: Counts::default(),
        }
    }

    /// Runs until it is told to stop, or must not go on.
    pub(super) fn run(mut self, events: &Receiver<Event>) -> ExitCode {
        let mut counts_logged = Instant::now();
        loop {
            let event = match events.recv_timeout(self.wait()) {
                Ok(Event::Stop) => {
                    tracing::info!("stopped");
                    return ExitCode::SUCCESS;
                }
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return ExitCode::FAILURE,
            };
            if let Err(code) = self.handle(event) {
                return code;
            }
            if counts_logged.elapsed() >= COUNTS_INTERVAL {
                counts_logged = Instant::now();
                self.log_counts();
            }
        }
    }

    /// How long to wait for an event before a tick is due.
    fn wait(&self) -> Duration {
        let due = self.coordinator.next_due().saturating_sub(boottime());
        Duration::from_nanos(due).min(COUNTS_INTERVAL)
    }

    /// Handles an event, or that none has come in time.
    fn handle(&mut self, event: Option<Event>) -> Result<(), ExitCode> {
        let input = match event {
            Some(event) => self.input_of(event),
            None => Some(Input::Tick),
        };
        if let Some(input) = input {
            self.step(input)?;
        }
        // A flood of messages must not delay what is due.
        if self.coordinator.next_due() <= boottime() {
            self.step(Input::Tick)?;
        }
        Ok(())
    }

    fn log_counts(&self) {
        let Counts { frames, granted, kept, refused, .. } = &self.counts;
        let speaks = self.coordinator.speaks(boottime());
        let sessions = self.sessions.len();
        tracing::info!(speaks, sessions, frames, granted, kept, ?refused, "counts");
    }

    /// What an event means to the state machine, if anything.
    fn input_of(&mut self, event: Event) -> Option<Input> {
        match event {
            Event::Opened { connection, session } => {
                self.sessions.insert(connection, session);
                None
            }
            Event::Received { connection, body } => self.receive(connection, body),
            Event::Closed { connection } => {
                self.close(connection);
                None
            }
            Event::Refused { why } => {
                self.count_refusal(why);
                None
            }
            Event::Stop => None,
        }
    }

    fn receive(&mut self, connection: u64, body: Body) -> Option<Input> {
        self.counts.frames += 1;
        let session = self.sessions.get(&connection)?;
        match (&session.identity, body) {
            (Identity::Coordinator(from), Body::Envelope(letter)) => {
                Some(Input::Letter { from: *from, letter })
            }
            (_, Body::Request(request)) => self.receive_request(connection, request),
            _ => {
                self.refuse_session(connection, "order");
                None
            }
        }
    }

    fn receive_request(&mut self, connection: u64, request: Request) -> Option<Input> {
        let session = self.sessions.get(&connection)?;
        // A session speaks for the run of the process that began it, and for no other.
        if let Request::Renew(renew) = &request
            && renew.incarnation != session.incarnation
        {
            self.refuse_session(connection, "name");
            return None;
        }
        let guest = client_session(&session.identity, connection)?;
        self.routes.insert(guest.clone(), connection);
        Some(Input::Guest { guest, request })
    }

    fn close(&mut self, connection: u64) {
        let Some(session) = self.sessions.remove(&connection) else { return };
        let Some(guest) = client_session(&session.identity, connection) else { return };
        if self.routes.get(&guest) == Some(&connection) {
            self.routes.remove(&guest);
        }
    }

    fn refuse_session(&mut self, connection: u64, why: &'static str) {
        self.count_refusal(why);
        self.sessions.remove(&connection);
    }

    fn count_refusal(&mut self, why: &'static str) {
        *self.counts.refused.entry(why).or_default() += 1;
        if self.counts.refusal_logged.is_none_or(|at| at.elapsed() >= REFUSAL_LOG_INTERVAL) {
            self.counts.refusal_logged = Some(Instant::now());
            tracing::warn!(why, "refused");
        }
    }

    /// Passes an input to the state machine, persists the record, and carries out the actions.
    fn step(&mut self, input: Input) -> Result<(), ExitCode> {
        let writes_before = self.coordinator.record().mark;
        // Leases go by the clock that counts while the machine sleeps; the audit log by the one that does not.
        let (log_time, now) = (monotonic(), boottime());
        let step = self.coordinator.take(now, input);
        let outputs = step.finish(&mut self.disk).map_err(|why| {
            // Whether the record is durable is not known, and nobody was told that it is.
            tracing::error!(%why, "store failed; this coordinator ends");
            ExitCode::FAILURE
        })?;
        self.counts.kept += self.coordinator.record().mark - writes_before;
        outputs.into_iter().try_for_each(|output| self.carry_out(log_time, output))
    }

    fn carry_out(&mut self, log_time: u64, output: Out) -> Result<(), ExitCode> {
        match output {
            Out::Letter { to, letter } => self.send_to_peer(to, letter),
            Out::Guest { guest, reply } => self.reply(&guest, reply),
            Out::Note(note) => self.log_note(log_time, note),
            Out::Halt => {
                tracing::error!(
                    "what is stored here is older than what others have seen of it; it must not vote"
                );
                return Err(ExitCode::FAILURE);
            }
        }
        Ok(())
    }

    fn send_to_peer(&self, to: Id, letter: Letter) {
        if let Some(Some(peer)) = self.peers.get(usize::from(to)) {
            // If the queue is full, the peer is slow; the protocol repeats the message.
            let _ = peer.try_send(letter);
        }
    }

    /// Replies to a client. A session whose queue is full is closed.
    fn reply(&mut self, guest: &Guest, reply: Reply) {
        let Some(connection) = self.routes.get(guest).copied() else { return };
        let Some(session) = self.sessions.get_mut(&connection) else { return };
        let frame = session.encoder.encode(Body::Reply(reply));
        let is_queued = frame.is_ok_and(|bytes| session.frames.try_send(bytes).is_ok());
        if !is_queued {
            self.sessions.remove(&connection);
            self.count_refusal("slow");
        }
    }

    /// Writes an entry of the audit log, with the time of the step: a process that is stopped just then writes it when it
    /// goes on.
    fn log_note(&mut self, time: u64, note: Note) {
        if let Some(what) = self.describe(note) {
            self.audit_log.write(time, what);
        }
    }

    /// Logs and counts what was noted, and returns the entry of the audit log, if there is to be one.
    fn describe(&mut self, note: Note) -> Option<What> {
        Some(match note {
            Note::Established { round } => {
                tracing::info!(round, "speaks for the fleet");
                What::Established { round: u64::from(round) }
            }
            Note::Granted { member, round, version } => {
                self.counts.granted += 1;
                What::Granted { member, round: u64::from(round), version }
            }
            Note::Pending { request, version } => {
                tracing::info!(request, version, "change put before the members");
                What::Pending { request, version }
            }
            Note::Decided { request, version, digest } => {
                tracing::info!(request, version, digest, "decided");
                What::Decided { request, version, digest }
            }
            Note::Dropped { request, version, end } => {
                tracing::warn!(request, version, ?end, "change dropped");
                What::Dropped { request, version, why: format!("{end:?}") }
            }
            Note::Refused { member, why } => {
                self.count_refusal("member");
                tracing::debug!(member, why, "member refused");
                return None;
            }
        })
    }
}
