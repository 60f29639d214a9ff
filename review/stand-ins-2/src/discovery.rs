//! A stand-in for discovery, by `PROTOCOL.md`: a list with versions, calls and watches. It can go down: watches then end, and calls
//! end with 503.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::Record;

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
    version: u64,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, zone: &str, kind: &str, group: u32) -> Self {
        let (name, zone, kind) = (name.to_owned(), zone.to_owned(), kind.to_owned());
        Self { name, address, zone, kind, group, status: "active", since_ms: 0, version: 1 }
    }

    fn json(&self) -> String {
        let Self { name, address, zone, kind, group, status, since_ms, .. } = self;
        format!(
            "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"{kind}\",\"group\":{group},\
             \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{since_ms}}}"
        )
    }
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    down: bool,
    /// Counts the outages; a watch that began before the last one ends.
    outages: u64,
    /// How long a call waits for its turn before it is answered.
    answer_after: Duration,
    /// Counts how often the watches fell silent; a watch that began before the last time sends nothing any more.
    silences: u64,
    /// How a call is turned away at present: after this time, with 503.
    turn_away_after: Option<Duration>,
    /// When each version was first written to a watch or in an answer.
    written: Vec<(u64, Instant)>,
    /// When calls arrived.
    calls: Vec<Instant>,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    connections: AtomicU64,
}

/// The time after which an empty line is sent while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery listens");
        let state = State {
            version: 1,
            entries,
            down: false,
            outages: 0,
            answer_after: Duration::ZERO,
            silences: 0,
            turn_away_after: None,
            written: Vec::new(),
            calls: Vec::new(),
        };
        let discovery = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: record.clone(),
            connections: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&discovery);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                accepting.connections.fetch_add(1, Ordering::Relaxed);
                let serving = Arc::clone(&accepting);
                thread::spawn(move || drop(serving.serve(socket)));
            }
        });
        discovery
    }

    /// Returns the list as a node's configuration has it under `known`.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.version, true, state.entries.iter())
    }

    /// Changes an entry. While discovery is down it learns of the change, but nobody is told.
    pub fn change(&self, index: usize, change: impl FnOnce(&mut Entry)) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let entry = &mut state.entries[index];
        change(entry);
        entry.version = version;
        self.record.add(format!("discovery version={version} {} {}", entry.name, entry.status));
        let at = Instant::now();
        self.changed.notify_all();
        at
    }

    pub fn set_status(&self, index: usize, status: &'static str) -> Instant {
        self.change(index, |entry| entry.status = status)
    }

    /// Goes down: watches end, and calls end with 503.
    pub fn go_down(&self) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        state.outages += 1;
        self.record.add("discovery down".into());
        self.changed.notify_all();
        Instant::now()
    }

    /// Comes back, with what it has learned meanwhile.
    pub fn come_back(&self) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.down = false;
        self.record.add(format!("discovery back version={}", state.version));
        Instant::now()
    }

    /// From now on calls wait for this time and are then turned away with 503; `None` to answer them again.
    pub fn turn_away_after(&self, wait: Option<Duration>) {
        self.state.lock().unwrap().turn_away_after = wait;
    }

    /// From now on each call waits for this time before it is answered.
    pub fn answer_after(&self, wait: Duration) {
        self.record.add(format!("discovery answers calls after {} ms from now on", wait.as_millis()));
        self.state.lock().unwrap().answer_after = wait;
    }

    /// Makes all watches that are open now silent for good: their connections stay open.
    pub fn silence_watches(&self) -> Instant {
        self.state.lock().unwrap().silences += 1;
        self.record.add("discovery: all open watches fall silent".into());
        Instant::now()
    }

    /// Ends all watches that are open now.
    pub fn end_watches(&self) -> Instant {
        self.state.lock().unwrap().outages += 1;
        self.record.add("discovery ends all watches".into());
        self.changed.notify_all();
        Instant::now()
    }

    /// Returns when this version, or a later one, was first written to anyone.
    pub fn written_at(&self, version: u64) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        state.written.iter().filter(|(written, _)| *written >= version).map(|(_, at)| *at).min()
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = Reader::new(socket.try_clone()?);
        while let Some(message) = reader.next()? {
            let turn_away = {
                let mut state = self.state.lock().unwrap();
                state.calls.push(Instant::now());
                if state.down { Some(Duration::ZERO) } else { state.turn_away_after }
            };
            if let Some(wait) = turn_away {
                thread::sleep(wait);
                self.record.add(format!("discovery call answered 503 after {} ms", wait.as_millis()));
                socket.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
                return Ok(());
            }
            let wait = self.state.lock().unwrap().answer_after;
            thread::sleep(wait);
            let path = message.head.split(' ').nth(1).unwrap_or("").to_owned();
            let after: Option<u64> =
                path.split(['?', '&']).find_map(|part| part.strip_prefix("after=")).and_then(|v| v.parse().ok());
            if !path.contains("watch=1") {
                let text = self.known();
                let length = text.len();
                write!(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}")?;
                continue;
            }
            return self.watch(socket, after);
        }
        Ok(())
    }

    /// Follows a watch until discovery goes down.
    fn watch(&self, mut socket: TcpStream, after: Option<u64>) -> std::io::Result<()> {
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut state = self.state.lock().unwrap();
        let (outages, silences) = (state.outages, state.silences);
        let mut told = after.unwrap_or(0);
        let mut first = true;
        loop {
            if state.outages != outages {
                return Ok(());
            }
            if state.silences != silences {
                let (next, _) = self.changed.wait_timeout(state, HEARTBEAT).unwrap();
                state = next;
                continue;
            }
            if first || state.version > told {
                let whole = first && after.is_none();
                let changed = state.entries.iter().filter(|e| whole || e.version > told);
                let line = list_json(state.version, whole, changed);
                first = false;
                told = state.version;
                write!(socket, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
                let at = Instant::now();
                state.written.push((told, at));
                self.record.add(format!("discovery wrote version={told} whole={whole}"));
            }
            let (next, waited) = self.changed.wait_timeout(state, HEARTBEAT).unwrap();
            state = next;
            if waited.timed_out() && state.outages == outages && state.silences == silences && state.version == told {
                socket.write_all(b"1\r\n\n\r\n")?;
            }
        }
    }
}

fn list_json<'a>(version: u64, whole: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!("{{\"index\":{version},\"snapshot\":{whole},\"endpoints\":[{}]}}", entries.join(","))
}
