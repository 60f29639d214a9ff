//! Histories are read back as they were written, and what is no history is refused.

use linestack_history::{Ended, HistoryError, HistoryEvent, Line, read};
use rstest::rstest;

fn text() -> Vec<u8> {
    let mut text = Vec::new();
    let ended = HistoryEvent::Answered { id: "a".into(), version: 2, ended: Ended::Dismissed };
    for (at, what) in
        [(1, HistoryEvent::Started), (2, ended), (3, HistoryEvent::Leased { version: 2, until: 9 })]
    {
        Line::new(at, "n0", 7, what).write(&mut text).unwrap();
    }
    text
}

// Wherever a kill cuts the file, the whole lines before it are read.
#[test]
fn cut_anywhere() {
    let text = text();
    let all = read(&mut &text[..]).unwrap();
    assert_eq!(all.len(), 3);
    for cut in 0..text.len() {
        let whole = text[..cut].iter().filter(|b| **b == b'\n').count();
        assert_eq!(read(&mut &text[..cut]).unwrap(), all[..whole]);
    }
}

#[rstest]
#[case::other_form(b"{\"v\":9,\"at\":1,\"by\":\"n\",\"life\":1,\"what\":\"started\"}\n", true)]
#[case::unknown(b"{\"v\":2,\"at\":1,\"by\":\"n\",\"life\":1,\"what\":\"flew\"}\n", false)]
#[case::garbage(b"\xff\xfe\n", false)]
fn refused(#[case] text: &[u8], #[case] version: bool) {
    let fault = read(&mut &text[..]).unwrap_err();
    assert_eq!(matches!(fault, HistoryError::UnsupportedVersion { line: 1, .. }), version, "{fault}");
}

#[test]
fn a_line_without_end_is_bounded() {
    let long = vec![b' '; linestack_history::MAX_LINE_LENGTH + 1];
    assert!(matches!(read(&mut &long[..]), Err(HistoryError::InvalidLine { line: 1, .. })));
}
