//! Sessions between processes of a fleet, in frames with a JSON body each. The process that connects identifies itself;
//! the other one assigns a session number, which every later frame carries together with its own frame number. A frame of
//! another fleet or another session, or a replayed frame, ends the connection.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use linestack_accord::{Envelope, Incarnation, PeerMessage, Reply, Request};
use linestack_frames::{Reader, encode, kind_number};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest time for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time for writing a frame.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest time from the connection to the end of the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The identity that a process states in its frames. It is not authenticated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Identity {
    /// A node, by its name in the fleet.
    Member(String),
    /// A coordinator, by its number.
    Coordinator(u8),
    /// An operator's command.
    Operator,
}

/// A frame of a session. The names of the fields are the wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// The id of the sender's fleet.
    pub fleet: String,
    /// The sender.
    pub from: Identity,
    /// The run of the sender's process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The session number that the accepting process has assigned; 0 before that.
    pub session: u64,
    /// The number of this frame among those of the sender in this session, from 1.
    pub number: u64,
    /// The message.
    pub body: Body,
}

/// The message of a frame. The names of the variants are the wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Begins a session, with a random number that the `Welcome` repeats.
    Hello(u64),
    /// Accepts a session, and repeats the number of the `Hello`.
    Welcome(u64),
    /// A message between coordinators.
    #[serde(rename = "letter")]
    Envelope(Envelope),
    /// A request of a member or an operator.
    Request(Request),
    /// The reply to a request.
    Reply(Reply),
}

impl Body {
    /// Returns the name of the frame kind.
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Welcome(_) => "welcome",
            Self::Request(_) => "request",
            Self::Reply(_) => "reply",
            Self::Envelope(envelope) => match envelope.message {
                PeerMessage::Prepare { .. } => "prepare",
                PeerMessage::Promise { .. } => "promise",
                PeerMessage::Accept { .. } => "accept",
                PeerMessage::Accepted { .. } => "accepted",
                PeerMessage::Heartbeat { .. } => "beat",
                PeerMessage::HeartbeatAck { .. } => "beaten",
                PeerMessage::OutdatedBallot { .. } => "behind",
                PeerMessage::ForwardRequest { .. } => "relay",
                PeerMessage::ForwardReply { .. } => "back",
            },
        }
    }
}

/// Why a session ends or does not begin.
#[derive(Debug, Error)]
pub enum WireError {
    /// An error of the connection.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are no valid frame.
    #[error(transparent)]
    Frame(#[from] linestack_frames::FrameError),
    /// The body of the frame can't be parsed.
    #[error("invalid frame body: {0}")]
    Body(#[from] serde_json::Error),
    /// The sender belongs to this other fleet.
    #[error("a frame of another fleet, {0:?}")]
    WrongFleet(String),
    /// The frame belongs to another session.
    #[error("a frame of another session")]
    WrongSession,
    /// The number of the frame is not higher than that of the one before it.
    #[error("a repeated frame")]
    Replayed,
    /// The sender is not the one that sent the first frame of the session.
    #[error("a frame of another sender than the one that began the session")]
    WrongSender,
    /// The kind of the frame does not fit its body or the state of the session.
    #[error("an unexpected frame")]
    Unexpected,
    /// The other end has closed the connection.
    #[error("closed")]
    Closed,
}

impl WireError {
    /// Returns the short name under which the error is counted and logged.
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

/// The information about the sender in every frame.
#[derive(Clone, Debug)]
pub struct SenderInfo {
    /// The id of its fleet.
    pub fleet: String,
    /// Its identity in the fleet.
    pub identity: Identity,
    /// The run of the process.
    pub incarnation: Incarnation,
}

/// Encodes the frames that one end sends in a session.
#[derive(Clone, Debug)]
pub struct FrameEncoder {
    sender: SenderInfo,
    session: u64,
    /// The number of the last frame that was encoded; 0 before the first.
    number: u64,
}

impl FrameEncoder {
    /// Creates an encoder for a session. `session` is its number, 0 before one is assigned.
    #[must_use]
    pub fn new(sender: SenderInfo, session: u64) -> Self {
        Self { sender, session, number: 0 }
    }

    /// Returns the bytes of the next frame.
    ///
    /// # Errors
    ///
    /// The body is too large for a frame.
    pub fn encode(&mut self, body: Body) -> Result<Vec<u8>, WireError> {
        self.number += 1;
        let kind = kind_number(body.kind()).unwrap_or_default();
        let SenderInfo { fleet, identity, incarnation } = self.sender.clone();
        let frame =
            Frame { fleet, from: identity, incarnation, session: self.session, number: self.number, body };
        Ok(encode(kind, &serde_json::to_vec(&frame)?)?)
    }
}

/// Reads and checks the frames that one end receives in a session.
#[derive(Debug)]
pub struct FrameReader {
    fleet: String,
    /// The sender of the first frame, which must be the sender of all later frames.
    sender: Option<Identity>,
    /// The number of the session, once it is known.
    session: Option<u64>,
    /// The number of the last frame that was read; 0 before the first.
    number: u64,
    reader: Reader,
}

impl FrameReader {
    /// Creates a reader. `session` is `None` at the end that connects, which receives the number in the `Welcome`.
    #[must_use]
    pub fn new(fleet: &str, session: Option<u64>) -> Self {
        Self { fleet: fleet.to_owned(), sender: None, session, number: 0, reader: Reader::default() }
    }

    /// Reads the available bytes, waiting for the first at most for the socket's read timeout. Returns whether any were
    /// read.
    ///
    /// # Errors
    ///
    /// The connection has failed or is closed at the other end.
    pub fn read(&mut self, socket: &mut TcpStream) -> Result<bool, WireError> {
        let mut buffer = [0; 16 * 1024];
        match socket.read(&mut buffer) {
            Ok(0) => Err(WireError::Closed),
            Ok(length) => {
                self.reader.push(&buffer[..length]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Ok(false),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Returns the next complete frame, if there is one.
    ///
    /// # Errors
    ///
    /// The frame is not valid in this session; the connection must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        let Some(raw) = self.reader.next_frame()? else { return Ok(None) };
        let frame: Frame = serde_json::from_slice(&raw.body)?;
        if frame.fleet != self.fleet {
            return Err(WireError::WrongFleet(frame.fleet));
        }
        if kind_number(frame.body.kind()) != Some(raw.kind) {
            return Err(WireError::Unexpected);
        }
        // A hello is sent before the session has a number.
        let is_hello = matches!(frame.body, Body::Hello(_));
        match self.session {
            Some(session) if !is_hello && frame.session != session => return Err(WireError::WrongSession),
            None if matches!(frame.body, Body::Welcome(_)) => self.session = Some(frame.session),
            None if !is_hello => return Err(WireError::WrongSession),
            _ => {}
        }
        if frame.number <= self.number || (is_hello && frame.number != 1) {
            return Err(WireError::Replayed);
        }
        self.number = frame.number;
        if *self.sender.get_or_insert(frame.from.clone()) != frame.from {
            return Err(WireError::WrongSender);
        }
        Ok(Some(frame))
    }

    /// Returns the number of the session; 0 if it is not known yet.
    #[must_use]
    pub fn session(&self) -> u64 {
        self.session.unwrap_or_default()
    }
}

/// Connects to a process and begins a session. Returns the reader and the encoder for its further frames.
///
/// # Errors
///
/// The process can't be reached, does not answer in time, or does not belong to this fleet.
pub fn connect_session(
    to: SocketAddr,
    sender: &SenderInfo,
) -> Result<(TcpStream, FrameReader, FrameEncoder), WireError> {
    let mut socket = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
    let nonce = super::random_u64();
    let mut encoder = FrameEncoder::new(sender.clone(), 0);
    socket.write_all(&encoder.encode(Body::Hello(nonce))?)?;
    let mut reader = FrameReader::new(&sender.fleet, None);
    let welcome = loop {
        if let Some(frame) = reader.next_frame()? {
            break frame;
        }
        if !reader.read(&mut socket)? {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    };
    match welcome.body {
        Body::Welcome(echo) if echo == nonce => {
            encoder.session = reader.session();
            Ok((socket, reader, encoder))
        }
        _ => Err(WireError::Unexpected),
    }
}

/// Accepts a session on a new connection. Returns the identity and the run of the process that has connected, and the
/// reader and the encoder for its further frames.
///
/// # Errors
///
/// The process does not belong to this fleet, or does not identify itself in time.
pub fn accept_session(
    socket: &mut TcpStream,
    sender: &SenderInfo,
) -> Result<(Identity, Incarnation, FrameReader, FrameEncoder), WireError> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
    let session = super::random_u64();
    let mut reader = FrameReader::new(&sender.fleet, Some(session));
    let started = std::time::Instant::now();
    let hello = loop {
        if let Some(frame) = reader.next_frame()? {
            break frame;
        }
        // The limit is on the whole handshake: a process that sends single bytes does not extend it.
        if !reader.read(socket)? || started.elapsed() > HANDSHAKE_TIMEOUT {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    };
    let Body::Hello(nonce) = hello.body else { return Err(WireError::Unexpected) };
    let mut encoder = FrameEncoder::new(sender.clone(), session);
    socket.write_all(&encoder.encode(Body::Welcome(nonce))?)?;
    Ok((hello.from, hello.incarnation, reader, encoder))
}
