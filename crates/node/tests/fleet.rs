//! Fleets of nodes and coordinators with faults in processes and connections: a change of policy takes effect on all nodes or on
//! none.

use std::path::Path;
use std::sync::Mutex;

use linestack_history::HistoryEvent;
use linestack_rig::check::Violation;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome, run};
use rstest::rstest;

/// Fleets run one at a time: side by side they would exceed the time limits under test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs the plan with this text, in the format of the files in scenarios/fleet.
fn run_plan(text: &str) -> Outcome {
    let plan = Plan::read(text).unwrap();
    let guard = ONE_AT_A_TIME.lock();
    let folder = tempfile::tempdir().unwrap();
    let outcome = run(&plan, Path::new(env!("CARGO_BIN_EXE_linestack")), folder.path()).unwrap();
    drop(guard);
    outcome
}

/// Checks that no guarantee was violated, that the whole plan was carried out, and that there was load.
fn assert_sound(outcome: &Outcome) {
    assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
    assert!(outcome.findings.is_empty(), "{:?}", outcome.findings);
    let satisfied: u64 = outcome.seconds.iter().map(|s| s.satisfied).sum();
    assert!(satisfied > 50, "almost no load: {:?}", outcome.seconds);
}

/// Returns the outcome that the operator received for a request, or "nothing" if there was no answer.
fn operator_outcome<'a>(outcome: &'a Outcome, request: &str) -> &'a str {
    let found = outcome.lines.iter().find_map(|l| match &l.what {
        HistoryEvent::Heard { request: r, outcome } if r == request => Some(outcome.as_str()),
        _ => None,
    });
    found.unwrap_or("nothing")
}

/// Returns the highest version of the policy that was decided, or 0 if there is none.
fn last_decided_version(outcome: &Outcome) -> u64 {
    let versions = outcome.lines.iter().filter_map(|l| match l.what {
        HistoryEvent::Decided { version, .. } => Some(version),
        _ => None,
    });
    versions.max().unwrap_or(0)
}

/// The part of a plan that stands before its steps: the fleet and its load.
const FLEET: &str =
    "nodes = 10\ncoordinators = 3\nlease-ms = 1000\ntail-ms = 500\nload.rate = 150\nload.clients = 24\n";

/// Returns the text of a plan with these steps.
fn plan(steps: &str) -> String {
    format!("{FLEET}{steps}")
}

/// The step in which an operator proposes, as the request `r1`, to replace version 1 of the policy by policy 2.
const PROPOSE: &str = "[[steps]]\nafter-ms = 300\ndo = \"propose\"\nrequest = \"r1\"\nbase = 1\nterms = 2\n";
/// The step that waits until a change is decided.
const DECIDED: &str = "[[steps]]\nline = \"decided\"\n";

// Two nodes are down; one is paused for longer than its lease, and resumes with requests in flight.
#[test]
fn nodes_down_and_paused() {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"n0\", \"n1\"]\n[[steps]]\ndo = \"pause\"\nto = [\"n2\"]\n\
         {PROPOSE}{DECIDED}[[steps]]\nafter-ms = 1200\ndo = \"resume\"\nto = [\"n2\"]\n[[steps]]\ndo = \"start\"\nto = [\"n0\", \"n1\"]\n"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("decided", 2));
    // Requests arrived at n2 while it was paused. It must reject them when it resumes, because its lease has expired.
    let rejected =
        |l: &&linestack_history::Line| l.by == "n2" && matches!(l.what, HistoryEvent::TurnedAway { .. });
    assert!(outcome.lines.iter().filter(rejected).count() > 0);
}

// One node receives nothing from the coordinators; another node's messages do not reach them.
#[test]
fn connections_cut_in_one_direction() {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"cut\"\nto = [\"n0>c*\"]\nsides = [\"back\"]\n[[steps]]\ndo = \"cut\"\nto = [\"n1>c*\"]\n\
         sides = [\"forth\"]\n{PROPOSE}{DECIDED}[[steps]]\nafter-ms = 500\ndo = \"heal\"\nto = [\"*>*\"]\n"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("decided", 2));
}

// The leader of the coordinators is killed once the `count`th frame of a kind has passed on the links that `way` names (o is the
// operator, c* are coordinators, n* are nodes); each case is a stage of a policy change. The change may be decided or not, but the
// outcome must be the same on all nodes.
#[rstest]
#[case::before_any_coordinator_has_it("request", "o>c*", 1)]
#[case::one_has_accepted("accept", "c*>c*", 1)]
#[case::most_have_accepted("accepted", "c*>c*", 1)]
#[case::some_nodes_are_notified("reply", "n*>c*", 14)]
#[case::most_nodes_have_persisted_it("request", "n*>c*", 24)]
#[case::it_is_being_decided("accept", "c*>c*", 3)]
#[case::it_is_decided("accepted", "c*>c*", 4)]
fn the_leader_is_killed_after(#[case] frame: &str, #[case] way: &str, #[case] count: u32) {
    let side = if matches!(frame, "reply") { "back" } else { "forth" };
    let outcome = run_plan(&plan(&format!(
        "{PROPOSE}[[steps]]\nframe = \"{frame}\"\nway = \"{way}\"\nside = \"{side}\"\ncount = {count}\ndo = \"kill\"\nto = [\"speaker\"]\n\
         [[steps]]\nline = \"established\"\n[[steps]]\nafter-ms = 300\ndo = \"start\"\nto = [\"down\"]\n"
    )));
    assert_sound(&outcome);
    assert!(
        ["decided", "unknown"].contains(&operator_outcome(&outcome, "r1")),
        "{}",
        operator_outcome(&outcome, "r1")
    );
}

// While most coordinators are down, nothing is decided, and no node accepts requests after its lease has expired.
#[test]
fn the_majority_is_lost_and_restored() {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"c0\", \"c1\"]\n{PROPOSE}[[steps]]\nafter-ms = 1500\ndo = \"start\"\n\
         to = [\"c0\", \"c1\"]\n{DECIDED}"
    )));
    assert_sound(&outcome);
    let rejected = outcome.lines.iter().filter(|l| matches!(l.what, HistoryEvent::TurnedAway { .. })).count();
    assert!(rejected > 10, "nodes accepted requests without a lease: {rejected} rejected");
    assert_eq!(last_decided_version(&outcome), 2);
}

// All coordinators are down, and two have lost their stores, possibly with a change that only they had. `--refound` starts the
// fleet again from the remaining store. Its versions continue a million higher, above all that may have been assigned, and changes
// are decided again.
#[test]
fn the_majority_lost_its_stores() {
    let other =
        PROPOSE.replace("r1", "r2").replace("base = 1", "base = 1000001").replace("terms = 2", "terms = 3");
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"c0\", \"c1\", \"c2\"]\n[[steps]]\nafter-ms = 200\ndo = \"refound\"\n\
         to = [\"c0\"]\n[[steps]]\nline = \"established\"\n{other}{DECIDED}"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r2"), last_decided_version(&outcome)), ("decided", 1_000_002));
}

// `--refound` on coordinator 0 of three is refused while a majority still has its stores or another coordinator answers, and for
// wrong numbers of lost coordinators.
#[rstest]
#[case::a_majority_is_left("2", true, "fleet replace")]
#[case::another_coordinator_answers("1,2", false, "stop all of them first")]
#[case::itself("0,1", true, "--lost")]
#[case::unknown_numbers("7,8", true, "--lost")]
fn refound_is_refused(#[case] lost: &str, #[case] others_down: bool, #[case] expected_error: &str) {
    use linestack_rig::process::Process;
    let folder = tempfile::tempdir().unwrap();
    let fleet = linestack_rig::stand_ins::StandInFleet::start(&linestack_world::Scenario::default()).unwrap();
    let mut policy = fleet.configuration("n", 1)["settings"].clone();
    policy.as_object_mut().unwrap().remove("az");
    let path = folder.path();
    std::fs::write(path.join("policy.json"), policy.to_string()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_linestack"));
    let mut running: Vec<Process> = Vec::new();
    let mut address = "127.0.0.1:1".to_owned();
    for number in [1, 0] {
        let file = path.join(format!("c{number}.toml"));
        let text = format!(
            "[coordinator]\nfleet = \"f\"\nnumber = {number}\nlisten = \"127.0.0.1:0\"\npeers = [\"127.0.0.1:1\", {address:?}, \"127.0.0.1:1\"]\n\
             folder = {:?}\nfirst-policy = {:?}\n",
            path.join(format!("store{number}")),
            path.join("policy.json")
        );
        std::fs::write(&file, text).unwrap();
        let arguments = ["coordinate", file.to_str().unwrap(), "--first"];
        let mut process =
            Process::new(&format!("c{number}"), path.join(format!("run{number}")), program, &arguments);
        process.start().unwrap();
        address = process.wait_until_listening(0).unwrap().to_string();
        running.push(process);
    }
    running[1].kill().unwrap();
    if others_down {
        running[0].kill().unwrap();
    }
    let out = path.join("out");
    let mut command = std::process::Command::new(program);
    command.arg("coordinate").arg(path.join("c0.toml")).args(["--lost", lost, "--refound"]).arg(&out);
    let output = command.output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    assert!(!output.status.success() && text.contains(expected_error) && !out.exists(), "{text}");
}

#[test]
fn two_operators_at_once() {
    let other = PROPOSE.replace("r1", "r2").replace("terms = 2", "terms = 3").replace("300", "0");
    let outcome = run_plan(&plan(&format!("{PROPOSE}{other}{DECIDED}")));
    assert_sound(&outcome);
    let mut ends = [operator_outcome(&outcome, "r1"), operator_outcome(&outcome, "r2")];
    ends.sort_unstable();
    assert_eq!((ends, last_decided_version(&outcome)), (["decided", "refused"], 2));
}

// The operator's request arrives, but the answer is lost. The operator repeats the request and gets the outcome.
#[test]
fn the_answer_to_the_operator_is_lost() {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\ndo = \"cut-at\"\nto = [\"o>c*\"]\nside = \"back\"\nrequest = \"reply\"\nbytes = 7\n{PROPOSE}{DECIDED}"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("decided", 2));
}

// A change to an invalid policy (policy 0) and a change of a version that does not exist are refused and take effect on no node.
#[test]
fn refused_changes_take_effect_nowhere() {
    let wrong_base = PROPOSE.replace("r1", "r2").replace("base = 1", "base = 5");
    let outcome = run_plan(&plan(&format!("{}{wrong_base}", PROPOSE.replace("terms = 2", "terms = 0"))));
    assert_sound(&outcome);
    assert_eq!(
        (operator_outcome(&outcome, "r1"), operator_outcome(&outcome, "r2"), last_decided_version(&outcome)),
        ("refused", "refused", 1)
    );
}

// A change that requires all nodes is not decided while one is down. At its time limit it is dropped.
#[test]
fn a_change_that_requires_all_nodes_is_dropped_at_its_time_limit() {
    let propose = PROPOSE.replace("terms = 2", "terms = 2\nall = true\ngive-up-ms = 1500");
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"n0\"]\n{propose}[[steps]]\nline = \"dropped\"\ndo = \"start\"\nto = [\"n0\"]\n"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("dropped", 1));
}

// A coordinator that restarts with an older state of its store must not vote. A copied store is detected by the identity of its
// file, so the start is refused. A disk that was rolled back is detected by the state that the other coordinators have seen.
#[rstest]
#[case::copied("start-older", true)]
#[case::rolled_back("start-rolled-back", false)]
fn an_older_copy_does_not_vote(#[case] start: &str, #[case] refused: bool) {
    let more = PROPOSE.replace("r1", "r2").replace("base = 1", "base = 2").replace("terms = 2", "terms = 3");
    let stopped = if refused { "" } else { "[[steps]]\ndo = \"gone\"\nto = [\"c2\"]\n" };
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"c2\"]\n[[steps]]\ndo = \"copy\"\nto = [\"c2\"]\n[[steps]]\ndo = \"start\"\nto = [\"c2\"]\n\
         {PROPOSE}{DECIDED}[[steps]]\nafter-ms = 400\ndo = \"kill\"\nto = [\"c2\"]\n\
         [[steps]]\ndo = \"{start}\"\nto = [\"c2\"]\nrefused = {refused}\n{stopped}{more}{DECIDED}"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r2"), last_decided_version(&outcome)), ("decided", 3));
}

// A coordinator whose store is lost does not rejoin by itself: the other coordinators must agree to replace it. Then another one is
// killed, and the replacement and the remaining coordinator, a majority of the three, decide a change.
#[test]
fn a_lost_store_is_replaced_by_agreement() {
    let more = PROPOSE.replace("r1", "r2").replace("base = 1", "base = 2").replace("terms = 2", "terms = 3");
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\nafter-ms = 200\ndo = \"kill\"\nto = [\"c2\"]\n{PROPOSE}{DECIDED}[[steps]]\ndo = \"start-empty\"\nto = [\"c2\"]\n\
         refused = true\n[[steps]]\ndo = \"replace\"\nto = [\"c2\"]\n[[steps]]\nafter-ms = 600\ndo = \"kill\"\nto = [\"c0\"]\n\
         {more}{DECIDED}[[steps]]\ndo = \"start\"\nto = [\"c0\"]\n"
    )));
    assert_sound(&outcome);
    assert_eq!(
        (operator_outcome(&outcome, "r1"), operator_outcome(&outcome, "r2"), last_decided_version(&outcome)),
        ("decided", "decided", 3)
    );
}

// A coordinator whose disk is full exits before it sends anything that it could not persist; the others continue.
#[test]
fn a_disk_is_full() {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\nafter-ms = 200\ndo = \"kill\"\nto = [\"c2\"]\n[[steps]]\ndo = \"start\"\nto = [\"c2\"]\nfault = \"disk-full-after=2\"\n\
         {PROPOSE}{DECIDED}[[steps]]\ndo = \"gone\"\nto = [\"c2\"]\n[[steps]]\ndo = \"start\"\nto = [\"c2\"]\n"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("decided", 2));
}

// In the available mode (`strict = false`) a node without coordinators continues under the last policy that it knows.
#[test]
fn available_mode_continues_without_coordinators() {
    let outcome = run_plan(&plan(
        "strict = false\n[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"c*\"]\n[[steps]]\nafter-ms = 2000\ndo = \"start\"\nto = [\"c*\"]\n",
    ));
    assert_sound(&outcome);
    assert!(!outcome.lines.iter().any(|l| matches!(l.what, HistoryEvent::TurnedAway { .. })));
}

// Tests the checks themselves: they must report the violation that a node commits with a known fault switched on.
#[rstest]
#[case::never_fenced("unfenced", Violation::Unfenced)]
#[case::too_early("early", Violation::Undecided)]
fn a_broken_node_is_found(#[case] fault: &str, #[case] violation: Violation) {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"n0\"]\n[[steps]]\ndo = \"start\"\nto = [\"n0\"]\nfault = \"{fault}\"\n\
         [[steps]]\nafter-ms = 500\ndo = \"pause\"\nto = [\"n9\"]\n{PROPOSE}[[steps]]\nafter-ms = 400\ndo = \"cut\"\nto = [\"n0>c*\"]\n\
         [[steps]]\nafter-ms = 1500\ndo = \"heal\"\nto = [\"n0>c*\"]\n[[steps]]\ndo = \"resume\"\nto = [\"n9\"]\n"
    )));
    assert!(outcome.findings.iter().any(|f| f.violation == violation), "{:?}", outcome.findings);
}
