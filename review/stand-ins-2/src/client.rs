//! A client of a node, by `PROTOCOL.md`: one request at a time on a connection, connections are kept.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::Record;

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub kind: &'static str,
    pub owner: String,
    pub deadline_ms: u64,
    pub key: Option<String>,
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    /// The status; 0 if the connection ended with no answer, or none came in time.
    pub status: u16,
    pub body: String,
    pub sent: Instant,
    pub ended: Instant,
}

pub struct Client {
    node: SocketAddr,
    connection: Option<(TcpStream, Reader)>,
}

impl Client {
    pub fn new(node: SocketAddr) -> Self {
        Self { node, connection: None }
    }

    fn connect(&mut self) -> std::io::Result<()> {
        let socket = TcpStream::connect_timeout(&self.node, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        self.connection = Some((socket.try_clone()?, Reader::new(socket)));
        Ok(())
    }

    /// Hands in a request and waits for its answer, for its deadline and a second more.
    pub fn send(&mut self, request: &Request, record: &Record) -> Answer {
        let reused = self.connection.is_some();
        let mut answer = self.try_send(request, record);
        // A node may close a connection between requests; the client then sends the request once more on a new one.
        if answer.status == 0 && reused && answer.ended - answer.sent < Duration::from_millis(50) {
            answer = self.try_send(request, record);
        }
        // The beginning names the request and the executor; the rest of a long result is left out.
        let beginning: String = answer.body.chars().take(80).collect();
        record.add(format!("client answered {} {} {beginning}", request.id, answer.status));
        answer
    }

    fn try_send(&mut self, request: &Request, record: &Record) -> Answer {
        let Request { id, kind, owner, deadline_ms, key } = request;
        let sent = Instant::now();
        let failed = |ended| Answer { id: id.clone(), status: 0, body: String::new(), sent, ended };
        if self.connection.is_none() && self.connect().is_err() {
            return failed(Instant::now());
        }
        let Some((socket, reader)) = &mut self.connection else { return failed(Instant::now()) };
        let key = key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let text = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Owner: {owner}\r\n\
             Req-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: 2\r\n\r\nok"
        );
        record.add(format!("client sends {id} {kind} {owner}"));
        let _ = socket.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1000)));
        let message = socket.write_all(text.as_bytes()).and_then(|()| reader.next());
        match message {
            Ok(Some(message)) => {
                if message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    self.connection = None;
                }
                let (status, body) = (message.status(), String::from_utf8_lossy(&message.body).into_owned());
                Answer { id: id.clone(), status, body, sent, ended: Instant::now() }
            }
            _ => {
                self.connection = None;
                failed(Instant::now())
            }
        }
    }
}

/// Asks a node whether it is ready.
pub fn is_ready(node: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut socket = TcpStream::connect_timeout(&node, Duration::from_millis(500))?;
        socket.set_read_timeout(Some(Duration::from_millis(500)))?;
        socket.write_all(b"GET /healthz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
        Ok(Reader::new(socket).next()?.is_some_and(|message| message.status() == 200))
    };
    ask().unwrap_or(false)
}

/// Gets a page of a node: its status and text.
pub fn get(node: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&node, Duration::from_millis(500)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(socket, "GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").ok()?;
    let message = Reader::new(socket).next().ok()??;
    Some((message.status(), String::from_utf8_lossy(&message.body).trim().to_owned()))
}
