//! The plan of a run: its size, settings and faults, stored as a TOML file.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::settings::RunSettings;

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// The seed of all randomness that is not in the plan: classes, times between requests, failing requests.
    pub seed: u64,
    /// The number of nodes, each a process of the program.
    pub nodes: usize,
    /// The number of simulated executors at the start.
    pub executors: usize,
    /// The number of well-behaved clients.
    pub clients: usize,
    /// The number of misbehaving clients.
    pub bad_clients: usize,
    /// Requests per second of all well-behaved clients together.
    pub rate: f64,
    /// How long faults may occur, in milliseconds.
    pub span_ms: u64,
    /// The length of the period without faults that follows, in which requests must be served, in milliseconds.
    pub calm_ms: u64,
    /// The settings of the nodes.
    #[serde(rename = "terms")]
    pub settings: RunSettings,
    /// The shim plans of the processes that run at the start, by node.
    #[serde(default)]
    pub shims: Vec<Shim>,
    /// The faults, in any order.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// The system calls that fail in the first process of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Shim {
    /// The index of the node.
    pub node: usize,
    /// A plan in the language of the preloaded shim library.
    pub plan: String,
}

/// How an executor misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutorFault {
    /// Sends no answers.
    Hangs,
    /// Declines work without beginning it.
    Declines,
    /// Begins work and reports that it failed.
    Fails,
    /// Resets connections on which a request has begun.
    Resets,
    /// Sends bytes that are no valid answer, or half of one.
    Garbles,
    /// Sends each answer a second time, some milliseconds later.
    Repeats,
    /// Closes or resets idle connections early.
    Forgets,
    /// Sends answers in small pieces.
    Drips,
}

/// A sequence of signals to a node; the fault sets the time between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SignalSequence {
    /// SIGHUP twice, then SIGTERM.
    ReloadReloadStop,
    /// SIGTERM while the node reads a configuration.
    ReloadStop,
    /// SIGTERM, and SIGHUP soon after the next process has started.
    StopReloadAtStart,
    /// SIGSTOP, SIGTERM, SIGCONT.
    PauseStopResume,
}

#[allow(missing_docs, reason = "the fields are described with their variant")]
/// A fault in a run. Times are in milliseconds; `at_ms` counts from the start of the clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A node gets SIGTERM and is started again.
    StopNode { at_ms: u64, node: usize, back_after_ms: u64, shim: String },
    /// A node gets SIGKILL and is started again.
    KillNode { at_ms: u64, node: usize, back_after_ms: u64, shim: String },
    /// A node is paused by SIGSTOP.
    PauseNode { at_ms: u64, node: usize, for_ms: u64 },
    /// Nodes reload a configuration that names the other discovery server: twice in a row if `twice`, and after an invalid
    /// configuration if `bad_first`.
    Reload { at_ms: u64, nodes: Vec<usize>, twice: bool, bad_first: bool },
    /// An executor drains and leaves some time later.
    Drain { at_ms: u64, executor: usize, left_after_ms: u64 },
    /// An executor leaves and is replaced at once by one at another address, under the same or a new name.
    Replace { at_ms: u64, executor: usize, same_name: bool },
    /// An executor's process ends and restarts at the same address.
    Restart { at_ms: u64, executor: usize, down_ms: u64 },
    /// An executor misbehaves for a share of its requests.
    Ail { at_ms: u64, executor: usize, for_ms: u64, how: ExecutorFault, rate: f64 },
    /// Discovery resets all calls and watches.
    DiscoveryDown { at_ms: u64, for_ms: u64 },
    /// All open watches become permanently silent.
    WatchesMute { at_ms: u64 },
    /// All open watches are reset.
    WatchesReset { at_ms: u64 },
    /// Discovery delays its answers.
    DiscoverySlow { at_ms: u64, for_ms: u64, each_ms: u64 },
    /// Connections that send nothing are opened to a node.
    IdleFlood { at_ms: u64, node: usize, connections: usize, for_ms: u64 },
    /// A node gets a sequence of signals, exits and is started again.
    Signals { at_ms: u64, node: usize, series: SignalSequence, after_ms: u64, back_after_ms: u64 },
    /// Connections use up a node's file descriptors: clients that stop in the middle of a second request, clients that stop
    /// in the middle of reading an answer, and idle clients.
    Crowd { at_ms: u64, node: usize, half: usize, unread: usize, idle: usize, for_ms: u64 },
}

impl Fault {
    /// Returns when the fault begins.
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

/// An error of reading or writing a plan.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The text is no valid plan.
    #[error("the text is not a valid plan: {0}")]
    Form(#[from] toml::de::Error),
    /// The plan can't be written.
    #[error("the plan can't be written: {0}")]
    Write(#[from] toml::ser::Error),
    /// A value is out of range, or refers to a node or executor that does not exist.
    #[error("{key}: {reason}")]
    Key {
        /// The key of the value.
        key: &'static str,
        /// What is wrong with the value.
        reason: String,
    },
}

/// The largest number of nodes, of executors and of clients in a plan. A machine can run far fewer nodes.
const MAX_COUNT: usize = 1_024;

impl Plan {
    /// Parses a plan from the text of its file.
    ///
    /// # Errors
    ///
    /// The text is no valid plan, or a value is out of range.
    pub fn read(text: &str) -> Result<Self, PlanError> {
        let plan: Self = toml::from_str(text)?;
        plan.validate()?;
        Ok(plan)
    }

    /// Returns the plan as the text of its file.
    ///
    /// # Errors
    ///
    /// A value can't be represented in TOML.
    pub fn write(&self) -> Result<String, PlanError> {
        Ok(toml::to_string(self)?)
    }

    fn validate(&self) -> Result<(), PlanError> {
        let check_range = |key: &'static str, value: usize, max: usize| {
            let reason = format!("{value} is not from 1 to {max}");
            if (1..=max).contains(&value) { Ok(()) } else { Err(PlanError::Key { key, reason }) }
        };
        check_range("nodes", self.nodes, MAX_COUNT)?;
        check_range("executors", self.executors, MAX_COUNT)?;
        check_range("clients", self.clients, MAX_COUNT)?;
        check_range("bad-clients", self.bad_clients + 1, MAX_COUNT + 1)?;
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
                return Err(PlanError::Key {
                    key: "troubles.node",
                    reason: format!("there is no node {node}"),
                });
            }
            if let Some(executor) = executor.filter(|executor| *executor >= self.executors) {
                let reason = format!("there is no executor {executor}");
                return Err(PlanError::Key { key: "troubles.executor", reason });
            }
        }
        Ok(())
    }
}
