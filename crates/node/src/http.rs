//! HTTP/1.1 messages: heads parsed in place, bodies framed, heads written as lists of slices.

use std::io::{self, IoSlice, Write};
use std::ops::Range;

use bytes::{Buf, Bytes, BytesMut};

/// The longest body, and the longest head.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const HEADERS: usize = 64;
/// The longest line that gives a chunk's size.
const CHUNK_LINE: usize = 1024;

/// Why a request is turned down, or an answer is not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    pub status: u16,
    pub reason: &'static str,
}

const fn http_error(status: u16, reason: &'static str) -> HttpError {
    HttpError { status, reason }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// The body ends with the connection.
    Close,
}

/// A client's head. The ranges are places in the buffer that was parsed.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub length: usize,
    pub framing: Option<Framing>,
    pub close: bool,
    pub expects: bool,
    pub method: Range<usize>,
    pub path: Range<usize>,
    pub host: Option<Range<usize>>,
    pub id: Option<Range<usize>>,
    pub kind: Option<Range<usize>>,
    pub owner: Option<Range<usize>>,
    pub deadline: Option<Range<usize>>,
    pub stamp: Option<Range<usize>>,
    pub extra: Option<Range<usize>>,
}

/// An executor's or discovery's head.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub length: usize,
    pub status: u16,
    pub framing: Framing,
    pub close: bool,
    pub declined: bool,
    pub load: Option<String>,
}

/// How long the body is. Two lengths, or a length beside chunks, could be read one way here and another
/// way further on, which lets one request hide another: neither is accepted.
#[derive(Default)]
struct Lengths {
    length: Option<usize>,
    chunked: bool,
}

impl Lengths {
    fn take(&mut self, header: &httparse::Header<'_>) -> Result<(), HttpError> {
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

/// Parses a client's head. `None` until it is whole.
pub fn parse_request(buffer: &[u8]) -> Result<Option<Request>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
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
    let place = |part: &[u8]| {
        let from = part.as_ptr() as usize - buffer.as_ptr() as usize;
        from..from + part.len()
    };
    // What another may read differently is not passed on: executors close on what they can't read, and take
    // whatever else waits on that connection with it.
    if !parsed.path.is_some_and(|p| p.starts_with('/') && p.bytes().all(|b| b.is_ascii_graphic())) {
        return Err(http_error(400, "bad path"));
    }
    let mut head = Request {
        length,
        method: place(parsed.method.unwrap_or_default().as_bytes()),
        path: place(parsed.path.unwrap_or_default().as_bytes()),
        ..Request::default()
    };
    let mut lengths = Lengths::default();
    for header in parsed.headers.iter() {
        lengths.take(header)?;
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
                head.expects = true;
                continue;
            }
            _ => continue,
        };
        if !header.value.iter().all(|b| b.is_ascii_graphic() || *b == b' ') {
            return Err(http_error(400, "a header that is no plain text"));
        }
        if slot.replace(place(header.value)).is_some() {
            return Err(http_error(400, "a header that may come once came twice"));
        }
    }
    if lengths.length.is_some_and(|l| l > MAX_BODY_BYTES) {
        return Err(http_error(413, "body too large"));
    }
    head.framing =
        Some(if lengths.chunked { Framing::Chunked } else { Framing::Length(lengths.length.unwrap_or(0)) });
    Ok(Some(head))
}

/// Parses an answer's head. `None` until it is whole.
pub fn parse_response(buffer: &[u8]) -> Result<Option<Response>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
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
        lengths.take(header)?;
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

/// Takes a body out of what was read, piece by piece.
#[derive(Debug)]
pub struct BodyDecoder(Part);

#[derive(Debug)]
enum Part {
    Left(usize),
    UntilClose,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer(usize),
}

impl BodyDecoder {
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(length) => Part::Left(length),
            Framing::Chunked => Part::ChunkSize,
            Framing::Close => Part::UntilClose,
        })
    }

    /// Moves what has come from `input` to `output`. True once the body is whole.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, HttpError> {
        const BAD: HttpError = http_error(400, "malformed chunk");
        loop {
            match &mut self.0 {
                Part::Left(0) => return Ok(true),
                _ if input.is_empty() => return Ok(false),
                Part::Left(left) => {
                    let now = input.len().min(*left);
                    output.extend_from_slice(&input.split_to(now));
                    *left -= now;
                }
                Part::UntilClose => output.extend_from_slice(&input.split()),
                // An empty size would be taken for the last chunk's.
                Part::ChunkSize if !input[0].is_ascii_hexdigit() => return Err(BAD),
                Part::ChunkSize => match httparse::parse_chunk_size(input).map_err(|_| BAD)? {
                    httparse::Status::Complete((skip, size)) => {
                        input.advance(skip);
                        self.0 = if size == 0 { Part::Trailer(0) } else { Part::Chunk(size) };
                    }
                    httparse::Status::Partial if input.len() > CHUNK_LINE => return Err(BAD),
                    httparse::Status::Partial => return Ok(false),
                },
                Part::Chunk(0) => self.0 = Part::ChunkEnd,
                Part::Chunk(left) => {
                    let now = input.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    output.extend_from_slice(&input.split_to(now));
                    *left -= now as u64;
                }
                Part::ChunkEnd => {
                    if !b"\r\n".starts_with(&input[..input.len().min(2)]) {
                        return Err(BAD);
                    }
                    if input.len() < 2 {
                        return Ok(false);
                    }
                    input.advance(2);
                    self.0 = Part::ChunkSize;
                }
                Part::Trailer(seen) => {
                    let Some(end) = input.iter().position(|b| *b == b'\n') else {
                        return if input.len() > CHUNK_LINE { Err(BAD) } else { Ok(false) };
                    };
                    let line = input.split_to(end + 1);
                    *seen += line.len();
                    if line.trim_ascii().is_empty() {
                        self.0 = Part::Left(0);
                    } else if *seen > MAX_HEAD_BYTES {
                        return Err(BAD);
                    }
                }
            }
        }
    }

    /// Whether the end of the connection is the end of the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.0, Part::UntilClose)
    }
}

/// A message on its way out: pieces that are written with one call where the socket takes them.
#[derive(Debug, Default)]
pub struct WriteQueue {
    pieces: Vec<Bytes>,
    at: usize,
    /// Bytes written.
    pub written: usize,
}

impl WriteQueue {
    const GATHERED: usize = 16;

    pub fn push(&mut self, piece: impl Into<Bytes>) {
        let piece = piece.into();
        if !piece.is_empty() {
            self.pieces.push(piece);
        }
    }

    /// Bytes that are not written yet.
    #[must_use]
    pub fn remaining(&self) -> usize {
        self.pieces[self.at..].iter().map(Bytes::len).sum()
    }

    #[must_use]
    pub fn is_done(&self) -> bool {
        self.at == self.pieces.len()
    }

    /// Writes as much as the socket takes. True once all is written.
    pub fn write(&mut self, socket: &mut impl Write) -> io::Result<bool> {
        while !self.is_done() {
            let mut slices = [IoSlice::new(&[]); Self::GATHERED];
            let waiting = &self.pieces[self.at..];
            let count = waiting.len().min(Self::GATHERED);
            for (slice, piece) in slices.iter_mut().zip(waiting) {
                *slice = IoSlice::new(piece);
            }
            let mut gone = match socket.write_vectored(&slices[..count]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(gone) => gone,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            self.written += gone;
            while let Some(piece) = self.pieces.get_mut(self.at) {
                let now = gone.min(piece.len());
                piece.advance(now);
                gone -= now;
                if !piece.is_empty() {
                    break;
                }
                self.at += 1;
            }
        }
        Ok(true)
    }
}

/// Whether a whole request stands at the beginning of what was read, or something that is none and is to be answered so.
#[must_use]
pub fn has_request(input: &[u8]) -> bool {
    if input.is_empty() {
        return false;
    }
    match parse_request(input) {
        Ok(None) => false,
        Err(_) => true,
        Ok(Some(head)) => {
            let mut rest = BytesMut::from(&input[head.length..]);
            let mut body = BodyDecoder::new(head.framing.unwrap_or(Framing::Length(0)));
            body.decode(&mut rest, &mut BytesMut::new()).unwrap_or(true)
        }
    }
}

/// The figure of this name in a load report written as text, such as `TEXT inflight=7, queue=2`.
#[must_use]
pub fn text_figure(text: &str, name: &str) -> Option<f32> {
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let mut parts = text.split(',').filter_map(|part| part.split_once('='));
    parts.find(|(key, _)| key.trim() == name).and_then(|(_, value)| value.trim().parse().ok())
}
