//! One coordinator: it promises, accepts, speaks for the fleet when it can, and gives members leave to serve.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Broken, Terms};
use crate::message::{Ask, Grant, Guest, Letter, Peer, Renew, Reply, Request, Standing, Status};
use crate::state::{
    Ballot, End, Ended, Id, Incarnation, LARGEST_TEXT, LONGEST_NAME, MOST_MEMBERS, Nanos, Pending, Policy,
    Record, State,
};
use crate::step::{Input, Note, Out, Step};

#[derive(Clone, Debug, Hash)]
struct Session {
    incarnation: Incarnation,
    /// The coordinator that it is connected to, where that is another.
    via: Option<Id>,
    /// It may serve until then, by this clock.
    until: Nanos,
    active: u64,
    staged: u64,
    declined: Option<(u64, String)>,
    stage: String,
    /// Its clock and this one when it was first heard: their rates are compared.
    first: (Nanos, Nanos),
}

/// A write on its way.
#[derive(Clone, Debug, Hash)]
struct Flight {
    state: State,
    accepted: BTreeSet<Id>,
}

#[derive(Clone, Debug, Hash)]
struct Speaking {
    ballot: Ballot,
    /// The newest state that most have accepted under this ballot; none yet at first.
    chosen: Option<State>,
    flight: Option<Flight>,
    /// The newest time of this clock that each of the others has answered.
    acks: BTreeMap<Id, Nanos>,
    since: Nanos,
    /// Until then members may serve by somebody else's leave.
    blind_until: Nanos,
    beat_at: Nanos,
    sessions: BTreeMap<String, Session>,
    joins: BTreeMap<String, Incarnation>,
    /// Members to be taken off the list, and who is told when they are.
    forgets: Vec<(Option<Id>, Guest, String)>,
    replaces: Option<(Option<Id>, Guest, Id)>,
    /// Up to which write each of the others has accepted under this ballot.
    has: BTreeMap<Id, u64>,
    proposal: Option<(Option<Id>, Guest, Pending)>,
    abort: Option<String>,
    /// When the change that is pending was first known to be, by its version.
    pending_since: (u64, Nanos),
}

#[derive(Clone, Debug, Hash)]
enum Role {
    Following,
    /// With each promise, which one of its number gave it.
    Asking {
        ballot: Ballot,
        promises: BTreeMap<Id, (Ballot, State, u32)>,
        again: Nanos,
    },
    Speaking(Box<Speaking>),
}

/// A coordinator. Only its record outlives it.
#[derive(Clone, Debug)]
pub struct Coordinator {
    terms: Terms,
    record: Record,
    /// The record is not as it was kept last.
    dirty: bool,
    role: Role,
    /// Nobody else is heard until then.
    held: (Option<Id>, Nanos),
    /// The highest round heard of.
    floor: u32,
    /// Sessions of a speaker that steps down, for when it speaks again.
    sessions: BTreeMap<String, Session>,
    /// The highest count of writes seen of each, by its number and seat.
    seen: BTreeMap<(Id, u32), u64>,
    halted: bool,
    outs: Vec<Out>,
}

impl std::hash::Hash for Coordinator {
    fn hash<H: std::hash::Hasher>(&self, h: &mut H) {
        (&self.record, &self.role, &self.held, self.floor, &self.sessions, self.halted).hash(h);
    }
}

impl Coordinator {
    /// One that starts now, with what it had kept. It hears nobody for a while, for before it ended it may have
    /// said that it would not.
    #[must_use]
    pub fn new(terms: Terms, record: Record, now: Nanos) -> Self {
        let floor = record.promised.round;
        Self {
            terms,
            record,
            dirty: false,
            role: Role::Following,
            held: (None, now + terms.hold),
            floor,
            sessions: BTreeMap::new(),
            seen: BTreeMap::new(),
            halted: false,
            outs: Vec::new(),
        }
    }

    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What it knows to be agreed, if it speaks for the fleet.
    #[must_use]
    pub fn chosen(&self) -> Option<&State> {
        match &self.role {
            Role::Speaking(s) => s.chosen.as_ref(),
            _ => None,
        }
    }

    /// Whether it may speak for the fleet at this time.
    #[must_use]
    pub fn speaks(&self, now: Nanos) -> bool {
        match &self.role {
            Role::Speaking(s) => s.chosen.is_some() && now < self.valid_until(s),
            _ => false,
        }
    }

    /// When it wants a tick.
    #[must_use]
    pub fn next_due(&self) -> Nanos {
        match &self.role {
            _ if self.halted => Nanos::MAX,
            Role::Following if self.record.learning => Nanos::MAX,
            Role::Following => self.ask_at(),
            Role::Asking { again, .. } => *again,
            Role::Speaking(s) => {
                let pending = s.chosen.as_ref().and_then(|c| c.pending.as_ref());
                let given_up = pending.and_then(|p| p.give_up).map(|g| s.pending_since.1.saturating_add(g));
                s.beat_at.min(
                    given_up
                        .filter(|at| *at > s.beat_at - self.terms.heartbeat_interval())
                        .unwrap_or(Nanos::MAX),
                )
            }
        }
    }

    /// Takes an input.
    pub fn take(&mut self, now: Nanos, input: Input) -> Step {
        if !self.halted {
            match input {
                Input::Letter { from, letter } => self.letter(now, from, letter),
                Input::Guest { guest, request } => self.guest(now, None, guest, request),
                Input::Tick => self.tick(now),
            }
        }
        let record = std::mem::take(&mut self.dirty).then(|| {
            self.record.mark += 1;
            self.record.clone()
        });
        let mut outs = std::mem::take(&mut self.outs);
        for out in &mut outs {
            if let Out::Letter { to, letter } = out {
                (letter.mark, letter.seat) = (self.record.mark, self.record.seat);
                let seat = self.record.state.seat(*to);
                letter.seen = self.seen.get(&(*to, seat)).copied().unwrap_or(0);
                letter.of = seat;
            }
        }
        if self.terms.injects(Broken::Forgets) {
            let promises = |o: &Out| matches!(o, Out::Letter { letter, .. } if matches!(letter.peer, Peer::Promise { .. }));
            let promised = outs.iter().any(promises);
            return Step::new(record.filter(|_| !promised), outs);
        }
        Step::new(record, outs)
    }

    fn send(&mut self, to: Id, peer: Peer) {
        self.outs.push(Out::Letter { to, letter: Letter { mark: 0, seen: 0, of: 0, seat: 0, peer } });
    }

    fn reply(&mut self, via: Option<Id>, guest: Guest, reply: Reply) {
        match via {
            None => self.outs.push(Out::Guest { guest, reply }),
            Some(to) => self.send(to, Peer::Back { guest, reply }),
        }
    }

    fn ask_at(&self) -> Nanos {
        // One after the other, so that they do not ask against each other for ever.
        self.held.1 + self.terms.hold / 4 * Nanos::from(self.terms.me)
    }

    /// Until when others have said that they hear nobody else.
    fn valid_until(&self, s: &Speaking) -> Nanos {
        let wanted = self.terms.majority() - 1;
        if wanted == 0 {
            return Nanos::MAX;
        }
        let mut acks: Vec<Nanos> = s.acks.values().copied().collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        let hold = self.terms.hold - self.terms.hold * self.terms.drift / 1000;
        acks.get(wanted - 1).map_or(0, |at| at + hold)
    }

    fn tick(&mut self, now: Nanos) {
        match &self.role {
            Role::Following if now >= self.ask_at() && !self.record.learning => self.ask(now),
            Role::Asking { again, .. } if now >= *again => self.ask(now),
            Role::Speaking(s) => {
                let over = self.valid_until(s);
                let stays = self.terms.injects(Broken::OldSpeaker);
                if now >= over && now >= s.since + self.terms.hold && !stays {
                    self.step_down(now);
                } else if now >= s.beat_at {
                    self.beat(now);
                    self.consider(now);
                } else {
                    self.consider(now);
                }
            }
            _ => {}
        }
    }

    fn step_down(&mut self, now: Nanos) {
        if let Role::Speaking(s) = std::mem::replace(&mut self.role, Role::Following) {
            self.sessions = s.sessions;
        }
        self.held = (None, self.held.1.max(now + self.terms.hold / 2));
    }

    /// Phase 1. The same ballot is asked for again until somebody tells of a higher one.
    fn ask(&mut self, now: Nanos) {
        let me = self.terms.me;
        let again = now + self.terms.hold / 2 + self.terms.hold / 8 * Nanos::from(me);
        let present = match &mut self.role {
            Role::Asking { ballot, again: at, .. }
                if ballot.round >= self.floor && self.record.promised == *ballot =>
            {
                *at = again;
                Some(*ballot)
            }
            _ => None,
        };
        let ballot = present.unwrap_or_else(|| {
            let ballot = Ballot { round: self.floor.max(self.record.promised.round) + 1, by: me };
            self.floor = ballot.round;
            self.record.promised = ballot;
            self.dirty = true;
            let mine = (self.record.accepted, self.record.state.clone(), self.record.seat);
            self.role = Role::Asking { ballot, promises: BTreeMap::from([(me, mine)]), again };
            ballot
        });
        for to in self.terms.peers() {
            self.send(to, Peer::Prepare { ballot });
        }
        self.promised(now);
    }

    /// Whether most have promised.
    fn promised(&mut self, now: Nanos) {
        let Role::Asking { ballot, promises, .. } = &self.role else { return };
        let newest = promises.values().max_by_key(|(accepted, state, _)| (*accepted, state.rev));
        let (ballot, state) = (*ballot, newest.map(|(_, s, _)| s.clone()).unwrap_or_default());
        // One that was replaced since has no vote: what it promised was forgotten with its store.
        let votes = promises.iter().filter(|(id, (.., seat))| state.seat(**id) == *seat).count();
        if votes < self.terms.majority() {
            return;
        }
        let blind = if self.terms.injects(Broken::NotBlind) { 0 } else { self.terms.lease };
        self.role = Role::Speaking(Box::new(Speaking {
            ballot,
            chosen: None,
            flight: None,
            acks: BTreeMap::new(),
            since: now,
            blind_until: now + blind,
            beat_at: now,
            sessions: std::mem::take(&mut self.sessions),
            joins: BTreeMap::new(),
            forgets: Vec::new(),
            replaces: None,
            has: BTreeMap::new(),
            proposal: None,
            abort: None,
            pending_since: (0, now),
        }));
        // What some have accepted may be agreed: it is written again before anything follows from it.
        self.write(now, state);
    }

    /// Phase 2.
    fn write(&mut self, now: Nanos, state: State) {
        let me = self.terms.me;
        let Role::Speaking(s) = &mut self.role else { return };
        (self.record.accepted, self.record.state) = (s.ballot, state.clone());
        self.dirty = true;
        s.flight = Some(Flight { state, accepted: BTreeSet::from([me]) });
        self.beat(now);
        self.accepted(now);
    }

    /// Tells the others that it speaks, and what is on its way to be written.
    fn beat(&mut self, now: Nanos) {
        let (every, count) = (self.terms.heartbeat_interval(), self.terms.count);
        let Role::Speaking(s) = &mut self.role else { return };
        s.beat_at = now + every;
        let (ballot, at) = (s.ballot, now);
        let flight = s.flight.as_ref().map(|f| (f.state.clone(), f.accepted.clone()));
        let behind = |rev: u64| (0..count).filter(|id| s.has.get(id).is_none_or(|has| *has < rev)).collect();
        let behind: BTreeSet<Id> = s.chosen.as_ref().map_or_else(BTreeSet::new, |c| behind(c.rev));
        let chosen = s.chosen.clone();
        for to in self.terms.peers() {
            let peer = match &flight {
                Some((state, accepted)) if !accepted.contains(&to) => {
                    Peer::Accept { ballot, state: state.clone(), at, agreed: false }
                }
                // One that has missed a write, or has taken another's place, is told what is agreed.
                None if behind.contains(&to) => {
                    Peer::Accept { ballot, state: chosen.clone().unwrap_or_default(), at, agreed: true }
                }
                _ => Peer::Beat { ballot, at },
            };
            self.send(to, peer);
        }
    }

    /// Whether most have accepted what is on its way.
    fn accepted(&mut self, now: Nanos) {
        let majority = self.terms.majority();
        let Role::Speaking(s) = &mut self.role else { return };
        if s.flight.as_ref().is_none_or(|f| f.accepted.len() < majority) {
            return;
        }
        let Some(flight) = s.flight.take() else { return };
        let (round, new) = (s.ballot.round, flight.state);
        let old = s.chosen.replace(new.clone());
        let mut nudged: Vec<(Option<Id>, Guest)> = Vec::new();
        let pending = new.pending.as_ref().map(|p| p.policy.version);
        if let Some(version) = pending.filter(|v| s.pending_since.0 != *v) {
            s.pending_since = (version, now);
        }
        let news =
            old.as_ref().is_none_or(|o| o.policy.version != new.policy.version || o.pending != new.pending);
        if news {
            nudged.extend(s.sessions.iter().map(|(name, m)| (m.via, Guest::Member(name.clone()))));
        }
        let joined =
            |name: &String| old.as_ref().is_none_or(|o| o.members.get(name) != new.members.get(name));
        s.joins.retain(|name, incarnation| new.members.get(name) != Some(incarnation));
        for name in new.members.keys().filter(|n| joined(n)) {
            if let Some(session) = s.sessions.get(name).filter(|_| !news) {
                nudged.push((session.via, Guest::Member(name.clone())));
            }
        }
        let replaced =
            s.replaces.take_if(|(.., id)| old.as_ref().is_some_and(|o| o.seat(*id) < new.seat(*id)));
        if let Some((.., id)) = &replaced {
            // What it had, it had in another life.
            s.has.remove(id);
            s.acks.remove(id);
        }
        let (gone, forgets): (Vec<_>, Vec<_>) = std::mem::take(&mut s.forgets)
            .into_iter()
            .partition(|(.., name)| !new.members.contains_key(name));
        s.forgets = forgets;
        for (.., name) in &gone {
            s.sessions.remove(name);
        }
        let taken = s.proposal.take_if(|(_, _, p)| pending == Some(p.policy.version));
        let mut notes = Vec::new();
        if old.is_none() {
            notes.push(Note::Established { round });
        }
        let known: BTreeSet<u64> = old.iter().flat_map(|o| &o.ended).map(|e| e.version).collect();
        let fresh = |e: &&Ended| !known.contains(&e.version);
        for Ended { request, version, end } in new.ended.iter().filter(fresh) {
            if *end != End::Decided {
                notes.push(Note::Dropped { request: request.clone(), version: *version, end: end.clone() });
            }
        }
        if old.as_ref().is_none_or(|o| o.policy.version != new.policy.version) {
            let (version, digest) = (new.policy.version, new.policy.digest());
            let by = new.ended.iter().find(|e| e.version == version && e.end == End::Decided);
            let request = by.map_or(String::new(), |e| e.request.clone());
            notes.push(Note::Decided { request, version, digest });
        }
        if let Some(p) =
            new.pending.as_ref().filter(|_| old.as_ref().is_none_or(|o| o.pending != new.pending))
        {
            notes.push(Note::Pending { request: p.request.clone(), version: p.policy.version });
        }
        self.outs.extend(notes.into_iter().map(Out::Note));
        if let Some((via, guest, pending)) = taken {
            self.reply(via, guest, Reply::Taken { version: pending.policy.version });
        }
        if let Some((via, guest, id)) = replaced {
            let number = new.seat(id);
            self.reply(via, guest, Reply::Seat { number });
        }
        for (via, guest, _) in gone {
            self.reply(via, guest, Reply::Done);
        }
        for (via, guest) in nudged {
            self.reply(via, guest, Reply::Nudge);
        }
        self.consider(now);
    }

    fn letter(&mut self, now: Nanos, from: Id, letter: Letter) {
        if from >= self.terms.count || from == self.terms.me {
            return;
        }
        // What was seen of one that this took the place of says nothing of this.
        let older = letter.of == self.record.seat && letter.seen > self.record.mark;
        if older && !self.terms.injects(Broken::Forgets) {
            self.halted = true;
            self.outs.push(Out::Halt);
            return;
        }
        if letter.seat < self.record.state.seat(from) {
            // Its number is another's by now; it is told so when it is sent what is agreed.
            return;
        }
        let seat = letter.seat;
        let seen = self.seen.entry((from, seat)).or_default();
        *seen = (*seen).max(letter.mark);
        match letter.peer {
            Peer::Prepare { ballot } => {
                self.floor = self.floor.max(ballot.round);
                if self.record.learning {
                    return;
                }
                // Whoever speaks now may go on counting on not being replaced.
                if self.speaks(now) || (now < self.held.1 && self.held.0 != Some(from)) {
                    return;
                }
                if ballot < self.record.promised {
                    return self.send(from, Peer::Behind { promised: self.record.promised });
                }
                if ballot > self.record.promised {
                    self.record.promised = ballot;
                    self.dirty = true;
                    if !matches!(self.role, Role::Following) {
                        self.step_down(now);
                    }
                    // Gives who asks the time to be heard.
                    self.held = (Some(from), now + self.terms.hold / 2);
                }
                let (accepted, state) = (self.record.accepted, self.record.state.clone());
                self.send(from, Peer::Promise { ballot, accepted, state });
            }
            Peer::Promise { ballot, accepted, state } => {
                if let Role::Asking { ballot: mine, promises, .. } = &mut self.role
                    && *mine == ballot
                {
                    promises.insert(from, (accepted, state, seat));
                    self.promised(now);
                }
            }
            Peer::Accept { ballot, state, at, agreed } => {
                if agreed && state.seat(self.terms.me) > self.record.seat {
                    self.halted = true;
                    self.outs.push(Out::Halt);
                    return;
                }
                if !self.hears(now, from, ballot) {
                    return;
                }
                if self.record.learning {
                    // What is agreed gives it its vote, and nothing less.
                    if !agreed || state.seat(self.terms.me) != self.record.seat {
                        return;
                    }
                    self.record.learning = false;
                    self.dirty = true;
                }
                let rev = state.rev;
                let present = (self.record.accepted, self.record.state.rev);
                if (ballot, rev) > present {
                    (self.record.promised, self.record.accepted, self.record.state) = (ballot, ballot, state);
                    self.dirty = true;
                }
                if (ballot, rev) >= present {
                    self.send(from, Peer::Accepted { ballot, rev, at });
                }
            }
            Peer::Accepted { ballot, rev, at } => {
                let Role::Speaking(s) = &mut self.role else { return };
                // Whose number is just being given to another has its vote only once that is agreed.
                let agreed = s.chosen.as_ref().or(s.flight.as_ref().map(|f| &f.state));
                if s.ballot == ballot && agreed.is_some_and(|state| state.seat(from) == seat) {
                    let ack = s.acks.entry(from).or_default();
                    *ack = (*ack).max(at);
                    let has = s.has.entry(from).or_default();
                    *has = (*has).max(rev);
                    if let Some(flight) = s.flight.as_mut().filter(|f| f.state.rev == rev) {
                        flight.accepted.insert(from);
                        self.accepted(now);
                    }
                }
            }
            Peer::Beat { ballot, at } => {
                if self.hears(now, from, ballot) && !self.record.learning {
                    self.send(from, Peer::Beaten { ballot, at });
                }
            }
            Peer::Beaten { ballot, at } => {
                if let Role::Speaking(s) = &mut self.role
                    && s.ballot == ballot
                    && s.chosen.as_ref().is_some_and(|state| state.seat(from) == seat)
                {
                    let ack = s.acks.entry(from).or_default();
                    *ack = (*ack).max(at);
                }
            }
            Peer::Behind { promised } => {
                self.floor = self.floor.max(promised.round);
                let behind = match &self.role {
                    Role::Speaking(s) => promised > s.ballot,
                    Role::Asking { ballot, .. } => promised > *ballot,
                    Role::Following => false,
                };
                if behind && matches!(self.role, Role::Speaking(_)) {
                    let valid = self.speaks(now);
                    self.step_down(now);
                    if valid {
                        self.ask(now);
                    }
                }
            }
            Peer::Relay { guest, request } => self.guest(now, Some(from), guest, request),
            Peer::Back { guest, reply } => self.outs.push(Out::Guest { guest, reply }),
        }
    }

    /// Whether one who speaks is heard; from now on nobody else is, for a while.
    fn hears(&mut self, now: Nanos, from: Id, ballot: Ballot) -> bool {
        self.floor = self.floor.max(ballot.round);
        if ballot < self.record.promised {
            self.send(from, Peer::Behind { promised: self.record.promised });
            return false;
        }
        if !matches!(self.role, Role::Following) {
            self.step_down(now);
        }
        self.held = (Some(from), now + self.terms.hold);
        true
    }

    fn guest(&mut self, now: Nanos, via: Option<Id>, guest: Guest, request: Request) {
        let speaks = self.speaks(now) || self.terms.injects(Broken::OldSpeaker) && self.chosen().is_some();
        if !speaks {
            return match self.held {
                // It is passed on once: the one that it is passed to speaks, or knows no better.
                (Some(to), until) if via.is_none() && now < until => {
                    self.send(to, Peer::Relay { guest, request })
                }
                _ => self.reply(via, guest, Reply::Nobody),
            };
        }
        match (guest, request) {
            (Guest::Member(name), Request::Renew(renew)) => self.renew(now, via, name, renew),
            (guest @ Guest::Operator(_), Request::Ask(ask)) => self.ask_of(now, via, guest, ask),
            _ => {}
        }
    }

    fn refuse(&mut self, via: Option<Id>, name: String, why: &'static str) {
        self.outs.push(Out::Note(Note::Refused { member: name.clone(), why }));
        self.reply(via, Guest::Member(name), Reply::Refused(why.to_owned()));
    }

    fn renew(&mut self, now: Nanos, via: Option<Id>, name: String, renew: Renew) {
        let (lease, drift) = (self.terms.lease, self.terms.drift);
        let Role::Speaking(s) = &mut self.role else { return };
        let Some(chosen) = &s.chosen else { return };
        let known = chosen.members.get(&name).copied();
        let Renew { incarnation, at, active, staged, declined, mut stage } = renew;
        stage.truncate(stage.floor_char_boundary(LONGEST_NAME));
        if known != Some(incarnation) {
            let live = s.sessions.get(&name).is_some_and(|m| now < m.until && m.incarnation != incarnation);
            let why = match known {
                Some(k) if k.replaces(&incarnation) => Some("a later run of this member is known"),
                Some(k) if incarnation.replaces(&k) => None,
                Some(_) if live || now < s.blind_until => Some("the name is in use"),
                None if chosen.members.len() + s.joins.len() >= MOST_MEMBERS => Some("too many members"),
                _ if name.is_empty() || name.len() > LONGEST_NAME => Some("no name"),
                _ => None,
            };
            if let Some(why) = why {
                return self.refuse(via, name, why);
            }
            // It is nobody's session until it is written down whose the name is.
            let first = (at, now);
            let session = Session { incarnation, via, until: 0, active, staged, declined, stage, first };
            s.sessions.insert(name.clone(), session);
            s.joins.insert(name, incarnation);
            return self.consider(now);
        }
        // The name is on its way to a later run of the member.
        let flying = s.flight.as_ref().map_or(known, |f| f.state.members.get(&name).copied());
        if flying != known || s.joins.contains_key(&name) {
            return;
        }
        let (first, none) = ((at, now), String::new());
        let fresh =
            Session { incarnation, via, until: 0, active, staged, declined: None, stage: none, first };
        let session = s.sessions.entry(name.clone()).or_insert(fresh);
        if session.incarnation != incarnation {
            // One that asked to have the name meanwhile; it is not its own.
            let first = (at, now);
            let (until, stage) = (session.until, String::new());
            *session = Session { incarnation, via, until, active, staged, declined: None, stage, first };
        }
        // A clock that goes slower would make its leave last longer than it is counted here. What a message
        // takes is noise of a lease at most: one that took longer brings a leave that is over.
        let (theirs, ours) = (at.saturating_sub(session.first.0), now - session.first.1);
        if ours > theirs + lease + ours / 1000 * drift {
            return self.refuse(via, name, "its clock is slower than the drift allowed");
        }
        (session.via, session.active, session.staged, session.declined) = (via, active, staged, declined);
        session.stage = stage;
        let deciding =
            s.flight.as_ref().map(|f| f.state.policy.version).filter(|v| *v != chosen.policy.version);
        if deciding.is_some_and(|v| session.staged != v) {
            // A decision that does not count on this one is on its way.
            return;
        }
        session.until = session.until.max(now + lease);
        let version = chosen.policy.version;
        let change = chosen.pending.as_ref().map(|p| p.policy.clone());
        let declined = session.declined.as_ref().map(|(v, _)| *v);
        let change = change.filter(|c| session.staged != c.version && declined != Some(c.version));
        let policy = (active != version).then(|| chosen.policy.clone());
        let round = s.ballot.round;
        self.outs.push(Out::Note(Note::Granted { member: name.clone(), round, version }));
        self.reply(
            via,
            Guest::Member(name),
            Reply::Grant(Grant { incarnation, at, span: lease, version, policy, change }),
        );
        self.consider(now);
    }

    fn ask_of(&mut self, now: Nanos, via: Option<Id>, guest: Guest, ask: Ask) {
        let check = self.terms.check;
        let me = self.terms.me;
        let Role::Speaking(s) = &mut self.role else { return };
        let Some(chosen) = &s.chosen else { return };
        let outcome = |request: &str| {
            let ended = chosen.ended.iter().find(|e| e.request == request);
            let pending = chosen.pending.as_ref().filter(|p| p.request == request);
            let pending = pending.map(|p| Reply::Taken { version: p.policy.version });
            ended.map(|e| Reply::Ended(e.clone())).or(pending)
        };
        let reply = match ask {
            Ask::Propose { request, base, text, all, give_up } => {
                let under_way = s.proposal.as_ref().map(|(_, _, p)| p.request.clone());
                let flying =
                    s.flight.as_ref().and_then(|f| f.state.pending.as_ref()).map(|p| p.request.clone());
                let under_way = under_way.or(flying).or(chosen.pending.as_ref().map(|p| p.request.clone()));
                let mut faults = Vec::new();
                if let Some(known) = outcome(&request) {
                    self.reply(via, guest, known);
                    return;
                }
                if let Some(other) = under_way {
                    faults.push(format!("another change is under way: {other}"));
                }
                if base != chosen.policy.version {
                    faults.push(format!("base: {base}, and the fleet goes by {}", chosen.policy.version));
                }
                if request.is_empty() || request.len() > LONGEST_NAME {
                    faults.push(format!("request: from 1 to {LONGEST_NAME} characters"));
                }
                if text.len() > LARGEST_TEXT {
                    faults.push(format!("the policy has {} bytes, {LARGEST_TEXT} at most", text.len()));
                } else if let Err(more) = check(&chosen.policy.text, &text) {
                    faults.extend(more);
                }
                if faults.is_empty() {
                    let policy = Policy { version: chosen.last + 1, text };
                    s.proposal = Some((via, guest, Pending { request, policy, all, give_up }));
                    return self.consider(now);
                }
                Reply::TurnedDown(faults)
            }
            Ask::Outcome { request } => outcome(&request).unwrap_or(Reply::Unheard),
            Ask::Abort { request } => {
                let reply = outcome(&request).unwrap_or(Reply::Unheard);
                if matches!(reply, Reply::Taken { .. }) {
                    s.abort = Some(request);
                    self.reply(via, guest, reply);
                    return self.consider(now);
                }
                reply
            }
            Ask::Forget { member } => {
                let live = s.sessions.get(&member).is_some_and(|m| now < m.until) || now < s.blind_until;
                if !chosen.members.contains_key(&member) {
                    Reply::Unheard
                } else if live {
                    Reply::TurnedDown(vec![format!("{member} may serve still")])
                } else {
                    s.forgets.push((via, guest, member));
                    return self.consider(now);
                }
            }
            Ask::Replace { seat } => {
                let quiet = self.terms.hold * 4;
                let heard = s.acks.get(&seat).is_some_and(|at| now < at + quiet) || now < s.since + quiet;
                if seat >= self.terms.count || seat == me {
                    Reply::TurnedDown(vec![format!("coordinator {seat}: not one of the others")])
                } else if heard {
                    Reply::TurnedDown(vec![format!("coordinator {seat}: it is heard, or was a moment ago")])
                } else {
                    s.replaces = Some((via, guest, seat));
                    return self.consider(now);
                }
            }
            Ask::Status => {
                let standing = |(name, incarnation): (&String, &Incarnation)| {
                    let m = s.sessions.get(name).filter(|m| m.incarnation == *incarnation);
                    Standing {
                        name: name.clone(),
                        incarnation: *incarnation,
                        live: m.is_some_and(|m| now < m.until),
                        active: m.map(|m| m.active),
                        staged: m.map_or(0, |m| m.staged),
                        declined: m.and_then(|m| m.declined.clone()),
                        stage: m.map_or(String::new(), |m| m.stage.clone()),
                    }
                };
                Reply::Status(Box::new(Status {
                    speaker: me,
                    round: s.ballot.round,
                    rev: chosen.rev,
                    version: chosen.policy.version,
                    digest: chosen.policy.digest(),
                    pending: chosen.pending.as_ref().map(|p| (p.request.clone(), p.policy.version)),
                    members: chosen.members.iter().map(standing).collect(),
                    ended: chosen.ended.clone(),
                }))
            }
        };
        self.reply(via, guest, reply);
    }

    /// Writes what is wanted, if nothing else is on its way.
    fn consider(&mut self, now: Nanos) {
        let broken = self.terms.broken;
        if !self.speaks(now) {
            return;
        }
        let Role::Speaking(s) = &mut self.role else { return };
        let Some(chosen) = s.chosen.clone().filter(|_| s.flight.is_none()) else { return };
        let mut state = chosen.clone();
        for (name, incarnation) in &s.joins {
            state.members.insert(name.clone(), *incarnation);
        }
        // One that came back meanwhile stays, and whoever wanted it gone asks again.
        s.forgets.retain(|(.., name)| s.sessions.get(name).is_none_or(|m| now >= m.until));
        for (.., name) in &s.forgets {
            state.members.remove(name);
        }
        if let Some((.., seat)) = &s.replaces {
            *state.seats.entry(*seat).or_insert(0) += 1;
        }
        if let Some(pending) = &state.pending {
            let end = s.end_of(now, pending, &state.members, broken);
            if let Some(end) = end {
                state.end(end);
            }
        } else if let Some((_, _, proposal)) = &s.proposal {
            // What it builds on was looked at when it came, and nothing has been decided since.
            state.last = proposal.policy.version;
            state.pending = Some(proposal.clone());
        }
        if state != chosen {
            state.rev += 1;
            self.write(now, state);
        }
    }
}

impl Speaking {
    /// How a change ends now, if it does.
    fn end_of(
        &mut self,
        now: Nanos,
        pending: &Pending,
        members: &BTreeMap<String, Incarnation>,
        broken: Option<Broken>,
    ) -> Option<End> {
        let version = pending.policy.version;
        if self.abort.take_if(|a| *a == pending.request).is_some() {
            return Some(End::Aborted);
        }
        for (member, m) in &self.sessions {
            if let Some((_, key)) = m.declined.as_ref().filter(|(v, _)| *v == version) {
                return Some(End::Declined { member: member.clone(), key: key.clone() });
            }
        }
        let session = |name: &String, incarnation: &Incarnation| {
            self.sessions.get(name).filter(|m| m.incarnation == *incarnation)
        };
        let staged = |(name, incarnation): &(&String, &Incarnation)| {
            session(name, incarnation).is_some_and(|m| m.staged == version)
        };
        // By whoever's leave: until then one that is not heard may serve.
        let away = |(name, _): &(&String, &Incarnation)| {
            now >= self.blind_until && self.sessions.get(*name).is_none_or(|m| now >= m.until)
        };
        let ready = if broken == Some(Broken::Majority) {
            members.iter().filter(staged).count() * 2 > members.len()
        } else {
            members.iter().all(|m| staged(&m) || (!pending.all && away(&m)))
        };
        if ready {
            return Some(End::Decided);
        }
        pending.give_up.is_some_and(|g| now >= self.pending_since.1.saturating_add(g)).then_some(End::GivenUp)
    }
}
