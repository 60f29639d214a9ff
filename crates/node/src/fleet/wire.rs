//! Sessions between processes of a fleet: frames with a JSON body each. Whoever connects says who it is; the other
//! gives the session a number, which every later frame carries beside its own. What does not fit ends the
//! connection: another fleet, another session's frames, a frame that came before.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use linestack_accord::{Incarnation, Letter, Peer, Reply, Request};
use linestack_frames::{Reader, encode, kind_number};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Connecting, and writing a frame, take no longer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);
/// From connecting to having said who it is.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Who a process says that it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Identity {
    Member(String),
    Coordinator(u8),
    Operator,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    pub fleet: String,
    pub from: Identity,
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Given by the one that was connected to; 0 before that.
    pub session: u64,
    /// Counts the frames of the sender in this session, from 1.
    pub number: u64,
    pub body: Body,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Brings a number of the sender's choice, which the welcome brings back.
    Hello(u64),
    Welcome(u64),
    #[serde(rename = "letter")]
    Envelope(Letter),
    Request(Request),
    Reply(Reply),
}

impl Body {
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Welcome(_) => "welcome",
            Self::Request(_) => "request",
            Self::Reply(_) => "reply",
            Self::Envelope(letter) => match letter.peer {
                Peer::Prepare { .. } => "prepare",
                Peer::Promise { .. } => "promise",
                Peer::Accept { .. } => "accept",
                Peer::Accepted { .. } => "accepted",
                Peer::Beat { .. } => "beat",
                Peer::Beaten { .. } => "beaten",
                Peer::Behind { .. } => "behind",
                Peer::Relay { .. } => "relay",
                Peer::Back { .. } => "back",
            },
        }
    }
}

#[derive(Debug, Error)]
pub enum WireError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] linestack_frames::FrameError),
    #[error("a body that is not understood: {0}")]
    Body(#[from] serde_json::Error),
    #[error("of fleet {0:?}")]
    WrongFleet(String),
    #[error("of another session")]
    WrongSession,
    #[error("a frame that came before")]
    Replayed,
    #[error("from somebody else than who began the session")]
    WrongSender,
    #[error("not what was due")]
    Unexpected,
    #[error("closed")]
    Closed,
}

impl WireError {
    /// For counting.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Frame(linestack_frames::FrameError::Magic) => "no frame",
            Self::Frame(linestack_frames::FrameError::Version(_)) => "wire version",
            Self::Frame(linestack_frames::FrameError::Oversized(_)) => "oversized",
            Self::Frame(linestack_frames::FrameError::Checksum) => "checksum",
            Self::Body(_) => "body",
            Self::WrongFleet(_) => "fleet",
            Self::WrongSession => "session",
            Self::Replayed => "repeated",
            Self::WrongSender => "name",
            Self::Unexpected => "order",
            Self::Closed => "closed",
        }
    }
}

/// What a process says of itself in all that it sends.
#[derive(Clone, Debug)]
pub struct SenderInfo {
    pub fleet: String,
    pub identity: Identity,
    pub incarnation: Incarnation,
}

/// What one end sends in a session.
#[derive(Clone, Debug)]
pub struct FrameEncoder {
    own: SenderInfo,
    session: u64,
    number: u64,
}

impl FrameEncoder {
    #[must_use]
    pub fn new(own: SenderInfo, session: u64) -> Self {
        Self { own, session, number: 0 }
    }

    /// # Errors
    ///
    /// It is too large for a frame.
    pub fn encode(&mut self, body: Body) -> Result<Vec<u8>, WireError> {
        self.number += 1;
        let kind = kind_number(body.kind()).unwrap_or_default();
        let SenderInfo { fleet, identity, incarnation } = self.own.clone();
        let frame =
            Frame { fleet, from: identity, incarnation, session: self.session, number: self.number, body };
        Ok(encode(kind, &serde_json::to_vec(&frame)?)?)
    }
}

/// What one end takes in a session.
#[derive(Debug)]
pub struct FrameReader {
    fleet: String,
    /// From the first frame on nobody else speaks in it.
    from: Option<Identity>,
    session: Option<u64>,
    number: u64,
    reader: Reader,
}

impl FrameReader {
    /// `session` is known to whoever was connected to, and is learned by the other.
    #[must_use]
    pub fn new(fleet: &str, session: Option<u64>) -> Self {
        Self { fleet: fleet.to_owned(), from: None, session, number: 0, reader: Reader::default() }
    }

    /// Reads what the socket has, within its time limit; none if nothing has come.
    ///
    /// # Errors
    ///
    /// The connection is to be closed.
    pub fn read(&mut self, socket: &mut TcpStream) -> Result<bool, WireError> {
        let mut piece = [0; 16 * 1024];
        match socket.read(&mut piece) {
            Ok(0) => Err(WireError::Closed),
            Ok(length) => {
                self.reader.push(&piece[..length]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Ok(false),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// The next whole frame, if there is one.
    ///
    /// # Errors
    ///
    /// The connection is to be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        let Some(raw) = self.reader.next_frame()? else { return Ok(None) };
        let frame: Frame = serde_json::from_slice(&raw.body)?;
        if frame.fleet != self.fleet {
            return Err(WireError::WrongFleet(frame.fleet));
        }
        if kind_number(frame.body.kind()) != Some(raw.kind) {
            return Err(WireError::Unexpected);
        }
        // A greeting has no session yet.
        let greets = matches!(frame.body, Body::Hello(_));
        match self.session {
            Some(session) if !greets && frame.session != session => return Err(WireError::WrongSession),
            None if matches!(frame.body, Body::Welcome(_)) => self.session = Some(frame.session),
            None if !greets => return Err(WireError::WrongSession),
            _ => {}
        }
        if frame.number <= self.number || (greets && frame.number != 1) {
            return Err(WireError::Replayed);
        }
        self.number = frame.number;
        if *self.from.get_or_insert(frame.from.clone()) != frame.from {
            return Err(WireError::WrongSender);
        }
        Ok(Some(frame))
    }

    #[must_use]
    pub fn session(&self) -> u64 {
        self.session.unwrap_or_default()
    }
}

/// Connects, says who it is, and waits to be welcome. What is to be sent later goes by the encoder.
///
/// # Errors
///
/// Nobody is there, or it is not a process of this fleet.
pub fn connect_session(
    to: SocketAddr,
    own: &SenderInfo,
) -> Result<(TcpStream, FrameReader, FrameEncoder), WireError> {
    let mut socket = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
    let number = super::random_u64();
    let mut encoder = FrameEncoder::new(own.clone(), 0);
    socket.write_all(&encoder.encode(Body::Hello(number))?)?;
    let mut reader = FrameReader::new(&own.fleet, None);
    let accept_session = loop {
        if let Some(frame) = reader.next_frame()? {
            break frame;
        }
        if !reader.read(&mut socket)? {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    };
    match accept_session.body {
        Body::Welcome(back) if back == number => {
            encoder.session = reader.session();
            Ok((socket, reader, encoder))
        }
        _ => Err(WireError::Unexpected),
    }
}

/// Waits for who connects to say who it is, and welcomes it.
///
/// # Errors
///
/// It is not a process of this fleet, or takes too long.
pub fn accept_session(
    socket: &mut TcpStream,
    own: &SenderInfo,
) -> Result<(Identity, Incarnation, FrameReader, FrameEncoder), WireError> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
    let session = super::random_u64();
    let mut reader = FrameReader::new(&own.fleet, Some(session));
    let begin = std::time::Instant::now();
    let hello = loop {
        if let Some(frame) = reader.next_frame()? {
            break frame;
        }
        // A byte now and then buys no time.
        if !reader.read(socket)? || begin.elapsed() > HANDSHAKE_TIMEOUT {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    };
    let Body::Hello(number) = hello.body else { return Err(WireError::Unexpected) };
    let mut encoder = FrameEncoder::new(own.clone(), session);
    socket.write_all(&encoder.encode(Body::Welcome(number))?)?;
    Ok((hello.from, hello.incarnation, reader, encoder))
}
