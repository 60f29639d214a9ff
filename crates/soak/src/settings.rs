//! The settings of a run, with which nodes are configured and which the judge applies.

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Any number of times.
    Pure,
    /// Several times within one group of executors, which drop repeats by the idempotency key.
    Keyed,
    /// At most once.
    OneShot,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// One-shot.
    Pay,
    /// Keyed, within a cell of executors.
    TopUp,
    /// Pure.
    Look,
    /// Pure, and bound to the first zone.
    Local,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Pay, Self::TopUp, Self::Look, Self::Local];

    /// Returns the product name used in requests and settings.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Pay => "pay",
            Self::TopUp => "top-up",
            Self::Look => "look",
            Self::Local => "local",
        }
    }

    /// Returns how often a request of this class may be executed.
    #[must_use]
    pub fn effect(self) -> Effect {
        match self {
            Self::Pay => Effect::OneShot,
            Self::TopUp => Effect::Keyed,
            Self::Look | Self::Local => Effect::Pure,
        }
    }
}

/// The zones of the executors.
pub const ZONES: [&str; 2] = ["north", "south"];
/// The zone to which [`Class::Local`] is bound, as an index into [`ZONES`].
pub const BOUND_ZONE: usize = 0;
/// The only kind of executor.
pub const KIND: &str = "small";
/// The only tenant.
pub const TENANT: &str = "all";

/// The randomly drawn part of a run's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RunSettings {
    /// Whether discovery pushes lists; otherwise nodes request them.
    pub pushed: bool,
    /// Whether two executions of one submission may be in flight at once.
    pub may_duplicate: bool,
    /// Whether an execution may be cancelled.
    pub may_cancel: bool,
    /// Whether executors may be probed.
    pub may_probe: bool,
    /// Whether executors report when a job starts.
    #[serde(rename = "tells-start")]
    pub reports_start: bool,
    /// The longest deadline of a client, in milliseconds.
    pub deadline_ms: u64,
    /// How long executors remember an idempotency key, in milliseconds.
    #[serde(rename = "memory-ms")]
    pub dedup_window_ms: u64,
    /// How long after a node was notified of a drain new work may still arrive, in milliseconds.
    #[serde(rename = "grace-ms")]
    pub drain_grace_ms: u64,
    /// The time after which executors close an idle connection, in milliseconds.
    pub idle_ms: u64,
    /// The largest number of executions of a submission.
    pub max_executions: usize,
}

/// The share of its capacity that an executor has when its process starts.
pub const COLD_CAPACITY_SHARE: f64 = 0.3;
/// The duration of the slow start, during which an executor counts as cold.
pub const SLOW_START_MS: f64 = 9_000.0;
/// The multiple of its capacity at which an executor is overloaded.
pub const OVERLOAD_FACTOR: f64 = 2.5;
/// The window over which an executor's load is counted.
pub const OVERLOAD_WINDOW_MS: f64 = 1_000.0;

impl RunSettings {
    /// Draws settings at random.
    #[must_use]
    pub fn random(rng: &mut Pcg64Mcg) -> Self {
        Self {
            pushed: rng.random_bool(0.4),
            may_duplicate: rng.random_bool(0.5),
            may_cancel: rng.random_bool(0.7),
            may_probe: rng.random_bool(0.7),
            reports_start: rng.random_bool(0.5),
            deadline_ms: rng.random_range(800..=1_500),
            dedup_window_ms: rng.random_range(800..=3_000),
            drain_grace_ms: 500,
            idle_ms: if rng.random_bool(0.5) { 1_000 } else { 20_000 },
            max_executions: 3,
        }
    }

    /// Returns the settings object of a node in a fleet of `nodes` nodes.
    #[must_use]
    pub fn node_settings(&self, nodes: usize) -> Value {
        let product = |class: Class| {
            let mut product = json!({"name": class.name(), "agreedTimeMs": self.deadline_ms as f64 / 3.0,
                "cutOffMs": self.deadline_ms, "payoff": 1.0, "latePayoff": 0.5});
            product["effect"] = match class.effect() {
                Effect::Pure => "pure",
                Effect::Keyed => "token",
                Effect::OneShot => "side_effect",
            }
            .into();
            if class.effect() == Effect::Keyed {
                product["dedupScope"] = "cell".into();
                product["memorySpanMs"] = self.dedup_window_ms.into();
            }
            if class == Class::Local {
                product["staysIn"] = json!([ZONES[BOUND_ZONE]]);
            }
            product
        };
        json!({
            "az": 0, "balancers": nodes, "excessPayoff": 1.0,
            "discovery": if self.pushed { "push" } else { "on_request" },
            "familyInfo": {"classStretch": [1, 1, 1, 1], "progressMs": 0.0, "reportX0": "free slots",
                "tellsStart": self.reports_start},
            "invariants": {"answerSlackMs": 16.0, "coldFrom": COLD_CAPACITY_SHARE, "coldMs": SLOW_START_MS,
                "drainGraceMs": self.drain_grace_ms, "fallMs": OVERLOAD_WINDOW_MS, "fallMultiple": OVERLOAD_FACTOR,
                "mustAskInMs": 10_000.0},
            "kinds": [KIND], "zones": ZONES,
            "limits": {"cancel": self.may_cancel, "connIdleMs": self.idle_ms, "connectTimeoutMs": 250.0,
                "maxExecutions": self.max_executions, "maxRetryAfterMs": 2_000.0,
                "mayDuplicate": self.may_duplicate, "mayProbe": self.may_probe, "retryAfter": true},
            "products": Class::ALL.map(product),
            "report": {"fields": ["x0", "backlog", "outstanding"], "how": "piggyback"},
            "tenants": [{"name": TENANT, "quotaPerS": 1e6}],
        })
    }
}
