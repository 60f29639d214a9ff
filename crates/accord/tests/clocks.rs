//! Two clocks' rates are compared: a leave of one that goes too slowly would outlast what is counted here.

use std::convert::Infallible;

use linestack_accord::*;
use rstest::rstest;

struct Nowhere;

impl Storage for Nowhere {
    type Error = Infallible;

    fn persist(&mut self, _: &Record) -> Result<(), Infallible> {
        Ok(())
    }
}

fn fine(_: &str, _: &str) -> Result<(), Vec<String>> {
    Ok(())
}

fn reply(c: &mut Coordinator, now: Nanos, at: Nanos) -> Option<Reply> {
    let incarnation = Incarnation { store_id: 1, run_number: 1 };
    let renew =
        Renew { incarnation, requested_at: at, active: 1, staged: 0, declined: None, stage: String::new() };
    let (client, request) = (ClientSession::Member("n0".into()), Request::Renew(renew));
    let Ok(outs) = c.handle(now, Input::Request { client, request }).finish(&mut Nowhere);
    outs.into_iter().find_map(|o| match o {
        Output::Reply { reply, .. } if reply != Reply::RenewNow => Some(reply),
        _ => None,
    })
}

// A hundred leaves later, by a member's clock that goes at so many thousandths of this one's.
#[rstest]
#[case::alike(1000, true)]
#[case::within_the_drift(992, true)]
#[case::too_slow(900, false)]
#[case::fast_is_no_harm(1100, true)]
fn rates_are_compared(#[case] rate: u64, #[case] let_in: bool) {
    let (hold, lease) = (40, 120);
    let terms =
        ConsensusConfig { id: 0, coordinators: 1, hold, lease, drift: 10, check: fine, injected_fault: None };
    let record = Record { state: State::initial("1".into()), ..Record::default() };
    let mut c = Coordinator::new(terms, record, 0);
    let Ok(_) = c.handle(hold, Input::Tick).finish(&mut Nowhere);
    // Its name is written down first.
    reply(&mut c, 1_000, 5_000);
    for step in 1..=100 {
        let elapsed = step * lease;
        let told = reply(&mut c, 1_000 + elapsed, 5_000 + elapsed * rate / 1000);
        if step == 100 {
            assert_eq!(matches!(told, Some(Reply::Grant(_))), let_in, "{told:?}");
            assert_eq!(matches!(told, Some(Reply::Refused(_))), !let_in);
        }
    }
}
