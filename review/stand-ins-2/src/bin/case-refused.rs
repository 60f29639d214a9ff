//! Case 10: a node that has lost its leave refuses one-shots that it knows to have run.

use std::collections::HashSet;
use std::fs;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::client::{get, is_ready, Client, Request};
use review_stand_ins_2::coordinators::{program, Coordinator};
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, unix_ms, with_trouble, Random, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `lahore-cards.toml`, for one node and four card workers, in the names of the wire.
const SETTINGS: &str = include_str!("../lahore-cards.json");
const EXECUTORS: usize = 4;
/// How many one-shots are handed in; under every other one the executor ends the connection.
const ORDERS: usize = 12;
/// After the majority of the coordinators is killed: a lease lasts 3 s.
const FENCED_AFTER: Duration = Duration::from_secs(5);

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let executors = Executors::start(EXECUTORS, false, &record, "\"x0\":3,\"queue\":0,\"inflight\":0", |_, message| {
        // The ids of the orders under which the connection ends begin with an f.
        let breaks = message.header("req-id").is_some_and(|id| id.starts_with('f'));
        if breaks { Treatment::Break(ms(150)) } else { Treatment::Run(ms(150)) }
    });
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, a)| Entry::new(&format!("s-{i}"), *a, "gulberg", "type-a", i as u32 / 4)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-10");
    let could_not_run = |what: &str| {
        record.write(&folder, &[what.to_owned()]);
        COULD_NOT_RUN
    };
    let code = play(&folder, &root, &record, &executors, &discovery, &temp).unwrap_or_else(|what| could_not_run(&what));
    drop(temp);
    std::process::exit(code);
}

fn play(
    folder: &std::path::Path,
    root: &std::path::Path,
    record: &Record,
    executors: &Executors,
    discovery: &Discovery,
    temp: &TempFolder,
) -> Result<i32, String> {
    let program = program(root);
    fs::write(temp.0.join("policy.json"), SETTINGS.replace("\"az\": 0, ", "")).expect("policy.json");
    let addresses: Vec<_> = (0..3).map(|_| free_address()).collect();
    let mut coordinators: Vec<Coordinator> =
        (0..3).map(|number| Coordinator::new(&temp.0, number, addresses[number], &addresses)).collect();
    coordinators.iter_mut().for_each(|c| c.start(&program, true));
    coordinators.iter().for_each(Coordinator::wait_until_started);

    let (fleet, store) = (temp.0.join("fleet.toml"), temp.0.join("store.toml"));
    let names: Vec<String> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    let text = format!(
        "[fleet]\nid = \"review\"\nmember = \"n1\"\ncoordinators = [{}]\nfolder = \"{}\"\nmode = \"strict\"\n",
        names.join(", "),
        temp.0.join("n1").display()
    );
    fs::write(&fleet, text).expect("fleet.toml");
    let text = format!(
        "[store]\nfolder = \"{}\"\nsame-by = \"idempotency-key\"\nremember-s = 3600\nbudget-mb = 256\nsync = \"group\"\n\
         when-failed = \"dismiss\"\n",
        temp.0.join("n1-store").display()
    );
    fs::write(&store, text).expect("store.toml");
    let made = Command::new(&program).args(["store", "init"]).arg(temp.0.join("n1-store")).output().expect("store init");
    if !made.status.success() {
        return Err(format!("store init: {}", String::from_utf8_lossy(&made.stderr)));
    }
    let variables = [("PROXY_FLEET", fleet.display().to_string()), ("PROXY_STORE", store.display().to_string())];
    let known = discovery.known();
    let address = free_address();
    let start = || {
        Node::start(&NodeStart {
            root,
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
        let log = fs::read_to_string(&node.log).unwrap_or_default();
        return Err(format!("the node did not become ready: {log}"));
    }

    let mut random = Random(unix_ms());
    // The first letter of an id says how the executor treats it; the key is kept when the client asks again.
    let keys: Vec<String> = (0..ORDERS).map(|_| format!("{:016x}{:016x}", random.next(), random.next())).collect();
    let ask_all = |random: &mut Random, moment: &str| -> Vec<u16> {
        let mut client = Client::new(address);
        let answers = keys.iter().enumerate().map(|(order, key)| {
            let id = format!("{}{:015x}", if order % 2 == 0 { 'a' } else { 'f' }, random.next() >> 4);
            record.add(format!("{moment}: order {order} is handed in with the key {key} as {id}"));
            let request = Request { id, kind: "redeem", owner: "sabz-bank".into(), deadline_ms: 4000, key: Some(key.clone()) };
            let status = client.send(&request, record).status;
            thread::sleep(ms(100));
            status
        });
        answers.collect()
    };
    let first = ask_all(&mut random, "at first");
    let begun: HashSet<String> = executors.received.lock().unwrap().iter().filter(|r| r.begun).filter_map(|r| r.key.clone()).collect();
    if begun.len() < ORDERS || first.iter().any(|status| *status != 200 && *status != 502) {
        return Err(format!("not all orders were begun: {} of {ORDERS}; answers {first:?}", begun.len()));
    }
    // A planned restart, with and without the disruption.
    record.add("the node is stopped by SIGTERM and started again".into());
    node.signal("TERM");
    let stopped = Instant::now();
    while !node.has_ended() && stopped.elapsed() < Duration::from_secs(15) {
        thread::sleep(ms(20));
    }
    drop(node);
    let mut node = start();
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return Err("the node did not become ready again".into());
    }
    let second = ask_all(&mut random, "asked again after the restart");
    if with_trouble() {
        record.add("two of the three coordinators are killed".into());
        coordinators[0].kill();
        coordinators[1].kill();
    }
    thread::sleep(FENCED_AFTER);
    record.add(format!("healthz is 200: {}", is_ready(address)));
    let third = ask_all(&mut random, "asked once more");
    let mut tells = Vec::new();
    for key in &keys {
        let told = get(address, &format!("/v1/submissions/{key}"));
        record.add(format!("GET /v1/submissions/{key}: {told:?}"));
        tells.push(told.map_or(String::new(), |(_, text)| text));
    }
    if with_trouble() {
        record.add("the two coordinators are started again".into());
        coordinators[..2].iter_mut().for_each(|c| c.start(&program, false));
        let start = Instant::now();
        while !is_ready(address) && start.elapsed() < Duration::from_secs(20) {
            thread::sleep(ms(50));
        }
    }
    let fourth = ask_all(&mut random, "asked in the end");
    let crashed = node.has_ended();
    drop(node);
    let executions = executors.received.lock().unwrap().iter().filter(|r| r.begun).count();
    let refused = [&second, &third, &fourth].iter().flat_map(|answers| answers.iter()).filter(|s| [429, 503].contains(*s)).count();
    let mut findings = vec![
        format!("orders that an executor had begun: {}, executions in all: {executions}", begun.len()),
        format!("answers at first {first:?}"),
        format!("asked again after the restart {second:?}"),
        format!("asked once more, {} {third:?}", if with_trouble() { "without a majority of the coordinators" } else { "undisturbed" }),
        format!("asked in the end {fourth:?}"),
        format!("refusals (429, 503) of orders that had been begun: {refused}"),
    ];
    for (order, (status, told)) in third.iter().zip(&tells).enumerate().filter(|(_, (status, _))| **status == 503).take(2) {
        findings.push(format!("order {order} was answered {status} while GET /v1/submissions told: {told}"));
    }
    record.write(folder, &findings);
    Ok(if refused > 0 || crashed { BROKEN } else { HELD })
}
