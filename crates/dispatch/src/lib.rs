//! Decides, for one linestack node, where each submission is executed and how it ends.
//!
//! [`types`] is the interface, [`decide`] the decisions.

mod books;
pub mod decide;
pub mod types;
