//! Consensus among a small, odd number of coordinators on one replicated register, and leases for the members of a fleet.
//!
//! The register is Paxos with a stable leader and without a log (Lamport, "Paxos Made Simple", 2001; Rystsov,
//! "CASPaxos", 2018): every write replaces the whole [`State`]. The leader grants members leases (Gray and Cheriton,
//! 1989) to serve under the active policy. A member counts its lease from the time of its request, the leader from the
//! time of its reply.
//!
//! The crate uses no sockets, clocks or disks. A caller drives a [`Coordinator`] in these steps:
//!
//! 1. Load the [`Record`] and create a [`Coordinator`] from it and the [`ConsensusConfig`].
//! 2. Pass each [`Input`] to [`Coordinator::handle`] with the current time: messages, client requests, and a tick no later
//!    than at [`Coordinator::next_due`].
//! 3. Call [`Step::finish`] with the [`Storage`]. It persists the record before it returns the actions.
//! 4. Carry out each [`Output`] in order. After an error or [`Output::Halt`] the coordinator must stop.

#![warn(missing_docs)]

mod config;
mod coordinator;
mod message;
mod state;
mod step;

pub use config::{ConsensusConfig, InjectedFault, PolicyCheck};
pub use coordinator::Coordinator;
pub use message::{
    ClientSession, Envelope, Grant, MemberStatus, OperatorRequest, PeerMessage, Renew, Reply, Request, Status,
};
pub use state::{
    Ballot, CoordinatorId, End, EndedChange, Incarnation, MAX_ENDED_CHANGES, MAX_MEMBERS, MAX_NAME_BYTES,
    MAX_POLICY_BYTES, Nanos, PendingChange, Policy, Record, State,
};
pub use step::{AuditEntry, Input, Output, Step, Storage};
