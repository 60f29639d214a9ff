//! What happens in a run, as a file.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::settings::RunSettings;

/// A run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// Of all chance that is not in the plan: classes, times between requests, what fails.
    pub seed: u64,
    /// Processes of the program.
    pub nodes: usize,
    /// Stand-in executors at the start.
    pub executors: usize,
    /// Clients that behave.
    pub clients: usize,
    /// Clients that don't.
    pub bad_clients: usize,
    /// Requests a second of all clients that behave.
    pub rate: f64,
    /// For how long troubles may happen, in milliseconds.
    pub span_ms: u64,
    /// For how long nothing happens afterwards, and all has to be served.
    pub calm_ms: u64,
    /// What nodes are configured with.
    #[serde(rename = "terms")]
    pub settings: RunSettings,
    /// What fails in the processes that are there at the start, by node; see the shim's plans.
    #[serde(default)]
    pub shims: Vec<Shim>,
    /// What happens, in any order.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// What fails in the first process of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Shim {
    /// Of which node.
    pub node: usize,
    /// A plan of the preloaded library.
    pub plan: String,
}

/// How an executor misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutorFault {
    /// Answers nothing.
    Hangs,
    /// Turns work away unbegun.
    Declines,
    /// Fails what it began.
    Fails,
    /// Resets connections under requests that have begun.
    Resets,
    /// Answers what is no answer, or half of one.
    Garbles,
    /// Answers a second time, some milliseconds later.
    Repeats,
    /// Closes connections that rest, or resets them.
    Forgets,
    /// Answers in small pieces.
    Drips,
}

/// Signals that a node gets one after the other, so long apart as the trouble says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SignalSequence {
    /// SIGHUP twice, then SIGTERM.
    ReloadReloadStop,
    /// SIGTERM while a configuration is read.
    ReloadStop,
    /// SIGTERM, and SIGHUP soon after the next process has started.
    StopReloadAtStart,
    /// SIGSTOP, SIGTERM, SIGCONT.
    PauseStopResume,
}

#[allow(missing_docs, reason = "the fields are told with what they are of")]
/// Something that happens to a run; times are milliseconds since its clients began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A node is told to end, and started again.
    StopNode { at_ms: u64, node: usize, back_after_ms: u64, shim: String },
    /// A node is killed outright, and started again.
    KillNode { at_ms: u64, node: usize, back_after_ms: u64, shim: String },
    /// A node stands still.
    PauseNode { at_ms: u64, node: usize, for_ms: u64 },
    /// Nodes read a configuration that names the other discovery; a second time soon after, where it says so, and before
    /// that one that makes no sense.
    Reload { at_ms: u64, nodes: Vec<usize>, twice: bool, bad_first: bool },
    /// An executor drains, and leaves some time later.
    Drain { at_ms: u64, executor: usize, left_after_ms: u64 },
    /// An executor leaves, and one at another address takes its place at once, under its name or a new one.
    Replace { at_ms: u64, executor: usize, same_name: bool },
    /// An executor's process ends and begins anew at its address.
    Restart { at_ms: u64, executor: usize, down_ms: u64 },
    /// An executor misbehaves for some requests.
    Ail { at_ms: u64, executor: usize, for_ms: u64, how: ExecutorFault, rate: f64 },
    /// Discovery resets all calls and watches.
    DiscoveryDown { at_ms: u64, for_ms: u64 },
    /// All watches that are open fall silent for good.
    WatchesMute { at_ms: u64 },
    /// All watches that are open are reset.
    WatchesReset { at_ms: u64 },
    /// Calls are answered late.
    DiscoverySlow { at_ms: u64, for_ms: u64, each_ms: u64 },
    /// Connections that say nothing come to a node.
    IdleFlood { at_ms: u64, node: usize, connections: usize, for_ms: u64 },
    /// A node gets several signals, ends, and is started again.
    Signals { at_ms: u64, node: usize, series: SignalSequence, after_ms: u64, back_after_ms: u64 },
    /// Connections fill a node's descriptors: half requests of clients that asked before, answers read to the half, and
    /// clients at rest.
    Crowd { at_ms: u64, node: usize, half: usize, unread: usize, idle: usize, for_ms: u64 },
}

impl Fault {
    /// When it begins.
    #[must_use]
    pub fn at_ms(&self) -> u64 {
        match self {
            Self::StopNode { at_ms, .. }
            | Self::KillNode { at_ms, .. }
            | Self::PauseNode { at_ms, .. }
            | Self::Reload { at_ms, .. }
            | Self::Drain { at_ms, .. }
            | Self::Replace { at_ms, .. }
            | Self::Restart { at_ms, .. }
            | Self::Ail { at_ms, .. }
            | Self::DiscoveryDown { at_ms, .. }
            | Self::WatchesMute { at_ms }
            | Self::WatchesReset { at_ms }
            | Self::DiscoverySlow { at_ms, .. }
            | Self::IdleFlood { at_ms, .. }
            | Self::Signals { at_ms, .. }
            | Self::Crowd { at_ms, .. } => *at_ms,
        }
    }
}

/// Why a plan can't be played.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It is not understood.
    #[error("the plan is not understood: {0}")]
    Form(#[from] toml::de::Error),
    /// It can't be written.
    #[error("the plan can't be written: {0}")]
    Write(#[from] toml::ser::Error),
    /// A key names what is not there, or too much.
    #[error("{key}: {why}")]
    Key {
        /// Which.
        key: &'static str,
        /// What is wrong with it.
        why: String,
    },
}

/// Nodes, executors and clients of a run, at most, each. A machine bears far fewer nodes.
const MOST: usize = 1_024;

impl Plan {
    /// Reads a plan from its file's text.
    ///
    /// # Errors
    ///
    /// The key that is not understood.
    pub fn read(text: &str) -> Result<Self, PlanError> {
        let plan: Self = toml::from_str(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// The text of its file.
    ///
    /// # Errors
    ///
    /// A value has no form in TOML.
    pub fn write(&self) -> Result<String, PlanError> {
        Ok(toml::to_string(self)?)
    }

    fn check(&self) -> Result<(), PlanError> {
        let within = |key: &'static str, value: usize, most: usize| {
            let why = format!("{value} is not from 1 to {most}");
            if (1..=most).contains(&value) { Ok(()) } else { Err(PlanError::Key { key, why }) }
        };
        within("nodes", self.nodes, MOST)?;
        within("executors", self.executors, MOST)?;
        within("clients", self.clients, MOST)?;
        within("bad-clients", self.bad_clients + 1, MOST + 1)?;
        for fault in &self.faults {
            let (nodes, executor) = match fault {
                Fault::StopNode { node, .. }
                | Fault::KillNode { node, .. }
                | Fault::PauseNode { node, .. }
                | Fault::IdleFlood { node, .. }
                | Fault::Signals { node, .. }
                | Fault::Crowd { node, .. } => (vec![*node], None),
                Fault::Reload { nodes, .. } => (nodes.clone(), None),
                Fault::Drain { executor, .. }
                | Fault::Replace { executor, .. }
                | Fault::Restart { executor, .. }
                | Fault::Ail { executor, .. } => (Vec::new(), Some(*executor)),
                _ => (Vec::new(), None),
            };
            if let Some(node) = nodes.into_iter().find(|node| *node >= self.nodes) {
                return Err(PlanError::Key { key: "troubles.node", why: format!("there is no node {node}") });
            }
            if let Some(executor) = executor.filter(|executor| *executor >= self.executors) {
                let why = format!("there is no executor {executor}");
                return Err(PlanError::Key { key: "troubles.executor", why });
            }
        }
        Ok(())
    }
}
