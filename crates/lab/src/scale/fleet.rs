//! Measures a fleet of one size, with real coordinators and in-process members: its cost while nothing changes, and its
//! policy changes while all members respond, while some are silent, and while a zone is lost.

use std::path::Path;
use std::time::{Duration, Instant};

use linestack_accord::{Record, State};
use serde::Serialize;

use super::coordinators::Coordinators;
use super::file::MembersSection;
use super::machine::Usage;
use super::members::{InProcessMembers, MemberChangeStats, Traffic, incarnation, member_name};
use super::nodes::{self, RealNode, RealNodes};
use super::operator::propose;
use super::policy;
use super::stop::Stop;
use crate::consensus_sim::{self, ChangeCost, SimulationConfig};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// Time limit, in addition to one lease, until all members serve under a version.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum time of a message one way in the simulated fleet.
const SIMULATED_LATENCY_NS: u64 = 500_000;
/// Time of a write to disk in the simulated fleet.
const SIMULATED_SYNC_NS: u64 = 2_000_000;

/// The members that respond during a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// All members respond.
    Calm,
    /// Some members fell silent just before the change.
    Dead,
    /// All members of a zone fell silent just before the change.
    ZoneLost,
}

/// Measurement of one policy change.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    pub case: Case,
    /// Number of silent members.
    pub silent: usize,
    /// Time from the proposal until the answer that the change is pending.
    pub pending_ms: f64,
    #[serde(flatten)]
    pub member_stats: MemberChangeStats,
    /// Processor time of all coordinators together.
    pub coordinators_ms: f64,
    /// Processor time of the coordinator that used the most, taken to be the leader.
    pub leader_ms: f64,
    /// Time from the return of the silent members until all members serve under the new version.
    pub return_ms: f64,
}

/// Cost of a fleet of one size.
#[derive(Clone, Debug, Serialize)]
pub struct FleetCost {
    /// Number of in-process members.
    pub members: usize,
    /// Time from the first connection until all members serve.
    pub join_ms: f64,
    /// Messages that a member receives per second while nothing changes.
    pub messages_in: f64,
    /// Messages that a member sends per second while nothing changes.
    pub messages_out: f64,
    /// Bytes that a member receives per second while nothing changes.
    pub bytes_in: f64,
    /// Bytes that a member sends per second while nothing changes.
    pub bytes_out: f64,
    /// Processor time of this process for each member while nothing changes, in thousandths of a core.
    pub member_core_thousandths: f64,
    /// Processor time of the coordinator that uses the most, taken to be the leader, while nothing changes, in cores.
    pub leader_core: f64,
    /// Processor time of all coordinators while nothing changes, in cores.
    pub coordinators_core: f64,
    /// Largest resident memory of a coordinator, at the end.
    pub resident_bytes: u64,
    /// Largest number of threads of a coordinator, at the end.
    pub threads: u64,
    /// Largest number of open file descriptors of a coordinator, at the end.
    pub descriptors: u64,
    /// Size of a coordinator's record as JSON.
    pub state_bytes: usize,
    /// Resident memory of this process, with all in-process members, at the end.
    #[serde(rename = "hollow_resident_bytes")]
    pub in_process_resident_bytes: u64,
    /// Number of notices for the operator, such as a refusal by the coordinators.
    pub refused: u64,
    /// Number of sessions that were lost during the run.
    pub sessions_lost: u64,
    /// Real nodes, in addition to the in-process members, while nothing changes.
    pub real_nodes: Vec<RealNode>,
    pub changes: Vec<Change>,
    /// A change with the same state machines in simulated time. Counts the messages between coordinators as well.
    pub simulated: Option<ChangeCost>,
}

impl FleetCost {
    /// Returns the bytes that a member sends and receives per second while nothing changes.
    #[must_use]
    pub fn bytes_a_second(&self) -> f64 {
        self.bytes_in + self.bytes_out
    }

    /// Returns the median of a value over the changes of one case.
    #[must_use]
    pub fn median(&self, case: Case, value: impl Fn(&Change) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self.changes.iter().filter(|c| c.case == case).map(value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }
}

struct Fleet<'a> {
    config: &'a MembersSection,
    coordinators: Coordinators,
    members: InProcessMembers,
    /// The version of the last change that was proposed.
    version: u64,
    stop: &'a Stop,
}

/// Returns the size of a coordinator's record as JSON, for a fleet of a size.
#[must_use]
pub fn state_bytes(members: usize, policy_bytes: usize) -> usize {
    let mut state = State::initial(policy::policy_text(1, policy_bytes));
    state.members = (0..members).map(|number| (member_name(number), incarnation(number))).collect();
    let record = Record { state, ..Record::default() };
    serde_json::to_vec(&record).map_or(0, |text| text.len())
}

/// Returns the processor time between two readings that are `seconds` apart, in cores: of the process that used the
/// most, and of all.
fn cores_used(before: &[Usage], after: &[Usage], seconds: f64) -> (f64, f64) {
    let used_s: Vec<f64> = before.iter().zip(after).map(|(b, a)| a.processor_s - b.processor_s).collect();
    let largest_s = used_s.iter().copied().fold(0.0, f64::max);
    (largest_s / seconds, used_s.iter().sum::<f64>() / seconds)
}

impl Fleet<'_> {
    /// Runs until all members serve under the current version. Returns the time that this takes, in milliseconds.
    fn settle(&mut self) -> Fallible<f64> {
        let begin = Instant::now();
        let timeout = SETTLE_TIMEOUT + Duration::from_millis(self.config.lease_ms);
        self.members.run_until(begin + timeout, self.stop, InProcessMembers::all_settled)?;
        if !self.members.all_settled() {
            return Err(
                format!("not all members serve under version {} within {timeout:?}", self.version).into()
            );
        }
        Ok(begin.elapsed().as_secs_f64() * 1e3)
    }

    /// Proposes a change, and measures it until all members serve under it.
    fn measure_change(&mut self, case: Case, silent: usize) -> Fallible<Change> {
        let (base, addresses) = (self.version, self.coordinators.addresses.clone());
        let text = policy::policy_text(base + 1, self.config.policy_bytes);
        let before = self.coordinators.usage()?;
        self.version += 1;
        self.members.begin_change(self.version);
        let operator = std::thread::spawn(move || propose(&addresses, base, &text));
        self.settle()?;
        let proposal = operator.join().map_err(|_| "the thread that proposed the change panicked")??;
        let after = self.coordinators.usage()?;
        let (leader_s, all_s) = cores_used(&before, &after, 1.0);
        Ok(Change {
            case,
            silent,
            pending_ms: (proposal.pending_at - proposal.sent_at) as f64 / 1e6,
            member_stats: self.members.change_stats(proposal.sent_at),
            coordinators_ms: all_s * 1e3,
            leader_ms: leader_s * 1e3,
            return_ms: 0.0,
        })
    }

    /// Measures a change while some members are silent, and then the return of these.
    fn measure_change_with_silent(
        &mut self,
        case: Case,
        is_silent: impl Fn(usize) -> bool,
        count: usize,
    ) -> Fallible<Change> {
        let silent = (0..count).filter(|number| is_silent(*number)).count();
        self.members.set_silent(&is_silent);
        let mut change = self.measure_change(case, silent)?;
        self.members.set_silent(|_| false);
        change.return_ms = self.settle()?;
        Ok(change)
    }

    /// Runs the members for the time `span`.
    fn run_for(&mut self, span: Duration) -> Fallible<()> {
        self.members.run_until(Instant::now() + span, self.stop, |_| false)
    }
}

/// Measures a fleet of `count` in-process members.
///
/// # Errors
///
/// Returns an error if the run must end, if a process fails, or if the members do not settle in time.
pub fn measure(config: &MembersSection, count: usize, program: &Path, stop: &Stop) -> Fallible<FleetCost> {
    let folder = tempfile::tempdir()?;
    let coordinators = Coordinators::start(config, program, folder.path())?;
    // Members renew their lease after each third of it. Their first requests are spread evenly over that time.
    let renewal_interval = Duration::from_millis(config.lease_ms / 3);
    let members = InProcessMembers::new(count, &coordinators.addresses, renewal_interval);
    let mut fleet = Fleet { config, coordinators, members, version: 1, stop };
    let join_ms = fleet.settle()?;
    let real_nodes =
        RealNodes::start(config.real_nodes, program, folder.path(), &fleet.coordinators.addresses)?;
    // Members renew their lease when they join. After one interval their requests are spread evenly again.
    fleet.run_for(renewal_interval)?;

    let (traffic_before, usage_before, own_before) =
        (fleet.members.traffic(), fleet.coordinators.usage()?, Usage::own()?);
    let real_before = real_nodes.usage()?;
    let begin = Instant::now();
    fleet.run_for(config.idle)?;
    let seconds = begin.elapsed().as_secs_f64();
    let traffic: Traffic = fleet.members.traffic().since(traffic_before);
    let (leader_core, coordinators_core) = cores_used(&usage_before, &fleet.coordinators.usage()?, seconds);
    let real_node_usage = nodes::usage_between(&real_before, &real_nodes.usage()?, seconds);
    let own_core = (Usage::own()?.processor_s - own_before.processor_s) / seconds;

    let mut changes = Vec::new();
    for _ in 0..config.changes {
        changes.push(fleet.measure_change(Case::Calm, 0)?);
        fleet.run_for(renewal_interval)?;
    }
    // The dead members are spread evenly over all member numbers.
    if let Some(step) = count.checked_div(config.dead) {
        let is_dead = |number: usize| number.is_multiple_of(step) && number / step < config.dead;
        changes.push(fleet.measure_change_with_silent(Case::Dead, is_dead, count)?);
    }
    if config.zones > 0 {
        let in_zone = |number: usize| number.is_multiple_of(config.zones);
        changes.push(fleet.measure_change_with_silent(Case::ZoneLost, in_zone, count)?);
    }

    let usage_at_end = fleet.coordinators.usage()?;
    let largest = |value: &dyn Fn(&Usage) -> u64| usage_at_end.iter().map(value).max().unwrap_or(0);
    let per_member = |total: u64| total as f64 / seconds / count as f64;
    Ok(FleetCost {
        members: count,
        join_ms,
        messages_in: per_member(traffic.messages_in),
        messages_out: per_member(traffic.messages_out),
        bytes_in: per_member(traffic.bytes_in),
        bytes_out: per_member(traffic.bytes_out),
        member_core_thousandths: own_core / count as f64 * 1e3,
        leader_core,
        coordinators_core,
        resident_bytes: largest(&|u| u.resident_bytes),
        threads: largest(&|u| u.threads),
        descriptors: largest(&|u| u.descriptors),
        state_bytes: state_bytes(count, config.policy_bytes),
        in_process_resident_bytes: Usage::own()?.resident_bytes,
        refused: fleet.members.refused,
        sessions_lost: fleet.members.sessions_lost,
        real_nodes: real_node_usage,
        changes,
        simulated: simulate(config, count),
    })
}

/// Simulates a change in a fleet of the same size.
fn simulate(config: &MembersSection, count: usize) -> Option<ChangeCost> {
    let simulation_config = SimulationConfig {
        members: count,
        coordinators: config.voters,
        silent_share: 0.0,
        lease: config.lease_ms * 1_000_000,
        hold: config.hold_ms * 1_000_000,
        latency: SIMULATED_LATENCY_NS,
        sync_latency: SIMULATED_SYNC_NS,
        policy_bytes: policy::policy_text(1, config.policy_bytes).len(),
    };
    consensus_sim::simulate_change(&simulation_config, 1)
}
