//! In-process members: the state machines of members with real sessions over loopback. Many of them run in one process,
//! without a thread or a store for each.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use linestack::fleet::boottime;
use linestack::fleet::wire::{self, Body, FrameEncoder, FrameReader, Identity, SenderInfo};
use linestack_accord::{Incarnation, Nanos, Reply, Request};
use linestack_member::{Input, Member, Output};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde::Serialize;

use super::coordinators::FLEET_ID;
use super::stop::Stop;

/// Maximum difference between the rates of two clocks, in thousandths. As in a node's session.
const DRIFT_THOUSANDTHS: u64 = 10;
/// Assumed duration of a lease until the first one arrives. As in a node's session.
const INITIAL_LEASE_NS: Nanos = 1_500_000_000;
/// Delay before the next coordinator is tried. As in a node's session.
const RETRY_DELAY_NS: Nanos = 20_000_000;
/// Maximum wait for sockets, after which timers and the stop condition are checked again.
const POLL_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum number of connections opened between two polls of the sockets. Opening one blocks, and the sessions of the
/// other members must be read in the meantime.
const MAX_CONNECTS_PER_POLL: usize = 4;

/// Whole frames sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    pub messages_in: u64,
    pub messages_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl Traffic {
    /// Returns the traffic since an earlier count.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }

    /// Returns the sum of two counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            messages_in: self.messages_in + other.messages_in,
            messages_out: self.messages_out + other.messages_out,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
        }
    }

    /// Returns the number of messages in both directions.
    #[must_use]
    pub fn messages(self) -> u64 {
        self.messages_in + self.messages_out
    }

    /// Returns the number of bytes in both directions.
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

/// One member's progress through one change.
#[derive(Clone, Copy, Debug, Default)]
struct ChangeProgress {
    /// When the member staged the change.
    staged_at: Option<Nanos>,
    /// When the member began to serve under the new version.
    in_force_at: Option<Nanos>,
    /// The member's traffic before the change.
    traffic_before: Traffic,
    /// The member's traffic when a coordinator answered its report that the new version is active.
    traffic_after: Option<Traffic>,
}

struct InProcessMember {
    sender: SenderInfo,
    member: Member,
    session: Option<Session>,
    /// Index of the coordinator of the current or the next session.
    coordinator: usize,
    /// When the next session may be opened.
    connect_at: Nanos,
    /// Whether the member neither sends nor reads anything.
    silent: bool,
    /// The active version in the last request.
    reported_version: u64,
    /// Until when the member may serve under its current version.
    serving_until: Nanos,
    traffic: Traffic,
    progress: ChangeProgress,
}

/// Times and traffic of the members in one change. Times are in milliseconds from the proposal.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberChangeStats {
    /// When the last member staged the change.
    pub all_staged_ms: f64,
    /// When the first member began to serve under the new version.
    pub first_in_force_ms: f64,
    /// Median of the times at which members began to serve under the new version.
    pub p50_ms: f64,
    /// 99th percentile of these times.
    pub p99_ms: f64,
    /// When the last member began to serve under the new version.
    pub last_ms: f64,
    /// When the last lease of a silent member under the previous version ended, by the member's clock.
    pub silent_fenced_ms: f64,
    /// Messages of the change for each member that is not silent.
    pub messages_a_member: f64,
    /// Bytes of these messages for each member.
    pub bytes_a_member: f64,
}

/// All in-process members of a fleet.
pub struct InProcessMembers {
    members: Vec<InProcessMember>,
    coordinators: Vec<SocketAddr>,
    /// The version that the members are to serve under.
    target: u64,
    /// Number of notices for the operator, such as a refusal by the coordinators.
    pub refused: u64,
    /// Number of sessions that were lost during the run.
    pub sessions_lost: u64,
}

/// Returns the name of a member.
#[must_use]
pub fn member_name(number: usize) -> String {
    format!("member-{number:04}")
}

/// Returns the incarnation of a member.
#[must_use]
pub fn incarnation(number: usize) -> Incarnation {
    // Large, so that its JSON is about as long as that of a random store id.
    Incarnation { store_id: u64::MAX / 2 + number as u64, run_number: 1 }
}

fn milliseconds(from: Nanos, to: Nanos) -> f64 {
    to.saturating_sub(from) as f64 / 1e6
}

impl Session {
    fn open(to: SocketAddr, sender: &SenderInfo) -> Result<Self, wire::WireError> {
        let (socket, reader, encoder) = wire::connect_session(to, sender)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket, reader, encoder })
    }
}

impl InProcessMember {
    fn new(number: usize, coordinators: usize, connect_at: Nanos) -> Self {
        let incarnation = incarnation(number);
        Self {
            sender: SenderInfo {
                fleet: FLEET_ID.to_owned(),
                identity: Identity::Member(member_name(number)),
                incarnation,
            },
            member: Member::new(incarnation, DRIFT_THOUSANDTHS, INITIAL_LEASE_NS, 0, None),
            session: None,
            coordinator: number % coordinators,
            connect_at,
            silent: false,
            reported_version: 0,
            serving_until: 0,
            traffic: Traffic::default(),
            progress: ChangeProgress::default(),
        }
    }

    fn connect(&mut self, coordinators: &[SocketAddr], target: u64) {
        match Session::open(coordinators[self.coordinator], &self.sender) {
            Ok(session) => {
                self.session = Some(session);
                self.handle(Input::SessionOpened, target);
            }
            Err(_) => self.try_next_coordinator(coordinators.len()),
        }
    }

    /// Closes the session, and prepares one with the next coordinator.
    fn try_next_coordinator(&mut self, coordinators: usize) {
        self.session = None;
        self.member.handle(boottime(), Input::SessionClosed, &mut Vec::new());
        self.coordinator = (self.coordinator + 1) % coordinators;
        self.connect_at = boottime() + RETRY_DELAY_NS;
    }

    /// Passes an input to the state machine and carries out its outputs. Returns the number of notices for the
    /// operator. If there is no session afterwards, the caller must try the next coordinator.
    fn handle(&mut self, input: Input, target: u64) -> u64 {
        let (mut outputs, mut refused) = (Vec::new(), 0);
        self.member.handle(boottime(), input, &mut outputs);
        let mut next = 0;
        // Handling an output may append further outputs.
        while let Some(output) = outputs.get(next).cloned() {
            next += 1;
            match output {
                Output::Send(renew) => self.send(renew),
                Output::Stage(policy) => {
                    self.progress.staged_at = Some(boottime());
                    let staged = Input::Staged { version: policy.version, result: Ok(()) };
                    self.member.handle(boottime(), staged, &mut outputs);
                }
                Output::Activate(policy) => {
                    let activated = Input::Activated { version: policy.version, result: Ok(()) };
                    self.member.handle(boottime(), activated, &mut outputs);
                }
                Output::Serve { version, until } => {
                    self.serving_until = until;
                    if version >= target && self.progress.in_force_at.is_none() {
                        self.progress.in_force_at = Some(boottime());
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
        self.reported_version = renew.active;
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

    /// Reads and handles the frames that have arrived. Returns the number of notices for the operator.
    fn read_frames(&mut self, target: u64) -> u64 {
        let mut refused = 0;
        loop {
            let Some(session) = &mut self.session else { return refused };
            match session.reader.next_frame() {
                Ok(Some(frame)) => refused += self.handle_frame(frame, target),
                Ok(None) => match session.reader.read(&mut session.socket) {
                    Ok(true) => {}
                    Ok(false) => return refused,
                    Err(_) => self.session = None,
                },
                Err(_) => self.session = None,
            }
        }
    }

    fn handle_frame(&mut self, frame: wire::Frame, target: u64) -> u64 {
        // The frame is serialized again to count its bytes. Both ends serialize it in the same way.
        let body = serde_json::to_vec(&frame).map_or(0, |body| body.len());
        self.traffic.messages_in += 1;
        self.traffic.bytes_in += (linestack_frames::HEADER_LENGTH + body) as u64;
        let Body::Reply(reply) = frame.body else {
            self.session = None;
            return 0;
        };
        let settled = self.reported_version >= target
            && matches!(&reply, Reply::Grant(grant) if grant.version >= target);
        let refused = self.handle(Input::Reply(reply), target);
        if settled && self.progress.traffic_after.is_none() {
            self.progress.traffic_after = Some(self.traffic);
        }
        refused
    }
}

impl InProcessMembers {
    /// Creates members that connect one after the other, evenly over the time `spread`, so that their requests do not
    /// coincide.
    #[must_use]
    pub fn new(count: usize, coordinators: &[SocketAddr], spread: Duration) -> Self {
        let now = boottime();
        let step = spread.as_nanos() as u64 / count.max(1) as u64;
        let member = |number| InProcessMember::new(number, coordinators.len(), now + step * number as u64);
        let members = (0..count).map(member).collect();
        Self { members, coordinators: coordinators.to_vec(), target: 1, refused: 0, sessions_lost: 0 }
    }

    /// Returns the traffic of all members.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.members.iter().fold(Traffic::default(), |sum, m| sum.plus(m.traffic))
    }

    /// Returns whether every member that is not silent has reported that the target version is active, and was
    /// answered.
    #[must_use]
    pub fn all_settled(&self) -> bool {
        self.members.iter().all(|m| m.silent || m.progress.traffic_after.is_some())
    }

    /// Prepares the members' records for a change to the version `target`, which is about to be proposed.
    pub fn begin_change(&mut self, target: u64) {
        self.target = target;
        for member in &mut self.members {
            member.progress = ChangeProgress { traffic_before: member.traffic, ..ChangeProgress::default() };
        }
    }

    /// Makes the members for which the condition holds silent, and all others responsive.
    pub fn set_silent(&mut self, is_silent: impl Fn(usize) -> bool) {
        let coordinators = self.coordinators.len();
        for (number, member) in self.members.iter_mut().enumerate() {
            let silent = is_silent(number);
            if member.silent && !silent {
                // A member that responds again opens another session.
                member.try_next_coordinator(coordinators);
            }
            member.silent = silent;
        }
    }

    /// Returns the times and the traffic of the change that was proposed at the time `begin`.
    #[must_use]
    pub fn change_stats(&self, begin: Nanos) -> MemberChangeStats {
        let responsive: Vec<&InProcessMember> = self.members.iter().filter(|m| !m.silent).collect();
        let mut in_force: Vec<f64> =
            responsive.iter().filter_map(|m| Some(milliseconds(begin, m.progress.in_force_at?))).collect();
        in_force.sort_by(f64::total_cmp);
        let quantile = |q: f64| {
            let last = in_force.len().saturating_sub(1);
            in_force.get((last as f64 * q).round() as usize).copied().unwrap_or(f64::NAN)
        };
        let staged_at = responsive.iter().filter_map(|m| m.progress.staged_at);
        let silent_until = self.members.iter().filter(|m| m.silent).map(|m| m.serving_until);
        let total = responsive.iter().fold(Traffic::default(), |sum, m| {
            sum.plus(m.progress.traffic_after.unwrap_or(m.traffic).since(m.progress.traffic_before))
        });
        let count = responsive.len().max(1) as f64;
        MemberChangeStats {
            all_staged_ms: milliseconds(begin, staged_at.max().unwrap_or(begin)),
            first_in_force_ms: quantile(0.0),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            last_ms: quantile(1.0),
            silent_fenced_ms: milliseconds(begin, silent_until.max().unwrap_or(begin)),
            messages_a_member: total.messages() as f64 / count,
            bytes_a_member: total.bytes() as f64 / count,
        }
    }

    /// Runs all members until the time `until`, or until the condition `done` holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the run must end, or if polling the sockets fails.
    pub fn run_until(
        &mut self,
        until: Instant,
        stop: &Stop,
        done: impl Fn(&Self) -> bool,
    ) -> Result<(), Box<dyn std::error::Error>> {
        while Instant::now() < until && !done(self) {
            stop.check()?;
            self.tick();
            self.poll_sockets()?;
        }
        Ok(())
    }

    /// Opens sessions that are due, and handles the timers of members that have expired.
    fn tick(&mut self) {
        let (coordinators, target) = (&self.coordinators, self.target);
        let mut connects_left = MAX_CONNECTS_PER_POLL;
        for member in self.members.iter_mut().filter(|m| !m.silent) {
            let now = boottime();
            if member.session.is_none() {
                if now >= member.connect_at && connects_left > 0 {
                    connects_left -= 1;
                    member.connect(coordinators, target);
                }
            } else if member.member.next_due() <= now {
                // As in a node's session, frames that have arrived are handled before the timer.
                self.refused += member.read_frames(target);
                self.refused += member.handle(Input::Tick, target);
                if member.session.is_none() {
                    self.sessions_lost += 1;
                    member.try_next_coordinator(coordinators.len());
                }
            }
        }
    }

    /// Waits until sessions can be read, and reads them.
    fn poll_sockets(&mut self) -> Result<(), io::Error> {
        let (mut poll_fds, mut polled) = (Vec::new(), Vec::new());
        for (index, member) in self.members.iter().enumerate() {
            if let Some(session) = member.session.as_ref().filter(|_| !member.silent) {
                poll_fds.push(PollFd::new(&session.socket, PollFlags::IN));
                polled.push(index);
            }
        }
        let timeout = Timespec { tv_sec: 0, tv_nsec: POLL_TIMEOUT.as_nanos() as i64 };
        match poll(&mut poll_fds, Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        let ready: Vec<usize> = poll_fds
            .iter()
            .zip(&polled)
            .filter(|(fd, _)| !fd.revents().is_empty())
            .map(|(_, index)| *index)
            .collect();
        drop(poll_fds);
        let (coordinators, target) = (self.coordinators.len(), self.target);
        for index in ready {
            let member = &mut self.members[index];
            self.refused += member.read_frames(target);
            if member.session.is_none() {
                self.sessions_lost += 1;
                member.try_next_coordinator(coordinators);
            }
        }
        Ok(())
    }
}
