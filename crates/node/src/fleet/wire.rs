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
pub const CONNECT: Duration = Duration::from_millis(500);
pub const WRITE: Duration = Duration::from_millis(1000);
/// From connecting to having said who it is.
pub const GREETING: Duration = Duration::from_millis(1500);

/// Who a process says that it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Who {
    Member(String),
    Coordinator(u8),
    Operator,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    pub fleet: String,
    pub from: Who,
    pub life: Incarnation,
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
    Letter(Letter),
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
            Self::Letter(letter) => match letter.peer {
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
pub enum Fault {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] linestack_frames::FrameError),
    #[error("a body that is not understood: {0}")]
    Body(#[from] serde_json::Error),
    #[error("of fleet {0:?}")]
    Fleet(String),
    #[error("of another session")]
    Session,
    #[error("a frame that came before")]
    Repeated,
    #[error("from somebody else than who began the session")]
    Name,
    #[error("not what was due")]
    Order,
    #[error("closed")]
    Closed,
}

impl Fault {
    /// For counting.
    #[must_use]
    pub fn why(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Frame(linestack_frames::FrameError::Magic) => "no frame",
            Self::Frame(linestack_frames::FrameError::Version(_)) => "wire version",
            Self::Frame(linestack_frames::FrameError::Oversized(_)) => "oversized",
            Self::Frame(linestack_frames::FrameError::Checksum) => "checksum",
            Self::Body(_) => "body",
            Self::Fleet(_) => "fleet",
            Self::Session => "session",
            Self::Repeated => "repeated",
            Self::Name => "name",
            Self::Order => "order",
            Self::Closed => "closed",
        }
    }
}

/// What a process says of itself in all that it sends.
#[derive(Clone, Debug)]
pub struct Own {
    pub fleet: String,
    pub who: Who,
    pub life: Incarnation,
}

/// What one end sends in a session.
#[derive(Clone, Debug)]
pub struct Pen {
    own: Own,
    session: u64,
    number: u64,
}

impl Pen {
    #[must_use]
    pub fn new(own: Own, session: u64) -> Self {
        Self { own, session, number: 0 }
    }

    /// # Errors
    ///
    /// It is too large for a frame.
    pub fn write(&mut self, body: Body) -> Result<Vec<u8>, Fault> {
        self.number += 1;
        let kind = kind_number(body.kind()).unwrap_or_default();
        let Own { fleet, who, life } = self.own.clone();
        let frame = Frame { fleet, from: who, life, session: self.session, number: self.number, body };
        Ok(encode(kind, &serde_json::to_vec(&frame)?)?)
    }
}

/// What one end takes in a session.
#[derive(Debug)]
pub struct Ear {
    fleet: String,
    /// From the first frame on nobody else speaks in it.
    from: Option<Who>,
    session: Option<u64>,
    number: u64,
    reader: Reader,
}

impl Ear {
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
    pub fn read(&mut self, socket: &mut TcpStream) -> Result<bool, Fault> {
        let mut piece = [0; 16 * 1024];
        match socket.read(&mut piece) {
            Ok(0) => Err(Fault::Closed),
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
    pub fn take(&mut self) -> Result<Option<Frame>, Fault> {
        let Some(raw) = self.reader.next_frame()? else { return Ok(None) };
        let frame: Frame = serde_json::from_slice(&raw.body)?;
        if frame.fleet != self.fleet {
            return Err(Fault::Fleet(frame.fleet));
        }
        if kind_number(frame.body.kind()) != Some(raw.kind) {
            return Err(Fault::Order);
        }
        // A greeting has no session yet.
        let greets = matches!(frame.body, Body::Hello(_));
        match self.session {
            Some(session) if !greets && frame.session != session => return Err(Fault::Session),
            None if matches!(frame.body, Body::Welcome(_)) => self.session = Some(frame.session),
            None if !greets => return Err(Fault::Session),
            _ => {}
        }
        if frame.number <= self.number || (greets && frame.number != 1) {
            return Err(Fault::Repeated);
        }
        self.number = frame.number;
        if *self.from.get_or_insert(frame.from.clone()) != frame.from {
            return Err(Fault::Name);
        }
        Ok(Some(frame))
    }

    #[must_use]
    pub fn session(&self) -> u64 {
        self.session.unwrap_or_default()
    }
}

/// Connects, says who it is, and waits to be welcome. What is to be sent later goes by the pen.
///
/// # Errors
///
/// Nobody is there, or it is not a process of this fleet.
pub fn greet(to: SocketAddr, own: &Own) -> Result<(TcpStream, Ear, Pen), Fault> {
    let mut socket = TcpStream::connect_timeout(&to, CONNECT)?;
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE))?;
    socket.set_read_timeout(Some(GREETING))?;
    let number = super::draw();
    let mut pen = Pen::new(own.clone(), 0);
    socket.write_all(&pen.write(Body::Hello(number))?)?;
    let mut ear = Ear::new(&own.fleet, None);
    let welcome = loop {
        if let Some(frame) = ear.take()? {
            break frame;
        }
        if !ear.read(&mut socket)? {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    };
    match welcome.body {
        Body::Welcome(back) if back == number => {
            pen.session = ear.session();
            Ok((socket, ear, pen))
        }
        _ => Err(Fault::Order),
    }
}

/// Waits for who connects to say who it is, and welcomes it.
///
/// # Errors
///
/// It is not a process of this fleet, or takes too long.
pub fn welcome(socket: &mut TcpStream, own: &Own) -> Result<(Who, Incarnation, Ear, Pen), Fault> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE))?;
    socket.set_read_timeout(Some(GREETING))?;
    let session = super::draw();
    let mut ear = Ear::new(&own.fleet, Some(session));
    let begin = std::time::Instant::now();
    let hello = loop {
        if let Some(frame) = ear.take()? {
            break frame;
        }
        // A byte now and then buys no time.
        if !ear.read(socket)? || begin.elapsed() > GREETING {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    };
    let Body::Hello(number) = hello.body else { return Err(Fault::Order) };
    let mut pen = Pen::new(own.clone(), session);
    socket.write_all(&pen.write(Body::Welcome(number))?)?;
    Ok((hello.from, hello.life, ear, pen))
}
