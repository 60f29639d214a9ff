//! Real coordinators: processes of the program on loopback, ended when they are dropped.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use linestack_rig::process::Process;
use serde_json::json;

use super::file::Members;
use super::machine::Usage;
use super::policy;

/// The fleet's id.
pub const FLEET: &str = "scale";
/// Starts after which it is not chance any more that a port was taken meanwhile.
const TRIES: usize = 3;

pub struct Coordinators {
    processes: Vec<Process>,
    pub addresses: Vec<SocketAddr>,
}

/// Ports that nobody listens on now.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl Coordinators {
    /// Starts a new fleet's coordinators.
    ///
    /// # Errors
    ///
    /// One of them does not listen.
    pub fn start(members: &Members, program: &Path, folder: &Path) -> io::Result<Self> {
        let mut last = None;
        for attempt in 0..TRIES {
            match Self::start_once(members, program, &folder.join(format!("start-{attempt}"))) {
                Ok(coordinators) => return Ok(coordinators),
                Err(why) => last = Some(why),
            }
        }
        Err(last.unwrap_or_else(|| io::Error::other("not started")))
    }

    fn start_once(members: &Members, program: &Path, folder: &Path) -> io::Result<Self> {
        let addresses = free_addresses(members.voters.into())?;
        let peers: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let mut processes = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let name = format!("c{number}");
            let place = folder.join(&name);
            std::fs::create_dir_all(&place)?;
            let first_policy = place.join("policy.json");
            std::fs::write(&first_policy, policy::text(1, members.policy_bytes))?;
            let file = place.join("coordinator.toml");
            let file_name = file.to_string_lossy().into_owned();
            let mut process = Process::new(&name, place, program, &["coordinate", &file_name]);
            let told = json!({"coordinator": {"fleet": FLEET, "number": number, "listen": address.to_string(),
                "peers": peers, "folder": process.store_folder(), "first-policy": first_policy,
                "lease-ms": members.lease_ms, "hold-ms": members.hold_ms}});
            std::fs::write(&file, toml::to_string(&told).map_err(io::Error::other)?)?;
            process.next_start_arguments = vec!["--first".to_owned()];
            process.start()?;
            processes.push(process);
        }
        for process in &mut processes {
            process.wait_until_listening(0)?;
        }
        Ok(Self { processes, addresses })
    }

    /// What each uses.
    ///
    /// # Errors
    ///
    /// One of them has ended.
    pub fn usage(&self) -> io::Result<Vec<Usage>> {
        self.processes.iter().map(|p| p.id().map_or_else(|| Err(gone(&p.name)), Usage::of)).collect()
    }
}

fn gone(name: &str) -> io::Error {
    io::Error::other(format!("coordinator {name} has ended"))
}
