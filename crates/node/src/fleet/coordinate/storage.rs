//! The store of a coordinator: opening it, and creating it for a new coordinator.

use std::path::Path;

use linestack_accord::{Incarnation, MAX_POLICY_BYTES, Record, State, Storage};
use serde::{Deserialize, Serialize};

use crate::fleet::config;
use crate::fleet::policy;
use crate::fleet::random_u64;
use crate::fleet::store::{RecordStore, StoreError};

use super::StartMode;

/// The stored data of a coordinator. The names of the fields in the file are the format.
#[derive(Serialize, Deserialize)]
struct Stored {
    /// The last run.
    #[serde(rename = "life")]
    incarnation: Incarnation,
    record: Record,
}

/// The content of the file that the other coordinators start from after a majority of the stores was lost. The names of
/// the fields are the format.
#[derive(Serialize, Deserialize)]
pub(super) struct RefoundedFleet {
    pub(super) fleet: String,
    pub(super) record: Record,
}

/// The open store, and the run of this process.
pub(super) struct Disk {
    store: RecordStore,
    pub(super) incarnation: Incarnation,
}

impl Storage for Disk {
    type Error = StoreError;

    fn persist(&mut self, record: &Record) -> Result<(), StoreError> {
        self.store.save(&Stored { incarnation: self.incarnation, record: record.clone() })
    }
}

/// Opens the store, or creates one, and counts this run in it.
pub(super) fn open(
    config: &config::CoordinatorConfig,
    mode: &StartMode,
) -> Result<(Disk, Record), StoreError> {
    match mode {
        StartMode::Replacement(seat) => {
            create(config, Record { seat: *seat, learning: true, ..Record::default() })
        }
        StartMode::Refounded(file) => create(config, refounded_record(config, file)?),
        StartMode::NewFleet => create(config, first_record(&config.first_policy)?),
        StartMode::FromStore | StartMode::Refound { .. } => reopen(config),
    }
}

/// Returns the name of the process that the store belongs to.
fn owner(config: &config::CoordinatorConfig) -> String {
    format!("coordinator {} of {}", config.number, config.fleet)
}

/// Creates a store with this record.
fn create(config: &config::CoordinatorConfig, record: Record) -> Result<(Disk, Record), StoreError> {
    let store = RecordStore::create(&config.folder, &owner(config))?;
    let mut disk = Disk { store, incarnation: Incarnation { store_id: random_u64(), run_number: 1 } };
    disk.persist(&record)?;
    Ok((disk, record))
}

/// Opens the existing store, and counts this run in it.
fn reopen(config: &config::CoordinatorConfig) -> Result<(Disk, Record), StoreError> {
    let store = RecordStore::open(&config.folder, &owner(config))?;
    let Some(Stored { mut incarnation, record }) = store.load()? else { return Err(StoreError::Missing) };
    incarnation.run_number += 1;
    let mut disk = Disk { store, incarnation };
    disk.persist(&record)?;
    Ok((disk, record))
}

/// Returns the record that the first coordinators of a fleet start with.
fn first_record(first_policy: &Path) -> Result<Record, StoreError> {
    let damaged =
        |reason: String| StoreError::Damaged(format!("first-policy: {}: {reason}", first_policy.display()));
    let text = std::fs::read_to_string(first_policy).map_err(|e| damaged(e.to_string()))?;
    if text.len() > MAX_POLICY_BYTES {
        return Err(damaged(format!("{} bytes, at most {MAX_POLICY_BYTES} are allowed", text.len())));
    }
    policy::settings_for_zone(&text, 0, 0).map_err(damaged)?;
    Ok(Record { state: State::initial(text), ..Record::default() })
}

/// Returns the record in the file that `--refound` wrote, as this coordinator starts with it.
fn refounded_record(config: &config::CoordinatorConfig, file: &Path) -> Result<Record, StoreError> {
    let damaged = |reason: String| StoreError::Damaged(format!("--refounded: {}: {reason}", file.display()));
    let text = std::fs::read(file).map_err(|e| damaged(e.to_string()))?;
    let RefoundedFleet { fleet, record } =
        serde_json::from_slice(&text).map_err(|e| damaged(e.to_string()))?;
    if fleet != config.fleet {
        return Err(damaged(format!("the file belongs to fleet {fleet:?}")));
    }
    let own_id = config.number;
    if record.accepted.candidate == own_id {
        return Err(damaged(format!(
            "it was written by coordinator {own_id} itself, which must start from its store"
        )));
    }
    Ok(Record { write_count: 0, seat: record.state.seat(own_id), ..record })
}
