//! Measures the cost of a dispatching node of one size. Its reducer is driven directly, without sockets, and in a
//! separate process, so that the memory of the process is that of the node.

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

use super::file::DispatchSection;
use super::machine::Usage;
use super::policy::{self, DEADLINE_MS, SUBMISSIONS_PER_S, TEAMS, ZONES};
use super::stop::Stop;

const SECOND: Nanos = 1_000_000_000;
/// Interval between checks whether the measuring process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// File descriptor limit of the node. Higher than any size needs, so that the node never rejects a submission for lack
/// of descriptors.
const DESCRIPTOR_LIMIT: usize = 1 << 24;
/// Memory limit of the node. Higher than any size needs, so that the node never rejects a submission for lack of
/// memory.
const MEMORY_LIMIT_BYTES: usize = 1 << 40;
/// Slots of a worker, relative to its even share of the jobs in hand.
const SLOT_FACTOR: f64 = 1.5;
/// Maximum number of submissions in which the jobs in hand are built up, relative to their number. After these, the
/// measurement begins with as many as are in hand.
const MAX_RAMP_FACTOR: usize = 4;

/// Cost of a node of one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeCost {
    pub workers: usize,
    /// Number of jobs in hand that the run asks for.
    pub wanted_in_hand: usize,
    /// Number of jobs in hand at the end of the measurement.
    pub in_hand: usize,
    /// Measured submissions that were answered with a result.
    pub answered: usize,
    /// Measured submissions that were answered otherwise.
    pub dismissed: usize,
    /// Processor time of a submission, from its arrival to its answer.
    pub submission_us: f64,
    /// Processor time until a submission is decided. Part of `submission_us`.
    pub decision_us: f64,
    /// Processor time of reading a whole list.
    pub list_us: f64,
    /// Resident memory after the first list, beyond that of a node without workers.
    pub listed_bytes: u64,
    /// Resident memory with the jobs in hand, beyond that of a node without workers.
    pub in_hand_bytes: u64,
    /// File descriptors that a node with sockets needs for these jobs: a client's and an executor's connection for
    /// each.
    pub descriptors: usize,
}

/// Drives a node's reducer, and plays its clients and executors.
struct NodeDriver {
    core: Core,
    now: Nanos,
    /// Jobs in hand of each worker.
    worker_jobs: Vec<usize>,
    /// Slots of each worker.
    slots: f64,
    /// The worker of each open connection.
    worker_of: HashMap<ConnectionId, usize>,
    /// Connections whose job is in hand, oldest first.
    running: VecDeque<ConnectionId>,
    next_client: ClientId,
    answered: usize,
    dismissed: usize,
}

/// Returns the processor time that this thread has used, in seconds.
fn thread_time_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Returns the list entry of a worker. Its number is in the last three bytes of its address.
fn endpoint(worker: usize) -> Endpoint {
    let [_, high, middle, low] = (worker as u32).to_be_bytes();
    Endpoint {
        name: format!("worker-{worker:05}"),
        address: SocketAddr::from(([127, high, middle, low], 7000)),
        zone: format!("z{}", worker % ZONES),
        kind: "accelerator".to_owned(),
        cell: 0,
        health: Health::Ready,
        started: 0,
        weight: 1.0,
    }
}

impl NodeDriver {
    fn new(workers: usize, in_hand: usize) -> Result<Self, String> {
        let slots = (in_hand as f64 / workers as f64 * SLOT_FACTOR).ceil() + 1.0;
        Ok(Self {
            core: Core::new(policy::node_settings(1)?, DESCRIPTOR_LIMIT, MEMORY_LIMIT_BYTES),
            now: 1000 * SECOND,
            worker_jobs: vec![0; workers],
            slots,
            worker_of: HashMap::new(),
            running: VecDeque::new(),
            next_client: 0,
            answered: 0,
            dismissed: 0,
        })
    }

    fn whole_list(&self) -> Input {
        Input::ListReceived {
            kind: ListKind::Whole,
            endpoints: (0..self.worker_jobs.len()).map(endpoint).collect(),
        }
    }

    fn report(&self, worker: usize) -> Report {
        let in_hand = self.worker_jobs[worker] as f64;
        let (free, in_hand) = ((self.slots - in_hand).max(0.0) as f32, in_hand as f32);
        Report {
            free_slots: Some(free),
            free_memory: None,
            queued_jobs: Some(0.0),
            active_jobs: Some(in_hand),
        }
    }

    /// Handles an input, and all inputs that follow from it at the same time.
    fn handle(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        let mut effects = Vec::new();
        while let Some(input) = inputs.pop_front() {
            self.core.handle(self.now, input, &mut effects);
            for effect in effects.drain(..) {
                self.apply(effect, &mut inputs);
            }
        }
    }

    /// Carries out an effect, and appends the inputs that follow from it.
    fn apply(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::OpenConnection { connection, address, .. } => {
                if let SocketAddr::V4(address) = address {
                    let [_, high, middle, low] = address.ip().octets();
                    self.worker_of.insert(connection, u32::from_be_bytes([0, high, middle, low]) as usize);
                }
                inputs.push_back(Input::ExecutorConnected { connection });
            }
            Effect::Send { connection, .. } => {
                if let Some(worker) = self.worker_of.get(&connection) {
                    self.worker_jobs[*worker] += 1;
                }
                self.running.push_back(connection);
            }
            Effect::Probe { connection } => {
                let report = self.worker_of.get(&connection).map(|worker| self.report(*worker));
                inputs.push_back(Input::Probed { connection, outcome: ProbeOutcome::Answered, report });
                inputs.push_back(Input::ConnectionReusable { connection, identified: true });
            }
            Effect::CloseConnection { connection } => {
                self.worker_of.remove(&connection);
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

    /// Advances the time by `span`, and handles the timers that expire.
    fn advance(&mut self, span: Nanos) {
        let end = self.now + span;
        while self.core.next_due() <= end {
            self.now = self.now.max(self.core.next_due());
            self.handle(Input::Tick);
        }
        self.now = end;
    }

    /// Submits a job of a new client. Returns the processor time in seconds until it was decided.
    fn submit(&mut self) -> f64 {
        self.next_client += 1;
        let client = self.next_client;
        self.handle(Input::ClientConnected { client });
        let id = Bytes::from(format!("job-{client}"));
        let request = Arc::new(ForwardedRequest { id, ..ForwardedRequest::default() });
        let timeout = (DEADLINE_MS * 1e6) as Nanos;
        let tenant = (client % TEAMS as ClientId) as u16;
        let submission = NewSubmission { product: 0, tenant, timeout, slots: 1.0, memory: 0.0, request };
        let before = thread_time_s();
        self.handle(Input::Submitted { client, submission });
        thread_time_s() - before
    }

    /// Completes the oldest job in hand.
    fn finish_oldest(&mut self) {
        let Some(connection) = self.running.pop_front() else { return };
        let Some(worker) = self.worker_of.get(&connection).copied() else { return };
        self.worker_jobs[worker] -= 1;
        let report = Some(self.report(worker));
        self.handle(Input::Ended { connection, outcome: Outcome::Completed, result: Bytes::new(), report });
        self.handle(Input::ConnectionReusable { connection, identified: true });
    }

    /// Advances to the next submission and submits it; the oldest job completes first if `in_hand` jobs are in hand.
    /// Returns the processor time in seconds until the submission was decided.
    fn step(&mut self, in_hand: usize) -> f64 {
        self.advance((SECOND as f64 / SUBMISSIONS_PER_S) as Nanos);
        if self.running.len() >= in_hand {
            self.finish_oldest();
        }
        self.submit()
    }
}

/// Measures a node of one size in this process.
///
/// # Errors
///
/// Returns an error if the settings are rejected, or if the resource usage of this process cannot be read.
pub fn measure(
    workers: usize,
    in_hand: usize,
    submissions: usize,
    lists: usize,
) -> Result<NodeCost, Box<dyn std::error::Error>> {
    let mut node = NodeDriver::new(workers, in_hand)?;
    let empty_bytes = Usage::own()?.resident_bytes;
    node.handle(node.whole_list());
    let listed_bytes = Usage::own()?.resident_bytes.saturating_sub(empty_bytes);
    for _ in 0..in_hand * MAX_RAMP_FACTOR {
        if node.running.len() >= in_hand {
            break;
        }
        node.step(in_hand);
    }
    let in_hand_bytes = Usage::own()?.resident_bytes.saturating_sub(empty_bytes);
    (node.answered, node.dismissed) = (0, 0);
    let (begin, mut decision_s) = (thread_time_s(), 0.0);
    for _ in 0..submissions {
        decision_s += node.step(in_hand);
    }
    let submission_s = thread_time_s() - begin;
    let inputs: Vec<Input> = (0..lists).map(|_| node.whole_list()).collect();
    let begin = thread_time_s();
    inputs.into_iter().for_each(|list| node.handle(list));
    let list_s = thread_time_s() - begin;
    let microseconds = |seconds: f64, count: usize| seconds * 1e6 / count.max(1) as f64;
    Ok(NodeCost {
        workers,
        wanted_in_hand: in_hand,
        in_hand: node.running.len(),
        answered: node.answered,
        dismissed: node.dismissed,
        submission_us: microseconds(submission_s, submissions),
        decision_us: microseconds(decision_s, submissions),
        list_us: microseconds(list_s, lists),
        listed_bytes,
        in_hand_bytes,
        descriptors: node.running.len() * 2,
    })
}

/// A child process that is killed when this is dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Measures a node of one size in a child process, which runs `lab`, the path of this program.
///
/// # Errors
///
/// Returns an error if the run must end, or if the child process fails.
pub fn measure_in_child(
    dispatch: &DispatchSection,
    workers: usize,
    in_hand: usize,
    lab: &Path,
    stop: &Stop,
) -> Result<NodeCost, Box<dyn std::error::Error>> {
    let arguments = [workers, in_hand, dispatch.submissions, dispatch.lists].map(|n| n.to_string());
    let mut command = Command::new(lab);
    command.arg("scale-node").args(arguments).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut child = ChildGuard(command.spawn()?);
    // The child writes one line, which fits into the pipe, so that it can exit before its output is read.
    let status = loop {
        stop.check()?;
        if let Some(status) = child.0.try_wait()? {
            break status;
        }
        std::thread::sleep(EXIT_POLL_INTERVAL);
    };
    let mut output = String::new();
    if let Some(out) = &mut child.0.stdout {
        out.read_to_string(&mut output)?;
    }
    if !status.success() {
        return Err(format!("the measuring process for {workers} workers ended with {status}").into());
    }
    Ok(serde_json::from_str(&output)?)
}
