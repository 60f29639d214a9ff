//! Reads HTTP/1.1 messages from a socket.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Instant;

/// A message, with the times at which its first and its last byte were read.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from one connection, whose bodies have a `Content-Length` or none.
pub struct Reader {
    socket: TcpStream,
    buffer: Vec<u8>,
    buffered_at: Instant,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Self {
        Self { socket, buffer: Vec::new(), buffered_at: Instant::now() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        loop {
            match self.socket.read(&mut piece) {
                Ok(0) => return Ok(false),
                Ok(count) => {
                    if self.buffer.is_empty() {
                        self.buffered_at = Instant::now();
                    }
                    self.buffer.extend_from_slice(&piece[..count]);
                    return Ok(true);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads the next message. Returns none if the connection ended before a message began.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let first_byte = self.buffered_at;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut message = Message { head, body: Vec::new(), first_byte, last_byte: first_byte };
        let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.buffer.len() < end + length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[end..end + length].to_vec();
        message.last_byte = Instant::now();
        self.buffer.drain(..end + length);
        self.buffered_at = Instant::now();
        Ok(Some(message))
    }
}
