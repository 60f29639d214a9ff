//! A member on its own: what it requests and reports, and until when it may serve.

use linestack_accord::{Grant, Incarnation, Policy, Reply};
use linestack_member::{Input, Member, Notice, Output};
use rstest::rstest;

const LEASE_DURATION: u64 = 3_000;

struct Fixture {
    member: Member,
    outputs: Vec<Output>,
}

fn policy(version: u64) -> Policy {
    Policy { version, text: format!("p{version}") }
}

impl Fixture {
    fn new(active: u64) -> Self {
        let incarnation = Incarnation { store_id: 1, run_number: 2 };
        Self { member: Member::new(incarnation, 10, LEASE_DURATION, active, None), outputs: Vec::new() }
    }

    fn handle(&mut self, now: u64, input: Input) -> &[Output] {
        self.outputs.clear();
        self.member.handle(now, input, &mut self.outputs);
        &self.outputs
    }

    /// A grant in answer to the request sent at `at`, with the versions of the policy and of the change that it carries.
    fn grant(at: u64, version: u64, policy_version: Option<u64>, change_version: Option<u64>) -> Grant {
        let incarnation = Incarnation { store_id: 1, run_number: 2 };
        Grant {
            incarnation,
            requested_at: at,
            duration: LEASE_DURATION,
            version,
            policy: policy_version.map(policy),
            change: change_version.map(policy),
        }
    }

    fn granted(&mut self, now: u64, grant: Grant) -> &[Output] {
        self.handle(now, Input::Reply(Reply::Grant(grant)))
    }
}

// A lease counts from its request, less the drift, however late the grant arrives.
#[rstest]
#[case::at_once(1_001)]
#[case::late(2_500)]
fn a_lease_counts_from_its_request(#[case] received: u64) {
    let mut fixture = Fixture::new(1);
    fixture.handle(1_000, Input::SessionOpened);
    let until = 1_000 + LEASE_DURATION - LEASE_DURATION / 1000 * 10;
    assert_eq!(
        fixture.granted(received, Fixture::grant(1_000, 1, None, None)),
        [Output::Serve { version: 1, until }]
    );
    assert!(fixture.member.may_serve(until - 1) && !fixture.member.may_serve(until));
}

#[rstest]
#[case::for_another_incarnation(Grant { incarnation: Incarnation { store_id: 1, run_number: 1 }, ..Fixture::grant(1_000, 1, None, None) })]
#[case::from_the_future(Fixture::grant(5_000, 1, None, None))]
#[case::version_without_its_text(Fixture::grant(1_000, 2, None, None))]
fn an_unusable_grant_gives_no_lease(#[case] grant: Grant) {
    let mut fixture = Fixture::new(1);
    fixture.handle(1_000, Input::SessionOpened);
    fixture.granted(1_100, grant);
    assert!(!fixture.member.may_serve(1_100));
}

#[test]
fn a_repeated_grant_is_ignored() {
    let mut fixture = Fixture::new(1);
    fixture.handle(1_000, Input::SessionOpened);
    fixture.granted(1_100, Fixture::grant(1_000, 1, None, None));
    assert_eq!(fixture.granted(1_200, Fixture::grant(1_000, 1, None, None)), []);
}

// A change is reported as staged only once it is durable, and is activated only once it is decided.
#[test]
fn a_change_is_durable_before_it_is_reported_and_decided_before_it_is_active() {
    let mut fixture = Fixture::new(1);
    fixture.handle(1_000, Input::SessionOpened);
    let outputs = fixture.granted(1_100, Fixture::grant(1_000, 1, None, Some(2))).to_vec();
    assert!(outputs.contains(&Output::Stage(policy(2))));
    let staged = |outputs: &[Output]| {
        outputs.iter().find_map(|o| if let Output::Send(r) = o { Some(r.staged) } else { None })
    };
    assert_eq!(staged(fixture.handle(1_200, Input::Reply(Reply::RenewNow))), Some(0));
    let stored = Input::Staged { version: 2, result: Ok(()) };
    assert_eq!(staged(fixture.handle(1_300, stored)), Some(2));
    assert_eq!(fixture.member.active(), 1);
    // The grant need not carry the text: the member has stored it.
    let outputs = fixture.granted(1_400, Fixture::grant(1_300, 2, None, None)).to_vec();
    assert_eq!(outputs, [Output::Activate(policy(2))]);
    let until = 1_300 + LEASE_DURATION - LEASE_DURATION / 1000 * 10;
    let active = Input::Activated { version: 2, result: Ok(()) };
    assert_eq!(fixture.handle(1_450, active), [Output::Serve { version: 2, until }]);
}

#[test]
fn a_member_that_can_not_activate_the_decided_version_does_not_serve() {
    let mut fixture = Fixture::new(1);
    fixture.handle(1_000, Input::SessionOpened);
    fixture.granted(1_100, Fixture::grant(1_000, 1, None, None));
    fixture.handle(1_200, Input::Reply(Reply::RenewNow));
    fixture.granted(1_300, Fixture::grant(1_200, 2, Some(2), None));
    let outputs =
        fixture.handle(1_310, Input::Activated { version: 2, result: Err("settings.kinds".into()) }).to_vec();
    assert!(outputs.contains(&Output::Serve { version: 1, until: 0 }) && !fixture.member.may_serve(1_310));
}

#[test]
fn coordinators_that_lost_a_decided_version_give_no_lease() {
    let mut fixture = Fixture::new(3);
    fixture.handle(1_000, Input::SessionOpened);
    let outputs = fixture.granted(1_100, Fixture::grant(1_000, 2, Some(2), None)).to_vec();
    assert_eq!(outputs, [Output::Notify(Notice::CoordinatorsBehind { own: 3, theirs: 2 })]);
    assert!(!fixture.member.may_serve(1_100));
}

// After a coordinator did not answer in time, another one is tried.
#[test]
fn a_missing_answer_leads_to_another_coordinator() {
    let mut fixture = Fixture::new(1);
    fixture.handle(1_000, Input::SessionOpened);
    let due = fixture.member.next_due();
    assert_eq!(fixture.handle(due - 1, Input::Tick), []);
    assert_eq!(fixture.handle(due, Input::Tick), [Output::TryAnotherCoordinator]);
    assert_eq!(fixture.member.next_due(), u64::MAX);
}
