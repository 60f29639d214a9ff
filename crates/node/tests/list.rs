//! Parsing, formatting and storing of the list of executors.

use std::net::SocketAddr;

use linestack::http;
use linestack::net::discovery::List;
use linestack_core::Endpoint;
use linestack_dispatch::types::Health;
use linestack_store::{Folder, Limits, Op, OpenMode, Store};
use rstest::rstest;

// E stands for the text of a valid entry. The first entry of each valid list is one.
#[rstest]
#[case::valid("{\"index\":3,\"snapshot\":true,\"endpoints\":[E]}", Some(1))]
#[case::bad_entry_left_out(
    "{\"index\":3,\"endpoints\":[E,7,{\"name\":\"x\"},{\"name\":\"y\",\"address\":\"?\",\"status\":\"active\"}]}",
    Some(1)
)]
#[case::array("[3,true,[]]", None)]
#[case::nothing_listed("{}", None)]
#[case::truncated("{\"index\":3,\"endpoints\":[E", None)]
#[case::not_json("\u{1}", None)]
fn invalid_entries_are_left_out_and_invalid_lists_refused(
    #[case] text: &str,
    #[case] expected_entries: Option<usize>,
) {
    let entry = "{\"name\":\"w0\",\"address\":\"127.0.0.1:5\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\
                 \"status\":\"leaving\",\"weight\":1.0,\"since_ms\":1500}";
    let list = List::read(text.replace('E', entry).as_bytes());
    assert_eq!(list.as_ref().ok().map(|l| l.endpoints.len()), expected_entries);
    if let Ok(list) = list {
        let first = &list.endpoints[0];
        assert_eq!((first.health, first.cell, first.started), (Health::Draining, 3, 1_500_000_000));
    }
}

// A node stores its list, so that it knows its executors after a restart. The list must fit into one record.
#[test]
fn a_list_of_1_100_executors_with_long_names_can_be_stored() {
    let entry = |i: u32| Endpoint {
        name: format!("{i:0>1024}"),
        address: SocketAddr::from(([127, 0, 0, 1], 5)),
        zone: "here".into(),
        kind: "small".into(),
        cell: 1,
        health: Health::Ready,
        started: 1_500_000_000,
        weight: 1.0,
    };
    let list = List { index: 1, whole: true, endpoints: (0..1_100).map(entry).collect() };
    let text = list.write();
    println!("{} bytes", text.len());
    assert!(text.len() < linestack_store::MAX_RECORD_LENGTH - http::MAX_HEAD_BYTES, "{}", text.len());
    let folder = tempfile::tempdir().unwrap();
    let open = |mode| Store::open(Folder::open(folder.path()).unwrap(), Limits::default(), mode, 1).unwrap();
    let put = Op::Put { kind: 2, key: b"list".to_vec(), value: text, at: 1 };
    open(OpenMode::Create).commit(&[put], 1).unwrap();
    let stored = open(OpenMode::Existing).get(2, b"list").unwrap().unwrap();
    assert_eq!(List::read(&stored).unwrap(), list);
}
