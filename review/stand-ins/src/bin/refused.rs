//! The same change is proposed twice under one request, while what coordinators tell each other is late.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::executor::{start_discovery, Conduct, Group};
use review_stand_ins::link::{self, Delay};
use review_stand_ins::platform::{command, free_address, wait_until_ready, Process, Temporary};
use review_stand_ins::settings::{configuration, settings, variables, Keyed};
use review_stand_ins::{has_trouble, run_case, sleep_ms, Failure, Record, Verdict};

/// By how much each message between coordinators is late, each way: a third of `hold-ms`.
const LATE_MS: u64 = 250;
/// How long after the first command the second one is given.
const SECOND_AFTER_MS: u64 = 200;
const REQUEST: &str = "raise-excess-payoff";

fn main() {
    run_case(case);
}

/// Runs a command of `linestack fleet`, and returns its exit code.
fn fleet(record: &Record, coordinators: &str, words: &[&str]) -> Result<(i32, String), Failure> {
    record.write(&format!("operator: linestack fleet {}", words.join(" ")));
    let started = Instant::now();
    let all = [&["fleet", "--fleet", "cards", "--coordinators", coordinators], words].concat();
    let (code, text) = command(&all)?;
    let text = text.trim().replace('\n', " |");
    let took = started.elapsed().as_millis();
    record.write(&format!("operator is told, after {took} ms, with exit code {code}: {text}"));
    Ok((code, text))
}

fn case(record: &Arc<Record>) -> Result<Verdict, Failure> {
    let temporary = Temporary::create()?;
    let keyed = Keyed { scope: "cell", memory_span_ms: 7500, deadline_ms: 5000, copies_and_probes: true };
    let policy = temporary.write("policy.json", &settings(2, None, 0.2, &keyed))?;
    let newer = temporary.write("newer.json", &settings(2, None, 0.3, &keyed))?;
    let newer = newer.display().to_string();

    let delay: Delay = Arc::new(AtomicU64::new(0));
    let mut coordinators = Vec::new();
    for _ in 0..3 {
        coordinators.push(free_address()?);
    }
    let mut processes = Vec::new();
    for number in 0..3 {
        let mut peers = Vec::new();
        for (peer, address) in coordinators.iter().enumerate() {
            let way = if peer == number { Ok(*address) } else { link::start(*address, &delay) };
            peers.push(format!("\"{}\"", way.map_err(|e| e.to_string())?));
        }
        let folder = temporary.0.join(format!("c{number}"));
        let text = format!(
            "[coordinator]\nfleet = \"cards\"\nnumber = {number}\nlisten = \"{}\"\npeers = [{}]\nfolder = \"{}\"\n\
             first-policy = \"{}\"\nlease-ms = 3000\nhold-ms = 750\ndrift = 10\n",
            coordinators[number],
            peers.join(", "),
            folder.display(),
            policy.display()
        );
        let file = temporary.write(&format!("c{number}.toml"), &text)?;
        let log = temporary.0.join(format!("c{number}.log"));
        let words = format!("coordinate {} --first", file.display());
        processes.push(Process::start(&words, &[("PROXY_LOG", "info".into())], &log)?);
    }
    let plan = |_: &_| Conduct::Serve(Duration::from_millis(100));
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let group = Group::start(record, &names, None, Box::new(plan)).map_err(|e| e.to_string())?;
    let discovery = start_discovery(&group).map_err(|e| e.to_string())?;
    let listed: Vec<String> = coordinators.iter().map(|c| format!("\"{c}\"")).collect();
    let mut nodes = Vec::new();
    for name in ["n0", "n1"] {
        let node = free_address()?;
        let own = settings(2, Some(0), 0.2, &keyed);
        let config = temporary.write(&format!("{name}.json"), &configuration(name, node, discovery, &own))?;
        let text = format!(
            "[fleet]\nid = \"cards\"\nmember = \"{name}\"\ncoordinators = [{}]\nfolder = \"{}\"\nmode = \"strict\"\n",
            listed.join(", "),
            temporary.0.join(name).display()
        );
        let file = temporary.write(&format!("{name}.toml"), &text)?;
        let mut all = variables(name, node, discovery, &config);
        all.push(("PROXY_FLEET", file.display().to_string()));
        processes.push(Process::start("", &all, &temporary.0.join(format!("{name}.log")))?);
        nodes.push(node);
    }
    for node in &nodes {
        wait_until_ready(*node)?;
    }
    record.write("nodes: ready");
    let at: Vec<String> = coordinators.iter().map(ToString::to_string).collect();
    let at = at.join(",");
    if has_trouble() {
        record.write(&format!("network: messages between coordinators are {LATE_MS} ms late from now on"));
        delay.store(LATE_MS, Ordering::Relaxed);
    }
    sleep_ms(2000);
    if fleet(record, &at, &["status"])?.0 != 0 {
        return Err("no coordinator tells the status".into());
    }
    let propose = ["propose", &newer, "--base", "1", "--request", REQUEST, "--wait-ms", "15000"];
    let told = thread::scope(|scope| {
        let first = scope.spawn(|| fleet(record, &at, &propose));
        sleep_ms(SECOND_AFTER_MS);
        let second = scope.spawn(|| fleet(record, &at, &propose));
        [first, second].map(|told| told.join().unwrap_or(Err("an operator failed".into())))
    });
    let [first, second] = told;
    let codes = [first?.0, second?.0];
    let mut end = fleet(record, &at, &["outcome", REQUEST])?;
    for _ in 0..10 {
        if end.0 == 0 || end.0 == 4 {
            break;
        }
        sleep_ms(500);
        end = fleet(record, &at, &["outcome", REQUEST])?;
    }
    fleet(record, &at, &["status"])?;
    if end.0 != 0 {
        return Err("the change was not decided, so that nothing can be judged".into());
    }
    // 0: decided. 5: not known. Any other word says that the change has not taken hold.
    Ok(match codes.iter().find(|code| ![0, 5].contains(*code)) {
        Some(code) => Verdict::Broken(format!(
            "an operator was told with exit code {code} that request {REQUEST} was refused and put before nobody; \
             it was decided and holds at all nodes"
        )),
        None => Verdict::Held,
    })
}
