//! Settings shared by the tests.

/// The settings of a node in a fleet of two whose nodes request the list from discovery, with three products and two tenants. A job
/// of the product `pay` is a one-shot: it must never run twice. One of `top-up` carries an idempotency key, by which executors drop
/// repeats. One of `look` may run any number of times.
pub const SETTINGS: &str = r#"{
 "az": 0, "balancers": 2, "discovery": "on_request", "excessPayoff": 0.2,
 "familyInfo": {"classStretch": [1, 1, 1], "progressMs": 1000.0, "reportX0": "free slots"},
 "invariants": {"answerSlackMs": 16.0, "coldFrom": 0.3, "coldMs": 9000.0, "drainGraceMs": 500.0,
                "fallMs": 1000.0, "fallMultiple": 2.5, "mustAskInMs": 10000.0},
 "kinds": ["small"], "zones": ["here", "there"],
 "limits": {"cancel": true, "connIdleMs": 60000.0, "connectTimeoutMs": 250.0, "maxExecutions": 3,
            "maxRetryAfterMs": 2000.0, "mayDuplicate": true, "mayProbe": true, "retryAfter": true},
 "products": [
  {"name": "pay", "agreedTimeMs": 400.0, "effect": "side_effect", "payoff": 1.0, "latePayoff": 0.5},
  {"name": "top-up", "agreedTimeMs": 400.0, "effect": "token", "dedupScope": "cell",
   "memorySpanMs": 7500.0, "payoff": 1.0, "latePayoff": 0.5},
  {"name": "look", "agreedTimeMs": 400.0, "effect": "pure", "payoff": 1.0, "latePayoff": 0.5}],
 "report": {"fields": ["x0", "backlog", "outstanding"], "how": "piggyback"},
 "tenants": [{"name": "first", "quotaPerS": 50.0}, {"name": "second", "quotaPerS": 50.0}]}"#;
