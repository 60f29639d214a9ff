//! Hollow members: the members' own state machines and real sessions over loopback, many in one process and without a
//! thread or a store each.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use linestack::fleet::boottime;
use linestack::fleet::wire::{self, Body, FrameEncoder, FrameReader, Identity, SenderInfo};
use linestack_accord::{Incarnation, Nanos, Reply, Request};
use linestack_member::{Input, Member, Output};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde::Serialize;

use super::coordinators::FLEET;
use super::stop::Stop;

/// As in a node's session: by how many thousandths clocks may differ, how long a lease is taken to last before the
/// first, and the wait after a coordinator that does not answer.
const DRIFT: u64 = 10;
const SPAN: Nanos = 1_500_000_000;
const RETRY: Nanos = 20_000_000;
/// The longest wait for bytes before timers and the stop are looked at.
const LOOK: Duration = Duration::from_millis(5);
/// A connection is waited for, and the others must be heard meanwhile: so many between two looks at all sockets.
const CONNECTS_A_PASS: usize = 4;

/// What was sent and taken, in whole frames.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    pub messages_in: u64,
    pub messages_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl Traffic {
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }

    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            messages_in: self.messages_in + other.messages_in,
            messages_out: self.messages_out + other.messages_out,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
        }
    }

    #[must_use]
    pub fn messages(self) -> u64 {
        self.messages_in + self.messages_out
    }

    #[must_use]
    pub fn bytes(self) -> u64 {
        self.bytes_in + self.bytes_out
    }
}

struct Session {
    socket: TcpStream,
    reader: FrameReader,
    encoder: FrameEncoder,
}

/// One member's way through one change.
#[derive(Clone, Copy, Debug, Default)]
struct Passage {
    /// When it had kept the change, and when it went by it.
    staged_at: Option<Nanos>,
    in_force_at: Option<Nanos>,
    /// Traffic when the change was put, and once a coordinator had answered that the member goes by it.
    before: Traffic,
    after: Option<Traffic>,
}

struct HollowMember {
    own: SenderInfo,
    member: Member,
    session: Option<Session>,
    coordinator: usize,
    connect_at: Nanos,
    silent: bool,
    /// The version that it said last that it goes by.
    told: u64,
    /// The version that it serves under, and until when.
    serves: (u64, Nanos),
    traffic: Traffic,
    passage: Passage,
}

/// What members did in a change, in milliseconds from when it was put.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Passed {
    /// The last member had kept it; the first one went by it.
    pub all_staged_ms: f64,
    pub first_in_force_ms: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub last_ms: f64,
    /// When the last silent member's lease under the version before was over, by its own clock.
    pub silent_fenced_ms: f64,
    pub messages_a_member: f64,
    pub bytes_a_member: f64,
}

/// All hollow members of a fleet.
pub struct Hollow {
    members: Vec<HollowMember>,
    coordinators: Vec<SocketAddr>,
    /// The version that a change leads to.
    target: u64,
    pub refused: u64,
    pub sessions_lost: u64,
}

/// The names that members go by.
#[must_use]
pub fn name(number: usize) -> String {
    format!("member-{number:04}")
}

/// The run of the member with this number.
#[must_use]
pub fn incarnation(number: usize) -> Incarnation {
    // As large as numbers that are drawn.
    Incarnation { store_id: u64::MAX / 2 + number as u64, run_number: 1 }
}

fn milliseconds(from: Nanos, to: Nanos) -> f64 {
    to.saturating_sub(from) as f64 / 1e6
}

impl Session {
    fn open(to: SocketAddr, own: &SenderInfo) -> Result<Self, wire::WireError> {
        let (socket, reader, encoder) = wire::connect_session(to, own)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket, reader, encoder })
    }
}

impl HollowMember {
    fn new(number: usize, coordinators: usize, connect_at: Nanos) -> Self {
        let incarnation = incarnation(number);
        Self {
            own: SenderInfo {
                fleet: FLEET.to_owned(),
                identity: Identity::Member(name(number)),
                incarnation,
            },
            member: Member::new(incarnation, DRIFT, SPAN, 0, None),
            session: None,
            coordinator: number % coordinators,
            connect_at,
            silent: false,
            told: 0,
            serves: (0, 0),
            traffic: Traffic::default(),
            passage: Passage::default(),
        }
    }

    fn connect(&mut self, coordinators: &[SocketAddr], target: u64) {
        match Session::open(coordinators[self.coordinator], &self.own) {
            Ok(session) => {
                self.session = Some(session);
                self.take(Input::SessionOpened, target);
            }
            Err(_) => self.move_on(coordinators.len()),
        }
    }

    fn move_on(&mut self, coordinators: usize) {
        self.session = None;
        self.member.handle(boottime(), Input::SessionClosed, &mut Vec::new());
        self.coordinator = (self.coordinator + 1) % coordinators;
        self.connect_at = boottime() + RETRY;
    }

    /// Gives an input to the state machine and does what follows. Without a session afterwards it is to move on.
    fn take(&mut self, input: Input, target: u64) -> u64 {
        let (mut outs, mut refused) = (Vec::new(), 0);
        self.member.handle(boottime(), input, &mut outs);
        let mut at = 0;
        while let Some(out) = outs.get(at).cloned() {
            at += 1;
            match out {
                Output::Send(renew) => self.send(renew),
                Output::Stage(policy) => {
                    self.passage.staged_at = Some(boottime());
                    let done = Input::Staged { version: policy.version, result: Ok(()) };
                    self.member.handle(boottime(), done, &mut outs);
                }
                Output::Activate(policy) => {
                    let done = Input::Activated { version: policy.version, result: Ok(()) };
                    self.member.handle(boottime(), done, &mut outs);
                }
                Output::Serve { version, until } => {
                    self.serves = (version, until);
                    if version >= target && self.passage.in_force_at.is_none() {
                        self.passage.in_force_at = Some(boottime());
                    }
                }
                Output::TryAnotherCoordinator => self.session = None,
                Output::Notify(_) => refused += 1,
            }
        }
        refused
    }

    fn send(&mut self, renew: linestack_accord::Renew) {
        let Some(session) = &mut self.session else { return };
        self.told = renew.active;
        let bytes = session.encoder.encode(Body::Request(Request::Renew(renew)));
        let sent = bytes.is_ok_and(|bytes| {
            self.traffic.messages_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
            session.socket.write_all(&bytes).is_ok()
        });
        if !sent {
            self.session = None;
        }
    }

    /// Reads what has come, and takes it.
    fn hear(&mut self, target: u64) -> u64 {
        let mut refused = 0;
        loop {
            let Some(session) = &mut self.session else { return refused };
            match session.reader.next_frame() {
                Ok(Some(frame)) => refused += self.heard(frame, target),
                Ok(None) => match session.reader.read(&mut session.socket) {
                    Ok(true) => {}
                    Ok(false) => return refused,
                    Err(_) => self.session = None,
                },
                Err(_) => self.session = None,
            }
        }
    }

    fn heard(&mut self, frame: wire::Frame, target: u64) -> u64 {
        // A frame is written anew to count it: its form is the same on both ends.
        let body = serde_json::to_vec(&frame).map_or(0, |body| body.len());
        self.traffic.messages_in += 1;
        self.traffic.bytes_in += (linestack_frames::HEADER_LENGTH + body) as u64;
        let Body::Reply(reply) = frame.body else {
            self.session = None;
            return 0;
        };
        let settles = self.told >= target && matches!(&reply, Reply::Grant(grant) if grant.version >= target);
        let refused = self.take(Input::Reply(reply), target);
        if settles && self.passage.after.is_none() {
            self.passage.after = Some(self.traffic);
        }
        refused
    }
}

impl Hollow {
    /// Members that connect one after the other over this time, so that they do not ask at once.
    #[must_use]
    pub fn new(count: usize, coordinators: &[SocketAddr], spread: Duration) -> Self {
        let now = boottime();
        let step = spread.as_nanos() as u64 / count.max(1) as u64;
        let member = |number| HollowMember::new(number, coordinators.len(), now + step * number as u64);
        let members = (0..count).map(member).collect();
        Self { members, coordinators: coordinators.to_vec(), target: 1, refused: 0, sessions_lost: 0 }
    }

    /// Sent and taken by all.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.members.iter().fold(Traffic::default(), |sum, m| sum.plus(m.traffic))
    }

    /// All that are not silent serve under the target's version, and were answered so.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.members.iter().all(|m| m.silent || m.passage.after.is_some())
    }

    /// A change to this version is about to be put.
    pub fn expect(&mut self, target: u64) {
        self.target = target;
        for member in &mut self.members {
            member.passage = Passage { before: member.traffic, ..Passage::default() };
        }
    }

    /// Members that the condition names say and hear nothing from now on; the others are there.
    pub fn silence(&mut self, is_silent: impl Fn(usize) -> bool) {
        let coordinators = self.coordinators.len();
        for (number, member) in self.members.iter_mut().enumerate() {
            let silent = is_silent(number);
            if member.silent && !silent {
                // It comes back with a session of its own.
                member.move_on(coordinators);
            }
            member.silent = silent;
        }
    }

    /// What came of the change that was put at this time.
    #[must_use]
    pub fn passed(&self, begin: Nanos) -> Passed {
        let there: Vec<&HollowMember> = self.members.iter().filter(|m| !m.silent).collect();
        let mut in_force: Vec<f64> =
            there.iter().filter_map(|m| Some(milliseconds(begin, m.passage.in_force_at?))).collect();
        in_force.sort_by(f64::total_cmp);
        let quantile = |part: f64| {
            let last = in_force.len().saturating_sub(1);
            in_force.get((last as f64 * part).round() as usize).copied().unwrap_or(f64::NAN)
        };
        let staged = there.iter().filter_map(|m| m.passage.staged_at);
        let silent = self.members.iter().filter(|m| m.silent).map(|m| m.serves.1);
        let total = there.iter().fold(Traffic::default(), |sum, m| {
            sum.plus(m.passage.after.unwrap_or(m.traffic).since(m.passage.before))
        });
        let count = there.len().max(1) as f64;
        Passed {
            all_staged_ms: milliseconds(begin, staged.max().unwrap_or(begin)),
            first_in_force_ms: quantile(0.0),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            last_ms: quantile(1.0),
            silent_fenced_ms: milliseconds(begin, silent.max().unwrap_or(begin)),
            messages_a_member: total.messages() as f64 / count,
            bytes_a_member: total.bytes() as f64 / count,
        }
    }

    /// Runs all members until then, or until `done`.
    ///
    /// # Errors
    ///
    /// The run is to end, or the system can't wait for sockets.
    pub fn drive(
        &mut self,
        until: Instant,
        stop: &Stop,
        done: impl Fn(&Self) -> bool,
    ) -> Result<(), Box<dyn std::error::Error>> {
        while Instant::now() < until && !done(self) {
            stop.check()?;
            self.tick();
            self.wait_and_hear()?;
        }
        Ok(())
    }

    fn tick(&mut self) {
        let (coordinators, target) = (&self.coordinators, self.target);
        let mut connects = CONNECTS_A_PASS;
        for member in self.members.iter_mut().filter(|m| !m.silent) {
            let now = boottime();
            if member.session.is_none() {
                if now >= member.connect_at && connects > 0 {
                    connects -= 1;
                    member.connect(coordinators, target);
                }
            } else if member.member.next_due() <= now {
                // As in a node's session: what has come is taken before the time is looked at.
                self.refused += member.hear(target);
                self.refused += member.take(Input::Tick, target);
                if member.session.is_none() {
                    self.sessions_lost += 1;
                    member.move_on(coordinators.len());
                }
            }
        }
    }

    fn wait_and_hear(&mut self) -> Result<(), io::Error> {
        let (mut waiting, mut places) = (Vec::new(), Vec::new());
        for (place, member) in self.members.iter().enumerate() {
            if let Some(session) = member.session.as_ref().filter(|_| !member.silent) {
                waiting.push(PollFd::new(&session.socket, PollFlags::IN));
                places.push(place);
            }
        }
        let look = Timespec { tv_sec: 0, tv_nsec: LOOK.as_nanos() as i64 };
        match poll(&mut waiting, Some(&look)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(why) => return Err(why.into()),
        }
        let ready: Vec<usize> = waiting
            .iter()
            .zip(&places)
            .filter(|(fd, _)| !fd.revents().is_empty())
            .map(|(_, place)| *place)
            .collect();
        drop(waiting);
        let (coordinators, target) = (self.coordinators.len(), self.target);
        for place in ready {
            let member = &mut self.members[place];
            self.refused += member.hear(target);
            if member.session.is_none() {
                self.sessions_lost += 1;
                member.move_on(coordinators);
            }
        }
        Ok(())
    }
}
