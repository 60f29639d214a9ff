//! Stand-ins whose every step the test orders, and the program between them. What crosses is forced: by a program that is
//! held still while both things happen, or by a step taken on what was seen.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use socket2::{Domain, SockAddr, SockRef, Socket, Type};

use crate::common::SETTINGS;

/// Far longer than anything takes that is waited for.
pub const LONG: Duration = Duration::from_secs(20);

/// Reads a head and the body of the length that it names; none at the end.
pub fn message(socket: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if socket.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length =
        head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    socket.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).unwrap()))
}

pub fn chunked(lines: &str) -> String {
    let length = lines.len();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{lines}\r\n0\r\n\r\n")
}

pub fn done(id: u32, result: &str) -> String {
    chunked(&format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{result}\"}}\n"))
}

pub const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

/// The place of whoever is to answer: an executor, or discovery.
pub struct Place {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// One connection that came there.
pub struct Call(pub BufReader<TcpStream>);

impl Place {
    pub fn open() -> Self {
        Self::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address }
    }

    /// One at which connections don't come up until `take` is called: its queue is full.
    pub fn full() -> (Self, Vec<TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SockAddr::from(SocketAddr::from(([127, 0, 0, 1], 0)))).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let first = TcpStream::connect(address).unwrap();
        let mut filling = vec![first];
        while let Ok(more) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            filling.push(more);
        }
        (Self { listener, address }, filling)
    }

    /// The next connection. It fails loudly if none comes.
    pub fn take(&self) -> Call {
        let start = Instant::now();
        while start.elapsed() < LONG {
            if let Some(call) = self.taken() {
                return call;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("nobody came");
    }

    /// The next connection, if one has come.
    pub fn taken(&self) -> Option<Call> {
        self.listener.set_nonblocking(true).unwrap();
        let found = self.listener.accept();
        self.listener.set_nonblocking(false).unwrap();
        let (socket, _) = found.ok()?;
        socket.set_nonblocking(false).unwrap();
        socket.set_read_timeout(Some(LONG)).unwrap();
        socket.set_write_timeout(Some(LONG)).unwrap();
        socket.set_nodelay(true).unwrap();
        Some(Call(BufReader::new(socket)))
    }

    /// Whether a connection has come that nobody took.
    pub fn waits(&self) -> bool {
        self.taken().is_some()
    }
}

impl Call {
    /// The next request's head; none at the end.
    pub fn asked(&mut self) -> Option<String> {
        message(&mut self.0).map(|(head, _)| head)
    }

    pub fn id(&mut self) -> Option<u32> {
        self.asked().and_then(|head| head.lines().find_map(|l| l.strip_prefix("Req-Id: ")?.parse().ok()))
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Whether nothing but the end comes.
    pub fn ended(&mut self) -> bool {
        !matches!(self.0.read(&mut [0]), Ok(1..))
    }

    /// Whether something has come.
    pub fn ready(&self) -> bool {
        let socket = self.0.get_ref();
        socket.set_nonblocking(true).unwrap();
        let found = socket.peek(&mut [0]).is_ok_and(|n| n > 0);
        socket.set_nonblocking(false).unwrap();
        found
    }

    pub fn reset(self) {
        reset(self.0);
    }
}

/// The head of a watch's answer,
pub const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// and a list on it.
pub fn listed(index: u32, whole: bool, entries: &[String]) -> String {
    let list = format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{}]}}\n", entries.join(","));
    format!("{:x}\r\n{list}\r\n", list.len())
}

/// A call that discovery turns away,
pub fn turn_away(mut call: Call) -> Option<Call> {
    call.asked().unwrap();
    call.say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    None
}

/// and one that it never answers.
pub fn hang(mut call: Call) -> Option<Call> {
    call.asked().unwrap();
    Some(call)
}

/// Ends a connection the hard way: what its other end has not read may be lost.
pub fn reset(socket: BufReader<TcpStream>) {
    SockRef::from(socket.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Answers whatever comes there at once, for ever.
pub fn willing(place: Place, result: &'static str) -> SocketAddr {
    let address = place.address;
    std::thread::spawn(move || {
        loop {
            let mut call = place.take();
            std::thread::spawn(move || {
                while let Some(id) = call.id() {
                    if call.0.get_mut().write_all(done(id, result).as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

pub struct Node {
    pub process: Child,
    pub address: SocketAddr,
    /// What it logs from when it listens.
    pub log: Receiver<String>,
    path: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// An address at which nobody listens.
pub fn nobody() -> SocketAddr {
    Place::open().address
}

/// Discovery that says to whoever asks, for ever, that the list of its configuration still holds.
pub fn confirming() -> SocketAddr {
    const HEARTBEAT: Duration = Duration::from_secs(2);
    let place = Place::open();
    let address = place.address;
    std::thread::spawn(move || {
        // Nobody may ask for a while: it waits without a limit, and ends with the tests.
        for socket in place.listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut call = Call(BufReader::new(socket));
                let mut said = call.asked().map(|_| format!("{WATCH}{}", listed(1, false, &[])));
                while let Some(text) = said.take() {
                    if call.0.get_mut().write_all(text.as_bytes()).is_ok() {
                        std::thread::sleep(HEARTBEAT);
                        said = Some("1\r\n\n\r\n".to_owned());
                    }
                }
            });
        }
    });
    address
}

pub fn entry(name: &str, address: SocketAddr) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","zone":"here","type":"small","status":"active"}}"#)
}

/// The settings without probes, so that what comes at an executor is what the test caused, and with `changes`.
pub fn configuration(executors: &[SocketAddr], discovery: SocketAddr, changes: &[(&str, &str)]) -> String {
    let known: Vec<_> = executors.iter().enumerate().map(|(i, a)| entry(&format!("w{i}"), *a)).collect();
    let mut settings = SETTINGS.replace("\"mayProbe\": true", "\"mayProbe\": false");
    for (from, to) in changes {
        assert!(settings.contains(from), "{from}");
        settings = settings.replace(from, to);
    }
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1","settings":{settings},
        "limits":{{"sockets":256,"memory_mb":32}},
        "known":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}"#,
        known.join(",")
    )
}

impl Node {
    /// A node whose configured list discovery confirms.
    pub fn start(executors: &[SocketAddr], changes: &[(&str, &str)]) -> Self {
        let node = Self::start_with(&configuration(executors, confirming(), changes));
        if !executors.is_empty() {
            node.wait_until_ready();
        }
        node
    }

    pub fn wait_until_ready(&self) {
        let start = Instant::now();
        while status(ask(&mut self.client(), "GET /healthz HTTP/1.1\r\n\r\n")) != 200 {
            assert!(start.elapsed() < LONG, "not ready");
        }
    }

    pub fn start_with(text: &str) -> Self {
        Self::start_failing(text, "")
    }

    /// One whose system calls fail by this plan, from when it begins.
    pub fn start_failing(text: &str, plan: &str) -> Self {
        Self::start_storing(text, plan, None)
    }

    /// One that also keeps a store, as this file says.
    pub fn start_storing(text: &str, plan: &str, store: Option<&Path>) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("linestack-ends-{}-{number}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        // No more descriptors than the configuration names.
        let mut command = Command::new("sh");
        let script = if plan.is_empty() {
            "ulimit -n 256 && exec \"$0\""
        } else {
            "ulimit -n 256 && LD_PRELOAD=\"$1\" LINESTACK_SHIM=\"$2\" exec \"$0\""
        };
        command.args(["-c", script, env!("CARGO_BIN_EXE_linestack")]);
        command.arg(linestack_rig::shim::library_path().unwrap()).arg(plan);
        command.env("PROXY_CONFIG", &path).env_remove("PROXY_LISTEN").env_remove("PROXY_DISCOVERY");
        if let Some(store) = store {
            command.env("PROXY_STORE", store);
        }
        let mut process = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(process.stderr.take().unwrap());
        let mut lines = log.lines().map(Result::unwrap);
        let address = lines.find_map(|l| Some(l.split_once("listen=")?.1.split(' ').next()?.to_owned()));
        let (logged, log) = channel();
        // Read whether anybody looks at it or not.
        std::thread::spawn(move || lines.for_each(|line| drop(logged.send(line))));
        Self { process, address: address.unwrap().parse().unwrap(), log, path }
    }

    /// What it reads when it is told to read its configuration again.
    pub fn replace_configuration(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// While it is held still, whatever happens has all happened when it goes on.
    pub fn held(&self, meanwhile: impl FnOnce()) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            std::thread::yield_now();
        }
        meanwhile();
        self.signal("-CONT");
    }

    pub fn client(&self) -> BufReader<TcpStream> {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(LONG)).unwrap();
        socket.set_nodelay(true).unwrap();
        BufReader::new(socket)
    }

    /// The node has seen all that was there before: it has read and answered what came after it, twice.
    pub fn fence(&self) {
        let mut client = self.client();
        for _ in 0..2 {
            assert!(ask(&mut client, "GET /healthz HTTP/1.1\r\n\r\n").is_some());
        }
    }

    /// Its exit code, and how long it took; none if it is still there after `most`.
    pub fn exit_within(&mut self, most: Duration) -> Option<(Option<i32>, Duration)> {
        let start = Instant::now();
        while start.elapsed() < most {
            if let Some(status) = self.process.try_wait().unwrap() {
                return Some((status.code(), start.elapsed()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

pub fn job(id: u32, kind: &str, patience: u32) -> String {
    let stamp = if kind == "top-up" { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
    format!(
        "POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Owner: first\r\n{stamp}\
         Req-Deadline-Ms: {patience}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

pub fn send(socket: &mut BufReader<TcpStream>, text: &str) {
    socket.get_mut().write_all(text.as_bytes()).unwrap();
}

pub fn ask(socket: &mut BufReader<TcpStream>, text: &str) -> Option<(String, String)> {
    send(socket, text);
    message(socket)
}

/// The status of an answer.
pub fn status(answer: Option<(String, String)>) -> u16 {
    answer.map_or(0, |(head, _)| head[9..12].parse().unwrap())
}
