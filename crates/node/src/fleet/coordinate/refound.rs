//! Founding a fleet again after a majority of the coordinators' stores was lost: the one store that is left becomes the
//! beginning, and the others start from a file that is written here.

use std::fs::OpenOptions;
use std::io::{self, Write as _};
use std::path::Path;

use linestack_accord::{Ballot, Id, Incarnation, Keep as _, Policy, Record, State};

use crate::fleet::config;
use crate::fleet::random_u64;
use crate::fleet::wire::{self, Identity, SenderInfo};

use super::StartMode;
use super::storage::{self, Foundation};

/// How many versions, revisions and rounds are skipped: more than can have been used since the store that is left was
/// written.
const SKIPPED: u32 = 1_000_000;

/// Makes the store of this coordinator the beginning of the fleet, and writes the file for the others.
pub(super) fn refound(config: &config::CoordinatorConfig, file: &Path, lost: &[Id]) -> Result<(), String> {
    check_majority_lost(config, lost).map_err(option_fault)?;
    check_all_stopped(config).map_err(option_fault)?;
    let (mut disk, record) = storage::open(config, &StartMode::FromStore).map_err(|e| e.to_string())?;
    if record.learning {
        return Err(option_fault("this one was never told what is agreed".into()));
    }
    let previous_version = record.state.policy.version;
    let record = founding_record(config, record);
    let version = record.state.policy.version;
    let foundation = Foundation { fleet: config.fleet.clone(), record };
    let text = serde_json::to_vec(&foundation).map_err(|e| e.to_string())?;
    write_new(file, &text).map_err(|e| format!("{}: {e}", file.display()))?;
    disk.keep(&foundation.record).map_err(|e| e.to_string())?;
    println!("the fleet goes on from version {previous_version}, now as version {version}");
    println!(
        "lost, if they were: changes that were decided or put since this store was written, and members that joined"
    );
    println!(
        "start this one as ever, and each other one, with an empty folder, by --refounded {}",
        file.display()
    );
    Ok(())
}

fn option_fault(why: String) -> String {
    format!("--refound: {why}")
}

/// Fails unless the coordinators that are left are no majority: a majority replaces the lost ones one by one.
fn check_majority_lost(config: &config::CoordinatorConfig, lost: &[Id]) -> Result<(), String> {
    let count = config.peers.len();
    let mut lost = lost.to_vec();
    lost.sort_unstable();
    lost.dedup();
    if lost.iter().any(|id| usize::from(*id) >= count || *id == config.number) {
        return Err(format!("--lost: numbers of others, under {count}"));
    }
    let kept = count - lost.len();
    if kept > count / 2 {
        return Err(format!(
            "{kept} of {count} have their stores: start those, and `linestack fleet replace` the lost ones"
        ));
    }
    Ok(())
}

/// Fails if another coordinator answers.
fn check_all_stopped(config: &config::CoordinatorConfig) -> Result<(), String> {
    let incarnation = Incarnation { home: random_u64(), life: 1 };
    let own = SenderInfo { fleet: config.fleet.clone(), identity: Identity::Operator, incarnation };
    for (id, to) in config.peers.iter().enumerate() {
        if let Some(to) = to
            && wire::connect_session(*to, &own).is_ok()
        {
            return Err(format!("coordinator {id} answers at {to}: stop all of them first"));
        }
    }
    Ok(())
}

/// The record that the fleet goes on from: nothing that was promised, accepted or decided since can be higher.
fn founding_record(config: &config::CoordinatorConfig, record: Record) -> Record {
    let me = config.number;
    let round = record.promised.round.max(record.accepted.round) + SKIPPED;
    let ballot = Ballot { round, by: me };
    let state = founding_state(config, record.state);
    Record {
        mark: record.mark,
        seat: state.seat(me),
        learning: false,
        promised: ballot,
        accepted: ballot,
        state,
    }
}

fn founding_state(config: &config::CoordinatorConfig, state: State) -> State {
    let State { policy, last, members, ended, mut seats, rev, .. } = state;
    for id in (0..config.peers.len()).filter_map(|id| Id::try_from(id).ok()) {
        // A coordinator that still has an earlier store has no vote.
        *seats.entry(id).or_insert(0) += 1;
    }
    // The same text under another version: members may have gone by a later policy that is lost.
    let version = last + u64::from(SKIPPED);
    State {
        rev: rev + u64::from(SKIPPED),
        policy: Policy { version, text: policy.text },
        last: version,
        pending: None,
        members,
        ended,
        seats,
    }
}

/// Writes a file that does not exist yet, and returns when it is durable.
fn write_new(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}
