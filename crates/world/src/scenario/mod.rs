//! What a world is made of. Every figure has a default, so that a scenario names only what it is about.

mod check;
mod settings;

use linestack_core::Nanos;
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
        /// What reports call it.
        name: String = "world".into(),
        /// All chance comes from this.
        seed: u64 = 1,
        /// Simulated seconds in which clients come. After them the world runs until all is answered.
        span_s: f64 = 30.0,
        /// Nodes and executors are spread over so many zones.
        zones: u16 = 1,
        /// The dispatchers.
        nodes: Nodes = Nodes::default(),
        /// Kinds of executors.
        executors: Vec<Executors> = vec![Executors::default()],
        /// The load reports of executors.
        reports: Reports = Reports::default(),
        /// Whether executors tell when a job starts.
        #[serde(rename = "tells_start")]
        reports_start: bool = false,
        /// How often executors tell of the progress of a job; 0: never.
        progress_s: f64 = 1.0,
        /// What clients ask for.
        products: Vec<Product> = vec![Product::default()],
        /// Who asks.
        tenants: Vec<Tenant> = vec![Tenant::default()],
        /// How much is asked for.
        load: Load = Load::default(),
        /// How clients behave.
        clients: Clients = Clients::default(),
        /// How long messages take.
        network: Network = Network::default(),
        /// How discovery behaves.
        discovery: Discovery = Discovery::default(),
        /// What nodes may do, and at which price.
        limits: Limits = Limits::default(),
        /// The bounds by which the judge goes.
        rules: Rules = Rules::default(),
        /// The faults, in no particular order.
        troubles: Vec<FaultSpec> = Vec::new(),
    }
}

table! {
    /// The dispatchers of a world, all alike.
    Nodes {
        /// How many there are.
        count: u32 = 3,
        /// The most connections of a node.
        sockets: usize = 1024,
        /// What a node may hold, in MiB.
        memory_mb: usize = 192,
        /// Processor time that each thing that happens takes of a node.
        cpu_us: f64 = 0.0,
        /// SIGKILL comes so long after SIGTERM.
        kill_after_s: f64 = 3.7,
        /// A node is back so long after it ended.
        back_after_s: f64 = 0.5,
        /// A disk that lasts: what may have run is known after a kill.
        store: bool = false,
        /// How long a write to it takes.
        sync_ms: f64 = 1.0,
        /// How nodes start.
        starts: Starts = Starts::default(),
    }
}

table! {
    /// A start in stages, if it is on; rates are the fleet's a second, 0 for no bound.
    Starts {
        /// Whether nodes start in stages.
        on: bool = false,
        /// Connections to executors.
        connects_per_s: f64 = 0.0,
        /// Calls for the whole list.
        lists_per_s: f64 = 0.0,
    }
}

table! {
    /// Executors of one kind.
    Executors {
        /// The kind that discovery lists them as.
        kind: String = "plain".into(),
        /// How many there are.
        count: u32 = 8,
        /// Cores that running jobs share.
        cores: f64 = 4.0,
        /// Seconds of work that one core does in a second.
        speed: f64 = 1.0,
        /// Each one's speed is drawn within this part of it.
        speed_spread: f64 = 0.1,
        /// The most that may run at once, in slots.
        slots: u32 = 4,
        /// Jobs that may wait there.
        queue: u32 = 16,
        /// How many of them share the memory of stamps.
        group: u32 = 2,
        /// Capacity right after a start, as a part.
        cold_from: f64 = 0.3,
        /// The time until it is whole.
        cold_s: f64 = 9.0,
        /// The most connections to one of them; it refuses those beyond.
        connections: u32 = 512,
        /// Work that a new connection costs.
        handshake_ms: f64 = 0.5,
        /// A connection that is unused for longer is closed.
        idle_s: f64 = 15.0,
        /// Work that a probe costs.
        probe_ms: f64 = 0.05,
        /// Of jobs, those that fail without any trouble.
        error_rate: f64 = 0.0,
        /// Whether running work stops when its connection is closed.
        cancels: bool = true,
    }
}

table! {
    /// The load reports that executors send with their answers.
    Reports {
        /// Whether executors report at all.
        #[serde(rename = "told")]
        enabled: bool = true,
        /// How long a report stands before it is renewed; 0: it is made with each answer.
        period_ms: f64 = 0.0,
        /// How late a report is.
        delay_ms: f64 = 0.0,
        /// Each figure is off by this part at most.
        noise: f64 = 0.0,
    }
}

/// Whether a job may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// As often as one likes.
    #[serde(rename = "harmless")]
    Idempotent,
    /// Within the group of executors that knows its idempotency key, for as long as it does.
    Stamped,
    /// Never.
    OneShot,
}

table! {
    /// A kind of job.
    Product {
        /// What it is called.
        name: String = "job".into(),
        /// Its weight among all products.
        share: f64 = 1.0,
        /// The mean work of a job, in milliseconds at speed 1.
        work_ms: f64 = 400.0,
        /// Coefficient of variation of the work, which is log-normal; 0: always the same.
        cv: f64 = 0.5,
        /// Slots that a job takes.
        slots: f64 = 1.0,
        /// A result pays in full up to this time, and what `latency_target_factor` adds.
        #[serde(rename = "agreed_ms")]
        latency_target_ms: f64 = 400.0,
        /// By how many times its own running time the agreed time grows.
        #[serde(rename = "stretch")]
        latency_target_factor: f64 = 1.25,
        /// The client's deadline for an answer.
        #[serde(rename = "cut_off_ms")]
        deadline_ms: f64 = 5000.0,
        /// What a result in time is worth.
        payoff: f64 = 1.0,
        /// The part of it that a late result is worth.
        late_payoff: f64 = 0.3,
        /// Whether a job may be executed more than once.
        repeats: RepeatPolicy = RepeatPolicy::Idempotent,
        /// For how long a group drops repeats of a stamped one.
        #[serde(rename = "memory_s")]
        dedup_window_s: f64 = 7.5,
    }
}

table! {
    /// Somebody who submits jobs.
    Tenant {
        /// What it is called.
        name: String = "tenant".into(),
        /// Its weight among all tenants, by which it has a quota.
        share: f64 = 1.0,
        /// How many times its share it sends.
        usage: f64 = 1.0,
    }
}

table! {
    /// How much clients submit, and when.
    Load {
        /// The usual load, as a part of the warm capacity of all executors.
        of_capacity: f64 = 0.6,
        /// Where over 0, these many a second instead.
        per_s: f64 = 0.0,
        /// Where over 0, these many clients, each of which asks again once it is answered.
        closed: u32 = 0,
        /// How long a closed-loop client waits before it asks again.
        think_ms: f64 = 0.0,
        /// How the load changes over a period.
        shape: Shape = Shape::Steady,
        /// By how much it swings about the usual, as a part.
        swing: f64 = 0.3,
        /// The length of a period.
        period_s: f64 = 10.0,
        /// Lasting changes.
        steps: Vec<Step> = Vec::new(),
    }
}

/// How the load changes over a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Not at all.
    Steady,
    /// Between 1 + swing and 1 - swing, by turns.
    Bursty,
    /// As a sine.
    Wave,
}

table! {
    /// A lasting change of the load.
    Step {
        /// When it begins.
        at_s: f64 = 0.0,
        /// From then on the load is so many times the usual.
        times: f64 = 1.0,
    }
}

table! {
    /// How clients wait, retry and leave.
    Clients {
        /// How often a client retries.
        retries: u32 = 1,
        /// How long it waits before a retry.
        backoff: Backoff = Backoff::Fixed,
        /// The mean of the first wait.
        wait_ms: f64 = 100.0,
        /// The part of them that heed a come-back time.
        #[serde(rename = "heed")]
        heed_retry_after: f64 = 1.0,
        /// The part that leave before the cut-off, at a time drawn evenly.
        leave: f64 = 0.0,
        /// How long they go on coming to a node that has died.
        notice_s: f64 = 1.0,
        /// They ask the node again that they asked, which alone knows what it sent.
        same_node: bool = false,
    }
}

/// How long a client waits before a retry. Each wait is off by up to a half, at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// Not at all.
    None,
    /// The same time before each.
    Fixed,
    /// Twice as long before each.
    Exponential,
}

table! {
    /// How long messages take in one direction, in milliseconds.
    Network {
        /// Between a node and an executor of one zone.
        same_ms: f64 = 0.2,
        /// Between a node and an executor of different zones.
        cross_ms: f64 = 0.6,
        /// Between a client and a node.
        client_ms: f64 = 0.3,
        /// Each message takes longer by up to this part.
        jitter: f64 = 0.2,
    }
}

table! {
    /// How discovery learns of changes and answers.
    Discovery {
        /// Whether it must be asked for changes, or the node is expected to hold a watch.
        #[serde(rename = "asked")]
        polled: bool = false,
        /// How late it notices a change that a process tells of, on average.
        late_s: f64 = 0.5,
        /// The same for a change that nobody tells of.
        silent_late_s: f64 = 4.0,
        /// Lines that it writes in a second; calls wait in turn and fail after two seconds.
        lines_per_s: f64 = 20_000.0,
    }
}

table! {
    /// What nodes may do, and at which price: the settings of the fleet.
    Limits {
        /// Whether nodes may probe executors.
        may_probe: bool = true,
        /// Whether nodes may cancel executions.
        may_cancel: bool = true,
        /// Whether nodes may have several copies of a job executed.
        may_duplicate: bool = true,
        /// The most executions of one submission.
        max_executions: u16 = 3,
        /// The longest come-back time that may be named; 0: none is named.
        #[serde(rename = "come_back_ms")]
        max_retry_after_ms: f64 = 2000.0,
        /// How long a node waits for a connection.
        connect_ms: f64 = 250.0,
        /// Nodes answer this long before the deadline.
        #[serde(rename = "answer_slack_ms")]
        deadline_margin_ms: f64 = 16.0,
        /// The part of its worth that traffic beyond a quota has.
        excess_payoff: f64 = 1.0,
        /// What an execution in another zone costs.
        #[serde(rename = "crossing_price")]
        zone_crossing_cost: f64 = 0.02,
        /// What a probe costs.
        #[serde(rename = "probe_price")]
        probe_cost: f64 = 0.002,
    }
}

table! {
    /// The bounds by which the judge goes.
    Rules {
        /// For how long jobs may still be sent to an executor that drains.
        drain_grace_ms: f64 = 500.0,
        /// A cold executor bears this multiple of its capacity.
        #[serde(rename = "fall_multiple")]
        overload_factor: f64 = 2.5,
        /// The window over which that counts.
        #[serde(rename = "fall_window_ms")]
        overload_window_ms: f64 = 1000.0,
        /// Added to every time limit.
        slack_ms: f64 = 50.0,
    }
}

/// What a trouble does to executors, nodes, connections or discovery.
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
    /// Discovery answers no call, and all watches break.
    DiscoveryDown,
    /// Changes are told twice, or not at all until the next whole list.
    DiscoveryFlaps,
    /// Nodes are killed.
    NodeKill,
    /// Nodes are stopped by SIGTERM, one after the other.
    NodeRoll,
    /// Nodes stand still while it lasts.
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
    /// A fault that begins and ends.
    FaultSpec {
        /// What happens.
        kind: Fault = Fault::Crash,
        /// When it begins.
        at_s: f64 = 5.0,
        /// How long it lasts.
        for_s: f64 = 10.0,
        /// The part of the executors or nodes that it takes, one at least.
        part: f64 = 0.2,
        /// How strong it is, as the kind says.
        size: f64 = 0.5,
        /// Where named, only executors of this zone.
        zone: Option<u16> = None,
    }
}

impl Scenario {
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
}
