//! What a node that starts may learn from one that runs. Each tells only what it saw itself, with the age that this has on
//! its own clock; whoever hears it adds all the time from asking to hearing. What is not young is not taken, nor what is
//! older than own knowledge, nor anything of an executor that the own list does not have ready. A peer that lies can
//! make a node prefer or avoid executors that it has not met yet, until it meets them: at most a third are avoided, and
//! discovery, drains and the rules are no matter of peers.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub type Nanos = u64;
/// Of what is told.
pub const FORM: u8 = 1;
/// Executors that a peer may tell of, and characters of a name.
pub const MOST: usize = 8192;
pub const LONGEST: usize = 256;
/// Of the executors that are ready, one in so many may be avoided on a peer's word.
const AVOIDED: usize = 3;

/// A load report's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub free_slots: Option<f32>,
    pub free_memory: Option<f32>,
    pub waiting: Option<f32>,
    pub in_hand: Option<f32>,
}

impl Figures {
    /// Without what makes no sense.
    fn sound(self) -> Self {
        let sound = |f: Option<f32>| f.filter(|f| f.is_finite() && *f >= 0.0);
        Self {
            free_slots: sound(self.free_slots),
            free_memory: sound(self.free_memory),
            waiting: sound(self.waiting),
            in_hand: sound(self.in_hand),
        }
    }
}

/// What a node saw of an executor last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub name: String,
    /// Since it saw that itself, in ms.
    pub age_ms: u64,
    /// It did not answer.
    pub silent: bool,
    pub figures: Option<Figures>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tale {
    pub form: u8,
    pub teller: String,
    pub items: Vec<Item>,
}

/// What the one that hears it knows of an executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own {
    /// Its list has it ready.
    pub ready: bool,
    /// When it saw something of it itself.
    pub seen: Option<Nanos>,
}

/// What is taken from a tale.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    pub name: String,
    pub silent: bool,
    pub figures: Option<Figures>,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("of form {0}, and this reads {FORM}")]
    Form(u8),
    #[error("told by this node itself")]
    Teller,
    #[error("tells of {0} executors, {MOST} at most")]
    Many(usize),
}

/// What of a tale may be gone by. It was asked for and heard at these times of the own clock; only what was seen within
/// `young` before counts.
///
/// # Errors
///
/// Nothing of it may.
pub fn learn(
    tale: &Tale,
    me: &str,
    (asked, came): (Nanos, Nanos),
    young: Nanos,
    own: impl Fn(&str) -> Own,
    ready: usize,
) -> Result<Vec<Heard>, Fault> {
    if tale.form != FORM {
        return Err(Fault::Form(tale.form));
    }
    if tale.teller == me {
        return Err(Fault::Teller);
    }
    if tale.items.len() > MOST {
        return Err(Fault::Many(tale.items.len()));
    }
    let (mut taken, mut named) = (Vec::new(), BTreeSet::new());
    for item in &tale.items {
        // It may have been told at any time since it was asked for.
        let age = item.age_ms.saturating_mul(1_000_000).saturating_add(came.saturating_sub(asked));
        let known = own(&item.name);
        let newer = known.seen.is_some_and(|seen| seen.saturating_add(age) >= came);
        if age >= young || !known.ready || newer || item.name.len() > LONGEST || !named.insert(&item.name) {
            continue;
        }
        let (name, silent) = (item.name.clone(), item.silent);
        taken.push(Heard { name, silent, figures: item.figures.filter(|_| !silent).map(Figures::sound) });
    }
    // More than that is not believed: it would leave the rest to bear it.
    if taken.iter().filter(|h| h.silent).count() > ready / AVOIDED {
        taken.retain(|h| !h.silent);
    }
    Ok(taken)
}
