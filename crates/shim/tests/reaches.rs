//! Each fault reaches the program that the library is loaded into.

use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;

fn beside(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap();
    // The test lies in `deps`, below the profile's folder.
    folder.pop();
    [folder.clone(), folder.parent().unwrap().to_owned()]
        .into_iter()
        .map(|folder| folder.join(name))
        .find(|path| path.exists())
        .unwrap_or_else(|| panic!("{name} is not built"))
}

fn played(plan: Option<&str>) -> String {
    let mut command = Command::new(beside("examples/victim"));
    command.env("LD_PRELOAD", beside("liblinestack_shim.so"));
    if let Some(plan) = plan {
        command.env("LINESTACK_SHIM", plan);
    }
    let output = command.output().unwrap();
    assert!(output.status.success(), "{:?} {}", output.status, String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn without_a_plan_nothing_fails() {
    let told = played(None);
    for line in
        ["connect ok 0 x100", "accept ok 0 x100", "write ok 10 x100", "read ok 10 x100", "sync ok 0 x100"]
    {
        assert!(told.lines().any(|l| l == line), "{line} in\n{told}");
    }
    assert!(told.contains("clock 0\n"), "{told}");
}

#[rstest]
#[case::connect("connect=1:ENETUNREACH", "connect 101 x100")]
#[case::socket("socket=0.5:ENFILE", "socket 23 x")]
#[case::accept("accept=1:ECONNABORTED", "accept 103 x100")]
#[case::short_write("short=1", "write ok 3 x")]
#[case::broken("broken=1:EHOSTUNREACH", "write 113 x100")]
#[case::file_write("file-write=1:ENOSPC", "file-write 28 x100")]
#[case::sync("sync=1", "sync 5 x100")]
#[case::open("open=1", "open 23 x100")]
#[case::step_back("clock=-3600000@100", "clock -3599")]
#[case::step_ahead("clock=3600000@100", "clock 3600")]
fn a_fault_reaches_the_program(#[case] plan: &str, #[case] line: &str) {
    let told = played(Some(plan));
    assert!(told.lines().any(|l| l.starts_with(line)), "{line} in\n{told}");
    assert!(told.contains("steady 0\n"), "{told}");
}

#[test]
fn a_part_of_the_calls_fails_and_the_same_seed_fails_the_same_part() {
    let told = played(Some("seed=3; connect=0.5:EADDRNOTAVAIL"));
    let failed = |told: &str| -> usize {
        let line = told.lines().find_map(|l| l.strip_prefix("connect 99 x")).expect("some fail");
        line.parse().unwrap()
    };
    assert!((30..70).contains(&failed(&told)), "{told}");
    assert_eq!(failed(&told), failed(&played(Some("seed=3; connect=0.5:EADDRNOTAVAIL"))));
}

#[test]
fn a_plan_that_is_not_understood_ends_the_process() {
    let mut command = Command::new(beside("examples/victim"));
    command.env("LD_PRELOAD", beside("liblinestack_shim.so")).env("LINESTACK_SHIM", "conect=1");
    assert_eq!(command.status().unwrap().code(), Some(97));
}
