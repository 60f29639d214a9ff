//! A deterministic simulation of whole nodes in simulated time. The nodes run the production reducer and
//! dispatch decisions, unmodified; clients, executors, discovery, the network and faults are modelled. A
//! judge checks the invariants without relying on what nodes report about themselves.
//!
//! [`run`] simulates a [`Scenario`] and returns its [`Outcome`]. The same seed gives the same outcome, byte
//! for byte: nothing depends on a clock, on threads or on the order of a hash table. There is no I/O.

#![warn(missing_docs)]

mod cold;
mod executor;
pub mod executor_model;
mod judge;
mod outcome;
mod scenario;
pub mod tampered;
mod world;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use linestack_core::{Core, Effect, Input, Nanos, Stats, StoredOutcomes};
use linestack_dispatch::types::{Decide, Worker};
use linestack_recovery::start::StagedStart;
use linestack_settings::Settings;

pub use judge::{Breach, Rule};
pub use outcome::{Outcome, Recovery};
pub use scenario::*;
pub use world::run;

/// A node without its sockets: it takes inputs and returns effects.
pub trait SimulatedNode {
    /// Handles one input, and appends the resulting effects to `effects`.
    fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>);
    /// Returns the time at which the node next needs an [`Input::Tick`].
    fn next_due(&self) -> Nanos;
    /// Returns whether the node accepts clients, as its health check reports it.
    fn ready(&self, now: Nanos) -> bool;
    /// Returns whether the node currently accepts no further client connections.
    fn is_at_client_limit(&self) -> bool;
    /// Returns the counters of the node.
    fn stats(&self) -> Stats;
    /// Returns the address of the executor that the node knows under this index.
    fn address(&self, worker: Worker) -> Option<SocketAddr>;
}

impl SimulatedNode for Core {
    fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        Self::handle(self, now, input, effects);
    }

    fn next_due(&self) -> Nanos {
        Self::next_due(self)
    }

    fn ready(&self, now: Nanos) -> bool {
        Self::ready(self, now)
    }

    fn is_at_client_limit(&self) -> bool {
        Self::is_at_client_limit(self)
    }

    fn stats(&self) -> Stats {
        Self::stats(self)
    }

    fn address(&self, worker: Worker) -> Option<SocketAddr> {
        Self::address(self, worker)
    }
}

/// The true state of one executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorTruth {
    /// Whether it accepts jobs and does work.
    pub available: bool,
    /// The slots that neither running nor waiting jobs need.
    pub free_slots: f64,
    /// The seconds of work that it can currently do per second.
    pub capacity: f64,
}

/// The true state of all executors, for reference policies that may see it.
#[derive(Debug, Default)]
pub struct GroundTruth {
    /// The state of each executor, by its index.
    pub executors: Vec<ExecutorTruth>,
    /// By node and worker index: the index of the executor.
    pub executor_of_worker: Vec<Vec<Option<usize>>>,
}

/// The parameters with which a node is started.
pub struct NodeSetup {
    /// The index of the node.
    pub node: usize,
    /// The settings of the fleet, for the zone of the node.
    pub settings: Settings,
    /// The maximum number of connections.
    pub max_connections: usize,
    /// The memory limit.
    pub memory_limit_bytes: usize,
    /// The true state of all executors, for reference policies that may see it.
    pub ground_truth: Arc<Mutex<GroundTruth>>,
    /// The current time.
    pub now: Nanos,
    /// The staged start, if the node starts in stages.
    pub staged_start: Option<StagedStart>,
    /// The outcomes that earlier processes of the node stored, if it has a store.
    pub stored_outcomes: Option<StoredOutcomes>,
}

impl NodeSetup {
    /// Builds a whole node that uses another dispatch policy.
    #[must_use]
    pub fn build_with(self, decisions: Box<dyn Decide + Send>) -> Box<dyn SimulatedNode> {
        let core =
            Core::with_dispatcher(decisions, self.settings, self.max_connections, self.memory_limit_bytes);
        Box::new(configure_start(core, self.now, self.staged_start, self.stored_outcomes))
    }
}

/// Applies the staged start and the stored outcomes to a new node.
fn configure_start(
    mut core: Core,
    now: Nanos,
    staged_start: Option<StagedStart>,
    stored_outcomes: Option<StoredOutcomes>,
) -> Core {
    if let Some(start) = staged_start {
        core.start_in_stages(now, start, Vec::new());
    }
    if let Some(outcomes) = stored_outcomes {
        core.enable_outcome_store(outcomes);
    }
    core
}

/// Builds a node as it runs in production.
#[must_use]
pub fn production_node(setup: NodeSetup) -> Box<dyn SimulatedNode> {
    let core = Core::new(setup.settings, setup.max_connections, setup.memory_limit_bytes);
    Box::new(configure_start(core, setup.now, setup.staged_start, setup.stored_outcomes))
}
