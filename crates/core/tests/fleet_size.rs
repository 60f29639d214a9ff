//! Tests of one process's reducer in a fleet of 350 processes and 1,100 executors.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use linestack_core::*;
use linestack_dispatch::types::{Health, ListKind, Nanos};

const MS: Nanos = 1_000_000;
const LOOK: u8 = 2;
const PROCESSES: &str = "\"balancers\": 350";
const EXECUTORS: u32 = 1_100;
/// How many more executors that have left are remembered than are present.
const MAX_EXTRA_DEPARTED: u32 = 1_024;
/// Enough for as many connections to executors as there are executors: three eighths of the descriptors, and one eighth of the
/// memory at 20 KiB each.
const SOCKETS: usize = 4_096;
const MEMORY_BYTES: usize = 192 << 20;

struct Node {
    core: Core,
    now: Nanos,
}

impl Node {
    fn new() -> Self {
        let settings = common::SETTINGS.replace("\"balancers\": 2", PROCESSES);
        let settings = settings.replace("\"mayProbe\": true", "\"mayProbe\": false");
        // No tenant exceeds its quota in these tests.
        let settings = settings.replace("\"quotaPerS\": 50.0", "\"quotaPerS\": 1000000.0");
        let settings = linestack_settings::read(settings.as_bytes(), 7).unwrap();
        assert_eq!(settings.dispatch.nodes, 350);
        Self { core: Core::new(settings, SOCKETS, MEMORY_BYTES), now: 100_000 * MS }
    }

    fn handle(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.core.handle(self.now, input, &mut effects);
        effects
    }

    fn receive_list(&mut self, kind: ListKind, executors: impl Iterator<Item = Endpoint>) {
        self.handle(Input::ListReceived { kind, endpoints: executors.collect() });
    }

    /// Submits a job and establishes the connection that it asks for. Returns the connection over which it was sent, and the
    /// address of the executor.
    fn submit(&mut self, id: u64) -> Option<(ConnectionId, SocketAddr)> {
        self.handle(Input::ClientConnected { client: id });
        let request =
            Arc::new(ForwardedRequest { id: Bytes::from(id.to_string()), ..ForwardedRequest::default() });
        let submission =
            NewSubmission { product: LOOK, tenant: 0, timeout: 5_000 * MS, slots: 1.0, memory: 0.0, request };
        let effects = self.handle(Input::Submitted { client: id, submission });
        let (connection, address) = effects.iter().find_map(|e| match e {
            Effect::OpenConnection { connection, address, .. } => Some((*connection, *address)),
            _ => None,
        })?;
        let sent = self.handle(Input::ExecutorConnected { connection });
        let sent = sent.iter().any(|e| matches!(e, Effect::Send { connection: c, .. } if *c == connection));
        sent.then_some((connection, address))
    }
}

fn executor(number: u32, health: Health) -> Endpoint {
    let [_, _, high, low] = number.to_be_bytes();
    let address = SocketAddr::from(([127, 0, high, low], 7_000));
    let (zone, kind) = ("here".to_owned(), "small".to_owned());
    Endpoint { name: format!("w{number}"), address, zone, kind, cell: 1, health, started: 0, weight: 1.0 }
}

fn ready(numbers: std::ops::Range<u32>) -> impl Iterator<Item = Endpoint> {
    numbers.map(|number| executor(number, Health::Ready))
}

// Every executor is known by its own address, and jobs in flight at the same time are spread over different executors as far as
// possible.
#[test]
fn eleven_hundred_executors_are_known_and_used() {
    let mut node = Node::new();
    node.receive_list(ListKind::Whole, ready(0..EXECUTORS));
    assert_eq!(node.core.stats().workers, EXECUTORS as usize);
    assert_eq!(node.core.endpoints(), ready(0..EXECUTORS).collect::<Vec<_>>());
    let mut reached = HashSet::new();
    for id in 0..u64::from(EXECUTORS) {
        node.now += MS;
        reached.extend(node.submit(id).map(|(_, address)| address));
    }
    println!("{} of {EXECUTORS} executors were sent to", reached.len());
    assert!(reached.len() > 1_024, "{}", reached.len());
    assert_eq!(node.core.stats().broken, 0);
}

// All executors but one drain, according to one list of changes. Everything submitted after that goes to the one.
#[test]
fn a_list_of_a_thousand_changes_applies_to_each_executor() {
    let mut node = Node::new();
    node.receive_list(ListKind::Whole, ready(0..EXECUTORS));
    let last = EXECUTORS - 1;
    node.receive_list(ListKind::Changes, (0..last).map(|number| executor(number, Health::Draining)));
    let mut sent = 0;
    for id in 0..64 {
        node.now += 20 * MS;
        if let Some((connection, address)) = node.submit(id) {
            assert_eq!(address, executor(last, Health::Ready).address);
            node.handle(Input::Ended {
                connection,
                outcome: Outcome::Completed,
                result: Bytes::from_static(b"r"),
                report: None,
            });
            sent += 1;
        }
    }
    assert!(sent > 0);
}

// If a list leaves out most executors for a moment, what is known of them is kept: an index is given to another executor only
// when more executors have left than are remembered.
#[test]
fn a_thousand_executors_that_left_together_are_remembered() {
    let mut node = Node::new();
    let stay = EXECUTORS - MAX_EXTRA_DEPARTED;
    node.receive_list(ListKind::Whole, ready(0..EXECUTORS));
    node.receive_list(ListKind::Whole, ready(0..stay));
    // New executors get indices of their own.
    node.receive_list(ListKind::Changes, ready(EXECUTORS..EXECUTORS + MAX_EXTRA_DEPARTED));
    assert_eq!(node.core.stats().workers, (EXECUTORS + MAX_EXTRA_DEPARTED) as usize);
}
