//! Stand-in executors and a stand-in discovery.

use std::collections::HashMap;
use std::io::{self, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Message;
use crate::{lock, sleep_ms, Record};

/// How many jobs an executor runs at a time, as its load reports tell.
const SLOTS: i64 = 8;

/// A job that has come to an executor.
pub struct Job {
    pub key: String,
    /// How many jobs with this key came to any executor before.
    pub earlier: usize,
}

/// What an executor does with a job.
pub enum Conduct {
    /// Runs it for this time and answers that it is done. The work goes on if the connection closes.
    Serve(Duration),
    /// Its queue is full: it turns the job away, unstarted.
    TurnAway,
    /// Runs it, and its connection breaks after this time, without an answer.
    BreakAfter(Duration),
}

/// Decides what the executors do with each job.
pub type Plan = dyn Fn(&Job) -> Conduct + Send + Sync;

/// An execution that an executor began, other than a repeat that it dropped.
#[derive(Clone)]
pub struct Run {
    pub key: String,
    pub executor: String,
    pub at: Instant,
}

/// Executors of one group. For a keyed class they drop a repeat for the time that the settings name, counted from the first.
pub struct Group {
    record: Arc<Record>,
    memory_span: Option<Duration>,
    plan: Box<Plan>,
    came: Mutex<HashMap<String, usize>>,
    runs: Mutex<Vec<Run>>,
    /// The name and address of each executor.
    members: Mutex<Vec<(String, SocketAddr)>>,
}

impl Group {
    /// Starts executors with these names. Without a memory span nothing is dropped.
    pub fn start(
        record: &Arc<Record>,
        names: &[&str],
        memory_span: Option<Duration>,
        plan: Box<Plan>,
    ) -> io::Result<Arc<Self>> {
        let group = Arc::new(Self {
            record: Arc::clone(record),
            memory_span,
            plan,
            came: Mutex::default(),
            runs: Mutex::default(),
            members: Mutex::default(),
        });
        for name in names {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            lock(&group.members).push(((*name).to_owned(), listener.local_addr()?));
            let (group, name, in_hand) = (Arc::clone(&group), (*name).to_owned(), Arc::new(Mutex::new(0)));
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let (group, name, in_hand) = (Arc::clone(&group), name.clone(), Arc::clone(&in_hand));
                    thread::spawn(move || drop(group.serve(&name, socket, &in_hand)));
                }
            });
        }
        Ok(group)
    }

    /// All executions that were begun with this key.
    pub fn runs(&self, key: &str) -> Vec<Run> {
        lock(&self.runs).iter().filter(|run| run.key == key).cloned().collect()
    }

    /// The list as discovery gives it.
    fn list(&self) -> String {
        let entry = |(name, address): &(String, SocketAddr)| {
            format!(
                "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"gulberg\",\"type\":\"type-a\",\"group\":3,\
                 \"status\":\"active\",\"weight\":1.0,\"since_ms\":0}}"
            )
        };
        let entries: Vec<String> = lock(&self.members).iter().map(entry).collect();
        format!("{{\"index\":41,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","))
    }

    fn serve(&self, name: &str, socket: TcpStream, in_hand: &Mutex<i64>) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut socket = socket;
        while let Some(request) = Message::read(&mut reader)? {
            let load = || {
                let in_hand = *lock(in_hand);
                format!("{{\"x0\":{},\"queue\":0,\"inflight\":{in_hand}}}", (SLOTS - in_hand).max(0))
            };
            if request.first_line.starts_with("GET") {
                let load = load();
                write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}", load.len())?;
                continue;
            }
            let id = request.header("req-id").unwrap_or_default().to_owned();
            let key = request.header("idempotency-key").unwrap_or_default().to_owned();
            let earlier = {
                let mut came = lock(&self.came);
                let count = came.entry(key.clone()).or_default();
                *count += 1;
                *count - 1
            };
            let conduct = (self.plan)(&Job { key: key.clone(), earlier });
            if let Conduct::TurnAway = conduct {
                self.record.write(&format!("{name} turns away id={id} key={key}, unstarted"));
                socket.write_all(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            self.begin(name, &id, &key);
            *lock(in_hand) += 1;
            let time = match conduct {
                Conduct::Serve(time) | Conduct::BreakAfter(time) => time,
                Conduct::TurnAway => Duration::ZERO,
            };
            thread::sleep(time);
            *lock(in_hand) -= 1;
            self.record.write(&format!("{name} has run id={id} key={key}"));
            if let Conduct::BreakAfter(_) = conduct {
                self.record.write(&format!("{name} breaks the connection under id={id} key={key}"));
                let _ = socket.shutdown(Shutdown::Both);
                return Ok(());
            }
            let load = load();
            let line = format!(
                "{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"done\",\"result\":\"receipt of {key}\",\"load\":{load}}}\n"
            );
            let length = line.len();
            write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{line}\r\n0\r\n\r\n")?;
        }
        Ok(())
    }

    /// Counts a run, unless the group remembers the key and drops the repeat.
    fn begin(&self, name: &str, id: &str, key: &str) {
        let at = Instant::now();
        let mut runs = lock(&self.runs);
        let first = runs.iter().find(|run| run.key == key).map(|run| at - run.at);
        let since = first.map_or(String::new(), |since| format!(", {:.1} ms after the first", since.as_secs_f64() * 1e3));
        if first.is_some_and(|since| self.memory_span.is_some_and(|span| since <= span)) {
            self.record.write(&format!("{name} gets id={id} key={key}{since}: drops the repeat"));
            return;
        }
        self.record.write(&format!("{name} begins id={id} key={key}{since}"));
        runs.push(Run { key: key.to_owned(), executor: name.to_owned(), at });
    }
}

/// Starts a discovery that tells the executors of a group, and returns its address. Nothing ever changes in its list.
pub fn start_discovery(group: &Arc<Group>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let group = Arc::clone(group);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let list = group.list();
            thread::spawn(move || drop(tell(socket, &list)));
        }
    });
    Ok(address)
}

/// Answers calls for the list. A watch gets the list and then an empty line every 2 s.
fn tell(socket: TcpStream, list: &str) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut socket = socket;
    while let Some(call) = Message::read(&mut reader)? {
        if !call.first_line.contains("watch=1") {
            write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
            continue;
        }
        let length = list.len() + 1;
        write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{list}\n\r\n")?;
        loop {
            sleep_ms(2000);
            socket.write_all(b"1\r\n\n\r\n")?;
        }
    }
    Ok(())
}
