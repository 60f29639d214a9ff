//! Requests of operators.

use crate::message::{MemberStatus, OperatorRequest, Reply, Status};
use crate::state::{CoordinatorId, Incarnation, Nanos};

use super::Coordinator;
use super::change::Proposal;
use super::leadership::Leadership;
use super::role::{ReplyTo, Role};

impl Coordinator {
    /// Handles an operator's request as the leader.
    pub(super) fn handle_operator_request(
        &mut self,
        now: Nanos,
        operator: ReplyTo,
        request: OperatorRequest,
    ) {
        match request {
            OperatorRequest::Propose { request, base_version, text, require_all, give_up_after } => {
                self.propose(
                    now,
                    operator,
                    Proposal { request, base_version, text, require_all, give_up_after },
                );
            }
            OperatorRequest::Outcome { request } => self.reply_outcome(operator, &request),
            OperatorRequest::Abort { request } => self.abort(now, operator, request),
            OperatorRequest::Forget { member } => self.forget_member(now, operator, member),
            OperatorRequest::Replace { coordinator } => self.replace_coordinator(now, operator, coordinator),
            OperatorRequest::Status => self.reply_status(now, operator),
        }
    }

    fn reply_outcome(&mut self, operator: ReplyTo, request: &str) {
        let Role::Leader(leadership) = &self.role else { return };
        let outcome = leadership.known_outcome(request).unwrap_or(Reply::Unknown);
        self.reply(operator, outcome);
    }

    fn reply_status(&mut self, now: Nanos, operator: ReplyTo) {
        let Role::Leader(leadership) = &self.role else { return };
        let Some(status) = leadership.status(now, self.config.id) else { return };
        self.reply(operator, Reply::Status(Box::new(status)));
    }
}

impl Leadership {
    fn status(&self, now: Nanos, leader: CoordinatorId) -> Option<Status> {
        let committed = self.committed.as_ref()?;
        let pending = committed.pending.as_ref();
        let members = committed.members.iter();
        Some(Status {
            leader,
            round: self.ballot.round,
            revision: committed.revision,
            version: committed.policy.version,
            digest: committed.policy.digest(),
            pending: pending.map(|change| (change.request.clone(), change.policy.version)),
            members: members.map(|(name, run)| self.member_status(now, name, run)).collect(),
            ended: committed.ended.clone(),
        })
    }

    fn member_status(&self, now: Nanos, name: &str, run: &Incarnation) -> MemberStatus {
        let session = self.sessions.get(name).filter(|session| session.incarnation == *run);
        let declined = session.and_then(|session| session.declined.clone());
        MemberStatus {
            name: name.to_owned(),
            incarnation: *run,
            live: session.is_some_and(|session| session.is_live(now)),
            active: session.map(|session| session.active),
            staged: session.map_or(0, |session| session.staged),
            declined: declined.map(|declined| (declined.version, declined.key)),
            stage: session.map_or(String::new(), |session| session.stage.clone()),
        }
    }
}
