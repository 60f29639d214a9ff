//! Settings shared by the tests.

/// Settings with three products and two tenants, in a fleet whose nodes request the list from discovery.
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
