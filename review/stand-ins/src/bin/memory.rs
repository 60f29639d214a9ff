//! One-shots with large bodies come to a node with a store, until it has more memory than it may have.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::executor::{start_discovery, Conduct, Group};
use review_stand_ins::http::{submit, Request};
use review_stand_ins::platform::{command, free_address, wait_until_ready, Process, Temporary};
use review_stand_ins::settings::{configuration, settings, variables, Keyed};
use review_stand_ins::{has_trouble, run_case, sleep_ms, Failure, Record, Verdict};

/// The limit in the node's configuration, `limits.memory_mb`.
const MEMORY_MB: u64 = 192;
/// The time between two requests of all clients together: 45 a second.
const GAP: Duration = Duration::from_micros(22_222);
/// How long clients come.
const SPAN: Duration = Duration::from_secs(88);
/// The length of a body: near the 64 KiB that a body may have, or that of the example in the protocol page.
const LARGE_BODY: usize = 60 * 1024;
const SMALL_BODY: usize = 212;

fn main() {
    run_case(case);
}

fn case(record: &Arc<Record>) -> Result<Verdict, Failure> {
    let temporary = Temporary::create()?;
    let plan = |_: &_| Conduct::Serve(Duration::from_millis(150));
    let names = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8"];
    let group = Group::start(record, &names, None, Box::new(plan)).map_err(|e| e.to_string())?;
    let discovery = start_discovery(&group).map_err(|e| e.to_string())?;
    let node = free_address()?;
    let keyed = Keyed { scope: "cell", memory_span_ms: 7500, deadline_ms: 5000, copies_and_probes: true };
    let config =
        temporary.write("node.json", &configuration("n0", node, discovery, &settings(1, Some(0), 0.2, &keyed)))?;
    // deploy/store.toml, in a folder of its own.
    let folder = temporary.0.join("store").display().to_string();
    let store = temporary.write(
        "store.toml",
        &format!(
            "[store]\nfolder = \"{folder}\"\nsame-by = \"idempotency-key\"\nremember-s = 3600\nbudget-mb = 256\n\
             sync = \"group\"\nwhen-failed = \"dismiss\"\n"
        ),
    )?;
    if command(&["store", "init", &folder])?.0 != 0 {
        return Err("the store was not created".into());
    }
    let mut all = variables("n0", node, discovery, &config);
    all.push(("PROXY_STORE", store.display().to_string()));
    let mut process = Process::start("", &all, &temporary.0.join("node.log"))?;
    wait_until_ready(node)?;
    record.write(&format!("node: ready, {} KiB of memory of its own", process.memory_kib()));

    let body_bytes = if has_trouble() { LARGE_BODY } else { SMALL_BODY };
    record.write(&format!("clients send a one-shot each {} us, with a body of {body_bytes} bytes", GAP.as_micros()));
    let over = AtomicBool::new(false);
    let [asked, served, other, without_answer] = [const { AtomicU64::new(0) }; 4];
    let mut peak = 0;
    thread::scope(|scope| {
        let started = Instant::now();
        let mut number: u32 = 0;
        let mut told = 0;
        while started.elapsed() < SPAN && !over.load(Ordering::Relaxed) {
            thread::sleep((started + GAP * number).saturating_duration_since(Instant::now()));
            number += 1;
            let counts = (&asked, &served, &other, &without_answer);
            scope.spawn(move || {
                let (asked, served, other, without_answer) = counts;
                let (id, key) = (format!("{number:016x}"), format!("{number:032x}"));
                let request =
                    Request { id: &id, kind: "redeem", owner: "sabz-bank", key: &key, deadline_ms: 8000, body_bytes };
                asked.fetch_add(1, Ordering::Relaxed);
                let count = match submit(record, node, &request) {
                    Ok((200, _)) => served,
                    Ok(_) => other,
                    Err(_) => without_answer,
                };
                count.fetch_add(1, Ordering::Relaxed);
            });
            let memory = process.memory_kib();
            peak = peak.max(memory);
            if started.elapsed().as_secs() / 5 > told {
                told = started.elapsed().as_secs() / 5;
                record.write(&format!("node: {memory} KiB after {number} one-shots"));
            }
            if memory > MEMORY_MB * 1024 {
                record.write(&format!("platform: {memory} KiB is over {MEMORY_MB} MB after {number} one-shots: kills the node"));
                over.store(true, Ordering::Relaxed);
                process.kill();
            }
        }
        if !over.load(Ordering::Relaxed) {
            sleep_ms(1000);
        }
    });
    let [asked, served, other, without_answer] =
        [asked, served, other, without_answer].map(|count| count.load(Ordering::Relaxed));
    record.write(&format!("asked {asked}, served {served}, answered otherwise {other}, without an answer {without_answer}"));
    record.write(&format!("peak memory of its own: {peak} KiB"));
    if served < asked / 2 {
        return Err("most requests were not served".into());
    }
    Ok(if over.load(Ordering::Relaxed) {
        Verdict::Broken(format!(
            "the node went over {MEMORY_MB} MB after {asked} one-shots, which are remembered by {} KB of keys, and was killed \
             with {without_answer} requests in hand",
            asked * 32 / 1000
        ))
    } else {
        Verdict::Held
    })
}
