//! Nodes that break a rule on purpose, to show that the judge detects it. Each is a whole node whose inputs
//! and effects are partly altered.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use linestack_core::{
    Answer, ClientId, ConnectionId, Disconnect, Effect, Endpoint, ForwardedRequest, Input, Nanos, Stats,
};
use linestack_dispatch::types::{Health, Worker};

use crate::SimulatedNode;

/// The way in which a node breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tampering {
    /// Sends each answer twice. Breaks [`Rule::AnsweredTwice`](crate::Rule::AnsweredTwice).
    AnswersTwice,
    /// Sends no answers. Breaks [`Rule::Lost`](crate::Rule::Lost).
    AnswersNothing,
    /// Answers each submission with an empty result. Breaks [`Rule::MadeUp`](crate::Rule::MadeUp).
    MakesUp,
    /// Sends a submission that may have run to all ready executors again. Breaks
    /// [`Rule::ResentMayHaveRun`](crate::Rule::ResentMayHaveRun) and
    /// [`Rule::RanTwice`](crate::Rule::RanTwice), with one-shot submissions.
    ResendsOneShots,
    /// Does the same as [`Self::ResendsOneShots`]. Breaks [`Rule::OutsideGroup`](crate::Rule::OutsideGroup),
    /// with stamped submissions.
    ForgetsGroups,
    /// Dismisses a submission that may have run instead of aborting it. Breaks
    /// [`Rule::DismissedMayHaveRun`](crate::Rule::DismissedMayHaveRun).
    DismissesWhatRan,
    /// Sends a copy of each execution to an executor that drains or is gone. Breaks
    /// [`Rule::SentToDrained`](crate::Rule::SentToDrained).
    SendsToDrained,
    /// Sends a copy of each execution to the executor that started most recently. Breaks
    /// [`Rule::ColdPushedOver`](crate::Rule::ColdPushedOver).
    FloodsCold,
    /// Sends a further execution after each answer. Breaks
    /// [`Rule::SentAfterAnswer`](crate::Rule::SentAfterAnswer).
    SendsAfterAnswer,
}

/// The number of the first connection that the wrapper opens itself. The wrapped node never opens enough
/// connections to reach it.
const FIRST_EXTRA_CONNECTION: ConnectionId = 1 << 40;

/// The time limit for opening an extra connection.
const CONNECT_TIMEOUT: Nanos = 250_000_000;
/// The time limit for the answer to an extra request.
const ANSWER_TIMEOUT: Nanos = 5_000_000_000;

/// A wrapper that alters some effects of a node.
pub struct TamperedNode {
    node: Box<dyn SimulatedNode>,
    tampering: Tampering,
    /// The requests that the node has in flight, by connection.
    in_flight: HashMap<ConnectionId, Arc<ForwardedRequest>>,
    /// Clients whose submissions may have run, on connections that broke.
    may_have_run: HashSet<ClientId>,
    /// The executors that discovery lists as ready, in the order of the lists.
    ready_executors: Vec<SocketAddr>,
    /// The executors that drain or are gone, in the order of the lists.
    drained_executors: Vec<SocketAddr>,
    /// The executor that started most recently.
    last_started: Option<SocketAddr>,
    /// The requests to send over the connections that the wrapper has opened.
    extra_requests: HashMap<ConnectionId, Arc<ForwardedRequest>>,
    next_connection: ConnectionId,
}

impl TamperedNode {
    /// Wraps a correct node.
    #[must_use]
    pub fn new(node: Box<dyn SimulatedNode>, tampering: Tampering) -> Self {
        Self {
            node,
            tampering,
            in_flight: HashMap::new(),
            may_have_run: HashSet::new(),
            ready_executors: Vec::new(),
            drained_executors: Vec::new(),
            last_started: None,
            extra_requests: HashMap::new(),
            next_connection: FIRST_EXTRA_CONNECTION,
        }
    }

    /// Opens an extra connection, over which a request is sent once it is established.
    fn send_extra(&mut self, address: SocketAddr, request: Arc<ForwardedRequest>, effects: &mut Vec<Effect>) {
        let connection = self.next_connection;
        self.next_connection += 1;
        self.extra_requests.insert(connection, request);
        effects.push(Effect::OpenConnection { connection, address, timeout: CONNECT_TIMEOUT });
    }

    /// Handles an input for a connection that the wrapper has opened. Returns whether it was one; the node
    /// does not get it then.
    fn handle_extra(&mut self, input: &Input, effects: &mut Vec<Effect>) -> bool {
        let (Input::ExecutorConnected { connection }
        | Input::Ended { connection, .. }
        | Input::ExecutorDisconnected { connection, .. }
        | Input::Progressed { connection }
        | Input::ConnectionReusable { connection, .. }) = input
        else {
            return false;
        };
        if *connection < FIRST_EXTRA_CONNECTION {
            return false;
        }
        if let Input::ExecutorConnected { connection } = input
            && let Some(request) = self.extra_requests.remove(connection)
        {
            effects.push(Effect::Send {
                connection: *connection,
                request,
                timeout: ANSWER_TIMEOUT,
                version: 0,
            });
        }
        true
    }

    /// Records which executors are ready, which are not, and which started last.
    fn record_executors(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let address = endpoint.address;
            self.drained_executors.retain(|a| *a != address);
            self.ready_executors.retain(|a| *a != address);
            if endpoint.health != Health::Ready {
                self.drained_executors.push(address);
                continue;
            }
            self.ready_executors.push(address);
            if endpoint.started > 0 {
                self.last_started = Some(address);
            }
        }
    }

    /// Returns the request of a connection that broke after the last byte was written. It may have run.
    fn record_disconnect(&mut self, input: &Input) -> Option<Arc<ForwardedRequest>> {
        let Input::ExecutorDisconnected { connection, disconnect: Disconnect { request_written: true, .. } } =
            input
        else {
            return None;
        };
        let request = self.in_flight.remove(connection)?;
        self.may_have_run.insert(client_of(&request));
        Some(request)
    }

    /// Records what the node sends, and for some tamperings sends it to another executor as well.
    fn tamper_with_send(
        &mut self,
        connection: ConnectionId,
        request: &Arc<ForwardedRequest>,
        effects: &mut Vec<Effect>,
    ) {
        self.in_flight.insert(connection, Arc::clone(request));
        let extra_target = match self.tampering {
            Tampering::SendsToDrained => self.drained_executors.first().copied(),
            Tampering::FloodsCold => self.last_started,
            _ => None,
        };
        if let Some(address) = extra_target {
            self.send_extra(address, Arc::clone(request), effects);
        }
    }

    /// Returns the answers that the client gets in place of the node's answer.
    fn tamper_with_answer(&self, client: ClientId, answer: Answer) -> Vec<Answer> {
        match (self.tampering, answer) {
            (Tampering::AnswersNothing, _) => Vec::new(),
            (Tampering::AnswersTwice, answer) => vec![answer.clone(), answer],
            (Tampering::MakesUp, _) => vec![Answer::Completed("".into())],
            (Tampering::DismissesWhatRan, Answer::Aborted) if self.may_have_run.contains(&client) => {
                vec![Answer::Dismissed(None)]
            }
            (_, answer) => vec![answer],
        }
    }

    /// Sends another execution for a client that already has its answer.
    fn send_after_answer(&mut self, client: ClientId, effects: &mut Vec<Effect>) {
        let id = format!("{client}").into();
        let request = Arc::new(ForwardedRequest { id, ..ForwardedRequest::default() });
        if let Some(address) = self.ready_executors.first().copied() {
            self.send_extra(address, request, effects);
        }
    }

    /// Alters one effect of the node, and appends the result to `effects`.
    fn tamper(&mut self, effect: Effect, effects: &mut Vec<Effect>) {
        match effect {
            Effect::Send { connection, request, timeout, version } => {
                self.tamper_with_send(connection, &request, effects);
                effects.push(Effect::Send { connection, request, timeout, version });
            }
            Effect::Answer { client, answer, last, version } => {
                for answer in self.tamper_with_answer(client, answer) {
                    effects.push(Effect::Answer { client, answer, last, version });
                }
                if self.tampering == Tampering::SendsAfterAnswer {
                    self.send_after_answer(client, effects);
                }
            }
            effect => effects.push(effect),
        }
    }
}

/// Returns the client of a request, whose number is the identifier of the request.
fn client_of(request: &ForwardedRequest) -> ClientId {
    std::str::from_utf8(&request.id).ok().and_then(|id| id.parse().ok()).unwrap_or(0)
}

impl SimulatedNode for TamperedNode {
    fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        if self.handle_extra(&input, effects) {
            return;
        }
        if let Input::ExecutorConnected { connection } = &input {
            self.in_flight.remove(connection);
        }
        if let Input::ListReceived { endpoints, .. } = &input {
            self.record_executors(endpoints);
        }
        let may_have_run = self.record_disconnect(&input);
        let mut node_effects = Vec::new();
        self.node.handle(now, input, &mut node_effects);
        if let (Tampering::ResendsOneShots | Tampering::ForgetsGroups, Some(request)) =
            (self.tampering, may_have_run)
        {
            for address in self.ready_executors.clone() {
                self.send_extra(address, Arc::clone(&request), effects);
            }
        }
        for effect in node_effects {
            self.tamper(effect, effects);
        }
    }

    fn next_due(&self) -> Nanos {
        self.node.next_due()
    }

    fn ready(&self, now: Nanos) -> bool {
        self.node.ready(now)
    }

    fn is_at_client_limit(&self) -> bool {
        self.node.is_at_client_limit()
    }

    fn stats(&self) -> Stats {
        self.node.stats()
    }

    fn address(&self, worker: Worker) -> Option<SocketAddr> {
        self.node.address(worker)
    }
}
