//! A world of whole nodes in simulated time: the real reducer and the real decisions, unmodified, among
//! modelled clients, executors, discovery and network, with faults, and a judge that trusts no node.
//!
//! [`run`] plays a [`Scenario`] and returns what came of it. One seed, one outcome, to the byte: no clock,
//! no thread, no order of a hash table has a part in it. No I/O.

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

/// A node without its sockets.
pub trait SimulatedNode {
    /// Takes one input, and adds what the node asks for to `effects`.
    fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>);
    /// When it wants [`Input::Tick`] next.
    fn next_due(&self) -> Nanos;
    /// Whether clients should come.
    fn ready(&self, now: Nanos) -> bool;
    /// Whether it accepts no connection of a client for now.
    fn is_at_client_limit(&self) -> bool;
    /// What it counts of itself.
    fn stats(&self) -> Stats;
    /// The address of an executor that it knows by this index.
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

/// The true state of all executors, for policies that may see it.
#[derive(Debug, Default)]
pub struct GroundTruth {
    /// By executor: whether it serves, its free slots less those that wait, and its capacity now.
    pub executors: Vec<(bool, f64, f64)>,
    /// By node and worker: the executor.
    pub executor_of_worker: Vec<Vec<Option<usize>>>,
}

/// What a node is started with.
pub struct NodeSetup {
    /// Its index.
    pub node: usize,
    /// The settings of the fleet, for its zone.
    pub settings: Settings,
    /// The most connections that it may have.
    pub sockets: usize,
    /// The most that it may hold, in bytes.
    pub memory: usize,
    /// The true state of all executors, for policies that may see it.
    pub truth: Arc<Mutex<GroundTruth>>,
    /// The time of the start.
    pub now: Nanos,
    /// What a start in stages keeps to.
    pub start: Option<StagedStart>,
    /// What the disk has of earlier incarnations.
    pub remembered: Option<StoredOutcomes>,
}

impl NodeSetup {
    /// A whole node that decides by another policy.
    #[must_use]
    pub fn build_with(self, decisions: Box<dyn Decide + Send>) -> Box<dyn SimulatedNode> {
        let core = Core::with_dispatcher(decisions, self.settings, self.sockets, self.memory);
        Box::new(started(core, self.now, self.start, self.remembered))
    }
}

/// Gives a new node what it starts with.
fn started(
    mut core: Core,
    now: Nanos,
    start: Option<StagedStart>,
    remembered: Option<StoredOutcomes>,
) -> Core {
    if let Some(start) = start {
        core.start_in_stages(now, start, Vec::new());
    }
    if let Some(remembered) = remembered {
        core.enable_outcome_store(remembered);
    }
    core
}

/// A whole node as it is served.
#[must_use]
pub fn production_node(seat: NodeSetup) -> Box<dyn SimulatedNode> {
    let core = Core::new(seat.settings, seat.sockets, seat.memory);
    Box::new(started(core, seat.now, seat.start, seat.remembered))
}
