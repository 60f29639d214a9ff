//! Agreement of a small, odd number of coordinators on one replicated register, and leases to the members of a fleet.
//!
//! The register is Paxos with a stable leader and without a log (Lamport, "Paxos Made Simple", 2001; Rystsov, "CASPaxos",
//! 2018): every write replaces the whole [`State`]. The leader grants members leases (Gray and Cheriton, 1989) to serve
//! under the active policy. A member counts its lease from when it asked, the leader from when it answered.
//!
//! The crate has no sockets, clocks or disks. A caller drives a [`Coordinator`] by these steps:
//!
//! 1. Load the [`Record`] and build a [`Coordinator`] from it and the [`Terms`].
//! 2. Pass each [`Input`] to [`Coordinator::take`] with the present time: messages, requests of clients, and a tick no
//!    later than at [`Coordinator::next_due`].
//! 3. Call [`Step::finish`] with the storage, a [`Keep`]. It persists the record before it returns the actions.
//! 4. Carry out each [`Out`] in order. After an error or [`Out::Halt`] the coordinator must stop.

#![warn(missing_docs)]

mod config;
mod coordinator;
mod message;
mod state;
mod step;

pub use config::{Broken, Check, Terms};
pub use coordinator::Coordinator;
pub use message::{Ask, Grant, Guest, Letter, Peer, Renew, Reply, Request, Standing, Status};
pub use state::{
    Ballot, End, Ended, Id, Incarnation, LARGEST_TEXT, LONGEST_NAME, MOST_MEMBERS, Nanos, Pending, Policy,
    REMEMBERED, Record, State,
};
pub use step::{Input, Keep, Note, Out, Step};
