//! The list of executors from discovery, and the indices by which the dispatcher knows executors.

use super::*;

impl Core {
    /// Handles a list call that failed or a watch that ended, and schedules the next call.
    ///
    /// The reducer schedules the call itself, whatever the dispatcher asks for later: by the dispatcher's rule the next call
    /// would be delayed by the whole time within which changes must become known.
    pub(crate) fn list_failed(&mut self, silent_for: Nanos, overloaded: bool) {
        self.failed_list_calls += 1;
        // Leaves a range of random delays above the shortest, however long discovery was silent.
        let latest = MAX_LIST_CALL_DELAY.saturating_sub(silent_for).max(2 * MIN_LIST_CALL_DELAY);
        let delay = if !self.list_on_request {
            MIN_WATCH_RETRY_DELAY + self.rng.u64(..MIN_WATCH_RETRY_DELAY)
        } else if overloaded && silent_for >= LONG_CALL_WAIT {
            MIN_OVERLOADED_CALL_DELAY + self.rng.u64(..MAX_LIST_CALL_DELAY)
        } else if self.failed_list_calls == 1 {
            self.rng.u64(MIN_LIST_CALL_DELAY..latest)
        } else {
            latest
        };
        self.schedule_list_call(self.now + delay);
        self.list_received(ListKind::Failed, Vec::new());
    }

    /// Schedules the next list call, in place of any that is scheduled.
    pub(crate) fn schedule_list_call(&mut self, at: Nanos) {
        self.next_list_call = Some(at);
        self.set_timer(at, Timer::ListCall);
    }

    /// Applies a list, or the changes to it, and passes it to the dispatcher.
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
            self.inform_start_of_list(kind, ready);
        }
        if matches!(kind, ListKind::Whole | ListKind::Cached) {
            self.workers.iter_mut().for_each(|w| w.health = Health::Gone);
        }
        let mut entries = Vec::with_capacity(endpoints.len());
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
            entries.push(WorkerEntry { worker, health, kind, zone, cell, started, weight });
        }
        // An executor that a whole list lacks has left. The idle connections of all that have left are closed.
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
        self.dispatch_event(Event::ListReceived { kind, entries: &entries });
        self.process_events();
        self.retire_workers();
    }

    /// All executors that are not gone, with their latest entries in the list.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let present = self
            .workers
            .iter()
            .filter(|w| w.health != Health::Gone && self.workers_by_name.contains_key(&w.name));
        let name = |names: &[String], index: u16| names.get(usize::from(index)).cloned().unwrap_or_default();
        present
            .map(|w| Endpoint {
                name: w.name.to_string(),
                address: w.address,
                zone: name(&self.zones, w.zone),
                kind: name(&self.kinds, w.kind),
                cell: w.cell,
                health: w.health,
                started: w.start_time.at(),
                weight: w.weight,
            })
            .collect()
    }

    /// The index of an executor: the one that it has, or a free one.
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

    /// Forgets those executors that left earliest, if many more have left than are present.
    ///
    /// What is known of an executor is worth keeping in case it is listed again soon, but remembering all that ever existed
    /// would fill the memory. An index with open connections or executions is not given to another executor, since their ends
    /// would be attributed to the wrong one.
    fn retire_workers(&mut self) {
        for _ in 0..self.departed.len() {
            let Some(worker) = self.departed.pop_front() else { break };
            let too_many = self.departed.len() >= self.present_workers + MAX_EXTRA_DEPARTED;
            let worker_state = &mut self.workers[worker as usize];
            if worker_state.health != Health::Gone {
                worker_state.is_departed = false;
            } else if too_many && worker_state.open_connections == 0 && worker_state.known_executions == 0 {
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

/// The index of a name among those known; a new name is added while there is room for it.
fn name_index(names: &mut Vec<String>, name: &str) -> u16 {
    let known = names.iter().position(|n| n == name).or_else(|| {
        (names.len() < MAX_NAMES).then(|| {
            names.push(name.to_owned());
            names.len() - 1
        })
    });
    // A name for which there is no room gets an index that no known name has. With the index of a known name, the executor
    // would be open to products that may not run there.
    known.and_then(|index| u16::try_from(index).ok()).unwrap_or(u16::MAX)
}
