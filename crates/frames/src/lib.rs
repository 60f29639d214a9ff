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
//! connection must be closed, since the start of the next frame is unknown.

use thiserror::Error;

/// The first bytes of each frame.
const MAGIC: &[u8; 3] = b"LSF";
/// The version of the protocol that this program supports.
pub const VERSION: u8 = 1;
/// The length of the header before the body, in bytes.
pub const HEADER_LENGTH: usize = 16;
/// The greatest length of a body, in bytes.
pub const MAX_BODY_LENGTH: usize = 1 << 20;

// The offsets of the fields of the header.
const VERSION_AT: usize = 3;
const KIND_AT: usize = 4;
const RESERVED_AT: usize = 5;
const LENGTH_AT: usize = 8;
const CHECKSUM_AT: usize = 12;

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
    /// The checksum differs from that of the kind and the body.
    #[error("wrong checksum")]
    Checksum,
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The number of the message's kind; [`KIND_NAMES`] has its name.
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Computes the checksum of a frame.
fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a frame with a message of this kind.
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
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&[VERSION, kind, 0, 0, 0]);
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
        // The magic number and the version are checked as soon as their bytes arrive: the length in an invalid frame is
        // meaningless, and bytes up to that length may never come.
        if !MAGIC.starts_with(&buffer[..buffer.len().min(MAGIC.len())]) {
            return Err(FrameError::Magic);
        }
        if let Some(version) = buffer.get(VERSION_AT).filter(|v| **v != VERSION) {
            return Err(FrameError::Version(*version));
        }
        if buffer.len() < HEADER_LENGTH {
            return Ok(None);
        }
        if buffer[RESERVED_AT..LENGTH_AT] != [0; 3] {
            return Err(FrameError::Magic);
        }
        let read_u32 =
            |at: usize| u32::from_le_bytes([buffer[at], buffer[at + 1], buffer[at + 2], buffer[at + 3]]);
        let length = read_u32(LENGTH_AT);
        if length as usize > MAX_BODY_LENGTH {
            return Err(FrameError::Oversized(length));
        }
        let end = HEADER_LENGTH + length as usize;
        if buffer.len() < end {
            return Ok(None);
        }
        let (kind, body) = (buffer[KIND_AT], buffer[HEADER_LENGTH..end].to_vec());
        if checksum(kind, &body) != read_u32(CHECKSUM_AT) {
            return Err(FrameError::Checksum);
        }
        self.buffer.drain(..end);
        Ok(Some(Frame { kind, body }))
    }
}

/// The names of the message kinds, each at the index of its number. Test plans and logs use them.
pub const KIND_NAMES: [&str; 15] = [
    "hello", "welcome", "prepare", "promise", "accept", "accepted", "beat", "beaten", "behind", "relay",
    "back", "request", "reply", "ask", "tale",
];

/// Returns the number of the kind with this name.
#[must_use]
pub fn kind_number(name: &str) -> Option<u8> {
    KIND_NAMES.iter().position(|kind_name| *kind_name == name).and_then(|index| u8::try_from(index).ok())
}
