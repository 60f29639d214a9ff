//! `linestack coordinate FILE`: the process of one coordinator.
//!
//! One thread holds the state and alone uses the store and the clock ([`server`]). A thread accepts connections and two
//! serve each of them ([`sessions`]); one thread for each other coordinator sends to it ([`peers`]). They report to the
//! first by [`event::Event`]s.
//!
//! How a coordinator starts is in [`storage`] and, after a majority of the stores was lost, in [`refound`].

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

use linestack_accord::{Broken, Coordinator, Id, Terms};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use socket2::SockRef;

use super::audit_log::AuditWriter;
use super::boottime;
use super::config;
use super::policy::check_change;
use super::store::StoreError;
use super::wire::{Identity, SenderInfo};
use crate::net::BACKLOG;

use self::event::Event;
use self::server::Server;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// How a coordinator starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// From its store.
    FromStore,
    /// Without a store, in a new fleet: the store is created from the first policy that the file names.
    NewFleet,
    /// Without a store, in place of a coordinator that has lost its own: the seat, as `fleet replace` told it.
    Replacement(u32),
    /// From its store, after most of the others were lost: write the file that they start from, and end. The file, and
    /// the coordinators whose stores are lost.
    Refound(PathBuf, Vec<Id>),
    /// Without a store, from the file that [`StartMode::Refound`] wrote.
    Refounded(PathBuf),
}

/// Runs a coordinator until it is told to stop.
#[must_use]
pub fn run(path: &Path, how: StartMode) -> ExitCode {
    match start(path, &how) {
        Ok(code) => code,
        Err(why) => {
            for line in why.lines() {
                tracing::error!("coordinator: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

fn start(path: &Path, how: &StartMode) -> Result<ExitCode, String> {
    let config = config::read_coordinator(path)?;
    if let StartMode::Refound(file, lost) = how {
        return refound::refound(&config, file, lost).map(|()| ExitCode::SUCCESS);
    }
    let (disk, record) = storage::open(&config, how).map_err(|why| storage_fault(path, &why))?;
    let me = config.number;
    let own = SenderInfo {
        fleet: config.fleet.clone(),
        identity: Identity::Coordinator(me),
        incarnation: disk.incarnation,
    };
    let listener = TcpListener::bind(config.listen)
        .and_then(|listener| SockRef::from(&listener).listen(BACKLOG).map(|()| listener))
        .map_err(|e| format!("{}: coordinator.listen: {}: {e}", path.display(), config.listen))?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    let audit_log = AuditWriter::open(config.history.as_deref(), &format!("c{me}"), disk.incarnation.life)
        .map_err(|e| format!("{}: coordinator.history: {e}", path.display()))?;
    let (events, incoming) = channel();
    watch_signals(events.clone())?;
    let allowed: Vec<IpAddr> = config.peers.iter().flatten().map(SocketAddr::ip).collect();
    let greeter = own.clone();
    thread::spawn(move || sessions::accept(&listener, &greeter, &allowed, &events));
    let peers = config.peers.iter().map(|to| to.map(|to| peers::connect(to, own.clone()))).collect();
    let coordinator = Coordinator::new(terms(&config), record, boottime());
    tracing::info!(fleet = config.fleet, number = me, %listen, "started");
    Ok(Server::new(coordinator, disk, audit_log, peers).run(&incoming))
}

/// What to tell an operator whose coordinator can't start from its store.
fn storage_fault(path: &Path, why: &StoreError) -> String {
    let remedy = match why {
        StoreError::Missing => {
            "; in a new fleet it is made by --first; one that has lost its store wants `linestack fleet replace`"
        }
        StoreError::AlreadyExists => "; start it without --first",
        StoreError::Copied => "; it must not vote: what it promised since the copy was made is forgotten",
        _ => "",
    };
    format!("{}: coordinator.folder: {why}{remedy}", path.display())
}

/// Reports SIGTERM and SIGINT as [`Event::Stop`].
fn watch_signals(events: Sender<Event>) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    thread::spawn(move || signals.forever().for_each(|_| drop(events.send(Event::Stop))));
    Ok(())
}

fn terms(config: &config::CoordinatorConfig) -> Terms {
    Terms {
        me: config.number,
        count: u8::try_from(config.peers.len()).unwrap_or(u8::MAX),
        hold: config.hold_ms * NANOS_PER_MILLISECOND,
        lease: config.lease_ms * NANOS_PER_MILLISECOND,
        drift: config.drift,
        check: check_change,
        broken: super::injected_fault().as_deref().and_then(accord_fault),
    }
}

/// The deliberate fault of this name, in a build for tests.
fn accord_fault(name: &str) -> Option<Broken> {
    match name {
        "forgets" => Some(Broken::Forgets),
        "majority" => Some(Broken::Majority),
        "old-speaker" => Some(Broken::OldSpeaker),
        "not-blind" => Some(Broken::NotBlind),
        _ => None,
    }
}
