//! A keyed request whose repeat waits for its connection while the node starts in stages.

use std::sync::Arc;
use std::time::Duration;

use review_stand_ins::executor::{start_discovery, Conduct, Group, Job};
use review_stand_ins::http::{submit, Request};
use review_stand_ins::platform::{free_address, wait_until_ready, Process, Temporary};
use review_stand_ins::settings::{configuration, settings, variables, Keyed};
use review_stand_ins::{has_trouble, run_case, sleep_ms, Failure, Record, Verdict};

/// For how long executors drop a repeat, counted from the first attempt.
const MEMORY_SPAN_MS: u64 = 1000;
/// What the protocol page adds to each time limit on sockets, and what the stand-ins may take.
const SLACK_MS: u64 = 50 + 50;
/// After how long the connection breaks under the first job.
const BREAK_MS: u64 = 700;
const KEY: &str = "7d1a3c5e9f2b4d6880a1b2c3d4e5f607";

fn main() {
    run_case(case);
}

fn case(record: &Arc<Record>) -> Result<Verdict, Failure> {
    let temporary = Temporary::create()?;
    let plan = |job: &Job| match (job.key.as_str(), job.earlier) {
        (KEY, 0) if has_trouble() => Conduct::BreakAfter(Duration::from_millis(BREAK_MS)),
        (KEY, 0) => Conduct::Serve(Duration::from_millis(BREAK_MS)),
        _ => Conduct::Serve(Duration::from_millis(100)),
    };
    let names = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"];
    let span = Duration::from_millis(MEMORY_SPAN_MS);
    let group = Group::start(record, &names, Some(span), Box::new(plan)).map_err(|e| e.to_string())?;
    let discovery = start_discovery(&group).map_err(|e| e.to_string())?;
    let node = free_address()?;
    let keyed = Keyed { scope: "cell", memory_span_ms: MEMORY_SPAN_MS, deadline_ms: 4000, copies_and_probes: false };
    let settings = settings(10, Some(0), 0.2, &keyed);
    let config = temporary.write("node.json", &configuration("n0", node, discovery, &settings))?;
    // deploy/start.toml, with a lower rate of connections.
    let start = temporary.write(
        "start.toml",
        "[start]\nnodes = 10\nconnects-per-s = 8\nlists-per-s = 50\nsessions-per-s = 50\nlist-fresh-ms = 2000\n\
         list-within-ms = 3000\nknown-within-ms = 3000\nshare-within-ms = 10000\n",
    )?;
    let mut all = variables("n0", node, discovery, &config);
    all.push(("PROXY_START", start.display().to_string()));
    let mut process = Process::start("", &all, &temporary.0.join("node.log"))?;
    wait_until_ready(node)?;
    record.write("node: ready");
    // By now the node's first turn to connect has come, which is drawn from the first gap between its turns.
    sleep_ms(1300);
    let mut answer = Err("not asked".to_owned());
    for try_number in 1..=5 {
        let id = format!("bbbbbbbbbbbbbb{try_number:02}");
        let request = Request { id: &id, kind: "load", owner: "sabz-bank", key: KEY, deadline_ms: 4000, body_bytes: 212 };
        answer = submit(record, node, &request);
        if !matches!(answer, Ok((429 | 503, _))) || !group.runs(KEY).is_empty() {
            break;
        }
        // Refused while the node starts, and so it never ran: the client asks again.
        sleep_ms(100);
    }
    process.kill();
    let runs = group.runs(KEY);
    record.write(&format!("the keyed request was applied {} times", runs.len()));
    if runs.is_empty() || (!has_trouble() && !matches!(answer, Ok((200, _)))) {
        return Err("the request did not reach an executor, or was not served without trouble".into());
    }
    let late = runs.iter().skip(1).map(|run| (run.at - runs[0].at).as_millis() as u64);
    Ok(match late.max().filter(|late| *late > MEMORY_SPAN_MS + SLACK_MS) {
        Some(late) => Verdict::Broken(format!(
            "a keyed request that may have run was sent again {late} ms after its first attempt, and applied twice; \
             executors remember it for {MEMORY_SPAN_MS} ms"
        )),
        None => Verdict::Held,
    })
}
