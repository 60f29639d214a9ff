//! The list of executors: its form, and the watch on its changes.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use linestack_dispatch::types::{Health, ListKind, Nanos};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use super::connect::{ConnectError, connect};
use super::list_stream::{self, ListStream, Message};
use super::{Node, lock, parse_object};
use crate::http;
use linestack_core::{Endpoint, Input, ListClocks};

const CONNECT: Duration = Duration::from_millis(500);
/// While nothing changes an empty line comes every 2 s, and a call waits in turn for as long as 3 s. What brings
/// neither a whole list nor a heartbeat for longer is dead, though its connection may look open, and bytes may come;
/// and what discovery has to tell counts as told after 6 s, after a change of discovery after 4 s. The reducer's
/// `CALL_WITHIN` goes by this.
const SILENCE: Nanos = 3_000_000_000;
/// For a call a little longer: that it was turned away after its wait is worth hearing.
const CALL: Nanos = 3_250_000_000;
/// For so long after a change of discovery a watch that fails is asked for again at once.
pub(crate) const DISCOVERY_CHANGE_RETRY: Nanos = 4_000_000_000;
const AGAIN: Duration = Duration::from_millis(100);

#[derive(Debug, Error)]
pub enum WatchError {
    #[error("no connection: {0}")]
    Connect(#[from] ConnectError),
    #[error("the watch broke: {0}")]
    Broke(io::Error),
    #[error("the watch was silent for too long")]
    Silent,
    #[error("discovery answered {0}")]
    Status(u16),
    #[error("the answer is not understood: {0}")]
    Head(&'static str),
    #[error("the watch brought no list: {0}")]
    List(#[from] list_stream::ListStreamError),
    #[error("the watch ended")]
    Ended,
    #[error("another discovery has taken its place")]
    Replaced,
}

/// A list, or the entries of it that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub index: u64,
    pub whole: bool,
    pub endpoints: Vec<Endpoint>,
}

/// Its entries stay text here: what is nested a hundred levels deep and read as a tree would fill a
/// coroutine's stack.
#[derive(Deserialize)]
struct RawList<'a> {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

/// As it is written: what reads it is [`RawList`].
#[derive(Serialize)]
struct WrittenList<'a> {
    index: u64,
    snapshot: bool,
    endpoints: Vec<WrittenEndpoint<'a>>,
}

#[derive(Serialize)]
struct WrittenEndpoint<'a> {
    name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    group: u16,
    status: &'static str,
    since_ms: f64,
    weight: f32,
}

#[derive(Deserialize)]
struct RawEndpoint {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u64,
    status: String,
    #[serde(default)]
    since_ms: f64,
    #[serde(default)]
    weight: f32,
}

impl List {
    /// The list as discovery would tell it.
    #[must_use]
    pub fn write(&self) -> Vec<u8> {
        let endpoints = self.endpoints.iter().map(|e| WrittenEndpoint {
            name: &e.name,
            address: e.address,
            zone: &e.zone,
            kind: &e.kind,
            group: e.cell,
            status: match e.health {
                Health::Ready => "active",
                Health::Draining => "draining",
                Health::Gone => "left",
            },
            since_ms: e.started as f64 / 1e6,
            weight: e.weight,
        });
        let list = WrittenList { index: self.index, snapshot: self.whole, endpoints: endpoints.collect() };
        serde_json::to_vec(&list).unwrap_or_default()
    }

    /// Reads a list's JSON object. An entry that makes no sense is left out, the others count.
    pub fn read(text: &[u8]) -> Result<Self, serde_json::Error> {
        let raw: RawList = parse_object(text)?;
        let endpoints = raw.endpoints.into_iter().filter_map(|entry| {
            let read = parse_object(entry.get().as_bytes()).ok().and_then(endpoint);
            if read.is_none() {
                tracing::warn!("an entry of the list makes no sense and is left out");
            }
            read
        });
        Ok(Self { index: raw.index, whole: raw.snapshot, endpoints: endpoints.collect() })
    }
}

fn endpoint(raw: RawEndpoint) -> Option<Endpoint> {
    let health = match raw.status.as_str() {
        "active" => Health::Ready,
        "left" => Health::Gone,
        // Of a status that is not known, nothing new may be hoped for.
        _ => Health::Draining,
    };
    let address = match raw.address.parse::<SocketAddr>() {
        Ok(address) => address,
        // Where it was does not matter any more.
        Err(_) if health == Health::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
        Err(_) => return None,
    };
    let group = u16::try_from(raw.group).unwrap_or(u16::MAX);
    let started = linestack_settings::nanos_from_millis(raw.since_ms);
    let weight = if raw.weight.is_finite() { raw.weight.max(0.0) } else { 0.0 };
    Some(Endpoint {
        name: raw.name,
        address,
        zone: raw.zone,
        kind: raw.kind,
        cell: group,
        health,
        started,
        weight,
    })
}

impl From<List> for Input {
    fn from(list: List) -> Self {
        let kind = if list.whole { ListKind::Whole } else { ListKind::Changes };
        Self::ListReceived { kind, endpoints: list.endpoints }
    }
}

/// Watches until the watch ends, and tells the reducer what it hears.
pub(crate) fn watch(node: &Arc<Node>, number: u64) {
    loop {
        let called = node.clock.now();
        // Since when nothing was heard of it.
        let mut heard = called;
        let Err(why) = follow(node, number, &mut heard);
        let hurry = {
            let watch = lock(&node.watch);
            watch.number == number && watch.index.is_none() && node.clock.now() < watch.hurry
        };
        if hurry {
            tracing::warn!(%why, "new discovery does not answer yet");
            node.alarm.sleep(AGAIN);
        } else if matches!(why, WatchError::Connect(ConnectError::Local(_) | ConnectError::NoRoute(_))) {
            // It costs discovery nothing, and says nothing of it: what it has to tell may be waiting.
            if node.may_log() {
                tracing::warn!(%why, "discovery can't be asked from here");
            }
            node.alarm.sleep(AGAIN);
        } else {
            // One that ended in the open has told all that it had.
            let ended = heard > called && matches!(why, WatchError::Ended | WatchError::Broke(_));
            let lost = if ended { 0 } else { node.clock.now().saturating_sub(heard) };
            if node.watch_ended(number, lost, matches!(why, WatchError::Status(_))) {
                tracing::warn!(%why, "watch ended");
            }
            return;
        }
    }
}

/// Where to ask and for what, while this is still the watch that is wanted.
fn wanted(node: &Node, number: u64) -> Result<(SocketAddr, Option<u64>), WatchError> {
    let watch = lock(&node.watch);
    if watch.number == number { Ok((watch.discovery, watch.index)) } else { Err(WatchError::Replaced) }
}

fn follow(node: &Arc<Node>, number: u64, heard: &mut Nanos) -> Result<std::convert::Infallible, WatchError> {
    let (discovery, after) = wanted(node, number)?;
    let wanted_still = || wanted(node, number).is_ok();
    let mut socket = connect(node, discovery, CONNECT, number, wanted_still)?;
    let broke = |e: io::Error| match e.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => WatchError::Silent,
        _ => WatchError::Broke(e),
    };
    {
        let mut watch = lock(&node.watch);
        if watch.number != number {
            return Err(WatchError::Replaced);
        }
        // Without it the watch is dropped when it next says something.
        watch.socket = socket.inner().try_clone().ok();
    }
    socket.set_write_timeout(Some(Duration::from_nanos(SILENCE))).map_err(broke)?;
    let version = after.map_or(String::new(), |index| format!("&after={index}"));
    let ask = format!("GET /v1/servers?watch=1{version} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
    socket.write_all(ask.as_bytes()).map_err(broke)?;
    let (mut input, mut decoded) = (BytesMut::new(), BytesMut::new());
    let mut body: Option<http::BodyDecoder> = None;
    let mut lists = ListStream::default();
    let mut due = *heard + CALL;
    // Without a version to go on from, all that the first list names is all that there is.
    let mut all = after.is_none();
    loop {
        let mut piece = [0; 4096];
        // may takes a wait of under a millisecond for one without an end.
        let left = due.saturating_sub(node.clock.now());
        let left = Duration::from_nanos(left).max(Duration::from_millis(1));
        socket.set_read_timeout(Some(left)).map_err(broke)?;
        let n = match socket.read(&mut piece) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            read => read.map_err(broke)?,
        };
        wanted(node, number)?;
        if n == 0 {
            return Err(WatchError::Ended);
        }
        input.extend_from_slice(&piece[..n]);
        if body.is_some() {
            node.discovery_heard(None);
        } else {
            let Some(head) = http::parse_response(&input).map_err(|error| WatchError::Head(error.reason))?
            else {
                if node.clock.now() > due {
                    return Err(WatchError::Silent);
                }
                continue;
            };
            if head.status != 200 {
                return Err(WatchError::Status(head.status));
            }
            let _ = input.split_to(head.length);
            body = Some(http::BodyDecoder::new(head.framing));
        }
        let Some(body) = &mut body else { continue };
        let whole = body.decode(&mut input, &mut decoded).map_err(|error| WatchError::Head(error.reason))?;
        lists.push(&decoded.split());
        while let Some(message) = lists.next_message()? {
            *heard = node.clock.now();
            due = *heard + SILENCE;
            if let Message::List(mut list) = message {
                list.whole |= std::mem::take(&mut all) && !list.endpoints.is_empty();
                take(node, number, list)?;
            }
            let mut watch = lock(&node.watch);
            if watch.number == number {
                watch.last_word = *heard;
            }
        }
        if node.clock.now() > due {
            return Err(WatchError::Silent);
        }
        if whole {
            return Err(WatchError::Ended);
        }
    }
}

/// Hands the reducer a list, if this is still the watch that is wanted.
fn take(node: &Arc<Node>, number: u64, list: List) -> Result<(), WatchError> {
    let (index, whole, entries) = (list.index, list.whole, list.endpoints.len());
    let known_until = {
        let mut watch = lock(&node.watch);
        if watch.number != number {
            return Err(WatchError::Replaced);
        }
        watch.index = Some(index);
        watch.last_word
    };
    tracing::info!(index, whole, entries, "list");
    node.handle_input(Input::ListClocks(ListClocks {
        known_until,
        wall_clock_shift: node.clock.wall_moved(),
    }));
    node.handle_input(list.into());
    node.discovery_heard(Some(index));
    Ok(())
}
