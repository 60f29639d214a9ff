//! Whether a scenario makes sense.

use super::{Executors, FaultSpec, Product, Scenario};

/// What is wrong with a scenario, a line for each fault.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    /// Notes a fault of a key, unless its value is fine.
    fn must(&mut self, fine: bool, key: &str, why: &str) {
        if !fine {
            self.0.push(format!("{key}: {why}"));
        }
    }
}

fn positive(figure: f64) -> bool {
    figure.is_finite() && figure > 0.0
}

fn not_negative(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

impl Scenario {
    /// What makes no sense, by key.
    ///
    /// # Errors
    ///
    /// All faults at once, a line each.
    pub fn check(&self) -> Result<(), String> {
        let mut faults = Faults::default();
        self.check_span_and_nodes(&mut faults);
        self.check_executors(&mut faults);
        self.check_products(&mut faults);
        self.check_tenants(&mut faults);
        self.check_load_and_clients(&mut faults);
        self.check_surroundings(&mut faults);
        for (index, trouble) in self.troubles.iter().enumerate() {
            self.check_trouble(index, trouble, &mut faults);
        }
        if faults.0.is_empty() { Ok(()) } else { Err(faults.0.join("\n")) }
    }

    fn check_span_and_nodes(&self, faults: &mut Faults) {
        let span = positive(self.span_s) && self.span_s <= 86_400.0;
        faults.must(span, "span_s", "must be over 0, and a day at most");
        faults.must(self.zones > 0, "zones", "at least one");
        let nodes = &self.nodes;
        faults.must(nodes.count > 0, "nodes.count", "at least one");
        faults.must(nodes.sockets >= 64, "nodes.sockets", "at least 64");
        faults.must(nodes.memory_mb >= 4, "nodes.memory_mb", "at least 4");
        for (key, figure) in [
            ("nodes.cpu_us", nodes.cpu_us),
            ("nodes.sync_ms", nodes.sync_ms),
            ("nodes.starts.connects_per_s", nodes.starts.connects_per_s),
            ("nodes.starts.lists_per_s", nodes.starts.lists_per_s),
            ("nodes.back_after_s", nodes.back_after_s),
        ] {
            faults.must(not_negative(figure), key, "must not be under 0");
        }
    }

    fn check_executors(&self, faults: &mut Faults) {
        let count: u32 = self.executors.iter().map(|e| e.count).sum();
        faults.must(count > 0, "executors", "no executor");
        for (index, executors) in self.executors.iter().enumerate() {
            executors.check(index, faults);
        }
    }

    fn check_products(&self, faults: &mut Faults) {
        faults.must((1..=200).contains(&self.products.len()), "products", "from 1 to 200");
        for (index, product) in self.products.iter().enumerate() {
            product.check(index, faults);
        }
        faults.must(self.products.iter().any(|p| p.share > 0.0), "products", "no share is over 0");
    }

    fn check_tenants(&self, faults: &mut Faults) {
        let sends = self.tenants.iter().any(|t| t.share * t.usage > 0.0);
        faults.must(sends, "tenants", "nobody sends anything");
        for (index, tenant) in self.tenants.iter().enumerate() {
            let fine = not_negative(tenant.share) && not_negative(tenant.usage);
            faults.must(fine, &format!("tenants[{index}]"), "must not be under 0");
        }
    }

    fn check_load_and_clients(&self, faults: &mut Faults) {
        let (load, clients) = (&self.load, &self.clients);
        let some = positive(load.of_capacity) || positive(load.per_s) || load.closed > 0;
        faults.must(some, "load", "empty: one of of_capacity, per_s and closed must be over 0");
        faults.must((0.0..=1.0).contains(&load.swing), "load.swing", "must be from 0 to 1");
        faults.must(positive(load.period_s), "load.period_s", "must be over 0");
        let steps = load.steps.iter().all(|s| not_negative(s.times));
        faults.must(steps, "load.steps", "must not be under 0");
        faults.must((0.0..=1.0).contains(&clients.heed_retry_after), "clients.heed", "must be from 0 to 1");
        faults.must((0.0..=1.0).contains(&clients.leave), "clients.leave", "must be from 0 to 1");
        faults.must(not_negative(clients.wait_ms), "clients.wait_ms", "must not be under 0");
    }

    fn check_surroundings(&self, faults: &mut Faults) {
        let network = &self.network;
        let network = [network.same_ms, network.cross_ms, network.client_ms, network.jitter];
        faults.must(network.into_iter().all(not_negative), "network", "must not be under 0");
        let lines = positive(self.discovery.lines_per_s);
        faults.must(lines, "discovery.lines_per_s", "must be over 0");
        faults.must(positive(self.limits.connect_ms), "limits.connect_ms", "must be over 0");
        faults.must(self.limits.max_executions > 0, "limits.max_executions", "at least one");
        faults.must(positive(self.rules.overload_window_ms), "rules.fall_window_ms", "must be over 0");
        faults.must(self.rules.overload_factor >= 1.0, "rules.fall_multiple", "must not be under 1");
    }

    fn check_trouble(&self, index: usize, trouble: &FaultSpec, faults: &mut Faults) {
        let key = |k: &str| format!("troubles[{index}].{k}");
        faults.must(not_negative(trouble.at_s), &key("at_s"), "must not be under 0");
        faults.must(not_negative(trouble.for_s), &key("for_s"), "must not be under 0");
        let part = trouble.part > 0.0 && trouble.part <= 8.0;
        faults.must(part, &key("part"), "must be over 0, and 8 at most");
        faults.must(not_negative(trouble.size), &key("size"), "must not be under 0");
        let zone = trouble.zone.is_none_or(|zone| zone < self.zones);
        faults.must(zone, &key("zone"), "no such zone");
    }
}

impl Executors {
    fn check(&self, index: usize, faults: &mut Faults) {
        let key = |k: &str| format!("executors[{index}].{k}");
        faults.must(positive(self.cores), &key("cores"), "must be over 0");
        faults.must(positive(self.speed), &key("speed"), "must be over 0");
        let spread = (0.0..1.0).contains(&self.speed_spread);
        faults.must(spread, &key("speed_spread"), "must be from 0 to under 1");
        faults.must((1..=65_536).contains(&self.slots), &key("slots"), "must be from 1 to 65,536");
        faults.must(self.connections > 0, &key("connections"), "at least one");
        faults.must(self.group > 0, &key("group"), "at least one");
        let cold_from = self.cold_from > 0.0 && self.cold_from <= 1.0;
        faults.must(cold_from, &key("cold_from"), "must be over 0, and 1 at most");
        let error_rate = (0.0..=1.0).contains(&self.error_rate);
        faults.must(error_rate, &key("error_rate"), "must be from 0 to 1");
        for (name, figure) in
            [("cold_s", self.cold_s), ("handshake_ms", self.handshake_ms), ("probe_ms", self.probe_ms)]
        {
            faults.must(not_negative(figure), &key(name), "must not be under 0");
        }
        faults.must(positive(self.idle_s), &key("idle_s"), "must be over 0");
    }
}

impl Product {
    fn check(&self, index: usize, faults: &mut Faults) {
        let key = |k: &str| format!("products[{index}].{k}");
        faults.must(not_negative(self.share), &key("share"), "must not be under 0");
        faults.must(positive(self.work_ms), &key("work_ms"), "must be over 0");
        faults.must(not_negative(self.cv), &key("cv"), "must not be under 0");
        faults.must(positive(self.slots), &key("slots"), "must be over 0");
        faults.must(positive(self.latency_target_ms), &key("agreed_ms"), "must be over 0");
        let deadline = self.deadline_ms >= self.latency_target_ms;
        faults.must(deadline, &key("cut_off_ms"), "must not be under the agreed time");
        faults.must(positive(self.payoff), &key("payoff"), "must be over 0");
        let late_payoff = not_negative(self.late_payoff) && self.late_payoff <= 1.0;
        faults.must(late_payoff, &key("late_payoff"), "must be from 0 to 1");
    }
}
