//! HTTP/1.1 messages: parses heads in place, decodes bodies by their framing, and writes messages as lists of slices.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::ops::Range;

use bytes::{Buf, Bytes, BytesMut};

/// The maximum length of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum length of a head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of headers in a head.
const MAX_HEADERS: usize = 64;
/// The maximum length of a line with a chunk's size, and of a trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Why a request is rejected, or a response cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The status to answer a request with.
    pub status: u16,
    /// The reason, for the log.
    pub reason: &'static str,
}

const fn http_error(status: u16, reason: &'static str) -> HttpError {
    HttpError { status, reason }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body is in the chunked transfer encoding.
    Chunked,
    /// The body ends with the connection.
    Close,
}

/// The head of a client's request. The ranges are positions in the buffer that was parsed.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The head's length in bytes.
    pub length: usize,
    /// Set in every parsed head.
    pub framing: Option<Framing>,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
    /// Whether the client waits for a `100 Continue`.
    pub expects_continue: bool,
    pub method: Range<usize>,
    pub path: Range<usize>,
    /// The value of `Host`.
    pub host: Option<Range<usize>>,
    /// The value of `Req-Id`.
    pub id: Option<Range<usize>>,
    /// The value of `Req-Kind`, which names the product.
    pub kind: Option<Range<usize>>,
    /// The value of `Req-Owner`, which names the tenant.
    pub owner: Option<Range<usize>>,
    /// The value of `Req-Deadline-Ms`.
    pub deadline: Option<Range<usize>>,
    /// The value of `Idempotency-Key`.
    pub stamp: Option<Range<usize>>,
    /// The value of `Req-Extra`, which has the figures of the resources that the submission needs.
    pub extra: Option<Range<usize>>,
}

/// The head of a response from an executor or from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The head's length in bytes.
    pub length: usize,
    pub status: u16,
    pub framing: Framing,
    /// Whether the connection ends after this response.
    pub close: bool,
    /// Whether the executor declined the request without processing it (`Srv-Declined`).
    pub declined: bool,
    /// The load report in the header `Srv-Load`.
    pub load: Option<String>,
}

/// The headers that determine a body's length. Two lengths, or a length together with chunks, are rejected: the next
/// server could interpret them differently, which allows request smuggling.
#[derive(Default)]
struct Lengths {
    length: Option<usize>,
    chunked: bool,
}

impl Lengths {
    fn read_header(&mut self, header: &httparse::Header<'_>) -> Result<(), HttpError> {
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(header.value)
                .ok()
                .filter(|v| !v.is_empty() && v.len() <= 15 && v.bytes().all(|b| b.is_ascii_digit()));
            let length = digits.and_then(|d| d.parse().ok()).ok_or(http_error(400, "bad Content-Length"))?;
            if self.chunked || self.length.replace(length).is_some() {
                return Err(http_error(400, "ambiguous length"));
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(http_error(400, "unknown Transfer-Encoding"));
            }
            if self.length.is_some() || std::mem::replace(&mut self.chunked, true) {
                return Err(http_error(400, "ambiguous length"));
            }
        }
        Ok(())
    }
}

fn has_token(value: &[u8], token: &str) -> bool {
    value.split(|b| *b == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Parses the head of a request. Returns `None` until the head is complete.
pub fn parse_request(buffer: &[u8]) -> Result<Option<Request>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(http_error(431, "head too large")),
        Err(_) => return Err(http_error(400, "malformed head")),
    };
    if parsed.version != Some(1) {
        return Err(http_error(505, "HTTP/1.1 only"));
    }
    let range = |part: &[u8]| {
        let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
        start..start + part.len()
    };
    // A path that an executor may parse differently is not forwarded: executors close the connection on a request
    // that they cannot parse, and other requests on that connection would fail too.
    if !parsed.path.is_some_and(|p| p.starts_with('/') && p.bytes().all(|b| b.is_ascii_graphic())) {
        return Err(http_error(400, "bad path"));
    }
    let mut head = Request {
        length,
        method: range(parsed.method.unwrap_or_default().as_bytes()),
        path: range(parsed.path.unwrap_or_default().as_bytes()),
        ..Request::default()
    };
    let mut lengths = Lengths::default();
    for header in parsed.headers.iter() {
        lengths.read_header(header)?;
        let slot = match header.name {
            n if n.eq_ignore_ascii_case("req-id") => &mut head.id,
            n if n.eq_ignore_ascii_case("req-kind") => &mut head.kind,
            n if n.eq_ignore_ascii_case("req-owner") => &mut head.owner,
            n if n.eq_ignore_ascii_case("req-deadline-ms") => &mut head.deadline,
            n if n.eq_ignore_ascii_case("idempotency-key") => &mut head.stamp,
            n if n.eq_ignore_ascii_case("req-extra") => &mut head.extra,
            n if n.eq_ignore_ascii_case("host") => &mut head.host,
            n if n.eq_ignore_ascii_case("connection") => {
                head.close |= has_token(header.value, "close");
                continue;
            }
            n if n.eq_ignore_ascii_case("expect") => {
                head.expects_continue |= has_token(header.value, "100-continue");
                continue;
            }
            _ => continue,
        };
        if !header.value.iter().all(|b| b.is_ascii_graphic() || *b == b' ') {
            return Err(http_error(400, "a header is not plain ASCII text"));
        }
        if slot.replace(range(header.value)).is_some() {
            return Err(http_error(400, "a header that may occur once is repeated"));
        }
    }
    if lengths.length.is_some_and(|l| l > MAX_BODY_BYTES) {
        return Err(http_error(413, "body too large"));
    }
    head.framing =
        Some(if lengths.chunked { Framing::Chunked } else { Framing::Length(lengths.length.unwrap_or(0)) });
    Ok(Some(head))
}

/// Parses the head of a response. Returns `None` until the head is complete.
pub fn parse_response(buffer: &[u8]) -> Result<Option<Response>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) => return Err(http_error(502, "head too large")),
        Err(_) => return Err(http_error(502, "malformed head")),
    };
    let status = parsed.code.unwrap_or(0);
    let mut head = Response {
        length,
        status,
        framing: Framing::Close,
        close: parsed.version != Some(1),
        declined: false,
        load: None,
    };
    let mut lengths = Lengths::default();
    for header in parsed.headers.iter() {
        lengths.read_header(header)?;
        match header.name {
            n if n.eq_ignore_ascii_case("srv-declined") => head.declined = header.value.trim_ascii() == b"1",
            n if n.eq_ignore_ascii_case("srv-load") => {
                head.load = std::str::from_utf8(header.value).ok().map(str::to_owned);
            }
            n if n.eq_ignore_ascii_case("connection") => head.close |= has_token(header.value, "close"),
            _ => {}
        }
    }
    head.framing = match lengths {
        Lengths { chunked: true, .. } => Framing::Chunked,
        Lengths { length: Some(length), .. } => Framing::Length(length),
        _ if matches!(status, 100..200 | 204 | 304) => Framing::Length(0),
        _ => Framing::Close,
    };
    head.close |= head.framing == Framing::Close;
    Ok(Some(head))
}

/// Decodes a body from the received bytes, piece by piece.
#[derive(Debug)]
pub struct BodyDecoder(BodyState);

#[derive(Debug)]
enum BodyState {
    /// This many bytes are not received yet.
    Remaining(usize),
    UntilClose,
    /// The line with the size of the next chunk is expected.
    ChunkSize,
    /// This many bytes of the current chunk are not received yet.
    Chunk(u64),
    /// The end of the line after a chunk is expected.
    ChunkEnd,
    /// This many bytes of the trailer were received.
    Trailer(usize),
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(length) => BodyState::Remaining(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::Close => BodyState::UntilClose,
        })
    }

    /// Moves the body's bytes from `input` to `output`. Returns true once the body is complete.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, HttpError> {
        const MALFORMED_CHUNK: HttpError = http_error(400, "malformed chunk");
        loop {
            match &mut self.0 {
                BodyState::Remaining(0) => return Ok(true),
                _ if input.is_empty() => return Ok(false),
                BodyState::Remaining(remaining) => {
                    let count = input.len().min(*remaining);
                    output.extend_from_slice(&input.split_to(count));
                    *remaining -= count;
                }
                BodyState::UntilClose => output.extend_from_slice(&input.split()),
                // httparse would parse an empty size as 0, which ends the body.
                BodyState::ChunkSize if !input[0].is_ascii_hexdigit() => return Err(MALFORMED_CHUNK),
                BodyState::ChunkSize => {
                    match httparse::parse_chunk_size(input).map_err(|_| MALFORMED_CHUNK)? {
                        httparse::Status::Complete((skip, size)) => {
                            input.advance(skip);
                            self.0 = if size == 0 { BodyState::Trailer(0) } else { BodyState::Chunk(size) };
                        }
                        httparse::Status::Partial if input.len() > MAX_CHUNK_LINE_BYTES => {
                            return Err(MALFORMED_CHUNK);
                        }
                        httparse::Status::Partial => return Ok(false),
                    }
                }
                BodyState::Chunk(0) => self.0 = BodyState::ChunkEnd,
                BodyState::Chunk(remaining) => {
                    let count = input.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                    output.extend_from_slice(&input.split_to(count));
                    *remaining -= count as u64;
                }
                BodyState::ChunkEnd => {
                    if !b"\r\n".starts_with(&input[..input.len().min(2)]) {
                        return Err(MALFORMED_CHUNK);
                    }
                    if input.len() < 2 {
                        return Ok(false);
                    }
                    input.advance(2);
                    self.0 = BodyState::ChunkSize;
                }
                BodyState::Trailer(seen) => {
                    let Some(end) = input.iter().position(|b| *b == b'\n') else {
                        return if input.len() > MAX_CHUNK_LINE_BYTES {
                            Err(MALFORMED_CHUNK)
                        } else {
                            Ok(false)
                        };
                    };
                    let line = input.split_to(end + 1);
                    *seen += line.len();
                    if line.trim_ascii().is_empty() {
                        self.0 = BodyState::Remaining(0);
                    } else if *seen > MAX_HEAD_BYTES {
                        return Err(MALFORMED_CHUNK);
                    }
                }
            }
        }
    }

    /// Returns whether the body ends with the connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.0, BodyState::UntilClose)
    }
}

/// A message to be written: its pieces are written with one vectored call where the socket accepts it.
#[derive(Debug, Default)]
pub struct WriteQueue {
    /// What is not written yet. A piece that is written is dropped, since it may keep a whole request in memory.
    pending: VecDeque<Bytes>,
    /// The number of bytes of the first pending piece that are written; they stay allocated.
    front_written: usize,
    /// The number of bytes written.
    pub written: usize,
}

impl WriteQueue {
    /// The maximum number of pieces in one call.
    const MAX_SLICES: usize = 16;

    /// Appends a piece; an empty one is left out.
    pub fn push(&mut self, piece: impl Into<Bytes>) {
        let piece = piece.into();
        if !piece.is_empty() {
            self.pending.push_back(piece);
        }
    }

    /// Returns the number of bytes in the pieces that are not completely written.
    #[must_use]
    pub fn allocated(&self) -> usize {
        self.front_written + self.pending.iter().map(Bytes::len).sum::<usize>()
    }

    /// Returns whether everything is written.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.pending.is_empty()
    }

    /// Writes as much as the socket accepts. Returns true once everything is written.
    pub fn write(&mut self, socket: &mut impl Write) -> io::Result<bool> {
        while !self.is_done() {
            let mut slices = [IoSlice::new(&[]); Self::MAX_SLICES];
            let count = self.pending.len().min(Self::MAX_SLICES);
            for (slice, piece) in slices.iter_mut().zip(&self.pending) {
                *slice = IoSlice::new(piece);
            }
            let mut accepted = match socket.write_vectored(&slices[..count]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(accepted) => accepted,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            self.written += accepted;
            while let Some(piece) = self.pending.front_mut() {
                let count = accepted.min(piece.len());
                piece.advance(count);
                accepted -= count;
                self.front_written += count;
                if !piece.is_empty() {
                    break;
                }
                (self.front_written, _) = (0, self.pending.pop_front());
            }
        }
        Ok(true)
    }
}

/// Returns whether the input begins with a complete request, or with an invalid one, which is answered with an error.
#[must_use]
pub fn has_request(input: &[u8]) -> bool {
    !input.is_empty() && take_request(&mut BytesMut::from(input)).map_or(true, |length| length.is_some())
}

/// Takes a complete request off the beginning of the input and returns its length in bytes; none if it is not complete. Then,
/// and after an error, part of it may have been taken off.
///
/// # Errors
///
/// The input does not begin with a valid request.
pub fn take_request(input: &mut BytesMut) -> Result<Option<usize>, HttpError> {
    let length = input.len();
    let Some(head) = parse_request(input)? else { return Ok(None) };
    input.advance(head.length);
    let mut body = BodyDecoder::new(head.framing.unwrap_or(Framing::Length(0)));
    let complete = body.decode(input, &mut BytesMut::new())?;
    Ok(complete.then_some(length - input.len()))
}

/// Returns the figure with this name in a text of the form `inflight=7, queue=2`, which may begin with `TEXT`.
#[must_use]
pub fn text_figure(text: &str, name: &str) -> Option<f32> {
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let mut parts = text.split(',').filter_map(|part| part.split_once('='));
    parts.find(|(key, _)| key.trim() == name).and_then(|(_, value)| value.trim().parse().ok())
}
