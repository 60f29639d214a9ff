//! A node that keeps a store, killed and started again: what may have run is never run twice, and what can't last is
//! not sent.

use std::path::Path;
use std::process::Command;

use linestack_history::What;
use linestack_rig::node_process::NodeProcess;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome, run};
use linestack_rig::stand_ins::StandInFleet;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linestack");

fn play(text: &str) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    run(&Plan::read(text).unwrap(), Path::new(PROGRAM), folder.path()).unwrap()
}

fn kills(store: bool) -> String {
    let text = include_str!("../../../scenarios/fleet/kills-with-store.toml");
    text.replace("\nstore = true", &format!("\nstore = {store}"))
}

// Twenty kills under clients that ask the same node again. Without the store the same plan shows doubles: the test
// would see them.
#[test]
fn killed_twenty_times() {
    let with = play(&kills(true));
    assert!(with.passed(), "{:?} {:?}", with.findings, with.faults);
    let unknown = with.lines.iter().filter(|l| matches!(l.what, What::Unknown { .. })).count();
    assert!(unknown > 10 && with.duplicates == 0, "{unknown} unknown, {} doubled", with.duplicates);
    // What was satisfied and not told is told when it is asked for again, and what may have run is aborted.
    assert!(with.seconds.iter().map(|s| s.aborted).sum::<u64>() > 0);
    let without = play(&kills(false));
    assert!(without.duplicates > 5, "{}", without.duplicates);
}

fn linestack(words: &[&str]) -> (i32, String) {
    let output = Command::new(PROGRAM).args(words).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn commands() {
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
    let whole = std::fs::read(&segment).unwrap();
    std::fs::write(&segment, &whole[..whole.len() - 1]).unwrap();
    let (code, text) = linestack(&["store", "verify", at]);
    assert!(code == 1 && text.contains("000000000001.segment"), "{text}");
    assert_eq!(linestack(&["store", "repair", at]).0, 0);
    assert_eq!(linestack(&["store", "verify", at]).0, 0);
}

// A store that can't be had: the node says why, by key, and does not start.
#[rstest]
#[case::none("", "there is no store here")]
#[case::no_key("same-by = \"colour\"", "same-by")]
#[case::too_short("remember-s = 1", "store.remember-s")]
fn refused_by_key(#[case] line: &str, #[case] why: &str) {
    let folder = tempfile::tempdir().unwrap();
    let scenario = linestack_world::Scenario::default();
    let fleet = StandInFleet::start(&scenario).unwrap();
    let (node, store) = (folder.path().join("node.json"), folder.path().join("store.toml"));
    std::fs::write(&node, fleet.configuration("n0", 1).to_string()).unwrap();
    let same = if line.contains("same-by") { "" } else { "same-by = \"req-id\"\n" };
    let at = folder.path().join("s");
    std::fs::write(&store, format!("[store]\nfolder = {at:?}\n{same}{line}\n")).unwrap();
    let output =
        Command::new(PROGRAM).env("PROXY_CONFIG", &node).env("PROXY_STORE", &store).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(1) && text.contains(why), "{text}");
}

// Nothing of it is there in a node that was not told of a store.
#[test]
fn off_is_not_there() {
    let fleet = StandInFleet::start(&linestack_world::Scenario::default()).unwrap();
    let node = NodeProcess::start(Path::new(PROGRAM), &fleet.configuration("n0", 1)).unwrap();
    let within = std::time::Duration::from_secs(5);
    assert_eq!(linestack_rig::http::get_status(node.address, "/v1/submissions/a", within).unwrap(), 404);
}
