//! The settings of a small deployment, after the example of the users' wire page and their site `lahore-cards`.

use std::net::SocketAddr;

/// What the deployment's keyed class promises.
pub struct Keyed {
    pub scope: &'static str,
    pub memory_span_ms: u64,
    pub deadline_ms: u64,
    /// Whether a request may have two attempts out at once, and whether executors may be probed.
    pub copies_and_probes: bool,
}

/// The settings as JSON: the one-shot class `redeem` and the keyed class `load`. `az` is left out of a fleet's policy.
pub fn settings(nodes: u32, az: Option<u32>, excess_payoff: f64, keyed: &Keyed) -> String {
    let Keyed { scope, memory_span_ms, deadline_ms, copies_and_probes } = keyed;
    let az = az.map_or(String::new(), |az| format!("\"az\":{az},"));
    format!(
        r#"{{{az}"balancers":{nodes},"clientHabits":{{"marksRetry":true}},
"deductions":{{"connection":0.0,"crossZone":0.06,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"probe":0.002,"waste":0.02}},
"discovery":"pushed","excessPayoff":{excess_payoff},
"familyInfo":{{"classKind":[-1,-1],"classStretch":[1.25,1.25],"progressMs":1000.0,"reportX0":"free slots","tellsStart":false}},
"invariants":{{"answerSlackMs":16.0,"coldFrom":0.32,"coldMs":9000.0,"drainGraceMs":500.0,"fallMs":1000.0,"fallMultiple":2.5,"mustAskInMs":10000.0}},
"kinds":["type-a","type-b"],"layers":["card-workers"],
"limits":{{"cancel":true,"connIdleMs":60000.0,"connectTimeoutMs":250.0,"maxExecutions":3,"maxOpen":20000,"maxRetryAfterMs":2000.0,
"mayDuplicate":{copies_and_probes},"mayProbe":{copies_and_probes},"mayTell":false,"retryAfter":true,"streamsPerConn":1}},
"me":0,"payoffBasis":"request",
"products":[{{"agreedTimeMs":400.0,"cutOffMs":8000.0,"dedupScope":"all","effect":"side_effect","latePayoff":0.5,"memorySpanMs":5000.0,"name":"redeem","payoff":2.0,"stream":false}},
{{"agreedTimeMs":400.0,"cutOffMs":{deadline_ms}.0,"dedupScope":"{scope}","effect":"token","latePayoff":0.3,"memorySpanMs":{memory_span_ms}.0,"name":"load","payoff":5.0,"stream":false}}],
"report":{{"fields":["x0","backlog","outstanding"],"how":"piggyback"}},
"tenants":[{{"name":"sabz-bank","quotaPerS":14.0,"share":0.6}},{{"name":"ravi-bank","quotaPerS":10.0,"share":0.4}}],
"weights":"silent","workload":"jobs","zones":["gulberg","model-town"]}}"#
    )
}

/// The configuration file of a node.
pub fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
    )
}

/// The variables that tell a node where it is.
pub fn variables(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    configuration: &std::path::Path,
) -> Vec<(&'static str, String)> {
    vec![
        ("PROXY_NAME", name.to_owned()),
        ("PROXY_LISTEN", listen.to_string()),
        ("PROXY_DISCOVERY", discovery.to_string()),
        ("PROXY_CONFIG", configuration.display().to_string()),
        ("PROXY_LOG", "info".to_owned()),
    ]
}
