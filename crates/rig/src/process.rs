//! A process of the program with its own folder, which can be killed, paused, stopped and started again.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// The time limit of each start, stop and wait for an event. A run that exceeds it fails.
pub const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A process that can be started repeatedly. It is killed on drop.
pub struct Process {
    /// The name in plans and histories.
    pub name: String,
    /// The folder with its configuration, log, history and store.
    pub folder: PathBuf,
    program: PathBuf,
    arguments: Vec<String>,
    /// The environment variables that every start sets.
    pub variables: Vec<(String, String)>,
    /// Additional arguments of the next start alone.
    pub next_start_arguments: Vec<String>,
    child: Option<Child>,
    /// Whether the process was sent SIGSTOP, and no SIGCONT since.
    pub paused: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

impl Process {
    /// Creates a process of the program with these arguments, without starting it.
    #[must_use]
    pub fn new(name: &str, folder: PathBuf, program: &Path, arguments: &[&str]) -> Self {
        let arguments = arguments.iter().map(|a| (*a).to_owned()).collect();
        let (name, program) = (name.to_owned(), program.to_owned());
        Self {
            name,
            folder,
            program,
            arguments,
            variables: Vec::new(),
            next_start_arguments: Vec::new(),
            child: None,
            paused: false,
        }
    }

    /// Returns the path of the folder with the persistent data, which does not contain the configuration.
    #[must_use]
    pub fn store_folder(&self) -> PathBuf {
        self.folder.join("store")
    }

    /// Returns the path of the log file.
    #[must_use]
    pub fn log_file(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Returns whether the process was started and has not been observed to end.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the process id while the process runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process. Its log is appended to the log of earlier runs.
    ///
    /// # Errors
    ///
    /// The process cannot be started, or it already runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Err(io::Error::other(format!("{} is already running", self.name)));
        }
        fs::create_dir_all(self.store_folder())?;
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_file())?;
        let mut command = Command::new(&self.program);
        for key in ["CONFIG", "LISTEN", "DISCOVERY", "NAME", "LOG", "FLEET", "STORE", "START", "PEERS"] {
            command.env_remove(format!("PROXY_{key}"));
        }
        command
            .args(&self.arguments)
            .args(self.next_start_arguments.drain(..))
            .envs(self.variables.iter().map(|(k, v)| (k, v)));
        self.child = Some(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?);
        self.paused = false;
        Ok(())
    }

    /// Waits until the process has logged its listen address, and returns it. `log_length` is the length of the log in
    /// bytes when the process was started.
    ///
    /// # Errors
    ///
    /// The process ended, or did not log an address in time.
    pub fn wait_until_listening(&mut self, log_length: u64) -> io::Result<SocketAddr> {
        let begin = Instant::now();
        loop {
            let text = fs::read(self.log_file()).unwrap_or_default();
            let text =
                String::from_utf8_lossy(text.get(log_length as usize..).unwrap_or_default()).into_owned();
            // Only complete lines are parsed: in a line that is still being written, the address may be truncated.
            let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
            let listen_address =
                complete.lines().find_map(|l| l.split_once("listen=")?.1.split(' ').next()?.parse().ok());
            if let Some(address) = listen_address {
                return Ok(address);
            }
            let ended = match &mut self.child {
                Some(child) => child.try_wait()?.is_some(),
                None => true,
            };
            if ended || begin.elapsed() > PROCESS_TIMEOUT {
                self.child = self.child.take().filter(|_| !ended);
                let last = complete.lines().last().unwrap_or("its log is empty");
                return Err(io::Error::other(format!("{} does not listen: {last}", self.name)));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Returns the text after `key`, up to the next space, in the log after its first `log_length` bytes.
    #[must_use]
    pub fn log_value(&self, key: &str, log_length: u64) -> Option<String> {
        let text = fs::read(self.log_file()).unwrap_or_default();
        let text = String::from_utf8_lossy(text.get(log_length as usize..).unwrap_or_default()).into_owned();
        text.lines().find_map(|l| l.split_once(key)?.1.split(' ').next().map(str::to_owned))
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// The process does not run.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Err(io::Error::other(format!("{} is not running", self.name)));
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        Ok(kill_process(pid.ok_or(io::Error::other("no such process"))?, signal)?)
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    ///
    /// # Errors
    ///
    /// A system call fails.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Pauses the process with SIGSTOP, or resumes it with SIGCONT.
    ///
    /// # Errors
    ///
    /// The process does not run.
    pub fn set_paused(&mut self, paused: bool) -> io::Result<()> {
        self.signal(if paused { Signal::STOP } else { Signal::CONT })?;
        self.paused = paused;
        Ok(())
    }

    /// Returns the exit status if the process has ended since the last call, without waiting.
    ///
    /// # Errors
    ///
    /// A system call fails.
    pub fn poll_exit(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = match &mut self.child {
            Some(child) => child.try_wait()?,
            None => None,
        };
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Waits for the process to end and returns its exit status. If it has not ended in time, kills it and returns
    /// `None`.
    ///
    /// # Errors
    ///
    /// A system call fails.
    pub fn wait_or_kill(&mut self, within: Duration) -> io::Result<Option<ExitStatus>> {
        let begin = Instant::now();
        while begin.elapsed() < within {
            if let Some(status) = self.poll_exit()? {
                return Ok(Some(status));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        self.kill()?;
        Ok(None)
    }
}

/// Copies a folder with its contents recursively.
///
/// # Errors
///
/// A file system operation fails.
pub fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}
