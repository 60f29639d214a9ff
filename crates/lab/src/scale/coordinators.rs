//! Real coordinators: processes of the node's program, on loopback.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use linestack_rig::process::Process;
use serde_json::json;

use super::file::MembersSection;
use super::machine::Usage;
use super::policy;

/// Id of the fleet.
pub const FLEET_ID: &str = "scale";
/// Maximum number of attempts to start all coordinators. A single attempt may fail because another process has taken a
/// free port in the meantime.
const MAX_START_ATTEMPTS: usize = 3;

/// The coordinators of a fleet. Dropping them ends their processes.
pub struct Coordinators {
    processes: Vec<Process>,
    /// The addresses that they listen on.
    pub addresses: Vec<SocketAddr>,
}

/// Returns loopback addresses with ports that no process listens on.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl Coordinators {
    /// Starts the coordinators of a new fleet.
    ///
    /// # Errors
    ///
    /// Returns the last error if no attempt makes all coordinators listen.
    pub fn start(members: &MembersSection, program: &Path, folder: &Path) -> io::Result<Self> {
        let mut last_error = None;
        for attempt in 0..MAX_START_ATTEMPTS {
            match Self::start_once(members, program, &folder.join(format!("start-{attempt}"))) {
                Ok(coordinators) => return Ok(coordinators),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| io::Error::other("no attempt was made to start the coordinators")))
    }

    fn start_once(members: &MembersSection, program: &Path, folder: &Path) -> io::Result<Self> {
        let addresses = free_addresses(members.voters.into())?;
        let peers: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let mut processes = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let name = format!("c{number}");
            let process_folder = folder.join(&name);
            std::fs::create_dir_all(&process_folder)?;
            let first_policy = process_folder.join("policy.json");
            std::fs::write(&first_policy, policy::policy_text(1, members.policy_bytes))?;
            let file = process_folder.join("coordinator.toml");
            let file_name = file.to_string_lossy().into_owned();
            let mut process = Process::new(&name, process_folder, program, &["coordinate", &file_name]);
            let config = json!({"coordinator": {"fleet": FLEET_ID, "number": number, "listen": address.to_string(),
                "peers": peers, "folder": process.store_folder(), "first-policy": first_policy,
                "lease-ms": members.lease_ms, "hold-ms": members.hold_ms}});
            std::fs::write(&file, toml::to_string(&config).map_err(io::Error::other)?)?;
            process.next_start_arguments = vec!["--first".to_owned()];
            process.start()?;
            processes.push(process);
        }
        for process in &mut processes {
            process.wait_until_listening(0)?;
        }
        Ok(Self { processes, addresses })
    }

    /// Returns the resource usage of each coordinator.
    ///
    /// # Errors
    ///
    /// Returns an error if a coordinator has exited, or if `/proc` cannot be read.
    pub fn usage(&self) -> io::Result<Vec<Usage>> {
        self.processes.iter().map(|p| p.id().map_or_else(|| Err(exited(&p.name)), Usage::of)).collect()
    }
}

fn exited(name: &str) -> io::Error {
    io::Error::other(format!("coordinator {name} has exited"))
}
