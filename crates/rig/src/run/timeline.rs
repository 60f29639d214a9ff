//! The plan's steps, one after the other: each waits for what it names, and is then done.

use std::io;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use linestack_history::HistoryEvent;

use super::observations::{AwaitedFrames, Seen, SeenLine};
use super::{POLL_INTERVAL, Rig, leads_to};
use crate::monotonic;
use crate::plan::{Step, meant};
use crate::process::PATIENCE;

/// What a node without coordinators logs when it goes by other settings.
const SETTINGS_TAKEN_OVER: &str = "settings taken over";

impl Rig<'_> {
    /// Does all steps, lets the load go on for the plan's tail, and returns when each step was done.
    pub(super) fn play_steps(&mut self) -> io::Result<Vec<u64>> {
        let plan = self.plan;
        let mut done = Vec::new();
        for step in &plan.steps {
            self.wait_for(step)?;
            let result = self.carry_out(step);
            self.observations.step_done();
            result?;
            done.push(monotonic());
        }
        self.observe_for(Duration::from_millis(plan.tail_ms))?;
        Ok(done)
    }

    /// Waits for what a step names, and then for its pace.
    fn wait_for(&mut self, step: &Step) -> io::Result<()> {
        if let Some(kind) = step.frame.as_deref().and_then(linestack_frames::kind_number) {
            let link = step.way.clone().unwrap_or_else(|| "*>*".into());
            self.observations.await_frames(AwaitedFrames { link, side: step.side, kind, count: step.count });
        }
        let begin = Instant::now();
        loop {
            self.observe()?;
            if self.observations.with(|seen| has_come(step, seen)) {
                break;
            }
            if begin.elapsed() > PATIENCE {
                let what = step.line.as_ref().or(step.log.as_ref()).or(step.frame.as_ref());
                return Err(io::Error::other(format!("{:?} never came for {:?}", what, step.r#do)));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.observe_for(Duration::from_millis(step.after_ms))
    }

    fn observe_for(&mut self, span: Duration) -> io::Result<()> {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.observe()?;
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Counts connections, and reads what logs and histories have grown by.
    fn observe(&mut self) -> io::Result<()> {
        self.count_connections();
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            self.read_log(&name)?;
            self.read_history(&name)?;
        }
        Ok(())
    }

    fn count_connections(&self) {
        let opened = &self.opened;
        let counters = [(&opened.to_nodes, "n"), (&opened.to_executors, "e"), (&opened.to_coordinators, "c")];
        for (counter, start) in counters {
            let links = self.links.iter().filter(|(name, _)| leads_to(name, |end| end.starts_with(start)));
            counter.store(links.map(|(_, link)| link.opened()).sum(), Ordering::Relaxed);
        }
    }

    fn read_log(&mut self, name: &str) -> io::Result<()> {
        for text in self.tails.new_lines(&self.processes[name].log())? {
            // Nodes without coordinators have no history: their log tells that they go by other settings.
            if self.plan.coordinators == 0 && text.contains(SETTINGS_TAKEN_OVER) {
                self.write_active(name);
            }
            let line = SeenLine { process: name.to_owned(), text };
            self.observations.with(|seen| seen.logs.push(line));
        }
        Ok(())
    }

    fn read_history(&mut self, name: &str) -> io::Result<()> {
        for line in self.tails.new_lines(&self.processes[name].folder.join("history"))? {
            let line = SeenLine { process: name.to_owned(), text: kind_of(&line).to_owned() };
            self.observations.with(|seen| seen.history.push(line));
        }
        Ok(())
    }

    /// Writes into the history that a node goes by the settings of its own file.
    pub(super) fn write_active(&self, name: &str) {
        let version = self.file_policies.get(name).copied().unwrap_or(1);
        self.write(name, HistoryEvent::Active { version, digest: 0 });
    }
}

/// Whether what a step waits for has come. A step that names nothing need not wait.
fn has_come(step: &Step, seen: &Seen) -> bool {
    let by_whom = |line: &&SeenLine| step.by.as_ref().is_none_or(|by| meant(by, &line.process));
    if let Some(kind) = &step.line {
        let lines = seen.history.iter().filter(by_whom);
        return lines.filter(|line| line.text == *kind).count() as u64 >= step.count;
    }
    if let Some(words) = &step.log {
        let lines = seen.logs.iter().filter(by_whom);
        return lines.filter(|line| line.text.contains(words.as_str())).count() as u64 >= step.count;
    }
    step.frame.is_none() || seen.awaited_frames_passed()
}

/// The kind that a history's line names; empty if it names none.
fn kind_of(line: &str) -> &str {
    let kind = line.split_once("\"what\":\"").and_then(|(_, rest)| rest.split_once('"'));
    kind.map_or("", |(kind, _)| kind)
}
