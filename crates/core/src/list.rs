//! The list of executors: who they are, and the indices that stand for them.

use super::*;

impl Core {
    pub(crate) fn listed(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        if kind == ListKind::Failed {
            self.stats.list_failures += 1;
            if !self.asks {
                let wait = WATCH_AGAIN + self.chance.u64(..WATCH_AGAIN);
                self.arm(self.now + wait, Timer::Watch);
            }
        } else {
            self.stats.lists += 1;
            // An old list that names nobody says nothing.
            self.listed |= kind != ListKind::Cached || !endpoints.is_empty();
        }
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            self.workers.iter_mut().for_each(|w| w.health = Health::Gone);
        }
        let mut listings = Vec::with_capacity(endpoints.len());
        for e in endpoints {
            let worker = self.index(&e);
            let place = &mut self.workers[worker as usize];
            place.health = e.health;
            let moved = std::mem::replace(&mut place.address, e.address) != e.address;
            if moved {
                let idle = std::mem::take(&mut place.idle);
                idle.into_iter().for_each(|link| self.close_link(link));
            }
            let kind = position(&mut self.kinds, &e.kind);
            let zone = position(&mut self.zones, &e.zone);
            let place = &mut self.workers[worker as usize];
            (place.kind, place.zone) = (kind, zone);
            let (health, cell, started, weight) = (e.health, e.group, e.started, e.weight);
            listings.push(Listing { worker, health, kind, zone, cell, started, weight });
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
            idle.into_iter().for_each(|link| self.close_link(link));
        }
        self.decide(Event::Listed { kind, entries: &listings });
        self.settle();
        self.retire();
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
            idle: Vec::new(),
            lines: 0,
            known: 0,
            left: false,
            seen,
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
