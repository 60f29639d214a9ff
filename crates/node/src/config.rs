//! Reads and checks the node's configuration file (PROXY_CONFIG) and environment variables, and fills in the defaults.

use std::net::SocketAddr;

use linestack_settings::Settings;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use tracing::Level;

use crate::io_failure::{START_RETRY_TIMEOUT, is_transient_while_running, retry_transient};
use crate::net::discovery::List;

/// An error in the configuration.
#[derive(Debug, Error)]
#[error("{key}: {reason}")]
pub struct ConfigError {
    /// The environment variable, or the key in the file, that caused the error.
    pub key: String,
    pub reason: String,
    /// How to respond to the error.
    pub kind: ConfigErrorKind,
}

/// The kind of a configuration error, which determines the response to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigErrorKind {
    /// The value is invalid, or the file cannot be read.
    Invalid,
    /// The value is set neither in the environment nor in the file.
    Missing,
    /// The file cannot be read now because this machine or process lacks a resource; in a running node a later attempt may
    /// succeed.
    Transient,
}

const DISCOVERY: &str = "PROXY_DISCOVERY";

/// A node's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the node.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the node's random choices.
    pub seed: u64,
    /// The memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// The number of sockets that the process may use.
    pub sockets: usize,
    /// The list of executors to start with, if there is one.
    pub known: Option<List>,
    pub settings: Settings,
    /// The settings' JSON text, as it is in the file.
    settings_text: String,
}

impl Config {
    /// Returns whether a newer configuration has other settings than this one.
    #[must_use]
    pub fn differs_in_settings(&self, newer: &Self) -> bool {
        let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).ok();
        self.settings_text != newer.settings_text && value(&self.settings_text) != value(&newer.settings_text)
    }

    /// Replaces the settings by those of a newer configuration.
    pub fn apply_settings(&mut self, newer: &Self) {
        (self.settings, self.settings_text) = (newer.settings.clone(), newer.settings_text.clone());
    }

    /// Returns the keys that differ in a newer configuration and take effect only at a restart.
    #[must_use]
    pub fn keys_requiring_restart(&self, newer: &Self) -> Vec<&'static str> {
        let differ = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("seed", self.seed != newer.seed),
            ("limits", (self.sockets, self.memory_mb) != (newer.sockets, newer.memory_mb)),
            ("known", self.known != newer.known),
        ];
        let changed = differ.into_iter().filter_map(|(key, differs)| differs.then_some(key));
        changed.chain(self.settings.key_needing_restart(&newer.settings)).collect()
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    limits: Limits,
    known: Option<Box<RawValue>>,
    settings: Option<Box<RawValue>>,
}

impl Default for File {
    fn default() -> Self {
        let limits = Limits::default();
        Self { name: None, listen: None, discovery: None, seed: None, limits, known: None, settings: None }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1024 }
    }
}

/// The minimum number of file descriptors that a node needs.
const MIN_SOCKETS: usize = 32;
/// The minimum memory that a node needs.
const MIN_MEMORY_MB: u64 = 32;

/// Checks that the system leaves this process at least `MIN_SOCKETS` free file descriptors.
///
/// # Errors
///
/// Returns a message with the number of descriptors in use and allowed, or the error of the count.
pub fn check_descriptors() -> Result<(), String> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
    // Reading the folder itself uses one descriptor.
    let open = retry_transient(START_RETRY_TIMEOUT, || std::fs::read_dir("/proc/self/fd"));
    let open = open.map(|entries| entries.count().saturating_sub(1));
    match open {
        Ok(open) if limit.saturating_sub(open) >= MIN_SOCKETS => Ok(()),
        Ok(open) => {
            Err(format!("{open} of {limit} file descriptors are in use; {MIN_SOCKETS} free ones are needed"))
        }
        Err(error) => Err(error.to_string()),
    }
}

/// Reads the log level from PROXY_LOG. It is read before the rest of the configuration, whose errors are logged.
pub fn log_level(variable: impl Fn(&str) -> Option<String>) -> Result<Level, ConfigError> {
    const KEY: &str = "PROXY_LOG";
    let Some(text) = variable(KEY) else { return Ok(Level::INFO) };
    text.parse().map_err(|_| {
        let reason = format!("{text:?} is not a log level");
        ConfigError { key: KEY.to_owned(), reason, kind: ConfigErrorKind::Invalid }
    })
}

/// Reads the configuration again while the node runs. The `discovery` in the file has precedence over the variable
/// PROXY_DISCOVERY, which cannot have changed since the start; if the file has none, the current address is used.
pub fn reread(
    current: &Config,
    variable: impl Fn(&str) -> Option<String>,
    file: impl Fn(&str) -> std::io::Result<String>,
) -> Result<Config, ConfigError> {
    let newer = read(|key| if key == DISCOVERY { None } else { variable(key) }, &file);
    match newer {
        Err(error) if error.key == DISCOVERY && error.kind == ConfigErrorKind::Missing => {
            let address = current.discovery.to_string();
            read(|key| if key == DISCOVERY { Some(address.clone()) } else { variable(key) }, &file)
        }
        // The variable is ignored here, so the error names the key in the file.
        Err(error) if error.key == DISCOVERY => Err(ConfigError { key: "discovery".into(), ..error }),
        other => other,
    }
}

/// Reads the configuration. `variable` returns the value of an environment variable, `file` the text of a file.
pub fn read(
    variable: impl Fn(&str) -> Option<String>,
    file: impl Fn(&str) -> std::io::Result<String>,
) -> Result<Config, ConfigError> {
    let invalid = |key: &str, reason: String| ConfigError {
        key: key.to_owned(),
        reason,
        kind: ConfigErrorKind::Invalid,
    };
    let path = variable("PROXY_CONFIG").ok_or(invalid("PROXY_CONFIG", "not set".into()))?;
    let text = file(&path).map_err(|e| {
        let is_transient = is_transient_while_running(&e);
        let kind = if is_transient { ConfigErrorKind::Transient } else { ConfigErrorKind::Invalid };
        ConfigError { kind, ..invalid("PROXY_CONFIG", format!("{path}: {e}")) }
    })?;
    let parsed = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(&text));
    let file: File = parsed.map_err(|e| match e.path().to_string().as_str() {
        // The text is not JSON at all.
        "." | "?" => invalid("PROXY_CONFIG", format!("{path}: {}", e.inner())),
        key => invalid(key, e.inner().to_string()),
    })?;
    let variable_or_file = |key: &str, from_file: Option<String>| {
        variable(key).or(from_file).filter(|v| !v.is_empty()).ok_or(ConfigError {
            kind: ConfigErrorKind::Missing,
            ..invalid(key, "set neither in the environment nor in the file".into())
        })
    };
    let address = |key: &str, from_file| {
        let text: String = variable_or_file(key, from_file)?;
        text.parse::<SocketAddr>().map_err(|e| invalid(key, format!("{text:?}: {e}, expected IP:PORT")))
    };
    let seed = match file.seed {
        None => return Err(invalid("seed", "missing".into())),
        Some(hex) => u64::from_str_radix(&hex, 16).map_err(|e| invalid("seed", format!("{hex:?}: {e}")))?,
    };
    if file.limits.sockets < MIN_SOCKETS {
        return Err(invalid("limits.sockets", format!("{} is less than {MIN_SOCKETS}", file.limits.sockets)));
    }
    if file.limits.memory_mb < MIN_MEMORY_MB {
        return Err(invalid(
            "limits.memory_mb",
            format!("{} is less than {MIN_MEMORY_MB}", file.limits.memory_mb),
        ));
    }
    let settings_text = file.settings.ok_or(invalid("settings", "missing".into()))?.get().to_owned();
    let settings = linestack_settings::read(settings_text.as_bytes(), seed).map_err(|e| {
        invalid(format!("settings.{}", e.path()).trim_end_matches('.'), e.inner().to_string())
    })?;
    if settings.names.products.is_empty() {
        return Err(invalid("settings.products", "no product is named".into()));
    }
    // An invalid `known` list does not prevent the start, because the list is requested from discovery anyway.
    let known = file.known.and_then(|raw| List::read(raw.get().as_bytes()).ok());
    Ok(Config {
        name: variable_or_file("PROXY_NAME", file.name)?,
        listen: address("PROXY_LISTEN", file.listen)?,
        discovery: address(DISCOVERY, file.discovery)?,
        seed,
        memory_mb: file.limits.memory_mb,
        sockets: file.limits.sockets,
        known,
        settings,
        settings_text,
    })
}
