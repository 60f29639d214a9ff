//! The list of executors in discovery's JSON format.

use std::net::SocketAddr;

use linestack_dispatch::types::{Health, ListKind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::parse_object;
use linestack_core::{Endpoint, Input};

/// The complete list of executors, or the entries that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// The list's version.
    pub index: u64,
    /// Whether this is the complete list.
    pub whole: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// The list as it is received. Its entries are parsed one by one: a tree of values nested a hundred levels deep could
/// overflow a coroutine's stack.
#[derive(Deserialize)]
struct RawList<'a> {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

/// The list as it is written; [`RawList`] reads this format.
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
    /// Returns the list as JSON, in discovery's format.
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

    /// Parses a list's JSON object. Invalid entries are left out.
    pub fn read(text: &[u8]) -> Result<Self, serde_json::Error> {
        let raw: RawList = parse_object(text)?;
        let endpoints = raw.endpoints.into_iter().filter_map(|entry| {
            let parsed = parse_object(entry.get().as_bytes()).ok().and_then(to_endpoint);
            if parsed.is_none() {
                tracing::warn!("invalid entry in the list of executors is left out");
            }
            parsed
        });
        Ok(Self { index: raw.index, whole: raw.snapshot, endpoints: endpoints.collect() })
    }
}

/// Converts an entry of the list; `None` if its address is invalid and needed.
fn to_endpoint(raw: RawEndpoint) -> Option<Endpoint> {
    let health = match raw.status.as_str() {
        "active" => Health::Ready,
        "left" => Health::Gone,
        // An executor with an unknown status gets no new executions.
        _ => Health::Draining,
    };
    let address = match raw.address.parse::<SocketAddr>() {
        Ok(address) => address,
        // The address of an executor that has left is not used.
        Err(_) if health == Health::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
        Err(_) => return None,
    };
    let cell = u16::try_from(raw.group).unwrap_or(u16::MAX);
    let started = linestack_settings::nanos_from_millis(raw.since_ms);
    let weight = if raw.weight.is_finite() { raw.weight.max(0.0) } else { 0.0 };
    Some(Endpoint { name: raw.name, address, zone: raw.zone, kind: raw.kind, cell, health, started, weight })
}

impl From<List> for Input {
    fn from(list: List) -> Self {
        let kind = if list.whole { ListKind::Whole } else { ListKind::Changes };
        Self::ListReceived { kind, endpoints: list.endpoints }
    }
}
