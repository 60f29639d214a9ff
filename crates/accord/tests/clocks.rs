//! The leader compares the rates of its own clock and a member's: a member with too slow a clock would use its lease for
//! longer than the leader counts it.

use std::convert::Infallible;

use linestack_accord::*;
use rstest::rstest;

struct NoStorage;

impl Storage for NoStorage {
    type Error = Infallible;

    fn persist(&mut self, _: &Record) -> Result<(), Infallible> {
        Ok(())
    }
}

fn accept_all(_: &str, _: &str) -> Result<(), Vec<String>> {
    Ok(())
}

fn request_lease(coordinator: &mut Coordinator, now: Nanos, at: Nanos) -> Option<Reply> {
    let incarnation = Incarnation { store_id: 1, run_number: 1 };
    let renew =
        Renew { incarnation, requested_at: at, active: 1, staged: 0, declined: None, stage: String::new() };
    let (client, request) = (ClientSession::Member("n0".into()), Request::Renew(renew));
    let Ok(outputs) = coordinator.handle(now, Input::Request { client, request }).finish(&mut NoStorage);
    outputs.into_iter().find_map(|output| match output {
        Output::Reply { reply, .. } if reply != Reply::RenewNow => Some(reply),
        _ => None,
    })
}

// The member's clock runs at `rate` thousandths of the leader's. After a hundred leases its request is granted or
// refused.
#[rstest]
#[case::same_rate(1000, true)]
#[case::within_the_drift(992, true)]
#[case::too_slow(900, false)]
#[case::too_fast_is_harmless(1100, true)]
fn slow_clocks_are_refused(#[case] rate: u64, #[case] is_granted: bool) {
    let (hold, lease) = (40, 120);
    let config = ConsensusConfig {
        id: 0,
        coordinators: 1,
        hold,
        lease,
        drift: 10,
        check: accept_all,
        injected_fault: None,
    };
    let record = Record { state: State::initial("1".into()), ..Record::default() };
    let mut coordinator = Coordinator::new(config, record, 0);
    let Ok(_) = coordinator.handle(hold, Input::Tick).finish(&mut NoStorage);
    // The first request registers the member.
    request_lease(&mut coordinator, 1_000, 5_000);
    for step in 1..=100 {
        let elapsed = step * lease;
        let reply = request_lease(&mut coordinator, 1_000 + elapsed, 5_000 + elapsed * rate / 1000);
        if step == 100 {
            assert_eq!(matches!(reply, Some(Reply::Grant(_))), is_granted, "{reply:?}");
            assert_eq!(matches!(reply, Some(Reply::Refused(_))), !is_granted);
        }
    }
}
