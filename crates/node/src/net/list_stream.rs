//! Decodes the stream of a watch on discovery: it receives bytes in pieces of any size and returns complete lists and
//! heartbeats. It performs no I/O.
//!
//! A list is one JSON object. Whitespace of any kind, newlines included, may occur between objects and within them, so
//! a list may be on one line or indented over many. A heartbeat is a line between objects that contains nothing but
//! whitespace: neither a newline within an object nor the one that ends an object's last line is a heartbeat.
//!
//! Each byte is scanned once, whatever the size of the pieces. The scanner follows brackets and strings only;
//! [`List::read`] parses the text once the object's last bracket was received. An error within an object is therefore
//! detected at its end, and the caller's timeout handles an object that never ends.

use bytes::{Buf as _, BytesMut};
use thiserror::Error;

use super::discovery::List;

/// The maximum length of a list, in bytes from its first bracket to its last. This allows for 1,100 entries of 3.8 KB; an
/// indented entry with a name of 1,024 characters takes 1.2 KB.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Why nothing more can be decoded from the stream.
#[derive(Debug, Error)]
pub enum ListStreamError {
    #[error("not a list: {0}")]
    List(#[from] serde_json::Error),
    #[error("byte {0:#04x} where only an object may begin")]
    NotAnObject(u8),
    #[error("byte {0:#04x} within a string")]
    ControlCharacter(u8),
    #[error("longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// A message from discovery on a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The complete list, or the entries that changed.
    List(List),
    /// An empty line: nothing has changed, and the watch is alive.
    Heartbeat,
}

/// Decodes a watch's bytes into messages.
#[derive(Debug, Default)]
pub struct ListStream {
    received: BytesMut,
    /// How many of the bytes in `received` are scanned already: those of an object whose end was not received yet.
    scanned: usize,
    /// The scanner's position in that object.
    object: Nesting,
    /// Whether something other than whitespace is on the current line.
    line_in_use: bool,
}

impl ListStream {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Returns the next complete message; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a list. The watch must be closed then, since the start of the next list
    /// cannot be found.
    pub fn next_message(&mut self) -> Result<Option<Message>, ListStreamError> {
        if self.scanned == 0 && self.skip_whitespace() {
            return Ok(Some(Message::Heartbeat));
        }
        let Some(object) = self.next_object()? else { return Ok(None) };
        Ok(Some(Message::List(List::read(&object)?)))
    }

    /// Drops the whitespace before an object, up to the end of an otherwise empty line. Returns true if it found such an
    /// end.
    fn skip_whitespace(&mut self) -> bool {
        while let Some(byte) = self.received.first().copied().filter(u8::is_ascii_whitespace) {
            self.received.advance(1);
            if byte == b'\n' && !std::mem::take(&mut self.line_in_use) {
                return true;
            }
        }
        false
    }

    /// Returns the text of the object at the start of `received`, once it is complete.
    fn next_object(&mut self) -> Result<Option<BytesMut>, ListStreamError> {
        match self.received.first() {
            None => return Ok(None),
            Some(b'{') => self.line_in_use = true,
            Some(other) => return Err(ListStreamError::NotAnObject(*other)),
        }
        let end = self.object_end()?;
        let length = end.unwrap_or(self.received.len());
        if length > MAX_LIST_BYTES {
            return Err(ListStreamError::TooLong);
        }
        self.scanned = if end.is_some() { 0 } else { length };
        Ok(end.map(|end| self.received.split_to(end)))
    }

    /// Scans the remaining bytes for the object's last bracket and returns the position after it.
    fn object_end(&mut self) -> Result<Option<usize>, ListStreamError> {
        for (at, byte) in self.received.iter().enumerate().skip(self.scanned) {
            if self.object.ends_at(*byte)? {
                return Ok(Some(at + 1));
            }
        }
        Ok(None)
    }
}

/// The scanner's position in the structure of an object.
#[derive(Debug, Default)]
struct Nesting {
    /// The number of open brackets.
    depth: usize,
    in_string: bool,
    /// Whether the byte before was a backslash that escapes this one.
    escaped: bool,
}

impl Nesting {
    /// Scans the next byte. Returns true if it closes the outermost bracket.
    fn ends_at(&mut self, byte: u8) -> Result<bool, ListStreamError> {
        if self.in_string {
            return self.string_byte(byte).map(|()| false);
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth -= 1;
                return Ok(self.depth == 0);
            }
            _ => {}
        }
        Ok(false)
    }

    /// Scans a byte of a string. JSON escapes control characters; an unescaped one means that the string was cut short,
    /// usually by a newline.
    fn string_byte(&mut self, byte: u8) -> Result<(), ListStreamError> {
        match byte {
            ..0x20 => return Err(ListStreamError::ControlCharacter(byte)),
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        Ok(())
    }
}
