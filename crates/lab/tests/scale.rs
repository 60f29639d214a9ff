//! Tests of `linestack-lab scale`: its files, its line fits, and that it ends the processes that it started. Tests that
//! need the program of the node are in that crate.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use linestack_lab::scale::file::{ScaleFileErrors, parse};
use linestack_lab::scale::fit::{Point, fit};
use linestack_lab::scale::machine::Machine;
use rstest::rstest;

const MACHINE: Machine = Machine { memory_bytes: 8 << 30, descriptors: 4096, cores: 4 };

fn errors(text: &str) -> Vec<String> {
    let Err(ScaleFileErrors(errors)) = parse(text, &MACHINE) else { panic!("no error in: {text}") };
    errors
}

fn lab() -> Command {
    Command::new(env!("CARGO_BIN_EXE_linestack-lab"))
}

fn run(text: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("scale.toml");
    std::fs::write(&file, text).unwrap();
    lab().arg("scale").arg(file).output().unwrap()
}

fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale").join(name)
}

#[rstest]
#[case::no_members("[members]\nsizes = []\n", "members.sizes: expected at least one size, found none")]
#[case::nothing_to_measure(
    "name = \"x\"\n",
    "members: nothing to measure: expected a section members or dispatch, found neither"
)]
#[case::more_voters_than_machines(
    "control-machines = 3\n[members]\nsizes = [50]\nvoters = 5\n",
    "members.voters: 5 exceeds control-machines, which is 3"
)]
#[case::seven_voters(
    "[members]\nsizes = [50]\nvoters = 7\n",
    "members.voters: 7 coordinators are not supported, expected 1, 3 or 5"
)]
#[case::unknown_key("speed = 3\n[members]\nsizes = [50]\n", "speed: unknown key")]
#[case::unknown_key_in_a_section("[members]\nsizes = [50]\nsped = 1\n", "members.sped: unknown key")]
#[case::wrong_type("[members]\nsizes = \"many\"\n", "members.sizes: invalid type")]
#[case::not_ascending(
    "[members]\nsizes = [100, 50]\n",
    "members.sizes: expected sizes in ascending order without repetition"
)]
#[case::more_members_than_supported(
    "[members]\nsizes = [5000]\n",
    "members.sizes: 5000 is not between 1 and 2048"
)]
#[case::descriptors(
    "[members]\nsizes = [2048]\n",
    "members.sizes: limit descriptors: needs 4160 in one process, at most 4096"
)]
#[case::memory(
    "[dispatch]\nworkers = [10]\nin-hand = [1000000]\n",
    "dispatch.in-hand: limit memory: needs up to 15625 MiB"
)]
#[case::processes(
    "[members]\nsizes = [50]\nreal-nodes = 195\n",
    "members.real-nodes: limit processes: needs 201, at most 200"
)]
#[case::zero_time_limit("span-s = 0\n[members]\nsizes = [50]\n", "span-s: 0 is not between 1 and 3600")]
#[case::not_toml("[[[", "TOML parse error at line 1")]
fn an_error_names_its_key(#[case] text: &str, #[case] expected: &str) {
    let found = errors(text);
    assert!(found.iter().any(|error| error.contains(expected)), "{found:?}");
}

#[test]
fn all_errors_are_reported_together_and_nothing_is_started() {
    let text = "control-machines = 3\nspeed = 1\n[members]\nsizes = []\nvoters = 5\nslow = true\n[dispatch]\nworkers = [0]\n";
    let begin = Instant::now();
    let output = run(text);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    for key in ["speed:", "members.sizes:", "members.voters:", "members.slow:", "dispatch.workers:"] {
        assert!(stderr.contains(key), "{key} is not in {stderr}");
    }
    assert!(output.stdout.is_empty());
    assert!(begin.elapsed() < Duration::from_secs(20));
}

// Every file in scenarios/scale must parse.
#[test]
fn scenarios_are_valid() {
    let machine = Machine { descriptors: 20_000, ..MACHINE };
    for entry in std::fs::read_dir(scenario("")).unwrap() {
        let path = entry.unwrap().path();
        linestack_lab::scale::file::read(&path, &machine).unwrap();
    }
}

fn points(value: impl Fn(f64) -> f64) -> Vec<Point> {
    [50.0, 100.0, 200.0, 400.0, 860.0, 1100.0].map(|size| Point { size, value: value(size) }).to_vec()
}

#[test]
fn a_line_is_fitted_and_a_bend_is_detected() {
    let straight = fit(&points(|n| 7.0 + 2.0 * n)).unwrap();
    assert!((straight.slope - 2.0).abs() < 1e-9 && (straight.base - 7.0).abs() < 1e-6, "{straight:?}");
    assert!(straight.largest_residual() < 1e-6 && straight.bend.is_none(), "{straight:?}");
    let square = fit(&points(|n| n * n)).unwrap();
    assert!(square.bend.is_some_and(|ratio| ratio > 3.0), "{square:?}");
    let level = fit(&points(|n| n.min(200.0))).unwrap();
    assert!(level.bend.is_some_and(|ratio| ratio < 0.2), "{level:?}");
    assert!(fit(&points(|_| 1.0)[..1]).is_none());
}

// Guards against a node whose memory for each worker grows past its limit, and against a run that does not fail when a
// limit is exceeded.
#[test]
fn the_memory_limit_of_a_node_is_checked() {
    let output = lab().arg("scale").arg(scenario("short-node.toml")).output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{stdout}");
    assert!(stdout.contains("limit state-bytes-a-worker"), "{stdout}");
    let text = std::fs::read_to_string(scenario("short-node.toml")).unwrap();
    let output = run(&text.replace("state-bytes-a-worker = 1200", "state-bytes-a-worker = 10"));
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Returns the child processes of a process that still exist.
fn children(parent: u32) -> Vec<u32> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").unwrap().flatten() {
        let Ok(pid) = entry.file_name().to_string_lossy().parse::<u32>() else { continue };
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) else { continue };
        let parent_of_pid = stat.rsplit_once(") ").and_then(|(_, rest)| rest.split(' ').nth(1)?.parse().ok());
        if parent_of_pid == Some(parent) {
            found.push(pid);
        }
    }
    found
}

/// Starts a run that takes far longer than the test, with the given time limit.
fn long_run(folder: &Path, span_s: u32) -> Child {
    let file = folder.join("scale.toml");
    let long = "[dispatch]\nworkers = [1100]\nin-hand = [14000]\nsubmissions = 10000000\n";
    std::fs::write(&file, format!("span-s = {span_s}\n{long}")).unwrap();
    lab().arg("scale").arg(file).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap()
}

/// Waits until the run has started its one child process.
fn child_of(run: &Child) -> u32 {
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(20) {
        if let [child] = children(run.id())[..] {
            return child;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the run did not start a process within 20 s");
}

#[rstest]
#[case::interrupted(600, Some("INT"))]
#[case::terminated(600, Some("TERM"))]
#[case::time_limit_reached(5, None)]
fn a_run_that_ends_early_leaves_no_process(#[case] span_s: u32, #[case] signal: Option<&str>) {
    let folder = tempfile::tempdir().unwrap();
    let mut run = long_run(folder.path(), span_s);
    let child = child_of(&run);
    if let Some(signal) = signal {
        let id = run.id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &id]).status().unwrap().success());
    }
    assert_eq!(run.wait().unwrap().code(), Some(3));
    assert!(!Path::new(&format!("/proc/{child}")).exists(), "process {child} still exists");
}
