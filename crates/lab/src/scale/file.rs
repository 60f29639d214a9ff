//! Parses and validates scale files, which are TOML. Each error names its key, and all errors are reported together.

use std::fmt::Display;
use std::path::Path;
use std::time::Duration;

use linestack_accord::{MAX_MEMBERS, MAX_POLICY_BYTES};
use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::{Table, Value};

use super::machine::Machine;

/// Maximum number of processes that a run may have at the same time, including its own.
pub const MAX_PROCESSES: usize = 200;
/// Maximum duration of a run.
const MAX_SPAN_S: u64 = 3600;
/// Maximum number of changes to a fleet, and of lists read by a dispatching node.
const MAX_REPEATS: usize = 1000;
const MAX_SUBMISSIONS: usize = 10_000_000;
/// Maximum number of workers of a dispatching node.
const MAX_WORKERS: usize = 100_000;
/// Maximum number of jobs in hand of a dispatching node.
const MAX_IN_HAND: usize = 1_000_000;
const MIN_LEASE_MS: u64 = 100;
const MAX_LEASE_MS: u64 = 600_000;
const MIN_HOLD_MS: u64 = 20;
const MAX_IDLE_S: usize = 600;
/// Upper estimate of the memory of a member, in this process and at its coordinator.
const MEMBER_BYTES: u64 = 256 * 1024;
/// Upper estimate of the memory of a worker in a dispatching node.
const WORKER_BYTES: u64 = 16 * 1024;
/// Upper estimate of the memory of a job in hand.
const JOB_BYTES: u64 = 16 * 1024;
/// File descriptors of one session at a coordinator.
const SESSION_DESCRIPTORS: u64 = 2;
/// File descriptors of a process beside its sessions.
const OTHER_DESCRIPTORS: u64 = 64;

/// The content of a scale file: what a run measures.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleFile {
    pub name: String,
    /// Time limit of the run. When it expires, the run ends all processes that it has started, and exits.
    pub time_limit: Duration,
    pub members: Option<MembersSection>,
    pub dispatch: Option<DispatchSection>,
    pub limits: Limits,
}

/// The section `members`: fleets to measure. Each size has its own coordinators.
#[derive(Clone, Debug, PartialEq)]
pub struct MembersSection {
    /// Numbers of members, in ascending order.
    pub sizes: Vec<usize>,
    /// Number of coordinators.
    pub voters: u8,
    /// Duration of a member's lease.
    pub lease_ms: u64,
    /// How long a coordinator refuses to elect another leader after a heartbeat.
    pub hold_ms: u64,
    /// Time without a change over which the idle cost is measured.
    pub idle: Duration,
    /// Number of policy changes while all members respond.
    pub changes: usize,
    /// Number of members that fall silent just before a further change.
    pub dead: usize,
    /// Number of zones of the fleet. One of them falls silent just before a further change; 0 leaves that change out.
    pub zones: usize,
    /// Number of real nodes that are members in addition to those of each size.
    pub real_nodes: usize,
    /// Minimum size of the policy's text, which is padded with spaces.
    pub policy_bytes: usize,
}

/// The section `dispatch`: sizes of a dispatching node, whose reducer is driven directly.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSection {
    /// Numbers of workers, in ascending order.
    pub workers: Vec<usize>,
    /// Numbers of jobs in hand, in ascending order. Each is measured with each number of workers.
    pub in_hand: Vec<usize>,
    /// Number of submissions over which the cost of one is averaged.
    pub submissions: usize,
    /// Number of whole lists over which the cost of reading one is averaged.
    pub lists: usize,
}

/// The section `limits`: maximum values of measured counts. A count without a limit is not checked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Messages for each change and member, while all members respond.
    pub messages_a_change_and_member: Option<f64>,
    /// Bytes for each member and second without a change.
    pub bytes_a_member_and_second: Option<f64>,
    /// Growth of a coordinator's state with each member.
    pub state_bytes_a_member: Option<f64>,
    /// Growth of a dispatching node's memory with each worker.
    pub state_bytes_a_worker: Option<f64>,
}

/// All errors in a scale file, one line each.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", .0.join("\n"))]
pub struct ScaleFileErrors(pub Vec<String>);

/// Takes the values of known keys out of a table, and collects errors.
struct SectionReader<'a> {
    section: &'static str,
    table: Table,
    errors: &'a mut Vec<String>,
}

impl SectionReader<'_> {
    /// Returns the key as it appears in errors, with its section.
    fn path(&self, key: &str) -> String {
        if self.section.is_empty() { key.to_owned() } else { format!("{}.{key}", self.section) }
    }

    fn error(&mut self, key: &str, reason: impl Display) {
        let path = self.path(key);
        self.errors.push(format!("{path}: {reason}"));
    }

    fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value: Value = self.table.remove(key)?;
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                self.error(key, error.to_string().trim().replace('\n', "; "));
                None
            }
        }
    }

    fn value_or<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    fn check_range(&mut self, key: &str, value: usize, min: usize, max: usize) {
        if !(min..=max).contains(&value) {
            self.error(key, format!("{value} is not between {min} and {max}"));
        }
    }

    /// Reads a list of sizes in ascending order, each from `min` to `max`.
    fn sizes(&mut self, key: &str, default: &[usize], min: usize, max: usize) -> Vec<usize> {
        let sizes: Vec<usize> = self.value_or(key, default.to_vec());
        if sizes.is_empty() {
            self.error(key, "expected at least one size, found none");
        }
        if !sizes.is_sorted_by(|a, b| a < b) {
            self.error(key, "expected sizes in ascending order without repetition");
        }
        for size in &sizes {
            self.check_range(key, *size, min, max);
        }
        sizes
    }

    fn section(&mut self, key: &str) -> Option<Table> {
        match self.table.remove(key)? {
            Value::Table(table) => Some(table),
            other => {
                self.error(key, format!("expected a section, found {}", other.type_str()));
                None
            }
        }
    }

    /// Reports the keys that are left in the table as unknown.
    fn finish(self) {
        for key in self.table.keys() {
            let path = self.path(key);
            self.errors.push(format!("{path}: unknown key"));
        }
    }
}

/// Reads a scale file, and checks that this machine can run it.
///
/// # Errors
///
/// Returns an error if the file cannot be read, and otherwise all errors in it.
pub fn read(path: &Path, machine: &Machine) -> Result<ScaleFile, ScaleFileErrors> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ScaleFileErrors(vec![format!("{}: {error}", path.display())]))?;
    let with_path = |errors: ScaleFileErrors| {
        ScaleFileErrors(errors.0.iter().map(|error| format!("{}: {error}", path.display())).collect())
    };
    parse(&text, machine).map_err(with_path)
}

/// Parses the text of a scale file, and checks that this machine can run it.
///
/// # Errors
///
/// Returns all errors in the text.
pub fn parse(text: &str, machine: &Machine) -> Result<ScaleFile, ScaleFileErrors> {
    let table: Table = text.parse().map_err(|error: toml::de::Error| {
        ScaleFileErrors(vec![error.to_string().trim().replace('\n', "; ")])
    })?;
    let mut errors = Vec::new();
    let mut reader = SectionReader { section: "", table, errors: &mut errors };
    let name = reader.value_or("name", String::from("scale"));
    let span_s = reader.value_or("span-s", 600);
    if !(1..=MAX_SPAN_S).contains(&span_s) {
        reader.error("span-s", format!("{span_s} is not between 1 and {MAX_SPAN_S}"));
    }
    let control_machines = reader.value_or("control-machines", 7);
    let (members, dispatch) = (reader.section("members"), reader.section("dispatch"));
    let limits = reader.section("limits").unwrap_or_default();
    if members.is_none() && dispatch.is_none() {
        reader.error("members", "nothing to measure: expected a section members or dispatch, found neither");
    }
    reader.finish();
    let members = members.map(|table| read_members(table, control_machines, &mut errors));
    let dispatch = dispatch.map(|table| read_dispatch(table, &mut errors));
    let limits = read_limits(limits, &mut errors);
    let scale = ScaleFile { name, time_limit: Duration::from_secs(span_s), members, dispatch, limits };
    errors.extend(check_machine(&scale, machine));
    if errors.is_empty() { Ok(scale) } else { Err(ScaleFileErrors(errors)) }
}

fn read_members(table: Table, control_machines: usize, errors: &mut Vec<String>) -> MembersSection {
    let mut reader = SectionReader { section: "members", table, errors };
    let sizes = reader.sizes("sizes", &[], 1, MAX_MEMBERS);
    let voters: u8 = reader.value_or("voters", 5);
    if !matches!(voters, 1 | 3 | 5) {
        reader.error("voters", format!("{voters} coordinators are not supported, expected 1, 3 or 5"));
    }
    if usize::from(voters) > control_machines {
        reader.error("voters", format!("{voters} exceeds control-machines, which is {control_machines}"));
    }
    let lease_ms = reader.value_or("lease-ms", 3000);
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&lease_ms) {
        reader.error("lease-ms", format!("{lease_ms} is not between {MIN_LEASE_MS} and {MAX_LEASE_MS}"));
    }
    let hold_ms: u64 = reader.value_or("hold-ms", 750);
    if hold_ms < MIN_HOLD_MS || hold_ms.saturating_mul(2) > lease_ms {
        reader.error(
            "hold-ms",
            format!("{hold_ms} is not between {MIN_HOLD_MS} and half of lease-ms, which is {lease_ms}"),
        );
    }
    let idle_s = reader.value_or("idle-s", 10);
    reader.check_range("idle-s", idle_s, 1, MAX_IDLE_S);
    let changes = reader.value_or("changes", 3);
    reader.check_range("changes", changes, 1, MAX_REPEATS);
    let dead = reader.value_or("dead", 0);
    reader.check_range("dead", dead, 0, sizes.first().copied().unwrap_or(MAX_MEMBERS));
    let zones = reader.value_or("zones", 0);
    reader.check_range("zones", zones, 0, MAX_MEMBERS);
    let real_nodes = reader.value_or("real-nodes", 0);
    reader.check_range("real-nodes", real_nodes, 0, MAX_PROCESSES);
    let policy_bytes = reader.value_or("policy-bytes", 0);
    reader.check_range("policy-bytes", policy_bytes, 0, MAX_POLICY_BYTES);
    reader.finish();
    let idle = Duration::from_secs(idle_s as u64);
    MembersSection { sizes, voters, lease_ms, hold_ms, idle, changes, dead, zones, real_nodes, policy_bytes }
}

fn read_dispatch(table: Table, errors: &mut Vec<String>) -> DispatchSection {
    let mut reader = SectionReader { section: "dispatch", table, errors };
    let workers = reader.sizes("workers", &[], 1, MAX_WORKERS);
    let in_hand = reader.sizes("in-hand", &[1000], 1, MAX_IN_HAND);
    let submissions = reader.value_or("submissions", 5000);
    reader.check_range("submissions", submissions, 1, MAX_SUBMISSIONS);
    let lists = reader.value_or("lists", 20);
    reader.check_range("lists", lists, 1, MAX_REPEATS);
    reader.finish();
    DispatchSection { workers, in_hand, submissions, lists }
}

fn read_limits(table: Table, errors: &mut Vec<String>) -> Limits {
    let mut reader = SectionReader { section: "limits", table, errors };
    let limits = Limits {
        messages_a_change_and_member: reader.optional("messages-a-change-and-member"),
        bytes_a_member_and_second: reader.optional("bytes-a-member-and-second"),
        state_bytes_a_member: reader.optional("state-bytes-a-member"),
        state_bytes_a_worker: reader.optional("state-bytes-a-worker"),
    };
    reader.finish();
    limits
}

/// Returns an error for each limit of this machine that the run may exceed.
fn check_machine(scale: &ScaleFile, machine: &Machine) -> Vec<String> {
    let mut errors = Vec::new();
    let largest = |sizes: &[usize]| sizes.iter().max().copied().unwrap_or(0) as u64;
    let half = machine.memory_bytes / 2;
    let mut check_memory = |key: &str, needed: u64| {
        if needed > half {
            let (needed, half) = (needed >> 20, half >> 20);
            errors.push(format!(
                "{key}: limit memory: needs up to {needed} MiB, and half of the machine's memory is {half} MiB"
            ));
        }
    };
    if let Some(members) = &scale.members {
        check_memory("members.sizes", largest(&members.sizes).saturating_mul(MEMBER_BYTES));
    }
    if let Some(dispatch) = &scale.dispatch {
        let workers = largest(&dispatch.workers).saturating_mul(WORKER_BYTES);
        check_memory(
            "dispatch.in-hand",
            workers.saturating_add(largest(&dispatch.in_hand).saturating_mul(JOB_BYTES)),
        );
    }
    if let Some(members) = &scale.members {
        let needed =
            largest(&members.sizes).saturating_mul(SESSION_DESCRIPTORS).saturating_add(OTHER_DESCRIPTORS);
        if needed > machine.descriptors {
            let limit = machine.descriptors;
            errors.push(format!(
                "members.sizes: limit descriptors: needs {needed} in one process, at most {limit} are allowed"
            ));
        }
        // The coordinators, the real nodes, and this process.
        let processes = usize::from(members.voters) + members.real_nodes + 1;
        if processes > MAX_PROCESSES {
            errors.push(format!(
                "members.real-nodes: limit processes: needs {processes}, at most {MAX_PROCESSES} are allowed"
            ));
        }
    }
    errors
}
