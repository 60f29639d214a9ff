//! The project's processes: started with the commands of `deploy/balancer.toml`, ended by their ids.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::is_ready;
use crate::{unix_ms, Random};

/// Returns the root of the repository: the case's folder is `review/N` in it.
pub fn root(case: &Path) -> PathBuf {
    case.join("../..").canonicalize().expect("the repository's root")
}

/// Returns a command of the deploy file.
pub fn deploy_command(root: &Path, name: &str) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == name).then(|| value.trim().trim_matches('"').to_owned())
    });
    line.unwrap_or_else(|| panic!("no command {name} in deploy/balancer.toml"))
}

/// A temporary folder, removed when it is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A real node. It is killed when it is dropped.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub log: PathBuf,
    child: Child,
}

/// What a node is started with.
pub struct NodeStart<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub name: &'a str,
    pub address: SocketAddr,
    pub discovery: SocketAddr,
    /// The text of the list under `known`.
    pub known: &'a str,
    /// The text of the settings.
    pub settings: &'a str,
    /// The limit on the node's memory.
    pub memory_mb: u64,
    /// Further environment variables.
    pub variables: &'a [(&'a str, String)],
}

impl Node {
    /// Starts a node by the command `run`.
    pub fn start(start: &NodeStart) -> Self {
        let NodeStart { root, folder, name, address, discovery, known, settings, memory_mb, variables } = start;
        let config = folder.join(format!("{name}.json"));
        // A seed of its own for each start.
        let seed = Random(unix_ms() ^ name.bytes().map(u64::from).fold(0, |sum, byte| sum * 257 + byte)).next();
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":1024}},\"known\":{known},\"settings\":{settings}}}"
        );
        fs::write(&config, text).expect("the node's configuration");
        let log = folder.join(format!("{name}.log"));
        let out = File::options().create(true).append(true).open(&log).expect("the node's log");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(deploy_command(root, "run"))
            .current_dir(root)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &config)
            .env("PROXY_LOG", std::env::var("CASE_LOG").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("the log"))
            .stderr(out);
        for (key, value) in *variables {
            command.env(key, value);
        }
        let child = command.spawn().expect("the node starts");
        // `run.sh` ends what is left if this program itself is ended.
        if let Ok(pids) = std::env::var("CASE_PIDS") {
            let file = File::options().create(true).append(true).open(pids);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        Self { name: (*name).to_owned(), address: *address, log, child }
    }

    /// Waits until the node is ready, at most for this long.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if is_ready(self.address) {
                return true;
            }
            if self.has_ended() {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns the memory of the process that is not mapped from files, in KiB.
    pub fn own_memory_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
