//! The report of a run: measurements by size, lines fitted over the sizes, and whether the limits of the scale file
//! hold.

use std::fmt::Write as _;

use serde::Serialize;

use super::dispatch::NodeCost;
use super::file::Limits;
use super::fit::{Line, Point, fit};
use super::fleet::{Case, FleetCost};
use super::machine::Machine;

/// A line fitted to one quantity over the measured sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub quantity: String,
    /// What the size counts: members or workers.
    pub over: &'static str,
    pub points: Vec<Point>,
    #[serde(flatten)]
    pub line: Line,
}

/// A count for which the scale file sets a limit.
#[derive(Clone, Debug, Serialize)]
pub struct LimitCheck {
    /// Key of the limit in the scale file.
    pub limit: &'static str,
    pub at_most: f64,
    /// The measured count, or NaN if it was not measured.
    pub found: f64,
    pub holds: bool,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scale file's run.
    pub name: String,
    pub machine: Machine,
    pub fleets: Vec<FleetCost>,
    pub nodes: Vec<NodeCost>,
    pub slopes: Vec<Slope>,
    #[serde(rename = "judged")]
    pub limit_checks: Vec<LimitCheck>,
}

/// The name of a quantity, and its value for a fleet, if it was measured.
type FleetQuantity = (&'static str, fn(&FleetCost) -> Option<f64>);
/// The name of a quantity, and its value for a node.
type NodeQuantity = (&'static str, fn(&NodeCost) -> f64);

/// Quantities that are fitted over the number of members.
const FLEET_QUANTITIES: [FleetQuantity; 15] = [
    ("messages a member and second, idle", |f| Some(f.messages_in + f.messages_out)),
    ("bytes a member and second, idle", |f| Some(f.bytes_a_second())),
    ("messages a change and member", |f| f.median(Case::Calm, |c| c.member_stats.messages_a_member)),
    ("bytes a change and member", |f| f.median(Case::Calm, |c| c.member_stats.bytes_a_member)),
    ("leader, part of a core, idle", |f| Some(f.leader_core)),
    ("all coordinators, part of a core, idle", |f| Some(f.coordinators_core)),
    ("leader, ms of processor a change", |f| f.median(Case::Calm, |c| c.leader_ms)),
    ("coordinator, resident bytes", |f| Some(f.resident_bytes as f64)),
    ("coordinator, state bytes", |f| Some(f.state_bytes as f64)),
    ("ms to in force, p50, calm", |f| f.median(Case::Calm, |c| c.member_stats.p50_ms)),
    ("ms to in force, p99, calm", |f| f.median(Case::Calm, |c| c.member_stats.p99_ms)),
    ("ms to in force, last, calm", |f| f.median(Case::Calm, |c| c.member_stats.last_ms)),
    ("ms to in force, last, some dead", |f| f.median(Case::Dead, |c| c.member_stats.last_ms)),
    ("ms to in force, last, a zone lost", |f| f.median(Case::ZoneLost, |c| c.member_stats.last_ms)),
    ("simulated: leader's bytes a change", |f| f.simulated.map(|s| s.leader_bytes as f64)),
];

/// Quantities that are fitted over the number of workers, for each number of jobs in hand.
const NODE_QUANTITIES: [NodeQuantity; 5] = [
    ("us of processor a submission", |n| n.submission_us),
    ("us of processor a decision", |n| n.decision_us),
    ("us of processor a whole list", |n| n.list_us),
    ("resident bytes after the list", |n| n.listed_bytes as f64),
    ("resident bytes with jobs in hand", |n| n.in_hand_bytes as f64),
];

/// Fits a line to a quantity. Returns `None` if it was measured at fewer than two sizes.
fn slope(quantity: String, over: &'static str, points: Vec<Point>) -> Option<Slope> {
    fit(&points).map(|line| Slope { quantity, over, points, line })
}

fn slopes(fleets: &[FleetCost], nodes: &[NodeCost]) -> Vec<Slope> {
    let mut found = Vec::new();
    for (quantity, value) in FLEET_QUANTITIES {
        let point = |f: &FleetCost| Some(Point { size: f.members as f64, value: value(f)? });
        found.extend(slope(quantity.to_owned(), "members", fleets.iter().filter_map(point).collect()));
    }
    let mut in_hand: Vec<usize> = nodes.iter().map(|n| n.wanted_in_hand).collect();
    in_hand.sort_unstable();
    in_hand.dedup();
    for jobs in in_hand {
        for (quantity, value) in NODE_QUANTITIES {
            let matching = nodes.iter().filter(|n| n.wanted_in_hand == jobs);
            let points = matching.map(|n| Point { size: n.workers as f64, value: value(n) }).collect();
            found.extend(slope(format!("{quantity}, {jobs} in hand"), "workers", points));
        }
    }
    found
}

fn check_limits(limits: &Limits, fleets: &[FleetCost], slopes: &[Slope]) -> Vec<LimitCheck> {
    let largest = |value: &dyn Fn(&FleetCost) -> f64| fleets.iter().map(value).fold(f64::NAN, f64::max);
    let messages_a_change =
        |f: &FleetCost| f.median(Case::Calm, |c| c.member_stats.messages_a_member).unwrap_or(f64::NAN);
    let slope_of = |prefix: &str| {
        let first = slopes.iter().find(|s| s.quantity.starts_with(prefix));
        first.map_or(f64::NAN, |s| s.line.slope)
    };
    let counts = [
        ("messages-a-change-and-member", limits.messages_a_change_and_member, largest(&messages_a_change)),
        ("bytes-a-member-and-second", limits.bytes_a_member_and_second, largest(&FleetCost::bytes_a_second)),
        ("state-bytes-a-member", limits.state_bytes_a_member, slope_of("coordinator, state bytes")),
        ("state-bytes-a-worker", limits.state_bytes_a_worker, slope_of("resident bytes after the list")),
    ];
    // A count that was not measured is NaN, so that its limit does not hold.
    let check = |(limit, at_most, found): (&'static str, Option<f64>, f64)| {
        at_most.map(|at_most| LimitCheck { limit, at_most, found, holds: found <= at_most })
    };
    counts.into_iter().filter_map(check).collect()
}

impl Report {
    /// Fits lines to the measurements, and checks the limits.
    #[must_use]
    pub fn new(
        name: String,
        machine: Machine,
        limits: &Limits,
        fleets: Vec<FleetCost>,
        nodes: Vec<NodeCost>,
    ) -> Self {
        let slopes = slopes(&fleets, &nodes);
        let limit_checks = check_limits(limits, &fleets, &slopes);
        Self { name, machine, fleets, nodes, slopes, limit_checks }
    }

    /// Returns whether all limits of the scale file hold.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.limit_checks.iter().all(|j| j.holds)
    }

    /// Returns the report as text for people.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        for part in [self.fleets_text(), self.changes_text(), self.nodes_text(), self.slopes_text()] {
            out.push_str(&part);
        }
        for LimitCheck { limit, at_most, found, holds } in &self.limit_checks {
            let verdict = if *holds { "holds" } else { "BROKEN" };
            let _ = writeln!(out, "limit {limit}: {found:.1}, {at_most} at most: {verdict}");
        }
        out
    }

    fn fleets_text(&self) -> String {
        let mut out = String::new();
        if !self.fleets.is_empty() {
            out.push_str(
                "members  join s  a member and second: msgs in/out  bytes in/out  leader core  all core  \
                 resident MB  threads  fds  state bytes  hollow core/1000  lost  refused\n",
            );
        }
        for f in &self.fleets {
            let _ = writeln!(
                out,
                "{:>7}  {:>6.1}  {:>31}  {:>12}  {:>11.4}  {:>8.4}  {:>11.1}  {:>7}  {:>3}  {:>11}  {:>16.4}  {:>4}  {:>7}",
                f.members,
                f.join_ms / 1e3,
                format!("{:.2}/{:.2}", f.messages_in, f.messages_out),
                format!("{:.0}/{:.0}", f.bytes_in, f.bytes_out),
                f.leader_core,
                f.coordinators_core,
                f.resident_bytes as f64 / 1e6,
                f.threads,
                f.descriptors,
                f.state_bytes,
                f.member_core_thousandths,
                f.sessions_lost,
                f.refused,
            );
            for node in &f.real_nodes {
                let _ = writeln!(
                    out,
                    "         a real node: {:.2} core/1000, {:.1} MB, {} threads",
                    node.core_thousandths,
                    node.resident_bytes as f64 / 1e6,
                    node.threads
                );
            }
        }
        out
    }

    fn changes_text(&self) -> String {
        let mut out = String::new();
        if !self.fleets.is_empty() {
            out.push_str(
                "members  case      silent  ms: pending  staged    first      p50      p99     last  fenced   return  \
                 msgs/member  bytes/member  leader cpu ms  all cpu ms\n",
            );
        }
        for f in &self.fleets {
            for c in &f.changes {
                let p = &c.member_stats;
                let _ = writeln!(
                    out,
                    "{:>7}  {:<8}  {:>6}  {:>11.1}  {:>6.1}  {:>7.1}  {:>7.1}  {:>7.1}  {:>7.1}  {:>6.0}  {:>7.1}  {:>11.2}  {:>12.0}  {:>13.0}  {:>10.0}",
                    f.members,
                    format!("{:?}", c.case).to_lowercase(),
                    c.silent,
                    c.pending_ms,
                    p.all_staged_ms,
                    p.first_in_force_ms,
                    p.p50_ms,
                    p.p99_ms,
                    p.last_ms,
                    p.silent_fenced_ms,
                    c.return_ms,
                    p.messages_a_member,
                    p.bytes_a_member,
                    c.leader_ms,
                    c.coordinators_ms,
                );
            }
        }
        out
    }

    fn nodes_text(&self) -> String {
        let mut out = String::new();
        if !self.nodes.is_empty() {
            out.push_str(
                "workers  in hand (wanted)  answered  dismissed  us a submission  a decision  us a list  \
                 listed KB  in hand KB  descriptors\n",
            );
        }
        for n in &self.nodes {
            let _ = writeln!(
                out,
                "{:>7}  {:>16}  {:>8}  {:>9}  {:>15.1}  {:>10.1}  {:>9.1}  {:>9.0}  {:>10.0}  {:>11}",
                n.workers,
                format!("{} ({})", n.in_hand, n.wanted_in_hand),
                n.answered,
                n.dismissed,
                n.submission_us,
                n.decision_us,
                n.list_us,
                n.listed_bytes as f64 / 1e3,
                n.in_hand_bytes as f64 / 1e3,
                n.descriptors,
            );
        }
        out
    }

    fn slopes_text(&self) -> String {
        let mut out = String::new();
        for Slope { quantity, over, points, line } in &self.slopes {
            let bend = line.bend.map_or(String::new(), |ratio| {
                format!("  BENDS: the upper half's slope is {ratio:.2} times the lower half's")
            });
            let _ = writeln!(
                out,
                "{quantity}: {:.4} + {:.6} x {over}, residual {:.4} at most{bend}",
                line.base,
                line.slope,
                line.largest_residual()
            );
            let with_residuals = points.iter().zip(&line.residuals);
            let values = with_residuals.map(|(p, r)| format!("{}: {:.4} ({r:+.4})", p.size, p.value));
            let _ = writeln!(out, "    {}", values.collect::<Vec<_>>().join("  "));
        }
        out
    }
}
