//! Not a case: a node is held up for 0.146 s just as an executor hands a job back unstarted, and its client leaves meanwhile.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::executor::{start_discovery, Conduct, Group, Job};
use review_stand_ins::http::Message;
use review_stand_ins::platform::{free_address, wait_until_ready, Process, Temporary};
use review_stand_ins::settings::{configuration, settings, variables, Keyed};
use review_stand_ins::{has_trouble, lock, run_case, sleep_ms, Failure, Record, Verdict};

/// How often it is tried at most, and for how long.
const TRIES: u32 = 600;
const SPAN: Duration = Duration::from_secs(95);
/// How long an executor holds a job before it hands it back.
const HELD: Duration = Duration::from_millis(20);
/// The time after the close of its client from which no attempt may begin.
const BOUND: Duration = Duration::from_millis(100);

fn main() {
    run_case(case);
}

/// Sends a request and returns its connection.
fn ask(node: SocketAddr, id: &str) -> std::io::Result<TcpStream> {
    let mut socket = TcpStream::connect(node)?;
    socket.set_nodelay(true)?;
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: load\r\nReq-Owner: sabz-bank\r\n\
         Req-Deadline-Ms: 5000\r\nIdempotency-Key: {id}\r\nContent-Length: 2\r\n\r\nhi"
    );
    socket.write_all(text.as_bytes())?;
    Ok(socket)
}

fn case(record: &Arc<Record>) -> Result<Verdict, Failure> {
    let failure = |e: std::io::Error| e.to_string();
    let temporary = Temporary::create()?;
    // When each job came to an executor, by its key.
    let came: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let seen = Arc::clone(&came);
    let plan = move |job: &Job| {
        lock(&seen).push((job.key.clone(), Instant::now()));
        if job.earlier == 0 && job.key.starts_with('t') {
            thread::sleep(HELD);
            return Conduct::TurnAway;
        }
        Conduct::Serve(Duration::from_millis(1))
    };
    let names = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"];
    let group = Group::start(record, &names, None, Box::new(plan)).map_err(failure)?;
    let discovery = start_discovery(&group).map_err(failure)?;
    let node = free_address()?;
    let keyed = Keyed { scope: "all", memory_span_ms: 7500, deadline_ms: 5000, copies_and_probes: true };
    let config =
        temporary.write("node.json", &configuration("n0", node, discovery, &settings(1, Some(0), 0.2, &keyed)))?;
    let process = Process::start("", &variables("n0", node, discovery, &config), &temporary.0.join("node.log"))?;
    wait_until_ready(node)?;
    // One shell sends all signals, so that each takes some 0.1 ms.
    let mut shell = Command::new("/bin/sh").stdin(Stdio::piped()).spawn().map_err(failure)?;
    let mut signals = shell.stdin.take().ok_or("no shell")?;
    let mut signal = |name: &str| {
        let _ = writeln!(signals, "kill -{name} {}", process.id());
        let _ = signals.flush();
    };
    let started = Instant::now();
    let (mut tries, mut late, mut worst) = (0, 0, Duration::ZERO);
    while tries < TRIES && started.elapsed() < SPAN {
        // Requests that are served keep some connections at hand.
        for other in (0..6).filter(|_| tries % 8 == 0) {
            let socket = ask(node, &format!("o{tries:07}{other:08}")).map_err(failure)?;
            let _ = Message::read(&mut BufReader::new(socket));
        }
        let id = format!("t{tries:015}");
        let socket = ask(node, &id).map_err(failure)?;
        let first = loop {
            if let Some((_, at)) = lock(&came).iter().find(|(key, _)| *key == id) {
                break *at;
            }
            if started.elapsed() > SPAN + Duration::from_secs(5) {
                return Err("a job did not come to an executor".into());
            }
            thread::sleep(Duration::from_micros(200));
        };
        if has_trouble() {
            // From 0.25 ms before the job is handed back to 0.35 ms after it.
            let aim = first + HELD + Duration::from_micros(u64::from(tries * 37 % 600)) - Duration::from_micros(250);
            thread::sleep(aim.saturating_duration_since(Instant::now() + Duration::from_millis(1)));
            while Instant::now() < aim {
                std::hint::spin_loop();
            }
            signal("STOP");
        }
        sleep_ms(6);
        let closed = Instant::now();
        drop(socket);
        sleep_ms(140);
        if has_trouble() {
            signal("CONT");
        }
        sleep_ms(40);
        let begun = lock(&came).iter().filter(|(key, _)| *key == id).map(|(_, at)| *at).max();
        if let Some(over) = begun.map(|at| at.saturating_duration_since(closed)).filter(|over| *over > BOUND) {
            record.write(&format!("an attempt of {id} began {:.1} ms after its client had left", over.as_secs_f64() * 1e3));
            (late, worst) = (late + 1, worst.max(over));
        }
        lock(&came).clear();
        tries += 1;
    }
    signal("CONT");
    drop(signals);
    let _ = shell.wait();
    Ok(if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken(format!("in {late} of {tries} tries an attempt began over 0.1 s after its client had left, at most {worst:.1?}"))
    })
}
