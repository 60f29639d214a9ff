//! The terms of a run: what nodes are configured with, and what the judge holds them to.

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// How often something may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Any number of times.
    Pure,
    /// Carries an idempotency key, by which the executors of one group drop repeats.
    Keyed,
    /// Once.
    OneShot,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// One-shot.
    Pay,
    /// Keyed, within a cell.
    TopUp,
    /// Pure.
    Look,
    /// Pure, and bound to the first zone.
    Local,
}

impl Class {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Pay, Self::TopUp, Self::Look, Self::Local];

    /// As requests and settings name it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Pay => "pay",
            Self::TopUp => "top-up",
            Self::Look => "look",
            Self::Local => "local",
        }
    }

    /// How often it may be executed.
    #[must_use]
    pub fn effect(self) -> Effect {
        match self {
            Self::Pay => Effect::OneShot,
            Self::TopUp => Effect::Keyed,
            Self::Look | Self::Local => Effect::Pure,
        }
    }
}

/// The zones that executors are in.
pub const ZONES: [&str; 2] = ["north", "south"];
/// The zone that [`Class::Local`] is bound to, by its place among [`ZONES`].
pub const BOUND_ZONE: usize = 0;
/// The only kind of executor.
pub const KIND: &str = "small";
/// The only tenant.
pub const TENANT: &str = "all";

/// What a run's settings say, as far as it is drawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RunSettings {
    /// Lists are pushed; else they have to be asked for.
    pub pushed: bool,
    /// Two executions of one submission may be out at once.
    pub may_duplicate: bool,
    /// An execution may be called off.
    pub may_cancel: bool,
    /// Executors may be probed.
    pub may_probe: bool,
    /// Executors tell when a job starts.
    #[serde(rename = "tells-start")]
    pub reports_start: bool,
    /// The longest that a client waits, in milliseconds.
    pub deadline_ms: u64,
    /// For how long executors remember a key, in milliseconds.
    #[serde(rename = "memory-ms")]
    pub dedup_window_ms: u64,
    /// How long after a drain was told something new may still arrive, in milliseconds.
    #[serde(rename = "grace-ms")]
    pub drain_grace_ms: u64,
    /// After how long executors close an idle connection, in milliseconds.
    pub idle_ms: u64,
    /// How many executions a submission may have.
    pub max_executions: usize,
}

/// What a cold executor bears, and for how long it is cold.
pub const COLD_CAPACITY_SHARE: f64 = 0.3;
/// Milliseconds.
pub const SLOW_START_MS: f64 = 9_000.0;
/// Multiples of what it can do.
pub const OVERLOAD_FACTOR: f64 = 2.5;
/// Milliseconds.
pub const OVERLOAD_WINDOW_MS: f64 = 1_000.0;

impl RunSettings {
    /// Terms by chance.
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

    /// The settings object of a node, of so many.
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
