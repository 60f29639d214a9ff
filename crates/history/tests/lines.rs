//! A history is read back as it was written, and invalid lines are rejected.

use linestack_history::{Ended, HistoryError, HistoryEvent, Line, read};
use rstest::rstest;

/// Returns a history of three lines.
fn sample_history() -> Vec<u8> {
    let mut text = Vec::new();
    let ended = HistoryEvent::Answered { id: "a".into(), version: 2, ended: Ended::Dismissed };
    for (at, what) in
        [(1, HistoryEvent::Started), (2, ended), (3, HistoryEvent::Leased { version: 2, until: 9 })]
    {
        Line::new(at, "n0", 7, what).write(&mut text).unwrap();
    }
    text
}

// Wherever a kill truncates the file, the complete lines before that point are read.
#[test]
fn a_truncated_history_is_read_up_to_its_last_complete_line() {
    let text = sample_history();
    let all = read(&mut &text[..]).unwrap();
    assert_eq!(all.len(), 3);
    for cut in 0..text.len() {
        let complete_lines = text[..cut].iter().filter(|b| **b == b'\n').count();
        assert_eq!(read(&mut &text[..cut]).unwrap(), all[..complete_lines]);
    }
}

#[rstest]
#[case::other_version(b"{\"v\":9,\"at\":1,\"by\":\"n\",\"life\":1,\"what\":\"started\"}\n", true)]
#[case::unknown_event(b"{\"v\":2,\"at\":1,\"by\":\"n\",\"life\":1,\"what\":\"unheard-of\"}\n", false)]
#[case::garbage(b"\xff\xfe\n", false)]
fn an_invalid_line_is_rejected(#[case] text: &[u8], #[case] is_version_error: bool) {
    let error = read(&mut &text[..]).unwrap_err();
    assert_eq!(
        matches!(error, HistoryError::UnsupportedVersion { line: 1, .. }),
        is_version_error,
        "{error}"
    );
}

#[test]
fn the_length_of_a_line_is_bounded() {
    let long = vec![b' '; linestack_history::MAX_LINE_LENGTH + 1];
    assert!(matches!(read(&mut &long[..]), Err(HistoryError::InvalidLine { line: 1, .. })));
}
