//! A one-shot that was turned away, whose node's store is then restored from a copy and adopted.

use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_stand_ins::executor::{start_discovery, Conduct, Group};
use review_stand_ins::http::{get, submit, Request};
use review_stand_ins::platform::{
    command, copy_folder, free_address, wait_until_ready, Process, Temporary,
};
use review_stand_ins::settings::{configuration, settings, variables, Keyed};
use review_stand_ins::{has_trouble, run_case, sleep_ms, Failure, Record, Verdict};

/// How long a job runs.
const WORK: Duration = Duration::from_millis(600);
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

fn main() {
    run_case(case);
}

/// Runs a command of the store, which must succeed.
fn store(record: &Record, words: &[&str]) -> Result<(), Failure> {
    let (code, text) = command(&[&["store"], words].concat())?;
    record.write(&format!("linestack store {}: {}", words[0], text.trim()));
    if code == 0 { Ok(()) } else { Err(format!("store {words:?}: exit code {code}")) }
}

fn case(record: &Arc<Record>) -> Result<Verdict, Failure> {
    let temporary = Temporary::create()?;
    let full = Arc::new(AtomicBool::new(false));
    let is_full = Arc::clone(&full);
    let plan = move |_: &_| {
        if is_full.load(Ordering::Relaxed) { Conduct::TurnAway } else { Conduct::Serve(WORK) }
    };
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let group = Group::start(record, &names, None, Box::new(plan)).map_err(|e| e.to_string())?;
    let discovery = start_discovery(&group).map_err(|e| e.to_string())?;
    let node = free_address()?;
    let keyed = Keyed { scope: "cell", memory_span_ms: 7500, deadline_ms: 5000, copies_and_probes: true };
    let config =
        temporary.write("node.json", &configuration("n0", node, discovery, &settings(1, Some(0), 0.2, &keyed)))?;
    let (folder, copy) = (temporary.0.join("store"), temporary.0.join("copy"));
    let folder_text = folder.display().to_string();
    let store_file = temporary.write(
        "store.toml",
        &format!("[store]\nfolder = \"{folder_text}\"\nsame-by = \"idempotency-key\"\nremember-s = 3600\n"),
    )?;
    let log = temporary.0.join("node.log");
    let start_node = || {
        let mut all = variables("n0", node, discovery, &config);
        all.push(("PROXY_STORE", store_file.display().to_string()));
        let process = Process::start("", &all, Path::new(&log))?;
        wait_until_ready(node)?;
        record.write("node: ready");
        Ok::<_, Failure>(process)
    };
    let ask = |id: &str, key: &str| {
        submit(record, node, &Request { id, kind: "redeem", owner: "sabz-bank", key, deadline_ms: 8000, body_bytes: 212 })
    };

    store(record, &["init", &folder_text])?;
    let mut process = start_node()?;
    for (id, key) in [("0000000000000001", "00000000000000000000000000000001"), ("0000000000000002", "00000000000000000000000000000002")] {
        if !matches!(ask(id, key), Ok((200, _))) {
            return Err("a job without trouble was not served".into());
        }
    }

    record.write("all executors are full for a moment");
    full.store(true, Ordering::Relaxed);
    let first = ask("aaaaaaaaaaaaaaa1", KEY);
    full.store(false, Ordering::Relaxed);
    if !matches!(first, Ok((429 | 503, _))) {
        return Err("the first request was not refused".into());
    }

    record.write("platform: planned restart, and a copy of the node's folder while it is down");
    process.signal("TERM");
    if process.wait(Duration::from_secs(8))? != Some(0) {
        return Err("the node did not end with 0 after SIGTERM".into());
    }
    copy_folder(&folder, &copy)?;
    let mut process = start_node()?;

    // The client asks again, as it may after a refusal.
    let answered = thread::scope(|scope| {
        let asking = scope.spawn(|| ask("aaaaaaaaaaaaaaa2", KEY));
        if has_trouble() {
            sleep_ms(300);
            record.write("platform: the node is killed, and its folder is lost");
            process.kill();
        }
        asking.join().unwrap_or(Err("the client failed".into()))
    });
    if has_trouble() {
        if answered.is_ok() || group.runs(KEY).len() != 1 {
            return Err("the node was not killed while the job ran".into());
        }
        fs::remove_dir_all(&folder).map_err(|e| e.to_string())?;
        record.write("operator: restores the folder from the copy, and adopts it");
        copy_folder(&copy, &folder)?;
        store(record, &["adopt", &folder_text])?;
        process = start_node()?;
        if let Ok((_, text)) = get(node, "/healthz") {
            record.write(&format!("node: /healthz tells {:?}", text.trim()));
        }
        if let Ok((status, text)) = get(node, &format!("/v1/submissions/{KEY}")) {
            record.write(&format!("node: /v1/submissions/{KEY} tells {status} {:?}", text.trim()));
        }
    }
    // The client has no answer, or has lost it, and asks the same node again within its own deadline.
    let _ = ask("aaaaaaaaaaaaaaa3", KEY);
    process.kill();
    let runs = group.runs(KEY);
    record.write(&format!("the one-shot with key {KEY} was begun {} times", runs.len()));
    Ok(if runs.len() > 1 {
        let gap = (runs[1].at - runs[0].at).as_secs_f64();
        Verdict::Broken(format!(
            "a one-shot ran at {} and, {gap:.2} s later, at {}",
            runs[0].executor, runs[1].executor
        ))
    } else {
        Verdict::Held
    })
}
