//! Hundreds of starts and stops of a node, many at a time, while the executors that its list contains are under load.

use std::time::Duration;

use linestack_lab::starts::{Plan, run_starts};
use linestack_rig::load;
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Product, Scenario};
use rstest::rstest;

#[test]
fn every_start_serves_and_every_stop_is_clean() {
    let product = Product { latency_target_ms: 50.0, deadline_ms: 100.0, ..Product::default() };
    let scenario = Scenario { products: vec![product], ..Scenario::default() };
    let fleet = StandInFleet::start(&scenario).unwrap();
    let plan = Plan {
        count: 400,
        at_once: 48,
        ready_within: Duration::from_secs(30),
        hung_after: Duration::from_secs(60),
        via: Vec::new(),
    };
    let (executors, load_duration) = (fleet.executors.clone(), Duration::from_secs(5));
    let load = std::thread::spawn(move || {
        let plan = load::LoadPlan { clients: 32, rate: None, duration: load_duration, ramp: Duration::ZERO };
        load::load(&scenario, &executors, &plan, 1)
    });
    let counts = run_starts(env!("CARGO_BIN_EXE_linestack").as_ref(), &fleet, &plan).unwrap();
    assert!(counts.is_clean(), "{counts:?}");
    assert_eq!(counts.ready, plan.count);
    assert!(load.join().unwrap().unwrap().satisfied > 0, "there was no load");
}

#[rstest]
#[case::at_the_limit(1_024, true)]
#[case::above_the_limit(1_025, false)]
fn the_number_of_concurrent_nodes_is_limited(#[case] at_once: usize, #[case] accepted: bool) {
    let fleet = StandInFleet::start(&Scenario::default()).unwrap();
    let time_limit = Duration::from_secs(60);
    let plan = Plan { count: 1, at_once, ready_within: time_limit, hung_after: time_limit, via: Vec::new() };
    let counts = run_starts(env!("CARGO_BIN_EXE_linestack").as_ref(), &fleet, &plan);
    assert_eq!(counts.is_ok(), accepted, "{counts:?}");
}
