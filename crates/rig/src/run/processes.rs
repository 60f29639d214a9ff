//! Starts and ends processes, and sets the targets of links to those that run.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::{POLL_INTERVAL, Rig, leads_to};
use crate::process::{PROCESS_TIMEOUT, Process};

/// The time limit of a health check; a node that does not answer in time is unhealthy.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

impl Rig<'_> {
    /// Returns a process of the plan by its name.
    pub(super) fn process(&mut self, name: &str) -> io::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("the plan has no process {name}")))
    }

    /// Starts processes, then waits until each listens. If one fails, the others still run.
    pub(super) fn start(&mut self, names: &[String]) -> io::Result<()> {
        let failed = self.start_some(names)?;
        if failed.is_empty() { Ok(()) } else { Err(io::Error::other(failed.join("; "))) }
    }

    /// Starts processes, all of which are expected to fail before they listen.
    pub(super) fn start_expecting_failure(&mut self, names: &[String]) -> io::Result<()> {
        let failed = self.start_some(names)?;
        if failed.len() == names.len() {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "all of {names:?} should fail to start, but only these did: {failed:?}"
        )))
    }

    /// Starts processes, and returns the errors of those that failed.
    fn start_some(&mut self, names: &[String]) -> io::Result<Vec<String>> {
        let mut started = Vec::new();
        for name in names {
            let process = self.process(name)?;
            let log_length = fs::metadata(process.log_file()).map_or(0, |m| m.len());
            process.start()?;
            // A process that ended by itself may still have the address of its previous run.
            self.set_address(name, None);
            started.push((name, log_length));
        }
        let mut failed = Vec::new();
        for (name, log_length) in started {
            match self.process(name)?.wait_until_listening(log_length) {
                Ok(address) => self.process_listens(name, address, log_length),
                Err(error) => failed.push(error.to_string()),
            }
        }
        Ok(failed)
    }

    /// A process listens: sets its address as the target of the links to it.
    fn process_listens(&mut self, name: &str, address: SocketAddr, log_length: u64) {
        self.set_address(name, Some(address));
        self.set_peer_address(name, log_length);
        if self.plan.coordinators == 0 {
            self.record_active_policy(name);
        }
    }

    /// Records the address of a process, or that it has none, and makes it the target of all links to the process.
    fn set_address(&mut self, name: &str, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.addresses.insert(name.to_owned(), address),
            None => self.addresses.remove(name),
        };
        self.set_targets(name, address);
    }

    /// Has all links to a process refuse connections, since it listens no more.
    pub(super) fn clear_address(&mut self, name: &str) {
        self.set_address(name, None);
        self.set_targets(&peer_name(name), None);
    }

    /// Sets the target of other nodes' links to the address for peers that a node logged, or to none.
    fn set_peer_address(&self, name: &str, log_length: u64) {
        let value = self.processes[name].log_value("peers_at=", log_length);
        let address = value.and_then(|address| address.parse().ok());
        self.set_targets(&peer_name(name), address);
    }

    fn set_targets(&self, target: &str, address: Option<SocketAddr>) {
        let links = self.links.iter().filter(|(name, _)| leads_to(name, |other| other == target));
        links.for_each(|(_, link)| link.set_target(address));
    }

    /// Waits until every node reports that it is healthy.
    pub(super) fn wait_until_serving(&self) -> io::Result<()> {
        let begin = Instant::now();
        for number in 0..self.plan.nodes {
            let name = format!("n{number}");
            while !self.is_healthy(&name) {
                if begin.elapsed() > PROCESS_TIMEOUT {
                    return Err(io::Error::other(format!("{name} is not healthy")));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    pub(super) fn is_healthy(&self, name: &str) -> bool {
        let Some(address) = self.addresses.get(name) else { return false };
        crate::http::get_status(*address, "/healthz", HEALTH_TIMEOUT).is_ok_and(|status| status == 200)
    }

    /// Waits for the operators' commands and, if there are coordinators, until the nodes have settled. Then stops all
    /// processes, nodes first. Returns the faults: nodes that did not settle, processes that had ended by themselves, and
    /// processes that did not end cleanly.
    pub(super) fn stop_all(&mut self) -> io::Result<Vec<String>> {
        let mut faults = Vec::new();
        for operator in self.operators.drain(..) {
            let _ = operator.join();
        }
        if self.plan.coordinators > 0 {
            faults.extend(self.wait_until_settled());
        }
        let names = self.plan.processes();
        for name in &names {
            faults.extend(self.request_stop(name)?);
        }
        for name in &names {
            faults.extend(self.wait_until_stopped(name)?);
        }
        Ok(faults)
    }

    /// Sends SIGTERM to a process. Returns a fault if the process had ended by itself.
    fn request_stop(&mut self, name: &str) -> io::Result<Option<String>> {
        let Some(process) = self.processes.get_mut(name) else { return Ok(None) };
        if process.paused {
            process.set_paused(false)?;
        }
        if let Some(status) = process.poll_exit()? {
            return Ok(Some(format!("{name} ended by itself: {status}")));
        }
        if process.is_running() {
            process.signal(Signal::TERM)?;
        }
        Ok(None)
    }

    /// Waits for a process to stop. Returns a fault if it does not end in time with exit code 0.
    fn wait_until_stopped(&mut self, name: &str) -> io::Result<Option<String>> {
        let Some(process) = self.processes.get_mut(name) else { return Ok(None) };
        if !process.is_running() {
            return Ok(None);
        }
        match process.wait_or_kill(PROCESS_TIMEOUT)? {
            Some(status) if status.success() => Ok(None),
            other => Ok(Some(format!("{name} was told to stop: {other:?}"))),
        }
    }
}

/// Returns the name, in links, of the address at which a node listens for its peers.
fn peer_name(node: &str) -> String {
    format!("p{}", node.trim_start_matches('n'))
}
