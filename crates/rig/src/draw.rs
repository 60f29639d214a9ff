//! Plans drawn from seeds, and the smallest part of one that still fails.

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::plan::{Action, Load, Plan, Step};

/// A plan of some changes among some faults, from its seed. Every fault ends before the plan does.
#[must_use]
pub fn draw(seed: u64) -> Plan {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let coordinators = *[1, 3, 3, 3, 5].choose(&mut rng).unwrap_or(&3);
    let mut plan = Plan {
        name: format!("drawn-{seed}"),
        seed,
        nodes: rng.random_range(2..=5),
        coordinators,
        lease_ms: rng.random_range(400..=900),
        load: Load { rate: 120.0, clients: 8, deadline_ms: 1500, ..Load::default() },
        tail_ms: 1200,
        ..Plan::default()
    };
    let (processes, ways) = (plan.processes(), plan.link_names());
    let ways: Vec<String> = ways.into_iter().filter(|w| w.contains(">c")).collect();
    let (mut base, mut faults): (u64, Vec<Vec<Step>>) = (1, Vec::new());
    for number in 0..rng.random_range(2..=4) {
        let pace = rng.random_range(0..400);
        if rng.random::<f64>() < 0.6 || number == 0 {
            // Some build on a version that is not there, and some can't be taken.
            let built_on = if rng.random::<f64>() < 0.85 { base } else { base + 1 };
            let terms = if rng.random::<f64>() < 0.9 { number + 2 } else { 0 };
            plan.steps.push(Step {
                after_ms: pace,
                action: Action::Propose,
                request: format!("r{number}"),
                base: built_on,
                policy: terms,
                all: rng.random::<f64>() < 0.2,
                give_up_ms: rng.random_range(800..3000),
                ..Step::default()
            });
            base += 1;
        }
        let who = processes.choose(&mut rng).cloned().unwrap_or_default();
        let way = ways.choose(&mut rng).cloned().unwrap_or_default();
        let sides = match rng.random_range(0..3) {
            0 => vec![crate::link::Direction::Forward],
            1 => vec![crate::link::Direction::Backward],
            _ => vec![crate::link::Direction::Forward, crate::link::Direction::Backward],
        };
        let frame = *["prepare", "promise", "accept", "accepted", "beat", "request", "reply"]
            .choose(&mut rng)
            .unwrap_or(&"accept");
        let after_ms = rng.random_range(0..300);
        let step = |action, to: &str| Step { after_ms, action, to: vec![to.to_owned()], ..Step::default() };
        let end = |action, to: &str, after_ms| Step {
            after_ms,
            action,
            to: vec![to.to_owned()],
            ..Step::default()
        };
        let long = rng.random_range(100..2 * plan.lease_ms);
        let pair = match rng.random_range(0..8) {
            0 => vec![step(Action::Kill, &who), end(Action::Start, &who, long)],
            1 => vec![step(Action::Pause, &who), end(Action::Resume, &who, long)],
            2 => vec![Step { directions: sides, ..step(Action::Cut, &way) }, end(Action::Heal, &way, long)],
            3 => vec![
                Step { directions: sides, ms: 60, ..step(Action::Delay, &way) },
                end(Action::Heal, &way, long),
            ],
            4 => vec![step(Action::Reset, &way)],
            5 => vec![Step { request: frame.into(), ..step(Action::Repeat, &way) }],
            6 => vec![Step {
                request: frame.into(),
                bytes: rng.random_range(0..60),
                ..step(Action::CutAt, &way)
            }],
            _ => {
                vec![
                    Step { request: frame.into(), ..step(Action::Hold, &way) },
                    end(Action::Release, &way, long),
                ]
            }
        };
        faults.push(pair);
    }
    // One fault is over before the next begins, but for those that another step stands between.
    for pair in faults {
        let at = rng.random_range(0..=plan.steps.len());
        for (i, step) in pair.into_iter().enumerate() {
            plan.steps.insert((at + i).min(plan.steps.len()), step);
        }
    }
    // Whatever was begun twice is over at the end.
    let whole = |action, to: &str| Step { action, to: vec![to.to_owned()], ..Step::default() };
    plan.steps.push(whole(Action::Heal, "*>*"));
    plan
}

/// Leaves out steps, one after the other, for as long as `fails` says that it still does.
pub fn shrink(plan: &Plan, mut fails: impl FnMut(&Plan) -> bool, mut tries: usize) -> Plan {
    let mut small = plan.clone();
    let mut at = small.steps.len();
    while at > 0 && tries > 0 {
        at -= 1;
        let mut less = small.clone();
        let gone = less.steps.remove(at);
        // What begins something takes its end with it.
        let ends =
            |s: &Step| s.to == gone.to && matches!(s.action, Action::Start | Action::Resume | Action::Heal);
        if matches!(gone.action, Action::Kill | Action::Pause | Action::Cut | Action::Delay)
            && let Some(end) = less.steps[at..].iter().position(ends)
        {
            less.steps.remove(at + end);
        } else if matches!(gone.action, Action::Start | Action::Resume) {
            continue;
        }
        tries -= 1;
        if less.check().is_ok() && fails(&less) {
            small = less;
            at = at.min(small.steps.len());
        }
    }
    small
}
