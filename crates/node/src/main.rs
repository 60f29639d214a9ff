//! The program: starts a node, a coordinator or an operator's command, and stops the node on a signal.

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
use linestack::net::{Node, NodeParts, clients, clock::Clock, event_loop::EventLoop, spawn};
use linestack::peers;
use linestack::persistence::{self, NodeStore};
use linestack::staged_start;
use linestack_core::{Core, Input};
use linestack_dispatch::types::{ListKind, RepeatPolicy};
use linestack_history::HistoryEvent;
use linestack_recovery::start::{StagedStart, StartConditions, StartJitter};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// The size of a coroutine's stack, in words. Up to 1,919 words are in use in a debug build; `may` ends the process
/// when a stack overflows.
const STACK_WORDS: usize = 0x2000;
/// The number of unused stacks that are pooled for further connections.
const STACK_POOL_SIZE: usize = 64;
/// The number of attempts to listen on an address that is in use, over 2 s in total.
const LISTEN_ATTEMPTS: u32 = 40;
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of log lines that wait to be written.
const MAX_BUFFERED_LOG_LINES: usize = 4096;

/// A dispatcher that pushes jobs to workers. Without a command it runs a node, which is configured by environment
/// variables and a file (PROXY_CONFIG).
#[derive(Parser)]
#[command(version, about)]
enum Command {
    /// Run a coordinator of a fleet.
    Coordinate {
        file: PathBuf,
        /// The fleet is new: create the store from the first policy.
        #[arg(long, conflicts_with = "replacement")]
        first: bool,
        /// Replace a coordinator that has lost its store; `fleet replace` prints the number.
        #[arg(long)]
        replacement: Option<u32>,
        /// A majority has lost its stores: continue from this coordinator's store, and write the state for the others
        /// into this file. Nothing is run. Refused if a majority still has its stores, or if another coordinator
        /// answers.
        #[arg(long, requires = "lost", conflicts_with_all = ["first", "replacement", "refounded"])]
        refound: Option<PathBuf>,
        /// The numbers of the coordinators that have lost their stores.
        #[arg(long, value_delimiter = ',')]
        lost: Vec<u8>,
        /// This coordinator has lost its store and begins with the state that `--refound` wrote.
        #[arg(long, conflicts_with_all = ["first", "replacement"])]
        refounded: Option<PathBuf>,
    },
    /// Send a request to the coordinators of a fleet.
    Fleet(fleet::operate::Arguments),
    /// Maintain a node's store.
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
            Err(error) => {
                eprintln!("linestack: {error}");
                ExitCode::FAILURE
            }
        };
    }
    // A separate thread writes the log lines. If stderr is not read, lines are dropped, so that no coroutine blocks.
    let writer = NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LOG_LINES).lossy(true);
    let (writer, guard) = writer.finish(std::io::stderr());
    let variable = |key: &str| std::env::var(key).ok();
    let level = config::log_level(variable);
    let max_level = *level.as_ref().unwrap_or(&tracing::Level::INFO);
    tracing_subscriber::fmt().with_writer(writer).with_ansi(false).with_max_level(max_level).init();
    std::panic::set_hook(Box::new(|panic| tracing::error!(%panic, "panicked")));
    if let Some(Command::Coordinate { file, first, replacement, refound, lost, refounded }) = &command {
        let mode = match (replacement, refound, refounded) {
            (Some(seat), ..) => StartMode::Replacement(*seat),
            (_, Some(out), _) => StartMode::Refound { file: out.clone(), lost: lost.clone() },
            (.., Some(from)) => StartMode::Refounded(from.clone()),
            _ if *first => StartMode::NewFleet,
            _ => StartMode::FromStore,
        };
        let code = fleet::coordinate::run(file, mode);
        drop(guard);
        return code;
    }
    if let Err(error) = config::check_descriptors() {
        tracing::error!(fault = error, "descriptors");
        return ExitCode::FAILURE;
    }
    // The handlers are installed before clients are served, so that no signal ends the process without them.
    let mut signals = match retry_transient(START_RETRY_TIMEOUT, || Signals::new([SIGTERM, SIGINT, SIGHUP])) {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(why = %error, "signals");
            return ExitCode::FAILURE;
        }
    };
    let file = |path: &str| retry_transient(START_RETRY_TIMEOUT, || std::fs::read_to_string(path));
    let mut config = match level.and_then(|_| config::read(variable, file)) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!(fault = %error, "configuration");
            return ExitCode::FAILURE;
        }
    };
    let member = match variable("PROXY_FLEET").map(|path| open_fleet_member(&path, &mut config)).transpose() {
        Ok(member) => member,
        Err(errors) => {
            errors.lines().for_each(|fault| tracing::error!(fault, "fleet"));
            return ExitCode::FAILURE;
        }
    };
    let scheduler = may::config();
    scheduler.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(STACK_POOL_SIZE);
    // With pinning, all nodes on one machine would be pinned to its first core.
    scheduler.set_worker_pin(false);
    let (exit_sender, exit_receiver) = std::sync::mpsc::channel();
    let Config { name, listen, discovery, known, settings, sockets, memory_mb, .. } = config.clone();
    let memory = usize::try_from(memory_mb << 20).unwrap_or(usize::MAX);
    let open_store = |path: String| {
        persistence::read_config(Path::new(&path)).and_then(|config| NodeStore::open(config, &name))
    };
    let store = variable("PROXY_STORE").map(open_store);
    let mut store = match store.transpose() {
        Ok(store) => store,
        Err(error) => {
            tracing::error!(fault = error, "store");
            return ExitCode::FAILURE;
        }
    };
    let nodes = settings.dispatch.nodes;
    let stages =
        variable("PROXY_START").map(|path| staged_start::read_config(Path::new(&path), nodes)).transpose();
    let stages = match stages {
        Ok(stages) => stages,
        Err(errors) => {
            errors.lines().for_each(|fault| tracing::error!(fault, "start"));
            return ExitCode::FAILURE;
        }
    };
    let peers = match variable("PROXY_PEERS").map(|path| peers::read_config(Path::new(&path))).transpose() {
        Ok(peers) => peers,
        Err(errors) => {
            errors.lines().for_each(|fault| tracing::error!(fault, "peers"));
            return ExitCode::FAILURE;
        }
    };
    let clock = Clock::start();
    let event_loop = match retry_transient(START_RETRY_TIMEOUT, || EventLoop::new(clock)) {
        Ok(event_loop) => event_loop,
        Err(error) => {
            tracing::error!(why = %error, "event loop");
            return ExitCode::FAILURE;
        }
    };
    let audit_log = member.as_ref().and_then(|OpenedMember { member, .. }| {
        let path = member.config().history.as_ref()?;
        let run_number = member.record.incarnation.run_number;
        Some(AuditLog::open(path, &member.config().member, run_number, clock.now()))
    });
    let audit_log = match audit_log.transpose() {
        Ok(audit_log) => audit_log,
        Err(error) => {
            tracing::error!(fault = %format!("fleet.history: {error}"), "fleet");
            return ExitCode::FAILURE;
        }
    };
    let mut core = Core::new(settings.clone(), sockets, memory);
    // Whether the complete list is requested even if a list is known.
    let (mut known, mut request_whole) = (known, false);
    if let Some(stages) = &stages {
        let stored_list = store.as_ref().and_then(|store| store.list(stages.list_max_age));
        let list_is_fresh = stored_list.as_ref().is_some_and(|stored| stored.is_fresh);
        if let Some(stored) = stored_list {
            // The current discovery may not know the stored list's version, so the complete list is requested.
            (known, request_whole) = (Some(stored.list), true);
        }
        // A list of unknown age is used only once discovery has sent one or has failed to answer.
        let old_endpoints = known.take_if(|_| !list_is_fresh).map_or_else(Vec::new, |list| list.endpoints);
        let settings_confirmed =
            !member.as_ref().is_some_and(|opened| opened.member.config().mode == Mode::Strict);
        let mut rng = fastrand::Rng::with_seed(config.seed ^ fleet::random_u64());
        let conditions =
            StartConditions { settings_confirmed, list_is_fresh, has_old_list: !old_endpoints.is_empty() };
        let jitter = StartJitter { connection: rng.f64(), list_request: rng.f64() };
        let start = StagedStart::new(stages.limits, conditions, jitter, clock.now());
        core.start_in_stages(clock.now(), start, old_endpoints);
    }
    let index = known.as_ref().map(|known| known.index).filter(|_| !request_whole);
    let endpoints = known.map_or_else(Vec::new, |known| known.endpoints);
    if let Some(store) = &mut store {
        store.restore_into(&mut core, memory, clock.now(), settings.longest_deadline);
    }
    let (store_records, writer) = store.map(NodeStore::into_writer).unzip();
    let parts = NodeParts {
        clock,
        event_loop,
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
        store_records,
        exit: Box::new(move || {
            let _ = exit_sender.send(());
        }),
    };
    let node = Node::new(core, parts);
    if let Some(writer) = writer {
        writer.start(Arc::clone(&node));
    }
    if let Some(opened) = &member {
        init_fleet_member(&node, opened, &settings);
    }
    if let Some(peers) = peers {
        if let Err(error) = peers::listen(&peers, &name, &node) {
            tracing::error!(fault = %format!("peers.listen: {error}"), "peers");
            return ExitCode::FAILURE;
        }
        peers::query(peers, name.clone(), Arc::clone(&node));
    }
    // The list is passed to the reducer even if it is empty, since this input makes the reducer request the list.
    node.handle_input(Input::ListReceived { kind: ListKind::Cached, endpoints });
    let mut attempts = 0..LISTEN_ATTEMPTS;
    let listen = loop {
        match clients::accept(&node, listen) {
            Ok(address) => break address,
            // The previous process may not have ended yet, or this machine may lack a resource for a moment.
            Err(error)
                if (error.kind() == ErrorKind::AddrInUse || is_transient(&error))
                    && attempts.next().is_some() =>
            {
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            Err(error) => {
                tracing::error!(%listen, why = %error, "listen");
                return ExitCode::FAILURE;
            }
        }
    };
    let timer_node = Arc::clone(&node);
    spawn(move || timer_node.run_timers());
    let event_loop_node = Arc::clone(&node);
    spawn(move || event_loop_node.run_event_loop());
    tracing::info!(name, %listen, %discovery, sockets, memory_mb, "started");
    warn_if_messages_expected(&config);
    let in_fleet = member.is_some();
    if let Some(OpenedMember { member, active_version }) = member {
        member.run(Arc::clone(&node), settings, config.seed, active_version, stages.map(|s| s.limits));
    }
    while let Some(signal) = signals.forever().next() {
        if signal == SIGHUP {
            reload(&node, &mut config, in_fleet, variable);
            continue;
        }
        tracing::info!(signal, "stopping");
        node.handle_input(Input::Stop);
        // A second Ctrl-C ends the process at once, as users expect. A second SIGTERM does not, since one may be sent to
        // the process and another to its group.
        std::thread::spawn(move || {
            if signals.forever().any(|signal| signal == SIGINT) {
                std::process::exit(1);
            }
        });
        let _ = exit_receiver.recv();
        tracing::info!("stopped");
        break;
    }
    drop(guard);
    ExitCode::SUCCESS
}

/// A member of a fleet, whose session has not begun.
struct OpenedMember {
    member: FleetMember,
    /// The version of the policy that the node starts with; 0 if it starts with the settings of its own configuration.
    active_version: u64,
}

/// Reads the fleet's configuration file, opens the member's store, and replaces the settings in `config` by those that
/// this node used last, if there are any.
fn open_fleet_member(path: &str, config: &mut Config) -> Result<OpenedMember, String> {
    let fleet = fleet::config::read_fleet(Path::new(path))?;
    let member = FleetMember::open(fleet).map_err(|error| format!("{path}: fleet.folder: {error}"))?;
    let last_settings = member.last_settings(&config.settings, config.seed);
    let active_version = if last_settings.is_some() { member.record.active.version } else { 0 };
    if let Some(settings) = last_settings {
        config.settings = settings;
    }
    Ok(OpenedMember { member, active_version })
}

/// Passes the settings of a fleet's node to the reducer before the node serves clients, and in strict mode that there
/// is no lease yet.
fn init_fleet_member(node: &Arc<Node>, opened: &OpenedMember, settings: &linestack_settings::Settings) {
    let OpenedMember { member, active_version: version } = opened;
    if *version > 0 {
        let event = HistoryEvent::Active { version: *version, digest: member.record.active.digest() };
        if let Some(audit_log) = node.audit_log() {
            audit_log.write(node.clock.now(), event);
        }
        node.handle_input(Input::SettingsChanged { settings: Box::new(settings.clone()), version: *version });
    }
    if member.config().mode == Mode::Strict {
        node.handle_input(Input::Lease { until: 0 });
    }
}

/// Warns if the settings expect messages between nodes, for which no protocol is specified.
fn warn_if_messages_expected(config: &Config) {
    if config.settings.may_message_peers {
        tracing::warn!(
            "mayTell: messages between nodes are not supported on sockets; the node works as if all of them were lost"
        );
    }
}

/// The pause before the configuration is read again, if this machine lacked a resource to read it.
const REREAD_PAUSE: Duration = Duration::from_millis(50);

/// Schedules another read of the configuration after a pause: a thread then raises the signal that requests it. Other
/// signals are handled meanwhile.
fn schedule_reread() {
    let wait = std::thread::Builder::new().spawn(|| {
        std::thread::sleep(REREAD_PAUSE);
        if let Err(error) = signal_hook::low_level::raise(SIGHUP) {
            tracing::error!(why = %error, "configuration is not read again: the old one stays");
        }
    });
    if let Err(error) = wait {
        tracing::error!(why = %error, "configuration is not read again: the old one stays");
    }
}

/// Reads the configuration again. A file with an error changes nothing. A valid one is applied as far as this is
/// possible in a running node.
fn reload(node: &Arc<Node>, current: &mut Config, in_fleet: bool, variable: impl Fn(&str) -> Option<String>) {
    match config::reread(current, variable, |path| std::fs::read_to_string(path)) {
        Ok(newer) => {
            let mut keys = current.keys_requiring_restart(&newer);
            keys.retain(|key| !in_fleet || !key.starts_with("settings."));
            if let Some(key) = keys.iter().find(|key| key.starts_with("settings.")) {
                // A partly applied change would be neither the old settings nor the new ones.
                tracing::error!(
                    key,
                    "configuration read again: this key needs a restart, so nothing is changed"
                );
                return;
            }
            if in_fleet && current.differs_in_settings(&newer) {
                // This node alone would use other settings than the rest of the fleet.
                tracing::error!(
                    "configuration read again: the fleet sets the settings, so those in the file are ignored"
                );
            } else if current.differs_in_settings(&newer) {
                current.apply_settings(&newer);
                node.handle_input(Input::SettingsChanged {
                    settings: Box::new(newer.settings.clone()),
                    version: 0,
                });
                tracing::info!(
                    "settings taken over; load reports, shares, limits and response times are reset"
                );
                warn_if_messages_expected(&newer);
            }
            if !keys.is_empty() {
                tracing::warn!(?keys, "these keys have changed and take effect at the next start only");
            }
            tracing::info!(from = %current.discovery, discovery = %newer.discovery, "configuration read again");
            current.discovery = newer.discovery;
            node.change_discovery(newer.discovery);
        }
        Err(error) if error.kind == ConfigErrorKind::Transient => {
            tracing::warn!(fault = %error, "configuration cannot be read now; it is read again soon");
            schedule_reread();
        }
        Err(error) => {
            tracing::error!(fault = %error, "configuration read again: it has an error, so the old one stays")
        }
    }
}
