//! Frames between the processes of a fleet. A frame consists of
//!
//! | bytes | |
//! | --- | --- |
//! | 4 | `LSF` and the version of the protocol |
//! | 1 | the kind of the message, so that it can be forwarded without decoding the body |
//! | 3 | reserved, 0 |
//! | 4 | the length of the body, little-endian, [`MAX_BODY_LENGTH`] at most |
//! | 4 | CRC-32 of the kind and the body |
//! | ... | the body |
//!
//! A reader buffers at most one frame and the bytes received together with its end. After an invalid frame the
//! connection must be closed, since nothing after it can be trusted.

use thiserror::Error;

/// The version of the protocol that this program supports.
pub const VERSION: u8 = 1;
/// The length of the header before the body, in bytes.
pub const HEADER_LENGTH: usize = 16;
/// The greatest length of a body, in bytes.
pub const MAX_BODY_LENGTH: usize = 1 << 20;

/// The bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The magic number or the reserved bytes are wrong.
    #[error("not a frame")]
    Magic,
    /// The frame is of another version of the protocol.
    #[error("unsupported wire version {0}; this program supports {VERSION}")]
    Version(u8),
    /// The body is longer than [`MAX_BODY_LENGTH`].
    #[error("a body of {0} bytes is longer than {MAX_BODY_LENGTH}")]
    Oversized(u32),
    /// The kind or the body was altered.
    #[error("wrong checksum")]
    Checksum,
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The number of the message's kind, as in [`KINDS`].
    pub kind: u8,
    pub body: Vec<u8>,
}

fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a frame.
///
/// # Errors
///
/// [`FrameError::Oversized`] for a body that is too long.
pub fn encode(kind: u8, body: &[u8]) -> Result<Vec<u8>, FrameError> {
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    if body.len() > MAX_BODY_LENGTH {
        return Err(FrameError::Oversized(length));
    }
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
    bytes.extend_from_slice(&[b'L', b'S', b'F', VERSION, kind, 0, 0, 0]);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(kind, body).to_le_bytes());
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// Assembles frames from the bytes of a connection.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the received bytes that were not returned as frames yet.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns the next complete frame, if there is one.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid frame. The connection must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let buffer = &self.buffer;
        // Checked as soon as the bytes arrive, rather than after waiting for a body of a meaningless length.
        if !b"LSF".starts_with(&buffer[..buffer.len().min(3)]) {
            return Err(FrameError::Magic);
        }
        if let Some(version) = buffer.get(3).filter(|v| **v != VERSION) {
            return Err(FrameError::Version(*version));
        }
        if buffer.len() < HEADER_LENGTH {
            return Ok(None);
        }
        if buffer[5..8] != [0; 3] {
            return Err(FrameError::Magic);
        }
        let number =
            |at: usize| u32::from_le_bytes([buffer[at], buffer[at + 1], buffer[at + 2], buffer[at + 3]]);
        let length = number(8);
        if length as usize > MAX_BODY_LENGTH {
            return Err(FrameError::Oversized(length));
        }
        let end = HEADER_LENGTH + length as usize;
        if buffer.len() < end {
            return Ok(None);
        }
        let (kind, body) = (buffer[4], buffer[HEADER_LENGTH..end].to_vec());
        if checksum(kind, &body) != number(12) {
            return Err(FrameError::Checksum);
        }
        self.buffer.drain(..end);
        Ok(Some(Frame { kind, body }))
    }
}

/// The names of the message kinds, each at the index of its number, for plans and logs.
pub const KINDS: [&str; 15] = [
    "hello", "welcome", "prepare", "promise", "accept", "accepted", "beat", "beaten", "behind", "relay",
    "back", "request", "reply", "ask", "tale",
];

/// Returns the number of a kind.
#[must_use]
pub fn kind_number(name: &str) -> Option<u8> {
    KINDS.iter().position(|k| *k == name).and_then(|at| u8::try_from(at).ok())
}
