//! The soak test in a short form: random plans of a few seconds, and recorded plans on which an earlier build violated a rule. The
//! long form is `linestack-lab soak`.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use linestack_soak::generator::{Size, generate};
use linestack_soak::judge::{Case, Counts, judge};
use linestack_soak::plan::Plan;
use linestack_soak::run::run;
use rstest::rstest;

/// The size of the random plans.
const SHORT: Size = Size { nodes: 10, executors: 8, clients: 16, span_ms: 6_000 };

/// Plans run one at a time: side by side they would exceed the time limits under test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a plan and returns its counts. Panics if a rule was violated.
fn run_plan(plan: &Plan) -> Counts {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let result = run(plan, Path::new(env!("CARGO_BIN_EXE_linestack")), folder.path()).unwrap();
    let verdict = judge(&Case::of(plan, &result));
    println!("{:?}, {} doubtful", verdict.counts, verdict.doubtful.len());
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    verdict.counts
}

#[rstest]
#[case(1)]
#[case(2)]
fn a_drawn_plan_violates_no_rule(#[case] seed: u64) {
    let counts = run_plan(&generate(seed, SHORT));
    assert!(counts.asked > 500 && counts.served * 10 > counts.asked * 8, "{counts:?}");
}

// Each plan was recorded because an earlier build violated a rule on it.
#[rstest]
#[case::local_failures_of_discovery_requests(include_str!("../../../scenarios/soak/local-failures.toml"))]
#[case::starts_while_discovery_is_down(include_str!("../../../scenarios/soak/start-in-an-outage.toml"))]
#[case::new_clients_behind_partial_requests(include_str!("../../../scenarios/soak/newcomers-wait.toml"))]
#[case::a_reload_before_lists_are_read(include_str!("../../../scenarios/soak/reload-of-a-paused-node.toml"))]
#[case::discovery_returns_after_a_failed_call(include_str!("../../../scenarios/soak/return-after-a-failed-call.toml"))]
#[case::a_kill_soon_after_a_stop(include_str!("../../../scenarios/soak/kill-soon-after-a-stop.toml"))]
fn a_recorded_plan_violates_no_rule(#[case] text: &str) {
    run_plan(&Plan::read(text).unwrap());
}
