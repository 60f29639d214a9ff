//! The settings that a scale run goes by: 26 teams, seven zones, and jobs that run for minutes.

use serde_json::{Value, json};

const TEAMS: usize = 26;
const ZONES: usize = 7;
/// Task starts a second at the peak.
pub const STARTS_PER_S: f64 = 46.0;
/// A job's agreed time, and how long its client waits at most, in milliseconds.
const AGREED_MS: f64 = 1_200_000.0;
pub const CUT_OFF_MS: f64 = 3_600_000.0;

/// What two policies of a run differ by.
fn excess_payoff(version: u64) -> f64 {
    if version.is_multiple_of(2) { 0.3 } else { 0.2 }
}

/// The settings as a value, without a node's own place.
fn value(version: u64) -> Value {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("z{zone}")).collect();
    let quota = STARTS_PER_S / TEAMS as f64;
    let tenants: Vec<Value> =
        (0..TEAMS).map(|team| json!({"name": format!("team-{team}"), "quotaPerS": quota})).collect();
    json!({
        "balancers": 1, "discovery": "push", "excessPayoff": excess_payoff(version),
        "familyInfo": {"progressMs": 0.0, "reportX0": "free slots", "tellsStart": false},
        "invariants": {"answerSlackMs": 16.0, "coldFrom": 1.0, "coldMs": 0.0, "drainGraceMs": 500.0,
            "fallMs": 1000.0, "fallMultiple": 2.5},
        "kinds": ["accelerator"], "zones": zones,
        "limits": {"cancel": true, "connIdleMs": 60000.0, "connectTimeoutMs": 250.0, "maxExecutions": 3,
            "maxRetryAfterMs": 2000.0, "mayDuplicate": false, "mayProbe": true, "retryAfter": true},
        "products": [{"name": "task", "agreedTimeMs": AGREED_MS, "cutOffMs": CUT_OFF_MS, "effect": "pure",
            "payoff": 1.0, "latePayoff": 0.5}],
        "report": {"fields": ["x0", "backlog", "outstanding"], "how": "piggyback"},
        "tenants": tenants,
    })
}

/// The policy with this version's number, of at least so many bytes.
#[must_use]
pub fn text(version: u64, least_bytes: usize) -> String {
    format!("{:<least_bytes$}", value(version).to_string())
}

/// A node's settings by the first version, as a value.
#[must_use]
pub fn node_value() -> Value {
    let mut value = value(1);
    value["az"] = 0.into();
    value
}

/// As [`node_value`], read.
///
/// # Errors
///
/// They are not understood.
pub fn settings(seed: u64) -> Result<linestack_settings::Settings, String> {
    linestack_settings::read(node_value().to_string().as_bytes(), seed).map_err(|fault| fault.to_string())
}
