//! Tests of the interpretation of listed start times while wall clocks are stepped.

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

fn interpreted_start(core: &mut Core, now: Nanos, listed: Nanos, clocks: ListClocks) -> Nanos {
    let entry = Endpoint {
        name: "w0".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 100)),
        zone: "here".to_owned(),
        kind: "small".to_owned(),
        cell: 1,
        health: Health::Ready,
        started: listed,
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

fn new_core() -> Core {
    Core::new(linestack_settings::read(common::SETTINGS.as_bytes(), 7).unwrap(), 64, 32 << 20)
}

#[rstest]
#[case::long_ago(0, 0, 0, 0)]
#[case::as_listed(NOW - 3 * S, 0, NOW - S, NOW - 3 * S)]
#[case::discovery_reported_late(NOW - 6 * S, 0, NOW - 2 * S, NOW - 6 * S)]
#[case::a_clock_a_little_ahead(NOW + S, 0, 0, NOW)]
#[case::a_clock_far_ahead(NOW + HOUR, 0, 0, NOW)]
#[case::all_clocks_stepped_back(NOW - HOUR - 2 * S, HOUR_BACK, 0, NOW - 2 * S)]
#[case::all_clocks_stepped_ahead(NOW + HOUR - 2 * S, HOUR_AHEAD, 0, NOW - 2 * S)]
#[case::all_clocks_stepped_back_by_seconds(NOW - 7 * S, -(5 * S as i64), NOW - S, NOW - 2 * S)]
#[case::only_this_clock_stepped_back(NOW - 2 * S, HOUR_BACK, 0, NOW - 2 * S)]
#[case::only_this_clock_stepped_ahead(NOW - 2 * S, HOUR_AHEAD, 0, NOW - 2 * S)]
#[case::only_the_others_stepped_back(NOW - HOUR, 0, NOW - S, NOW - S)]
#[case::old_without_earlier_contact(NOW - HOUR, 0, 0, NOW - HOUR)]
fn a_listed_start_counts_as_the_latest_that_it_may_mean(
    #[case] listed: Nanos,
    #[case] wall_clock_shift: i64,
    #[case] known_until: Nanos,
    #[case] expected: Nanos,
) {
    let clocks = ListClocks { known_until, wall_clock_shift };
    assert_eq!(interpreted_start(&mut new_core(), NOW, listed, clocks), expected);
}

// A start that is listed again after a clock was stepped is no new start. Otherwise all executors would count as cold.
#[test]
fn a_start_that_is_listed_again_is_the_same() {
    let mut core = new_core();
    let listed = NOW - 2 * HOUR;
    assert_eq!(interpreted_start(&mut core, NOW, listed, ListClocks::default()), listed);
    let stepped = ListClocks { known_until: NOW, wall_clock_shift: HOUR_BACK };
    assert_eq!(interpreted_start(&mut core, NOW + S, listed, stepped), listed);
}
