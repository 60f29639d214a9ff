//! A node with a store that is killed and restarted: a job that may have run is never run twice, and a job that cannot be recorded is
//! not sent. Also the `store` commands.

use std::path::Path;
use std::process::Command;

use linestack_history::HistoryEvent;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome, run};
use linestack_rig::stand::Fleet;
use linestack_rig::started::Started;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linestack");

fn run_plan(text: &str) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    run(&Plan::read(text).unwrap(), Path::new(PROGRAM), folder.path()).unwrap()
}

fn kill_plan(store: bool) -> String {
    let text = include_str!("../../../scenarios/fleet/kills-with-store.toml");
    text.replace("\nstore = true", &format!("\nstore = {store}"))
}

// Twenty kills under clients that repeat their requests at the same node. Without the store the same plan leads to duplicate
// executions, which shows that the test would detect them.
#[test]
fn no_job_runs_twice_over_twenty_kills() {
    let with = run_plan(&kill_plan(true));
    assert!(with.sound(), "{:?} {:?}", with.findings, with.faults);
    let unknown = with.lines.iter().filter(|l| matches!(l.what, HistoryEvent::Unknown { .. })).count();
    assert!(unknown > 10 && with.doubled == 0, "{unknown} unknown, {} doubled", with.doubled);
    // The repeated request for a completed job gets its stored result; one that may have run is aborted.
    assert!(with.seconds.iter().map(|s| s.aborted).sum::<u64>() > 0);
    let without = run_plan(&kill_plan(false));
    assert!(without.doubled > 5, "{}", without.doubled);
}

fn linestack(words: &[&str]) -> (i32, String) {
    let output = Command::new(PROGRAM).args(words).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn store_commands() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("s");
    let at = path.to_str().unwrap();
    assert_eq!(linestack(&["store", "verify", at]).0, 1);
    assert_eq!(linestack(&["store", "init", at]).0, 0);
    let (code, text) = linestack(&["store", "init", at]);
    assert!(code == 1 && text.contains("already"), "{text}");
    assert_eq!(linestack(&["store", "verify", at]), (0, format!("{at}: 0 records in 1 segments\n")));
    assert_eq!(linestack(&["store", "dump", at]), (0, String::new()));
    assert_eq!(linestack(&["store", "compact", at]).0, 0);
    let (code, text) = linestack(&["store", "repair", at]);
    assert!(code == 1 && text.contains("whole"), "{text}");
    let segment = path.join("000000000001.segment");
    let intact = std::fs::read(&segment).unwrap();
    std::fs::write(&segment, &intact[..intact.len() - 1]).unwrap();
    let (code, text) = linestack(&["store", "verify", at]);
    assert!(code == 1 && text.contains("000000000001.segment"), "{text}");
    assert_eq!(linestack(&["store", "repair", at]).0, 0);
    assert_eq!(linestack(&["store", "verify", at]).0, 0);
}

// With an unusable store or store configuration the node reports the key at fault and does not start.
#[rstest]
#[case::no_store("", "there is no store here")]
#[case::invalid_key("same-by = \"colour\"", "same-by")]
#[case::too_short("remember-s = 1", "store.remember-s")]
fn an_unusable_store_is_refused_by_key(#[case] line: &str, #[case] expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let scenario = linestack_world::Scenario::default();
    let fleet = Fleet::start(&scenario).unwrap();
    let (node, store) = (folder.path().join("node.json"), folder.path().join("store.toml"));
    std::fs::write(&node, fleet.configuration("n0", 1).to_string()).unwrap();
    let same_by = if line.contains("same-by") { "" } else { "same-by = \"req-id\"\n" };
    let at = folder.path().join("s");
    std::fs::write(&store, format!("[store]\nfolder = {at:?}\n{same_by}{line}\n")).unwrap();
    let output =
        Command::new(PROGRAM).env("PROXY_CONFIG", &node).env("PROXY_STORE", &store).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(1) && text.contains(expected), "{text}");
}

// A node without a configured store serves none of the store's paths.
#[test]
fn without_a_store_its_paths_do_not_exist() {
    let fleet = Fleet::start(&linestack_world::Scenario::default()).unwrap();
    let node = Started::start(Path::new(PROGRAM), &fleet.configuration("n0", 1)).unwrap();
    let within = std::time::Duration::from_secs(5);
    assert_eq!(linestack_rig::http::get(node.address, "/v1/submissions/a", within).unwrap(), 404);
}
