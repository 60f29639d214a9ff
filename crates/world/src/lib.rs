//! A world of whole nodes in simulated time: the real reducer and the real decisions, unmodified, among
//! modelled clients, executors, discovery and network, with faults, and a judge that trusts no node.
//!
//! [`run`] plays a [`Scenario`] and returns what came of it. One seed, one outcome, to the byte: no clock,
//! no thread, no order of a hash table has a part in it. No I/O.

pub mod broken;
mod executor;
mod judge;
mod outcome;
mod scenario;
pub mod standin;
mod world;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use linestack_core::{Core, Effect, Input, Nanos, Remembered, Stats};
use linestack_dispatch::types::{Decide, Worker};
use linestack_recovery::start::Start;
use linestack_settings::Settings;

pub use judge::{Breach, Rule};
pub use outcome::{Outcome, Recovery};
pub use scenario::*;
pub use world::run;

/// A node without its sockets.
pub trait Machine {
    fn take(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>);
    fn next_due(&self) -> Nanos;
    fn ready(&self, now: Nanos) -> bool;
    fn crowded(&self) -> bool;
    fn stats(&self) -> Stats;
    fn address(&self, worker: Worker) -> Option<SocketAddr>;
}

impl Machine for Core {
    fn take(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        Self::take(self, now, input, effects);
    }

    fn next_due(&self) -> Nanos {
        Self::next_due(self)
    }

    fn ready(&self, now: Nanos) -> bool {
        Self::ready(self, now)
    }

    fn crowded(&self) -> bool {
        Self::crowded(self)
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
pub struct Truth {
    /// By executor: whether it serves, its free slots less those that wait, and its capacity now.
    pub executors: Vec<(bool, f64, f64)>,
    /// By node and worker: the executor.
    pub places: Vec<Vec<Option<usize>>>,
}

/// Where a node stands, and what it is started with.
pub struct Seat {
    pub node: usize,
    pub settings: Settings,
    pub sockets: usize,
    pub memory: usize,
    pub truth: Arc<Mutex<Truth>>,
    pub now: Nanos,
    /// What a start in stages keeps to, and what the disk has of earlier lives.
    pub start: Option<Start>,
    pub remembered: Option<Remembered>,
}

impl Seat {
    /// A whole node, with decisions of another's making.
    #[must_use]
    pub fn with(self, decisions: Box<dyn Decide + Send>) -> Box<dyn Machine> {
        let core = Core::with(decisions, self.settings, self.sockets, self.memory);
        Box::new(begun(core, self.now, self.start, self.remembered))
    }
}

fn begun(mut core: Core, now: Nanos, start: Option<Start>, remembered: Option<Remembered>) -> Core {
    if let Some(start) = start {
        core.start_by(now, start, Vec::new());
    }
    if let Some(remembered) = remembered {
        core.remember(remembered);
    }
    core
}

/// A whole node as it is served.
#[must_use]
pub fn linestack(seat: Seat) -> Box<dyn Machine> {
    let core = Core::new(seat.settings, seat.sockets, seat.memory);
    Box::new(begun(core, seat.now, seat.start, seat.remembered))
}
