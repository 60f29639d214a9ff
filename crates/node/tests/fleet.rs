//! Several processes of the program with faults between them: a change of policy takes hold everywhere or nowhere.

use std::path::Path;
use std::sync::Mutex;

use linestack_history::What;
use linestack_rig::check::Violation;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome, run};
use rstest::rstest;

/// One fleet at a time: the machine is to be fast enough for what is promised.
static TURN: Mutex<()> = Mutex::new(());

fn play(text: &str) -> Outcome {
    let plan = Plan::read(text).unwrap();
    let turn = TURN.lock();
    let folder = tempfile::tempdir().unwrap();
    let outcome = run(&plan, Path::new(env!("CARGO_BIN_EXE_linestack")), folder.path()).unwrap();
    drop(turn);
    outcome
}

fn sound(outcome: &Outcome) {
    assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
    assert!(outcome.findings.is_empty(), "{:?}", outcome.findings);
    let satisfied: u64 = outcome.seconds.iter().map(|s| s.satisfied).sum();
    assert!(satisfied > 50, "there was no load to speak of: {:?}", outcome.seconds);
}

/// What the operator was told of a request.
fn heard<'a>(outcome: &'a Outcome, request: &str) -> &'a str {
    let found = outcome.lines.iter().find_map(|l| match &l.what {
        What::Heard { request: r, outcome } if r == request => Some(outcome.as_str()),
        _ => None,
    });
    found.unwrap_or("nothing")
}

fn decided(outcome: &Outcome) -> u64 {
    let versions = outcome.lines.iter().filter_map(|l| match l.what {
        What::Decided { version, .. } => Some(version),
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

// Two nodes are down; one is asleep for longer than its leave lasts, and wakes in the middle of its work.
#[test]
fn down_and_asleep() {
    let outcome = play(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"n0\", \"n1\"]\n[[steps]]\ndo = \"pause\"\nto = [\"n2\"]\n\
         {PROPOSE}{DECIDED}[[steps]]\nafter-ms = 1200\ndo = \"resume\"\nto = [\"n2\"]\n[[steps]]\ndo = \"start\"\nto = [\"n0\", \"n1\"]\n"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r1"), decided(&outcome)), ("decided", 2));
    // It woke to requests that were waiting, and may not take them.
    let away = |l: &&linestack_history::Line| l.by == "n2" && matches!(l.what, What::TurnedAway { .. });
    assert!(outcome.lines.iter().filter(away).count() > 0);
}

// One node hears nothing of the coordinators, another is not heard by them.
#[test]
fn one_way_only() {
    let outcome = play(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"cut\"\nto = [\"n0>c*\"]\nsides = [\"back\"]\n[[steps]]\ndo = \"cut\"\nto = [\"n1>c*\"]\n\
         sides = [\"forth\"]\n{PROPOSE}{DECIDED}[[steps]]\nafter-ms = 500\ndo = \"heal\"\nto = [\"*>*\"]\n"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r1"), decided(&outcome)), ("decided", 2));
}

// Whoever speaks for the fleet is killed after a message of the change has passed. What becomes of it is open; that it
// becomes of it everywhere is not.
#[rstest]
#[case::before_any_has_it("request", "o>c*", 1)]
#[case::one_has_accepted("accept", "c*>c*", 1)]
#[case::most_have_accepted("accepted", "c*>c*", 1)]
#[case::some_are_told("reply", "n*>c*", 14)]
#[case::most_have_kept_it("request", "n*>c*", 24)]
#[case::it_is_being_decided("accept", "c*>c*", 3)]
#[case::it_is_decided("accepted", "c*>c*", 4)]
fn the_speaker_is_killed_after(#[case] frame: &str, #[case] way: &str, #[case] count: u32) {
    let side = if matches!(frame, "reply") { "back" } else { "forth" };
    let outcome = play(&plan(&format!(
        "{PROPOSE}[[steps]]\nframe = \"{frame}\"\nway = \"{way}\"\nside = \"{side}\"\ncount = {count}\ndo = \"kill\"\nto = [\"speaker\"]\n\
         [[steps]]\nline = \"established\"\n[[steps]]\nafter-ms = 300\ndo = \"start\"\nto = [\"c*\"]\n"
    )
    .replace("to = [\"c*\"]", "to = [\"down\"]")));
    sound(&outcome);
    assert!(["decided", "unknown"].contains(&heard(&outcome, "r1")), "{}", heard(&outcome, "r1"));
}

// Nothing is decided while most coordinators are down, and nobody takes anything once leaves are over.
#[test]
fn the_majority_is_lost_and_back() {
    let outcome = play(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"c0\", \"c1\"]\n{PROPOSE}[[steps]]\nafter-ms = 1500\ndo = \"start\"\n\
         to = [\"c0\", \"c1\"]\n{DECIDED}"
    )));
    sound(&outcome);
    let turned = outcome.lines.iter().filter(|l| matches!(l.what, What::TurnedAway { .. })).count();
    assert!(turned > 10, "all took on without leave: {turned}");
    assert_eq!(decided(&outcome), 2);
}

// All coordinators are down and two have lost what they stored, a change among it that only they had: the one that is left
// is gone on from, above every version that was ever given, and changes are decided again.
#[test]
fn the_majority_lost_its_stores() {
    let other =
        PROPOSE.replace("r1", "r2").replace("base = 1", "base = 1000001").replace("terms = 2", "terms = 3");
    let outcome = play(&plan(&format!(
        "[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"c0\", \"c1\", \"c2\"]\n[[steps]]\nafter-ms = 200\ndo = \"refound\"\n\
         to = [\"c0\"]\n[[steps]]\nline = \"established\"\n{other}{DECIDED}"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r2"), decided(&outcome)), ("decided", 1_000_002));
}

// It is refused while it isn't needed, and by whoever is not the one.
#[rstest]
#[case::a_majority_is_left("2", true, "fleet replace")]
#[case::another_answers("1,2", false, "stop all of them first")]
#[case::itself("0,1", true, "--lost")]
#[case::nobody("7,8", true, "--lost")]
fn refound_is_refused(#[case] lost: &str, #[case] down: bool, #[case] why: &str) {
    use linestack_rig::process::Process;
    let folder = tempfile::tempdir().unwrap();
    let fleet = linestack_rig::stand_ins::StandInFleet::start(&linestack_world::Scenario::default()).unwrap();
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
        address = process.wait_until_listening(0).unwrap().to_string();
        running.push(process);
    }
    running[1].kill().unwrap();
    if down {
        running[0].kill().unwrap();
    }
    let out = at.join("out");
    let mut command = std::process::Command::new(program);
    command.arg("coordinate").arg(at.join("c0.toml")).args(["--lost", lost, "--refound"]).arg(&out);
    let done = command.output().unwrap();
    let text = String::from_utf8([done.stdout, done.stderr].concat()).unwrap();
    assert!(!done.status.success() && text.contains(why) && !out.exists(), "{text}");
}

#[test]
fn two_operators_at_once() {
    let other = PROPOSE.replace("r1", "r2").replace("terms = 2", "terms = 3").replace("300", "0");
    let outcome = play(&plan(&format!("{PROPOSE}{other}{DECIDED}")));
    sound(&outcome);
    let mut ends = [heard(&outcome, "r1"), heard(&outcome, "r2")];
    ends.sort_unstable();
    assert_eq!((ends, decided(&outcome)), (["decided", "refused"], 2));
}

// The operator's question gets there, and the answer does not come back; asked again, the outcome is told.
#[test]
fn the_answer_to_the_operator_is_lost() {
    let outcome = play(&plan(&format!(
        "[[steps]]\ndo = \"cut-at\"\nto = [\"o>c*\"]\nside = \"back\"\nrequest = \"reply\"\nbytes = 7\n{PROPOSE}{DECIDED}"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r1"), decided(&outcome)), ("decided", 2));
}

// One that can't be taken, and one that builds on what is not there, are refused and nowhere.
#[test]
fn refused_and_nowhere() {
    let unbuilt = PROPOSE.replace("r1", "r2").replace("base = 1", "base = 5");
    let outcome = play(&plan(&format!("{}{unbuilt}", PROPOSE.replace("terms = 2", "terms = 0"))));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r1"), heard(&outcome, "r2"), decided(&outcome)), ("refused", "refused", 1));
}

// Waiting for all means all; it is given up in time, once.
#[test]
fn given_up() {
    let propose = PROPOSE.replace("terms = 2", "terms = 2\nall = true\ngive-up-ms = 1500");
    let outcome = play(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"n0\"]\n{propose}[[steps]]\nline = \"dropped\"\ndo = \"start\"\nto = [\"n0\"]\n"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r1"), decided(&outcome)), ("dropped", 1));
}

// A coordinator that comes back on an older copy must not vote: one that was copied is known by its file, one whose disk
// went back by what the others have seen of it.
#[rstest]
#[case::copied("start-older", true)]
#[case::gone_back("start-rolled-back", false)]
fn an_older_copy_does_not_vote(#[case] start: &str, #[case] refused: bool) {
    let more = PROPOSE.replace("r1", "r2").replace("base = 1", "base = 2").replace("terms = 2", "terms = 3");
    let gone = if refused { "" } else { "[[steps]]\ndo = \"gone\"\nto = [\"c2\"]\n" };
    let outcome = play(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"c2\"]\n[[steps]]\ndo = \"copy\"\nto = [\"c2\"]\n[[steps]]\ndo = \"start\"\nto = [\"c2\"]\n\
         {PROPOSE}{DECIDED}[[steps]]\nafter-ms = 400\ndo = \"kill\"\nto = [\"c2\"]\n\
         [[steps]]\ndo = \"{start}\"\nto = [\"c2\"]\nrefused = {refused}\n{gone}{more}{DECIDED}"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r2"), decided(&outcome)), ("decided", 3));
}

// A coordinator whose store is gone does not come back by itself. Another is agreed on in its place; with the one that
// is left it is most of three, and a change is decided by these two.
#[test]
fn a_lost_store_is_replaced_by_agreement() {
    let more = PROPOSE.replace("r1", "r2").replace("base = 1", "base = 2").replace("terms = 2", "terms = 3");
    let outcome = play(&plan(&format!(
        "[[steps]]\nafter-ms = 200\ndo = \"kill\"\nto = [\"c2\"]\n{PROPOSE}{DECIDED}[[steps]]\ndo = \"start-empty\"\nto = [\"c2\"]\n\
         refused = true\n[[steps]]\ndo = \"replace\"\nto = [\"c2\"]\n[[steps]]\nafter-ms = 600\ndo = \"kill\"\nto = [\"c0\"]\n\
         {more}{DECIDED}[[steps]]\ndo = \"start\"\nto = [\"c0\"]\n"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r1"), heard(&outcome, "r2"), decided(&outcome)), ("decided", "decided", 3));
}

// A full disk ends a coordinator before it says what it could not keep; the others go on.
#[test]
fn a_disk_is_full() {
    let outcome = play(&plan(&format!(
        "[[steps]]\nafter-ms = 200\ndo = \"kill\"\nto = [\"c2\"]\n[[steps]]\ndo = \"start\"\nto = [\"c2\"]\nfault = \"disk-full-after=2\"\n\
         {PROPOSE}{DECIDED}[[steps]]\ndo = \"gone\"\nto = [\"c2\"]\n[[steps]]\ndo = \"start\"\nto = [\"c2\"]\n"
    )));
    sound(&outcome);
    assert_eq!((heard(&outcome, "r1"), decided(&outcome)), ("decided", 2));
}

// Without coordinators a node in the other mode goes on, under the last terms that it knows.
#[test]
fn available_goes_on() {
    let outcome = play(&plan(
        "strict = false\n[[steps]]\nafter-ms = 300\ndo = \"kill\"\nto = [\"c*\"]\n[[steps]]\nafter-ms = 2000\ndo = \"start\"\nto = [\"c*\"]\n",
    ));
    sound(&outcome);
    assert!(!outcome.lines.iter().any(|l| matches!(l.what, What::TurnedAway { .. })));
}

// Known mistakes, by processes that make them.
#[rstest]
#[case::never_fenced("unfenced", Violation::Unfenced)]
#[case::too_early("early", Violation::Undecided)]
fn a_broken_node_is_found(#[case] fault: &str, #[case] violation: Violation) {
    let outcome = play(&plan(&format!(
        "[[steps]]\ndo = \"kill\"\nto = [\"n0\"]\n[[steps]]\ndo = \"start\"\nto = [\"n0\"]\nfault = \"{fault}\"\n\
         [[steps]]\nafter-ms = 500\ndo = \"pause\"\nto = [\"n9\"]\n{PROPOSE}[[steps]]\nafter-ms = 400\ndo = \"cut\"\nto = [\"n0>c*\"]\n\
         [[steps]]\nafter-ms = 1500\ndo = \"heal\"\nto = [\"n0>c*\"]\n[[steps]]\ndo = \"resume\"\nto = [\"n9\"]\n"
    )));
    assert!(outcome.findings.iter().any(|f| f.violation == violation), "{:?}", outcome.findings);
}
