//! The load: when submissions are made, and what they ask for.

use rand::Rng as _;
use rand_distr::{Distribution as _, LogNormal};

use super::clients::ClientRequest;
use super::event::Event;
use super::{SECOND, World};
use crate::scenario::{Product, Shape, seconds};

impl World<'_> {
    /// An open-loop client may come.
    ///
    /// Arrivals are a Poisson process, made by thinning: candidates come at the peak rate, and one is kept
    /// with the probability that the load of its moment has of the peak.
    pub(super) fn client_arrives(&mut self) {
        if self.now >= seconds(self.scenario.span_s) {
            return;
        }
        let peak = self.peak_load_factor();
        let rate = self.offered_rate() * peak;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule_after(seconds(gap), Event::ClientArrives);
        if self.rng.random::<f64>() * peak < self.load_factor() {
            self.make_request(None);
        }
    }

    /// A closed-loop client makes its next submission, until the span is over.
    pub(super) fn closed_client_submits(&mut self, client: usize) {
        if self.now < seconds(self.scenario.span_s) {
            self.make_request(Some(client));
        }
    }

    /// How many times the usual load there is now, by the scenario's steps and shape.
    fn load_factor(&self) -> f64 {
        let now_s = self.now as f64 / 1e9;
        let load = &self.scenario.load;
        let step = load.steps.iter().rev().find(|s| s.at_s <= now_s).map_or(1.0, |s| s.factor);
        let periods = now_s / load.period_s;
        let swing = match load.shape {
            Shape::Steady => 1.0,
            Shape::Bursty if periods.fract() < 0.5 => 1.0 + load.swing,
            Shape::Bursty => 1.0 - load.swing,
            Shape::Wave => 1.0 + load.swing * (periods * std::f64::consts::TAU).sin(),
        };
        step * swing
    }

    /// An upper bound of [`Self::load_factor`] over the whole span.
    fn peak_load_factor(&self) -> f64 {
        let load = &self.scenario.load;
        load.steps.iter().map(|s| s.factor).fold(1.0, f64::max) * (1.0 + load.swing)
    }

    /// Submissions a second at the usual load, with what tenants send beyond their shares.
    fn offered_rate(&self) -> f64 {
        let tenants = &self.scenario.tenants;
        let shares: f64 = tenants.iter().map(|t| t.share).sum();
        let sent: f64 = tenants.iter().map(|t| t.share * t.usage).sum();
        self.scenario.rate() * sent / shares.max(1e-9)
    }

    /// Makes a submission of a product, tenant, size and zone by chance, and its first attempt.
    ///
    /// `closed_client` is the closed-loop client that makes it, if it is one.
    fn make_request(&mut self, closed_client: Option<usize>) {
        let scenario = self.scenario;
        let product = self.draw_weighted(scenario.products.iter().map(|p| p.share));
        let tenant = self.draw_weighted(scenario.tenants.iter().map(|t| t.share * t.usage));
        let work = self.draw_work(&scenario.products[product]);
        let zone = self.rng.random_range(0..scenario.zones);
        let retries_left = scenario.clients.retries;
        let created_at = self.now;
        self.requests.push(ClientRequest {
            product,
            tenant,
            work,
            zone,
            created_at,
            retries_left,
            tries: 0,
            satisfied: false,
            closed_client,
            last_node: None,
            executions_started: 0,
        });
        self.open_requests += 1;
        self.count_request(scenario.products[product].payoff);
        self.start_attempt(self.requests.len() - 1, 0);
    }

    fn count_request(&mut self, payoff: f64) {
        let outcome = &mut self.outcome;
        outcome.submissions += 1;
        outcome.offered_payoff += payoff;
        let second = (self.now / SECOND) as usize;
        if outcome.offered_payoff_by_second.len() <= second {
            outcome.offered_payoff_by_second.resize(second + 1, 0.0);
            outcome.earned_payoff_by_second.resize(second + 1, 0.0);
        }
        outcome.offered_payoff_by_second[second] += payoff;
    }

    /// Seconds of work of one job: log-normal with the product's mean and coefficient of variation.
    fn draw_work(&mut self, product: &Product) -> f64 {
        let mean = product.work_ms / 1e3;
        if product.cv <= 0.0 {
            return mean;
        }
        let variance = (1.0 + product.cv * product.cv).ln();
        let distribution = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt());
        distribution.map_or(mean, |d| d.sample(&mut self.rng))
    }

    /// An index, drawn with a probability in proportion to its weight.
    fn draw_weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut draw = self.rng.random::<f64>() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (index, weight) in weights.enumerate() {
            draw -= weight;
            if draw < 0.0 {
                return index;
            }
            last = index;
        }
        last
    }
}
