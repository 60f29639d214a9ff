//! The configuration files of nodes and coordinators of a fleet. A file is checked as a whole, and each fault is reported
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

/// What a node does while it can't prove that its policy is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The node takes no submissions without a lease.
    Strict,
    /// The node goes on under the last policy that it knows.
    Available,
}

/// The configuration of a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// The fleet's id.
    pub fleet: String,
    /// The number of this coordinator, from 0.
    pub number: u8,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The addresses of all coordinators by their numbers; `None` at the number of this one.
    pub peers: Vec<Option<SocketAddr>>,
    /// The folder of the store.
    pub folder: PathBuf,
    /// The policy that a new fleet starts with.
    pub first_policy: PathBuf,
    /// How long a member's lease lasts.
    pub lease_ms: u64,
    /// How long a follower refuses to elect another leader after a heartbeat.
    pub hold_ms: u64,
    /// By how much the rates of two clocks may differ, in thousandths.
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
    #[serde(default = "strict")]
    mode: Mode,
    history: Option<PathBuf>,
}

fn strict() -> Mode {
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
    #[serde(default = "lease_ms")]
    lease_ms: u64,
    #[serde(default = "hold_ms")]
    hold_ms: u64,
    #[serde(default = "drift")]
    drift: u64,
    history: Option<PathBuf>,
}

fn lease_ms() -> u64 {
    3000
}

fn hold_ms() -> u64 {
    750
}

/// Returns the default drift in thousandths. The rate of a quartz clock is accurate to 0.1 thousandths; a clock that is
/// being slewed to catch up deviates by 0.5 thousandths.
fn drift() -> u64 {
    10
}

/// Collects the faults of a file.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    /// Adds a fault unless the value of this key is valid.
    fn require(&mut self, valid: bool, key: &str, reason: &str) {
        if !valid {
            self.0.push(format!("{key}: {reason}"));
        }
    }

    fn parse_address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>();
        let reason = address.as_ref().err().map(|e| format!("{text:?}: {e}, wanted IP:PORT"));
        self.require(reason.is_none(), key, &reason.unwrap_or_default());
        address.ok()
    }

    fn check_name(&mut self, key: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        self.require(!name.is_empty() && name.len() <= MAX_NAME_BYTES, key, "from 1 to 64 characters");
        self.require(name.chars().all(allowed), key, "letters, digits, '-', '_' and '.' only");
    }

    /// Returns all faults as an error, one a line.
    fn into_result(self, path: &Path) -> Result<(), String> {
        let lines: Vec<String> = self.0.iter().map(|f| format!("{}: {f}", path.display())).collect();
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
/// The file can't be read, or its faults, one a line.
pub fn read_fleet(path: &Path) -> Result<FleetConfig, String> {
    let FleetFile { fleet: table } = parse_table(path, &read_text(path)?)?;
    let mut faults = Faults::default();
    faults.check_name("fleet.id", &table.id);
    faults.check_name("fleet.member", &table.member);
    faults.require(
        matches!(table.coordinators.len(), 1 | 3 | 5),
        "fleet.coordinators",
        "1, 3 or 5 addresses",
    );
    let coordinators: Vec<SocketAddr> =
        table.coordinators.iter().filter_map(|c| faults.parse_address("fleet.coordinators", c)).collect();
    faults.into_result(path)?;
    let FleetTable { id, member, folder, mode, history, .. } = table;
    Ok(FleetConfig { id, member, coordinators, folder, mode, history })
}

/// Reads the configuration of a coordinator.
///
/// # Errors
///
/// The file can't be read, or its faults, one a line.
pub fn read_coordinator(path: &Path) -> Result<CoordinatorConfig, String> {
    let CoordinatorFile { coordinator: table } = parse_table(path, &read_text(path)?)?;
    let mut faults = Faults::default();
    faults.check_name("coordinator.fleet", &table.fleet);
    let count = table.peers.len();
    faults.require(matches!(count, 1 | 3 | 5), "coordinator.peers", "1, 3 or 5 addresses, including its own");
    faults.require(
        usize::from(table.number) < count,
        "coordinator.number",
        "its index in coordinator.peers, from 0",
    );
    faults.require((100..=600_000).contains(&table.lease_ms), "coordinator.lease-ms", "from 100 to 600,000");
    let hold_fits = table.hold_ms >= 20 && table.hold_ms.saturating_mul(2) <= table.lease_ms;
    faults.require(hold_fits, "coordinator.hold-ms", "from 20 to half of lease-ms");
    faults.require(table.drift <= 200, "coordinator.drift", "in thousandths, 200 at most");
    let listen = faults.parse_address("coordinator.listen", &table.listen);
    let is_own = |i: usize| i == usize::from(table.number);
    let peers: Vec<Option<SocketAddr>> = table
        .peers
        .iter()
        .enumerate()
        .map(|(i, p)| if is_own(i) { None } else { faults.parse_address("coordinator.peers", p) })
        .collect();
    faults.into_result(path)?;
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
