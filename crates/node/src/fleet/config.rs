//! The configuration files of nodes and coordinators of a fleet. A file is checked as a whole, and each error is reported
//! with its key.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use linestack_accord::MAX_NAME_BYTES;
use serde::Deserialize;

/// The configuration of a node as a member of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The fleet's id.
    pub id: String,
    /// The name of this member in the fleet.
    pub member: String,
    /// The addresses on which the coordinators listen.
    pub coordinators: Vec<SocketAddr>,
    /// The folder of the member's own store.
    pub folder: PathBuf,
    /// What the node does without a current lease.
    pub mode: Mode,
    /// The file of the audit log, if one is to be written.
    pub history: Option<PathBuf>,
}

/// What a node does while it has no lease, so that its policy may be outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The node accepts no submissions without a lease.
    Strict,
    /// The node continues under the last policy that it has received.
    Available,
}

/// The configuration of a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// The fleet's id.
    pub fleet: String,
    /// The number of this coordinator, from 0, which is its id in the consensus protocol.
    pub number: u8,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The addresses of all coordinators, indexed by their numbers; `None` at the index of this one.
    pub peers: Vec<Option<SocketAddr>>,
    /// The folder of the store.
    pub folder: PathBuf,
    /// The policy that a new fleet starts with.
    pub first_policy: PathBuf,
    /// The duration of a member's lease.
    pub lease_ms: u64,
    /// For how long after a heartbeat a follower votes for no other candidate.
    pub hold_ms: u64,
    /// The maximum relative difference between the rates of two clocks, in thousandths.
    pub drift: u64,
    /// The file of the audit log, if one is to be written.
    pub history: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    fleet: FleetTable,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct FleetTable {
    id: String,
    member: String,
    coordinators: Vec<String>,
    folder: PathBuf,
    #[serde(default = "default_mode")]
    mode: Mode,
    history: Option<PathBuf>,
}

fn default_mode() -> Mode {
    Mode::Strict
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CoordinatorFile {
    coordinator: CoordinatorTable,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct CoordinatorTable {
    fleet: String,
    number: u8,
    listen: String,
    peers: Vec<String>,
    folder: PathBuf,
    first_policy: PathBuf,
    #[serde(default = "default_lease_ms")]
    lease_ms: u64,
    #[serde(default = "default_hold_ms")]
    hold_ms: u64,
    #[serde(default = "default_drift")]
    drift: u64,
    history: Option<PathBuf>,
}

fn default_lease_ms() -> u64 {
    3000
}

fn default_hold_ms() -> u64 {
    750
}

/// Returns the default drift in thousandths. The rate of a quartz clock is accurate to 0.1 thousandths; a clock that is
/// being slewed to catch up deviates by 0.5 thousandths.
fn default_drift() -> u64 {
    10
}

/// Collects the errors of a file.
#[derive(Default)]
struct ErrorList(Vec<String>);

impl ErrorList {
    /// Adds an error unless the value of this key is valid.
    fn require(&mut self, valid: bool, key: &str, reason: &str) {
        if !valid {
            self.0.push(format!("{key}: {reason}"));
        }
    }

    /// Parses an address, and adds an error if it is invalid.
    fn parse_address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>();
        let reason = address.as_ref().err().map(|e| format!("{text:?}: {e}, wanted IP:PORT"));
        self.require(reason.is_none(), key, &reason.unwrap_or_default());
        address.ok()
    }

    /// Adds an error unless this is a valid name of a fleet or a member.
    fn check_name(&mut self, key: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        self.require(!name.is_empty() && name.len() <= MAX_NAME_BYTES, key, "from 1 to 64 characters");
        self.require(name.chars().all(allowed), key, "letters, digits, '-', '_' and '.' only");
    }

    /// Returns all errors as one, with a line for each.
    fn into_result(self, path: &Path) -> Result<(), String> {
        let lines: Vec<String> = self.0.iter().map(|error| format!("{}: {error}", path.display())).collect();
        if lines.is_empty() { Ok(()) } else { Err(lines.join("\n")) }
    }
}

fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Parses the text of a TOML file. An error names the file, the line and the key.
pub(crate) fn parse_table<T: for<'a> Deserialize<'a>>(path: &Path, text: &str) -> Result<T, String> {
    let place = |e: &toml::de::Error| {
        let at = e.span().map_or(0, |s| s.start);
        let line = text[..at.min(text.len())].lines().count().max(1);
        (format!("{}:{line}", path.display()), e.message().replace('\n', "; "))
    };
    let parsed = toml::Deserializer::parse(text).map_err(|e| {
        let (place, message) = place(&e);
        format!("{place}: {message}")
    })?;
    serde_path_to_error::deserialize(parsed).map_err(|e| {
        let (place, message) = place(e.inner());
        format!("{place}: {}: {message}", e.path())
    })
}

/// Reads the fleet configuration of a node.
///
/// # Errors
///
/// Returns why the file can't be read, or its errors, one a line.
pub fn read_fleet(path: &Path) -> Result<FleetConfig, String> {
    let FleetFile { fleet: table } = parse_table(path, &read_text(path)?)?;
    let mut errors = ErrorList::default();
    errors.check_name("fleet.id", &table.id);
    errors.check_name("fleet.member", &table.member);
    errors.require(
        matches!(table.coordinators.len(), 1 | 3 | 5),
        "fleet.coordinators",
        "1, 3 or 5 addresses",
    );
    let coordinators: Vec<SocketAddr> =
        table.coordinators.iter().filter_map(|c| errors.parse_address("fleet.coordinators", c)).collect();
    errors.into_result(path)?;
    let FleetTable { id, member, folder, mode, history, .. } = table;
    Ok(FleetConfig { id, member, coordinators, folder, mode, history })
}

/// Reads the configuration of a coordinator.
///
/// # Errors
///
/// Returns why the file can't be read, or its errors, one a line.
pub fn read_coordinator(path: &Path) -> Result<CoordinatorConfig, String> {
    let CoordinatorFile { coordinator: table } = parse_table(path, &read_text(path)?)?;
    let mut errors = ErrorList::default();
    errors.check_name("coordinator.fleet", &table.fleet);
    let count = table.peers.len();
    errors.require(matches!(count, 1 | 3 | 5), "coordinator.peers", "1, 3 or 5 addresses, including its own");
    errors.require(
        usize::from(table.number) < count,
        "coordinator.number",
        "its index in coordinator.peers, from 0",
    );
    errors.require((100..=600_000).contains(&table.lease_ms), "coordinator.lease-ms", "from 100 to 600,000");
    let hold_fits = table.hold_ms >= 20 && table.hold_ms.saturating_mul(2) <= table.lease_ms;
    errors.require(hold_fits, "coordinator.hold-ms", "from 20 to half of lease-ms");
    errors.require(table.drift <= 200, "coordinator.drift", "in thousandths, 200 at most");
    let listen = errors.parse_address("coordinator.listen", &table.listen);
    let is_own = |i: usize| i == usize::from(table.number);
    let peers: Vec<Option<SocketAddr>> = table
        .peers
        .iter()
        .enumerate()
        .map(|(i, p)| if is_own(i) { None } else { errors.parse_address("coordinator.peers", p) })
        .collect();
    errors.into_result(path)?;
    let Some(listen) = listen else { return Err(format!("{}: coordinator.listen", path.display())) };
    let CoordinatorTable { fleet, number, folder, first_policy, lease_ms, hold_ms, drift, history, .. } =
        table;
    Ok(CoordinatorConfig {
        fleet,
        number,
        listen,
        peers,
        folder,
        first_policy,
        lease_ms,
        hold_ms,
        drift,
        history,
    })
}
