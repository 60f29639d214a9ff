//! Nodes that break a rule on purpose, to show that the judge finds it. Each is a whole node of which some
//! effects are tampered with.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use linestack_core::{Answer, Broken, Client, Effect, Input, Link, Nanos, Shipment, Stats};
use linestack_dispatch::types::{Health, Worker};

use crate::Machine;

/// How a node breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
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

/// Links of the tampering hand, out of the way of the node's own.
const OWN: Link = 1 << 40;

/// A node of which some effects are tampered with.
pub struct Tampered {
    node: Box<dyn Machine>,
    way: Way,
    /// What the node has on its links, and which submission's client is owed.
    out: HashMap<Link, Arc<Shipment>>,
    lost: HashSet<Client>,
    drained: Vec<SocketAddr>,
    cold: Option<SocketAddr>,
    all: Vec<SocketAddr>,
    own: HashMap<Link, (Arc<Shipment>, Nanos)>,
    next: Link,
}

impl Tampered {
    /// Tampers with a sound node.
    #[must_use]
    pub fn new(node: Box<dyn Machine>, way: Way) -> Self {
        let (out, lost, own) = (HashMap::new(), HashSet::new(), HashMap::new());
        Self { node, way, out, lost, drained: Vec::new(), cold: None, all: Vec::new(), own, next: OWN }
    }

    /// Opens a connection of its own and sends this over it once it is up.
    fn slip(&mut self, address: SocketAddr, shipment: Arc<Shipment>, effects: &mut Vec<Effect>) {
        let (link, limit) = (self.next, 250_000_000);
        self.next += 1;
        self.own.insert(link, (shipment, 5_000_000_000));
        effects.push(Effect::Open { link, address, limit });
    }

    fn client(shipment: &Shipment) -> Client {
        std::str::from_utf8(&shipment.id).ok().and_then(|id| id.parse().ok()).unwrap_or(0)
    }
}

impl Machine for Tampered {
    fn take(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        match &input {
            Input::LinkUp { link } if *link >= OWN => {
                if let Some((shipment, wait)) = self.own.remove(link) {
                    effects.push(Effect::Send { link: *link, shipment, wait, version: 0 });
                }
                return;
            }
            Input::LinkUp { link } => drop(self.out.remove(link)),
            Input::Ended { link, .. }
            | Input::LinkDown { link, .. }
            | Input::Noted { link }
            | Input::Freed { link, .. }
                if *link >= OWN =>
            {
                return;
            }
            Input::Listed { endpoints, .. } => {
                for e in endpoints {
                    self.drained.retain(|a| *a != e.address);
                    self.all.retain(|a| *a != e.address);
                    match e.health {
                        Health::Ready => self.all.push(e.address),
                        _ => self.drained.push(e.address),
                    }
                    if e.started > 0 && e.health == Health::Ready {
                        self.cold = Some(e.address);
                    }
                }
            }
            _ => {}
        }
        let mut resend = None;
        if let Input::LinkDown { link, broken: Broken { written: true, .. } } = &input
            && let Some(shipment) = self.out.remove(link)
        {
            self.lost.insert(Self::client(&shipment));
            resend = Some(shipment);
        }
        let mut asked = Vec::new();
        self.node.take(now, input, &mut asked);
        if let (Way::ResendsOneShots | Way::ForgetsGroups, Some(shipment)) = (self.way, resend) {
            for address in self.all.clone() {
                self.slip(address, Arc::clone(&shipment), effects);
            }
        }
        for effect in asked {
            match (self.way, effect) {
                (_, Effect::Send { link, shipment, wait, version }) => {
                    self.out.insert(link, Arc::clone(&shipment));
                    match (self.way, self.drained.first(), self.cold) {
                        (Way::SendsToDrained, Some(address), _) => {
                            self.slip(*address, Arc::clone(&shipment), effects);
                        }
                        (Way::FloodsCold, _, Some(address)) => {
                            self.slip(address, Arc::clone(&shipment), effects);
                        }
                        _ => {}
                    }
                    effects.push(Effect::Send { link, shipment, wait, version });
                }
                (Way::AnswersNothing, Effect::Answer { .. }) => {}
                (Way::AnswersTwice, Effect::Answer { client, answer, last, version }) => {
                    effects.push(Effect::Answer { client, answer: answer.clone(), last, version });
                    effects.push(Effect::Answer { client, answer, last, version });
                }
                (Way::MakesUp, Effect::Answer { client, last, version, .. }) => {
                    effects.push(Effect::Answer {
                        client,
                        answer: Answer::Satisfied("".into()),
                        last,
                        version,
                    });
                }
                (
                    Way::DismissesWhatRan,
                    Effect::Answer { client, answer: Answer::Aborted, last, version },
                ) if self.lost.contains(&client) => {
                    effects.push(Effect::Answer { client, answer: Answer::Dismissed(None), last, version });
                }
                (Way::SendsAfterAnswer, Effect::Answer { client, answer, last, version }) => {
                    effects.push(Effect::Answer { client, answer, last, version });
                    let id = format!("{client}").into();
                    let shipment = Arc::new(Shipment { id, ..Shipment::default() });
                    if let Some(address) = self.all.first().copied() {
                        self.slip(address, shipment, effects);
                    }
                }
                (_, effect) => effects.push(effect),
            }
        }
    }

    fn next_due(&self) -> Nanos {
        self.node.next_due()
    }

    fn ready(&self, now: Nanos) -> bool {
        self.node.ready(now)
    }

    fn crowded(&self) -> bool {
        self.node.crowded()
    }

    fn stats(&self) -> Stats {
        self.node.stats()
    }

    fn address(&self, worker: Worker) -> Option<SocketAddr> {
        self.node.address(worker)
    }
}
