//! Draws random plans from seeds, and shrinks a failing plan.

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::plan::{Action, Load, Plan, Step};

/// Draws a plan with policy changes and faults from a seed. Every fault ends before the plan does.
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
    let (processes, links) = (plan.processes(), plan.link_names());
    let links: Vec<String> = links.into_iter().filter(|link| link.contains(">c")).collect();
    // The version that the next proposal builds on, if all earlier ones are decided.
    let mut base = 1_u64;
    // The steps that begin and end each fault.
    let mut faults: Vec<Vec<Step>> = Vec::new();
    for number in 0..rng.random_range(2..=4) {
        let delay_ms = rng.random_range(0..400);
        if rng.random::<f64>() < 0.6 || number == 0 {
            // Some proposals build on a version that does not exist, and some contain an unacceptable policy.
            let proposal_base = if rng.random::<f64>() < 0.85 { base } else { base + 1 };
            let policy = if rng.random::<f64>() < 0.9 { number + 2 } else { 0 };
            plan.steps.push(Step {
                after_ms: delay_ms,
                action: Action::Propose,
                request: format!("r{number}"),
                base: proposal_base,
                policy,
                all: rng.random::<f64>() < 0.2,
                give_up_ms: rng.random_range(800..3000),
                ..Step::default()
            });
            base += 1;
        }
        let process = processes.choose(&mut rng).cloned().unwrap_or_default();
        let link = links.choose(&mut rng).cloned().unwrap_or_default();
        let directions = match rng.random_range(0..3) {
            0 => vec![crate::link::Direction::Forward],
            1 => vec![crate::link::Direction::Backward],
            _ => vec![crate::link::Direction::Forward, crate::link::Direction::Backward],
        };
        let frame_kind = *["prepare", "promise", "accept", "accepted", "beat", "request", "reply"]
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
        let duration_ms = rng.random_range(100..2 * plan.lease_ms);
        let fault_steps = match rng.random_range(0..8) {
            0 => vec![step(Action::Kill, &process), end(Action::Start, &process, duration_ms)],
            1 => vec![step(Action::Pause, &process), end(Action::Resume, &process, duration_ms)],
            2 => vec![Step { directions, ..step(Action::Cut, &link) }, end(Action::Heal, &link, duration_ms)],
            3 => vec![
                Step { directions, ms: 60, ..step(Action::Delay, &link) },
                end(Action::Heal, &link, duration_ms),
            ],
            4 => vec![step(Action::Reset, &link)],
            5 => vec![Step { request: frame_kind.into(), ..step(Action::Repeat, &link) }],
            6 => vec![Step {
                request: frame_kind.into(),
                bytes: rng.random_range(0..60),
                ..step(Action::CutAt, &link)
            }],
            _ => {
                vec![
                    Step { request: frame_kind.into(), ..step(Action::Hold, &link) },
                    end(Action::Release, &link, duration_ms),
                ]
            }
        };
        faults.push(fault_steps);
    }
    // The steps of a fault are adjacent, unless a later insertion falls between them.
    for fault_steps in faults {
        let at = rng.random_range(0..=plan.steps.len());
        for (i, step) in fault_steps.into_iter().enumerate() {
            plan.steps.insert((at + i).min(plan.steps.len()), step);
        }
    }
    // Ends faults that were begun twice.
    let final_step = |action, to: &str| Step { action, to: vec![to.to_owned()], ..Step::default() };
    plan.steps.push(final_step(Action::Heal, "*>*"));
    plan
}

/// Tries to remove each step in turn, and leaves out those without which the plan still fails. `fails` runs a plan; it
/// is called at most `max_trials` times.
pub fn shrink(plan: &Plan, mut fails: impl FnMut(&Plan) -> bool, max_trials: usize) -> Plan {
    let mut smallest = plan.clone();
    let mut trials_left = max_trials;
    let mut at = smallest.steps.len();
    while at > 0 && trials_left > 0 {
        at -= 1;
        let mut candidate = smallest.clone();
        let removed = candidate.steps.remove(at);
        // A step that begins a fault is removed together with the step that ends it.
        let ends = |s: &Step| {
            s.to == removed.to && matches!(s.action, Action::Start | Action::Resume | Action::Heal)
        };
        if matches!(removed.action, Action::Kill | Action::Pause | Action::Cut | Action::Delay)
            && let Some(end) = candidate.steps[at..].iter().position(ends)
        {
            candidate.steps.remove(at + end);
        } else if matches!(removed.action, Action::Start | Action::Resume) {
            continue;
        }
        trials_left -= 1;
        if candidate.validate().is_ok() && fails(&candidate) {
            smallest = candidate;
            at = at.min(smallest.steps.len());
        }
    }
    smallest
}
