//! What a start that a list tells is taken for, while wall clocks move.

mod common;

use std::net::SocketAddr;

use linestack_core::{Core, Endpoint, Input, ListClocks, Nanos};
use linestack_dispatch::types::{Health, ListKind};
use rstest::rstest;

const S: Nanos = 1_000_000_000;
const HOUR: Nanos = 3_600 * S;
const NOW: Nanos = 1_000 * HOUR;
const HOUR_BACK: i64 = -(HOUR as i64);
const HOUR_AHEAD: i64 = HOUR as i64;

fn taken_for(core: &mut Core, now: Nanos, told: Nanos, clocks: ListClocks) -> Nanos {
    let entry = Endpoint {
        name: "w0".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 100)),
        zone: "here".to_owned(),
        kind: "small".to_owned(),
        cell: 1,
        health: Health::Ready,
        started: told,
        weight: 1.0,
    };
    core.handle(now, Input::ListClocks(clocks), &mut Vec::new());
    core.handle(
        now,
        Input::ListReceived { kind: ListKind::Changes, endpoints: vec![entry] },
        &mut Vec::new(),
    );
    core.endpoints()[0].started
}

fn fresh() -> Core {
    Core::new(linestack_settings::read(common::SETTINGS.as_bytes(), 7).unwrap(), 64, 32 << 20)
}

#[rstest]
#[case::long_ago(0, 0, 0, 0)]
#[case::as_told(NOW - 3 * S, 0, NOW - S, NOW - 3 * S)]
#[case::discovery_told_late(NOW - 6 * S, 0, NOW - 2 * S, NOW - 6 * S)]
#[case::a_clock_a_little_ahead(NOW + S, 0, 0, NOW)]
#[case::a_clock_far_ahead(NOW + HOUR, 0, 0, NOW)]
#[case::all_clocks_stepped_back(NOW - HOUR - 2 * S, HOUR_BACK, 0, NOW - 2 * S)]
#[case::all_clocks_stepped_ahead(NOW + HOUR - 2 * S, HOUR_AHEAD, 0, NOW - 2 * S)]
#[case::all_clocks_stepped_back_by_seconds(NOW - 7 * S, -(5 * S as i64), NOW - S, NOW - 2 * S)]
#[case::only_this_clock_stepped_back(NOW - 2 * S, HOUR_BACK, 0, NOW - 2 * S)]
#[case::only_this_clock_stepped_ahead(NOW - 2 * S, HOUR_AHEAD, 0, NOW - 2 * S)]
#[case::only_the_others_stepped_back(NOW - HOUR, 0, NOW - S, NOW - S)]
#[case::old_where_nothing_was_heard_before(NOW - HOUR, 0, 0, NOW - HOUR)]
fn a_start_is_taken_for_the_latest_that_it_may_mean(
    #[case] told: Nanos,
    #[case] wall_clock_shift: i64,
    #[case] known_until: Nanos,
    #[case] wanted: Nanos,
) {
    let clocks = ListClocks { known_until, wall_clock_shift };
    assert_eq!(taken_for(&mut fresh(), NOW, told, clocks), wanted);
}

// Told again after a step it is no new start: all that is there would be cold.
#[test]
fn a_start_that_is_told_again_is_the_same() {
    let mut core = fresh();
    let told = NOW - 2 * HOUR;
    assert_eq!(taken_for(&mut core, NOW, told, ListClocks::default()), told);
    let stepped = ListClocks { known_until: NOW, wall_clock_shift: HOUR_BACK };
    assert_eq!(taken_for(&mut core, NOW + S, told, stepped), told);
}
