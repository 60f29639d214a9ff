//! The operator's files for a fleet: read, checked as a whole, each fault by its key.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use linestack_accord::LONGEST_NAME;
use serde::Deserialize;

/// What a node is told of its fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub id: String,
    pub member: String,
    pub coordinators: Vec<SocketAddr>,
    pub folder: PathBuf,
    pub mode: Mode,
    pub history: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// What can't prove its terms current takes nothing.
    Strict,
    /// It goes on under the last terms that it knows.
    Available,
}

/// What a coordinator is told.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    pub fleet: String,
    pub number: u8,
    pub listen: SocketAddr,
    /// By their numbers; its own place counts too.
    pub peers: Vec<Option<SocketAddr>>,
    pub folder: PathBuf,
    pub first_policy: PathBuf,
    pub lease_ms: u64,
    pub hold_ms: u64,
    pub drift: u64,
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

/// Quartz is good to a tenth of a thousandth; a machine that is told to catch up goes half a thousandth wrong.
fn drift() -> u64 {
    10
}

/// Puts faults together, one a line.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    fn must(&mut self, fine: bool, key: &str, why: &str) {
        if !fine {
            self.0.push(format!("{key}: {why}"));
        }
    }

    fn address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let read = text.parse::<SocketAddr>();
        let why = read.as_ref().err().map(|e| format!("{text:?}: {e}, wanted IP:PORT"));
        self.must(why.is_none(), key, &why.unwrap_or_default());
        read.ok()
    }

    fn name(&mut self, key: &str, name: &str) {
        let fine = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        self.must(!name.is_empty() && name.len() <= LONGEST_NAME, key, "from 1 to 64 characters");
        self.must(name.chars().all(fine), key, "letters, digits, '-', '_' and '.' only");
    }

    fn none(self, path: &Path) -> Result<(), String> {
        let lines: Vec<String> = self.0.iter().map(|f| format!("{}: {f}", path.display())).collect();
        if lines.is_empty() { Ok(()) } else { Err(lines.join("\n")) }
    }
}

fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads a table, or tells where it is wrong: file, line and key.
pub(crate) fn parse_table<T: for<'a> Deserialize<'a>>(path: &Path, text: &str) -> Result<T, String> {
    let place = |e: &toml::de::Error| {
        let at = e.span().map_or(0, |s| s.start);
        let line = text[..at.min(text.len())].lines().count().max(1);
        (format!("{}:{line}", path.display()), e.message().replace('\n', "; "))
    };
    let parsed = toml::Deserializer::parse(text).map_err(|e| {
        let (place, why) = place(&e);
        format!("{place}: {why}")
    })?;
    serde_path_to_error::deserialize(parsed).map_err(|e| {
        let (place, why) = place(e.inner());
        format!("{place}: {}: {why}", e.path())
    })
}

/// Reads a node's file.
///
/// # Errors
///
/// All that is wrong with it, a line each.
pub fn read_fleet(path: &Path) -> Result<FleetConfig, String> {
    let FleetFile { fleet: t } = parse_table(path, &read_text(path)?)?;
    let mut faults = Faults::default();
    faults.name("fleet.id", &t.id);
    faults.name("fleet.member", &t.member);
    faults.must(matches!(t.coordinators.len(), 1 | 3 | 5), "fleet.coordinators", "1, 3 or 5 addresses");
    let coordinators: Vec<SocketAddr> =
        t.coordinators.iter().filter_map(|c| faults.address("fleet.coordinators", c)).collect();
    faults.none(path)?;
    let FleetTable { id, member, folder, mode, history, .. } = t;
    Ok(FleetConfig { id, member, coordinators, folder, mode, history })
}

/// Reads a coordinator's file.
///
/// # Errors
///
/// All that is wrong with it, a line each.
pub fn read_coordinator(path: &Path) -> Result<CoordinatorConfig, String> {
    let CoordinatorFile { coordinator: t } = parse_table(path, &read_text(path)?)?;
    let mut faults = Faults::default();
    faults.name("coordinator.fleet", &t.fleet);
    let count = t.peers.len();
    faults.must(
        matches!(count, 1 | 3 | 5),
        "coordinator.peers",
        "1, 3 or 5 addresses, its own place among them",
    );
    faults.must(usize::from(t.number) < count, "coordinator.number", "its place among the peers, from 0");
    faults.must((100..=600_000).contains(&t.lease_ms), "coordinator.lease-ms", "from 100 to 600,000");
    let half = t.hold_ms >= 20 && t.hold_ms.saturating_mul(2) <= t.lease_ms;
    faults.must(half, "coordinator.hold-ms", "from 20 to half of lease-ms");
    faults.must(t.drift <= 200, "coordinator.drift", "thousandths, 200 at most");
    let listen = faults.address("coordinator.listen", &t.listen);
    let own = |i: usize| i == usize::from(t.number);
    let peers: Vec<Option<SocketAddr>> = t
        .peers
        .iter()
        .enumerate()
        .map(|(i, p)| if own(i) { None } else { faults.address("coordinator.peers", p) })
        .collect();
    faults.none(path)?;
    let Some(listen) = listen else { return Err(format!("{}: coordinator.listen", path.display())) };
    let CoordinatorTable { fleet, number, folder, first_policy, lease_ms, hold_ms, drift, history, .. } = t;
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
