//! Membership: members that are registered and removed, and coordinators that are replaced.

use crate::message::{Renew, Reply};
use crate::state::{CoordinatorId, Incarnation, MAX_MEMBERS, MAX_NAME_BYTES, Nanos, State};

use super::Coordinator;
use super::apply::{Commit, Response};
use super::leadership::Leadership;
use super::lease::Session;
use super::role::{ReplyTo, Role};

/// After how many times `hold` without an acknowledgement a coordinator may be replaced.
const SILENT_HOLDS: Nanos = 4;

/// A member to be removed, as an operator asked for.
#[derive(Clone, Debug, Hash)]
pub(super) struct Removal {
    operator: ReplyTo,
    member: String,
}

/// A coordinator to be replaced, as an operator asked for.
#[derive(Clone, Debug, Hash)]
pub(super) struct Replacement {
    operator: ReplyTo,
    coordinator: CoordinatorId,
}

impl Coordinator {
    /// Registers a run of a member that is not registered, or refuses it.
    pub(super) fn register(&mut self, now: Nanos, via: Option<CoordinatorId>, name: String, renew: Renew) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if let Some(reason) = leadership.registration_fault(now, &name, &renew.incarnation) {
            return self.refuse(via, name, reason);
        }
        // Until the name is committed, the session grants nothing.
        let incarnation = renew.incarnation;
        leadership.sessions.insert(name.clone(), Session::new(now, via, renew));
        leadership.joining.insert(name, incarnation);
        self.write_next(now);
    }

    /// An operator removes a member whose lease is over.
    pub(super) fn forget_member(&mut self, now: Nanos, operator: ReplyTo, member: String) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.registered(&member).is_none() {
            return self.reply(operator, Reply::Unknown);
        }
        if leadership.holds_lease(now, &member) || leadership.in_grace_period(now) {
            let fault = format!("{member} may serve still");
            return self.reply(operator, Reply::Rejected(vec![fault]));
        }
        leadership.removals.push(Removal { operator, member });
        self.write_next(now);
    }

    /// An operator gives the seat of a coordinator that is not heard to another.
    pub(super) fn replace_coordinator(&mut self, now: Nanos, operator: ReplyTo, coordinator: CoordinatorId) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let silence = self.config.hold * SILENT_HOLDS;
        let is_another = coordinator < self.config.coordinators && coordinator != self.config.id;
        let fault = if !is_another {
            "not one of the others"
        } else if leadership.heard_within(now, silence, coordinator) {
            "it is heard, or was a moment ago"
        } else {
            leadership.replacement = Some(Replacement { operator, coordinator });
            return self.write_next(now);
        };
        let fault = format!("coordinator {coordinator}: {fault}");
        self.reply(operator, Reply::Rejected(vec![fault]));
    }
}

impl Leadership {
    /// Why a run of a member can't be registered, if it can't.
    fn registration_fault(&self, now: Nanos, name: &str, run: &Incarnation) -> Option<&'static str> {
        let other_run_live = self
            .sessions
            .get(name)
            .is_some_and(|session| session.is_live(now) && session.incarnation != *run);
        let members = self.committed.as_ref().map_or(0, |state| state.members.len()) + self.joining.len();
        match self.registered(name) {
            Some(known) if known.replaces(run) => Some("a later run of this member is known"),
            Some(known) if run.replaces(&known) => None,
            Some(_) if other_run_live || self.in_grace_period(now) => Some("the name is in use"),
            None if members >= MAX_MEMBERS => Some("too many members"),
            _ if name.is_empty() || name.len() > MAX_NAME_BYTES => Some("no name"),
            _ => None,
        }
    }

    /// Whether a coordinator has acknowledged anything within this time, or this leader is not elected for so long.
    fn heard_within(&self, now: Nanos, span: Nanos, coordinator: CoordinatorId) -> bool {
        let acknowledged = self.acknowledged_at.get(&coordinator);
        acknowledged.is_some_and(|at| now < at + span) || now < self.elected_at + span
    }

    /// Writes the members that join or are removed, and the coordinator that is replaced, into the next state.
    pub(super) fn write_memberships(&mut self, now: Nanos, state: &mut State) {
        for (name, run) in &self.joining {
            state.members.insert(name.clone(), *run);
        }
        // A member that is back meanwhile stays, and the operator asks again.
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

    pub(super) fn settle_joins(&mut self, commit: &Commit) {
        self.joining.retain(|name, run| commit.state.members.get(name) != Some(run));
    }

    pub(super) fn settle_replacement(&mut self, commit: &Commit) -> Option<Response> {
        let done = self.replacement.take_if(|replacement| commit.replaces(replacement.coordinator))?;
        // What was heard of the predecessor says nothing of the replacement.
        self.accepted_revision.remove(&done.coordinator);
        self.acknowledged_at.remove(&done.coordinator);
        let seat = commit.state.seat(done.coordinator);
        Some(Response { to: done.operator, reply: Reply::Replaced { seat } })
    }

    pub(super) fn settle_removals(&mut self, commit: &Commit) -> Vec<Response> {
        let is_removed = |removal: &mut Removal| !commit.state.members.contains_key(&removal.member);
        let removed: Vec<Removal> = self.removals.extract_if(.., is_removed).collect();
        for removal in &removed {
            self.sessions.remove(&removal.member);
        }
        removed.into_iter().map(|removal| Response { to: removal.operator, reply: Reply::Removed }).collect()
    }
}
