//! The scale run in a short form: real coordinators with simulated fleet members. Only counts of messages and bytes are checked
//! against limits, since times depend on the load of the machine.

use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use linestack_lab::scale::file::{ScaleFile, parse};
use linestack_lab::scale::machine::Machine;
use linestack_lab::scale::report::Report;
use linestack_lab::scale::run;
use linestack_lab::scale::stop::{Stop, Stopped};
use rustix::process::{Signal, getpid, kill_process};

/// Scale runs go one at a time, since each test checks the child processes of this process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
const SHORT_PLAN: &str = include_str!("../../../scenarios/scale/short.toml");

fn parse_plan(text: &str) -> ScaleFile {
    parse(text, &Machine::read().unwrap()).unwrap()
}

/// Runs a scale plan. It measures no dispatching node, so the path of `linestack-lab` is not used.
fn run_scale(scale: &ScaleFile, stop: &Stop) -> Result<Report, Box<dyn std::error::Error>> {
    let program = Path::new(env!("CARGO_BIN_EXE_linestack"));
    run(scale, Machine::read().unwrap(), program, Path::new("no-lab"), stop, &|_| {})
}

/// Returns the child processes of this process that still exist.
fn children() -> Vec<String> {
    let own = std::process::id().to_string();
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let stats = entries.filter_map(|entry| std::fs::read_to_string(entry.path().join("stat")).ok());
    let is_child = |stat: &String| {
        let parent = stat.rsplit_once(") ").and_then(|(_, rest)| rest.split(' ').nth(1));
        parent == Some(own.as_str())
    };
    stats.filter(is_child).collect()
}

#[test]
fn counts_stay_within_their_limits() {
    let _guard = ONE_AT_A_TIME.lock();
    let scale = parse_plan(SHORT_PLAN);
    let report = run_scale(&scale, &Stop::after(scale.time_limit)).unwrap();
    assert_eq!(report.limit_checks.len(), 3, "{:?}", report.limit_checks);
    assert!(report.holds(), "{}", report.text());
    assert_eq!(children(), Vec::<String>::new());
}

#[test]
fn an_exceeded_limit_is_reported() {
    let _guard = ONE_AT_A_TIME.lock();
    // Each limit is lowered below what the run needs.
    let lowered = [("= 12\n", "= 5\n"), ("= 360\n", "= 100\n"), ("a-member = 60", "a-member = 40")];
    let text = lowered
        .iter()
        .fold(SHORT_PLAN.replace("[50, 100]", "[10, 20]"), |text, (from, to)| text.replace(from, to));
    let scale = parse_plan(&text);
    let report = run_scale(&scale, &Stop::after(scale.time_limit)).unwrap();
    let within_limits: Vec<&str> = report.limit_checks.iter().filter(|j| j.holds).map(|j| j.limit).collect();
    assert_eq!((report.limit_checks.len(), within_limits), (3, Vec::new()), "{}", report.text());
}

#[test]
fn an_interrupt_ends_all_started_processes() {
    let _guard = ONE_AT_A_TIME.lock();
    let scale = parse_plan(&SHORT_PLAN.replace("idle-s = 4", "idle-s = 50"));
    let stop = Stop::after(scale.time_limit);
    stop.on_signals().unwrap();
    let interrupter = std::thread::spawn(|| {
        while children().len() < 5 {
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(Duration::from_millis(500));
        kill_process(getpid(), Signal::INT).unwrap();
    });
    let reason = run_scale(&scale, &stop).err().and_then(|error| error.downcast::<Stopped>().ok());
    interrupter.join().unwrap();
    assert_eq!(reason.as_deref(), Some(&Stopped::Interrupted));
    assert_eq!(children(), Vec::<String>::new());
}
