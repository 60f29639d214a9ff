//! Which client is closed when room for clients is short.
//!
//! Whoever holds room has it until it asks, goes or runs into a time limit, and newcomers wait unseen in the listener's queue
//! meanwhile, with deadlines that nobody has read. So room is made before it is needed, and no kind of client that is owed
//! no answer may hold all of it for longer than [`HELD_AT_MOST`].

use super::*;

/// For so long half requests may hold all the room. A newcomer that came as it was filled is let in soon enough to be
/// answered, or refused, no later than half a second after its deadline, however short that is.
const HELD_AT_MOST: Nanos = SECOND * 2 / 5;
/// How often room is made while clients hold all of it: nobody else connects then, who would make some.
const CHECK_EVERY: Nanos = SECOND / 50;
/// The part of the room that is made at each such check.
const MADE_AT_ONCE: usize = 16;

/// Since when room has been short.
#[derive(Debug, Default)]
pub(crate) struct Room {
    /// Clients have held all of it at some time since, and since then never as little as is not short.
    short_since: Option<Nanos>,
    /// A check is due.
    check_armed: bool,
}

/// Who goes first: the less it has asked for, and the less it loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Claim {
    /// It has asked for nothing yet. A flood of connections evicts its own.
    Newcomer,
    /// It has asked before and rests.
    Resting,
    /// It has asked before, and half of its next request has come. It gets an error, and nothing has begun for it.
    HalfRequest,
}

impl ClientState {
    /// What it has to stay by; none where it can't be told to go.
    fn claim(&self) -> Option<Claim> {
        if self.submission.is_some() || self.evicted {
            return None;
        }
        match (self.phase, self.newcomer) {
            (Phase::Leaving | Phase::Answering, _) => None,
            (_, Some(_)) => Some(Claim::Newcomer),
            (Phase::Idle, None) => Some(Claim::Resting),
            (Phase::Reading, None) => Some(Claim::HalfRequest),
        }
    }
}

impl Core {
    fn room_is_short(&self) -> bool {
        self.clients.len() > self.most_clients * 3 / 4
    }

    /// Notes how much room is left, after a change.
    pub(crate) fn note_room(&mut self) {
        if !self.room_is_short() {
            self.room.short_since = None;
        } else if self.is_at_client_limit() {
            self.room.short_since.get_or_insert(self.now);
        }
    }

    /// A client has connected: before no room is left, another goes.
    pub(crate) fn make_room_behind(&mut self, newcomer: ClientId) {
        self.note_room();
        if self.room_is_short() {
            self.make_room(Some(newcomer));
        }
        if self.is_at_client_limit() {
            self.check_room_later();
        }
    }

    fn check_room_later(&mut self) {
        let Some(since) = self.room.short_since else { return };
        if !std::mem::replace(&mut self.room.check_armed, true) {
            let due = (since + HELD_AT_MOST).max(self.now + CHECK_EVERY);
            self.arm(due, Timer::Room);
        }
    }

    /// Makes room while clients hold all of it.
    pub(crate) fn make_room_in_time(&mut self) {
        self.room.check_armed = false;
        if !self.is_at_client_limit() {
            return;
        }
        for _ in 0..(self.most_clients / MADE_AT_ONCE).max(1) {
            self.make_room(None);
        }
        self.check_room_later();
    }

    /// Whether half requests have held the room for long enough.
    fn half_requests_may_go(&self) -> bool {
        self.room.short_since.is_some_and(|since| self.now >= since + HELD_AT_MOST)
    }

    /// One client goes, the one with the least claim, of those the one that has had it for longest. It is told and then
    /// waited for, lest what crosses resets it; when room is short for that too, or nobody else can go, the one that was
    /// told first is waited for no longer.
    fn make_room(&mut self, but: Option<ClientId>) {
        let told = self.least_claim(but);
        let short = told.is_none() || self.clients.len() > self.most_clients * 7 / 8;
        let left = if short { self.first_to_leave(but) } else { None };
        for client in told.into_iter().chain(left) {
            self.evict(client);
        }
    }

    fn least_claim(&self, but: Option<ClientId>) -> Option<ClientId> {
        let half_requests_may_go = self.half_requests_may_go();
        let claims =
            self.clients.iter().filter(|(client, _)| Some(**client) != but).filter_map(|(client, state)| {
                let claim = state.claim()?;
                let held_since = state.newcomer.unwrap_or(state.since);
                (claim < Claim::HalfRequest || half_requests_may_go).then_some((claim, held_since, *client))
            });
        claims.min().map(|(.., client)| client)
    }

    fn first_to_leave(&self, but: Option<ClientId>) -> Option<ClientId> {
        let leaving = self.clients.iter().filter(|(client, state)| {
            Some(**client) != but
                && state.phase == Phase::Leaving
                && state.submission.is_none()
                && !state.evicted
        });
        leaving.map(|(client, state)| (state.since, *client)).min().map(|(_, client)| client)
    }

    fn evict(&mut self, client: ClientId) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        state.evicted = true;
        self.stats.evicted += u64::from(state.phase != Phase::Leaving);
        self.effects.push(match state.phase {
            // What has come in meanwhile is looked at first.
            Phase::Idle => Effect::CloseClient { client },
            _ => Effect::DropClient { client },
        });
    }
}
