//! Fake executors and a fake discovery that a test controls step by step, and the node under test between them. Races are
//! forced: either the node is paused while both events happen, or the next event is triggered after the previous one was
//! observed.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, SockAddr, SockRef, Socket, Type};

use crate::common::SETTINGS;

/// The limit of every wait, far longer than any awaited event takes.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Reads an HTTP message and returns its head and its body, whose length is taken from Content-Length (0 if there is none).
/// Returns `None` at the end of the stream.
pub fn read_message(socket: &mut BufReader<TcpStream>) -> Option<(String, String)> {
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

/// Returns a response with `lines` as its chunked body.
pub fn chunked(lines: &str) -> String {
    let length = lines.len();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{lines}\r\n0\r\n\r\n")
}

/// Returns an executor's response for a completed job.
pub fn done_response(id: u32, result: &str) -> String {
    chunked(&format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{result}\"}}\n"))
}

/// The response of an executor that declines a job: the job has not run there.
pub const DECLINED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

/// The number of connections that may wait to be accepted, as with listeners of the standard library.
const ACCEPT_QUEUE: i32 = 128;

/// A local port that the system gives to nobody else while this exists. Connections to it are refused unless a [`FakeServer`]
/// listens there.
pub struct ReservedPort {
    _socket: Socket,
    pub address: SocketAddr,
}

impl ReservedPort {
    /// Reserves a free port.
    pub fn any() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // So that a listener can be bound beside the reservation. Nobody else is given a port that is bound to.
        socket.set_reuse_port(true).unwrap();
        socket.bind(&SockAddr::from(SocketAddr::from(([127, 0, 0, 1], 0)))).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Self { _socket: socket, address }
    }
}

/// A listener that stands in for an executor or for discovery.
pub struct FakeServer {
    listener: TcpListener,
    pub address: SocketAddr,
    port: Arc<ReservedPort>,
}

/// A connection accepted by a [`FakeServer`].
pub struct Connection(pub BufReader<TcpStream>);

impl FakeServer {
    /// Opens a listener at a free port.
    pub fn open() -> Self {
        Self::open_at(Arc::new(ReservedPort::any()))
    }

    /// Opens a listener at a reserved port.
    pub fn open_at(port: Arc<ReservedPort>) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.set_reuse_port(true).unwrap();
        socket.bind(&SockAddr::from(port.address)).unwrap();
        socket.listen(ACCEPT_QUEUE).unwrap();
        Self { listener: TcpListener::from(socket), address: port.address, port }
    }

    /// Closes the listener: connections are refused from now on. Returns its port, which remains reserved.
    pub fn close(self) -> Arc<ReservedPort> {
        self.port
    }

    /// Opens a listener whose accept queue is full: further connections are not established until `accept` is called.
    /// Also returns the connections that fill the queue.
    pub fn with_full_accept_queue() -> (Self, Vec<TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let port = Arc::new(ReservedPort::any());
        let address = port.address;
        socket.set_reuse_port(true).unwrap();
        socket.bind(&SockAddr::from(address)).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let first = TcpStream::connect(address).unwrap();
        let mut queued = vec![first];
        while let Ok(more) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            queued.push(more);
        }
        (Self { listener, address, port }, queued)
    }

    /// The listener itself, for a thread that accepts connections until the test run ends.
    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// Accepts the next connection. Panics if none arrives within [`WAIT_LIMIT`].
    pub fn accept(&self) -> Connection {
        let start = Instant::now();
        while start.elapsed() < WAIT_LIMIT {
            if let Some(connection) = self.try_accept() {
                return connection;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("no connection within {WAIT_LIMIT:?}");
    }

    /// Accepts the next connection if one is pending.
    pub fn try_accept(&self) -> Option<Connection> {
        self.listener.set_nonblocking(true).unwrap();
        let found = self.listener.accept();
        self.listener.set_nonblocking(false).unwrap();
        let (socket, _) = found.ok()?;
        socket.set_nonblocking(false).unwrap();
        socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        socket.set_write_timeout(Some(WAIT_LIMIT)).unwrap();
        socket.set_nodelay(true).unwrap();
        Some(Connection(BufReader::new(socket)))
    }

    /// Returns whether a connection was waiting to be accepted. Such a connection is accepted and dropped.
    pub fn has_pending_connection(&self) -> bool {
        self.try_accept().is_some()
    }
}

impl Connection {
    /// Reads the head of the next request. Returns `None` at the end of the stream.
    pub fn read_head(&mut self) -> Option<String> {
        read_message(&mut self.0).map(|(head, _)| head)
    }

    /// Reads the next request and returns its id. Returns `None` at the end of the stream, or if the request has no id.
    pub fn read_request_id(&mut self) -> Option<u32> {
        self.read_head().and_then(|head| head.lines().find_map(|l| l.strip_prefix("Req-Id: ")?.parse().ok()))
    }

    /// Sends `text` unchanged.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Waits for data or for the end of the connection, and returns whether it ended without further data.
    pub fn closed_without_data(&mut self) -> bool {
        !matches!(self.0.read(&mut [0]), Ok(1..))
    }

    /// Returns whether received data is waiting to be read.
    pub fn has_data(&self) -> bool {
        let socket = self.0.get_ref();
        socket.set_nonblocking(true).unwrap();
        let found = socket.peek(&mut [0]).is_ok_and(|n| n > 0);
        socket.set_nonblocking(false).unwrap();
        found
    }

    /// Resets the connection; see [`reset`].
    pub fn reset(self) {
        reset(self.0);
    }
}

/// The head of discovery's response to a watch request.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns a list as one chunk of a watch's response body. A `snapshot` contains all executors, any other list only those that
/// have changed.
pub fn list_chunk(index: u32, snapshot: bool, entries: &[String]) -> String {
    let list =
        format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}\n", entries.join(","));
    format!("{:x}\r\n{list}\r\n", list.len())
}

/// A way in which discovery fails a request. Returns the connection if it must stay open until the test drops it.
pub type DiscoveryFailure = fn(Connection) -> Option<Connection>;

/// Rejects a request to discovery with status 503.
pub fn reject(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    connection.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    None
}

/// Reads a request to discovery and never answers it.
pub fn never_reply(mut connection: Connection) -> Option<Connection> {
    connection.read_head().unwrap();
    Some(connection)
}

/// Resets a connection: data that the other end has not read may be lost.
pub fn reset(socket: BufReader<TcpStream>) {
    SockRef::from(socket.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Answers every request to this executor at once with `result`, for the rest of the test run. Returns the executor's address.
pub fn answer_all(server: FakeServer, result: &'static str) -> SocketAddr {
    let address = server.address;
    std::thread::spawn(move || {
        loop {
            let mut connection = server.accept();
            std::thread::spawn(move || {
                while let Some(id) = connection.read_request_id() {
                    if connection.0.get_mut().write_all(done_response(id, result).as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// A running node; it is killed when dropped.
pub struct Node {
    pub process: Child,
    pub address: SocketAddr,
    /// The log lines that follow the one with the listen address.
    pub log: Receiver<String>,
    configuration_path: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.configuration_path);
    }
}

/// Returns an address at which nothing listens until the test run ends. Nodes connect to it again and again, so it must not be
/// given to another test's listener.
pub fn unused_address() -> SocketAddr {
    let port = ReservedPort::any();
    let address = port.address;
    std::mem::forget(port);
    address
}

/// Starts a discovery that tells every watch that the configured list is still current, and then sends heartbeats.
pub fn confirming_discovery() -> SocketAddr {
    const HEARTBEAT: Duration = Duration::from_secs(2);
    let server = FakeServer::open();
    let address = server.address;
    std::thread::spawn(move || {
        // Not `accept`, which panics after `WAIT_LIMIT`: there may be no request for longer than that.
        for socket in server.listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut connection = Connection(BufReader::new(socket));
                let mut next_text =
                    connection.read_head().map(|_| format!("{WATCH_HEAD}{}", list_chunk(1, false, &[])));
                while let Some(text) = next_text.take() {
                    if connection.0.get_mut().write_all(text.as_bytes()).is_ok() {
                        std::thread::sleep(HEARTBEAT);
                        next_text = Some("1\r\n\n\r\n".to_owned());
                    }
                }
            });
        }
    });
    address
}

/// Returns `limits.sockets` of a node's configuration.
fn configured_sockets(text: &str) -> u32 {
    let (_, value) = text.split_once("\"sockets\":").unwrap();
    value.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
}

/// Returns the list entry of an active executor.
pub fn entry(name: &str, address: SocketAddr) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","zone":"here","type":"small","status":"active"}}"#)
}

/// Returns a node's configuration. `changes` are texts in [`SETTINGS`], each with its replacement. The executors are listed as
/// `w0`, `w1` and so on. Probes are off, so that executors receive only what the test caused.
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
    /// Starts a node whose configured list is confirmed by discovery, and waits until it is ready if it has executors.
    pub fn start(executors: &[SocketAddr], changes: &[(&str, &str)]) -> Self {
        let node = Self::start_with(&configuration(executors, confirming_discovery(), changes));
        if !executors.is_empty() {
            node.wait_until_ready();
        }
        node
    }

    /// Waits until the node reports that it is ready. Panics after [`WAIT_LIMIT`].
    pub fn wait_until_ready(&self) {
        let start = Instant::now();
        while status(exchange(&mut self.client(), "GET /healthz HTTP/1.1\r\n\r\n")) != 200 {
            assert!(start.elapsed() < WAIT_LIMIT, "not ready");
        }
    }

    /// Starts a node with the configuration `text`.
    pub fn start_with(text: &str) -> Self {
        Self::start_with_faults(text, "")
    }

    /// Starts a node whose system calls fail according to `fault_plan`, in which times count from the node's start. The syntax is
    /// that of the crate `linestack_shim`; without faults the plan is empty.
    pub fn start_with_faults(text: &str, fault_plan: &str) -> Self {
        Self::start_with_store(text, fault_plan, None)
    }

    /// Like [`Node::start_with_faults`], with a store that the file `store` configures.
    pub fn start_with_store(text: &str, fault_plan: &str, store: Option<&Path>) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let configuration_path =
            std::env::temp_dir().join(format!("linestack-ends-{}-{number}.json", std::process::id()));
        std::fs::write(&configuration_path, text).unwrap();
        // The same limit of file descriptors as `sockets` in the configuration.
        let mut command = Command::new("sh");
        let script = if fault_plan.is_empty() {
            "ulimit -n \"$3\" && exec \"$0\""
        } else {
            "ulimit -n \"$3\" && LD_PRELOAD=\"$1\" LINESTACK_SHIM=\"$2\" exec \"$0\""
        };
        command.args(["-c", script, env!("CARGO_BIN_EXE_linestack")]);
        command.arg(linestack_rig::shim::library_path().unwrap()).arg(fault_plan);
        command.arg(configured_sockets(text).to_string());
        command
            .env("PROXY_CONFIG", &configuration_path)
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY");
        if let Some(store) = store {
            command.env("PROXY_STORE", store);
        }
        let mut process = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(process.stderr.take().unwrap());
        let mut lines = log.lines().map(Result::unwrap);
        let address = lines.find_map(|l| Some(l.split_once("listen=")?.1.split(' ').next()?.to_owned()));
        let (log_sender, log_receiver) = channel();
        // The pipe is always read: if it were full, the node would block when it logs.
        std::thread::spawn(move || lines.for_each(|line| drop(log_sender.send(line))));
        Self { process, address: address.unwrap().parse().unwrap(), log: log_receiver, configuration_path }
    }

    /// Replaces the configuration file that the node reads at the next SIGHUP.
    pub fn replace_configuration(&self, text: &str) {
        std::fs::write(&self.configuration_path, text).unwrap();
    }

    /// Sends a signal to the node. `signal` is an option of the command `kill`, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Sends a signal to the node at once, without a further process.
    pub fn signal_now(&self, signal: Signal) {
        let pid = Pid::from_raw(self.process.id().cast_signed()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Runs `meanwhile` while the node is stopped by SIGSTOP, so that the node sees all of its effects at once when it continues.
    pub fn while_paused(&self, meanwhile: impl FnOnce()) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            std::thread::yield_now();
        }
        meanwhile();
        self.signal("-CONT");
    }

    /// Connects a client.
    pub fn client(&self) -> BufReader<TcpStream> {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        socket.set_nodelay(true).unwrap();
        BufReader::new(socket)
    }

    /// Waits until the node has processed everything that it had received, by two health requests that it answers after that.
    pub fn barrier(&self) {
        let mut client = self.client();
        for _ in 0..2 {
            assert!(exchange(&mut client, "GET /healthz HTTP/1.1\r\n\r\n").is_some());
        }
    }

    /// Waits until the node exits. Returns its exit code and the time that it took, or `None` if it still runs after `limit`.
    pub fn exit_within(&mut self, limit: Duration) -> Option<(Option<i32>, Duration)> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.process.try_wait().unwrap() {
                return Some((status.code(), start.elapsed()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

/// Returns a field of the node's /proc/PID/status in KiB, such as `VmRSS`.
pub fn memory_kb(node: &Node, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix(field)?.strip_prefix(':')).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Returns a client's request for a job of the product `kind`, with its whole body and a deadline `timeout_ms` after its arrival.
/// A request for the product `top-up` has an idempotency key, which that product requires.
pub fn job(id: u32, kind: &str, timeout_ms: u32) -> String {
    let idempotency_header =
        if kind == "top-up" { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
    format!(
        "POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Owner: first\r\n{idempotency_header}\
         Req-Deadline-Ms: {timeout_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Sends `text` unchanged from a client.
pub fn send(socket: &mut BufReader<TcpStream>, text: &str) {
    socket.get_mut().write_all(text.as_bytes()).unwrap();
}

/// Sends a request from a client and reads the response.
pub fn exchange(socket: &mut BufReader<TcpStream>, text: &str) -> Option<(String, String)> {
    send(socket, text);
    read_message(socket)
}

/// Returns the status code of a response, or 0 if the connection ended without one.
pub fn status(answer: Option<(String, String)>) -> u16 {
    answer.map_or(0, |(head, _)| head[9..12].parse().unwrap())
}
