//! Starts the node, and stops it when it is told to.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use linestack::config::{self, Config, ConfigErrorKind};
use linestack::fleet;
use linestack::fleet::audit_log::AuditLog;
use linestack::fleet::config::Mode;
use linestack::fleet::coordinate::StartMode;
use linestack::fleet::session::FleetMember;
use linestack::io_failure::{START_RETRY_TIMEOUT, is_transient, retry_transient};
use linestack::net::{Node, NodeParts, clients, clock::Clock, spawn};
use linestack::peers;
use linestack::persistence::{self, NodeStore};
use linestack::staged_start;
use linestack_core::{Core, Input};
use linestack_dispatch::types::{ListKind, RepeatPolicy};
use linestack_history::What;
use linestack_recovery::start::{StagedStart as Starting, StartConditions};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// A coroutine's stack, in words. The most that was seen in use is 1,919, in a debug build; may ends the
/// program when a stack is full.
const STACK_WORDS: usize = 0x2000;
/// Stacks that are kept for the next connection.
const KEPT_STACKS: usize = 64;
/// How long to wait for an address that is taken: 2 s in all.
const LISTEN_ATTEMPTS: u32 = 40;
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Log lines that wait to be written, at most.
const LOG_LINES: usize = 4096;

/// A dispatcher that pushes jobs to workers. Without a command it runs a node, which is told where it is by
/// variables and a file (PROXY_CONFIG).
#[derive(Parser)]
#[command(version, about)]
enum Command {
    /// Run a coordinator of a fleet.
    Coordinate {
        file: PathBuf,
        /// The fleet is new: make its store, from the first policy.
        #[arg(long, conflicts_with = "replacement")]
        first: bool,
        /// It takes the place of one that has lost its store; `fleet replace` tells the number.
        #[arg(long)]
        replacement: Option<u32>,
        /// Most others have lost their stores: go on from this one's, and write into this file what the others are to
        /// begin with. Nothing is run. Refused where a majority still has its stores, or another one answers.
        #[arg(long, requires = "lost", conflicts_with_all = ["first", "replacement", "refounded"])]
        refound: Option<PathBuf>,
        /// The numbers of those that have lost their stores.
        #[arg(long, value_delimiter = ',')]
        lost: Vec<u8>,
        /// It has lost its store, and begins with what `--refound` wrote.
        #[arg(long, conflicts_with_all = ["first", "replacement"])]
        refounded: Option<PathBuf>,
    },
    /// Ask the coordinators of a fleet.
    Fleet(fleet::operate::Arguments),
    /// Look after a node's store.
    Store {
        #[command(subcommand)]
        command: persistence::Command,
    },
}

fn main() -> ExitCode {
    let command = std::env::args_os().nth(1).map(|_| Command::parse());
    if let Some(Command::Fleet(arguments)) = &command {
        return fleet::operate::run(arguments);
    }
    if let Some(Command::Store { command }) = &command {
        return match persistence::run(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(why) => {
                eprintln!("linestack: {why}");
                ExitCode::FAILURE
            }
        };
    }
    // Lines are written by a thread of their own and dropped when nobody reads them: no coroutine waits.
    let writer = NonBlockingBuilder::default().buffered_lines_limit(LOG_LINES).lossy(true);
    let (writer, guard) = writer.finish(std::io::stderr());
    let variable = |key: &str| std::env::var(key).ok();
    let level = config::log_level(variable);
    let most = *level.as_ref().unwrap_or(&tracing::Level::INFO);
    tracing_subscriber::fmt().with_writer(writer).with_ansi(false).with_max_level(most).init();
    std::panic::set_hook(Box::new(|panic| tracing::error!(%panic, "panicked")));
    if let Some(Command::Coordinate { file, first, replacement, refound, lost, refounded }) = &command {
        let how = match (replacement, refound, refounded) {
            (Some(seat), ..) => StartMode::Replacement(*seat),
            (_, Some(out), _) => StartMode::Refound(out.clone(), lost.clone()),
            (.., Some(from)) => StartMode::Refounded(from.clone()),
            _ if *first => StartMode::NewFleet,
            _ => StartMode::FromStore,
        };
        let code = fleet::coordinate::run(file, how);
        drop(guard);
        return code;
    }
    if let Err(fault) = config::check_descriptors() {
        tracing::error!(fault, "descriptors");
        return ExitCode::FAILURE;
    }
    // Taken over before anything is served, so that no signal finds them missing.
    let mut signals = match retry_transient(START_RETRY_TIMEOUT, || Signals::new([SIGTERM, SIGINT, SIGHUP])) {
        Ok(signals) => signals,
        Err(why) => {
            tracing::error!(%why, "signals");
            return ExitCode::FAILURE;
        }
    };
    let file = |path: &str| retry_transient(START_RETRY_TIMEOUT, || std::fs::read_to_string(path));
    let mut config = match level.and_then(|_| config::read(variable, file)) {
        Ok(config) => config,
        Err(fault) => {
            tracing::error!(%fault, "configuration");
            return ExitCode::FAILURE;
        }
    };
    let fleet = match variable("PROXY_FLEET").map(|path| join(&path, &mut config)).transpose() {
        Ok(fleet) => fleet,
        Err(why) => {
            why.lines().for_each(|fault| tracing::error!(fault, "fleet"));
            return ExitCode::FAILURE;
        }
    };
    let scheduler = may::config();
    scheduler.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(KEPT_STACKS);
    // Nodes on one machine would all be pinned to its first core.
    scheduler.set_worker_pin(false);
    let (done, finished) = std::sync::mpsc::channel();
    let Config { name, listen, discovery, known, settings, sockets, memory_mb, .. } = config.clone();
    let memory = usize::try_from(memory_mb << 20).unwrap_or(usize::MAX);
    let opened = |path: String| {
        persistence::read_config(Path::new(&path)).and_then(|config| NodeStore::open(config, &name))
    };
    let keeper = variable("PROXY_STORE").map(opened);
    let mut keeper = match keeper.transpose() {
        Ok(keeper) => keeper,
        Err(fault) => {
            tracing::error!(fault, "store");
            return ExitCode::FAILURE;
        }
    };
    let nodes = settings.dispatch.nodes;
    let stages =
        variable("PROXY_START").map(|path| staged_start::read_config(Path::new(&path), nodes)).transpose();
    let stages = match stages {
        Ok(stages) => stages,
        Err(why) => {
            why.lines().for_each(|fault| tracing::error!(fault, "start"));
            return ExitCode::FAILURE;
        }
    };
    let peers = match variable("PROXY_PEERS").map(|path| peers::read_config(Path::new(&path))).transpose() {
        Ok(peers) => peers,
        Err(why) => {
            why.lines().for_each(|fault| tracing::error!(fault, "peers"));
            return ExitCode::FAILURE;
        }
    };
    let clock = Clock::start();
    let audit_log =
        fleet.as_ref().and_then(|(start, _)| start.config().history.as_ref().map(|path| (start, path)));
    let audit_log = audit_log.map(|(start, path)| {
        AuditLog::open(path, &start.config().member, start.record.incarnation.run_number, clock.now())
    });
    let audit_log = match audit_log.transpose() {
        Ok(audit_log) => audit_log,
        Err(why) => {
            tracing::error!(fault = %format!("fleet.history: {why}"), "fleet");
            return ExitCode::FAILURE;
        }
    };
    let mut core = Core::new(settings.clone(), sockets, memory);
    let (mut known, mut whole) = (known, false);
    if let Some(stages) = &stages {
        let kept = keeper.as_ref().and_then(|k| k.list(stages.list_fresh));
        let fresh = kept.as_ref().is_some_and(|(_, fresh)| *fresh);
        if let Some((list, _)) = kept {
            // Its version may mean nothing to the discovery that is there now: the whole list is asked for.
            (known, whole) = (Some(list), true);
        }
        // Of no age that is known: it waits for discovery's word, or for discovery's silence.
        let old = known.take_if(|_| !fresh).map_or_else(Vec::new, |list| list.endpoints);
        let proved = !fleet.as_ref().is_some_and(|(start, _)| start.config().mode == Mode::Strict);
        let mut chance = fastrand::Rng::with_seed(config.seed ^ fleet::random_u64());
        let found = StartConditions {
            settings_confirmed: proved,
            list_is_fresh: fresh,
            has_old_list: !old.is_empty(),
        };
        let start = Starting::new(stages.terms, found, [chance.f64(), chance.f64()], clock.now());
        core.start_in_stages(clock.now(), start, old);
    }
    let index = known.as_ref().map(|known| known.index).filter(|_| !whole);
    let endpoints = known.map_or_else(Vec::new, |known| known.endpoints);
    if let Some(keeper) = &mut keeper {
        keeper.restore_into(&mut core, memory, clock.now(), settings.longest_deadline);
    }
    let (keeper, writer) = keeper.map(NodeStore::into_writer).unzip();
    let parts = NodeParts {
        clock,
        names: settings.names.clone(),
        layout: settings.layout,
        stamped: settings
            .dispatch
            .products
            .iter()
            .map(|p| matches!(p.repeat_policy, RepeatPolicy::Stamped { .. }))
            .collect(),
        discovery,
        index,
        memory,
        audit_log,
        store_records: keeper,
        exit: Box::new(move || {
            let _ = done.send(());
        }),
    };
    let node = Node::new(core, parts);
    if let Some(writer) = writer {
        writer.start(Arc::clone(&node));
    }
    if let Some((start, active)) = &fleet {
        begin(&node, start, *active, &settings);
    }
    if let Some(peers) = peers {
        if let Err(why) = peers::listen(&peers, &name, &node) {
            tracing::error!(fault = %format!("peers.listen: {why}"), "peers");
            return ExitCode::FAILURE;
        }
        peers::query(peers, name.clone(), Arc::clone(&node));
    }
    // Told even if there is none: it is what makes the node ask for the list.
    node.handle_input(Input::ListReceived { kind: ListKind::Cached, endpoints });
    let mut tries = 0..LISTEN_ATTEMPTS;
    let listen = loop {
        match clients::accept(&node, listen) {
            Ok(address) => break address,
            // The one before it may not be quite gone, or this machine has nothing left for a moment.
            Err(why)
                if (why.kind() == ErrorKind::AddrInUse || is_transient(&why)) && tries.next().is_some() =>
            {
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            Err(why) => {
                tracing::error!(%listen, %why, "listen");
                return ExitCode::FAILURE;
            }
        }
    };
    let timed = Arc::clone(&node);
    spawn(move || timed.run_timers());
    tracing::info!(name, %listen, %discovery, sockets, memory_mb, "started");
    untold(&config);
    let of_fleet = fleet.is_some();
    if let Some((start, active)) = fleet {
        start.run(Arc::clone(&node), settings, config.seed, active, stages.map(|s| s.terms));
    }
    while let Some(signal) = signals.forever().next() {
        if signal == SIGHUP {
            reload(&node, &mut config, of_fleet, variable);
            continue;
        }
        tracing::info!(signal, "stopping");
        node.handle_input(Input::Stop);
        // A second Ctrl-C ends it at once, as users expect; SIGTERM may come twice, to it and to its group.
        std::thread::spawn(move || {
            if signals.forever().any(|signal| signal == SIGINT) {
                std::process::exit(1);
            }
        });
        let _ = finished.recv();
        tracing::info!("stopped");
        break;
    }
    drop(guard);
    ExitCode::SUCCESS
}

/// Reads the fleet's file, and goes on by the terms that this node went by last. Returns their version.
fn join(path: &str, config: &mut Config) -> Result<(FleetMember, u64), String> {
    let fleet = fleet::config::read_fleet(Path::new(path))?;
    let start = FleetMember::open(fleet).map_err(|why| format!("{path}: fleet.folder: {why}"))?;
    let kept = start.last_settings(&config.settings, config.seed);
    let active = if kept.is_some() { start.record.active.version } else { 0 };
    if let Some(settings) = kept {
        config.settings = settings;
    }
    Ok((start, active))
}

/// What a node of a fleet is told before it serves.
fn begin(node: &Arc<Node>, start: &FleetMember, active: u64, settings: &linestack_settings::Settings) {
    if active > 0 {
        let what = What::Active { version: active, digest: start.record.active.digest() };
        if let Some(audit_log) = node.audit_log() {
            audit_log.write(node.clock.now(), what);
        }
        node.handle_input(Input::SettingsChanged { settings: Box::new(settings.clone()), version: active });
    }
    if start.config().mode == Mode::Strict {
        node.handle_input(Input::Lease { until: 0 });
    }
}

/// No page gives a protocol for messages between nodes.
fn untold(config: &Config) {
    if config.settings.may_message_peers {
        tracing::warn!("mayTell: nodes on sockets have no messages, so this one works as if all were lost");
    }
}

/// How soon a configuration is tried again that could not be read for want of something on this machine.
const READ_AGAIN: Duration = Duration::from_millis(50);

/// Has the configuration read once more in a moment, by the signal that asked for it: meanwhile the other signals are heard.
fn read_again_soon() {
    let wait = std::thread::Builder::new().spawn(|| {
        std::thread::sleep(READ_AGAIN);
        if let Err(why) = signal_hook::low_level::raise(SIGHUP) {
            tracing::error!(%why, "configuration is not tried again: the old one stays");
        }
    });
    if let Err(why) = wait {
        tracing::error!(%why, "configuration is not tried again: the old one stays");
    }
}

/// Reads the configuration again. A file with a fault changes nothing; what is right is taken over, as far as
/// that can be done in a running node.
fn reload(node: &Arc<Node>, present: &mut Config, of_fleet: bool, variable: impl Fn(&str) -> Option<String>) {
    match config::reread(present, variable, |path| std::fs::read_to_string(path)) {
        Ok(newer) => {
            let mut keys = present.keys_requiring_restart(&newer);
            keys.retain(|key| !of_fleet || !key.starts_with("settings."));
            if let Some(key) = keys.iter().find(|key| key.starts_with("settings.")) {
                // Half of a change would be neither the old terms nor the new ones.
                tracing::error!(key, "configuration read again: wants a restart, so the old one stays whole");
                return;
            }
            if of_fleet && present.differs_in_settings(&newer) {
                // One node alone would be mixed with the others.
                tracing::error!(
                    "configuration read again: settings are the fleet's, and are not taken from here"
                );
            } else if present.differs_in_settings(&newer) {
                present.apply_settings(&newer);
                node.handle_input(Input::SettingsChanged {
                    settings: Box::new(newer.settings.clone()),
                    version: 0,
                });
                tracing::info!("settings taken over; reports, shares, limits and answer times start afresh");
                untold(&newer);
            }
            if !keys.is_empty() {
                tracing::warn!(?keys, "changed, and read at the start only: they want a restart");
            }
            tracing::info!(from = %present.discovery, discovery = %newer.discovery, "configuration read again");
            present.discovery = newer.discovery;
            node.change_discovery(newer.discovery);
        }
        Err(fault) if fault.kind == ConfigErrorKind::Transient => {
            tracing::warn!(%fault, "configuration can't be read now, and is tried again");
            read_again_soon();
        }
        Err(fault) => tracing::error!(%fault, "configuration read again: the old one stays"),
    }
}
