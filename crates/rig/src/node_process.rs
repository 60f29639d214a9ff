//! A single node process, with a temporary configuration file, for uses that need no fleet.

use std::io::{self, BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::Value;

/// A running node, killed when it is dropped.
pub struct NodeProcess {
    process: Child,
    /// The address on which it listens for clients.
    pub address: SocketAddr,
    configuration_file: PathBuf,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.configuration_file);
    }
}

impl NodeProcess {
    /// Starts the program at `program` with a configuration and waits until it listens.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or ends before it listens.
    pub fn start(program: &Path, configuration: &Value) -> io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("linestack-lab-{}-{number}.json", std::process::id()));
        std::fs::write(&file, configuration.to_string())?;
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", &file).env_remove("PROXY_LISTEN").env_remove("PROXY_DISCOVERY");
        command.env_remove("PROXY_NAME").env_remove("PROXY_LOG").stderr(Stdio::piped());
        let mut process = command.spawn()?;
        let Some(log) = process.stderr.take() else {
            return Err(io::Error::other("the node's standard error is not piped"));
        };
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let address = lines.find_map(|l| l.split_once("listen=")?.1.split(' ').next()?.parse().ok());
        std::thread::spawn(move || lines.for_each(drop));
        let Some(address) = address else {
            let _ = process.kill();
            let _ = process.wait();
            let _ = std::fs::remove_file(&file);
            return Err(io::Error::other(format!("{} ended before it listened", program.display())));
        };
        Ok(Self { process, address, configuration_file: file })
    }

    /// Returns the path of the node's program in the folder of this program.
    ///
    /// # Errors
    ///
    /// The node's program has not been built.
    pub fn program_path() -> io::Result<PathBuf> {
        let path = std::env::current_exe()?.with_file_name("linestack");
        if path.exists() {
            return Ok(path);
        }
        Err(io::Error::other(format!("{} not found; build it with `cargo build --release`", path.display())))
    }
}
