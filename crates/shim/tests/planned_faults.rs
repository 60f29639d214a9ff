//! Each fault of a plan occurs in the program into which the library is loaded.

use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;

/// Returns the path of a build output of the same profile.
fn build_output(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap();
    // The test binary is in `deps`, below the folder of the profile.
    folder.pop();
    [folder.clone(), folder.parent().unwrap().to_owned()]
        .into_iter()
        .map(|folder| folder.join(name))
        .find(|path| path.exists())
        .unwrap_or_else(|| panic!("{name} is not built"))
}

/// Runs the program with the library loaded, and returns its output.
fn run_victim(plan: Option<&str>) -> String {
    let mut command = Command::new(build_output("examples/victim"));
    command.env("LD_PRELOAD", build_output("liblinestack_shim.so"));
    if let Some(plan) = plan {
        command.env("LINESTACK_SHIM", plan);
    }
    let output = command.output().unwrap();
    assert!(output.status.success(), "{:?} {}", output.status, String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn without_a_plan_nothing_fails() {
    let output_text = run_victim(None);
    for line in
        ["connect ok 0 x100", "accept ok 0 x100", "write ok 10 x100", "read ok 10 x100", "sync ok 0 x100"]
    {
        assert!(output_text.lines().any(|l| l == line), "{line} in\n{output_text}");
    }
    assert!(output_text.contains("clock 0\n"), "{output_text}");
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
#[case::clock_step_back("clock=-3600000@100", "clock -3599")]
#[case::clock_step_ahead("clock=3600000@100", "clock 3600")]
fn a_planned_fault_occurs_in_the_program(#[case] plan: &str, #[case] line: &str) {
    let output_text = run_victim(Some(plan));
    assert!(output_text.lines().any(|l| l.starts_with(line)), "{line} in\n{output_text}");
    assert!(output_text.contains("steady 0\n"), "{output_text}");
}

#[test]
fn a_fraction_of_the_calls_fails_and_the_same_seed_gives_the_same_number() {
    let output_text = run_victim(Some("seed=3; connect=0.5:EADDRNOTAVAIL"));
    let failed_connects = |output_text: &str| -> usize {
        let line = output_text.lines().find_map(|l| l.strip_prefix("connect 99 x")).expect("some calls fail");
        line.parse().unwrap()
    };
    assert!((30..70).contains(&failed_connects(&output_text)), "{output_text}");
    assert_eq!(
        failed_connects(&output_text),
        failed_connects(&run_victim(Some("seed=3; connect=0.5:EADDRNOTAVAIL")))
    );
}

#[test]
fn an_invalid_plan_terminates_the_process() {
    let mut command = Command::new(build_output("examples/victim"));
    command.env("LD_PRELOAD", build_output("liblinestack_shim.so")).env("LINESTACK_SHIM", "conect=1");
    assert_eq!(command.status().unwrap().code(), Some(97));
}
