//! Which outcomes are remembered after a restart, and for how long.

use std::sync::Arc;

use bytes::Bytes;
use linestack_recovery::{OutcomeRecord, OutcomeTable, StoredOutcome};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::may_have_run(StoredOutcome::MayHaveRun)]
#[case::never_sent(StoredOutcome::NeverSent)]
#[case::completed(StoredOutcome::Completed(Bytes::from_static(b"r")))]
#[case::completed_with_an_empty_result(StoredOutcome::Completed(Bytes::new()))]
fn outcomes_are_decoded_as_they_were_encoded(#[case] outcome: StoredOutcome) {
    assert_eq!(StoredOutcome::from_bytes(&outcome.to_bytes()), Some(outcome));
}

#[rstest]
#[case::empty(b"")]
#[case::unknown_code(b"\x09")]
#[case::trailing_bytes(b"\x01x")]
fn unknown_encodings_are_rejected(#[case] bytes: &[u8]) {
    assert_eq!(StoredOutcome::from_bytes(bytes), None);
}

#[test]
fn an_outcome_is_recorded_only_after_an_execution_was_sent() {
    let (mut table, key) = (OutcomeTable::new(100, 10, 1000), Bytes::from_static(b"k"));
    assert_eq!(table.record_outcome(&key, StoredOutcome::NeverSent, 1), None);
    table.record_sending(&key, 2);
    assert_eq!(
        table.record_outcome(&key, StoredOutcome::NeverSent, 3),
        Some(OutcomeRecord { key: key[..].into(), outcome: StoredOutcome::NeverSent, at: 3 })
    );
    assert_eq!(table.outcome(&key), Some(&StoredOutcome::NeverSent));
}

#[test]
fn a_full_table_says_so_and_forgets_nothing() {
    let mut table = OutcomeTable::new(100, 3, 1000);
    for i in 0..3_u8 {
        assert!(!table.is_full());
        table.record_sending(&Bytes::copy_from_slice(&[i]), u64::from(i));
    }
    assert!(table.is_full());
    table.expire(101);
    assert_eq!((table.len(), table.is_full()), (2, false));
    let mut table = OutcomeTable::new(100, 30, 10);
    table.record_sending(&Bytes::from_static(b"a"), 0);
    table.record_outcome(
        &Bytes::from_static(b"a"),
        StoredOutcome::Completed(Bytes::from_static(&[0; 20])),
        0,
    );
    assert!(table.is_full());
}

/// A receive buffer that holds `TEXT` at its start and much more after it.
struct ReceiveBuffer {
    bytes: Vec<u8>,
    // Shows by its count whether the buffer is still in memory.
    _alive: Arc<()>,
}

impl AsRef<[u8]> for ReceiveBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

// Guards against a table whose keys and results are slices of receive buffers, each of which it keeps in memory as a whole for as
// long as the outcome is remembered.
#[test]
fn a_remembered_outcome_keeps_no_receive_buffer() {
    const TEXT: &[u8] = b"key or result";
    let alive = Arc::new(());
    let slice = || {
        let bytes = [TEXT, &[0; 60_000]].concat();
        Bytes::from_owner(ReceiveBuffer { bytes, _alive: Arc::clone(&alive) }).slice(..TEXT.len())
    };
    let mut table = OutcomeTable::new(100, 10, 1000);
    let sending = table.record_sending(&slice(), 1);
    assert_eq!(Arc::strong_count(&alive), 1);
    let completed = table.record_outcome(&slice(), StoredOutcome::Completed(slice()), 2).unwrap();
    assert_eq!(Arc::strong_count(&alive), 1);
    assert_eq!(table.outcome(TEXT), Some(&completed.outcome));
    assert_eq!((&*sending.key, &*completed.key), (TEXT, TEXT));
}

proptest! {
    // Compares the table with a plain list: an outcome is known until its retention time after it was last recorded, and
    // a table restored from the stored records knows the same.
    #[test]
    fn behaves_like_a_plain_list(
        // Each step has the key, the index of the outcome, and the time since the step before.
        steps in prop::collection::vec((0_u8..8, 0_u8..3, 0_u64..40), 1..80),
    ) {
        let mut table = OutcomeTable::new(100, 1000, 100_000);
        let (mut now, mut stored) = (0_u64, Vec::<OutcomeRecord>::new());
        // By key: when the outcome was recorded, and the outcome.
        let mut expected: Vec<Option<(u64, StoredOutcome)>> = vec![None; 8];
        for (key, outcome_index, elapsed) in steps {
            now += elapsed;
            table.expire(now);
            for entry in &mut expected {
                if entry.as_ref().is_some_and(|(at, _)| at + 100 < now) {
                    *entry = None;
                }
            }
            let name = Bytes::copy_from_slice(&[key]);
            let outcomes =
                [StoredOutcome::MayHaveRun, StoredOutcome::NeverSent, StoredOutcome::Completed(name.clone())];
            let outcome = outcomes[usize::from(outcome_index)].clone();
            let record = match &outcome {
                StoredOutcome::MayHaveRun => Some(table.record_sending(&name, now)),
                _ => table.record_outcome(&name, outcome.clone(), now),
            };
            if let Some(record) = record {
                expected[usize::from(key)] = Some((now, outcome));
                stored.push(record);
            }
            for (k, entry) in expected.iter().enumerate() {
                prop_assert_eq!(table.outcome(&[k as u8]), entry.as_ref().map(|(_, o)| o));
            }
        }
        let mut restored = OutcomeTable::new(100, 1000, 100_000);
        restored.restore(stored);
        restored.expire(now);
        for (k, entry) in expected.iter().enumerate() {
            prop_assert_eq!(restored.outcome(&[k as u8]), entry.as_ref().map(|(_, o)| o));
        }
    }
}
