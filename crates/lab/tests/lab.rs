//! The lab: files, grids, the hunt, and the program itself.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use linestack_lab::draw::small;
use linestack_lab::file::{parse, read};
use linestack_lab::hunt::{Found, Prey, shrink, to_file};
use linestack_lab::play::{mean, play, play_all, seeds};
use linestack_lab::policies::Policy;
use linestack_lab::report::page;
use linestack_lab::sweep::{Axis, grid};
use linestack_rig::load::{LoadPlan, load};
use linestack_rig::stand_ins::StandInFleet;
use linestack_world::{Executors, Fault, FaultSpec, Product, Scenario};
use rstest::rstest;

fn scenarios(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(folder);
    let mut all: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    all.retain(|p| p.extension().is_some_and(|e| e == "toml"));
    all.sort();
    all
}

#[rstest]
#[case::unknown_key("span_s = 5\nspeed = 3\n", "x.toml:2: unknown field `speed`")]
#[case::wrong_kind("\n\nspan_s = \"long\"\n", "x.toml:3: invalid type")]
#[case::not_toml("[[[", "x.toml:1: ")]
#[case::impossible(
    "[[executors]]\ncores = 2\n\n[[executors]]\nslots = 0\n",
    "x.toml:5: executors[1].slots: "
)]
#[case::nobody("span_s = 5\nexecutors = []\n", "x.toml:2: executors: no executor")]
#[case::no_load("[load]\nof_capacity = 0\n", "x.toml:1: load: empty")]
fn a_fault_names_file_line_and_key(#[case] text: &str, #[case] says: &str) {
    let fault = parse(text, Path::new("x.toml")).unwrap_err().to_string();
    assert!(fault.contains(says), "{fault}");
}

// Every scenario of the repository is read, and what was found and mended once stays mended.
#[test]
fn kept_scenarios_break_no_rule() {
    for path in scenarios("").into_iter().chain(scenarios("open")) {
        read(&path).unwrap();
    }
    let kept: Vec<Scenario> = scenarios("kept").iter().map(|p| read(p).unwrap()).collect();
    assert!(!kept.is_empty());
    for played in play_all(&kept, &[Policy::Linestack], true) {
        assert_eq!(played.outcome.breaches, [], "{}", played.outcome.scenario);
    }
}

// A fixed set of random worlds. Cold executors are pushed over in some by chance, which is known and open.
#[test]
fn random_worlds_break_no_rule() {
    let worlds: Vec<Scenario> = (1..=120).map(small).collect();
    for played in play_all(&worlds, &[Policy::Linestack], true) {
        let rules = played.outcome.rules();
        assert!(rules.iter().all(|r| *r == linestack_world::Rule::ColdPushedOver), "{:?}", played.outcome);
    }
}

#[test]
fn a_find_is_cut_down_and_written_out() {
    // Executors that err make one-shots fail; a policy that sees the true state does better in the hang.
    let troubles = [(Fault::Hang, 0.4), (Fault::Lie, 0.1), (Fault::Slow, 0.2)];
    let trouble = |(kind, part)| FaultSpec { kind, part, at_s: 2.0, for_s: 6.0, ..FaultSpec::default() };
    let scenario = Scenario {
        span_s: 12.0,
        executors: vec![Executors { count: 6, ..Executors::default() }],
        faults: troubles.into_iter().map(trouble).collect(),
        ..Scenario::default()
    };
    let prey = Prey::Loss(Policy::Linestack, 0.0);
    assert!(prey.shown(&scenario), "nothing is lost against itself, and that is at least nothing");
    let small = shrink(&Found { scenario: scenario.clone(), prey }, 300);
    assert!(small.faults.is_empty() && small.span_s < scenario.span_s && small.nodes.count == 1);
    let again = parse(&to_file(&small), Path::new("x.toml")).unwrap();
    assert_eq!(again, small);
    assert_eq!(play(&again, Policy::Linestack).outcome, play(&small, Policy::Linestack).outcome);
}

#[test]
fn a_grid_takes_every_combination() {
    let axes: Vec<Axis> = ["executors.0.slots=2,8", "load.of_capacity=1", "reports.told=true,false"]
        .map(|a| a.parse().unwrap())
        .to_vec();
    let points = grid(&Scenario::default(), &axes).unwrap();
    let last = &points[3].1;
    assert_eq!((points.len(), last.executors[0].slots, last.load.of_capacity), (4, 8, 1.0));
    assert!(!last.reports.enabled);
    let fault = |axis: &str| grid(&Scenario::default(), &[axis.parse().unwrap()]).unwrap_err();
    assert!(fault("executors.7.slots=2").contains("no such key"));
    assert!(fault("executors.0.slots=0").contains("executors[0].slots"));
    assert!(fault("executors.0.slots=many").contains("invalid type"));
}

#[test]
fn the_same_seeds_side_by_side_give_the_same_page() {
    let s = Scenario { span_s: 5.0, ..Scenario::default() };
    let policies = [Policy::Linestack, Policy::Random, Policy::TrueState];
    let report = || page("a <day>", &play_all(&seeds(&s, 3), &policies, true)).unwrap();
    let html = report();
    assert_eq!(html, report());
    assert!(html.contains("a &lt;day&gt;") && html.matches("<svg").count() == 5);
}

#[rstest]
#[case(&[1.0, 1.0, 1.0], 1.0, 0.0)]
#[case(&[1.0, 3.0], 2.0, 12.706)]
#[case(&[5.0], 5.0, f64::INFINITY)]
fn a_mean_has_its_interval(#[case] values: &[f64], #[case] middle: f64, #[case] within: f64) {
    let found = mean(values);
    assert!((found.mean - middle).abs() < 1e-9);
    assert!(found.within == within || (found.within - within).abs() < 1e-3, "{found:?}");
}

// On sockets: stand-ins answer what they take, and a load counts every answer.
#[test]
fn a_load_reaches_stand_ins() {
    let product = Product { work_ms: 5.0, cv: 0.0, ..Product::default() };
    let executors = vec![Executors { count: 2, ..Executors::default() }];
    let s = Scenario { executors, products: vec![product], ..Scenario::default() };
    let fleet = StandInFleet::start(&s).unwrap();
    let (span, ramp) = (Duration::from_millis(400), Duration::ZERO);
    let plan = LoadPlan { clients: 4, rate: None, duration: span, ramp };
    let loaded = load(&s, &fleet.executors, &plan, 1).unwrap();
    assert!(loaded.satisfied > 0 && loaded.failed + loaded.broken + loaded.dismissed == 0, "{loaded:?}");
    assert!(loaded.latencies.min() >= 4_000, "no answer comes before the work is done");
    let elsewhere = "192.0.2.1:80".parse().unwrap();
    assert!(load(&s, &[elsewhere], &plan, 1).is_err());
}

#[rstest]
#[case::fine(&["run", "small.toml"], 0)]
#[case::missing(&["run", "none.toml"], 2)]
#[case::no_such_command(&["ruin"], 2)]
#[case::bad_axis(&["sweep", "small.toml", "span_s=-1"], 2)]
fn exit_codes_tell(#[case] words: &[&str], #[case] code: i32) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut command = Command::new(env!("CARGO_BIN_EXE_linestack-lab"));
    let output = command.args(words).arg("--quiet").current_dir(folder).output().unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(output.stderr.is_empty(), code == 0);
}
