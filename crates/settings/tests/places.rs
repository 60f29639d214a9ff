//! Products that are bound to zones or kinds, as people write them.

use linestack_settings::read;
use rstest::rstest;

fn settings(product: &str, class_kind: i32) -> String {
    format!(
        r#"{{"familyInfo": {{"classKind": [{class_kind}]}}, "kinds": ["small", "large"], "zones": ["here", "there"],
            "products": [{{"name": "look", {product}}}]}}"#
    )
}

#[rstest]
#[case::open(r#""payoff": 1.0"#, -1, None, None)]
#[case::numbers(r#""staysIn": [1, 0]"#, -1, None, Some(vec![0, 1]))]
#[case::names(r#""staysIn": ["there"], "boundTo": ["large"]"#, -1, Some(vec![1]), Some(vec![1]))]
#[case::not_listed_yet(r#""staysIn": ["nowhere"]"#, -1, None, Some(vec![2]))]
#[case::the_one_kind(r#""payoff": 1.0"#, 0, Some(vec![0]), None)]
#[case::both_must_hold(r#""boundTo": [0, 1]"#, 1, Some(vec![1]), None)]
#[case::none_is_left(r#""boundTo": [0]"#, 1, Some(vec![]), None)]
fn places_are_resolved(
    #[case] product: &str,
    #[case] class_kind: i32,
    #[case] kinds: Option<Vec<u16>>,
    #[case] zones: Option<Vec<u16>>,
) {
    let read = read(settings(product, class_kind).as_bytes(), 1).unwrap();
    assert_eq!(
        (&read.dispatch.products[0].allowed_kinds, &read.dispatch.products[0].allowed_zones),
        (&kinds, &zones)
    );
    assert!(read.names.zones.len() >= 2);
}

#[rstest]
#[case::empty(r#""staysIn": []"#, "products[0].staysIn")]
#[case::no_list(r#""staysIn": "here""#, "products[0].staysIn")]
#[case::wrong_type(r#""boundTo": [1.5]"#, "products[0].boundTo")]
#[case::negative(r#""boundTo": [-1]"#, "products[0].boundTo")]
#[case::twice(r#""boundTo": ["small", "small"]"#, "products[0].boundTo")]
fn what_makes_no_sense_is_refused_by_key(#[case] product: &str, #[case] key: &str) {
    let fault = read(settings(product, -1).as_bytes(), 1).unwrap_err();
    assert!(fault.path().to_string().starts_with(key), "{fault}");
}
