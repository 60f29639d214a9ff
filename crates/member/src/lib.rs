//! A member's side of the agreement. It asks to serve, keeps changes that are not decided, goes by what is, and
//! knows until when it may serve. It knows nothing of how coordinators agree, and nothing of what a policy says.
//! Inputs and the time go in, what is to be done comes out.

use linestack_accord::{Grant, Incarnation, Nanos, Policy, Renew, Reply};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    Tick,
    /// A session with a coordinator begins.
    Up,
    Down,
    Reply(Reply),
    /// A change was looked at and kept, or can't be taken, by a key.
    Staged {
        version: u64,
        result: Result<(), String>,
    },
    /// A policy holds from now on, or can't be taken.
    Activated {
        version: u64,
        result: Result<(), String>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Out {
    Send(Renew),
    /// Look at this change and keep it durably; then say so.
    Stage(Policy),
    /// Go by this policy; then say so.
    Activate(Policy),
    /// Serve under this version until then, by this clock. Nothing is to be taken after it.
    Serve {
        version: u64,
        until: Nanos,
    },
    /// Nobody answers here; try another coordinator.
    Elsewhere,
    /// Something that an operator wants to read.
    Tell(Told),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    Refused(String),
    /// The coordinators go by an older version than this member has: they have lost what was decided.
    Ahead {
        mine: u64,
        theirs: u64,
    },
    Unable {
        version: u64,
        key: String,
    },
}

/// Known mistakes, for the tests that must find them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    /// Leave is counted from when it came.
    FromReceipt,
    /// A change is gone by as soon as it is kept.
    Early,
    /// Leave is never over.
    Unfenced,
}

#[derive(Clone, Debug, Hash)]
pub struct Member {
    pub incarnation: Incarnation,
    /// Thousandths by which a leave is taken to be shorter than it was given.
    drift: u64,
    active: u64,
    staged: Option<Policy>,
    /// Being kept: nothing may be said of it before it is.
    staging: Option<Policy>,
    declined: Option<(u64, String)>,
    /// How far its start has come, for people.
    stage: String,
    until: Nanos,
    /// How long a leave lasted last.
    span: Nanos,
    /// When it last asked, and the ask of the newest leave.
    asked: Nanos,
    answered: bool,
    granted: Nanos,
    up: bool,
    next: Nanos,
    /// A leave for a policy that is being taken.
    waiting: Option<(u64, Nanos)>,
    broken: Option<Broken>,
}

/// After being turned away.
const AGAIN: Nanos = 200_000_000;

impl Member {
    /// One that goes by the version `active`, which it kept, and may serve nothing yet. `span` is how long a leave
    /// is taken to last until the first has come; waits follow from it.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        drift: u64,
        span: Nanos,
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
            stage: String::new(),
            until: 0,
            span,
            asked: 0,
            answered: true,
            granted: 0,
            up: false,
            next: 0,
            waiting: None,
            broken: None,
        }
    }

    /// With a known mistake.
    #[must_use]
    pub fn broken(mut self, broken: Option<Broken>) -> Self {
        self.broken = broken;
        self
    }

    #[must_use]
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Whether it goes by a version, or has kept it.
    #[must_use]
    pub fn has(&self, version: u64) -> bool {
        self.active >= version || self.staged.as_ref().is_some_and(|s| s.version == version)
    }

    /// Whether it may serve at this time.
    #[must_use]
    pub fn may_serve(&self, now: Nanos) -> bool {
        now < self.until || (self.until > 0 && self.broken == Some(Broken::Unfenced))
    }

    /// What operators are told of its start from now on.
    pub fn at_stage(&mut self, stage: &str) {
        if self.stage != stage {
            stage.clone_into(&mut self.stage);
        }
    }

    /// When it wants a tick.
    #[must_use]
    pub fn next_due(&self) -> Nanos {
        if self.up { self.next } else { Nanos::MAX }
    }

    pub fn take(&mut self, now: Nanos, input: Input, outs: &mut Vec<Out>) {
        match input {
            Input::Up => {
                (self.up, self.answered) = (true, true);
                self.ask(now, outs);
            }
            Input::Down => self.up = false,
            Input::Tick if self.up && now >= self.next => {
                if self.answered {
                    self.ask(now, outs);
                } else {
                    self.up = false;
                    outs.push(Out::Elsewhere);
                }
            }
            Input::Tick => {}
            Input::Reply(reply) => self.reply(now, reply, outs),
            Input::Staged { version, result } => {
                let Some(policy) = self.staging.take_if(|s| s.version == version) else { return };
                match result {
                    Ok(()) => self.staged = Some(policy),
                    Err(key) => self.declined = Some((version, key)),
                }
                if self.up {
                    self.ask(now, outs);
                }
            }
            Input::Activated { version, result } => {
                let waiting = self.waiting.take_if(|(v, _)| *v == version);
                match result {
                    Ok(()) => {
                        self.active = version;
                        if self.staged.as_ref().is_some_and(|s| s.version <= version) {
                            self.staged = None;
                        }
                        if let Some((_, until)) = waiting {
                            self.serve(until, outs);
                        }
                        if self.answered {
                            // So that operators see it at once.
                            self.next = now;
                        }
                    }
                    Err(key) => {
                        // It may not serve under what it goes by, and can't go by what holds.
                        self.until = 0;
                        self.declined = Some((version, key.clone()));
                        outs.push(Out::Serve { version: self.active, until: 0 });
                        outs.push(Out::Tell(Told::Unable { version, key }));
                    }
                }
            }
        }
    }

    fn ask(&mut self, now: Nanos, outs: &mut Vec<Out>) {
        (self.asked, self.answered) = (now, false);
        // An answer that does not come is waited for for a part of what is left of a leave.
        self.next = now + (self.span / 6).max(1);
        let (active, declined) = (self.active, self.declined.clone());
        let staged = self.staged.as_ref().map_or(0, |s| s.version);
        let (incarnation, stage) = (self.incarnation, self.stage.clone());
        outs.push(Out::Send(Renew { incarnation, at: now, active, staged, declined, stage }));
    }

    fn serve(&mut self, until: Nanos, outs: &mut Vec<Out>) {
        self.until = self.until.max(until);
        outs.push(Out::Serve { version: self.active, until: self.until });
    }

    fn reply(&mut self, now: Nanos, reply: Reply, outs: &mut Vec<Out>) {
        match reply {
            Reply::Grant(grant) => self.granted(now, grant, outs),
            Reply::Nudge => self.ask(now, outs),
            Reply::Nobody => {
                // Whoever speaks next may be found here, too: it is not worth another connection at once.
                self.answered = true;
                self.next = now + (self.span / 12).max(1);
            }
            Reply::Refused(why) => {
                (self.answered, self.next) = (true, now + AGAIN.min(self.span).max(1));
                outs.push(Out::Tell(Told::Refused(why)));
            }
            _ => {}
        }
    }

    fn granted(&mut self, now: Nanos, grant: Grant, outs: &mut Vec<Out>) {
        let Grant { incarnation, at, span, version, policy, change } = grant;
        // Another's, or asked in another life, or answered before: it says nothing new.
        if incarnation != self.incarnation || at > now || at <= self.granted && self.granted > 0 {
            return;
        }
        self.granted = at;
        if at == self.asked {
            self.answered = true;
            self.next = now.max(at + (span / 3).max(1));
        }
        self.span = span;
        if version < self.active {
            outs.push(Out::Tell(Told::Ahead { mine: self.active, theirs: version }));
            return;
        }
        let from = if self.broken == Some(Broken::FromReceipt) { now } else { at };
        let until = from + (span - span / 1000 * self.drift);
        if version == self.active {
            self.serve(until, outs);
        } else if self.waiting.is_none_or(|(v, _)| v != version) {
            let kept = self.staged.clone().filter(|s| s.version == version);
            if let Some(policy) = policy.filter(|p| p.version == version).or(kept) {
                self.waiting = Some((version, until));
                outs.push(Out::Activate(policy));
            }
        } else {
            self.waiting = Some((version, until));
        }
        let declined = self.declined.as_ref().map(|(v, _)| *v);
        if let Some(change) = change
            && change.version > version.max(self.active)
            && declined != Some(change.version)
            && [&self.staged, &self.staging]
                .iter()
                .all(|s| s.as_ref().is_none_or(|s| s.version != change.version))
        {
            if self.broken == Some(Broken::Early) {
                self.waiting = Some((change.version, until));
                outs.push(Out::Activate(change.clone()));
            }
            self.staging = Some(change.clone());
            outs.push(Out::Stage(change));
        }
    }
}
