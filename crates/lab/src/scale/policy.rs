//! The settings of a scale run: 26 teams as tenants, seven zones, and jobs that run for minutes.

use serde_json::{Value, json};

/// Number of tenants.
pub const TEAMS: usize = 26;
/// Number of zones of the workers.
pub const ZONES: usize = 7;
/// Submissions per second at peak load, over all teams.
pub const SUBMISSIONS_PER_S: f64 = 46.0;
/// Latency target of a job.
const LATENCY_TARGET_MS: f64 = 1_200_000.0;
/// Maximum time that a client waits for the answer to a job.
pub const DEADLINE_MS: f64 = 3_600_000.0;

/// Returns the value by which two successive policies of a run differ.
fn excess_payoff(version: u64) -> f64 {
    if version.is_multiple_of(2) { 0.3 } else { 0.2 }
}

/// Returns the policy of a version as JSON, without the settings of a single node.
fn policy_json(version: u64) -> Value {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("z{zone}")).collect();
    let quota = SUBMISSIONS_PER_S / TEAMS as f64;
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
        "products": [{"name": "task", "agreedTimeMs": LATENCY_TARGET_MS, "cutOffMs": DEADLINE_MS, "effect": "pure",
            "payoff": 1.0, "latePayoff": 0.5}],
        "report": {"fields": ["x0", "backlog", "outstanding"], "how": "piggyback"},
        "tenants": tenants,
    })
}

/// Returns the text of the policy of a version, padded with spaces to at least `least_bytes` bytes.
#[must_use]
pub fn policy_text(version: u64, least_bytes: usize) -> String {
    format!("{:<least_bytes$}", policy_json(version).to_string())
}

/// Returns the settings of a node as JSON: the policy of version 1, with the node in the first zone.
#[must_use]
pub fn node_settings_json() -> Value {
    let mut settings = policy_json(1);
    settings["az"] = 0.into();
    settings
}

/// Returns the settings of [`node_settings_json`], parsed.
///
/// # Errors
///
/// Returns the error of the parser, if it rejects them.
pub fn node_settings(seed: u64) -> Result<linestack_settings::Settings, String> {
    linestack_settings::read(node_settings_json().to_string().as_bytes(), seed)
        .map_err(|error| error.to_string())
}
