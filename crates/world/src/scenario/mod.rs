//! Scenarios: the parameters of a simulation. Every field has a default, so that a scenario file contains
//! only what differs from it.

mod settings;
mod validation;

use linestack_core::Nanos;
use serde::{Deserialize, Serialize};

/// Converts a duration in seconds to nanoseconds.
#[must_use]
pub fn seconds_to_nanos(s: f64) -> Nanos {
    (s * 1e9).round().max(0.0) as Nanos
}

/// Converts a duration in milliseconds to nanoseconds.
pub(crate) fn millis_to_nanos(ms: f64) -> Nanos {
    seconds_to_nanos(ms / 1e3)
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
    /// A simulation and its seed.
    Scenario {
        /// The name of the scenario in reports.
        name: String = "world".into(),
        /// The seed of all random draws.
        seed: u64 = 1,
        /// The simulated seconds in which clients submit. Afterwards the simulation continues until every
        /// submission has ended, for a limited time.
        span_s: f64 = 30.0,
        /// The number of zones over which nodes and executors are spread.
        zones: u16 = 1,
        /// The dispatchers.
        nodes: Nodes = Nodes::default(),
        /// Kinds of executors.
        executors: Vec<Executors> = vec![Executors::default()],
        /// The load reports that executors send.
        reports: Reports = Reports::default(),
        /// Whether executors report the start of a job.
        #[serde(rename = "tells_start")]
        reports_start: bool = false,
        /// The interval at which executors report the progress of a job; 0: never.
        progress_s: f64 = 1.0,
        /// The products that clients submit.
        products: Vec<Product> = vec![Product::default()],
        /// The tenants that submit.
        tenants: Vec<Tenant> = vec![Tenant::default()],
        /// The load that clients offer.
        load: Load = Load::default(),
        /// How clients behave.
        clients: Clients = Clients::default(),
        /// The delays of messages.
        network: Network = Network::default(),
        /// How discovery behaves.
        discovery: Discovery = Discovery::default(),
        /// What nodes may do, and at which cost.
        limits: Limits = Limits::default(),
        /// The limits that the judge applies.
        rules: Rules = Rules::default(),
        /// The faults, in any order.
        #[serde(rename = "troubles")]
        faults: Vec<FaultSpec> = Vec::new(),
    }
}

table! {
    /// The dispatchers of a world, all alike.
    Nodes {
        /// Their number.
        count: u32 = 3,
        /// The maximum number of connections of a node.
        sockets: usize = 1024,
        /// The memory limit of a node, in MiB.
        memory_mb: usize = 192,
        /// The processor time that a node needs for each input.
        cpu_us: f64 = 0.0,
        /// The time between SIGTERM and SIGKILL.
        kill_after_s: f64 = 3.7,
        /// The time between the end of a node's process and its restart.
        back_after_s: f64 = 0.5,
        /// Whether nodes have a durable store, so that they know after a kill which submissions may have run.
        store: bool = false,
        /// The duration of a write to the store.
        sync_ms: f64 = 1.0,
        /// How nodes start.
        starts: Starts = Starts::default(),
    }
}

table! {
    /// The staged start of nodes. Rates are per second for the whole fleet; 0 means unlimited.
    Starts {
        /// Whether nodes start in stages.
        on: bool = false,
        /// The rate of new connections to executors.
        connects_per_s: f64 = 0.0,
        /// The rate of requests for the whole list.
        lists_per_s: f64 = 0.0,
    }
}

table! {
    /// Executors of one kind.
    Executors {
        /// The kind that discovery lists them as.
        kind: String = "plain".into(),
        /// Their number.
        count: u32 = 8,
        /// The number of cores, which the running jobs share.
        cores: f64 = 4.0,
        /// The seconds of work that one core does per second.
        speed: f64 = 1.0,
        /// The speed of each executor is drawn within this fraction of `speed`.
        speed_spread: f64 = 0.1,
        /// The number of slots, which limits the jobs that run at once.
        slots: u32 = 4,
        /// The maximum number of waiting jobs.
        queue: u32 = 16,
        /// The number of executors in a group, which share their memory of idempotency keys.
        group: u32 = 2,
        /// The fraction of the capacity that is available right after a start.
        #[serde(rename = "cold_from")]
        cold_capacity_share: f64 = 0.3,
        /// The time from a start until the full capacity is available.
        cold_s: f64 = 9.0,
        /// The maximum number of connections to one executor, which refuses further ones.
        connections: u32 = 512,
        /// The work that a new connection costs an executor.
        handshake_ms: f64 = 0.5,
        /// The idle time after which an executor closes a connection.
        idle_s: f64 = 15.0,
        /// The work that a probe costs an executor.
        probe_ms: f64 = 0.05,
        /// The fraction of jobs that fail without any injected fault.
        error_rate: f64 = 0.0,
        /// Whether a running job stops when its connection is closed.
        cancels: bool = true,
    }
}

table! {
    /// The load reports that executors send with their answers.
    Reports {
        /// Whether executors send load reports.
        #[serde(rename = "told")]
        enabled: bool = true,
        /// The interval at which a report is renewed; 0: every answer has a fresh report.
        period_ms: f64 = 0.0,
        /// The delay after which a report becomes visible.
        delay_ms: f64 = 0.0,
        /// The maximum relative error of each figure.
        noise: f64 = 0.0,
    }
}

/// Whether a job may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// Any number of times.
    #[serde(rename = "harmless")]
    Idempotent,
    /// Only by the group of executors that remembers its idempotency key, and within the deduplication
    /// window.
    Stamped,
    /// Not more than once.
    OneShot,
}

table! {
    /// A kind of job.
    Product {
        /// Its name.
        name: String = "job".into(),
        /// Its weight among all products, by which submissions are drawn.
        share: f64 = 1.0,
        /// The mean work of a job, in milliseconds at speed 1.
        work_ms: f64 = 400.0,
        /// The coefficient of variation of the work, which is log-normally distributed; 0: constant work.
        cv: f64 = 0.5,
        /// The number of slots that a job takes.
        slots: f64 = 1.0,
        /// The fixed part of the latency target: a result pays in full up to this time plus what
        /// `latency_target_factor` adds.
        #[serde(rename = "agreed_ms")]
        latency_target_ms: f64 = 400.0,
        /// The latency target grows by this multiple of the job's own running time.
        #[serde(rename = "stretch")]
        latency_target_factor: f64 = 1.25,
        /// The deadline for an answer, after which the client gives up.
        #[serde(rename = "cut_off_ms")]
        deadline_ms: f64 = 5000.0,
        /// The payoff of a result within the latency target.
        payoff: f64 = 1.0,
        /// The fraction of the payoff that a late result earns.
        late_payoff: f64 = 0.3,
        /// Whether a job may be executed more than once.
        repeats: RepeatPolicy = RepeatPolicy::Idempotent,
        /// How long a group of executors drops repeats of a stamped job.
        #[serde(rename = "memory_s")]
        dedup_window_s: f64 = 7.5,
    }
}

table! {
    /// A tenant that submits jobs.
    Tenant {
        /// Its name.
        name: String = "tenant".into(),
        /// Its weight among all tenants, which determines its quota.
        share: f64 = 1.0,
        /// The load that it offers, as a multiple of its quota.
        usage: f64 = 1.0,
    }
}

table! {
    /// How much clients submit, and when.
    Load {
        /// The base load, as a fraction of the warm capacity of all executors.
        of_capacity: f64 = 0.6,
        /// If above 0: the base load in submissions per second, instead of `of_capacity`.
        per_s: f64 = 0.0,
        /// If above 0: the number of closed-loop clients, each of which submits again once it is answered.
        /// They replace the open-loop load.
        closed: u32 = 0,
        /// The time that a closed-loop client waits before it submits again.
        think_ms: f64 = 0.0,
        /// How the load changes over a period.
        shape: Shape = Shape::Steady,
        /// The amplitude of the changes, as a fraction of the base load.
        swing: f64 = 0.3,
        /// The length of a period.
        period_s: f64 = 10.0,
        /// Lasting changes of the load.
        steps: Vec<Step> = Vec::new(),
    }
}

/// How the load changes over a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// The load is constant.
    Steady,
    /// The load alternates between 1 + swing and 1 - swing.
    Bursty,
    /// The load follows a sine.
    Wave,
}

table! {
    /// A lasting change of the load.
    Step {
        /// When it begins.
        at_s: f64 = 0.0,
        /// The load from then on, as a multiple of the base load.
        #[serde(rename = "times")]
        factor: f64 = 1.0,
    }
}

table! {
    /// How clients wait, retry and leave.
    Clients {
        /// The maximum number of retries of a client.
        retries: u32 = 1,
        /// How long it waits before a retry.
        backoff: Backoff = Backoff::Fixed,
        /// The mean wait before the first retry.
        wait_ms: f64 = 100.0,
        /// The fraction of clients that honour a retry-after time.
        #[serde(rename = "heed")]
        heed_retry_after: f64 = 1.0,
        /// The fraction of clients that leave before the deadline, at a uniformly drawn time.
        leave: f64 = 0.0,
        /// How long clients still go to a node whose process has ended.
        notice_s: f64 = 1.0,
        /// Whether clients retry at the node that they asked before, which alone knows what it has sent.
        same_node: bool = false,
    }
}

/// How long a client waits before a retry. Each wait varies randomly by up to a half.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// It does not wait.
    None,
    /// The same mean wait before each retry.
    Fixed,
    /// The mean wait doubles with each retry.
    Exponential,
}

table! {
    /// The one-way delays of messages, in milliseconds.
    Network {
        /// Between a node and an executor in the same zone.
        same_ms: f64 = 0.2,
        /// Between a node and an executor in different zones.
        cross_ms: f64 = 0.6,
        /// Between a client and a node.
        client_ms: f64 = 0.3,
        /// The maximum random increase of each delay, as a fraction.
        jitter: f64 = 0.2,
    }
}

table! {
    /// How discovery detects changes and answers requests.
    Discovery {
        /// Whether nodes must poll for changes; otherwise they hold a watch.
        #[serde(rename = "asked")]
        polled: bool = false,
        /// The mean delay before it notices a change that a process announces.
        late_s: f64 = 0.5,
        /// The mean delay before it notices a change that nobody announces.
        silent_late_s: f64 = 4.0,
        /// The lines that it writes per second. Requests are answered one after the other and fail if they
        /// would have to wait longer than two seconds.
        lines_per_s: f64 = 20_000.0,
    }
}

table! {
    /// What nodes may do, and at which cost: part of the settings of the fleet.
    Limits {
        /// Whether nodes may probe executors.
        may_probe: bool = true,
        /// Whether nodes may cancel executions.
        may_cancel: bool = true,
        /// Whether nodes may have several copies of a job executed at once.
        may_duplicate: bool = true,
        /// The maximum number of executions of one submission.
        max_executions: u16 = 3,
        /// The maximum retry-after time that nodes give to clients; 0: they give none.
        #[serde(rename = "come_back_ms")]
        max_retry_after_ms: f64 = 2000.0,
        /// The time limit for opening a connection to an executor.
        connect_ms: f64 = 250.0,
        /// How long before the deadline nodes answer.
        #[serde(rename = "answer_slack_ms")]
        deadline_margin_ms: f64 = 16.0,
        /// The fraction of the payoff that submissions beyond a quota earn.
        excess_payoff: f64 = 1.0,
        /// The cost of an execution in another zone.
        #[serde(rename = "crossing_price")]
        zone_crossing_cost: f64 = 0.02,
        /// The cost of a probe.
        #[serde(rename = "probe_price")]
        probe_cost: f64 = 0.002,
    }
}

table! {
    /// The limits that the judge applies.
    Rules {
        /// How long jobs may still be sent to a draining executor.
        drain_grace_ms: f64 = 500.0,
        /// The load that a cold executor tolerates, as a multiple of its current capacity.
        #[serde(rename = "fall_multiple")]
        overload_factor: f64 = 2.5,
        /// The sliding window over which that load is summed.
        #[serde(rename = "fall_window_ms")]
        overload_window_ms: f64 = 1000.0,
        /// The tolerance that is added to every time limit.
        #[serde(rename = "slack_ms")]
        tolerance_ms: f64 = 50.0,
    }
}

/// The kinds of faults of executors, nodes, connections and discovery. `size` is [`FaultSpec::size`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Processes of executors crash and their connections are reset. They start again, cold, when the fault
    /// is over.
    Crash,
    /// Machines of executors vanish from the network without a reset, and start again, cold, when it is over.
    Vanish,
    /// Executors accept jobs and answer nothing.
    Hang,
    /// Executors pause for `size` seconds, every 1.5 seconds on average.
    Pauses,
    /// Executors run at the fraction `size` of their speed.
    Slow,
    /// Another program takes the fraction `size` of the cores, and starts and stops every two seconds on
    /// average.
    Neighbour,
    /// The fraction `size` of the jobs fails at once.
    FastErrors,
    /// Jobs of the first product fail at once.
    ProductFails,
    /// The fraction `size` of the jobs is lost without an answer.
    Lose,
    /// The fraction `size` of the jobs is turned away without being looked at.
    Refuse,
    /// The fraction `size` of the answers is malformed.
    Garbage,
    /// Load reports show all slots as free.
    Lie,
    /// Load reports are `size` seconds late.
    ReportsLate,
    /// The fraction `size` of the sends has its connection reset before, during or after the last byte.
    Resets,
    /// No message passes between nodes and these executors. With `size` 1 only answers are lost, with 2 only
    /// sends.
    Cut,
    /// Executors drain, and leave when the fault is over.
    Drain,
    /// New, cold executors join: the fraction `part` of the fleet.
    Grow,
    /// Rolling replacement: one executor after the other drains, leaves and is replaced by a new one.
    Roll,
    /// Discovery answers no request, and all watches break.
    DiscoveryDown,
    /// Discovery sends changes more than once, or not at all until the next whole list.
    DiscoveryFlaps,
    /// Nodes are killed.
    NodeKill,
    /// Rolling restart: nodes are stopped by SIGTERM, one after the other.
    NodeRoll,
    /// Nodes are paused while it lasts.
    NodePause,
    /// Other programs take the fraction `size` of the nodes' processor time.
    NodeSlow,
    /// Clients that send nothing connect to the nodes, `size` per second and node.
    Flood,
    /// Nodes get changed settings (no copies, no probes, a cost of connections), all at the same time, and
    /// the original ones when it is over.
    Switch,
}

table! {
    /// A fault that begins and ends.
    FaultSpec {
        /// The kind of the fault.
        kind: Fault = Fault::Crash,
        /// When it begins.
        at_s: f64 = 5.0,
        /// How long it lasts.
        for_s: f64 = 10.0,
        /// The fraction of the executors or nodes that it affects, at least one.
        part: f64 = 0.2,
        /// The strength, whose meaning depends on the kind.
        size: f64 = 0.5,
        /// If given, only executors of this zone are affected.
        zone: Option<u16> = None,
    }
}

impl Scenario {
    /// Returns the seconds of work that all executors together do per second when warm.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let of = |e: &Executors| f64::from(e.count) * e.speed * e.cores.min(f64::from(e.slots));
        self.executors.iter().map(of).sum()
    }

    /// Returns the submissions per second at the base load, without steps, swings and usage beyond quotas.
    #[must_use]
    pub fn rate(&self) -> f64 {
        if self.load.per_s > 0.0 {
            return self.load.per_s;
        }
        let total_share: f64 = self.products.iter().map(|p| p.share).sum();
        let mean_work_s: f64 =
            self.products.iter().map(|p| p.share * p.work_ms / 1e3).sum::<f64>() / total_share;
        self.load.of_capacity * self.capacity() / mean_work_s
    }
}
