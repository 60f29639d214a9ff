//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::Record;

/// A message with its first line, headers and body.
pub struct Message {
    pub first_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message with a `Content-Length`, or without a body. Returns none at the end of the connection.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return if lines.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
            let line = line.trim_end().to_owned();
            match (line.is_empty(), lines.is_empty()) {
                (true, true) => continue,
                (true, false) => break,
                _ => lines.push(line),
            }
        }
        let first_line = lines.remove(0);
        let split = |l: &String| l.split_once(':').map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        let headers: Vec<_> = lines.iter().filter_map(split).collect();
        let mut message = Self { first_line, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// A request as a client sends it.
pub struct Request<'a> {
    pub id: &'a str,
    pub kind: &'a str,
    pub owner: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// The length of the body.
    pub body_bytes: usize,
}

/// Sends a request on a connection of its own, and waits for the answer until half a second after the deadline. Returns
/// the status and the body.
pub fn submit(record: &Record, node: SocketAddr, request: &Request) -> Result<(u16, String), String> {
    let Request { id, kind, owner, key, deadline_ms, body_bytes: length } = request;
    record.write(&format!("client sends {kind} id={id} key={key} deadline={deadline_ms} ms body={length} bytes"));
    let body = "x".repeat(*length);
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Owner: {owner}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: {key}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    let answer = exchange(node, &text, Duration::from_millis(deadline_ms + 500));
    match &answer {
        Ok((status, body)) => record.write(&format!("client is answered {status} {body:?} id={id} key={key}")),
        Err(error) => record.write(&format!("client gets no answer ({error}) id={id} key={key}")),
    }
    answer
}

/// Asks for a path, and returns the status and the body.
pub fn get(node: SocketAddr, path: &str) -> Result<(u16, String), String> {
    exchange(node, &format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n"), Duration::from_secs(2))
}

fn exchange(node: SocketAddr, text: &str, timeout: Duration) -> Result<(u16, String), String> {
    let exchange = || {
        let mut socket = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        socket.write_all(text.as_bytes())?;
        Message::read(&mut BufReader::new(socket))
    };
    let answer = exchange().map_err(|e: io::Error| e.to_string())?.ok_or("the connection was closed")?;
    let status = answer.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    Ok((status, String::from_utf8_lossy(&answer.body).into_owned()))
}
