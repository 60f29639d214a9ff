//! Many starts and stops of the real program, side by side: how many came up in time, late, never, or were refused.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use linestack_rig::stand_ins::StandInFleet;

/// The most nodes that are alive at a time.
pub const MAX_CONCURRENT_STARTS: usize = 1024;

#[derive(Clone, Debug)]
pub struct Plan {
    pub count: u64,
    /// Alive at a time, [`MAX_CONCURRENT_STARTS`] at most.
    pub at_once: usize,
    /// From the start of the process to a 200 of `/healthz`; what takes longer is late.
    pub ready_within: Duration,
    /// What takes longer than this hangs, at the start and at the stop.
    pub hung_after: Duration,
    /// Words that go before the program, such as `taskset -c 0`.
    pub via: Vec<String>,
}

/// What came of the starts. Each is counted in one of the first four.
#[derive(Clone, Debug, Default)]
pub struct StartCounts {
    pub ready: u64,
    pub late: u64,
    pub hung: u64,
    /// The process ended before it served.
    pub refused: u64,
    /// Served, and then did not end with 0 in time after SIGTERM.
    pub stopped_badly: u64,
    pub longest: Duration,
    /// What the threads of those that hung were doing, and the last words of those that were refused.
    pub notes: Vec<String>,
}

impl StartCounts {
    /// All served in time and ended well.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.late + self.hung + self.refused + self.stopped_badly == 0
    }
}

enum End {
    Served(Duration, Option<String>),
    Hung(String),
    Refused(String),
}

/// A node that is killed when it is let go, and its file.
struct Run {
    process: Child,
    file: PathBuf,
}

impl Drop for Run {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts and stops the program as often as planned.
///
/// # Errors
///
/// Nothing to start, too many at once, or the fleet's stand-ins could not be reached by name.
pub fn run_starts(program: &Path, fleet: &StandInFleet, plan: &Plan) -> io::Result<StartCounts> {
    if plan.count == 0 || plan.at_once == 0 || plan.at_once > MAX_CONCURRENT_STARTS {
        return Err(io::Error::other(format!(
            "one start at least, from 1 to {MAX_CONCURRENT_STARTS} at once"
        )));
    }
    let (next, counted) = (AtomicU64::new(0), Mutex::new(StartCounts::default()));
    std::thread::scope(|scope| {
        for _ in 0..plan.at_once {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= plan.count {
                        return;
                    }
                    let end = once(program, fleet, plan, number);
                    note(&mut counted.lock().unwrap_or_else(PoisonError::into_inner), plan, end);
                }
            });
        }
    });
    Ok(counted.into_inner().unwrap_or_else(PoisonError::into_inner))
}

fn note(all: &mut StartCounts, plan: &Plan, end: io::Result<End>) {
    let mut keep = |what: String| {
        if all.notes.len() < 16 {
            all.notes.push(what);
        }
    };
    match end {
        Ok(End::Served(took, stop)) => {
            all.longest = all.longest.max(took);
            *(if took <= plan.ready_within { &mut all.ready } else { &mut all.late }) += 1;
            all.stopped_badly += u64::from(stop.is_some());
            stop.into_iter().for_each(&mut keep);
        }
        Ok(End::Hung(what)) => {
            all.hung += 1;
            keep(what);
        }
        Ok(End::Refused(what)) => {
            all.refused += 1;
            keep(what);
        }
        Err(why) => {
            all.refused += 1;
            keep(why.to_string());
        }
    }
}

fn once(program: &Path, fleet: &StandInFleet, plan: &Plan, number: u64) -> io::Result<End> {
    let file = std::env::temp_dir().join(format!("linestack-starts-{}-{number}.json", std::process::id()));
    std::fs::write(&file, fleet.configuration(&format!("n{number}"), number).to_string())?;
    let mut words = plan.via.iter().map(PathBuf::from).chain([program.to_path_buf()]);
    let first = words.next().unwrap_or_default();
    let mut command = Command::new(first);
    command.args(words).env("PROXY_CONFIG", &file).stdin(Stdio::null()).stderr(Stdio::piped());
    for key in ["PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_NAME", "PROXY_LOG"] {
        command.env_remove(key);
    }
    let begin = Instant::now();
    let process = command.spawn();
    let mut run = match process {
        Ok(process) => Run { process, file },
        Err(why) => {
            let _ = std::fs::remove_file(&file);
            return Err(why);
        }
    };
    // Lines come by a thread of their own: one that never comes must not keep us.
    let (lines, heard) = channel();
    if let Some(log) = run.process.stderr.take() {
        std::thread::spawn(move || {
            BufReader::new(log).lines().map_while(Result::ok).for_each(|line| drop(lines.send(line)));
        });
    }
    let (mut address, mut last) = (None, String::new());
    while address.is_none() {
        match heard.recv_timeout(plan.hung_after.saturating_sub(begin.elapsed())) {
            Ok(line) => {
                address = listens(&line);
                last = line;
            }
            Err(RecvTimeoutError::Timeout) => return Ok(End::Hung(threads(&run, "not listening"))),
            Err(RecvTimeoutError::Disconnected) => return Ok(End::Refused(last)),
        }
    }
    let Some(address) = address else { return Ok(End::Refused(last)) };
    while !healthy(address, plan.hung_after.saturating_sub(begin.elapsed())) {
        if begin.elapsed() >= plan.hung_after {
            return Ok(End::Hung(threads(&run, "not serving")));
        }
        // Asked every 2 ms over new connections, four hundred nodes had no time left to start.
        std::thread::sleep(Duration::from_millis(50));
    }
    let took = begin.elapsed();
    Command::new("kill").args(["-TERM", &run.process.id().to_string()]).status()?;
    let stopping = Instant::now();
    while stopping.elapsed() < plan.hung_after {
        if let Some(status) = run.process.try_wait()? {
            let bad = (!status.success()).then(|| format!("after SIGTERM: {status}"));
            return Ok(End::Served(took, bad));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(End::Served(took, Some(threads(&run, "not ended after SIGTERM"))))
}

fn listens(line: &str) -> Option<SocketAddr> {
    line.split_once("listen=")?.1.split(' ').next()?.parse().ok()
}

/// Whether the node says that it serves.
fn healthy(address: SocketAddr, within: Duration) -> bool {
    let within = within.max(Duration::from_millis(1));
    let asked = TcpStream::connect_timeout(&address, within).and_then(|mut socket| {
        socket.set_read_timeout(Some(within))?;
        socket.write_all(b"GET /healthz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        socket.read_exact(&mut answer)?;
        Ok(answer)
    });
    asked.is_ok_and(|answer| &answer[9..] == b"200")
}

/// What each thread of a process of ours does: its state, the processor time that it had, and the system call.
fn threads(run: &Run, what: &str) -> String {
    let mut text = format!("{what}:");
    for task in std::fs::read_dir(format!("/proc/{}/task", run.process.id())).into_iter().flatten().flatten()
    {
        let read = |name: &str| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let (stat, call) = (read("stat"), read("syscall"));
        let after: Vec<&str> =
            stat.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
        let field = |i: usize| after.get(i).copied().unwrap_or("?");
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
