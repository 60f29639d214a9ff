//! The scale run: its files, its lines, and that it ends what it started. What needs the node's program is tested there.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use linestack_lab::scale::file::{Faults, parse};
use linestack_lab::scale::fit::{Point, fit};
use linestack_lab::scale::machine::Machine;
use rstest::rstest;

const MACHINE: Machine = Machine { memory_bytes: 8 << 30, descriptors: 4096, cores: 4 };

fn faults(text: &str) -> Vec<String> {
    let Err(Faults(faults)) = parse(text, &MACHINE) else { panic!("taken: {text}") };
    faults
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
#[case::no_members("[members]\nsizes = []\n", "members.sizes: none is named")]
#[case::nothing("name = \"x\"\n", "members: neither members nor dispatch is there")]
#[case::more_voters_than_machines(
    "control-machines = 3\n[members]\nsizes = [50]\nvoters = 5\n",
    "members.voters: 5, and control-machines has 3"
)]
#[case::seven_voters(
    "[members]\nsizes = [50]\nvoters = 7\n",
    "members.voters: 7, and the coordinators' own bound"
)]
#[case::unknown_key("speed = 3\n[members]\nsizes = [50]\n", "speed: unknown key")]
#[case::unknown_key_in_a_section("[members]\nsizes = [50]\nsped = 1\n", "members.sped: unknown key")]
#[case::wrong_kind("[members]\nsizes = \"many\"\n", "members.sizes: invalid type")]
#[case::not_rising("[members]\nsizes = [100, 50]\n", "members.sizes: not in rising order")]
#[case::past_the_register("[members]\nsizes = [5000]\n", "members.sizes: 5000, from 1 to 2048")]
#[case::descriptors(
    "[members]\nsizes = [2048]\n",
    "members.sizes: limit descriptors: 4160 in a process, and 4096"
)]
#[case::memory(
    "[dispatch]\nworkers = [10]\nin-hand = [1000000]\n",
    "dispatch.in-hand: limit memory: up to 15625 MiB"
)]
#[case::processes(
    "[members]\nsizes = [50]\nreal-nodes = 195\n",
    "members.real-nodes: limit processes: 201, 200 at most"
)]
#[case::no_time("span-s = 0\n[members]\nsizes = [50]\n", "span-s: 0, from 1 to 3600")]
#[case::not_toml("[[[", "TOML parse error at line 1")]
fn a_fault_names_its_key(#[case] text: &str, #[case] says: &str) {
    let found = faults(text);
    assert!(found.iter().any(|fault| fault.contains(says)), "{found:?}");
}

#[test]
fn all_faults_are_told_at_once_and_nothing_is_started() {
    let text = "control-machines = 3\nspeed = 1\n[members]\nsizes = []\nvoters = 5\nslow = true\n[dispatch]\nworkers = [0]\n";
    let begin = Instant::now();
    let output = run(text);
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{told}");
    for key in ["speed:", "members.sizes:", "members.voters:", "members.slow:", "dispatch.workers:"] {
        assert!(told.contains(key), "{key} is not in {told}");
    }
    assert!(output.stdout.is_empty());
    assert!(begin.elapsed() < Duration::from_secs(20));
}

// The files that the pages name are read.
#[test]
fn scenarios_are_taken() {
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
fn a_line_is_found_and_a_bend_is_told() {
    let straight = fit(&points(|n| 7.0 + 2.0 * n)).unwrap();
    assert!((straight.slope - 2.0).abs() < 1e-9 && (straight.base - 7.0).abs() < 1e-6, "{straight:?}");
    assert!(straight.largest_residual() < 1e-6 && straight.bend.is_none(), "{straight:?}");
    let square = fit(&points(|n| n * n)).unwrap();
    assert!(square.bend.is_some_and(|ratio| ratio > 3.0), "{square:?}");
    let level = fit(&points(|n| n.min(200.0))).unwrap();
    assert!(level.bend.is_some_and(|ratio| ratio < 0.2), "{level:?}");
    assert!(fit(&points(|_| 1.0)[..1]).is_none());
}

// What a node keeps for each worker is bounded; a bound that does not hold fails the run.
#[test]
fn a_node_keeps_to_its_limit() {
    let output = lab().arg("scale").arg(scenario("short-node.toml")).output().unwrap();
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{told}");
    assert!(told.contains("limit state-bytes-a-worker"), "{told}");
    let text = std::fs::read_to_string(scenario("short-node.toml")).unwrap();
    let output = run(&text.replace("state-bytes-a-worker = 1200", "state-bytes-a-worker = 10"));
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Processes that this one started and that run still.
fn children(parent: u32) -> Vec<u32> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").unwrap().flatten() {
        let Ok(pid) = entry.file_name().to_string_lossy().parse::<u32>() else { continue };
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) else { continue };
        let parent_of = stat.rsplit_once(") ").and_then(|(_, rest)| rest.split(' ').nth(1)?.parse().ok());
        if parent_of == Some(parent) {
            found.push(pid);
        }
    }
    found
}

fn long_run(folder: &Path, span_s: u32) -> Child {
    let file = folder.join("scale.toml");
    let long = "[dispatch]\nworkers = [1100]\nin-hand = [14000]\nsubmissions = 10000000\n";
    std::fs::write(&file, format!("span-s = {span_s}\n{long}")).unwrap();
    lab().arg("scale").arg(file).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap()
}

fn child_of(run: &Child) -> u32 {
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(20) {
        if let [child] = children(run.id())[..] {
            return child;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the run has started nothing");
}

#[rstest]
#[case::interrupted(600, Some("INT"))]
#[case::terminated(600, Some("TERM"))]
#[case::out_of_time(5, None)]
fn a_run_that_ends_early_leaves_no_process(#[case] span_s: u32, #[case] signal: Option<&str>) {
    let folder = tempfile::tempdir().unwrap();
    let mut run = long_run(folder.path(), span_s);
    let child = child_of(&run);
    if let Some(signal) = signal {
        let id = run.id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &id]).status().unwrap().success());
    }
    assert_eq!(run.wait().unwrap().code(), Some(3));
    assert!(!Path::new(&format!("/proc/{child}")).exists(), "{child} runs still");
}
