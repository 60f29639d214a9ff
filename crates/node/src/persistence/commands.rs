//! The subcommands of `linestack store`.

use std::path::{Path, PathBuf};

use linestack_recovery::StoredOutcome;
use linestack_store::{Damage, Folder, Op, OpenMode, Store, StoreError, repair};

use super::{KIND_OUTCOME, KIND_OWNER, Sync, limits, mark_as_replacement};

/// The subcommands of `linestack store`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Create a store in a folder that has none.
    Init {
        folder: PathBuf,
        /// The store replaces one that was lost: one-shots are aborted until the executions of the lost one are over.
        #[arg(long)]
        lost: bool,
    },
    /// Let the store belong to the node that starts with it next. Without `--moved` it is marked as the
    /// replacement of a lost store, because a copy lacks what was sent since it was made.
    Adopt {
        folder: PathBuf,
        /// No node has run on the original since it was copied.
        #[arg(long)]
        moved: bool,
    },
    /// Read the whole store, and report what is damaged.
    Verify { folder: PathBuf },
    /// Print the records, one a line.
    Dump { folder: PathBuf },
    /// Free the space of records that are no longer needed.
    Compact { folder: PathBuf },
    /// Create a store from what can still be read of a damaged one. The old files are kept as `lost-...`.
    Repair { folder: PathBuf },
}

/// Runs a subcommand of `linestack store`.
///
/// # Errors
///
/// Returns a message for the operator.
pub fn run(command: &Command) -> Result<(), String> {
    let unlimited = || limits(u64::MAX, 1 << 20, Sync::Group);
    let seed = crate::fleet::random_u64();
    let folder = |path: &Path| Folder::open(path).map_err(|e| format!("{}: {e}", path.display()));
    let message = |path: &Path, e: &StoreError| format!("{}: {e}", path.display());
    match command {
        Command::Init { folder: path, lost } => {
            let mut store = Store::open(folder(path)?, unlimited(), OpenMode::Create, seed)
                .map_err(|e| message(path, &e))?;
            if *lost {
                store.commit(&[mark_as_replacement()], 0).map_err(|e| message(path, &e))?;
            }
            println!("{}: created", path.display());
        }
        Command::Adopt { folder: path, moved } => {
            let mut store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let mut ops = vec![Op::Remove { kind: KIND_OWNER, key: b"owner".to_vec() }];
            ops.extend((!moved).then(mark_as_replacement));
            store.commit(&ops, 0).map_err(|e| message(path, &e))?;
            println!("{}: belongs to the node that starts with it next", path.display());
        }
        Command::Verify { folder: path } => {
            let store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let damage = store.verify().map_err(|e| message(path, &e))?;
            let stats = store.stats();
            println!("{}: {} records in {} segments", path.display(), stats.records, stats.segments);
            if !damage.is_empty() {
                return Err(format_damage(&damage));
            }
        }
        Command::Dump { folder: path } => {
            let store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let mut entries = Vec::new();
            store.for_each(|entry, value| entries.push((entry, value))).map_err(|e| message(path, &e))?;
            entries.sort_by(|(a, _), (b, _)| (a.at, &a.key).cmp(&(b.at, &b.key)));
            for (entry, value) in entries {
                let key = String::from_utf8_lossy(&entry.key);
                let text = match entry.kind {
                    KIND_OUTCOME => {
                        StoredOutcome::from_bytes(&value).map_or("not understood", |f| f.as_str()).to_owned()
                    }
                    _ => String::from_utf8_lossy(&value).into_owned(),
                };
                println!("{:.3} {} {key} {text}", entry.at as f64 / 1e9, entry.kind);
            }
        }
        Command::Compact { folder: path } => {
            let mut store = Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed)
                .map_err(|e| message(path, &e))?;
            let before = store.stats().bytes;
            // No record expires here, because the retention time is in the node's configuration, which is not read.
            store.compact(0).and_then(|()| store.checkpoint()).map_err(|e| message(path, &e))?;
            println!("{}: {before} bytes before, {} now", path.display(), store.stats().bytes);
        }
        Command::Repair { folder: path } => {
            let damage =
                Store::open(folder(path)?, unlimited(), OpenMode::Existing, seed).and_then(|s| s.verify());
            match damage {
                Ok(damage) if damage.is_empty() => {
                    return Err(format!(
                        "{}: the store is whole, there is nothing to repair",
                        path.display()
                    ));
                }
                Err(StoreError::Missing) => {
                    return Err(format!("{}: there is no store here", path.display()));
                }
                _ => {}
            }
            let (mut store, lost) =
                repair(folder(path)?, unlimited(), seed).map_err(|e| message(path, &e))?;
            // Missing files can't be detected, so the store always counts as the replacement of a lost one.
            store.commit(&[mark_as_replacement()], 0).map_err(|e| message(path, &e))?;
            println!("{}: {} records", path.display(), store.stats().records);
            if lost.is_empty() {
                println!("no known record was lost");
            } else {
                println!("lost:\n{}", format_damage(&lost));
                println!(
                    "a one-shot that may have run may be among them, so a node that starts with this store treats it as the replacement of a lost one"
                );
            }
        }
    }
    Ok(())
}

/// Formats the damaged ranges, one a line.
fn format_damage(damage: &[Damage]) -> String {
    let lines: Vec<String> =
        damage.iter().map(|d| format!("  {} at byte {}: {}", d.file, d.offset, d.reason)).collect();
    lines.join("\n")
}
