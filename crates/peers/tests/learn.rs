//! Which observations of a peer are used, and which are dropped.

use linestack_peers::{
    ExecutorObservation, FORMAT_VERSION, LoadFigures, LocalKnowledge, MAX_EXECUTORS, Nanos, Observation,
    PeerSnapshot, SnapshotError, SnapshotTimes, usable_observations,
};
use rstest::rstest;

const MS: Nanos = 1_000_000;

fn observed(name: &str, age_ms: u64, unresponsive: bool) -> ExecutorObservation {
    let figures = Some(LoadFigures { free_slots: Some(3.0), ..LoadFigures::default() });
    ExecutorObservation { name: name.into(), age_ms, unresponsive, figures }
}

fn snapshot(observations: Vec<ExecutorObservation>) -> PeerSnapshot {
    PeerSnapshot { format_version: FORMAT_VERSION, sender: "n1".into(), observations }
}

/// Returns what the node `n0` may use of a snapshot that was received 50 ms after it was requested. Of the six ready
/// executors, `n0` itself observed `met` 100 ms ago; `gone` and `unknown` are not ready.
fn usable(snapshot: &PeerSnapshot) -> Result<Vec<Observation>, SnapshotError> {
    let local = |name: &str| LocalKnowledge {
        ready: name != "gone" && name != "unknown",
        last_observed: (name == "met").then_some(9_900 * MS),
    };
    let times = SnapshotTimes { requested_at: 9_950 * MS, received_at: 10_000 * MS };
    usable_observations(snapshot, "n0", times, 1000 * MS, local, 6)
}

#[rstest]
#[case::young(vec![observed("a", 10, false)], &["a"])]
#[case::just_young_enough(vec![observed("a", 949, false)], &["a"])]
#[case::too_old_on_arrival(vec![observed("a", 950, false)], &[])]
#[case::healthy_20_s_ago(vec![observed("a", 20_000, false)], &[])]
#[case::largest_age(vec![observed("a", u64::MAX, false)], &[])]
#[case::older_than_own(vec![observed("met", 60, false)], &[])]
#[case::newer_than_own(vec![observed("met", 40, false)], &["met"])]
#[case::not_ready(vec![observed("gone", 10, false), observed("unknown", 10, false)], &[])]
#[case::duplicate(vec![observed("a", 10, false), observed("a", 10, true)], &["a"])]
#[case::two_unresponsive(vec![observed("a", 10, true), observed("b", 10, true)], &["a", "b"])]
#[case::too_many_unresponsive(
    vec![observed("a", 10, true), observed("b", 10, true), observed("c", 10, true), observed("d", 10, false)],
    &["d"]
)]
#[case::name_too_long(vec![observed(&"x".repeat(300), 10, false)], &[])]
fn usable_names(#[case] observations: Vec<ExecutorObservation>, #[case] names: &[&str]) {
    let taken: Vec<String> = usable(&snapshot(observations)).unwrap().into_iter().map(|o| o.name).collect();
    assert_eq!(taken, names);
}

#[test]
fn unusable_snapshots_are_rejected() {
    let good = snapshot(vec![observed("a", 10, false)]);
    assert_eq!(
        usable(&PeerSnapshot { format_version: 2, ..good.clone() }),
        Err(SnapshotError::FormatVersion(2))
    );
    assert_eq!(usable(&PeerSnapshot { sender: "n0".into(), ..good }), Err(SnapshotError::OwnSnapshot));
    let many = (0..=MAX_EXECUTORS).map(|i| observed(&i.to_string(), 10, false)).collect();
    assert_eq!(usable(&snapshot(many)), Err(SnapshotError::TooManyExecutors(MAX_EXECUTORS + 1)));
}

#[test]
fn invalid_figures_are_dropped() {
    let figures = LoadFigures {
        free_slots: Some(f32::NAN),
        free_memory: Some(-1.0),
        queued_jobs: Some(f32::INFINITY),
        active_jobs: Some(2.0),
    };
    let sent = ExecutorObservation { figures: Some(figures), ..observed("a", 10, false) };
    let [Observation { figures: Some(taken), .. }] = &usable(&snapshot(vec![sent])).unwrap()[..] else {
        panic!()
    };
    assert_eq!(*taken, LoadFigures { active_jobs: Some(2.0), ..LoadFigures::default() });
    // An unresponsive executor has no figures.
    assert_eq!(usable(&snapshot(vec![observed("a", 10, true)])).unwrap()[0].figures, None);
}
