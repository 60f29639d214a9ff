//! Random scenarios: small fleets with overlapping faults.

use linestack_world::{
    Backoff, Clients, Discovery, Executors, Fault, FaultSpec, Limits, Load, Network, Nodes, Product,
    RepeatPolicy, Reports, Scenario, Shape, Tenant,
};
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64Mcg;

/// Combined with a scenario's seed, so that the generator does not draw the same random numbers as the
/// simulation of that scenario.
const GENERATOR_SEED_MASK: u64 = 0x6c69_6e65_7374_6163;

/// The kinds of faults that are drawn.
const FAULT_KINDS: [Fault; 25] = [
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
];

/// Generates a small scenario of 10 to 25 s with one to four faults that may overlap. The same seed gives the
/// same scenario.
#[must_use]
pub fn small_scenario(seed: u64) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ GENERATOR_SEED_MASK);
    let r = &mut rng;
    let span_s = r.random_range(10.0..25.0_f64).round();
    let executors = (0..r.random_range(1..=3))
        .map(|i| {
            let slots = *[1, 2, 2, 3, 4, 8, 16].choose(r).unwrap_or(&2);
            Executors {
                kind: format!("k{i}"),
                count: r.random_range(2..=7),
                cores: f64::from(slots) * *[1.0, 1.0, 0.5].choose(r).unwrap_or(&1.0),
                speed: random_tenth(r, 0.5, 2.0),
                slots,
                queue: r.random_range(0..=16),
                group: r.random_range(1..=3),
                cold_capacity_share: random_tenth(r, 0.1, 0.6).max(0.1),
                cold_s: r.random_range(3.0..20.0_f64).round(),
                connections: if r.random_bool(0.2) { slots * 3 } else { 256 },
                idle_s: *[1.0, 5.0, 15.0, 60.0].choose(r).unwrap_or(&15.0),
                error_rate: if r.random_bool(0.1) { 0.01 } else { 0.0 },
                cancels: r.random_bool(0.7),
                ..Executors::default()
            }
        })
        .collect();
    let repeat_policies = [RepeatPolicy::Idempotent, RepeatPolicy::Stamped, RepeatPolicy::OneShot];
    let products = (0..r.random_range(1..=3))
        .map(|i| {
            let work_ms = r.random_range(20.0..800.0_f64).round();
            Product {
                name: format!("p{i}"),
                share: random_tenth(r, 0.2, 2.0).max(0.1),
                work_ms,
                cv: random_tenth(r, 0.0, 1.5),
                latency_target_ms: (work_ms * r.random_range(0.5..2.0)).max(50.0).round(),
                latency_target_factor: random_tenth(r, 1.0, 2.5),
                deadline_ms: r.random_range(3000.0..9000.0_f64).round(),
                payoff: f64::from(r.random_range(1..=5)),
                repeats: *repeat_policies.choose(r).unwrap_or(&RepeatPolicy::OneShot),
                dedup_window_s: r.random_range(2.0..10.0_f64).round(),
                ..Product::default()
            }
        })
        .collect();
    let tenants = (0..r.random_range(1..=3))
        .map(|i| Tenant {
            name: format!("t{i}"),
            share: random_tenth(r, 0.2, 2.0).max(0.1),
            usage: if r.random_bool(0.2) { 2.5 } else { 1.0 },
        })
        .collect();
    let faults: Vec<FaultSpec> = (0..r.random_range(1..=4))
        .map(|_| FaultSpec {
            kind: *FAULT_KINDS.choose(r).unwrap_or(&Fault::Crash),
            at_s: random_tenth(r, 1.0, span_s - 4.0),
            for_s: random_tenth(r, 0.5, 10.0),
            part: random_tenth(r, 0.1, 0.7).max(0.1),
            size: random_tenth(r, 0.1, 0.9).max(0.1),
            zone: None,
        })
        .collect();
    let shapes = [Shape::Steady, Shape::Bursty, Shape::Wave];
    let backoffs = [Backoff::None, Backoff::Fixed, Backoff::Exponential];
    Scenario {
        name: format!("small-{seed}"),
        seed,
        span_s,
        zones: r.random_range(1..=3),
        nodes: Nodes {
            count: r.random_range(1..=6),
            sockets: if r.random_bool(0.2) { 64 } else { 1024 },
            memory_mb: if r.random_bool(0.2) { 32 } else { 192 },
            ..Nodes::default()
        },
        executors,
        reports: Reports {
            enabled: r.random_bool(0.85),
            period_ms: if r.random_bool(0.4) { r.random_range(5.0..1000.0_f64).round() } else { 0.0 },
            delay_ms: if r.random_bool(0.3) { r.random_range(5.0..800.0_f64).round() } else { 0.0 },
            noise: if r.random_bool(0.3) { 0.05 } else { 0.0 },
        },
        reports_start: r.random_bool(0.4),
        progress_s: *[0.0, 1.0, 2.0].choose(r).unwrap_or(&1.0),
        products,
        tenants,
        load: Load {
            of_capacity: random_tenth(r, 0.2, 1.4).max(0.1),
            shape: *shapes.choose(r).unwrap_or(&Shape::Steady),
            ..Load::default()
        },
        clients: Clients {
            retries: r.random_range(0..=2),
            backoff: *backoffs.choose(r).unwrap_or(&Backoff::Fixed),
            heed_retry_after: *[0.0, 0.5, 1.0].choose(r).unwrap_or(&1.0),
            leave: if r.random_bool(0.3) { 0.05 } else { 0.0 },
            ..Clients::default()
        },
        network: Network { jitter: random_tenth(r, 0.0, 1.0), ..Network::default() },
        discovery: Discovery {
            polled: r.random_bool(0.3),
            late_s: random_tenth(r, 0.1, 3.0),
            ..Discovery::default()
        },
        limits: Limits {
            may_probe: r.random_bool(0.8),
            may_cancel: r.random_bool(0.8),
            may_duplicate: r.random_bool(0.7),
            max_executions: r.random_range(1..=5),
            max_retry_after_ms: if r.random_bool(0.7) { 2000.0 } else { 0.0 },
            excess_payoff: if r.random_bool(0.5) { 0.2 } else { 1.0 },
            ..Limits::default()
        },
        faults,
        ..Scenario::default()
    }
}

/// Draws a number from `low` to `high` in steps of a tenth. A range narrower than a tenth is widened to one.
fn random_tenth(rng: &mut Pcg64Mcg, low: f64, high: f64) -> f64 {
    (rng.random_range(low..high.max(low + 0.1)) * 10.0).round() / 10.0
}
