//! What is taken from a peer, and what is not.

use linestack_peers::{FORM, Fault, Figures, Heard, Item, MOST, Nanos, Own, Tale, learn};
use rstest::rstest;

const MS: Nanos = 1_000_000;

fn item(name: &str, age_ms: u64, silent: bool) -> Item {
    let figures = Some(Figures { free_slots: Some(3.0), ..Figures::default() });
    Item { name: name.into(), age_ms, silent, figures }
}

fn tale(items: Vec<Item>) -> Tale {
    Tale { form: FORM, teller: "n1".into(), items }
}

/// Of six ready ones `met` was seen 100 ms ago; `gone` is not ready. Asked 50 ms before it came.
fn heard(tale: &Tale) -> Result<Vec<Heard>, Fault> {
    let own = |name: &str| Own {
        ready: name != "gone" && name != "unknown",
        seen: (name == "met").then_some(9_900 * MS),
    };
    learn(tale, "n0", (9_950 * MS, 10_000 * MS), 1000 * MS, own, 6)
}

#[rstest]
#[case::young(vec![item("a", 10, false)], &["a"])]
#[case::just_young(vec![item("a", 949, false)], &["a"])]
#[case::aged_on_the_way(vec![item("a", 950, false)], &[])]
#[case::healthy_20_s_ago(vec![item("a", 20_000, false)], &[])]
#[case::an_age_beyond_all(vec![item("a", u64::MAX, false)], &[])]
#[case::older_than_own(vec![item("met", 60, false)], &[])]
#[case::newer_than_own(vec![item("met", 40, false)], &["met"])]
#[case::not_ready(vec![item("gone", 10, false), item("unknown", 10, false)], &[])]
#[case::said_twice(vec![item("a", 10, false), item("a", 10, true)], &["a"])]
#[case::two_silent(vec![item("a", 10, true), item("b", 10, true)], &["a", "b"])]
#[case::too_many_silent(vec![item("a", 10, true), item("b", 10, true), item("c", 10, true), item("d", 10, false)], &["d"])]
#[case::a_name_without_end(vec![item(&"x".repeat(300), 10, false)], &[])]
fn taken(#[case] items: Vec<Item>, #[case] names: &[&str]) {
    let taken: Vec<String> = heard(&tale(items)).unwrap().into_iter().map(|h| h.name).collect();
    assert_eq!(taken, names);
}

#[test]
fn refused_whole() {
    let good = tale(vec![item("a", 10, false)]);
    assert_eq!(heard(&Tale { form: 2, ..good.clone() }), Err(Fault::Form(2)));
    assert_eq!(heard(&Tale { teller: "n0".into(), ..good }), Err(Fault::Teller));
    let many = (0..=MOST).map(|i| item(&i.to_string(), 10, false)).collect();
    assert_eq!(heard(&tale(many)), Err(Fault::Many(MOST + 1)));
}

#[test]
fn figures_that_make_no_sense() {
    let figures = Figures {
        free_slots: Some(f32::NAN),
        free_memory: Some(-1.0),
        waiting: Some(f32::INFINITY),
        in_hand: Some(2.0),
    };
    let told = Item { figures: Some(figures), ..item("a", 10, false) };
    let [Heard { figures: Some(taken), .. }] = &heard(&tale(vec![told])).unwrap()[..] else { panic!() };
    assert_eq!(*taken, Figures { in_hand: Some(2.0), ..Figures::default() });
    // Of one that is silent there are none.
    assert_eq!(heard(&tale(vec![item("a", 10, true)])).unwrap()[0].figures, None);
}
