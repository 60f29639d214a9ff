//! Real nodes as members beside the hollow ones: what a session costs the real program.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use linestack_rig::process::Process;
use serde::Serialize;
use serde_json::json;

use super::coordinators::FLEET;
use super::machine::Usage;
use super::policy;

/// What a node may take for control, in MiB, and its descriptors.
const MEMORY_MB: u64 = 128;
const DESCRIPTORS: u64 = 1024;

/// What one real node spent while nothing changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RealNode {
    pub core_thousandths: f64,
    pub resident_bytes: u64,
    pub threads: u64,
}

pub struct Nodes {
    processes: Vec<Process>,
    /// Takes connections and tells nothing: the nodes know no executors.
    _discovery: TcpListener,
}

impl Nodes {
    /// Starts so many nodes as members of the fleet.
    ///
    /// # Errors
    ///
    /// One of them does not listen.
    pub fn start(
        count: usize,
        program: &Path,
        folder: &Path,
        coordinators: &[SocketAddr],
    ) -> io::Result<Self> {
        let silent = TcpListener::bind("127.0.0.1:0")?;
        let discovery = silent.local_addr()?.to_string();
        let mut processes = Vec::new();
        for number in 0..count {
            let name = format!("node-{number:03}");
            let place = folder.join(&name);
            std::fs::create_dir_all(&place)?;
            let (configuration, fleet) = (place.join("node.json"), place.join("fleet.toml"));
            let limits = json!({"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
            let told = json!({"name": name, "seed": format!("{number:x}"), "listen": "127.0.0.1:0",
                "discovery": discovery, "limits": limits, "settings": policy::node_value()});
            std::fs::write(&configuration, told.to_string())?;
            let mut process = Process::new(&name, place, program, &[]);
            let told = json!({"fleet": {"id": FLEET, "member": name, "coordinators": coordinators,
                "folder": process.store_folder()}});
            std::fs::write(&fleet, toml::to_string(&told).map_err(io::Error::other)?)?;
            let variable = |key: &str, path: &Path| (key.to_owned(), path.to_string_lossy().into_owned());
            process.variables =
                vec![variable("PROXY_CONFIG", &configuration), variable("PROXY_FLEET", &fleet)];
            process.start()?;
            processes.push(process);
        }
        for process in &mut processes {
            process.wait_until_listening(0)?;
        }
        Ok(Self { processes, _discovery: silent })
    }

    /// What each uses.
    ///
    /// # Errors
    ///
    /// One of them has ended.
    pub fn usage(&self) -> io::Result<Vec<Usage>> {
        let gone = |process: &Process| io::Error::other(format!("{} has ended", process.name));
        self.processes.iter().map(|p| Usage::of(p.id().ok_or_else(|| gone(p))?)).collect()
    }
}

/// What nodes spent between two looks.
#[must_use]
pub fn spent(before: &[Usage], after: &[Usage], seconds: f64) -> Vec<RealNode> {
    let spent = |(before, after): (&Usage, &Usage)| RealNode {
        core_thousandths: (after.processor_s - before.processor_s) / seconds * 1e3,
        resident_bytes: after.resident_bytes,
        threads: after.threads,
    };
    before.iter().zip(after).map(spent).collect()
}
