//! The memory that the reducer keeps for what is over, by an allocator that counts.

#[path = "common/mod.rs"]
mod common;

use std::alloc::System;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use linestack_core::{
    ConnectionId, Core, Disconnect, Effect, Endpoint, ForwardedRequest, Input, Nanos, NewSubmission, Outcome,
};
use linestack_dispatch::types::{Health, ListKind};
use rstest::rstest;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The counts are those of the whole process, so one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const SECOND: Nanos = 1_000_000_000;
/// The product of the settings whose submissions may run any number of times.
const LOOK: u8 = 2;

/// A node with one executor, at a moment that does not pass.
struct Node {
    core: Core,
    next_client: u64,
}

impl Node {
    fn new() -> Self {
        // Submissions may last minutes.
        let settings = common::SETTINGS
            .replace("\"mayProbe\": true", "\"mayProbe\": false")
            .replace("\"agreedTimeMs\": 400.0", "\"agreedTimeMs\": 60000.0");
        let settings = linestack_settings::read(settings.as_bytes(), 7).unwrap();
        let mut node = Self { core: Core::new(settings, 64, 32 << 20), next_client: 0 };
        let endpoint = Endpoint {
            name: "w0".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 100)),
            zone: "here".to_owned(),
            kind: "small".to_owned(),
            cell: 1,
            health: Health::Ready,
            started: 0,
            weight: 1.0,
        };
        node.handle(Input::ListReceived { kind: ListKind::Cached, endpoints: vec![endpoint] });
        node.handle(Input::ListReceived { kind: ListKind::Changes, endpoints: Vec::new() });
        node
    }

    fn handle(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.core.handle(SECOND, input, &mut effects);
        effects
    }

    /// Connects a client that hands in a submission and waits for a minute. Returns the effects.
    fn submit(&mut self) -> Vec<Effect> {
        self.next_client += 1;
        let client = self.next_client;
        self.handle(Input::ClientConnected { client });
        let id = Bytes::from(format!("{client}"));
        let request = Arc::new(ForwardedRequest { id, ..ForwardedRequest::default() });
        let timeout = 60 * SECOND;
        let submission =
            NewSubmission { product: LOOK, tenant: 0, timeout, slots: 1.0, memory: 0.0, request };
        self.handle(Input::Submitted { client, submission })
    }

    fn disconnect_client(&mut self) {
        self.handle(Input::ClientDisconnected { client: self.next_client });
    }
}

/// Returns the connection that is opened, if one is.
fn opened(effects: &[Effect]) -> Option<ConnectionId> {
    effects.iter().find_map(|effect| match effect {
        Effect::OpenConnection { connection, .. } => Some(*connection),
        _ => None,
    })
}

/// Returns the connection over which a request is sent, if one is.
fn sent(effects: &[Effect]) -> Option<ConnectionId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { connection, .. } => Some(*connection),
        _ => None,
    })
}

/// A submission that its executor completes.
fn complete_submission(node: &mut Node) {
    let mut effects = node.submit();
    if let Some(connection) = opened(&effects) {
        effects = node.handle(Input::ExecutorConnected { connection });
    }
    let connection = sent(&effects).unwrap();
    let (outcome, result) = (Outcome::Completed, Bytes::from_static(b"r"));
    node.handle(Input::Ended { connection, outcome, result, report: None });
    node.handle(Input::ConnectionReusable { connection, identified: true });
    node.disconnect_client();
}

/// A submission whose client leaves while its connection to the executor is opened, which then fails.
fn abandon_submission(node: &mut Node) {
    let effects = node.submit();
    node.disconnect_client();
    if let Some(connection) = opened(&effects) {
        let disconnect = Disconnect { local_fault: true, ..Disconnect::default() };
        node.handle(Input::ExecutorDisconnected { connection, disconnect });
    }
}

/// A submission whose client leaves while it runs, so that its id is remembered.
fn leave_running_submission(node: &mut Node) {
    let effects = node.submit();
    let connection = opened(&effects).unwrap();
    let effects = node.handle(Input::ExecutorConnected { connection });
    assert_eq!(sent(&effects), Some(connection));
    node.disconnect_client();
}

/// A client that connects and leaves.
fn connect_client(node: &mut Node) {
    node.next_client += 1;
    node.handle(Input::ClientConnected { client: node.next_client });
    node.disconnect_client();
}

// Guards against a node whose memory grows for as long as a client sends at full speed, since a timer for each deadline, far ahead, stays
// set when the submission is over, or one for each connection.
#[rstest]
#[case::completed_submissions(complete_submission)]
#[case::abandoned_submissions(abandon_submission)]
#[case::running_submissions(leave_running_submission)]
#[case::connections_without_a_request(connect_client)]
fn what_is_over_takes_no_memory(#[case] play: fn(&mut Node)) {
    /// More plays than there are ids that may be remembered.
    const WARM_UP: u32 = 10_000;
    const PLAYS: u32 = 20_000;
    /// Less than a byte for each play.
    const MAX_GROWTH_BYTES: usize = 16 * 1024;
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut node = Node::new();
    (0..WARM_UP).for_each(|_| play(&mut node));
    let region = Region::new(ALLOCATOR);
    (0..PLAYS).for_each(|_| play(&mut node));
    let change = region.change();
    let growth = change.bytes_allocated.saturating_sub(change.bytes_deallocated);
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes after {PLAYS}");
}
