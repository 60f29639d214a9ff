//! Disaster recovery after a majority of the coordinators' stores was lost. The fleet continues from one store that is
//! left: `--refound` writes its state to a file, from which the other coordinators start by `--refounded`.

use std::fs::OpenOptions;
use std::io::{self, Write as _};
use std::path::Path;

use linestack_accord::{Ballot, CoordinatorId, Incarnation, Policy, Record, State, Storage as _};

use crate::fleet::config;
use crate::fleet::random_u64;
use crate::fleet::wire::{self, Identity, SenderInfo};

use super::StartMode;
use super::storage::{self, RefoundedFleet};

/// The number of versions, revisions and rounds that are skipped. It is higher than the number of those that can have
/// been used since the remaining store was last written.
const SKIPPED_NUMBERS: u32 = 1_000_000;

/// Makes the fleet continue from the store of this coordinator, and writes the file that the others start from.
pub(super) fn refound(
    config: &config::CoordinatorConfig,
    file: &Path,
    lost: &[CoordinatorId],
) -> Result<(), String> {
    check_majority_lost(config, lost).map_err(option_error)?;
    check_all_stopped(config).map_err(option_error)?;
    let (mut disk, record) = storage::open(config, &StartMode::FromStore).map_err(|e| e.to_string())?;
    if record.learning {
        return Err(option_error("this coordinator has not yet learned the committed state".into()));
    }
    let previous_version = record.state.policy.version;
    let record = founding_record(config, record);
    let version = record.state.policy.version;
    let refounded = RefoundedFleet { fleet: config.fleet.clone(), record };
    let text = serde_json::to_vec(&refounded).map_err(|e| e.to_string())?;
    write_new(file, &text).map_err(|e| format!("{}: {e}", file.display()))?;
    disk.persist(&refounded.record).map_err(|e| e.to_string())?;
    println!("the fleet continues from version {previous_version}, now as version {version}");
    println!(
        "changes that were proposed or decided, and members that joined, since this store was written are lost"
    );
    println!(
        "start this coordinator as usual, and each other one, with an empty folder, by --refounded {}",
        file.display()
    );
    Ok(())
}

/// Returns the message for an error because of which `--refound` is refused.
fn option_error(reason: String) -> String {
    format!("--refound: {reason}")
}

/// Returns an error if the coordinators that still have their stores are a majority, because a majority can replace the
/// others one by one.
fn check_majority_lost(config: &config::CoordinatorConfig, lost: &[CoordinatorId]) -> Result<(), String> {
    let count = config.peers.len();
    let mut lost = lost.to_vec();
    lost.sort_unstable();
    lost.dedup();
    if lost.iter().any(|id| usize::from(*id) >= count || *id == config.number) {
        return Err(format!("--lost: the numbers of other coordinators, below {count}"));
    }
    let remaining = count - lost.len();
    if remaining > count / 2 {
        return Err(format!(
            "{remaining} of {count} still have their stores: start those, and `linestack fleet replace` the others"
        ));
    }
    Ok(())
}

/// Returns an error if another coordinator answers.
fn check_all_stopped(config: &config::CoordinatorConfig) -> Result<(), String> {
    let incarnation = Incarnation { store_id: random_u64(), run_number: 1 };
    let sender = SenderInfo { fleet: config.fleet.clone(), identity: Identity::Operator, incarnation };
    for (id, address) in config.peers.iter().enumerate() {
        if let Some(address) = address
            && wire::connect_session(*address, &sender).is_ok()
        {
            return Err(format!("coordinator {id} answers at {address}: stop all of them first"));
        }
    }
    Ok(())
}

/// Returns the record that the fleet continues from. Its ballot and versions are higher than any that may have been
/// promised, accepted or decided since the store was last written.
fn founding_record(config: &config::CoordinatorConfig, record: Record) -> Record {
    let own_id = config.number;
    let round = record.promised.round.max(record.accepted.round) + SKIPPED_NUMBERS;
    let ballot = Ballot { round, candidate: own_id };
    let state = founding_state(config, record.state);
    Record {
        write_count: record.write_count,
        seat: state.seat(own_id),
        learning: false,
        promised: ballot,
        accepted: ballot,
        state,
    }
}

/// Returns the state that the fleet continues from.
fn founding_state(config: &config::CoordinatorConfig, state: State) -> State {
    let State { policy, last_version, members, ended, mut seats, revision, .. } = state;
    for id in (0..config.peers.len()).filter_map(|id| CoordinatorId::try_from(id).ok()) {
        // A coordinator with an older store has the previous seat number, and so has no vote.
        *seats.entry(id).or_insert(0) += 1;
    }
    // The policy gets a higher version, because members may have activated later policies, which are lost.
    let version = last_version + u64::from(SKIPPED_NUMBERS);
    State {
        revision: revision + u64::from(SKIPPED_NUMBERS),
        policy: Policy { version, text: policy.text },
        last_version: version,
        pending: None,
        members,
        ended,
        seats,
    }
}

/// Writes a new file, and returns when its content is durable. Returns an error if the file exists.
fn write_new(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}
