//! `linestack fleet`: what an operator asks of the coordinators. An answer that is lost is *unknown*, and asking again
//! under the same request tells the outcome.

use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use linestack_accord::{Ask, End, Ended, Incarnation, Reply, Request, Status};
use serde_json::json;

use super::random_u64;
use super::wire::{self, Body, Identity, SenderInfo};

/// How long one coordinator is waited for.
const PATIENCE: Duration = Duration::from_secs(2);
const AGAIN: Duration = Duration::from_millis(50);
/// Between two questions how a change stands.
const LOOK: Duration = Duration::from_millis(100);

/// What is done or decided, refused, ended otherwise, not known, and wrong in the words.
const DONE: u8 = 0;
const REFUSED: u8 = 3;
const DROPPED: u8 = 4;
const UNKNOWN: u8 = 5;
const USAGE: u8 = 2;

#[derive(Args)]
pub struct Arguments {
    /// The fleet's id.
    #[arg(long, env = "LINESTACK_FLEET", default_value = "fleet")]
    fleet: String,
    /// Where the coordinators listen.
    #[arg(long, env = "LINESTACK_COORDINATORS", value_delimiter = ',', required = true)]
    coordinators: Vec<SocketAddr>,
    /// One JSON object on standard output.
    #[arg(long, global = true)]
    json: bool,
    /// Milliseconds after which the outcome counts as unknown.
    #[arg(long, global = true, default_value_t = 30_000)]
    wait_ms: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Who goes by what, and who may serve.
    Status,
    /// Put a change before all members: it holds everywhere or nowhere. Exits with 0 if it was decided, 3 if it was
    /// refused, 4 if it was dropped, 5 if that is not known.
    Propose {
        /// The policy: the settings as JSON or TOML, without `az`.
        file: PathBuf,
        /// The version that it builds on.
        #[arg(long)]
        base: u64,
        /// A name for it, under which its outcome can be asked for; else one is drawn and told.
        #[arg(long)]
        request: Option<String>,
        /// Wait for every member that is known, also those that are away.
        #[arg(long)]
        all: bool,
        /// Drop it when it is not decided by then.
        #[arg(long)]
        give_up_ms: Option<u64>,
    },
    /// How a change stands or ended.
    Outcome { request: String },
    /// Drop a change that is not decided.
    Abort { request: String },
    /// The changes that ended, the latest last.
    History,
    /// Give the number of a coordinator that is down, and has lost its store, to another with an empty one.
    Replace { number: u8 },
    /// Take a member that is away off the list.
    Forget { member: String },
}

enum Heard {
    Reply(Reply),
    /// Nobody took it, for certain.
    Nobody,
    /// It may have been taken.
    Lost,
}

impl Arguments {
    fn ask(&self, at: &mut usize, ask: &Ask) -> Heard {
        let incarnation = Incarnation { home: random_u64(), life: 1 };
        let own = SenderInfo { fleet: self.fleet.clone(), identity: Identity::Operator, incarnation };
        let to = self.coordinators[*at % self.coordinators.len()];
        let Ok((mut socket, mut reader, mut encoder)) = wire::connect_session(to, &own) else {
            *at += 1;
            return Heard::Nobody;
        };
        let Ok(bytes) = encoder.encode(Body::Request(Request::Ask(ask.clone()))) else {
            return Heard::Nobody;
        };
        let begin = Instant::now();
        let sent = socket.set_read_timeout(Some(PATIENCE)).and_then(|()| socket.write_all(&bytes));
        if sent.is_ok() {
            while begin.elapsed() < PATIENCE {
                match reader.next_frame() {
                    Ok(Some(frame)) => match frame.body {
                        Body::Reply(Reply::Nobody) => {
                            *at += 1;
                            return Heard::Nobody;
                        }
                        Body::Reply(reply) => return Heard::Reply(reply),
                        _ => break,
                    },
                    Ok(None) => match reader.read(&mut socket) {
                        Ok(_) => {}
                        Err(_) => break,
                    },
                    Err(_) => break,
                }
            }
        }
        *at += 1;
        Heard::Lost
    }

    /// Asks until somebody answers, or the time is over. Only for what may be asked twice.
    fn insist(&self, ask: &Ask) -> Option<Reply> {
        let (begin, mut at) = (Instant::now(), 0);
        while begin.elapsed() < Duration::from_millis(self.wait_ms) {
            if let Heard::Reply(reply) = self.ask(&mut at, ask) {
                return Some(reply);
            }
            std::thread::sleep(AGAIN);
        }
        None
    }

    fn propose(&self, ask: &Ask, request: &str) -> u8 {
        let (begin, mut at, mut lost) = (Instant::now(), 0, false);
        loop {
            if begin.elapsed() >= Duration::from_millis(self.wait_ms) {
                return self.tell("unknown", request, &[], UNKNOWN);
            }
            match self.ask(&mut at, ask) {
                Heard::Reply(Reply::Taken { .. }) => return self.outcome(request, begin),
                Heard::Reply(Reply::Ended(ended)) => return self.ended(&ended),
                // One that was lost may still come: only what was refused at once is refused for good.
                Heard::Reply(Reply::TurnedDown(faults)) if lost => {
                    return self.tell("unknown", request, &faults, UNKNOWN);
                }
                Heard::Reply(Reply::TurnedDown(faults)) => {
                    return self.tell("refused", request, &faults, REFUSED);
                }
                Heard::Reply(_) | Heard::Lost => lost = true,
                Heard::Nobody => {}
            }
            std::thread::sleep(AGAIN);
        }
    }

    /// Waits until it has ended.
    fn outcome(&self, request: &str, begin: Instant) -> u8 {
        let (mut at, ask) = (0, Ask::Outcome { request: request.to_owned() });
        while begin.elapsed() < Duration::from_millis(self.wait_ms) {
            if let Heard::Reply(Reply::Ended(ended)) = self.ask(&mut at, &ask) {
                return self.ended(&ended);
            }
            std::thread::sleep(LOOK);
        }
        self.tell("unknown", request, &[], UNKNOWN)
    }

    fn ended(&self, ended: &Ended) -> u8 {
        match &ended.end {
            End::Decided => {
                self.tell("decided", &ended.request, &[format!("version {}", ended.version)], DONE)
            }
            End::GivenUp => self.tell("given up", &ended.request, &[], DROPPED),
            End::Aborted => self.tell("aborted", &ended.request, &[], DROPPED),
            End::Declined { member, key } => {
                self.tell("declined", &ended.request, &[format!("{member}: {key}")], DROPPED)
            }
        }
    }

    fn tell(&self, outcome: &str, request: &str, lines: &[String], code: u8) -> u8 {
        if self.json {
            println!("{}", json!({"request": request, "outcome": outcome, "lines": lines}));
        } else {
            println!("{request}: {outcome}");
            lines.iter().for_each(|l| println!("  {l}"));
            if code == UNKNOWN {
                println!("  `linestack fleet outcome {request}` tells it, once a coordinator can be reached");
            }
        }
        code
    }

    fn status(&self, s: &Status) {
        if self.json {
            println!("{}", serde_json::to_string(s).unwrap_or_default());
            return;
        }
        println!(
            "version {} (digest {:08x}), told by coordinator {} in round {}",
            s.version, s.digest, s.speaker, s.round
        );
        if let Some((request, version)) = &s.pending {
            println!("pending: {request}, version {version}");
        }
        println!(
            "{:<24} {:<6} {:<8} {:<8} {:<8} declined",
            "member", "serves", "goes by", "has kept", "start"
        );
        for m in &s.members {
            let active = m.active.map_or("-".to_owned(), |v| v.to_string());
            let staged = if m.staged > 0 { m.staged.to_string() } else { "-".into() };
            let declined = m.declined.as_ref().map_or(String::new(), |(v, key)| format!("{v}: {key}"));
            println!(
                "{:<24} {:<6} {active:<8} {staged:<8} {:<8} {declined}",
                m.name,
                if m.live { "yes" } else { "no" },
                if m.stage.is_empty() { "-" } else { &m.stage },
            );
        }
    }
}

fn policy(path: &std::path::Path) -> Result<String, String> {
    let fault = |why: String| format!("{}: {why}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
    if path.extension().is_some_and(|e| e == "toml") {
        let value: toml::Table = toml::from_str(&text).map_err(|e| fault(e.to_string()))?;
        return serde_json::to_string(&value).map_err(|e| fault(e.to_string()));
    }
    Ok(text)
}

/// Carries out an operator's command.
#[must_use]
pub fn run(arguments: &Arguments) -> ExitCode {
    let a = arguments;
    let nobody = || {
        eprintln!("linestack: no coordinator answered in {} ms", a.wait_ms);
        UNKNOWN
    };
    let code = match &a.command {
        Command::Propose { file, base, request, all, give_up_ms } => match policy(file) {
            Err(why) => {
                eprintln!("linestack: {why}");
                USAGE
            }
            Ok(text) => {
                let request = request.clone().unwrap_or_else(|| format!("{:x}", random_u64()));
                let give_up = give_up_ms.map(|ms| ms.saturating_mul(1_000_000));
                let ask = Ask::Propose { request: request.clone(), base: *base, text, all: *all, give_up };
                a.propose(&ask, &request)
            }
        },
        Command::Outcome { request } => match a.insist(&Ask::Outcome { request: request.clone() }) {
            None => nobody(),
            Some(Reply::Ended(ended)) => a.ended(&ended),
            Some(Reply::Taken { version }) => {
                a.tell("pending", request, &[format!("version {version}")], UNKNOWN)
            }
            Some(_) => a.tell("not known here", request, &[], UNKNOWN),
        },
        Command::Abort { request } => match a.insist(&Ask::Abort { request: request.clone() }) {
            None => nobody(),
            Some(Reply::Ended(ended)) => a.ended(&ended),
            Some(Reply::Taken { .. }) => a.outcome(request, Instant::now()),
            Some(_) => a.tell("not known here", request, &[], REFUSED),
        },
        Command::Forget { member } => match a.insist(&Ask::Forget { member: member.clone() }) {
            None => nobody(),
            Some(Reply::Done) => a.tell("forgotten", member, &[], DONE),
            Some(Reply::TurnedDown(faults)) => a.tell("refused", member, &faults, REFUSED),
            Some(_) => a.tell("not known here", member, &[], REFUSED),
        },
        Command::Replace { number } => {
            let name = format!("coordinator {number}");
            match a.insist(&Ask::Replace { seat: *number }) {
                None => nobody(),
                Some(Reply::Seat { number: seat }) if a.json => {
                    println!("{}", json!({"coordinator": number, "replacement": seat}));
                    DONE
                }
                Some(Reply::Seat { number: seat }) => {
                    let how = format!("start it, with an empty folder, by --replacement {seat}");
                    a.tell("replaced", &name, &[how], DONE)
                }
                Some(Reply::TurnedDown(faults)) => a.tell("refused", &name, &faults, REFUSED),
                Some(_) => a.tell("unknown", &name, &[], UNKNOWN),
            }
        }
        Command::Status | Command::History => match a.insist(&Ask::Status) {
            Some(Reply::Status(status)) => {
                if matches!(a.command, Command::History) {
                    for ended in &status.ended {
                        a.ended(ended);
                    }
                } else {
                    a.status(&status);
                }
                DONE
            }
            _ => nobody(),
        },
    };
    let _ = std::io::stdout().flush();
    ExitCode::from(code)
}
