//! Reads the histories that processes write, during a run and after it.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use linestack_history::{HistoryEvent, Line, read};

use super::Rig;
use crate::process::PATIENCE;

/// How often histories are looked at for whether the fleet has settled.
const SETTLED_POLL: Duration = Duration::from_millis(20);

/// The stage of a start that is over.
const FULL_SERVICE: &str = "full";

/// What the histories say of nodes: which version they go by, and which stage of a start they are in.
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
    /// Everything that was written down, merged by time. Histories that can't be read are faults.
    pub(super) fn collect(&self, received: &Receiver<Line>, faults: &mut Vec<String>) -> Vec<Line> {
        let mut lines: Vec<Line> = received.try_iter().collect();
        for process in self.processes.values() {
            let Ok(file) = fs::File::open(process.folder.join("history")) else { continue };
            match read(&mut io::BufReader::new(file)) {
                Ok(more) => lines.extend(more),
                Err(why) => faults.push(format!("history of {}: {why}", process.name)),
            }
        }
        lines.sort_by_key(|line| line.at);
        lines
    }

    /// What is written so far by processes whose names begin so.
    fn histories(&self, start: &str) -> Vec<Line> {
        let named = self.processes.iter().filter(|(name, _)| name.starts_with(start));
        let files = named.filter_map(|(_, p)| fs::File::open(p.folder.join("history")).ok());
        files.flat_map(|file| read(&mut io::BufReader::new(file)).unwrap_or_default()).collect()
    }

    /// The coordinator that was established last, by the histories; the first, where none was.
    pub(super) fn speaker(&self) -> String {
        let mut newest = (0, "c0".to_owned());
        for line in self.histories("c") {
            if let HistoryEvent::Established { round } = line.what
                && round >= newest.0
            {
                newest = (round, line.by);
            }
        }
        newest.1
    }

    /// Waits, now that faults are over, until all nodes that run serve in full by the version that was decided
    /// last. Returns what keeps those from it that never do.
    pub(super) fn wait_until_settled(&self) -> Vec<String> {
        let begin = Instant::now();
        loop {
            let unsettled = self.unsettled_nodes();
            if unsettled.is_empty() || begin.elapsed() > PATIENCE {
                return unsettled;
            }
            std::thread::sleep(SETTLED_POLL);
        }
    }

    fn unsettled_nodes(&self) -> Vec<String> {
        let decided = self.last_decided();
        let states = NodeStates::of(self.histories("n"));
        let running = self.processes.iter().filter(|(n, p)| n.starts_with('n') && p.running() && !p.paused);
        running.filter_map(|(name, _)| self.why_unsettled(name, &states, decided)).collect()
    }

    /// The last version that the coordinators decided; 0 for none.
    fn last_decided(&self) -> u64 {
        let version = |line: &Line| match line.what {
            HistoryEvent::Decided { version, .. } => Some(version),
            _ => None,
        };
        self.histories("c").iter().filter_map(version).max().unwrap_or(0)
    }

    /// What keeps a node from full service by the version that was decided last, if anything does.
    fn why_unsettled(&self, name: &str, states: &NodeStates, decided: u64) -> Option<String> {
        let (active, stage) = (states.active.get(name), states.stages.get(name));
        let full = !self.plan.starts.on || stage.is_some_and(|stage| stage == FULL_SERVICE);
        if active == Some(&decided) && full && self.is_healthy(name) {
            return None;
        }
        let healthy = self.is_healthy(name);
        Some(format!("{name} goes by {active:?} of {decided}, at stage {stage:?}, healthy: {healthy}"))
    }
}
