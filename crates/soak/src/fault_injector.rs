//! Does what a plan says, at its times.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use linestack_rig::monotonic;

use crate::crowd::{CrowdRunner, CrowdSize};
use crate::discovery::DiscoveryFaults;
use crate::executor_list::{Entry, ExecutorList};
use crate::history::{Event, Recorder, Status};
use crate::network::Network;
use crate::nodes::Nodes;
use crate::plan::{Fault, SignalSequence};
use crate::run::{Executors, Location};

/// Between two configurations in a row.
const SECOND_RELOAD: Duration = Duration::from_millis(120);
/// An executor that has left answers what it has for so long, and is then gone.
const GONE_AFTER: Duration = Duration::from_millis(1_500);

/// What troubles are done to.
pub struct FaultInjector {
    /// The nodes.
    pub nodes: Arc<Nodes>,
    /// The executors, which grow in number as some are replaced.
    pub executors: Arc<Executors>,
    /// The list.
    pub executor_list: Arc<ExecutorList>,
    /// How discovery fares.
    pub discovery_faults: Arc<DiscoveryFaults>,
    /// Whose addresses are given out.
    pub network: Network,
    /// The longest that a client waits, in milliseconds.
    pub deadline_ms: u64,
    /// Where all is noted.
    pub recorder: Arc<Recorder>,
    /// The run is over.
    pub finished: Arc<AtomicBool>,
}

impl FaultInjector {
    /// Begins each trouble at its time, from now on, and returns when all are over.
    pub fn play(self: &Arc<Self>, faults: &[Fault]) {
        let begun = Instant::now();
        let mut ordered: Vec<&Fault> = faults.iter().collect();
        ordered.sort_by_key(|fault| fault.at_ms());
        let mut running = Vec::new();
        for fault in ordered {
            let at = Duration::from_millis(fault.at_ms());
            std::thread::sleep(at.saturating_sub(begun.elapsed()));
            if self.finished.load(Ordering::Relaxed) {
                break;
            }
            self.recorder.now(Event::DriverAction { action: format!("{fault:?}") });
            let (stage, fault) = (Arc::clone(self), fault.clone());
            running.push(std::thread::spawn(move || stage.perform(&fault)));
        }
        for fault in running {
            let _ = fault.join();
        }
    }

    fn perform(&self, fault: &Fault) {
        let done = match fault {
            Fault::StopNode { node, back_after_ms, shim, .. } => {
                self.nodes.stop(*node, Some(Duration::from_millis(*back_after_ms)), shim)
            }
            Fault::KillNode { node, back_after_ms, shim, .. } => {
                self.nodes.kill(*node, Duration::from_millis(*back_after_ms), shim)
            }
            Fault::PauseNode { node, for_ms, .. } => self.nodes.pause(*node, Duration::from_millis(*for_ms)),
            Fault::Reload { nodes, twice, bad_first, .. } => self.reload(nodes, *twice, *bad_first),
            Fault::Signals { node, series, after_ms, back_after_ms, .. } => self.signals(
                *node,
                *series,
                Duration::from_millis(*after_ms),
                Duration::from_millis(*back_after_ms),
            ),
            other => {
                self.perform_elsewhere(other);
                Ok(())
            }
        };
        if let Err(reason) = done {
            self.recorder.now(Event::DriverAction { action: format!("failed: {fault:?}: {reason}") });
        }
    }

    fn reload(&self, nodes: &[usize], twice: bool, bad_first: bool) -> std::io::Result<()> {
        if bad_first {
            nodes.iter().try_for_each(|node| self.nodes.reload(*node, false))?;
            std::thread::sleep(SECOND_RELOAD);
        }
        nodes.iter().try_for_each(|node| self.nodes.reload(*node, true))?;
        if twice {
            std::thread::sleep(SECOND_RELOAD);
            nodes.iter().try_for_each(|node| self.nodes.reload(*node, true))?;
        }
        Ok(())
    }

    /// Signals in series; the node is stopped in each, and started again.
    fn signals(
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

    fn perform_elsewhere(&self, fault: &Fault) {
        let span = |ms: &u64| std::thread::sleep(Duration::from_millis(*ms));
        match fault {
            Fault::Drain { executor, left_after_ms, .. } => {
                self.executor_list.set_status(*executor, Status::Leaving);
                span(left_after_ms);
                self.leave(*executor);
            }
            Fault::Replace { executor, same_name, .. } => self.replace(*executor, *same_name),
            Fault::Restart { executor, down_ms, .. } => self.restart(*executor, *down_ms),
            Fault::Ail { executor, for_ms, how, rate, .. } => {
                let ailing = self.executors.get(*executor);
                ailing.set_fault_rate(*how, *rate);
                span(for_ms);
                ailing.set_fault_rate(*how, 0.0);
            }
            Fault::DiscoveryDown { for_ms, .. } => {
                self.recorder.now(Event::Discovery { reachable: false });
                self.discovery_faults.begin_outage();
                span(for_ms);
                self.discovery_faults.end_outage();
                self.recorder.now(Event::Discovery { reachable: true });
            }
            Fault::DiscoverySlow { for_ms, each_ms, .. } => {
                self.recorder.now(Event::Discovery { reachable: false });
                self.discovery_faults.begin_slowdown(*each_ms);
                span(for_ms);
                self.discovery_faults.end_slowdown(*each_ms);
                // A call that was made just before is answered late still.
                span(each_ms);
                self.recorder.now(Event::Discovery { reachable: true });
            }
            Fault::WatchesMute { .. } => self.discovery_faults.silence_watches(),
            Fault::WatchesReset { .. } => self.discovery_faults.reset_watches(),
            Fault::IdleFlood { node, connections, for_ms, .. } => {
                let address = self.network.node(*node);
                let connect = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200));
                let idle: Vec<_> = (0..*connections).map_while(|_| connect().ok()).collect();
                span(for_ms);
                drop(idle);
            }
            Fault::Crowd { node, half, unread, idle, for_ms, .. } => {
                let gathering = CrowdRunner {
                    node: *node,
                    life: self.nodes.life(*node).load(Ordering::SeqCst),
                    address: self.network.node(*node),
                    deadline_ms: self.deadline_ms,
                    recorder: Arc::clone(&self.recorder),
                };
                let crowd = CrowdSize { half: *half, unread: *unread, idle: *idle };
                gathering.hold(crowd, Duration::from_millis(*for_ms));
            }
            _ => {}
        }
    }

    /// An executor has left: it is listed so, and gone a little later.
    fn leave(&self, executor: usize) {
        let Some(entry) = self.executor_list.entry(executor) else { return };
        self.executor_list.set_status(executor, Status::Left);
        std::thread::sleep(GONE_AFTER);
        self.executors.get(executor).end(entry.address);
    }

    fn replace(&self, executor: usize, same_name: bool) {
        let Some(old) = self.executor_list.entry(executor) else { return };
        if old.status != Status::Active {
            return;
        }
        let new = self.executors.add(Location { zone: old.zone, group: old.group });
        let index = new.index;
        let address = self.network.executor(executor, u16::try_from(index % 1_000).unwrap_or(0));
        if new.listen(address).is_err() {
            return;
        }
        if same_name {
            self.executor_list.replaced(executor, index, address, monotonic());
        } else {
            let entry = Entry::new(index, format!("e{index}"), address, old.zone, old.group);
            self.executor_list.add(entry, Some(monotonic()));
            self.executor_list.set_status(executor, Status::Left);
        }
        std::thread::sleep(GONE_AFTER);
        self.executors.get(executor).end(old.address);
    }

    fn restart(&self, executor: usize, down_ms: u64) {
        let Some(entry) = self.executor_list.entry(executor) else { return };
        let own = self.executors.get(executor);
        own.end(entry.address);
        std::thread::sleep(Duration::from_millis(down_ms));
        // Its listener may still be closing.
        let begun = Instant::now();
        while own.listen(entry.address).is_err() && begun.elapsed() < GONE_AFTER {
            std::thread::sleep(Duration::from_millis(10));
        }
        if entry.status == Status::Active {
            self.executor_list.restarted(executor, monotonic());
        }
    }
}
