//! A member alone: what it says, and until when it may serve.

use linestack_accord::{Grant, Incarnation, Policy, Reply};
use linestack_member::{Input, Member, Notice, Output};
use rstest::rstest;

const SPAN: u64 = 3_000;

struct Stand {
    member: Member,
    outs: Vec<Output>,
}

fn policy(version: u64) -> Policy {
    Policy { version, text: format!("p{version}") }
}

impl Stand {
    fn new(active: u64) -> Self {
        let incarnation = Incarnation { home: 1, life: 2 };
        Self { member: Member::new(incarnation, 10, SPAN, active, None), outs: Vec::new() }
    }

    fn take(&mut self, now: u64, input: Input) -> &[Output] {
        self.outs.clear();
        self.member.handle(now, input, &mut self.outs);
        &self.outs
    }

    fn grant(at: u64, version: u64, with: Option<u64>, change: Option<u64>) -> Grant {
        let incarnation = Incarnation { home: 1, life: 2 };
        Grant { incarnation, at, span: SPAN, version, policy: with.map(policy), change: change.map(policy) }
    }

    fn granted(&mut self, now: u64, grant: Grant) -> &[Output] {
        self.take(now, Input::Reply(Reply::Grant(grant)))
    }
}

// A leave counts from when it was asked for, less the drift, however late it comes.
#[rstest]
#[case::at_once(1_001)]
#[case::late(2_500)]
fn counted_from_the_asking(#[case] comes: u64) {
    let mut stand = Stand::new(1);
    stand.take(1_000, Input::SessionOpened);
    let until = 1_000 + SPAN - SPAN / 1000 * 10;
    assert_eq!(
        stand.granted(comes, Stand::grant(1_000, 1, None, None)),
        [Output::Serve { version: 1, until }]
    );
    assert!(stand.member.may_serve(until - 1) && !stand.member.may_serve(until));
}

#[rstest]
#[case::anothers(Grant { incarnation: Incarnation { home: 1, life: 1 }, ..Stand::grant(1_000, 1, None, None) })]
#[case::from_the_future(Stand::grant(5_000, 1, None, None))]
#[case::without_the_text(Stand::grant(1_000, 2, None, None))]
fn no_leave_by(#[case] grant: Grant) {
    let mut stand = Stand::new(1);
    stand.take(1_000, Input::SessionOpened);
    stand.granted(1_100, grant);
    assert!(!stand.member.may_serve(1_100));
}

#[test]
fn the_same_answer_twice_says_nothing_new() {
    let mut stand = Stand::new(1);
    stand.take(1_000, Input::SessionOpened);
    stand.granted(1_100, Stand::grant(1_000, 1, None, None));
    assert_eq!(stand.granted(1_200, Stand::grant(1_000, 1, None, None)), []);
}

// A change is said to be kept only once it is, and is gone by only once it is decided.
#[test]
fn kept_before_it_is_said_and_decided_before_it_is_gone_by() {
    let mut stand = Stand::new(1);
    stand.take(1_000, Input::SessionOpened);
    let outs = stand.granted(1_100, Stand::grant(1_000, 1, None, Some(2))).to_vec();
    assert!(outs.contains(&Output::Stage(policy(2))));
    let staged = |outs: &[Output]| {
        outs.iter().find_map(|o| if let Output::Send(r) = o { Some(r.staged) } else { None })
    };
    assert_eq!(staged(stand.take(1_200, Input::Reply(Reply::Nudge))), Some(0));
    let kept = Input::Staged { version: 2, result: Ok(()) };
    assert_eq!(staged(stand.take(1_300, kept)), Some(2));
    assert_eq!(stand.member.active(), 1);
    // The text is its own by now.
    let outs = stand.granted(1_400, Stand::grant(1_300, 2, None, None)).to_vec();
    assert_eq!(outs, [Output::Activate(policy(2))]);
    let until = 1_300 + SPAN - SPAN / 1000 * 10;
    let active = Input::Activated { version: 2, result: Ok(()) };
    assert_eq!(stand.take(1_450, active), [Output::Serve { version: 2, until }]);
}

#[test]
fn what_it_can_not_go_by_it_does_not_serve() {
    let mut stand = Stand::new(1);
    stand.take(1_000, Input::SessionOpened);
    stand.granted(1_100, Stand::grant(1_000, 1, None, None));
    stand.take(1_200, Input::Reply(Reply::Nudge));
    stand.granted(1_300, Stand::grant(1_200, 2, Some(2), None));
    let outs =
        stand.take(1_310, Input::Activated { version: 2, result: Err("settings.kinds".into()) }).to_vec();
    assert!(outs.contains(&Output::Serve { version: 1, until: 0 }) && !stand.member.may_serve(1_310));
}

#[test]
fn coordinators_that_have_lost_what_was_decided_give_no_leave() {
    let mut stand = Stand::new(3);
    stand.take(1_000, Input::SessionOpened);
    let outs = stand.granted(1_100, Stand::grant(1_000, 2, Some(2), None)).to_vec();
    assert_eq!(outs, [Output::Notify(Notice::CoordinatorsBehind { own: 3, theirs: 2 })]);
    assert!(!stand.member.may_serve(1_100));
}

// One that does not answer is left for another.
#[test]
fn no_answer_means_elsewhere() {
    let mut stand = Stand::new(1);
    stand.take(1_000, Input::SessionOpened);
    let due = stand.member.next_due();
    assert_eq!(stand.take(due - 1, Input::Tick), []);
    assert_eq!(stand.take(due, Input::Tick), [Output::TryAnotherCoordinator]);
    assert_eq!(stand.member.next_due(), u64::MAX);
}
