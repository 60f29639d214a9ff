//! Case 10: lists are pushed; discovery comes back from an outage with executors that have begun to drain meanwhile.

use std::time::{Duration, Instant};
use std::thread;

use review_stand_ins_2::client::Request;
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::load::Load;
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, with_trouble, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `tbilisi-main.toml`, for six nodes and sixteen catalogue workers, in the names of the wire.
const SETTINGS: &str = r#"{
 "az": 0, "balancers": 6, "discovery": "pushed", "excessPayoff": 1.0, "payoffBasis": "work", "weights": "nominal",
 "deductions": {"crossZone": 0.12, "handshake": 0.08, "probe": 0.002, "waste": 0.25, "lateFail": 0.08},
 "familyInfo": {"classKind": [-1, -1, -1], "classStretch": [2.0, 2.0, 2.0], "progressMs": 0.0, "reportX0": "free slots", "tellsStart": true},
 "invariants": {"answerSlackMs": 16.0, "coldFrom": 0.15, "coldMs": 23000.0, "drainGraceMs": 250.0, "fallMs": 1500.0,
   "fallMultiple": 2.5, "mustAskInMs": 10000.0},
 "kinds": ["fast-box"], "zones": ["tbilisi-dc"],
 "limits": {"cancel": true, "connIdleMs": 5000.0, "connectTimeoutMs": 250.0, "maxExecutions": 3, "maxRetryAfterMs": 2000.0,
   "mayDuplicate": false, "mayProbe": true, "retryAfter": true},
 "products": [
  {"name": "record-search", "agreedTimeMs": 200.0, "aimStretch": 2.0, "cutOffMs": 5000.0, "effect": "pure", "payoff": 3.0, "latePayoff": 0.5},
  {"name": "shelf-status", "agreedTimeMs": 200.0, "aimStretch": 2.0, "cutOffMs": 5000.0, "effect": "pure", "payoff": 1.0, "latePayoff": 0.25}],
 "report": {"fields": ["backlog", "outstanding", "throughput", "x0"], "how": "pull"},
 "tenants": [{"name": "state-universities", "quotaPerS": 60.0}, {"name": "national-library", "quotaPerS": 60.0}]}"#;

const EXECUTORS: usize = 16;
const NODES: usize = 6;
const RATE: f64 = 120.0;
const ROUNDS: usize = 8;
/// The length of an outage of discovery; the pages have 8 s, and some seconds.
const OUTAGE: Duration = Duration::from_secs(8);
/// The grace of the settings, 50 ms as for each limit on sockets, and 100 ms for these stand-ins.
const ALLOWED: Duration = ms(250 + 50 + 100);

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let executors = Executors::start(
        EXECUTORS,
        true,
        &record,
        "\"queue\":0,\"inflight\":0,\"qps\":4.0,\"x0\":4",
        |_, _| Treatment::Run(ms(150)),
    );
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, a)| Entry::new(&format!("s-{i}"), *a, "tbilisi-dc", "fast-box", i as u32 / 4)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-10");
    let known = discovery.known();
    let names = ["n1", "n2", "n3", "n4", "n5", "n6"];
    let start = |name: &&'static str| {
        Node::start(&NodeStart {
            root: &root,
            folder: &temp.0,
            name,
            address: free_address(),
            discovery: discovery.address,
            known: &known,
            settings: SETTINGS,
            memory_mb: 192,
            variables: &[],
        })
    };
    let mut nodes: Vec<Node> = names.iter().take(NODES).map(start).collect();
    if !nodes.iter_mut().all(|node| node.wait_until_ready(Duration::from_secs(30))) {
        record.write(&folder, &["a node did not become ready".into()]);
        drop((nodes, temp));
        std::process::exit(COULD_NOT_RUN);
    }
    let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
    let load = Load::start(&addresses, 60, RATE, &record, |random, id| Request {
        id,
        kind: if random.unit() < 0.5 { "record-search" } else { "shelf-status" },
        owner: if random.unit() < 0.5 { "state-universities" } else { "national-library" }.to_owned(),
        deadline_ms: 5000,
        key: None,
    });
    thread::sleep(Duration::from_secs(3));
    // For each executor that drains, from when on the nodes count as told.
    let mut told: Vec<(usize, Instant)> = Vec::new();
    for round in 0..ROUNDS {
        if with_trouble() {
            discovery.go_down();
        }
        thread::sleep(Duration::from_secs(3));
        let changed = discovery.set_status(round, "leaving");
        thread::sleep(OUTAGE - Duration::from_secs(3));
        // What discovery gets at its return counts at once. Without an outage the change was told when it was made.
        told.push((round, if with_trouble() { discovery.come_back() } else { changed }));
        thread::sleep(Duration::from_secs(4));
    }
    let answers = load.finish();
    let crashed = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    drop(temp);
    let received = executors.received.lock().unwrap().clone();
    let mut late = Vec::new();
    for (executor, told_at) in &told {
        let sends = received.iter().filter(|r| r.executor == *executor && r.first_byte > *told_at + ALLOWED);
        late.extend(sends.map(|r| format!("e{executor} {} {:.3} s after it was told", r.id, (r.first_byte - *told_at).as_secs_f64())));
    }
    let served = answers.iter().filter(|(_, answer)| answer.status == 200).count();
    let mut findings = vec![
        format!("requests: {}, served: {served}, executors that drained: {}", answers.len(), told.len()),
        format!("requests sent to a draining executor over 0.4 s after the nodes were told: {}", late.len()),
    ];
    findings.extend(late.iter().take(20).cloned());
    record.write(&folder, &findings);
    let code = if served < 1000 {
        COULD_NOT_RUN
    } else if !late.is_empty() || crashed {
        BROKEN
    } else {
        HELD
    };
    std::process::exit(code);
}
