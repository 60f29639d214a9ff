//! Plans drawn from seeds, and the smallest part of one that still fails.

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::plan::{Deed, Load, Plan, Step};

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
        load: Load { rate: 120.0, clients: 8, cut_off_ms: 1500, ..Load::default() },
        tail_ms: 1200,
        ..Plan::default()
    };
    let (processes, ways) = (plan.processes(), plan.ways());
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
                r#do: Deed::Propose,
                request: format!("r{number}"),
                base: built_on,
                terms,
                all: rng.random::<f64>() < 0.2,
                give_up_ms: rng.random_range(800..3000),
                ..Step::default()
            });
            base += 1;
        }
        let who = processes.choose(&mut rng).cloned().unwrap_or_default();
        let way = ways.choose(&mut rng).cloned().unwrap_or_default();
        let sides = match rng.random_range(0..3) {
            0 => vec![crate::link::Side::Forth],
            1 => vec![crate::link::Side::Back],
            _ => vec![crate::link::Side::Forth, crate::link::Side::Back],
        };
        let frame = *["prepare", "promise", "accept", "accepted", "beat", "request", "reply"]
            .choose(&mut rng)
            .unwrap_or(&"accept");
        let after_ms = rng.random_range(0..300);
        let step = |r#do, to: &str| Step { after_ms, r#do, to: vec![to.to_owned()], ..Step::default() };
        let end =
            |r#do, to: &str, after_ms| Step { after_ms, r#do, to: vec![to.to_owned()], ..Step::default() };
        let long = rng.random_range(100..2 * plan.lease_ms);
        let pair = match rng.random_range(0..8) {
            0 => vec![step(Deed::Kill, &who), end(Deed::Start, &who, long)],
            1 => vec![step(Deed::Pause, &who), end(Deed::Resume, &who, long)],
            2 => vec![Step { sides, ..step(Deed::Cut, &way) }, end(Deed::Heal, &way, long)],
            3 => vec![Step { sides, ms: 60, ..step(Deed::Delay, &way) }, end(Deed::Heal, &way, long)],
            4 => vec![step(Deed::Reset, &way)],
            5 => vec![Step { request: frame.into(), ..step(Deed::Repeat, &way) }],
            6 => vec![Step {
                request: frame.into(),
                bytes: rng.random_range(0..60),
                ..step(Deed::CutAt, &way)
            }],
            _ => {
                vec![Step { request: frame.into(), ..step(Deed::Hold, &way) }, end(Deed::Release, &way, long)]
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
    let whole = |r#do, to: &str| Step { r#do, to: vec![to.to_owned()], ..Step::default() };
    plan.steps.push(whole(Deed::Heal, "*>*"));
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
        let ends = |s: &Step| s.to == gone.to && matches!(s.r#do, Deed::Start | Deed::Resume | Deed::Heal);
        if matches!(gone.r#do, Deed::Kill | Deed::Pause | Deed::Cut | Deed::Delay)
            && let Some(end) = less.steps[at..].iter().position(ends)
        {
            less.steps.remove(at + end);
        } else if matches!(gone.r#do, Deed::Start | Deed::Resume) {
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
