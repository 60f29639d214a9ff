//! A fleet of one size: real coordinators, hollow members, and what they spend while nothing changes, in a change, with
//! members dead and with a zone lost.

use std::path::Path;
use std::time::{Duration, Instant};

use linestack_accord::{Record, State};
use serde::Serialize;

use super::coordinators::Coordinators;
use super::file::MembersSection;
use super::machine::Usage;
use super::members::{Hollow, Passed, Traffic, incarnation, name};
use super::nodes::{self, Nodes, RealNode};
use super::operator::propose;
use super::policy;
use super::stop::Stop;
use crate::consensus_sim::{self, ChangeCost, SimulationConfig};

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// All members are let in, and a change takes hold, within a lease and this.
const PATIENCE: Duration = Duration::from_secs(60);
/// What the simulated fleet takes for a message one way, and for a write to disk.
const LATENCY: u64 = 500_000;
const SYNC: u64 = 2_000_000;

/// Who is there while a change is put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    Calm,
    /// Some members fell silent just before.
    Dead,
    /// All members of a zone did.
    ZoneLost,
}

/// One change.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    pub case: Case,
    pub silent: usize,
    /// From when it was put until it was written down that it is pending.
    pub pending_ms: f64,
    #[serde(flatten)]
    pub passed: Passed,
    /// Processor time of all coordinators together, and of the one that spent most.
    pub coordinators_ms: f64,
    pub leader_ms: f64,
    /// From when the silent ones were there again until all served.
    pub return_ms: f64,
}

/// What a fleet of one size costs.
#[derive(Clone, Debug, Serialize)]
pub struct FleetCost {
    pub members: usize,
    pub join_ms: f64,
    /// A member's, in a second in which nothing changes.
    pub messages_in: f64,
    pub messages_out: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
    /// Of a core, in a thousandth: a hollow member's part of this process.
    pub member_core_thousandths: f64,
    /// Of a core: the coordinator that spends most, and all together, while nothing changes.
    pub leader_core: f64,
    pub coordinators_core: f64,
    /// Largest of all coordinators, at the end.
    pub resident_bytes: u64,
    pub threads: u64,
    pub descriptors: u64,
    /// What a coordinator keeps, as JSON.
    pub state_bytes: usize,
    pub hollow_resident_bytes: u64,
    pub refused: u64,
    pub sessions_lost: u64,
    /// Real nodes beside the hollow members, while nothing changes.
    pub real_nodes: Vec<RealNode>,
    pub changes: Vec<Change>,
    /// The same state machines in simulated time, coordinators' messages among each other counted as well.
    pub simulated: Option<ChangeCost>,
}

impl FleetCost {
    #[must_use]
    pub fn bytes_a_second(&self) -> f64 {
        self.bytes_in + self.bytes_out
    }

    /// A figure of the changes of one kind, in the middle.
    #[must_use]
    pub fn median(&self, case: Case, of: impl Fn(&Change) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self.changes.iter().filter(|c| c.case == case).map(of).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }
}

struct Fleet<'a> {
    members: &'a MembersSection,
    coordinators: Coordinators,
    hollow: Hollow,
    version: u64,
    stop: &'a Stop,
}

/// Bytes of what coordinators keep of a fleet of this size.
#[must_use]
pub fn state_bytes(members: usize, policy_bytes: usize) -> usize {
    let mut state = State::initial(policy::policy_text(1, policy_bytes));
    state.members = (0..members).map(|number| (name(number), incarnation(number))).collect();
    let record = Record { state, ..Record::default() };
    serde_json::to_vec(&record).map_or(0, |text| text.len())
}

fn core_part(before: &[Usage], after: &[Usage], seconds: f64) -> (f64, f64) {
    let spent: Vec<f64> = before.iter().zip(after).map(|(b, a)| a.processor_s - b.processor_s).collect();
    let most = spent.iter().copied().fold(0.0, f64::max);
    (most / seconds, spent.iter().sum::<f64>() / seconds)
}

impl Fleet<'_> {
    fn settle(&mut self) -> Fallible<f64> {
        let begin = Instant::now();
        let patience = PATIENCE + Duration::from_millis(self.members.lease_ms);
        self.hollow.drive(begin + patience, self.stop, Hollow::settled)?;
        if !self.hollow.settled() {
            return Err(format!("not all members serve under version {}", self.version).into());
        }
        Ok(begin.elapsed().as_secs_f64() * 1e3)
    }

    fn change(&mut self, case: Case, silent: usize) -> Fallible<Change> {
        let (base, addresses) = (self.version, self.coordinators.addresses.clone());
        let text = policy::policy_text(base + 1, self.members.policy_bytes);
        let before = self.coordinators.usage()?;
        self.version += 1;
        self.hollow.expect(self.version);
        let asking = std::thread::spawn(move || propose(&addresses, base, &text));
        self.settle()?;
        let put = asking.join().map_err(|_| "the operator's part failed")??;
        let after = self.coordinators.usage()?;
        let (leader_s, all_s) = core_part(&before, &after, 1.0);
        Ok(Change {
            case,
            silent,
            pending_ms: (put.pending_at - put.sent_at) as f64 / 1e6,
            passed: self.hollow.passed(put.sent_at),
            coordinators_ms: all_s * 1e3,
            leader_ms: leader_s * 1e3,
            return_ms: 0.0,
        })
    }

    /// A change while some are silent, and then their return.
    fn change_without(
        &mut self,
        case: Case,
        is_silent: impl Fn(usize) -> bool,
        count: usize,
    ) -> Fallible<Change> {
        let silent = (0..count).filter(|number| is_silent(*number)).count();
        self.hollow.silence(&is_silent);
        let mut change = self.change(case, silent)?;
        self.hollow.silence(|_| false);
        change.return_ms = self.settle()?;
        Ok(change)
    }

    fn calm_for(&mut self, span: Duration) -> Fallible<()> {
        self.hollow.drive(Instant::now() + span, self.stop, |_| false)
    }
}

/// Measures a fleet of one size.
///
/// # Errors
///
/// The run is to end, or something did not work.
pub fn measure(members: &MembersSection, count: usize, program: &Path, stop: &Stop) -> Fallible<FleetCost> {
    let folder = tempfile::tempdir()?;
    let coordinators = Coordinators::start(members, program, folder.path())?;
    // Members ask at each third of a lease; they begin evenly over it.
    let spread = Duration::from_millis(members.lease_ms / 3);
    let hollow = Hollow::new(count, &coordinators.addresses, spread);
    let mut fleet = Fleet { members, coordinators, hollow, version: 1, stop };
    let join_ms = fleet.settle()?;
    let real = Nodes::start(members.real_nodes, program, folder.path(), &fleet.coordinators.addresses)?;
    // Members ask anew when they are let in; after one round each asks at its own time again.
    fleet.calm_for(spread)?;

    let (traffic, usage, own) = (fleet.hollow.traffic(), fleet.coordinators.usage()?, Usage::own()?);
    let real_usage = real.usage()?;
    let begin = Instant::now();
    fleet.calm_for(members.idle)?;
    let seconds = begin.elapsed().as_secs_f64();
    let traffic: Traffic = fleet.hollow.traffic().since(traffic);
    let (leader_core, coordinators_core) = core_part(&usage, &fleet.coordinators.usage()?, seconds);
    let real_nodes = nodes::spent(&real_usage, &real.usage()?, seconds);
    let own_core = (Usage::own()?.processor_s - own.processor_s) / seconds;

    let mut changes = Vec::new();
    for _ in 0..members.changes {
        changes.push(fleet.change(Case::Calm, 0)?);
        fleet.calm_for(Duration::from_millis(members.lease_ms / 3))?;
    }
    // The dead are spread over all coordinators and places.
    if let Some(step) = count.checked_div(members.dead) {
        let is_dead = |number: usize| number.is_multiple_of(step) && number / step < members.dead;
        changes.push(fleet.change_without(Case::Dead, is_dead, count)?);
    }
    if members.zones > 0 {
        let in_zone = |number: usize| number.is_multiple_of(members.zones);
        changes.push(fleet.change_without(Case::ZoneLost, in_zone, count)?);
    }

    let last = fleet.coordinators.usage()?;
    let largest = |of: &dyn Fn(&Usage) -> u64| last.iter().map(of).max().unwrap_or(0);
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
        state_bytes: state_bytes(count, members.policy_bytes),
        hollow_resident_bytes: Usage::own()?.resident_bytes,
        refused: fleet.hollow.refused,
        sessions_lost: fleet.hollow.sessions_lost,
        real_nodes,
        changes,
        simulated: simulated(members, count),
    })
}

fn simulated(members: &MembersSection, count: usize) -> Option<ChangeCost> {
    let size = SimulationConfig {
        members: count,
        coordinators: members.voters,
        silent_share: 0.0,
        lease: members.lease_ms * 1_000_000,
        hold: members.hold_ms * 1_000_000,
        latency: LATENCY,
        sync_latency: SYNC,
        policy_bytes: policy::policy_text(1, members.policy_bytes).len(),
    };
    consensus_sim::simulate_change(&size, 1)
}
