//! Requests that a client sends behind more than may be read ahead, or for which no memory is left. They are read all the
//! same, since the end of the connection may lie behind them, but nothing of them is kept: each is counted, and rejected in
//! its turn.

use bytes::BytesMut;

use crate::http::{self, BodyDecoder, Framing, HttpError};
use crate::net::receive_buffer::ReceiveBuffer;

/// The requests that were read beyond the limit, and the one that is being received.
#[derive(Default)]
pub(super) struct ExcessRequests {
    /// The number of complete requests that are not rejected yet.
    complete: usize,
    /// Bytes that are not decoded yet: part of a head, or of the framing of a body.
    input: ReceiveBuffer,
    /// The body that is being received.
    body: Option<BodyDecoder>,
    /// What follows once the complete requests are rejected.
    end: Option<ExcessEnd>,
}

/// Why no further request is expected on the connection.
enum ExcessEnd {
    /// The last complete request asked for a close after its answer.
    Close,
    /// The bytes after it are not a valid request.
    Invalid(HttpError),
}

/// What is to be done next about the requests beyond the limit.
pub(super) enum Rejection {
    /// Reject a request, and close the connection then if `close_after`.
    Request { close_after: bool },
    /// Reject what can't be parsed.
    Invalid(HttpError),
    /// Wait until the body of a request is received.
    AwaitBody,
    /// All are rejected; these bytes begin the next request.
    Finished(BytesMut),
}

impl ExcessRequests {
    /// Takes what follows the last complete request off `input`.
    pub(super) fn split_off(input: &mut ReceiveBuffer) -> Self {
        let (mut rest, mut end) = (BytesMut::from(&input[..]), 0);
        while let Ok(Some(length)) = http::take_request(&mut rest) {
            end += length;
        }
        let mut excess = Self::default();
        excess.push(&input[end..]);
        *input = ReceiveBuffer::from(BytesMut::from(&input[..end]));
        excess
    }

    /// Continues after a head that was received: `body` is what decodes its body, and `input` what was received behind the
    /// head.
    pub(super) fn after_head(body: BodyDecoder, input: &[u8]) -> Self {
        let mut excess = Self { body: Some(body), ..Self::default() };
        excess.push(input);
        excess
    }

    /// Adds complete requests that were received before these.
    pub(super) fn prepend(&mut self, input: &[u8]) {
        let mut earlier = Self::default();
        earlier.push(input);
        if earlier.end.is_some() {
            *self = earlier;
        } else {
            self.complete += earlier.complete;
        }
    }

    /// Returns the number of bytes that are allocated.
    pub(super) fn allocated(&self) -> usize {
        self.input.allocated()
    }

    /// Returns whether a complete request is not rejected yet.
    pub(super) fn has_request(&self) -> bool {
        self.complete > 0 || self.end.is_some()
    }

    /// Adds bytes that were received.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        if self.end.is_some() {
            return;
        }
        self.input.push(bytes);
        if let Err(error) = self.decode() {
            self.end = Some(ExcessEnd::Invalid(error));
        }
        self.input.release_consumed();
    }

    /// Counts the complete requests, and drops their bytes.
    fn decode(&mut self) -> Result<(), HttpError> {
        while self.end.is_none() {
            if self.body.is_none() && !self.decode_head()? {
                return Ok(());
            }
            let Some(body) = &mut self.body else { continue };
            if !body.decode(&mut self.input, &mut BytesMut::new())? {
                return Ok(());
            }
            (self.body, self.complete) = (None, self.complete + 1);
        }
        Ok(())
    }

    /// Decodes the head of the next request. Returns false if it is not complete yet.
    fn decode_head(&mut self) -> Result<bool, HttpError> {
        let Some(head) = http::parse_request(&self.input)? else { return Ok(false) };
        let _ = self.input.split_to(head.length);
        if head.close || head.expects_continue {
            // A client that waits for `100 Continue` gets the final answer instead, and may send the body all the same.
            (self.complete, self.end) = (self.complete + 1, Some(ExcessEnd::Close));
        } else {
            self.body = Some(BodyDecoder::new(head.framing.unwrap_or(Framing::Length(0))));
        }
        Ok(true)
    }

    /// Returns what is to be done next, once all requests before these are answered.
    pub(super) fn next_rejection(&mut self) -> Rejection {
        if self.complete > 0 {
            self.complete -= 1;
            let close_after = self.complete == 0 && matches!(self.end, Some(ExcessEnd::Close));
            return Rejection::Request { close_after };
        }
        match self.end.take() {
            Some(ExcessEnd::Invalid(error)) => Rejection::Invalid(error),
            _ if self.body.is_some() => Rejection::AwaitBody,
            _ => Rejection::Finished(self.input.take()),
        }
    }
}
