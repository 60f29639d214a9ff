//! Frames between processes of a fleet. A frame is
//!
//! | bytes | |
//! | --- | --- |
//! | 4 | `LSF` and the version of the wire |
//! | 1 | kind of the message, for whoever only passes it on |
//! | 3 | nothing, 0 |
//! | 4 | length of the body, little end first, [`MAX_BODY_LENGTH`] at most |
//! | 4 | CRC-32 of the kind and the body |
//! | ... | body |
//!
//! A reader holds no more than one frame and what came with its end. What is not a frame ends the connection:
//! after one fault nothing on it can be trusted.

use thiserror::Error;

/// The version of the wire that this program speaks.
pub const VERSION: u8 = 1;
/// Bytes before the body.
pub const HEADER_LENGTH: usize = 16;
/// The longest body, in bytes.
pub const MAX_BODY_LENGTH: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    #[error("no frame")]
    Magic,
    #[error("wire version {0}, and this speaks {VERSION}")]
    Version(u8),
    #[error("a body of {0} bytes, {MAX_BODY_LENGTH} at most")]
    Oversized(u32),
    #[error("wrong checksum")]
    Checksum,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    pub kind: u8,
    pub body: Vec<u8>,
}

fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}

/// The bytes of a frame.
///
/// # Errors
///
/// [`FrameError::Oversized`].
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

/// Puts frames together from what a connection brings.
#[derive(Debug, Default)]
pub struct Reader {
    held: Vec<u8>,
}

impl Reader {
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Bytes held that make no whole frame yet.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.held
    }

    /// The next whole frame, if there is one.
    ///
    /// # Errors
    ///
    /// What came is no frame. The connection is to be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let h = &self.held;
        // Told as soon as it shows, not once a length that makes no sense has come in.
        if !b"LSF".starts_with(&h[..h.len().min(3)]) {
            return Err(FrameError::Magic);
        }
        if let Some(version) = h.get(3).filter(|v| **v != VERSION) {
            return Err(FrameError::Version(*version));
        }
        if h.len() < HEADER_LENGTH {
            return Ok(None);
        }
        if h[5..8] != [0; 3] {
            return Err(FrameError::Magic);
        }
        let word = |at: usize| u32::from_le_bytes([h[at], h[at + 1], h[at + 2], h[at + 3]]);
        let length = word(8);
        if length as usize > MAX_BODY_LENGTH {
            return Err(FrameError::Oversized(length));
        }
        let end = HEADER_LENGTH + length as usize;
        if h.len() < end {
            return Ok(None);
        }
        let (kind, body) = (h[4], h[HEADER_LENGTH..end].to_vec());
        if checksum(kind, &body) != word(12) {
            return Err(FrameError::Checksum);
        }
        self.held.drain(..end);
        Ok(Some(Frame { kind, body }))
    }
}

/// The kinds of messages, each at the place of its number, for those that name them: plans and logs.
pub const KINDS: [&str; 15] = [
    "hello", "welcome", "prepare", "promise", "accept", "accepted", "beat", "beaten", "behind", "relay",
    "back", "request", "reply", "ask", "tale",
];

/// The number of a kind.
#[must_use]
pub fn kind_number(name: &str) -> Option<u8> {
    KINDS.iter().position(|k| *k == name).and_then(|at| u8::try_from(at).ok())
}
