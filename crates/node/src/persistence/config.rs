//! The operator's configuration file for a store.

use std::path::{Path, PathBuf};

use serde::Deserialize;

/// The request header by which repeated submissions of a one-shot are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DedupKey {
    /// The header `Req-Id`.
    ReqId,
    /// The header `Idempotency-Key`.
    IdempotencyKey,
}

/// What the node does when its store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFailed {
    /// The node dismisses one-shots, and handles everything else as before.
    Dismiss,
    /// The node answers the submissions that it has accepted, and stops.
    Stop,
}

/// When commits are synced to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sync {
    /// Each commit is synced. Records that arrive during a commit go into the next one together.
    Group,
    /// Syncing is left to the operating system. Nothing is lost if the process is killed; a power failure loses what was
    /// not yet written.
    None,
}

/// The configuration of a node's store.
#[derive(Clone, Debug)]
pub struct Config {
    /// The folder of the store.
    pub folder: PathBuf,
    /// The header by which repeated submissions are recognized.
    pub dedup_key: DedupKey,
    /// How long outcomes are stored, in seconds.
    pub remember_s: u64,
    /// How much of the disk the store may use, in MiB.
    pub budget_mb: u64,
    /// When commits are synced.
    pub sync: Sync,
    /// What the node does when the store fails.
    pub when_failed: WhenFailed,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    store: Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Table {
    folder: PathBuf,
    #[serde(rename = "same-by")]
    dedup_key: DedupKey,
    #[serde(default = "default_remember_s")]
    remember_s: u64,
    #[serde(default = "default_budget_mb")]
    budget_mb: u64,
    #[serde(default = "default_sync")]
    sync: Sync,
    #[serde(default = "default_when_failed")]
    when_failed: WhenFailed,
}

fn default_remember_s() -> u64 {
    3600
}

fn default_budget_mb() -> u64 {
    256
}

fn default_sync() -> Sync {
    Sync::Group
}

fn default_when_failed() -> WhenFailed {
    WhenFailed::Dismiss
}

/// Reads the configuration file of a store.
///
/// # Errors
///
/// Returns why the file can't be read, or its first error, with its key.
pub fn read_config(path: &Path) -> Result<Config, String> {
    let error = |reason: String| format!("{}: {reason}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    let File { store: table } = crate::fleet::config::parse_table(path, &text)?;
    if !(10..=1_000_000).contains(&table.remember_s) {
        return Err(error("store.remember-s: from 10 to 1,000,000".into()));
    }
    if !(16..=1_000_000).contains(&table.budget_mb) {
        return Err(error("store.budget-mb: from 16 to 1,000,000".into()));
    }
    let Table { folder, dedup_key, remember_s, budget_mb, sync, when_failed } = table;
    Ok(Config { folder, dedup_key, remember_s, budget_mb, sync, when_failed })
}
