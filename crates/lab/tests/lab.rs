//! Scenario files, simulation runs, sweeps, the hunt, load on stand-ins, and the exit codes of the program.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use linestack_lab::generator::small_scenario;
use linestack_lab::hunt::{Criterion, Finding, shrink, to_toml};
use linestack_lab::policies::Policy;
use linestack_lab::report::simulation_page;
use linestack_lab::runs::{mean, run_all, run_scenario, with_seeds};
use linestack_lab::scenario_file::{parse, read};
use linestack_lab::sweep::{Axis, grid};
use linestack_rig::load::{LoadPlan, load};
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Executors, Fault, FaultSpec, Product, Rule, Scenario};
use rstest::rstest;

/// Returns the paths of the scenario files in a folder of `scenarios`, sorted.
fn scenario_files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(folder);
    let mut all: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    all.retain(|p| p.extension().is_some_and(|e| e == "toml"));
    all.sort();
    all
}

#[rstest]
#[case::unknown_key("span_s = 5\nspeed = 3\n", "x.toml:2: unknown field `speed`")]
#[case::wrong_type("\n\nspan_s = \"long\"\n", "x.toml:3: invalid type")]
#[case::not_toml("[[[", "x.toml:1: ")]
#[case::invalid_value(
    "[[executors]]\ncores = 2\n\n[[executors]]\nslots = 0\n",
    "x.toml:5: executors[1].slots: "
)]
#[case::no_executors("span_s = 5\nexecutors = []\n", "x.toml:2: executors: no executor")]
#[case::no_load("[load]\nof_capacity = 0\n", "x.toml:1: load: empty")]
fn an_error_names_file_line_and_key(#[case] text: &str, #[case] expected: &str) {
    let error = parse(text, Path::new("x.toml")).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

// All scenario files of the repository are valid. Those in `kept` reproduce solved problems and must violate no rule.
#[test]
fn recorded_scenarios_violate_no_rule() {
    for path in scenario_files("").into_iter().chain(scenario_files("open")) {
        read(&path).unwrap();
    }
    let kept: Vec<Scenario> = scenario_files("kept").iter().map(|p| read(p).unwrap()).collect();
    assert!(!kept.is_empty());
    for result in run_all(&kept, &[Policy::Linestack], true) {
        assert_eq!(result.outcome.breaches, [], "{}", result.outcome.scenario);
    }
}

// A fixed set of random scenarios. In some of them cold executors are overloaded by chance: a known, unsolved problem.
#[test]
fn random_scenarios_violate_no_other_rule_than_cold_overload() {
    let scenarios: Vec<Scenario> = (1..=120).map(small_scenario).collect();
    for result in run_all(&scenarios, &[Policy::Linestack], true) {
        let rules = result.outcome.rules();
        assert!(rules.iter().all(|r| *r == Rule::ColdPushedOver), "{:?}", result.outcome);
    }
}

#[test]
fn a_finding_is_shrunk_and_written_to_toml() {
    let faults = [(Fault::Hang, 0.4), (Fault::Lie, 0.1), (Fault::Slow, 0.2)];
    let fault = |(kind, part)| FaultSpec { kind, part, at_s: 2.0, for_s: 6.0, ..FaultSpec::default() };
    let scenario = Scenario {
        span_s: 12.0,
        executors: vec![Executors { count: 6, ..Executors::default() }],
        faults: faults.into_iter().map(fault).collect(),
        ..Scenario::default()
    };
    // The loss of a policy against itself is 0, so that every smaller variant of the scenario meets the criterion.
    let criterion = Criterion::Loss { against: Policy::Linestack, min_loss: 0.0 };
    assert!(criterion.is_met_by(&scenario), "the loss of a policy against itself must be 0");
    let small = shrink(&Finding { scenario: scenario.clone(), criterion }, 300);
    assert!(small.faults.is_empty() && small.span_s < scenario.span_s && small.nodes.count == 1);
    let again = parse(&to_toml(&small), Path::new("x.toml")).unwrap();
    assert_eq!(again, small);
    assert_eq!(
        run_scenario(&again, Policy::Linestack).outcome,
        run_scenario(&small, Policy::Linestack).outcome
    );
}

#[test]
fn a_grid_contains_every_combination() {
    let axes: Vec<Axis> = ["executors.0.slots=2,8", "load.of_capacity=1", "reports.told=true,false"]
        .map(|a| a.parse().unwrap())
        .to_vec();
    let points = grid(&Scenario::default(), &axes).unwrap();
    let last = &points[3].1;
    assert_eq!((points.len(), last.executors[0].slots, last.load.of_capacity), (4, 8, 1.0));
    assert!(!last.reports.enabled);
    let error = |axis: &str| grid(&Scenario::default(), &[axis.parse().unwrap()]).unwrap_err();
    assert!(error("executors.7.slots=2").contains("no such key"));
    assert!(error("executors.0.slots=0").contains("executors[0].slots"));
    assert!(error("executors.0.slots=many").contains("invalid type"));
}

#[test]
fn parallel_runs_of_the_same_seeds_give_the_same_page() {
    let s = Scenario { span_s: 5.0, ..Scenario::default() };
    let policies = [Policy::Linestack, Policy::Random, Policy::TrueState];
    let page = || simulation_page("a <title>", &run_all(&with_seeds(&s, 3), &policies, true)).unwrap();
    let html = page();
    assert_eq!(html, page());
    assert!(html.contains("a &lt;title&gt;") && html.matches("<svg").count() == 5);
}

#[rstest]
#[case(&[1.0, 1.0, 1.0], 1.0, 0.0)]
#[case(&[1.0, 3.0], 2.0, 12.706)]
#[case(&[5.0], 5.0, f64::INFINITY)]
fn a_mean_has_its_confidence_interval(
    #[case] values: &[f64],
    #[case] expected: f64,
    #[case] half_width: f64,
) {
    let found = mean(values);
    assert!((found.mean - expected).abs() < 1e-9);
    assert!(found.within == half_width || (found.within - half_width).abs() < 1e-3, "{found:?}");
}

// Real sockets: stand-ins answer every request of a load, and take at least the time of the work for it.
#[test]
fn stand_ins_answer_a_load() {
    let product = Product { work_ms: 5.0, cv: 0.0, ..Product::default() };
    let executors = vec![Executors { count: 2, ..Executors::default() }];
    let s = Scenario { executors, products: vec![product], ..Scenario::default() };
    let fleet = StandInFleet::start(&s).unwrap();
    let duration = Duration::from_millis(400);
    let plan = LoadPlan { clients: 4, rate: None, duration, ramp: Duration::ZERO };
    let loaded = load(&s, &fleet.executors, &plan, 1).unwrap();
    assert!(loaded.satisfied > 0 && loaded.failed + loaded.broken + loaded.dismissed == 0, "{loaded:?}");
    assert!(loaded.latencies.min() >= 4_000, "an answer arrived before the work was done");
    // Addresses outside loopback are rejected.
    let elsewhere = "192.0.2.1:80".parse().unwrap();
    assert!(load(&s, &[elsewhere], &plan, 1).is_err());
}

#[rstest]
#[case::success(&["run", "small.toml"], 0)]
#[case::missing_file(&["run", "none.toml"], 2)]
#[case::unknown_command(&["ruin"], 2)]
#[case::invalid_value(&["sweep", "small.toml", "span_s=-1"], 2)]
fn the_exit_code_shows_errors(#[case] arguments: &[&str], #[case] code: i32) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut command = Command::new(env!("CARGO_BIN_EXE_linestack-lab"));
    let output = command.args(arguments).arg("--quiet").current_dir(folder).output().unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(output.stderr.is_empty(), code == 0);
}
