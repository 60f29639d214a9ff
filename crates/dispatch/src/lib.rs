//! Decides, for one linestack node, where each submission is executed and how it ends.
//!
//! [`types`] is the interface, [`decide`] the decisions.

mod books;
pub mod decide;
pub mod types;

impl types::Decide for decide::Dispatcher {
    fn decide(&mut self, now: types::Nanos, event: types::Event<'_>) -> &[types::Order] {
        Self::decide(self, now, event)
    }
}
