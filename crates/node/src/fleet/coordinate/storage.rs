//! The store of a coordinator: opened, or created for a new one.

use std::path::Path;

use linestack_accord::{Incarnation, Keep, LARGEST_TEXT, Record, State};
use serde::{Deserialize, Serialize};

use crate::fleet::config;
use crate::fleet::draw;
use crate::fleet::policy;
use crate::fleet::store::{Fault, Store};

use super::Start;

/// What is stored. The names of the fields are the format.
#[derive(Serialize, Deserialize)]
struct Stored {
    life: Incarnation,
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
    store: Store,
    pub(super) life: Incarnation,
}

impl Keep for Disk {
    type Fault = Fault;

    fn keep(&mut self, record: &Record) -> Result<(), Fault> {
        self.store.keep(&Stored { life: self.life, record: record.clone() })
    }
}

/// Opens the store, or creates one, and counts this run in it.
pub(super) fn open(config: &config::Coordinator, how: &Start) -> Result<(Disk, Record), Fault> {
    match how {
        Start::Replacement(seat) => {
            create(config, Record { seat: *seat, learning: true, ..Record::default() })
        }
        Start::Refounded(file) => create(config, refounded_record(config, file)?),
        Start::First => create(config, first_record(&config.first_policy)?),
        Start::Again | Start::Refound(..) => reopen(config),
    }
}

fn owner(config: &config::Coordinator) -> String {
    format!("coordinator {} of {}", config.number, config.fleet)
}

fn create(config: &config::Coordinator, record: Record) -> Result<(Disk, Record), Fault> {
    let store = Store::open(&config.folder, &owner(config), true)?;
    let mut disk = Disk { store, life: Incarnation { home: draw(), life: 1 } };
    disk.keep(&record)?;
    Ok((disk, record))
}

fn reopen(config: &config::Coordinator) -> Result<(Disk, Record), Fault> {
    let store = Store::open(&config.folder, &owner(config), false)?;
    let Some(Stored { mut life, record }) = store.load()? else { return Err(Fault::Missing) };
    life.life += 1;
    let mut disk = Disk { store, life };
    disk.keep(&record)?;
    Ok((disk, record))
}

/// The record that the first coordinators of a fleet begin with.
fn first_record(first_policy: &Path) -> Result<Record, Fault> {
    let damaged = |why: String| Fault::Damaged(format!("first-policy: {}: {why}", first_policy.display()));
    let text = std::fs::read_to_string(first_policy).map_err(|e| damaged(e.to_string()))?;
    if text.len() > LARGEST_TEXT {
        return Err(damaged(format!("{} bytes, {LARGEST_TEXT} at most", text.len())));
    }
    policy::settings(&text, 0, 0).map_err(damaged)?;
    Ok(Record { state: State::first(text), ..Record::default() })
}

/// The record that a coordinator begins with after the fleet was founded again.
fn refounded_record(config: &config::Coordinator, file: &Path) -> Result<Record, Fault> {
    let damaged = |why: String| Fault::Damaged(format!("--refounded: {}: {why}", file.display()));
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
