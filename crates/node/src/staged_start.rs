//! Reads the operator's configuration file for a staged start. A node starts in stages only if PROXY_START names one.

use std::path::Path;

use linestack_recovery::start::{BootTimestamp, StartLimits};
use serde::Deserialize;

use crate::NANOS_PER_MS;
use crate::fleet::boottime;

/// The configuration of a staged start.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The rates and timeouts of the stages.
    pub limits: StartLimits,
    /// A stored list that is younger than this, in nanoseconds, is used at once.
    pub list_max_age: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    start: Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
struct Table {
    nodes: Option<u32>,
    connects_per_s: f64,
    lists_per_s: f64,
    sessions_per_s: f64,
    list_fresh_ms: u64,
    list_within_ms: u64,
    known_within_ms: u64,
    share_within_ms: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            nodes: None,
            connects_per_s: 0.0,
            lists_per_s: 0.0,
            sessions_per_s: 0.0,
            list_fresh_ms: 2000,
            list_within_ms: 3000,
            known_within_ms: 3000,
            share_within_ms: 10_000,
        }
    }
}

/// Reads a configuration file. `nodes` is the number of nodes in the settings, used unless the file has its own.
///
/// # Errors
///
/// Returns all errors of the file, one a line, each with its key.
pub fn read_config(path: &Path, nodes: u32) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let File { start: table } = crate::fleet::config::parse_table(path, &text)?;
    let mut errors = Vec::new();
    let mut check = |valid: bool, key: &str, reason: &str| {
        if !valid {
            errors.push(format!("{}: start.{key}: {reason}", path.display()));
        }
    };
    let nodes = table.nodes.unwrap_or(nodes).max(1);
    check(nodes <= 100_000 && table.nodes != Some(0), "nodes", "must be from 1 to 100,000");
    for (key, rate) in [
        ("connects-per-s", table.connects_per_s),
        ("lists-per-s", table.lists_per_s),
        ("sessions-per-s", table.sessions_per_s),
    ] {
        check((0.0..=1e6).contains(&rate), key, "must be from 0 (no limit) to 1,000,000");
        // The last node of the fleet must get its turn while clients still wait for it.
        check(
            rate <= 0.0 || f64::from(nodes) / rate <= 60.0,
            key,
            "would make a node wait for its turn for over a minute",
        );
    }
    for (key, ms) in [
        ("list-fresh-ms", table.list_fresh_ms),
        ("list-within-ms", table.list_within_ms),
        ("known-within-ms", table.known_within_ms),
        ("share-within-ms", table.share_within_ms),
    ] {
        check(ms <= 600_000, key, "must be 600,000 at most");
    }
    if !errors.is_empty() {
        return Err(errors.join("\n"));
    }
    let limits = StartLimits {
        nodes,
        connects_per_s: table.connects_per_s,
        lists_per_s: table.lists_per_s,
        sessions_per_s: table.sessions_per_s,
        list_timeout: table.list_within_ms * NANOS_PER_MS,
        executors_timeout: table.known_within_ms * NANOS_PER_MS,
        ramp_up_timeout: table.share_within_ms * NANOS_PER_MS,
    };
    Ok(Config { limits, list_max_age: table.list_fresh_ms * NANOS_PER_MS })
}

/// Returns the current time on a clock that survives a restart of the process, but not a reboot of the machine.
#[must_use]
pub fn boot_timestamp() -> BootTimestamp {
    let boot_id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let digits: String = boot_id.chars().filter(char::is_ascii_hexdigit).collect();
    BootTimestamp { boot: u128::from_str_radix(&digits, 16).unwrap_or(0), at: boottime() }
}
