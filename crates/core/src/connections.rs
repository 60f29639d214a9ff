//! Connections to executors, kept and opened.

use super::*;

impl Core {
    /// An idle connection, the last used first. A job gets none that has been idle for so long that others
    /// were closed at the other end by then: what is written to one of those may have run, for all that is
    /// known here. For a probe any will do, since it can be asked again; and it tells how long they last.
    pub(crate) fn pooled(&mut self, worker: Worker, load: Load) -> Option<ConnectionId> {
        let (links, now) = (&self.links, self.now);
        let idle = &mut self.workers.get_mut(worker as usize)?.idle;
        let place =
            idle.iter().rposition(|connection| links.get(connection).is_some_and(|l| l.doubtful <= now))?;
        let idled = now - links.get(&idle[place])?.since;
        if load != Load::Probe && idled > self.kept {
            return None;
        }
        Some(idle.remove(place))
    }

    /// An idle connection proved good, or was found closed, after so long.
    pub(crate) fn idled(&mut self, idled: Nanos, good: bool) {
        if !good {
            self.kept = self.kept.min(idled / 2);
        } else if idled >= self.kept / 2 {
            // Slowly, for a job lost costs far more than a connection made anew.
            self.kept = (self.kept + self.kept / KEPT_REGAINS + KEPT_STEP).min(self.idle);
        }
    }

    pub(crate) fn open(&mut self, worker: Worker, load: Load) {
        if self.links.len() >= self.most_links {
            let idle = self.links.iter().filter(|(_, l)| l.stage == Stage::Idle);
            match idle
                .min_by_key(|(connection, l)| (l.since, **connection))
                .map(|(connection, _)| *connection)
            {
                Some(connection) => self.close_link(connection),
                None => return self.unsent(worker, load),
            }
        }
        let connection = self.next_link;
        self.next_link += 1;
        let mut limit = self.connect_timeout;
        if let Load::Execution(submission, execution) = load {
            let now = self.now;
            if let Some(sent) = self.sent(submission, execution) {
                sent.connection = Some(connection);
                limit = limit.min(sent.until.saturating_sub(now));
            }
        }
        self.stats.links_opened += 1;
        let (stage, since) = (Stage::Opening, self.now);
        let address = self.workers[worker as usize].address;
        let line = Line {
            worker,
            address,
            stage,
            load: Some(load),
            last: false,
            doubtful: 0,
            up: false,
            idled: None,
            since,
            limit: Limit::NONE,
        };
        self.links.insert(connection, line);
        self.workers[worker as usize].lines += 1;
        let turn = self.turn();
        self.limit_link(connection, turn + limit);
        if turn > self.now {
            return self.arm(turn, Timer::Open(connection));
        }
        self.effects.push(Effect::OpenConnection { connection, address, timeout: limit });
    }

    /// What was not sent, and could not be, for a reason that is not the worker's.
    pub(crate) fn unsent(&mut self, worker: Worker, load: Load) {
        match load {
            Load::Execution(submission, execution) => {
                self.ended(submission, execution, Outcome::NotSent, None, None);
            }
            Load::Probe => self.probed(worker, None, None),
        }
    }

    /// Whether an order that has waited for this connection may still be sent.
    pub(crate) fn stands(&self, line: &Line, load: Load) -> bool {
        let Load::Execution(submission, execution) = load else { return true };
        self.may_begin(line.worker, line.address, submission, execution).is_ok()
    }

    /// Sends the order over a connection that is up and carries nothing.
    pub(crate) fn hand(&mut self, connection: ConnectionId, load: Load) {
        let Some(line) = self.links.get_mut(&connection) else {
            must!(self, false, "an idle connection that is not known");
            return;
        };
        must!(self, line.load.is_none() && line.stage != Stage::Busy, "two orders on one connection");
        let (worker, line_address) = (line.worker, line.address);
        if self.permit(Occasion::Connected, worker, line_address, load).is_err() {
            self.rest(connection);
            return self.unsent(worker, load);
        }
        let now = self.now;
        let until = match load {
            Load::Probe => {
                self.effects.push(Effect::Probe { connection });
                now + self.connect_timeout / 2
            }
            Load::Execution(submission, execution) => {
                let Some(sent) = self.sent(submission, execution) else { return };
                sent.connection = Some(connection);
                let until = sent.until;
                if !self.waits(connection, submission, execution) {
                    let taken =
                        self.taken[submission as usize].as_ref().map(|t| (t.request.clone(), t.version));
                    let (request, version) = taken.unwrap_or_default();
                    self.effects.push(Effect::Send { connection, request, timeout: until - now, version });
                }
                until
            }
        };
        if let Some(line) = self.links.get_mut(&connection) {
            line.idled = (line.stage == Stage::Idle).then_some(now - line.since);
            (line.stage, line.load) = (Stage::Busy, Some(load));
        }
        self.limit_link(connection, until);
    }

    /// The outcome of what the connection carries is known.
    pub(crate) fn unload(&mut self, connection: ConnectionId) -> Option<Load> {
        let line = self.links.get_mut(&connection)?;
        let load = line.load.take();
        let idled = line.idled.take();
        line.stage = Stage::Finishing;
        self.workers[line.worker as usize].seen.silent = false;
        if let Some(idled) = idled {
            self.idled(idled, true);
        }
        self.limit_link(connection, self.now + self.connect_timeout);
        load
    }

    /// A connection that is up has nothing to carry.
    pub(crate) fn rest(&mut self, connection: ConnectionId) {
        let Some(line) = self.links.get_mut(&connection) else { return };
        let place = &mut self.workers[line.worker as usize];
        if place.health == Health::Gone || place.address != line.address || line.last {
            return self.close_link(connection);
        }
        (line.stage, line.load, line.since) = (Stage::Idle, None, self.now);
        place.idle.push(connection);
        // Twice what jobs may find it at: a probe then shows whether they could.
        let limit = self.idle.min(IDLE_AT_LEAST.max(2 * self.kept));
        self.limit_link(connection, self.now + limit);
    }

    pub(crate) fn link_up(&mut self, connection: ConnectionId) {
        let Some(line) = self.links.get_mut(&connection) else { return };
        let seen = &mut self.workers[line.worker as usize].seen;
        (seen.up, seen.unmade) = (seen.up + 1, 0);
        line.up = true;
        match line.load.take() {
            Some(load) => self.hand(connection, load),
            None => self.rest(connection),
        }
    }

    pub(crate) fn link_down(&mut self, connection: ConnectionId, disconnect: Disconnect) {
        let Some(line) = self.forget_link(connection) else { return };
        if !disconnect.local_fault {
            self.broke(&line, disconnect.response_started);
        }
        let Some(load) = line.load else {
            let told = line.stage == Stage::Idle && !disconnect.unexpected_data;
            if told && self.workers[line.worker as usize].health == Health::Ready {
                self.idled(self.now - line.since, false);
            }
            return;
        };
        let opening = line.stage == Stage::Opening;
        if disconnect.local_fault || (opening && !self.stands(&line, load)) {
            return self.unsent(line.worker, load);
        }
        // Closed at the other end while it was idle, which says nothing of the worker. Before the last byte
        // was written, and for a probe at any time, a new one does as well.
        if let Some(idled) = line.idled.filter(|_| !disconnect.response_started) {
            if !disconnect.unexpected_data {
                self.idled(idled, false);
            }
            self.stats.stale += 1;
            return match (load, disconnect.request_written) {
                (Load::Execution(submission, execution), true) => {
                    self.ended(submission, execution, Outcome::StaleConnection, None, None);
                }
                _ if self.permit(Occasion::Reconnect, line.worker, line.address, load).is_ok() => {
                    self.open(line.worker, load)
                }
                _ => self.unsent(line.worker, load),
            };
        }
        match load {
            Load::Probe => self.probed(line.worker, Some(false), None),
            Load::Execution(submission, execution) => {
                // After the last byte nobody can tell whether it ran.
                let outcome =
                    if disconnect.request_written { Outcome::Reset } else { Outcome::ConnectFailed };
                self.ended(submission, execution, outcome, None, None);
            }
        }
    }

    /// Whether what broke, with what broke just before, or could not be made, tells that the process was lost.
    /// One connection that breaks tells nothing, nor do idle ones that were closed at the other end.
    pub(crate) fn broke(&mut self, line: &Line, answered: bool) {
        let now = self.now;
        let seen = &mut self.workers[line.worker as usize].seen;
        let lost = if line.up {
            if now > seen.broke + TOGETHER {
                (seen.breaks, seen.busy) = (0, false);
            }
            (seen.breaks, seen.broke) = (seen.breaks + 1, now);
            // Before any answer it may have been closed while it was idle.
            seen.busy |= line.load.is_some() && answered;
            seen.silent || (seen.busy && seen.breaks > 1)
        } else {
            // One may be refused for other reasons, such as a full table.
            seen.unmade += 1;
            seen.unmade >= UNMADE
        };
        if lost && seen.up == 0 {
            (seen.breaks, seen.unmade) = (0, 0);
            self.stats.died += 1;
            self.pending.push_back(Event::ProcessLost { worker: line.worker });
        }
    }

    pub(crate) fn forget_link(&mut self, connection: ConnectionId) -> Option<Line> {
        let line = self.links.remove(&connection)?;
        let place = &mut self.workers[line.worker as usize];
        place.lines -= 1;
        place.seen.up -= usize::from(line.up);
        if line.stage == Stage::Idle {
            self.workers[line.worker as usize].idle.retain(|l| *l != connection);
        }
        Some(line)
    }

    pub(crate) fn close_link(&mut self, connection: ConnectionId) {
        if self.forget_link(connection).is_some() {
            self.effects.push(Effect::CloseConnection { connection });
        }
    }
}
