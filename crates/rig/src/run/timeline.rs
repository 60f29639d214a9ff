//! Carries out the plan's steps in order: each waits for its event, and then its action is carried out.

use std::io;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use linestack_history::HistoryEvent;

use super::observations::{AwaitedFrames, SeenLine, StepObservations};
use super::{POLL_INTERVAL, Rig, leads_to};
use crate::monotonic_nanos;
use crate::plan::{Step, name_matches};
use crate::process::PROCESS_TIMEOUT;

/// The log message of a node without coordinators when it adopts other settings.
const SETTINGS_ADOPTED_MESSAGE: &str = "settings taken over";

impl Rig<'_> {
    /// Carries out all steps, continues the load for the plan's tail, and returns the time at which each step was
    /// completed.
    pub(super) fn run_steps(&mut self) -> io::Result<Vec<u64>> {
        let plan = self.plan;
        let mut done_at = Vec::new();
        for step in &plan.steps {
            self.wait_for(step)?;
            let result = self.carry_out(step);
            self.observations.step_done();
            result?;
            done_at.push(monotonic_nanos());
        }
        self.observe_for(Duration::from_millis(plan.tail_ms))?;
        Ok(done_at)
    }

    /// Waits for the event of a step, and then for its delay.
    fn wait_for(&mut self, step: &Step) -> io::Result<()> {
        if let Some(kind) = step.frame.as_deref().and_then(linestack_frames::kind_number) {
            let link = step.link.clone().unwrap_or_else(|| "*>*".into());
            self.observations.await_frames(AwaitedFrames {
                link,
                direction: step.direction,
                kind,
                count: step.count,
            });
        }
        let begin = Instant::now();
        loop {
            self.observe()?;
            if self.observations.with(|observed| has_occurred(step, observed)) {
                break;
            }
            if begin.elapsed() > PROCESS_TIMEOUT {
                let awaited = step.line.as_ref().or(step.log.as_ref()).or(step.frame.as_ref());
                return Err(io::Error::other(format!(
                    "the step {:?} waited in vain for {:?}",
                    step.action, awaited
                )));
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

    /// Counts connections, and reads the new lines of logs and histories.
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
        for (counter, prefix) in counters {
            let links =
                self.links.iter().filter(|(name, _)| leads_to(name, |target| target.starts_with(prefix)));
            counter.store(links.map(|(_, link)| link.connections_made()).sum(), Ordering::Relaxed);
        }
    }

    fn read_log(&mut self, name: &str) -> io::Result<()> {
        for text in self.log_tails.new_lines(&self.processes[name].log_file())? {
            // Nodes without coordinators have no history: only their log shows that they adopt other settings.
            if self.plan.coordinators == 0 && text.contains(SETTINGS_ADOPTED_MESSAGE) {
                self.record_active_policy(name);
            }
            let line = SeenLine { process: name.to_owned(), text };
            self.observations.with(|observed| observed.logs.push(line));
        }
        Ok(())
    }

    fn read_history(&mut self, name: &str) -> io::Result<()> {
        for line in self.log_tails.new_lines(&self.processes[name].folder.join("history"))? {
            let line = SeenLine { process: name.to_owned(), text: kind_of(&line).to_owned() };
            self.observations.with(|observed| observed.history.push(line));
        }
        Ok(())
    }

    /// Records in the history that a node applies the settings of its own file.
    pub(super) fn record_active_policy(&self, name: &str) {
        let version = self.file_policies.get(name).copied().unwrap_or(1);
        self.record(name, HistoryEvent::Active { version, digest: 0 });
    }
}

/// Returns whether the event of a step has occurred. A step without an event need not wait.
fn has_occurred(step: &Step, observed: &StepObservations) -> bool {
    let is_by_process = |line: &&SeenLine| step.by.as_ref().is_none_or(|by| name_matches(by, &line.process));
    if let Some(kind) = &step.line {
        let lines = observed.history.iter().filter(is_by_process);
        return lines.filter(|line| line.text == *kind).count() as u64 >= step.count;
    }
    if let Some(text) = &step.log {
        let lines = observed.logs.iter().filter(is_by_process);
        return lines.filter(|line| line.text.contains(text.as_str())).count() as u64 >= step.count;
    }
    step.frame.is_none() || observed.awaited_frames_passed()
}

/// Returns the kind of a history line; empty if it has none.
fn kind_of(line: &str) -> &str {
    let kind = line.split_once("\"what\":\"").and_then(|(_, rest)| rest.split_once('"'));
    kind.map_or("", |(kind, _)| kind)
}
