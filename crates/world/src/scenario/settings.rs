//! The settings with which the nodes of a scenario are started.

use linestack_dispatch::types::{
    DedupScope, DispatchConfig, Product as DispatchProduct, RepeatPolicy as DispatchRepeatPolicy,
};
use linestack_settings::{Names, ReportLayout, Settings};

use super::{Product, RepeatPolicy, Scenario, millis_to_nanos, seconds_to_nanos};

/// If nodes must poll discovery for changes, they do so at least every this many seconds.
const LIST_REFRESH_LIMIT_S: f64 = 10.0;

impl Scenario {
    /// Returns the settings of a node in a zone. `seed` is the seed of its dispatch decisions.
    #[must_use]
    pub fn settings(&self, zone: u16, seed: u64) -> Settings {
        let deadlines = self.products.iter().map(|p| p.deadline_ms);
        Settings {
            dispatch: self.dispatch_config(zone, seed),
            layout: ReportLayout {
                free_slots: Some(0),
                free_memory: None,
                queued_jobs: Some(1),
                active_jobs: Some(2),
            },
            names: self.names(),
            longest_deadline: millis_to_nanos(deadlines.fold(0.0, f64::max)),
            may_message_peers: false,
        }
    }

    fn dispatch_config(&self, zone: u16, seed: u64) -> DispatchConfig {
        let (limits, rules, executors) = (&self.limits, &self.rules, &self.executors);
        let cold_capacity_share = executors.iter().map(|e| e.cold_capacity_share).fold(1.0, f64::min);
        let cold_s = executors.iter().map(|e| e.cold_s).fold(0.0, f64::max);
        let idle_s = executors.iter().map(|e| e.idle_s).fold(f64::INFINITY, f64::min);
        let unless_zero = |ms: f64| (ms > 0.0).then(|| millis_to_nanos(ms));
        DispatchConfig {
            seed,
            nodes: self.nodes.count,
            zone,
            products: self.products.iter().map(dispatch_product).collect(),
            quotas: self.quotas(),
            excess_payoff: limits.excess_payoff,
            probe_cost: limits.probe_cost,
            zone_crossing_cost: if self.zones > 1 { limits.zone_crossing_cost } else { 0.0 },
            connection_cost: 0.0,
            max_executions: limits.max_executions,
            may_duplicate: limits.may_duplicate,
            may_probe: limits.may_probe,
            may_cancel: limits.may_cancel,
            retry_after: unless_zero(limits.max_retry_after_ms),
            connect_timeout: millis_to_nanos(limits.connect_ms),
            idle_timeout: seconds_to_nanos(idle_s),
            deadline_margin: millis_to_nanos(limits.deadline_margin_ms),
            cold_capacity_share,
            slow_start_duration: seconds_to_nanos(cold_s),
            overload_factor: rules.overload_factor,
            overload_window: millis_to_nanos(rules.overload_window_ms),
            list_refresh_limit: self.discovery.polled.then(|| seconds_to_nanos(LIST_REFRESH_LIMIT_S)),
            progress_interval: unless_zero(self.progress_s * 1e3),
            reports_start: self.reports_start,
            weights_are_sizes: false,
            counts_memory: false,
        }
    }

    /// Returns the quota of each tenant, in submissions per second.
    fn quotas(&self) -> Vec<f64> {
        let total_share: f64 = self.tenants.iter().map(|t| t.share).sum();
        self.tenants.iter().map(|t| self.rate() * t.share / total_share.max(1e-9)).collect()
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

fn dispatch_product(product: &Product) -> DispatchProduct {
    DispatchProduct {
        repeat_policy: match product.repeats {
            RepeatPolicy::Idempotent => DispatchRepeatPolicy::Idempotent,
            RepeatPolicy::Stamped => DispatchRepeatPolicy::Stamped {
                scope: DedupScope::Cell,
                dedup_window: seconds_to_nanos(product.dedup_window_s),
            },
            RepeatPolicy::OneShot => DispatchRepeatPolicy::OneShot,
        },
        latency_target: millis_to_nanos(product.latency_target_ms),
        latency_target_factor: product.latency_target_factor,
        payoff: product.payoff,
        late_payoff: product.late_payoff,
        allowed_kinds: None,
        allowed_zones: None,
    }
}
