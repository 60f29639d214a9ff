//! Case 7: two tenants number their orders alike, and one is given the other's result.

use std::fs;
use std::process::Command;
use std::thread;
use std::time::Duration;

use review_stand_ins_2::client::{Client, Request};
use review_stand_ins_2::coordinators::program;
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, unix_ms, with_trouble, Random, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `lahore-cards.toml`, for one node and four card workers, in the names of the wire.
const SETTINGS: &str = include_str!("../lahore-cards.json");
const EXECUTORS: usize = 4;
const ORDERS: usize = 10;

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let executors =
        Executors::start(EXECUTORS, false, &record, "\"x0\":3,\"queue\":0,\"inflight\":0", |_, _| Treatment::Run(ms(150)));
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, a)| Entry::new(&format!("s-{i}"), *a, "gulberg", "type-a", i as u32 / 4)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-7");
    let store = temp.0.join("store.toml");
    let text = format!(
        "[store]\nfolder = \"{}\"\nsame-by = \"idempotency-key\"\nremember-s = 3600\nbudget-mb = 256\nsync = \"group\"\n\
         when-failed = \"dismiss\"\n",
        temp.0.join("n1-store").display()
    );
    fs::write(&store, text).expect("store.toml");
    let made = Command::new(program(&root)).args(["store", "init"]).arg(temp.0.join("n1-store")).output().expect("store init");
    let address = free_address();
    let mut node = Node::start(&NodeStart {
        root: &root,
        folder: &temp.0,
        name: "n1",
        address,
        discovery: discovery.address,
        known: &discovery.known(),
        settings: SETTINGS,
        memory_mb: 192,
        variables: &[("PROXY_STORE", store.display().to_string())],
    });
    if !made.status.success() || !node.wait_until_ready(Duration::from_secs(30)) {
        record.write(&folder, &["the node did not become ready".into()]);
        drop((node, temp));
        std::process::exit(COULD_NOT_RUN);
    }
    let mut random = Random(unix_ms());
    // What each tenant was told of its orders: the tenant, the order, the id of its request, the status and the result.
    let mut told = Vec::new();
    for tenant in ["sabz-bank", "ravi-bank"] {
        let mut client = Client::new(address);
        for order in 0..ORDERS {
            let id = format!("{:016x}", random.next());
            // Each tenant keeps the number of its order as the key of the order.
            let series = if with_trouble() { "order".to_owned() } else { format!("{tenant}-order") };
            let key = format!("{series}-2026-12-{:04}", order + 1);
            record.add(format!("{tenant} hands in its order {} with the key {key} as {id}", order + 1));
            let request = Request { id: id.clone(), kind: "redeem", owner: tenant.into(), deadline_ms: 4000, key: Some(key) };
            let answer = client.send(&request, &record);
            told.push((tenant, order + 1, id, answer.status, answer.body));
            thread::sleep(ms(100));
        }
    }
    let crashed = node.has_ended();
    drop(node);
    drop(temp);
    let received = executors.received.lock().unwrap().clone();
    let served = told.iter().filter(|(_, _, _, status, _)| *status == 200).count();
    // The executors' results name the request that they were made for.
    let foreign: Vec<String> = told
        .iter()
        .filter(|(_, _, id, status, result)| *status == 200 && !result.contains(id.as_str()))
        .map(|(tenant, order, id, _, result)| {
            let run = received.iter().any(|r| r.id == *id);
            format!("{tenant}'s order {order} ({id}) was answered 200 with \"{result}\"; sent to an executor: {run}")
        })
        .collect();
    let mut findings = vec![
        format!("orders: {}, answered 200: {served}, executions: {}", told.len(), received.len()),
        format!("answers 200 that hold the result of another tenant's order: {}", foreign.len()),
    ];
    findings.extend(foreign.iter().cloned());
    record.write(&folder, &findings);
    let code = if !foreign.is_empty() || crashed {
        BROKEN
    } else if served < told.len() / 2 {
        COULD_NOT_RUN
    } else {
        HELD
    };
    std::process::exit(code);
}
