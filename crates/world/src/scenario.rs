//! What a world is made of. Every figure has a default, so that a scenario names only what it is about.

use linestack_core::Nanos;
use linestack_dispatch::types::{Group, Product as Terms, Repeats as Kind, StandingOrders};
use linestack_settings::{Names, ReportLayout, Settings};
use serde::{Deserialize, Serialize};

/// Nanoseconds of a span in seconds.
#[must_use]
pub fn seconds(s: f64) -> Nanos {
    (s * 1e9).round().max(0.0) as Nanos
}

pub(crate) fn millis(ms: f64) -> Nanos {
    seconds(ms / 1e3)
}

macro_rules! table {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $kind:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$fdoc])* pub $field: $kind,)* }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }
    };
}

table! {
    /// A world, from one seed.
    Scenario {
        name: String = "world".into(),
        seed: u64 = 1,
        /// Simulated seconds in which clients come. After them the world runs until all is answered.
        span_s: f64 = 30.0,
        zones: u16 = 1,
        nodes: Nodes = Nodes::default(),
        executors: Vec<Executors> = vec![Executors::default()],
        reports: Reports = Reports::default(),
        /// Whether executors tell of starts, and how often of progress (0: never).
        tells_start: bool = false,
        progress_s: f64 = 1.0,
        products: Vec<Product> = vec![Product::default()],
        tenants: Vec<Tenant> = vec![Tenant::default()],
        load: Load = Load::default(),
        clients: Clients = Clients::default(),
        network: Network = Network::default(),
        discovery: Discovery = Discovery::default(),
        limits: Limits = Limits::default(),
        rules: Rules = Rules::default(),
        troubles: Vec<Trouble> = Vec::new(),
    }
}

table! {
    Nodes {
        count: u32 = 3,
        sockets: usize = 1024,
        memory_mb: usize = 192,
        /// Processor time that each thing that happens takes of a node.
        cpu_us: f64 = 0.0,
        /// SIGKILL comes so long after SIGTERM, and the node is back so long after it ended.
        kill_after_s: f64 = 3.7,
        back_after_s: f64 = 0.5,
        /// A disk that lasts: what may have run is known after a kill. What a sync takes.
        store: bool = false,
        sync_ms: f64 = 1.0,
        starts: Starts = Starts::default(),
    }
}

table! {
    /// A start in stages, if it is on; rates are the fleet's a second, 0 for no bound.
    Starts {
        on: bool = false,
        connects_per_s: f64 = 0.0,
        lists_per_s: f64 = 0.0,
    }
}

table! {
    /// Executors of one kind.
    Executors {
        kind: String = "plain".into(),
        count: u32 = 8,
        cores: f64 = 4.0,
        speed: f64 = 1.0,
        /// Each one's speed is drawn within this part of it.
        speed_spread: f64 = 0.1,
        slots: u32 = 4,
        /// Jobs that may wait there.
        queue: u32 = 16,
        /// How many of them share the memory of stamps.
        group: u32 = 2,
        /// Capacity right after a start, as a part, and the time until it is whole.
        cold_from: f64 = 0.3,
        cold_s: f64 = 9.0,
        /// Of the capacity, what each connection in use up to the cap takes at most.
        connections: u32 = 512,
        handshake_ms: f64 = 0.5,
        idle_s: f64 = 15.0,
        probe_ms: f64 = 0.05,
        /// Of jobs, those that fail without any trouble.
        error_rate: f64 = 0.0,
        /// Whether running work stops when its connection is closed.
        cancels: bool = true,
    }
}

table! {
    Reports {
        /// None where executors report nothing.
        told: bool = true,
        /// How long a report stands before it is renewed; 0: it is made with each answer.
        period_ms: f64 = 0.0,
        delay_ms: f64 = 0.0,
        noise: f64 = 0.0,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeats {
    Harmless,
    Stamped,
    OneShot,
}

table! {
    Product {
        name: String = "job".into(),
        share: f64 = 1.0,
        work_ms: f64 = 400.0,
        /// Coefficient of variation of the work, which is log-normal; 0: always the same.
        cv: f64 = 0.5,
        slots: f64 = 1.0,
        agreed_ms: f64 = 400.0,
        /// By how many times its own running time the agreed time grows.
        stretch: f64 = 1.25,
        cut_off_ms: f64 = 5000.0,
        payoff: f64 = 1.0,
        late_payoff: f64 = 0.3,
        repeats: Repeats = Repeats::Harmless,
        /// For how long a group drops repeats of a stamped one.
        memory_s: f64 = 7.5,
    }
}

table! {
    Tenant {
        name: String = "tenant".into(),
        share: f64 = 1.0,
        /// How many times its share it sends.
        usage: f64 = 1.0,
    }
}

table! {
    Load {
        /// Of the warm capacity of all executors.
        of_capacity: f64 = 0.6,
        /// Where over 0, these many a second instead.
        per_s: f64 = 0.0,
        /// Where over 0, these many clients, each of which asks again once it is answered.
        closed: u32 = 0,
        think_ms: f64 = 0.0,
        shape: Shape = Shape::Steady,
        swing: f64 = 0.3,
        period_s: f64 = 10.0,
        steps: Vec<Step> = Vec::new(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    Steady,
    /// Between 1 + swing and 1 - swing, by turns.
    Bursty,
    Wave,
}

table! {
    /// From then on the load is so many times the usual.
    Step { at_s: f64 = 0.0, times: f64 = 1.0, }
}

table! {
    Clients {
        retries: u32 = 1,
        backoff: Backoff = Backoff::Fixed,
        wait_ms: f64 = 100.0,
        /// The part of them that heed a come-back time.
        heed: f64 = 1.0,
        /// The part that leave before the cut-off, at a time drawn evenly.
        leave: f64 = 0.0,
        /// How long they go on coming to a node that has died.
        notice_s: f64 = 1.0,
        /// They ask the node again that they asked, which alone knows what it sent.
        same_node: bool = false,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    None,
    Fixed,
    Exponential,
}

table! {
    /// One way, each.
    Network { same_ms: f64 = 0.2, cross_ms: f64 = 0.6, client_ms: f64 = 0.3, jitter: f64 = 0.2, }
}

table! {
    Discovery {
        /// Whether it must be asked for changes, or the node is expected to hold a watch.
        asked: bool = false,
        /// How late it notices a change that a process tells of, and one that it must find out.
        late_s: f64 = 0.5,
        silent_late_s: f64 = 4.0,
        /// Lines that it writes in a second; calls wait in turn and fail after two seconds.
        lines_per_s: f64 = 20_000.0,
    }
}

table! {
    Limits {
        may_probe: bool = true,
        may_cancel: bool = true,
        may_duplicate: bool = true,
        max_executions: u16 = 3,
        /// The longest come-back time that may be named; 0: none is named.
        come_back_ms: f64 = 2000.0,
        connect_ms: f64 = 250.0,
        answer_slack_ms: f64 = 16.0,
        excess_payoff: f64 = 1.0,
        crossing_price: f64 = 0.02,
        probe_price: f64 = 0.002,
    }
}

table! {
    Rules {
        drain_grace_ms: f64 = 500.0,
        fall_multiple: f64 = 2.5,
        fall_window_ms: f64 = 1000.0,
        /// Added to every time limit.
        slack_ms: f64 = 50.0,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Processes die, their connections are reset, and come back cold when it is over.
    Crash,
    /// Machines vanish in silence, and come back cold.
    Vanish,
    /// Work is taken and nothing is answered.
    Hang,
    /// Stands still for `size` seconds, every second and a half on average.
    Pauses,
    /// Runs at `size` of its speed.
    Slow,
    /// Another program takes `size` of the cores, on and off every two seconds.
    Neighbour,
    /// Of what comes, `size` fails at once.
    FastErrors,
    /// One product (the first) fails at once.
    ProductFails,
    /// Of the jobs, `size` are lost without a word.
    Lose,
    /// Of what comes, `size` is turned away unseen.
    Refuse,
    /// Of the answers, `size` make no sense.
    Garbage,
    /// Reports show all slots free.
    Lie,
    /// Reports come `size` seconds late.
    ReportsLate,
    /// Of the sends, `size` see their connection reset: before, under or after the last byte.
    Resets,
    /// No message passes between nodes and these executors; `size` 1: only answers are lost, 2: only sends.
    Cut,
    /// Drain, and leave when it is over.
    Drain,
    /// New ones come, cold: `part` of the fleet.
    Grow,
    /// One after the other drains, leaves and is replaced by a new machine.
    Roll,
    DiscoveryDown,
    /// Changes are told twice, or not at all until the next whole list.
    DiscoveryFlaps,
    NodeKill,
    /// Stopped by SIGTERM, one after the other.
    NodeRoll,
    NodePause,
    /// Of the nodes' time, `size` goes to others.
    NodeSlow,
    /// Silent clients connect to the nodes, `size` a second.
    Flood,
    /// Nodes go on under other terms (no copies, no probes, connections priced), all at once, and back when it
    /// is over.
    Switch,
}

table! {
    Trouble {
        kind: Fault = Fault::Crash,
        at_s: f64 = 5.0,
        for_s: f64 = 10.0,
        /// The part of the executors or nodes that it takes, one at least.
        part: f64 = 0.2,
        size: f64 = 0.5,
        /// Where named, only executors of this zone.
        zone: Option<u16> = None,
    }
}

impl Scenario {
    /// What makes no sense, by key.
    ///
    /// # Errors
    ///
    /// All faults at once, a line each.
    pub fn check(&self) -> Result<(), String> {
        let mut faults = Vec::new();
        let mut must = |fine: bool, key: &str, why: &str| {
            if !fine {
                faults.push(format!("{key}: {why}"));
            }
        };
        let over = |f: f64| f.is_finite() && f > 0.0;
        let least = |f: f64| f.is_finite() && f >= 0.0;
        must(over(self.span_s) && self.span_s <= 86_400.0, "span_s", "must be over 0, and a day at most");
        must(self.zones > 0, "zones", "at least one");
        must(self.nodes.count > 0, "nodes.count", "at least one");
        must(self.nodes.sockets >= 64, "nodes.sockets", "at least 64");
        must(self.nodes.memory_mb >= 4, "nodes.memory_mb", "at least 4");
        must(least(self.nodes.cpu_us), "nodes.cpu_us", "must not be under 0");
        must(least(self.nodes.sync_ms), "nodes.sync_ms", "must not be under 0");
        must(least(self.nodes.starts.connects_per_s), "nodes.starts.connects_per_s", "must not be under 0");
        must(least(self.nodes.starts.lists_per_s), "nodes.starts.lists_per_s", "must not be under 0");
        must(least(self.nodes.back_after_s), "nodes.back_after_s", "must not be under 0");
        must(self.executors.iter().map(|e| e.count).sum::<u32>() > 0, "executors", "no executor");
        for (i, e) in self.executors.iter().enumerate() {
            let key = |k: &str| format!("executors[{i}].{k}");
            must(over(e.cores), &key("cores"), "must be over 0");
            must(over(e.speed), &key("speed"), "must be over 0");
            must((0.0..1.0).contains(&e.speed_spread), &key("speed_spread"), "must be from 0 to under 1");
            must((1..=65_536).contains(&e.slots), &key("slots"), "must be from 1 to 65,536");
            must(e.connections > 0, &key("connections"), "at least one");
            must(e.group > 0, &key("group"), "at least one");
            must(e.cold_from > 0.0 && e.cold_from <= 1.0, &key("cold_from"), "must be over 0, and 1 at most");
            must((0.0..=1.0).contains(&e.error_rate), &key("error_rate"), "must be from 0 to 1");
            for (k, v) in [("cold_s", e.cold_s), ("handshake_ms", e.handshake_ms), ("probe_ms", e.probe_ms)] {
                must(least(v), &key(k), "must not be under 0");
            }
            must(over(e.idle_s), &key("idle_s"), "must be over 0");
        }
        must((1..=200).contains(&self.products.len()), "products", "from 1 to 200");
        for (i, p) in self.products.iter().enumerate() {
            let key = |k: &str| format!("products[{i}].{k}");
            must(least(p.share), &key("share"), "must not be under 0");
            must(over(p.work_ms), &key("work_ms"), "must be over 0");
            must(least(p.cv), &key("cv"), "must not be under 0");
            must(over(p.slots), &key("slots"), "must be over 0");
            must(over(p.agreed_ms), &key("agreed_ms"), "must be over 0");
            must(p.cut_off_ms >= p.agreed_ms, &key("cut_off_ms"), "must not be under the agreed time");
            must(over(p.payoff), &key("payoff"), "must be over 0");
            must(least(p.late_payoff) && p.late_payoff <= 1.0, &key("late_payoff"), "must be from 0 to 1");
        }
        must(self.products.iter().any(|p| p.share > 0.0), "products", "no share is over 0");
        must(self.tenants.iter().any(|t| t.share * t.usage > 0.0), "tenants", "nobody sends anything");
        for (i, t) in self.tenants.iter().enumerate() {
            must(least(t.share) && least(t.usage), &format!("tenants[{i}]"), "must not be under 0");
        }
        let some = over(self.load.of_capacity) || over(self.load.per_s) || self.load.closed > 0;
        must(some, "load", "empty: one of of_capacity, per_s and closed must be over 0");
        must((0.0..=1.0).contains(&self.load.swing), "load.swing", "must be from 0 to 1");
        must(over(self.load.period_s), "load.period_s", "must be over 0");
        must(self.load.steps.iter().all(|s| least(s.times)), "load.steps", "must not be under 0");
        must((0.0..=1.0).contains(&self.clients.heed), "clients.heed", "must be from 0 to 1");
        must((0.0..=1.0).contains(&self.clients.leave), "clients.leave", "must be from 0 to 1");
        must(least(self.clients.wait_ms), "clients.wait_ms", "must not be under 0");
        let net = [self.network.same_ms, self.network.cross_ms, self.network.client_ms, self.network.jitter];
        must(net.into_iter().all(least), "network", "must not be under 0");
        must(over(self.discovery.lines_per_s), "discovery.lines_per_s", "must be over 0");
        must(over(self.limits.connect_ms), "limits.connect_ms", "must be over 0");
        must(self.limits.max_executions > 0, "limits.max_executions", "at least one");
        must(over(self.rules.fall_window_ms), "rules.fall_window_ms", "must be over 0");
        must(self.rules.fall_multiple >= 1.0, "rules.fall_multiple", "must not be under 1");
        for (i, t) in self.troubles.iter().enumerate() {
            let key = |k: &str| format!("troubles[{i}].{k}");
            must(least(t.at_s), &key("at_s"), "must not be under 0");
            must(least(t.for_s), &key("for_s"), "must not be under 0");
            must(t.part > 0.0 && t.part <= 8.0, &key("part"), "must be over 0, and 8 at most");
            must(least(t.size), &key("size"), "must not be under 0");
            must(t.zone.is_none_or(|z| z < self.zones), &key("zone"), "no such zone");
        }
        if faults.is_empty() { Ok(()) } else { Err(faults.join("\n")) }
    }

    /// Work that all warm executors do in a second, in seconds.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let of = |e: &Executors| f64::from(e.count) * e.speed * e.cores.min(f64::from(e.slots));
        self.executors.iter().map(of).sum()
    }

    /// Submissions a second, before any step, swing or use beyond a share.
    #[must_use]
    pub fn rate(&self) -> f64 {
        if self.load.per_s > 0.0 {
            return self.load.per_s;
        }
        let shares: f64 = self.products.iter().map(|p| p.share).sum();
        let work: f64 = self.products.iter().map(|p| p.share * p.work_ms / 1e3).sum::<f64>() / shares;
        self.load.of_capacity * self.capacity() / work
    }

    /// What the node in a zone is started with.
    #[must_use]
    pub fn settings(&self, zone: u16, seed: u64) -> Settings {
        let product = |p: &Product| Terms {
            repeats: match p.repeats {
                Repeats::Harmless => Kind::Harmless,
                Repeats::Stamped => Kind::Stamped { group: Group::Cell, memory: seconds(p.memory_s) },
                Repeats::OneShot => Kind::OneShot,
            },
            agreed: millis(p.agreed_ms),
            stretch: p.stretch,
            payoff: p.payoff,
            late_payoff: p.late_payoff,
            kinds: None,
            zones: None,
        };
        let shares: f64 = self.tenants.iter().map(|t| t.share).sum();
        let cold = self.executors.iter().map(|e| e.cold_from).fold(1.0, f64::min);
        let cold_s = self.executors.iter().map(|e| e.cold_s).fold(0.0, f64::max);
        let idle = self.executors.iter().map(|e| e.idle_s).fold(f64::INFINITY, f64::min);
        let (limits, rules) = (&self.limits, &self.rules);
        let some = |ms: f64| (ms > 0.0).then(|| millis(ms));
        let orders = StandingOrders {
            seed,
            nodes: self.nodes.count,
            zone,
            products: self.products.iter().map(product).collect(),
            quotas: self.tenants.iter().map(|t| self.rate() * t.share / shares.max(1e-9)).collect(),
            excess_payoff: limits.excess_payoff,
            probe_price: limits.probe_price,
            crossing_price: if self.zones > 1 { limits.crossing_price } else { 0.0 },
            connection_price: 0.0,
            max_executions: limits.max_executions,
            may_duplicate: limits.may_duplicate,
            may_probe: limits.may_probe,
            may_cancel: limits.may_cancel,
            come_back: some(limits.come_back_ms),
            connect_timeout: millis(limits.connect_ms),
            idle: seconds(idle),
            answer_slack: millis(limits.answer_slack_ms),
            cold_from: cold,
            cold_for: seconds(cold_s),
            fall_multiple: rules.fall_multiple,
            fall_window: millis(rules.fall_window_ms),
            ask_within: self.discovery.asked.then(|| seconds(10.0)),
            progress_every: some(self.progress_s * 1e3),
            tells_start: self.tells_start,
            listed_sizes: false,
            counts_memory: false,
        };
        let longest = self.products.iter().map(|p| p.cut_off_ms).fold(0.0, f64::max);
        let names = Names {
            products: self.products.iter().map(|p| p.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            kinds: self.executors.iter().map(|e| e.kind.clone()).collect(),
            zones: (0..self.zones).map(|z| format!("z{z}")).collect(),
            figures: vec!["x0".into(), "backlog".into(), "outstanding".into()],
        };
        let layout =
            ReportLayout { free_slots: Some(0), free_memory: None, waiting: Some(1), in_hand: Some(2) };
        Settings { orders, layout, names, longest_cut_off: millis(longest), may_tell: false }
    }
}
