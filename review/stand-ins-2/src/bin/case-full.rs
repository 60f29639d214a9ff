//! Case 6: executors answer `full` for one-shot work that they had begun, where the settings state that `full` is no proof.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::client::{Answer, Client, Request};
use review_stand_ins_2::discovery::{Discovery, Entry};
use review_stand_ins_2::executor::{Executors, Treatment};
use review_stand_ins_2::node::{root, Node, NodeStart, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, with_trouble, Random, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `dublin-booking.toml`, for two nodes and six booking workers, in the names of the wire.
const SETTINGS: &str = r#"{
 "az": 0, "balancers": 2, "discovery": "on_request", "excessPayoff": 0.2, "payoffBasis": "work", "weights": "silent",
 "deductions": {"crossZone": 0.0099, "handshake": 0.05, "probe": 0.0019, "waste": 0.2, "lateFail": 0.036},
 "familyInfo": {"classKind": [-1, -1], "classStretch": [2.0, 2.0], "progressMs": 0.0, "reportX0": "free slots", "tellsStart": true},
 "invariants": {"answerSlackMs": 16.0, "coldFrom": 0.14, "coldMs": 20000.0, "drainGraceMs": 200.0, "fallMs": 2000.0,
   "fallMultiple": 1.5, "mustAskInMs": 10000.0, "shedAfterStart": true},
 "kinds": ["mid-box"], "zones": ["dublin-dc"],
 "limits": {"cancel": true, "connIdleMs": 15000.0, "connectTimeoutMs": 250.0, "maxExecutions": 2, "maxRetryAfterMs": 2000.0,
   "mayDuplicate": true, "mayProbe": true, "retryAfter": true},
 "products": [
  {"name": "slot-hold", "agreedTimeMs": 400.0, "aimStretch": 2.0, "cutOffMs": 6000.0, "dedupScope": "all", "effect": "token",
   "memorySpanMs": 10000.0, "payoff": 2.0, "latePayoff": 0.5},
  {"name": "slot-confirm", "agreedTimeMs": 250.0, "aimStretch": 2.0, "cutOffMs": 5000.0, "effect": "side_effect", "payoff": 3.0,
   "latePayoff": 0.25}],
 "report": {"fields": ["errors_per_s", "backlog", "x0"], "how": "piggyback"},
 "tenants": [{"name": "dublin-centre", "quotaPerS": 12.0}, {"name": "cork-centre", "quotaPerS": 8.0},
  {"name": "galway-centre", "quotaPerS": 7.0}, {"name": "limerick-centre", "quotaPerS": 4.0}]}"#;

const CENTRES: [(&str, f64); 4] =
    [("dublin-centre", 0.39), ("cork-centre", 0.25), ("galway-centre", 0.23), ("limerick-centre", 0.13)];
/// Requests a second, of all centres together.
const RATE: f64 = 30.0;
const EXECUTORS: usize = 6;
/// Three of six workers turn away: 50%, where the page allows up to 55%.
const THROTTLED: usize = 3;
/// They accept a tenth of the centre's even share; the page has 0.071 to 0.25.
const ACCEPTED_SHARE: f64 = 0.1;
/// The time to say `full`: a fifth of the agreed time of `slot-confirm`; the page has 10 to 28%.
const FULL_AFTER: Duration = ms(50);
/// The length of the trouble; the page has 20 to 37 s.
const TROUBLE: Duration = Duration::from_secs(20);
const CLIENTS: usize = 24;

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let throttling = Arc::new(AtomicBool::new(false));
    // The centre of each request, which the stand-in workers know from its clients.
    let centres = Arc::new(Mutex::new(HashMap::<String, String>::new()));
    let choose = {
        let (throttling, centres) = (Arc::clone(&throttling), Arc::clone(&centres));
        let accepted_at = Mutex::new(HashMap::<usize, Instant>::new());
        let even_share = RATE * CENTRES[0].1 / EXECUTORS as f64;
        let interval = Duration::from_secs_f64(1.0 / (ACCEPTED_SHARE * even_share));
        move |executor: usize, message: &review_stand_ins_2::http::Message| {
            let id = message.header("req-id").unwrap_or("").to_owned();
            let centre = centres.lock().unwrap().get(&id).cloned().unwrap_or_default();
            if throttling.load(Ordering::SeqCst) && executor < THROTTLED && centre == CENTRES[0].0 {
                let mut accepted_at = accepted_at.lock().unwrap();
                let now = Instant::now();
                if accepted_at.get(&executor).is_some_and(|at| now - *at < interval) {
                    return Treatment::BeginAndShed(FULL_AFTER);
                }
                accepted_at.insert(executor, now);
            }
            Treatment::Run(ms(200))
        }
    };
    let executors = Executors::start(EXECUTORS, true, &record, "\"eps\":0.0,\"queue\":0,\"x0\":4", choose);
    let entries = executors.addresses.iter().enumerate();
    let entries = entries.map(|(i, address)| Entry::new(&format!("s-{i}"), *address, "dublin-dc", "mid-box", 1)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp = TempFolder::new("review-6");
    let known = discovery.known();
    let mut nodes: Vec<Node> = Vec::new();
    for name in ["n1", "n2"] {
        nodes.push(Node::start(&NodeStart {
            root: &root,
            folder: &temp.0,
            name,
            address: free_address(),
            discovery: discovery.address,
            known: &known,
            settings: SETTINGS,
            memory_mb: 192,
            variables: &[],
        }));
    }
    let ready = nodes.iter_mut().all(|node| node.wait_until_ready(Duration::from_secs(30)));
    if !ready {
        record.write(&folder, &["a node did not become ready".into()]);
        drop(nodes);
        drop(temp);
        std::process::exit(COULD_NOT_RUN);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::<(Request, Answer)>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let node = nodes[index % nodes.len()].address;
            let (stop, answers, centres, record) =
                (Arc::clone(&stop), Arc::clone(&answers), Arc::clone(&centres), record.clone());
            thread::spawn(move || {
                let mut random = Random(1000 + index as u64);
                let mut client = Client::new(node);
                while !stop.load(Ordering::SeqCst) {
                    let mean = CLIENTS as f64 / RATE;
                    thread::sleep(Duration::from_secs_f64((mean - 0.2).max(0.05) * 2.0 * random.unit()));
                    let point = random.unit();
                    let mut sum = 0.0;
                    let centre = CENTRES.iter().find(|(_, share)| {
                        sum += share;
                        point < sum
                    });
                    let centre = centre.unwrap_or(&CENTRES[0]).0.to_owned();
                    let confirm = random.unit() < 0.4;
                    let id = format!("{:016x}", random.next());
                    centres.lock().unwrap().insert(id.clone(), centre.clone());
                    let request = Request {
                        id: id.clone(),
                        kind: if confirm { "slot-confirm" } else { "slot-hold" },
                        owner: centre,
                        deadline_ms: if confirm { 5000 } else { 6000 },
                        key: (!confirm).then(|| format!("{:016x}{:016x}", random.next(), random.next())),
                    };
                    let answer = client.send(&request, &record);
                    answers.lock().unwrap().push((request, answer));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if with_trouble() {
        record.add("trouble begins: e0, e1 and e2 shed what dublin-centre sends, though they had begun it".into());
        throttling.store(true, Ordering::SeqCst);
    }
    thread::sleep(TROUBLE);
    throttling.store(false, Ordering::SeqCst);
    record.add("trouble ends".into());
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let crashed = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    drop(temp);

    let received = executors.received.lock().unwrap().clone();
    let (mut twice, mut refused, mut one_shots, mut served) = (Vec::new(), Vec::new(), 0, 0);
    for (request, answer) in answers.lock().unwrap().iter().filter(|(request, _)| request.kind == "slot-confirm") {
        one_shots += 1;
        served += usize::from(answer.status == 200);
        let begun = received.iter().filter(|r| r.id == request.id && r.begun).count();
        if begun > 1 {
            twice.push(request.id.clone());
        }
        if begun > 0 && matches!(answer.status, 429 | 503) {
            refused.push(request.id.clone());
        }
    }
    let findings = vec![
        format!("one-shots handed in: {one_shots}, served: {served}"),
        format!("one-shots begun more than once: {} {:?}", twice.len(), twice.iter().take(5).collect::<Vec<_>>()),
        format!("one-shots begun and answered 429 or 503: {} {:?}", refused.len(), refused.iter().take(5).collect::<Vec<_>>()),
    ];
    record.write(&folder, &findings);
    let code = if one_shots < 50 || served == 0 {
        COULD_NOT_RUN
    } else if !twice.is_empty() || !refused.is_empty() || crashed {
        BROKEN
    } else {
        HELD
    };
    std::process::exit(code);
}
