//! Validation of scenarios.

use super::{Executors, FaultSpec, Product, Scenario};

/// The errors in a scenario, one line each.
#[derive(Default)]
struct ScenarioErrors(Vec<String>);

impl ScenarioErrors {
    /// Adds an error for a key, unless its value is valid.
    fn require(&mut self, valid: bool, key: &str, reason: &str) {
        if !valid {
            self.0.push(format!("{key}: {reason}"));
        }
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Scenario {
    /// Validates the scenario.
    ///
    /// # Errors
    ///
    /// Returns all errors at once, one line each, starting with the key.
    pub fn validate(&self) -> Result<(), String> {
        let mut errors = ScenarioErrors::default();
        self.validate_span_and_nodes(&mut errors);
        self.validate_executors(&mut errors);
        self.validate_products(&mut errors);
        self.validate_tenants(&mut errors);
        self.validate_load_and_clients(&mut errors);
        self.validate_environment(&mut errors);
        for (index, fault) in self.faults.iter().enumerate() {
            self.validate_fault(index, fault, &mut errors);
        }
        if errors.0.is_empty() { Ok(()) } else { Err(errors.0.join("\n")) }
    }

    fn validate_span_and_nodes(&self, errors: &mut ScenarioErrors) {
        let span = is_positive(self.span_s) && self.span_s <= 86_400.0;
        errors.require(span, "span_s", "must be above 0 and at most a day (86400)");
        errors.require(self.zones > 0, "zones", "must be at least 1");
        let nodes = &self.nodes;
        errors.require(nodes.count > 0, "nodes.count", "must be at least 1");
        errors.require(nodes.sockets >= 64, "nodes.sockets", "must be at least 64");
        errors.require(nodes.memory_mb >= 4, "nodes.memory_mb", "must be at least 4");
        for (key, value) in [
            ("nodes.cpu_us", nodes.cpu_us),
            ("nodes.sync_ms", nodes.sync_ms),
            ("nodes.starts.connects_per_s", nodes.starts.connects_per_s),
            ("nodes.starts.lists_per_s", nodes.starts.lists_per_s),
            ("nodes.back_after_s", nodes.back_after_s),
        ] {
            errors.require(is_not_negative(value), key, "must not be negative");
        }
    }

    fn validate_executors(&self, errors: &mut ScenarioErrors) {
        let count: u32 = self.executors.iter().map(|e| e.count).sum();
        errors.require(count > 0, "executors", "no executor");
        for (index, executors) in self.executors.iter().enumerate() {
            executors.validate(index, errors);
        }
    }

    fn validate_products(&self, errors: &mut ScenarioErrors) {
        errors.require((1..=200).contains(&self.products.len()), "products", "must have 1 to 200 entries");
        for (index, product) in self.products.iter().enumerate() {
            product.validate(index, errors);
        }
        errors.require(
            self.products.iter().any(|p| p.share > 0.0),
            "products",
            "at least one share must be above 0",
        );
    }

    fn validate_tenants(&self, errors: &mut ScenarioErrors) {
        let sends = self.tenants.iter().any(|t| t.share * t.usage > 0.0);
        errors.require(sends, "tenants", "at least one tenant must have a share and a usage above 0");
        for (index, tenant) in self.tenants.iter().enumerate() {
            let valid = is_not_negative(tenant.share) && is_not_negative(tenant.usage);
            errors.require(valid, &format!("tenants[{index}]"), "must not be negative");
        }
    }

    fn validate_load_and_clients(&self, errors: &mut ScenarioErrors) {
        let (load, clients) = (&self.load, &self.clients);
        let some = is_positive(load.of_capacity) || is_positive(load.per_s) || load.closed > 0;
        errors.require(some, "load", "empty: one of of_capacity, per_s and closed must be above 0");
        errors.require((0.0..=1.0).contains(&load.swing), "load.swing", "must be from 0 to 1");
        errors.require(is_positive(load.period_s), "load.period_s", "must be above 0");
        let steps = load.steps.iter().all(|s| is_not_negative(s.factor));
        errors.require(steps, "load.steps", "must not be negative");
        errors.require(
            (0.0..=1.0).contains(&clients.heed_retry_after),
            "clients.heed",
            "must be from 0 to 1",
        );
        errors.require((0.0..=1.0).contains(&clients.leave), "clients.leave", "must be from 0 to 1");
        errors.require(is_not_negative(clients.wait_ms), "clients.wait_ms", "must not be negative");
    }

    fn validate_environment(&self, errors: &mut ScenarioErrors) {
        let network = &self.network;
        let network = [network.same_ms, network.cross_ms, network.client_ms, network.jitter];
        errors.require(network.into_iter().all(is_not_negative), "network", "must not be negative");
        let lines = is_positive(self.discovery.lines_per_s);
        errors.require(lines, "discovery.lines_per_s", "must be above 0");
        errors.require(is_positive(self.limits.connect_ms), "limits.connect_ms", "must be above 0");
        errors.require(self.limits.max_executions > 0, "limits.max_executions", "must be at least 1");
        errors.require(is_positive(self.rules.overload_window_ms), "rules.fall_window_ms", "must be above 0");
        errors.require(self.rules.overload_factor >= 1.0, "rules.fall_multiple", "must be at least 1");
    }

    fn validate_fault(&self, index: usize, fault: &FaultSpec, errors: &mut ScenarioErrors) {
        let key = |k: &str| format!("troubles[{index}].{k}");
        errors.require(is_not_negative(fault.at_s), &key("at_s"), "must not be negative");
        errors.require(is_not_negative(fault.for_s), &key("for_s"), "must not be negative");
        let part = fault.part > 0.0 && fault.part <= 8.0;
        errors.require(part, &key("part"), "must be above 0 and at most 8");
        errors.require(is_not_negative(fault.size), &key("size"), "must not be negative");
        let zone = fault.zone.is_none_or(|zone| zone < self.zones);
        errors.require(zone, &key("zone"), "no such zone");
    }
}

impl Executors {
    fn validate(&self, index: usize, errors: &mut ScenarioErrors) {
        let key = |k: &str| format!("executors[{index}].{k}");
        errors.require(is_positive(self.cores), &key("cores"), "must be above 0");
        errors.require(is_positive(self.speed), &key("speed"), "must be above 0");
        let spread = (0.0..1.0).contains(&self.speed_spread);
        errors.require(spread, &key("speed_spread"), "must be at least 0 and below 1");
        errors.require((1..=65_536).contains(&self.slots), &key("slots"), "must be from 1 to 65,536");
        errors.require(self.connections > 0, &key("connections"), "must be at least 1");
        errors.require(self.group > 0, &key("group"), "must be at least 1");
        let cold_share = self.cold_capacity_share > 0.0 && self.cold_capacity_share <= 1.0;
        errors.require(cold_share, &key("cold_from"), "must be above 0 and at most 1");
        let error_rate = (0.0..=1.0).contains(&self.error_rate);
        errors.require(error_rate, &key("error_rate"), "must be from 0 to 1");
        for (name, value) in
            [("cold_s", self.cold_s), ("handshake_ms", self.handshake_ms), ("probe_ms", self.probe_ms)]
        {
            errors.require(is_not_negative(value), &key(name), "must not be negative");
        }
        errors.require(is_positive(self.idle_s), &key("idle_s"), "must be above 0");
    }
}

impl Product {
    fn validate(&self, index: usize, errors: &mut ScenarioErrors) {
        let key = |k: &str| format!("products[{index}].{k}");
        errors.require(is_not_negative(self.share), &key("share"), "must not be negative");
        errors.require(is_positive(self.work_ms), &key("work_ms"), "must be above 0");
        errors.require(is_not_negative(self.cv), &key("cv"), "must not be negative");
        errors.require(is_positive(self.slots), &key("slots"), "must be above 0");
        errors.require(is_positive(self.latency_target_ms), &key("agreed_ms"), "must be above 0");
        let deadline = self.deadline_ms >= self.latency_target_ms;
        errors.require(deadline, &key("cut_off_ms"), "must not be below agreed_ms");
        errors.require(is_positive(self.payoff), &key("payoff"), "must be above 0");
        let late_payoff = is_not_negative(self.late_payoff) && self.late_payoff <= 1.0;
        errors.require(late_payoff, &key("late_payoff"), "must be from 0 to 1");
    }
}
