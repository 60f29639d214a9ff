//! What a dispatcher keeps when its terms change while it runs: a function of what it knows, with no I/O.
//!
//! Kept is what means the same under any terms: who is there, since when, what drains or is gone, what died or
//! is set aside, how many slots each was seen to have; what is held and out; and when the list is asked for.
//! Reports, shares, limits, thresholds and answer times were measured under the old terms, and start afresh.

use crate::decide::Dispatcher;
use crate::types::{DispatchConfig, Nanos};
use crate::worker_stats::Fleet;

impl Dispatcher {
    /// Goes on under other terms. The lists that products, tenants, kinds and zones are places in must be the
    /// same, and so must the promises on repeats; the caller sees to that.
    pub fn reconfigure(&mut self, terms: DispatchConfig) {
        let (sized, cold_for) = (terms.weights_are_sizes, terms.slow_start_duration);
        let old = std::mem::replace(self, Self::new(terms));
        self.now = old.now;
        self.chance = old.chance;
        self.fleet = afresh(old.fleet, old.now, sized, cold_for);
        self.held = old.held;
        self.flow.in_flight = old.flow.in_flight;
        let expected = self.terms.quotas.iter().sum::<f64>() / f64::from(self.terms.nodes);
        self.flow.expect(self.now, expected.max(1.0) / 1e9);
        (self.next_pulse, self.subscribe_at, self.unheard) = (old.next_pulse, old.subscribe_at, old.unheard);
    }
}

fn afresh(mut fleet: Fleet, now: Nanos, sized: bool, cold_for: Nanos) -> Fleet {
    for desk in &mut fleet.desks {
        (desk.reported, desk.linked) = (None, None);
        (desk.answers, desk.paces, desk.served) = Default::default();
        // What waits may have started unseen before notices counted; what ran is not called off for it.
        desk.out.iter_mut().for_each(|o| o.waits = false);
    }
    for kind in fleet.kinds.iter_mut().flatten() {
        (kind.threshold, kind.run) = (kind.start(), 0);
    }
    let listed = fleet.desks.iter().map(|d| f64::from(d.listing.weight)).filter(|w| w.is_finite());
    fleet.largest = if sized { listed.fold(0.0, f64::max) } else { 0.0 };
    (fleet.told, fleet.asked, fleet.free) = Default::default();
    fleet.take_stock(now, cold_for);
    fleet
}
