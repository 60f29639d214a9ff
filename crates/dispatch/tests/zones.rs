//! Whom a node draws of two zones, where crossing has a price.

use std::collections::VecDeque;

use linestack_dispatch::decide::Dispatcher;
use linestack_dispatch::types::*;

const MS: Nanos = 1_000_000;
const EACH_ZONE: Worker = 90;
const AGREED: Nanos = 400 * MS;
/// Answers of the own zone come late, those of the other one in good time.
const TOOK_HERE: Nanos = 900 * MS;
const TOOK_THERE: Nanos = 150 * MS;

fn terms() -> DispatchConfig {
    let product = Product {
        repeat_policy: RepeatPolicy::Idempotent,
        latency_target: AGREED,
        latency_target_factor: 1.0,
        payoff: 1.0,
        late_payoff: 0.5,
        allowed_kinds: None,
        allowed_zones: None,
    };
    DispatchConfig {
        seed: 7,
        nodes: 2,
        zone: 0,
        products: vec![product],
        quotas: vec![],
        excess_payoff: 0.2,
        probe_cost: 0.002,
        zone_crossing_cost: 0.01,
        connection_cost: 0.0,
        max_executions: 3,
        may_duplicate: false,
        may_probe: false,
        may_cancel: false,
        retry_after: Some(2_000 * MS),
        connect_timeout: 250 * MS,
        idle_timeout: 60_000 * MS,
        deadline_margin: 16 * MS,
        cold_capacity_share: 0.3,
        slow_start_duration: 8_000 * MS,
        overload_factor: 2.5,
        overload_window: 1_000 * MS,
        list_refresh_limit: None,
        progress_interval: None,
        reports_start: false,
        weights_are_sizes: false,
        counts_memory: false,
    }
}

fn zone_of(worker: Worker) -> u16 {
    u16::from(worker >= EACH_ZONE)
}

// Every answer of the own zone comes late, which costs half of its payoff, and crossing costs a hundredth; yet none of 300
// crosses. Where most executors are not known, up to 16 are drawn and the first of the own zone is taken, so that nothing is ever
// learned of the other one. With 6 executors a zone, all known, nearly all cross.
// Seen on a simulated calm day on which nothing fails: 94% stay in their zone, up to 30% of the answers are late, and 0.677 is
// served where the gate wants 0.694. Without the preference 0.850 is (one trial).
#[test]
fn a_node_crosses_where_its_own_zone_answers_late() {
    const SUBMITTED: u32 = 600;
    let mut dispatcher = Dispatcher::new(terms());
    let mut now = 5_000_000 * MS;
    let listing = |worker| WorkerEntry {
        worker,
        zone: zone_of(worker),
        health: Health::Ready,
        ..WorkerEntry::default()
    };
    let entries: Vec<_> = (0..2 * EACH_ZONE).map(listing).collect();
    dispatcher.decide(now, Event::ListReceived { kind: ListKind::Whole, entries: &entries });
    let mut out: VecDeque<(Nanos, Ending)> = VecDeque::new();
    let mut crossed = 0;
    for submission in 0..SUBMITTED {
        now += 50 * MS;
        while let Some(next) = out.iter().position(|(due, _)| *due <= now) {
            let Some((_, ending)) = out.remove(next) else { break };
            dispatcher.decide(now, Event::Ended(ending));
        }
        let job = Job { product: 0, tenant: 0, deadline: now + 5_000 * MS, slots: 1.0, memory: 0.0 };
        for order in dispatcher.decide(now, Event::Submitted { submission, job }) {
            let Action::Execute { submission, worker, .. } = *order else { continue };
            let there = zone_of(worker) > 0;
            crossed += u32::from(there && submission >= SUBMITTED / 2);
            let took = if there { TOOK_THERE } else { TOOK_HERE };
            let (outcome, closed, report) = (Outcome::Completed, true, None);
            out.push_back((
                now + took,
                Ending { submission, execution: 0, worker, outcome, closed, took, report },
            ));
        }
    }
    assert!(crossed * 2 >= SUBMITTED / 2, "{crossed} of {} crossed", SUBMITTED / 2);
}
