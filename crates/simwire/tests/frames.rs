//! Valid and invalid frames, and the settings in a start event.

use linestack_dispatch::types::{DedupScope, Health, ListKind, Outcome, RepeatPolicy};
use linestack_simwire::{Batch, Incoming, Outgoing, Reply, WireError};
use rstest::rstest;

/// Encodes a batch of one event at 2.5 ms with the number 7. `fields` are the bytes of its record after the code; the rest
/// of the record is zeros.
fn frame(code: u8, fields: &[u8], tail: &[u8]) -> Vec<u8> {
    let mut record = vec![code];
    record.extend_from_slice(fields);
    record.resize(56, 0);
    let mut frame = 2.5f64.to_be_bytes().to_vec();
    for part in [56 + tail.len() as u32, 1, 7] {
        frame.extend_from_slice(&part.to_be_bytes());
    }
    [frame, record, tail.to_vec()].concat()
}

/// Decodes a batch of one event.
fn decoded(frame: &[u8]) -> Result<(u16, Incoming), WireError> {
    let mut batch = Batch::default();
    assert!(batch.read(&mut &*frame)?);
    assert_eq!((batch.clock, batch.number), (2_500_000, 7));
    batch.events().next().expect("one event")
}

/// Encodes a batch of one start event with these settings.
fn start(text: &str) -> Vec<u8> {
    let fields = [&[0; 10][..], &0u32.to_be_bytes(), &(text.len() as u32).to_be_bytes()].concat();
    frame(7, &fields, text.as_bytes())
}

#[test]
fn an_ended_event_carries_its_figures_and_the_report_drops_invalid_ones() {
    let mut fields = vec![0, 3];
    fields.extend(5u64.to_be_bytes());
    fields.extend([0, 2, 0x01, 0xad, 0, 0, 0, 0, 1]);
    fields.extend(1.5f64.to_be_bytes());
    fields.extend(9u32.to_be_bytes());
    fields.push(3);
    [2.0f32, f32::NAN, -1.0].iter().for_each(|f| fields.extend(f.to_be_bytes()));
    let (node, event) = decoded(&frame(4, &fields, &[])).unwrap();
    let Incoming::Ended { call, execution, executor, outcome, closed, took, figures } = event else {
        panic!()
    };
    assert_eq!((node, call, execution, executor, closed, took), (3, 5, 2, 9, true, 1_500_000));
    assert_eq!(outcome, Outcome::Overloaded);
    let text =
        r#"{"report":{"fields":["x0","backlog","outstanding"]},"familyInfo":{"reportX0":"free slots"}}"#;
    let Incoming::Start(settings) = decoded(&start(text)).unwrap().1 else { panic!() };
    let report = settings.layout.report(|index| figures.get(index)).unwrap();
    assert_eq!((report.free_slots, report.queued_jobs, report.active_jobs), (Some(2.0), None, None));
}

#[test]
fn the_fields_of_a_list_entry_are_decoded() {
    let entry = [&[0; 4][..], &[0, 1, 1], &2.0f64.to_be_bytes(), &[0, 0, 0, 8, 0, 4, 0, 2]].concat();
    let fields = [&[0, 3, 1, 0, 0, 0, 9][..], &0u32.to_be_bytes(), &1u32.to_be_bytes()].concat();
    let (_, event) = decoded(&frame(6, &fields, &entry)).unwrap();
    let Incoming::ListReceived { kind: ListKind::Whole, entries } = event else { panic!() };
    let e = entries[0];
    assert_eq!((e.executor, e.health, e.kind, e.zone, e.cell), (8, Health::Draining, 1, 2, 4));
    assert_eq!(e.started, 2_000_000);
}

#[rstest]
#[case::empty("{}", 0, None, None)]
#[case::unknown_keys(r#"{"later":[1],"limits":{"other":{}}}"#, 0, None, None)]
#[case::list_on_request(r#"{"discovery":"on_request"}"#, 0, None, Some(10_000_000_000))]
#[case::retry_after(r#"{"limits":{"retryAfter":true,"maxRetryAfterMs":2}}"#, 0, Some(2_000_000), None)]
#[case::retry_after_not_supported(r#"{"limits":{"retryAfter":false,"maxRetryAfterMs":2}}"#, 0, None, None)]
#[case::tenants(r#"{"tenants":[{"quotaPerS":2.0},{}]}"#, 2, None, None)]
fn missing_settings_get_defaults(
    #[case] text: &str,
    #[case] tenants: usize,
    #[case] retry_after: Option<u64>,
    #[case] list_refresh_limit: Option<u64>,
) {
    let Incoming::Start(settings) = decoded(&start(text)).unwrap().1 else { panic!() };
    let config = settings.dispatch;
    assert_eq!(
        (config.quotas.len(), config.retry_after, config.list_refresh_limit),
        (tenants, retry_after, list_refresh_limit)
    );
    assert!(!config.may_probe && !config.may_duplicate && config.max_executions == 1);
}

#[rstest]
#[case::idempotent(r#""effect":"pure""#, RepeatPolicy::Idempotent)]
#[case::stamped(
    r#""effect":"token","dedupScope":"zone","memorySpanMs":3"#,
    RepeatPolicy::Stamped { scope: DedupScope::Zone, dedup_window: 3_000_000 }
)]
#[case::one_shot(r#""effect":"side_effect""#, RepeatPolicy::OneShot)]
#[case::unknown_effect(r#""effect":"other""#, RepeatPolicy::OneShot)]
fn the_effect_of_a_product_gives_its_repeat_policy(#[case] fields: &str, #[case] policy: RepeatPolicy) {
    let text = format!(r#"{{"products":[{{{fields}}}]}}"#);
    let Incoming::Start(settings) = decoded(&start(&text)).unwrap().1 else { panic!() };
    assert_eq!(settings.dispatch.products[0].repeat_policy, policy);
}

#[rstest]
#[case::unknown_code(frame(99, &[], &[]), "unknown event code 99")]
#[case::unknown_list(frame(6, &[0, 0, 9], &[]), "unknown kind of list 9")]
#[case::outside_the_tail(frame(7, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 9], b"{}"), "outside the tail")]
#[case::not_json(start("{]"), "start text")]
#[case::cut_short(frame(10, &[], &[])[..50].to_vec(), "cut short: 30 of 56")]
#[case::cut_header(vec![0; 5], "cut short: 5 of 20")]
#[case::wrong_length([&[0; 11][..], &[9, 0, 0, 0, 1], &[0; 13]].concat(), "do not fit in 9 bytes")]
fn the_error_for_an_invalid_frame_is_one_clear_line(#[case] frame: Vec<u8>, #[case] expected: &str) {
    let error = decoded(&frame).unwrap_err().to_string();
    assert!(error.contains(expected) && !error.contains('\n'), "{error}");
}

#[test]
fn a_reply_has_its_header_and_fixed_records() {
    let (mut reply, mut written) = (Reply::default(), Vec::new());
    reply.push(3, Outgoing::Execute { call: 5, timeout: 1_500_000, executor: 9 });
    reply.write(7, &mut written).unwrap();
    let header = [0, 0, 0, 1, 0, 0, 0, 24, 0, 0, 0, 7];
    let record = [&[8, 0, 3][..], &5u64.to_be_bytes(), &1.5f64.to_be_bytes(), &[0, 0, 0, 9, 0]].concat();
    assert_eq!(written, [&header[..], &record].concat());
}
