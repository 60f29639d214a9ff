//! Finds the lists and heartbeats in what a watch on discovery brings: bytes in pieces of any size go in, whole lists and
//! heartbeats come out. No I/O.
//!
//! A list is one JSON object. Whitespace of any kind, newlines included, may stand between objects and within them, so that
//! a list may come on one line or indented over many. A heartbeat is a line between objects that holds nothing but
//! whitespace: neither a newline within an object nor the one that ends an object's last line is one.
//!
//! Each byte is looked at once, whatever pieces it comes in. The scanner follows brackets and strings only; whether the
//! text between them is JSON is judged by [`List::read`] when the object's last bracket has come. A fault within an object
//! therefore shows at its end, and one that never ends is left to the reader's time limit.

use bytes::{Buf as _, BytesMut};
use thiserror::Error;

use super::discovery::List;

/// The longest list, in bytes from its first bracket to its last. 1,100 entries may take 3.8 KB each; one with a name of
/// 1,024 characters, indented, takes 1.2 KB.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Why nothing more can be read from the watch.
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

/// What discovery says on a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    List(List),
    /// An empty line: nothing has changed, and the watch lives.
    Heartbeat,
}

/// Takes a watch's bytes and gives its messages.
#[derive(Debug, Default)]
pub struct ListStream {
    received: BytesMut,
    /// How many of the bytes received were scanned: those of an object whose end has not come.
    scanned: usize,
    object: Nesting,
    /// Something other than whitespace stands on the present line.
    line_in_use: bool,
}

impl ListStream {
    /// Adds what came next.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// The next message that has come whole; none until more bytes come.
    ///
    /// # Errors
    ///
    /// What came is no list. The watch is to be given up: where the next list begins nobody can tell.
    pub fn next_message(&mut self) -> Result<Option<Message>, ListStreamError> {
        if self.scanned == 0 && self.skip_whitespace() {
            return Ok(Some(Message::Heartbeat));
        }
        let Some(object) = self.next_object()? else { return Ok(None) };
        Ok(Some(Message::List(List::read(&object)?)))
    }

    /// Drops the whitespace before an object, up to the end of a line that holds nothing else. True if it came.
    fn skip_whitespace(&mut self) -> bool {
        while let Some(byte) = self.received.first().copied().filter(u8::is_ascii_whitespace) {
            self.received.advance(1);
            if byte == b'\n' && !std::mem::take(&mut self.line_in_use) {
                return true;
            }
        }
        false
    }

    /// The text of the object that begins where the whitespace ended, once it is whole.
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

    /// Scans what was not scanned yet for the object's last bracket, and returns the place after it.
    fn object_end(&mut self) -> Result<Option<usize>, ListStreamError> {
        for (at, byte) in self.received.iter().enumerate().skip(self.scanned) {
            if self.object.ends_at(*byte)? {
                return Ok(Some(at + 1));
            }
        }
        Ok(None)
    }
}

/// Where in an object the scanner stands.
#[derive(Debug, Default)]
struct Nesting {
    /// Brackets that are open.
    depth: usize,
    in_string: bool,
    /// The byte before was a backslash that takes this one with it.
    escaped: bool,
}

impl Nesting {
    /// Takes the next byte. True if it closes the outermost bracket.
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

    /// JSON has control characters escaped; one that is not tells that the string was cut short, mostly by a new line.
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
