//! Tests the history checker with a correct history, and with one violation of each kind.

use linestack_history::{Ended, HistoryEvent, Line};
use linestack_rig::check::{Guarantees, Violation, find_violations};
use rstest::rstest;

const MS: u64 = 1_000_000;

fn line(ms: u64, by: &str, what: HistoryEvent) -> Line {
    Line::new(ms * MS, by, 1, what)
}

fn decided(request: &str, version: u64) -> HistoryEvent {
    HistoryEvent::Decided { request: request.into(), version, digest: version as u32 }
}

fn granted(round: u64, version: u64) -> HistoryEvent {
    HistoryEvent::Granted { member: "n0".into(), round, version }
}

fn leased(version: u64, until: u64) -> HistoryEvent {
    HistoryEvent::Leased { version, until: until * MS }
}

fn asked(id: &str, node: &str) -> HistoryEvent {
    HistoryEvent::Asked { id: id.into(), key: format!("key-{id}"), node: node.into(), one_shot: true }
}

fn answered(id: &str, version: u64) -> HistoryEvent {
    HistoryEvent::Answered { id: id.into(), version, ended: Ended::Satisfied }
}

fn taken(id: &str, version: u64) -> HistoryEvent {
    HistoryEvent::Taken { id: id.into(), version }
}

fn took(id: &str, key: &str) -> HistoryEvent {
    HistoryEvent::Took { id: id.into(), key: key.into(), executor: "e0".into() }
}

fn told(id: &str) -> HistoryEvent {
    HistoryEvent::Told { id: id.into(), status: 200 }
}

fn did(deed: &str, to: &str) -> HistoryEvent {
    HistoryEvent::Did { deed: deed.into(), to: to.into() }
}

fn heard(outcome: &str) -> HistoryEvent {
    HistoryEvent::Heard { request: "r".into(), outcome: outcome.into() }
}

fn unknown(ms: u64, id: &str) -> Line {
    line(ms, "clients", HistoryEvent::Unknown { id: id.into() })
}

/// A history without violations: one node and two versions, the second of which is decided at 1,000 ms. Leases last
/// about 500 ms.
fn correct_history() -> Vec<Line> {
    let (n, c) = ("n0", "c0");
    vec![
        line(1, c, HistoryEvent::Established { round: 1 }),
        line(2, c, decided("", 1)),
        line(3, c, granted(1, 1)),
        line(4, n, HistoryEvent::Active { version: 1, digest: 1 }),
        line(4, n, leased(1, 500)),
        line(10, "clients", asked("a", n)),
        line(11, n, taken("a", 1)),
        line(12, n, HistoryEvent::Sent { id: "a".into(), version: 1 }),
        line(13, "executors", took("a", "key-a")),
        line(20, n, answered("a", 1)),
        line(21, "clients", told("a")),
        line(400, n, leased(1, 1200)),
        line(900, c, HistoryEvent::Pending { request: "r".into(), version: 2 }),
        line(950, n, taken("b", 1)),
        line(1000, c, decided("r", 2)),
        line(1010, "operator", heard("decided")),
        line(1100, c, granted(1, 2)),
        line(1110, n, HistoryEvent::Active { version: 2, digest: 2 }),
        line(1110, n, leased(2, 1600)),
        // Accepted under the old policy, and answered under it.
        line(1120, n, answered("b", 1)),
        line(1130, n, taken("c", 2)),
        line(1140, n, answered("c", 2)),
    ]
}

#[rstest]
#[case::correct(vec![], None)]
#[case::old_version(vec![line(1590, "n0", taken("d", 1)), line(1591, "n0", answered("d", 1))], Some(Violation::OldVersion))]
#[case::applied_before_its_decision(vec![line(955, "n0", HistoryEvent::Active { version: 2, digest: 2 })], Some(Violation::Undecided))]
#[case::lease_under_an_undecided_version(vec![line(960, "c0", granted(1, 2))], Some(Violation::Undecided))]
#[case::two_contents(
    vec![line(1111, "c1", HistoryEvent::Decided { request: "r".into(), version: 2, digest: 9 })],
    Some(Violation::TwoOutcomes)
)]
#[case::two_outcomes(
    vec![line(1111, "c1", HistoryEvent::Dropped { request: "r".into(), version: 2, why: "x".into() })],
    Some(Violation::TwoOutcomes)
)]
#[case::other_content_at_a_node(
    vec![line(1200, "n0", HistoryEvent::Active { version: 2, digest: 3 })],
    Some(Violation::TwoOutcomes)
)]
#[case::operator_got_another_outcome(vec![line(1300, "operator", heard("dropped"))], Some(Violation::WrongWord))]
#[case::refused_and_decided(vec![line(500, "operator", heard("refused"))], Some(Violation::WrongWord))]
#[case::unknown_is_allowed(vec![line(500, "operator", heard("unknown"))], None)]
#[case::cold_executor_overloaded(
    vec![line(1200, "executors", HistoryEvent::PushedOver { executor: "e0".into() })],
    Some(Violation::PushedOver)
)]
#[case::old_coordinator(
    vec![line(1150, "c1", HistoryEvent::Established { round: 2 }), line(1160, "c0", granted(1, 2))],
    Some(Violation::OldCoordinator)
)]
#[case::expired_lease(vec![line(1700, "n0", taken("d", 2)), line(1701, "n0", answered("d", 2))], Some(Violation::Unfenced))]
#[case::without_a_lease(vec![line(30, "n1", taken("d", 1)), line(31, "n1", answered("d", 1))], Some(Violation::Unfenced))]
#[case::answered_under_another_version(
    vec![line(1140, "n0", taken("d", 2)), line(1141, "n0", answered("d", 1))],
    Some(Violation::VersionChanged)
)]
#[case::sent_without_being_accepted(
    vec![line(30, "n0", HistoryEvent::Sent { id: "z".into(), version: 1 })],
    Some(Violation::VersionChanged)
)]
#[case::answered_twice(vec![line(1150, "n0", answered("c", 2))], Some(Violation::AnsweredTwice))]
#[case::sent_after_its_answer(
    vec![line(25, "n0", HistoryEvent::Sent { id: "a".into(), version: 1 })],
    Some(Violation::AnsweredTwice)
)]
#[case::client_got_two_answers(vec![line(22, "clients", told("a"))], Some(Violation::AnsweredTwice))]
#[case::unanswered(vec![line(1200, "n0", taken("d", 2))], Some(Violation::Unanswered))]
#[case::killed_before_its_answer(
    vec![line(1200, "n0", taken("d", 2)), line(1250, "rig", did("kill", "n0"))],
    None
)]
#[case::no_answer(vec![line(1200, "clients", asked("d", "n0")), unknown(1300, "d")], Some(Violation::NoAnswer))]
#[case::no_answer_over_a_cut_link(
    vec![
        line(1200, "clients", asked("d", "n0")),
        line(1210, "rig", did("cut", "k>n0")),
        line(1250, "rig", did("heal", "k>n0")),
        unknown(1300, "d"),
    ],
    None
)]
#[case::started_twice(vec![line(40, "executors", took("a2", "key-a"))], Some(Violation::Twice))]
#[case::started_again_after_one_that_never_began(
    vec![line(14, "executors", HistoryEvent::Unbegun { id: "a".into() }), line(40, "executors", took("a2", "key-a"))],
    None
)]
fn violations_are_found(#[case] additional: Vec<Line>, #[case] violation: Option<Violation>) {
    let lines = [correct_history(), additional].concat();
    let guarantees = Guarantees {
        coordinated: true,
        stale_version_limit_ns: 500 * MS,
        strict: true,
        remembered: false,
        retried_when_unknown: false,
    };
    let found: Vec<Violation> =
        find_violations(&lines, &guarantees).into_iter().map(|f| f.violation).collect();
    match violation {
        None => assert_eq!(found, []),
        Some(violation) => assert!(found.contains(&violation), "{found:?}"),
    }
}
