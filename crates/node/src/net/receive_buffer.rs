//! A buffer for received bytes whose memory follows what is left in it.

use std::ops::{Deref, DerefMut};

use bytes::BytesMut;

/// Bytes that were received and are not processed yet. They are processed by consuming them from the front, and
/// [`ReceiveBuffer::release_consumed`] then gives back the memory of what was consumed.
#[derive(Debug, Default)]
pub(crate) struct ReceiveBuffer {
    bytes: BytesMut,
    /// The number of bytes as of the last change that this type knows of.
    known_length: usize,
    /// An upper bound of the bytes at the front of the allocation that are consumed.
    consumed: usize,
}

impl ReceiveBuffer {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, received: &[u8]) {
        self.record_consumed();
        self.bytes.extend_from_slice(received);
        self.known_length = self.bytes.len();
    }

    /// Returns an upper bound of the size of the buffer's allocation.
    pub(crate) fn allocated(&self) -> usize {
        self.bytes.capacity() + self.consumed + (self.known_length - self.bytes.len())
    }

    /// Gives back the memory of what was consumed. What is left is moved only once it is the smaller part, so that each byte
    /// is moved once at most.
    pub(crate) fn release_consumed(&mut self) {
        self.record_consumed();
        if self.consumed > 0 && self.consumed >= self.bytes.len() {
            *self = Self::from(BytesMut::from(&self.bytes[..]));
        }
    }

    /// Removes all bytes and frees their memory.
    pub(crate) fn take(&mut self) -> BytesMut {
        std::mem::take(self).bytes
    }

    fn record_consumed(&mut self) {
        self.consumed += self.known_length - self.bytes.len();
        self.known_length = self.bytes.len();
    }
}

impl From<BytesMut> for ReceiveBuffer {
    fn from(bytes: BytesMut) -> Self {
        Self { known_length: bytes.len(), consumed: 0, bytes }
    }
}

impl Deref for ReceiveBuffer {
    type Target = BytesMut;

    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

/// For consuming bytes only; bytes are appended by [`ReceiveBuffer::push`].
impl DerefMut for ReceiveBuffer {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}
