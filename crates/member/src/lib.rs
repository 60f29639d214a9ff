//! The member's side of the coordination protocol. A member requests a lease from the coordinators, stages proposed
//! changes until they are decided, activates decided policies, and serves until its lease ends. It is independent of how
//! the coordinators agree, and of what a policy contains.
//!
//! The crate performs no I/O and reads no clock. A caller passes each [`Input`] with the current time to
//! [`Member::handle`], and carries out the [`Output`]s.

use linestack_accord::{Grant, Incarnation, Nanos, Policy, Renew, Reply};

/// An event that a member handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The time of [`Member::next_due`] is reached.
    Tick,
    /// A session with a coordinator was opened.
    SessionOpened,
    /// The session with the coordinator was closed.
    SessionClosed,
    /// The coordinator replied.
    Reply(Reply),
    /// The change of [`Output::Stage`] was checked and stored, or can't be applied because of the policy key in `result`.
    Staged { version: u64, result: Result<(), String> },
    /// The policy of [`Output::Activate`] is active, or can't be applied because of the policy key in `result`.
    Activated { version: u64, result: Result<(), String> },
}

/// An action that the caller carries out for a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send this request to the coordinator.
    Send(Renew),
    /// Check this change and store it durably, then return [`Input::Staged`].
    Stage(Policy),
    /// Apply this policy, then return [`Input::Activated`].
    Activate(Policy),
    /// Serve under this version until the given time of the member's clock, and accept no submission after it.
    Serve { version: u64, until: Nanos },
    /// The coordinator has not answered in time: open a session with another one.
    TryAnotherCoordinator,
    /// Report this to the operator.
    Notify(Notice),
}

/// A condition that an operator should know of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// The coordinators rejected the member, for this reason.
    Refused(String),
    /// The coordinators have an older version (`theirs`) than this member (`own`): they lost a decided change.
    CoordinatorsBehind { own: u64, theirs: u64 },
    /// The decided version can't be applied, because of this policy key.
    CannotActivate { version: u64, key: String },
}

/// Faults that tests inject to show that their checks find them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// A lease is counted from its receipt rather than from the request.
    LeaseFromReceipt,
    /// A change is activated as soon as it is proposed.
    ActivateUndecided,
    /// A lease never expires.
    LeaseNeverEnds,
}

/// The state machine of a member.
#[derive(Clone, Debug, Hash)]
pub struct Member {
    pub incarnation: Incarnation,
    /// The safety margin for clock drift, in thousandths: the member shortens each lease by this part.
    drift: u64,
    /// The active version; 0 if there is none.
    active: u64,
    /// The change that is stored durably and not decided.
    staged: Option<Policy>,
    /// The change that is being stored; it must not be reported before it is durable.
    staging: Option<Policy>,
    /// The version of a change that can't be applied, and the policy key that prevents it, as in [`Renew::declined`].
    declined: Option<(u64, String)>,
    /// The stage of the node's start, as shown to operators.
    start_stage: String,
    /// When the lease ends; 0 if there is none.
    lease_end: Nanos,
    /// The duration of the last lease.
    lease_duration: Nanos,
    /// When the last request was sent.
    requested_at: Nanos,
    /// Whether the last request was answered, or no request was sent in this session.
    answered: bool,
    /// When the request was sent that the newest grant answers; 0 before the first grant.
    granted_request_at: Nanos,
    /// Whether a session with a coordinator is open.
    connected: bool,
    /// When the next request is due, or when the answer to the last one counts as lost.
    next_due: Nanos,
    /// The lease for a policy that is being activated.
    pending_lease: Option<PendingLease>,
    injected_fault: Option<InjectedFault>,
}

/// A lease that takes effect once its policy is active.
#[derive(Clone, Copy, Debug, Hash)]
struct PendingLease {
    /// The version of the policy.
    version: u64,
    /// When the lease ends.
    until: Nanos,
}

/// The delay before the next request after the coordinators refused the member: 200 ms.
const REFUSED_RETRY_DELAY_NS: Nanos = 200_000_000;
/// A lease is renewed once one part in this many of it has passed.
const RENEWAL_DIVISOR: Nanos = 3;
/// An answer counts as lost after one part in this many of a lease, while enough of the lease is left to try another
/// coordinator.
const ANSWER_TIMEOUT_DIVISOR: Nanos = 6;
/// After the answer that there is no leader, the next request is sent after one part in this many of a lease.
const NO_LEADER_RETRY_DIVISOR: Nanos = 12;

impl Member {
    /// Creates a member that has no lease yet. `active` and `staged` are the active version, 0 for none, and the staged
    /// change from the member's store. `drift` is the safety margin for clock drift, in thousandths. `lease_duration` is
    /// the assumed duration of a lease until the first one is granted; timeouts and retry delays are parts of it.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        drift: u64,
        lease_duration: Nanos,
        active: u64,
        staged: Option<Policy>,
    ) -> Self {
        Self {
            incarnation,
            drift,
            active,
            staged,
            staging: None,
            declined: None,
            start_stage: String::new(),
            lease_end: 0,
            lease_duration,
            requested_at: 0,
            answered: true,
            granted_request_at: 0,
            connected: false,
            next_due: 0,
            pending_lease: None,
            injected_fault: None,
        }
    }

    /// Sets the fault that is injected, for tests.
    #[must_use]
    pub fn with_injected_fault(mut self, fault: Option<InjectedFault>) -> Self {
        self.injected_fault = fault;
        self
    }

    /// Returns the active version.
    #[must_use]
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Returns whether the member has activated or staged a version.
    #[must_use]
    pub fn has_version(&self, version: u64) -> bool {
        self.active >= version || self.staged.as_ref().is_some_and(|s| s.version == version)
    }

    /// Returns whether the member may serve at this time.
    #[must_use]
    pub fn may_serve(&self, now: Nanos) -> bool {
        now < self.lease_end
            || (self.lease_end > 0 && self.injected_fault == Some(InjectedFault::LeaseNeverEnds))
    }

    /// Sets the stage of the node's start that is reported to operators.
    pub fn set_start_stage(&mut self, stage: &str) {
        if self.start_stage != stage {
            stage.clone_into(&mut self.start_stage);
        }
    }

    /// Returns when the next [`Input::Tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> Nanos {
        if self.connected { self.next_due } else { Nanos::MAX }
    }

    /// Handles an input, and appends the actions that follow from it to `outputs`.
    pub fn handle(&mut self, now: Nanos, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::SessionOpened => {
                (self.connected, self.answered) = (true, true);
                self.request_lease(now, outputs);
            }
            Input::SessionClosed => self.connected = false,
            Input::Tick if self.connected && now >= self.next_due => {
                if self.answered {
                    self.request_lease(now, outputs);
                } else {
                    self.connected = false;
                    outputs.push(Output::TryAnotherCoordinator);
                }
            }
            Input::Tick => {}
            Input::Reply(reply) => self.handle_reply(now, reply, outputs),
            Input::Staged { version, result } => {
                let Some(policy) = self.staging.take_if(|s| s.version == version) else { return };
                match result {
                    Ok(()) => self.staged = Some(policy),
                    Err(key) => self.declined = Some((version, key)),
                }
                if self.connected {
                    self.request_lease(now, outputs);
                }
            }
            Input::Activated { version, result } => {
                let pending_lease = self.pending_lease.take_if(|lease| lease.version == version);
                match result {
                    Ok(()) => {
                        self.active = version;
                        if self.staged.as_ref().is_some_and(|s| s.version <= version) {
                            self.staged = None;
                        }
                        if let Some(lease) = pending_lease {
                            self.serve(lease.until, outputs);
                        }
                        if self.answered {
                            // The new version is reported at once, so that operators see it.
                            self.next_due = now;
                        }
                    }
                    Err(key) => {
                        // The member may not serve under its active version, and can't apply the decided one.
                        self.lease_end = 0;
                        self.declined = Some((version, key.clone()));
                        outputs.push(Output::Serve { version: self.active, until: 0 });
                        outputs.push(Output::Notify(Notice::CannotActivate { version, key }));
                    }
                }
            }
        }
    }

    fn request_lease(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        (self.requested_at, self.answered) = (now, false);
        self.next_due = now + (self.lease_duration / ANSWER_TIMEOUT_DIVISOR).max(1);
        let (active, declined) = (self.active, self.declined.clone());
        let staged = self.staged.as_ref().map_or(0, |s| s.version);
        let (incarnation, stage) = (self.incarnation, self.start_stage.clone());
        outputs.push(Output::Send(Renew { incarnation, requested_at: now, active, staged, declined, stage }));
    }

    fn serve(&mut self, until: Nanos, outputs: &mut Vec<Output>) {
        self.lease_end = self.lease_end.max(until);
        outputs.push(Output::Serve { version: self.active, until: self.lease_end });
    }

    fn handle_reply(&mut self, now: Nanos, reply: Reply, outputs: &mut Vec<Output>) {
        match reply {
            Reply::Grant(grant) => self.handle_grant(now, grant, outputs),
            Reply::RenewNow => self.request_lease(now, outputs),
            Reply::NoLeader => {
                // The next leader may be reachable through this coordinator, so the session stays open.
                self.answered = true;
                self.next_due = now + (self.lease_duration / NO_LEADER_RETRY_DIVISOR).max(1);
            }
            Reply::Refused(reason) => {
                self.answered = true;
                self.next_due = now + REFUSED_RETRY_DELAY_NS.min(self.lease_duration).max(1);
                outputs.push(Output::Notify(Notice::Refused(reason)));
            }
            _ => {}
        }
    }

    fn handle_grant(&mut self, now: Nanos, grant: Grant, outputs: &mut Vec<Output>) {
        let Grant { incarnation, requested_at: at, duration, version, policy, change } = grant;
        // A grant for another incarnation, or for a request not later than one that was already granted, is outdated.
        if incarnation != self.incarnation
            || at > now
            || at <= self.granted_request_at && self.granted_request_at > 0
        {
            return;
        }
        self.granted_request_at = at;
        if at == self.requested_at {
            self.answered = true;
            self.next_due = now.max(at + (duration / RENEWAL_DIVISOR).max(1));
        }
        self.lease_duration = duration;
        if version < self.active {
            let notice = Notice::CoordinatorsBehind { own: self.active, theirs: version };
            outputs.push(Output::Notify(notice));
            return;
        }
        let from = if self.injected_fault == Some(InjectedFault::LeaseFromReceipt) { now } else { at };
        let until = from + (duration - duration / 1000 * self.drift);
        if version == self.active {
            self.serve(until, outputs);
        } else if self.pending_lease.is_none_or(|lease| lease.version != version) {
            let staged = self.staged.clone().filter(|s| s.version == version);
            if let Some(policy) = policy.filter(|p| p.version == version).or(staged) {
                self.pending_lease = Some(PendingLease { version, until });
                outputs.push(Output::Activate(policy));
            }
        } else {
            self.pending_lease = Some(PendingLease { version, until });
        }
        let declined = self.declined.as_ref().map(|(v, _)| *v);
        if let Some(change) = change
            && change.version > version.max(self.active)
            && declined != Some(change.version)
            && [&self.staged, &self.staging]
                .iter()
                .all(|s| s.as_ref().is_none_or(|s| s.version != change.version))
        {
            if self.injected_fault == Some(InjectedFault::ActivateUndecided) {
                self.pending_lease = Some(PendingLease { version: change.version, until });
                outputs.push(Output::Activate(change.clone()));
            }
            self.staging = Some(change.clone());
            outputs.push(Output::Stage(change));
        }
    }
}
