//! Nodes that break a rule on purpose, to show that the judge finds it. Each is a whole node of which some
//! effects are tampered with.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use linestack_core::{
    Answer, ClientId, ConnectionId, Disconnect, Effect, Endpoint, ForwardedRequest, Input, Nanos, Stats,
};
use linestack_dispatch::types::{Health, Worker};

use crate::SimulatedNode;

/// How a node breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tampering {
    /// Breaks [`Rule::AnsweredTwice`](crate::Rule::AnsweredTwice).
    AnswersTwice,
    /// Breaks [`Rule::Lost`](crate::Rule::Lost).
    AnswersNothing,
    /// Breaks [`Rule::MadeUp`](crate::Rule::MadeUp).
    MakesUp,
    /// Breaks [`Rule::ResentMayHaveRun`](crate::Rule::ResentMayHaveRun) and
    /// [`Rule::RanTwice`](crate::Rule::RanTwice).
    ResendsOneShots,
    /// Breaks [`Rule::OutsideGroup`](crate::Rule::OutsideGroup).
    ForgetsGroups,
    /// Breaks [`Rule::DismissedMayHaveRun`](crate::Rule::DismissedMayHaveRun).
    DismissesWhatRan,
    /// Breaks [`Rule::SentToDrained`](crate::Rule::SentToDrained).
    SendsToDrained,
    /// Breaks [`Rule::ColdPushedOver`](crate::Rule::ColdPushedOver).
    FloodsCold,
    /// Breaks [`Rule::SentAfterAnswer`](crate::Rule::SentAfterAnswer).
    SendsAfterAnswer,
}

/// Links that the tampering opens are numbered from here on, out of the way of the node's own.
const FIRST_OWN_LINK: ConnectionId = 1 << 40;

/// How long the tampering waits for a connection, and for an answer, in nanoseconds.
const CONNECT_LIMIT: Nanos = 250_000_000;
const ANSWER_LIMIT: Nanos = 5_000_000_000;

/// A node of which some effects are tampered with.
pub struct TamperedNode {
    node: Box<dyn SimulatedNode>,
    way: Tampering,
    /// What the node has on its links.
    in_flight: HashMap<ConnectionId, Arc<ForwardedRequest>>,
    /// Clients whose submissions may have run, on links that broke.
    may_have_run: HashSet<ClientId>,
    ready: Vec<SocketAddr>,
    drained: Vec<SocketAddr>,
    /// The executor that started last.
    cold: Option<SocketAddr>,
    /// What is to be sent on links that the tampering has opened.
    own: HashMap<ConnectionId, Arc<ForwardedRequest>>,
    next_link: ConnectionId,
}

impl TamperedNode {
    /// Tampers with a sound node.
    #[must_use]
    pub fn new(node: Box<dyn SimulatedNode>, way: Tampering) -> Self {
        Self {
            node,
            way,
            in_flight: HashMap::new(),
            may_have_run: HashSet::new(),
            ready: Vec::new(),
            drained: Vec::new(),
            cold: None,
            own: HashMap::new(),
            next_link: FIRST_OWN_LINK,
        }
    }

    /// Opens a connection of its own and sends this over it once it is up.
    fn send_beside(
        &mut self,
        address: SocketAddr,
        shipment: Arc<ForwardedRequest>,
        effects: &mut Vec<Effect>,
    ) {
        let link = self.next_link;
        self.next_link += 1;
        self.own.insert(link, shipment);
        effects.push(Effect::OpenConnection { connection: link, address, timeout: CONNECT_LIMIT });
    }

    /// Whether an input is for a link that the tampering has opened. The node does not see it.
    fn takes_for_itself(&mut self, input: &Input, effects: &mut Vec<Effect>) -> bool {
        let (Input::ExecutorConnected { connection: link }
        | Input::Ended { connection: link, .. }
        | Input::ExecutorDisconnected { connection: link, .. }
        | Input::Progressed { connection: link }
        | Input::ConnectionReusable { connection: link, .. }) = input
        else {
            return false;
        };
        if *link < FIRST_OWN_LINK {
            return false;
        }
        if let Input::ExecutorConnected { connection: link } = input
            && let Some(shipment) = self.own.remove(link)
        {
            effects.push(Effect::Send {
                connection: *link,
                request: shipment,
                timeout: ANSWER_LIMIT,
                version: 0,
            });
        }
        true
    }

    /// Keeps account of which executors are ready, drained and cold.
    fn note_listed(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let address = endpoint.address;
            self.drained.retain(|a| *a != address);
            self.ready.retain(|a| *a != address);
            if endpoint.health != Health::Ready {
                self.drained.push(address);
                continue;
            }
            self.ready.push(address);
            if endpoint.started > 0 {
                self.cold = Some(address);
            }
        }
    }

    /// What was on a link that broke after its last byte, which may have run.
    fn note_broken(&mut self, input: &Input) -> Option<Arc<ForwardedRequest>> {
        let Input::ExecutorDisconnected {
            connection: link,
            disconnect: Disconnect { request_written: true, .. },
        } = input
        else {
            return None;
        };
        let shipment = self.in_flight.remove(link)?;
        self.may_have_run.insert(client_of(&shipment));
        Some(shipment)
    }

    /// Passes on what the node sends, and sends it elsewhere too.
    fn tamper_with_send(
        &mut self,
        link: ConnectionId,
        shipment: &Arc<ForwardedRequest>,
        effects: &mut Vec<Effect>,
    ) {
        self.in_flight.insert(link, Arc::clone(shipment));
        let elsewhere = match self.way {
            Tampering::SendsToDrained => self.drained.first().copied(),
            Tampering::FloodsCold => self.cold,
            _ => None,
        };
        if let Some(address) = elsewhere {
            self.send_beside(address, Arc::clone(shipment), effects);
        }
    }

    /// The answers that the client gets for one of the node's.
    fn tamper_with_answer(&self, client: ClientId, answer: Answer) -> Vec<Answer> {
        match (self.way, answer) {
            (Tampering::AnswersNothing, _) => Vec::new(),
            (Tampering::AnswersTwice, answer) => vec![answer.clone(), answer],
            (Tampering::MakesUp, _) => vec![Answer::Completed("".into())],
            (Tampering::DismissesWhatRan, Answer::Aborted) if self.may_have_run.contains(&client) => {
                vec![Answer::Dismissed(None)]
            }
            (_, answer) => vec![answer],
        }
    }

    /// Sends something for a client that has its answer.
    fn send_after_answer(&mut self, client: ClientId, effects: &mut Vec<Effect>) {
        let id = format!("{client}").into();
        let shipment = Arc::new(ForwardedRequest { id, ..ForwardedRequest::default() });
        if let Some(address) = self.ready.first().copied() {
            self.send_beside(address, shipment, effects);
        }
    }

    fn tamper(&mut self, effect: Effect, effects: &mut Vec<Effect>) {
        match effect {
            Effect::Send { connection: link, request: shipment, timeout: wait, version } => {
                self.tamper_with_send(link, &shipment, effects);
                effects.push(Effect::Send { connection: link, request: shipment, timeout: wait, version });
            }
            Effect::Answer { client, answer, last, version } => {
                for answer in self.tamper_with_answer(client, answer) {
                    effects.push(Effect::Answer { client, answer, last, version });
                }
                if self.way == Tampering::SendsAfterAnswer {
                    self.send_after_answer(client, effects);
                }
            }
            effect => effects.push(effect),
        }
    }
}

/// The client of a shipment, which its identifier names.
fn client_of(shipment: &ForwardedRequest) -> ClientId {
    std::str::from_utf8(&shipment.id).ok().and_then(|id| id.parse().ok()).unwrap_or(0)
}

impl SimulatedNode for TamperedNode {
    fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        if self.takes_for_itself(&input, effects) {
            return;
        }
        if let Input::ExecutorConnected { connection: link } = &input {
            self.in_flight.remove(link);
        }
        if let Input::ListReceived { endpoints, .. } = &input {
            self.note_listed(endpoints);
        }
        let broken = self.note_broken(&input);
        let mut asked = Vec::new();
        self.node.handle(now, input, &mut asked);
        if let (Tampering::ResendsOneShots | Tampering::ForgetsGroups, Some(shipment)) = (self.way, broken) {
            for address in self.ready.clone() {
                self.send_beside(address, Arc::clone(&shipment), effects);
            }
        }
        for effect in asked {
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
