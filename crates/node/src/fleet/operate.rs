//! `linestack fleet`: the operator's commands to the coordinators. If an answer is lost, the outcome of a change is
//! reported as unknown; it can be queried later by the name of the request.

use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use linestack_accord::{End, EndedChange, Incarnation, OperatorRequest, Reply, Request, Status};
use serde_json::json;

use super::random_u64;
use super::wire::{self, Body, Identity, SenderInfo};
use crate::NANOS_PER_MS;

/// The longest time to wait for the answer of one coordinator.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The pause between two queries of the outcome of a change.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The exit code if the command was carried out, or the change was decided.
const EXIT_DONE: u8 = 0;
/// The exit code if the arguments are wrong.
const EXIT_USAGE: u8 = 2;
/// The exit code if the request was refused.
const EXIT_REFUSED: u8 = 3;
/// The exit code if the change was dropped.
const EXIT_DROPPED: u8 = 4;
/// The exit code if the outcome is not known.
const EXIT_UNKNOWN: u8 = 5;

/// The arguments of `linestack fleet`.
#[derive(Args)]
pub struct Arguments {
    /// The fleet's id.
    #[arg(long, env = "LINESTACK_FLEET", default_value = "fleet")]
    fleet: String,
    /// The addresses on which the coordinators listen.
    #[arg(long, env = "LINESTACK_COORDINATORS", value_delimiter = ',', required = true)]
    coordinators: Vec<SocketAddr>,
    /// Print one JSON object to standard output.
    #[arg(long, global = true)]
    json: bool,
    /// How many milliseconds to wait before the outcome counts as unknown.
    #[arg(long, global = true, default_value_t = 30_000)]
    wait_ms: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the policy version of each member, and whether it may serve.
    Status,
    /// Propose a change of the policy to all members; it becomes active at all of them or at none. Exits with 0 if it was
    /// decided, 3 if it was refused, 4 if it was dropped, 5 if the outcome is not known.
    Propose {
        /// The policy: the settings as JSON or TOML, without `az`.
        file: PathBuf,
        /// The version that the change builds on.
        #[arg(long)]
        base: u64,
        /// A name for the change, by which its outcome can be queried; by default a random one, which is printed.
        #[arg(long)]
        request: Option<String>,
        /// Wait for all registered members, including those whose leases have expired.
        #[arg(long)]
        all: bool,
        /// Drop the change if it is not decided after this many milliseconds.
        #[arg(long)]
        give_up_ms: Option<u64>,
    },
    /// Show whether a change is pending, or how it ended.
    Outcome { request: String },
    /// Drop a change that is not decided.
    Abort { request: String },
    /// List the changes that ended, the latest last.
    History,
    /// Replace a coordinator that is down and has lost its store: assign its number to another one with an empty store.
    Replace { number: u8 },
    /// Remove a member whose lease has expired from the list of members.
    Forget { member: String },
}

/// The result of sending a request to one coordinator.
enum Answer {
    /// The coordinator replied.
    Reply(Reply),
    /// No leader has received the request.
    NotReceived,
    /// A leader may have received the request, but there was no reply.
    Lost,
}

impl Arguments {
    /// Sends a request to the coordinator at this index. Advances the index if there is no reply.
    fn send(&self, index: &mut usize, operator_request: &OperatorRequest) -> Answer {
        let incarnation = Incarnation { store_id: random_u64(), run_number: 1 };
        let sender = SenderInfo { fleet: self.fleet.clone(), identity: Identity::Operator, incarnation };
        let address = self.coordinators[*index % self.coordinators.len()];
        let Ok((mut socket, mut reader, mut encoder)) = wire::connect_session(address, &sender) else {
            *index += 1;
            return Answer::NotReceived;
        };
        let Ok(bytes) = encoder.encode(Body::Request(Request::Operator(operator_request.clone()))) else {
            return Answer::NotReceived;
        };
        let started = Instant::now();
        let sent = socket.set_read_timeout(Some(ANSWER_TIMEOUT)).and_then(|()| socket.write_all(&bytes));
        if sent.is_ok() {
            while started.elapsed() < ANSWER_TIMEOUT {
                match reader.next_frame() {
                    Ok(Some(frame)) => match frame.body {
                        Body::Reply(Reply::NoLeader) => {
                            *index += 1;
                            return Answer::NotReceived;
                        }
                        Body::Reply(reply) => return Answer::Reply(reply),
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
        *index += 1;
        Answer::Lost
    }

    /// Sends a request until a coordinator replies, or the time is over. It must be harmless to carry out the request
    /// more than once.
    fn send_until_reply(&self, operator_request: &OperatorRequest) -> Option<Reply> {
        let (started, mut index) = (Instant::now(), 0);
        while started.elapsed() < Duration::from_millis(self.wait_ms) {
            if let Answer::Reply(reply) = self.send(&mut index, operator_request) {
                return Some(reply);
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        None
    }

    /// Proposes a change, and waits for its outcome.
    fn propose(&self, operator_request: &OperatorRequest, request: &str) -> u8 {
        let (started, mut index, mut lost) = (Instant::now(), 0, false);
        loop {
            if started.elapsed() >= Duration::from_millis(self.wait_ms) {
                return self.report("unknown", request, &[], EXIT_UNKNOWN);
            }
            match self.send(&mut index, operator_request) {
                Answer::Reply(Reply::Pending { .. }) => return self.wait_for_outcome(request, started),
                Answer::Reply(Reply::Ended(ended)) => return self.report_ended(&ended),
                // A request whose answer was lost may still be carried out, so a later refusal is final only if no
                // answer was lost before.
                Answer::Reply(Reply::Rejected(errors)) if lost => {
                    return self.report("unknown", request, &errors, EXIT_UNKNOWN);
                }
                Answer::Reply(Reply::Rejected(errors)) => {
                    return self.report("refused", request, &errors, EXIT_REFUSED);
                }
                Answer::Reply(_) | Answer::Lost => lost = true,
                Answer::NotReceived => {}
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    /// Waits until a change has ended, or the time since `started` is over.
    fn wait_for_outcome(&self, request: &str, started: Instant) -> u8 {
        let (mut index, operator_request) = (0, OperatorRequest::Outcome { request: request.to_owned() });
        while started.elapsed() < Duration::from_millis(self.wait_ms) {
            if let Answer::Reply(Reply::Ended(ended)) = self.send(&mut index, &operator_request) {
                return self.report_ended(&ended);
            }
            std::thread::sleep(OUTCOME_POLL_INTERVAL);
        }
        self.report("unknown", request, &[], EXIT_UNKNOWN)
    }

    /// Prints how a change ended, and returns the exit code.
    fn report_ended(&self, ended: &EndedChange) -> u8 {
        match &ended.end {
            End::Decided => {
                self.report("decided", &ended.request, &[format!("version {}", ended.version)], EXIT_DONE)
            }
            End::GivenUp => self.report("given up", &ended.request, &[], EXIT_DROPPED),
            End::Aborted => self.report("aborted", &ended.request, &[], EXIT_DROPPED),
            End::Declined { member, key } => {
                self.report("declined", &ended.request, &[format!("{member}: {key}")], EXIT_DROPPED)
            }
        }
    }

    /// Prints an outcome with its details, and returns the exit code.
    fn report(&self, outcome: &str, request: &str, lines: &[String], code: u8) -> u8 {
        if self.json {
            println!("{}", json!({"request": request, "outcome": outcome, "lines": lines}));
        } else {
            println!("{request}: {outcome}");
            lines.iter().for_each(|l| println!("  {l}"));
            if code == EXIT_UNKNOWN {
                println!(
                    "  `linestack fleet outcome {request}` shows the outcome once a coordinator can be reached"
                );
            }
        }
        code
    }

    /// Prints the state of the fleet.
    fn print_status(&self, status: &Status) {
        if self.json {
            println!("{}", serde_json::to_string(status).unwrap_or_default());
            return;
        }
        println!(
            "version {} (digest {:08x}), reported by coordinator {} in round {}",
            status.version, status.digest, status.leader, status.round
        );
        if let Some((request, version)) = &status.pending {
            println!("pending: {request}, version {version}");
        }
        println!("{:<24} {:<6} {:<8} {:<8} {:<8} declined", "member", "serves", "active", "staged", "start");
        for m in &status.members {
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

/// Reads a policy file, and returns it as JSON.
fn read_policy(path: &std::path::Path) -> Result<String, String> {
    let message = |error: String| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| message(e.to_string()))?;
    if path.extension().is_some_and(|e| e == "toml") {
        let value: toml::Table = toml::from_str(&text).map_err(|e| message(e.to_string()))?;
        return serde_json::to_string(&value).map_err(|e| message(e.to_string()));
    }
    Ok(text)
}

/// Runs a command of `linestack fleet`.
#[must_use]
pub fn run(arguments: &Arguments) -> ExitCode {
    let no_answer = || {
        eprintln!("linestack: no coordinator answered in {} ms", arguments.wait_ms);
        EXIT_UNKNOWN
    };
    let code = match &arguments.command {
        Command::Propose { file, base, request, all, give_up_ms } => match read_policy(file) {
            Err(error) => {
                eprintln!("linestack: {error}");
                EXIT_USAGE
            }
            Ok(text) => {
                let request = request.clone().unwrap_or_else(|| format!("{:x}", random_u64()));
                let give_up = give_up_ms.map(|ms| ms.saturating_mul(NANOS_PER_MS));
                let operator_request = OperatorRequest::Propose {
                    request: request.clone(),
                    base_version: *base,
                    text,
                    require_all: *all,
                    give_up_after: give_up,
                };
                arguments.propose(&operator_request, &request)
            }
        },
        Command::Outcome { request } => {
            match arguments.send_until_reply(&OperatorRequest::Outcome { request: request.clone() }) {
                None => no_answer(),
                Some(Reply::Ended(ended)) => arguments.report_ended(&ended),
                Some(Reply::Pending { version }) => {
                    arguments.report("pending", request, &[format!("version {version}")], EXIT_UNKNOWN)
                }
                Some(_) => arguments.report("not known here", request, &[], EXIT_UNKNOWN),
            }
        }
        Command::Abort { request } => {
            match arguments.send_until_reply(&OperatorRequest::Abort { request: request.clone() }) {
                None => no_answer(),
                Some(Reply::Ended(ended)) => arguments.report_ended(&ended),
                Some(Reply::Pending { .. }) => arguments.wait_for_outcome(request, Instant::now()),
                Some(_) => arguments.report("not known here", request, &[], EXIT_REFUSED),
            }
        }
        Command::Forget { member } => {
            match arguments.send_until_reply(&OperatorRequest::Forget { member: member.clone() }) {
                None => no_answer(),
                Some(Reply::Removed) => arguments.report("forgotten", member, &[], EXIT_DONE),
                Some(Reply::Rejected(errors)) => arguments.report("refused", member, &errors, EXIT_REFUSED),
                Some(_) => arguments.report("not known here", member, &[], EXIT_REFUSED),
            }
        }
        Command::Replace { number } => {
            let name = format!("coordinator {number}");
            match arguments.send_until_reply(&OperatorRequest::Replace { coordinator: *number }) {
                None => no_answer(),
                Some(Reply::Replaced { seat }) if arguments.json => {
                    println!("{}", json!({"coordinator": number, "replacement": seat}));
                    EXIT_DONE
                }
                Some(Reply::Replaced { seat }) => {
                    let advice = format!("start it, with an empty folder, by --replacement {seat}");
                    arguments.report("replaced", &name, &[advice], EXIT_DONE)
                }
                Some(Reply::Rejected(errors)) => arguments.report("refused", &name, &errors, EXIT_REFUSED),
                Some(_) => arguments.report("unknown", &name, &[], EXIT_UNKNOWN),
            }
        }
        Command::Status | Command::History => match arguments.send_until_reply(&OperatorRequest::Status) {
            Some(Reply::Status(status)) => {
                if matches!(arguments.command, Command::History) {
                    for ended in &status.ended {
                        arguments.report_ended(ended);
                    }
                } else {
                    arguments.print_status(&status);
                }
                EXIT_DONE
            }
            _ => no_answer(),
        },
    };
    let _ = std::io::stdout().flush();
    ExitCode::from(code)
}
