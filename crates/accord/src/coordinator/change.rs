//! Changes of the policy: an operator proposes a change, the members stage it, and the leader decides or drops it.

use crate::config::{ConsensusConfig, InjectedFault};
use crate::message::Reply;
use crate::state::{End, Incarnation, MAX_NAME_BYTES, MAX_POLICY_BYTES, Nanos, PendingChange, Policy, State};

use super::Coordinator;
use super::apply::{Commit, Response};
use super::leadership::Leadership;
use super::role::{ReplyTo, Role};

/// An operator's proposal.
pub(super) struct Proposal {
    pub(super) request: String,
    /// The version that the change is based on.
    pub(super) base_version: u64,
    pub(super) text: String,
    /// Whether members whose leases have expired must stage the change, too.
    pub(super) require_all: bool,
    pub(super) give_up_after: Option<Nanos>,
}

/// A change that was validated and is to be proposed to the members.
#[derive(Clone, Debug, Hash)]
pub(super) struct ProposedChange {
    operator: ReplyTo,
    change: PendingChange,
}

/// When the leader first saw a change pending.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct PendingSince {
    pub(super) version: u64,
    pub(super) at: Nanos,
}

impl Coordinator {
    /// Validates an operator's proposal, and queues it to be written.
    pub(super) fn propose(&mut self, now: Nanos, operator: ReplyTo, proposal: Proposal) {
        let config = self.config;
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(committed) = &leadership.committed else { return };
        if let Some(known) = leadership.known_outcome(&proposal.request) {
            return self.reply(operator, known);
        }
        let errors = leadership.proposal_errors(committed, &proposal, &config);
        if !errors.is_empty() {
            return self.reply(operator, Reply::Rejected(errors));
        }
        let Proposal { request, text, require_all, give_up_after, .. } = proposal;
        let policy = Policy { version: committed.last_version + 1, text };
        let change = PendingChange { request, policy, require_all, give_up_after };
        leadership.proposed = Some(ProposedChange { operator, change });
        self.write_next(now);
    }

    /// Queues the end of the pending change, if it has this name.
    pub(super) fn abort(&mut self, now: Nanos, operator: ReplyTo, request: String) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let outcome = leadership.known_outcome(&request).unwrap_or(Reply::Unknown);
        let is_pending = matches!(outcome, Reply::Pending { .. });
        if is_pending {
            leadership.abort = Some(request);
        }
        self.reply(operator, outcome);
        if is_pending {
            self.write_next(now);
        }
    }
}

impl Leadership {
    /// Returns the outcome of a change, or that it is pending; none if the change is unknown. A change that is queued or
    /// being written counts as pending, since it may still be decided.
    pub(super) fn known_outcome(&self, request: &str) -> Option<Reply> {
        let committed = self.committed.as_ref()?;
        if let Some(ended) = committed.ended.iter().find(|ended| ended.request == request) {
            return Some(Reply::Ended(ended.clone()));
        }
        let change = self.unfinished_changes().find(|change| change.request == request)?;
        Some(Reply::Pending { version: change.policy.version })
    }

    /// Returns the changes that are queued, being written, or pending.
    fn unfinished_changes(&self) -> impl Iterator<Item = &PendingChange> {
        let proposed = self.proposed.as_ref().map(|proposed| &proposed.change);
        let written = self.in_flight.as_ref().and_then(|write| write.state.pending.as_ref());
        let pending = self.committed.as_ref().and_then(|state| state.pending.as_ref());
        proposed.into_iter().chain(written).chain(pending)
    }

    /// Returns why a proposal is invalid; empty if it is valid.
    fn proposal_errors(
        &self,
        committed: &State,
        proposal: &Proposal,
        config: &ConsensusConfig,
    ) -> Vec<String> {
        let mut errors = Vec::new();
        if let Some(other) = self.unfinished_changes().next() {
            errors.push(format!("another change is in progress: {}", other.request));
        }
        let (base, version) = (proposal.base_version, committed.policy.version);
        if base != version {
            errors.push(format!("base: {base}, but the active version is {version}"));
        }
        if proposal.request.is_empty() || proposal.request.len() > MAX_NAME_BYTES {
            errors.push(format!("request: must be from 1 to {MAX_NAME_BYTES} bytes long"));
        }
        let size = proposal.text.len();
        if size > MAX_POLICY_BYTES {
            errors.push(format!("the policy has {size} bytes; the maximum is {MAX_POLICY_BYTES}"));
        } else if let Err(policy_errors) = (config.check)(&committed.policy.text, &proposal.text) {
            errors.extend(policy_errors);
        }
        errors
    }

    /// Writes the outcome of the pending change, or the proposed change, into the next state.
    pub(super) fn write_change(&mut self, now: Nanos, config: &ConsensusConfig, state: &mut State) {
        if let Some(pending) = &state.pending {
            if let Some(end) = self.pending_outcome(now, config, pending, state) {
                state.end_pending(end);
            }
        } else if let Some(proposed) = &self.proposed {
            // The base version was checked on receipt, and no change has been decided since.
            state.last_version = proposed.change.policy.version;
            state.pending = Some(proposed.change.clone());
        }
    }

    /// Returns the outcome of the pending change if it ends now.
    fn pending_outcome(
        &mut self,
        now: Nanos,
        config: &ConsensusConfig,
        pending: &PendingChange,
        state: &State,
    ) -> Option<End> {
        if self.abort.take_if(|request| *request == pending.request).is_some() {
            return Some(End::Aborted);
        }
        if let Some(declined) = self.declined_by_member(pending.policy.version) {
            return Some(declined);
        }
        if self.can_be_decided(now, config, pending, state) {
            return Some(End::Decided);
        }
        let give_up_at = pending.give_up_after.map(|timeout| self.pending_since.at.saturating_add(timeout));
        give_up_at.is_some_and(|at| now >= at).then_some(End::GivenUp)
    }

    fn declined_by_member(&self, version: u64) -> Option<End> {
        self.sessions.iter().find_map(|(member, session)| {
            let declined = session.declined.as_ref().filter(|declined| declined.version == version)?;
            Some(End::Declined { member: member.clone(), key: declined.key.clone() })
        })
    }

    /// Returns whether every member has staged the change, or can't serve under the previous policy.
    fn can_be_decided(
        &self,
        now: Nanos,
        config: &ConsensusConfig,
        pending: &PendingChange,
        state: &State,
    ) -> bool {
        let version = pending.policy.version;
        let mut members = state.members.iter();
        if config.injects(InjectedFault::MajorityDecides) {
            let staged = members.filter(|(name, run)| self.has_staged(name, run, version)).count();
            return staged * 2 > state.members.len();
        }
        members.all(|(name, run)| {
            self.has_staged(name, run, version) || (!pending.require_all && self.has_no_lease(now, name))
        })
    }

    fn has_staged(&self, member: &str, run: &Incarnation, version: u64) -> bool {
        let session = self.sessions.get(member).filter(|session| session.incarnation == *run);
        session.is_some_and(|session| session.staged == version)
    }

    /// Returns whether a member holds no lease, neither of this leader nor of an earlier one.
    fn has_no_lease(&self, now: Nanos, member: &str) -> bool {
        !self.in_grace_period(now) && !self.holds_lease(now, member)
    }

    /// Returns when the pending change times out.
    pub(super) fn give_up_at(&self) -> Option<Nanos> {
        let pending = self.committed.as_ref()?.pending.as_ref()?;
        Some(self.pending_since.at.saturating_add(pending.give_up_after?))
    }

    /// Records when the change that is pending after the commit became pending.
    pub(super) fn track_pending(&mut self, now: Nanos, commit: &Commit) {
        if let Some(version) = commit.pending_version()
            && version != self.pending_since.version
        {
            self.pending_since = PendingSince { version, at: now };
        }
    }

    /// Completes the proposal that the commit contains, and returns the reply to its operator.
    pub(super) fn settle_proposal(&mut self, commit: &Commit) -> Option<Response> {
        let pending = commit.pending_version();
        let proposed = self.proposed.take_if(|proposed| pending == Some(proposed.change.policy.version))?;
        let version = proposed.change.policy.version;
        Some(Response { to: proposed.operator, reply: Reply::Pending { version } })
    }
}
