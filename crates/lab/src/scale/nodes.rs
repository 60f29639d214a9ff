//! Real nodes as members of the fleet, in addition to the in-process members: measures what membership costs the real
//! program.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use linestack_rig::process::Process;
use serde::Serialize;
use serde_json::json;

use super::coordinators::FLEET_ID;
use super::machine::Usage;
use super::policy;

/// Memory limit of a node, which handles only control traffic here.
const MEMORY_LIMIT_MIB: u64 = 128;
/// File descriptor limit of a node.
const DESCRIPTOR_LIMIT: u64 = 1024;

/// Resource usage of one real node while nothing changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RealNode {
    /// Processor time, in thousandths of a core.
    pub core_thousandths: f64,
    pub resident_bytes: u64,
    pub threads: u64,
}

/// Real nodes. Dropping them ends their processes.
pub struct RealNodes {
    processes: Vec<Process>,
    /// A discovery service that accepts connections and sends no list, so that the nodes know no executors.
    _discovery: TcpListener,
}

impl RealNodes {
    /// Starts `count` nodes as members of the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if a node does not start to listen.
    pub fn start(
        count: usize,
        program: &Path,
        folder: &Path,
        coordinators: &[SocketAddr],
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = listener.local_addr()?.to_string();
        let mut processes = Vec::new();
        for number in 0..count {
            let name = format!("node-{number:03}");
            let process_folder = folder.join(&name);
            std::fs::create_dir_all(&process_folder)?;
            let (node_file, fleet_file) =
                (process_folder.join("node.json"), process_folder.join("fleet.toml"));
            let limits = json!({"memory_mb": MEMORY_LIMIT_MIB, "sockets": DESCRIPTOR_LIMIT});
            let node_config = json!({"name": name, "seed": format!("{number:x}"), "listen": "127.0.0.1:0",
                "discovery": discovery, "limits": limits, "settings": policy::node_settings_json()});
            std::fs::write(&node_file, node_config.to_string())?;
            let mut process = Process::new(&name, process_folder, program, &[]);
            let fleet_config = json!({"fleet": {"id": FLEET_ID, "member": name, "coordinators": coordinators,
                "folder": process.store_folder()}});
            std::fs::write(&fleet_file, toml::to_string(&fleet_config).map_err(io::Error::other)?)?;
            let variable = |key: &str, path: &Path| (key.to_owned(), path.to_string_lossy().into_owned());
            process.variables =
                vec![variable("PROXY_CONFIG", &node_file), variable("PROXY_FLEET", &fleet_file)];
            process.start()?;
            processes.push(process);
        }
        for process in &mut processes {
            process.wait_until_listening(0)?;
        }
        Ok(Self { processes, _discovery: listener })
    }

    /// Returns the resource usage of each node.
    ///
    /// # Errors
    ///
    /// Returns an error if a node has exited, or if `/proc` cannot be read.
    pub fn usage(&self) -> io::Result<Vec<Usage>> {
        let exited = |process: &Process| io::Error::other(format!("node {} has exited", process.name));
        self.processes.iter().map(|p| Usage::of(p.id().ok_or_else(|| exited(p))?)).collect()
    }
}

/// Returns the resource usage of each node between two readings that are `seconds` apart.
#[must_use]
pub fn usage_between(before: &[Usage], after: &[Usage], seconds: f64) -> Vec<RealNode> {
    let difference = |(before, after): (&Usage, &Usage)| RealNode {
        core_thousandths: (after.processor_s - before.processor_s) / seconds * 1e3,
        resident_bytes: after.resident_bytes,
        threads: after.threads,
    };
    before.iter().zip(after).map(difference).collect()
}
