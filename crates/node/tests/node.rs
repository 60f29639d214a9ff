//! Tests of a node between clients, fake executors and a fake discovery.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rstest::rstest;

/// Reads an HTTP message and returns its head and its body, whose length is taken from Content-Length (0 if there is none).
/// Returns `None` at the end of the stream.
fn read_message(socket: &mut BufReader<TcpStream>) -> Option<(String, String)> {
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
fn chunked(lines: &str) -> String {
    let length = lines.len();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{lines}\r\n0\r\n\r\n")
}

/// Starts an executor that answers probes with a load report and each job with `reply`, or never if there is none. A reply that
/// begins with HTTP is sent unchanged; any other is the body of a response, in which ID stands for the job's id. The receiver gets
/// the head and the body of each job.
fn executor(reply: Option<String>) -> (SocketAddr, Receiver<(String, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, jobs) = channel();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let (sender, reply) = (sender.clone(), reply.clone());
            std::thread::spawn(move || {
                let mut socket = BufReader::new(socket.unwrap());
                while let Some((head, body)) = read_message(&mut socket) {
                    let answer = if head.starts_with("GET") {
                        Some("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"x0\":4,\"queue\":0,\"inflight\":0.25}".into())
                    } else {
                        let id = head.lines().find_map(|l| l.strip_prefix("Req-Id: ")).unwrap().to_owned();
                        let _ = sender.send((head, body));
                        let raw = reply.as_ref().filter(|r| r.starts_with("HTTP")).cloned();
                        raw.or(reply.as_ref().map(|r| chunked(&r.replace("ID", &id))))
                    };
                    if let Some(answer) = answer {
                        socket.get_mut().write_all(answer.as_bytes()).unwrap();
                    }
                }
            });
        }
    });
    (address, jobs)
}

/// A running node; it is killed when dropped.
struct Node {
    process: Child,
    address: SocketAddr,
    configuration_path: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.configuration_path);
    }
}

impl Node {
    /// Returns a configuration whose list has these executors, as `w0`, `w1` and so on. Without a discovery, one is started that
    /// confirms the list.
    fn configuration(executors: &[SocketAddr], discovery: Option<SocketAddr>) -> String {
        let known = executors.iter().enumerate().map(|(i, address)| entry(&format!("w{i}"), *address));
        let known: Vec<_> = known.collect();
        let confirming_discovery = || self::discovery(UNCHANGED.to_owned()).0;
        let discovery = discovery.unwrap_or_else(confirming_discovery);
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1","settings":{},
            "known":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}"#,
            common::SETTINGS,
            known.join(",")
        )
    }

    /// Writes a configuration into a new file.
    fn write_configuration(text: &str) -> PathBuf {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("linestack-{}-{number}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a node whose configured list of these executors is confirmed by discovery, and waits until it is ready.
    fn start(executors: &[SocketAddr]) -> Self {
        let node = Self::start_with(&Self::configuration(executors, None));
        node.wait_until_ready();
        node
    }

    /// Waits until the node's health check reports that it is ready.
    fn wait_until_ready(&self) {
        let start = Instant::now();
        let health = "GET /healthz HTTP/1.1\r\n\r\n";
        while !exchange(&mut self.client(), health).unwrap().0.starts_with("HTTP/1.1 200") {
            assert!(start.elapsed() < Duration::from_secs(20), "not ready");
        }
    }

    /// Starts a node with the configuration `text`.
    fn start_with(text: &str) -> Self {
        let configuration_path = Self::write_configuration(text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_linestack"));
        let discovery = text.split_once("\"discovery\":\"").unwrap().1.split('"').next().unwrap();
        command.env("PROXY_CONFIG", &configuration_path).env("PROXY_DISCOVERY", discovery);
        command.env_remove("PROXY_LISTEN").stderr(Stdio::piped());
        let mut process = command.spawn().unwrap();
        let log = BufReader::new(process.stderr.take().unwrap());
        let mut lines = log.lines().map(Result::unwrap);
        let address = lines.find_map(|l| Some(l.split_once("listen=")?.1.split(' ').next()?.to_owned()));
        std::thread::spawn(move || lines.for_each(drop));
        Self { process, address: address.unwrap().parse().unwrap(), configuration_path }
    }

    /// Sends a signal to the node. `signal` is an option of the command `kill`, such as `-TERM`.
    fn signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Replaces the configuration file and signals the node to read it again.
    fn reload(&self, text: &str) {
        let new = Self::write_configuration(text);
        std::fs::rename(new, &self.configuration_path).unwrap();
        self.signal("-HUP");
    }

    /// Connects a client.
    fn client(&self) -> BufReader<TcpStream> {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        BufReader::new(socket)
    }
}

/// Returns a client's request for a job of the product `kind`, with these header lines in addition.
fn job(id: u32, kind: &str, further_headers: &str) -> String {
    format!(
        "POST /api?x=1 HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Owner: first\r\n{further_headers}\
         Req-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Sends a request from a client and reads the response.
fn exchange(socket: &mut BufReader<TcpStream>, text: &str) -> Option<(String, String)> {
    socket.get_mut().write_all(text.as_bytes()).unwrap();
    read_message(socket)
}

/// An executor's reply for a completed job, whose result is `r A ` and the job's id.
const DONE: &str = "{\"id\":\"ID\",\"from\":\"w0\",\"state\":\"running\",\"share\":0.5}\n\
                    {\"id\":\"ID\",\"from\":\"w0\",\"state\":\"done\",\"result\":\"r \\u0041 ID\"}\n";

/// The line in which discovery confirms that the configured list is current.
const UNCHANGED: &str = "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n";
/// A line with a complete list of the entry that replaces NEW.
const LISTED: &str = "{\"index\":41,\"snapshot\":true,\"endpoints\":[NEW]}\n";

#[test]
fn a_job_is_forwarded_unchanged_and_its_result_is_returned() {
    let (address, jobs) = executor(Some(DONE.into()));
    let node = Node::start(&[address]);
    let mut client = node.client();
    assert!(exchange(&mut client, "GET /healthz HTTP/1.1\r\n\r\n").unwrap().0.starts_with("HTTP/1.1 200"));
    let (head, body) = exchange(&mut client, &job(1, "top-up", "Idempotency-Key: k1\r\n")).unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_eq!(body, "r A 1");
    let (head, body) = jobs.recv().unwrap();
    assert!(
        head.starts_with("POST /api?x=1 HTTP/1.1\r\n") && head.contains("Idempotency-Key: k1\r\n"),
        "{head}"
    );
    assert_eq!(body, "body");
    // Two pipelined requests are answered in order.
    let pipelined = job(2, "look", "") + &job(3, "look", "");
    assert_eq!(exchange(&mut client, &pipelined).unwrap().1, "r A 2");
    assert_eq!(read_message(&mut client).unwrap().1, "r A 3");
    let chunked_request =
        job(4, "look", "Transfer-Encoding: chunked\r\n").replace("Content-Length: 4\r\n", "");
    let chunked_request = chunked_request.replace("\r\n\r\nbody", "\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
    assert_eq!(exchange(&mut client, &chunked_request).unwrap().1, "r A 4");
    assert!(jobs.iter().take(3).all(|(_, body)| body == "body"));
}

#[rstest]
#[case::garbage("nonsense\r\n\r\n".into(), "400")]
#[case::unknown_kind(job(1, "sing", ""), "400")]
#[case::unknown_owner(job(1, "look", "").replace("first", "third"), "400")]
#[case::no_owner(job(1, "look", "").replace("Req-Owner: first\r\n", ""), "400")]
#[case::no_id(job(1, "look", "").replace("Req-Id: 1\r\n", ""), "400")]
#[case::no_deadline(job(1, "look", "").replace("Req-Deadline-Ms: 1500\r\n", ""), "400")]
#[case::bad_deadline(job(1, "look", "").replace("1500", "soon"), "400")]
#[case::no_idempotency_key(job(1, "top-up", ""), "400")]
#[case::two_lengths(job(1, "look", "Content-Length: 4\r\n"), "400")]
#[case::oversized(job(1, "look", "").replace("Content-Length: 4", "Content-Length: 70000"), "413")]
#[case::other_method(job(1, "look", "").replace("POST", "PUT"), "405")]
#[case::signed_deadline(job(1, "look", "").replace("1500", "+1500"), "400")]
#[case::negative_length(job(1, "look", "").replace("Content-Length: 4", "Content-Length: -4"), "400")]
#[case::length_and_chunked(job(1, "look", "Transfer-Encoding: chunked\r\n"), "400")]
#[case::no_path(job(1, "look", "").replace("/api", "api"), "400")]
#[case::not_ascii(job(1, "look", "").replace("Req-Id: 1", "Req-Id: \u{e9}"), "400")]
// An error in the head is answered at once, without waiting for a body that may never arrive.
#[case::before_its_body(job(1, "sing", "").replace("body", ""), "400")]
#[case::no_idempotency_key_before_its_body(job(1, "top-up", "").replace("body", ""), "400")]
#[case::chunks_without_end(
    job(1, "look", "Transfer-Encoding: chunked\r\n").replace("Content-Length: 4\r\n", "")
        .replace("body", &format!("20000\r\n{}", "x".repeat(0x1_8000))),
    "413"
)]
fn an_invalid_request_is_rejected_and_not_executed(#[case] text: String, #[case] status: &str) {
    let (address, jobs) = executor(Some(DONE.into()));
    let node = Node::start(&[address]);
    let mut client = node.client();
    let (head, _) = exchange(&mut client, &text).unwrap();
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")) && head.contains("Connection: close"), "{head}");
    assert_eq!(client.read(&mut [0; 1]).unwrap(), 0);
    // Of the two requests, the executor receives only the valid one.
    assert!(exchange(&mut node.client(), &job(9, "look", "")).is_some());
    assert!(jobs.recv().unwrap().0.contains("Req-Id: 9"));
}

// If the executor does not answer, or its response does not tell the outcome of the job, it is unknown whether the job ran.
#[rstest]
#[case::silent(None)]
#[case::wrong_id(Some("{\"id\":\"other\",\"state\":\"done\",\"result\":\"r\"}\n"))]
#[case::garbled(Some("{\"id\":\"ID\",\"state\":\"do\n"))]
#[case::array(Some("[\"ID\",\"done\",\"r\"]\n"))]
#[case::no_result(Some("{\"id\":\"ID\",\"state\":\"done\"}\n"))]
#[case::no_last_line(Some("{\"id\":\"ID\",\"state\":\"started\"}\n"))]
#[case::lost(Some("{\"id\":\"ID\",\"state\":\"lost\"}\n"))]
#[case::failed(Some("{\"id\":\"ID\",\"state\":\"failed\"}\n"))]
fn a_one_shot_that_may_have_run_is_aborted_before_its_deadline(#[case] reply: Option<&str>) {
    let (one, jobs) = executor(reply.map(str::to_owned));
    let node = Node::start(&[one]);
    let start = Instant::now();
    let (head, _) = exchange(&mut node.client(), &job(1, "pay", "")).unwrap();
    assert!(start.elapsed() < Duration::from_millis(1_550));
    assert!(head.starts_with("HTTP/1.1 502"), "{head}");
    assert_eq!(jobs.try_iter().count(), 1);
}

// Executors answer 4xx to requests that they cannot process. If this ejected them, other requests could not be served either.
#[test]
fn a_4xx_answer_aborts_the_request_and_does_not_eject_the_executor() {
    let (address, jobs) = executor(Some("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".into()));
    let node = Node::start(&[address]);
    for id in 1..4 {
        let (head, _) = exchange(&mut node.client(), &job(id, "pay", "")).unwrap();
        assert!(head.starts_with("HTTP/1.1 502"), "{head}");
    }
    assert_eq!(jobs.try_iter().count(), 3);
}

// Guards against connections that send nothing and take all connections that the node allows, so that later clients wait until
// those time out.
#[test]
fn a_flood_of_silent_connections_delays_no_client() {
    let (address, _jobs) = executor(Some(DONE.into()));
    let limits = "\"limits\":{\"sockets\":256,\"memory_mb\":32},\"seed\"";
    let node = Node::start_with(&Node::configuration(&[address], None).replace("\"seed\"", limits));
    node.wait_until_ready();
    let mut established = node.client();
    assert!(exchange(&mut established, &job(1, "look", "")).is_some());
    let mut silent: Vec<_> = (0..400).map(|_| node.client()).collect();
    let start = Instant::now();
    for id in 2..40 {
        let mut new = node.client();
        assert!(exchange(&mut new, &job(2 * id, "look", "")).unwrap().0.starts_with("HTTP/1.1 200"));
        assert!(
            exchange(&mut established, &job(2 * id + 1, "look", "")).unwrap().0.starts_with("HTTP/1.1 200")
        );
    }
    assert!(start.elapsed() < Duration::from_secs(2));
    // The silent connections are closed within 3 s.
    assert!(silent.iter_mut().all(|client| client.read(&mut [0]).is_ok_and(|n| n == 0)));
    assert!(start.elapsed() < Duration::from_secs(3));
}

// Each body alone is within its limit, but all of them together would use up the memory, and the kernel would kill the node.
#[test]
fn incomplete_bodies_do_not_use_up_the_memory() {
    let (address, _jobs) = executor(Some(DONE.into()));
    let limits = "\"limits\":{\"sockets\":1024,\"memory_mb\":32},\"seed\"";
    let node = Node::start_with(&Node::configuration(&[address], None).replace("\"seed\"", limits));
    node.wait_until_ready();
    node.wait_until_ready();
    let incomplete_request = job(1, "look", "").replace("Length: 4", "Length: 65536") + &"x".repeat(65_000);
    let mut incomplete_clients: Vec<_> = (0..300).map(|_| node.client()).collect();
    for client in &mut incomplete_clients {
        let _ = client.get_mut().write_all(incomplete_request.as_bytes());
    }
    let start = Instant::now();
    for id in 2..20 {
        assert!(exchange(&mut node.client(), &job(id, "look", "")).unwrap().0.starts_with("HTTP/1.1 200"));
    }
    assert!(start.elapsed() < Duration::from_secs(2));
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    let file_pages = status.lines().find_map(|l| l.strip_prefix("RssFile:")).unwrap();
    let file_pages: u64 = file_pages.trim().trim_end_matches(" kB").parse().unwrap();
    // The pages of the program file, of which a debug build has many, do not count: clients do not cause them.
    assert!(peak - file_pages < 14 << 10, "{peak} kB, of files {file_pages} kB");
    let rejected = incomplete_clients
        .iter_mut()
        .filter_map(read_message)
        .filter(|(head, _)| head.starts_with("HTTP/1.1 503"));
    assert!(rejected.count() > 0);
}

// A recursive parser would overflow the coroutine's stack on this report.
#[test]
fn a_deeply_nested_report_does_no_harm() {
    let (open, close) = ("{\"a\":[".repeat(60), "]}".repeat(60));
    let load = format!("{{\"x0\":{open}{close}}}");
    let line = format!("{{\"id\":\"ID\",\"state\":\"done\",\"result\":\"r\",\"load\":{load}}}\n");
    let (address, _jobs) = executor(Some(line));
    let (head, body) = exchange(&mut Node::start(&[address]).client(), &job(1, "pay", "")).unwrap();
    assert!(head.starts_with("HTTP/1.1 200") && body == "r", "{head}");
}

#[test]
fn clients_that_never_stop_sending_delay_no_other_client() {
    let (address, _jobs) = executor(Some(DONE.into()));
    let node = Node::start(&[address]);
    for _ in 0..4 {
        let mut flood = node.client();
        exchange(&mut flood, "nonsense\r\n\r\n").unwrap();
        // Ends when the node closes the connection.
        std::thread::spawn(move || while flood.get_mut().write_all(&[b'x'; 1 << 16]).is_ok() {});
    }
    let start = Instant::now();
    for id in 0..100 {
        let (head, _) = exchange(&mut node.client(), &job(id, "look", "")).unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    // It takes 0.05 s. In a node that reads all that such a client sends, it took at least 3.5 s.
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[test]
fn a_job_returned_by_the_only_executor_is_dismissed() {
    let (address, _jobs) = executor(Some("{\"id\":\"ID\",\"state\":\"returned\"}\n".into()));
    let (head, _) = exchange(&mut Node::start(&[address]).client(), &job(1, "pay", "")).unwrap();
    assert!(head.starts_with("HTTP/1.1 503") && head.contains("Retry-After: "), "{head}");
}

#[test]
fn a_stopped_node_answers_accepted_requests_and_exits_with_0() {
    let (address, jobs) = executor(None);
    let mut node = Node::start(&[address]);
    let mut client = node.client();
    client.get_mut().write_all(job(1, "pay", "").as_bytes()).unwrap();
    jobs.recv().unwrap();
    // SIGTERM may arrive twice, sent to the node and to its process group; a reload has no effect any more.
    for signal in ["-TERM", "-TERM", "-HUP"] {
        node.signal(signal);
    }
    let mut other = node.client();
    let health = |client: &mut _| exchange(client, "GET /healthz HTTP/1.1\r\n\r\n").unwrap().0;
    while !health(&mut other).starts_with("HTTP/1.1 503") {}
    // Requests are still accepted, on open connections and on new ones.
    let mut late = node.client();
    for (id, client) in [&mut other, &mut late].into_iter().enumerate() {
        client.get_mut().write_all(job(2 + id as u32, "pay", "").as_bytes()).unwrap();
    }
    for client in [&mut client, &mut other, &mut late] {
        let (head, _) = read_message(client).unwrap();
        assert!(head.starts_with("HTTP/1.1 50"), "{head}");
    }
    assert_eq!(client.read(&mut [0; 1]).unwrap(), 0);
    drop((client, other, late));
    assert_eq!(node.process.wait().unwrap().code(), Some(0));
}

/// Starts a discovery that answers each watch with this line and leaves it open. The receiver gets the head of each request, and
/// `None` when the node closes a watch.
fn discovery(line: String) -> (SocketAddr, Receiver<Option<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let (sender, reply) = (sender.clone(), chunked(&line).replace("0\r\n\r\n", ""));
            std::thread::spawn(move || {
                let mut socket = BufReader::new(socket.unwrap());
                let _ = sender.send(read_message(&mut socket).map(|(head, _)| head));
                socket.get_mut().write_all(reply.as_bytes()).unwrap();
                let _ = socket.read(&mut [0]);
                let _ = sender.send(None);
            });
        }
    });
    (address, requests)
}

/// Returns the list entry of an active executor.
fn entry(name: &str, address: SocketAddr) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","zone":"here","type":"small","status":"active"}}"#)
}

// Guards against SIGHUP ending the node. The first list of a new discovery counts as complete, even though its versions start again
// from 0: executors that it does not contain have left.
#[test]
fn a_new_configuration_changes_the_discovery_and_interrupts_nothing() {
    let (old, old_jobs) = executor(None);
    let (new, new_jobs) = executor(Some(DONE.into()));
    let (first, first_requests) = discovery(LISTED.replace("NEW", &entry("w0", old)));
    let listed = LISTED.replace("41", "0").replace("true", "false").replace("NEW", &entry("w1", new));
    let (second, second_requests) = discovery(listed);
    let text = Node::configuration(&[old], Some(first));
    let node = Node::start_with(&text);
    assert!(first_requests.recv().unwrap().unwrap().contains("after=1 "));
    node.wait_until_ready();
    let mut waiting = node.client();
    waiting.get_mut().write_all(job(1, "pay", "").as_bytes()).unwrap();
    old_jobs.recv().unwrap();
    let changed_settings = r#""excessPayoff": 0.1, "deductions": {"handshake": 0.08}"#;
    let changed = text
        .replace(&first.to_string(), &second.to_string())
        .replace(r#""excessPayoff": 0.2"#, changed_settings);
    assert!(changed.contains(changed_settings));
    // A configuration with an error changes nothing, even if the error is in its last key. Nor does one that requires a restart, or
    // an unchanged one.
    let (not_json, invalid) = (changed.replace("\"w0\"", "7}"), changed.replace("\"pay\"", "7"));
    let (out_of_range, other_products) =
        (changed.replace("0.08", "8"), changed.replace("\"look\"", "\"see\""));
    for text in [&not_json, &invalid, &out_of_range, &other_products, &text] {
        node.reload(text);
        assert!(exchange(&mut node.client(), "GET /healthz HTTP/1.1\r\n\r\n").unwrap().0.contains(" 200 "));
    }
    node.reload(&changed);
    assert!(second_requests.recv().unwrap().unwrap().starts_with("GET /v1/servers?watch=1 HTTP/1.1\r\n"));
    assert_eq!(first_requests.recv().unwrap(), None);
    let served = |id| exchange(&mut node.client(), &job(id, "look", "")).unwrap().0.contains(" 200 ");
    let mut ids = 2..;
    while !served(ids.next().unwrap()) {}
    // The request in flight at the old executor continues, and the old executor gets no new one.
    assert!(read_message(&mut waiting).unwrap().0.starts_with("HTTP/1.1 502"));
    let jobs_before = old_jobs.try_iter().count();
    assert!((0..20).all(|_| served(ids.next().unwrap())));
    assert_eq!(
        (old_jobs.try_iter().count(), new_jobs.try_iter().count() >= 21, jobs_before < 4),
        (0, true, true)
    );
}

// After a change of discovery a failed request must be repeated soon. At the retry interval of the settings it would be repeated
// only after the time at which the node must follow the new discovery's changes.
#[test]
fn a_new_discovery_that_does_not_answer_yet_is_retried_at_once() {
    let (address, _jobs) = executor(Some(DONE.into()));
    let (first, _requests) = discovery(LISTED.replace("NEW", ""));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = Node::configuration(&[address], Some(first));
    let node = Node::start_with(&text);
    let start = Instant::now();
    node.reload(&text.replace(&first.to_string(), &listener.local_addr().unwrap().to_string()));
    for socket in listener.incoming().take(5) {
        let mut socket = BufReader::new(socket.unwrap());
        assert!(read_message(&mut socket).unwrap().0.starts_with("GET /v1/servers?watch=1 HTTP"));
        let _ = socket.get_mut().write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    }
    assert!(start.elapsed() < Duration::from_secs(3));
}

// However a watch ends, the next one requests the changes since the last list that the node has received completely.
#[rstest]
#[case::ends(chunked(&LISTED.replace("NEW", "")), "after=41")]
#[case::breaks_in_a_line("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"index\":".into(), "after=1")]
#[case::not_a_list(chunked("[41,true,[]]\n"), "after=1")]
#[case::bad_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".into(), "after=1")]
#[case::fails("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into(), "after=1")]
#[case::garbage("\u{1}\u{2}\r\n\r\n".into(), "after=1")]
fn a_watch_that_ends_is_requested_again(#[case] first: String, #[case] after: &str) {
    let (address, _jobs) = executor(Some(DONE.into()));
    let second = chunked(&LISTED.replace("NEW", &entry("w0", address))).replace("0\r\n\r\n", "");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = Node::configuration(&[], Some(listener.local_addr().unwrap()));
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for (socket, reply) in listener.incoming().zip([first, second]) {
            let mut socket = BufReader::new(socket.unwrap());
            let _ = sender.send(read_message(&mut socket).unwrap().0);
            socket.get_mut().write_all(reply.as_bytes()).unwrap();
            // Closes the first watch when the second is answered; the second stays open.
            open = vec![socket];
        }
        std::thread::park();
        drop(open);
    });
    let node = Node::start_with(&text);
    assert!(requests.recv().unwrap().starts_with("GET /v1/servers?watch=1&after=1 HTTP/1.1\r\n"));
    assert!(requests.recv().unwrap().contains(&format!("{after} HTTP/1.1")));
    let mut client = node.client();
    let ready = |head: String| head.starts_with("HTTP/1.1 200");
    while !ready(exchange(&mut client, "GET /healthz HTTP/1.1\r\n\r\n").unwrap().0) {
        std::thread::yield_now();
    }
    while !ready(exchange(&mut client, &job(1, "look", "")).unwrap().0) {
        std::thread::yield_now();
    }
}

#[test]
fn a_second_node_at_the_same_address_does_not_start() {
    let (address, _jobs) = executor(None);
    let first = Node::start(&[address]);
    let text = Node::configuration(&[address], None)
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{}\"", first.address));
    let configuration_path = Node::write_configuration(&text);
    let output = Command::new(env!("CARGO_BIN_EXE_linestack"))
        .env("PROXY_CONFIG", &configuration_path)
        .output()
        .unwrap();
    std::fs::remove_file(&configuration_path).unwrap();
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn an_invalid_configuration_ends_the_start() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linestack"));
    let output = command.env_remove("PROXY_CONFIG").output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("PROXY_CONFIG: not set"));
}
