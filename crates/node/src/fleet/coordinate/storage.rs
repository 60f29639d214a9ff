//! The store of a coordinator: opened, or created for a new one.

use std::path::Path;

use linestack_accord::{Incarnation, Keep, LARGEST_TEXT, Record, State};
use serde::{Deserialize, Serialize};

use crate::fleet::config;
use crate::fleet::policy;
use crate::fleet::random_u64;
use crate::fleet::store::{RecordStore, StoreError};

use super::StartMode;

/// What is stored. The names of the fields are the format.
#[derive(Serialize, Deserialize)]
struct Stored {
    #[serde(rename = "life")]
    incarnation: Incarnation,
    record: Record,
}

/// What the other coordinators start from after the fleet was founded again. The names of the fields are the format.
#[derive(Serialize, Deserialize)]
pub(super) struct Foundation {
    pub(super) fleet: String,
    pub(super) record: Record,
}

/// The store, and the run of this process.
pub(super) struct Disk {
    store: RecordStore,
    pub(super) incarnation: Incarnation,
}

impl Keep for Disk {
    type Fault = StoreError;

    fn keep(&mut self, record: &Record) -> Result<(), StoreError> {
        self.store.save(&Stored { incarnation: self.incarnation, record: record.clone() })
    }
}

/// Opens the store, or creates one, and counts this run in it.
pub(super) fn open(
    config: &config::CoordinatorConfig,
    how: &StartMode,
) -> Result<(Disk, Record), StoreError> {
    match how {
        StartMode::Replacement(seat) => {
            create(config, Record { seat: *seat, learning: true, ..Record::default() })
        }
        StartMode::Refounded(file) => create(config, refounded_record(config, file)?),
        StartMode::NewFleet => create(config, first_record(&config.first_policy)?),
        StartMode::FromStore | StartMode::Refound(..) => reopen(config),
    }
}

fn owner(config: &config::CoordinatorConfig) -> String {
    format!("coordinator {} of {}", config.number, config.fleet)
}

fn create(config: &config::CoordinatorConfig, record: Record) -> Result<(Disk, Record), StoreError> {
    let store = RecordStore::open(&config.folder, &owner(config), true)?;
    let mut disk = Disk { store, incarnation: Incarnation { home: random_u64(), life: 1 } };
    disk.keep(&record)?;
    Ok((disk, record))
}

fn reopen(config: &config::CoordinatorConfig) -> Result<(Disk, Record), StoreError> {
    let store = RecordStore::open(&config.folder, &owner(config), false)?;
    let Some(Stored { mut incarnation, record }) = store.load()? else { return Err(StoreError::Missing) };
    incarnation.life += 1;
    let mut disk = Disk { store, incarnation };
    disk.keep(&record)?;
    Ok((disk, record))
}

/// The record that the first coordinators of a fleet begin with.
fn first_record(first_policy: &Path) -> Result<Record, StoreError> {
    let damaged =
        |why: String| StoreError::Damaged(format!("first-policy: {}: {why}", first_policy.display()));
    let text = std::fs::read_to_string(first_policy).map_err(|e| damaged(e.to_string()))?;
    if text.len() > LARGEST_TEXT {
        return Err(damaged(format!("{} bytes, {LARGEST_TEXT} at most", text.len())));
    }
    policy::settings_for_zone(&text, 0, 0).map_err(damaged)?;
    Ok(Record { state: State::first(text), ..Record::default() })
}

/// The record that a coordinator begins with after the fleet was founded again.
fn refounded_record(config: &config::CoordinatorConfig, file: &Path) -> Result<Record, StoreError> {
    let damaged = |why: String| StoreError::Damaged(format!("--refounded: {}: {why}", file.display()));
    let text = std::fs::read(file).map_err(|e| damaged(e.to_string()))?;
    let Foundation { fleet, record } = serde_json::from_slice(&text).map_err(|e| damaged(e.to_string()))?;
    if fleet != config.fleet {
        return Err(damaged(format!("of fleet {fleet:?}")));
    }
    let me = config.number;
    if record.accepted.by == me {
        return Err(damaged(format!("it was written by coordinator {me}, which has its store")));
    }
    Ok(Record { mark: 0, seat: record.state.seat(me), ..record })
}
