//! Lists and heartbeats out of a watch's bytes, in whatever pieces they come.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use linestack::net::discovery::List;
use linestack::net::list_stream::{ListStream, ListStreamError, MAX_LIST_BYTES, Message};
use rstest::rstest;

/// Far more than anything here takes, and far less than scanning again what was scanned would.
const LONG: Duration = Duration::from_secs(20);
/// The fleet that a list must bear.
const EXECUTORS: usize = 1_100;

fn entry(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:5","zone":"here","type":"small","group":1,"status":"active","since_ms":1500.0,"weight":1.0}}"#
    )
}

fn list(index: u64, names: &[&str]) -> String {
    let entries: Vec<_> = names.iter().map(|name| entry(name)).collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// The same list over many lines.
fn indented(text: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// All messages that come of these bytes in pieces of this size, and the fault that ended them.
fn messages(bytes: &[u8], piece: usize) -> (Vec<Message>, Option<ListStreamError>) {
    let (mut stream, mut found) = (ListStream::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        stream.push(piece);
        loop {
            match stream.next_message() {
                Ok(Some(message)) => found.push(message),
                Ok(None) => break,
                Err(fault) => return (found, Some(fault)),
            }
        }
    }
    (found, None)
}

/// The versions of lists, and 0 for a heartbeat.
fn indices(messages: &[Message]) -> Vec<u64> {
    let index = |message: &Message| match message {
        Message::List(list) => list.index,
        Message::Heartbeat => 0,
    };
    messages.iter().map(index).collect()
}

#[rstest]
fn indented_lists_are_read_in_pieces_of_any_size(#[values(1, 2, 3, 7, 64, 4_096)] piece: usize) {
    // Brackets, quotes and backslashes in names are no brackets, quotes and backslashes of the list.
    let odd = list(2, &["a}]{[", r#"b\"}\\"#, r"c\\\\", r"d\u007d\n"]);
    let one_line = list(1, &["w0", "w1"]);
    let text = format!("\n \r\n{}\n\r\n\t\n{}{one_line}  {}", indented(&one_line), indented(&odd), odd);
    let (found, fault) = messages(text.as_bytes(), piece);
    assert!(fault.is_none(), "{fault:?}");
    assert_eq!(indices(&found), [0, 0, 1, 0, 0, 2, 1, 2]);
    let expected = |text: &str| Message::List(List::read(text.as_bytes()).unwrap());
    assert_eq!([&found[2], &found[6]], [&expected(&one_line); 2]);
    assert_eq!([&found[5], &found[7]], [&expected(&odd); 2]);
}

// A watch that brings newlines within a list for ever would never be given up.
#[rstest]
#[case::between_lists("\n\n", 2)]
#[case::blanks(" \t\r\n", 1)]
#[case::no_newline_yet("   ", 0)]
#[case::within_a_list("{\n\n\"index\"\n:\n\n", 0)]
#[case::the_end_of_a_list_s_line("{\"index\":1,\"endpoints\":[]} \r\n", 0)]
#[case::after_a_list_s_line("{\"index\":1,\"endpoints\":[]}\n\n", 1)]
fn only_an_empty_line_between_lists_is_a_heartbeat(#[case] text: &str, #[case] heartbeats: usize) {
    for piece in [1, text.len()] {
        let (found, fault) = messages(text.as_bytes(), piece);
        assert!(fault.is_none(), "{fault:?}");
        assert_eq!(found.iter().filter(|m| **m == Message::Heartbeat).count(), heartbeats, "{found:?}");
    }
}

#[rstest]
#[case::array("[3,true,[]]", "byte 0x5b where only an object may begin")]
#[case::number("7", "byte 0x37 where only an object may begin")]
#[case::closing("}", "byte 0x7d where only an object may begin")]
#[case::name_cut_by_a_new_line("{\"index\":3,\"endpoints\":[{\"name\":\"w\n", "byte 0x0a within a string")]
#[case::escape_cut_by_a_new_line(
    "{\"index\":3,\"endpoints\":[{\"name\":\"w\\\n",
    "byte 0x0a within a string"
)]
#[case::other_bracket("{\"index\":3,\"endpoints\":[}]", "not a list: expected value")]
#[case::no_value("{\n\"index\": no\n}", "not a list: expected")]
#[case::nothing_listed("{}", "not a list: missing field `index`")]
#[case::no_index("{\"endpoints\":[]}", "not a list: missing field `index`")]
fn what_is_no_list_ends_the_watch_at_once(#[case] text: &str, #[case] why: &str) {
    let good = list(1, &["w0"]);
    for piece in [1, 4_096] {
        let (found, fault) = messages(format!("{good}\n\n{text}").as_bytes(), piece);
        // What came whole before it counts.
        assert_eq!(indices(&found), [1, 0]);
        let fault = fault.expect("no fault").to_string();
        assert!(fault.starts_with(why), "{fault}");
    }
}

#[rstest]
fn a_list_of_the_limit_is_read_and_one_of_a_byte_more_refused(#[values(0, 1)] beyond: usize) {
    let (head, tail) = ("{\n\"index\":9,", "\"endpoints\":[]}");
    let blanks = MAX_LIST_BYTES + beyond - head.len() - tail.len();
    // What stands between lists counts for nothing.
    let text = format!("{}{head}{}{tail}", " ".repeat(MAX_LIST_BYTES + 2), " ".repeat(blanks));
    let (found, fault) = messages(text.as_bytes(), 4_096);
    assert_eq!(indices(&found), [9][beyond..]);
    assert_eq!(matches!(fault, Some(ListStreamError::TooLong)), beyond == 1, "{fault:?}");
}

// Without an end nothing more than the limit and a piece is ever held.
#[test]
fn a_list_without_an_end_is_refused_at_the_limit() {
    let mut stream = ListStream::default();
    stream.push(b"{");
    let (piece, mut came) = ([b'\n'; 4_096], 1);
    let fault = loop {
        stream.push(&piece);
        came += piece.len();
        match stream.next_message() {
            Ok(found) => assert_eq!(found, None),
            Err(fault) => break fault,
        }
    };
    assert!(matches!(fault, ListStreamError::TooLong), "{fault}");
    assert!(came <= MAX_LIST_BYTES + piece.len(), "{came}");
}

// The stack is a coroutine's: 8,192 words.
#[test]
fn values_nested_a_hundred_thousand_levels_deep_do_not_fill_the_stack() {
    let reader = std::thread::Builder::new().stack_size(8_192 * size_of::<usize>());
    let read = reader.spawn(|| {
        let deep = format!("{}{}", "[\n".repeat(100_000), "]".repeat(100_000));
        let text = format!(
            "{{\"index\":1,\"more\":{deep},\"endpoints\":[{{\"more\":{deep},{}]}}",
            &entry("w0")[1..]
        );
        messages(text.as_bytes(), 4_096)
    });
    let (found, fault) = read.unwrap().join().unwrap();
    assert!(fault.is_none(), "{fault:?}");
    let Some(Message::List(list)) = found.first() else { panic!("{found:?}") };
    assert_eq!((list.index, list.endpoints.len()), (1, 1));
}

#[test]
fn eleven_hundred_indented_entries_with_long_names_take_a_third_of_the_limit() {
    let names: Vec<_> = (0..EXECUTORS).map(|i| format!("{i:0>1024}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let text = indented(&list(3, &names));
    println!("{} bytes of {MAX_LIST_BYTES}", text.len());
    assert!(text.len() > EXECUTORS * 1_200 && text.len() < MAX_LIST_BYTES * 2 / 5, "{}", text.len());
    let (found, fault) = messages(text.as_bytes(), 1_400);
    assert!(fault.is_none(), "{fault:?}");
    let [Message::List(list)] = &found[..] else { panic!("{} messages", found.len()) };
    assert_eq!(list.endpoints.len(), EXECUTORS);
    assert!(list.endpoints.iter().zip(names).all(|(endpoint, name)| endpoint.name == name));
}

// Read again from its beginning with each piece, this list would take half a terabyte of scanning.
#[test]
fn a_large_list_that_drips_in_is_scanned_once() {
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
        assert!(start.elapsed() < LONG, "{:?}", start.elapsed());
    }
    println!("{} bytes in pieces of 16: {:?}", text.len(), start.elapsed());
    assert_eq!(indices(&found), [4]);
}
