//! Coordinators and members on a network that loses, repeats, delays and reorders, and what must hold there.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};

use linestack_accord::*;
use linestack_member::{self as member, Member, Output as Does};

pub const HOLD: Nanos = 40;
pub const LEASE: Nanos = 120;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum To {
    Coordinator(Id),
    Member(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Letter(Id, Letter),
    Guest(Guest, Request),
    Reply(Reply),
}

#[derive(Clone, Debug, Hash)]
pub struct Sent {
    pub to: To,
    pub message: Message,
}

struct Disk<'a>(&'a mut Record);

impl Keep for Disk<'_> {
    type Fault = Infallible;

    fn keep(&mut self, record: &Record) -> Result<(), Infallible> {
        *self.0 = record.clone();
        Ok(())
    }
}

#[derive(Clone, Copy, Default)]
pub struct Mistakes {
    pub coordinator: Option<Broken>,
    pub member: Option<member::InjectedFault>,
}

#[derive(Clone)]
pub struct World {
    pub now: Nanos,
    pub coordinators: Vec<Option<Coordinator>>,
    pub disks: Vec<Record>,
    pub members: Vec<Member>,
    /// Which coordinator each member asks.
    pub asks: Vec<Id>,
    pub net: Vec<Sent>,
    /// When each version was decided, and its digest.
    pub decided: BTreeMap<u64, (Nanos, u32)>,
    pub dropped: BTreeMap<u64, String>,
    pub mistakes: Mistakes,
    /// What operators were told.
    pub heard: Vec<Reply>,
    /// What did not hold.
    pub broken: Option<String>,
}

fn fine(_: &str, _: &str) -> Result<(), Vec<String>> {
    Ok(())
}

impl World {
    pub fn new(coordinators: usize, members: usize, mistakes: Mistakes) -> Self {
        let disks = vec![Record { state: State::first("1".into()), ..Record::default() }; coordinators];
        let mut world = Self {
            now: 1000,
            coordinators: vec![None; coordinators],
            disks,
            members: Vec::new(),
            asks: vec![0; members],
            net: Vec::new(),
            decided: BTreeMap::new(),
            dropped: BTreeMap::new(),
            mistakes,
            heard: Vec::new(),
            broken: None,
        };
        (0..coordinators).for_each(|c| world.start(c));
        for m in 0..members {
            let incarnation = Incarnation { home: m as u64, life: 1 };
            world
                .members
                .push(Member::new(incarnation, 0, LEASE, 0, None).with_injected_fault(mistakes.member));
            world.member(m, member::Input::SessionOpened);
        }
        world
    }

    pub fn start(&mut self, c: usize) {
        let terms = Terms {
            me: c as Id,
            count: self.coordinators.len() as u8,
            hold: HOLD,
            lease: LEASE,
            drift: 0,
            check: fine,
            broken: self.mistakes.coordinator,
        };
        self.coordinators[c] = Some(Coordinator::new(terms, self.disks[c].clone(), self.now));
    }

    /// Gives the number of one that is down to another with an empty store; returns whether that was agreed.
    pub fn replace(&mut self, c: usize) -> bool {
        let Some(speaker) = self.speaker() else { return false };
        let before =
            self.coordinators[speaker].as_ref().and_then(|s| s.chosen()).map_or(0, |s| s.seat(c as Id));
        let ask = Ask::Replace { seat: c as Id };
        self.coordinator(speaker, Input::Guest { guest: Guest::Operator(2), request: Request::Ask(ask) });
        self.settle(HOLD / 2);
        let after = self.speaker().and_then(|s| Some(self.coordinators[s].as_ref()?.chosen()?.seat(c as Id)));
        if after != Some(before + 1) || self.coordinators[c].is_some() {
            return false;
        }
        self.disks[c] = Record { seat: before + 1, learning: true, ..Record::default() };
        self.start(c);
        true
    }

    pub fn crash(&mut self, c: usize) {
        self.coordinators[c] = None;
    }

    pub fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.coordinators, &self.disks, &self.members, &self.decided, &self.dropped).hash(&mut hasher);
        // Times matter only as far from now as they are.
        self.now.hash(&mut hasher);
        let mut net: Vec<u64> = self
            .net
            .iter()
            .map(|s| {
                let mut h = DefaultHasher::new();
                s.hash(&mut h);
                h.finish()
            })
            .collect();
        net.sort_unstable();
        net.hash(&mut hasher);
        hasher.finish()
    }

    pub fn coordinator(&mut self, c: usize, input: Input) {
        let now = self.now;
        let Some(coordinator) = &mut self.coordinators[c] else { return };
        let Ok(outs) = coordinator.take(now, input).finish(&mut Disk(&mut self.disks[c]));
        for out in outs {
            match out {
                Out::Letter { to, letter } => {
                    self.send(To::Coordinator(to), Message::Letter(c as Id, letter));
                }
                Out::Guest { guest: Guest::Member(name), reply } => {
                    let m: usize = name.parse().unwrap_or(0);
                    self.send(To::Member(m), Message::Reply(reply));
                }
                Out::Guest { reply, .. } => self.heard.push(reply),
                Out::Note(note) => self.noted(note),
                Out::Halt => self.crash(c),
            }
        }
        self.check();
    }

    fn send(&mut self, to: To, message: Message) {
        self.net.push(Sent { to, message });
    }

    fn noted(&mut self, note: Note) {
        match note {
            Note::Decided { version, digest, .. } => {
                let first = !self.decided.contains_key(&version);
                let known = self.decided.entry(version).or_insert((self.now, digest));
                if known.1 != digest {
                    self.broken = Some(format!("version {version} has two texts"));
                }
                if self.dropped.contains_key(&version) {
                    self.broken = Some(format!("version {version} was dropped and decided"));
                }
                if first {
                    for (m, member) in self.members.iter().enumerate() {
                        if member.may_serve(self.now) && !member.has_version(version) {
                            self.broken =
                                Some(format!("{version} decided, and {m} may serve without having it"));
                        }
                    }
                }
            }
            Note::Dropped { version, end, .. } => {
                if self.decided.contains_key(&version) {
                    self.broken = Some(format!("version {version} was decided and dropped"));
                }
                self.dropped.insert(version, format!("{end:?}"));
            }
            _ => {}
        }
    }

    pub fn member(&mut self, m: usize, input: member::Input) {
        let (now, mut outs) = (self.now, Vec::new());
        self.members[m].handle(now, input, &mut outs);
        // What is kept and gone by is so at once here.
        let mut at = 0;
        while at < outs.len() {
            match outs[at].clone() {
                Does::Send(renew) => {
                    let to = To::Coordinator(self.asks[m]);
                    self.send(to, Message::Guest(Guest::Member(m.to_string()), Request::Renew(renew)));
                }
                Does::Stage(policy) => {
                    let done = member::Input::Staged { version: policy.version, result: Ok(()) };
                    self.members[m].handle(now, done, &mut outs);
                }
                Does::Activate(policy) => {
                    let done = member::Input::Activated { version: policy.version, result: Ok(()) };
                    self.members[m].handle(now, done, &mut outs);
                }
                Does::TryAnotherCoordinator => {
                    self.asks[m] = (self.asks[m] + 1) % self.coordinators.len() as Id;
                    self.members[m].handle(now, member::Input::SessionOpened, &mut outs);
                }
                Does::Serve { .. } | Does::Notify(_) => {}
            }
            at += 1;
        }
        self.check();
    }

    pub fn deliver(&mut self, sent: Sent) {
        match (sent.to, sent.message) {
            (To::Coordinator(c), Message::Letter(from, letter)) => {
                self.coordinator(c as usize, Input::Letter { from, letter });
            }
            (To::Coordinator(c), Message::Guest(guest, request)) => {
                self.coordinator(c as usize, Input::Guest { guest, request });
            }
            (To::Member(m), Message::Reply(reply)) => self.member(m, member::Input::Reply(reply)),
            _ => {}
        }
    }

    pub fn propose(&mut self, c: usize, request: &str, text: &str, give_up: Option<Nanos>) {
        let chosen = self.coordinators.iter().flatten().filter_map(|c| c.chosen());
        let base = chosen.map(|s| s.policy.version).max().unwrap_or(0);
        let (request, text) = (request.to_owned(), text.to_owned());
        let ask = Ask::Propose { request, base, text, all: false, give_up };
        self.coordinator(c, Input::Guest { guest: Guest::Operator(1), request: Request::Ask(ask) });
    }

    /// What must hold at every moment.
    pub fn check(&mut self) {
        for (m, member) in self.members.iter().enumerate() {
            if !member.may_serve(self.now) || self.broken.is_some() {
                continue;
            }
            let version = member.active();
            if !self.decided.contains_key(&version) {
                self.broken = Some(format!("member {m} serves under {version}, which was not decided"));
            }
            for (newer, (at, _)) in self.decided.range(version + 1..) {
                if self.now > at + LEASE {
                    self.broken = Some(format!("member {m} serves under {version}, long after {newer}"));
                }
            }
        }
    }

    /// The next time at which anybody that runs wants a tick.
    pub fn due(&self, paused: &[bool]) -> Nanos {
        let coordinators = self.coordinators.iter().flatten().map(Coordinator::next_due);
        let members =
            self.members.iter().enumerate().filter(|(m, _)| !paused.get(*m).copied().unwrap_or(false));
        coordinators
            .chain(members.map(|(_, m)| m.next_due()))
            .min()
            .unwrap_or(Nanos::MAX)
            .clamp(self.now + 1, self.now + LEASE)
    }

    /// Lets time pass to then, and ticks whoever is due.
    pub fn pass(&mut self, to: Nanos, paused: &[bool]) {
        self.now = to;
        for c in 0..self.coordinators.len() {
            if self.coordinators[c].as_ref().is_some_and(|c| c.next_due() <= to) {
                self.coordinator(c, Input::Tick);
            }
        }
        for m in 0..self.members.len() {
            if !paused.get(m).copied().unwrap_or(false) && self.members[m].next_due() <= to {
                self.member(m, member::Input::Tick);
            }
        }
        self.check();
    }

    /// Delivers everything, in order, until so much time has passed.
    pub fn settle(&mut self, span: Nanos) {
        let end = self.now + span;
        while self.now < end && self.broken.is_none() {
            for sent in std::mem::take(&mut self.net) {
                self.deliver(sent);
            }
            if self.net.is_empty() {
                self.pass(self.due(&[]).min(end), &[]);
            }
        }
    }

    pub fn speaker(&self) -> Option<usize> {
        self.coordinators.iter().position(|c| c.as_ref().is_some_and(|c| c.speaks(self.now)))
    }
}
