//! The list of executors: who they are, and the indices that stand for them.

use super::*;

impl Core {
    /// The next call is the reducer's to time, whatever the dispatcher asks for later: by its own rule a call that
    /// failed would put off the next by as long as all changes may take to be known.
    pub(crate) fn list_failed(&mut self, lost: Nanos, busy: bool) {
        self.failed_list_calls += 1;
        let last = MAX_LIST_CALL_DELAY.saturating_sub(lost).max(2 * MIN_LIST_CALL_DELAY);
        let wait = if !self.list_on_request {
            WATCH_RETRY_DELAY + self.rng.u64(..WATCH_RETRY_DELAY)
        } else if busy && lost >= LONG_CALL_WAIT {
            OVERLOADED_CALL_DELAY + self.rng.u64(..MAX_LIST_CALL_DELAY)
        } else if self.failed_list_calls == 1 {
            self.rng.u64(MIN_LIST_CALL_DELAY..last)
        } else {
            last
        };
        self.schedule_list_call(self.now + wait);
        self.list_received(ListKind::Failed, Vec::new());
    }

    pub(crate) fn schedule_list_call(&mut self, at: Nanos) {
        self.next_list_call = Some(at);
        self.set_timer(at, Timer::ListCall);
    }

    pub(crate) fn list_received(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        if kind == ListKind::Failed {
            self.stats.list_failures += 1;
        } else {
            self.stats.lists += 1;
            self.failed_list_calls = 0;
            match kind {
                ListKind::Cached => self.configured_list(endpoints.is_empty()),
                _ => self.list_state = ListState::Current,
            }
            let ready = endpoints.iter().filter(|e| e.health == Health::Ready).count();
            self.start_list_received(kind, ready);
        }
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            self.workers.iter_mut().for_each(|w| w.health = Health::Gone);
        }
        let mut listings = Vec::with_capacity(endpoints.len());
        for e in endpoints {
            let worker = self.worker_index(&e);
            let now = self.now;
            let worker_state = &mut self.workers[worker as usize];
            worker_state.health = e.health;
            let started = worker_state.start_time.update(e.started, now, self.list_clocks);
            let moved = std::mem::replace(&mut worker_state.address, e.address) != e.address;
            if moved {
                let idle = std::mem::take(&mut worker_state.idle_connections);
                idle.into_iter().for_each(|connection| self.close_connection(connection));
            }
            let kind = name_index(&mut self.kinds, &e.kind);
            let zone = name_index(&mut self.zones, &e.zone);
            let worker_state = &mut self.workers[worker as usize];
            (worker_state.kind, worker_state.zone, worker_state.cell, worker_state.weight) =
                (kind, zone, e.cell, e.weight);
            let (health, cell, weight) = (e.health, e.cell, e.weight);
            listings.push(Listing { worker, health, kind, zone, cell, started, weight });
        }
        // What a whole list lacks has left, and so do the connections kept for it.
        self.present_workers = 0;
        for worker in 0..self.workers.len() {
            let worker_state = &mut self.workers[worker];
            if worker_state.health != Health::Gone {
                self.present_workers += 1;
                continue;
            }
            let idle = std::mem::take(&mut worker_state.idle_connections);
            if !std::mem::replace(&mut worker_state.is_departed, true) {
                self.departed.push_back(worker as Worker);
            }
            idle.into_iter().for_each(|connection| self.close_connection(connection));
        }
        self.dispatch_event(Event::Listed { kind, entries: &listings });
        self.process_events();
        self.retire_workers();
    }

    /// All that are not gone, as they were told last.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let there = self
            .workers
            .iter()
            .filter(|w| w.health != Health::Gone && self.workers_by_name.contains_key(&w.name));
        let word = |names: &[String], worker_state: u16| {
            names.get(usize::from(worker_state)).cloned().unwrap_or_default()
        };
        there
            .map(|w| Endpoint {
                name: w.name.to_string(),
                address: w.address,
                zone: word(&self.zones, w.zone),
                kind: word(&self.kinds, w.kind),
                cell: w.cell,
                health: w.health,
                started: w.start_time.at(),
                weight: w.weight,
            })
            .collect()
    }

    /// The index of an executor: its own, or one that means nobody.
    fn worker_index(&mut self, e: &Endpoint) -> Worker {
        if let Some(worker) = self.workers_by_name.get(e.name.as_str()) {
            return *worker;
        }
        let (name, failure_signs) = (Arc::<str>::from(e.name.as_str()), FailureSigns::default());
        let worker_state = WorkerState {
            name: Arc::clone(&name),
            address: e.address,
            health: e.health,
            kind: u16::MAX,
            zone: u16::MAX,
            cell: e.cell,
            weight: e.weight,
            start_time: start_times::StartTime::default(),
            idle_connections: Vec::new(),
            open_connections: 0,
            known_executions: 0,
            is_departed: false,
            failure_signs,
            last_observation: None,
        };
        let worker = if let Some(worker) = self.free_workers.pop() {
            self.workers[worker as usize] = worker_state;
            worker
        } else {
            self.workers.push(worker_state);
            self.workers.len() as Worker - 1
        };
        self.workers_by_name.insert(name, worker);
        worker
    }

    /// Forgets those that left first, where more have left than are there. What is known of one that comes
    /// back soon is worth keeping; of all that ever were it would fill the memory. An index that something of
    /// the old one is still out under is never given to another: its end would be booked to the wrong one.
    fn retire_workers(&mut self) {
        for _ in 0..self.departed.len() {
            let Some(worker) = self.departed.pop_front() else { break };
            let crowded = self.departed.len() >= self.present_workers + MAX_EXTRA_DEPARTED;
            let worker_state = &mut self.workers[worker as usize];
            if worker_state.health != Health::Gone {
                worker_state.is_departed = false;
            } else if crowded && worker_state.open_connections == 0 && worker_state.known_executions == 0 {
                worker_state.is_departed = false;
                let name = Arc::clone(&worker_state.name);
                self.workers_by_name.remove(&name);
                self.free_workers.push(worker);
                self.dispatch_event(Event::Retired { worker });
            } else {
                self.departed.push_back(worker);
            }
        }
    }
}

/// The worker_state of a name among those known; a new one is added while there is room.
fn name_index(names: &mut Vec<String>, name: &str) -> u16 {
    let known = names.iter().position(|n| n == name).or_else(|| {
        (names.len() < MAX_NAMES).then(|| {
            names.push(name.to_owned());
            names.len() - 1
        })
    });
    // One too many is like no other: accepted for a known one, it would be open to products that are not for it.
    known.and_then(|worker_state| u16::try_from(worker_state).ok()).unwrap_or(u16::MAX)
}
