//! A dispatching node at a size: its reducer driven directly, in a process of its own so that its memory can be told.

use std::collections::{HashMap, VecDeque};
use std::io::Read as _;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use linestack_core::{
    Answer, ClientId, ConnectionId, Core, Effect, Endpoint, ForwardedRequest, Input, Nanos, NewSubmission,
    Outcome,
};
use linestack_dispatch::types::{Health, ListKind, ProbeOutcome, Report};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

use super::file::Dispatch;
use super::machine::Usage;
use super::policy::{self, CUT_OFF_MS, STARTS_PER_S};
use super::stop::Stop;

const SECOND: Nanos = 1_000_000_000;
const LOOK: Duration = Duration::from_millis(10);
/// More than any size wants: what is measured is the cost, and not where a node turns away.
const DESCRIPTORS: usize = 1 << 24;
const MEMORY: usize = 1 << 40;
/// Slots of a worker beyond its even part of what is in hand.
const SPARE: f64 = 1.5;
/// Submissions after which what is in hand is as it is; twice as many as wanted, and some for a ramp.
const MOST_RAMP: usize = 4;

/// What a node of one size costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeCost {
    pub workers: usize,
    pub wanted_in_hand: usize,
    pub in_hand: usize,
    /// Of the submissions measured.
    pub answered: usize,
    pub dismissed: usize,
    /// Processor time of a submission from the door to its answer, and of the decision in it.
    pub submission_us: f64,
    pub decision_us: f64,
    /// Processor time to read a whole list.
    pub list_us: f64,
    /// Resident bytes beyond the empty reducer: after the list, and with the jobs in hand.
    pub listed_bytes: u64,
    pub in_hand_bytes: u64,
    /// Descriptors that a node on sockets has for it: a client's connection and an executor's for each job.
    pub descriptors: usize,
}

struct Node {
    core: Core,
    now: Nanos,
    workers: Vec<usize>,
    slots: f64,
    links: HashMap<ConnectionId, usize>,
    running: VecDeque<ConnectionId>,
    next_client: ClientId,
    answered: usize,
    dismissed: usize,
}

/// Processor time of this thread, in seconds.
fn processor_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

fn endpoint(worker: usize) -> Endpoint {
    let [_, high, middle, low] = (worker as u32).to_be_bytes();
    Endpoint {
        name: format!("worker-{worker:05}"),
        address: SocketAddr::from(([127, high, middle, low], 7000)),
        zone: format!("z{}", worker % 7),
        kind: "accelerator".to_owned(),
        cell: 0,
        health: Health::Ready,
        started: 0,
        weight: 1.0,
    }
}

impl Node {
    fn new(workers: usize, in_hand: usize) -> Result<Self, String> {
        let slots = (in_hand as f64 / workers as f64 * SPARE).ceil() + 1.0;
        Ok(Self {
            core: Core::new(policy::settings(1)?, DESCRIPTORS, MEMORY),
            now: 1000 * SECOND,
            workers: vec![0; workers],
            slots,
            links: HashMap::new(),
            running: VecDeque::new(),
            next_client: 0,
            answered: 0,
            dismissed: 0,
        })
    }

    fn whole_list(&self) -> Input {
        Input::ListReceived {
            kind: ListKind::Whole,
            endpoints: (0..self.workers.len()).map(endpoint).collect(),
        }
    }

    fn report(&self, worker: usize) -> Report {
        let in_hand = self.workers[worker] as f64;
        let (free, in_hand) = ((self.slots - in_hand).max(0.0) as f32, in_hand as f32);
        Report {
            free_slots: Some(free),
            free_memory: None,
            queued_jobs: Some(0.0),
            active_jobs: Some(in_hand),
        }
    }

    /// Takes an input, and all that follows from it at once.
    fn feed(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        let mut effects = Vec::new();
        while let Some(input) = inputs.pop_front() {
            self.core.handle(self.now, input, &mut effects);
            for effect in effects.drain(..) {
                self.carry_out(effect, &mut inputs);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::OpenConnection { connection: link, address, .. } => {
                if let SocketAddr::V4(address) = address {
                    let [_, high, middle, low] = address.ip().octets();
                    self.links.insert(link, u32::from_be_bytes([0, high, middle, low]) as usize);
                }
                inputs.push_back(Input::ExecutorConnected { connection: link });
            }
            Effect::Send { connection: link, .. } => {
                if let Some(worker) = self.links.get(&link) {
                    self.workers[*worker] += 1;
                }
                self.running.push_back(link);
            }
            Effect::Probe { connection: link } => {
                let report = self.links.get(&link).map(|worker| self.report(*worker));
                inputs.push_back(Input::Probed { connection: link, outcome: ProbeOutcome::Answered, report });
                inputs.push_back(Input::ConnectionReusable { connection: link, identified: true });
            }
            Effect::CloseConnection { connection: link } => {
                self.links.remove(&link);
            }
            Effect::Answer { client, answer, .. } => {
                match answer {
                    Answer::Completed(_) => self.answered += 1,
                    _ => self.dismissed += 1,
                }
                inputs.push_back(Input::ClientDisconnected { client });
            }
            Effect::CloseClient { client } | Effect::DropClient { client } => {
                inputs.push_back(Input::ClientDisconnected { client });
            }
            _ => {}
        }
    }

    fn pass(&mut self, span: Nanos) {
        let end = self.now + span;
        while self.core.next_due() <= end {
            self.now = self.now.max(self.core.next_due());
            self.feed(Input::Tick);
        }
        self.now = end;
    }

    fn submit(&mut self) -> f64 {
        self.next_client += 1;
        let client = self.next_client;
        self.feed(Input::ClientConnected { client });
        let id = Bytes::from(format!("job-{client}"));
        let shipment = Arc::new(ForwardedRequest { id, ..ForwardedRequest::default() });
        let patience = (CUT_OFF_MS * 1e6) as Nanos;
        let tenant = (client % 26) as u16;
        let intake = NewSubmission {
            product: 0,
            tenant,
            timeout: patience,
            slots: 1.0,
            memory: 0.0,
            request: shipment,
        };
        let before = processor_s();
        self.feed(Input::Submitted { client, submission: intake });
        processor_s() - before
    }

    fn finish_oldest(&mut self) {
        let Some(link) = self.running.pop_front() else { return };
        let Some(worker) = self.links.get(&link).copied() else { return };
        self.workers[worker] -= 1;
        let report = Some(self.report(worker));
        self.feed(Input::Ended {
            connection: link,
            outcome: Outcome::Completed,
            result: Bytes::new(),
            report,
        });
        self.feed(Input::ConnectionReusable { connection: link, identified: true });
    }

    /// One submission later: the oldest job ends where as many as wanted are in hand.
    fn step(&mut self, in_hand: usize) -> f64 {
        self.pass((SECOND as f64 / STARTS_PER_S) as Nanos);
        if self.running.len() >= in_hand {
            self.finish_oldest();
        }
        self.submit()
    }
}

/// Measures in this process.
///
/// # Errors
///
/// The settings are not understood, or the system does not tell what is used.
pub fn measure(
    workers: usize,
    in_hand: usize,
    submissions: usize,
    lists: usize,
) -> Result<NodeCost, Box<dyn std::error::Error>> {
    let mut node = Node::new(workers, in_hand)?;
    let empty = Usage::own()?.resident_bytes;
    node.feed(node.whole_list());
    let listed_bytes = Usage::own()?.resident_bytes.saturating_sub(empty);
    for _ in 0..in_hand * MOST_RAMP {
        if node.running.len() >= in_hand {
            break;
        }
        node.step(in_hand);
    }
    let in_hand_bytes = Usage::own()?.resident_bytes.saturating_sub(empty);
    (node.answered, node.dismissed) = (0, 0);
    let (begin, mut decisions) = (processor_s(), 0.0);
    for _ in 0..submissions {
        decisions += node.step(in_hand);
    }
    let spent = processor_s() - begin;
    let inputs: Vec<Input> = (0..lists).map(|_| node.whole_list()).collect();
    let begin = processor_s();
    inputs.into_iter().for_each(|list| node.feed(list));
    let listing = processor_s() - begin;
    let microseconds = |spent: f64, count: usize| spent * 1e6 / count.max(1) as f64;
    Ok(NodeCost {
        workers,
        wanted_in_hand: in_hand,
        in_hand: node.running.len(),
        answered: node.answered,
        dismissed: node.dismissed,
        submission_us: microseconds(spent, submissions),
        decision_us: microseconds(decisions, submissions),
        list_us: microseconds(listing, lists),
        listed_bytes,
        in_hand_bytes,
        descriptors: node.running.len() * 2,
    })
}

/// A process of this program, ended when it is dropped.
struct Measuring(Child);

impl Drop for Measuring {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Measures one size in a process of `lab`, this program.
///
/// # Errors
///
/// The run is to end, or the process failed.
pub fn measure_apart(
    dispatch: &Dispatch,
    workers: usize,
    in_hand: usize,
    lab: &Path,
    stop: &Stop,
) -> Result<NodeCost, Box<dyn std::error::Error>> {
    let words = [workers, in_hand, dispatch.submissions, dispatch.lists].map(|n| n.to_string());
    let mut command = Command::new(lab);
    command.arg("scale-node").args(words).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut measuring = Measuring(command.spawn()?);
    // One line, which fits into a pipe.
    let status = loop {
        stop.check()?;
        if let Some(status) = measuring.0.try_wait()? {
            break status;
        }
        std::thread::sleep(LOOK);
    };
    let mut told = String::new();
    if let Some(out) = &mut measuring.0.stdout {
        out.read_to_string(&mut told)?;
    }
    if !status.success() {
        return Err(format!("the measuring process for {workers} workers ended with {status}").into());
    }
    Ok(serde_json::from_str(&told)?)
}
