//! What is kept, and for how long.

use bytes::Bytes;
use linestack_recovery::{Fate, Fates, Keep};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::may_have_run(Fate::MayHaveRun)]
#[case::unsent(Fate::Unsent)]
#[case::satisfied(Fate::Satisfied(Bytes::from_static(b"r")))]
#[case::satisfied_by_nothing(Fate::Satisfied(Bytes::new()))]
fn as_it_was_kept(#[case] fate: Fate) {
    assert_eq!(Fate::from_bytes(&fate.to_bytes()), Some(fate));
}

#[rstest]
#[case::nothing(b"")]
#[case::unknown(b"\x09")]
#[case::more_than_there_is(b"\x01x")]
fn what_is_not_known_is_not_guessed(#[case] bytes: &[u8]) {
    assert_eq!(Fate::from_bytes(bytes), None);
}

#[test]
fn only_what_was_sent_has_an_end() {
    let (mut fates, key) = (Fates::new(100, 10, 1000), Bytes::from_static(b"k"));
    assert_eq!(fates.ended(&key, Fate::Unsent, 1), None);
    fates.sending(&key, 2);
    assert_eq!(
        fates.ended(&key, Fate::Unsent, 3),
        Some(Keep { key: key.clone(), fate: Fate::Unsent, at: 3 })
    );
    assert_eq!(fates.fate(&key), Some(&Fate::Unsent));
}

#[test]
fn full_rather_than_forgetful() {
    let mut fates = Fates::new(100, 3, 1000);
    for i in 0..3_u8 {
        assert!(!fates.full());
        fates.sending(&Bytes::copy_from_slice(&[i]), u64::from(i));
    }
    assert!(fates.full());
    fates.forget(101);
    assert_eq!((fates.len(), fates.full()), (2, false));
    let mut fates = Fates::new(100, 30, 10);
    fates.sending(&Bytes::from_static(b"a"), 0);
    fates.ended(&Bytes::from_static(b"a"), Fate::Satisfied(Bytes::from_static(&[0; 20])), 0);
    assert!(fates.full());
}

proptest! {
    // Against a plain list: a fate is known as long as its span lasts after it was told last, and no longer than one
    // step more; and one that comes back from what was kept knows the same.
    #[test]
    fn like_a_plain_list(steps in prop::collection::vec((0_u8..8, 0_u8..3, 0_u64..40), 1..80)) {
        let mut fates = Fates::new(100, 1000, 100_000);
        let (mut now, mut kept) = (0_u64, Vec::<Keep>::new());
        let mut told: Vec<Option<(u64, Fate)>> = vec![None; 8];
        for (key, what, later) in steps {
            now += later;
            fates.forget(now);
            for entry in &mut told {
                if entry.as_ref().is_some_and(|(at, _)| at + 100 < now) {
                    *entry = None;
                }
            }
            let name = Bytes::copy_from_slice(&[key]);
            let fate = [Fate::MayHaveRun, Fate::Unsent, Fate::Satisfied(name.clone())][usize::from(what)].clone();
            let keep = match &fate {
                Fate::MayHaveRun => Some(fates.sending(&name, now)),
                _ => fates.ended(&name, fate.clone(), now),
            };
            if let Some(keep) = keep {
                told[usize::from(key)] = Some((now, fate));
                kept.push(keep);
            }
            for (k, entry) in told.iter().enumerate() {
                prop_assert_eq!(fates.fate(&[k as u8]), entry.as_ref().map(|(_, f)| f));
            }
        }
        let mut again = Fates::new(100, 1000, 100_000);
        again.restore(kept);
        again.forget(now);
        for (k, entry) in told.iter().enumerate() {
            prop_assert_eq!(again.fate(&[k as u8]), entry.as_ref().map(|(_, f)| f));
        }
    }
}
