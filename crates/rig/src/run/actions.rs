//! What a step does to links, executors and processes.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use linestack_history::{HistoryEvent, Line};
use rustix::process::Signal;
use serde_json::Value;

use super::Rig;
use super::setup::{Earlier, store_of};
use crate::link::{FrameFault, Link};
use crate::monotonic;
use crate::plan::{DOWN, Deed, SPEAKER, Step, meant};
use crate::process::{PATIENCE, Process, copy};

/// The variable that names a fault to a process; test builds alone know it.
const FAULT_VARIABLE: &str = "LINESTACK_FAULT";

/// No kind of frame.
const NO_FRAME_KIND: u8 = u8::MAX;

impl Rig<'_> {
    /// Does what a step says.
    pub(super) fn carry_out(&mut self, step: &Step) -> io::Result<()> {
        match step.r#do {
            deed if deed.on_ways() => self.act_on_links(step),
            deed if deed.on_executors() => self.act_on_executors(step),
            Deed::Overbook => self.overbook(step),
            Deed::Abort => self.abort(step),
            Deed::Propose => return self.propose(step),
            Deed::Swap => return self.swap_stores(&step.to),
            Deed::Refound => return self.refound(&step.to[0]),
            _ => return self.act_on_processes(step),
        }
        Ok(())
    }

    /// Writes into the history what was done to whom.
    pub(super) fn note(&self, deed: &str, to: &str) {
        self.write("rig", HistoryEvent::Did { deed: deed.to_owned(), to: to.to_owned() });
    }

    /// Writes a line into the history in the name of a process.
    pub(super) fn write(&self, by: &str, what: HistoryEvent) {
        let _ = self.history.send(Line::new(monotonic(), by, 0, what));
    }

    fn act_on_links(&self, step: &Step) {
        for (name, link) in &self.links {
            if step.to.iter().any(|to| meant(to, name)) {
                self.note(&name_of(step.r#do), name);
                act_on_link(step, link);
            }
        }
    }

    /// Each call for the list takes the step's time from now on.
    fn overbook(&self, step: &Step) {
        self.note(&name_of(Deed::Overbook), "d");
        self.fleet.overbook(Duration::from_millis(step.ms));
    }

    fn act_on_executors(&self, step: &Step) {
        for place in 0..self.plan.executors as usize {
            let name = format!("e{place}");
            if !step.to.iter().any(|to| meant(to, &name)) {
                continue;
            }
            self.note(&name_of(step.r#do), &name);
            if step.r#do == Deed::Renew {
                self.renew_executor(place, &name);
            } else if let Some(kind) = step.trouble() {
                self.fleet.ail(place, kind, step.size, step.r#do == Deed::Ail);
            }
        }
    }

    /// An executor is another from now on, cold, and its connections are broken.
    fn renew_executor(&self, place: usize, name: &str) {
        self.fleet.renew(place);
        let pattern = format!("*>{name}");
        let links = self.links.iter().filter(|(link, _)| meant(&pattern, link));
        links.for_each(|(_, link)| link.reset());
    }

    fn act_on_processes(&mut self, step: &Step) -> io::Result<()> {
        let names = self.processes_meant(step);
        // What is done to many is done to all of them at once, as far as that can be.
        for name in &names {
            // What takes effect at once is noted before, so that nothing seen after it comes earlier.
            let noted_first = matches!(step.r#do, Deed::Kill | Deed::Pause | Deed::Stop);
            if noted_first {
                self.note(&name_of(step.r#do), name);
            }
            self.act_on_process(step, name)?;
            if !noted_first {
                self.note(&name_of(step.r#do), name);
            }
        }
        if !is_start(step.r#do) {
            return Ok(());
        }
        if step.r#do == Deed::StartEmpty && self.plan.store {
            self.init_lost_stores(&names)?;
        }
        if step.refused { self.start_refused(&names) } else { self.start(&names) }
    }

    /// The processes that a step is done to. Those that run need no start.
    fn processes_meant(&self, step: &Step) -> Vec<String> {
        let speaker = |to: &String| if to == SPEAKER { self.speaker() } else { to.clone() };
        let to: Vec<String> = step.to.iter().map(speaker).collect();
        let is_meant = |name: &str, process: &Process| {
            to.iter().any(|to| meant(to, name) || (to == DOWN && !process.running()))
        };
        let wanted = |process: &Process| !is_start(step.r#do) || !process.running();
        let processes = self.processes.iter();
        processes.filter(|(n, p)| is_meant(n, p) && wanted(p)).map(|(n, _)| n.clone()).collect()
    }

    fn act_on_process(&mut self, step: &Step, name: &str) -> io::Result<()> {
        match step.r#do {
            Deed::Kill => self.process(name)?.kill(),
            Deed::Pause => self.process(name)?.pause(true),
            Deed::Resume => self.process(name)?.pause(false),
            Deed::Stop => stop(self.process(name)?),
            Deed::Copy => copy_store(self.process(name)?),
            Deed::Replace => self.replace(name),
            Deed::Gone => wait_until_failed(self.process(name)?),
            Deed::Start | Deed::StartEmpty | Deed::StartOlder | Deed::StartRolledBack => {
                prepare_start(step, self.process(name)?)
            }
            Deed::Terms => self.change_file(name, step.terms),
            _ => Ok(()),
        }
    }

    /// Another with an empty store gets a coordinator's number, and will be started instead.
    fn replace(&mut self, name: &str) -> io::Result<()> {
        let replacement = self.request_replacement(name.trim_start_matches('c'))?;
        let process = self.process(name)?;
        fs::remove_dir_all(process.store())?;
        process.once = vec!["--replacement".into(), replacement.to_string()];
        Ok(())
    }

    /// Other settings stand in a node's own file; it is told so if it runs.
    fn change_file(&mut self, name: &str, number: u64) -> io::Result<()> {
        let mut settings = self.policy(number);
        let process = self.process(name)?;
        let path = process.folder.join("node.json");
        let mut file: Value = serde_json::from_slice(&fs::read(&path)?)?;
        settings["az"] = file["settings"]["az"].clone();
        file["settings"] = settings;
        fs::write(&path, file.to_string())?;
        self.file_policies.insert(name.to_owned(), number);
        let process = self.process(name)?;
        if process.running() { process.signal(Signal::HUP) } else { Ok(()) }
    }

    /// Nodes that start with nothing stored have new stores, which know that earlier ones are lost.
    fn init_lost_stores(&self, names: &[String]) -> io::Result<()> {
        for name in names.iter().filter(|name| name.starts_with('n')) {
            self.init_store(&store_of(&self.processes[name]), Earlier::Lost)?;
        }
        Ok(())
    }

    /// What two processes that do not run have stored changes places.
    fn swap_stores(&self, to: &[String]) -> io::Result<()> {
        let [a, b] = to else { return Err(io::Error::other("two change places")) };
        let store = |name: &String| self.processes.get(name).filter(|p| !p.running()).map(Process::store);
        let (Some(a), Some(b)) = (store(a), store(b)) else { return Err(io::Error::other("both are down")) };
        let aside = a.with_file_name("swapped");
        fs::rename(&a, &aside)?;
        fs::rename(&b, &a)?;
        fs::rename(&aside, &b)
    }
}

/// A deed's name, as plans and histories have it.
fn name_of(deed: Deed) -> String {
    let value = serde_json::to_value(deed).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn is_start(deed: Deed) -> bool {
    matches!(deed, Deed::Start | Deed::StartEmpty | Deed::StartOlder | Deed::StartRolledBack | Deed::Replace)
}

fn act_on_link(step: &Step, link: &Link) {
    let kind = step.frame_for().unwrap_or(NO_FRAME_KIND);
    match step.r#do {
        Deed::Cut => link.cut(&step.sides),
        Deed::Heal => link.heal(),
        Deed::Delay => link.delay(&step.sides, Duration::from_millis(step.ms)),
        Deed::Throttle => link.throttle(&step.sides, step.bytes),
        Deed::Reset => link.reset(),
        Deed::CutAt => link.fail_next_frame(step.side, kind, FrameFault::CutAt(step.bytes as usize)),
        Deed::Repeat => link.fail_next_frame(step.side, kind, FrameFault::Repeat),
        Deed::Hold => link.fail_next_frame(step.side, kind, FrameFault::Hold),
        Deed::Release => link.release(),
        _ => {}
    }
}

/// Tells a process to stop, and waits until it has ended well.
fn stop(process: &mut Process) -> io::Result<()> {
    process.signal(Signal::TERM)?;
    if process.wait(PATIENCE)?.is_some_and(|status| status.success()) {
        return Ok(());
    }
    Err(io::Error::other(format!("{} did not end with 0", process.name)))
}

/// Waits until a process has ended by itself, and not well.
fn wait_until_failed(process: &mut Process) -> io::Result<()> {
    if process.wait(PATIENCE)?.is_some_and(|status| !status.success()) {
        return Ok(());
    }
    Err(io::Error::other(format!("{} did not end by itself", process.name)))
}

/// Where the copy of a process's store is.
fn copy_of_store(process: &Process) -> PathBuf {
    process.folder.join("older")
}

fn copy_store(process: &Process) -> io::Result<()> {
    let older = copy_of_store(process);
    let _ = fs::remove_dir_all(&older);
    copy(&process.store(), &older)
}

/// Puts what a process is started with into its place.
fn prepare_start(step: &Step, process: &mut Process) -> io::Result<()> {
    if matches!(step.r#do, Deed::StartEmpty | Deed::StartOlder) {
        fs::remove_dir_all(process.store())?;
    }
    if matches!(step.r#do, Deed::StartOlder | Deed::StartRolledBack) {
        copy(&copy_of_store(process), &process.store())?;
    }
    process.variables.retain(|(key, _)| key != FAULT_VARIABLE);
    if !step.fault.is_empty() {
        process.variables.push((FAULT_VARIABLE.into(), step.fault.clone()));
    }
    Ok(())
}
