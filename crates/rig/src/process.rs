//! One process of the program, with a folder of its own, that can be killed, stopped, and started again.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// No start and no end takes longer; a run that waits longer fails.
pub const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A process that can be started again and again. It is killed when this is dropped.
pub struct Process {
    /// What plans and histories call it.
    pub name: String,
    /// Holds its configuration, its log, its history and what it stores.
    pub folder: PathBuf,
    program: PathBuf,
    words: Vec<String>,
    /// Environment variables for every start.
    pub variables: Vec<(String, String)>,
    /// Words for its next start alone.
    pub next_start_arguments: Vec<String>,
    child: Option<Child>,
    /// It was sent SIGSTOP, and not SIGCONT since.
    pub paused: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

impl Process {
    /// A process of the program with these arguments, which does not run yet.
    #[must_use]
    pub fn new(name: &str, folder: PathBuf, program: &Path, words: &[&str]) -> Self {
        let words = words.iter().map(|w| (*w).to_owned()).collect();
        let (name, program) = (name.to_owned(), program.to_owned());
        Self {
            name,
            folder,
            program,
            words,
            variables: Vec::new(),
            next_start_arguments: Vec::new(),
            child: None,
            paused: false,
        }
    }

    /// What must last is in here, and what the process was told is not.
    #[must_use]
    pub fn store(&self) -> PathBuf {
        self.folder.join("store")
    }

    /// Where its log goes.
    #[must_use]
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Whether it was started and has not been seen to end.
    #[must_use]
    pub fn running(&self) -> bool {
        self.child.is_some()
    }

    /// Its number at the system, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// StagedStart it. Its log is appended to that of earlier runs.
    ///
    /// # Errors
    ///
    /// It can't be started, or it runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Err(io::Error::other(format!("{} runs", self.name)));
        }
        fs::create_dir_all(self.store())?;
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log())?;
        let mut command = Command::new(&self.program);
        for key in ["CONFIG", "LISTEN", "DISCOVERY", "NAME", "LOG", "FLEET", "STORE", "START", "PEERS"] {
            command.env_remove(format!("PROXY_{key}"));
        }
        command
            .args(&self.words)
            .args(self.next_start_arguments.drain(..))
            .envs(self.variables.iter().map(|(k, v)| (k, v)));
        self.child = Some(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?);
        self.paused = false;
        Ok(())
    }

    /// Waits until a run that began when the log had `from` bytes has told where it listens.
    ///
    /// # Errors
    ///
    /// It ended, or took too long.
    pub fn wait_until_listening(&mut self, from: u64) -> io::Result<SocketAddr> {
        let begin = Instant::now();
        loop {
            let text = fs::read(self.log()).unwrap_or_default();
            let text = String::from_utf8_lossy(text.get(from as usize..).unwrap_or_default()).into_owned();
            // Only whole lines: the address of one that is being written may be cut.
            let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
            let listen =
                whole.lines().find_map(|l| l.split_once("listen=")?.1.split(' ').next()?.parse().ok());
            if let Some(address) = listen {
                return Ok(address);
            }
            let ended = match &mut self.child {
                Some(child) => child.try_wait()?.is_some(),
                None => true,
            };
            if ended || begin.elapsed() > PROCESS_TIMEOUT {
                self.child = self.child.take().filter(|_| !ended);
                let last = whole.lines().last().unwrap_or("no word");
                return Err(io::Error::other(format!("{} does not listen: {last}", self.name)));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// What stands behind a word in the log of a run that began when it had `from` bytes.
    #[must_use]
    pub fn log_value(&self, word: &str, from: u64) -> Option<String> {
        let text = fs::read(self.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(text.get(from as usize..).unwrap_or_default()).into_owned();
        text.lines().find_map(|l| l.split_once(word)?.1.split(' ').next().map(str::to_owned))
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Err(io::Error::other(format!("{} is down", self.name))) };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        Ok(kill_process(pid.ok_or(io::Error::other("no such process"))?, signal)?)
    }

    /// Kills it outright, and waits until it is gone.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Has it stand still, or go on.
    ///
    /// # Errors
    ///
    /// It does not run.
    pub fn pause(&mut self, paused: bool) -> io::Result<()> {
        self.signal(if paused { Signal::STOP } else { Signal::CONT })?;
        self.paused = paused;
        Ok(())
    }

    /// Whether it has ended by itself, and how.
    ///
    /// # Errors
    ///
    /// The system's.
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

    /// Waits until it has ended by itself; after that it is killed.
    ///
    /// # Errors
    ///
    /// The system's.
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

/// Copies a folder and what is in it.
///
/// # Errors
///
/// The system's.
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
