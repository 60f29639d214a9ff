//! Observations of executors that nodes exchange: a running node reports them to one that starts.

use linestack_peers::{ExecutorObservation, LoadFigures, LocalKnowledge, Observation};

use super::*;

impl Core {
    /// The latest observation of each ready executor, with its age.
    #[must_use]
    pub fn peer_snapshot(&self, now: Nanos) -> Vec<ExecutorObservation> {
        let ready = self.workers.iter().filter(|w| w.health == Health::Ready);
        let observations = ready.filter_map(|w| {
            let LastObservation { at, answered, report } = w.last_observation?;
            let figures = report.map(|r| LoadFigures {
                free_slots: r.free_slots,
                free_memory: r.free_memory,
                queued_jobs: r.queued_jobs,
                active_jobs: r.active_jobs,
            });
            let age_ms = now.saturating_sub(at) / 1_000_000;
            Some(ExecutorObservation { name: w.name.to_string(), age_ms, unresponsive: !answered, figures })
        });
        observations.collect()
    }

    /// What this node knows about the executor with this name.
    #[must_use]
    pub fn local_knowledge(&self, name: &str) -> LocalKnowledge {
        let worker_state = self.workers_by_name.get(name).and_then(|w| self.workers.get(*w as usize));
        worker_state.map_or(LocalKnowledge::default(), |w| LocalKnowledge {
            ready: w.health == Health::Ready,
            last_observed: w.last_observation.map(|last| last.at),
        })
    }

    /// The number of ready executors.
    #[must_use]
    pub fn ready_workers(&self) -> usize {
        self.workers.iter().filter(|w| w.health == Health::Ready).count()
    }

    /// Passes the observations of a peer to the dispatcher, each like the result of a probe.
    ///
    /// That the peer got an answer is not passed on: it does not prove that this node would get one.
    pub(crate) fn peer_observations(&mut self, observations: Vec<Observation>) {
        for Observation { name, unresponsive, figures } in observations {
            let Some(worker) = self.workers_by_name.get(name.as_str()).copied() else { continue };
            if self.workers[worker as usize].health != Health::Ready {
                continue;
            }
            let report = figures.map(|f| Report {
                free_slots: f.free_slots,
                free_memory: f.free_memory,
                queued_jobs: f.queued_jobs,
                active_jobs: f.active_jobs,
            });
            let outcome = if unresponsive { ProbeOutcome::Failed } else { ProbeOutcome::Inconclusive };
            self.pending_events.push_back(Event::Probed { worker, outcome, report });
        }
    }
}
