//! Searches random scenarios for violated rules and for large losses against another policy, and shrinks what it
//! finds to a smaller scenario that still shows it.

use linestack_world::{Executors, FaultSpec, Product, Rule, Scenario, Step, Tenant};
use rayon::prelude::*;
use toml::{Table, Value};

use crate::generator::small_scenario;
use crate::policies::Policy;
use crate::runs::{progress_bar, run_scenario};

/// A smaller loss of score against another policy is not a finding.
const MIN_LOSS: f64 = 0.05;
/// The part of the original loss that a shrunk scenario must still show.
const SHRUNK_LOSS_SHARE: f64 = 0.8;

/// The property of a scenario for which it is reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Criterion {
    /// The production policy violates the rule.
    Violation(Rule),
    /// The production policy scores at least `min_loss` less than the policy `against`.
    Loss { against: Policy, min_loss: f64 },
}

impl Criterion {
    /// Runs the scenario and returns whether it meets the criterion. An invalid scenario does not.
    #[must_use]
    pub fn is_met_by(self, scenario: &Scenario) -> bool {
        if scenario.validate().is_err() {
            return false;
        }
        match self {
            Self::Violation(rule) => {
                run_scenario(scenario, Policy::Linestack).outcome.rules().contains(&rule)
            }
            Self::Loss { against, min_loss } => {
                let ours = run_scenario(scenario, Policy::Linestack);
                let theirs = run_scenario(scenario, against);
                // A score that was reached by violating rules is no reference.
                theirs.outcome.broken == 0 && theirs.score - ours.score >= min_loss
            }
        }
    }
}

/// A scenario and the criterion that it meets.
#[derive(Debug)]
pub struct Finding {
    pub scenario: Scenario,
    pub criterion: Criterion,
}

/// The result of a search.
#[derive(Debug)]
pub struct SearchResult {
    /// The number of scenarios in which the production policy violated a rule.
    pub violating: u64,
    pub findings: Vec<Finding>,
}

/// One scenario of a search.
struct Candidate {
    seed: u64,
    violated: Vec<Rule>,
    /// The score of the other policy minus that of the production policy.
    loss: f64,
}

/// Runs the generated scenarios of `count` seeds from `from` on. The findings are, for each violated rule, the first
/// scenario that violates it, and the `most` largest losses against the other policy, if one is given.
#[must_use]
pub fn search(from: u64, count: u64, against: Option<Policy>, most: usize, quiet: bool) -> SearchResult {
    let bar = progress_bar(count, quiet);
    let candidates: Vec<Candidate> = (from..from + count)
        .into_par_iter()
        .map(|seed| {
            let scenario = small_scenario(seed);
            let ours = run_scenario(&scenario, Policy::Linestack);
            let loss = against.map_or(0.0, |other| {
                let theirs = run_scenario(&scenario, other);
                if theirs.outcome.broken > 0 { 0.0 } else { theirs.score - ours.score }
            });
            bar.inc(1);
            Candidate { seed, violated: ours.outcome.rules(), loss }
        })
        .collect();
    bar.finish_and_clear();
    let violating = candidates.iter().filter(|c| !c.violated.is_empty()).count() as u64;
    let mut findings: Vec<Finding> = Vec::new();
    for candidate in &candidates {
        for rule in &candidate.violated {
            let criterion = Criterion::Violation(*rule);
            if !findings.iter().any(|f| f.criterion == criterion) {
                findings.push(Finding { scenario: small_scenario(candidate.seed), criterion });
            }
        }
    }
    if let Some(against) = against {
        let mut losses: Vec<&Candidate> = candidates.iter().filter(|c| c.loss > MIN_LOSS).collect();
        losses.sort_by(|a, b| b.loss.total_cmp(&a.loss));
        for Candidate { seed, loss, .. } in losses.into_iter().take(most) {
            let criterion = Criterion::Loss { against, min_loss: loss * SHRUNK_LOSS_SHARE };
            findings.push(Finding { scenario: small_scenario(*seed), criterion });
        }
    }
    SearchResult { violating, findings }
}

/// Returns variants of the scenario that are smaller or have fewer settings, roughly the largest reductions first.
fn simplifications(s: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut t = s.clone();
        change(&mut t);
        if t != *s {
            all.push(t);
        }
    };
    let default = Scenario::default();
    for i in 0..s.faults.len() {
        add(&|t| {
            t.faults.remove(i);
        });
    }
    add(&|t| t.span_s = (t.span_s / 2.0).ceil());
    add(&|t| t.span_s = (t.span_s - 1.0).max(1.0));
    add(&|t| t.nodes.count = t.nodes.count.div_ceil(2));
    add(&|t| t.nodes.count = (t.nodes.count - 1).max(1));
    for i in 0..s.executors.len() {
        if s.executors.len() > 1 {
            add(&|t| drop(t.executors.remove(i)));
        }
        add(&|t| t.executors[i].count = t.executors[i].count.div_ceil(2));
        add(&|t| t.executors[i].count = (t.executors[i].count - 1).max(1));
        let e = Executors::default();
        add(&|t| {
            let (kind, count, slots) = (e.kind.clone(), t.executors[i].count, t.executors[i].slots);
            t.executors[i] = Executors { kind, count, slots, cores: f64::from(slots), ..e.clone() };
        });
        add(&|t| t.executors[i].idle_s = e.idle_s);
        add(&|t| t.executors[i].connections = e.connections);
        add(&|t| t.executors[i].error_rate = 0.0);
        add(&|t| t.executors[i].speed = 1.0);
        add(&|t| t.executors[i].speed_spread = 0.0);
    }
    for i in 0..s.products.len() {
        if s.products.len() > 1 {
            add(&|t| drop(t.products.remove(i)));
        }
        let p = Product::default();
        add(&|t| {
            t.products[i] = Product { name: p.name.clone(), repeats: t.products[i].repeats, ..p.clone() };
        });
        add(&|t| t.products[i].cv = 0.0);
    }
    if s.tenants.len() > 1 {
        add(&|t| t.tenants.truncate(1));
    }
    add(&|t| t.tenants.iter_mut().for_each(|t| t.usage = 1.0));
    add(&|t| t.zones = 1);
    add(&|t| t.zones = (t.zones - 1).max(1));
    add(&|t| t.reports = default.reports.clone());
    add(&|t| t.network = default.network.clone());
    add(&|t| t.discovery = default.discovery.clone());
    add(&|t| t.clients = default.clients.clone());
    add(&|t| t.clients.retries = 0);
    add(&|t| t.limits = default.limits.clone());
    add(&|t| t.load.shape = default.load.shape);
    add(&|t| t.nodes = linestack_world::Nodes { count: t.nodes.count, ..default.nodes.clone() });
    add(&|t| t.reports_start = false);
    add(&|t| t.progress_s = default.progress_s);
    for i in 0..s.faults.len() {
        add(&|t| t.faults[i].for_s = (t.faults[i].for_s / 2.0).max(0.1));
        add(&|t| t.faults[i].at_s = t.faults[i].at_s.floor());
    }
    all
}

/// Shrinks the scenario step by step, as long as each step still meets the criterion. Tries at most `tries`
/// variants.
#[must_use]
pub fn shrink(finding: &Finding, tries: usize) -> Scenario {
    let (mut current, mut tries_left) = (finding.scenario.clone(), tries);
    loop {
        let variants = simplifications(&current);
        let variants = &variants[..variants.len().min(tries_left)];
        tries_left -= variants.len();
        // In parallel, but the first match in order is taken: the result does not depend on the number of cores.
        match variants.par_iter().find_first(|s| finding.criterion.is_met_by(s)) {
            Some(smaller) => current = smaller.clone(),
            None => return current,
        }
        if tries_left == 0 {
            return current;
        }
    }
}

/// Returns the scenario as the text of a TOML file, without the keys that have their default value.
#[must_use]
pub fn to_toml(scenario: &Scenario) -> String {
    let Ok(Value::Table(mut table)) = Value::try_from(scenario) else { return String::new() };
    let as_table = |v: Result<Value, toml::ser::Error>| match v {
        Ok(Value::Table(t)) => t,
        _ => Table::new(),
    };
    // The entries of an array stay even if nothing is left in them: without them the array would be shorter.
    let strip_entries = |t: &mut Table, name: &str, defaults: Table| {
        if let Some(Value::Array(entries)) = t.get_mut(name) {
            for entry in entries {
                if let Value::Table(entry) = entry {
                    remove_defaults(entry, &defaults);
                }
            }
        }
    };
    strip_entries(&mut table, "executors", as_table(Value::try_from(Executors::default())));
    strip_entries(&mut table, "products", as_table(Value::try_from(Product::default())));
    strip_entries(&mut table, "tenants", as_table(Value::try_from(Tenant::default())));
    strip_entries(&mut table, "troubles", as_table(Value::try_from(FaultSpec::default())));
    if let Some(Value::Table(load)) = table.get_mut("load") {
        strip_entries(load, "steps", as_table(Value::try_from(Step::default())));
    }
    remove_defaults(&mut table, &as_table(Value::try_from(Scenario::default())));
    toml::to_string(&table).unwrap_or_default()
}

/// Removes the keys whose values are the same in `defaults`, and tables that are empty afterwards.
fn remove_defaults(table: &mut Table, defaults: &Table) {
    let keys: Vec<String> = table.keys().cloned().collect();
    for key in keys {
        let Some(default) = defaults.get(&key) else { continue };
        if let (Some(Value::Table(inner)), Value::Table(default)) = (table.get_mut(&key), default) {
            remove_defaults(inner, default);
            if inner.is_empty() {
                table.remove(&key);
            }
        } else if table.get(&key) == Some(default) {
            table.remove(&key);
        }
    }
}
