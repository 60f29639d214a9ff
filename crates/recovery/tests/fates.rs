//! What is kept, and for how long.

use bytes::Bytes;
use linestack_recovery::{OutcomeRecord, OutcomeTable, StoredOutcome};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::may_have_run(StoredOutcome::MayHaveRun)]
#[case::unsent(StoredOutcome::NeverSent)]
#[case::satisfied(StoredOutcome::Completed(Bytes::from_static(b"r")))]
#[case::satisfied_by_nothing(StoredOutcome::Completed(Bytes::new()))]
fn as_it_was_kept(#[case] outcome: StoredOutcome) {
    assert_eq!(StoredOutcome::from_bytes(&outcome.to_bytes()), Some(outcome));
}

#[rstest]
#[case::nothing(b"")]
#[case::unknown(b"\x09")]
#[case::more_than_there_is(b"\x01x")]
fn what_is_not_known_is_not_guessed(#[case] bytes: &[u8]) {
    assert_eq!(StoredOutcome::from_bytes(bytes), None);
}

#[test]
fn only_what_was_sent_has_an_end() {
    let (mut fates, key) = (OutcomeTable::new(100, 10, 1000), Bytes::from_static(b"k"));
    assert_eq!(fates.record_outcome(&key, StoredOutcome::NeverSent, 1), None);
    fates.record_sending(&key, 2);
    assert_eq!(
        fates.record_outcome(&key, StoredOutcome::NeverSent, 3),
        Some(OutcomeRecord { key: key.clone(), outcome: StoredOutcome::NeverSent, at: 3 })
    );
    assert_eq!(fates.outcome(&key), Some(&StoredOutcome::NeverSent));
}

#[test]
fn full_rather_than_forgetful() {
    let mut fates = OutcomeTable::new(100, 3, 1000);
    for i in 0..3_u8 {
        assert!(!fates.is_full());
        fates.record_sending(&Bytes::copy_from_slice(&[i]), u64::from(i));
    }
    assert!(fates.is_full());
    fates.expire(101);
    assert_eq!((fates.len(), fates.is_full()), (2, false));
    let mut fates = OutcomeTable::new(100, 30, 10);
    fates.record_sending(&Bytes::from_static(b"a"), 0);
    fates.record_outcome(
        &Bytes::from_static(b"a"),
        StoredOutcome::Completed(Bytes::from_static(&[0; 20])),
        0,
    );
    assert!(fates.is_full());
}

proptest! {
    // Against a plain list: a fate is known as long as its span lasts after it was told last, and no longer than one
    // step more; and one that comes back from what was kept knows the same.
    #[test]
    fn like_a_plain_list(steps in prop::collection::vec((0_u8..8, 0_u8..3, 0_u64..40), 1..80)) {
        let mut fates = OutcomeTable::new(100, 1000, 100_000);
        let (mut now, mut kept) = (0_u64, Vec::<OutcomeRecord>::new());
        let mut told: Vec<Option<(u64, StoredOutcome)>> = vec![None; 8];
        for (key, what, later) in steps {
            now += later;
            fates.expire(now);
            for entry in &mut told {
                if entry.as_ref().is_some_and(|(at, _)| at + 100 < now) {
                    *entry = None;
                }
            }
            let name = Bytes::copy_from_slice(&[key]);
            let fate = [StoredOutcome::MayHaveRun, StoredOutcome::NeverSent, StoredOutcome::Completed(name.clone())][usize::from(what)].clone();
            let keep = match &fate {
                StoredOutcome::MayHaveRun => Some(fates.record_sending(&name, now)),
                _ => fates.record_outcome(&name, fate.clone(), now),
            };
            if let Some(keep) = keep {
                told[usize::from(key)] = Some((now, fate));
                kept.push(keep);
            }
            for (k, entry) in told.iter().enumerate() {
                prop_assert_eq!(fates.outcome(&[k as u8]), entry.as_ref().map(|(_, f)| f));
            }
        }
        let mut again = OutcomeTable::new(100, 1000, 100_000);
        again.restore(kept);
        again.expire(now);
        for (k, entry) in told.iter().enumerate() {
            prop_assert_eq!(again.outcome(&[k as u8]), entry.as_ref().map(|(_, f)| f));
        }
    }
}
