//! What a step does to links, executors and processes.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use linestack_history::{HistoryEvent, Line};
use rustix::process::Signal;
use serde_json::Value;

use super::Rig;
use super::setup::{EarlierStore, outcome_store_of};
use crate::link::{FrameFault, Link};
use crate::monotonic_nanos;
use crate::plan::{Action, DOWN, LEADER, Step, name_matches};
use crate::process::{PROCESS_TIMEOUT, Process, copy_folder};

/// The environment variable with a fault for a process to inject; only test builds read it.
const FAULT_VARIABLE: &str = "LINESTACK_FAULT";

/// A number that no kind of frame has.
const NO_FRAME_KIND: u8 = u8::MAX;

impl Rig<'_> {
    /// Carries out the action of a step.
    pub(super) fn carry_out(&mut self, step: &Step) -> io::Result<()> {
        match step.action {
            action if action.targets_links() => self.act_on_links(step),
            action if action.targets_executors() => self.act_on_executors(step),
            Action::Overbook => self.set_list_delay(step),
            Action::Abort => self.abort(step),
            Action::Propose => return self.propose(step),
            Action::Swap => return self.swap_stores(&step.to),
            Action::Refound => return self.refound(&step.to[0]),
            _ => return self.act_on_processes(step),
        }
        Ok(())
    }

    /// Records an action and its target in the history.
    pub(super) fn record_action(&self, action: &str, to: &str) {
        self.record("rig", HistoryEvent::Did { deed: action.to_owned(), to: to.to_owned() });
    }

    /// Records an event in the history under the name of a process.
    pub(super) fn record(&self, by: &str, what: HistoryEvent) {
        let _ = self.history.send(Line::new(monotonic_nanos(), by, 0, what));
    }

    fn act_on_links(&self, step: &Step) {
        for (name, link) in &self.links {
            if step.to.iter().any(|to| name_matches(to, name)) {
                self.record_action(&name_of(step.action), name);
                act_on_link(step, link);
            }
        }
    }

    /// Sets the time that discovery takes for each request for the list.
    fn set_list_delay(&self, step: &Step) {
        self.record_action(&name_of(Action::Overbook), "d");
        self.stand_ins.set_list_delay(Duration::from_millis(step.ms));
    }

    fn act_on_executors(&self, step: &Step) {
        for index in 0..self.plan.executors as usize {
            let name = format!("e{index}");
            if !step.to.iter().any(|to| name_matches(to, &name)) {
                continue;
            }
            self.record_action(&name_of(step.action), &name);
            if step.action == Action::Renew {
                self.renew_executor(index, &name);
            } else if let Some(kind) = step.executor_fault() {
                self.stand_ins.set_executor_fault(index, kind, step.size, step.action == Action::Ail);
            }
        }
    }

    /// Replaces an executor by a cold one and resets its connections.
    fn renew_executor(&self, index: usize, name: &str) {
        self.stand_ins.replace_executor(index);
        let pattern = format!("*>{name}");
        let links = self.links.iter().filter(|(link, _)| name_matches(&pattern, link));
        links.for_each(|(_, link)| link.reset());
    }

    fn act_on_processes(&mut self, step: &Step) -> io::Result<()> {
        let names = self.target_processes(step);
        // An action applies to all its targets as nearly at once as possible, so the processes are started together
        // below.
        for name in &names {
            // An action that takes effect at once is recorded first, so that its effects never precede it in the
            // history.
            let recorded_first = matches!(step.action, Action::Kill | Action::Pause | Action::Stop);
            if recorded_first {
                self.record_action(&name_of(step.action), name);
            }
            self.act_on_process(step, name)?;
            if !recorded_first {
                self.record_action(&name_of(step.action), name);
            }
        }
        if !is_start(step.action) {
            return Ok(());
        }
        if step.action == Action::StartEmpty && self.plan.store {
            self.init_lost_stores(&names)?;
        }
        if step.expect_failure { self.start_expecting_failure(&names) } else { self.start(&names) }
    }

    /// Returns the processes that a step targets. A start skips processes that already run.
    fn target_processes(&self, step: &Step) -> Vec<String> {
        let resolve = |to: &String| if to == LEADER { self.leader() } else { to.clone() };
        let to: Vec<String> = step.to.iter().map(resolve).collect();
        let is_target = |name: &str, process: &Process| {
            to.iter().any(|to| name_matches(to, name) || (to == DOWN && !process.is_running()))
        };
        let wanted = |process: &Process| !is_start(step.action) || !process.is_running();
        let processes = self.processes.iter();
        processes.filter(|(n, p)| is_target(n, p) && wanted(p)).map(|(n, _)| n.clone()).collect()
    }

    fn act_on_process(&mut self, step: &Step, name: &str) -> io::Result<()> {
        match step.action {
            Action::Kill => {
                // The port is free once the process has ended, and any other process may get it.
                self.clear_address(name);
                self.process(name)?.kill()
            }
            Action::Pause => self.process(name)?.set_paused(true),
            Action::Resume => self.process(name)?.set_paused(false),
            Action::Stop => {
                stop(self.process(name)?)?;
                self.clear_address(name);
                Ok(())
            }
            Action::Copy => copy_store(self.process(name)?),
            Action::Replace => self.replace(name),
            Action::Gone => {
                wait_until_failed(self.process(name)?)?;
                self.clear_address(name);
                Ok(())
            }
            Action::Start | Action::StartEmpty | Action::StartOlder | Action::StartRolledBack => {
                prepare_start(step, self.process(name)?)
            }
            Action::Terms => self.change_node_file(name, step.policy),
            _ => Ok(()),
        }
    }

    /// Has the coordinators give a coordinator's number to a replacement with an empty store, and prepares its start.
    fn replace(&mut self, name: &str) -> io::Result<()> {
        let replacement = self.request_replacement(name.trim_start_matches('c'))?;
        let process = self.process(name)?;
        fs::remove_dir_all(process.store_folder())?;
        process.next_start_arguments = vec!["--replacement".into(), replacement.to_string()];
        Ok(())
    }

    /// Writes another policy into a node's own file, and sends SIGHUP to the node if it runs.
    fn change_node_file(&mut self, name: &str, number: u64) -> io::Result<()> {
        let mut settings = self.policy(number);
        let process = self.process(name)?;
        let path = process.folder.join("node.json");
        let mut file: Value = serde_json::from_slice(&fs::read(&path)?)?;
        settings["az"] = file["settings"]["az"].clone();
        file["settings"] = settings;
        fs::write(&path, file.to_string())?;
        self.file_policies.insert(name.to_owned(), number);
        let process = self.process(name)?;
        if process.is_running() { process.signal(Signal::HUP) } else { Ok(()) }
    }

    /// Creates new stores, which record that an earlier store was lost, for nodes that start with an empty one.
    fn init_lost_stores(&self, names: &[String]) -> io::Result<()> {
        for name in names.iter().filter(|name| name.starts_with('n')) {
            self.init_store(&outcome_store_of(&self.processes[name]), EarlierStore::Lost)?;
        }
        Ok(())
    }

    /// Swaps the stores of two processes that do not run.
    fn swap_stores(&self, to: &[String]) -> io::Result<()> {
        let [a, b] = to else { return Err(io::Error::other("a swap needs exactly two processes")) };
        let store =
            |name: &String| self.processes.get(name).filter(|p| !p.is_running()).map(Process::store_folder);
        let (Some(a), Some(b)) = (store(a), store(b)) else {
            return Err(io::Error::other("a swap needs two processes that do not run"));
        };
        let temporary = a.with_file_name("swapped");
        fs::rename(&a, &temporary)?;
        fs::rename(&b, &a)?;
        fs::rename(&temporary, &b)
    }
}

/// Returns the name of an action in plans and histories.
fn name_of(action: Action) -> String {
    let value = serde_json::to_value(action).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn is_start(action: Action) -> bool {
    matches!(
        action,
        Action::Start | Action::StartEmpty | Action::StartOlder | Action::StartRolledBack | Action::Replace
    )
}

fn act_on_link(step: &Step, link: &Link) {
    let kind = step.target_frame_kind().unwrap_or(NO_FRAME_KIND);
    match step.action {
        Action::Cut => link.cut(&step.directions),
        Action::Heal => link.heal(),
        Action::Delay => link.delay(&step.directions, Duration::from_millis(step.ms)),
        Action::Throttle => link.throttle(&step.directions, step.bytes),
        Action::Reset => link.reset(),
        Action::CutAt => link.fail_next_frame(step.direction, kind, FrameFault::CutAt(step.bytes as usize)),
        Action::Repeat => link.fail_next_frame(step.direction, kind, FrameFault::Repeat),
        Action::Hold => link.fail_next_frame(step.direction, kind, FrameFault::Hold),
        Action::Release => link.release(),
        _ => {}
    }
}

/// Sends SIGTERM to a process and waits until it has ended with exit code 0.
fn stop(process: &mut Process) -> io::Result<()> {
    process.signal(Signal::TERM)?;
    if process.wait_or_kill(PROCESS_TIMEOUT)?.is_some_and(|status| status.success()) {
        return Ok(());
    }
    Err(io::Error::other(format!("{} did not exit with code 0 after SIGTERM", process.name)))
}

/// Waits until a process has ended by itself with an exit code other than 0.
fn wait_until_failed(process: &mut Process) -> io::Result<()> {
    if process.wait_or_kill(PROCESS_TIMEOUT)?.is_some_and(|status| !status.success()) {
        return Ok(());
    }
    Err(io::Error::other(format!("{} did not exit by itself with a failure", process.name)))
}

/// Returns the path of the copy of a process's store.
fn copy_of_store(process: &Process) -> PathBuf {
    process.folder.join("older")
}

fn copy_store(process: &Process) -> io::Result<()> {
    let older = copy_of_store(process);
    let _ = fs::remove_dir_all(&older);
    copy_folder(&process.store_folder(), &older)
}

/// Prepares the store and the injected fault for the start of a process.
fn prepare_start(step: &Step, process: &mut Process) -> io::Result<()> {
    if matches!(step.action, Action::StartEmpty | Action::StartOlder) {
        fs::remove_dir_all(process.store_folder())?;
    }
    if matches!(step.action, Action::StartOlder | Action::StartRolledBack) {
        copy_folder(&copy_of_store(process), &process.store_folder())?;
    }
    process.variables.retain(|(key, _)| key != FAULT_VARIABLE);
    if !step.fault.is_empty() {
        process.variables.push((FAULT_VARIABLE.into(), step.fault.clone()));
    }
    Ok(())
}
