//! The operator's file for a start in stages. Off unless PROXY_START names one.

use std::path::Path;

use linestack_recovery::start::{BootTimestamp, StartLimits};
use serde::Deserialize;

use crate::fleet::boottime;

#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub terms: StartLimits,
    /// A list that was kept is gone by at once while it is younger.
    pub list_fresh: u64,
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

/// Reads an operator's file. `nodes` is how many the settings tell.
///
/// # Errors
///
/// All that is wrong with it, each by its key.
pub fn read_config(path: &Path, nodes: u32) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let File { start: t } = crate::fleet::config::parse_table(path, &text)?;
    let mut faults = Vec::new();
    let mut must = |fine: bool, key: &str, why: &str| {
        if !fine {
            faults.push(format!("{}: start.{key}: {why}", path.display()));
        }
    };
    let nodes = t.nodes.unwrap_or(nodes).max(1);
    must(nodes <= 100_000 && t.nodes != Some(0), "nodes", "from 1 to 100,000");
    for (key, rate) in [
        ("connects-per-s", t.connects_per_s),
        ("lists-per-s", t.lists_per_s),
        ("sessions-per-s", t.sessions_per_s),
    ] {
        must((0.0..=1e6).contains(&rate), key, "from 0, for no bound, to 1,000,000");
        // A node's own turn must come while somebody still waits for it.
        must(
            rate <= 0.0 || f64::from(nodes) / rate <= 60.0,
            key,
            "a node would wait for over a minute for its turn",
        );
    }
    for (key, ms) in [
        ("list-fresh-ms", t.list_fresh_ms),
        ("list-within-ms", t.list_within_ms),
        ("known-within-ms", t.known_within_ms),
        ("share-within-ms", t.share_within_ms),
    ] {
        must(ms <= 600_000, key, "600,000 at most");
    }
    if !faults.is_empty() {
        return Err(faults.join("\n"));
    }
    let terms = StartLimits {
        nodes,
        connects_per_s: t.connects_per_s,
        lists_per_s: t.lists_per_s,
        sessions_per_s: t.sessions_per_s,
        list_timeout: t.list_within_ms * 1_000_000,
        known_timeout: t.known_within_ms * 1_000_000,
        share_timeout: t.share_within_ms * 1_000_000,
    };
    Ok(Config { terms, list_fresh: t.list_fresh_ms * 1_000_000 })
}

/// Now, by a clock that goes on over a restart of the process, and ends with the machine's run.
#[must_use]
pub fn boot_timestamp() -> BootTimestamp {
    let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let digits: String = boot.chars().filter(char::is_ascii_hexdigit).collect();
    BootTimestamp { boot: u128::from_str_radix(&digits, 16).unwrap_or(0), at: boottime() }
}
