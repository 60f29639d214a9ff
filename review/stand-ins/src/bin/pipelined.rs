//! A client sends several requests at once on one connection, more than 80 KiB together.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_stand_ins::executor::{start_discovery, Conduct, Group};
use review_stand_ins::http::Message;
use review_stand_ins::platform::{free_address, wait_until_ready, Process, Temporary};
use review_stand_ins::settings::{configuration, settings, variables, Keyed};
use review_stand_ins::{has_trouble, run_case, Failure, Record, Verdict};

/// How many requests the client sends.
const REQUESTS: usize = 8;
/// The length of each body; a body may have 64 KiB.
const BODY_BYTES: usize = 20 * 1024;
/// How long a job runs.
const WORK: Duration = Duration::from_millis(300);
const DEADLINE_MS: u64 = 8000;

fn main() {
    run_case(case);
}

fn request(number: usize) -> String {
    let (id, key, body) = (format!("{number:016x}"), format!("{number:032x}"), "x".repeat(BODY_BYTES));
    format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: redeem\r\nReq-Owner: sabz-bank\r\n\
         Req-Deadline-Ms: {DEADLINE_MS}\r\nIdempotency-Key: {key}\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}"
    )
}

fn case(record: &Arc<Record>) -> Result<Verdict, Failure> {
    let temporary = Temporary::create()?;
    let plan = |_: &_| Conduct::Serve(WORK);
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let group = Group::start(record, &names, None, Box::new(plan)).map_err(|e| e.to_string())?;
    let discovery = start_discovery(&group).map_err(|e| e.to_string())?;
    let node = free_address()?;
    let keyed = Keyed { scope: "cell", memory_span_ms: 7500, deadline_ms: 5000, copies_and_probes: true };
    let config =
        temporary.write("node.json", &configuration("n0", node, discovery, &settings(1, Some(0), 0.2, &keyed)))?;
    let process = Process::start("", &variables("n0", node, discovery, &config), &temporary.0.join("node.log"))?;
    wait_until_ready(node)?;
    record.write("node: ready");
    let unanswered = exchange(record, node).map_err(|e| e.to_string())?;
    drop(process);
    Ok(if unanswered.is_empty() {
        Verdict::Held
    } else {
        let reached = unanswered.iter().filter(|number| !group.runs(&format!("{number:032x}")).is_empty()).count();
        Verdict::Broken(format!(
            "the node read {REQUESTS} requests and ended the connection without an answer to {} of them ({reached} of these had run)",
            unanswered.len()
        ))
    })
}

/// Sends the requests and returns those that were not answered.
fn exchange(record: &Record, node: SocketAddr) -> std::io::Result<Vec<usize>> {
    let mut socket = TcpStream::connect(node)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)))?;
    let mut reader = BufReader::new(socket.try_clone()?);
    let started = Instant::now();
    let since = || started.elapsed().as_secs_f64() * 1e3;
    let mut sent = 0;
    for number in 0..REQUESTS {
        while sent <= number || (has_trouble() && sent < REQUESTS) {
            socket.write_all(request(sent).as_bytes())?;
            record.write(&format!("client has written request {sent} whole, at {:.1} ms", since()));
            sent += 1;
        }
        let answer = Message::read(&mut reader);
        let Ok(Some(answer)) = answer else {
            let how = answer.map_or_else(|e| e.to_string(), |_| "its end".into());
            record.write(&format!("client gets no answer to request {number}, but {how}, at {:.1} ms", since()));
            return Ok((number..sent).collect());
        };
        let close = answer.header("connection").map_or(String::new(), |c| format!(", Connection: {c}"));
        record.write(&format!("client is answered {} to request {number}{close}, at {:.1} ms", answer.first_line, since()));
    }
    Ok(Vec::new())
}
