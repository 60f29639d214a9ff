//! The effects of a committed write: audit log entries, replies to the clients that requested it, and notifications that
//! make members renew their leases.

use std::collections::BTreeSet;

use crate::message::{ClientSession, Reply};
use crate::state::{CoordinatorId, End, Nanos, State};
use crate::step::{AuditEntry, Output};

use super::Coordinator;
use super::leadership::Leadership;
use super::role::{ReplyTo, Role};

/// A committed write.
pub(super) struct Commit {
    /// The state before the write; none if this is the leader's first one.
    previous: Option<State>,
    pub(super) state: State,
}

/// A reply to be sent.
pub(super) struct Response {
    pub(super) to: ReplyTo,
    pub(super) reply: Reply,
}

impl Coordinator {
    /// Applies the write in progress once a quorum has accepted it.
    pub(super) fn commit_if_accepted(&mut self, now: Nanos) {
        let majority = self.config.majority();
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(commit) = leadership.commit(majority) else { return };
        let responses = leadership.apply(now, &commit);
        let entries = commit.audit_entries(leadership.ballot.round);
        self.outputs.extend(entries.into_iter().map(Output::Audit));
        for response in responses {
            self.reply(response.to, response.reply);
        }
        self.write_next(now);
    }
}

impl Leadership {
    /// Commits the write in progress if a quorum has accepted it.
    fn commit(&mut self, majority: usize) -> Option<Commit> {
        let write = self.in_flight.take_if(|write| write.accepted_by.len() >= majority)?;
        let previous = self.committed.replace(write.state.clone());
        Some(Commit { previous, state: write.state })
    }

    /// Completes the requests that the commit fulfils, and returns the replies in the order in which they are sent.
    fn apply(&mut self, now: Nanos, commit: &Commit) -> Vec<Response> {
        // Members that the commit removes are notified, too.
        let renew_now_responses = self.renew_now_responses(commit);
        self.track_pending(now, commit);
        self.settle_joins(commit);
        let mut responses = Vec::new();
        responses.extend(self.settle_proposal(commit));
        responses.extend(self.settle_replacement(commit));
        responses.extend(self.settle_removals(commit));
        responses.extend(renew_now_responses);
        responses
    }

    /// Makes members renew their leases at once: all of them if the policy or the pending change is new, otherwise those
    /// that were just registered.
    fn renew_now_responses(&self, commit: &Commit) -> Vec<Response> {
        let renew_now = |member: &String| {
            let session = self.sessions.get(member)?;
            let to = ReplyTo { via: session.via, client: ClientSession::Member(member.clone()) };
            Some(Response { to, reply: Reply::RenewNow })
        };
        if commit.changes_policy() || commit.changes_pending() {
            return self.sessions.keys().filter_map(renew_now).collect();
        }
        let members = commit.state.members.keys();
        members.filter(|member| commit.registers(member)).filter_map(renew_now).collect()
    }
}

impl Commit {
    /// Returns whether the active policy has changed.
    fn changes_policy(&self) -> bool {
        let version = self.state.policy.version;
        self.previous.as_ref().is_none_or(|previous| previous.policy.version != version)
    }

    /// Returns whether the pending change has changed.
    fn changes_pending(&self) -> bool {
        self.previous.as_ref().is_none_or(|previous| previous.pending != self.state.pending)
    }

    /// Returns whether the commit registers the current run of the member.
    fn registers(&self, member: &str) -> bool {
        let registered = self.state.members.get(member);
        self.previous.as_ref().is_none_or(|previous| previous.members.get(member) != registered)
    }

    /// Returns whether the commit replaces the coordinator.
    pub(super) fn replaces(&self, coordinator: CoordinatorId) -> bool {
        let seat = self.state.seat(coordinator);
        self.previous.as_ref().is_some_and(|previous| previous.seat(coordinator) < seat)
    }

    /// Returns the version of the pending change.
    pub(super) fn pending_version(&self) -> Option<u64> {
        self.state.pending.as_ref().map(|pending| pending.policy.version)
    }

    /// Returns the audit log entries, in order.
    fn audit_entries(&self, round: u32) -> Vec<AuditEntry> {
        let mut entries = Vec::new();
        if self.previous.is_none() {
            entries.push(AuditEntry::Established { round });
        }
        entries.extend(self.dropped());
        if self.changes_policy() {
            entries.push(self.decided());
        }
        if self.changes_pending()
            && let Some(pending) = &self.state.pending
        {
            entries.push(AuditEntry::Pending {
                request: pending.request.clone(),
                version: pending.policy.version,
            });
        }
        entries
    }

    /// Returns the entries of the changes that ended with this commit without being decided.
    fn dropped(&self) -> impl Iterator<Item = AuditEntry> {
        let ended_before = self.previous.iter().flat_map(|previous| &previous.ended);
        let known: BTreeSet<u64> = ended_before.map(|ended| ended.version).collect();
        let ended = self.state.ended.iter().filter(move |ended| !known.contains(&ended.version));
        ended.filter(|ended| ended.end != End::Decided).map(|ended| AuditEntry::Dropped {
            request: ended.request.clone(),
            version: ended.version,
            end: ended.end.clone(),
        })
    }

    fn decided(&self) -> AuditEntry {
        let policy = &self.state.policy;
        let decided = self.state.ended.iter().find(|e| e.version == policy.version && e.end == End::Decided);
        AuditEntry::Decided {
            request: decided.map_or(String::new(), |ended| ended.request.clone()),
            version: policy.version,
            digest: policy.digest(),
        }
    }
}
