//! Case 10: lists are asked for; all watches fall silent, discovery is slow, and executors begin to drain right after.

use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::client::Request;
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::load::Load;
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, with_trouble, Record, BROKEN, COULD_NOT_RUN, HELD};

const SETTINGS: &str = include_str!("../lahore-cards.json");
const EXECUTORS: usize = 10;
const NODES: usize = 3;
const RATE: f64 = 40.0;
const ROUNDS: usize = 4;
/// How long discovery works on a call; a call that waits for over 3 s fails.
const SLOW: Duration = ms(2500);
/// What a watch that fell silent misses counts as told after this.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The grace of the settings, 50 ms as for each limit on sockets, and 100 ms for these stand-ins.
const ALLOWED: Duration = ms(500 + 50 + 100);

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let executors = Executors::start(EXECUTORS + 1, false, &record, "\"x0\":3,\"queue\":0,\"inflight\":0", |_, _| Treatment::Run(ms(200)));
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, a)| Entry::new(&format!("s-{i}"), *a, "gulberg", "type-a", i as u32 / 4)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-10");
    let known = discovery.known();
    let settings = SETTINGS.replace("\"balancers\": 1", "\"balancers\": 3");
    let start = |name: &&'static str| {
        Node::start(&NodeStart {
            root: &root,
            folder: &temp.0,
            name,
            address: free_address(),
            discovery: discovery.address,
            known: &known,
            settings: &settings,
            memory_mb: 192,
            variables: &[],
        })
    };
    let mut nodes: Vec<Node> = ["n1", "n2", "n3"].iter().take(NODES).map(start).collect();
    if !nodes.iter_mut().all(|node| node.wait_until_ready(Duration::from_secs(30))) {
        record.write(&folder, &["a node did not become ready".into()]);
        drop((nodes, temp));
        std::process::exit(COULD_NOT_RUN);
    }
    let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
    let load = Load::start(&addresses, 30, RATE, &record, |random, id| {
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
    // The executors that drain, from when on that counts as told, and until when they drain.
    let mut told: Vec<(usize, Instant, Instant)> = Vec::new();
    for round in 0..ROUNDS {
        // Another executor has just changed, so discovery has just written to the watches.
        discovery.set_status(EXECUTORS, if round % 2 == 0 { "leaving" } else { "active" });
        thread::sleep(ms(20));
        let silent_at = if with_trouble() {
            discovery.answer_after(SLOW);
            discovery.silence_watches()
        } else {
            Instant::now()
        };
        thread::sleep(ms(300));
        // Four of ten executors begin to drain.
        let drained: Vec<usize> = (0..4).map(|i| (round * 4 + i) % EXECUTORS).collect();
        for executor in &drained {
            discovery.set_status(*executor, "leaving");
        }
        thread::sleep(Duration::from_secs(16));
        let until = Instant::now();
        told.extend(drained.iter().map(|executor| (*executor, silent_at + TOLD_AFTER, until)));
        for executor in &drained {
            discovery.set_status(*executor, "active");
        }
        discovery.answer_after(Duration::ZERO);
        thread::sleep(Duration::from_secs(6));
    }
    let answers = load.finish();
    let crashed = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    drop(temp);
    let received = executors.received.lock().unwrap().clone();
    let mut late = Vec::new();
    for (executor, told_at, until) in &told {
        let sends = received.iter();
        let sends = sends.filter(|r| r.executor == *executor && r.first_byte > *told_at + ALLOWED && r.first_byte < *until);
        late.extend(sends.map(|r| format!("e{executor} {} {:.3} s after it counts as told", r.id, (r.first_byte - *told_at).as_secs_f64())));
    }
    let served = answers.iter().filter(|(_, answer)| answer.status == 200).count();
    let mut findings = vec![
        format!("requests: {}, served: {served}, drains: {}", answers.len(), told.len()),
        format!("requests sent to a draining executor over 0.65 s after the change counts as told: {}", late.len()),
    ];
    findings.extend(late.iter().take(20).cloned());
    record.write(&folder, &findings);
    let code = if served < 500 {
        COULD_NOT_RUN
    } else if !late.is_empty() || crashed {
        BROKEN
    } else {
        HELD
    };
    std::process::exit(code);
}
