//! The coordinators of a fleet, and an operator's commands to them.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::ms;
use crate::node::deploy_command;

/// Returns the path of the program that the command `run` names.
pub fn program(root: &Path) -> PathBuf {
    root.join(deploy_command(root, "run").split_whitespace().next_back().expect("the command run"))
}

pub struct Coordinator {
    pub number: usize,
    pub address: SocketAddr,
    file: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

impl Coordinator {
    /// Writes the file of a coordinator of three, with the values of `deploy/coordinator.toml`. The first policy is `policy.json` in
    /// the folder.
    pub fn new(folder: &Path, number: usize, address: SocketAddr, peers: &[SocketAddr]) -> Self {
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let text = format!(
            "[coordinator]\nfleet = \"review\"\nnumber = {number}\nlisten = \"{address}\"\npeers = [{}]\nfolder = \"{}\"\n\
             first-policy = \"{}\"\nlease-ms = 3000\nhold-ms = 750\ndrift = 10\n",
            peers.join(", "),
            folder.join(format!("c{number}")).display(),
            folder.join("policy.json").display()
        );
        let file = folder.join(format!("c{number}.toml"));
        fs::write(&file, text).expect("a coordinator's file");
        Self { number, address, file, log: folder.join(format!("c{number}.log")), child: None }
    }

    pub fn start(&mut self, program: &Path, first: bool) {
        let log = File::create(&self.log).expect("a coordinator's log");
        let mut command = Command::new(program);
        command.arg("coordinate").arg(&self.file);
        if first {
            command.arg("--first");
        }
        command.env("PROXY_LOG", "info").stdin(Stdio::null()).stdout(log.try_clone().expect("the log")).stderr(log);
        let child = command.spawn().expect("the coordinator starts");
        // `run.sh` ends what is left if this program itself is ended.
        if let Ok(pids) = std::env::var("CASE_PIDS") {
            let file = File::options().create(true).append(true).open(pids);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        self.child = Some(child);
    }

    /// Waits until the process has said that it listens. No connection is made for that.
    pub fn wait_until_started(&self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(5) {
            if fs::read_to_string(&self.log).unwrap_or_default().contains("started") {
                return;
            }
            thread::sleep(ms(2));
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a command of `linestack fleet`, asked of one coordinator.
pub fn fleet(program: &Path, at: SocketAddr, wait_ms: u64, words: &[&str]) -> Child {
    let mut command = Command::new(program);
    command.args(["fleet", "--fleet", "review", "--coordinators", &at.to_string(), "--json", "--wait-ms", &wait_ms.to_string()]);
    command.args(words).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    command.spawn().expect("an operator's command")
}

/// Returns the exit code of a command, and what it printed.
pub fn end(child: Child) -> (i32, String) {
    let output = child.wait_with_output().expect("an operator's command");
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// Returns the number after this key of a JSON object.
pub fn number(text: &str, key: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{key}\":"))?.1;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}
