//! The platform: starts the program with the commands of the deploy file, sends signals, and keeps a temporary folder.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::{http, sleep_ms, Failure};

/// The command `run` of the deploy file.
const RUN: &str = "exec target/release/linestack";

/// A temporary folder, which is removed in the end unless `KEEP` is set.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn create() -> Result<Self, Failure> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Self(path))
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, Failure> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The root of the repository.
fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

/// Returns a loopback address whose port is free now.
pub fn free_address() -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// A process of the program, which is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the command `run` with these words behind it and these variables. Its log goes to the file.
    pub fn start(words: &str, variables: &[(&str, String)], log: &Path) -> Result<Self, Failure> {
        let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{RUN} {words}")).current_dir(root()).stdin(Stdio::null());
        command.stdout(log.try_clone().map_err(|e| e.to_string())?).stderr(log);
        command.envs(variables.iter().map(|(name, value)| (name, value)));
        Ok(Self { child: command.spawn().map_err(|e| format!("{RUN}: {e}"))? })
    }

    /// The number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The memory that the process has for itself, in KiB: what is mapped from files is left out.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, timeout: Duration) -> Result<Option<i32>, Failure> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Some(status) = self.child.try_wait().map_err(|e| e.to_string())? {
                return Ok(status.code());
            }
            sleep_ms(10);
        }
        Err("a process did not end in time".into())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a command of the program to its end, and returns its exit code and what it printed.
pub fn command(words: &[&str]) -> Result<(i32, String), Failure> {
    let output = Command::new(root().join("target/release/linestack")).args(words).output();
    let output = output.map_err(|e| format!("linestack {words:?}: {e}"))?;
    let text = [output.stdout, output.stderr].concat();
    Ok((output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned()))
}

/// Waits until a node is ready.
pub fn wait_until_ready(node: SocketAddr) -> Result<(), Failure> {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(15) {
        if http::get(node, "/healthz").is_ok_and(|(status, _)| status == 200) {
            return Ok(());
        }
        sleep_ms(10);
    }
    Err("the node was not ready in 15 s".into())
}

/// Copies a folder with its files.
pub fn copy_folder(from: &Path, to: &Path) -> Result<(), Failure> {
    let error = |e: std::io::Error| format!("{}: {e}", from.display());
    fs::create_dir_all(to).map_err(error)?;
    for entry in fs::read_dir(from).map_err(error)? {
        let entry = entry.map_err(error)?;
        fs::copy(entry.path(), to.join(entry.file_name())).map_err(error)?;
    }
    Ok(())
}
