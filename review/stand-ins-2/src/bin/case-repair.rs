//! Case 6: `store repair` is killed, and the node then runs one-shots again that the damaged store still had.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::client::{get, Answer, Client, Request};
use review_stand_ins_2::coordinators::program;
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, unix_ms, with_trouble, Random, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `lahore-cards.toml`, for one node and eight card workers, in the names of the wire.
const SETTINGS: &str = include_str!("../lahore-cards.json");
const EXECUTORS: usize = 8;
const ORDERS: usize = 320;
const CLIENTS: usize = 12;
/// Bytes of a result; the longest body has 64 KiB.
const RESULT: usize = 48 * 1024;

/// What a client was told of an order.
struct Told {
    order: usize,
    answer: Answer,
}

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let executors = Executors::start(EXECUTORS, false, &record, "\"x0\":3,\"queue\":0,\"inflight\":0", |_, message| {
        // The ids of the orders under which the connection ends begin with an f.
        let breaks = message.header("req-id").is_some_and(|id| id.starts_with('f'));
        if breaks { Treatment::Break(ms(100)) } else { Treatment::RunWith(ms(100), RESULT) }
    });
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, a)| Entry::new(&format!("s-{i}"), *a, "gulberg", "type-a", i as u32 / 4)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-6");
    let code = play(&folder, &root, &record, &executors, &discovery, &temp).unwrap_or_else(|what| {
        record.write(&folder, &[what]);
        COULD_NOT_RUN
    });
    drop(temp);
    std::process::exit(code);
}

/// Runs `linestack store` with these words, and records its exit code and what it prints.
fn store_command(program: &Path, words: &[&str], store: &Path, record: &Record) -> bool {
    let output = Command::new(program).arg("store").args(words).arg(store).output().expect("linestack store");
    let text = [output.stdout, output.stderr].concat();
    record.add(format!("store {words:?}: exit code {:?}: {}", output.status.code(), String::from_utf8_lossy(&text).trim()));
    output.status.success()
}

/// Runs `store repair`, and kills it as soon as the new store's list of files is there. Returns whether it was killed.
fn killed_repair(program: &Path, store: &Path, record: &Record) -> bool {
    let mut command = Command::new(program);
    let mut repair = command.args(["store", "repair"]).arg(store).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("store repair");
    let begun = Instant::now();
    while !store.join("manifest").exists() && begun.elapsed() < Duration::from_secs(20) {
        if let Ok(Some(status)) = repair.try_wait() {
            record.add(format!("store repair ended before it was killed: {status}"));
            return false;
        }
        thread::sleep(Duration::from_micros(200));
    }
    let _ = repair.kill();
    let status = repair.wait().expect("store repair");
    record.add(format!("store repair was killed {} ms after its start: {status}", begun.elapsed().as_millis()));
    !status.success() && status.code().is_none()
}

fn play(
    folder: &Path,
    root: &Path,
    record: &Record,
    executors: &Executors,
    discovery: &Discovery,
    temp: &TempFolder,
) -> Result<i32, String> {
    let program = program(root);
    let (file, store) = (temp.0.join("store.toml"), temp.0.join("n1-store"));
    let text = format!(
        "[store]\nfolder = \"{}\"\nsame-by = \"idempotency-key\"\nremember-s = 3600\nbudget-mb = 256\nsync = \"group\"\n\
         when-failed = \"dismiss\"\n",
        store.display()
    );
    fs::write(&file, text).expect("store.toml");
    if !store_command(&program, &["init"], &store, record) {
        return Err("store init failed".into());
    }
    let variables = [("PROXY_STORE", file.display().to_string())];
    let (known, address) = (discovery.known(), free_address());
    let start = || {
        let mut node = Node::start(&NodeStart {
            root,
            folder: &temp.0,
            name: "n1",
            address,
            discovery: discovery.address,
            known: &known,
            settings: SETTINGS,
            memory_mb: 192,
            variables: &variables,
        });
        let ready = node.wait_until_ready(Duration::from_secs(30));
        ready.then_some(node).ok_or_else(|| {
            format!("the node did not become ready: {}", fs::read_to_string(temp.0.join("n1.log")).unwrap_or_default())
        })
    };
    let mut node = start()?;

    let mut random = Random(unix_ms());
    let keys: Vec<String> = (0..ORDERS).map(|_| format!("{:016x}{:016x}", random.next(), random.next())).collect();
    let ask_all = |moment: &str| -> Vec<Told> {
        let (next, told, seed) = (AtomicUsize::new(0), Mutex::new(Vec::new()), unix_ms());
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                let (next, told, keys) = (&next, &told, &keys);
                scope.spawn(move || {
                    let (mut random, mut client) = (Random(seed ^ (client as u64) << 48), Client::new(address));
                    loop {
                        let order = next.fetch_add(1, Ordering::SeqCst);
                        let Some(key) = keys.get(order) else { return };
                        // The first letter of an id says how the executor treats it.
                        let id = format!("{}{:015x}", if order % 8 == 7 { 'f' } else { 'a' }, random.next() >> 4);
                        record.add(format!("{moment}: order {order} is handed in with the key {key} as {id}"));
                        let request =
                            Request { id, kind: "redeem", owner: "sabz-bank".into(), deadline_ms: 4000, key: Some(key.clone()) };
                        let answer = client.send(&request, record);
                        told.lock().unwrap().push(Told { order, answer });
                        thread::sleep(ms(150));
                    }
                });
            }
        });
        told.into_inner().unwrap()
    };
    let count = |told: &[Told], status: u16| told.iter().filter(|t| t.answer.status == status).count();
    let executions = || {
        let mut executions: HashMap<String, usize> = HashMap::new();
        let received = executors.received.lock().unwrap();
        received.iter().filter(|r| r.begun).filter_map(|r| r.key.clone()).for_each(|key| *executions.entry(key).or_default() += 1);
        executions
    };
    let first = ask_all("at first");
    let begun = executions();
    // What was refused was never begun and isn't looked at further.
    if begun.len() < ORDERS / 2 {
        return Err(format!("too few orders were begun: {} of {ORDERS}", begun.len()));
    }

    record.add("the node is stopped by SIGTERM".into());
    node.signal("TERM");
    let stopped = Instant::now();
    while !node.has_ended() && stopped.elapsed() < Duration::from_secs(15) {
        thread::sleep(ms(20));
    }
    drop(node);
    record.add("the store is half copied: its file `manifest` is gone".into());
    fs::remove_file(store.join("manifest")).map_err(|e| format!("the manifest: {e}"))?;
    store_command(&program, &["verify"], &store, record);
    if with_trouble() && !killed_repair(&program, &store, record) {
        return Err("store repair could not be killed".into());
    }
    // Without the disruption this repairs the store; after it, this is the operator's second call.
    let repair = Instant::now();
    let repaired = store_command(&program, &["repair"], &store, record);
    record.add(format!("that took {} ms", repair.elapsed().as_millis()));
    store_command(&program, &["verify"], &store, record);

    let mut node = start()?;
    record.add(format!("GET /healthz: {:?}", get(address, "/healthz")));
    for key in keys.iter().take(4) {
        record.add(format!("GET /v1/submissions/{key}: {:?}", get(address, &format!("/v1/submissions/{key}")).map(|(status, _)| status)));
    }
    let second = ask_all("asked again");
    let crashed = node.has_ended();
    let log = fs::read_to_string(&node.log).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("store")) {
        record.add(format!("log: {line}"));
    }
    drop(node);

    let twice: Vec<(String, usize)> = executions().into_iter().filter(|(_, count)| *count > 1).collect();
    let other = second.iter().filter(|t| {
        let before = first.iter().find(|b| b.order == t.order).map(|b| &b.answer);
        t.answer.status == 200 && before.is_some_and(|b| b.status == 200 && b.body != t.answer.body)
    });
    let findings = vec![
        format!("orders that an executor began before the store was damaged: {}", begun.len()),
        format!("answers at first: 200 {}, 502 {}, 503 {}", count(&first, 200), count(&first, 502), count(&first, 503)),
        format!("the {} store repair succeeded: {repaired}", if with_trouble() { "second" } else { "only" }),
        format!("asked again: 200 {}, 502 {}, 503 {}", count(&second, 200), count(&second, 502), count(&second, 503)),
        format!("orders answered 200 that were answered 200 with another result before: {}", other.count()),
        format!("orders that executors began twice: {}", twice.len()),
    ];
    record.write(folder, &findings);
    Ok(if !twice.is_empty() || crashed { BROKEN } else { HELD })
}
