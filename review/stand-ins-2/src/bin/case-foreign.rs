//! Case 9: a coordinator that was killed and started again hands an operator the answer to another operator.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::coordinators::{end, fleet, number, program, Coordinator};
use review_stand_ins_2::node::{root, TempFolder};
use review_stand_ins_2::{case_folder, free_address, ms, with_trouble, Record, BROKEN, COULD_NOT_RUN, HELD};

/// The settings of `lahore-cards.toml`, in the names of the wire.
const SETTINGS: &str = include_str!("../lahore-cards.json");
/// What the connection from the killed coordinator to the leader takes, while it is slow.
const DELAY_MS: u64 = 900;
/// How many operators ask for the outcome of the first change just before the coordinator is killed.
const ASKING: usize = 8;
/// How often the case is played in one run, until an operator is told something wrong.
const PLAYS: usize = 4;

/// A link from one coordinator to another. What is sent along it arrives later by the delay; what is on its way arrives even if the
/// sender dies, as with TCP.
struct Link {
    address: SocketAddr,
    delay_ms: Arc<AtomicU64>,
}

impl Link {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a link's address");
        let address = listener.local_addr().expect("a link's address");
        let delay_ms = Arc::new(AtomicU64::new(0));
        let delay = Arc::clone(&delay_ms);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let delay = Arc::clone(&delay);
                thread::spawn(move || carry(client, server, &delay));
            }
        });
        Self { address, delay_ms }
    }
}

/// Carries the bytes of one connection until it ends.
fn carry(client: TcpStream, server: TcpStream, delay_ms: &AtomicU64) {
    let (Ok(mut from_client), Ok(mut to_client)) = (client.try_clone(), client.try_clone()) else { return };
    let (Ok(mut from_server), Ok(mut to_server)) = (server.try_clone(), server.try_clone()) else { return };
    let (queue, queued) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (at, bytes) in queued {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if to_server.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to_server.shutdown(Shutdown::Write);
    });
    thread::spawn(move || {
        let mut buffer = [0; 16384];
        while let Ok(count @ 1..) = from_server.read(&mut buffer) {
            let _ = to_client.write_all(&buffer[..count]);
        }
        let _ = to_client.shutdown(Shutdown::Both);
    });
    let mut buffer = [0; 16384];
    while let Ok(count @ 1..) = from_client.read(&mut buffer) {
        let at = Instant::now() + ms(delay_ms.load(Ordering::Relaxed));
        if queue.send((at, buffer[..count].to_vec())).is_err() {
            break;
        }
    }
}

/// What the operator was told in one play.
enum Told {
    /// That its change was refused, or that the outcome is not known.
    Right,
    /// Another end than its change has.
    Wrong(String),
    /// The play did not get that far.
    Nothing(String),
}

fn play(program: &Path, temp: &Path, record: &Record) -> Told {
    let _ = fs::create_dir_all(temp);
    let policy = SETTINGS.replace("\"az\": 0, ", "");
    fs::write(temp.join("policy.json"), &policy).expect("policy.json");
    let change = |payoff: &str| policy.replace("\"excessPayoff\": 0.2", &format!("\"excessPayoff\": {payoff}"));
    fs::write(temp.join("eid.json"), change("0.3")).expect("eid.json");
    fs::write(temp.join("summer.json"), change("0.4")).expect("summer.json");
    let (eid, summer) = (temp.join("eid.json").display().to_string(), temp.join("summer.json").display().to_string());

    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let links: Vec<Vec<Link>> = (0..3).map(|_| addresses.iter().map(|to| Link::start(*to)).collect()).collect();
    let mut coordinators: Vec<Coordinator> = (0..3)
        .map(|number| {
            let peer = |to: usize| if to == number { addresses[to] } else { links[number][to].address };
            Coordinator::new(temp, number, addresses[number], &[peer(0), peer(1), peer(2)])
        })
        .collect();
    coordinators.iter_mut().for_each(|c| c.start(program, true));
    coordinators.iter().for_each(Coordinator::wait_until_started);

    // Asked at the first coordinator only.
    let start = Instant::now();
    let leader = loop {
        let (code, text) = end(fleet(program, addresses[0], 2000, &["status"]));
        if let (0, Some(leader)) = (code, number(&text, "speaker").or_else(|| number(&text, "leader"))) {
            break leader as usize;
        }
        if start.elapsed() > Duration::from_secs(10) {
            return Told::Nothing(format!("no coordinator was elected: {code} {text}"));
        }
        thread::sleep(ms(100));
    };
    let killed = (1..3).find(|number| *number != leader).expect("a coordinator that is not the leader");
    let (code, text) = end(fleet(program, addresses[0], 5000, &["propose", &eid, "--base", "1", "--request", "eid"]));
    record.add(format!("c{leader} leads; the change eid of the first operator: exit code {code}, {text}"));
    if code != 0 {
        return Told::Nothing("the first change was not decided".into());
    }

    let mut asking = Vec::new();
    if with_trouble() {
        links[killed][leader].delay_ms.store(DELAY_MS, Ordering::Relaxed);
        record.add(format!("what c{killed} sends to c{leader} takes {DELAY_MS} ms"));
        // Somebody asks through the coordinator how the first change ended.
        asking.extend((0..ASKING).map(|_| fleet(program, addresses[killed], 100, &["outcome", "eid"])));
        thread::sleep(ms(100));
        record.add(format!("{ASKING} operators have asked c{killed} for the outcome of eid; c{killed} is killed and started again"));
        coordinators[killed].kill();
        coordinators[killed].start(program, false);
        coordinators[killed].wait_until_started();
        record.add(format!("c{killed} has started again"));
        thread::sleep(ms(200));
    }
    // The second operator proposes a change on top of version 1, which no longer holds: it must be refused.
    record.add(format!("the second operator proposes summer at c{}, on the old base", coordinators[killed].number));
    let (code, text) =
        end(fleet(program, coordinators[killed].address, 6000, &["propose", &summer, "--base", "1", "--request", "summer"]));
    record.add(format!("the second operator was told: exit code {code}, {text}"));
    for child in asking {
        let (code, text) = end(child);
        record.add(format!("an operator that asked before: exit code {code}, {text}"));
    }
    links[killed][leader].delay_ms.store(0, Ordering::Relaxed);
    thread::sleep(ms(1500));
    let (_, outcome) = end(fleet(program, addresses[leader], 3000, &["outcome", "summer"]));
    let (_, status) = end(fleet(program, addresses[leader], 3000, &["status"]));
    let version = number(&status, "version");
    record.add(format!("afterwards at the leader: outcome of summer: {outcome}; version {version:?}"));
    for line in fs::read_to_string(&coordinators[killed].log).unwrap_or_default().lines().take(20) {
        record.add(format!("c{killed}: {line}"));
    }
    if version != Some(2) {
        return Told::Nothing(format!("the version is {version:?}, not 2"));
    }
    match code {
        3 | 5 if !text.contains("\"eid\"") => Told::Right,
        0 | 3 | 4 | 5 => Told::Wrong(format!("propose summer ended with the exit code {code} and {text}; the change was never put")),
        _ => Told::Nothing(format!("propose ended with the exit code {code}: {text}")),
    }
}

fn main() {
    let folder = case_folder();
    let root = root(&folder);
    let record = Record::new();
    let program = program(&root);
    let temp = TempFolder::new("review-9");
    let (mut wrong, mut right, mut nothing) = (Vec::new(), 0, Vec::new());
    for count in 0..PLAYS {
        record.add(format!("play {}", count + 1));
        match play(&program, &temp.0.join(count.to_string()), &record) {
            Told::Right => right += 1,
            Told::Wrong(what) => {
                wrong.push(what);
                break;
            }
            Told::Nothing(what) => nothing.push(what),
        }
    }
    drop(temp);
    let mut findings = vec![format!("plays in which the second operator was told the truth: {right}, something else: {}", wrong.len())];
    findings.extend(wrong.iter().cloned());
    findings.extend(nothing.iter().map(|what| format!("a play that did not get that far: {what}")));
    record.write(&folder, &findings);
    let code = if !wrong.is_empty() {
        BROKEN
    } else if right > 0 {
        HELD
    } else {
        COULD_NOT_RUN
    };
    std::process::exit(code);
}
