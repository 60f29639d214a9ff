//! The list of executors: who they are, and the indices that stand for them.

use super::*;

impl Core {
    /// The next call is the reducer's to time, whatever the dispatcher asks for later: by its own rule a call that
    /// failed would put off the next by as long as all changes may take to be known.
    pub(crate) fn unheard(&mut self, lost: Nanos, busy: bool) {
        self.unheard += 1;
        let last = CALL_WITHIN.saturating_sub(lost).max(2 * CALL_PAUSE);
        let wait = if !self.asks {
            WATCH_AGAIN + self.chance.u64(..WATCH_AGAIN)
        } else if busy && lost >= CALL_WAITED {
            CALL_TURNED_AWAY + self.chance.u64(..CALL_WITHIN)
        } else if self.unheard == 1 {
            self.chance.u64(CALL_PAUSE..last)
        } else {
            last
        };
        self.call_at(self.now + wait);
        self.listed(ListKind::Failed, Vec::new());
    }

    pub(crate) fn call_at(&mut self, at: Nanos) {
        self.call_at = Some(at);
        self.arm(at, Timer::Watch);
    }

    pub(crate) fn listed(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        if kind == ListKind::Failed {
            self.stats.list_failures += 1;
        } else {
            self.stats.lists += 1;
            self.unheard = 0;
            match kind {
                ListKind::Cached => self.configured_list(endpoints.is_empty()),
                _ => self.list_state = ListState::Current,
            }
            let ready = endpoints.iter().filter(|e| e.health == Health::Ready).count();
            self.told_at_start(kind, ready);
        }
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            self.workers.iter_mut().for_each(|w| w.health = Health::Gone);
        }
        let mut listings = Vec::with_capacity(endpoints.len());
        for e in endpoints {
            let worker = self.index(&e);
            let now = self.now;
            let place = &mut self.workers[worker as usize];
            place.health = e.health;
            let started = place.started.hear(e.started, now, self.list_clocks);
            let moved = std::mem::replace(&mut place.address, e.address) != e.address;
            if moved {
                let idle = std::mem::take(&mut place.idle);
                idle.into_iter().for_each(|connection| self.close_link(connection));
            }
            let kind = position(&mut self.kinds, &e.kind);
            let zone = position(&mut self.zones, &e.zone);
            let place = &mut self.workers[worker as usize];
            (place.kind, place.zone, place.cell, place.weight) = (kind, zone, e.cell, e.weight);
            let (health, cell, weight) = (e.health, e.cell, e.weight);
            listings.push(WorkerEntry { worker, health, kind, zone, cell, started, weight });
        }
        // What a whole list lacks has left, and so do the connections kept for it.
        self.present = 0;
        for worker in 0..self.workers.len() {
            let place = &mut self.workers[worker];
            if place.health != Health::Gone {
                self.present += 1;
                continue;
            }
            let idle = std::mem::take(&mut place.idle);
            if !std::mem::replace(&mut place.left, true) {
                self.left.push_back(worker as Worker);
            }
            idle.into_iter().for_each(|connection| self.close_link(connection));
        }
        self.decide(Event::ListReceived { kind, entries: &listings });
        self.settle();
        self.retire();
    }

    /// All that are not gone, as they were told last.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let there =
            self.workers.iter().filter(|w| w.health != Health::Gone && self.names.contains_key(&w.name));
        let word = |names: &[String], place: u16| names.get(usize::from(place)).cloned().unwrap_or_default();
        there
            .map(|w| Endpoint {
                name: w.name.to_string(),
                address: w.address,
                zone: word(&self.zones, w.zone),
                kind: word(&self.kinds, w.kind),
                cell: w.cell,
                health: w.health,
                started: w.started.at(),
                weight: w.weight,
            })
            .collect()
    }

    /// The index of an executor: its own, or one that means nobody.
    fn index(&mut self, e: &Endpoint) -> Worker {
        if let Some(worker) = self.names.get(e.name.as_str()) {
            return *worker;
        }
        let (name, seen) = (Arc::<str>::from(e.name.as_str()), Seen::default());
        let place = Place {
            name: Arc::clone(&name),
            address: e.address,
            health: e.health,
            kind: u16::MAX,
            zone: u16::MAX,
            cell: e.cell,
            weight: e.weight,
            started: start_times::Started::default(),
            idle: Vec::new(),
            lines: 0,
            known: 0,
            left: false,
            seen,
            said: None,
        };
        let worker = if let Some(worker) = self.vacant.pop() {
            self.workers[worker as usize] = place;
            worker
        } else {
            self.workers.push(place);
            self.workers.len() as Worker - 1
        };
        self.names.insert(name, worker);
        worker
    }

    /// Forgets those that left first, where more have left than are there. What is known of one that comes
    /// back soon is worth keeping; of all that ever were it would fill the memory. An index that something of
    /// the old one is still out under is never given to another: its end would be booked to the wrong one.
    fn retire(&mut self) {
        for _ in 0..self.left.len() {
            let Some(worker) = self.left.pop_front() else { break };
            let crowded = self.left.len() >= self.present + KEPT_LEFT;
            let place = &mut self.workers[worker as usize];
            if place.health != Health::Gone {
                place.left = false;
            } else if crowded && place.lines == 0 && place.known == 0 {
                place.left = false;
                let name = Arc::clone(&place.name);
                self.names.remove(&name);
                self.vacant.push(worker);
                self.decide(Event::Retired { worker });
            } else {
                self.left.push_back(worker);
            }
        }
    }
}

/// The place of a name among those known; a new one is added while there is room.
fn position(names: &mut Vec<String>, name: &str) -> u16 {
    let known = names.iter().position(|n| n == name).or_else(|| {
        (names.len() < MOST_NAMES).then(|| {
            names.push(name.to_owned());
            names.len() - 1
        })
    });
    // One too many is like no other: taken for a known one, it would be open to products that are not for it.
    known.and_then(|place| u16::try_from(place).ok()).unwrap_or(u16::MAX)
}
