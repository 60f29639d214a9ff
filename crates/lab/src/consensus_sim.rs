//! The agreement's own state machines in simulated time, at sizes that one machine can't start: how long a change
//! takes to hold, and what is sent for it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::convert::Infallible;

use linestack_accord::{
    AuditEntry, ClientSession, ConsensusConfig, Coordinator, CoordinatorId, Envelope, Incarnation, Input,
    Nanos, OperatorRequest, Output, Record, Reply, Request, State, Storage,
};
use linestack_member::{self as member, Member, Output as Does};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

const MS: Nanos = 1_000_000;

#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub members: usize,
    pub coordinators: u8,
    /// Part of the members that say nothing any more when the change is proposed.
    pub silent_share: f64,
    pub lease: Nanos,
    pub hold: Nanos,
    /// One way, half as much again by chance.
    pub latency: Nanos,
    /// To keep a record.
    pub sync_latency: Nanos,
    /// Bytes of the policy.
    pub policy_bytes: usize,
}

/// What came of one change.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ChangeCost {
    /// From the proposal to the decision, and to the moment from which no member may serve under the version before.
    pub decided_ms: f64,
    pub everywhere_ms: f64,
    /// In that time, of all; and of the speaker alone, sent and taken.
    pub messages: u64,
    pub bytes: u64,
    #[serde(rename = "speaker_bytes")]
    pub leader_bytes: u64,
    /// Of all, in a second in which nothing changes.
    pub idle_messages: u64,
    pub idle_bytes: u64,
}

enum Message {
    Envelope(CoordinatorId, Envelope),
    Request(ClientSession, Request),
    Reply(Reply),
    TickCoordinator,
    TickMember,
}

struct Due {
    to: usize,
    message: Message,
}

struct Kept(bool);

impl Storage for Kept {
    type Error = Infallible;

    fn persist(&mut self, _: &Record) -> Result<(), Infallible> {
        self.0 = true;
        Ok(())
    }
}

struct World<'a> {
    size: &'a SimulationConfig,
    now: Nanos,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    dues: std::collections::HashMap<u64, Due>,
    next: u64,
    coordinators: Vec<Coordinator>,
    /// Coordinators do one thing after the other: until when each is at its disk.
    busy: Vec<Nanos>,
    members: Vec<Member>,
    asks: Vec<usize>,
    silent: Vec<bool>,
    until: Vec<(u64, Nanos)>,
    decided: Vec<(u64, Nanos)>,
    messages: u64,
    bytes: u64,
    by: Vec<u64>,
}

fn fine(_: &str, _: &str) -> Result<(), Vec<String>> {
    Ok(())
}

impl<'a> World<'a> {
    fn new(size: &'a SimulationConfig, seed: u64) -> Self {
        let count = usize::from(size.coordinators);
        let record = Record { state: State::initial("x".repeat(size.policy_bytes)), ..Record::default() };
        let config = |id| ConsensusConfig {
            id,
            coordinators: size.coordinators,
            hold: size.hold,
            lease: size.lease,
            drift: 10,
            check: fine,
            injected_fault: None,
        };
        let coordinators =
            (0..size.coordinators).map(|id| Coordinator::new(config(id), record.clone(), 0)).collect();
        let incarnation = |m| Incarnation { store_id: m as u64 + 1, run_number: 1 };
        let members =
            (0..size.members).map(|m| Member::new(incarnation(m), 10, size.lease, 1, None)).collect();
        let mut world = Self {
            size,
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            dues: std::collections::HashMap::new(),
            next: 0,
            coordinators,
            busy: vec![0; count],
            members,
            asks: (0..size.members).map(|m| m % count).collect(),
            silent: vec![false; size.members],
            until: vec![(0, 0); size.members],
            decided: Vec::new(),
            messages: 0,
            bytes: 0,
            by: vec![0; count],
        };
        (0..count).for_each(|c| world.at(size.hold, c, Message::TickCoordinator));
        for m in 0..size.members {
            let at = world.rng.random_range(0..size.lease);
            world.at(at, count + m, Message::TickMember);
        }
        world
    }

    fn at(&mut self, at: Nanos, to: usize, message: Message) {
        self.next += 1;
        self.dues.insert(self.next, Due { to, message });
        self.queue.push(Reverse((at, self.next)));
    }

    fn send(&mut self, from: usize, to: usize, message: Message, after: Nanos) {
        // As on the wire: JSON in a frame, with what each frame says of its sender.
        let body = match &message {
            Message::Envelope(_, letter) => serde_json::to_vec(letter),
            Message::Request(_, request) => serde_json::to_vec(request),
            Message::Reply(reply) => serde_json::to_vec(reply),
            _ => Ok(Vec::new()),
        };
        let bytes = body.map_or(0, |b| b.len() as u64) + 16 + 120;
        self.messages += 1;
        self.bytes += bytes;
        for end in [from, to] {
            if let Some(by) = self.by.get_mut(end) {
                *by += bytes;
            }
        }
        let way = self.size.latency + self.rng.random_range(0..=self.size.latency / 2);
        self.at(after + way, to, message);
    }

    fn coordinator(&mut self, c: usize, input: Input) {
        let mut kept = Kept(false);
        let Ok(outs) = self.coordinators[c].handle(self.now, input).finish(&mut kept);
        let after = if kept.0 { self.now + self.size.sync_latency } else { self.now };
        self.busy[c] = after;
        for out in outs {
            match out {
                Output::Send { to, envelope } => {
                    self.send(c, usize::from(to), Message::Envelope(c as CoordinatorId, envelope), after);
                }
                Output::Reply { client: ClientSession::Member(name), reply } => {
                    let m: usize = name.parse().unwrap_or(0);
                    let to = self.coordinators.len() + m;
                    self.send(c, to, Message::Reply(reply), after);
                }
                Output::Audit(AuditEntry::Decided { version, .. }) => self.decided.push((version, after)),
                _ => {}
            }
        }
        let due = self.coordinators[c].next_due().max(after + 1);
        self.at(due, c, Message::TickCoordinator);
    }

    fn member(&mut self, m: usize, input: member::Input) {
        if self.silent[m] {
            return;
        }
        let mut outs = Vec::new();
        self.members[m].handle(self.now, input, &mut outs);
        let (mut at, here, mut after) = (0, self.coordinators.len() + m, self.now);
        while at < outs.len() {
            match outs[at].clone() {
                Does::Send(renew) => {
                    let guest = ClientSession::Member(m.to_string());
                    self.send(here, self.asks[m], Message::Request(guest, Request::Renew(renew)), after);
                }
                Does::Stage(policy) => {
                    after += self.size.sync_latency;
                    let done = member::Input::Staged { version: policy.version, result: Ok(()) };
                    self.members[m].handle(self.now, done, &mut outs);
                }
                Does::Activate(policy) => {
                    after += self.size.sync_latency;
                    let done = member::Input::Activated { version: policy.version, result: Ok(()) };
                    self.members[m].handle(self.now, done, &mut outs);
                }
                Does::Serve { version, until } => self.until[m] = (version, until),
                Does::TryAnotherCoordinator => {
                    self.asks[m] = (self.asks[m] + 1) % self.coordinators.len();
                    self.members[m].handle(self.now, member::Input::SessionOpened, &mut outs);
                }
                Does::Notify(_) => {}
            }
            at += 1;
        }
        let due = self.members[m].next_due();
        if due < Nanos::MAX {
            self.at(due.max(self.now + 1), here, Message::TickMember);
        }
    }

    /// Plays until then.
    fn until(&mut self, end: Nanos) {
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            let Some(Due { to, message }) = self.dues.remove(&number) else { continue };
            self.now = at;
            let count = self.coordinators.len();
            if to < count && self.busy[to] > at {
                self.at(self.busy[to], to, message);
                continue;
            }
            match message {
                Message::Envelope(from, envelope) => self.coordinator(to, Input::Message { from, envelope }),
                Message::Request(client, request) => self.coordinator(to, Input::Request { client, request }),
                Message::Reply(reply) => self.member(to - count, member::Input::Reply(reply)),
                Message::TickCoordinator if self.coordinators[to].next_due() <= at => {
                    self.coordinator(to, Input::Tick);
                }
                Message::TickCoordinator => {}
                Message::TickMember => {
                    let first = self.members[to - count].next_due() == Nanos::MAX;
                    self.member(
                        to - count,
                        if first { member::Input::SessionOpened } else { member::Input::Tick },
                    );
                }
            }
        }
        self.now = end;
    }

    fn speaker(&self) -> Option<usize> {
        self.coordinators.iter().position(|c| c.is_leader(self.now))
    }
}

/// One change in a fleet that is settled; none if nobody speaks or nothing was decided in a minute.
#[must_use]
pub fn simulate_change(size: &SimulationConfig, seed: u64) -> Option<ChangeCost> {
    let mut world = World::new(size, seed);
    world.until(4 * size.lease + 10_000 * MS);
    let speaker = world.speaker()?;
    let idle = (world.messages, world.bytes);
    world.until(world.now + 1000 * MS);
    let idle = (world.messages - idle.0, world.bytes - idle.1);
    let bad = (size.silent_share * size.members as f64).round() as usize;
    for m in rand::seq::index::sample(&mut world.rng, size.members, bad) {
        world.silent[m] = true;
    }
    let (begin, messages, bytes, by) = (world.now, world.messages, world.bytes, world.by[speaker]);
    let text = "y".repeat(size.policy_bytes);
    let ask = OperatorRequest::Propose {
        request: "r".into(),
        base_version: 1,
        text,
        require_all: false,
        give_up_after: None,
    };
    world.coordinator(
        speaker,
        Input::Request { client: ClientSession::Operator(1), request: Request::Operator(ask) },
    );
    // Until nobody may serve under the version before, step by step.
    let old =
        |w: &World<'_>| w.until.iter().filter(|(version, until)| *version < 2 && *until > w.now).count();
    while old(&world) > 0 || world.decided.iter().all(|(v, _)| *v != 2) {
        if world.now > begin + 60_000 * MS {
            return None;
        }
        world.until(world.now + MS);
    }
    let decided = world.decided.iter().find(|(v, _)| *v == 2)?.1;
    let ms = |t: Nanos| (t - begin) as f64 / MS as f64;
    Some(ChangeCost {
        decided_ms: ms(decided),
        everywhere_ms: ms(world.now),
        messages: world.messages - messages,
        bytes: world.bytes - bytes,
        leader_bytes: world.by[speaker] - by,
        idle_messages: idle.0,
        idle_bytes: idle.1,
    })
}
