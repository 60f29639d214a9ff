//! Starts and stops many processes of the real program concurrently, and counts how many became ready in time, became
//! ready late, hung, or exited before they served.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use linestack_rig::stand_ins::StandInFleet;

/// Maximum number of node processes that run at the same time.
pub const MAX_CONCURRENT_STARTS: usize = 1024;
/// Maximum number of notes that are kept about processes that failed.
const MAX_NOTES: usize = 16;
/// Interval between health checks of a process that starts. Polling every 2 ms, each time over a new connection, left
/// 400 nodes too little processor time to start.
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks whether a process has exited after SIGTERM.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How many processes are started, and the time limits that they are held to.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Total number of starts.
    pub count: u64,
    /// Processes that run at the same time, from 1 to [`MAX_CONCURRENT_STARTS`].
    pub at_once: usize,
    /// Time limit from the start of a process to a 200 from `/healthz`. A process that takes longer counts as late.
    pub ready_within: Duration,
    /// A start or a stop that takes longer than this counts as hung.
    pub hung_after: Duration,
    /// Command prefix under which the program is run, such as `taskset -c 0`.
    pub via: Vec<String>,
}

/// Counts of the results. Each start is counted in exactly one of `ready`, `late`, `hung` and `refused`.
#[derive(Clone, Debug, Default)]
pub struct StartCounts {
    /// Served within [`Plan::ready_within`].
    pub ready: u64,
    /// Served later than that.
    pub late: u64,
    /// Did not serve within [`Plan::hung_after`].
    pub hung: u64,
    /// Exited before they served, or could not be run.
    pub refused: u64,
    /// Served, and then did not exit with status 0 in time after SIGTERM.
    pub stopped_badly: u64,
    /// Longest time until a process served.
    pub longest: Duration,
    /// The state of the threads of processes that hung, and the last log line or error of those that were refused.
    pub notes: Vec<String>,
}

impl StartCounts {
    /// Returns whether all processes served in time and stopped cleanly.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.late + self.hung + self.refused + self.stopped_badly == 0
    }
}

/// Result of one start.
enum StartResult {
    /// The process served.
    Served {
        /// Time from the start of the process until it served.
        elapsed: Duration,
        /// Why the stop failed, if it did.
        stop_failure: Option<String>,
    },
    /// The process did not serve in time. Holds the state of its threads.
    Hung(String),
    /// The process exited before it served. Holds its last log line.
    Refused(String),
}

/// A node process and its configuration file. Dropping it kills the process and removes the file.
struct RunningNode {
    process: Child,
    file: PathBuf,
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts and stops the program `plan.count` times, up to `plan.at_once` processes at a time.
///
/// # Errors
///
/// Returns an error if the counts of the plan are out of range. A process that cannot be run counts as refused.
pub fn run_starts(program: &Path, fleet: &StandInFleet, plan: &Plan) -> io::Result<StartCounts> {
    if plan.count == 0 || plan.at_once == 0 || plan.at_once > MAX_CONCURRENT_STARTS {
        return Err(io::Error::other(format!(
            "expected at least 1 start and from 1 to {MAX_CONCURRENT_STARTS} at once, got {} starts and {} at once",
            plan.count, plan.at_once
        )));
    }
    let (next, counts) = (AtomicU64::new(0), Mutex::new(StartCounts::default()));
    std::thread::scope(|scope| {
        for _ in 0..plan.at_once {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= plan.count {
                        return;
                    }
                    let result = start_and_stop(program, fleet, plan, number);
                    record(&mut counts.lock().unwrap_or_else(PoisonError::into_inner), plan, result);
                }
            });
        }
    });
    Ok(counts.into_inner().unwrap_or_else(PoisonError::into_inner))
}

fn record(counts: &mut StartCounts, plan: &Plan, result: io::Result<StartResult>) {
    let mut add_note = |note: String| {
        if counts.notes.len() < MAX_NOTES {
            counts.notes.push(note);
        }
    };
    match result {
        Ok(StartResult::Served { elapsed, stop_failure }) => {
            counts.longest = counts.longest.max(elapsed);
            *(if elapsed <= plan.ready_within { &mut counts.ready } else { &mut counts.late }) += 1;
            counts.stopped_badly += u64::from(stop_failure.is_some());
            stop_failure.into_iter().for_each(&mut add_note);
        }
        Ok(StartResult::Hung(threads)) => {
            counts.hung += 1;
            add_note(threads);
        }
        Ok(StartResult::Refused(last_line)) => {
            counts.refused += 1;
            add_note(last_line);
        }
        Err(error) => {
            counts.refused += 1;
            add_note(error.to_string());
        }
    }
}

/// Starts one process, waits until it serves, and stops it with SIGTERM.
fn start_and_stop(program: &Path, fleet: &StandInFleet, plan: &Plan, number: u64) -> io::Result<StartResult> {
    let file = std::env::temp_dir().join(format!("linestack-starts-{}-{number}.json", std::process::id()));
    std::fs::write(&file, fleet.configuration(&format!("n{number}"), number).to_string())?;
    let mut command_line = plan.via.iter().map(PathBuf::from).chain([program.to_path_buf()]);
    let executable = command_line.next().unwrap_or_default();
    let mut command = Command::new(executable);
    command.args(command_line).env("PROXY_CONFIG", &file).stdin(Stdio::null()).stderr(Stdio::piped());
    for key in ["PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_NAME", "PROXY_LOG"] {
        command.env_remove(key);
    }
    let begin = Instant::now();
    let process = command.spawn();
    let mut node = match process {
        Ok(process) => RunningNode { process, file },
        Err(error) => {
            let _ = std::fs::remove_file(&file);
            return Err(error);
        }
    };
    // The log is read on a thread of its own, so that the wait for a line has a time limit.
    let (sender, lines) = channel();
    if let Some(log) = node.process.stderr.take() {
        std::thread::spawn(move || {
            BufReader::new(log).lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
    }
    let (mut address, mut last_line) = (None, String::new());
    while address.is_none() {
        match lines.recv_timeout(plan.hung_after.saturating_sub(begin.elapsed())) {
            Ok(line) => {
                address = listen_address(&line);
                last_line = line;
            }
            Err(RecvTimeoutError::Timeout) => {
                return Ok(StartResult::Hung(describe_threads(&node, "not listening")));
            }
            Err(RecvTimeoutError::Disconnected) => return Ok(StartResult::Refused(last_line)),
        }
    }
    let Some(address) = address else { return Ok(StartResult::Refused(last_line)) };
    while !is_healthy(address, plan.hung_after.saturating_sub(begin.elapsed())) {
        if begin.elapsed() >= plan.hung_after {
            return Ok(StartResult::Hung(describe_threads(&node, "not serving")));
        }
        std::thread::sleep(HEALTH_POLL_INTERVAL);
    }
    let elapsed = begin.elapsed();
    Command::new("kill").args(["-TERM", &node.process.id().to_string()]).status()?;
    let stop_begin = Instant::now();
    while stop_begin.elapsed() < plan.hung_after {
        if let Some(status) = node.process.try_wait()? {
            let stop_failure = (!status.success()).then(|| format!("after SIGTERM: {status}"));
            return Ok(StartResult::Served { elapsed, stop_failure });
        }
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
    let stop_failure = Some(describe_threads(&node, "still running after SIGTERM"));
    Ok(StartResult::Served { elapsed, stop_failure })
}

/// Returns the address that a log line gives as `listen=ADDRESS`, if it does.
fn listen_address(line: &str) -> Option<SocketAddr> {
    line.split_once("listen=")?.1.split(' ').next()?.parse().ok()
}

/// Returns whether `/healthz` answers 200 within the time limit.
fn is_healthy(address: SocketAddr, within: Duration) -> bool {
    // The socket functions reject a time-out of 0.
    let within = within.max(Duration::from_millis(1));
    let response = TcpStream::connect_timeout(&address, within).and_then(|mut socket| {
        socket.set_read_timeout(Some(within))?;
        socket.write_all(b"GET /healthz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
        let mut status_line = [0; b"HTTP/1.1 200".len()];
        socket.read_exact(&mut status_line)?;
        Ok(status_line)
    });
    response.is_ok_and(|status_line| &status_line[9..] == b"200")
}

/// Describes each thread of the process: its state, the processor time that it has used, and its system call.
fn describe_threads(node: &RunningNode, problem: &str) -> String {
    let mut text = format!("{problem}:");
    for task in std::fs::read_dir(format!("/proc/{}/task", node.process.id())).into_iter().flatten().flatten()
    {
        let read = |name: &str| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let (stat, call) = (read("stat"), read("syscall"));
        // Counted from after the thread's name: 0 is the state, 11 and 12 are the user and the system time in ticks.
        let fields: Vec<&str> =
            stat.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
        let field = |i: usize| fields.get(i).copied().unwrap_or("?");
        let call = call.split(' ').next().unwrap_or("?").trim();
        text += &format!(
            " [{} {} utime {} stime {} call {call}]",
            read("comm").trim(),
            field(0),
            field(11),
            field(12)
        );
    }
    text
}
