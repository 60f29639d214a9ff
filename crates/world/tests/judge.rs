//! Tests of the judge and of whole simulations: a node that breaks a rule on purpose must be reported under
//! that rule, and a correct node must break none, with each fault alone and with settings changed during a
//! fault.

use linestack_world::tampered::{TamperedNode, Tampering};
use linestack_world::{
    Executors, Fault, FaultSpec, Load, Nodes, Product, RepeatPolicy, Rule, Scenario, production_node, run,
};
use rstest::rstest;

/// Returns a small fleet with one fault and a product of each repeat policy.
fn scenario(kind: Fault, part: f64, size: f64) -> Scenario {
    let product = |name: &str, repeats| Product { name: name.into(), repeats, ..Product::default() };
    Scenario {
        span_s: 20.0,
        nodes: Nodes { count: 2, ..Nodes::default() },
        executors: vec![Executors { count: 6, cores: 2.0, slots: 2, ..Executors::default() }],
        products: vec![
            product("any", RepeatPolicy::Idempotent),
            product("marked", RepeatPolicy::Stamped),
            product("once", RepeatPolicy::OneShot),
        ],
        load: Load { of_capacity: 0.5, ..Load::default() },
        faults: vec![FaultSpec { kind, at_s: 4.0, for_s: 8.0, part, size, zone: None }],
        ..Scenario::default()
    }
}

#[rstest]
#[case::twice(Tampering::AnswersTwice, Rule::AnsweredTwice, Fault::Slow)]
#[case::nothing(Tampering::AnswersNothing, Rule::Lost, Fault::Slow)]
#[case::made_up(Tampering::MakesUp, Rule::MadeUp, Fault::Resets)]
#[case::one_shot_again(Tampering::ResendsOneShots, Rule::ResentMayHaveRun, Fault::Resets)]
#[case::one_shot_twice(Tampering::ResendsOneShots, Rule::RanTwice, Fault::Resets)]
#[case::other_group(Tampering::ForgetsGroups, Rule::OutsideGroup, Fault::Resets)]
#[case::dismissed(Tampering::DismissesWhatRan, Rule::DismissedMayHaveRun, Fault::Resets)]
#[case::drained(Tampering::SendsToDrained, Rule::SentToDrained, Fault::Drain)]
#[case::cold(Tampering::FloodsCold, Rule::ColdPushedOver, Fault::Grow)]
#[case::after(Tampering::SendsAfterAnswer, Rule::SentAfterAnswer, Fault::Slow)]
fn the_judge_names_the_rule_that_a_node_breaks(
    #[case] tampering: Tampering,
    #[case] rule: Rule,
    #[case] kind: Fault,
) {
    let scenario = scenario(kind, 0.2, 0.3);
    let correct = run(&scenario, &production_node);
    assert_eq!(correct.breaches, [], "a correct node breaks no rule");
    assert!(correct.satisfied > 100);
    let tampered = run(&scenario, &|setup| Box::new(TamperedNode::new(production_node(setup), tampering)));
    assert!(tampered.rules().contains(&rule), "found {:?} instead of {rule:?}", tampered.rules());
}

// The same seed gives the same outcome, byte for byte, and another seed another outcome.
#[test]
fn the_seed_determines_the_outcome() {
    let s = scenario(Fault::Crash, 0.3, 0.5);
    let outcome_text = |s: &Scenario| format!("{:?}", run(s, &production_node));
    assert_eq!(outcome_text(&s), outcome_text(&s));
    assert_ne!(outcome_text(&s), outcome_text(&Scenario { seed: 2, ..s.clone() }));
}

// Each fault alone, with three seeds: no rule is broken, and more than 40 % of the submissions are satisfied.
#[rstest]
fn no_single_fault_breaks_a_rule(
    #[values(
        Fault::Crash,
        Fault::Vanish,
        Fault::Hang,
        Fault::Pauses,
        Fault::Slow,
        Fault::Neighbour,
        Fault::FastErrors,
        Fault::ProductFails,
        Fault::Lose,
        Fault::Refuse,
        Fault::Garbage,
        Fault::Lie,
        Fault::ReportsLate,
        Fault::Resets,
        Fault::Cut,
        Fault::Drain,
        Fault::Grow,
        Fault::Roll,
        Fault::DiscoveryDown,
        Fault::DiscoveryFlaps,
        Fault::NodeKill,
        Fault::NodeRoll,
        Fault::NodePause,
        Fault::NodeSlow,
        Fault::Flood,
        Fault::Switch
    )]
    kind: Fault,
    #[values(1, 2, 3)] seed: u64,
) {
    let s = Scenario { seed, zones: 2, ..scenario(kind, 0.3, 0.5) };
    let outcome = run(&s, &production_node);
    assert_eq!(outcome.breaches, [], "{kind:?}");
    let share = outcome.satisfied as f64 / outcome.submissions as f64;
    assert!(share > 0.4, "{kind:?}: only {share:.2} of {} submissions satisfied", outcome.submissions);
}

// All nodes change their settings at once, and back, while executors join cold or leave: no rule is broken
// after either change, and little goodput is lost compared with no change, or with nodes that are restarted
// instead.
#[rstest]
fn changing_settings_during_a_fault_breaks_no_rule(
    #[values(Fault::Grow, Fault::Drain, Fault::Crash, Fault::Roll)] kind: Fault,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut s = Scenario { seed, zones: 2, ..scenario(kind, 0.3, 0.5) };
    let unchanged = run(&s, &production_node);
    let (at_s, for_s) = (s.faults[0].at_s + 1.0, 4.0);
    s.faults.push(FaultSpec { kind: Fault::Switch, at_s, for_s, part: 1.0, size: 0.0, zone: None });
    let changed = run(&s, &production_node);
    assert_eq!(changed.breaches, []);
    let ratio = changed.goodput / unchanged.goodput;
    assert!(ratio > 0.9, "{ratio:.2} of the goodput without a change of settings");
    s.faults[1].kind = Fault::NodeRoll;
    let restarted = run(&s, &production_node);
    // Restarted nodes keep using copies and probes, which the changed settings forbid.
    let ratio = changed.goodput / restarted.goodput;
    assert!(ratio > 0.95, "{ratio:.2} of the goodput of restarted nodes");
}

#[rstest]
#[case::no_executors("executors = []", "executors: no executor")]
#[case::no_load("[load]\nof_capacity = 0", "load: empty")]
#[case::no_slots("[[executors]]\nslots = 0", "executors[0].slots")]
#[case::negative_span("span_s = -1", "span_s")]
#[case::not_a_number("[network]\nsame_ms = nan", "network")]
#[case::unknown_zone("[[troubles]]\nzone = 4", "troubles[0].zone")]
#[case::deadline_below_target("[[products]]\ncut_off_ms = 3", "products[0].cut_off_ms")]
fn an_invalid_scenario_is_rejected_with_its_key(#[case] text: &str, #[case] key: &str) {
    let scenario: Scenario = toml::from_str(text).unwrap();
    let errors = scenario.validate().unwrap_err();
    assert!(errors.contains(key), "{errors}");
}
