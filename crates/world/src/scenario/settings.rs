//! The settings that a scenario's nodes are started with.

use linestack_dispatch::types::{
    DedupScope, DispatchConfig, Product as ProductTerms, RepeatPolicy as RepeatTerms,
};
use linestack_settings::{Names, ReportLayout, Settings};

use super::{Product, Repeats, Scenario, millis, seconds};

/// Where discovery must be asked for changes, it is asked within so many seconds.
const ASK_WITHIN_S: f64 = 10.0;

impl Scenario {
    /// The settings of a node in a zone. `seed` is that of its decisions.
    #[must_use]
    pub fn settings(&self, zone: u16, seed: u64) -> Settings {
        let deadlines = self.products.iter().map(|p| p.cut_off_ms);
        Settings {
            dispatch: self.standing_orders(zone, seed),
            layout: ReportLayout {
                free_slots: Some(0),
                free_memory: None,
                queued_jobs: Some(1),
                active_jobs: Some(2),
            },
            names: self.names(),
            longest_deadline: millis(deadlines.fold(0.0, f64::max)),
            may_message_peers: false,
        }
    }

    fn standing_orders(&self, zone: u16, seed: u64) -> DispatchConfig {
        let (limits, rules, executors) = (&self.limits, &self.rules, &self.executors);
        let cold_from = executors.iter().map(|e| e.cold_from).fold(1.0, f64::min);
        let cold_s = executors.iter().map(|e| e.cold_s).fold(0.0, f64::max);
        let idle_s = executors.iter().map(|e| e.idle_s).fold(f64::INFINITY, f64::min);
        let unless_zero = |ms: f64| (ms > 0.0).then(|| millis(ms));
        DispatchConfig {
            seed,
            nodes: self.nodes.count,
            zone,
            products: self.products.iter().map(product_terms).collect(),
            quotas: self.quotas(),
            excess_payoff: limits.excess_payoff,
            probe_cost: limits.probe_price,
            zone_crossing_cost: if self.zones > 1 { limits.crossing_price } else { 0.0 },
            connection_cost: 0.0,
            max_executions: limits.max_executions,
            may_duplicate: limits.may_duplicate,
            may_probe: limits.may_probe,
            may_cancel: limits.may_cancel,
            retry_after: unless_zero(limits.come_back_ms),
            connect_timeout: millis(limits.connect_ms),
            idle_timeout: seconds(idle_s),
            deadline_margin: millis(limits.answer_slack_ms),
            cold_capacity_share: cold_from,
            slow_start_duration: seconds(cold_s),
            overload_factor: rules.fall_multiple,
            overload_window: millis(rules.fall_window_ms),
            list_refresh_limit: self.discovery.asked.then(|| seconds(ASK_WITHIN_S)),
            progress_interval: unless_zero(self.progress_s * 1e3),
            reports_start: self.tells_start,
            weights_are_sizes: false,
            counts_memory: false,
        }
    }

    /// By tenant: the submissions a second that its share entitles it to.
    fn quotas(&self) -> Vec<f64> {
        let shares: f64 = self.tenants.iter().map(|t| t.share).sum();
        self.tenants.iter().map(|t| self.rate() * t.share / shares.max(1e-9)).collect()
    }

    fn names(&self) -> Names {
        Names {
            products: self.products.iter().map(|p| p.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            kinds: self.executors.iter().map(|e| e.kind.clone()).collect(),
            zones: (0..self.zones).map(|z| format!("z{z}")).collect(),
            report_fields: vec!["x0".into(), "backlog".into(), "outstanding".into()],
        }
    }
}

fn product_terms(product: &Product) -> ProductTerms {
    ProductTerms {
        repeat_policy: match product.repeats {
            Repeats::Harmless => RepeatTerms::Idempotent,
            Repeats::Stamped => {
                RepeatTerms::Stamped { scope: DedupScope::Cell, dedup_window: seconds(product.memory_s) }
            }
            Repeats::OneShot => RepeatTerms::OneShot,
        },
        latency_target: millis(product.agreed_ms),
        latency_target_factor: product.stretch,
        payoff: product.payoff,
        late_payoff: product.late_payoff,
        allowed_kinds: None,
        allowed_zones: None,
    }
}
