//! Leases of members: a member may serve under the active policy for as long as its lease lasts.
//!
//! A member counts its lease from when it asked, by its own clock; the leader counts it from when it answers. So the
//! leader's end is never the earlier one, as long as the rates of both clocks differ by no more than the drift.

use crate::config::ConsensusConfig;
use crate::message::{ClientSession, Grant, Renew, Reply};
use crate::state::{CoordinatorId, Incarnation, MAX_NAME_BYTES, Nanos};
use crate::step::{AuditEntry, Output};

use super::Coordinator;
use super::leadership::Leadership;
use super::role::{ReplyTo, Role};

/// What a leader knows of one member.
#[derive(Clone, Debug, Hash)]
pub(super) struct Session {
    pub(super) incarnation: Incarnation,
    /// The coordinator that the member is connected to, where that is another.
    pub(super) via: Option<CoordinatorId>,
    /// When the lease ends, by the leader's clock.
    lease_until: Nanos,
    /// The policy version that the member goes by.
    pub(super) active: u64,
    /// The change that it has staged.
    pub(super) staged: u64,
    /// The change that it has declined.
    pub(super) declined: Option<Declined>,
    /// How far its start has come, for people.
    pub(super) stage: String,
    /// Both clocks when the member was first heard, from which their rates are compared.
    first_heard: ClockPair,
}

/// A change that a member can't go by.
#[derive(Clone, Debug, Hash)]
pub(super) struct Declined {
    pub(super) version: u64,
    /// The key of the policy at which it fails.
    pub(super) key: String,
}

/// Readings of a member's clock and of the leader's that belong together.
#[derive(Clone, Copy, Debug, Hash)]
struct ClockPair {
    member: Nanos,
    leader: Nanos,
}

impl Coordinator {
    /// Grants or renews a member's lease, after it was registered.
    pub(super) fn renew_lease(
        &mut self,
        now: Nanos,
        via: Option<CoordinatorId>,
        name: String,
        mut renew: Renew,
    ) {
        let config = self.config;
        let Role::Leader(leadership) = &mut self.role else { return };
        renew.stage.truncate(renew.stage.floor_char_boundary(MAX_NAME_BYTES));
        if leadership.registered(&name) != Some(renew.incarnation) {
            return self.register(now, via, name, renew);
        }
        if leadership.is_being_registered_anew(&name) {
            return;
        }
        let asked_at = renew.requested_at;
        let session = leadership.session_of_run(now, via, &name, &renew);
        if session.clock_is_too_slow(now, asked_at, &config) {
            return self.refuse(via, name, "its clock is slower than the drift allowed");
        }
        session.update(via, renew);
        let Some(grant) = leadership.extend_lease(now, &name, asked_at, config.lease) else { return };
        let round = leadership.ballot.round;
        let version = grant.version;
        self.outputs.push(Output::Audit(AuditEntry::Granted { member: name.clone(), round, version }));
        self.reply(ReplyTo { via, client: ClientSession::Member(name) }, Reply::Grant(grant));
        self.write_next(now);
    }

    pub(super) fn refuse(&mut self, via: Option<CoordinatorId>, name: String, reason: &'static str) {
        self.outputs.push(Output::Audit(AuditEntry::Refused { member: name.clone(), reason }));
        let to = ReplyTo { via, client: ClientSession::Member(name) };
        self.reply(to, Reply::Refused(reason.to_owned()));
    }
}

impl Leadership {
    /// Whether the member holds a lease that this leader has granted.
    pub(super) fn holds_lease(&self, now: Nanos, name: &str) -> bool {
        self.sessions.get(name).is_some_and(|session| session.is_live(now))
    }

    /// Whether another run of the member is about to be registered in place of this one.
    fn is_being_registered_anew(&self, name: &str) -> bool {
        let registered = self.registered(name);
        let written = match &self.in_flight {
            Some(write) => write.state.members.get(name).copied(),
            None => registered,
        };
        written != registered || self.joining.contains_key(name)
    }

    /// The session of the run that asks, which is the registered one.
    fn session_of_run(
        &mut self,
        now: Nanos,
        via: Option<CoordinatorId>,
        name: &str,
        renew: &Renew,
    ) -> &mut Session {
        let fresh = || Session::unreported(now, via, renew);
        let session = self.sessions.entry(name.to_owned()).or_insert_with(fresh);
        if session.incarnation != renew.incarnation {
            // Another run has asked for the name meanwhile: only the end of the lease is of this one.
            let lease_until = session.lease_until;
            *session = Session { lease_until, ..fresh() };
        }
        session
    }

    /// Extends a member's lease, unless a decision that does not count on this member is being written.
    fn extend_lease(&mut self, now: Nanos, name: &str, asked_at: Nanos, lease: Nanos) -> Option<Grant> {
        let committed = self.committed.as_ref()?;
        let session = self.sessions.get_mut(name)?;
        let version = committed.policy.version;
        let written = self.in_flight.as_ref().map(|write| write.state.policy.version);
        let being_decided = written.filter(|written| *written != version);
        if being_decided.is_some_and(|decided| session.staged != decided) {
            return None;
        }
        session.lease_until = session.lease_until.max(now + lease);
        let change = committed.pending.as_ref().map(|pending| &pending.policy);
        let change = change.filter(|change| !session.has_answered(change.version));
        let policy = Some(&committed.policy).filter(|_| session.active != version);
        Some(Grant {
            incarnation: session.incarnation,
            requested_at: asked_at,
            duration: lease,
            version,
            policy: policy.cloned(),
            change: change.cloned(),
        })
    }
}

impl Session {
    /// A session as the member reports itself, without a lease.
    pub(super) fn new(now: Nanos, via: Option<CoordinatorId>, renew: Renew) -> Self {
        let mut session = Self::unreported(now, via, &renew);
        session.update(via, renew);
        session
    }

    /// A session without a lease, of a member whose report is still to be taken.
    fn unreported(now: Nanos, via: Option<CoordinatorId>, renew: &Renew) -> Self {
        Self {
            incarnation: renew.incarnation,
            via,
            lease_until: 0,
            active: renew.active,
            staged: renew.staged,
            declined: None,
            stage: String::new(),
            first_heard: ClockPair { member: renew.requested_at, leader: now },
        }
    }

    fn update(&mut self, via: Option<CoordinatorId>, renew: Renew) {
        self.via = via;
        self.active = renew.active;
        self.staged = renew.staged;
        self.declined = renew.declined.map(|(version, key)| Declined { version, key });
        self.stage = renew.stage;
    }

    /// Whether the member may serve.
    pub(super) fn is_live(&self, now: Nanos) -> bool {
        now < self.lease_until
    }

    /// Whether the member has staged or declined this change.
    fn has_answered(&self, version: u64) -> bool {
        let declined = self.declined.as_ref().is_some_and(|declined| declined.version == version);
        self.staged == version || declined
    }

    /// Whether the member's clock runs so slowly that its lease would outlast the leader's count.
    ///
    /// The time that a message takes is noise of one lease at most: after a longer one the lease is over anyway.
    fn clock_is_too_slow(&self, now: Nanos, asked_at: Nanos, config: &ConsensusConfig) -> bool {
        let by_member = asked_at.saturating_sub(self.first_heard.member);
        let by_leader = now - self.first_heard.leader;
        by_leader > by_member + config.lease + by_leader / 1000 * config.drift
    }
}
