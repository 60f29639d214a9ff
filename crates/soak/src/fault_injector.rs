//! Injects the faults of a plan at their times.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::monotonic_nanos;

use crate::crowd::{CrowdRunner, CrowdSize};
use crate::discovery::DiscoveryFaults;
use crate::executor_list::{Entry, ExecutorList};
use crate::history::{Event, Recorder, Status};
use crate::network::Network;
use crate::nodes::Nodes;
use crate::plan::{Fault, SignalSequence};
use crate::run::{Executors, Location};

/// The time between two reloads in a row.
const SECOND_RELOAD_DELAY: Duration = Duration::from_millis(120);
/// How long an executor that has left still answers its current requests before its process ends.
const EXIT_DELAY: Duration = Duration::from_millis(1_500);

/// The time limit for each connection of an idle flood.
const FLOOD_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The interval at which a restarted executor tries again to listen.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Injects faults into the parts of a run.
pub struct FaultInjector {
    /// The nodes.
    pub nodes: Arc<Nodes>,
    /// The executors; a replacement is added to them.
    pub executors: Arc<Executors>,
    /// The list that discovery serves.
    pub executor_list: Arc<ExecutorList>,
    /// The current faults of discovery.
    pub discovery_faults: Arc<DiscoveryFaults>,
    /// The network that provides the addresses of new executors.
    pub network: Network,
    /// The longest deadline of a client, in milliseconds.
    pub deadline_ms: u64,
    /// Records the actions of the injector.
    pub recorder: Arc<Recorder>,
    /// Set when the run is over.
    pub finished: Arc<AtomicBool>,
}

impl FaultInjector {
    /// Begins each fault at its time, counted from now, and returns when all are over.
    pub fn run(self: &Arc<Self>, faults: &[Fault]) {
        let start = Instant::now();
        let mut ordered: Vec<&Fault> = faults.iter().collect();
        ordered.sort_by_key(|fault| fault.at_ms());
        let mut running = Vec::new();
        for fault in ordered {
            let at = Duration::from_millis(fault.at_ms());
            std::thread::sleep(at.saturating_sub(start.elapsed()));
            if self.finished.load(Ordering::Relaxed) {
                break;
            }
            self.recorder.record(Event::DriverAction { action: format!("{fault:?}") });
            let (injector, fault) = (Arc::clone(self), fault.clone());
            running.push(std::thread::spawn(move || injector.inject(&fault)));
        }
        for fault in running {
            let _ = fault.join();
        }
    }

    /// Injects one fault, and waits until it is over. An error is recorded in the history.
    fn inject(&self, fault: &Fault) {
        let result = match fault {
            Fault::StopNode { node, back_after_ms, shim, .. } => {
                self.nodes.stop(*node, Some(Duration::from_millis(*back_after_ms)), shim)
            }
            Fault::KillNode { node, back_after_ms, shim, .. } => {
                self.nodes.kill(*node, Duration::from_millis(*back_after_ms), shim)
            }
            Fault::PauseNode { node, for_ms, .. } => self.nodes.pause(*node, Duration::from_millis(*for_ms)),
            Fault::Reload { nodes, twice, bad_first, .. } => self.reload(nodes, *twice, *bad_first),
            Fault::Signals { node, series, after_ms, back_after_ms, .. } => self.send_signals(
                *node,
                *series,
                Duration::from_millis(*after_ms),
                Duration::from_millis(*back_after_ms),
            ),
            other => {
                self.inject_outside_nodes(other);
                Ok(())
            }
        };
        if let Err(reason) = result {
            self.recorder.record(Event::DriverAction { action: format!("failed: {fault:?}: {reason}") });
        }
    }

    fn reload(&self, nodes: &[usize], twice: bool, bad_first: bool) -> std::io::Result<()> {
        if bad_first {
            nodes.iter().try_for_each(|node| self.nodes.reload(*node, false))?;
            std::thread::sleep(SECOND_RELOAD_DELAY);
        }
        nodes.iter().try_for_each(|node| self.nodes.reload(*node, true))?;
        if twice {
            std::thread::sleep(SECOND_RELOAD_DELAY);
            nodes.iter().try_for_each(|node| self.nodes.reload(*node, true))?;
        }
        Ok(())
    }

    /// Sends a sequence of signals to a node. Each sequence stops the node, which is then started again.
    fn send_signals(
        &self,
        node: usize,
        series: SignalSequence,
        after: Duration,
        back_after: Duration,
    ) -> std::io::Result<()> {
        let nodes = &self.nodes;
        match series {
            SignalSequence::ReloadReloadStop => {
                nodes.reload(node, true)?;
                std::thread::sleep(after);
                nodes.reload(node, true)?;
                std::thread::sleep(after);
                nodes.stop(node, Some(back_after), "")
            }
            SignalSequence::ReloadStop => {
                nodes.reload(node, true)?;
                nodes.stop(node, Some(back_after), "")
            }
            SignalSequence::StopReloadAtStart => {
                let reloading = Arc::clone(nodes);
                let next_life = nodes.life(node).load(Ordering::SeqCst) + 1;
                let reload = std::thread::spawn(move || reloading.reload_at_start(node, next_life, after));
                let stopped = nodes.stop(node, Some(back_after), "");
                let _ = reload.join();
                stopped
            }
            SignalSequence::PauseStopResume => nodes.stop_while_paused(node, after, back_after),
        }
    }

    fn inject_outside_nodes(&self, fault: &Fault) {
        let sleep = |ms: &u64| std::thread::sleep(Duration::from_millis(*ms));
        match fault {
            Fault::Drain { executor, left_after_ms, .. } => {
                self.executor_list.set_status(*executor, Status::Leaving);
                sleep(left_after_ms);
                self.leave(*executor);
            }
            Fault::Replace { executor, same_name, .. } => self.replace(*executor, *same_name),
            Fault::Restart { executor, down_ms, .. } => self.restart(*executor, *down_ms),
            Fault::Ail { executor, for_ms, how, rate, .. } => {
                let affected = self.executors.get(*executor);
                affected.set_fault_rate(*how, *rate);
                sleep(for_ms);
                affected.set_fault_rate(*how, 0.0);
            }
            Fault::DiscoveryDown { for_ms, .. } => {
                self.recorder.record(Event::Discovery { reachable: false });
                self.discovery_faults.begin_outage();
                sleep(for_ms);
                self.discovery_faults.end_outage();
                self.recorder.record(Event::Discovery { reachable: true });
            }
            Fault::DiscoverySlow { for_ms, each_ms, .. } => {
                self.recorder.record(Event::Discovery { reachable: false });
                self.discovery_faults.begin_slowdown(*each_ms);
                sleep(for_ms);
                self.discovery_faults.end_slowdown(*each_ms);
                // A call that was made just before the end is still answered late.
                sleep(each_ms);
                self.recorder.record(Event::Discovery { reachable: true });
            }
            Fault::WatchesMute { .. } => self.discovery_faults.silence_watches(),
            Fault::WatchesReset { .. } => self.discovery_faults.reset_watches(),
            Fault::IdleFlood { node, connections, for_ms, .. } => {
                let address = self.network.node_address(*node);
                let connect = || std::net::TcpStream::connect_timeout(&address, FLOOD_CONNECT_TIMEOUT);
                let idle: Vec<_> = (0..*connections).map_while(|_| connect().ok()).collect();
                sleep(for_ms);
                drop(idle);
            }
            Fault::Crowd { node, half, unread, idle, for_ms, .. } => {
                let runner = CrowdRunner {
                    node: *node,
                    life: self.nodes.life(*node).load(Ordering::SeqCst),
                    address: self.network.node_address(*node),
                    deadline_ms: self.deadline_ms,
                    recorder: Arc::clone(&self.recorder),
                };
                let crowd = CrowdSize { half: *half, unread: *unread, idle: *idle };
                runner.hold(crowd, Duration::from_millis(*for_ms));
            }
            _ => {}
        }
    }

    /// Lists an executor as left, and ends its process a little later.
    fn leave(&self, executor: usize) {
        let Some(entry) = self.executor_list.entry(executor) else { return };
        self.executor_list.set_status(executor, Status::Left);
        std::thread::sleep(EXIT_DELAY);
        self.executors.get(executor).end(entry.address);
    }

    /// Replaces an active executor by one at another address, and ends the old process a little later.
    fn replace(&self, executor: usize, same_name: bool) {
        let Some(old) = self.executor_list.entry(executor) else { return };
        if old.status != Status::Active {
            return;
        }
        let new = self.executors.add(Location { zone: old.zone, group: old.group });
        let index = new.index;
        let address = self.network.executor_address(executor, u16::try_from(index % 1_000).unwrap_or(0));
        if new.listen(address).is_err() {
            return;
        }
        if same_name {
            self.executor_list.replace(executor, index, address, monotonic_nanos());
        } else {
            let entry = Entry::new(index, format!("e{index}"), address, old.zone, old.group);
            self.executor_list.add(entry, Some(monotonic_nanos()));
            self.executor_list.set_status(executor, Status::Left);
        }
        std::thread::sleep(EXIT_DELAY);
        self.executors.get(executor).end(old.address);
    }

    /// Ends an executor's process and starts it again at the same address.
    fn restart(&self, executor: usize, down_ms: u64) {
        let Some(entry) = self.executor_list.entry(executor) else { return };
        let restarted = self.executors.get(executor);
        restarted.end(entry.address);
        std::thread::sleep(Duration::from_millis(down_ms));
        // The previous listener may still be closing.
        let start = Instant::now();
        while restarted.listen(entry.address).is_err() && start.elapsed() < EXIT_DELAY {
            std::thread::sleep(LISTEN_RETRY_INTERVAL);
        }
        if entry.status == Status::Active {
            self.executor_list.mark_restarted(executor, monotonic_nanos());
        }
    }
}
