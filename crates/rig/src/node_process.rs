//! One real node, for whoever wants no fleet.

use std::io::{self, BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::Value;

/// A real node, ended when it is dropped.
pub struct NodeProcess {
    process: Child,
    /// Where it listens for clients.
    pub address: SocketAddr,
    file: PathBuf,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl NodeProcess {
    /// StagedStart the program at `program` with this configuration, and waits until it listens.
    ///
    /// # Errors
    ///
    /// It can't be started, or ends before it listens.
    pub fn start(program: &Path, configuration: &Value) -> io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("linestack-lab-{}-{number}.json", std::process::id()));
        std::fs::write(&file, configuration.to_string())?;
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", &file).env_remove("PROXY_LISTEN").env_remove("PROXY_DISCOVERY");
        command.env_remove("PROXY_NAME").env_remove("PROXY_LOG").stderr(Stdio::piped());
        let mut process = command.spawn()?;
        let Some(log) = process.stderr.take() else { return Err(io::Error::other("no log")) };
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let address = lines.find_map(|l| l.split_once("listen=")?.1.split(' ').next()?.parse().ok());
        std::thread::spawn(move || lines.for_each(drop));
        let Some(address) = address else {
            let _ = process.kill();
            let _ = process.wait();
            let _ = std::fs::remove_file(&file);
            return Err(io::Error::other(format!("{} ended before it listened", program.display())));
        };
        Ok(Self { process, address, file })
    }

    /// The node's program beside this one.
    ///
    /// # Errors
    ///
    /// It is not there: it wants to be built first.
    pub fn program() -> io::Result<PathBuf> {
        let path = std::env::current_exe()?.with_file_name("linestack");
        if path.exists() {
            return Ok(path);
        }
        let why = format!("{}: not there; `cargo build --release` makes it", path.display());
        Err(io::Error::other(why))
    }
}
