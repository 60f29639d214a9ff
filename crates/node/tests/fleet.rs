//! Several processes of the program with faults between them: a change of policy takes effect on all nodes or on none.

use std::path::Path;
use std::sync::Mutex;

use linestack_history::HistoryEvent;
use linestack_rig::check::Broken;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome, run};
use rstest::rstest;

/// Fleets run one at a time, so that the machine is fast enough for the time limits under test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_plan(text: &str) -> Outcome {
    let plan = Plan::read(text).unwrap();
    let guard = ONE_AT_A_TIME.lock();
    let folder = tempfile::tempdir().unwrap();
    let outcome = run(&plan, Path::new(env!("CARGO_BIN_EXE_linestack")), folder.path()).unwrap();
    drop(guard);
    outcome
}

fn assert_sound(outcome: &Outcome) {
    assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
    assert!(outcome.findings.is_empty(), "{:?}", outcome.findings);
    let satisfied: u64 = outcome.seconds.iter().map(|s| s.satisfied).sum();
    assert!(satisfied > 50, "almost no load: {:?}", outcome.seconds);
}

/// Returns the outcome that the operator was told for a request, or "nothing".
fn operator_outcome<'a>(outcome: &'a Outcome, request: &str) -> &'a str {
    let found = outcome.lines.iter().find_map(|l| match &l.what {
        HistoryEvent::Heard { request: r, outcome } if r == request => Some(outcome.as_str()),
        _ => None,
    });
    found.unwrap_or("nothing")
}

fn last_decided_version(outcome: &Outcome) -> u64 {
    let versions = outcome.lines.iter().filter_map(|l| match l.what {
        HistoryEvent::Decided { version, .. } => Some(version),
        _ => None,
    });
    versions.max().unwrap_or(0)
}

const FLEET: &str =
    "nodes = 10\ncoordinators = 3\nlease-ms = 1000\ntail-ms = 500\nload.rate = 150\nload.clients = 24\n";

fn plan(steps: &str) -> String {
    format!("{FLEET}{steps}")
}

const PROPOSE: &str = "[[steps]]\nafter-ms = 300\ndo = \"propose\"\nrequest = \"r1\"\nbase = 1\nterms = 2\n";
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
    // After it resumed, requests were waiting at it, and it may not accept them.
    let rejected =
        |l: &&linestack_history::Line| l.by == "n2" && matches!(l.what, HistoryEvent::TurnedAway { .. });
    assert!(outcome.lines.iter().filter(rejected).count() > 0);
}

// One node receives nothing from the coordinators; from another they receive nothing.
#[test]
fn connections_cut_in_one_direction() {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"cut\"\nto = [\"n0>c*\"]\nsides = [\"back\"]\n[[steps]]\ndo = \"cut\"\nto = [\"n1>c*\"]\n\
         sides = [\"forth\"]\n{PROPOSE}{DECIDED}[[steps]]\nafter-ms = 500\ndo = \"heal\"\nto = [\"*>*\"]\n"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("decided", 2));
}

// The leader of the coordinators is killed after a certain message of a policy change has passed. The outcome of the change is open,
// but it must be the same on all nodes.
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
         [[steps]]\nline = \"established\"\n[[steps]]\nafter-ms = 300\ndo = \"start\"\nto = [\"c*\"]\n"
    )
    .replace("to = [\"c*\"]", "to = [\"down\"]")));
    assert_sound(&outcome);
    assert!(
        ["decided", "unknown"].contains(&operator_outcome(&outcome, "r1")),
        "{}",
        operator_outcome(&outcome, "r1")
    );
}

// While most coordinators are down nothing is decided, and no node accepts requests once the leases have expired.
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

// All coordinators are down and two have lost their stores, including a change that only they had. The fleet is founded again from
// the remaining store, with versions above all that were ever assigned, and changes are decided again.
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

// `--refound` is refused while it isn't needed, and for wrong coordinator numbers.
#[rstest]
#[case::a_majority_is_left("2", true, "fleet replace")]
#[case::another_coordinator_answers("1,2", false, "stop all of them first")]
#[case::itself("0,1", true, "--lost")]
#[case::unknown_numbers("7,8", true, "--lost")]
fn refound_is_refused(#[case] lost: &str, #[case] down: bool, #[case] expected: &str) {
    use linestack_rig::process::Process;
    let folder = tempfile::tempdir().unwrap();
    let fleet = linestack_rig::stand::Fleet::start(&linestack_world::Scenario::default()).unwrap();
    let mut policy = fleet.configuration("n", 1)["settings"].clone();
    policy.as_object_mut().unwrap().remove("az");
    let at = folder.path();
    std::fs::write(at.join("policy.json"), policy.to_string()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_linestack"));
    let mut running: Vec<Process> = Vec::new();
    let mut address = "127.0.0.1:1".to_owned();
    for c in [1, 0] {
        let file = at.join(format!("c{c}.toml"));
        let text = format!(
            "[coordinator]\nfleet = \"f\"\nnumber = {c}\nlisten = \"127.0.0.1:0\"\npeers = [\"127.0.0.1:1\", {address:?}, \"127.0.0.1:1\"]\n\
             folder = {:?}\nfirst-policy = {:?}\n",
            at.join(format!("store{c}")),
            at.join("policy.json")
        );
        std::fs::write(&file, text).unwrap();
        let words = ["coordinate", file.to_str().unwrap(), "--first"];
        let mut process = Process::new(&format!("c{c}"), at.join(format!("run{c}")), program, &words);
        process.start().unwrap();
        address = process.listens(0).unwrap().to_string();
        running.push(process);
    }
    running[1].kill().unwrap();
    if down {
        running[0].kill().unwrap();
    }
    let out = at.join("out");
    let mut command = std::process::Command::new(program);
    command.arg("coordinate").arg(at.join("c0.toml")).args(["--lost", lost, "--refound"]).arg(&out);
    let output = command.output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    assert!(!output.status.success() && text.contains(expected) && !out.exists(), "{text}");
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

// The operator's request arrives, but the answer is lost; the repeated request returns the outcome.
#[test]
fn the_answer_to_the_operator_is_lost() {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\ndo = \"cut-at\"\nto = [\"o>c*\"]\nside = \"back\"\nrequest = \"reply\"\nbytes = 7\n{PROPOSE}{DECIDED}"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("decided", 2));
}

// An invalid change, and a change based on a version that does not exist, are refused and take effect on no node.
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

// A change that requires all nodes is not decided while one is down; it is dropped at its time limit, once.
#[test]
fn a_change_that_requires_all_nodes_is_dropped_at_its_time_limit() {
    let propose = PROPOSE.replace("terms = 2", "terms = 2\nall = true\ngive-up-ms = 1500");
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"n0\"]\n{propose}[[steps]]\nline = \"dropped\"\ndo = \"start\"\nto = [\"n0\"]\n"
    )));
    assert_sound(&outcome);
    assert_eq!((operator_outcome(&outcome, "r1"), last_decided_version(&outcome)), ("dropped", 1));
}

// A coordinator that restarts on an older state must not vote: a copy is detected by the identity of its file, a disk that was rolled
// back by the state that the other coordinators have seen.
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

// A coordinator whose store is lost does not rejoin by itself. A replacement is agreed on; with the one remaining coordinator it is a
// majority of three, and the two decide a change.
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

// A full disk stops a coordinator before it sends anything that it could not persist; the others continue.
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

// Faulty nodes are detected: each process has a known fault switched on.
#[rstest]
#[case::never_fenced("unfenced", Broken::Unfenced)]
#[case::too_early("early", Broken::Undecided)]
fn a_broken_node_is_found(#[case] fault: &str, #[case] broken: Broken) {
    let outcome = run_plan(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"n0\"]\n[[steps]]\ndo = \"start\"\nto = [\"n0\"]\nfault = \"{fault}\"\n\
         [[steps]]\nafter-ms = 500\ndo = \"pause\"\nto = [\"n9\"]\n{PROPOSE}[[steps]]\nafter-ms = 400\ndo = \"cut\"\nto = [\"n0>c*\"]\n\
         [[steps]]\nafter-ms = 1500\ndo = \"heal\"\nto = [\"n0>c*\"]\n[[steps]]\ndo = \"resume\"\nto = [\"n9\"]\n"
    )));
    assert!(outcome.findings.iter().any(|f| f.broken == broken), "{:?}", outcome.findings);
}
