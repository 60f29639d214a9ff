//! The checker is proved by histories that are sound, and by each way in which one can be broken.

use linestack_history::{Ended, HistoryEvent, Line};
use linestack_rig::check::{Broken, Promise, check};
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

/// One node, two versions, the second decided at 1,000 ms; leaves to serve last 500 ms.
fn sound() -> Vec<Line> {
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
        // Taken under the old terms, and finished under them.
        line(1120, n, answered("b", 1)),
        line(1130, n, taken("c", 2)),
        line(1140, n, answered("c", 2)),
    ]
}

#[rstest]
#[case::sound(vec![], None)]
#[case::old_version(vec![line(1590, "n0", taken("d", 1)), line(1591, "n0", answered("d", 1))], Some(Broken::OldVersion))]
#[case::before_it_was_decided(vec![line(955, "n0", HistoryEvent::Active { version: 2, digest: 2 })], Some(Broken::Undecided))]
#[case::let_serve_undecided(vec![line(960, "c0", granted(1, 2))], Some(Broken::Undecided))]
#[case::two_texts(
    vec![line(1111, "c1", HistoryEvent::Decided { request: "r".into(), version: 2, digest: 9 })],
    Some(Broken::TwoOutcomes)
)]
#[case::two_ends(
    vec![line(1111, "c1", HistoryEvent::Dropped { request: "r".into(), version: 2, why: "x".into() })],
    Some(Broken::TwoOutcomes)
)]
#[case::another_text_at_a_node(
    vec![line(1200, "n0", HistoryEvent::Active { version: 2, digest: 3 })],
    Some(Broken::TwoOutcomes)
)]
#[case::told_otherwise(vec![line(1300, "operator", heard("dropped"))], Some(Broken::WrongWord))]
#[case::refused_and_decided(vec![line(500, "operator", heard("refused"))], Some(Broken::WrongWord))]
#[case::unknown_is_no_lie(vec![line(500, "operator", heard("unknown"))], None)]
#[case::pushed_over(
    vec![line(1200, "executors", HistoryEvent::PushedOver { executor: "e0".into() })],
    Some(Broken::PushedOver)
)]
#[case::old_coordinator(
    vec![line(1150, "c1", HistoryEvent::Established { round: 2 }), line(1160, "c0", granted(1, 2))],
    Some(Broken::OldCoordinator)
)]
#[case::unfenced(vec![line(1700, "n0", taken("d", 2)), line(1701, "n0", answered("d", 2))], Some(Broken::Unfenced))]
#[case::without_leave(vec![line(30, "n1", taken("d", 1)), line(31, "n1", answered("d", 1))], Some(Broken::Unfenced))]
#[case::changed_on_the_way(
    vec![line(1140, "n0", taken("d", 2)), line(1141, "n0", answered("d", 1))],
    Some(Broken::VersionChanged)
)]
#[case::sent_without_being_taken(
    vec![line(30, "n0", HistoryEvent::Sent { id: "z".into(), version: 1 })],
    Some(Broken::VersionChanged)
)]
#[case::answered_twice(vec![line(1150, "n0", answered("c", 2))], Some(Broken::AnsweredTwice))]
#[case::sent_after_its_answer(
    vec![line(25, "n0", HistoryEvent::Sent { id: "a".into(), version: 1 })],
    Some(Broken::AnsweredTwice)
)]
#[case::told_twice(vec![line(22, "clients", told("a"))], Some(Broken::AnsweredTwice))]
#[case::unanswered(vec![line(1200, "n0", taken("d", 2))], Some(Broken::Unanswered))]
#[case::killed_before_its_answer(
    vec![line(1200, "n0", taken("d", 2)), line(1250, "rig", did("kill", "n0"))],
    None
)]
#[case::no_answer(vec![line(1200, "clients", asked("d", "n0")), unknown(1300, "d")], Some(Broken::NoAnswer))]
#[case::no_answer_over_a_cut_way(
    vec![
        line(1200, "clients", asked("d", "n0")),
        line(1210, "rig", did("cut", "k>n0")),
        line(1250, "rig", did("heal", "k>n0")),
        unknown(1300, "d"),
    ],
    None
)]
#[case::twice(vec![line(40, "executors", took("a2", "key-a"))], Some(Broken::Twice))]
#[case::again_after_one_that_never_began(
    vec![line(14, "executors", HistoryEvent::Unbegun { id: "a".into() }), line(40, "executors", took("a2", "key-a"))],
    None
)]
fn judged(#[case] more: Vec<Line>, #[case] broken: Option<Broken>) {
    let lines = [sound(), more].concat();
    let promise = Promise {
        coordinated: true,
        bound: 500 * MS,
        strict: true,
        remembered: false,
        asked_when_unknown: false,
    };
    let found: Vec<Broken> = check(&lines, &promise).into_iter().map(|f| f.broken).collect();
    match broken {
        None => assert_eq!(found, []),
        Some(broken) => assert!(found.contains(&broken), "{found:?}"),
    }
}
