//! Runs the state machines of coordinators and members in simulated time, for fleets larger than one machine can run as
//! processes. Measures how long a policy change takes until it is in force everywhere, and the messages it needs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::convert::Infallible;

use linestack_accord::{
    AuditEntry, ClientSession, ConsensusConfig, Coordinator, CoordinatorId, Envelope, Incarnation, Input,
    Nanos, OperatorRequest, Output, Record, Reply, Request, State, Storage,
};
use linestack_member::{self as member, Member, Output as MemberOutput};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

const MS: Nanos = 1_000_000;
/// Maximum difference between the rates of two clocks, in thousandths.
const DRIFT_THOUSANDTHS: u64 = 10;
/// Size of a frame's header.
const FRAME_HEADER_BYTES: u64 = 16;
/// Assumed size of the part of each frame that identifies its sender.
const SENDER_INFO_BYTES: u64 = 120;
/// Time in which the fleet settles before the measurement, in addition to four leases.
const SETTLE_TIME: Nanos = 10_000 * MS;
/// Time without a change over which the idle traffic is counted.
const IDLE_TIME: Nanos = 1000 * MS;
/// A change that is not in force everywhere within this time is given up.
const CHANGE_TIMEOUT: Nanos = 60_000 * MS;

/// The fleet that is simulated.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub members: usize,
    pub coordinators: u8,
    /// Share of the members, from 0 to 1, that neither send nor handle anything from just before the proposal on.
    pub silent_share: f64,
    /// Duration of a member's lease.
    pub lease: Nanos,
    /// How long a follower refuses to elect another leader after a heartbeat.
    pub hold: Nanos,
    /// Minimum time of a message one way. Each message takes up to half as long again, at random.
    pub latency: Nanos,
    /// Time to persist a record.
    pub sync_latency: Nanos,
    /// Size of the policy's text.
    pub policy_bytes: usize,
}

/// Duration and traffic of one policy change.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ChangeCost {
    /// Time from the proposal to the decision.
    pub decided_ms: f64,
    /// Time from the proposal until no member may serve under the previous version.
    pub everywhere_ms: f64,
    /// Messages sent in that time by all coordinators and members.
    pub messages: u64,
    /// Bytes of those messages.
    pub bytes: u64,
    /// Bytes that the leader alone sent and received in that time.
    #[serde(rename = "speaker_bytes")]
    pub leader_bytes: u64,
    /// Messages sent by all in one second without a change.
    pub idle_messages: u64,
    /// Bytes of those messages.
    pub idle_bytes: u64,
}

enum Event {
    Envelope(CoordinatorId, Envelope),
    Request(ClientSession, Request),
    Reply(Reply),
    TickCoordinator,
    TickMember,
}

/// An event for a coordinator or a member: coordinators come first in the numbering, members follow.
struct ScheduledEvent {
    to: usize,
    event: Event,
}

/// A storage that only records whether a record was persisted.
struct StorageProbe {
    persisted: bool,
}

impl Storage for StorageProbe {
    type Error = Infallible;

    fn persist(&mut self, _: &Record) -> Result<(), Infallible> {
        self.persisted = true;
        Ok(())
    }
}

/// The version under which a member may serve, and until when.
#[derive(Clone, Copy)]
struct Serving {
    version: u64,
    until: Nanos,
}

struct Simulation<'a> {
    config: &'a SimulationConfig,
    now: Nanos,
    rng: Pcg64Mcg,
    /// Time and number of each event in `events`, earliest first.
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: std::collections::HashMap<u64, ScheduledEvent>,
    last_event: u64,
    coordinators: Vec<Coordinator>,
    /// Until when each coordinator writes to its disk. A coordinator handles one event at a time.
    busy_until: Vec<Nanos>,
    members: Vec<Member>,
    /// The coordinator that each member has its session with.
    coordinator_of: Vec<usize>,
    silent: Vec<bool>,
    serving: Vec<Serving>,
    /// Each decided version and the time of its decision.
    decided: Vec<(u64, Nanos)>,
    messages: u64,
    bytes: u64,
    /// Bytes that each coordinator sent and received.
    coordinator_bytes: Vec<u64>,
}

/// A policy check that accepts every policy.
fn accept_policy(_: &str, _: &str) -> Result<(), Vec<String>> {
    Ok(())
}

impl<'a> Simulation<'a> {
    fn new(config: &'a SimulationConfig, seed: u64) -> Self {
        let count = usize::from(config.coordinators);
        let record = Record { state: State::initial("x".repeat(config.policy_bytes)), ..Record::default() };
        let consensus_config = |id| ConsensusConfig {
            id,
            coordinators: config.coordinators,
            hold: config.hold,
            lease: config.lease,
            drift: DRIFT_THOUSANDTHS,
            check: accept_policy,
            injected_fault: None,
        };
        let coordinators = (0..config.coordinators)
            .map(|id| Coordinator::new(consensus_config(id), record.clone(), 0))
            .collect();
        let incarnation = |m| Incarnation { store_id: m as u64 + 1, run_number: 1 };
        let members = (0..config.members)
            .map(|m| Member::new(incarnation(m), DRIFT_THOUSANDTHS, config.lease, 1, None))
            .collect();
        let mut simulation = Self {
            config,
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            last_event: 0,
            coordinators,
            busy_until: vec![0; count],
            members,
            coordinator_of: (0..config.members).map(|m| m % count).collect(),
            silent: vec![false; config.members],
            serving: vec![Serving { version: 0, until: 0 }; config.members],
            decided: Vec::new(),
            messages: 0,
            bytes: 0,
            coordinator_bytes: vec![0; count],
        };
        (0..count).for_each(|c| simulation.schedule(config.hold, c, Event::TickCoordinator));
        for m in 0..config.members {
            let at = simulation.rng.random_range(0..config.lease);
            simulation.schedule(at, count + m, Event::TickMember);
        }
        simulation
    }

    fn schedule(&mut self, at: Nanos, to: usize, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, ScheduledEvent { to, event });
        self.queue.push(Reverse((at, self.last_event)));
    }

    /// Sends a message at the time `sent_at`, and counts it with the size that it has on the wire: JSON in a frame.
    fn send(&mut self, from: usize, to: usize, message: Event, sent_at: Nanos) {
        let body = match &message {
            Event::Envelope(_, envelope) => serde_json::to_vec(envelope),
            Event::Request(_, request) => serde_json::to_vec(request),
            Event::Reply(reply) => serde_json::to_vec(reply),
            _ => Ok(Vec::new()),
        };
        let bytes = body.map_or(0, |b| b.len() as u64) + FRAME_HEADER_BYTES + SENDER_INFO_BYTES;
        self.messages += 1;
        self.bytes += bytes;
        for end in [from, to] {
            if let Some(total) = self.coordinator_bytes.get_mut(end) {
                *total += bytes;
            }
        }
        let delay = self.config.latency + self.rng.random_range(0..=self.config.latency / 2);
        self.schedule(sent_at + delay, to, message);
    }

    fn handle_coordinator(&mut self, c: usize, input: Input) {
        let mut storage = StorageProbe { persisted: false };
        let Ok(outputs) = self.coordinators[c].handle(self.now, input).finish(&mut storage);
        let done_at = if storage.persisted { self.now + self.config.sync_latency } else { self.now };
        self.busy_until[c] = done_at;
        for output in outputs {
            match output {
                Output::Send { to, envelope } => {
                    self.send(c, usize::from(to), Event::Envelope(c as CoordinatorId, envelope), done_at);
                }
                Output::Reply { client: ClientSession::Member(name), reply } => {
                    let m: usize = name.parse().unwrap_or(0);
                    let to = self.coordinators.len() + m;
                    self.send(c, to, Event::Reply(reply), done_at);
                }
                Output::Audit(AuditEntry::Decided { version, .. }) => self.decided.push((version, done_at)),
                _ => {}
            }
        }
        let due = self.coordinators[c].next_due().max(done_at + 1);
        self.schedule(due, c, Event::TickCoordinator);
    }

    fn handle_member(&mut self, m: usize, input: member::Input) {
        if self.silent[m] {
            return;
        }
        let mut outputs = Vec::new();
        self.members[m].handle(self.now, input, &mut outputs);
        let (mut next, own, mut done_at) = (0, self.coordinators.len() + m, self.now);
        // Handling an output may append further outputs.
        while next < outputs.len() {
            match outputs[next].clone() {
                MemberOutput::Send(renew) => {
                    let client = ClientSession::Member(m.to_string());
                    let request = Event::Request(client, Request::Renew(renew));
                    self.send(own, self.coordinator_of[m], request, done_at);
                }
                MemberOutput::Stage(policy) => {
                    done_at += self.config.sync_latency;
                    let staged = member::Input::Staged { version: policy.version, result: Ok(()) };
                    self.members[m].handle(self.now, staged, &mut outputs);
                }
                MemberOutput::Activate(policy) => {
                    done_at += self.config.sync_latency;
                    let activated = member::Input::Activated { version: policy.version, result: Ok(()) };
                    self.members[m].handle(self.now, activated, &mut outputs);
                }
                MemberOutput::Serve { version, until } => self.serving[m] = Serving { version, until },
                MemberOutput::TryAnotherCoordinator => {
                    self.coordinator_of[m] = (self.coordinator_of[m] + 1) % self.coordinators.len();
                    self.members[m].handle(self.now, member::Input::SessionOpened, &mut outputs);
                }
                MemberOutput::Notify(_) => {}
            }
            next += 1;
        }
        let due = self.members[m].next_due();
        if due < Nanos::MAX {
            self.schedule(due.max(self.now + 1), own, Event::TickMember);
        }
    }

    /// Handles all events up to and including the time `end`.
    fn run_until(&mut self, end: Nanos) {
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            let Some(ScheduledEvent { to, event }) = self.events.remove(&number) else { continue };
            self.now = at;
            let count = self.coordinators.len();
            if to < count && self.busy_until[to] > at {
                self.schedule(self.busy_until[to], to, event);
                continue;
            }
            match event {
                Event::Envelope(from, envelope) => {
                    self.handle_coordinator(to, Input::Message { from, envelope })
                }
                Event::Request(client, request) => {
                    self.handle_coordinator(to, Input::Request { client, request })
                }
                Event::Reply(reply) => self.handle_member(to - count, member::Input::Reply(reply)),
                Event::TickCoordinator if self.coordinators[to].next_due() <= at => {
                    self.handle_coordinator(to, Input::Tick);
                }
                Event::TickCoordinator => {}
                Event::TickMember => {
                    // A member without a session has nothing due: this is its first event.
                    let first = self.members[to - count].next_due() == Nanos::MAX;
                    self.handle_member(
                        to - count,
                        if first { member::Input::SessionOpened } else { member::Input::Tick },
                    );
                }
            }
        }
        self.now = end;
    }

    /// Returns the coordinator that leads now.
    fn leader(&self) -> Option<usize> {
        self.coordinators.iter().position(|c| c.is_leader(self.now))
    }
}

/// Simulates one policy change in a settled fleet. Returns `None` if no coordinator leads, or if the change is not in
/// force everywhere within 60 s.
#[must_use]
pub fn simulate_change(config: &SimulationConfig, seed: u64) -> Option<ChangeCost> {
    let mut simulation = Simulation::new(config, seed);
    simulation.run_until(4 * config.lease + SETTLE_TIME);
    let leader = simulation.leader()?;
    let (messages, bytes) = (simulation.messages, simulation.bytes);
    simulation.run_until(simulation.now + IDLE_TIME);
    let (idle_messages, idle_bytes) = (simulation.messages - messages, simulation.bytes - bytes);
    let silent = (config.silent_share * config.members as f64).round() as usize;
    for m in rand::seq::index::sample(&mut simulation.rng, config.members, silent) {
        simulation.silent[m] = true;
    }
    let (begin, messages, bytes) = (simulation.now, simulation.messages, simulation.bytes);
    let leader_bytes = simulation.coordinator_bytes[leader];
    let text = "y".repeat(config.policy_bytes);
    let proposal = OperatorRequest::Propose {
        request: "r".into(),
        base_version: 1,
        text,
        require_all: false,
        give_up_after: None,
    };
    simulation.handle_coordinator(
        leader,
        Input::Request { client: ClientSession::Operator(1), request: Request::Operator(proposal) },
    );
    let serving_old = |simulation: &Simulation<'_>| {
        simulation.serving.iter().filter(|s| s.version < 2 && s.until > simulation.now).count()
    };
    // Steps of 1 ms, which is the resolution of `everywhere_ms`.
    while serving_old(&simulation) > 0 || simulation.decided.iter().all(|(v, _)| *v != 2) {
        if simulation.now > begin + CHANGE_TIMEOUT {
            return None;
        }
        simulation.run_until(simulation.now + MS);
    }
    let decided = simulation.decided.iter().find(|(v, _)| *v == 2)?.1;
    let elapsed_ms = |t: Nanos| (t - begin) as f64 / MS as f64;
    Some(ChangeCost {
        decided_ms: elapsed_ms(decided),
        everywhere_ms: elapsed_ms(simulation.now),
        messages: simulation.messages - messages,
        bytes: simulation.bytes - bytes,
        leader_bytes: simulation.coordinator_bytes[leader] - leader_bytes,
        idle_messages,
        idle_bytes,
    })
}
