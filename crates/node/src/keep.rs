//! The store of a node: a thread that makes records last, in groups, and what a node knows when it comes back. Off unless
//! PROXY_STORE names a file.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use linestack_core::{Core, Input, Nanos, Remembered, Ticket};
use linestack_recovery::{Age, Fate, Fates, Keep};
use linestack_store::{Damage, Fault, Folder, LARGEST, Limits, Op, Store, repair};
use serde::Deserialize;

use crate::http;
use crate::net::Node;

/// The kind of record that a one-shot's fate is.
const FATE: u8 = 1;
/// Records that go in one commit, at most.
const GROUP: usize = 512;
/// A result that did not fit would fail the store.
const _: () = assert!(http::HEAD + 2 * http::BODY < LARGEST);
/// Of the memory, what fates may take.
const MEMORY_PART: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SameBy {
    ReqId,
    IdempotencyKey,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFailed {
    /// One-shots are dismissed, all else goes on.
    Dismiss,
    /// The node answers what it has taken, and ends.
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sync {
    /// Each commit is synced, with all that came while the one before was at the disk.
    Group,
    /// Left to the system: a kill loses nothing, a power cut what was not written.
    None,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub folder: PathBuf,
    pub same_by: SameBy,
    pub remember_s: u64,
    pub budget_mb: u64,
    pub sync: Sync,
    pub when_failed: WhenFailed,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    store: Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Table {
    folder: PathBuf,
    same_by: SameBy,
    #[serde(default = "remember_s")]
    remember_s: u64,
    #[serde(default = "budget_mb")]
    budget_mb: u64,
    #[serde(default = "group")]
    sync: Sync,
    #[serde(default = "dismiss")]
    when_failed: WhenFailed,
}

fn remember_s() -> u64 {
    3600
}

fn budget_mb() -> u64 {
    256
}

fn group() -> Sync {
    Sync::Group
}

fn dismiss() -> WhenFailed {
    WhenFailed::Dismiss
}

/// Reads an operator's file.
///
/// # Errors
///
/// What is wrong with it, by its key.
pub fn config(path: &Path) -> Result<Config, String> {
    let fault = |why: String| format!("{}: {why}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
    let File { store: t } = crate::fleet::config::table(path, &text)?;
    if !(10..=1_000_000).contains(&t.remember_s) {
        return Err(fault("store.remember-s: from 10 to 1,000,000".into()));
    }
    if !(16..=1_000_000).contains(&t.budget_mb) {
        return Err(fault("store.budget-mb: from 16 to 1,000,000".into()));
    }
    let Table { folder, same_by, remember_s, budget_mb, sync, when_failed } = t;
    Ok(Config { folder, same_by, remember_s, budget_mb, sync, when_failed })
}

fn limits(span: Age, budget_mb: u64, sync: Sync) -> Limits {
    let sync = sync == Sync::Group;
    Limits { budget: budget_mb << 20, spans: vec![(FATE, span)], sync, ..Limits::default() }
}

pub struct Keeper {
    store: Store<Folder>,
    config: Config,
    age: Age,
    fates: Vec<Keep>,
}

impl Keeper {
    /// Opens the store, and reads what it holds.
    ///
    /// # Errors
    ///
    /// There is none, another process holds it, or it is damaged: with what to do.
    pub fn open(config: Config) -> Result<Self, String> {
        let place = config.folder.display().to_string();
        let fault = |why: &Fault| {
            let remedy = match why {
                Fault::Missing => format!("; `linestack store init {place}` makes one"),
                Fault::Damaged { .. } => format!("; `linestack store verify {place}` tells more"),
                _ => String::new(),
            };
            format!("store.folder: {place}: {why}{remedy}")
        };
        let folder = Folder::open(&config.folder).map_err(|e| fault(&e.into()))?;
        let span = config.remember_s * 1_000_000_000;
        let limits = limits(span, config.budget_mb, config.sync);
        let store = Store::open(folder, limits, false, 0).map_err(|e| fault(&e))?;
        let mut fates = Vec::new();
        let read = store.each(|entry, value| {
            if entry.kind == FATE {
                // Of a later version: it may have run, for all that this one can tell.
                let fate = Fate::from_bytes(&value).unwrap_or(Fate::MayHaveRun);
                fates.push(Keep { key: entry.key.into(), fate, at: entry.at });
            }
        });
        read.map_err(|e| fault(&e))?;
        // No clock of day is asked: only the time in which nodes ran makes anything old.
        let age = fates.iter().map(|k| k.at).max().map_or(0, |at| at + 1);
        Ok(Self { store, config, age, fates })
    }

    /// What the reducer is to know of it. `memory` is what the program may have, in bytes.
    pub fn tell(&mut self, core: &mut Core, memory: usize, now: Nanos) {
        let span = self.config.remember_s * 1_000_000_000;
        let mut fates = Fates::new(span, usize::MAX, memory / MEMORY_PART);
        fates.restore(std::mem::take(&mut self.fates));
        fates.forget(self.age);
        tracing::info!(known = fates.len(), folder = %self.config.folder.display(), "store read");
        let by_stamp = self.config.same_by == SameBy::IdempotencyKey;
        core.remember(Remembered { fates, age: self.age, now, by_stamp });
    }

    /// Runs the thread that writes, and returns where to send what is to be written.
    pub fn run(self) -> (Sender<(Keep, Option<Ticket>)>, Writer) {
        let (to, from) = channel();
        (to, Writer { keeper: self, from })
    }
}

pub struct Writer {
    keeper: Keeper,
    from: Receiver<(Keep, Option<Ticket>)>,
}

impl Writer {
    /// Writes for as long as the program runs; nothing in a coroutine waits for it.
    pub fn start(self, node: Arc<Node>) {
        std::thread::spawn(move || self.work(&node));
    }

    fn work(self, node: &Arc<Node>) {
        let Self { mut keeper, from } = self;
        let mut failed = false;
        while let Ok(first) = from.recv() {
            // All that came while the one before was at the disk goes together.
            let group: Vec<_> = std::iter::once(first).chain(from.try_iter().take(GROUP - 1)).collect();
            let op = |keep: &Keep| Op::Put {
                kind: FATE,
                key: keep.key.to_vec(),
                value: keep.fate.to_bytes(),
                at: keep.at,
            };
            let ops: Vec<Op> = group.iter().map(|(keep, _)| op(keep)).collect();
            let now = group.iter().map(|(keep, _)| keep.at).max().unwrap_or_default();
            if !failed && let Err(why) = keeper.store.commit(&ops, now) {
                failed = true;
                tracing::error!(%why, "store failed: one-shots are dismissed from now on");
                if keeper.config.when_failed == WhenFailed::Stop {
                    let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
                }
            }
            for ticket in group.into_iter().filter_map(|(_, ticket)| ticket) {
                node.feed(Input::Kept { ticket, lasts: !failed });
            }
        }
    }
}

/// `linestack store`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Make a store where there is none.
    Init { folder: PathBuf },
    /// Read all of it, and tell what is damaged.
    Verify { folder: PathBuf },
    /// What is in it, one record a line.
    Dump { folder: PathBuf },
    /// Give back the room of what is no longer needed.
    Compact { folder: PathBuf },
    /// Make a store of what can still be read of a damaged one. Old files stay, as `lost-...`.
    Repair { folder: PathBuf },
}

/// # Errors
///
/// What went wrong, for people.
pub fn run(command: &Command) -> Result<(), String> {
    let any = || limits(u64::MAX, 1 << 20, Sync::Group);
    let seed = crate::fleet::draw();
    let folder = |path: &Path| Folder::open(path).map_err(|e| format!("{}: {e}", path.display()));
    let told = |path: &Path, e: &Fault| format!("{}: {e}", path.display());
    match command {
        Command::Init { folder: path } => {
            Store::open(folder(path)?, any(), true, seed).map_err(|e| told(path, &e))?;
            println!("{}: made", path.display());
        }
        Command::Verify { folder: path } => {
            let store = Store::open(folder(path)?, any(), false, seed).map_err(|e| told(path, &e))?;
            let damage = store.verify().map_err(|e| told(path, &e))?;
            let stats = store.stats();
            println!("{}: {} records in {} segments", path.display(), stats.records, stats.segments);
            if !damage.is_empty() {
                return Err(lines(&damage));
            }
        }
        Command::Dump { folder: path } => {
            let store = Store::open(folder(path)?, any(), false, seed).map_err(|e| told(path, &e))?;
            let mut entries = Vec::new();
            store.each(|entry, value| entries.push((entry, value))).map_err(|e| told(path, &e))?;
            entries.sort_by(|(a, _), (b, _)| (a.at, &a.key).cmp(&(b.at, &b.key)));
            for (entry, value) in entries {
                let key = String::from_utf8_lossy(&entry.key);
                let word = Fate::from_bytes(&value).map_or("not understood", |f| f.word());
                println!("{:.3} {} {key} {word}", entry.at as f64 / 1e9, entry.kind);
            }
        }
        Command::Compact { folder: path } => {
            let mut store = Store::open(folder(path)?, any(), false, seed).map_err(|e| told(path, &e))?;
            let before = store.stats().bytes;
            // Nothing is forgotten here: how long records count is the node's to say.
            store.compact(0).and_then(|()| store.checkpoint()).map_err(|e| told(path, &e))?;
            println!("{}: {before} bytes before, {} now", path.display(), store.stats().bytes);
        }
        Command::Repair { folder: path } => {
            let whole = Store::open(folder(path)?, any(), false, seed).and_then(|s| s.verify());
            match whole {
                Ok(damage) if damage.is_empty() => return Err(format!("{}: it is whole", path.display())),
                Err(Fault::Missing) => return Err(format!("{}: there is no store here", path.display())),
                _ => {}
            }
            let (store, lost) = repair(folder(path)?, any(), seed).map_err(|e| told(path, &e))?;
            println!("{}: {} records", path.display(), store.stats().records);
            if lost.is_empty() {
                println!("nothing that is known of was lost");
            } else {
                println!("lost:\n{}", lines(&lost));
                println!(
                    "a one-shot that may have run may be among them: see the page on the store before it serves"
                );
            }
        }
    }
    Ok(())
}

fn lines(damage: &[Damage]) -> String {
    let all: Vec<String> =
        damage.iter().map(|d| format!("  {} at byte {}: {}", d.file, d.at, d.why)).collect();
    all.join("\n")
}
