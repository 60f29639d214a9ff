//! The agreement: a replicated register that a small odd number of coordinators keep, and the leaves to serve
//! that whoever speaks for them gives to members. No sockets, clocks or disks: inputs and the time go in; what
//! must be kept and what is to be sent come out, in this order.
//!
//! The register is single-decree Paxos kept going by one speaker (Lamport, "Paxos Made Simple", 2001; the
//! register without a log is Rystsov's CASPaxos, 2018). Leaves are leases (Gray and Cheriton, 1989): counted by
//! the member from when it asked, by the speaker from when it answered.

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
