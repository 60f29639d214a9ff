//! Leases of members: a member may serve under the active policy for as long as its lease lasts.
//!
//! A member counts its lease from the time of its request, by its own clock; the leader counts it from the time of its
//! reply. So the lease never ends earlier at the leader than at the member, as long as the rates of both clocks differ
//! by no more than the configured drift.

use crate::config::ConsensusConfig;
use crate::message::{ClientSession, Grant, Renew, Reply};
use crate::state::{CoordinatorId, Incarnation, MAX_NAME_BYTES, Nanos};
use crate::step::{AuditEntry, Output};

use super::Coordinator;
use super::leadership::Leadership;
use super::role::{ReplyTo, Role};

/// The leader's state of one member.
#[derive(Clone, Debug, Hash)]
pub(super) struct Session {
    pub(super) incarnation: Incarnation,
    /// The coordinator that the member is connected to, if it is not this one.
    pub(super) via: Option<CoordinatorId>,
    /// When the lease ends, by the leader's clock.
    lease_until: Nanos,
    /// The policy version that is active at the member.
    pub(super) active: u64,
    /// The version of the change that the member has staged.
    pub(super) staged: u64,
    /// The change that the member has declined.
    pub(super) declined: Option<Declined>,
    /// The stage of the member's start, as shown to operators.
    pub(super) stage: String,
    /// Both clocks at the member's first report, for the comparison of their rates.
    first_report: ClockPair,
}

/// A change that a member can't apply.
#[derive(Clone, Debug, Hash)]
pub(super) struct Declined {
    pub(super) version: u64,
    /// The policy key that the member can't apply.
    pub(super) key: String,
}

/// A reading of a member's clock, and one of the leader's clock from the same request.
#[derive(Clone, Copy, Debug, Hash)]
struct ClockPair {
    member: Nanos,
    leader: Nanos,
}

impl Coordinator {
    /// Grants or renews the lease of a registered member, and registers a member that is not registered.
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
        if leadership.is_being_reregistered(&name) {
            return;
        }
        let requested_at = renew.requested_at;
        let session = leadership.session_of_run(now, via, &name, &renew);
        if session.clock_is_too_slow(now, requested_at, &config) {
            return self.refuse(via, name, "the member's clock is slower than the allowed drift");
        }
        session.update(via, renew);
        let Some(grant) = leadership.extend_lease(now, &name, requested_at, config.lease) else { return };
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
    /// Returns whether the member holds a lease of this leader.
    pub(super) fn holds_lease(&self, now: Nanos, name: &str) -> bool {
        self.sessions.get(name).is_some_and(|session| session.is_live(now))
    }

    /// Returns whether another run of the member is about to be registered in place of the current one.
    fn is_being_reregistered(&self, name: &str) -> bool {
        let registered = self.registered(name);
        let written = match &self.in_flight {
            Some(write) => write.state.members.get(name).copied(),
            None => registered,
        };
        written != registered || self.joining.contains_key(name)
    }

    /// Returns the session of the requesting run, which is the registered one.
    fn session_of_run(
        &mut self,
        now: Nanos,
        via: Option<CoordinatorId>,
        name: &str,
        renew: &Renew,
    ) -> &mut Session {
        let new_session = || Session::unreported(now, via, renew);
        let session = self.sessions.entry(name.to_owned()).or_insert_with(new_session);
        if session.incarnation != renew.incarnation {
            // The session is of another run that has requested the name in the meantime. Only the end of the lease in it
            // belongs to this run.
            let lease_until = session.lease_until;
            *session = Session { lease_until, ..new_session() };
        }
        session
    }

    /// Extends a member's lease, unless the write in progress decides a change that this member has not staged.
    fn extend_lease(&mut self, now: Nanos, name: &str, requested_at: Nanos, lease: Nanos) -> Option<Grant> {
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
            requested_at,
            duration: lease,
            version,
            policy: policy.cloned(),
            change: change.cloned(),
        })
    }
}

impl Session {
    /// Creates a session from a member's report, without a lease.
    pub(super) fn new(now: Nanos, via: Option<CoordinatorId>, renew: Renew) -> Self {
        let mut session = Self::unreported(now, via, &renew);
        session.update(via, renew);
        session
    }

    /// Creates a session without a lease. The rest of the member's report is applied by [`Session::update`].
    fn unreported(now: Nanos, via: Option<CoordinatorId>, renew: &Renew) -> Self {
        Self {
            incarnation: renew.incarnation,
            via,
            lease_until: 0,
            active: renew.active,
            staged: renew.staged,
            declined: None,
            stage: String::new(),
            first_report: ClockPair { member: renew.requested_at, leader: now },
        }
    }

    fn update(&mut self, via: Option<CoordinatorId>, renew: Renew) {
        self.via = via;
        self.active = renew.active;
        self.staged = renew.staged;
        self.declined = renew.declined.map(|(version, key)| Declined { version, key });
        self.stage = renew.stage;
    }

    /// Returns whether the member holds a lease and may serve.
    pub(super) fn is_live(&self, now: Nanos) -> bool {
        now < self.lease_until
    }

    /// Returns whether the member has staged or declined this change.
    fn has_answered(&self, version: u64) -> bool {
        let declined = self.declined.as_ref().is_some_and(|declined| declined.version == version);
        self.staged == version || declined
    }

    /// Returns whether the member's clock is so slow that its lease could outlast the one that the leader counts.
    ///
    /// The delay of a message distorts the comparison by one lease at most: after a longer delay the lease has expired
    /// anyway.
    fn clock_is_too_slow(&self, now: Nanos, requested_at: Nanos, config: &ConsensusConfig) -> bool {
        let member_elapsed = requested_at.saturating_sub(self.first_report.member);
        let leader_elapsed = now - self.first_report.leader;
        leader_elapsed > member_elapsed + config.lease + leader_elapsed / 1000 * config.drift
    }
}
