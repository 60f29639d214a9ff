//! Parsing of lists and heartbeats from the bytes of a watch, which may arrive in pieces of any size.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use linestack::net::discovery::List;
use linestack::net::list_stream::{ListStream, ListStreamError, MAX_LIST_BYTES, Message};
use rstest::rstest;

/// The time limit for parsing: far more than it takes, and far less than it would take if the same bytes were scanned repeatedly.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// The number of executors that a list must be able to hold.
const EXECUTORS: usize = 1_100;

/// Returns the list entry of an active executor.
fn entry(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:5","zone":"here","type":"small","group":1,"status":"active","since_ms":1500.0,"weight":1.0}}"#
    )
}

/// Returns a complete list with executors of these names, on one line.
fn list(index: u64, names: &[&str]) -> String {
    let entries: Vec<_> = names.iter().map(|name| entry(name)).collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Formats a list over several lines.
fn indented(text: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// Parses the bytes in pieces of this length. Returns all messages, and the error that ended the parsing, if any.
fn messages(bytes: &[u8], piece_length: usize) -> (Vec<Message>, Option<ListStreamError>) {
    let (mut stream, mut found) = (ListStream::default(), Vec::new());
    for piece in bytes.chunks(piece_length) {
        stream.push(piece);
        loop {
            match stream.next_message() {
                Ok(Some(message)) => found.push(message),
                Ok(None) => break,
                Err(error) => return (found, Some(error)),
            }
        }
    }
    (found, None)
}

/// Returns the index of each list, and 0 for each heartbeat.
fn indices(messages: &[Message]) -> Vec<u64> {
    let index = |message: &Message| match message {
        Message::List(list) => list.index,
        Message::Heartbeat => 0,
    };
    messages.iter().map(index).collect()
}

#[rstest]
fn indented_lists_are_read_in_pieces_of_any_size(#[values(1, 2, 3, 7, 64, 4_096)] piece: usize) {
    // Brackets, quotes and backslashes within names must not be taken for the list's syntax.
    let unusual_names = list(2, &["a}]{[", r#"b\"}\\"#, r"c\\\\", r"d\u007d\n"]);
    let one_line = list(1, &["w0", "w1"]);
    let text = format!(
        "\n \r\n{}\n\r\n\t\n{}{one_line}  {}",
        indented(&one_line),
        indented(&unusual_names),
        unusual_names
    );
    let (found, error) = messages(text.as_bytes(), piece);
    assert!(error.is_none(), "{error:?}");
    assert_eq!(indices(&found), [0, 0, 1, 0, 0, 2, 1, 2]);
    let expected = |text: &str| Message::List(List::read(text.as_bytes()).unwrap());
    assert_eq!([&found[2], &found[6]], [&expected(&one_line); 2]);
    assert_eq!([&found[5], &found[7]], [&expected(&unusual_names); 2]);
}

// If newlines within a list counted as heartbeats, a watch that sends nothing else would never be ended.
#[rstest]
#[case::between_lists("\n\n", 2)]
#[case::blanks(" \t\r\n", 1)]
#[case::no_newline_yet("   ", 0)]
#[case::within_a_list("{\n\n\"index\"\n:\n\n", 0)]
#[case::end_of_a_list_line("{\"index\":1,\"endpoints\":[]} \r\n", 0)]
#[case::after_a_list_line("{\"index\":1,\"endpoints\":[]}\n\n", 1)]
fn only_an_empty_line_between_lists_is_a_heartbeat(#[case] text: &str, #[case] heartbeats: usize) {
    for piece in [1, text.len()] {
        let (found, error) = messages(text.as_bytes(), piece);
        assert!(error.is_none(), "{error:?}");
        assert_eq!(found.iter().filter(|m| **m == Message::Heartbeat).count(), heartbeats, "{found:?}");
    }
}

#[rstest]
#[case::array("[3,true,[]]", "byte 0x5b where only an object may begin")]
#[case::number("7", "byte 0x37 where only an object may begin")]
#[case::closing("}", "byte 0x7d where only an object may begin")]
#[case::newline_within_a_name("{\"index\":3,\"endpoints\":[{\"name\":\"w\n", "byte 0x0a within a string")]
#[case::newline_within_an_escape(
    "{\"index\":3,\"endpoints\":[{\"name\":\"w\\\n",
    "byte 0x0a within a string"
)]
#[case::other_bracket("{\"index\":3,\"endpoints\":[}]", "not a list: expected value")]
#[case::no_value("{\n\"index\": no\n}", "not a list: expected")]
#[case::nothing_listed("{}", "not a list: missing field `index`")]
#[case::no_index("{\"endpoints\":[]}", "not a list: missing field `index`")]
fn an_invalid_list_ends_the_watch_at_once(#[case] text: &str, #[case] expected_error: &str) {
    let valid_list = list(1, &["w0"]);
    for piece in [1, 4_096] {
        let (found, error) = messages(format!("{valid_list}\n\n{text}").as_bytes(), piece);
        // The valid list and the heartbeat before the invalid list are returned.
        assert_eq!(indices(&found), [1, 0]);
        let error = error.expect("no error").to_string();
        assert!(error.starts_with(expected_error), "{error}");
    }
}

#[rstest]
fn a_list_at_the_limit_is_read_and_one_byte_more_is_refused(#[values(0, 1)] excess_bytes: usize) {
    let (head, tail) = ("{\n\"index\":9,", "\"endpoints\":[]}");
    let padding = MAX_LIST_BYTES + excess_bytes - head.len() - tail.len();
    // Whitespace between lists does not count towards the limit.
    let text = format!("{}{head}{}{tail}", " ".repeat(MAX_LIST_BYTES + 2), " ".repeat(padding));
    let (found, error) = messages(text.as_bytes(), 4_096);
    // The list without an excess byte, or nothing.
    assert_eq!(indices(&found), [9][excess_bytes..]);
    assert_eq!(matches!(error, Some(ListStreamError::TooLong)), excess_bytes == 1, "{error:?}");
}

// Of a list that never ends, at most the limit plus one piece is buffered.
#[test]
fn a_list_without_an_end_is_refused_at_the_limit() {
    let mut stream = ListStream::default();
    stream.push(b"{");
    let (piece, mut received) = ([b'\n'; 4_096], 1);
    let error = loop {
        stream.push(&piece);
        received += piece.len();
        match stream.next_message() {
            Ok(found) => assert_eq!(found, None),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, ListStreamError::TooLong), "{error}");
    assert!(received <= MAX_LIST_BYTES + piece.len(), "{received}");
}

// The thread's stack has the size of a coroutine's stack in a node: 8,192 words.
#[test]
fn values_nested_100_000_levels_deep_do_not_overflow_the_stack() {
    let reader = std::thread::Builder::new().stack_size(8_192 * size_of::<usize>());
    let read = reader.spawn(|| {
        let deep = format!("{}{}", "[\n".repeat(100_000), "]".repeat(100_000));
        let text = format!(
            "{{\"index\":1,\"more\":{deep},\"endpoints\":[{{\"more\":{deep},{}]}}",
            &entry("w0")[1..]
        );
        messages(text.as_bytes(), 4_096)
    });
    let (found, error) = read.unwrap().join().unwrap();
    assert!(error.is_none(), "{error:?}");
    let Some(Message::List(list)) = found.first() else { panic!("{found:?}") };
    assert_eq!((list.index, list.endpoints.len()), (1, 1));
}

#[test]
fn an_indented_list_of_1_100_long_names_takes_a_third_of_the_limit() {
    let names: Vec<_> = (0..EXECUTORS).map(|i| format!("{i:0>1024}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let text = indented(&list(3, &names));
    println!("{} bytes of {MAX_LIST_BYTES}", text.len());
    assert!(text.len() > EXECUTORS * 1_200 && text.len() < MAX_LIST_BYTES * 2 / 5, "{}", text.len());
    let (found, error) = messages(text.as_bytes(), 1_400);
    assert!(error.is_none(), "{error:?}");
    let [Message::List(list)] = &found[..] else { panic!("{} messages", found.len()) };
    assert_eq!(list.endpoints.len(), EXECUTORS);
    assert!(list.endpoints.iter().zip(names).all(|(endpoint, name)| endpoint.name == name));
}

// If the list were scanned from its beginning after each piece, half a terabyte would be scanned in total.
#[test]
fn a_large_list_in_small_pieces_is_scanned_once() {
    let mut text = String::from("{\"index\":4,\"endpoints\":[\n");
    while text.len() < MAX_LIST_BYTES - 1_024 {
        let comma = if text.ends_with('}') { ",\n" } else { "" };
        write!(text, "{comma}{}", entry(&"n".repeat(400))).unwrap();
    }
    text.push_str("\n]}");
    let (mut stream, start) = (ListStream::default(), Instant::now());
    let mut found = Vec::new();
    for piece in text.as_bytes().chunks(16) {
        stream.push(piece);
        found.extend(stream.next_message().unwrap());
        assert!(start.elapsed() < TIME_LIMIT, "{:?}", start.elapsed());
    }
    println!("{} bytes in pieces of 16: {:?}", text.len(), start.elapsed());
    assert_eq!(indices(&found), [4]);
}
