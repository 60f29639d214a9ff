//! Decides, for one linestack node, to which worker each submission is sent and how it ends.
//!
//! [`types`] is the interface, [`decide`] holds the decisions.

pub mod decide;
mod reconfigure;
mod startup_budget;
pub mod types;
mod worker_stats;

impl types::Decide for decide::Dispatcher {
    fn decide(&mut self, now: types::Nanos, event: types::Event<'_>) -> &[types::Action] {
        Self::decide(self, now, event)
    }

    fn reconfigure(&mut self, config: types::DispatchConfig) {
        Self::reconfigure(self, config);
    }
}
