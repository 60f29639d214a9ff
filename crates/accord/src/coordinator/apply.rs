//! What follows from a committed write: audit log entries, replies to those who wanted it, and nudges to members.

use std::collections::BTreeSet;

use crate::message::{ClientSession, Reply};
use crate::state::{CoordinatorId, End, Nanos, State};
use crate::step::{AuditEntry, Output};

use super::Coordinator;
use super::leadership::Leadership;
use super::role::{ReplyTo, Role};

/// A committed write.
pub(super) struct Commit {
    /// The state before; none if this is the leader's first write.
    previous: Option<State>,
    pub(super) state: State,
}

/// A reply that is due.
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
        let notes = commit.notes(leadership.ballot.round);
        self.outputs.extend(notes.into_iter().map(Output::Audit));
        for response in responses {
            self.reply(response.to, response.reply);
        }
        self.write_next(now);
    }
}

impl Leadership {
    /// Takes the write in progress as committed, if a quorum has accepted it.
    fn commit(&mut self, majority: usize) -> Option<Commit> {
        let write = self.in_flight.take_if(|write| write.accepted_by.len() >= majority)?;
        let previous = self.committed.replace(write.state.clone());
        Some(Commit { previous, state: write.state })
    }

    /// Settles what the commit fulfils, and returns the replies in the order in which they are sent.
    fn apply(&mut self, now: Nanos, commit: &Commit) -> Vec<Response> {
        // Also members that the commit removes are nudged.
        let nudges = self.nudges(commit);
        self.track_pending(now, commit);
        self.settle_joins(commit);
        let mut responses = Vec::new();
        responses.extend(self.settle_proposal(commit));
        responses.extend(self.settle_replacement(commit));
        responses.extend(self.settle_removals(commit));
        responses.extend(nudges);
        responses
    }

    /// Tells all members to renew at once if the policy or the pending change is new, else those that were registered.
    fn nudges(&self, commit: &Commit) -> Vec<Response> {
        let nudge = |member: &String| {
            let session = self.sessions.get(member)?;
            let to = ReplyTo { via: session.via, client: ClientSession::Member(member.clone()) };
            Some(Response { to, reply: Reply::RenewNow })
        };
        if commit.changes_policy() || commit.changes_pending() {
            return self.sessions.keys().filter_map(nudge).collect();
        }
        let members = commit.state.members.keys();
        members.filter(|member| commit.registers(member)).filter_map(nudge).collect()
    }
}

impl Commit {
    /// Whether another policy is active now.
    fn changes_policy(&self) -> bool {
        let version = self.state.policy.version;
        self.previous.as_ref().is_none_or(|previous| previous.policy.version != version)
    }

    /// Whether another change is pending now, or none.
    fn changes_pending(&self) -> bool {
        self.previous.as_ref().is_none_or(|previous| previous.pending != self.state.pending)
    }

    /// Whether this run of the member was registered.
    fn registers(&self, member: &str) -> bool {
        let registered = self.state.members.get(member);
        self.previous.as_ref().is_none_or(|previous| previous.members.get(member) != registered)
    }

    /// Whether the coordinator was replaced.
    pub(super) fn replaces(&self, coordinator: CoordinatorId) -> bool {
        let seat = self.state.seat(coordinator);
        self.previous.as_ref().is_some_and(|previous| previous.seat(coordinator) < seat)
    }

    /// The version of the change that is pending now.
    pub(super) fn pending_version(&self) -> Option<u64> {
        self.state.pending.as_ref().map(|pending| pending.policy.version)
    }

    /// The audit log entries, in order.
    fn notes(&self, round: u32) -> Vec<AuditEntry> {
        let mut notes = Vec::new();
        if self.previous.is_none() {
            notes.push(AuditEntry::Established { round });
        }
        notes.extend(self.dropped());
        if self.changes_policy() {
            notes.push(self.decided());
        }
        if self.changes_pending()
            && let Some(pending) = &self.state.pending
        {
            notes.push(AuditEntry::Pending {
                request: pending.request.clone(),
                version: pending.policy.version,
            });
        }
        notes
    }

    /// The changes that ended by this commit and were not decided.
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
