//! The one place where the configuration is read, checked and given its defaults.

use std::net::SocketAddr;

use linestack_settings::Settings;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use tracing::Level;

use crate::io_failure::{START_RETRY_TIMEOUT, is_transient, retry_transient};
use crate::net::discovery::List;

#[derive(Debug, Error)]
#[error("{key}: {reason}")]
pub struct ConfigError {
    /// The variable or the key in the file that is at fault.
    pub key: String,
    pub reason: String,
    pub kind: ConfigErrorKind,
}

/// What is to be done about a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigErrorKind {
    /// What the key holds makes no sense, or can't be read.
    Invalid,
    /// It is nowhere.
    Missing,
    /// The file can't be read now, for want of something on this machine.
    Transient,
}

const DISCOVERY: &str = "PROXY_DISCOVERY";

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: usize,
    pub known: Option<List>,
    pub settings: Settings,
    /// The settings as they stood in the file.
    text: String,
}

impl Config {
    /// Whether a newer reading has other settings.
    #[must_use]
    pub fn differs_in_settings(&self, newer: &Self) -> bool {
        let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).ok();
        self.text != newer.text && value(&self.text) != value(&newer.text)
    }

    /// Goes on with the settings of a newer reading.
    pub fn apply_settings(&mut self, newer: &Self) {
        (self.settings, self.text) = (newer.settings.clone(), newer.text.clone());
    }

    /// The keys of a newer reading that differ and are read at the start only.
    #[must_use]
    pub fn keys_requiring_restart(&self, newer: &Self) -> Vec<&'static str> {
        let differ = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("seed", self.seed != newer.seed),
            ("limits", (self.sockets, self.memory_mb) != (newer.sockets, newer.memory_mb)),
            ("known", self.known != newer.known),
        ];
        let kept = differ.into_iter().filter_map(|(key, differs)| differs.then_some(key));
        kept.chain(self.settings.key_needing_restart(&newer.settings)).collect()
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

/// The fewest descriptors and the least memory that a node can work with.
const LEAST_SOCKETS: usize = 32;
const LEAST_MEMORY_MB: u64 = 32;

/// Whether the system leaves this process as many descriptors as a node needs at the least.
///
/// # Errors
///
/// How many there are.
pub fn check_descriptors() -> Result<(), String> {
    let most = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let most = most.map_or(usize::MAX, |most| usize::try_from(most).unwrap_or(usize::MAX));
    // One is used by looking.
    let open = retry_transient(START_RETRY_TIMEOUT, || std::fs::read_dir("/proc/self/fd"));
    let open = open.map(|all| all.count().saturating_sub(1));
    match open {
        Ok(open) if most.saturating_sub(open) >= LEAST_SOCKETS => Ok(()),
        Ok(open) => Err(format!(
            "{open} of the {most} descriptors that the system allows are in use, and {LEAST_SOCKETS} are needed"
        )),
        Err(error) => Err(error.to_string()),
    }
}

/// How much is logged. It is read first, so that the rest can be logged.
pub fn log_level(variable: impl Fn(&str) -> Option<String>) -> Result<Level, ConfigError> {
    const KEY: &str = "PROXY_LOG";
    let Some(text) = variable(KEY) else { return Ok(Level::INFO) };
    text.parse().map_err(|_| {
        let reason = format!("{text:?} is not a level");
        ConfigError { key: KEY.to_owned(), reason, kind: ConfigErrorKind::Invalid }
    })
}

/// Reads it again while the node runs. The file's `discovery` wins over the variable of the start, which
/// cannot have changed since; without one the present one stays.
pub fn reread(
    present: &Config,
    variable: impl Fn(&str) -> Option<String>,
    file: impl Fn(&str) -> std::io::Result<String>,
) -> Result<Config, ConfigError> {
    let newer = read(|key| if key == DISCOVERY { None } else { variable(key) }, &file);
    match newer {
        Err(fault) if fault.key == DISCOVERY && fault.kind == ConfigErrorKind::Missing => {
            let present = present.discovery.to_string();
            read(|key| if key == DISCOVERY { Some(present.clone()) } else { variable(key) }, &file)
        }
        // The variable has no say here.
        Err(fault) if fault.key == DISCOVERY => Err(ConfigError { key: "discovery".into(), ..fault }),
        other => other,
    }
}

/// Reads what the variables name; `variable` gives their values, `file` the text of a file.
pub fn read(
    variable: impl Fn(&str) -> Option<String>,
    file: impl Fn(&str) -> std::io::Result<String>,
) -> Result<Config, ConfigError> {
    let fault = |key: &str, reason: String| ConfigError {
        key: key.to_owned(),
        reason,
        kind: ConfigErrorKind::Invalid,
    };
    let path = variable("PROXY_CONFIG").ok_or(fault("PROXY_CONFIG", "not set".into()))?;
    let text = file(&path).map_err(|e| {
        let kind = if is_transient(&e) { ConfigErrorKind::Transient } else { ConfigErrorKind::Invalid };
        ConfigError { kind, ..fault("PROXY_CONFIG", format!("{path}: {e}")) }
    })?;
    let read = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(&text));
    let file: File = read.map_err(|e| match e.path().to_string().as_str() {
        // No JSON at all.
        "." | "?" => fault("PROXY_CONFIG", format!("{path}: {}", e.inner())),
        key => fault(key, e.inner().to_string()),
    })?;
    let either = |key: &str, from_file: Option<String>| {
        variable(key).or(from_file).filter(|v| !v.is_empty()).ok_or(ConfigError {
            kind: ConfigErrorKind::Missing,
            ..fault(key, "not set, nor in the file".into())
        })
    };
    let address = |key: &str, from_file| {
        let text: String = either(key, from_file)?;
        text.parse::<SocketAddr>().map_err(|e| fault(key, format!("{text:?}: {e}, wanted IP:PORT")))
    };
    let seed = match file.seed {
        None => return Err(fault("seed", "missing".into())),
        Some(hex) => u64::from_str_radix(&hex, 16).map_err(|e| fault("seed", format!("{hex:?}: {e}")))?,
    };
    if file.limits.sockets < LEAST_SOCKETS {
        return Err(fault("limits.sockets", format!("{} is under {LEAST_SOCKETS}", file.limits.sockets)));
    }
    if file.limits.memory_mb < LEAST_MEMORY_MB {
        return Err(fault(
            "limits.memory_mb",
            format!("{} is under {LEAST_MEMORY_MB}", file.limits.memory_mb),
        ));
    }
    let text = file.settings.ok_or(fault("settings", "missing".into()))?.get().to_owned();
    let settings = linestack_settings::read(text.as_bytes(), seed)
        .map_err(|e| fault(format!("settings.{}", e.path()).trim_end_matches('.'), e.inner().to_string()))?;
    if settings.names.products.is_empty() {
        return Err(fault("settings.products", "none is named".into()));
    }
    // An old list that can't be read is no reason not to start: the list is asked for again.
    let known = file.known.and_then(|raw| List::read(raw.get().as_bytes()).ok());
    Ok(Config {
        name: either("PROXY_NAME", file.name)?,
        listen: address("PROXY_LISTEN", file.listen)?,
        discovery: address(DISCOVERY, file.discovery)?,
        seed,
        memory_mb: file.limits.memory_mb,
        sockets: file.limits.sockets,
        known,
        settings,
        text,
    })
}
