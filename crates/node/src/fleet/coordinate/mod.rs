//! `linestack coordinate FILE`: the process of one coordinator.
//!
//! One thread owns the state, and is the only one that uses the store and the clock (`server`). Another thread
//! accepts connections, and two threads serve each of them (`sessions`). One thread for each other coordinator sends
//! messages to it (`peers`). The threads that accept and read connections send `event::Event`s to the one that owns
//! the state.
//!
//! `storage` opens or creates the store. `refound` recovers a fleet in which a majority of the stores was lost.

mod event;
mod peers;
mod refound;
mod server;
mod sessions;
mod storage;

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc::{Sender, channel};
use std::thread;

use linestack_accord::{ConsensusConfig, Coordinator, CoordinatorId, InjectedFault};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use socket2::SockRef;

use super::audit_log::AuditWriter;
use super::boottime;
use super::config;
use super::policy::check_change;
use super::store::StoreError;
use super::wire::{Identity, SenderInfo};
use crate::NANOS_PER_MS;
use crate::net::BACKLOG;

use self::event::Event;
use self::server::Server;

/// The state that a coordinator starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// From its store.
    FromStore,
    /// Without a store, in a new fleet: the store is created from the first policy that the configuration names.
    NewFleet,
    /// Without a store, in place of a coordinator that has lost its own, under the seat number that `fleet replace`
    /// printed.
    Replacement(u32),
    /// From its store, after a majority of the stores was lost: write the file that the others start from, and end.
    Refound {
        /// The file to write.
        file: PathBuf,
        /// The coordinators whose stores are lost.
        lost: Vec<CoordinatorId>,
    },
    /// Without a store, from the file that [`StartMode::Refound`] wrote.
    Refounded(PathBuf),
}

/// Runs a coordinator until it is stopped by a signal.
#[must_use]
pub fn run(path: &Path, mode: StartMode) -> ExitCode {
    match start(path, &mode) {
        Ok(code) => code,
        Err(message) => {
            for line in message.lines() {
                tracing::error!("coordinator: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

fn start(path: &Path, mode: &StartMode) -> Result<ExitCode, String> {
    let config = config::read_coordinator(path)?;
    if let StartMode::Refound { file, lost } = mode {
        return refound::refound(&config, file, lost).map(|()| ExitCode::SUCCESS);
    }
    let (disk, record) = storage::open(&config, mode).map_err(|error| storage_error_message(path, &error))?;
    let number = config.number;
    let sender = SenderInfo {
        fleet: config.fleet.clone(),
        identity: Identity::Coordinator(number),
        incarnation: disk.incarnation,
    };
    let listener = TcpListener::bind(config.listen)
        .and_then(|listener| SockRef::from(&listener).listen(BACKLOG).map(|()| listener))
        .map_err(|e| format!("{}: coordinator.listen: {}: {e}", path.display(), config.listen))?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    let audit_log =
        AuditWriter::open(config.history.as_deref(), &format!("c{number}"), disk.incarnation.run_number)
            .map_err(|e| format!("{}: coordinator.history: {e}", path.display()))?;
    let (events, incoming) = channel();
    watch_signals(events.clone())?;
    let allowed: Vec<IpAddr> = config.peers.iter().flatten().map(SocketAddr::ip).collect();
    let accepting_sender = sender.clone();
    thread::spawn(move || sessions::accept(&listener, &accepting_sender, &allowed, &events));
    let peers = config.peers.iter();
    let peers = peers.map(|peer| peer.map(|address| peers::connect(address, sender.clone()))).collect();
    let coordinator = Coordinator::new(consensus_config(&config), record, boottime());
    tracing::info!(fleet = config.fleet, number, %listen, "started");
    Ok(Server::new(coordinator, disk, audit_log, peers).run(&incoming))
}

/// Returns the message for the operator of a coordinator that can't start from its store.
fn storage_error_message(path: &Path, error: &StoreError) -> String {
    let remedy = match error {
        StoreError::Missing => {
            "; --first creates it in a new fleet; a coordinator that has lost its store needs `linestack fleet replace`"
        }
        StoreError::AlreadyExists => "; start it without --first",
        StoreError::Copied => {
            "; the coordinator must not vote, because the copy lacks the promises made since"
        }
        _ => "",
    };
    format!("{}: coordinator.folder: {error}{remedy}", path.display())
}

/// Reports SIGTERM and SIGINT as [`Event::Stop`].
fn watch_signals(events: Sender<Event>) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    thread::spawn(move || signals.forever().for_each(|_| drop(events.send(Event::Stop))));
    Ok(())
}

/// Returns the configuration of the coordinator's state machine.
fn consensus_config(config: &config::CoordinatorConfig) -> ConsensusConfig {
    ConsensusConfig {
        id: config.number,
        coordinators: u8::try_from(config.peers.len()).unwrap_or(u8::MAX),
        hold: config.hold_ms * NANOS_PER_MS,
        lease: config.lease_ms * NANOS_PER_MS,
        drift: config.drift,
        check: check_change,
        injected_fault: super::injected_fault().as_deref().and_then(consensus_fault),
    }
}

/// Returns the fault of the state machine that a test injects by this name.
fn consensus_fault(name: &str) -> Option<InjectedFault> {
    match name {
        "forgets" => Some(InjectedFault::UnpersistedPromise),
        "majority" => Some(InjectedFault::MajorityDecides),
        "old-speaker" => Some(InjectedFault::StaleLeader),
        "not-blind" => Some(InjectedFault::NoGracePeriod),
        _ => None,
    }
}
