//! Case 10: a node that starts in stages is started again in an outage of discovery, after an executor began to drain.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::client::Request;
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::load::Load;
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, with_trouble, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `lahore-cards.toml`, for one node and eight card workers, in the names of the wire.
const SETTINGS: &str = include_str!("../lahore-cards.json");

/// The example `deploy/start.toml`, for one node.
const START: &str = "[start]\nnodes = 1\nconnects-per-s = 200\nlists-per-s = 50\nsessions-per-s = 50\nlist-fresh-ms = 2000\nlist-within-ms = 3000\nknown-within-ms = 3000\nshare-within-ms = 10000\n";

const EXECUTORS: usize = 8;
/// How many of them begin to drain: fewer than half.
const DRAINING: usize = 3;
const RATE: f64 = 22.0;
/// What discovery has counts as told this long after it had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The grace of the settings, 50 ms as for each limit on sockets, and 100 ms for these stand-ins.
const ALLOWED: Duration = ms(500 + 50 + 100);

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let executors = Executors::start(EXECUTORS, false, &record, "\"x0\":3,\"queue\":0,\"inflight\":0", |_, _| Treatment::Run(ms(300)));
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, a)| Entry::new(&format!("s-{i}"), *a, "gulberg", "type-a", i as u32 / 4)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-10");
    let start_file = temp.0.join("start.toml");
    fs::write(&start_file, START).expect("start.toml");
    let variables = [("PROXY_START", start_file.display().to_string())];
    // The list as the node last had it, before its restart.
    let known = discovery.known();
    let address = free_address();
    let start = || {
        Node::start(&NodeStart {
            root: &root,
            folder: &temp.0,
            name: "n1",
            address,
            discovery: discovery.address,
            known: &known,
            settings: SETTINGS,
            memory_mb: 192,
            variables: &variables,
        })
    };
    let mut node = start();
    if !node.wait_until_ready(Duration::from_secs(30)) {
        record.write(&folder, &["the node did not become ready".into()]);
        drop((node, temp));
        std::process::exit(COULD_NOT_RUN);
    }
    let load = Load::start(&[address], 20, RATE, &record, |random, id| {
        let redeem = random.unit() < 0.66;
        Request {
            id,
            kind: if redeem { "redeem" } else { "load" },
            owner: if random.unit() < 0.6 { "sabz-bank" } else { "ravi-bank" }.to_owned(),
            deadline_ms: if redeem { 8000 } else { 5000 },
            key: (!redeem).then(|| format!("{:016x}{:016x}", random.next(), random.next())),
        }
    });
    thread::sleep(Duration::from_secs(5));
    record.add("the node is killed".into());
    node.kill();
    // While the node is down, nearly half of the executors begin to drain. Discovery has that, and can be reached for 5 s more.
    let mut told: Vec<(usize, Instant)> = Vec::new();
    for executor in 0..DRAINING {
        told.push((executor, discovery.set_status(executor, "leaving") + TOLD_AFTER));
    }
    thread::sleep(Duration::from_secs(5));
    if with_trouble() {
        discovery.go_down();
    }
    record.add("the node is started again".into());
    drop(node);
    let mut node = start();
    thread::sleep(Duration::from_secs(20));
    if with_trouble() {
        discovery.come_back();
    }
    thread::sleep(Duration::from_secs(4));
    let answers = load.finish();
    let crashed = node.has_ended();
    drop(node);
    drop(temp);
    let received = executors.received.lock().unwrap().clone();
    let mut late = Vec::new();
    for (executor, told_at) in &told {
        let sends = received.iter().filter(|r| r.executor == *executor && r.first_byte > *told_at + ALLOWED);
        late.extend(sends.map(|r| format!("e{executor} {} {:.3} s after it counts as told", r.id, (r.first_byte - *told_at).as_secs_f64())));
    }
    let served = answers.iter().filter(|(_, answer)| answer.status == 200).count();
    let mut findings = vec![
        format!("requests: {}, served: {served}, executors that drained: {}", answers.len(), told.len()),
        format!("requests sent to a draining executor over 0.65 s after the change counts as told: {}", late.len()),
    ];
    findings.extend(late.iter().take(20).cloned());
    record.write(&folder, &findings);
    let code = if served < 50 {
        COULD_NOT_RUN
    } else if !late.is_empty() || crashed {
        BROKEN
    } else {
        HELD
    };
    std::process::exit(code);
}
