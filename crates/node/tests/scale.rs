//! The scale run's short form: hollow members beside real coordinators, limits on counts alone.

use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use linestack_lab::scale::file::{Scale, parse};
use linestack_lab::scale::machine::Machine;
use linestack_lab::scale::report::Report;
use linestack_lab::scale::run;
use linestack_lab::scale::stop::{Stop, Stopped};
use rustix::process::{Signal, getpid, kill_process};

/// One run at a time: each looks at the processes of this one.
static TURN: Mutex<()> = Mutex::new(());
const SHORT: &str = include_str!("../../../scenarios/scale/short.toml");

fn read(text: &str) -> Scale {
    parse(text, &Machine::read().unwrap()).unwrap()
}

fn play(scale: &Scale, stop: &Stop) -> Result<Report, Box<dyn std::error::Error>> {
    let program = Path::new(env!("CARGO_BIN_EXE_linestack"));
    run(scale, Machine::read().unwrap(), program, Path::new("no-lab"), stop, &|_| {})
}

/// Processes that this one started and that run still.
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
fn counts_keep_to_their_limits() {
    let _turn = TURN.lock();
    let scale = read(SHORT);
    let report = play(&scale, &Stop::after(scale.span)).unwrap();
    assert_eq!(report.judged.len(), 3, "{:?}", report.judged);
    assert!(report.holds(), "{}", report.text());
    assert_eq!(children(), Vec::<String>::new());
}

#[test]
fn a_limit_that_is_passed_is_told() {
    let _turn = TURN.lock();
    let tight = [("= 12\n", "= 5\n"), ("= 360\n", "= 100\n"), ("a-member = 60", "a-member = 40")];
    let text =
        tight.iter().fold(SHORT.replace("[50, 100]", "[10, 20]"), |text, (from, to)| text.replace(from, to));
    let scale = read(&text);
    let report = play(&scale, &Stop::after(scale.span)).unwrap();
    let held: Vec<&str> = report.judged.iter().filter(|j| j.holds).map(|j| j.limit).collect();
    assert_eq!((report.judged.len(), held), (3, Vec::new()), "{}", report.text());
}

#[test]
fn an_interrupt_ends_all_that_was_started() {
    let _turn = TURN.lock();
    let scale = read(&SHORT.replace("idle-s = 4", "idle-s = 50"));
    let stop = Stop::after(scale.span);
    stop.on_signals().unwrap();
    let interrupts = std::thread::spawn(|| {
        while children().len() < 5 {
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(Duration::from_millis(500));
        kill_process(getpid(), Signal::INT).unwrap();
    });
    let why = play(&scale, &stop).err().and_then(|why| why.downcast::<Stopped>().ok());
    interrupts.join().unwrap();
    assert_eq!(why.as_deref(), Some(&Stopped::Interrupted));
    assert_eq!(children(), Vec::<String>::new());
}
