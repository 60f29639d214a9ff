//! Decides, for one linestack node, where each submission is executed and how it ends.
//!
//! [`types`] is the interface, [`decide`] the decisions.

pub mod decide;
mod reconfigure;
pub mod types;
mod worker_stats;

impl types::Decide for decide::Dispatcher {
    fn decide(&mut self, now: types::Nanos, event: types::Event<'_>) -> &[types::Order] {
        Self::decide(self, now, event)
    }

    fn go_on_under(&mut self, terms: types::StandingOrders) {
        Self::go_on_under(self, terms);
    }
}
