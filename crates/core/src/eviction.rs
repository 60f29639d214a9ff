//! Eviction of client connections when few more can be accepted.
//!
//! A connection stays until its client sends a request, disconnects or reaches a time limit. At the limit of connections,
//! further clients wait in the listener's queue, and the deadlines of their requests pass unread. So connections are evicted
//! before the limit is reached, and connections without an open submission, of whatever class, do not take up all the room
//! for longer than [`MAX_FULL_TIME`].

use super::*;

/// For how long partly received requests may take up all the room. It is short enough that a client that connects just as
/// the room fills up is answered or refused no later than half a second after its deadline, however short that is.
const MAX_FULL_TIME: Nanos = SECOND * 2 / 5;
/// How often connections are evicted while the limit is reached. Until then each new connection triggers an eviction; at the
/// limit there are no new connections.
const CHECK_INTERVAL: Nanos = SECOND / 50;
/// Each such check evicts one part in this many of the allowed connections.
const EVICTION_DIVISOR: usize = 16;

/// Room is short when the clients exceed this many quarters of the allowed connections.
const SHORT_ROOM_QUARTERS: usize = 3;
/// Beyond this many eighths, there is little room even for connections that are being closed.
const CLOSING_ROOM_EIGHTHS: usize = 7;

/// How long room for clients has been short.
#[derive(Debug, Default)]
pub(crate) struct ClientRoom {
    /// When the limit was reached for the first time since room became short; `None` while there is enough room.
    short_since: Option<Nanos>,
    /// The timer of the next check is set.
    check_scheduled: bool,
}

/// The classes of connections that can be evicted, in the order of eviction: those that have used the node least and lose
/// least come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// It has not sent a request yet. A flood of connections without requests therefore evicts its own connections first.
    New,
    /// It has sent requests before and is idle.
    Idle,
    /// It has sent requests before, and the next one is partly received. The client gets an error; nothing was executed.
    PartialRequest,
}

impl ClientState {
    /// The class of this connection, or `None` if it must not be evicted now.
    fn eviction_class(&self) -> Option<EvictionClass> {
        if self.submission.is_some() || self.evicted {
            return None;
        }
        match (self.phase, self.new_since) {
            (ClientPhase::Closing | ClientPhase::Answering, _) => None,
            (_, Some(_)) => Some(EvictionClass::New),
            (ClientPhase::Idle, None) => Some(EvictionClass::Idle),
            (ClientPhase::Reading, None) => Some(EvictionClass::PartialRequest),
        }
    }
}

impl Core {
    fn room_is_short(&self) -> bool {
        self.clients.len() > self.max_clients * SHORT_ROOM_QUARTERS / 4
    }

    /// Updates the record of how long room has been short, after a change in the number of clients.
    pub(crate) fn update_room(&mut self) {
        if !self.room_is_short() {
            self.client_room.short_since = None;
        } else if self.is_at_client_limit() {
            self.client_room.short_since.get_or_insert(self.now);
        }
    }

    /// Evicts another connection after a client has connected, if room is short.
    pub(crate) fn make_room_after(&mut self, connected: ClientId) {
        self.update_room();
        if self.room_is_short() {
            self.make_room(Some(connected));
        }
        if self.is_at_client_limit() {
            self.schedule_room_check();
        }
    }

    fn schedule_room_check(&mut self) {
        let Some(since) = self.client_room.short_since else { return };
        if !std::mem::replace(&mut self.client_room.check_scheduled, true) {
            let due = (since + MAX_FULL_TIME).max(self.now + CHECK_INTERVAL);
            self.set_timer(due, Timer::ClientRoom);
        }
    }

    /// Evicts several connections if the limit is still reached.
    pub(crate) fn make_room_when_full(&mut self) {
        self.client_room.check_scheduled = false;
        if !self.is_at_client_limit() {
            return;
        }
        for _ in 0..(self.max_clients / EVICTION_DIVISOR).max(1) {
            self.make_room(None);
        }
        self.schedule_room_check();
    }

    /// Whether room has been short for long enough to evict connections with partly received requests.
    fn may_evict_partial_requests(&self) -> bool {
        self.client_room.short_since.is_some_and(|since| self.now >= since + MAX_FULL_TIME)
    }

    /// Evicts one connection: of the first class that has any, the oldest.
    ///
    /// The connection is closed in one direction, and the node waits for the client to close the other, so that data that is
    /// still in transit does not reset it. When there is little room even for connections that are being closed, or no other
    /// can be evicted, the one that has been closing for longest is dropped as well.
    fn make_room(&mut self, except: Option<ClientId>) {
        let evicted = self.first_to_evict(except);
        let short = evicted.is_none() || self.clients.len() > self.max_clients * CLOSING_ROOM_EIGHTHS / 8;
        let dropped = if short { self.oldest_closing(except) } else { None };
        for client in evicted.into_iter().chain(dropped) {
            self.evict(client);
        }
    }

    fn first_to_evict(&self, except: Option<ClientId>) -> Option<ClientId> {
        let may_evict_partial_requests = self.may_evict_partial_requests();
        let others = self.clients.iter().filter(|(client, _)| Some(**client) != except);
        let candidates = others.filter_map(|(client, state)| {
            let class = state.eviction_class()?;
            let since = state.new_since.unwrap_or(state.since);
            (class < EvictionClass::PartialRequest || may_evict_partial_requests)
                .then_some((class, since, *client))
        });
        candidates.min().map(|(.., client)| client)
    }

    fn oldest_closing(&self, except: Option<ClientId>) -> Option<ClientId> {
        let closing = self.clients.iter().filter(|(client, state)| {
            Some(**client) != except
                && state.phase == ClientPhase::Closing
                && state.submission.is_none()
                && !state.evicted
        });
        closing.map(|(client, state)| (state.since, *client)).min().map(|(_, client)| client)
    }

    fn evict(&mut self, client: ClientId) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        state.evicted = true;
        self.stats.evicted += u64::from(state.phase != ClientPhase::Closing);
        self.effects.push(match state.phase {
            // A request that has arrived in the meantime is still served.
            ClientPhase::Idle => Effect::CloseClient { client },
            _ => Effect::DropClient { client },
        });
    }
}
