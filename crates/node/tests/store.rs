//! A node with a store that is killed and restarted: a job that may have run is never run twice. Also the `store` commands, and
//! starts with an unusable store or without one.

use std::path::Path;
use std::process::Command;

use linestack_history::HistoryEvent;
use linestack_rig::node_process::NodeProcess;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome, run};
use linestack_rig::stand_ins::StandInFleet;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linestack");

/// Runs the plan with this text, in the format of the files in scenarios/fleet.
fn run_plan(text: &str) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    run(&Plan::read(text).unwrap(), Path::new(PROGRAM), folder.path()).unwrap()
}

/// Returns the text of the plan in which nodes are killed twenty times, with a store or without one.
fn kill_plan(store: bool) -> String {
    let text = include_str!("../../../scenarios/fleet/kills-with-store.toml");
    text.replace("\nstore = true", &format!("\nstore = {store}"))
}

// Nodes are killed twenty times while clients repeat their requests at the same node. Without the store the same plan leads to
// duplicate executions, which shows that the test detects them.
#[test]
fn no_job_runs_twice_over_twenty_kills() {
    let with_store = run_plan(&kill_plan(true));
    assert!(with_store.passed(), "{:?} {:?}", with_store.findings, with_store.faults);
    let unknown = with_store.lines.iter().filter(|l| matches!(l.what, HistoryEvent::Unknown { .. })).count();
    assert!(
        unknown > 10 && with_store.duplicates == 0,
        "{unknown} unknown, {} duplicates",
        with_store.duplicates
    );
    // A repeated request gets the stored result if the job was completed. If the job may have run, the request is aborted.
    assert!(with_store.seconds.iter().map(|s| s.aborted).sum::<u64>() > 0);
    let without_store = run_plan(&kill_plan(false));
    assert!(without_store.duplicates > 5, "{}", without_store.duplicates);
}

/// Runs the program with these arguments. Returns its exit code, and its standard output followed by its error output.
fn linestack(arguments: &[&str]) -> (i32, String) {
    let output = Command::new(PROGRAM).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn store_commands() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("s");
    let store = path.to_str().unwrap();
    assert_eq!(linestack(&["store", "verify", store]).0, 1);
    assert_eq!(linestack(&["store", "init", store]).0, 0);
    let (code, text) = linestack(&["store", "init", store]);
    assert!(code == 1 && text.contains("already"), "{text}");
    assert_eq!(linestack(&["store", "verify", store]), (0, format!("{store}: 0 records in 1 segments\n")));
    assert_eq!(linestack(&["store", "dump", store]), (0, String::new()));
    assert_eq!(linestack(&["store", "compact", store]).0, 0);
    let (code, text) = linestack(&["store", "repair", store]);
    assert!(code == 1 && text.contains("whole"), "{text}");
    let segment = path.join("000000000001.segment");
    let intact = std::fs::read(&segment).unwrap();
    std::fs::write(&segment, &intact[..intact.len() - 1]).unwrap();
    let (code, text) = linestack(&["store", "verify", store]);
    assert!(code == 1 && text.contains("000000000001.segment"), "{text}");
    assert_eq!(linestack(&["store", "repair", store]).0, 0);
    assert_eq!(linestack(&["store", "verify", store]).0, 0);
}

// With an unusable store or store configuration a node reports what is wrong and does not start.
#[rstest]
#[case::no_store("", "there is no store here")]
#[case::invalid_key("same-by = \"colour\"", "same-by")]
#[case::too_short("remember-s = 1", "store.remember-s")]
fn an_unusable_store_is_refused_by_key(#[case] line: &str, #[case] expected_error: &str) {
    let folder = tempfile::tempdir().unwrap();
    let scenario = linestack_world::Scenario::default();
    let fleet = StandInFleet::start(&scenario).unwrap();
    let (node_file, store_file) = (folder.path().join("node.json"), folder.path().join("store.toml"));
    std::fs::write(&node_file, fleet.configuration("n0", 1).to_string()).unwrap();
    let same_by = if line.contains("same-by") { "" } else { "same-by = \"req-id\"\n" };
    let store = folder.path().join("s");
    std::fs::write(&store_file, format!("[store]\nfolder = {store:?}\n{same_by}{line}\n")).unwrap();
    let output = Command::new(PROGRAM)
        .env("PROXY_CONFIG", &node_file)
        .env("PROXY_STORE", &store_file)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(1) && text.contains(expected_error), "{text}");
}

// A node without a configured store answers 404 to requests for stored submissions.
#[test]
fn without_a_store_its_paths_do_not_exist() {
    let fleet = StandInFleet::start(&linestack_world::Scenario::default()).unwrap();
    let node = NodeProcess::start(Path::new(PROGRAM), &fleet.configuration("n0", 1)).unwrap();
    let timeout = std::time::Duration::from_secs(5);
    assert_eq!(linestack_rig::http::get_status(node.address, "/v1/submissions/a", timeout).unwrap(), 404);
}
