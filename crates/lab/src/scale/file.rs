//! Scale files: TOML, checked as a whole. Each fault names its key, and all are told at once.

use std::fmt::Display;
use std::path::Path;
use std::time::Duration;

use linestack_accord::{MAX_MEMBERS, MAX_POLICY_BYTES};
use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::{Table, Value};

use super::machine::Machine;

/// Processes at a time that a run may start.
pub const MOST_PROCESSES: usize = 200;
/// The longest that a run may last, in seconds.
const LONGEST_SPAN: u64 = 3600;
/// Repeats of one measurement at most.
const MOST_REPEATS: usize = 1000;
const MOST_SUBMISSIONS: usize = 10_000_000;
/// Workers and jobs of a dispatching node at most.
const MOST_WORKERS: usize = 100_000;
const MOST_IN_HAND: usize = 1_000_000;
/// What a member takes here and at its coordinator, a worker and a job in hand, at the most: bytes, generously.
const MEMBER_BYTES: u64 = 256 * 1024;
const WORKER_BYTES: u64 = 16 * 1024;
const JOB_BYTES: u64 = 16 * 1024;
/// Descriptors of one session at a coordinator, and of a process beside its sessions.
const SESSION_DESCRIPTORS: u64 = 2;
const OTHER_DESCRIPTORS: u64 = 64;

/// What a run is to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    pub name: String,
    /// The run ends itself, and all that it started, after this.
    pub span: Duration,
    pub members: Option<Members>,
    pub dispatch: Option<Dispatch>,
    pub limits: Limits,
}

/// Members of a fleet, each size with coordinators of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    pub sizes: Vec<usize>,
    pub voters: u8,
    pub lease_ms: u64,
    pub hold_ms: u64,
    /// For how long nothing changes while the steady cost is measured.
    pub idle: Duration,
    /// Changes with all members there.
    pub changes: usize,
    /// Members that fall silent just before another change.
    pub dead: usize,
    /// The part of all members that falls silent with a zone is one of so many; 0 leaves this out.
    pub zones: usize,
    /// Real nodes that are members beside those of the sizes.
    pub real_nodes: usize,
    /// Bytes of the policy, filled up with blanks.
    pub policy_bytes: usize,
}

/// A dispatching node, its reducer driven directly.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    pub workers: Vec<usize>,
    pub in_hand: Vec<usize>,
    /// Submissions over which the cost is measured.
    pub submissions: usize,
    /// Whole lists read, over which the cost is measured.
    pub lists: usize,
}

/// Counts that must not be passed; without one nothing is judged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    pub messages_a_change_and_member: Option<f64>,
    pub bytes_a_member_and_second: Option<f64>,
    pub state_bytes_a_member: Option<f64>,
    pub state_bytes_a_worker: Option<f64>,
}

/// All that is wrong with a file, a line each.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", .0.join("\n"))]
pub struct Faults(pub Vec<String>);

/// Takes keys out of a table and notes what is wrong with them.
struct Keys<'a> {
    section: &'static str,
    table: Table,
    faults: &'a mut Vec<String>,
}

impl Keys<'_> {
    fn name(&self, key: &str) -> String {
        if self.section.is_empty() { key.to_owned() } else { format!("{}.{key}", self.section) }
    }

    fn fault(&mut self, key: &str, why: impl Display) {
        let name = self.name(key);
        self.faults.push(format!("{name}: {why}"));
    }

    fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value: Value = self.table.remove(key)?;
        match value.try_into() {
            Ok(value) => Some(value),
            Err(why) => {
                self.fault(key, why.to_string().trim().replace('\n', "; "));
                None
            }
        }
    }

    fn or<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    fn within(&mut self, key: &str, value: usize, least: usize, most: usize) {
        if !(least..=most).contains(&value) {
            self.fault(key, format!("{value}, from {least} to {most}"));
        }
    }

    /// Sizes in rising order, each within bounds.
    fn sizes(&mut self, key: &str, default: &[usize], least: usize, most: usize) -> Vec<usize> {
        let sizes: Vec<usize> = self.or(key, default.to_vec());
        if sizes.is_empty() {
            self.fault(key, "none is named");
        }
        if !sizes.is_sorted_by(|a, b| a < b) {
            self.fault(key, "not in rising order");
        }
        for size in &sizes {
            self.within(key, *size, least, most);
        }
        sizes
    }

    fn section(&mut self, key: &str) -> Option<Table> {
        match self.table.remove(key)? {
            Value::Table(table) => Some(table),
            _ => {
                self.fault(key, "not a section");
                None
            }
        }
    }

    /// Notes what nobody has taken.
    fn end(self) {
        for key in self.table.keys() {
            let name = self.name(key);
            self.faults.push(format!("{name}: unknown key"));
        }
    }
}

/// Reads a scale file, and checks it against this machine.
///
/// # Errors
///
/// It can't be read, or all that is wrong with it.
pub fn read(path: &Path, machine: &Machine) -> Result<Scale, Faults> {
    let text =
        std::fs::read_to_string(path).map_err(|why| Faults(vec![format!("{}: {why}", path.display())]))?;
    let placed = |faults: Faults| {
        Faults(faults.0.iter().map(|fault| format!("{}: {fault}", path.display())).collect())
    };
    parse(&text, machine).map_err(placed)
}

/// As [`read`], from text.
///
/// # Errors
///
/// All that is wrong with it.
pub fn parse(text: &str, machine: &Machine) -> Result<Scale, Faults> {
    let table: Table = text
        .parse()
        .map_err(|why: toml::de::Error| Faults(vec![why.to_string().trim().replace('\n', "; ")]))?;
    let mut faults = Vec::new();
    let mut keys = Keys { section: "", table, faults: &mut faults };
    let name = keys.or("name", String::from("scale"));
    let span_s = keys.or("span-s", 600);
    if !(1..=LONGEST_SPAN).contains(&span_s) {
        keys.fault("span-s", format!("{span_s}, from 1 to {LONGEST_SPAN}"));
    }
    let control_machines = keys.or("control-machines", 7);
    let (members, dispatch) = (keys.section("members"), keys.section("dispatch"));
    let limits = keys.section("limits").unwrap_or_default();
    if members.is_none() && dispatch.is_none() {
        keys.fault("members", "neither members nor dispatch is there: nothing to measure");
    }
    keys.end();
    let members = members.map(|table| read_members(table, control_machines, &mut faults));
    let dispatch = dispatch.map(|table| read_dispatch(table, &mut faults));
    let limits = read_limits(limits, &mut faults);
    let scale = Scale { name, span: Duration::from_secs(span_s), members, dispatch, limits };
    faults.extend(beyond(&scale, machine));
    if faults.is_empty() { Ok(scale) } else { Err(Faults(faults)) }
}

fn read_members(table: Table, control_machines: usize, faults: &mut Vec<String>) -> Members {
    let mut keys = Keys { section: "members", table, faults };
    let sizes = keys.sizes("sizes", &[], 1, MAX_MEMBERS);
    let voters: u8 = keys.or("voters", 5);
    if !matches!(voters, 1 | 3 | 5) {
        keys.fault("voters", format!("{voters}, and the coordinators' own bound is 1, 3 or 5"));
    }
    if usize::from(voters) > control_machines {
        keys.fault("voters", format!("{voters}, and control-machines has {control_machines}"));
    }
    let lease_ms = keys.or("lease-ms", 3000);
    if !(100..=600_000).contains(&lease_ms) {
        keys.fault("lease-ms", format!("{lease_ms}, from 100 to 600000"));
    }
    let hold_ms: u64 = keys.or("hold-ms", 750);
    if hold_ms < 20 || hold_ms.saturating_mul(2) > lease_ms {
        keys.fault("hold-ms", format!("{hold_ms}, from 20 to half of lease-ms"));
    }
    let idle_s = keys.or("idle-s", 10);
    keys.within("idle-s", idle_s, 1, 600);
    let changes = keys.or("changes", 3);
    keys.within("changes", changes, 1, MOST_REPEATS);
    let dead = keys.or("dead", 0);
    keys.within("dead", dead, 0, sizes.first().copied().unwrap_or(MAX_MEMBERS));
    let zones = keys.or("zones", 0);
    keys.within("zones", zones, 0, MAX_MEMBERS);
    let real_nodes = keys.or("real-nodes", 0);
    keys.within("real-nodes", real_nodes, 0, MOST_PROCESSES);
    let policy_bytes = keys.or("policy-bytes", 0);
    keys.within("policy-bytes", policy_bytes, 0, MAX_POLICY_BYTES);
    keys.end();
    let idle = Duration::from_secs(idle_s as u64);
    Members { sizes, voters, lease_ms, hold_ms, idle, changes, dead, zones, real_nodes, policy_bytes }
}

fn read_dispatch(table: Table, faults: &mut Vec<String>) -> Dispatch {
    let mut keys = Keys { section: "dispatch", table, faults };
    let workers = keys.sizes("workers", &[], 1, MOST_WORKERS);
    let in_hand = keys.sizes("in-hand", &[1000], 1, MOST_IN_HAND);
    let submissions = keys.or("submissions", 5000);
    keys.within("submissions", submissions, 1, MOST_SUBMISSIONS);
    let lists = keys.or("lists", 20);
    keys.within("lists", lists, 1, MOST_REPEATS);
    keys.end();
    Dispatch { workers, in_hand, submissions, lists }
}

fn read_limits(table: Table, faults: &mut Vec<String>) -> Limits {
    let mut keys = Keys { section: "limits", table, faults };
    let limits = Limits {
        messages_a_change_and_member: keys.optional("messages-a-change-and-member"),
        bytes_a_member_and_second: keys.optional("bytes-a-member-and-second"),
        state_bytes_a_member: keys.optional("state-bytes-a-member"),
        state_bytes_a_worker: keys.optional("state-bytes-a-worker"),
    };
    keys.end();
    limits
}

/// What does not fit on this machine, by the name of the limit.
fn beyond(scale: &Scale, machine: &Machine) -> Vec<String> {
    let mut faults = Vec::new();
    let largest = |sizes: &[usize]| sizes.iter().max().copied().unwrap_or(0) as u64;
    let half = machine.memory_bytes / 2;
    let mut memory = |key: &str, wanted: u64| {
        if wanted > half {
            let (wanted, half) = (wanted >> 20, half >> 20);
            faults.push(format!(
                "{key}: limit memory: up to {wanted} MiB, and half of the machine's is {half} MiB"
            ));
        }
    };
    if let Some(members) = &scale.members {
        memory("members.sizes", largest(&members.sizes).saturating_mul(MEMBER_BYTES));
    }
    if let Some(dispatch) = &scale.dispatch {
        let workers = largest(&dispatch.workers).saturating_mul(WORKER_BYTES);
        memory(
            "dispatch.in-hand",
            workers.saturating_add(largest(&dispatch.in_hand).saturating_mul(JOB_BYTES)),
        );
    }
    if let Some(members) = &scale.members {
        let wanted =
            largest(&members.sizes).saturating_mul(SESSION_DESCRIPTORS).saturating_add(OTHER_DESCRIPTORS);
        if wanted > machine.descriptors {
            let limit = machine.descriptors;
            faults.push(format!(
                "members.sizes: limit descriptors: {wanted} in a process, and {limit} are allowed"
            ));
        }
        // Beside the coordinators and nodes this process.
        let processes = usize::from(members.voters) + members.real_nodes + 1;
        if processes > MOST_PROCESSES {
            faults
                .push(format!("members.real-nodes: limit processes: {processes}, {MOST_PROCESSES} at most"));
        }
    }
    faults
}
