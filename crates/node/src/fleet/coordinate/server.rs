//! The thread that owns a coordinator's state: it passes events to the state machine, and carries out the outputs.

use std::collections::HashMap;
use std::process::ExitCode;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

use linestack_accord::{
    AuditEntry, ClientSession, Coordinator, CoordinatorId, Envelope, Input, Output, Reply, Request,
};
use linestack_history::HistoryEvent;

use crate::fleet::audit_log::AuditWriter;
use crate::fleet::session::client_session;
use crate::fleet::wire::{Body, Identity};
use crate::fleet::{boottime, monotonic};

use super::event::{Event, Session};
use super::storage::Disk;

/// The shortest time between two log lines about refusals. All refusals are counted.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two log lines of the counters.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);

/// The state of a coordinator's process.
pub(super) struct Server {
    coordinator: Coordinator,
    disk: Disk,
    audit_log: AuditWriter,
    /// The queues of messages to the other coordinators, indexed by their ids.
    peers: Vec<Option<SyncSender<Envelope>>>,
    /// The open sessions, by connection number.
    sessions: HashMap<u64, Session>,
    /// The connection on which each client has sent its last request.
    routes: HashMap<ClientSession, u64>,
    counts: Counts,
}

/// Counters since the start.
#[derive(Default)]
struct Counts {
    /// Frames received.
    frames: u64,
    /// Leases granted or renewed.
    granted: u64,
    /// Writes of the record.
    persisted: u64,
    /// Connections and frames refused, by reason.
    refused: HashMap<&'static str, u64>,
    /// When a refusal was logged last.
    refusal_logged: Option<Instant>,
}

impl Server {
    pub(super) fn new(
        coordinator: Coordinator,
        disk: Disk,
        audit_log: AuditWriter,
        peers: Vec<Option<SyncSender<Envelope>>>,
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

    /// Runs until the process is stopped, or must not continue.
    pub(super) fn run(mut self, events: &Receiver<Event>) -> ExitCode {
        let mut counts_logged = Instant::now();
        loop {
            let event = match events.recv_timeout(self.time_to_tick()) {
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

    /// Returns the time until the next tick is due, or until the counters are logged if that is earlier.
    fn time_to_tick(&self) -> Duration {
        let due = self.coordinator.next_due().saturating_sub(boottime());
        Duration::from_nanos(due).min(COUNTS_INTERVAL)
    }

    /// Handles an event, or a tick if there is none. Returns an exit code if the process must end.
    fn handle(&mut self, event: Option<Event>) -> Result<(), ExitCode> {
        let input = match event {
            Some(event) => self.input_of(event),
            None => Some(Input::Tick),
        };
        if let Some(input) = input {
            self.step(input)?;
        }
        // Under a flood of messages no wait for an event times out, so a tick that is due is handled here.
        if self.coordinator.next_due() <= boottime() {
            self.step(Input::Tick)?;
        }
        Ok(())
    }

    fn log_counts(&self) {
        let Counts { frames, granted, persisted, refused, .. } = &self.counts;
        let is_leader = self.coordinator.is_leader(boottime());
        let sessions = self.sessions.len();
        tracing::info!(speaks = is_leader, sessions, frames, granted, kept = persisted, ?refused, "counts");
    }

    /// Returns the input of the state machine for an event, if there is one.
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
            Event::Refused { reason } => {
                self.count_refusal(reason);
                None
            }
            Event::Stop => None,
        }
    }

    fn receive(&mut self, connection: u64, body: Body) -> Option<Input> {
        self.counts.frames += 1;
        let session = self.sessions.get(&connection)?;
        match (&session.identity, body) {
            (Identity::Coordinator(from), Body::Envelope(envelope)) => {
                Some(Input::Message { from: *from, envelope })
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
        // A session may only renew the lease of the run that opened it.
        if let Request::Renew(renew) = &request
            && renew.incarnation != session.incarnation
        {
            self.refuse_session(connection, "name");
            return None;
        }
        let client = client_session(&session.identity, connection)?;
        self.routes.insert(client.clone(), connection);
        Some(Input::Request { client, request })
    }

    fn close(&mut self, connection: u64) {
        let Some(session) = self.sessions.remove(&connection) else { return };
        let Some(client) = client_session(&session.identity, connection) else { return };
        if self.routes.get(&client) == Some(&connection) {
            self.routes.remove(&client);
        }
    }

    /// Closes a session because of what was received on it.
    fn refuse_session(&mut self, connection: u64, reason: &'static str) {
        self.count_refusal(reason);
        self.sessions.remove(&connection);
    }

    /// Counts a refusal, and logs it unless another one was logged within [`REFUSAL_LOG_INTERVAL`].
    fn count_refusal(&mut self, reason: &'static str) {
        *self.counts.refused.entry(reason).or_default() += 1;
        if self.counts.refusal_logged.is_none_or(|at| at.elapsed() >= REFUSAL_LOG_INTERVAL) {
            self.counts.refusal_logged = Some(Instant::now());
            tracing::warn!(why = reason, "refused");
        }
    }

    /// Passes an input to the state machine, persists the record, and carries out the outputs.
    fn step(&mut self, input: Input) -> Result<(), ExitCode> {
        let writes_before = self.coordinator.record().write_count;
        // Leases are timed by the clock that also counts suspension, the audit log by the one that does not.
        let (log_time, now) = (monotonic(), boottime());
        let step = self.coordinator.handle(now, input);
        let outputs = step.finish(&mut self.disk).map_err(|error| {
            // The record may or may not be durable, and no message that depends on it was sent.
            tracing::error!(why = %error, "store failed; this coordinator ends");
            ExitCode::FAILURE
        })?;
        self.counts.persisted += self.coordinator.record().write_count - writes_before;
        outputs.into_iter().try_for_each(|output| self.carry_out(log_time, output))
    }

    fn carry_out(&mut self, log_time: u64, output: Output) -> Result<(), ExitCode> {
        match output {
            Output::Send { to, envelope } => self.send_to_peer(to, envelope),
            Output::Reply { client, reply } => self.reply(&client, reply),
            Output::Audit(entry) => self.log_entry(log_time, entry),
            Output::Halt => {
                tracing::error!(
                    "the store is older than what other coordinators have seen of it; this coordinator must not vote and ends"
                );
                return Err(ExitCode::FAILURE);
            }
        }
        Ok(())
    }

    fn send_to_peer(&self, to: CoordinatorId, envelope: Envelope) {
        if let Some(Some(peer)) = self.peers.get(usize::from(to)) {
            // If the queue is full, the peer is slow; the protocol repeats the message.
            let _ = peer.try_send(envelope);
        }
    }

    /// Replies to a client. A session whose queue is full is closed.
    fn reply(&mut self, client: &ClientSession, reply: Reply) {
        let Some(connection) = self.routes.get(client).copied() else { return };
        let Some(session) = self.sessions.get_mut(&connection) else { return };
        let frame = session.encoder.encode(Body::Reply(reply));
        let is_queued = frame.is_ok_and(|bytes| session.frames.try_send(bytes).is_ok());
        if !is_queued {
            self.sessions.remove(&connection);
            self.count_refusal("slow");
        }
    }

    /// Writes an entry of the audit log with the time of the step, which may be earlier than the current time if the
    /// process was stopped in between.
    fn log_entry(&mut self, time: u64, entry: AuditEntry) {
        if let Some(event) = self.log_and_count(entry) {
            self.audit_log.write(time, event);
        }
    }

    /// Logs and counts an event of the state machine, and returns its form in the audit log, if it is written there.
    fn log_and_count(&mut self, entry: AuditEntry) -> Option<HistoryEvent> {
        Some(match entry {
            AuditEntry::Established { round } => {
                tracing::info!(round, "elected leader");
                HistoryEvent::Established { round: u64::from(round) }
            }
            AuditEntry::Granted { member, round, version } => {
                self.counts.granted += 1;
                HistoryEvent::Granted { member, round: u64::from(round), version }
            }
            AuditEntry::Pending { request, version } => {
                tracing::info!(request, version, "change proposed to the members");
                HistoryEvent::Pending { request, version }
            }
            AuditEntry::Decided { request, version, digest } => {
                tracing::info!(request, version, digest, "decided");
                HistoryEvent::Decided { request, version, digest }
            }
            AuditEntry::Dropped { request, version, end } => {
                tracing::warn!(request, version, ?end, "change dropped");
                HistoryEvent::Dropped { request, version, why: format!("{end:?}") }
            }
            AuditEntry::Refused { member, reason } => {
                self.count_refusal("member");
                tracing::debug!(member, why = reason, "member refused");
                return None;
            }
        })
    }
}
