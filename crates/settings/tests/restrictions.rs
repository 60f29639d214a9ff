//! Products that are restricted to zones or kinds, given by index or by name.

use linestack_settings::read;
use rstest::rstest;

/// Returns settings with one product that has these keys. `class_kind` is the only kind that runs it; -1 stands for any.
fn settings(product: &str, class_kind: i32) -> String {
    format!(
        r#"{{"familyInfo": {{"classKind": [{class_kind}]}}, "kinds": ["small", "large"], "zones": ["here", "there"],
            "products": [{{"name": "lookup", {product}}}]}}"#
    )
}

#[rstest]
#[case::unrestricted(r#""payoff": 1.0"#, -1, None, None)]
#[case::by_index(r#""staysIn": [1, 0]"#, -1, None, Some(vec![0, 1]))]
#[case::by_name(r#""staysIn": ["there"], "boundTo": ["large"]"#, -1, Some(vec![1]), Some(vec![1]))]
#[case::name_not_listed(r#""staysIn": ["nowhere"]"#, -1, None, Some(vec![2]))]
#[case::kind_of_the_family(r#""payoff": 1.0"#, 0, Some(vec![0]), None)]
#[case::both_must_hold(r#""boundTo": [0, 1]"#, 1, Some(vec![1]), None)]
#[case::no_kind_left(r#""boundTo": [0]"#, 1, Some(vec![]), None)]
fn zones_and_kinds_are_resolved_to_indices(
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
#[case::not_a_list(r#""staysIn": "here""#, "products[0].staysIn")]
#[case::wrong_type(r#""boundTo": [1.5]"#, "products[0].boundTo")]
#[case::negative(r#""boundTo": [-1]"#, "products[0].boundTo")]
#[case::duplicate(r#""boundTo": ["small", "small"]"#, "products[0].boundTo")]
fn invalid_lists_are_rejected_with_their_key(#[case] product: &str, #[case] key: &str) {
    let error = read(settings(product, -1).as_bytes(), 1).unwrap_err();
    assert!(error.path().to_string().starts_with(key), "{error}");
}
