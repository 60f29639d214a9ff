//! The list of executors, as discovery words it.

use linestack::net::discovery::List;
use linestack_dispatch::types::Health;
use rstest::rstest;

#[rstest]
#[case::whole("{\"index\":3,\"snapshot\":true,\"endpoints\":[E]}", Some(1))]
#[case::bad_entry_left_out(
    "{\"index\":3,\"endpoints\":[E,7,{\"name\":\"x\"},{\"name\":\"y\",\"address\":\"?\",\"status\":\"active\"}]}",
    Some(1)
)]
#[case::array("[3,true,[]]", None)]
#[case::nothing_listed("{}", None)]
#[case::cut_short("{\"index\":3,\"endpoints\":[E", None)]
#[case::no_text("\u{1}", None)]
fn a_list_is_read_as_far_as_it_makes_sense(#[case] text: &str, #[case] entries: Option<usize>) {
    let entry = "{\"name\":\"w0\",\"address\":\"127.0.0.1:5\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\
                 \"status\":\"leaving\",\"weight\":1.0,\"since_ms\":1500}";
    let list = List::read(text.replace('E', entry).as_bytes());
    assert_eq!(list.as_ref().ok().map(|l| l.endpoints.len()), entries);
    if let Ok(list) = list {
        let e = &list.endpoints[0];
        assert_eq!((e.health, e.group, e.started), (Health::Draining, 3, 1_500_000_000));
    }
}
