//! Membership: registration and removal of members, and replacement of coordinators.

use crate::message::{Renew, Reply};
use crate::state::{CoordinatorId, Incarnation, MAX_MEMBERS, MAX_NAME_BYTES, Nanos, State};

use super::Coordinator;
use super::apply::{Commit, Response};
use super::leadership::Leadership;
use super::lease::Session;
use super::role::{ReplyTo, Role};

/// The number of `hold` periods without an acknowledgement after which a coordinator may be replaced.
const REPLACE_AFTER_HOLDS: Nanos = 4;

/// A member to be removed at an operator's request.
#[derive(Clone, Debug, Hash)]
pub(super) struct Removal {
    operator: ReplyTo,
    member: String,
}

/// A coordinator to be replaced at an operator's request.
#[derive(Clone, Debug, Hash)]
pub(super) struct Replacement {
    operator: ReplyTo,
    coordinator: CoordinatorId,
}

impl Coordinator {
    /// Registers a new run of a member, or refuses it.
    pub(super) fn register(&mut self, now: Nanos, via: Option<CoordinatorId>, name: String, renew: Renew) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if let Some(reason) = leadership.registration_error(now, &name, &renew.incarnation) {
            return self.refuse(via, name, reason);
        }
        // No lease is granted until the registration is committed.
        let incarnation = renew.incarnation;
        leadership.sessions.insert(name.clone(), Session::new(now, via, renew));
        leadership.joining.insert(name, incarnation);
        self.write_next(now);
    }

    /// Removes a member whose lease has expired, at an operator's request.
    pub(super) fn forget_member(&mut self, now: Nanos, operator: ReplyTo, member: String) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.registered(&member).is_none() {
            return self.reply(operator, Reply::Unknown);
        }
        if leadership.holds_lease(now, &member) || leadership.in_grace_period(now) {
            let error = format!("{member} may still hold a lease");
            return self.reply(operator, Reply::Rejected(vec![error]));
        }
        leadership.removals.push(Removal { operator, member });
        self.write_next(now);
    }

    /// Replaces a coordinator that does not respond, at an operator's request.
    pub(super) fn replace_coordinator(&mut self, now: Nanos, operator: ReplyTo, coordinator: CoordinatorId) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let min_silence = self.config.hold * REPLACE_AFTER_HOLDS;
        let is_another = coordinator < self.config.coordinators && coordinator != self.config.id;
        let error = if !is_another {
            "not another coordinator of this fleet"
        } else if leadership.acknowledged_within(now, min_silence, coordinator) {
            "it responded recently, or this leader was elected too recently to know"
        } else {
            leadership.replacement = Some(Replacement { operator, coordinator });
            return self.write_next(now);
        };
        let error = format!("coordinator {coordinator}: {error}");
        self.reply(operator, Reply::Rejected(vec![error]));
    }
}

impl Leadership {
    /// Returns why a run of a member can't be registered; none if it can.
    fn registration_error(&self, now: Nanos, name: &str, run: &Incarnation) -> Option<&'static str> {
        let other_run_live = self
            .sessions
            .get(name)
            .is_some_and(|session| session.is_live(now) && session.incarnation != *run);
        let members = self.committed.as_ref().map_or(0, |state| state.members.len()) + self.joining.len();
        match self.registered(name) {
            Some(known) if known.replaces(run) => Some("a later run of this member is registered"),
            Some(known) if run.replaces(&known) => None,
            Some(_) if other_run_live || self.in_grace_period(now) => Some("the name is in use"),
            None if members >= MAX_MEMBERS => Some("too many members"),
            _ if name.is_empty() || name.len() > MAX_NAME_BYTES => Some("the name is empty or too long"),
            _ => None,
        }
    }

    /// Returns whether a coordinator has acknowledged a message within this period, or this leader was elected within it.
    fn acknowledged_within(&self, now: Nanos, period: Nanos, coordinator: CoordinatorId) -> bool {
        let acknowledged = self.acknowledged_at.get(&coordinator);
        acknowledged.is_some_and(|at| now < at + period) || now < self.elected_at + period
    }

    /// Writes the members that join or are removed, and the coordinator that is replaced, into the next state.
    pub(super) fn write_memberships(&mut self, now: Nanos, state: &mut State) {
        for (name, run) in &self.joining {
            state.members.insert(name.clone(), *run);
        }
        // A member that has renewed its lease in the meantime stays registered. Its removal is dropped without a reply,
        // so the operator has to repeat the request.
        let sessions = &self.sessions;
        let is_live = |name: &String| sessions.get(name).is_some_and(|session| session.is_live(now));
        self.removals.retain(|removal| !is_live(&removal.member));
        for removal in &self.removals {
            state.members.remove(&removal.member);
        }
        if let Some(replacement) = &self.replacement {
            *state.seats.entry(replacement.coordinator).or_insert(0) += 1;
        }
    }

    /// Drops the queued registrations that the commit contains.
    pub(super) fn settle_joins(&mut self, commit: &Commit) {
        self.joining.retain(|name, run| commit.state.members.get(name) != Some(run));
    }

    /// Completes the replacement that the commit contains, and returns the reply to its operator.
    pub(super) fn settle_replacement(&mut self, commit: &Commit) -> Option<Response> {
        let replacement = self.replacement.take_if(|replacement| commit.replaces(replacement.coordinator))?;
        // The predecessor's acknowledgements do not count for the replacement.
        self.accepted_revision.remove(&replacement.coordinator);
        self.acknowledged_at.remove(&replacement.coordinator);
        let seat = commit.state.seat(replacement.coordinator);
        Some(Response { to: replacement.operator, reply: Reply::Replaced { seat } })
    }

    /// Completes the removals that the commit contains, and returns the replies to their operators.
    pub(super) fn settle_removals(&mut self, commit: &Commit) -> Vec<Response> {
        let is_removed = |removal: &mut Removal| !commit.state.members.contains_key(&removal.member);
        let removed: Vec<Removal> = self.removals.extract_if(.., is_removed).collect();
        for removal in &removed {
            self.sessions.remove(&removal.member);
        }
        removed.into_iter().map(|removal| Response { to: removal.operator, reply: Reply::Removed }).collect()
    }
}
