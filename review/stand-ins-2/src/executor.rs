//! A stand-in for an executor, by `PROTOCOL.md`. What it does with a request is chosen by a function of the case.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};
use crate::Record;

/// What an executor does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Treatment {
    /// Runs it, and answers `done` after this time.
    Run(Duration),
    /// The same, with a result of this many bytes.
    RunWith(Duration, usize),
    /// Does not begin it, and turns it away after this time (`503`, `Srv-Declined: 1`).
    TurnAway(Duration),
    /// Begins it, and after this time an answer whose line has this many bytes of its result and never ends.
    Spoil(Duration, usize),
    /// Begins it, and after this time ends the connection without an answer.
    Break(Duration),
}

/// A request that an executor received.
#[derive(Clone, Debug)]
pub struct Received {
    pub executor: usize,
    pub id: String,
    pub key: Option<String>,
    pub first_byte: Instant,
    pub last_byte: Instant,
    /// Whether the executor began it.
    pub begun: bool,
}

type Choose = dyn Fn(usize, &Message) -> Treatment + Send + Sync;

pub struct Executors {
    pub addresses: Vec<SocketAddr>,
    pub received: Arc<Mutex<Vec<Received>>>,
}

impl Executors {
    /// Starts this many executors. `load` is the text of their load reports; with `tells_start` they tell that a job has started.
    pub fn start(
        count: usize,
        tells_start: bool,
        record: &Record,
        load: &'static str,
        choose: impl Fn(usize, &Message) -> Treatment + Send + Sync + 'static,
    ) -> Self {
        let choose: Arc<Choose> = Arc::new(choose);
        let received = Arc::<Mutex<Vec<Received>>>::default();
        let mut addresses = Vec::new();
        for executor in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("an executor listens");
            addresses.push(listener.local_addr().unwrap());
            let (choose, received, record) = (Arc::clone(&choose), Arc::clone(&received), record.clone());
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let (choose, received, record) = (Arc::clone(&choose), Arc::clone(&received), record.clone());
                    thread::spawn(move || drop(serve(executor, tells_start, socket, &*choose, &received, &record, load)));
                }
            });
        }
        Self { addresses, received }
    }
}

fn serve(
    executor: usize,
    tells_start: bool,
    mut socket: TcpStream,
    choose: &Choose,
    received: &Mutex<Vec<Received>>,
    record: &Record,
    load: &str,
) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut reader = Reader::new(socket.try_clone()?);
    while let Some(message) = reader.next()? {
        if message.head.starts_with("GET") {
            let body = format!("{{{load}}}");
            write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
            continue;
        }
        let Some(id) = message.header("req-id").map(str::to_owned) else {
            socket.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        let key = message.header("idempotency-key").map(str::to_owned);
        let treatment = choose(executor, &message);
        let begun = !matches!(treatment, Treatment::TurnAway(_));
        record.add_at(record.at(message.first_byte), format!("executor e{executor} got {id}: {treatment:?}"));
        received.lock().unwrap().push(Received {
            executor,
            id: id.clone(),
            key,
            first_byte: message.first_byte,
            last_byte: message.last_byte,
            begun,
        });
        match treatment {
            Treatment::Run(time) | Treatment::RunWith(time, _) => {
                socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                if tells_start {
                    let line = format!("{{\"id\":\"{id}\",\"from\":\"e{executor}\",\"state\":\"started\"}}\n");
                    write!(socket, "{:x}\r\n{line}\r\n", line.len())?;
                }
                thread::sleep(time);
                let mut result = format!("{id} by e{executor}");
                if let Treatment::RunWith(_, length) = treatment {
                    result.push_str(&" r".repeat(length.saturating_sub(result.len()) / 2));
                }
                let line = format!(
                    "{{\"id\":\"{id}\",\"from\":\"e{executor}\",\"state\":\"done\",\"result\":\"{result}\",\"load\":{{{load}}}}}\n"
                );
                write!(socket, "{:x}\r\n{line}\r\n0\r\n\r\n", line.len())?;
                record.add(format!("executor e{executor} done {id}"));
            }
            Treatment::Spoil(time, length) => {
                thread::sleep(time);
                let part = "r".repeat(length);
                let line = format!("{{\"id\":\"{id}\",\"from\":\"e{executor}\",\"state\":\"done\",\"result\":\"{part}");
                write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())?;
            }
            Treatment::Break(time) => {
                thread::sleep(time);
                record.add(format!("executor e{executor} ends the connection under {id}"));
                return Ok(());
            }
            Treatment::TurnAway(time) => {
                thread::sleep(time);
                socket.write_all(b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")?;
                record.add(format!("executor e{executor} answered full {id}"));
            }
        }
    }
    Ok(())
}
