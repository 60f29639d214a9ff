//! Reads the histories that processes write, during a run and after it.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use linestack_history::{HistoryEvent, Line, read};

use super::Rig;
use crate::process::PROCESS_TIMEOUT;

/// The interval at which histories are checked for whether the fleet has settled.
const SETTLED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The stage of a node whose start is complete.
const FULL_STAGE: &str = "full";

/// The state of nodes according to the histories: the active version and the stage of the start, by node.
#[derive(Default)]
struct NodeStates {
    active: HashMap<String, u64>,
    stages: HashMap<String, String>,
}

impl NodeStates {
    fn of(lines: Vec<Line>) -> Self {
        let mut states = Self::default();
        for line in lines {
            match line.what {
                HistoryEvent::Active { version, .. } => drop(states.active.insert(line.by, version)),
                HistoryEvent::Stage { stage } => drop(states.stages.insert(line.by, stage)),
                HistoryEvent::Started => drop(states.stages.remove(&line.by)),
                _ => {}
            }
        }
        states
    }
}

impl Rig<'_> {
    /// Returns all recorded lines, merged by time. Adds a fault for each history that cannot be read.
    pub(super) fn collect_history(&self, received: &Receiver<Line>, faults: &mut Vec<String>) -> Vec<Line> {
        let mut lines: Vec<Line> = received.try_iter().collect();
        for process in self.processes.values() {
            let Ok(file) = fs::File::open(process.folder.join("history")) else { continue };
            match read(&mut io::BufReader::new(file)) {
                Ok(more) => lines.extend(more),
                Err(error) => faults.push(format!("history of {}: {error}", process.name)),
            }
        }
        lines.sort_by_key(|line| line.at);
        lines
    }

    /// Returns the lines written so far by processes whose names begin with `prefix`.
    fn history_lines(&self, prefix: &str) -> Vec<Line> {
        let matching = self.processes.iter().filter(|(name, _)| name.starts_with(prefix));
        let files = matching.filter_map(|(_, p)| fs::File::open(p.folder.join("history")).ok());
        files.flat_map(|file| read(&mut io::BufReader::new(file)).unwrap_or_default()).collect()
    }

    /// Returns the coordinator that became leader last according to the histories, or `c0` if none did.
    pub(super) fn leader(&self) -> String {
        let mut newest_round = 0;
        let mut leader = "c0".to_owned();
        for line in self.history_lines("c") {
            if let HistoryEvent::Established { round } = line.what
                && round >= newest_round
            {
                (newest_round, leader) = (round, line.by);
            }
        }
        leader
    }

    /// Waits, after all faults have ended, until all running nodes are in full service under the last decided version.
    /// Returns a description of each node that does not get there in time.
    pub(super) fn wait_until_settled(&self) -> Vec<String> {
        let begin = Instant::now();
        loop {
            let unsettled = self.unsettled_nodes();
            if unsettled.is_empty() || begin.elapsed() > PROCESS_TIMEOUT {
                return unsettled;
            }
            std::thread::sleep(SETTLED_POLL_INTERVAL);
        }
    }

    fn unsettled_nodes(&self) -> Vec<String> {
        let decided = self.last_decided();
        let states = NodeStates::of(self.history_lines("n"));
        let running =
            self.processes.iter().filter(|(n, p)| n.starts_with('n') && p.is_running() && !p.paused);
        running.filter_map(|(name, _)| self.unsettled_reason(name, &states, decided)).collect()
    }

    /// Returns the last version that the coordinators decided, or 0.
    fn last_decided(&self) -> u64 {
        let version = |line: &Line| match line.what {
            HistoryEvent::Decided { version, .. } => Some(version),
            _ => None,
        };
        self.history_lines("c").iter().filter_map(version).max().unwrap_or(0)
    }

    /// Returns a description of a node that is not in full service under the last decided version.
    fn unsettled_reason(&self, name: &str, states: &NodeStates, decided: u64) -> Option<String> {
        let (active, stage) = (states.active.get(name), states.stages.get(name));
        let full = !self.plan.starts.on || stage.is_some_and(|stage| stage == FULL_STAGE);
        if active == Some(&decided) && full && self.is_healthy(name) {
            return None;
        }
        let healthy = self.is_healthy(name);
        Some(format!(
            "{name} applies version {active:?}, decided is {decided}; stage {stage:?}, healthy: {healthy}"
        ))
    }
}
