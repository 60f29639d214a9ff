//! `linestack coordinate FILE`: one coordinator. A thread for the listener, two for each session, one for each
//! other coordinator, and one that holds the state, which alone reads the store and the clock.

use std::collections::HashMap;
use std::io::Write as _;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, Instant};

use linestack_accord::{
    Ballot, Broken, Coordinator, Guest, Id, Incarnation, Input, Keep, LARGEST_TEXT, Letter, Note, Out,
    Policy, Record, Reply, State, Terms,
};
use linestack_history::What;
use serde::{Deserialize, Serialize};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use socket2::SockRef;

use super::config;
use super::policy::check;
use super::session::guest;
use super::store::{Fault, Store};
use super::trail::Diary;
use super::wire::{self, Body, Own, Pen, Who};
use super::{boottime, draw, monotonic};
use crate::net::BACKLOG;

/// Sessions at a time, and frames that wait for one that reads slowly, before it is closed.
const MOST_SESSIONS: usize = 3072;
const WAITING: usize = 64;
/// Letters that wait for another coordinator: all members may ask at once, and what each asks is passed on in one.
const LETTERS: usize = 1024;
/// Before another coordinator that could not be reached is tried again.
const AGAIN: Duration = Duration::from_millis(50);
/// A session that says nothing for so long is over: members say something at each third of a leave.
const SILENCE: Duration = Duration::from_secs(60);
/// Refusals are logged so often at most; all are counted.
const QUIET: Duration = Duration::from_secs(1);
const COUNTS: Duration = Duration::from_secs(10);

enum Event {
    Open { connection: u64, who: Who, life: Incarnation, pen: Pen, to: SyncSender<Vec<u8>> },
    Said { connection: u64, body: Body },
    Closed { connection: u64 },
    Refused { why: &'static str },
    Stop,
}

struct Line {
    who: Who,
    life: Incarnation,
    pen: Pen,
    to: SyncSender<Vec<u8>>,
}

/// What is kept: the record, and the runs of this store.
#[derive(Serialize, Deserialize)]
struct Kept {
    life: Incarnation,
    record: Record,
}

struct Disk {
    store: Store,
    life: Incarnation,
}

impl Keep for Disk {
    type Fault = Fault;

    fn keep(&mut self, record: &Record) -> Result<(), Fault> {
        self.store.keep(&Kept { life: self.life, record: record.clone() })
    }
}

/// What there is of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its store is there.
    Again,
    /// Nothing yet, and the fleet is new: its store is made from the file's first policy.
    First,
    /// Nothing, in place of one that has lost its store: which one of its number it is, as `fleet replace` told.
    Replacement(u32),
    /// Its store is there, and most others' are lost: write down what they begin with, and end.
    Refound(PathBuf, Vec<Id>),
    /// Nothing, and what `Refound` wrote.
    Refounded(PathBuf),
}

/// What coordinators begin with after a majority of stores was lost.
#[derive(Serialize, Deserialize)]
struct Foundation {
    fleet: String,
    record: Record,
}

/// What may have been decided or begun since the store that is gone on from was written is over by so many versions,
/// writes and rounds.
const BEYOND: u32 = 1_000_000;

/// Makes the one store that is left the fleet's beginning.
fn refound(config: &config::Coordinator, out: &Path, lost: &[Id]) -> Result<(), String> {
    let (me, count) = (config.number, config.peers.len());
    let fault = |why: String| Err(format!("--refound: {why}"));
    let mut lost = lost.to_vec();
    lost.sort_unstable();
    lost.dedup();
    if lost.iter().any(|id| usize::from(*id) >= count || *id == me) {
        return fault(format!("--lost: numbers of others, under {count}"));
    }
    let kept = count - lost.len();
    if kept > count / 2 {
        return fault(format!(
            "{kept} of {count} have their stores: start those, and `linestack fleet replace` the lost ones"
        ));
    }
    let own =
        Own { fleet: config.fleet.clone(), who: Who::Operator, life: Incarnation { home: draw(), life: 1 } };
    for (id, to) in config.peers.iter().enumerate() {
        if let Some(to) = to
            && wire::greet(*to, &own).is_ok()
        {
            return fault(format!("coordinator {id} answers at {to}: stop all of them first"));
        }
    }
    let (mut disk, record) = open(config, &Start::Again).map_err(|e| e.to_string())?;
    if record.learning {
        return fault("this one was never told what is agreed".into());
    }
    let State { policy, last, members, ended, mut seats, rev, .. } = record.state;
    for id in (0..count).filter_map(|id| Id::try_from(id).ok()) {
        // Whatever turns up of the old ones has no vote.
        *seats.entry(id).or_insert(0) += 1;
    }
    let round = record.promised.round.max(record.accepted.round) + BEYOND;
    let ballot = Ballot { round, by: me };
    // Another number for the same text: members may have gone by a later one that is lost.
    let version = last + u64::from(BEYOND);
    let was = policy.version;
    let policy = Policy { version, text: policy.text };
    let state =
        State { rev: rev + u64::from(BEYOND), policy, last: version, pending: None, members, ended, seats };
    let record = Record {
        mark: record.mark,
        seat: state.seat(me),
        learning: false,
        promised: ballot,
        accepted: ballot,
        state,
    };
    let foundation = Foundation { fleet: config.fleet.clone(), record: record.clone() };
    let text = serde_json::to_vec(&foundation).map_err(|e| e.to_string())?;
    std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(out)
        .and_then(|mut file| file.write_all(&text).and_then(|()| file.sync_all()))
        .map_err(|e| format!("{}: {e}", out.display()))?;
    disk.keep(&record).map_err(|e| e.to_string())?;
    println!("the fleet goes on from version {was}, now as version {version}");
    println!(
        "lost, if they were: changes that were decided or put since this store was written, and members that joined"
    );
    println!(
        "start this one as ever, and each other one, with an empty folder, by --refounded {}",
        out.display()
    );
    Ok(())
}

/// Runs until it is told to stop.
#[must_use]
pub fn run(path: &Path, how: Start) -> ExitCode {
    match start(path, &how) {
        Ok(code) => code,
        Err(why) => {
            for line in why.lines() {
                tracing::error!("coordinator: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

fn start(path: &Path, how: &Start) -> Result<ExitCode, String> {
    let config = config::coordinator(path)?;
    if let Start::Refound(out, lost) = how {
        return refound(&config, out, lost).map(|()| ExitCode::SUCCESS);
    }
    let (disk, record) = open(&config, how).map_err(|why| {
        let remedy = match why {
            Fault::Missing => {
                "; in a new fleet it is made by --first; one that has lost its store wants `linestack fleet replace`"
            }
            Fault::There => "; start it without --first",
            Fault::Copied => "; it must not vote: what it promised since the copy was made is forgotten",
            _ => "",
        };
        format!("{}: coordinator.folder: {why}{remedy}", path.display())
    })?;
    let me = config.number;
    let own = Own { fleet: config.fleet.clone(), who: Who::Coordinator(me), life: disk.life };
    let listener = TcpListener::bind(config.listen)
        .and_then(|listener| SockRef::from(&listener).listen(BACKLOG).map(|()| listener))
        .map_err(|e| format!("{}: coordinator.listen: {}: {e}", path.display(), config.listen))?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    let diary = Diary::open(config.history.as_deref(), &format!("c{me}"), disk.life.life)
        .map_err(|e| format!("{}: coordinator.history: {e}", path.display()))?;
    let (events, heard) = channel();
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    let stop = events.clone();
    std::thread::spawn(move || signals.forever().for_each(|_| drop(stop.send(Event::Stop))));
    let listed: Vec<IpAddr> = config.peers.iter().flatten().map(SocketAddr::ip).collect();
    let (told, greeter) = (events.clone(), own.clone());
    std::thread::spawn(move || accept(&listener, &greeter, &listed, &told));
    let peers = config.peers.iter().map(|to| to.map(|to| dial(to, own.clone()))).collect();
    let broken = super::fault().and_then(|f| match f.as_str() {
        "forgets" => Some(Broken::Forgets),
        "majority" => Some(Broken::Majority),
        "old-speaker" => Some(Broken::OldSpeaker),
        "not-blind" => Some(Broken::NotBlind),
        _ => None,
    });
    let terms = Terms {
        me,
        count: u8::try_from(config.peers.len()).unwrap_or(u8::MAX),
        hold: config.hold_ms * 1_000_000,
        lease: config.lease_ms * 1_000_000,
        drift: config.drift,
        check,
        broken,
    };
    let coordinator = Coordinator::new(terms, record, boottime());
    tracing::info!(fleet = config.fleet, number = me, %listen, "started");
    let mut office = Office {
        coordinator,
        disk,
        diary,
        peers,
        lines: HashMap::new(),
        routes: HashMap::new(),
        counts: Counts::default(),
    };
    Ok(office.run(&heard))
}

fn open(config: &config::Coordinator, how: &Start) -> Result<(Disk, Record), Fault> {
    let owner = format!("coordinator {} of {}", config.number, config.fleet);
    let make = |record: Record| {
        let mut store = Store::open(&config.folder, &owner, true)?;
        let life = Incarnation { home: draw(), life: 1 };
        store.keep(&Kept { life, record: record.clone() })?;
        Ok((Disk { store, life }, record))
    };
    if let Start::Replacement(seat) = how {
        return make(Record { seat: *seat, learning: true, ..Record::default() });
    }
    if let Start::Refounded(from) = how {
        let damaged = |why: String| Fault::Damaged(format!("--refounded: {}: {why}", from.display()));
        let text = std::fs::read(from).map_err(|e| damaged(e.to_string()))?;
        let Foundation { fleet, record } =
            serde_json::from_slice(&text).map_err(|e| damaged(e.to_string()))?;
        if fleet != config.fleet {
            return Err(damaged(format!("of fleet {fleet:?}")));
        }
        let (me, seat) = (config.number, record.state.seat(config.number));
        if record.accepted.by == me {
            return Err(damaged(format!("it was written by coordinator {me}, which has its store")));
        }
        return make(Record { mark: 0, seat, ..record });
    }
    if *how == Start::First {
        let damaged =
            |why: String| Fault::Damaged(format!("first-policy: {}: {why}", config.first_policy.display()));
        let text = std::fs::read_to_string(&config.first_policy).map_err(|e| damaged(e.to_string()))?;
        if text.len() > LARGEST_TEXT {
            return Err(damaged(format!("{} bytes, {LARGEST_TEXT} at most", text.len())));
        }
        super::policy::settings(&text, 0, 0).map_err(damaged)?;
        return make(Record { state: State::first(text), ..Record::default() });
    }
    let mut store = Store::open(&config.folder, &owner, false)?;
    let Some(Kept { mut life, record }) = store.load()? else { return Err(Fault::Missing) };
    life.life += 1;
    store.keep(&Kept { life, record: record.clone() })?;
    Ok((Disk { store, life }, record))
}

/// Sends to another coordinator, over a connection of its own. What can't be sent now is dropped: it is said again
/// as long as it matters.
fn dial(to: SocketAddr, own: Own) -> SyncSender<Letter> {
    let (letters, waiting) = sync_channel::<Letter>(LETTERS);
    std::thread::spawn(move || {
        loop {
            let Ok((mut socket, _, mut pen)) = wire::greet(to, &own) else {
                std::thread::sleep(AGAIN);
                // What waited is old by now.
                while waiting.try_recv().is_ok() {}
                continue;
            };
            loop {
                let Ok(letter) = waiting.recv() else { return };
                let Ok(bytes) = pen.write(Body::Letter(letter)) else { continue };
                if closed(&socket) || socket.write_all(&bytes).is_err() {
                    break;
                }
            }
        }
    });
    letters
}

/// Whether the other end has closed it. Nothing ever comes on it.
fn closed(socket: &TcpStream) -> bool {
    let seen = socket.set_nonblocking(true).and_then(|()| socket.peek(&mut [0]));
    let open = matches!(&seen, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    !open || socket.set_nonblocking(false).is_err()
}

fn accept(listener: &TcpListener, own: &Own, listed: &[IpAddr], events: &Sender<Event>) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut connection = 0;
    for socket in listener.incoming() {
        let Ok(socket) = socket else {
            // No descriptor left: the others still wait.
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let known = socket.peer_addr().is_ok_and(|a| a.ip().is_loopback() || listed.contains(&a.ip()));
        if !known || open.load(Ordering::Relaxed) >= MOST_SESSIONS {
            let why = if known { "too many sessions" } else { "address" };
            let _ = events.send(Event::Refused { why });
            continue;
        }
        connection += 1;
        open.fetch_add(1, Ordering::Relaxed);
        let (events, own, gone) = (events.clone(), own.clone(), Arc::clone(&open));
        let thread = std::thread::Builder::new().stack_size(256 * 1024);
        let served = thread.spawn(move || {
            serve(connection, socket, &own, &events);
            gone.fetch_sub(1, Ordering::Relaxed);
        });
        if served.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn serve(connection: u64, mut socket: TcpStream, own: &Own, events: &Sender<Event>) {
    let refused = |fault: &wire::Fault| drop(events.send(Event::Refused { why: fault.why() }));
    let (who, life, mut ear, pen) = match wire::welcome(&mut socket, own) {
        Ok(greeted) => greeted,
        Err(why) => return refused(&why),
    };
    let (to, waiting) = sync_channel::<Vec<u8>>(WAITING);
    let Ok(mut out) = socket.try_clone() else { return };
    let writer = std::thread::Builder::new().stack_size(128 * 1024);
    let writes = writer.spawn(move || {
        // When nobody sends to it any more, it is to be closed.
        let _ = waiting.iter().try_for_each(|bytes| out.write_all(&bytes));
        let _ = out.shutdown(std::net::Shutdown::Both);
    });
    if writes.is_err() || socket.set_read_timeout(Some(SILENCE)).is_err() {
        return;
    }
    let _ = events.send(Event::Open { connection, who, life, pen, to });
    let why = loop {
        match ear.take() {
            Ok(Some(frame)) => {
                let _ = events.send(Event::Said { connection, body: frame.body });
            }
            Ok(None) => match ear.read(&mut socket) {
                Ok(true) => {}
                Ok(false) => break wire::Fault::Closed,
                Err(why) => break why,
            },
            Err(why) => break why,
        }
    };
    if !matches!(why, wire::Fault::Closed | wire::Fault::Io(_)) {
        refused(&why);
    }
    let _ = socket.shutdown(std::net::Shutdown::Both);
    let _ = events.send(Event::Closed { connection });
}

#[derive(Default)]
struct Counts {
    frames: u64,
    granted: u64,
    kept: u64,
    refused: HashMap<&'static str, u64>,
    logged: Option<Instant>,
}

struct Office {
    coordinator: Coordinator,
    disk: Disk,
    diary: Diary,
    peers: Vec<Option<SyncSender<Letter>>>,
    lines: HashMap<u64, Line>,
    /// The session over which a guest said something last.
    routes: HashMap<Guest, u64>,
    counts: Counts,
}

impl Office {
    fn run(&mut self, heard: &Receiver<Event>) -> ExitCode {
        let mut counted = Instant::now();
        loop {
            let wait = self.coordinator.next_due().saturating_sub(boottime());
            let event = match heard.recv_timeout(Duration::from_nanos(wait).min(COUNTS)) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return ExitCode::FAILURE,
            };
            let input = match event {
                None => Some(Input::Tick),
                Some(Event::Stop) => {
                    tracing::info!("stopped");
                    return ExitCode::SUCCESS;
                }
                Some(event) => self.event(event),
            };
            if let Some(input) = input
                && let Err(code) = self.take(input)
            {
                return code;
            }
            // A flood of messages must not keep what is due from being done.
            if self.coordinator.next_due() <= boottime()
                && let Err(code) = self.take(Input::Tick)
            {
                return code;
            }
            if counted.elapsed() >= COUNTS {
                counted = Instant::now();
                let Counts { frames, granted, kept, refused, .. } = &self.counts;
                let speaks = self.coordinator.speaks(boottime());
                let sessions = self.lines.len();
                tracing::info!(speaks, sessions, frames, granted, kept, ?refused, "counts");
            }
        }
    }

    fn event(&mut self, event: Event) -> Option<Input> {
        match event {
            Event::Open { connection, who, life, pen, to } => {
                self.lines.insert(connection, Line { who, life, pen, to });
                None
            }
            Event::Closed { connection } => {
                if let Some(line) = self.lines.remove(&connection)
                    && let Some(guest) = guest(&line.who, connection)
                    && self.routes.get(&guest) == Some(&connection)
                {
                    self.routes.remove(&guest);
                }
                None
            }
            Event::Refused { why } => {
                self.refused(why);
                None
            }
            Event::Said { connection, body } => {
                self.counts.frames += 1;
                let line = self.lines.get(&connection)?;
                match (&line.who, body) {
                    (Who::Coordinator(from), Body::Letter(letter)) => {
                        Some(Input::Letter { from: *from, letter })
                    }
                    (who, Body::Request(request)) => {
                        // It speaks for the run that began the session, and for no other.
                        if let linestack_accord::Request::Renew(renew) = &request
                            && renew.incarnation != line.life
                        {
                            self.refused("name");
                            self.lines.remove(&connection);
                            return None;
                        }
                        let guest = guest(who, connection)?;
                        self.routes.insert(guest.clone(), connection);
                        Some(Input::Guest { guest, request })
                    }
                    _ => {
                        self.refused("order");
                        self.lines.remove(&connection);
                        None
                    }
                }
            }
            Event::Stop => None,
        }
    }

    fn refused(&mut self, why: &'static str) {
        *self.counts.refused.entry(why).or_default() += 1;
        if self.counts.logged.is_none_or(|at| at.elapsed() >= QUIET) {
            self.counts.logged = Some(Instant::now());
            tracing::warn!(why, "refused");
        }
    }

    fn take(&mut self, input: Input) -> Result<(), ExitCode> {
        let mark = self.coordinator.record().mark;
        // A speaker whose machine slept must know that it did.
        let (at, now) = (monotonic(), boottime());
        let step = self.coordinator.take(now, input);
        let outs = step.finish(&mut self.disk).map_err(|why| {
            // Whether it is on the disk nobody knows, and nobody has been told that it is.
            tracing::error!(%why, "store failed; this coordinator ends");
            ExitCode::FAILURE
        })?;
        self.counts.kept += self.coordinator.record().mark - mark;
        for out in outs {
            match out {
                Out::Letter { to, letter } => self.post(to, letter),
                Out::Guest { guest, reply } => self.reply(guest, reply),
                Out::Note(note) => self.note(at, note),
                Out::Halt => {
                    tracing::error!(
                        "what is stored here is older than what others have seen of it; it must not vote"
                    );
                    return Err(ExitCode::FAILURE);
                }
            }
        }
        Ok(())
    }

    fn post(&mut self, to: Id, letter: Letter) {
        if let Some(Some(peer)) = self.peers.get(usize::from(to)) {
            // Full: whoever it is for is slow, and is told again.
            let _ = peer.try_send(letter);
        }
    }

    fn reply(&mut self, guest: Guest, reply: Reply) {
        let Some(connection) = self.routes.get(&guest) else { return };
        let Some(line) = self.lines.get_mut(connection) else { return };
        let sent = line.pen.write(Body::Reply(reply)).is_ok_and(|bytes| line.to.try_send(bytes).is_ok());
        if !sent {
            let connection = *connection;
            self.lines.remove(&connection);
            self.refused("slow");
        }
    }

    /// At the time by which it was decided: a process that is stopped just then writes it down when it wakes.
    fn note(&mut self, at: u64, note: Note) {
        let what = match note {
            Note::Established { round } => {
                tracing::info!(round, "speaks for the fleet");
                What::Established { round: u64::from(round) }
            }
            Note::Granted { member, round, version } => {
                self.counts.granted += 1;
                What::Granted { member, round: u64::from(round), version }
            }
            Note::Pending { request, version } => {
                tracing::info!(request, version, "change put before the members");
                What::Pending { request, version }
            }
            Note::Decided { request, version, digest } => {
                tracing::info!(request, version, digest, "decided");
                What::Decided { request, version, digest }
            }
            Note::Dropped { request, version, end } => {
                tracing::warn!(request, version, ?end, "change dropped");
                What::Dropped { request, version, why: format!("{end:?}") }
            }
            Note::Refused { member, why } => {
                self.refused("member");
                tracing::debug!(member, why, "member refused");
                return;
            }
        };
        self.diary.write(at, what);
    }
}
