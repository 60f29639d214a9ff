//! What this node tells one that starts, and what it takes from others when it starts itself.

use linestack_peers::{ExecutorObservation, LoadFigures, LocalKnowledge, Observation};

use super::*;

impl Core {
    /// What was seen here of each executor that is ready, and how long ago.
    #[must_use]
    pub fn peer_snapshot(&self, now: Nanos) -> Vec<ExecutorObservation> {
        let ready = self.workers.iter().filter(|w| w.health == Health::Ready);
        let items = ready.filter_map(|w| {
            let (at, answered, report) = w.said?;
            let figures = report.map(|r| LoadFigures {
                free_slots: r.free_slots,
                free_memory: r.free_memory,
                queued_jobs: r.queued_jobs,
                active_jobs: r.active_jobs,
            });
            let age_ms = now.saturating_sub(at) / 1_000_000;
            Some(ExecutorObservation { name: w.name.to_string(), age_ms, unresponsive: !answered, figures })
        });
        items.collect()
    }

    /// What is known here of an executor with this name, and how many are ready.
    #[must_use]
    pub fn local_knowledge(&self, name: &str) -> LocalKnowledge {
        let place = self.names.get(name).and_then(|w| self.workers.get(*w as usize));
        place.map_or(LocalKnowledge::default(), |w| LocalKnowledge {
            ready: w.health == Health::Ready,
            seen: w.said.map(|(at, ..)| at),
        })
    }

    #[must_use]
    pub fn ready_workers(&self) -> usize {
        self.workers.iter().filter(|w| w.health == Health::Ready).count()
    }

    /// Each enters as a probe's answer would; that another was answered proves nothing of whether this one would be.
    pub(crate) fn heard(&mut self, items: Vec<Observation>) {
        for Observation { name, unresponsive, figures } in items {
            let Some(worker) = self.names.get(name.as_str()).copied() else { continue };
            if self.workers[worker as usize].health != Health::Ready {
                continue;
            }
            let report = figures.map(|f| Report {
                free_slots: f.free_slots,
                free_memory: f.free_memory,
                queued_jobs: f.queued_jobs,
                active_jobs: f.active_jobs,
            });
            let answered = unresponsive.then_some(false);
            self.pending.push_back(Event::Probed { worker, answered, report });
        }
    }
}
