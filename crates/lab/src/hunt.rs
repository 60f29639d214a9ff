//! Searches worlds for a broken rule, or for the largest loss against another policy, and cuts what it finds
//! down to the smallest scenario that still shows it.

use linestack_world::{Executors, FaultSpec, Product, Rule, Scenario, Step, Tenant};
use rayon::prelude::*;
use toml::{Table, Value};

use crate::draw::small;
use crate::play::{bar, play};
use crate::policies::Policy;

/// What makes a world worth keeping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Prey {
    Broken(Rule),
    /// At least so much less score than the other policy.
    Loss(Policy, f64),
}

impl Prey {
    /// Whether the world shows it.
    #[must_use]
    pub fn shown(self, s: &Scenario) -> bool {
        if s.validate().is_err() {
            return false;
        }
        match self {
            Self::Broken(rule) => play(s, Policy::Linestack).outcome.rules().contains(&rule),
            Self::Loss(other, least) => {
                let ours = play(s, Policy::Linestack);
                let theirs = play(s, other);
                // What breaks rules is no yardstick.
                theirs.outcome.broken == 0 && theirs.score - ours.score >= least
            }
        }
    }
}

#[derive(Debug)]
pub struct Found {
    pub scenario: Scenario,
    pub prey: Prey,
}

/// Plays the worlds of these seeds. Every broken rule is a find, the first world of each rule; against another
/// policy, the `most` largest losses over 0.05 too.
#[must_use]
pub fn search(from: u64, count: u64, against: Option<Policy>, most: usize, quiet: bool) -> (u64, Vec<Found>) {
    let bar = bar(count, quiet);
    let played: Vec<(u64, Vec<Rule>, f64)> = (from..from + count)
        .into_par_iter()
        .map(|seed| {
            let s = small(seed);
            let ours = play(&s, Policy::Linestack);
            let loss = against.map_or(0.0, |other| {
                let theirs = play(&s, other);
                if theirs.outcome.broken > 0 { 0.0 } else { theirs.score - ours.score }
            });
            bar.inc(1);
            (seed, ours.outcome.rules(), loss)
        })
        .collect();
    bar.finish_and_clear();
    let broken = played.iter().filter(|(_, rules, _)| !rules.is_empty()).count() as u64;
    let mut found: Vec<Found> = Vec::new();
    for (seed, rules, _) in &played {
        for rule in rules {
            let prey = Prey::Broken(*rule);
            if !found.iter().any(|f| f.prey == prey) {
                found.push(Found { scenario: small(*seed), prey });
            }
        }
    }
    if let Some(other) = against {
        let mut losses: Vec<&(u64, Vec<Rule>, f64)> = played.iter().filter(|p| p.2 > 0.05).collect();
        losses.sort_by(|a, b| b.2.total_cmp(&a.2));
        for (seed, _, loss) in losses.into_iter().take(most) {
            found.push(Found { scenario: small(*seed), prey: Prey::Loss(other, loss * 0.8) });
        }
    }
    (broken, found)
}

/// Ways to make a scenario smaller or plainer, the boldest first.
fn simpler(s: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut t = s.clone();
        change(&mut t);
        if t != *s {
            all.push(t);
        }
    };
    let plain = Scenario::default();
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
    add(&|t| t.reports = plain.reports.clone());
    add(&|t| t.network = plain.network.clone());
    add(&|t| t.discovery = plain.discovery.clone());
    add(&|t| t.clients = plain.clients.clone());
    add(&|t| t.clients.retries = 0);
    add(&|t| t.limits = plain.limits.clone());
    add(&|t| t.load.shape = plain.load.shape);
    add(&|t| t.nodes = linestack_world::Nodes { count: t.nodes.count, ..plain.nodes.clone() });
    add(&|t| t.reports_start = false);
    add(&|t| t.progress_s = plain.progress_s);
    for i in 0..s.faults.len() {
        add(&|t| t.faults[i].for_s = (t.faults[i].for_s / 2.0).max(0.1));
        add(&|t| t.faults[i].at_s = t.faults[i].at_s.floor());
    }
    all
}

/// The smallest scenario reached by steps of which each still shows the prey; `tries` bounds the plays.
#[must_use]
pub fn shrink(found: &Found, tries: usize) -> Scenario {
    let (mut present, mut left) = (found.scenario.clone(), tries);
    loop {
        let steps = simpler(&present);
        let steps = &steps[..steps.len().min(left)];
        left -= steps.len();
        // All at once, and the first of them counts: the same outcome on any number of cores.
        match steps.par_iter().find_first(|s| found.prey.shown(s)) {
            Some(smaller) => present = smaller.clone(),
            None => return present,
        }
        if left == 0 {
            return present;
        }
    }
}

/// The scenario as a file, with only what differs from the defaults.
#[must_use]
pub fn to_file(s: &Scenario) -> String {
    let Ok(Value::Table(mut table)) = Value::try_from(s) else { return String::new() };
    let plain = |v: Result<Value, toml::ser::Error>| match v {
        Ok(Value::Table(t)) => t,
        _ => Table::new(),
    };
    // Never all of it: a table that names nothing would not be there at all.
    let keep = |t: &mut Table, name: &str, rows: Table| {
        if let Some(Value::Array(all)) = t.get_mut(name) {
            for row in all {
                if let Value::Table(row) = row {
                    without(row, &rows);
                }
            }
        }
    };
    keep(&mut table, "executors", plain(Value::try_from(Executors::default())));
    keep(&mut table, "products", plain(Value::try_from(Product::default())));
    keep(&mut table, "tenants", plain(Value::try_from(Tenant::default())));
    keep(&mut table, "troubles", plain(Value::try_from(FaultSpec::default())));
    if let Some(Value::Table(load)) = table.get_mut("load") {
        keep(load, "steps", plain(Value::try_from(Step::default())));
    }
    without(&mut table, &plain(Value::try_from(Scenario::default())));
    toml::to_string(&table).unwrap_or_default()
}

/// Takes out what is the same in `plain`.
fn without(table: &mut Table, plain: &Table) {
    let keys: Vec<String> = table.keys().cloned().collect();
    for key in keys {
        let Some(usual) = plain.get(&key) else { continue };
        if let (Some(Value::Table(inner)), Value::Table(usual)) = (table.get_mut(&key), usual) {
            without(inner, usual);
            if inner.is_empty() {
                table.remove(&key);
            }
        } else if table.get(&key) == Some(usual) {
            table.remove(&key);
        }
    }
}
