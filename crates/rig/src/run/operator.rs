//! An operator's commands, run with the program itself.

use std::fs;
use std::io;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use linestack_history::{HistoryEvent, Line};
use serde_json::Value;

use super::Rig;
use crate::monotonic_nanos;
use crate::plan::Step;
use crate::process::PROCESS_TIMEOUT;

/// The delay before a replacement that was not granted is requested again.
const REPLACEMENT_RETRY: Duration = Duration::from_millis(50);

impl Rig<'_> {
    /// Returns a `linestack fleet` command that addresses all coordinators.
    fn fleet_command(&self) -> Command {
        let mut command = Command::new(&self.program);
        let coordinators = self.coordinators_for("o").join(",");
        command.args(["fleet", "--fleet", &self.fleet_name, "--json", "--coordinators", &coordinators]);
        command
    }

    /// Proposes a change of the policy without waiting for its outcome.
    pub(super) fn propose(&mut self, step: &Step) -> io::Result<()> {
        let path = self.folder.join(format!("change-{}.json", step.request));
        fs::write(&path, self.policy(step.policy).to_string())?;
        let mut command = self.fleet_command();
        command.arg("propose").arg(&path);
        command.args(["--base", &step.base.to_string(), "--request", &step.request]);
        if step.all {
            command.arg("--all");
        }
        if step.give_up_ms > 0 {
            command.args(["--give-up-ms", &step.give_up_ms.to_string()]);
        }
        self.record_action("propose", &step.request);
        self.run_operator(command, step.request.clone());
        Ok(())
    }

    /// Aborts a change without waiting for the outcome.
    pub(super) fn abort(&mut self, step: &Step) {
        let mut command = self.fleet_command();
        command.args(["abort", &step.request]);
        self.record_action("abort", &step.request);
        self.run_operator(command, format!("abort of {}", step.request));
    }

    /// Runs a command in a thread, and records the outcome that the operator received.
    fn run_operator(&mut self, mut command: Command, request: String) {
        let history = self.history.clone();
        self.operators.push(std::thread::spawn(move || {
            let outcome = outcome_of(command.output());
            let what = HistoryEvent::Heard { request, outcome };
            let _ = history.send(Line::new(monotonic_nanos(), "operator", 0, what));
        }));
    }

    /// Requests a replacement for a coordinator's number, and returns the number of the replacement.
    pub(super) fn request_replacement(&self, number: &str) -> io::Result<u64> {
        let begin = Instant::now();
        loop {
            let output = self.fleet_command().args(["replace", number]).output()?;
            let reply: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            if let Some(replacement) = reply["replacement"].as_u64() {
                return Ok(replacement);
            }
            // The request may fail because the old coordinator was heard from recently.
            if begin.elapsed() > PROCESS_TIMEOUT {
                return Err(io::Error::other(format!("coordinator {number} was not replaced: {reply}")));
            }
            std::thread::sleep(REPLACEMENT_RETRY);
        }
    }

    /// Founds the fleet anew from one coordinator's store, as an operator does when the others have lost theirs.
    pub(super) fn refound(&mut self, from: &str) -> io::Result<()> {
        let names: Vec<String> = (0..self.plan.coordinators).map(|c| format!("c{c}")).collect();
        let lost: Vec<&String> = names.iter().filter(|name| *name != from).collect();
        let numbers: Vec<&str> = lost.iter().map(|name| name.trim_start_matches('c')).collect();
        let foundation = self.folder.join("foundation");
        let file = self.folder.join(from).join("coordinator.toml");
        self.record_action("refound", from);
        let mut command = Command::new(&self.program);
        command.arg("coordinate").arg(file).arg("--refound").arg(&foundation);
        let output = command.args(["--lost", &numbers.join(",")]).output()?;
        if !output.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
        }
        for name in lost {
            let process = self.process(name)?;
            fs::remove_dir_all(process.store_folder())?;
            process.next_start_arguments = vec!["--refounded".into(), foundation.display().to_string()];
            self.record_action("start-empty", name);
        }
        self.record_action("start", from);
        self.start(&names)
    }
}

/// Returns the outcome that a `linestack fleet` command reported by its exit code.
fn outcome_of(output: io::Result<Output>) -> String {
    let output = match output {
        Ok(output) => output,
        Err(error) => return format!("failed: {error}"),
    };
    match output.status.code() {
        Some(0) => "decided".to_owned(),
        Some(3) => "refused".to_owned(),
        Some(4) => "dropped".to_owned(),
        Some(5) => "unknown".to_owned(),
        code => format!("failed with {code:?}: {}", String::from_utf8_lossy(&output.stderr)),
    }
}
